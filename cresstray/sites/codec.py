"""The link's frames, as docs/halls.md writes them down. Knows no socket and decides nothing."""

from __future__ import annotations

from typing import Annotated

import msgspec

from cresstray.policy.types import Outcome
from cresstray.transport.framing import MAX_FRAME_BYTES, Frame, FramingError, encode_frame
from cresstray.transport.framing import FrameDecoder as AnyFrames

__all__ = ["MAX_FRAME_BYTES", "FramingError", "Frame", "encode_frame"]

VERSION = 1
MAGIC = "cresstray-halls"
# What this build can do beyond the version; what only one side names is not used.
FEATURES = ("pages", "resume")
# A page of a result; some go into one write, and one lost with its link costs little to send again.
PAGE = 8_000

_Text = Annotated[str, msgspec.Meta(max_length=128)]
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Time = Annotated[int, msgspec.Meta(ge=0, le=10**12)]  # microseconds, as a span and never as a clock's time
_Figure = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class Hello(Frame):
    """First from the near side. `open`: crossings it still waits for; `knew`: the incarnation it spoke to."""

    kind = 1
    magic: _Text
    version: int
    features: list[_Text]
    hall: _Text
    name: _Text
    incarnation: _Text
    knew: _Text
    open: Annotated[list[_Number], msgspec.Meta(max_length=100_000)]


class Welcome(Frame):
    """First from the far side. `states`: a letter for each crossing that the hello named."""

    kind = 2
    version: int
    features: list[_Text]
    hall: _Text
    name: _Text
    incarnation: _Text
    resumed: bool
    states: Annotated[list[tuple[_Number, _Text]], msgspec.Meta(max_length=100_000)]
    submissions: _Number  # credit: so many open at once, and so many bytes of them
    bytes: _Number
    lease: _Time


class Beat(Frame):
    """Both ways. `heard`: the last beat of the other side, `held`: for how long; then the far hall's room."""

    kind = 3
    number: _Number
    heard: _Number
    held: _Time
    threads: _Figure = 0.0
    cores: _Figure = 0.0
    pace: _Figure = 1.0
    closed: _Time = 0  # takes nothing for so long


class Offer(Frame):
    """One submission; `left` to its hard stop, queued up to `max_queue_us`, sent `within`, any time if 0."""

    kind = 4
    number: _Number
    heard: _Number  # the last beat of the far side: bounds how old this frame can be, whatever the clocks say
    name: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{16}$")]
    class_name: _Text
    tenant: _Text
    idempotency_key: Annotated[str, msgspec.Meta(pattern="^[0-9A-Za-z_.:-]{0,128}$")]
    estimated_work_ms: _Figure
    memory_mb: _Figure
    left: _Time
    max_queue_us: _Time
    within: _Time
    table_group: _Number  # of tables, that the statement reads or writes
    used: _Number  # relays before this one; the far side may make one
    fenced: bool  # given up when the lease is over: the near side may relay it elsewhere then
    statement: Annotated[bytes, msgspec.Meta(min_length=1)]

    @property
    def timeout_ms(self) -> float:
        """Milliseconds, as the passage has it."""
        return self.left / 1000


class Taken(Frame):
    kind = 5
    number: _Number


class Refused(Frame):
    """Nothing of it ran. `come_back`: nothing should be offered for so long."""

    kind = 6
    number: _Number
    come_back: _Time
    reason: _Text


class Sent(Frame):
    """Its relay has left for an engine; from here on it may have run."""

    kind = 7
    number: _Number


class Page(Frame):
    kind = 8
    number: _Number
    page: _Number
    pages: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    body: bytes


class Ended(Frame):
    """It ended without a result; `ran`: whether it may have run; `how` is a word for the log."""

    kind = 9
    number: _Number
    ran: bool
    how: _Text


class More(Frame):
    """The near side has this many pages; the far side sends some further ones."""

    kind = 10
    number: _Number
    pages: _Number


class Withdraw(Frame):
    kind = 11
    number: _Number


class Forget(Frame):
    """The near side has the end of these; nothing of them need be kept."""

    kind = 12
    numbers: Annotated[list[_Number], msgspec.Meta(max_length=100_000)]


class Goodbye(Frame):
    """Nothing new is taken, or offered; what is open goes on."""

    kind = 13
    reason: _Text


# `Ended.how` as the link has always written it, by how the attempt ended here.
OUTCOME_WORDS = {
    Outcome.SUCCEEDED: "fulfilled",
    Outcome.FAILED: "error",
    Outcome.OVERLOADED: "full",
    Outcome.TIMED_OUT: "timed out",
    Outcome.UNREACHABLE: "unreachable",
    Outcome.CONNECTION_LOST: "reset",
    Outcome.PROTOCOL_ERROR: "spoilt",
    Outcome.CANCELLED: "withdrawn",
    Outcome.EXPIRED_BEFORE_SEND: "moot",
}

_KINDS = (Hello, Welcome, Beat, Offer, Taken, Refused, Sent, Page, Ended, More, Withdraw, Forget, Goodbye)


class Frames(AnyFrames):
    def __init__(self) -> None:
        super().__init__(_KINDS)
