"""Run a control member, and start it again when its full disk has room.

Load pattern: the disk of a member fills up for some seconds. What the member has
written is not known then, so it stops as it would after a crash, does not vote or
acknowledge anything, and reads its disk again once there is room.
"""

import contextlib
import errno
import os
from pathlib import Path

import trio

from wisteriaworks.errors import StorageError
from wisteriaworks.events import Event, log_event
from wisteriaworks.records import (
    TEMPORARY_SUFFIX,
    delete_temporary_files,
    write_all,
)

CHECK_INTERVAL_S = 0.5
# Room that the next entries of the log and a vote need.
ROOM_BYTES = 256 * 1024
_ROOM_FILE = f"room{TEMPORARY_SUFFIX}"
_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)


def is_disk_full(exc):
    """Return whether an error, or each error of a group, reports a full disk."""
    if isinstance(exc, BaseExceptionGroup):
        return all(map(is_disk_full, exc.exceptions))
    cause = exc.__cause__
    is_full = isinstance(cause, OSError) and cause.errno in _FULL_ERRORS
    return isinstance(exc, StorageError) and is_full


def has_room(folder):
    """Return whether the disk of a folder takes ``ROOM_BYTES``.

    No store may be open in the folder. A snapshot that did not fit may fill the disk,
    so temporary files are deleted first.
    """
    path = Path(folder) / _ROOM_FILE
    with contextlib.ExitStack() as stack:
        try:
            delete_temporary_files(path.parent)
            fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            stack.callback(path.unlink)
            stack.callback(os.close, fd)
            write_all(fd, bytes(ROOM_BYTES))
            os.fsync(fd)
        except OSError:
            return False
    return True


class _StartedOnce:
    """Report the start of the first of several runs."""

    def __init__(self, task_status):
        self._task_status = task_status
        self._is_started = False

    def started(self, value=None):
        if not self._is_started:
            self._is_started = True
            self._task_status.started(value)


class MemberSupervisor:
    """Run the programs that ``make_program`` returns, one after the other.

    ``initialise`` is called before the first of them, again after it has failed for
    lack of room, and ``create_group`` after a program has ended by itself.
    """

    def __init__(
        self,
        make_program,
        folder,
        initialise=lambda: None,
        create_group=lambda: None,
    ):
        self._make_program = make_program
        self._folder = folder
        self._initialise = initialise
        self._create_group = create_group
        self._is_initialised = False
        self._is_stopping = False
        self.program = None

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled. Raises WisteriaError or OSError."""
        status = _StartedOnce(task_status)
        while True:
            try:
                self._initialise_once()
                self.program = self._make_program()
                await self.program.run(task_status=status)
                self._create_group()
                continue
            except Exception as exc:
                if not is_disk_full(exc) or self._is_stopping:
                    raise
                self.program = None
            status.started()
            log_event(Event.DISK_FULL, folder=str(self._folder))
            await self._wait_for_room()
            log_event(Event.DISK_HAS_ROOM, folder=str(self._folder))

    def _initialise_once(self):
        # A folder that is emptied later must not be initialised again.
        if not self._is_initialised:
            self._initialise()
            self._is_initialised = True

    async def _wait_for_room(self):
        has_enough = False
        while not has_enough:
            # Also before the first check: if the program needs more room than is
            # checked, it is not started again and again without a pause.
            await trio.sleep(CHECK_INTERVAL_S)
            has_enough = await trio.to_thread.run_sync(has_room, self._folder)

    def reload(self):
        """Check for changed settings now."""
        if self.program is not None:
            self.program.reload()

    async def drain(self):
        """Stop accepting calls and wait for the running calls."""
        self._is_stopping = True
        if self.program is not None:
            await self.program.drain()
