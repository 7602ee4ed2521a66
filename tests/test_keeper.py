"""Control-plane nodes as processes on loopback: elections, kills, replacement, and links that are refused."""

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
from cresstray.control_plane.codec import KeepAlive, OperatorCommand, encode_command
from cresstray.fleet_config.active_config import ActiveConfig, Mode
from cresstray.fleet_config.codec import ForwardedFrame, GetConfig, OperatorRequest, RenewLease
from cresstray.fleet_config.follower import ConfigFollower, preference_order
from cresstray.transport import peers
from cresstray.transport.framing import MAX_FRAME_BYTES, encode_frame


def free_ports(count: int) -> list[int]:
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


class NodeProcesses:
    """Node processes of one fleet, their settings files and their logs."""

    def __init__(self, folder: str, count: int, more_settings: str = "", tls: str = "") -> None:
        self.names = [f"k{number + 1}" for number in range(count)]
        self.ports = dict(zip(self.names, free_ports(count)))
        self.folder, self.path = Path(folder), f"{folder}/fleet.conf"
        self.text = (
            f"fleet trial\n    lease 1s\n    floor-lease 5s\n{more_settings}folder {folder}\n"
            + "".join(f"keeper {name} 127.0.0.1:{port}\n" for name, port in self.ports.items())
        )
        Path(self.path).write_text(self.text + tls.format(name="operator"))
        self.paths = {name: f"{folder}/{name}.conf" for name in self.names}
        for name, path in self.paths.items():
            Path(path).write_text(self.text + tls.format(name=name))
        self.settings = operator.read(self.path).fleet
        self.processes: dict[str, subprocess.Popen] = {}

    def create_files(self) -> None:
        with contextlib.redirect_stdout(io.StringIO()):
            for name in self.names:
                assert cli_code(["keeper", self.path, "--name", name, "--found"]) == 0

    def start(self, *names: str, max_file_bytes: int = resource.RLIM_INFINITY) -> None:
        """Starts nodes; `max_file_bytes` limits the size of their files."""
        for name in names or self.names:
            with open(self.folder / f"{name}.log", "a") as log:
                self.processes[name] = subprocess.Popen(
                    [sys.executable, "-m", "cresstray", "keeper", self.paths[name], "--name", name],
                    stderr=log,
                    preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (max_file_bytes,) * 2),
                )

    def kill(self, name: str, how: int = signal.SIGKILL) -> int:
        self.processes[name].send_signal(how)
        return self.processes.pop(name).wait(10)

    def log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    def line(self, seconds: float = 10.0) -> commands.Line:
        return commands.Line(self.settings, seconds)

    def leader(self) -> str:
        return commands.ask(self.line(), "members")["leader"].partition("/")[0]

    def __enter__(self) -> "NodeProcesses":
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()


def cli_code(arguments: list[str]) -> int:
    try:
        return cli(arguments)
    except SystemExit as error:
        return error.code


def gateway_list(*names: str) -> dict:
    return {"gateways": {"items": {name: {} for name in names}}}


async def wait_until(condition: object, timeout_s: float = 8.0) -> None:
    with anyio.fail_after(timeout_s):
        while not condition():
            await anyio.sleep(0.02)


