"""Merges lists from other sources than discovery into the estimates: snapshots, lists of other gateways."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from cresstray.discovery.endpoint_list import Endpoint
from cresstray.membership.confidence import LIST_HALF_LIFE_US, UNKNOWN_AGE_US, confidence
from cresstray.membership.estimate_states import EndpointEstimate, EstimateState, EvidenceSource
from cresstray.membership.estimate_table import MAX_ENDPOINTS, EstimateTable
from cresstray.membership.reconciliation import Tombstone
from cresstray.policy.types import EndpointState


def apply_tombstones(table: EstimateTable, tombstones: Iterable[Tombstone], now_us: int) -> None:
    """Drops the estimates that the tombstones of a list supersede, and adds these tombstones."""
    for tombstone in tombstones:
        if _is_superseded(table, tombstone):
            table.drop(tombstone.id)
            table.tombstones.add(
                tombstone.id, tombstone.started_us, tombstone.index, now_us, tombstone.known_for_us
            )


def _is_superseded(table: EstimateTable, tombstone: Tombstone) -> bool:
    # A successor starts with the snapshot before the last one. A removal that discovery has told its
    # predecessor since then takes precedence over whatever listens or serves at the address.
    estimate = table.endpoints.get(tombstone.id)
    return estimate is None or (
        estimate.state is not EstimateState.REGISTERED
        and estimate.endpoint.started_us <= tombstone.started_us
    )


def merge_endpoints(
    table: EstimateTable,
    remembered: Iterable[tuple[Endpoint, int]],
    index: int,
    source: EvidenceSource,
    drain_grace_us: int,
    now_us: int,
) -> None:
    """Merges endpoints, those with the latest evidence first, and raises the probe budget for them.

    Args:
        table: The estimates to merge into.
        remembered: Endpoints, each with the age of the last evidence of it.
        index: The index of discovery when the list was written.
        source: Where the list comes from.
        drain_grace_us: The longest time that an engine drains for.
        now_us: The present time.
    """
    merged_count = 0
    total_confidence = 0.0
    for endpoint, age_us in sorted(
        remembered, key=lambda entry: (entry[1], -entry[0].started_us, entry[0].id)
    ):
        known = table.endpoints.get(endpoint.id)
        if known is not None:
            _take_later_start(known, endpoint)
        evidence_us = now_us - min(age_us, UNKNOWN_AGE_US)
        if not _can_merge(table, endpoint, known, evidence_us, index):
            continue
        _merge_endpoint(table, endpoint, known, evidence_us, source, drain_grace_us, now_us)
        merged_count += 1
        total_confidence += confidence(age_us, LIST_HALF_LIFE_US)
    table.probe_budget.raise_for_list(merged_count, total_confidence / max(1, merged_count))


def _take_later_start(known: EndpointEstimate, endpoint: Endpoint) -> None:
    """Applies a later start to an endpoint that is listed or being probed on the evidence of an earlier list.

    Otherwise the endpoint would count as warm by its earlier start.
    """
    if (
        known.state in (EstimateState.PROBING, EstimateState.CONFIRMED)
        and endpoint.started_us > known.endpoint.started_us
    ):
        known.endpoint = msgspec.structs.replace(known.endpoint, started_us=endpoint.started_us)
        known.listed_start_us = max(known.listed_start_us, endpoint.started_us)


def _can_merge(
    table: EstimateTable,
    endpoint: Endpoint,
    known: EndpointEstimate | None,
    evidence_us: int,
    index: int,
) -> bool:
    if endpoint.state is EndpointState.REMOVED:
        return False
    if table.tombstones.forbids(endpoint.id, endpoint.started_us, index):
        return False
    if known is None:
        if len(table.endpoints) >= MAX_ENDPOINTS:
            return False
    elif known.state not in (EstimateState.REMEMBERED, EstimateState.UNREACHABLE):
        return False
    elif known.evidence_us >= evidence_us:
        return False
    # An address that belongs to another endpoint, with better evidence, stays with that endpoint.
    return table.id_by_address.get((endpoint.host, endpoint.port), endpoint.id) == endpoint.id


def _merge_endpoint(
    table: EstimateTable,
    endpoint: Endpoint,
    known: EndpointEstimate | None,
    evidence_us: int,
    source: EvidenceSource,
    drain_grace_us: int,
    now_us: int,
) -> None:
    # Whether a drain in the list has ended is unknown. It has once a grace period after the start has passed.
    is_draining = endpoint.state is EndpointState.DRAINING
    next_probe_us = now_us + drain_grace_us if is_draining else now_us
    # The evidence of the list is later, but this process has seen the endpoint fail, so the delay after that
    # failure stays.
    failure_count = 0 if known is None else known.failure_count
    if known is not None and failure_count:
        next_probe_us = max(next_probe_us, known.next_probe_us)
    table.put(
        EndpointEstimate(
            endpoint, EstimateState.REMEMBERED, source, evidence_us, next_probe_us, failure_count
        )
    )
    table.tombstones.discard(endpoint.id)
