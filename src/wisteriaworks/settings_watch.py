"""Reload a settings file when it changes, with or without a signal."""

import contextlib
from pathlib import Path

import trio

from wisteriaworks.errors import SettingsError
from wisteriaworks.events import Event, log_event
from wisteriaworks.settings import load_settings

# One small read per second uses less than 0.1% of a core.
INTERVAL_S = 1.0


class SettingsWatch:
    """Call ``on_change`` with the new settings when the file changes.

    An invalid or unreadable file is ignored: the process keeps its current
    settings. Without a path, no file is watched.
    """

    def __init__(self, path, cfg, on_change):
        self._path = path
        self._cfg = cfg
        self._on_change = on_change
        # The file may have changed since ``cfg`` was read, so the first check compares.
        self._text = None

    async def run(self):
        """Check the file periodically, until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            self.check()

    def check(self):
        """Check the file now."""
        text = self._read()
        if text is None or text == self._text:
            return
        self._text = text
        try:
            cfg = load_settings(self._path, type(self._cfg))
        except SettingsError as exc:
            log_event(Event.SETTINGS_REFUSED, reason=exc.message)
            return
        if cfg != self._cfg:
            self._cfg = cfg
            log_event(Event.SETTINGS_RELOADED)
            self._on_change(cfg)

    def _read(self):
        # A file that can't be read while it is being replaced is read at the
        # next check.
        with contextlib.suppress(OSError):
            return Path(self._path).read_bytes() if self._path else None
        return None
