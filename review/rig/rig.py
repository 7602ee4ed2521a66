"""Stand-ins and a process runner for the cases of this review: engines, coordinator, clients, proxy.

All addresses are loopback addresses, all ports are free ones, all files are in a temporary folder.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
PORTS = (20000, 32000)
HELD, BROKEN, NOT_RUN = 0, 1, 2
# What the protocol page adds to each time limit on sockets, in seconds.
SLACK = 0.05
_STATES = {"in_service": 0, "terminating": 1, "terminated": 2}
_RECORD = struct.Struct(">IIHBBBHIQ")


class CannotRunError(Exception):
    """The case could not be played, so that nothing is said about the rule."""


def free_port() -> int:
    """Returns a port that nothing listens on, below those that systems give to outgoing connections."""
    for _ in range(1000):
        port = random.SystemRandom().randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port
    raise CannotRunError("there is no free port")


class Record:
    """The account of one run: what was sent, answered and run, a JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()
        self.asked: set[str] = set()  # the ids of what this script's clients have sent

    def now(self) -> float:
        """Returns the seconds since the run began."""
        return time.monotonic() - self._start

    def add(self, event: str, **fields: Any) -> float:
        """Writes a line; returns its time."""
        at = self.now()
        self._file.write(json.dumps({"at": round(at, 4), "event": event, **fields}) + "\n")
        self._file.flush()
        return at


class Marks:
    """What all engines together remember of idempotency keys, from when the first run began."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.began: dict[str, float] = {}

    def is_repeat(self, key: str, now: float) -> bool:
        """Returns whether the engines still remember the key, with the slack of sockets."""
        return key in self.began and now - self.began[key] < self.seconds + SLACK


class Ask:
    """One attempt as an engine saw it."""

    def __init__(self, engine: str, name: str, fields: dict[str, str], at: float) -> None:
        self.engine, self.name, self.fields, self.at = engine, name, fields, at
        self.ended: float | None = None  # its end is written, or it was given up
        self.ran = False


class Engine:
    """An engine that speaks RESP. A statement `run MS` takes so long; a repeat of a known key is dropped."""

    def __init__(self, name: str, record: Record, marks: Marks | None = None, port: int = 0) -> None:
        self.name, self._record, self.marks = name, record, marks
        self.port = port or free_port()
        self.asks: list[Ask] = []
        self.loses_answers = False  # the work is done, and the answer is not sent
        # If not, only what clients of this script sent goes into the record.
        self.is_recorded = True
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._jobs: dict[tuple[asyncio.StreamWriter, str], tuple[asyncio.Task[None], Ask]] = {}

    async def start(self, backlog: int = 100) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=backlog)

    async def start_on(self, listener: socket.socket) -> None:
        """Serves a socket that listens already."""
        self._server = await asyncio.start_server(self._serve, sock=listener)

    def die(self) -> None:
        """The process ends: connections are reset, new ones are refused, what runs is lost."""
        self._record.add("engine dies", engine=self.name)
        if self._server is not None:
            self._server.close()
            self._server = None
        for task, ask in self._jobs.values():
            task.cancel()
            ask.ended = ask.ended or self._record.now()
        self._jobs.clear()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Resets all connections; what runs on them goes on only as far as the engine is concerned."""
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                parts = await _read_array(reader)
                self._take(writer, *parts)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            for (owner, name), _ in list(self._jobs.items()):
                if owner is writer:
                    self._give_up(owner, name)
            with contextlib.suppress(OSError):
                writer.close()

    def _take(self, writer: asyncio.StreamWriter, command: bytes, name: bytes, *more: bytes) -> None:
        if command == b"ASK":
            self._ask(writer, name.decode(), more[0].decode(), more[1].decode())
        elif command == b"QUIT":
            self._note("quit", req=name.decode())
            self._give_up(writer, name.decode())
        elif command == b"NOOP":
            self._say(writer, name.decode(), "green", "-", "")

    def _ask(self, writer: asyncio.StreamWriter, name: str, fields: str, statement: str) -> None:
        given = dict(field.split("=", 1) for field in fields.split(",") if "=" in field)
        at = self._note("ask", req=name, fields=fields)
        ask = Ask(self.name, name, given, at)
        self.asks.append(ask)
        key = given.get("i", "")
        if key and self.marks is not None:
            if self.marks.is_repeat(key, at):
                ask.ended = at
                self._note("repeat dropped", req=name)
                self._say(writer, name, "served", self._load(), f"{name}\t{self.name}\trepeat\n")
                return
            self.marks.began[key] = at
        ask.ran = True
        self._note("run", req=name, key=key)
        work_s = float(statement.split()[1]) / 1000
        self._jobs[writer, name] = (asyncio.ensure_future(self._work(writer, ask, work_s)), ask)

    async def _work(self, writer: asyncio.StreamWriter, ask: Ask, work_s: float) -> None:
        await asyncio.sleep(work_s)
        self._jobs.pop((writer, ask.name), None)
        ask.ended = self._note("done", req=ask.name, told=not self.loses_answers)
        if not self.loses_answers:
            self._say(writer, ask.name, "served", self._load(), f"{ask.name}\t{self.name}\tdone\n")

    def _note(self, event: str, **fields: Any) -> float:
        if not self.is_recorded and fields["req"] not in self._record.asked:
            return self._record.now()
        return self._record.add(event, engine=self.name, **fields)

    def _give_up(self, writer: asyncio.StreamWriter, name: str) -> None:
        job = self._jobs.pop((writer, name), None)
        if job is not None:
            job[0].cancel()
            job[1].ended = self._note("given up", req=name)

    def _load(self) -> str:
        return f"sheets=1,load=inflight:{len(self._jobs)};util:{min(1.0, len(self._jobs) / 8):.2f}"

    def _say(self, writer: asyncio.StreamWriter, *parts: str) -> None:
        message = b"*%d\r\n" % len(parts)
        for part in parts:
            message += b"$%d\r\n%s\r\n" % (len(part.encode()), part.encode())
        with contextlib.suppress(OSError):
            writer.write(message)


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    made = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def _read_array(reader: asyncio.StreamReader) -> list[bytes]:
    header = await reader.readuntil(b"\r\n")
    parts = []
    for _ in range(int(header[1:])):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        parts.append((await reader.readexactly(length + 2))[:-2])
    return parts


