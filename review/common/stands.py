"""Stand-ins and processes that the review's cases share: engines, a coordinator, clients, a proxy, gateways.

All of it stays on loopback addresses and the real clock. Times in the record are seconds since its start.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
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
from dataclasses import dataclass, field
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any

import hiredis

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
_WORK_MS = re.compile(r"work_ms=(\d+)")


class CouldNotRunError(Exception):
    """The case could not be played: nothing can be said about the rule."""


class Record:
    """What was sent, answered and run, in the case's record.txt."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start_s = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._start_s

    def write(self, who: str, text: str) -> float:
        """Writes one line and returns its time."""
        now_s = self.now()
        self._file.write(f"{now_s:9.3f}  {who:12} {text}\n")
        self._file.flush()
        return now_s


def free_port() -> int:
    """Returns a port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@dataclass
class Run:
    """One attempt at an engine."""

    engine: str
    name: str
    key: str
    asked_s: float
    ran: bool = False  # whether the work was done to its end, and took effect
    is_repeat: bool = False
    ended_s: float = -1.0


class SharedMarks:
    """The engines' common memory of idempotency keys: from the start of the first run, for a stated time."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._begun_s: dict[str, float] = {}

    def is_repeat(self, key: str) -> bool:
        """Returns whether the key was begun within the window."""
        begun_s = self._begun_s.get(key)
        return begun_s is not None and time.monotonic() - begun_s < self._window_s

    def begin(self, key: str) -> None:
        """Remembers that a run of this key begins."""
        self._begun_s[key] = time.monotonic()

    def undo(self, key: str) -> None:
        """Forgets a run that was given up before its end."""
        self._begun_s.pop(key, None)


