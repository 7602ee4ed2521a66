"""Whether a submission crosses to another hall. The near module asks; what is known of the far one is here.

The module knows each far gateway as one more engine, never drawn, whose `far` is a Way. A Way answers one
question, `takes`, from the link's health and credit, the far hall's room as it last told, and the times that
both halls would need. It decides nothing about engines: behind the link, the far gateway's module does.
"""

from __future__ import annotations

from collections.abc import Callable

from cresstray.policy.types import NOT_EXECUTED, Request
from cresstray.sites.flow_control import Credit, Ramp, Share
from cresstray.sites.health import Health, State

# What a far answer needs beyond its work and the round trip: two loops that may be late.
_MARGIN = 50_000
# Threads a core of the chosen near engine, at its pace: from the first on, the far hall is asked whether it
# is clearly better; below the second no more. Work slows down from one thread a core on.
_BUSY, _CALM = 1.1, 0.9
# Clearly better: sooner by a quarter of the expected time and by more than the links' noise.
_BETTER, _NOISE = 4, 20_000
# A further relay that crosses is sent by the far gateway within this, or not at all: the budget of the
# gateway that accepted it is reckoned with room for so much delay.
AHEAD = 300_000
# A first relay may wait there for a permit, a twentieth of the time it has left, at most so long.
_MOST_HOLD = 300_000


class Way:
    """The way to one far gateway, as the module of this one sees it."""

    def __init__(self, name: str, health: Health, credit: Credit, share: Share) -> None:
        self.name, self.health, self.credit, self.share = name, health, credit, share
        self.ramp = Ramp()
        self.threads = self.cores = 0.0  # ours to use there, and our part of all, as last told
        self.pace = 1.0
        self.closed_until = 0  # refused, with a time to come back
        self.leaving = False  # it has said goodbye
        self.asked_at = 0  # when anything last wanted to cross
        self.ask: Callable[[], None] = lambda: None  # has a beat sent now, if the last one is not of late
        self._busy = False
        self.used, self.open = 0.0, 0  # threads and number of what is under way

    def tell(self, threads: float, cores: float, pace: float, closed: int, now: int) -> None:
        """What a beat told of the far hall."""
        self.threads, self.cores, self.pace = threads, cores, max(0.25, pace)
        if closed:
            self.close(closed, now)

    def close(self, come_back: int, now: int) -> None:
        self.closed_until = max(self.closed_until, now + come_back)

    def room(self) -> float:
        """Threads that may still be offered; as soon as a crossing ends, its threads are free again."""
        return self.threads - self.used

    def usable(self, now: int) -> bool:
        state = self.health.look(now)
        return (
            state in (State.UP, State.SLOW, State.HEALING)
            and not self.leaving
            and now >= self.closed_until
            and (state is State.UP or self.ramp.room(self.health.crossing_since, now))
        )

    def accepts(self, request: Request, near_load: float | None, now: int) -> bool:
        """`near_load`: threads a core, at its pace, of the engine that could take it here; None: none can."""
        # Asked for every submission: most go no further than this.
        if near_load is not None and not self._is_busy(near_load):
            return False
        expected, trip = request.expected_latency_us, self.health.round_trip(now)
        far = int(trip + expected * self.pace) + _MARGIN
        if near_load is not None and not self._is_better(request, near_load, far - _MARGIN, now):
            return False
        self.asked_at = now
        if self.health.stale(now):
            # The link has been idle; the answer to this beat brings the present room, and tries again.
            self.ask()
            return False
        if (
            not self.usable(now)
            or not self._fits(request.request_class.threads)
            or not self.credit.has(request.size_bytes)
            or not self.share.room(now)
        ):
            return False
        # Danger: work that the far hall ends after the soft limit is wasted there, and was worth more here.
        return now + far <= request.objective_deadline_us and self.within(request, now) > trip // 2

    def _is_better(self, request: Request, near_load: float, far: int, now: int) -> bool:
        """Whether the far hall would be clearly sooner, or the near one late."""
        near = int(request.expected_latency_us * max(1.0, near_load))
        return (
            now + near > request.objective_deadline_us
            or near - far > request.expected_latency_us // _BETTER + _NOISE
        )

    def _fits(self, threads: int) -> bool:
        # Danger: parts of a thread for each of many gateways would leave room for nobody. What is at least
        # half of what is needed counts as whole where nothing else is under way.
        return threads <= self.room() or self.used == 0 and threads <= 2 * self.room()

    def _is_busy(self, load: float) -> bool:
        # Danger: a route that opens and closes with each submission. It closes well below where it opened.
        self._busy = load >= (_CALM if self._busy else _BUSY)
        return self._busy

    def offered(self, request: Request, now: int) -> float:
        """Books it; returns the threads it counts for: of its time under way, it runs for a part only."""
        self.credit.take(request.size_bytes)
        self.share.crossed(now)
        self.ramp.crossed(now)
        runs = request.expected_latency_us * self.pace
        weight = request.request_class.threads * runs / (runs + self.health.round_trip(now))
        self.used += weight
        self.open += 1
        return weight

    def over(self, request: Request, weight: float) -> None:
        self.credit.give(request.size_bytes)
        self.open -= 1
        self.used = max(0.0, self.used - weight) if self.open else 0.0

    def hold(self, request: Request, now: int) -> int:
        """How long the far gateway may hold it; a further relay goes at once or not at all."""
        if len(request.attempts) > 1:
            return 0
        return max(0, min(_MOST_HOLD, (request.deadline_us - now) // 20))

    def within(self, request: Request, now: int) -> int:
        """How long from now its relay may still be sent; its whole time where nothing bounds that."""
        longest = request.deadline_us - now
        earlier = [attempt for attempt in request.attempts if attempt.outcome is not None]
        if earlier:
            longest = min(longest, AHEAD)
        if request.request_class.is_deduplicated:
            # Danger: past their memory, engines would run a repeat. It is reckoned from the earlier send.
            for attempt in earlier:
                if attempt.outcome not in NOT_EXECUTED:
                    longest = min(
                        longest, attempt.sent_us + request.request_class.dedup_window_us - 100_000 - now
                    )
        return longest

    def hopeless(self, request: Request, sent: bool, now: int) -> bool:
        """Whether its answer can no longer come before its hard stop, so that nobody should wait for it."""
        left = request.deadline_us - now
        if self.health.state is State.CUT:
            # Without the link: no answer before it is up again, which takes a round trip at the least.
            return left <= self.health.usual_trip() + _MARGIN
        trip = self.health.round_trip(now)
        # What was not yet sent needs its work as well; half of the usual at the least.
        return left <= trip // 2 + (0 if sent else request.expected_latency_us // 2)