def member(engine: Engine, number: int, zone: str, state: str = "in_service", started_ms: int = 0) -> dict:
    """Returns one engine of a list, as the configuration has it."""
    return {
        "id": f"s-{number:08x}",
        "host_port": f"{HOST}:{engine.port}",
        "locality": zone,
        "flavor": "std",
        "cell": 0,
        "phase": state,
        "up_since_ms": started_ms,
    }


class Coordinator:
    """Tells the events of the list of engines, and each second that there is nothing new."""

    def __init__(self, record: Record, zones: list[str], members: list[dict]) -> None:
        self._record, self._zones = record, zones
        self.port = free_port()
        self.address = f"{HOST}:{self.port}"
        self._frames = [self._frame(1, 1, members)]
        self.known = {
            "index": 1,
            "updates": [{"index": 1, "endpoints": {"complete": True, "members": members}}],
        }
        self._following: dict[asyncio.StreamWriter, int] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def stop(self) -> None:
        """Is out of reach from now on: connections are reset, new ones are refused."""
        self._record.add("coordinator down")
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._following):
            reset(writer)

    def tell(self, *members: dict) -> float:
        """Adds an event with these changes; returns when."""
        self._frames.append(self._frame(len(self._frames) + 1, 2, list(members)))
        at = self._record.add("told", changes=[(one["id"], one["phase"]) for one in members])
        for writer in self._following:
            self._catch_up(writer)
        return at

    def _frame(self, number: int, kind: int, members: list[dict]) -> bytes:
        payload = b"".join(self._entry(one) for one in members)
        return struct.pack(">IQB", 9 + len(payload), number, kind) + payload

    def _entry(self, one: dict) -> bytes:
        host, port = one["host_port"].split(":")
        return _RECORD.pack(
            int(one["id"][2:], 16),
            struct.unpack(">I", socket.inet_aton(host))[0],
            int(port),
            _STATES[one["phase"]],
            self._zones.index(one["locality"]),
            0,
            one["cell"],
            1000,
            int(one["up_since_ms"]),
        )

    def _catch_up(self, writer: asyncio.StreamWriter) -> None:
        for frame in self._frames[self._following[writer] :]:
            writer.write(frame)
        self._following[writer] = len(self._frames)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            last = struct.unpack(">Q", await reader.readexactly(8))[0]
            self._following[writer] = last
            self._catch_up(writer)
            while not writer.is_closing():
                await asyncio.sleep(1)
                writer.write(struct.pack(">IQB", 9, len(self._frames), 0))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._following.pop(writer, None)
            with contextlib.suppress(OSError):
                writer.close()


