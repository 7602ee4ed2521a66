"""Gateways, engines and a store as processes, and the hard cases of marks between them.

Engines know a key for 2 or 3 s in place of the users' 20, and all ages are shorter in the same measure.
"""

import itertools
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from unittest.mock import patch

import anyio

from cresstray.emulators import world
from cresstray.emulators.account import Account, Asked
from cresstray.emulators.clients import Drawn, Kind, draw
from cresstray.emulators.fleet.processes import HALL
from cresstray.emulators.idempotent_fleet import (
    GUARDED_CLASS,
    IdempotentClient,
    IdempotentFleet,
    SharedStore,
    count_repeated_executions,
    draw_repeated_load,
    earned_share,
)
from cresstray.idempotency import records
from cresstray.idempotency.records import IdempotencyRecord, RecordState

MEMORY = 2.0
LOOKUP, LOAD = replace(world.KINDS[0], work=0.01), replace(world.KINDS[2], work=0.05)
# The store's answers may be this late, and count as well: what happens in between can be told.
PATIENT = "    slow 1s\n    ask-most 1s\n"


def record_key(idempotency_key: str, tenant: str = "office") -> str:
    digest = records.digest_key("cresstray", tenant, f"{GUARDED_CLASS}/all", idempotency_key)
    return f"cresstray:m1:{digest.hex()}"


async def until(what: Callable[[], Awaitable[object]]) -> object:
    with anyio.fail_after(8):
        while not (found := await what()):
            await anyio.sleep(0.005)
    return found


class Scene:
    """What a case asks of a fleet that is up."""

    def __init__(self, fleet: IdempotentFleet, shared: SharedStore) -> None:
        self.fleet, self.shared = fleet, shared
        self._numbers = itertools.count(1)
        self._clients: dict[int, IdempotentClient] = {}

    async def ask(self, key: str, gateway: int, kind: Kind = LOAD) -> Asked:
        name = f"{next(self._numbers):016x}"
        self.fleet.idempotency_key_of[name] = key
        if gateway not in self._clients:
            self._clients[gateway] = self.fleet.client(HALL, gateway)
        return await self._clients[gateway].ask(Drawn(0.0, name, kind, kind.work, kind.work))

    async def answer(self, key: str, gateway: int, kind: Kind = LOAD) -> str:
        asked = await self.ask(key, gateway, kind)
        return await self.told(asked)

    async def told(self, asked: Asked) -> str:
        async def answers() -> list:
            return asked.answers

        return (await until(answers))[0][1]

    async def ran(self, asked: Asked) -> bool:
        """Whether it has, to its end, whoever has heard of it."""
        return any(run.effect and run.ended for run in (await self.fleet.runs()).get(asked.name, ()))

    async def record(self, name: str) -> IdempotencyRecord | None:
        """As the store has it."""
        held = {bytes.fromhex(one["key"]).decode(): one for one in await self.shared.tell("copy")}
        return (
            records.decode_record(bytes.fromhex(held[record_key(name)]["value"]))
            if record_key(name) in held
            else None
        )


class Counting(unittest.TestCase):
    def test_one_mark_is_one_piece_of_work(self) -> None:
        drawn, idempotency_key_of = draw_repeated_load(
            [replace(LOAD, share=0.5), LOOKUP], 30.0, 2.0, 3, 2.0, 1
        )
        marked = [one for one in drawn if one.kind is not LOOKUP]
        self.assertEqual(4 * len(set(idempotency_key_of.values())), len(marked))
        account = Account({GUARDED_CLASS: "deduplicated"}, 3, (5, 0.1, 5.0))
        for number, name in enumerate("abc"):
            answer = [(0.5, "fulfilled" if number else "denied")]
            account.asked[name] = Asked(name, HALL, "g1", GUARDED_CLASS, 10.0, 0, 1, 1, 1, 4, answer)
        for name, effect in (("a", False), ("b", True), ("b", True), ("c", True)):
            account.run(name, "engine 0", 0).effect = effect
        one = {"a": "m", "b": "m", "c": "m"}
        self.assertEqual((2, 1.0), (count_repeated_executions(account, one), earned_share(account, one)))
        self.assertEqual(
            (1, 2 / 3), (count_repeated_executions(account, {"b": "m"}), earned_share(account, {"b": "m"}))
        )


