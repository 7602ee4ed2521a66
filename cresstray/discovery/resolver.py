"""Which engine is at which address: one at a time, whatever is told. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cresstray.discovery.endpoint_list import Event, Member
from cresstray.policy.types import Standing

# An address, and the start of the engine that was told to be there.
Place = tuple[tuple[str, int], int]
_HARSHNESS = {Standing.READY: 0, Standing.DRAINING: 1, Standing.GONE: 2}


class Addresses:
    """Engines that lost their address to another, until they are told gone or have come back."""

    def __init__(self) -> None:
        self._lost: dict[int, Place] = {}

    def settle(self, event: Event, known: Mapping[int, Place]) -> tuple[list[Member], list[int]]:
        """The records that hold, one an engine in the event's order; and engines that are as good as gone.

        These have lost their address, now or before. `known`: the engines in use before the event.
        """
        named = _one_each(event.members)
        places = {number: place for number, place in known.items() if _stays(number, place, named, event)}
        at = {address: number for number, (address, _) in places.items()}
        self._lost = {
            number: place for number, place in self._lost.items() if _stays(number, place, named, event)
        }
        lost = {}
        for number, (address, started) in list(self._lost.items()):
            if number in named:
                # It has come back by a later start, or where nobody is any more.
                if address not in at or named[number].started > started:
                    del self._lost[number]
                else:
                    lost[number] = None
        claims = [one for one in named.values() if one.standing is not Standing.GONE and one.id not in lost]
        # Who is new at an address stays, and of several such the one that started last.
        claims.sort(key=lambda member: (at.get(_address(member)) != member.id, member.started))
        for member in claims:
            address = _address(member)
            holder = at.get(address, member.id)
            if holder != member.id:
                lost[holder], self._lost[holder] = None, places[holder]
            at[address], places[member.id] = member.id, (address, member.started)
        return [member for member in named.values() if member.id not in lost], list(lost)


def _address(member: Member) -> tuple[str, int]:
    return member.host, member.port


def _stays(number: int, place: Place, named: Mapping[int, Member], event: Event) -> bool:
    """Whether the engine is neither gone nor elsewhere after the event."""
    member = named.get(number)
    if member is None:
        return not event.complete
    return member.standing is not Standing.GONE and _address(member) == place[0]


def _one_each(members: Iterable[Member]) -> dict[int, Member]:
    """By engine. Of two records the harsher one holds, unless a later start stands behind it."""
    found: dict[int, Member] = {}
    for member in members:
        other = found.get(member.id, member)
        # Danger: an engine that is told draining or gone must not be used for the sake of a second record.
        harsh = _HARSHNESS[member.standing] >= _HARSHNESS[other.standing]
        if harsh or member.started > other.started:
            found[member.id] = member
    return found