class LoopLag:
    """How late this script's own event loop has been; what it measures is no better than that."""

    def __init__(self) -> None:
        self.worst_s = 0.0
        self._task = asyncio.ensure_future(self._watch())

    async def _watch(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            self.worst_s = max(self.worst_s, time.monotonic() - before - 0.01)

    def check(self, most_s: float) -> float:
        """Ends the watch and returns the worst lag; beyond `most_s` nothing can be said."""
        self._task.cancel()
        if self.worst_s > most_s:
            raise CannotRunError(f"this script itself was {self.worst_s:.2f} s late")
        return self.worst_s


class Sent:
    """One request as its client sees it."""

    def __init__(self, number: int, name: str, at: float, timeout_s: float) -> None:
        self.number, self.name, self.at, self.timeout_s = number, name, at, timeout_s
        self.is_written = False  # the kernel has all of it
        self.answers: list[tuple[float, str, Any]] = []  # when, fulfilled, denied or abandoned, the message
        self.answered = asyncio.Event()


class Client:
    """One connection to one gateway."""

    def __init__(self, record: Record, port: int) -> None:
        self._record, self._port = record, port
        self._number = 0
        self.sent: dict[int, Sent] = {}
        self.ended_at: float | None = None

    async def connect(self) -> Client:
        """Connects."""
        self._reader, self._writer = await asyncio.open_connection(HOST, self._port)
        self._task = asyncio.ensure_future(self._read())
        return self

    def ask(self, tariff: str, statement: str, timeout_ms: int, name: str = "", **params: Any) -> Sent:
        """Sends one request, under a new id unless one is given."""
        self._number += 1
        name = name or os.urandom(8).hex()
        content = {
            "req": name,
            "timeout": timeout_ms,
            "owner": "office",
            "data": base64.b64encode(statement.encode()).decode(),
            **params,
        }
        message = {"jsonrpc": "2.0", "id": self._number, "method": tariff, "params": content}
        self._record.asked.add(name)
        self._writer.write(json.dumps(message).encode() + b"\n")
        at = self._record.add("asked", req=name, tariff=tariff, timeout=timeout_ms, **params)
        sent = self.sent[self._number] = Sent(self._number, name, at, timeout_ms / 1000)
        sent.is_written = self._writer.transport.get_write_buffer_size() == 0
        return sent

    def open_count(self) -> int:
        """Returns how many requests wait for an answer."""
        return sum(not sent.answers for sent in self.sent.values())

    def close(self) -> None:
        """Closes the connection."""
        self._task.cancel()
        self._writer.close()

    async def _read(self) -> None:
        with contextlib.suppress(OSError):
            while line := await self._reader.readline():
                self._take(json.loads(line))
        self.ended_at = self._record.add("client's connection ended", port=self._port)

    def _take(self, message: dict) -> None:
        sent = self.sent.get(message.get("id") or 0)
        if sent is None:
            self._record.add("answer", message=message)
            return
        how = "fulfilled"
        if "error" in message:
            how = "denied" if message["error"]["code"] == -32000 else "abandoned"
        at = self._record.add("answer", req=sent.name, how=how)
        sent.answers.append((at, how, message))
        sent.answered.set()


class Proxy:
    """Passes connections on to another port of this machine; delays, holds or resets them."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self.port = free_port()
        self.delay_s = 0.0  # one way, both ways alike
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def cut(self) -> None:
        """Resets all connections and refuses new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self._target_port)
        except OSError:
            reset(writer)
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))
        self._writers -= {writer, far_writer}

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        last = 0.0
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                last = max(last, loop.time() + self.delay_s)
                loop.call_at(last, self._write, writer, data)
        loop.call_at(max(last, loop.time() + self.delay_s), writer.close)

    @staticmethod
    def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(data)


