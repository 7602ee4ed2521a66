"""Gateways that start without discovery: python -m benchmarks.cold_start [--seconds S] [--json].

Four gateways and two dozen engines serve, and end. Then, for each age of the snapshots that they left, all
start at once: the power is back, every engine is cold and falls when it gets too much, discovery is down for
S seconds. After that it returns with a list that is older than theirs, breaks, and returns with the true one,
which removes an engine that answers well. The exit code is 1 where a promise was broken or a target missed.
"""

from __future__ import annotations

import contextlib
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any

import anyio
import click
import msgspec

from benchmarks.bound import bound
from cresstray.emulators.account import PROMISES, Account, Run
from cresstray.emulators.clients import Drawn, draw
from cresstray.emulators.cold import Plan, ReturningCoordinator
from cresstray.emulators.coordinator import Listed
from cresstray.emulators.world import KINDS, Gateway, Hall, World, _free_port, running, settings
from cresstray.membership import snapshot as record
from cresstray.membership.reconciliation import Tombstone
from cresstray.membership.snapshot_files import SnapshotFolder
from cresstray.simulation.cold import seconds_to_target

GATEWAYS = 4
ENGINES = 24
CORES = 4
# What is requested, as a share of all cores. A cold engine is planned for at three quarters of its cores, of
# which the policy uses seven tenths; half of a week-old list is wrong.
LOAD = 0.2
# Seconds for which an engine is cold, and over which its work counts for a fall.
WARM_UP = 10.0
FALL = 1.0
MEAN = sum(kind.share * kind.work for kind in KINDS)
# By age in seconds, the share of a list that is not as it was, a quarter each of it: removed, moved to
# another address, its address given to another service, started anew. A week is a tenth of the engines
# replaced a day; the others are more than that, so that of two dozen some are changed in each way.
AGES = {"10 s": (10, 0.0), "10 min": (600, 1 / 6), "1 day": (86_400, 1 / 3), "7 days": (7 * 86_400, 1 / 2)}
# Targets: seconds to nine tenths of the bound, and the busiest second of a cold engine against what fells it.
WITHIN = {"10 s": 5.0, "10 min": 5.0, "1 day": 15.0, "7 days": 15.0}
PEAK = 0.9
_MAX_ADDED_P99_US = 1000
# The index of discovery when the snapshots were written.
SNAPSHOT_INDEX = 1000
SITE = "hall-a"
# Value is counted by pieces of so many seconds.
_PIECE = 0.5
# Seconds of load once discovery has returned.
_RETURN = 4.0
_LEARN_SECONDS = 12.0
_COST_SECONDS = 20.0
_COST_REQUESTS_PER_S = 400
_COST_LIST_ENGINES = 500
_REMOVED_ID = 99


def _pipe(stream: IO[str] | None) -> IO[str]:
    assert stream is not None, "the process has no pipe"
    return stream


class Engines:
    """The process of engines.

    Attributes:
        ports: By kind of address.
    """

    def __init__(self, plan: Plan) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-O", "-m", "cresstray.emulators.cold", msgspec.json.encode(plan).decode()],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._input = _pipe(self._process.stdin)
        self._output = _pipe(self._process.stdout)
        self.ports: dict[str, list[int]] = json.loads(self._output.readline())

    def send(self, line: str) -> None:
        """Sends a command."""
        self._input.write(line + "\n")
        self._input.flush()

    def report(self) -> dict[str, Any]:
        """Returns what ran and fell."""
        self.send("tell")
        return dict(json.loads(self._output.readline()))

    def end(self) -> None:
        """Ends the process."""
        self._input.close()
        self._process.wait()
        self._output.close()


