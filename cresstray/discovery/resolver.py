"""Which engine is at which address: one at a time, whatever the events say. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.policy.types import EndpointState

# An address, and in microseconds the start of the engine that was said to be there.
EndpointLocation = tuple[tuple[str, int], int]
# Of two records of one endpoint in an event the one of the higher severity holds.
_SEVERITY = {EndpointState.READY: 0, EndpointState.DRAINING: 1, EndpointState.REMOVED: 2}


class Resolution(NamedTuple):
    """What an event means once each address has one engine."""

    endpoints: list[Endpoint]  # the records that hold, one for each engine, in the event's order
    displaced: list[int]  # engines that lost their address to another, now or before; as good as removed


class AddressResolver:
    """Remembers engines that lost their address to another until they are removed or have come back."""

    def __init__(self) -> None:
        self._displaced: dict[int, EndpointLocation] = {}

    def resolve(self, event: EndpointEvent, known: Mapping[int, EndpointLocation]) -> Resolution:
        """Resolves one event; `known`: the engines in use before it."""
        named = _one_record_each(event.endpoints)
        placements = _remaining(known, named, event)
        holders = {address: number for number, (address, _) in placements.items()}
        self._displaced = _remaining(self._displaced, named, event)
        displaced = self._still_displaced(named, holders)
        claims = [
            endpoint
            for endpoint in named.values()
            if endpoint.state is not EndpointState.REMOVED and endpoint.id not in displaced
        ]
        # Whoever is new at an address stays, and of several new ones the one that started last.
        claims.sort(
            key=lambda endpoint: (holders.get(_address_of(endpoint)) != endpoint.id, endpoint.started_us)
        )
        for endpoint in claims:
            address = _address_of(endpoint)
            holder = holders.get(address, endpoint.id)
            if holder != endpoint.id:
                self._displaced[holder] = placements[holder]
                displaced[holder] = None
            holders[address] = endpoint.id
            placements[endpoint.id] = (address, endpoint.started_us)
        remaining = [endpoint for endpoint in named.values() if endpoint.id not in displaced]
        return Resolution(remaining, list(displaced))

    def _still_displaced(
        self, named: Mapping[int, Endpoint], holders: Mapping[tuple[str, int], int]
    ) -> dict[int, None]:
        """Returns those named that stay displaced; forgets those that came back."""
        displaced: dict[int, None] = {}
        for number, (address, started_us) in list(self._displaced.items()):
            if number in named:
                # It has come back by a later start, or where no engine is any more.
                if address not in holders or named[number].started_us > started_us:
                    del self._displaced[number]
                else:
                    displaced[number] = None
        return displaced


def _address_of(endpoint: Endpoint) -> tuple[str, int]:
    return endpoint.host, endpoint.port


def _remaining(
    placements: Mapping[int, EndpointLocation], named: Mapping[int, Endpoint], event: EndpointEvent
) -> dict[int, EndpointLocation]:
    """Returns those that are neither removed nor elsewhere after the event."""
    return {
        number: placement
        for number, placement in placements.items()
        if _remains(number, placement, named, event)
    }


def _remains(
    number: int, placement: EndpointLocation, named: Mapping[int, Endpoint], event: EndpointEvent
) -> bool:
    endpoint = named.get(number)
    if endpoint is None:
        return not event.is_complete
    return endpoint.state is not EndpointState.REMOVED and _address_of(endpoint) == placement[0]


def _one_record_each(endpoints: Iterable[Endpoint]) -> dict[int, Endpoint]:
    """Returns one record for each engine: the one of higher severity, unless a later start comes behind it.

    An engine that is said to drain or to be removed must not be used for the sake of a second record.
    """
    records: dict[int, Endpoint] = {}
    for endpoint in endpoints:
        other = records.get(endpoint.id, endpoint)
        is_as_severe = _SEVERITY[endpoint.state] >= _SEVERITY[other.state]
        if is_as_severe or endpoint.started_us > other.started_us:
            records[endpoint.id] = endpoint
    return records