class NodeProcessesTest(unittest.TestCase):
    def followers(self, settings: object, *names: str) -> list[ConfigFollower]:
        return [
            ConfigFollower(
                settings,
                name,
                ActiveConfig(
                    name,
                    settings.lease,
                    settings.floor_lease,
                    settings.drift,
                    settings.most,
                    incarnation=f"{number:016x}",
                ),
                Random(number).random,
            )
            for number, name in enumerate(names)
        ]

    def test_changes_take_effect_though_nodes_are_killed_and_replaced(self) -> None:
        """Changes come into force; the leader is killed; a node that lost its file is replaced."""
        with tempfile.TemporaryDirectory() as folder, NodeProcesses(folder, 3) as nodes, captured_stderr():
            nodes.create_files()
            self.assertEqual(2, cli_code(["keeper", nodes.path, "--name", "k1", "--found"]))
            nodes.start()
            anyio.run(self._run_changes_through_kills, nodes, backend_options={"use_uvloop": True})

    async def _run_changes_through_kills(self, nodes: NodeProcesses) -> None:
        followers = self.followers(nodes.settings, "g0", "g1", "g2")

        async def propose(change: dict, **more: object) -> dict:
            return await anyio.to_thread.run_sync(
                lambda: commands.propose(nodes.line(), change, seconds=10, **more)
            )

        async with anyio.create_task_group() as tasks:
            for follower in followers:
                tasks.start_soon(follower.run, tasks)
            proposed = await propose(gateway_list("g0", "g1"), request="first")
            self.assertEqual("in force", proposed["phase"])
            await wait_until(
                lambda: [follower.status()["mode"] for follower in followers] == ["lease", "lease", "stop"]
            )
            self.assertEqual([2, 2, 0], [follower.status()["gateways"] for follower in followers])
            # A retry of the same request is applied once and gets the same answer.
            answer = await anyio.to_thread.run_sync(
                lambda: nodes.line().ask(OperatorCommand("propose", "first", {}, b"\x90"))
            )
            self.assertEqual((True, proposed["version"]), (answer["accepted"], answer["version"]))

            leader = await anyio.to_thread.run_sync(nodes.leader)
            nodes.kill(leader)
            change = {"engines": {"items": {"s-00000001": {"barred": True}}}}
            proposed = await propose(change)
            self.assertEqual("in force", proposed["phase"])
            await wait_until(
                lambda: all(follower.active_config.documents.engines.items for follower in followers)
            )
            await wait_until(
                lambda: followers[0].status()["mode"] == followers[1].status()["mode"] == "lease"
            )

            # A node without its file is no member until an operator admits it.
            os.unlink(nodes.folder / f"{leader}.db")
            nodes.start(leader)
            await wait_until(lambda: "a stranger" in nodes.log(leader))
            members = await anyio.to_thread.run_sync(lambda: commands.ask(nodes.line(), "members"))
            self.assertIn(f"{leader}/1", members["voters"])
            steps: list[str] = []
            replaced = await anyio.to_thread.run_sync(
                lambda: commands.replace(nodes.line(), leader, steps.append, 10)
            )
            members = await anyio.to_thread.run_sync(lambda: commands.ask(nodes.line(), "members"))
            self.assertNotIn(f"{leader}/1", members["voters"])
            self.assertIn(replaced["name"], members["voters"])
            self.assertEqual((3, [], []), (len(members["voters"]), members["learners"], members["strangers"]))
            self.assertRegex("; ".join(steps), "admitted to listen.*votes.*dropped.*done")

            # The new member votes: with another node down, the other two are a majority.
            stopped = next(name for name in nodes.names if name != leader)
            self.assertEqual(0, nodes.kill(stopped, signal.SIGTERM))
            proposed = await propose({"engines": {"items": {"s-00000001": None}}})
            self.assertEqual("in force", proposed["phase"])
            # A moment later all gateways have reported the new turn.
            with anyio.fail_after(8):
                while True:
                    where = await anyio.to_thread.run_sync(lambda: commands.ask(nodes.line(), "where"))
                    self.assertEqual(["g0", "g1"], [status["gateway"] for status in where["gateways"]])
                    if all(
                        status["turn"] == where["turn"] and status["lease_us"] for status in where["gateways"]
                    ):
                        break

            # Without any node the leases end, and the gateways go on in floor mode with what they know.
            for name in list(nodes.processes):
                nodes.kill(name)
            await wait_until(
                lambda: followers[0].active_config.effective_at(followers[0]._clock()).mode is Mode.FALLBACK
            )
            self.assertEqual(2 * proposed["version"], followers[0].active_config.turn)
            tasks.cancel_scope.cancel()

    def test_commands_on_a_fleet_of_one_node(self) -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            NodeProcesses(folder, 1) as nodes,
            captured_stderr() as stderr,
        ):
            nodes.create_files()
            nodes.start()
            change_path = nodes.folder / "change.json"

            def run_command(*arguments: str) -> tuple[int, dict | str]:
                stdout = io.StringIO()
                with contextlib.redirect_stdout(stdout):
                    code = cli_code(["rules", arguments[0], nodes.path, *arguments[1:]])
                return code, json.loads(
                    stdout.getvalue()
                ) if "--json" in arguments and code == 0 else stdout.getvalue()

            change_path.write_text(
                json.dumps(gateway_list("g0") | {"engines": {"items": {"e1": {"barred": True}}}})
            )
            code, output = run_command("propose", str(change_path), "--dry-run")
            self.assertEqual(
                (0, 'engines.items.e1: - > {"barred":true,"work":1.0}'), (code, output.splitlines()[0])
            )
            code, output = run_command("propose", str(change_path), "--why", "a trial", "--no-wait", "--json")
            self.assertEqual((0, 1, "proposed"), (code, output["version"], output["phase"]))
            change_path.write_text(
                json.dumps({"engines": {"items": {"e1": None}}, "versions": {"engines": 0}})
            )
            self.assertEqual((1, ""), run_command("propose", str(change_path)))
            self.assertIn("refused: engines: the change is of version 0", stderr.getvalue())
            change_path.write_text('{"roofs": 1}')
            self.assertEqual((2, ""), run_command("propose", str(change_path)))
            self.assertEqual((2, ""), run_command("propose"))
            change_path.write_text(
                json.dumps({"engines": {"items": {"e1": None}}, "versions": {"engines": 1}})
            )
            self.assertEqual(2, run_command("propose", str(change_path), "--no-wait", "--json")[1]["version"])
            code, output = run_command("propose", "--back-to", "1", "--json")
            self.assertEqual((0, 3, "in force"), (code, output["version"], output["phase"]))
            code, output = run_command("show", "--document", "engines", "--json")
            self.assertEqual((0, 3, 1_250_000), (code, output["in_force"], output["stated_us"]))
            self.assertEqual(True, output["documents"]["engines"]["items"]["e1"]["barred"])
            code, output = run_command("show", "--history", "--json")
            self.assertEqual(
                [["gateways", "engines"], ["engines"], ["engines"]],
                [past["documents"] for past in output["past"]],
            )
            code, output = run_command("where", "--json")
            self.assertEqual(
                (0, [("g0", None)]),
                (code, [(status["gateway"], status["turn"]) for status in output["gateways"]]),
            )
            self.assertEqual(2, run_command("members", "--replace", "k9")[0])
            self.assertIn("'k9' is no keeper of the file", stderr.getvalue())
            self.assertEqual(0, nodes.kill("k1", signal.SIGTERM))
            with contextlib.redirect_stdout(io.StringIO()) as stdout:
                self.assertEqual(0, cli_code(["keeper", nodes.path, "--name", "k1", "--dump"]))
            self.assertEqual(3, json.loads(stdout.getvalue())["latest"])
            self.assertEqual(2, run_command("show", "--seconds", "0.2")[0])
            self.assertIn("no keeper has answered: k1: ", stderr.getvalue())
            # A damaged file is reported in one line.
            data = bytearray((nodes.folder / "k1.db").read_bytes())
            data[100:200] = b"\0" * 100
            (nodes.folder / "k1.db").write_bytes(data)
            line_count = len(stderr.getvalue().splitlines())
            self.assertEqual(2, cli_code(["keeper", nodes.path, "--name", "k1"]))
            self.assertEqual(line_count + 1, len(stderr.getvalue().splitlines()))

    def test_node_ends_when_its_disk_is_full(self) -> None:
        """A command that can't be synced gets no answer; the node ends with one log line, and can restart."""
        with tempfile.TemporaryDirectory() as folder, NodeProcesses(folder, 1) as nodes:
            nodes.create_files()
            nodes.start(max_file_bytes=50_000)
            items = {f"e{number}": {"barred": True} for number in range(4_000)}
            large_change = gateway_list("g0") | {"engines": {"items": items}}
            with self.assertRaises((commands.NoAnswerError, ValueError)):
                commands.propose(nodes.line(3), large_change, request="big")
            self.assertEqual(1, nodes.processes.pop("k1").wait(5))
            self.assertEqual(1, nodes.log("k1").count("can't be written"), nodes.log("k1"))
            self.assertNotIn("Traceback", nodes.log("k1"))
            nodes.start()
            shown = commands.ask(nodes.line(), "show")
            self.assertEqual((0, {}), (shown["latest"], shown["documents"]["engines"]["items"]))


