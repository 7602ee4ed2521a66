"""Load balancing by two random choices: the less loaded of two suitable random engines gets a request."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from enum import Enum
from typing import TYPE_CHECKING

from cresstray.policy.deadlines import WINDOW_US

if TYPE_CHECKING:
    from cresstray.policy.outlier_detection import OutlierDetector
    from cresstray.policy.slow_start import SlowStartPolicy
    from cresstray.policy.types import Engine, Request, RequestClass

    # A suitable engine: its load, the number of draws that were left, and the engine. The minimum of several
    # is the least loaded one, and among equals the last one drawn.
    Candidate = tuple[float, int, Engine]

CANDIDATE_COUNT = 2
# Traffic between zones has a cost, so engines of the gateway's zone are preferred up to this many more
# threads per core.
ZONE_PREFERENCE = 0.6
# A request that another site has forwarded needs an engine with fewer threads per core than this.
MAX_FORWARDED_LOAD = 1.0
# An engine that has not reported for longer than this reports rarely.
RARE_REPORT_US = 2 * WINDOW_US
# A data load waits while loads of its data set lock at least the number of ready engines divided by this.
MAX_LOCKED_DIVISOR = 3


class Suitability(Enum):
    """Whether an engine may take a request."""

    UNSUITABLE = 0
    LAST_RESORT = 1  # only if no engine is suitable
    SUITABLE = 2


# Module-level aliases, as looking up an enum member is slow, and these are needed for each engine drawn.
_UNSUITABLE = Suitability.UNSUITABLE
_LAST_RESORT = Suitability.LAST_RESORT
_SUITABLE = Suitability.SUITABLE


class LoadBalancer:
    """The ready engines, and the choice among them."""

    __slots__ = (
        "ready_engines",
        "least_loaded",
        "_zone",
        "_outlier_detector",
        "_slow_start",
        "_request_classes",
    )

    def __init__(
        self,
        zone: int | None,
        outlier_detector: OutlierDetector,
        slow_start: SlowStartPolicy,
        request_classes: Sequence[RequestClass],
    ) -> None:
        self.ready_engines: list[Engine] = []
        self.least_loaded: list[Engine] = []  # one engine, from a recent report, or none
        self._zone = zone
        self._outlier_detector = outlier_detector
        self._slow_start = slow_start
        self._request_classes = request_classes

    def choose(
        self,
        request: Request,
        now_us: int,
        random: Callable[[], float],
        may_send: Callable[[Request, Engine, int], bool],
        freed_engine: Engine | None = None,
    ) -> Engine | None:
        """Returns the engine for a request, or None if no engine may take it.

        If there is a `freed_engine`, it is the only one that is considered. Ranking a large fleet for each
        request would be too slow, so engines are drawn until there are two candidates of the gateway's zone
        and two of any zone.
        """
        candidate_count = CANDIDATE_COUNT + len(self.least_loaded)
        candidates: list[Candidate] = []
        same_zone_candidates: list[Candidate] = []
        last_resort: Engine | None = None
        tried_engines = {attempt.engine for attempt in request.attempts}
        for draws_left, engine in self._draw_engines(freed_engine, random):
            is_same_zone = engine.zone == self._zone
            if len(candidates) == candidate_count and not is_same_zone:
                continue
            state = engine.policy_state
            if not state.permits(request, now_us):
                if state.slow_start.next_send_us:
                    self._slow_start.on_limit_refused(state, now_us, random)
                continue
            suitability = self._suitability(request, engine, tried_engines, may_send, now_us)
            if suitability is _LAST_RESORT:
                last_resort = last_resort or engine
            elif suitability is _SUITABLE:
                load = state.load(request.request_class.threads, now_us)
                candidate = (load, draws_left, engine)
                if len(candidates) < candidate_count:
                    candidates.append(candidate)
                if is_same_zone:
                    same_zone_candidates.append(candidate)
                    if len(same_zone_candidates) == candidate_count:
                        break
        return self._select_less_loaded(request, candidates, same_zone_candidates, last_resort, now_us)

    def _draw_engines(
        self, freed_engine: Engine | None, random: Callable[[], float]
    ) -> Iterator[tuple[int, Engine]]:
        """Yields the least loaded engine if it is known, then the ready engines in random order, lazily."""
        pool = [freed_engine] if freed_engine else self.ready_engines + self.least_loaded
        ready_count = len(self.ready_engines)
        for draws_left in range(len(pool), 0, -1):
            last_index = draws_left - 1
            index = last_index if draws_left > ready_count else int(random() * draws_left)
            engine = pool[index]
            pool[index] = pool[last_index]
            yield draws_left, engine

    def _suitability(
        self,
        request: Request,
        engine: Engine,
        tried_engines: set[Engine],
        may_send: Callable[[Request, Engine, int], bool],
        now_us: int,
    ) -> Suitability:
        state = engine.policy_state
        if request.is_forwarded_in:
            if state.spare_threads(now_us, MAX_FORWARDED_LOAD) < request.request_class.threads:
                return _UNSUITABLE
        if not may_send(request, engine, now_us):
            return _UNSUITABLE
        health = state.health
        if health.is_suspected and self._outlier_detector.is_enforced:
            # A suspected engine gets one probe request at a time, which must be safe to repeat. An engine
            # that fails has capacity while the others are full, and would fail all requests that could still
            # wait for them. If it answers at all, it gets requests that can wait no longer.
            if not request.request_class.is_idempotent:
                return _UNSUITABLE
            if not self._outlier_detector.may_probe(health, now_us):
                if health.is_unresponsive or now_us < request.latest_dispatch_us:
                    return _UNSUITABLE
                return _LAST_RESORT
        if engine in tried_engines:
            return _LAST_RESORT
        if request.request_class.waits_for_data_set and self.would_wait_for_data_set(request, engine, now_us):
            return _LAST_RESORT
        return _SUITABLE

    def _select_less_loaded(
        self,
        request: Request,
        candidates: list[Candidate],
        same_zone_candidates: list[Candidate],
        last_resort: Engine | None,
        now_us: int,
    ) -> Engine | None:
        if not candidates and not last_resort:
            return None
        if self._must_delay_data_load(request, now_us):
            return None
        if not candidates:
            return last_resort
        best_load, _, best = min(candidates)
        if not same_zone_candidates:
            return best
        same_zone_load, _, best_in_zone = min(same_zone_candidates)
        return best_in_zone if same_zone_load <= best_load + ZONE_PREFERENCE else best

    def would_wait_for_data_set(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether the request would block on the engine, as a data load has locked its data set.

        While it blocked, it would keep its memory and its permit.
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

    def _must_delay_data_load(self, request: Request, now_us: int) -> bool:
        """Returns whether a data load is delayed, so that its data set stays readable on other engines."""
        if not request.request_class.locks_data_set:
            return False
        if not any(
            request_class.waits_for_data_set and not request_class.locks_data_set
            for request_class in self._request_classes
        ):
            return False
        locked = sum(self.would_wait_for_data_set(request, engine, now_us) for engine in self.ready_engines)
        return MAX_LOCKED_DIVISOR * locked >= len(self.ready_engines)

    def on_report(self, engine: Engine, is_rare: bool, now_us: int) -> None:
        """Remembers the least loaded engine, as a third candidate.

        An engine that all gateways know as the least loaded would be flooded. So only engines that report
        rarely are remembered: among these, each gateway knows a different one.
        """
        if not is_rare:
            return
        load = engine.policy_state.load
        if all(load(0, now_us) <= other.policy_state.load(0, now_us) for other in self.least_loaded):
            self.least_loaded = [engine]
