"""Which background job runs when: priorities that age, a budget for each tick, pauses after failures. Pure.

Times are microseconds of one clock, handed in as `now`; chance is drawn for pauses only.

    asleep --due, or woken--> due --next--> runs --done--> asleep for its period; due, where it was woken
       ^                       ^             |  +--more--> due
       +------ after a pause --|-------------+ failed
                               (a wake during the pause changes nothing: it runs after it anyway)
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import Enum, IntEnum
from itertools import count

# A job that has waited so much longer goes before one of the next higher priority. Where more is due than the
# budget allows, links that are dialled again and again are dialled each half second at the most beside
# trials; with 100 ms, 0.6 of as many engines were asked.
AGE = 500_000
# A failed job is tried again after twice its period, this at the least; doubled each time, and drawn from
# half of it on, so that gateways whose jobs failed together don't come back together.
_PAUSE, _LONGEST = 100_000, 60_000_000
# Danger: one turn of seconds, on a list far beyond any fleet's, would leave nothing to trials for minutes. It
# pays for what this many microseconds' ticks would have given, at the most.
MOST_DEBT = 1_000_000
# Danger: a job that takes no time by the clock and always wants more would never leave the loop. A turn costs
# some ten microseconds by itself.
LEAST = 10


class Priority(IntEnum):
    SAFETY = 0  # trials
    SERVICE = 1  # links
    STATE = 2  # snapshots
    TIDY = 3  # expiry


class JobResult(Enum):
    DONE = "done"  # over for now
    MORE = "more"  # wants another turn
    FAILED = "failed"  # tried again later, with spread


class Job:
    """`every`: microseconds from the end of a turn to the next; 0: only where woken."""

    __slots__ = (
        "name",
        "priority",
        "every",
        "longest_pause",
        "at_end",
        "due",
        "late",
        "failed",
        "running",
        "order",
        "_next",
    )

    def __init__(self, name: str, priority: Priority, every: int, longest_pause: int, at_end: bool) -> None:
        self.name, self.priority, self.every = name, priority, every
        self.longest_pause, self.at_end = longest_pause, at_end
        self.due: int | None = None  # None: it sleeps until it is woken
        self.late = 0  # of its last turn, behind when it was due
        self.failed = 0  # turns in a row
        self.running = False
        self.order = -1  # of its one entry that counts
        self._next: int | None = None  # asked for while it runs


class Schedule:
    """`budget` microseconds of each `tick` for all jobs together.

    A turn that takes longer is paid for by the ticks that follow, and what is left of a tick is not saved up:
    in any run of N ticks, jobs take N budgets and what the last turn is over, at most.

    Nothing waits for ever. Turns go by when a job became due plus AGE for each place of its priority, so that
    from a job's `due + priority * AGE` on, each other job gets one turn before it at most. With J jobs whose
    turns take L at most (L under what MOST_DEBT allows for), it runs within

        priority * AGE + (ceil(J * max(L, LEAST) / budget) + 1) * tick

    of becoming due, as long as whoever calls does so when `due` says.
    """

    def __init__(self, chance: Callable[[], float], tick: int, budget: int) -> None:
        assert 0 < budget <= tick, "a budget within the tick"
        self._chance, self._tick, self._budget = chance, tick, budget
        self._most_debt = MOST_DEBT // tick * budget
        self._at, self._left = 0, budget  # the tick, and what is left of its budget
        self._free_at = 0  # when something was, or will be, left again
        self.jobs: list[Job] = []  # as they were added
        self._asleep: list[tuple[int, int, Job]] = []  # by when they are due
        self._waiting: list[tuple[int, int, Job]] = []  # due, by when their turn is
        self._order = count()
        self.put_off = 0  # turns that were due, and had to wait for a later tick's budget
        self.stopped = False

    def add(
        self,
        name: str,
        priority: Priority,
        every: int,
        now: int,
        longest_pause: int = _LONGEST,
        at_end: bool = False,
    ) -> Job:
        """Due at once, or, with an `every` of 0, once it is woken. `at_end`: it has a last turn."""
        job = Job(name, priority, every, longest_pause, at_end)
        self.jobs.append(job)
        if every:
            self._put(job, now)
        return job

    def wake(self, job: Job, now: int) -> None:
        """Due at once, whatever its period; one that runs gets a further turn.

        Danger: woken out of the pause after a failure, a job that fails at each turn would run at each wake.
        """
        self.later(job, 0, now)

    def later(self, job: Job, wait: int, now: int) -> None:
        """Due after so long, if it is not sooner anyway."""
        if job.running:
            job._next = now + wait if job._next is None else min(job._next, now + wait)
        elif not job.failed and (job.due is None or now + wait < job.due):
            self._put(job, now + wait)

    def next(self, now: int) -> Job | None:
        """What to run now, until `ended` is told of it. None: nothing is due, or the budget is spent."""
        if self.stopped:
            return None
        self._turn(now)
        while self._waiting:
            _, order, job = self._waiting[0]
            if order != job.order:
                heapq.heappop(self._waiting)
                continue
            if self._left <= 0:
                return None
            heapq.heappop(self._waiting)
            self.put_off += job.due < self._free_at
            job.running, job.late = True, now - job.due
            return job
        return None

    def ended(self, job: Job, outcome: JobResult, took: int, now: int) -> None:
        """`took`: microseconds of the loop."""
        assert job.running, "a turn ended that was not begun"
        job.running = False
        self._left = max(self._left - max(took, LEAST), -self._most_debt)
        self._turn(now)
        if self._left <= 0:
            self._free_at = (self._at + 1 + -self._left // self._budget) * self._tick
        asked, job._next = job._next, None
        if outcome is JobResult.FAILED:
            job.failed += 1
            first = max(_PAUSE, 2 * job.every)
            pause = min(max(job.longest_pause, first), first << min(job.failed - 1, 20))
            self._put(job, now + pause // 2 + int(self._chance() * (pause // 2)))
            return
        job.failed = 0
        job.due = None
        if outcome is JobResult.MORE:
            self._put(job, now)
        elif job.every or asked is not None:
            # From now on, not from when it was due: a process that was stopped for a minute misses those
            # turns, and does not make up for them.
            period = now + job.every if job.every else asked
            self._put(job, period if asked is None else min(period, max(asked, now)))

    def due(self, now: int) -> int | None:
        """When to call `next` again, `now` at the soonest; None: once a job is woken or has ended."""
        if self.stopped:
            return None
        self._turn(now)
        free = now if self._left > 0 else self._free_at
        for heap in (self._waiting, self._asleep):
            while heap and heap[0][1] != heap[0][2].order:
                heapq.heappop(heap)
        if self._waiting:
            return free
        return max(free, self._asleep[0][0]) if self._asleep else None

    def stop(self) -> list[Job]:
        """Nothing is due any more. The jobs that have a last turn, in the order in which they were added."""
        self.stopped = True
        return [job for job in self.jobs if job.at_end]

    def _put(self, job: Job, due: int) -> None:
        job.due, job.order = due, next(self._order)
        heapq.heappush(self._asleep, (due, job.order, job))

    def _turn(self, now: int) -> None:
        """A new tick's budget, and who has become due."""
        tick = now // self._tick
        if tick > self._at:
            self._left = min(self._budget, self._left + (tick - self._at) * self._budget)
            self._at = tick
        while self._asleep and self._asleep[0][0] <= now:
            due, order, job = heapq.heappop(self._asleep)
            if order == job.order:
                heapq.heappush(self._waiting, (due + job.priority * AGE, order, job))
