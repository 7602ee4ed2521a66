"""Limits the reads that fall back from replicas to primaries over the whole fleet.

Without the limit, primaries would be overloaded when all replicas lag.
"""

from __future__ import annotations

from collections.abc import Callable

# The part of a primary's cores that fallback reads may use. Its own work was placed without regard to them; a
# well-filled engine has a tenth to spare, and all gateways use it at once when replicas lag for one reason.
FALLBACK_SHARE = 0.1
# An unused quota is kept this long, as reads come in bursts.
FALLBACK_WINDOW_US = 1_000_000
# Entries are removed beyond this number, once their quota is available again: primaries keep changing for as
# long as the process runs.
_MAX_PRIMARIES = 1024


class FallbackQuota:
    """This gateway's part of the fleet's quota for fallback reads.

    In any `t` microseconds the fleet sends a primary fallback reads of at most
    `FALLBACK_SHARE * cores * (t + FALLBACK_WINDOW_US)` microseconds of threads, where a single read that is
    larger than a gateway's part of the window replaces FALLBACK_WINDOW_US.
    """

    def __init__(self, random_fraction: Callable[[], float]) -> None:
        self._random_fraction = random_fraction
        self._used_until_us: dict[str, float] = {}  # by primary: until when its quota is used up
        self._draws: dict[str, tuple[int, float]] = {}  # by primary: the window and the number drawn for it

    def admits(
        self, primary: str, thread_time_us: int, cores: float, gateway_count: int, now_us: int
    ) -> bool:
        """Returns whether a read may fall back; `gateway_count`: gateways in force."""
        if gateway_count <= 0 or cores <= 0:
            return False
        # For this long the read uses up this gateway's part.
        duration_us = thread_time_us * gateway_count / (FALLBACK_SHARE * cores)
        owed_us = max(0.0, self._used_until_us.get(primary, 0.0) - now_us)
        if duration_us <= FALLBACK_WINDOW_US:
            return owed_us + duration_us <= FALLBACK_WINDOW_US
        # Reads larger than a gateway's part come from all gateways at once when all replicas lag. One random
        # number per window and gateway admits as much work, summed over the fleet, as the parts allow.
        return owed_us == 0 and self._draw(primary, now_us) * duration_us < FALLBACK_WINDOW_US

    def _draw(self, primary: str, now_us: int) -> float:
        window = now_us // FALLBACK_WINDOW_US
        if self._draws.get(primary, (-1,))[0] != window:
            if len(self._draws) >= _MAX_PRIMARIES:
                self._draws.clear()
            self._draws[primary] = (window, self._random_fraction())
        return self._draws[primary][1]

    def charge(
        self, primary: str, thread_time_us: int, cores: float, gateway_count: int, now_us: int
    ) -> None:
        """Charges a read that was sent, or the time by which it exceeded what was charged."""
        if gateway_count <= 0 or cores <= 0:
            return
        if len(self._used_until_us) >= _MAX_PRIMARIES and primary not in self._used_until_us:
            self._used_until_us = {
                name: until_us for name, until_us in self._used_until_us.items() if until_us > now_us
            }
        self._used_until_us[primary] = max(
            now_us, self._used_until_us.get(primary, 0.0)
        ) + thread_time_us * gateway_count / (FALLBACK_SHARE * cores)
