"""Codec of the simulator's wire: frames to typed events, and actions to frames. Does no I/O of its own.

The wire's names, and those used here:

| wire | here |
| --- | --- |
| work item | `NewRequest` |
| verdict | `AttemptResult` |
| progress | `ProgressUpdate` |
| catalog, members | `EndpointEntry`, `EndpointUpdate` |
| probed | `HealthCheckResult` |
| client gone, alarm | `REQUEST_CANCELLED`, `TIMER` |
| transmit, drop attempt | `send_attempt`, `cancel_attempt` |
| not now, fail | `reject_request`, `fail_request` |
| allot, arm | `assign_resources`, `set_timer` |
| health check, stream changes | `check_health`, `subscribe_to_endpoints` |
| remark, panic | `log_event`, `report_crash` |

Times on the wire are milliseconds.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Any, BinaryIO, NamedTuple


class WireError(Exception):
    """A frame does not follow the description of the wire."""


HEADER = struct.Struct("<IdI")
REPLY_HEADER = struct.Struct("<II")
ENTRY = struct.Struct("<IHdHfBB")

# The codes of events.
NEW_REQUEST = 16
STOP = 17
PROGRESS = 18
ENDPOINT_LIST = 19
ENDPOINTS = 20
OPENED = 21
ATTEMPT_RESULT = 22
REQUEST_CANCELLED = 23
TIMER = 24
CREATE = 25
PEER_MESSAGE = 26
ON = 27
HEALTH_CHECK_RESULT = 28

# The fixed part of each event, after its code.
_EVENTS = {
    NEW_REQUEST: struct.Struct("<IBIQddffB"),
    STOP: struct.Struct("<"),
    PROGRESS: struct.Struct("<IfIBB"),
    ENDPOINT_LIST: struct.Struct("<HI"),
    ENDPOINTS: struct.Struct("<BIH"),
    OPENED: struct.Struct("<IBdI"),
    ATTEMPT_RESULT: struct.Struct("<IBIHdBIB"),
    REQUEST_CANCELLED: struct.Struct("<I"),
    TIMER: struct.Struct("<Q"),
    CREATE: struct.Struct("<QI"),
    PEER_MESSAGE: struct.Struct("<HH"),
    ON: struct.Struct("<I"),
    HEALTH_CHECK_RESULT: struct.Struct("<IHdB"),
}
# The bytes that each unit of the closing count adds: a load value is an f32, the rest are bytes or entries.
_TAILS = {ENDPOINT_LIST: ENTRY.size, ATTEMPT_RESULT: 4, CREATE: 1, PEER_MESSAGE: 1, HEALTH_CHECK_RESULT: 4}


class NewRequest(NamedTuple):
    """A client's request."""

    request_id: int
    request_class: int
    tenant: int
    ordering_key: int
    time_left_ms: float
    estimated_work_ms: float
    memory_mb: float
    data_set: float
    flags: int  # bit 0: there is an estimate


class AttemptResult(NamedTuple):
    """The end of an attempt; its load values follow."""

    request_id: int
    number: int
    engine_id: int
    status: int
    latency_ms: float
    is_final: int
    size_bytes: int
    value_count: int


class ProgressUpdate(NamedTuple):
    """A progress update of an attempt in flight."""

    request_id: int
    value: float
    engine_id: int
    number: int
    kind: int


class EndpointUpdate(NamedTuple):
    """A change of the endpoint list, of which the entries came before."""

    kind: int
    version: int
    list_id: int


class HealthCheckResult(NamedTuple):
    """The end of a health check; its load values follow."""

    engine_id: int
    status: int
    latency_ms: float
    value_count: int


class EndpointEntry(NamedTuple):
    """One engine of an endpoint list."""

    engine_id: int
    cell: int
    started_ms: float
    instance_type: int
    weight: float
    zone: int
    state: int


class Record(NamedTuple):
    """One event: its code, its fixed fields, and the bytes that its count announces."""

    code: int
    fields: tuple[Any, ...]
    tail: bytes


def read_frame(stream: BinaryIO) -> bytes | None:
    """Returns the next whole frame, or None at the end of the input."""
    head = _read(stream, 4)
    if not head:
        return None
    if len(head) < 4:
        raise WireError(f"truncated frame: {len(head)} of 4 bytes of its length")
    (size,) = struct.unpack("<I", head)
    if size < HEADER.size:
        raise WireError(f"malformed frame: its length is {size}, a header alone has {HEADER.size}")
    body = _read(stream, size - 4)
    if len(body) < size - 4:
        raise WireError(f"truncated frame: {len(body) + 4} of {size} bytes")
    return head + body


def _read(stream: BinaryIO, size: int) -> bytes:
    parts: list[bytes] = []
    while size > 0 and (part := stream.read(size)):
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def clock(frame: bytes) -> float:
    """Returns the clock of a batch, in milliseconds."""
    now_ms: float = HEADER.unpack_from(frame)[1]
    return now_ms


