"""Tests of gateway processes with a persisted endpoint list: kills, restarts without discovery, handover."""

import contextlib
import io
import json
import signal
import socket
import struct
import tempfile
import time
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import SimpleNamespace

import anyio
from anyio.abc import TaskGroup

from cresstray.cli import cli
from cresstray.clock import Clock
from cresstray.config import operator
from cresstray.discovery.endpoint_list import EndpointEvent
from cresstray.discovery.watch import EndpointWatch
from cresstray.emulators.account import Account
from cresstray.emulators.coordinator import Coordinator, Listed
from cresstray.emulators.engine import Engine, Marks
from cresstray.emulators.world import KINDS, Gateway, settings
from cresstray.membership.estimate_states import ContactResult
from cresstray.membership.recovery import MAX_PROBES_AT_ONCE
from cresstray.membership.snapshot_files import SNAPSHOT_FILE_NAMES, SnapshotFolder
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from tests.harness import ClientStandIn
from tests.membership_fixtures import MembershipHarness, make_endpoint

FLEET_CONFIG = """fleet balancer
    beat 5ms
    election 20ms
    lease 100ms
    floor-lease 500ms
    most 2
keeper k1 127.0.0.1:1
member g0
"""


class GatewayFixture:
    """Four engines, and one gateway process with a snapshot folder.

    The address of the coordinator, which is the discovery service, is given with each start.

    Attributes:
        listed: The engines as the coordinator lists them.
        names: The number of the last request name.
        known: The endpoint list of an old configuration file.
    """

    def __init__(self, folder: str) -> None:
        self.path = Path(folder)
        self.snapshot_folder = self.path / "kept"
        self.snapshot_folder.mkdir()
        marks, account = Marks(20.0), Account({kind.name: kind.effect for kind in KINDS}, 3, (5, 0.1, 5.0))
        self.engines = [Engine(f"engine {number}", 4, marks, account) for number in range(4)]
        self.listed = [Listed(number + 1, engine.port) for number, engine in enumerate(self.engines)]
        self.gateway = Gateway("g0", self.path)
        self.lines: list[str] = []
        self.names = 0
        self.known: dict = {}

    def write(self, coordinator: str | None, extra_config: str = "", known: bool = False) -> None:
        """Writes the configuration files; `known`: with the endpoint list of an old configuration."""
        gateway_settings = settings(KINDS, 1, 4)
        gateway_settings["Tenants"] = [{"Name": "acme"}]
        (self.path / "g0.conf").write_text(f"kept {self.snapshot_folder}\n{extra_config}")
        (self.path / "g0.json").write_text(
            json.dumps(
                {
                    "name": "g0",
                    "listen": f"127.0.0.1:{self.gateway.port}",
                    "seed": "7",
                    "settings": gateway_settings,
                    "coordinator": coordinator,
                    "known": self.known if known else {},
                }
            )
        )

    async def start(
        self, coordinator: str | None = "127.0.0.1:1", extra_config: str = "", known: bool = False
    ) -> float:
        """Starts the gateway and waits until it is ready; returns when it was started."""
        started_s = time.monotonic()
        self.write(coordinator, extra_config, known)
        self.gateway.start()
        await self.gateway.ready()
        return started_s

    async def ask(self, request_class: str = "lookup", name: int = 0) -> dict:
        """Sends a request, by a new name if none is given, and returns the answer."""
        if not name:
            name = self.names = self.names + 1
        async with await anyio.connect_tcp("127.0.0.1", self.gateway.port) as stream:
            client = ClientStandIn(stream, self.lines, names=name - 1)
            await client.send_request(1, "run 20 1 1", request_class, 300)
            return await client.receive_response()

    async def run_first_gateway(self, tasks: TaskGroup) -> None:
        """Runs a gateway that serves, and then learns that the fourth engine is removed."""
        coordinator = Coordinator(self.listed)
        self.known = coordinator.known
        tasks.start_soon(coordinator.run)
        await self.start(coordinator.address)
        await self.wait_for_served(8, 5)
        self.listed[3].state = "terminated"
        coordinator.tell(self.listed[3])

    async def wait_for_served(self, count: int, timeout_s: float) -> None:
        """Sends lookups, several at once to need more than one engine, until `count` are served."""
        served = 0

        async def send_lookup() -> None:
            nonlocal served
            served += "result" in await self.ask()

        with anyio.fail_after(timeout_s):
            while served < count:
                async with anyio.create_task_group() as tasks:
                    for _ in range(8):
                        tasks.start_soon(send_lookup)
                await anyio.sleep(0.05 if served < count else 0)

    async def wait_for_snapshot(self, endpoint_ids: list[int], tombstone_ids: list[int]) -> None:
        """Waits until the newest snapshot has these endpoints and tombstones."""
        with anyio.fail_after(8):
            while True:
                found = SnapshotFolder(str(self.snapshot_folder), "g0").read().snapshot
                if found and (
                    [
                        sorted(entry.id for entry in found.endpoints),
                        sorted(tombstone.id for tombstone in found.tombstones),
                    ]
                    == [endpoint_ids, tombstone_ids]
                ):
                    return
                await anyio.sleep(0.1)

    def received_counts(self) -> list[int]:
        """Returns how many requests each engine has received."""
        return [engine.got for engine in self.engines]

    def log(self) -> str:
        """Returns the log of the gateway."""
        return (self.path / "g0.log").read_text()

    def counts(self) -> dict[str, int]:
        """Returns the counters of the last report in the log."""
        lines = [line.split(" counter: ")[1] for line in self.log().splitlines() if " counter: " in line]
        return {name: int(amount) for name, _, amount in (line.rpartition(" ") for line in lines)}


