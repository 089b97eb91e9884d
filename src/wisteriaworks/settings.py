"""Load the YAML settings of a process."""

from pathlib import Path

import msgspec
import yaml

from wisteriaworks.errors import SettingsError
from wisteriaworks.platform.bounds import translate_bounds


def decode_yaml(text, struct_type):
    """Decode YAML text into the data class ``struct_type``.

    Limits in the form of a platform are translated. Raises msgspec.ValidationError,
    whose message has the path of the field, or msgspec.DecodeError.
    """
    try:
        data = yaml.safe_load(text)
    except (yaml.YAMLError, RecursionError) as exc:
        raise msgspec.DecodeError(f"not valid YAML: {exc}") from exc
    return msgspec.convert(translate_bounds(data), struct_type, strict=True)


def load_settings(path, struct_type):
    """Load a settings file into a ``struct_type``. Raises SettingsError."""
    try:
        text = Path(path).read_text()
    except OSError as exc:
        raise SettingsError(f"cannot read settings {path}: {exc.strerror}") from exc
    except UnicodeDecodeError as exc:
        raise SettingsError(f"settings {path}: {exc}") from exc
    try:
        return decode_yaml(text, struct_type)
    except msgspec.MsgspecError as exc:
        raise SettingsError(f"settings {path}: {exc}") from exc
