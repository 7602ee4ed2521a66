"""The fleet's harness by itself, and the program's processes under faults between them."""

import math
import random
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
from anyio.from_thread import start_blocking_portal

from cresstray.control_plane.codec import OperatorCommand, encode_command
from cresstray.emulators.account import Asked, Run
from cresstray.emulators.clients import draw
from cresstray.emulators.fleet import schedule
from cresstray.emulators.fleet.accounts import Ban, Spells, contradictions, without_commit
from cresstray.emulators.fleet.history import History, Operation
from cresstray.emulators.fleet.network import Mesh, Way
from cresstray.emulators.fleet.operators import Changed, Operator, Watch, admitted, client, edited, listed
from cresstray.emulators.fleet.processes import CANARY, FLEET_KINDS, HALL, NAME, Faults, Fleet, tenant
from cresstray.emulators.sockets import Peer, listen, serve
from cresstray.fleet_config.documents import EngineRule, RequestClassRule, encode_delta
from cresstray.transport.streams import connect


def _history(*operations: tuple) -> History:
    return History("0", [Operation(*one) for one in operations])


class Histories(unittest.TestCase):
    def test_an_answer_that_was_lost_may_have_counted_or_not(self) -> None:
        lost = ("a", 1, 2, "1", "0", None)
        for seen in "01":
            self.assertTrue(_history(lost, ("b", 3, 4, seen)).checked().linearizable)
        # It may count late, but not twice, and not be undone.
        self.assertTrue(_history(lost, ("b", 3, 4, "0"), ("b", 5, 6, "1")).checked().linearizable)
        self.assertFalse(_history(lost, ("b", 3, 4, "1"), ("b", 5, 6, "0")).checked().linearizable)

    def test_histories_known_to_be_bad(self) -> None:
        first = ("a", 1, 2, "1", "0")
        bad = {
            "a read behind its time": [first, ("b", 3, 4, "0")],
            "two set on the same base": [first, ("b", 1.5, 2.5, "2", "0")],
            "refused though its base was in place": [("b", 0, 0.5, "2", "0", False), first],
            "an acknowledged one is gone": [first, ("b", 3, 4, "2", "0"), ("c", 5, 6, "2")],
            "two readers disagree on the order": [
                ("a", 0, 9, "1", "0"),
                ("b", 1, 2, "1"),
                ("c", 3, 4, "0"),
                ("b", 5, 6, "1"),
            ],
            "a value nobody has set": [first, ("b", 3, 4, "7")],
        }
        for what, operations in bad.items():
            with self.subTest(what):
                verdict = _history(*operations).checked()
                self.assertFalse(verdict.linearizable)
                self.assertTrue(verdict.stuck)

    def test_many_drawn_ones_are_told_apart(self) -> None:
        """Of a real register, with answers lost; then the same with one read moved behind its time."""
        for seed in range(20):
            rng, value, history = random.Random(seed), "0", History("0")
            for number in range(400):
                asked, done = number - rng.uniform(0, 3), number + rng.uniform(0, 3)
                lost = rng.random() < 0.1
                if rng.random() < 0.5:
                    history.note(Operation("a", asked, done, value))
                elif rng.random() < 0.2:
                    history.note(Operation("b", asked, done, f"n{number}", "gone", None if lost else False))
                else:
                    history.note(Operation("b", asked, done, str(number), value, None if lost else True))
                    value = str(number)
            self.assertTrue(history.checked().linearizable)
            history.note(Operation("c", 399.5, 500, "0"))
            self.assertTrue(not history.checked().linearizable)


class Schedules(unittest.TestCase):
    def test_they_come_by_seed_and_overlap(self) -> None:
        keepers, gateways = [f"k{n}" for n in range(5)], [f"g{n}" for n in range(6)]
        kinds, overlaps = set(), 0
        for seed in range(40):
            made = schedule.drawn(seed, keepers, gateways, 20, quiet=3)
            self.assertEqual(made, schedule.drawn(seed, keepers, gateways, 20, quiet=3))
            self.assertLessEqual(max(one.until for one in made), 17)
            self.assertLessEqual(sum(one.kind == "disk" for one in made), 1)
            overlaps += sum(other.at < one.until for one, other in zip(made, made[1:]))
            kinds |= {one.kind for one in made}
            for one in made:
                if one.kind in schedule.PROCESS:
                    self.assertFalse(
                        [
                            other
                            for other in made
                            if other is not one
                            and other.who == one.who
                            and other.kind in schedule.PROCESS
                            and one.at <= other.at <= one.until
                        ]
                    )
        self.assertEqual({*schedule.PROCESS, *schedule.NETWORK}, kinds)
        self.assertGreater(overlaps, 100)