class Process:
    """One program of the project, started from the repository's root by /bin/sh as the platform does."""

    def __init__(self, record: Record, name: str, command: str, env: dict[str, str], folder: Path) -> None:
        self._record, self.name = record, name
        self._log = (folder / f"{name}.log").open("ab")
        scratch = folder / f"{name}.tmp"
        scratch.mkdir(exist_ok=True)
        self.popen = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env={**os.environ, "TMPDIR": str(scratch), **env},
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        record.add("started", process=name, pid=self.popen.pid)

    def send(self, number: signal.Signals) -> float:
        """Sends a signal; returns when."""
        with contextlib.suppress(ProcessLookupError):
            self.popen.send_signal(number)
        return self._record.add("signal", process=self.name, signal=number.name)

    async def ended(self, seconds: float) -> int | None:
        """Waits for the end; returns the exit code, None if it goes on."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.popen.poll() is not None:
                self._record.add("ended", process=self.name, code=self.popen.returncode)
                return self.popen.returncode
            await asyncio.sleep(0.01)
        return None

    def kill(self) -> None:
        """Ends the process, also a stopped one."""
        if self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()
        self._log.close()


class Case:
    """One run of one case: its folder, record, processes and whether the disruption is played."""

    def __init__(self, record_path: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(record_path)
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self._processes: list[Process] = []
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self._deploy = tomllib.load(file)

    def configure(self, name: str, port: int, settings: dict, coordinator: str | None, known: dict) -> Path:
        """Writes a gateway's configuration; returns its path."""
        configuration = {
            "name": name,
            "listen": f"{HOST}:{port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": settings,
        }
        if coordinator is not None:
            configuration["coordinator"] = coordinator
        path = self.temporary / f"{name}.json"
        path.write_text(json.dumps(configuration))
        return path

    async def start_gateway(self, name: str, path: Path, operator: str = "") -> Process:
        """Starts a gateway by the `run` of the deploy file; returns once it serves."""
        port = int(json.loads(path.read_text())["listen"].split(":")[1])
        env = {"GW_CONFIG": str(path), "GW_NAME": name, "GW_LISTEN": f"{HOST}:{port}"}
        if operator:
            operator_path = self.temporary / f"{name}.conf"
            operator_path.write_text(operator)
            env["GW_OPERATOR"] = str(operator_path)
        process = Process(self.record, name, self._deploy["run"], env, self.temporary)
        self._processes.append(process)
        for _ in range(600):
            if process.popen.poll() is not None:
                raise CannotRunError(f"{name} ended with {process.popen.returncode}")
            if await _is_ready(port):
                self.record.add("serves", process=name)
                return process
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{name} does not serve")

    def start(self, name: str, command: str, **env: str) -> Process:
        """Starts another program of the project."""
        process = Process(self.record, name, command, env, self.temporary)
        self._processes.append(process)
        return process

    def log_of(self, name: str) -> str:
        """Returns what a process has printed."""
        return (self.temporary / f"{name}.log").read_text(errors="replace")

    def close(self) -> None:
        """Ends all processes, keeps their logs in the record and removes the temporary folder."""
        for process in self._processes:
            process.kill()
        for name in sorted({process.name for process in self._processes}):
            for line in self.log_of(name).splitlines()[-200:]:
                self.record.add("log", process=name, line=line)
        shutil.rmtree(self.temporary, ignore_errors=True)


ZONES = ["hall-a", "hall-b"]


class Halls:
    """Two halls with one gateway each; a proxy stands on the way from the first to the second."""

    def __init__(self, case: Case, near: list[Engine], far: list[Engine], site: dict) -> None:
        self._case, self._engines, self._site = case, (near, far), site
        self.names = ("ga0", "gb0")
        self.ports = (free_port(), free_port())
        self._links = (free_port(), free_port())
        self.proxy = Proxy(self._links[1])
        self.coordinators: list[Coordinator] = []
        self.processes: list[Process] = []

    async def start(self) -> None:
        """Starts the far gateway, then the near one, and waits until their links are up."""
        await self.proxy.start()
        for zone in (1, 0):
            members = [
                member(engine, 16 * zone + number, ZONES[zone])
                for number, engine in enumerate(self._engines[zone], 1)
            ]
            coordinator = Coordinator(self._case.record, ZONES, members)
            await coordinator.start()
            self.coordinators.insert(0, coordinator)
            self.processes.insert(0, await self.start_gateway(zone))
        await asyncio.sleep(8)

    async def start_gateway(self, zone: int) -> Process:
        """Starts the gateway of one hall."""
        name = self.names[zone]
        coordinator = self.coordinators[zone - 2]  # while only the far hall has one, it is the last
        peer = self.proxy.port if zone == 0 else self._links[0]
        site = {**self._site, "Zone": zone}
        path = self._case.configure(name, self.ports[zone], site, coordinator.address, coordinator.known)
        return await self._case.start_gateway(
            name,
            path,
            f"hall {ZONES[zone]}\n    gateway {name}\n    listen {HOST}:{self._links[zone]}\n"
            f"peer {ZONES[1 - zone]} {HOST}:{peer}\n",
        )


