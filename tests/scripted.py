"""Scripted peers: a listener for clients with a recording handler, and a gateway in a process of its own."""

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

# For what is waited for by bytes: far longer than any of it takes.
LONG = 10.0
CLASS = "lookup"


def request(number: int, name: str = "", statement: bytes = b"select 1", timeout: int = 5000) -> bytes:
    params = {"req": name or f"{number:016x}", "timeout": timeout, "owner": "acme"}
    params["data"] = b64encode(statement).decode()
    return line({"jsonrpc": "2.0", "id": number, "method": CLASS, "params": params})


def cancellation(number: int) -> bytes:
    return line({"jsonrpc": "2.0", "method": "withdraw", "params": {"id": number}})


def status(number: int) -> bytes:
    return line({"jsonrpc": "2.0", "id": number, "method": "status", "params": {}})


def line(message: dict) -> bytes:
    return json.dumps(message).encode() + b"\n"


def told(answer: bytes) -> str:
    """An answer in a word or two."""
    given = json.loads(answer)
    how = given.get("error", {}).get("code") or given["result"]
    if isinstance(how, dict):
        how = "pass" if "pass" in how else f"{len(b64decode(how['data']))} bytes"
    return f"{given['id']} {how}"


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


class RecordingHandler:
    """In place of the pipeline: accepts all requests, and the test answers them."""

    def __init__(self) -> None:
        self.accepted: list[int] = []
        self.cancelled: list[int] = []
        self.sessions: list[ClientSession] = []
        self.fails_on: int | None = None  # the number of a request that is a failure of the handler
        self.fails_on_disconnect = False

    def accept(self, connection: ClientSession, number: int, _query: object) -> None:
        if number == self.fails_on:
            raise RuntimeError("a failure of the handler")
        connection.open_requests[number] = None
        self.accepted.append(number)
        self.sessions.append(connection)

    def cancel(self, connection: ClientSession, number: int | None, _name: str | None) -> None:
        if number in connection.open_requests:
            del connection.open_requests[number]
            self.cancelled.append(number)

    def on_disconnected(self, connection: ClientSession) -> None:
        if self.fails_on_disconnect:
            raise RuntimeError("a failure of the handler")
        self.cancelled += connection.open_requests
        connection.open_requests.clear()


class ListenerHarness:
    """A listener on loopback, its handler and clock, and clients of it, all in one thread, so in order."""

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
        """`small`: its buffer takes next to nothing."""
        made = self._open.enter_context(socket.socket())
        if small:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        made.connect(self.address)
        return made

    def close(self) -> None:
        self._open.close()


def run_scene(scene: Callable[[ListenerHarness], Awaitable], most: Callable[[], int] = lambda: 100) -> str:
    """Runs a scene with a listener that accepts, closes clients left open, and returns what was logged."""

    async def main() -> None:
        clock, handler = [0], RecordingHandler()
        client_listener = Listener(
            frozenset((CLASS,)), handler, most, 100, lambda: clock[0], Counters(), Log("n0", Clock())
        )
        with socket.socket() as listener:
            # Whole scenes fit into it, so that what is written lies in the kernel before anything is read.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 200_000)
            listener.bind(("127.0.0.1", 0))
            listener.listen(200)
            listener.setblocking(False)
            harness = ListenerHarness(client_listener, handler, listener, clock)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client_listener.run, listener)
                try:
                    with anyio.fail_after(LONG):
                        await scene(harness)
                finally:
                    harness.close()
                    tasks.cancel_scope.cancel()

    with contextlib.redirect_stderr(io.StringIO()) as said:
        anyio.run(main, backend_options={"use_uvloop": True})
    return said.getvalue()


async def until(holds: Callable[[], object]) -> None:
    while not holds():
        await anyio.sleep(0.001)


async def turns(count: int = 20) -> None:
    for _ in range(count):
        await anyio.sleep(0)


async def hear(client: socket.socket) -> str:
    """The next answer, or how the connection has ended."""
    client.setblocking(False)
    got = b""
    while not got.endswith(b"\n"):
        await anyio.wait_readable(client)
        try:
            # No more than this answer: the next one is another's to read.
            comes = client.recv(65536, socket.MSG_PEEK)
            more = client.recv(comes.find(b"\n") + 1 or 65536)
        except ConnectionResetError:
            return "reset"
        if not more:
            return "closed"
        got += more
    return told(got)


async def all_of(client: socket.socket) -> tuple[list[str], str]:
    """All answers up to the end, and how that was."""
    client.setblocking(False)
    got, end = b"", "closed"
    while True:
        await anyio.wait_readable(client)
        try:
            more = client.recv(1 << 20)
        except ConnectionResetError:
            end = "reset"
            break
        if not more:
            break
        got += more
    return [told(one) for one in got.splitlines()], end


