"""Scripted peers for tests: a listener with a recording handler, an engine, clients, a gateway process."""

from __future__ import annotations

import contextlib
import io
import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import hiredis

from cresstray.clients.listener import Listener
from cresstray.clients.session import ClientSession
from cresstray.clock import Clock
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from tests.harness import settings

# Limit of all waits, in seconds; far longer than any of them takes.
TIMEOUT_S = 10.0
REQUEST_CLASS = "lookup"


def request(number: int, name: str = "", statement: bytes = b"select 1", timeout: int = 5000) -> bytes:
    params = {"req": name or f"{number:016x}", "timeout": timeout, "owner": "acme"}
    params["data"] = b64encode(statement).decode()
    return line({"jsonrpc": "2.0", "id": number, "method": REQUEST_CLASS, "params": params})


def cancellation(number: int) -> bytes:
    return line({"jsonrpc": "2.0", "method": "withdraw", "params": {"id": number}})


def status(number: int) -> bytes:
    return line({"jsonrpc": "2.0", "id": number, "method": "status", "params": {}})


def line(message: dict) -> bytes:
    return json.dumps(message).encode() + b"\n"


def summarize_response(response: bytes) -> str:
    """Returns the id of a response and its error code, "pass", or the size of its result."""
    message = json.loads(response)
    outcome = message.get("error", {}).get("code") or message["result"]
    if isinstance(outcome, dict):
        outcome = "pass" if "pass" in outcome else f"{len(b64decode(outcome['data']))} bytes"
    return f"{message['id']} {outcome}"


def close_with_reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


class RecordingHandler:
    """Replaces the pipeline: accepts and records all requests, which the test answers."""

    def __init__(self) -> None:
        self.accepted: list[int] = []
        self.cancelled: list[int] = []
        self.sessions: list[ClientSession] = []
        self.fails_on: int | None = None  # the id of the request that makes the handler fail
        self.fails_on_disconnect = False

    def accept(self, session: ClientSession, request_id: int, _query: object, *, received_us: int) -> None:
        if request_id == self.fails_on:
            raise RuntimeError("a failure of the handler")
        session.open_requests[request_id] = None
        self.accepted.append(request_id)
        self.sessions.append(session)

    def cancel(self, session: ClientSession, request_id: int | None, _name: str | None) -> None:
        if request_id in session.open_requests:
            del session.open_requests[request_id]
            self.cancelled.append(request_id)

    def on_disconnected(self, session: ClientSession) -> None:
        if self.fails_on_disconnect:
            raise RuntimeError("a failure of the handler")
        self.cancelled += session.open_requests
        session.open_requests.clear()


class ListenerHarness:
    """A listener on loopback with its handler, clock and clients, in one thread, so that order is fixed."""

    def __init__(
        self, client_listener: Listener, handler: RecordingHandler, listener: socket.socket, clock: list[int]
    ) -> None:
        self.client_listener, self.handler, self.listener, self.clock = (
            client_listener,
            handler,
            listener,
            clock,
        )
        self.address = listener.getsockname()
        self._open = contextlib.ExitStack()

    def client(self, small: bool = False) -> socket.socket:
        """Returns a connected client; with `small` its receive buffer is as small as possible."""
        client = self._open.enter_context(socket.socket())
        if small:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(self.address)
        return client

    def close(self) -> None:
        self._open.close()


