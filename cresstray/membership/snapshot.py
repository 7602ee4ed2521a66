"""The file format of membership snapshots: a header with a checksum, and a body in msgpack.

State that must not outlive a process is not stored: permits, requests in flight, suspected engines, and when
a drain began.

The body of format 2 is a map with the names in `_NAMES_ON_DISK`; its entries are arrays of the fields of
their types, in order. The body of format 1 is an array. Some names on disk are earlier terms:

| in code | on disk |
| --- | --- |
| index | number |
| uptime_us | ticked |
| is_handed_over | handed |
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
# Bounds the memory that is allocated for a damaged header. 20,000 endpoints take about two megabytes.
MAX_BODY_BYTES = 16 << 20
_MAX_REQUEST_NAMES = 4096
_MAX_SHOWN_OWNER_LENGTH = 64

# The magic number, the format, the serial, and the length and checksum of the body.
_HEADER = Struct(">8sHQII")
# The fields that the checksum covers besides the body, from format 2 on: format, serial and length.
_CHECKED_HEADER = Struct(">HQI")

_MAX_U16 = 65_535
_MAX_ID = 2**32 - 1
_MAX_MICROSECONDS = 2**62
_Microseconds = Annotated[int, msgspec.Meta(ge=0, le=_MAX_MICROSECONDS)]
_U16 = Annotated[int, msgspec.Meta(ge=0, le=_MAX_U16)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=_MAX_U16)]
_Id = Annotated[int, msgspec.Meta(ge=0, le=_MAX_ID)]
_Factor = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


class EndpointEntry(msgspec.Struct, array_like=True, frozen=True):
    """One endpoint; zone and instance type are positions in the lists of the snapshot.

    Attributes:
        started_us: The start of the endpoint in Unix microseconds.
        age_us: The microseconds since the last evidence of it, when the snapshot was written.
    """

    id: _Id
    host: str
    port: _Port
    is_draining: bool
    zone: _U16
    instance_type: _U16
    cell: _U16
    started_us: _Microseconds
    age_us: _Microseconds = 0


class LatencyEntry(msgspec.Struct, array_like=True, frozen=True):
    """The latency estimate of a request class, by the name of the class."""

    name: str
    sample_count: _Microseconds
    mean_us: _Factor
    mean_work_us: _Factor
    work_factor: _Factor


class LimitEntry(msgspec.Struct, array_like=True, frozen=True):
    """A concurrency limit as a factor of its initial value, so that the number of gateways may change."""

    id: _Id
    started_us: _Microseconds
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
    """The state that a gateway stores.

    Attributes:
        owner: The name of the gateway.
        wall_us: When it was written, in Unix microseconds; with boot_id and uptime_us a ClockReading.
        index: The highest index that was received from the discovery service.
        is_handed_over: It is the last snapshot of a gateway that ended as planned.
        zones: The names of the zones by position, as positions may change between configurations.
        instance_types: The names of the instance types by position, for the same reason.
        request_names: The names in use when a gateway ended as planned; they are as old as the snapshot.
    """

    owner: str
    wall_us: _Microseconds
    boot_id: str
    uptime_us: _Microseconds
    index: _Microseconds
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
        """The time of the write by all clocks."""
        return ClockReading(self.wall_us, self.boot_id, self.uptime_us)


class _SnapshotV1(msgspec.Struct, array_like=True, frozen=True):
    """The body of format 1, which has endpoints only, and no clock but the wall clock."""

    owner: str
    wall_us: _Microseconds
    index: _Microseconds
    zones: list[str]
    instance_types: list[str]
    endpoints: list[EndpointEntry]


_encode_body = msgspec.msgpack.Encoder().encode
_decode_body = msgspec.msgpack.Decoder(Snapshot).decode
_decode_body_v1 = msgspec.msgpack.Decoder(_SnapshotV1).decode


def encode(snapshot: Snapshot, serial: int) -> bytes:
    """Returns the content of a file.

    Raises:
        UnusableSnapshotError: The snapshot is too large, or could not be decoded again; it must not replace
            one that can.
    """
    body = _encode_body(snapshot)
    if len(body) > MAX_BODY_BYTES:
        raise UnusableSnapshotError(f"{len(body)} bytes, more than a snapshot may have")
    try:
        # Only the decoder checks the bounds of fields.
        _decode_body(body)
    except msgspec.MsgspecError as error:
        raise UnusableSnapshotError(f"it could not be read again: {error}") from None
    checksum = _checksum(FORMAT_VERSION, serial, body)
    return _HEADER.pack(MAGIC, FORMAT_VERSION, serial, len(body), checksum) + body


def _checksum(version: int, serial: int, body: bytes) -> int:
    initial = crc32(_CHECKED_HEADER.pack(version, serial, len(body))) if version > 1 else 0
    return crc32(body, initial)


def decode(data: bytes, owner: str) -> tuple[int, Snapshot]:
    """Returns the serial and the snapshot in the content of a file.

    Raises:
        UnusableSnapshotError: The content is damaged, or of a later format.
        ForeignSnapshotError: The snapshot was written by another gateway.
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
            f"written by {snapshot.owner[:_MAX_SHOWN_OWNER_LENGTH]!r}, not by {owner!r}", serial
        )
    return serial, snapshot


