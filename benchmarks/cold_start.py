"""Gateways that start with nobody to ask: python -m benchmarks.cold_start [--seconds S] [--json].

Four gateways and two dozen engines serve, and end. Then, for each age of the lists that they left, all start
at once: the power is back, every engine is cold and falls over when pushed, the register is down for S
seconds. After that it returns with a list that is older than theirs, breaks, and returns with the true one,
which takes back an engine that answers well. The exit code is 1 where a promise was broken or an aim missed.
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
from dataclasses import dataclass
from pathlib import Path

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

GATEWAYS, ENGINES, CORES = 4, 24, 4
# What is asked for, as a share of all cores. A cold engine is planned for at three quarters of its cores, of
# which the module uses seven tenths; half of a week-old list is wrong.
LOAD = 0.2
WARM_UP, FALL = 10.0, 1.0
MEAN = sum(kind.share * kind.work for kind in KINDS)
# By age in seconds, the share of a list that is not as it was, a quarter each of it: removed, moved to
# another address, its address given to another service, started anew. A week is a tenth of the engines
# replaced a day; the others are more than that, so that of two dozen some are changed in each way.
AGES = {"10 s": (10, 0.0), "10 min": (600, 1 / 6), "1 day": (86_400, 1 / 3), "7 days": (7 * 86_400, 1 / 2)}
# Aims: seconds to nine tenths of the bound, and the busiest second of a cold engine against what fells it.
WITHIN, PEAK = {"10 s": 5.0, "10 min": 5.0, "1 day": 15.0, "7 days": 15.0}, 0.9
NUMBER = 1000  # the register's, when the lists were written
HALL, _PIECE = "hall-a", 0.5
_RETURN = 4.0  # seconds of what comes after


class Engines:
    """The process of engines."""

    def __init__(self, plan: Plan) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-O", "-m", "cresstray.emulators.cold", msgspec.json.encode(plan).decode()],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.ports: dict[str, list[int]] = json.loads(self._process.stdout.readline())

    def say(self, line: str) -> None:
        self._process.stdin.write(line + "\n")
        self._process.stdin.flush()

    def tell(self) -> dict:
        self.say("tell")
        return json.loads(self._process.stdout.readline())

    def end(self) -> None:
        self._process.stdin.close()
        self._process.wait()
        self._process.stdout.close()


class Stage(World):
    """Gateways of one hall, each with a folder of its own, that follow `register`."""

    def __init__(self, folder: Path, gateways: int, engines: int = ENGINES, warm_up: float = WARM_UP) -> None:
        self._folder, self._number = folder, gateways
        self.given = settings(KINDS, gateways, CORES)
        self.given["Safety"] |= {"WarmUp": warm_up * 1000, "Fall": FALL * 1000}
        safety = self.given["Safety"]
        self._budget = (safety["FreeResends"], safety["ResendRatio"], safety["BudgetWindow"] / 1000)
        # As the module plans: cores at 0.85 busy and 0.9 of nominal speed.
        bears = safety["OverloadFactor"] * safety["ColdShare"] * CORES * 0.85 * 0.9 * FALL
        self.bears = bears / FALL  # cores' worth of work that a cold engine can take
        self.plan = Plan(engines, cores=CORES, bears=bears / MEAN, work=MEAN, fall=FALL, warm_up=warm_up)
        self.register = ReturningCoordinator(_free_port())
        self._tunnels = {}

    @contextlib.asynccontextmanager
    async def life(self, keeps: bool = True, known: dict | None = None):  # noqa: ANN201
        """All gateways, from their start on until they have ended as planned."""
        self.account = Account(
            {kind.name: kind.effect for kind in KINDS}, self.given["Limits"]["MaxAttempts"], self._budget
        )
        names = [f"g{number}" for number in range(self._number)]
        gateways = [Gateway(name, self._folder) for name in names]
        self.halls = {HALL: Hall(HALL, [], self.register, gateways, {}, {})}
        for number, gateway in enumerate(gateways):
            self.write(gateway, number, keeps, known)
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self.register.run)
            async with running(gateways):
                yield self
            self._tasks.cancel_scope.cancel()

    def write(self, gateway: Gateway, number: int, keeps: bool, known: dict | None) -> None:
        conf = self._folder / f"{gateway.name}.conf"
        conf.unlink(missing_ok=True)
        if keeps:
            self.kept(gateway.name).mkdir(exist_ok=True)
            conf.write_text(f"kept {self.kept(gateway.name)}\n")
        (self._folder / f"{gateway.name}.json").write_text(
            json.dumps(
                {
                    "name": gateway.name,
                    "listen": f"127.0.0.1:{gateway.port}",
                    "seed": f"{number + 1:016x}",
                    "coordinator": self.register.address,
                    "known": known or {},
                    "settings": self.given,
                }
            )
        )

    def kept(self, name: str) -> Path:
        return self._folder / f"kept-{name}"

    def drawn(self, seconds: float, seed: int, load: float = LOAD) -> list[Drawn]:
        return draw(KINDS, [(0.0, load * CORES * ENGINES / MEAN)], seconds, seed)

    def promises(self, told: dict) -> dict[str, int]:
        self.account.runs.clear()
        for name, *run in told["runs"]:
            self.account.runs[name].append(Run(*run))
        self.account.late_sends = told["late"]
        return self.account.promises(time.monotonic())

    async def learn(self, seconds: float, seed: int) -> dict[str, record.Snapshot]:
        """A first life with warm engines and the register up; what each gateway left on its disk."""
        engines = Engines(self.plan)
        engines.say("warm")
        self.register.up(
            NUMBER, [Listed(number + 1, port) for number, port in enumerate(engines.ports["engines"])]
        )
        try:
            async with self.life():
                # As much as warm engines do well: of the rarest tariff each gateway must see five.
                await self.load(HALL, self.drawn(seconds, seed, 2 * LOAD))
                await anyio.sleep(0.5)
        finally:
            self.register.down()
            engines.end()
        left = {}
        for gateway in self.halls[HALL].gateways:
            left[gateway.name] = SnapshotFolder(str(self.kept(gateway.name)), gateway.name).read().snapshot
        return left


@dataclass
class Fleet:
    """What a list of some age says, and what is so."""

    listed: list[record.EndpointEntry]
    tombs: list[Tombstone]
    true: list[Listed]  # one is left out: gone by the register, and answers well
    stale: list[Listed]  # by the register that is behind
    known: dict  # by the gateways' configuration, older still: it names one that is gone
    taken_back: int


def fleet(engines: Engines, plan: Plan, changed: float, seed: int) -> Fleet:
    """Which ones have changed goes round with `seed`."""
    part, count = round(changed * ENGINES / 4), ENGINES
    places = list(range(count))
    order = places[seed % count :] + places[: seed % count]
    removed, moved, given = order[:part], order[part : 2 * part], order[2 * part : 3 * part]
    ports, dead, strangers = (list(engines.ports[name]) for name in ("engines", "dead", "strangers"))
    zombie = ports[plan.engines - 1]
    listed, true = [], []
    for place in places:
        number = place + 1
        address, at, truly = ports[place], ports[place], number
        if place in removed:
            address, truly = dead.pop(), 100 + place
        elif place in moved:
            address = dead.pop()
        elif place in given:
            address, truly = strangers.pop(), 100 + place
        listed.append(record.EndpointEntry(number, "127.0.0.1", address, False, 0, 0, 0, 0))
        true.append(Listed(truly, at, started=int(time.time() * 1000)))
    gone = Listed(99, zombie)
    known = {
        "index": 1,
        "updates": [
            {
                "index": 1,
                "endpoints": {
                    "complete": False,
                    "members": [
                        {
                            "id": f"s-{gone.id:08x}",
                            "host_port": f"127.0.0.1:{zombie}",
                            "locality": "here",
                            "flavor": "std",
                            "cell": 0,
                            "phase": "in_service",
                            "up_since_ms": 0,
                        }
                    ],
                },
            }
        ],
    }
    stale = [Listed(one.id, one.port) for one in listed] + [gone]
    taken_back = next(place for place in places if place not in removed + moved + given)
    return Fleet(
        listed,
        [Tombstone(99, 0, NUMBER - 10, 0)],
        [one for one in true if one is not true[taken_back]],
        stale,
        known,
        taken_back,
    )


def aged(left: record.Snapshot, age: float, now: Fleet) -> record.Snapshot:
    """What a gateway left, as it would have been written so long ago on another boot."""
    # What was learnt of engines stays by their ids; the first life's are numbered alike.
    return msgspec.structs.replace(
        left,
        wall_us=int((time.time() - age) * 1e6),
        boot_id="",
        uptime_us=0,
        is_handed_over=False,
        index=NUMBER,
        endpoints=now.listed,
        tombstones=now.tombs,
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
) -> dict:
    """`age` None: without a list; `trusts`: then what the configuration names is all that there is.

    `after`: seconds of load once the register returns; 0: it does not.
    """
    stage = Stage(folder, gateways)
    part = round(changed * ENGINES / 4)
    plan = msgspec.structs.replace(stage.plan, engines=ENGINES + 1, barred=1, dead=2 * part, strangers=part)
    engines = Engines(plan)
    now = fleet(engines, plan, changed, seed)
    for name, one in left.items() if age is not None else ():
        kept = SnapshotFolder(str(stage.kept(name)), name)
        kept.lock()
        kept.write(aged(one, age, now))
        kept.write(aged(one, age, now))
        kept.unlock()
    drawn = stage.drawn(seconds + after, seed)

    async def returns() -> None:
        await anyio.sleep(seconds)
        stage.register.up(NUMBER - 50, now.stale)
        await anyio.sleep(1)
        stage.register.down()
        await anyio.sleep(0.3)
        # It counts from when every gateway must have heard: the longest pause between tries, and a tick.
        engines.say(f"bar {now.taken_back} {time.monotonic() + 0.6}")
        stage.register.up(NUMBER + 100, now.true)

    try:
        async with stage.life(age is not None, now.known if age is not None or trusts else None):
            began = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                if after:
                    tasks.start_soon(returns)
                await stage.load(HALL, drawn)
            with anyio.move_on_after(max(kind.hard for kind in KINDS) + 0.3):
                while not all(one.answers for one in stage.account.asked.values()):
                    await anyio.sleep(0.05)
            await anyio.sleep(0.1)
            told = engines.tell()
            promises = stage.promises(told)
    finally:
        stage.register.down()
        engines.end()
    down = [one for one in drawn if one.at < seconds]
    most = bound(
        {HALL: down}, lambda hall, at: ENGINES * (stage.bears if at < WARM_UP else CORES), seconds + 1
    )[HALL]
    return {"promises": promises, "told": told, "bound": most, **by_piece(stage, began, seconds, most)}


def by_piece(stage: Stage, began: float, seconds: float, most: float) -> dict:
    """Shares of payoff by when it was asked for, of what came while the register was down."""
    asked, got = [0.0] * int(seconds / _PIECE), [0.0] * int(seconds / _PIECE)
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
    """What keeping adds to the 99th percentile, microseconds: the median of seconds; and bytes on disk.

    Two gateways side by side, one of which keeps a list of 500, changed four times a second.
    """
    stage = Stage(folder, 2, engines=4, warm_up=0.0)
    engines = Engines(stage.plan)
    rest = [Listed(1000 + number, 9, "terminating") for number in range(496)]
    stage.register.up(
        1, [Listed(number + 1, port) for number, port in enumerate(engines.ports["engines"])] + rest
    )

    async def news() -> None:
        while True:
            await anyio.sleep(0.25)
            stage.register.tell(rest[0])

    try:
        async with stage.life(), anyio.create_task_group() as tasks:
            # The first has a folder, the second none.
            plain = stage.halls[HALL].gateways[1]
            await plain.stop()
            stage.write(plain, 1, False, None)
            plain.start()
            await plain.ready()
            tasks.start_soon(news)
            await anyio.sleep(1)
            began = anyio.current_time()
            drawn = [
                Drawn(number / 400, f"{number:016x}", KINDS[0], 0.002, 0.002)
                for number in range(int(400 * seconds))
            ]
            await stage.load(HALL, drawn)
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()
    finally:
        stage.register.down()
        engines.end()
    slices: dict[tuple[int, str], list[float]] = {}
    for one in stage.account.asked.values():
        if one.answers and one.answers[0][1] == "fulfilled":
            slices.setdefault((int(one.asked - began), one.gateway), []).append(one.answers[0][0] - one.asked)
    p99 = {key: statistics.quantiles(times, n=100)[98] for key, times in slices.items() if len(times) > 150}
    added = [p99[at, "g0"] - p99[at, "g1"] for at, gateway in p99 if gateway == "g0" and (at, "g1") in p99]
    # The newer one was written at the end, with the names that were in use.
    size = min(os.path.getsize(file) for file in stage.kept("g0").glob("engines.?"))
    return statistics.median(added) * 1e6, size


def judged(told: dict) -> list[str]:
    """Which aims were missed."""
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
    if told["added_p99_us"] > 1000:
        missed.append(f"{told['added_p99_us']:.0f} us more at the 99th percentile")
    return missed


@click.command()
@click.option("--seconds", default=60.0, show_default=True, help="How long the register is down; 16 or more.")
@click.option("--seed", default=1, show_default=True)
@click.option("--only", multiple=True, type=click.Choice([*AGES]))
@click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")
def main(seconds: float, seed: int, only: tuple[str, ...], as_json: bool) -> None:
    told: dict = {"ages": {}, "promises": dict.fromkeys(PROMISES, 0)}
    with tempfile.TemporaryDirectory() as place:
        folders = [Path(place) / name for name in ("lives", "cost")]
        for folder in folders:
            folder.mkdir()
        left = anyio.run(Stage(folders[0], GATEWAYS).learn, 12.0, seed)
        without = anyio.run(start, folders[0], left, None, 0.0, seconds, seed)
        print(
            f"without a list: {without['payoff']:.3f} of the payoff while the register was down, "
            f"bound {without['bound']:.3f}",
            flush=True,
        )
        for age in only or AGES:
            one = anyio.run(start, folders[0], left, *AGES[age], seconds, seed)
            for name in PROMISES:
                told["promises"][name] += one["promises"][name]
            seen = one["told"]
            told["ages"][age] = {
                "payoff_60s": round(one["payoff"], 4),
                "payoff_without_list": round(without["payoff"], 4),
                "bound": round(one["bound"], 4),
                "sends_to_known_gone": seen["late"],
                "engines_fallen": seen["fallen"],
                "peak_share_of_cold_capacity": round(seen["peak"], 3),
                "seconds_to_90_percent": one["to_ninety"],
            }
            print(
                f"{age:7} {json.dumps(told['ages'][age])}\n"
                f"        sent to strangers {sum(seen['strangers'].values())}; "
                + " ".join(f"{share:.2f}" for share in one["pieces"][:40]),
                flush=True,
            )
        told["added_p99_us"], told["snapshot_bytes"] = anyio.run(cost, folders[1], 20.0)
        told["added_p99_us"] = round(told["added_p99_us"])
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
