"""Decides about one request from its idempotency record, or without it while the store is unavailable.

Pure: no I/O, no clock.

Two mechanisms protect a deduplicated request against a second execution: the engines' deduplication window,
for some seconds, and the record, which prevents any attempt from being sent once that window may have ended.
While the window certainly holds, waiting for another gateway's claim only saves work. After the window, a
request that may have run is not sent again.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from cresstray.idempotency.records import (
    EventKind,
    IdempotencyRecord,
    RecordEvent,
    RecordState,
    stored_result,
)
from cresstray.policy.sliding_window import SlidingWindow
from cresstray.policy.types import RequestClass

if TYPE_CHECKING:
    from cresstray.config.idempotency import IdempotencySettings

# An engine receives an attempt some time after it was sent. A repeated request is sent no later than this
# before the end of the first attempt's window (plus the margin for clock drift below).
_TRANSFER_MARGIN_US = 100_000
# A hundredth of the window: the speeds of two clocks differ by less.
_CLOCK_DRIFT_DIVISOR = 100
# If less than this is left of a window, no attempt is sent.
_MIN_WINDOW_LEFT_US = 50_000
# A record dated further in the future was written by the store with another clock; its age is unknown.
_MAX_FUTURE_MS = 1_000
# A record claimed by another gateway is read again after half of the time waited so far, within these bounds.
_MIN_WAIT_US = 20_000
_MAX_WAIT_US = 200_000
# Longest claim if no window limits it: longer than any request lasts.
_MAX_CLAIM_US = 600_000_000
_UNGUARDED_WINDOW_US = 1_000_000
_UNGUARDED_WINDOW_BUCKETS = 10


class GuardMode(Enum):
    """What protects the requests of a class against a second execution."""

    NOT_NEEDED = "free"  # idempotent, or not listed by the operator
    SHARED_DEDUP_WINDOW = "shared"  # one window for all engines, then the record
    SCOPED_DEDUP_WINDOW = "apart"  # window by zone or cell, or none: the record alone
    AT_MOST_ONCE = "once"  # the record alone, if the client gives a key


def guard_mode_of(request_class: RequestClass, name: str, settings: IdempotencySettings) -> GuardMode:
    """Returns the mode for a request class with this name."""
    if request_class.is_idempotent or name not in settings.request_classes:
        return GuardMode.NOT_NEEDED
    if not request_class.is_deduplicated:
        return GuardMode.AT_MOST_ONCE
    min_window_us = 2 * (_TRANSFER_MARGIN_US + _MIN_WINDOW_LEFT_US)
    if request_class.dedup_scope == "all" and request_class.dedup_window_us > min_window_us:
        return GuardMode.SHARED_DEDUP_WINDOW
    return GuardMode.SCOPED_DEDUP_WINDOW


class ClaimHolder(NamedTuple):
    """A gateway process that holds claims: the gateway's name, and an identifier of this start."""

    owner: str
    incarnation: str


class RequestTiming(NamedTuple):
    """Times of one request in microseconds of this gateway's clock.

    Attributes:
        started_us: When the first lookup of the record began, or the deadline was moved forward later.
        latest_dispatch_us: Latest dispatch time for an answer within the latency objective.
        deadline_us: Time until which a claim must be valid.
        dedup_window_us: Length of the engines' deduplication window.
    """

    started_us: int
    latest_dispatch_us: int
    deadline_us: int
    dedup_window_us: int


class LookupResult(NamedTuple):
    """Result of a lookup.

    Attributes:
        record: The record in the store; None if there is none.
        store_now_ms: The store's time at the lookup.
        age_unknown_before_ms: Records dated before this may be older than their times say.
    """

    record: IdempotencyRecord | None
    store_now_ms: int
    age_unknown_before_ms: int = 0


class StoreUnavailable(NamedTuple):
    """Why the record is not known, and the time since the store's last good reply."""

    reason: str
    unavailable_us: int = 0


class Claim(NamedTuple):
    """The claim must be written; the store's reply decides."""

    event: RecordEvent


class Proceed(NamedTuple):
    """The request may be dispatched until `valid_until_ms` of the store's clock."""

    fence: int
    valid_until_ms: int


