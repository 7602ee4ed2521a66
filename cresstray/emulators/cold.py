"""Engines that fall when they get too much while cold, strangers, and discovery that is wrong.

`python -m cresstray.emulators.cold PLAN` is a process of engines; PLAN is a JSON object of Plan's fields. Its
first line names the ports. On standard input: `tell` prints what ran and fell as one line of JSON, `warm`
ends all warming up, `bar N AT` counts what engine N gets after AT as sent to one that is removed. The end of
standard input ends the process.
"""

from __future__ import annotations

import json
import socket
import struct
import sys
import time
from collections import Counter, deque
from typing import Any

import anyio
import hiredis
import msgspec
from anyio.abc import TaskGroup

from cresstray.emulators.account import Account
from cresstray.emulators.coordinator import Coordinator, Listed
from cresstray.emulators.engine import Engine, Marks
from cresstray.emulators.sockets import Peer, listen, serve

# An engine that fell is up again after so long, cold.
_DOWN_S = 2.0
_FRAME_INTERVAL_S = 1.0
_POLL_INTERVAL_S = 0.02
_RESTART_POLL_INTERVAL_S = 0.05
# A start so long ago that an engine is warm.
_LONG_AGO_S = -1e9
# Kinds of coordinator events.
_COMPLETE = 1
_CHANGE = 2
_EVENT_HEADER = struct.Struct(">IQB")
_EVENT_HEADER_BYTES = 9
_LAST_INDEX = struct.Struct(">Q")


class Plan(msgspec.Struct):
    """What a process of engines holds.

    Attributes:
        engines: How many engines.
        dead: Addresses at which nothing listens.
        strangers: Addresses of another service.
        barred: So many of the last engines are removed by discovery, and answer well.
        cores: Of each engine.
        memory: How long an engine remembers idempotency keys, in seconds.
        bears: Pieces of `work` that the policy plans for on a cold engine within `fall`.
        work: Seconds of work in a piece.
        fall: Seconds over which a cold engine's work counts.
        warm_up: Seconds for which an engine is cold.
    """

    engines: int
    dead: int = 0
    strangers: int = 0
    barred: int = 0
    cores: int = 4
    memory: float = 20.0
    bears: float = 60.0
    work: float = 0.05
    fall: float = 1.0
    warm_up: float = 10.0

    @property
    def falls(self) -> float:
        """Pieces at which an engine falls: three times the spread of their number over what is planned."""
        return float(self.bears + 3 * self.bears**0.5 + 3)


class FragileEngine(Engine):
    """An engine that is cold from its start on, and falls where it gets more than a cold one bears.

    Attributes:
        born: When it started, by the monotonic clock.
        peak: The most work that it got while cold, as a share of what fells it.
        fallen: How often it fell.
        fell_at: When it fell last.
    """

    def __init__(self, label: str, plan: Plan, marks: Marks, account: Account) -> None:
        super().__init__(label, plan.cores, marks, account)
        self._plan = plan
        # When work came, and how many seconds of it.
        self._arrivals: deque[tuple[float, float]] = deque()
        self._arrived_work_s = 0.0
        self.born = time.monotonic()
        self.peak = 0.0
        self.fallen = 0
        self.fell_at = 0.0

    def _ask(self, peer: Peer, name: bytes, fields: bytes, statement: bytes) -> None:
        if not self.alive:
            return  # read together with what made it fall
        super()._ask(peer, name, fields, statement)
        now = time.monotonic()
        if now >= self.born + self._plan.warm_up:
            return
        self._count(now, float(statement.split()[1]) / 1000)
        pieces = self._arrived_work_s / self._plan.work
        self.peak = max(self.peak, pieces / self._plan.falls)
        if pieces > self._plan.falls:
            self.fallen += 1
            self.fell_at = now
            self.die()

    def _count(self, now: float, work_s: float) -> None:
        self._arrivals.append((now, work_s))
        self._arrived_work_s += work_s
        while self._arrivals[0][0] <= now - self._plan.fall:
            self._arrived_work_s -= self._arrivals.popleft()[1]

    def start_again(self) -> None:
        """Listens again, cold."""
        super().start_again()
        self.born = time.monotonic()
        self._arrived_work_s = 0.0
        self._arrivals.clear()

    def warm(self) -> None:
        """Ends its warm-up."""
        self.born = _LONG_AGO_S


class Stranger:
    """Another service at an engine's old address: it answers what nobody asked for.

    Attributes:
        port: Where it listens.
        got: How many requests came, by request class, which it can't know.
    """

    def __init__(self) -> None:
        self._listener = listen()
        self.port: int = self._listener.getsockname()[1]
        self.got: Counter[str] = Counter()

    async def run(self) -> None:
        """Serves until it is cancelled."""
        await serve(self._listener, self._serve)

    async def _serve(self, connection: socket.socket, tasks: TaskGroup) -> None:
        peer = Peer(connection, tasks)
        reader = hiredis.Reader()

        def on_data(data: bytes) -> None:
            reader.feed(data)
            while (message := reader.gets()) is not False:
                if message[0] == b"ASK":
                    self.got[message[2].split(b",")[0].decode().removeprefix("c=")] += 1
            peer.line.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")

        await peer.run(on_data)


