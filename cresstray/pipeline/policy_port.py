"""The port through which the policy calls the pipeline: each decision is one direct call of a stage."""

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
    """Carries out the policy's decisions. Outcomes follow in later callbacks, never within these calls."""

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
        """Sends the attempt; it times out after `timeout_us`."""
        self._router.route(attempt, self._accounting.open_requests, timeout_us)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancels an attempt in flight."""
        self._dispatcher.cancel(attempt)

    def reject_request(self, request: Request, retry_after_us: int) -> None:
        """Rejects the request; the client may retry it after `retry_after_us`."""
        self._accounting.reject(request, retry_after_us)

    def fail_request(self, request: Request) -> None:
        """Fails a request that may have run."""
        self._accounting.fail(request)

    def call_later(self, delay_us: int, callback: Callable[[int], None]) -> None:
        """Calls `callback` with the time after `delay_us`."""
        self._timers.call_after(delay_us, callback)

    def log_event(self, text: str) -> None:
        """Prints a line for operators."""
        self._log.log("policy", text)

    def assign_resources(self, request: Request, memory_mb: float, priority: int) -> None:
        """Only counts the call: the engine protocol has no field for memory or priority."""
        self._counters.add("resource grants not sent")

    def probe_engine(self, engine: Engine) -> None:
        """Only counts the call: the engine protocol has no connection probe."""
        self._counters.add("connection probes not sent")

    def subscribe_to_endpoints(self) -> None:
        """Does nothing: the endpoint watch is always on."""
