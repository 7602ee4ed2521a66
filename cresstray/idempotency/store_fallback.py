"""Decisions without the store: from this gateway's own reports, or within the operator's allowance."""

from __future__ import annotations

from functools import partial

import msgspec

from cresstray.idempotency import records
from cresstray.idempotency.execution_guard import (
    ClaimHolder,
    Decision,
    ExecutionGuard,
    LookupResult,
    Proceed,
    ProceedUnguarded,
    Reject,
    StoreUnavailable,
)
from cresstray.idempotency.guarded_request import GuardedRequest
from cresstray.idempotency.health import StoreClock, StoreHealth
from cresstray.idempotency.open_requests import OpenRequests
from cresstray.idempotency.ports import JournalSlot, Timers
from cresstray.idempotency.records import IdempotencyRecord, RecordState
from cresstray.idempotency.write_behind import WriteBehindQueue

# Interval between two checks whether a claim is synced to the disk, which usually takes 1 to 10 ms.
_SYNC_POLL_US = 1_000
_LATE_SYNC_POLL_US = 100 * _SYNC_POLL_US
# A sync may take at most this part of the time until the latest dispatch.
_SYNC_BUDGET_DIVISOR = 4
# Microseconds of this gateway's clock per millisecond of the store's clock, less a margin for their speeds.
US_PER_STORE_MS = 990


class StoreFallback:
    """Decides about requests whose records could not be read or claimed."""

    def __init__(
        self,
        holder: ClaimHolder,
        guard: ExecutionGuard,
        open_requests: OpenRequests,
        write_behind: WriteBehindQueue,
        health: StoreHealth,
        store_clock: StoreClock,
        journal_slot: JournalSlot,
        timers: Timers,
    ) -> None:
        self._holder = holder
        self._guard = guard
        self._open_requests = open_requests
        self._write_behind = write_behind
        self._health = health
        self._store_clock = store_clock
        self._journal_slot = journal_slot
        self._timers = timers

    def decide(self, guarded: GuardedRequest, reason: str, now_us: int) -> None:
        """Decides without the record; `reason` says why it is not known."""
        if guarded.on_decision is None:
            self._open_requests.settle(guarded, now_us)
            return
        decision_from_reports = self._decide_from_own_reports(guarded, now_us)
        if decision_from_reports is not None:
            self._open_requests.deliver(guarded, decision_from_reports, now_us)
            return
        unavailable = StoreUnavailable(reason, self._health.unavailable_us_at(now_us))
        decision = self._guard.decide_without_store(unavailable, guarded.class_name, now_us)
        journal = self._journal_slot.journal
        if not isinstance(decision, ProceedUnguarded):
            self._open_requests.deliver(guarded, decision, now_us)
        elif journal is None:
            guarded.dispatch_until_us = guarded.request.deadline_us
            self._open_requests.deliver(guarded, decision, now_us)
        else:
            guarded.journal_id = journal.append_claim(guarded.digest, 0, guarded.request.tenant)
            if guarded.journal_id is None:
                self._reject(guarded, now_us)
                return
            # The sync has a time budget, like a lookup; a request whose claim is not synced by then is
            # rejected.
            time_left_us = max(0, guarded.timing.latest_dispatch_us - now_us)
            sync_deadline_us = now_us + time_left_us // _SYNC_BUDGET_DIVISOR
            self._await_sync(guarded, decision, sync_deadline_us, now_us)

    def _decide_from_own_reports(self, guarded: GuardedRequest, now_us: int) -> Decision | None:
        """Decides from this gateway's recent reports that are not in the store yet.

        Returns None if they are not sufficient.
        """
        record, is_dispatch_time_certain = self._merge_own_reports(guarded, now_us)
        if record is None or record.state not in (RecordState.COMPLETED, RecordState.UNKNOWN):
            return None
        # The store's time is only estimated; its upper bound is used, so that no window is overestimated.
        store_now_ms = self._store_clock.upper_bound_ms(now_us)
        lookup = LookupResult(record, store_now_ms)
        decision = self._guard.decide(guarded.mode, lookup, self._holder, guarded.timing, now_us)
        if isinstance(decision, Proceed):
            # A request that this gateway sent without a record may itself have been a repetition of an
            # earlier execution, which the engines forget sooner.
            if not is_dispatch_time_certain:
                return None
            guarded.dispatch_until_us = now_us + (decision.valid_until_ms - store_now_ms) * US_PER_STORE_MS
        return decision

    def _merge_own_reports(
        self, guarded: GuardedRequest, now_us: int
    ) -> tuple[IdempotencyRecord | None, bool]:
        """Returns the record after the queued reports, and whether the store had one before each of them."""
        merged: IdempotencyRecord | None = None
        is_dispatch_time_certain = True
        store_now_ms = self._store_clock.lower_bound_ms(now_us)
        for write in self._write_behind.pending_for(guarded.digest):
            # The last known record in the store has the time of the first dispatch.
            stored = records.decode_record(write.expected_value)
            is_dispatch_time_certain = is_dispatch_time_certain and stored is not None
            updated = records.apply_event(stored, write.event, store_now_ms) or stored
            if updated is not None and merged is not None:
                stronger = updated if updated.state is RecordState.COMPLETED else merged
                earliest_ms = min(updated.earliest_dispatch_ms, merged.earliest_dispatch_ms)
                updated = msgspec.structs.replace(stronger, earliest_dispatch_ms=earliest_ms)
            merged = updated or merged
        return merged, is_dispatch_time_certain

    def _await_sync(
        self, guarded: GuardedRequest, decision: Decision, sync_deadline_us: int, now_us: int
    ) -> None:
        """Delivers the decision once the claim is synced to the journal, or a rejection at the deadline."""
        journal = self._journal_slot.journal
        assert journal is not None and guarded.journal_id is not None, (
            "no claim of the request waits for a sync"
        )
        is_synced = journal.take_sync_result(guarded.journal_id)
        # The latest dispatch time may have been moved forward since, as the process is shutting down.
        is_late = now_us >= min(sync_deadline_us, guarded.timing.latest_dispatch_us)
        if is_synced is None and (not is_late or guarded.on_decision is None):
            poll_us = _LATE_SYNC_POLL_US if is_late else _SYNC_POLL_US
            self._poll_again(guarded, decision, sync_deadline_us, poll_us)
            return
        if guarded.on_decision is None:
            # The request was rejected, or its client has left; whether the entry is on the disk is settled
            # now.
            self._open_requests.settle(guarded, now_us)
            return
        if is_synced:
            guarded.dispatch_until_us = guarded.request.deadline_us
            self._open_requests.deliver(guarded, decision, now_us)
        elif is_synced is None:
            self._poll_again(guarded, decision, sync_deadline_us, _LATE_SYNC_POLL_US)
            self._reject(guarded, now_us)
        else:
            guarded.journal_id = None
            self._reject(guarded, now_us)

    def _poll_again(
        self, guarded: GuardedRequest, decision: Decision, sync_deadline_us: int, delay_us: int
    ) -> None:
        self._timers.call_after(delay_us, partial(self._await_sync, guarded, decision, sync_deadline_us))

    def _reject(self, guarded: GuardedRequest, now_us: int) -> None:
        self._open_requests.deliver(guarded, Reject(self._guard.draw_retry_after_us(0)), now_us)