class Stage(World):
    """Gateways of one site, each with a folder of its own, that follow `coordinator`."""

    def __init__(self, folder: Path, gateways: int, engines: int = ENGINES, warm_up: float = WARM_UP) -> None:
        self._folder = folder
        self._number = gateways
        self.given = settings(KINDS, gateways, CORES)
        self.given["Safety"] |= {"WarmUp": warm_up * 1000, "Fall": FALL * 1000}
        safety = self.given["Safety"]
        self._budget = (safety["FreeResends"], safety["ResendRatio"], safety["BudgetWindow"] / 1000)
        # As the policy plans: cores at 0.85 busy and 0.9 of nominal speed.
        bears = safety["OverloadFactor"] * safety["ColdShare"] * CORES * 0.85 * 0.9 * FALL
        self.bears = bears / FALL  # cores' worth of work that a cold engine can take
        self.plan = Plan(engines, cores=CORES, bears=bears / MEAN, work=MEAN, fall=FALL, warm_up=warm_up)
        self.coordinator = ReturningCoordinator(_free_port())
        self._tunnels = {}

    @contextlib.asynccontextmanager
    async def life(
        self, has_folder: bool = True, known: dict[str, Any] | None = None
    ) -> AsyncIterator[Stage]:
        """Runs all gateways, from their start on until they have ended as planned."""
        self.account = Account(
            {kind.name: kind.effect for kind in KINDS}, self.given["Limits"]["MaxAttempts"], self._budget
        )
        names = [f"g{number}" for number in range(self._number)]
        gateways = [Gateway(name, self._folder) for name in names]
        self.halls = {SITE: Hall(SITE, [], self.coordinator, gateways, {}, {})}
        for number, gateway in enumerate(gateways):
            self.write(gateway, number, has_folder, known)
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self.coordinator.run)
            async with running(gateways):
                yield self
            self._tasks.cancel_scope.cancel()

    def write(self, gateway: Gateway, number: int, has_folder: bool, known: dict[str, Any] | None) -> None:
        """Writes the configuration of a gateway, and its operator's file."""
        conf = self._folder / f"{gateway.name}.conf"
        conf.unlink(missing_ok=True)
        if has_folder:
            self.folder_of(gateway.name).mkdir(exist_ok=True)
            conf.write_text(f"kept {self.folder_of(gateway.name)}\n")
        (self._folder / f"{gateway.name}.json").write_text(
            json.dumps(
                {
                    "name": gateway.name,
                    "listen": f"127.0.0.1:{gateway.port}",
                    "seed": f"{number + 1:016x}",
                    "coordinator": self.coordinator.address,
                    "known": known or {},
                    "settings": self.given,
                }
            )
        )

    def folder_of(self, name: str) -> Path:
        """Returns the snapshot folder of a gateway."""
        return self._folder / f"kept-{name}"

    def drawn(self, seconds: float, seed: int, load: float = LOAD) -> list[Drawn]:
        """Draws requests."""
        return draw(KINDS, [(0.0, load * CORES * ENGINES / MEAN)], seconds, seed)

    def promises(self, report: dict[str, Any]) -> dict[str, int]:
        """Returns how often each promise was broken, by the report of the engines."""
        self.account.runs.clear()
        for name, *run in report["runs"]:
            self.account.runs[name].append(Run(*run))
        self.account.late_sends = report["late"]
        return self.account.promises(time.monotonic())

    async def learn(self, seconds: float, seed: int) -> dict[str, record.Snapshot]:
        """Plays a first life with warm engines and discovery up; returns what each gateway left."""
        engines = Engines(self.plan)
        engines.send("warm")
        self.coordinator.up(
            SNAPSHOT_INDEX, [Listed(number + 1, port) for number, port in enumerate(engines.ports["engines"])]
        )
        try:
            async with self.life():
                # As much as warm engines do well: of the rarest request class each gateway must see five.
                await self.load(SITE, self.drawn(seconds, seed, 2 * LOAD))
                await anyio.sleep(0.5)
        finally:
            self.coordinator.down()
            engines.end()
        left = {}
        for gateway in self.halls[SITE].gateways:
            snapshot = SnapshotFolder(str(self.folder_of(gateway.name)), gateway.name).read().snapshot
            assert snapshot is not None, f"{gateway.name} left no snapshot"
            left[gateway.name] = snapshot
        return left


@dataclass
class Fleet:
    """What a list of some age says, and what is so.

    Attributes:
        listed: The endpoints of the snapshot.
        tombstones: Of the snapshot.
        true: One is left out: removed by discovery, and answers well.
        stale: By discovery that is behind.
        known: By the gateways' configuration, older still: it names one that is removed.
        taken_back: The place of the one that is left out.
    """

    listed: list[record.EndpointEntry]
    tombstones: list[Tombstone]
    true: list[Listed]
    stale: list[Listed]
    known: dict[str, Any]
    taken_back: int


