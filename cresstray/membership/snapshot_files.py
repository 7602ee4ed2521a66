"""The folder of a gateway's snapshots: files of two generations, a lock, and a writer thread."""

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
from cresstray.membership.errors import ForeignSnapshotError, UnusableSnapshotError
from cresstray.membership.snapshot import MAX_BODY_BYTES, Snapshot, decode, encode

SNAPSHOT_FILE_NAMES = ("engines.a", "engines.b")
_TEMPORARY_NAME = "engines.new"
_LOCK_NAME = "lock"
_FILE_MODE = 0o600
# Files are written in chunks, for slow disks.
_WRITE_CHUNK_BYTES = 1 << 16
_READ_CHUNK_BYTES = 1 << 20
# The longest body, with room for the header.
_MAX_FILE_BYTES = MAX_BODY_BYTES + 64
# A serial above this can't be reached by counting, so it comes from a damaged header.
_MAX_SERIAL = 1 << 40
_MAX_ERROR_LENGTH = 160
_BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


class FileSystem:
    """The file system calls of this module, one system call each, so that tests can let each of them fail."""

    open = staticmethod(os.open)
    close = staticmethod(os.close)
    read = staticmethod(os.read)
    write = staticmethod(os.write)
    fsync = staticmethod(os.fsync)
    rename = staticmethod(os.rename)

    @staticmethod
    def lock(descriptor: int) -> None:
        """Locks the file.

        Raises:
            BlockingIOError: Another process holds the lock.
        """
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)

    @staticmethod
    def is_regular_file(descriptor: int) -> bool:
        """Returns whether the descriptor is of a regular file."""
        return stat.S_ISREG(os.fstat(descriptor).st_mode)


class FileResult(NamedTuple):
    """The result of reading one file: its snapshot, or the error why it can't be used."""

    file_name: str
    serial: int
    snapshot: Snapshot | None
    error: Exception | None


class ReadResult(NamedTuple):
    """The newest usable snapshot of a folder.

    Attributes:
        snapshot: The snapshot; None if no file can be used.
        serial: The serial of the snapshot.
        file_name: The name of its file.
        skipped_lines: A line for each file that can't be used.
        highest_serial: The highest serial of all files, including those that can't be used.
        has_foreign_file: The folder has a file of another gateway.
    """

    snapshot: Snapshot | None
    serial: int
    file_name: str
    skipped_lines: list[str]
    highest_serial: int = 0
    has_foreign_file: bool = False


