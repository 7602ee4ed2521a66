"""What operators see of what is kept, and how they take an engine out of it."""

from __future__ import annotations

from typing import Any

import msgspec

from cresstray.membership import confidence as fade
from cresstray.membership.confidence import ClockReading
from cresstray.membership.reconciliation import Tombstone
from cresstray.membership.snapshot import Snapshot
from cresstray.membership.snapshot_files import SnapshotFolder, one_line


def report(record: Snapshot, now: ClockReading) -> dict[str, Any]:
    """As plain maps, ages in seconds; an age of None is not known."""
    age = fade.age_us(record.written_at, now)

    def seconds(before: int) -> float | None:
        return None if age + before >= fade.UNKNOWN_AGE_US else round((age + before) / 1e6, 1)

    return {
        "owner": record.owner,
        "age": seconds(0),
        "index": record.index,
        "handed_over": record.is_handed_over,
        "engines": [
            {
                "id": f"s-{one.id:08x}",
                "address": f"{one.host}:{one.port}",
                "draining": one.is_draining,
                "age": seconds(one.age_us),
                "trust": round(
                    fade.confidence(min(age + one.age_us, fade.UNKNOWN_AGE_US), fade.LIST_HALF_LIFE_US), 3
                ),
            }
            for one in record.endpoints
        ],
        "gone": [
            {"id": f"s-{one.id:08x}", "index": one.index, "days": round(one.known_for_us / 86_400e6, 2)}
            for one in record.tombstones
        ],
        "tariffs": [
            {"name": one.name, "answers": one.sample_count, "mean_ms": round(one.mean_us / 1000, 1)}
            for one in record.latencies
        ],
        "limits": len(record.limits),
    }


def verify(folder: SnapshotFolder) -> list[tuple[str, bool, str]]:
    """For each file that is there: its name, whether it can be used, and a line."""
    return [
        (
            name,
            record is not None,
            one_line(trouble)
            if record is None
            else f"whole, serial {serial}, {len(record.endpoints)} engines, index {record.index}",
        )
        for name, serial, record, trouble in folder.read_each()
    ]


def without_endpoint(record: Snapshot, engine: int) -> Snapshot:
    """Without this engine, and with a tombstone that only later news of the register lifts. KeyError."""
    known = next((one for one in record.endpoints if one.id == engine), None)
    if known is None:
        raise KeyError(engine)
    return msgspec.structs.replace(
        record,
        endpoints=[one for one in record.endpoints if one.id != engine],
        limits=[one for one in record.limits if one.id != engine],
        tombstones=[*record.tombstones, Tombstone(engine, known.started_us, record.index, 0)],
    )


def forget(folder: SnapshotFolder, engine: int) -> None:
    """On a stopped gateway. Both generations, or the older one would still name it. OSError, KeyError."""
    if not folder.lock():
        raise BlockingIOError(f"{folder.path}: its gateway runs; ask that one")
    found = folder.read().snapshot
    if found is None:
        raise KeyError(engine)
    record = without_endpoint(found, engine)
    folder.write(record)
    folder.write(record)
