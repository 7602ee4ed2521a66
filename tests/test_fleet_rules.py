"""Rules of a fleet: documents and their strictest, changes and turns, leases over bad links and clocks."""

from __future__ import annotations

import heapq
import random
import tomllib
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest.mock import patch

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as some

from cresstray.fleet_config import active_config as use
from cresstray.fleet_config import codec
from cresstray.fleet_config import state as state_of
from cresstray.fleet_config.active_config import ActiveConfig, Mode
from cresstray.fleet_config.admission import ConfigAdmissionRules
from cresstray.fleet_config.codec import (
    ConfigPart,
    FramingError,
    LeaseBehind,
    LeaseGranted,
    LeaseRefused,
    RenewLease,
)
from cresstray.fleet_config.commands import (
    decode_result,
    encode_advance,
    encode_departed,
    encode_proposal,
    encode_section_command,
)
from cresstray.fleet_config.documents import (
    EMPTY,
    NAMES,
    Documents,
    FleetState,
    apply_delta,
    encode_delta,
    parse_documents,
    sorted_documents,
    to_plain,
)
from cresstray.fleet_config.leases import NOT_NAMED, LeaseTable
from cresstray.fleet_config.state import ConfigState
from cresstray.fleet_config.strictest import gateway_divisor, strictest
from cresstray.fleet_config.validation import refusals
from cresstray.observability.counters import Counters
from cresstray.policy.engine_state import EngineState
from cresstray.policy.load_signals import FleetSignals
from cresstray.policy.types import Engine, Request, RequestClass

LEASE, FLOOR_LEASE, DRIFT, MOST = 2_000_000, 8_000_000, 0.01, 20
WORLD = FleetState(
    max_gateways=MOST,
    engines={f"s-{n}": "ab"[n % 2] for n in range(12)},
    request_classes=("fast", "slow"),
    tenants=("t0", "t1"),
)
FEW = settings(
    derandomize=True,
    database=None,
    max_examples=150,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)


def gateways(names: str, **more: Any) -> dict[str, Any]:
    return {"items": {name: {} for name in names.split()}, **more}


def amended(documents: Documents, **given: Any) -> Documents:
    return parse_documents({**to_plain(documents), **given})


def items(names: str, **rules: Any) -> some.SearchStrategy:
    return some.fixed_dictionaries(
        {
            "items": some.dictionaries(
                some.sampled_from(names.split()), some.fixed_dictionaries(rules), max_size=4
            )
        }
    )


PARTS = some.sampled_from([0.0, 0.25, 0.5, 1.0])
COPIES = some.lists(some.sampled_from(["s-1", "s-2", "s-3"]), unique=True, max_size=3)
ALL = some.builds(
    lambda base, count, floor, versions: sorted_documents(
        parse_documents(
            {
                **base,
                "gateways": {**base["gateways"], "count": count, "floor": floor},
                "versions": {"gateways": 1, **versions},
            }
        )
    ),
    some.fixed_dictionaries(
        {
            "gateways": items("g1 g2 g3 g4"),
            "engines": items("s-1 s-2 s-3", barred=some.booleans(), work=PARTS),
            "tenants": items("t0 t1", barred=some.booleans(), share=PARTS),
            "tariffs": items("fast slow", stopped=some.booleans(), further=PARTS),
            "placement": items(
                "1 2",
                copies=COPIES,
                reads=COPIES,
                epoch=some.integers(0, 2),
                primary=some.sampled_from(["", "s-1", "s-2"]),
            ),
            "replicas": items("p q", copies=COPIES, strict=some.booleans(), until=some.integers(1, 3)),
        }
    ),
    some.integers(0, 9),
    some.sampled_from([0, 5, 9]),
    some.dictionaries(some.sampled_from(NAMES), some.integers(1, 9)),
)


