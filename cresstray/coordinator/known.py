"""The list of engines as the coordinator tells it: one typed event, and the JSON form of the start."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from cresstray.interface import Standing


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


def events(known: Known, settings: Mapping) -> list[Event]:
    zones, machines = _Places(settings.get("Localities", [])), _Places(settings.get("Flavors", []))
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
    host, _, port = given.host_port.rpartition(":")
    try:
        if not given.id.startswith("s-"):
            raise ValueError(f"an id {given.id!r}")
        return Member(
            int(given.id[2:], 16),
            host,
            int(port),
            _STANDINGS[given.phase],
            zones[given.locality],
            machines[given.flavor],
            given.cell,
            int(given.up_since_ms * 1000),
        )
    except (ValueError, KeyError) as trouble:
        raise MalformedError(f"engine {given.id}: {trouble}") from None
