"""Keepers as processes on loopback: elected, followed, killed, restarted, replaced; and what ends a link."""

import contextlib
import io
import json
import os
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from random import Random

import anyio
import msgspec

from cresstray.cli import authority, cli
from cresstray.cli import fleet as commands
from cresstray.config import operator
from cresstray.config.lines import UnusableError
from cresstray.control_plane.codec import Alive, Ask, requests
from cresstray.fleet_config.active_config import ActiveConfig, Mode
from cresstray.fleet_config.codec import ForwardedFrame, GetConfig, OperatorRequest, RenewLease
from cresstray.fleet_config.follower import ConfigFollower, preference_order
from cresstray.transport import peers
from cresstray.transport.framing import MAX_FRAME_BYTES, encode_frame


def free_ports(count: int) -> list[int]:
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


class Keepers:
    """Processes by one file, and what they print."""

    def __init__(self, folder: str, count: int, more: str = "", tls: str = "") -> None:
        self.names = [f"k{one + 1}" for one in range(count)]
        self.ports = dict(zip(self.names, free_ports(count)))
        self.folder, self.path = Path(folder), f"{folder}/fleet.conf"
        self.text = f"fleet trial\n    lease 1s\n    floor-lease 5s\n{more}folder {folder}\n" + "".join(
            f"keeper {name} 127.0.0.1:{port}\n" for name, port in self.ports.items()
        )
        Path(self.path).write_text(self.text + tls.format(name="operator"))
        self.paths = {name: f"{folder}/{name}.conf" for name in self.names}
        for name, path in self.paths.items():
            Path(path).write_text(self.text + tls.format(name=name))
        self.given = operator.read(self.path).fleet
        self.processes: dict[str, subprocess.Popen] = {}

    def found(self) -> None:
        with contextlib.redirect_stdout(io.StringIO()):
            for name in self.names:
                assert cli_code(["keeper", self.path, "--name", name, "--found"]) == 0

    def start(self, *names: str, most_bytes: int = resource.RLIM_INFINITY) -> None:
        """`most_bytes`: no file of theirs can grow beyond it."""
        for name in names or self.names:
            with open(self.folder / f"{name}.log", "a") as log:
                self.processes[name] = subprocess.Popen(
                    [sys.executable, "-m", "cresstray", "keeper", self.paths[name], "--name", name],
                    stderr=log,
                    preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (most_bytes,) * 2),
                )

    def kill(self, name: str, how: int = signal.SIGKILL) -> int:
        self.processes[name].send_signal(how)
        return self.processes.pop(name).wait(10)

    def log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    def line(self, seconds: float = 10.0) -> commands.Line:
        return commands.Line(self.given, seconds)

    def leader(self) -> str:
        return commands.ask(self.line(), "members")["leader"].partition("/")[0]

    def __enter__(self) -> "Keepers":
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()


def cli_code(words: list[str]) -> int:
    try:
        return cli(words)
    except SystemExit as ended:
        return ended.code


def listed(*names: str) -> dict:
    return {"gateways": {"items": {name: {} for name in names}}}


async def until(what: object, seconds: float = 8.0) -> None:
    with anyio.fail_after(seconds):
        while not what():
            await anyio.sleep(0.02)


