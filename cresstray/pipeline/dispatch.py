"""Fourth stage: the relay goes out on a link, and is given up when its time is over or it is withdrawn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.clock import Clock, Timers
from cresstray.engines import codec
from cresstray.engines.connection import Pool
from cresstray.engines.in_flight import Exchange
from cresstray.observability.counters import Counters
from cresstray.pipeline.request_context import Errand
from cresstray.pipeline.response import Back
from cresstray.policy.controller import REPEAT_MARGIN, UNRUN
from cresstray.policy.types import Ending, Relay

if TYPE_CHECKING:
    from cresstray.pipeline.idempotency_checks import Marked


class Send:
    def __init__(self, clock: Clock, timers: Timers, counters: Counters, back: Back) -> None:
        self._clock, self._timers, self._counters, self._back = clock, timers, counters, back
        self.marked: Marked | None = None  # where marks are kept in a store

    def send(self, relay: Relay, errand: Errand, pool: Pool, patience: int) -> None:
        query, name = errand.query, errand.query.name.encode()
        message = codec.ask(name, query.tariff, max(1, patience // 1000), query.mark, query.statement)
        exchange = Exchange(name, message, self._back, relay)
        exchange.until = self._until(relay, patience)
        if not self._may_begin(exchange):
            self._end_unsent(exchange)
            return
        self._back.out[relay] = exchange
        exchange.due = self._timers.after(patience, lambda _: self.give_up(relay, Ending.TIMED_OUT))
        self._counters.add("relays sent")
        if relay.submission.foreign:
            errand.asker.sent(errand.number)
        if self.marked is not None:
            self.marked.sent(relay.submission)
        pool.start(exchange)

    def _may_begin(self, exchange: Exchange) -> bool:
        submission = exchange.relay.submission
        if self.marked is not None and not self.marked.may_send(submission):
            return False
        # Danger: a process that was stopped in the middle of a turn still decides by the time from before.
        over = self._clock.now() >= exchange.until
        # Danger: what was held, or is sent again, may be nobody's by now.
        return not over and not self._back.client_has_left(submission)

    def _until(self, relay: Relay, patience: int) -> int:
        """From when on nothing of it may leave, however late its connection comes up."""
        submission, until = relay.submission, self._clock.now() + patience
        if submission.tariff.deduplicated:
            for earlier in submission.relays:
                if earlier is not relay and earlier.ending not in UNRUN:
                    until = min(until, earlier.sent + submission.tariff.memory - REPEAT_MARGIN)
        marked = None if self.marked is None else self.marked.until(submission)
        return until if marked is None else min(until, marked)

    def end_unsent(self, relay: Relay) -> None:
        """The relay ends as never sent."""
        self._end_unsent(Exchange(b"", b"", self._back, relay))

    def _end_unsent(self, exchange: Exchange) -> None:
        self._back.out[exchange.relay] = exchange
        # The module hears of it once it has finished what it is about.
        exchange.due = self._timers.after(0, lambda _: self._back.unsent(exchange))

    def withdraw(self, relay: Relay) -> None:
        # The module hears of it once it has finished what it is about.
        self._timers.after(0, lambda _: self.give_up(relay, Ending.WITHDRAWN))

    def give_up_all(self, _now: int) -> None:
        """The time of all that is out is over."""
        for relay in list(self._back.out):
            self.give_up(relay, Ending.TIMED_OUT)

    def give_up(self, relay: Relay, ending: Ending) -> None:
        exchange = self._back.out.get(relay)
        if exchange is not None:
            surely = exchange.link is None or exchange.link.give_up(exchange)
            # Danger: what another hall has runs on until it has heard of it, and may not be relayed
            # meanwhile. At its time limit nothing more is relayed, and the client is owed the answer.
            if surely or ending is Ending.TIMED_OUT:
                # Danger: what never left, as its connection came up late, would be failed though it surely
                # never ran, and its client could not come again.
                self._back.ended(exchange, ending if exchange.written else Ending.MOOT)
