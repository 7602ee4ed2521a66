"""Journal of claims on a local disk; while the store is unavailable, claims are synced before dispatch.

The next process reports claims that were not settled when this one ended: their outcome is unknown. An
incomplete end of the file is truncated, a damaged entry in the middle is skipped, and both are reported as
warnings. `journal_codec` defines the file format.
"""

from __future__ import annotations

import errno
import fcntl
import os
import threading
from collections.abc import Iterable

from cresstray.idempotency import journal_codec
from cresstray.idempotency.journal_codec import ENTRY_SIZE, HEADER, EntryKind, JournalEntry
from cresstray.idempotency.records import EventKind, RecordEvent

# A longer file is compacted once most of its claims are settled. Writing 16,000 entries takes a disk a few
# milliseconds.
_COMPACTION_BYTES = 16_000 * ENTRY_SIZE
# Limits the time to read the file at startup. 100,000 entries are more than a day of one unsettled claim a
# second.
_MAX_BYTES = 100_000 * ENTRY_SIZE
_READ_BYTES = 1 << 20
# A file is compacted if less than this part of it consists of unsettled claims.
_MIN_UNSETTLED_DIVISOR = 4
_MAX_ERROR_CHARACTERS = 160


class JournalError(Exception):
    """Base of the journal's errors."""


class JournalLockedError(JournalError):
    """Another process holds the lock of the journal."""


class JournalFormatError(JournalError, ValueError):
    """The file is not a journal, or has another format."""


class DiskCalls:
    """System calls on the disk; tests replace them to make a call fail."""

    open = staticmethod(os.open)
    close = staticmethod(os.close)
    read = staticmethod(os.read)
    write = staticmethod(os.write)
    fsync = staticmethod(os.fsync)
    rename = staticmethod(os.rename)


