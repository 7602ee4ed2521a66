"""Intentions on a local disk, synced before a relay goes out while the store is away. The only file with disk
calls.

What was intended and not settled when the process ended is unknown to the next one. Records are of one
length, each with its own check sum: a torn tail is cut, a damaged one in the middle is left out, and both are
told.
"""

from __future__ import annotations

import errno
import fcntl
import os
import struct
import threading
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple
from zlib import crc32

from cresstray.idempotency.records import EventKind, RecordEvent

# Kind, number, digest, fence, tenant; a check sum behind it. 20 bytes are a digest's, marks.py has why.
_BODY = struct.Struct(">BQ20sQI")
_SUM = struct.Struct(">I")
ENTRY_SIZE = _BODY.size + _SUM.size
# What it is, and of which form; as long as a record.
_HEAD = b"cresstray marks 1\n".ljust(ENTRY_SIZE, b"\0")
# Written anew once it is so long and mostly settled: 16,000 records, a few milliseconds of a disk.
_COMPACT = 16_000 * ENTRY_SIZE
# Danger: a file of any length would hold up the start. So many are a day of one a second, none settled.
_MOST = 100_000 * ENTRY_SIZE


class EntryKind(IntEnum):
    CLAIMED = 1
    SETTLED = 2


class JournalEntry(NamedTuple):
    """`number`: its own among this file's, so that two intentions of one mark are two."""

    kind: EntryKind
    entry_id: int
    digest: bytes
    fence: int
    tenant: int


class JournalLockedError(Exception):
    """Another process has this journal."""


class JournalFormatError(ValueError):
    """No journal of ours, or of another form; one line that says why."""


class DiskCalls:
    """The calls to the disk, so that a test can fail any of them."""

    open, close, read, write = staticmethod(os.open), staticmethod(os.close), os.read, os.write
    fsync, rename = staticmethod(os.fsync), staticmethod(os.rename)


