"""Scripted clients, engines and a coordinator around one gateway process, and the checks of their traffic.

Everything runs on 127.0.0.1 in one asyncio loop; the gateway is a process of its own, started in the way the
platform starts it. Nothing of the gateway is imported: its behaviour is judged by what arrived at these
sockets, and when.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import hiredis

HOST = "127.0.0.1"
# The environment variable names the checkout of another build to test in place of this one.
ROOT = Path(os.environ.get("ATTACKED", Path(__file__).parent.parent))
now_s = time.monotonic
# How late the loop of the scripted parties may notice something on a busy machine, in addition to what the
# rules allow.
SLACK_S = 0.05
CANCELLATION_SLACK_S = 0.1  # an attempt may start this long after its client has cancelled or left
LATE_ANSWER_SLACK_S = 0.5  # an answer this long after the request's timeout is late, but no violation
READY, DRAINING, REMOVED = 0, 1, 2
IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE = "lookup", "put", "post"
KEY_TTL_S = 0.6
# What the gateway must never write on standard error.
FORBIDDEN_LOG_WORDS = ("Traceback", "fault", "broken")


@dataclass(eq=False)
class ClientRequest:
    """One request: what a client sent, and the answers it got."""

    name: str
    request_class: str
    timeout_s: float
    number: int
    sent_s: float = 0.0  # when its last byte was sent; 0: not sent completely yet
    cancelled_s: float = 0.0  # when its client cancelled it or disconnected; 0: neither
    is_answer_owed: bool = True  # False: an unusual request, any answer to it is allowed
    answers: list[tuple[float, str, str]] = field(default_factory=list)  # time, kind, result
    attempts: list[Attempt] = field(default_factory=list)

    def __str__(self) -> str:
        return f"{self.request_class} {self.name}"


@dataclass(eq=False)
class Attempt:
    """One request that arrived completely at one engine."""

    request: ClientRequest | None
    name: str
    engine: Engine
    connection: EngineConnection
    received_s: float
    statement: str
    timeout_ms: int = 0  # how long the gateway will wait, as stated in the message
    ended_s: float = 0.0  # when its whole answer was written, it was given up, or its connection ended
    state: str = "out"


class TrafficAudit:
    """Records all requests, attempts and answers, and checks them against the rules."""

    def __init__(self) -> None:
        self.start_s = now_s()
        self.requests: dict[str, ClientRequest] = {}
        self.attempts: list[Attempt] = []
        self.protocol_violations: list[str] = []  # what no rule allows at all, recorded as it arrives
        self.max_loop_lateness_s = 0.0
        self.slack_s = SLACK_S

    def record_protocol_violation(self, text: str) -> None:
        self.protocol_violations.append(f"{now_s() - self.start_s:.3f} {text}")

    async def measure_loop_lateness(self) -> None:
        """Measures how late this loop is: what it notices late is no fault of the gateway."""
        while True:
            due_s = now_s() + 0.01
            await asyncio.sleep(0.01)
            self.max_loop_lateness_s = max(self.max_loop_lateness_s, now_s() - due_s)

    def record_attempt(self, attempt: Attempt) -> None:
        attempt.request = self.requests.get(attempt.name)
        self.attempts.append(attempt)
        if attempt.request is None:
            self.record_protocol_violation(f"{attempt.engine} got {attempt.name!r}, which no client sent")
            return
        attempt.request.attempts.append(attempt)

    def violations(self) -> list[str]:
        """Every violation of a rule, a line each with the names needed to trace it."""
        slack_s = self.slack_s + self.max_loop_lateness_s
        found = [f"protocol: {text}" for text in self.protocol_violations]
        for request in self.requests.values():
            found += self._answer_violations(request, slack_s)
            found += self._attempt_violations(request, slack_s)
        for attempt in self.attempts:
            withdrawn_s = attempt.engine.withdrawn_s
            if withdrawn_s and attempt.received_s > withdrawn_s + slack_s:
                found.append(
                    f"drain: {attempt.name} to {attempt.engine}"
                    f" {attempt.received_s - withdrawn_s:.3f} s after"
                )
        return found

    def _answer_violations(self, request: ClientRequest, slack_s: float) -> list[str]:
        found = []
        if len(request.answers) > 1:
            found.append(f"two answers: {request}: {request.answers}")
        if request.sent_s and request.is_answer_owed and not request.cancelled_s:
            if not request.answers:
                found.append(
                    f"no answer: {request}, attempts {[attempt.state for attempt in request.attempts]}"
                )
            elif request.answers[0][0] > request.sent_s + request.timeout_s + LATE_ANSWER_SLACK_S + slack_s:
                late_s = request.answers[0][0] - request.sent_s - request.timeout_s
                found.append(f"late answer: {request}, {late_s:.3f} s after its timeout")
        for _, kind, result in request.answers:
            served_results = {row(attempt) for attempt in request.attempts if attempt.state == "served"}
            if kind == "served" and result not in served_results:
                found.append(f"unknown result: {request}: {result!r}")
        return found

    def _attempt_violations(self, request: ClientRequest, slack_s: float) -> list[str]:
        found = []
        for position, attempt in enumerate(request.attempts):
            if (
                request.cancelled_s
                and attempt.received_s > request.cancelled_s + CANCELLATION_SLACK_S + slack_s
            ):
                found.append(
                    f"cancelled: {request} to {attempt.engine}"
                    f" {attempt.received_s - request.cancelled_s:.3f} s after its client cancelled it or left"
                )
            if request.answers and attempt.received_s > request.answers[0][0] + slack_s:
                found.append(f"after its answer: {request} to {attempt.engine}")
            for earlier in request.attempts[:position]:
                # QUIT and the next attempt use two connections, and may be read here in either order.
                if earlier.ended_s == 0 or earlier.ended_s > attempt.received_s + slack_s:
                    found.append(
                        f"two in flight: {request}: {earlier.engine} {earlier.state}, then {attempt.engine}"
                    )
                if earlier.state in ("overload", "nobody"):
                    continue
                if request.request_class == AT_MOST_ONCE:
                    found.append(
                        f"sent again: {request}: {earlier.state} at {earlier.engine}, then {attempt.engine}"
                    )
                if (
                    request.request_class == DEDUPLICATED
                    and attempt.received_s - earlier.received_s > KEY_TTL_S + slack_s
                ):
                    found.append(
                        f"window: {request} again after {attempt.received_s - earlier.received_s:.3f} s"
                    )
        return found


def _timeout_ms(fields: str) -> int:
    found = re.search(r"(?:^|,)w=(\d+)(?:,|$)", fields)
    return int(found[1]) if found else -1


def row(attempt: Attempt) -> str:
    """The result of this attempt, which no other attempt has."""
    return f"{attempt.name}\t{attempt.engine.label}\t{attempt.connection.number}\n"


class EngineConnection(asyncio.Protocol):
    """One connection of the gateway to an engine."""

    def __init__(self, engine: Engine) -> None:
        self.engine, self.open_attempts = engine, {}
        self.reader = hiredis.Reader()
        self.number = len(engine.connections)
        engine.connections.append(self)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        if self.engine.is_reading_paused:
            transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        try:
            while (message := self.reader.gets()) is not False:
                self._on_message(*message)
        except (hiredis.ProtocolError, TypeError, ValueError, UnicodeDecodeError) as error:
            self.engine.audit.record_protocol_violation(f"{self.engine} can't read {data[:60]!r}: {error}")
            self.reset()

    def _on_message(self, command: bytes, name: bytes, *arguments: bytes) -> None:
        text = name.decode()
        if command == b"ASK":
            fields, statement = (argument.decode() for argument in arguments)
            if not re.fullmatch(r"[0-9a-f]{16}", text) or not re.fullmatch(r"[\w=,.:-]+", fields):
                self.engine.audit.record_protocol_violation(f"{self.engine} can't use {text!r} {fields!r}")
            attempt = Attempt(None, text, self.engine, self, now_s(), statement, _timeout_ms(fields))
            self.open_attempts[text] = attempt
            self.engine.audit.record_attempt(attempt)
            self.engine.has_attempt.set()
            self.engine.script(attempt)
        elif command in (b"QUIT", b"FREE"):
            self.end_attempt(text, "given up")

    def end_attempt(self, name: str, state: str) -> None:
        attempt = self.open_attempts.pop(name, None)
        if attempt is not None:
            attempt.ended_s, attempt.state = now_s(), state

    def send(self, *parts: str) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(hiredis.pack_command(parts))

    def reset(self) -> None:
        """Resets the connection at once, as at the end of the engine's process."""
        if self.transport is not None and not self.transport.is_closing():
            reset_transport(self.transport)

    def connection_lost(self, _: Exception | None) -> None:
        for name in list(self.open_attempts):
            self.end_attempt(name, "cut")