class Accounts(unittest.TestCase):
    def test_a_forbidden_relay_is_counted_by_what_its_gateway_could_know(self) -> None:
        asked = {name: Asked(name, "fleet", f"g{name}", "lookup", 1, 0, 1, 1, 1, 1) for name in "01234"}
        runs = {
            "0": [Run("engine 1", 10.5)],
            "1": [Run("engine 1", 12.5)],
            "2": [Run("engine 1", 12.6)],
            "3": [Run("engine 1", 9.9), Run("engine 2", 12.5), Run("engine 1", 20.1)],
            "4": [Run("engine 1", 12.4)],
        }
        found = contradictions(
            [Ban("engine", "engine 1", 10, 12, 20)],
            runs,
            asked,
            lambda one: "office",
            lambda gateway, at: gateway == "g2",
            lambda gateway, at: gateway == "g4",
        )
        self.assertEqual((1, 1, 1, 1), (found.joint, found.after, found.looking, found.kept))
        self.assertAlmostEqual(2.5, found.since_joint)
        self.assertAlmostEqual(0.5, found.since_in_force)
        for what, name in (("tariff", "lookup"), ("tenant", "office")):
            found = contradictions(
                [Ban(what, name, 10, 12, 20)],
                runs,
                asked,
                lambda one: "office",
                lambda gateway, at: False,
                lambda gateway, at: False,
            )
            self.assertEqual((1, 4), (found.joint, found.after))

    def test_time_without_a_commit_counts_only_while_a_majority_is_connected(self) -> None:
        majority = Spells()
        for now, holds in ((0, True), (1, True), (5, False), (20, True)):
            majority.look(holds, now)
        self.assertEqual(4, without_commit(majority, [1, 12, 21, 22], 0, 24))
        self.assertEqual(2, without_commit(majority, [1, 12, 22], 3, 24))
        self.assertEqual(
            [True, False, False, True],
            [majority.held(*one) for one in ((4, 6), (5.5, 7), (19, 19.5), (19, 20))],
        )


class Networks(unittest.TestCase):
    def play(self, script) -> list[tuple[str, bytes]]:  # noqa: ANN001
        """What an echo, and who calls it over a way, have heard, in order."""

        async def main() -> None:
            async def echo(made, tasks) -> None:  # noqa: ANN001
                peer = Peer(made, tasks)

                def take(data: bytes) -> None:
                    heard.append(("there", data))
                    peer.line.write(data.upper())

                await peer.run(take)
                heard.append(("there", b"end"))

            async def call() -> Peer:
                peer = Peer(await connect("127.0.0.1", way.port), tasks)

                async def read() -> None:
                    await peer.run(lambda data: heard.append(("back", data)))
                    heard.append(("back", b"end"))

                tasks.start_soon(read)
                return peer

            listener = listen()
            mesh = Mesh(["k1", "k2", "k3"])
            mesh.way("k1", "k2", listener.getsockname()[1])
            way = mesh.ways["k1", "k2"]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(serve, listener, echo)
                tasks.start_soon(mesh.run)
                await script(mesh, way, call)
                tasks.cancel_scope.cancel()

        heard: list[tuple[str, bytes]] = []
        anyio.run(main)
        return heard

    def test_held_connections_come_behind_newer_ones(self) -> None:
        async def script(mesh: Mesh, way: Way, call) -> None:  # noqa: ANN001
            old = await call()
            old.line.write(b"a")
            await anyio.sleep(0.05)
            way.hold()
            old.line.write(b"b")
            await anyio.sleep(0.02)
            old.scope.cancel()  # said and gone, and still on its way
            new = await call()
            new.line.write(b"c")
            await anyio.sleep(0.05)
            way.release()
            await anyio.sleep(0.1)

        there = [data for where, data in self.play(script) if where == "there"]
        self.assertEqual([b"a", b"c", b"b", b"end"], there)

    def test_one_way_silence_cut_and_loss(self) -> None:
        async def script(mesh: Mesh, way: Way, call) -> None:  # noqa: ANN001
            peer = await call()
            mesh.silence("k1", ["k2"], hears=False)
            peer.line.write(b"a")
            await anyio.sleep(0.05)
            told.append((mesh.hears("k1", "k2"), list(way.silent)))
            mesh.heal()
            await anyio.sleep(0.05)
            mesh.silence("k2", lost=True, hears=False)
            peer.line.write(b"b")  # heard, and its answer is lost for good
            await anyio.sleep(0.05)
            mesh.heal("k1")
            await anyio.sleep(0.05)
            peer = await call()
            peer.line.write(b"c")
            await anyio.sleep(0.05)
            mesh.cut("k2")
            await anyio.sleep(0.05)

        told: list = []
        heard = self.play(script)
        self.assertEqual([(False, ["there"])], told)
        self.assertEqual([b"a", b"b", b"end", b"c", b"end"], [data for at, data in heard if at == "there"])
        self.assertEqual([b"A", b"end", b"C", b"end"], [data for at, data in heard if at == "back"])

    def test_majorities(self) -> None:
        names = ["k1", "k2", "k3", "k4", "k5"]
        mesh = Mesh(names)
        for one in names:
            for other in names:
                if one != other:
                    mesh.ways[one, other] = Way.__new__(Way)
                    mesh.ways[one, other].__dict__.update(down=False, silent=set(), lost=set(), delay=0.0)
        self.assertEqual(tuple(names), mesh.majority())
        mesh.split([("k1", "k2"), ("k3", "k4", "k5")])
        self.assertEqual(("k3", "k4", "k5"), mesh.majority())
        self.assertEqual((), mesh.majority(out=["k4"]))
        mesh.split([("k3",), ("k4", "k5")])
        self.assertEqual((), mesh.majority())


