"""Log lines for operators on standard error, rate-limited by kind."""

from __future__ import annotations

import sys

from cresstray.clock import Clock
from cresstray.observability.rate_limit import LineRateLimit


class Log:
    """Prints lines of the form `TIME NAME KIND: TEXT`, where TIME is Unix time in seconds."""

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._rate_limit = LineRateLimit()

    def log(self, kind: str, text: str) -> None:
        """Prints a line, unless the rate limit of its kind is exceeded; reports suppressed lines later."""
        decision = self._rate_limit.decide(kind, self._clock.now())
        if decision.suppressed_count:
            self._print(kind, f"{decision.suppressed_count} more lines were left out")
        if decision.is_allowed:
            self._print(kind, text)

    def log_always(self, kind: str, text: str) -> None:
        """Prints a line that an operator asked for, without a rate limit."""
        self._print(kind, text)

    def _print(self, kind: str, text: str) -> None:
        print(f"{self._clock.now() / 1e6:.3f} {self._name} {kind}: {text}", file=sys.stderr, flush=True)
