"""Shard moves: the transition table, and plans carried out with faults at each step."""

from __future__ import annotations

import json
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import unittest
from pathlib import Path

import anyio
import hiredis
import msgspec

from cresstray.cli import placement as typed
from cresstray.emulators.shards import Held, RefusedError, Shelf, passed_on
from cresstray.engines.codec import Answer, AnswerDecoder, encode_request
from cresstray.fleet_config import commands as rules
from cresstray.fleet_config import documents
from cresstray.fleet_config.state import ConfigState
from cresstray.observability.counters import Counters
from cresstray.placement import data_transfer as carry
from cresstray.placement import model, moves
from cresstray.placement import move_executor as carrier
from cresstray.placement import pacing as pace
from cresstray.placement.move_executor import Command, CopyReport, DiskReport, MoveExecutor, Proposal
from cresstray.placement.moves import Event, MoveSection, MoveState

SECOND = 1_000_000
TIMES = carrier.ExecutorTimes(
    engine_dead_us=12 * SECOND,
    copy_stall_us=6 * SECOND,
    max_room_wait_us=10 * SECOND,
    max_fenced_us=8 * SECOND,
)
PLACED = {"1": ("a1",), "2": ("a1", "b1"), "3": ("b1",)}
MOVES = (
    model.Move("1", "a1", "a2", 3_000_000, primary=True),
    model.Move("2", "b1", "b2", 2_000_000),
    model.Move("3", "b1", "a1", 2_000_000, primary=True),
)
PLAN = model.Plan(MOVES, 7_000_000, 7_000_000, ((0, 1), (2,)))


def founded(section: MoveSection, placed: dict[str, tuple[str, ...]]) -> ConfigState:
    state = ConfigState(documents.FleetInventory(max_gateways=9), {moves.SECTION_NAME: section})
    items = {name: documents.Shard(copies, copies[0], 1, copies) for name, copies in placed.items()}
    new = documents.Documents(
        gateways=documents.GatewayList({"g": documents.Gateway()}), placement=documents.Placement(items)
    )
    change = documents.encode_delta(state.latest, new)
    told = rules.decode_result(state.apply(1, rules.encode_proposal("found", {}, change, "")))
    assert told.is_accepted, told
    while state.pending_turn() is not None:
        state.apply(1, rules.encode_advance(state.pending_turn()))
    return state


