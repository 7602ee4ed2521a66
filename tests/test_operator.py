"""The operator's file, keys and links over TLS on loopback, and two halls through kills and cuts."""

import contextlib
import io
import json
import os
import re
import subprocess
import sys
import tempfile
import time
import unittest
from datetime import UTC, datetime, timedelta
from pathlib import Path
from unittest import mock

import anyio

from cresstray.background import schedule, worker
from cresstray.cli import authority, cli
from cresstray.clock import Clock, Timers
from cresstray.config import operator
from cresstray.config.lines import UnusableError
from cresstray.emulators.clients import draw
from cresstray.emulators.world import KINDS, World, settings
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.sites import codec, status
from cresstray.sites.links import SiteLinkManager
from tests.harness import TraceCase

_GOOD = """# two halls
hall hall-a
    gateway ga0
    listen 127.0.0.1:7101
peer hall-b 127.0.0.1:7201   # the other
crossing
    share 50%
link
    lease 2s
"""
_FILES = {
    "good": _GOOD,
    "empty": "# nothing is on\n",
    "all that is wrong": "    early 3\nhall hall-a\n    listen nowhere\n    listen 127.0.0.1:1\n    lsten x\n"
    "link\n    slow 250\n    bytes none\n    lease 300ms\npeer hall-a 127.0.0.1:1\n"
    "peer hall-b\ncrossing\n    share 120%\nroof\nhall again\n    gateway 'ga0\n",
    "no hall": "peer hall-b 127.0.0.1:1\n",
    "in the clear": "hall hall-a\n    gateway ga0\n    listen 0.0.0.0:7101\npeer hall-b 10.1.0.9:7201\n",
    "half of the keys": "hall hall-a\n    gateway ga0\ntls\n    key a.key\n",
    "store": "store\n    addresses localhost:6379 127.0.0.1:6380\n    tariffs manifest-load ledger-post\n"
    "    password /etc/store.password\n    answers 4k\n    unguarded manifest-load 20\n",
    "store alone": "store\n",
    "store, all that is wrong": "store\n    addresses 10.1.0.9:6379 10.1.0.8\n    tariffs a a\n    user x\n"
    "    slow 5s\n    tls store.pem\n    journal marks\n    answers 65k\n"
    "    unguarded b\n    kept 1s\n    namespace 'a b'\n    keys 3\n",
    "store in the clear": "store\n    addresses 127.0.0.1:1 10.1.0.9:2\n    tariffs a\n    unguarded b 2\n",
    "twice": "hall hall-a\n    gateway ga0\npeer hall-b 127.0.0.1:1\npeer hall-b 127.0.0.1:1\n",
}


