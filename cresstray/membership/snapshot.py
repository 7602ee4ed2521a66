"""What is kept, as bytes: a header with a check sum, and one body in msgpack. At load nothing is guessed at.

What must not outlive a process has no field here: permits, what is out, doubts, when a drain was told.
"""

from __future__ import annotations

from collections.abc import Sequence
from struct import Struct
from typing import Annotated
from zlib import crc32

import msgspec

from cresstray.discovery.endpoint_list import Endpoint
from cresstray.membership.confidence import ClockReading
from cresstray.membership.reconciliation import MAX_TOMBSTONES as MOST_TOMBS
from cresstray.membership.reconciliation import Tombstone
from cresstray.policy.types import EndpointState

MAGIC = b"cray\x00kpt"
FORMAT_VERSION = 2
# Danger: a length out of a damaged header would be read into memory. 20 000 engines are some two megabytes.
MAX_BODY_BYTES = 16 << 20
_MOST_MARKS = 4096

_HEADER = Struct(">8sHQII")  # magic, format, serial, length and check sum of the body
_SUMMED = Struct(">HQI")  # from format 2 on the sum is over these too

_Micros = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
_Small = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
_Id = Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
_Factor = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


class UnusableSnapshotError(ValueError):
    """These bytes can't be used; one line that says why. `serial`: its header's, 0 where it has none."""

    def __init__(self, why: str, serial: int = 0) -> None:
        super().__init__(why)
        self.serial = serial


class ForeignSnapshotError(UnusableSnapshotError):
    """It is whole, and another gateway's: not to be written over."""


class EndpointEntry(msgspec.Struct, array_like=True, frozen=True):
    """`age`: microseconds since the last evidence of it, when this was written."""

    id: _Id
    host: str
    port: _Port
    is_draining: bool
    zone: _Small
    instance_type: _Small
    cell: _Small
    started_us: _Micros
    age_us: _Micros = 0


class LatencyEntry(msgspec.Struct, array_like=True, frozen=True):
    """Usual times, as logic.Usual has them, by the tariff's name."""

    name: str
    sample_count: _Micros
    mean_us: _Factor
    mean_work_us: _Factor
    work_factor: _Factor


class LimitEntry(msgspec.Struct, array_like=True, frozen=True):
    """A limit as a factor of what it starts with, so that another number of gateways changes nothing."""

    id: _Id
    started_us: _Micros
    ratio: _Factor
    slowdown: _Factor


# Each field by the name that it has in the body: (name here, name on disk), in the order on disk.
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
    """`owner`: the gateway whose it is. Zones, machines and tariffs are named, as their places may change."""

    owner: str
    wall_us: _Micros
    boot_id: str
    uptime_us: _Micros
    index: _Micros  # the register's, last heard
    is_handed_over: bool  # written as the last thing by a gateway that ends as planned
    zones: list[str]
    instance_types: list[str]
    endpoints: list[EndpointEntry]
    tombstones: list[Tombstone]
    latencies: list[LatencyEntry]
    limits: list[LimitEntry]
    request_names: list[str]  # open ones, of those that ended as planned; their age is the record's

    @property
    def written_at(self) -> ClockReading:
        return ClockReading(self.wall_us, self.boot_id, self.uptime_us)


class _First(msgspec.Struct, array_like=True, frozen=True):
    """The body of format 1: engines only, no readings but the wall clock's."""

    owner: str
    wall_us: _Micros
    index: _Micros
    zones: list[str]
    instance_types: list[str]
    endpoints: list[EndpointEntry]


_encode = msgspec.msgpack.Encoder().encode
_record = msgspec.msgpack.Decoder(Snapshot).decode
_first = msgspec.msgpack.Decoder(_First).decode