def command(*arguments: str) -> tuple[int, str]:
    """Runs a command on a snapshot folder; returns its exit code and output."""
    with (
        contextlib.redirect_stdout(io.StringIO()) as out,
        contextlib.redirect_stderr(io.StringIO()) as errors,
    ):
        try:
            code = cli(["kept", *arguments])
        except SystemExit as exit_request:
            code = exit_request.code
    return code, out.getvalue() + errors.getvalue()


class RestartTest(unittest.TestCase):
    """Restarts of a gateway process, mostly without discovery."""

    def run_scenario(
        self, scenario: Callable[[GatewayFixture], Awaitable], has_predecessor: bool = True
    ) -> GatewayFixture:
        """Runs a scenario; `has_predecessor`: after `run_first_gateway`."""

        async def main() -> GatewayFixture:
            with tempfile.TemporaryDirectory() as folder:
                fixture = GatewayFixture(folder)
                async with anyio.create_task_group() as tasks:
                    for engine in fixture.engines:
                        tasks.start_soon(engine.run)
                    try:
                        if has_predecessor:
                            await fixture.run_first_gateway(tasks)
                        await scenario(fixture)
                        await fixture.gateway.stop()
                        self.assertEqual(0, fixture.gateway.process.returncode)
                        self.assertNotIn("broken", fixture.log())
                        self.assertNotIn("Traceback", fixture.log())
                    finally:
                        if fixture.gateway.lives():
                            fixture.gateway.kill()
                        tasks.cancel_scope.cancel()
            return fixture

        return anyio.run(main)

    def test_gateway_killed_and_restarted_without_discovery_serves_by_its_snapshot(self) -> None:
        async def scenario(fixture: GatewayFixture) -> None:
            await fixture.wait_for_snapshot([1, 2, 3], [4])
            fixture.gateway.kill()
            fixture.engines[2].die()
            before = fixture.received_counts()
            started_s = await fixture.start()
            once = await fixture.ask("ledger-post")
            self.assertEqual(
                -32000, once["error"]["code"], "a request that may run once was sent to an unproven endpoint"
            )
            await fixture.wait_for_served(1, 5)
            self.assertLess(time.monotonic() - started_s, 5)
            await fixture.wait_for_served(16, 5)
            self.assertIn("recovered 3 endpoints", fixture.log())
            self.assertEqual(
                before[2:], fixture.received_counts()[2:], "sent to a removed or refusing engine"
            )
            self.assertTrue(
                all(now > old for now, old in zip(fixture.received_counts(), before[:2])),
                "an engine is left idle",
            )
            self.assertIn("result", await fixture.ask("ledger-post"))
            await self.check_discovery_overrides(fixture)

        fixture = self.run_scenario(scenario)
        self.assertGreaterEqual(fixture.names, 30)

    async def check_discovery_overrides(self, fixture: GatewayFixture) -> None:
        """The coordinator is behind at first, and names a removed engine; later it removes two others."""
        fixture.listed[3].state = "in_service"
        async with anyio.create_task_group() as tasks:
            coordinator = Coordinator([fixture.listed[0], fixture.listed[1], fixture.listed[3]])
            tasks.start_soon(coordinator.run)
            fixture.write(coordinator.address)
            fixture.gateway.process.send_signal(signal.SIGHUP)
            await anyio.sleep(0.4)
            before = fixture.received_counts()
            await fixture.wait_for_served(8, 5)
            self.assertEqual(
                before[3], fixture.received_counts()[3], "an older list has brought back a removed engine"
            )
            fixture.engines[2].start_again()
            fixture.listed[0].state = fixture.listed[1].state = "terminated"
            coordinator.tell(fixture.listed[2])
            coordinator.tell(fixture.listed[0], fixture.listed[1])
            await anyio.sleep(0.3)
            before = fixture.received_counts()
            await fixture.wait_for_served(8, 5)
            after = fixture.received_counts()
            self.assertEqual([*before[:2], before[3]], [*after[:2], after[3]])
            self.assertGreaterEqual(after[2] - before[2], 8)
            fixture.gateway.process.send_signal(signal.SIGUSR1)
            await anyio.sleep(0.3)
            counts = fixture.counts()
            self.assertEqual(1, counts["membership: outdated endpoints left out"])
            self.assertGreaterEqual(counts["membership: endpoints unreachable"], 1)
            self.assertTrue(
                all(
                    counts[f"background: {job} turns"] for job in ("connection probes", "membership snapshot")
                )
            )
            self.assertFalse(any(amount for name, amount in counts.items() if name.endswith("failures")))
            tasks.cancel_scope.cancel()

    def test_planned_restart_hands_over_endpoints_and_request_names(self) -> None:
        async def scenario(fixture: GatewayFixture) -> None:
            self.assertIn(
                "its gateway runs",
                command("forget", str(fixture.snapshot_folder), "s-00000001", "--name", "g0")[1],
            )
            await anyio.sleep(0.1)  # for the event of the coordinator to arrive
            name = fixture.names
            await fixture.gateway.stop()
            self.assertEqual(0, fixture.gateway.process.returncode)
            await fixture.start()
            ready_s = time.monotonic()
            self.assertIn("result", await fixture.ask())
            self.assertLess(time.monotonic() - ready_s, 0.5)
            self.assertIn("handed over", fixture.log())
            repeated = await fixture.ask(name=name)
            self.assertEqual(-32602, repeated["error"]["code"], "a name in use was accepted again")
            await self.check_overlapping_handover(fixture)

        self.run_scenario(scenario)

    async def check_overlapping_handover(self, fixture: GatewayFixture) -> None:
        """The successor starts while its predecessor still serves, and takes over from it."""
        predecessor, fixture.gateway = fixture.gateway, Gateway("g0", fixture.path)
        try:
            await fixture.start()
            name, handover_count = fixture.names, fixture.log().count("handed over")
            await fixture.wait_for_served(5, 5)
            await predecessor.stop()
            self.assertEqual(0, predecessor.process.returncode)
            with anyio.fail_after(5):
                while fixture.log().count("handed over") == handover_count:
                    await anyio.sleep(0.1)
            self.assertEqual(-32602, (await fixture.ask(name=name))["error"]["code"])
            self.assertIn("result", await fixture.ask())
        finally:
            if predecessor.lives():
                predecessor.kill()

    def test_damaged_file_is_skipped_and_snapshot_overrides_an_old_configuration(self) -> None:
        async def scenario(fixture: GatewayFixture) -> None:
            await fixture.wait_for_snapshot([1, 2, 3], [4])
            await fixture.gateway.stop()
            newest = (
                fixture.snapshot_folder / SnapshotFolder(str(fixture.snapshot_folder), "g0").read().file_name
            )
            data = bytearray(newest.read_bytes())
            data[-5] ^= 0x10
            newest.write_bytes(data)
            code, output = command("verify", str(fixture.snapshot_folder), "--name", "g0")
            self.assertEqual(1, code)
            self.assertIn(f"{newest.name}: damaged", output)
            await fixture.start(extra_config=FLEET_CONFIG)
            await fixture.wait_for_served(3, 5)
            self.assertEqual(1, fixture.log().count("skipped, damaged"))
            fixture.gateway.kill()
            self.check_commands(str(fixture.snapshot_folder))
            # The endpoint list of the configuration is older than the snapshot, and names all four engines.
            await fixture.start(known=True)
            before = fixture.received_counts()
            await fixture.wait_for_served(10, 5)
            self.assertEqual(
                [before[0], before[3]], [fixture.received_counts()[0], fixture.received_counts()[3]]
            )

        self.run_scenario(scenario)

    def check_commands(self, folder: str) -> None:
        """Checks the commands on the folder of a stopped gateway."""
        name = ("--name", "g0")
        code, output = command("show", folder, *name)
        self.assertEqual(0, code)
        self.assertIn("gone s-00000004", output)
        self.assertEqual((0, 3), (code, output.count("engine s-")))
        self.assertEqual((0, "s-00000001 is forgotten\n"), command("forget", folder, "s-00000001", *name))
        exported = json.loads(command("export", folder, *name)[1])
        self.assertEqual(
            [2, ["s-00000004", "s-00000001"]],
            [len(exported["engines"]), [tombstone["id"] for tombstone in exported["gone"]]],
        )
        self.assertEqual(2, command("forget", folder, "s-00000001", *name)[0])
        self.assertEqual(2, command("show", folder, "--name", "g1")[0])
        self.assertEqual(0, command("verify", folder, *name)[0])

    def test_gateway_without_snapshot_and_discovery_rejects_requests(self) -> None:
        async def scenario(fixture: GatewayFixture) -> None:
            for name in SNAPSHOT_FILE_NAMES:
                (fixture.snapshot_folder / name).write_bytes(b"no list")
            await fixture.start()
            self.assertEqual(2, fixture.log().count("skipped, not a snapshot"))
            await anyio.sleep(0.5)
            asked_s = time.monotonic()
            self.assertGreater((await fixture.ask())["error"]["data"]["holdoff"], 0)
            self.assertLess(time.monotonic() - asked_s, 0.2, "the request was queued, not rejected")

        self.run_scenario(scenario, has_predecessor=False)