class Journal:
    """The journal file of one process. `open` and `append` may block on the disk; call them in a thread."""

    def __init__(self, path: str, disk: DiskCalls | None = None) -> None:
        self.path = path
        self._disk = disk or DiskCalls()
        self._lock_descriptor: int | None = None
        self._file_descriptor: int | None = None
        self._synced_bytes = 0
        self._is_tail_uncertain = False  # whether the last write is on the disk is unknown
        self.unsettled_entries: dict[int, JournalEntry] = {}  # by id
        self.warnings: list[str] = []  # damage found when the file was read

    def open(self) -> list[JournalEntry]:
        """Locks and reads the journal; returns the claims that earlier processes never settled.

        Raises:
            JournalLockedError: Another process holds the lock.
            JournalFormatError: The file is not a journal, or has another format.
            OSError: A call to the disk failed.
        """
        # The lock is a separate file, because compaction replaces the journal file.
        lock_descriptor = self._disk.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self._disk.close(lock_descriptor)
            raise JournalLockedError(f"{self.path}: locked by another process") from None
        except BaseException:
            self._disk.close(lock_descriptor)
            raise
        self._lock_descriptor = lock_descriptor
        try:
            self._replay()
        except BaseException:
            self.close()
            raise
        return list(self.unsettled_entries.values())

    def _replay(self) -> None:
        data = self._read_file()
        header = data[:ENTRY_SIZE]
        if len(header) < ENTRY_SIZE and HEADER.startswith(header):
            # A new file, or one whose first write was incomplete: it never held a claim.
            if header:
                self.warnings.append(f"{self.path}: first record incomplete; starting a new journal")
            self._rewrite(())
            return
        if header != HEADER:
            raise JournalFormatError(
                f"{self.path}: not a journal of claims, or a journal with another format"
            )
        replayed = journal_codec.replay(data)
        self.unsettled_entries = replayed.unsettled
        self._report_damage(replayed, len(data))
        is_torn = replayed.intact_bytes < len(data)
        if is_torn or replayed.damaged_offsets or len(data) > _COMPACTION_BYTES:
            self._rewrite(self.unsettled_entries.values())
        else:
            self._synced_bytes = len(data)

    def _read_file(self) -> bytes:
        # O_NONBLOCK: opening or reading a named pipe at this path would otherwise block the start forever.
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NONBLOCK
        self._file_descriptor = self._disk.open(self.path, flags, 0o600)
        chunks = []
        size = 0
        while chunk := self._disk.read(self._file_descriptor, _READ_BYTES):
            chunks.append(chunk)
            size += len(chunk)
            if size > _MAX_BYTES:
                raise JournalFormatError(f"{self.path}: longer than the maximum size of a journal")
        return b"".join(chunks)

    def _report_damage(self, replayed: journal_codec.ReplayedFile, size: int) -> None:
        cut_bytes = size - replayed.intact_bytes
        if cut_bytes:
            self.warnings.append(
                f"{self.path}: incomplete end, {cut_bytes} bytes truncated at offset {replayed.intact_bytes}"
            )
        if replayed.damaged_offsets:
            self.warnings.append(
                f"{self.path}: {len(replayed.damaged_offsets)} damaged records skipped, the first at offset "
                f"{replayed.damaged_offsets[0]}; their claims are unknown"
            )

    def append(self, entries: Iterable[JournalEntry]) -> None:
        """Writes and syncs the entries.

        Raises:
            OSError: None of the entries counts as written; the earlier ones are kept.
        """
        entries = list(entries)
        unsettled = journal_codec.apply_entries(self.unsettled_entries, entries)
        if self._is_tail_uncertain or self._is_compaction_due(len(unsettled)):
            self._rewrite(unsettled.values())
        else:
            self._append(b"".join(map(journal_codec.encode_entry, entries)))
        self.unsettled_entries = unsettled

    def _is_compaction_due(self, unsettled_count: int) -> bool:
        needed_bytes = ENTRY_SIZE * (1 + unsettled_count)
        is_mostly_settled = self._synced_bytes > _MIN_UNSETTLED_DIVISOR * needed_bytes
        return self._synced_bytes > _COMPACTION_BYTES and is_mostly_settled

    def _append(self, data: bytes) -> None:
        assert self._file_descriptor is not None, "the journal is not open"
        if self._synced_bytes + len(data) > _MAX_BYTES:
            raise OSError(errno.EFBIG, "the journal is full of unsettled claims")
        # After a failed sync the next one may report success although data was lost. Nothing is appended to
        # such a file; the next write rewrites it with all unsettled claims.
        self._is_tail_uncertain = True
        self._write_all(self._file_descriptor, data)
        self._disk.fsync(self._file_descriptor)
        self._synced_bytes += len(data)
        self._is_tail_uncertain = False

    def _rewrite(self, entries: Iterable[JournalEntry]) -> None:
        """Writes and syncs a new file, renames it to the journal's path, and syncs the directory."""
        data = journal_codec.encode_file(entries)
        new_path = f"{self.path}.new"
        file_descriptor = self._disk.open(new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            self._write_all(file_descriptor, data)
            self._disk.fsync(file_descriptor)
            self._disk.rename(new_path, self.path)
        except BaseException:
            self._disk.close(file_descriptor)
            raise
        if self._file_descriptor is not None:
            self._disk.close(self._file_descriptor)
        self._file_descriptor = file_descriptor
        self._synced_bytes = len(data)
        self._is_tail_uncertain = True
        self._sync_directory()
        self._is_tail_uncertain = False

    def _sync_directory(self) -> None:
        path = os.path.dirname(os.path.abspath(self.path))
        directory_descriptor = self._disk.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            self._disk.fsync(directory_descriptor)
        finally:
            self._disk.close(directory_descriptor)

    def _write_all(self, file_descriptor: int, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[self._disk.write(file_descriptor, remaining) :]

    def close(self) -> None:
        """Closes the file and releases the lock."""
        for descriptor in (self._file_descriptor, self._lock_descriptor):
            if descriptor is not None:
                self._disk.close(descriptor)
        self._file_descriptor = None
        self._lock_descriptor = None


def make_unknown_event(entry: JournalEntry, owner: str, incarnation: str) -> RecordEvent:
    """Returns the report on a claim that was unsettled at a crash; its time of dispatch is unknown."""
    return RecordEvent(EventKind.UNKNOWN, owner, incarnation, entry.fence)


class JournalWriter:
    """Appends entries in a separate thread, with one sync for all that wait.

    A disk that hangs does not block the event loop. The thread is a daemon, because a process that waits for
    it at exit would hang for as long as the disk.
    """

    # With more waiting entries the disk is too slow, and a new claim would be synced too late.
    MAX_WAITING = 1_000
    # More settlements may wait, as no request depends on them.
    _MAX_WAITING_SETTLED = 4 * MAX_WAITING

    def __init__(self, journal: Journal) -> None:
        """Starts the thread; takes over a journal that is open."""
        self._journal = journal
        # New ids follow the greatest id among the unsettled claims in the file.
        self._last_id = max(journal.unsettled_entries, default=0)
        self._waiting: list[JournalEntry] = []
        self._unwritten_settled: list[JournalEntry] = []  # from a failed write; retried with the next one
        self._sync_results: dict[int, bool] = {}
        self._condition = threading.Condition()
        self._is_stopped = False
        self.last_error = ""  # error of the last write; "" if it succeeded
        self._thread = threading.Thread(target=self._run, name="idempotency journal", daemon=True)
        self._thread.start()

    def append_claim(self, digest: bytes, fence: int, tenant: int) -> int | None:
        """Queues a claim; returns its entry id for `take_sync_result`, or None if too many entries wait."""
        with self._condition:
            if self._is_stopped or len(self._waiting) >= self.MAX_WAITING:
                return None
            self._last_id += 1
            self._waiting.append(JournalEntry(EntryKind.CLAIMED, self._last_id, digest, fence, tenant))
            self._condition.notify()
            return self._last_id

    def append_settled(self, entry_id: int) -> None:
        """Queues the settlement of a claim: it needs no report any more."""
        with self._condition:
            if not self._is_stopped and len(self._waiting) < self._MAX_WAITING_SETTLED:
                self._waiting.append(JournalEntry(EntryKind.SETTLED, entry_id, b"", 0, 0))
                self._condition.notify()

    def take_sync_result(self, entry_id: int) -> bool | None:
        """Returns whether the entry is on the disk, and forgets it; None while that is unknown."""
        with self._condition:
            return self._sync_results.pop(entry_id, None)

    def stop(self) -> None:
        """Accepts no more entries; those that wait are still written, unless the disk hangs."""
        with self._condition:
            self._is_stopped = True
            self._condition.notify()

    def join(self, timeout_s: float) -> bool:
        """Waits for the thread; returns whether it has written all entries and closed the file."""
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _run(self) -> None:
        while entries := self._take_waiting():
            error = self._write(entries)
            with self._condition:
                self._on_written(entries, error)
        self._journal.close()

    def _take_waiting(self) -> list[JournalEntry]:
        """Blocks until entries wait; returns an empty list when the thread must end."""
        with self._condition:
            while not (self._waiting or self._is_stopped):
                self._condition.wait()
            entries = self._unwritten_settled + self._waiting
            self._waiting = []
            self._unwritten_settled = []
            return entries

    def _write(self, entries: list[JournalEntry]) -> str:
        """Writes and syncs entries; returns an error text, or "" on success."""
        try:
            self._journal.append(entries)
        except OSError as error:
            return " ".join((error.strerror or repr(error)).split())[:_MAX_ERROR_CHARACTERS]
        except Exception as error:  # An uncaught exception would end the thread, and nothing would be synced.
            return f"internal error: {error!r}"
        return ""

    def _on_written(self, entries: list[JournalEntry], error: str) -> None:
        self.last_error = error
        for entry in entries:
            if entry.kind is EntryKind.CLAIMED:
                self._sync_results[entry.entry_id] = not error
            elif error and not self._is_stopped:
                self._unwritten_settled.append(entry)
