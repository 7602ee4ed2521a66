"""Background work: whose turn it is, what it may take, and how it ends. On a clock of its own."""

import contextlib
import io
import random
import unittest
from collections.abc import Callable, Iterable

from cresstray.background import schedule, worker
from cresstray.background.schedule import AGE, LEAST, Job, JobResult, Priority, Schedule
from cresstray.background.worker import Worker
from cresstray.clock import Timers
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log

TICK, BUDGET, MS, SECOND = 10_000, 500, 1000, 1_000_000
START = 1_000 * SECOND + 1


class Turns:
    """A schedule, driven as a worker does it; each job takes a time, and ends somehow."""

    def __init__(self, seed: int = 1) -> None:
        self.schedule, self.now = Schedule(random.Random(seed).random, TICK, BUDGET), START
        self.does: dict[Job, tuple[Callable[[], int], Callable[[], JobResult]]] = {}
        self.ran: list[tuple[int, str, int]] = []  # from when, what, how long

    def add(
        self,
        name: str,
        priority: Priority,
        every: int,
        took: int | Callable[[], int] = 100,
        outcome: JobResult | Callable[[], JobResult] = JobResult.DONE,
        **more: int,
    ) -> Job:
        job = self.schedule.add(name, priority, every, self.now, **more)
        self.does[job] = (
            took if callable(took) else lambda: took,
            outcome if callable(outcome) else lambda: outcome,
        )
        return job

    def run(self, until: int) -> list[tuple[int, str, int]]:
        """What has run since START; jobs move the clock."""
        vain = False
        while True:
            while (job := self.schedule.next(self.now)) is not None:
                vain = False
                took, outcome = (one() for one in self.does[job])
                self.ran.append((self.now - START, job.name, took))
                self.now += took
                self.schedule.ended(job, outcome, took, self.now)
            due = self.schedule.due(self.now)
            if due is None or due > until:
                self.now = max(self.now, until)
                return self.ran
            assert due > self.now and not vain, "asked to call again for nothing"
            self.now, vain = due, True

    def began(self, name: str) -> list[int]:
        return [at for at, one, _ in self.ran if one == name]


def gaps(times: list[int]) -> list[int]:
    return [later - sooner for sooner, later in zip(times, times[1:])]