class Case:
    """What one case has at hand: the fleet under a load, operators, and what was asked for."""

    def __init__(self, fleet: Fleet, tasks) -> None:  # noqa: ANN001
        self.fleet, self.mesh, self.tasks = fleet, fleet.mesh, tasks
        self.ports = {name: one.port for name, one in fleet.keepers.items()}
        self.operators: list[Operator] = []
        self.operator, helper = self.another("operator"), self.another("helper")
        self.watch = Watch(NAME, self.ports, tasks, fleet.keys)
        self.faults = Faults(fleet, lambda keeper: admitted(helper, keeper))
        self.bans: list[list] = []

    def another(self, name: str) -> Operator:
        self.operators.append(Operator(name, NAME, self.ports, self.tasks, self.fleet.keys))
        return self.operators[-1]

    async def leader(self) -> str:
        return await self.operator.leader()

    async def settled(self) -> None:
        """Until nothing waits to be in force."""
        with anyio.fail_after(10):
            while (told := await self.operator.ask(OperatorCommand("show"), 10))["turn"] < 2 * told["latest"]:
                await anyio.sleep(0.1)

    async def others(self) -> list[str]:
        leader = await self.leader()
        return [name for name in self.fleet.keepers if name != leader]

    async def bar(self, within: float, engine: str = "engine 0") -> Changed:
        made = await self.operator.change(
            edited("engines", self.fleet.engine_id(engine), EngineRule(True)), within
        )
        assert made is not None, "no keeper took it"
        self.bans.append(["engine", engine, made.version, math.inf])
        return made

    async def unbar(self, within: float, engine: str = "engine 0") -> Changed:
        for ban in self.bans:
            ban[3] = min(ban[3], anyio.current_time())
        return await self.operator.change(edited("engines", self.fleet.engine_id(engine), None), within)

    async def ran(self, engine: str, since: float) -> set[str]:
        """The gateways that have sent something there since."""
        return {
            self.fleet.account.asked[name].gateway
            for name, runs in (await self.fleet.runs()).items()
            for run in runs
            if run.engine == engine and run.began > since
        }


