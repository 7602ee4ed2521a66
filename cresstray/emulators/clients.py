"""Clients that speak JSON-RPC: a load with payoffs, each submission entered in the account as it goes."""

from __future__ import annotations

import json
import random
import socket
from base64 import b64encode
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from cresstray.emulators.account import Account, Asked
from cresstray.emulators.sockets import Peer
from cresstray.transport.streams import CONNECTION_ENDED, connect


@dataclass(frozen=True)
class Kind:
    """One tariff as its clients ask for it; times in seconds."""

    name: str
    share: float
    work: float  # of all threads
    threads: int
    soft: float
    hard: float
    payoff: float
    effect: str
    pages: int = 1


@dataclass(frozen=True)
class Drawn:
    """One submission of a load, drawn ahead so that each run of a scenario asks the same."""

    at: float
    name: str
    kind: Kind
    work: float
    estimate: float


def draw(kinds: list[Kind], rate: list[tuple[float, float]], seconds: float, seed: int) -> list[Drawn]:
    """Poisson arrivals; `rate`: from when on, so many a second."""
    rng, at, drawn = random.Random(seed), 0.0, []
    while True:
        now = [one for since, one in rate if since <= at][-1]
        at += rng.expovariate(now)
        if at >= seconds:
            return drawn
        kind = rng.choices(kinds, [one.share for one in kinds])[0]
        # Widely spread, as in the users' brief: a gamma of shape 2, with a mean of one.
        work = kind.work * rng.gammavariate(2, 0.5)
        drawn.append(
            Drawn(
                at, f"{rng.getrandbits(64):016x}", kind, max(0.002, work), work * rng.lognormvariate(0, 0.3)
            )
        )


class Client:
    """One connection to one gateway, made again when it ends."""

    def __init__(
        self, hall: str, gateway: str, address: tuple[str, int], account: Account, tasks: TaskGroup
    ) -> None:
        self._hall, self._gateway, self._address = hall, gateway, address
        self._account, self._tasks = account, tasks
        self._peer: Peer | None = None
        self._open: dict[int, Asked] = {}
        self._number = 0

    async def connect(self) -> None:
        made: socket.socket = await connect(*self._address)
        self._peer = Peer(made, self._tasks)
        self._tasks.start_soon(self._read, self._peer)

    def room(self) -> bool:
        return len(self._open) < 32

    async def ask(self, drawn: Drawn) -> Asked:
        if self._peer is None:
            await self.connect()
        kind = drawn.kind
        asked = Asked(
            drawn.name,
            self._hall,
            self._gateway,
            kind.name,
            kind.payoff,
            anyio.current_time(),
            drawn.work,
            kind.threads,
            kind.soft,
            kind.hard,
        )
        self._account.asked[drawn.name] = asked
        self._number += 1
        self._open[self._number] = asked
        statement = f"run {drawn.work * 1000:.3f} {kind.threads} {kind.pages}"
        params = {
            "req": drawn.name,
            "timeout": kind.hard * 1000,
            "owner": "office",
            "ms": drawn.estimate * 1000,
            "data": b64encode(statement.encode()).decode(),
        }
        if kind.effect == "deduplicated":
            params["opkey"] = drawn.name * 2
        self.say({"jsonrpc": "2.0", "id": self._number, "method": kind.name, "params": params})
        return asked

    def withdraw(self, asked: Asked) -> None:
        number = next((number for number, one in self._open.items() if one is asked), None)
        if number is not None:
            asked.let_go = True
            del self._open[number]
            self.say({"jsonrpc": "2.0", "method": "withdraw", "params": {"id": number}})

    def say(self, message: dict) -> None:
        if self._peer is not None:
            self._peer.line.write(json.dumps(message).encode() + b"\n")

    def close(self) -> None:
        if self._peer is not None:
            self._peer.scope.cancel()

    async def _read(self, peer: Peer) -> None:
        buffer = bytearray()

        def take(data: bytes) -> None:
            buffer.extend(data)
            *lines, rest = bytes(buffer).split(b"\n")
            buffer[:] = rest
            for line in lines:
                self._take(json.loads(line))

        try:
            await peer.run(take)
        except CONNECTION_ENDED:
            pass
        if self._peer is peer:
            self._peer = None

    def _take(self, message: dict) -> None:
        asked = self._open.get(message["id"])
        if asked is None:
            return
        how = (
            "fulfilled"
            if "result" in message
            else "denied"
            if message["error"]["code"] == -32000
            else "abandoned"
        )
        asked.answers.append((anyio.current_time(), how))

    def gateway_died(self) -> None:
        """Nothing is owed by it any more; the next submission takes a new connection."""
        for asked in self._open.values():
            asked.let_go = asked.let_go or not asked.answers
        self._open.clear()
        self._peer = None
