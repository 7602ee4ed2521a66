"""Broken variants of the code around idempotency records, which the model must catch."""

from __future__ import annotations

from cresstray.idempotency import codec, records
from cresstray.idempotency import execution_guard as guard
from cresstray.idempotency.execution_guard import ExecutionGuard
from cresstray.idempotency.open_requests import OpenRequests
from cresstray.idempotency.record_lookup import RecordLookup
from cresstray.model_checking.patching import Mutant, lines

MUTANTS = (
    Mutant(
        "marked_after_the_relay",
        "deduplicated",
        "marks",
        lines(
            (
                RecordLookup.start,
                "health = self._session.health",
                "guarded.dispatch_until_us = guarded.timing.deadline_us; "
                "self._open_requests.deliver(guarded, Proceed(0, 0), now_us); return",
            )
        ),
    ),
    Mutant(
        "fence_ignored",
        "deduplicated",
        "marks",
        lines(
            (
                records._is_holder,
                "(record.fence, record.owner, record.incarnation) "
                "== (event.fence, event.owner, event.incarnation)",
                "True",
            )
        ),
    ),
    Mutant(
        "lease_by_timer_alone",
        "deduplicated",
        "marks",
        lines((OpenRequests.may_dispatch, "and now_us < guarded.dispatch_until_us", "")),
    ),
    Mutant(
        "unknown_is_unrun",
        "deduplicated",
        "marks",
        lines(
            (
                OpenRequests.settle,
                "EventKind.UNKNOWN if guarded.may_have_run else EventKind.NOT_EXECUTED",
                "EventKind.NOT_EXECUTED",
            )
        ),
    ),
    Mutant(
        "set_for_compare_and_set",
        "deduplicated",
        "marks",
        lines(
            (
                codec.compare_and_set,
                '(b"EVALSHA", COMPARE_AND_SET_SHA, *script_arguments)',
                '(b"SET", COMPARE_AND_SET_SHA, *script_arguments)',
            )
        ),
    ),
    Mutant(
        "takeover_forgets_the_first",
        "deduplicated",
        "marks",
        lines(
            (ExecutionGuard.make_claim, "min(record.earliest_dispatch_ms, store_now_ms)", "store_now_ms"),
            (
                records._on_claim,
                "min(record.earliest_dispatch_ms, event.earliest_dispatch_ms)",
                "event.earliest_dispatch_ms",
            ),
        ),
    ),
    Mutant(
        "doubt_is_cleared",
        "deduplicated",
        "marks",
        lines(
            (
                records._on_not_executed,
                "RecordState.UNKNOWN if record.has_uncertain_predecessor else RecordState.ABSENT",
                "RecordState.ABSENT",
            )
        ),
    ),
    Mutant(
        "asked_until_the_hard_stop",
        "by_hard_stop",
        "marks",
        lines(
            (
                RecordLookup.start,
                "now_us + health.time_budget_us(slack_us, now_us)",
                "guarded.timing.deadline_us",
            )
        ),
    ),
    Mutant(
        "memory_without_its_margin",
        "deduplicated",
        "marks",
        lines(
            (
                guard.dedup_safety_margin_us,
                "_TRANSFER_MARGIN_US + dedup_window_us // _CLOCK_DRIFT_DIVISOR",
                "-2 * dedup_window_us",
            )
        ),
    ),
)
