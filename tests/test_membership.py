"""The membership estimate, confidence, probes, and when snapshots are written."""

from __future__ import annotations

import random
import tomllib
import unittest

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.membership import confidence, probe_budget
from cresstray.membership.background_writer import WriteSchedule
from cresstray.membership.confidence import UNKNOWN_AGE_US, ClockReading
from cresstray.membership.estimate import MembershipEstimate
from cresstray.membership.estimate_states import ContactResult, EstimateState, EvidenceSource
from cresstray.membership.reconciliation import INDEX_SETTLE_TIME_US, TOMBSTONE_LIFETIME_US, Tombstone
from tests.membership_desk import (
    DRAINING,
    GRACE,
    READY,
    REMOVED,
    SECOND,
    START,
    STORED,
    WAIT,
    member,
    remembered,
)


class StatesTest(unittest.TestCase):
    """The table of transitions, every cell."""

    WAYS = {
        "remembered": (),
        "probing": ("probe due",),
        "listed": ("probe due", "listening"),
        "confirmed": ("probe due", "listening", "served"),
        "unreachable": ("probe due", "refused"),
        "registered": ("registered ready",),
        "removed": ("removed",),
    }

    def does(self, one: MembershipEstimate, event: str, now: int) -> list[Endpoint]:
        highest = one.index_tracker.highest
        if event == "probe due":
            one.start_due_probes(now)
            return []
        if event in ("registered ready", "registered draining", "removed"):
            state = {"ready": READY, "draining": DRAINING, "removed": REMOVED}[event.split()[-1]]
            one.apply_event(EndpointEvent(highest + 1, False, [member(1, state)]), now)
            return []
        if event == "left out":
            one.apply_event(EndpointEvent(highest + 1, True, [member(2)]), now)
            return []
        if event == "older list":  # a complete one of discovery, without it
            one.apply_event(EndpointEvent(highest - 1, True, [member(2)]), now)
            return []
        if event == "remembered list":
            one.merge_remembered([(member(1), 9 * SECOND)], 40, [], EvidenceSource.PEER, now)
            return []
        return one.on_contact(1, ContactResult(event), now)

    def name(self, one: MembershipEstimate) -> str:
        state = one.state_of(1)
        is_listed = state is EstimateState.PROBING and one.endpoints[1].is_listed
        return "listed" if is_listed else state.value

    def test_every_cell_is_as_drawn(self) -> None:
        table = tomllib.loads((STORED.parent / "conformance/membership.toml").read_text())
        self.assertEqual(set(table["states"]), set(self.WAYS))
        for state, row in table["states"].items():
            self.assertEqual(len(row), len(table["events"]))
            for event, cell in zip(table["events"], row):
                one = remembered(member(1))
                for way in self.WAYS[state]:
                    self.does(one, way, START)
                self.assertEqual(self.name(one), state)
                out = self.does(one, event, START + SECOND)
                mark = "".join("!" if one.state is REMOVED else "+" for one in out)
                expected = state if cell == "-" else cell.split()[0]
                with self.subTest(state=state, event=event):
                    self.assertEqual((self.name(one), mark), (expected, cell[-1] if cell[-1] in "+!" else ""))


