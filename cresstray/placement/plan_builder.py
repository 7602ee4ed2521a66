"""Draft placements: what each engine would hold, and repairs and improvements by moving single copies."""

from __future__ import annotations

from cresstray.placement.model import EngineCapacity, Fleet, Move, active_zones, fill_bounds
from cresstray.placement.order import pair_moves


class PlacementProblem:
    """A fleet with engines and shards as indexes; growth is added for `horizon` seconds."""

    def __init__(self, fleet: Fleet, tolerance: float, horizon: int = 0) -> None:
        self.fleet, self.tolerance, self.horizon = fleet, tolerance, horizon
        self.places: list[EngineCapacity] = [place for place in fleet.places if not place.is_draining]
        number = {place.engine: at for at, place in enumerate(self.places)}
        band = fill_bounds(fleet, tolerance)
        self.min_bytes = [band[place.engine][0] for place in self.places]
        self.max_bytes = [band[place.engine][1] for place in self.places]
        zones = active_zones(fleet)
        self.zone_count = len(zones)
        self.zone_of = [zones.index(place.zone) for place in self.places]
        self.sizes = [shard.size for shard in fleet.shards]
        self.grown_sizes = [shard.size + shard.growth * horizon for shard in fleet.shards]
        self.copy_counts = [len(shard.copies) for shard in fleet.shards]
        # Copies on draining engines leave in any case.
        self.engines_of = [
            {number[copy] for copy in shard.copies if copy in number} for shard in fleet.shards
        ]
        self.needs_two_zones = [self.zone_count > 1 and count > 1 for count in self.copy_counts]
        # A dead engine keeps its copies and receives none.
        self.accepts_copies = [place.bytes_per_s > 0 for place in self.places]

    def moves(self, engines_of: list[set[int]]) -> list[Move]:
        """Returns the moves from the current placement to the given one."""
        moves: list[Move] = []
        for shard, old, new in zip(self.fleet.shards, self.engines_of, engines_of):
            if old != new or len(old) < len(shard.copies):
                moves += pair_moves(self.fleet, shard, sorted(self.places[at].engine for at in new))
        return moves