class Fleet:
    """Simulated disks, a log whose leader may crash, gateways one turn behind, and the invariants."""

    def __init__(
        self,
        seed: int,
        make: type[MoveExecutor] = MoveExecutor,
        section: type[MoveSection] = MoveSection,
        disk: int = 10_000_000,
    ) -> None:
        self.chance, self.now, self.make = random.Random(seed), 10 * SECOND, make
        self.moves = section()
        self.state = founded(self.moves, PLACED)
        self.carrier = make(TIMES)
        self.shelves = {
            name: Shelf(name, name[0], disk, 1_000_000, 2_000_000, self.now)
            for name in ("a1", "a2", "b1", "b2")
        }
        for name, copies in PLACED.items():
            for engine in copies:
                self.shelves[engine].shards[name] = Held(
                    {"1": 3, "2": 2, "3": 2}[name] * 1_000_000,
                    primary=engine == copies[0],
                    growth=1_000,
                    follows=engine != copies[0],
                    feed=copies[0] if engine != copies[0] else "",
                )
        self.down: dict[str, int] = {}  # engines that are dead, and until when
        self.late: list[tuple[int, Command]] = []
        self.log: list[bytes] = []  # appended by the leader, not yet committed
        self.applied = 0
        self.written = dict.fromkeys(PLACED, 0)
        self.turned, self.before = self.now, self.state.effective
        self.told: dict[str, DiskReport] = {}
        self.lost: list[str] = []
        self.seen: list[tuple[int, MoveState]] = []
        self.on_applied = lambda fleet: None
        self.crashes = False
        for entry in moves.begin_entries("p1", "me", PLAN, model.Limits(share=1.0)):
            self.apply(rules.encode_section_command(moves.SECTION_NAME, "", entry))

    def apply(self, data: bytes) -> None:
        acting, turn = self.state.effective, self.state.turn
        before = [move.state for move in self.moves.plan.moves] if self.moves.plan else []
        self.state.apply(self.applied, data)
        if self.state.turn != turn:
            self.before, self.turned = acting, self.now
        if before and before != [move.state for move in self.moves.plan.moves]:
            self.applied += 1
            self.on_applied(self)

    def crash(self) -> None:
        """A new leader restores the snapshot; uncommitted entries are applied first, or lost."""
        if self.chance.random() < 0.5:
            for data in self.log:
                self.apply(data)
        self.log.clear()
        dumped = self.state.snapshot()
        self.moves = type(self.moves)()
        self.state = ConfigState(documents.FleetInventory(max_gateways=9), {moves.SECTION_NAME: self.moves})
        self.state.restore(dumped)
        assert self.state.snapshot() == dumped
        self.carrier, self.told = self.make(TIMES), {}

    def place(self, name: str, copies: tuple[str, ...]) -> rules.CommandResult:
        """Proposes a placement as an operator."""
        latest = self.state.latest
        shard = documents.Shard(copies, copies[0], latest.placement.items[name].epoch + 1, copies)
        new = msgspec.structs.replace(
            latest, placement=documents.Placement(latest.placement.items | {name: shard})
        )
        return rules.decode_result(
            self.state.apply(
                1,
                rules.encode_proposal(
                    "operator",
                    {"placement": latest.version("placement")},
                    documents.encode_delta(latest, new),
                    "",
                ),
            )
        )

    def up(self, engine: str) -> bool:
        return self.down.get(engine, 0) <= self.now

    def give(self, command: Command) -> None:
        shelf = self.shelves[command.engine]
        if not self.up(command.engine):
            return
        try:
            shard, fence = command.shard, command.fence
            if command.verb == "COPY":
                shelf.copy(shard, fence, command.peer, command.offset, command.rate, command.keep)
            elif command.verb == "FOLLOW":
                shelf.follow(shard, fence, command.peer, command.epoch)
            elif command.verb == "SWITCH":
                shelf.switch(shard, fence, command.epoch, command.peer, command.peer)
            else:
                held = shelf.shards.get(shard)
                shelf.drop(shard, fence)
                for acting in (self.state.effective, self.before):
                    if held and command.engine in acting.placement.items[shard].reads:
                        self.lost.append(f"{shard} dropped on {command.engine} while it is read")
        except RefusedError:
            pass

    def tick(self) -> None:
        self.now += 100_000
        if self.crashes:
            self.crashes = False
            self.crash()
        for engine, shelf in self.shelves.items():
            shelf.advance(self.now)
            if self.up(engine):
                self.work(shelf)
        for shard, acting in self.state.effective.placement.items.items():
            # Gateways a turn behind write where they may; what is acknowledged must stay.
            for one in {acting.primary, self.before.placement.items[shard].primary} - {""}:
                if self.chance.random() < 0.3 and self.up(one):
                    self.written[shard] += self.shelves[one].written(shard)
            held = [shelf.shards[shard] for shelf in self.shelves.values() if shard in shelf.shards]
            if not any(one.whole for one in held):
                self.lost.append(f"{shard} has no whole copy")
        for due, command in [one for one in self.late if one[0] <= self.now]:
            self.late.remove((due, command))
            self.give(command)
        if self.now % (300_000) == 0:
            self.told |= {name: self.disk(shelf) for name, shelf in self.shelves.items() if self.up(name)}
        # Entries are committed in order, each when it will be.
        while self.log and self.chance.random() < 0.7:
            self.apply(self.log.pop(0))
        for step in self.carrier.next_actions(self.state, self.moves, self.told, self.now):
            if isinstance(step, Proposal):
                self.log.append(step.data)
            else:
                self.give(step)
                if self.chance.random() < 0.3:
                    self.late.append((self.now + int(self.chance.random() * 20 * SECOND), step))
        turn = self.state.pending_turn()
        if turn is not None and self.now - self.turned >= 400_000:
            self.apply(rules.encode_advance(turn))

    def work(self, shelf: Shelf) -> None:
        passed_on(shelf, self.shelves, self.up, self.now)

    def disk(self, shelf: Shelf) -> DiskReport:
        told = shelf.told({})
        copies = {name: CopyReport(**copy) for name, copy in told.pop("copies").items()}
        return DiskReport(engine=shelf.engine, asked_at_us=self.now, copies=copies, **told)

    def run(self, seconds: int = 120) -> None:
        until = self.now + seconds * SECOND
        while self.now < until and not self.moves.plan.is_finished():
            self.tick()
        until = max([self.now, *self.down.values()]) + 10 * SECOND
        while self.now < until:  # what is late comes, what is owed is paid
            self.tick()

    def judge(self, test: unittest.TestCase, over: int = 0) -> None:
        plan = self.moves.plan
        test.assertTrue(plan.is_finished(), (self.moves.status(), self.carrier.waits))
        test.assertEqual(self.lost, [])
        test.assertEqual([shelf.counted.headroom_broken for shelf in self.shelves.values()], [0] * 4)
        copied = sum(shelf.counted.copied_in for shelf in self.shelves.values())
        test.assertLessEqual(copied, 7_000_000 * 1.05 + over)
        held = {(shard, engine) for engine, shelf in self.shelves.items() for shard in shelf.shards}
        placed = {
            (name, engine)
            for name, shard in self.state.latest.placement.items.items()
            for engine in shard.copies
        }
        test.assertEqual(held, placed, self.moves.status())
        for name, shard in self.state.latest.placement.items.items():
            test.assertEqual(self.shelves[shard.primary].shards[name].head, self.written[name])


