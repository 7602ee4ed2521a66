"""The open requests of one gateway: their decisions, their attempts, and the final reports on them."""

from __future__ import annotations

from collections import Counter

from cresstray.idempotency.execution_guard import ClaimHolder, Decision, Proceed, ProceedUnguarded
from cresstray.idempotency.guarded_request import GuardedRequest
from cresstray.idempotency.health import StoreClock
from cresstray.idempotency.ports import JournalSlot
from cresstray.idempotency.records import (
    EventKind,
    IdempotencyRecord,
    RecordEvent,
    RecordState,
    make_outcome,
)
from cresstray.idempotency.write_behind import PendingWrite, WriteBehindQueue
from cresstray.observability.counters import Counters
from cresstray.policy.types import Outcome, Request

# Outcomes which prove that an attempt was never executed, the same as in the policy.
_NOT_EXECUTED = (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.EXPIRED_BEFORE_SEND)
# Counters of decisions.
_DECISION_COUNTERS = {
    "Proceed": "idempotency: proceed",
    "Reject": "idempotency: reject",
    "Fail": "idempotency: fail",
    "ReplayResult": "idempotency: replay result",
    "ProceedUnguarded": "idempotency: proceed unguarded",
}


class OpenRequests:
    """Guarded requests by request.

    Methods that take a Request ignore requests without a record.
    """

    def __init__(
        self,
        holder: ClaimHolder,
        max_result_bytes: int,
        retention_ms: int,
        store_clock: StoreClock,
        write_behind: WriteBehindQueue,
        journal_slot: JournalSlot,
        counters: Counters,
    ) -> None:
        self._holder = holder
        self._max_result_bytes = max_result_bytes
        self._retention_ms = retention_ms
        self._store_clock = store_clock
        self._write_behind = write_behind
        self._journal_slot = journal_slot
        self._counters = counters
        self.by_request: dict[Request, GuardedRequest] = {}
        self.lookups_by_tenant: Counter[int] = Counter()

    def add(self, guarded: GuardedRequest) -> None:
        """Adds a request, which is open from now on."""
        self.by_request[guarded.request] = guarded
        self._counters.add("idempotency: requests")

    # Lookups in flight, counted by tenant.

    def on_lookup_started(self, guarded: GuardedRequest) -> None:
        """Records that a round trip to the store begins for the request."""
        guarded.is_lookup_pending = True
        self.lookups_by_tenant[guarded.request.tenant] += 1

    def on_lookup_finished(self, guarded: GuardedRequest) -> None:
        """Records that the round trip has ended, with or without success."""
        guarded.is_lookup_pending = False
        tenant = guarded.request.tenant
        self.lookups_by_tenant[tenant] -= 1
        if not self.lookups_by_tenant[tenant]:
            del self.lookups_by_tenant[tenant]

    # Decisions.

    def deliver(self, guarded: GuardedRequest, decision: Decision, now_us: int) -> None:
        """Passes the decision to the caller; after the first decision, only settles the request."""
        on_decision = guarded.on_decision
        guarded.on_decision = None
        if on_decision is None:
            self.settle(guarded, now_us)
            return
        self._counters.add(_DECISION_COUNTERS[type(decision).__name__])
        if not isinstance(decision, Proceed | ProceedUnguarded):
            # The request ends here; the claim that was made for it, if any, is released.
            guarded.is_finished = True
            guarded.dispatch_until_us = 0
            self.settle(guarded, now_us)
        on_decision(decision)

    # Dispatch fence.

    def may_dispatch(self, request: Request, now_us: int) -> bool:
        """Returns whether an attempt may be sent at this moment; see IdempotencyCoordinator.may_dispatch."""
        guarded = self.by_request.get(request)
        if guarded is None:
            # The site that forwarded a request guards it, until its deadline.
            is_allowed = not request.is_forwarded_in or now_us < request.deadline_us
        else:
            # After a suspension of the process, code may run before overdue timers; only the clock is
            # reliable.
            is_allowed = guarded.on_decision is None and now_us < guarded.dispatch_until_us
        if not is_allowed:
            self._counters.add("idempotency: claims expired before dispatch")
        return is_allowed

    def on_attempt_sent(self, request: Request, now_us: int) -> None:
        """Records that an attempt is being sent; `on_attempt_finished` must follow."""
        guarded = self.by_request.get(request)
        if guarded is None:
            return
        guarded.attempts_in_flight += 1
        if not guarded.first_dispatch_ms:
            guarded.first_dispatch_ms = self._dispatch_time_ms(now_us)
            if guarded.is_claim_current:
                self._report(guarded, self._make_report(guarded, EventKind.DISPATCHED), now_us)

    def _dispatch_time_ms(self, now_us: int) -> int:
        if not self._store_clock.is_known(now_us):
            return 0
        return max(1, self._store_clock.lower_bound_ms(now_us))

    def on_attempt_finished(self, request: Request, outcome: Outcome, now_us: int) -> None:
        """Records the outcome of an attempt."""
        guarded = self.by_request.get(request)
        if guarded is None:
            return
        guarded.attempts_in_flight = max(0, guarded.attempts_in_flight - 1)
        guarded.has_completed = guarded.has_completed or outcome is Outcome.SUCCEEDED
        guarded.may_have_run = guarded.may_have_run or outcome not in _NOT_EXECUTED
        self.settle(guarded, now_us)

    def on_request_finished(
        self, request: Request, final_state: str, result: bytes | None, now_us: int
    ) -> None:
        """Records that the request was answered, or that its client has left.

        `final_state` is the name used by the accounting.
        """
        guarded = self.by_request.get(request)
        if guarded is None:
            return
        guarded.is_finished = True
        guarded.on_decision = None
        guarded.dispatch_until_us = 0
        if final_state == "succeeded":
            guarded.has_completed = True
            guarded.outcome = make_outcome(result, self._max_result_bytes)
        self.settle(guarded, now_us)

    # Report on the outcome, made after the request was answered.

    def settle(self, guarded: GuardedRequest, now_us: int) -> None:
        """Closes a finished request and queues the report on it, once no attempt or lookup is in flight."""
        is_in_flight = guarded.attempts_in_flight > 0 or guarded.is_lookup_pending
        if not guarded.is_finished or is_in_flight:
            return
        if self.by_request.get(guarded.request) is not guarded:
            return
        del self.by_request[guarded.request]
        kind = EventKind.UNKNOWN if guarded.may_have_run else EventKind.NOT_EXECUTED
        if guarded.has_completed:
            kind = EventKind.COMPLETED
        if guarded.claim is None and not _adds_information(guarded, kind):
            journal = self._journal_slot.journal
            if guarded.journal_id is not None and journal is not None:
                journal.append_settled(guarded.journal_id)
            return
        self._report(guarded, self._make_report(guarded, kind), now_us)

    def _make_report(self, guarded: GuardedRequest, kind: EventKind) -> RecordEvent:
        fence = 0
        valid_until_ms = 0
        if guarded.claim is not None:
            fence = guarded.claim.fence
            valid_until_ms = guarded.claim.valid_until_ms
        return RecordEvent(
            kind,
            *self._holder,
            fence,
            _earliest_dispatch_ms(guarded),
            valid_until_ms,
            guarded.outcome if kind is EventKind.COMPLETED else b"",
        )

    def _report(self, guarded: GuardedRequest, event: RecordEvent, now_us: int) -> None:
        journal_ids = () if guarded.journal_id is None else (guarded.journal_id,)
        self._write_behind.add(
            guarded.digest,
            event,
            guarded.request.tenant,
            now_us + self._retention_ms * 1000,
            now_us,
            guarded.stored_value,
            journal_ids,
        )

    def on_dispatch_written(self, write: PendingWrite, value: bytes) -> None:
        """Records that the store holds a DISPATCHED report, which the report on the outcome will replace."""
        for guarded in self.by_request.values():
            if guarded.digest != write.digest or not guarded.claim:
                continue
            if guarded.claim.fence == write.event.fence:
                guarded.stored_value = value


