"""Hinted reads: the tables of tests/conformance/replicas.toml, and random histories on a virtual clock."""

import heapq
import random
import tomllib
import unittest
from itertools import accumulate
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

import msgspec
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from cresstray.control_plane import replica_positions
from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.fleet_config.active_config import EffectiveConfig, Mode
from cresstray.fleet_config.documents import Documents, Pin, Placement, Replicas, Shard
from cresstray.observability.counters import Counters
from cresstray.pipeline.replica_reads import EngineDirectory
from cresstray.placement.data_transfer import TransferClient
from cresstray.placement.move_executor import CopyReport, DiskReport
from cresstray.policy.types import EndpointState, Engine, Request, RequestClass
from cresstray.replicas import fallback, position_polling, read, replica_selection
from cresstray.replicas.hints import HintError, parse_hint
from cresstray.replicas.pins import apply_pins, explain_overload, matching_pins
from cresstray.replicas.position_polling import PollSchedule
from cresstray.replicas.positions import PositionTable, SyncCursor
from cresstray.replicas.read import HintedReads
from cresstray.replicas.sessions import SessionToken, format_token, parse_token, rendezvous_order
from cresstray.replicas.spread import LinkPositionExchange, PositionMessage, PositionPeer

MS = 1000
TABLE = tomllib.loads((Path(__file__).parent / "conformance" / "replicas.toml").read_text())
REQUEST_CLASS = RequestClass(0, 1, 500 * MS, 0, 1, 0, True, False, "all", 0, False, None, None)
CORES, EXPECTED_US = 8, 30 * MS


class FakeActiveConfig:
    """A fleet configuration in force, set by the test."""

    def __init__(self, shard: Shard, gateways: int = 1, pins: dict[str, Pin] | None = None) -> None:
        self.mode, self.turn, self.gateways, self.pins = Mode.LEASE, 2, gateways, pins or {}
        self.set(shard)

    def set(self, shard: Shard) -> None:
        self.turn += 1
        self.documents = Documents(placement=Placement({"7": shard}), replicas=Replicas(self.pins))

    def effective_at(self, now_us: int) -> EffectiveConfig:
        return EffectiveConfig(self.mode, self.turn, self.gateways, self.documents)


def make_reads(
    active_config: FakeActiveConfig, random_fraction=lambda: 0.5, is_full=lambda *_: False, log_lines=None
) -> HintedReads:
    log_lines = [] if log_lines is None else log_lines
    return HintedReads(
        PositionTable(log_lines.append),
        active_config,
        Counters(),
        random_fraction,
        lambda _: CORES,
        lambda name: name[0],
        is_full,
        lambda: 1000,
    )


def make_read(reads: HintedReads, hint: str, now_us: int = 0, expected_us: int = EXPECTED_US):
    hinted_read = reads.parse_hint(
        f"/*+ cresstray {hint} */ select 1 from t_7.x", REQUEST_CLASS, now_us, "t", "n"
    )
    hinted_read.request = Request(REQUEST_CLASS, now_us, now_us + 1_000_000, expected_latency_us=expected_us)
    return hinted_read


class ConformanceTables(unittest.TestCase):
    def test_hints_are_parsed_or_rejected_as_documented(self) -> None:
        for row in TABLE["hint"]:
            with self.subTest(row["place"], text=row["text"]):
                if "error" in row:
                    with self.assertRaisesRegex(HintError, row["error"]):
                        parse_hint(row["text"])
                    continue
                hint = parse_hint(row["text"])
                self.assertEqual(hint is None, row.get("none", False))
                if hint is not None:
                    self.assertEqual(
                        (hint.is_primary, hint.max_staleness_us, hint.session),
                        (row["primary"], row.get("within", 0) * MS, row.get("session")),
                    )
                    self.assertEqual(hint.fallback.value, row.get("otherwise", "primary"))

    def test_staleness_bound_follows_the_reports(self) -> None:
        for row in TABLE["board"]:
            with self.subTest(row["place"], steps=row["steps"]):
                table = PositionTable(clock_drift=0)
                table.set_placement({"7": Shard(("c1", "c2", "p"), "p", 1, ("c1", "c2"))}, 0)
                for sender, epoch, *more in row["steps"]:
                    if sender == "place":
                        primary, *replicas = more
                        table.set_placement(
                            {"7": Shard((*(replicas or ("c1", "c2")), "p"), primary, epoch)}, 0
                        )
                        continue
                    position, sent_ms, now_ms = more
                    table.record_report(
                        "7",
                        sender,
                        epoch,
                        position,
                        position if sender in ("p", "c2") else None,
                        sent_ms * MS,
                        now_ms * MS,
                    )
                bound_us = table.staleness_bound_us("7", "c1", row["now"] * MS)
                expected_us = row["known"] * MS if row["known"] >= 0 else None
                self.assertEqual(bound_us, expected_us)
                self.assertEqual(table.exclusion_count, row.get("lies", 0))

    def test_polls_follow_the_requests(self) -> None:
        placement = {"1": Shard(("a", "b", "p"), "p", 1, ("a", "b")), "2": Shard(("a", "p"), "a", 1, ("p",))}
        for row in TABLE["asking"]:
            schedule = PollSchedule()
            for step, now_ms, *more in row["steps"]:
                with self.subTest(row["place"], what=step, now=now_ms):
                    if step == "want":
                        schedule.request((more[0],), now_ms * MS, more[1] * MS)
                    elif step == "heard":
                        schedule.record_reply(more[0], now_ms * MS)
                    else:
                        self.assertEqual(schedule.due_engines(placement, now_ms * MS), more[0])

    def test_pins_restrict_the_fresh_replicas(self) -> None:
        for row in TABLE["pin"]:
            with self.subTest(row["place"]):
                pin = Pin(
                    row.get("tariff", "t"),
                    "",
                    tuple(row.get("copies", ())),
                    row.get("zone", ""),
                    row.get("strict", True),
                    row.get("until", 9999),
                )
                allowed = apply_pins(
                    matching_pins({"p": pin}, "t", "n", 1000),
                    row["fresh"],
                    ("a1", "b1", "b2"),
                    lambda name: name[0],
                    lambda replica, row=row: replica in row.get("full", ()),
                )
                self.assertEqual(allowed, row["left"])


