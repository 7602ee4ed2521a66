"""A whole gateway with simulated clients, engines and coordinators on loopback, and single parts of it."""

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
    """A running gateway and its engines; `lines` records what the client sends and receives."""

    def __init__(self, engines: int, **parts: object) -> None:
        self.lines: list[str] = []
        self.settings = settings(Tenants=[{"Name": "acme"}], Localities=["east"], Flavors=["std"], **parts)
        for name, service in zip(("lookup", "report"), self.settings["Services"]):
            service["Name"] = name
        self.engines = [EngineStandIn(f"engine {number}") for number in range(engines)]
        self.service: Service
        self.coordinator: str | None = None  # that a reload of the configuration returns
        self.address: tuple[str, int]

    async def run(
        self, scenario: Callable[["GatewayHarness", ClientStandIn], Awaitable], coordinator: str | None
    ) -> None:
        async with anyio.create_task_group() as tasks:
            for engine in self.engines:
                await tasks.start(engine.run)
            # With a coordinator, the initial list is empty: the coordinator sends the endpoints.
            known_engines = [] if coordinator else self.engines
            endpoints = [make_endpoint(engine.port, number) for number, engine in enumerate(known_engines)]
            self.service = Service(
                "n0",
                ("127.0.0.1", 0),
                7,
                self.settings,
                [EndpointEvent(1, True, endpoints)],
                coordinator,
                lambda: self.coordinator,
            )
            self.address = await tasks.start(self.service.run)
            with anyio.fail_after(30):
                async with await anyio.connect_tcp(*self.address) as stream:
                    await scenario(self, ClientStandIn(stream, self.lines))
            tasks.cancel_scope.cancel()

    async def wait_for_command(self, engine: int, text: str) -> None:
        """Waits until the engine has received a command that starts with `text`."""
        while not any(line.startswith(f"engine {engine} gets {text}") for line in self.engines[engine].lines):
            await self.engines[engine].received.wait()

    def trace(self) -> list[str]:
        """Returns the lines of each party in turn; the order between parties depends on the network."""
        return self.lines + [line for engine in self.engines for line in engine.lines]


async def run_loop_turns(count: int) -> None:
    for _ in range(count):
        await anyio.lowlevel.checkpoint()


