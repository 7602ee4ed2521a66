"""A snapshot of the membership as bytes: a header with a checksum, and a body in msgpack.

State that must not outlive a process has no field here: permits, requests in flight, suspected engines, and
when a drain began.

The body of format 2 is a map with the names in `_NAMES_ON_DISK`; its entries are arrays, of the fields in the
order of their types. The body of format 1 is an array. Earlier terms on disk:

| in code | on disk |
| --- | --- |
| index | number, of the register |
| instance_types | machines |
| endpoints | engines |
| tombstones | tombs |
| latencies | tariffs |
| request_names | marks |
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from struct import Struct
from typing import Annotated
from zlib import crc32

import msgspec

from cresstray.discovery.endpoint_list import Endpoint
from cresstray.membership.confidence import ClockReading
from cresstray.membership.errors import ForeignSnapshotError, UnusableSnapshotError
from cresstray.membership.reconciliation import MAX_TOMBSTONES, Tombstone
from cresstray.policy.types import EndpointState

MAGIC = b"cray\x00kpt"
FORMAT_VERSION = 2
# Bounds what the length in a damaged header can allocate. 20,000 endpoints are some two megabytes.
MAX_BODY_BYTES = 16 << 20
_MAX_REQUEST_NAMES = 4096
_MAX_OWNER_SHOWN = 64

# Magic, format, serial, length and checksum of the body.
_HEADER = Struct(">8sHQII")
# What the checksum covers besides the body, from format 2 on: format, serial and length.
_CHECKED_HEADER = Struct(">HQI")

_MAX_U16 = 65_535
_MAX_ID = 2**32 - 1
_MAX_MICROS = 2**62
_Micros = Annotated[int, msgspec.Meta(ge=0, le=_MAX_MICROS)]
_U16 = Annotated[int, msgspec.Meta(ge=0, le=_MAX_U16)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=_MAX_U16)]
_Id = Annotated[int, msgspec.Meta(ge=0, le=_MAX_ID)]
_Factor = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


class EndpointEntry(msgspec.Struct, array_like=True, frozen=True):
    """One endpoint; zone and instance type are places in the lists of the snapshot.

    Attributes:
        started_us: Its start, Unix microseconds.
        age_us: Microseconds since the last evidence of it, when the snapshot was written.
    """

    id: _Id
    host: str
    port: _Port
    is_draining: bool
    zone: _U16
    instance_type: _U16
    cell: _U16
    started_us: _Micros
    age_us: _Micros = 0


class LatencyEntry(msgspec.Struct, array_like=True, frozen=True):
    """The LatencyEstimate of a request class, by the name of the class."""

    name: str
    sample_count: _Micros
    mean_us: _Factor
    mean_work_us: _Factor
    work_factor: _Factor


class LimitEntry(msgspec.Struct, array_like=True, frozen=True):
    """A concurrency limit as a factor of what it starts with, so that the number of gateways may change."""

    id: _Id
    started_us: _Micros
    ratio: _Factor
    slowdown: _Factor


# The name of each field in code and in the body, in the order of the body.
_NAMES_ON_DISK = {
    "owner": "owner",
    "wall_us": "wall",
    "boot_id": "boot",
    "uptime_us": "ticked",
    "index": "number",
    "is_handed_over": "handed",
    "zones": "zones",
    "instance_types": "machines",
    "endpoints": "engines",
    "tombstones": "tombs",
    "latencies": "tariffs",
    "limits": "limits",
    "request_names": "marks",
}


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, rename=_NAMES_ON_DISK):
    """All that a gateway stores.

    Attributes:
        owner: The name of the gateway.
        wall_us: Unix microseconds when it was written; with boot_id and uptime_us a ClockReading.
        index: The highest index heard of the discovery service.
        is_handed_over: It is the last write of a gateway that ended as planned.
        zones: Names by place, as places may change between configurations; so for instance_types.
        request_names: Names in use when a gateway ended as planned; they are as old as the snapshot.
    """

    owner: str
    wall_us: _Micros
    boot_id: str
    uptime_us: _Micros
    index: _Micros
    is_handed_over: bool
    zones: list[str]
    instance_types: list[str]
    endpoints: list[EndpointEntry]
    tombstones: list[Tombstone]
    latencies: list[LatencyEntry]
    limits: list[LimitEntry]
    request_names: list[str]

    @property
    def written_at(self) -> ClockReading:
        """When it was written, by all clocks."""
        return ClockReading(self.wall_us, self.boot_id, self.uptime_us)


class _SnapshotV1(msgspec.Struct, array_like=True, frozen=True):
    """The body of format 1: endpoints only, and no clock but the wall clock."""

    owner: str
    wall_us: _Micros
    index: _Micros
    zones: list[str]
    instance_types: list[str]
    endpoints: list[EndpointEntry]


_encode_body = msgspec.msgpack.Encoder().encode
_decode_body = msgspec.msgpack.Decoder(Snapshot).decode
_decode_body_v1 = msgspec.msgpack.Decoder(_SnapshotV1).decode


def encode(snapshot: Snapshot, serial: int) -> bytes:
    """Returns the bytes of a file.

    Raises:
        UnusableSnapshotError: What is too large, or could not be read again; it must not replace what can.
    """
    body = _encode_body(snapshot)
    if len(body) > MAX_BODY_BYTES:
        raise UnusableSnapshotError(f"{len(body)} bytes, more than a snapshot may have")
    try:
        # Bounds are checked by the decoder only.
        _decode_body(body)
    except msgspec.MsgspecError as error:
        raise UnusableSnapshotError(f"it could not be read again: {error}") from None
    checksum = _checksum(FORMAT_VERSION, serial, body)
    return _HEADER.pack(MAGIC, FORMAT_VERSION, serial, len(body), checksum) + body


def _checksum(version: int, serial: int, body: bytes) -> int:
    initial = crc32(_CHECKED_HEADER.pack(version, serial, len(body))) if version > 1 else 0
    return crc32(body, initial)


def decode(data: bytes, owner: str) -> tuple[int, Snapshot]:
    """Returns serial and snapshot of a file's bytes.

    Raises:
        UnusableSnapshotError: Anything is not as it was written, or the format is a later one.
        ForeignSnapshotError: It is another gateway's.
    """
    if len(data) < _HEADER.size:
        is_torn = MAGIC.startswith(data[:8])
        raise UnusableSnapshotError("torn: shorter than a header" if is_torn else "not a snapshot")
    magic, version, serial, length, checksum = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise UnusableSnapshotError("not a snapshot")
    if version > FORMAT_VERSION or version < 1:
        raise UnusableSnapshotError(f"of format {version}; this build knows 1 to {FORMAT_VERSION}", serial)
    body = data[_HEADER.size :]
    if len(body) != length or length > MAX_BODY_BYTES:
        raise UnusableSnapshotError(f"torn: {len(body)} bytes of {length}", serial)
    if _checksum(version, serial, body) != checksum:
        raise UnusableSnapshotError("damaged: its checksum differs", serial)
    snapshot = _decode_version(version, serial, body)
    if snapshot.owner != owner:
        raise ForeignSnapshotError(
            f"written by {snapshot.owner[:_MAX_OWNER_SHOWN]!r}, not by {owner!r}", serial
        )
    return serial, snapshot


def _decode_version(version: int, serial: int, body: bytes) -> Snapshot:
    try:
        if version == FORMAT_VERSION:
            return _decode_body(body)
        return _migrate_v1(_decode_body_v1(body))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        # The checksum holds, so it was written like this, by a build between two formats.
        raise UnusableSnapshotError(f"damaged: no body of format {version}: {error}", serial) from None


def _migrate_v1(first: _SnapshotV1) -> Snapshot:
    return Snapshot(
        owner=first.owner,
        wall_us=first.wall_us,
        boot_id="",
        uptime_us=0,
        index=first.index,
        is_handed_over=False,
        zones=first.zones,
        instance_types=first.instance_types,
        endpoints=first.endpoints,
        tombstones=[],
        latencies=[],
        limits=[],
        request_names=[],
    )


def to_endpoints(
    snapshot: Snapshot, zones: Sequence[str], instance_types: Sequence[str]
) -> list[tuple[Endpoint, int]]:
    """Returns the endpoints by the places of the present settings, with the ages that were written.

    An endpoint whose zone or instance type has no name any more is left out: its cores are not known.
    """
    zone_of = _place_mapping(snapshot.zones, zones)
    instance_type_of = _place_mapping(snapshot.instance_types, instance_types)
    endpoints = []
    for entry in snapshot.endpoints:
        zone = zone_of(entry.zone)
        instance_type = instance_type_of(entry.instance_type)
        if zone is None or instance_type is None:
            continue
        state = EndpointState.DRAINING if entry.is_draining else EndpointState.READY
        endpoint = Endpoint(
            entry.id, entry.host, entry.port, state, zone, instance_type, entry.cell, entry.started_us
        )
        endpoints.append((endpoint, entry.age_us))
    return endpoints


def _place_mapping(before: Sequence[str], after: Sequence[str]) -> Callable[[int], int | None]:
    place_by_name = {name: place for place, name in enumerate(after)}
    is_same = list(before) == list(after)

    def place_after(place: int) -> int | None:
        if is_same:
            # A place behind all names is a zone by itself, and means the same while the names do.
            return place
        return place_by_name.get(before[place]) if place < len(before) else None

    return place_after


def can_store(endpoint: Endpoint) -> bool:
    """Returns whether all fields are in bounds: one odd endpoint must not cost the whole snapshot."""
    return (
        0 <= endpoint.id <= _MAX_ID
        and 1 <= endpoint.port <= _MAX_U16
        and 0 <= endpoint.started_us <= _MAX_MICROS
        and all(0 <= place <= _MAX_U16 for place in (endpoint.zone, endpoint.instance_type, endpoint.cell))
    )


def to_entry(endpoint: Endpoint, age_us: int) -> EndpointEntry:
    """Returns the entry of an endpoint with evidence of this age."""
    return EndpointEntry(
        endpoint.id,
        endpoint.host,
        endpoint.port,
        endpoint.state is EndpointState.DRAINING,
        endpoint.zone,
        endpoint.instance_type,
        endpoint.cell,
        endpoint.started_us,
        age_us,
    )


def newest_entries(
    tombstones: list[Tombstone], request_names: list[str]
) -> tuple[list[Tombstone], list[str]]:
    """Returns the newest of each, as many as a snapshot holds."""
    return tombstones[-MAX_TOMBSTONES:], request_names[-_MAX_REQUEST_NAMES:]