def read_clocks() -> ClockReading:
    """Returns the present time by all clocks."""
    try:
        with open(_BOOT_ID_PATH) as file:
            boot_id = file.read().strip()
    except OSError:
        boot_id = ""
    uptime_us = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
    return ClockReading(time.time_ns() // 1000, boot_id, uptime_us)


class SnapshotFolder:
    """The snapshot folder of one gateway. Only the holder of the lock writes; any process may read.

    A file is written under a temporary name, synced and renamed over the older generation; then the folder is
    synced. So at any moment at least the newer generation is intact under its name.

    Attributes:
        path: The path of the folder.
        owner: The name of the gateway.
        found_at_lock: The newest snapshot when the lock was acquired.
    """

    def __init__(self, path: str, owner: str, file_system: FileSystem | None = None) -> None:
        self.path = path
        self.owner = owner
        self.found_at_lock = ReadResult(None, 0, "", [])
        self._system = file_system or FileSystem()
        self._lock_descriptor: int | None = None
        # The serial and name of the newest file, known once the folder was read under the lock.
        self._serial = 0
        self._newest_name = ""

    @property
    def is_locked(self) -> bool:
        """Whether this process holds the lock."""
        return self._lock_descriptor is not None

    def lock(self) -> bool:
        """Acquires the lock unless it is held already; returns whether this process may write.

        Raises:
            OSError: The lock file can't be opened or locked.
        """
        if self._lock_descriptor is not None:
            return True
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        descriptor = self._system.open(self._path_of(_LOCK_NAME), flags, _FILE_MODE)
        try:
            self._system.lock(descriptor)
        except BlockingIOError:
            self._system.close(descriptor)
            return False
        except BaseException:
            self._system.close(descriptor)
            raise
        self._lock_descriptor = descriptor
        # The former holder may have written since this process read the folder; that file must not be
        # overwritten as the older generation.
        self.found_at_lock = self.read()
        self._serial = self.found_at_lock.highest_serial
        self._newest_name = self.found_at_lock.file_name
        return True

    def unlock(self) -> None:
        """Releases the lock if it is held."""
        if self._lock_descriptor is not None:
            self._system.close(self._lock_descriptor)
            self._lock_descriptor = None

    def read(self) -> ReadResult:
        """Returns the newest usable snapshot; errors of files and of the disk are reported, not raised."""
        skipped_lines: list[str] = []
        newest = ReadResult(None, 0, "", skipped_lines)
        highest_serial = 0
        has_foreign_file = False
        for found in self.read_each():
            # Files of a later build count too, as they would be the newest again once that build runs again.
            if found.serial < _MAX_SERIAL:
                highest_serial = max(highest_serial, found.serial)
            if found.snapshot is None:
                skipped_lines.append(f"{self._path_of(found.file_name)}: skipped, {one_line(found.error)}")
                has_foreign_file = has_foreign_file or isinstance(found.error, ForeignSnapshotError)
            elif found.serial > newest.serial or newest.snapshot is None:
                newest = ReadResult(found.snapshot, found.serial, found.file_name, skipped_lines)
        return newest._replace(highest_serial=highest_serial, has_foreign_file=has_foreign_file)

    def read_each(self) -> Iterator[FileResult]:
        """Reads each snapshot file that exists."""
        for file_name in SNAPSHOT_FILE_NAMES:
            try:
                serial, snapshot = decode(self._read_file(self._path_of(file_name)), self.owner)
            except FileNotFoundError:
                continue
            except (UnusableSnapshotError, OSError) as error:
                yield FileResult(file_name, getattr(error, "serial", 0), None, error)
            else:
                yield FileResult(file_name, serial, snapshot, None)

    def _read_file(self, path: str) -> bytes:
        # Without O_NONBLOCK a named pipe in place of the file would block the start forever.
        descriptor = self._system.open(path, os.O_RDONLY | os.O_CLOEXEC | os.O_NONBLOCK)
        try:
            if not self._system.is_regular_file(descriptor):
                raise UnusableSnapshotError("not a file")
            chunks: list[bytes] = []
            size_bytes = 0
            while chunk := self._system.read(descriptor, _READ_CHUNK_BYTES):
                chunks.append(chunk)
                size_bytes += len(chunk)
                if size_bytes > _MAX_FILE_BYTES:
                    raise UnusableSnapshotError("longer than any snapshot")
            return b"".join(chunks)
        finally:
            self._system.close(descriptor)

    def write(self, snapshot: Snapshot) -> int:
        """Replaces the older generation; returns the size in bytes once the file is synced.

        Raises:
            OSError, UnusableSnapshotError: The write failed; the last snapshot or the new one is intact.
        """
        if self._lock_descriptor is None:
            raise OSError(errno.EBUSY, "another process holds this folder")
        if self.found_at_lock.has_foreign_file:
            raise OSError(errno.EEXIST, "another gateway's files are in this folder")
        data = encode(snapshot, self._serial + 1)
        first_name, second_name = SNAPSHOT_FILE_NAMES
        older_name = second_name if self._newest_name == first_name else first_name
        self._write_file(self._path_of(_TEMPORARY_NAME), data)
        self._system.rename(self._path_of(_TEMPORARY_NAME), self._path_of(older_name))
        # Readers find it as the newest from here on, even before the sync, so the next write replaces the
        # other.
        self._serial += 1
        self._newest_name = older_name
        self._sync_folder()
        return len(data)

    def _write_file(self, path: str, data: bytes) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        descriptor = self._system.open(path, flags, _FILE_MODE)
        try:
            remaining = memoryview(data)
            while remaining:
                written = self._system.write(descriptor, remaining[:_WRITE_CHUNK_BYTES])
                remaining = remaining[written:]
            # Without the sync the rename may reach the disk before the content does.
            self._system.fsync(descriptor)
        finally:
            self._system.close(descriptor)

    def _sync_folder(self) -> None:
        descriptor = self._system.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            self._system.fsync(descriptor)
        finally:
            self._system.close(descriptor)

    def _path_of(self, file_name: str) -> str:
        return os.path.join(self.path, file_name)


def one_line(error: Exception | None) -> str:
    """Returns the text of an error as one line of bounded length, without the path of an OSError."""
    text = (error.strerror or repr(error)) if isinstance(error, OSError) else str(error)
    return " ".join(text.split())[:_MAX_ERROR_LENGTH]


class WriteResult(NamedTuple):
    """The result of one write.

    Attributes:
        error: One line; empty if the write succeeded.
        duration_us: The duration of the write in microseconds.
        size_bytes: The size of the file.
        is_folder_busy: Another process holds the lock.
        newer: A newer snapshot than the applied one that was found with the lock; it was not overwritten.
    """

    error: str
    duration_us: int
    size_bytes: int
    is_folder_busy: bool = False
    newer: ReadResult | None = None


class SnapshotWriter:
    """Writes one snapshot at a time in a thread, so that a hanging disk does not block the event loop.

    The thread is a daemon thread, so that the end of the process does not wait for it.

    Attributes:
        folder: The folder to write to.
    """

    def __init__(self, folder: SnapshotFolder) -> None:
        self.folder = folder
        self._result: WriteResult | None = None
        self._thread: threading.Thread | None = None

    def start(self, build: Callable[[], Snapshot], read_serial: int) -> None:
        """Starts a write.

        Args:
            build: Builds the snapshot, in the thread; the state that it reads must not change.
            read_serial: The serial of the newest snapshot that this process has applied.
        """
        assert self._thread is None, "two writes at once"
        self._result = None
        self._thread = threading.Thread(
            target=self._run, args=(build, read_serial), name="membership-snapshot", daemon=True
        )
        self._thread.start()

    def poll(self) -> WriteResult | None:
        """Returns the result of a finished write, once; else None."""
        result = self._result
        # The thread may set the result at any moment, so it is cleared only after it was read.
        if result is not None:
            self._result = None
            self._thread = None
        return result

    def _run(self, build: Callable[[], Snapshot], read_serial: int) -> None:
        started_ns = time.monotonic_ns()
        try:
            result = self._write(build, read_serial)
        except (OSError, UnusableSnapshotError) as error:
            result = WriteResult(one_line(error), 0, 0)
        except Exception as error:  # without a result no further write would be started
            result = WriteResult(f"internal error: {error!r}", 0, 0)
        duration_us = (time.monotonic_ns() - started_ns) // 1000
        self._result = result._replace(duration_us=duration_us)

    def _write(self, build: Callable[[], Snapshot], read_serial: int) -> WriteResult:
        was_locked = self.folder.is_locked
        if not self.folder.lock():
            return WriteResult("another process holds this folder", 0, 0, is_folder_busy=True)
        if not was_locked and self.folder.found_at_lock.serial > read_serial:
            return WriteResult("", 0, 0, newer=self.folder.found_at_lock)
        return WriteResult("", 0, self.folder.write(build()))
