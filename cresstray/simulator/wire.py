"""Codec of the simulator's wire protocol: decodes frames to typed events, and encodes actions to frames.

The names of the protocol, and those of this module:

| protocol | this module |
| --- | --- |
| on, on behalf | `INSTANCE_SELECTED`, `SELECT_INSTANCE` |
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

Times are milliseconds in the protocol.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Any, BinaryIO, NamedTuple


class WireError(Exception):
    """A frame does not conform to the wire protocol."""


HEADER = struct.Struct("<IdI")
REPLY_HEADER = struct.Struct("<II")
ENTRY = struct.Struct("<IHdHfBB")

# Codes of events.
NEW_REQUEST = 16
STOP = 17
PROGRESS = 18
ENDPOINT_LIST = 19
ENDPOINTS = 20
CONNECTION_OPENED = 21
ATTEMPT_RESULT = 22
REQUEST_CANCELLED = 23
TIMER = 24
CREATE = 25
PEER_MESSAGE = 26
INSTANCE_SELECTED = 27
HEALTH_CHECK_RESULT = 28

# The layout of the fixed fields of each event, which follow its code.
_EVENTS = {
    NEW_REQUEST: struct.Struct("<IBIQddffB"),
    STOP: struct.Struct("<"),
    PROGRESS: struct.Struct("<IfIBB"),
    ENDPOINT_LIST: struct.Struct("<HI"),
    ENDPOINTS: struct.Struct("<BIH"),
    CONNECTION_OPENED: struct.Struct("<IBdI"),
    ATTEMPT_RESULT: struct.Struct("<IBIHdBIB"),
    REQUEST_CANCELLED: struct.Struct("<I"),
    TIMER: struct.Struct("<Q"),
    CREATE: struct.Struct("<QI"),
    PEER_MESSAGE: struct.Struct("<HH"),
    INSTANCE_SELECTED: struct.Struct("<I"),
    HEALTH_CHECK_RESULT: struct.Struct("<IHdB"),
}
# The last fixed field of these events counts the items that follow: bytes, list entries, or load values, each
# an f32. This is the size of one item in bytes.
_ITEM_SIZES = {
    ENDPOINT_LIST: ENTRY.size,
    ATTEMPT_RESULT: 4,
    CREATE: 1,
    PEER_MESSAGE: 1,
    HEALTH_CHECK_RESULT: 4,
}


class NewRequest(NamedTuple):
    """A new request of a client."""

    request_id: int
    request_class: int
    tenant: int
    ordering_key: int
    time_left_ms: float
    estimated_work_ms: float
    memory_mb: float
    data_set: float
    flags: int  # bit 0: there is a work estimate


class AttemptResult(NamedTuple):
    """The end of an attempt, followed by the values of a load report."""

    request_id: int
    attempt_number: int
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
    attempt_number: int
    kind: int


class EndpointUpdate(NamedTuple):
    """An update of the endpoint list; its entries were sent before, as a numbered list."""

    kind: int
    version: int
    list_id: int


class HealthCheckResult(NamedTuple):
    """The end of a health check, followed by the values of a load report."""

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
    """One event: its code, its fixed fields, and the bytes that follow them."""

    code: int
    fields: tuple[Any, ...]
    tail: bytes


def read_frame(stream: BinaryIO) -> bytes | None:
    """Reads the next frame; returns None at the end of the input.

    Raises:
        WireError: The input ends within a frame, or the length of the frame is invalid.
    """
    length_bytes = _read(stream, 4)
    if not length_bytes:
        return None
    if len(length_bytes) < 4:
        raise WireError(f"truncated frame: {len(length_bytes)} of 4 bytes of its length")
    (size,) = struct.unpack("<I", length_bytes)
    if size < HEADER.size:
        raise WireError(f"malformed frame: its length is {size}, a header alone has {HEADER.size}")
    body = _read(stream, size - 4)
    if len(body) < size - 4:
        raise WireError(f"truncated frame: {len(body) + 4} of {size} bytes")
    return length_bytes + body


def _read(stream: BinaryIO, size: int) -> bytes:
    chunks: list[bytes] = []
    while size > 0 and (chunk := stream.read(size)):
        chunks.append(chunk)
        size -= len(chunk)
    return b"".join(chunks)


def clock_ms(frame: bytes) -> float:
    """Returns the time of a batch in milliseconds."""
    now_ms: float = HEADER.unpack_from(frame)[1]
    return now_ms


def decode_records(frame: bytes) -> Iterator[Record]:
    """Yields the events of a batch.

    Raises:
        WireError: The frame does not conform to the wire protocol.
    """
    count = HEADER.unpack_from(frame)[2]
    offset = HEADER.size
    for record_number in range(count):
        if offset >= len(frame):
            raise WireError(f"truncated frame: {record_number} of {count} records, it ends at byte {offset}")
        code = frame[offset]
        layout = _EVENTS.get(code)
        if layout is None:
            raise WireError(f"unknown event code {code} in record {record_number} at byte {offset}")
        tail_offset = offset + 1 + layout.size
        if tail_offset > len(frame):
            raise WireError(f"truncated event {code} in record {record_number} at byte {offset}")
        fields = layout.unpack_from(frame, offset + 1)
        end_offset = tail_offset + (fields[-1] * _ITEM_SIZES[code] if code in _ITEM_SIZES else 0)
        if end_offset > len(frame):
            raise WireError(f"truncated event {code} in record {record_number} at byte {offset}")
        yield Record(code, fields, frame[tail_offset:end_offset])
        offset = end_offset
    if offset != len(frame):
        raise WireError(
            f"malformed frame: {len(frame) - offset} bytes after its last record, at byte {offset}"
        )


def decode_entries(tail: bytes) -> list[EndpointEntry]:
    """Returns the entries of an endpoint list."""
    return [EndpointEntry(*fields) for fields in ENTRY.iter_unpack(tail)]


def decode_load_values(tail: bytes) -> tuple[float, ...]:
    """Returns the values of a load report."""
    return struct.unpack(f"<{len(tail) // 4}f", tail)


# Codes of actions.
CRASHED = 16
SET_TIMER = 17
CANCEL_ATTEMPT = 18
FAIL_REQUEST = 22
CHECK_HEALTH = 23
SELECT_INSTANCE = 24
ASSIGN_RESOURCES = 25
LOG_EVENT = 26
SUBSCRIBE = 27
SEND_ATTEMPT = 28
REJECT_REQUEST = 29

# The layouts of actions, each including its code.
_SELECT_INSTANCE = struct.Struct("<BI")
_TEXT = struct.Struct("<BH")
_TIMER = struct.Struct("<BdQ")
_ATTEMPT = struct.Struct("<BIB")
_SINGLE_ID = struct.Struct("<BI")
_RESOURCES = struct.Struct("<BIfB")
_FLAG = struct.Struct("<BB")
_SEND = struct.Struct("<BIId")
_REJECT = struct.Struct("<BId")

MAX_TEXT_BYTES = 60_000


class Reply:
    """Builds the reply to one batch from actions."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._selected_instance_id: int | None = None

    def take_frame(self) -> bytes:
        """Returns the finished frame, and starts a new one."""
        body = b"".join(self._records)
        frame = REPLY_HEADER.pack(REPLY_HEADER.size + len(body), len(self._records)) + body
        self._records = []
        self._selected_instance_id = None
        return frame

    def _append_action(
        self, instance_id: int, layout: struct.Struct, *fields: float, tail: bytes = b""
    ) -> None:
        if instance_id != self._selected_instance_id:
            self._selected_instance_id = instance_id
            self._records.append(_SELECT_INSTANCE.pack(SELECT_INSTANCE, instance_id))
        self._records.append(layout.pack(*fields) + tail)

    def _write_text(self, instance_id: int, code: int, text: str) -> None:
        encoded_text = text.encode()[:MAX_TEXT_BYTES]
        self._append_action(instance_id, _TEXT, code, len(encoded_text), tail=encoded_text)

    def report_crash(self, instance_id: int, text: str) -> None:
        """Reports that an instance has failed and was removed."""
        self._write_text(instance_id, CRASHED, text)

    def log_event(self, instance_id: int, text: str) -> None:
        """Logs an event."""
        self._write_text(instance_id, LOG_EVENT, text)

    def set_timer(self, instance_id: int, delay_ms: float, timer_id: int) -> None:
        """Requests a timer event after a delay."""
        self._append_action(instance_id, _TIMER, SET_TIMER, delay_ms, timer_id)

    def send_attempt(self, instance_id: int, request_id: int, engine_id: int, timeout_ms: float) -> None:
        """Sends an attempt to an engine."""
        self._append_action(instance_id, _SEND, SEND_ATTEMPT, request_id, engine_id, timeout_ms)

    def cancel_attempt(self, instance_id: int, request_id: int, attempt_number: int) -> None:
        """Cancels an attempt."""
        self._append_action(instance_id, _ATTEMPT, CANCEL_ATTEMPT, request_id, attempt_number)

    def reject_request(self, instance_id: int, request_id: int, retry_after_ms: float) -> None:
        """Rejects a request, which may be sent again after the given delay."""
        self._append_action(instance_id, _REJECT, REJECT_REQUEST, request_id, retry_after_ms)

    def fail_request(self, instance_id: int, request_id: int) -> None:
        """Fails a request that may have been executed."""
        self._append_action(instance_id, _SINGLE_ID, FAIL_REQUEST, request_id)

    def assign_resources(self, instance_id: int, request_id: int, memory_mb: float, priority: int) -> None:
        """Grants memory and a priority to the request's next attempt."""
        self._append_action(instance_id, _RESOURCES, ASSIGN_RESOURCES, request_id, memory_mb, priority)

    def check_health(self, instance_id: int, engine_id: int) -> None:
        """Sends a health check to an engine."""
        self._append_action(instance_id, _SINGLE_ID, CHECK_HEALTH, engine_id)

    def subscribe_to_endpoints(self, instance_id: int) -> None:
        """Requests the endpoint list and subscribes to its changes."""
        self._append_action(instance_id, _FLAG, SUBSCRIBE, True)