class Fleets(unittest.TestCase):
    def followers(self, given: object, *names: str) -> list[ConfigFollower]:
        return [
            ConfigFollower(
                given,
                name,
                ActiveConfig(
                    name,
                    given.lease,
                    given.floor_lease,
                    given.drift,
                    given.most,
                    incarnation=f"{number:016x}",
                ),
                Random(number).random,
            )
            for number, name in enumerate(names)
        ]

    def test_a_change_through_kills(self) -> None:
        """In force with two gateways; the leader killed, the next change goes on; a lost file replaced."""
        with tempfile.TemporaryDirectory() as folder, Keepers(folder, 3) as keepers, silent():
            keepers.found()
            self.assertEqual(2, cli_code(["keeper", keepers.path, "--name", "k1", "--found"]))
            keepers.start()
            anyio.run(self._through_kills, keepers, backend_options={"use_uvloop": True})

    async def _through_kills(self, keepers: Keepers) -> None:
        followers = self.followers(keepers.given, "g0", "g1", "g2")

        async def propose(change: dict, **more: object) -> dict:
            return await anyio.to_thread.run_sync(
                lambda: commands.propose(keepers.line(), change, seconds=10, **more)
            )

        async with anyio.create_task_group() as tasks:
            for one in followers:
                tasks.start_soon(one.run, tasks)
            told = await propose(listed("g0", "g1"), request="first")
            self.assertEqual("in force", told["phase"])
            await until(lambda: [one.status()["mode"] for one in followers] == ["lease", "lease", "stop"])
            self.assertEqual([2, 2, 0], [one.status()["gateways"] for one in followers])
            # Asked again by the same name: once, and the same answer.
            answer = await anyio.to_thread.run_sync(
                lambda: keepers.line().ask(Ask("propose", "first", {}, b"\x90"))
            )
            self.assertEqual((True, told["version"]), (answer["accepted"], answer["version"]))

            leader = await anyio.to_thread.run_sync(keepers.leader)
            keepers.kill(leader)
            barred = {"engines": {"items": {"s-00000001": {"barred": True}}}}
            told = await propose(barred)
            self.assertEqual("in force", told["phase"])
            await until(lambda: all(one.active_config.documents.engines.items for one in followers))
            await until(lambda: followers[0].status()["mode"] == followers[1].status()["mode"] == "lease")

            # Back without its file: a stranger, until an operator takes it in.
            os.unlink(keepers.folder / f"{leader}.db")
            keepers.start(leader)
            await until(lambda: "a stranger" in keepers.log(leader))
            members = await anyio.to_thread.run_sync(lambda: commands.ask(keepers.line(), "members"))
            self.assertIn(f"{leader}/1", members["voters"])
            said: list[str] = []
            done = await anyio.to_thread.run_sync(
                lambda: commands.replace(keepers.line(), leader, said.append, 10)
            )
            members = await anyio.to_thread.run_sync(lambda: commands.ask(keepers.line(), "members"))
            self.assertNotIn(f"{leader}/1", members["voters"])
            self.assertIn(done["name"], members["voters"])
            self.assertEqual((3, [], []), (len(members["voters"]), members["learners"], members["strangers"]))
            self.assertRegex("; ".join(said), "admitted to listen.*votes.*dropped.*done")

            # It counts: with another one down, the two that are left are a majority.
            gone = next(name for name in keepers.names if name != leader)
            self.assertEqual(0, keepers.kill(gone, signal.SIGTERM))
            told = await propose({"engines": {"items": {"s-00000001": None}}})
            self.assertEqual("in force", told["phase"])
            # In force, and a moment later all have said that they act at it.
            with anyio.fail_after(8):
                while True:
                    where = await anyio.to_thread.run_sync(lambda: commands.ask(keepers.line(), "where"))
                    self.assertEqual(["g0", "g1"], [one["gateway"] for one in where["gateways"]])
                    if all(one["turn"] == where["turn"] and one["lease_us"] for one in where["gateways"]):
                        break

            # None left: leases end, and what was known goes on by the floor.
            for name in list(keepers.processes):
                keepers.kill(name)
            await until(
                lambda: followers[0].active_config.effective_at(followers[0]._clock()).mode is Mode.FALLBACK
            )
            self.assertEqual(2 * told["version"], followers[0].active_config.turn)
            tasks.cancel_scope.cancel()

    def test_one_keeper_and_the_commands(self) -> None:
        with tempfile.TemporaryDirectory() as folder, Keepers(folder, 1) as keepers, silent() as said:
            keepers.found()
            keepers.start()
            change = keepers.folder / "change.json"

            def typed(*words: str) -> tuple[int, dict | str]:
                out = io.StringIO()
                with contextlib.redirect_stdout(out):
                    code = cli_code(["rules", words[0], keepers.path, *words[1:]])
                return code, json.loads(out.getvalue()) if "--json" in words and code == 0 else out.getvalue()

            change.write_text(json.dumps(listed("g0") | {"engines": {"items": {"e1": {"barred": True}}}}))
            code, told = typed("propose", str(change), "--dry-run")
            self.assertEqual(
                (0, 'engines.items.e1: - > {"barred":true,"work":1.0}'), (code, told.splitlines()[0])
            )
            code, told = typed("propose", str(change), "--why", "a trial", "--no-wait", "--json")
            self.assertEqual((0, 1, "proposed"), (code, told["version"], told["phase"]))
            change.write_text(json.dumps({"engines": {"items": {"e1": None}}, "versions": {"engines": 0}}))
            self.assertEqual((1, ""), typed("propose", str(change)))
            self.assertIn("refused: engines: the change is of version 0", said.getvalue())
            change.write_text('{"roofs": 1}')
            self.assertEqual((2, ""), typed("propose", str(change)))
            self.assertEqual((2, ""), typed("propose"))
            change.write_text(json.dumps({"engines": {"items": {"e1": None}}, "versions": {"engines": 1}}))
            self.assertEqual(2, typed("propose", str(change), "--no-wait", "--json")[1]["version"])
            code, told = typed("propose", "--back-to", "1", "--json")
            self.assertEqual((0, 3, "in force"), (code, told["version"], told["phase"]))
            code, told = typed("show", "--document", "engines", "--json")
            self.assertEqual((0, 3, 1_250_000), (code, told["in_force"], told["stated_us"]))
            self.assertEqual(True, told["documents"]["engines"]["items"]["e1"]["barred"])
            code, told = typed("show", "--history", "--json")
            self.assertEqual(
                [["gateways", "engines"], ["engines"], ["engines"]],
                [past["documents"] for past in told["past"]],
            )
            code, told = typed("where", "--json")
            self.assertEqual(
                (0, [("g0", None)]), (code, [(one["gateway"], one["turn"]) for one in told["gateways"]])
            )
            self.assertEqual(2, typed("members", "--replace", "k9")[0])
            self.assertIn("'k9' is no keeper of the file", said.getvalue())
            self.assertEqual(0, keepers.kill("k1", signal.SIGTERM))
            with contextlib.redirect_stdout(io.StringIO()) as out:
                self.assertEqual(0, cli_code(["keeper", keepers.path, "--name", "k1", "--dump"]))
            self.assertEqual(3, json.loads(out.getvalue())["latest"])
            self.assertEqual(2, typed("show", "--seconds", "0.2")[0])
            self.assertIn("no keeper has answered: k1: ", said.getvalue())
            # A damaged file is told in one line, and nothing is made of it.
            data = bytearray((keepers.folder / "k1.db").read_bytes())
            data[100:200] = b"\0" * 100
            (keepers.folder / "k1.db").write_bytes(data)
            before = len(said.getvalue().splitlines())
            self.assertEqual(2, cli_code(["keeper", keepers.path, "--name", "k1"]))
            self.assertEqual(before + 1, len(said.getvalue().splitlines()))

    def test_a_full_disk(self) -> None:
        """What can't be synced is never answered; the keeper steps out with one line, and comes back."""
        with tempfile.TemporaryDirectory() as folder, Keepers(folder, 1) as keepers:
            keepers.found()
            keepers.start(most_bytes=50_000)
            items = {f"e{number}": {"barred": True} for number in range(4_000)}
            big = listed("g0") | {"engines": {"items": items}}
            with self.assertRaises((commands.NoAnswerError, ValueError)):
                commands.propose(keepers.line(3), big, request="big")
            self.assertEqual(1, keepers.processes.pop("k1").wait(5))
            self.assertEqual(1, keepers.log("k1").count("can't be written"), keepers.log("k1"))
            self.assertNotIn("Traceback", keepers.log("k1"))
            keepers.start()
            shown = commands.ask(keepers.line(), "show")
            self.assertEqual((0, {}), (shown["latest"], shown["documents"]["engines"]["items"]))


