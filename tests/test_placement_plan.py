"""The planner, the order of moves and the plan check: brute force, swaps, dead ends, a large fleet."""

from __future__ import annotations

import heapq
import itertools
import subprocess
import sys
import unittest
from fractions import Fraction

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from benchmarks.placement import drawn
from cresstray.placement.check import check
from cresstray.placement.fleetmap import (
    DiskCapacity,
    ShardLoad,
    UnknownSizeError,
    build_fleet,
    describe_plan,
    fleet_after,
)
from cresstray.placement.model import (
    DeadEndError,
    EngineCapacity,
    Fleet,
    ImpossibleError,
    Limits,
    Move,
    Shard,
    tolerance_steps,
)
from cresstray.placement.order import order_moves
from cresstray.placement.planner import solve
from cresstray.placement.worker import SolverReply, WorkerError, _plan_from_replies, plan_in_worker

_QUIET = dict(
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)


@st.composite
def fleets(draw, tight: bool, grows: bool = False) -> Fleet:
    """`tight`: copies have to change zones, and disks have room for little more than what is on them."""
    engines = [f"e{at}" for at in range(draw(st.integers(3 if tight else 2, 4)))]
    held = dict.fromkeys(engines, 0)
    shards = []
    for at in range(draw(st.integers(2 if tight else 1, 6))):
        size = draw(st.integers(1, 9))
        copies = draw(
            st.sampled_from([["e0", "e1"], ["e2", engines[-1]], ["e0"], ["e1", "e2"]])
            if tight
            else st.permutations(engines).map(lambda all_: all_[:2])
        )
        copies = sorted(set(copies))[: draw(st.integers(1, 2)) if not tight else 2]
        for engine in copies:
            held[engine] += size
        growth = draw(st.integers(0, 2)) if grows else 0
        shards.append(Shard(f"s{at}", size, growth, 1.0, tuple(copies), copies[-1]))
    places = []
    for at, engine in enumerate(engines):
        headroom = draw(st.integers(0, 3))
        slack = draw(st.sampled_from([0, 0, 1, 3, 6]) if tight else st.integers(-3, 17))
        places.append(
            EngineCapacity(
                engine,
                f"z{at // 2}" if tight else draw(st.sampled_from(["z0", "z1"])),
                max(0, held[engine] + headroom + slack),
                headroom,
                100,
                draw(st.integers(0, 4)) == 4 and not tight,
            )
        )
    tolerance = 1.0 if tight else draw(st.sampled_from([0.05, 0.2, 1.0]))
    return Fleet(tuple(places), tuple(shards), Limits(tolerance, draw(st.integers(1, 2)), share=1.0))


def brute(fleet: Fleet) -> int | None:
    """Fewest bytes of single moves to a placement within the first tolerance that can be reached at all."""
    zone = {place.engine: place.zone for place in fleet.places}
    room = {place.engine: max(0, place.disk_bytes - place.headroom) for place in fleet.places}
    stays = {place.engine for place in fleet.places if not place.is_draining}
    two = len({zone[engine] for engine in stays}) > 1
    start = tuple(frozenset(shard.copies) for shard in fleet.shards)
    costs, heap, ties = {start: 0}, [(0, 0, start)], itertools.count(1)
    while heap:
        cost, _, state = heapq.heappop(heap)
        if cost > costs[state]:
            continue
        held = {
            engine: sum(shard.size for shard, spot in zip(fleet.shards, state) if engine in spot)
            for engine in room
        }
        for at, (shard, spot) in enumerate(zip(fleet.shards, state)):
            for target, source in itertools.product(stays - spot, spot):
                new = spot - {source} | {target}
                if held[target] + shard.size > room[target]:
                    continue
                if two and len({zone[one] for one in spot}) > 1 == len({zone[one] for one in new}):
                    continue
                then = (*state[:at], new, *state[at + 1 :])
                if cost + shard.size < costs.get(then, 1 << 60):
                    costs[then] = cost + shard.size
                    heapq.heappush(heap, (cost + shard.size, next(ties), then))
    whole = sum(room[engine] for engine in stays)
    mean = Fraction(sum(shard.size * len(shard.copies) for shard in fleet.shards), max(1, whole))

    def good(state: tuple[frozenset[str], ...], near: Fraction) -> bool:
        if any(spot - stays or (two and len(spot) > 1 == len({zone[one] for one in spot})) for spot in state):
            return False
        for engine in stays:
            held = sum(shard.size for shard, spot in zip(fleet.shards, state) if engine in spot)
            if held > room[engine] or near < 1 and abs(held - mean * room[engine]) > near * room[engine]:
                return False
        return True

    for tolerance in tolerance_steps(fleet.limits.tolerance):
        near = Fraction(round(tolerance * 10**6), 10**6)
        if reached := [cost for state, cost in costs.items() if good(state, near)]:
            return min(reached)
    return None


