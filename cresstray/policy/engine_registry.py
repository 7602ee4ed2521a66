"""The engines of the endpoint list, and the policy state of each."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from cresstray.policy.engine_state import EngineState
from cresstray.policy.types import EndpointState

if TYPE_CHECKING:
    from cresstray.policy.load_signals import FleetSignals
    from cresstray.policy.settings import PolicySettings
    from cresstray.policy.slow_start import SlowStartPolicy
    from cresstray.policy.types import EndpointDescription, Engine


class EngineRegistry:
    """The listed engines, and removed engines until their attempts have ended."""

    __slots__ = ("engines", "_settings", "_fleet", "_slow_start")

    def __init__(self, settings: PolicySettings, fleet: FleetSignals, slow_start: SlowStartPolicy) -> None:
        self.engines: dict[Engine, None] = {}
        self._settings = settings
        self._fleet = fleet
        self._slow_start = slow_start

    def update(
        self,
        descriptions: Iterable[tuple[Engine, EndpointDescription]],
        is_complete: bool,
        gateway_count: int,
        now_us: int,
        random: Callable[[], float],
    ) -> None:
        """Applies a complete endpoint list, or only changes to it if `is_complete` is False."""
        listed = set()
        for engine, description in descriptions:
            listed.add(engine)
            self._update_engine(engine, description, gateway_count, now_us, random)
        for engine in list(self.engines):
            if is_complete and engine not in listed:
                engine.state = EndpointState.REMOVED
            if engine.state is EndpointState.REMOVED and not engine.policy_state.limit.attempts:
                del self.engines[engine]

    def _update_engine(
        self,
        engine: Engine,
        description: EndpointDescription,
        gateway_count: int,
        now_us: int,
        random: Callable[[], float],
    ) -> None:
        instance_type, zone, cell, started_us, endpoint_state = description
        has_restarted = started_us != engine.started_us and started_us > 0
        if engine.policy_state is None or has_restarted:
            # Statistics from before a restart no longer apply to the engine, but the attempts that were sent
            # before it have yet to end.
            state = EngineState(self._settings.cores(instance_type), gateway_count, self._fleet)
            if engine.policy_state is not None:
                state.limit.take_over_attempts(engine.policy_state.limit)
            engine.policy_state = state
            self._slow_start.start(state, started_us, now_us, random)
        engine.instance_type = instance_type
        engine.zone = zone
        engine.cell = cell
        engine.started_us = started_us
        engine.state = endpoint_state
        self.engines[engine] = None

    def ready_engines(self) -> list[Engine]:
        """Returns the engines that may get requests.

        Draining and removed engines get no new requests, not even during their grace period.
        """
        return [engine for engine in self.engines if engine.state is EndpointState.READY]

    def scale_limits(self, factor: float) -> None:
        """Scales all concurrency limits after the number of gateways has changed."""
        for engine in self.engines:
            engine.policy_state.limit.scale(factor)
