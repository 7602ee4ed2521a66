"""The types that the stages of the pipeline exchange."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from cresstray.clock import TimerHandle
from cresstray.engines.result_pages import ResultPages
from cresstray.policy.types import Attempt, Outcome, Request


class Query(Protocol):
    """A decoded query of a client or of another site, independent of the protocol by which it arrived."""

    @property
    def name(self) -> str:
        """The name by which engines identify the request."""

    @property
    def class_name(self) -> str:
        """The name of its request class."""

    @property
    def tenant(self) -> str:
        """The name of its tenant."""

    @property
    def timeout_ms(self) -> float:
        """How long the client waits, in milliseconds."""

    @property
    def idempotency_key(self) -> str:
        """The key by which engines discard duplicates; empty without one."""

    @property
    def estimated_work_ms(self) -> float:
        """The client's estimate of the work; 0 without one."""

    @property
    def memory_mb(self) -> float:
        """The client's estimate of the memory; 0 without one."""

    @property
    def statement(self) -> bytes:
        """The statement as it arrived."""


class Responder(Protocol):
    """Where a request came from and where its answer goes: a client session, or a link from another site.

    Each request gets at most one answer. `open_requests` maps the numbers of the requests that are owed an
    answer to their RequestContext.
    """

    open_requests: dict[int, Any]

    def succeed(self, number: int, result: bytes, replica_position: str | None = None, /) -> None:
        """Sends the result; `replica_position` is the position at which a replica served a hinted read."""

    def reject(self, number: int, retry_after_us: int, /) -> None:
        """Reports that the request was rejected, and when it may be retried."""

    def fail(self, number: int, /) -> None:
        """Reports that the request failed and may have run."""

    def reject_malformed(self, number: int | None, text: str, /) -> None:
        """Reports why the request is malformed; it was never opened."""

    def has_left(self, number: int, /) -> bool:
        """Whether nobody waits for the answer any more; may cost a system call.

        The client has closed its connection, even if that is not read yet; or the other site may have taken
        the request back, as it heard nothing for a lease.
        """


class SiteResponder(Responder, Protocol):
    """A link from another site: its requests were forwarded in, and it is told of their attempts as well."""

    def on_attempt_sent(self, number: int, /) -> None:
        """Tells the other site that the request was sent to an engine."""

    def on_attempt_finished(self, number: int, outcome: Outcome, /) -> None:
        """Tells the other site how the request's attempt ended."""


@dataclass(slots=True, eq=False)
class RequestContext:
    """One request in the pipeline, with its query and its responder."""

    responder: Responder
    number: int
    query: Query
    request: Request
    is_answered: bool = False  # also True once the client has left and no answer is owed
    result: bytes | None = None
    held_bytes: int = 0  # what the memory budget has recorded for it


class AttemptConnection(Protocol):
    """The connection that carries an attempt: to an engine, or a link to another site."""

    def send(self, message: bytes, /) -> None:
        """Sends a further message for an attempt that was started."""

    def finish(self, in_flight: Any, /) -> None:
        """Forgets an attempt for which no further answer is expected."""

    def abandon(self, in_flight: Any, /) -> bool:
        """Cancels an attempt; returns False if it may keep running until the other side has confirmed."""


class AttemptInFlight(Protocol):
    """An attempt that was handed to a connection and has no outcome yet.

    The engines and sites packages handle these objects without knowing the policy's types; the pipeline
    creates them and casts what it gets back to this protocol.
    """

    attempt: Attempt
    connection: AttemptConnection | None
    is_written: bool  # whether any of its bytes may have been sent
    timeout: TimerHandle  # set before the attempt is handed to its connection


class EngineAttemptInFlight(AttemptInFlight, Protocol):
    """An attempt in flight on a connection to an engine of this site."""

    name: bytes
    pages: ResultPages | None
    latest_send_us: int | None


class IdempotencyHooks(Protocol):
    """The hooks that the stages call where idempotency records are kept in a store."""

    def may_send(self, request: Request) -> bool:
        """Whether an attempt may be sent now."""

    def latest_send_us(self, request: Request) -> int | None:
        """Returns the time from which on no attempt may be sent; None if no record limits it."""

    def on_attempt_sent(self, request: Request) -> None:
        """An attempt was handed to a connection."""

    def on_attempt_finished(self, attempt: Attempt, outcome: Outcome, now_us: int, /) -> None:
        """An attempt has its outcome; called before the request is answered."""

    def on_deadlines_limited(self) -> None:
        """The deadlines of open requests were moved forward, as the process is shutting down."""

    def on_request_finished(self, request: Request, final_state: str, result: bytes | None = None) -> None:
        """The request was answered, or its client has left.

        `final_state`: "succeeded", "rejected", "failed" or "left".
        """
