"""A mark as the store has it, and its life: each change is one step, made by compare-and-set. Pure.

Times in a mark are milliseconds of the store's clock. Nothing here compares them with one of this machine.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from typing import Any

import msgspec

# A clean-up leaves the fence for so long: more than any estimate of the store's time, by which the next one
# is drawn, is off.
_FENCE_KEPT = 60_000
# 160 bits: no two of a fleet's marks meet, and a key stays short.
_DIGEST = 20


class RecordState(IntEnum):
    """What is known of a mark's work. No key in the store is UNSEEN, and so is one that has expired."""

    ABSENT = 0  # none has run, or none is known
    CLAIMED = 1  # its holder may relay it until `until`
    DISPATCHED = 2  # a relay has gone out
    COMPLETED = 3  # it has run
    UNKNOWN = 4  # it may have run, and nobody will tell


class IdempotencyRecord(msgspec.Struct, frozen=True, array_like=True):
    """`fence` grows with each intention; `since`: no relay that may have run was sent before, 0: not known.

    `doubted`: one of an earlier holder may have run as well. `outcome`: see `kept_result`.
    """

    state: RecordState
    owner: str
    incarnation: str  # of the process: what an earlier one of that name intended is not this one's
    fence: int
    valid_until_ms: int = 0
    earliest_dispatch_ms: int = 0
    has_uncertain_predecessor: bool = False
    outcome: bytes = b""


class EventKind(IntEnum):
    CLAIM = 1
    DISPATCHED = 2
    COMPLETED = 3
    UNKNOWN = 4
    NOT_EXECUTED = 5  # its holder has ended it and surely ran nothing
    OPERATOR_COMPLETED = 6  # an operator's word, of the mark with this fence
    OPERATOR_NOT_EXECUTED = 7


class RecordEvent(msgspec.Struct, frozen=True, array_like=True):
    """What a holder tells of its intention. Fence 0: it never had one in the store.

    `until` of HAND_UNRUN: no sooner than that, by when no engine's memory lets a gateway send it again.
    """

    kind: EventKind
    owner: str
    incarnation: str
    fence: int
    earliest_dispatch_ms: int = 0
    valid_until_ms: int = 0
    outcome: bytes = b""


_HELD = (RecordState.CLAIMED, RecordState.DISPATCHED)


def apply_event(
    mark: IdempotencyRecord | None, event: RecordEvent, store_now: int
) -> IdempotencyRecord | None:
    """The mark after this event; None: not allowed, or it changes nothing. `store_now`: the store's ms."""
    if mark is UNREADABLE_RECORD:
        return None
    state = RecordState.ABSENT if mark is None else mark.state
    if event.kind is EventKind.CLAIM:
        return _on_claim(mark, event, state)
    if event.kind is EventKind.NOT_EXECUTED:
        # Danger: whoever was late would clear the way while the next holder's relay is out.
        if state not in _HELD or not _is_holder(mark, event):
            return None
        return _replace_state(
            mark, RecordState.UNKNOWN if mark.has_uncertain_predecessor else RecordState.ABSENT
        )
    if event.kind in (EventKind.OPERATOR_COMPLETED, EventKind.OPERATOR_NOT_EXECUTED):
        return _on_operator_decision(mark, event, state, store_now)
    return _on_execution_news(mark, event, state)


def _on_claim(
    mark: IdempotencyRecord | None, event: RecordEvent, state: RecordState
) -> IdempotencyRecord | None:
    if (
        state in (RecordState.COMPLETED, RecordState.UNKNOWN)
        or mark is not None
        and event.fence <= mark.fence
    ):
        return None
    # Danger: a relay of the holder before may be out; the engines' memory counts from its time, not from
    # ours.
    taken_over = state in _HELD
    since = (
        min(mark.earliest_dispatch_ms, event.earliest_dispatch_ms)
        if taken_over
        else event.earliest_dispatch_ms
    )
    return IdempotencyRecord(
        RecordState.CLAIMED,
        event.owner,
        event.incarnation,
        event.fence,
        event.valid_until_ms,
        since,
        taken_over,
    )