class Contents(unittest.TestCase):
    @FEW
    @given(ALL, ALL)
    def test_the_strictest_never_allows_what_either_forbids(self, old: Documents, new: Documents) -> None:
        both = strictest(old, new)
        self.assertEqual(both, strictest(new, old))
        self.assertEqual(both, strictest(both, both))
        own = strictest(old, old)
        self.assertEqual(msgspec.structs.replace(old, gateways=own.gateways), own)
        self.assertEqual(old.gateways.items, own.gateways.items)
        for one in (old, new):
            self.assertLessEqual(set(both.gateways.items), set(one.gateways.items))
            self.assertGreaterEqual(both.gateways.count, gateway_divisor(one.gateways))
            self.assertGreaterEqual(
                both.gateways.count_without_lease or 10**9, one.gateways.count_without_lease or 10**9
            )
            for kind, stops, part in (
                ("engines", "is_barred", "work_fraction"),
                ("tenants", "is_barred", "share"),
                ("tariffs", "is_stopped", "retry_budget_scale"),
            ):
                for name, rule in one.document(kind).items.items():
                    found = both.document(kind).items[name]
                    self.assertGreaterEqual(getattr(found, stops), getattr(rule, stops))
                    self.assertLessEqual(getattr(found, part), getattr(rule, part))
            for name, shard in one.placement.items.items():
                found = both.placement.items[name]
                self.assertIn(found.primary, ("", shard.primary))
                self.assertLessEqual(set(found.reads), set(shard.reads))
                self.assertGreaterEqual(found.epoch, shard.epoch)
                self.assertTrue(not found.primary or found.epoch == shard.epoch)
            for pin in one.replicas.items.values():
                self.assertTrue(not pin.is_strict or pin in both.replicas.items.values())
        for pin in both.replicas.items.values():
            self.assertTrue(pin.is_strict or all(pin in one.replicas.items.values() for one in (old, new)))

    @FEW
    @given(ALL, ALL)
    def test_a_delta_leads_from_one_to_the_other(self, old: Documents, new: Documents) -> None:
        made = apply_delta(old, encode_delta(old, new))
        self.assertEqual(new, made)
        self.assertEqual(msgspec.msgpack.encode(new), msgspec.msgpack.encode(made))  # and their order
        self.assertEqual(b"\x90", encode_delta(new, made))
        self.assertEqual(new, parse_documents(to_plain(new) | {"versions": new.versions}))
        both = strictest(old, new)
        self.assertEqual(both, apply_delta(EMPTY, encode_delta(EMPTY, both)))

    @FEW
    @given(some.binary(max_size=40), ALL)
    def test_what_is_no_delta_is_told(self, data: bytes, old: Documents) -> None:
        state = ConfigState(WORLD)
        before = state.snapshot()
        for given_data in (data, encode_proposal("r", {}, data, "why")):
            told = decode_result(state.apply(1, given_data))
            self.assertTrue(told.reasons or data == b"\x90")
        try:
            apply_delta(old, data)
        except ValueError:
            pass
        state._results.clear()
        self.assertEqual(before, state.snapshot())

    def test_what_an_operator_wrote_wrongly_is_named(self) -> None:
        for wrong, word in (
            ({"engine": {}}, "engine"),
            ({"engines": {"items": {"s-1": {"bared": True}}}}, "bared"),
            ({"tariffs": {"items": {"fast": {"further": 1.5}}}}, "further"),
            ({"gateways": {"items": {"a b": {}}}}, "gateways"),
            ({"versions": {"engine": 1}}, "engine"),
            ({"engines": {"items": []}}, "engines"),
        ):
            with self.assertRaisesRegex(ValueError, word):
                parse_documents(wrong)

    def test_all_refusals_come_in_one_answer(self) -> None:
        old = parse_documents(
            {
                "gateways": gateways("g1 g2"),
                "placement": {
                    "items": {
                        "1": {"copies": ["s-1", "s-2"], "primary": "s-1", "epoch": 4},
                        "2": {"copies": ["s-1"], "primary": "s-1", "epoch": 4},
                    }
                },
            }
        )
        new = amended(
            old,
            gateways=gateways("g1 g2 g3", count=2, floor=1),
            engines={
                "items": {"s-0": {"barred": True}, "s-2": {"barred": True}, "s-4": {"work": 0.0}, "s-99": {}}
            },
            tenants={"items": {"nobody": {}}},
            tariffs={"items": {"none": {}}},
            placement={
                "items": {
                    "1": {"copies": ["s-1", "s-1"], "primary": "s-3", "epoch": 3, "reads": ["s-2"]},
                    "2": {"copies": ["s-2"], "primary": "s-2", "epoch": 4},
                    "3": {"copies": [], "epoch": 0},
                    "4": {"copies": ["s-98"]},
                }
            },
            replicas={
                "items": {
                    "p'": {},
                    "q": {"tariff": "none", "tenant": "nobody", "copies": ["s-9"], "zone": "c", "until": 1},
                }
            },
        )
        told = refusals(old, new, WORLD)
        for words in (
            "count 2",
            "floor 1",
            "'s-99'",
            "3 of 6 barred in zone 'a', 2 may",
            "tenants: ",
            "tariffs: ",
            "shard 1: 2 copies",
            "shard 1: its primary",
            "shard 1: s-2 is to be",
            "shard 1: epoch 3 after 4",
            "shard 2: another primary",
            "shard 3: 0 copies",
            "'s-98'",
            "p': not a name",
            "p': neither",
            "p': either",
            "p': it has no end",
            "q: there is no tariff",
            "q: there is no tenant",
            "q: either",
            "q: there is no zone",
            "copy on s-9",
        ):
            self.assertEqual(1, sum(words in line for line in told), (words, told))
        self.assertEqual(22, len(told), told)
        self.assertEqual([], refusals(old, old, WORLD))
        # What was there before, whatever the file says now, is in the way of no other change.
        self.assertEqual([], refusals(new, amended(new, gateways=gateways("g1")), WORLD))
        self.assertIn("none is named", refusals(old, EMPTY, WORLD)[0])
        many = amended(old, gateways=gateways("g1", count=21, floor=22))
        self.assertEqual(2, len(refusals(old, many, WORLD)))
        self.assertIn("19 not yet", refusals(old, old, WORLD, 19)[0])


def changed(state: ConfigState, request: str = "", **given: Any) -> Any:
    new = amended(state.latest, **given)
    return decode_result(
        state.apply(
            1,
            encode_proposal(
                request or f"r{state.version}",
                dict(state.latest.versions),
                encode_delta(state.latest, new),
                "why",
                "who",
                WORLD,
            ),
        )
    )


def turned(state: ConfigState, times: int = 99) -> None:
    while state.pending_turn() is not None and times:
        times -= 1
        assert decode_result(state.apply(1, encode_advance(state.turn + 1))).is_accepted


def named(names: str = "g1 g2", **more: Any) -> ConfigState:
    state = ConfigState(WORLD)
    assert changed(state, gateways=gateways(names, **more)).is_accepted
    turned(state)
    return state