def encode(record: Snapshot, serial: int) -> bytes:
    body = _encode(record)
    if len(body) > MAX_BODY_BYTES:
        raise UnusableSnapshotError(f"{len(body)} bytes, more than can be kept")
    try:
        # Danger: bounds are checked at reading only; what can't be read would take the place of what can.
        _record(body)
    except msgspec.MsgspecError as trouble:
        raise UnusableSnapshotError(f"it could not be read again: {trouble}") from None
    return _HEADER.pack(MAGIC, FORMAT_VERSION, serial, len(body), _sum(FORMAT_VERSION, serial, body)) + body


def _sum(version: int, serial: int, body: bytes) -> int:
    return crc32(body, crc32(_SUMMED.pack(version, serial, len(body))) if version > 1 else 0)


def decode(data: bytes, owner: str) -> tuple[int, Snapshot]:
    """Its serial and all of it; UnusableError where anything is not as it was written, or not for us."""
    if len(data) < _HEADER.size:
        ours = MAGIC.startswith(data[:8])
        raise UnusableSnapshotError("torn: shorter than a header" if ours else "not a kept list")
    magic, version, serial, length, total = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise UnusableSnapshotError("not a kept list")
    if version > FORMAT_VERSION or version < 1:
        raise UnusableSnapshotError(f"of format {version}; this build knows 1 to {FORMAT_VERSION}", serial)
    body = data[_HEADER.size :]
    if len(body) != length or length > MAX_BODY_BYTES:
        raise UnusableSnapshotError(f"torn: {len(body)} bytes of {length}", serial)
    if _sum(version, serial, body) != total:
        raise UnusableSnapshotError("damaged: its check sum is another", serial)
    try:
        record = _record(body) if version == FORMAT_VERSION else _migrated(_first(body))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
        # The sum holds, so it was written like this: by a build that was half one version, half another.
        raise UnusableSnapshotError(f"damaged: no body of format {version}: {trouble}", serial) from None
    if record.owner != owner:
        raise ForeignSnapshotError(f"kept by {record.owner[:64]!r}, not by {owner!r}", serial)
    return serial, record


def _migrated(first: _First) -> Snapshot:
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
    record: Snapshot, zones: Sequence[str], machines: Sequence[str]
) -> list[tuple[Endpoint, int]]:
    """The engines by the places that the settings have now, with their ages when it was written.

    Danger: a machine that is not named any more has cores that nobody knows: it is left out.
    """
    zone_of, machine_of = _moved(record.zones, zones), _moved(record.instance_types, machines)
    return [
        (
            Endpoint(
                one.id,
                one.host,
                one.port,
                EndpointState.DRAINING if one.is_draining else EndpointState.READY,
                zone_of(one.zone),
                machine_of(one.instance_type),
                one.cell,
                one.started_us,
            ),
            one.age_us,
        )
        for one in record.endpoints
        if zone_of(one.zone) is not None and machine_of(one.instance_type) is not None
    ]


def _moved(before: Sequence[str], after: Sequence[str]):
    places = {name: place for place, name in enumerate(after)}
    same = list(before) == list(after)

    def moved(place: int) -> int | None:
        # Places behind all names are a zone each by themselves; they mean the same while the names do.
        return place if same else places.get(before[place]) if place < len(before) else None

    return moved


def can_store(member: Endpoint) -> bool:
    """Whether it can be kept: one engine that is out of all bounds must not cost the whole list."""
    return (
        0 <= member.id < 2**32
        and 1 <= member.port <= 65_535
        and 0 <= member.started_us <= 2**62
        and all(0 <= place <= 65_535 for place in (member.zone, member.instance_type, member.cell))
    )


def to_entry(member: Endpoint, age: int) -> EndpointEntry:
    return EndpointEntry(
        member.id,
        member.host,
        member.port,
        member.state is EndpointState.DRAINING,
        member.zone,
        member.instance_type,
        member.cell,
        member.started_us,
        age,
    )


def newest_entries(tombs: list[Tombstone], marks: list[str]) -> tuple[list[Tombstone], list[str]]:
    """The youngest of each, as many as are kept."""
    return tombs[-MOST_TOMBS:], marks[-_MOST_MARKS:]
