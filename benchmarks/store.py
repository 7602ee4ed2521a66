"""Idempotency records in a shared store under faults.

    python -m benchmarks.store [--seed N] [--only NAME] [--json]

Each scenario starts three gateways, engines with a deduplication window and a store as processes, and plays a
load in which each idempotency key is used four times, at any gateway, within six windows. The same load and
the same faults of gateways are played beside it without a store. The engines' window is 3 s here in place
of the users' 20 (`--memory`). `--cost` measures a request's CPU instead. docs/idempotency.md describes what
is seen.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import anyio
import click

from cresstray.emulators.account import PROMISES
from cresstray.emulators.clients import draw
from cresstray.emulators.fleet.processes import HALL
from cresstray.emulators.idempotent_fleet import (
    GUARDED_CLASS,
    IdempotentFleet,
    SharedStore,
    count_repeated_executions,
    draw_repeated_load,
    earned_share,
)
from cresstray.emulators.world import KINDS

# Requests a second: a third of what the engines can do, as repeats add three attempts to each guarded
# request.
_RATE = 30.0
_REPEATS = 3
# Guarded work is short, so that what the store adds shows beside it.
_KINDS = [replace(KINDS[0], share=0.5), replace(KINDS[2], share=0.5, work=0.03)]
_REST_S = 4.5  # longer than the longest deadline
# Probes close the breaker, and the first replies are as slow as a first connection, before the load begins.
_WARM_UP_S = 1.5


@dataclass
class Trial:
    """One scenario while it runs; `shared` None: the run without a store."""

    fleet: IdempotentFleet
    shared: SharedStore | None
    memory: float
    allowed: int = 0  # second executions, by what the store lost

    async def tell(self, line: str) -> Any:
        """Sends a line to the store's control port, if there is a store."""
        return await self.shared.tell(line) if self.shared is not None else None

    async def stop_gateway(self, name: str, seconds: float) -> None:
        """Stops the process, and wakes it after so many seconds."""
        gateway = self.fleet.gateways[name]
        gateway.freeze()
        await anyio.sleep(seconds)
        gateway.wake()

    async def kill_gateway(self, name: str, stopped: float) -> None:
        """Kills it after so many seconds in which it reads nothing: what is in flight ends unknown."""
        gateway = self.fleet.gateways[name]
        gateway.freeze()
        await anyio.sleep(stopped)
        gateway.kill()
        await anyio.sleep(0.5)
        gateway.start()
        await gateway.ready()


async def _calm(trial: Trial) -> None:
    pass


async def _slow(trial: Trial) -> None:
    for line in ("slow uniform 1 5000", "slow fixed 0", "slow uniform 1 100", "slow fixed 0"):
        await anyio.sleep(2.0)
        await trial.tell(line)


async def _late(trial: Trial) -> None:
    """Commands run at once, and the replies are late."""
    for line in ("late uniform 1 5000", "late fixed 0", "mute", "speak"):
        await anyio.sleep(2.0)
        await trial.tell(line)


async def _frozen(trial: Trial) -> None:
    for line in ("freeze", "thaw", "freeze", "thaw"):
        await anyio.sleep(2.5)
        await trial.tell(line)


async def _killed(trial: Trial) -> None:
    """It comes back with all that it had acknowledged, as one that syncs each write."""
    for _ in range(2):
        await anyio.sleep(3.0)
        if trial.shared is not None:
            copy = await trial.shared.kill()
            await anyio.sleep(1.5)
            await trial.shared.start(copy)


async def _stopped(trial: Trial) -> None:
    """Longer than any claim is valid: that ends with the engines' window."""
    for name in ("g1", "g2"):
        await anyio.sleep(1.5)
        await trial.stop_gateway(name, trial.memory + 0.5)


async def _gateways(trial: Trial) -> None:
    """One dies between claim and dispatch, as the store's replies are late; then two with work in flight."""
    await anyio.sleep(1.5)
    await trial.tell("late fixed 200")
    await anyio.sleep(0.5)
    await trial.kill_gateway("g1", 0.0)
    await trial.tell("late fixed 0")
    for name in ("g2", "g3"):
        await anyio.sleep(1.0)
        await trial.kill_gateway(name, 0.4)


async def _emptied(trial: Trial) -> None:
    for _ in range(2):
        await anyio.sleep(3.5)
        if trial.shared is not None:
            trial.allowed += (await trial.tell("account"))["keys"]
            await trial.tell("restart empty")


async def _failed_over(trial: Trial) -> None:
    await anyio.sleep(5.0)
    if trial.shared is not None:
        trial.allowed += await trial.shared.fail_over()


async def _unguarded(trial: Trial) -> None:
    """Away for a while, and operators allow requests without it."""
    await anyio.sleep(3.0)
    await trial.tell("refuse")
    await anyio.sleep(trial.memory + 1.0)
    await trial.tell("accept")


