r"""The replicated state of a plan: state, reservation and progress of each move.

    planned > reserved > copying > catching up > (fenced >) switched > dropped > done
        \         \          \          \            \> unfencing
         +---------+----------+-----------+----------------+> back > cancelled

Only moves of a primary are fenced. The transition table is in docs/placement-moves.md; move_executor.py
decides which transition comes next.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from cresstray.placement import model

if TYPE_CHECKING:
    from cresstray.fleet_config import documents
    from cresstray.fleet_config.state import ConfigState

SECTION_NAME = "moves"
# A move takes about 80 bytes, so that an entry is well below the maximum frame size.
_MOVES_PER_ENTRY = 1000
# Each control-plane node keeps the whole plan in memory. Plans for a thousand engines have fewer moves.
_MAX_MOVES = 50_000


class MoveState(Enum):
    """The state of a move. It holds once it is committed; engines get no command for it before."""

    PLANNED = "planned"  # nothing is reserved
    RESERVED = "reserved"  # space at the target is reserved; the source keeps its copy
    COPYING = "copying"  # the target may hold a partial copy
    CATCHING_UP = "catching up"  # the target has a complete copy and follows the primary
    FENCED = "fenced"  # the primary stops taking writes, then the new one takes over
    SWITCHED = "switched"  # the placement with the new copy is committed
    DROPPED = "dropped"  # no lease under the old placement is left: the source may drop its copy
    DONE = "done"  # the old copy is dropped
    UNFENCING = "unfencing"  # the old primary is being restored
    ROLLING_BACK = "back"  # the target drops its copy
    CANCELLED = "cancelled"  # nothing is reserved; the old copy stays


FINISHED_STATES = frozenset((MoveState.DONE, MoveState.CANCELLED))
UNRESERVED_STATES = frozenset((MoveState.PLANNED, MoveState.DONE, MoveState.CANCELLED))


class Event(Enum):
    """A transition of a move, as written in a MoveStep."""

    RESERVE = "reserve"
    COPY = "copy"
    CHECKPOINT = "checkpoint"
    RETRY = "retry"
    EXTEND_RESERVATION = "grow"
    COPIED = "copied"
    FENCE = "fence"
    UNFENCE = "unfence"
    SWITCH = "switch"
    DROP = "drop"
    DONE = "done"
    ROLL_BACK = "back"
    TARGET_FREED = "freed"


# Next state by state and event; other combinations are refused.
_NEXT: dict[tuple[MoveState, Event], MoveState] = {
    (MoveState.PLANNED, Event.RESERVE): MoveState.RESERVED,
    (MoveState.PLANNED, Event.ROLL_BACK): MoveState.CANCELLED,
    (MoveState.RESERVED, Event.COPY): MoveState.COPYING,
    (MoveState.RESERVED, Event.ROLL_BACK): MoveState.CANCELLED,
    (MoveState.COPYING, Event.CHECKPOINT): MoveState.COPYING,
    (MoveState.COPYING, Event.RETRY): MoveState.COPYING,
    (MoveState.COPYING, Event.EXTEND_RESERVATION): MoveState.COPYING,
    (MoveState.COPYING, Event.COPIED): MoveState.CATCHING_UP,
    (MoveState.COPYING, Event.ROLL_BACK): MoveState.ROLLING_BACK,
    (MoveState.CATCHING_UP, Event.RETRY): MoveState.COPYING,
    (MoveState.CATCHING_UP, Event.EXTEND_RESERVATION): MoveState.CATCHING_UP,
    (MoveState.CATCHING_UP, Event.FENCE): MoveState.FENCED,
    (MoveState.CATCHING_UP, Event.SWITCH): MoveState.SWITCHED,
    (MoveState.CATCHING_UP, Event.ROLL_BACK): MoveState.ROLLING_BACK,
    (MoveState.FENCED, Event.SWITCH): MoveState.SWITCHED,
    (MoveState.FENCED, Event.UNFENCE): MoveState.UNFENCING,
    (MoveState.UNFENCING, Event.SWITCH): MoveState.SWITCHED,
    (MoveState.UNFENCING, Event.ROLL_BACK): MoveState.ROLLING_BACK,
    (MoveState.SWITCHED, Event.DROP): MoveState.DROPPED,
    (MoveState.SWITCHED, Event.DONE): MoveState.DONE,  # only if an operator changed the placement
    (MoveState.DROPPED, Event.DONE): MoveState.DONE,
    (MoveState.ROLLING_BACK, Event.TARGET_FREED): MoveState.CANCELLED,
}
# Events that assign a new fence; engines refuse commands with an older one.
_FENCING = frozenset((Event.COPY, Event.RETRY, Event.ROLL_BACK, Event.DROP))


class MoveProgress(msgspec.Struct):
    """The state of one move.

    Attributes:
        copy_source: Engine whose copy is read: the source, or another engine if the source died.
        fence: Number that the move's commands carry; engines refuse a lower one for the same shard.
        attempts: Retries of the copy so far.
        copied_bytes: Bytes at the target as of the last checkpoint.
        reserved_bytes: Bytes reserved at the target for this move.
        failure_reason: Why the move was rolled back, if it was.
    """

    shard: str
    source: str
    target: str
    bytes: int
    primary: bool
    hop: bool
    stage: int
    state: MoveState = msgspec.field(default=MoveState.PLANNED, name="at")
    copy_source: str = msgspec.field(default="", name="feed")
    fence: int = 0
    attempts: int = msgspec.field(default=0, name="tries")
    copied_bytes: int = msgspec.field(default=0, name="copied")
    reserved_bytes: int = msgspec.field(default=0, name="held")
    failure_reason: str = msgspec.field(default="", name="why")


class ActivePlan(msgspec.Struct):
    """The plan that is being carried out, or the last one.

    Attributes:
        headroom: Minimum free bytes of each engine, in addition to the engine's own headroom.
        parts: Log entries that make up the plan.
        received_parts: How many of them have been applied.
        halted: Why no further move starts, if so; a new plan has to be made.
    """

    id: str
    started_by: str = msgspec.field(name="who")
    limits: model.Limits
    headroom: dict[str, int]
    parts: int
    moves: list[MoveProgress] = []
    received_parts: int = msgspec.field(default=0, name="had")
    cancelled: bool = False
    halted: str = ""

    def is_finished(self) -> bool:
        """Returns whether the plan is complete and each of its moves is done or cancelled."""
        return self.received_parts == self.parts and all(move.state in FINISHED_STATES for move in self.moves)


class BeginPlan(msgspec.Struct, array_like=True, tag="b"):
    """One part of a new plan; `moves` has the first fields of each MoveProgress."""

    id: str
    who: str
    limits: model.Limits
    headroom: dict[str, int]
    part: int
    parts: int
    moves: list[tuple[str, str, str, int, bool, bool, int]]


class MoveStep(msgspec.Struct, array_like=True, tag="s"):
    """A compare-and-set transition: ignored unless the move has the expected state and fence."""

    plan: str
    move: int
    expected_state: MoveState
    event: Event
    fence: int
    copied: int = 0
    held: int = 0
    feed: str = ""
    why: str = ""
    owed: bool = False  # for DONE and FREED: the engine is dead and drops its copy once it is back


class CancelPlan(msgspec.Struct, array_like=True, tag="c"):
    """Cancels the active plan."""

    id: str
    who: str


class DropConfirmed(msgspec.Struct, array_like=True, tag="p"):
    """A returned engine no longer holds a copy that it was to drop, or has been assigned it again."""

    engine: str
    shard: str
    fence: int


class _MovesSnapshot(msgspec.Struct, array_like=True):
    plan: ActivePlan | None
    serial: int
    owed: list[tuple[str, str, int]]


_decode = msgspec.msgpack.Decoder(BeginPlan | MoveStep | CancelPlan | DropConfirmed)
_encode = msgspec.msgpack.Encoder()
_NONE: Mapping[str, int] = {}
APPLIED, ALREADY_APPLIED = b"done", b"before"  # other outcomes are b"refused: ..."


def begin_entries(
    id: str, who: str, plan: model.Plan, limits: model.Limits, headroom: Mapping[str, int] = _NONE
) -> list[bytes]:
    """Returns the log entries that start a plan; each is proposed once the previous one is committed."""
    stage_of = {index: stage for stage, moves in enumerate(plan.stages) for index in moves}
    if sorted(stage_of) != list(range(len(plan.moves))):
        raise ValueError("the plan's order does not name each move once")
    rows = [
        (move.shard, move.source, move.target, move.bytes, move.primary, move.hop, stage_of[index])
        for index, move in enumerate(plan.moves)
    ]
    parts = [rows[first : first + _MOVES_PER_ENTRY] for first in range(0, len(rows), _MOVES_PER_ENTRY)] or [
        []
    ]
    named = {name for move in plan.moves for name in (move.source, move.target)}
    kept = {name: headroom[name] for name in sorted(named) if name in headroom}
    return [
        _encode.encode(BeginPlan(id, who, limits, {} if part else kept, part, len(parts), moves))
        for part, moves in enumerate(parts)
    ]


def encode(entry: MoveStep | CancelPlan | DropConfirmed) -> bytes:
    """Encodes an entry for the log."""
    return _encode.encode(entry)


class MoveSection:
    """The replicated section; all control-plane nodes apply the same entries."""

    def __init__(self) -> None:
        self.plan: ActivePlan | None = None
        self.serial = 0  # the last fence given to engines, over all plans
        self.owed: dict[
            tuple[str, str], int
        ] = {}  # fence by engine and shard to drop, once the engine is back

    def apply(self, state: ConfigState, data: bytes) -> bytes:
        """Applies a committed entry; returns its outcome."""
        try:
            entry = _decode.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
            return f"refused: no entry of moves: {trouble}".encode()
        return self._TAKES[type(entry)](self, state, entry)

    def snapshot(self) -> bytes:
        """Returns the encoded state."""
        owed = [(engine, shard, fence) for (engine, shard), fence in sorted(self.owed.items())]
        return _encode.encode(_MovesSnapshot(self.plan, self.serial, owed))

    def restore(self, data: bytes) -> None:
        """Restores a snapshot; raises ValueError if it is invalid."""
        try:
            kept = msgspec.msgpack.decode(data, type=_MovesSnapshot) if data else _MovesSnapshot(None, 0, [])
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
            raise ValueError(f"not a state of moves: {trouble}") from None
        self.plan, self.serial = kept.plan, kept.serial
        self.owed = {(engine, shard): fence for engine, shard, fence in kept.owed}

    def status(self) -> dict:
        """Returns the progress as plain values for operators."""
        if self.plan is None:
            return {"plan": None}
        plan, states = self.plan, dict.fromkeys((at.value for at in MoveState), 0)
        for move in plan.moves:
            states[move.state.value] += 1
        return {
            "plan": plan.id,
            "who": plan.started_by,
            "over": plan.is_finished(),
            "cancelled": plan.cancelled,
            "halted": plan.halted,
            "moves": len(plan.moves),
            "states": {name: count for name, count in states.items() if count},
            "bytes": sum(move.bytes for move in plan.moves),
            "copied": sum(move.copied_bytes for move in plan.moves),
            "back": [
                f"{move.shard} {move.source} > {move.target}: {move.failure_reason}"
                for move in plan.moves
                if move.failure_reason
            ][:100],
            "owed": len(self.owed),
        }

    def reserving_moves(self, engine: str) -> Iterator[MoveProgress]:
        """Yields moves with a reservation at an engine."""
        if self.plan is not None:
            yield from (
                move
                for move in self.plan.moves
                if move.target == engine and move.state not in UNRESERVED_STATES
            )

    # Entries.

    def _apply_begin(self, state: ConfigState, entry: BeginPlan) -> bytes:
        plan = self.plan
        if plan is not None and plan.id == entry.id:
            if entry.part < plan.received_parts:
                return ALREADY_APPLIED
            if entry.part > plan.received_parts or entry.parts != plan.parts:
                return b"refused: a part of the plan is missing"
        elif plan is not None and plan.received_parts == plan.parts and not plan.is_finished():
            return f"refused: plan {plan.id} of {plan.started_by} is under way".encode()
        elif entry.part:
            return b"refused: the first part of the plan is missing"
        else:
            plan = ActivePlan(entry.id, entry.who, entry.limits, entry.headroom, entry.parts, [])
        rows = [MoveProgress(*row, copy_source=row[1]) for row in entry.moves]
        if len(plan.moves) + len(rows) > _MAX_MOVES:
            return f"refused: more than {_MAX_MOVES} moves".encode()
        moves = plan.moves + rows
        if entry.part + 1 == plan.parts and (fault := _validation_error(moves, state.latest.placement.items)):
            if self.plan is plan:
                self.plan = None
            return f"refused: {fault}".encode()
        plan.moves, plan.received_parts = moves, entry.part + 1
        self.plan = plan
        return APPLIED

    def _apply_step(self, state: ConfigState, entry: MoveStep) -> bytes:
        plan = self.plan
        if plan is None or plan.id != entry.plan or plan.received_parts != plan.parts:
            return b"refused: no such plan is under way"
        if not 0 <= entry.move < len(plan.moves):
            return b"refused: no such move"
        move = plan.moves[entry.move]
        if move.state is not entry.expected_state or move.fence != entry.fence:
            return ALREADY_APPLIED
        to = _NEXT.get((move.state, entry.event))
        if to is None or (entry.event in (Event.FENCE, Event.UNFENCE)) > move.primary:
            return f"refused: no {entry.event.value} while {move.state.value}".encode()
        why = self._rejection_reason(state, move, entry)
        if why:
            return f"refused: {why}".encode()
        if move.state is MoveState.SWITCHED and to is MoveState.DONE:
            # The operator's placement decides: an end that it doesn't name drops its copy later.
            shard = state.latest.placement.items.get(move.shard)
            for engine in (move.source, move.target):
                if shard is not None and engine not in shard.copies:
                    self.serial += 1
                    self.owed[engine, move.shard] = self.serial
        self._transition(plan, move, entry, to)
        return APPLIED

    def _rejection_reason(self, state: ConfigState, move: MoveProgress, entry: MoveStep) -> str:
        """Returns why the documents forbid an event, if so; the executor may have seen older ones."""
        shard = state.latest.placement.items.get(move.shard)
        event = entry.event
        if event is Event.RESERVE and (self.plan.halted or self.plan.cancelled):
            return "nothing more is begun"
        if event is Event.RESERVE and entry.held < move.bytes:
            return "less is held than the shard has"
        if event is Event.SWITCH and not has_moved(move, shard):
            return "no version with the new copy is committed"
        if event is Event.SWITCH and move.primary and move.state is MoveState.CATCHING_UP:
            return "a primary is fenced first"
        # If the new placement were committed after the rollback, its readers would use a dropped copy.
        if event in (Event.ROLL_BACK, Event.RETRY) and has_moved(move, shard):
            return "the version with the new copy is committed"
        if (
            event is Event.ROLL_BACK
            and move.state is MoveState.UNFENCING
            and not (shard is None or shard.primary and in_force(state, move.shard))
        ):
            return "the old primary has not its place again"
        if (
            event is Event.DONE
            and move.state is MoveState.SWITCHED
            and (has_moved(move, shard) or not in_force(state, move.shard))
        ):
            return "its old copy is not dropped yet"
        if event is Event.DROP and not (has_moved(move, shard) and in_force(state, move.shard)):
            return "a lease under the old placement may be left"
        return ""

    def _transition(self, plan: ActivePlan, move: MoveProgress, entry: MoveStep, to: MoveState) -> None:
        event = entry.event
        if event in _FENCING and to is not MoveState.CANCELLED:
            self.serial += 1
            move.fence = self.serial
        if event is Event.RESERVE or event is Event.EXTEND_RESERVATION:
            move.reserved_bytes = max(move.reserved_bytes, entry.held)
            move.copy_source = entry.feed or move.copy_source
        elif event is Event.COPY:
            self.owed.pop((move.target, move.shard), None)  # the copy belongs to the new fence now
        elif event is Event.CHECKPOINT or event is Event.COPIED:
            move.copied_bytes = max(move.copied_bytes, entry.copied)
        elif event is Event.RETRY:
            # The size reported by the target, below the checkpoint if it lost its disk.
            move.attempts, move.copied_bytes = move.attempts + 1, entry.copied
            move.copy_source = entry.feed or move.copy_source
        elif event in (Event.ROLL_BACK, Event.UNFENCE) or event is Event.DONE and entry.why:
            move.failure_reason = move.failure_reason or entry.why
            if not plan.cancelled and not plan.halted:
                self._halt(plan, f"{move.shard} {move.source} > {move.target}: {entry.why}")
        if entry.owed and event in (Event.DONE, Event.TARGET_FREED):
            self.owed[move.source if event is Event.DONE else move.target, move.shard] = move.fence
        move.state = to
        if to in FINISHED_STATES:
            move.reserved_bytes = 0

    def _halt(self, plan: ActivePlan, why: str) -> None:
        """Cancels moves that haven't started, as their order is no longer valid; others have their space."""
        plan.halted = why
        for move in plan.moves:
            if move.state is MoveState.PLANNED:
                move.state = MoveState.CANCELLED

    def _apply_cancel(self, state: ConfigState, entry: CancelPlan) -> bytes:
        plan = self.plan
        if plan is None or plan.id != entry.id:
            return b"refused: no such plan is under way"
        if plan.received_parts != plan.parts:
            self.plan = None
            return APPLIED
        if plan.cancelled or plan.is_finished():
            return ALREADY_APPLIED
        plan.cancelled = True
        for move in plan.moves:
            # A placement proposed for a move that catches up may follow this entry in the log. So the leader
            # rolls back the other moves, and then proposes nothing more for them.
            if move.state in (MoveState.PLANNED, MoveState.RESERVED):
                move.state, move.reserved_bytes, move.failure_reason = (
                    MoveState.CANCELLED,
                    0,
                    f"cancelled by {entry.who}",
                )
        return APPLIED

    def _apply_drop_confirmed(self, state: ConfigState, entry: DropConfirmed) -> bytes:
        if self.owed.get((entry.engine, entry.shard)) != entry.fence:
            return ALREADY_APPLIED
        del self.owed[entry.engine, entry.shard]
        return APPLIED

    _TAKES = {
        BeginPlan: _apply_begin,
        MoveStep: _apply_step,
        CancelPlan: _apply_cancel,
        DropConfirmed: _apply_drop_confirmed,
    }