class Units(unittest.TestCase):
    @given(
        st.tuples(st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1), st.integers(0, 2**53 - 1)),
        st.integers(0, 27),
        st.sampled_from("0123456789abcdefghijklmnopqrstuvwxyz"),
    )
    @settings(derandomize=True, database=None, phases=[Phase.generate], max_examples=300)
    def test_token_is_parsed_back_and_a_changed_or_swapped_character_is_detected(
        self, numbers, place, letter
    ) -> None:
        text = format_token(SessionToken(*numbers))
        self.assertEqual(parse_token(text), numbers)
        place %= len(text)
        swapped = text[:place] + text[place + 1 : place + 2] + text[place] + text[place + 2 :]
        for damaged in {text[:place] + letter + text[place + 1 :], swapped} - {text}:
            with self.assertRaises(ValueError, msg=damaged):
                parse_token(damaged)

    def test_session_keeps_to_a_replica_while_it_exists(self) -> None:
        replicas = [f"s-{n:08x}" for n in range(5)]
        first = {f"u{n}": rendezvous_order(f"u{n}", replicas)[0] for n in range(500)}
        self.assertEqual(
            first, {session: rendezvous_order(session, reversed(replicas))[0] for session in first}
        )
        self.assertTrue(all(60 < list(first.values()).count(replica) < 140 for replica in replicas))
        for session, replica in first.items():  # the removal of another replica moves no session
            self.assertTrue(replica == replicas[0] or rendezvous_order(session, replicas[1:])[0] == replica)

    def test_unusable_hints_are_refused_and_reads_without_a_fresh_replica_wait_or_are_denied(self) -> None:
        active_config = FakeActiveConfig(
            Shard(("a1", "b1", "p"), "p", 1, ("a1", "b1")), pins={"x": Pin("t", "", ("a1",), "", True, 9999)}
        )
        full_engines: set[str] = set()
        reads = make_reads(active_config, is_full=lambda name, *_: name in full_engines)
        write_class = RequestClass(0, 1, 0, 0, 1, 0, False, False, "all", 0, False, None, None)
        for request_class, table, hint, error in (
            (write_class, "t_7.x", "", "writes"),
            (REQUEST_CLASS, "x", "", "no shard"),
            (REQUEST_CLASS, "t_7.x", " after=" + format_token(SessionToken(8, 1, 1)), "shard 8"),
        ):
            with self.assertRaisesRegex(HintError, error):
                reads.parse_hint(
                    f"/*+ cresstray read=replica within=1s{hint} */ select 1 from {table}", request_class, 0
                )
        self.assertIsNone(reads.parse_hint("select 1 from t_7.x", write_class, 0))
        self.assertFalse(make_read(reads, "read=replica within=1s else=deny").admits(0))
        hinted_read = make_read(reads, "read=replica within=1s else=wait")
        self.assertTrue(hinted_read.admits(0))
        self.assertFalse(hinted_read.may_run_on("a1", 0) or hinted_read.may_run_on("p", 0))
        reads.record_report("p", {"shard": 7, "epoch": 1, "head": 5}, 0, 10 * MS)
        reads.record_report("a1", {"shard": 7, "epoch": 1, "applied": 5}, 0, 10 * MS)
        self.assertTrue(hinted_read.may_run_on("a1", 20 * MS) and hinted_read.admits(20 * MS))
        last_us = int((1000 * MS - 0) / 1.01) - EXPECTED_US
        self.assertEqual(
            [hinted_read.may_run_on("a1", last_us + excess_us) for excess_us in (-1, 0, 2)],
            [True, True, False],
        )
        full_engines.add("a1")  # reads of a strict pin are shed first when its replicas are full
        self.assertFalse(make_read(reads, "read=replica within=1s").admits(30 * MS))
        active_config.mode = Mode.FALLBACK
        self.assertFalse(hinted_read.may_run_on("a1", 20 * MS + 1))

    def test_read_waits_for_positions_before_it_falls_back(self) -> None:
        reads = make_reads(FakeActiveConfig(Shard(("a1", "p"), "p", 2, ("a1",))))
        reads.positions_timeout_us = 30 * MS
        hinted_read = make_read(reads, "read=replica within=1s")
        self.assertFalse(hinted_read.may_run_on("p", 0) or hinted_read.may_run_on("p", 30 * MS - 1))
        self.assertTrue(reads.needs_urgent_request)
        self.assertEqual((reads.wanted_shards(0), reads.needs_urgent_request), (("7",), False))
        self.assertTrue(hinted_read.may_run_on("p", 30 * MS))
        hinted_read.on_sent("p", 30 * MS)
        self.assertTrue(
            hinted_read.may_run_on("p", 31 * MS) and reads.counters.counts["reads fallen back"] == 1
        )
        hinted_read.on_finished({"shard": 7, "epoch": 2, "head": 9}, 10_000 * MS, 32 * MS)
        self.assertEqual(parse_token(hinted_read.token()), (7, 2, 9))
        self.assertFalse(
            hinted_read.may_run_on("p", 33 * MS)
        )  # the quota is used up: the read took far longer than was charged
        hinted_read.on_finished({"shard": 8, "epoch": 2, "head": 9}, 0, 32 * MS)
        self.assertIsNone(hinted_read.token())

    def test_shards_that_reads_wait_for_are_requested_first(self) -> None:
        reads = make_reads(FakeActiveConfig(Shard(("a1", "p"), "p", 2, ("a1",))))
        reads.positions_timeout_us = 30 * MS
        for shard, within in ((7, 500), (8, 2000), (9, 1000), (7, 600)):
            hint = f"/*+ cresstray read=replica within={within}ms */"
            reads.parse_hint(f"{hint} select 1 from t_{shard}.x", REQUEST_CLASS, 0)
        reads.request_positions("8", 30 * MS)
        self.assertEqual(reads.wanted_shards(MS), ("8", "7", "9"))
        self.assertTrue(reads.has_unsent_requests() and reads.is_waiting(30 * MS - 1))
        self.assertFalse(reads.is_waiting(30 * MS))
        # The age follows the smallest recent bound; a waiting read is reported once.
        self.assertEqual(reads.max_ages_ms(MS, 2), [(0, 0), (0, 400), (1, 100)])
        self.assertEqual(
            (reads.has_unsent_requests(), reads.max_ages_ms(MS, 2)), (False, [(0, 400), (1, 100)])
        )
        self.assertEqual(reads.max_ages_ms(1_000 * MS, 9), [])

    def test_directory_maps_engines_and_keeps_zones_of_removed_ones(self) -> None:
        directory, engines = EngineDirectory(("north", "south")), {}
        member = Endpoint(42, "h", 1, EndpointState.READY, 1, 0, 0, 0)
        engines[42] = Engine(zone=1)
        directory.apply_event(EndpointEvent(1, False, [member]), engines)
        self.assertEqual(
            (directory.ids[engines[42]], directory.zone_of("s-0000002a")), ("s-0000002a", "south")
        )
        self.assertEqual((directory.zone_of("s-00000001"), directory.cores("s-0000002a")), (None, 0.0))
        directory.apply_event(EndpointEvent(2, True, []), {})
        self.assertEqual((directory.ids, directory.zone_of("s-0000002a")), ({}, "south"))
        for number in range(3000):
            directory.apply_event(
                EndpointEvent(3, True, [Endpoint(number, "h", 1, EndpointState.READY, 0, 0, 0, 0)]),
                {number: Engine()},
            )
        self.assertEqual((len(directory.ids), directory.zone_of("s-0000002a")), (1, None))

    def test_replica_without_the_position_of_the_token_is_not_read(self) -> None:
        active_config = FakeActiveConfig(Shard(("a1", "p"), "p", 2, ("a1",)))
        reads = make_reads(active_config)
        for name, position in (("p", 5), ("a1", 5)):
            report = {"shard": 7, "epoch": 2, "applied": position, "head": 5}
            reads.record_report(name, report, 0, 10)
        for epoch, position, replica, primary in (
            (2, 5, True, False),
            (2, 6, False, True),
            (1, 99, True, False),
            (3, 0, False, False),
        ):
            hinted_read = make_read(
                reads, f"read=replica within=1s after={format_token(SessionToken(7, epoch, position))}"
            )
            with self.subTest(epoch=epoch, position=position):
                self.assertEqual(
                    (hinted_read.may_run_on("a1", 20), hinted_read.may_run_on("p", 20)), (replica, primary)
                )

    def test_exclusion_that_peers_pass_around_counts_once_each(self) -> None:
        shard, tables, log_lines = Shard(("c1", "p"), "p", 1, ("c1",)), [], []
        for _ in range(3):
            tables.append(PositionTable(log_lines.append))
            tables[-1].set_placement({"7": shard}, 0)
            tables[-1].record_report("7", "p", 1, 10, 10, 0, 1)
            tables[-1].record_report("7", "c1", 1, 10, None, 0, 1)
        tables[0].record_report("7", "c1", 1, 4, None, 100, 200)
        for _ in range(3):  # sent around in a ring: each excludes the replica once
            for n in range(3):
                positions = tables[n].next_changes(1000, 9, SyncCursor())
                tables[(n + 1) % 3].merge(positions, 900, 1100)
        self.assertEqual([table.staleness_bound_us("7", "c1", 2000) for table in tables], [None] * 3)
        self.assertEqual((len(log_lines), [table.exclusion_count for table in tables]), (3, [1] * 3))

    def test_malformed_messages_are_rejected(self) -> None:
        decode = msgspec.msgpack.Decoder(PositionMessage).decode
        valid = [1, 0, [["7", 1, 5, 9, [[42, 9, -1], ["x", 3, 7]]]], ["7"], [[0, 0], ["x", 90]]]
        self.assertEqual(
            msgspec.msgpack.encode(decode(msgspec.msgpack.encode(valid))), msgspec.msgpack.encode(valid)
        )
        for malformed in (
            [0, 0, [], []],
            [1, -1, [], []],
            [1, 0, [["7", 1, -2, 9, []]], []],
            [1, 0, [["7", 1, 5, 2**60, []]], []],
            [1, 0, [["7", 1, 5, 9, [[42, 9, 2**60]]]], []],
            [1, 0, [], ["7"] * 99],
            [1, 0, [["7", 1, 5, 9, [[42, 9, 1]] * 99]], []],
            [1, 0, [], ["7"], [[99, 0]]],
            [1, 0, [], ["7"], [[0, -1]]],
        ):
            with self.subTest(malformed), self.assertRaises(msgspec.ValidationError):
                decode(msgspec.msgpack.encode(malformed))

    def test_all_changes_are_sent_once_and_observations_are_limited(self) -> None:
        table = PositionTable()
        shards = {str(n): Shard((f"s-{n}", f"s-{n + 1}", "p"), "p", 1) for n in range(5000)}
        table.set_placement(shards, 0)
        for n in range(5000):
            for replica, head in (("p", 9), (f"s-{n}", None), (f"s-{n + 1}", None)):
                table.record_report(str(n), replica, 1, 5, head, n, n + 1)
        cursor, sent_shards = SyncCursor(), []
        while changes := table.next_changes(10**6, 64, cursor):
            sent_shards += [change.shard for change in changes]
            self.assertLess(len(sent_shards), 10_001)
        self.assertEqual(sent_shards, sorted(shards))
        table.record_report("77", "p", 1, 5, 11, 10**6, 10**6)
        self.assertEqual([change.shard for change in table.next_changes(10**6, 64, cursor)], ["77"])
        for n in range(3000):
            table.record_report("77", "p", 1, 5, 12 + n, 10**6 + n * MS, 10**6 + n * MS)
        self.assertLessEqual(len(table._shards["77"].heads), 24)

    def test_overload_by_a_pin_is_explained(self) -> None:
        pin = Pin("t", "", ("a", "b"), "", True, 1)
        self.assertIsNone(explain_overload(pin, {"a": 1.0, "c": 9.0}, {"a": 4.0, "b": 4.0, "c": 4.0}, 5.0))
        self.assertIn(
            "a, b would have 6.1 busy of 8", explain_overload(pin, {"a": 1.0}, {"a": 4.0, "b": 4.0}, 5.1)
        )