class DraftPlacement:
    """A placement under construction: engines of each shard, bytes of each engine now and at the horizon."""

    def __init__(self, task: PlacementProblem, spots: list[set[int]]) -> None:
        self.task = task
        self.engines_of = [set(spot) for spot in spots]
        self.held_bytes = [0] * len(task.places)
        self.grown_bytes = [0] * len(task.places)
        self.shards_at: list[set[int]] = [set() for _ in task.places]
        for number, spot in enumerate(self.engines_of):
            for at in spot:
                self._count(number, at, 1)

    def _count(self, number: int, at: int, sign: int) -> None:
        self.held_bytes[at] += sign * self.task.sizes[number]
        self.grown_bytes[at] += sign * self.task.grown_sizes[number]
        (self.shards_at[at].add if sign > 0 else self.shards_at[at].discard)(number)

    def move_copy(self, number: int, source: int | None, target: int | None) -> None:
        """Moves a copy between engines; None as an end adds or removes the copy."""
        if source is not None:
            self.engines_of[number].discard(source)
            self._count(number, source, -1)
        if target is not None:
            self.engines_of[number].add(target)
            self._count(number, target, 1)

    @property
    def bytes(self) -> int:
        """Bytes that the draft sends."""
        task = self.task
        return sum(
            size * len(new - old) for size, old, new in zip(task.sizes, task.engines_of, self.engines_of)
        )

    def excess(self, at: int) -> int:
        """Returns the bytes that must leave an engine, for balance or for headroom at the horizon."""
        return max(
            self.held_bytes[at] - self.task.max_bytes[at],
            self.grown_bytes[at] - self.task.places[at].usable,
            0,
        )

    def lack(self, at: int) -> int:
        """Returns the bytes that an engine is below its minimum."""
        return max(0, self.task.min_bytes[at] - self.held_bytes[at])

    def is_valid(self) -> bool:
        """Returns whether the draft satisfies all constraints."""
        task = self.task
        return (
            not any(self.excess(at) or self.lack(at) for at in range(len(task.places)))
            and all(len(spot) == count for spot, count in zip(self.engines_of, task.copy_counts))
            and all(
                not wide or len({task.zone_of[at] for at in spot}) > 1
                for wide, spot in zip(task.needs_two_zones, self.engines_of)
            )
        )

    def is_allowed(self, number: int, source: int | None, target: int) -> bool:
        """Returns whether the target may take the copy; zones are checked once all copies are placed."""
        task, spot = self.task, self.engines_of[number]
        if target in spot or not (task.accepts_copies[target] or target in task.engines_of[number]):
            return False
        if not task.needs_two_zones[number]:
            return True
        rest = [task.zone_of[at] for at in spot if at != source]
        return len(rest) + 1 < task.copy_counts[number] or any(zone != task.zone_of[target] for zone in rest)

    def fits(self, number: int, target: int) -> bool:
        """Returns whether the target has room for a copy of the shard."""
        task = self.task
        return (
            self.held_bytes[target] + task.sizes[number] <= task.max_bytes[target]
            and self.grown_bytes[target] + task.grown_sizes[number] <= task.places[target].usable
        )

    def place_copy(self, number: int, source: int | None) -> bool:
        """Places a copy on the engine that lacks most, else has most room; returns False if none fits."""
        task = self.task
        best, rank = None, (0.0, 0.0)
        for at in range(len(task.places)):
            if self.fits(number, at) and self.is_allowed(number, source, at):
                usable = max(1, task.places[at].usable)
                new = (self.lack(at) / usable, (task.max_bytes[at] - self.held_bytes[at]) / usable)
                if best is None or new > rank:
                    best, rank = at, new
        if best is None:
            return False
        self.move_copy(number, source, best)
        return True

    def complete(self) -> bool:
        """Places the remaining copies, largest first, then repairs engines with too much or too little."""
        task = self.task
        loose = [
            number
            for number, (spot, count) in enumerate(zip(self.engines_of, task.copy_counts))
            for _ in range(count - len(spot))
        ]
        for number in sorted(loose, key=lambda number: (-task.sizes[number], number)):
            if (
                not self.place_copy(number, None)
                and not self._restore_copy(number)
                and not self._make_room(number)
            ):
                return False
        return self._spread_over_zones() and self._repair()

    def _restore_copy(self, number: int) -> bool:
        for at in sorted(self.task.engines_of[number] - self.engines_of[number]):
            if self.fits(number, at) and self.is_allowed(number, None, at):
                self.move_copy(number, None, at)
                return True
        return False

    def _make_room(self, number: int) -> bool:
        """Places a copy by moving another one, the smallest that frees enough."""
        task = self.task
        for at in sorted(
            range(len(task.places)), key=lambda at: (self.held_bytes[at] - task.max_bytes[at], at)
        ):
            if not self.is_allowed(number, None, at):
                continue
            for other in sorted(self.shards_at[at], key=lambda other: (task.sizes[other], other)):
                if (
                    self.held_bytes[at] + task.sizes[number] - task.sizes[other] > task.max_bytes[at]
                    or self.grown_bytes[at] + task.grown_sizes[number] - task.grown_sizes[other]
                    > task.places[at].usable
                ):
                    continue
                self.move_copy(number, None, at)
                if self.place_copy(other, at):
                    return True
                self.move_copy(number, at, None)
        return False

    def _spread_over_zones(self) -> bool:
        """Moves a copy of each shard that has all copies in one zone."""
        task = self.task
        for number, spot in enumerate(self.engines_of):
            if task.needs_two_zones[number] and len({task.zone_of[at] for at in spot}) < 2:
                if not any(
                    self.place_copy(number, at) for at in sorted(spot, key=lambda at: (self.lack(at), at))
                ):
                    return False
        return True

    def _repair(self) -> bool:
        # Each step helps one engine. More steps than this mean that the repair cycles.
        for _ in range(2 * sum(self.task.copy_counts) + 10):
            over = max(range(len(self.held_bytes)), key=lambda at: (self.excess(at), -at), default=None)
            if over is None:
                return True
            if self.excess(over):
                if not self._relieve(over):
                    return False
                continue
            short = max(range(len(self.held_bytes)), key=lambda at: (self.lack(at), -at))
            if not self.lack(short):
                return True
            if not self._fill(short):
                return False
        return False

    def _relieve(self, at: int) -> bool:
        task, excess = self.task, self.excess(at)
        ranked = sorted(
            self.shards_at[at],
            key=lambda number: (
                at in task.engines_of[number],  # a copy that moves in this plan costs nothing more
                task.sizes[number] < excess,
                task.sizes[number] if task.sizes[number] >= excess else -task.sizes[number],
                number,
            ),
        )
        return any(task.sizes[number] and self.place_copy(number, at) for number in ranked)

    def _fill(self, at: int) -> bool:
        """Moves in the copy closest in size to what the engine lacks, from an engine that can spare it."""
        task, lack = self.task, self.lack(at)
        best, rank = None, None
        for source in range(len(task.places)):
            spare = self.held_bytes[source] - task.min_bytes[source]
            if source == at or spare <= 0:
                continue
            for number in self.shards_at[source]:
                size = task.sizes[number]
                if (
                    not 0 < size <= spare
                    or not self.fits(number, at)
                    or not self.is_allowed(number, source, at)
                ):
                    continue
                moved = source in task.engines_of[number] and at not in task.engines_of[number]
                new = (size < lack, (size if size >= lack else -size) if moved else -size, number, source)
                if rank is None or new < rank:
                    best, rank = (number, source), new
        if best is None:
            return False
        self.move_copy(best[0], best[1], at)
        return True

    def reduce_moves(self) -> None:
        """Undoes unnecessary moves and replaces large ones by smaller ones until neither saves bytes."""
        # Each round sends fewer bytes; later rounds save only a few.
        for _ in range(8):
            before = self.bytes
            self._undo()
            self._exchange()
            if self.bytes == before:
                return

    def _moved(self) -> list[tuple[int, int, int]]:
        task = self.task
        moved = [
            (number, old, new)
            for number, spot in enumerate(self.engines_of)
            if spot != task.engines_of[number]
            for old in sorted(task.engines_of[number] - spot)
            for new in sorted(spot - task.engines_of[number])
        ]
        return sorted(moved, key=lambda one: (-task.sizes[one[0]], one))

    def _undo(self) -> None:
        for number, old, new in self._moved():
            size = self.task.sizes[number]
            if (
                new in self.engines_of[number]
                and old not in self.engines_of[number]
                and self.held_bytes[new] - size >= self.task.min_bytes[new]
                and self.fits(number, old)
                and self.is_allowed(number, new, old)
            ):
                self.move_copy(number, new, old)

    def _exchange(self) -> None:
        task = self.task
        for number, old, new in self._moved():
            if new not in self.engines_of[number] or old in self.engines_of[number]:
                continue
            size = task.sizes[number]
            self.move_copy(number, new, None)
            # Minimum bytes that must come to `new` and leave `old`.
            need = max(
                self.lack(new),
                self.held_bytes[old] + size - task.max_bytes[old],
                self.grown_bytes[old] + task.grown_sizes[number] - task.places[old].usable,
                1,
            )
            fit = [
                (task.sizes[other], other)
                for other in self.shards_at[old]
                if need <= task.sizes[other] < size and old in task.engines_of[other]
            ]
            done = False
            for _, other in sorted(fit):
                if not self.fits(other, new) or not self.is_allowed(other, old, new):
                    continue
                self.move_copy(other, old, new)
                if self.fits(number, old) and self.is_allowed(number, None, old):
                    self.move_copy(number, None, old)
                    done = True
                    break
                self.move_copy(other, new, old)
            if not done:
                self.move_copy(number, None, new)
