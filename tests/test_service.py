"""The whole gateway between stand-ins of clients, engines and the coordinator, all on loopback."""

import contextlib
import io
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import anyio.abc
import anyio.lowlevel

from cresstray import __main__ as program
from cresstray.clients.listener import Listener
from cresstray.clock import Clock, Timers
from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.engines.connection import DescriptorQuota, SocketConnection, SocketConnectionPool
from cresstray.engines.in_flight import InFlightRequest, InFlightRequests
from cresstray.gateway.service import Service
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.pipeline.routing import Router
from cresstray.policy.types import EndpointState
from tests.harness import ClientStandIn, EngineStandIn, TraceCase, settings
from tests.test_codecs import frame


def make_endpoint(port: int, number: int = 1, state: EndpointState = EndpointState.READY) -> Endpoint:
    return Endpoint(number, "127.0.0.1", port, state, 0, 0, 0, 0)


class GatewayHarness:
    """A gateway and its engines, up and reachable, with all that is said in `lines`."""

    def __init__(self, engines: int, **parts: object) -> None:
        self.lines: list[str] = []
        self.settings = settings(Tenants=[{"Name": "acme"}], Localities=["east"], Flavors=["std"], **parts)
        for name, service in zip(("lookup", "report"), self.settings["Services"]):
            service["Name"] = name
        self.engines = [EngineStandIn(f"engine {number}") for number in range(engines)]
        self.service: Service
        self.coordinator: str | None = None  # of the configuration that replaces the first
        self.address: tuple[str, int]

    async def run(
        self, scene: Callable[["GatewayHarness", ClientStandIn], Awaitable], coordinator: str | None
    ) -> None:
        async with anyio.create_task_group() as tasks:
            for engine in self.engines:
                await tasks.start(engine.run)
            # With a coordinator, the engines are still to be told of.
            told = [] if coordinator else self.engines
            listed = [make_endpoint(engine.port, number) for number, engine in enumerate(told)]
            self.service = Service(
                "n0",
                ("127.0.0.1", 0),
                7,
                self.settings,
                [EndpointEvent(1, True, listed)],
                coordinator,
                lambda: self.coordinator,
            )
            self.address = await tasks.start(self.service.run)
            with anyio.fail_after(30):
                async with await anyio.connect_tcp(*self.address) as stream:
                    await scene(self, ClientStandIn(stream, self.lines))
            tasks.cancel_scope.cancel()

    async def until(self, engine: int, text: str) -> None:
        """Waits for the engine to get what begins like this."""
        while not any(line.startswith(f"engine {engine} gets {text}") for line in self.engines[engine].lines):
            await self.engines[engine].received.wait()

    def trace(self) -> list[str]:
        """What each was told, one party after the other: between them, the order is the network's."""
        return self.lines + [line for engine in self.engines for line in engine.lines]


async def turns(count: int) -> None:
    for _ in range(count):
        await anyio.lowlevel.checkpoint()


