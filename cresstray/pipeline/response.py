"""Fifth stage: turns the answers of an engine into the one outcome of an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

from cresstray.clock import Clock
from cresstray.engines import codec
from cresstray.engines.in_flight import InFlightRequest
from cresstray.engines.result_pages import ResultPages
from cresstray.observability.counters import Counters
from cresstray.pipeline.accounting import RequestAccounting
from cresstray.pipeline.engine_message import encode_attempt
from cresstray.pipeline.request_context import (
    AttemptConnection,
    AttemptInFlight,
    EngineAttemptInFlight,
    IdempotencyHooks,
)
from cresstray.policy.controller import PolicyController
from cresstray.policy.deadlines import attempt_timeout_us
from cresstray.policy.types import Attempt, Outcome, Request

if TYPE_CHECKING:
    from cresstray.membership.recovery import Membership
    from cresstray.pipeline.replica_reads import ReplicaReads

# The client of a request that arrived longer ago may have left, so its connection is checked. A request that
# is sent at once does not pay for the check, which is a system call.
_CLIENT_CHECK_AGE_US = 20_000
_OUTCOME_OF_ANSWER = {
    codec.OVERLOADED: Outcome.OVERLOADED,
    codec.CRASHED: Outcome.FAILED,
    codec.EXPIRED: Outcome.EXPIRED_BEFORE_SEND,
}


class ResponseHandler:
    """Owns the attempts in flight and receives the callbacks of the connections to engines.

    Guarantees one outcome for each attempt in flight. If the outcome is a result, the client is answered
    before the policy is told of it.
    """

    # Set by the composition root before the first request: the policy is constructed with its port, which
    # needs this stage.
    controller: PolicyController

    def __init__(self, clock: Clock, counters: Counters, accounting: RequestAccounting) -> None:
        self._clock = clock
        self._counters = counters
        self._accounting = accounting
        self.replica_reads: ReplicaReads | None = None  # set where fleet configuration places replicas
        self.membership: Membership | None = None  # set where the endpoint list is persisted
        self.idempotency: IdempotencyHooks | None = None  # set where idempotency records are kept in a store
        self.in_flight: dict[Attempt, AttemptInFlight] = {}
        self._reports: dict[
            Attempt, dict[str, float]
        ] = {}  # load report of the first page, kept until the last page

    def on_answer(self, request_in_flight: InFlightRequest, answer: codec.Answer) -> bool:
        """Handles an answer of an engine; returns False if the request does not expect such an answer."""
        in_flight = cast(EngineAttemptInFlight, request_in_flight)
        connection = cast(AttemptConnection, in_flight.connection)
        pages = in_flight.pages
        if answer.kind == codec.SERVED and pages is None:
            pages = self._on_first_page(in_flight, connection, answer)
        elif answer.kind == codec.ROWS and pages is not None:
            if not pages.add(answer.page, answer.body):
                return False
        elif answer.kind in _OUTCOME_OF_ANSWER and (pages is None or answer.kind == codec.CRASHED):
            if pages is None:
                connection.finish(in_flight)
            else:
                connection.abandon(in_flight)  # answers to the other pages may still arrive
            self.finish_attempt(in_flight, _OUTCOME_OF_ANSWER[answer.kind], answer.report)
            return True
        else:
            return False
        result = pages.assemble()
        if result is not None:
            connection.finish(in_flight)
            self.finish_attempt(in_flight, Outcome.SUCCEEDED, self._reports[in_flight.attempt], result)
        return True

    def _on_first_page(
        self, in_flight: EngineAttemptInFlight, connection: AttemptConnection, answer: codec.Answer
    ) -> ResultPages:
        in_flight.pages = pages = ResultPages(answer.pages, answer.body)
        self._reports[in_flight.attempt] = answer.report
        if answer.pages > 1:
            # All at once: a round trip per page would hold the permit and delay the client that much longer.
            connection.send(codec.encode_page_requests(in_flight.name, answer.pages))
        return pages

    def on_unreachable(self, request_in_flight: InFlightRequest) -> None:
        """No connection to the engine could be established; nothing was sent."""
        self.finish_attempt(cast(EngineAttemptInFlight, request_in_flight), Outcome.UNREACHABLE)

    def on_connection_lost(self, request_in_flight: InFlightRequest, is_corrupt: bool) -> None:
        """The connection has ended after part of the request may have been sent: it may have run.

        `is_corrupt`: the gateway closed the connection because an answer violated the protocol.
        """
        outcome = Outcome.PROTOCOL_ERROR if is_corrupt else Outcome.CONNECTION_LOST
        self.finish_attempt(cast(EngineAttemptInFlight, request_in_flight), outcome)

    def may_send(self, request_in_flight: InFlightRequest) -> bool:
        """Whether the decision to send is still valid when the first bytes are about to be sent."""
        in_flight = cast(EngineAttemptInFlight, request_in_flight)
        attempt = in_flight.attempt
        now_us = self._clock.now()
        if not self.controller.may_still_send(attempt, now_us):
            return False
        latest_send_us = in_flight.latest_send_us
        is_too_late = latest_send_us is not None and now_us >= latest_send_us
        return not is_too_late and not self.has_client_left(attempt.request)

    def encode_late(self, request_in_flight: InFlightRequest) -> bytes:
        """Returns the message of an attempt that is sent late, with the time that is left now."""
        request = request_in_flight.attempt.request
        query = self._accounting.open_requests[request].query
        return encode_attempt(query, attempt_timeout_us(request, self._clock.now()))

    def on_sent(self, request_in_flight: InFlightRequest) -> None:
        """The first bytes of the attempt were sent."""
        in_flight = cast(EngineAttemptInFlight, request_in_flight)
        self.controller.on_attempt_sent(in_flight.attempt, self._clock.now())

    def has_client_left(self, request: Request) -> bool:
        """Whether nobody waits for the answer any more, even if no timer or read has found that yet."""
        if self._clock.now() - request.arrived_us < _CLIENT_CHECK_AGE_US:
            return False
        context = self._accounting.open_requests.get(request)
        return context is not None and not context.is_answered and context.responder.has_left(context.number)

    def on_unsent(self, request_in_flight: InFlightRequest) -> None:
        """Nothing of the attempt was sent, and nothing may be sent any more."""
        in_flight = cast(EngineAttemptInFlight, request_in_flight)
        request = in_flight.attempt.request
        if self.has_client_left(request):
            self._accounting.on_client_left(self._accounting.open_requests[request])
            self.controller.on_client_cancelled(request, self._clock.now())
        self.finish_attempt(in_flight, Outcome.EXPIRED_BEFORE_SEND)

    def finish_attempt(
        self,
        in_flight: AttemptInFlight,
        outcome: Outcome,
        report: dict[str, float] | None = None,
        result: bytes | None = None,
        travel_us: int = 0,
    ) -> None:
        """Counts the outcome, answers the client if it is a result, and then tells the policy.

        `report` is the engine's load report. `travel_us`: the travel time between sites, which is no part of
        the latency of the work itself.
        """
        attempt = in_flight.attempt
        request = attempt.request
        now_us = self._clock.now()
        in_flight.timeout.cancel()
        del self.in_flight[attempt]
        self._reports.pop(attempt, None)
        self._accounting.count_attempt(outcome)
        self._notify_collaborators(attempt, outcome, report, now_us)
        is_request_finished = request.is_finished
        if outcome is Outcome.SUCCEEDED and not is_request_finished:
            self._accounting.succeed(request, cast(bytes, result))  # every success comes with a result
            is_request_finished = True
        latency_us = now_us - attempt.sent_us - travel_us
        self.controller.on_attempt_finished(
            attempt, outcome, latency_us, is_request_finished, report or {}, now_us
        )
        self._accounting.release(request)

    def _notify_collaborators(
        self, attempt: Attempt, outcome: Outcome, report: dict[str, float] | None, now_us: int
    ) -> None:
        if attempt.request.is_forwarded_in:
            self._accounting.notify_remote_site(attempt.request, outcome)
        if self.replica_reads is not None:
            self.replica_reads.on_attempt_finished(attempt, report, now_us)
        if self.membership is not None:
            self.membership.on_attempt_finished(attempt, outcome, now_us)
        if self.idempotency is not None:
            self.idempotency.on_attempt_finished(attempt, outcome, now_us)
