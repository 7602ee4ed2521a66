"""Outcomes that wait to be written: bounded in all and by tenant, the least needed dropped first. Pure."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from cresstray.idempotency.records import EventKind, RecordEvent

# Some 300 bytes each: 5 MB in all, and what ten minutes of a store's absence bring at ten outcomes a second.
MAX_PENDING, MAX_PENDING_PER_TENANT = 10_000, 2_500
# An outcome of most relays is there before it: then the two are one write.
_UNRIPE = 250_000


@dataclass(slots=True, eq=False)
class PendingWrite:
    """`seen`: what the store is believed to have, as bytes. `numbers`: its entries in the journal."""

    digest: bytes
    event: RecordEvent
    tenant: int
    expires_us: int
    due_us: int
    sequence: int
    expected_value: bytes = b""
    journal_ids: tuple[int, ...] = ()

    @property
    def importance(self) -> int:
        """0: the intention in the store says as much. 1: it clears the way. 2: it says more. 3: none is."""
        if self.event.kind is EventKind.DISPATCHED:
            return 0
        if self.event.kind is EventKind.NOT_EXECUTED:
            return 1
        return 2 if self.event.fence else 3


class WriteBehindQueue:
    def __init__(self, most: int = MAX_PENDING, most_of_tenant: int = MAX_PENDING_PER_TENANT) -> None:
        self._most, self._most_of_tenant = most, most_of_tenant
        self._items: OrderedDict[tuple[bytes, int], PendingWrite] = OrderedDict()
        self._of: dict[
            int, tuple[OrderedDict[PendingWrite, None], ...]
        ] = {}  # by tenant and need, the oldest first
        self._counts: dict[int, int] = {}
        self._by_digest: dict[bytes, dict[int, PendingWrite]] = {}
        self._order = 0
        self.dropped_count = 0

    def __len__(self) -> int:
        return len(self._items)

    def add(
        self,
        digest: bytes,
        event: RecordEvent,
        tenant: int,
        needed_until: int,
        now: int,
        seen: bytes = b"",
        numbers: tuple[int, ...] = (),
    ) -> bool:
        """Whether it is kept; what is kept already of the same intention becomes one with it."""
        self._order += 1
        ripe = now + _UNRIPE if event.kind is EventKind.DISPATCHED else now
        return self._put(PendingWrite(digest, event, tenant, needed_until, ripe, self._order, seen, numbers))

    def take_due(self, most: int, now: int) -> list[PendingWrite]:
        """The oldest that are due, in order; they are the caller's from here on."""
        found, over = [], []
        for item in self._items.values():
            if item.expires_us <= now:
                over.append(item)
            elif item.due_us <= now:
                found.append(item)
                if len(found) == most:
                    break
        for item in (*found, *over):
            self._remove(item)
        return found

    def put_back(self, items: Iterable[PendingWrite]) -> None:
        """Not written, or not known to be: they go before what came since."""
        for item in sorted(items, key=lambda item: -item.sequence):
            key = item.digest, item.event.fence
            if self._put(item):
                item = self._items[key]
                self._items.move_to_end(key, last=False)
                self._of[item.tenant][item.importance].move_to_end(item, last=False)

    def pending_for(self, digest: bytes) -> list[PendingWrite]:
        """What the store has not heard yet of one mark."""
        return list(self._by_digest.get(digest, {}).values())

    def _put(self, item: PendingWrite) -> bool:
        there = self._items.get((item.digest, item.event.fence))
        if there is not None:
            # It keeps its place in the order.
            item = _merged(there, item)
            del self._of[there.tenant][there.importance][there]
            self._of[there.tenant][item.importance][item] = None
            self._items[item.digest, item.event.fence] = item
            self._by_digest[item.digest][item.event.fence] = item
            return True
        if item.tenant not in self._of:
            self._of[item.tenant] = tuple(OrderedDict() for _ in range(4))
            self._counts[item.tenant] = 0
        self._items[item.digest, item.event.fence] = item
        self._of[item.tenant][item.importance][item] = None
        self._counts[item.tenant] += 1
        self._by_digest.setdefault(item.digest, {})[item.event.fence] = item
        # Danger: a flood of one tenant's marks would push out those of all others, or the gateway's memory.
        if self._counts[item.tenant] > self._most_of_tenant:
            self._drop(item.tenant)
        elif len(self._items) > self._most:
            self._drop(max(self._counts, key=lambda tenant: (self._counts[tenant], -tenant)))
        return (item.digest, item.event.fence) in self._items

    def _drop(self, tenant: int) -> None:
        self._remove(next(item for kind in self._of[tenant] for item in kind))
        self.dropped_count += 1

    def _remove(self, item: PendingWrite) -> None:
        del self._items[item.digest, item.event.fence]
        del self._of[item.tenant][item.importance][item]
        self._counts[item.tenant] -= 1
        if not self._counts[item.tenant]:
            del self._counts[item.tenant], self._of[item.tenant]
        of = self._by_digest[item.digest]
        del of[item.event.fence]
        if not of:
            del self._by_digest[item.digest]


# What says more of one intention. UNRUN after UNKNOWN never comes: what may have run is not taken back.
_SAYS = {EventKind.DISPATCHED: 0, EventKind.NOT_EXECUTED: 1, EventKind.UNKNOWN: 2, EventKind.COMPLETED: 3}


def _merged(one: PendingWrite, other: PendingWrite) -> PendingWrite:
    older, newer = sorted((one, other), key=lambda item: item.sequence)
    most = max((older, newer), key=lambda item: (_SAYS[item.event.kind], item.sequence))
    event = most.event
    if event.kind is not EventKind.NOT_EXECUTED:
        event = msgspec.structs.replace(
            event,
            earliest_dispatch_ms=min(older.event.earliest_dispatch_ms, newer.event.earliest_dispatch_ms),
            outcome=event.outcome or older.event.outcome or newer.event.outcome,
        )
    numbers = older.journal_ids + tuple(
        number for number in newer.journal_ids if number not in older.journal_ids
    )
    return PendingWrite(
        older.digest,
        event,
        older.tenant,
        max(older.expires_us, newer.expires_us),
        min(older.due_us, most.due_us) if event.kind is EventKind.DISPATCHED else most.due_us,
        older.sequence,
        newer.expected_value or older.expected_value,
        numbers,
    )