class CarriedOut(unittest.TestCase):
    def test_plan_without_faults_completes(self) -> None:
        fleet = Fleet(1)
        fleet.run()
        fleet.judge(self)
        self.assertEqual([move.state for move in fleet.moves.plan.moves], [MoveState.DONE] * 3)

    def faulty(self, fault: object, over: int = 0, seeds: int = 2, done: bool = True) -> None:
        """Injects the fault after each entry in turn, each time in a new fleet."""
        for seed in range(seeds):
            plain = Fleet(seed)
            plain.run()
            for at in range(1, plain.applied + 1):
                fleet = Fleet(seed * 1000 + at)
                fleet.on_applied = lambda fleet, at=at: fleet.applied == at and fault(fleet)
                fleet.run()
                with self.subTest(seed=seed, at=at):
                    fleet.judge(self, over)
                    if done:
                        self.assertEqual(
                            [move.state for move in fleet.moves.plan.moves], [MoveState.DONE] * 3
                        )

    def test_leader_crashes_at_each_step(self) -> None:
        self.faulty(lambda fleet: setattr(fleet, "crashes", True))

    def test_engine_is_away_at_each_step(self) -> None:
        for engine in ("a1", "a2", "b1", "b2"):
            self.faulty(
                lambda fleet, engine=engine: fleet.down.update({engine: fleet.now + 7 * SECOND}),
                seeds=1,
                done=False,
            )

    def test_engine_is_gone_for_long_at_each_step_and_its_leader_too(self) -> None:
        def fault(fleet: Fleet, engine: str) -> None:
            fleet.down[engine] = fleet.now + 40 * SECOND
            fleet.crashes = True

        for engine in ("a1", "a2", "b1", "b2"):
            self.faulty(lambda fleet, engine=engine: fault(fleet, engine), 3_000_000, seeds=1, done=False)

    def test_cancelled_at_each_step(self) -> None:
        def cancel(fleet: Fleet) -> None:
            fleet.log.append(
                rules.encode_section_command(
                    moves.SECTION_NAME, "", moves.encode(moves.CancelPlan("p1", "me"))
                )
            )

        self.faulty(cancel, done=False)

    def test_disk_fills_at_each_step(self) -> None:
        def fill(fleet: Fleet) -> None:
            shelf = fleet.shelves["a2"]
            # All but what is held for the moves there.
            shelf.other = shelf.free - shelf.headroom - 2_500_000

        self.faulty(fill, seeds=1, done=False)

    def test_last_copy_is_kept(self) -> None:
        """If the source dies after the copy is complete, the target's copy must be kept."""
        fleet = Fleet(5)

        def fault(fleet: Fleet) -> None:
            if fleet.moves.plan.moves[0].state is MoveState.CATCHING_UP:
                fleet.down.setdefault("a1", 10**15)

        fleet.on_applied = fault
        for _ in range(600):
            fleet.tick()
        self.assertIs(fleet.moves.plan.moves[0].state, MoveState.ROLLING_BACK)
        self.assertIn("kept", fleet.carrier.waits[0])
        self.assertTrue(fleet.shelves["a2"].shards["1"].whole)
        # An operator gives up the dead primary's last writes, and places the shard where it is.
        self.assertTrue(fleet.place("1", ("a2",)).is_accepted)
        for _ in range(100):
            fleet.tick()
        self.assertTrue(fleet.moves.plan.is_finished())
        self.assertTrue(fleet.shelves["a2"].shards["1"].whole)

    def test_late_copy_does_not_come_back(self) -> None:
        """A delayed COPY must not restore a copy after the move was cancelled."""
        fleet = Fleet(4)

        def fault(fleet: Fleet) -> None:
            move = fleet.moves.plan.moves[0]
            if move.state is MoveState.COPYING and "a2" not in fleet.down:
                fleet.down["a2"] = fleet.now + 2 * SECOND
                late = Command("a2", "COPY", "1", move.fence, "a1", 0, 1_000_000)
                fleet.late.append((fleet.now + 20 * SECOND, late))
                fleet.log.append(
                    rules.encode_section_command(
                        moves.SECTION_NAME, "", moves.encode(moves.CancelPlan("p1", "me"))
                    )
                )

        fleet.on_applied = fault
        fleet.run()
        for _ in range(200):
            fleet.tick()
        fleet.judge(self)
        self.assertGreater(fleet.shelves["a2"].counted.refused_old, 0)

    def test_operator_changes_placement_after_the_switch(self) -> None:
        fleet = Fleet(6)

        def fault(fleet: Fleet) -> None:
            if fleet.moves.plan.moves[1].state is MoveState.SWITCHED:
                fleet.down.setdefault("b2", fleet.now + 30 * SECOND)
                fleet.turned = fleet.now + 5 * SECOND  # a lease is waited for

        fleet.on_applied = fault
        while fleet.down.get("b2") is None or fleet.now < fleet.down["b2"] - 19 * SECOND:
            fleet.tick()
        self.assertIs(fleet.moves.plan.moves[1].state, MoveState.SWITCHED)
        self.assertTrue(fleet.shelves["b1"].shards["2"].whole)
        self.assertTrue(fleet.place("2", ("a1", "b1")).is_accepted)
        fleet.run()
        fleet.judge(self)

    def test_target_dies_after_the_switch(self) -> None:
        """A copy's place goes back by itself, also under another leader; a primary waits for an operator."""
        for number, crash in ((1, False), (1, True), (0, False)):
            fleet, kept = Fleet(11), MOVES[number]

            def fault(fleet: Fleet, kept: model.Move = kept, number: int = number) -> None:
                if (
                    fleet.moves.plan.moves[number].state is MoveState.SWITCHED
                    and kept.target not in fleet.down
                ):
                    fleet.down[kept.target] = fleet.now + 60 * SECOND
                    fleet.turned = fleet.now + 5 * SECOND  # a lease is waited for: its word gets old

            fleet.on_applied = fault
            while fleet.down.get(kept.target) is None or fleet.now < fleet.down[kept.target] - 10 * SECOND:
                fleet.tick()
                # Just when the version that goes back has been proposed, and while it is joint.
                fleet.crashes = crash and (
                    len(fleet.log) > 0
                    and b": back, " in fleet.log[-1]
                    and fleet.chance.random() < 0.5
                    or fleet.state.turn % 2 == 1
                    and fleet.chance.random() < 0.1
                )
            with self.subTest(number=number, crash=crash):
                move = fleet.moves.plan.moves[number]
                if kept.primary:
                    self.assertIs(move.state, MoveState.SWITCHED)
                    self.assertTrue(fleet.shelves[kept.source].shards[kept.shard].whole)
                    continue
                self.assertEqual(
                    (move.state, move.failure_reason), (MoveState.DONE, "the old copy has its place again")
                )
                self.assertEqual(fleet.state.latest.placement.items[kept.shard].copies, ("a1", "b1"))
                self.assertIn((kept.target, kept.shard), fleet.moves.owed)
                fleet.run(90)  # the engine is back, with what it has
                fleet.judge(self)
                self.assertEqual(fleet.moves.owed, {})

    def test_position_beyond_the_head_is_not_believed(self) -> None:
        fleet = Fleet(7)
        fleet.shelves["a2"].lie = 1000
        for _ in range(200):
            fleet.tick()
        self.assertIs(fleet.moves.plan.moves[0].state, MoveState.CATCHING_UP)
        self.assertIn("beyond the head", fleet.carrier.waits[0])
        fleet.shelves["a2"].lie = 0
        fleet.run()
        fleet.judge(self)

    def test_reservations_are_kept_over_a_crash(self) -> None:
        """Two moves to one engine that has room for one, until a third has left it."""
        fleet = Fleet(9)
        fleet.shelves["a2"].other = 5_500_000
        plan = model.Plan(
            (MOVES[0], model.Move("3", "b1", "a2", 2_000_000, primary=True)), 5_000_000, 5_000_000, ((0, 1),)
        )
        self.assertEqual(
            fleet.moves.apply(fleet.state, moves.encode(moves.CancelPlan("p1", "me"))), moves.APPLIED
        )
        (entry,) = moves.begin_entries("p2", "me", plan, model.Limits(share=0.1))
        self.assertEqual(fleet.moves.apply(fleet.state, entry), moves.APPLIED)
        for at in range(60):
            fleet.tick()
            fleet.crashes = at == 20
        self.assertIn("a2 lacks", fleet.carrier.waits[1])
        self.assertIs(fleet.moves.plan.moves[1].state, MoveState.PLANNED)
        fleet.shelves["a2"].other = 1_000_000
        fleet.run()
        fleet.judge(self)

    def test_move_of_shard_that_outgrows_its_reservation_is_rolled_back(self) -> None:
        for growth, ends in ((60_000, MoveState.DONE), (3_000_000, MoveState.CANCELLED)):
            fleet = Fleet(8)
            fleet.shelves["a1"].shards["1"].growth = growth
            fleet.shelves["a2"].other = 4_000_000
            fleet.moves.plan.limits = model.Limits(share=0.25)
            for _ in range(300):
                fleet.tick()
            self.assertIs(fleet.moves.plan.moves[0].state, ends, fleet.carrier.waits)
            self.assertEqual(fleet.shelves["a2"].counted.headroom_broken, 0)
            self.assertGreater(fleet.shelves["a1"].shards.get("1", Held(0)).bytes or 3_200_001, 3_200_000)


