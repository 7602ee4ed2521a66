"""The limiter on the store itself, and what is known of its clock. Pure.

The store helps; it must never be what a submission waits for. What may be spent on it comes out of a
submission's slack, and when it fails or is slow nothing is asked until a trial went well.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from cresstray.policy.sliding_window import SlidingWindow

_SPAN, _PARTS = 2_000_000, 10
# Of a submission's slack at most a quarter goes to the store, whatever it asks there.
_SHARE = 4
# Four usual round trips: two that are needed, and as much again for spread. What counts as slow is waited for
# in any case: a loop that was busy for some milliseconds is no fault of the store.
_TRIPS = 4
# Faults of late that open it, if they are half of the answers as well: fewer are stray, and more would cost
# the slack of that many submissions.
_FAULTS, _HALF = 5, 0.5
# Trials that must go well in a row: one may by luck. At the start one will do, as nothing speaks against it.
_TRIALS = 3
_PAUSE, _LONGEST_PAUSE = 250_000, 4_000_000
# Danger: requests pile up at a store that has just stopped, in memory, until its round trips tell.
_MOST_OUT = 1_000
# Milliseconds by which a clock that is kept right is set back; the guard's margin is fifteen of these for a
# memory of 20 s.
_BACK = 20
# A clock that is a day wrong is set right by people who look after what else hangs on it.
_FAR = 86_400_000


class StoreHealth:
    """`lines`: `ask_most_ms`, the longest that a submission may ask; `slow_ms`, what counts as a fault."""

    def __init__(self, lines: Mapping[str, Any], chance: Callable[[], float], now: int) -> None:
        self._most = int(lines.get("ask_most_ms", 250) * 1000)
        self._slow = int(lines.get("slow_ms", 50) * 1000)
        self._chance = chance
        self._sum, self._count, self._faults = (SlidingWindow(_SPAN, _PARTS) for _ in range(3))
        self._tickets: dict[int, int] = {}  # when each began
        self._number = 0
        # It begins open: nothing is known of it before it has answered.
        self.is_open, self._streak, self._failed, self._needed = True, 0, 0, 1
        self._trial: int | None = None  # the ticket of the one that is out
        self._trial_at, self._well_at = now, now

    def time_budget(self, slack: int, now: int) -> int:
        """Microseconds that may be spent asking, of `slack`; 0: go on without. Never all that is left."""
        if self.is_open or len(self._tickets) >= _MOST_OUT:
            return 0
        count = self._count.lower_bound(now)
        usual = self._sum.lower_bound(now) / count if count else 0.0
        budget = min(self._most, slack // _SHARE, max(self._slow, int(_TRIPS * usual)))
        return budget if budget > usual else 0

    def on_round_trip_started(self, now: int) -> int:
        self._number += 1
        self._tickets[self._number] = now
        return self._number

    def on_round_trip_finished(self, ticket: int, well: bool, now: int) -> None:
        """`well`: it answered, and what was asked for."""
        begun = self._tickets.pop(ticket, None)
        assert begun is not None, "a round trip ended that was not begun"
        if begun is None:
            return
        well = well and now - begun <= self._slow
        if ticket == self._trial:
            self._tried(well, now)
            return
        self._sum.add(now, now - begun)
        self._count.add(now)
        if well:
            self._well_at = now
            return
        self._faults.add(now)
        faults = self._faults.upper_bound(now)
        if not self.is_open and faults >= _FAULTS and faults >= _HALF * self._count.upper_bound(now):
            self.is_open, self._streak, self._failed, self._needed = True, 0, 0, _TRIALS
            self._rest(now)

    def start_probe(self, now: int) -> int | None:
        """A ticket for the one trial that is due, if one is: never a submission's own question."""
        if not self.is_open or self._trial is not None or now < self._trial_at:
            return None
        self._trial = self.on_round_trip_started(now)
        return self._trial

    def _tried(self, well: bool, now: int) -> None:
        self._trial = None
        self._streak, self._failed = (self._streak + 1, 0) if well else (0, self._failed + 1)
        if self._streak < self._needed:
            # The next after a good one comes soon, within a second all told.
            self._rest(now)
            return
        self.is_open, self._well_at = False, now
        # What it was like before it opened says nothing of what it is like now.
        self._sum, self._count, self._faults = (SlidingWindow(_SPAN, _PARTS) for _ in range(3))

    def _rest(self, now: int) -> None:
        # Danger: hundreds of gateways find it gone at once, and would all try it at once.
        pause = min(_LONGEST_PAUSE, _PAUSE << min(self._failed, 4))
        self._trial_at = now + int(pause * (0.5 + 0.5 * self._chance()))

    def unavailable_for(self, now: int) -> int:
        """Microseconds since it last answered well."""
        return max(0, now - self._well_at)


class StoreClock:
    """Bounds of the store's time, from its answers; and whether it went back.

    A clock here and one there may differ by anything, and in speed by a hundredth.
    """

    def __init__(self) -> None:
        self._at, self._sent, self._heard = 0, 0, 0  # its ms, between these two moments of ours
        self.age_unknown_before_ms = 0  # ms: what is from before that may be older than it looks
        self.regressions = 0

    def is_known(self, now: int) -> bool:
        """Well enough to draw fences by: a minute's drift is under a second."""
        return self._at > 0 and now - self._heard < 60_000_000

    def lower_bound(self, now: int) -> int:
        """It is at least that late there, in ms."""
        passed = now - self._heard
        return self._at + int(passed * (0.99 if passed > 0 else 1.01)) // 1000

    def upper_bound(self, now: int) -> int:
        passed = now - self._sent
        return self._at + int(passed * (1.01 if passed > 0 else 0.99)) // 1000 + 1

    def on_published_regression(self, value: bytes | None) -> None:
        """What another gateway has left in the store of the last time that it saw the clock go back."""
        if value is not None and value.isdigit() and len(value) <= 15:
            # Danger: a value that is wrong would leave all marks without an age, for good.
            before = int(value)
            if before < self._at + _FAR:
                self.age_unknown_before_ms = max(self.age_unknown_before_ms, before)

    def on_reading(self, at: int, sent: int, now: int) -> None:
        """It said `at`, asked at `sent` and heard now."""
        # Danger: a store that has failed over to another machine, or was set back, makes marks look young.
        # All that may be from before that moment is of unknown age.
        if self._at and at + _BACK < self.lower_bound(sent):
            self.regressions += 1
            self.age_unknown_before_ms = max(self.age_unknown_before_ms, self.upper_bound(now))
        elif at <= self._at:
            return  # answers that overtook each other say no more
        self._at, self._sent, self._heard = at, sent, now
