"""Load the YAML settings of a process."""

from pathlib import Path

import msgspec
import yaml

from wisteriaworks.errors import SettingsError


def decode_yaml(text, kind):
    """Return YAML text as a data class.

    Raises msgspec.ValidationError, which names the field's path, or
    msgspec.DecodeError.
    """
    try:
        plain = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        raise msgspec.DecodeError(f"not valid YAML: {exc}") from exc
    return msgspec.convert(plain, kind, strict=True)


def load_settings(path, kind):
    """Return the settings in a file. Raises SettingsError."""
    try:
        text = Path(path).read_text()
    except OSError as exc:
        raise SettingsError(f"cannot read settings {path}: {exc.strerror}") from exc
    try:
        return decode_yaml(text, kind)
    except msgspec.MsgspecError as exc:
        raise SettingsError(f"settings {path}: {exc}") from exc
