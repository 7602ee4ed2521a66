"""Plans for two fleets beside greedy and hashed ones: python -m benchmarks.placement [--seed N] [--json].

Each fleet has engines to be emptied, new ones with nothing on them, and others that are too full. Times are
those of the solver's process, from its start to its end.
"""

from __future__ import annotations

import json
import random
import sys
import time

import click

from cresstray.placement.check import check
from cresstray.placement.fleetmap import describe_plan
from cresstray.placement.greedy import greedy_moves, rendezvous_moves
from cresstray.placement.model import DeadEndError, EngineCapacity, Fleet, Limits, PlacementError, Plan, Shard
from cresstray.placement.order import order_moves
from cresstray.placement.worker import plan_in_worker

_GB = 10**9
# Engines, shards, seconds, and the share that a plan may send beyond the bound.
SIZES = {"medium": (40, 600, 20.0, 0.02), "large": (300, 5_000, 60.0, 0.1)}


def drawn(
    engines: int, shards: int, seed: int, fill: float = 0.6, out: float = 0.05, new: float = 0.05
) -> Fleet:
    """A fleet in three zones, `fill` of its old disks in use; a share of engines is out, another new."""
    chance = random.Random(seed)
    leaving, empty = max(1, int(engines * out)), max(1, int(engines * new))
    sizes = [int(chance.lognormvariate(0, 0.8) * 10 * _GB) + 1 for _ in range(shards)]
    counts = [chance.choices((1, 2, 3), (1, 6, 3))[0] for _ in range(shards)]
    each = sum(size * count for size, count in zip(sizes, counts)) / (engines - empty) / fill
    disks = [int(each * chance.choice((0.8, 1.0, 1.0, 1.2))) for _ in range(engines)]
    names = [f"e{at:03}" for at in range(engines)]
    places = tuple(
        EngineCapacity(name, f"z{at % 3}", disk, disk // 10, 200_000_000, at >= engines - leaving)
        for at, (name, disk) in enumerate(zip(names, disks))
    )
    # Some engines were filled faster than others: up to a third more or less than the mean.
    taste = [chance.uniform(0.7, 1.3) for _ in range(engines)]
    used = [0] * engines
    told: list[Shard] = []
    for number, (size, count) in enumerate(zip(sizes, counts)):
        picked: list[int] = []
        while len(picked) < count:
            picked = []
            tried = chance.sample(range(empty, engines), min(engines - empty, 8))
            for at in sorted(tried, key=lambda at: used[at] / disks[at] / taste[at]):
                last = len(picked) == count - 1
                if (
                    len(picked) < count
                    and used[at] + size <= places[at].usable
                    and not (last and picked and len({other % 3 for other in [*picked, at]}) < 2)
                ):
                    picked.append(at)
        for at in picked:
            used[at] += size
        told.append(
            Shard(
                f"s{number:04}",
                size,
                chance.choice((0, 1_000, 20_000)),
                chance.random(),
                tuple(names[at] for at in picked),
                names[picked[0]],
            )
        )
    return Fleet(places, tuple(told), Limits())


def _compared(fleet: Fleet, moves: list, even: bool | None) -> dict:
    """What another way of planning sends, and whether there is an order for it under headroom."""
    told: dict = {"bytes": sum(move.bytes for move in moves), "moves": len(moves)}
    if even is not None:
        told["within_tolerance"] = even
    try:
        order = order_moves(fleet, moves)
        told["bytes"] = sum(move.bytes for move in order.moves)
        told["ordered"] = True
    except DeadEndError:
        told["ordered"] = False
    return told


def _run(name: str, seed: int) -> tuple[dict, Fleet, Plan | None]:
    engines, shards, seconds, aim = SIZES[name]
    fleet = drawn(engines, shards, seed)
    began = time.monotonic()
    first: list[tuple[float, int]] = []
    told: dict = {"engines": engines, "shards": shards, "limit_s": seconds, "aim": aim}
    try:
        plan = plan_in_worker(
            fleet, seconds, heard=lambda plan: first.append((time.monotonic() - began, plan.bytes))
        )
    except PlacementError as error:
        return {**told, "error": str(error)}, fleet, None
    took = time.monotonic() - began
    breaches = check(fleet, plan)
    told |= {
        "bytes": plan.bytes,
        "bound": plan.bound,
        "gap": round(plan.gap, 4),
        "seconds": round(took, 1),
        "first_s": round(first[0][0], 1) if first else None,
        "tolerance": plan.tolerance,
        "moves": len(plan.moves),
        "hops": sum(move.hop for move in plan.moves),
        "stages": len(plan.stages),
        "carried_out_s": plan.seconds,
        "late": len(plan.late),
        "headroom_broken": sum("headroom" in line for line in breaches),
        "breaches": breaches[:5],
        "greedy": _compared(fleet, *greedy_moves(fleet)),
        "hashed": _compared(fleet, rendezvous_moves(fleet), None),
    }
    return told, fleet, plan


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--size", "sizes", type=click.Choice(list(SIZES)), multiple=True, help="Both, if not given.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")
def main(seed: int, sizes: tuple[str, ...], as_json: bool) -> None:
    results: dict[str, dict] = {}
    for name in sizes or SIZES:
        told, fleet, plan = _run(name, seed)
        results[name] = told
        if not as_json:
            _show(name, told, fleet, plan)
    if as_json:
        click.echo(json.dumps({"seed": seed, "sizes": results}))
    sys.exit(int(any(told.get("error") or told["breaches"] for told in results.values())))


def _show(name: str, told: dict, fleet: Fleet, plan: Plan | None) -> None:
    click.echo(f"{name}: {told['engines']} engines, {told['shards']} shards, limit {told['limit_s']:g} s")
    if plan is None:
        click.echo(f"  no plan: {told['error']}")
        return
    click.echo(f"  {describe_plan(fleet, plan)[0]}")
    click.echo(
        f"  found in {told['seconds']} s, the first plan after {told['first_s']} s;"
        f" aim {told['aim']:.0%}; {len(told['breaches'])} breaches"
    )
    for other in ("greedy", "hashed"):
        one = told[other]
        click.echo(
            f"  {other}: {one['bytes'] / plan.bytes:.2f} times the bytes, {one['moves']} moves,"
            f" {'with' if one['ordered'] else 'WITHOUT'} an order under headroom"
        )


if __name__ == "__main__":
    main()
