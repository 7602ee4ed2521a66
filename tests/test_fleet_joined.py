"""Rules, moves and pinned reads joined: what must hold under faults, hard cases, broken variants."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from unittest import mock

import msgspec

from cresstray.emulators.shards import RefusedError
from cresstray.fleet_config import commands as rules
from cresstray.fleet_config import documents
from cresstray.fleet_config.active_config import ActiveConfig, Mode
from cresstray.fleet_config.state import ConfigState
from cresstray.placement import move_executor as carrier
from cresstray.placement import moves
from cresstray.placement.move_executor import MoveExecutor
from cresstray.placement.moves import Event, MoveState
from cresstray.replicas import fallback, read
from cresstray.replicas.positions import PositionTable
from cresstray.replicas.read import HintedRead
from cresstray.simulation.joined import CORES, EXPECTED, MS, SECOND, Disked, StoppedError, World

PIN = "a strict pin is broken"


class Seeds(unittest.TestCase):
    def test_all_holds_under_faults(self) -> None:
        counts: dict[str, int] = {}
        crossed = 0
        for seed in range(1, 13):
            world = World(seed).run(24)
            with self.subTest(seed=seed):
                self.assertEqual({what: lines for what, lines in world.broken.items() if what != PIN}, {})
            for what, count in world.counts.items():
                counts[what] = counts.get(what, 0) + count
            crossed += sum(len(one.through) >= 3 for one in world.sessions)
        # Not an idle world: each fault came, copies were read, sessions went over three gateways.
        for fault in ("kill", "freeze", "down", "lag", "lie", "loss", "slow"):
            self.assertGreater(counts[f"fault {fault}"], 3)
        self.assertGreater(counts["by copies"], 2000)
        self.assertGreater(counts["writes"], 4000)
        self.assertGreater(crossed, 60)

    def test_strict_pin_holds_while_joint(self) -> None:
        """A copy that moves looks gone while joint; the pin must not be followed before it is."""
        pinned = 0
        for seed in (3, 9):
            world = World(seed).run(26)
            pinned += world.counts["pinned"]
            self.assertEqual(world.broken.get(PIN, []), [])
        self.assertGreater(pinned, 40)


class HardCases(unittest.TestCase):
    def test_old_primary_answers_behind_its_switch(self) -> None:
        """A long read keeps the deposed one's copy; it tells its old epoch and head to whoever listens."""
        heard = []

        class Kept(Disked):
            def drop(self, shard: str, fence: int) -> int:
                if self.engine == "a1" and shard == "1" and self.world.now < 24 * SECOND:
                    raise RefusedError("busy")
                return super().drop(shard, fence)

        world = World(41, 0.3, Kept)

        def tells() -> None:
            held = world.shelves["a1"].shards.get("1")
            if held is not None and not held.primary:
                for gateway in world.gateways:
                    now = gateway.clock.now()
                    report = world.shelves["a1"].report("1") | {"epoch": 1}
                    gateway.reads.record_report("a1", report, now - MS, now)
                    heard.append(world.now)

        world.every(100, tells)
        world.run()
        self.assertGreater(len(heard), 100)
        self.assertEqual(world.broken, {})

    def test_all_copies_lag(self) -> None:
        """What falls back is near the fleet's share of each primary, and never over it."""
        world = World(42, 0.0)
        for shelf in world.shelves.values():
            world.after(4 * SECOND, setattr, shelf, "lag", 5 * SECOND)
            world.after(22 * SECOND, setattr, shelf, "lag", 0)
        for session in world.sessions:
            session.shard, session.otherwise = "4" if session.number % 2 else "2", "primary"
            session.tariff = "reads"
        world.every(4, world.some_read)
        world.run()
        self.assertEqual(world.broken, {})
        lagging = sum(5 * SECOND < at < 20 * SECOND for at, _ in world.spent)
        # Two shards, each with its primary.
        most = (
            2 * fallback.FALLBACK_SHARE * CORES * (15 * SECOND + 3 * fallback.FALLBACK_WINDOW_US) / EXPECTED
        )
        self.assertLess(0.4 * most, lagging)
        self.assertLess(lagging, most)

    def test_target_lies(self) -> None:
        """The target of a move and a copy tell positions beyond the head: told, left out, not switched to."""
        world = World(43, 0.0)
        for engine in ("a2", "c1"):
            world.shelves[engine].lie = 1000
        waits = set()
        while world.now < 18 * SECOND:
            world.until(world.now + SECOND // 4)
            waits.add(world.leader.carrier.waits.get(0, ""))
        self.assertIs(world.moves.plan.moves[0].state, MoveState.CATCHING_UP)
        self.assertIn("a2 claims", " ".join(waits))
        self.assertIn("c1", " ".join(world.said))
        for engine in ("a2", "c1"):
            world.shelves[engine].lie = 0
        world.run()
        self.assertEqual(world.broken, {})

    def test_target_is_barred_while_its_shard_moves(self) -> None:
        world = World(44, 0.0)
        sent: list[str] = []
        asked = world.asked
        world.asked = lambda gateway, name, *rest: (sent.append(name), asked(gateway, name, *rest))
        world.until(3 * SECOND)

        def bar(barred: bool) -> None:
            latest = world.state.latest
            items = {"a2": documents.EngineRule(is_barred=True)} if barred else {}
            new = msgspec.structs.replace(latest, engines=documents.EngineRules(items))
            world.leader.append(
                rules.encode_proposal(
                    f"bar {barred}",
                    {"engines": latest.version("engines")},
                    documents.encode_delta(latest, new),
                    "",
                )
            )

        bar(True)
        world.until(24 * SECOND)
        self.assertNotIn("a2", sent)
        written = world.acked["1"]
        world.until(27 * SECOND)
        self.assertEqual(world.state.effective.engines.items["a2"].is_barred, True)
        # Its primary may not have gone where no write may go.
        self.assertGreater(world.acked["1"], written, world.state.latest.placement.items["1"])
        bar(False)
        world.run()
        self.assertEqual(world.broken, {})


class Broken(unittest.TestCase):
    def caught(self, wrong: str, patch: object, worse: Callable[[World], None] | None = None) -> None:
        """By this property and no other; not broken, the same world is well."""

        def made() -> World:
            world = World(self.seed)
            if worse is not None:
                worse(world)
            world.stops = (wrong,)
            return world

        with patch, self.assertRaisesRegex(StoppedError, wrong):
            for self.seed in range(1, 9):
                made().run()
        if worse is not None:
            made().run(20)

    def test_old_copy_dropped_at_the_switch(self) -> None:
        real = moves.in_force

        def at_once(state: ConfigState, shard: str) -> bool:
            return bool(state.latest.placement.items[shard].primary) or real(state, shard)

        self.caught("a dropped copy was reached", mock.patch.object(moves, "in_force", at_once))

    def test_primary_moved_without_fencing(self) -> None:
        def moved(self: MoveExecutor, index: int, move: moves.MoveProgress) -> None:
            shard = self._placed(move)
            if moves.has_moved(move, shard):
                self._enter(index, move, Event.SWITCH)
            else:
                self._want(
                    index,
                    move,
                    msgspec.structs.replace(
                        shard,
                        primary=move.target,
                        epoch=shard.epoch + 1,
                        copies=carrier._with_target(shard.copies, move),
                        reads=carrier._with_target(shard.reads, move),
                    ),
                    "",
                )

        self.caught(
            "two histories of a shard", mock.patch.dict(MoveExecutor._NEXT, {MoveState.FENCED: moved})
        )

    def test_position_taken_across_epochs(self) -> None:
        place = PositionTable.set_placement

        def kept(self: PositionTable, shards: dict[str, documents.Shard], now: int) -> None:
            before = dict(self._shards)
            place(self, shards, now)
            for name, known in before.items():
                if name in self._shards:
                    self._shards[name], known.placement = known, shards[name]

        def worse(world: World) -> None:
            """A copy stands in the old epoch, and is fresh enough for those that read it."""
            world.after(5 * SECOND, setattr, world.shelves["b1"], "lag", 8 * SECOND)
            for session in world.sessions:
                session.shard, session.within, session.tariff = "1", 8 * SECOND, "reads"

        self.caught("a session went back", mock.patch.object(PositionTable, "set_placement", kept), worse)

    def test_read_not_asked_again_when_acting(self) -> None:
        takes = HintedRead.may_run_on

        def kept(self: HintedRead, engine: str, now: int) -> bool:
            if self._cache_key is None or not self._allowed_engines:
                return takes(self, engine, now)
            return engine in self._allowed_engines

        def worse(world: World) -> None:
            """Two gateways are frozen between a read's offer and its going, while copies stand."""
            for at in range(4, 26, 2):
                for gateway in world.gateways[:2]:
                    world.after(at * SECOND, setattr, gateway, "frozen", int((at + 1.1) * SECOND))
                for shelf in world.shelves.values():
                    world.after(at * SECOND, setattr, shelf, "lag", 3 * SECOND)
                    world.after((at + 1.3) * SECOND, setattr, shelf, "lag", 0)
            for session in world.sessions:
                session.within = 600 * MS
            world.every(8, world.some_read)

        self.caught("older than within", mock.patch.object(HintedRead, "may_run_on", kept), worse)

    def test_token_of_less_than_was_read(self) -> None:
        token = read.SessionToken

        def worse(world: World) -> None:
            """One of two copies is behind the other, and fresh enough for those that read both."""
            world.after(4 * SECOND, setattr, world.shelves["a1"], "lag", 2 * SECOND)
            for session in world.sessions:
                session.shard, session.within, session.tariff = "5", 8 * SECOND, "reads"

        self.caught(
            "a session went back",
            mock.patch.object(
                read, "SessionToken", lambda shard, epoch, position: token(shard, epoch, max(0, position - 8))
            ),
            worse,
        )

    def test_lease_that_is_not_looked_at_when_acting(self) -> None:
        def ever(self: ActiveConfig, now: int) -> Mode:
            return Mode.LEASE if self._lease_until_us else Mode.FALLBACK

        def worse(world: World) -> None:
            """One gateway after the other is frozen for longer than its lease, with work in its queue."""
            for number, at in enumerate(range(5, 29, 6)):
                world.after(at * SECOND, setattr, world.gateways[number], "frozen", (at + 6) * SECOND)
            for session in world.sessions:
                session.within = 20 * SECOND
            world.every(15, world.some_read)
            world.every(15, world.some_write)

        self.caught("a dropped copy was reached", mock.patch.object(ActiveConfig, "_mode_at", ever), worse)


if __name__ == "__main__":
    unittest.main()