class Engine:
    """An engine whose `script` is called with each attempt, and answers it now, later or not at all."""

    def __init__(
        self, audit: TrafficAudit, number: int, script: Callable[[Attempt], None] | None = None
    ) -> None:
        self.audit, self.number = audit, number
        self.label = f"s-{number:08x}"
        self.script = script or serve
        self.connections: list[EngineConnection] = []
        self.state, self.zone = READY, 0
        self.withdrawn_s = 0.0  # when the gateway was told that the engine drains or was removed
        self.is_reading_paused = False  # new connections are accepted and not read
        self.has_attempt = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._listener = socket.socket()
        self._backlog_fillers: list[socket.socket] = []

    def __str__(self) -> str:
        return self.label

    async def listen(self, accepts: bool = True, port: int = 0, receive_buffer_bytes: int = 0) -> Engine:
        """Listens; without `accepts`, connects complete only after `start_accepting`, within a second."""
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer_bytes:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self._listener.bind((HOST, port))
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        if accepts:
            await self.start_accepting()
            return self
        self._listener.listen(0)
        for _ in range(2):  # one more than the backlog has room for, so that further connects wait
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self._backlog_fillers.append(filler)
        return self

    async def start_accepting(self) -> None:
        for filler in self._backlog_fillers:
            filler.close()
        if self._listener.fileno() < 0:  # the engine was closed before
            return
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: EngineConnection(self), sock=self._listener, backlog=200
        )

    def close(self) -> None:
        for connection in self.connections:
            if connection.transport is not None:
                connection.transport.abort()
        if self._server is not None:
            self._server.close()
        self._listener.close()

    def record(self, started: int = 0) -> tuple:
        return self.number, 0x7F000001, self.port, self.state, self.zone, 0, 0, 1000, started


