"""Frames between control-plane nodes besides the log's, and operators' commands and replies.

Commands and replies are msgpack, split into `OperatorRequest` and `OperatorReply` frames. This module does no
I/O.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from cresstray.consensus import codec as consensus_codec
from cresstray.fleet_config import codec as config_codec
from cresstray.fleet_config.codec import (
    MAX_PART_BYTES,
    MAX_PARTS,
    Greeting,
    OperatorReply,
    OperatorRequest,
    ReplicaPositions,
)
from cresstray.transport.framing import Frame, FrameDecoder, FramingError, encode_frame

_Text = Annotated[str, msgspec.Meta(max_length=128)]
# Bounds what is kept of an unfinished command. A configuration delta fits into one log entry.
_MAX_COMMAND_PARTS = 8


class KeepAlive(Frame):
    """Sent by the node that made the link, which the other node echoes: shows that the link still works."""

    kind = 79
    number: Annotated[int, msgspec.Meta(ge=0, le=2**53)]


# Frames that a node accepts on an incoming link, by the role of the peer.
FROM_NODE = (*consensus_codec.KINDS, config_codec.ForwardedFrame, ReplicaPositions, KeepAlive)
FROM_GATEWAY = (config_codec.RenewLease, config_codec.GetConfig, ReplicaPositions)
FROM_OPERATOR = (OperatorRequest,)
ACCEPTED_BY_ROLE: dict[str, tuple[type[Frame], ...]] = {
    "keeper": FROM_NODE,
    "gateway": FROM_GATEWAY,
    "operator": FROM_OPERATOR,
}
ACCEPTED_FRAMES = (Greeting, *FROM_NODE, *FROM_GATEWAY[:2], OperatorRequest)
# Frames that a node accepts on a link to another node that it made.
RETURNED_FRAMES = (Greeting, KeepAlive, ReplicaPositions)
# Frames that may be forwarded to the leader, and the replies that it sends back.
FORWARDED_REQUESTS = (config_codec.RenewLease, OperatorRequest)
FORWARDED_REPLIES = (
    config_codec.LeaseGranted,
    config_codec.LeaseBehind,
    config_codec.LeaseRefused,
    OperatorReply,
)


class OperatorCommand(msgspec.Struct, omit_defaults=True):
    """An operator's query or command. `kind` names its handler, which interprets the other fields."""

    kind: _Text = msgspec.field(name="what")
    request_id: _Text = msgspec.field(default="", name="request")
    base_versions: dict[str, int] = msgspec.field(default_factory=dict, name="bases")
    delta: bytes = msgspec.field(default=b"", name="change")
    reason: Annotated[str, msgspec.Meta(max_length=1000)] = msgspec.field(default="", name="why")
    name: _Text = ""
    version: Annotated[int, msgspec.Meta(ge=0, le=2**53)] = 0


_command_decoder = msgspec.msgpack.Decoder(OperatorCommand)


def decode_command(body: bytes) -> OperatorCommand:
    """Decodes a command.

    Raises:
        FramingError: the body is no valid command.
    """
    try:
        return _command_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise FramingError(f"a question: {error}") from None


def _split(body: bytes) -> list[bytes]:
    """Splits a body into parts that still fit into a frame inside a `ForwardedFrame`."""
    size = MAX_PART_BYTES - 1024
    return [body[position : position + size] for position in range(0, len(body), size)]


def encode_command(number: int, command: OperatorCommand) -> list[OperatorRequest]:
    """Encodes a command as frames.

    Raises:
        ValueError: the command is too long.
    """
    parts = _split(msgspec.msgpack.encode(command))
    if len(parts) > _MAX_COMMAND_PARTS:
        raise ValueError("a question that is too long")
    return [OperatorRequest(number, part, position == len(parts) - 1) for position, part in enumerate(parts)]


def encode_reply(number: int, answer: dict[str, Any]) -> list[OperatorReply]:
    """Encodes a reply as frames; one that is too long becomes an error."""
    parts = _split(msgspec.msgpack.encode(answer))
    if len(parts) > MAX_PARTS:
        parts = [msgspec.msgpack.encode({"error": f"an answer of {len(parts)} parts; {MAX_PARTS} at most"})]
    return [OperatorReply(number, part, position == len(parts) - 1) for position, part in enumerate(parts)]


class PartAssembler:
    """Joins the parts of one peer's messages. A part with a new number discards an unfinished message."""

    def __init__(self, max_parts: int = _MAX_COMMAND_PARTS) -> None:
        self._max_parts = max_parts
        self._number, self._parts = -1, []

    def add(self, frame: OperatorRequest | OperatorReply) -> bytes | None:
        """Adds a part; returns the whole body once the last part has arrived.

        Raises:
            FramingError: the message has too many parts.
        """
        if frame.number != self._number:
            self._number, self._parts = frame.number, []
        self._parts.append(frame.body)
        if len(self._parts) > self._max_parts:
            raise FramingError(f"more than {self._max_parts} parts")
        if not frame.is_last:
            return None
        body, self._parts = b"".join(self._parts), []
        return body


def decode_forwarded(body: bytes, kinds: tuple[type[Frame], ...]) -> Frame:
    """Decodes the frame inside a `ForwardedFrame`.

    Raises:
        FramingError: the body is not exactly one frame of `kinds`.
    """
    frames = FrameDecoder(kinds).feed(body)
    if len(frames) != 1 or len(body) != len(encode_frame(frames[0])):
        raise FramingError("a forwarded body is not one frame")
    return frames[0]
