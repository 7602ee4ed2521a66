"""The policy's port on the pipeline: each of its decisions is one direct call on a stage."""

from __future__ import annotations

from collections.abc import Callable

from cresstray.clock import Timers
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.pipeline.accounting import RequestAccounting
from cresstray.pipeline.dispatch import Dispatcher
from cresstray.pipeline.routing import Router
from cresstray.policy.ports import PolicyPort
from cresstray.policy.types import Attempt, Engine, Request


class PipelinePolicyPort(PolicyPort):
    """Carries out what the policy decides. Outcomes come back by later calls, never within one of these."""

    def __init__(
        self,
        router: Router,
        dispatcher: Dispatcher,
        accounting: RequestAccounting,
        timers: Timers,
        counters: Counters,
        log: Log,
    ) -> None:
        self._router = router
        self._dispatcher = dispatcher
        self._accounting = accounting
        self._timers = timers
        self._counters = counters
        self._log = log

    def send_attempt(self, attempt: Attempt, timeout_us: int) -> None:
        """Sends the attempt; it ends as timed out after `timeout_us`."""
        self._router.route(attempt, self._accounting.open_requests, timeout_us)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancels an attempt in flight."""
        self._dispatcher.cancel(attempt)

    def reject_request(self, request: Request, retry_after_us: int) -> None:
        """Rejects the request and says when it may be retried."""
        self._accounting.reject(request, retry_after_us)

    def fail_request(self, request: Request) -> None:
        """Fails a request that may have run."""
        self._accounting.fail(request)

    def call_later(self, delay_us: int, call: Callable[[int], None]) -> None:
        """Calls `call` with the time after `delay_us`."""
        self._timers.call_after(delay_us, call)

    def log_event(self, text: str) -> None:
        """Prints a line for operators."""
        self._log.log("policy", text)

    def assign_resources(self, request: Request, memory_mb: float, priority: int) -> None:
        """Only counted: the engines' protocol has no field for memory or priority."""
        self._counters.add("resource grants not sent")

    def probe_engine(self, engine: Engine) -> None:
        """Only counted: the engines' protocol has no connection probe."""
        self._counters.add("connection probes not sent")

    def subscribe_to_endpoints(self) -> None:
        """Does nothing: the endpoint watch is always on."""
