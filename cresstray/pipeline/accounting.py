"""Last stage: counters, and the one answer that each request gets."""

from __future__ import annotations

from typing import cast

from cresstray.memory_budget import REQUEST_BYTES, Holding, MemoryBudget
from cresstray.observability.counters import Counters
from cresstray.pipeline.recent_names import RecentNames
from cresstray.pipeline.request_context import IdempotencyHooks, RequestContext, SiteResponder
from cresstray.policy import deadlines
from cresstray.policy.types import Outcome, Request

# The statement is kept as it was received, and in the message to the engine.
_STATEMENT_COPIES = 2
# The part of the process's memory that names of recent requests may take.
_NAMES_SHARE = 0.15


class RequestAccounting:
    """Owns the requests in flight, and the names of these and of recent ones.

    Guarantees at most one answer to each request. A request stays in `open_requests` until it is answered
    and none of its attempts is in flight.
    """

    def __init__(self, counters: Counters, memory: MemoryBudget | None = None) -> None:
        self._counters = counters
        self._memory = memory or MemoryBudget()
        self.idempotency: IdempotencyHooks | None = None  # set where idempotency records are kept in a store
        self.open_requests: dict[Request, RequestContext] = {}
        self.names = RecentNames(lambda: int(self._memory.capacity_bytes * _NAMES_SHARE))

    def open_request(self, context: RequestContext) -> None:
        """Accepts a request: from here on its responder is owed an answer."""
        self.open_requests[context.request] = context
        self.names.open(context.query.name)
        context.responder.open_requests[context.number] = context
        context.held_bytes = REQUEST_BYTES + _STATEMENT_COPIES * len(context.query.statement)
        self._memory.add(Holding.REQUESTS, context.held_bytes)
        self._counters.add("requests accepted")

    def unanswered_count(self) -> int:
        """Returns how many requests still wait for their answer."""
        return sum(not context.is_answered for context in self.open_requests.values())

    def limit_deadlines(self, shutdown_deadline_us: int) -> None:
        """Limits the deadline of each open request to the end of the process."""
        for request in self.open_requests:
            deadlines.limit_deadline(request, shutdown_deadline_us)
        if self.idempotency is not None:
            self.idempotency.on_deadlines_limited()

    def succeed(self, request: Request, result: bytes) -> None:
        """Answers with the result, unless the request was answered before."""
        context = self._answer(request, "succeeded")
        if context is not None:
            read = request.replica_read
            position = read.token() if read is not None else None
            context.responder.succeed(context.number, result, position)
            self._notify_idempotency(request, "succeeded", result)

    def reject(self, request: Request, retry_after_us: int) -> None:
        """Rejects the request, unless it was answered before."""
        context = self._answer(request, "rejected")
        if context is not None:
            context.responder.reject(context.number, retry_after_us)
            self._notify_idempotency(request, "rejected")

    def fail(self, request: Request) -> None:
        """Answers that the request failed and may have run, unless it was answered before."""
        context = self._answer(request, "failed")
        if context is not None:
            context.responder.fail(context.number)
            self._notify_idempotency(request, "failed")

    def on_client_left(self, context: RequestContext) -> None:
        """The client has cancelled the request or disconnected: no answer is owed any more."""
        context.is_answered = True
        del context.responder.open_requests[context.number]
        self._counters.add("requests cancelled")
        self._notify_idempotency(context.request, "left")

    def _notify_idempotency(self, request: Request, final_state: str, result: bytes | None = None) -> None:
        # Called after the answer was sent: the answer must not wait for the store.
        if self.idempotency is not None:
            self.idempotency.on_request_finished(request, final_state, result)

    def _answer(self, request: Request, final_state: str) -> RequestContext | None:
        context = self.open_requests.get(request)
        self._counters.check(context is not None, "an answer belongs to an open request")
        if context is None:
            return None
        self._counters.check(not context.is_answered, "a request is answered once")
        if context.is_answered:
            return None
        context.is_answered = True
        self._counters.add(f"requests {final_state}")
        self.release(request)
        return context

    def count_attempt(self, outcome: Outcome) -> None:
        """Counts an attempt by its outcome."""
        self._counters.add(f"attempts {outcome.value}")

    def notify_remote_site(self, request: Request, outcome: Outcome) -> None:
        """Tells the site that forwarded the request how its attempt ended, whatever the answer will be."""
        context = self.open_requests.get(request)
        if context is not None:
            cast(SiteResponder, context.responder).on_attempt_finished(context.number, outcome)

    def release(self, request: Request) -> None:
        """Forgets a request that is answered and has no attempt in flight."""
        context = self.open_requests.get(request)
        if context is not None and context.is_answered and request.current_attempt is None:
            del self.open_requests[request]
            self.names.close(context.query.name)
            self._memory.add(Holding.REQUESTS, -context.held_bytes)
            # Attempts and requests refer to each other; left to the garbage collector, they cause pauses.
            request.attempts.clear()
