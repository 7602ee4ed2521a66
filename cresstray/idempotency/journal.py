"""Journal of claims on a local disk, synced before an attempt is sent while the store is unavailable.

A claim that was not settled when the process ended is unknown to the next one. A torn end of the file is
cut, a damaged entry in the middle is left out, and both are reported. `journal_codec` has the form of the
file.
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

# Rewritten once it is so long and mostly settled: 16,000 entries, a few milliseconds of a disk.
_COMPACTION_BYTES = 16_000 * ENTRY_SIZE
# A file of any length would delay the start. So many entries are a day of one a second, none settled.
_MAX_BYTES = 100_000 * ENTRY_SIZE
_READ_BYTES = 1 << 20
# A file that is rewritten once less than this part of it counts.
_MIN_UNSETTLED_DIVISOR = 4
_MAX_ERROR_CHARACTERS = 160


class JournalError(Exception):
    """Base of the journal's errors."""


class JournalLockedError(JournalError):
    """Another process has this journal."""


class JournalFormatError(JournalError, ValueError):
    """The file is no journal, or one of another form; a line that says why."""


class DiskCalls:
    """The calls to the disk, so that a test can make any of them fail."""

    open = staticmethod(os.open)
    close = staticmethod(os.close)
    read = staticmethod(os.read)
    write = staticmethod(os.write)
    fsync = staticmethod(os.fsync)
    rename = staticmethod(os.rename)