@dataclass(frozen=True)
class Scenario:
    """A script of faults, and what is expected of the store."""

    script: Callable[[Trial], Coroutine[Any, Any, None]]
    keeps: bool = True  # the store keeps what it acknowledged, and nothing proceeds without it
    lag: float | None = None  # of its replica, in windows of the engines
    lines: str = ""


SCENARIOS = {
    "calm": Scenario(_calm),
    "slow": Scenario(_slow),
    "late": Scenario(_late),
    "frozen": Scenario(_frozen),
    "killed": Scenario(_killed),
    "gateways-stopped": Scenario(_stopped),
    "gateways-killed": Scenario(_gateways, lines="    slow 1s\n"),
    "emptied": Scenario(_emptied, keeps=False),
    "failed-over": Scenario(_failed_over, keeps=False, lag=0.5),
    "unguarded": Scenario(_unguarded, keeps=False, lines=f"    unguarded {GUARDED_CLASS} 20\n"),
}


async def _play(
    name: str, with_store: bool, seed: int, seconds: float, memory: float, folder: Path
) -> dict[str, Any]:
    scenario = SCENARIOS[name]
    drawn, idempotency_key_of = draw_repeated_load(_KINDS, _RATE, seconds, _REPEATS, memory, seed)
    with ExitStack() as stack:
        lag = None if scenario.lag is None else int(scenario.lag * memory * 1000)
        shared = stack.enter_context(SharedStore(lag)) if with_store else None
        fleet = IdempotentFleet(folder, shared, memory, store_lines=scenario.lines)
        fleet.idempotency_key_of = idempotency_key_of
        trial = Trial(fleet, shared, memory)
        async with fleet.up():
            await anyio.sleep(_WARM_UP_S)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(scenario.script, trial)
                tasks.start_soon(fleet.load, HALL, drawn)
            await anyio.sleep(_REST_S)
            await fleet.runs()
            until = anyio.current_time()
            commands = len(await shared.record_commands()) if shared is not None else 0
    asked = fleet.account.asked
    firsts = {one.name: one for one in drawn if idempotency_key_of.get(one.name) == one.name * 2}
    counters = fleet.counters()
    return {
        "submissions": len(asked),
        "marked": sum(name in idempotency_key_of for name in asked),
        "repeats": sum(name in idempotency_key_of and name not in firsts for name in asked),
        "second_runs": count_repeated_executions(fleet.account, idempotency_key_of),
        "bound": trial.allowed,
        "commands": commands,
        "unguarded": counters.get("idempotency: proceed unguarded", 0),
        "payoff": earned_share(fleet.account, idempotency_key_of),
        "promises": fleet.account.promises(until),
        "faults": counters.get("faults", 0),
        "marks": {line: count for line, count in counters.items() if line.startswith("idempotency")},
        "took": {
            name: asked[name].answers[0][0] - asked[name].asked
            for name in firsts
            if name in asked and asked[name].answers and asked[name].answers[0][1] == "fulfilled"
        },
    }


# The load of `--cost`: work that is over at once, so that what is measured is the gateway.
_TINY = [replace(KINDS[2], work=0.001, threads=1), replace(KINDS[0], work=0.001)]
_COST_RATE, _COST_SECONDS = 200.0, 8.0


async def _cost(with_store: bool, seed: int, folder: Path) -> dict[str, Any]:
    """CPU of one gateway for each request, none of which is repeated: all guarded, then none."""
    told: dict[str, Any] = {}
    with ExitStack() as stack:
        shared = stack.enter_context(SharedStore()) if with_store else None
        fleet = IdempotentFleet(folder, shared, 20.0, gateways=1, cores=32)
        async with fleet.up():
            await anyio.sleep(_WARM_UP_S)
            for turn, kind in enumerate(_TINY):
                before, asked = fleet.cpu(), len(fleet.account.asked)
                commands = len(await shared.record_commands()) if shared is not None else 0
                drawn = draw([kind], [(0.0, _COST_RATE)], _COST_SECONDS, 2 * seed + turn)
                await fleet.load(HALL, drawn)
                await anyio.sleep(1.0)
                count, spent = len(fleet.account.asked) - asked, fleet.cpu() - before
                told[kind.name] = {"submissions": count, "cpu_us": round(1e6 * spent / count)}
                if shared is not None:
                    told[kind.name]["store_ops"] = round(
                        (len(await shared.record_commands()) - commands) / count, 3
                    )
            await fleet.runs()
            told["promises"] = fleet.account.promises(anyio.current_time())
            told["fulfilled"] = sum(one.in_time() for one in fleet.account.asked.values()) / len(
                fleet.account.asked
            )
    return told


