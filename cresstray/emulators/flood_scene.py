"""One gateway beside a flood: its engines, the flood and a client that keeps to the protocol.

The gateway, the engines and the flood are processes of their own. The memory of the gateway is read from
outside, as the platform reads it.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import multiprocessing
import os
import random
import re
import resource
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from dataclasses import asdict, dataclass, field
from multiprocessing.connection import Connection
from pathlib import Path

import hiredis

from cresstray.emulators.floods import FLOODS, FloodRecord, run_flood

_HOST = "127.0.0.1"
_ENGINES = 3
_RESULT_BYTES = 5_900
_REQUEST_INTERVAL_S = 0.1
_REQUEST_TIMEOUT_S = 5.0
# After this time behind its timeout an answer is lost.
_LOST_AFTER_S = 0.5
# A request that was sent so shortly before its idle connection ended is sent again, once.
_CROSSING_S = 0.05
# Every so many requests of the good client come on a connection of their own.
_NEW_CONNECTION_EVERY = 4
_CANCELLATION_SLACK_S = 0.1
_AFTER_FLOOD_S = 1.5
_ROOT = Path(__file__).resolve().parents[2]
# Modules compiled by earlier starts, as `build` of the deploy file does: compiling them takes memory.
_COMPILED = Path(tempfile.gettempdir()) / f"cresstray-compiled-{os.getuid()}"


class _EngineConnection(asyncio.Protocol):
    def __init__(self, runs: list[tuple[str, float]]) -> None:
        self._runs = runs
        self._reader = hiredis.Reader()
        self._open: dict[bytes, asyncio.TimerHandle] = {}

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)
        while (message := self._reader.gets()) is not False:
            self._on_message(*message)

    def _on_message(self, command: bytes, name: bytes, *arguments: bytes) -> None:
        if command == b"ASK":
            self._runs.append((name.decode(), time.monotonic()))
            work_s = int(arguments[1].split()[1]) / 1000
            self._open[name] = asyncio.get_running_loop().call_later(work_s, self._serve, name)
        elif name in self._open:
            self._open.pop(name).cancel()

    def _serve(self, name: bytes) -> None:
        self._open.pop(name, None)
        row = name + b"\t" + b"r" * (_RESULT_BYTES - 20) + b"\t1\n"
        self._transport.write(hiredis.pack_command((name, b"served", b"sheets=1", row)))

    def connection_lost(self, _: Exception | None) -> None:
        for timer in self._open.values():
            timer.cancel()


async def _serve_engines(pipe: Connection) -> None:
    runs: list[tuple[str, float]] = []
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(lambda: _EngineConnection(runs), _HOST, 0) for _ in range(_ENGINES)]
    pipe.send([server.sockets[0].getsockname()[1] for server in servers])
    await loop.run_in_executor(None, pipe.recv)
    pipe.send(runs)


def _engine_process(pipe: Connection) -> None:
    asyncio.run(_serve_engines(pipe))


def _flood_process(
    pipe: Connection, port: int, kind: str, connections: int, seconds: float, seed: int
) -> None:
    pipe.send(asyncio.run(run_flood((_HOST, port), FLOODS[kind], connections, seconds, seed)))


@dataclass
class FloodResult:
    """What was measured; memory in MB of 2**20 bytes, times in seconds.

    Attributes:
        at_rest_mb: resident memory once the gateway was ready.
        peak_mb: VmHWM, the largest resident memory so far, at the end.
        after_mb: resident memory some time after the flood.
        missing: requests of the good client without an answer half a second after their timeout.
        unwanted: attempts that began more than 0.1 s after their client had left.
        repeated: request names that an engine got more than once.
    """

    kind: str
    connections: int
    memory_mb: int
    at_rest_mb: float = 0.0
    peak_mb: float = 0.0
    after_mb: float = 0.0
    cpu_s: float = 0.0
    has_survived: bool = False
    latencies_s: list[float] = field(default_factory=list)
    missing: int = 0
    refused: int = 0
    unwanted: int = 0
    latest_unwanted_s: float = 0.0
    repeated: int = 0
    flood_connections: int = 0
    log: str = ""

    def latency_s(self, share: float) -> float:
        """Returns a quantile of the good client's times; 0 without any."""
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0

    def summary(self) -> dict[str, object]:
        """Returns the figures as JSON values."""
        told = asdict(self)
        for name in ("latencies_s", "log"):
            del told[name]
        told["answers"] = len(self.latencies_s)
        told["median_s"] = round(statistics.median(self.latencies_s), 3) if self.latencies_s else None
        told["p99_s"] = round(self.latency_s(0.99), 3)
        told["worst_s"] = round(max(self.latencies_s, default=0.0), 3)
        return told


