"""Scripted clients, engines and a coordinator round one gateway process, and the account that they keep.

All is on 127.0.0.1 and in one asyncio loop; the gateway is a process of its own, as the platform starts it.
Nothing of the gateway is imported: what it does is judged by what came to these sockets, and when.
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
# Another build may be attacked in place of this one.
ROOT = Path(os.environ.get("ATTACKED", Path(__file__).parent.parent))
now = time.monotonic
# What a loop of the stand-ins on a busy machine may notice late, beside what the rules allow.
SLACK = 0.05
GONE_SLACK = 0.1  # an attempt may begin so long after its client has gone
LATE_ANSWER = 0.5  # an answer so long after its time only earns nothing
READY, DRAINING, GONE = 0, 1, 2
IDEMPOTENT, DEDUPLICATED, ONCE = "lookup", "put", "post"
KEY_TTL = 0.6
# Of the gateway's standard error: what it must never say.
FORBIDDEN = ("Traceback", "fault", "broken")


@dataclass(eq=False)
class Asked:
    """One request: what a client sent, and what it heard."""

    name: str
    tariff: str
    timeout: float  # seconds
    number: int
    sent: float = 0.0  # its last byte; 0: not whole yet
    gone: float = 0.0  # when its client withdrew it, or closed; 0: it has not
    owed: bool = True  # False: not a usual request; whatever it gets
    answers: list[tuple[float, str, str]] = field(default_factory=list)  # when, how, the result
    attempts: list[Attempt] = field(default_factory=list)

    def __str__(self) -> str:
        return f"{self.tariff} {self.name}"


@dataclass(eq=False)
class Attempt:
    """One request that came whole to one engine."""

    asked: Asked | None
    name: str
    engine: Engine
    link: EngineLink
    at: float
    statement: str
    patience: int = 0  # milliseconds that the gateway will wait, as it says
    ended: float = 0.0  # the end of its answer was written, it was given up, or its connection ended
    how: str = "out"


class Account:
    """All that was asked, tried and answered."""

    def __init__(self) -> None:
        self.began = now()
        self.asked: dict[str, Asked] = {}
        self.attempts: list[Attempt] = []
        self.strays: list[str] = []  # what no rule allows at all, told as it comes
        self.lateness = 0.0  # of this loop, at the most
        self.slack = SLACK

    def stray(self, text: str) -> None:
        self.strays.append(f"{now() - self.began:.3f} {text}")

    async def watch(self) -> None:
        """Measures how late this loop is: what it notices late is no fault of the gateway."""
        while True:
            due = now() + 0.01
            await asyncio.sleep(0.01)
            self.lateness = max(self.lateness, now() - due)

    def attempted(self, attempt: Attempt) -> None:
        attempt.asked = self.asked.get(attempt.name)
        self.attempts.append(attempt)
        if attempt.asked is None:
            self.stray(f"{attempt.engine} got {attempt.name!r}, which no client sent")
            return
        attempt.asked.attempts.append(attempt)

    def breaks(self) -> list[str]:
        """Every rule that was broken, a line each with the ids to follow."""
        slack = self.slack + self.lateness
        found = [f"stray: {text}" for text in self.strays]
        for asked in self.asked.values():
            found += self._answered(asked, slack)
            found += self._attempted(asked, slack)
        for attempt in self.attempts:
            told = attempt.engine.told_off
            if told and attempt.at > told + slack:
                found.append(f"drain: {attempt.name} to {attempt.engine} {attempt.at - told:.3f} s after")
        return found

    def _answered(self, asked: Asked, slack: float) -> list[str]:
        found = []
        if len(asked.answers) > 1:
            found.append(f"two answers: {asked}: {asked.answers}")
        if asked.sent and asked.owed and not asked.gone:
            if not asked.answers:
                found.append(f"no answer: {asked}, attempts {[one.how for one in asked.attempts]}")
            elif asked.answers[0][0] > asked.sent + asked.timeout + LATE_ANSWER + slack:
                late = asked.answers[0][0] - asked.sent - asked.timeout
                found.append(f"late answer: {asked}, {late:.3f} s after its time")
        for _, how, result in asked.answers:
            made = {row(one) for one in asked.attempts if one.how == "served"}
            if how == "served" and result not in made:
                found.append(f"strange result: {asked}: {result!r}")
        return found

    def _attempted(self, asked: Asked, slack: float) -> list[str]:
        found = []
        for place, attempt in enumerate(asked.attempts):
            if asked.gone and attempt.at > asked.gone + GONE_SLACK + slack:
                found.append(
                    f"gone: {asked} to {attempt.engine} {attempt.at - asked.gone:.3f} s after its client went"
                )
            if asked.answers and attempt.at > asked.answers[0][0] + slack:
                found.append(f"after its answer: {asked} to {attempt.engine}")
            for before in asked.attempts[:place]:
                # QUIT and the next attempt take two connections, and may be read here in either order.
                if before.ended == 0 or before.ended > attempt.at + slack:
                    found.append(f"two out: {asked}: {before.engine} {before.how}, then {attempt.engine}")
                if before.how in ("overload", "nobody"):
                    continue
                if asked.tariff == ONCE:
                    found.append(
                        f"sent again: {asked}: {before.how} at {before.engine}, then {attempt.engine}"
                    )
                if asked.tariff == DEDUPLICATED and attempt.at - before.at > KEY_TTL + slack:
                    found.append(f"window: {asked} again after {attempt.at - before.at:.3f} s")
        return found


def _patience(fields: str) -> int:
    found = re.search(r"(?:^|,)w=(\d+)(?:,|$)", fields)
    return int(found[1]) if found else -1


def row(attempt: Attempt) -> str:
    """The result that this attempt makes, which no other does."""
    return f"{attempt.name}\t{attempt.engine.label}\t{attempt.link.number}\n"


class EngineLink(asyncio.Protocol):
    """One connection of the gateway to an engine."""

    def __init__(self, engine: Engine) -> None:
        self.engine, self.open = engine, {}
        self.reader = hiredis.Reader()
        self.number = len(engine.links)
        engine.links.append(self)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        if self.engine.deaf:
            transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        try:
            while (message := self.reader.gets()) is not False:
                self._take(*message)
        except (hiredis.ProtocolError, TypeError, ValueError, UnicodeDecodeError) as trouble:
            self.engine.account.stray(f"{self.engine} can't read {data[:60]!r}: {trouble}")
            self.reset()

    def _take(self, command: bytes, name: bytes, *more: bytes) -> None:
        text = name.decode()
        if command == b"ASK":
            fields, statement = (part.decode() for part in more)
            if not re.fullmatch(r"[0-9a-f]{16}", text) or not re.fullmatch(r"[\w=,.:-]+", fields):
                self.engine.account.stray(f"{self.engine} can't use {text!r} {fields!r}")
            attempt = Attempt(None, text, self.engine, self, now(), statement, _patience(fields))
            self.open[text] = attempt
            self.engine.account.attempted(attempt)
            self.engine.got.set()
            self.engine.script(attempt)
        elif command in (b"QUIT", b"FREE"):
            self.end(text, "given up")

    def end(self, name: str, how: str) -> None:
        attempt = self.open.pop(name, None)
        if attempt is not None:
            attempt.ended, attempt.how = now(), how

    def say(self, *parts: str) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(hiredis.pack_command(parts))

    def reset(self) -> None:
        """The end of a process: a reset, at once."""
        if self.transport is not None and not self.transport.is_closing():
            reset(self.transport)

    def connection_lost(self, _: Exception | None) -> None:
        for name in list(self.open):
            self.end(name, "cut")


class Engine:
    """`script` is called with each attempt, and answers by `answer`, now or later, or not at all."""

    def __init__(
        self, account: Account, number: int, script: Callable[[Attempt], None] | None = None
    ) -> None:
        self.account, self.number = account, number
        self.label = f"s-{number:08x}"
        self.script = script or serve
        self.links: list[EngineLink] = []
        self.state, self.zone = READY, 0
        self.told_off = 0.0  # when the gateway was told that it drains or has gone
        self.deaf = False  # new connections are accepted and not read
        self.got = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._listener = socket.socket()
        self._fillers: list[socket.socket] = []

    def __str__(self) -> str:
        return self.label

    async def listen(self, up: bool = True, port: int = 0, receive: int = 0) -> Engine:
        """Not `up`: connections to it don't come up before `come_up`, and then within a second."""
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive)
        self._listener.bind((HOST, port))
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        if up:
            await self.come_up()
            return self
        self._listener.listen(0)
        for _ in range(2):  # one more than there is room for: whoever comes next is not let in
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self._fillers.append(filler)
        return self

    async def come_up(self) -> None:
        for filler in self._fillers:
            filler.close()
        if self._listener.fileno() < 0:  # it has gone before
            return
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: EngineLink(self), sock=self._listener, backlog=200)

    def close(self) -> None:
        for link in self.links:
            if link.transport is not None:
                link.transport.abort()
        if self._server is not None:
            self._server.close()
        self._listener.close()

    def record(self, started: int = 0) -> tuple:
        return self.number, 0x7F000001, self.port, self.state, self.zone, 0, 0, 1000, started


