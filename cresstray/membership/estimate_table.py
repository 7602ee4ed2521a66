"""The estimates of all endpoints by id and address, and the only methods that change their states."""

from __future__ import annotations

from cresstray.discovery.endpoint_list import Endpoint
from cresstray.membership.confidence import UNKNOWN_AGE_US
from cresstray.membership.estimate_states import EndpointEstimate, EstimateCounts, EstimateState
from cresstray.membership.probe_budget import ProbeBudget
from cresstray.membership.reconciliation import IndexTracker, Tombstones
from cresstray.policy.types import EndpointState

# Far above the size of any fleet: bounds the memory for a faulty list, or for a folder that grew for years.
MAX_ENDPOINTS = 20_000
# An endpoint of unknown age is not stored any more after so many failed probes.
_MAX_STORED_FAILURES = 20


class EstimateTable:
    """Estimates and tombstones. Only `transition`, `put` and `remove` change the state of an endpoint.

    Attributes:
        endpoints: The estimates by endpoint id.
        tombstones: The removed endpoints.
        index_tracker: The index of the discovery service.
        probe_budget: The probes in flight, and their limit.
        id_by_address: The ids of the endpoints by host and port.
    """

    def __init__(self, now_us: int) -> None:
        self.endpoints: dict[int, EndpointEstimate] = {}
        self.tombstones = Tombstones()
        self.index_tracker = IndexTracker()
        self.probe_budget = ProbeBudget()
        self.id_by_address: dict[tuple[str, int], int] = {}
        self._last_frame_us = now_us
        self._counts: EstimateCounts | None = None

    def state_of(self, endpoint_id: int) -> EstimateState | None:
        """Returns the state of an endpoint; None if the endpoint is unknown."""
        estimate = self.endpoints.get(endpoint_id)
        if estimate is not None:
            return estimate.state
        return EstimateState.REMOVED if endpoint_id in self.tombstones else None

    def counts(self) -> EstimateCounts:
        """Returns how many endpoints requests may be sent to, by evidence, and how many are not listed."""
        if self._counts is None:
            self._counts = self._count_states()
        return self._counts

    def _count_states(self) -> EstimateCounts:
        registered = 0
        confirmed = 0
        listed_probing = 0
        unlisted = 0
        for estimate in self.endpoints.values():
            if estimate.state is EstimateState.REGISTERED:
                registered += estimate.endpoint.state is EndpointState.READY
            elif estimate.state is EstimateState.CONFIRMED:
                confirmed += 1
            elif estimate.state is EstimateState.PROBING and estimate.is_listed:
                listed_probing += 1
            else:
                unlisted += 1
        return EstimateCounts(registered, confirmed, listed_probing, unlisted)

    def evidence(self, now_us: int) -> list[tuple[Endpoint, int]]:
        """Returns the endpoints to store, each with the time of the last evidence of it."""
        last_frame_us = self._last_frame_us
        registered = EstimateState.REGISTERED
        return [
            (
                known.endpoint,
                max(known.evidence_us, last_frame_us) if known.state is registered else known.evidence_us,
            )
            for known in self.endpoints.values()
            if known.failure_count < _MAX_STORED_FAILURES or now_us - known.evidence_us < UNKNOWN_AGE_US
        ]

    def evidence_ages(self, now_us: int) -> list[tuple[Endpoint, int]]:
        """Returns the endpoints to store, each with the age of the last evidence of it."""
        return [
            (endpoint, max(0, min(UNKNOWN_AGE_US, now_us - evidence_us)))
            for endpoint, evidence_us in self.evidence(now_us)
        ]

    def transition(self, estimate: EndpointEstimate, state: EstimateState) -> None:
        """Changes the state of an estimate."""
        estimate.state = state
        self._counts = None

    def put(self, estimate: EndpointEstimate) -> None:
        """Adds an estimate, in place of any earlier one of the endpoint."""
        endpoint = estimate.endpoint
        self.drop(endpoint.id)
        self.endpoints[endpoint.id] = estimate
        self.id_by_address[endpoint.host, endpoint.port] = endpoint.id

    def drop(self, endpoint_id: int) -> EndpointEstimate | None:
        """Drops the estimate of an endpoint; returns it, or None if there was none."""
        self.probe_budget.in_flight.pop(endpoint_id, None)
        self._counts = None
        estimate = self.endpoints.pop(endpoint_id, None)
        if estimate is not None:
            address = (estimate.endpoint.host, estimate.endpoint.port)
            if self.id_by_address.get(address) == endpoint_id:
                del self.id_by_address[address]
        return estimate

    def remove(self, endpoint_id: int, started_us: int, index: int, now_us: int) -> None:
        """Drops the estimate of an endpoint and adds a tombstone."""
        estimate = self.drop(endpoint_id)
        if estimate is not None:
            started_us = max(started_us, estimate.endpoint.started_us)
        self.tombstones.add(endpoint_id, started_us, index, now_us)
