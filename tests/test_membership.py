"""Tests of the membership estimate, confidence, probes, and the schedule of snapshot writes."""

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
from tests.membership_fixtures import (
    DRAIN_GRACE_US,
    DRAINING,
    MAX_RETRY_AFTER_US,
    READY,
    REMOVED,
    SECOND_US,
    START_US,
    STORED_FILES,
    make_endpoint,
    make_estimate,
)


class StatesTest(unittest.TestCase):
    """The transitions of all states by all events, as in tests/conformance/membership.toml."""

    # The events that bring a remembered endpoint into each state.
    EVENTS_TO_STATE = {
        "remembered": (),
        "probing": ("probe due",),
        "listed": ("probe due", "listening"),
        "confirmed": ("probe due", "listening", "served"),
        "unreachable": ("probe due", "refused"),
        "registered": ("registered ready",),
        "removed": ("removed",),
    }

    def apply(self, estimate: MembershipEstimate, event: str, now_us: int) -> list[Endpoint]:
        """Applies an event to endpoint 1; returns what `on_contact` returns, if it is called."""
        highest = estimate.index_tracker.highest
        if event == "probe due":
            estimate.start_due_probes(now_us)
            return []
        if event in ("registered ready", "registered draining", "removed"):
            state = {"ready": READY, "draining": DRAINING, "removed": REMOVED}[event.split()[-1]]
            estimate.apply_event(EndpointEvent(highest + 1, False, [make_endpoint(1, state)]), now_us)
            return []
        if event == "left out":
            estimate.apply_event(EndpointEvent(highest + 1, True, [make_endpoint(2)]), now_us)
            return []
        if event == "older list":  # a complete list of discovery without endpoint 1
            estimate.apply_event(EndpointEvent(highest - 1, True, [make_endpoint(2)]), now_us)
            return []
        if event == "remembered list":
            estimate.merge_remembered(
                [(make_endpoint(1), 9 * SECOND_US)], 40, [], EvidenceSource.PEER, now_us
            )
            return []
        return estimate.on_contact(1, ContactResult(event), now_us)

    def state_name(self, estimate: MembershipEstimate) -> str:
        """Returns the name of the state of endpoint 1 in the table."""
        state = estimate.state_of(1)
        is_listed = state is EstimateState.PROBING and estimate.endpoints[1].is_listed
        return "listed" if is_listed else state.value

    def test_every_transition_is_as_in_the_table(self) -> None:
        table = tomllib.loads((STORED_FILES.parent / "conformance/membership.toml").read_text())
        self.assertEqual(set(table["states"]), set(self.EVENTS_TO_STATE))
        for state, row in table["states"].items():
            self.assertEqual(len(row), len(table["events"]))
            for event, cell in zip(table["events"], row):
                estimate = make_estimate(make_endpoint(1))
                for earlier_event in self.EVENTS_TO_STATE[state]:
                    self.apply(estimate, earlier_event, START_US)
                self.assertEqual(self.state_name(estimate), state)
                changed = self.apply(estimate, event, START_US + SECOND_US)
                mark = "".join("!" if endpoint.state is REMOVED else "+" for endpoint in changed)
                expected = state if cell == "-" else cell.split()[0]
                with self.subTest(state=state, event=event):
                    self.assertEqual(
                        (self.state_name(estimate), mark), (expected, cell[-1] if cell[-1] in "+!" else "")
                    )


