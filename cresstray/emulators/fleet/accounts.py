"""What the far side has seen against what was in force, and how long nothing was committed.

All times are seconds of the harness's monotonic clock, which every process of one machine shares. The engines
say which relay came when; the clients know which gateway each submission was given to.
"""

from __future__ import annotations

import math
import statistics
from bisect import bisect_right
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from cresstray.emulators.account import Asked, Run

# A relay sent before may come so much later: loopback and two late loops, as in standins/account.py.
SLACK = 0.05


@dataclass(slots=True)
class Ban:
    """What a change forbids: relays to an engine, or of a tariff's or a tenant's submissions."""

    what: str  # engine, tariff or tenant
    name: str
    joint: float  # when a keeper first told that it is joint
    in_force: float = math.inf  # when one first told that it is in force
    lifted: float = math.inf  # when somebody began to ask for its end: from then on, it may be over


@dataclass(slots=True)
class Contradictions:
    """Forbidden relays by what their gateway could know, and how long the last came after it was told."""

    joint: int = 0  # not yet in force: allowed
    after: int = 0  # in force, by a gateway whose keepers were all there and heard: never
    looking: int = 0  # in force, by one that may have had to find another keeper: not for longer than stated
    kept: int = 0  # out of touch: a gateway goes on by what it knows of these documents
    since_joint: float = 0.0  # seconds
    since_in_force: float = 0.0
    told: list[str] = field(default_factory=list)  # of each one after, a line


def contradictions(
    bans: Iterable[Ban],
    runs: dict[str, list[Run]],
    asked: dict[str, Asked],
    tenant: Callable[[Asked], str],
    out: Callable[[str, float], bool],
    looking: Callable[[str, float], bool],
) -> Contradictions:
    """`out`, `looking`: whether this gateway was so at this time, by what the harness did to it."""
    found = Contradictions()
    for ban in bans:
        for name, made in runs.items():
            one = asked[name]
            if ban.what != "engine" and ban.name != (one.tariff if ban.what == "tariff" else tenant(one)):
                continue
            for run in made:
                at = run.began
                if ban.what == "engine" and run.engine != ban.name or not ban.joint < at < ban.lifted:
                    continue
                if out(one.gateway, at):
                    found.kept += 1
                    continue
                found.since_joint = max(found.since_joint, at - ban.joint)
                if at <= ban.in_force + SLACK:
                    found.joint += 1
                    continue
                found.since_in_force = max(found.since_in_force, at - ban.in_force)
                if looking(one.gateway, at):
                    found.looking += 1
                else:
                    found.after += 1
                    found.told.append(
                        f"{one.gateway} sent {name} ({one.tariff}) to {run.engine} "
                        f"{at - ban.in_force:.3f} s after {ban.what} {ban.name} was barred"
                    )
    return found


class Spells:
    """Since when something holds and when it did not, as it was looked at."""

    def __init__(self) -> None:
        self._at: list[float] = []
        self._holds: list[bool] = []

    def look(self, holds: bool, now: float) -> None:
        if not self._at or self._holds[-1] != holds:
            self._at.append(now)
            self._holds.append(holds)

    def held(self, since: float, until: float) -> bool:
        """Whether it held at any time between these."""
        at = bisect_right(self._at, until)
        while at > 0:
            at -= 1
            if self._holds[at]:
                return True
            if self._at[at] <= since:
                return False
        return False

    def spells(self, until: float) -> list[tuple[float, float]]:
        ends = [*self._at[1:], until]
        return [(at, end) for at, end, holds in zip(self._at, ends, self._holds) if holds]


def without_commit(majority: Spells, commits: Iterable[float], began: float, until: float) -> float:
    """The longest time without a commit between these, in seconds, while a majority was connected."""
    times, longest = sorted(commits), 0.0
    for since, end in majority.spells(until):
        since = max(since, began)
        if since >= end:
            continue
        inside = [since, *(at for at in times if since < at < end), end]
        longest = max(longest, max(after - before for before, after in zip(inside, inside[1:])))
    return longest


def spread(seconds: Iterable[float]) -> dict[str, float | None]:
    """Median and 99th percentile in milliseconds; None of none."""
    there = sorted(seconds)
    if len(there) < 2:
        return dict.fromkeys(("p50", "p99"), round(1000 * there[0], 1) if there else None)
    cuts = statistics.quantiles(there, n=100, method="inclusive")
    return {"p50": round(1000 * cuts[49], 1), "p99": round(1000 * cuts[98], 1)}
