"""Checks a plan before it starts by replaying it, independently of the planner's code."""

from __future__ import annotations

from fractions import Fraction

from cresstray.placement.model import EngineCapacity, Fleet, Plan

# More lines don't help an operator.
_MAX_BREACHES = 50


def check(fleet: Fleet, plan: Plan) -> list[str]:
    """Returns the violations, if any, of headroom at each moment and of all other constraints."""
    return _PlanReplay(fleet, plan).breaches()[:_MAX_BREACHES]


class _PlanReplay:
    def __init__(self, fleet: Fleet, plan: Plan) -> None:
        self.fleet, self.plan = fleet, plan
        self.places: dict[str, EngineCapacity] = {place.engine: place for place in fleet.places}
        self.shards = {shard.name: shard for shard in fleet.shards}
        self.engines_of: dict[str, list[str]] = {shard.name: list(shard.copies) for shard in fleet.shards}
        self.primary_of = {shard.name: shard.primary for shard in fleet.shards}
        self.zones = len({place.zone for place in fleet.places if not place.is_draining})
        self.breaches_found: list[str] = []
        self.overfull: set[str] = set()  # engines that have been too full since the start
        self.used_targets: set[str] = set()

    def breaches(self) -> list[str]:
        plan = self.plan
        if sorted(at for stage in plan.stages for at in stage) != list(range(len(plan.moves))):
            return ["the stages do not hold each move once"]
        if plan.bytes != sum(move.bytes for move in plan.moves):
            self.breaches_found.append(f"the moves do not add up to {plan.bytes} bytes")
        if plan.bound > plan.bytes:
            self.breaches_found.append(f"fewer bytes than the bound of {plan.bound}")
        self.overfull = {engine for engine, free in self._free_bytes(0, []).items() if free < 0}
        second = 0
        for number, stage in enumerate(plan.stages):
            duration_s = self._replay_stage(number, stage, second)
            if duration_s is None:
                return self.breaches_found
            second += duration_s
        if second != plan.seconds:
            self.breaches_found.append(f"takes {second} s and says {plan.seconds}")
        self._check_end(second)
        return self.breaches_found

    def _free_bytes(self, second: int, coming: list[tuple[str, str]]) -> dict[str, int]:
        """Returns the free bytes of each engine above its headroom, summed from all copies."""
        free = {place.engine: max(0, place.disk_bytes - place.headroom) for place in self.fleet.places}
        for name, engines in self.engines_of.items():
            shard = self.shards[name]
            for engine in engines:
                free[engine] -= shard.size + shard.growth * second
        for name, engine in coming:
            free[engine] -= self.shards[name].size + self.shards[name].growth * second
        return free

    def _replay_stage(self, number: int, stage: tuple[int, ...], second: int) -> int | None:
        found, moves = self.breaches_found, [self.plan.moves[at] for at in stage]
        before = len(found)
        loads: dict[str, int] = {}
        borders: dict[tuple[str, ...], int] = {}
        reads: list[str] = []
        for move in moves:
            name, engines = move.shard, self.engines_of.get(move.shard)
            if engines is None or move.source not in engines or move.target not in self.places:
                found.append(f"stage {number}: {move.shard} is not on {move.source}")
                return None
            if move.target in engines:
                found.append(f"stage {number}: {move.target} has {name} already")
            if self.places[move.target].is_draining:
                found.append(f"stage {number}: {move.target} is out and takes {name}")
            if move.bytes != self.shards[name].size:
                found.append(f"stage {number}: {name} has not {move.bytes} bytes")
            if move.primary != (self.primary_of[name] == move.source):
                found.append(f"stage {number}: {name} and its primary part")
            alive = [one for one in [move.source, *sorted(engines)] if self.places[one].bytes_per_s > 0]
            if not alive:
                found.append(f"stage {number}: no engine can send {name}")
                return None
            reads.append(alive[0])
            for engine in (alive[0], move.target):
                loads[engine] = loads.get(engine, 0) + 1
            pair = tuple(sorted({self.places[alive[0]].zone, self.places[move.target].zone}))
            if len(pair) > 1:
                borders[pair] = borders.get(pair, 0) + 1
        if len({move.shard for move in moves}) < len(moves):
            found.append(f"stage {number}: a shard moves twice")
        limits = self.fleet.limits
        found += [
            f"stage {number}: {count} moves at once on {engine}"
            for engine, count in loads.items()
            if count > limits.moves
        ]
        found += [
            f"stage {number}: {count} moves at once between {' and '.join(pair)}"
            for pair, count in borders.items()
            if count > limits.border_moves
        ]
        duration_s = 0
        for move, reader in zip(moves, reads):
            shard = self.shards[move.shard]
            paces = [
                int(self.places[engine].bytes_per_s * limits.share) // loads[engine]
                for engine in (reader, move.target)
            ]
            pair = tuple(sorted({self.places[reader].zone, self.places[move.target].zone}))
            if len(pair) > 1 and limits.border_pace:
                paces.append(limits.border_pace // borders[pair])
            gain = min(paces) - shard.growth
            if gain <= 0:
                found.append(f"stage {number}: {move.shard} grows faster than it is copied")
                return None
            size = shard.size + shard.growth * second
            duration_s = max(duration_s, 1, (size + gain - 1) // gain)
        targets = {move.target for move in moves}
        self.used_targets |= targets
        # Usage peaks when all new copies are complete and no old one is dropped yet.
        free = self._free_bytes(second + duration_s, [(move.shard, move.target) for move in moves])
        self._check_headroom(f"stage {number}", free, targets)
        for move in moves:
            engines = self.engines_of[move.shard]
            zones = {self.places[engine].zone for engine in engines}
            engines.remove(move.source)
            engines.append(move.target)
            if self.zones > 1 and len(zones) > 1 == len({self.places[engine].zone for engine in engines}):
                found.append(f"stage {number}: {move.shard} is left in one zone")
            if self.primary_of[move.shard] == move.source:
                self.primary_of[move.shard] = move.target
        self.overfull -= {
            engine for engine, left in self._free_bytes(second + duration_s, []).items() if left >= 0
        }
        return None if len(found) > before + _MAX_BREACHES else duration_s

    def _check_headroom(self, when: str, free: dict[str, int], targets: set[str]) -> None:
        for engine, left in free.items():
            if left < 0 and engine in self.plan.late and engine not in self.used_targets:
                self.overfull.add(engine)  # reported in `late`: it outgrows its headroom by itself
            elif left < 0 and (engine in targets or engine not in self.overfull):
                self.breaches_found.append(f"{when}: {engine} lacks {-left} bytes of its headroom")
            elif left >= 0:
                self.overfull.discard(engine)

    def _check_end(self, second: int) -> None:
        found, free = self.breaches_found, self._free_bytes(second, [])
        held = {place.engine: 0 for place in self.fleet.places}
        for name, engines in self.engines_of.items():
            found += [
                f"at the end: {name} is on {engine}, which is out"
                for engine in engines
                if self.places[engine].is_draining
            ]
            if self.zones > 1 and len(engines) > 1 == len({self.places[engine].zone for engine in engines}):
                found.append(f"at the end: {name} is in one zone")
            for engine in engines:
                held[engine] += self.shards[name].size
        found += [
            f"at the end: {engine} lacks {-left} bytes of its headroom"
            for engine, left in free.items()
            if left < 0 and not self.places[engine].is_draining
        ]
        stays = [place for place in self.fleet.places if not place.is_draining]
        usable = sum(max(0, place.disk_bytes - place.headroom) for place in stays)
        if not usable or self.plan.tolerance >= 1:
            return
        mean = Fraction(sum(held[place.engine] for place in stays), usable)
        # The planner rounds the tolerance to a millionth.
        near = Fraction(round(self.plan.tolerance * 1_000_000), 1_000_000)
        for place in stays:
            room = max(0, place.disk_bytes - place.headroom)
            if abs(held[place.engine] - mean * room) > near * room:
                found.append(
                    f"at the end: {place.engine} is further than {self.plan.tolerance:g} from the mean fill"
                )
