"""Hinted reads: the tables of tests/conformance/replicas.toml, and histories on a virtual clock."""

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

from cresstray.control_plane import replica_positions as joined
from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.fleet_config.active_config import EffectiveConfig, Mode
from cresstray.fleet_config.documents import Documents, Pin, Placement, Replicas, Shard
from cresstray.observability.counters import Counters
from cresstray.pipeline.replica_reads import EngineDirectory
from cresstray.placement.data_transfer import TransferClient
from cresstray.placement.move_executor import CopyReport, DiskReport
from cresstray.policy.types import EndpointState, Engine, Request, RequestClass
from cresstray.replicas import fallback, read
from cresstray.replicas import position_polling as asking
from cresstray.replicas import replica_selection as choose
from cresstray.replicas.hints import HintError, read_hint
from cresstray.replicas.pins import matching, narrowed, overload
from cresstray.replicas.position_polling import Asking
from cresstray.replicas.positions import Board, Cursor
from cresstray.replicas.read import Reads
from cresstray.replicas.sessions import Token, parsed, rendezvous, token
from cresstray.replicas.spread import Peer, Talk, Word

MS = 1000
TABLE = tomllib.loads((Path(__file__).parent / "conformance" / "replicas.toml").read_text())
TARIFF = RequestClass(0, 1, 500 * MS, 0, 1, 0, True, False, "all", 0, False, None, None)
CORES, EXPECTED = 8, 30 * MS


class Use:
    """What a gateway may use, as the test says."""

    def __init__(self, shard: Shard, gateways: int = 1, pins: dict[str, Pin] | None = None) -> None:
        self.mode, self.turn, self.gateways, self.pins = Mode.LEASE, 2, gateways, pins or {}
        self.set(shard)

    def set(self, shard: Shard) -> None:
        self.turn += 1
        self.documents = Documents(placement=Placement({"7": shard}), replicas=Replicas(self.pins))

    def effective_at(self, now: int) -> EffectiveConfig:
        return EffectiveConfig(self.mode, self.turn, self.gateways, self.documents)


def gateway(use: Use, chance=lambda: 0.5, full=lambda *_: False, said=None) -> Reads:
    said = [] if said is None else said
    return Reads(
        Board(said.append), use, Counters(), chance, lambda _: CORES, lambda name: name[0], full, lambda: 1000
    )


def ask(reads: Reads, hint: str, now: int = 0, expected: int = EXPECTED):
    one = reads.hint(f"/*+ cresstray {hint} */ select 1 from t_7.x", TARIFF, now, "t", "n")
    one.submission = Request(TARIFF, now, now + 1_000_000, expected_latency_us=expected)
    return one


class Tables(unittest.TestCase):
    def test_hints(self) -> None:
        for row in TABLE["hint"]:
            with self.subTest(row["place"], text=row["text"]):
                if "error" in row:
                    with self.assertRaisesRegex(HintError, row["error"]):
                        read_hint(row["text"])
                    continue
                hint = read_hint(row["text"])
                self.assertEqual(hint is None, row.get("none", False))
                if hint is not None:
                    self.assertEqual(
                        (hint.primary, hint.within, hint.session),
                        (row["primary"], row.get("within", 0) * MS, row.get("session")),
                    )
                    self.assertEqual(hint.otherwise.value, row.get("otherwise", "primary"))

    def test_board(self) -> None:
        for row in TABLE["board"]:
            with self.subTest(row["place"], steps=row["steps"]):
                board = Board(drift=0)
                board.place({"7": Shard(("c1", "c2", "p"), "p", 1, ("c1", "c2"))}, 0)
                for who, epoch, *more in row["steps"]:
                    if who == "place":
                        primary, *copies = more
                        board.place({"7": Shard((*(copies or ("c1", "c2")), "p"), primary, epoch)}, 0)
                        continue
                    position, at, now = more
                    board.heard(
                        "7", who, epoch, position, position if who in ("p", "c2") else None, at * MS, now * MS
                    )
                bound = board.bound("7", "c1", row["now"] * MS)
                known = row["known"] * MS if row["known"] >= 0 else None
                self.assertEqual(bound, known)
                self.assertEqual(board.lies, row.get("lies", 0))

    def test_asking(self) -> None:
        placed = {"1": Shard(("a", "b", "p"), "p", 1, ("a", "b")), "2": Shard(("a", "p"), "a", 1, ("p",))}
        for row in TABLE["asking"]:
            asks = Asking()
            for what, now, *more in row["steps"]:
                with self.subTest(row["place"], what=what, now=now):
                    if what == "want":
                        asks.wanted((more[0],), now * MS, more[1] * MS)
                    elif what == "heard":
                        asks.heard(more[0], now * MS)
                    else:
                        self.assertEqual(asks.due(placed, now * MS), more[0])

    def test_pins(self) -> None:
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
                left = narrowed(
                    matching({"p": pin}, "t", "n", 1000),
                    row["fresh"],
                    ("a1", "b1", "b2"),
                    lambda name: name[0],
                    lambda copy, row=row: copy in row.get("full", ()),
                )
                self.assertEqual(left, row["left"])


