"""What a plan is made of: engines with disks, shards with copies, moves. Knows no log, socket or clock.

Sizes are whole bytes, growth and pace whole bytes a second. A disk is what shards may use: what else lies on
it is taken off before.
"""

from __future__ import annotations

import msgspec

Struct = msgspec.Struct


class EngineCapacity(Struct, frozen=True):
    """The disk capacity of one engine.

    Attributes:
        bytes_per_s: What the engine reads or writes; 0 for a dead engine.
        is_draining: Whether all copies are to leave; the engine takes none.
    """

    engine: str
    zone: str
    disk_bytes: int = msgspec.field(name="disk")
    headroom: int
    bytes_per_s: int = msgspec.field(name="pace")
    is_draining: bool = msgspec.field(default=False, name="out")

    @property
    def usable(self) -> int:
        """Bytes that copies may fill."""
        return max(0, self.disk_bytes - self.headroom)


class Shard(Struct, frozen=True):
    """`copies` are on different engines, `primary` is one of them. `heat` decides nothing here."""

    name: str
    size: int
    growth: int
    heat: float
    copies: tuple[str, ...]
    primary: str


class Limits(Struct, frozen=True):
    """What a plan keeps to. `tolerance`: so near is each engine's fill (of its usable bytes) to the mean."""

    tolerance: float = 0.05
    moves: int = 2  # at once on an engine, those that come and those that go
    share: float = 0.3  # of an engine's pace, for all copies that it sends or takes
    border_moves: int = 8  # at once between two zones
    border_pace: int = 0  # bytes a second between two zones; 0: as the engines allow


class Fleet(Struct, frozen=True):
    places: tuple[EngineCapacity, ...]
    shards: tuple[Shard, ...]
    limits: Limits = Limits()


class Move(Struct, frozen=True):
    """A copy leaves `source` for `target`. `hop`: it goes on from there later, to make room meanwhile."""

    shard: str
    source: str
    target: str
    bytes: int
    primary: bool = False
    hop: bool = False


class Plan(Struct, frozen=True):
    """`stages` are positions in `moves`: those of one run together, the next begins when all are dropped.

    `bytes`: what travels, hops with it; `bound`: no plan sends less; `seconds`: how long, as estimated.
    `tolerance`: what was kept, wider than the limit's where shards are too coarse for that.
    `late`: engines that outgrow their headroom before a copy can leave them; nothing comes to them till then.
    """

    moves: tuple[Move, ...]
    bytes: int
    bound: int
    stages: tuple[tuple[int, ...], ...]
    seconds: int = 0
    tolerance: float = 0.0
    late: tuple[str, ...] = ()

    @property
    def gap(self) -> float:
        """The share of the bound that the plan sends beyond it."""
        return (self.bytes - self.bound) / self.bound if self.bound else float(self.bytes > 0)


class PlacementError(Exception):
    """A plan cannot be; the message is one line for an operator."""


class ImpossibleError(PlacementError):
    """No placement keeps the rules. `missing`: bytes that engines or zones lack."""

    def __init__(self, why: str, missing: dict[str, int] | None = None) -> None:
        super().__init__(why)
        self.missing = missing or {}


class DeadEndError(PlacementError):
    """A placement is possible and no order leads there. `missing`: bytes that engines lack on the way."""

    def __init__(self, why: str, missing: dict[str, int], proven: bool) -> None:
        super().__init__(why)
        self.missing = missing
        self.proven = proven  # every way was tried; else none was found


def validate_fleet(fleet: Fleet) -> None:
    """ValueError with each fault of what was given; such a fleet is not planned for."""
    faults: list[str] = []
    known: set[str] = set()
    for place in fleet.places:
        if place.engine in known:
            faults.append(f"engine {place.engine} is named twice")
        known.add(place.engine)
        if min(place.disk_bytes, place.headroom, place.bytes_per_s) < 0:
            faults.append(f"engine {place.engine}: disk, headroom and pace are not below 0")
    named: set[str] = set()
    for shard in fleet.shards:
        if shard.name in named:
            faults.append(f"shard {shard.name} is named twice")
        named.add(shard.name)
        if min(shard.size, shard.growth) < 0:
            faults.append(f"shard {shard.name}: size and growth are not below 0")
        if not 1 <= len(shard.copies) <= 3 or len(set(shard.copies)) < len(shard.copies):
            faults.append(f"shard {shard.name}: one to three copies on different engines")
        if shard.primary not in shard.copies:
            faults.append(f"shard {shard.name}: its primary {shard.primary} is none of its copies")
        faults += [
            f"shard {shard.name}: engine {copy} is not known" for copy in shard.copies if copy not in known
        ]
    limits = fleet.limits
    if not 0 <= limits.tolerance <= 1 or not 0 < limits.share <= 1:
        faults.append("limits: tolerance is 0 to 1, share above 0 to 1")
    if min(limits.moves, limits.border_moves) < 1 or limits.border_pace < 0:
        faults.append("limits: moves and border_moves are 1 and more, border_pace is not below 0")
    if faults:
        raise ValueError("; ".join(faults))


def active_zones(fleet: Fleet) -> list[str]:
    """Zones that have an engine which is not out, in order."""
    return sorted({place.zone for place in fleet.places if not place.is_draining})


def fill_bounds(fleet: Fleet, tolerance: float) -> dict[str, tuple[int, int]]:
    """Least and most bytes of each engine that is not out, for a fill near the mean, sizes as of now."""
    total = sum(shard.size * len(shard.copies) for shard in fleet.shards)
    places = [place for place in fleet.places if not place.is_draining]
    room = sum(place.usable for place in places)
    if tolerance >= 1 or not room:
        return {place.engine: (0, place.usable) for place in places}
    parts = round(tolerance * 1_000_000)
    least, most = total * 1_000_000 - parts * room, total * 1_000_000 + parts * room
    return {
        place.engine: (
            max(0, -(-place.usable * least // (room * 1_000_000))),
            min(place.usable, place.usable * most // (room * 1_000_000)),
        )
        for place in places
    }


def tolerance_steps(tolerance: float) -> list[float]:
    """Tolerances to be tried in turn where shards are too coarse; at 1 balance asks for nothing."""
    steps = [tolerance]
    while steps[-1] < 0.5:
        steps.append(2 * steps[-1] or 0.01)
    return steps if steps[-1] >= 1 else [*steps, 1.0]