class FallbackReads(unittest.TestCase):
    @given(st.integers(1, 60), st.integers(0, 10**6), st.sampled_from((2, 20, 300)))
    @settings(derandomize=True, database=None, max_examples=15, deadline=None, phases=[Phase.generate])
    def test_gateways_together_keep_to_the_quota_and_use_half_of_it(self, count, seed, widest) -> None:
        rng = random.Random(seed)
        quotas, sent_reads, max_part_us = [fallback.FallbackQuota(rng.random) for _ in range(count)], [], 0
        for now_us in range(0, 8_000_000, 4000):
            thread_time_us = rng.randint(1, widest) * MS
            quota = quotas[rng.randrange(count)]
            if quota.admits("p", thread_time_us, CORES, count, now_us):
                quota.charge("p", thread_time_us, CORES, count, now_us)
                sent_reads.append((now_us, thread_time_us))
                max_part_us = max(max_part_us, thread_time_us * count)
        rate = fallback.FALLBACK_SHARE * CORES
        sums_us = [0, *accumulate(thread_time_us for _, thread_time_us in sent_reads)]
        for first in range(0, len(sent_reads), 7):
            for last in range(first, len(sent_reads)):
                max_us = rate * (sent_reads[last][0] - sent_reads[first][0]) + max(
                    rate * fallback.FALLBACK_WINDOW_US, max_part_us
                )
                self.assertLessEqual(sums_us[last + 1] - sums_us[first], max_us + 1)
        # At least half of the quota is used if as much is requested.
        self.assertGreater(
            sums_us[-1],
            0.5 * min(rate * 8_000_000, 0.5 * sum(range(1, widest + 1)) / widest * MS * 2000)
            if widest * MS * count <= rate * 10**6
            else 0,
        )


