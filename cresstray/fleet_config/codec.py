"""Frames 48 to 58: between control-plane nodes, gateways and operators, without sockets.

A frame is an array: positions count, and the names here are not written. The role `keeper` on the wire is a
control-plane node.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from cresstray.transport.framing import MAX_FRAME_BYTES, Frame, FrameDecoder, FramingError, encode_frame

__all__ = ["MAX_FRAME_BYTES", "FramingError", "Frame", "FrameDecoder", "encode_frame"]

VERSION = 1
MAGIC = "cresstray-fleet"
ROLES = ("gateway", "keeper", "operator")
# Half of the longest frame: a part still fits when another frame carries it.
MAX_PART_BYTES = 128 * 1024
# Bounds what one side can make the other hold. 16 MB are ten times the documents of 5,000 shards.
MAX_PARTS = 128
# One message on positions: 256 shards of some 60 bytes, and room.
MAX_POSITIONS_BYTES = 32 * 1024

_Text = Annotated[str, msgspec.Meta(max_length=128)]
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Body = Annotated[bytes, msgspec.Meta(max_length=MAX_PART_BYTES)]


class Greeting(Frame):
    """First, both ways. `incarnation`: of a gateway or operator; the generation of a control-plane node."""

    kind = 48
    magic: _Text
    version: _Number
    role: _Text
    fleet: _Text
    name: _Text
    incarnation: _Text
    nonce: Annotated[bytes, msgspec.Meta(max_length=32)] = b""


class RenewLease(Frame):
    """A gateway asks for a lease, and says at which turn it acts, or that it has stopped."""

    kind = 49
    number: _Number
    turn: _Number
    incarnation: _Text = ""
    has_stopped: bool = False


class LeaseGranted(Frame):
    """The lease asked for with this number, at this turn; it counts from when that was asked."""

    kind = 50
    number: _Number
    turn: _Number


class LeaseBehind(Frame):
    """No lease: the leader is at another turn."""

    kind = 51
    number: _Number
    turn: _Number


class LeaseRefused(Frame):
    """No lease, as the leader's list at this turn doesn't name the gateway, or for another reason."""

    kind = 52
    number: _Number
    turn: _Number
    reason: _Text


class GetConfig(Frame):
    """What leads from this turn to the present one, please; 0: all of it."""

    kind = 53
    turn: _Number


class ConfigPart(Frame):
    """A part of what leads from `base` (0: from nothing) to `turn`; parts come in order."""

    kind = 54
    base: _Number
    turn: _Number
    part: Annotated[int, msgspec.Meta(ge=0, lt=MAX_PARTS)]
    part_count: Annotated[int, msgspec.Meta(ge=1, le=MAX_PARTS)]
    body: _Body


class ReplicaPositions(Frame):
    """What is known of replicas' positions, both ways: a message of replicas/spread.py."""

    kind = 55
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_POSITIONS_BYTES)]


class ForwardedFrame(Frame):
    """An encoded frame that a node forwards to the leader for `origin`, or (`is_reply`) back to it."""

    kind = 56
    origin: _Text
    is_reply: bool
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_PART_BYTES + 1024)]


class OperatorRequest(Frame):
    """A part of an operator's question."""

    kind = 57
    number: _Number
    body: _Body
    is_last: bool


class OperatorReply(Frame):
    """A part of its answer."""

    kind = 58
    number: _Number
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
    """A body in pieces of a part's length; at least one. ValueError beyond PARTS of them."""
    cut = [body[at : at + MAX_PART_BYTES] for at in range(0, len(body), MAX_PART_BYTES)] or [b""]
    if len(cut) > MAX_PARTS:
        raise ValueError(f"{len(body)} bytes are more than {MAX_PARTS} parts")
    return cut


def config_parts(base: int, turn: int, body: bytes) -> list[ConfigPart]:
    """The frames for what State.since gave."""
    cut = split_into_parts(body)
    return [ConfigPart(base, turn, number, len(cut), part) for number, part in enumerate(cut)]