def run_scenario(
    scenario: Callable[[ListenerHarness], Awaitable], max_connections: Callable[[], int] = lambda: 100
) -> str:
    """Runs a scenario with a running listener, closes its clients, and returns what was logged."""

    async def main() -> None:
        clock, handler = [0], RecordingHandler()
        client_listener = Listener(
            frozenset((REQUEST_CLASS,)),
            handler,
            max_connections,
            100,
            lambda: clock[0],
            Counters(),
            Log("n0", Clock()),
        )
        with socket.socket() as listener:
            # All data of a scenario fits: it is in the kernel before the listener reads any of it.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 200_000)
            listener.bind(("127.0.0.1", 0))
            listener.listen(200)
            listener.setblocking(False)
            harness = ListenerHarness(client_listener, handler, listener, clock)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client_listener.run, listener)
                try:
                    with anyio.fail_after(TIMEOUT_S):
                        await scenario(harness)
                finally:
                    harness.close()
                    tasks.cancel_scope.cancel()

    with contextlib.redirect_stderr(io.StringIO()) as log_output:
        anyio.run(main, backend_options={"use_uvloop": True})
    return log_output.getvalue()


async def wait_until(condition: Callable[[], object]) -> None:
    while not condition():
        await anyio.sleep(0.001)


async def run_loop_turns(count: int = 20) -> None:
    for _ in range(count):
        await anyio.sleep(0)


async def receive_response(client: socket.socket) -> str:
    """Returns the next response, or how the connection has ended."""
    client.setblocking(False)
    received = b""
    while not received.endswith(b"\n"):
        await anyio.wait_readable(client)
        try:
            # Reads up to the end of this response: the next call returns the next one.
            available = client.recv(65536, socket.MSG_PEEK)
            data = client.recv(available.find(b"\n") + 1 or 65536)
        except ConnectionResetError:
            return "reset"
        if not data:
            return "closed"
        received += data
    return summarize_response(received)


async def receive_all(client: socket.socket) -> tuple[list[str], str]:
    """Returns all responses until the connection ends, and how it has ended."""
    client.setblocking(False)
    received, end = b"", "closed"
    while True:
        await anyio.wait_readable(client)
        try:
            data = client.recv(1 << 20)
        except ConnectionResetError:
            end = "reset"
            break
        if not data:
            break
        received += data
    return [summarize_response(response) for response in received.splitlines()], end


class ScriptedEngine:
    """An engine on loopback that answers only when the test makes it."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(TIMEOUT_S)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._connections: list[tuple[socket.socket, hiredis.Reader]] = []

    def __enter__(self) -> ScriptedEngine:
        return self

    def __exit__(self, *_: object) -> None:
        for connection, _ in self._connections:
            connection.close()
        self._listener.close()

    def next_command(self) -> tuple[str, str, socket.socket]:
        """Returns the next command on any connection: its verb, its request name, and the connection."""
        while True:
            for connection, reader in self._connections:
                command = reader.gets()
                if command is not False:
                    return command[0].decode(), command[1].decode(), connection
            self._receive()

    def _receive(self) -> None:
        sockets = [self._listener, *(connection for connection, _ in self._connections)]
        ready = select.select(sockets, [], [], TIMEOUT_S)[0]
        if not ready:
            raise TimeoutError("the engine received nothing")
        if self._listener in ready:
            self._connections.append((self._listener.accept()[0], hiredis.Reader()))
        for connection, reader in list(self._connections):
            if connection in ready:
                data = connection.recv(65536)
                if data:
                    reader.feed(data)
                else:
                    self._connections.remove((connection, reader))
                    connection.close()

    def send_result(self, connection: socket.socket, name: str) -> None:
        connection.sendall(hiredis.pack_command((name, "served", "sheets=1", "a\tb\tc\n")))

    def remaining_commands(self) -> list[str]:
        """Returns the verbs of all commands not yet returned, once all connections are closed."""
        verbs = []
        while self._connections or select.select([self._listener], [], [], 0)[0]:
            for _, reader in self._connections:
                while (command := reader.gets()) is not False:
                    verbs.append(command[0].decode())
            self._receive()
        return verbs


class ScriptedClient:
    """One connection of a client to a gateway in another process."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.create_connection(address, timeout=TIMEOUT_S)
        self._buffer = b""

    def send(self, *lines: bytes) -> ScriptedClient:
        self.socket.sendall(b"".join(lines))
        return self

    def receive_response(self) -> str:
        """Returns the next response, or how the connection has ended."""
        while b"\n" not in self._buffer:
            try:
                data = self.socket.recv(65536)
            except ConnectionResetError:
                return "reset"
            if not data:
                return "closed"
            self._buffer += data
        response, self._buffer = self._buffer.split(b"\n", 1)
        return summarize_response(response)

    def close(self) -> None:
        self.socket.close()


