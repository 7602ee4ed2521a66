"""Gateways that share a store of idempotency records, clients that repeat requests, and what ran twice.

Engines and the store are processes of their own. Times in seconds, the store's own in milliseconds.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

import anyio.to_thread

from cresstray.emulators.account import Account
from cresstray.emulators.clients import Client, Drawn, Kind, draw
from cresstray.emulators.coordinator import Listed
from cresstray.emulators.fleet.processes import HALL, Fleet
from cresstray.emulators.store_process import StoreProcess
from cresstray.idempotency import codec

GUARDED_CLASS = "manifest-load"
# Share of the repeated requests that come close to the end of the engines' window, where the guard is tried
# most.
_SHARE_AT_WINDOW_END = 0.25
# How close, in windows.
_WINDOW_END = (0.9, 1.1)
# Until when the others come, in windows.
_LAST_REPEAT = 6


def draw_repeated_load(
    kinds: list[Kind], rate: float, seconds: float, repeats: int, window_s: float, seed: int
) -> tuple[list[Drawn], dict[str, str]]:
    """Returns a load, with so many repeats of each guarded request, and the idempotency key of each by name.

    The repeats come 0 to 6 windows after the first request, whatever became of it.
    """
    first = draw(kinds, [(0.0, rate)], seconds, seed)
    chance = random.Random(f"again {seed}")
    drawn = list(first)
    idempotency_key_of: dict[str, str] = {}
    for request in first:
        if request.kind.name != GUARDED_CLASS:
            continue
        key = request.name * 2
        idempotency_key_of[request.name] = key
        for _ in range(repeats):
            delay_s = _draw_repeat_delay(chance, window_s)
            repeat = replace(request, at=request.at + delay_s, name=f"{chance.getrandbits(64):016x}")
            idempotency_key_of[repeat.name] = key
            drawn.append(repeat)
    return sorted(drawn, key=lambda request: request.at), idempotency_key_of


def _draw_repeat_delay(chance: random.Random, window_s: float) -> float:
    if chance.random() < _SHARE_AT_WINDOW_END:
        return window_s * chance.uniform(*_WINDOW_END)
    return chance.uniform(0, _LAST_REPEAT * window_s)


def count_repeated_executions(account: Account, idempotency_key_of: Mapping[str, str]) -> int:
    """Returns the executions of each key beyond its first, by the engines' account."""
    executions: Counter[str] = Counter()
    for name, runs in account.runs.items():
        if name in idempotency_key_of:
            executions[idempotency_key_of[name]] += sum(run.effect for run in runs)
    return sum(count - 1 for count in executions.values() if count > 1)


def earned_share(account: Account, idempotency_key_of: Mapping[str, str]) -> float:
    """Returns the share of the value that was earned.

    One key stands for one piece of work, whoever got it.
    """
    values: dict[str, float] = {}
    earned: dict[str, float] = {}
    for request in account.asked.values():
        work = idempotency_key_of.get(request.name, request.name)
        values[work] = request.payoff
        earned[work] = max(earned.get(work, 0.0), request.payoff * request.in_time())
    return sum(earned.values()) / sum(values.values())


class IdempotentClient(Client):
    """A client whose requests have other keys or tenants than usual, by the request's name."""

    idempotency_key_of: Mapping[str, str] = {}
    tenant_of: Mapping[str, str] = {}

    def say(self, message: dict[str, Any]) -> None:
        """Sends a message."""
        parameters = message["params"]
        name = parameters.get("req")
        if name in self.idempotency_key_of:
            parameters["opkey"] = self.idempotency_key_of[name]
        if name in self.tenant_of:
            parameters["owner"] = self.tenant_of[name]
        super().say(message)


