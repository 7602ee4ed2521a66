"""What to do with one submission by what the store said of its mark, or while the store is silent. Pure.

Two things guard a deduplicated submission against a second run: the engines' memory, for some seconds, and
the mark, which keeps any relay from going out once that memory may be over. So while the memory surely holds,
another gateway's intention is waited for out of thrift only; from then on nobody sends what may have run.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, NamedTuple

from cresstray.idempotency.records import (
    EventKind,
    IdempotencyRecord,
    RecordEvent,
    RecordState,
    stored_result,
)
from cresstray.policy.sliding_window import SlidingWindow
from cresstray.policy.types import RequestClass

# Danger: an engine gets a relay later than it was sent, and clocks run at different speeds. A repeat is sent
# no later than this before the memory of the first is over: a hundredth of it is more than any two clocks
# differ by.
_TRAVEL, _DRIFT = 100_000, 100
# What is left of a memory must do for more than the way to an engine, or it is not worth a relay.
_WORTH = 50_000
# Danger: a mark from the future was written by another clock than this one; its age is not known.
_FUTURE = 1_000
# Another's intention is looked at again after half of what was waited so far, in these bounds.
_SOONEST, _LATEST = 20_000, 200_000
# An intention that no memory bounds: longer than any submission lives, so that its time can be told at all.
_LONGEST = 600_000_000


class GuardMode(Enum):
    """What guards a tariff's submissions against a second run."""

    NOT_NEEDED = "free"  # idempotent, or not named by the operator: needs no mark
    SHARED_DEDUP_WINDOW = "shared"  # deduplicated, all engines share one memory: that, then the mark
    SCOPED_DEDUP_WINDOW = (
        "apart"  # deduplicated, by zone or cell or without a memory: across gateways the mark alone
    )
    AT_MOST_ONCE = "once"  # unrepeatable: the mark alone, where the client gives a name


def guard_mode_of(request_class: RequestClass, name: str, lines: Mapping[str, Any]) -> GuardMode:
    """`lines["tariffs"]`: the names of the tariffs that the operator has marked."""
    if request_class.is_idempotent or name not in lines.get("tariffs", ()):
        return GuardMode.NOT_NEEDED
    if not request_class.is_deduplicated:
        return GuardMode.AT_MOST_ONCE
    shared = request_class.dedup_scope == "all" and request_class.dedup_window_us > 2 * (_TRAVEL + _WORTH)
    return GuardMode.SHARED_DEDUP_WINDOW if shared else GuardMode.SCOPED_DEDUP_WINDOW


class ClaimHolder(NamedTuple):
    owner: str
    incarnation: str


class RequestTiming(NamedTuple):
    """Of one submission, microseconds of this gateway's clock; `memory`: how long engines remember it.

    `hard_stop`: so long an intention must hold.
    """

    started_us: int
    latest_dispatch_us: int  # until then it can be sent and answered within its soft limit
    deadline_us: int
    dedup_window_us: int


class LookupResult(NamedTuple):
    """`at`: ms of the store's clock; `doubtful_before`: marks from before it then are of unknown age."""

    record: IdempotencyRecord | None
    store_now_ms: int
    age_unknown_before_ms: int = 0


class StoreUnavailable(NamedTuple):
    """`since`: for how long the store has not answered well, microseconds."""

    reason: str
    unavailable_us: int = 0


class Claim(NamedTuple):
    """The intention is to be written first; then what the store says decides."""

    event: RecordEvent


class Proceed(NamedTuple):
    """`until`: ms of the store's clock at which no relay may go out any more."""

    fence: int
    valid_until_ms: int


class Wait(NamedTuple):
    retry_at_us: int


class Reject(NamedTuple):
    retry_after_us: int  # microseconds


class Fail(NamedTuple):
    """It has run, or may have: a repeat would not be discarded any more."""

    reason: str


class ReplayResult(NamedTuple):
    result: bytes


class ProceedUnguarded(NamedTuple):
    reason: str


Decision = Claim | Proceed | Wait | Reject | Fail | ReplayResult | ProceedUnguarded


def dedup_safety_margin_us(memory: int) -> int:
    return _TRAVEL + memory // _DRIFT


