"""Store the adopted configuration in a file across restarts."""

import os
from pathlib import Path

import msgspec

from wisteriaworks.errors import SettingsError
from wisteriaworks.generated.document import Document
from wisteriaworks.view import View

_FILE = "configuration.json"


class _Stored(msgspec.Struct, frozen=True):
    version: int
    document: Document


class ViewStore:
    """Save and load the configuration in a data folder, if there is one."""

    def __init__(self, folder):
        self._path = Path(folder) / _FILE if folder else None

    def load(self):
        """Return the stored configuration as a view, or None.

        Raises SettingsError if the file is damaged.
        """
        if self._path is None or not self._path.exists():
            return None
        try:
            stored = msgspec.json.decode(self._path.read_bytes(), type=_Stored)
        except msgspec.MsgspecError as exc:
            raise SettingsError(f"{self._path} is damaged: {exc}") from exc
        return View(stored.version, stored.document, {})

    def save(self, version, document):
        """Replace the stored configuration; sync the new file before renaming it."""
        if self._path is None:
            return
        self._path.parent.mkdir(parents=True, exist_ok=True)
        temporary = self._path.with_suffix(".new")
        with temporary.open("wb") as file:
            file.write(msgspec.json.encode(_Stored(version, document)))
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._path)
