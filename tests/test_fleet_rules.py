"""Fleet configuration: documents, changes, admission rules, and leases over bad links and clocks."""

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
from hypothesis import strategies as st

from cresstray.fleet_config import active_config, codec
from cresstray.fleet_config import state as state_module
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
    encode_lease_holder,
    encode_proposal,
    encode_section_command,
)
from cresstray.fleet_config.documents import (
    EMPTY,
    NAMES,
    Documents,
    FleetInventory,
    apply_delta,
    encode_delta,
    parse_documents,
    sorted_documents,
    to_plain,
)
from cresstray.fleet_config.leases import NOT_NAMED, LeaseTable
from cresstray.fleet_config.renewals import PendingRenewal, RenewalHandler
from cresstray.fleet_config.state import ConfigState
from cresstray.fleet_config.strictest import gateway_divisor, strictest
from cresstray.fleet_config.validation import validation_errors
from cresstray.observability.counters import Counters
from cresstray.policy.engine_state import EngineState
from cresstray.policy.load_signals import FleetSignals
from cresstray.policy.types import Engine, Request, RequestClass

LEASE_US, FALLBACK_LEASE_US, DRIFT, MAX_GATEWAYS = 2_000_000, 8_000_000, 0.01, 20
INVENTORY = FleetInventory(
    max_gateways=MAX_GATEWAYS,
    engines={f"s-{n}": "ab"[n % 2] for n in range(12)},
    request_classes=("fast", "slow"),
    tenants=("t0", "t1"),
)
FEW_EXAMPLES = settings(
    derandomize=True,
    database=None,
    max_examples=150,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)


def gateway_list(names: str, **fields: Any) -> dict[str, Any]:
    return {"items": {name: {} for name in names.split()}, **fields}


def with_changes(documents: Documents, **changes: Any) -> Documents:
    return parse_documents({**to_plain(documents), **changes})


def item_maps(names: str, **fields: Any) -> st.SearchStrategy:
    return st.fixed_dictionaries(
        {"items": st.dictionaries(st.sampled_from(names.split()), st.fixed_dictionaries(fields), max_size=4)}
    )


FRACTIONS = st.sampled_from([0.0, 0.25, 0.5, 1.0])
COPIES = st.lists(st.sampled_from(["s-1", "s-2", "s-3"]), unique=True, max_size=3)
DOCUMENTS = st.builds(
    lambda base, count, floor, versions: sorted_documents(
        parse_documents(
            {
                **base,
                "gateways": {**base["gateways"], "count": count, "floor": floor},
                "versions": {"gateways": 1, **versions},
            }
        )
    ),
    st.fixed_dictionaries(
        {
            "gateways": item_maps("g1 g2 g3 g4"),
            "engines": item_maps("s-1 s-2 s-3", barred=st.booleans(), work=FRACTIONS),
            "tenants": item_maps("t0 t1", barred=st.booleans(), share=FRACTIONS),
            "tariffs": item_maps("fast slow", stopped=st.booleans(), further=FRACTIONS),
            "placement": item_maps(
                "1 2",
                copies=COPIES,
                reads=COPIES,
                epoch=st.integers(0, 2),
                primary=st.sampled_from(["", "s-1", "s-2"]),
            ),
            "replicas": item_maps("p q", copies=COPIES, strict=st.booleans(), until=st.integers(1, 3)),
        }
    ),
    st.integers(0, 9),
    st.sampled_from([0, 5, 9]),
    st.dictionaries(st.sampled_from(NAMES), st.integers(1, 9)),
)


