"""Marks of deduplicated submissions: their life and guard, the store's limiter, the journal, random walks."""

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
from cresstray.policy.types import Outcome, Request, RequestClass

SECOND, START = 1_000_000, 1_800_000_000_000_000
MEMORY = 20 * SECOND
TABLE = tomllib.loads((Path(__file__).parent / "conformance" / "idempotency_records.toml").read_text())
A, B = ClaimHolder("a", "1"), ClaimHolder("b", "1")


# The table of docs/idempotency.md: every state with every event.


def state(name: str) -> IdempotencyRecord | None:
    words = name.split()
    if words[0] == "none":
        return None
    if words[0] == "unreadable":
        return records.UNREADABLE_RECORD
    kind = RecordState[words[0].upper()]
    held = kind in (RecordState.CLAIMED, RecordState.DISPATCHED)
    outcome = b"+r" if "stored" in words else b""
    return IdempotencyRecord(kind, *A, 10, 3000 if held else 0, 1000, "uncertain" in words, outcome)


def event(name: str) -> tuple[RecordEvent, int]:
    """And the store's time. `older` and `newer` by the fence; `since` of an older one is before that."""
    what, _, who = name.partition(", ")
    if what.startswith("operator"):
        fence, at = (9 if who == "of another fence" else 10), (2000 if who == "early" else 4000)
        return RecordEvent(EventKind[what.upper().replace(" ", "_")], "", "", fence, valid_until_ms=3500), at
    holder, fence, since = {
        "holder": (A, 10, 1500),
        "older": (B, 5, 500),
        "newer": (B, 20, 1500),
        "same fence": (B, 10, 1500),
    }[who]
    return RecordEvent(
        EventKind[what.upper()], *holder, fence, since, 5000, b"+r" if what == "completed" else b""
    ), 2000


def told(record: IdempotencyRecord | None) -> str:
    if record is None:
        return "-"
    words = [record.state.name.lower(), record.owner, str(record.fence), str(record.earliest_dispatch_ms)]
    return " ".join(
        words + ["uncertain"] * record.has_uncertain_predecessor + ["stored"] * bool(record.outcome)
    )


class Life(unittest.TestCase):
    def test_every_state_with_every_event(self) -> None:
        states = ["none", "absent", "unreadable", "completed", "completed stored"] + [
            f"{one}{more}" for one in ("claimed", "dispatched", "unknown") for more in ("", " uncertain")
        ]
        self.assertEqual(sorted(states), sorted(TABLE["states"]))
        for name, row in TABLE["states"].items():
            self.assertEqual(
                row, [told(apply_event(state(name), *event(one))) for one in TABLE["events"]], name
            )

    def test_fences_grow_and_what_may_have_run_is_not_cleared(self) -> None:
        chance, cleared = random.Random(5), 0
        for _ in range(300):
            record, may_have_run = None, False
            for kind in chance.choices(
                [kind for kind in EventKind if kind < EventKind.OPERATOR_COMPLETED], k=12
            ):
                holder = chance.choice((A, B))
                fence = (record.fence if record else 1) + chance.choice((-1, 0, 1, 3))
                if record is not None and chance.random() < 0.4:
                    holder, fence = ClaimHolder(record.owner, record.incarnation), record.fence
                after = apply_event(record, RecordEvent(kind, *holder, fence, 1000, 9000), 2000)
                if after is None:
                    continue
                self.assertNotEqual(after, record, "a change that changes nothing")
                self.assertGreaterEqual(
                    after.fence - (kind is EventKind.CLAIM), record.fence if record else -1
                )
                may_have_run = may_have_run or kind in (EventKind.COMPLETED, EventKind.UNKNOWN)
                self.assertFalse(may_have_run and after.state is RecordState.ABSENT, (record, kind, after))
                cleared += after.state is RecordState.ABSENT
                record = after
        self.assertGreater(cleared, 0)

    def test_digests_and_bytes(self) -> None:
        made = {
            records.digest_key(*parts)
            for parts in (
                ("n", "t", "g", "ab"),
                ("n", "ta", "g", "b"),
                ("n", "t", "ga", "b"),
                ("m", "t", "g", "ab"),
                ("n", "t", "g", "ab"),
            )
        }
        self.assertEqual(4, len(made))
        record = IdempotencyRecord(RecordState.DISPATCHED, "a", "1", 7, 8, 9, True, b"+x")
        self.assertEqual(record, records.decode_record(records.encode_record(record)))
        later = msgspec.msgpack.encode([9, "a", "1", 7])
        for value in (b"\xff", b"no record", later, msgspec.msgpack.encode([1, "a", "1", -4])):
            self.assertIs(records.UNREADABLE_RECORD, records.decode_record(value))
        self.assertEqual(
            (None, b""), (records.stored_result(b""), records.stored_result(records.make_outcome(b"", 1)))
        )
        self.assertEqual(b"", records.make_outcome(b"12", 1))


# The guard.


def tariff(
    deduplicated: bool = True, group: str = "all", idempotent: bool = False, index: int = 0
) -> RequestClass:
    return RequestClass(
        index, 1, SECOND, 0.0, 1.0, 0.0, idempotent, deduplicated, group, MEMORY, False, None, None
    )


