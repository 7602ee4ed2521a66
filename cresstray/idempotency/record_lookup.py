"""Lookup and claim of a request's record; two round trips at most if no other gateway holds the record."""

from __future__ import annotations

from functools import partial

import msgspec

from cresstray.idempotency import codec, records
from cresstray.idempotency.codec import Reply
from cresstray.idempotency.execution_guard import (
    Claim,
    ClaimHolder,
    ExecutionGuard,
    LookupResult,
    Proceed,
    Reject,
    Wait,
    half_time_us,
)
from cresstray.idempotency.guarded_request import GuardedRequest
from cresstray.idempotency.open_requests import OpenRequests
from cresstray.idempotency.ports import Timers
from cresstray.idempotency.records import IdempotencyRecord, RecordEvent, RecordState
from cresstray.idempotency.store_fallback import US_PER_STORE_MS, StoreFallback
from cresstray.idempotency.store_session import StoreSession
from cresstray.idempotency.write_behind import WriteBehindQueue
from cresstray.observability.counters import Counters

# A quarter of all round trips that may be in flight, so that one tenant's flood does not use them all.
_MAX_LOOKUPS_PER_TENANT = 250
# Without a limit, a record that all gateways compete for would be tried until the deadline.
_MAX_CLAIM_ATTEMPTS = 4