class Scenes(TraceCase):
    def play(
        self,
        name: str,
        scene: Callable[[GatewayHarness, ClientStandIn], Awaitable],
        engines: int = 1,
        coordinator: str | None = None,
        **parts: object,
    ) -> GatewayHarness:
        stage = GatewayHarness(engines, **parts)
        with contextlib.redirect_stderr(io.StringIO()) as said:
            anyio.run(stage.run, scene, coordinator)
        self.assertNotIn("broken", said.getvalue())
        self.assertNotIn("fault", said.getvalue())
        self.check(name, stage.trace())
        return stage

    def test_pages_in_order(self) -> None:
        async def scene(stage: GatewayHarness, client: ClientStandIn) -> None:
            await client.send_line({"jsonrpc": "2.0", "id": 1, "method": "status", "params": {}})
            await client.receive_response()
            for number, statement in enumerate(("pages", "plain"), 2):
                await client.send_request(number, statement)
                await client.receive_response()

        stage = self.play("scene_pages", scene)
        self.assertEqual(2, stage.service.parts.counters.counts["requests succeeded"])

    def test_malformed_lines_keep_the_connection(self) -> None:
        async def scene(stage: GatewayHarness, client: ClientStandIn) -> None:
            for line in (
                b"no JSON\n",
                b'{"jsonrpc":"2.0","id":3,"method":"rapport"}\n',
                b"\n",
                b'{"jsonrpc":"2.0","id":4,"method":"lookup","params":{}}\n',
            ):
                await client.send_line(line)
                if line.strip():
                    await client.receive_response()
            await client.send_request(5, "silent")
            await stage.until(0, "ASK 0001")
            await client.send_request(5, "plain")  # neither can be answered now
            await client.receive_response()
            await client.receive_response()
            await client.send_line(
                {
                    "jsonrpc": "2.0",
                    "id": 6,
                    "method": "lookup",
                    "params": {"req": "0" * 16, "timeout": 900, "owner": "nobody", "data": ""},
                }
            )
            await client.receive_response()
            await client.send_request(7, "plain")
            await client.receive_response()

        self.play("scene_malformed", scene)

    def test_withdrawn_and_left(self) -> None:
        async def scene(stage: GatewayHarness, client: ClientStandIn) -> None:
            await client.send_request(1, "silent one")
            await stage.until(0, "ASK 0001")
            await client.send_line({"jsonrpc": "2.0", "method": "withdraw", "params": {"id": 1}})
            await stage.until(0, "QUIT 0001")
            async with await anyio.connect_tcp(*stage.address) as stream:
                other = ClientStandIn(stream, stage.lines, names=16)
                await other.send_request(1, "silent two")
                await stage.until(0, "ASK 0011")
            while len([line for line in stage.engines[0].lines if "QUIT" in line]) < 2:
                await stage.engines[0].received.wait()
            await client.send_request(2, "plain")
            await client.receive_response()

        stage = self.play("scene_left", scene)
        self.assertEqual(2, stage.service.parts.counters.counts["requests cancelled"])

    def test_strangers_do_no_harm(self) -> None:
        """The id of an open request, one used again after it was withdrawn, too many open, only mistakes."""

        async def scene(stage: GatewayHarness, client: ClientStandIn) -> None:
            await client.send_request(1, "silent")
            await stage.until(0, "ASK 0001")
            for what in ("taken", "used up"):
                async with await anyio.connect_tcp(*stage.address) as stream:
                    stage.lines.append(f"a stranger comes with a name that is {what}")
                    stranger = ClientStandIn(stream, stage.lines)
                    await stranger.send_request(1, "plain")
                    await stranger.receive_response()
                    for _ in range(9 if what == "taken" else 0):
                        await stranger.send_line(b"no JSON\n")
                        await stranger.receive_response()
                    with contextlib.suppress(anyio.EndOfStream):
                        if what == "taken":
                            await stranger.send_line(b"the tenth is not answered\n")
                            await stranger.receive_response()
                if what == "taken":
                    await client.send_line({"jsonrpc": "2.0", "method": "withdraw", "params": {"id": 1}})
                    await stage.until(0, "QUIT 0001")
            mark = len(stage.lines)
            for number in range(2, 35):
                await client.send_request(number, "silent")
            await client.receive_response()
            while len(stage.engines[0].lines) < 34:
                await stage.engines[0].received.wait()
            del stage.lines[mark:-2]
            del stage.engines[0].lines[2:]

        stage = self.play("scene_strangers", scene)
        self.assertEqual(1, stage.service.parts.counters.counts["clients banned"])

    def test_engine_faults(self) -> None:
        async def scene(stage: GatewayHarness, client: ClientStandIn) -> None:
            await client.send_request(1, "silent", timeout=60000)
            await stage.until(0, "ASK 0001")
            faults = ("garbage", "noise", "half", "reset", "full", "more", "plain")
            for number, statement in enumerate(faults, 2):
                await client.send_request(number, statement, timeout=60000)
                await client.receive_response()

        # What was asked first is open on a link of its own until the gateway ends, a reset for it.
        stage = self.play("scene_faults", scene, Limits={"MaxAttempts": 1})
        counts = stage.service.parts.counters.counts
        outcomes = [
            counts[f"attempts {how}"]
            for how in ("protocol error", "connection lost", "overloaded", "succeeded")
        ]
        self.assertEqual([3, 2, 1, 2], outcomes)
        self.assertEqual(2, counts["answers not awaited"])

    def test_further_relay(self) -> None:
        async def scene(stage: GatewayHarness, client: ClientStandIn) -> None:
            for number in range(1, 4):
                await client.send_request(number, "once", timeout=60000)
                await client.receive_response()

        self.play("scene_further", scene, engines=2)

    def test_silent_engine_ends_before_the_hard_stop(self) -> None:
        async def scene(stage: GatewayHarness, client: ClientStandIn) -> None:
            await client.send_request(1, "silent", timeout=400)
            await client.receive_response()
            await stage.until(0, "QUIT 0001")

        self.play("scene_silent", scene)

    def test_unreachable_engine(self) -> None:
        async def scene(stage: GatewayHarness, client: ClientStandIn) -> None:
            list(stage.service.parts.router._pools.values())[0].address = ("127.0.0.1", 1)
            await client.send_request(1, "plain", timeout=1000)
            await client.receive_response()

        stage = self.play("scene_unreachable", scene, Limits={"MaxAttempts": 1})
        self.assertEqual(1, stage.service.parts.counters.counts["attempts unreachable"])

    def test_last_stop(self) -> None:
        async def scene(stage: GatewayHarness, client: ClientStandIn) -> None:
            await client.send_request(1, "silent", timeout=1800)
            await stage.until(0, "ASK 0001")
            os.kill(os.getpid(), signal.SIGTERM)
            await client.send_request(2, "plain", timeout=1800)
            await client.receive_response()
            await client.receive_response()
            with contextlib.suppress(anyio.EndOfStream):
                await client.receive_response()
                stage.lines.append("more was said after the end")
            stage.lines.append("the connection has ended")

        # The client would wait for 1.8 seconds, the gateway ends by its longest time limit.
        service = {"Effect": "idempotent", "GoalTime": 100.0, "GiveUp": 900.0}
        self.play("scene_last_stop", scene, Services=[service])

    def test_coordinators(self) -> None:
        """A doubled event, a break, and configurations replaced while the gateway runs and while it stops."""

        async def scene(stage: GatewayHarness, client: ClientStandIn) -> None:
            await client.send_request(1, "plain", timeout=60000)
            await client.receive_response()
            for address in ("no address", replaced):
                stage.coordinator = address
                os.kill(os.getpid(), signal.SIGHUP)
                await anyio.sleep(0.05)
            await told_again.wait()
            await client.send_request(2, "silent", timeout=800)
            await stage.until(0, "ASK 0002")
            os.kill(os.getpid(), signal.SIGTERM)
            os.kill(os.getpid(), signal.SIGHUP)
            await client.receive_response()

        async def first(stream: anyio.abc.SocketStream) -> None:
            heard.append(f"the first is told {struct.unpack('>Q', await stream.receive(8))[0]}")
            event = frame(2, 0) + 2 * frame(2, 2, (5, 0x7F000001, made.engines[0].port, 0, 0, 0, 0, 0, 0))
            for at in range(len(event)):
                await stream.send(event[at : at + 1])
            with contextlib.suppress(anyio.EndOfStream):
                await stream.receive()
            heard.append("the first is left")

        async def second(stream: anyio.abc.SocketStream) -> None:
            heard.append(f"the second is told {struct.unpack('>Q', await stream.receive(8))[0]}")
            if len(heard) > 3:
                told_again.set()
                await anyio.sleep_forever()
            await stream.send(frame(3, 2, (6, 0x7F000001, 1, 0, 0, 0, 0, 0, 0))[:20])
            await stream.aclose()

        def closed_after(handle: Callable) -> Callable:
            async def handled(stream: anyio.abc.SocketStream) -> None:
                async with stream:
                    await handle(stream)

            return handled

        async def main() -> None:
            nonlocal replaced
            async with contextlib.AsyncExitStack() as stack:
                listeners = [
                    await stack.enter_async_context(await anyio.create_tcp_listener(local_host="127.0.0.1"))
                    for _ in range(2)
                ]
                ports = [one.extra(anyio.abc.SocketAttribute.local_port) for one in listeners]
                tasks = await stack.enter_async_context(anyio.create_task_group())
                for listener, coordinator in zip(listeners, (first, second)):
                    tasks.start_soon(listener.serve, closed_after(coordinator))
                replaced = f"127.0.0.1:{ports[1]}"
                await made.run(scene, f"127.0.0.1:{ports[0]}")
                tasks.cancel_scope.cancel()

        told_again, made, heard, replaced = anyio.Event(), GatewayHarness(1), [], ""
        with contextlib.redirect_stderr(io.StringIO()) as said:
            anyio.run(main)
        self.assertEqual(1, said.getvalue().count("can't be used, the old one stays"))
        self.check("scene_coordinators", made.trace() + heard)


