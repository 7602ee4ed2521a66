"""Resolves conflicts between endpoints that claim one address, so that each address has one. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.policy.types import EndpointState

# The address of an endpoint, and its start time in microseconds.
EndpointLocation = tuple[tuple[str, int], int]
# If an event has two records of one endpoint, that of the higher severity applies.
_SEVERITY = {EndpointState.READY: 0, EndpointState.DRAINING: 1, EndpointState.REMOVED: 2}


class Resolution(NamedTuple):
    """An event after all conflicts are resolved.

    Attributes:
        endpoints: the records that apply, one for each endpoint, in the event's order.
        displaced: the ids of endpoints that have lost their address to another, by this event or earlier;
            they are treated as removed.
    """

    endpoints: list[Endpoint]
    displaced: list[int]


class AddressResolver:
    """Assigns each address to one endpoint.

    Remembers endpoints that lost their address to another one until they are removed or come back.
    """

    def __init__(self) -> None:
        self._displaced: dict[int, EndpointLocation] = {}

    def resolve(self, event: EndpointEvent, known: Mapping[int, EndpointLocation]) -> Resolution:
        """Resolves one event; `known` maps the ids of the endpoints in use before it to their locations."""
        records = _merge_records(event.endpoints)
        locations = _remaining(known, records, event)
        holders = {address: endpoint_id for endpoint_id, (address, _) in locations.items()}
        self._displaced = _remaining(self._displaced, records, event)
        displaced = self._still_displaced(records, holders)
        claimants = [
            endpoint
            for endpoint in records.values()
            if endpoint.state is not EndpointState.REMOVED and endpoint.id not in displaced
        ]
        # The last claimant in this order gets the address: a new one wins over the present holder, and among
        # several new ones the one that started last.
        claimants.sort(
            key=lambda endpoint: (holders.get(_address_of(endpoint)) != endpoint.id, endpoint.started_us)
        )
        for endpoint in claimants:
            address = _address_of(endpoint)
            holder_id = holders.get(address, endpoint.id)
            if holder_id != endpoint.id:
                self._displaced[holder_id] = locations[holder_id]
                displaced[holder_id] = None
            holders[address] = endpoint.id
            locations[endpoint.id] = (address, endpoint.started_us)
        remaining = [endpoint for endpoint in records.values() if endpoint.id not in displaced]
        return Resolution(remaining, list(displaced))

    def _still_displaced(
        self, records: Mapping[int, Endpoint], holders: Mapping[tuple[str, int], int]
    ) -> dict[int, None]:
        """Returns the ids among the records that stay displaced; forgets endpoints that came back."""
        displaced: dict[int, None] = {}
        for endpoint_id, (address, started_us) in list(self._displaced.items()):
            if endpoint_id in records:
                # The endpoint has come back with a later start, or its address is free again.
                if address not in holders or records[endpoint_id].started_us > started_us:
                    del self._displaced[endpoint_id]
                else:
                    displaced[endpoint_id] = None
        return displaced


def _address_of(endpoint: Endpoint) -> tuple[str, int]:
    return endpoint.host, endpoint.port


def _remaining(
    locations: Mapping[int, EndpointLocation], records: Mapping[int, Endpoint], event: EndpointEvent
) -> dict[int, EndpointLocation]:
    """Returns the locations of endpoints that the event neither removes nor moves."""
    return {
        endpoint_id: location
        for endpoint_id, location in locations.items()
        if _remains(endpoint_id, location, records, event)
    }


def _remains(
    endpoint_id: int, location: EndpointLocation, records: Mapping[int, Endpoint], event: EndpointEvent
) -> bool:
    endpoint = records.get(endpoint_id)
    if endpoint is None:
        return not event.is_complete
    return endpoint.state is not EndpointState.REMOVED and _address_of(endpoint) == location[0]


def _merge_records(endpoints: Iterable[Endpoint]) -> dict[int, Endpoint]:
    """Returns one record for each endpoint: the most severe, unless one with a later start follows it.

    An endpoint that is reported as draining or removed must not be used because of a second record.
    """
    records: dict[int, Endpoint] = {}
    for endpoint in endpoints:
        previous = records.get(endpoint.id, endpoint)
        is_as_severe = _SEVERITY[endpoint.state] >= _SEVERITY[previous.state]
        if is_as_severe or endpoint.started_us > previous.started_us:
            records[endpoint.id] = endpoint
    return records
