"""Idempotency records and their state transitions. Pure: no I/O, no clock.

A record changes by one event at a time, by compare-and-set in the shared store. All times in a record are
milliseconds of the store's clock; this module never compares them with a clock of this machine.

The store holds a record as a MessagePack array: field names are not encoded, only their order and the numbers
of states. Names that earlier builds and documents used for them:

    position  earlier    field
    0         state      state
    1         owner      owner
    2         life       incarnation
    3         fence      fence
    4         until      valid_until_ms
    5         since      earliest_dispatch_ms
    6         doubted    has_uncertain_predecessor
    7         outcome    outcome

    number    earlier    state
    0         UNSEEN     ABSENT
    1         INTENDED   CLAIMED
    2         SENT       DISPATCHED
    3         ENDED      COMPLETED
    4         UNKNOWN    UNKNOWN
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from typing import Any

import msgspec

# A released record is kept for this long: its fence must outlast any error in the estimate of the store's
# time, from which the next fence is derived.
_FENCE_RETENTION_MS = 60_000
# 160 bits: short keys, with a negligible probability of collisions in one fleet.
_DIGEST_BYTES = 20
_MAX_NAMESPACE_BYTES = 64
# Prefix of a stored result, so that an empty result differs from no result.
_RESULT_PREFIX = b"+"


class RecordState(IntEnum):
    """What is known about the execution of the request with one idempotency key."""

    ABSENT = 0  # no execution is known; equivalent to a missing or expired key
    CLAIMED = 1  # the holder may dispatch the request until `valid_until_ms`
    DISPATCHED = 2  # an attempt was sent
    COMPLETED = 3  # the request was executed
    UNKNOWN = 4  # the request may have been executed; no further report is expected


class IdempotencyRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record, with the fields in the order of the stored array.

    Attributes:
        state: What is known about the execution.
        owner: Name of the gateway that wrote the claim or the report.
        incarnation: Identifies that gateway's process; claims of an earlier process are not its own.
        fence: Fencing token; grows with each claim.
        valid_until_ms: End of the claim; 0 without one.
        earliest_dispatch_ms: No attempt that may have run was sent before this time; 0 if unknown.
        has_uncertain_predecessor: Whether an attempt of an earlier holder may have run too.
        outcome: The stored result, if any; see `stored_result`.
    """

    state: RecordState
    owner: str
    incarnation: str
    fence: int
    valid_until_ms: int = 0
    earliest_dispatch_ms: int = 0
    has_uncertain_predecessor: bool = False
    outcome: bytes = b""


class EventKind(IntEnum):
    """Kind of an event: a claim, a report on it, or a decision of an operator."""

    CLAIM = 1
    DISPATCHED = 2
    COMPLETED = 3
    UNKNOWN = 4
    NOT_EXECUTED = 5  # the holder has finished, and no attempt was executed
    OPERATOR_COMPLETED = 6  # an operator's decision about the record with this fence
    OPERATOR_NOT_EXECUTED = 7


class RecordEvent(msgspec.Struct, frozen=True, array_like=True):
    """A claim, a holder's report on its claim, or an operator's decision.

    A report with fence 0 comes from a gateway that had no claim in the store. For OPERATOR_NOT_EXECUTED,
    `valid_until_ms` is the earliest time at which it may be applied: by then no deduplication window of an
    engine allows a gateway to send the request again.
    """

    kind: EventKind
    owner: str
    incarnation: str
    fence: int
    earliest_dispatch_ms: int = 0
    valid_until_ms: int = 0
    outcome: bytes = b""


_ACTIVE_STATES = (RecordState.CLAIMED, RecordState.DISPATCHED)
_STATE_AFTER_REPORT = {
    EventKind.DISPATCHED: RecordState.DISPATCHED,
    EventKind.COMPLETED: RecordState.COMPLETED,
    EventKind.UNKNOWN: RecordState.UNKNOWN,
}


def apply_event(
    record: IdempotencyRecord | None, event: RecordEvent, store_now_ms: int
) -> IdempotencyRecord | None:
    """Returns the record after the event, or None if the event is not allowed or changes nothing."""
    if record is UNREADABLE_RECORD:
        return None
    if event.kind is EventKind.CLAIM:
        return _on_claim(record, event)
    if event.kind is EventKind.NOT_EXECUTED:
        return _on_not_executed(record, event)
    if event.kind in (EventKind.OPERATOR_COMPLETED, EventKind.OPERATOR_NOT_EXECUTED):
        return _on_operator_decision(record, event, store_now_ms)
    return _on_report(record, event)


