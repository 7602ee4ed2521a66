"""Frames 48 to 58, exchanged by control-plane nodes, gateways and operators. This module does no I/O.

Frames are encoded as arrays: the order of the fields is on the wire, their names are not. The role `keeper`
on the wire is a control-plane node.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from cresstray.transport.framing import MAX_FRAME_BYTES, Frame, FrameDecoder, FramingError, encode_frame

__all__ = ["MAX_FRAME_BYTES", "FramingError", "Frame", "FrameDecoder", "encode_frame"]

VERSION = 1
MAGIC = "cresstray-fleet"
ROLES = ("gateway", "keeper", "operator")
# Half of the longest frame, so that a part still fits when a ForwardedFrame carries it.
MAX_PART_BYTES = 128 * 1024
# Bounds the memory that a peer can make this side hold. 16 MB are ten times the documents of 5,000 shards.
MAX_PARTS = 128
# One message of replica positions: 256 shards of about 60 bytes each, with room to spare.
MAX_POSITIONS_BYTES = 32 * 1024

_Text = Annotated[str, msgspec.Meta(max_length=128)]
_UnsignedInt = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Body = Annotated[bytes, msgspec.Meta(max_length=MAX_PART_BYTES)]


class Greeting(Frame):
    """The first frame in both directions.

    `incarnation` identifies the process of a gateway or operator; a control-plane node sends its generation.
    """

    kind = 48
    magic: _Text
    version: _UnsignedInt
    role: _Text
    fleet: _Text
    name: _Text
    incarnation: _Text
    nonce: Annotated[bytes, msgspec.Meta(max_length=32)] = b""


class RenewLease(Frame):
    """A gateway's lease renewal, with the turn that it acts on and whether it has stopped."""

    kind = 49
    number: _UnsignedInt
    turn: _UnsignedInt
    incarnation: _Text = ""
    has_stopped: bool = False


class LeaseGranted(Frame):
    """Grants the renewal of this number at this turn; the lease runs from when the renewal was sent."""

    kind = 50
    number: _UnsignedInt
    turn: _UnsignedInt


class LeaseBehind(Frame):
    """Grants no lease, since the leader is at another turn."""

    kind = 51
    number: _UnsignedInt
    turn: _UnsignedInt


class LeaseRefused(Frame):
    """Refuses a lease: the gateway list of this turn doesn't name the gateway, or for another reason."""

    kind = 52
    number: _UnsignedInt
    turn: _UnsignedInt
    reason: _Text


class GetConfig(Frame):
    """Asks for the deltas from this turn to the current one; turn 0 asks for all documents."""

    kind = 53
    turn: _UnsignedInt


class ConfigPart(Frame):
    """A part of the deltas from turn `base` (0: from empty documents) to `turn`; parts are sent in order."""

    kind = 54
    base: _UnsignedInt
    turn: _UnsignedInt
    part: Annotated[int, msgspec.Meta(ge=0, lt=MAX_PARTS)]
    part_count: Annotated[int, msgspec.Meta(ge=1, le=MAX_PARTS)]
    body: _Body


class ReplicaPositions(Frame):
    """Known replica positions, in both directions; the body is a message of replicas/spread.py."""

    kind = 55
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_POSITIONS_BYTES)]


class ForwardedFrame(Frame):
    """An encoded frame that a node forwards to the leader for `origin`; with `is_reply`, back to `origin`."""

    kind = 56
    origin: _Text
    is_reply: bool
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_PART_BYTES + 1024)]


class OperatorRequest(Frame):
    """A part of an operator's request."""

    kind = 57
    number: _UnsignedInt
    body: _Body
    is_last: bool


class OperatorReply(Frame):
    """A part of the reply to an operator's request."""

    kind = 58
    number: _UnsignedInt
    body: _Body
    is_last: bool


KINDS: tuple[type[Frame], ...] = (
    Greeting,
    RenewLease,
    LeaseGranted,
    LeaseBehind,
    LeaseRefused,
    GetConfig,
    ConfigPart,
    ReplicaPositions,
    ForwardedFrame,
    OperatorRequest,
    OperatorReply,
)


def split_into_parts(body: bytes) -> list[bytes]:
    """Splits a body into at least one part; raises ValueError if there are more than MAX_PARTS."""
    parts = [body[start : start + MAX_PART_BYTES] for start in range(0, len(body), MAX_PART_BYTES)] or [b""]
    if len(parts) > MAX_PARTS:
        raise ValueError(f"{len(body)} bytes are more than {MAX_PARTS} parts")
    return parts


def config_parts(base: int, turn: int, body: bytes) -> list[ConfigPart]:
    """Returns the frames that carry the result of ConfigState.updates_since."""
    parts = split_into_parts(body)
    return [ConfigPart(base, turn, number, len(parts), part) for number, part in enumerate(parts)]