def _validation_error(moves: Iterable[MoveProgress], shards: dict[str, documents.Shard]) -> str:
    """Returns why the plan can't be carried out from this placement, or an empty string."""
    copies: dict[str, list[str]] = {}
    primary: dict[str, str] = {}
    begun: dict[str, int] = {}
    for move in sorted(moves, key=lambda move: move.stage):
        shard = shards.get(move.shard)
        if shard is None:
            return f"shard {move.shard} is not placed"
        have = copies.setdefault(move.shard, list(shard.copies))
        first = primary.setdefault(move.shard, shard.primary)
        what = f"{move.shard} {move.source} > {move.target}"
        if begun.get(move.shard, -1) >= move.stage:
            return f"{what}: two moves of one shard in one stage"
        if move.source not in have or move.target in have:
            return f"{what}: it is on {', '.join(have)} then"
        if move.bytes < 0 or move.primary is not (first == move.source):
            return f"{what}: its primary is {first or 'fenced'} then"
        begun[move.shard] = move.stage
        have[have.index(move.source)] = move.target
        if move.primary:
            primary[move.shard] = move.target
    return ""


def has_moved(move: MoveProgress, shard: documents.Shard | None) -> bool:
    """Returns whether the shard is placed as after the move."""
    return (
        shard is not None
        and move.target in shard.copies
        and move.source not in shard.copies
        and (not move.primary or shard.primary == move.target)
    )


def in_force(state: ConfigState, shard: str) -> bool:
    """Returns whether no lease under an older placement of the shard is left.

    Version v is in force at turns 2v and 2v + 1: lease holders act by one of these.
    """
    if state.latest.version("placement") <= state.turn // 2:
        return True
    return state.turn % 2 == 0 and (
        state.effective.placement.items.get(shard) == state.latest.placement.items.get(shard)
    )
