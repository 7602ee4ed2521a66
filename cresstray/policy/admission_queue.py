"""The admission queue: first attempts by value per work, then retries; and the order by ordering key."""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from cresstray.policy.deadlines import DEADLINE_MARGIN_US
from cresstray.policy.types import STARVED_RANK

if TYPE_CHECKING:
    from cresstray.policy.types import Engine, Request, RequestClass

# A request may wait for as long as it can still meet its latency objective, and at least for its time to the
# deadline divided by this.
MIN_WAIT_DIVISOR = 10
# How many queued requests are tried when an engine has a permit again.
MAX_DISPATCH_CANDIDATES = 64
# A class counts as starved only if at least this many of its requests finished without an attempt.
MIN_NEVER_DISPATCHED = 2


class OrderingKeyQueues:
    """Queues of requests with the same ordering key, which run one at a time in the order of arrival."""

    __slots__ = ("queues", "blocked_until_us")

    def __init__(self) -> None:
        self.queues: dict[int, deque[Request]] = {}
        # By key: until then an attempt that has ended may still be running on its engine.
        self.blocked_until_us: dict[int, int] = {}

    def enqueue(self, request: Request) -> None:
        """Adds an accepted request to the queue of its ordering key."""
        if request.request_class.is_ordered and request.ordering_key:
            self.queues.setdefault(request.ordering_key, deque()).append(request)

    def may_run(self, request: Request, now_us: int) -> bool:
        """Returns whether the ordering key, if there is one, allows the request to run now."""
        if not (request.request_class.is_ordered and request.ordering_key):
            return True
        if not request.attempts and now_us < self.blocked_until_us.get(request.ordering_key, 0):
            return False
        return self.queues[request.ordering_key][0] is request

    def release(self, request: Request) -> None:
        """Removes a request from the queue of its key, once it has finished and its attempt has ended.

        If it were removed with its attempt in flight, the next request of the key would run concurrently.
        """
        queue = self.queues.get(request.ordering_key) if request.request_class.is_ordered else None
        if queue and request.is_finished and not request.current_attempt and request in queue:
            queue.remove(request)
            if not queue:
                del self.queues[request.ordering_key]

    def block(self, request: Request, until_us: int) -> None:
        """Blocks the next request of the key for some time, as an attempt of this one may still run."""
        if request.request_class.is_ordered and request.ordering_key:
            self.blocked_until_us[request.ordering_key] = until_us

    def drop_expired_blocks(self, now_us: int) -> None:
        """Drops the blocks of keys that have expired."""
        self.blocked_until_us = {
            key: until_us for key, until_us in self.blocked_until_us.items() if now_us < until_us
        }


class AdmissionQueue:
    """The requests that are waiting to be sent."""

    __slots__ = ("first_attempts", "retries", "ordering", "_request_classes")

    def __init__(self, request_classes: Sequence[RequestClass]) -> None:
        self.first_attempts: list[Request] = []  # by rank
        self.retries: list[Request] = []  # by rank; also requests that other sites have forwarded
        self.ordering = OrderingKeyQueues()
        self._request_classes = request_classes

    def schedule(self, request: Request, now_us: int) -> None:
        """Sets the expected latency, the deadlines and the queue rank of a new request."""
        request_class = request.request_class
        expected_us = request_class.latency.expected_us(request)
        objective_us = request_class.latency_objective_us + request_class.objective_stretch * expected_us
        request.expected_latency_us = expected_us
        request.objective_deadline_us = request.arrived_us + int(objective_us)
        min_wait_end_us = now_us + (request.deadline_us - now_us) // MIN_WAIT_DIVISOR
        objective_dispatch_us = request.objective_deadline_us - 3 * expected_us // 2
        request.latest_dispatch_us = min(
            request.deadline_us - DEADLINE_MARGIN_US, max(min_wait_end_us, objective_dispatch_us)
        )
        value_density = request_class.value / (expected_us * request_class.threads)
        request.queue_rank = STARVED_RANK * self._is_starved(request_class, now_us) - value_density
        if request.is_forwarded_in:
            # Requests of this site come first, so a forwarded one may wait only if none of them is queued.
            max_queue_us = 0 if self.first_attempts else request.max_queue_us
            request.latest_dispatch_us = min(request.latest_dispatch_us, now_us + max_queue_us)

    def _is_starved(self, request_class: RequestClass, now_us: int) -> bool:
        """Returns whether the dispatched fraction of a class is less than half of that of all classes.

        Without this rule the class with the least value per work would never run while the queue is not
        empty.
        """
        dispatched = 0.0
        never_dispatched = 0.0
        class_dispatched = 0.0
        class_never_dispatched = 0.0
        for other in self._request_classes:
            other_dispatched = other.latency.dispatched.upper_bound(now_us)
            other_never_dispatched = other.latency.never_dispatched.upper_bound(now_us)
            dispatched += other_dispatched
            never_dispatched += other_never_dispatched
            if other.index == request_class.index:
                class_dispatched = other_dispatched
                class_never_dispatched = other_never_dispatched
        if class_never_dispatched < MIN_NEVER_DISPATCHED:
            return False
        total = dispatched + never_dispatched
        return 2 * class_dispatched * total < dispatched * (class_dispatched + class_never_dispatched)

    def must_wait(self, request: Request) -> bool:
        """Returns whether the request has to wait behind queued requests.

        In overload each arrival would try all engines, so it waits behind queued requests of the same kind.
        """
        if is_in_retry_queue(request):
            return bool(self.first_attempts)
        request_class = request.request_class
        if request_class.locks_data_set or request_class.is_ordered:
            return False
        kind = request.replica_read or request_class
        return any((queued.replica_read or queued.request_class) is kind for queued in self.first_attempts)

    def push(self, request: Request) -> None:
        """Inserts a request into its queue by rank."""
        request.is_queued = True
        queue = self.retries if is_in_retry_queue(request) else self.first_attempts
        insort(queue, request, key=lambda queued: queued.queue_rank)

    def discard(self, request: Request) -> None:
        """Removes a request from its queue, if it is queued."""
        if request.is_queued:
            request.is_queued = False
            queue = self.retries if request in self.retries else self.first_attempts
            queue.remove(request)

    def expired(self, now_us: int) -> list[Request]:
        """Returns the requests whose latest dispatch time has passed."""
        queued = self.first_attempts + self.retries
        return [request for request in queued if now_us >= request.latest_dispatch_us]

    def dispatch(
        self,
        now_us: int,
        freed_engine: Engine | None,
        try_send: Callable[[Request, int, Engine | None], bool],
    ) -> None:
        """Sends the queued requests that can be sent, to the freed engine if there is one, otherwise to any.

        Trying all requests on all engines for each response would be too slow. So a freed engine is offered
        to the first requests only, and the others wait for the sweep; and once a request can't be sent, no
        other of its kind is tried.
        """
        for queue in (self.first_attempts, self.retries):
            refused_kinds = set()
            for request in queue[:MAX_DISPATCH_CANDIDATES] if freed_engine else list(queue):
                kind = request.replica_read or request.request_class
                if kind in refused_kinds or not self.ordering.may_run(request, now_us):
                    continue
                if not try_send(request, now_us, freed_engine):
                    refused_kinds.add(kind)


def is_in_retry_queue(request: Request) -> bool:
    """Returns whether a request, if it is queued, waits behind all first attempts."""
    return request.is_forwarded_in or bool(request.attempts)