class Played(unittest.TestCase):
    """Five keepers, some gateways and six engines as processes; each case finds them healed."""

    given: dict = {}

    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.portal = cls.enterClassContext(start_blocking_portal())
        cls.fleet = Fleet(Path(folder.name), **cls.given)
        cls.enterClassContext(cls.portal.wrap_async_context_manager(cls.fleet.up()))

        async def first() -> None:
            async with anyio.create_task_group() as tasks:
                case = Case(cls.fleet, tasks)
                tasks.start_soon(case.watch.run)
                await listed(case.operator, case.watch, cls.fleet.gateways)
                tasks.cancel_scope.cancel()

        cls.portal.call(first)

    def play(self, script: Callable[[Case], Awaitable[None]], rate: float = 100.0) -> None:
        async def main() -> None:
            fleet = self.fleet
            # The seed differs in each case, since a submission's name comes from it.
            load = draw(FLEET_KINDS, [(0.0, rate)], 30.0, len(fleet.account.asked))
            async with anyio.create_task_group() as tasks:
                case = Case(fleet, tasks)
                tasks.start_soon(case.watch.run)
                tasks.start_soon(fleet.load, HALL, load)
                await case.settled()
                try:
                    await script(case)
                except Exception as trouble:  # told without the task groups around it
                    failed.append(trouble)
                finally:
                    fleet.mesh.heal()
                    for one in (*fleet.keepers.values(), *fleet.gateways.values()):
                        one.wake()
                        if not one.lives():
                            one.start()
                await case.unbar(10)
                runs = await fleet.runs()
                found = contradictions(
                    [case.watch.ban(*ban) for ban in case.bans],
                    runs,
                    fleet.account.asked,
                    tenant,
                    fleet.out,
                    fleet.looking,
                )
                await case.settled()
                tasks.cancel_scope.cancel()
                told.extend(found.told)
                told.extend(["longer than stated"] * (found.since_in_force > 2.5))
                for operator in case.operators:
                    operator.close()

        failed: list[Exception] = []
        told: list[str] = []
        self.portal.call(main)
        for trouble in failed:
            raise trouble
        self.assertEqual([], told)