class Engine:
    """An engine: runs what it is asked at once, for the `work_ms=` in the statement, and answers.

    It ends what is given up (QUIT, or the end of the connection), and drops repeats of a key.
    """

    def __init__(self, label: str, record: Record, runs: list[Run], marks: SharedMarks) -> None:
        self.label = label
        self._record, self._runs, self._marks = record, runs, marks
        self._server: asyncio.Server | None = None
        self.port = 0
        self.answers = True  # False: it works on, and nothing it says arrives (it hangs)
        self._open = 0

    async def start(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader()
        jobs: dict[bytes, asyncio.Task[None]] = {}
        try:
            while data := await reader.read(65536):
                parser.feed(data)
                while (message := parser.gets()) is not False:
                    self._take(message, jobs, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            for job in list(jobs.values()):
                job.cancel()
            writer.close()

    def _take(
        self, message: list[bytes], jobs: dict[bytes, asyncio.Task[None]], writer: asyncio.StreamWriter
    ) -> None:
        command, name = message[0], message[1]
        if command == b"ASK":
            jobs[name] = asyncio.create_task(self._ask(name, message[2], message[3], writer))
            jobs[name].add_done_callback(lambda _: jobs.pop(name, None))
        elif command in (b"QUIT", b"FREE"):
            self._record.write(self.label, f"{command.decode()} {name.decode()}")
            if name in jobs:
                jobs[name].cancel()
        elif command == b"NOOP":
            self._say(writer, name, b"green", b"-", b"")

    async def _ask(self, name: bytes, fields: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
        given = dict(part.split("=", 1) for part in fields.decode().split(","))
        key = given.get("i", "")
        now_s = self._record.write(self.label, f"ASK {name.decode()} {fields.decode()}")
        run = Run(self.label, name.decode(), key, now_s)
        self._runs.append(run)
        self._open += 1
        try:
            if key and self._marks.is_repeat(key):
                run.is_repeat = True
                self._record.write(self.label, f"repeat of {key} dropped, {run.name}")
                self._say(writer, name, b"served", self._fields(), b"repeat\t0\t0\n")
                return
            if key:
                self._marks.begin(key)
            found = _WORK_MS.search(body.decode())
            await asyncio.sleep(int(found[1]) / 1000 if found else 0.01)
            run.ran = True
            self._record.write(self.label, f"ran {run.name} key={key}")
            self._say(writer, name, b"served", self._fields(), b"done\t%s\t1\n" % name)
        except asyncio.CancelledError:
            self._record.write(self.label, f"given up {run.name}")
            if key and not run.ran:
                self._marks.undo(key)
        finally:
            run.ended_s = self._record.now()
            self._open -= 1

    def _fields(self) -> bytes:
        return b"sheets=1,load=inflight:%d;util:0.10" % max(0, self._open - 1)

    def _say(self, writer: asyncio.StreamWriter, *parts: bytes) -> None:
        if self.answers and not writer.is_closing():
            writer.write(hiredis.pack_command(parts))  # type: ignore[arg-type]


class Coordinator:
    """Tells numbered events of the list of engines; an empty frame each second."""

    def __init__(self) -> None:
        self.port = 0
        self._events: list[bytes] = []  # of the numbers after `first`
        self._first = 1
        self._news = asyncio.Event()

    async def start(self) -> None:
        """Listens."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def tell(self, members: list[tuple[int, int, int, int]]) -> None:
        """Adds an event of changes: id, port, state (0 ready, 1 draining, 2 gone) and zone of each engine."""
        number = self._first + len(self._events) + 1
        body = b"".join(
            struct.pack(
                ">IIHBBBHIQ", engine, int(IPv4Address("127.0.0.1")), port, state, zone, 0, zone, 1000, 0
            )
            for engine, port, state, zone in members
        )
        payload = struct.pack(">QB", number, 2) + body
        self._events.append(struct.pack(">I", len(payload)) + payload)
        self._news.set()
        self._news = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            known = int.from_bytes(await reader.readexactly(8), "big")
            while True:
                position = max(0, known - self._first)
                for event in self._events[position:]:
                    writer.write(event)
                known = self._first + len(self._events)
                empty = struct.pack(">QB", known, 0)
                writer.write(struct.pack(">I", len(empty)) + empty)
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._news.wait(), 1.0)


@dataclass
class Answer:
    """What a client got: `result`, `denied` (-32000), `failed`, `closed` (no answer) or `none` in time."""

    kind: str
    at_s: float
    holdoff_ms: int = 0
    text: str = ""


@dataclass
class Client:
    """One connection of a client to a gateway."""

    label: str
    record: Record
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    _waiting: dict[int, asyncio.Future[Answer]] = field(default_factory=dict)
    _last_id: int = 0
    _reading: asyncio.Task[None] | None = None

    @staticmethod
    async def connect(label: str, record: Record, port: int) -> Client:
        """Returns a connected client."""
        client = Client(label, record, *await asyncio.open_connection("127.0.0.1", port))
        client._reading = asyncio.create_task(client._read())
        return client

    async def _read(self) -> None:
        with contextlib.suppress(ConnectionError):
            while line := await self.reader.readline():
                self._on_line(json.loads(line))
        if self._waiting:
            self.record.write(self.label, "its connection has ended, with answers still owed")
        for future in self._waiting.values():
            if not future.done():
                future.set_result(Answer("closed", self.record.now()))

    def _on_line(self, message: dict[str, Any]) -> None:
        if message["id"] is None:
            self.record.write(self.label, f"got a line under no id: {message}")
        future = self._waiting.pop(message["id"], None)
        if future is None or future.done():
            return
        now_s = self.record.now()
        error = message.get("error")
        if error is None:
            body = message["result"]
            text = base64.b64decode(body["data"]).decode() if "data" in body else "status"
            future.set_result(Answer("result", now_s, 0, text))
        else:
            kind = "denied" if error["code"] == -32000 else "failed"
            future.set_result(Answer(kind, now_s, (error.get("data") or {}).get("holdoff", 0)))

    async def call(self, method: str, wait_s: float, **params: Any) -> Answer:
        """Sends a request and returns its answer; `none` if there is none after `wait_s`."""
        request_id, message = self._message(method, params)
        if method != "status":
            self.record.write(self.label, f"asks {method} {params['req']} timeout={params['timeout']} ms")
        future = self._await_answer(request_id)
        self.writer.write(message)
        return await self._answer(future, wait_s, "" if method == "status" else params["req"])

    async def call_in_pieces(
        self, method: str, wait_s: float, tail_bytes: int, pause_s: float, **params: Any
    ) -> Answer:
        """Sends a request in two pieces, the last of `tail_bytes`, after a pause; returns its answer."""
        request_id, message = self._message(method, params)
        future = self._await_answer(request_id)
        self.record.write(self.label, f"begins {method} {params['req']} of {len(message)} bytes")
        self.writer.write(message[:-tail_bytes])
        await self.writer.drain()
        await asyncio.sleep(pause_s)
        is_open = not (self.reader.at_eof() or self.writer.is_closing())
        self.writer.write(message[-tail_bytes:])
        await self.writer.drain()
        state = "open" if is_open else "ended by the gateway"
        self.record.write(self.label, f"has written all of {params['req']}, the connection is {state}")
        return await self._answer(future, wait_s, params["req"])

    def _message(self, method: str, params: dict[str, Any]) -> tuple[int, bytes]:
        if self._reading is not None and self._reading.done():
            raise CouldNotRunError("a client's connection had ended before it asked")
        self._last_id += 1
        message: dict[str, Any] = {"jsonrpc": "2.0", "id": self._last_id, "method": method}
        if method != "status":
            data = base64.b64encode(params["data"].encode()).decode()
            message["params"] = params | {"data": data}
        return self._last_id, json.dumps(message).encode() + b"\n"

    def _await_answer(self, request_id: int) -> asyncio.Future[Answer]:
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._waiting[request_id] = future
        return future

    async def _answer(self, future: asyncio.Future[Answer], wait_s: float, name: str) -> Answer:
        try:
            answer = await asyncio.wait_for(future, wait_s)
        except TimeoutError:
            answer = Answer("none", self.record.now())
        if name:
            self.record.write(self.label, f"answer to {name}: {answer.kind} {answer.text.strip()!r}")
        return answer

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


class Proxy:
    """A TCP proxy in front of a port, whose delay each way can be changed; order is kept."""

    def __init__(self, target: int) -> None:
        self._target = target
        self.port = 0
        self.delay_s = 0.0

    async def start(self) -> None:
        """Listens."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._target)
        except OSError:
            writer.transport.abort()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(self._pass_on(reader, far_writer), self._pass_on(far_reader, writer))

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        pieces: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def write() -> None:
            while True:
                due_s, data = await pieces.get()
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                if not data:
                    break
                writer.write(data)
            writer.close()

        writing = asyncio.create_task(write())
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                pieces.put_nowait((time.monotonic() + self.delay_s, data))
        pieces.put_nowait((time.monotonic() + self.delay_s, b""))
        with contextlib.suppress(ConnectionError):
            await writing


class Process:
    """A program of the project, started as a process of its own."""

    def __init__(self, label: str, command: str, folder: Path, environment: dict[str, str]) -> None:
        self.label = label
        self._log = (folder / f"{label}.log").open("w")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env=os.environ | {"TMPDIR": str(folder)} | environment,
            stdin=subprocess.PIPE,
            stdout=self._log,
            stderr=self._log,
        )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self._log.close()


def run_command() -> str:
    """Returns the command of the deploy file that starts one gateway."""
    return str(tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"])


class Case:
    """One play of a case: its folder, its record, and all processes that it has started."""

    def __init__(self, folder: Path) -> None:
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.runs: list[Run] = []
        self.processes: list[Process] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)

    def start_process(self, label: str, command: str, environment: dict[str, str]) -> Process:
        """Starts a process, which is ended with the case."""
        self.record.write(label, "started")
        process = Process(label, command, self.folder, environment)
        self.processes.append(process)
        return process

    def start_gateway(
        self,
        name: str,
        port: int,
        settings: dict[str, Any],
        engines: list[tuple[int, int]],
        coordinator: int | None = None,
        operator: str = "",
    ) -> Process:
        """Starts a gateway on these engines, of which it knows id and port."""
        members = [
            {
                "id": f"s-{engine:08x}",
                "host_port": f"127.0.0.1:{engine_port}",
                "locality": settings["Localities"][0],
                "flavor": settings["Flavors"][0],
                "cell": 0,
                "phase": "in_service",
                "up_since_ms": 0,
            }
            for engine, engine_port in engines
        ]
        configuration: dict[str, Any] = {
            "name": name,
            "listen": f"127.0.0.1:{port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {
                "index": 1,
                "updates": [{"index": 1, "endpoints": {"complete": True, "members": members}}],
            },
            "settings": settings,
        }
        if coordinator is not None:
            configuration["coordinator"] = f"127.0.0.1:{coordinator}"
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(configuration))
        environment = {
            "GW_CONFIG": str(path),
            "GW_NAME": name,
            "GW_LISTEN": f"127.0.0.1:{port}",
            "GW_OPERATOR": "",
        }
        if operator:
            operator_path = self.folder / f"{name}.conf"
            operator_path.write_text(operator)
            environment["GW_OPERATOR"] = str(operator_path)
        return self.start_process(name, run_command(), environment)

    async def start_store(self) -> int:
        """Starts the project's stand-in for the shared store; returns its port."""
        store = self.start_process("store", "exec .venv/bin/python -B -m cresstray.emulators.store", {})
        for _ in range(100):
            text = (self.folder / "store.log").read_text()
            if store.process.poll() is not None:
                break
            if text.endswith("}\n"):
                return int(json.loads(text)["port"])
            await asyncio.sleep(0.1)
        raise CouldNotRunError("the store does not start")

    async def wait_ready(self, port: int, gateway: Process, seconds: float = 30.0) -> None:
        """Waits until a gateway answers `status`."""
        for _ in range(int(seconds / 0.1)):
            if gateway.process.poll() is not None:
                raise CouldNotRunError(f"{gateway.label} ended at its start")
            try:
                client = await Client.connect("status", self.record, port)
                answer = await client.call("status", 2.0)
                client.close()
                if answer.kind == "result":
                    self.record.write(gateway.label, "ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"{gateway.label} is not ready")

    def end(self) -> None:
        """Ends all processes, and keeps their last log lines in the record."""
        for process in self.processes:
            process.end()
        for process in self.processes:
            for line in (self.folder / f"{process.label}.log").read_text().splitlines()[-40:]:
                self.record.write(f"log {process.label}", line[:200])
        self._temporary.cleanup()


def play(folder: Path, script: Callable[[Case], Awaitable[bool]], limit_s: float = 110.0) -> int:
    """Plays a case; `script` returns whether the rule held. Returns the exit code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    case = Case(folder)
    try:
        held = asyncio.run(_play_within(script, case, limit_s))
        case.record.write("verdict", "the rule held" if held else "the rule was broken")
        return HELD if held else BROKEN
    except CouldNotRunError as error:
        case.record.write("verdict", f"the case could not run: {error}")
    except Exception:
        case.record.write("verdict", f"the case could not run: {traceback.format_exc()}")
    finally:
        case.end()
    return COULD_NOT_RUN


async def _play_within(script: Callable[[Case], Awaitable[bool]], case: Case, limit_s: float) -> bool:
    return await asyncio.wait_for(script(case), limit_s)


def main(file: str, script: Callable[[Case], Awaitable[bool]]) -> None:
    """Plays the case of this file and exits with its code."""
    sys.exit(play(Path(file).resolve().parent, script))