class EstimateTest(unittest.TestCase):
    """The estimate by events of discovery, lists, probes and traffic."""

    def test_older_list_does_not_bring_back_a_removed_endpoint(self) -> None:
        estimate = MembershipEstimate(DRAIN_GRACE_US, MAX_RETRY_AFTER_US, random.Random(1).random, START_US)
        estimate.merge_remembered(
            [(make_endpoint(n), SECOND_US) for n in (1, 2, 3)],
            50,
            [Tombstone(2, 5, 50, 0)],
            EvidenceSource.DISK,
            START_US,
        )
        self.assertEqual(estimate.state_of(2), EstimateState.REMOVED)
        applied_event = estimate.apply_event(
            EndpointEvent(40, True, [make_endpoint(1), make_endpoint(2)]), START_US
        )
        self.assertEqual(
            (applied_event.is_complete, [endpoint.id for endpoint in applied_event.endpoints]), (False, [1])
        )
        # An older list can't tell that the endpoint is removed.
        self.assertEqual(estimate.state_of(3), EstimateState.REMEMBERED)
        estimate.merge_remembered([(make_endpoint(2), 0)], 50, [], EvidenceSource.PEER, START_US)
        self.assertEqual(estimate.state_of(2), EstimateState.REMOVED)
        # A later event brings it back.
        applied_event = estimate.apply_event(EndpointEvent(51, False, [make_endpoint(2)]), START_US)
        self.assertEqual(
            ([endpoint.id for endpoint in applied_event.endpoints], estimate.state_of(2)),
            ([2], EstimateState.REGISTERED),
        )
        estimate.apply_event(EndpointEvent(52, False, [make_endpoint(2, REMOVED)]), START_US)
        # So does an older list with a later start.
        estimate.apply_event(EndpointEvent(30, False, [make_endpoint(2, started_us=9)]), START_US)
        self.assertEqual(estimate.state_of(2), EstimateState.REGISTERED)

    def test_tombstones_expire_after_a_week_of_running_time_by_any_clock(self) -> None:
        estimate = MembershipEstimate(DRAIN_GRACE_US, MAX_RETRY_AFTER_US, random.Random(1).random, START_US)
        estimate.merge_remembered(
            [],
            50,
            [Tombstone(1, 5, 50, TOMBSTONE_LIFETIME_US - 10 * SECOND_US), Tombstone(2, 5, 50, 0)],
            EvidenceSource.DISK,
            START_US,
        )
        self.assertEqual(
            [tombstone.known_for_us for tombstone in estimate.tombstones.unexpired(START_US - 9 * SECOND_US)],
            [TOMBSTONE_LIFETIME_US - 10 * SECOND_US, 0],
        )
        self.assertEqual(
            [tombstone.id for tombstone in estimate.tombstones.unexpired(START_US + 11 * SECOND_US)], [2]
        )

    def test_week_old_list_yields_to_discovery_where_addresses_have_changed(self) -> None:
        estimate = make_estimate(
            make_endpoint(1), make_endpoint(2), make_endpoint(3), age_us=7 * 86_400 * SECOND_US
        )
        self.assertEqual(len(estimate.start_due_probes(START_US)), 3)
        applied_event = estimate.apply_event(
            EndpointEvent(
                60, False, [make_endpoint(1, port=2000, started_us=7), make_endpoint(8, port=1002)]
            ),
            START_US,
        )
        self.assertEqual([endpoint.port for endpoint in applied_event.endpoints], [2000, 1002])
        self.assertEqual(
            (estimate.state_of(1), estimate.state_of(2)), (EstimateState.REGISTERED, EstimateState.REMOVED)
        )  # endpoint 8 has the address of endpoint 2
        self.assertEqual(estimate.start_due_probes(START_US), [])
        self.assertEqual(estimate.on_contact(3, ContactResult.WRONG_IDENTITY, START_US), [])
        self.assertEqual(estimate.state_of(3), EstimateState.REMOVED)
        self.assertEqual([endpoint.id for endpoint, _ in estimate.evidence_ages(START_US)], [1, 8])

    def test_discovery_that_missed_a_restart_makes_no_engine_warm(self) -> None:
        estimate = make_estimate(
            make_endpoint(1, started_us=7),
            make_endpoint(2, started_us=7),
            make_endpoint(3, started_us=7),
            index=50,
        )
        estimate.start_due_probes(START_US)
        estimate.on_contact(1, ContactResult.LISTENING, START_US + 1)
        estimate.on_contact(2, ContactResult.REFUSED, START_US + 1)
        # A list that is behind, the same list again, and a later one: none of them knows of a restart.
        for index in (40, 50, 51):
            applied_event = estimate.apply_event(
                EndpointEvent(index, True, [make_endpoint(n, started_us=7) for n in (1, 2, 3)]),
                START_US + index,
            )
            self.assertEqual(
                [endpoint.started_us for endpoint in applied_event.endpoints],
                [START_US + 1, START_US + 40, START_US + 40],
            )
        # A later start counts, and so does the start of an engine that was not known before.
        applied_event = estimate.apply_event(
            EndpointEvent(
                52, True, [make_endpoint(1, started_us=START_US + 60), make_endpoint(4, started_us=7)]
            ),
            START_US + 70,
        )
        self.assertEqual([endpoint.started_us for endpoint in applied_event.endpoints], [START_US + 60, 7])
        self.assertEqual(
            [endpoint.started_us for endpoint, _ in estimate.evidence(START_US + 70)], [START_US + 60, 7]
        )

    def test_two_endpoints_may_exchange_their_addresses(self) -> None:
        estimate = make_estimate(make_endpoint(1, port=7), make_endpoint(2, port=8))
        moved_endpoints = [make_endpoint(1, port=8, started_us=9), make_endpoint(2, port=7, started_us=9)]
        applied_event = estimate.apply_event(EndpointEvent(60, False, moved_endpoints), START_US)
        self.assertEqual(
            [(endpoint.id, endpoint.port) for endpoint in applied_event.endpoints], [(1, 8), (2, 7)]
        )
        self.assertEqual((estimate.counts().registered, len(estimate.tombstones)), (2, 0))

    def test_of_two_stored_endpoints_with_one_address_the_later_evidence_counts(self) -> None:
        estimate = MembershipEstimate(DRAIN_GRACE_US, MAX_RETRY_AFTER_US, random.Random(1).random, START_US)
        estimate.merge_remembered(
            [(make_endpoint(1, port=7), 9), (make_endpoint(2, port=7), 3)],
            5,
            [],
            EvidenceSource.DISK,
            START_US,
        )
        self.assertEqual(list(estimate.endpoints), [2])

    def test_listed_endpoint_counts_as_cold_and_is_removed_if_another_has_its_address(self) -> None:
        estimate = make_estimate(make_endpoint(1), make_endpoint(2))
        estimate.start_due_probes(START_US)
        self.assertEqual(
            estimate.on_contact(1, ContactResult.LISTENING, START_US + 7)[0].started_us, START_US + 7
        )
        applied_event = estimate.apply_event(
            EndpointEvent(60, False, [make_endpoint(8, port=1001)]), START_US
        )
        self.assertEqual(
            [(endpoint.id, endpoint.state) for endpoint in applied_event.endpoints],
            [(1, REMOVED), (8, READY)],
        )

    def test_stored_drain_only_delays_the_probe_by_the_grace_period(self) -> None:
        estimate = make_estimate(make_endpoint(1, DRAINING))
        self.assertEqual(
            (estimate.start_due_probes(START_US), estimate.drain_grace_left_us(1, START_US)), ([], 0)
        )
        self.assertEqual(len(estimate.start_due_probes(START_US + DRAIN_GRACE_US)), 1)
        listed = estimate.on_contact(1, ContactResult.LISTENING, START_US + DRAIN_GRACE_US)[0]
        self.assertEqual((listed.state, listed.started_us), (READY, START_US + DRAIN_GRACE_US))
        fresh = make_estimate(make_endpoint(1, DRAINING))
        # The engine has restarted since.
        fresh.apply_event(EndpointEvent(51, False, [make_endpoint(1, READY, started_us=99)]), START_US)
        self.assertEqual(fresh.endpoints[1].endpoint.started_us, 99)
        # An older list names the earlier drain.
        fresh.apply_event(EndpointEvent(40, True, [make_endpoint(1, DRAINING)]), START_US)
        self.assertEqual(fresh.endpoints[1].endpoint.state, READY)

    def test_grace_period_counts_from_the_first_event_of_a_drain(self) -> None:
        estimate = make_estimate(make_endpoint(1))
        estimate.apply_event(EndpointEvent(51, False, [make_endpoint(1, DRAINING)]), START_US)
        estimate.apply_event(EndpointEvent(52, True, [make_endpoint(1, DRAINING)]), START_US + 4 * SECOND_US)
        self.assertEqual(
            estimate.drain_grace_left_us(1, START_US + 4 * SECOND_US), DRAIN_GRACE_US - 4 * SECOND_US
        )

    def test_smaller_index_is_accepted_after_the_settle_time(self) -> None:
        estimate = make_estimate(make_endpoint(1), make_endpoint(2), index=5000)
        estimate.start_due_probes(START_US)
        estimate.on_contact(2, ContactResult.LISTENING, START_US)
        estimate.apply_event(EndpointEvent(12, True, [make_endpoint(1)]), START_US)
        for elapsed_us in range(0, INDEX_SETTLE_TIME_US, SECOND_US):
            estimate.on_watch_frame(START_US + elapsed_us)
            self.assertIsNone(estimate.settle_index(START_US + elapsed_us))
        estimate.on_watch_frame(START_US + INDEX_SETTLE_TIME_US)
        self.assertEqual(
            [
                (endpoint.id, endpoint.state)
                for endpoint in estimate.settle_index(START_US + INDEX_SETTLE_TIME_US).endpoints
            ],
            [(2, REMOVED)],
        )
        # The next event counts.
        estimate.apply_event(EndpointEvent(13, False, [make_endpoint(2)]), START_US + INDEX_SETTLE_TIME_US)
        self.assertEqual(
            (estimate.state_of(2), estimate.index_tracker.highest), (EstimateState.REGISTERED, 13)
        )

    def test_smaller_index_never_settles_without_frames_of_the_watch(self) -> None:
        estimate = make_estimate(make_endpoint(1), make_endpoint(2), index=5000)
        estimate.apply_event(EndpointEvent(12, True, [make_endpoint(1)]), START_US)
        for elapsed_us in range(0, 3 * INDEX_SETTLE_TIME_US, SECOND_US):
            self.assertIsNone(estimate.settle_index(START_US + elapsed_us))
        self.assertEqual(estimate.state_of(2), EstimateState.REMEMBERED)

    def test_discovery_overrides_contacts_whenever_it_returns(self) -> None:
        estimate = make_estimate(make_endpoint(1), make_endpoint(2), make_endpoint(3))
        estimate.start_due_probes(START_US)
        for number in (1, 2):
            estimate.on_contact(number, ContactResult.LISTENING, START_US)
            estimate.on_contact(number, ContactResult.SERVED, START_US)
        first = estimate.apply_event(EndpointEvent(51, True, [make_endpoint(2), make_endpoint(3)]), START_US)
        self.assertEqual(
            (first.is_complete, estimate.state_of(1)), (True, EstimateState.REMOVED)
        )  # removed although it has served
        for result in ContactResult:
            self.assertEqual(
                estimate.on_contact(1, result, START_US) + estimate.on_contact(3, result, START_US), []
            )
        # It stays registered though it refuses; the policy suspects it by rules of its own.
        self.assertEqual(estimate.state_of(3), EstimateState.REGISTERED)
        again = estimate.apply_event(
            EndpointEvent(52, True, [make_endpoint(2), make_endpoint(3)]), START_US + 9 * SECOND_US
        )
        self.assertEqual((again.is_complete, estimate.counts().registered), (True, 2))

    def test_age_of_evidence_does_not_change_by_storing_it(self) -> None:
        estimate = make_estimate(make_endpoint(1), age_us=3600 * SECOND_US)
        self.assertEqual(estimate.evidence_ages(START_US + SECOND_US)[0][1], 3601 * SECOND_US)
        estimate.apply_event(EndpointEvent(51, False, [make_endpoint(1)]), START_US)
        estimate.on_watch_frame(START_US + 50 * SECOND_US)
        self.assertEqual(estimate.evidence_ages(START_US + 60 * SECOND_US)[0][1], 10 * SECOND_US)

    def test_probe_budget_is_small_for_old_lists_and_follows_the_results(self) -> None:
        many = [make_endpoint(n) for n in range(1, 501)]
        fresh, old = make_estimate(*many), make_estimate(*many, age_us=UNKNOWN_AGE_US)
        self.assertEqual(
            (len(fresh.start_due_probes(START_US)), len(old.start_due_probes(START_US))), (64, 8)
        )
        rounds = 0
        while old.counts().unlisted and rounds < 50:
            for endpoint_id in list(old.probe_budget.in_flight):
                old.on_contact(endpoint_id, ContactResult.LISTENING, START_US)
            old.start_due_probes(START_US)
            rounds += 1
        self.assertEqual((old.counts().listed_probing, rounds < 15), (500, True))
        half, rounds = make_estimate(*many, age_us=7 * 86_400 * SECOND_US), 0
        while half.counts().listed_probing < 250:
            for endpoint_id in [endpoint.id for endpoint in half.start_due_probes(START_US)]:
                half.on_contact(
                    endpoint_id,
                    ContactResult.LISTENING if endpoint_id % 2 else ContactResult.REFUSED,
                    START_US,
                )
            rounds += 1
        self.assertLess(rounds, 20)
        failing = make_estimate(*many)
        for now_us in range(START_US, START_US + 8):
            for endpoint_id in [endpoint.id for endpoint in failing.start_due_probes(now_us)]:
                failing.on_contact(endpoint_id, ContactResult.REFUSED, now_us)
        self.assertEqual(failing.probe_budget.size, 8)
        orders = {
            tuple(endpoint.id for endpoint in make_estimate(*many, seed=seed).start_due_probes(START_US))
            for seed in range(20)
        }
        self.assertEqual(len(orders), 20)

    def test_delay_between_failed_probes_doubles(self) -> None:
        delays_us = [
            probe_budget.retry_delay_us(failure_count, lambda: 1.0) for failure_count in range(1, 12)
        ]
        self.assertEqual(delays_us[:3], [SECOND_US // 2, SECOND_US, 2 * SECOND_US])
        self.assertEqual(max(delays_us), 30 * SECOND_US)
        estimate = make_estimate(make_endpoint(1))
        estimate.start_due_probes(START_US)
        # A probe without a result counts as failed, and is repeated later.
        self.assertEqual(estimate.start_due_probes(START_US + 6 * SECOND_US), [])
        self.assertEqual(estimate.state_of(1), EstimateState.UNREACHABLE)

    def test_requests_are_rejected_without_proven_endpoints_and_retry_at_random_times(self) -> None:
        empty = make_estimate()
        self.assertIsNone(empty.retry_after_us(True, START_US))
        delays_us = [empty.retry_after_us(True, START_US + SECOND_US) for _ in range(1000)]
        self.assertTrue(
            MAX_RETRY_AFTER_US / 4 <= min(delays_us) < 0.3 * MAX_RETRY_AFTER_US
            and 0.95 * MAX_RETRY_AFTER_US < max(delays_us) <= MAX_RETRY_AFTER_US
        )
        counts_by_tenth = [
            sum(
                MAX_RETRY_AFTER_US * (0.25 + n * 0.075) <= delay_us < MAX_RETRY_AFTER_US * (0.325 + n * 0.075)
                for delay_us in delays_us
            )
            for n in range(10)
        ]
        self.assertTrue(60 < min(counts_by_tenth) and max(counts_by_tenth) < 140, counts_by_tenth)
        estimate = make_estimate(make_endpoint(1))
        estimate.start_due_probes(START_US)
        estimate.on_contact(1, ContactResult.LISTENING, START_US)
        self.assertIsNone(estimate.retry_after_us(True, START_US + SECOND_US))
        self.assertIsNotNone(estimate.retry_after_us(False, START_US + SECOND_US))
        estimate.on_contact(1, ContactResult.SERVED, START_US)
        self.assertIsNone(estimate.retry_after_us(False, START_US + SECOND_US))

    def test_returned_events_always_agree_with_the_estimates(self) -> None:
        """By random lists, events, probes and contacts."""
        for seed in range(400):
            chance = random.Random(seed)
            estimate, listed, now_us = (
                MembershipEstimate(DRAIN_GRACE_US, MAX_RETRY_AFTER_US, chance.random, START_US),
                {},
                START_US,
            )
            starts_us = [5] * 5
            for _ in range(40):
                now_us += chance.randrange(2 * SECOND_US)
                endpoint_id, index = chance.randrange(5), chance.randrange(12)
                tombstones = estimate.tombstones.unexpired(now_us)
                starts_us[endpoint_id] += chance.random() < 0.1
                endpoints = [
                    make_endpoint(
                        n,
                        chance.choice((READY, READY, DRAINING, REMOVED)),
                        starts_us[n] - chance.randrange(2),
                        2000 + chance.randrange(4),
                    )
                    for n in range(5)
                    if chance.random() < 0.5
                ]
                action, highest = chance.randrange(6), estimate.index_tracker.highest
                if action == 0:
                    endpoints = [(endpoint, chance.randrange(9 * SECOND_US)) for endpoint in endpoints]
                    estimate.merge_remembered(
                        endpoints,
                        index,
                        [],
                        chance.choice((EvidenceSource.DISK, EvidenceSource.PEER)),
                        now_us,
                    )
                    returned = EndpointEvent(0, False, [])
                elif action == 1:
                    event = EndpointEvent(index, chance.random() < 0.5, endpoints)
                    returned = estimate.apply_event(event, now_us)
                    self.assertFalse(returned.is_complete and event.index < highest)
                elif action == 2:
                    estimate.start_due_probes(now_us)
                    returned = EndpointEvent(0, False, [])
                else:
                    returned = EndpointEvent(
                        0, False, estimate.on_contact(endpoint_id, chance.choice(list(ContactResult)), now_us)
                    )
                if returned.is_complete:
                    listed = {}
                for endpoint in returned.endpoints:
                    listed[endpoint.id] = endpoint.state
                listed = {n: state for n, state in listed.items() if state is not REMOVED}
                estimated = {
                    n: known.endpoint.state if known.state is EstimateState.REGISTERED else READY
                    for n, known in estimate.endpoints.items()
                    if known.is_listed
                }
                self.assertEqual(listed, estimated, seed)
                # Only later events bring back a removed endpoint.
                self.assertTrue(
                    all(
                        index > tombstone.index
                        or estimate.endpoints[tombstone.id].endpoint.started_us > tombstone.started_us
                        for tombstone in tombstones
                        if tombstone.id in estimate.endpoints
                    ),
                    seed,
                )
                self.assertFalse([n for n in estimate.endpoints if n in estimate.tombstones], seed)
                self.assertEqual(estimate.counts(), estimate._count_states(), seed)
                self.assertTrue(all(n in estimate.endpoints for n in estimate.id_by_address.values()), seed)


class AgeTest(unittest.TestCase):
    """The age of a snapshot and the confidence in it."""

    def test_age_is_by_uptime_within_a_boot_else_by_wall_clock_or_unknown(self) -> None:
        earlier = ClockReading(START_US, "b1", 100 * SECOND_US)
        day_us = 86_400 * SECOND_US
        self.assertEqual(
            confidence.age_us(earlier, ClockReading(START_US - day_us, "b1", 110 * SECOND_US)), 10 * SECOND_US
        )
        self.assertEqual(
            confidence.age_us(earlier, ClockReading(START_US + 60 * SECOND_US, "b2", SECOND_US)),
            60 * SECOND_US,
        )
        self.assertEqual(
            confidence.age_us(earlier, ClockReading(START_US - day_us, "b2", SECOND_US)), UNKNOWN_AGE_US
        )
        self.assertEqual(
            confidence.age_us(earlier, ClockReading(START_US, "b1", 99 * SECOND_US)), UNKNOWN_AGE_US
        )
        self.assertEqual(
            confidence.age_us(earlier, ClockReading(START_US + 99 * day_us, "", SECOND_US)), UNKNOWN_AGE_US
        )

    def test_stored_values_decay_to_the_default(self) -> None:
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
    """When snapshots are written."""

    def test_writes_are_coalesced_and_rare_on_a_slow_disk(self) -> None:
        schedule, write_count = WriteSchedule(lambda: 1.0, START_US), 0
        for now_us in range(START_US, START_US + 60 * SECOND_US, SECOND_US // 10):
            schedule.on_change(now_us)
            if schedule.is_due(now_us):
                schedule.on_write_started(now_us)
                schedule.on_write_finished(True, 2_000, now_us)
                write_count += 1
        self.assertTrue(25 <= write_count <= 30, write_count)
        schedule.on_change(now_us)
        now_us += 3 * SECOND_US
        schedule.on_write_started(now_us)
        self.assertFalse(schedule.is_due(now_us + 99 * SECOND_US))
        schedule.on_write_finished(True, 5 * SECOND_US, now_us + 5 * SECOND_US)
        self.assertFalse(schedule.is_due(now_us + 250 * SECOND_US))
        self.assertTrue(schedule.is_due(now_us + 256 * SECOND_US))

    def test_delay_between_failed_writes_grows(self) -> None:
        schedule, now_us, attempts_us = WriteSchedule(lambda: 1.0, START_US), START_US, []
        schedule.on_change(now_us)
        while now_us < START_US + 3600 * SECOND_US:
            now_us += SECOND_US
            if schedule.is_due(now_us):
                attempts_us.append(now_us)
                schedule.on_write_started(now_us)
                schedule.on_write_finished(False, 0, now_us)
        delays_us = [later - earlier for earlier, later in zip(attempts_us, attempts_us[1:])]
        self.assertEqual((delays_us[0], delays_us[-1]), (5 * SECOND_US, 300 * SECOND_US))


if __name__ == "__main__":
    unittest.main()
