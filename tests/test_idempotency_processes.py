"""Failure scenarios of idempotency records with gateways, engines and a store as separate processes.

Engines remember a key for 2 or 3 s instead of the 20 s in production; all other ages are scaled down alike.
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

DEDUP_WINDOW_S = 2.0
LOOKUP_KIND, LOAD_KIND = replace(world.KINDS[0], work=0.01), replace(world.KINDS[2], work=0.05)
# Replies may take this long and still count as good, so that a scenario can act before a reply arrives.
PATIENT_STORE_LINES = "    slow 1s\n    ask-most 1s\n"


def record_key(idempotency_key: str, tenant: str = "office") -> str:
    digest = records.digest_key("cresstray", tenant, f"{GUARDED_CLASS}/all", idempotency_key)
    return f"cresstray:m1:{digest.hex()}"


async def wait_for(read: Callable[[], Awaitable[object]]) -> object:
    with anyio.fail_after(8):
        while not (result := await read()):
            await anyio.sleep(0.005)
    return result


class Scenario:
    """Requests to a running fleet, and queries of its state."""

    def __init__(self, fleet: IdempotentFleet, store: SharedStore) -> None:
        self.fleet, self.store = fleet, store
        self._request_numbers = itertools.count(1)
        self._clients: dict[int, IdempotentClient] = {}

    async def submit_request(self, key: str, gateway: int, kind: Kind = LOAD_KIND) -> Asked:
        name = f"{next(self._request_numbers):016x}"
        self.fleet.idempotency_key_of[name] = key
        if gateway not in self._clients:
            self._clients[gateway] = self.fleet.client(HALL, gateway)
        return await self._clients[gateway].ask(Drawn(0.0, name, kind, kind.work, kind.work))

    async def submit_and_wait(self, key: str, gateway: int, kind: Kind = LOAD_KIND) -> str:
        asked = await self.submit_request(key, gateway, kind)
        return await self.wait_for_answer(asked)

    async def wait_for_answer(self, asked: Asked) -> str:
        async def read_answers() -> list:
            return asked.answers

        return (await wait_for(read_answers))[0][1]

    async def has_run(self, asked: Asked) -> bool:
        """Returns whether an engine has executed the request to its end, even if nobody got the result."""
        return any(run.effect and run.ended for run in (await self.fleet.runs()).get(asked.name, ()))

    async def read_record(self, name: str) -> IdempotencyRecord | None:
        """Returns the record in the store for this idempotency key."""
        stored_entries = {
            bytes.fromhex(entry["key"]).decode(): entry for entry in await self.store.tell("copy")
        }
        return (
            records.decode_record(bytes.fromhex(stored_entries[record_key(name)]["value"]))
            if record_key(name) in stored_entries
            else None
        )


class ExecutionCountTest(unittest.TestCase):
    def test_requests_with_one_key_count_as_one_piece_of_work(self) -> None:
        requests, idempotency_key_of = draw_repeated_load(
            [replace(LOAD_KIND, share=0.5), LOOKUP_KIND], 30.0, 2.0, 3, 2.0, 1
        )
        guarded_requests = [request for request in requests if request.kind is not LOOKUP_KIND]
        self.assertEqual(4 * len(set(idempotency_key_of.values())), len(guarded_requests))
        account = Account({GUARDED_CLASS: "deduplicated"}, 3, (5, 0.1, 5.0))
        for number, name in enumerate("abc"):
            answer = [(0.5, "fulfilled" if number else "denied")]
            account.asked[name] = Asked(name, HALL, "g1", GUARDED_CLASS, 10.0, 0, 1, 1, 1, 4, answer)
        for name, effect in (("a", False), ("b", True), ("b", True), ("c", True)):
            account.run(name, "engine 0", 0).effect = effect
        key_by_name = {"a": "m", "b": "m", "c": "m"}
        self.assertEqual(
            (2, 1.0), (count_repeated_executions(account, key_by_name), earned_share(account, key_by_name))
        )
        self.assertEqual(
            (1, 2 / 3), (count_repeated_executions(account, {"b": "m"}), earned_share(account, {"b": "m"}))
        )


class ProcessScenarioTest(unittest.TestCase):
    def run_scenario(
        self,
        play_scenario: Callable[[Scenario], Awaitable[None]],
        expected_repetitions: int = 0,
        **settings: object,
    ) -> Scenario:
        """Runs a scenario; checks that no promise is broken, and the number of repeated executions."""

        async def main() -> None:
            async with scenario.fleet.up():
                await anyio.sleep(1.0)  # a probe has found the store by then
                await play_scenario(scenario)
                await anyio.sleep(0.3)
                await scenario.fleet.runs()
                broken_promises = scenario.fleet.account.promises(anyio.current_time())
            self.assertEqual({}, {name: count for name, count in broken_promises.items() if count})
            self.assertEqual(
                expected_repetitions,
                count_repeated_executions(scenario.fleet.account, scenario.fleet.idempotency_key_of),
            )

        with tempfile.TemporaryDirectory() as folder, SharedStore() as store:
            scenario = Scenario(
                IdempotentFleet(Path(folder), store, **({"window_s": DEDUP_WINDOW_S} | settings)), store
            )
            anyio.run(main)
            self.counters = scenario.fleet.counters()
        self.assertEqual(0, self.counters.get("faults", 0))
        return scenario

    def test_1_requests_are_answered_in_time_while_the_store_is_slow_or_gone(self) -> None:
        async def play_scenario(scenario: Scenario) -> None:
            fleet = scenario.fleet
            await fleet.load(HALL, draw([LOOKUP_KIND], [(0.0, 80.0)], 1.0, 1))
            self.assertEqual([], await scenario.store.record_commands())
            requests, fleet.idempotency_key_of = draw_repeated_load(
                [replace(LOOKUP_KIND, share=0.5), replace(LOAD_KIND, share=0.5)], 50.0, 3.0, 1, 0.3, 2
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.load, HALL, requests)
                await anyio.sleep(1.2)
                await scenario.store.tell("slow uniform 1 5000")
                await anyio.sleep(1.0)
                record_commands = await scenario.store.record_commands()
                await scenario.store.kill()
            await anyio.sleep(1.5)
            # The store has got no commands but those for records.
            self.assertLess(10, len(record_commands))
            self.assertLessEqual(
                {key for _, key in record_commands},
                {record_key(key) for key in fleet.idempotency_key_of.values()},
            )

        scenario = self.run_scenario(play_scenario)
        asked = scenario.fleet.account.asked.values()
        self.assertEqual(
            {"fulfilled"}, {request.answers[0][1] for request in asked if request.tariff == "lookup"}
        )
        guarded_requests = [request for request in asked if request.tariff == GUARDED_CLASS]
        rejected_requests = [request for request in guarded_requests if request.answers[0][1] == "denied"]
        self.assertTrue(
            20 < len(rejected_requests) < len(guarded_requests) - 10,
            (len(rejected_requests), len(guarded_requests)),
        )
        # Lookups take a quarter of the slack at most, so rejections come long before the latency objective
        # ends.
        self.assertLess(
            max(request.answers[0][0] - request.asked for request in guarded_requests), LOAD_KIND.soft
        )

    def test_2_unknown_outcome_whose_report_is_delayed_fails_repeats(self) -> None:
        async def play_scenario(scenario: Scenario) -> None:
            link_directions = [
                scenario.fleet.mesh.ways["gateways", label] for label in scenario.fleet.engines
            ]
            for direction in link_directions:
                direction.silent.add("back")
            asked = await scenario.submit_request("a", 0, replace(LOAD_KIND, hard=1.5))
            await wait_for(lambda: scenario.has_run(asked))
            await scenario.store.tell("mute")
            self.assertNotEqual("fulfilled", await scenario.wait_for_answer(asked))
            await anyio.sleep(0.3)
            for direction in link_directions:
                direction.heal()
            await scenario.store.tell("speak")

            async def is_unknown() -> bool:
                record = await scenario.read_record("a")
                return record is not None and record.state is RecordState.UNKNOWN

            await wait_for(is_unknown)
            await anyio.sleep(max(0.0, asked.asked + 1.1 * DEDUP_WINDOW_S - anyio.current_time()))
            for gateway in range(3):

                async def is_abandoned(gateway: int = gateway) -> bool:
                    """Until its breaker closes, a gateway rejects the request."""
                    answer_state = await scenario.submit_and_wait("a", gateway)
                    self.assertIn(answer_state, ("abandoned", "denied"))
                    return answer_state == "abandoned"

                await wait_for(is_abandoned)

        self.run_scenario(play_scenario, network=True)

    def test_3_one_key_at_three_gateways_of_which_two_die(self) -> None:
        async def play_scenario(scenario: Scenario) -> None:
            async def read_holder() -> str:
                record = await scenario.read_record("a")
                return record.owner if record is not None else ""

            # One gateway writes a claim, and is killed before it gets the store's reply.
            await scenario.store.tell("late fixed 100")
            asked = [await scenario.submit_request("a", gateway) for gateway in range(3)]
            killed_name = await wait_for(read_holder)
            scenario.fleet.gateways[killed_name].kill()
            await scenario.store.tell("late fixed 0")
            remaining = [index for index in range(3) if f"g{index + 1}" != killed_name]
            self.assertIn("fulfilled", [await scenario.wait_for_answer(asked[index]) for index in remaining])
            self.assertEqual([], (await scenario.fleet.runs())[asked[int(killed_name[1]) - 1].name])
            # One gateway has sent an attempt, and is killed before it gets the outcome.
            started_s = anyio.current_time()
            second_request = await scenario.submit_request("b", remaining[0], replace(LOAD_KIND, work=0.6))
            await anyio.sleep(0.1)
            scenario.fleet.gateways[f"g{remaining[0] + 1}"].freeze()
            await wait_for(lambda: scenario.has_run(second_request))
            scenario.fleet.gateways[f"g{remaining[0] + 1}"].kill()
            for index in range(3):
                if index != remaining[1]:
                    scenario.fleet.gateways[f"g{index + 1}"].start()
            for index in range(3):
                await scenario.fleet.gateways[f"g{index + 1}"].ready()
            await anyio.sleep(max(0.0, started_s + 1.1 * DEDUP_WINDOW_S - anyio.current_time()))
            for key in "ab":
                for index in range(3):
                    self.assertNotEqual("fulfilled", await scenario.submit_and_wait(key, index))

        self.run_scenario(play_scenario, store_lines=PATIENT_STORE_LINES)

    def test_4_store_restarts_with_stale_records_then_empty(self) -> None:
        repeat_times_in_windows = (0.05, 0.95, 1.05, 2.0)

        async def play_scenario(scenario: Scenario) -> None:
            for key in "abcd":
                self.assertEqual("fulfilled", await scenario.submit_and_wait(key, 0))
            await anyio.sleep(1.5)
            first_request_s = anyio.current_time()
            for key in "efgh":
                self.assertEqual("fulfilled", await scenario.submit_and_wait(key, 1))
            await anyio.sleep(0.2)  # all reports are written; a late one would restore a lost record
            # The store restarts with its data of a third of a window ago, which has the first four records.
            await scenario.store.tell("restart stale 1000")
            self.assertIsNotNone(await scenario.read_record("d"))
            self.assertIsNone(await scenario.read_record("e"))
            await anyio.sleep(0.1)
            for number, (key, repeat_time) in enumerate(zip("efgh", repeat_times_in_windows)):
                await anyio.sleep(max(0.0, first_request_s + repeat_time * 3.0 - anyio.current_time()))
                await scenario.submit_and_wait(key, number % 3)
            for key in "efgh":
                await scenario.submit_and_wait(key, 2)
            for key in "abcd":
                self.assertNotEqual("fulfilled", await scenario.submit_and_wait(key, 2))
            await scenario.store.tell("restart empty")
            await anyio.sleep(0.5)
            for key in "abcd" * 2:
                await scenario.submit_and_wait(key, 1)

        # Of the four lost records, the two whose requests were repeated after the window; then all four, once
        # the store is empty.
        self.run_scenario(play_scenario, expected_repetitions=2 + 4, window_s=3.0)

    def test_5_gateway_suspended_past_its_claim_sends_nothing(self) -> None:
        async def play_scenario(scenario: Scenario) -> None:
            # The gateway may send an attempt, but has no engine.
            scenario.fleet.list_no_engines()
            await anyio.sleep(0.3)
            asked = await scenario.submit_request("a", 0)
            await wait_for(lambda: scenario.read_record("a"))
            await anyio.sleep(0.2)
            scenario.fleet.gateways["g1"].freeze()
            scenario.fleet.relist_engines()
            # The first claim is still valid; another gateway may take over within the engines' window.
            self.assertEqual("fulfilled", await scenario.submit_and_wait("a", 1))
            await anyio.sleep(max(0.0, asked.asked + 1.1 * DEDUP_WINDOW_S - anyio.current_time()))
            scenario.fleet.gateways["g1"].wake()
            await anyio.sleep(0.5)
            self.assertEqual([], (await scenario.fleet.runs())[asked.name])
            for gateway in range(3):
                self.assertNotEqual("fulfilled", await scenario.submit_and_wait("a", gateway))

        self.run_scenario(play_scenario)

    def test_6_flood_of_one_tenant_keeps_the_updates_of_others(self) -> None:
        flood_count, other_count = 2_700, 20

        async def play_scenario(scenario: Scenario) -> None:
            fleet = scenario.fleet
            await scenario.store.tell("freeze")
            fleet.gateways["g2"].freeze()
            requests = [
                Drawn(number / 600, f"{1 << 32 | number:016x}", LOAD_KIND, 0.002, 0.002)
                for number in range(flood_count + other_count)
            ]
            for request in requests:
                fleet.idempotency_key_of[request.name] = request.name * 2
            # The other tenant's requests come first; their updates must not be dropped.
            for request in requests[other_count:]:
                fleet.tenant_of[request.name] = "guest"
            await fleet.load(HALL, requests)
            memory_bytes = fleet.gateways["g1"].memory()
            self.assertLess(memory_bytes, 100 << 20)
            fleet.gateways["g2"].wake()
            await scenario.store.tell("thaw")
            for request in requests[:other_count]:
                self.assertEqual("fulfilled", fleet.account.asked[request.name].answers[0][1])

                async def is_completed(key: str = request.name * 2) -> bool:
                    record = await scenario.read_record(key)
                    return record is not None and record.state is RecordState.COMPLETED

                await wait_for(is_completed)
            await anyio.sleep(0.5)
            for request in requests[:other_count]:
                self.assertEqual("abandoned", await scenario.submit_and_wait(request.name * 2, 1))

        self.run_scenario(
            play_scenario, gateways=2, cores=64, store_lines=f"    unguarded {GUARDED_CLASS} 5000\n"
        )
        self.assertEqual(flood_count - 2_500, self.counters["idempotency: reports dropped"])


class IdempotentSites(world.World):
    """Two sites whose gateways share one store."""

    def __init__(self, folder: Path, store: SharedStore) -> None:
        self._store, self.idempotency_key_of = store, {}
        super().__init__(folder, gateways=1, engines=2, link="link\n    heal 1s\n")

    def _write(self, hall: world.Hall, settings: dict, link: str) -> None:
        super()._write(hall, settings, link)
        for gateway in hall.gateways:
            with open(self._folder / f"{gateway.name}.conf", "a") as file:
                file.write(self._store.operator_section())

    def client(self, hall: str, gateway: int = 0) -> IdempotentClient:
        gateway_process = self.halls[hall].gateways[gateway]
        client = IdempotentClient(
            hall, gateway_process.name, ("127.0.0.1", gateway_process.port), self.account, self._tasks
        )
        client.idempotency_key_of = self.idempotency_key_of
        gateway_process.clients.append(client)
        return client


class SitesTest(unittest.TestCase):
    def test_7_store_and_link_between_sites_fail_at_once(self) -> None:
        async def main(sites: IdempotentSites, store: SharedStore) -> None:
            requests, sites.idempotency_key_of = draw_repeated_load(
                [replace(LOAD_KIND, hard=1.5)], 12.0, 2.0, 2, 1.0, 3
            )
            async with sites.up():
                await anyio.sleep(1.5)
                sites.lose("hall-a", 2)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(sites.load, "hall-a", requests)
                    await anyio.sleep(1.0)
                    sites.cut()
                    await store.tell("freeze")
                    await anyio.sleep(1.0)
                    sites.heal()
                    await store.tell("thaw")
                await anyio.sleep(2.0)
                broken_promises = sites.account.promises(anyio.current_time())
            self.assertEqual({}, {name: count for name, count in broken_promises.items() if count})
            self.assertEqual(0, count_repeated_executions(sites.account, sites.idempotency_key_of))
            answer_states = {request.answers[0][1] for request in sites.account.asked.values()}
            self.assertEqual({"fulfilled", "denied", "abandoned"}, answer_states)
            self.assertLess(5, sites.counters().get("crossings offered", 0))

        with (
            tempfile.TemporaryDirectory() as folder,
            SharedStore() as store,
            patch.object(world, "_MEMORY", 2.0),
        ):
            anyio.run(main, IdempotentSites(Path(folder), store), store)


if __name__ == "__main__":
    unittest.main()
