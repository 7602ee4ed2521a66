"""Worlds of snapshots, marks in a store and leases: counts as kept, broken variants on their schedules."""

from __future__ import annotations

import random
import unittest

from cresstray.model_checking import beliefs, lease_holders, marked
from cresstray.model_checking.explore import explore, replay, walk
from cresstray.model_checking.world import Bounds, freeze, thaw

CONFIGURATIONS = beliefs.CONFIGURATIONS | marked.CONFIGURATIONS | lease_holders.CONFIGURATIONS
MUTANTS = {one.name: one for one in beliefs.MUTANTS + marked.MUTANTS + lease_holders.MUTANTS}

# States, transitions, depth, and whether nothing was cut.
EXPLORED = (
    ("belief", {"words": 0}, (2201, 3355, 12, True)),
    ("belief", {"depth": 3}, (929, 1491, 3, False)),
    ("trials", {"words": 0, "leaves": 0}, (2276, 2585, 12, True)),
    ("trials", {"depth": 3}, (581, 883, 3, False)),
    ("marks", {"faults": 0, "leaves": 0}, (1084, 1214, 16, True)),
    ("marks", {"leaves": 0, "depth": 10}, (3238, 4032, 10, False)),
    ("marks", {"depth": 5, "submissions": 3, "words": 1}, (722, 971, 5, False)),
    ("holders", {"submissions": 1}, (2304, 4811, 10, True)),
    ("holders", {"words": 1}, (3457, 9488, 12, True)),
)
TWICE = "g1 is asked, store does g1/0, g1 sends, engines cut off g1, store does g1/0, time passes, "
# A schedule that shows each, the shortest but for `fence_ignored`, and the bounds that it needs.
CAUGHT = {
    "tombstones_forgotten_at_restart": (
        "register: e0 goes, register tells all, gateway ends, register tells before",
        {},
    ),
    "older_list_taken_as_newer": ("register tells before", {}),
    "warm_though_not_handed_over": ("e0 listens to the trial, gateway lists", {}),
    "once_only_sent_on_trial": ("gateway ends, e0 listens to the trial, post is asked, gateway lists", {}),
    "just_listed_is_no_trial": ("gateway ends, e0 listens to the trial, post is asked, gateway lists", {}),
    "refused_is_no_trial": (
        "e0 listens to the trial, e1 listens to the trial, read is asked, gateway lists, time passes, "
        "time passes, e0 cuts read, e1 serves read, post is asked",
        {"submissions": 2},
    ),
    "newer_start_unheard": (
        "register: e0 starts anew, register tells all, gateway ends slowly, last write is read, "
        "e0 listens to the trial, gateway lists",
        {},
    ),
    "left_out_is_kept": ("register: e0 goes, register tells all, register tells before", {}),
    "older_start_believed": ("register: e0 starts anew, register tells all, register tells before", {}),
    "address_of_another_kept": ("register: e0 is replaced, register tells news, register tells before", {}),
    "listed_though_told_gone": (
        "e0 listens to the trial, register: e0 goes, register tells all, gateway lists",
        {},
    ),
    "warm_as_the_register_had_it": ("e0 listens to the trial, register tells before", {}),
    "last_write_unheard": (
        "register: e0 goes, register tells all, gateway ends slowly, e0 listens to the trial, "
        "last write is read",
        {},
    ),
    "refusal_forgotten_once_asked_again": (
        "e0 listens to the trial, e1 refuses the trial, time passes, register tells all",
        {},
    ),
    "refusal_forgotten_with_the_last_write": (
        "register tells all, gateway ends slowly, e0 refuses the trial, last write is read, "
        "e0 listens to the trial, gateway lists",
        {},
    ),
    "marked_after_the_relay": (
        "g1 is asked, g1 sends, engines serve g1, store does g1/0, time passes, g1 is asked, time passes, "
        "g1 sends",
        {},
    ),
    "fence_ignored": (
        "g1 is asked, store does g1/0, g1 sends, g1 is killed, g2 is asked, time passes, store does g2/1, "
        "store hears g2/0 late, store does g2/1, time passes, g2 is asked, store does g2/0, store does g2/0, "
        "time passes, g2 sends",
        {"submissions": 3},
    ),
    "lease_by_timer_alone": (TWICE + "g1 is asked, store does g1/0, time passes, g1 sends", {}),
    "unknown_is_unrun": (TWICE + "g1 is asked, store does g1/0, store does g1/0, time passes, g1 sends", {}),
    "set_for_compare_and_set": (
        "g1 is asked, store does g1/0, g1 sends, engines serve g1, store does g1/0, time passes, "
        "g1 is asked, store does g1/0, time passes, g1 sends",
        {},
    ),
    "takeover_forgets_the_first": (
        "g1 is asked, store does g1/0, g1 sends, g1 is killed, time passes, g1 is asked, store does g1/0, "
        "store does g1/0, time passes, g1 sends",
        {},
    ),
    "doubt_is_cleared": (
        "g1 is asked, store does g1/0, g1 sends, g1 is killed, time passes, g1 is asked, g2 is asked, "
        "store does g1/0, store does g1/0, g1 sends and is refused, store does g1/0, store does g2/1, "
        "store does g2/0, time passes, g2 sends",
        {"submissions": 3},
    ),
    "asked_until_the_hard_stop": ("g1 is asked, time passes", {}),
    "holder_known_to_one_leader_only": (
        "a renews, leader hears a, b renews, log commits, a hears, leader changes, leader hears b, "
        "log commits, b hears",
        {},
    ),
    "granted_before_it_is_recorded": (
        "a renews, leader hears a, a hears, b renews, leader changes, leader hears b, b hears",
        {},
    ),
    "granted_while_another_is_recorded": (
        "a renews, a renews, b renews, leader hears b, leader hears a, log commits, b hears, "
        "leader changes and keeps the log, leader hears a, a hears",
        {},
    ),
    "memory_without_its_margin": (TWICE + "g1 is asked, store does g1/0, time passes, g1 sends", {}),
}