class Small(unittest.TestCase):
    @settings(max_examples=120, **_QUIET)
    @given(fleets(tight=False))
    def test_bytes_equal_brute_force(self, fleet: Fleet) -> None:
        self._equal(fleet)

    @settings(max_examples=120, **_QUIET)
    @given(fleets(tight=True))
    def test_bytes_equal_brute_force_where_disks_are_full(self, fleet: Fleet) -> None:
        self._equal(fleet)

    def _equal(self, fleet: Fleet) -> None:
        best = brute(fleet)
        try:
            plan = solve(fleet, 20)
        except (ImpossibleError, DeadEndError) as error:
            self.assertIsNone(best, error)
            return
        self.assertEqual((plan.bytes, plan.bound), (best, best))
        self.assertEqual(check(fleet, plan), [])

    @settings(max_examples=60, **_QUIET)
    @given(fleets(tight=False, grows=True))
    def test_no_breach_while_shards_grow(self, fleet: Fleet) -> None:
        try:
            plan = solve(fleet, 20)
        except (ImpossibleError, DeadEndError):
            return
        self.assertEqual(check(fleet, plan), [])
        self.assertLessEqual(plan.bound, plan.bytes)

    def test_engine_that_outgrows_its_headroom_is_late_and_receives_nothing(self) -> None:
        fleet = Fleet(
            (EngineCapacity("a", "z", 100, 0, 20), EngineCapacity("b", "z", 100, 0, 20)),
            tuple(Shard(f"s{at}", 33, 1, 1.0, ("a",), "a") for at in range(3)),
            Limits(0.2, share=1.0),
        )
        plan = solve(fleet, 20)
        self.assertEqual((plan.late, plan.bytes), (("a",), 33))
        self.assertEqual(check(fleet, plan), [])
        self.assertIn("a lacks", check(fleet, msgspec.structs.replace(plan, late=()))[0])
        self.assertIn("1 engines outgrow", describe_plan(fleet, plan)[1])


def _swap(third: int) -> Fleet:
    """Each of two full engines has what the zones ask of the other; `third` bytes are usable on another."""
    places = (
        EngineCapacity("a1", "a", 10, 0, 10),
        EngineCapacity("a2", "a", 10, 0, 10),
        EngineCapacity("b1", "b", 10, 0, 10),
        EngineCapacity("b2", "b", 10, 0, 10),
        EngineCapacity("c", "b", third, 0, 10),
    )
    shards = (Shard("p", 10, 0, 1.0, ("a1", "a2"), "a1"), Shard("q", 10, 0, 1.0, ("b1", "b2"), "b1"))
    return Fleet(places, shards, Limits(tolerance=1.0, share=1.0))