class Polling(unittest.TestCase):
    """Engines are polled when positions are requested."""

    def polls(self, placement, hung=(), seconds=4, requests=lambda now_us: ()) -> list[tuple[int, str]]:
        """Returns the times and engines of polls, with requests and replies each 5 ms."""
        schedule, polls, unanswered = PollSchedule(), [], []
        for now_us in range(0, seconds * 1_000_000, 5 * MS):
            for shard, max_age_us in requests(now_us):
                schedule.request((shard,), now_us, max_age_us)
            for name, sent_us in unanswered:
                schedule.record_reply(name, sent_us)
            due = (
                schedule.due_engines(placement, now_us)
                if schedule.next_due_us is not None and now_us >= schedule.next_due_us
                else []
            )
            self.assertEqual(len(set(due)), len(due))
            unanswered = [(name, now_us) for name in due if name not in hung]
            polls += [(now_us, name) for name in due]
        self.assertEqual(schedule.poll_count, len(polls))
        return polls

    def test_polls_stay_within_their_limits_however_much_is_requested(self) -> None:
        placement = {
            str(n): Shard(
                (f"e{n % 20}", f"e{(n + 7) % 20}", f"e{(n + 13) % 20}"),
                f"e{n % 20}",
                1,
                (f"e{(n + 7) % 20}", f"e{(n + 13) % 20}"),
            )
            for n in range(1000)
        }
        flood = self.polls(placement, requests=lambda now_us: [(str(n), n % 3 * 10) for n in range(1200)])
        few = self.polls({"1": placement["1"]}, requests=lambda now_us: [("1", 0), ("x", 0)])
        self.assertLessEqual(len(flood), 4 * position_polling._MAX_POLLS_PER_S + position_polling._MAX_BURST)
        self.assertGreater(len(flood), 0.9 * 4 * position_polling._MAX_POLLS_PER_S)
        for name in placement["1"].copies:
            times = [poll_us for poll_us, engine in few if engine == name]
            self.assertGreaterEqual(
                min(b - a for a, b in zip(times, times[1:])), position_polling._MIN_INTERVAL_US
            )
            # While reads wait for all engines, each has its part of the polls.
            self.assertGreater(sum(engine == name for _, engine in flood), 0.9 * len(flood) / 20)
        self.assertEqual({engine for _, engine in few}, set(placement["1"].copies))
        schedule = PollSchedule()
        schedule.request(map(str, range(99_999)), 0)
        self.assertLessEqual(len(schedule._new_requests), position_polling._MAX_REQUESTED_SHARDS)
        schedule.due_engines(placement, 0)
        schedule.due_engines({}, 20_000_000)
        self.assertEqual((schedule._new_requests, schedule._engines, schedule.next_due_us), ({}, {}, None))

    def test_engine_that_hangs_is_polled_less_and_less_often(self) -> None:
        placement = {"1": Shard(("a", "b", "p"), "p", 1, ("a", "b"))}
        polls = self.polls(placement, hung=("a",), seconds=20, requests=lambda now_us: [("1", 0)])
        times = [poll_us for poll_us, engine in polls if engine == "a"]
        self.assertTrue(all(c - b >= 2 * (b - a) for a, b, c in zip(times, times[1:], times[2:4])), times)
        self.assertLess(len(times), 9)
        self.assertEqual(
            sum(engine == "b" for _, engine in polls), 20_000_000 // position_polling._MIN_INTERVAL_US
        )

    def test_primaries_with_an_outdated_head_are_polled_first(self) -> None:
        placement = {
            str(n): Shard((f"a{n}", f"p{n}"), f"p{n}", 1, (f"a{n}",))
            for n in range(position_polling._MAX_BURST)
        }
        schedule = PollSchedule()
        schedule.request(placement, 0, 0)
        self.assertEqual(
            schedule.due_engines(placement, 0), sorted(f"p{n}" for n in range(position_polling._MAX_BURST))
        )
        for n in range(position_polling._MAX_BURST):
            schedule.record_reply(f"p{n}", 0)
        # Primaries with a recent head are not polled again, the other replicas are.
        self.assertEqual(
            set(schedule.due_engines(placement, 100 * MS)),
            {f"a{n}" for n in range(position_polling._MAX_BURST)},
        )

    def test_requests_are_forwarded_to_the_leader_once_per_interval(self) -> None:
        schedule = PollSchedule()
        schedule.request("abc", 0, 0)
        schedule.request("c", 0, 90 * MS)
        self.assertEqual(schedule.requests_to_forward(3, 0), [("a", 0), ("b", 0)])
        self.assertEqual(schedule.requests_to_forward(9, 0), [("c", 0), ("c", 90 * MS)])
        for now_ms, max_age_ms, forwarded in (
            (5, 0, []),
            (21, 0, [("a", 0)]),
            (22, 90, [("a", 90 * MS)]),
            (23, 95, []),
            (24, 80, [("a", 80 * MS)]),
            (300, 80, [("a", 80 * MS)]),
        ):
            schedule.request("a", now_ms * MS, max_age_ms * MS)
            self.assertEqual((now_ms, schedule.requests_to_forward(9, now_ms * MS)), (now_ms, forwarded))

    def test_waiting_read_is_served_by_a_replica_after_a_poll(self) -> None:
        for names in (("k1/1", "k2/1"), ("k2/1", "k1/1")):
            with self.subTest(leader=names[0]):
                fleet = TwoNodes(*names)
                reads = [fleet.read(number, 1_000 * MS) for number in range(2)]
                fleet.run(1_030 * MS)
                self.assertEqual(
                    [hinted_read.may_run_on("a1", fleet.now_us) for hinted_read in reads], [True, True]
                )
                # Round trips on two links of 1 ms for the second read, the engine's 2 ms, and the interval
                # that combines two replies into one message.
                self.assertLessEqual(max(fleet.wait_us[hinted_read] for hinted_read in reads), 10 * MS)
                polled = [name for sent_us, name in fleet.polls if sent_us >= 1_000 * MS]
                self.assertEqual(sorted(polled), ["a1", "b1", "p"])  # once for both reads

    def test_waiting_read_is_not_served_without_requests_urgent_messages_or_forwarding(self) -> None:
        for patch in (
            mock.patch.object(HintedReads, "max_ages_ms", lambda *_: ()),
            mock.patch.object(replica_positions.PositionRelay, "urgent_messages", lambda *_: []),
            mock.patch.object(PollSchedule, "requests_to_forward", lambda *_: []),
        ):
            with patch:
                fleet = TwoNodes("k1/1", "k2/1")
                hinted_read = fleet.read(1, 1_000 * MS)
                fleet.run(1_030 * MS)
                self.assertFalse(
                    hinted_read.may_run_on("a1", fleet.now_us) or hinted_read.may_run_on("b1", fleet.now_us)
                )

    def test_engines_are_polled_only_while_this_node_leads(self) -> None:
        is_leader, polled = [True], []
        transfer_client = TransferClient(
            dict, lambda entry: None, lambda: is_leader[0], lambda: 0, Counters()
        )
        transfer_client._connections["a"] = SimpleNamespace(poll=lambda: polled.append("a"))
        transfer_client.poll(["a", "gone"])
        is_leader[0] = False
        transfer_client.poll(["a"])
        self.assertEqual(polled, ["a"])

    def test_replica_that_hangs_does_not_delay_the_other(self) -> None:
        fleet = TwoNodes("k1/1", "k2/1", hung=("a1",))
        hinted_read = fleet.read(1, 1_000 * MS)
        fleet.run(1_030 * MS)
        self.assertEqual(
            (hinted_read.may_run_on("a1", fleet.now_us), hinted_read.may_run_on("b1", fleet.now_us)),
            (False, True),
        )

    def test_replica_with_an_impossible_position_is_excluded(self) -> None:
        fleet = TwoNodes("k1/1", "k2/1", position_offsets={"a1": 5000})
        fleet.read(1, 1_000 * MS)
        fleet.read(1, 1_200 * MS)
        fleet.run(1_300 * MS)
        hinted_read = fleet.read(1, fleet.now_us + 1)
        fleet.run(fleet.now_us + 30 * MS)
        self.assertEqual(
            (hinted_read.may_run_on("a1", fleet.now_us), hinted_read.may_run_on("b1", fleet.now_us)),
            (False, True),
        )
        self.assertIn("it is left out", " ".join(fleet.log_lines))


