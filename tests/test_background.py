"""Background jobs on a virtual clock: order of turns, time budget, pauses after failures, and shutdown."""

import contextlib
import io
import random
import unittest
from collections.abc import Callable, Iterable

from cresstray.background import schedule, worker
from cresstray.background.schedule import AGING_US, MIN_COST_US, Job, JobResult, Priority, Schedule
from cresstray.background.worker import Worker
from cresstray.clock import Timers
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log

TICK_US, BUDGET_US, MS, SECOND = 10_000, 500, 1000, 1_000_000
START_US = 1_000 * SECOND + 1


class ScheduleHarness:
    """Drives a schedule as a worker does; each job has a cost and a result per turn."""

    def __init__(self, seed: int = 1) -> None:
        self.schedule, self.now_us = Schedule(random.Random(seed).random, TICK_US, BUDGET_US), START_US
        self.functions: dict[Job, tuple[Callable[[], int], Callable[[], JobResult]]] = {}
        self.turns: list[tuple[int, str, int]] = []  # start after START_US, job name, cost

    def add(
        self,
        name: str,
        priority: Priority,
        period_us: int,
        cost_us: int | Callable[[], int] = 100,
        result: JobResult | Callable[[], JobResult] = JobResult.DONE,
        **options: int,
    ) -> Job:
        job = self.schedule.add(name, priority, period_us, self.now_us, **options)
        self.functions[job] = (
            cost_us if callable(cost_us) else lambda: cost_us,
            result if callable(result) else lambda: result,
        )
        return job

    def run(self, until_us: int) -> list[tuple[int, str, int]]:
        """Runs until a time and returns all turns since START_US; jobs advance the clock."""
        found_nothing = False
        while True:
            while (job := self.schedule.next_job(self.now_us)) is not None:
                found_nothing = False
                cost_us, result = (function() for function in self.functions[job])
                self.turns.append((self.now_us - START_US, job.name, cost_us))
                self.now_us += cost_us
                self.schedule.end_turn(job, result, cost_us, self.now_us)
            due_us = self.schedule.next_due_us(self.now_us)
            if due_us is None or due_us > until_us:
                self.now_us = max(self.now_us, until_us)
                return self.turns
            assert due_us > self.now_us and not found_nothing, "asked to call again although nothing is due"
            self.now_us, found_nothing = due_us, True

    def start_times(self, name: str) -> list[int]:
        return [start_us for start_us, job_name, _ in self.turns if job_name == name]


def intervals(times: list[int]) -> list[int]:
    return [later - earlier for earlier, later in zip(times, times[1:])]


