"""What falls back from copies to primaries, bounded over the fleet: no primary falls as all copies lag."""

from __future__ import annotations

from collections.abc import Callable

# Of a primary's cores. Its own work was placed to fit without this; a tenth is what a well-filled engine
# spares, and all gateways take it at once when copies lag for the same reason.
SHARE = 0.1
# What was not used is kept for so long: reads come in clumps.
WINDOW = 1_000_000
# Danger: primaries come and go for days. What is paid back is forgotten beyond so many.
_MOST = 1024


class Share:
    """This gateway's part. In any `t` us the fleet sends a primary at most SHARE * cores * (t + WINDOW)
    microseconds of threads, and a read that is wider than a gateway's part of a window instead of WINDOW."""

    def __init__(self, chance: Callable[[], float]) -> None:
        self._chance = chance
        self._paid: dict[str, float] = {}  # of each primary: until when its share is used up
        self._draws: dict[str, tuple[int, float]] = {}

    def admits(self, primary: str, cost: int, cores: float, gateways: int, now: int) -> bool:
        """Whether a read of `cost` microseconds of threads may fall back; `gateways`: those in force."""
        if gateways <= 0 or cores <= 0:
            return False
        takes = cost * gateways / (SHARE * cores)  # for so long it uses up this gateway's part
        owed = max(0.0, self._paid.get(primary, 0.0) - now)
        if takes <= WINDOW:
            return owed + takes <= WINDOW
        # Danger: reads wider than a gateway's part come from all gateways at once when all copies lag. A draw
        # a window for each lets as much work through as its part is, summed over the fleet.
        return owed == 0 and self._draw(primary, now) * takes < WINDOW

    def _draw(self, primary: str, now: int) -> float:
        window = now // WINDOW
        if self._draws.get(primary, (-1,))[0] != window:
            if len(self._draws) >= _MOST:
                self._draws.clear()
            self._draws[primary] = (window, self._chance())
        return self._draws[primary][1]

    def charge(self, primary: str, cost: int, cores: float, gateways: int, now: int) -> None:
        """Sent; or it took so much more than was charged."""
        if gateways <= 0 or cores <= 0:
            return
        if len(self._paid) >= _MOST and primary not in self._paid:
            self._paid = {one: until for one, until in self._paid.items() if until > now}
        self._paid[primary] = max(now, self._paid.get(primary, 0.0)) + cost * gateways / (SHARE * cores)