class EstimateTest(unittest.TestCase):
    def test_an_old_list_raises_nothing_that_is_gone(self) -> None:
        one = MembershipEstimate(GRACE, WAIT, random.Random(1).random, START)
        one.merge_remembered(
            [(member(n), SECOND) for n in (1, 2, 3)], 50, [Tombstone(2, 5, 50, 0)], EvidenceSource.DISK, START
        )
        self.assertEqual(one.state_of(2), EstimateState.REMOVED)
        passed = one.apply_event(EndpointEvent(40, True, [member(1), member(2)]), START)
        self.assertEqual((passed.is_complete, [m.id for m in passed.endpoints]), (False, [1]))
        self.assertEqual(one.state_of(3), EstimateState.REMEMBERED)  # an older list can't say that it is gone
        one.merge_remembered([(member(2), 0)], 50, [], EvidenceSource.PEER, START)
        self.assertEqual(one.state_of(2), EstimateState.REMOVED)
        passed = one.apply_event(EndpointEvent(51, False, [member(2)]), START)  # later news can
        self.assertEqual(([m.id for m in passed.endpoints], one.state_of(2)), ([2], EstimateState.REGISTERED))
        one.apply_event(EndpointEvent(52, False, [member(2, REMOVED)]), START)
        one.apply_event(EndpointEvent(30, False, [member(2, started=9)]), START)  # and so can a later start
        self.assertEqual(one.state_of(2), EstimateState.REGISTERED)

    def test_tombs_last_a_week_of_running_time_however_clocks_are_set(self) -> None:
        one = MembershipEstimate(GRACE, WAIT, random.Random(1).random, START)
        one.merge_remembered(
            [],
            50,
            [Tombstone(1, 5, 50, TOMBSTONE_LIFETIME_US - 10 * SECOND), Tombstone(2, 5, 50, 0)],
            EvidenceSource.DISK,
            START,
        )
        self.assertEqual(
            [tomb.known_for_us for tomb in one.tombstones.unexpired(START - 9 * SECOND)],
            [TOMBSTONE_LIFETIME_US - 10 * SECOND, 0],
        )
        self.assertEqual([tomb.id for tomb in one.tombstones.unexpired(START + 11 * SECOND)], [2])

    def test_a_week_old_list_with_addresses_that_moved_and_were_given_to_others(self) -> None:
        one = remembered(member(1), member(2), member(3), age=7 * 86_400 * SECOND)
        self.assertEqual(len(one.start_due_probes(START)), 3)
        passed = one.apply_event(
            EndpointEvent(60, False, [member(1, port=2000, started=7), member(8, port=1002)]), START
        )
        self.assertEqual([m.port for m in passed.endpoints], [2000, 1002])
        self.assertEqual(
            (one.state_of(1), one.state_of(2)), (EstimateState.REGISTERED, EstimateState.REMOVED)
        )  # 8 has the address of 2
        self.assertEqual(one.start_due_probes(START), [])
        self.assertEqual(one.on_contact(3, ContactResult.WRONG_IDENTITY, START), [])
        self.assertEqual(one.state_of(3), EstimateState.REMOVED)
        self.assertEqual([m.id for m, _ in one.evidence_ages(START)], [1, 8])

    def test_a_register_that_knows_nothing_of_a_restart_makes_no_engine_warm(self) -> None:
        one = remembered(member(1, started=7), member(2, started=7), member(3, started=7), number=50)
        one.start_due_probes(START)
        one.on_contact(1, ContactResult.LISTENING, START + 1)
        one.on_contact(2, ContactResult.REFUSED, START + 1)
        # Behind, the same again, and news of somebody else: none of them has heard of a restart.
        for number in (40, 50, 51):
            told = one.apply_event(
                EndpointEvent(number, True, [member(n, started=7) for n in (1, 2, 3)]), START + number
            )
            self.assertEqual([m.started_us for m in told.endpoints], [START + 1, START + 40, START + 40])
        # A later start counts, and an engine of which the register speaks first is as it says.
        told = one.apply_event(
            EndpointEvent(52, True, [member(1, started=START + 60), member(4, started=7)]), START + 70
        )
        self.assertEqual([m.started_us for m in told.endpoints], [START + 60, 7])
        self.assertEqual([m.started_us for m, _ in one.evidence(START + 70)], [START + 60, 7])

    def test_two_that_have_changed_places(self) -> None:
        one = remembered(member(1, port=7), member(2, port=8))
        moved = [member(1, port=8, started=9), member(2, port=7, started=9)]
        passed = one.apply_event(EndpointEvent(60, False, moved), START)
        self.assertEqual([(m.id, m.port) for m in passed.endpoints], [(1, 8), (2, 7)])
        self.assertEqual((one.counts().registered, len(one.tombstones)), (2, 0))

    def test_two_of_one_address_on_disk_the_younger_word_counts(self) -> None:
        one = MembershipEstimate(GRACE, WAIT, random.Random(1).random, START)
        one.merge_remembered(
            [(member(1, port=7), 9), (member(2, port=7), 3)], 5, [], EvidenceSource.DISK, START
        )
        self.assertEqual(list(one.endpoints), [2])

    def test_a_listed_engine_is_cold_and_one_whose_address_was_taken_is_taken_off(self) -> None:
        one = remembered(member(1), member(2))
        one.start_due_probes(START)
        self.assertEqual(one.on_contact(1, ContactResult.LISTENING, START + 7)[0].started_us, START + 7)
        passed = one.apply_event(EndpointEvent(60, False, [member(8, port=1001)]), START)
        self.assertEqual([(m.id, m.state) for m in passed.endpoints], [(1, REMOVED), (8, READY)])

    def test_a_drain_on_disk_is_no_news_and_its_engine_waits_a_grace(self) -> None:
        one = remembered(member(1, DRAINING))
        self.assertEqual((one.start_due_probes(START), one.drain_grace_left_us(1, START)), ([], 0))
        self.assertEqual(len(one.start_due_probes(START + GRACE)), 1)
        listed = one.on_contact(1, ContactResult.LISTENING, START + GRACE)[0]
        self.assertEqual((listed.state, listed.started_us), (READY, START + GRACE))
        fresh = remembered(member(1, DRAINING))
        fresh.apply_event(EndpointEvent(51, False, [member(1, READY, started=99)]), START)  # restarted since
        self.assertEqual(fresh.endpoints[1].endpoint.started_us, 99)
        fresh.apply_event(
            EndpointEvent(40, True, [member(1, DRAINING)]), START
        )  # the old drain, by an older list
        self.assertEqual(fresh.endpoints[1].endpoint.state, READY)

    def test_the_grace_counts_from_being_told_once(self) -> None:
        one = remembered(member(1))
        one.apply_event(EndpointEvent(51, False, [member(1, DRAINING)]), START)
        one.apply_event(EndpointEvent(52, True, [member(1, DRAINING)]), START + 4 * SECOND)
        self.assertEqual(one.drain_grace_left_us(1, START + 4 * SECOND), GRACE - 4 * SECOND)

    def test_a_register_that_stands_by_smaller_numbers_is_believed_in_the_end(self) -> None:
        one = remembered(member(1), member(2), number=5000)
        one.start_due_probes(START)
        one.on_contact(2, ContactResult.LISTENING, START)
        one.apply_event(EndpointEvent(12, True, [member(1)]), START)
        for passed in range(0, INDEX_SETTLE_TIME_US, SECOND):
            one.on_watch_frame(START + passed)
            self.assertIsNone(one.settle_index(START + passed))
        one.on_watch_frame(START + INDEX_SETTLE_TIME_US)
        self.assertEqual(
            [(m.id, m.state) for m in one.settle_index(START + INDEX_SETTLE_TIME_US).endpoints],
            [(2, REMOVED)],
        )
        one.apply_event(
            EndpointEvent(13, False, [member(2)]), START + INDEX_SETTLE_TIME_US
        )  # its next word counts
        self.assertEqual((one.state_of(2), one.index_tracker.highest), (EstimateState.REGISTERED, 13))

    def test_a_list_from_the_start_alone_never_settles(self) -> None:
        one = remembered(member(1), member(2), number=5000)
        one.apply_event(EndpointEvent(12, True, [member(1)]), START)
        for passed in range(0, 3 * INDEX_SETTLE_TIME_US, SECOND):
            self.assertIsNone(one.settle_index(START + passed))
        self.assertEqual(one.state_of(2), EstimateState.REMEMBERED)

    def test_the_register_returns_breaks_and_returns(self) -> None:
        one = remembered(member(1), member(2), member(3))
        one.start_due_probes(START)
        for number in (1, 2):
            one.on_contact(number, ContactResult.LISTENING, START)
            one.on_contact(number, ContactResult.SERVED, START)
        first = one.apply_event(EndpointEvent(51, True, [member(2), member(3)]), START)
        self.assertEqual(
            (first.is_complete, one.state_of(1)), (True, EstimateState.REMOVED)
        )  # it answers well, and is gone
        for result in ContactResult:
            self.assertEqual(one.on_contact(1, result, START) + one.on_contact(3, result, START), [])
        self.assertEqual(
            one.state_of(3), EstimateState.REGISTERED
        )  # it refuses, and is ready: the module's doubt has it
        again = one.apply_event(EndpointEvent(52, True, [member(2), member(3)]), START + 9 * SECOND)
        self.assertEqual((again.is_complete, one.counts().registered), (True, 2))

    def test_writing_again_makes_nothing_younger(self) -> None:
        one = remembered(member(1), age=3600 * SECOND)
        self.assertEqual(one.evidence_ages(START + SECOND)[0][1], 3601 * SECOND)
        one.apply_event(EndpointEvent(51, False, [member(1)]), START)
        one.on_watch_frame(START + 50 * SECOND)
        self.assertEqual(one.evidence_ages(START + 60 * SECOND)[0][1], 10 * SECOND)

    def test_trials_start_few_for_old_lists_grow_when_they_go_well_and_fall_when_not(self) -> None:
        many = [member(n) for n in range(1, 501)]
        fresh, old = remembered(*many), remembered(*many, age=UNKNOWN_AGE_US)
        self.assertEqual((len(fresh.start_due_probes(START)), len(old.start_due_probes(START))), (64, 8))
        rounds = 0
        while old.counts().unlisted and rounds < 50:
            for engine in list(old.probe_budget.in_flight):
                old.on_contact(engine, ContactResult.LISTENING, START)
            old.start_due_probes(START)
            rounds += 1
        self.assertEqual((old.counts().listed_probing, rounds < 15), (500, True))
        half, rounds = remembered(*many, age=7 * 86_400 * SECOND), 0
        while half.counts().listed_probing < 250:
            for engine in [m.id for m in half.start_due_probes(START)]:
                half.on_contact(
                    engine, ContactResult.LISTENING if engine % 2 else ContactResult.REFUSED, START
                )
            rounds += 1
        self.assertLess(rounds, 20)
        failing = remembered(*many)
        for now in range(START, START + 8):
            for engine in [m.id for m in failing.start_due_probes(now)]:
                failing.on_contact(engine, ContactResult.REFUSED, now)
        self.assertEqual(failing.probe_budget.size, 8)
        orders = {
            tuple(m.id for m in remembered(*many, seed=seed).start_due_probes(START)) for seed in range(20)
        }
        self.assertEqual(len(orders), 20)

    def test_a_failed_trial_comes_again_later_each_time(self) -> None:
        pauses = [probe_budget.retry_delay_us(failed, lambda: 1.0) for failed in range(1, 12)]
        self.assertEqual(pauses[:3], [SECOND // 2, SECOND, 2 * SECOND])
        self.assertEqual(max(pauses), 30 * SECOND)
        one = remembered(member(1))
        one.start_due_probes(START)
        self.assertEqual(one.start_due_probes(START + 6 * SECOND), [])  # nobody answered: lost, and put off
        self.assertEqual(one.state_of(1), EstimateState.UNREACHABLE)

    def test_work_is_refused_rather_than_guessed_and_comes_back_spread(self) -> None:
        none = remembered()
        self.assertIsNone(none.retry_after_us(True, START))
        waits = [none.retry_after_us(True, START + SECOND) for _ in range(1000)]
        self.assertTrue(WAIT / 4 <= min(waits) < 0.3 * WAIT and 0.95 * WAIT < max(waits) <= WAIT)
        tenths = [
            sum(WAIT * (0.25 + n * 0.075) <= wait < WAIT * (0.325 + n * 0.075) for wait in waits)
            for n in range(10)
        ]
        self.assertTrue(60 < min(tenths) and max(tenths) < 140, tenths)
        one = remembered(member(1))
        one.start_due_probes(START)
        one.on_contact(1, ContactResult.LISTENING, START)
        self.assertIsNone(one.retry_after_us(True, START + SECOND))
        self.assertIsNotNone(one.retry_after_us(False, START + SECOND))
        one.on_contact(1, ContactResult.SERVED, START)
        self.assertIsNone(one.retry_after_us(False, START + SECOND))

    def test_whatever_comes_the_module_lists_what_is_believed(self) -> None:
        for seed in range(400):
            chance = random.Random(seed)
            one, listed, now = MembershipEstimate(GRACE, WAIT, chance.random, START), {}, START
            started = [5] * 5
            for _ in range(40):
                now += chance.randrange(2 * SECOND)
                engine, number = chance.randrange(5), chance.randrange(12)
                tombs = one.tombstones.unexpired(now)
                started[engine] += chance.random() < 0.1
                some = [
                    member(
                        n,
                        chance.choice((READY, READY, DRAINING, REMOVED)),
                        started[n] - chance.randrange(2),
                        2000 + chance.randrange(4),
                    )
                    for n in range(5)
                    if chance.random() < 0.5
                ]
                act, highest = chance.randrange(6), one.index_tracker.highest
                if act == 0:
                    some = [(m, chance.randrange(9 * SECOND)) for m in some]
                    one.merge_remembered(
                        some, number, [], chance.choice((EvidenceSource.DISK, EvidenceSource.PEER)), now
                    )
                    out = EndpointEvent(0, False, [])
                elif act == 1:
                    event = EndpointEvent(number, chance.random() < 0.5, some)
                    out = one.apply_event(event, now)
                    self.assertFalse(out.is_complete and event.index < highest)
                elif act == 2:
                    one.start_due_probes(now)
                    out = EndpointEvent(0, False, [])
                else:
                    out = EndpointEvent(
                        0, False, one.on_contact(engine, chance.choice(list(ContactResult)), now)
                    )
                if out.is_complete:
                    listed = {}
                for m in out.endpoints:
                    listed[m.id] = m.state
                listed = {n: state for n, state in listed.items() if state is not REMOVED}
                believed = {
                    n: belief.endpoint.state if belief.state is EstimateState.REGISTERED else READY
                    for n, belief in one.endpoints.items()
                    if belief.is_listed
                }
                self.assertEqual(listed, believed, seed)
                # Only later news raises the dead.
                self.assertTrue(
                    all(
                        number > tomb.index or one.endpoints[tomb.id].endpoint.started_us > tomb.started_us
                        for tomb in tombs
                        if tomb.id in one.endpoints
                    ),
                    seed,
                )
                self.assertFalse([n for n in one.endpoints if n in one.tombstones], seed)
                self.assertEqual(one.counts(), one._count_states(), seed)
                self.assertTrue(all(n in one.endpoints for n in one.id_by_address.values()), seed)


class AgeTest(unittest.TestCase):
    def test_ages_by_the_wall_clock_are_hints_and_unknown_is_oldest(self) -> None:
        then = ClockReading(START, "b1", 100 * SECOND)
        day = 86_400 * SECOND
        self.assertEqual(confidence.age_us(then, ClockReading(START - day, "b1", 110 * SECOND)), 10 * SECOND)
        self.assertEqual(
            confidence.age_us(then, ClockReading(START + 60 * SECOND, "b2", SECOND)), 60 * SECOND
        )
        self.assertEqual(confidence.age_us(then, ClockReading(START - day, "b2", SECOND)), UNKNOWN_AGE_US)
        self.assertEqual(confidence.age_us(then, ClockReading(START, "b1", 99 * SECOND)), UNKNOWN_AGE_US)
        self.assertEqual(confidence.age_us(then, ClockReading(START + 99 * day, "", SECOND)), UNKNOWN_AGE_US)

    def test_what_was_kept_fades_to_the_usual(self) -> None:
        self.assertEqual(
            [
                confidence.decayed(3.0, 1.0, age, confidence.SLOWDOWN_HALF_LIFE_US)
                for age in (0, confidence.SLOWDOWN_HALF_LIFE_US, UNKNOWN_AGE_US)
            ],
            [3, 2, 1],
        )
        self.assertAlmostEqual(
            confidence.decayed_ratio(0.25, confidence.LIMIT_HALF_LIFE_US, confidence.LIMIT_HALF_LIFE_US), 0.5
        )
        self.assertAlmostEqual(
            confidence.decayed_ratio(0.25, UNKNOWN_AGE_US, confidence.LIMIT_HALF_LIFE_US), 1.0
        )


class WriteScheduleTest(unittest.TestCase):
    def test_writes_are_coalesced_and_a_slow_disk_is_left_alone(self) -> None:
        one, writes = WriteSchedule(lambda: 1.0, START), 0
        for now in range(START, START + 60 * SECOND, SECOND // 10):
            one.on_change(now)
            if one.is_due(now):
                one.on_write_started(now)
                one.on_write_finished(True, 2_000, now)
                writes += 1
        self.assertTrue(25 <= writes <= 30, writes)
        one.on_change(now)
        now += 3 * SECOND
        one.on_write_started(now)
        self.assertFalse(one.is_due(now + 99 * SECOND))
        one.on_write_finished(True, 5 * SECOND, now + 5 * SECOND)
        self.assertFalse(one.is_due(now + 250 * SECOND))
        self.assertTrue(one.is_due(now + 256 * SECOND))

    def test_a_disk_that_refuses_is_tried_again_ever_later(self) -> None:
        one, now, tries = WriteSchedule(lambda: 1.0, START), START, []
        one.on_change(now)
        while now < START + 3600 * SECOND:
            now += SECOND
            if one.is_due(now):
                tries.append(now)
                one.on_write_started(now)
                one.on_write_finished(False, 0, now)
        gaps = [later - sooner for sooner, later in zip(tries, tries[1:])]
        self.assertEqual((gaps[0], gaps[-1]), (5 * SECOND, 300 * SECOND))


if __name__ == "__main__":
    unittest.main()