class ExecutionGuard:
    """`lines`: the operator's; `honoured`: microseconds that clients wait at most before they come back."""

    def __init__(self, lines: Mapping[str, Any], honoured: int, chance: Callable[[], float]) -> None:
        self._honoured, self._chance = honoured, chance
        # Off where the operator does not name a tariff: its promise is worth more than its payoff.
        self._most = {name: float(most) for name, most in lines.get("unguarded", {}).items()}
        self._longest = int(lines.get("unguarded_s", 0) * 1_000_000)
        self._passed = {name: SlidingWindow(1_000_000, 10) for name in sorted(self._most)}

    def make_claim(
        self,
        kind: GuardMode,
        mark: IdempotencyRecord | None,
        holder: ClaimHolder,
        at: int,
        times: RequestTiming,
        now: int,
    ) -> Claim:
        """The intention for one that no other has, or, within the engines' memory, beside another's.

        `at`: no later than the store's time by now. Fences grow with that where nothing is left of the last.
        """
        taken_over = mark is not None and mark.state is not RecordState.ABSENT
        since = min(mark.earliest_dispatch_ms, at) if taken_over else at
        until = at + min(_LONGEST, max(0, times.deadline_us - now)) // 1000
        if kind is GuardMode.SHARED_DEDUP_WINDOW:
            until = min(until, self._guarded_until(since, times))
        fence = at if mark is None else max(mark.fence + 1, at)
        return Claim(RecordEvent(EventKind.CLAIM, *holder, fence, since, until))

    def decide(
        self, kind: GuardMode, found: LookupResult, holder: ClaimHolder, times: RequestTiming, now: int
    ) -> Decision:
        assert kind is not GuardMode.NOT_NEEDED, "asked for a tariff that needs no mark"
        mark, at = found.record, found.store_now_ms
        if mark is None or mark.state is RecordState.ABSENT:
            return self.make_claim(kind, mark, holder, at, times, now)
        if mark.state is RecordState.COMPLETED:
            result = stored_result(mark.outcome)
            if result is not None:
                return ReplayResult(result)
        until = (
            self._guarded_until(mark.earliest_dispatch_ms, times)
            if kind is GuardMode.SHARED_DEDUP_WINDOW
            else 0
        )
        if (
            mark.earliest_dispatch_ms > at + _FUTURE
            or mark.earliest_dispatch_ms < found.age_unknown_before_ms
        ):
            until = 0
        guards = until - at > _WORTH // 1000
        if mark.state in (RecordState.COMPLETED, RecordState.UNKNOWN):
            # While the engines remember, they answer a repeat with what the first came to, or run what never
            # ran.
            if guards:
                return Proceed(mark.fence, until)
            return Fail("it has run" if mark.state is RecordState.COMPLETED else "it may have run")
        if at < mark.valid_until_ms:
            pause = min(_LATEST, max(_SOONEST, (now - times.started_us) // 2))
            again_at = now + int(pause * (0.5 + 0.5 * self._chance()))
            # Half of the time there is: the other half is for a relay of our own, should its holder be gone.
            if again_at < times.started_us + (times.latest_dispatch_us - times.started_us) // 2:
                return Wait(again_at)
        if guards:
            return self.make_claim(kind, mark, holder, at, times, now)
        if at < mark.valid_until_ms:
            return Reject(self.make_retry_after((mark.valid_until_ms - at) * 1000))
        return Fail("its gateway is gone, and may have sent it")

    def decide_without_store(self, silence: StoreUnavailable, name: str, now: int) -> Decision:
        """Nothing is known of it. Danger: it may have run elsewhere, longer ago than the engines remember."""
        ring = self._passed.get(name)
        if (
            ring is not None
            and silence.unavailable_us <= self._longest
            and ring.upper_bound(now) + 1 <= self._most[name]
        ):
            ring.add(now)
            return ProceedUnguarded(silence.reason)
        return Reject(self.make_retry_after(0))

    def make_retry_after(self, at_least: int) -> int:
        """Spread, so that those denied together do not return together; within what clients honour."""
        least = max(self._honoured // 2, min(at_least, 3 * self._honoured // 4))
        return least + int((self._honoured - least) * self._chance())

    def _guarded_until(self, since: int, times: RequestTiming) -> int:
        """Until when the engines surely remember what was sent no sooner than `since`; ms of the store."""
        return since + max(0, times.dedup_window_us - dedup_safety_margin_us(times.dedup_window_us)) // 1000
