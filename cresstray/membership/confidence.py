"""How confidence in a snapshot decays with its age.

No safety property depends on an age: it only decides how fast endpoints are probed and how much of the
learned state is restored.
"""

from __future__ import annotations

from typing import NamedTuple

SECOND_US = 1_000_000
_MINUTE_US = 60 * SECOND_US
_DAY_US = 86_400 * SECOND_US
# Stands for an age that is not known and for all above it. Of the endpoints listed a month ago few remain.
UNKNOWN_AGE_US = 30 * _DAY_US
# After five days half of the endpoints are expected to be where the list has them.
LIST_HALF_LIFE_US = 5 * _DAY_US
# Limits follow the current load, slowdowns the state of the fleet, latencies what clients ask for.
LIMIT_HALF_LIFE_US = 10 * _MINUTE_US
SLOWDOWN_HALF_LIFE_US = 5 * _MINUTE_US
LATENCY_HALF_LIFE_US = _DAY_US
# A planned handover younger than this leaves endpoints as warm as they were. The longest planned restart
# takes four seconds, and an engine needs about as long to end and start again.
HANDOVER_VALIDITY_US = 10 * SECOND_US


class ClockReading(NamedTuple):
    """One instant by all clocks.

    Attributes:
        wall_us: Unix time in microseconds.
        boot_id: Identity of the machine's boot; empty where it is not known.
        uptime_us: Microseconds since that boot, the time that the machine slept included.
    """

    wall_us: int
    boot_id: str
    uptime_us: int


def age_us(earlier: ClockReading, now: ClockReading) -> int:
    """Returns microseconds since `earlier`; UNKNOWN_AGE_US where the clocks contradict each other."""
    if earlier.boot_id and earlier.boot_id == now.boot_id:
        # Nobody can set the uptime, so within one boot it is exact.
        elapsed_us = now.uptime_us - earlier.uptime_us
    else:
        # The wall clock may have been set, so this age is a hint only. A snapshot that looks young for it is
        # probed as carefully as an old one, only sooner.
        elapsed_us = now.wall_us - earlier.wall_us
    return elapsed_us if 0 <= elapsed_us < UNKNOWN_AGE_US else UNKNOWN_AGE_US


def confidence(age_us: int, half_life_us: int) -> float:
    """Returns 1.0 for age zero, halved in each half-life; 0.0 for an unknown age."""
    if age_us >= UNKNOWN_AGE_US:
        return 0.0
    return float(0.5 ** (max(0, age_us) / half_life_us))


def decayed(stored: float, default: float, age_us: int, half_life_us: int) -> float:
    """Returns a value between the stored one and the default, by the confidence in the stored one."""
    return default + (stored - default) * confidence(age_us, half_life_us)


def decayed_ratio(stored: float, age_us: int, half_life_us: int) -> float:
    """Returns a stored factor decayed towards 1.0, so that 2 and 0.5 decay alike; 1.0 for none above 0."""
    if stored <= 0:
        return 1.0
    return float(stored ** confidence(age_us, half_life_us))
