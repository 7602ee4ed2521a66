"""Fifth stage, on the way back: an engine's answers become the one ending of a relay."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.clock import Clock
from cresstray.engines import codec
from cresstray.engines.in_flight import Exchange
from cresstray.engines.result_pages import Pages
from cresstray.observability.counters import Counters
from cresstray.pipeline.accounting import Book
from cresstray.policy.controller import Gateway
from cresstray.policy.types import Ending, Relay, Standing, Submission

if TYPE_CHECKING:
    from cresstray.membership.recovery import Keep
    from cresstray.pipeline.idempotency_checks import Marked
    from cresstray.pipeline.replica_reads import Pinned

# A client is asked again whether it is there for what came longer ago; what is sent at once costs no call.
_FRESH = 20_000
_ENDINGS = {b"overload": Ending.FULL, b"crashed": Ending.ERROR, b"nobody": Ending.MOOT}


class Back:
    """The keeper of all exchanges with engines."""

    def __init__(self, clock: Clock, counters: Counters, book: Book) -> None:
        self._clock, self._counters, self._book = clock, counters, book
        self.gateway: Gateway | None = None
        self.pinned: Pinned | None = None  # where the fleet's rules place shards
        self.keep: Keep | None = None  # where a list is kept on disk
        self.marked: Marked | None = None  # where marks are kept in a store
        self.out: dict[Relay, Exchange] = {}
        self._reports: dict[Relay, dict[str, float]] = {}  # told with a first page, for the relay's end

    def answered(self, exchange: Exchange, answer: codec.Answer) -> bool:
        """Whether it belongs to what is still awaited."""
        relay = exchange.relay
        if answer.word == b"served" and exchange.pages is None:
            exchange.pages = Pages(answer.pages, answer.body)
            self._reports[relay] = answer.report
            if answer.pages > 1:
                # All at once: a round trip for each would hold the permit and the client that much longer.
                exchange.link.send(codec.next_pages(exchange.name, answer.pages))
        elif answer.word == b"rows" and exchange.pages is not None:
            if not exchange.pages.add(answer.page, answer.body):
                return False
        elif answer.word in _ENDINGS and not (exchange.pages and answer.word != b"crashed"):
            if exchange.pages is None:
                exchange.link.finish(exchange)
            else:
                exchange.link.give_up(exchange)  # answers to the other pages may still come
            self.ended(exchange, _ENDINGS[answer.word], answer.report)
            return True
        else:
            return False
        result = exchange.pages.whole()
        if result is not None:
            exchange.link.finish(exchange)
            self.ended(exchange, Ending.FULFILLED, self._reports[relay], result)
        return True

    def unreached(self, exchange: Exchange) -> None:
        self.ended(exchange, Ending.UNREACHABLE)

    def cut(self, exchange: Exchange, spoilt: bool) -> None:
        # Danger: part of its bytes may have gone out; it may have run.
        self.ended(exchange, Ending.SPOILT if spoilt else Ending.RESET)

    def may_leave(self, exchange: Exchange) -> bool:
        """Whether what was decided when it was handed over still holds."""
        relay = exchange.relay
        if relay.submission.ended or relay.called_off or relay.engine.standing is not Standing.READY:
            return False
        over = exchange.until is not None and self._clock.now() >= exchange.until
        return not over and not self.client_has_left(relay.submission)

    def leaves(self, exchange: Exchange) -> None:
        self.gateway.leaves(exchange.relay, self._clock.now())

    def client_has_left(self, submission: Submission) -> bool:
        """Whether it has gone, before its connection was read that far."""
        if self._clock.now() - submission.arrived < _FRESH:
            return False
        errand = self._book.open.get(submission)
        return errand is not None and not errand.answered and errand.asker.has_left()

    def unsent(self, exchange: Exchange) -> None:
        """Nothing of it has left, and nothing may any more."""
        submission = exchange.relay.submission
        if self.client_has_left(submission):
            self._book.left(self._book.open[submission])
            self.gateway.client_left(submission, self._clock.now())
        self.ended(exchange, Ending.MOOT)

    def ended(
        self,
        exchange: Exchange,
        ending: Ending,
        report: dict[str, float] | None = None,
        result: bytes | None = None,
        travel: int = 0,
    ) -> None:
        """Books the ending, answers the client if that was the result, and tells the module.

        `travel`: microseconds between halls, which say nothing about how long the work takes.
        """
        relay, submission, now = exchange.relay, exchange.relay.submission, self._clock.now()
        exchange.due.cancel()
        del self.out[relay]
        self._reports.pop(relay, None)
        self._book.relay_ended(ending)
        if submission.foreign:
            self._book.tell_far(submission, ending)
        if self.pinned is not None:
            self.pinned.came_back(relay, report, now)
        if self.keep is not None:
            self.keep.ended(relay, ending, now)
        if self.marked is not None:
            self.marked.relay_ended(relay, ending, now)
        no_more = submission.ended
        if ending is Ending.FULFILLED and not no_more:
            self._book.fulfil(submission, result)
            no_more = True
        self.gateway.came_back(relay, ending, now - relay.sent - travel, no_more, report or {}, now)
        self._book.settle(submission)