class TwoNodes:
    """Two control-plane nodes with a gateway each; engines reply in 2 ms, links take 1 ms; the head grows."""

    SHARD = Shard(("a1", "b1", "p"), "p", 1, ("a1", "b1"))

    def __init__(self, leader: str, follower: str, hung=(), position_offsets=None) -> None:
        self.now_us, self.queue, self.hung, self.position_offsets = 0, [], hung, position_offsets or {}
        self.polls: list[tuple[int, str]] = []
        self.read_times_us: dict[object, int] = {}
        self.log_lines: list[str] = []
        self.wait_us: dict[object, int] = {}  # by read: how long until a replica was known to be fresh enough
        placement = {"7": self.SHARD}
        self.nodes, self.controllers = [], []
        for name in (leader, follower):
            distributor = replica_positions.PositionDistributor(
                0.01, lambda kind, text: self.log_lines.append(text), Counters()
            )
            controller = SimpleNamespace(
                node=SimpleNamespace(leader=leader, name=name),
                incoming_links={},
                node_exchanges={},
                turn_hooks=[],
                round_hooks=[],
                is_ready_leader=lambda now_us, is_leader=name == leader: is_leader,
                state=SimpleNamespace(effective=SimpleNamespace(placement=SimpleNamespace(items=placement))),
            )
            distributor.attach(controller, self.poll)
            controller.turn_hooks[0](0)
            self.nodes.append(distributor)
            self.controllers.append(controller)
        first, second = sorted((0, 1), key=lambda number: (leader, follower)[number])
        exchanges = self.nodes[first].new_exchange(), self.nodes[second].new_exchange()
        links = (
            self.link_to(exchanges[0], self.controllers[first]),
            self.link_to(exchanges[1], self.controllers[second]),
        )
        self.controllers[first].node_exchanges[self.controllers[second].node.name] = links[1], exchanges[0]
        self.controllers[second].incoming_links[f"keeper:{self.controllers[first].node.name}"] = (
            SimpleNamespace(exchange=exchanges[1], link=links[0])
        )
        self.exchanges, self.reads = [], []
        for number, (node, controller) in enumerate(zip(self.nodes, self.controllers)):
            reads = make_reads(FakeActiveConfig(self.SHARD, 2))
            reads.positions_timeout_us = 30 * MS
            reads.update_placement(0)
            here, there = (
                LinkPositionExchange(
                    reads.table,
                    4,
                    lambda now_us, reads=reads: reads.wanted_shards(now_us)[:4],
                    lambda now_us, reads=reads: reads.max_ages_ms(now_us, 4),
                ),
                node.new_exchange(),
            )
            controller.incoming_links[f"gateway:g{number}"] = SimpleNamespace(
                exchange=there, link=self.link_to(here, None)
            )
            self.exchanges.append((here, there))
            self.reads.append(reads)
        for start_us in range(0, 2_000 * MS, 250 * MS):
            self.after(start_us, self.exchange_messages)

    def after(self, delay_us: int, action, *arguments) -> None:
        heapq.heappush(
            self.queue, (self.now_us + delay_us, len(self.queue), random.random(), action, arguments)
        )

    def run(self, until_us: int) -> None:
        while self.queue and self.queue[0][0] <= until_us:
            self.now_us, _, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        self.now_us = until_us

    def link_to(self, exchange: LinkPositionExchange, controller) -> SimpleNamespace:
        """Returns a link whose frames go to this exchange."""
        return SimpleNamespace(
            unsent_bytes=0, put=lambda frame: self.after(MS, self.receive, exchange, controller, frame.body)
        )

    def receive(self, exchange: LinkPositionExchange, controller, body: bytes) -> None:
        exchange.on_message(body, self.now_us)
        if controller is not None:
            self.run_round(controller)
        for hinted_read, start_us in self.read_times_us.items():
            if hinted_read.may_run_on("a1", self.now_us):
                self.wait_us.setdefault(hinted_read, self.now_us - start_us)

    def run_round(self, controller) -> None:
        due_us = controller.round_hooks[0](self.now_us)
        if due_us is not None:
            self.after(max(0, due_us - self.now_us), lambda: controller.round_hooks[0](self.now_us))

    def exchange_messages(self) -> None:
        for (here, there), controller in zip(self.exchanges, self.controllers):
            self.after(MS, self.receive, there, controller, here.next_message(self.now_us))
            self.after(
                MS,
                lambda here=here, there=there: self.after(
                    MS, self.receive, here, None, there.next_message(self.now_us)
                ),
            )

    def read(self, number: int, start_us: int):
        """Starts a read, for which the gateway requests positions from its control-plane node."""
        self.run(start_us)
        hinted_read = make_read(self.reads[number], "read=replica within=500ms", self.now_us)
        hinted_read.may_run_on("a1", self.now_us)
        self.read_times_us[hinted_read] = self.now_us
        here, there = self.exchanges[number]
        if self.reads[number].needs_urgent_request:
            self.after(MS, self.receive, there, self.controllers[number], here.next_message(self.now_us))
        return hinted_read

    def poll(self, engines: list[str]) -> None:
        for name in engines:
            self.polls.append((self.now_us, name))
            if name not in self.hung:
                head = self.now_us // (100 * MS)
                replica = CopyReport(
                    1,
                    primary=name == "p",
                    epoch=1,
                    applied=head + self.position_offsets.get(name, 0),
                    head=head,
                )
                disk = DiskReport(name, name[0], 1, 1, 0, 1, self.now_us, {"7": replica})
                self.after(2 * MS, self.receive_reply, disk)

    def receive_reply(self, disk: DiskReport) -> None:
        if self.nodes[0].on_disk_report(disk, self.now_us):
            self.run_round(self.controllers[0])