class Parts(TraceCase):
    def crowd(self, most: int, many: int, count: int, check: Callable) -> list[str]:
        """Clients at a door of `most`, and what `check` notes about it; the clock is the test's."""

        async def main() -> None:
            door = Listener(
                frozenset(), None, lambda: most, many, lambda: clock[0], Counters(), Log("n0", Clock())
            )
            door.handler = type("Front", (), {"on_disconnected": lambda self, connection: None})()
            with contextlib.ExitStack() as crowd:
                listener = crowd.enter_context(socket.create_server(("127.0.0.1", 0), backlog=200))
                listener.setblocking(False)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(door.run, listener)
                    await check(
                        door,
                        clock,
                        lines,
                        [
                            crowd.enter_context(socket.create_connection(listener.getsockname()))
                            for _ in range(count)
                        ],
                    )
                    tasks.cancel_scope.cancel()

        lines, clock = [], [0]
        anyio.run(main)
        return lines

    def test_a_crowd_is_accepted_at_once(self) -> None:
        async def check(door: Listener, _: list[int], lines: list[str], clients: list[socket.socket]) -> None:
            await turns(20)
            lines.append(f"{len(door.connections)} of {len(clients)} are served after 20 turns of the loop")

        self.check("crowd", self.crowd(200, 200, 100, check))

    def test_silent_clients_make_room(self) -> None:
        async def check(
            door: Listener, clock: list[int], lines: list[str], clients: list[socket.socket]
        ) -> None:
            def note(text: str) -> None:
                lines.append(f"{text}: {' '.join(names[one] for one in door.connections)}")

            await turns(20)
            names = dict(zip(door.connections, ("silent", "asking", "answered", "half")))
            asking, answered = list(door.connections)[1:3]
            asking.open_requests[1] = None
            clients[2].sendall(b'{"jsonrpc":"2.0","id":1,"method":"status"}\n')
            clients[3].sendall(b"half a li")
            await turns(20)
            note("served")
            for milliseconds, text in (
                (1000, "a fifth comes"),
                (2000, "a sixth comes"),
                (2100, "a seventh comes"),
                (4300, "the sweep"),
                (6900, "the sweep"),
            ):
                clock[0] = milliseconds * 1000
                if "comes" in text:
                    clients.append(socket.create_connection(clients[0].getpeername()))
                    await turns(20)
                    for one in door.connections:
                        names.setdefault(one, text.split()[1])
                else:
                    door.close_idle()
                note(f"{milliseconds} ms, {text}")
            for client in clients:
                client.close()

        self.check("silent_clients", self.crowd(4, 4, 4, check))

    def test_who_stays_after_an_answer_keeps_nobody_out(self) -> None:
        async def check(
            door: Listener, clock: list[int], lines: list[str], clients: list[socket.socket]
        ) -> None:
            for client in clients[:5]:
                client.sendall(b'{"jsonrpc":"2.0","id":1,"method":"status"}\n')
            await turns(20)
            for clock[0] in (200_000, 400_000):
                door.close_idle()
                lines.append(
                    f"{clock[0]} us: {[one.has_sent_request for one in door.connections].count(True)} "
                    f"answered, {len(door.connections)} in all"
                )
                await turns(2)
            for client in clients:
                client.close()

        self.check("stayers", self.crowd(10, 4, 6, check))

    def test_a_name_given_up_is_not_used_again_on_its_link(self) -> None:
        async def main() -> None:
            self.names_on_a_link()

        anyio.run(main)

    def names_on_a_link(self) -> None:
        timers = Timers(Clock())
        pool = SocketConnectionPool(
            "engine",
            ("127.0.0.1", 1),
            {},
            DescriptorQuota(8, 8),
            None,
            timers,
            Clock().now,
            Counters(),
            Log("n0", Clock()),
        )
        link, lines = SocketConnection(pool), []
        stand_in = {
            "write": lambda self, message: True,
            "has_ended": lambda self: False,
            "unsent": bytearray(),
        }
        link.transport = type("Line", (), stand_in)()
        keeper = type("Keeper", (), {"on_sent": lambda self, exchange: None})()
        for name in (b"first", b"second"):
            link.start(InFlightRequest(name, b"", keeper, None))
        link.in_flight.received_count = 1
        for text, name in (("open", b"first"), ("given up", b"first"), ("new", b"third")):
            if text == "given up":
                link.abandon(link.in_flight.open[name])
            lines.append(f"{text}: {'room' if link.in_flight.has_room_for(name) else 'no room'}")
        link.finish(link.in_flight.open[b"second"])
        lines.append(
            f"answered, asked again: {'room' if link.in_flight.has_room_for(b'second') else 'no room'}"
        )
        link.start(InFlightRequest(b"third", b"", keeper, None))
        link.abandon(link.in_flight.open[b"third"])
        lines.append(
            f"given up, nothing heard: {'room' if link.in_flight.has_room_for(b'new') else 'no room'}"
        )
        self.check("links", lines)

    def test_what_the_end_of_a_link_means(self) -> None:
        """Written, not written, on a link that never came up, and moved as often as it may."""
        lines = []
        for text, came_up, written, moves in (
            ("written", True, True, 0),
            ("not written", True, False, 0),
            ("moved before", True, False, 1),
            ("moved twice", True, False, 2),
            ("never up", False, False, 0),
        ):
            life, exchange = InFlightRequests(8), InFlightRequest(b"one", b"", None, None)
            exchange.reconnects = moves
            life.add(exchange)
            life.on_written(exchange, written)
            ended = life.on_connection_closed(came_up)
            self.assertFalse(life.has_room_for(b"two"))
            lines.append(f"{text}: {', '.join(fate.value for _, fate in ended)}; {exchange.reconnects} moves")
        self.check("link_ends", lines)

    def test_engines_that_are_gone_are_forgotten(self) -> None:
        def pool(label: str, address: tuple[str, int]) -> SocketConnectionPool:
            lines.append(f"links to {label}")
            return SocketConnectionPool(
                label, address, {}, DescriptorQuota(8, 8), None, None, None, Counters(), None
            )

        lines, route = [], Router(pool, None)
        for text, event in (
            ("two come", EndpointEvent(1, True, [make_endpoint(1, 1), make_endpoint(2, 2)])),
            ("one leaves", EndpointEvent(2, False, [make_endpoint(1, 1, EndpointState.REMOVED)])),
            ("a late word on it", EndpointEvent(3, False, [make_endpoint(1, 1, EndpointState.REMOVED)])),
            ("its address under another id", EndpointEvent(4, False, [make_endpoint(1, 3)])),
            ("only that one is listed", EndpointEvent(5, True, [make_endpoint(1, 3)])),
        ):
            entries = len(route.apply_event(event))
            lines.append(f"{text}: {entries} told, {len(route._engines)} kept, {len(route._pools)} pools")
        self.check("gone", lines)

    def test_timers(self) -> None:
        clock, lines = Clock(), []
        clock.now = lambda: now
        timers, now = Timers(clock), 0
        for at, text in ((50, "late"), (10, "early"), (10, "early too"), (30, "cancelled")):
            due = timers.call_after(at, lambda _, text=text: lines.append(text))
        due.cancel()
        timers.call_after(20, lambda _: timers.call_after(0, lambda _: lines.append("added by a call")))
        for now in (9, 10, 40, 50):  # noqa: B007, the clock reads it
            lines.append(f"at {now}: next in {timers.run_due()}")
        self.check("timers", lines)

    def test_a_call_that_fails_keeps_none_of_the_others(self) -> None:
        def fails(_: int) -> None:
            raise ValueError("of ours")

        made: list[int] = []
        for told in ([], None):
            clock = Clock()
            clock.now = lambda: 7
            timers = Timers(clock, None if told is None else told.append)
            timers.call_after(0, fails)
            timers.call_after(0, made.append)
            if told is None:
                with self.assertRaises(ValueError):
                    timers.run_due()
            else:
                self.assertIsNone(timers.run_due())
                self.assertEqual(["of ours"], [str(error) for error in told])
        self.assertEqual([7], made)

    def test_a_sweep_that_fails_is_followed_by_the_next(self) -> None:
        async def scene(stage: GatewayHarness, client: ClientStandIn) -> None:
            gateway, listen = stage.service.parts.controller, stage.service.parts.controller._check_attempts

            def fails(now: int) -> None:
                gateway._check_attempts = listen
                raise ValueError("of ours")

            gateway._check_attempts = fails
            # Held, as no engine is there: only the sweep can answer it.
            await client.send_request(1, "plain", timeout=600)
            self.assertEqual(-32000, (await client.receive_response())["error"]["code"])

        stage = GatewayHarness(0)
        with contextlib.redirect_stderr(io.StringIO()) as said:
            anyio.run(stage.run, scene, None)
        self.assertEqual(1, stage.service.parts.counters.counts["faults"])
        self.assertIn("ValueError: of ours", said.getvalue())

    def test_what_must_hold(self) -> None:
        counters = Counters()
        counters.check(True, "nothing")
        with self.assertRaises(AssertionError):
            counters.check(False, "a request is answered once")

    def test_configuration(self) -> None:
        lines = []
        with tempfile.TemporaryDirectory() as folder:
            for text, given in (
                ("missing", None),
                ("no JSON", "{"),
                ("no address", '{"name":"n0"}'),
                (
                    "a malformed list",
                    '{"name":"n0","listen":"127.0.0.1:1","seed":"1",'
                    '"settings":{},"known":{"index":1,"updates":[{"index":1,"endpoints":'
                    '{"members":[{"id":"x","host_port":"y"}]}}]}}',
                ),
            ):
                path = Path(folder) / "config.json"
                if given is not None:
                    path.write_text(given)
                os.environ["GW_CONFIG"] = str(path)
                with contextlib.redirect_stderr(io.StringIO()) as said:
                    lines.append(f"{text}: exit code {program.main()}")
                lines.append(said.getvalue().strip().replace(folder, "FOLDER"))
        self.check("configuration", lines)

    def test_the_program_is_told_of_a_new_configuration(self) -> None:
        lines = []
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            given = {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "seed": "1",
                "settings": GatewayHarness(0).settings,
            }
            path.write_text(json.dumps(given))
            run = [sys.executable, "-m", "cresstray"]
            with subprocess.Popen(
                run, env=os.environ | {"GW_CONFIG": str(path)}, stderr=subprocess.PIPE, text=True
            ) as process:
                lines.append(re.sub(r":\d+$", ":PORT", process.stderr.readline().split(" ", 1)[1].rstrip()))
                for text in ("{", json.dumps(given | {"coordinator": "127.0.0.1:1"})):
                    path.write_text(text)
                    process.send_signal(signal.SIGHUP)
                    lines.append(process.stderr.readline().split(" ", 1)[1].rstrip())
                process.send_signal(signal.SIGTERM)
                process.stderr.read()
            lines.append(f"exit code {process.returncode}")
        self.check("reload", lines)