class OperatorCommands(unittest.TestCase):
    def test_fleet_is_built_from_documents_and_reports(self) -> None:
        shard = documents.Shard(("a1",), "a1", 1, ("a1",))
        given = documents.Documents(
            engines=documents.EngineRules({"a1": documents.EngineRule(is_barred=True)}),
            placement=documents.Placement({"1": shard}),
        )
        copies = {"1": CopyReport(40, primary=True, growth=3)}
        told = {
            name: DiskReport(name, "a", 100, free, 0, 10, at, copies)
            for name, free, at, copies in (
                ("a1", 60, 20_000_000, copies),
                ("a2", 100, 20_000_000, {}),
                ("a3", 100, 1, {}),
            )
        }
        made = typed._world(given, told, ("a2",), 0.1, 0, model.Limits())
        # Barred ones are emptied, and what does not answer is no place for a copy.
        self.assertEqual(
            [(place.engine, place.is_draining, place.headroom) for place in made.places],
            [("a1", True, 10), ("a2", True, 10)],
        )
        self.assertEqual((made.shards[0].size, made.shards[0].growth), (40, 3))
        with self.assertRaisesRegex(ValueError, "no engine a9"):
            typed._world(given, told, ("a9",), 0.1, 0, model.Limits())
        with self.assertRaisesRegex(ValueError, "no disk has told"):
            typed._world(given, {}, (), 0.1, 0, model.Limits())
        fenced = msgspec.structs.replace(
            given, placement=documents.Placement({"1": msgspec.structs.replace(shard, primary="")})
        )
        with self.assertRaisesRegex(ValueError, "without a primary: 1"):
            typed._world(fenced, told, (), 0.1, 0, model.Limits())

    def test_progress_line_for_operators(self) -> None:
        fleet = Fleet(3)
        self.assertEqual(typed.progress(fleet.moves.status()), "plan p1: 3 planned; 0% of the bytes")
        fleet.run()
        self.assertEqual(typed.progress(fleet.moves.status()), "plan p1: 3 done; 100% of the bytes")