class Changes(unittest.TestCase):
    def test_one_asked_again_is_done_once(self) -> None:
        state = named()
        given = encode_proposal(
            "it",
            {"tariffs": 0},
            encode_delta(EMPTY, parse_documents({"tariffs": {"items": {"fast": {}}}})),
            "",
        )
        first = state.apply(2, given)
        self.assertEqual([first] * 3, [state.apply(n, given) for n in range(3)])
        again = ConfigState(WORLD)
        again.restore(state.snapshot())
        turned(state)
        turned(again)
        self.assertEqual(first, state.apply(9, given))
        self.assertEqual(first, again.apply(9, given))
        self.assertEqual(2, state.version)
        # Of another's change since then: refused, and the refusal is what is heard again.
        other = given.replace(b"it", b"at", 1)
        self.assertIn("of version 0, and the latest is 2", decode_result(state.apply(10, other)).reasons[0])
        self.assertEqual(state.apply(11, other), state.apply(12, other))
        for n in range(4096):
            state.apply(n, encode_proposal(f"n{n}", {}, b"\x90", ""))
        self.assertEqual(4096, len(state._results))
        self.assertNotEqual(first, state.apply(9, given))

    def test_what_differs_in_nothing_needs_no_turn(self) -> None:
        state = named()
        self.assertTrue(changed(state, "same").is_accepted)
        self.assertIsNone(state.pending_turn())
        self.assertEqual(1, state.version)

    def test_history_and_back(self) -> None:
        state = named()
        contents = [state.content(0), state.latest]
        for further in (0.5, 0.25):
            changed(state, tariffs={"items": {"fast": {"further": further}}}, engines={"items": {"s-1": {}}})
            contents.append(state.latest)
        turned(state)
        self.assertEqual(EMPTY, contents[0])
        self.assertEqual(contents, [state.content(n) for n in range(4)])
        self.assertIsNone(state.content(4))
        self.assertEqual(
            [("engines", "tariffs"), ("tariffs",)],
            [tuple(sorted(past.documents)) for past in state.history()[1:]],
        )
        bases, change = state.revert_to(2)
        self.assertEqual({"tariffs": 3}, bases)
        self.assertTrue(
            decode_result(state.apply(1, encode_proposal("back", bases, change, "as before"))).is_accepted
        )
        self.assertEqual(
            (contents[2].request_classes, 4), (state.latest.request_classes, state.latest.versions["tariffs"])
        )
        for n in range(300):
            changed(state, tariffs={"items": {"fast": {"further": n / 300}}})
            turned(state)
        self.assertEqual(256, len(state.history()))
        with self.assertRaises(LookupError):
            state.revert_to(3)

    def test_a_follower_is_led_on_from_wherever_it_is(self) -> None:
        state, at = named("g1 g2 g3"), {0: EMPTY}
        for n in range(150):
            changed(
                state,
                tenants={"items": {"t0": {"share": n / 150}}},
                gateways=gateways("g1 g2 g3" if n % 2 else "g1 g2"),
            )
            turned(state, 1)
            at[state.turn] = state.effective
            turned(state, 1)
            at[state.turn] = state.effective
        self.assertEqual(302, state.turn)
        for turn, documents in at.items():
            since = use._decode_updates(state.updates_since(turn)) if turn < state.turn else None
            if since is None:
                self.assertEqual(b"", state.updates_since(turn))
                continue
            self.assertEqual(turn if 302 - turn <= 256 else 0, since.base)
            for told in since.deltas:
                documents = apply_delta(documents if since.base else EMPTY, told)
            self.assertEqual((302, state.effective), (since.turn, documents))
        self.assertEqual(b"", state.updates_since(303))

    def test_a_section_of_another_package(self) -> None:
        class Moves:
            def __init__(self) -> None:
                self.seen: list[bytes] = []

            def apply(self, state: ConfigState, data: bytes) -> bytes:
                self.seen.append(data)
                return b"%d %d" % (state.turn, len(self.seen))

            def snapshot(self) -> bytes:
                return b" ".join(self.seen)

            def restore(self, data: bytes) -> None:
                self.seen = data.split()

        state, other = ConfigState(WORLD, {"moves": Moves()}), ConfigState(WORLD, {"moves": Moves()})
        for request in ("a", "a", "b", "", ""):
            state.apply(1, encode_section_command("moves", request, request.encode() or b"c"))
        self.assertEqual([b"a", b"b", b"c", b"c"], state.sections["moves"].seen)
        other.restore(state.snapshot())
        self.assertEqual(state.snapshot(), other.snapshot())
        self.assertEqual(b"0 1", other.apply(1, encode_section_command("moves", "a", b"a")))
        self.assertFalse(decode_result(state.apply(1, encode_section_command("none", "x", b""))).is_accepted)
        for wrong in (b"", b"\x90", state.snapshot()):
            with self.assertRaises(ValueError):
                ConfigState(WORLD).restore(wrong)

    def test_who_is_taken_off_the_list_counts_until_it_is_out(self) -> None:
        state = named("g1 g2 g3")
        changed(state, gateways=gateways("g1 g2"))
        self.assertEqual(frozenset(), state.departed_gateways)
        turned(state, 1)
        self.assertEqual(
            (3, ["g1", "g2"]), (state.effective.gateways.count, list(state.effective.gateways.items))
        )
        turned(state)
        self.assertEqual((3, {"g3"}), (state.effective.gateways.count, state.departed_gateways))
        self.assertEqual({"g1", "g2", "g3"}, state.counting_gateways())
        self.assertIn(
            "not yet known to be out",
            changed(state, gateways=gateways(" ".join(f"h{n}" for n in range(18)))).reasons[0],
        )
        self.assertFalse(decode_result(state.apply(1, encode_departed("g1"))).is_accepted)
        self.assertTrue(decode_result(state.apply(1, encode_departed("g3"))).is_accepted)
        self.assertFalse(decode_result(state.apply(1, encode_departed("g3"))).is_accepted)
        again = ConfigState(WORLD)
        again.restore(state.snapshot())
        for one in (state, again):
            turned(one)
            self.assertEqual((2, frozenset()), (one.effective.gateways.count, one.departed_gateways))
        # Named again before it was out: it is no ghost any more.
        changed(state, gateways=gateways("g1"))
        changed(state, gateways=gateways("g1 g2"))
        turned(state)
        self.assertEqual((2, frozenset()), (state.effective.gateways.count, state.departed_gateways))