class Whose(unittest.TestCase):
    def test_by_priority_and_in_the_order_of_becoming_due(self) -> None:
        turns = Turns()
        for name, priority in (("tidy", 3), ("state", 2), ("safety", 0), ("state too", 2), ("service", 1)):
            turns.add(name, Priority(priority), SECOND, 1)
        self.assertEqual(
            ["safety", "service", "state", "state too", "tidy"], [name for _, name, _ in turns.run(START)]
        )
        self.assertIsNone(turns.schedule.next(turns.now))

    def test_nothing_waits_for_longer_than_the_bound(self) -> None:
        """Jobs that always want more, of every priority: whoever becomes due runs within what is stated."""
        longest = 2_000
        for seed in range(20):
            rng, turns, waited = random.Random(seed), Turns(seed), {}
            for number in range(rng.randrange(2, 9)):
                turns.add(
                    f"greedy {number}",
                    Priority(rng.randrange(3)),
                    MS * rng.randrange(1, 20),
                    lambda rng=rng: rng.randrange(longest + 1),
                    lambda rng=rng: rng.choice([JobResult.MORE, JobResult.MORE, JobResult.DONE]),
                )
            for priority in Priority:
                turns.add(priority.name, priority, 300 * MS, longest)
            jobs, ended = len(turns.does), turns.schedule.ended

            def watched(job: Job, *rest: object, waited=waited, ended=ended) -> None:
                waited[job.name] = max(waited.get(job.name, 0), job.late)
                ended(job, *rest)

            turns.schedule.ended = watched
            turns.run(START + 20 * SECOND)
            for priority in Priority:
                bound = priority * AGE + (-(-jobs * longest // BUDGET) + 1) * TICK
                self.assertLessEqual(waited[priority.name], bound, (seed, priority))
                self.assertGreater(len(turns.began(priority.name)), 5)

    def test_what_takes_no_time_and_wants_more_leaves_the_loop(self) -> None:
        turns = Turns()
        turns.add("greedy", Priority.SAFETY, MS, 0, JobResult.MORE)
        turns.run(START)
        self.assertEqual(BUDGET // LEAST, len(turns.ran))


class Budget(unittest.TestCase):
    def test_it_is_kept_in_every_run_of_ticks(self) -> None:
        for seed in range(10):
            rng, turns, longest = random.Random(seed), Turns(seed), 3_000
            for number in range(6):
                turns.add(
                    f"{number}",
                    Priority(number % 4),
                    MS * rng.randrange(1, 40),
                    lambda rng=rng, longest=longest: rng.choice((0, 50, 200, longest)),
                    lambda rng=rng: rng.choice(list(JobResult)),
                )
            turns.run(START + 3 * SECOND)
            begun = [((START + at) // TICK, max(LEAST, took)) for at, _, took in turns.ran]
            for first, (tick, _) in enumerate(begun):
                spent = 0
                for other, took in begun[first : first + 100]:
                    spent += took
                    self.assertLess(spent, (other - tick + 1) * BUDGET + longest)
            self.assertGreater(turns.schedule.put_off, 10)

    def test_one_that_overruns_pays_from_the_following_ticks(self) -> None:
        turns = Turns()
        turns.add("long", Priority.SAFETY, 5 * SECOND, 20_000)
        turns.add("short", Priority.SAFETY, 10 * MS, 10)
        turns.run(START + SECOND)
        # 20,000 of the first tick's 500: the 39 that follow are paid with, and the next has something left.
        self.assertEqual(40 * TICK - 1, turns.began("short")[0])
        self.assertEqual(1, turns.schedule.put_off)

    def test_no_turn_is_paid_for_longer_than_a_second(self) -> None:
        turns = Turns()
        turns.add("endless", Priority.STATE, 0, 60 * SECOND)
        turns.schedule.wake(next(iter(turns.does)), START)
        turns.add("short", Priority.TIDY, 100 * MS)
        turns.run(START + 70 * SECOND)
        self.assertLessEqual(turns.began("short")[0] - 60 * SECOND, schedule.MOST_DEBT + TICK)

    def test_what_is_left_of_a_tick_is_not_saved_up(self) -> None:
        turns = Turns()
        turns.add("greedy", Priority.TIDY, 10 * SECOND, 100, JobResult.MORE)
        turns.run(START)
        turns.now += 8 * SECOND
        before = len(turns.ran)
        turns.run(turns.now)
        self.assertEqual((5, 5), (before, len(turns.ran) - before))

    def test_a_minute_that_passes_in_one_tick_is_no_burst(self) -> None:
        turns = Turns()
        for name, every in (("fast", 10 * MS), ("slow", 20 * SECOND)):
            turns.add(name, Priority.SAFETY, every, 10)
        turns.run(START + SECOND)
        before = len(turns.ran)
        turns.now += 60 * SECOND
        turns.run(turns.now)
        self.assertEqual(["fast", "slow"], sorted(name for _, name, _ in turns.ran[before:]))
        turns.run(turns.now + 45 * MS)
        self.assertEqual(4, len(turns.ran) - before - 2)


class Periods(unittest.TestCase):
    def test_a_wake_counts_once_and_at_once(self) -> None:
        turns = Turns()
        job = turns.add("one", Priority.TIDY, SECOND, 10)
        turns.run(START + 100 * MS)
        for _ in range(3):
            turns.schedule.wake(job, turns.now)
        turns.run(START + 200 * MS)
        self.assertEqual([0, 100 * MS], turns.began("one"))
        turns.run(START + 1150 * MS)
        self.assertEqual(1100 * MS + 10, turns.began("one")[2])

    def test_a_wake_while_it_runs_is_a_further_turn(self) -> None:
        turns = Turns()
        woken = turns.add("woken", Priority.TIDY, 0)
        turns.schedule.wake(woken, START)
        self.assertIs(woken, turns.schedule.next(START))
        turns.schedule.wake(woken, START)
        turns.schedule.wake(woken, START)
        self.assertIsNone(turns.schedule.next(START), "it ran twice at once")
        turns.schedule.ended(woken, JobResult.DONE, 100, START + 100)
        self.assertEqual(START + 100, turns.schedule.due(START + 100))
        self.assertIs(woken, turns.schedule.next(START + 100))
        turns.schedule.ended(woken, JobResult.DONE, 100, START + 200)
        self.assertIsNone(turns.schedule.due(START + 200))

    def test_later_is_the_sooner_of_two(self) -> None:
        turns = Turns()
        job = turns.add("once", Priority.SERVICE, 0)
        for wait in (50 * MS, 20 * MS, 70 * MS):
            turns.schedule.later(job, wait, START)
        turns.run(START + SECOND)
        self.assertEqual([20 * MS], turns.began("once"))

    def test_pauses_grow_are_spread_and_are_the_same_for_a_seed(self) -> None:
        def pauses(seed: int) -> list[int]:
            turns = Turns(seed)
            job = turns.add("fails", Priority.STATE, 100 * MS, 10, JobResult.FAILED, longest_pause=5 * SECOND)
            wakes = turns.add("wakes it", Priority.SAFETY, 100 * MS, 10)
            turns.does[wakes] = (lambda: turns.schedule.wake(job, turns.now) or 10, lambda: JobResult.DONE)
            turns.run(START + 60 * SECOND)
            return gaps(turns.began("fails"))

        seen = [pauses(seed) for seed in range(8)]
        self.assertEqual(seen, [pauses(seed) for seed in range(8)])
        for one in seen:
            for number, pause in enumerate(one):
                most = min(5 * SECOND, 200 * MS << number)
                self.assertTrue(most // 2 <= pause <= most + 2 * TICK, (number, pause))
        self.assertEqual(8, len({one[0] for one in seen}), "all come back at once")

    def test_one_whose_turn_is_never_ended_holds_up_nobody_else(self) -> None:
        turns = Turns()
        lost = turns.add("lost", Priority.SAFETY, 10 * MS)
        turns.add("other", Priority.TIDY, 10 * MS)
        self.assertIs(lost, turns.schedule.next(START))
        turns.schedule.wake(lost, START)
        turns.run(START + SECOND)
        self.assertGreater(len(turns.began("other")), 90)
        self.assertEqual([], turns.began("lost"))

    def test_stopped_nothing_runs_and_the_last_turns_are_in_order(self) -> None:
        turns = Turns()
        jobs = [turns.add(f"{number}", Priority(3 - number), MS, at_end=number != 1) for number in range(4)]
        self.assertEqual([jobs[0], jobs[2], jobs[3]], turns.schedule.stop())
        turns.schedule.wake(jobs[0], START)
        self.assertEqual((None, None), (turns.schedule.next(START), turns.schedule.due(START)))


class Loop:
    """A worker with the gateway's timers, on a clock that only jobs and waiting move."""

    def __init__(self) -> None:
        self.at, self.counters = START, Counters()
        self.timers = Timers(self)
        self.worker = Worker(
            Schedule(random.Random(1).random, worker.TICK, worker.BUDGET),
            self.timers,
            self,
            self.counters,
            Log("g0", self),
            self.now,
        )
        self.ran: list[tuple[int, str]] = []

    def now(self) -> int:
        return self.at

    def does(
        self,
        name: str,
        every: int = 0,
        took: int = 100,
        ends: Iterable = (),
        last: bool = False,
        priority: Priority = Priority.STATE,
    ) -> Job:
        """`ends`: what it returns or raises, turn by turn, then None; where it is the `last`, MORE."""
        left = list(ends)

        def call(now: int) -> JobResult | None:
            self.ran.append((now - START, name))
            self.at += took
            how = left.pop(0) if left else JobResult.MORE if last else None
            if isinstance(how, Exception):
                raise how
            return how

        return self.worker.does(name, priority, every, call, 2 * SECOND, call if last else None)

    def run(self, until: int) -> None:
        while (left := self.timers.run_due()) is not None and self.at + left <= until:
            self.at += left
        self.at = max(self.at, until)

    def count(self, text: str) -> int:
        return self.counters.counts[f"background: {text}"]


class Working(unittest.TestCase):
    def test_counts_and_nothing_before_the_start(self) -> None:
        loop = Loop()
        loop.does("long", SECOND, 30_000, priority=Priority.SAFETY)
        loop.does("short", 100 * MS, 40)
        loop.run(START + 200 * MS)
        self.assertEqual([], loop.ran)
        loop.worker.start()
        loop.run(START + 4 * SECOND)
        self.assertEqual(
            (4, 120_000, 30_000), tuple(loop.count(f"long {what}") for what in ("turns", "us", "longest us"))
        )
        self.assertEqual(loop.count("short turns"), sum(name == "short" for _, name in loop.ran))
        self.assertGreaterEqual(loop.count("short latest us"), 600 * MS)  # 30 ms are 60 ticks' budget
        self.assertEqual(4, loop.count("put off"))

    def test_one_that_raises_is_told_once_and_pauses(self) -> None:
        loop = Loop()
        loop.does("broken", 10 * MS, 10, [ValueError("no such thing")] * 5)
        loop.does("well", 10 * MS, 10)
        loop.worker.start()
        with contextlib.redirect_stderr(io.StringIO()) as said:
            loop.run(START + 10 * SECOND)
        self.assertEqual(1, said.getvalue().count("ValueError: no such thing"))
        self.assertIn("fault: background work, broken", said.getvalue())
        self.assertEqual((5, 5), (loop.count("broken failures"), loop.counters.counts["faults"]))
        began = [at for at, name in loop.ran if name == "broken"]
        self.assertEqual(sorted(gaps(began[:6])), gaps(began[:6]))
        self.assertLess(gaps(began)[-1], 21 * MS)  # well again
        self.assertGreater(loop.count("well turns"), 480)

    def test_what_a_turn_begins_counts_against_the_budget(self) -> None:
        loop = Loop()
        job = loop.worker.does("begins", Priority.SAFETY, 0, lambda now: loop.worker.begun(5_000))
        loop.worker.start()
        for _ in range(3):
            loop.worker.wake(job)
            loop.run(loop.at + 30 * MS)
        self.assertEqual(1, loop.count("begins turns"))
        loop.run(START + 200 * MS)
        self.assertEqual((2, 0), (loop.count("begins turns"), loop.count("begins us")))

    def test_a_job_that_wakes_another_and_itself(self) -> None:
        loop = Loop()
        other = loop.does("other")
        left = [3]

        def call(now: int) -> None:
            loop.worker.wake(other)
            left[0] -= 1
            if left[0]:
                loop.worker.later(job, 50 * MS)

        job = loop.worker.does("one", Priority.SAFETY, 0, call)
        loop.worker.start()
        loop.worker.wake(job)
        loop.run(START + SECOND)
        self.assertEqual((3, 3), (loop.count("one turns"), loop.count("other turns")))

    def test_last_turns_in_order_and_within_their_time(self) -> None:
        loop = Loop()
        more = [JobResult.MORE]
        loop.does("goes on", 10 * MS)
        loop.does("writes", ends=more * 3 + [JobResult.DONE], last=True)
        loop.does("hangs", last=True)
        loop.does("raises", ends=[OSError("full")], last=True)
        loop.does("is last", ends=more + [JobResult.DONE], last=True)
        loop.worker.start()
        loop.run(START + 100 * MS)
        loop.ran.clear()
        stopped = loop.at
        with contextlib.redirect_stderr(io.StringIO()) as said:
            loop.worker.stop(loop.at, 300 * MS)
            loop.run(stopped + 300 * MS)
        self.assertTrue(loop.worker.over)
        order = list(dict.fromkeys(name for _, name in loop.ran))
        self.assertEqual(["writes", "hangs", "raises", "is last"], order)
        counts = [sum(name == one for _, name in loop.ran) for one in order]
        self.assertEqual([4, 1, 2], [counts[0], *counts[2:]])
        self.assertEqual((1, 0), (loop.count("hangs not ended"), loop.count("is last not ended")))
        self.assertIn("OSError: full", said.getvalue())
        # A third of what the first left: no more than an even share for one that hangs.
        hung = [START + at - stopped for at, name in loop.ran if name == "hangs"]
        self.assertTrue(90 * MS < hung[-1] - hung[0] <= 100 * MS, hung[-1] - hung[0])


if __name__ == "__main__":
    unittest.main()