class MoveOrder(unittest.TestCase):
    def test_full_engines_swap_copies_over_a_third_engine(self) -> None:
        plan = solve(_swap(10), 20)
        self.assertEqual(check(_swap(10), plan), [])
        # One of four copies has to cross; the cheapest way has no engine but the third with room.
        self.assertEqual(plan.bytes, brute(_swap(10)))
        order = order_moves(_swap(10), [Move("p", "a2", "b2", 10), Move("q", "b2", "a2", 10)])
        self.assertEqual(sum(move.bytes for move in order.moves), 30)
        self.assertEqual([move.hop for move in order.moves], [True, False, False])
        self.assertEqual(order.moves[0].target, "c")

    def test_dead_end_names_engines_and_bytes(self) -> None:
        with self.assertRaises(DeadEndError) as raised:
            solve(_swap(7), 20)
        self.assertTrue(raised.exception.proven)
        self.assertTrue(raised.exception.missing)
        for engine, count in raised.exception.missing.items():
            self.assertEqual(count, 3 if engine == "c" else 10)
            self.assertIn(f"engine {engine} lacks {count} bytes", str(raised.exception))

    def test_needed_hop_counts_in_the_bytes_of_the_plan(self) -> None:
        places = (
            EngineCapacity("a", "y", 14, 0, 9),
            EngineCapacity("b", "z", 9, 0, 9),
            EngineCapacity("c", "z", 0, 0, 9),
        )
        shards = tuple(
            Shard(name, size, 0, 1.0, (engine,), engine)
            for name, size, engine in (("p", 4, "b"), ("q", 4, "b"), ("r", 1, "a"), ("s", 6, "a"))
        )
        fleet = Fleet(places, shards, Limits(0.03, share=1.0))
        plan = solve(fleet, 20)
        self.assertEqual((plan.bytes, plan.bound, brute(fleet)), (16, 16, 16))
        self.assertEqual([move.shard for move in plan.moves if move.hop], ["r"])
        self.assertEqual(check(fleet, plan), [])

    def test_hops_are_found_without_a_search(self) -> None:
        # Too many engines to try all ways: pairs of full engines that have to swap, one spare for all.
        places, shards, moves = [EngineCapacity("spare", "z", 10, 0, 10)], [], []
        for at in range(30):
            places += [EngineCapacity(f"x{at}", "z", 10, 0, 10), EngineCapacity(f"y{at}", "z", 10, 0, 10)]
            shards += [
                Shard(f"p{at}", 10, 0, 1.0, (f"x{at}",), f"x{at}"),
                Shard(f"q{at}", 9, 0, 1.0, (f"y{at}",), f"y{at}"),
            ]
            moves += [Move(f"p{at}", f"x{at}", f"y{at}", 10), Move(f"q{at}", f"y{at}", f"x{at}", 9)]
        order = order_moves(Fleet(tuple(places), tuple(shards), Limits(share=1.0)), moves)
        self.assertEqual(sum(move.bytes for move in order.moves), 30 * (10 + 9 + 9))
        self.assertEqual(sum(move.hop for move in order.moves), 30)

    def test_lost_shard_is_named(self) -> None:
        fleet = Fleet(
            (EngineCapacity("a", "z", 10, 0, 10), EngineCapacity("b", "z", 20, 0, 0, True)),
            (Shard("s", 2, 0, 1.0, ("b",), "b"), Shard("t", 2, 0, 1.0, ("a",), "a")),
        )
        with self.assertRaisesRegex(ImpossibleError, "of 1 shards: s$"):
            solve(fleet, 5)

    def test_a_dead_engine_is_emptied_from_other_copies(self) -> None:
        fleet = Fleet(
            (
                EngineCapacity("a", "y", 10, 0, 10),
                EngineCapacity("b", "z", 20, 0, 0, True),
                EngineCapacity("c", "z", 9, 0, 9),
            ),
            (Shard("s", 2, 0, 1.0, ("b", "a"), "b"),),
            Limits(1.0),
        )
        plan = solve(fleet, 5)
        self.assertEqual(
            [(move.source, move.target, move.primary) for move in plan.moves], [("b", "c", True)]
        )
        self.assertEqual(check(fleet, plan), [])

    def test_impossible_names_the_bytes(self) -> None:
        fleet = Fleet(
            (EngineCapacity("a", "z", 10, 5, 10), EngineCapacity("b", "z", 20, 0, 10, True)),
            (Shard("s", 12, 0, 1.0, ("b",), "b"),),
        )
        with self.assertRaises(ImpossibleError) as raised:
            solve(fleet, 5)
        self.assertEqual(raised.exception.missing, {"all engines": 7})


class PlanCheck(unittest.TestCase):
    """It has to see what is wrong with a plan that was spoilt."""

    def setUp(self) -> None:
        self.fleet = drawn(12, 90, seed=3)
        self.plan = solve(self.fleet, 20)
        self.assertEqual(check(self.fleet, self.plan), [])

    def _told(self, **spoilt: object) -> str:
        return "\n".join(check(self.fleet, msgspec.structs.replace(self.plan, **spoilt)))

    def test_invalid_plans_are_reported(self) -> None:
        plan = self.plan
        self.assertIn("each move once", self._told(stages=plan.stages[1:]))
        self.assertIn("do not add up", self._told(bytes=plan.bytes + 1))
        self.assertIn("than the bound", self._told(bound=plan.bytes + 1))
        self.assertIn("moves at once on", self._told(stages=(tuple(range(len(plan.moves))),)))
        self.assertIn("and says", self._told(seconds=plan.seconds + 1))
        out = next(place.engine for place in self.fleet.places if place.is_draining)
        bad = (*plan.moves[:-1], msgspec.structs.replace(plan.moves[-1], target=out))
        self.assertIn("out and takes", self._told(moves=bad))
        fewer = msgspec.structs.replace(plan.moves[0], primary=not plan.moves[0].primary)
        self.assertIn("its primary part", self._told(moves=(fewer, *plan.moves[1:])))
        self.assertIn("from the mean fill", self._told(tolerance=0.001))

    def test_headroom_is_recomputed(self) -> None:
        target = self.plan.moves[-1].target
        places = tuple(
            msgspec.structs.replace(
                place, headroom=place.disk_bytes if place.engine == target else place.headroom
            )
            for place in self.fleet.places
        )
        fleet = msgspec.structs.replace(self.fleet, places=places)
        self.assertTrue(any(f"{target} lacks" in line for line in check(fleet, self.plan)))


