"""How trust in what was kept falls with its age. Safety never rests on an age: it only sets how fast."""

from __future__ import annotations

from typing import NamedTuple

SECOND_US = 1_000_000
_MINUTE, _DAY = 60 * SECOND_US, 86_400 * SECOND_US
# An age that is not known, and all beyond it: of engines kept for a month few are where they were.
UNKNOWN_AGE_US = 30 * _DAY
# Half of a list's engines still stand as listed: after some days of machines replaced a few at a time.
LIST_HALF_LIFE_US = 5 * _DAY
# Limits follow the load of the moment, paces the state of the fleet, usual times what clients ask for.
LIMIT_HALF_LIFE_US, SLOWDOWN_HALF_LIFE_US, LATENCY_HALF_LIFE_US = 10 * _MINUTE, 5 * _MINUTE, _DAY
# Younger than this and handed over on purpose: engines are taken as warm as they were. The longest planned
# restart takes some four seconds, and an engine needs about as long to end and be up again.
HANDOVER_VALIDITY_US = 10 * SECOND_US


class ClockReading(NamedTuple):
    """When, by all readings: `wall` Unix microseconds, `ticked` since the boot named `boot`."""

    wall_us: int
    boot_id: str
    uptime_us: int


def age_us(then: ClockReading, now: ClockReading) -> int:
    """Microseconds since `then`; OLDEST where the readings contradict each other or tell nothing."""
    if then.boot_id and then.boot_id == now.boot_id:
        # The only reading that nobody sets. It counts while the machine sleeps, and starts anew with it.
        passed = now.uptime_us - then.uptime_us
    else:
        # Danger: clocks are set. One set back makes a list look young, one that is set before it like news
        # from the future. What looks young is tried as carefully as what is old, only sooner.
        passed = now.wall_us - then.wall_us
    return passed if 0 <= passed < UNKNOWN_AGE_US else UNKNOWN_AGE_US


def confidence(age: int, half: int) -> float:
    """What is left of 1.0 after so long, by half in each `half`; nothing for what is OLDEST."""
    return 0.0 if age >= UNKNOWN_AGE_US else 0.5 ** (max(0, age) / half)


def decayed(kept: float, usual: float, age: int, half: int) -> float:
    """On the way from what was kept to what is usual."""
    return usual + (kept - usual) * confidence(age, half)


def decayed_ratio(kept: float, age: int, half: int) -> float:
    """The same for a factor, towards 1: twice and half are as far from it."""
    return kept ** confidence(age, half) if kept > 0 else 1.0
