"""A replicated log of one member, with the interface of ``replica.Replica``."""

import contextlib
import fcntl
import os
import struct
import uuid
from pathlib import Path

import crc32c
import trio

from wisteriaworks.errors import SettingsError, WisteriaError
from wisteriaworks.generated.consensus import Member
from wisteriaworks.generated.subqueries import Acknowledged

_HEADER = struct.Struct(">IIB")
_LOG_NAME = "single.log"
_IDENTITY_NAME = "identity"
_COMMAND, _TERM = 0, 1


class NotLeaderError(WisteriaError):
    """Report that another member leads; the address is empty if unknown."""

    def __init__(self, leader_address):
        super().__init__(f"not the leader; the leader is {leader_address or '?'}")
        self.leader_address = leader_address


class ProposalUnknownError(WisteriaError):
    """Report that a proposal may or may not be applied."""


def initialise_member(cfg):
    """Create the first member in an empty data folder. Raises SettingsError."""
    folder = Path(cfg.data_folder)
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise SettingsError(f"the data folder {folder} is not empty")
    _write_synced(folder / _IDENTITY_NAME, uuid.uuid4().hex.encode())
    _write_synced(folder / _LOG_NAME, b"")
    return f"{cfg.name}/{_read_identity(folder)}"


class SingleReplica:
    """Apply each proposal once it is synced to a file."""

    def __init__(self, cfg, machine):
        self._cfg = cfg
        self._machine = machine
        self._folder = Path(cfg.data_folder)
        self._path = self._folder / _LOG_NAME
        self._file = None
        self._index = 0
        self.term = 0
        self.became_leader_at = None
        self.members = ()

    def __enter__(self):
        if self._path.exists():
            with contextlib.ExitStack() as stack:
                stack.push(self.__exit__)
                self._open()
                stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        if self._file is not None:
            self._file.close()
            self._file = None

    @property
    def is_leader(self):
        """Say whether this member leads."""
        return self._file is not None

    @property
    def leader_address(self):
        """Return the address of the leader, empty if unknown."""
        return self._cfg.address if self.is_leader else ""

    async def run(self):
        """Run until cancelled."""
        await trio.sleep_forever()

    async def propose(self, data):
        """Return the state machine's result. Raises NotLeaderError."""
        await self.confirm_leader()
        self._append(_COMMAND, data)
        self._index += 1
        return self._machine.apply(self._index, data)

    async def confirm_leader(self):
        """Return if this member leads. Raises NotLeaderError."""
        await trio.lowlevel.checkpoint()
        if not self.is_leader:
            raise NotLeaderError("")

    async def change_members(self, action, member_id, address):
        """Refuse: a log of one member has no others. Raises WisteriaError."""
        await self.confirm_leader()
        raise WisteriaError("this member keeps a log of its own")

    async def handle_deliver(self, message):
        """Ignore a message of another member."""
        await trio.lowlevel.checkpoint()
        return Acknowledged()

    def _open(self):
        self._file = self._path.open("r+b")
        _lock(self._file)
        whole = self._replay(self._file.read())
        self._file.truncate(whole)
        self._file.seek(whole)
        self._append(_TERM, b"")
        self.term += 1
        self.became_leader_at = trio.current_time()
        member_id = f"{self._cfg.name}/{_read_identity(self._folder)}"
        self.members = (Member(id=member_id, address=self._cfg.address, voter=True),)

    def _replay(self, data):
        offset = 0
        while offset + _HEADER.size <= len(data):
            length, checksum, kind = _HEADER.unpack_from(data, offset)
            start = offset + _HEADER.size
            payload = data[start : start + length]
            if len(payload) < length or crc32c.crc32c(payload) != checksum:
                break
            self._replay_one(kind, payload)
            offset = start + length
        return offset

    def _replay_one(self, kind, payload):
        if kind == _TERM:
            self.term += 1
            return
        self._index += 1
        self._machine.apply(self._index, payload)

    def _append(self, kind, data):
        header = _HEADER.pack(len(data), crc32c.crc32c(data), kind)
        self._file.write(header + data)
        self._file.flush()
        os.fsync(self._file.fileno())


def _lock(file):
    # Two processes on one data folder would write over each other's commands.
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as exc:
        raise SettingsError("another process uses the data folder") from exc


def _read_identity(folder):
    return (folder / _IDENTITY_NAME).read_text()


def _write_synced(path, data):
    with path.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
