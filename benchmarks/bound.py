"""What full knowledge of both halls' spare capacity would reach: to compare with, not a policy.

Time is cut into buckets. A hall's own submissions take its cores first, the densest payoff for work before
the others, each as early as it can; then what found no room at home takes what is left in the other hall.
Work counts only if all of it fits between its arrival and its soft limit, on no more cores than its threads.
"""

from __future__ import annotations

from collections.abc import Callable

from cresstray.emulators.clients import Drawn

_BUCKET = 0.05


def bound(
    loads: dict[str, list[Drawn]], cores: Callable[[str, float], float], seconds: float
) -> dict[str, float]:
    """Of each hall, the payoff that could be in time over that asked for; `cores` of a hall at a time."""
    count = int(seconds / _BUCKET) + 1
    free = {hall: [cores(hall, at * _BUCKET) * _BUCKET for at in range(count)] for hall in loads}
    got = dict.fromkeys(loads, 0.0)
    left: list[tuple[str, Drawn]] = []
    for hall, drawn in loads.items():
        for one in sorted(drawn, key=_density):
            if _fits(one, free[hall]):
                got[hall] += one.kind.payoff
            else:
                left.append((hall, one))
    for hall, one in sorted(left, key=lambda pair: _density(pair[1])):
        if any(_fits(one, free[other]) for other in loads if other != hall):
            got[hall] += one.kind.payoff
    return {hall: got[hall] / sum(one.kind.payoff for one in drawn) for hall, drawn in loads.items()}


def _density(one: Drawn) -> float:
    return -one.kind.payoff / one.work


def _fits(one: Drawn, free: list[float]) -> bool:
    """Takes its work out of these buckets if all of it fits."""
    first, last = int(one.at / _BUCKET), min(len(free), int((one.at + one.kind.soft) / _BUCKET))
    taken, need = [], one.work
    for at in range(first, last):
        part = min(need, free[at], one.kind.threads * _BUCKET)
        if part > 0:
            taken.append((at, part))
            need -= part
        if need <= 1e-9:
            for bucket, amount in taken:
                free[bucket] -= amount
            return True
    return False