class Frames(unittest.TestCase):
    def test_every_frame_and_its_limits(self) -> None:
        frames = [
            codec.Greeting(codec.MAGIC, 1, "gateway", "north", "g1", "life", b"n" * 16),
            RenewLease(1, 2, "life", True),
            LeaseGranted(1, 2),
            LeaseBehind(1, 2),
            LeaseRefused(1, 2, "no"),
            codec.GetConfig(3),
            ConfigPart(0, 2, 0, 1, b"x"),
            codec.ReplicaPositions(b"w" * 32_768),
            codec.ForwardedFrame("g1", True, b"f"),
            codec.OperatorRequest(1, b"q", False),
            codec.OperatorReply(1, b"a", True),
        ]
        self.assertEqual(list(range(48, 59)), [one.kind for one in codec.KINDS])
        data = b"".join(map(codec.encode_frame, frames))
        reader, found = codec.FrameDecoder(codec.KINDS), []
        for at in range(0, len(data), 7):
            found += reader.feed(data[at : at + 7])
        self.assertEqual(frames, found)
        for wrong in (
            RenewLease(-1, 2),
            LeaseGranted(2**60, 2),
            ConfigPart(0, 2, 0, 129, b""),
            ConfigPart(0, 2, 0, 1, b"x" * 131_073),
            codec.ReplicaPositions(b"w" * 32_769),
            codec.Greeting("m" * 129, 1, "", "", "", ""),
        ):
            with self.assertRaises(FramingError):
                codec.FrameDecoder(codec.KINDS).feed(codec.encode_frame(wrong))
        body = random.Random(1).randbytes(300_000)
        self.assertEqual([3, 3, 3], [one.part_count for one in codec.config_parts(0, 2, body)])
        with self.assertRaises(ValueError):
            codec.split_into_parts(b"x" * (codec.MAX_PART_BYTES * codec.MAX_PARTS + 1))


TABLES = tomllib.loads((Path(__file__).parent / "conformance/rules.toml").read_text())


