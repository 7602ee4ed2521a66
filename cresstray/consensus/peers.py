"""A leader's progress with one other member: how far the logs match, and what is in flight to it."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import Any

from cresstray.consensus.entries import Snapshot

# In flight to one follower: what a link of 50 ms and 100 Mbit/s holds.
_MAX_IN_FLIGHT_BYTES = 512 * 1024
_MAX_IN_FLIGHT_FRAMES = 64


class Way(Enum):
    """How entries are sent to a member."""

    PROBE = "probe"  # looks for where the logs part, one question at a time
    REPLICATE = "replicate"  # sends on without waiting for answers
    SNAPSHOT = "snapshot"  # what it misses is no longer in the log


class Peer:
    """Progress with one member.

    Attributes:
        way: How entries are sent to it.
        match: Up to this index its log equals the leader's.
        next: Index of the next entry to send.
        asked: A probe is in flight.
        round: The leader's latest round that it has answered.
        acked: When that round began, by the leader's clock.
        snapshot: What it is being sent: the same until it has it, however often the leader makes a newer one.
        check: CRC-32 of the snapshot.
        offset: Bytes of it that have arrived.
        sent: Bytes of it that were sent.
        part_round: The round in which the last part was sent; 0 for none.
    """

    def __init__(self, following: int) -> None:
        self.way = Way.PROBE
        self.match = 0
        self.next = following
        self.asked = False
        self._flight: deque[tuple[int, int]] = deque()  # last index and bytes of each frame in flight
        self._flying = 0  # bytes in flight
        self.round = 0
        self.acked: int | None = None
        self.snapshot: Snapshot | None = None
        self.check = 0
        self.offset = 0
        self.sent = 0
        self.part_round = 0

    def is_replicating(self) -> bool:
        """Returns whether entries are sent to it without waiting for answers."""
        return self.way is Way.REPLICATE

    def room(self) -> bool:
        """Returns whether another frame may be sent."""
        return self._flying < _MAX_IN_FLIGHT_BYTES and len(self._flight) < _MAX_IN_FLIGHT_FRAMES

    def flies(self, index: int, size: int) -> None:
        """A frame was sent whose last entry is `index`, with so many bytes of data."""
        self._flight.append((index, size))
        self._flying += size
        self.next = index + 1

    def probe(self, following: int) -> None:
        """Looks from `following` on for where the logs part."""
        self.way = Way.PROBE
        self.asked = False
        self.next = following
        self._flight.clear()
        self._flying = 0
        self.snapshot = None

    def matched(self, index: int) -> bool:
        """Its log matches up to `index`; returns whether that is news."""
        news = index > self.match
        self.match = max(self.match, index)
        while self._flight and self._flight[0][0] <= self.match:
            self._flying -= self._flight.popleft()[1]
        if self.snapshot is not None and self.match >= self.snapshot.index:
            self.probe(self.match + 1)
        if self.way is Way.PROBE:
            self.way = Way.REPLICATE
            self.next = self.match + 1
        self.next = max(self.next, self.match + 1)
        return news

    def differs(self, index: int, following: int) -> bool:
        """Its log differs at `index`, and may match before `following`.

        Returns False where that is old news.
        """
        if self.way is Way.SNAPSHOT or index <= self.match:
            return False
        if self.way is Way.PROBE and index != self.next - 1:
            return False
        self.probe(max(self.match + 1, min(following, index)))
        return True

    def install(self, snapshot: Snapshot, check: int) -> None:
        """Begins to send a snapshot."""
        self.way = Way.SNAPSHOT
        self.snapshot = snapshot
        self.check = check
        self.offset = 0
        self.sent = 0
        self._flight.clear()
        self._flying = 0
        self.part_round = 0

    def fingerprint(self) -> tuple[Any, ...]:
        """Returns a value equal for two members to which the leader will do the same."""
        return (
            self.way.value,
            self.match,
            self.next,
            self.asked,
            tuple(self._flight),
            self.round,
            self.snapshot and self.snapshot.index,
            self.offset,
            self.sent,
            self.part_round,
        )