def fleet(engines: Engines, plan: Plan, changed: float, seed: int) -> Fleet:
    """Returns a fleet of which a share has changed; which ones goes round with `seed`."""
    part = round(changed * ENGINES / 4)
    places = list(range(ENGINES))
    order = places[seed % ENGINES :] + places[: seed % ENGINES]
    removed = order[:part]
    moved = order[part : 2 * part]
    given_away = order[2 * part : 3 * part]
    ports, dead, strangers = (list(engines.ports[name]) for name in ("engines", "dead", "strangers"))
    listed: list[record.EndpointEntry] = []
    true: list[Listed] = []
    for place in places:
        listed_port = ports[place]
        if place in removed or place in moved:
            listed_port = dead.pop()
        elif place in given_away:
            listed_port = strangers.pop()
        is_replaced = place in removed or place in given_away
        listed.append(record.EndpointEntry(place + 1, "127.0.0.1", listed_port, False, 0, 0, 0, 0))
        true_id = 100 + place if is_replaced else place + 1
        true.append(Listed(true_id, ports[place], started=int(time.time() * 1000)))
    removed_alive = Listed(_REMOVED_ID, ports[plan.engines - 1])
    taken_back = next(place for place in places if place not in removed + moved + given_away)
    return Fleet(
        listed,
        [Tombstone(_REMOVED_ID, 0, SNAPSHOT_INDEX - 10, 0)],
        [one for one in true if one is not true[taken_back]],
        [*(Listed(one.id, one.port) for one in listed), removed_alive],
        _known_list(removed_alive),
        taken_back,
    )


def _known_list(one: Listed) -> dict[str, Any]:
    """Returns the list of a configuration that names one engine."""
    member = {
        "id": f"s-{one.id:08x}",
        "host_port": f"127.0.0.1:{one.port}",
        "locality": "here",
        "flavor": "std",
        "cell": 0,
        "phase": "in_service",
        "up_since_ms": 0,
    }
    endpoints = {"complete": False, "members": [member]}
    return {"index": 1, "updates": [{"index": 1, "endpoints": endpoints}]}


def aged(left: record.Snapshot, age: float, now: Fleet) -> record.Snapshot:
    """Returns what a gateway left, as it would have been written so long ago on another boot."""
    # What was learned of engines stays by their ids; the first life's are numbered alike.
    return msgspec.structs.replace(
        left,
        wall_us=int((time.time() - age) * 1e6),
        boot_id="",
        uptime_us=0,
        is_handed_over=False,
        index=SNAPSHOT_INDEX,
        endpoints=now.listed,
        tombstones=now.tombstones,
        request_names=[],
    )


async def start(
    folder: Path,
    left: dict[str, record.Snapshot],
    age: float | None,
    changed: float,
    seconds: float,
    seed: int,
    gateways: int = GATEWAYS,
    after: float = _RETURN,
    trusts: bool = False,
) -> dict[str, Any]:
    """Plays one start, and returns its figures.

    `age` None: without a snapshot; `trusts`: then what the configuration names is all that there is.
    `after`: seconds of load once discovery returns; 0: it does not.
    """
    stage = Stage(folder, gateways)
    part = round(changed * ENGINES / 4)
    plan = msgspec.structs.replace(stage.plan, engines=ENGINES + 1, barred=1, dead=2 * part, strangers=part)
    engines = Engines(plan)
    now = fleet(engines, plan, changed, seed)
    if age is not None:
        _write_snapshots(stage, left, age, now)
    drawn = stage.drawn(seconds + after, seed)
    known = now.known if age is not None or trusts else None
    try:
        async with stage.life(age is not None, known):
            began = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                if after:
                    tasks.start_soon(_return_discovery, stage, engines, now, seconds)
                await stage.load(SITE, drawn)
            await _wait_for_answers(stage)
            report = engines.report()
            promises = stage.promises(report)
    finally:
        stage.coordinator.down()
        engines.end()
    down = [one for one in drawn if one.at < seconds]
    most = bound(
        {SITE: down}, lambda site, at: ENGINES * (stage.bears if at < WARM_UP else CORES), seconds + 1
    )[SITE]
    return {"promises": promises, "told": report, "bound": most, **by_piece(stage, began, seconds, most)}