class Guarding(unittest.TestCase):
    def setUp(self) -> None:
        settings = IdempotencySettings(unguarded_rates={"load": 2}, max_unguarded_us=10 * SECOND)
        self.guard = ExecutionGuard(settings, 2 * SECOND, random.Random(3).random)
        self.times = RequestTiming(START, START + SECOND, START + 3 * SECOND, MEMORY)

    def decide(
        self,
        kind: GuardMode,
        record: IdempotencyRecord | None,
        at: int = 10_000,
        now: int = START,
        before: int = 0,
    ) -> Any:
        return self.guard.decide(kind, LookupResult(record, at, before), B, self.times, now)

    def test_who_needs_a_mark(self) -> None:
        kinds = [
            guard_mode_of(one, "load", IdempotencySettings(request_classes=("load",)))
            for one in (tariff(), tariff(group="cell"), tariff(False), tariff(False, idempotent=True))
        ]
        self.assertEqual(
            [
                GuardMode.SHARED_DEDUP_WINDOW,
                GuardMode.SCOPED_DEDUP_WINDOW,
                GuardMode.AT_MOST_ONCE,
                GuardMode.NOT_NEEDED,
            ],
            kinds,
        )
        self.assertIs(GuardMode.NOT_NEEDED, guard_mode_of(tariff(), "load", IdempotencySettings()))

    def test_each_doubt_by_kind(self) -> None:
        """The table of decisions in docs/idempotency.md: what is found, how old it is, and each mode."""
        ran, kept = (
            IdempotencyRecord(RecordState.COMPLETED, *A, 4, 0, 5000),
            IdempotencyRecord(RecordState.COMPLETED, *A, 4, 0, 5000, False, b"+r"),
        )
        unknown, held = (
            IdempotencyRecord(RecordState.UNKNOWN, *A, 4, 0, 5000),
            IdempotencyRecord(RecordState.CLAIMED, *A, 4, 11_000, 5000),
        )
        late, past = START + 600_000, 5000 + 19_700  # half of the slack is over; the memory, but for a margin
        rows = [
            (None, 10_000, START, Claim, Claim),
            (IdempotencyRecord(RecordState.ABSENT, *A, 4), 10_000, START, Claim, Claim),
            (kept, 10_000, START, ReplayResult, ReplayResult),
            (kept, past, START, ReplayResult, ReplayResult),
            (ran, 10_000, START, Proceed, Fail),
            (ran, past, START, Fail, Fail),
            (unknown, 10_000, START, Proceed, Fail),
            (unknown, past, START, Fail, Fail),
            (held, 10_000, START, Wait, Wait),
            (held, 10_000, late, Claim, Reject),
            (held, 11_000, START, Claim, Fail),
            (held, past, START, Fail, Fail),
            (records.UNREADABLE_RECORD, past, START, Fail, Fail),
        ]
        for record, at, now, shared, other in rows:
            with self.subTest(record=record, at=at, now=now - START):
                found = [
                    type(self.decide(kind, record, at, now))
                    for kind in (
                        GuardMode.SHARED_DEDUP_WINDOW,
                        GuardMode.SCOPED_DEDUP_WINDOW,
                        GuardMode.AT_MOST_ONCE,
                    )
                ]
                self.assertEqual([shared, other, other], found)
        ahead = msgspec.structs.replace(ran, earliest_dispatch_ms=12_000)
        self.assertIsInstance(self.decide(GuardMode.SHARED_DEDUP_WINDOW, ahead), Fail)
        self.assertIsInstance(self.decide(GuardMode.SHARED_DEDUP_WINDOW, ran, before=5_001), Fail)

    def test_a_takeover_keeps_the_first_time(self) -> None:
        held = IdempotencyRecord(RecordState.DISPATCHED, *A, 40_000, 9_000, 5000)
        claim = self.decide(GuardMode.SHARED_DEDUP_WINDOW, held).event
        self.assertEqual(
            (40_001, 5000, 13_000), (claim.fence, claim.earliest_dispatch_ms, claim.valid_until_ms)
        )
        claim = self.decide(GuardMode.SHARED_DEDUP_WINDOW, held, 24_000).event
        self.assertEqual(5000 + 19_700, claim.valid_until_ms)
        self.assertEqual(
            10_000,
            self.decide(
                GuardMode.SHARED_DEDUP_WINDOW, IdempotencyRecord(RecordState.ABSENT, *A, 4)
            ).event.fence,
        )

    def test_without_the_store(self) -> None:
        def silent(name: str, since: int = 0, now: int = START) -> Any:
            return self.guard.decide_without_store(StoreUnavailable("away", since), name, now)

        found = [type(silent("load")) for _ in range(4)] + [
            type(one)
            for one in (
                silent("post"),
                silent("load", 11 * SECOND, START + 2 * SECOND),
                silent("load", SECOND, START + 2 * SECOND),
            )
        ]
        self.assertEqual(
            [ProceedUnguarded, ProceedUnguarded, Reject, Reject, Reject, Reject, ProceedUnguarded], found
        )
        waits = [
            self.guard.draw_retry_after_us(least) for least in (0, SECOND, 9 * SECOND) for _ in range(50)
        ]
        self.assertTrue(all(SECOND <= wait <= 2 * SECOND for wait in waits))
        self.assertGreater(max(waits[100:]) - min(waits[100:]), 400_000)


# The limiter on the store, and its clock.


