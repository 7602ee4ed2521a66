"""What background work at its busiest adds to live answers: python -m benchmarks.background [--json].

Gateways beside each other on four engines, with a light load of look-ups. Off: without an operator's
file. On: it has just started with 500 engines kept on disk, all of them on trial (half listen, half
refuse, and are asked again and again), so that there is news at each chance to write, and eight links to
another hall that are dropped as soon as they are made. They get the submissions of the load in turn, so
that whatever else this machine does meets all of them, and each round starts them anew; one more is off
as well and tells how much is noise. Engines and the other hall are a process beside. With `--earlier
REVISION` the on side of that build is played as well.

Two measures: what clients see by the clock, and, by the CPU time of each turn of the gateways' loops,
what an answer waits for turns that have begun, once as its request comes in and once as its reply does.
The second one knows nothing of what else runs on the machine. Exit code 1 where a promise was broken.
"""

from __future__ import annotations

import argparse
import bisect
import io
import itertools
import json
import os
import random
import socket
import statistics
import subprocess
import sys
import tarfile
import tempfile
import time
from pathlib import Path
from typing import Any

import anyio

from cresstray.emulators.account import PROMISES, Account, Asked, Run
from cresstray.emulators.clients import Client, Kind, draw
from cresstray.emulators.coordinator import ZONES, Coordinator, Listed
from cresstray.emulators.engine import Engine, Marks
from cresstray.emulators.sockets import listen
from cresstray.emulators.world import Gateway, settings
from cresstray.membership.snapshot import EndpointEntry as Kept
from cresstray.membership.snapshot import Snapshot
from cresstray.membership.snapshot_files import SnapshotFolder, read_clocks

# Over at once, so that what an answer takes is the gateway's time and the network's.
_KIND = Kind("lookup", 1.0, 0.001, 1, 0.5, 2.0, 1.0, "idempotent")
_RATE, _LIVE, _CORES = 400.0, 4, 16
_KEPT, _PEERS = 500, 8
# Links are made again as often as a file may ask for.
_HALL = """hall hall-a
    gateway g0
link
    retry 10ms
    retry-most 50ms
"""
_REST = 2.2  # beyond the hard stop
_FIRST = 10
# A connection may have 32 open; where the machine stands still for half a second, one would have more.
_CONNECTIONS = 8
_DRAWN = 100_000


def _account() -> Account:
    return Account({_KIND.name: _KIND.effect}, 3, (5, 0.1, 5.0))


# A gateway on asyncio's own loop, each turn of which is timed; uvloop's can't be, and is faster.
_TIMED = """
import asyncio, atexit, json, os, sys, time
import anyio
from cresstray.gateway import startup as start

turns, run = [], anyio.run

class Loop(asyncio.SelectorEventLoop):
    def _process_events(self, events):
        self.begun = time.monotonic(), time.thread_time_ns()
        super()._process_events(events)

    def _run_once(self):
        super()._run_once()
        turns.append((self.begun[0], (time.thread_time_ns() - self.begun[1]) // 1000))

def write():
    with open(os.environ["TURNS"], "w") as file:
        json.dump(turns, file)

atexit.register(write)
anyio.run = lambda call, backend_options: run(call, backend_options={"loop_factory": Loop})
sys.exit(start.run())
"""


class _Timed(Gateway):
    def start(self) -> None:
        env = os.environ | {"GW_CONFIG": str(self.folder / f"{self.name}.json"), "TURNS": self.turns}
        if (self.folder / f"{self.name}.conf").exists():
            env["GW_OPERATOR"] = str(self.folder / f"{self.name}.conf")
        with open(self.folder / f"{self.name}.log", "a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-c", _TIMED], env=env, stderr=log, stdout=log, cwd=self.tree
            )

    @property
    def turns(self) -> str:
        return str(self.folder / f"{self.name}.turns")


