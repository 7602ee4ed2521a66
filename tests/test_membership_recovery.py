"""Gateways with a kept list, as processes: killed, restarted without a coordinator, contradicted by one."""

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
from tests.desk import ClientStandIn
from tests.membership_fixtures import MembershipHarness, make_endpoint

FLEET = """fleet balancer
    beat 5ms
    election 20ms
    lease 100ms
    floor-lease 500ms
    most 2
keeper k1 127.0.0.1:1
member g0
"""


class GatewayFixture:
    """Four engines, and one gateway with a folder; who the coordinator is, is told with each start."""

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
        self.known: dict = {}  # as a configuration that was written before all that happened names engines

    def write(self, coordinator: str | None, more: str = "", known: bool = False) -> None:
        given = settings(KINDS, 1, 4)
        given["Tenants"] = [{"Name": "acme"}]
        (self.path / "g0.conf").write_text(f"kept {self.snapshot_folder}\n{more}")
        (self.path / "g0.json").write_text(
            json.dumps(
                {
                    "name": "g0",
                    "listen": f"127.0.0.1:{self.gateway.port}",
                    "seed": "7",
                    "settings": given,
                    "coordinator": coordinator,
                    "known": self.known if known else {},
                }
            )
        )

    async def start(
        self, coordinator: str | None = "127.0.0.1:1", more: str = "", known: bool = False
    ) -> float:
        """When it was begun."""
        begun = time.monotonic()
        self.write(coordinator, more, known)
        self.gateway.start()
        await self.gateway.ready()
        return begun

    async def ask(self, request_class: str = "lookup", name: int = 0) -> dict:
        if not name:
            name = self.names = self.names + 1
        async with await anyio.connect_tcp("127.0.0.1", self.gateway.port) as stream:
            client = ClientStandIn(stream, self.lines, names=name - 1)
            await client.ask(1, "run 20 1 1", request_class, 300)
            return await client.hear()

    async def run_first_gateway(self, tasks: TaskGroup) -> None:
        coordinator = Coordinator(self.listed)
        self.known = coordinator.known
        tasks.start_soon(coordinator.run)
        await self.start(coordinator.address)
        await self.wait_for_served(8, 5)
        self.listed[3].state = "terminated"
        coordinator.tell(self.listed[3])

    async def wait_for_served(self, count: int, within: float) -> None:
        """That many lookups at the least, some at a time, so that they need more than one engine."""
        served = 0

        async def one() -> None:
            nonlocal served
            served += "result" in await self.ask()

        with anyio.fail_after(within):
            while served < count:
                async with anyio.create_task_group() as tasks:
                    for _ in range(8):
                        tasks.start_soon(one)
                await anyio.sleep(0.05 if served < count else 0)

    async def wait_for_snapshot(self, engines: list[int], gone: list[int]) -> None:
        with anyio.fail_after(8):
            while True:
                found = SnapshotFolder(str(self.snapshot_folder), "g0").read().snapshot
                if found and (
                    [sorted(one.id for one in found.endpoints), sorted(one.id for one in found.tombstones)]
                    == [engines, gone]
                ):
                    return
                await anyio.sleep(0.1)

    def received_counts(self) -> list[int]:
        return [engine.got for engine in self.engines]

    def log(self) -> str:
        return (self.path / "g0.log").read_text()

    def counts(self) -> dict[str, int]:
        """By the last report in the log."""
        told = [line.split(" counter: ")[1] for line in self.log().splitlines() if " counter: " in line]
        return {name: int(amount) for name, _, amount in (line.rpartition(" ") for line in told)}


def command(*words: str) -> tuple[int, str]:
    with contextlib.redirect_stdout(io.StringIO()) as out, contextlib.redirect_stderr(io.StringIO()) as said:
        try:
            code = cli(["kept", *words])
        except SystemExit as ended:
            code = ended.code
    return code, out.getvalue() + said.getvalue()


