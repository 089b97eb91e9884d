"""Read a settings file again when it changes, with or without a signal."""

import contextlib
from pathlib import Path

import trio

from wisteriaworks.errors import SettingsError
from wisteriaworks.events import Event, log_event
from wisteriaworks.settings import load_settings

# One small read a second costs under a thousandth of a core.
INTERVAL_S = 1.0


class SettingsWatch:
    """Call ``on_change`` with the settings whenever the file holds others.

    A file that can't be used changes nothing: the process goes on with the
    settings that it has. Without a path nothing is watched.
    """

    def __init__(self, path, cfg, on_change):
        self._path = path
        self._cfg = cfg
        self._on_change = on_change
        self._text = self._read()

    async def run(self):
        """Look at the file again and again, until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            self.check()

    def check(self):
        """Look at the file now."""
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
        # A file that is being replaced is read at the next look.
        with contextlib.suppress(OSError):
            return Path(self._path).read_text() if self._path else None
        return None
