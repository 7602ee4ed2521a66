"""What operators see of a snapshot folder, and how they remove an endpoint from it."""

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


# The states by the words that reports have always had.
_REPORTED_STATES = {
    EstimateState.REMEMBERED: "remembered",
    EstimateState.PROBING: "on trial",
    EstimateState.CONFIRMED: "confirmed",
    EstimateState.UNREACHABLE: "contradicted",
    EstimateState.REGISTERED: "told",
    EstimateState.REMOVED: "gone",
}


class FileCheck(NamedTuple):
    """Whether one file of a folder can be used, and a line that says so."""

    file_name: str
    is_usable: bool
    line: str


# The keys of the reports are what operators' scripts read; they keep the earlier terms.


def report(snapshot: Snapshot, now: ClockReading) -> dict[str, Any]:
    """Returns the snapshot as plain maps, ages in seconds; an age of None is not known."""
    age = age_us(snapshot.written_at, now)
    return {
        "owner": snapshot.owner,
        "age": _age_seconds(age),
        "index": snapshot.index,
        "handed_over": snapshot.is_handed_over,
        "engines": [_endpoint_report(entry, age) for entry in snapshot.endpoints],
        "gone": [_tombstone_report(tombstone) for tombstone in snapshot.tombstones],
        "tariffs": [_latency_report(entry) for entry in snapshot.latencies],
        "limits": len(snapshot.limits),
    }


def _age_seconds(age: int) -> float | None:
    return None if age >= UNKNOWN_AGE_US else round(age / 1e6, 1)


def _endpoint_report(entry: EndpointEntry, snapshot_age_us: int) -> dict[str, Any]:
    age = snapshot_age_us + entry.age_us
    return {
        "id": endpoint_label(entry.id),
        "address": f"{entry.host}:{entry.port}",
        "draining": entry.is_draining,
        "age": _age_seconds(age),
        "trust": round(confidence(min(age, UNKNOWN_AGE_US), LIST_HALF_LIFE_US), 3),
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
    """Returns the label of an endpoint, as operators write it."""
    return f"s-{endpoint_id:08x}"


def status(estimate: MembershipEstimate, now_us: int) -> list[dict[str, Any]]:
    """Returns the estimate of a running gateway, a plain map for each endpoint; ages in seconds."""
    ages_us = {endpoint.id: age for endpoint, age in estimate.evidence_ages(now_us)}
    return [
        {
            "id": endpoint_label(endpoint_id),
            "address": f"{one.endpoint.host}:{one.endpoint.port}",
            "state": _REPORTED_STATES[one.state],
            "source": one.source.value,
            "listed": one.is_listed,
            "age": _age_seconds(ages_us.get(endpoint_id, UNKNOWN_AGE_US)),
            "failed": one.failure_count,
        }
        for endpoint_id, one in estimate.endpoints.items()
    ]


def verify(folder: SnapshotFolder) -> list[FileCheck]:
    """Checks each file that is there."""
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
    """Returns the snapshot with a tombstone in place of the endpoint, which only later news lifts.

    Raises:
        UnknownEndpointError: The snapshot does not hold the endpoint.
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
        FolderInUseError: The gateway runs.
        UnknownEndpointError: No snapshot holds the endpoint.
        OSError, UnusableSnapshotError: The snapshot can't be written.
    """
    if not folder.lock():
        raise FolderInUseError(f"{folder.path}: its gateway runs; ask that one")
    found = folder.read().snapshot
    if found is None:
        raise UnknownEndpointError(endpoint_id)
    changed = without_endpoint(found, endpoint_id)
    # Both generations are written: the older one would still name the endpoint.
    folder.write(changed)
    folder.write(changed)