class Order(unittest.TestCase):
    def test_due_jobs_run_by_priority_then_in_the_order_in_which_they_became_due(self) -> None:
        harness = ScheduleHarness()
        for name, priority in (("tidy", 3), ("state", 2), ("safety", 0), ("state too", 2), ("service", 1)):
            harness.add(name, Priority(priority), SECOND, 1)
        self.assertEqual(
            ["safety", "service", "state", "state too", "tidy"],
            [name for _, name, _ in harness.run(START_US)],
        )
        self.assertIsNone(harness.schedule.next_job(harness.now_us))

    def test_no_job_waits_longer_than_the_documented_bound(self) -> None:
        """With jobs of each priority that mostly want another turn, due jobs still run within the bound."""
        longest_us = 2_000
        for seed in range(20):
            rng, harness, delays_us = random.Random(seed), ScheduleHarness(seed), {}
            for number in range(rng.randrange(2, 9)):
                harness.add(
                    f"greedy {number}",
                    Priority(rng.randrange(3)),
                    MS * rng.randrange(1, 20),
                    lambda rng=rng: rng.randrange(longest_us + 1),
                    lambda rng=rng: rng.choice([JobResult.MORE, JobResult.MORE, JobResult.DONE]),
                )
            for priority in Priority:
                harness.add(priority.name, priority, 300 * MS, longest_us)
            job_count, end_turn = len(harness.functions), harness.schedule.end_turn

            def record_delay(job: Job, *rest: object, delays_us=delays_us, end_turn=end_turn) -> None:
                delays_us[job.name] = max(delays_us.get(job.name, 0), job.delay_us)
                end_turn(job, *rest)

            harness.schedule.end_turn = record_delay
            harness.run(START_US + 20 * SECOND)
            for priority in Priority:
                bound_us = priority * AGING_US + (-(-job_count * longest_us // BUDGET_US) + 1) * TICK_US
                self.assertLessEqual(delays_us[priority.name], bound_us, (seed, priority))
                self.assertGreater(len(harness.start_times(priority.name)), 5)

    def test_job_that_takes_no_time_and_wants_more_returns_control_to_the_loop(self) -> None:
        harness = ScheduleHarness()
        harness.add("greedy", Priority.SAFETY, MS, 0, JobResult.MORE)
        harness.run(START_US)
        self.assertEqual(BUDGET_US // MIN_COST_US, len(harness.turns))


class Budget(unittest.TestCase):
    def test_budget_holds_over_any_consecutive_ticks(self) -> None:
        for seed in range(10):
            rng, harness, longest_us = random.Random(seed), ScheduleHarness(seed), 3_000
            for number in range(6):
                harness.add(
                    f"{number}",
                    Priority(number % 4),
                    MS * rng.randrange(1, 40),
                    lambda rng=rng, longest_us=longest_us: rng.choice((0, 50, 200, longest_us)),
                    lambda rng=rng: rng.choice(list(JobResult)),
                )
            harness.run(START_US + 3 * SECOND)
            costs = [
                ((START_US + start_us) // TICK_US, max(MIN_COST_US, cost_us))
                for start_us, _, cost_us in harness.turns
            ]
            for first, (tick, _) in enumerate(costs):
                spent_us = 0
                for last_tick, cost_us in costs[first : first + 100]:
                    spent_us += cost_us
                    self.assertLess(spent_us, (last_tick - tick + 1) * BUDGET_US + longest_us)
            self.assertGreater(harness.schedule.deferred_count, 10)

    def test_turn_over_budget_is_paid_from_the_following_ticks(self) -> None:
        harness = ScheduleHarness()
        harness.add("long", Priority.SAFETY, 5 * SECOND, 20_000)
        harness.add("short", Priority.SAFETY, 10 * MS, 10)
        harness.run(START_US + SECOND)
        # It used 20,000 of the first tick's 500: the budgets of the 39 ticks that follow pay for the excess.
        self.assertEqual(40 * TICK_US - 1, harness.start_times("short")[0])
        self.assertEqual(1, harness.schedule.deferred_count)

    def test_debt_of_a_long_turn_is_limited_to_a_second(self) -> None:
        harness = ScheduleHarness()
        harness.add("endless", Priority.STATE, 0, 60 * SECOND)
        harness.schedule.wake(next(iter(harness.functions)), START_US)
        harness.add("short", Priority.TIDY, 100 * MS)
        harness.run(START_US + 70 * SECOND)
        self.assertLessEqual(harness.start_times("short")[0] - 60 * SECOND, schedule.MAX_DEBT_US + TICK_US)

    def test_unused_budget_of_idle_ticks_is_not_saved(self) -> None:
        harness = ScheduleHarness()
        harness.add("greedy", Priority.TIDY, 10 * SECOND, 100, JobResult.MORE)
        harness.run(START_US)
        harness.now_us += 8 * SECOND
        turns_before = len(harness.turns)
        harness.run(harness.now_us)
        self.assertEqual((5, 5), (turns_before, len(harness.turns) - turns_before))

    def test_missed_turns_of_a_stopped_minute_are_skipped(self) -> None:
        harness = ScheduleHarness()
        for name, period_us in (("fast", 10 * MS), ("slow", 20 * SECOND)):
            harness.add(name, Priority.SAFETY, period_us, 10)
        harness.run(START_US + SECOND)
        turns_before = len(harness.turns)
        harness.now_us += 60 * SECOND
        harness.run(harness.now_us)
        self.assertEqual(["fast", "slow"], sorted(name for _, name, _ in harness.turns[turns_before:]))
        harness.run(harness.now_us + 45 * MS)
        self.assertEqual(4, len(harness.turns) - turns_before - 2)


class PeriodsAndPauses(unittest.TestCase):
    def test_repeated_wakes_give_one_turn_at_once(self) -> None:
        harness = ScheduleHarness()
        job = harness.add("one", Priority.TIDY, SECOND, 10)
        harness.run(START_US + 100 * MS)
        for _ in range(3):
            harness.schedule.wake(job, harness.now_us)
        harness.run(START_US + 200 * MS)
        self.assertEqual([0, 100 * MS], harness.start_times("one"))
        harness.run(START_US + 1150 * MS)
        self.assertEqual(1100 * MS + 10, harness.start_times("one")[2])

    def test_wake_of_a_running_job_gives_one_more_turn(self) -> None:
        harness = ScheduleHarness()
        woken = harness.add("woken", Priority.TIDY, 0)
        harness.schedule.wake(woken, START_US)
        self.assertIs(woken, harness.schedule.next_job(START_US))
        harness.schedule.wake(woken, START_US)
        harness.schedule.wake(woken, START_US)
        self.assertIsNone(harness.schedule.next_job(START_US), "the job was started while it was running")
        harness.schedule.end_turn(woken, JobResult.DONE, 100, START_US + 100)
        self.assertEqual(START_US + 100, harness.schedule.next_due_us(START_US + 100))
        self.assertIs(woken, harness.schedule.next_job(START_US + 100))
        harness.schedule.end_turn(woken, JobResult.DONE, 100, START_US + 200)
        self.assertIsNone(harness.schedule.next_due_us(START_US + 200))

    def test_earliest_of_several_delayed_wakes_counts(self) -> None:
        harness = ScheduleHarness()
        job = harness.add("once", Priority.SERVICE, 0)
        for delay_us in (50 * MS, 20 * MS, 70 * MS):
            harness.schedule.wake_after(job, delay_us, START_US)
        harness.run(START_US + SECOND)
        self.assertEqual([20 * MS], harness.start_times("once"))

    def test_pauses_after_failures_grow_differ_between_seeds_and_repeat_for_a_seed(self) -> None:
        def pauses(seed: int) -> list[int]:
            harness = ScheduleHarness(seed)
            job = harness.add(
                "fails", Priority.STATE, 100 * MS, 10, JobResult.FAILED, max_pause_us=5 * SECOND
            )
            waker = harness.add("wakes it", Priority.SAFETY, 100 * MS, 10)
            harness.functions[waker] = (
                lambda: harness.schedule.wake(job, harness.now_us) or 10,
                lambda: JobResult.DONE,
            )
            harness.run(START_US + 60 * SECOND)
            return intervals(harness.start_times("fails"))

        pauses_by_seed = [pauses(seed) for seed in range(8)]
        self.assertEqual(pauses_by_seed, [pauses(seed) for seed in range(8)])
        for seed_pauses in pauses_by_seed:
            for number, pause_us in enumerate(seed_pauses):
                max_us = min(5 * SECOND, 200 * MS << number)
                self.assertTrue(max_us // 2 <= pause_us <= max_us + 2 * TICK_US, (number, pause_us))
        self.assertEqual(
            8, len({seed_pauses[0] for seed_pauses in pauses_by_seed}), "some seeds retry together"
        )

    def test_job_whose_turn_never_ends_does_not_block_others(self) -> None:
        harness = ScheduleHarness()
        lost = harness.add("lost", Priority.SAFETY, 10 * MS)
        harness.add("other", Priority.TIDY, 10 * MS)
        self.assertIs(lost, harness.schedule.next_job(START_US))
        harness.schedule.wake(lost, START_US)
        harness.run(START_US + SECOND)
        self.assertGreater(len(harness.start_times("other")), 90)
        self.assertEqual([], harness.start_times("lost"))

    def test_stopped_schedule_runs_nothing_and_returns_final_runs_in_order(self) -> None:
        harness = ScheduleHarness()
        jobs = [
            harness.add(f"{number}", Priority(3 - number), MS, has_final_run=number != 1)
            for number in range(4)
        ]
        self.assertEqual([jobs[0], jobs[2], jobs[3]], harness.schedule.stop())
        harness.schedule.wake(jobs[0], START_US)
        self.assertEqual(
            (None, None), (harness.schedule.next_job(START_US), harness.schedule.next_due_us(START_US))
        )


class WorkerHarness:
    """A worker with the gateway's timers, on a virtual clock that jobs and waiting advance."""

    def __init__(self) -> None:
        self.now_us, self.counters = START_US, Counters()
        self.timers = Timers(self)
        self.worker = Worker(
            Schedule(random.Random(1).random, worker.TICK_US, worker.BUDGET_US),
            self.timers,
            self,
            self.counters,
            Log("g0", self),
            self.now,
        )
        self.turns: list[tuple[int, str]] = []

    def now(self) -> int:
        return self.now_us

    def add_job(
        self,
        name: str,
        period_us: int = 0,
        cost_us: int = 100,
        results: Iterable = (),
        has_final_run: bool = False,
        priority: Priority = Priority.STATE,
    ) -> Job:
        """Adds a job that returns or raises `results`, then None, or MORE if it has a final run."""
        remaining = list(results)

        def run(now_us: int) -> JobResult | None:
            self.turns.append((now_us - START_US, name))
            self.now_us += cost_us
            result = remaining.pop(0) if remaining else JobResult.MORE if has_final_run else None
            if isinstance(result, Exception):
                raise result
            return result

        return self.worker.add_job(name, priority, period_us, run, 2 * SECOND, run if has_final_run else None)

    def run(self, until_us: int) -> None:
        while (wait_us := self.timers.run_due()) is not None and self.now_us + wait_us <= until_us:
            self.now_us += wait_us
        self.now_us = max(self.now_us, until_us)

    def count(self, text: str) -> int:
        return self.counters.counts[f"background: {text}"]


class WorkerRuns(unittest.TestCase):
    def test_nothing_runs_before_the_start_and_turns_are_counted(self) -> None:
        harness = WorkerHarness()
        harness.add_job("long", SECOND, 30_000, priority=Priority.SAFETY)
        harness.add_job("short", 100 * MS, 40)
        harness.run(START_US + 200 * MS)
        self.assertEqual([], harness.turns)
        harness.worker.start()
        harness.run(START_US + 4 * SECOND)
        self.assertEqual(
            (4, 120_000, 30_000),
            tuple(harness.count(f"long {what}") for what in ("turns", "us", "longest us")),
        )
        self.assertEqual(harness.count("short turns"), sum(name == "short" for _, name in harness.turns))
        self.assertGreaterEqual(harness.count("short latest us"), 600 * MS)  # 30 ms are 60 ticks' budget
        self.assertEqual(4, harness.count("put off"))

    def test_failing_job_is_logged_once_and_retried_after_pauses(self) -> None:
        harness = WorkerHarness()
        harness.add_job("broken", 10 * MS, 10, [ValueError("no such thing")] * 5)
        harness.add_job("well", 10 * MS, 10)
        harness.worker.start()
        with contextlib.redirect_stderr(io.StringIO()) as stderr:
            harness.run(START_US + 10 * SECOND)
        self.assertEqual(1, stderr.getvalue().count("ValueError: no such thing"))
        self.assertIn("fault: background work, broken", stderr.getvalue())
        self.assertEqual((5, 5), (harness.count("broken failures"), harness.counters.counts["faults"]))
        start_times = [start_us for start_us, name in harness.turns if name == "broken"]
        self.assertEqual(sorted(intervals(start_times[:6])), intervals(start_times[:6]))
        self.assertLess(intervals(start_times)[-1], 21 * MS)  # it has recovered
        self.assertGreater(harness.count("well turns"), 480)

    def test_work_that_a_turn_starts_is_charged_to_the_budget(self) -> None:
        harness = WorkerHarness()
        job = harness.worker.add_job(
            "begins", Priority.SAFETY, 0, lambda now_us: harness.worker.charge(5_000)
        )
        harness.worker.start()
        for _ in range(3):
            harness.worker.wake(job)
            harness.run(harness.now_us + 30 * MS)
        self.assertEqual(1, harness.count("begins turns"))
        harness.run(START_US + 200 * MS)
        self.assertEqual((2, 0), (harness.count("begins turns"), harness.count("begins us")))

    def test_job_can_wake_another_job_and_itself(self) -> None:
        harness = WorkerHarness()
        other = harness.add_job("other")
        remaining_turns = [3]

        def run(now_us: int) -> None:
            harness.worker.wake(other)
            remaining_turns[0] -= 1
            if remaining_turns[0]:
                harness.worker.wake_after(job, 50 * MS)

        job = harness.worker.add_job("one", Priority.SAFETY, 0, run)
        harness.worker.start()
        harness.worker.wake(job)
        harness.run(START_US + SECOND)
        self.assertEqual((3, 3), (harness.count("one turns"), harness.count("other turns")))

    def test_final_runs_are_in_order_and_end_in_time(self) -> None:
        harness = WorkerHarness()
        more = [JobResult.MORE]
        harness.add_job("goes on", 10 * MS)
        harness.add_job("writes", results=more * 3 + [JobResult.DONE], has_final_run=True)
        harness.add_job("hangs", has_final_run=True)
        harness.add_job("raises", results=[OSError("full")], has_final_run=True)
        harness.add_job("is last", results=more + [JobResult.DONE], has_final_run=True)
        harness.worker.start()
        harness.run(START_US + 100 * MS)
        harness.turns.clear()
        stopped_us = harness.now_us
        with contextlib.redirect_stderr(io.StringIO()) as stderr:
            harness.worker.stop(harness.now_us, 300 * MS)
            harness.run(stopped_us + 300 * MS)
        self.assertTrue(harness.worker.is_finished)
        order = list(dict.fromkeys(name for _, name in harness.turns))
        self.assertEqual(["writes", "hangs", "raises", "is last"], order)
        counts = [sum(name == expected for _, name in harness.turns) for expected in order]
        self.assertEqual([4, 1, 2], [counts[0], *counts[2:]])
        self.assertEqual((1, 0), (harness.count("hangs not ended"), harness.count("is last not ended")))
        self.assertIn("OSError: full", stderr.getvalue())
        # A job that hangs gets an even share, here a third, of the time that the first one left.
        hanging_us = [START_US + start_us - stopped_us for start_us, name in harness.turns if name == "hangs"]
        self.assertTrue(90 * MS < hanging_us[-1] - hanging_us[0] <= 100 * MS, hanging_us[-1] - hanging_us[0])


if __name__ == "__main__":
    unittest.main()
