"""Counts of what the gateway takes in, sends and answers, and of what must hold and did not."""

from __future__ import annotations

from collections import Counter


class Counters:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.broken: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        self.counts[name] += amount

    def check(self, holds: object, name: str) -> None:
        """What must hold is asserted in debug builds and counted in release builds (python -O)."""
        assert holds, name
        if not holds:
            self.broken[name] += 1

    def lines(self) -> list[str]:
        told = [f"{name} {amount}" for name, amount in sorted(self.counts.items())]
        return told + [f"broken: {name} {amount}" for name, amount in sorted(self.broken.items())]