class Wait(NamedTuple):
    """The record must be read again at `retry_at_us` of this gateway's clock."""

    retry_at_us: int


class Reject(NamedTuple):
    """The request is rejected; the client may retry after `retry_after_us`."""

    retry_after_us: int


class Fail(NamedTuple):
    """The request has run or may have run, and engines would no longer discard a repetition."""

    reason: str


class ReplayResult(NamedTuple):
    """The stored result of the first execution answers the request."""

    result: bytes


class ProceedUnguarded(NamedTuple):
    """The request may be dispatched without a record, within the rate that the operator allows."""

    reason: str


Decision = Claim | Proceed | Wait | Reject | Fail | ReplayResult | ProceedUnguarded


def dedup_safety_margin_us(dedup_window_us: int) -> int:
    """Returns how long before its end a deduplication window counts as over."""
    return _TRANSFER_MARGIN_US + dedup_window_us // _CLOCK_DRIFT_DIVISOR


class ExecutionGuard:
    """Decides whether a request may be executed."""

    def __init__(
        self, settings: IdempotencySettings, max_retry_after_us: int, next_random: Callable[[], float]
    ) -> None:
        """Creates the guard.

        `max_retry_after_us` is the longest retry_after sent to clients; `next_random` returns numbers in
        [0, 1).
        """
        self._max_retry_after_us = max_retry_after_us
        self._next_random = next_random
        # Not allowed for classes that the operator does not list: avoiding a second execution matters more
        # than an answer.
        self._unguarded_rates = {name: float(rate) for name, rate in settings.unguarded_rates.items()}
        self._max_unguarded_us = settings.max_unguarded_us
        self._recent_unguarded = {
            name: SlidingWindow(_UNGUARDED_WINDOW_US, _UNGUARDED_WINDOW_BUCKETS)
            for name in sorted(self._unguarded_rates)
        }

    def make_claim(
        self,
        mode: GuardMode,
        record: IdempotencyRecord | None,
        holder: ClaimHolder,
        store_now_ms: int,
        timing: RequestTiming,
        now_us: int,
    ) -> Claim:
        """Returns a claim on an unclaimed record, or a takeover of another holder's claim within the window.

        `store_now_ms` must not be later than the store's time. It is the least value of the new fence, so
        that fences grow even if the store has lost the previous record.
        """
        is_takeover = record is not None and record.state is not RecordState.ABSENT
        earliest_dispatch_ms = store_now_ms
        if is_takeover and record is not None:
            earliest_dispatch_ms = min(record.earliest_dispatch_ms, store_now_ms)
        time_left_us = max(0, timing.deadline_us - now_us)
        valid_until_ms = store_now_ms + min(_MAX_CLAIM_US, time_left_us) // 1000
        if mode is GuardMode.SHARED_DEDUP_WINDOW:
            valid_until_ms = min(valid_until_ms, _window_end_ms(earliest_dispatch_ms, timing))
        fence = store_now_ms if record is None else max(record.fence + 1, store_now_ms)
        return Claim(RecordEvent(EventKind.CLAIM, *holder, fence, earliest_dispatch_ms, valid_until_ms))

    def decide(
        self, mode: GuardMode, lookup: LookupResult, holder: ClaimHolder, timing: RequestTiming, now_us: int
    ) -> Decision:
        """Returns what to do with a request whose record was read."""
        assert mode is not GuardMode.NOT_NEEDED, "looked up a request that needs no record"
        record = lookup.record
        if record is None or record.state is RecordState.ABSENT:
            return self.make_claim(mode, record, holder, lookup.store_now_ms, timing, now_us)
        window_end_ms = self._known_window_end_ms(mode, record, lookup, timing)
        if record.state in (RecordState.COMPLETED, RecordState.UNKNOWN):
            return self._decide_finished(record, lookup, window_end_ms)
        return self._decide_claimed(mode, record, lookup, holder, timing, window_end_ms, now_us)

    def _known_window_end_ms(
        self, mode: GuardMode, record: IdempotencyRecord, lookup: LookupResult, timing: RequestTiming
    ) -> int:
        """Returns until when all engines certainly remember the request; 0 if that is not known."""
        if mode is not GuardMode.SHARED_DEDUP_WINDOW:
            return 0
        is_from_the_future = record.earliest_dispatch_ms > lookup.store_now_ms + _MAX_FUTURE_MS
        if is_from_the_future or record.earliest_dispatch_ms < lookup.age_unknown_before_ms:
            return 0
        return _window_end_ms(record.earliest_dispatch_ms, timing)

    def _decide_finished(
        self, record: IdempotencyRecord, lookup: LookupResult, window_end_ms: int
    ) -> Decision:
        is_completed = record.state is RecordState.COMPLETED
        if is_completed:
            result = stored_result(record.outcome)
            if result is not None:
                return ReplayResult(result)
        if _has_window_left(lookup.store_now_ms, window_end_ms):
            # The engines answer a repetition with the first result, or execute the request if it never ran.
            return Proceed(record.fence, window_end_ms)
        return Fail("the request has run" if is_completed else "the request may have run")

    def _decide_claimed(
        self,
        mode: GuardMode,
        record: IdempotencyRecord,
        lookup: LookupResult,
        holder: ClaimHolder,
        timing: RequestTiming,
        window_end_ms: int,
        now_us: int,
    ) -> Decision:
        is_claim_valid = lookup.store_now_ms < record.valid_until_ms
        if is_claim_valid:
            retry_at_us = self._retry_at_us(timing, now_us)
            # The second half of the time is reserved for an attempt of this gateway, in case the holder died.
            if retry_at_us < half_time_us(timing):
                return Wait(retry_at_us)
        if _has_window_left(lookup.store_now_ms, window_end_ms):
            return self.make_claim(mode, record, holder, lookup.store_now_ms, timing, now_us)
        if is_claim_valid:
            return Reject(self.draw_retry_after_us((record.valid_until_ms - lookup.store_now_ms) * 1000))
        return Fail("the claim has expired, and its holder may have sent the request")

    def _retry_at_us(self, timing: RequestTiming, now_us: int) -> int:
        wait_us = min(_MAX_WAIT_US, max(_MIN_WAIT_US, (now_us - timing.started_us) // 2))
        return now_us + int(wait_us * (0.5 + 0.5 * self._next_random()))

    def decide_without_store(self, unavailable: StoreUnavailable, class_name: str, now_us: int) -> Decision:
        """Returns the decision while the record is not known.

        The request may have run through another gateway, outside the engines' window.
        """
        unguarded_count = self._recent_unguarded.get(class_name)
        if unguarded_count is None or unavailable.unavailable_us > self._max_unguarded_us:
            return Reject(self.draw_retry_after_us(0))
        if unguarded_count.upper_bound(now_us) + 1 > self._unguarded_rates[class_name]:
            return Reject(self.draw_retry_after_us(0))
        unguarded_count.add(now_us)
        return ProceedUnguarded(unavailable.reason)

    def draw_retry_after_us(self, min_us: int) -> int:
        """Returns a random retry_after, so that clients rejected together do not retry together."""
        min_retry_after_us = max(
            self._max_retry_after_us // 2, min(min_us, 3 * self._max_retry_after_us // 4)
        )
        return min_retry_after_us + int((self._max_retry_after_us - min_retry_after_us) * self._next_random())


def half_time_us(timing: RequestTiming) -> int:
    """Returns the middle of the time between the first lookup and the latest dispatch time."""
    return timing.started_us + (timing.latest_dispatch_us - timing.started_us) // 2


def _has_window_left(store_now_ms: int, window_end_ms: int) -> bool:
    return window_end_ms - store_now_ms > _MIN_WINDOW_LEFT_US // 1000


def _window_end_ms(earliest_dispatch_ms: int, timing: RequestTiming) -> int:
    """Returns until when engines certainly remember a request sent at `earliest_dispatch_ms` or later."""
    margin_us = dedup_safety_margin_us(timing.dedup_window_us)
    return earliest_dispatch_ms + max(0, timing.dedup_window_us - margin_us) // 1000
