"""Counts what the gateway accepts, sends and answers, and violations of its invariants."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counters by name, and the number of violations of each invariant by its name."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Adds to the counter of this name."""
        self.counts[name] += amount

    def check(self, condition: object, name: str) -> None:
        """Asserts an invariant in debug builds; counts its violations in release builds (python -O)."""
        assert condition, name
        if not condition:
            self.violations[name] += 1

    def lines(self) -> list[str]:
        """Returns one line for each counter, followed by one for each violated invariant."""
        counts = [f"{name} {amount}" for name, amount in sorted(self.counts.items())]
        return counts + [f"broken: {name} {amount}" for name, amount in sorted(self.violations.items())]
