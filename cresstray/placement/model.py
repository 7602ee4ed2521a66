"""The data model of a placement plan: engines with disks, shards with copies, and moves.

Sizes are whole bytes; growth and transfer rates are whole bytes per second. The size of a disk excludes what
is stored on it besides shards.
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
    """A shard with copies on different engines, one of them the primary. `heat` doesn't affect the plan."""

    name: str
    size: int
    growth: int
    heat: float
    copies: tuple[str, ...]
    primary: str


class Limits(Struct, frozen=True):
    """Limits that a plan observes.

    Attributes:
        tolerance: Maximum difference between an engine's fill (of its usable bytes) and the mean.
        moves: Concurrent moves of one engine, as source or target.
        share: Share of an engine's bytes per second for all copies that it sends or receives.
        border_moves: Concurrent moves between two zones.
        border_pace: Bytes per second between two zones; 0 for no limit but the engines'.
    """

    tolerance: float = 0.05
    moves: int = 2
    share: float = 0.3
    border_moves: int = 8
    border_pace: int = 0


class Fleet(Struct, frozen=True):
    """The engines and shards that are planned for, and the limits."""

    places: tuple[EngineCapacity, ...]
    shards: tuple[Shard, ...]
    limits: Limits = Limits()


class Move(Struct, frozen=True):
    """A copy moves from `source` to `target`; a `hop` is temporary: the copy moves on later."""

    shard: str
    source: str
    target: str
    bytes: int
    primary: bool = False
    hop: bool = False


class Plan(Struct, frozen=True):
    """Moves and their order.

    Attributes:
        bytes: Bytes sent in total, including hops.
        bound: Proven lower bound of the bytes that any plan sends.
        stages: Indexes into `moves`. A stage starts when all old copies of the previous one are dropped.
        seconds: Estimated duration.
        tolerance: The tolerance kept, wider than the limit if the shards are too large for that.
        late: Engines that outgrow their headroom before a copy can leave; they receive none until then.
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
        """Bytes sent in excess of the bound, as a share of it."""
        return (self.bytes - self.bound) / self.bound if self.bound else float(self.bytes > 0)


class PlacementError(Exception):
    """No plan can be made; the message is one line for an operator."""


class ImpossibleError(PlacementError):
    """No placement satisfies the constraints. `missing`: bytes that engines or zones lack."""

    def __init__(self, why: str, missing: dict[str, int] | None = None) -> None:
        super().__init__(why)
        self.missing = missing or {}


class DeadEndError(PlacementError):
    """A placement exists, but no order of moves reaches it. `missing`: bytes that engines lack meanwhile."""

    def __init__(self, why: str, missing: dict[str, int], proven: bool) -> None:
        super().__init__(why)
        self.missing = missing
        self.proven = proven  # all orders were tried


def validate_fleet(fleet: Fleet) -> None:
    """Raises ValueError with all errors of an invalid fleet."""
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
    """Returns the sorted zones that have an engine which isn't draining."""
    return sorted({place.zone for place in fleet.places if not place.is_draining})


def fill_bounds(fleet: Fleet, tolerance: float) -> dict[str, tuple[int, int]]:
    """Returns minimum and maximum bytes of each engine that isn't draining, by current sizes."""
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
    """Returns tolerances to try in turn if shards are too large for the first; 1 requires no balance."""
    steps = [tolerance]
    while steps[-1] < 0.5:
        steps.append(2 * steps[-1] or 0.01)
    return steps if steps[-1] >= 1 else [*steps, 1.0]
