"""Fourth stage: sends an attempt to an engine, and ends it when it times out or is cancelled."""

from __future__ import annotations

from typing import cast

from cresstray.clock import Clock, Timers
from cresstray.engines.connection import SocketConnectionPool
from cresstray.engines.in_flight import InFlightRequest
from cresstray.observability.counters import Counters
from cresstray.pipeline.engine_message import encode_attempt
from cresstray.pipeline.request_context import (
    EngineAttemptInFlight,
    IdempotencyHooks,
    RequestContext,
    SiteResponder,
)
from cresstray.pipeline.response import ResponseHandler
from cresstray.policy.retry_policy import DEDUP_MARGIN_US
from cresstray.policy.types import NOT_EXECUTED, Attempt, Outcome


class Dispatcher:
    """Sends attempts.

    Guarantees that each attempt handed to it gets exactly one outcome, in a later timer callback and never
    within `send`, and that no byte of it is sent after its timeout, the end of the engines' deduplication
    window or the expiry of its idempotency record.
    """

    def __init__(self, clock: Clock, timers: Timers, counters: Counters, responses: ResponseHandler) -> None:
        self._clock = clock
        self._timers = timers
        self._counters = counters
        self._responses = responses
        self.idempotency: IdempotencyHooks | None = None  # set where idempotency records are kept in a store

    def send(
        self, attempt: Attempt, context: RequestContext, pool: SocketConnectionPool, timeout_us: int
    ) -> None:
        """Hands the attempt to a connection of `pool`, unless it must not be sent any more."""
        name, message = context.query.name.encode(), encode_attempt(context.query, timeout_us)
        request_in_flight = InFlightRequest(name, message, self._responses, attempt)
        in_flight = cast(EngineAttemptInFlight, request_in_flight)
        in_flight.latest_send_us = latest_send_us = self._latest_send_us(attempt, timeout_us)
        if not self._may_send(attempt, latest_send_us):
            self._end_unsent(request_in_flight)
            return
        self._responses.in_flight[attempt] = in_flight
        in_flight.timeout = self._timers.call_after(
            timeout_us, lambda _: self.abandon(attempt, Outcome.TIMED_OUT)
        )
        self._counters.add("attempts sent")
        if attempt.request.is_forwarded_in:
            cast(SiteResponder, context.responder).on_attempt_sent(context.number)
        if self.idempotency is not None:
            self.idempotency.on_attempt_sent(attempt.request)
        pool.start(request_in_flight)

    def _may_send(self, attempt: Attempt, latest_send_us: int) -> bool:
        if self.idempotency is not None and not self.idempotency.may_send(attempt.request):
            return False
        # Reads the clock again: if the process was stopped during this turn of the event loop, the time that
        # was read at the start of the turn is outdated.
        is_too_late = self._clock.now() >= latest_send_us
        # The client of a request that was queued or is retried may have left since.
        return not is_too_late and not self._responses.has_client_left(attempt.request)

    def _latest_send_us(self, attempt: Attempt, timeout_us: int) -> int:
        """Returns the time from which on the attempt may not be sent, however late its connection is."""
        request = attempt.request
        # A process that was stopped may come to send a queued request that its client has given up.
        latest_us = min(self._clock.now() + timeout_us, request.deadline_us)
        if request.latest_send_us is not None:
            # The engines may already have got it from the other site, which knows when they forget it.
            latest_us = min(latest_us, request.latest_send_us)
        if request.request_class.is_deduplicated:
            window_us = request.request_class.dedup_window_us - DEDUP_MARGIN_US
            for earlier_attempt in request.attempts:
                if earlier_attempt is not attempt and earlier_attempt.outcome not in NOT_EXECUTED:
                    latest_us = min(latest_us, earlier_attempt.sent_us + window_us)
        record_expiry_us = None if self.idempotency is None else self.idempotency.latest_send_us(request)
        return latest_us if record_expiry_us is None else min(latest_us, record_expiry_us)

    def finish_unsent(self, attempt: Attempt) -> None:
        """Ends an attempt of which nothing was sent."""
        self._end_unsent(InFlightRequest(b"", b"", self._responses, attempt))

    def _end_unsent(self, request_in_flight: InFlightRequest) -> None:
        in_flight = cast(EngineAttemptInFlight, request_in_flight)
        self._responses.in_flight[in_flight.attempt] = in_flight
        # In a timer callback, because the policy must finish its current decision first.
        in_flight.timeout = self._timers.call_after(0, lambda _: self._responses.on_unsent(request_in_flight))

    def cancel(self, attempt: Attempt) -> None:
        """Cancels the attempt; its outcome follows in a later timer callback."""
        # In a timer callback, because the policy must finish its current decision first.
        self._timers.call_after(0, lambda _: self.abandon(attempt, Outcome.CANCELLED))

    def abandon_all(self, _now_us: int) -> None:
        """Ends all attempts in flight as timed out."""
        for attempt in list(self._responses.in_flight):
            self.abandon(attempt, Outcome.TIMED_OUT)

    def abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        """Ends an attempt in flight with `outcome`; does nothing if it already has an outcome."""
        in_flight = self._responses.in_flight.get(attempt)
        if in_flight is None:
            return
        has_stopped = in_flight.connection is None or in_flight.connection.abandon(in_flight)
        # A request at another site keeps running until that site receives the cancellation, and must not be
        # retried before. At the attempt's timeout it ends in any case: nothing is retried any more, and the
        # client is owed its answer.
        if has_stopped or outcome is Outcome.TIMED_OUT:
            # An attempt whose connection was established too late has certainly not run. If it ended as timed
            # out, its request would fail and the client could not retry it.
            self._responses.finish_attempt(
                in_flight, outcome if in_flight.is_written else Outcome.EXPIRED_BEFORE_SEND
            )
