"""The links to one engine: which takes an exchange, when one is idle, retired, closed, what its end means.

Free of I/O: whoever has the sockets says what was received and lost, and is called for the rest. A link
belongs to its engine, not to an address. What becomes of an exchange is told to its keeper once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, TypeVar

from cresstray.engines.connection_state import EngineConnection
from cresstray.engines.in_flight import InFlightRequest
from cresstray.observability.counters import Counters

if TYPE_CHECKING:
    from cresstray.clock import Timers

_Thing = TypeVar("_Thing")


class DescriptorQuota:
    """The links to all engines together.

    From `share` on exchanges share those of their engine; from `most` on an idle one makes room for another.
    """

    def __init__(self, share: int, most: int) -> None:
        self.per_engine, self.total, self.used = share, most, 0
        self.idle: dict[EngineConnection, None] = {}  # idle for longest first

    def make_room(self) -> None:
        # Danger: with hundreds of engines links that idle would take the clients' descriptors. Where none is
        # idle, all are at work: one more, and the door takes in one client less.
        if self.used >= self.total:
            self.close_idle()

    def close_idle(self) -> None:
        if self.idle:
            next(iter(self.idle)).close()


class ConnectionPool:
    """All links to one engine. Whoever has the sockets gives it `dial`."""

    def __init__(
        self,
        address: tuple[str, int],
        settings: Mapping,
        quota: DescriptorQuota,
        timers: Timers,
        now: Callable[[], int],
        counters: Counters,
    ) -> None:
        limits = settings.get("Limits", {})
        self.address, self.now, self.counters = address, now, counters
        self.max_streams = max(1, limits.get("StreamsPerConn", 32))
        # Danger: a request may cross the engine's own close of an idle link, so ours comes well before.
        self._idle = int(limits.get("ConnIdle", 15000) * 1000) * 2 // 3
        self.connections: list[EngineConnection] = []
        self.quota, self._timers = quota, timers
        self._swept = False

    def connect(self) -> EngineConnection:
        """A new link, whose connection is made from now on; `up` or `gone` tells how that went."""
        raise NotImplementedError

    def start(self, exchange: InFlightRequest) -> None:
        while not self._pick(exchange.name).start(exchange):
            pass
        if not self._swept:
            self._swept = True
            self._timers.call_after(self._idle, self._sweep)

    def _pick(self, name: bytes) -> EngineConnection:
        """An idle link or a new one; where that would be too many, the one with the least on it."""
        # Danger: one spoilt answer ends all that is out on its link.
        least = None
        for link in self.connections:
            life = link.in_flight
            if link.has_room_for(name):
                if not life.open:
                    return link
                if least is None or len(life.open) < len(least.in_flight.open):
                    least = link
        if least is not None and self.quota.used >= self.quota.per_engine:
            return least
        self.quota.make_room()
        link = self.connect()
        self.connections.append(link)
        self.quota.used += 1
        return link

    def on_removed(self, link: EngineConnection) -> None:
        self.connections.remove(link)
        self.quota.used -= 1

    def move(self, address: tuple[str, int]) -> None:
        """The engine has started anew, maybe elsewhere: what runs may end, new work takes new links."""
        self.address = address
        outdated = list(self.connections)
        for link in outdated:
            # Danger: another may have its old address by now.
            link.is_outdated = True
            link.retire()
        # The module hears of it once it has been told of the list.
        self._timers.call_after(0, lambda _: self._recall(outdated))

    def cancel_unwritten(self) -> None:
        """What has not been written on any link ends as never sent: the engine drains or is gone.

        To be called once the module has been told, which may send it elsewhere at once.
        """
        self._recall(list(self.connections))

    def _recall(self, links: list[EngineConnection]) -> None:
        for link in links:
            link.cancel_unwritten()

    def for_each(self, things: Iterable[_Thing], do: Callable[[_Thing], None]) -> None:
        # Danger: a fault of ours with one exchange would leave the others without an end.
        for thing in things:
            try:
                do(thing)
            except Exception as trouble:
                self.on_fault(trouble)

    def on_fault(self, trouble: Exception) -> None:
        """Something of ours failed with one exchange; the others go on."""
        self.counters.add("faults")

    def retire(self) -> None:
        for link in list(self.connections):
            link.retire()

    def _sweep(self, now: int) -> None:
        for link in list(self.connections):
            if not link.in_flight.open and now - link.idle_since >= self._idle:
                link.close()
        self._swept = bool(self.connections)
        if self._swept:
            self._timers.call_after(self._idle // 4, self._sweep)