class Hostile(unittest.TestCase):
    """Each ends its own link, with one line; the keeper goes on."""

    def test_what_ends_a_link(self) -> None:
        with tempfile.TemporaryDirectory() as folder, Keepers(folder, 1) as keepers:
            keepers.found()
            keepers.start()
            keepers.line().ask(Ask("show"))
            time.sleep(1.1)  # five lines a second are told
            agreed = peers.settings_digest(keepers.given)
            gateway = peers.make_greeting("gateway", "trial", "g0", "a1", agreed)

            def greeting(**changed: object) -> bytes:
                return encode_frame(msgspec.structs.replace(gateway, **changed))

            well = encode_frame(gateway)
            operator_ = encode_frame(peers.make_greeting("operator", "trial", "operator", "a1"))
            keeper = greeting(role="keeper", name="k1")
            cases = {
                "noise": (b"GET / HTTP/1.0\r\n\r\n", "refused: .*a frame of kind"),
                "a length that lies": (
                    struct.pack(">IB", MAX_FRAME_BYTES + 1, 48),
                    "refused: .*a frame of kind 48",
                ),
                "no greeting": (encode_frame(GetConfig(0)), "refused: .*no greeting"),
                "another magic": (greeting(magic="other"), "refused: .*no greeting"),
                "a later version": (greeting(version=9), "refused: .*version 9"),
                "another fleet": (greeting(fleet="other"), "refused: .*of fleet 'other'"),
                "no role": (greeting(role="king"), "refused: .*role 'king'"),
                "a name that can't be": (greeting(name="g 0"), "refused: .*name 'g 0'"),
                "a keeper's name": (greeting(name="k1"), "refused: .*'k1' as a gateway"),
                "a keeper unheard of": (greeting(role="keeper"), "refused: .*'g0' as a keeper"),
                "its own name": (keeper, "refused: .*own name"),
                "another lease": (
                    greeting(nonce=b"") + encode_frame(RenewLease(1, 0)),
                    "dropped: .*another lease",
                ),
                "a second greeting": (well + well, "dropped: a Greeting from the role gateway"),
                "a keeper's word": (well + encode_frame(Alive(1)), "dropped: a Alive from the role gateway"),
                "a carried word": (
                    well + encode_frame(ForwardedFrame("x", False, b"")),
                    "dropped: a ForwardedFrame from",
                ),
                "an operator's question": (
                    well + encode_frame(requests(1, Ask("show"))[0]),
                    "dropped: a OperatorRequest",
                ),
                "a gateway's word": (
                    operator_ + encode_frame(RenewLease(1, 0)),
                    "dropped: a RenewLease from the role oper",
                ),
                "a renewal again": (well + encode_frame(RenewLease(7, 0)) * 2, "dropped: renewal 7 after 7"),
                "an older renewal": (
                    well + encode_frame(RenewLease(7, 0)) + encode_frame(RenewLease(6, 0)),
                    "dropped: renewal 6",
                ),
                "no question": (
                    operator_ + encode_frame(OperatorRequest(1, b"\xc1", True)),
                    "dropped: a question",
                ),
                "cut in the middle": (well + encode_frame(GetConfig(0))[:-1], "EndOfStream"),
            }
            for name, (message, wanted) in cases.items():
                with self.subTest(name):
                    before = keepers.log("k1").count("event=ended")
                    with socket.create_connection(("127.0.0.1", keepers.ports["k1"]), 5) as made:
                        made.sendall(message)
                        if name == "cut in the middle":
                            made.shutdown(socket.SHUT_WR)
                        made.settimeout(5)
                        with contextlib.suppress(ConnectionResetError):
                            while made.recv(65536):
                                pass
                    ended = _ended(keepers, before)
                    self.assertEqual(1, len(ended), ended)
                    self.assertRegex(ended[0], wanted)
                    time.sleep(0.2)
            self.assertNotIn("Traceback", keepers.log("k1"))
            self.assertEqual("k1", keepers.leader())

    def test_a_newer_link_takes_the_place(self) -> None:
        with tempfile.TemporaryDirectory() as folder, Keepers(folder, 1) as keepers:
            keepers.found()
            keepers.start()
            keepers.line().ask(Ask("show"))
            well = encode_frame(
                peers.make_greeting("gateway", "trial", "g0", "a1", peers.settings_digest(keepers.given))
            )
            with socket.create_connection(("127.0.0.1", keepers.ports["k1"]), 5) as first:
                first.sendall(well)
                first.recv(65536)
                with socket.create_connection(("127.0.0.1", keepers.ports["k1"]), 5) as second:
                    second.sendall(well)
                    second.recv(65536)
                    first.settimeout(5)
                    self.assertEqual(b"", first.recv(65536))
            self.assertIn("a newer link has taken its place", "".join(_ended(keepers, 0)))

    def test_names_are_proved(self) -> None:
        """With keys: a gateway's key is no keeper's and no operator's, and none at all gets nowhere."""
        with tempfile.TemporaryDirectory() as folder, silent():
            authority.make(f"{folder}/keys", ["k1", "g0", "operator"])
            tls = (
                f"tls\n    authority {folder}/keys/authority.pem\n"
                f"    certificate {folder}/keys/{{name}}.pem\n    key {folder}/keys/{{name}}.key\n"
            )
            with Keepers(folder, 1, tls=tls) as keepers:
                keepers.found()
                keepers.start()
                self.assertEqual(0, keepers.line().ask(Ask("show"))["turn"])
                as_g0 = msgspec.structs.replace(
                    keepers.given, tls=operator.parse("x", keepers.text + tls.format(name="g0")).fleet.tls
                )
                with self.assertRaises(commands.NoAnswerError):
                    commands.Line(as_g0, 0.2).ask(Ask("show"))
                with self.assertRaises(commands.NoAnswerError):
                    commands.Line(msgspec.structs.replace(keepers.given, tls=None), 0.2).ask(Ask("show"))
                ended = "".join(_ended(keepers, 0))
                self.assertIn("'g0' as an operator", ended)

                async def follow() -> str:
                    use = ActiveConfig(
                        "g0", as_g0.lease, as_g0.floor_lease, as_g0.drift, as_g0.most, incarnation="a1"
                    )
                    one = ConfigFollower(as_g0, "g0", use, Random(1).random)
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(one.run, tasks)
                        await until(lambda: one.status()["keeper"] == "k1")
                        tasks.cancel_scope.cancel()
                    return one.status()["mode"]

                self.assertEqual("floor", anyio.run(follow))


