"""Two halls on loopback: engines, a coordinator and gateways in each, loads, and the network between them.

The gateways are processes of their own, started as the platform starts one; all else runs here.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from cresstray.emulators.account import Account
from cresstray.emulators.clients import Client, Drawn, Kind
from cresstray.emulators.coordinator import ZONES, Coordinator, Listed
from cresstray.emulators.engine import Engine, Marks
from cresstray.emulators.network import Network
from cresstray.emulators.sockets import listen
from cresstray.transport.streams import connect

# As the users' tariffs are, with all times shorter by some fifteen so that a scene takes seconds.
KINDS = [
    Kind("lookup", 0.80, 0.020, 1, 0.30, 1.5, 1.0, "idempotent"),
    Kind("report", 0.145, 0.170, 2, 0.80, 3.0, 5.0, "idempotent", 2),
    Kind("manifest-load", 0.04, 0.200, 2, 1.20, 4.0, 10.0, "deduplicated"),
    Kind("ledger-post", 0.015, 0.100, 1, 1.00, 3.0, 10.0, "at_most_once"),
]
_TICKS = os.sysconf("SC_CLK_TCK")
_ATTEMPTS, _BUDGET = 3, (5, 0.1, 5.0)
_MEMORY = 20.0


def settings(kinds: list[Kind], gateways: int, cores: int, can_cancel: bool = True) -> dict:
    """A gateway's settings, under the names that the platform gives them."""
    return {
        "Balancers": gateways,
        "Localities": list(ZONES),
        "Flavors": ["std"],
        "Zone": 0,
        "FamilyInfo": {"CpuOfKind": [cores], "Dop": [kind.threads for kind in kinds]},
        "Limits": {
            "MaxAttempts": _ATTEMPTS,
            "Cancel": can_cancel,
            "RetryAfter": True,
            "MaxRetryAfter": 1000,
            "StreamsPerConn": 32,
            "ConnectTimeout": 250,
            "ConnIdle": 15000,
        },
        "Safety": {
            "DrainGrace": 1000,
            "BudgetWindow": 1000 * _BUDGET[2],
            "FreeResends": _BUDGET[0],
            "ResendRatio": _BUDGET[1],
            "WarmUp": 1000,
            "ColdShare": 0.5,
            "OverloadFactor": 2,
            "Fall": 1000,
        },
        "Report": {"Source": "inline", "Names": ["concurrent", "load_share"]},
        "Tenants": [{"Name": "office"}],
        "Services": [
            {
                "Name": kind.name,
                "Effect": kind.effect,
                "GoalTime": kind.soft * 1000,
                "GiveUp": kind.hard * 1000,
                "Worth": kind.payoff,
                "LateValue": 0.3,
                **({"Group": "all", "KeyTtl": _MEMORY * 1000} if kind.effect == "deduplicated" else {}),
            }
            for kind in kinds
        ],
    }


# Below the ports that systems give to outgoing connections; each process begins at another place.
_ports = itertools.count(os.getpid() * 61)


def _free_port() -> int:
    while True:
        port = 15000 + next(_ports) % 16000
        try:
            listen(port).close()
            return port
        except OSError:
            continue


