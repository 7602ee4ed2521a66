"""The frames of a link between two sites. Performs no I/O and makes no decisions.

The gateway that connects forwards requests; the gateway that accepts the connection is the remote one.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from cresstray.policy.types import Outcome
from cresstray.tables import MAX_TABLE_GROUP
from cresstray.transport import framing
from cresstray.transport.framing import MAX_FRAME_BYTES, Frame, FramingError, encode_frame

__all__ = ["MAX_FRAME_BYTES", "FramingError", "Frame", "encode_frame"]

PROTOCOL_VERSION = 1
MAGIC = "cresstray-halls"
# Optional features of this build; a feature that only one side announces is not used.
FEATURES = ("pages", "resume")
# Announced by a gateway that cancels what it runs for another site once the lease has expired. It must not
# where `Limits.Cancel` is false; the other site then never retries elsewhere what may still run here.
FENCING = "fencing"
# Several pages fit into one write, and a page that is lost with its connection costs little to send again.
PAGE_BYTES = 8_000

_Text = Annotated[str, msgspec.Meta(max_length=128)]
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_TableGroup = Annotated[int, msgspec.Meta(ge=0, le=MAX_TABLE_GROUP)]
# Microseconds. Always a duration, never a time of day: the clocks of two sites are not comparable.
_DurationUs = Annotated[int, msgspec.Meta(ge=0, le=10**12)]
_Figure = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class Hello(Frame):
    """The first frame of the forwarding gateway.

    Attributes:
        known_incarnation: The incarnation of the remote gateway on the previous connection.
        open_requests: The numbers of the forwarded requests that still wait for an outcome.
    """

    kind = 1
    magic: _Text
    version: int
    features: list[_Text]
    site: _Text
    gateway: _Text
    incarnation: _Text
    known_incarnation: _Text
    open_requests: Annotated[list[_Number], msgspec.Meta(max_length=100_000)]


class Welcome(Frame):
    """The first frame of the remote gateway.

    Attributes:
        states: For each request that the hello lists, its number and the value of its `ForwardingState`.
        max_requests: The credit of the link, in open requests.
        max_bytes: The credit of the link, in bytes of their statements.
    """

    kind = 2
    version: int
    features: list[_Text]
    site: _Text
    gateway: _Text
    incarnation: _Text
    resumed: bool
    states: Annotated[list[tuple[_Number, _Text]], msgspec.Meta(max_length=100_000)]
    max_requests: _Number
    max_bytes: _Number
    lease_us: _DurationUs


class Heartbeat(Frame):
    """Sent in both directions; the remote site adds its spare capacity.

    Attributes:
        acknowledged: The number of the last heartbeat received from the other side.
        held_us: The time since that heartbeat was received.
        threads: Spare threads that the forwarding gateway may use.
        cores: The forwarding gateway's share of the cores.
        slowdown: Latency over expected latency.
        paused_us: No request is accepted for this long.
    """

    kind = 3
    number: _Number
    acknowledged: _Number
    held_us: _DurationUs
    threads: _Figure = 0.0
    cores: _Figure = 0.0
    slowdown: _Figure = 1.0
    paused_us: _DurationUs = 0


class ForwardRequest(Frame):
    """Forwards one request.

    Attributes:
        acknowledged: The number of the last heartbeat received from the remote gateway. With `held_us` it
            limits how old this frame can be, independently of the clocks.
        remaining_us: The time until the request's deadline, from when the frame was made.
        max_queue_us: How long the remote gateway may queue the request.
        max_send_delay_us: The request may be sent to an engine within this time only; 0: at any time.
        table_group: The group of tables that the statement reads or writes.
        previous_attempts: Attempts made before this one; the remote gateway may make one.
        is_lease_bound: Whether the remote gateway cancels the request when the lease expires. The forwarding
            gateway may then retry it elsewhere.
        held_us: The time since the acknowledged heartbeat was received. Earlier builds do not send it; the
            frame then appears older than it is, by less than a heartbeat interval.
    """

    kind = 4
    number: _Number
    acknowledged: _Number
    name: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{16}$")]
    class_name: _Text
    tenant: _Text
    idempotency_key: Annotated[str, msgspec.Meta(pattern="^[0-9A-Za-z_.:-]{0,128}$")]
    estimated_work_ms: _Figure
    memory_mb: _Figure
    remaining_us: _DurationUs
    max_queue_us: _DurationUs
    max_send_delay_us: _DurationUs
    table_group: _TableGroup
    previous_attempts: _Number
    is_lease_bound: bool
    statement: Annotated[bytes, msgspec.Meta(min_length=1)]
    held_us: _DurationUs = 0

    @property
    def timeout_ms(self) -> float:
        """The remaining time in the unit that the pipeline expects of a query."""
        return self.remaining_us / 1000


class Accepted(Frame):
    """The remote gateway has accepted the request."""

    kind = 5
    number: _Number


class Rejected(Frame):
    """The remote gateway has rejected the request, and no part of it was executed.

    Attributes:
        retry_after_us: No further request should be forwarded for this long.
    """

    kind = 6
    number: _Number
    retry_after_us: _DurationUs
    reason: _Text


class Sent(Frame):
    """The request was sent to an engine; from now on it may have been executed."""

    kind = 7
    number: _Number


class ResultPage(Frame):
    """One page of a result."""

    kind = 8
    number: _Number
    page: _Number
    page_count: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    body: bytes


class Failed(Frame):
    """The request ended without a result.

    Attributes:
        may_have_executed: Whether an engine may have executed the request.
        reason: A word for the log.
    """

    kind = 9
    number: _Number
    may_have_executed: bool
    reason: _Text


class PagesReceived(Frame):
    """The number of pages of a result that have arrived, which permits the remote gateway to send more."""

    kind = 10
    number: _Number
    page_count: _Number


class Cancel(Frame):
    """The forwarding gateway no longer wants the result."""

    kind = 11
    number: _Number


class Release(Frame):
    """The forwarding gateway has the outcome of these requests; the remote one can drop its state of them."""

    kind = 12
    numbers: Annotated[list[_Number], msgspec.Meta(max_length=100_000)]


class GoAway(Frame):
    """The sender accepts or forwards no new requests; open requests continue."""

    kind = 13
    reason: _Text


# `Failed.reason` by the outcome of the remote gateway's attempt.
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

_KINDS = (
    Hello,
    Welcome,
    Heartbeat,
    ForwardRequest,
    Accepted,
    Rejected,
    Sent,
    ResultPage,
    Failed,
    PagesReceived,
    Cancel,
    Release,
    GoAway,
)


class FrameDecoder(framing.FrameDecoder):
    """Decodes the frames of a link between sites."""

    def __init__(self) -> None:
        super().__init__(_KINDS)
