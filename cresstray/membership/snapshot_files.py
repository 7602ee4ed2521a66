"""The folder of what is kept: two generations, a lock, and a thread that writes. Not a crash, not a guess."""

from __future__ import annotations

import errno
import fcntl
import os
import stat
import threading
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

from cresstray.membership.confidence import ClockReading
from cresstray.membership.snapshot import (
    MAX_BODY_BYTES,
    ForeignSnapshotError,
    Snapshot,
    UnusableSnapshotError,
    decode,
    encode,
)

SNAPSHOT_FILE_NAMES = ("engines.a", "engines.b")
_FRESH, _LOCK = "engines.new", "lock"
# A piece of a write; a disk that is slow is given it in pieces, and so is a test that kills in between.
_PIECE = 1 << 16
# A damaged header's serial, not one that was ever counted up to.
_MOST_SERIAL = 1 << 40


class FileSystem:
    """The calls to the disk, each one system call, so that a test can fail any of them."""

    open, close, read, write = staticmethod(os.open), staticmethod(os.close), os.read, os.write
    fsync, rename = staticmethod(os.fsync), staticmethod(os.rename)

    @staticmethod
    def lock(descriptor: int) -> None:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)

    @staticmethod
    def is_regular_file(descriptor: int) -> bool:
        return stat.S_ISREG(os.fstat(descriptor).st_mode)


class ReadResult(NamedTuple):
    """The newest list that is whole, its serial and its file; a line for each file that was skipped."""

    snapshot: Snapshot | None
    serial: int
    file_name: str
    skipped_lines: list[str]
    highest_serial: int = 0  # serial of any file, skipped ones too
    has_foreign_file: bool = False  # another gateway's file stands there