class Restarts(unittest.TestCase):
    def play(self, scene: Callable[[GatewayFixture], Awaitable], before: bool = True) -> GatewayFixture:
        """`before`: a gateway has served, and has been told that the fourth engine is gone."""

        async def main() -> GatewayFixture:
            with tempfile.TemporaryDirectory() as folder:
                stage = GatewayFixture(folder)
                async with anyio.create_task_group() as tasks:
                    for engine in stage.engines:
                        tasks.start_soon(engine.run)
                    try:
                        if before:
                            await stage.run_first_gateway(tasks)
                        await scene(stage)
                        await stage.gateway.stop()
                        self.assertEqual(0, stage.gateway.process.returncode)
                        self.assertNotIn("broken", stage.log())
                        self.assertNotIn("Traceback", stage.log())
                    finally:
                        if stage.gateway.lives():
                            stage.gateway.kill()
                        tasks.cancel_scope.cancel()
            return stage

        return anyio.run(main)

    def test_killed_and_started_with_nobody_to_ask(self) -> None:
        async def scene(stage: GatewayFixture) -> None:
            await stage.wait_for_snapshot([1, 2, 3], [4])
            stage.gateway.kill()
            stage.engines[2].die()
            before = stage.received_counts()
            begun = await stage.start()
            once = await stage.ask("ledger-post")
            self.assertEqual(-32000, once["error"]["code"], "what may run once went out on a guess")
            await stage.wait_for_served(1, 5)
            self.assertLess(time.monotonic() - begun, 5)
            await stage.wait_for_served(16, 5)
            self.assertIn("recovered 3 endpoints", stage.log())
            self.assertEqual(
                before[2:], stage.received_counts()[2:], "sent to one that is gone, or that refuses"
            )
            self.assertTrue(
                all(now > old for now, old in zip(stage.received_counts(), before[:2])), "one is left idle"
            )
            self.assertIn("result", await stage.ask("ledger-post"))
            await self.contradicted(stage)

        stage = self.play(scene)
        self.assertGreaterEqual(stage.names, 30)

    async def contradicted(self, stage: GatewayFixture) -> None:
        """A coordinator that is behind at first, and names who is gone; then says who else is."""
        stage.listed[3].state = "in_service"
        async with anyio.create_task_group() as tasks:
            coordinator = Coordinator([stage.listed[0], stage.listed[1], stage.listed[3]])
            tasks.start_soon(coordinator.run)
            stage.write(coordinator.address)
            stage.gateway.process.send_signal(signal.SIGHUP)
            await anyio.sleep(0.4)
            before = stage.received_counts()
            await stage.wait_for_served(8, 5)
            self.assertEqual(before[3], stage.received_counts()[3], "an old list has raised the dead")
            stage.engines[2].start_again()
            stage.listed[0].state = stage.listed[1].state = "terminated"
            coordinator.tell(stage.listed[2])
            coordinator.tell(stage.listed[0], stage.listed[1])
            await anyio.sleep(0.3)
            before = stage.received_counts()
            await stage.wait_for_served(8, 5)
            after = stage.received_counts()
            self.assertEqual([*before[:2], before[3]], [*after[:2], after[3]])
            self.assertGreaterEqual(after[2] - before[2], 8)
            stage.gateway.process.send_signal(signal.SIGUSR1)
            await anyio.sleep(0.3)
            counts = stage.counts()
            self.assertEqual(1, counts["membership: outdated endpoints left out"])
            self.assertGreaterEqual(counts["membership: endpoints unreachable"], 1)
            self.assertTrue(
                all(
                    counts[f"background: {job} turns"] for job in ("connection probes", "membership snapshot")
                )
            )
            self.assertFalse(any(amount for name, amount in counts.items() if name.endswith("failures")))
            tasks.cancel_scope.cancel()

    def test_planned_restart_hands_over(self) -> None:
        async def scene(stage: GatewayFixture) -> None:
            self.assertIn(
                "its gateway runs",
                command("forget", str(stage.snapshot_folder), "s-00000001", "--name", "g0")[1],
            )
            await anyio.sleep(0.1)  # the list has been told
            name = stage.names
            await stage.gateway.stop()
            self.assertEqual(0, stage.gateway.process.returncode)
            await stage.start()
            ready = time.monotonic()
            self.assertIn("result", await stage.ask())
            self.assertLess(time.monotonic() - ready, 0.5)
            self.assertIn("handed over", stage.log())
            again = await stage.ask(name=name)
            self.assertEqual(-32602, again["error"]["code"], "a name in use was taken again")
            await self.overlapping(stage)

        self.play(scene)

    async def overlapping(self, stage: GatewayFixture) -> None:
        """The successor begins while the one before still serves, and takes over from it."""
        before, stage.gateway = stage.gateway, Gateway("g0", stage.path)
        try:
            await stage.start()
            name, handed = stage.names, stage.log().count("handed over")
            await stage.wait_for_served(5, 5)
            await before.stop()
            self.assertEqual(0, before.process.returncode)
            with anyio.fail_after(5):
                while stage.log().count("handed over") == handed:
                    await anyio.sleep(0.1)
            self.assertEqual(-32602, (await stage.ask(name=name))["error"]["code"])
            self.assertIn("result", await stage.ask())
        finally:
            if before.lives():
                before.kill()

    def test_damaged_file_and_the_fleets_rules(self) -> None:
        async def scene(stage: GatewayFixture) -> None:
            await stage.wait_for_snapshot([1, 2, 3], [4])
            await stage.gateway.stop()
            newest = stage.snapshot_folder / SnapshotFolder(str(stage.snapshot_folder), "g0").read().file_name
            data = bytearray(newest.read_bytes())
            data[-5] ^= 0x10
            newest.write_bytes(data)
            code, said = command("verify", str(stage.snapshot_folder), "--name", "g0")
            self.assertEqual(1, code)
            self.assertIn(f"{newest.name}: damaged", said)
            await stage.start(more=FLEET)
            await stage.wait_for_served(3, 5)
            self.assertEqual(1, stage.log().count("skipped, damaged"))
            stage.gateway.kill()
            self.commands(str(stage.snapshot_folder))
            # The configuration's own list is older than what is kept, and names all four.
            await stage.start(known=True)
            before = stage.received_counts()
            await stage.wait_for_served(10, 5)
            self.assertEqual([before[0], before[3]], [stage.received_counts()[0], stage.received_counts()[3]])

        self.play(scene)

    def commands(self, folder: str) -> None:
        """On a stopped gateway."""
        name = ("--name", "g0")
        code, said = command("show", folder, *name)
        self.assertEqual(0, code)
        self.assertIn("gone s-00000004", said)
        self.assertEqual((0, 3), (code, said.count("engine s-")))
        self.assertEqual((0, "s-00000001 is forgotten\n"), command("forget", folder, "s-00000001", *name))
        told = json.loads(command("export", folder, *name)[1])
        self.assertEqual(
            [2, ["s-00000004", "s-00000001"]], [len(told["engines"]), [one["id"] for one in told["gone"]]]
        )
        self.assertEqual(2, command("forget", folder, "s-00000001", *name)[0])
        self.assertEqual(2, command("show", folder, "--name", "g1")[0])
        self.assertEqual(0, command("verify", folder, *name)[0])

    def test_nothing_kept_and_nobody_to_ask(self) -> None:
        async def scene(stage: GatewayFixture) -> None:
            for name in SNAPSHOT_FILE_NAMES:
                (stage.snapshot_folder / name).write_bytes(b"no list")
            await stage.start()
            self.assertEqual(2, stage.log().count("skipped, not a snapshot"))
            await anyio.sleep(0.5)
            begun = time.monotonic()
            self.assertGreater((await stage.ask())["error"]["data"]["holdoff"], 0)
            self.assertLess(time.monotonic() - begun, 0.2, "it was held, not refused")

        self.play(scene, before=False)