class DocumentsTest(unittest.TestCase):
    @FEW_EXAMPLES
    @given(DOCUMENTS, DOCUMENTS)
    def test_the_strictest_never_allows_what_either_forbids(self, old: Documents, new: Documents) -> None:
        merged = strictest(old, new)
        self.assertEqual(merged, strictest(new, old))
        self.assertEqual(merged, strictest(merged, merged))
        merged_with_itself = strictest(old, old)
        self.assertEqual(
            msgspec.structs.replace(old, gateways=merged_with_itself.gateways), merged_with_itself
        )
        self.assertEqual(old.gateways.items, merged_with_itself.gateways.items)
        for documents in (old, new):
            self.assertLessEqual(set(merged.gateways.items), set(documents.gateways.items))
            self.assertGreaterEqual(merged.gateways.count, gateway_divisor(documents.gateways))
            self.assertGreaterEqual(
                merged.gateways.count_without_lease or 10**9, documents.gateways.count_without_lease or 10**9
            )
            for kind, stop_field, fraction_field in (
                ("engines", "is_barred", "work_fraction"),
                ("tenants", "is_barred", "share"),
                ("tariffs", "is_stopped", "retry_budget_scale"),
            ):
                for name, rule in documents.document(kind).items.items():
                    merged_item = merged.document(kind).items[name]
                    self.assertGreaterEqual(getattr(merged_item, stop_field), getattr(rule, stop_field))
                    self.assertLessEqual(getattr(merged_item, fraction_field), getattr(rule, fraction_field))
            for name, shard in documents.placement.items.items():
                merged_item = merged.placement.items[name]
                self.assertIn(merged_item.primary, ("", shard.primary))
                self.assertLessEqual(set(merged_item.reads), set(shard.reads))
                self.assertGreaterEqual(merged_item.epoch, shard.epoch)
                self.assertTrue(not merged_item.primary or merged_item.epoch == shard.epoch)
            for pin in documents.replicas.items.values():
                self.assertTrue(not pin.is_strict or pin in merged.replicas.items.values())
        for pin in merged.replicas.items.values():
            self.assertTrue(
                pin.is_strict or all(pin in documents.replicas.items.values() for documents in (old, new))
            )

    @FEW_EXAMPLES
    @given(DOCUMENTS, DOCUMENTS)
    def test_a_delta_applied_to_the_old_documents_gives_the_new_ones(
        self, old: Documents, new: Documents
    ) -> None:
        result = apply_delta(old, encode_delta(old, new))
        self.assertEqual(new, result)
        # Also the order of the items is the same.
        self.assertEqual(msgspec.msgpack.encode(new), msgspec.msgpack.encode(result))
        self.assertEqual(b"\x90", encode_delta(new, result))
        self.assertEqual(new, parse_documents(to_plain(new) | {"versions": new.versions}))
        merged = strictest(old, new)
        self.assertEqual(merged, apply_delta(EMPTY, encode_delta(EMPTY, merged)))

    @FEW_EXAMPLES
    @given(st.binary(max_size=40), DOCUMENTS)
    def test_a_malformed_delta_is_rejected_and_changes_nothing(self, data: bytes, old: Documents) -> None:
        state = ConfigState(INVENTORY)
        before = state.snapshot()
        for entry in (data, encode_proposal("r", {}, data, "why")):
            result = decode_result(state.apply(1, entry))
            self.assertTrue(result.reasons or data == b"\x90")
        try:
            apply_delta(old, data)
        except ValueError:
            pass
        state._results.clear()
        self.assertEqual(before, state.snapshot())

    def test_an_invalid_field_of_an_operators_documents_is_named_in_the_error(self) -> None:
        for invalid, named in (
            ({"engine": {}}, "engine"),
            ({"engines": {"items": {"s-1": {"bared": True}}}}, "bared"),
            ({"tariffs": {"items": {"fast": {"further": 1.5}}}}, "further"),
            ({"gateways": {"items": {"a b": {}}}}, "gateways"),
            ({"versions": {"engine": 1}}, "engine"),
            ({"engines": {"items": []}}, "engines"),
        ):
            with self.assertRaisesRegex(ValueError, named):
                parse_documents(invalid)

    def test_all_validation_errors_are_reported_at_once(self) -> None:
        old = parse_documents(
            {
                "gateways": gateway_list("g1 g2"),
                "placement": {
                    "items": {
                        "1": {"copies": ["s-1", "s-2"], "primary": "s-1", "epoch": 4},
                        "2": {"copies": ["s-1"], "primary": "s-1", "epoch": 4},
                    }
                },
            }
        )
        new = with_changes(
            old,
            gateways=gateway_list("g1 g2 g3", count=2, floor=1),
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
        errors = validation_errors(old, new, INVENTORY)
        for text in (
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
            self.assertEqual(1, sum(text in error for error in errors), (text, errors))
        self.assertEqual(22, len(errors), errors)
        self.assertEqual([], validation_errors(old, old, INVENTORY))
        # Items that were already there are not validated again, whatever the inventory says now.
        self.assertEqual(
            [], validation_errors(new, with_changes(new, gateways=gateway_list("g1")), INVENTORY)
        )
        self.assertIn("none is named", validation_errors(old, EMPTY, INVENTORY)[0])
        too_many = with_changes(old, gateways=gateway_list("g1", count=21, floor=22))
        self.assertEqual(2, len(validation_errors(old, too_many, INVENTORY)))
        self.assertIn("19 not yet", validation_errors(old, old, INVENTORY, 19)[0])


def propose(state: ConfigState, request: str = "", **changes: Any) -> Any:
    new = with_changes(state.latest, **changes)
    return decode_result(
        state.apply(
            1,
            encode_proposal(
                request or f"r{state.version}",
                dict(state.latest.versions),
                encode_delta(state.latest, new),
                "why",
                "who",
                INVENTORY,
            ),
        )
    )


def advance(state: ConfigState, max_turns: int = 99) -> None:
    while state.pending_turn() is not None and max_turns:
        max_turns -= 1
        assert decode_result(state.apply(1, encode_advance(state.turn + 1))).is_accepted


def state_with_gateways(names: str = "g1 g2", **fields: Any) -> ConfigState:
    state = ConfigState(INVENTORY)
    assert propose(state, gateways=gateway_list(names, **fields)).is_accepted
    advance(state)
    return state


class ConfigStateTest(unittest.TestCase):
    def test_a_repeated_request_is_applied_once_and_gets_the_same_result(self) -> None:
        state = state_with_gateways()
        proposal = encode_proposal(
            "it",
            {"tariffs": 0},
            encode_delta(EMPTY, parse_documents({"tariffs": {"items": {"fast": {}}}})),
            "",
        )
        first = state.apply(2, proposal)
        self.assertEqual([first] * 3, [state.apply(n, proposal) for n in range(3)])
        restored = ConfigState(INVENTORY)
        restored.restore(state.snapshot())
        advance(state)
        advance(restored)
        self.assertEqual(first, state.apply(9, proposal))
        self.assertEqual(first, restored.apply(9, proposal))
        self.assertEqual(2, state.version)
        # A proposal with outdated bases is refused, and a retry gets the same refusal.
        other = proposal.replace(b"it", b"at", 1)
        self.assertIn("of version 0, and the latest is 2", decode_result(state.apply(10, other)).reasons[0])
        self.assertEqual(state.apply(11, other), state.apply(12, other))
        for n in range(4096):
            state.apply(n, encode_proposal(f"n{n}", {}, b"\x90", ""))
        self.assertEqual(4096, len(state._results))
        self.assertNotEqual(first, state.apply(9, proposal))

    def test_a_proposal_without_differences_needs_no_turn(self) -> None:
        state = state_with_gateways()
        self.assertTrue(propose(state, "same").is_accepted)
        self.assertIsNone(state.pending_turn())
        self.assertEqual(1, state.version)

    def test_earlier_versions_are_kept_and_can_be_restored(self) -> None:
        state = state_with_gateways()
        contents = [state.content(0), state.latest]
        for scale in (0.5, 0.25):
            propose(state, tariffs={"items": {"fast": {"further": scale}}}, engines={"items": {"s-1": {}}})
            contents.append(state.latest)
        advance(state)
        self.assertEqual(EMPTY, contents[0])
        self.assertEqual(contents, [state.content(n) for n in range(4)])
        self.assertIsNone(state.content(4))
        self.assertEqual(
            [("engines", "tariffs"), ("tariffs",)],
            [tuple(sorted(entry.documents)) for entry in state.history()[1:]],
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
            propose(state, tariffs={"items": {"fast": {"further": n / 300}}})
            advance(state)
        self.assertEqual(256, len(state.history()))
        with self.assertRaises(LookupError):
            state.revert_to(3)

    def test_a_follower_at_any_turn_gets_the_updates_to_the_latest(self) -> None:
        state, documents_at = state_with_gateways("g1 g2 g3"), {0: EMPTY}
        for n in range(150):
            propose(
                state,
                tenants={"items": {"t0": {"share": n / 150}}},
                gateways=gateway_list("g1 g2 g3" if n % 2 else "g1 g2"),
            )
            advance(state, 1)
            documents_at[state.turn] = state.effective
            advance(state, 1)
            documents_at[state.turn] = state.effective
        self.assertEqual(302, state.turn)
        for turn, documents in documents_at.items():
            updates = active_config._decode_updates(state.updates_since(turn)) if turn < state.turn else None
            if updates is None:
                self.assertEqual(b"", state.updates_since(turn))
                continue
            self.assertEqual(turn if 302 - turn <= 256 else 0, updates.base)
            for delta in updates.deltas:
                documents = apply_delta(documents if updates.base else EMPTY, delta)
            self.assertEqual((302, state.effective), (updates.turn, documents))
        self.assertEqual(b"", state.updates_since(303))

    def test_a_sections_commands_are_applied_once_and_its_state_is_restored(self) -> None:
        class RecordingSection:
            def __init__(self) -> None:
                self.commands: list[bytes] = []

            def apply(self, state: ConfigState, data: bytes) -> bytes:
                self.commands.append(data)
                return b"%d %d" % (state.turn, len(self.commands))

            def snapshot(self) -> bytes:
                return b" ".join(self.commands)

            def restore(self, data: bytes) -> None:
                self.commands = data.split()

        state, restored = (
            ConfigState(INVENTORY, {"moves": RecordingSection()}),
            ConfigState(INVENTORY, {"moves": RecordingSection()}),
        )
        for request in ("a", "a", "b", "", ""):
            state.apply(1, encode_section_command("moves", request, request.encode() or b"c"))
        self.assertEqual([b"a", b"b", b"c", b"c"], state.sections["moves"].commands)
        restored.restore(state.snapshot())
        self.assertEqual(state.snapshot(), restored.snapshot())
        self.assertEqual(b"0 1", restored.apply(1, encode_section_command("moves", "a", b"a")))
        self.assertFalse(decode_result(state.apply(1, encode_section_command("none", "x", b""))).is_accepted)
        for invalid in (b"", b"\x90", state.snapshot()):
            with self.assertRaises(ValueError):
                ConfigState(INVENTORY).restore(invalid)

    def test_a_removed_gateway_counts_until_it_is_known_to_have_stopped(self) -> None:
        state = state_with_gateways("g1 g2 g3")
        propose(state, gateways=gateway_list("g1 g2"))
        self.assertEqual(frozenset(), state.departed_gateways)
        advance(state, 1)
        self.assertEqual(
            (3, ["g1", "g2"]), (state.effective.gateways.count, list(state.effective.gateways.items))
        )
        advance(state)
        self.assertEqual((3, {"g3"}), (state.effective.gateways.count, state.departed_gateways))
        self.assertEqual({"g1", "g2", "g3"}, state.counting_gateways())
        self.assertIn(
            "not yet known to be out",
            propose(state, gateways=gateway_list(" ".join(f"h{n}" for n in range(18)))).reasons[0],
        )
        self.assertFalse(decode_result(state.apply(1, encode_departed("g1"))).is_accepted)
        self.assertTrue(decode_result(state.apply(1, encode_departed("g3"))).is_accepted)
        self.assertFalse(decode_result(state.apply(1, encode_departed("g3"))).is_accepted)
        restored = ConfigState(INVENTORY)
        restored.restore(state.snapshot())
        for replica in (state, restored):
            advance(replica)
            self.assertEqual((2, frozenset()), (replica.effective.gateways.count, replica.departed_gateways))
        # A removed gateway that is named again before it stopped is no longer departed.
        propose(state, gateways=gateway_list("g1"))
        propose(state, gateways=gateway_list("g1 g2"))
        advance(state)
        self.assertEqual((2, frozenset()), (state.effective.gateways.count, state.departed_gateways))


class FramesTest(unittest.TestCase):
    def test_frames_are_decoded_as_encoded_and_their_limits_hold(self) -> None:
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
        self.assertEqual(list(range(48, 59)), [frame.kind for frame in codec.KINDS])
        data = b"".join(map(codec.encode_frame, frames))
        decoder, decoded = codec.FrameDecoder(codec.KINDS), []
        for start in range(0, len(data), 7):
            decoded += decoder.feed(data[start : start + 7])
        self.assertEqual(frames, decoded)
        for invalid in (
            RenewLease(-1, 2),
            LeaseGranted(2**60, 2),
            ConfigPart(0, 2, 0, 129, b""),
            ConfigPart(0, 2, 0, 1, b"x" * 131_073),
            codec.ReplicaPositions(b"w" * 32_769),
            codec.Greeting("m" * 129, 1, "", "", "", ""),
        ):
            with self.assertRaises(FramingError):
                codec.FrameDecoder(codec.KINDS).feed(codec.encode_frame(invalid))
        body = random.Random(1).randbytes(300_000)
        self.assertEqual([3, 3, 3], [part.part_count for part in codec.config_parts(0, 2, body)])
        with self.assertRaises(ValueError):
            codec.split_into_parts(b"x" * (codec.MAX_PART_BYTES * codec.MAX_PARTS + 1))


TABLES = tomllib.loads((Path(__file__).parent / "conformance/rules.toml").read_text())


class StateTablesTest(unittest.TestCase):
    """Checks each row of tests/conformance/rules.toml: a state, an event and the required result."""

    def config_part(self, turn: int, names: str, base: int = 0, floor: int = 6) -> ConfigPart:
        documents = parse_documents(
            {"gateways": gateway_list(names, count=4, floor=floor), "versions": {"gateways": 1}}
        )
        # A delta from a later base needs to name only the changed items, so this one fits any base.
        delta = encode_delta(EMPTY, documents)
        body = msgspec.msgpack.encode([base, turn, [delta]])
        return codec.config_parts(base, turn, body)[0]

    def config_in_state(self, state: str) -> tuple[ActiveConfig, int]:
        config, now_us = (
            ActiveConfig(
                "g1",
                LEASE_US,
                FALLBACK_LEASE_US,
                DRIFT,
                MAX_GATEWAYS,
                requires_list=state == "waits",
                incarnation="a",
            ),
            1_000_000,
        )
        if state in ("new", "waits"):
            return config, now_us
        config.receive(self.config_part(4, "g1 g2" if state != "not named" else "g2"), now_us)
        renewal = config.renewal_due(now_us)
        if state in ("lease", "floor", "most"):
            config.receive(LeaseGranted(renewal.number, 4), now_us + 1000)
            now_us += {"lease": 1000, "floor": LEASE_US, "most": FALLBACK_LEASE_US}[state]
        elif state == "refused":
            config.receive(LeaseRefused(renewal.number, 5, NOT_NAMED), now_us)
        return config, now_us

    def describe(self, config: ActiveConfig, now_us: int) -> str:
        effective = config.effective_at(now_us)
        return f"{effective.mode.value} {effective.gateway_count} {config.turn}"

    def events(self, config: ActiveConfig, number: int, now_us: int) -> dict[str, Callable[[], Any]]:
        return {
            "nothing": lambda: None,
            "granted": lambda: config.receive(LeaseGranted(number, config.turn), now_us),
            "granted late": lambda: config.receive(LeaseGranted(number, config.turn), now_us + LEASE_US),
            "granted at another turn": lambda: config.receive(LeaseGranted(number, config.turn + 2), now_us),
            "granted unasked": lambda: config.receive(LeaseGranted(number + 7, config.turn), now_us),
            "behind": lambda: config.receive(LeaseBehind(number, config.turn + 1), now_us),
            "refused": lambda: config.receive(LeaseRefused(number, config.turn, "no leader"), now_us),
            "refused not named": lambda: config.receive(
                LeaseRefused(number, config.turn + 1, NOT_NAMED), now_us
            ),
            "refused not named of old": lambda: config.receive(
                LeaseRefused(number, config.turn - 1, NOT_NAMED), now_us
            ),
            "content": lambda: config.receive(self.config_part(6, "g1 g2"), now_us),
            "content of old": lambda: config.receive(self.config_part(3, "g2"), now_us),
            "content without it": lambda: config.receive(self.config_part(6, "g2"), now_us),
            "content of another base": lambda: config.receive(self.config_part(6, "g2", base=5), now_us),
            "a lease later": lambda: None,
            "a floor lease later": lambda: None,
        }

    def test_each_event_leads_a_gateway_to_the_required_mode_and_divisor(self) -> None:
        states, checked = {row["given"] for row in TABLES["use"]}, set()
        delays_us = {
            "granted late": LEASE_US,
            "a lease later": LEASE_US,
            "a floor lease later": FALLBACK_LEASE_US,
        }
        for row in TABLES["use"]:
            with self.subTest(row):
                config, now_us = self.config_in_state(row["given"])
                config.due_us = now_us
                events = self.events(config, config.renewal_due(now_us).number, now_us)
                events[row["event"]]()
                self.assertEqual(
                    row["must"], self.describe(config, now_us + delays_us.get(row["event"], 0)), row
                )
                checked.add((row["given"], row["event"]))
        self.assertEqual(len(TABLES["use"]), len(checked))
        self.assertEqual({(state, event) for state in states for event in events}, checked)

    def apply_event(self, state: ConfigState, event: str) -> None:
        {
            "next turn": lambda: state.apply(1, encode_advance(state.turn + 1)),
            "the same turn": lambda: state.apply(1, encode_advance(state.turn)),
            "a turn too far": lambda: state.apply(1, encode_advance(state.turn + 2)),
            "proposed": lambda: propose(state, tariffs={"items": {"fast": {"further": 0.5}}}),
            "proposed again": lambda: propose(state, f"r{max(1, state.version - 1)}"),
            "gone": lambda: state.apply(1, encode_departed("g3")),
            "dump and restore": lambda: state.restore(state.snapshot()),
            "unreadable": lambda: state.apply(1, b"\xc1"),
        }[event]()

    def test_each_event_leads_a_change_to_the_required_turn_and_count(self) -> None:
        for row in TABLES["change"]:
            with self.subTest(row):
                state = state_with_gateways("g1 g2 g3")
                if row["given"] != "none":
                    propose(state, gateways=gateway_list("g1 g2"))
                    advance(state, {"proposed": 0, "joint": 1, "in force": 2}[row["given"]])
                before, event = state.snapshot(), row["event"]
                self.apply_event(state, event)
                pending_count = len(state.pending_versions())
                self.assertEqual(
                    row["must"], f"{state.turn} {state.effective.gateways.count} {pending_count}", row
                )
                self.assertEqual(row.get("same", False), before == state.snapshot(), row)
        checked = [(row["given"], row["event"]) for row in TABLES["change"]]
        self.assertEqual(4 * 8, len(set(checked)))
        self.assertEqual(len(checked), len(set(checked)))

    def test_each_renewal_gets_the_required_reply_and_turns_wait_for_leases(self) -> None:
        for row in TABLES["leases"]:
            with self.subTest(row):
                state, now_us = state_with_gateways("g1 g2 g3", floor=5), 10_000_000
                table = LeaseTable(LEASE_US, FALLBACK_LEASE_US, DRIFT)
                table.on_elected(state.counting_gateways(), now_us)
                changes = {
                    "none": {},
                    "joint": {"tariffs": {"items": {"fast": {"further": 0.5}}}},
                    "floor joint": {"gateways": gateway_list("g1 g2 g3", floor=6)},
                    "removing": {"gateways": gateway_list("g1 g2", floor=5)},
                    "removed": {"gateways": gateway_list("g1 g2", floor=5)},
                }[row["given"]]
                if changes:
                    propose(state, **changes)
                    advance(state, 2 if row["given"] == "removed" else 1)
                for name in ("g1", "g2"):
                    table.renew(name, 1, state.turn, state, True, now_us)
                turn = state.turn + row.get("turn", 0)
                if row["event"] == "renews":
                    frame = table.renew(
                        "g3", 1, turn, state, row.get("leads", True), now_us, "", row.get("stopped", False)
                    )
                    reply = f"{type(frame).__name__} {getattr(frame, 'reason', '')}".strip()
                    self.assertEqual(row["answer"], reply)
                delays_us = {
                    "a lease later": LEASE_US * 102 // 100,
                    "a floor lease later": FALLBACK_LEASE_US * 102 // 100,
                }
                now_us += delays_us.get(row["event"], 0)
                self.assertEqual(row["may"], table.can_advance(state, now_us), row)
                self.assertEqual(row.get("out", False), table.has_departed("g3", state), row)
                self.assertEqual([] if row["may"] else ["g3"], table.blocking_gateways(state, now_us))


class LeaseHolderTest(unittest.TestCase):
    """Processes with one gateway's name, and leaders that follow one another."""

    def setUp(self) -> None:
        self.now_us = 10_000_000
        self.state = state_with_gateways("g1 g2")
        self.proposals: list[tuple[bytes, Any]] = []
        self.replies: list[str] = []
        self.elect()

    def elect(self) -> None:
        """A new leader, which knows what is committed."""
        leases = LeaseTable(LEASE_US, FALLBACK_LEASE_US, DRIFT)
        leases.on_elected(self.state.counting_gateways(), self.now_us)
        self.handler = RenewalHandler(leases, self.state, self.propose)

    def propose(self, data: bytes, callback: Any) -> bool:
        self.proposals.append((data, callback))
        return True

    def commit(self) -> None:
        data, callback = self.proposals.pop(0)
        callback(self.state.apply(0, data))
        self.handler.answer(True, True, self.now_us)

    def renew(self, incarnation: str) -> None:
        def reply(frame: Any) -> None:
            self.replies.append(
                f"{incarnation} {type(frame).__name__} {getattr(frame, 'reason', '')}".strip()
            )

        frame = RenewLease(1, self.state.turn, incarnation)
        self.handler.add(PendingRenewal(reply, "g1", frame))
        self.handler.answer(True, True, self.now_us)

    def assert_replies(self, *replies: str) -> None:
        self.assertEqual(list(replies), self.replies)
        self.replies.clear()

    def test_new_leader_grants_no_lease_beside_one_that_an_earlier_leader_granted(self) -> None:
        """Guards against two processes of one name with a lease after a change of the leader."""
        self.renew("first")
        self.assert_replies()  # until it is recorded
        self.commit()
        self.assert_replies("first LeaseGranted")
        self.elect()
        self.renew("second")
        self.assert_replies("second LeaseRefused another of that name has a lease")
        self.renew("first")
        self.assert_replies("first LeaseGranted")
        self.now_us += LEASE_US * 102 // 100
        self.elect()
        self.now_us += LEASE_US * 102 // 100
        self.renew("second")
        self.commit()
        self.renew("first")
        self.assert_replies("second LeaseGranted", "first LeaseRefused another of that name has a lease")

    def test_no_process_of_a_name_is_granted_a_lease_while_another_is_recorded(self) -> None:
        self.renew("first")
        self.renew("second")
        self.assert_replies("second LeaseRefused the holder of its lease is being recorded")
        _, callback = self.proposals.pop()
        callback(None)
        self.assert_replies("first LeaseRefused no leader")
        self.renew("second")
        self.commit()
        self.assert_replies("second LeaseGranted")

    def test_snapshot_has_the_holders_of_counted_gateways_and_earlier_builds_read_it(self) -> None:
        for name in ("g1", "g2", "unknown"):
            self.state.apply(0, encode_lease_holder(name, f"process of {name}"))
        expected = {"g1": "process of g1", "g2": "process of g2"}
        self.assertEqual(expected, self.state.lease_holders)
        snapshot = self.state.snapshot()
        msgspec.msgpack.decode(snapshot, type=state_module._Snapshot)  # as earlier builds do
        restored = ConfigState(INVENTORY)
        restored.restore(snapshot)
        self.assertEqual((expected, snapshot), (restored.lease_holders, restored.snapshot()))
        propose(self.state, gateways=gateway_list("g1"))
        advance(self.state, 2)
        self.state.apply(0, encode_departed("g2"))
        advance(self.state, 2)
        self.assertEqual({"g1": "process of g1"}, self.state.lease_holders)


class ConfigAdmissionRulesTest(unittest.TestCase):
    """What the admission rules answer for the configuration in effect."""

    def setUp(self) -> None:
        self.now_us = 5_000_000
        self.active_config = ActiveConfig("g1", LEASE_US, FALLBACK_LEASE_US, DRIFT, MAX_GATEWAYS)
        self.counters = Counters()
        self.rules = ConfigAdmissionRules(
            self.active_config,
            INVENTORY.tenants,
            INVENTORY.request_classes,
            lambda engine: f"s-{engine.instance_type}",
            self.counters,
        )
        self.engines = [Engine(instance_type=n) for n in range(4)]
        for engine in self.engines:
            engine.policy_state = EngineState(8, 4, FleetSignals())

    def receive(self, turn: int, lease: bool = True, **changes: Any) -> None:
        documents = parse_documents(
            {"gateways": gateway_list("g1 g2 g3 g4", floor=9), "versions": {"gateways": 1}, **changes}
        )
        body = msgspec.msgpack.encode([0, turn, [encode_delta(EMPTY, documents)]])
        self.active_config.receive(codec.config_parts(0, turn, body)[0], self.now_us)
        self.now_us += LEASE_US // 2
        renewal = self.active_config.renewal_due(self.now_us)
        if lease:
            self.active_config.receive(LeaseGranted(renewal.number, turn), self.now_us)

    def request(
        self, tenant: int = 0, request_class: int = 0, data_set: int = 0, threads: int = 1, read: Any = None
    ) -> Request:
        class_of_request = RequestClass(
            request_class, threads, 10**6, 0.0, 1.0, 0.0, True, False, "all", 0, False, None, None
        )
        request = Request(
            class_of_request,
            self.now_us,
            self.now_us + 10**7,
            tenant,
            data_set=data_set,
            expected_latency_us=100_000,
        )
        request.replica_read = read
        return request

    def allowed_engines(self, request: Request) -> str:
        return "".join(
            str(engine.instance_type)
            for engine in self.engines
            if self.rules.allows(request, engine, self.now_us)
        )

    def test_attempt_that_waited_keeps_its_capacity_and_no_engine_that_lost_the_shard(self) -> None:
        """Guards against a late write to a former primary, and against an attempt that is in its own way."""
        self.receive(2, engines={"items": {"s-1": {"work": 0.1}}})
        request = self.request(threads=8)
        self.engines[1].policy_state.limit.running_threads = 8
        self.assertFalse(self.rules.allows(request, self.engines[1], self.now_us))
        self.assertTrue(self.rules.still_allows(request, self.engines[1], self.now_us))
        shard = {"primary": "s-1", "epoch": 1}
        self.receive(3, placement={"items": {"17": shard}})
        write = self.request(data_set=17)
        self.assertTrue(self.rules.still_allows(write, self.engines[1], self.now_us))
        self.receive(4, placement={"items": {"17": {**shard, "primary": "s-2", "epoch": 2}}})
        self.assertFalse(self.rules.still_allows(write, self.engines[1], self.now_us))
        self.receive(5, lease=False, placement={"items": {"17": {**shard, "primary": "s-2", "epoch": 2}}})
        self.now_us += 10 * LEASE_US
        self.assertFalse(self.rules.still_allows(write, self.engines[2], self.now_us))

    def test_stopped_classes_and_barred_tenants_and_engines_get_no_requests(self) -> None:
        self.assertEqual(
            (20, True),
            (self.rules.gateway_count(self.now_us), self.rules.admits(self.request(), self.now_us)),
        )
        self.receive(
            2,
            tariffs={"items": {"slow": {"stopped": True}, "fast": {"further": 0.5}}},
            tenants={"items": {"t1": {"barred": True}}},
            engines={"items": {"s-2": {"barred": True}}},
        )
        request = self.request()
        self.assertEqual((4, "013"), (self.rules.gateway_count(self.now_us), self.allowed_engines(request)))
        self.assertEqual(
            (True, 0.5),
            (self.rules.admits(request, self.now_us), self.rules.retry_budget_scale(request, self.now_us)),
        )
        for denied in (self.request(request_class=1), self.request(tenant=1)):
            self.assertEqual(
                (False, ""), (self.rules.admits(denied, self.now_us), self.allowed_engines(denied))
            )
        # There is no rule for this tenant and class.
        self.assertTrue(self.rules.admits(self.request(tenant=7, request_class=7), self.now_us))
        # Without a lease, the count without a lease applies, and the rules as last known.
        self.now_us += LEASE_US
        self.assertEqual((9, "013"), (self.rules.gateway_count(self.now_us), self.allowed_engines(request)))
        self.receive(4, gateways=gateway_list("g2"))
        self.assertEqual((0, ""), (self.rules.gateway_count(self.now_us), self.allowed_engines(request)))
        self.assertFalse(self.rules.admits(request, self.now_us))
        self.assertEqual(0.0, self.rules.retry_budget_scale(request, self.now_us))
        self.assertEqual(
            {
                "rules: denied, tariff stopped": 1,
                "rules: denied, tenant barred": 1,
                "rules: denied, this gateway is not named": 1,
            },
            dict(self.counters.counts),
        )

    def test_requests_of_a_placed_shard_go_to_its_replicas_only_while_there_is_a_lease(self) -> None:
        class FakeReplicaRead:
            def admits(self, now_us: int) -> bool:
                return True

            def may_run_on(self, engine: str, now_us: int) -> bool:
                return engine != "s-0"

        self.receive(
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
        write, read, other = (
            self.request(data_set=7),
            self.request(data_set=7, read=FakeReplicaRead()),
            self.request(data_set=9),
        )
        self.assertEqual(
            ("1", "12", "0123", ""),
            (
                *map(self.allowed_engines, (write, read, other)),
                self.allowed_engines(self.request(data_set=8)),
            ),
        )
        self.now_us += LEASE_US
        self.assertEqual(("", "", "0123"), tuple(map(self.allowed_engines, (write, read, other))))
        admitted = [self.rules.admits(request, self.now_us) for request in (write, read, other)]
        self.assertEqual([False, False, True], admitted)

    def test_a_tenant_gets_its_share_and_no_more(self) -> None:
        self.receive(2, tenants={"items": {"t0": {"share": 0.25}, "t1": {"share": 0.0}}})
        admitted = [
            self.rules.admits(self.request(tenant=n % 3 and 2), self.now_us + n * 1000) for n in range(900)
        ]
        self.assertAlmostEqual(0.25, sum(admitted[0::3]) / sum(admitted), delta=0.02)
        self.assertEqual(600, sum(admitted[1::3] + admitted[2::3]))
        self.assertFalse(self.rules.admits(self.request(tenant=1), self.now_us + 900_000))
        # The only active tenant gets a few requests admitted, and again after these have left the window.
        self.now_us += 20_000_000
        self.assertEqual(
            [10, 10],
            [
                sum(self.rules.admits(self.request(), self.now_us + delay_us + n) for n in range(50))
                for delay_us in (0, 6_000_000)
            ],
        )

    def test_all_gateways_together_keep_to_an_engines_work_fraction(self) -> None:
        # 64 gateways, 8 cores: a work fraction of 0.25 of 16 threads is 4, so four gateways may run one each.
        names = " ".join(f"g{n}" for n in range(64))
        threads_by_total: dict[int, int] = {}
        for threads, cores, work in ((1, 8, 0.25), (3, 8, 0.25), (1, 640, 0.25), (1, 8, 0.0), (9, 8, 0.01)):
            total_threads = 0
            for n in range(64):
                config = ActiveConfig(f"g{n}", LEASE_US, FALLBACK_LEASE_US, DRIFT, 99)
                documents = parse_documents(
                    {
                        "gateways": gateway_list(names),
                        "versions": {"gateways": 1},
                        "engines": {"items": {"s-1": {"work": work}}},
                    }
                )
                body = msgspec.msgpack.encode([0, 2, [encode_delta(EMPTY, documents)]])
                config.receive(codec.config_parts(0, 2, body)[0], 1)
                config.receive(LeaseGranted(config.renewal_due(1).number, 2), 1)
                rules = ConfigAdmissionRules(config, (), (), lambda engine: f"s-{engine.instance_type}")
                engine, request = self.engines[1], self.request(threads=threads)
                engine.policy_state = EngineState(cores, 64, FleetSignals())
                while rules.allows(request, engine, 2):
                    engine.policy_state.limit.running_threads += threads
                total_threads += engine.policy_state.limit.running_threads
            threads_by_total[total_threads] = threads
        self.assertEqual({4: 1, 3: 3, 320: 1, 0: 1, 9: 9}, threads_by_total)


class SimulatedFleet:
    """A log, a leader whose lease table is lost now and then, and gateways behind lossy, slow links."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.names = [f"g{n}" for n in range(6)]
        self.now_us, self.scheduled, self.sequence_number = 50_000_000, [], 0
        self.state, self.table = ConfigState(INVENTORY), LeaseTable(LEASE_US, FALLBACK_LEASE_US, DRIFT)
        self.leader_from_us = 0
        self.configs = {
            name: ActiveConfig(name, LEASE_US, FALLBACK_LEASE_US, DRIFT, MAX_GATEWAYS) for name in self.names
        }
        # Each clock has its own start and a rate error of at most the assumed drift.
        self.clocks = {name: self.draw_clock() for name in (*self.names, "leader")}
        self.frozen_until_us = dict.fromkeys(self.names, 0)
        self.cut_off_until_us = dict.fromkeys(self.names, 0)
        self.loss, self.turns_taken, self.mode_counts = (
            0.1,
            0,
            {Mode.LEASE: 0, Mode.FALLBACK: 0, Mode.STOPPED: 0},
        )
        self.has_gateway_list = False
        self.proposed_count = self.accepted_count = self.epoch = 0
        self.injects_faults = True

    def draw_clock(self) -> tuple[int, float]:
        return self.random.randrange(10**9), 1 + self.random.uniform(-DRIFT, DRIFT) * 0.99

    def elect_leader(self) -> None:
        self.table.on_elected(self.state.counting_gateways(), self.clock_us("leader"))

    def clock_us(self, name: str) -> int:
        start, rate = self.clocks[name]
        return start + int(self.now_us * rate)

    def call_later(self, delay_us: float, call: Callable[[], None]) -> None:
        self.sequence_number += 1
        heapq.heappush(self.scheduled, (self.now_us + int(delay_us), self.sequence_number, call))

    def send(self, name: str, call: Callable[[], None]) -> None:
        if self.now_us >= self.cut_off_until_us[name] and self.random.random() > self.loss:
            # Now and then a frame is delayed for longer than any lease.
            extra_delay_us = self.random.randrange(4_000_000) if self.random.random() < 0.03 else 0
            self.call_later(
                extra_delay_us + self.random.expovariate(1 / 30_000), lambda: self.deliver(name, call)
            )

    def deliver(self, name: str, call: Callable[[], None]) -> None:
        # A frozen gateway reads the frame when it resumes.
        if self.now_us < self.frozen_until_us[name]:
            self.call_later(self.frozen_until_us[name] - self.now_us, lambda: self.deliver(name, call))
        elif self.now_us >= self.cut_off_until_us[name]:
            call()

    def step(self) -> None:
        self.now_us += 10_000
        while self.scheduled and self.scheduled[0][0] <= self.now_us:
            heapq.heappop(self.scheduled)[2]()
        for name, config in self.configs.items():
            if self.now_us < self.frozen_until_us[name]:
                continue
            renewal = config.renewal_due(self.clock_us(name))
            if renewal is not None:
                self.send(name, lambda name=name, renewal=renewal: self.renew(name, renewal))
            if config.turn < self.state.turn and self.random.random() < 0.2:
                turn, updates = self.state.turn, self.state.updates_since(config.turn)
                for frame in codec.config_parts(active_config._decode_updates(updates).base, turn, updates):
                    self.send(name, lambda config=config, frame=frame: self.receive(config, frame))
        if self.now_us >= self.leader_from_us and self.state.pending_turn() is not None:
            if self.table.can_advance(self.state, self.clock_us("leader")):
                self.state.apply(1, encode_advance(self.state.turn + 1))
                self.turns_taken += 1
        if self.injects_faults:
            self.inject_fault()
        self.check_invariants()

    def receive(self, config: ActiveConfig, frame: Any) -> None:
        config.receive(frame, self.clock_us(config.name))

    def renew(self, name: str, renewal: RenewLease) -> None:
        is_leader = self.now_us >= self.leader_from_us
        reply = self.table.renew(
            name,
            renewal.number,
            renewal.turn,
            self.state,
            is_leader,
            self.clock_us("leader"),
            renewal.incarnation,
            renewal.has_stopped,
        )
        if is_leader and self.table.has_departed(name, self.state):
            self.state.apply(1, encode_departed(name))
        self.send(name, lambda: self.receive(self.configs[name], reply))

    def inject_fault(self) -> None:
        roll, name = self.random.random(), self.random.choice(self.names)
        if roll < 0.002:
            self.frozen_until_us[name] = self.now_us + self.random.randrange(15_000_000)
        elif roll < 0.004:
            self.cut_off_until_us[name] = self.now_us + self.random.randrange(20_000_000)
        elif roll < 0.005:
            # The leader fails; the next one starts with an empty lease table and has another clock.
            self.leader_from_us = self.now_us + self.random.randrange(3_000_000)
            self.clocks["leader"] = self.draw_clock()
            self.call_later(self.leader_from_us - self.now_us, self.elect_leader)
        elif roll < 0.007:
            # A gateway that was removed from the list sends nothing after a restart until it has a list.
            requires_list = self.has_gateway_list and name not in self.state.counting_gateways()
            self.configs[name] = ActiveConfig(
                name, LEASE_US, FALLBACK_LEASE_US, DRIFT, MAX_GATEWAYS, requires_list, f"{self.now_us}"
            )
        elif roll < 0.02:
            self.propose_change()

    def propose_change(self) -> None:
        self.proposed_count += 1
        names = (
            self.names
            if not self.has_gateway_list
            else self.random.sample(self.names, self.random.randint(1, 6))
        )
        # The count without a lease is as low as allowed: a disconnected gateway takes its largest share.
        min_count = max(len(names), self.random.choice([0, 0, 7]))
        changes = {
            "gateways": gateway_list(
                " ".join(sorted(names)),
                count=self.random.choice([0, min_count]),
                floor=self.random.choice([0, min_count, min_count, 12]),
            )
        }
        # Switches the primary of a shard, and stops or starts a request class.
        self.epoch += 1
        engine_id = f"s-{self.epoch % 3}"
        changes |= {
            "placement": {"items": {"1": {"copies": [engine_id], "primary": engine_id, "epoch": self.epoch}}},
            "tariffs": {"items": {"fast": {"stopped": self.random.random() < 0.5}}},
        }
        if propose(self.state, f"c{self.proposed_count}", **changes).is_accepted:
            self.accepted_count += 1
            self.has_gateway_list = True

    def check_invariants(self) -> None:
        """Checks what each running gateway would act on now, by its own clock."""
        effective = {
            name: config.effective_at(self.clock_us(name))
            for name, config in self.configs.items()
            if self.now_us >= self.frozen_until_us[name]
        }
        turns = [config.turn for config in effective.values() if config.mode is Mode.LEASE]
        assert not turns or max(turns) - min(turns) <= 1, (self.now_us, effective)
        shares = sum(1 / config.gateway_count for config in effective.values() if config.gateway_count)
        assert shares <= 1 + 1e-9, (
            self.now_us,
            {name: config[:3] for name, config in effective.items()},
            self.state.turn,
        )
        # No two gateways may write a shard to different engines, and none may run a class that is stopped.
        leased = [config.documents for config in effective.values() if config.mode is Mode.LEASE]
        shards = [documents.placement.items["1"] for documents in leased]
        assert len({(shard.primary, shard.epoch) for shard in shards if shard.primary}) <= 1, (
            self.now_us,
            shards,
        )
        rule = self.state._in_force.documents.request_classes.items.get("fast")
        assert not (rule and rule.is_stopped) or all(
            documents.request_classes.items["fast"].is_stopped for documents in leased
        )
        for config in effective.values():
            self.mode_counts[config.mode] += 1


class SimulatedFleetTest(unittest.TestCase):
    def test_turns_and_shares_stay_consistent_under_faults(self) -> None:
        turns_taken, mode_counts = 0, dict.fromkeys(Mode, 0)
        for seed in range(12):
            fleet = SimulatedFleet(seed)
            for _ in range(6_000):
                fleet.step()
            turns_taken += fleet.turns_taken
            for mode, count in fleet.mode_counts.items():
                mode_counts[mode] += count
        # Turns were taken, and each mode occurred often enough for the checks to mean something.
        self.assertGreater(turns_taken, 150)
        self.assertGreater(min(mode_counts.values()), 5_000, mode_counts)

    def raise_count_without_lease(self) -> tuple[int, int]:
        """Cuts off one of two gateways and adds four more.

        Returns the time until the next turn is taken, in microseconds, and the divisor of the one cut off.
        """
        fleet = SimulatedFleet(3)
        fleet.injects_faults, fleet.loss = False, 0.0
        propose(
            fleet.state,
            gateways=gateway_list("g0 g1", floor=2),
            tariffs={"items": {"fast": {}}},
            placement={"items": {"1": {"copies": ["s-1"]}}},
        )
        for _ in range(500):
            fleet.step()
        self.assertEqual(
            (2, [Mode.LEASE] * 2),
            (
                fleet.state.turn,
                [fleet.configs[name].effective_at(fleet.clock_us(name)).mode for name in ("g0", "g1")],
            ),
        )
        fleet.cut_off_until_us["g0"] = fleet.now_us + 20_000_000
        propose(fleet.state, gateways=gateway_list("g0 g1 g2 g3 g4 g5", floor=6))
        taken_us = 0
        for step in range(1200):
            fleet.step()
            taken_us = taken_us or (fleet.state.turn == 4) * (step + 1) * 10_000
        return taken_us, fleet.configs["g0"].effective_at(fleet.clock_us("g0")).gateway_count

    def test_a_higher_count_without_lease_waits_until_the_old_one_has_expired(self) -> None:
        taken_us, gateway_count = self.raise_count_without_lease()
        self.assertEqual(MAX_GATEWAYS, gateway_count)
        self.assertTrue(0.75 * FALLBACK_LEASE_US < taken_us < 1.05 * FALLBACK_LEASE_US, taken_us)
        with (
            patch.object(ConfigState, "changes_count_without_lease", lambda _: False),
            self.assertRaises(AssertionError),
        ):
            self.raise_count_without_lease()

    def test_a_disconnected_gateway_delays_a_change_by_a_lease(self) -> None:
        for outage_us, min_us, max_us in ((0, 0, 300_000), (20_000_000, LEASE_US // 2, 2_500_000)):
            fleet = SimulatedFleet(5)
            fleet.injects_faults, fleet.loss = False, 0.0
            fleet.propose_change()
            for _ in range(600):
                fleet.step()
            fleet.cut_off_until_us["g3"] = fleet.now_us + outage_us
            turn, started_us = fleet.state.turn, fleet.now_us
            propose(fleet.state, tariffs={"items": {"fast": {"stopped": True, "further": 0.5}}})
            while fleet.state.turn < turn + 2:
                fleet.step()
            self.assertTrue(min_us <= fleet.now_us - started_us <= max_us, fleet.now_us - started_us)

    def test_renewals_are_spread_when_all_gateways_reconnect_at_once(self) -> None:
        configs = [ActiveConfig(f"gateway-{n}", LEASE_US, FALLBACK_LEASE_US, DRIFT, 300) for n in range(230)]
        body = msgspec.msgpack.encode(
            [0, 2, [encode_delta(EMPTY, parse_documents({"gateways": gateway_list("g1")}))]]
        )
        for config in configs:
            config.on_connected(10**6)
            config.receive(codec.config_parts(0, 2, body)[0], 10**6)
        renewal_counts = [
            sum(config.renewal_due(10**6 + delay_us) is not None for config in configs)
            for delay_us in range(0, LEASE_US, 10_000)
        ]
        sums_per_100_ms = [
            sum(renewal_counts[start : start + 10]) for start in range(len(renewal_counts) - 9)
        ]
        self.assertLessEqual(max(sums_per_100_ms), 2 * 230 * 3 // 20, "in any 100 ms, twice the rate at rest")
        self.assertGreaterEqual(sum(renewal_counts), 2 * 230)

    def test_a_second_process_of_one_name_gets_no_lease_until_the_first_has_expired(self) -> None:
        state, table = state_with_gateways(), LeaseTable(LEASE_US, FALLBACK_LEASE_US, DRIFT)
        table.on_elected(state.counting_gateways(), 0)
        replies = [
            type(table.renew("g1", 1, 2, state, True, now_us, incarnation)).__name__
            for now_us, incarnation in (
                (1, "a"),
                (2, "b"),
                (LEASE_US, "a"),
                (2 * LEASE_US, "b"),
                (4 * LEASE_US, "b"),
            )
        ]
        self.assertEqual(
            ["LeaseGranted", "LeaseRefused", "LeaseGranted", "LeaseRefused", "LeaseGranted"], replies
        )
        self.assertEqual(
            [("g1", 2, table._lease_us, 0), ("g2", -1, 0, -1)],
            list(map(tuple, table.gateway_statuses(state, 4 * LEASE_US))),
        )

    def assert_detected(self, target: Any, name: str, replacement: Any) -> None:
        with patch.object(target, name, replacement), self.assertRaises(AssertionError, msg=name):
            for seed in range(12):
                fleet = SimulatedFleet(seed)
                for _ in range(6_000):
                    fleet.step()

    def test_broken_variants_are_detected(self) -> None:
        def count_lease_from_arrival(config: ActiveConfig, frame: Any, now_us: int) -> None:
            renewal = config._pending_renewals.get(getattr(frame, "number", None))
            if isinstance(frame, LeaseGranted) and renewal:
                config._pending_renewals[frame.number] = (now_us, renewal[1])
            receive(config, frame, now_us)

        def ignore_expiry(config: ActiveConfig, now_us: int) -> Mode:
            mode = mode_at(config, now_us)
            return Mode.LEASE if mode is Mode.FALLBACK and config._lease_until_us else mode

        def grant_at_any_turn(
            table: LeaseTable, gateway: str, number: int, turn: int, state: ConfigState, *arguments: Any
        ) -> Any:
            return renew(table, gateway, number, state.turn, state, *arguments)

        receive, mode_at, renew = ActiveConfig.receive, ActiveConfig._mode_at, LeaseTable.renew
        self.assert_detected(LeaseTable, "renew", grant_at_any_turn)
        self.assert_detected(ActiveConfig, "receive", count_lease_from_arrival)
        self.assert_detected(ActiveConfig, "_mode_at", ignore_expiry)
        self.assert_detected(LeaseTable, "can_advance", lambda *_: True)
        self.assert_detected(LeaseTable, "on_elected", lambda table, gateways, now_us: table._holders.clear())
        self.assert_detected(ConfigState, "_joint_documents", lambda state: state._pending[0].effective())
        self.assert_detected(
            state_module, "gateway_divisor", lambda gateways, departed_count=0: gateway_divisor(gateways)
        )


if __name__ == "__main__":
    unittest.main()