class InvalidPeerTest(unittest.TestCase):
    """A peer that breaks the protocol loses its link, with one log line; the node goes on."""

    def test_invalid_frames_end_the_link(self) -> None:
        with tempfile.TemporaryDirectory() as folder, NodeProcesses(folder, 1) as nodes:
            nodes.create_files()
            nodes.start()
            nodes.line().ask(OperatorCommand("show"))
            time.sleep(1.1)  # five lines a second are logged
            digest = peers.settings_digest(nodes.settings)
            gateway_greeting = peers.make_greeting("gateway", "trial", "g0", "a1", digest)

            def greeting(**changed: object) -> bytes:
                return encode_frame(msgspec.structs.replace(gateway_greeting, **changed))

            valid_greeting = encode_frame(gateway_greeting)
            operator_greeting = encode_frame(peers.make_greeting("operator", "trial", "operator", "a1"))
            keeper_greeting = greeting(role="keeper", name="k1")
            cases = {
                "no frame": (b"GET / HTTP/1.0\r\n\r\n", "refused: .*a frame of kind"),
                "a wrong length": (
                    struct.pack(">IB", MAX_FRAME_BYTES + 1, 48),
                    "refused: .*a frame of kind 48",
                ),
                "no greeting": (encode_frame(GetConfig(0)), "refused: .*no greeting"),
                "a wrong magic": (greeting(magic="other"), "refused: .*no greeting"),
                "a later version": (greeting(version=9), "refused: .*version 9"),
                "another fleet": (greeting(fleet="other"), "refused: .*of fleet 'other'"),
                "an unknown role": (greeting(role="king"), "refused: .*role 'king'"),
                "an invalid name": (greeting(name="g 0"), "refused: .*name 'g 0'"),
                "a gateway with a node's name": (greeting(name="k1"), "refused: .*'k1' as a gateway"),
                "a node that the settings do not name": (
                    greeting(role="keeper"),
                    "refused: .*'g0' as a keeper",
                ),
                "the receiving node's own name": (keeper_greeting, "refused: .*own name"),
                "a renewal under other settings": (
                    greeting(nonce=b"") + encode_frame(RenewLease(1, 0)),
                    "dropped: .*another lease",
                ),
                "a second greeting": (
                    valid_greeting + valid_greeting,
                    "dropped: a Greeting from the role gateway",
                ),
                "a node's frame from a gateway": (
                    valid_greeting + encode_frame(KeepAlive(1)),
                    "dropped: a KeepAlive from the role gateway",
                ),
                "a forwarded frame from a gateway": (
                    valid_greeting + encode_frame(ForwardedFrame("x", False, b"")),
                    "dropped: a ForwardedFrame from",
                ),
                "an operator's command from a gateway": (
                    valid_greeting + encode_frame(encode_command(1, OperatorCommand("show"))[0]),
                    "dropped: a OperatorRequest",
                ),
                "a gateway's frame from an operator": (
                    operator_greeting + encode_frame(RenewLease(1, 0)),
                    "dropped: a RenewLease from the role oper",
                ),
                "a replayed renewal": (
                    valid_greeting + encode_frame(RenewLease(7, 0)) * 2,
                    "dropped: renewal 7 after 7",
                ),
                "an older renewal": (
                    valid_greeting + encode_frame(RenewLease(7, 0)) + encode_frame(RenewLease(6, 0)),
                    "dropped: renewal 6",
                ),
                "an undecodable command": (
                    operator_greeting + encode_frame(OperatorRequest(1, b"\xc1", True)),
                    "dropped: a question",
                ),
                "a truncated frame": (valid_greeting + encode_frame(GetConfig(0))[:-1], "EndOfStream"),
            }
            for name, (message, expected) in cases.items():
                with self.subTest(name):
                    ended_count = nodes.log("k1").count("event=ended")
                    with socket.create_connection(("127.0.0.1", nodes.ports["k1"]), 5) as connection:
                        connection.sendall(message)
                        if name == "a truncated frame":
                            connection.shutdown(socket.SHUT_WR)
                        connection.settimeout(5)
                        with contextlib.suppress(ConnectionResetError):
                            while connection.recv(65536):
                                pass
                    ended_lines = ended_link_lines(nodes, ended_count)
                    self.assertEqual(1, len(ended_lines), ended_lines)
                    self.assertRegex(ended_lines[0], expected)
                    time.sleep(0.2)
            self.assertNotIn("Traceback", nodes.log("k1"))
            self.assertEqual("k1", nodes.leader())

    def test_newer_link_of_a_peer_ends_the_older(self) -> None:
        with tempfile.TemporaryDirectory() as folder, NodeProcesses(folder, 1) as nodes:
            nodes.create_files()
            nodes.start()
            nodes.line().ask(OperatorCommand("show"))
            greeting = encode_frame(
                peers.make_greeting("gateway", "trial", "g0", "a1", peers.settings_digest(nodes.settings))
            )
            with socket.create_connection(("127.0.0.1", nodes.ports["k1"]), 5) as first:
                first.sendall(greeting)
                first.recv(65536)
                with socket.create_connection(("127.0.0.1", nodes.ports["k1"]), 5) as second:
                    second.sendall(greeting)
                    second.recv(65536)
                    first.settimeout(5)
                    self.assertEqual(b"", first.recv(65536))
            self.assertIn("a newer link has taken its place", "".join(ended_link_lines(nodes, 0)))

    def test_peer_without_the_key_of_its_name_is_refused(self) -> None:
        """With TLS a gateway's key doesn't serve for an operator, and a peer without TLS is refused."""
        with tempfile.TemporaryDirectory() as folder, captured_stderr():
            authority.make(f"{folder}/keys", ["k1", "g0", "operator"])
            tls = (
                f"tls\n    authority {folder}/keys/authority.pem\n"
                f"    certificate {folder}/keys/{{name}}.pem\n    key {folder}/keys/{{name}}.key\n"
            )
            with NodeProcesses(folder, 1, tls=tls) as nodes:
                nodes.create_files()
                nodes.start()
                self.assertEqual(0, nodes.line().ask(OperatorCommand("show"))["turn"])
                g0_settings = msgspec.structs.replace(
                    nodes.settings, tls=operator.parse("x", nodes.text + tls.format(name="g0")).fleet.tls
                )
                with self.assertRaises(commands.NoAnswerError):
                    commands.Line(g0_settings, 0.2).ask(OperatorCommand("show"))
                with self.assertRaises(commands.NoAnswerError):
                    commands.Line(msgspec.structs.replace(nodes.settings, tls=None), 0.2).ask(
                        OperatorCommand("show")
                    )
                ended_lines = "".join(ended_link_lines(nodes, 0))
                self.assertIn("'g0' as an operator", ended_lines)

                async def follow_as_g0() -> str:
                    active_config = ActiveConfig(
                        "g0",
                        g0_settings.lease,
                        g0_settings.floor_lease,
                        g0_settings.drift,
                        g0_settings.most,
                        incarnation="a1",
                    )
                    follower = ConfigFollower(g0_settings, "g0", active_config, Random(1).random)
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(follower.run, tasks)
                        await wait_until(lambda: follower.status()["keeper"] == "k1")
                        tasks.cancel_scope.cancel()
                    return follower.status()["mode"]

                self.assertEqual("floor", anyio.run(follow_as_g0))


