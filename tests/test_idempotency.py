"""Tests of idempotency records, execution guard, circuit breaker and journal, and simulated gateways."""

from __future__ import annotations

import errno
import heapq
import itertools
import os
import random
import tempfile
import tomllib
import unittest
from collections import Counter, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

import msgspec

from cresstray.config.idempotency import IdempotencySettings
from cresstray.idempotency import codec, journal, open_requests, records
from cresstray.idempotency.coordinator import IdempotencyCoordinator
from cresstray.idempotency.execution_guard import (
    Claim,
    ClaimHolder,
    ExecutionGuard,
    Fail,
    GuardMode,
    LookupResult,
    Proceed,
    ProceedUnguarded,
    Reject,
    ReplayResult,
    RequestTiming,
    StoreUnavailable,
    Wait,
    guard_mode_of,
)
from cresstray.idempotency.guarded_request import GuardedRequest
from cresstray.idempotency.health import StoreClock, StoreHealth
from cresstray.idempotency.journal import (
    DiskCalls,
    Journal,
    JournalFormatError,
    JournalLockedError,
    JournalWriter,
)
from cresstray.idempotency.journal_codec import ENTRY_SIZE, EntryKind, JournalEntry
from cresstray.idempotency.record_lookup import RecordLookup
from cresstray.idempotency.records import EventKind, IdempotencyRecord, RecordEvent, RecordState, apply_event
from cresstray.idempotency.write_behind import WriteBehindQueue
from cresstray.observability.counters import Counters
from cresstray.policy import deadlines
from cresstray.policy.types import Outcome, Request, RequestClass

SECOND_US, START_US = 1_000_000, 1_800_000_000_000_000
DEDUP_WINDOW_US = 20 * SECOND_US
TRANSITION_TABLE = tomllib.loads(
    (Path(__file__).parent / "conformance" / "idempotency_records.toml").read_text()
)
HOLDER_A, HOLDER_B = ClaimHolder("a", "1"), ClaimHolder("b", "1")


# State transitions: the table of docs/idempotency.md, with every state and every event.


def record_from_words(name: str) -> IdempotencyRecord | None:
    words = name.split()
    if words[0] == "none":
        return None
    if words[0] == "unreadable":
        return records.UNREADABLE_RECORD
    record_state = RecordState[words[0].upper()]
    is_claimed = record_state in (RecordState.CLAIMED, RecordState.DISPATCHED)
    outcome = b"+r" if "stored" in words else b""
    return IdempotencyRecord(
        record_state, *HOLDER_A, 10, 3000 if is_claimed else 0, 1000, "uncertain" in words, outcome
    )


def event_from_words(name: str) -> tuple[RecordEvent, int]:
    """Returns the event and the store's time.

    `older` and `newer` refer to the fence; an older event has an earlier dispatch time too.
    """
    kind_name, _, sender = name.partition(", ")
    if kind_name.startswith("operator"):
        fence, store_now_ms = (
            (9 if sender == "of another fence" else 10),
            (2000 if sender == "early" else 4000),
        )
        return RecordEvent(
            EventKind[kind_name.upper().replace(" ", "_")], "", "", fence, valid_until_ms=3500
        ), store_now_ms
    holder, fence, earliest_dispatch_ms = {
        "holder": (HOLDER_A, 10, 1500),
        "older": (HOLDER_B, 5, 500),
        "newer": (HOLDER_B, 20, 1500),
        "same fence": (HOLDER_B, 10, 1500),
    }[sender]
    return RecordEvent(
        EventKind[kind_name.upper()],
        *holder,
        fence,
        earliest_dispatch_ms,
        5000,
        b"+r" if kind_name == "completed" else b"",
    ), 2000


def record_to_words(record: IdempotencyRecord | None) -> str:
    if record is None:
        return "-"
    words = [record.state.name.lower(), record.owner, str(record.fence), str(record.earliest_dispatch_ms)]
    return " ".join(
        words + ["uncertain"] * record.has_uncertain_predecessor + ["stored"] * bool(record.outcome)
    )


class RecordTransitionTest(unittest.TestCase):
    def test_every_state_with_every_event_matches_the_table(self) -> None:
        states = ["none", "absent", "unreadable", "completed", "completed stored"] + [
            f"{state_name}{suffix}"
            for state_name in ("claimed", "dispatched", "unknown")
            for suffix in ("", " uncertain")
        ]
        self.assertEqual(sorted(states), sorted(TRANSITION_TABLE["states"]))
        for name, row in TRANSITION_TABLE["states"].items():
            self.assertEqual(
                row,
                [
                    record_to_words(apply_event(record_from_words(name), *event_from_words(event_name)))
                    for event_name in TRANSITION_TABLE["events"]
                ],
                name,
            )

    def test_fences_grow_and_possible_executions_are_not_cleared(self) -> None:
        random_source, cleared_count = random.Random(5), 0
        for _ in range(300):
            record, may_have_run = None, False
            for kind in random_source.choices(
                [kind for kind in EventKind if kind < EventKind.OPERATOR_COMPLETED], k=12
            ):
                holder = random_source.choice((HOLDER_A, HOLDER_B))
                fence = (record.fence if record else 1) + random_source.choice((-1, 0, 1, 3))
                if record is not None and random_source.random() < 0.4:
                    holder, fence = ClaimHolder(record.owner, record.incarnation), record.fence
                updated = apply_event(record, RecordEvent(kind, *holder, fence, 1000, 9000), 2000)
                if updated is None:
                    continue
                self.assertNotEqual(updated, record, "an applied event that changes nothing")
                self.assertGreaterEqual(
                    updated.fence - (kind is EventKind.CLAIM), record.fence if record else -1
                )
                may_have_run = may_have_run or kind in (EventKind.COMPLETED, EventKind.UNKNOWN)
                self.assertFalse(
                    may_have_run and updated.state is RecordState.ABSENT, (record, kind, updated)
                )
                cleared_count += updated.state is RecordState.ABSENT
                record = updated
        self.assertGreater(cleared_count, 0)

    def test_digests_differ_and_unknown_values_are_unreadable(self) -> None:
        digests = {
            records.digest_key(*parts)
            for parts in (
                ("n", "t", "g", "ab"),
                ("n", "ta", "g", "b"),
                ("n", "t", "ga", "b"),
                ("m", "t", "g", "ab"),
                ("n", "t", "g", "ab"),
            )
        }
        self.assertEqual(4, len(digests))
        record = IdempotencyRecord(RecordState.DISPATCHED, "a", "1", 7, 8, 9, True, b"+x")
        self.assertEqual(record, records.decode_record(records.encode_record(record)))
        value_of_later_build = msgspec.msgpack.encode([9, "a", "1", 7])
        for value in (b"\xff", b"no record", value_of_later_build, msgspec.msgpack.encode([1, "a", "1", -4])):
            self.assertIs(records.UNREADABLE_RECORD, records.decode_record(value))
        self.assertEqual(
            (None, b""), (records.stored_result(b""), records.stored_result(records.make_outcome(b"", 1)))
        )
        self.assertEqual(b"", records.make_outcome(b"12", 1))