class Journal:
    """One process's file. `open` may take long; `append` syncs. Both belong in a thread."""

    def __init__(self, path: str, disk: DiskCalls | None = None) -> None:
        self.path = path
        self._disk = disk or DiskCalls()
        self._lock_descriptor: int | None = None
        self._file_descriptor: int | None = None
        self._synced_bytes = 0
        self._is_tail_uncertain = False  # what the disk has of the file's end is unknown
        self.unsettled_entries: dict[int, JournalEntry] = {}  # by id
        self.warnings: list[str] = []  # what was wrong with the file

    def open(self) -> list[JournalEntry]:
        """Returns the claims of earlier processes that were never settled.

        Raises:
            JournalLockedError: Another process has it.
            JournalFormatError: The file is no journal of this form.
            OSError: From the disk.
        """
        # The lock is a file of its own, because the journal's file is replaced when it is compacted.
        lock_descriptor = self._disk.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self._disk.close(lock_descriptor)
            raise JournalLockedError(f"{self.path}: another process has it") from None
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
            # New, or its first write was torn: it never held a claim.
            if header:
                self.warnings.append(f"{self.path}: torn in its first record; begun anew")
            self._rewrite(())
            return
        if header != HEADER:
            raise JournalFormatError(f"{self.path}: not a journal of claims, or one of another build")
        replayed = journal_codec.replay(data)
        self.unsettled_entries = replayed.unsettled
        self._report_damage(replayed, len(data))
        is_torn = replayed.intact_bytes < len(data)
        if is_torn or replayed.damaged_offsets or len(data) > _COMPACTION_BYTES:
            self._rewrite(self.unsettled_entries.values())
        else:
            self._synced_bytes = len(data)

    def _read_file(self) -> bytes:
        # Not blocking: a named pipe under this path would hold up the start for good.
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NONBLOCK
        self._file_descriptor = self._disk.open(self.path, flags, 0o600)
        chunks = []
        size = 0
        while chunk := self._disk.read(self._file_descriptor, _READ_BYTES):
            chunks.append(chunk)
            size += len(chunk)
            if size > _MAX_BYTES:
                raise JournalFormatError(f"{self.path}: longer than any journal")
        return b"".join(chunks)

    def _report_damage(self, replayed: journal_codec.ReplayedFile, size: int) -> None:
        cut_bytes = size - replayed.intact_bytes
        if cut_bytes:
            self.warnings.append(
                f"{self.path}: a torn tail, {cut_bytes} bytes cut at {replayed.intact_bytes}"
            )
        if replayed.damaged_offsets:
            self.warnings.append(
                f"{self.path}: {len(replayed.damaged_offsets)} damaged records left out, the first at "
                f"{replayed.damaged_offsets[0]}; what they claimed is not known"
            )

    def append(self, entries: Iterable[JournalEntry]) -> None:
        """Writes and syncs all of them.

        Raises:
            OSError: None of them counts, and what was there before is kept.
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
            raise OSError(errno.EFBIG, "the journal is full of what was never settled")
        # After a failed sync the next may report success although data was lost. Nothing is appended to
        # such a file: all that counts is written anew.
        self._is_tail_uncertain = True
        self._write_all(self._file_descriptor, data)
        self._disk.fsync(self._file_descriptor)
        self._synced_bytes += len(data)
        self._is_tail_uncertain = False

    def _rewrite(self, entries: Iterable[JournalEntry]) -> None:
        """Writes a new file aside, syncs it, puts it in place, and syncs the directory."""
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
        """Closes the file and releases its lock."""
        for descriptor in (self._file_descriptor, self._lock_descriptor):
            if descriptor is not None:
                self._disk.close(descriptor)
        self._file_descriptor = None
        self._lock_descriptor = None


def make_unknown_event(entry: JournalEntry, owner: str, incarnation: str) -> RecordEvent:
    """Returns the report on a claim that a crash interrupted: when it was dispatched is unknown."""
    return RecordEvent(EventKind.UNKNOWN, owner, incarnation, entry.fence)


class JournalWriter:
    """Appends in a thread of its own, all that waits in one sync, so that a disk that hangs delays nothing.

    The thread is a daemon, because a process that waited for it at its end would hang for as long as the
    disk.
    """

    # Beyond this the disk does not keep up; what would wait behind it would be late.
    MAX_WAITING = 1_000
    # Settlements may wait longer: nobody depends on them.
    _MAX_WAITING_SETTLED = 4 * MAX_WAITING

    def __init__(self, journal: Journal) -> None:
        """Takes over a journal that is open."""
        self._journal = journal
        # Ids go on after those that the file has open.
        self._last_id = max(journal.unsettled_entries, default=0)
        self._waiting: list[JournalEntry] = []
        self._unwritten_settled: list[JournalEntry] = []  # of a failed write: go with the next
        self._sync_results: dict[int, bool] = {}
        self._condition = threading.Condition()
        self._is_stopped = False
        self.last_error = ""  # of the last write; "" for none
        self._thread = threading.Thread(target=self._run, name="idempotency journal", daemon=True)
        self._thread.start()

    def append_claim(self, digest: bytes, fence: int, tenant: int) -> int | None:
        """Returns the entry's id, for `take_sync_result`; None if too many wait."""
        with self._condition:
            if self._is_stopped or len(self._waiting) >= self.MAX_WAITING:
                return None
            self._last_id += 1
            self._waiting.append(JournalEntry(EntryKind.CLAIMED, self._last_id, digest, fence, tenant))
            self._condition.notify()
            return self._last_id

    def append_settled(self, entry_id: int) -> None:
        """The claim with this id needs no report any more."""
        with self._condition:
            if not self._is_stopped and len(self._waiting) < self._MAX_WAITING_SETTLED:
                self._waiting.append(JournalEntry(EntryKind.SETTLED, entry_id, b"", 0, 0))
                self._condition.notify()

    def take_sync_result(self, entry_id: int) -> bool | None:
        """Returns once whether the entry is on the disk; None while that is unknown."""
        with self._condition:
            return self._sync_results.pop(entry_id, None)

    def stop(self) -> None:
        """Accepts no more; what waits is still written, if the disk allows it."""
        with self._condition:
            self._is_stopped = True
            self._condition.notify()

    def join(self, timeout_s: float) -> bool:
        """Returns whether all is written and the file is closed."""
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _run(self) -> None:
        while entries := self._take_waiting():
            error = self._write(entries)
            with self._condition:
                self._on_written(entries, error)
        self._journal.close()

    def _take_waiting(self) -> list[JournalEntry]:
        """Blocks until there is something to write; returns nothing at the end."""
        with self._condition:
            while not (self._waiting or self._is_stopped):
                self._condition.wait()
            entries = self._unwritten_settled + self._waiting
            self._waiting = []
            self._unwritten_settled = []
            return entries

    def _write(self, entries: list[JournalEntry]) -> str:
        """Returns what went wrong; "" for nothing."""
        try:
            self._journal.append(entries)
        except OSError as error:
            return " ".join((error.strerror or repr(error)).split())[:_MAX_ERROR_CHARACTERS]
        except Exception as error:  # A thread that ended unnoticed would sync nothing any more.
            return f"a fault of its own: {error!r}"
        return ""

    def _on_written(self, entries: list[JournalEntry], error: str) -> None:
        self.last_error = error
        for entry in entries:
            if entry.kind is EntryKind.CLAIMED:
                self._sync_results[entry.entry_id] = not error
            elif error and not self._is_stopped:
                self._unwritten_settled.append(entry)
