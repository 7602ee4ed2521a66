"""One node's log in memory, and what of it is still to be written."""

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

# Entries kept before a snapshot's index for followers that lag somewhat: a snapshot of some MB costs more
# than these. In memory only; after a restart such a follower takes the snapshot.
_BEHIND = 1_000
_BEHIND_BYTES = 4 * 1024 * 1024


class Log:
    """Entries from `base` + 1 on; those from the snapshot on are in the file too, or on their way to it."""

    def __init__(self, state: PersistentState) -> None:
        self.snapshot = state.snapshot
        self.base_index = state.snapshot.index
        self._base_term = state.snapshot.term
        self._entries = list(state.entries)
        self._member_lists = [(state.snapshot.index, state.snapshot.members)]
        for index, entry in enumerate(self._entries, self.base_index + 1):
            if entry.kind == EntryKind.MEMBERS:
                self._member_lists.append((index, decode_members(entry.data)))
        self._handed_out_index = self.last_index  # up to here handed out to be written
        self.persisted_index = self.last_index  # up to here written, for the caller has come back since
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
        """The latest list in the log, committed or not."""
        return self._member_lists[-1][1]

    @property
    def members_index(self) -> int:
        """The index of the latest list of members."""
        return self._member_lists[-1][0]

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry; None where the log does not reach, or no longer."""
        if index == self.base_index:
            return self._base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry(self, index: int) -> Entry:
        """Returns the entry at `index`, which must be in the log."""
        assert self.base_index < index <= self.last_index, "an entry that is here"
        return self._entries[index - self.base_index - 1]

    def batch(self, index: int) -> tuple[list[Entry], int]:
        """Returns entries from `index` on that fit into one frame, at least one, and their bytes of data."""
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
        """Returns the last index of that term, at `most` or before; None where there is none."""
        position = bisect_right(
            self._entries, term, hi=max(0, max_index - self.base_index), key=lambda entry: entry.term
        )
        index = self.base_index + position
        return index if self.term_at(index) == term else None

    def first_index_of_term(self, term: int, min_index: int, max_index: int) -> int:
        """Returns the first index of the term that `most` is of, not before `least`."""
        end = max(0, max_index - self.base_index)
        position = bisect_right(self._entries, term - 1, hi=end, key=lambda entry: entry.term)
        return max(min_index, self.base_index + position + 1)

    def append(self, entry: Entry, members: Members | None = None) -> int:
        """Adds an entry; returns its index."""
        assert entry.term >= self.last_term, "terms only grow along the log"
        self._entries.append(entry)
        if entry.kind == EntryKind.MEMBERS:
            self._member_lists.append((self.last_index, members or decode_members(entry.data)))
        return self.last_index

    def truncate_from(self, index: int) -> None:
        """Drops the entries from `index` on."""
        assert index > self.snapshot.index, "what a snapshot holds is never taken back"
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
        """Makes a snapshot of the state up to `index`; some entries before it stay for slow followers."""
        term = self.term_at(index)
        assert term is not None and self.snapshot.index < index <= self._handed_out_index, (
            "what was applied is here"
        )
        if len(data) > MAX_SNAPSHOT_BYTES:
            raise ValueError(f"a snapshot of {len(data)} bytes; {MAX_SNAPSHOT_BYTES} at most")
        while len(self._member_lists) > 1 and self._member_lists[1][0] <= index:
            del self._member_lists[0]
        self.snapshot = self._pending_snapshot = Snapshot(index, term, self._member_lists[0][1], data)
        first_kept = index
        size = 0
        while first_kept > self.base_index and index - first_kept < _BEHIND:
            size += len(self.entry(first_kept).data)
            if size > _BEHIND_BYTES:
                break
            first_kept -= 1
        if first_kept > self.base_index:
            self._base_term = self.entry(first_kept).term
            self._entries = self._entries[first_kept - self.base_index :]
            self.base_index = first_kept

    def restore(self, snapshot: Snapshot) -> None:
        """Takes a leader's snapshot, and keeps the entries after it where they are of the same log."""
        if self.term_at(snapshot.index) == snapshot.term:
            self._entries = self._entries[snapshot.index - self.base_index :]
            self._member_lists = [(snapshot.index, snapshot.members)] + [
                change for change in self._member_lists if change[0] > snapshot.index
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
        """The caller has come back.

        What was handed out is written. Returns whether that is more than before.
        """
        is_advance = self._handed_out_index > self.persisted_index
        self.persisted_index = self._handed_out_index
        return is_advance

    def take_pending_write(self, term: int, voted_for: str | None, always: bool) -> PendingWrite | None:
        """Returns what is to be written since the last time; `also`: even if only term and vote."""
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
        """Returns a value equal for two logs that will do the same."""
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