def _write_snapshots(stage: Stage, left: dict[str, record.Snapshot], age: float, now: Fleet) -> None:
    """Writes both generations of each gateway."""
    for name, snapshot in left.items():
        folder = SnapshotFolder(str(stage.folder_of(name)), name)
        folder.lock()
        folder.write(aged(snapshot, age, now))
        folder.write(aged(snapshot, age, now))
        folder.unlock()


async def _return_discovery(stage: Stage, engines: Engines, now: Fleet, seconds: float) -> None:
    await anyio.sleep(seconds)
    stage.coordinator.up(SNAPSHOT_INDEX - 50, now.stale)
    await anyio.sleep(1)
    stage.coordinator.down()
    await anyio.sleep(0.3)
    # It counts from when every gateway must have heard: the longest pause between attempts, and a tick.
    engines.send(f"bar {now.taken_back} {time.monotonic() + 0.6}")
    stage.coordinator.up(SNAPSHOT_INDEX + 100, now.true)


async def _wait_for_answers(stage: Stage) -> None:
    with anyio.move_on_after(max(kind.hard for kind in KINDS) + 0.3):
        while not all(one.answers for one in stage.account.asked.values()):
            await anyio.sleep(0.05)
    await anyio.sleep(0.1)


def by_piece(stage: Stage, began: float, seconds: float, most: float) -> dict[str, Any]:
    """Returns shares of value by the time of the request, of what came while discovery was down."""
    asked = [0.0] * int(seconds / _PIECE)
    got = [0.0] * int(seconds / _PIECE)
    for one in stage.account.asked.values():
        piece = int((one.asked - began) / _PIECE)
        if 0 <= piece < len(asked):
            asked[piece] += one.payoff
            got[piece] += one.payoff * one.in_time()
    return {
        "payoff": sum(got) / sum(asked),
        "pieces": [part / whole for part, whole in zip(got, asked)],
        "to_ninety": seconds_to_target(got, [most * part for part in asked], _PIECE),
    }


async def cost(folder: Path, seconds: float) -> tuple[float, int]:
    """Returns what snapshots add to the 99th percentile, in microseconds, and their bytes on disk.

    Two gateways side by side, one of which has a list of 500, changed four times a second. The figure is the
    median of seconds.
    """
    stage = Stage(folder, 2, engines=4, warm_up=0.0)
    engines = Engines(stage.plan)
    ports = engines.ports["engines"]
    rest = [Listed(1000 + number, 9, "terminating") for number in range(_COST_LIST_ENGINES - len(ports))]
    stage.coordinator.up(1, [Listed(number + 1, port) for number, port in enumerate(ports)] + rest)
    try:
        async with stage.life(), anyio.create_task_group() as tasks:
            # The first has a folder, the second none.
            plain = stage.halls[SITE].gateways[1]
            await plain.stop()
            stage.write(plain, 1, False, None)
            plain.start()
            await plain.ready()
            tasks.start_soon(_send_changes, stage, rest[0])
            await anyio.sleep(1)
            began = anyio.current_time()
            drawn = [
                Drawn(number / _COST_REQUESTS_PER_S, f"{number:016x}", KINDS[0], 0.002, 0.002)
                for number in range(int(_COST_REQUESTS_PER_S * seconds))
            ]
            await stage.load(SITE, drawn)
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()
    finally:
        stage.coordinator.down()
        engines.end()
    # The newer one was written at the end, with the names that were in use.
    size = min(os.path.getsize(file) for file in stage.folder_of("g0").glob("engines.?"))
    return _median_added_us(stage, began), size


async def _send_changes(stage: Stage, one: Listed) -> None:
    while True:
        await anyio.sleep(0.25)
        stage.coordinator.tell(one)