def _both(*words: str) -> tuple[dict[str, Any], dict[str, Any]]:
    """The same with a store and without, side by side."""
    made = [
        subprocess.Popen([sys.executable, "-m", "benchmarks.store", *words, *more], stdout=subprocess.PIPE)
        for more in ((), ("--off",))
    ]
    told = [one.communicate()[0].splitlines() for one in made]
    if any(one.returncode for one in made):
        sys.exit(2)
    return json.loads(told[0][-1]), json.loads(told[1][-1])


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=5.0, show_default=True, help="In which all keys are first used.")
@click.option("--memory", default=3.0, show_default=True, help="Seconds of the engines' window.")
@click.option("--only", multiple=True, type=click.Choice([*SCENARIOS]))
@click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")
@click.option("--cost", is_flag=True, help="A request's CPU, in place of the scenarios.")
@click.option("--one", hidden=True)
@click.option("--off", is_flag=True, hidden=True)
def main(
    seed: int,
    seconds: float,
    memory: float,
    only: tuple[str, ...],
    as_json: bool,
    cost: bool,
    one: str | None,
    off: bool,
) -> None:
    """Play the scenarios; exit code 1 where a promise was broken."""
    if one:
        with tempfile.TemporaryDirectory() as folder:
            print(
                json.dumps(
                    anyio.run(_cost, not off, seed, Path(folder))
                    if one == "cost"
                    else anyio.run(_play, one, not off, seed, seconds, memory, Path(folder))
                )
            )
        return
    words = ("--seed", str(seed), "--seconds", str(seconds), "--memory", str(memory))
    told = _costs(words) if cost else _scenarios(words, only)
    if as_json:
        print(json.dumps(told))
    sys.exit(1 if any(told["promises"].values()) else 0)


def _costs(words: tuple[str, ...]) -> dict[str, Any]:
    on, off = _both("--one", "cost", *words)
    for name in (GUARDED_CLASS, "lookup"):
        print(
            f"{name}: {on[name]['cpu_us']} us of CPU with a store, {off[name]['cpu_us']} without; "
            f"{on[name]['store_ops']} commands to the store each"
        )
    print(f"fulfilled in time: {on['fulfilled']:.3f} with a store, {off['fulfilled']:.3f} without")
    return {
        "on": on,
        "off": off,
        "promises": {name: on["promises"][name] + off["promises"][name] for name in PROMISES},
    }


def _added(on: dict[str, Any], off: dict[str, Any], share: float) -> int:
    """Returns the microseconds between the two runs' times of that rank, over what both have answered."""
    both = sorted(on["took"].keys() & off["took"].keys())
    if not both:
        return 0
    ranked = [sorted(run["took"][name] for name in both)[int(share * (len(both) - 1))] for run in (on, off)]
    added_us: int = round(1e6 * (ranked[0] - ranked[1]))
    return added_us


def _scenarios(words: tuple[str, ...], only: tuple[str, ...]) -> dict[str, Any]:
    told: dict[str, Any] = {"scenarios": {}, "promises": dict.fromkeys(PROMISES, 0)}
    for name in only or SCENARIOS:
        on, off = _both("--one", name, *words)
        told["scenarios"][name] = {
            "submissions": on["submissions"],
            "repeats": on["repeats"],
            "second_runs": on["second_runs"],
            "second_runs_without_store": off["second_runs"],
            "unguarded": on["unguarded"],
            "past_deadline": on["promises"]["past_deadline"],
            "payoff": round(on["payoff"], 4),
            "payoff_without_store": round(off["payoff"], 4),
            "store_ops_per_submission": round(on["commands"] / on["marked"], 3),
            "added_p50_us": _added(on, off, 0.5),
            "added_p99_us": _added(on, off, 0.99),
        }
        for promise in PROMISES:
            told["promises"][promise] += on["promises"][promise] + off["promises"][promise]
        # None, but one for each write that was lost, and for each request that proceeded without the store.
        allowed = 0 if SCENARIOS[name].keeps else on["bound"] + on["unguarded"]
        told["promises"]["second_run"] += max(0, on["second_runs"] - allowed)
        shown = told["scenarios"][name]
        print(
            f"{name:16} second runs {shown['second_runs']} of {allowed} allowed, without a store "
            f"{off['second_runs']}; payoff {on['payoff']:.3f}, {off['payoff']:.3f}; "
            f"{shown['store_ops_per_submission']} commands each; added p50 {shown['added_p50_us']} us, "
            f"p99 {shown['added_p99_us']} us; unguarded {on['unguarded']}",
            flush=True,
        )
        broken = {
            how: {key: value for key, value in run["promises"].items() if value}
            for how, run in (("with", on), ("without", off))
        }
        if any(broken.values()) or on["faults"] or off["faults"]:
            print(f"                 BROKEN {broken}, faults {on['faults']} {off['faults']}", flush=True)
    return told


if __name__ == "__main__":
    main()