class ReturningCoordinator(Coordinator):
    """A coordinator that is down at first; it returns with any index, breaks, and returns."""

    def __init__(self, port: int) -> None:
        self.address = f"127.0.0.1:{port}"
        self._port = port
        self._open: socket.socket | None = None
        self._indexed: list[tuple[int, bytes]] = []
        self._following: dict[Peer, int] = {}

    def up(self, index: int, listed: list[Listed]) -> None:
        """Listens, and begins with the complete list of this index."""
        self._indexed = [(index, self._frame(index, _COMPLETE, listed))]
        self._open = listen(self._port)

    def down(self) -> None:
        """Listens no more, and resets all connections."""
        if self._open is not None:
            anyio.notify_closing(self._open)
            self._open.close()
            self._open = None
        for peer in list(self._following):
            peer.reset()

    def tell(self, *changed: Listed) -> None:
        """Sends a change with the next index."""
        index = self._indexed[-1][0] + 1
        self._indexed.append((index, self._frame(index, _CHANGE, list(changed))))
        for peer in self._following:
            self._catch_up(peer)

    def _catch_up(self, peer: Peer) -> None:
        for _, event in self._indexed[self._following[peer] :]:
            peer.line.write(event)
        self._following[peer] = len(self._indexed)

    async def run(self) -> None:
        """Serves, while it is up, until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_empty_frames)
            while True:
                if self._open is not None:
                    await serve(self._open, self._serve)
                await anyio.sleep(_POLL_INTERVAL_S)

    async def _send_empty_frames(self) -> None:
        while True:
            await anyio.sleep(_FRAME_INTERVAL_S)
            for peer in self._following:
                peer.line.write(_EVENT_HEADER.pack(_EVENT_HEADER_BYTES, self._indexed[-1][0], 0))

    def _first_unknown(self, last_index: int) -> int:
        """Returns the place of the first event after this index; 0 where the index is not one of these."""
        indexes = [index for index, _ in self._indexed]
        return indexes.index(last_index) + 1 if last_index in indexes else 0

    async def _serve(self, connection: socket.socket, tasks: TaskGroup) -> None:
        peer = Peer(connection, tasks)
        received = bytearray()

        def on_data(data: bytes) -> None:
            received.extend(data)
            if len(received) >= _LAST_INDEX.size and peer not in self._following:
                self._following[peer] = self._first_unknown(_LAST_INDEX.unpack_from(received)[0])
                self._catch_up(peer)

        try:
            await peer.run(on_data)
        finally:
            self._following.pop(peer, None)


def _report(engines: list[FragileEngine], strangers: list[Stranger], account: Account) -> dict[str, Any]:
    return {
        "runs": [
            [name, run.engine, run.began, run.ended, run.effect, run.never]
            for name, runs in account.runs.items()
            for run in runs
        ],
        "fallen": sum(engine.fallen for engine in engines),
        "peak": max(engine.peak for engine in engines),
        "late": account.late_sends,
        "got": [engine.got for engine in engines],
        "strangers": sum((one.got for one in strangers), Counter()),
    }


async def _obey(engines: list[FragileEngine], strangers: list[Stranger], account: Account) -> None:
    async for line in anyio.wrap_file(sys.stdin):
        match line.split():
            case ["tell"]:
                print(json.dumps(_report(engines, strangers, account)), flush=True)
            case ["warm"]:
                for engine in engines:
                    engine.warm()
            case ["bar", number, at]:
                engines[int(number)].refused_after = float(at)


async def _restart_fallen(engines: list[FragileEngine]) -> None:
    while True:
        await anyio.sleep(_RESTART_POLL_INTERVAL_S)
        for engine in engines:
            has_fallen = engine.fell_at and not engine.alive
            if has_fallen and time.monotonic() >= engine.fell_at + _DOWN_S:
                engine.start_again()


async def main(plan: Plan) -> None:
    """Runs the engines of a plan until standard input ends."""
    account = Account({}, 0, (0, 0.0, 0.0))
    marks = Marks(plan.memory)
    engines = [FragileEngine(f"engine {number}", plan, marks, account) for number in range(plan.engines)]
    for engine in engines[plan.engines - plan.barred :]:
        engine.refused_after = 0.0
    strangers = [Stranger() for _ in range(plan.strangers)]
    dead = [socket.socket() for _ in range(plan.dead)]
    for one in dead:
        one.bind(("127.0.0.1", 0))  # held, so that nothing else comes to listen there
    ports = {
        "engines": [engine.port for engine in engines],
        "dead": [one.getsockname()[1] for one in dead],
        "strangers": [one.port for one in strangers],
    }
    async with anyio.create_task_group() as tasks:
        for engine in engines:
            tasks.start_soon(engine.run)
        for stranger in strangers:
            tasks.start_soon(stranger.run)
        tasks.start_soon(_restart_fallen, engines)
        print(json.dumps(ports), flush=True)
        await _obey(engines, strangers, account)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main, msgspec.json.decode(sys.argv[1], type=Plan))