class GatewayTest(TraceCase):
    def run_and_check(
        self,
        trace_name: str,
        scenario: Callable[[GatewayHarness, ClientStandIn], Awaitable],
        engines: int = 1,
        coordinator: str | None = None,
        **parts: object,
    ) -> GatewayHarness:
        harness = GatewayHarness(engines, **parts)
        with contextlib.redirect_stderr(io.StringIO()) as log_output:
            anyio.run(harness.run, scenario, coordinator)
        self.assertNotIn("broken", log_output.getvalue())
        self.assertNotIn("fault", log_output.getvalue())
        self.check(trace_name, harness.trace())
        return harness

    def test_pages_of_a_result_arrive_in_order(self) -> None:
        async def scenario(harness: GatewayHarness, client: ClientStandIn) -> None:
            await client.send_line({"jsonrpc": "2.0", "id": 1, "method": "status", "params": {}})
            await client.receive_response()
            for number, statement in enumerate(("pages", "plain"), 2):
                await client.send_request(number, statement)
                await client.receive_response()

        harness = self.run_and_check("scene_pages", scenario)
        self.assertEqual(2, harness.service.parts.counters.counts["requests succeeded"])

    def test_malformed_lines_do_not_end_the_connection(self) -> None:
        async def scenario(harness: GatewayHarness, client: ClientStandIn) -> None:
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
            await harness.wait_for_command(0, "ASK 0001")
            await client.send_request(5, "plain")  # two requests under one id: both are rejected
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

        self.run_and_check("scene_malformed", scenario)

    def test_cancellation_and_disconnect_cancel_the_request_on_its_engine(self) -> None:
        async def scenario(harness: GatewayHarness, client: ClientStandIn) -> None:
            await client.send_request(1, "silent one")
            await harness.wait_for_command(0, "ASK 0001")
            await client.send_line({"jsonrpc": "2.0", "method": "withdraw", "params": {"id": 1}})
            await harness.wait_for_command(0, "QUIT 0001")
            async with await anyio.connect_tcp(*harness.address) as stream:
                other = ClientStandIn(stream, harness.lines, names=16)
                await other.send_request(1, "silent two")
                await harness.wait_for_command(0, "ASK 0011")
            while len([line for line in harness.engines[0].lines if "QUIT" in line]) < 2:
                await harness.engines[0].received.wait()
            await client.send_request(2, "plain")
            await client.receive_response()

        harness = self.run_and_check("scene_left", scenario)
        self.assertEqual(2, harness.service.parts.counters.counts["requests cancelled"])

    def test_misbehaving_clients_do_not_affect_others(self) -> None:
        """Clients that reuse the name of an open or a cancelled request, or send only malformed lines.

        Then one client opens more requests than allowed.
        """

        async def scenario(harness: GatewayHarness, client: ClientStandIn) -> None:
            await client.send_request(1, "silent")
            await harness.wait_for_command(0, "ASK 0001")
            for state in ("taken", "used up"):
                async with await anyio.connect_tcp(*harness.address) as stream:
                    harness.lines.append(f"a stranger comes with a name that is {state}")
                    other = ClientStandIn(stream, harness.lines)
                    await other.send_request(1, "plain")
                    await other.receive_response()
                    for _ in range(9 if state == "taken" else 0):
                        await other.send_line(b"no JSON\n")
                        await other.receive_response()
                    with contextlib.suppress(anyio.EndOfStream):
                        if state == "taken":
                            await other.send_line(b"the tenth is not answered\n")
                            await other.receive_response()
                if state == "taken":
                    await client.send_line({"jsonrpc": "2.0", "method": "withdraw", "params": {"id": 1}})
                    await harness.wait_for_command(0, "QUIT 0001")
            start = len(harness.lines)
            for number in range(2, 35):
                await client.send_request(number, "silent")
            await client.receive_response()
            while len(harness.engines[0].lines) < 34:
                await harness.engines[0].received.wait()
            del harness.lines[start:-2]
            del harness.engines[0].lines[2:]

        harness = self.run_and_check("scene_strangers", scenario)
        self.assertEqual(1, harness.service.parts.counters.counts["clients banned"])

    def test_engine_faults_are_counted_by_outcome(self) -> None:
        async def scenario(harness: GatewayHarness, client: ClientStandIn) -> None:
            await client.send_request(1, "silent", timeout=60000)
            await harness.wait_for_command(0, "ASK 0001")
            statements = ("garbage", "noise", "half", "reset", "full", "more", "plain")
            for number, statement in enumerate(statements, 2):
                await client.send_request(number, statement, timeout=60000)
                await client.receive_response()

        # The first request stays open on its own connection until the gateway ends and resets it.
        harness = self.run_and_check("scene_faults", scenario, Limits={"MaxAttempts": 1})
        counts = harness.service.parts.counters.counts
        outcomes = [
            counts[f"attempts {outcome}"]
            for outcome in ("protocol error", "connection lost", "overloaded", "succeeded")
        ]
        self.assertEqual([3, 2, 1, 2], outcomes)
        self.assertEqual(2, counts["answers not awaited"])

    def test_failed_attempt_is_retried_on_another_engine(self) -> None:
        async def scenario(harness: GatewayHarness, client: ClientStandIn) -> None:
            for number in range(1, 4):
                await client.send_request(number, "once", timeout=60000)
                await client.receive_response()

        self.run_and_check("scene_further", scenario, engines=2)

    def test_request_to_a_silent_engine_ends_before_its_deadline(self) -> None:
        async def scenario(harness: GatewayHarness, client: ClientStandIn) -> None:
            await client.send_request(1, "silent", timeout=400)
            await client.receive_response()
            await harness.wait_for_command(0, "QUIT 0001")

        self.run_and_check("scene_silent", scenario)

    def test_unreachable_engine_counts_as_unreachable(self) -> None:
        async def scenario(harness: GatewayHarness, client: ClientStandIn) -> None:
            list(harness.service.parts.router._pools.values())[0].address = ("127.0.0.1", 1)
            await client.send_request(1, "plain", timeout=1000)
            await client.receive_response()

        harness = self.run_and_check("scene_unreachable", scenario, Limits={"MaxAttempts": 1})
        self.assertEqual(1, harness.service.parts.counters.counts["attempts unreachable"])

    def test_shutdown_limits_the_deadlines_of_open_requests(self) -> None:
        async def scenario(harness: GatewayHarness, client: ClientStandIn) -> None:
            await client.send_request(1, "silent", timeout=1800)
            await harness.wait_for_command(0, "ASK 0001")
            os.kill(os.getpid(), signal.SIGTERM)
            await client.send_request(2, "plain", timeout=1800)
            await client.receive_response()
            await client.receive_response()
            with contextlib.suppress(anyio.EndOfStream):
                await client.receive_response()
                harness.lines.append("more was said after the end")
            harness.lines.append("the connection has ended")

        # The client would wait for 1.8 seconds; the gateway ends by the longest timeout of a request class.
        service = {"Effect": "idempotent", "GoalTime": 100.0, "GiveUp": 900.0}
        self.run_and_check("scene_last_stop", scenario, Services=[service])

    def test_coordinator_is_replaced_by_reloads(self) -> None:
        """A repeated event, a broken connection, and reloads while the gateway runs and as it shuts down."""

        async def scenario(harness: GatewayHarness, client: ClientStandIn) -> None:
            await client.send_request(1, "plain", timeout=60000)
            await client.receive_response()
            for address in ("no address", new_address):
                harness.coordinator = address
                os.kill(os.getpid(), signal.SIGHUP)
                await anyio.sleep(0.05)
            await reconnected.wait()
            await client.send_request(2, "silent", timeout=800)
            await harness.wait_for_command(0, "ASK 0002")
            os.kill(os.getpid(), signal.SIGTERM)
            os.kill(os.getpid(), signal.SIGHUP)
            await client.receive_response()

        async def first(stream: anyio.abc.SocketStream) -> None:
            connection_lines.append(f"the first is told {struct.unpack('>Q', await stream.receive(8))[0]}")
            event = frame(2, 0) + 2 * frame(2, 2, (5, 0x7F000001, harness.engines[0].port, 0, 0, 0, 0, 0, 0))
            for offset in range(len(event)):
                await stream.send(event[offset : offset + 1])
            with contextlib.suppress(anyio.EndOfStream):
                await stream.receive()
            connection_lines.append("the first is left")

        async def second(stream: anyio.abc.SocketStream) -> None:
            connection_lines.append(f"the second is told {struct.unpack('>Q', await stream.receive(8))[0]}")
            if len(connection_lines) > 3:
                reconnected.set()
                await anyio.sleep_forever()
            await stream.send(frame(3, 2, (6, 0x7F000001, 1, 0, 0, 0, 0, 0, 0))[:20])
            await stream.aclose()

        def closed_after(handle: Callable) -> Callable:
            async def handle_and_close(stream: anyio.abc.SocketStream) -> None:
                async with stream:
                    await handle(stream)

            return handle_and_close

        async def main() -> None:
            nonlocal new_address
            async with contextlib.AsyncExitStack() as stack:
                listeners = [
                    await stack.enter_async_context(await anyio.create_tcp_listener(local_host="127.0.0.1"))
                    for _ in range(2)
                ]
                ports = [listener.extra(anyio.abc.SocketAttribute.local_port) for listener in listeners]
                tasks = await stack.enter_async_context(anyio.create_task_group())
                for listener, coordinator in zip(listeners, (first, second)):
                    tasks.start_soon(listener.serve, closed_after(coordinator))
                new_address = f"127.0.0.1:{ports[1]}"
                await harness.run(scenario, f"127.0.0.1:{ports[0]}")
                tasks.cancel_scope.cancel()

        reconnected, harness, connection_lines, new_address = anyio.Event(), GatewayHarness(1), [], ""
        with contextlib.redirect_stderr(io.StringIO()) as log_output:
            anyio.run(main)
        self.assertEqual(1, log_output.getvalue().count("can't be used, the old one stays"))
        self.check("scene_coordinators", harness.trace() + connection_lines)


