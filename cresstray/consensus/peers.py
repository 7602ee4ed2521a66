"""A leader's view of another member: how far the logs match, and what is in flight to it."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import Any

from cresstray.consensus.entries import Snapshot

# In flight to one follower: the bandwidth-delay product of a link of 50 ms and 100 Mbit/s.
_MAX_IN_FLIGHT_BYTES = 512 * 1024
_MAX_IN_FLIGHT_FRAMES = 64


class ProgressState(Enum):
    """How entries are sent to a member."""

    PROBE = "probe"  # looks for the last matching entry, one message at a time
    REPLICATE = "replicate"  # sends entries without waiting for responses
    SNAPSHOT = "snapshot"  # the entries it lacks are compacted away


class PeerProgress:
    """Replication progress of one member.

    Attributes:
        state: How entries are sent to the member.
        match_index: Up to this index its log equals the leader's.
        next_index: Index of the next entry to send.
        is_probe_in_flight: Whether a probe awaits its response.
        acked_round: The latest round that it has responded to.
        acked_at_us: When that round began, by the leader's clock.
        snapshot: The snapshot being sent. It stays the same until it has arrived, however often the leader
            makes a newer one.
        checksum: CRC-32 of the snapshot.
        received_bytes: Bytes of the snapshot that have arrived.
        sent_bytes: Bytes of the snapshot that were sent.
        chunk_round: The round in which the last chunk was sent; 0 for none.
    """

    def __init__(self, next_index: int) -> None:
        self.state = ProgressState.PROBE
        self.match_index = 0
        self.next_index = next_index
        self.is_probe_in_flight = False
        self._in_flight: deque[tuple[int, int]] = deque()  # last index and bytes of each frame in flight
        self._in_flight_bytes = 0
        self.acked_round = 0
        self.acked_at_us: int | None = None
        self.snapshot: Snapshot | None = None
        self.checksum = 0
        self.received_bytes = 0
        self.sent_bytes = 0
        self.chunk_round = 0

    def is_replicating(self) -> bool:
        """Returns whether entries are sent without waiting for responses."""
        return self.state is ProgressState.REPLICATE

    def has_room(self) -> bool:
        """Returns whether another frame may be sent."""
        return self._in_flight_bytes < _MAX_IN_FLIGHT_BYTES and len(self._in_flight) < _MAX_IN_FLIGHT_FRAMES

    def record_sent(self, index: int, byte_count: int) -> None:
        """Records a sent frame by the index of its last entry and the size of its data."""
        self._in_flight.append((index, byte_count))
        self._in_flight_bytes += byte_count
        self.next_index = index + 1

    def start_probing(self, next_index: int) -> None:
        """Starts to look for the last matching entry, from `next_index` backwards."""
        self.state = ProgressState.PROBE
        self.is_probe_in_flight = False
        self.next_index = next_index
        self._in_flight.clear()
        self._in_flight_bytes = 0
        self.snapshot = None

    def record_match(self, index: int) -> bool:
        """Records that the logs match up to `index`; returns whether that is further than before."""
        is_advance = index > self.match_index
        self.match_index = max(self.match_index, index)
        while self._in_flight and self._in_flight[0][0] <= self.match_index:
            self._in_flight_bytes -= self._in_flight.popleft()[1]
        if self.snapshot is not None and self.match_index >= self.snapshot.index:
            self.start_probing(self.match_index + 1)
        if self.state is ProgressState.PROBE:
            self.state = ProgressState.REPLICATE
            self.next_index = self.match_index + 1
        self.next_index = max(self.next_index, self.match_index + 1)
        return is_advance

    def record_mismatch(self, index: int, next_index: int) -> bool:
        """Records that the logs differ at `index` and may match before `next_index`.

        Returns False if the response is outdated.
        """
        if self.state is ProgressState.SNAPSHOT or index <= self.match_index:
            return False
        if self.state is ProgressState.PROBE and index != self.next_index - 1:
            return False
        self.start_probing(max(self.match_index + 1, min(next_index, index)))
        return True

    def start_snapshot(self, snapshot: Snapshot, checksum: int) -> None:
        """Starts to send a snapshot."""
        self.state = ProgressState.SNAPSHOT
        self.snapshot = snapshot
        self.checksum = checksum
        self.received_bytes = 0
        self.sent_bytes = 0
        self._in_flight.clear()
        self._in_flight_bytes = 0
        self.chunk_round = 0

    def fingerprint(self) -> tuple[Any, ...]:
        """Returns a value that is equal for two members that the leader will treat the same."""
        return (
            self.state.value,
            self.match_index,
            self.next_index,
            self.is_probe_in_flight,
            tuple(self._in_flight),
            self.acked_round,
            self.snapshot and self.snapshot.index,
            self.received_bytes,
            self.sent_bytes,
            self.chunk_round,
        )