class Engine:
    """An engine that answers when the test does."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(LONG)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._links: list[tuple[socket.socket, hiredis.Reader]] = []

    def __enter__(self) -> Engine:
        return self

    def __exit__(self, *_: object) -> None:
        for link, _ in self._links:
            link.close()
        self._listener.close()

    def next(self) -> tuple[str, str, socket.socket]:
        """The next command, on whichever link: its word, its name, and the link."""
        while True:
            for link, reader in self._links:
                command = reader.gets()
                if command is not False:
                    return command[0].decode(), command[1].decode(), link
            self._receive()

    def _receive(self) -> None:
        sockets = [self._listener, *(link for link, _ in self._links)]
        ready = select.select(sockets, [], [], LONG)[0]
        if not ready:
            raise TimeoutError("the engine got nothing")
        if self._listener in ready:
            self._links.append((self._listener.accept()[0], hiredis.Reader()))
        for link, reader in list(self._links):
            if link in ready:
                data = link.recv(65536)
                if data:
                    reader.feed(data)
                else:
                    self._links.remove((link, reader))
                    link.close()

    def serve(self, link: socket.socket, name: str) -> None:
        link.sendall(hiredis.pack_command((name, "served", "sheets=1", "a\tb\tc\n")))

    def rest(self) -> list[str]:
        """All commands that have come and were not asked for, once all links have been closed."""
        left = []
        while self._links or select.select([self._listener], [], [], 0)[0]:
            for _, reader in self._links:
                while (command := reader.gets()) is not False:
                    left.append(command[0].decode())
            self._receive()
        return left


class Client:
    """One connection of a client to a gateway in another process."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.create_connection(address, timeout=LONG)
        self._buffer = b""

    def say(self, *lines: bytes) -> Client:
        self.socket.sendall(b"".join(lines))
        return self

    def hear(self) -> str:
        """The next answer, or how the connection has ended."""
        while b"\n" not in self._buffer:
            try:
                more = self.socket.recv(65536)
            except ConnectionResetError:
                return "reset"
            if not more:
                return "closed"
            self._buffer += more
        answer, self._buffer = self._buffer.split(b"\n", 1)
        return told(answer)

    def close(self) -> None:
        self.socket.close()


class Gateway:
    """`python -m cresstray` with a configuration, which the test may replace; what it says is in `said`."""

    def __init__(self, **given: object) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.path = Path(self._folder.name) / "config.json"
        self.given = {"name": "n0", "listen": "127.0.0.1:0", "seed": "7", "settings": usual()} | given
        self.write(self.given)
        self.process: subprocess.Popen
        self.said: list[str] = []
        self._changed = threading.Condition()
        self.address: tuple[str, int]

    def write(self, given: object) -> None:
        """Replaces the configuration as a whole; bytes as they are."""
        new = self.path.with_suffix(".new")
        new.write_bytes(given if isinstance(given, bytes) else json.dumps(given).encode())
        new.replace(self.path)

    def start(self, **more: object) -> Gateway:
        """Begins the process; `more` as subprocess.Popen takes it."""
        env = os.environ | {"GW_CONFIG": str(self.path)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cresstray"], env=env, stderr=subprocess.PIPE, text=True, **more
        )
        self._listens = threading.Thread(target=self._listen, daemon=True)
        self._listens.start()
        return self

    def _listen(self) -> None:
        for text in self.process.stderr:
            with self._changed:
                self.said.append(text.rstrip())
                self._changed.notify_all()

    def until_said(self, part: str, times: int = 1) -> str:
        def found() -> list[str]:
            return [text for text in self.said if part in text][times - 1 :]

        with self._changed:
            if not self._changed.wait_for(found, LONG):
                raise TimeoutError(f"never said {part!r}: {self.said}")
            return found()[0]

    def up(self) -> Gateway:
        """Started, and serving."""
        self.start()
        return self.serves()

    def serves(self) -> Gateway:
        host, port = self.until_said("serves on").rpartition(" ")[2].split(":")
        self.address = (host, int(port))
        return self

    def client(self) -> Client:
        return Client(self.address)

    def tell(self, *signals: signal.Signals) -> None:
        for one in signals:
            self.process.send_signal(one)

    def ended(self) -> int:
        """Its exit code."""
        return self.process.wait(LONG)

    def __enter__(self) -> Gateway:
        return self

    def __exit__(self, *_: object) -> None:
        if hasattr(self, "process"):
            self.process.kill()
            self.process.wait()
            self._listens.join()
            self.process.stderr.close()
        self._folder.cleanup()


def usual(**parts: object) -> dict:
    """Settings of one class, of one tenant."""
    made = settings(Tenants=[{"Name": "acme"}], Localities=["east"], Flavors=["std"], **parts)
    made["Services"] = made["Services"][:1]
    made["Services"][0] |= {"Name": CLASS, "GiveUp": 3000.0}
    return made


def listed(*engines: Engine) -> dict:
    """`known` with these engines."""
    members = [
        {"id": f"s-{number:08x}", "host_port": engine.address, "locality": "east", "flavor": "std"}
        for number, engine in enumerate(engines, 1)
    ]
    return {"index": 1, "updates": [{"index": 1, "endpoints": {"complete": True, "members": members}}]}