class GatewayProcess:
    """A process `python -m cresstray` with a replaceable configuration; `log_lines` is what it prints."""

    def __init__(self, **overrides: object) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.path = Path(self._folder.name) / "config.json"
        self.configuration = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "7",
            "settings": make_settings(),
        } | overrides
        self.write_configuration(self.configuration)
        self.process: subprocess.Popen
        self.log_lines: list[str] = []
        self._changed = threading.Condition()
        self.address: tuple[str, int]

    def write_configuration(self, content: object) -> None:
        """Replaces the configuration file; bytes are written unchanged, other values as JSON."""
        new_path = self.path.with_suffix(".new")
        new_path.write_bytes(content if isinstance(content, bytes) else json.dumps(content).encode())
        new_path.replace(self.path)

    def start(self, **popen_arguments: object) -> GatewayProcess:
        """Starts the process with additional arguments of subprocess.Popen."""
        env = os.environ | {"GW_CONFIG": str(self.path)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cresstray"], env=env, stderr=subprocess.PIPE, text=True, **popen_arguments
        )
        self._reader_thread = threading.Thread(target=self._read_log, daemon=True)
        self._reader_thread.start()
        return self

    def _read_log(self) -> None:
        for text in self.process.stderr:
            with self._changed:
                self.log_lines.append(text.rstrip())
                self._changed.notify_all()

    def wait_for_log_line(self, part: str, times: int = 1) -> str:
        """Waits until `part` has been logged this many times; returns the last of these lines."""

        def matching_lines() -> list[str]:
            return [text for text in self.log_lines if part in text][times - 1 :]

        with self._changed:
            if not self._changed.wait_for(matching_lines, TIMEOUT_S):
                raise TimeoutError(f"never logged {part!r}: {self.log_lines}")
            return matching_lines()[0]

    def start_and_wait(self) -> GatewayProcess:
        """Starts the process and waits until it serves."""
        self.start()
        return self.wait_until_serving()

    def wait_until_serving(self) -> GatewayProcess:
        host, port = self.wait_for_log_line("serves on").rpartition(" ")[2].split(":")
        self.address = (host, int(port))
        return self

    def client(self) -> ScriptedClient:
        return ScriptedClient(self.address)

    def send_signals(self, *signals: signal.Signals) -> None:
        for signal_number in signals:
            self.process.send_signal(signal_number)

    def wait_for_exit(self) -> int:
        """Waits for the process to end; returns its exit code."""
        return self.process.wait(TIMEOUT_S)

    def __enter__(self) -> GatewayProcess:
        return self

    def __exit__(self, *_: object) -> None:
        if hasattr(self, "process"):
            self.process.kill()
            self.process.wait()
            self._reader_thread.join()
            self.process.stderr.close()
        self._folder.cleanup()


def make_settings(**parts: object) -> dict:
    """Returns settings with one request class and one tenant."""
    result = settings(Tenants=[{"Name": "acme"}], Localities=["east"], Flavors=["std"], **parts)
    result["Services"] = result["Services"][:1]
    result["Services"][0] |= {"Name": REQUEST_CLASS, "GiveUp": 3000.0}
    return result


def make_endpoint_list(*engines: ScriptedEngine) -> dict:
    """Returns the configuration's `known` list with these engines."""
    members = [
        {"id": f"s-{number:08x}", "host_port": engine.address, "locality": "east", "flavor": "std"}
        for number, engine in enumerate(engines, 1)
    ]
    return {"index": 1, "updates": [{"index": 1, "endpoints": {"complete": True, "members": members}}]}
