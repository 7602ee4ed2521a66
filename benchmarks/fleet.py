"""One fleet under faults: python -m benchmarks.fleet [--seed N] [--scenario NAME] [--json].

Each scenario starts five keepers, six gateways and six engines as processes with a network between every two,
plays a drawn load, changes rules without end and does its harm; beside it, the same load on gateways without
rules. docs/fleet-faults.md tells what is counted and how, and what is not tested.
"""

from __future__ import annotations

import itertools
import json
import random
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from pathlib import Path

import anyio
import click

from cresstray.control_plane.codec import OperatorCommand
from cresstray.emulators.account import PROMISES
from cresstray.emulators.clients import draw
from cresstray.emulators.fleet.accounts import contradictions, spread, without_commit
from cresstray.emulators.fleet.history import History
from cresstray.emulators.fleet.operators import (
    SHARD,
    Changed,
    Operator,
    Watch,
    admitted,
    client,
    edited,
    listed,
)
from cresstray.emulators.fleet.processes import (
    CANARY,
    FLEET_KINDS,
    HALL,
    NAME,
    Faults,
    Fleet,
    tenant,
)
from cresstray.emulators.fleet.schedule import PROCESS, Fault, drawn
from cresstray.emulators.fleet.shards import (
    ShardFleet,
    carried,
    copies_lost,
    heads,
    judged,
    planned,
)
from cresstray.emulators.world import KINDS
from cresstray.fleet_config.documents import (
    EMPTY,
    Documents,
    EngineRule,
    Placement,
    RequestClassRule,
    Shard,
    TenantRule,
    encode_delta,
)

_RATE = 120.0  # a second: a quarter of what the engines can do, so that payoff is not decided by one barred
_REST = 2.0  # longer than the longest hard stop of kinds that are short, as in the other benchmarks
_STORM = 0.6  # seconds between two faults, on average: some three or four at any time
_QUIET = 2.5  # without faults at the end: what was asked last gets in force
_HELD = 0.3  # a ban holds so long once it is in force, and so long passes until the next
_TICK = 0.1
_READER = 2.0  # a client of the register reads and sets so often: the turns of all wait for each other


@dataclass
class Trial:
    """One scenario's fleet while it runs, and what its operators have noted."""

    fleet: Fleet
    faults: Faults
    operator: Operator  # of `_change` only; each asks one question at a time
    asker: Operator
    watch: Watch
    seed: int
    seconds: float
    bans: list[tuple[str, str, int, float]] = field(default_factory=list)  # what, name, version, lifted
    changes: list[Changed] = field(default_factory=list)
    commits: list[float] = field(default_factory=list)
    history: History = field(default_factory=lambda: History("0"))

    async def leader(self) -> str:
        return await self.asker.leader() or next(iter(self.fleet.keepers))

    async def hit(self, kind: str, seconds: float, *who: str) -> None:
        await self.faults.befall(Fault(0.0, seconds, kind, who))


async def _calm(trial: Trial) -> None:
    await anyio.sleep(trial.seconds)


async def _leader_killed(trial: Trial) -> None:
    for _ in range(2):
        await anyio.sleep(1.0)
        await trial.hit("kill", 2.0, await trial.leader())


async def _leader_frozen(trial: Trial) -> None:
    await anyio.sleep(1.0)
    await trial.hit("freeze", 10.0, await trial.leader())


async def _split(trial: Trial) -> None:
    """Two and three with gateways on both sides, then 2-2-1; the leader is among the two."""
    mesh, leader = trial.fleet.mesh, await trial.leader()
    others = [one for one in trial.fleet.keepers if one != leader]
    few, many = [leader, others[0], "g1", "g2", "g3"], [*others[1:], "g4", "g5", "g6"]
    await anyio.sleep(1.0)
    mesh.split([few, many])
    await anyio.sleep(4.0)
    mesh.split([others[1:2], others[2:] + ["g5", "g6"]])
    await anyio.sleep(3.0)
    mesh.heal()


async def _all_killed(trial: Trial) -> None:
    """All at once, and one disk is lost; service goes on for four seconds without any."""
    await anyio.sleep(1.0)
    await trial.faults.all(
        [
            Fault(0.0, 4.0, "disk" if number == 0 else "kill", (name,))
            for number, name in enumerate(trial.fleet.keepers)
        ]
    )


