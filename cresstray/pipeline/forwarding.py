"""Fourth stage for other sites: forwards an attempt over a link, which reports its outcome."""

from __future__ import annotations

from typing import cast

from cresstray.clock import Clock, Timers
from cresstray.observability.counters import Counters
from cresstray.pipeline.dispatch import Dispatcher
from cresstray.pipeline.request_context import AttemptInFlight, IdempotencyHooks, RequestContext
from cresstray.pipeline.response import ResponseHandler
from cresstray.policy.types import Attempt, EndpointState, Engine, Outcome
from cresstray.sites.ledger import ForwardedRequest, ForwardingResult
from cresstray.sites.outbound import OutboundLink


class Forwarder:
    """Forwards attempts to other sites and receives the callbacks of the links.

    The policy sees each link as one engine, whose `forwarding` is the route to the other site. Gives the same
    guarantee as the dispatcher: exactly one outcome for each attempt, never within `send`.
    """

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        counters: Counters,
        responses: ResponseHandler,
        dispatcher: Dispatcher,
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._counters = counters
        self._responses = responses
        self._dispatcher = dispatcher
        self.idempotency: IdempotencyHooks | None = None  # set where idempotency records are kept in a store
        self._engines: dict[OutboundLink, Engine] = {}
        self._links: dict[Engine, OutboundLink] = {}

    def add(self, link: OutboundLink) -> None:
        """Creates the engine that represents a link; the policy gets it with the link's first state."""
        # A zone and a cell that no engine of this site has: what may have run at another site must not be
        # retried within a zone or cell of this site, whose engines would not discard it as a duplicate.
        location = -1 - len(self._engines)
        engine = Engine(zone=location, cell=location, forwarding=link.route)
        self._engines[link] = engine
        self._links[engine] = link

    def send(self, attempt: Attempt, context: RequestContext, timeout_us: int) -> None:
        """Offers the attempt to the other site, unless its client has left."""
        if self._responses.has_client_left(attempt.request):
            self._dispatcher.finish_unsent(attempt)
            return
        forwarded = self._links[attempt.engine].forward(attempt, context.query, self._clock.now())
        in_flight = cast(AttemptInFlight, forwarded)
        self._responses.in_flight[attempt] = in_flight
        if self.idempotency is not None:
            self.idempotency.on_attempt_sent(attempt.request)
        in_flight.timeout = self._timers.call_after(
            timeout_us, lambda _: self._dispatcher.abandon(attempt, Outcome.TIMED_OUT)
        )

    def on_finished(
        self,
        forwarded: ForwardedRequest,
        forwarding_result: ForwardingResult,
        was_sent: bool,
        result: bytes | None,
    ) -> None:
        """The link reports how the attempt ended. `was_sent`: whether the other site was sent the offer."""
        in_flight = cast(AttemptInFlight, forwarded)
        attempt = in_flight.attempt
        if self._responses.in_flight.get(attempt) is not in_flight:
            return  # the attempt has already timed out
        now_us = self._clock.now()
        round_trip_us = cast(OutboundLink, forwarded.connection).route.health.round_trip_us(now_us)
        travel_us = min(round_trip_us, (now_us - attempt.sent_us) // 2)
        self._responses.finish_attempt(
            in_flight, _outcome(forwarded, forwarding_result, was_sent), result=result, travel_us=travel_us
        )

    def on_deadline_unreachable(self, forwarded: ForwardedRequest) -> None:
        """The other site cannot answer in time; the policy may retry the request at this site."""
        attempt = cast(AttemptInFlight, forwarded).attempt
        self._responses.controller.on_deadline_unreachable(attempt, self._clock.now())

    def on_capacity(self, link: OutboundLink) -> None:
        """The other site has capacity for a further request."""
        self._responses.controller.on_site_capacity(self._engines[link], self._clock.now())

    def on_state(self, link: OutboundLink, is_ready: bool) -> None:
        """The link was established or lost, or the other site's number of cores has changed."""
        state = EndpointState.READY if is_ready else EndpointState.DRAINING
        self._responses.controller.on_site_updated(
            self._engines[link], link.route.available_cores, state, self._clock.now()
        )


def _outcome(forwarded: ForwardedRequest, result: ForwardingResult, was_sent: bool) -> Outcome:
    if result is ForwardingResult.SERVED:
        return Outcome.SUCCEEDED
    if result is ForwardingResult.NOT_EXECUTED:
        # If it was sent, an engine of the other site reported that it did not run; if not, no engine got it.
        return Outcome.OVERLOADED if was_sent else Outcome.EXPIRED_BEFORE_SEND
    if forwarded.is_cancelled:
        return Outcome.CANCELLED
    if result is ForwardingResult.POSSIBLY_EXECUTED:
        return Outcome.FAILED
    return Outcome.CONNECTION_LOST