class Journal:
    """One process's file. `open` may take long; `append` and `compact` sync, and belong in a thread."""

    def __init__(self, path: str, system: DiskCalls | None = None) -> None:
        self.path, self._system = path, system or DiskCalls()
        self._lock: int | None = None
        self._file: int | None = None
        self._size = 0  # of what is whole and synced
        self._spoilt = False  # what the disk has of the file is not known any more
        self.unsettled_entries: dict[int, JournalEntry] = {}  # intended, not settled; by number
        self.warnings: list[str] = []  # what was wrong with it, in lines

    def open(self) -> list[JournalEntry]:
        """What was intended before and never settled. BusyError, UnusableError, OSError."""
        # The lock is a file of its own: the journal's is replaced as it is compacted.
        lock = self._system.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self._system.close(lock)
            raise JournalLockedError(f"{self.path}: another process has it") from None
        except BaseException:
            self._system.close(lock)
            raise
        self._lock = lock
        try:
            self._replay()
        except BaseException:
            self.close()
            raise
        return list(self.unsettled_entries.values())

    def _replay(self) -> None:
        # Danger: a pipe under this name would hold up the start for good.
        self._file = self._system.open(
            self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NONBLOCK, 0o600
        )
        pieces, size = [], 0
        while piece := self._system.read(self._file, 1 << 20):
            pieces.append(piece)
            size += len(piece)
            if size > _MOST:
                raise JournalFormatError(f"{self.path}: longer than any journal")
        data = b"".join(pieces)
        head, size = data[:ENTRY_SIZE], len(data)
        if len(head) < ENTRY_SIZE and _HEAD.startswith(head):
            # New, or its first write was torn: nothing was ever intended by it.
            if head:
                self.warnings.append(f"{self.path}: torn in its first record; begun anew")
            self._anew(())
            return
        if head != _HEAD:
            raise JournalFormatError(f"{self.path}: not a journal of marks, or one of another build")
        damaged = []
        for at in range(ENTRY_SIZE, size - ENTRY_SIZE + 1, ENTRY_SIZE):
            entry = _entry(data[at : at + ENTRY_SIZE])
            if entry is None:
                damaged.append(at)
            elif entry.kind is EntryKind.CLAIMED:
                self.unsettled_entries[entry.entry_id] = entry
            else:
                self.unsettled_entries.pop(entry.entry_id, None)
        # Danger: after a crash the file may be as long as it should be, with zeros where nothing was written
        # yet.
        tail = size
        while damaged and damaged[-1] == (tail - ENTRY_SIZE) // ENTRY_SIZE * ENTRY_SIZE:
            tail = damaged.pop()
        tail = min(tail, tail // ENTRY_SIZE * ENTRY_SIZE)
        if tail < size:
            self.warnings.append(f"{self.path}: a torn tail, {size - tail} bytes cut at {tail}")
        if damaged:
            self.warnings.append(
                f"{self.path}: {len(damaged)} damaged records left out, the first at "
                f"{damaged[0]}; what they intended is not known"
            )
        if tail < size or damaged or size > _COMPACT:
            self._anew(self.unsettled_entries.values())
        else:
            self._size = size

    def append(self, entries: Iterable[JournalEntry]) -> None:
        """All of them, synced. OSError: none of them counts, and what was there before is kept."""
        entries = list(entries)
        kept = self._after(entries)
        if self._spoilt or self._size > _COMPACT and self._size > 4 * ENTRY_SIZE * (1 + len(kept)):
            self._anew(kept.values())
        else:
            self._append(b"".join(map(_record, entries)))
        self.unsettled_entries = kept

    def _after(self, entries: list[JournalEntry]) -> dict[int, JournalEntry]:
        kept = dict(self.unsettled_entries)
        for entry in entries:
            if entry.kind is EntryKind.CLAIMED:
                kept[entry.entry_id] = entry
            else:
                kept.pop(entry.entry_id, None)
        return kept

    def _append(self, data: bytes) -> None:
        if self._size + len(data) > _MOST:
            raise OSError(errno.EFBIG, "the journal is full of what was never settled")
        # Danger: after a sync that failed, the next may say that all is well, and what was lost stays lost.
        # Nothing is appended to such a file: all that counts is written anew.
        self._spoilt = True
        self._whole(self._file, data)
        self._system.fsync(self._file)
        self._size, self._spoilt = self._size + len(data), False

    def _anew(self, entries: Iterable[JournalEntry]) -> None:
        """Written aside, synced, put in its place, and the folder synced."""
        data, fresh = _HEAD + b"".join(map(_record, entries)), f"{self.path}.new"
        file = self._system.open(fresh, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            self._whole(file, data)
            self._system.fsync(file)
            self._system.rename(fresh, self.path)
        except BaseException:
            self._system.close(file)
            raise
        if self._file is not None:
            self._system.close(self._file)
        self._file, self._size, self._spoilt = file, len(data), True
        folder = self._system.open(
            os.path.dirname(os.path.abspath(self.path)), os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC
        )
        try:
            self._system.fsync(folder)
        finally:
            self._system.close(folder)
        self._spoilt = False

    def _whole(self, file: int, data: bytes) -> None:
        left = memoryview(data)
        while left:
            left = left[self._system.write(file, left) :]

    def close(self) -> None:
        for descriptor in (self._file, self._lock):
            if descriptor is not None:
                self._system.close(descriptor)
        self._file = self._lock = None


def _record(entry: JournalEntry) -> bytes:
    body = _BODY.pack(*entry)
    return body + _SUM.pack(crc32(body))


def _entry(record: bytes) -> JournalEntry | None:
    body = record[: _BODY.size]
    if _SUM.unpack(record[_BODY.size :])[0] != crc32(body) or body[0] not in (
        EntryKind.CLAIMED,
        EntryKind.SETTLED,
    ):
        return None
    what, *rest = _BODY.unpack(body)
    return JournalEntry(EntryKind(what), *rest)


def make_unknown_event(entry: JournalEntry, owner: str, life: str) -> RecordEvent:
    """What a mark is to say of an intention that a crash cut off: when it was sent nobody can tell."""
    return RecordEvent(EventKind.UNKNOWN, owner, life, entry.fence)


class JournalWriter:
    """Appends in a thread of its own, all that waits in one sync, so that a disk that hangs holds up nothing.

    Danger: a thread that the process waits for at its end would hold up a stop for as long as the disk does.
    """

    # Beyond this the disk does not keep up; what would wait behind it would be late.
    MAX_WAITING = 1_000

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        # Numbers go on behind those that the file has open.
        self._number = max(journal.unsettled_entries, default=0)
        self._waiting: list[JournalEntry] = []
        self._later: list[JournalEntry] = []  # settled, and not written: to go with what is written next
        self._outcomes: dict[int, bool] = {}
        self._changed = threading.Condition()
        self._stopped = False
        self.last_error = ""  # of the last write; "": none
        self._thread = threading.Thread(target=self._work, name="marks", daemon=True)
        self._thread.start()

    def append_claim(self, digest: bytes, fence: int, tenant: int) -> int | None:
        """Its number; `synced` tells what became of it. None: too many wait."""
        with self._changed:
            if self._stopped or len(self._waiting) >= self.MAX_WAITING:
                return None
            self._number += 1
            self._waiting.append(JournalEntry(EntryKind.CLAIMED, self._number, digest, fence, tenant))
            self._changed.notify()
            return self._number

    def append_settled(self, number: int) -> None:
        with self._changed:
            if not self._stopped and len(self._waiting) < 4 * self.MAX_WAITING:
                self._waiting.append(JournalEntry(EntryKind.SETTLED, number, b"", 0, 0))
                self._changed.notify()

    def take_sync_result(self, number: int) -> bool | None:
        """Told once: True, it is on the disk; False, it is not; None, not known yet."""
        with self._changed:
            return self._outcomes.pop(number, None)

    def stop(self) -> None:
        """No more is taken; what waits is still written, if the disk lets it."""
        with self._changed:
            self._stopped = True
            self._changed.notify()

    def join(self, seconds: float) -> bool:
        """Whether all is written and the file is closed."""
        self._thread.join(seconds)
        return not self._thread.is_alive()

    def _work(self) -> None:
        while True:
            with self._changed:
                while not (self._waiting or self._stopped):
                    self._changed.wait()
                entries, self._waiting, self._later = self._later + self._waiting, [], []
                if not entries:
                    break
            trouble = ""
            try:
                self._journal.append(entries)
            except OSError as fault:
                trouble = " ".join((fault.strerror or repr(fault)).split())[:160]
            except Exception as fault:  # Danger: a thread that dies unheard would sync no more.
                trouble = f"a fault of its own: {fault!r}"
            with self._changed:
                self.last_error = trouble
                for entry in entries:
                    if entry.kind is EntryKind.CLAIMED:
                        self._outcomes[entry.entry_id] = not trouble
                    elif trouble and not self._stopped:
                        self._later.append(entry)
        self._journal.close()
