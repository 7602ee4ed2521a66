"""Which engine is at which address: one at a time, whatever is told. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.policy.types import EndpointState

# An address, and the start of the engine that was told to be there.
Placement = tuple[tuple[str, int], int]
_HARSHNESS = {EndpointState.READY: 0, EndpointState.DRAINING: 1, EndpointState.REMOVED: 2}


class AddressResolver:
    """Engines that lost their address to another, until they are told gone or have come back."""

    def __init__(self) -> None:
        self._lost: dict[int, Placement] = {}

    def resolve(
        self, event: EndpointEvent, known: Mapping[int, Placement]
    ) -> tuple[list[Endpoint], list[int]]:
        """The records that hold, one an engine in the event's order; and engines that are as good as gone.

        These have lost their address, now or before. `known`: the engines in use before the event.
        """
        named = _one_each(event.endpoints)
        places = {number: place for number, place in known.items() if _stays(number, place, named, event)}
        at = {address: number for number, (address, _) in places.items()}
        self._lost = {
            number: place for number, place in self._lost.items() if _stays(number, place, named, event)
        }
        lost = {}
        for number, (address, started) in list(self._lost.items()):
            if number in named:
                # It has come back by a later start, or where nobody is any more.
                if address not in at or named[number].started_us > started:
                    del self._lost[number]
                else:
                    lost[number] = None
        claims = [
            one for one in named.values() if one.state is not EndpointState.REMOVED and one.id not in lost
        ]
        # Who is new at an address stays, and of several such the one that started last.
        claims.sort(key=lambda member: (at.get(_address(member)) != member.id, member.started_us))
        for member in claims:
            address = _address(member)
            holder = at.get(address, member.id)
            if holder != member.id:
                lost[holder], self._lost[holder] = None, places[holder]
            at[address], places[member.id] = member.id, (address, member.started_us)
        return [member for member in named.values() if member.id not in lost], list(lost)


def _address(member: Endpoint) -> tuple[str, int]:
    return member.host, member.port


def _stays(number: int, place: Placement, named: Mapping[int, Endpoint], event: EndpointEvent) -> bool:
    """Whether the engine is neither gone nor elsewhere after the event."""
    member = named.get(number)
    if member is None:
        return not event.is_complete
    return member.state is not EndpointState.REMOVED and _address(member) == place[0]


def _one_each(members: Iterable[Endpoint]) -> dict[int, Endpoint]:
    """By engine. Of two records the harsher one holds, unless a later start stands behind it."""
    found: dict[int, Endpoint] = {}
    for member in members:
        other = found.get(member.id, member)
        # Danger: an engine that is told draining or gone must not be used for the sake of a second record.
        harsh = _HARSHNESS[member.state] >= _HARSHNESS[other.state]
        if harsh or member.started_us > other.started_us:
            found[member.id] = member
    return found
