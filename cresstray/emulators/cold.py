"""Engines that fall over when they are pushed cold, strangers at their addresses, a register that is wrong.

`python -m cresstray.emulators.cold PLAN` is a process of engines; PLAN is a JSON object of Plan's fields. Its
first line tells the ports. On standard input: `tell` brings what ran and fell as one line of JSON, `warm`
ends all coldness, `bar N AT` counts what engine N gets after AT as sent to one that is gone. The end of
standard input ends the process.
"""

from __future__ import annotations

import json
import socket
import struct
import sys
import time
from collections import Counter, deque

import anyio
import hiredis
import msgspec
from anyio.abc import TaskGroup

from cresstray.emulators.account import Account
from cresstray.emulators.coordinator import Coordinator, Listed
from cresstray.emulators.engine import Engine, Marks
from cresstray.emulators.sockets import Peer, listen, serve

# An engine that fell is up again after so long, cold.
_DOWN = 2.0


class Plan(msgspec.Struct):
    """`bears`: pieces of `work` seconds that a cold engine is planned for in `fall` seconds."""

    engines: int
    dead: int = 0  # addresses at which nothing listens
    strangers: int = 0  # addresses of another service
    barred: int = 0  # of the engines, the last so many are gone by the register, and answer well
    cores: int = 4
    memory: float = 20.0
    bears: float = 60.0
    work: float = 0.05
    fall: float = 1.0
    warm_up: float = 10.0

    @property
    def falls(self) -> float:
        """Pieces at which it falls: three times the spread of their number over what is planned for."""
        return self.bears + 3 * self.bears**0.5 + 3


class Fragile(Engine):
    """Cold from its start on; it falls where it gets more than a cold one bears."""

    def __init__(self, label: str, plan: Plan, marks: Marks, account: Account) -> None:
        super().__init__(label, plan.cores, marks, account)
        self._plan, self.born = plan, time.monotonic()
        self._pushed: deque[tuple[float, float]] = deque()  # when, and seconds of work
        self._sum = 0.0
        self.peak, self.fallen, self.fell_at = 0.0, 0, 0.0

    def _ask(self, peer: Peer, name: bytes, fields: bytes, statement: bytes) -> None:
        if not self.alive:
            return  # read with what made it fall
        super()._ask(peer, name, fields, statement)
        now, plan = time.monotonic(), self._plan
        if now >= self.born + plan.warm_up:
            return
        self._pushed.append((now, float(statement.split()[1]) / 1000))
        self._sum += self._pushed[-1][1]
        while self._pushed[0][0] <= now - plan.fall:
            self._sum -= self._pushed.popleft()[1]
        self.peak = max(self.peak, self._sum / plan.work / plan.falls)
        if self._sum / plan.work > plan.falls:
            self.fallen, self.fell_at = self.fallen + 1, now
            self.die()

    def start_again(self) -> None:
        super().start_again()
        self.born, self._sum = time.monotonic(), 0.0
        self._pushed.clear()

    def warm(self) -> None:
        self.born = -1e9


class Stranger:
    """Another service at an engine's old address: it answers what nobody asked for."""

    def __init__(self) -> None:
        self._listener = listen()
        self.port: int = self._listener.getsockname()[1]
        self.got: Counter[str] = Counter()  # by tariff, which it can't know

    async def run(self) -> None:
        await serve(self._listener, self._serve)

    async def _serve(self, made: socket.socket, tasks: TaskGroup) -> None:
        peer, reader = Peer(made, tasks), hiredis.Reader()

        def take(data: bytes) -> None:
            reader.feed(data)
            while (message := reader.gets()) is not False:
                if message[0] == b"ASK":
                    self.got[message[2].split(b",")[0].decode().removeprefix("c=")] += 1
            peer.line.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")

        await peer.run(take)


class Register(Coordinator):
    """A register that is down at first; it returns with any number, breaks, and returns."""

    def __init__(self, port: int) -> None:
        self.address, self._port = f"127.0.0.1:{port}", port
        self._open: socket.socket | None = None
        self._told: list[tuple[int, bytes]] = []
        self._following: dict[Peer, int] = {}

    def up(self, number: int, listed: list[Listed]) -> None:
        """It answers, and begins with the whole list of this number."""
        self._told = [(number, self._frame(number, 1, listed))]
        self._open = listen(self._port)

    def down(self) -> None:
        if self._open is not None:
            anyio.notify_closing(self._open)
            self._open.close()
            self._open = None
        for peer in list(self._following):
            peer.reset()

    def tell(self, *changed: Listed) -> None:
        number = self._told[-1][0] + 1
        self._told.append((number, self._frame(number, 2, list(changed))))
        for peer in self._following:
            self._catch_up(peer)

    def _catch_up(self, peer: Peer) -> None:
        for _, event in self._told[self._following[peer] :]:
            peer.line.write(event)
        self._following[peer] = len(self._told)

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._beat)
            while True:
                if self._open is not None:
                    await serve(self._open, self._serve)
                await anyio.sleep(0.02)

    async def _beat(self) -> None:
        while True:
            await anyio.sleep(1)
            for peer in self._following:
                peer.line.write(struct.pack(">IQB", 9, self._told[-1][0], 0))

    async def _serve(self, made: socket.socket, tasks: TaskGroup) -> None:
        peer, said = Peer(made, tasks), bytearray()

        def take(data: bytes) -> None:
            said.extend(data)
            if len(said) >= 8 and peer not in self._following:
                # Who knows the first of these, and no more than there are, hears of the others only.
                last = struct.unpack_from(">Q", said)[0]
                at = (
                    [number for number, _ in self._told].index(last) + 1
                    if any(number == last for number, _ in self._told)
                    else 0
                )
                self._following[peer] = at
                self._catch_up(peer)

        try:
            await peer.run(take)
        finally:
            self._following.pop(peer, None)


async def _hear(engines: list[Fragile], strangers: list[Stranger], account: Account) -> None:
    async for line in anyio.wrap_file(sys.stdin):
        match line.split():
            case ["tell"]:
                print(
                    json.dumps(
                        {
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
                    ),
                    flush=True,
                )
            case ["warm"]:
                for engine in engines:
                    engine.warm()
            case ["bar", number, at]:
                engines[int(number)].refused_after = float(at)


async def _raise(engines: list[Fragile]) -> None:
    while True:
        await anyio.sleep(0.05)
        for engine in engines:
            if engine.fell_at and not engine.alive and time.monotonic() >= engine.fell_at + _DOWN:
                engine.start_again()


async def main(plan: Plan) -> None:
    account, marks = Account({}, 0, (0, 0.0, 0.0)), Marks(plan.memory)
    engines = [Fragile(f"engine {number}", plan, marks, account) for number in range(plan.engines)]
    for engine in engines[plan.engines - plan.barred :]:
        engine.refused_after = 0.0
    strangers = [Stranger() for _ in range(plan.strangers)]
    dead = [socket.socket() for _ in range(plan.dead)]
    for one in dead:
        one.bind(("127.0.0.1", 0))  # held, so that nobody else comes to listen there
    async with anyio.create_task_group() as tasks:
        for part in (*engines, *strangers):
            tasks.start_soon(part.run)
        tasks.start_soon(_raise, engines)
        print(
            json.dumps(
                {
                    "engines": [engine.port for engine in engines],
                    "dead": [one.getsockname()[1] for one in dead],
                    "strangers": [one.port for one in strangers],
                }
            ),
            flush=True,
        )
        await _hear(engines, strangers, account)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main, msgspec.json.decode(sys.argv[1], type=Plan))
