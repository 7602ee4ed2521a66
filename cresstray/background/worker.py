"""Runs background jobs on the gateway's event loop, and counts what they cost."""

from __future__ import annotations

import time
import traceback
from collections.abc import Callable

from cresstray.background.schedule import Job, JobResult, Priority, Schedule
from cresstray.clock import Clock, TimerHandle, Timers
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log

# A twentieth of the loop's time, in pieces too short to delay a response noticeably.
TICK_US, BUDGET_US = 5_000, 250
# Final runs wait for threads and disks, and check at this interval whether these have finished.
_FINAL_RUN_INTERVAL_US = 5_000

JobFunction = Callable[[int], JobResult | None]


def _thread_cpu_us() -> int:
    """Returns the CPU time that this thread has used.

    By wall-clock time, in a stopped process or on a busy machine, jobs would be charged for time that the
    loop never had; connection probes were deferred by a second in that case.
    """
    return time.thread_time_ns() // 1000


class Worker:
    """Runs the turns of a schedule by timers of the event loop.

    Job functions are called with the clock's time and may wake any job.

    Args:
        schedule: Used by this worker only.
        timers: Timers of the event loop.
        clock: The clock of the schedule.
        counters: Receive the number and the cost of turns.
        log: Receives faults of jobs.
        cpu_us: Returns the CPU time used so far in microseconds; turns are charged by it.

    Attributes:
        is_finished: Whether all final runs have ended.
    """

    def __init__(
        self,
        schedule: Schedule,
        timers: Timers,
        clock: Clock,
        counters: Counters,
        log: Log,
        cpu_us: Callable[[], int] = _thread_cpu_us,
    ) -> None:
        self._schedule, self._timers, self._clock = schedule, timers, clock
        self._counters, self._log, self._cpu_us = counters, log, cpu_us
        self._functions: dict[Job, JobFunction] = {}
        self._final_functions: dict[Job, JobFunction] = {}
        self._is_started = self._is_in_turn = False
        self._timer, self._timer_due_us = TimerHandle(0, self._run_turns), -1  # of the next turn
        self._charged_us = 0  # what the work costs that the current turn has started
        self._finishing: list[Job] = []
        self._finish_by_us = self._job_finish_by_us = 0
        self.is_finished = False

    def add_job(
        self,
        name: str,
        priority: Priority,
        period_us: int,
        function: JobFunction,
        max_pause_us: int = 60_000_000,
        final: JobFunction | None = None,
    ) -> Job:
        """Adds a job; its function only starts what takes long.

        Args:
            name: Names the job in counters and logs.
            priority: Its priority.
            period_us: Microseconds from the end of a turn to the next one; 0: it runs only when woken.
            function: A turn of the job; returning None means DONE. The first exception of several in a row is
                logged, and the job is retried after a pause.
            max_pause_us: The longest of these pauses.
            final: The final run when the process ends, repeated while it returns MORE.
        """
        job = self._schedule.add(
            name, priority, period_us, self._clock.now(), max_pause_us, final is not None
        )
        self._functions[job] = function
        if final is not None:
            self._final_functions[job] = final
        self._set_timer()
        return job

    def wake(self, job: Job) -> None:
        """Makes a job due at once."""
        self.wake_after(job, 0)

    def wake_after(self, job: Job, delay_us: int) -> None:
        """Makes a job due after a delay, unless it is due earlier."""
        self._schedule.wake_after(job, delay_us, self._clock.now())
        self._set_timer()

    def charge(self, cost_us: int) -> None:
        """Charges the budget for work that the running job has started; job counters don't include it."""
        self._charged_us += cost_us

    def start(self) -> None:
        """Starts running jobs."""
        self._is_started = True
        self._set_timer()

    def stop(self, now_us: int, timeout_us: int) -> None:
        """Starts the final runs, in the order in which the jobs were added.

        `is_finished` is set when they have ended or the time is up. Each has an even share of the remaining
        time, because one whose disk hangs would leave no time for those after it.
        """
        self._timer.cancel()
        self._finishing, self._finish_by_us = self._schedule.stop(), now_us + timeout_us
        self._set_job_deadline(now_us)
        self._run_final(now_us)

    def _set_timer(self) -> None:
        if not self._is_started or self._is_in_turn or self._schedule.is_stopped:
            return
        now_us = self._clock.now()
        due_us = self._schedule.next_due_us(now_us)
        if self._timer.callback is None or due_us != self._timer_due_us:
            self._timer.cancel()
            if due_us is not None:
                self._timer, self._timer_due_us = (
                    self._timers.call_after(due_us - now_us, self._run_turns),
                    due_us,
                )

    def _run_turns(self, _now_us: int) -> None:
        self._timer.cancel()
        self._is_in_turn = True
        try:
            while (job := self._schedule.next_job(self._clock.now())) is not None:
                result, cost_us, now_us = self._run(job, self._functions[job])
                self._count(job, result, cost_us)
                self._schedule.end_turn(job, result, cost_us + self._charged_us, now_us)
        finally:
            self._is_in_turn = False
        self._counters.counts["background: put off"] = self._schedule.deferred_count
        self._set_timer()

    def _run(self, job: Job, function: JobFunction) -> tuple[JobResult, int, int]:
        """Returns the result of a turn, its cost in microseconds, and the time after it."""
        before_us, self._charged_us = self._cpu_us(), 0
        result = JobResult.FAILED
        try:
            result = function(self._clock.now()) or JobResult.DONE
        except Exception as error:
            self._counters.add("faults")
            # Logged once for failures in a row, so that a job that fails for hours doesn't fill the log.
            if not job.failure_count:
                trace = "".join(traceback.format_exception(error))
                self._log.log("fault", f"background work, {job.name}: {trace}")
        return result, self._cpu_us() - before_us, self._clock.now()

    def _count(self, job: Job, result: JobResult, cost_us: int) -> None:
        counts, name = self._counters.counts, f"background: {job.name}"
        counts[f"{name} turns"] += 1
        counts[f"{name} us"] += cost_us
        if result is JobResult.FAILED:
            counts[f"{name} failures"] += 1
        counts[f"{name} longest us"] = max(cost_us, counts[f"{name} longest us"])
        counts[f"{name} latest us"] = max(job.delay_us, counts[f"{name} latest us"])

    def _set_job_deadline(self, now_us: int) -> None:
        if self._finishing:
            self._job_finish_by_us = now_us + max(0, self._finish_by_us - now_us) // len(self._finishing)

    def _run_final(self, now_us: int) -> None:
        while self._finishing:
            job = self._finishing[0]
            result, cost_us, now_us = self._run(job, self._final_functions[job])
            self._count(job, result, cost_us)
            if result is JobResult.MORE and now_us < self._job_finish_by_us:
                self._timers.call_after(
                    min(_FINAL_RUN_INTERVAL_US, self._job_finish_by_us - now_us), self._run_final
                )
                return
            if result is JobResult.MORE:
                self._counters.add(f"background: {job.name} not ended")
            del self._finishing[0]
            self._set_job_deadline(now_us)
        self.is_finished = True
