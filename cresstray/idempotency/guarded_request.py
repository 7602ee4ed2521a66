"""State of a request that needs an idempotency record, from its first lookup to the report on its outcome."""

from __future__ import annotations

from collections.abc import Callable

from cresstray.idempotency.execution_guard import Decision, GuardMode, RequestTiming
from cresstray.idempotency.records import IdempotencyRecord, RecordEvent
from cresstray.policy.types import Request

OnDecision = Callable[[Decision], None]


class GuardedRequest:
    """State of one request; the request is open until it is answered and has no attempt or lookup in flight.

    Attributes:
        request: The request.
        class_name: Name of its request class in the deployment settings.
        mode: What protects it against a second execution.
        timing: Its times by this gateway's clock.
        digest: Digest of its idempotency key.
        on_decision: Called once with the decision; None afterwards.
        lookup_deadline_us: End of the time budget of the current lookup.
        claim_attempts: Number of compare-and-set commands for a claim so far.
        claim: The claim that is in the store, or may be; None if there is none.
        dispatch_until_us: Attempts may be sent before this time only; 0 if none may be sent.
        stored_value: Encoded record as last read or written.
        record: The record in `stored_value`.
        is_claim_current: Whether the record in the store is its own claim.
        attempts_in_flight: Number of attempts sent and not finished.
        is_finished: Whether it was answered, or its client has left.
        has_completed: Whether an attempt has succeeded.
        may_have_run: Whether an attempt may have been executed.
        first_dispatch_ms: Earliest store time of the first attempt; 0 if there was none, or if it is unknown.
        outcome: Outcome to store in the record; see records.make_outcome.
        journal_id: Entry id of its claim in the journal; None without one.
        is_lookup_pending: Whether a round trip to the store is in flight for it.
        has_retried_lookup: Whether the lookup was repeated once because no reply came.
    """

    __slots__ = (
        "request",
        "class_name",
        "mode",
        "timing",
        "digest",
        "on_decision",
        "lookup_deadline_us",
        "claim_attempts",
        "claim",
        "dispatch_until_us",
        "stored_value",
        "record",
        "is_claim_current",
        "attempts_in_flight",
        "is_finished",
        "has_completed",
        "may_have_run",
        "first_dispatch_ms",
        "outcome",
        "journal_id",
        "is_lookup_pending",
        "has_retried_lookup",
    )

    def __init__(
        self,
        request: Request,
        class_name: str,
        mode: GuardMode,
        timing: RequestTiming,
        digest: bytes,
        on_decision: OnDecision,
    ) -> None:
        self.request = request
        self.class_name = class_name
        self.mode = mode
        self.timing = timing
        self.digest = digest
        self.on_decision: OnDecision | None = on_decision
        self.lookup_deadline_us = 0
        self.claim_attempts = 0
        self.claim: RecordEvent | None = None
        self.dispatch_until_us = 0
        self.stored_value = b""
        self.record: IdempotencyRecord | None = None
        self.is_claim_current = False
        self.attempts_in_flight = 0
        self.is_finished = False
        self.has_completed = False
        self.may_have_run = False
        self.first_dispatch_ms = 0
        self.outcome = b""
        self.journal_id: int | None = None
        self.is_lookup_pending = False
        self.has_retried_lookup = False
