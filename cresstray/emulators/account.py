"""The stand-ins' own account of all that was asked, run and answered, and of promises broken."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

PROMISES = (
    "no_answer",
    "two_answers",
    "second_run",
    "two_outstanding",
    "over_cap",
    "denied_after_run",
    "past_deadline",
    "drain_broken",
)
# What sockets and two clocks may add to a stated time, in seconds: the users' protocol has 50 ms.
_SLACK = 0.05


@dataclass(slots=True)
class Run:
    """One relay as an engine saw it, in seconds of the stand-ins' clock."""

    engine: str
    began: float
    ended: float | None = None
    effect: bool = False  # it took effect, or may have
    never: bool = False  # refused as full: nothing ran


@dataclass(slots=True)
class Asked:
    """One submission as its client saw it."""

    name: str
    hall: str
    gateway: str
    tariff: str
    payoff: float
    asked: float
    work: float  # seconds on one core
    threads: int
    soft: float  # seconds from when it was asked
    hard: float
    answers: list[tuple[float, str]] = field(default_factory=list)  # when, and fulfilled, denied or abandoned
    let_go: bool = False  # the client left, or its gateway was killed: no answer is owed

    def in_time(self) -> bool:
        return (
            bool(self.answers)
            and self.answers[0][1] == "fulfilled"
            and (self.answers[0][0] - self.asked <= self.soft)
        )


class Account:
    def __init__(self, effects: dict[str, str], attempts: int, budget: tuple[int, float, float]) -> None:
        """`effects` by tariff; `budget`: free relays, share of what was taken, window in seconds."""
        self._effects, self._attempts, self._budget = effects, attempts, budget
        self.asked: dict[str, Asked] = {}
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.late_sends = 0  # to engines that drain or are gone, after the grace

    def run(self, name: str, engine: str, now: float) -> Run:
        run = Run(engine, now)
        self.runs[name].append(run)
        return run

    def payoff(self) -> dict[str, float]:
        """Of each hall, the payoff answered within the soft limit over that asked for."""
        asked: dict[str, float] = defaultdict(float)
        got: dict[str, float] = defaultdict(float)
        for one in self.asked.values():
            asked[one.hall] += one.payoff
            got[one.hall] += one.payoff * one.in_time()
        return {hall: got[hall] / asked[hall] for hall in sorted(asked)}

    def promises(self, until: float) -> dict[str, int]:
        """How often each was broken, as far as hard stops have passed by then."""
        broken = dict.fromkeys(PROMISES, 0)
        broken["drain_broken"] = self.late_sends
        for name, one in self.asked.items():
            runs = sorted(self.runs.get(name, ()), key=lambda run: run.began)
            over = one.asked + one.hard + _SLACK
            broken["no_answer"] += not (one.answers or one.let_go) and over < until
            broken["two_answers"] += len(one.answers) > 1
            broken["past_deadline"] += any(at > over for at, _ in one.answers)
            broken["two_outstanding"] += any(
                earlier.ended is None or later.began < earlier.ended - 0.001
                for earlier, later in zip(runs, runs[1:])
                if not earlier.never
            )
            broken["second_run"] += self._effects[one.tariff] != "idempotent" and (
                sum(run.effect for run in runs) > 1
            )
            broken["over_cap"] += len(runs) > self._attempts
            broken["denied_after_run"] += (
                self._effects[one.tariff] == "at_most_once"
                and any(run.effect for run in runs)
                and any(how == "denied" for _, how in one.answers)
            )
        broken["over_cap"] += self._over_budget()
        return broken

    def _over_budget(self) -> int:
        """Further relays beyond the budget of the gateway that took the submission, over every window."""
        free, share, window = self._budget
        taken: dict[str, list[float]] = defaultdict(list)
        further: dict[str, list[float]] = defaultdict(list)
        for name, one in self.asked.items():
            taken[one.gateway].append(one.asked)
            further[one.gateway] += sorted(run.began for run in self.runs.get(name, ()))[1:]
        over = 0
        for gateway, times in further.items():
            times.sort()
            for at, now in enumerate(times):
                made = sum(now - window <= other <= now for other in times[: at + 1])
                earned = sum(now - window <= one <= now for one in taken[gateway])
                # Wider by 15 in 100 and one on sockets, as the users' protocol has it.
                over += made > 1.15 * (free + share * earned) + 1
        return over
