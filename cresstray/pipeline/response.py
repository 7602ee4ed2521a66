"""Fifth stage, on the way back: an engine's answers become the one ending of a relay."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.clock import Clock
from cresstray.engines import codec
from cresstray.engines.in_flight import InFlightRequest
from cresstray.engines.result_pages import ResultPages
from cresstray.observability.counters import Counters
from cresstray.pipeline.accounting import RequestAccounting
from cresstray.policy.controller import PolicyController
from cresstray.policy.types import Attempt, EndpointState, Outcome, Request

if TYPE_CHECKING:
    from cresstray.membership.recovery import Membership
    from cresstray.pipeline.idempotency_checks import IdempotencyChecks
    from cresstray.pipeline.replica_reads import ReplicaReads

# A client is asked again whether it is there for what came longer ago; what is sent at once costs no call.
_FRESH = 20_000
_ENDINGS = {
    b"overload": Outcome.OVERLOADED,
    b"crashed": Outcome.FAILED,
    b"nobody": Outcome.EXPIRED_BEFORE_SEND,
}


class ResponseHandler:
    """The keeper of all exchanges with engines."""

    def __init__(self, clock: Clock, counters: Counters, book: RequestAccounting) -> None:
        self._clock, self._counters, self._book = clock, counters, book
        self.controller: PolicyController | None = None
        self.replica_reads: ReplicaReads | None = None  # where the fleet's rules place shards
        self.membership: Membership | None = None  # where a list is kept on disk
        self.idempotency: IdempotencyChecks | None = None  # where marks are kept in a store
        self.in_flight: dict[Attempt, InFlightRequest] = {}
        self._reports: dict[Attempt, dict[str, float]] = {}  # told with a first page, for the relay's end

    def on_answer(self, exchange: InFlightRequest, answer: codec.Answer) -> bool:
        """Whether it belongs to what is still awaited."""
        attempt = exchange.attempt
        if answer.kind == b"served" and exchange.pages is None:
            exchange.pages = ResultPages(answer.pages, answer.body)
            self._reports[attempt] = answer.report
            if answer.pages > 1:
                # All at once: a round trip for each would hold the permit and the client that much longer.
                exchange.connection.send(codec.encode_page_requests(exchange.name, answer.pages))
        elif answer.kind == b"rows" and exchange.pages is not None:
            if not exchange.pages.add(answer.page, answer.body):
                return False
        elif answer.kind in _ENDINGS and not (exchange.pages and answer.kind != b"crashed"):
            if exchange.pages is None:
                exchange.connection.finish(exchange)
            else:
                exchange.connection.abandon(exchange)  # answers to the other pages may still come
            self.finish_attempt(exchange, _ENDINGS[answer.kind], answer.report)
            return True
        else:
            return False
        result = exchange.pages.assemble()
        if result is not None:
            exchange.connection.finish(exchange)
            self.finish_attempt(exchange, Outcome.SUCCEEDED, self._reports[attempt], result)
        return True

    def on_unreachable(self, exchange: InFlightRequest) -> None:
        self.finish_attempt(exchange, Outcome.UNREACHABLE)

    def on_connection_lost(self, exchange: InFlightRequest, spoilt: bool) -> None:
        # Danger: part of its bytes may have gone out; it may have run.
        self.finish_attempt(exchange, Outcome.PROTOCOL_ERROR if spoilt else Outcome.CONNECTION_LOST)

    def may_send(self, exchange: InFlightRequest) -> bool:
        """Whether what was decided when it was handed over still holds."""
        attempt = exchange.attempt
        if (
            attempt.request.is_finished
            or attempt.cancel_requested
            or attempt.engine.state is not EndpointState.READY
        ):
            return False
        over = exchange.latest_send_us is not None and self._clock.now() >= exchange.latest_send_us
        return not over and not self.has_client_left(attempt.request)

    def on_sent(self, exchange: InFlightRequest) -> None:
        self.controller.on_attempt_sent(exchange.attempt, self._clock.now())

    def has_client_left(self, request: Request) -> bool:
        """Whether it has gone, before its connection was read that far."""
        if self._clock.now() - request.arrived_us < _FRESH:
            return False
        context = self._book.open.get(request)
        return context is not None and not context.is_answered and context.responder.has_disconnected()

    def on_unsent(self, exchange: InFlightRequest) -> None:
        """Nothing of it has left, and nothing may any more."""
        request = exchange.attempt.request
        if self.has_client_left(request):
            self._book.on_client_left(self._book.open[request])
            self.controller.on_client_cancelled(request, self._clock.now())
        self.finish_attempt(exchange, Outcome.EXPIRED_BEFORE_SEND)

    def finish_attempt(
        self,
        exchange: InFlightRequest,
        ending: Outcome,
        report: dict[str, float] | None = None,
        result: bytes | None = None,
        travel: int = 0,
    ) -> None:
        """Books the ending, answers the client if that was the result, and tells the module.

        `travel`: microseconds between halls, which say nothing about how long the work takes.
        """
        attempt, request, now = exchange.attempt, exchange.attempt.request, self._clock.now()
        exchange.timeout.cancel()
        del self.in_flight[attempt]
        self._reports.pop(attempt, None)
        self._book.count_attempt(ending)
        if request.is_forwarded_in:
            self._book.notify_remote(request, ending)
        if self.replica_reads is not None:
            self.replica_reads.on_attempt_finished(attempt, report, now)
        if self.membership is not None:
            self.membership.on_attempt_finished(attempt, ending, now)
        if self.idempotency is not None:
            self.idempotency.on_attempt_finished(attempt, ending, now)
        no_more = request.is_finished
        if ending is Outcome.SUCCEEDED and not no_more:
            self._book.succeed(request, result)
            no_more = True
        self.controller.on_attempt_finished(
            attempt, ending, now - attempt.sent_us - travel, no_more, report or {}, now
        )
        self._book.release(request)