class Hard(Played):
    def test_leader_frozen_and_woken(self) -> None:
        async def script(case: Case) -> None:
            leader = await case.leader()
            frozen = case.fleet.keepers[leader]
            frozen.freeze()
            made = await case.bar(8)  # others elect one, and commit
            self.assertNotEqual(leader, await case.leader())
            # Its leases are over before what it doesn't know of is in force.
            at = await case.watch.until(2 * made.version, 4)
            self.assertLess(at - made.asked, 5)
            await anyio.sleep(5 - (anyio.current_time() - made.asked))
            frozen.wake()
            await anyio.sleep(1)
            self.assertEqual(set(), await case.ran("engine 0", at + 0.05))

        self.play(script)

    def test_leader_that_hears_and_is_not_heard(self) -> None:
        async def script(case: Case) -> None:
            leader = await case.leader()
            case.mesh.silence(leader, hears=False)
            made = await case.bar(8)
            self.assertLess(made.answered - made.asked, 5)
            self.assertIsNotNone(await case.watch.until(2 * made.version, 4))

        self.play(script)

    def test_split_two_and_three_then_two_two_one(self) -> None:
        async def script(case: Case) -> None:
            leader, others = await case.leader(), await case.others()
            few = case.another("few")
            case.mesh.split([[leader, others[0], "g1", "g2"], [*others[1:], "g3", "g4", "g5", "g6"]])
            made = await case.bar(8)
            at = await case.watch.until(2 * made.version, 5)
            self.assertIsNotNone(at)
            # The old leader's side takes nothing, and tells nothing as the latest.
            self.assertIsNone(await few.documents(0.8, leader))
            case.mesh.split([others[1:2], [*others[2:], "g5", "g6"]])
            # Until its promise of an election time is over, the leader of the three may rightly tell more.
            await anyio.sleep(0.35)
            for keeper in case.ports:
                self.assertIsNone(await few.documents(0.15, keeper))
            case.mesh.heal()
            made = await case.unbar(8)
            self.assertIsNotNone(await case.watch.until(2 * made.version, 4))

        self.play(script)

    def test_all_keepers_killed_and_one_disk_lost(self) -> None:
        async def script(case: Case) -> None:
            made = await case.bar(8)
            for keeper in case.fleet.keepers.values():
                keeper.kill()
            case.fleet.lose_disk("k2")
            since = anyio.current_time()
            await anyio.sleep(2.5)
            served = [one for one in case.fleet.account.asked.values() if one.asked > since and one.in_time()]
            self.assertGreater(len(served), 50)
            for keeper in case.fleet.keepers.values():
                keeper.start()
            past = await case.operator.ask(OperatorCommand("past"), 6)
            self.assertIn(made.version, [one["version"] for one in past["past"]])
            members = await case.operator.ask(OperatorCommand("members"), 4)
            self.assertIn("k2/1", members["voters"])  # never under its old vote
            await admitted(case.another("helper-2"), "k2")
            members = await case.operator.ask(OperatorCommand("members"), 4)
            self.assertNotIn("k2/1", members["voters"])
            self.assertEqual(5, len(members["voters"]))

        self.play(script)

    def test_an_answer_that_is_lost_is_asked_for_again(self) -> None:
        async def script(case: Case) -> None:
            old = await case.operator.documents(4)
            new = edited("tariffs", CANARY.name, RequestClassRule(retry_budget_scale=0.5))(old)
            ask = OperatorCommand(
                "propose", "lost-1", base_versions=old.versions, delta=encode_delta(old, new), reason="once"
            )
            for keeper in case.ports:  # each takes it, and none can answer
                caller = case.another(f"lost-{keeper}").callers[keeper]
                await caller.put(encode_command(1, ask))
                await anyio.sleep(0.05)
                caller.close()
            told = [await case.operator.ask(ask, 4, keeper) for keeper in case.ports]
            self.assertEqual({True}, {one["accepted"] for one in told})
            self.assertEqual(1, len({one["version"] for one in told}))
            past = await case.operator.ask(OperatorCommand("past"), 4)
            self.assertEqual(1, [one["request"] for one in past["past"]].count("lost-1"))

        self.play(script)

    def test_joint_begun_and_its_leader_killed(self) -> None:
        async def script(case: Case) -> None:
            leader = await case.leader()
            case.fleet.gateways["g1"].freeze()  # its lease keeps the change joint
            made = await case.bar(8)
            self.assertIsNotNone(await case.watch.until(2 * made.version - 1, 3))
            self.assertIsNone(case.watch.told(2 * made.version))
            case.fleet.keepers[leader].kill()
            at = await case.watch.until(2 * made.version, 6)
            self.assertIsNotNone(at)
            case.fleet.gateways["g1"].wake()
            await anyio.sleep(0.5)
            self.assertFalse(await case.ran("engine 0", at + 0.05) - {"g1"})

        self.play(script)

    def test_an_engine_is_unbarred_while_half_is_cut_off(self) -> None:
        async def script(case: Case) -> None:
            half, rest = {"g1", "g2", "g3"}, {"g4", "g5", "g6"}
            made = await case.bar(8)
            self.assertIsNotNone(await case.watch.until(2 * made.version, 4))
            for name in sorted(half):
                case.mesh.silence(name)
            since = anyio.current_time()
            made = await case.unbar(8)
            at = await case.watch.until(2 * made.version, 5)
            # The joint lasted until the leases of half were over: in joint, nobody may.
            self.assertGreater(at - since, 0.5)
            await anyio.sleep(1)
            self.assertEqual(set(), await case.ran("engine 0", since) & half)
            self.assertEqual(rest, await case.ran("engine 0", since))
            case.mesh.heal()
            healed = anyio.current_time()
            await anyio.sleep(2.5)
            self.assertEqual(half | rest, await case.ran("engine 0", healed))

        self.play(script, 200.0)

    def test_histories_under_overlapping_faults_are_linearizable(self) -> None:
        async def script(case: Case) -> None:
            old = await case.operator.documents(4)
            rng, history = random.Random(5), History("0")
            self.assertNotIn("999999", old.placement.items)
            for keeper in case.ports:
                case.tasks.start_soon(
                    client,
                    case.another(f"client-{keeper}"),
                    keeper,
                    history,
                    lambda: rng.uniform(0.1, 0.3),
                    [],
                    [],
                )
            await case.faults.all(
                schedule.drawn(
                    5, list(case.fleet.keepers), list(case.fleet.gateways), 8.0, pause=0.8, disks=0
                )
            )
            await anyio.sleep(1)
            self.assertGreater(len(history.operations), 60)
            self.assertGreater(sum(one.base is not None and bool(one.done) for one in history.operations), 10)
            verdict = history.checked()
            self.assertTrue(verdict.linearizable, verdict.stuck)

        self.play(script, 20.0)


if __name__ == "__main__":
    unittest.main()