class ChunkTest(unittest.TestCase):
    """Probes and listings in chunks, so that the event loop is not blocked."""

    def test_long_list_is_probed_and_listed_in_chunks(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            first = MembershipHarness(folder)
            first.on_discovery_event(
                EndpointEvent(50, True, [make_endpoint(number) for number in range(1, 21)])
            )
            first.write_snapshot()
            first.membership.close()
            successor, probed_ids = MembershipHarness(folder), []
            membership = successor.membership
            self.assertTrue(membership.queue_due_probes(successor.now))
            tasks = SimpleNamespace(start_soon=lambda _, endpoint, clock: probed_ids.append(endpoint.id))
            chunk_sizes = [membership.start_probes(tasks, None) for _ in range(8 // MAX_PROBES_AT_ONCE + 1)]
            self.assertEqual([MAX_PROBES_AT_ONCE] * (8 // MAX_PROBES_AT_ONCE) + [0], chunk_sizes)
            self.assertEqual(
                (8, successor.counters.counts["membership: probes"]), (len(set(probed_ids)), len(probed_ids))
            )
            for endpoint_id in probed_ids:
                membership._on_contact(endpoint_id, ContactResult.LISTENING, successor.now)
            successor.apply_event(membership.take_changes(successor.now, 3))
            removed_id = probed_ids[0]
            membership._on_contact(removed_id, ContactResult.REFUSED, successor.now)
            event = membership.take_changes(successor.now, 3)
            self.assertEqual(
                (removed_id, 4),
                (event.endpoints[0].id, len(event.endpoints)),
                "a removed endpoint has waited",
            )
            self.assertTrue(membership.has_changes)
            self.assertEqual(
                [2, None],
                [
                    len(membership.take_changes(successor.now, 3).endpoints),
                    membership.take_changes(successor.now, 3),
                ],
            )


class OlderListTest(unittest.TestCase):
    """A coordinator that was set up anew starts with a complete list of a smaller index."""

    def received_indexes(self, accepts_older_list: bool) -> tuple[list[int], int]:
        """Returns the indexes of the events that a watch passes on, and its last index."""

        async def main() -> tuple[list[int], int]:
            indexes, clock = [], Clock()
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            watch = EndpointWatch(
                f"127.0.0.1:{listener.getsockname()[1]}",
                0,
                lambda event: indexes.append(event.index),
                Counters(),
                Log("n0", clock),
            )
            watch.accepts_older_list = accepts_older_list
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch.run, tasks)
                # One connection each: a complete list and changes; older complete lists and changes; changes.
                for events in (((5, 1), (6, 2)), ((2, 1), (1, 1), (3, 2)), ((1, 2), (7, 2))):
                    await anyio.wait_readable(listener)
                    connection = listener.accept()[0]
                    connection.sendall(b"".join(struct.pack(">IQB", 9, *event) for event in events))
                    await anyio.sleep(0.1)
                    connection.close()
                tasks.cancel_scope.cancel()
            listener.close()
            return indexes, watch.last_index

        with contextlib.redirect_stderr(io.StringIO()):
            return anyio.run(main)

    def test_older_list_is_passed_on_only_to_a_gateway_that_persists_its_list(self) -> None:
        self.assertEqual(([5, 6, 7], 7), self.received_indexes(False))
        self.assertEqual(([5, 6, 2, 3, 7], 7), self.received_indexes(True))


class OperatorFileTest(unittest.TestCase):
    """The section of the operator's file."""

    def test_valid_section_is_read_and_invalid_ones_are_rejected(self) -> None:
        self.assertEqual("/var/lib/cresstray/ga0", operator.read("deploy/kept.conf").kept.folder)
        for invalid in ("kept\n", "kept here\n", "kept /a\n    every 2s\n", "kept /a\nkept /b\n"):
            with self.assertRaises(operator.UnusableError):
                operator.parse("file.conf", invalid)


if __name__ == "__main__":
    unittest.main()
