"""Load balancing: of two engines drawn at random that may take a request, the less loaded gets it."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from enum import Enum
from typing import TYPE_CHECKING

from cresstray.policy.deadlines import WINDOW_US

if TYPE_CHECKING:
    from cresstray.policy.outlier_detection import OutlierDetector
    from cresstray.policy.slow_start import SlowStartPolicy
    from cresstray.policy.types import Engine, Request, RequestClass

    # An engine that was drawn: its load, the draws left then, and the engine. The least of several is the
    # less loaded one, or of equals the last drawn.
    Candidate = tuple[float, int, Engine]

CHOICES = 2
# Crossing zones costs: engines of the own zone get up to so many threads per core more.
ZONE_PREFERENCE = 0.6
# A request from another site is let onto an engine with fewer threads per core than this.
MAX_FORWARDED_LOAD = 1.0
# An engine that has not reported for so long is seldom heard of.
RARE_REPORT_US = 2 * WINDOW_US
# A load waits while this part of the engines is locked by loads of its data set.
MAX_LOCKED_PART = 3


class Suitability(Enum):
    """Whether an engine may take a request."""

    NONE = 0
    LAST_RESORT = 1  # if there is no other
    FULL = 2


# Enum members are looked up slowly, and these for each engine that is drawn.
_NONE = Suitability.NONE
_LAST_RESORT = Suitability.LAST_RESORT
_FULL = Suitability.FULL


class LoadBalancer:
    """The engines that are ready, and the choice among them."""

    __slots__ = ("ready_engines", "least_loaded", "_zone", "_outliers", "_slow_start", "_request_classes")

    def __init__(
        self,
        zone: int | None,
        outliers: OutlierDetector,
        slow_start: SlowStartPolicy,
        request_classes: Sequence[RequestClass],
    ) -> None:
        self.ready_engines: list[Engine] = []
        self.least_loaded: list[Engine] = []  # one that was lately seen to be, or none
        self._zone = zone
        self._outliers = outliers
        self._slow_start = slow_start
        self._request_classes = request_classes

    def choose(
        self,
        request: Request,
        now_us: int,
        random: Callable[[], float],
        may_send: Callable[[Request, Engine, int], bool],
        freed: Engine | None = None,
    ) -> Engine | None:
        """Returns the engine for a request, or None if none may take it; `freed`: the only one to consider.

        To rank a large fleet for each request is too slow: engines are drawn until two of the own zone and
        two of any are found.
        """
        choices = CHOICES + len(self.least_loaded)
        drawn: list[Candidate] = []
        near: list[Candidate] = []
        last_resort: Engine | None = None
        tried = {attempt.engine for attempt in request.attempts}
        for draws_left, engine in self._draw(freed, random):
            is_near = engine.zone == self._zone
            if len(drawn) == choices and not is_near:
                continue
            state = engine.policy_state
            if not state.permits(request, now_us):
                if state.slow_start.next_send_us:
                    self._slow_start.on_limit_refused(state, now_us, random)
                continue
            suitability = self._suitability(request, engine, tried, may_send, now_us)
            if suitability is _LAST_RESORT:
                last_resort = last_resort or engine
            elif suitability is _FULL:
                load = state.load(request.request_class.threads, now_us)
                candidate = (load, draws_left, engine)
                if len(drawn) < choices:
                    drawn.append(candidate)
                if is_near:
                    near.append(candidate)
                    if len(near) == choices:
                        break
        return self._less_loaded(request, drawn, near, last_resort, now_us)

    def _draw(self, freed: Engine | None, random: Callable[[], float]) -> Iterator[tuple[int, Engine]]:
        """Yields the least loaded engine, then the others in random order, drawn as they are asked for."""
        pool = [freed] if freed else self.ready_engines + self.least_loaded
        ready_count = len(self.ready_engines)
        for draws_left in range(len(pool), 0, -1):
            last = draws_left - 1
            at = last if draws_left > ready_count else int(random() * draws_left)
            engine = pool[at]
            pool[at] = pool[last]
            yield draws_left, engine

    def _suitability(
        self,
        request: Request,
        engine: Engine,
        tried: set[Engine],
        may_send: Callable[[Request, Engine, int], bool],
        now_us: int,
    ) -> Suitability:
        state = engine.policy_state
        if request.is_forwarded_in:
            if state.spare_threads(now_us, MAX_FORWARDED_LOAD) < request.request_class.threads:
                return _NONE
        if not may_send(request, engine, now_us):
            return _NONE
        health = state.health
        if health.is_suspected and self._outliers.is_enforced:
            # A suspected engine gets one probe request at a time, which must be safe to repeat. While the
            # others are full, one that fails has capacity, and would fail all that could still wait for
            # them. If it answers, it gets what has no other chance left.
            if not request.request_class.is_idempotent:
                return _NONE
            if not self._outliers.may_probe(health, now_us):
                if health.is_unresponsive or now_us < request.latest_dispatch_us:
                    return _NONE
                return _LAST_RESORT
        if engine in tried:
            return _LAST_RESORT
        if request.request_class.waits_for_data_set and self.would_wait(request, engine, now_us):
            return _LAST_RESORT
        return _FULL

    def _less_loaded(
        self,
        request: Request,
        drawn: list[Candidate],
        near: list[Candidate],
        last_resort: Engine | None,
        now_us: int,
    ) -> Engine | None:
        if not drawn and not last_resort:
            return None
        if self._must_load_wait(request, now_us):
            return None
        if not drawn:
            return last_resort
        best_load, _, best = min(drawn)
        if not near:
            return best
        near_load, _, best_near = min(near)
        return best_near if near_load <= best_load + ZONE_PREFERENCE else best

    def would_wait(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether the request would stand still there, as a load has locked its data set.

        It would keep its memory and its permit meanwhile.
        """
        if not request.request_class.waits_for_data_set:
            return False
        state = engine.policy_state
        data_set = request.data_set
        for attempt in state.limit.attempts:
            other = attempt.request
            if other.request_class.locks_data_set and other.data_set == data_set:
                return True
        return state.signals.is_data_set_locked(data_set, now_us)

    def _must_load_wait(self, request: Request, now_us: int) -> bool:
        """Returns whether a load is held back, so that its data set can still be read somewhere."""
        if not request.request_class.locks_data_set:
            return False
        if not any(one.waits_for_data_set and not one.locks_data_set for one in self._request_classes):
            return False
        locked = sum(self.would_wait(request, engine, now_us) for engine in self.ready_engines)
        return MAX_LOCKED_PART * locked >= len(self.ready_engines)

    def on_report(self, engine: Engine, is_rare: bool, now_us: int) -> None:
        """Remembers the least loaded engine, as a third choice.

        Known to all gateways it would be flooded; where most engines are seldom heard of, each gateway
        knows another one.
        """
        if not is_rare:
            return
        load = engine.policy_state.load
        if all(load(0, now_us) <= other.policy_state.load(0, now_us) for other in self.least_loaded):
            self.least_loaded = [engine]
