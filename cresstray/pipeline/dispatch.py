"""Fourth stage: an attempt is sent to an engine, and ended when its time is over or it is cancelled."""

from __future__ import annotations

from typing import cast

from cresstray.clock import Clock, Timers
from cresstray.engines import codec
from cresstray.engines.connection import SocketConnectionPool
from cresstray.engines.in_flight import InFlightRequest
from cresstray.observability.counters import Counters
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

    Guarantees that each attempt handed to it gets exactly one outcome, by a later call and never within
    `send`, and that nothing of it leaves once its timeout, its engine's deduplication window or its
    idempotency record is over.
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
        """Hands the attempt to a connection of `pool`, unless it may not leave any more."""
        query = context.query
        name = query.name.encode()
        timeout_ms = max(1, timeout_us // 1000)
        message = codec.encode_request(
            name, query.class_name, timeout_ms, query.idempotency_key, query.statement
        )
        request_in_flight = InFlightRequest(name, message, self._responses, attempt)
        in_flight = cast(EngineAttemptInFlight, request_in_flight)
        in_flight.latest_send_us = latest_send_us = self._latest_send_us(attempt, timeout_us)
        if not self._may_begin(attempt, latest_send_us):
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

    def _may_begin(self, attempt: Attempt, latest_send_us: int) -> bool:
        if self.idempotency is not None and not self.idempotency.may_send(attempt.request):
            return False
        # Read anew: a process that was stopped in the middle of a turn still decides by the time from before.
        is_too_late = self._clock.now() >= latest_send_us
        # The client of a request that was queued or is retried may have left since.
        return not is_too_late and not self._responses.has_client_left(attempt.request)

    def _latest_send_us(self, attempt: Attempt, timeout_us: int) -> int:
        """Returns from when on nothing of the attempt may leave, however late its connection is."""
        request = attempt.request
        latest_us = self._clock.now() + timeout_us
        if request.request_class.is_deduplicated:
            window_us = request.request_class.dedup_window_us - DEDUP_MARGIN_US
            for earlier in request.attempts:
                if earlier is not attempt and earlier.outcome not in NOT_EXECUTED:
                    latest_us = min(latest_us, earlier.sent_us + window_us)
        record_until_us = None if self.idempotency is None else self.idempotency.latest_send_us(request)
        return latest_us if record_until_us is None else min(latest_us, record_until_us)

    def finish_unsent(self, attempt: Attempt) -> None:
        """Ends an attempt that never left."""
        self._end_unsent(InFlightRequest(b"", b"", self._responses, attempt))

    def _end_unsent(self, request_in_flight: InFlightRequest) -> None:
        in_flight = cast(EngineAttemptInFlight, request_in_flight)
        self._responses.in_flight[in_flight.attempt] = in_flight
        # By a later call: the policy must finish its current decision first.
        in_flight.timeout = self._timers.call_after(0, lambda _: self._responses.on_unsent(request_in_flight))

    def cancel(self, attempt: Attempt) -> None:
        """Cancels the attempt; its outcome comes by a later call."""
        # By a later call: the policy must finish its current decision first.
        self._timers.call_after(0, lambda _: self.abandon(attempt, Outcome.CANCELLED))

    def abandon_all(self, _now: int) -> None:
        """Ends all attempts in flight as timed out."""
        for attempt in list(self._responses.in_flight):
            self.abandon(attempt, Outcome.TIMED_OUT)

    def abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        """Ends an attempt in flight; one that has its outcome already is left alone."""
        in_flight = self._responses.in_flight.get(attempt)
        if in_flight is None:
            return
        has_stopped = in_flight.connection is None or in_flight.connection.abandon(in_flight)
        # What another site has goes on running until that site has heard of the cancellation, and may not
        # be retried meanwhile. At its timeout nothing is retried any more, and the client is owed its
        # answer.
        if has_stopped or outcome is Outcome.TIMED_OUT:
            # An attempt whose connection was established too late has surely not run. Ended as timed out, its
            # request would fail and its client could not retry it.
            self._responses.finish_attempt(
                in_flight, outcome if in_flight.is_written else Outcome.EXPIRED_BEFORE_SEND
            )