# Execution guard.


def make_request_class(
    is_deduplicated: bool = True, dedup_scope: str = "all", is_idempotent: bool = False, index: int = 0
) -> RequestClass:
    return RequestClass(
        index,
        1,
        SECOND_US,
        0.0,
        1.0,
        0.0,
        is_idempotent,
        is_deduplicated,
        dedup_scope,
        DEDUP_WINDOW_US,
        False,
        None,
        None,
    )


class ExecutionGuardTest(unittest.TestCase):
    def setUp(self) -> None:
        settings = IdempotencySettings(unguarded_rates={"load": 2}, max_unguarded_us=10 * SECOND_US)
        self.guard = ExecutionGuard(settings, 2 * SECOND_US, random.Random(3).random)
        self.timing = RequestTiming(START_US, START_US + SECOND_US, START_US + 3 * SECOND_US, DEDUP_WINDOW_US)

    def decide(
        self,
        mode: GuardMode,
        record: IdempotencyRecord | None,
        store_now_ms: int = 10_000,
        now_us: int = START_US,
        age_unknown_before_ms: int = 0,
    ) -> Any:
        return self.guard.decide(
            mode, LookupResult(record, store_now_ms, age_unknown_before_ms), HOLDER_B, self.timing, now_us
        )

    def test_guard_mode_follows_from_the_request_class(self) -> None:
        modes = [
            guard_mode_of(request_class, "load", IdempotencySettings(request_classes=("load",)))
            for request_class in (
                make_request_class(),
                make_request_class(dedup_scope="cell"),
                make_request_class(False),
                make_request_class(False, is_idempotent=True),
            )
        ]
        self.assertEqual(
            [
                GuardMode.SHARED_DEDUP_WINDOW,
                GuardMode.SCOPED_DEDUP_WINDOW,
                GuardMode.AT_MOST_ONCE,
                GuardMode.NOT_NEEDED,
            ],
            modes,
        )
        self.assertIs(
            GuardMode.NOT_NEEDED, guard_mode_of(make_request_class(), "load", IdempotencySettings())
        )

    def test_decision_for_each_record_and_mode(self) -> None:
        """Checks the decision table in docs/idempotency.md: each record, its age, and each mode."""
        completed, completed_with_result = (
            IdempotencyRecord(RecordState.COMPLETED, *HOLDER_A, 4, 0, 5000),
            IdempotencyRecord(RecordState.COMPLETED, *HOLDER_A, 4, 0, 5000, False, b"+r"),
        )
        unknown, claimed = (
            IdempotencyRecord(RecordState.UNKNOWN, *HOLDER_A, 4, 0, 5000),
            IdempotencyRecord(RecordState.CLAIMED, *HOLDER_A, 4, 11_000, 5000),
        )
        # Half of the slack has passed; the deduplication window less its safety margin has passed.
        late_us, window_over_ms = START_US + 600_000, 5000 + 19_700
        rows = [
            (None, 10_000, START_US, Claim, Claim),
            (IdempotencyRecord(RecordState.ABSENT, *HOLDER_A, 4), 10_000, START_US, Claim, Claim),
            (completed_with_result, 10_000, START_US, ReplayResult, ReplayResult),
            (completed_with_result, window_over_ms, START_US, ReplayResult, ReplayResult),
            (completed, 10_000, START_US, Proceed, Fail),
            (completed, window_over_ms, START_US, Fail, Fail),
            (unknown, 10_000, START_US, Proceed, Fail),
            (unknown, window_over_ms, START_US, Fail, Fail),
            (claimed, 10_000, START_US, Wait, Wait),
            (claimed, 10_000, late_us, Claim, Reject),
            (claimed, 11_000, START_US, Claim, Fail),
            (claimed, window_over_ms, START_US, Fail, Fail),
            (records.UNREADABLE_RECORD, window_over_ms, START_US, Fail, Fail),
        ]
        for record, store_now_ms, now_us, expected_with_shared_window, expected_otherwise in rows:
            with self.subTest(record=record, store_now_ms=store_now_ms, now_us=now_us - START_US):
                decisions = [
                    type(self.decide(mode, record, store_now_ms, now_us))
                    for mode in (
                        GuardMode.SHARED_DEDUP_WINDOW,
                        GuardMode.SCOPED_DEDUP_WINDOW,
                        GuardMode.AT_MOST_ONCE,
                    )
                ]
                self.assertEqual(
                    [expected_with_shared_window, expected_otherwise, expected_otherwise], decisions
                )
        record_of_the_future = msgspec.structs.replace(completed, earliest_dispatch_ms=12_000)
        self.assertIsInstance(self.decide(GuardMode.SHARED_DEDUP_WINDOW, record_of_the_future), Fail)
        self.assertIsInstance(
            self.decide(GuardMode.SHARED_DEDUP_WINDOW, completed, age_unknown_before_ms=5_001), Fail
        )

    def test_takeover_keeps_the_earliest_dispatch_time(self) -> None:
        dispatched = IdempotencyRecord(RecordState.DISPATCHED, *HOLDER_A, 40_000, 9_000, 5000)
        claim = self.decide(GuardMode.SHARED_DEDUP_WINDOW, dispatched).event
        self.assertEqual(
            (40_001, 5000, 13_000), (claim.fence, claim.earliest_dispatch_ms, claim.valid_until_ms)
        )
        claim = self.decide(GuardMode.SHARED_DEDUP_WINDOW, dispatched, 24_000).event
        self.assertEqual(5000 + 19_700, claim.valid_until_ms)
        self.assertEqual(
            10_000,
            self.decide(
                GuardMode.SHARED_DEDUP_WINDOW, IdempotencyRecord(RecordState.ABSENT, *HOLDER_A, 4)
            ).event.fence,
        )

    def test_unguarded_requests_are_limited_without_the_store(self) -> None:
        def decide(class_name: str, unavailable_us: int = 0, now_us: int = START_US) -> Any:
            return self.guard.decide_without_store(
                StoreUnavailable("unavailable", unavailable_us), class_name, now_us
            )

        decisions = [type(decide("load")) for _ in range(4)] + [
            type(decision)
            for decision in (
                decide("post"),
                decide("load", 11 * SECOND_US, START_US + 2 * SECOND_US),
                decide("load", SECOND_US, START_US + 2 * SECOND_US),
            )
        ]
        self.assertEqual(
            [ProceedUnguarded, ProceedUnguarded, Reject, Reject, Reject, Reject, ProceedUnguarded], decisions
        )
        retry_afters_us = [
            self.guard.draw_retry_after_us(min_us)
            for min_us in (0, SECOND_US, 9 * SECOND_US)
            for _ in range(50)
        ]
        self.assertTrue(
            all(SECOND_US <= retry_after_us <= 2 * SECOND_US for retry_after_us in retry_afters_us)
        )
        self.assertGreater(max(retry_afters_us[100:]) - min(retry_afters_us[100:]), 400_000)


# Circuit breaker and clock of the store.


class StoreHealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.health, self.now_us = (
            StoreHealth(IdempotencySettings(), random.Random(1).random, START_US),
            START_US,
        )

    def finish_round_trip(self, duration_us: int, has_succeeded: bool = True) -> None:
        round_trip_id = self.health.on_round_trip_started(self.now_us)
        self.now_us += duration_us
        self.health.on_round_trip_finished(round_trip_id, has_succeeded, self.now_us)

    def close_breaker(self) -> int:
        """Returns the number of probes until the breaker is closed; only one probe is in flight at a time."""
        probe_count = 0
        while self.health.is_open:
            round_trip_id = self.health.start_probe(self.now_us)
            if round_trip_id is not None:
                self.assertIsNone(self.health.start_probe(self.now_us))
                self.health.on_round_trip_finished(round_trip_id, True, self.now_us + 500)
                probe_count += 1
            self.now_us += 10_000
        return probe_count

    def test_time_budget_depends_on_slack_and_round_trips(self) -> None:
        self.assertEqual(
            0, self.health.time_budget_us(SECOND_US, self.now_us), "the state of the store is not known yet"
        )
        self.assertEqual(1, self.close_breaker())
        budgets = [self.health.time_budget_us(slack_us, self.now_us) for slack_us in (SECOND_US, 20_000, 0)]
        self.assertEqual([50_000, 5_000, 0], budgets)
        for _ in range(10):
            self.finish_round_trip(20_000)
        self.assertEqual(80_000, self.health.time_budget_us(SECOND_US, self.now_us))
        self.assertEqual(0, self.health.time_budget_us(70_000, self.now_us), "less than one usual round trip")
        for _ in range(1000):
            self.health.on_round_trip_started(self.now_us)
        self.assertEqual(0, self.health.time_budget_us(SECOND_US, self.now_us))

    def test_breaker_opens_after_failures_and_closes_after_probes(self) -> None:
        for duration_us, has_succeeded, expected_count in (
            (500, False, 5),
            (60_000, True, 5),
            (500, True, 50),
            (40_000, True, 50),
        ):
            with self.subTest(duration_us=duration_us, has_succeeded=has_succeeded):
                self.setUp()
                self.close_breaker()
                round_trip_count = 0
                while not self.health.is_open and round_trip_count < 50:
                    self.finish_round_trip(duration_us, has_succeeded)
                    round_trip_count += 1
                self.assertEqual(expected_count, round_trip_count)
                if expected_count < 50:
                    self.assertEqual(0, self.health.time_budget_us(SECOND_US, self.now_us))
                    self.assertEqual(3, self.close_breaker())

    def test_failed_probes_back_off_with_random_spread(self) -> None:
        def probe_times_us(seed: int) -> list[int]:
            health, times_us, now_us = (
                StoreHealth(IdempotencySettings(), random.Random(seed).random, START_US),
                [],
                START_US,
            )
            while len(times_us) < 6:
                round_trip_id = health.start_probe(now_us)
                if round_trip_id is not None:
                    times_us.append(now_us)
                    health.on_round_trip_finished(round_trip_id, False, now_us)
                now_us += 1_000
            return times_us

        times_us = probe_times_us(1)
        self.assertTrue(2 * SECOND_US <= times_us[-1] - times_us[-2] <= 4 * SECOND_US + 1_000)
        self.assertGreater(len({probe_times_us(seed)[3] for seed in range(20)}), 15)

    def test_clock_regression_makes_the_age_of_older_records_unknown(self) -> None:
        clock = StoreClock()
        self.assertFalse(clock.is_known(START_US))
        clock.on_reading(50_000, START_US, START_US + 2_000)
        self.assertTrue(
            clock.lower_bound_ms(START_US + 2_000) <= 50_000 <= clock.upper_bound_ms(START_US + 2_000)
        )
        clock.on_reading(50_990, START_US + SECOND_US, START_US + SECOND_US + 1_000)
        self.assertEqual((0, 0), (clock.regressions, clock.age_unknown_before_ms))
        clock.on_reading(49_000, START_US + 2 * SECOND_US, START_US + 2 * SECOND_US)
        self.assertEqual(1, clock.regressions)
        self.assertGreaterEqual(clock.age_unknown_before_ms, 51_990)


class WriteBehindQueueTest(unittest.TestCase):
    def add(
        self,
        queue: WriteBehindQueue,
        number: int,
        kind: EventKind,
        tenant: int = 0,
        fence: int = 1,
        now_us: int = START_US,
        **event_fields: Any,
    ) -> bool:
        return queue.add(
            b"%d" % number,
            RecordEvent(kind, *HOLDER_A, fence, **event_fields),
            tenant,
            now_us + 60 * SECOND_US,
            now_us,
        )

    def test_least_important_update_is_dropped_beyond_a_limit(self) -> None:
        queue = WriteBehindQueue(max_pending=6, max_pending_per_tenant=4)
        kinds = [EventKind.COMPLETED, EventKind.DISPATCHED, EventKind.NOT_EXECUTED, EventKind.UNKNOWN]
        for number, kind in enumerate(kinds):
            self.assertTrue(self.add(queue, number, kind))
        self.assertTrue(self.add(queue, 4, EventKind.UNKNOWN, fence=0))
        self.assertFalse(
            self.add(queue, 5, EventKind.DISPATCHED), "the added update is the least important one"
        )
        self.assertTrue(self.add(queue, 6, EventKind.COMPLETED))
        for number in (7, 8):
            self.assertTrue(self.add(queue, number, EventKind.COMPLETED, tenant=1))
        self.assertTrue(
            self.add(queue, 9, EventKind.COMPLETED, tenant=1), "the tenant with the most updates loses one"
        )
        remaining = [int(write.digest) for write in queue.take_due(9, START_US + SECOND_US)]
        self.assertEqual(([3, 4, 6, 7, 8, 9], 4), (remaining, queue.dropped_count))

    def test_updates_of_one_claim_are_merged_in_order(self) -> None:
        queue = WriteBehindQueue()
        self.add(queue, 1, EventKind.DISPATCHED, earliest_dispatch_ms=5)
        self.add(queue, 2, EventKind.UNKNOWN, earliest_dispatch_ms=7)
        due_numbers = [int(write.digest) for write in queue.take_due(9, START_US)]
        self.assertEqual([2], due_numbers, "the DISPATCHED report is not due yet")
        self.add(queue, 1, EventKind.COMPLETED, earliest_dispatch_ms=6, outcome=b"+r")
        self.add(queue, 3, EventKind.NOT_EXECUTED)
        taken, merged_event = (
            queue.take_due(1, START_US),
            RecordEvent(EventKind.COMPLETED, *HOLDER_A, 1, 5, 0, b"+r"),
        )
        self.assertEqual(merged_event, taken[0].event)
        self.add(queue, 1, EventKind.UNKNOWN, earliest_dispatch_ms=6)
        queue.requeue(taken)
        self.assertEqual([merged_event], [write.event for write in queue.pending_for(b"1")])
        self.assertEqual([1, 3], [int(write.digest) for write in queue.take_due(9, START_US)])
        self.add(queue, 4, EventKind.COMPLETED)
        self.assertEqual(
            ([], 0), (queue.take_due(9, START_US + 61 * SECOND_US), len(queue)), "expired updates are dropped"
        )


