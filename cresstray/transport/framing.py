"""Frames of links between processes of this program, whichever package names their kinds. Knows no socket.

A frame is its length (4 bytes, big-endian, counting all behind it), one byte of kind, and a msgpack array.
The kinds 1 to 31 are of links between sites, 32 to 47 of the consensus log, 48 to 79 of fleet configuration,
reads and moves.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from typing import ClassVar

import msgspec

# A client's line is 256 kB at most, in base64; its statement and all that goes with it are shorter. What is
# longer than a frame goes in parts.
MAX_FRAME_BYTES = 256 * 1024
_HEAD = struct.Struct(">IB")


class FramingError(Exception):
    """What came can't be a frame of this link; nothing behind it on this connection can be trusted."""


class Frame(msgspec.Struct, array_like=True):
    """One message; each subclass has its own `kind`."""

    kind: ClassVar[int]


_encode = msgspec.msgpack.Encoder().encode


def encode_frame(frame: Frame) -> bytes:
    body = _encode(frame)
    return _HEADER.pack(len(body) + 1, frame.kind) + body


class FrameDecoder:
    """The frames of some kinds in what is received, however it is cut; BrokenError where it can't be one."""

    def __init__(self, kinds: Iterable[type[Frame]]) -> None:
        self._decoders = {kind.kind: msgspec.msgpack.Decoder(kind) for kind in kinds}
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that are whole with this data.

        Raises:
            FramingError: what came cannot be a frame of these kinds.
        """
        self._buffer += data
        frames: list[Frame] = []
        position = 0
        while len(self._buffer) - position >= _HEADER.size:
            length, kind = _HEADER.unpack_from(self._buffer, position)
            decoder = self._decoders.get(kind)
            # Danger: a length that lies would have its bytes waited for, and kept, without end.
            if not 1 <= length <= MAX_FRAME_BYTES or decoder is None:
                raise FramingError(f"a frame of kind {kind} and {length} bytes")
            if len(self._buffer) - at < 4 + length:
                break
            try:
                found.append(decoder.decode(self._buffer[at + _HEAD.size : at + 4 + length]))
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
                raise FramingError(f"a frame of kind {kind}: {trouble}") from None
            at += 4 + length
        del self._buffer[:at]
        return found