class TransferRates(unittest.TestCase):
    @staticmethod
    def disk(at: int, zone: str = "a", util: float = 0.1) -> DiskReport:
        return DiskReport("", zone, 100, 100, 0, 1000, at, {}, cores=4, util=util)

    def test_rates_share_engines_and_zone_borders(self) -> None:
        told = {"a1": self.disk(0), "a2": self.disk(0), "b1": self.disk(0, "b")}
        flows = [pace.Transfer(0, "a1", "a2"), pace.Transfer(1, "a1", "b1")]
        made = pace.RateController().transfer_rates(flows, model.Limits(share=0.5, border_pace=100), told)
        self.assertEqual(made, {0: 250, 1: 100})
        self.assertEqual(
            pace.RateController().transfer_rates(flows[:1], model.Limits(share=0.5), told), {0: 500}
        )

    def test_rate_backs_off_under_load_and_recovers(self) -> None:
        paced, parts = pace.RateController(), []
        for at, util in enumerate([0.1] + [0.9] * 6 + [0.1] * 9):
            paced.on_reports({"a1": self.disk(at * 100_000, util=util)}, at * 100_000)
            paced.on_reports({"a1": self.disk(at * 100_000, util=util)}, at * 100_000 + 1)  # heard once
            parts.append(paced.part("a1"))
        self.assertEqual(parts[:6], [1.0, 0.5, 0.25, 0.125, 0.0625, 0.0625])
        self.assertEqual(parts[7:9] + parts[-1:], [0.1875, 0.3125, 1.0])
        paced.on_reports({"a1": self.disk(1_500_000)}, 4_000_000)  # silent
        self.assertEqual(paced.part("a1"), 0.5)


