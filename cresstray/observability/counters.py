"""Counts of what the gateway accepts, sends and answers, and of violations of what must hold."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counters by name, and the violations of invariants by theirs."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Adds to the counter of this name."""
        self.counts[name] += amount

    def check(self, holds: object, name: str) -> None:
        """Asserts an invariant in debug builds, and counts its violations in release builds (python -O)."""
        assert holds, name
        if not holds:
            self.violations[name] += 1

    def lines(self) -> list[str]:
        """Returns one line for each counter, those of violations last."""
        counts = [f"{name} {amount}" for name, amount in sorted(self.counts.items())]
        return counts + [f"broken: {name} {amount}" for name, amount in sorted(self.violations.items())]
