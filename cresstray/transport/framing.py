"""Framing of links between processes of this program. Free of I/O; other packages define the kinds of frame.

A frame is its length (4 bytes, big-endian, of all that follows), one byte of kind, and a msgpack array.
The kinds 1 to 31 are of links between sites, 32 to 47 of the consensus log, 48 to 79 of fleet configuration,
reads and moves.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from typing import ClassVar

import msgspec

# A client's line has 256 kB at most, with its statement in base64, so a statement and all that is sent with
# it fit into one frame. Longer content is sent in parts.
MAX_FRAME_BYTES = 256 * 1024
_LENGTH_BYTES = 4
_HEADER = struct.Struct(">IB")
_UNDECODABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class FramingError(Exception):
    """Received data is no valid frame of the link, so nothing after it on the connection can be trusted."""


class Frame(msgspec.Struct, array_like=True):
    """One message; each subclass has a `kind` of its own."""

    kind: ClassVar[int]


_encode = msgspec.msgpack.Encoder().encode


def encode_frame(frame: Frame) -> bytes:
    """Returns the frame with its length and kind."""
    body = _encode(frame)
    return _HEADER.pack(len(body) + 1, frame.kind) + body


class FrameDecoder:
    """Decodes frames of the given kinds from received data, in whatever pieces the data arrives."""

    def __init__(self, kinds: Iterable[type[Frame]]) -> None:
        self._decoders = {kind.kind: msgspec.msgpack.Decoder(kind) for kind in kinds}
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that are complete with this data.

        Raises:
            FramingError: the data is no frame of these kinds.
        """
        self._buffer += data
        frames: list[Frame] = []
        position = 0
        while len(self._buffer) - position >= _HEADER.size:
            length, kind = _HEADER.unpack_from(self._buffer, position)
            decoder = self._decoders.get(kind)
            # Without this check the bytes of a forged length would be awaited, and buffered, without limit.
            if not 1 <= length <= MAX_FRAME_BYTES or decoder is None:
                raise FramingError(f"a frame of kind {kind} and {length} bytes")
            frame_end = position + _LENGTH_BYTES + length
            if len(self._buffer) < frame_end:
                break
            try:
                frames.append(decoder.decode(self._buffer[position + _HEADER.size : frame_end]))
            except _UNDECODABLE as error:
                raise FramingError(f"a frame of kind {kind}: {error}") from None
            position = frame_end
        del self._buffer[:position]
        return frames
