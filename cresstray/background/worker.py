"""Gives background jobs their turns on the gateway's loop, and counts what they cost."""

from __future__ import annotations

import time
import traceback
from collections.abc import Callable

from cresstray.background.schedule import Job, JobResult, Priority, Schedule
from cresstray.clock import Clock, TimerHandle, Timers
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log

# A twentieth of the loop, in pieces that no answer notices: a quarter of a millisecond in five.
TICK, BUDGET = 5_000, 250
# Last turns wait for threads and disks, and look so often whether these are done.
_LAST_TURNS = 5_000

Call = Callable[[int], JobResult | None]


def _spent() -> int:
    """Microseconds of CPU that this thread has had.

    Danger: by the clock, where a process was stopped or a machine is busy with others, jobs would pay for
    time that the loop never had; trials were put off for a second then.
    """
    return time.thread_time_ns() // 1000


class Worker:
    """`schedule` is this worker's alone; `call`s are made with the clock's time and may wake any job.

    `spent`: microseconds so far, by which turns are paid for.
    """

    def __init__(
        self,
        schedule: Schedule,
        timers: Timers,
        clock: Clock,
        counters: Counters,
        log: Log,
        spent: Callable[[], int] = _spent,
    ) -> None:
        self._schedule, self._timers, self._clock = schedule, timers, clock
        self._counters, self._log, self._spent = counters, log, spent
        self._calls: dict[Job, Call] = {}
        self._last: dict[Job, Call] = {}  # of last turns
        self._started = self._turns = False
        self._due, self._due_at = TimerHandle(0, self._turn), -1  # the next turn
        self._begun = 0  # microseconds that what this turn has begun takes
        self._ending: list[Job] = []
        self._until = self._job_until = 0
        self.over = False  # all last turns are

    def does(
        self,
        name: str,
        priority: Priority,
        every: int,
        call: Call,
        longest_pause: int = 60_000_000,
        last: Call | None = None,
    ) -> Job:
        """`call` each `every` microseconds, or, with 0, when woken; what takes long it begins only.

        None is DONE. What it raises is told once, and it is tried again after a pause of `longest_pause` at
        the most. `last`: its call at the end, again and again while that wants MORE.
        """
        job = self._schedule.add(name, priority, every, self._clock.now(), longest_pause, last is not None)
        self._calls[job] = call
        if last is not None:
            self._last[job] = last
        self._arm()
        return job

    def wake(self, job: Job) -> None:
        self.later(job, 0)

    def later(self, job: Job, wait: int) -> None:
        """A turn after so many microseconds, if it has none sooner."""
        self._schedule.later(job, wait, self._clock.now())
        self._arm()

    def begun(self, microseconds: int) -> None:
        """Called by a job: what it has begun takes the loop so long. It counts against the budget only."""
        self._begun += microseconds

    def start(self) -> None:
        self._started = True
        self._arm()

    def stop(self, now: int, within: int) -> None:
        """Last turns, job by job in the order in which they were added; `over` once they are, or time is up.

        Danger: one whose disk hangs would leave nothing for those behind it: each has an even share of what
        is left.
        """
        self._due.cancel()
        self._ending, self._until = self._schedule.stop(), now + within
        self._share(now)
        self._end(now)

    def _arm(self) -> None:
        if not self._started or self._turns or self._schedule.stopped:
            return
        now = self._clock.now()
        at = self._schedule.due(now)
        if self._due.callback is None or at != self._due_at:
            self._due.cancel()
            if at is not None:
                self._due, self._due_at = self._timers.call_after(at - now, self._turn), at

    def _turn(self, _now: int) -> None:
        self._due.cancel()
        self._turns = True
        try:
            while (job := self._schedule.next(self._clock.now())) is not None:
                outcome, took, now = self._run(job, self._calls[job])
                self._count(job, outcome, took)
                self._schedule.ended(job, outcome, took + self._begun, now)
        finally:
            self._turns = False
        self._counters.counts["background: put off"] = self._schedule.put_off
        self._arm()

    def _run(self, job: Job, call: Call) -> tuple[JobResult, int, int]:
        """What came of it, the microseconds that it took, and the time since."""
        before, self._begun = self._spent(), 0
        outcome = JobResult.FAILED
        try:
            outcome = call(self._clock.now()) or JobResult.DONE
        except Exception as trouble:
            self._counters.add("faults")
            # Danger: a job that fails for hours would fill the log with the same lines.
            if not job.failed:
                told = "".join(traceback.format_exception(trouble))
                self._log.log("fault", f"background work, {job.name}: {told}")
        return outcome, self._spent() - before, self._clock.now()

    def _count(self, job: Job, outcome: JobResult, took: int) -> None:
        counts, name = self._counters.counts, f"background: {job.name}"
        counts[f"{name} turns"] += 1
        counts[f"{name} us"] += took
        if outcome is JobResult.FAILED:
            counts[f"{name} failures"] += 1
        counts[f"{name} longest us"] = max(took, counts[f"{name} longest us"])
        counts[f"{name} latest us"] = max(job.late, counts[f"{name} latest us"])

    # The end.

    def _share(self, now: int) -> None:
        if self._ending:
            self._job_until = now + max(0, self._until - now) // len(self._ending)

    def _end(self, now: int) -> None:
        while self._ending:
            job = self._ending[0]
            outcome, took, now = self._run(job, self._last[job])
            self._count(job, outcome, took)
            if outcome is JobResult.MORE and now < self._job_until:
                self._timers.call_after(min(_LAST_TURNS, self._job_until - now), self._end)
                return
            if outcome is JobResult.MORE:
                self._counters.add(f"background: {job.name} not ended")
            del self._ending[0]
            self._share(now)
        self.over = True