def answer(attempt: Attempt, word: str, body: str = "", fields: str = "-") -> None:
    """Sends the answer of an attempt that has not ended yet."""
    if attempt.ended_s == 0:
        attempt.connection.send(attempt.name, word, fields, body)
        attempt.connection.end_attempt(attempt.name, word)


def serve(attempt: Attempt) -> None:
    answer(attempt, "served", row(attempt), "sheets=1")


def hang(_: Attempt) -> None:
    pass


def reject(attempt: Attempt) -> None:
    answer(attempt, "overload")


def delayed(delay_s: float, script: Callable[[Attempt], None]) -> Callable[[Attempt], None]:
    return lambda attempt: discard_result(asyncio.get_running_loop().call_later(delay_s, script, attempt))


def reset_connection(attempt: Attempt) -> None:
    attempt.connection.reset()


def discard_result(_: object) -> None:
    """Makes a call with a result usable as a script, which returns None."""


def reset_transport(transport: asyncio.Transport) -> None:
    connection_socket = transport.get_extra_info("socket")
    connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


class EndpointEvents:
    """The endpoint events, shared by coordinators, each with the engines that it withdraws."""

    def __init__(self) -> None:
        self.last_index = 1
        self.entries: list[tuple[int, bytes, list[Engine]]] = []  # index, frame, draining or removed engines

    def add(self, engines: list[Engine], complete: bool = False) -> None:
        self.last_index += 1
        withdrawn = [engine for engine in engines if engine.state != READY]
        self.entries.append(
            (
                self.last_index,
                encode_frame(self.last_index, 1 if complete else 2, *(engine.record() for engine in engines)),
                withdrawn,
            )
        )


def encode_frame(index: int, kind: int, *records: tuple) -> bytes:
    body = struct.pack(">QB", index, kind) + b"".join(
        struct.pack(">IIHBBBHIQ", *record) for record in records
    )
    return struct.pack(">I", len(body)) + body