class Tables(unittest.TestCase):
    """Each row of tests/conformance/rules.toml: in a state, an event, and what must come of it."""

    def whole(self, turn: int, names: str, base: int = 0, floor: int = 6) -> ConfigPart:
        documents = parse_documents(
            {"gateways": gateways(names, count=4, floor=floor), "versions": {"gateways": 1}}
        )
        # Led on, it is enough to name what is put.
        told = encode_delta(EMPTY, documents)
        body = msgspec.msgpack.encode([base, turn, [told]])
        return codec.config_parts(base, turn, body)[0]

    def user(self, state: str) -> tuple[ActiveConfig, int]:
        me, now = (
            ActiveConfig("g1", LEASE, FLOOR_LEASE, DRIFT, MOST, waits=state == "waits", incarnation="a"),
            1_000_000,
        )
        if state in ("new", "waits"):
            return me, now
        me.receive(self.whole(4, "g1 g2" if state != "not named" else "g2"), now)
        asked = me.renewal_due(now)
        if state in ("lease", "floor", "most"):
            me.receive(LeaseGranted(asked.number, 4), now + 1000)
            now += {"lease": 1000, "floor": LEASE, "most": FLOOR_LEASE}[state]
        elif state == "refused":
            me.receive(LeaseRefused(asked.number, 5, NOT_NAMED), now)
        return me, now

    def mode(self, me: ActiveConfig, now: int) -> str:
        held = me.effective_at(now)
        return f"{held.mode.value} {held.gateway_count} {me.turn}"

    def events(self, me: ActiveConfig, number: int, now: int) -> dict[str, Callable[[], Any]]:
        return {
            "nothing": lambda: None,
            "granted": lambda: me.receive(LeaseGranted(number, me.turn), now),
            "granted late": lambda: me.receive(LeaseGranted(number, me.turn), now + LEASE),
            "granted at another turn": lambda: me.receive(LeaseGranted(number, me.turn + 2), now),
            "granted unasked": lambda: me.receive(LeaseGranted(number + 7, me.turn), now),
            "behind": lambda: me.receive(LeaseBehind(number, me.turn + 1), now),
            "refused": lambda: me.receive(LeaseRefused(number, me.turn, "no leader"), now),
            "refused not named": lambda: me.receive(LeaseRefused(number, me.turn + 1, NOT_NAMED), now),
            "refused not named of old": lambda: me.receive(LeaseRefused(number, me.turn - 1, NOT_NAMED), now),
            "content": lambda: me.receive(self.whole(6, "g1 g2"), now),
            "content of old": lambda: me.receive(self.whole(3, "g2"), now),
            "content without it": lambda: me.receive(self.whole(6, "g2"), now),
            "content of another base": lambda: me.receive(self.whole(6, "g2", base=5), now),
            "a lease later": lambda: None,
            "a floor lease later": lambda: None,
        }

    def test_use(self) -> None:
        states, done = {row["given"] for row in TABLES["use"]}, set()
        later = {"granted late": LEASE, "a lease later": LEASE, "a floor lease later": FLOOR_LEASE}
        for row in TABLES["use"]:
            with self.subTest(row):
                me, now = self.user(row["given"])
                me.due_us = now
                events = self.events(me, me.renewal_due(now).number, now)
                events[row["event"]]()
                self.assertEqual(row["must"], self.mode(me, now + later.get(row["event"], 0)), row)
                done.add((row["given"], row["event"]))
        self.assertEqual(len(TABLES["use"]), len(done))
        self.assertEqual({(state, event) for state in states for event in events}, done)

    def happens(self, state: ConfigState, event: str) -> None:
        {
            "next turn": lambda: state.apply(1, encode_advance(state.turn + 1)),
            "the same turn": lambda: state.apply(1, encode_advance(state.turn)),
            "a turn too far": lambda: state.apply(1, encode_advance(state.turn + 2)),
            "proposed": lambda: changed(state, tariffs={"items": {"fast": {"further": 0.5}}}),
            "proposed again": lambda: changed(state, f"r{max(1, state.version - 1)}"),
            "gone": lambda: state.apply(1, encode_departed("g3")),
            "dump and restore": lambda: state.restore(state.snapshot()),
            "unreadable": lambda: state.apply(1, b"\xc1"),
        }[event]()

    def test_change(self) -> None:
        for row in TABLES["change"]:
            with self.subTest(row):
                state = named("g1 g2 g3")
                if row["given"] != "none":
                    changed(state, gateways=gateways("g1 g2"))
                    turned(state, {"proposed": 0, "joint": 1, "in force": 2}[row["given"]])
                before, event = state.snapshot(), row["event"]
                self.happens(state, event)
                waits = len(state.pending_versions())
                self.assertEqual(row["must"], f"{state.turn} {state.effective.gateways.count} {waits}", row)
                self.assertEqual(row.get("same", False), before == state.snapshot(), row)
        done = [(row["given"], row["event"]) for row in TABLES["change"]]
        self.assertEqual(4 * 8, len(set(done)))
        self.assertEqual(len(done), len(set(done)))

    def test_leases(self) -> None:
        for row in TABLES["leases"]:
            with self.subTest(row):
                state, now = named("g1 g2 g3", floor=5), 10_000_000
                table = LeaseTable(LEASE, FLOOR_LEASE, DRIFT)
                table.on_elected(state.counting_gateways(), now)
                changes = {
                    "none": {},
                    "joint": {"tariffs": {"items": {"fast": {"further": 0.5}}}},
                    "floor joint": {"gateways": gateways("g1 g2 g3", floor=6)},
                    "removing": {"gateways": gateways("g1 g2", floor=5)},
                    "removed": {"gateways": gateways("g1 g2", floor=5)},
                }[row["given"]]
                if changes:
                    changed(state, **changes)
                    turned(state, 2 if row["given"] == "removed" else 1)
                for name in ("g1", "g2"):
                    table.renew(name, 1, state.turn, state, True, now)
                turn = state.turn + row.get("turn", 0)
                if row["event"] == "renews":
                    frame = table.renew(
                        "g3", 1, turn, state, row.get("leads", True), now, "", row.get("stopped", False)
                    )
                    told = f"{type(frame).__name__} {getattr(frame, 'reason', '')}".strip()
                    self.assertEqual(row["answer"], told)
                later = {"a lease later": LEASE * 102 // 100, "a floor lease later": FLOOR_LEASE * 102 // 100}
                now += later.get(row["event"], 0)
                self.assertEqual(row["may"], table.can_advance(state, now), row)
                self.assertEqual(row.get("out", False), table.has_departed("g3", state), row)
                self.assertEqual([] if row["may"] else ["g3"], table.blocking_gateways(state, now))


class Hook(unittest.TestCase):
    """What the module hears of the documents, at the moment of acting."""

    def setUp(self) -> None:
        self.now = 5_000_000
        self.use = ActiveConfig("g1", LEASE, FLOOR_LEASE, DRIFT, MOST)
        self.counters = Counters()
        self.rules = ConfigAdmissionRules(
            self.use,
            WORLD.tenants,
            WORLD.request_classes,
            lambda engine: f"s-{engine.instance_type}",
            self.counters,
        )
        self.engines = [Engine(instance_type=n) for n in range(4)]
        for engine in self.engines:
            engine.policy_state = EngineState(8, 4, FleetSignals())

    def hear(self, turn: int, lease: bool = True, **given: Any) -> None:
        documents = parse_documents(
            {"gateways": gateways("g1 g2 g3 g4", floor=9), "versions": {"gateways": 1}, **given}
        )
        body = msgspec.msgpack.encode([0, turn, [encode_delta(EMPTY, documents)]])
        self.use.receive(codec.config_parts(0, turn, body)[0], self.now)
        self.now += LEASE // 2
        asked = self.use.renewal_due(self.now)
        if lease:
            self.use.receive(LeaseGranted(asked.number, turn), self.now)

    def ask(
        self, tenant: int = 0, request_class: int = 0, data_set: int = 0, threads: int = 1, read: Any = None
    ) -> Request:
        kind = RequestClass(
            request_class, threads, 10**6, 0.0, 1.0, 0.0, True, False, "all", 0, False, None, None
        )
        made = Request(
            kind, self.now, self.now + 10**7, tenant, data_set=data_set, expected_latency_us=100_000
        )
        made.replica_read = read
        return made

    def takers(self, request: Request) -> str:
        return "".join(
            str(engine.instance_type)
            for engine in self.engines
            if self.rules.allows(request, engine, self.now)
        )

    def test_stops_and_bars(self) -> None:
        self.assertEqual(
            (20, True), (self.rules.gateway_count(self.now), self.rules.admits(self.ask(), self.now))
        )
        self.hear(
            2,
            tariffs={"items": {"slow": {"stopped": True}, "fast": {"further": 0.5}}},
            tenants={"items": {"t1": {"barred": True}}},
            engines={"items": {"s-2": {"barred": True}}},
        )
        held = self.ask()
        self.assertEqual((4, "013"), (self.rules.gateway_count(self.now), self.takers(held)))
        self.assertEqual(
            (True, 0.5), (self.rules.admits(held, self.now), self.rules.retry_budget_scale(held, self.now))
        )
        for one in (self.ask(request_class=1), self.ask(tenant=1)):
            self.assertEqual((False, ""), (self.rules.admits(one, self.now), self.takers(one)))
        self.assertTrue(
            self.rules.admits(self.ask(tenant=7, request_class=7), self.now)
        )  # no rule is about these
        # The lease is over: the floor's count, and the rest as last known.
        self.now += LEASE
        self.assertEqual((9, "013"), (self.rules.gateway_count(self.now), self.takers(held)))
        self.hear(4, gateways=gateways("g2"))
        self.assertEqual((0, ""), (self.rules.gateway_count(self.now), self.takers(held)))
        self.assertFalse(self.rules.admits(held, self.now))
        self.assertEqual(0.0, self.rules.retry_budget_scale(held, self.now))
        self.assertEqual(
            {
                "rules: denied, tariff stopped": 1,
                "rules: denied, tenant barred": 1,
                "rules: denied, this gateway is not named": 1,
            },
            dict(self.counters.counts),
        )

    def test_placed_shards(self) -> None:
        class Read:
            def admits(self, now: int) -> bool:
                return True

            def may_run_on(self, engine: str, now: int) -> bool:
                return engine != "s-0"

        self.hear(
            2,
            placement={
                "items": {
                    "7": {
                        "copies": ["s-0", "s-1", "s-2"],
                        "primary": "s-1",
                        "epoch": 1,
                        "reads": ["s-0", "s-2"],
                    },
                    "8": {"copies": ["s-1"], "epoch": 2},
                }
            },
        )
        write, read, other = self.ask(data_set=7), self.ask(data_set=7, read=Read()), self.ask(data_set=9)
        self.assertEqual(
            ("1", "12", "0123", ""),
            (*map(self.takers, (write, read, other)), self.takers(self.ask(data_set=8))),
        )
        self.now += LEASE
        self.assertEqual(("", "", "0123"), tuple(map(self.takers, (write, read, other))))
        admitted = [self.rules.admits(one, self.now) for one in (write, read, other)]
        self.assertEqual([False, False, True], admitted)

    def test_a_tenant_has_its_share_and_no_more(self) -> None:
        self.hear(2, tenants={"items": {"t0": {"share": 0.25}, "t1": {"share": 0.0}}})
        passed = [self.rules.admits(self.ask(tenant=n % 3 and 2), self.now + n * 1000) for n in range(900)]
        self.assertAlmostEqual(0.25, sum(passed[0::3]) / sum(passed), delta=0.02)
        self.assertEqual(600, sum(passed[1::3] + passed[2::3]))
        self.assertFalse(self.rules.admits(self.ask(tenant=1), self.now + 900_000))
        # Alone, it has a few, and again when these are past.
        self.now += 20_000_000
        self.assertEqual(
            [10, 10],
            [
                sum(self.rules.admits(self.ask(), self.now + at + n) for n in range(50))
                for at in (0, 6_000_000)
            ],
        )

    def test_an_engine_on_limited_work(self) -> None:
        # 64 gateways, 8 cores: a part of 0.25 of 16 threads is 4, so four of these may have one each.
        names = " ".join(f"g{n}" for n in range(64))
        seats: dict[int, int] = {}
        for threads, cores, work in ((1, 8, 0.25), (3, 8, 0.25), (1, 640, 0.25), (1, 8, 0.0), (9, 8, 0.01)):
            total = 0
            for n in range(64):
                me = ActiveConfig(f"g{n}", LEASE, FLOOR_LEASE, DRIFT, 99)
                documents = parse_documents(
                    {
                        "gateways": gateways(names),
                        "versions": {"gateways": 1},
                        "engines": {"items": {"s-1": {"work": work}}},
                    }
                )
                body = msgspec.msgpack.encode([0, 2, [encode_delta(EMPTY, documents)]])
                me.receive(codec.config_parts(0, 2, body)[0], 1)
                me.receive(LeaseGranted(me.renewal_due(1).number, 2), 1)
                rules = ConfigAdmissionRules(me, (), (), lambda engine: f"s-{engine.instance_type}")
                engine, one = self.engines[1], self.ask(threads=threads)
                engine.policy_state = EngineState(cores, 64, FleetSignals())
                while rules.allows(one, engine, 2):
                    engine.policy_state.limit.running_threads += threads
                total += engine.policy_state.limit.running_threads
            seats[total] = threads
        self.assertEqual({4: 1, 3: 3, 320: 1, 0: 1, 9: 9}, seats)


class Fleet:
    """One log, a leader's table that is lost now and then, and gateways behind links that lose and delay."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.names = [f"g{n}" for n in range(6)]
        self.now, self.calls, self.serial = 50_000_000, [], 0
        self.state, self.table = ConfigState(WORLD), LeaseTable(LEASE, FLOOR_LEASE, DRIFT)
        self.leads_from = 0
        self.uses = {name: use.ActiveConfig(name, LEASE, FLOOR_LEASE, DRIFT, MOST) for name in self.names}
        # Each clock has its own start and runs wrong by the drift that is assumed, at the most.
        self.clocks = {name: self.draw_clock() for name in (*self.names, "leader")}
        self.asleep = dict.fromkeys(self.names, 0)
        self.cut = dict.fromkeys(self.names, 0)
        self.loss, self.turns, self.seen = 0.1, 0, {Mode.LEASE: 0, Mode.FLOOR: 0, Mode.STOPPED: 0}
        self.listed = False
        self.asked = self.accepted = self.epoch = 0
        self.restless = True

    def draw_clock(self) -> tuple[int, float]:
        return self.chance.randrange(10**9), 1 + self.chance.uniform(-DRIFT, DRIFT) * 0.99

    def lead(self) -> None:
        self.table.on_elected(self.state.counting_gateways(), self.clock("leader"))

    def clock(self, who: str) -> int:
        start, rate = self.clocks[who]
        return start + int(self.now * rate)

    def later(self, delay: float, call: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.calls, (self.now + int(delay), self.serial, call))

    def send(self, name: str, call: Callable[[], None]) -> None:
        if self.now >= self.cut[name] and self.chance.random() > self.loss:
            # Now and then a word is on its way for longer than any lease.
            late = self.chance.randrange(4_000_000) if self.chance.random() < 0.03 else 0
            self.later(late + self.chance.expovariate(1 / 30_000), lambda: self.arrives(name, call))

    def arrives(self, name: str, call: Callable[[], None]) -> None:
        # What came for one that is frozen is read when it wakes.
        if self.now < self.asleep[name]:
            self.later(self.asleep[name] - self.now, lambda: self.arrives(name, call))
        elif self.now >= self.cut[name]:
            call()

    def step(self) -> None:
        self.now += 10_000
        while self.calls and self.calls[0][0] <= self.now:
            heapq.heappop(self.calls)[2]()
        for name, me in self.uses.items():
            if self.now < self.asleep[name]:
                continue
            asked = me.renewal_due(self.clock(name))
            if asked is not None:
                self.send(name, lambda name=name, asked=asked: self.renew(name, asked))
            if me.turn < self.state.turn and self.chance.random() < 0.2:
                turn, since = self.state.turn, self.state.updates_since(me.turn)
                for frame in codec.config_parts(use._decode_updates(since).base, turn, since):
                    self.send(name, lambda me=me, frame=frame: self.give(me, frame))
        if self.now >= self.leads_from and self.state.pending_turn() is not None:
            if self.table.can_advance(self.state, self.clock("leader")):
                self.state.apply(1, encode_advance(self.state.turn + 1))
                self.turns += 1
        if self.restless:
            self.trouble()
        self.judge()

    def give(self, me: ActiveConfig, frame: Any) -> None:
        me.receive(frame, self.clock(me.name))

    def renew(self, name: str, asked: RenewLease) -> None:
        leads = self.now >= self.leads_from
        answer = self.table.renew(
            name,
            asked.number,
            asked.turn,
            self.state,
            leads,
            self.clock("leader"),
            asked.incarnation,
            asked.has_stopped,
        )
        if leads and self.table.has_departed(name, self.state):
            self.state.apply(1, encode_departed(name))
        self.send(name, lambda: self.give(self.uses[name], answer))

    def trouble(self) -> None:
        roll, name = self.chance.random(), self.chance.choice(self.names)
        if roll < 0.002:
            self.asleep[name] = self.now + self.chance.randrange(15_000_000)
        elif roll < 0.004:
            self.cut[name] = self.now + self.chance.randrange(20_000_000)
        elif roll < 0.005:
            # The leader is gone; the next one knows nothing, and has another clock.
            self.leads_from = self.now + self.chance.randrange(3_000_000)
            self.clocks["leader"] = self.draw_clock()
            self.later(self.leads_from - self.now, self.lead)
        elif roll < 0.007:
            # Who has been taken off the list is started so that it waits for one, as the note says.
            waits = self.listed and name not in self.state.counting_gateways()
            self.uses[name] = use.ActiveConfig(name, LEASE, FLOOR_LEASE, DRIFT, MOST, waits, f"{self.now}")
        elif roll < 0.02:
            self.change()

    def change(self) -> None:
        self.asked += 1
        names = self.names if not self.listed else self.chance.sample(self.names, self.chance.randint(1, 6))
        # Floors as low as may be: a gateway out of touch takes as much as it ever may.
        least = max(len(names), self.chance.choice([0, 0, 7]))
        given = {
            "gateways": gateways(
                " ".join(sorted(names)),
                count=self.chance.choice([0, least]),
                floor=self.chance.choice([0, least, least, 12]),
            )
        }
        # A switch of a shard's primary, and its tariff stopped and begun.
        self.epoch += 1
        copy = f"s-{self.epoch % 3}"
        given |= {
            "placement": {"items": {"1": {"copies": [copy], "primary": copy, "epoch": self.epoch}}},
            "tariffs": {"items": {"fast": {"stopped": self.chance.random() < 0.5}}},
        }
        if changed(self.state, f"c{self.asked}", **given).is_accepted:
            self.accepted += 1
            self.listed = True

    def judge(self) -> None:
        """At this moment: what each that is awake would act by, by its own clock."""
        held = {
            name: me.effective_at(self.clock(name))
            for name, me in self.uses.items()
            if self.now >= self.asleep[name]
        }
        turns = [one.turn for one in held.values() if one.mode is Mode.LEASE]
        assert not turns or max(turns) - min(turns) <= 1, (self.now, held)
        shares = sum(1 / one.gateway_count for one in held.values() if one.gateway_count)
        assert shares <= 1 + 1e-9, (self.now, {name: one[:3] for name, one in held.items()}, self.state.turn)
        # Two that may write a shard to different engines; one that runs what the rules in force stop.
        leased = [one.documents for one in held.values() if one.mode is Mode.LEASE]
        shards = [one.placement.items["1"] for one in leased]
        assert len({(one.primary, one.epoch) for one in shards if one.primary}) <= 1, (self.now, shards)
        rule = self.state._in_force.documents.request_classes.items.get("fast")
        assert not (rule and rule.is_stopped) or all(
            one.request_classes.items["fast"].is_stopped for one in leased
        )
        for one in held.values():
            self.seen[one.mode] += 1


class Played(unittest.TestCase):
    def test_turns_and_shares_at_every_moment(self) -> None:
        turns, seen = 0, dict.fromkeys(Mode, 0)
        for seed in range(12):
            fleet = Fleet(seed)
            for _ in range(6_000):
                fleet.step()
            turns += fleet.turns
            for mode, times in fleet.seen.items():
                seen[mode] += times
        # It went on, and each mode was there for long.
        self.assertGreater(turns, 150)
        self.assertGreater(min(seen.values()), 5_000, seen)

    def raised_floor(self) -> tuple[int, int]:
        """Of two gateways one is cut off, then four more come in: how long until they count; its share."""
        fleet = Fleet(3)
        fleet.restless, fleet.loss = False, 0.0
        changed(
            fleet.state,
            gateways=gateways("g0 g1", floor=2),
            tariffs={"items": {"fast": {}}},
            placement={"items": {"1": {"copies": ["s-1"]}}},
        )
        for _ in range(500):
            fleet.step()
        self.assertEqual(
            (2, [Mode.LEASE] * 2),
            (
                fleet.state.turn,
                [fleet.uses[name].effective_at(fleet.clock(name)).mode for name in ("g0", "g1")],
            ),
        )
        fleet.cut["g0"] = fleet.now + 20_000_000
        changed(fleet.state, gateways=gateways("g0 g1 g2 g3 g4 g5", floor=6))
        taken = 0
        for step in range(1200):
            fleet.step()
            taken = taken or (fleet.state.turn == 4) * (step + 1) * 10_000
        return taken, fleet.uses["g0"].effective_at(fleet.clock("g0")).gateway_count

    def test_a_floor_is_raised_when_the_old_one_is_over(self) -> None:
        taken, gateways = self.raised_floor()
        self.assertEqual(MOST, gateways)
        self.assertTrue(0.75 * FLOOR_LEASE < taken < 1.05 * FLOOR_LEASE, taken)
        with (
            patch.object(ConfigState, "changes_count_without_lease", lambda _: False),
            self.assertRaises(AssertionError),
        ):
            self.raised_floor()

    def test_one_cut_off_delays_a_change_by_a_lease(self) -> None:
        for cut, least, most in ((0, 0, 300_000), (20_000_000, LEASE // 2, 2_500_000)):
            fleet = Fleet(5)
            fleet.restless, fleet.loss = False, 0.0
            fleet.change()
            for _ in range(600):
                fleet.step()
            fleet.cut["g3"] = fleet.now + cut
            turn, began = fleet.state.turn, fleet.now
            changed(fleet.state, tariffs={"items": {"fast": {"stopped": True, "further": 0.5}}})
            while fleet.state.turn < turn + 2:
                fleet.step()
            self.assertTrue(least <= fleet.now - began <= most, fleet.now - began)

    def test_all_come_back_at_once(self) -> None:
        fleet = [ActiveConfig(f"gateway-{n}", LEASE, FLOOR_LEASE, DRIFT, 300) for n in range(230)]
        body = msgspec.msgpack.encode(
            [0, 2, [encode_delta(EMPTY, parse_documents({"gateways": gateways("g1")}))]]
        )
        for me in fleet:
            me.on_connected(10**6)
            me.receive(codec.config_parts(0, 2, body)[0], 10**6)
        asked = [
            sum(me.renewal_due(10**6 + at) is not None for me in fleet) for at in range(0, LEASE, 10_000)
        ]
        seconds = [sum(asked[at : at + 10]) for at in range(len(asked) - 9)]
        self.assertLessEqual(max(seconds), 2 * 230 * 3 // 20, "in any 100 ms, twice the rate at rest")
        self.assertGreaterEqual(sum(asked), 2 * 230)

    def test_two_of_one_name(self) -> None:
        state, table = named(), LeaseTable(LEASE, FLOOR_LEASE, DRIFT)
        table.on_elected(state.counting_gateways(), 0)
        told = [
            type(table.renew("g1", 1, 2, state, True, now, life)).__name__
            for now, life in ((1, "a"), (2, "b"), (LEASE, "a"), (2 * LEASE, "b"), (4 * LEASE, "b"))
        ]
        self.assertEqual(
            ["LeaseGranted", "LeaseRefused", "LeaseGranted", "LeaseRefused", "LeaseGranted"], told
        )
        self.assertEqual(
            [("g1", 2, table._lease, 0), ("g2", -1, 0, -1)],
            list(map(tuple, table.gateway_statuses(state, 4 * LEASE))),
        )

    def broken(self, where: Any, name: str, made: Any) -> None:
        with patch.object(where, name, made), self.assertRaises(AssertionError, msg=name):
            for seed in range(12):
                fleet = Fleet(seed)
                for _ in range(6_000):
                    fleet.step()

    def test_broken_ones_are_caught(self) -> None:
        def from_arrival(me: ActiveConfig, frame: Any, now: int) -> None:
            asked = me._asked.get(getattr(frame, "number", None))
            if isinstance(frame, LeaseGranted) and asked:
                me._asked[frame.number] = (now, asked[1])
            take(me, frame, now)

        def by_timer(me: ActiveConfig, now: int) -> Mode:
            mode = mode_at(me, now)
            return Mode.LEASE if mode is Mode.FLOOR and me._until else mode

        def any_turn(
            me: LeaseTable, gateway: str, number: int, turn: int, state: ConfigState, *more: Any
        ) -> Any:
            return renew(me, gateway, number, state.turn, state, *more)

        take, mode_at, renew = ActiveConfig.receive, ActiveConfig._mode_at, LeaseTable.renew
        self.broken(LeaseTable, "renew", any_turn)
        self.broken(ActiveConfig, "receive", from_arrival)
        self.broken(ActiveConfig, "_mode_at", by_timer)
        self.broken(LeaseTable, "can_advance", lambda *_: True)
        self.broken(LeaseTable, "on_elected", lambda me, gateways, now: me._holders.clear())
        self.broken(ConfigState, "_joined", lambda me: me._pending[0].effective())
        self.broken(state_of, "gateway_divisor", lambda gateways, departed_count=0: gateway_divisor(gateways))


if __name__ == "__main__":
    unittest.main()
