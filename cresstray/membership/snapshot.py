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
from cresstray.membership.confidence import Moment
from cresstray.membership.reconciliation import MOST as MOST_TOMBS
from cresstray.membership.reconciliation import Tomb
from cresstray.policy.types import EndpointState

MAGIC = b"cray\x00kpt"
FORMAT = 2
# Danger: a length out of a damaged header would be read into memory. 20 000 engines are some two megabytes.
MOST_BYTES = 16 << 20
_MOST_MARKS = 4096

_HEADER = Struct(">8sHQII")  # magic, format, serial, length and check sum of the body
_SUMMED = Struct(">HQI")  # from format 2 on the sum is over these too

_Micros = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
_Small = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
_Id = Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
_Factor = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


class UnusableError(ValueError):
    """These bytes can't be used; one line that says why. `serial`: its header's, 0 where it has none."""

    def __init__(self, why: str, serial: int = 0) -> None:
        super().__init__(why)
        self.serial = serial


class ForeignError(UnusableError):
    """It is whole, and another gateway's: not to be written over."""


class Engine(msgspec.Struct, array_like=True, frozen=True):
    """`age`: microseconds since the last evidence of it, when this was written."""

    id: _Id
    host: str
    port: _Port
    draining: bool
    zone: _Small
    machine: _Small
    cell: _Small
    started: _Micros
    age: _Micros = 0


class Tariff(msgspec.Struct, array_like=True, frozen=True):
    """Usual times, as logic.Usual has them, by the tariff's name."""

    name: str
    seen: _Micros
    mean: _Factor
    estimate: _Factor
    factor: _Factor


class Limit(msgspec.Struct, array_like=True, frozen=True):
    """A limit as a factor of what it starts with, so that another number of gateways changes nothing."""

    id: _Id
    started: _Micros
    ratio: _Factor
    pace: _Factor


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """`owner`: the gateway whose it is. Zones, machines and tariffs are named, as their places may change."""

    owner: str
    wall: _Micros
    boot: str
    ticked: _Micros
    number: _Micros  # the register's, last heard
    handed: bool  # written as the last thing by a gateway that ends as planned
    zones: list[str]
    machines: list[str]
    engines: list[Engine]
    tombs: list[Tomb]
    tariffs: list[Tariff]
    limits: list[Limit]
    marks: list[str]  # open ones, of those that ended as planned; their age is the record's

    @property
    def moment(self) -> Moment:
        return Moment(self.wall, self.boot, self.ticked)


class _First(msgspec.Struct, array_like=True, frozen=True):
    """The body of format 1: engines only, no readings but the wall clock's."""

    owner: str
    wall: _Micros
    number: _Micros
    zones: list[str]
    machines: list[str]
    engines: list[Engine]


_encode = msgspec.msgpack.Encoder().encode
_record = msgspec.msgpack.Decoder(Record).decode
_first = msgspec.msgpack.Decoder(_First).decode


def encoded(record: Record, serial: int) -> bytes:
    body = _encode(record)
    if len(body) > MOST_BYTES:
        raise UnusableError(f"{len(body)} bytes, more than can be kept")
    try:
        # Danger: bounds are checked at reading only; what can't be read would take the place of what can.
        _record(body)
    except msgspec.MsgspecError as trouble:
        raise UnusableError(f"it could not be read again: {trouble}") from None
    return _HEADER.pack(MAGIC, FORMAT, serial, len(body), _sum(FORMAT, serial, body)) + body


def _sum(version: int, serial: int, body: bytes) -> int:
    return crc32(body, crc32(_SUMMED.pack(version, serial, len(body))) if version > 1 else 0)


def decoded(data: bytes, owner: str) -> tuple[int, Record]:
    """Its serial and all of it; UnusableError where anything is not as it was written, or not for us."""
    if len(data) < _HEADER.size:
        ours = MAGIC.startswith(data[:8])
        raise UnusableError("torn: shorter than a header" if ours else "not a kept list")
    magic, version, serial, length, total = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise UnusableError("not a kept list")
    if version > FORMAT or version < 1:
        raise UnusableError(f"of format {version}; this build knows 1 to {FORMAT}", serial)
    body = data[_HEADER.size :]
    if len(body) != length or length > MOST_BYTES:
        raise UnusableError(f"torn: {len(body)} bytes of {length}", serial)
    if _sum(version, serial, body) != total:
        raise UnusableError("damaged: its check sum is another", serial)
    try:
        record = _record(body) if version == FORMAT else _migrated(_first(body))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
        # The sum holds, so it was written like this: by a build that was half one version, half another.
        raise UnusableError(f"damaged: no body of format {version}: {trouble}", serial) from None
    if record.owner != owner:
        raise ForeignError(f"kept by {record.owner[:64]!r}, not by {owner!r}", serial)
    return serial, record


def _migrated(first: _First) -> Record:
    return Record(
        owner=first.owner,
        wall=first.wall,
        boot="",
        ticked=0,
        number=first.number,
        handed=False,
        zones=first.zones,
        machines=first.machines,
        engines=first.engines,
        tombs=[],
        tariffs=[],
        limits=[],
        marks=[],
    )


def members(record: Record, zones: Sequence[str], machines: Sequence[str]) -> list[tuple[Endpoint, int]]:
    """The engines by the places that the settings have now, with their ages when it was written.

    Danger: a machine that is not named any more has cores that nobody knows: it is left out.
    """
    zone_of, machine_of = _moved(record.zones, zones), _moved(record.machines, machines)
    return [
        (
            Endpoint(
                one.id,
                one.host,
                one.port,
                EndpointState.DRAINING if one.draining else EndpointState.READY,
                zone_of(one.zone),
                machine_of(one.machine),
                one.cell,
                one.started,
            ),
            one.age,
        )
        for one in record.engines
        if zone_of(one.zone) is not None and machine_of(one.machine) is not None
    ]


def _moved(before: Sequence[str], after: Sequence[str]):
    places = {name: place for place, name in enumerate(after)}
    same = list(before) == list(after)

    def moved(place: int) -> int | None:
        # Places behind all names are a zone each by themselves; they mean the same while the names do.
        return place if same else places.get(before[place]) if place < len(before) else None

    return moved


def fits(member: Endpoint) -> bool:
    """Whether it can be kept: one engine that is out of all bounds must not cost the whole list."""
    return (
        0 <= member.id < 2**32
        and 1 <= member.port <= 65_535
        and 0 <= member.started_us <= 2**62
        and all(0 <= place <= 65_535 for place in (member.zone, member.instance_type, member.cell))
    )


def engine(member: Endpoint, age: int) -> Engine:
    return Engine(
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


def bounded(tombs: list[Tomb], marks: list[str]) -> tuple[list[Tomb], list[str]]:
    """The youngest of each, as many as are kept."""
    return tombs[-MOST_TOMBS:], marks[-_MOST_MARKS:]