@dataclass
class Gateway:
    """One gateway's process."""

    name: str
    folder: Path
    port: int = field(default_factory=_free_port)
    link: int = field(default_factory=_free_port)
    process: subprocess.Popen | None = None
    spent: float = 0.0  # CPU seconds of earlier processes
    clients: list[Client] = field(default_factory=list)
    tree: Path | None = None  # of another build of the program, in place of this one

    @property
    def control(self) -> str:
        return str(self.folder / f"{self.name}.sock")

    def start(self) -> None:
        env = os.environ | {"GW_CONFIG": str(self.folder / f"{self.name}.json"), "GW_NAME": self.name}
        operator = self.folder / f"{self.name}.conf"
        if operator.exists():
            env["GW_OPERATOR"] = str(operator)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.control)
        with open(self.folder / f"{self.name}.log", "a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "cresstray"], env=env, stderr=log, stdout=log, cwd=self.tree
            )

    def cpu(self) -> float:
        """Seconds of CPU so far."""
        if not self.lives():
            return self.spent
        with open(f"/proc/{self.process.pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        return self.spent + (int(fields[11]) + int(fields[12])) / _TICKS

    def memory(self) -> int:
        """Bytes resident at most so far."""
        with open(f"/proc/{self.process.pid}/status") as file:
            return next(int(line.split()[1]) * 1024 for line in file if line.startswith("VmHWM"))

    def lives(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        self.spent = self.cpu()
        self.process.kill()
        self.process.wait()
        for client in self.clients:
            client.gateway_died()

    async def stop(self) -> None:
        if not self.lives():
            return
        self.spent = self.cpu()
        self.process.send_signal(signal.SIGTERM)
        with anyio.move_on_after(6):
            while self.process.poll() is None:
                await anyio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def ready(self) -> None:
        with anyio.fail_after(20):
            while True:
                try:
                    (await connect("127.0.0.1", self.port)).close()
                    return
                except OSError:
                    await anyio.sleep(0.02)


@dataclass
class Hall:
    name: str
    engines: list[Engine]
    coordinator: Coordinator
    gateways: list[Gateway]
    network: dict[str, Network]  # into this hall, by gateway
    listed: dict[Engine, Listed]
    next_id: int = 1


@contextlib.asynccontextmanager
async def running(gateways: list[Gateway]) -> AsyncIterator[None]:
    """All of them ready, and told to end behind it, whatever happened meanwhile."""
    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.ready()
        yield
    finally:
        with anyio.CancelScope(shield=True):
            async with anyio.create_task_group() as stops:
                for gateway in gateways:
                    stops.start_soon(gateway.stop)


class World:
    """`crossing` off: the gateways get no operator's file, and are two halls that share nothing.

    `tunnel`, for comparison: each hall's list names the far engines too, reached through the network.
    """

    def __init__(
        self,
        folder: Path,
        crossing: bool = True,
        gateways: int = 2,
        engines: int = 4,
        cores: int = 4,
        kinds: list[Kind] = KINDS,
        link: str = "",
        most: int = 10_000,
        tunnel: bool = False,
        can_cancel: bool = True,
    ) -> None:
        self._folder, self._crossing = folder, crossing
        self.account = Account({kind.name: kind.effect for kind in kinds}, _ATTEMPTS, _BUDGET)
        self.marks = Marks(_MEMORY)
        self.cores = cores
        self.halls: dict[str, Hall] = {}
        self._tasks: TaskGroup
        self._tunnels: dict[Engine, Network] = {}
        for place, name in enumerate(("hall-a", "hall-b")):
            made = [
                Engine(f"{name} engine {number}", cores, self.marks, self.account, most)
                for number in range(engines)
            ]
            listed = {
                engine: Listed(100 * place + number + 1, engine.port) for number, engine in enumerate(made)
            }
            ways = [Gateway(f"g{name[-1]}{number}", folder) for number in range(gateways)]
            self.halls[name] = Hall(
                name,
                made,
                Coordinator(list(listed.values())),
                ways,
                {one.name: Network(one.link) for one in ways},
                listed,
                100 * place + engines + 1,
            )
        if tunnel:
            self._dig()
        for hall in self.halls.values():
            self._write(hall, settings(kinds, gateways * (1 + tunnel), cores, can_cancel), link)

    def _dig(self) -> None:
        for hall in self.halls.values():
            for engine in self.other(hall).engines:
                self._tunnels[engine] = Network(engine.port)
        for hall in self.halls.values():
            far = self.other(hall)
            hall.coordinator = Coordinator(
                list(hall.listed.values())
                + [self._through(engine, far.listed[engine]) for engine in far.engines]
            )

    def _through(self, engine: Engine, listed: Listed) -> Listed:
        return Listed(listed.id, self._tunnels[engine].port, listed.state, listed.started, 1)

    def _list(self, hall: Hall, *engines: Engine) -> None:
        hall.coordinator.tell(*(hall.listed[engine] for engine in engines))
        if self._tunnels:
            self.other(hall).coordinator.tell(
                *(self._through(engine, hall.listed[engine]) for engine in engines)
            )

    def other(self, hall: Hall) -> Hall:
        return next(one for one in self.halls.values() if one is not hall)

    def _write(self, hall: Hall, given: dict, link: str) -> None:
        for number, gateway in enumerate(hall.gateways):
            (self._folder / f"{gateway.name}.json").write_text(
                json.dumps(
                    {
                        "name": gateway.name,
                        "listen": f"127.0.0.1:{gateway.port}",
                        "seed": f"{number + 1:016x}",
                        "coordinator": hall.coordinator.address,
                        "known": hall.coordinator.known,
                        "settings": given,
                    }
                )
            )
            if self._crossing:
                far = self.other(hall)
                (self._folder / f"{gateway.name}.conf").write_text(
                    f"hall {hall.name}\n    gateway {gateway.name}\n    listen 127.0.0.1:{gateway.link}\n"
                    f"    control {gateway.control}\n{link}"
                    + "".join(
                        f"peer {far.name} 127.0.0.1:{network.port}\n" for network in far.network.values()
                    )
                )

    @contextlib.asynccontextmanager
    async def up(self):  # noqa: ANN201, an asynchronous context of this world
        async with anyio.create_task_group() as self._tasks:
            for hall in self.halls.values():
                for part in (*hall.engines, hall.coordinator):
                    self._tasks.start_soon(part.run)
            for network in self.networks():
                self._tasks.start_soon(network.run)
            gateways = [gateway for hall in self.halls.values() for gateway in hall.gateways]
            async with running(gateways):
                yield self
            self._tasks.cancel_scope.cancel()

    def client(self, hall: str, gateway: int = 0) -> Client:
        one = self.halls[hall].gateways[gateway]
        client = Client(hall, one.name, ("127.0.0.1", one.port), self.account, self._tasks)
        one.clients.append(client)
        return client

    async def load(self, hall: str, drawn: list[Drawn]) -> None:
        """Asks all of it when its time comes, over some connections to each of the hall's gateways."""
        began = anyio.current_time()
        gateways = self.halls[hall].gateways
        clients = [[self.client(hall, number)] for number in range(len(gateways))]
        for count, one in enumerate(drawn):
            await anyio.sleep(max(0.0, began + one.at - anyio.current_time()))
            at = count % len(gateways)
            # The front notices a gateway that is down; its clients are spread over the others.
            if not gateways[at].lives():
                at = next((other for other, gateway in enumerate(gateways) if gateway.lives()), at)
            client = next((one for one in clients[at] if one.room()), None)
            if client is None:
                client = self.client(hall, at)
                clients[at].append(client)
            with contextlib.suppress(OSError):
                await client.ask(one)

    async def play(
        self, loads: dict[str, list[Drawn]], script: list[tuple[float, Callable[[], None]]], rest: float
    ) -> None:
        """All loads at once, and each step of the script at its time; then some seconds for what is open."""
        async with anyio.create_task_group() as tasks:
            for hall, drawn in loads.items():
                tasks.start_soon(self.load, hall, drawn)
            began = anyio.current_time()
            for at, step in sorted(script, key=lambda one: one[0]):
                await anyio.sleep(max(0.0, began + at - anyio.current_time()))
                step()
        await anyio.sleep(rest)

    # What happens to halls and to the network between them.

    def lose(self, hall: str, count: int) -> None:
        """Engines die; the list says so a little later."""
        place = self.halls[hall]
        dying = [engine for engine in place.engines if engine.alive][:count]
        for engine in dying:
            engine.die()

        async def tell() -> None:
            await anyio.sleep(0.3)
            for engine in dying:
                if not engine.alive:
                    place.listed[engine].state = "terminated"
            self._list(place, *dying)

        self._tasks.start_soon(tell)

    def restore(self, hall: str) -> None:
        """They start again, under new ids at the old addresses."""
        place = self.halls[hall]
        for engine in place.engines:
            if not engine.alive:
                engine.start_again()
                place.next_id += 1
                place.listed[engine] = Listed(place.next_id, engine.port)
                self._list(place, engine)

    def drain(self, hall: str, number: int, grace: float = 1.0) -> None:
        place = self.halls[hall]
        engine = place.engines[number]
        place.listed[engine].state = "terminating"
        engine.refused_after = anyio.current_time() + grace + 0.05
        self._list(place, engine)

    def networks(self) -> list[Network]:
        links = [network for hall in self.halls.values() for network in hall.network.values()]
        return links + list(self._tunnels.values())

    def cut(self) -> None:
        for network in self.networks():
            network.cut()

    def silence(self) -> None:
        """Connections stay open, and nothing comes through."""
        for network in self.networks():
            network.silent.update(("there", "back"))

    def heal(self) -> None:
        for network in self.networks():
            network.heal()

    def delay(self, seconds: float) -> None:
        """One way."""
        for network in self.networks():
            network.delay = seconds

    def cpu(self) -> float:
        return sum(gateway.cpu() for hall in self.halls.values() for gateway in hall.gateways)

    def counters(self) -> dict[str, int]:
        """Of all gateways, as they printed them at their ends."""
        counted: dict[str, int] = {}
        for log in self._folder.glob("*.log"):
            for line in log.read_text().splitlines():
                _, _, told = line.partition(" counter: ")
                name, _, amount = told.rpartition(" ")
                if name and amount.isdigit():
                    counted[name] = counted.get(name, 0) + int(amount)
        return counted