def _median_added_us(stage: Stage, began: float) -> float:
    slices: dict[tuple[int, str], list[float]] = {}
    for one in stage.account.asked.values():
        if one.answers and one.answers[0][1] == "fulfilled":
            slices.setdefault((int(one.asked - began), one.gateway), []).append(one.answers[0][0] - one.asked)
    p99 = {key: statistics.quantiles(times, n=100)[98] for key, times in slices.items() if len(times) > 150}
    added = [p99[at, "g0"] - p99[at, "g1"] for at, gateway in p99 if gateway == "g0" and (at, "g1") in p99]
    return statistics.median(added) * 1e6


def judged(told: dict[str, Any]) -> list[str]:
    """Returns which targets were missed."""
    missed = [f"{name} broken {count} times" for name, count in told["promises"].items() if count]
    for age, one in told["ages"].items():
        if one["sends_to_known_gone"] or one["engines_fallen"]:
            missed.append(
                f"{age}: {one['sends_to_known_gone']} sends to known gone, {one['engines_fallen']} fallen"
            )
        if one["peak_share_of_cold_capacity"] > PEAK:
            missed.append(f"{age}: a peak of {one['peak_share_of_cold_capacity']:.2f}")
        if one["seconds_to_90_percent"] is None or one["seconds_to_90_percent"] > WITHIN[age]:
            missed.append(f"{age}: nine tenths of the bound after {one['seconds_to_90_percent']} s")
        if one["payoff_60s"] < one["payoff_without_list"]:
            missed.append(f"{age}: below the run without a list")
    if told["added_p99_us"] > _MAX_ADDED_P99_US:
        missed.append(f"{told['added_p99_us']:.0f} us more at the 99th percentile")
    return missed


def _figures(one: dict[str, Any], without: dict[str, Any]) -> dict[str, Any]:
    """Returns the figures of one age, by the keys that readers of the report know."""
    return {
        "payoff_60s": round(one["payoff"], 4),
        "payoff_without_list": round(without["payoff"], 4),
        "bound": round(one["bound"], 4),
        "sends_to_known_gone": one["told"]["late"],
        "engines_fallen": one["told"]["fallen"],
        "peak_share_of_cold_capacity": round(one["told"]["peak"], 3),
        "seconds_to_90_percent": one["to_ninety"],
    }


def _play_ages(folder: Path, ages: list[str], seconds: float, seed: int) -> dict[str, Any]:
    told: dict[str, Any] = {"ages": {}, "promises": dict.fromkeys(PROMISES, 0)}
    left = anyio.run(Stage(folder, GATEWAYS).learn, _LEARN_SECONDS, seed)
    without = anyio.run(start, folder, left, None, 0.0, seconds, seed)
    print(
        f"without a list: {without['payoff']:.3f} of the payoff while the register was down, "
        f"bound {without['bound']:.3f}",
        flush=True,
    )
    for age in ages:
        one = anyio.run(start, folder, left, *AGES[age], seconds, seed)
        for name in PROMISES:
            told["promises"][name] += one["promises"][name]
        told["ages"][age] = _figures(one, without)
        print(
            f"{age:7} {json.dumps(told['ages'][age])}\n"
            f"        sent to strangers {sum(one['told']['strangers'].values())}; "
            + " ".join(f"{share:.2f}" for share in one["pieces"][:40]),
            flush=True,
        )
    return told


@click.command()
@click.option("--seconds", default=60.0, show_default=True, help="How long discovery is down; 16 or more.")
@click.option("--seed", default=1, show_default=True)
@click.option("--only", multiple=True, type=click.Choice([*AGES]))
@click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")
def main(seconds: float, seed: int, only: tuple[str, ...], as_json: bool) -> None:
    """Play all ages, and measure what snapshots cost."""
    with tempfile.TemporaryDirectory() as place:
        folders = [Path(place) / name for name in ("lives", "cost")]
        for folder in folders:
            folder.mkdir()
        told = _play_ages(folders[0], list(only or AGES), seconds, seed)
        added_p99_us, told["snapshot_bytes"] = anyio.run(cost, folders[1], _COST_SECONDS)
        told["added_p99_us"] = round(added_p99_us)
    missed = judged(told)
    print(
        f"{told['snapshot_bytes']} bytes of 500 engines, {told['added_p99_us']} us more at the 99th "
        f"percentile; missed: {'; '.join(missed) or 'nothing'}",
        flush=True,
    )
    if as_json:
        print(json.dumps(told))
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
