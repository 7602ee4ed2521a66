"""Orders moves in stages that keep headroom at every moment, with hops over a third engine if needed.

A stage ends when all of its old copies are dropped: until then both ends hold the copies, which grow. Every
order is simulated to its end before it is returned.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from cresstray.placement.model import DeadEndError, EngineCapacity, Fleet, Move, Shard, active_zones

# The search stops after so many states, some seconds; small fleets have fewer in all.
_MAX_STATES = 100_000
# With more pairs of shard and engine, an exhaustive search takes too long.
_MAX_SEARCHED_PAIRS = 400

CopyEngines = tuple[str, ...]


class Order(NamedTuple):
    """Moves in the order of their stages, with hops; `seconds` is an estimate that growth is based on."""

    moves: tuple[Move, ...]
    stages: tuple[tuple[int, ...], ...]
    seconds: int
    late: tuple[str, ...] = ()


class PlacementState:
    """The location of all copies and the usage of all engines at one moment of a plan."""

    def __init__(self, fleet: Fleet, lenient: bool = False) -> None:
        self.fleet, self.lenient = fleet, lenient
        self.limits = fleet.limits
        self.places: dict[str, EngineCapacity] = {place.engine: place for place in fleet.places}
        self.shards: dict[str, Shard] = {shard.name: shard for shard in fleet.shards}
        self.engines_of: dict[str, set[str]] = {shard.name: set(shard.copies) for shard in fleet.shards}
        self.primary: dict[str, str] = {shard.name: shard.primary for shard in fleet.shards}
        self.zoned = len(active_zones(fleet)) > 1
        self.base_bytes: Counter[str] = Counter({place.engine: 0 for place in fleet.places})
        self.growth_per_s: Counter[str] = Counter({place.engine: 0 for place in fleet.places})
        self.now_s = 0
        for shard in fleet.shards:
            for copy in shard.copies:
                self.base_bytes[copy] += shard.size
                self.growth_per_s[copy] += shard.growth
        # Engines that are too full at the start receive nothing until they aren't; the plan isn't at fault.
        self.used_targets: set[str] = set()
        self.outgrown: set[str] = set()
        self.over_full = {
            place.engine for place in fleet.places if self.held_bytes(place.engine, 0) > place.usable
        }

    def held_bytes(self, engine: str, at: int) -> int:
        """Returns the bytes that an engine holds at the given second."""
        return self.base_bytes[engine] + self.growth_per_s[engine] * at

    def free_bytes(self, engine: str, at: int) -> int:
        """Returns the free bytes above the headroom at the given second; negative if too full."""
        return self.places[engine].usable - self.held_bytes(engine, at)

    def missing_bytes(self) -> dict[str, int]:
        """Returns the bytes that engines lack now, except draining ones."""
        return {
            engine: -self.free_bytes(engine, self.now_s)
            for engine, place in self.places.items()
            if not place.is_draining and self.free_bytes(engine, self.now_s) < 0
        }

    def may_move(self, shard: str, source: str, target: str) -> bool:
        """Returns whether the target accepts copies and the shard stays in two zones."""
        spots, places = self.engines_of[shard], self.places
        if (
            source not in spots
            or target in spots
            or places[target].is_draining
            or not places[target].bytes_per_s
        ):
            return False
        if not self.zoned or len(spots) < 2 or len({places[spot].zone for spot in spots}) < 2:
            return True
        return len({places[spot].zone for spot in spots if spot != source} | {places[target].zone}) > 1

    def reader(self, move: Move) -> str | None:
        """Returns the engine that sends: the source, or another copy's if the source is dead."""
        if self.places[move.source].bytes_per_s:
            return move.source
        others = [spot for spot in sorted(self.engines_of[move.shard]) if self.places[spot].bytes_per_s]
        return others[0] if others else None

    def zone_border(self, reader: str, target: str) -> tuple[str, str] | None:
        """Returns the two zones that a copy crosses, or None within a zone."""
        one, other = self.places[reader].zone, self.places[target].zone
        return None if one == other else (min(one, other), max(one, other))

    def copy_seconds(
        self, move: Move, reader: str, reads: int, writes: int, crosses: int, at: int
    ) -> int | None:
        """Returns the duration with concurrent moves at both ends and between zones; None if endless."""
        limits, shard = self.limits, self.shards[move.shard]
        pace = min(
            int(self.places[reader].bytes_per_s * limits.share) // reads,
            int(self.places[move.target].bytes_per_s * limits.share) // writes,
        )
        if crosses and limits.border_pace:
            pace = min(pace, limits.border_pace // crosses)
        if pace <= shard.growth:
            return None
        return max(1, -(-(shard.size + shard.growth * at) // (pace - shard.growth)))

    def worst_case_seconds(self, move: Move) -> int | None:
        """Returns the duration with as many concurrent moves as the limits allow."""
        reader = self.reader(move)
        if reader is None:
            return None
        crosses = self.limits.border_moves if self.zone_border(reader, move.target) else 0
        return self.copy_seconds(move, reader, self.limits.moves, self.limits.moves, crosses, self.now_s)

    def stage_seconds(self, stage: list[Move]) -> int | None:
        """Returns the duration of concurrent moves; None if one of them never ends."""
        readers = [self.reader(move) for move in stage]
        ends: Counter[str] = Counter(move.target for move in stage)
        ends.update(reader for reader in readers if reader)
        crosses: Counter[tuple[str, str]] = Counter()
        for move, reader in zip(stage, readers):
            if reader and (border := self.zone_border(reader, move.target)):
                crosses[border] += 1
        longest = 0
        for move, reader in zip(stage, readers):
            if reader is None:
                return None
            border = self.zone_border(reader, move.target)
            lasts = self.copy_seconds(
                move, reader, ends[reader], ends[move.target], crosses[border] if border else 0, self.now_s
            )
            if lasts is None:
                return None
            longest = max(longest, lasts)
        return longest

    def pick_stage(self, wanted: list[Move], until: int, whole: bool = True) -> list[Move]:
        """Returns the moves, by order, that limits and space allow until the given second.

        Unless `whole`, stops at the first move that has to wait.
        """
        picked: list[Move] = []
        ends: Counter[str] = Counter()
        crosses: Counter[tuple[str, str]] = Counter()
        shards: set[str] = set()
        room: dict[str, int] = {}
        for move in wanted:
            reader = self.reader(move)
            border = self.zone_border(reader, move.target) if reader else None
            shard = self.shards[move.shard]
            size = shard.size + shard.growth * until
            free = room.get(move.target)
            if free is None:
                free = room[move.target] = self.free_bytes(move.target, until)
            if (
                reader is None
                or move.shard in shards
                or size > free
                or max(ends[reader], ends[move.target]) >= self.limits.moves
                or (border and crosses[border] >= self.limits.border_moves)
                or not self.may_move(move.shard, move.source, move.target)
            ):
                if not whole:
                    break
                continue
            picked.append(move)
            shards.add(move.shard)
            ends.update((reader, move.target))
            if border:
                crosses[border] += 1
            room[move.target] -= size
        return picked

    def apply_stage(self, stage: list[Move]) -> str | None:
        """Applies a stage; returns the violation, if any, after which the state is unusable."""
        lasts = self.stage_seconds(stage)
        if lasts is None:
            return "a shard grows faster than it is copied"
        self.now_s += lasts
        for move in stage:
            shard = self.shards[move.shard]
            if not self.may_move(move.shard, move.source, move.target):
                return f"shard {move.shard} may not be on {move.target}"
            self.engines_of[move.shard].add(move.target)
            self.base_bytes[move.target] += shard.size
            self.growth_per_s[move.target] += shard.growth
        targets = {move.target for move in stage}
        self.used_targets |= targets
        for engine in self.places:
            if self.free_bytes(engine, self.now_s) >= 0:
                self.over_full.discard(engine)
            elif self.lenient and engine not in self.used_targets:
                self.over_full.add(engine)
                self.outgrown.add(engine)
            elif engine in targets or engine not in self.over_full:
                return f"engine {engine} lacks {-self.free_bytes(engine, self.now_s)} bytes"
        for move in stage:
            shard = self.shards[move.shard]
            self.engines_of[move.shard].discard(move.source)
            self.base_bytes[move.source] -= shard.size
            self.growth_per_s[move.source] -= shard.growth
            if self.primary[move.shard] == move.source:
                self.primary[move.shard] = move.target
            if self.free_bytes(move.source, self.now_s) >= 0:
                self.over_full.discard(move.source)
        return None


def pair_moves(fleet: Fleet, shard: Shard, after: CopyEngines | list[str]) -> list[Move]:
    """Returns the moves that bring a shard's copies to `after`, within zones if possible."""
    zones = {place.engine: place.zone for place in fleet.places}
    sources = sorted(set(shard.copies) - set(after))
    targets = sorted(set(after) - set(shard.copies))
    pairs: list[tuple[str, str]] = []
    for source in list(sources):
        near = [target for target in targets if zones[target] == zones[source]]
        if near:
            pairs.append((source, near[0]))
            sources.remove(source)
            targets.remove(near[0])
    pairs += zip(sources, targets)
    return [Move(shard.name, source, target, shard.size, source == shard.primary) for source, target in pairs]


def order_moves(fleet: Fleet, moves: list[Move] | tuple[Move, ...]) -> Order:
    """Returns stages for the moves, with hops if needed.

    An engine that outgrows its headroom before a copy can leave is listed as late and receives none.

    Raises:
        DeadEndError: No order was found; names the engines and the bytes that they lack.
    """
    rest = list(moves)
    stages, stuck = _build_stages(PlacementState(fleet), rest)
    if not stuck:
        return _number_stages(fleet, stages)
    after = {shard.name: set(shard.copies) for shard in fleet.shards}
    for move in moves:
        after[move.shard] -= {move.source}
        after[move.shard] |= {move.target}
    aim = [tuple(sorted(after[shard.name])) for shard in fleet.shards]
    path, whole = search_moves(
        fleet,
        lambda spots: all(map(tuple.__eq__, spots, aim)),
        lambda number, spot: len(set(spot) - set(aim[number])),
    )
    if path is not None:
        try:
            return stages_in_order(fleet, path)
        except DeadEndError as error:
            missing = error.missing
            why = str(error)
    elif whole:
        missing = _missing_room(PlacementState(fleet), rest)
        raise DeadEndError(_dead_end_message("no order of these moves exists", missing), missing, True)
    else:
        missing, why = {}, ""
    for lenient in (False, True):
        stages, stuck = _build_stages(PlacementState(fleet, lenient), rest, hops=True)
        if not stuck:
            return _number_stages(fleet, stages, lenient)
    missing = missing or _missing_room(PlacementState(fleet), stuck)
    raise DeadEndError(
        why or _dead_end_message(f"no order was found for {len(stuck)} of {len(rest)} moves", missing),
        missing,
        False,
    )


def stages_in_order(fleet: Fleet, path: list[Move]) -> Order:
    """Returns stages for moves that must start in this order."""
    placement, rest, stages = PlacementState(fleet), list(path), []
    while rest:
        lasts = max((placement.worst_case_seconds(move) or 0 for move in rest[:1]), default=0)
        stage = placement.pick_stage(rest, placement.now_s + lasts, whole=False) or rest[:1]
        # With a longer move in the stage, the first could outgrow its space; it then runs alone.
        kept = (
            [move for move in stage if (placement.worst_case_seconds(move) or 0) <= lasts]
            if stage[1:]
            else stage
        )
        stage = kept if kept == stage[: len(kept)] and kept else stage[:1]
        broken = placement.apply_stage(stage)
        if broken:
            missing = _missing_room(placement, stage)
            why = _dead_end_message(f"no order keeps headroom while shards grow: {broken}", missing)
            raise DeadEndError(why, missing, False)
        stages.append(stage)
        rest = rest[len(stage) :]
    if missing := placement.missing_bytes():
        raise DeadEndError(
            _dead_end_message("no order keeps headroom while shards grow", missing), missing, False
        )
    return _number_stages(fleet, stages)


def _build_stages(
    placement: PlacementState, moves: list[Move], hops: bool = False
) -> tuple[list[list[Move]], list[Move]]:
    """Returns stages that are as full as possible, and the moves that fit in none."""
    pending, stages = list(moves), []
    hopped: Counter[str] = Counter()
    while pending:
        stage = _next_stage(placement, pending)
        going = [move for move in pending if move not in stage]
        if not stage:
            hop = _cheapest_hops(placement, pending, hopped) if hops else None
            if hop is None:
                return stages, pending
            stage, going = hop
        if placement.apply_stage(stage):
            return stages, pending
        pending = going
        stages.append(stage)
    return stages, list(moves) if placement.missing_bytes() else []


def _next_stage(placement: PlacementState, pending: list[Move]) -> list[Move]:
    lasts = {id(move): placement.worst_case_seconds(move) for move in pending}
    able = [move for move in pending if lasts[id(move)] is not None]
    # The longest first: what runs beside each other then takes much the same time. Engines that are over, or
    # will be when the longest ends, go before all others.
    span = max((lasts[id(move)] or 0 for move in able), default=0)
    hurried = {
        engine for engine in placement.places if placement.free_bytes(engine, placement.now_s + 2 * span) < 0
    }
    # What is near its headroom cannot wait for a long stage, if there is something short to be moved off it.
    until = min(
        (
            placement.free_bytes(engine, placement.now_s) // placement.growth_per_s[engine]
            for engine in hurried
            if engine not in placement.over_full and placement.growth_per_s[engine]
        ),
        default=span,
    )
    short = [move for move in able if (lasts[id(move)] or 0) <= until]
    if until < span and any(move.source in hurried for move in short):
        able = short
    able.sort(key=lambda move: (move.source not in hurried, -(lasts[id(move)] or 0), move.shard, move.source))
    while able:
        longest = max(lasts[id(move)] or 0 for move in able)
        stage = placement.pick_stage(able, placement.now_s + longest)
        if stage:
            return stage
        able = [move for move in able if (lasts[id(move)] or 0) < longest]
    return []


def _cheapest_hops(
    placement: PlacementState, pending: list[Move], hopped: Counter[str]
) -> tuple[list[Move], list[Move]] | None:
    """Returns the cheapest hops off the target of a waiting move, and the moves that are pending then.

    A copy that was to leave moves on from the third engine; any other copy comes back.
    """
    best: tuple[int, list[Move], list[Move]] | None = None
    leaving = {(move.shard, move.source): move for move in pending}
    for move in sorted(pending, key=lambda move: (move.bytes, move.shard, move.source)):
        shard, target = placement.shards[move.shard], move.target
        lasts = placement.worst_case_seconds(move)
        if lasts is None or placement.places[target].is_draining:
            continue
        until = placement.now_s + 3 * lasts
        lack = shard.size + shard.growth * until - placement.free_bytes(target, until)
        found = (
            _hops_to_free(placement, target, move.shard, lack, until, leaving, hopped) if lack > 0 else None
        )
        if found:
            cost = sum(hop.bytes * (1 if (hop.shard, hop.source) in leaving else 2) for hop in found)
            if best is None or cost < best[0]:
                going = [
                    one
                    for one in pending
                    if (one.shard, one.source) not in {(hop.shard, hop.source) for hop in found}
                ]
                going += [
                    _onward_move(hop, leaving)
                    for hop in found
                    if _onward_move(hop, leaving).target != hop.target
                ]
                best = cost, found, going
    if best is None:
        return None
    hopped.update(move.shard for move in best[1])
    return best[1], best[2]


def _onward_move(hop: Move, leaving: dict[tuple[str, str], Move]) -> Move:
    was = leaving.get((hop.shard, hop.source))
    return Move(hop.shard, hop.target, was.target if was else hop.source, hop.bytes, hop.primary)


def _hops_to_free(
    placement: PlacementState,
    engine: str,
    but: str,
    lack: int,
    until: int,
    leaving: dict[tuple[str, str], Move],
    hopped: Counter[str],
) -> list[Move] | None:
    """Returns moves to other engines that free so many bytes on an engine."""
    # Without a limit, hops could repeat endlessly.
    here = [
        placement.shards[name]
        for name in placement.engines_of
        if name != but and engine in placement.engines_of[name] and hopped[name] < 2
    ]
    # Copies that leave anyway come first, then the smallest that is enough, else the largest.
    here.sort(
        key=lambda shard: (
            (shard.name, engine) not in leaving,
            shard.size < lack,
            shard.size if shard.size >= lack else -shard.size,
            shard.name,
        )
    )
    found: list[Move] = []
    taken: Counter[str] = Counter()
    for shard in here:
        size = shard.size + shard.growth * until
        fits = [
            place.engine
            for place in placement.fleet.places
            if placement.may_move(shard.name, engine, place.engine)
            and placement.free_bytes(place.engine, until) - taken[place.engine] >= size
        ]
        if not fits:
            continue
        zone = placement.places[engine].zone
        third = min(
            fits,
            key=lambda name: (
                placement.places[name].zone != zone,
                taken[name] - placement.free_bytes(name, until),
                name,
            ),
        )
        taken[third] += size
        found.append(Move(shard.name, engine, third, shard.size, placement.primary[shard.name] == engine))
        lack -= shard.size
        if lack <= 0:
            break
        if len(found) >= placement.limits.moves:
            return None
    return found if lack <= 0 and placement.pick_stage(found, placement.now_s) == found else None


def search_moves(
    fleet: Fleet,
    goal: Callable[[list[CopyEngines]], bool],
    away: Callable[[int, CopyEngines], int],
    most: int = _MAX_STATES,
) -> tuple[list[Move] | None, bool]:
    """Searches the sequence of moves, with hops, that reaches a goal placement with the fewest bytes.

    `away` returns how many copies of a shard (by index) still have to move. The result is the moves or None,
    and whether the search was exhaustive.
    """
    places = [place for place in fleet.places if not place.is_draining and place.bytes_per_s]
    if len(fleet.shards) * len(places) > _MAX_SEARCHED_PAIRS:
        return None, False
    zone = {place.engine: place.zone for place in fleet.places}
    usable = {place.engine: place.usable for place in places}
    zoned, sizes = len(active_zones(fleet)) > 1, [shard.size for shard in fleet.shards]
    readable = {place.engine for place in fleet.places if place.bytes_per_s}
    start = tuple(tuple(sorted(shard.copies)) for shard in fleet.shards)
    costs, came = {start: 0}, {}
    heap = [(sum(sizes[number] * away(number, spot) for number, spot in enumerate(start)), 0, start)]
    done: set[tuple[CopyEngines, ...]] = set()
    while heap:
        guess, cost, state = heapq.heappop(heap)
        if state in done:
            continue
        if goal(list(state)):
            return _path(fleet, came, state), True
        done.add(state)
        if len(done) > most:
            return None, False
        held: Counter[str] = Counter()
        for size, spot in zip(sizes, state):
            for engine in spot:
                held[engine] += size
        for number, spot in enumerate(state):
            size = sizes[number]
            if not readable.intersection(spot):
                continue
            wide = zoned and len({zone[engine] for engine in spot}) > 1
            for place in places:
                target = place.engine
                if target in spot or held[target] + size > usable[target]:
                    continue
                for source in spot:
                    after = tuple(sorted({*spot, target} - {source}))
                    if wide and len({zone[engine] for engine in after}) < 2:
                        continue
                    new = (*state[:number], after, *state[number + 1 :])
                    if new in done or costs.get(new, cost + size + 1) <= cost + size:
                        continue
                    costs[new], came[new] = cost + size, (state, number, source, target)
                    left = guess - cost + size * (away(number, after) - away(number, spot))
                    heapq.heappush(heap, (cost + size + left, cost + size, new))
    return None, True


def _path(fleet: Fleet, came: dict, state: tuple[CopyEngines, ...]) -> list[Move]:
    path: list[Move] = []
    while state in came:
        state, number, source, target = came[state]
        shard = fleet.shards[number]
        path.append(Move(shard.name, source, target, shard.size))
    return path[::-1]


def _number_stages(fleet: Fleet, stages: list[list[Move]], lenient: bool = False) -> Order:
    """Returns the order with hops and primaries marked, after simulating it from the start."""
    placement, numbered, numbers = PlacementState(fleet, lenient), [], []
    later = [(move.shard, move.source) for stage in stages for move in stage]
    for stage in stages:
        numbers.append(tuple(range(len(numbered), len(numbered) + len(stage))))
        del later[: len(stage)]
        onward = set(later)
        marked = [
            Move(
                move.shard,
                move.source,
                move.target,
                move.bytes,
                placement.primary[move.shard] == move.source,
                (move.shard, move.target) in onward,
            )
            for move in stage
        ]
        numbered += marked
        broken = placement.apply_stage(marked)
        if broken:
            raise AssertionError(f"an order that was played before breaks: {broken}")
    return Order(tuple(numbered), tuple(numbers), placement.now_s, tuple(sorted(placement.outgrown)))


def _missing_room(placement: PlacementState, moves: list[Move]) -> dict[str, int]:
    """Returns the bytes that targets lack for the smallest move that waits for them."""
    missing: dict[str, int] = {}
    for move in moves:
        shard = placement.shards[move.shard]
        lack = (
            shard.size + shard.growth * placement.now_s - placement.free_bytes(move.target, placement.now_s)
        )
        if lack > 0:
            missing[move.target] = min(lack, missing.get(move.target, lack))
    return dict(sorted(missing.items()))


def _dead_end_message(what: str, missing: dict[str, int]) -> str:
    # `missing` has all engines.
    lacks = [f"engine {engine} lacks {count} bytes" for engine, count in list(missing.items())[:8]]
    more = f" and {len(missing) - 8} further engines" if len(missing) > 8 else ""
    return what + (": " + ", ".join(lacks) + more if lacks else ", for limits or zones")
