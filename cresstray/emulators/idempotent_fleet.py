"""Gateways that share a store of marks, clients that ask again under the same mark, and what ran twice.

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

MARKED = "manifest-load"
# Of the repeats so many come within a tenth of the end of the engines' memory, where the guard is tried most.
_AT_THE_END = 0.25


def draw_again(
    kinds: list[Kind], rate: float, seconds: float, repeats: int, memory: float, seed: int
) -> tuple[list[Drawn], dict[str, str]]:
    """A load, and behind each of its marked submissions `repeats` more of its mark.

    They come 0 to 6 times `memory` after it, whatever it came to. The second: the mark of each, by name.
    """
    first = draw(kinds, [(0.0, rate)], seconds, seed)
    rng, drawn, mark_of = random.Random(f"again {seed}"), list(first), {}
    for one in first:
        if one.kind.name != MARKED:
            continue
        mark_of[one.name] = one.name * 2
        for _ in range(repeats):
            after = (
                memory * rng.uniform(0.9, 1.1) if rng.random() < _AT_THE_END else rng.uniform(0, 6 * memory)
            )
            again = replace(one, at=one.at + after, name=f"{rng.getrandbits(64):016x}")
            mark_of[again.name] = one.name * 2
            drawn.append(again)
    return sorted(drawn, key=lambda one: one.at), mark_of


def ran_again(account: Account, mark_of: Mapping[str, str]) -> int:
    """Runs of a mark beyond its first, by the engines' account."""
    ran: Counter[str] = Counter()
    for name, runs in account.runs.items():
        if name in mark_of:
            ran[mark_of[name]] += sum(run.effect for run in runs)
    return sum(count - 1 for count in ran.values() if count > 1)


def payoff(account: Account, mark_of: Mapping[str, str]) -> float:
    """The share that was earned. What one mark stands for is one piece of work, whoever is told of it."""
    worth: dict[str, float] = {}
    earned: dict[str, float] = {}
    for one in account.asked.values():
        piece = mark_of.get(one.name, one.name)
        worth[piece] = one.payoff
        earned[piece] = max(earned.get(piece, 0.0), one.payoff * one.in_time())
    return sum(earned.values()) / sum(worth.values())


class MarkClient(Client):
    """`mark_of` and `tenant_of` by the submission's name, for those that are not as usual."""

    mark_of: Mapping[str, str] = {}
    tenant_of: Mapping[str, str] = {}

    def say(self, message: dict) -> None:
        name = message["params"].get("req")
        if name in self.mark_of:
            message["params"]["opkey"] = self.mark_of[name]
        if name in self.tenant_of:
            message["params"]["owner"] = self.tenant_of[name]
        super().say(message)


class SharedStore:
    """One store as a process, over its ends and starts; a copy `lag` ms behind it, if that is told."""

    def __init__(self, lag: int | None = None) -> None:
        self.primary = StoreProcess()
        self.copy = StoreProcess() if lag is not None else None
        self._before: list[list] = []  # the accounts of what has ended
        if self.copy is not None:
            self.copy.tell(f"lag {lag}")
            self.copy.tell(f"follow 127.0.0.1:{self.primary.control}")

    def __enter__(self) -> SharedStore:
        return self

    def __exit__(self, *_: object) -> None:
        for one in (self.primary, self.copy):
            if one is not None and one.process.poll() is None:
                one.kill()

    def section(self, lines: str = "") -> str:
        """Of the operator's file; `lines`: further ones, each indented."""
        ports = [one.port for one in (self.primary, self.copy) if one is not None]
        return (
            f"store\n    addresses {' '.join(f'127.0.0.1:{port}' for port in ports)}\n"
            f"    tariffs {MARKED}\n{lines}"
        )

    async def tell(self, line: str, which: StoreProcess | None = None) -> Any:
        return await anyio.to_thread.run_sync((which or self.primary).tell, line)

    async def kill(self) -> list[dict]:
        """What it held then, which is all that it had acknowledged."""
        # Danger: what it acknowledged between the copy and its death would be lost.
        await self.tell("freeze")
        copy = await self.tell("copy")
        self._before += (await self.tell("account all"))["all"]
        await anyio.to_thread.run_sync(self.primary.kill)
        return copy

    async def start(self, copy: list[dict] | None = None) -> None:
        """At the same port; without `copy` it is empty."""
        await anyio.to_thread.run_sync(self.primary.start, copy)

    async def fail_over(self) -> int:
        """The primary dies, its copy takes over; how many writes it had not got."""
        await self.kill()
        lost = (await self.tell("promote", self.copy))["lost"]
        self.primary, self.copy = self.copy, None
        return lost

    async def asked(self) -> list[tuple[str, str]]:
        """Each command that concerned a mark, with its key: the round trips of submissions and outcomes."""
        told = self._before + (await self.tell("account all"))["all"]
        marks = codec.record_key("cresstray", b"").decode()
        return [(name, key) for _, _, name, key, _ in told if key.startswith(marks)]


class MarkedFleet(Fleet):
    """Gateways g1.., none of them under rules; `shared` None: they have no store.

    `network`: each engine is reached through a way of `mesh`, from "gateways" to its label.
    """

    def __init__(
        self,
        folder: Path,
        shared: SharedStore | None,
        memory: float,
        gateways: int = 3,
        engines: int = 3,
        cores: int = 4,
        store_lines: str = "",
        network: bool = False,
    ) -> None:
        super().__init__(folder, keepers=0, gateways=gateways, engines=engines, cores=cores, on=False)
        self._shared, self._store_lines, self._memory = shared, store_lines, memory
        self._network = network
        for service in self._given["Services"]:
            if "KeyTtl" in service:
                service["KeyTtl"] = memory * 1000
        self.mark_of: dict[str, str] = {}
        self.tenant_of: dict[str, str] = {}

    def _write(self) -> None:
        super()._write()
        for name, gateway in self.gateways.items() if self._shared is not None else ():
            path = self._folder / f"{name}.conf"
            path.write_text(self._shared.section(self._store_lines))
            gateway.env["GW_OPERATOR"] = str(path)

    async def _begin_engines(self) -> list[Listed]:
        listed = await super()._begin_engines()
        if self._network:
            for label, one in zip(self.engines, listed):
                one.port = self.mesh.way("gateways", label, one.port)
        self.listed = listed
        return listed

    def list_none(self) -> None:
        """The engines are gone by the list; they run on."""
        for one in self.listed:
            one.state = "terminated"
        self.halls[HALL].coordinator.tell(*self.listed)

    def list_again(self) -> None:
        """All engines, under new ids."""
        self.listed = [Listed(one.id + len(self.listed), one.port) for one in self.listed]
        self.halls[HALL].coordinator.tell(*self.listed)

    def client(self, hall: str, gateway: int = 0) -> MarkClient:
        one = self.halls[hall].gateways[gateway]
        client = MarkClient(hall, one.name, ("127.0.0.1", one.port), self.account, self._tasks)
        client.mark_of, client.tenant_of = self.mark_of, self.tenant_of
        one.clients.append(client)
        return client