class LargeFleet(unittest.TestCase):
    def test_a_fleet_within_two_percent_and_the_same_each_time(self) -> None:
        fleet = drawn(40, 400, seed=5)
        told: list[int] = []
        plan = solve(fleet, 200, lambda better: told.append(better.bytes))
        self.assertEqual(check(fleet, plan), [])
        self.assertLess(plan.gap, 0.02)
        self.assertEqual(told[-1], plan.bytes)
        self.assertEqual(told, sorted(told, reverse=True))
        self.assertEqual(solve(fleet, 200), plan)
        then = solve(fleet_after(fleet, plan), 20)
        self.assertEqual((then.bytes, then.moves), (0, ()))
        lines = describe_plan(fleet, plan)
        changed = {move.source for move in plan.moves} | {move.target for move in plan.moves}
        self.assertEqual({line.split()[0] for line in lines[1:]}, changed)

    def test_worker(self) -> None:
        fleet = drawn(12, 90, seed=3)
        self.assertEqual(plan_in_worker(fleet, 200), solve(fleet, 200))
        with self.assertRaisesRegex(DeadEndError, "lacks"):
            plan_in_worker(_swap(7), 20)
        with self.assertRaisesRegex(WorkerError, "no plan was found in 0.01 s"):
            plan_in_worker(fleet, 0.01, margin=0.0)
        with self.assertRaisesRegex(ValueError, "engine b is not known"):
            plan_in_worker(
                Fleet((EngineCapacity("a", "z", 9, 0, 9),), (Shard("s", 1, 0, 1.0, ("b",), "b"),)), 5
            )

    def test_last_plan_of_a_killed_worker_counts(self) -> None:
        plan = solve(_swap(10), 20)
        self.assertEqual(_plan_from_replies([SolverReply("better", plan)], -9, b"", 1.0), plan)
        with self.assertRaisesRegex(WorkerError, "died with 1: MemoryError"):
            _plan_from_replies([], 1, b"Traceback\nMemoryError\n", 1.0)

    def test_worker_reports_invalid_input(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "cresstray.placement.worker"],
            input=b"\0\0\0\1\xc1",
            capture_output=True,
            timeout=60,
        )
        self.assertIn(b"fault", done.stdout)

    def test_only_the_worker_loads_scipy(self) -> None:
        code = (
            "import sys;"
            "import cresstray.placement.worker, cresstray.placement.fleetmap, cresstray.placement.check;"
            "sys.exit('scipy' in sys.modules or 'numpy' in sys.modules)"
        )
        self.assertEqual(subprocess.run([sys.executable, "-c", code], timeout=60).returncode, 0)


class FleetFromReports(unittest.TestCase):
    def test_fleet_is_built_from_placement_and_reports(self) -> None:
        placement = {
            "2": Shard("", 0, 0, 0.0, ("a", "b"), "a"),
            "1": Shard("", 0, 0, 0.0, ("b", "dead"), "b"),
        }
        disks = [
            DiskCapacity("a", "z1", 50, 9, {"2": 10, "old": 5}),
            DiskCapacity("b", "z2", 40, 9, {"2": 12, "1": 7}),
            DiskCapacity("c", "z1", 99, 9, {}),
        ]
        fleet = build_fleet(placement, disks, {"1": ShardLoad(3, 2.0)}, ["b"], 0.1, 6, Limits())
        self.assertEqual([shard.name for shard in fleet.shards], ["1", "2"])
        self.assertEqual([(shard.size, shard.growth) for shard in fleet.shards], [(7, 3), (12, 0)])
        self.assertEqual(
            [(place.engine, place.disk_bytes, place.headroom, place.is_draining) for place in fleet.places],
            [("a", 60, 6, False), ("b", 59, 6, True), ("c", 99, 9, False), ("dead", 1 << 60, 0, True)],
        )
        with self.assertRaisesRegex(UnknownSizeError, "of 1 shards: 3"):
            build_fleet(
                {**placement, "3": Shard("", 0, 0, 0.0, ("a",), "a")}, disks, {}, [], 0.1, 6, Limits()
            )


if __name__ == "__main__":
    unittest.main()
