"""The simulator's wire: frames to fields and back. Knows codes and layouts, not what they mean to anyone."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import BinaryIO


class WireError(Exception):
    """A frame that does not follow the wire's description."""


HEADER = struct.Struct("<IdI")
REPLY_HEADER = struct.Struct("<II")
ENTRY = struct.Struct("<IHdHfBB")

WORK_ITEM, STOP, PROGRESS, CATALOG, MEMBERS, OPENED, VERDICT, CLIENT_GONE = range(16, 24)
ALARM, CREATE, NEIGHBOUR_SAYS, ON, PROBED = range(24, 29)

# The fixed part of each event, behind its code.
_EVENTS = {
    WORK_ITEM: struct.Struct("<IBIQddffB"),
    STOP: struct.Struct("<"),
    PROGRESS: struct.Struct("<IfIBB"),
    CATALOG: struct.Struct("<HI"),
    MEMBERS: struct.Struct("<BIH"),
    OPENED: struct.Struct("<IBdI"),
    VERDICT: struct.Struct("<IBIHdBIB"),
    CLIENT_GONE: struct.Struct("<I"),
    ALARM: struct.Struct("<Q"),
    CREATE: struct.Struct("<QI"),
    NEIGHBOUR_SAYS: struct.Struct("<HH"),
    ON: struct.Struct("<I"),
    PROBED: struct.Struct("<IHdB"),
}
# What one unit of the closing count adds: a load value is an f32, the rest are bytes or entries.
_TAILS = {CATALOG: ENTRY.size, VERDICT: 4, CREATE: 1, NEIGHBOUR_SAYS: 1, PROBED: 4}


def read_frame(stream: BinaryIO) -> bytes | None:
    """The next whole frame, or None at the end of input."""
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
    parts = []
    while size > 0 and (part := stream.read(size)):
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def clock(frame: bytes) -> float:
    """The batch's clock in milliseconds."""
    return HEADER.unpack_from(frame)[1]


def records(frame: bytes) -> Iterator[tuple[int, tuple, bytes]]:
    """Each record as its code, its fixed fields and the bytes that its count announces."""
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
        yield code, fields, frame[tail_at:end]
        at = end
    if at != len(frame):
        raise WireError(f"malformed frame: {len(frame) - at} bytes after its last record, at byte {at}")


def entries(tail: bytes) -> list[tuple]:
    """The entries of a catalog: engine, cell, start, kind, weight, zone, state."""
    return list(ENTRY.iter_unpack(tail))


def load_values(tail: bytes) -> tuple[float, ...]:
    """The values of a load report."""
    return struct.unpack(f"<{len(tail) // 4}f", tail)


class Reply:
    """One reply as it is being written."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._actor: int | None = None

    def take(self) -> bytes:
        """The finished frame; the next one starts empty."""
        body = b"".join(self._parts)
        frame = REPLY_HEADER.pack(REPLY_HEADER.size + len(body), len(self._parts)) + body
        self._parts, self._actor = [], None
        return frame

    def _act(self, who: int, layout: struct.Struct, *fields: float, tail: bytes = b"") -> None:
        if who != self._actor:
            self._actor = who
            self._parts.append(_ON_BEHALF.pack(24, who))
        self._parts.append(layout.pack(*fields) + tail)

    def panic(self, who: int, text: str) -> None:
        raw = text.encode()[:60000]
        self._act(who, _TEXT, 16, len(raw), tail=raw)

    def arm(self, who: int, offset: float, tag: int) -> None:
        self._act(who, _ARM, 17, offset, tag)

    def drop_attempt(self, who: int, call: int, number: int) -> None:
        self._act(who, _DROP, 18, call, number)

    def hang_up(self, who: int, engine: int) -> None:
        self._act(who, _ONE_ID, 19, engine)

    def tell(self, who: int, addressee: int, body: bytes) -> None:
        self._act(who, _TELL, 20, addressee, len(body), tail=body)

    def reload(self, who: int) -> None:
        self._act(who, _BARE, 21)

    def fail(self, who: int, call: int) -> None:
        self._act(who, _ONE_ID, 22, call)

    def health_check(self, who: int, engine: int) -> None:
        self._act(who, _ONE_ID, 23, engine)

    def allot(self, who: int, call: int, megabytes: float, priority: int) -> None:
        self._act(who, _ALLOT, 25, call, megabytes, priority)

    def remark(self, who: int, text: str) -> None:
        raw = text.encode()[:60000]
        self._act(who, _TEXT, 26, len(raw), tail=raw)

    def stream_changes(self, who: int, wanted: bool) -> None:
        self._act(who, _FLAG, 27, wanted)

    def transmit(self, who: int, call: int, engine: int, patience: float) -> None:
        self._act(who, _SEND, 28, call, engine, patience)

    def not_now(self, who: int, call: int, backoff: float) -> None:
        self._act(who, _REFUSE, 29, call, backoff)


_ON_BEHALF = struct.Struct("<BI")
_TEXT = struct.Struct("<BH")
_ARM = struct.Struct("<BdQ")
_DROP = struct.Struct("<BIB")
_ONE_ID = struct.Struct("<BI")
_TELL = struct.Struct("<BHH")
_BARE = struct.Struct("<B")
_ALLOT = struct.Struct("<BIfB")
_FLAG = struct.Struct("<BB")
_SEND = struct.Struct("<BIId")
_REFUSE = struct.Struct("<BId")
