"""Fourth stage for another site: an attempt goes over a link, which reports its outcome."""

from __future__ import annotations

from typing import cast

from cresstray.clock import Clock, Timers
from cresstray.observability.counters import Counters
from cresstray.pipeline.dispatch import Dispatcher
from cresstray.pipeline.request_context import AttemptInFlight, IdempotencyHooks, RequestContext
from cresstray.pipeline.response import ResponseHandler
from cresstray.policy.types import Attempt, EndpointState, Engine, Outcome
from cresstray.sites.ledger import Crossing, ForwardingResult
from cresstray.sites.outbound import Outward


class Forwarder:
    """Sends attempts to other sites and listens to the links.

    To the policy each link is one engine, whose `forwarding` is the route to the other site. Gives the
    guarantees of the dispatcher: one outcome to each attempt, never within `send`.
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
        self._engines: dict[Outward, Engine] = {}
        self._links: dict[Engine, Outward] = {}

    def add(self, link: Outward) -> None:
        """Makes the engine that stands for a link; the policy hears of it with the link's first state."""
        # Neither a zone nor a cell of this site: what may have run at another site must not be retried
        # within a part of this site that would not discard it.
        place = -1 - len(self._engines)
        engine = Engine(zone=place, cell=place, forwarding=link.way)
        self._engines[link] = engine
        self._links[engine] = link

    def send(self, attempt: Attempt, context: RequestContext, timeout_us: int) -> None:
        """Offers the attempt to the other site, unless its client has left."""
        if self._responses.has_client_left(attempt.request):
            self._dispatcher.finish_unsent(attempt)
            return
        crossing = self._links[attempt.engine].offer(attempt, context.query, self._clock.now())
        in_flight = cast(AttemptInFlight, crossing)
        self._responses.in_flight[attempt] = in_flight
        if self.idempotency is not None:
            self.idempotency.on_attempt_sent(attempt.request)
        in_flight.timeout = self._timers.call_after(
            timeout_us, lambda _: self._dispatcher.abandon(attempt, Outcome.TIMED_OUT)
        )

    def on_finished(
        self, crossing: Crossing, outcome: ForwardingResult, sent: bool, result: bytes | None
    ) -> None:
        """The link has learnt how the attempt ended. `sent`: whether the offer had left."""
        in_flight = cast(AttemptInFlight, crossing)
        attempt = in_flight.attempt
        if self._responses.in_flight.get(attempt) is not in_flight:
            return  # it has timed out before
        now = self._clock.now()
        round_trip_us = cast(Outward, crossing.connection).way.health.round_trip(now)
        travel_us = min(round_trip_us, (now - attempt.sent_us) // 2)
        self._responses.finish_attempt(
            in_flight, _outcome(crossing, outcome, sent), result=result, travel_us=travel_us
        )

    def on_deadline_unreachable(self, crossing: Crossing) -> None:
        """The other site cannot answer in time; the policy may retry the request here."""
        attempt = cast(AttemptInFlight, crossing).attempt
        self._responses.controller.on_deadline_unreachable(attempt, self._clock.now())

    def on_capacity(self, link: Outward) -> None:
        """The other site has capacity for a further request."""
        self._responses.controller.on_site_capacity(self._engines[link], self._clock.now())

    def on_state(self, link: Outward, ready: bool) -> None:
        """The link was established or lost, or the other site's cores have changed."""
        state = EndpointState.READY if ready else EndpointState.DRAINING
        self._responses.controller.on_site_updated(
            self._engines[link], link.way.cores, state, self._clock.now()
        )


def _outcome(crossing: Crossing, result: ForwardingResult, was_sent: bool) -> Outcome:
    if result is ForwardingResult.SERVED:
        return Outcome.SUCCEEDED
    if result is ForwardingResult.UNRUN:
        # Sent and not run is the word of an engine there; of what was not sent no engine has heard.
        return Outcome.OVERLOADED if was_sent else Outcome.EXPIRED_BEFORE_SEND
    if crossing.withdrawn:
        return Outcome.CANCELLED
    if result is ForwardingResult.RAN:
        return Outcome.FAILED
    return Outcome.CONNECTION_LOST
