"""Events of the coordinator's endpoint list, and the initial list in the JSON configuration.

| in the configuration                        | here                                             |
| ------------------------------------------- | ------------------------------------------------ |
| `known`                                     | `InitialList`                                    |
| `members`                                   | `EndpointEvent.endpoints`                        |
| `complete`                                  | `EndpointEvent.is_complete`                      |
| `id`: `s-` and a hexadecimal number         | `Endpoint.id`, the number                        |
| `host_port`                                 | `host`, `port`                                   |
| `locality`, by its position in `Localities` | `zone`                                           |
| `flavor`, by its position in `Flavors`      | `instance_type`                                  |
| `phase`: `in_service`                       | `EndpointState.READY`                            |
| `terminating`, `terminated`                 | `EndpointState.DRAINING`, `EndpointState.REMOVED` |
| `up_since_ms`                               | `started_us`                                     |
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from ipaddress import IPv4Address
from typing import Any

import msgspec

from cresstray.policy.types import EndpointState


class MalformedEventError(Exception):
    """An event that does not follow the coordinator's protocol."""


class Endpoint(msgspec.Struct):
    """One endpoint of an event."""

    id: int
    host: str
    port: int
    state: EndpointState
    zone: int
    instance_type: int
    cell: int
    started_us: int  # Unix time in microseconds; 0: long ago


class EndpointEvent(msgspec.Struct):
    """A change of the list, or with `is_complete` the whole list. A larger `index` is a later event."""

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
    """The endpoint list in the configuration, as a list of events."""

    index: int = 0
    updates: list[_Update] = []


_STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
_ID = re.compile("s-[0-9a-fA-F]{1,8}")
_ID_PREFIX_LENGTH = 2
_UINT64_LIMIT = 2**64  # of an event's index and of a start time, as a frame has 8 bytes for each
_MAX_PORT = 65_535
_FIRST_UNNAMED_ORDINAL = 256  # a frame has one byte for a zone, and one for an instance type


def parse_address(text: str) -> tuple[str, int]:
    """Parses host:port, where host is an IPv4 address, as the platform does not resolve names.

    Raises:
        ValueError: `text` is not such an address. A connection to it would fail much later, with errors other
            than OSError.
    """
    host, _, port_text = text.rpartition(":")
    port = int(port_text)
    if not 1 <= port <= _MAX_PORT:
        raise ValueError(f"the port {port} of {text!r}")
    try:
        IPv4Address(host)
    except ValueError:
        raise ValueError(f"the host of {text!r} is no IPv4 address") from None
    return host, port


def initial_events(initial: InitialList, settings: Mapping[str, Any]) -> list[EndpointEvent]:
    """Returns the events of the initial endpoint list.

    Raises:
        MalformedEventError: one of them does not follow the coordinator's protocol.
    """
    zones = _Ordinals(settings.get("Localities", []))
    instance_types = _Ordinals(settings.get("Flavors", []))
    for update in initial.updates:
        # The index of the last event is sent to the coordinator in eight bytes.
        if not 0 <= update.index < _UINT64_LIMIT:
            raise MalformedEventError(f"an event of the number {update.index}")
    return [
        EndpointEvent(
            update.index,
            update.endpoints.complete,
            [_to_endpoint(member, zones, instance_types) for member in update.endpoints.members],
        )
        for update in initial.updates
    ]


class _Ordinals(dict[str, int]):
    """Maps names to their positions in the settings; other names get positions beyond those in frames.

    A fleet grows into zones that the settings do not name. Each of them counts as a zone of its own, since a
    retry in another zone may take effect twice.
    """

    def __init__(self, names: Sequence[str]) -> None:
        super().__init__((name, ordinal) for ordinal, name in enumerate(names))
        self._named_count = len(self)

    def __missing__(self, name: str) -> int:
        unnamed_count = len(self) - self._named_count
        ordinal = _FIRST_UNNAMED_ORDINAL + unnamed_count if self._named_count else 0
        self[name] = ordinal
        return ordinal


def _to_endpoint(member: _Member, zones: _Ordinals, instance_types: _Ordinals) -> Endpoint:
    try:
        if not _ID.fullmatch(member.id):
            raise ValueError(f"an id {member.id!r}")
        if not 0 <= member.up_since_ms < _UINT64_LIMIT:
            raise ValueError(f"a start at {member.up_since_ms}")
        return Endpoint(
            int(member.id[_ID_PREFIX_LENGTH:], 16),
            *parse_address(member.host_port),
            _STATES[member.phase],
            zones[member.locality],
            instance_types[member.flavor],
            member.cell,
            int(member.up_since_ms * 1000),
        )
    except (ValueError, KeyError) as error:
        raise MalformedEventError(f"engine {member.id}: {error}") from None


def apply_final_states(events: Sequence[EndpointEvent]) -> list[EndpointEvent]:
    """Adds to each of several events the final state of all endpoints that they drain or remove.

    The policy sends requests between two events, and must not send one to an endpoint that the next event
    drains.
    """
    if len(events) < 2:
        return list(events)
    # Events before the last complete list are superseded by it.
    start = max((position for position, event in enumerate(events) if event.is_complete), default=0)
    last_records = {endpoint.id: endpoint for event in events[start:] for endpoint in event.endpoints}
    ending = {
        endpoint_id: endpoint
        for endpoint_id, endpoint in last_records.items()
        if endpoint.state is not EndpointState.READY
    }
    return [
        EndpointEvent(
            event.index,
            event.is_complete,
            [endpoint for endpoint in event.endpoints if endpoint.id not in ending] + list(ending.values()),
        )
        for event in events[start:]
    ]
