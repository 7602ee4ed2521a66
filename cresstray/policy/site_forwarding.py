"""Forwarding to other sites: each gateway of another site counts as one engine that is never drawn."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, NamedTuple

from cresstray.policy.engine_state import EngineState
from cresstray.policy.types import EndpointState

if TYPE_CHECKING:
    from cresstray.policy.load_signals import FleetSignals
    from cresstray.policy.types import Engine, Request

# From a thread per core on, requests slow down here. What is told of spare capacity arrives late, and other
# sites are told the same.
SPARE_THREADS_PER_CORE = 0.95


class SpareCapacity(NamedTuple):
    """What other sites may be told of this one."""

    threads: float  # this gateway's part of the threads to spare
    cores: float  # this gateway's part of all cores
    slowdown: float  # latency over expected latency


class SiteForwarding:
    """The gateways of other sites, and whether a request goes to one."""

    __slots__ = ("sites", "_fleet")

    def __init__(self, fleet: FleetSignals) -> None:
        self.sites: list[Engine] = []
        self._fleet = fleet

    def has_ready_site(self) -> bool:
        """Returns whether there is another site to forward to."""
        return any(site.state is EndpointState.READY for site in self.sites)

    def update_site(self, site: Engine, cores: float, state: EndpointState) -> None:
        """Sets what a gateway of another site has for this one, in cores; its limit always binds."""
        cores = max(1.0, cores)
        if site.policy_state is None:
            site.policy_state = EngineState(cores, 1, self._fleet)
            self.sites.append(site)
        site.policy_state.limit.resize(cores)
        site.state = state

    def may_forward(self, request: Request, freed: Engine | None) -> bool:
        """Returns whether a request may leave this site at all.

        Sites that each believe the other idle would pass requests back and forth, so each is forwarded once.
        One that has to run in order, or on certain engines, stays: another site knows neither.
        """
        if request.was_forwarded or request.is_forwarded_in:
            return False
        if freed and not freed.forwarding:
            return False
        request_class = request.request_class
        if request_class.is_ordered or request_class.allowed_zones is not None:
            return False
        return request_class.allowed_instance_types is None

    def choose(
        self,
        request: Request,
        near: Engine | None,
        may_send: Callable[[Request, Engine, int], bool],
        now_us: int,
    ) -> Engine | None:
        """Returns the site that takes the request in place of the local engine, or that engine."""
        threads = request.request_class.threads
        near_load = near.policy_state.load(threads, now_us) if near else None
        for site in self.sites:
            state = site.policy_state
            if state.limit.running_threads + threads > state.limit.value:
                continue
            if not may_send(request, site, now_us):
                continue
            if state.health.is_suspected and now_us < state.health.next_probe_us:
                continue
            if site.forwarding and site.forwarding.accepts(request, near_load, now_us):
                request.was_forwarded = True
                return site
        return near


def spare_capacity(
    ready_engines: Sequence[Engine],
    gateway_count: int,
    has_queued_requests: bool,
    slowdown: float,
    now_us: int,
) -> SpareCapacity:
    """Returns what other sites may be told of this one; nothing is spare while requests are queued."""
    spare = sum(
        max(0.0, engine.policy_state.spare_threads(now_us, SPARE_THREADS_PER_CORE))
        for engine in ready_engines
    )
    cores = sum(engine.policy_state.limit.cores for engine in ready_engines)
    threads = 0.0 if has_queued_requests else spare / gateway_count
    return SpareCapacity(threads, cores / gateway_count, slowdown)