class Cases(unittest.TestCase):
    def play(
        self, script: Callable[[Scene], Awaitable[None]], second_runs: int = 0, **given: object
    ) -> Scene:
        """No promise is broken, and so many marks have run once more."""

        async def main() -> None:
            async with scene.fleet.up():
                await anyio.sleep(1.0)  # a trial has found the store
                await script(scene)
                await anyio.sleep(0.3)
                await scene.fleet.runs()
                broken = scene.fleet.account.promises(anyio.current_time())
            self.assertEqual({}, {name: count for name, count in broken.items() if count})
            self.assertEqual(
                second_runs, count_repeated_executions(scene.fleet.account, scene.fleet.idempotency_key_of)
            )

        with tempfile.TemporaryDirectory() as folder, SharedStore() as shared:
            scene = Scene(IdempotentFleet(Path(folder), shared, **({"window_s": MEMORY} | given)), shared)
            anyio.run(main)
            self.counters = scene.fleet.counters()
        self.assertEqual(0, self.counters.get("faults", 0))
        return scene

    def test_1_store_slow_then_gone_answers_in_time(self) -> None:
        async def script(scene: Scene) -> None:
            fleet = scene.fleet
            await fleet.load(HALL, draw([LOOKUP], [(0.0, 80.0)], 1.0, 1))
            self.assertEqual([], await scene.shared.record_commands())
            drawn, fleet.idempotency_key_of = draw_repeated_load(
                [replace(LOOKUP, share=0.5), replace(LOAD, share=0.5)], 50.0, 3.0, 1, 0.3, 2
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.load, HALL, drawn)
                await anyio.sleep(1.2)
                await scene.shared.tell("slow uniform 1 5000")
                await anyio.sleep(1.0)
                asked = await scene.shared.record_commands()
                await scene.shared.kill()
            await anyio.sleep(1.5)
            # Nothing but marks has ever been asked for.
            self.assertLess(10, len(asked))
            self.assertLessEqual(
                {one for _, one in asked}, {record_key(one) for one in fleet.idempotency_key_of.values()}
            )

        scene = self.play(script)
        asked = scene.fleet.account.asked.values()
        self.assertEqual({"fulfilled"}, {one.answers[0][1] for one in asked if one.tariff == "lookup"})
        marked = [one for one in asked if one.tariff == GUARDED_CLASS]
        denied = [one for one in marked if one.answers[0][1] == "denied"]
        self.assertTrue(20 < len(denied) < len(marked) - 10, (len(denied), len(marked)))
        # A quarter of the slack was spent at the most: a denial comes long before a last answer must.
        self.assertLess(max(one.answers[0][0] - one.asked for one in marked), LOAD.soft)

    def test_2_outcome_unknown_and_its_write_too(self) -> None:
        async def script(scene: Scene) -> None:
            ways = [scene.fleet.mesh.ways["gateways", label] for label in scene.fleet.engines]
            for way in ways:
                way.silent.add("back")
            asked = await scene.ask("a", 0, replace(LOAD, hard=1.5))
            await until(lambda: scene.ran(asked))
            await scene.shared.tell("mute")
            self.assertNotEqual("fulfilled", await scene.told(asked))
            await anyio.sleep(0.3)
            for way in ways:
                way.heal()
            await scene.shared.tell("speak")

            async def unknown() -> bool:
                record = await scene.record("a")
                return record is not None and record.state is RecordState.UNKNOWN

            await until(unknown)
            await anyio.sleep(max(0.0, asked.asked + 1.1 * MEMORY - anyio.current_time()))
            for gateway in range(3):

                async def abandoned(gateway: int = gateway) -> bool:
                    """Until a gateway asks the store again, it denies."""
                    how = await scene.answer("a", gateway)
                    self.assertIn(how, ("abandoned", "denied"))
                    return how == "abandoned"

                await until(abandoned)

        self.play(script, network=True)

    def test_3_three_at_once_and_two_gateways_die(self) -> None:
        async def script(scene: Scene) -> None:
            async def holder() -> str:
                record = await scene.record("a")
                return record.owner if record is not None else ""

            # One intends, and dies before it has heard that it may send.
            await scene.shared.tell("late fixed 100")
            asked = [await scene.ask("a", gateway) for gateway in range(3)]
            died = await until(holder)
            scene.fleet.gateways[died].kill()
            await scene.shared.tell("late fixed 0")
            left = [number for number in range(3) if f"g{number + 1}" != died]
            self.assertIn("fulfilled", [await scene.told(asked[number]) for number in left])
            self.assertEqual([], (await scene.fleet.runs())[asked[int(died[1]) - 1].name])
            # One has sent, and dies before it hears of the outcome.
            begun = anyio.current_time()
            sent = await scene.ask("b", left[0], replace(LOAD, work=0.6))
            await anyio.sleep(0.1)
            scene.fleet.gateways[f"g{left[0] + 1}"].freeze()
            await until(lambda: scene.ran(sent))
            scene.fleet.gateways[f"g{left[0] + 1}"].kill()
            for number in range(3):
                if number != left[1]:
                    scene.fleet.gateways[f"g{number + 1}"].start()
            for number in range(3):
                await scene.fleet.gateways[f"g{number + 1}"].ready()
            await anyio.sleep(max(0.0, begun + 1.1 * MEMORY - anyio.current_time()))
            for key in "ab":
                for number in range(3):
                    self.assertNotEqual("fulfilled", await scene.answer(key, number))

        self.play(script, store_lines=PATIENT)

    def test_4_store_back_with_old_marks_then_empty(self) -> None:
        ages = (0.05, 0.95, 1.05, 2.0)

        async def script(scene: Scene) -> None:
            for key in "abcd":
                self.assertEqual("fulfilled", await scene.answer(key, 0))
            await anyio.sleep(1.5)
            first = anyio.current_time()
            for key in "efgh":
                self.assertEqual("fulfilled", await scene.answer(key, 1))
            await anyio.sleep(0.2)  # outcomes are there: what waits to be written would put a key back
            # It has marks from a third of a memory ago: those of the first are there.
            await scene.shared.tell("restart stale 1000")
            self.assertIsNotNone(await scene.record("d"))
            self.assertIsNone(await scene.record("e"))
            await anyio.sleep(0.1)
            for number, (key, age) in enumerate(zip("efgh", ages)):
                await anyio.sleep(max(0.0, first + age * 3.0 - anyio.current_time()))
                await scene.answer(key, number % 3)
            for key in "efgh":
                await scene.answer(key, 2)
            for key in "abcd":
                self.assertNotEqual("fulfilled", await scene.answer(key, 2))
            await scene.shared.tell("restart empty")
            await anyio.sleep(0.5)
            for key in "abcd" * 2:
                await scene.answer(key, 1)

        # Of those that were lost, the two that were first asked again after the memory; and all, once empty.
        self.play(script, second_runs=2 + 4, window_s=3.0)

    def test_5_stopped_for_longer_than_its_intention(self) -> None:
        async def script(scene: Scene) -> None:
            # It may send, and has no engine to send it to.
            scene.fleet.list_no_engines()
            await anyio.sleep(0.3)
            asked = await scene.ask("a", 0)
            await until(lambda: scene.record("a"))
            await anyio.sleep(0.2)
            scene.fleet.gateways["g1"].freeze()
            scene.fleet.relist_engines()
            # Its intention still holds; another goes beside it, within the engines' memory.
            self.assertEqual("fulfilled", await scene.answer("a", 1))
            await anyio.sleep(max(0.0, asked.asked + 1.1 * MEMORY - anyio.current_time()))
            scene.fleet.gateways["g1"].wake()
            await anyio.sleep(0.5)
            self.assertEqual([], (await scene.fleet.runs())[asked.name])
            for gateway in range(3):
                self.assertNotEqual("fulfilled", await scene.answer("a", gateway))

        self.play(script)

    def test_6_a_flood_of_one_tenant(self) -> None:
        flood, few = 2_700, 20

        async def script(scene: Scene) -> None:
            fleet = scene.fleet
            await scene.shared.tell("freeze")
            fleet.gateways["g2"].freeze()
            drawn = [
                Drawn(number / 600, f"{1 << 32 | number:016x}", LOAD, 0.002, 0.002)
                for number in range(flood + few)
            ]
            for one in drawn:
                fleet.idempotency_key_of[one.name] = one.name * 2
            # The few come first, and are dropped last.
            for one in drawn[few:]:
                fleet.tenant_of[one.name] = "guest"
            await fleet.load(HALL, drawn)
            memory = fleet.gateways["g1"].memory()
            self.assertLess(memory, 100 << 20)
            fleet.gateways["g2"].wake()
            await scene.shared.tell("thaw")
            for one in drawn[:few]:
                self.assertEqual("fulfilled", fleet.account.asked[one.name].answers[0][1])

                async def there(key: str = one.name * 2) -> bool:
                    found = await scene.record(key)
                    return found is not None and found.state is RecordState.COMPLETED

                await until(there)
            await anyio.sleep(0.5)
            for one in drawn[:few]:
                self.assertEqual("abandoned", await scene.answer(one.name * 2, 1))

        self.play(script, gateways=2, cores=64, store_lines=f"    unguarded {GUARDED_CLASS} 5000\n")
        self.assertEqual(flood - 2_500, self.counters["idempotency: reports dropped"])


