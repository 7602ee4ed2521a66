"""Builds a snapshot, in the thread that writes it, from state that was collected on the event loop."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from cresstray.discovery.endpoint_list import Endpoint
from cresstray.membership.confidence import UNKNOWN_AGE_US, ClockReading
from cresstray.membership.learned_state import LearnedLimit
from cresstray.membership.reconciliation import Tombstone
from cresstray.membership.snapshot import (
    EndpointEntry,
    LatencyEntry,
    LimitEntry,
    Snapshot,
    can_store,
    to_entry,
)

# While this thread holds the interpreter lock the event loop is delayed, so entries are made in chunks of
# about 80 us with a pause after each.
_ENDPOINTS_PER_CHUNK = 50
_PAUSE_S = 50e-6


class SnapshotContent(NamedTuple):
    """The content of a snapshot, as of `now_us`.

    The entries are made in the thread, as those of 500 endpoints would block the event loop for a
    millisecond.

    Attributes:
        evidence: Endpoints, each with the time of the last evidence of it.
    """

    owner: str
    written_at: ClockReading
    now_us: int
    discovery_index: int
    is_handed_over: bool
    zones: Sequence[str]
    instance_types: Sequence[str]
    evidence: list[tuple[Endpoint, int]]
    tombstones: list[Tombstone]
    latencies: list[LatencyEntry]
    limits: list[LearnedLimit]
    request_names: list[str]

    def build(self, pause: Callable[[float], None]) -> Snapshot:
        """Returns the snapshot; `pause` is called with a number of seconds after each chunk of endpoints."""
        return Snapshot(
            owner=self.owner,
            wall_us=self.written_at.wall_us,
            boot_id=self.written_at.boot_id,
            uptime_us=self.written_at.uptime_us,
            index=self.discovery_index,
            is_handed_over=self.is_handed_over,
            zones=list(self.zones),
            instance_types=list(self.instance_types),
            endpoints=self._entries(pause),
            tombstones=self.tombstones,
            latencies=self.latencies,
            limits=[LimitEntry(*limit) for limit in self.limits],
            request_names=self.request_names,
        )

    def _entries(self, pause: Callable[[float], None]) -> list[EndpointEntry]:
        entries: list[EndpointEntry] = []
        for begin in range(0, len(self.evidence), _ENDPOINTS_PER_CHUNK):
            entries += [
                to_entry(endpoint, max(0, min(UNKNOWN_AGE_US, self.now_us - evidence_us)))
                for endpoint, evidence_us in self.evidence[begin : begin + _ENDPOINTS_PER_CHUNK]
                if can_store(endpoint)
            ]
            pause(_PAUSE_S)
        return entries
