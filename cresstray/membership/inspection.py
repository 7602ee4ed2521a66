"""What operators see of what is kept, and how they take an engine out of it."""

from __future__ import annotations

from typing import Any

import msgspec

from cresstray.membership import confidence as fade
from cresstray.membership.confidence import Moment
from cresstray.membership.reconciliation import Tomb
from cresstray.membership.snapshot import Record
from cresstray.membership.snapshot_files import Folder, short


def shown(record: Record, now: Moment) -> dict[str, Any]:
    """As plain maps, ages in seconds; an age of None is not known."""
    age = fade.age(record.moment, now)

    def seconds(before: int) -> float | None:
        return None if age + before >= fade.OLDEST else round((age + before) / 1e6, 1)

    return {
        "owner": record.owner,
        "age": seconds(0),
        "index": record.number,
        "handed_over": record.handed,
        "engines": [
            {
                "id": f"s-{one.id:08x}",
                "address": f"{one.host}:{one.port}",
                "draining": one.draining,
                "age": seconds(one.age),
                "trust": round(fade.weight(min(age + one.age, fade.OLDEST), fade.LIST), 3),
            }
            for one in record.engines
        ],
        "gone": [
            {"id": f"s-{one.id:08x}", "index": one.number, "days": round(one.lived / 86_400e6, 2)}
            for one in record.tombs
        ],
        "tariffs": [
            {"name": one.name, "answers": one.seen, "mean_ms": round(one.mean / 1000, 1)}
            for one in record.tariffs
        ],
        "limits": len(record.limits),
    }


def verified(folder: Folder) -> list[tuple[str, bool, str]]:
    """For each file that is there: its name, whether it can be used, and a line."""
    return [
        (
            name,
            record is not None,
            short(trouble)
            if record is None
            else f"whole, serial {serial}, {len(record.engines)} engines, index {record.number}",
        )
        for name, serial, record, trouble in folder.each()
    ]


def forgotten(record: Record, engine: int) -> Record:
    """Without this engine, and with a tombstone that only later news of the register lifts. KeyError."""
    known = next((one for one in record.engines if one.id == engine), None)
    if known is None:
        raise KeyError(engine)
    return msgspec.structs.replace(
        record,
        engines=[one for one in record.engines if one.id != engine],
        limits=[one for one in record.limits if one.id != engine],
        tombs=[*record.tombs, Tomb(engine, known.started, record.number, 0)],
    )


def forget(folder: Folder, engine: int) -> None:
    """On a stopped gateway. Both generations, or the older one would still name it. OSError, KeyError."""
    if not folder.lock():
        raise BlockingIOError(f"{folder.path}: its gateway runs; ask that one")
    found = folder.read().record
    if found is None:
        raise KeyError(engine)
    record = forgotten(found, engine)
    folder.write(record)
    folder.write(record)