async def _slow_links(trial: Trial) -> None:
    """Round trips of a tenth of a second to nearly two, as links that fill up."""
    for delay in (0.05, 0.1, 0.2, 0.05):
        trial.fleet.mesh.slow(delay, 100_000)
        await anyio.sleep(1.5)
    trial.fleet.mesh.heal()


async def _storm(trial: Trial) -> None:
    schedule = _stormy(trial)
    for fault in schedule:
        print("  " + fault.line(), file=sys.stderr)
    await trial.faults.all(schedule)


def _stormy(trial: Trial) -> list[Fault]:
    names = [f"k{number + 1}" for number in range(5)]
    return drawn(trial.seed, names, list(trial.fleet.gateways), trial.seconds, _STORM)


SCENARIOS: dict[str, tuple[float, Callable[[Trial], Awaitable[None]]]] = {
    "calm": (6.0, _calm),
    "leader-killed": (6.5, _leader_killed),
    "leader-frozen": (11.5, _leader_frozen),
    "split": (8.5, _split),
    "all-keepers-killed": (8.0, _all_killed),
    "slow-links": (6.5, _slow_links),
    "storm": (15.0, _storm),
}


async def _change(trial: Trial) -> None:
    """Bars an engine, a tariff, a tenant in turn, each until it is in force, and lifts it again."""
    engines = itertools.cycle(trial.fleet.engines)
    for turn in itertools.count():
        what, name, edit, back = (
            ("engine", one := next(engines), *_both("engines", trial.fleet.engine_id(one), EngineRule(True))),
            ("tariff", CANARY.name, *_both("tariffs", CANARY.name, RequestClassRule(True))),
            ("tenant", "guest", *_both("tenants", "guest", TenantRule(True))),
        )[turn % 3]
        made = await trial.operator.change(edit, 20)
        if made is not None:
            trial.changes.append(made)
            trial.commits.append(made.answered)
            ban = (what, name, made.version, float("inf"))
            trial.bans.append(ban)
            await trial.watch.until(2 * made.version, 20)
            await anyio.sleep(_HELD)
            trial.bans[-1] = (*ban[:3], anyio.current_time())
        made = await trial.operator.change(back, 20)
        if made is not None:
            trial.changes.append(made)
            trial.commits.append(made.answered)
            await trial.watch.until(2 * made.version, 20)
        await anyio.sleep(_HELD)


async def _tick(operator: Operator, keeper: str, commits: list[float]) -> None:
    """Proposes without end what the log refuses by its base: a commit, and no turn to wait for."""
    shard = {SHARD: Shard(("s-00000001",), epoch=2**50)}
    change = encode_delta(EMPTY, Documents(placement=Placement(shard)))
    for number in itertools.count():
        ask = OperatorCommand("propose", f"{operator.name}-{number}", {"placement": 2**50}, change)
        answer = await operator.ask(ask, 1.0, keeper)
        if answer is not None and "accepted" in answer:
            commits.append(anyio.current_time())
        await anyio.sleep(_TICK)


def _both(document: str, item: str, rule: object) -> tuple[Callable, Callable]:
    return edited(document, item, rule), edited(document, item, None)