def _adds_information(guarded: GuardedRequest, kind: EventKind) -> bool:
    """Returns whether a report without a claim would add to what the record says."""
    if kind is EventKind.NOT_EXECUTED:
        return False
    record = guarded.record
    if record is None:
        return True
    if record.state is RecordState.COMPLETED:
        return not record.outcome and bool(guarded.outcome)
    return record.state is not RecordState.UNKNOWN or kind is not EventKind.UNKNOWN


def _earliest_dispatch_ms(guarded: GuardedRequest) -> int:
    first_dispatch_ms = guarded.first_dispatch_ms
    record = guarded.record
    is_certain = guarded.is_claim_current and record is not None and not record.has_uncertain_predecessor
    if is_certain and first_dispatch_ms:
        return first_dispatch_ms
    # If another holder's attempt may be running too, or this gateway's own claim was not confirmed, the
    # request may have run before the first attempt of this gateway.
    possible_dispatch_ms: list[int] = []
    if record is not None and not _is_absent(record):
        possible_dispatch_ms.append(record.earliest_dispatch_ms)
    if guarded.claim is not None:
        possible_dispatch_ms.append(guarded.claim.earliest_dispatch_ms)
    return min(possible_dispatch_ms, default=first_dispatch_ms)


def _is_absent(record: IdempotencyRecord) -> bool:
    return record.state is RecordState.ABSENT
