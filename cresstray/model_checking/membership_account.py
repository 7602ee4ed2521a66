"""The world's own account of what one process has been told, by which the membership estimate is judged."""

from __future__ import annotations

from typing import Any, NamedTuple

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.policy.types import EndpointState


class Removal(NamedTuple):
    """That an endpoint is removed: as started then, by discovery at this index."""

    started_us: int
    event_index: int


class Named(NamedTuple):
    """An endpoint as it was last named or read."""

    started_us: int
    port: int


class Written(NamedTuple):
    """The part of an account that a snapshot carries over a restart."""

    highest_index: int
    named: dict[int, Named]
    removed: dict[int, Removal]


class Account:
    """What one process knows, by what it was told and what it read; not by what it has made of it.

    Attributes:
        index: The highest index of discovery.
        named: Endpoints by id.
        removed: Removed endpoints by id.
        registered: Endpoints that discovery named to this process; so for the attributes that follow.
        served: Endpoints that served.
        failed: Endpoints that failed.
        listening_us: When a probe last found an endpoint to listen.
        cold_from_us: Endpoints listed by a probe, and from when on they are cold.
        is_handed_over: The snapshot was handed over a moment ago.
    """

    def __init__(self) -> None:
        self.index = 0
        self.named: dict[int, Named] = {}
        self.removed: dict[int, Removal] = {}
        self.registered: set[int] = set()
        self.served: set[int] = set()
        self.failed: set[int] = set()
        self.listening_us: dict[int, int] = {}
        self.cold_from_us: dict[int, int] = {}
        self.is_handed_over = False

    def written(self) -> Written:
        """Returns what a snapshot written now carries."""
        return Written(self.index, dict(self.named), dict(self.removed))

    def __getstate__(self) -> tuple[Any, ...]:
        # In one order, whatever came first.
        return (
            self.index,
            sorted(self.named.items()),
            sorted(self.removed.items()),
            sorted(self.registered),
            sorted(self.served),
            sorted(self.failed),
            sorted(self.listening_us.items()),
            sorted(self.cold_from_us.items()),
            self.is_handed_over,
        )

    def __setstate__(self, state: tuple[Any, ...]) -> None:
        index, named, removed, registered, served, failed, listening, cold, is_handed_over = state
        self.index = index
        self.named = dict(named)
        self.removed = dict(removed)
        self.registered = set(registered)
        self.served = set(served)
        self.failed = set(failed)
        self.listening_us = dict(listening)
        self.cold_from_us = dict(cold)
        self.is_handed_over = is_handed_over

    def read(self, written: Written) -> None:
        """Reads what an earlier process wrote."""
        for engine, removal in written.removed.items():
            known = self.removed.get(engine, removal)
            if engine not in self.registered:
                # Discovery said so, to whichever process; only what it told this one later counts more.
                self.remove(
                    engine,
                    max(removal.started_us, known.started_us),
                    max(removal.event_index, known.event_index),
                )
        for engine, named in written.named.items():
            current = self.removed.get(engine)
            if current is not None and (
                named.started_us > current.started_us or written.highest_index > current.event_index
            ):
                del self.removed[engine]  # it was named again after that
                current = None
            if current is None and engine not in self.registered:
                self.named[engine] = named
        self.index = max(self.index, written.highest_index)

    def remove(self, engine: int, started_us: int, index: int) -> None:
        """Records a removal, at the later start and the later index."""
        named = self.named.pop(engine, Named(0, 0))
        known = self.removed.get(engine, Removal(0, 0))
        self.removed[engine] = Removal(
            max(started_us, named.started_us, known.started_us), max(index, known.event_index)
        )
        for engines in (self.registered, self.served, self.failed):
            engines.discard(engine)
        self.cold_from_us.pop(engine, None)

    def hear(self, event: EndpointEvent) -> None:
        """Records an event of discovery, before the gateway has it."""
        is_older = event.index < self.index
        ids = {endpoint.id for endpoint in event.endpoints}
        for endpoint in event.endpoints:
            if endpoint.state is EndpointState.REMOVED:
                self.remove(endpoint.id, endpoint.started_us, event.index)
            elif not self._is_outdated(endpoint, event.index, is_older):
                self._name(endpoint, event.index, ids)
        if event.is_complete and not is_older:
            for engine in [engine for engine in self.named if engine not in ids]:
                self.remove(engine, 0, event.index)
        self.index = max(self.index, event.index)

    def _is_outdated(self, endpoint: Endpoint, index: int, is_older: bool) -> bool:
        removal = self.removed.get(endpoint.id)
        if removal and endpoint.started_us <= removal.started_us and index <= removal.event_index:
            return True
        named = self.named.get(endpoint.id)
        return is_older and named is not None and named.started_us > endpoint.started_us

    def _name(self, endpoint: Endpoint, index: int, ids: set[int]) -> None:
        for other, (started_us, port) in list(self.named.items()):
            if port == endpoint.port and other not in ids:
                self.remove(other, started_us, index)
        self.removed.pop(endpoint.id, None)
        self.named[endpoint.id] = Named(endpoint.started_us, endpoint.port)
        self.registered.add(endpoint.id)
