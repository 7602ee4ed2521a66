"""Decides which background job runs when: priorities with aging, a budget per tick, pauses after failures.

Times are microseconds of one clock, passed in as `now_us`. Random numbers are drawn for pauses only.

    sleeping --due, or woken--> due --next_job--> running --done--> sleeping for its period; due, if woken
       ^                         ^                 |  +--more--> due
       +------ after a pause ----|-----------------+ failed
                                 (a wake during the pause changes nothing: the job runs after it anyway)
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import Enum, IntEnum
from itertools import count

# A job that has waited this much longer goes before a job of the next higher priority. When more is due than
# the budget allows, a link that is connected again and again is connected at most each half second beside
# connection probes; with 100 ms, only 0.6 times as many engines were probed.
AGING_US = 500_000
# A failed job is retried after twice its period, but at least this pause. The pause doubles with each failure
# and is drawn from its upper half, so that gateways whose jobs failed together don't retry together.
_MIN_PAUSE_US, _MAX_PAUSE_US = 100_000, 60_000_000
# A turn that takes seconds, on an endpoint list far larger than any fleet's, would stop connection probes for
# minutes. It is charged at most the budget of the ticks within this time.
MAX_DEBT_US = 1_000_000
# Charged for each turn at least, which is what a turn itself costs. A job that takes no time by the clock and
# always wants another turn would never return control to the loop otherwise.
MIN_COST_US = 10


class Priority(IntEnum):
    """The priority of a job; smaller values run first."""

    SAFETY = 0  # connection probes
    SERVICE = 1  # links
    STATE = 2  # snapshots
    TIDY = 3  # expiry


class JobResult(Enum):
    """How a turn of a job ended."""

    DONE = "done"  # nothing left to do for now
    MORE = "more"  # wants another turn
    FAILED = "failed"  # is retried after a random pause


class Job:
    """One background job and its state.

    Attributes:
        name: Names the job in counters and logs.
        priority: Its priority.
        period_us: Microseconds from the end of a turn to the next one; 0: it runs only when woken.
        max_pause_us: The longest pause after failures.
        has_final_run: Whether it gets a last turn when the process ends.
        due_us: When it is due; None: it sleeps until it is woken.
        delay_us: How long after it was due its latest turn started.
        failure_count: Failed turns in a row.
        is_running: Whether its turn has started and not ended.
        entry_number: The number of its only valid heap entry.
    """

    __slots__ = (
        "name",
        "priority",
        "period_us",
        "max_pause_us",
        "has_final_run",
        "due_us",
        "delay_us",
        "failure_count",
        "is_running",
        "entry_number",
        "_requested_us",
    )

    def __init__(
        self, name: str, priority: Priority, period_us: int, max_pause_us: int, has_final_run: bool
    ) -> None:
        self.name, self.priority, self.period_us = name, priority, period_us
        self.max_pause_us, self.has_final_run = max_pause_us, has_final_run
        self.due_us: int | None = None
        self.delay_us = 0
        self.failure_count = 0
        self.is_running = False
        self.entry_number = -1
        self._requested_us: int | None = None  # the next turn that was requested while it runs


class Schedule:
    """Schedules jobs within `budget_us` microseconds of each `tick_us` for all of them together.

    A turn that takes longer is paid for from the following ticks, and the unused part of a tick is not saved:
    in any N consecutive ticks, jobs take at most N budgets plus the last turn's excess.

    No job starves. Turns are ordered by when a job became due plus AGING_US for each level of its priority,
    so that after a job's `due_us + priority * AGING_US` each other job gets at most one turn before it. With
    J jobs whose turns take at most L (L below the limit that MAX_DEBT_US sets), a job runs within

        priority * AGING_US + (ceil(J * max(L, MIN_COST_US) / budget_us) + 1) * tick_us

    of becoming due, provided that the caller calls when `next_due_us` says.

    Attributes:
        jobs: In the order in which they were added.
        deferred_count: Turns that were due and had to wait for the budget of a later tick.
        is_stopped: Whether `stop` was called.
    """

    def __init__(self, random_fraction: Callable[[], float], tick_us: int, budget_us: int) -> None:
        assert 0 < budget_us <= tick_us, "the budget must be positive and fit into a tick"
        self._random_fraction, self._tick_us, self._budget_us = random_fraction, tick_us, budget_us
        self._max_debt_us = MAX_DEBT_US // tick_us * budget_us
        self._tick, self._remaining_us = 0, budget_us  # the current tick, and the rest of its budget
        self._available_us = 0  # when some budget was, or will be, available again
        self.jobs: list[Job] = []
        self._sleeping: list[tuple[int, int, Job]] = []  # by due time
        self._waiting: list[tuple[int, int, Job]] = []  # due, in the order of turns
        self._entry_numbers = count()
        self.deferred_count = 0
        self.is_stopped = False

    def add(
        self,
        name: str,
        priority: Priority,
        period_us: int,
        now_us: int,
        max_pause_us: int = _MAX_PAUSE_US,
        has_final_run: bool = False,
    ) -> Job:
        """Adds a job that is due at once or, with a period of 0, when it is woken."""
        job = Job(name, priority, period_us, max_pause_us, has_final_run)
        self.jobs.append(job)
        if period_us:
            self._put(job, now_us)
        return job

    def wake(self, job: Job, now_us: int) -> None:
        """Makes a job due at once, whatever its period; a running job gets another turn.

        A wake doesn't end the pause after a failure: a job that fails each time would run at each wake.
        """
        self.wake_after(job, 0, now_us)

    def wake_after(self, job: Job, delay_us: int, now_us: int) -> None:
        """Makes a job due after a delay, unless it is due earlier."""
        if job.is_running:
            job._requested_us = (
                now_us + delay_us if job._requested_us is None else min(job._requested_us, now_us + delay_us)
            )
        elif not job.failure_count and (job.due_us is None or now_us + delay_us < job.due_us):
            self._put(job, now_us + delay_us)

    def next_job(self, now_us: int) -> Job | None:
        """Starts the next turn and returns its job; the caller reports its end to `end_turn`.

        Returns:
            None if no job is due or the budget is spent.
        """
        if self.is_stopped:
            return None
        self._advance(now_us)
        while self._waiting:
            _, entry_number, job = self._waiting[0]
            if entry_number != job.entry_number:
                heapq.heappop(self._waiting)
                continue
            if self._remaining_us <= 0:
                return None
            heapq.heappop(self._waiting)
            self.deferred_count += job.due_us < self._available_us
            job.is_running, job.delay_us = True, now_us - job.due_us
            return job
        return None

    def end_turn(self, job: Job, result: JobResult, cost_us: int, now_us: int) -> None:
        """Ends a job's turn that took `cost_us` microseconds of the event loop."""
        assert job.is_running, "a turn ended that had not started"
        job.is_running = False
        self._remaining_us = max(self._remaining_us - max(cost_us, MIN_COST_US), -self._max_debt_us)
        self._advance(now_us)
        if self._remaining_us <= 0:
            self._available_us = (self._tick + 1 + -self._remaining_us // self._budget_us) * self._tick_us
        requested_us, job._requested_us = job._requested_us, None
        if result is JobResult.FAILED:
            job.failure_count += 1
            first_us = max(_MIN_PAUSE_US, 2 * job.period_us)
            pause_us = min(max(job.max_pause_us, first_us), first_us << min(job.failure_count - 1, 20))
            self._put(job, now_us + pause_us // 2 + int(self._random_fraction() * (pause_us // 2)))
            return
        job.failure_count = 0
        job.due_us = None
        if result is JobResult.MORE:
            self._put(job, now_us)
        elif job.period_us or requested_us is not None:
            # Counted from now, not from when the job was due: a process that was stopped for a minute skips
            # the turns of that minute.
            due_us = now_us + job.period_us if job.period_us else requested_us
            self._put(job, due_us if requested_us is None else min(due_us, max(requested_us, now_us)))

    def next_due_us(self, now_us: int) -> int | None:
        """Returns when to call `next_job` again, at the earliest now.

        Returns:
            None if there is nothing to do until a job is woken or a turn ends.
        """
        if self.is_stopped:
            return None
        self._advance(now_us)
        available_us = now_us if self._remaining_us > 0 else self._available_us
        for heap in (self._waiting, self._sleeping):
            while heap and heap[0][1] != heap[0][2].entry_number:
                heapq.heappop(heap)
        if self._waiting:
            return available_us
        return max(available_us, self._sleeping[0][0]) if self._sleeping else None

    def stop(self) -> list[Job]:
        """Stops all turns; returns the jobs with a final run, in the order in which they were added."""
        self.is_stopped = True
        return [job for job in self.jobs if job.has_final_run]

    def _put(self, job: Job, due_us: int) -> None:
        job.due_us, job.entry_number = due_us, next(self._entry_numbers)
        heapq.heappush(self._sleeping, (due_us, job.entry_number, job))

    def _advance(self, now_us: int) -> None:
        """Adds the budget of ticks that have passed, and moves the jobs that have become due."""
        tick = now_us // self._tick_us
        if tick > self._tick:
            self._remaining_us = min(
                self._budget_us, self._remaining_us + (tick - self._tick) * self._budget_us
            )
            self._tick = tick
        while self._sleeping and self._sleeping[0][0] <= now_us:
            due_us, entry_number, job = heapq.heappop(self._sleeping)
            if entry_number == job.entry_number:
                heapq.heappush(self._waiting, (due_us + job.priority * AGING_US, entry_number, job))