class ShardSimulation:
    """The true positions of a shard on a virtual clock, gateways that receive reports, and sessions."""

    GATEWAYS, SECONDS = 4, 12

    def __init__(self, seed: int, lag_us: int, loss: float, exchanges_positions: bool) -> None:
        self.random = random.Random(seed)
        self.now_us, self.queue, self.lag_us, self.loss = 0, [], lag_us, loss
        self.shard = Shard(("a1", "b1", "p1"), "p1", 1, ("a1", "b1"))
        self.log = [(1, 0)]  # epoch and position of each write; the state of a replica is an index in it
        self.write_times_us = [0]
        self.states = dict.fromkeys(self.shard.copies, 0)
        self.active_configs = [FakeActiveConfig(self.shard, self.GATEWAYS) for _ in range(self.GATEWAYS)]
        self.reads = [make_reads(active_config, self.random.random) for active_config in self.active_configs]
        self.node_table = PositionTable(forwards_peer_positions=True)
        self.node_table.set_placement(self.active_configs[0].documents.placement.items, 0)
        self.links = [(PositionPeer(reads.table), PositionPeer(self.node_table)) for reads in self.reads]
        self.sessions = [[None, (0, 0)] for _ in range(6)]  # token, and the latest write seen
        self.is_stalled = self.is_frozen = False
        self.response_count, self.possible, self.served_by_replicas = (
            0,
            [0, 0],
            [0, 0],
        )  # without and with a session
        actions = [(self._write, 15), (self._apply, 4), (self._read, 9), (self._run_unhinted, 8)]
        actions += [(self._exchange_positions, 20)] if exchanges_positions else []
        for action, mean_ms in actions:
            self._repeat(action, mean_ms)
        for start_s, action in ((3, self._stall), (5, self._stall), (6, self._move), (8, self._switch)):
            self.after(start_s * 1_000_000 + self.random.randrange(500 * MS), action)

    def after(self, delay_us: int, action, *arguments) -> None:
        heapq.heappush(
            self.queue,
            (self.now_us + int(delay_us), len(self.queue), self.random.random(), action, arguments),
        )

    def _repeat(self, action, mean_ms: int) -> None:
        def run() -> None:
            action()
            self.after(self.random.expovariate(1 / (mean_ms * MS)) + 1, run)

        run()

    def run(self) -> None:
        while self.queue and self.now_us < self.SECONDS * 1_000_000:
            self.now_us, _, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)

    def _delay_us(self) -> float:
        return self.random.uniform(1, 6) * MS * (20 if self.random.random() < 0.03 else 1)

    def _write(self) -> None:
        if not self.is_frozen:
            epoch, position = self.log[-1]
            self.log.append((epoch, position + 1))
            self.write_times_us.append(self.now_us)
            self.states[self.shard.primary] = len(self.log) - 1

    def _apply(self) -> None:
        replica = self.random.choice(sorted(self.states))
        if (
            replica != self.shard.primary
            and not self.is_stalled
            and self.random.random() < 4 * MS / self.lag_us
        ):
            self.states[replica] = self.random.randint(self.states[replica], len(self.log) - 1)

    def _stall(self) -> None:
        self.is_stalled = not self.is_stalled

    def staleness_us(self, state: int, now_us: int) -> int:
        return max(0, now_us - self.write_times_us[state + 1]) if state + 1 < len(self.log) else 0

    def _report(self, name: str) -> dict[str, float]:
        epoch, position = self.log[self.states[name]]
        report = {"shard": 7, "epoch": epoch, "applied": position}
        # A deposed primary continues to report its head.
        return report | {"head": position} if name.startswith("p") or name == self.shard.primary else report

    def _run_unhinted(self) -> None:
        """Sends a request without a hint, whose response reports positions."""
        reads, name = self.random.choice(self.reads), self.random.choice(sorted(self.states))
        self._send(reads, name, lambda *_: None)

    def _send(self, reads: HintedReads, name: str, on_response) -> None:
        sent_us = self.now_us

        def run() -> None:
            state = self.states[name]
            self.after(self.random.uniform(0, 8) * MS, respond, state)

        def respond(state: int) -> None:
            report, end_state = self._report(name), state
            if self.random.random() >= self.loss:
                self.after(self._delay_us(), receive, report, end_state)

        def receive(report: dict[str, float], state: int) -> None:
            reads.record_report(name, report, sent_us, self.now_us)
            on_response(state, report, sent_us)

        self.after(self._delay_us(), run)

    def _read(self) -> None:
        reads, session = self.random.choice(self.reads), self.random.choice(self.sessions)
        has_no_session = self.random.random() < 0.5
        session = [None, (0, 0)] if has_no_session else session
        after = f" after={session[0]}" if session[0] else ""
        max_staleness_ms = self.random.choice((120, 500, 2000))
        hinted_read, now_us = (
            make_read(reads, f"read=replica within={max_staleness_ms}ms{after}", self.now_us),
            self.now_us,
        )
        seen, shard = session[1], reads.active_config.documents.placement.items["7"]
        is_possible = any(
            self.staleness_us(self.states[replica], now_us + EXPECTED_US) <= max_staleness_ms * MS
            and self.log[self.states[replica]] >= seen
            and self.log[self.states[replica]][0] == shard.epoch
            for replica in shard.reads
            if replica != shard.primary
        )
        self.possible[not has_no_session] += is_possible
        names = [name for name in sorted(self.states) if hinted_read.may_run_on(name, now_us)]
        if not names:
            return
        name = self.random.choice(names)
        hinted_read.on_sent(name, now_us)
        self.served_by_replicas[not has_no_session] += is_possible and name != shard.primary

        def on_response(state: int, report: dict[str, float], sent_us: int) -> None:
            self.response_count += 1
            hinted_read.on_finished(report, self.now_us - sent_us, self.now_us)
            if name != shard.primary:
                age_us = self.staleness_us(state, min(self.now_us, now_us + EXPECTED_US))
                assert age_us <= max_staleness_ms * MS, f"{age_us} us old, within {max_staleness_ms} ms"
            assert self.log[state] >= seen, f"went back from {seen} to {self.log[state]}"
            if self.log[state] >= session[1]:
                session[:] = [hinted_read.token(), max(session[1], self.log[state])]

        self._send(reads, name, on_response)

    def _exchange_positions(self) -> None:
        number = self.random.randrange(self.GATEWAYS)
        here, there = self.links[number]
        self.reads[number].update_placement(self.now_us)
        if self.random.random() < 0.02:  # a new link
            self.links[number] = here, there = (
                PositionPeer(self.reads[number].table),
                PositionPeer(self.node_table),
            )

        def send(sender: PositionPeer, receiver: PositionPeer, replies_left: int) -> None:
            message = sender.make_message(8, ("7",) if sender is here else None, self.now_us)
            if self.random.random() >= self.loss:
                self.after(self._delay_us(), receive, sender, receiver, message, replies_left)

        def receive(sender: PositionPeer, receiver: PositionPeer, message, replies_left: int) -> None:
            receiver.handle_message(message, self.now_us)
            if replies_left:
                send(receiver, sender, replies_left - 1)

        send(here, there, 2)

    # Each gateway gets the joint placement at its own time; the new one is committed once all have it.

    def _change_placement(self, joint: Shard, new: Shard, on_commit) -> None:
        for active_config in self.active_configs:
            self.after(self.random.uniform(0, 50) * MS, active_config.set, joint)
        self.after(25 * MS, self._set_node_placement, joint)

        def commit() -> None:
            on_commit()
            self.shard = new
            for active_config in self.active_configs:
                self.after(self.random.uniform(0, 50) * MS, active_config.set, new)
            self.after(25 * MS, self._set_node_placement, new)

        self.after(60 * MS, commit)

    def _set_node_placement(self, shard: Shard) -> None:
        self.node_table.set_placement({"7": shard}, self.now_us)

    def _move(self) -> None:
        self.states["a2"] = self.states["a1"]
        self._change_placement(
            Shard(("b1", "p1"), "p1", 1, ("b1",)),
            Shard(("a2", "b1", "p1"), "p1", 1, ("a2", "b1")),
            lambda: None,
        )

    def _switch(self) -> None:
        def start_epoch() -> None:
            self.states["b1"] = len(self.log)  # it has all of the old epoch, and starts the new one
            self.log.append((2, 0))
            self.write_times_us.append(self.now_us)
            self.is_frozen = False

        self.is_frozen = True
        self._change_placement(
            Shard(("a2", "b1", "p1"), "", 2, ("a2",)),
            Shard(("a2", "b1", "p1"), "b1", 2, ("a2", "p1")),
            start_epoch,
        )