def _decode_version(version: int, serial: int, body: bytes) -> Snapshot:
    try:
        if version == FORMAT_VERSION:
            return _decode_body(body)
        return _migrate_v1(_decode_body_v1(body))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        # The checksum is right, so a build between two formats has written it like this.
        raise UnusableSnapshotError(f"damaged: no body of format {version}: {error}", serial) from None


def _migrate_v1(snapshot_v1: _SnapshotV1) -> Snapshot:
    return Snapshot(
        owner=snapshot_v1.owner,
        wall_us=snapshot_v1.wall_us,
        boot_id="",
        uptime_us=0,
        index=snapshot_v1.index,
        is_handed_over=False,
        zones=snapshot_v1.zones,
        instance_types=snapshot_v1.instance_types,
        endpoints=snapshot_v1.endpoints,
        tombstones=[],
        latencies=[],
        limits=[],
        request_names=[],
    )


def to_endpoints(
    snapshot: Snapshot, zones: Sequence[str], instance_types: Sequence[str]
) -> list[tuple[Endpoint, int]]:
    """Returns the endpoints with positions by the present settings, each with its stored age.

    An endpoint whose zone or instance type is not in the settings any more is left out, as its cores are
    unknown.
    """
    to_present_zone = _position_mapping(snapshot.zones, zones)
    to_present_instance_type = _position_mapping(snapshot.instance_types, instance_types)
    endpoints = []
    for entry in snapshot.endpoints:
        zone = to_present_zone(entry.zone)
        instance_type = to_present_instance_type(entry.instance_type)
        if zone is None or instance_type is None:
            continue
        state = EndpointState.DRAINING if entry.is_draining else EndpointState.READY
        endpoint = Endpoint(
            entry.id, entry.host, entry.port, state, zone, instance_type, entry.cell, entry.started_us
        )
        endpoints.append((endpoint, entry.age_us))
    return endpoints


def _position_mapping(
    stored_names: Sequence[str], present_names: Sequence[str]
) -> Callable[[int], int | None]:
    position_by_name = {name: position for position, name in enumerate(present_names)}
    is_same = list(stored_names) == list(present_names)

    def to_present_position(position: int) -> int | None:
        if is_same:
            # A position beyond all names is a zone of its own. It stays the same while the names do.
            return position
        return position_by_name.get(stored_names[position]) if position < len(stored_names) else None

    return to_present_position


def can_store(endpoint: Endpoint) -> bool:
    """Returns whether all fields are in bounds; one bad endpoint must not make the whole snapshot fail."""
    return (
        0 <= endpoint.id <= _MAX_ID
        and 1 <= endpoint.port <= _MAX_U16
        and 0 <= endpoint.started_us <= _MAX_MICROSECONDS
        and all(0 <= value <= _MAX_U16 for value in (endpoint.zone, endpoint.instance_type, endpoint.cell))
    )


def to_entry(endpoint: Endpoint, age_us: int) -> EndpointEntry:
    """Returns the entry of an endpoint; `age_us` is the age of the last evidence of it."""
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
    """Returns the newest tombstones and request names, as many as a snapshot may hold."""
    return tombstones[-MAX_TOMBSTONES:], request_names[-_MAX_REQUEST_NAMES:]