def records(frame: bytes) -> Iterator[Record]:
    """Yields the events of a batch."""
    count = HEADER.unpack_from(frame)[2]
    at = HEADER.size
    for number in range(count):
        if at >= len(frame):
            raise WireError(f"truncated frame: {number} of {count} records, it ends at byte {at}")
        code = frame[at]
        layout = _EVENTS.get(code)
        if layout is None:
            raise WireError(f"unknown event code {code} in record {number} at byte {at}")
        tail_at = at + 1 + layout.size
        if tail_at > len(frame):
            raise WireError(f"truncated event {code} in record {number} at byte {at}")
        fields = layout.unpack_from(frame, at + 1)
        end = tail_at + (fields[-1] * _TAILS[code] if code in _TAILS else 0)
        if end > len(frame):
            raise WireError(f"truncated event {code} in record {number} at byte {at}")
        yield Record(code, fields, frame[tail_at:end])
        at = end
    if at != len(frame):
        raise WireError(f"malformed frame: {len(frame) - at} bytes after its last record, at byte {at}")


def entries(tail: bytes) -> list[EndpointEntry]:
    """Returns the entries of an endpoint list."""
    return [EndpointEntry(*fields) for fields in ENTRY.iter_unpack(tail)]


def load_values(tail: bytes) -> tuple[float, ...]:
    """Returns the values of a load report."""
    return struct.unpack(f"<{len(tail) // 4}f", tail)


# The codes of actions.
CRASHED = 16
SET_TIMER = 17
CANCEL_ATTEMPT = 18
FAIL_REQUEST = 22
CHECK_HEALTH = 23
ON_BEHALF = 24
ASSIGN_RESOURCES = 25
LOG_EVENT = 26
SUBSCRIBE = 27
SEND_ATTEMPT = 28
REJECT_REQUEST = 29

# Their layouts, codes included.
_ON_BEHALF = struct.Struct("<BI")
_TEXT = struct.Struct("<BH")
_TIMER = struct.Struct("<BdQ")
_ATTEMPT = struct.Struct("<BIB")
_ID = struct.Struct("<BI")
_RESOURCES = struct.Struct("<BIfB")
_FLAG = struct.Struct("<BB")
_SEND = struct.Struct("<BIId")
_REJECT = struct.Struct("<BId")

MAX_TEXT_BYTES = 60_000


class Reply:
    """One reply as it is being written."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._instance: int | None = None

    def take(self) -> bytes:
        """Returns the finished frame; the next one starts empty."""
        body = b"".join(self._parts)
        frame = REPLY_HEADER.pack(REPLY_HEADER.size + len(body), len(self._parts)) + body
        self._parts = []
        self._instance = None
        return frame

    def _act(self, instance: int, layout: struct.Struct, *fields: float, tail: bytes = b"") -> None:
        if instance != self._instance:
            self._instance = instance
            self._parts.append(_ON_BEHALF.pack(ON_BEHALF, instance))
        self._parts.append(layout.pack(*fields) + tail)

    def _write_text(self, instance: int, code: int, text: str) -> None:
        raw = text.encode()[:MAX_TEXT_BYTES]
        self._act(instance, _TEXT, code, len(raw), tail=raw)

    def report_crash(self, instance: int, text: str) -> None:
        """Reports that an instance has failed and is gone."""
        self._write_text(instance, CRASHED, text)

    def log_event(self, instance: int, text: str) -> None:
        """Logs an event."""
        self._write_text(instance, LOG_EVENT, text)

    def set_timer(self, instance: int, delay_ms: float, timer_id: int) -> None:
        """Asks for a timer event."""
        self._act(instance, _TIMER, SET_TIMER, delay_ms, timer_id)

    def send_attempt(self, instance: int, request_id: int, engine_id: int, timeout_ms: float) -> None:
        """Sends an attempt to an engine."""
        self._act(instance, _SEND, SEND_ATTEMPT, request_id, engine_id, timeout_ms)

    def cancel_attempt(self, instance: int, request_id: int, number: int) -> None:
        """Cancels an attempt."""
        self._act(instance, _ATTEMPT, CANCEL_ATTEMPT, request_id, number)

    def reject_request(self, instance: int, request_id: int, retry_after_ms: float) -> None:
        """Rejects a request; it may be sent again after the time given."""
        self._act(instance, _REJECT, REJECT_REQUEST, request_id, retry_after_ms)

    def fail_request(self, instance: int, request_id: int) -> None:
        """Fails a request that may have been executed."""
        self._act(instance, _ID, FAIL_REQUEST, request_id)

    def assign_resources(self, instance: int, request_id: int, memory_mb: float, priority: int) -> None:
        """Grants memory and a priority to the request's next attempt."""
        self._act(instance, _RESOURCES, ASSIGN_RESOURCES, request_id, memory_mb, priority)

    def check_health(self, instance: int, engine_id: int) -> None:
        """Sends a health check to an engine."""
        self._act(instance, _ID, CHECK_HEALTH, engine_id)

    def subscribe_to_endpoints(self, instance: int) -> None:
        """Asks for the endpoint list and its changes."""
        self._act(instance, _FLAG, SUBSCRIBE, True)