class Files(TraceCase):
    def test_operator_files(self) -> None:
        lines = []
        for name, text in _FILES.items():
            try:
                lines.append(f"{name}: {operator.parse('file.conf', text)}")
            except UnusableError as trouble:
                lines += [f"{name}: {fault}" for fault in trouble.faults]
        self.check("operator_files", lines)

    def test_the_example_and_the_command(self) -> None:
        lines = []
        with tempfile.TemporaryDirectory() as folder, contextlib.redirect_stdout(io.StringIO()) as out:
            bad = Path(folder) / "bad.conf"
            bad.write_text("hall\n")
            with contextlib.redirect_stderr(io.StringIO()) as said:
                codes = []
                for path in ("deploy/halls.conf", "deploy/store.conf", str(bad), f"{folder}/none.conf"):
                    try:
                        codes.append(cli(["check-config", path]))
                    except SystemExit as ended:
                        codes.append(ended.code)
                lines.append(f"exit codes {codes}")
            lines += said.getvalue().replace(folder, "FOLDER").strip().splitlines()
        lines += out.getvalue().splitlines()[:4]
        self.check("operator_command", lines)

    def test_keys_are_for_their_owner_only(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            made = authority.make(f"{folder}/keys", ["hall-a", "hall-b"])
            self.assertEqual(6, len(made))
            self.assertEqual({0o600}, {os.stat(path).st_mode & 0o777 for path in made})
            first = Path(f"{folder}/keys/authority.pem").read_bytes()
            again = authority.make(f"{folder}/keys", ["hall-a"])
            self.assertEqual(first, Path(f"{folder}/keys/authority.pem").read_bytes())
            self.assertEqual(2, len(again))


class FakeAcross:
    """Keeps nothing: these links carry no submissions."""

    def add(self, link: object) -> None:
        self.link = link

    def on_state(self, link: object, ready: bool) -> None:
        self.ready = ready

    def on_capacity(self, link: object) -> None:
        """Nothing is held."""


class Links(TraceCase):
    def hub(self, text: str) -> tuple[SiteLinkManager, Counters, Timers]:
        counters, clock = Counters(), Clock()
        timers = Timers(clock)
        given = operator.parse("file.conf", text).halls
        log = Log(given.gateway, clock)
        turns = schedule.Schedule(lambda: 0.5, worker.TICK_US, worker.BUDGET_US)
        behind = worker.Worker(turns, timers, clock, counters, log)
        behind.start()
        return (
            SiteLinkManager(
                given,
                "life",
                True,
                7,
                None,
                FakeAcross(),
                lambda: (1.0, 4.0, 1.0),
                clock,
                timers,
                counters,
                log,
                behind,
            ),
            counters,
            timers,
        )

    def meet(self, folder: str, near: str, far: str, authority_of_near: str = "keys") -> str:
        """Whether a link comes up between two hubs with these certificates, and what is counted if not."""

        def tls(name: str, keys: str) -> str:
            return (
                f"tls\n    authority {folder}/{keys}/authority.pem\n"
                f"    certificate {folder}/{keys}/{name}.pem\n"
                f"    key {folder}/{keys}/{name}.key\n"
            )

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                host, counters, timers = self.hub(
                    "hall hall-b\n    gateway gb\n    listen 127.0.0.1:0\npeer hall-a 127.0.0.1:1\n"
                    + tls(far, "keys")
                )
                tasks.start_soon(timers.run)
                host._outbound = []  # it only listens
                await host.run(tasks)
                guest, near_counters, near_timers = self.hub(
                    f"hall hall-a\n    gateway ga\npeer hall-b 127.0.0.1:{host.address[1]}\n"
                    + tls(near, authority_of_near)
                )
                tasks.start_soon(near_timers.run)
                await guest.run(tasks)
                with anyio.move_on_after(3):
                    while not (
                        near_counters.counts["links between halls made"]
                        or counters.counts["links between halls refused"] > 1
                        or near_counters.counts["links between halls refused"] > 1
                    ):
                        await anyio.sleep(0.01)
                made.append(near_counters.counts["links between halls made"])
                made.append(guest.status()["to"][0]["state"] != "cut")
                tasks.cancel_scope.cancel()

        made: list = []
        with contextlib.redirect_stderr(io.StringIO()) as said:
            anyio.run(main)
        why = (
            "certificate for"
            if "certificate for" in said.getvalue()
            else ("not verified" if "CERTIFICATE_VERIFY_FAILED" in said.getvalue() else "")
        )
        return f"{'up' if made[0] and made[1] else 'refused'} {why}".strip()

    def test_link_whose_gateway_is_away_is_kept_while_its_requests_run(self) -> None:
        """Guards against a request that the other site takes for never executed while it runs here."""
        host, _, _ = self.hub("hall hall-b\n    gateway gb\npeer hall-a 127.0.0.1:1\n")
        inbound = host._register_inbound(
            codec.Hello(codec.MAGIC, codec.PROTOCOL_VERSION, [], "hall-a", "ga", "life", "", []), None
        )
        host._connections.clear()
        inbound.open_requests[1] = None
        for is_kept in (True, False):
            host._remove_absent(host._clock.now() + 3_600_000_000)
            self.assertEqual(is_kept, bool(host._inbound))
            inbound.open_requests.clear()

    def test_strangers_at_the_door(self) -> None:
        """Whatever is said there ends that connection with one line; a link that is up goes on."""

        def hello(
            hall: str, name: str, magic: str = codec.MAGIC, version: int = codec.PROTOCOL_VERSION
        ) -> bytes:
            return codec.encode_frame(codec.Hello(magic, version, [], hall, name, f"life of {name}", "", []))

        def offer(number: int) -> bytes:
            return codec.encode_frame(
                codec.ForwardRequest(
                    number, 0, "0" * 16, "lookup", "", "", 0, 0, 10**6, 0, 0, 0, 0, True, b"x"
                )
            )

        async def strange(host: SiteLinkManager, text: str, *words: bytes) -> None:
            said.truncate(0)
            stream = await anyio.connect_tcp(*host.address)
            with contextlib.suppress(anyio.BrokenResourceError):
                for word in words:
                    await stream.send(word)
                with anyio.fail_after(5):
                    with contextlib.suppress(anyio.EndOfStream):
                        while True:
                            await stream.receive()
            await stream.aclose()
            await anyio.sleep(0.25)  # five lines a second of a kind are printed
            told = [
                line.split(" ended: ", 1)[1] for line in said.getvalue().splitlines() if " ended: " in line
            ]
            lines.append(f"{text}: {'; '.join(told)}")

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                host, counters, timers = self.hub(
                    "hall hall-b\n    gateway gb\n    listen 127.0.0.1:0\npeer hall-a 127.0.0.1:1\n"
                )
                tasks.start_soon(timers.run)
                host._outbound, host._ingress = (
                    [],
                    type(
                        "Front",
                        (),
                        {
                            "accept": lambda self,
                            responder,
                            number,
                            query,
                            crossing: responder.open_requests.update({number: None}),
                            "cancel": lambda self, responder, number, name: responder.open_requests.pop(
                                number
                            ),
                        },
                    )(),
                )
                await host.run(tasks)
                guest, near_counters, near_timers = self.hub(
                    f"hall hall-a\n    gateway ga\npeer hall-b 127.0.0.1:{host.address[1]}\n"
                )
                tasks.start_soon(near_timers.run)
                await guest.run(tasks)
                while not near_counters.counts["links between halls made"]:
                    await anyio.sleep(0.01)
                await strange(host, "noise", b"GET / HTTP/1.1\r\n\r\n")
                await strange(host, "a length that lies", b"\xff\xff\xff\xff\x01")
                await strange(host, "no hello first", codec.encode_frame(codec.Heartbeat(1, 0, 0)))
                await strange(host, "another protocol", hello("hall-a", "x", magic="other"))
                await strange(host, "a later version", hello("hall-a", "x", version=9))
                await strange(host, "a hall unheard of", hello("hall-z", "x"))
                await strange(host, "half a hello, then nothing", hello("hall-a", "x")[:9])
                await strange(host, "noise behind a hello", hello("hall-a", "x"), b"\0\0\0\1\xff")
                await strange(
                    host, "a far side's word", hello("hall-a", "x"), codec.encode_frame(codec.Sent(1))
                )
                await strange(
                    host,
                    "more than its credit",
                    hello("hall-a", "x"),
                    b"".join(offer(number) for number in range(1, 200)),
                )
                await strange(host, "an offer that came before", hello("hall-a", "y"), offer(3), offer(3))
                lines.append(
                    f"the good link: {guest.status()['to'][0]['state'] != 'cut'}, made "
                    f"{near_counters.counts['links between halls made']} time, lost "
                    f"{near_counters.counts['links between halls lost']}, "
                    f"faults {counters.counts['faults']}"
                )
                tasks.cancel_scope.cancel()

        lines: list[str] = []
        with contextlib.redirect_stderr(io.StringIO()) as said:
            anyio.run(main)
        self.check("operator_strangers", [re.sub(r"\(\d+, ", "(N, ", line) for line in lines])

    def test_new_keys_leave_live_links_alone(self) -> None:
        """After a reload, new connections use the new keys; a file that can't be used keeps the old ones."""

        def text(hall: str, more: str) -> str:
            keys = f"{folder}/keys"
            return (
                f"hall {hall}\n    gateway g\n{more}tls\n    authority {keys}/authority.pem\n"
                f"    certificate {keys}/{hall}.pem\n    key {keys}/{hall}.key\n"
            )

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                host, _, timers = self.hub(
                    text("hall-b", "    listen 127.0.0.1:0\npeer hall-a 127.0.0.1:1\n")
                )
                tasks.start_soon(timers.run)
                host._outbound = []
                await host.run(tasks)
                peer = f"peer hall-b 127.0.0.1:{host.address[1]}\n"
                guest, counters, near_timers = self.hub(text("hall-a", peer))
                tasks.start_soon(near_timers.run)
                await guest.run(tasks)
                while not counters.counts["links between halls made"]:
                    await anyio.sleep(0.01)
                given = operator.parse("file.conf", text("hall-a", peer)).halls
                authority.make(f"{folder}/keys", ["hall-a"])
                first = guest._contexts
                guest.reload(given)
                lines.append(
                    f"new keys: {guest._contexts is not first}, the link lives: "
                    f"{guest.status()['to'][0]['state'] != 'cut'}"
                )
                second = guest._contexts
                Path(f"{folder}/keys/hall-a.pem").write_text("no certificate")
                with self.assertRaises(OSError):
                    guest.reload(given)
                lines.append(f"unusable: the old ones stay {guest._contexts is second}")
                list(guest._connections.values())[0].scope.cancel()
                while counters.counts["links between halls made"] < 2:
                    await anyio.sleep(0.01)
                lines.append("a new connection comes up")
                tasks.cancel_scope.cancel()

        lines: list[str] = []
        with tempfile.TemporaryDirectory() as folder, contextlib.redirect_stderr(io.StringIO()):
            authority.make(f"{folder}/keys", ["hall-a", "hall-b"])
            anyio.run(main)
        self.check("operator_reload", lines)

    def test_certificates(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            authority.make(f"{folder}/keys", ["hall-a", "hall-b", "hall-c"])
            authority.make(f"{folder}/others", ["hall-a"])
            with mock.patch.object(authority, "datetime") as clock:
                clock.now.return_value = datetime.now(UTC) - timedelta(days=3)
                authority.make(f"{folder}/keys", ["hall-old"], days=1)
            lines = [
                f"hall-a to hall-b: {self.meet(folder, 'hall-a', 'hall-b')}",
                f"hall-a to what is hall-c: {self.meet(folder, 'hall-a', 'hall-c')}",
                f"hall-c that says hall-a: {self.meet(folder, 'hall-c', 'hall-b')}",
                f"an expired one: {self.meet(folder, 'hall-old', 'hall-b')}",
                f"of another authority: {self.meet(folder, 'hall-a', 'hall-b', 'others')}",
            ]
        self.check("operator_certificates", lines)


class Halls(unittest.TestCase):
    def test_a_day_of_troubles(self) -> None:
        """Engines lost, a link that flaps, a cut, a gateway killed: no promise is broken."""

        async def main() -> None:
            with tempfile.TemporaryDirectory() as folder:
                world = World(Path(folder), engines=3, link="link\n    heal 1s\n")
                async with world.up():
                    await anyio.sleep(2)
                    killed = world.halls["hall-b"].gateways[1]
                    steps = [
                        (0.5, lambda: world.lose("hall-a", 2)),
                        (2.9, lambda: world.drain("hall-b", 0)),
                        (3.0, killed.kill),
                        (3.4, killed.start),
                        (6.0, lambda: world.restore("hall-a")),
                    ]
                    steps += [(1.5 + 0.3 * turn, world.heal if turn % 2 else world.cut) for turn in range(4)]
                    steps += [(4.5, world.cut), (5.2, world.heal)]
                    loads = {
                        hall: draw(KINDS, [(0.0, 110.0)], 7.0, seed) for seed, hall in enumerate(world.halls)
                    }
                    await world.play(loads, steps, 1.0)
                    told = status.request_status(world.halls["hall-a"].gateways[0].control)
                    await anyio.sleep(3.5)
                    until = anyio.current_time()
                self.assertEqual(
                    {}, {name: count for name, count in world.account.promises(until).items() if count}
                )
                counters = world.counters()
                self.assertEqual(
                    {},
                    {
                        name: count
                        for name, count in counters.items()
                        if name.startswith("broken") or name == "faults"
                    },
                )
                self.assertGreater(counters["crossings served"], 50)
                self.assertEqual({"hall-b"}, {link["peer"].split()[0] for link in told["to"]})
                self.assertGreater(len(status.format_lines(told)), 2)

        anyio.run(main)

    def test_a_flapping_link_makes_no_storm(self) -> None:
        async def main() -> None:
            with tempfile.TemporaryDirectory() as folder:
                world = World(Path(folder), gateways=1, engines=1)
                async with world.up():
                    await anyio.sleep(0.5)
                    before = [network.connections for network in world.networks()]
                    for turn in range(20):
                        (world.cut if turn % 2 == 0 else world.heal)()
                        await anyio.sleep(0.3)
                    made = [network.connections - one for network, one in zip(world.networks(), before)]
                # Pauses double from 50 ms up to a second: some ten tries in six seconds, not twenty a second.
                self.assertLess(max(made), 14)
                self.assertGreater(min(made), 2)

        anyio.run(main)


class Loading(unittest.TestCase):
    def test_without_an_operators_file_none_of_it_is_loaded(self) -> None:
        """By a gateway that has served and ended. What asyncio loads by itself, ssl among it, is not ours."""
        script = (
            "import atexit, sys; atexit.register(lambda: print(*sys.modules)); "
            "from cresstray.gateway.startup import run; sys.exit(run())"
        )
        with tempfile.TemporaryDirectory() as folder:
            path = f"{folder}/config.json"
            with open(path, "w") as file:
                json.dump(
                    {"name": "n0", "listen": "127.0.0.1:0", "seed": "7", "settings": settings(KINDS, 1, 4)},
                    file,
                )
            env = {name: value for name, value in os.environ.items() if name != "GW_OPERATOR"}
            with subprocess.Popen(
                [sys.executable, "-c", script],
                env=env | {"GW_CONFIG": path},
                text=True,
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
            ) as gateway:
                self.assertIn("serves on", gateway.stderr.readline())
                time.sleep(0.5)  # it catches signals a moment later
                gateway.terminate()
                said = gateway.communicate(timeout=10)[0].split()
        unwanted = (
            "click",
            "rich",
            "cryptography",
            "structlog",
            "sqlite3",
            "scipy",
            "cresstray.sites",
            "cresstray.config",
            "cresstray.cli",
            "cresstray.emulators",
            "cresstray.pipeline.forwarding",
            "cresstray.pipeline.replica_reads",
            "cresstray.gateway.fleet_member",
            "cresstray.gateway.membership_jobs",
            "cresstray.transport.framing",
            "cresstray.transport.greeting",
            "cresstray.transport.link",
            "cresstray.transport.peers",
            "cresstray.observability.event_log",
            "cresstray.consensus",
            "cresstray.fleet_config",
            "cresstray.control_plane",
            "cresstray.placement",
            "cresstray.replicas",
            "cresstray.membership",
            "cresstray.idempotency",
            "cresstray.pipeline.idempotency_checks",
            "cresstray.background",
            "redis",
        )
        self.assertIn("cresstray.gateway.service", said)
        loaded = [name for name in said if any(name == one or name.startswith(f"{one}.") for one in unwanted)]
        self.assertEqual([], loaded)