async def until(condition: Callable[[], object], seconds: float, what: str) -> None:
    """Waits for a condition; without it the case can't be played."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise CannotRunError(f"{what}: not within {seconds} s")
        await asyncio.sleep(0.005)


async def _is_ready(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    try:
        writer.write(b'{"jsonrpc":"2.0","id":1,"method":"status"}\n')
        line = await asyncio.wait_for(reader.readline(), 1)
        return b'"pass":true' in line.replace(b" ", b"")
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


def settings(services: list[dict], threads: list[int], **changes: dict) -> dict:
    """Returns the settings of a small deployment, as its gateways are told them."""
    made = {
        "Balancers": 1,
        "Localities": ["hall-a", "hall-b"],
        "Flavors": ["std"],
        "Zone": 0,
        "FamilyInfo": {"CpuOfKind": [8], "Dop": threads},
        "Limits": {
            "Cancel": True,
            "ConnIdle": 15000,
            "ConnectTimeout": 250,
            "MaxAttempts": 6,
            "MaxRetryAfter": 2000,
            "RetryAfter": True,
            "StreamsPerConn": 32,
        },
        "Report": {"Names": ["concurrent", "load_share"], "Source": "inline"},
        "Safety": {
            "BudgetWindow": 5000,
            "ColdShare": 0.33,
            "DrainGrace": 1000,
            "Fall": 1000,
            "FreeResends": 5,
            "OverloadFactor": 2,
            "ResendRatio": 0.1,
            "WarmUp": 13000,
        },
        "Tenants": [{"Name": "office"}],
        "Services": services,
    }
    for part, content in changes.items():
        value = made.get(part)
        made[part] = {**value, **content} if isinstance(value, dict) else content
    return made


LOOKUP = {
    "Name": "lookup",
    "Effect": "idempotent",
    "GoalTime": 1200,
    "AimStretch": 2.0,
    "GiveUp": 6000,
    "Worth": 1,
}
LOAD = {
    "Name": "manifest-load",
    "Effect": "deduplicated",
    "Group": "all",
    "KeyTtl": 20000,
    "GoalTime": 4000,
    "AimStretch": 3.0,
    "GiveUp": 20000,
    "LateValue": 0.6,
    "Worth": 10,
}


def main(record_path: Path, play: Callable[[Case], Awaitable[list[str]]], seconds: float = 100) -> None:
    """Plays a case; `play` returns one line for each break of the rule. Exits with 0, 1 or 2."""
    # Streams that are collected behind the event loop's end complain on standard error.
    sys.unraisablehook = lambda *_: None
    signal.signal(signal.SIGTERM, _on_signal)
    try:
        code = _play_recorded(Case(record_path), play, seconds)
    except (KeyboardInterrupt, Exception):
        traceback.print_exc()
        code = NOT_RUN
    sys.exit(code)


def _on_signal(*_: object) -> None:
    raise KeyboardInterrupt


def _play_recorded(case: Case, play: Callable[[Case], Awaitable[list[str]]], seconds: float) -> int:
    try:
        broken = asyncio.run(asyncio.wait_for(play(case), seconds))
    except (KeyboardInterrupt, Exception) as error:
        why = str(error) if isinstance(error, CannotRunError) else traceback.format_exc()
        case.record.add("could not run", why=why)
        print(f"could not run: {why}")
        return NOT_RUN
    finally:
        case.close()
    case.record.add("verdict", breaks=len(broken))
    for line in broken:
        case.record.add("broken", what=line)
        print(f"broken: {line}")
    print("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD
