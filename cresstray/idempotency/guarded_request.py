"""One request that needs an idempotency record, from its first lookup to the report on its outcome."""

from __future__ import annotations

from collections.abc import Callable

from cresstray.idempotency.execution_guard import Decision, GuardMode, RequestTiming
from cresstray.idempotency.records import IdempotencyRecord, RecordEvent
from cresstray.policy.types import Request

OnDecision = Callable[[Decision], None]


class GuardedRequest:
    """State of one request; it is open until it has its answer and nothing of it is in flight.

    Attributes:
        request: The request.
        class_name: Name of its class in the deployment's settings.
        mode: What protects it against a second execution.
        timing: Its times, by this gateway's clock.
        digest: Of its idempotency key.
        on_decision: Called once with the decision; None afterwards.
        lookup_deadline_us: End of the present lookup's time budget.
        claim_attempts: Claims written or tried so far.
        claim: A claim that is in the store, or may be.
        dispatch_until_us: No attempt is sent from then on; 0: none may be.
        stored_value: The record's bytes as last read or written.
        record: What these bytes say.
        is_claim_current: Its own claim is what the store holds.
        attempts_in_flight: Attempts sent and not finished.
        is_finished: Its client has the answer, or has left.
        has_completed: An attempt has succeeded.
        may_have_run: An attempt may have been executed.
        first_dispatch_ms: By the store's clock; 0 before the first attempt.
        outcome: What the record is to keep of the result.
        journal_id: Its claim in the journal.
        is_lookup_pending: A round trip to the store is in flight for it.
        has_retried_lookup: The lookup was repeated once because no reply came.
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