async def _play(name: str, seed: int, on: bool, folder: Path) -> dict:
    seconds, script = SCENARIOS[name]
    fleet = Fleet(folder, on=on)
    load = draw(FLEET_KINDS, [(0.0, _RATE)], seconds + _QUIET, seed)
    async with fleet.up(), anyio.create_task_group() as tasks:
        ports = {keeper: one.port for keeper, one in fleet.keepers.items()}
        helper = Operator("helper", NAME, ports, tasks)
        trial = Trial(
            fleet,
            Faults(fleet, lambda keeper: admitted(helper, keeper)),
            Operator("changer", NAME, ports, tasks),
            Operator("asker", NAME, ports, tasks),
            Watch(NAME, ports, tasks),
            seed,
            seconds,
        )
        if on:
            tasks.start_soon(trial.watch.run)
            await listed(trial.operator, trial.watch, fleet.gateways)
            rng = random.Random(seed)
            for keeper in fleet.keepers:
                reader, ticker = (
                    Operator(f"{what}-{keeper}", NAME, ports, tasks) for what in ("client", "ticker")
                )
                tasks.start_soon(
                    client,
                    reader,
                    keeper,
                    trial.history,
                    lambda: rng.uniform(0.5, 1.5) * _READER,
                    trial.commits,
                    trial.changes,
                )
                tasks.start_soon(_tick, ticker, keeper, trial.commits)
            tasks.start_soon(_change, trial)
        await anyio.sleep(1.0)
        began, before = anyio.current_time(), fleet.cpu()

        async def harm() -> None:
            if on:
                await script(trial)
            elif name == "storm":
                # Gateways suffer alike without rules; there is nothing else that could fail.
                await trial.faults.all(
                    fault
                    for fault in _stormy(trial)
                    if fault.kind in PROCESS and fault.who[0] in fleet.gateways
                )

        async with anyio.create_task_group() as both:
            both.start_soon(harm)
            await fleet.play({HALL: load}, [], 0)
        # Faults are over, a disk may still be taken in anew.
        until = anyio.current_time()
        await anyio.sleep(_REST)
        told = {"submissions": len(load), "cpu_us": round(1e6 * (fleet.cpu() - before) / len(load))}
        await fleet.runs()
        told |= {
            "payoff": round(fleet.account.payoff()[HALL], 4),
            "promises": fleet.account.promises(anyio.current_time()),
        }
        if on:
            told |= await _told(trial, began, until)
        tasks.cancel_scope.cancel()
    counters = fleet.counters()
    return told | {
        "faults": counters.get("faults", 0),
        "broken": {line: count for line, count in counters.items() if line.startswith("broken")},
    }


async def _told(trial: Trial, began: float, until: float) -> dict:
    fleet = trial.fleet
    answer = await trial.asker.ask(OperatorCommand("past"), 5) or {"past": [], "stated_us": 0}
    kept = {past["version"] for past in answer["past"]}
    # `past` is bounded; what is older than all it tells is not said to be lost.
    oldest = min(kept, default=0)
    lost = [one.version for one in trial.changes if one.version not in kept and one.version > oldest]
    bans = [trial.watch.ban(*ban) for ban in trial.bans]
    found = contradictions(bans, fleet.account.runs, fleet.account.asked, tenant, fleet.out, fleet.looking)
    times = [at - one.asked for one in trial.changes if (at := trial.watch.told(2 * one.version)) is not None]
    verdict = trial.history.checked()
    return {
        "changes": len(trial.changes),
        "contradiction_ms": round(1000 * found.since_in_force, 1),
        "stated_ms": answer["stated_us"] / 1000,
        "in_force_ms": spread(times),
        "without_commit_ms": round(1000 * without_commit(fleet.majority, trial.commits, began, until), 1),
        "since_joint_ms": round(1000 * found.since_joint, 1),
        "forbidden": {
            "joint": found.joint,
            "after": found.after,
            "looking": found.looking,
            "kept": found.kept,
        },
        "told": found.told[:5],
        "lost": lost,
        "barred": len(bans),
        "history": {
            "operations": verdict.operations,
            "linearizable": verdict.linearizable,
            "stuck": [repr(one) for one in verdict.stuck[:3]],
        },
    }


# Of each shard, the numbers of its copies, the primary first: each engine has some, the last one has none.
_PLACED = {"17": (2, 1), "18": (0, 3), "19": (1, 2)}
_BEFORE, _AFTER = 3.0, 2.0  # seconds of sessions without moves
_SESSIONS, _PACE, _WITHIN = 12, 15.0, 0.5


