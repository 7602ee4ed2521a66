"""How trust in what was kept falls with its age. Safety never rests on an age: it only sets how fast."""

from __future__ import annotations

from typing import NamedTuple

SECOND = 1_000_000
_MINUTE, _DAY = 60 * SECOND, 86_400 * SECOND
# An age that is not known, and all beyond it: of engines kept for a month few are where they were.
OLDEST = 30 * _DAY
# Half of a list's engines still stand as listed: after some days of machines replaced a few at a time.
LIST = 5 * _DAY
# Limits follow the load of the moment, paces the state of the fleet, usual times what clients ask for.
LIMIT, PACE, TIMES = 10 * _MINUTE, 5 * _MINUTE, _DAY
# Younger than this and handed over on purpose: engines are taken as warm as they were. The longest planned
# restart takes some four seconds, and an engine needs about as long to end and be up again.
HANDED = 10 * SECOND


class Moment(NamedTuple):
    """When, by all readings: `wall` Unix microseconds, `ticked` since the boot named `boot`."""

    wall: int
    boot: str
    ticked: int


def age(then: Moment, now: Moment) -> int:
    """Microseconds since `then`; OLDEST where the readings contradict each other or tell nothing."""
    if then.boot and then.boot == now.boot:
        # The only reading that nobody sets. It counts while the machine sleeps, and starts anew with it.
        passed = now.ticked - then.ticked
    else:
        # Danger: clocks are set. One set back makes a list look young, one that is set before it like news
        # from the future. What looks young is tried as carefully as what is old, only sooner.
        passed = now.wall - then.wall
    return passed if 0 <= passed < OLDEST else OLDEST


def weight(age: int, half: int) -> float:
    """What is left of 1.0 after so long, by half in each `half`; nothing for what is OLDEST."""
    return 0.0 if age >= OLDEST else 0.5 ** (max(0, age) / half)


def faded(kept: float, usual: float, age: int, half: int) -> float:
    """On the way from what was kept to what is usual."""
    return usual + (kept - usual) * weight(age, half)


def faded_ratio(kept: float, age: int, half: int) -> float:
    """The same for a factor, towards 1: twice and half are as far from it."""
    return kept ** weight(age, half) if kept > 0 else 1.0
