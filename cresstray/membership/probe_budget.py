"""How many remembered engines are asked at once whether they are there, and when one is asked again."""

from __future__ import annotations

from collections.abc import Callable

from cresstray.membership.confidence import SECOND_US

# A connection costs an engine some ten microseconds: of 200 gateways at once two milliseconds, once.
# Even where all of 500 are gone each is asked within seven seconds, ten rounds a second.
_LEAST, _MOST = 8, 64
# Refused by half of a list that is a week old, the others are still found in a few rounds.
_WELL, _BADLY = 1.0, -0.5
# A failed one is asked again after so long, doubled each time, and drawn from half of it on, so that gateways
# that found it dead together don't come back together.
_PAUSE, _LONGEST = SECOND_US // 2, 30 * SECOND_US


class ProbeBudget:
    """Trials that may be out at once: of an old list few at first, doubled in a round that goes well."""

    def __init__(self) -> None:
        self.size = float(_LEAST)
        self.in_flight: dict[int, int] = {}  # engine, and since when

    def open(self, engines: int, trust: float) -> None:
        # A quarter of a list that was written just now at once: its engines are there. Of an old one fewer.
        self.size = min(_MOST, max(self.size, engines * trust / 4))

    def available(self) -> int:
        return max(0, int(self.size) - len(self.in_flight))

    def on_started(self, engine: int, now: int) -> None:
        self.in_flight[engine] = now

    def on_finished(self, engine: int, well: bool) -> None:
        if self.in_flight.pop(engine, None) is not None:
            self.size = min(_MOST, max(_LEAST, self.size + (_WELL if well else _BADLY)))


def retry_delay_us(failed: int, chance: Callable[[], float]) -> int:
    """Microseconds to the next trial after so many failed ones."""
    return int(min(_LONGEST, _PAUSE << min(failed - 1, 6)) * (0.5 + 0.5 * chance()))