async def _shards(seed: int, folder: Path) -> dict:
    """Sessions on shards while an engine is emptied; a target and a leader die on the way."""
    fleet = ShardFleet(folder, _PLACED)
    async with fleet.up(), anyio.create_task_group() as tasks:
        ports = {keeper: one.port for keeper, one in fleet.keepers.items()}
        operator, watch = Operator("operator", NAME, ports, tasks), Watch(NAME, ports, tasks)
        tasks.start_soon(watch.run)
        await listed(operator, watch, fleet.gateways)
        await fleet.placed_first(operator, watch)
        async with anyio.create_task_group() as sessions:
            for number in range(_SESSIONS):
                sessions.start_soon(
                    fleet.session,
                    f"s{number}",
                    list(_PLACED)[number % len(_PLACED)],
                    seed * 1000 + number,
                    _PACE,
                    _WITHIN,
                )
            await anyio.sleep(_BEFORE)
            plan = await planned(fleet, fleet.ids[2])
            await carried(fleet, plan, operator)
            await anyio.sleep(_AFTER)
            sessions.cancel_scope.cancel()
        await anyio.sleep(KINDS[3].hard + 0.2)  # what is out comes back, or is over
        latest = await operator.documents(5)
        verdict = judged(fleet.seen(), fleet.sessions, fleet.cores, heads(fleet, latest))
        lost = copies_lost(fleet, latest)
        await fleet.runs()
        told = {
            "reads": verdict.reads(),
            "moves": plan.moves(fleet) | {"copies_lost": len(lost)},
            "promises": fleet.account.promises(anyio.current_time()),
            "steps": plan.steps,
            "over": bool(plan.told.get("over")),
            "payoff": round(fleet.account.payoff()[HALL], 4),
            "told": verdict.lines[:5] + lost,
            "writes_by_two": verdict.twice,
            "writes_lost": verdict.lost,
        }
        tasks.cancel_scope.cancel()
    counters = fleet.counters()
    return told | {"faults": counters.get("faults", 0)}


_QUICK = [replace(kind, work=kind.work / 5) for kind in FLEET_KINDS]  # so that engines have room for all
_CALM, _GATEWAYS, _OF_EACH = 8.0, 2, 200.0


async def _at_rest(seed: int, how: str, folder: Path) -> dict:
    """No rule changes: `how` is off, on, or dead (all keepers, and leases are over)."""
    fleet = Fleet(folder, 3, _GATEWAYS, on=how != "off")
    load = draw(_QUICK, [(0.0, _OF_EACH * _GATEWAYS)], _CALM, seed)
    async with fleet.up(), anyio.create_task_group() as tasks:
        if how != "off":
            ports = {keeper: one.port for keeper, one in fleet.keepers.items()}
            watch = Watch(NAME, ports, tasks)
            tasks.start_soon(watch.run)
            await listed(Operator("operator", NAME, ports, tasks), watch, fleet.gateways)
        if how == "dead":
            for keeper in fleet.keepers.values():
                keeper.kill()
        await anyio.sleep(4.0)
        before = fleet.cpu()
        await fleet.play({HALL: load}, [], _REST)
        told = {"cpu_us": 1e6 * (fleet.cpu() - before) / len(load)}
        await fleet.runs()
        tasks.cancel_scope.cancel()
        return told | {
            "payoff": fleet.account.payoff()[HALL],
            "promises": fleet.account.promises(anyio.current_time()),
        }


def _compared(seed: int) -> dict:
    """Beside each other, twice, begun in the opposite order: means of CPU and payoff."""
    rounds: dict[str, list[dict]] = {"off": [], "on": [], "dead": []}
    for order in (("off", "on", "dead"), ("dead", "on", "off")):
        made = {how: _child(f"rest-{how}", seed + len(rounds["off"]), True) for how in order}
        for how, child in made.items():
            rounds[how].append(json.loads(child.communicate()[0].splitlines()[-1]))
    told = {
        f"{what}_{how}": round(sum(one[what] for one in found) / len(found), 4)
        for how, found in rounds.items()
        for what in ("cpu_us", "payoff")
    }
    return told | {
        "promises": {
            promise: sum(one["promises"][promise] for found in rounds.values() for one in found)
            for promise in PROMISES
        }
    }


