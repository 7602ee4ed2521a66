"""Lines for the operators on standard error, rate-limited by kind."""

from __future__ import annotations

import sys

from cresstray.clock import Clock


class Log:
    def __init__(self, name: str, clock: Clock) -> None:
        self._name, self._clock = name, clock
        self._second: dict[str, int] = {}
        self._said: dict[str, int] = {}

    def log(self, kind: str, text: str) -> None:
        """Prints a line, unless this kind had its lines of this second; the next tells how many it lost."""
        second = self._clock.now() // 1_000_000
        if self._second.get(kind) != second:
            # Five a second tell what happens; a flood of one kind must not cost the core it reports on.
            left_out = max(0, self._said.get(kind, 0) - 5)
            self._second[kind], self._said[kind] = second, 0
            if left_out:
                self._print(kind, f"{left_out} more lines were left out")
        self._said[kind] += 1
        if self._said[kind] <= 5:
            self._print(kind, text)

    def log_always(self, kind: str, text: str) -> None:
        """Prints a line that was asked for, however many there are."""
        self._print(kind, text)

    def _print(self, kind: str, text: str) -> None:
        print(f"{self._clock.now() / 1e6:.3f} {self._name} {kind}: {text}", file=sys.stderr, flush=True)