class Parts(unittest.TestCase):
    @given(
        st.tuples(st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1), st.integers(0, 2**53 - 1)),
        st.integers(0, 27),
        st.sampled_from("0123456789abcdefghijklmnopqrstuvwxyz"),
    )
    @settings(derandomize=True, database=None, phases=[Phase.generate], max_examples=300)
    def test_tokens(self, numbers, place, letter) -> None:
        text = token(Token(*numbers))
        self.assertEqual(parsed(text), numbers)
        place %= len(text)
        swapped = text[:place] + text[place + 1 : place + 2] + text[place] + text[place + 2 :]
        for wrong in {text[:place] + letter + text[place + 1 :], swapped} - {text}:
            with self.assertRaises(ValueError, msg=wrong):
                parsed(wrong)

    def test_sessions_keep_to_a_copy(self) -> None:
        copies = [f"s-{n:08x}" for n in range(5)]
        first = {f"u{n}": rendezvous(f"u{n}", copies)[0] for n in range(500)}
        self.assertEqual(first, {one: rendezvous(one, reversed(copies))[0] for one in first})
        self.assertTrue(all(60 < list(first.values()).count(copy) < 140 for copy in copies))
        for one, copy in first.items():  # without another copy nothing moves
            self.assertTrue(copy == copies[0] or rendezvous(one, copies[1:])[0] == copy)

    def test_refused_and_denied(self) -> None:
        use = Use(
            Shard(("a1", "b1", "p"), "p", 1, ("a1", "b1")), pins={"x": Pin("t", "", ("a1",), "", True, 9999)}
        )
        limits: set[str] = set()
        reads = gateway(use, full=lambda name, *_: name in limits)
        writing = RequestClass(0, 1, 0, 0, 1, 0, False, False, "all", 0, False, None, None)
        for request_class, table, hint, wrong in (
            (writing, "t_7.x", "", "writes"),
            (TARIFF, "x", "", "no shard"),
            (TARIFF, "t_7.x", " after=" + token(Token(8, 1, 1)), "shard 8"),
        ):
            with self.assertRaisesRegex(HintError, wrong):
                reads.hint(
                    f"/*+ cresstray read=replica within=1s{hint} */ select 1 from {table}", request_class, 0
                )
        self.assertIsNone(reads.hint("select 1 from t_7.x", writing, 0))
        self.assertFalse(ask(reads, "read=replica within=1s else=deny").admits(0))
        one = ask(reads, "read=replica within=1s else=wait")
        self.assertTrue(one.admits(0))
        self.assertFalse(one.takes("a1", 0) or one.takes("p", 0))
        reads.heard("p", {"shard": 7, "epoch": 1, "head": 5}, 0, 10 * MS)
        reads.heard("a1", {"shard": 7, "epoch": 1, "applied": 5}, 0, 10 * MS)
        self.assertTrue(one.takes("a1", 20 * MS) and one.admits(20 * MS))
        edge = int((1000 * MS - 0) / 1.01) - EXPECTED
        self.assertEqual([one.takes("a1", edge + more) for more in (-1, 0, 2)], [True, True, False])
        limits.add("a1")  # a strict pin at its copies' limits goes first
        self.assertFalse(ask(reads, "read=replica within=1s").admits(30 * MS))
        use.mode = Mode.FALLBACK
        self.assertFalse(one.takes("a1", 20 * MS + 1))

    def test_waits_for_keepers_before_it_falls_back(self) -> None:
        reads = gateway(Use(Shard(("a1", "p"), "p", 2, ("a1",))))
        reads.patience = 30 * MS
        one = ask(reads, "read=replica within=1s")
        self.assertFalse(one.takes("p", 0) or one.takes("p", 30 * MS - 1))
        self.assertTrue(reads.urgent)
        self.assertEqual((reads.wanted(0), reads.urgent), (("7",), False))
        self.assertTrue(one.takes("p", 30 * MS))
        one.sent("p", 30 * MS)
        self.assertTrue(one.takes("p", 31 * MS) and reads.counters.counts["reads fallen back"] == 1)
        one.came_back({"shard": 7, "epoch": 2, "head": 9}, 10_000 * MS, 32 * MS)
        self.assertEqual(parsed(one.at()), (7, 2, 9))
        self.assertFalse(one.takes("p", 33 * MS))  # it took far longer than was charged
        one.came_back({"shard": 8, "epoch": 2, "head": 9}, 0, 32 * MS)
        self.assertIsNone(one.at())

    def test_what_reads_wait_for_is_named_first(self) -> None:
        reads = gateway(Use(Shard(("a1", "p"), "p", 2, ("a1",))))
        reads.patience = 30 * MS
        for shard, within in ((7, 500), (8, 2000), (9, 1000), (7, 600)):
            hint = f"/*+ cresstray read=replica within={within}ms */"
            reads.hint(f"{hint} select 1 from t_{shard}.x", TARIFF, 0)
        reads.lacks("8", 30 * MS)
        self.assertEqual(reads.wanted(MS), ("8", "7", "9"))
        self.assertTrue(reads.untold() and reads.waits(30 * MS - 1))
        self.assertFalse(reads.waits(30 * MS))
        # By the tightest of late; told to wait once.
        self.assertEqual(reads.needs(MS, 2), [(0, 0), (0, 400), (1, 100)])
        self.assertEqual((reads.untold(), reads.needs(MS, 2)), (False, [(0, 400), (1, 100)]))
        self.assertEqual(reads.needs(1_000 * MS, 9), [])

    def test_directory(self) -> None:
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

    def test_no_copy_for_a_token_beyond(self) -> None:
        use = Use(Shard(("a1", "p"), "p", 2, ("a1",)))
        reads = gateway(use)
        for name, position in (("p", 5), ("a1", 5)):
            told = {"shard": 7, "epoch": 2, "applied": position, "head": 5}
            reads.heard(name, told, 0, 10)
        for epoch, position, copy, primary in (
            (2, 5, True, False),
            (2, 6, False, True),
            (1, 99, True, False),
            (3, 0, False, False),
        ):
            one = ask(reads, f"read=replica within=1s after={token(Token(7, epoch, position))}")
            with self.subTest(epoch=epoch, position=position):
                self.assertEqual((one.takes("a1", 20), one.takes("p", 20)), (copy, primary))

    def test_a_peer_that_left_a_copy_out(self) -> None:
        shard, boards, said = Shard(("c1", "p"), "p", 1, ("c1",)), [], []
        for _ in range(3):
            boards.append(Board(said.append))
            boards[-1].place({"7": shard}, 0)
            boards[-1].heard("7", "p", 1, 10, 10, 0, 1)
            boards[-1].heard("7", "c1", 1, 10, None, 0, 1)
        boards[0].heard("7", "c1", 1, 4, None, 100, 200)
        for _ in range(3):  # told around in a ring: each leaves it out once
            for n in range(3):
                items = boards[n].told(1000, 9, Cursor())
                boards[(n + 1) % 3].take(items, 900, 1100)
        self.assertEqual([board.bound("7", "c1", 2000) for board in boards], [None] * 3)
        self.assertEqual((len(said), [board.lies for board in boards]), (3, [1] * 3))

    def test_words_are_checked(self) -> None:
        decode = msgspec.msgpack.Decoder(Word).decode
        good = [1, 0, [["7", 1, 5, 9, [[42, 9, -1], ["x", 3, 7]]]], ["7"], [[0, 0], ["x", 90]]]
        self.assertEqual(
            msgspec.msgpack.encode(decode(msgspec.msgpack.encode(good))), msgspec.msgpack.encode(good)
        )
        for wrong in (
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
            with self.subTest(wrong), self.assertRaises(msgspec.ValidationError):
                decode(msgspec.msgpack.encode(wrong))

    def test_bounded(self) -> None:
        board = Board()
        shards = {str(n): Shard((f"s-{n}", f"s-{n + 1}", "p"), "p", 1) for n in range(5000)}
        board.place(shards, 0)
        for n in range(5000):
            for copy, head in (("p", 9), (f"s-{n}", None), (f"s-{n + 1}", None)):
                board.heard(str(n), copy, 1, 5, head, n, n + 1)
        cursor, told = Cursor(), []
        while items := board.told(10**6, 64, cursor):
            told += [item.shard for item in items]
            self.assertLess(len(told), 10_001)
        self.assertEqual(told, sorted(shards))
        board.heard("77", "p", 1, 5, 11, 10**6, 10**6)
        self.assertEqual([item.shard for item in board.told(10**6, 64, cursor)], ["77"])
        for n in range(3000):
            board.heard("77", "p", 1, 5, 12 + n, 10**6 + n * MS, 10**6 + n * MS)
        self.assertLessEqual(len(board._shards["77"].heads), 24)

    def test_overload(self) -> None:
        pin = Pin("t", "", ("a", "b"), "", True, 1)
        self.assertIsNone(overload(pin, {"a": 1.0, "c": 9.0}, {"a": 4.0, "b": 4.0, "c": 4.0}, 5.0))
        self.assertIn("a, b would have 6.1 busy of 8", overload(pin, {"a": 1.0}, {"a": 4.0, "b": 4.0}, 5.1))


class Fallback(unittest.TestCase):
    @given(st.integers(1, 60), st.integers(0, 10**6), st.sampled_from((2, 20, 300)))
    @settings(derandomize=True, database=None, max_examples=15, deadline=None, phases=[Phase.generate])
    def test_share_of_all_gateways(self, count, seed, widest) -> None:
        chance = random.Random(seed)
        shares, spent, widest_part = [fallback.Share(chance.random) for _ in range(count)], [], 0
        for now in range(0, 8_000_000, 4000):
            cost = chance.randint(1, widest) * MS
            share = shares[chance.randrange(count)]
            if share.admits("p", cost, CORES, count, now):
                share.charge("p", cost, CORES, count, now)
                spent.append((now, cost))
                widest_part = max(widest_part, cost * count)
        rate = fallback.SHARE * CORES
        sums = [0, *accumulate(cost for _, cost in spent)]
        for first in range(0, len(spent), 7):
            for last in range(first, len(spent)):
                most = rate * (spent[last][0] - spent[first][0]) + max(rate * fallback.WINDOW, widest_part)
                self.assertLessEqual(sums[last + 1] - sums[first], most + 1)
        # In use: half of the share at the least, where that is asked for.
        self.assertGreater(
            sums[-1],
            0.5 * min(rate * 8_000_000, 0.5 * sum(range(1, widest + 1)) / widest * MS * 2000)
            if widest * MS * count <= rate * 10**6
            else 0,
        )


class OnDemand(unittest.TestCase):
    """Engines are asked when positions are wanted."""

    def play(self, placed, hung=(), seconds=4, wants=lambda now: ()) -> list[tuple[int, str]]:
        """Wants each 5 ms, answers after 3 ms; when each engine was asked."""
        asks, found, out = Asking(), [], []
        for now in range(0, seconds * 1_000_000, 5 * MS):
            for shard, young in wants(now):
                asks.wanted((shard,), now, young)
            for name, at in out:
                asks.heard(name, at)
            due = asks.due(placed, now) if asks.next is not None and now >= asks.next else []
            self.assertEqual(len(set(due)), len(due))
            out = [(name, now) for name in due if name not in hung]
            found += [(now, name) for name in due]
        self.assertEqual(asks.asked, len(found))
        return found

    def test_flood(self) -> None:
        placed = {
            str(n): Shard(
                (f"e{n % 20}", f"e{(n + 7) % 20}", f"e{(n + 13) % 20}"),
                f"e{n % 20}",
                1,
                (f"e{(n + 7) % 20}", f"e{(n + 13) % 20}"),
            )
            for n in range(1000)
        }
        flood = self.play(placed, wants=lambda now: [(str(n), n % 3 * 10) for n in range(1200)])
        few = self.play({"1": placed["1"]}, wants=lambda now: [("1", 0), ("x", 0)])
        self.assertLessEqual(len(flood), 4 * asking._IN_ALL + asking._AT_ONCE)
        self.assertGreater(len(flood), 0.9 * 4 * asking._IN_ALL)
        for name in placed["1"].copies:
            times = [at for at, one in few if one == name]
            self.assertGreaterEqual(min(b - a for a, b in zip(times, times[1:])), asking._APART)
            # All wait, each has its part.
            self.assertGreater(sum(one == name for _, one in flood), 0.9 * len(flood) / 20)
        self.assertEqual({one for _, one in few}, set(placed["1"].copies))
        asks = Asking()
        asks.wanted(map(str, range(99_999)), 0)
        self.assertLessEqual(len(asks._came), asking._MOST)
        asks.due(placed, 0)
        asks.due({}, 20_000_000)
        self.assertEqual((asks._came, asks._engines, asks.next), ({}, {}, None))

    def test_an_engine_that_hangs(self) -> None:
        placed = {"1": Shard(("a", "b", "p"), "p", 1, ("a", "b"))}
        found = self.play(placed, hung=("a",), seconds=20, wants=lambda now: [("1", 0)])
        times = [at for at, one in found if one == "a"]
        self.assertTrue(all(c - b >= 2 * (b - a) for a, b, c in zip(times, times[1:], times[2:4])), times)
        self.assertLess(len(times), 9)
        self.assertEqual(sum(one == "b" for _, one in found), 20_000_000 // asking._APART)

    def test_a_head_goes_first(self) -> None:
        placed = {str(n): Shard((f"a{n}", f"p{n}"), f"p{n}", 1, (f"a{n}",)) for n in range(asking._AT_ONCE)}
        asks = Asking()
        asks.wanted(placed, 0, 0)
        self.assertEqual(asks.due(placed, 0), sorted(f"p{n}" for n in range(asking._AT_ONCE)))
        for n in range(asking._AT_ONCE):
            asks.heard(f"p{n}", 0)
        # Heads that are young are not asked for again, the copies are.
        self.assertEqual(set(asks.due(placed, 100 * MS)), {f"a{n}" for n in range(asking._AT_ONCE)})

    def test_what_is_carried_to_the_leader(self) -> None:
        asks = Asking()
        asks.wanted("abc", 0, 0)
        asks.wanted("c", 0, 90 * MS)
        self.assertEqual(asks.carried(3, 0), [("a", 0), ("b", 0)])
        self.assertEqual(asks.carried(9, 0), [("c", 0), ("c", 90 * MS)])
        for now, young, told in (
            (5, 0, []),
            (21, 0, [("a", 0)]),
            (22, 90, [("a", 90 * MS)]),
            (23, 95, []),
            (24, 80, [("a", 80 * MS)]),
            (300, 80, [("a", 80 * MS)]),
        ):
            asks.wanted("a", now * MS, young * MS)
            self.assertEqual((now, asks.carried(9, now * MS)), (now, told))

    def test_a_read_is_answered_by_a_copy(self) -> None:
        for names in (("k1/1", "k2/1"), ("k2/1", "k1/1")):
            with self.subTest(leader=names[0]):
                fleet = TwoKeepers(*names)
                reads = [fleet.read(number, 1_000 * MS) for number in range(2)]
                fleet.run(1_030 * MS)
                self.assertEqual([one.takes("a1", fleet.now) for one in reads], [True, True])
                # Two links of 1 ms there and back for the second one, the engine's 2 ms, and what makes two
                # answers one word.
                self.assertLessEqual(max(fleet.served[one] for one in reads), 10 * MS)
                asked = [name for at, name in fleet.asked if at >= 1_000 * MS]
                self.assertEqual(sorted(asked), ["a1", "b1", "p"])  # for both of them, once

    def test_not_answered_without_it(self) -> None:
        for patch in (
            mock.patch.object(Reads, "needs", lambda *_: ()),
            mock.patch.object(joined.Exchange, "tells", lambda *_: []),
            mock.patch.object(Asking, "carried", lambda *_: []),
        ):
            with patch:
                fleet = TwoKeepers("k1/1", "k2/1")
                one = fleet.read(1, 1_000 * MS)
                fleet.run(1_030 * MS)
                self.assertFalse(one.takes("a1", fleet.now) or one.takes("b1", fleet.now))

    def test_hands_ask_while_they_lead(self) -> None:
        leads, asked = [True], []
        hands = TransferClient(dict, lambda entry: None, lambda: leads[0], lambda: 0, Counters())
        hands._connections["a"] = SimpleNamespace(poll=lambda: asked.append("a"))
        hands.poll(["a", "gone"])
        leads[0] = False
        hands.poll(["a"])
        self.assertEqual(asked, ["a"])

    def test_a_hung_copy_does_not_hold_up_the_other(self) -> None:
        fleet = TwoKeepers("k1/1", "k2/1", hung=("a1",))
        one = fleet.read(1, 1_000 * MS)
        fleet.run(1_030 * MS)
        self.assertEqual((one.takes("a1", fleet.now), one.takes("b1", fleet.now)), (False, True))

    def test_a_position_that_lies(self) -> None:
        fleet = TwoKeepers("k1/1", "k2/1", lie={"a1": 5000})
        fleet.read(1, 1_000 * MS)
        fleet.read(1, 1_200 * MS)
        fleet.run(1_300 * MS)
        one = fleet.read(1, fleet.now + 1)
        fleet.run(fleet.now + 30 * MS)
        self.assertEqual((one.takes("a1", fleet.now), one.takes("b1", fleet.now)), (False, True))
        self.assertIn("it is left out", " ".join(fleet.said))


class TwoKeepers:
    """A gateway at each of two keepers, engines that answer in 2 ms, links of 1 ms; a head that grows."""

    SHARD = Shard(("a1", "b1", "p"), "p", 1, ("a1", "b1"))

    def __init__(self, leader: str, follower: str, hung=(), lie=None) -> None:
        self.now, self.queue, self.hung, self.lie = 0, [], hung, lie or {}
        self.asked: list[tuple[int, str]] = []
        self.began: dict[object, int] = {}
        self.said: list[str] = []
        self.served: dict[object, int] = {}  # reads, and after how long a copy was known to do
        placed = {"7": self.SHARD}
        self.keepers, self.cores = [], []
        for name in (leader, follower):
            one = joined.PositionDistributor(0.01, lambda kind, text: self.said.append(text), Counters())
            core = SimpleNamespace(
                node=SimpleNamespace(leader=leader, name=name),
                incoming_links={},
                node_exchanges={},
                turn_hooks=[],
                round_hooks=[],
                is_ready_leader=lambda now, leads=name == leader: leads,
                state=SimpleNamespace(effective=SimpleNamespace(placement=SimpleNamespace(items=placed))),
            )
            one.attach(core, self.ask)
            core.turn_hooks[0](0)
            self.keepers.append(one)
            self.cores.append(core)
        first, second = sorted((0, 1), key=lambda at: (leader, follower)[at])
        talks = self.keepers[first].new_exchange(), self.keepers[second].new_exchange()
        far = self.far(talks[0], self.cores[first]), self.far(talks[1], self.cores[second])
        self.cores[first].node_exchanges[self.cores[second].node.name] = far[1], talks[0]
        self.cores[second].incoming_links[f"keeper:{self.cores[first].node.name}"] = SimpleNamespace(
            exchange=talks[1], link=far[0]
        )
        self.talks, self.reads = [], []
        for number, (keeper, core) in enumerate(zip(self.keepers, self.cores)):
            reads = gateway(Use(self.SHARD, 2))
            reads.patience = 30 * MS
            reads.placed(0)
            here, there = (
                Talk(
                    reads.board,
                    4,
                    lambda now, reads=reads: reads.wanted(now)[:4],
                    lambda now, reads=reads: reads.needs(now, 4),
                ),
                keeper.new_exchange(),
            )
            core.incoming_links[f"gateway:g{number}"] = SimpleNamespace(
                exchange=there, link=self.far(here, None)
            )
            self.talks.append((here, there))
            self.reads.append(reads)
        for at in range(0, 2_000 * MS, 250 * MS):
            self.after(at, self.words)

    def after(self, delay: int, act, *given) -> None:
        heapq.heappush(self.queue, (self.now + delay, len(self.queue), random.random(), act, given))

    def run(self, until: int) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, _, act, given = heapq.heappop(self.queue)
            act(*given)
        self.now = until

    def far(self, talk: Talk, core) -> SimpleNamespace:
        """The end from which frames go to this side."""
        return SimpleNamespace(
            unsent_bytes=0, put=lambda frame: self.after(MS, self.hear, talk, core, frame.body)
        )

    def hear(self, talk: Talk, core, body: bytes) -> None:
        talk.on_message(body, self.now)
        if core is not None:
            self.round(core)
        for one, began in self.began.items():
            if one.takes("a1", self.now):
                self.served.setdefault(one, self.now - began)

    def round(self, core) -> None:
        due = core.round_hooks[0](self.now)
        if due is not None:
            self.after(max(0, due - self.now), lambda: core.round_hooks[0](self.now))

    def words(self) -> None:
        for (here, there), core in zip(self.talks, self.cores):
            self.after(MS, self.hear, there, core, here.next_message(self.now))
            self.after(
                MS,
                lambda here=here, there=there: self.after(
                    MS, self.hear, here, None, there.next_message(self.now)
                ),
            )

    def read(self, number: int, at: int):
        """Its first question at that moment; the gateway asks its keeper then."""
        self.run(at)
        one = ask(self.reads[number], "read=replica within=500ms", self.now)
        one.takes("a1", self.now)
        self.began[one] = self.now
        here, there = self.talks[number]
        if self.reads[number].urgent:
            self.after(MS, self.hear, there, self.cores[number], here.next_message(self.now))
        return one

    def ask(self, engines: list[str]) -> None:
        for name in engines:
            self.asked.append((self.now, name))
            if name not in self.hung:
                head = self.now // (100 * MS)
                copy = CopyReport(
                    1, primary=name == "p", epoch=1, applied=head + self.lie.get(name, 0), head=head
                )
                disk = DiskReport(name, name[0], 1, 1, 0, 1, self.now, {"7": copy})
                self.after(2 * MS, self.answered, disk)

    def answered(self, disk: DiskReport) -> None:
        if self.keepers[0].on_disk_report(disk, self.now):
            self.round(self.cores[0])


class World:
    """True positions of one shard on a virtual clock, gateways that hear of them, and sessions that read."""

    GATEWAYS, SECONDS = 4, 12

    def __init__(self, seed: int, lag: int, loss: float, spread: bool) -> None:
        self.random = random.Random(seed)
        self.now, self.queue, self.lag, self.loss = 0, [], lag, loss
        self.shard = Shard(("a1", "b1", "p1"), "p1", 1, ("a1", "b1"))
        self.log = [(1, 0)]  # of all writes: epoch and position; the state of a copy is a place in it
        self.written = [0]  # when each was
        self.has = dict.fromkeys(self.shard.copies, 0)
        self.uses = [Use(self.shard, self.GATEWAYS) for _ in range(self.GATEWAYS)]
        self.reads = [gateway(use, self.random.random) for use in self.uses]
        self.keeper = Board(passes_on=True)
        self.keeper.place(self.uses[0].documents.placement.items, 0)
        self.links = [(Peer(reads.board), Peer(self.keeper)) for reads in self.reads]
        self.sessions = [[None, (0, 0)] for _ in range(6)]  # token, and the furthest state seen
        self.stalled = self.frozen = False
        self.answered, self.possible, self.by_copies = 0, [0, 0], [0, 0]  # without and with `after`
        every = [(self._write, 15), (self._apply, 4), (self._read, 9), (self._other, 8)]
        every += [(self._gossip, 20)] if spread else []
        for act, mean in every:
            self._again(act, mean)
        for at, act in ((3, self._stall), (5, self._stall), (6, self._move), (8, self._switch)):
            self.after(at * 1_000_000 + self.random.randrange(500 * MS), act)

    def after(self, delay: int, act, *given) -> None:
        heapq.heappush(self.queue, (self.now + int(delay), len(self.queue), self.random.random(), act, given))

    def _again(self, act, mean: int) -> None:
        def once() -> None:
            act()
            self.after(self.random.expovariate(1 / (mean * MS)) + 1, once)

        once()

    def run(self) -> None:
        while self.queue and self.now < self.SECONDS * 1_000_000:
            self.now, _, _, act, given = heapq.heappop(self.queue)
            act(*given)

    def _delay(self) -> float:
        return self.random.uniform(1, 6) * MS * (20 if self.random.random() < 0.03 else 1)

    def _write(self) -> None:
        if not self.frozen:
            epoch, position = self.log[-1]
            self.log.append((epoch, position + 1))
            self.written.append(self.now)
            self.has[self.shard.primary] = len(self.log) - 1

    def _apply(self) -> None:
        copy = self.random.choice(sorted(self.has))
        if copy != self.shard.primary and not self.stalled and self.random.random() < 4 * MS / self.lag:
            self.has[copy] = self.random.randint(self.has[copy], len(self.log) - 1)

    def _stall(self) -> None:
        self.stalled = not self.stalled

    def staleness(self, state: int, now: int) -> int:
        return max(0, now - self.written[state + 1]) if state + 1 < len(self.log) else 0

    def _report(self, name: str) -> dict[str, float]:
        epoch, position = self.log[self.has[name]]
        told = {"shard": 7, "epoch": epoch, "applied": position}
        # A deposed primary goes on telling its head.
        return told | {"head": position} if name.startswith("p") or name == self.shard.primary else told

    def _other(self) -> None:
        """Work without a hint: its answer tells positions."""
        reads, name = self.random.choice(self.reads), self.random.choice(sorted(self.has))
        self._send(reads, name, lambda *_: None)

    def _send(self, reads: Reads, name: str, back) -> None:
        sent = self.now

        def run() -> None:
            state = self.has[name]
            self.after(self.random.uniform(0, 8) * MS, answer, state)

        def answer(state: int) -> None:
            report, end = self._report(name), state
            if self.random.random() >= self.loss:
                self.after(self._delay(), come, report, end)

        def come(report: dict[str, float], state: int) -> None:
            reads.heard(name, report, sent, self.now)
            back(state, report, sent)

        self.after(self._delay(), run)

    def _read(self) -> None:
        reads, session = self.random.choice(self.reads), self.random.choice(self.sessions)
        alone = self.random.random() < 0.5
        session = [None, (0, 0)] if alone else session
        after = f" after={session[0]}" if session[0] else ""
        within = self.random.choice((120, 500, 2000))
        one, now = ask(reads, f"read=replica within={within}ms{after}", self.now), self.now
        seen, shard = session[1], reads.use.documents.placement.items["7"]
        could = any(
            self.staleness(self.has[copy], now + EXPECTED) <= within * MS
            and self.log[self.has[copy]] >= seen
            and self.log[self.has[copy]][0] == shard.epoch
            for copy in shard.reads
            if copy != shard.primary
        )
        self.possible[not alone] += could
        names = [name for name in sorted(self.has) if one.takes(name, now)]
        if not names:
            return
        name = self.random.choice(names)
        one.sent(name, now)
        self.by_copies[not alone] += could and name != shard.primary

        def back(state: int, report: dict[str, float], sent: int) -> None:
            self.answered += 1
            one.came_back(report, self.now - sent, self.now)
            if name != shard.primary:
                age = self.staleness(state, min(self.now, now + EXPECTED))
                assert age <= within * MS, f"{age} us old, within {within} ms"
            assert self.log[state] >= seen, f"went back from {seen} to {self.log[state]}"
            if self.log[state] >= session[1]:
                session[:] = [one.at(), max(session[1], self.log[state])]

        self._send(reads, name, back)

    def _gossip(self) -> None:
        number = self.random.randrange(self.GATEWAYS)
        here, there = self.links[number]
        self.reads[number].placed(self.now)
        if self.random.random() < 0.02:  # a new link
            self.links[number] = here, there = Peer(self.reads[number].board), Peer(self.keeper)

        def passed(speaker: Peer, hearer: Peer, left: int) -> None:
            word = speaker.says(8, ("7",) if speaker is here else None, self.now)
            if self.random.random() >= self.loss:
                self.after(self._delay(), hear, speaker, hearer, word, left)

        def hear(speaker: Peer, hearer: Peer, word, left: int) -> None:
            hearer.hears(word, self.now)
            if left:
                passed(hearer, speaker, left - 1)

        passed(here, there, 2)

    # Placement: joint for each at its own time, and in force only once all are joint.

    def _turn(self, joint: Shard, new: Shard, between) -> None:
        for use in self.uses:
            self.after(self.random.uniform(0, 50) * MS, use.set, joint)
        self.after(25 * MS, self._keeper_set, joint)

        def commit() -> None:
            between()
            self.shard = new
            for use in self.uses:
                self.after(self.random.uniform(0, 50) * MS, use.set, new)
            self.after(25 * MS, self._keeper_set, new)

        self.after(60 * MS, commit)

    def _keeper_set(self, shard: Shard) -> None:
        self.keeper.place({"7": shard}, self.now)

    def _move(self) -> None:
        self.has["a2"] = self.has["a1"]
        self._turn(
            Shard(("b1", "p1"), "p1", 1, ("b1",)),
            Shard(("a2", "b1", "p1"), "p1", 1, ("a2", "b1")),
            lambda: None,
        )

    def _switch(self) -> None:
        def between() -> None:
            self.has["b1"] = len(self.log)  # it has all of the old epoch, and begins the new one
            self.log.append((2, 0))
            self.written.append(self.now)
            self.frozen = False

        self.frozen = True
        self._turn(
            Shard(("a2", "b1", "p1"), "", 2, ("a2",)),
            Shard(("a2", "b1", "p1"), "b1", 2, ("a2", "p1")),
            between,
        )


class Histories(unittest.TestCase):
    @given(st.integers(0, 10**6), st.sampled_from((10, 40, 150)), st.sampled_from((0.0, 0.1, 0.4)))
    @settings(derandomize=True, database=None, max_examples=20, deadline=None, phases=[Phase.generate])
    def test_bounds_and_sessions(self, seed, lag, loss) -> None:
        world = World(seed, lag * MS, loss, spread=True)
        world.run()
        self.assertGreater(world.answered, 200)
        self.assertGreater(min(world.possible), 40)
        # What a session has seen through one gateway, another hears of copies only later.
        self.assertGreater(world.by_copies[0] / world.possible[0], 0.55)
        self.assertGreater(world.by_copies[1] / world.possible[1], 0.3)
        self.assertEqual([reads.board.lies for reads in world.reads], [0] * world.GATEWAYS)

    def test_broken_ones_are_caught(self) -> None:
        heard = Board.heard
        broken = {
            "counted from the answer": (
                "old, within",
                mock.patch.object(
                    Board, "heard", lambda board, *told: heard(board, *told[:-2], told[-1], told[-1])
                ),
            ),
            "ages from their arrival": (
                "old, within",
                mock.patch.object(
                    Peer,
                    "hears",
                    lambda peer, word, now: setattr(peer, "_heard", word.number)
                    or setattr(peer, "_wants", word.wants)
                    or peer._board.take(word.items, now, now),
                ),
            ),
            "a token of less than was seen": (
                "went back",
                mock.patch.object(
                    read, "Token", lambda shard, epoch, position: Token(shard, epoch, max(0, position - 3))
                ),
            ),
            "a token counts for nothing": (
                "went back",
                mock.patch.object(choose, "has_seen", lambda after, applied: True),
            ),
        }
        for name, (wrong, patch) in broken.items():
            with self.subTest(name), patch, self.assertRaisesRegex(AssertionError, wrong):
                for seed in range(12):
                    World(seed, 40 * MS, 0.1, spread=True).run()


if __name__ == "__main__":
    unittest.main()