def _on_claim(record: IdempotencyRecord | None, event: RecordEvent) -> IdempotencyRecord | None:
    earliest_dispatch_ms = event.earliest_dispatch_ms
    is_takeover = False
    if record is not None:
        is_final = record.state in (RecordState.COMPLETED, RecordState.UNKNOWN)
        if is_final or event.fence <= record.fence:
            return None
        is_takeover = record.state in _ACTIVE_STATES
        if is_takeover:
            # The previous holder's attempt may be running, and the engines' deduplication window begins with
            # that attempt.
            earliest_dispatch_ms = min(record.earliest_dispatch_ms, event.earliest_dispatch_ms)
    return IdempotencyRecord(
        RecordState.CLAIMED,
        event.owner,
        event.incarnation,
        event.fence,
        event.valid_until_ms,
        earliest_dispatch_ms,
        is_takeover,
    )


def _on_not_executed(record: IdempotencyRecord | None, event: RecordEvent) -> IdempotencyRecord | None:
    # A late report of an earlier holder must not release the claim of the present one, which may be
    # dispatching.
    if record is None or record.state not in _ACTIVE_STATES or not _is_holder(record, event):
        return None
    state_after_release = RecordState.UNKNOWN if record.has_uncertain_predecessor else RecordState.ABSENT
    return _replace_state(record, state_after_release)


def _on_report(record: IdempotencyRecord | None, event: RecordEvent) -> IdempotencyRecord | None:
    """Applies DISPATCHED, COMPLETED or UNKNOWN, which are true whoever holds the record now."""
    if record is None:
        return _make_record(event, event.fence, event.earliest_dispatch_ms, False)
    fence = max(record.fence, event.fence)
    if record.state is RecordState.ABSENT:
        # The claim was lost, or cleared by an operator; the report still holds.
        return _make_record(event, fence, event.earliest_dispatch_ms, False)
    earliest_dispatch_ms = min(record.earliest_dispatch_ms, event.earliest_dispatch_ms)
    if event.kind is EventKind.COMPLETED:
        has_nothing_to_add = bool(record.outcome) or not event.outcome
        if record.state is RecordState.COMPLETED and has_nothing_to_add:
            return None
        return _make_record(event, fence, earliest_dispatch_ms, record.has_uncertain_predecessor)
    if record.state is RecordState.COMPLETED:
        return None
    if record.state is RecordState.UNKNOWN:
        return _with_earlier_dispatch(record, earliest_dispatch_ms)
    if _is_holder(record, event):
        return _on_holder_report(record, event)
    if event.fence < record.fence:
        # If the store lost the earlier claim, the present holder does not know of the earlier holder's
        # attempt.
        return _with_uncertain_predecessor(record, earliest_dispatch_ms)
    return _make_record(event, fence, earliest_dispatch_ms, True)


def _on_holder_report(record: IdempotencyRecord, event: RecordEvent) -> IdempotencyRecord | None:
    if event.kind is not EventKind.DISPATCHED:
        return _replace_state(record, RecordState.UNKNOWN)
    if record.state is RecordState.DISPATCHED:
        return None
    # The engines' window begins with the dispatch. While its time was unknown, the claim's time stood for it.
    earliest_dispatch_ms = record.earliest_dispatch_ms
    if not record.has_uncertain_predecessor:
        earliest_dispatch_ms = max(record.earliest_dispatch_ms, event.earliest_dispatch_ms)
    return _replace_state(record, RecordState.DISPATCHED, earliest_dispatch_ms=earliest_dispatch_ms)


def _with_earlier_dispatch(record: IdempotencyRecord, earliest_dispatch_ms: int) -> IdempotencyRecord | None:
    if earliest_dispatch_ms == record.earliest_dispatch_ms:
        return None
    return _replace_state(record, record.state, earliest_dispatch_ms=earliest_dispatch_ms)