class Limiting(unittest.TestCase):
    def setUp(self) -> None:
        self.health, self.now = StoreHealth(IdempotencySettings(), random.Random(1).random, START), START

    def trip(self, took: int, well: bool = True) -> None:
        ticket = self.health.on_round_trip_started(self.now)
        self.now += took
        self.health.on_round_trip_finished(ticket, well, self.now)

    def close(self) -> int:
        """Trials until it is closed; one is out at a time."""
        tries = 0
        while self.health.is_open:
            ticket = self.health.start_probe(self.now)
            if ticket is not None:
                self.assertIsNone(self.health.start_probe(self.now))
                self.health.on_round_trip_finished(ticket, True, self.now + 500)
                tries += 1
            self.now += 10_000
        return tries

    def test_budget(self) -> None:
        self.assertEqual(0, self.health.time_budget_us(SECOND, self.now), "nothing is known of it yet")
        self.assertEqual(1, self.close())
        budgets = [self.health.time_budget_us(slack, self.now) for slack in (SECOND, 20_000, 0)]
        self.assertEqual([50_000, 5_000, 0], budgets)
        for _ in range(10):
            self.trip(20_000)
        self.assertEqual(80_000, self.health.time_budget_us(SECOND, self.now))
        self.assertEqual(0, self.health.time_budget_us(70_000, self.now), "less than one usual round trip")
        for _ in range(1000):
            self.health.on_round_trip_started(self.now)
        self.assertEqual(0, self.health.time_budget_us(SECOND, self.now))

    def test_breaker(self) -> None:
        for took, well, opens in ((500, False, 5), (60_000, True, 5), (500, True, 50), (40_000, True, 50)):
            with self.subTest(took=took, well=well):
                self.setUp()
                self.close()
                after = 0
                while not self.health.is_open and after < 50:
                    self.trip(took, well)
                    after += 1
                self.assertEqual(opens, after)
                if opens < 50:
                    self.assertEqual(0, self.health.time_budget_us(SECOND, self.now))
                    self.assertEqual(3, self.close())

    def test_failed_trials_come_seldom_and_spread(self) -> None:
        def found(seed: int) -> list[int]:
            health, times, now = (
                StoreHealth(IdempotencySettings(), random.Random(seed).random, START),
                [],
                START,
            )
            while len(times) < 6:
                ticket = health.start_probe(now)
                if ticket is not None:
                    times.append(now)
                    health.on_round_trip_finished(ticket, False, now)
                now += 1_000
            return times

        times = found(1)
        self.assertTrue(2 * SECOND <= times[-1] - times[-2] <= 4 * SECOND + 1_000)
        self.assertGreater(len({found(seed)[3] for seed in range(20)}), 15)

    def test_a_clock_that_goes_back(self) -> None:
        clock = StoreClock()
        self.assertFalse(clock.is_known(START))
        clock.on_reading(50_000, START, START + 2_000)
        self.assertTrue(clock.lower_bound_ms(START + 2_000) <= 50_000 <= clock.upper_bound_ms(START + 2_000))
        clock.on_reading(50_990, START + SECOND, START + SECOND + 1_000)
        self.assertEqual((0, 0), (clock.regressions, clock.age_unknown_before_ms))
        clock.on_reading(49_000, START + 2 * SECOND, START + 2 * SECOND)
        self.assertEqual(1, clock.regressions)
        self.assertGreaterEqual(clock.age_unknown_before_ms, 51_990)


class WritingBehind(unittest.TestCase):
    def add(
        self,
        behind: WriteBehindQueue,
        number: int,
        kind: EventKind,
        tenant: int = 0,
        fence: int = 1,
        now: int = START,
        **more: Any,
    ) -> bool:
        return behind.add(
            b"%d" % number, RecordEvent(kind, *A, fence, **more), tenant, now + 60 * SECOND, now
        )

    def test_bounds(self) -> None:
        behind = WriteBehindQueue(max_pending=6, max_pending_per_tenant=4)
        kinds = [EventKind.COMPLETED, EventKind.DISPATCHED, EventKind.NOT_EXECUTED, EventKind.UNKNOWN]
        for number, kind in enumerate(kinds):
            self.assertTrue(self.add(behind, number, kind))
        self.assertTrue(self.add(behind, 4, EventKind.UNKNOWN, fence=0))
        self.assertFalse(self.add(behind, 5, EventKind.DISPATCHED), "it is needed least itself")
        self.assertTrue(self.add(behind, 6, EventKind.COMPLETED))
        for number in (7, 8):
            self.assertTrue(self.add(behind, number, EventKind.COMPLETED, tenant=1))
        self.assertTrue(self.add(behind, 9, EventKind.COMPLETED, tenant=1), "the flood gives way")
        left = [int(item.digest) for item in behind.take_due(9, START + SECOND)]
        self.assertEqual(([3, 4, 6, 7, 8, 9], 4), (left, behind.dropped_count))

    def test_order_and_merging(self) -> None:
        behind = WriteBehindQueue()
        self.add(behind, 1, EventKind.DISPATCHED, earliest_dispatch_ms=5)
        self.add(behind, 2, EventKind.UNKNOWN, earliest_dispatch_ms=7)
        ripe = [int(item.digest) for item in behind.take_due(9, START)]
        self.assertEqual([2], ripe, "what is sent is not ripe")
        self.add(behind, 1, EventKind.COMPLETED, earliest_dispatch_ms=6, outcome=b"+r")
        self.add(behind, 3, EventKind.NOT_EXECUTED)
        taken, merged = behind.take_due(1, START), RecordEvent(EventKind.COMPLETED, *A, 1, 5, 0, b"+r")
        self.assertEqual(merged, taken[0].event)
        self.add(behind, 1, EventKind.UNKNOWN, earliest_dispatch_ms=6)
        behind.requeue(taken)
        self.assertEqual([merged], [item.event for item in behind.pending_for(b"1")])
        self.assertEqual([1, 3], [int(item.digest) for item in behind.take_due(9, START)])
        self.add(behind, 4, EventKind.COMPLETED)
        self.assertEqual(([], 0), (behind.take_due(9, START + 61 * SECOND), len(behind)), "no longer needed")