class RecordLookup:
    """Reads and claims records for requests, and delivers the decisions of the guard."""

    def __init__(
        self,
        holder: ClaimHolder,
        guard: ExecutionGuard,
        open_requests: OpenRequests,
        write_behind: WriteBehindQueue,
        session: StoreSession,
        fallback: StoreFallback,
        retention_ms: int,
        timers: Timers,
        counters: Counters,
    ) -> None:
        self._holder = holder
        self._guard = guard
        self._open_requests = open_requests
        self._write_behind = write_behind
        self._session = session
        self._fallback = fallback
        self._retention_ms = retention_ms
        self._timers = timers
        self._counters = counters
        self._last_fence = 0  # greatest fence among this process's claims

    def start(self, guarded: GuardedRequest, now_us: int) -> None:
        """Starts a lookup within a time budget, or decides without the store."""
        health = self._session.health
        slack_us = guarded.timing.latest_dispatch_us - now_us
        guarded.lookup_deadline_us = now_us + health.time_budget_us(slack_us, now_us)
        if self._open_requests.lookups_by_tenant[guarded.request.tenant] >= _MAX_LOOKUPS_PER_TENANT:
            self._fallback.decide(guarded, "too many lookups of this tenant", now_us)
        elif guarded.lookup_deadline_us <= now_us:
            reason = "the store is unavailable or slow" if health.is_open else "no time for a lookup"
            self._fallback.decide(guarded, reason, now_us)
        elif guarded.stored_value or not self._session.store_clock.is_known(now_us):
            self._read(guarded, now_us)
        else:
            # A record rarely exists already, so the claim is tried first, without reading.
            store_now_ms = self._session.store_clock.lower_bound_ms(now_us)
            claim = self._guard.make_claim(
                guarded.mode, None, self._holder, store_now_ms, guarded.timing, now_us
            )
            self._claim(guarded, b"", None, claim.event, now_us)

    def _read(self, guarded: GuardedRequest, now_us: int) -> None:
        key = self._session.record_key(guarded.digest)
        self._open_requests.on_lookup_started(guarded)
        commands = [codec.get_value(key), codec.get_time()]
        on_read = partial(self._on_read, guarded)
        self._session.submit(commands, guarded.lookup_deadline_us, on_read, now_us)

    def _on_read(
        self, guarded: GuardedRequest, replies: list[Reply] | None, started_us: int, now_us: int
    ) -> None:
        self._open_requests.on_lookup_finished(guarded)
        if replies is None:
            self._on_no_reply(guarded, now_us)
            return
        value, time_reply = replies
        store_now_ms = codec.parse_time_ms(time_reply)
        self._session.store_clock.on_reading(store_now_ms, started_us, now_us)
        self._on_found(guarded, value, store_now_ms, started_us, now_us)

    def _claim(
        self,
        guarded: GuardedRequest,
        stored_value: bytes,
        record: IdempotencyRecord | None,
        event: RecordEvent,
        now_us: int,
    ) -> None:
        # The fences of this process are unique: two requests with one key in the same millisecond must not
        # both take the same claim for their own.
        self._last_fence = max(event.fence, self._last_fence + 1)
        event = msgspec.structs.replace(event, fence=self._last_fence)
        claimed = records.apply_event(record, event, self._session.store_clock.lower_bound_ms(now_us))
        if claimed is None or guarded.claim_attempts >= _MAX_CLAIM_ATTEMPTS:
            self._fallback.decide(guarded, "other gateways changed the record first at each attempt", now_us)
            return
        guarded.claim_attempts += 1
        # From now on the claim may be in the store, whatever the reply is.
        guarded.claim = event
        key = self._session.record_key(guarded.digest)
        value = records.encode_record(claimed)
        lifetime_ms = records.retention_ms(claimed, self._retention_ms)
        command = codec.compare_and_set(key, stored_value, value, lifetime_ms)
        self._open_requests.on_lookup_started(guarded)
        on_claimed = partial(self._on_claimed, guarded, claimed, value)
        self._session.submit([command], guarded.lookup_deadline_us, on_claimed, now_us)

    def _on_claimed(
        self,
        guarded: GuardedRequest,
        claimed: IdempotencyRecord,
        value: bytes,
        replies: list[Reply] | None,
        started_us: int,
        now_us: int,
    ) -> None:
        self._open_requests.on_lookup_finished(guarded)
        if replies is None:
            self._on_no_reply(guarded, now_us)
            return
        result = codec.parse_compare_and_set(replies[0])
        store_clock = self._session.store_clock
        regressions = store_clock.regressions
        store_clock.on_reading(result.store_now_ms, started_us, now_us)
        if not result.is_applied:
            if result.current_value != value:
                guarded.claim = None
            self._on_found(guarded, result.current_value, result.store_now_ms, started_us, now_us)
            return
        guarded.stored_value = value
        guarded.record = claimed
        guarded.is_claim_current = True
        if store_clock.regressions > regressions:
            # The claim was written with a time from before the regression; other gateways would take it for
            # younger than it is.
            self._fallback.decide(guarded, "the store's clock went backwards", now_us)
            return
        proceed = Proceed(claimed.fence, claimed.valid_until_ms)
        self._proceed(guarded, proceed, result.store_now_ms, started_us, now_us)

    def _on_no_reply(self, guarded: GuardedRequest, now_us: int) -> None:
        """Reads the record once more, as a connection may have ended and the claim may have been written."""
        has_time = now_us < half_time_us(guarded.timing)
        if guarded.on_decision is not None and not guarded.has_retried_lookup and has_time:
            guarded.has_retried_lookup = True
            slack_us = guarded.timing.latest_dispatch_us - now_us
            guarded.lookup_deadline_us = now_us + self._session.health.time_budget_us(slack_us, now_us)
            if guarded.lookup_deadline_us > now_us:
                self._read(guarded, now_us)
                return
        self._fallback.decide(guarded, "the store did not answer in time", now_us)

    def _on_found(
        self, guarded: GuardedRequest, value: bytes | None, store_now_ms: int, started_us: int, now_us: int
    ) -> None:
        if guarded.is_finished:
            self._open_requests.settle(guarded, now_us)
            return
        record = records.decode_record(value)
        guarded.stored_value = value or b""
        guarded.record = record
        if record is not None and self._is_own_claim(guarded, record):
            # The claim was written by a round trip whose reply was lost.
            guarded.is_claim_current = True
            proceed = Proceed(record.fence, record.valid_until_ms)
            self._proceed(guarded, proceed, store_now_ms, started_us, now_us)
            return
        record_with_pending = self._apply_pending(guarded, record, store_now_ms)
        age_unknown_before_ms = self._session.store_clock.age_unknown_before_ms
        lookup = LookupResult(record_with_pending, store_now_ms, age_unknown_before_ms)
        decision = self._guard.decide(guarded.mode, lookup, self._holder, guarded.timing, now_us)
        if isinstance(decision, Claim):
            self._claim(guarded, guarded.stored_value, record, decision.event, now_us)
        elif isinstance(decision, Wait):
            self._counters.add("idempotency: waits")
            self._timers.call_after(decision.retry_at_us - now_us, partial(self._on_wait_over, guarded))
        elif isinstance(decision, Proceed):
            self._proceed(guarded, decision, store_now_ms, started_us, now_us)
        else:
            self._open_requests.deliver(guarded, decision, now_us)

    def _is_own_claim(self, guarded: GuardedRequest, record: IdempotencyRecord) -> bool:
        if guarded.claim is None or record.state is not RecordState.CLAIMED:
            return False
        own_claim = (*self._holder, guarded.claim.fence)
        return (record.owner, record.incarnation, record.fence) == own_claim

    def _apply_pending(
        self, guarded: GuardedRequest, record: IdempotencyRecord | None, store_now_ms: int
    ) -> IdempotencyRecord | None:
        """Returns the record with the reports applied that are not in the store yet."""
        record_with_pending = record
        for write in self._write_behind.pending_for(guarded.digest):
            record_with_pending = (
                records.apply_event(record_with_pending, write.event, store_now_ms) or record_with_pending
            )
        return record_with_pending

    def _on_wait_over(self, guarded: GuardedRequest, now_us: int) -> None:
        if not guarded.is_finished:
            self.start(guarded, now_us)

    def _proceed(
        self, guarded: GuardedRequest, proceed: Proceed, store_now_ms: int, started_us: int, now_us: int
    ) -> None:
        # The claim's remaining time is counted on this gateway's clock from the start of the round trip. The
        # store's clock may have any offset, so only durations are compared.
        valid_ms = proceed.valid_until_ms - store_now_ms
        guarded.dispatch_until_us = started_us + valid_ms * US_PER_STORE_MS
        if now_us >= guarded.dispatch_until_us:
            self._open_requests.deliver(guarded, Reject(self._guard.draw_retry_after_us(0)), now_us)
            return
        self._open_requests.deliver(guarded, proceed, now_us)
