"""The module's port on sockets: each thing it asks for is one straight call on a stage."""

from __future__ import annotations

from collections.abc import Callable

from cresstray.clock import Timers
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.pipeline.accounting import Book
from cresstray.pipeline.dispatch import Send
from cresstray.pipeline.routing import Route
from cresstray.policy.types import Engine, Relay, Submission


class SocketPort:
    def __init__(
        self, route: Route, send: Send, book: Book, timers: Timers, counters: Counters, log: Log
    ) -> None:
        self._route, self._send, self._book = route, send, book
        self._timers, self._counters, self._log = timers, counters, log

    def relay(self, relay: Relay, patience: int) -> None:
        self._route.route(relay, self._book.open, patience)

    def withdraw(self, relay: Relay) -> None:
        self._send.withdraw(relay)

    def deny(self, submission: Submission, come_back: int) -> None:
        self._book.deny(submission, come_back)

    def abandon(self, submission: Submission) -> None:
        self._book.abandon(submission)

    def wake(self, delay: int, call: Callable[[int], None]) -> None:
        self._timers.after(delay, call)

    def remark(self, text: str) -> None:
        self._log.say("module", text)

    def grant(self, submission: Submission, megabytes: float, priority: int) -> None:
        # The engines' protocol has no field for either.
        self._counters.add("grants left unsaid")

    def probe(self, engine: Engine) -> None:
        self._counters.add("probes left unsaid")

    def subscribe(self) -> None:
        """The coordinator's feed is followed all the time."""
