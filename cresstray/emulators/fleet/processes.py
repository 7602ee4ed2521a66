"""Keepers, gateways and engines as processes, each keeper and gateway with its own way to every keeper.

What can happen to one: killed, frozen and woken, started with its disk or without, its disk full.
"""

from __future__ import annotations

import contextlib
import json
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from cresstray.emulators.account import Account, Asked, Run
from cresstray.emulators.clients import Client, Kind
from cresstray.emulators.coordinator import Coordinator, Listed
from cresstray.emulators.fleet import stepped
from cresstray.emulators.fleet.accounts import Spells
from cresstray.emulators.fleet.network import Mesh
from cresstray.emulators.fleet.operators import Keys
from cresstray.emulators.fleet.schedule import PROCESS, Fault
from cresstray.emulators.world import KINDS, Gateway, Hall, World, settings
from cresstray.transport.streams import connect

# Two kinds that rules forbid and allow all the time: small, and of no payoff, so that a load's payoff is the
# same with and without rules. Submissions of the second are another tenant's.
CANARY = Kind("canary", 0.15, 0.005, 1, 0.5, 1.5, 0.0, "idempotent")
VISIT = Kind("visit", 0.15, 0.005, 1, 0.5, 1.5, 0.0, "idempotent")
FLEET_KINDS = [*KINDS, CANARY, VISIT]
# The smallest size a file may have on a full disk: nothing that exists grows, and no new page is written.
_FULL = 512
# How often who hears whom is looked at, in seconds.
_LOOK = 0.02
HALL, NAME = "fleet", "bench"


def tenant(asked: Asked) -> str:
    return "guest" if asked.tariff == VISIT.name else "office"


class FleetClient(Client):
    def say(self, message: dict) -> None:
        if message["method"] == VISIT.name:
            message["params"]["owner"] = "guest"
        super().say(message)


@dataclass
class Process(Gateway):
    """A keeper or a gateway: `words` for what is started, `env` beside what this process has."""

    words: list[str] = field(default_factory=list)
    env: dict[str, str] = field(default_factory=dict)
    frozen: bool = False
    serves: bool = False  # since it was last started, it has taken a connection
    module: str = "cresstray"
    steps: tuple[str, ...] | None = None  # words for its stand-in of a wall clock; None: it has the real one

    @property
    def wall(self) -> Path:
        return self.folder / f"{self.name}.wall"

    def step(self, seconds: float) -> None:
        """Its wall clock is off by so much from now on."""
        stepped.step(self.wall, seconds)

    def start(self) -> None:
        self.frozen = self.serves = False
        with open(self.folder / f"{self.name}.log", "a") as log:
            # Its lines go through a pipe: a full disk is the log's and the database's, not what it prints.
            said = subprocess.Popen(["cat"], stdin=subprocess.PIPE, stdout=log)
        program = [self.module]
        if self.steps is not None:
            if not self.wall.exists():
                stepped.begin(self.wall)
            program = ["cresstray.emulators.fleet.stepped", *self.steps, str(self.wall)]
        self.process = subprocess.Popen(
            [sys.executable, "-O", "-m", *program, *self.words],
            env=os.environ | self.env,
            stderr=said.stdin,
            stdout=said.stdin,
        )
        said.stdin.close()

    def lives(self) -> bool:
        """As a front sees it: one that is frozen doesn't answer."""
        return super().lives() and not self.frozen

    async def serving(self) -> bool:
        """Whether it lives, and is past the time that a process takes to start."""
        if self.lives() and not self.serves:
            with contextlib.suppress(OSError):
                (await connect("127.0.0.1", self.port)).close()
                self.serves = True
        return self.lives() and self.serves

    def freeze(self) -> None:
        if self.lives():
            self.process.send_signal(signal.SIGSTOP)
            self.frozen = True
            for client in self.clients:
                client.gateway_died()  # nobody waits for what a frozen one holds

    def wake(self) -> None:
        if self.frozen:
            self.process.send_signal(signal.SIGCONT)
            self.frozen = False

    def kill(self) -> None:
        if self.process.poll() is None:
            super().kill()
        self.frozen = False

    def full(self, is_full: bool = True) -> None:
        """No file of it may grow beyond a few bytes, from now on, or any may again."""
        if super().lives():
            _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (_FULL if is_full else hard, hard))

    async def stop(self) -> None:
        self.wake()
        await super().stop()


