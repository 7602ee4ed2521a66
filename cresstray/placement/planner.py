"""Plans the moves that send the fewest bytes, with a proven lower bound, by integer programs (HiGHS).

Runs in a process of its own (worker.py). Small fleets are solved exactly. Large ones are solved by a
relaxation that selects the copies to move, by repairs, and by an integer program over selected copies and
engines.
"""

from __future__ import annotations

import math
import time
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import numpy
from scipy.optimize import Bounds, LinearConstraint, milp
from scipy.sparse import csr_array

from cresstray.placement.model import (
    DeadEndError,
    Fleet,
    ImpossibleError,
    Plan,
    active_zones,
    fill_bounds,
    tolerance_steps,
    validate_fleet,
)
from cresstray.placement.order import CopyEngines, Order, order_moves, search_moves, stages_in_order
from cresstray.placement.plan_builder import DraftPlacement, PlacementProblem

# Up to so many pairs of shard and engine, one integer program proves the optimum within about a second.
_MAX_EXACT_PAIRS = 600
# HiGHS accepts constraint violations of this relative size, so its solutions are checked in whole bytes.
_SOLVER_TOLERANCE = 1e-6
# Within _NEAR_GAP of the bound, an integer program over the leaving copies finds little; beyond _FAR_GAP, one
# over the targets is worth its time. With more shards or columns, neither finds anything in a minute.
_NEAR_GAP, _FAR_GAP, _MAX_INTEGRAL_SHARDS, _MAX_COLUMNS = 0.005, 0.02, 1_500, 30_000


class _ConstraintRows:
    """Rows of a sparse constraint matrix with their lower and upper bounds."""

    def __init__(self) -> None:
        self.rows: list[int] = []
        self.columns: list[int] = []
        self.values: list[float] = []
        self.lower: list[float] = []
        self.upper: list[float] = []

    def add(self, items: list[tuple[int, float]], least: float, most: float) -> None:
        at = len(self.lower)
        for column, value in items:
            self.rows.append(at)
            self.columns.append(column)
            self.values.append(value)
        self.lower.append(least)
        self.upper.append(most)

    def matrix(self, width: int) -> LinearConstraint:
        shape = (len(self.lower), width)
        return LinearConstraint(
            csr_array((self.values, (self.rows, self.columns)), shape=shape),
            numpy.array(self.lower),
            numpy.array(self.upper),
        )


class MilpResult(NamedTuple):
    """The result of one integer program.

    Attributes:
        engines_of: Engines of each shard; None if no placement was found.
        bound: Lower bound of the bytes that any placement sends.
        is_infeasible: Whether it is proven that no placement exists.
    """

    engines_of: list[set[int]] | None
    bound: int
    is_infeasible: bool


