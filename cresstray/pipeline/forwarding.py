"""Fourth stage for another hall: the relay crosses a link, and what became of it comes back as its ending."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.clock import Clock, Timers
from cresstray.observability.counters import Counters
from cresstray.pipeline.dispatch import Dispatcher
from cresstray.pipeline.request_context import RequestContext
from cresstray.pipeline.response import ResponseHandler
from cresstray.policy.types import Attempt, EndpointState, Engine, Outcome
from cresstray.sites.ledger import Crossing, ForwardingResult
from cresstray.sites.outbound import Outward

if TYPE_CHECKING:
    from cresstray.pipeline.idempotency_checks import IdempotencyChecks


class Forwarder:
    """The keeper of all crossings. Each link is one engine to the module, whose `far` is the way to it."""

    def __init__(
        self, clock: Clock, timers: Timers, counters: Counters, back: ResponseHandler, send: Dispatcher
    ) -> None:
        self._clock, self._timers, self._counters = clock, timers, counters
        self._back, self._send = back, send
        self.idempotency: IdempotencyChecks | None = None  # where marks are kept in a store
        self._engines: dict[Outward, Engine] = {}
        self._links: dict[Engine, Outward] = {}

    def add(self, link: Outward) -> None:
        # No zone or cell of this hall: what may have run there is not sent again to a part of this hall only.
        engine = Engine(zone=-1 - len(self._engines), cell=-1 - len(self._engines), forwarding=link.way)
        self._engines[link], self._links[engine] = engine, link

    def send(self, attempt: Attempt, context: RequestContext, patience: int) -> None:
        if self._back.has_client_left(attempt.request):
            self._send.finish_unsent(attempt)
            return
        crossing = self._links[attempt.engine].offer(attempt, context.query, self._clock.now())
        self._back.in_flight[attempt] = crossing
        if self.idempotency is not None:
            self.idempotency.on_attempt_sent(attempt.request)
        crossing.timeout = self._timers.call_after(
            patience, lambda _: self._send.abandon(attempt, Outcome.TIMED_OUT)
        )

    def on_finished(
        self, crossing: Crossing, outcome: ForwardingResult, sent: bool, result: bytes | None
    ) -> None:
        attempt = crossing.attempt
        if self._back.in_flight.get(attempt) is not crossing:
            return  # its time was over before
        if outcome is ForwardingResult.SERVED:
            ending = Outcome.SUCCEEDED
        elif outcome is ForwardingResult.UNRUN:
            # Sent and full is the far engine's word; not sent at all, no engine has seen it.
            ending = Outcome.OVERLOADED if sent else Outcome.EXPIRED_BEFORE_SEND
        elif crossing.withdrawn:
            ending = Outcome.CANCELLED
        else:
            ending = Outcome.FAILED if outcome is ForwardingResult.RAN else Outcome.CONNECTION_LOST
        now = self._clock.now()
        travel = min(crossing.connection.way.health.round_trip(now), (now - attempt.sent_us) // 2)
        self._back.finish_attempt(crossing, ending, result=result, travel=travel)

    def on_deadline_unreachable(self, crossing: Crossing) -> None:
        self._back.controller.on_deadline_unreachable(crossing.attempt, self._clock.now())

    def on_capacity(self, link: Outward) -> None:
        self._back.controller.on_site_capacity(self._engines[link], self._clock.now())

    def on_state(self, link: Outward, ready: bool) -> None:
        self._back.controller.on_site_updated(
            self._engines[link],
            link.way.cores,
            EndpointState.READY if ready else EndpointState.DRAINING,
            self._clock.now(),
        )
