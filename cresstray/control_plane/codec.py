"""What keepers tell each other beside the log, and what operators ask and hear. Knows no socket.

Questions and answers are msgpack, in parts of `Request` and `Reply` frames.
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
# Danger: a question without end would be kept without end. A change of documents fits into one entry.
_MAX_COMMAND_PARTS = 8


class KeepAlive(Frame):
    """From the keeper that made the link; sent back as it came. Without it, silence could mean anything."""

    kind = 79
    number: Annotated[int, msgspec.Meta(ge=0, le=2**53)]


# What a keeper takes on a link that was made to it, by the role of who made it.
FROM_NODE = (*consensus_codec.KINDS, config_codec.ForwardedFrame, ReplicaPositions, KeepAlive)
FROM_GATEWAY = (config_codec.RenewLease, config_codec.GetConfig, ReplicaPositions)
FROM_OPERATOR = (OperatorRequest,)
ACCEPTED_BY_ROLE: dict[str, tuple[type[Frame], ...]] = {
    "keeper": FROM_NODE,
    "gateway": FROM_GATEWAY,
    "operator": FROM_OPERATOR,
}
ACCEPTED_FRAMES = (Greeting, *FROM_NODE, *FROM_GATEWAY[:2], OperatorRequest)
# What comes back on a link that a keeper made.
RETURNED_FRAMES = (Greeting, KeepAlive, ReplicaPositions)
# What may be carried to the leader, and what back from it.
FORWARDED_REQUESTS = (config_codec.RenewLease, OperatorRequest)
FORWARDED_REPLIES = (
    config_codec.LeaseGranted,
    config_codec.LeaseBehind,
    config_codec.LeaseRefused,
    OperatorReply,
)


class OperatorCommand(msgspec.Struct, omit_defaults=True):
    """A question. `what` is one of answers.py's kinds, the rest is theirs."""

    kind: _Text = msgspec.field(name="what")
    request_id: _Text = msgspec.field(default="", name="request")
    base_versions: dict[str, int] = msgspec.field(default_factory=dict, name="bases")
    delta: bytes = msgspec.field(default=b"", name="change")
    reason: Annotated[str, msgspec.Meta(max_length=1000)] = msgspec.field(default="", name="why")
    name: _Text = ""
    version: Annotated[int, msgspec.Meta(ge=0, le=2**53)] = 0


_command_decoder = msgspec.msgpack.Decoder(OperatorCommand)


def decode_command(body: bytes) -> OperatorCommand:
    """BrokenError where it can't be a question."""
    try:
        return _command_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise FramingError(f"a question: {error}") from None


def _split(body: bytes) -> list[bytes]:
    """Parts that still fit when another frame carries them."""
    size = MAX_PART_BYTES - 1024
    return [body[position : position + size] for position in range(0, len(body), size)]


def encode_command(number: int, command: OperatorCommand) -> list[OperatorRequest]:
    """ValueError where it is too long."""
    parts = _split(msgspec.msgpack.encode(command))
    if len(parts) > _MAX_COMMAND_PARTS:
        raise ValueError("a question that is too long")
    return [OperatorRequest(number, part, position == len(parts) - 1) for position, part in enumerate(parts)]


def encode_reply(number: int, answer: dict[str, Any]) -> list[OperatorReply]:
    parts = _split(msgspec.msgpack.encode(answer))
    if len(parts) > MAX_PARTS:
        parts = [msgspec.msgpack.encode({"error": f"an answer of {len(parts)} parts; {MAX_PARTS} at most"})]
    return [OperatorReply(number, part, position == len(parts) - 1) for position, part in enumerate(parts)]


class PartAssembler:
    """Puts together what comes in parts, from one side; a new number drops what was before."""

    def __init__(self, max_parts: int = _MAX_COMMAND_PARTS) -> None:
        self._max_parts = max_parts
        self._number, self._parts = -1, []

    def add(self, frame: OperatorRequest | OperatorReply) -> bytes | None:
        """All of it once the last part is here; BrokenError beyond so many parts."""
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
    """The one frame that another carries; BrokenError."""
    frames = FrameDecoder(kinds).feed(body)
    if len(frames) != 1 or len(body) != len(encode_frame(frames[0])):
        raise FramingError("what is carried is not one frame")
    return frames[0]
