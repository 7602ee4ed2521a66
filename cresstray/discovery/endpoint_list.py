"""The list of engines as the coordinator tells it: one typed event, and the JSON form of the start."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from ipaddress import IPv4Address

import msgspec

from cresstray.policy.types import Standing


class MalformedError(Exception):
    """An event that does not follow the coordinator's page."""


class Member(msgspec.Struct):
    """One engine of an event."""

    id: int
    host: str
    port: int
    standing: Standing
    zone: int
    machine: int
    cell: int
    started: int  # microseconds; 0: long ago


class Event(msgspec.Struct):
    number: int
    complete: bool
    members: list[Member]


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


class Known(msgspec.Struct):
    """What the configuration holds under `known`."""

    index: int = 0
    updates: list[_Update] = []


_STANDINGS = {"in_service": Standing.READY, "terminating": Standing.DRAINING, "terminated": Standing.GONE}
_ID = re.compile("s-[0-9a-fA-F]{1,8}")
_NUMBERS = 2**64  # what a frame holds of an event's number, and of a start


def address_of(text: str) -> tuple[str, int]:
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


def events(known: Known, settings: Mapping) -> list[Event]:
    """The events of the start; MalformedError where one follows no page."""
    zones, machines = _Places(settings.get("Localities", [])), _Places(settings.get("Flavors", []))
    for update in known.updates:
        # Danger: the last is told to the coordinator in eight bytes.
        if not 0 <= update.index < _NUMBERS:
            raise MalformedError(f"an event of the number {update.index}")
    return [
        Event(
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


def _member(given: _Member, zones: _Places, machines: _Places) -> Member:
    try:
        if not _ID.fullmatch(given.id):
            raise ValueError(f"an id {given.id!r}")
        if not 0 <= given.up_since_ms < _NUMBERS:
            raise ValueError(f"a start at {given.up_since_ms}")
        return Member(
            int(given.id[2:], 16),
            *address_of(given.host_port),
            _STANDINGS[given.phase],
            zones[given.locality],
            machines[given.flavor],
            given.cell,
            int(given.up_since_ms * 1000),
        )
    except (ValueError, KeyError) as trouble:
        raise MalformedError(f"engine {given.id}: {trouble}") from None


def foreseen(events: Sequence[Event]) -> list[Event]:
    """Events that have come together, each with the last word of all on engines that drain or go."""
    if len(events) < 2:
        return list(events)
    # What a whole list has behind it says nothing more.
    whole = max((at for at, event in enumerate(events) if event.complete), default=0)
    last = {member.id: member for event in events[whole:] for member in event.members}
    # Danger: the module sends between two events, and must not send to what the next one drains.
    ending = {number: member for number, member in last.items() if member.standing is not Standing.READY}
    return [
        Event(
            event.number,
            event.complete,
            [member for member in event.members if member.id not in ending] + list(ending.values()),
        )
        for event in events[whole:]
    ]