class WatchConnection(asyncio.Protocol):
    """One connection of the gateway to the coordinator."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator, self.hello, self.sent_index = coordinator, b"", -1

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.coordinator.watches.append(self)

    def data_received(self, data: bytes) -> None:
        self.hello += data
        if len(self.hello) == 8:
            self.sent_index = struct.unpack(">Q", self.hello)[0]
            self.coordinator.hellos.append(self.sent_index)
            self.send_new_events()

    def send_new_events(self) -> None:
        if self.sent_index < 0 or self.coordinator.mode != "normal":
            return
        for index, data, withdrawn in self.coordinator.events.entries:
            if index > self.sent_index:
                self.transport.write(data)
                self.sent_index = index
                for engine in withdrawn:
                    engine.withdrawn_s = engine.withdrawn_s or now_s()

    def connection_lost(self, _: Exception | None) -> None:
        with contextlib.suppress(ValueError):
            self.coordinator.watches.remove(self)


class Coordinator:
    """`mode`: normal, silent (sends nothing), or scripted (the test writes to its watches itself)."""

    def __init__(self, events: EndpointEvents) -> None:
        self.events, self.mode = events, "normal"
        self.watches: list[WatchConnection] = []
        self.hellos: list[int] = []

    async def listen(self, port: int = 0) -> Coordinator:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: WatchConnection(self), HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._heartbeat_task = loop.create_task(self._send_heartbeats())
        return self

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            for watch in self.watches:
                if self.mode == "normal" and watch.sent_index >= 0:
                    watch.transport.write(encode_frame(watch.sent_index, 0))

    def announce(self, *engines: Engine, complete: bool = False) -> None:
        self.events.add(list(engines), complete)
        for watch in self.watches:
            watch.send_new_events()

    def stop_accepting(self) -> None:
        """Refuses new connections."""
        self._server.close()

    def close(self) -> None:
        self._heartbeat_task.cancel()
        self._server.close()
        for watch in list(self.watches):
            watch.transport.abort()


class Client(asyncio.Protocol):
    """One connection of a client."""

    last_name = 0  # each request of any client gets a new name

    def __init__(self, audit: TrafficAudit) -> None:
        self.audit = audit
        self.requests: dict[int, ClientRequest] = {}
        self.other_answers: list[dict] = []  # answers to what was no request
        self.has_line = asyncio.Event()  # replaced with each line
        self.ended = asyncio.Event()
        self.end_reason = ""  # closed by the gateway, reset by it, or gone by itself
        self.buffer = b""
        self.last_number = 0

    @classmethod
    async def open(
        cls, audit: TrafficAudit, address: tuple[str, int], receive_buffer_bytes: int = 0
    ) -> Client:
        connection_socket = socket.socket()
        connection_socket.setblocking(False)
        connection_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if receive_buffer_bytes:
            connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection_socket, address)
        return (await loop.create_connection(lambda: cls(audit), sock=connection_socket))[1]

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    @property
    def port(self) -> int:
        return self.transport.get_extra_info("sockname")[1]

    def new_request_line(
        self,
        request_class: str = IDEMPOTENT,
        timeout_s: float = 2.0,
        statement: str = "select 1",
        **overrides: object,
    ) -> bytes:
        """Returns the line of a new request, which is recorded and not sent."""
        self.last_number += 1
        Client.last_name += 1
        request = ClientRequest(f"{Client.last_name:016x}", request_class, timeout_s, self.last_number)
        self.requests[self.last_number] = self.audit.requests[request.name] = request
        params = {
            "req": request.name,
            "timeout": timeout_s * 1000,
            "owner": "acme",
            "data": base64.b64encode(statement.encode()).decode(),
        }
        if request_class == DEDUPLICATED:
            params["opkey"] = request.name * 2
        message = {
            "jsonrpc": "2.0",
            "id": self.last_number,
            "method": request_class,
            "params": params | overrides,
        }
        return json.dumps(message).encode() + b"\n"

    def submit(
        self,
        request_class: str = IDEMPOTENT,
        timeout_s: float = 2.0,
        statement: str = "select 1",
        **overrides: object,
    ) -> ClientRequest:
        line = self.new_request_line(request_class, timeout_s, statement, **overrides)
        request = self.requests[self.last_number]
        self.write(line)
        request.sent_s = now_s()
        return request

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def cancel(self, request: ClientRequest) -> None:
        message = {
            "jsonrpc": "2.0",
            "method": "withdraw",
            "params": {"id": request.number, "req": request.name},
        }
        self.write(json.dumps(message).encode() + b"\n")
        request.cancelled_s = request.cancelled_s or now_s()

    def disconnect(self, how: str = "close") -> None:
        """By `close`, `half` (only the sending side is closed), or `reset`."""
        for request in self.requests.values():
            if not request.answers:
                request.cancelled_s = request.cancelled_s or now_s()
        self.end_reason = self.end_reason or "gone by itself"
        if how == "half":
            self.transport.write_eof()
        elif how == "reset":
            reset_transport(self.transport)
        else:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self._on_message(json.loads(line))
        self.has_line.set()
        self.has_line = asyncio.Event()

    def _on_message(self, message: dict) -> None:
        request = self.requests.get(message["id"])
        if request is None or message.get("result") == {"pass": True}:
            self.other_answers.append(message)
            return
        if "result" in message:
            result = base64.b64decode(message["result"]["data"]).decode()
            request.answers.append((now_s(), "served", result))
            return
        code = message["error"]["code"]
        request.answers.append(
            (now_s(), {-32000: "rejected", -32001: "failed"}.get(code, f"error {code}"), "")
        )

    def connection_lost(self, error: Exception | None) -> None:
        self.end_reason = self.end_reason or ("reset" if error else "closed")
        self.ended.set()

    async def wait_for_answer(self, request: ClientRequest, within_s: float) -> str:
        """Returns the kind of the answer, or `nothing` if none arrives in time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                while not request.answers and not self.ended.is_set():
                    has_line = self.has_line
                    waits = [asyncio.ensure_future(event.wait()) for event in (has_line, self.ended)]
                    try:
                        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
                    finally:
                        for wait in waits:
                            wait.cancel()
        return request.answers[0][1] if request.answers else "nothing"