def read_clocks() -> ClockReading:
    """Now, by all readings there are."""
    try:
        with open("/proc/sys/kernel/random/boot_id") as file:
            boot = file.read().strip()
    except OSError:
        boot = ""
    return ClockReading(time.time_ns() // 1000, boot, time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000)


class SnapshotFolder:
    """One gateway's folder. Whoever holds its lock writes; anybody may read at any time.

    A file is written aside, synced, put in the older generation's place, and the folder synced: at any moment
    at least the newer generation is whole under its name.
    """

    def __init__(self, path: str, owner: str, system: FileSystem | None = None) -> None:
        self.path, self.owner, self._system = path, owner, system or FileSystem()
        self._lock: int | None = None
        self._serial, self._newest = 0, ""  # known once it was read under the lock
        self.found_at_lock = ReadResult(None, 0, "", [])  # what stood there when the lock came

    @property
    def is_locked(self) -> bool:
        return self._lock is not None

    def lock(self) -> bool:
        """Whether this process may write; asked again while another one still ends. OSError: the disk's."""
        if self._lock is not None:
            return True
        descriptor = self._system.open(self._at(_LOCK), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            self._system.lock(descriptor)
        except BlockingIOError:
            self._system.close(descriptor)
            return False
        except BaseException:
            self._system.close(descriptor)
            raise
        self._lock = descriptor
        # Danger: the one that ended may have written since we read; that one must not be taken for the older.
        self.found_at_lock = self.read()
        self._serial, self._newest = self.found_at_lock.highest_serial, self.found_at_lock.file_name
        return True

    def unlock(self) -> None:
        if self._lock is not None:
            self._system.close(self._lock)
            self._lock = None

    def read(self) -> ReadResult:
        """Never raises for what a file or the disk is like."""
        skipped: list[str] = []
        best, highest, foreign = ReadResult(None, 0, "", skipped), 0, False
        for name, serial, record, trouble in self.read_each():
            # Danger: a later build's file is skipped, and would be the newest again once that build is back.
            highest = max(highest, serial if serial < _MOST_SERIAL else 0)
            if record is None:
                skipped.append(f"{self._at(name)}: skipped, {one_line(trouble)}")
                foreign = foreign or isinstance(trouble, ForeignSnapshotError)
            elif serial > best.serial or best.snapshot is None:
                best = ReadResult(record, serial, name, skipped)
        return best._replace(highest_serial=highest, has_foreign_file=foreign)

    def read_each(self) -> Iterator[tuple[str, int, Snapshot | None, Exception | None]]:
        """Each file that is there: its name, its serial and content, or why it can't be used."""
        for name in SNAPSHOT_FILE_NAMES:
            try:
                yield name, *decode(self._content(self._at(name)), self.owner), None
            except FileNotFoundError:
                continue
            except (UnusableSnapshotError, OSError) as trouble:
                yield name, getattr(trouble, "serial", 0), None, trouble

    def _content(self, path: str) -> bytes:
        # Danger: a pipe under this name would hold up the start for good.
        descriptor = self._system.open(path, os.O_RDONLY | os.O_CLOEXEC | os.O_NONBLOCK)
        try:
            if not self._system.is_regular_file(descriptor):
                raise UnusableSnapshotError("not a file")
            pieces, size = [], 0
            while piece := self._system.read(descriptor, _PIECE * 16):
                pieces.append(piece)
                size += len(piece)
                if size > MAX_BODY_BYTES + 64:
                    raise UnusableSnapshotError("longer than any kept list")
            return b"".join(pieces)
        finally:
            self._system.close(descriptor)

    def write(self, record: Snapshot) -> int:
        """Its size, once it is safe. OSError, UnusableError: the old list or the new one is there, whole."""
        if self._lock is None:
            raise OSError(errno.EBUSY, "another process keeps this folder")
        if self.found_at_lock.has_foreign_file:
            raise OSError(errno.EEXIST, "another gateway's files are in this folder")
        data = encode(record, self._serial + 1)
        name = SNAPSHOT_FILE_NAMES[1] if self._newest == SNAPSHOT_FILE_NAMES[0] else SNAPSHOT_FILE_NAMES[0]
        descriptor = self._system.open(
            self._at(_FRESH), os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600
        )
        try:
            left = memoryview(data)
            while left:
                left = left[self._system.write(descriptor, left[:_PIECE]) :]
            # Danger: a rename may reach the disk before what it names.
            self._system.fsync(descriptor)
        finally:
            self._system.close(descriptor)
        self._system.rename(self._at(_FRESH), self._at(name))
        # From here on it is the newest for whoever reads, synced or not; the next goes over the other one.
        self._serial, self._newest = self._serial + 1, name
        folder = self._system.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            self._system.fsync(folder)
        finally:
            self._system.close(folder)
        return len(data)

    def _at(self, name: str) -> str:
        return os.path.join(self.path, name)


def one_line(trouble: Exception) -> str:
    """In one line."""
    text = (trouble.strerror or repr(trouble)) if isinstance(trouble, OSError) else str(trouble)
    return " ".join(text.split())[:160]


class WriteResult(NamedTuple):
    """`found`: with the lock came a newer list than the one that was read; nothing was written over it."""

    error: str  # "": none
    duration_us: int  # microseconds
    size_bytes: int
    is_folder_busy: bool = False  # another process keeps the folder
    newer: ReadResult | None = None


class SnapshotWriter:
    """One write at a time in a thread of its own, so that a disk that hangs holds up nothing.

    Danger: a thread that the process waits for at its end would hold up a stop for as long as the disk does.
    """

    def __init__(self, folder: SnapshotFolder) -> None:
        self.folder = folder
        self._outcome: WriteResult | None = None
        self._thread: threading.Thread | None = None

    def start(self, make: Callable[[], Snapshot], read: int) -> None:
        """`make` is called in the thread: what it reads must not change.

        `read`: the serial of the newest list that this process has taken in.
        """
        assert self._thread is None, "two writes at once"
        self._outcome = None
        self._thread = threading.Thread(target=self._work, args=(make, read), name="kept", daemon=True)
        self._thread.start()

    def _work(self, make: Callable[[], Snapshot], read: int) -> None:
        begun, trouble, size, busy, found = time.monotonic_ns(), "", 0, False, None
        try:
            fresh = not self.folder.is_locked
            if not self.folder.lock():
                trouble, busy = "another process keeps this folder", True
            elif fresh and self.folder.found_at_lock.serial > read:
                found = self.folder.found_at_lock
            else:
                size = self.folder.write(make())
        except (OSError, UnusableSnapshotError) as fault:
            trouble = one_line(fault)
        except Exception as fault:  # Danger: a thread that dies unheard would write no more.
            trouble = f"a fault of its own: {fault!r}"
        self._outcome = WriteResult(trouble, (time.monotonic_ns() - begun) // 1000, size, busy, found)

    def poll(self) -> WriteResult | None:
        """The outcome of the last write, told once."""
        outcome = self._outcome
        # Danger: the thread may set it at any moment; it is cleared only once it is set.
        if outcome is not None:
            self._outcome = self._thread = None
        return outcome