def _waits(turns: list[float], seconds: float, chance: random.Random) -> list[float]:
    """What an answer waits that twice meets whatever turn there is: sorted, in microseconds as `turns`."""
    sums = list(itertools.accumulate(turns))

    def one() -> float:
        at = chance.random() * seconds * 1e6
        return sums[bisect.bisect_left(sums, at)] - at if at < sums[-1] else 0.0

    return sorted(one() + one() for _ in range(_DRAWN))


async def _far(count: int) -> None:
    """The other process: all engines, every other kept one not listening, and a hall that drops its links.

    One for all engines: nothing acknowledges that a relay is called back, so that one process's reading lags
    behind another's by what the machine has to do, and a relay that follows would seem to overlap.
    """
    account, marks = _account(), Marks(20.0)
    live = [Engine(f"live {number}", _CORES, marks, account) for number in range(_LIVE)]
    engines = [Engine(f"kept {number}", _CORES, marks, account) for number in range(count)]
    for engine in engines[1::2]:
        engine.die()
    halls = [listen()]
    port = halls[0].getsockname()[1]
    # Each peer of a file is another address; all of 127/8 is this machine.
    for number in range(2, _PEERS + 1):
        halls.append(socket.create_server((f"127.0.0.{number}", port)))
        halls[-1].setblocking(False)
    dropped = 0

    async def drop(hall: socket.socket) -> None:
        nonlocal dropped
        while True:
            await anyio.wait_readable(hall)
            hall.accept()[0].close()
            dropped += 1

    async with anyio.create_task_group() as tasks:
        for engine in (*live, *engines[::2]):
            tasks.start_soon(engine.run)
        for hall in halls:
            tasks.start_soon(drop, hall)
        print(
            json.dumps(
                {
                    "live": [engine.port for engine in live],
                    "kept": [engine.port for engine in engines],
                    "hall": port,
                }
            ),
            flush=True,
        )
        await anyio.wait_readable(sys.stdin)
        tasks.cancel_scope.cancel()
    runs = [
        (name, run.engine, run.began, run.ended, run.effect, run.never)
        for name, made in account.runs.items()
        for run in made
    ]
    print(json.dumps({"runs": runs, "late": account.late_sends, "dropped": dropped}), flush=True)


