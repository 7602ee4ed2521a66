"""Frames 48 to 58: between keepers, gateways and operators. Knows no socket and decides nothing."""

from __future__ import annotations

from typing import Annotated

import msgspec

from cresstray.transport.framing import MAX_FRAME_BYTES, Frame, FrameDecoder, FramingError, encode_frame

__all__ = ["MAX_FRAME_BYTES", "FramingError", "Frame", "FrameDecoder", "encode_frame"]

VERSION = 1
MAGIC = "cresstray-fleet"
ROLES = ("gateway", "keeper", "operator")
# Half of the longest frame: a part still fits when another frame carries it.
PART = 128 * 1024
# Danger: parts without end would be kept without end. 16 MB hold ten times the documents of 5,000 shards.
PARTS = 128
# One word on positions: 256 shards of some 60 bytes, and room.
WORD = 32 * 1024

_Text = Annotated[str, msgspec.Meta(max_length=128)]
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Body = Annotated[bytes, msgspec.Meta(max_length=PART)]


class Greet(Frame):
    """First, both ways. `life`: a gateway's or operator's incarnation, a keeper's generation."""

    kind = 48
    magic: _Text
    version: _Number
    role: _Text
    fleet: _Text
    name: _Text
    life: _Text
    nonce: Annotated[bytes, msgspec.Meta(max_length=32)] = b""


class Renew(Frame):
    """A gateway asks for a lease, and says at which turn it acts, or that it has stopped."""

    kind = 49
    number: _Number
    turn: _Number
    life: _Text = ""
    stopped: bool = False


class Granted(Frame):
    """The lease asked for with this number, at this turn; it counts from when that was asked."""

    kind = 50
    number: _Number
    turn: _Number


class Behind(Frame):
    """No lease: the leader is at another turn."""

    kind = 51
    number: _Number
    turn: _Number


class Refused(Frame):
    """No lease, as the leader's list at this turn doesn't name the gateway, or for another reason."""

    kind = 52
    number: _Number
    turn: _Number
    reason: _Text


class Get(Frame):
    """What leads from this turn to the present one, please; 0: all of it."""

    kind = 53
    turn: _Number


class Content(Frame):
    """A part of what leads from `base` (0: from nothing) to `turn`; parts come in order."""

    kind = 54
    base: _Number
    turn: _Number
    part: Annotated[int, msgspec.Meta(ge=0, lt=PARTS)]
    parts: Annotated[int, msgspec.Meta(ge=1, le=PARTS)]
    body: _Body


class Heard(Frame):
    """What is known of copies' positions, both ways: a word of replicas/spread.py."""

    kind = 55
    body: Annotated[bytes, msgspec.Meta(max_length=WORD)]


class Carried(Frame):
    """A frame, encoded, that a keeper carries to the leader for `origin`, or (`answer`) back to it."""

    kind = 56
    origin: _Text
    answer: bool
    body: Annotated[bytes, msgspec.Meta(max_length=PART + 1024)]


class Request(Frame):
    """A part of an operator's question."""

    kind = 57
    number: _Number
    body: _Body
    last: bool


class Reply(Frame):
    """A part of its answer."""

    kind = 58
    number: _Number
    body: _Body
    last: bool


KINDS: tuple[type[Frame], ...] = (
    Greet,
    Renew,
    Granted,
    Behind,
    Refused,
    Get,
    Content,
    Heard,
    Carried,
    Request,
    Reply,
)


def parts(body: bytes) -> list[bytes]:
    """A body in pieces of a part's length; at least one. ValueError beyond PARTS of them."""
    cut = [body[at : at + PART] for at in range(0, len(body), PART)] or [b""]
    if len(cut) > PARTS:
        raise ValueError(f"{len(body)} bytes are more than {PARTS} parts")
    return cut


def contents(base: int, turn: int, body: bytes) -> list[Content]:
    """The frames for what State.since gave."""
    cut = parts(body)
    return [Content(base, turn, number, len(cut), part) for number, part in enumerate(cut)]
