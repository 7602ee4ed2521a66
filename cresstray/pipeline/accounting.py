"""Last stage, and the first on the way back: counts, and the one answer that each submission gets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.observability.counters import Counters
from cresstray.pipeline.request_context import RequestContext
from cresstray.policy import deadlines
from cresstray.policy.types import Outcome, Request

if TYPE_CHECKING:
    from cresstray.pipeline.idempotency_checks import IdempotencyChecks


class RequestAccounting:
    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self.idempotency: IdempotencyChecks | None = None  # where marks are kept in a store
        self.open: dict[Request, RequestContext] = {}  # until answered and nothing of it is out

    def open_request(self, context: RequestContext) -> None:
        self.open[context.request] = context
        context.responder.open[context.number] = context
        self._counters.add("requests accepted")

    def unanswered_count(self) -> int:
        """How many still wait for their answer."""
        return sum(not context.is_answered for context in self.open.values())

    def limit_deadlines(self, last_stop: int) -> None:
        """The gateway ends then: that is a hard stop for all that is open."""
        for request in self.open:
            deadlines.limit_deadline(request, last_stop)

    def succeed(self, request: Request, result: bytes) -> None:
        context = self._answer(request, "succeeded")
        if context is not None:
            read = request.replica_read
            context.responder.succeed(context.number, result, read.at() if read is not None else None)
            self._tell(request, "succeeded", result)

    def reject(self, request: Request, come_back: int) -> None:
        context = self._answer(request, "rejected")
        if context is not None:
            context.responder.reject(context.number, come_back)
            self._tell(request, "rejected")

    def fail(self, request: Request) -> None:
        context = self._answer(request, "failed")
        if context is not None:
            context.responder.fail(context.number)
            self._tell(request, "failed")

    def on_client_left(self, context: RequestContext) -> None:
        """Nothing is owed any more."""
        context.is_answered = True
        del context.responder.open[context.number]
        self._counters.add("requests cancelled")
        self._tell(context.request, "left")

    def _tell(self, request: Request, how: str, result: bytes | None = None) -> None:
        """Behind the answer, which waits for no mark."""
        if self.idempotency is not None:
            self.idempotency.on_request_finished(request, how, result)

    def _answer(self, request: Request, how: str) -> RequestContext | None:
        context = self.open.get(request)
        self._counters.check(context is not None, "an answer belongs to an open submission")
        if context is None:
            return None
        self._counters.check(not context.is_answered, "a submission is answered once")
        if context.is_answered:
            return None
        context.is_answered = True
        self._counters.add(f"requests {how}")
        self.release(request)
        return context

    def count_attempt(self, ending: Outcome) -> None:
        self._counters.add(f"attempts {ending.value}")

    def notify_remote(self, request: Request, ending: Outcome) -> None:
        """Who asked from another hall must know whether its relay ran, whatever the answer is."""
        context = self.open.get(request)
        if context is not None:
            context.responder.on_attempt_finished(context.number, ending)

    def release(self, request: Request) -> None:
        """Forgets what is answered and has nothing out."""
        context = self.open.get(request)
        if context is not None and context.is_answered and request.current_attempt is None:
            del self.open[request]
            # Danger: relays and submissions point to each other; what only the collector frees costs pauses.
            request.attempts.clear()