class InTurns(unittest.TestCase):
    def test_a_long_list_is_listed_and_asked_piece_by_piece(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            first = MembershipHarness(folder)
            first.on_discovery_event(
                EndpointEvent(50, True, [make_endpoint(number) for number in range(1, 21)])
            )
            first.write_snapshot()
            first.membership.close()
            fleet, asked = MembershipHarness(folder), []
            membership = fleet.membership
            self.assertTrue(membership.queue_due_probes(fleet.now))
            tasks = SimpleNamespace(start_soon=lambda _, one, now: asked.append(one.id))
            pieces = [membership.start_probes(tasks, None) for _ in range(8 // MAX_PROBES_AT_ONCE + 1)]
            self.assertEqual([MAX_PROBES_AT_ONCE] * (8 // MAX_PROBES_AT_ONCE) + [0], pieces)
            self.assertEqual((8, fleet.counters.counts["membership: probes"]), (len(set(asked)), len(asked)))
            for number in asked:
                membership._on_contact(number, ContactResult.LISTENING, fleet.now)
            fleet.apply_event(membership.take_changes(fleet.now, 3))
            gone = asked[0]
            membership._on_contact(gone, ContactResult.REFUSED, fleet.now)
            told = membership.take_changes(fleet.now, 3)
            self.assertEqual(
                (gone, 4), (told.endpoints[0].id, len(told.endpoints)), "what is gone has waited"
            )
            self.assertTrue(membership.has_changes)
            self.assertEqual(
                [2, None],
                [len(membership.take_changes(fleet.now, 3).endpoints), membership.take_changes(fleet.now, 3)],
            )


class Older(unittest.TestCase):
    """A coordinator that was founded anew begins with a whole list of a smaller number."""

    def told(self, takes_older: bool) -> tuple[list[int], int]:
        async def main() -> tuple[list[int], int]:
            told, clock = [], Clock()
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            feed = EndpointWatch(
                f"127.0.0.1:{listener.getsockname()[1]}",
                0,
                lambda event: told.append(event.index),
                Counters(),
                Log("n0", clock),
            )
            feed.accepts_older_list = takes_older
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(feed.run, tasks)
                # A link each: whole and changes; an older whole list, and again older ones on the same link.
                for events in (((5, 1), (6, 2)), ((2, 1), (1, 1), (3, 2)), ((1, 2), (7, 2))):
                    await anyio.wait_readable(listener)
                    made = listener.accept()[0]
                    made.sendall(b"".join(struct.pack(">IQB", 9, *event) for event in events))
                    await anyio.sleep(0.1)
                    made.close()
                tasks.cancel_scope.cancel()
            listener.close()
            return told, feed.last_index

        with contextlib.redirect_stderr(io.StringIO()):
            return anyio.run(main)

    def test_only_where_a_list_is_kept(self) -> None:
        self.assertEqual(([5, 6, 7], 7), self.told(False))
        self.assertEqual(([5, 6, 2, 3, 7], 7), self.told(True))


class File(unittest.TestCase):
    def test_the_operators_file(self) -> None:
        self.assertEqual("/var/lib/cresstray/ga0", operator.read("deploy/kept.conf").kept.folder)
        for wrong in ("kept\n", "kept here\n", "kept /a\n    every 2s\n", "kept /a\nkept /b\n"):
            with self.assertRaises(operator.UnusableError):
                operator.parse("file.conf", wrong)


if __name__ == "__main__":
    unittest.main()
