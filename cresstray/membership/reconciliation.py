"""Tombstones of removed endpoints, and the index of a discovery service that is behind the stored index."""

from __future__ import annotations

import msgspec

from cresstray.membership.confidence import SECOND_US

# A removed endpoint returns with a later start, so a tombstone only has to outlive the lists that still name
# the endpoint: those on repaired disks, and a backup of the discovery service. Only time while gateways run
# counts.
TOMBSTONE_LIFETIME_US = 7 * 86_400 * SECOND_US
# Replacing a tenth of 500 engines a day leaves 350 tombstones in a week.
MAX_TOMBSTONES = 4096
# A discovery service with a smaller index is behind, or was set up anew. If it is behind it catches up within
# the time of a restart, so an index that is kept for five minutes is accepted.
INDEX_SETTLE_TIME_US = 300 * SECOND_US


class Tombstone(msgspec.Struct, array_like=True):
    """A removed endpoint. On disk it is an array of the fields in this order.

    Attributes:
        id: The id of the endpoint.
        started_us: Its latest start that the removal covers.
        index: The index of discovery at the removal.
        known_for_us: For how long gateways have been running with the tombstone, in microseconds.
    """

    id: int
    started_us: int
    index: int
    known_for_us: int


class Tombstones:
    """The tombstones of all removed endpoints, which keep older lists from bringing one back."""

    def __init__(self) -> None:
        # Each with the time from which `known_for_us` is to be counted on.
        self._tombstones: dict[int, tuple[Tombstone, int]] = {}

    def __contains__(self, endpoint_id: int) -> bool:
        return endpoint_id in self._tombstones

    def __len__(self) -> int:
        return len(self._tombstones)

    def add(self, endpoint_id: int, started_us: int, index: int, now_us: int, known_for_us: int = 0) -> None:
        """Adds a tombstone, or raises start and index of the present one.

        Drops the oldest tombstones beyond MAX_TOMBSTONES.
        """
        known = self._tombstones.pop(endpoint_id, None)
        if known is not None:
            started_us = max(started_us, known[0].started_us)
            index = max(index, known[0].index)
        self._tombstones[endpoint_id] = (Tombstone(endpoint_id, started_us, index, known_for_us), now_us)
        while len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]

    def forbids(self, endpoint_id: int, started_us: int, index: int) -> bool:
        """Returns whether a list with this index that names this start is older than the removal."""
        known = self._tombstones.get(endpoint_id)
        return known is not None and started_us <= known[0].started_us and index <= known[0].index

    def discard(self, endpoint_id: int) -> None:
        """Drops the tombstone of an endpoint, if there is one, as a later list names the endpoint again."""
        self._tombstones.pop(endpoint_id, None)

    def rebase(self, index: int) -> None:
        """Adapts to an index that starts anew, so that each list with a higher index counts as later."""
        for tombstone, _ in self._tombstones.values():
            tombstone.index = min(tombstone.index, index)

    def unexpired(self, now_us: int) -> list[Tombstone]:
        """Returns the tombstones within their lifetime, the oldest first, and drops the others."""
        aged = [
            Tombstone(
                tombstone.id,
                tombstone.started_us,
                tombstone.index,
                tombstone.known_for_us + max(0, now_us - since_us),
            )
            for tombstone, since_us in self._tombstones.values()
        ]
        for tombstone in aged:
            if tombstone.known_for_us >= TOMBSTONE_LIFETIME_US:
                del self._tombstones[tombstone.id]
        return [tombstone for tombstone in aged if tombstone.known_for_us < TOMBSTONE_LIFETIME_US]


class IndexTracker:
    """Compares the index of the discovery service with the highest index that was ever received or stored.

    Attributes:
        highest: The highest index.
        last: The index received last.
        behind_since_us: Since when complete lists have had a smaller index; None if they have not.
    """

    def __init__(self) -> None:
        self.highest = 0
        self.last = 0
        self.behind_since_us: int | None = None

    def observe(self, index: int, is_complete: bool, now_us: int) -> bool:
        """Records the index of an event; returns whether endpoints that the event leaves out are removed."""
        self.last = index
        if index >= self.highest:
            self.highest = index
            self.behind_since_us = None
            return is_complete
        if is_complete and self.behind_since_us is None:
            self.behind_since_us = now_us
        return False

    def on_watch_silent(self, now_us: int) -> None:
        """Restarts the settle time, as a silent service does not confirm its index."""
        if self.behind_since_us is not None:
            self.behind_since_us = now_us

    def is_settled(self, now_us: int) -> bool:
        """Returns whether the service has kept to a smaller index for the settle time."""
        return self.behind_since_us is not None and now_us - self.behind_since_us >= INDEX_SETTLE_TIME_US

    def accept_last(self) -> None:
        """Accepts the smaller index as the current one."""
        self.highest = self.last
        self.behind_since_us = None
