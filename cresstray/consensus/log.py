"""One node's log in memory, and what of it is still to be written."""

from __future__ import annotations

from bisect import bisect_right
from typing import Any

from cresstray.consensus.codec import MOST_ENTRIES
from cresstray.consensus.entries import (
    MOST_DATA,
    MOST_SNAPSHOT,
    Durable,
    Entry,
    Keep,
    Kind,
    Members,
    Snapshot,
    members_of,
)

# Entries kept before a snapshot's index for followers that lag somewhat: a snapshot of some MB costs more
# than these. In memory only; after a restart such a follower takes the snapshot.
_BEHIND = 1_000
_BEHIND_BYTES = 4 * 1024 * 1024


class Log:
    """Entries from `base` + 1 on; those from the snapshot on are in the file too, or on their way to it."""

    def __init__(self, durable: Durable) -> None:
        self.snapshot = durable.snapshot
        self.base = durable.snapshot.index
        self._base_term = durable.snapshot.term
        self._entries = list(durable.entries)
        self._changes = [(durable.snapshot.index, durable.snapshot.members)]
        for index, entry in enumerate(self._entries, self.base + 1):
            if entry.kind == Kind.MEMBERS:
                self._changes.append((index, members_of(entry.data)))
        self._handed = self.last  # up to here handed out to be written
        self.stored = self.last  # up to here written, for the caller has come back since
        self._cut: int | None = None
        self._fresh: Snapshot | None = None

    @property
    def last(self) -> int:
        """Index of the last entry."""
        return self.base + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def members(self) -> Members:
        """The latest list in the log, committed or not."""
        return self._changes[-1][1]

    @property
    def changed(self) -> int:
        """The index of the latest list of members."""
        return self._changes[-1][0]

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry; None where the log does not reach, or no longer."""
        if index == self.base:
            return self._base_term
        if not self.base < index <= self.last:
            return None
        return self._entries[index - self.base - 1].term

    def entry(self, index: int) -> Entry:
        """Returns the entry at `index`, which must be in the log."""
        assert self.base < index <= self.last, "an entry that is here"
        return self._entries[index - self.base - 1]

    def batch(self, index: int) -> tuple[list[Entry], int]:
        """Returns entries from `index` on that fit into one frame, at least one, and their bytes of data."""
        found: list[Entry] = []
        size = 0
        first = index - self.base - 1
        for place in range(first, min(len(self._entries), first + MOST_ENTRIES)):
            entry = self._entries[place]
            if found and size + len(entry.data) > MOST_DATA:
                break
            found.append(entry)
            size += len(entry.data)
        return found, size

    def last_of(self, term: int, most: int) -> int | None:
        """Returns the last index of that term, at `most` or before; None where there is none."""
        place = bisect_right(self._entries, term, hi=max(0, most - self.base), key=lambda entry: entry.term)
        index = self.base + place
        return index if self.term_at(index) == term else None

    def first_of(self, term: int, least: int, most: int) -> int:
        """Returns the first index of the term that `most` is of, not before `least`."""
        end = max(0, most - self.base)
        place = bisect_right(self._entries, term - 1, hi=end, key=lambda entry: entry.term)
        return max(least, self.base + place + 1)

    def append(self, entry: Entry, members: Members | None = None) -> int:
        """Adds an entry; returns its index."""
        assert entry.term >= self.last_term, "terms only grow along the log"
        self._entries.append(entry)
        if entry.kind == Kind.MEMBERS:
            self._changes.append((self.last, members or members_of(entry.data)))
        return self.last

    def cut(self, index: int) -> None:
        """Drops the entries from `index` on."""
        assert index > self.snapshot.index, "what a snapshot holds is never taken back"
        del self._entries[index - self.base - 1 :]
        while self._changes[-1][0] >= index:
            self._changes.pop()
        if index <= self._handed:
            self._cut = index if self._cut is None else min(self._cut, index)
            self._handed = index - 1
            self.stored = min(self.stored, self._handed)

    def compact(self, index: int, data: bytes) -> None:
        """Makes a snapshot of the state up to `index`; some entries before it stay for slow followers."""
        term = self.term_at(index)
        assert term is not None and self.snapshot.index < index <= self._handed, "what was applied is here"
        if len(data) > MOST_SNAPSHOT:
            raise ValueError(f"a snapshot of {len(data)} bytes; {MOST_SNAPSHOT} at most")
        while len(self._changes) > 1 and self._changes[1][0] <= index:
            del self._changes[0]
        self.snapshot = self._fresh = Snapshot(index, term, self._changes[0][1], data)
        keep = index
        size = 0
        while keep > self.base and index - keep < _BEHIND:
            size += len(self.entry(keep).data)
            if size > _BEHIND_BYTES:
                break
            keep -= 1
        if keep > self.base:
            self._base_term = self.entry(keep).term
            self._entries = self._entries[keep - self.base :]
            self.base = keep

    def restore(self, snapshot: Snapshot) -> None:
        """Takes a leader's snapshot, and keeps the entries after it where they are of the same log."""
        if self.term_at(snapshot.index) == snapshot.term:
            self._entries = self._entries[snapshot.index - self.base :]
            self._changes = [(snapshot.index, snapshot.members)] + [
                change for change in self._changes if change[0] > snapshot.index
            ]
        else:
            if self._handed > snapshot.index:
                self._cut = snapshot.index + 1
            self._entries = []
            self._changes = [(snapshot.index, snapshot.members)]
            self._handed = snapshot.index
        self.base = snapshot.index
        self._base_term = snapshot.term
        self.snapshot = snapshot
        self._fresh = snapshot
        self._handed = max(self._handed, snapshot.index)
        self.stored = min(self.stored, self._handed)

    def settle(self) -> bool:
        """The caller has come back.

        What was handed out is written. Returns whether that is more than before.
        """
        news = self._handed > self.stored
        self.stored = self._handed
        return news

    def hand_out(self, term: int, voted_for: str | None, also: bool) -> Keep | None:
        """Returns what is to be written since the last time; `also`: even if only term and vote."""
        if not also and self._cut is None and self._fresh is None and self._handed == self.last:
            return None
        first = self._handed + 1
        keep = Keep(term, voted_for, self._fresh, self._cut, first, self._entries[first - self.base - 1 :])
        self._fresh = None
        self._cut = None
        self._handed = self.last
        return keep

    def fingerprint(self) -> tuple[Any, ...]:
        """Returns a value equal for two logs that will do the same."""
        return (
            self.base,
            self._base_term,
            tuple(self._entries),
            self.snapshot,
            self._handed,
            self.stored,
            self._cut,
            self._fresh is not None,
        )
