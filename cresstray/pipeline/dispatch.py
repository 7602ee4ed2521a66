"""Fourth stage: the relay goes out on a link, and is given up when its time is over or it is withdrawn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.clock import Clock, Timers
from cresstray.engines import codec
from cresstray.engines.connection import SocketConnectionPool
from cresstray.engines.in_flight import InFlightRequest
from cresstray.observability.counters import Counters
from cresstray.pipeline.request_context import RequestContext
from cresstray.pipeline.response import ResponseHandler
from cresstray.policy.retry_policy import DEDUP_MARGIN_US
from cresstray.policy.types import NOT_EXECUTED, Attempt, Outcome

if TYPE_CHECKING:
    from cresstray.pipeline.idempotency_checks import IdempotencyChecks


class Dispatcher:
    def __init__(self, clock: Clock, timers: Timers, counters: Counters, back: ResponseHandler) -> None:
        self._clock, self._timers, self._counters, self._back = clock, timers, counters, back
        self.idempotency: IdempotencyChecks | None = None  # where marks are kept in a store

    def send(
        self, attempt: Attempt, context: RequestContext, pool: SocketConnectionPool, patience: int
    ) -> None:
        query, name = context.query, context.query.name.encode()
        message = codec.ask(
            name, query.class_name, max(1, patience // 1000), query.idempotency_key, query.statement
        )
        exchange = InFlightRequest(name, message, self._back, attempt)
        exchange.latest_send_us = self._until(attempt, patience)
        if not self._may_begin(exchange):
            self._end_unsent(exchange)
            return
        self._back.in_flight[attempt] = exchange
        exchange.timeout = self._timers.call_after(
            patience, lambda _: self.abandon(attempt, Outcome.TIMED_OUT)
        )
        self._counters.add("attempts sent")
        if attempt.request.is_forwarded_in:
            context.responder.on_attempt_sent(context.number)
        if self.idempotency is not None:
            self.idempotency.on_attempt_sent(attempt.request)
        pool.start(exchange)

    def _may_begin(self, exchange: InFlightRequest) -> bool:
        request = exchange.attempt.request
        if self.idempotency is not None and not self.idempotency.may_send(request):
            return False
        # Danger: a process that was stopped in the middle of a turn still decides by the time from before.
        over = self._clock.now() >= exchange.latest_send_us
        # Danger: what was held, or is sent again, may be nobody's by now.
        return not over and not self._back.has_client_left(request)

    def _until(self, attempt: Attempt, patience: int) -> int:
        """From when on nothing of it may leave, however late its connection comes up."""
        request, until = attempt.request, self._clock.now() + patience
        if request.request_class.is_deduplicated:
            for earlier in request.attempts:
                if earlier is not attempt and earlier.outcome not in NOT_EXECUTED:
                    until = min(
                        until, earlier.sent_us + request.request_class.dedup_window_us - DEDUP_MARGIN_US
                    )
        marked = None if self.idempotency is None else self.idempotency.latest_send_us(request)
        return until if marked is None else min(until, marked)

    def finish_unsent(self, attempt: Attempt) -> None:
        """The relay ends as never sent."""
        self._end_unsent(InFlightRequest(b"", b"", self._back, attempt))

    def _end_unsent(self, exchange: InFlightRequest) -> None:
        self._back.in_flight[exchange.attempt] = exchange
        # The module hears of it once it has finished what it is about.
        exchange.timeout = self._timers.call_after(0, lambda _: self._back.on_unsent(exchange))

    def cancel(self, attempt: Attempt) -> None:
        # The module hears of it once it has finished what it is about.
        self._timers.call_after(0, lambda _: self.abandon(attempt, Outcome.CANCELLED))

    def abandon_all(self, _now: int) -> None:
        """The time of all that is out is over."""
        for attempt in list(self._back.in_flight):
            self.abandon(attempt, Outcome.TIMED_OUT)

    def abandon(self, attempt: Attempt, ending: Outcome) -> None:
        exchange = self._back.in_flight.get(attempt)
        if exchange is not None:
            surely = exchange.connection is None or exchange.connection.abandon(exchange)
            # Danger: what another hall has runs on until it has heard of it, and may not be relayed
            # meanwhile. At its time limit nothing more is relayed, and the client is owed the answer.
            if surely or ending is Outcome.TIMED_OUT:
                # Danger: what never left, as its connection came up late, would be failed though it surely
                # never ran, and its client could not come again.
                self._back.finish_attempt(
                    exchange, ending if exchange.is_written else Outcome.EXPIRED_BEFORE_SEND
                )
