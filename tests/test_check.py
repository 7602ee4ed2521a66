"""The explorer at small bounds: counts as kept, broken variants caught, and its parts do what they say."""

from __future__ import annotations

import itertools
import random
import tomllib
import unittest
from collections.abc import Iterator
from pathlib import Path

from cresstray.model_checking.configurations import CONFIGURATIONS
from cresstray.model_checking.explore import Trace, explore, replay, walk
from cresstray.model_checking.gateway import MUTANTS, Passage
from cresstray.model_checking.patching import lines
from cresstray.model_checking.properties import PROPERTIES
from cresstray.model_checking.world import Bounds, thaw
from cresstray.pipeline.accounting import RequestAccounting

KEPT = tomllib.loads((Path(__file__).parent / "check_kept.toml").read_text())


def somewhere(name: str, count: int) -> Iterator[tuple[list[str], Passage]]:
    """States of random schedules, and how each was reached."""
    for seed in range(count):
        chance, world, path = random.Random(seed), CONFIGURATIONS[name](Bounds()), []
        for _ in range(2 + seed % 9):
            choices = world.choices()
            if not choices:
                break
            path.append(chance.choice(choices))
            world.do(path[-1])
        if world.choices():
            yield path, world


class Led:
    """A world that can't be copied: it is led from the start to each of its states."""

    def __init__(self, world: Passage) -> None:
        self.broken, self.choices, self.do, self.quiet = world.broken, world.choices, world.do, world.quiet
        self.fingerprint, self.independent = world.fingerprint, world.independent


class Explored(unittest.TestCase):
    def test_counts_are_those_kept_and_nothing_is_broken(self) -> None:
        for row in KEPT["explored"]:
            with self.subTest(**row):
                found = explore(CONFIGURATIONS[row["name"]], Bounds(**row["bounds"]), row["name"])
                self.assertIsNone(found.violation, found.violation and "\n".join(found.violation.lines()))
                self.assertEqual(row["found"], [found.states, found.transitions, found.depth, found.complete])

    def test_workers_and_replay_from_the_start_count_the_same(self) -> None:
        bounds = Bounds(depth=4, leaves=1)
        alone = explore(CONFIGURATIONS["order"], bounds)
        together = explore(CONFIGURATIONS["order"], bounds._replace(workers=2))
        self.assertEqual(alone[:4], together[:4])
        led = explore(lambda given: Led(CONFIGURATIONS["order"](given)), bounds)
        self.assertEqual(alone[:4], led[:4])

    def test_a_breach_is_found_shortest_and_replays(self) -> None:
        for row in KEPT["caught"]:
            mutant = next(one for one in MUTANTS if one.name == row["name"])
            with self.subTest(mutant.name), mutant.patch():
                make = CONFIGURATIONS[mutant.seen_in]
                found = explore(make, Bounds(), mutant.seen_in, None, mutant.breaks)
                plain = explore(make, Bounds(reduced=False), mutant.seen_in, None, mutant.breaks)
                self.assertEqual(row["choices"], list(found.violation.choices))
                self.assertEqual(len(row["choices"]), len(plain.violation.choices))
                kept = Trace.read(found.violation.lines())
                self.assertEqual(
                    found.violation.broken, replay(make, Bounds(), mutant.seen_in, kept.choices).broken
                )
            self.assertFalse(replay(make, Bounds(), mutant.seen_in, ()).broken)

    def test_each_property_has_its_sentence_and_a_variant(self) -> None:
        self.assertEqual([], [one.name for one in MUTANTS if one.breaks not in PROPERTIES])
        self.assertEqual([], [one.name for one in MUTANTS if one.seen_in not in CONFIGURATIONS])
        tried = {one.breaks for one in MUTANTS}
        self.assertEqual({"one_crossing", "credit", "belief", "one_holder"}, set(PROPERTIES) - tried)


class Copied(unittest.TestCase):
    def test_a_copy_is_the_same_and_has_the_same_future(self) -> None:
        for name in ("attempt", "drain", "budget", "order"):
            for path, world in somewhere(name, 25):
                state = world.freeze()
                copy = thaw(state)
                self.assertEqual(state, copy.freeze(), path)
                for choice in world.choices():
                    led = CONFIGURATIONS[name](Bounds())
                    for step in (*path, choice):
                        led.do(step)
                    copy = thaw(state)
                    copy.do(choice)
                    self.assertEqual(led.fingerprint(), copy.fingerprint(), (path, choice))

    def test_what_is_told_independent_leads_to_one_state(self) -> None:
        pairs = 0
        for path, world in itertools.chain(somewhere("attempt", 400), somewhere("drain", 100)):
            state = world.freeze()
            for one, other in itertools.combinations(world.choices(), 2):
                if world.independent(one, other):
                    pairs += 1
                    ends = []
                    for first, second in ((one, other), (other, one)):
                        led = thaw(state)
                        led.do(first)
                        self.assertIn(second, led.choices(), (path, first))
                        led.do(second)
                        ends.append(led.fingerprint())
                    self.assertEqual(*ends, (path, one, other))
        self.assertGreater(pairs, 50)


class Walked(unittest.TestCase):
    def test_walks_are_those_of_their_seed_and_break_nothing(self) -> None:
        bounds = Bounds(
            depth=300, engines=3, submissions=5, faults=6, leaves=2, words=5, reduced=False, seed=3
        )
        for name in ("attempt", "drain", "budget", "order"):
            found = walk(CONFIGURATIONS[name], bounds, name, 60)
            self.assertIsNone(found.violation, found.violation and "\n".join(found.violation.lines()))
            self.assertEqual(found[:4], walk(CONFIGURATIONS[name], bounds, name, 60)[:4])

    def test_a_walk_that_breaks_is_shortened(self) -> None:
        mutant = next(one for one in MUTANTS if one.name == "left_keeps_budget")
        with mutant.patch():
            found = walk(CONFIGURATIONS["budget"], Bounds(depth=300, submissions=5, seed=1), "budget", 300)
        self.assertTrue(found.violation.broken[0].startswith("further_budget"))
        self.assertLess(len(found.violation.choices), found.depth)


class Patched(unittest.TestCase):
    def test_a_variant_that_changes_nothing_is_refused(self) -> None:
        with self.assertRaises(ValueError), lines((RequestAccounting.release, "no such piece", "pass"))():
            self.fail("it was taken for a variant")

    def test_what_is_no_trace_is_refused(self) -> None:
        for given in (["nothing"], ["mutant: a"], []):
            with self.assertRaises(ValueError):
                Trace.read(given)
        with self.assertRaises(ValueError):
            replay(CONFIGURATIONS["order"], Bounds(), "order", ["e0 serves a"])


if __name__ == "__main__":
    unittest.main()
