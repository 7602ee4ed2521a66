"""How confidence in a snapshot decays with its age.

No safety property depends on an age. It only decides how fast endpoints are probed, and how much of the
learned state is restored.
"""

from __future__ import annotations

from typing import NamedTuple

SECOND_US = 1_000_000
_MINUTE_US = 60 * SECOND_US
_DAY_US = 86_400 * SECOND_US
# Stands for an unknown age and for all longer ages. Of the endpoints listed a month ago few remain.
UNKNOWN_AGE_US = 30 * _DAY_US
# After five days half of the endpoints are expected to be at the addresses in the list.
LIST_HALF_LIFE_US = 5 * _DAY_US
# Limits change with the current load, slowdowns with the state of the fleet, and latencies with the requests
# of clients.
LIMIT_HALF_LIFE_US = 10 * _MINUTE_US
SLOWDOWN_HALF_LIFE_US = 5 * _MINUTE_US
LATENCY_HALF_LIFE_US = _DAY_US
# A planned handover that is younger than this leaves endpoints as warm as they were. The longest planned
# restart of a gateway takes four seconds, and an engine needs about as long for a restart.
HANDOVER_VALIDITY_US = 10 * SECOND_US


class ClockReading(NamedTuple):
    """One instant by all clocks.

    Attributes:
        wall_us: Unix time in microseconds.
        boot_id: Identifies the boot of the machine; empty if unknown.
        uptime_us: Microseconds since that boot, including the time that the machine was suspended.
    """

    wall_us: int
    boot_id: str
    uptime_us: int


def age_us(earlier: ClockReading, now: ClockReading) -> int:
    """Returns the microseconds since `earlier`; UNKNOWN_AGE_US if the clocks contradict each other."""
    if earlier.boot_id and earlier.boot_id == now.boot_id:
        # The uptime cannot be set, so within one boot it is exact.
        elapsed_us = now.uptime_us - earlier.uptime_us
    else:
        # The wall clock may have been set, so this age is a hint only. The endpoints of a snapshot that is
        # older than it seems are probed as carefully as others, only sooner.
        elapsed_us = now.wall_us - earlier.wall_us
    return elapsed_us if 0 <= elapsed_us < UNKNOWN_AGE_US else UNKNOWN_AGE_US


def confidence(age_us: int, half_life_us: int) -> float:
    """Returns 1.0 for age zero, halved with each half-life; 0.0 for an unknown age."""
    if age_us >= UNKNOWN_AGE_US:
        return 0.0
    return float(0.5 ** (max(0, age_us) / half_life_us))


def decayed(stored: float, default: float, age_us: int, half_life_us: int) -> float:
    """Returns the stored value decayed towards the default, by the confidence in the stored value."""
    return default + (stored - default) * confidence(age_us, half_life_us)


def decayed_ratio(stored: float, age_us: int, half_life_us: int) -> float:
    """Returns a stored factor decayed towards 1.0, so that 2 and 0.5 decay alike; 1.0 if not positive."""
    if stored <= 0:
        return 1.0
    return float(stored ** confidence(age_us, half_life_us))