class Explored(unittest.TestCase):
    def test_counts_are_those_kept_and_nothing_is_broken(self) -> None:
        for name, bounds, kept in EXPLORED:
            with self.subTest(name, **bounds):
                found = explore(CONFIGURATIONS[name], Bounds(**bounds), name)
                self.assertIsNone(found.violation, found.violation and "\n".join(found.violation.lines()))
                self.assertEqual(kept, found[:4])

    def test_each_variant_is_caught_by_its_property_on_its_schedule(self) -> None:
        """And the code as it is keeps all promises there, as far as the schedule goes."""
        self.assertEqual(sorted(MUTANTS), sorted(CAUGHT))
        for name, (told, bounds) in CAUGHT.items():
            mutant, schedule = MUTANTS[name], told.split(", ")
            make = CONFIGURATIONS[mutant.seen_in]
            with self.subTest(name):
                with mutant.patch():
                    found = replay(make, Bounds(**bounds), mutant.seen_in, schedule)
                self.assertEqual(schedule, list(found.choices))
                self.assertIn(mutant.breaks, [one.split(":")[0] for one in found.broken])
                world = make(Bounds(**bounds))
                for choice in schedule:
                    if choice in world.choices():
                        world.do(choice)
                self.assertEqual([], world.broken)

    def test_walks_through_more_break_nothing(self) -> None:
        for name in CONFIGURATIONS:
            bounds = Bounds(depth=80, seed=4, faults=3, leaves=2, words=4, submissions=3)
            found = walk(CONFIGURATIONS[name], bounds, name, 500)
            self.assertIsNone(found.violation, found.violation and "\n".join(found.violation.lines()))
            self.assertGreater(found.transitions, 5000)

    def test_a_copy_has_the_same_future(self) -> None:
        for make in CONFIGURATIONS.values():
            for seed in range(6):
                chance, world = random.Random(seed), make(Bounds())
                for _ in range(8):
                    copy = thaw(freeze(world))
                    self.assertEqual(world.choices(), copy.choices())
                    choice = chance.choice(world.choices())
                    world.do(choice)
                    copy.do(choice)
                    self.assertEqual((world.choices(), world.broken), (copy.choices(), copy.broken))
                    if not world.choices():
                        break


if __name__ == "__main__":
    unittest.main()