class Fleet(World):
    """Keepers k1.., gateways g1.. and engines; `on` False: gateways without rules, and no keepers."""

    def __init__(
        self,
        folder: Path,
        keepers: int = 5,
        gateways: int = 6,
        engines: int = 6,
        cores: int = 4,
        on: bool = True,
        lines: str = "    most 8\n",
        tls: bool = False,
        steps: tuple[str, ...] | None = None,
        crowd: int = 0,
    ) -> None:
        """`lines`: of the file's section `fleet`, each indented. `tls`: links to keepers are sealed.

        `steps`: all have wall clocks that can be stepped, and these words for them (stepped.py).
        `crowd`: so many followers more, in one process that its user starts (crowd.py).
        """
        self.keys = Keys(folder / "keys") if tls else None
        self._folder, self.on, self.cores, self._lines = folder, on, cores, lines
        self._more = ""  # sections of each file of a fleet
        self._given = given = settings(FLEET_KINDS, gateways, cores) | {
            "Tenants": [{"Name": "office"}, {"Name": "guest"}]
        }
        safety = given["Safety"]
        self.account = Account(
            {kind.name: kind.effect for kind in FLEET_KINDS},
            given["Limits"]["MaxAttempts"],
            (safety["FreeResends"], safety["ResendRatio"], safety["BudgetWindow"] / 1000),
        )
        self._memory = max(one.get("KeyTtl", 0) for one in given["Services"]) / 1000
        names = [f"k{number + 1}" for number in range(keepers * on)]
        self.keepers = {
            name: Process(
                name, folder, words=["keeper", str(folder / f"{name}.conf"), "--name", name], steps=steps
            )
            for name in names
        }
        self.gateways = {
            name: Process(name, folder, steps=steps) for name in (f"g{one + 1}" for one in range(gateways))
        }
        self.crowd = (
            Process(
                "crowd",
                folder,
                words=[str(folder / "crowd.conf"), str(crowd)],
                module="cresstray.emulators.fleet.crowd",
            )
            if crowd
            else None
        )
        self.engines = [f"engine {number}" for number in range(engines)]
        self.mesh = Mesh(names)
        self.strangers: set[str] = set()  # lost their disk: no voters until they are taken in again
        self.majority = Spells()  # whether a majority of keepers was connected
        self.silent = {name: Spells() for name in self.gateways}  # whether a gateway hears no keeper of it
        self.missing = {name: Spells() for name in self.gateways}  # whether it doesn't hear them all
        self._stand_in: subprocess.Popen
        self._runs: list[list] = []
        self._tunnels = {}

    def engine_id(self, label: str) -> str:
        return f"s-{self.engines.index(label) + 1:08x}"

    def port(self, source: str, target: str) -> int:
        return self.mesh.ways[source, target].port if source != target else self.keepers[target].port

    def process(self, name: str) -> Process:
        return self.keepers.get(name) or self.gateways[name]

    def database(self, name: str) -> Path:
        return self._folder / f"{name}.db"

    def _write(self) -> None:
        followers = (*self.gateways, *("crowd",) * bool(self.crowd))
        for source in (*self.keepers, *followers):
            for target, keeper in self.keepers.items():
                if source != target:
                    self.mesh.way(source, target, keeper.port)
        for name in (*self.keepers, *followers) if self.on else ():
            (self._folder / f"{name}.conf").write_text(
                f"fleet {NAME}\n{self._lines}{self._more}"
                + (f"folder {self._folder}\n" if name in self.keepers else f"member {name}\n")
                + "".join(f"keeper {other} 127.0.0.1:{self.port(name, other)}\n" for other in self.keepers)
                + (self.keys.section(name) if self.keys else "")
            )
        coordinator = self.halls[HALL].coordinator
        for number, (name, gateway) in enumerate(self.gateways.items()):
            (self._folder / f"{name}.json").write_text(
                json.dumps(
                    {
                        "name": name,
                        "listen": f"127.0.0.1:{gateway.port}",
                        "seed": f"{number + 1:016x}",
                        "coordinator": coordinator.address,
                        "known": coordinator.known,
                        "settings": self._given,
                    }
                )
            )
            gateway.env["GW_CONFIG"] = str(self._folder / f"{name}.json")
            if self.on:
                gateway.env["GW_OPERATOR"] = str(self._folder / f"{name}.conf")

    @contextlib.asynccontextmanager
    async def up(self):  # noqa: ANN201, an asynchronous context of this fleet
        listed = await self._begin_engines()
        self.halls = {HALL: Hall(HALL, [], Coordinator(listed), list(self.gateways.values()), {}, {})}
        if self.keys is not None:
            names = (*self.keepers, *self.gateways, "operator", *(f"watch-{name}" for name in self.keepers))
            await anyio.run_process(
                [sys.executable, "-m", "cresstray", "keys", str(self.keys.folder), *names]
            )
        self._write()
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self.halls[HALL].coordinator.run)
            self._tasks.start_soon(self.mesh.run)
            everyone = [*self.keepers.values(), *self.gateways.values()]
            ends = [*everyone, *[self.crowd] * bool(self.crowd)]
            try:
                async with anyio.create_task_group() as founds:
                    for name in self.keepers:
                        founds.start_soon(self.found, name)
                for one in everyone:
                    one.start()
                for one in everyone:
                    await one.ready()
                self._tasks.start_soon(self._look)
                yield self
            finally:
                with anyio.CancelScope(shield=True):
                    async with anyio.create_task_group() as stops:
                        for one in ends:
                            stops.start_soon(one.stop)
                self._end_engines()
                self._tasks.cancel_scope.cancel()

    async def _begin_engines(self) -> list[Listed]:
        """Starts them, and tells what the coordinator lists."""
        self._stand_in = subprocess.Popen(
            [
                sys.executable,
                "-O",
                "-m",
                "cresstray.emulators.fleet.engines",
                str(len(self.engines)),
                str(self.cores),
                str(self._memory),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        ports = json.loads(await anyio.to_thread.run_sync(self._stand_in.stdout.readline))
        return [Listed(number + 1, port) for number, port in enumerate(ports)]

    def _end_engines(self) -> None:
        self._stand_in.stdin.close()
        self._stand_in.wait()
        self._stand_in.stdout.close()

    async def found(self, name: str) -> None:
        """The file of a keeper of the first generation."""
        words = self.keepers[name].words
        await anyio.run_process([sys.executable, "-O", "-m", "cresstray", *words, "--found"])

    def lose_disk(self, name: str) -> None:
        for file in self._folder.glob(f"{name}.db*"):
            file.unlink()

    def client(self, hall: str, gateway: int = 0) -> Client:
        one = self.halls[hall].gateways[gateway]
        client = FleetClient(hall, one.name, ("127.0.0.1", one.port), self.account, self._tasks)
        one.clients.append(client)
        return client

    async def _look(self) -> None:
        while True:
            group = self.mesh.majority(
                [
                    name
                    for name, one in self.keepers.items()
                    if name in self.strangers or not await one.serving()
                ]
            )
            now = anyio.current_time()
            self.majority.look(bool(group), now)
            for name, spells in self.silent.items():
                heard = any(self.mesh.hears(name, one) for one in group)
                spells.look(not (heard and self.gateways[name].lives()), now)
                self.missing[name].look(
                    len(group) < len(self.keepers) or not all(self.mesh.hears(name, one) for one in group),
                    now,
                )
            await anyio.sleep(_LOOK)

    def out(self, gateway: str, at: float) -> bool:
        """Whether it may have been out of touch: frozen, dead or unheard a while before, or just now back.

        A lease lasts 2 s, and one that was given just before a cut is over by then; who is back hears of what
        is new within a second pause between tries, and what it takes to be given it.
        """
        return self.silent[gateway].held(at - 1.5, at)

    def looking(self, gateway: str, at: float) -> bool:
        """Whether a keeper was missing of late: it may have been the one this gateway followed.

        It is found silent within a lease; two more that are silent as well take two seconds each.
        """
        return self.missing[gateway].held(at - 6, at)

    async def runs(self) -> dict[str, list[Run]]:
        """All relays so far, by the engines' own account; also entered into `account`."""

        def tell() -> list:
            self._stand_in.stdin.write("tell\n")
            self._stand_in.stdin.flush()
            return json.loads(self._stand_in.stdout.readline())

        self.account.runs.clear()
        for name, *told in await anyio.to_thread.run_sync(tell):
            self.account.runs[name].append(Run(*told))
        return self.account.runs


class Faults:
    """What befalls a fleet now. What is over is healed, and what is not is done again at once."""

    def __init__(self, fleet: Fleet, admit: Callable[[str], Awaitable[None]]) -> None:
        """`admit`: an operator takes in a keeper that comes back without its disk."""
        self._fleet, self._admit = fleet, admit
        self._now: list[Fault] = []

    async def all(self, faults: Iterable[Fault]) -> None:
        """Each at its time from now on, and until the last is over."""
        began = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for fault in faults:
                await anyio.sleep(max(0.0, began + fault.at - anyio.current_time()))
                tasks.start_soon(self.befall, fault)

    async def befall(self, fault: Fault) -> None:
        if fault.kind in PROCESS:
            await self._process(fault, self._fleet.process(fault.who[0]))
            return
        self._now.append(fault)
        self._network(fault)
        await anyio.sleep(fault.until - fault.at)
        self._now.remove(fault)
        self._fleet.mesh.heal()
        for other in self._now:
            if other.kind != "hold":
                self._network(other)

    async def _process(self, fault: Fault, one: Process) -> None:
        if fault.kind == "freeze":
            one.freeze()
        elif fault.kind == "full":
            one.full()
        else:
            one.kill()
        if fault.kind == "disk":
            self._fleet.lose_disk(one.name)
            self._fleet.strangers.add(one.name)
        await anyio.sleep(fault.until - fault.at)
        if fault.kind == "full":
            one.full(False)
        one.wake()
        if not one.lives():
            one.start()
        if fault.kind == "disk":
            await self._admit(one.name)
            self._fleet.strangers.discard(one.name)

    def _network(self, fault: Fault) -> None:
        mesh, who = self._fleet.mesh, fault.who
        if fault.kind == "split":
            mesh.split([who, {name for pair in mesh.ways for name in pair} - set(who)])
        elif fault.kind == "one-way":
            mesh.silence(who[0], who[1:], hears=False)
        elif fault.kind == "slow":
            mesh.slow(0.08, who=who[0])
        elif fault.kind == "thin":
            mesh.slow(0.005, 20_000, who[0])
        elif fault.kind == "cut":
            mesh.cut(who[0])
        elif fault.kind == "silent":
            mesh.silence(who[0])
        else:
            for one in who:
                for way in mesh.of(one):
                    way.hold()
