"""The coordinator's event frames: binary, big-endian. Knows no socket."""

from __future__ import annotations

import struct
from ipaddress import IPv4Address

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent, MalformedEventError
from cresstray.policy.types import EndpointState

_LENGTH, _HEAD, _RECORD = struct.Struct(">I"), struct.Struct(">QB"), struct.Struct(">IIHBBBHIQ")
_STANDINGS = {0: EndpointState.READY, 1: EndpointState.DRAINING, 2: EndpointState.REMOVED}
_NOTHING, _WHOLE, _CHANGES = 0, 1, 2
# Some hundred thousand engines, far over any fleet; what says to be longer is no frame.
_LONGEST = 4_000_000


def encode_subscription(last: int) -> bytes:
    """What a gateway writes first: the number of the last event that it has."""
    return struct.pack(">Q", last)


class EventDecoder:
    """The events in what is received, however it is cut. Frames that tell nothing new yield None.

    What can't be a frame raises MalformedError, in the next call where others came before it.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[EndpointEvent | None]:
        self._buffer += data
        found: list[EndpointEvent | None] = []
        try:
            while (length := self._length()) is not None:
                found.append(self._event(bytes(self._buffer[4 : 4 + length])))
                del self._buffer[: 4 + length]
        except MalformedEventError:
            # Danger: a drain before it must be told. On the next link it would come with the bad one again.
            if not found:
                raise
        return found

    def _length(self) -> int | None:
        """Of the next frame, once it is whole."""
        if len(self._buffer) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        if not _HEAD.size <= length <= _LONGEST:
            raise MalformedEventError(f"a frame of {length} bytes")
        return length if len(self._buffer) >= _LENGTH.size + length else None

    def _event(self, frame: bytes) -> EndpointEvent | None:
        number, kind = _HEAD.unpack_from(frame)
        if kind == _NOTHING:
            return None
        records = frame[_HEAD.size :]
        if kind not in (_WHOLE, _CHANGES) or len(records) % _RECORD.size:
            raise MalformedEventError(f"a frame of kind {kind} with {len(records)} bytes")
        return EndpointEvent(
            number, kind == _WHOLE, [self._member(*one) for one in _RECORD.iter_unpack(records)]
        )

    def _member(
        self,
        number: int,
        address: int,
        port: int,
        state: int,
        zone: int,
        machine: int,
        cell: int,
        _weight: int,
        started: int,
    ) -> Endpoint:
        # Danger: a fleet grows into zones and kinds that this gateway's settings do not name yet; refused,
        # they would take the whole list with them, and for good. They are zones and kinds like any other.
        if state not in _STANDINGS:
            raise MalformedEventError(f"a record of state {state}")
        return Endpoint(
            number, str(IPv4Address(address)), port, _STANDINGS[state], zone, machine, cell, started * 1000
        )