class Bench:
    def __init__(
        self, folder: Path, given: argparse.Namespace, far: dict[str, Any], tree: Path | None
    ) -> None:
        self._folder, self._given, self._far, self._tree = folder, given, far, tree
        self.account = _account()
        # One that is off as well tells by how much two that are the same differ on this machine.
        self._sides = ["off", "same", "on"] + ["earlier"] * (tree is not None)
        self.took: dict[str, list[list[float]]] = {side: [] for side in self._sides}
        self.turns: dict[str, list[float]] = {side: [] for side in self._sides}
        self.cpu: dict[str, list[float]] = {side: [] for side in self._sides}
        self.counts: dict[str, dict[str, int]] = {side: {} for side in self._sides}

    def _write(self, gateway: Gateway, coordinator: Coordinator, on: bool) -> None:
        given = settings([_KIND], len(self._sides), _CORES)
        (self._folder / f"{gateway.name}.json").write_text(
            json.dumps(
                {
                    "name": gateway.name,
                    "listen": f"127.0.0.1:{gateway.port}",
                    "seed": "7",
                    "settings": given,
                    "coordinator": coordinator.address,
                    "known": coordinator.known,
                }
            )
        )
        operator = self._folder / f"{gateway.name}.conf"
        operator.unlink(missing_ok=True)
        if not on:
            return
        kept = Path(tempfile.mkdtemp(dir=self._folder))
        operator.write_text(
            f"kept {kept}\n{_HALL}"
            + "".join(
                f"peer hall-b 127.0.0.{number}:{self._far['hall']}\n" for number in range(1, _PEERS + 1)
            )
        )
        at, folder = read_clocks(), SnapshotFolder(str(kept), gateway.name)
        assert folder.lock()
        # A higher number than the coordinator's: what that names is a part, and the others stay remembered.
        # In the zone that is not ours, so that live work stays where it is without them.
        folder.write(
            Snapshot(
                owner=gateway.name,
                wall_us=at.wall_us,
                boot_id=at.boot_id,
                uptime_us=at.uptime_us,
                index=100,
                is_handed_over=False,
                zones=list(ZONES),
                instance_types=given["Flavors"],
                tombstones=[],
                latencies=[],
                limits=[],
                request_names=[],
                endpoints=[
                    Kept(1000 + number, "127.0.0.1", port, False, 1, 0, 0, 1, 0)
                    for number, port in enumerate(self._far["kept"])
                ],
            )
        )
        folder.unlock()

    async def run(self) -> None:
        coordinator = Coordinator([Listed(number + 1, port) for number, port in enumerate(self._far["live"])])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(coordinator.run)
            for number in range(self._given.rounds):
                # Each begins a round as often as the others.
                turned = number % len(self._sides)
                await self._round(self._sides[turned:] + self._sides[:turned], number, coordinator)
            tasks.cancel_scope.cancel()

    async def _round(self, sides: list[str], number: int, coordinator: Coordinator) -> None:
        gateways = {
            side: _Timed(side, self._folder, tree=self._tree if side == "earlier" else None) for side in sides
        }
        asked: dict[str, list[Asked]] = {side: [] for side in sides}
        for side, gateway in gateways.items():
            self._write(gateway, coordinator, side in ("on", "earlier"))
            (self._folder / f"{side}.log").unlink(missing_ok=True)
            gateway.start()
        try:
            for gateway in gateways.values():
                await gateway.ready()
            cpu = {side: gateway.cpu() for side, gateway in gateways.items()}
            async with anyio.create_task_group() as tasks:
                clients = {
                    side: [
                        Client(side, side, ("127.0.0.1", gateway.port), self.account, tasks)
                        for _ in range(_CONNECTIONS)
                    ]
                    for side, gateway in gateways.items()
                }
                began = anyio.current_time()
                load = draw([_KIND], [(0.0, _RATE)], self._given.seconds, self._given.seed * 1000 + number)
                for count, one in enumerate(load):
                    await anyio.sleep(max(0.0, began + one.at - anyio.current_time()))
                    side = sides[count % len(sides)]
                    client = clients[side][count // len(sides) % _CONNECTIONS]
                    asked[side].append(await client.ask(one))
                until = anyio.current_time()
                spent = {side: gateway.cpu() - cpu[side] for side, gateway in gateways.items()}
                with anyio.move_on_after(_REST):
                    while not all(one.answers for side in sides for one in asked[side]):
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
        finally:
            for gateway in gateways.values():
                await gateway.stop()
        for side in sides:
            # The first ones are the start's own: connections that are made, code that runs first.
            self.took[side].append(
                sorted(one.answers[0][0] - one.asked for one in asked[side][_FIRST:] if one.answers)
            )
            self.cpu[side].append(spent[side] / self._given.seconds)
            with open(gateways[side].turns) as file:
                self.turns[side] += [took for at, took in json.load(file) if began <= at < until]
            self._count(side)

    def _count(self, side: str) -> None:
        counts = self.counts[side]
        for line in (self._folder / f"{side}.log").read_text().splitlines():
            name, _, amount = line.partition(" counter: ")[2].rpartition(" ")
            if amount.isdigit():
                most = name.endswith(("longest us", "latest us", "slowest write us"))
                before = counts.get(name, 0)
                counts[name] = max(before, int(amount)) if most else before + int(amount)


def _share(sorted_times: list[float], share: float) -> float:
    """In microseconds."""
    return 1e6 * sorted_times[min(len(sorted_times) - 1, int(share * len(sorted_times)))]


def _told(bench: Bench, given: argparse.Namespace) -> dict[str, Any]:
    told: dict[str, Any] = {}
    for side, rounds in bench.took.items():
        waits = _waits(bench.turns[side], given.seconds * given.rounds, random.Random(given.seed))
        pooled, counts = sorted(one for times in rounds for one in times), bench.counts[side]
        told[side] = {
            "answers": len(pooled),
            "p50_us": round(_share(pooled, 0.5)),
            "p99_us": round(_share(pooled, 0.99)),
            "p99_us_by_round": [round(_share(times, 0.99)) for times in rounds],
            "p999_us": round(_share(pooled, 0.999)),
            "wait_p50_us": round(waits[_DRAWN // 2]),
            "wait_p99_us": round(waits[_DRAWN * 99 // 100]),
            "longest_turn_us": max(bench.turns[side]),
            "cpu_share": round(statistics.fmean(bench.cpu[side]), 4),
            "trials": counts.get("membership: probes", 0),
            "writes": counts.get("membership: snapshot writes", 0),
            "background": {
                name.removeprefix("background: "): amount
                for name, amount in counts.items()
                if name.startswith("background")
            },
            "broken": {
                name: amount for name, amount in counts.items() if name.startswith(("broken", "faults"))
            },
        }
    off = told["off"]
    for side in [side for side in bench.took if side != "off"]:
        one = told[side]
        one["added_wait_p99_us"] = one["wait_p99_us"] - off["wait_p99_us"]
        one["added_p99_us"] = one["p99_us"] - off["p99_us"]
        by_round = [on - without for on, without in zip(one["p99_us_by_round"], off["p99_us_by_round"])]
        one["added_p99_us_median_of_rounds"] = round(statistics.median(by_round))
    return told


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=5.0, help="of each round")
    parser.add_argument("--rounds", type=int, default=6)
    parser.add_argument("--earlier", metavar="REVISION")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--far", type=int, help=argparse.SUPPRESS)
    given = parser.parse_args(words)
    if given.far:
        anyio.run(_far, given.far)
        return 0
    with (
        tempfile.TemporaryDirectory() as folder,
        tempfile.TemporaryDirectory() as before,
        subprocess.Popen(
            [sys.executable, "-m", "benchmarks.background", "--far", str(_KEPT)],
            text=True,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        ) as far,
    ):
        tree = None
        if given.earlier:
            packed = subprocess.run(
                ["git", "archive", given.earlier, "cresstray"], check=True, capture_output=True
            )
            with tarfile.open(fileobj=io.BytesIO(packed.stdout)) as archive:
                archive.extractall(before, filter="data")
            tree = Path(before)
        bench = Bench(Path(folder), given, json.loads(far.stdout.readline()), tree)
        anyio.run(bench.run)
        until = time.monotonic()
        far.stdin.close()
        elsewhere = json.loads(far.stdout.readline())
    for name, *run in elsewhere["runs"]:
        bench.account.runs[name].append(Run(*run))
    bench.account.late_sends = elsewhere["late"]
    on_kept = sum(run[1].startswith("kept") for run in elsewhere["runs"])
    told = _told(bench, given) | {
        "runs_on_kept": on_kept,
        "links_dropped": elsewhere["dropped"],
        "promises": bench.account.promises(until),
    }
    for side in bench.took:
        one = told[side]
        print(
            f"{side:8} p50 {one['p50_us']} us, p99 {one['p99_us']} us, by round {one['p99_us_by_round']}, "
            f"CPU {one['cpu_share']:.3f}, trials {one['trials']}, writes {one['writes']}"
        )
        print(
            f"{'':8} waits for turns of the loop: p99 {one['wait_p99_us']} us, longest turn "
            f"{one['longest_turn_us']} us",
            flush=True,
        )
        if side != "off":
            print(
                f"{'':8} added wait at p99 {one['added_wait_p99_us']} us; by the clock "
                f"{one['added_p99_us']} us, median of the rounds' "
                f"{one['added_p99_us_median_of_rounds']} us",
                flush=True,
            )
    if given.json:
        print(json.dumps(told))
    return int(any(told["promises"].values()) or set(told["promises"]) != set(PROMISES))


if __name__ == "__main__":
    sys.exit(main())
