"""The list of engines as the coordinator tells it: one typed event, and the JSON form of the start."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from ipaddress import IPv4Address

import msgspec

from cresstray.policy.types import EndpointState


class MalformedEventError(Exception):
    """An event that does not follow the coordinator's page."""


class Endpoint(msgspec.Struct):
    """One engine of an event."""

    id: int
    host: str
    port: int
    state: EndpointState
    zone: int
    instance_type: int
    cell: int
    started_us: int  # microseconds; 0: long ago


class EndpointEvent(msgspec.Struct):
    index: int
    is_complete: bool
    endpoints: list[Endpoint]


class _Member(msgspec.Struct):
    id: str
    host_port: str
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    phase: str = "in_service"
    up_since_ms: float = 0


class _Endpoints(msgspec.Struct):
    complete: bool = False
    members: list[_Member] = []


class _Update(msgspec.Struct):
    index: int
    endpoints: _Endpoints


class InitialList(msgspec.Struct):
    """What the configuration holds under `known`."""

    index: int = 0
    updates: list[_Update] = []


_STANDINGS = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
_ID = re.compile("s-[0-9a-fA-F]{1,8}")
_NUMBERS = 2**64  # what a frame holds of an event's number, and of a start


def parse_address(text: str) -> tuple[str, int]:
    """host:port as a connection takes it; ValueError that names what can't be one."""
    host, _, port = text.rpartition(":")
    number = int(port)
    # Danger: the platform looks no names up. What is no address would raise more than OSError when a
    # connection is made, in the middle of a day.
    if not 1 <= number <= 65_535:
        raise ValueError(f"the port {number} of {text!r}")
    try:
        IPv4Address(host)
    except ValueError:
        raise ValueError(f"the host of {text!r} is no IPv4 address") from None
    return host, number


def initial_events(known: InitialList, settings: Mapping) -> list[EndpointEvent]:
    """The events of the start; MalformedError where one follows no page."""
    zones, machines = _Places(settings.get("Localities", [])), _Places(settings.get("Flavors", []))
    for update in known.updates:
        # Danger: the last is told to the coordinator in eight bytes.
        if not 0 <= update.index < _NUMBERS:
            raise MalformedEventError(f"an event of the number {update.index}")
    return [
        EndpointEvent(
            update.index,
            update.endpoints.complete,
            [_member(member, zones, machines) for member in update.endpoints.members],
        )
        for update in known.updates
    ]


class _Places(dict):
    """Names by their place in the settings; others get places behind all that a frame can tell.

    Danger: a fleet grows into zones that the settings do not name. Each is its own: a repeat in another zone
    may take effect twice.
    """

    def __init__(self, names: Sequence[str]) -> None:
        super().__init__((name, place) for place, name in enumerate(names))
        self._named = len(self)

    def __missing__(self, name: str) -> int:
        place = self[name] = 256 + len(self) - self._named if self._named else 0
        return place


def _member(given: _Member, zones: _Places, machines: _Places) -> Endpoint:
    try:
        if not _ID.fullmatch(given.id):
            raise ValueError(f"an id {given.id!r}")
        if not 0 <= given.up_since_ms < _NUMBERS:
            raise ValueError(f"a start at {given.up_since_ms}")
        return Endpoint(
            int(given.id[2:], 16),
            *parse_address(given.host_port),
            _STANDINGS[given.phase],
            zones[given.locality],
            machines[given.flavor],
            given.cell,
            int(given.up_since_ms * 1000),
        )
    except (ValueError, KeyError) as trouble:
        raise MalformedEventError(f"engine {given.id}: {trouble}") from None


def apply_final_states(events: Sequence[EndpointEvent]) -> list[EndpointEvent]:
    """Events that have come together, each with the last word of all on engines that drain or go."""
    if len(events) < 2:
        return list(events)
    # What a whole list has behind it says nothing more.
    whole = max((at for at, event in enumerate(events) if event.is_complete), default=0)
    last = {member.id: member for event in events[whole:] for member in event.endpoints}
    # Danger: the module sends between two events, and must not send to what the next one drains.
    ending = {number: member for number, member in last.items() if member.state is not EndpointState.READY}
    return [
        EndpointEvent(
            event.index,
            event.is_complete,
            [member for member in event.endpoints if member.id not in ending] + list(ending.values()),
        )
        for event in events[whole:]
    ]