def _ended(keepers: Keepers, before: int) -> list[str]:
    """Lines of links that ended, but for those of an operator that had its answer."""
    until_ = time.monotonic() + 3
    while time.monotonic() < until_:
        lines = [line for line in keepers.log("k1").splitlines() if "event=ended" in line][before:]
        if lines:
            time.sleep(0.03)
            return [line for line in keepers.log("k1").splitlines() if "event=ended" in line][before:]
        time.sleep(0.01)
    return []


@contextlib.contextmanager
def silent():
    with contextlib.redirect_stderr(io.StringIO()) as said:
        yield said


_FAULTS = {
    "fleet t\nkeeper k1 127.0.0.1:1\n": [],
    "hall h\n    gateway g\nfleet t\nkeeper k1 127.0.0.1:1\nmember g0\n": [],
    "keeper k1 127.0.0.1:1\n": ["1: expected a section 'fleet' with its name"],
    "fleet t\n": ["1: expected 1, 3, 5 or 7 keepers; there are 0"],
    "fleet t\nkeeper k1 127.0.0.1:1\nkeeper k2 127.0.0.1:2\n": [
        "1: expected 1, 3, 5 or 7 keepers; there are 2"
    ],
    "fleet\nfleet t u\nfolder\nmember\n": [
        "1: expected fleet with its name",
        "2: expected fleet with its name",
        "3: expected folder with a path",
        "4: expected member with its name",
    ],
    "fleet t\nkeeper k1\nkeeper k2 nowhere\n": [
        "1: expected 1, 3, 5 or 7 keepers; there are 0",
        "2: expected keeper NAME HOST:PORT, with two words; this is 'k1'",
        "3: expected keeper NAME HOST:PORT, with an address as HOST:PORT; this is 'k2 nowhere'",
    ],
    "fleet t\nkeeper k1 10.0.0.1:1\nmember k1\n": [
        "2: expected a section 'tls', as 10.0.0.1 is not this machine",
        "3: expected a name that is no keeper's, and not 'operator'",
    ],
    "fleet t\nkeeper k1 127.0.0.1:1\nkeeper k1 127.0.0.1:2\nkeeper k2 127.0.0.1:3\n": [
        "2: expected each keeper once, at an address of its own; 'k1' is not",
        "3: expected each keeper once, at an address of its own; 'k1' is not",
    ],
    "fleet t\n    lease 100ms\n    floor-lease 200ms\n    drift 50%\n    beat 1ms\n    election 2ms\n"
    "    barred 0%\n    roof 3\nkeeper k1 127.0.0.1:1\n": [
        "3: expected a floor-lease of five leases at the least, 0.5s",
        "4: expected a drift from 0.01% to 10%",
        "5: expected a beat of 5ms at the least",
        "6: expected election of four beats at the least, 4ms",
        "7: expected a share over 0%",
        "8: expected one of barred, beat, drift, election, floor-lease, lease, most; this is 'roof'",
    ],
    "fleet t\n    lease 500ms\nkeeper k1 127.0.0.1:1\n": [
        "2: expected a lease of three elections at the least, 900ms"
    ],
}


