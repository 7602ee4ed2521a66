"""Fourth stage for another hall: the relay crosses a link, and what became of it comes back as its ending."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.clock import Clock, Timers
from cresstray.observability.counters import Counters
from cresstray.pipeline.dispatch import Send
from cresstray.pipeline.request_context import Errand
from cresstray.pipeline.response import Back
from cresstray.policy.types import Ending, Engine, Relay, Standing
from cresstray.sites.ledger import Crossing, Outcome
from cresstray.sites.outbound import Outward

if TYPE_CHECKING:
    from cresstray.pipeline.idempotency_checks import Marked


class Across:
    """The keeper of all crossings. Each link is one engine to the module, whose `far` is the way to it."""

    def __init__(self, clock: Clock, timers: Timers, counters: Counters, back: Back, send: Send) -> None:
        self._clock, self._timers, self._counters = clock, timers, counters
        self._back, self._send = back, send
        self.marked: Marked | None = None  # where marks are kept in a store
        self._engines: dict[Outward, Engine] = {}
        self._links: dict[Engine, Outward] = {}

    def add(self, link: Outward) -> None:
        # No zone or cell of this hall: what may have run there is not sent again to a part of this hall only.
        engine = Engine(zone=-1 - len(self._engines), cell=-1 - len(self._engines), far=link.way)
        self._engines[link], self._links[engine] = engine, link

    def send(self, relay: Relay, errand: Errand, patience: int) -> None:
        if self._back.client_has_left(relay.submission):
            self._send.end_unsent(relay)
            return
        crossing = self._links[relay.engine].offer(relay, errand.query, self._clock.now())
        self._back.out[relay] = crossing
        if self.marked is not None:
            self.marked.sent(relay.submission)
        crossing.due = self._timers.after(patience, lambda _: self._send.give_up(relay, Ending.TIMED_OUT))

    def ended(self, crossing: Crossing, outcome: Outcome, sent: bool, result: bytes | None) -> None:
        relay = crossing.relay
        if self._back.out.get(relay) is not crossing:
            return  # its time was over before
        if outcome is Outcome.SERVED:
            ending = Ending.FULFILLED
        elif outcome is Outcome.UNRUN:
            # Sent and full is the far engine's word; not sent at all, no engine has seen it.
            ending = Ending.FULL if sent else Ending.MOOT
        elif crossing.withdrawn:
            ending = Ending.WITHDRAWN
        else:
            ending = Ending.ERROR if outcome is Outcome.RAN else Ending.RESET
        now = self._clock.now()
        travel = min(crossing.link.way.health.round_trip(now), (now - relay.sent) // 2)
        self._back.ended(crossing, ending, result=result, travel=travel)

    def hopeless(self, crossing: Crossing) -> None:
        self._back.gateway.hopeless(crossing.relay, self._clock.now())

    def room_told(self, link: Outward) -> None:
        self._back.gateway.hall_has_room(self._engines[link], self._clock.now())

    def standing(self, link: Outward, ready: bool) -> None:
        self._back.gateway.hall_listed(
            self._engines[link],
            link.way.cores,
            Standing.READY if ready else Standing.DRAINING,
            self._clock.now(),
        )
