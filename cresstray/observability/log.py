"""Log lines for operators on standard error, rate-limited by kind."""

from __future__ import annotations

import sys

from cresstray.clock import Clock
from cresstray.observability.rate_limit import LineRateLimit


class Log:
    """Prints lines of the form `TIME NAME KIND: TEXT`, the time being Unix time in seconds."""

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._rate_limit = LineRateLimit()

    def log(self, kind: str, text: str) -> None:
        """Prints a line, unless too many of this kind have come; a later one says how many were left out."""
        decision = self._rate_limit.decide(kind, self._clock.now())
        if decision.left_out:
            self._print(kind, f"{decision.left_out} more lines were left out")
        if decision.is_allowed:
            self._print(kind, text)

    def log_always(self, kind: str, text: str) -> None:
        """Prints a line that was asked for, however many there are."""
        self._print(kind, text)

    def _print(self, kind: str, text: str) -> None:
        print(f"{self._clock.now() / 1e6:.3f} {self._name} {kind}: {text}", file=sys.stderr, flush=True)
