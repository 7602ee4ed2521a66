"""One node's log in memory, and the part of it that is not yet written to disk."""

from __future__ import annotations

from bisect import bisect_right
from typing import Any

from cresstray.consensus.codec import MAX_FRAME_ENTRIES
from cresstray.consensus.entries import (
    MAX_DATA_BYTES,
    MAX_SNAPSHOT_BYTES,
    Entry,
    EntryKind,
    Members,
    PendingWrite,
    PersistentState,
    Snapshot,
    decode_members,
)

# Entries kept in memory before a snapshot's index for followers that lag slightly, as sending them costs less
# than a snapshot of some MB. After a restart such a follower gets the snapshot.
_MAX_RETAINED_ENTRIES = 1_000
_MAX_RETAINED_BYTES = 4 * 1024 * 1024


class Log:
    """The entries from `base_index` + 1 on. Those after the snapshot are on disk or about to be written.

    Attributes:
        snapshot: The latest snapshot.
        base_index: Index of the entry before the first one in memory.
        persisted_index: Index of the last entry that is on disk.
    """

    def __init__(self, state: PersistentState) -> None:
        self.snapshot = state.snapshot
        self.base_index = state.snapshot.index
        self._base_term = state.snapshot.term
        self._entries = list(state.entries)
        self._member_lists = [(state.snapshot.index, state.snapshot.members)]
        for index, entry in enumerate(self._entries, self.base_index + 1):
            if entry.kind == EntryKind.MEMBERS:
                self._member_lists.append((index, decode_members(entry.data)))
        self._handed_out_index = self.last_index  # last entry that was handed out to be written
        self.persisted_index = self.last_index
        self._pending_truncation: int | None = None
        self._pending_snapshot: Snapshot | None = None

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def members(self) -> Members:
        """The latest members in the log, committed or not."""
        return self._member_lists[-1][1]

    @property
    def members_index(self) -> int:
        """Index of the entry or snapshot that holds the latest members."""
        return self._member_lists[-1][0]

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at `index`, or None if that is beyond the log or compacted away."""
        if index == self.base_index:
            return self._base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry(self, index: int) -> Entry:
        """Returns the entry at `index`, which must be in memory."""
        assert self.base_index < index <= self.last_index, "the entry is not in the log"
        return self._entries[index - self.base_index - 1]

    def batch(self, index: int) -> tuple[list[Entry], int]:
        """Returns the entries from `index` on that fit one frame, at least one, and their data size."""
        entries: list[Entry] = []
        size = 0
        first = index - self.base_index - 1
        for position in range(first, min(len(self._entries), first + MAX_FRAME_ENTRIES)):
            entry = self._entries[position]
            if entries and size + len(entry.data) > MAX_DATA_BYTES:
                break
            entries.append(entry)
            size += len(entry.data)
        return entries, size

    def last_index_of_term(self, term: int, max_index: int) -> int | None:
        """Returns the last index of `term` that is not after `max_index`, or None if there is none."""
        position = bisect_right(
            self._entries, term, hi=max(0, max_index - self.base_index), key=lambda entry: entry.term
        )
        index = self.base_index + position
        return index if self.term_at(index) == term else None

    def first_index_of_term(self, term: int, min_index: int, max_index: int) -> int:
        """Returns the first index of `term`, the term of `max_index`, that is not before `min_index`."""
        end = max(0, max_index - self.base_index)
        position = bisect_right(self._entries, term - 1, hi=end, key=lambda entry: entry.term)
        return max(min_index, self.base_index + position + 1)

    def append(self, entry: Entry, members: Members | None = None) -> int:
        """Appends an entry and returns its index."""
        assert entry.term >= self.last_term, "terms never decrease along the log"
        self._entries.append(entry)
        if entry.kind == EntryKind.MEMBERS:
            self._member_lists.append((self.last_index, members or decode_members(entry.data)))
        return self.last_index

    def truncate_from(self, index: int) -> None:
        """Deletes the entries from `index` on."""
        assert index > self.snapshot.index, "entries in a snapshot are committed and can't be deleted"
        del self._entries[index - self.base_index - 1 :]
        while self._member_lists[-1][0] >= index:
            self._member_lists.pop()
        if index <= self._handed_out_index:
            self._pending_truncation = (
                index if self._pending_truncation is None else min(self._pending_truncation, index)
            )
            self._handed_out_index = index - 1
            self.persisted_index = min(self.persisted_index, self._handed_out_index)

    def compact(self, index: int, data: bytes) -> None:
        """Replaces the entries up to `index` by a snapshot; keeps some in memory for slow followers."""
        term = self.term_at(index)
        assert term is not None and self.snapshot.index < index <= self._handed_out_index, (
            "applied entries are in the log and handed out"
        )
        if len(data) > MAX_SNAPSHOT_BYTES:
            raise ValueError(f"a snapshot of {len(data)} bytes; {MAX_SNAPSHOT_BYTES} at most")
        while len(self._member_lists) > 1 and self._member_lists[1][0] <= index:
            del self._member_lists[0]
        self.snapshot = self._pending_snapshot = Snapshot(index, term, self._member_lists[0][1], data)
        first_kept = index
        size = 0
        while first_kept > self.base_index and index - first_kept < _MAX_RETAINED_ENTRIES:
            size += len(self.entry(first_kept).data)
            if size > _MAX_RETAINED_BYTES:
                break
            first_kept -= 1
        if first_kept > self.base_index:
            self._base_term = self.entry(first_kept).term
            self._entries = self._entries[first_kept - self.base_index :]
            self.base_index = first_kept

    def restore(self, snapshot: Snapshot) -> None:
        """Installs a leader's snapshot; keeps the entries after it if the log matches it."""
        if self.term_at(snapshot.index) == snapshot.term:
            self._entries = self._entries[snapshot.index - self.base_index :]
            self._member_lists = [(snapshot.index, snapshot.members)] + [
                listed for listed in self._member_lists if listed[0] > snapshot.index
            ]
        else:
            if self._handed_out_index > snapshot.index:
                self._pending_truncation = snapshot.index + 1
            self._entries = []
            self._member_lists = [(snapshot.index, snapshot.members)]
            self._handed_out_index = snapshot.index
        self.base_index = snapshot.index
        self._base_term = snapshot.term
        self.snapshot = snapshot
        self._pending_snapshot = snapshot
        self._handed_out_index = max(self._handed_out_index, snapshot.index)
        self.persisted_index = min(self.persisted_index, self._handed_out_index)

    def mark_persisted(self) -> bool:
        """Marks all that was handed out as written; returns whether new entries became persisted."""
        is_advance = self._handed_out_index > self.persisted_index
        self.persisted_index = self._handed_out_index
        return is_advance

    def take_pending_write(self, term: int, voted_for: str | None, always: bool) -> PendingWrite | None:
        """Returns the changes since the last call; None if there are none, unless `always`."""
        if (
            not always
            and self._pending_truncation is None
            and self._pending_snapshot is None
            and self._handed_out_index == self.last_index
        ):
            return None
        first = self._handed_out_index + 1
        write = PendingWrite(
            term,
            voted_for,
            self._pending_snapshot,
            self._pending_truncation,
            first,
            self._entries[first - self.base_index - 1 :],
        )
        self._pending_snapshot = None
        self._pending_truncation = None
        self._handed_out_index = self.last_index
        return write

    def fingerprint(self) -> tuple[Any, ...]:
        """Returns a value that is equal for two logs that will behave the same."""
        return (
            self.base_index,
            self._base_term,
            tuple(self._entries),
            self.snapshot,
            self._handed_out_index,
            self.persisted_index,
            self._pending_truncation,
            self._pending_snapshot is not None,
        )