def ended_link_lines(nodes: NodeProcesses, skipped_count: int) -> list[str]:
    """Waits for log lines about ended links after the first `skipped_count`, and returns them."""
    deadline_s = time.monotonic() + 3
    while time.monotonic() < deadline_s:
        lines = [line for line in nodes.log("k1").splitlines() if "event=ended" in line][skipped_count:]
        if lines:
            time.sleep(0.03)
            return [line for line in nodes.log("k1").splitlines() if "event=ended" in line][skipped_count:]
        time.sleep(0.01)
    return []


@contextlib.contextmanager
def captured_stderr():
    with contextlib.redirect_stderr(io.StringIO()) as stderr:
        yield stderr


_FAULTS_BY_SETTINGS = {
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


class FleetSettingsTest(unittest.TestCase):
    def test_all_faults_of_the_settings_are_reported(self) -> None:
        for text, expected in _FAULTS_BY_SETTINGS.items():
            with self.subTest(text):
                try:
                    settings = operator.parse("f", text)
                    faults, _ = [], self.assertEqual("t", settings.fleet.name)
                except UnusableError as error:
                    faults = [fault.removeprefix("f:") for fault in error.faults]
                self.assertEqual(expected, faults)

    def test_example_settings_are_valid(self) -> None:
        with captured_stderr() as stderr, contextlib.redirect_stdout(io.StringIO()):
            self.assertEqual(0, cli_code(["check-config", "deploy/fleet.conf"]))
        self.assertIn("for 2.5 s at the longest", stderr.getvalue())

    def test_gateways_spread_over_the_nodes(self) -> None:
        settings = operator.read("deploy/fleet.conf").fleet
        first_choices = [preference_order(f"g{number}", settings.keepers)[0].name for number in range(300)]
        for keeper in settings.keepers:
            self.assertTrue(70 < first_choices.count(keeper.name) < 130, first_choices.count(keeper.name))

    def test_changes_are_merged_into_documents(self) -> None:
        old = {"items": {"a": {"barred": True}, "b": {"work": 0.5}}, "count": 3}
        change = {"items": {"a": None, "b": {"barred": True}, "c": {}}, "count": 4}
        self.assertEqual(
            {"items": {"b": {"work": 0.5, "barred": True}, "c": {}}, "count": 4}, commands.merged(old, change)
        )
