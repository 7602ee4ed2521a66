"""Builds the fleet for the planner from the active placement and the disk reports.

Also describes the effect of a plan on each engine for an operator.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

import msgspec

from cresstray.placement.model import EngineCapacity, Fleet, Limits, Plan, Shard

# A dead engine has no growth and receives no copies, so that its disk must not count as full.
_UNREPORTED_DISK_BYTES = 1 << 60


class PlacedShard(Protocol):
    """The used part of fleet_config.documents.Shard."""

    copies: tuple[str, ...]
    primary: str


class DiskCapacity(msgspec.Struct, frozen=True):
    """An engine's report: free bytes, bytes of each shard, and throughput in bytes per second."""

    engine: str
    zone: str
    free: int
    pace: int
    sizes: dict[str, int]


class ShardLoad(msgspec.Struct, frozen=True):
    """Measured load of a shard: growth in bytes per second, and reads and writes per second."""

    growth: int = 0
    heat: float = 0.0


class UnknownSizeError(ValueError):
    """The size of a shard is unknown; a plan with a guessed size could fill a disk."""


def build_fleet(
    placement: Mapping[str, PlacedShard],
    disks: Iterable[DiskCapacity],
    grown: Mapping[str, ShardLoad],
    out: Iterable[str],
    share: float,
    least: int,
    limits: Limits,
) -> Fleet:
    """Returns the current fleet, with a share of each disk as headroom, at least `least` bytes.

    Engines in `out` are to be emptied. A shard is as large as its largest copy. An engine without a report is
    treated as dead: it has no throughput, and is emptied by means of the other copies.

    Raises:
        UnknownSizeError: No engine reported the size of a shard.
    """
    reports = {disk.engine: disk for disk in disks}
    out = frozenset(out)
    sizes: dict[str, int] = {}
    for disk in reports.values():
        for name, size in disk.sizes.items():
            sizes[name] = max(size, sizes.get(name, 0))
    unknown = sorted(name for name in placement if name not in sizes)
    if unknown:
        raise UnknownSizeError(f"no engine told the size of {len(unknown)} shards: {', '.join(unknown[:5])}")
    none = ShardLoad()
    shards = tuple(
        Shard(
            name,
            sizes[name],
            grown.get(name, none).growth,
            grown.get(name, none).heat,
            tuple(placed.copies),
            placed.primary,
        )
        for name, placed in sorted(placement.items())
    )
    places = []
    for engine in sorted(reports.keys() | {copy for shard in shards for copy in shard.copies}):
        disk = reports.get(engine)
        if disk is None:
            places.append(EngineCapacity(engine, "", _UNREPORTED_DISK_BYTES, 0, 0, True))
            continue
        placed = sum(
            size
            for name, size in disk.sizes.items()
            if name in placement and engine in placement[name].copies
        )
        # Other data, such as a partly dropped copy, reduces the usable disk.
        space = disk.free + placed
        whole = disk.free + sum(disk.sizes.values())
        headroom = max(int(whole * share), least)
        places.append(EngineCapacity(engine, disk.zone, space, headroom, disk.pace, engine in out))
    return Fleet(tuple(places), shards, limits)


def fleet_after(fleet: Fleet, plan: Plan) -> Fleet:
    """Returns the fleet after the plan, with current sizes."""
    spots = {shard.name: list(shard.copies) for shard in fleet.shards}
    leads = {shard.name: shard.primary for shard in fleet.shards}
    for stage in plan.stages:
        for at in stage:
            move = plan.moves[at]
            spots[move.shard][spots[move.shard].index(move.source)] = move.target
            if leads[move.shard] == move.source:
                leads[move.shard] = move.target
    shards = tuple(
        msgspec.structs.replace(shard, copies=tuple(spots[shard.name]), primary=leads[shard.name])
        for shard in fleet.shards
    )
    return Fleet(fleet.places, shards, fleet.limits)


def describe_plan(fleet: Fleet, plan: Plan) -> list[str]:
    """Returns lines for an operator: a summary, then each changed engine by decreasing bytes."""
    then = fleet_after(fleet, plan)
    before, later = _held_bytes(fleet), _held_bytes(then)
    came: dict[str, int] = dict.fromkeys(before, 0)
    went = dict(came)
    for move in plan.moves:
        came[move.target] += 1
        went[move.source] += 1
    hops = [move for move in plan.moves if move.hop]
    lines = [
        f"{len(plan.moves)} moves in {len(plan.stages)} stages, {_format_bytes(plan.bytes)},"
        f" some {plan.seconds} s; no plan sends less than {_format_bytes(plan.bound)} ({plan.gap:.1%} beyond)"
    ]
    if hops:
        lines.append(
            f"{len(hops)} of them are hops to make room, {_format_bytes(sum(move.bytes for move in hops))}"
        )
    if plan.tolerance > fleet.limits.tolerance:
        lines.append(
            f"fills are within {plan.tolerance:.0%} of the mean: within {fleet.limits.tolerance:.0%}"
            " was not reached"
        )
    if plan.late:
        lines.append(
            f"{len(plan.late)} engines outgrow their headroom before a copy can leave them:"
            f" {', '.join(plan.late)}"
        )
    changed = [place for place in fleet.places if came[place.engine] or went[place.engine]]
    for place in sorted(
        changed, key=lambda place: (-abs(later[place.engine] - before[place.engine]), place.engine)
    ):
        old, new = before[place.engine], later[place.engine]
        word = "is emptied" if place.is_draining else "gets fuller" if new > old else "gets emptier"
        lines.append(
            f"{place.engine} ({place.zone or 'no zone'}) {word}: {_format_fill(old, place)} >"
            f" {_format_fill(new, place)}, {_format_bytes(abs(new - old))}, {came[place.engine]} come,"
            f" {went[place.engine]} go"
        )
    return lines


def _held_bytes(fleet: Fleet) -> dict[str, int]:
    held = {place.engine: 0 for place in fleet.places}
    for shard in fleet.shards:
        for copy in shard.copies:
            held[copy] += shard.size
    return held


def _format_fill(held: int, place: EngineCapacity) -> str:
    return f"{held / place.usable:.1%}" if place.usable else "no room"


def _format_bytes(count: float) -> str:
    for unit in ("B", "kB", "MB", "GB"):
        if abs(count) < 1000:
            return f"{count:.0f} {unit}" if unit == "B" else f"{count:.1f} {unit}"
        count /= 1000
    return f"{count:.1f} TB"
