"""Baseline plans for comparison: greedy balancing, and rendezvous hashing."""

from __future__ import annotations

import hashlib
import math

from cresstray.placement.model import Fleet, Move
from cresstray.placement.order import pair_moves
from cresstray.placement.plan_builder import DraftPlacement, PlacementProblem


def greedy_moves(fleet: Fleet) -> tuple[list[Move], bool]:
    """Empties draining engines, then moves the largest fitting copy from the fullest to the emptiest engine.

    Returns the moves, and whether all engines are within the tolerance.
    """
    task = PlacementProblem(fleet, fleet.limits.tolerance)
    draft = DraftPlacement(task, task.engines_of)
    room = [max(1, place.usable) for place in task.places]

    def put(number: int, source: int | None, targets: list[int]) -> bool:
        for at in targets:
            if draft.held_bytes[at] + task.sizes[number] <= room[at] and draft.is_allowed(number, source, at):
                draft.move_copy(number, source, at)
                return True
        return False

    def by_fill() -> list[int]:
        return sorted(range(len(room)), key=lambda at: (draft.held_bytes[at] / room[at], at))

    for number, (spot, count) in enumerate(zip(task.engines_of, task.copy_counts)):
        for _ in range(count - len(spot)):
            if not put(number, None, by_fill()):
                return [], False
    for number in range(len(task.engines_of)):
        if task.needs_two_zones[number] and len({task.zone_of[at] for at in draft.engines_of[number]}) < 2:
            put(number, min(draft.engines_of[number]), by_fill())
    # Each step relieves the fullest engine that can be; one step per copy is enough.
    for _ in range(sum(task.copy_counts)):
        order = by_fill()
        if not any(draft.excess(at) or draft.lack(at) for at in order):
            break
        if not any(_move_from(draft, source, order) for source in reversed(order)):
            break
    return task.moves(draft.engines_of), draft.is_valid()


def _move_from(draft: DraftPlacement, source: int, order: list[int]) -> bool:
    task = draft.task
    for target in order:
        spare = task.places[source].usable or 1
        for number in sorted(draft.shards_at[source], key=lambda number: (-task.sizes[number], number)):
            size = task.sizes[number]
            usable = task.places[target].usable or 1
            # A move that doesn't even out the two engines could be reversed endlessly.
            if (
                (draft.held_bytes[target] + size) / usable < draft.held_bytes[source] / spare
                and draft.is_allowed(number, source, target)
                and draft.held_bytes[target] + size <= usable
            ):
                draft.move_copy(number, source, target)
                return True
    return False


def rendezvous_moves(fleet: Fleet) -> list[Move]:
    """Places every shard by rendezvous hashing over the remaining engines, weighted by usable bytes."""
    places = [place for place in fleet.places if not place.is_draining and place.bytes_per_s and place.usable]
    zones = len({place.zone for place in places})
    moves: list[Move] = []
    for shard in fleet.shards:
        scores = {place.engine: _score(shard.name, place.engine, place.usable) for place in places}
        ranked = sorted(places, key=lambda place: (-scores[place.engine], place.engine))
        chosen = ranked[: len(shard.copies)]
        if zones > 1 and len(chosen) > 1 and len({place.zone for place in chosen}) < 2:
            chosen[-1] = next(place for place in ranked if place.zone != chosen[0].zone)
        moves += pair_moves(fleet, shard, [place.engine for place in chosen])
    return moves


def _score(shard: str, engine: str, weight: int) -> float:
    drawn = int.from_bytes(hashlib.blake2b(f"{shard}/{engine}".encode(), digest_size=8).digest())
    return -weight / math.log((drawn + 1) / (2**64 + 2))