class SharedStore:
    """One store as a process, over its ends and starts, and a replica where a lag is given."""

    def __init__(self, lag_ms: int | None = None) -> None:
        self.primary = StoreProcess()
        self.replica = StoreProcess() if lag_ms is not None else None
        self._former_accounts: list[list[Any]] = []  # of processes that have ended
        if self.replica is not None:
            self.replica.tell(f"lag {lag_ms}")
            self.replica.tell(f"follow 127.0.0.1:{self.primary.control}")

    def __enter__(self) -> SharedStore:
        return self

    def __exit__(self, *_: object) -> None:
        for process in (self.primary, self.replica):
            if process is not None and process.process.poll() is None:
                process.kill()

    def operator_section(self, lines: str = "") -> str:
        """Returns the section of the operator's file, with further lines, each indented."""
        ports = [process.port for process in (self.primary, self.replica) if process is not None]
        addresses = " ".join(f"127.0.0.1:{port}" for port in ports)
        return f"store\n    addresses {addresses}\n    tariffs {GUARDED_CLASS}\n{lines}"

    async def tell(self, line: str, process: StoreProcess | None = None) -> Any:
        """Sends a line to the control port, the primary's if no other is given."""
        return await anyio.to_thread.run_sync((process or self.primary).tell, line)

    async def kill(self) -> list[dict[str, Any]]:
        """Kills the primary; returns what it held then, which is all that it had acknowledged."""
        # Frozen first: what it acknowledged between the copy and its death would be lost.
        await self.tell("freeze")
        content: list[dict[str, Any]] = await self.tell("copy")
        self._former_accounts += (await self.tell("account all"))["all"]
        await anyio.to_thread.run_sync(self.primary.kill)
        return content

    async def start(self, content: list[dict[str, Any]] | None = None) -> None:
        """Starts the primary again at the same port, empty or with this content."""
        await anyio.to_thread.run_sync(self.primary.start, content)

    async def fail_over(self) -> int:
        """Kills the primary and promotes the replica; returns how many writes that had not received."""
        assert self.replica is not None, "no replica to fail over to"
        await self.kill()
        lost: int = (await self.tell("promote", self.replica))["lost"]
        self.primary = self.replica
        self.replica = None
        return lost

    async def record_commands(self) -> list[tuple[str, str]]:
        """Returns each command on a record, with its key: the round trips of requests and reports."""
        lines = self._former_accounts + (await self.tell("account all"))["all"]
        prefix = codec.record_key("cresstray", b"").decode()
        return [(name, key) for _, _, name, key, _ in lines if key.startswith(prefix)]


class IdempotentFleet(Fleet):
    """Gateways g1.., none of them under a fleet's configuration, and their store, if there is one.

    With `network` each engine is reached through a way of `mesh`, from "gateways" to its label.
    """

    def __init__(
        self,
        folder: Path,
        shared: SharedStore | None,
        window_s: float,
        gateways: int = 3,
        engines: int = 3,
        cores: int = 4,
        store_lines: str = "",
        network: bool = False,
    ) -> None:
        super().__init__(folder, keepers=0, gateways=gateways, engines=engines, cores=cores, on=False)
        self._shared = shared
        self._store_lines = store_lines
        self._memory = window_s
        self._network = network
        for service in self._given["Services"]:
            if "KeyTtl" in service:
                service["KeyTtl"] = window_s * 1000
        self.idempotency_key_of: dict[str, str] = {}
        self.tenant_of: dict[str, str] = {}

    def _write(self) -> None:  # type: ignore[override]  # as Fleet has it
        super()._write()
        if self._shared is None:
            return
        for name, gateway in self.gateways.items():
            path = self._folder / f"{name}.conf"
            path.write_text(self._shared.operator_section(self._store_lines))
            gateway.env["GW_OPERATOR"] = str(path)

    async def _begin_engines(self) -> list[Listed]:
        listed = await super()._begin_engines()
        if self._network:
            for label, engine in zip(self.engines, listed):
                engine.port = self.mesh.way("gateways", label, engine.port)
        self.listed = listed
        return listed

    def list_no_engines(self) -> None:
        """Removes all engines from the list; they run on."""
        for engine in self.listed:
            engine.state = "terminated"
        self.halls[HALL].coordinator.tell(*self.listed)

    def relist_engines(self) -> None:
        """Lists all engines again, under new ids."""
        self.listed = [Listed(engine.id + len(self.listed), engine.port) for engine in self.listed]
        self.halls[HALL].coordinator.tell(*self.listed)

    def client(self, hall: str, gateway: int = 0) -> IdempotentClient:
        """Returns a new client of a gateway."""
        process = self.halls[hall].gateways[gateway]
        address = ("127.0.0.1", process.port)
        client = IdempotentClient(hall, process.name, address, self.account, self._tasks)
        client.idempotency_key_of = self.idempotency_key_of
        client.tenant_of = self.tenant_of
        process.clients.append(client)
        return client