def settings(**overrides: object) -> dict:
    """A deployment with a class of each effect; one gateway, four threads per engine."""
    service = {"GoalTime": 2500, "GiveUp": 3000, "Worth": 1}
    deployment = {
        "Balancers": 1,
        "Localities": ["east"],
        "Flavors": ["std"],
        "FamilyInfo": {"CpuOfKind": [4], "Dop": [1, 1, 1]},
        "Limits": {"MaxAttempts": 4, "Cancel": True, "ConnectTimeout": 250},
        "Safety": {},
        "Tenants": [{"Name": "acme"}],
        "Services": [
            service | {"Name": IDEMPOTENT, "Effect": "idempotent"},
            service | {"Name": DEDUPLICATED, "Effect": "deduplicated", "KeyTtl": KEY_TTL_S * 1000},
            service | {"Name": AT_MOST_ONCE, "Effect": "at_most_once"},
        ],
    }
    for name, part in overrides.items():
        deployment[name] = deployment.get(name, {}) | part if isinstance(part, dict) else part
    return deployment


class GatewayProcess:
    """One gateway, started in the way the platform starts it."""

    def __init__(self, folder: Path, configuration: dict, descriptors: int = 0) -> None:
        self.path, self._log_path = folder / "config.json", folder / "log"
        self.configure(configuration)
        limit = (descriptors, descriptors) if descriptors else resource.getrlimit(resource.RLIMIT_NOFILE)
        with self._log_path.open("w") as log_file:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-B", "-m", "cresstray"],
                cwd=ROOT,
                env=os.environ | {"GW_CONFIG": str(self.path)},
                stdout=subprocess.DEVNULL,
                stderr=log_file,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limit),
            )
        self.sigterm_s = 0.0  # when the first SIGTERM was sent

    def configure(self, configuration: object) -> None:
        """Replaces the configuration document: a string as it is, anything else as JSON."""
        new_path = self.path.with_suffix(".new")
        new_path.write_text(configuration if isinstance(configuration, str) else json.dumps(configuration))
        new_path.replace(self.path)

    @property
    def log(self) -> str:
        return self._log_path.read_text()

    async def wait_until_ready(self) -> tuple[str, int]:
        async with asyncio.timeout(15):
            while not (found := re.search(r"serves on 127\.0\.0\.1:(\d+)", self.log)):
                if self.process.poll() is not None:
                    raise AssertionError(
                        f"the gateway exited with {self.process.returncode}: {self.log[-2000:]}"
                    )
                await asyncio.sleep(0.01)
        return HOST, int(found[1])

    async def wait_for_log(self, text: str, within_s: float = 5.0) -> bool:
        end_s = now_s() + within_s
        while text not in self.log and now_s() < end_s and self.process.poll() is None:
            await asyncio.sleep(0.01)
        return text in self.log

    def send_signal(self, number: int) -> None:
        if self.process.poll() is None:
            self.process.send_signal(number)
            if number == signal.SIGTERM:
                self.sigterm_s = self.sigterm_s or now_s()

    async def wait_for_exit(self, within_s: float) -> int | None:
        """Returns the exit code, or None if the process has not ended in time."""
        end_s = now_s() + within_s
        while self.process.poll() is None and now_s() < end_s:
            await asyncio.sleep(0.002)
        return self.process.poll()

    def descriptor_count(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Scenario:
    """A gateway, its engines and its coordinator, from start to end."""

    def __init__(self, engines: int = 1, **overrides: object) -> None:
        self.audit = TrafficAudit()
        self.events = EndpointEvents()
        self.engines = [Engine(self.audit, number + 1) for number in range(engines)]
        self.coordinator = Coordinator(self.events)
        self.clients: list[Client] = []
        self.client_type = Client
        self.descriptors = int(overrides.pop("descriptors", 0))
        self.extra_configuration = {"limits": {"sockets": self.descriptors}} if self.descriptors else {}
        self.settings = settings(**overrides)
        self.are_engines_listed = True  # at the start, as ready
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Scenario:
        folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        for engine in self.engines:
            if not hasattr(engine, "port"):
                await engine.listen()
        await self.coordinator.listen()
        if self.are_engines_listed:
            self.events.add(self.engines, complete=True)
        self.gateway = GatewayProcess(folder, self.configuration(), self.descriptors)
        self._stack.callback(self.gateway.kill)
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        self.address = await self.gateway.wait_until_ready()
        if self.are_engines_listed:
            async with asyncio.timeout(5):
                while not any(
                    watch.sent_index == self.events.last_index for watch in self.coordinator.watches
                ):
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
        # Started only now: the start of the process delays this loop, which must not widen the slack.
        measurement = asyncio.create_task(self.audit.measure_loop_lateness())
        self._stack.callback(measurement.cancel)

    def configuration(self, **overrides: object) -> dict:
        return {
            "name": "n0",
            "listen": f"{HOST}:0",
            "seed": "8c1f30d27a5be964",
            "coordinator": f"{HOST}:{self.coordinator.port}",
            "settings": self.settings,
            **self.extra_configuration,
            **overrides,
        }

    async def connect_client(self, receive_buffer_bytes: int = 0) -> Client:
        client = await self.client_type.open(self.audit, self.address, receive_buffer_bytes)
        self.clients.append(client)
        return client

    async def add_engine(
        self, number: int, script: Callable[[Attempt], None] | None = None, **options: object
    ) -> Engine:
        engine = Engine(self.audit, number, script)
        self.engines.append(engine)
        return await engine.listen(**options)

    async def wait_until(self, condition: Callable[[], object], within_s: float = 5.0) -> bool:
        end_s = now_s() + within_s
        while not condition() and now_s() < end_s:
            await asyncio.sleep(0.005)
        return bool(condition())

    async def stop(self, within_s: float = 3.9) -> list[str]:
        """Sends SIGTERM if none was sent, waits for the exit, and returns all violations."""
        self.gateway.send_signal(signal.SIGTERM)
        code = await self.gateway.wait_for_exit(max(0.1, self.gateway.sigterm_s + within_s - now_s()))
        await asyncio.sleep(0.05)  # what the gateway wrote last is still to be read here
        found = (
            [] if code == 0 else [f"exit code {code}, {now_s() - self.gateway.sigterm_s:.2f} s after SIGTERM"]
        )
        return found + self.violations()

    def violations(self) -> list[str]:
        log = self.gateway.log
        forbidden = [line for line in log.splitlines() if any(word in line for word in FORBIDDEN_LOG_WORDS)]
        return self.audit.violations() + [f"standard error: {line[:200]}" for line in forbidden[:5]]

    async def __aexit__(self, *_: object) -> None:
        for client in self.clients:
            if not client.transport.is_closing():
                client.transport.abort()
        for engine in self.engines:
            engine.close()
        self.coordinator.close()
        await self._stack.aclose()
        await asyncio.sleep(0)  # aborted transports are closed in the next iteration of the loop
