"""How a link is: up, slow, suspect, cut or healing, from beats and their echoes. Knows no clock of its own.

cut --connected--> healing --calm for a while--> up <--round trip--> slow
 ^                    |                          |                    |
 |                    +-------- beats late, or our own not heard -----+--> suspect
 +---------------------- connection ended, or silence for a lease --------------+
"""

from __future__ import annotations

from collections import deque
from enum import Enum

from cresstray.policy.sliding_window import SlidingWindow


class State(Enum):
    UP = "up"
    SLOW = "slow"
    SUSPECT = "suspect"
    CUT = "cut"
    HEALING = "healing"


# Without anything under way, or asked for of late, beats come so many times slower: a wake-up costs a gateway
# with little to do as much as a submission does.
IDLE = 10
# Beats of ours whose time of sending is kept: with five a second, more than any lease.
_KEPT = 128
# The round trip is the mean of the last second; a link that gets slower is seen sooner, by beats not yet
# heard.
_SPAN, _PARTS = 1_000_000, 5


class Health:
    """`beat`, `slow`, `lease`, `heal` in microseconds: between beats, the round trip that counts as slow, the
    silence after which a link is given up, and the calm after which a healed one is trusted again."""

    def __init__(self, beat: int, slow: int, lease: int, heal: int) -> None:
        self._busy_beat = self.beat = beat
        self.idle_beat, self._paced_at = IDLE * beat, 0
        self._slow, self.lease, self._heal = slow, lease, heal
        self.state = State.CUT
        self._sum, self._count = SlidingWindow(_SPAN, _PARTS), SlidingWindow(_SPAN, _PARTS)
        self._latest = 0  # round trip
        self._told, self._told_at = 0, -1  # what was last said of it, and in which millisecond
        self._number = 0  # of our last beat
        self._sent: deque[tuple[int, int]] = deque(maxlen=_KEPT)  # our beats not yet heard
        self._echoed, self._zero_at = 0, 0  # of ours, the last they heard; beat 0 is the connection itself
        self.echoed_at = 0  # when that left: what they have of us is at least as new
        self.heard, self.heard_at = 0, 0  # their last beat
        self._word_at = 0  # when they last wrote anything
        self.calm_since = 0
        self.crossing_since = 0  # when it began to heal

    def connected(self, now: int) -> None:
        self.state = State.HEALING
        self._sent.clear()
        # Danger: the lease of what was open before is not renewed by a welcome that may never arrive; the
        # first word that names beat 0 or a later one does it.
        self.heard, self.heard_at, self._number, self._echoed, self._zero_at = 0, now, 0, 0, now
        self._word_at = self.calm_since = self.crossing_since = now
        self._sum, self._count, self._latest = SlidingWindow(_SPAN, _PARTS), SlidingWindow(_SPAN, _PARTS), 0
        self._told_at = -1

    def pace(self, busy: bool, now: int) -> None:
        """How often beats come from now on; a link that is needed is looked after more closely."""
        beat = self._busy_beat if busy else self.idle_beat
        if beat != self.beat:
            self.beat, self._paced_at = beat, now

    def dawdle(self, now: int) -> int:
        """How long a word may wait for others to go with: a tenth of the round trip, 5 ms at most.

        At 1,000 crossings a second over 50 ms, five go in one piece, and both sides wake up that much less.
        """
        wait = min(5_000, self.round_trip(now) // 10)
        return wait if wait >= 1_000 else 0

    def stale(self, now: int) -> bool:
        """Whether what the last beat told is too old to act on."""
        return now - self.heard_at > 4 * self._busy_beat + self._latest

    def lost(self) -> None:
        self.state = State.CUT

    def next_beat(self, now: int) -> tuple[int, int, int]:
        """The number of our next beat, the last one heard, and for how long that has been held."""
        self._number += 1
        self._sent.append((self._number, now))
        return self._number, self.heard, max(0, now - self.heard_at)

    def word(self, now: int) -> None:
        self._word_at = now

    def hear(self, number: int, echo: int, held: int, now: int) -> None:
        """A beat of theirs has come, which echoes one of ours."""
        self.heard, self.heard_at, self._word_at = number, now, now
        at = self.sent_at(echo)
        if at is None:
            return
        if echo > self._echoed:
            # Danger: a held time that lies must not make the link look faster than it can be.
            self._latest = now - at - min(held, now - at)
            self._sum.add(now, self._latest)
            self._count.add(now)
            self._told_at = -1
        self.confirm(echo)

    def confirm(self, echo: int) -> None:
        """A word of theirs names the last beat of ours that they had heard by then."""
        at = self.sent_at(echo)
        if at is not None and echo >= self._echoed:
            self._echoed, self.echoed_at = echo, at
            while self._sent and self._sent[0][0] <= echo:
                self._sent.popleft()

    def round_trip(self, now: int) -> int:
        """The present one: the most of the mean of late, the last, and the age of a beat not answered."""
        # Asked some times for each submission; a millisecond more or less is no matter.
        if now // 1000 != self._told_at:
            self._told_at, self._told = now // 1000, self._round_trip(now)
        return self._told

    def usual_trip(self) -> int:
        """The last one that was measured, whatever has become of the link since."""
        return self._latest

    def _round_trip(self, now: int) -> int:
        count = self._count.lower_bound(now)
        mean = int(self._sum.lower_bound(now) / count) if count else self._latest
        return max(mean, self._latest, self._unheard(now) - self.beat)

    def _unheard(self, now: int) -> int:
        """For how long the other side has not been known to hear us."""
        return now - self._sent[0][1] if self._sent else 0

    def sent_at(self, number: int) -> int | None:
        """When that beat of ours left; None where it never did, or is too old to be known."""
        if number == 0:
            return self._zero_at
        if number == self._echoed:
            return self.echoed_at
        return next((at for sent, at in self._sent if sent == number), None)

    def look(self, now: int) -> State:
        """The state by now. A link whose words are late, or which does not hear us, is suspect at once."""
        if self.state is State.CUT:
            return self.state
        trip = self.round_trip(now)
        # Beats that were to come more seldom until just now are not late yet.
        quiet = min(max(now - self.heard_at, self._unheard(now) - trip), now - self._paced_at)
        # Three beats and the usual round trip: one beat lost or late says nothing.
        if quiet > 3 * self.beat + min(trip, self._slow):
            self.state, self.calm_since = State.SUSPECT, now
        elif self.state is State.SUSPECT and trip <= self._slow:
            self.state, self.calm_since, self.crossing_since = State.HEALING, now, now
        elif trip > self._slow:
            self.state, self.calm_since = State.SLOW, now
        elif self.state is not State.UP:
            # Danger: a route that flaps with each beat. A second of calm, or all of `heal` after a cut.
            calm = self._heal if self.state is State.HEALING else 1_000_000
            if now - self.calm_since >= calm:
                self.state = State.UP
        return self.state

    def dead(self, now: int) -> bool:
        """Silent, or deaf to us, for a lease: the connection is of no more use."""
        most = self.lease + (2 * self.beat if self.beat == self.idle_beat else 0)
        return (
            self.state is not State.CUT
            and now - self._paced_at > most
            and (now - self._word_at > most or self._unheard(now) > 2 * most)
        )

    def fenced(self, now: int) -> bool:
        """Whether what the other side had here is to be given up: it may think so by now."""
        return now > self.echoed_at + self.lease

    def lease_end(self) -> int:
        """When the far side has surely given up what it had from us, if nothing more reached it.

        Its lease runs from when it sent the last beat that it knows we heard, which was before we heard it.
        One part in twenty is for clocks that run at different speeds, a tenth of a second for a far loop that
        looks after its leases late.
        """
        return self.heard_at + self.lease + self.lease // 20 + 100_000