class RandomHistories(unittest.TestCase):
    @given(st.integers(0, 10**6), st.sampled_from((10, 40, 150)), st.sampled_from((0.0, 0.1, 0.4)))
    @settings(derandomize=True, database=None, max_examples=20, deadline=None, phases=[Phase.generate])
    def test_reads_keep_their_staleness_bound_and_sessions_never_go_back(self, seed, lag_ms, loss) -> None:
        simulation = ShardSimulation(seed, lag_ms * MS, loss, exchanges_positions=True)
        simulation.run()
        self.assertGreater(simulation.response_count, 200)
        self.assertGreater(min(simulation.possible), 40)
        # Another gateway learns only later that replicas have what a session saw through the first one.
        self.assertGreater(simulation.served_by_replicas[0] / simulation.possible[0], 0.55)
        self.assertGreater(simulation.served_by_replicas[1] / simulation.possible[1], 0.3)
        self.assertEqual(
            [reads.table.exclusion_count for reads in simulation.reads], [0] * simulation.GATEWAYS
        )

    def test_histories_detect_each_broken_rule(self) -> None:
        record_report = PositionTable.record_report
        broken = {
            "staleness is counted from the response": (
                "old, within",
                mock.patch.object(
                    PositionTable,
                    "record_report",
                    lambda table, *report: record_report(table, *report[:-2], report[-1], report[-1]),
                ),
            ),
            "ages are counted from the arrival of a message": (
                "old, within",
                mock.patch.object(
                    PositionPeer,
                    "handle_message",
                    lambda peer, message, now_us: setattr(peer, "_last_received", message.number)
                    or setattr(peer, "_wanted_shards", message.wanted_shards)
                    or peer._table.merge(message.positions, now_us, now_us),
                ),
            ),
            "tokens are of an earlier position than was seen": (
                "went back",
                mock.patch.object(
                    read,
                    "SessionToken",
                    lambda shard, epoch, position: SessionToken(shard, epoch, max(0, position - 3)),
                ),
            ),
            "tokens are ignored": (
                "went back",
                mock.patch.object(replica_selection, "covers_token", lambda after, applied: True),
            ),
        }
        for name, (expected_error, patch) in broken.items():
            with self.subTest(name), patch, self.assertRaisesRegex(AssertionError, expected_error):
                for seed in range(12):
                    ShardSimulation(seed, 40 * MS, 0.1, exchanges_positions=True).run()


if __name__ == "__main__":
    unittest.main()
