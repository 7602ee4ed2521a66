"""The coordinator's event frames: binary, big-endian. Free of I/O.

| frame                                          | here                                         |
| ---------------------------------------------- | -------------------------------------------- |
| length, 4 bytes                                | the number of bytes that follow              |
| index, 8 bytes                                 | `EndpointEvent.index`                        |
| kind, 1 byte: 0 nothing new                    | None                                         |
| 1 complete list, 2 changes                     | `EndpointEvent.is_complete`                  |
| records of 27 bytes each: id (4)               | `Endpoint.id`                                |
| address (4), port (2)                          | `host`, `port`                               |
| state (1): 0 in service, 1 draining, 2 removed | `EndpointState.READY`, `DRAINING`, `REMOVED` |
| zone, instance type, cell (1 + 1 + 2)          | `zone`, `instance_type`, `cell`              |
| weight (4)                                     | not used                                     |
| start time (8), in ms                          | `started_us`                                 |
"""

from __future__ import annotations

import struct
from ipaddress import IPv4Address

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent, MalformedEventError
from cresstray.policy.types import EndpointState

_SUBSCRIPTION = struct.Struct(">Q")
_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">QB")
_RECORD = struct.Struct(">IIHBBBHIQ")
_STATES = {0: EndpointState.READY, 1: EndpointState.DRAINING, 2: EndpointState.REMOVED}
_KIND_NOTHING_NEW = 0
_KIND_COMPLETE = 1
_KIND_CHANGES = 2
# A list of some hundred thousand endpoints, far more than any fleet has; a greater length is malformed.
_MAX_FRAME_BYTES = 4_000_000


def encode_subscription(last_index: int) -> bytes:
    """Encodes the first message of a gateway: the index of the last event that it has."""
    return _SUBSCRIPTION.pack(last_index)


class EventDecoder:
    """Decodes events from received data, which may be split anywhere."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[EndpointEvent | None]:
        """Returns one item for each frame that this data completes: its event, or None for "nothing new".

        Raises:
            MalformedEventError: the data is malformed. Frames before it are returned first, and the error is
                raised by the next call: they may announce that an endpoint is draining, and would not be
                handled at all if the malformed frame followed them on each new connection.
        """
        self._buffer += data
        events: list[EndpointEvent | None] = []
        try:
            while (length := self._complete_frame_length()) is not None:
                frame_end = _LENGTH.size + length
                events.append(_parse_event(bytes(self._buffer[_LENGTH.size : frame_end])))
                del self._buffer[:frame_end]
        except MalformedEventError:
            if not events:
                raise
        return events

    def _complete_frame_length(self) -> int | None:
        """Returns the length of the next frame, or None while it is incomplete."""
        if len(self._buffer) < _LENGTH.size:
            return None
        length: int = _LENGTH.unpack_from(self._buffer)[0]
        if not _HEADER.size <= length <= _MAX_FRAME_BYTES:
            raise MalformedEventError(f"a frame of {length} bytes")
        return length if len(self._buffer) >= _LENGTH.size + length else None


def _parse_event(frame: bytes) -> EndpointEvent | None:
    index, kind = _HEADER.unpack_from(frame)
    if kind == _KIND_NOTHING_NEW:
        return None
    records = frame[_HEADER.size :]
    if kind not in (_KIND_COMPLETE, _KIND_CHANGES) or len(records) % _RECORD.size:
        raise MalformedEventError(f"a frame of kind {kind} with {len(records)} bytes")
    endpoints = [_parse_endpoint(*record) for record in _RECORD.iter_unpack(records)]
    return EndpointEvent(index, kind == _KIND_COMPLETE, endpoints)


def _parse_endpoint(
    endpoint_id: int,
    address: int,
    port: int,
    state: int,
    zone: int,
    instance_type: int,
    cell: int,
    _weight: int,
    started_ms: int,
) -> Endpoint:
    """Returns the endpoint of one record.

    Zones and instance types that this gateway's settings do not name are accepted, as a fleet grows into new
    ones. Rejecting them would reject the whole list, on every connection.
    """
    if state not in _STATES:
        raise MalformedEventError(f"a record of state {state}")
    host = str(IPv4Address(address))
    return Endpoint(endpoint_id, host, port, _STATES[state], zone, instance_type, cell, started_ms * 1000)
