"""The admission queue: first attempts by value for their work, retries behind them, turns by ordering key."""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from cresstray.policy.deadlines import DEADLINE_MARGIN_US
from cresstray.policy.types import STARVED_RANK

if TYPE_CHECKING:
    from cresstray.policy.types import Engine, Request, RequestClass

# A request may wait until it can no longer be answered within its objective, or for this part of its time.
MIN_WAIT_PART = 10
# How many requests a freed permit is offered to.
MAX_OFFERED = 64
# A class of which so many requests went without an attempt may be starved.
MIN_NEVER_DISPATCHED = 2


class OrderingKeyQueues:
    """The turns of requests with an ordering key: they run one after another, as they were accepted."""

    __slots__ = ("queues", "blocked_until_us")

    def __init__(self) -> None:
        self.queues: dict[int, deque[Request]] = {}
        self.blocked_until_us: dict[
            int, int
        ] = {}  # by key: until then an attempt that has ended may still run

    def enqueue(self, request: Request) -> None:
        """Lets an accepted request wait for its turn."""
        if request.request_class.is_ordered and request.ordering_key:
            self.queues.setdefault(request.ordering_key, deque()).append(request)

    def may_run(self, request: Request, now_us: int) -> bool:
        """Returns whether the request may run now."""
        if not (request.request_class.is_ordered and request.ordering_key):
            return True
        if not request.attempts and now_us < self.blocked_until_us.get(request.ordering_key, 0):
            return False
        return self.queues[request.ordering_key][0] is request

    def release(self, request: Request) -> None:
        """Ends the turn of a request, once it has finished and its attempt has ended.

        Released with its attempt in flight, the next request of the key would run beside it.
        """
        queue = self.queues.get(request.ordering_key) if request.request_class.is_ordered else None
        if queue and request.is_finished and not request.current_attempt and request in queue:
            queue.remove(request)
            if not queue:
                del self.queues[request.ordering_key]

    def block(self, request: Request, until_us: int) -> None:
        """Keeps the next request of the key waiting, as an attempt of this one may still run."""
        if request.request_class.is_ordered and request.ordering_key:
            self.blocked_until_us[request.ordering_key] = until_us

    def drop_expired_blocks(self, now_us: int) -> None:
        """Drops the waits that are over."""
        self.blocked_until_us = {
            key: until_us for key, until_us in self.blocked_until_us.items() if now_us < until_us
        }


class AdmissionQueue:
    """The requests that wait to be sent."""

    __slots__ = ("first_attempts", "retries", "ordering", "_request_classes")

    def __init__(self, request_classes: Sequence[RequestClass]) -> None:
        self.first_attempts: list[Request] = []  # by rank
        self.retries: list[Request] = []  # by rank, and what other sites have forwarded
        self.ordering = OrderingKeyQueues()
        self._request_classes = request_classes

    def schedule(self, request: Request, now_us: int) -> None:
        """Sets a new request's expected latency, its deadlines and its rank."""
        request_class = request.request_class
        expected_us = request_class.latency.expected_us(request)
        objective_us = request_class.latency_objective_us + request_class.objective_stretch * expected_us
        request.expected_latency_us = expected_us
        request.objective_deadline_us = request.arrived_us + int(objective_us)
        min_wait_end_us = now_us + (request.deadline_us - now_us) // MIN_WAIT_PART
        in_time_us = request.objective_deadline_us - 3 * expected_us // 2
        request.latest_dispatch_us = min(
            request.deadline_us - DEADLINE_MARGIN_US, max(min_wait_end_us, in_time_us)
        )
        value_density = request_class.value / (expected_us * request_class.threads)
        request.queue_rank = STARVED_RANK * self._is_starved(request_class, now_us) - value_density
        if request.is_forwarded_in:
            # It gives way to this site's own requests.
            max_queue_us = 0 if self.first_attempts else request.max_queue_us
            request.latest_dispatch_us = min(request.latest_dispatch_us, now_us + max_queue_us)

    def _is_starved(self, request_class: RequestClass, now_us: int) -> bool:
        """Returns whether less than half as much of a class is dispatched as of all.

        While the queue is never empty, the class with the least value for its work would never run.
        """
        dispatched = 0.0
        never_dispatched = 0.0
        own_dispatched = 0.0
        own_never_dispatched = 0.0
        for other in self._request_classes:
            others_dispatched = other.latency.dispatched.upper_bound(now_us)
            others_never_dispatched = other.latency.never_dispatched.upper_bound(now_us)
            dispatched += others_dispatched
            never_dispatched += others_never_dispatched
            if other.index == request_class.index:
                own_dispatched = others_dispatched
                own_never_dispatched = others_never_dispatched
        if own_never_dispatched < MIN_NEVER_DISPATCHED:
            return False
        total = dispatched + never_dispatched
        return 2 * own_dispatched * total < dispatched * (own_dispatched + own_never_dispatched)

    def must_wait(self, request: Request) -> bool:
        """Returns whether the request waits behind others.

        In overload each arrival would try the whole fleet, so it waits behind those of its kind.
        """
        if is_in_retry_queue(request):
            return bool(self.first_attempts)
        request_class = request.request_class
        if request_class.locks_data_set or request_class.is_ordered:
            return False
        kind = request.replica_read or request_class
        return any((queued.replica_read or queued.request_class) is kind for queued in self.first_attempts)

    def push(self, request: Request) -> None:
        """Queues a request by its rank."""
        request.is_queued = True
        queue = self.retries if is_in_retry_queue(request) else self.first_attempts
        insort(queue, request, key=lambda queued: queued.queue_rank)

    def discard(self, request: Request) -> None:
        """Takes a request out of the queue, if it is there."""
        if request.is_queued:
            request.is_queued = False
            queue = self.retries if request in self.retries else self.first_attempts
            queue.remove(request)

    def expired(self, now_us: int) -> list[Request]:
        """Returns the requests whose latest dispatch time has passed."""
        queued = self.first_attempts + self.retries
        return [request for request in queued if now_us >= request.latest_dispatch_us]

    def dispatch(
        self, now_us: int, freed: Engine | None, try_send: Callable[[Request, int, Engine | None], bool]
    ) -> None:
        """Sends what can be sent: on the freed engine, or on any.

        To try the whole fleet for each response is too slow: a freed permit is offered to the first requests
        only, the others wait for the sweep. Of thousands queued, one that can't be sent speaks for its kind.
        """
        for queue in (self.first_attempts, self.retries):
            refused_kinds = set()
            for request in queue[:MAX_OFFERED] if freed else list(queue):
                kind = request.replica_read or request.request_class
                if kind in refused_kinds or not self.ordering.may_run(request, now_us):
                    continue
                if not try_send(request, now_us, freed):
                    refused_kinds.add(kind)


def is_in_retry_queue(request: Request) -> bool:
    """Returns whether a request, if it has to wait, waits behind all first attempts."""
    return request.is_forwarded_in or bool(request.attempts)