def placed(kind: str, how: str) -> tuple[ConfigState, MoveSection]:
    """One move under way, a1 > a2, its documents so far on their way."""
    section = MoveSection()
    primary = kind == "primary"
    copies = ("a1", "b1") if primary else ("b1", "a1")
    state = founded(section, {"1": copies})
    plan = model.Plan((model.Move("1", "a1", "a2", 100, primary),), 100, 100, ((0,),))
    (entry,) = moves.begin_entries("p", "me", plan, model.Limits())
    told = section.apply(state, entry)
    assert told == moves.APPLIED, told
    shard = state.latest.placement.items["1"]
    last = ("a2" if primary else "b1", ("b1", "a2"))
    steps = {"before": [], "fenced": [("", ("a1", "b1", "a2"))], "moved": [last]}
    for number, (first, copies) in enumerate(steps["moved" if how == "in force" else how]):
        shard = documents.Shard(copies, first, shard.epoch + 1, copies)
        new = documents.Documents(
            gateways=state.latest.gateways,
            placement=documents.Placement({"1": shard}),
            versions=state.latest.versions,
        )
        told = state.apply(
            1,
            rules.encode_proposal(
                f"r{number}",
                {"placement": state.latest.version("placement")},
                documents.encode_delta(state.latest, new),
                "",
            ),
        )
        assert rules.decode_result(told).is_accepted, rules.decode_result(told)
        while how != "moved" and state.pending_turn() is not None:
            state.apply(1, rules.encode_advance(state.pending_turn()))
    return state, section


class TransitionTable(unittest.TestCase):
    """Every state with every entry, also those that change nothing."""

    table = tomllib.loads((Path(__file__).parent / "conformance" / "moves.toml").read_text())

    def entered(self, kind: str, at: str, event: str, how: str) -> tuple[str, bytes, int]:
        state, section = placed(kind, how)
        move = section.plan.moves[0]
        move.state, move.fence, section.serial = MoveState(at), 7, 9
        before = section.snapshot()
        step = moves.MoveStep("p", 0, MoveState(at), Event(event), 7, held=100, copied=50)
        outcome = section.apply(state, moves.encode(step))
        if outcome != moves.APPLIED:
            self.assertEqual(section.snapshot(), before)
        self.assertEqual(move.fence, section.serial if move.fence != 7 else 7)
        # Asked again, and asked by one that is behind: once.
        after = section.snapshot()
        if section.plan.moves[0].state.value != at:
            self.assertEqual(section.apply(state, moves.encode(step)), moves.ALREADY_APPLIED)
        stale = msgspec.structs.replace(step, fence=6, expected_state=move.state)
        self.assertEqual(section.apply(state, moves.encode(stale)), moves.ALREADY_APPLIED)
        self.assertEqual(section.snapshot(), after)
        restored = MoveSection()
        restored.restore(after)
        self.assertEqual(restored.snapshot(), after)
        return move.state.value, outcome, move.fence

    def test_each_state_with_each_event(self) -> None:
        events = self.table["events"]
        self.assertEqual(sorted(events), sorted(event.value for event in Event))
        self.assertEqual(sorted(self.table["primary"]), sorted(at.value for at in MoveState))
        numbered = {"copy", "retry", "back", "drop"}
        for kind in ("primary", "copy"):
            for at, row in self.table[kind].items():
                self.assertEqual(len(row), len(events))
                for event, to in zip(events, row, strict=True):
                    how = {"switch": "moved", "drop": "in force"}.get(event, "before")
                    with self.subTest(kind=kind, at=at, event=event):
                        now, outcome, fence = self.entered(kind, at, event, how)
                        self.assertEqual(now, at if to == "-" else to)
                        self.assertEqual(outcome == moves.APPLIED, to != "-")
                        self.assertEqual(fence > 7, to not in ("-", "cancelled") and event in numbered)

    def test_transitions_are_refused_by_documents(self) -> None:
        for row in self.table["hindered"]:
            with self.subTest(**row):
                now, outcome, _ = self.entered(row["kind"], row["state"], row["event"], row["documents"])
                self.assertEqual((now, outcome[:8]), (row["state"], b"refused:"))

    def test_cancelled_moves_change_state_by_table(self) -> None:
        for at, to in self.table["cancel"].items():
            state, section = placed("primary", "before")
            section.plan.moves[0].state = MoveState(at)
            over = section.plan.is_finished()
            outcome = section.apply(state, moves.encode(moves.CancelPlan("p", "me")))
            self.assertEqual(section.plan.moves[0].state.value, to)
            self.assertEqual(outcome, moves.ALREADY_APPLIED if over else moves.APPLIED)

    def test_invalid_plans_are_refused(self) -> None:
        def told(*given: model.Move, stages: tuple[tuple[int, ...], ...] = ((0,),)) -> bytes:
            section = MoveSection()
            state = founded(section, PLACED)
            (entry,) = moves.begin_entries("p", "me", model.Plan(given, 1, 1, stages), model.Limits())
            return section.apply(state, entry)

        first, second = model.Move("1", "a1", "a2", 1, True), model.Move("1", "a2", "b2", 1, True)
        self.assertEqual(told(first), moves.APPLIED)
        self.assertEqual(told(first, second, stages=((0,), (1,))), moves.APPLIED)
        self.assertIn(b"two moves of one shard", told(first, second, stages=((0, 1),)))
        self.assertIn(b"it is on a1", told(second))
        self.assertIn(b"primary is a1", told(model.Move("1", "a1", "a2", 1)))
        self.assertIn(b"not placed", told(model.Move("9", "a1", "a2", 1)))
        self.assertIn(b"it is on a1, b1", told(model.Move("2", "b1", "a1", 1)))

    def test_long_plan_is_split_into_entries(self) -> None:
        section = MoveSection()
        placed = {str(number): ("a1",) for number in range(2500)}
        state = founded(section, placed)
        given = tuple(model.Move(name, "a1", "a2", 1, True) for name in placed)
        parts = moves.begin_entries("p", "me", model.Plan(given, 1, 1, (tuple(range(2500)),)), model.Limits())
        self.assertEqual(len(parts), 3)
        self.assertLess(max(map(len, parts)), 128 * 1024)
        self.assertIn(b"refused", section.apply(state, parts[1]))
        for part in parts:
            self.assertEqual(section.apply(state, part), moves.APPLIED)
            self.assertEqual(section.apply(state, part), moves.ALREADY_APPLIED)
        self.assertEqual(len(section.plan.moves), 2500)
        (other,) = moves.begin_entries("q", "me", model.Plan(given[:1], 1, 1, ((0,),)), model.Limits())
        self.assertIn(b"plan p of me is under way", section.apply(state, other))
        self.assertIn(b"refused", section.apply(state, b"\xff"))