def answer(attempt: Attempt, word: str, body: str = "", fields: str = "-") -> None:
    """An answer that is owed, unless it was given up."""
    if attempt.ended == 0:
        attempt.link.say(attempt.name, word, fields, body)
        attempt.link.end(attempt.name, word)


def serve(attempt: Attempt) -> None:
    answer(attempt, "served", row(attempt), "sheets=1")


def hang(_: Attempt) -> None:
    pass


def refuse(attempt: Attempt) -> None:
    answer(attempt, "overload")


def after(delay: float, script: Callable[[Attempt], None]) -> Callable[[Attempt], None]:
    return lambda attempt: void(asyncio.get_running_loop().call_later(delay, script, attempt))


def cut(attempt: Attempt) -> None:
    attempt.link.reset()


def void(_: object) -> None:
    """For calls whose result is not wanted."""


def reset(transport: asyncio.Transport) -> None:
    made = transport.get_extra_info("socket")
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


class Events:
    """What there is to tell, shared by coordinators, with the engines whose end is in it."""

    def __init__(self) -> None:
        self.last = 1
        self.told: list[tuple[int, bytes, list[Engine]]] = []  # number, frame, who drains or has gone by it

    def add(self, engines: list[Engine], whole: bool = False) -> None:
        self.last += 1
        off = [engine for engine in engines if engine.state != READY]
        self.told.append(
            (self.last, frame(self.last, 1 if whole else 2, *(one.record() for one in engines)), off)
        )