# The journal.


class Disk(DiskCalls):
    """Fails the call with that number, counted over all calls; writes half of it first."""

    def __init__(self, fails: int = -1) -> None:
        self.calls, self.fails = 0, fails

    def _count(self) -> bool:
        self.calls += 1
        return self.calls - 1 == self.fails

    def write(self, file: int, data: Any) -> int:
        if self._count():
            os.write(file, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "no space")
        return os.write(file, data)

    def fsync(self, file: int) -> None:
        if self._count():
            raise OSError(errno.EIO, "lost")
        os.fsync(file)

    def rename(self, old: str, new: str) -> None:
        if self._count():
            raise OSError(errno.EIO, "lost")
        os.rename(old, new)


class Journals(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = f"{folder.name}/marks"

    def opened(self, system: DiskCalls | None = None) -> Journal:
        made = Journal(self.path, system)
        self.addCleanup(made.close)
        made.open()
        return made

    def again(self) -> tuple[list[int], list[str]]:
        made = Journal(self.path)
        numbers = sorted(entry.entry_id for entry in made.open())
        made.close()
        return numbers, [line.partition(": ")[2] for line in made.warnings]

    @staticmethod
    def intended(number: int) -> JournalEntry:
        return JournalEntry(EntryKind.CLAIMED, number, b"d" * 20, 0, 1)

    @staticmethod
    def settled(number: int) -> JournalEntry:
        return JournalEntry(EntryKind.SETTLED, number, b"", 0, 0)

    def test_what_is_not_settled_is_unknown(self) -> None:
        made = self.opened()
        made.append(map(self.intended, (1, 2, 3)))
        made.append([self.settled(2)])
        with self.assertRaises(JournalLockedError):
            Journal(self.path).open()
        made.close()
        self.assertEqual(([1, 3], []), self.again())
        entry = self.intended(1)
        self.assertEqual(
            (EventKind.UNKNOWN, 0),
            (
                journal.make_unknown_event(entry, "a", "2").kind,
                journal.make_unknown_event(entry, "a", "2").earliest_dispatch_ms,
            ),
        )

    def test_tails_and_damage(self) -> None:
        made = self.opened()
        made.append(map(self.intended, (1, 2, 3)))
        made.close()
        whole, size = Path(self.path).read_bytes(), ENTRY_SIZE
        for length in range(len(whole) + 1):
            Path(self.path).write_bytes(whole[:length])
            kept = max(0, length // size - 1)
            torn = f"incomplete end, {length % size} bytes truncated at offset {length // size * size}"
            told_of = [] if length % size == 0 else [torn]
            if 0 < length < size:
                told_of = ["first record incomplete; starting a new journal"]
            self.assertEqual((list(range(1, kept + 1)), told_of), self.again())
            self.assertEqual((list(range(1, kept + 1)), []), self.again())
        Path(self.path).write_bytes(whole + bytes(2 * size))
        self.assertEqual(
            ([1, 2, 3], [f"incomplete end, {2 * size} bytes truncated at offset {4 * size}"]), self.again()
        )
        for at in range(2 * size, 3 * size):
            Path(self.path).write_bytes(whole[:at] + bytes([whole[at] ^ 4]) + whole[at + 1 :])
            damaged = f"1 damaged records skipped, the first at offset {2 * size}; their claims are unknown"
            self.assertEqual(([1, 3], [damaged]), self.again())
        Path(self.path).write_bytes(b"x" + whole[1:])
        with self.assertRaises(JournalFormatError):
            self.again()

    def test_every_failing_call(self) -> None:
        for fails in range(4, 30):
            self.path += "."
            disk = Disk(fails)
            made, safe, settled = self.opened(disk), set(), set()
            for number in range(1, 9):
                try:
                    made.append([self.intended(number)])
                    safe.add(number)
                    if number % 2:
                        made.append([self.settled(number)])
                        settled.add(number)
                except OSError:
                    disk.fails = -1
            made.close()
            found = set(self.again()[0])
            # What was acknowledged is there; beside it at most what the failed call was about.
            kept = safe - settled
            self.assertTrue(kept <= found and len(found - kept) <= 1, (fails, kept, found))

    def test_compaction(self) -> None:
        with patch.object(journal, "_COMPACTION_BYTES", 40 * ENTRY_SIZE):
            made = self.opened()
            for number in range(1, 500):
                made.append([self.intended(number)])
                if number % 100:
                    made.append([self.settled(number)])
            self.assertLess(os.path.getsize(self.path), 60 * ENTRY_SIZE)
            made.close()
        self.assertEqual(([100, 200, 300, 400], []), self.again())

    def test_the_thread(self) -> None:
        disk = Disk()
        made = self.opened(disk)
        scribe = JournalWriter(made)
        first, second = scribe.append_claim(b"d" * 20, 0, 1), scribe.append_claim(b"e" * 20, 0, 1)
        self.assertTrue(self.told_of(scribe, first) and self.told_of(scribe, second))
        scribe.append_settled(first)
        # The settlement may be one with the failed write; it then goes with the next.
        disk.fails = disk.calls + 2
        while scribe.last_error == "":
            self.told_of(scribe, scribe.append_claim(b"f" * 20, 0, 1))
        self.assertTrue(self.told_of(scribe, scribe.append_claim(b"g" * 20, 0, 1)))
        scribe.stop()
        self.assertTrue(scribe.join(5))
        numbers = self.again()[0]
        self.assertTrue(second in numbers and first not in numbers, numbers)

    @staticmethod
    def told_of(scribe: JournalWriter, number: int | None) -> bool:
        while (outcome := scribe.take_sync_result(number)) is None:
            os.sched_yield()
        return outcome


# Gateways on a model of the store, in virtual time.


class World:
    """`chance` decides all: delays, losses, what clients ask. Engines remember a key from its first run."""

    def __init__(self, seed: int = 0, gateways: int = 3, **faults: float) -> None:
        self.chance, self.now, self.faults = random.Random(seed), START, faults
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.data: dict[bytes, tuple[bytes, int]] = {}
        self.log: list[tuple[int, bytes, tuple[bytes, int]]] = []
        self.down, self.skew = False, 0  # ms
        self.first: dict[str, int] = {}
        self.runs: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.gates = [Gate(self, f"g{n}", 0) for n in range(gateways)]

    def at(self, delay: int, call: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (self.now + max(0, delay), next(self.order), call))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.heap and self.heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self.heap)
            call()
        self.now = end

    def roll(self, fault: str) -> bool:
        return self.chance.random() < self.faults.get(fault, 0.0)

    # The store.

    def execute(self, command: codec.Command) -> Any:
        words, ms = command.arguments, self.now // 1000 + self.skew
        if words[0] == b"TIME":
            return [b"%d" % (ms // 1000), b"%06d" % (ms % 1000 * 1000)]
        key = words[1] if words[0] == b"GET" else words[3]
        value, expires = self.data.get(key, (None, 0))
        found = value if self.now < expires else None
        if words[0] == b"GET":
            return found
        if words[0] != b"SET" and (found or b"") != words[4]:
            return [0, found, ms]
        self.data[key] = words[5], self.now + int(words[6]) * 1000
        self.log.append((self.now, key, self.data[key]))
        return [1, ms]

    def fail_over(self, lag: int) -> None:
        """To a copy that has not heard of the last `lag` microseconds."""
        self.log = [line for line in self.log if line[0] <= self.now - lag]
        self.data = {key: value for _, key, value in self.log}

    # Engines, all with one memory.

    def arrive(self, key: str) -> None:
        if self.now - self.first.get(key, -MEMORY) >= MEMORY:
            self.first[key] = self.now
            self.runs[key] += 1

    def second_runs(self) -> int:
        return sum(runs - 1 for runs in self.runs.values())


class Gate:
    """A gateway's passage as far as marks see it; also its client to the store, its clock and its timers."""

    def __init__(self, world: World, name: str, life: int) -> None:
        self.world, self.name, self.life = world, name, life
        self.dead, self.paused = False, 0
        self.waiting: deque[Callable[[], None]] = deque()
        service = {"Name": "load", "Effect": "deduplicated"}
        settings = {"Limits": {"RetryAfter": True, "MaxRetryAfter": 1000}, "Services": [service]}
        self.counters = Counters()
        self.coordinator = IdempotencyCoordinator(
            self,
            IdempotencySettings(
                request_classes=("load",), max_result_bytes=64, **world.faults.get("settings", {})
            ),
            settings,
            [tariff()],
            name,
            str(life),
            random.Random(f"{name} {life}").random,
            self,
            self,
            self.counters,
        )
        self.steps()

    def now(self) -> int:
        return self.world.now

    def does(self, delay: int, call: Callable[[], None]) -> None:
        def due() -> None:
            if self.dead:
                return
            if self.world.now < self.paused:
                self.waiting.append(call)
            else:
                call()

        self.world.at(delay, due)

    def call_after(self, delay: int, call: Callable[[int], None]) -> None:
        self.does(delay, lambda: call(self.now()))

    def pause(self, seconds: int) -> None:
        """Stopped; what was to be sent goes out before any timer that is overdue, as it may."""
        self.paused = self.now() + seconds * SECOND
        self.world.at(seconds * SECOND, self.wake)

    def wake(self) -> None:
        waiting, self.waiting = sorted(self.waiting, key=lambda call: not hasattr(call, "sends")), deque()
        for call in waiting:
            if not self.dead:
                call()

    def steps(self) -> None:
        self.does(50_000 if self.coordinator.run_background_step(self.now()) else 250_000, self.steps)

    def submit(self, commands: list[codec.Command], by: int, call: Callable[[Any], None]) -> None:
        world, chance, heard = self.world, self.world.chance, []

        def tell(replies: Any) -> None:
            if not heard:
                heard.append(replies)
                call(replies)

        def reach() -> None:
            if not world.down:
                replies = [world.execute(command) for command in commands]
                if not world.roll("reply lost"):
                    self.does(int(chance.expovariate(1) * 500), lambda: tell(replies))

        late = int(chance.random() * 3 * SECOND) if world.roll("late") else 0
        if not world.roll("lost"):
            world.at(late + int(chance.expovariate(1) * 500), reach)
        self.does(by - self.now(), lambda: tell(None))

    def ask(
        self,
        key: str,
        hold: int = 0,
        ending: Outcome = Outcome.SUCCEEDED,
        work: int = 100_000,
        tenant: int = 0,
    ) -> None:
        now, world = self.now(), self.world
        request = Request(tariff(), now, now + 3 * SECOND, tenant)

        def told(decision: Any) -> None:
            world.counts[type(decision).__name__] += 1
            world.counts["decisions"] += 1
            world.counts["late"] += self.now() > now + SECOND and self.paused < now
            if isinstance(decision, Proceed | ProceedUnguarded):
                self.does(hold, send)

        def send() -> None:
            if not self.coordinator.may_dispatch(request, self.now()):
                world.counts["held back"] += 1
                self.coordinator.on_request_finished(request, "denied", None, self.now())
                return
            self.coordinator.on_attempt_sent(request, self.now())
            if ending is not Outcome.OVERLOADED:
                world.at(10_000, lambda: world.arrive(key))
            self.does(work, back)

        send.sends = True

        def back() -> None:
            self.coordinator.on_attempt_finished(request, ending, self.now())
            how = {Outcome.SUCCEEDED: "succeeded", Outcome.OVERLOADED: "rejected"}.get(ending, "failed")
            self.coordinator.on_request_finished(
                request, how, b"r" * self.world.faults.get("size", 50), self.now()
            )

        context = SimpleNamespace(request=request, query=SimpleNamespace(idempotency_key=key))
        world.counts["asked"] += 1
        world.counts["without record"] += not self.coordinator.check(context, now, told)


def restart(world: World, at: int) -> None:
    old = world.gates[at]
    old.dead = True
    world.gates[at] = Gate(world, old.name, old.life + 1)


ASKED_AGAIN = (0, 0, 5_000, 300_000, SECOND, 19 * SECOND, 21 * SECOND, 25 * SECOND, 40 * SECOND, 60 * SECOND)


def walk(seed: int, **faults: Any) -> World:
    """Clients ask for each key again and again, whatever was answered; gateways are killed and stopped."""
    world = World(seed, **faults)
    chance = world.chance
    world.run(1)
    for n in range(8):
        begin = int(chance.random() * 10 * SECOND)
        for again in chance.sample(ASKED_AGAIN, 6):
            ending = chance.choice(
                [Outcome.SUCCEEDED] * 2 + [Outcome.CONNECTION_LOST] * 2 + [Outcome.OVERLOADED]
            )
            hold = chance.choice((0, 0, 50_000, SECOND, 2 * SECOND))
            work = chance.choice((30_000, 300_000, 2 * SECOND))

            def ask(n: int = n, more: tuple[Any, ...] = (hold, ending, work)) -> None:
                gate = chance.choice([one for one in world.gates if one.paused <= world.now] or [None])
                if gate is not None:
                    gate.ask(f"m{n}", *more)

            world.at(begin + again, ask)
    for _ in range(4):
        if world.roll("kill"):
            world.at(int(chance.random() * 40 * SECOND), lambda: restart(world, int(chance.random() * 3)))
        if world.roll("pause"):
            world.at(int(chance.random() * 15 * SECOND), lambda: chance.choice(world.gates).pause(30))
    for _ in range(2):
        begin = int(chance.random() * 50 * SECOND)
        if world.roll("down"):
            world.at(begin, lambda: setattr(world, "down", True))
            world.at(begin + 4 * SECOND, lambda: setattr(world, "down", False))
        if world.roll("fail over"):
            world.at(begin, lambda: world.fail_over(10 * SECOND))
        if world.roll("emptied"):
            world.at(begin, lambda: world.fail_over(1000 * SECOND))
        if world.roll("set back"):
            world.at(begin, lambda: setattr(world, "skew", world.skew - 15_000))
    world.run(120)
    return world


# Stores that keep what they acknowledged, whatever else they do.
KEEPS = {
    "well": {"kill": 0.0},
    "killed and stopped": {"kill": 0.6, "pause": 0.4},
    "losing": {"lost": 0.1, "reply lost": 0.1, "kill": 0.3, "pause": 0.3},
    "late": {"late": 0.15, "reply lost": 0.05, "kill": 0.3, "pause": 0.3},
    "away": {"down": 0.8, "kill": 0.3, "pause": 0.2},
    "no outcomes": {"kill": 0.6, "pause": 0.4, "size": 1000, "reply lost": 0.05},
    "all": {
        "kill": 0.6,
        "pause": 0.4,
        "lost": 0.05,
        "reply lost": 0.05,
        "late": 0.05,
        "down": 0.4,
        "size": 1000,
    },
}


def second_runs(faults: dict[str, Any], seeds: range) -> int:
    return sum(walk(seed, **faults).second_runs() for seed in seeds)


def recorded_after(self: RecordLookup, guarded: GuardedRequest, now: int) -> None:
    guarded.dispatch_until_us = guarded.timing.deadline_us
    self._open_requests.deliver(guarded, ProceedUnguarded("later"), now)


def go_by_timer(
    self: RecordLookup, guarded: GuardedRequest, decision: Proceed, at: int, began: int, now: int
) -> None:
    proceed(self, guarded, decision, at, began, now)
    ends, guarded.dispatch_until_us = guarded.dispatch_until_us, guarded.dispatch_until_us and 1 << 62
    self._timers.call_after(ends - now, lambda _: setattr(guarded, "dispatch_until_us", 0))


def since_anew(record: IdempotencyRecord | None, event: RecordEvent, at: int) -> IdempotencyRecord | None:
    made = apply_event(record, event, at)
    return (
        made
        and event.kind is EventKind.CLAIM
        and msgspec.structs.replace(made, earliest_dispatch_ms=event.earliest_dispatch_ms)
        or made
    )


def set_only(key: bytes, expected: bytes, new: bytes, px: int) -> codec.Command:
    return codec.Command((b"SET", b"", b"1", key, expected, new, b"%d" % px), lambda _: True)


proceed, claim = RecordLookup._proceed, ExecutionGuard.make_claim


def claim_anew(self: ExecutionGuard, kind: GuardMode, record: IdempotencyRecord | None, *more: Any) -> Claim:
    """Takes over as if nobody could have sent it yet."""
    fence = 0 if record is None else record.fence + 1
    return claim(self, kind, record and IdempotencyRecord(RecordState.ABSENT, "", "", fence), *more)


@contextmanager
def forgotten() -> Iterator[None]:
    with (
        patch.object(records, "apply_event", since_anew),
        patch.object(ExecutionGuard, "make_claim", claim_anew),
    ):
        yield


BROKEN = {
    "the record written after the attempt": (
        "well",
        lambda: patch.object(RecordLookup, "start", recorded_after),
    ),
    "the claim checked by a timer alone": (
        "killed and stopped",
        lambda: patch.object(RecordLookup, "_proceed", go_by_timer),
    ),
    "unknown counted as not executed": (
        "no outcomes",
        lambda: patch.object(open_requests, "_NOT_EXECUTED", tuple(Outcome)[1:]),
    ),
    "set in place of compare-and-set": (
        "killed and stopped",
        lambda: patch.object(codec, "compare_and_set", set_only),
    ),
    "a takeover that forgets the first time": ("no outcomes", forgotten),
}


class Scribbling:
    """A desk whose disk syncs after some time, or never."""

    last_error = ""

    def __init__(self, world: World, takes: int) -> None:
        self.world, self.takes, self.lines, self.due = world, takes, [], {}

    def append_claim(self, digest: bytes, fence: int, tenant: int) -> int:
        self.lines.append("intend")
        self.due[len(self.due) + 1] = self.world.now + self.takes
        return len(self.due)

    def append_settled(self, number: int) -> None:
        self.lines.append(f"settle {number}")

    def take_sync_result(self, number: int) -> bool | None:
        return self.world.now >= self.due[number] or None


class Cases(unittest.TestCase):
    def world(self, **faults: Any) -> World:
        world = World(1, **faults)
        world.run(1)
        return world

    def test_round_trips(self) -> None:
        world = self.world()
        gate, trips = world.gates[0], world.gates[0].counters.counts
        for key, ending, most in (
            ("m", Outcome.OVERLOADED, 1),
            ("m", Outcome.SUCCEEDED, 2),
            ("n", Outcome.SUCCEEDED, 1),
        ):
            before = trips["idempotency: round trips"]
            gate.ask(key, hold=200_000, ending=ending)
            world.run(0.1)
            self.assertEqual(most, trips["idempotency: round trips"] - before)
            world.run(1)
        before = trips["idempotency: round trips"]
        for kind, foreign in ((tariff(idempotent=True), False), (tariff(), True)):
            request = Request(kind, world.now, world.now + SECOND, is_forwarded_in=foreign)
            context = SimpleNamespace(request=request, query=SimpleNamespace(idempotency_key="m"))
            gate.coordinator.guard_modes = [
                guard_mode_of(kind, "load", IdempotencySettings(request_classes=("load",)))
            ]
            self.assertFalse(gate.coordinator.check(context, world.now, self.fail))
            self.assertTrue(gate.coordinator.may_dispatch(request, world.now))
        self.assertEqual(before, trips["idempotency: round trips"])

    def test_one_mark_at_three_gateways_with_one_killed(self) -> None:
        served, lost = ("Proceed", "ReplayResult"), ("Fail",)
        for killed, again, decisions, runs in (
            (0.5, 5, served, 1),
            (0.5, 25, lost, 0),
            (1.5, 5, served, 1),
            (1.5, 25, lost, 1),
        ):
            with self.subTest(killed=killed, again=again):
                world = self.world()
                world.gates[0].ask("m", hold=SECOND, work=2 * SECOND)  # sent after a second
                world.run(killed)
                restart(world, 0)
                world.run(again)
                world.counts.clear()
                for gate in world.gates:
                    gate.ask("m")
                world.run(5)
                self.assertEqual((3, runs), (sum(world.counts[one] for one in decisions), world.runs["m"]))

    def test_a_gateway_that_was_stopped_sends_nothing(self) -> None:
        world = self.world()
        world.gates[0].ask("m", hold=100_000)
        world.run(0.05)
        world.gates[0].pause(30)
        world.run(1)
        world.gates[1].ask("m")
        world.run(35)
        self.assertEqual((1, 1), (world.runs["m"], world.counts["held back"]))

    def late_release(self) -> int:
        """One gateway's release is told twice; between, another one holds the key, sends, and is killed."""
        world = self.world()
        first, second, third = world.gates
        first.ask("m", ending=Outcome.OVERLOADED, work=10_000)
        world.run(0.009)
        world.faults["reply lost"] = 1.0
        world.run(0.2)
        del world.faults["reply lost"]
        second.ask("m", work=3 * SECOND)
        world.run(2.9)
        restart(world, 1)
        world.run(25)
        third.ask("m")
        world.run(5)
        return world.runs["m"]

    def test_a_late_release_clears_nothing(self) -> None:
        self.assertEqual(1, self.late_release())
        with patch.object(records, "_is_holder", lambda record, event: True):
            self.assertEqual(2, self.late_release())

    def test_without_the_store(self) -> None:
        settings = {"unguarded_rates": {"load": 1}, "max_unguarded_us": 60 * SECOND}
        for takes, decision in ((5_000, "ProceedUnguarded"), (60 * SECOND, "Reject")):
            world = self.world(settings=settings)
            gate, desk = world.gates[0], Scribbling(world, takes)
            gate.coordinator.use_journal(desk)
            world.down = True
            for n in range(8):  # until the breaker is open
                gate.ask(f"x{n}")
                world.run(0.1)
            world.run(2)
            del desk.lines[:]
            before = world.counts[decision]
            gate.ask("m")
            self.assertEqual((0, ["intend"]), (world.counts[decision] - before, desk.lines))
            world.run(1)
            self.assertEqual(1, world.counts[decision] - before)
            gate.ask("m")  # this gateway knows what it did
            world.down = False
            world.run(10)
            if decision == "ProceedUnguarded":
                self.assertEqual((1, "settle"), (world.runs["m"], desk.lines[1].split()[0]))
            self.assertEqual(
                ({}, 0), (gate.coordinator.open_requests.by_request, len(gate.coordinator.write_behind))
            )

    def test_who_starts_later_hears_of_a_clock_that_went_back(self) -> None:
        world = self.world()
        world.run(1)
        world.skew, before = -15_000, world.now // 1000
        world.run(5)
        restart(world, 0)
        world.run(1)
        told = [gate.coordinator.store_clock.age_unknown_before_ms - before for gate in world.gates]
        self.assertTrue(all(0 < one < 5_000 for one in told), told)
        self.assertEqual(0, world.gates[0].coordinator.store_clock.regressions)

    def test_a_flood_of_one_tenant(self) -> None:
        world = self.world()
        gate = world.gates[0]
        for n in range(2_000):
            gate.ask(f"f{n}")
        self.assertEqual(1_750, world.counts["Reject"])
        gate.ask("m", tenant=1)
        world.run(30)
        self.assertEqual(
            (1, {}, 0),
            (
                world.runs["m"],
                gate.coordinator.open_requests.by_request,
                len(gate.coordinator.open_requests.lookups_by_tenant),
            ),
        )

    def test_what_a_crash_cut_off_is_unknown(self) -> None:
        world = self.world()
        gate, desk = world.gates[0], Scribbling(world, 0)
        gate.coordinator.use_journal(desk)
        digest = records.digest_key("cresstray", "", "load/all", "m")
        gate.coordinator.recover([JournalEntry(EntryKind.CLAIMED, 7, digest, 0, 0)], world.now)
        world.run(1)
        self.assertEqual(["settle 7"], desk.lines)
        world.gates[1].ask("m")
        world.run(1)
        self.assertEqual((1, 0), (world.counts["Fail"], world.runs["m"]))


class Walks(unittest.TestCase):
    def test_no_second_run_while_the_store_keeps_what_it_acknowledged(self) -> None:
        for name, faults in KEEPS.items():
            totals: Counter[str] = Counter()
            for seed in range(25):
                with self.subTest(name, seed=seed):
                    world = walk(seed, **faults)
                    totals.update(world.counts)
                    self.assertEqual(0, world.second_runs())
                    if "kill" not in faults or not faults["kill"]:
                        self.assertEqual(world.counts["asked"], world.counts["decisions"])
                    self.assertEqual(0, world.counts["late"], "a decision beyond its slack")
                    for gate in world.gates:
                        kept = (
                            gate.coordinator.open_requests.by_request,
                            len(gate.coordinator.write_behind),
                            gate.coordinator.writer.writes_in_flight,
                        )
                        self.assertEqual(({}, 0, 0), kept)
            for what in ("Proceed", "Fail"):
                self.assertGreater(totals[what], 0, f"{name}: never {what}")

    def test_a_store_that_loses_is_counted(self) -> None:
        for faults in ({"emptied": 1.0}, {"fail over": 1.0}):
            self.assertGreater(second_runs(faults, range(25)), 0, faults)

    def test_a_clock_set_back_makes_no_mark_young(self) -> None:
        faults = {"set back": 1.0, "size": 1000}
        self.assertEqual(0, second_runs(faults, range(25)))
        unseen = property(lambda self: 0, lambda self, value: None)
        with patch.object(StoreClock, "age_unknown_before_ms", unseen, create=True):
            self.assertGreater(second_runs(faults, range(25)), 0)

    def test_broken_variants_are_caught(self) -> None:
        for name, (faults, change) in BROKEN.items():
            with self.subTest(name), change():
                self.assertTrue(any(walk(seed, **KEEPS[faults]).second_runs() for seed in range(60)))


if __name__ == "__main__":
    unittest.main()