def started(folder: str, engine: str, *options: str, port: int = 0) -> tuple[subprocess.Popen, int]:
    made = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "cresstray.emulators.shards",
            "--engine",
            engine,
            "--zone",
            engine[0],
            "--folder",
            folder,
            "--disk",
            "20000000",
            "--headroom",
            "1000000",
            "--pace",
            "4000000",
            "--port",
            str(port),
            *options,
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    return made, json.loads(made.stdout.readline())["port"]


def asked(port: int, *words: str) -> dict:
    with socket.create_connection(("127.0.0.1", port), 5) as made:
        made.sendall(hiredis.pack_command(words))
        answers = carry.AnswerParser()
        while not (found := answers.feed(made.recv(65536))):
            pass
    return json.loads(found[0])


class TransfersOverSockets(unittest.TestCase):
    """Engines as processes; the target is killed while it copies."""

    def setUp(self) -> None:
        made = self.enterContext(tempfile.TemporaryDirectory())
        self.folder, self.engines, self.ports = made, {}, {}
        self.addCleanup(self.end)
        self.start("a1", "--shard", "1:4000000:1000:primary")
        self.start("a2")
        self.start("b1", "--shard", "3:1000000:0:primary")

    def start(self, engine: str, *options: str) -> None:
        self.engines[engine], self.ports[engine] = started(
            self.folder, engine, *options, port=self.ports.get(engine, 0)
        )

    def end(self) -> None:
        for made in self.engines.values():
            made.kill()
            made.wait()
            made.stdout.close()

    def test_statements_on_shards(self) -> None:
        def told(engine: str, statement: str) -> Answer:
            with socket.create_connection(("127.0.0.1", self.ports[engine]), 5) as made:
                made.sendall(encode_request(b"q", "t", 1000, "", statement.encode()))
                answers = AnswerDecoder()
                while not (found := answers.feed(made.recv(65536))):
                    pass
            return found[0]

        self.assertEqual(told("a1", "run 1 1 1").kind, b"served")
        self.assertNotIn("shard", told("a1", "run 1 1 1").report)
        for head in (1, 2):
            report = told("a1", "write 1 1 1 into sales_1.orders").report
            named = [report[name] for name in ("shard", "epoch", "applied", "head")]
            self.assertEqual(named, [1, 1, head, head])
        hinted = told("a1", "/*+ cresstray read=replica */ run 1 1 1 from sales_1.x")
        self.assertEqual(hinted.report["head"], 2)
        self.assertEqual(told("a2", "run 1 1 1 from sales_1.orders").kind, b"crashed")
        asked(self.ports["a1"], "SWITCH", "1", "MOVE", "5", "EPOCH", "2", "PRIMARY", "", "FROM", "")
        self.assertEqual(told("a1", "write 1 1 1 into sales_1.orders").kind, b"crashed")
        self.assertEqual(asked(self.ports["a1"], "DROP", "1", "MOVE", "4"), {"refused": "older"})
        # A read that is open keeps its copy.
        with socket.create_connection(("127.0.0.1", self.ports["a1"]), 5) as made:
            made.sendall(encode_request(b"q", "t", 1000, "", b"run 400 1 1 from sales_1.orders"))
            time.sleep(0.1)
            self.assertEqual(asked(self.ports["a1"], "DROP", "1", "MOVE", "6"), {"refused": "busy"})
            self.assertIn(b"served", made.recv(65536))
        self.assertGreater(asked(self.ports["a1"], "DROP", "1", "MOVE", "6")["dropped"], 0)
        self.assertEqual(asked(self.ports["a1"], "DROP", "1", "MOVE", "6"), {"dropped": 0})

    def test_target_is_killed_while_it_copies(self) -> None:
        section = MoveSection()
        state = founded(section, {"1": ("a1",), "3": ("b1",)})
        plan = model.Plan(
            (
                model.Move("1", "a1", "a2", 4_000_000, primary=True),
                model.Move("3", "b1", "a1", 1_000_000, primary=True),
            ),
            5_000_000,
            5_000_000,
            ((0,), (1,)),
        )
        for entry in moves.begin_entries("p", "me", plan, model.Limits(share=1.0)):
            self.assertEqual(
                state.apply(1, rules.encode_section_command(moves.SECTION_NAME, "", entry)), moves.APPLIED
            )
        told = anyio.run(self.carried, state, section)
        self.assertEqual([move.state for move in section.plan.moves], [MoveState.DONE] * 2)
        accounts = {engine: asked(port, "ACCOUNT") for engine, port in self.ports.items()}
        self.assertEqual(
            {engine: sorted(one["shards"]) for engine, one in accounts.items()},
            {"a1": ["3"], "a2": ["1"], "b1": []},
        )
        self.assertTrue(accounts["a2"]["shards"]["1"]["primary"])
        self.assertEqual(sum(one["headroom_broken"] for one in accounts.values()), 0)
        # It went on from its disk: what had come before the kill was not asked for again, but for a beat.
        self.assertGreater(told["before"], 1_000_000)
        self.assertLess(accounts["a1"]["copied_out"], 4_000_000 * 1.05 + 400_000)
        self.assertEqual(accounts["a2"]["again"], 0)

    async def carried(self, state: ConfigState, section: MoveSection) -> dict:
        """The keeper's part; the target is killed at a third of its copy, and comes back a second later."""
        told, log, carrying = {}, [], MoveExecutor()
        hands = carry.TransferClient(
            lambda: {engine: ("127.0.0.1", port) for engine, port in self.ports.items()},
            lambda entry: log.append(entry.data),
            lambda: True,
            lambda: time.monotonic_ns() // 1000,
            Counters(),
        )
        with anyio.fail_after(30):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(hands.run)
                while not section.plan.is_finished():
                    await anyio.sleep(0.02)
                    hands.execute(
                        carrying.next_actions(state, section, hands.reports, time.monotonic_ns() // 1000)
                    )
                    for data in log:
                        state.apply(1, data)
                    log.clear()
                    if state.pending_turn() is not None:
                        state.apply(1, rules.encode_advance(state.pending_turn()))
                    if "before" not in told and section.plan.moves[0].copied_bytes > 1_000_000:
                        told["before"] = section.plan.moves[0].copied_bytes
                        self.engines["a2"].send_signal(signal.SIGKILL)
                        self.engines["a2"].wait()
                        self.engines["a2"].stdout.close()
                        await anyio.sleep(1.0)
                        self.start("a2")
                tasks.cancel_scope.cancel()
        return told


if __name__ == "__main__":
    unittest.main()