def solve(
    fleet: Fleet,
    seconds: float,
    found: Callable[[Plan], None] | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> Plan:
    """Returns the best plan found in `seconds`; `found` is called with each better plan at once.

    Raises:
        ValueError: The fleet is invalid.
        ImpossibleError: No placement satisfies the constraints.
        DeadEndError: No order of moves reaches a placement.
    """
    validate_fleet(fleet)
    _check_feasible(fleet)
    ends = clock() + seconds
    last: DeadEndError | None = None
    for tolerance in tolerance_steps(fleet.limits.tolerance):
        try:
            plan = _Search(fleet, tolerance, ends, found, clock).run()
        except DeadEndError as error:
            last = error
            continue
        if plan is not None:
            return plan
    if last is not None:
        raise last
    raise ImpossibleError("no placement keeps headroom, zones and copies apart", _missing(fleet))


class _Search:
    """The search for a plan at one tolerance."""

    def __init__(
        self,
        fleet: Fleet,
        tolerance: float,
        ends: float,
        found: Callable[[Plan], None] | None,
        clock: Callable[[], float],
    ) -> None:
        self.fleet, self.tolerance, self.deadline, self.on_plan, self.clock = (
            fleet,
            tolerance,
            ends,
            found,
            clock,
        )
        self.task = PlacementProblem(fleet, tolerance)
        self.best: Plan | None = None
        self.bound = 0
        self.error: DeadEndError | None = None
        self.best_engines: list[set[int]] | None = None  # of the best
        self.last_tried: list[set[int]] | None = None  # the last placement for which an order was looked for

    @property
    def seconds_left(self) -> float:
        return self.deadline - self.clock()

    def run(self) -> Plan | None:
        """Returns the best plan, or None without a placement; raises DeadEndError if none is reachable."""
        whole = len(self.task.sizes) * len(self.task.places) <= _MAX_EXACT_PAIRS
        if whole:
            self._solve_exactly()
        else:
            self._solve_approximately()
        if self.best is None and self.error and not self.error.proven:
            self._allow_for_growth(whole)
        if self.best is None and self.error:
            raise self.error
        return self.best and self._with_bound(self.best)

    def _solve_exactly(self) -> None:
        answer = solve_exact(self.task, None, max(1.0, self.seconds_left * 0.5))
        if answer.is_infeasible:
            return
        self.bound = answer.bound
        if answer.engines_of is not None:
            self._offer(answer.engines_of)
        if self.best is None or self.best.bytes > self.bound:
            # Hops cost bytes that the integer program ignores. All orders are tried if there are few.
            band = fill_bounds(self.fleet, self.tolerance)
            path, tried = search_moves(
                self.fleet, _goal_test(self.fleet, band), _misplaced_copies(self.fleet)
            )
            if path is not None:
                self.bound = max(self.bound, sum(move.bytes for move in path))
                try:
                    self._accept(stages_in_order(self.fleet, path))
                except DeadEndError as error:
                    self.error = self.error or error
            elif tried and (self.error is None or not self.error.proven):
                missing = self.error.missing if self.error else {}
                self.error = DeadEndError("no order leads to any placement", missing, True)
        if self.best is None and answer.engines_of is None:
            self._solve_approximately()

    def _solve_approximately(self) -> None:
        self._repair_and_offer(self.task.engines_of)
        hint = solve_relaxation(self.task, max(0.5, self.seconds_left * 0.5))
        if hint.is_infeasible:
            return
        self.bound = max(self.bound, hint.bound)
        self._report_best()
        if hint.engines_of is not None:
            self._repair_and_offer(hint.engines_of)
        if (
            not self._is_within(_NEAR_GAP)
            and self.seconds_left > 1
            and len(self.task.sizes) <= _MAX_INTEGRAL_SHARDS
        ):
            hint = solve_relaxation(self.task, self.seconds_left * 0.5, whole=True)
            self.bound = max(self.bound, hint.bound)
            if hint.engines_of is not None:
                self._repair_and_offer(hint.engines_of)
        if not self._is_within(_FAR_GAP) and self.seconds_left > 1:
            self._solve_reduced(hint)

    def _is_within(self, gap: float) -> bool:
        return self.best is not None and self.best.bytes <= self.bound * (1 + gap)

    def _solve_reduced(self, hint: MilpResult) -> None:
        """Solves an integer program over the copies that move in any plan so far and their targets."""
        task = self.task
        drafts = [spots for spots in (hint.engines_of, self.best_engines) if spots is not None]
        moving = {
            number for spots in drafts for number, spot in enumerate(spots) if spot != task.engines_of[number]
        }
        every = len(task.sizes) * len(task.places) <= _MAX_COLUMNS
        columns: list[tuple[int, int]] = []
        for number in range(len(task.sizes)):
            own = task.engines_of[number].union(*(spots[number] for spots in drafts))
            columns += [
                (number, at)
                for at in range(len(task.places))
                if at in own or ((every or number in moving) and task.accepts_copies[at])
            ]
        if len(columns) > _MAX_COLUMNS:
            return
        answer = solve_exact(task, columns, self.seconds_left * 0.8, self.best.bytes if self.best else None)
        if answer.engines_of is not None:
            self._offer(answer.engines_of)

    def _allow_for_growth(self, whole: bool) -> None:
        """Plans again with room for growth during the moves, as growth made every order fail."""
        if not any(shard.growth for shard in self.fleet.shards):
            return
        share, task = self.fleet.limits.share, self.task
        slow = min((place.bytes_per_s * share for place in task.places if place.bytes_per_s), default=1.0)
        moves = task.moves(self.last_tried) if self.last_tried else []
        ends: Counter[str] = Counter()
        for move in moves:
            ends.update({move.source: move.bytes, move.target: move.bytes})
        horizon = int(max(ends.values(), default=0) / max(1.0, slow)) + len(moves) // 100 + 1
        # The time of the busiest engine, then longer horizons as stages wait for each other.
        for factor in (1, 2, 4):
            self.task = PlacementProblem(self.fleet, self.tolerance, horizon * factor)
            if whole:
                answer = solve_exact(self.task, None, max(1.0, self.seconds_left * 0.3))
                if answer.engines_of is not None:
                    self._offer(answer.engines_of)
            else:
                self._repair_and_offer(self.last_tried or self.task.engines_of)
            if self.best is not None or self.seconds_left <= 0:
                return

    def _repair_and_offer(self, spots: list[set[int]]) -> None:
        draft = DraftPlacement(self.task, spots)
        if draft.complete():
            draft.reduce_moves()
            if draft.is_valid():
                self._offer(draft.engines_of)

    def _offer(self, spots: list[set[int]]) -> None:
        moves = self.task.moves(spots)
        self.last_tried = spots
        if self.best is not None and sum(move.bytes for move in moves) >= self.best.bytes:
            return
        try:
            order = order_moves(self.fleet, moves)
        except DeadEndError as error:
            self.error = self.error or error
            return
        self.best_engines = spots
        self._accept(order)

    def _accept(self, order: Order) -> None:
        total = sum(move.bytes for move in order.moves)
        if self.best is None or total < self.best.bytes:
            self.best = Plan(
                order.moves, total, self.bound, order.stages, order.seconds, self.tolerance, order.late
            )
            self._report_best()

    def _report_best(self) -> None:
        if self.best is not None and self.on_plan is not None:
            self.on_plan(self._with_bound(self.best))

    def _with_bound(self, plan: Plan) -> Plan:
        return Plan(
            plan.moves,
            plan.bytes,
            min(plan.bytes, self.bound),
            plan.stages,
            plan.seconds,
            plan.tolerance,
            plan.late,
        )


def solve_relaxation(task: PlacementProblem, seconds: float, whole: bool = False) -> MilpResult:
    """Solves a relaxation: which copies leave, and how many bytes each engine and zone receives.

    With `whole`, copies are indivisible. Otherwise the problem is linear, takes seconds for the largest
    fleets, and its bound is as good. The target engine within a zone is left open, so that every placement
    satisfies the relaxation. In the result, copies that leave are on no engine yet.
    """
    rows = _ConstraintRows()
    scale = max(1, sum(task.sizes) // max(1, len(task.sizes)))
    stay: list[tuple[int, int]] = [
        (number, at) for number, spot in enumerate(task.engines_of) for at in sorted(spot)
    ]
    column = {pair: at for at, pair in enumerate(stay)}
    comes = len(stay)  # of each shard and zone
    fills = comes + len(task.sizes) * task.zone_count  # of each engine
    width = fills + len(task.places)
    inside: list[list[tuple[int, float]]] = [[] for _ in task.places]
    for number, at in stay:
        inside[at].append((column[number, at], task.sizes[number] / scale))
    in_zone = [task.zone_of.count(zone) for zone in range(task.zone_count)]
    upper = numpy.full(width, numpy.inf)
    upper[:comes] = 1
    for number, spot in enumerate(task.engines_of):
        own = [(column[number, at], 1.0) for at in sorted(spot)]
        new = [(comes + number * task.zone_count + zone, 1.0) for zone in range(task.zone_count)]
        rows.add(own + new, task.copy_counts[number], task.copy_counts[number])
        for zone in range(task.zone_count):
            near = [(column[number, at], 1.0) for at in sorted(spot) if task.zone_of[at] == zone]
            # An engine holds at most one copy of a shard.
            upper[new[zone][0]] = min(task.copy_counts[number], in_zone[zone] - len(near))
            if task.needs_two_zones[number]:
                rows.add([*near, new[zone]], 0, task.copy_counts[number] - 1)
    for at in range(len(task.places)):
        rows.add([*inside[at], (fills + at, 1.0)], task.min_bytes[at] / scale, task.max_bytes[at] / scale)
        if not task.accepts_copies[at]:
            upper[fills + at] = 0
    for zone in range(task.zone_count):
        coming = [
            (comes + number * task.zone_count + zone, size / scale) for number, size in enumerate(task.sizes)
        ]
        rows.add(
            coming + [(fills + at, -1.0) for at, where in enumerate(task.zone_of) if where == zone], 0, 0
        )
    cost = numpy.zeros(width)
    for number, size in enumerate(task.sizes):
        cost[comes + number * task.zone_count : comes + (number + 1) * task.zone_count] = size / scale
    integral = numpy.zeros(width)
    integral[:comes] = int(whole)
    # A gap below 1% takes minutes, while repairs get much closer at once.
    found = milp(
        cost,
        constraints=rows.matrix(width),
        bounds=Bounds(numpy.zeros(width), upper),
        integrality=integral,
        options={"time_limit": seconds, "mip_rel_gap": 0.01},
    )
    if found.status == 2:
        return MilpResult(None, 0, True)
    spots: list[set[int]] | None = None
    if found.x is not None:
        spots = [set() for _ in task.sizes]
        for at, (number, where) in enumerate(stay):
            if found.x[at] > 0.5:
                spots[number].add(where)
    # An unfinished linear problem gives no bound.
    bound = found.mip_dual_bound if whole else found.fun if found.status == 0 else None
    return MilpResult(spots, _bytes(bound, scale), False)


def solve_exact(
    task: PlacementProblem, columns: list[tuple[int, int]] | None, seconds: float, under: int | None = None
) -> MilpResult:
    """Minimizes bytes over the given pairs of shard and engine, or all, to fewer than `under`."""
    if columns is None:
        columns = [
            (number, at)
            for number in range(len(task.sizes))
            for at in range(len(task.places))
            if task.accepts_copies[at] or at in task.engines_of[number]
        ]
    rows = _ConstraintRows()
    scale = max(1, sum(task.sizes) // max(1, len(task.sizes)))
    of_shard: list[list[tuple[int, int]]] = [[] for _ in task.sizes]
    inside: list[list[tuple[int, float]]] = [[] for _ in task.places]
    later: list[list[tuple[int, float]]] = [[] for _ in task.places]
    cost = numpy.zeros(len(columns))
    for at, (number, where) in enumerate(columns):
        of_shard[number].append((at, where))
        inside[where].append((at, task.sizes[number] / scale))
        later[where].append((at, task.grown_sizes[number] / scale))
        if where not in task.engines_of[number]:
            cost[at] = task.sizes[number] / scale
    for number, pairs in enumerate(of_shard):
        rows.add([(at, 1.0) for at, _ in pairs], task.copy_counts[number], task.copy_counts[number])
        if task.needs_two_zones[number]:
            for zone in range(task.zone_count):
                near = [(at, 1.0) for at, where in pairs if task.zone_of[where] == zone]
                if len(near) >= task.copy_counts[number]:
                    rows.add(near, 0, task.copy_counts[number] - 1)
    for at, place in enumerate(task.places):
        rows.add(inside[at], task.min_bytes[at] / scale, task.max_bytes[at] / scale)
        if task.horizon:
            rows.add(later[at], 0, place.usable / scale)
    if under is not None:
        rows.add([(at, value) for at, value in enumerate(cost) if value], 0, (under - 1) / scale)
    width = len(columns)
    if not width:
        return MilpResult(None, 0, True) if any(task.copy_counts) else MilpResult([], 0, False)
    found = milp(
        cost,
        constraints=rows.matrix(width),
        bounds=Bounds(0, 1),
        integrality=numpy.ones(width),
        options={"time_limit": seconds, "mip_rel_gap": 0.0},
    )
    if found.status == 2:
        return MilpResult(None, 0, True)
    spots: list[set[int]] | None = None
    if found.x is not None:
        spots = [set() for _ in task.sizes]
        for at, (number, where) in enumerate(columns):
            if found.x[at] > 0.5:
                spots[number].add(where)
        if not DraftPlacement(task, spots).is_valid():
            spots = None  # violated by a few bytes, within the tolerance of HiGHS
    return MilpResult(spots, _bytes(found.mip_dual_bound, scale), False)


def _bytes(bound: float | None, scale: int) -> int:
    """Converts a bound of HiGHS to whole bytes, less its tolerance."""
    if bound is None or not math.isfinite(bound) or bound <= 0:
        return 0
    return max(0, math.ceil((bound - _SOLVER_TOLERANCE * max(1.0, bound)) * scale))


def _goal_test(fleet: Fleet, band: dict[str, tuple[int, int]]) -> Callable[[list[CopyEngines]], bool]:
    zone = {place.engine: place.zone for place in fleet.places}
    zoned = len(active_zones(fleet)) > 1

    def reached(spots: list[CopyEngines]) -> bool:
        held = dict.fromkeys(band, 0)
        for shard, spot in zip(fleet.shards, spots):
            if zoned and len(spot) > 1 and len({zone[engine] for engine in spot}) < 2:
                return False
            for engine in spot:
                if engine not in held:
                    return False
                held[engine] += shard.size
        return all(least <= held[engine] <= most for engine, (least, most) in band.items())

    return reached


def _misplaced_copies(fleet: Fleet) -> Callable[[int, CopyEngines], int]:
    out = {place.engine for place in fleet.places if place.is_draining}
    return lambda number, spot: len(out.intersection(spot))


def _check_feasible(fleet: Fleet) -> None:
    """Raises ImpossibleError if no search is needed to see that no placement exists."""
    places = [place for place in fleet.places if not place.is_draining]
    most = max((len(shard.copies) for shard in fleet.shards), default=0)
    if most > len(places):
        raise ImpossibleError(f"{most} copies on {len(places)} engines that are not out")
    lives = {place.engine for place in fleet.places if place.bytes_per_s}
    stays = {place.engine for place in places}
    lost = [
        shard.name for shard in fleet.shards if not lives & set(shard.copies) and set(shard.copies) - stays
    ]
    if lost:
        raise ImpossibleError(
            f"no copy is on an engine that lives, of {len(lost)} shards: {', '.join(lost[:5])}"
        )
    missing = _missing(fleet)
    if missing:
        lacks = ", ".join(f"{name} lacks {count} bytes" for name, count in missing.items())
        raise ImpossibleError(f"no placement keeps headroom: {lacks}", missing)


def _missing(fleet: Fleet) -> dict[str, int]:
    """Returns the bytes that all remaining engines lack in total."""
    lack = sum(shard.size * len(shard.copies) for shard in fleet.shards) - sum(
        place.usable for place in fleet.places if not place.is_draining
    )
    return {"all engines": lack} if lack > 0 else {}