class IdempotentSites(world.World):
    """Two halls whose gateways share one store."""

    def __init__(self, folder: Path, shared: SharedStore) -> None:
        self._shared, self.idempotency_key_of = shared, {}
        super().__init__(folder, gateways=1, engines=2, link="link\n    heal 1s\n")

    def _write(self, hall: world.Hall, given: dict, link: str) -> None:
        super()._write(hall, given, link)
        for gateway in hall.gateways:
            with open(self._folder / f"{gateway.name}.conf", "a") as file:
                file.write(self._shared.operator_section())

    def client(self, hall: str, gateway: int = 0) -> IdempotentClient:
        one = self.halls[hall].gateways[gateway]
        client = IdempotentClient(hall, one.name, ("127.0.0.1", one.port), self.account, self._tasks)
        client.idempotency_key_of = self.idempotency_key_of
        one.clients.append(client)
        return client


class Halls(unittest.TestCase):
    def test_7_store_and_link_cut_at_once(self) -> None:
        async def main(halls: IdempotentSites, shared: SharedStore) -> None:
            drawn, halls.idempotency_key_of = draw_repeated_load(
                [replace(LOAD, hard=1.5)], 12.0, 2.0, 2, 1.0, 3
            )
            async with halls.up():
                await anyio.sleep(1.5)
                halls.lose("hall-a", 2)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(halls.load, "hall-a", drawn)
                    await anyio.sleep(1.0)
                    halls.cut()
                    await shared.tell("freeze")
                    await anyio.sleep(1.0)
                    halls.heal()
                    await shared.tell("thaw")
                await anyio.sleep(2.0)
                broken = halls.account.promises(anyio.current_time())
            self.assertEqual({}, {name: count for name, count in broken.items() if count})
            self.assertEqual(0, count_repeated_executions(halls.account, halls.idempotency_key_of))
            how = {one.answers[0][1] for one in halls.account.asked.values()}
            self.assertEqual({"fulfilled", "denied", "abandoned"}, how)
            self.assertLess(5, halls.counters().get("crossings offered", 0))

        with (
            tempfile.TemporaryDirectory() as folder,
            SharedStore() as shared,
            patch.object(world, "_MEMORY", 2.0),
        ):
            anyio.run(main, IdempotentSites(Path(folder), shared), shared)


if __name__ == "__main__":
    unittest.main()