def _child(name: str, seed: int, on: bool) -> subprocess.Popen:
    words = ["--one", name, "--seed", str(seed), *["--off"] * (not on)]
    return subprocess.Popen([sys.executable, "-m", "benchmarks.fleet", *words], stdout=subprocess.PIPE)


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--scenario", multiple=True, help="Only these.", type=click.Choice([*SCENARIOS, "shards", "rest"])
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")
@click.option("--one", hidden=True)
@click.option("--off", is_flag=True, hidden=True)
def main(seed: int, scenario: tuple[str, ...], as_json: bool, one: str | None, off: bool) -> None:
    """Play the scenarios; exit code 1 where a promise was broken."""
    if one:
        with tempfile.TemporaryDirectory() as folder:
            name, _, how = one.partition("rest-")
            part = (
                (_play, one, seed, not off)
                if name and name in SCENARIOS
                else ((_at_rest, seed, how) if how else (_shards, seed))
            )
            print(json.dumps(anyio.run(*part, Path(folder))))
        return
    told: dict = {
        "scenarios": {},
        "history": {"operations": 0, "linearizable": True},
        "promises": dict.fromkeys(PROMISES, 0),
    }
    faults = 0
    chosen = scenario or (*SCENARIOS, "shards", "rest")
    for name in (one for one in chosen if one in SCENARIOS):
        both = [_child(name, seed, on) for on in (True, False)]
        on, plain = [json.loads(child.communicate()[0].splitlines()[-1]) for child in both]
        on |= {"payoff_off": plain["payoff"], "cpu_us_off": plain["cpu_us"]}
        for promise in PROMISES:
            told["promises"][promise] += on["promises"][promise] + plain["promises"][promise]
        told["history"]["operations"] += on["history"]["operations"]
        told["history"]["linearizable"] &= on["history"]["linearizable"]
        told["scenarios"][name] = on
        faults += _say(name, on, plain)
    if "shards" in chosen:
        found = json.loads(_child("shards", seed, True).communicate()[0].splitlines()[-1])
        told |= {"reads": found["reads"], "moves": found["moves"]}
        told["promises"] = {one: told["promises"][one] + found["promises"][one] for one in PROMISES}
        faults += _say_shards(found)
    if "rest" in chosen:
        told["rest"] = found = _compared(seed)
        broken = found.pop("promises")
        told["promises"] = {one: told["promises"][one] + broken[one] for one in PROMISES}
        print(
            f"{'rest':18} off, on, all keepers dead: cpu us {found['cpu_us_off']:.1f} "
            f"{found['cpu_us_on']:.1f} {found['cpu_us_dead']:.1f}  "
            f"payoff {found['payoff_off']} {found['payoff_on']} "
            f"{found['payoff_dead']}",
            flush=True,
        )
    if as_json:
        print(json.dumps(told))
    sys.exit(1 if faults or any(told["promises"].values()) else 0)


def _say(name: str, on: dict, plain: dict) -> int:
    """One scenario's line, and one for each thing that must not be; how many of these."""
    print(
        f"{name:18} changes {on['changes']:3}  in force ms {' '.join(map(str, on['in_force_ms'].values()))}"
        f"  contradiction ms {on['contradiction_ms']} of {on['stated_ms']:.0f}"
        f"  without commit ms {on['without_commit_ms']}  payoff {on['payoff_off']:.4f} > {on['payoff']:.4f}"
        f"  cpu us {on['cpu_us_off']} > {on['cpu_us']}  forbidden {on['forbidden']}",
        flush=True,
    )
    broken = {
        promise: [plain["promises"][promise], count]
        for promise, count in on["promises"].items()
        if count or plain["promises"][promise]
    }
    bad = [f"promises (off, on) {broken}"] if broken else []
    bad += [f"acknowledged and lost: {on['lost']}"] if on["lost"] else []
    bad += [f"not linearizable: {on['history']['stuck']}"] if not on["history"]["linearizable"] else []
    if on["contradiction_ms"] > on["stated_ms"]:
        bad.append("a contradiction longer than stated")
    bad += [f"contradiction: {line}" for line in on["told"]]
    bad += [
        f"in the gateways: faults {one['faults']}, {one['broken']}"
        for one in (on, plain)
        if one["faults"] or one["broken"]
    ]
    for line in bad:
        print(f"    BROKEN {line}", flush=True)
    return len(bad)


def _say_shards(found: dict) -> int:
    """As `_say`."""
    print(
        f"{'shards':18} reads {found['reads']}  moves {found['moves']}  payoff {found['payoff']}\n"
        f"    {' > '.join(found['steps'])}",
        flush=True,
    )
    never = {
        what: found[part][what]
        for part, names in (
            ("reads", ("bound_broken", "went_back", "primary_over_share")),
            ("moves", ("headroom_broken", "copies_lost")),
        )
        for what in names
    }
    never |= {what: found[what] for what in ("writes_by_two", "writes_lost", "faults")} | found["promises"]
    bad = [f"{what}: {count}" for what, count in never.items() if count] + found["told"]
    bad += [] if found["over"] else ["the plan is not over"]
    for line in bad:
        print(f"    BROKEN {line}", flush=True)
    return len(bad)


if __name__ == "__main__":
    main()
