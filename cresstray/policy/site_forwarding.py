"""Forwarding to other sites: each remote gateway is an engine that load balancing never considers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, NamedTuple

from cresstray.policy.engine_state import EngineState
from cresstray.policy.types import EndpointState

if TYPE_CHECKING:
    from cresstray.policy.load_signals import FleetSignals
    from cresstray.policy.types import Engine, Request

# Requests slow down from one thread per core on. The limit is lower because other sites learn of spare
# capacity late, and all of them learn of the same capacity.
SPARE_THREADS_PER_CORE = 0.95


class SpareCapacity(NamedTuple):
    """The spare capacity of this site, as reported to other sites."""

    threads: float  # this gateway's share of the spare threads
    cores: float  # this gateway's share of all cores
    slowdown: float  # latency over expected latency


class SiteForwarding:
    """The gateways of other sites, and the decision whether to forward a request to one."""

    __slots__ = ("sites", "_fleet")

    def __init__(self, fleet: FleetSignals) -> None:
        self.sites: list[Engine] = []
        self._fleet = fleet

    def has_ready_site(self) -> bool:
        """Returns whether any gateway of another site is ready."""
        return any(site.state is EndpointState.READY for site in self.sites)

    def update_site(self, site: Engine, cores: float, state: EndpointState) -> None:
        """Sets the state of a remote gateway and the cores that it offers; its limit is always enforced."""
        cores = max(1.0, cores)
        if site.policy_state is None:
            site.policy_state = EngineState(cores, 1, self._fleet)
            self.sites.append(site)
        site.policy_state.limit.resize(cores)
        site.state = state

    def may_forward(self, request: Request, freed_engine: Engine | None) -> bool:
        """Returns whether a request may be forwarded at all.

        Each request is forwarded at most once, as sites that believe each other idle would pass it back and
        forth. A request with an ordering or a placement constraint stays, as another site knows neither.
        """
        if request.was_forwarded or request.is_forwarded_in:
            return False
        if freed_engine and not freed_engine.forwarding:
            return False
        request_class = request.request_class
        if request_class.is_ordered or request_class.allowed_zones is not None:
            return False
        return request_class.allowed_instance_types is None

    def choose(
        self,
        request: Request,
        local_engine: Engine | None,
        may_send: Callable[[Request, Engine, int], bool],
        now_us: int,
    ) -> Engine | None:
        """Returns the remote gateway that takes the request instead of the local engine, or that engine."""
        threads = request.request_class.threads
        local_load = local_engine.policy_state.load(threads, now_us) if local_engine else None
        for site in self.sites:
            state = site.policy_state
            if state.limit.running_threads + threads > state.limit.value:
                continue
            if not may_send(request, site, now_us):
                continue
            if state.health.is_suspected and now_us < state.health.next_probe_us:
                continue
            if site.forwarding and site.forwarding.accepts(request, local_load, now_us):
                request.was_forwarded = True
                return site
        return local_engine


def spare_capacity(
    ready_engines: Sequence[Engine],
    gateway_count: int,
    has_queued_requests: bool,
    slowdown: float,
    now_us: int,
) -> SpareCapacity:
    """Returns the spare capacity to report to other sites: no threads while requests are queued."""
    spare = sum(
        max(0.0, engine.policy_state.spare_threads(now_us, SPARE_THREADS_PER_CORE))
        for engine in ready_engines
    )
    cores = sum(engine.policy_state.limit.cores for engine in ready_engines)
    threads = 0.0 if has_queued_requests else spare / gateway_count
    return SpareCapacity(threads, cores / gateway_count, slowdown)
