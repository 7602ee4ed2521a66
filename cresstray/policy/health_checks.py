"""Health checks, sent where engines report their load only then."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cresstray.policy.types import Engine

# Health checks at a fixed rate, of many gateways, cost more than they tell: one for two accepted requests.
CHECKS_PER_REQUEST = 0.5
# Checks that may be saved up, beside one: one for so many ready engines.
ENGINES_PER_SAVED_CHECK = 5


class HealthCheckSchedule:
    """The budget of health checks, and which engine is next."""

    __slots__ = ("_budget", "_last")

    def __init__(self) -> None:
        self._budget = 0.0
        self._last = 0

    def on_accepted(self, engine_count: int) -> None:
        """Earns a part of a health check for an accepted request."""
        max_budget = 1 + engine_count / ENGINES_PER_SAVED_CHECK
        self._budget = min(self._budget + CHECKS_PER_REQUEST, max_budget)

    def due(self, ready_engines: Sequence[Engine]) -> Iterator[Engine]:
        """Yields the engines to check: one after the other, each about twice a second."""
        while self._budget >= 1 and ready_engines:
            self._budget -= 1
            self._last = (self._last + 1) % len(ready_engines)
            yield ready_engines[self._last]
