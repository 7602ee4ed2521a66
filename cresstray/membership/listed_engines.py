"""The policy controller's engines of listed endpoints, and the limits learned for them earlier."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.membership import learned_state
from cresstray.membership.confidence import UNKNOWN_AGE_US
from cresstray.membership.snapshot import LimitEntry
from cresstray.policy.engine_state import EngineState
from cresstray.policy.types import Engine


class ListedEngines:
    """Restores learned limits as endpoints are listed.

    Attributes:
        by_id: The engine of each listed endpoint and its state in the policy, by endpoint id.
    """

    def __init__(self, chance: Callable[[], float], now_us: int) -> None:
        self.by_id: dict[int, tuple[Engine, EngineState]] = {}
        self._chance = chance
        self._started_us = now_us
        self._id_by_engine: dict[Engine, int] = {}
        # Endpoints that discovery names with the start that was known already.
        self._same_start: set[int] = set()
        self._limits: dict[int, LimitEntry] = {}
        self._limits_age_us = UNKNOWN_AGE_US

    def id_of(self, engine: Engine) -> int | None:
        """Returns the endpoint id of a listed engine; None for any other engine."""
        return self._id_by_engine.get(engine)

    def remember_limits(self, limits: Iterable[LimitEntry], age_us: int) -> None:
        """Stores the limits of a snapshot, for endpoints that are listed later."""
        self._limits = {entry.id: entry for entry in limits}
        self._limits_age_us = age_us

    def set_same_start(self, endpoint_ids: set[int]) -> None:
        """Sets the endpoints of the next event whose engines have not restarted."""
        self._same_start = endpoint_ids

    def on_listed(
        self,
        event: EndpointEvent,
        engines: Mapping[int, Engine],
        is_registered: Callable[[int], bool],
        now_us: int,
    ) -> None:
        """Restores the learned state of the endpoints of an event that the controller has applied."""
        for endpoint in event.endpoints:
            engine = engines.get(endpoint.id)
            if engine is None or engine.policy_state is None:
                continue
            known = self.by_id.get(endpoint.id)
            is_known = known is not None and known[0] is engine
            if known is None or not is_known or known[1] is not engine.policy_state:
                former = known[1] if known is not None and is_known else None
                self._restore(endpoint, engine, former, is_registered(endpoint.id), now_us)
            self.by_id[endpoint.id] = (engine, engine.policy_state)
            self._id_by_engine[engine] = endpoint.id
        if len(self.by_id) > len(engines):
            self.by_id = {
                listed_id: listed for listed_id, listed in self.by_id.items() if listed_id in engines
            }
            self._id_by_engine = {listed[0]: listed_id for listed_id, listed in self.by_id.items()}

    def _restore(
        self,
        endpoint: Endpoint,
        engine: Engine,
        former: EngineState | None,
        is_registered: bool,
        now_us: int,
    ) -> None:
        if former is not None and endpoint.id in self._same_start:
            engine.policy_state.take_over(former)
            return
        entry = self._limits.get(endpoint.id)
        if entry is not None:
            age_us = min(UNKNOWN_AGE_US, self._limits_age_us + max(0, now_us - self._started_us))
            started_us = endpoint.started_us if is_registered else None
            learned_state.restore_limit(engine.policy_state, entry, started_us, age_us)
        if not is_registered:
            learned_state.delay_first_turn(engine.policy_state, self._chance, now_us)
