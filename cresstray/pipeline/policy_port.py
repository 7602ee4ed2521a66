"""The module's port on sockets: each thing it asks for is one straight call on a stage."""

from __future__ import annotations

from collections.abc import Callable

from cresstray.clock import Timers
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.pipeline.accounting import RequestAccounting
from cresstray.pipeline.dispatch import Dispatcher
from cresstray.pipeline.routing import Router
from cresstray.policy.types import Attempt, Engine, Request


class SocketPort:
    def __init__(
        self,
        route: Router,
        send: Dispatcher,
        book: RequestAccounting,
        timers: Timers,
        counters: Counters,
        log: Log,
    ) -> None:
        self._route, self._send, self._book = route, send, book
        self._timers, self._counters, self._log = timers, counters, log

    def send_attempt(self, attempt: Attempt, patience: int) -> None:
        self._route.route(attempt, self._book.open, patience)

    def cancel_attempt(self, attempt: Attempt) -> None:
        self._send.cancel(attempt)

    def reject_request(self, request: Request, come_back: int) -> None:
        self._book.reject(request, come_back)

    def fail_request(self, request: Request) -> None:
        self._book.fail(request)

    def call_later(self, delay: int, call: Callable[[int], None]) -> None:
        self._timers.call_after(delay, call)

    def log_event(self, text: str) -> None:
        self._log.log("policy", text)

    def assign_resources(self, request: Request, megabytes: float, priority: int) -> None:
        # The engines' protocol has no field for either.
        self._counters.add("resource grants not sent")

    def probe_engine(self, engine: Engine) -> None:
        self._counters.add("connection probes not sent")

    def subscribe_to_endpoints(self) -> None:
        """The coordinator's feed is followed all the time."""
