"""What a leader knows of one other member: how far its log is the leader's, and what is on its way there."""

from __future__ import annotations

from collections import deque
from enum import Enum

from cresstray.consensus.entries import Snapshot

# Bytes and frames on their way to one follower: what a link of 50 ms and 100 Mbit/s holds.
_FLYING, _FRAMES = 512 * 1024, 64


class Way(Enum):
    PROBE = "probe"  # looks for where the logs part, one question at a time
    REPLICATE = "replicate"  # sends on without waiting for answers
    SNAPSHOT = "snapshot"  # what it misses is no longer in the log


class Peer:
    def __init__(self, following: int) -> None:
        self.way = Way.PROBE
        self.match, self.next = 0, following
        self.asked = False  # a probe is out
        self._flight: deque[tuple[int, int]] = deque()  # last index and bytes of each frame out
        self._flying = 0
        self.round = 0  # the latest of ours that it has answered
        self.acked: int | None = None  # when that began, by our clock
        # The snapshot it is being sent: the same until it has it, however often ours is made anew.
        self.snapshot: Snapshot | None = None
        self.check = self.offset = self.sent = self.part_round = 0

    def is_replicating(self) -> bool:
        """Returns whether entries are sent to it without waiting for answers."""
        return self.way is Way.REPLICATE

    def room(self) -> bool:
        return self._flying < _FLYING and len(self._flight) < _FRAMES

    def flies(self, index: int, size: int) -> None:
        self._flight.append((index, size))
        self._flying += size
        self.next = index + 1

    def probe(self, following: int) -> None:
        self.way, self.asked, self.next = Way.PROBE, False, following
        self._flight.clear()
        self._flying, self.snapshot = 0, None

    def matched(self, index: int) -> bool:
        """It has our log up to `index`; whether that is news."""
        news = index > self.match
        self.match = max(self.match, index)
        while self._flight and self._flight[0][0] <= self.match:
            self._flying -= self._flight.popleft()[1]
        if self.snapshot is not None and self.match >= self.snapshot.index:
            self.probe(self.match + 1)
        if self.way is Way.PROBE:
            self.way, self.next = Way.REPLICATE, self.match + 1
        self.next = max(self.next, self.match + 1)
        return news

    def differs(self, index: int, following: int) -> bool:
        """Its log is not ours at `index`, and may be before `following`; False where that is old news."""
        if self.way is Way.SNAPSHOT or index <= self.match:
            return False
        if self.way is Way.PROBE and index != self.next - 1:
            return False
        self.probe(max(self.match + 1, min(following, index)))
        return True

    def install(self, snapshot: Snapshot, check: int) -> None:
        self.way, self.snapshot, self.check, self.offset, self.sent = Way.SNAPSHOT, snapshot, check, 0, 0
        self._flight.clear()
        self._flying = self.part_round = 0

    def fingerprint(self) -> tuple:
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
