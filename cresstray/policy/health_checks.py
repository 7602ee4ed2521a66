"""Health checks, sent where engines report their load only in response to one."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cresstray.policy.types import Engine

# Health checks at a fixed rate from many gateways would cost more than their reports are worth, so a gateway
# sends one for every two requests that it accepts.
CHECKS_PER_REQUEST = 0.5
# The budget holds one check, and one more for this many ready engines.
ENGINES_PER_SAVED_CHECK = 5


class HealthCheckSchedule:
    """The budget of health checks, and the engine that is checked next."""

    __slots__ = ("_budget", "_last_index")

    def __init__(self) -> None:
        self._budget = 0.0
        self._last_index = 0

    def on_accepted(self, engine_count: int) -> None:
        """Adds to the budget for an accepted request."""
        max_budget = 1 + engine_count / ENGINES_PER_SAVED_CHECK
        self._budget = min(self._budget + CHECKS_PER_REQUEST, max_budget)

    def take_engines_to_check(self, ready_engines: Sequence[Engine]) -> Iterator[Engine]:
        """Spends the budget: yields the engines to check, round robin, each about twice a second."""
        while self._budget >= 1 and ready_engines:
            self._budget -= 1
            self._last_index = (self._last_index + 1) % len(ready_engines)
            yield ready_engines[self._last_index]