class Files(unittest.TestCase):
    def test_all_that_is_wrong(self) -> None:
        for text, wanted in _FAULTS.items():
            with self.subTest(text):
                try:
                    given = operator.parse("f", text)
                    told, _ = [], self.assertEqual("t", given.fleet.name)
                except UnusableError as trouble:
                    told = [fault.removeprefix("f:") for fault in trouble.faults]
                self.assertEqual(wanted, told)

    def test_the_example(self) -> None:
        with silent() as said, contextlib.redirect_stdout(io.StringIO()):
            self.assertEqual(0, cli_code(["check-config", "deploy/fleet.conf"]))
        self.assertIn("for 2.5 s at the longest", said.getvalue())

    def test_gateways_spread_over_the_keepers(self) -> None:
        given = operator.read("deploy/fleet.conf").fleet
        first = [preference_order(f"g{number}", given.keepers)[0].name for number in range(300)]
        for keeper in given.keepers:
            self.assertTrue(70 < first.count(keeper.name) < 130, first.count(keeper.name))

    def test_changes_are_merged(self) -> None:
        old = {"items": {"a": {"barred": True}, "b": {"work": 0.5}}, "count": 3}
        change = {"items": {"a": None, "b": {"barred": True}, "c": {}}, "count": 4}
        self.assertEqual(
            {"items": {"b": {"work": 0.5, "barred": True}, "c": {}}, "count": 4}, commands.merged(old, change)
        )
