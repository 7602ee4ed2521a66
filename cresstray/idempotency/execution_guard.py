"""What to do with one submission by what the store said of its mark, or while the store is silent. Pure.

Two things guard a deduplicated submission against a second run: the engines' memory, for some seconds, and
the mark, which keeps any relay from going out once that memory may be over. So while the memory surely holds,
another gateway's intention is waited for out of thrift only; from then on nobody sends what may have run.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, NamedTuple

from cresstray.idempotency.records import Event, Kind, Mark, State, kept_result
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


class Guarded(Enum):
    """What guards a tariff's submissions against a second run."""

    FREE = "free"  # idempotent, or not named by the operator: needs no mark
    SHARED = "shared"  # deduplicated, all engines share one memory: that, then the mark
    APART = "apart"  # deduplicated, by zone or cell or without a memory: across gateways the mark alone
    ONCE = "once"  # unrepeatable: the mark alone, where the client gives a name


def guarded(request_class: RequestClass, name: str, lines: Mapping[str, Any]) -> Guarded:
    """`lines["tariffs"]`: the names of the tariffs that the operator has marked."""
    if request_class.is_idempotent or name not in lines.get("tariffs", ()):
        return Guarded.FREE
    if not request_class.is_deduplicated:
        return Guarded.ONCE
    shared = request_class.dedup_scope == "all" and request_class.dedup_window_us > 2 * (_TRAVEL + _WORTH)
    return Guarded.SHARED if shared else Guarded.APART


class Holder(NamedTuple):
    owner: str
    life: str


class Times(NamedTuple):
    """Of one submission, microseconds of this gateway's clock; `memory`: how long engines remember it.

    `hard_stop`: so long an intention must hold.
    """

    asked: int
    leave_by: int  # until then it can be sent and answered within its soft limit
    hard_stop: int
    memory: int


class Found(NamedTuple):
    """`at`: ms of the store's clock; `doubtful_before`: marks from before it then are of unknown age."""

    mark: Mark | None
    at: int
    doubtful_before: int = 0


class Silence(NamedTuple):
    """`since`: for how long the store has not answered well, microseconds."""

    why: str
    since: int = 0


class Claim(NamedTuple):
    """The intention is to be written first; then what the store says decides."""

    event: Event


class Go(NamedTuple):
    """`until`: ms of the store's clock at which no relay may go out any more."""

    fence: int
    until: int


class Wait(NamedTuple):
    again_at: int


class Deny(NamedTuple):
    come_back: int  # microseconds


class Abandon(NamedTuple):
    """It has run, or may have: a repeat would not be discarded any more."""

    why: str


class Answer(NamedTuple):
    result: bytes


class Unguarded(NamedTuple):
    why: str


Decision = Claim | Go | Wait | Deny | Abandon | Answer | Unguarded


def margin(memory: int) -> int:
    return _TRAVEL + memory // _DRIFT


class Guard:
    """`lines`: the operator's; `honoured`: microseconds that clients wait at most before they come back."""

    def __init__(self, lines: Mapping[str, Any], honoured: int, chance: Callable[[], float]) -> None:
        self._honoured, self._chance = honoured, chance
        # Off where the operator does not name a tariff: its promise is worth more than its payoff.
        self._most = {name: float(most) for name, most in lines.get("unguarded", {}).items()}
        self._longest = int(lines.get("unguarded_s", 0) * 1_000_000)
        self._passed = {name: SlidingWindow(1_000_000, 10) for name in sorted(self._most)}

    def claim(
        self, kind: Guarded, mark: Mark | None, holder: Holder, at: int, times: Times, now: int
    ) -> Claim:
        """The intention for one that no other has, or, within the engines' memory, beside another's.

        `at`: no later than the store's time by now. Fences grow with that where nothing is left of the last.
        """
        taken_over = mark is not None and mark.state is not State.UNSEEN
        since = min(mark.since, at) if taken_over else at
        until = at + min(_LONGEST, max(0, times.hard_stop - now)) // 1000
        if kind is Guarded.SHARED:
            until = min(until, self._guarded_until(since, times))
        fence = at if mark is None else max(mark.fence + 1, at)
        return Claim(Event(Kind.INTEND, *holder, fence, since, until))

    def decide(self, kind: Guarded, found: Found, holder: Holder, times: Times, now: int) -> Decision:
        assert kind is not Guarded.FREE, "asked for a tariff that needs no mark"
        mark, at = found.mark, found.at
        if mark is None or mark.state is State.UNSEEN:
            return self.claim(kind, mark, holder, at, times, now)
        if mark.state is State.ENDED:
            result = kept_result(mark.outcome)
            if result is not None:
                return Answer(result)
        until = self._guarded_until(mark.since, times) if kind is Guarded.SHARED else 0
        if mark.since > at + _FUTURE or mark.since < found.doubtful_before:
            until = 0
        guards = until - at > _WORTH // 1000
        if mark.state in (State.ENDED, State.UNKNOWN):
            # While the engines remember, they answer a repeat with what the first came to, or run what never
            # ran.
            if guards:
                return Go(mark.fence, until)
            return Abandon("it has run" if mark.state is State.ENDED else "it may have run")
        if at < mark.until:
            pause = min(_LATEST, max(_SOONEST, (now - times.asked) // 2))
            again_at = now + int(pause * (0.5 + 0.5 * self._chance()))
            # Half of the time there is: the other half is for a relay of our own, should its holder be gone.
            if again_at < times.asked + (times.leave_by - times.asked) // 2:
                return Wait(again_at)
        if guards:
            return self.claim(kind, mark, holder, at, times, now)
        if at < mark.until:
            return Deny(self.come_back((mark.until - at) * 1000))
        return Abandon("its gateway is gone, and may have sent it")

    def silent(self, silence: Silence, name: str, now: int) -> Decision:
        """Nothing is known of it. Danger: it may have run elsewhere, longer ago than the engines remember."""
        ring = self._passed.get(name)
        if (
            ring is not None
            and silence.since <= self._longest
            and ring.upper_bound(now) + 1 <= self._most[name]
        ):
            ring.add(now)
            return Unguarded(silence.why)
        return Deny(self.come_back(0))

    def come_back(self, at_least: int) -> int:
        """Spread, so that those denied together do not return together; within what clients honour."""
        least = max(self._honoured // 2, min(at_least, 3 * self._honoured // 4))
        return least + int((self._honoured - least) * self._chance())

    def _guarded_until(self, since: int, times: Times) -> int:
        """Until when the engines surely remember what was sent no sooner than `since`; ms of the store."""
        return since + max(0, times.memory - margin(times.memory)) // 1000