def frame(number: int, kind: int, *records: tuple) -> bytes:
    body = struct.pack(">QB", number, kind) + b"".join(struct.pack(">IIHBBBHIQ", *one) for one in records)
    return struct.pack(">I", len(body)) + body


class Watch(asyncio.Protocol):
    """One connection of the gateway to the coordinator."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator, self.hello, self.sent = coordinator, b"", -1

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.coordinator.watches.append(self)

    def data_received(self, data: bytes) -> None:
        self.hello += data
        if len(self.hello) == 8:
            self.sent = struct.unpack(">Q", self.hello)[0]
            self.coordinator.hellos.append(self.sent)
            self.tell()

    def tell(self) -> None:
        if self.sent < 0 or self.coordinator.mode != "well":
            return
        for number, data, off in self.coordinator.events.told:
            if number > self.sent:
                self.transport.write(data)
                self.sent = number
                for engine in off:
                    engine.told_off = engine.told_off or now()

    def connection_lost(self, _: Exception | None) -> None:
        with contextlib.suppress(ValueError):
            self.coordinator.watches.remove(self)


class Coordinator:
    """`mode`: well, silent (nothing is told), or scripted (the test writes to its watches itself)."""

    def __init__(self, events: Events) -> None:
        self.events, self.mode = events, "well"
        self.watches: list[Watch] = []
        self.hellos: list[int] = []

    async def listen(self, port: int = 0) -> Coordinator:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Watch(self), HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = loop.create_task(self._beat())
        return self

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            for watch in self.watches:
                if self.mode == "well" and watch.sent >= 0:
                    watch.transport.write(frame(watch.sent, 0))

    def tell(self, *engines: Engine, whole: bool = False) -> None:
        self.events.add(list(engines), whole)
        for watch in self.watches:
            watch.tell()

    def refuse(self) -> None:
        """No new connection is let in."""
        self._server.close()

    def close(self) -> None:
        self._beats.cancel()
        self._server.close()
        for watch in list(self.watches):
            watch.transport.abort()


class Client(asyncio.Protocol):
    """One connection of a client."""

    names = 0  # given to requests so far, new with each

    def __init__(self, account: Account) -> None:
        self.account = account
        self.numbers: dict[int, Asked] = {}
        self.others: list[dict] = []  # answers to what was no request
        self.got = asyncio.Event()  # set anew with each line
        self.ended = asyncio.Event()
        self.how = ""  # it ended: closed by the gateway, reset by it, or gone by itself
        self.buffer = b""
        self.number = 0

    @classmethod
    async def open(cls, account: Account, address: tuple[str, int], receive: int = 0) -> Client:
        made = socket.socket()
        made.setblocking(False)
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if receive:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(made, address)
        return (await loop.create_connection(lambda: cls(account), sock=made))[1]

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    @property
    def port(self) -> int:
        return self.transport.get_extra_info("sockname")[1]

    def line(
        self,
        request_class: str = IDEMPOTENT,
        timeout: float = 2.0,
        statement: str = "select 1",
        **more: object,
    ) -> bytes:
        """A new request's line, noted and not sent."""
        self.number += 1
        Client.names += 1
        asked = Asked(f"{Client.names:016x}", request_class, timeout, self.number)
        self.numbers[self.number] = self.account.asked[asked.name] = asked
        params = {
            "req": asked.name,
            "timeout": timeout * 1000,
            "owner": "acme",
            "data": base64.b64encode(statement.encode()).decode(),
        }
        if request_class == DEDUPLICATED:
            params["opkey"] = asked.name * 2
        message = {"jsonrpc": "2.0", "id": self.number, "method": request_class, "params": params | more}
        return json.dumps(message).encode() + b"\n"

    def ask(
        self,
        request_class: str = IDEMPOTENT,
        timeout: float = 2.0,
        statement: str = "select 1",
        **more: object,
    ) -> Asked:
        line = self.line(request_class, timeout, statement, **more)
        asked = self.numbers[self.number]
        self.write(line)
        asked.sent = now()
        return asked

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def withdraw(self, asked: Asked) -> None:
        message = {"jsonrpc": "2.0", "method": "withdraw", "params": {"id": asked.number, "req": asked.name}}
        self.write(json.dumps(message).encode() + b"\n")
        asked.gone = asked.gone or now()

    def leave(self, how: str = "close") -> None:
        """By `close`, `half` a close, or `reset`."""
        for asked in self.numbers.values():
            if not asked.answers:
                asked.gone = asked.gone or now()
        self.how = self.how or "gone by itself"
        if how == "half":
            self.transport.write_eof()
        elif how == "reset":
            reset(self.transport)
        else:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self._hear(json.loads(line))
        self.got.set()
        self.got = asyncio.Event()

    def _hear(self, message: dict) -> None:
        asked = self.numbers.get(message["id"])
        if asked is None or message.get("result") == {"pass": True}:
            self.others.append(message)
            return
        if "result" in message:
            result = base64.b64decode(message["result"]["data"]).decode()
            asked.answers.append((now(), "served", result))
            return
        code = message["error"]["code"]
        asked.answers.append((now(), {-32000: "refused", -32001: "failed"}.get(code, f"error {code}"), ""))

    def connection_lost(self, trouble: Exception | None) -> None:
        self.how = self.how or ("reset" if trouble else "closed")
        self.ended.set()

    async def hears(self, asked: Asked, within: float) -> str:
        """How it was answered, or `nothing` within so many seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within):
                while not asked.answers and not self.ended.is_set():
                    got = self.got
                    waits = [asyncio.ensure_future(one.wait()) for one in (got, self.ended)]
                    try:
                        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
                    finally:
                        for one in waits:
                            one.cancel()
        return asked.answers[0][1] if asked.answers else "nothing"


def settings(**more: object) -> dict:
    """A deployment with a class of each effect; one gateway, four threads an engine."""
    service = {"GoalTime": 2500, "GiveUp": 3000, "Worth": 1}
    given = {
        "Balancers": 1,
        "Localities": ["east"],
        "Flavors": ["std"],
        "FamilyInfo": {"CpuOfKind": [4], "Dop": [1, 1, 1]},
        "Limits": {"MaxAttempts": 4, "Cancel": True, "ConnectTimeout": 250},
        "Safety": {},
        "Tenants": [{"Name": "acme"}],
        "Services": [
            service | {"Name": IDEMPOTENT, "Effect": "idempotent"},
            service | {"Name": DEDUPLICATED, "Effect": "deduplicated", "KeyTtl": KEY_TTL * 1000},
            service | {"Name": ONCE, "Effect": "at_most_once"},
        ],
    }
    for name, part in more.items():
        given[name] = given.get(name, {}) | part if isinstance(part, dict) else part
    return given


class Process:
    """One gateway, as the platform starts it."""

    def __init__(self, folder: Path, given: dict, descriptors: int = 0) -> None:
        self.path, self._said = folder / "config.json", folder / "said"
        self.configure(given)
        limit = (descriptors, descriptors) if descriptors else resource.getrlimit(resource.RLIMIT_NOFILE)
        with self._said.open("w") as said:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-B", "-m", "cresstray"],
                cwd=ROOT,
                env=os.environ | {"GW_CONFIG": str(self.path)},
                stdout=subprocess.DEVNULL,
                stderr=said,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limit),
            )
        self.told_to_end = 0.0

    def configure(self, given: object) -> None:
        """Replaces the configuration: a text as it is, else as JSON."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(given if isinstance(given, str) else json.dumps(given))
        fresh.replace(self.path)

    @property
    def said(self) -> str:
        return self._said.read_text()

    async def ready(self) -> tuple[str, int]:
        async with asyncio.timeout(15):
            while not (found := re.search(r"serves on 127\.0\.0\.1:(\d+)", self.said)):
                if self.process.poll() is not None:
                    raise AssertionError(f"it ended by {self.process.returncode}: {self.said[-2000:]}")
                await asyncio.sleep(0.01)
        return HOST, int(found[1])

    async def says(self, text: str, within: float = 5.0) -> bool:
        end = now() + within
        while text not in self.said and now() < end and self.process.poll() is None:
            await asyncio.sleep(0.01)
        return text in self.said

    def signal(self, which: int) -> None:
        if self.process.poll() is None:
            self.process.send_signal(which)
            if which == signal.SIGTERM:
                self.told_to_end = self.told_to_end or now()

    async def end(self, within: float) -> int | None:
        """Its exit code, or None if it had not ended in time."""
        until = now() + within
        while self.process.poll() is None and now() < until:
            await asyncio.sleep(0.002)
        return self.process.poll()

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Scene:
    """A gateway, its engines and its coordinator, from start to end."""

    def __init__(self, engines: int = 1, **more: object) -> None:
        self.account = Account()
        self.events = Events()
        self.engines = [Engine(self.account, number + 1) for number in range(engines)]
        self.coordinator = Coordinator(self.events)
        self.clients: list[Client] = []
        self.descriptors = int(more.pop("descriptors", 0))
        self.given = {"limits": {"sockets": self.descriptors}} if self.descriptors else {}
        self.settings = settings(**more)
        self.listed = True  # at the start, as ready
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Scene:
        folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        for engine in self.engines:
            if not hasattr(engine, "port"):
                await engine.listen()
        await self.coordinator.listen()
        if self.listed:
            self.events.add(self.engines, whole=True)
        self.gateway = Process(folder, self.configuration(), self.descriptors)
        self._stack.callback(self.gateway.kill)
        try:
            await self._begin()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _begin(self) -> None:
        self.address = await self.gateway.ready()
        if self.listed:
            async with asyncio.timeout(5):
                while not any(watch.sent == self.events.last for watch in self.coordinator.watches):
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
        # From here on: how late the start of a process makes this loop is no measure of anything.
        watching = asyncio.create_task(self.account.watch())
        self._stack.callback(watching.cancel)

    def configuration(self, **more: object) -> dict:
        return {
            "name": "n0",
            "listen": f"{HOST}:0",
            "seed": "8c1f30d27a5be964",
            "coordinator": f"{HOST}:{self.coordinator.port}",
            "settings": self.settings,
            **self.given,
            **more,
        }

    async def client(self, receive: int = 0) -> Client:
        client = await Client.open(self.account, self.address, receive)
        self.clients.append(client)
        return client

    async def add(
        self, number: int, script: Callable[[Attempt], None] | None = None, **how: object
    ) -> Engine:
        engine = Engine(self.account, number, script)
        self.engines.append(engine)
        return await engine.listen(**how)

    async def until(self, holds: Callable[[], object], within: float = 5.0) -> bool:
        end = now() + within
        while not holds() and now() < end:
            await asyncio.sleep(0.005)
        return bool(holds())

    async def stop(self, within: float = 3.9) -> list[str]:
        """SIGTERM if it had none, and all that is wrong by then."""
        self.gateway.signal(signal.SIGTERM)
        code = await self.gateway.end(max(0.1, self.gateway.told_to_end + within - now()))
        await asyncio.sleep(0.05)  # what it wrote last is still to be read here
        found = (
            [] if code == 0 else [f"exit code {code}, {now() - self.gateway.told_to_end:.2f} s after SIGTERM"]
        )
        return found + self.wrong()

    def wrong(self) -> list[str]:
        said = self.gateway.said
        ill = [line for line in said.splitlines() if any(word in line for word in FORBIDDEN)]
        return self.account.breaks() + [f"standard error: {line[:200]}" for line in ill[:5]]

    async def __aexit__(self, *_: object) -> None:
        for client in self.clients:
            if not client.transport.is_closing():
                client.transport.abort()
        for engine in self.engines:
            engine.close()
        self.coordinator.close()
        await self._stack.aclose()
        await asyncio.sleep(0)  # what was aborted is closed in the loop's next turn