# Journal.


class FailingDisk(DiskCalls):
    """Makes the call with the given number fail; a failing write writes half of the data first."""

    def __init__(self, failing_call: int = -1) -> None:
        self.call_count, self.failing_call = 0, failing_call

    def _is_failing_call(self) -> bool:
        self.call_count += 1
        return self.call_count - 1 == self.failing_call

    def write(self, file: int, data: Any) -> int:
        if self._is_failing_call():
            os.write(file, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "no space")
        return os.write(file, data)

    def fsync(self, file: int) -> None:
        if self._is_failing_call():
            raise OSError(errno.EIO, "lost")
        os.fsync(file)

    def rename(self, old: str, new: str) -> None:
        if self._is_failing_call():
            raise OSError(errno.EIO, "lost")
        os.rename(old, new)


class JournalTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = f"{folder.name}/marks"

    def open_journal(self, disk: DiskCalls | None = None) -> Journal:
        claim_journal = Journal(self.path, disk)
        self.addCleanup(claim_journal.close)
        claim_journal.open()
        return claim_journal

    def reopen(self) -> tuple[list[int], list[str]]:
        claim_journal = Journal(self.path)
        entry_ids = sorted(entry.entry_id for entry in claim_journal.open())
        claim_journal.close()
        return entry_ids, [line.partition(": ")[2] for line in claim_journal.warnings]

    @staticmethod
    def claim_entry(entry_id: int) -> JournalEntry:
        return JournalEntry(EntryKind.CLAIMED, entry_id, b"d" * 20, 0, 1)

    @staticmethod
    def settled_entry(entry_id: int) -> JournalEntry:
        return JournalEntry(EntryKind.SETTLED, entry_id, b"", 0, 0)

    def test_unsettled_claims_are_returned_after_reopening(self) -> None:
        claim_journal = self.open_journal()
        claim_journal.append(map(self.claim_entry, (1, 2, 3)))
        claim_journal.append([self.settled_entry(2)])
        with self.assertRaises(JournalLockedError):
            Journal(self.path).open()
        claim_journal.close()
        self.assertEqual(([1, 3], []), self.reopen())
        entry = self.claim_entry(1)
        self.assertEqual(
            (EventKind.UNKNOWN, 0),
            (
                journal.make_unknown_event(entry, "a", "2").kind,
                journal.make_unknown_event(entry, "a", "2").earliest_dispatch_ms,
            ),
        )

    def test_incomplete_and_damaged_entries_are_reported(self) -> None:
        claim_journal = self.open_journal()
        claim_journal.append(map(self.claim_entry, (1, 2, 3)))
        claim_journal.close()
        file_bytes, entry_size = Path(self.path).read_bytes(), ENTRY_SIZE
        for length in range(len(file_bytes) + 1):
            Path(self.path).write_bytes(file_bytes[:length])
            kept_count = max(0, length // entry_size - 1)
            warning = (
                f"incomplete end, {length % entry_size} bytes truncated at offset "
                f"{length // entry_size * entry_size}"
            )
            expected_warnings = [] if length % entry_size == 0 else [warning]
            if 0 < length < entry_size:
                expected_warnings = ["first record incomplete; starting a new journal"]
            self.assertEqual((list(range(1, kept_count + 1)), expected_warnings), self.reopen())
            self.assertEqual((list(range(1, kept_count + 1)), []), self.reopen())
        Path(self.path).write_bytes(file_bytes + bytes(2 * entry_size))
        self.assertEqual(
            ([1, 2, 3], [f"incomplete end, {2 * entry_size} bytes truncated at offset {4 * entry_size}"]),
            self.reopen(),
        )
        for position in range(2 * entry_size, 3 * entry_size):
            Path(self.path).write_bytes(
                file_bytes[:position] + bytes([file_bytes[position] ^ 4]) + file_bytes[position + 1 :]
            )
            warning = (
                f"1 damaged records skipped, the first at offset {2 * entry_size}; their claims are unknown"
            )
            self.assertEqual(([1, 3], [warning]), self.reopen())
        Path(self.path).write_bytes(b"x" + file_bytes[1:])
        with self.assertRaises(JournalFormatError):
            self.reopen()

    def test_synced_entries_survive_any_failing_call(self) -> None:
        for failing_call in range(4, 30):
            self.path += "."
            disk = FailingDisk(failing_call)
            claim_journal, synced_ids, settled_ids = self.open_journal(disk), set(), set()
            for entry_id in range(1, 9):
                try:
                    claim_journal.append([self.claim_entry(entry_id)])
                    synced_ids.add(entry_id)
                    if entry_id % 2:
                        claim_journal.append([self.settled_entry(entry_id)])
                        settled_ids.add(entry_id)
                except OSError:
                    disk.failing_call = -1
            claim_journal.close()
            found_ids = set(self.reopen()[0])
            # All acknowledged claims are there, and at most the entry of the failed call in addition.
            expected_ids = synced_ids - settled_ids
            self.assertTrue(
                expected_ids <= found_ids and len(found_ids - expected_ids) <= 1,
                (failing_call, expected_ids, found_ids),
            )

    def test_compaction_keeps_unsettled_claims(self) -> None:
        with patch.object(journal, "_COMPACTION_BYTES", 40 * ENTRY_SIZE):
            claim_journal = self.open_journal()
            for entry_id in range(1, 500):
                claim_journal.append([self.claim_entry(entry_id)])
                if entry_id % 100:
                    claim_journal.append([self.settled_entry(entry_id)])
            self.assertLess(os.path.getsize(self.path), 60 * ENTRY_SIZE)
            claim_journal.close()
        self.assertEqual(([100, 200, 300, 400], []), self.reopen())

    def test_writer_thread_syncs_claims_and_retries_settlements(self) -> None:
        disk = FailingDisk()
        claim_journal = self.open_journal(disk)
        writer = JournalWriter(claim_journal)
        first_id, second_id = writer.append_claim(b"d" * 20, 0, 1), writer.append_claim(b"e" * 20, 0, 1)
        self.assertTrue(self.wait_for_sync(writer, first_id) and self.wait_for_sync(writer, second_id))
        writer.append_settled(first_id)
        # The settlement may be part of the failed write, and is then written with the next one.
        disk.failing_call = disk.call_count + 2
        while writer.last_error == "":
            self.wait_for_sync(writer, writer.append_claim(b"f" * 20, 0, 1))
        self.assertTrue(self.wait_for_sync(writer, writer.append_claim(b"g" * 20, 0, 1)))
        writer.stop()
        self.assertTrue(writer.join(5))
        entry_ids = self.reopen()[0]
        self.assertTrue(second_id in entry_ids and first_id not in entry_ids, entry_ids)

    @staticmethod
    def wait_for_sync(writer: JournalWriter, entry_id: int | None) -> bool:
        while (is_synced := writer.take_sync_result(entry_id)) is None:
            os.sched_yield()
        return is_synced


# Simulated gateways that share a model of the store, in virtual time.


class Simulation:
    """Simulated store, engines and gateways; `random_source` determines delays, faults and the requests.

    Engines remember a key for a deduplication window from its first execution.
    """

    def __init__(self, seed: int = 0, gateway_count: int = 3, **faults: float) -> None:
        self.random_source, self.now_us, self.faults = random.Random(seed), START_US, faults
        self.event_heap: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence_numbers = itertools.count()
        self.stored_values: dict[bytes, tuple[bytes, int]] = {}
        self.write_log: list[tuple[int, bytes, tuple[bytes, int]]] = []
        self.is_down, self.clock_skew_ms = False, 0
        self.first_execution_us: dict[str, int] = {}
        self.executions: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.gateways = [SimulatedGateway(self, f"g{number}", 0) for number in range(gateway_count)]

    def schedule(self, delay_us: int, callback: Callable[[], None]) -> None:
        heapq.heappush(
            self.event_heap, (self.now_us + max(0, delay_us), next(self.sequence_numbers), callback)
        )

    def run_for(self, seconds: float) -> None:
        end_us = self.now_us + int(seconds * SECOND_US)
        while self.event_heap and self.event_heap[0][0] <= end_us:
            self.now_us, _, callback = heapq.heappop(self.event_heap)
            callback()
        self.now_us = end_us

    def draw_fault(self, fault: str) -> bool:
        return self.random_source.random() < self.faults.get(fault, 0.0)

    # The store.

    def execute_command(self, command: codec.Command) -> Any:
        arguments, store_now_ms = command.arguments, self.now_us // 1000 + self.clock_skew_ms
        if arguments[0] == b"TIME":
            return [b"%d" % (store_now_ms // 1000), b"%06d" % (store_now_ms % 1000 * 1000)]
        key = arguments[1] if arguments[0] == b"GET" else arguments[3]
        value, expires_us = self.stored_values.get(key, (None, 0))
        current_value = value if self.now_us < expires_us else None
        if arguments[0] == b"GET":
            return current_value
        if arguments[0] != b"SET" and (current_value or b"") != arguments[4]:
            return [0, current_value, store_now_ms]
        self.stored_values[key] = arguments[5], self.now_us + int(arguments[6]) * 1000
        self.write_log.append((self.now_us, key, self.stored_values[key]))
        return [1, store_now_ms]

    def fail_over(self, lag_us: int) -> None:
        """Fails over to a replica that lacks the writes of the last `lag_us` microseconds."""
        self.write_log = [write for write in self.write_log if write[0] <= self.now_us - lag_us]
        self.stored_values = {key: value for _, key, value in self.write_log}

    # Engines, which share one deduplication window.

    def execute_request(self, key: str) -> None:
        if self.now_us - self.first_execution_us.get(key, -DEDUP_WINDOW_US) >= DEDUP_WINDOW_US:
            self.first_execution_us[key] = self.now_us
            self.executions[key] += 1

    def count_repeated_executions(self) -> int:
        return sum(executions - 1 for executions in self.executions.values())


class SimulatedGateway:
    """A gateway's use of its coordinator; also serves as store client, clock and timers."""

    def __init__(self, simulation: Simulation, name: str, start_number: int) -> None:
        self.simulation, self.name, self.start_number = simulation, name, start_number
        self.is_dead, self.paused_until_us = False, 0
        self.delayed_calls: deque[Callable[[], None]] = deque()
        service_settings = {"Name": "load", "Effect": "deduplicated"}
        settings = {"Limits": {"RetryAfter": True, "MaxRetryAfter": 1000}, "Services": [service_settings]}
        self.counters = Counters()
        self.coordinator = IdempotencyCoordinator(
            self,
            IdempotencySettings(
                request_classes=("load",), max_result_bytes=64, **simulation.faults.get("settings", {})
            ),
            settings,
            [make_request_class()],
            name,
            str(start_number),
            random.Random(f"{name} {start_number}").random,
            self,
            self,
            self.counters,
        )
        self.run_background_steps()

    def now(self) -> int:
        return self.simulation.now_us

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> None:
        def run_unless_paused() -> None:
            if self.is_dead:
                return
            if self.simulation.now_us < self.paused_until_us:
                self.delayed_calls.append(callback)
            else:
                callback()

        self.simulation.schedule(delay_us, run_unless_paused)

    def call_after(self, delay_us: int, callback: Callable[[int], None]) -> None:
        self.call_later(delay_us, lambda: callback(self.now()))

    def pause(self, seconds: int) -> None:
        """Suspends the gateway; delayed sends then run before overdue timers, as is possible in reality."""
        self.paused_until_us = self.now() + seconds * SECOND_US
        self.simulation.schedule(seconds * SECOND_US, self.wake)

    def wake(self) -> None:
        delayed_calls, self.delayed_calls = (
            sorted(self.delayed_calls, key=lambda callback: not hasattr(callback, "sends_attempt")),
            deque(),
        )
        for callback in delayed_calls:
            if not self.is_dead:
                callback()

    def run_background_steps(self) -> None:
        self.call_later(
            50_000 if self.coordinator.run_background_step(self.now()) else 250_000, self.run_background_steps
        )

    def submit(
        self, commands: list[codec.Command], deadline_us: int, callback: Callable[[Any], None]
    ) -> None:
        simulation, random_source, delivered = self.simulation, self.simulation.random_source, []

        def deliver(replies: Any) -> None:
            if not delivered:
                delivered.append(replies)
                callback(replies)

        def reach_store() -> None:
            if not simulation.is_down:
                replies = [simulation.execute_command(command) for command in commands]
                if not simulation.draw_fault("reply lost"):
                    self.call_later(int(random_source.expovariate(1) * 500), lambda: deliver(replies))

        extra_delay_us = int(random_source.random() * 3 * SECOND_US) if simulation.draw_fault("late") else 0
        if not simulation.draw_fault("lost"):
            simulation.schedule(extra_delay_us + int(random_source.expovariate(1) * 500), reach_store)
        self.call_later(deadline_us - self.now(), lambda: deliver(None))

    def submit_request(
        self,
        key: str,
        hold_us: int = 0,
        outcome: Outcome = Outcome.SUCCEEDED,
        work_us: int = 100_000,
        tenant: int = 0,
    ) -> None:
        now_us, simulation = self.now(), self.simulation
        request = Request(make_request_class(), now_us, now_us + 3 * SECOND_US, tenant)

        def on_decision(decision: Any) -> None:
            simulation.counts[type(decision).__name__] += 1
            simulation.counts["decisions"] += 1
            simulation.counts["late"] += self.now() > now_us + SECOND_US and self.paused_until_us < now_us
            if isinstance(decision, Proceed | ProceedUnguarded):
                self.call_later(hold_us, send)

        def send() -> None:
            if not self.coordinator.may_dispatch(request, self.now()):
                simulation.counts["dispatches refused"] += 1
                self.coordinator.on_request_finished(request, "denied", None, self.now())
                return
            self.coordinator.on_attempt_sent(request, self.now())
            if outcome is not Outcome.OVERLOADED:
                simulation.schedule(10_000, lambda: simulation.execute_request(key))
            self.call_later(work_us, finish_attempt)

        send.sends_attempt = True

        def finish_attempt() -> None:
            self.coordinator.on_attempt_finished(request, outcome, self.now())
            final_state = {Outcome.SUCCEEDED: "succeeded", Outcome.OVERLOADED: "rejected"}.get(
                outcome, "failed"
            )
            self.coordinator.on_request_finished(
                request, final_state, b"r" * self.simulation.faults.get("size", 50), self.now()
            )

        context = SimpleNamespace(request=request, query=SimpleNamespace(idempotency_key=key))
        simulation.counts["requests"] += 1
        simulation.counts["without record"] += not self.coordinator.check(context, now_us, on_decision)


def restart(simulation: Simulation, index: int) -> None:
    old_gateway = simulation.gateways[index]
    old_gateway.is_dead = True
    simulation.gateways[index] = SimulatedGateway(simulation, old_gateway.name, old_gateway.start_number + 1)


REPEAT_DELAYS_US = (
    0,
    0,
    5_000,
    300_000,
    SECOND_US,
    19 * SECOND_US,
    21 * SECOND_US,
    25 * SECOND_US,
    40 * SECOND_US,
    60 * SECOND_US,
)


def run_random_walk(seed: int, **faults: Any) -> Simulation:
    """Clients repeat requests with each key whatever the answers are; gateways are killed and suspended."""
    simulation = Simulation(seed, **faults)
    random_source = simulation.random_source
    simulation.run_for(1)
    for key_number in range(8):
        begin_us = int(random_source.random() * 10 * SECOND_US)
        for delay_us in random_source.sample(REPEAT_DELAYS_US, 6):
            outcome = random_source.choice(
                [Outcome.SUCCEEDED] * 2 + [Outcome.CONNECTION_LOST] * 2 + [Outcome.OVERLOADED]
            )
            hold_us = random_source.choice((0, 0, 50_000, SECOND_US, 2 * SECOND_US))
            work_us = random_source.choice((30_000, 300_000, 2 * SECOND_US))

            def submit_request(
                key_number: int = key_number, arguments: tuple[Any, ...] = (hold_us, outcome, work_us)
            ) -> None:
                gateway = random_source.choice(
                    [
                        gateway
                        for gateway in simulation.gateways
                        if gateway.paused_until_us <= simulation.now_us
                    ]
                    or [None]
                )
                if gateway is not None:
                    gateway.submit_request(f"m{key_number}", *arguments)

            simulation.schedule(begin_us + delay_us, submit_request)
    for _ in range(4):
        if simulation.draw_fault("kill"):
            simulation.schedule(
                int(random_source.random() * 40 * SECOND_US),
                lambda: restart(simulation, int(random_source.random() * 3)),
            )
        if simulation.draw_fault("pause"):
            simulation.schedule(
                int(random_source.random() * 15 * SECOND_US),
                lambda: random_source.choice(simulation.gateways).pause(30),
            )
    for _ in range(2):
        begin_us = int(random_source.random() * 50 * SECOND_US)
        if simulation.draw_fault("down"):
            simulation.schedule(begin_us, lambda: setattr(simulation, "is_down", True))
            simulation.schedule(begin_us + 4 * SECOND_US, lambda: setattr(simulation, "is_down", False))
        if simulation.draw_fault("fail over"):
            simulation.schedule(begin_us, lambda: simulation.fail_over(10 * SECOND_US))
        if simulation.draw_fault("emptied"):
            simulation.schedule(begin_us, lambda: simulation.fail_over(1000 * SECOND_US))
        if simulation.draw_fault("set back"):
            simulation.schedule(
                begin_us, lambda: setattr(simulation, "clock_skew_ms", simulation.clock_skew_ms - 15_000)
            )
    simulation.run_for(120)
    return simulation


# Fault probabilities under which the store loses no acknowledged write.
FAULTS_WITHOUT_DATA_LOSS = {
    "no faults": {"kill": 0.0},
    "killed and suspended": {"kill": 0.6, "pause": 0.4},
    "lost commands and replies": {"lost": 0.1, "reply lost": 0.1, "kill": 0.3, "pause": 0.3},
    "late commands": {"late": 0.15, "reply lost": 0.05, "kill": 0.3, "pause": 0.3},
    "store unavailable": {"down": 0.8, "kill": 0.3, "pause": 0.2},
    "no outcomes": {"kill": 0.6, "pause": 0.4, "size": 1000, "reply lost": 0.05},
    "all faults": {
        "kill": 0.6,
        "pause": 0.4,
        "lost": 0.05,
        "reply lost": 0.05,
        "late": 0.05,
        "down": 0.4,
        "size": 1000,
    },
}


def count_repeated_executions(faults: dict[str, Any], seeds: range) -> int:
    return sum(run_random_walk(seed, **faults).count_repeated_executions() for seed in seeds)


def proceed_without_claim(self: RecordLookup, guarded: GuardedRequest, now_us: int) -> None:
    guarded.dispatch_until_us = guarded.timing.deadline_us
    self._open_requests.deliver(guarded, ProceedUnguarded("later"), now_us)


def check_claim_by_timer_alone(
    self: RecordLookup,
    guarded: GuardedRequest,
    decision: Proceed,
    store_now_ms: int,
    started_us: int,
    now_us: int,
) -> None:
    original_proceed(self, guarded, decision, store_now_ms, started_us, now_us)
    end_us, guarded.dispatch_until_us = guarded.dispatch_until_us, guarded.dispatch_until_us and 1 << 62
    self._timers.call_after(end_us - now_us, lambda _: setattr(guarded, "dispatch_until_us", 0))


def apply_event_with_new_dispatch_time(
    record: IdempotencyRecord | None, event: RecordEvent, store_now_ms: int
) -> IdempotencyRecord | None:
    updated = apply_event(record, event, store_now_ms)
    return (
        updated
        and event.kind is EventKind.CLAIM
        and msgspec.structs.replace(updated, earliest_dispatch_ms=event.earliest_dispatch_ms)
        or updated
    )


def set_unconditionally(key: bytes, expected: bytes, new: bytes, lifetime_ms: int) -> codec.Command:
    return codec.Command((b"SET", b"", b"1", key, expected, new, b"%d" % lifetime_ms), lambda _: True)


original_proceed, original_make_claim = RecordLookup._proceed, ExecutionGuard.make_claim


def make_claim_with_new_dispatch_time(
    self: ExecutionGuard, mode: GuardMode, record: IdempotencyRecord | None, *arguments: Any
) -> Claim:
    """Makes a takeover claim as if no attempt could have been sent before."""
    fence = 0 if record is None else record.fence + 1
    return original_make_claim(
        self, mode, record and IdempotencyRecord(RecordState.ABSENT, "", "", fence), *arguments
    )


@contextmanager
def takeovers_with_new_dispatch_time() -> Iterator[None]:
    with (
        patch.object(records, "apply_event", apply_event_with_new_dispatch_time),
        patch.object(ExecutionGuard, "make_claim", make_claim_with_new_dispatch_time),
    ):
        yield


BROKEN_VARIANTS = {
    "an attempt sent before the record is written": (
        "no faults",
        lambda: patch.object(RecordLookup, "start", proceed_without_claim),
    ),
    "claims that expire by a timer only": (
        "killed and suspended",
        lambda: patch.object(RecordLookup, "_proceed", check_claim_by_timer_alone),
    ),
    "unknown outcomes counted as not executed": (
        "no outcomes",
        lambda: patch.object(open_requests, "_NOT_EXECUTED", tuple(Outcome)[1:]),
    ),
    "SET instead of compare-and-set": (
        "killed and suspended",
        lambda: patch.object(codec, "compare_and_set", set_unconditionally),
    ),
    "takeovers that forget the earliest dispatch time": ("no outcomes", takeovers_with_new_dispatch_time),
}


class SlowJournal:
    """A journal whose syncs take a given time."""

    last_error = ""

    def __init__(self, simulation: Simulation, sync_us: int) -> None:
        self.simulation, self.sync_us, self.calls, self.sync_times_us = simulation, sync_us, [], {}

    def append_claim(self, digest: bytes, fence: int, tenant: int) -> int:
        self.calls.append("claim")
        self.sync_times_us[len(self.sync_times_us) + 1] = self.simulation.now_us + self.sync_us
        return len(self.sync_times_us)

    def append_settled(self, entry_id: int) -> None:
        self.calls.append(f"settled {entry_id}")

    def take_sync_result(self, entry_id: int) -> bool | None:
        return self.simulation.now_us >= self.sync_times_us[entry_id] or None


class ScenarioTest(unittest.TestCase):
    def make_simulation(self, **faults: Any) -> Simulation:
        simulation = Simulation(1, **faults)
        simulation.run_for(1)
        return simulation

    def test_lookup_takes_at_most_two_round_trips(self) -> None:
        simulation = self.make_simulation()
        gateway, counts = simulation.gateways[0], simulation.gateways[0].counters.counts
        for key, outcome, max_round_trips in (
            ("m", Outcome.OVERLOADED, 1),
            ("m", Outcome.SUCCEEDED, 2),
            ("n", Outcome.SUCCEEDED, 1),
        ):
            before = counts["idempotency: round trips"]
            gateway.submit_request(key, hold_us=200_000, outcome=outcome)
            simulation.run_for(0.1)
            self.assertEqual(max_round_trips, counts["idempotency: round trips"] - before)
            simulation.run_for(1)
        before = counts["idempotency: round trips"]
        for request_class, is_forwarded in (
            (make_request_class(is_idempotent=True), False),
            (make_request_class(), True),
        ):
            request = Request(
                request_class, simulation.now_us, simulation.now_us + SECOND_US, is_forwarded_in=is_forwarded
            )
            context = SimpleNamespace(request=request, query=SimpleNamespace(idempotency_key="m"))
            gateway.coordinator.guard_modes = [
                guard_mode_of(request_class, "load", IdempotencySettings(request_classes=("load",)))
            ]
            self.assertFalse(gateway.coordinator.check(context, simulation.now_us, self.fail))
            self.assertTrue(gateway.coordinator.may_dispatch(request, simulation.now_us))
        self.assertEqual(before, counts["idempotency: round trips"])

    def test_one_key_at_three_gateways_with_one_killed(self) -> None:
        accepted, failed = ("Proceed", "ReplayResult"), ("Fail",)
        for killed_after_s, repeated_after_s, decisions, expected_executions in (
            (0.5, 5, accepted, 1),
            (0.5, 25, failed, 0),
            (1.5, 5, accepted, 1),
            (1.5, 25, failed, 1),
        ):
            with self.subTest(killed_after_s=killed_after_s, repeated_after_s=repeated_after_s):
                simulation = self.make_simulation()
                # The attempt is sent after one second.
                simulation.gateways[0].submit_request("m", hold_us=SECOND_US, work_us=2 * SECOND_US)
                simulation.run_for(killed_after_s)
                restart(simulation, 0)
                simulation.run_for(repeated_after_s)
                simulation.counts.clear()
                for gateway in simulation.gateways:
                    gateway.submit_request("m")
                simulation.run_for(5)
                self.assertEqual(
                    (3, expected_executions),
                    (sum(simulation.counts[name] for name in decisions), simulation.executions["m"]),
                )

    def test_suspended_gateway_sends_nothing_after_its_claim_expired(self) -> None:
        simulation = self.make_simulation()
        simulation.gateways[0].submit_request("m", hold_us=100_000)
        simulation.run_for(0.05)
        simulation.gateways[0].pause(30)
        simulation.run_for(1)
        simulation.gateways[1].submit_request("m")
        simulation.run_for(35)
        self.assertEqual((1, 1), (simulation.executions["m"], simulation.counts["dispatches refused"]))

    def run_late_release(self) -> int:
        """Returns the executions of a key whose first holder reports its release twice.

        Between the two reports, another gateway claims the key, sends an attempt, and is killed.
        """
        simulation = self.make_simulation()
        first, second, third = simulation.gateways
        first.submit_request("m", outcome=Outcome.OVERLOADED, work_us=10_000)
        simulation.run_for(0.009)
        simulation.faults["reply lost"] = 1.0
        simulation.run_for(0.2)
        del simulation.faults["reply lost"]
        second.submit_request("m", work_us=3 * SECOND_US)
        simulation.run_for(2.9)
        restart(simulation, 1)
        simulation.run_for(25)
        third.submit_request("m")
        simulation.run_for(5)
        return simulation.executions["m"]

    def test_late_release_does_not_clear_a_later_claim(self) -> None:
        self.assertEqual(1, self.run_late_release())
        with patch.object(records, "_is_holder", lambda record, event: True):
            self.assertEqual(2, self.run_late_release())

    def test_claim_is_synced_to_the_journal_without_the_store(self) -> None:
        settings = {"unguarded_rates": {"load": 1}, "max_unguarded_us": 60 * SECOND_US}
        for sync_us, decision in ((5_000, "ProceedUnguarded"), (60 * SECOND_US, "Reject")):
            simulation = self.make_simulation(settings=settings)
            gateway, claim_journal = simulation.gateways[0], SlowJournal(simulation, sync_us)
            gateway.coordinator.use_journal(claim_journal)
            simulation.is_down = True
            for number in range(8):  # until the breaker is open
                gateway.submit_request(f"x{number}")
                simulation.run_for(0.1)
            simulation.run_for(2)
            del claim_journal.calls[:]
            before = simulation.counts[decision]
            gateway.submit_request("m")
            self.assertEqual((0, ["claim"]), (simulation.counts[decision] - before, claim_journal.calls))
            simulation.run_for(1)
            self.assertEqual(1, simulation.counts[decision] - before)
            gateway.submit_request("m")  # decided from the gateway's own queued reports
            simulation.is_down = False
            simulation.run_for(10)
            if decision == "ProceedUnguarded":
                self.assertEqual(
                    (1, "settled"), (simulation.executions["m"], claim_journal.calls[1].split()[0])
                )
            self.assertEqual(
                ({}, 0), (gateway.coordinator.open_requests.by_request, len(gateway.coordinator.write_behind))
            )

    def test_waiting_requests_are_decided_before_a_deadline_that_was_moved_forward(self) -> None:
        """Guards against a wait for a claim, or for the journal, that goes by the time a request once had."""
        settings = {"unguarded_rates": {"load": 1}, "max_unguarded_us": 60 * SECOND_US}
        for has_journal in (False, True):
            simulation = self.make_simulation(settings=settings)
            first, second, _ = simulation.gateways
            if has_journal:
                second.coordinator.use_journal(SlowJournal(simulation, 60 * SECOND_US))
                simulation.is_down = True
                for number in range(8):  # until the breaker is open
                    second.submit_request(f"x{number}")
                    simulation.run_for(0.1)
            first.submit_request("m", work_us=60 * SECOND_US)
            simulation.run_for(2)
            simulation.counts.clear()
            second.submit_request("m")
            simulation.run_for(0.05)
            self.assertEqual(0, simulation.counts["decisions"])
            request = list(second.coordinator.open_requests.by_request)[-1]
            deadlines.limit_deadline(request, simulation.now_us + 150_000)
            second.coordinator.on_deadlines_limited(simulation.now_us)
            simulation.run_for(0.1)
            self.assertEqual(1, simulation.counts["decisions"])
            self.assertEqual(has_journal, bool(simulation.counts["Reject"]))

    def test_gateway_started_later_learns_of_a_clock_regression(self) -> None:
        simulation = self.make_simulation()
        simulation.run_for(1)
        simulation.clock_skew_ms, regression_ms = -15_000, simulation.now_us // 1000
        simulation.run_for(5)
        restart(simulation, 0)
        simulation.run_for(1)
        offsets_ms = [
            gateway.coordinator.store_clock.age_unknown_before_ms - regression_ms
            for gateway in simulation.gateways
        ]
        self.assertTrue(all(0 < offset_ms < 5_000 for offset_ms in offsets_ms), offsets_ms)
        self.assertEqual(0, simulation.gateways[0].coordinator.store_clock.regressions)

    def test_flood_of_one_tenant_leaves_lookups_for_others(self) -> None:
        simulation = self.make_simulation()
        gateway = simulation.gateways[0]
        for number in range(2_000):
            gateway.submit_request(f"f{number}")
        self.assertEqual(1_750, simulation.counts["Reject"])
        gateway.submit_request("m", tenant=1)
        simulation.run_for(30)
        self.assertEqual(
            (1, {}, 0),
            (
                simulation.executions["m"],
                gateway.coordinator.open_requests.by_request,
                len(gateway.coordinator.open_requests.lookups_by_tenant),
            ),
        )

    def test_unsettled_claim_after_a_crash_fails_the_request(self) -> None:
        simulation = self.make_simulation()
        gateway, claim_journal = simulation.gateways[0], SlowJournal(simulation, 0)
        gateway.coordinator.use_journal(claim_journal)
        digest = records.digest_key("cresstray", "", "load/all", "m")
        gateway.coordinator.recover([JournalEntry(EntryKind.CLAIMED, 7, digest, 0, 0)], simulation.now_us)
        simulation.run_for(1)
        self.assertEqual(["settled 7"], claim_journal.calls)
        simulation.gateways[1].submit_request("m")
        simulation.run_for(1)
        self.assertEqual((1, 0), (simulation.counts["Fail"], simulation.executions["m"]))


class RandomWalkTest(unittest.TestCase):
    def test_no_repeated_execution_while_the_store_keeps_acknowledged_writes(self) -> None:
        for name, faults in FAULTS_WITHOUT_DATA_LOSS.items():
            totals: Counter[str] = Counter()
            for seed in range(25):
                with self.subTest(name, seed=seed):
                    simulation = run_random_walk(seed, **faults)
                    totals.update(simulation.counts)
                    self.assertEqual(0, simulation.count_repeated_executions())
                    if "kill" not in faults or not faults["kill"]:
                        self.assertEqual(simulation.counts["requests"], simulation.counts["decisions"])
                    self.assertEqual(0, simulation.counts["late"], "a decision after the slack was used up")
                    for gateway in simulation.gateways:
                        remaining = (
                            gateway.coordinator.open_requests.by_request,
                            len(gateway.coordinator.write_behind),
                            gateway.coordinator.writer.writes_in_flight,
                        )
                        self.assertEqual(({}, 0, 0), remaining)
            for decision_name in ("Proceed", "Fail"):
                self.assertGreater(totals[decision_name], 0, f"{name}: never {decision_name}")

    def test_store_that_loses_data_causes_repeated_executions(self) -> None:
        for faults in ({"emptied": 1.0}, {"fail over": 1.0}):
            self.assertGreater(count_repeated_executions(faults, range(25)), 0, faults)

    def test_clock_regression_causes_no_repeated_execution(self) -> None:
        faults = {"set back": 1.0, "size": 1000}
        self.assertEqual(0, count_repeated_executions(faults, range(25)))
        always_zero = property(lambda self: 0, lambda self, value: None)
        with patch.object(StoreClock, "age_unknown_before_ms", always_zero, create=True):
            self.assertGreater(count_repeated_executions(faults, range(25)), 0)

    def test_broken_variants_are_detected(self) -> None:
        for name, (faults, apply_variant) in BROKEN_VARIANTS.items():
            with self.subTest(name), apply_variant():
                self.assertTrue(
                    any(
                        run_random_walk(seed, **FAULTS_WITHOUT_DATA_LOSS[faults]).count_repeated_executions()
                        for seed in range(60)
                    )
                )


if __name__ == "__main__":
    unittest.main()
