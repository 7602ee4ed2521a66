"""Reports on snapshot folders for operators, and the removal of an endpoint from a folder."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from cresstray.membership.confidence import (
    LIST_HALF_LIFE_US,
    SECOND_US,
    UNKNOWN_AGE_US,
    ClockReading,
    age_us,
    confidence,
)
from cresstray.membership.errors import FolderInUseError, UnknownEndpointError
from cresstray.membership.estimate import MembershipEstimate
from cresstray.membership.estimate_states import EstimateState
from cresstray.membership.reconciliation import Tombstone
from cresstray.membership.snapshot import EndpointEntry, LatencyEntry, Snapshot
from cresstray.membership.snapshot_files import SnapshotFolder, one_line

_DAY_US = 86_400 * SECOND_US


# The names of the states in reports, which operators' scripts read; they are older than the names in code.
_REPORTED_STATES = {
    EstimateState.REMEMBERED: "remembered",
    EstimateState.PROBING: "on trial",
    EstimateState.CONFIRMED: "confirmed",
    EstimateState.UNREACHABLE: "contradicted",
    EstimateState.REGISTERED: "told",
    EstimateState.REMOVED: "gone",
}


class FileCheck(NamedTuple):
    """Whether one file of a folder can be used, and a line that explains it."""

    file_name: str
    is_usable: bool
    line: str


# Operators' scripts read the keys of the reports, so the keys keep earlier terms.


def report(snapshot: Snapshot, now: ClockReading) -> dict[str, Any]:
    """Returns the snapshot as plain maps, with ages in seconds; an unknown age is None."""
    snapshot_age_us = age_us(snapshot.written_at, now)
    return {
        "owner": snapshot.owner,
        "age": _to_seconds(snapshot_age_us),
        "index": snapshot.index,
        "handed_over": snapshot.is_handed_over,
        "engines": [_endpoint_report(entry, snapshot_age_us) for entry in snapshot.endpoints],
        "gone": [_tombstone_report(tombstone) for tombstone in snapshot.tombstones],
        "tariffs": [_latency_report(entry) for entry in snapshot.latencies],
        "limits": len(snapshot.limits),
    }


def _to_seconds(elapsed_us: int) -> float | None:
    return None if elapsed_us >= UNKNOWN_AGE_US else round(elapsed_us / 1e6, 1)


def _endpoint_report(entry: EndpointEntry, snapshot_age_us: int) -> dict[str, Any]:
    evidence_age_us = snapshot_age_us + entry.age_us
    return {
        "id": endpoint_label(entry.id),
        "address": f"{entry.host}:{entry.port}",
        "draining": entry.is_draining,
        "age": _to_seconds(evidence_age_us),
        "trust": round(confidence(min(evidence_age_us, UNKNOWN_AGE_US), LIST_HALF_LIFE_US), 3),
    }


def _tombstone_report(tombstone: Tombstone) -> dict[str, Any]:
    return {
        "id": endpoint_label(tombstone.id),
        "index": tombstone.index,
        "days": round(tombstone.known_for_us / _DAY_US, 2),
    }


def _latency_report(entry: LatencyEntry) -> dict[str, Any]:
    return {
        "name": entry.name,
        "answers": entry.sample_count,
        "mean_ms": round(entry.mean_us / 1000, 1),
    }


def endpoint_label(endpoint_id: int) -> str:
    """Returns the label of an endpoint in reports and commands."""
    return f"s-{endpoint_id:08x}"


def status(membership_estimate: MembershipEstimate, now_us: int) -> list[dict[str, Any]]:
    """Returns the estimates of a running gateway, a plain map for each endpoint; ages are in seconds."""
    ages_us = {
        endpoint.id: evidence_age_us
        for endpoint, evidence_age_us in membership_estimate.evidence_ages(now_us)
    }
    return [
        {
            "id": endpoint_label(endpoint_id),
            "address": f"{estimate.endpoint.host}:{estimate.endpoint.port}",
            "state": _REPORTED_STATES[estimate.state],
            "source": estimate.source.value,
            "listed": estimate.is_listed,
            "age": _to_seconds(ages_us.get(endpoint_id, UNKNOWN_AGE_US)),
            "failed": estimate.failure_count,
        }
        for endpoint_id, estimate in membership_estimate.endpoints.items()
    ]


def verify(folder: SnapshotFolder) -> list[FileCheck]:
    """Checks each snapshot file of the folder that exists."""
    checks = []
    for found in folder.read_each():
        if found.snapshot is None:
            line = one_line(found.error)
        else:
            count = len(found.snapshot.endpoints)
            line = f"whole, serial {found.serial}, {count} engines, index {found.snapshot.index}"
        checks.append(FileCheck(found.file_name, found.snapshot is not None, line))
    return checks


def without_endpoint(snapshot: Snapshot, endpoint_id: int) -> Snapshot:
    """Returns the snapshot with a tombstone in place of the endpoint.

    Only a later event of discovery brings the endpoint back.

    Raises:
        UnknownEndpointError: The snapshot does not contain the endpoint.
    """
    removed = next((entry for entry in snapshot.endpoints if entry.id == endpoint_id), None)
    if removed is None:
        raise UnknownEndpointError(endpoint_id)
    tombstone = Tombstone(endpoint_id, removed.started_us, snapshot.index, 0)
    return msgspec.structs.replace(
        snapshot,
        endpoints=[entry for entry in snapshot.endpoints if entry.id != endpoint_id],
        limits=[entry for entry in snapshot.limits if entry.id != endpoint_id],
        tombstones=[*snapshot.tombstones, tombstone],
    )


def forget(folder: SnapshotFolder, endpoint_id: int) -> None:
    """Removes an endpoint from the folder of a stopped gateway.

    Raises:
        FolderInUseError: The gateway is running.
        UnknownEndpointError: No snapshot contains the endpoint.
        OSError, UnusableSnapshotError: The snapshot can't be written.
    """
    if not folder.lock():
        raise FolderInUseError(f"{folder.path}: its gateway runs; ask that one")
    found = folder.read().snapshot
    if found is None:
        raise UnknownEndpointError(endpoint_id)
    changed = without_endpoint(found, endpoint_id)
    # Written twice, to replace both generations, as the older one would still contain the endpoint.
    folder.write(changed)
    folder.write(changed)
