"""What the log knows of a plan under way: each move's state, what is held for it, how far it is.

    planned > reserved > copying > catching up > (fenced >) switched > dropped > done
        \\         \\          \\          \\            \\> unfencing
         +---------+----------+-----------+----------------+> back > cancelled

Only moves of a primary are fenced. The table is in docs/placement-moves.md; carrier.py says what comes next.
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

NAME = "moves"  # of the section in the log
# Moves in one entry of the log: about 80 bytes each, well below the longest frame.
_PART = 1000
# More than a fleet of a thousand engines moves in a plan; a plan is kept whole in each keeper's memory.
_MOST = 50_000


class At(Enum):
    """Where a move is. Each is true once it is committed, and nothing is done before that."""

    PLANNED = "planned"  # nothing is held
    RESERVED = "reserved"  # `held` bytes at the target are its own; the source's are until it is dropped
    COPYING = "copying"  # the target may hold a part
    CATCHING = "catching up"  # the target holds all, and follows
    FENCED = "fenced"  # a version without a primary may be committed, then one with the new primary
    SWITCHED = "switched"  # the version with the new copy is committed
    DROPPED = "dropped"  # no lease under the old placement is left: the old copy may be dropped
    DONE = "done"  # the old copy is gone
    UNFENCING = "unfencing"  # the old primary is to have its place again
    BACK = "back"  # what the target holds is to be dropped
    CANCELLED = "cancelled"  # nothing is held, the old copy stays


SETTLED = frozenset((At.DONE, At.CANCELLED))
IDLE = frozenset((At.PLANNED, At.DONE, At.CANCELLED))  # they hold nothing anywhere


class Event(Enum):
    RESERVE = "reserve"
    COPY = "copy"
    CHECKPOINT = "checkpoint"
    RETRY = "retry"
    GROW = "grow"
    COPIED = "copied"
    FENCE = "fence"
    UNFENCE = "unfence"
    SWITCH = "switch"
    DROP = "drop"
    DONE = "done"
    BACK = "back"
    FREED = "freed"


# State and event > next state; what is not here changes nothing.
_NEXT: dict[tuple[At, Event], At] = {
    (At.PLANNED, Event.RESERVE): At.RESERVED,
    (At.PLANNED, Event.BACK): At.CANCELLED,
    (At.RESERVED, Event.COPY): At.COPYING,
    (At.RESERVED, Event.BACK): At.CANCELLED,
    (At.COPYING, Event.CHECKPOINT): At.COPYING,
    (At.COPYING, Event.RETRY): At.COPYING,
    (At.COPYING, Event.GROW): At.COPYING,
    (At.COPYING, Event.COPIED): At.CATCHING,
    (At.COPYING, Event.BACK): At.BACK,
    (At.CATCHING, Event.RETRY): At.COPYING,
    (At.CATCHING, Event.GROW): At.CATCHING,
    (At.CATCHING, Event.FENCE): At.FENCED,
    (At.CATCHING, Event.SWITCH): At.SWITCHED,
    (At.CATCHING, Event.BACK): At.BACK,
    (At.FENCED, Event.SWITCH): At.SWITCHED,
    (At.FENCED, Event.UNFENCE): At.UNFENCING,
    (At.UNFENCING, Event.SWITCH): At.SWITCHED,
    (At.UNFENCING, Event.BACK): At.BACK,
    (At.SWITCHED, Event.DROP): At.DROPPED,
    (At.SWITCHED, Event.DONE): At.DONE,  # only where the placement was changed by another
    (At.DROPPED, Event.DONE): At.DONE,
    (At.BACK, Event.FREED): At.CANCELLED,
}
# Engines are given a new number with these, and refuse what comes under an older one.
_FENCING = frozenset((Event.COPY, Event.RETRY, Event.BACK, Event.DROP))


class Moving(msgspec.Struct):
    """One move. `feed`: the copy that is copied from, the source unless that died."""

    shard: str
    source: str
    target: str
    bytes: int
    primary: bool
    hop: bool
    stage: int
    at: At = At.PLANNED
    feed: str = ""
    fence: int = 0  # number that its commands carry; engines refuse a lower one of the same shard
    tries: int = 0
    copied: int = 0  # bytes at the target, by the last checkpoint
    held: int = 0  # bytes kept at the target for it
    why: str = ""  # it went back


class Under(msgspec.Struct):
    """A plan under way, or the last one."""

    id: str
    who: str
    limits: model.Limits
    headroom: dict[str, int]  # bytes to be kept free at each engine, beside what it says itself
    parts: int
    moves: list[Moving] = []
    had: int = 0  # parts that have come
    cancelled: bool = False
    halted: str = ""  # why nothing more is begun: it is to be planned anew

    def over(self) -> bool:
        return self.had == self.parts and all(move.at in SETTLED for move in self.moves)


class Begin(msgspec.Struct, array_like=True, tag="b"):
    id: str
    who: str
    limits: model.Limits
    headroom: dict[str, int]
    part: int
    parts: int
    moves: list[tuple[str, str, str, int, bool, bool, int]]  # as the first fields of Moving


class Step(msgspec.Struct, array_like=True, tag="s"):
    """Compare and set: it counts only while the move is `was`, under `fence`."""

    plan: str
    move: int
    was: At
    event: Event
    fence: int
    copied: int = 0
    held: int = 0
    feed: str = ""
    why: str = ""
    owed: bool = False  # of DONE and FREED: the engine is gone; what it holds is dropped once it is back


class Cancel(msgspec.Struct, array_like=True, tag="c"):
    id: str
    who: str


class Paid(msgspec.Struct, array_like=True, tag="p"):
    """An engine that was gone holds nothing any more of what it was to drop, or holds it rightly."""

    engine: str
    shard: str
    fence: int


class _Kept(msgspec.Struct, array_like=True):
    plan: Under | None
    serial: int
    owed: list[tuple[str, str, int]]


_decode = msgspec.msgpack.Decoder(Begin | Step | Cancel | Paid)
_encode = msgspec.msgpack.Encoder()
_NONE: Mapping[str, int] = {}
DONE, BEFORE = b"done", b"before"  # outcomes; else b"refused: ..."


def begin(
    id: str, who: str, plan: model.Plan, limits: model.Limits, headroom: Mapping[str, int] = _NONE
) -> list[bytes]:
    """The entries that begin a plan, in order; each to be committed before the next is proposed."""
    stage_of = {index: stage for stage, moves in enumerate(plan.stages) for index in moves}
    if sorted(stage_of) != list(range(len(plan.moves))):
        raise ValueError("the plan's order does not name each move once")
    rows = [
        (move.shard, move.source, move.target, move.bytes, move.primary, move.hop, stage_of[index])
        for index, move in enumerate(plan.moves)
    ]
    parts = [rows[first : first + _PART] for first in range(0, len(rows), _PART)] or [[]]
    named = {name for move in plan.moves for name in (move.source, move.target)}
    kept = {name: headroom[name] for name in sorted(named) if name in headroom}
    return [
        _encode.encode(Begin(id, who, limits, {} if part else kept, part, len(parts), moves))
        for part, moves in enumerate(parts)
    ]


def encode(entry: Step | Cancel | Paid) -> bytes:
    return _encode.encode(entry)


class Moves:
    """The section; every keeper applies the same entries and has the same state."""

    def __init__(self) -> None:
        self.plan: Under | None = None
        self.serial = 0  # the last number given to engines, over all plans
        self.owed: dict[tuple[str, str], int] = {}  # engine and shard that it is to drop, once it is back

    def apply(self, state: ConfigState, data: bytes) -> bytes:
        try:
            entry = _decode.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
            return f"refused: no entry of moves: {trouble}".encode()
        return self._TAKES[type(entry)](self, state, entry)

    def snapshot(self) -> bytes:
        owed = [(engine, shard, fence) for (engine, shard), fence in sorted(self.owed.items())]
        return _encode.encode(_Kept(self.plan, self.serial, owed))

    def restore(self, data: bytes) -> None:
        """ValueError where it is no dump."""
        try:
            kept = msgspec.msgpack.decode(data, type=_Kept) if data else _Kept(None, 0, [])
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
            raise ValueError(f"not a state of moves: {trouble}") from None
        self.plan, self.serial = kept.plan, kept.serial
        self.owed = {(engine, shard): fence for engine, shard, fence in kept.owed}

    def told(self) -> dict:
        """For operators: how far it is, in plain values."""
        if self.plan is None:
            return {"plan": None}
        plan, states = self.plan, dict.fromkeys((at.value for at in At), 0)
        for move in plan.moves:
            states[move.at.value] += 1
        return {
            "plan": plan.id,
            "who": plan.who,
            "over": plan.over(),
            "cancelled": plan.cancelled,
            "halted": plan.halted,
            "moves": len(plan.moves),
            "states": {name: count for name, count in states.items() if count},
            "bytes": sum(move.bytes for move in plan.moves),
            "copied": sum(move.copied for move in plan.moves),
            "back": [
                f"{move.shard} {move.source} > {move.target}: {move.why}" for move in plan.moves if move.why
            ][:100],
            "owed": len(self.owed),
        }

    def holding(self, engine: str) -> Iterator[Moving]:
        """Moves that keep room at an engine as their target."""
        if self.plan is not None:
            yield from (move for move in self.plan.moves if move.target == engine and move.at not in IDLE)

    # Entries.

    def _begun(self, state: ConfigState, entry: Begin) -> bytes:
        plan = self.plan
        if plan is not None and plan.id == entry.id:
            if entry.part < plan.had:
                return BEFORE
            if entry.part > plan.had or entry.parts != plan.parts:
                return b"refused: a part of the plan is missing"
        elif plan is not None and plan.had == plan.parts and not plan.over():
            return f"refused: plan {plan.id} of {plan.who} is under way".encode()
        elif entry.part:
            return b"refused: the first part of the plan is missing"
        else:
            plan = Under(entry.id, entry.who, entry.limits, entry.headroom, entry.parts, [])
        rows = [Moving(*row, feed=row[1]) for row in entry.moves]
        if len(plan.moves) + len(rows) > _MOST:
            return f"refused: more than {_MOST} moves".encode()
        moves = plan.moves + rows
        if entry.part + 1 == plan.parts and (fault := _fault(moves, state.latest.placement.items)):
            if self.plan is plan:
                self.plan = None
            return f"refused: {fault}".encode()
        plan.moves, plan.had = moves, entry.part + 1
        self.plan = plan
        return DONE

    def _stepped(self, state: ConfigState, entry: Step) -> bytes:
        plan = self.plan
        if plan is None or plan.id != entry.plan or plan.had != plan.parts:
            return b"refused: no such plan is under way"
        if not 0 <= entry.move < len(plan.moves):
            return b"refused: no such move"
        move = plan.moves[entry.move]
        if move.at is not entry.was or move.fence != entry.fence:
            return BEFORE
        to = _NEXT.get((move.at, entry.event))
        if to is None or (entry.event in (Event.FENCE, Event.UNFENCE)) > move.primary:
            return f"refused: no {entry.event.value} while {move.at.value}".encode()
        why = self._hinders(state, move, entry)
        if why:
            return f"refused: {why}".encode()
        if move.at is At.SWITCHED and to is At.DONE:
            # Whoever changed the placement has decided; what it names at neither end is dropped in time.
            shard = state.latest.placement.items.get(move.shard)
            for engine in (move.source, move.target):
                if shard is not None and engine not in shard.copies:
                    self.serial += 1
                    self.owed[engine, move.shard] = self.serial
        self._set(plan, move, entry, to)
        return DONE

    def _hinders(self, state: ConfigState, move: Moving, entry: Step) -> str:
        """Why an event may not be yet, by the documents; carrier.py has looked before, and may be late."""
        shard = state.latest.placement.items.get(move.shard)
        event = entry.event
        if event is Event.RESERVE and (self.plan.halted or self.plan.cancelled):
            return "nothing more is begun"
        if event is Event.RESERVE and entry.held < move.bytes:
            return "less is held than the shard has"
        if event is Event.SWITCH and not has_moved(move, shard):
            return "no version with the new copy is committed"
        if event is Event.SWITCH and move.primary and move.at is At.CATCHING:
            return "a primary is fenced first"
        # Danger: a version that is committed behind a move's way back has readers where it is dropped.
        if event in (Event.BACK, Event.RETRY) and has_moved(move, shard):
            return "the version with the new copy is committed"
        if (
            event is Event.BACK
            and move.at is At.UNFENCING
            and not (shard is None or shard.primary and in_force(state, move.shard))
        ):
            return "the old primary has not its place again"
        if (
            event is Event.DONE
            and move.at is At.SWITCHED
            and (has_moved(move, shard) or not in_force(state, move.shard))
        ):
            return "its old copy is not dropped yet"
        if event is Event.DROP and not (has_moved(move, shard) and in_force(state, move.shard)):
            return "a lease under the old placement may be left"
        return ""

    def _set(self, plan: Under, move: Moving, entry: Step, to: At) -> None:
        event = entry.event
        if event in _FENCING and to is not At.CANCELLED:
            self.serial += 1
            move.fence = self.serial
        if event is Event.RESERVE or event is Event.GROW:
            move.held = max(move.held, entry.held)
            move.feed = entry.feed or move.feed
        elif event is Event.COPY:
            self.owed.pop((move.target, move.shard), None)  # its copy counts for the new number now
        elif event is Event.CHECKPOINT or event is Event.COPIED:
            move.copied = max(move.copied, entry.copied)
        elif event is Event.RETRY:
            # What the target has by its own word: less than the checkpoint where it lost its disk.
            move.tries, move.copied = move.tries + 1, entry.copied
            move.feed = entry.feed or move.feed
        elif event in (Event.BACK, Event.UNFENCE) or event is Event.DONE and entry.why:
            move.why = move.why or entry.why
            if not plan.cancelled and not plan.halted:
                self._halt(plan, f"{move.shard} {move.source} > {move.target}: {entry.why}")
        if entry.owed and event in (Event.DONE, Event.FREED):
            self.owed[move.source if event is Event.DONE else move.target, move.shard] = move.fence
        move.at = to
        if to in SETTLED:
            move.held = 0

    def _halt(self, plan: Under, why: str) -> None:
        """What is begun goes on, for its room is held; the order behind it is proven no longer."""
        plan.halted = why
        for move in plan.moves:
            if move.at is At.PLANNED:
                move.at = At.CANCELLED

    def _cancelled(self, state: ConfigState, entry: Cancel) -> bytes:
        plan = self.plan
        if plan is None or plan.id != entry.id:
            return b"refused: no such plan is under way"
        if plan.had != plan.parts:
            self.plan = None
            return DONE
        if plan.cancelled or plan.over():
            return BEFORE
        plan.cancelled = True
        for move in plan.moves:
            # Danger: a version proposed for one that catches up may stand behind this entry in the log. The
            # rest is sent back by the leader, which then proposes nothing more for it.
            if move.at in (At.PLANNED, At.RESERVED):
                move.at, move.held, move.why = At.CANCELLED, 0, f"cancelled by {entry.who}"
        return DONE

    def _paid(self, state: ConfigState, entry: Paid) -> bytes:
        if self.owed.get((entry.engine, entry.shard)) != entry.fence:
            return BEFORE
        del self.owed[entry.engine, entry.shard]
        return DONE

    _TAKES = {Begin: _begun, Step: _stepped, Cancel: _cancelled, Paid: _paid}


def _fault(moves: Iterable[Moving], shards: dict[str, documents.Shard]) -> str:
    """Why a plan can't be carried out from this placement, followed to its end; none: it can."""
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


def has_moved(move: Moving, shard: documents.Shard | None) -> bool:
    """Whether the move's version, or a later one with the same outcome, is this one."""
    return (
        shard is not None
        and move.target in shard.copies
        and move.source not in shard.copies
        and (not move.primary or shard.primary == move.target)
    )


def in_force(state: ConfigState, shard: str) -> bool:
    """Whether a shard's last committed placement is what all act on: no lease under an older one is left.

    At turn 2v and 2v + 1 version v is in force: who holds a lease acts at one of these, or has none.
    """
    if state.latest.version("placement") <= state.turn // 2:
        return True
    return state.turn % 2 == 0 and (
        state.effective.placement.items.get(shard) == state.latest.placement.items.get(shard)
    )