def deployment() -> dict[str, object]:
    """The settings of the gateway: one class that may not be repeated, four threads an engine."""
    return {
        "Balancers": 1,
        "Localities": ["east"],
        "Flavors": ["std"],
        "FamilyInfo": {"CpuOfKind": [4], "Dop": [1]},
        "Limits": {"MaxAttempts": 3, "Cancel": True, "ConnectTimeout": 250, "RetryAfter": True},
        "Safety": {},
        "Tenants": [{"Name": "acme"}],
        "Services": [
            {"Name": "lookup", "Effect": "at_most_once", "GoalTime": 1000, "GiveUp": 5000, "Worth": 1}
        ],
    }


def _configuration(engine_ports: list[int], memory_mb: int, descriptors: int) -> dict[str, object]:
    members = [
        {
            "id": f"s-{number + 1:08x}",
            "host_port": f"{_HOST}:{port}",
            "locality": "east",
            "flavor": "std",
            "cell": 0,
            "phase": "in_service",
            "up_since_ms": 0,
        }
        for number, port in enumerate(engine_ports)
    ]
    return {
        "name": "n0",
        "listen": f"{_HOST}:0",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors},
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"complete": True, "members": members}}]},
        "settings": deployment(),
    }


class FloodedGateway:
    """The gateway's process."""

    def __init__(self, folder: Path, configuration: dict[str, object], tree: Path, descriptors: int) -> None:
        path = folder / "config.json"
        path.write_text(json.dumps(configuration))
        self._log_path = folder / "log"
        limit = (descriptors, descriptors)
        with self._log_path.open("w") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "cresstray"],
                cwd=tree,
                env=os.environ
                | {
                    "GW_CONFIG": str(path),
                    "PYTHONPYCACHEPREFIX": str(_COMPILED),
                    "PYTHONDONTWRITEBYTECODE": "",
                },
                stdout=subprocess.DEVNULL,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limit),
            )

    @property
    def log(self) -> str:
        """What the gateway has printed."""
        return self._log_path.read_text()

    async def wait_until_ready(self) -> int:
        """Returns the port that it serves on."""
        async with asyncio.timeout(20):
            while not (found := re.search(r"serves on \S+:(\d+)", self.log)):
                if self.process.poll() is not None:
                    raise RuntimeError(f"the gateway has ended: {self.log[-2000:]}")
                await asyncio.sleep(0.02)
        return int(found[1])

    def memory_mb(self, field_name: str) -> float:
        """Returns VmRSS or VmHWM."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(rf"{field_name}:\s+(\d+)", status)[1]) / 1024

    def cpu_s(self) -> float:
        """Returns the processor time that it has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class _GoodConnection:
    """One connection of the good client, and the requests that wait for their answers on it."""

    def __init__(self, result: FloodResult) -> None:
        self._result = result
        self._waiting: dict[int, asyncio.Future[bool]] = {}
        self._sent_s: dict[int, float] = {}
        self._number = 0
        self.has_ended = False

    async def open(self, port: int) -> None:
        """Connects; raises OSError."""
        reader, self._writer = await asyncio.open_connection(_HOST, port, limit=1 << 20)
        self._reading = asyncio.ensure_future(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while line := await reader.readline():
                message = json.loads(line)
                answered = self._waiting.pop(message.get("id"), None)
                if answered is not None and not answered.done():
                    answered.set_result(True)
                    self._result.refused += "error" in message
        self.has_ended = True
        ended_s = time.monotonic()
        for number, answered in self._waiting.items():
            # A request that crosses the end of an idle connection is sent again, any other one is lost.
            if not answered.done() and ended_s - self._sent_s[number] < _CROSSING_S:
                answered.set_result(False)

    async def ask(self, name: str) -> bool:
        """Returns whether the request was answered; False if it is to be sent again.

        Raises:
            TimeoutError: it was not answered in time.
        """
        self._number += 1
        number = self._number
        params = {
            "req": name,
            "timeout": _REQUEST_TIMEOUT_S * 1000,
            "owner": "acme",
            "data": base64.b64encode(b"run 50 1 1").decode(),
        }
        message = {"jsonrpc": "2.0", "id": number, "method": "lookup", "params": params}
        answered = self._waiting[number] = asyncio.get_running_loop().create_future()
        self._sent_s[number] = time.monotonic()
        self._writer.write(json.dumps(message).encode() + b"\n")
        return await asyncio.wait_for(answered, _REQUEST_TIMEOUT_S + _LOST_AFTER_S)

    def close(self) -> None:
        """Closes the connection."""
        self._reading.cancel()
        self._writer.close()


class GoodClient:
    """Sends a request each tenth of a second, some of them on connections of their own."""

    def __init__(self, port: int, result: FloodResult) -> None:
        self._port = port
        self._result = result
        self._random = random.Random(20261205)

    async def run(self, seconds: float) -> None:
        """Sends requests for this time, and waits for all answers."""
        ends_s = time.monotonic() + seconds
        kept = await self._connect()
        async with asyncio.TaskGroup() as tasks:
            count = 0
            while time.monotonic() < ends_s:
                count += 1
                if kept.has_ended:
                    kept = await self._connect()
                tasks.create_task(self._ask(kept if count % _NEW_CONNECTION_EVERY else None))
                await asyncio.sleep(_REQUEST_INTERVAL_S)
        kept.close()

    async def _connect(self) -> _GoodConnection:
        connection = _GoodConnection(self._result)
        await connection.open(self._port)
        return connection

    async def _ask(self, kept: _GoodConnection | None) -> None:
        """Sends one request, on a new connection without `kept`, and once more if its connection ended."""
        name = f"{self._random.getrandbits(64):016x}"
        start_s = time.monotonic()
        try:
            is_answered = kept is not None and await kept.ask(name)
            if not is_answered:
                connection = await self._connect()
                is_answered = await connection.ask(name)
                connection.close()
        except (OSError, TimeoutError):
            is_answered = False
        if is_answered:
            self._result.latencies_s.append(time.monotonic() - start_s)
        else:
            self._result.missing += 1


@contextlib.asynccontextmanager
async def _engines() -> AsyncIterator[tuple[list[int], Connection]]:
    context = multiprocessing.get_context("spawn")
    pipe, far_pipe = context.Pipe()
    process = context.Process(target=_engine_process, args=(far_pipe,))
    process.start()
    try:
        loop = asyncio.get_running_loop()
        yield await loop.run_in_executor(None, pipe.recv), pipe
    finally:
        process.kill()
        process.join()


async def measure(
    kind: str,
    connections: int,
    memory_mb: int,
    seconds: float,
    seed: int,
    tree: Path = _ROOT,
    descriptors: int = 1024,
    rounds: int = 1,
) -> FloodResult:
    """Floods one gateway, in several rounds if asked, and returns what was measured."""
    result = FloodResult(kind, connections, memory_mb)
    loop = asyncio.get_running_loop()
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        engine_ports, engine_pipe = await stack.enter_async_context(_engines())
        configuration = _configuration(engine_ports, memory_mb, descriptors)
        await _compile(folder, configuration, tree)
        gateway = FloodedGateway(folder, configuration, tree, descriptors)
        stack.callback(_end, gateway.process)
        port = await gateway.wait_until_ready()
        result.at_rest_mb = gateway.memory_mb("VmRSS")
        client = asyncio.ensure_future(GoodClient(port, result).run(seconds * rounds + _AFTER_FLOOD_S))
        left: dict[str, float] = {}
        for number in range(rounds):
            record = await _flood(port, kind, connections, seconds, seed + number)
            left.update(record.left)
            result.flood_connections += record.connections
        await client
        result.has_survived = gateway.process.poll() is None
        if result.has_survived:
            result.peak_mb = gateway.memory_mb("VmHWM")
            result.after_mb = gateway.memory_mb("VmRSS")
            result.cpu_s = gateway.cpu_s()
        engine_pipe.send("end")
        runs = await loop.run_in_executor(None, engine_pipe.recv)
        _check_runs(result, runs, left)
        gateway.process.send_signal(signal.SIGUSR1)
        await asyncio.sleep(0.1)
        result.log = gateway.log
    return result


async def _compile(folder: Path, configuration: dict[str, object], tree: Path) -> None:
    """Starts a gateway once, so that its modules are compiled."""
    gateway = FloodedGateway(folder, configuration, tree, 256)
    try:
        await gateway.wait_until_ready()
    finally:
        _end(gateway.process)


async def _flood(port: int, kind: str, connections: int, seconds: float, seed: int) -> FloodRecord:
    context = multiprocessing.get_context("spawn")
    pipe, far_pipe = context.Pipe()
    process = context.Process(target=_flood_process, args=(far_pipe, port, kind, connections, seconds, seed))
    process.start()
    try:
        record: FloodRecord = await asyncio.get_running_loop().run_in_executor(None, pipe.recv)
    finally:
        process.kill()
        process.join()
    return record


def _check_runs(result: FloodResult, runs: list[tuple[str, float]], left: dict[str, float]) -> None:
    seen: set[str] = set()
    for name, began_s in runs:
        result.repeated += name in seen
        seen.add(name)
        since_s = began_s - left.get(name, began_s)
        if since_s > _CANCELLATION_SLACK_S:
            result.unwanted += 1
            result.latest_unwanted_s = max(result.latest_unwanted_s, since_s)


def _end(process: subprocess.Popen[bytes]) -> None:
    if process.poll() is None:
        process.kill()
    process.wait()