def _with_uncertain_predecessor(
    record: IdempotencyRecord, earliest_dispatch_ms: int
) -> IdempotencyRecord | None:
    if record.has_uncertain_predecessor and earliest_dispatch_ms == record.earliest_dispatch_ms:
        return None
    return _replace_state(
        record, record.state, earliest_dispatch_ms=earliest_dispatch_ms, has_uncertain_predecessor=True
    )


def _on_operator_decision(
    record: IdempotencyRecord | None, event: RecordEvent, store_now_ms: int
) -> IdempotencyRecord | None:
    # The decision applies to the record that the operator has seen, not to one that a gateway has claimed
    # since.
    if record is None or event.fence != record.fence:
        return None
    if record.state in (RecordState.ABSENT, RecordState.COMPLETED):
        return None
    if event.kind is EventKind.OPERATOR_COMPLETED:
        return _replace_state(record, RecordState.COMPLETED)
    # No second holder is allowed while the present one may still dispatch the request.
    if store_now_ms < max(record.valid_until_ms, event.valid_until_ms):
        return None
    return _replace_state(record, RecordState.ABSENT)


def _is_holder(record: IdempotencyRecord, event: RecordEvent) -> bool:
    return (record.fence, record.owner, record.incarnation) == (event.fence, event.owner, event.incarnation)


def _make_record(
    event: RecordEvent, fence: int, earliest_dispatch_ms: int, has_uncertain_predecessor: bool
) -> IdempotencyRecord:
    state = _STATE_AFTER_REPORT[event.kind]
    valid_until_ms = event.valid_until_ms if state is RecordState.DISPATCHED else 0
    return IdempotencyRecord(
        state,
        event.owner,
        event.incarnation,
        fence,
        valid_until_ms,
        earliest_dispatch_ms,
        has_uncertain_predecessor,
        event.outcome,
    )


def _replace_state(record: IdempotencyRecord, state: RecordState, **changes: Any) -> IdempotencyRecord:
    if state not in _ACTIVE_STATES:
        changes["valid_until_ms"] = 0
        changes["has_uncertain_predecessor"] = (
            state is not RecordState.ABSENT and record.has_uncertain_predecessor
        )
    return msgspec.structs.replace(record, state=state, **changes)


def retention_ms(record: IdempotencyRecord, configured_ms: int) -> int:
    """Returns for how long the store keeps a record; `configured_ms` applies unless its state is ABSENT."""
    return min(configured_ms, _FENCE_RETENTION_MS) if record.state is RecordState.ABSENT else configured_ms


def digest_key(namespace: str, tenant: str, scope: str, idempotency_key: str) -> bytes:
    """Returns the digest used in place of a client's key; the raw key never leaves the gateway."""
    # With plain concatenation, one tenant could construct the digest of another tenant's key.
    parts = msgspec.msgpack.encode((tenant, scope, idempotency_key))
    namespace_key = namespace.encode()[:_MAX_NAMESPACE_BYTES]
    return blake2b(parts, digest_size=_DIGEST_BYTES, key=namespace_key).digest()


_decoder = msgspec.msgpack.Decoder(IdempotencyRecord)
# Represents a value of a later build, or one that is not a record. It is never overwritten.
UNREADABLE_RECORD = IdempotencyRecord(RecordState.UNKNOWN, "", "", 1 << 62)


def encode_record(record: IdempotencyRecord) -> bytes:
    """Returns the value to store for the record."""
    return msgspec.msgpack.encode(record)


def decode_record(value: bytes | None) -> IdempotencyRecord | None:
    """Returns the record in a stored value; None for no value, UNREADABLE_RECORD for an unknown format."""
    if not value:
        return None
    try:
        record = _decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return UNREADABLE_RECORD
    is_plausible = 0 <= record.fence < UNREADABLE_RECORD.fence and record.earliest_dispatch_ms >= 0
    return record if is_plausible else UNREADABLE_RECORD


def stored_result(outcome: bytes) -> bytes | None:
    """Returns the result in a record's outcome; None if no result is stored."""
    return outcome[len(_RESULT_PREFIX) :] if outcome else None


def make_outcome(result: bytes | None, max_result_bytes: int) -> bytes:
    """Returns the outcome to store; empty if there is no result, or if it is longer than allowed."""
    is_stored = result is not None and 0 < max_result_bytes and len(result) <= max_result_bytes
    return _RESULT_PREFIX + result if is_stored and result is not None else b""