def _on_execution_news(
    mark: IdempotencyRecord | None, event: RecordEvent, state: RecordState
) -> IdempotencyRecord | None:
    """A relay went out, has run, or may have. It is true whoever holds the mark by now."""
    if state is RecordState.ABSENT:
        # What its holder wrote was lost, or cleared by hand. What it tells is as true.
        fence = event.fence if mark is None else max(mark.fence, event.fence)
        return _make_record(event, fence, event.earliest_dispatch_ms, False)
    since, fence = min(mark.earliest_dispatch_ms, event.earliest_dispatch_ms), max(mark.fence, event.fence)
    if event.kind is EventKind.COMPLETED:
        if state is RecordState.COMPLETED and (mark.outcome or not event.outcome):
            return None
        return _make_record(event, fence, since, mark.has_uncertain_predecessor)
    if state is RecordState.COMPLETED:
        return None
    if state is RecordState.UNKNOWN:
        return (
            None
            if since == mark.earliest_dispatch_ms
            else _replace_state(mark, state, earliest_dispatch_ms=since)
        )
    if _is_holder(mark, event):
        # From when its relay went out the engines remember; until then, from when it was intended.
        if event.kind is EventKind.DISPATCHED:
            return (
                None
                if state is RecordState.DISPATCHED
                else _replace_state(
                    mark,
                    RecordState.DISPATCHED,
                    earliest_dispatch_ms=mark.earliest_dispatch_ms
                    if mark.has_uncertain_predecessor
                    else max(mark.earliest_dispatch_ms, event.earliest_dispatch_ms),
                )
            )
        return _replace_state(mark, RecordState.UNKNOWN)
    if event.fence < mark.fence:
        # Danger: where the store lost the earlier intention, the present holder does not know of its relay.
        return (
            None
            if mark.has_uncertain_predecessor and since == mark.earliest_dispatch_ms
            else _replace_state(mark, state, earliest_dispatch_ms=since, has_uncertain_predecessor=True)
        )
    return _make_record(event, fence, since, True)


def _on_operator_decision(
    mark: IdempotencyRecord | None, event: RecordEvent, state: RecordState, store_now: int
) -> IdempotencyRecord | None:
    # Danger: an operator settles what was looked at, not what another gateway has made of it since; and none
    # is run again by hand whose holder may still send it, or which is known to have run.
    if mark is None or event.fence != mark.fence or state in (RecordState.ABSENT, RecordState.COMPLETED):
        return None
    if event.kind is EventKind.OPERATOR_COMPLETED:
        return _replace_state(mark, RecordState.COMPLETED)
    return (
        None
        if store_now < max(mark.valid_until_ms, event.valid_until_ms)
        else _replace_state(mark, RecordState.ABSENT)
    )


def _is_holder(mark: IdempotencyRecord, event: RecordEvent) -> bool:
    return (mark.fence, mark.owner, mark.incarnation) == (event.fence, event.owner, event.incarnation)


def _make_record(event: RecordEvent, fence: int, since: int, doubted: bool) -> IdempotencyRecord:
    state = {
        EventKind.DISPATCHED: RecordState.DISPATCHED,
        EventKind.COMPLETED: RecordState.COMPLETED,
        EventKind.UNKNOWN: RecordState.UNKNOWN,
    }[event.kind]
    until = event.valid_until_ms if state is RecordState.DISPATCHED else 0
    return IdempotencyRecord(
        state, event.owner, event.incarnation, fence, until, since, doubted, event.outcome
    )


def _replace_state(mark: IdempotencyRecord, state: RecordState, **other: Any) -> IdempotencyRecord:
    if state not in _HELD:
        other |= {
            "valid_until_ms": 0,
            "has_uncertain_predecessor": state is not RecordState.ABSENT and mark.has_uncertain_predecessor,
        }
    return msgspec.structs.replace(mark, state=state, **other)


def retention_ms(mark: IdempotencyRecord, kept: int) -> int:
    """Milliseconds that the store is to keep it, of `kept` for what may have run."""
    return min(kept, _FENCE_KEPT) if mark.state is RecordState.ABSENT else kept


def digest_key(namespace: str, tenant: str, group: str, name: str) -> bytes:
    """What stands for a client's mark in the store: no raw key leaves the gateway."""
    # Danger: parts that are only joined let one tenant make up the mark of another.
    parts = msgspec.msgpack.encode((tenant, group, name))
    return blake2b(parts, digest_size=_DIGEST, key=namespace.encode()[:64]).digest()


_decoder = msgspec.msgpack.Decoder(IdempotencyRecord)
# Of a later build, or not a mark: nothing is known but that something is there. It is never written over.
UNREADABLE_RECORD = IdempotencyRecord(RecordState.UNKNOWN, "", "", 1 << 62)


def encode_record(mark: IdempotencyRecord) -> bytes:
    return msgspec.msgpack.encode(mark)


def decode_record(value: bytes | None) -> IdempotencyRecord | None:
    if not value:
        return None
    try:
        mark = _decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return UNREADABLE_RECORD
    return (
        mark
        if 0 <= mark.fence < UNREADABLE_RECORD.fence and mark.earliest_dispatch_ms >= 0
        else UNREADABLE_RECORD
    )


def stored_result(outcome: bytes) -> bytes | None:
    """The result in a mark's outcome; None: none is kept, which an empty result is not."""
    return outcome[1:] if outcome else None


def make_outcome(result: bytes | None, most: int) -> bytes:
    """`most`: bytes of a result that is kept; 0: none is."""
    return b"+" + result if result is not None and 0 < most and len(result) <= most else b""
