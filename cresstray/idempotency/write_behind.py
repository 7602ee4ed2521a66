"""Outcomes that wait to be written: bounded in all and by tenant, the least needed dropped first. Pure."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from cresstray.idempotency.records import Event, Kind

# Some 300 bytes each: 5 MB in all, and what ten minutes of a store's absence bring at ten outcomes a second.
MOST, MOST_OF_TENANT = 10_000, 2_500
# An outcome of most relays is there before it: then the two are one write.
_UNRIPE = 250_000


@dataclass(slots=True, eq=False)
class Item:
    """`seen`: what the store is believed to have, as bytes. `numbers`: its entries in the journal."""

    digest: bytes
    event: Event
    tenant: int
    needed_until: int
    ripe: int
    order: int
    seen: bytes = b""
    numbers: tuple[int, ...] = ()

    @property
    def need(self) -> int:
        """0: the intention in the store says as much. 1: it clears the way. 2: it says more. 3: none is."""
        if self.event.kind is Kind.SENT:
            return 0
        if self.event.kind is Kind.UNRUN:
            return 1
        return 2 if self.event.fence else 3


class Behind:
    def __init__(self, most: int = MOST, most_of_tenant: int = MOST_OF_TENANT) -> None:
        self._most, self._most_of_tenant = most, most_of_tenant
        self._items: OrderedDict[tuple[bytes, int], Item] = OrderedDict()
        self._of: dict[int, tuple[OrderedDict[Item, None], ...]] = {}  # by tenant and need, the oldest first
        self._counts: dict[int, int] = {}
        self._by_digest: dict[bytes, dict[int, Item]] = {}
        self._order = 0
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._items)

    def add(
        self,
        digest: bytes,
        event: Event,
        tenant: int,
        needed_until: int,
        now: int,
        seen: bytes = b"",
        numbers: tuple[int, ...] = (),
    ) -> bool:
        """Whether it is kept; what is kept already of the same intention becomes one with it."""
        self._order += 1
        ripe = now + _UNRIPE if event.kind is Kind.SENT else now
        return self._put(Item(digest, event, tenant, needed_until, ripe, self._order, seen, numbers))

    def take(self, most: int, now: int) -> list[Item]:
        """The oldest that are due, in order; they are the caller's from here on."""
        found, over = [], []
        for item in self._items.values():
            if item.needed_until <= now:
                over.append(item)
            elif item.ripe <= now:
                found.append(item)
                if len(found) == most:
                    break
        for item in (*found, *over):
            self._remove(item)
        return found

    def back(self, items: Iterable[Item]) -> None:
        """Not written, or not known to be: they go before what came since."""
        for item in sorted(items, key=lambda item: -item.order):
            key = item.digest, item.event.fence
            if self._put(item):
                item = self._items[key]
                self._items.move_to_end(key, last=False)
                self._of[item.tenant][item.need].move_to_end(item, last=False)

    def of(self, digest: bytes) -> list[Item]:
        """What the store has not heard yet of one mark."""
        return list(self._by_digest.get(digest, {}).values())

    def _put(self, item: Item) -> bool:
        there = self._items.get((item.digest, item.event.fence))
        if there is not None:
            # It keeps its place in the order.
            item = _merged(there, item)
            del self._of[there.tenant][there.need][there]
            self._of[there.tenant][item.need][item] = None
            self._items[item.digest, item.event.fence] = item
            self._by_digest[item.digest][item.event.fence] = item
            return True
        if item.tenant not in self._of:
            self._of[item.tenant] = tuple(OrderedDict() for _ in range(4))
            self._counts[item.tenant] = 0
        self._items[item.digest, item.event.fence] = item
        self._of[item.tenant][item.need][item] = None
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
        self.dropped += 1

    def _remove(self, item: Item) -> None:
        del self._items[item.digest, item.event.fence]
        del self._of[item.tenant][item.need][item]
        self._counts[item.tenant] -= 1
        if not self._counts[item.tenant]:
            del self._counts[item.tenant], self._of[item.tenant]
        of = self._by_digest[item.digest]
        del of[item.event.fence]
        if not of:
            del self._by_digest[item.digest]


# What says more of one intention. UNRUN after UNKNOWN never comes: what may have run is not taken back.
_SAYS = {Kind.SENT: 0, Kind.UNRUN: 1, Kind.UNKNOWN: 2, Kind.RAN: 3}


def _merged(one: Item, other: Item) -> Item:
    older, newer = sorted((one, other), key=lambda item: item.order)
    most = max((older, newer), key=lambda item: (_SAYS[item.event.kind], item.order))
    event = most.event
    if event.kind is not Kind.UNRUN:
        event = msgspec.structs.replace(
            event,
            since=min(older.event.since, newer.event.since),
            outcome=event.outcome or older.event.outcome or newer.event.outcome,
        )
    numbers = older.numbers + tuple(number for number in newer.numbers if number not in older.numbers)
    return Item(
        older.digest,
        event,
        older.tenant,
        max(older.needed_until, newer.needed_until),
        min(older.ripe, most.ripe) if event.kind is Kind.SENT else most.ripe,
        older.order,
        newer.seen or older.seen,
        numbers,
    )