class GatewayPartsTest(TraceCase):
    def run_listener(
        self, max_connections: int, idle_close_threshold: int, count: int, check: Callable
    ) -> list[str]:
        """Connects `count` clients to a listener; returns the lines that `check` records about it."""

        async def main() -> None:
            client_listener = Listener(
                frozenset(),
                None,
                lambda: max_connections,
                idle_close_threshold,
                lambda: clock[0],
                Counters(),
                Log("n0", Clock()),
            )
            client_listener.handler = type("Front", (), {"on_disconnected": lambda self, connection: None})()
            with contextlib.ExitStack() as stack:
                listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=200))
                listener.setblocking(False)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(client_listener.run, listener)
                    await check(
                        client_listener,
                        clock,
                        lines,
                        [
                            stack.enter_context(socket.create_connection(listener.getsockname()))
                            for _ in range(count)
                        ],
                    )
                    tasks.cancel_scope.cancel()

        lines, clock = [], [0]
        anyio.run(main)
        return lines

    def test_many_waiting_clients_are_accepted_at_once(self) -> None:
        async def check(
            client_listener: Listener, _: list[int], lines: list[str], clients: list[socket.socket]
        ) -> None:
            await run_loop_turns(20)
            lines.append(
                f"{len(client_listener.connections)} of {len(clients)} are served after 20 turns of the loop"
            )

        self.check("crowd", self.run_listener(200, 200, 100, check))

    def test_silent_clients_are_evicted_for_new_ones(self) -> None:
        async def check(
            client_listener: Listener, clock: list[int], lines: list[str], clients: list[socket.socket]
        ) -> None:
            def note(text: str) -> None:
                lines.append(f"{text}: {' '.join(names[session] for session in client_listener.connections)}")

            await run_loop_turns(20)
            names = dict(zip(client_listener.connections, ("silent", "asking", "answered", "half")))
            requesting, answered = list(client_listener.connections)[1:3]
            requesting.open_requests[1] = None
            clients[2].sendall(b'{"jsonrpc":"2.0","id":1,"method":"status"}\n')
            clients[3].sendall(b"half a li")
            await run_loop_turns(20)
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
                    await run_loop_turns(20)
                    for session in client_listener.connections:
                        names.setdefault(session, text.split()[1])
                else:
                    client_listener.close_idle()
                note(f"{milliseconds} ms, {text}")
            for client in clients:
                client.close()

        self.check("silent_clients", self.run_listener(4, 4, 4, check))

    def test_clients_that_stay_after_a_response_do_not_keep_others_out(self) -> None:
        async def check(
            client_listener: Listener, clock: list[int], lines: list[str], clients: list[socket.socket]
        ) -> None:
            for client in clients[:5]:
                client.sendall(b'{"jsonrpc":"2.0","id":1,"method":"status"}\n')
            await run_loop_turns(20)
            for clock[0] in (200_000, 400_000):
                client_listener.close_idle()
                lines.append(
                    f"{clock[0]} us: "
                    f"{[session.has_sent_request for session in client_listener.connections].count(True)} "
                    f"answered, {len(client_listener.connections)} in all"
                )
                await run_loop_turns(2)
            for client in clients:
                client.close()

        self.check("stayers", self.run_listener(10, 4, 6, check))

    def test_name_of_an_abandoned_request_is_not_reused_on_its_connection(self) -> None:
        async def main() -> None:
            self.check_names_on_a_connection()

        anyio.run(main)

    def check_names_on_a_connection(self) -> None:
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
        connection, lines = SocketConnection(pool), []
        stand_in = {
            "write": lambda self, message: True,
            "has_ended": lambda self: False,
            "unsent": bytearray(),
        }
        connection.transport = type("Line", (), stand_in)()
        listener = type("SendListener", (), {"on_sent": lambda self, request: None})()
        for name in (b"first", b"second"):
            connection.start(InFlightRequest(name, b"", listener, None))
        connection.in_flight.received_count = 1
        for text, name in (("open", b"first"), ("given up", b"first"), ("new", b"third")):
            if text == "given up":
                connection.abandon(connection.in_flight.open[name])
            lines.append(f"{text}: {'room' if connection.in_flight.has_room_for(name) else 'no room'}")
        connection.finish(connection.in_flight.open[b"second"])
        lines.append(
            f"answered, asked again: {'room' if connection.in_flight.has_room_for(b'second') else 'no room'}"
        )
        connection.start(InFlightRequest(b"third", b"", listener, None))
        connection.abandon(connection.in_flight.open[b"third"])
        lines.append(
            f"given up, nothing heard: {'room' if connection.in_flight.has_room_for(b'new') else 'no room'}"
        )
        self.check("links", lines)

    def test_disposition_of_requests_when_their_connection_ends(self) -> None:
        """Written or not, on a connection that was never made, or already moved as often as allowed."""
        lines = []
        for text, was_connected, is_written, reconnects in (
            ("written", True, True, 0),
            ("not written", True, False, 0),
            ("moved before", True, False, 1),
            ("moved twice", True, False, 2),
            ("never up", False, False, 0),
        ):
            in_flight, request = InFlightRequests(8), InFlightRequest(b"one", b"", None, None)
            request.reconnects = reconnects
            in_flight.add(request)
            in_flight.on_written(request, is_written)
            ended = in_flight.on_connection_closed(was_connected)
            self.assertFalse(in_flight.has_room_for(b"two"))
            lines.append(
                f"{text}: {', '.join(disposition.value for _, disposition in ended)}; "
                f"{request.reconnects} moves"
            )
        self.check("link_ends", lines)

    def test_removed_engines_are_forgotten(self) -> None:
        def pool(label: str, address: tuple[str, int]) -> SocketConnectionPool:
            lines.append(f"links to {label}")
            return SocketConnectionPool(
                label, address, {}, DescriptorQuota(8, 8), None, None, None, Counters(), None
            )

        lines, router = [], Router(pool, None)
        for text, event in (
            ("two come", EndpointEvent(1, True, [make_endpoint(1, 1), make_endpoint(2, 2)])),
            ("one leaves", EndpointEvent(2, False, [make_endpoint(1, 1, EndpointState.REMOVED)])),
            ("a late word on it", EndpointEvent(3, False, [make_endpoint(1, 1, EndpointState.REMOVED)])),
            ("its address under another id", EndpointEvent(4, False, [make_endpoint(1, 3)])),
            ("only that one is listed", EndpointEvent(5, True, [make_endpoint(1, 3)])),
        ):
            entries = len(router.apply_event(event))
            lines.append(f"{text}: {entries} told, {len(router._engines)} kept, {len(router._pools)} pools")
        self.check("gone", lines)

    def test_timers_run_in_order_of_their_due_times(self) -> None:
        clock, lines = Clock(), []
        clock.now = lambda: now
        timers, now = Timers(clock), 0
        for delay_us, text in ((50, "late"), (10, "early"), (10, "early too"), (30, "cancelled")):
            timer = timers.call_after(delay_us, lambda _, text=text: lines.append(text))
        timer.cancel()
        timers.call_after(20, lambda _: timers.call_after(0, lambda _: lines.append("added by a call")))
        for now in (9, 10, 40, 50):  # noqa: B007, the clock reads it
            lines.append(f"at {now}: next in {timers.run_due()}")
        self.check("timers", lines)

    def test_failing_timer_callback_does_not_prevent_others(self) -> None:
        def fail(_: int) -> None:
            raise ValueError("of ours")

        calls: list[int] = []
        for faults in ([], None):
            clock = Clock()
            clock.now = lambda: 7
            timers = Timers(clock, None if faults is None else faults.append)
            timers.call_after(0, fail)
            timers.call_after(0, calls.append)
            if faults is None:
                with self.assertRaises(ValueError):
                    timers.run_due()
            else:
                self.assertIsNone(timers.run_due())
                self.assertEqual(["of ours"], [str(error) for error in faults])
        self.assertEqual([7], calls)

    def test_failing_policy_sweep_is_followed_by_the_next(self) -> None:
        async def scenario(harness: GatewayHarness, client: ClientStandIn) -> None:
            controller, check_attempts = (
                harness.service.parts.controller,
                harness.service.parts.controller._check_attempts,
            )

            def fail(now_us: int) -> None:
                controller._check_attempts = check_attempts
                raise ValueError("of ours")

            controller._check_attempts = fail
            # No engine exists, so the request stays queued until the sweep rejects it.
            await client.send_request(1, "plain", timeout=600)
            self.assertEqual(-32000, (await client.receive_response())["error"]["code"])

        harness = GatewayHarness(0)
        with contextlib.redirect_stderr(io.StringIO()) as log_output:
            anyio.run(harness.run, scenario, None)
        self.assertEqual(1, harness.service.parts.counters.counts["faults"])
        self.assertIn("ValueError: of ours", log_output.getvalue())

    def test_violated_check_raises(self) -> None:
        counters = Counters()
        counters.check(True, "nothing")
        with self.assertRaises(AssertionError):
            counters.check(False, "a request is answered once")

    def test_unusable_configuration_ends_with_exit_code_2(self) -> None:
        lines = []
        with tempfile.TemporaryDirectory() as folder:
            for text, content in (
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
                if content is not None:
                    path.write_text(content)
                os.environ["GW_CONFIG"] = str(path)
                with contextlib.redirect_stderr(io.StringIO()) as error_output:
                    lines.append(f"{text}: exit code {program.main()}")
                lines.append(error_output.getvalue().strip().replace(folder, "FOLDER"))
        self.check("configuration", lines)

    def test_sighup_reloads_the_configuration(self) -> None:
        lines = []
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            configuration = {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "seed": "1",
                "settings": GatewayHarness(0).settings,
            }
            path.write_text(json.dumps(configuration))
            command = [sys.executable, "-m", "cresstray"]
            with subprocess.Popen(
                command, env=os.environ | {"GW_CONFIG": str(path)}, stderr=subprocess.PIPE, text=True
            ) as process:
                lines.append(re.sub(r":\d+$", ":PORT", process.stderr.readline().split(" ", 1)[1].rstrip()))
                for text in ("{", json.dumps(configuration | {"coordinator": "127.0.0.1:1"})):
                    path.write_text(text)
                    process.send_signal(signal.SIGHUP)
                    lines.append(process.stderr.readline().split(" ", 1)[1].rstrip())
                process.send_signal(signal.SIGTERM)
                process.stderr.read()
            lines.append(f"exit code {process.returncode}")
        self.check("reload", lines)
