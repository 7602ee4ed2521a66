"""Whether a change is fit to be proposed: every reason against it, in one answer."""

from __future__ import annotations

import re
from collections import Counter

from cresstray.fleet_config.documents import Documents, FleetInventory
from cresstray.fleet_config.strictest import gateway_divisor

_NAME = re.compile(r"[0-9A-Za-z_.:@-]{1,64}")
# What a node sends to a gateway that knows nothing is so long at most: half of what fits into its parts.
MAX_DOCUMENTS_BYTES = 8 * 1024 * 1024


def validation_errors(
    old: Documents, new: Documents, world: FleetInventory, departed_count: int = 0
) -> list[str]:
    """Every refusal, in order; none: fit. `departed_count`: gateways not named any more that may still run.

    What does not change is not judged again: the file may have changed, and a move may leave a pin behind.
    """
    return [
        *_gateways(new, world, departed_count),
        *_engines(old, new, world),
        *_named("tenant", old, new, world.tenants),
        *_named("tariff", old, new, world.request_classes),
        *_placement(old, new, world),
        *_replicas(old, new, world),
    ]


def _gateways(new: Documents, world: FleetInventory, departed_count: int) -> list[str]:
    given, told = new.gateways, []
    named, needed = len(given.items), gateway_divisor(given, departed_count)
    if not named:
        told.append("gateways: none is named, and all would stop")
    if given.count and given.count < named:
        told.append(f"gateways: count {given.count} is less than the {named} that are named")
    if given.count > world.max_gateways:
        told.append(f"gateways: count {given.count} is more than the file's most, {world.max_gateways}")
    elif needed > world.max_gateways:
        behind = f" and {departed_count} not yet known to be out" if departed_count else ""
        told.append(f"gateways: {named} named{behind} are more than the file's most, {world.max_gateways}")
    if given.count_without_lease and given.count_without_lease < needed:
        told.append(f"gateways: floor {given.count_without_lease} is less than the {needed} that count")
    if given.count_without_lease > world.max_gateways:
        told.append(
            f"gateways: floor {given.count_without_lease} is more than the file's most, {world.max_gateways}"
        )
    return told


def _engines(old: Documents, new: Documents, world: FleetInventory) -> list[str]:
    if not world.engines or old.engines == new.engines:
        return []
    told = [
        f"engines: there is no engine {name!r}"
        for name, rule in new.engines.items.items()
        if name not in world.engines and old.engines.items.get(name) != rule
    ]
    # No work is as much as barred.
    barred = Counter(
        world.engines[name]
        for name, rule in new.engines.items.items()
        if name in world.engines and (rule.is_barred or not rule.work_fraction)
    )
    zones = Counter(world.engines.values())
    for zone, count in sorted(barred.items()):
        # Load that the rest of a zone can't bear overloads it: barring is for a few. One always may be.
        most = max(1, int(world.max_barred_fraction * zones[zone] + 1e-9))
        if count > most:
            told.append(f"engines: {count} of {zones[zone]} barred in zone {zone!r}, {most} may be")
    return told


def _named(kind: str, old: Documents, new: Documents, known: tuple[str, ...]) -> list[str]:
    before = old.document(f"{kind}s").items
    after = new.document(f"{kind}s").items
    return [
        f"{kind}s: there is no {kind} {name!r}"
        for name, rule in after.items()
        if known and name not in known and before.get(name) != rule
    ]


def _placement(old: Documents, new: Documents, world: FleetInventory) -> list[str]:
    told = []
    for name, shard in new.placement.items.items():
        at, before = f"placement: shard {name}: ", old.placement.items.get(name)
        if shard == before:
            continue
        if not 1 <= len(shard.copies) <= 3 or len(set(shard.copies)) < len(shard.copies):
            told.append(f"{at}{len(shard.copies)} copies, not one to three that differ")
        told += [
            f"{at}there is no engine {copy!r}"
            for copy in shard.copies
            if world.engines and copy not in world.engines
        ]
        if shard.primary and shard.primary not in shard.copies:
            told.append(f"{at}its primary {shard.primary} is none of its copies")
        told += [
            f"{at}{copy} is to be read and is none of its copies"
            for copy in shard.reads
            if copy not in shard.copies
        ]
        if len(set(shard.reads)) < len(shard.reads):
            told.append(f"{at}a copy to be read twice")
        if before is not None and shard.epoch < before.epoch:
            told.append(f"{at}epoch {shard.epoch} after {before.epoch}")
        elif before is not None and shard.primary != before.primary and shard.epoch == before.epoch:
            told.append(f"{at}another primary needs a higher epoch than {before.epoch}")
    return told


def _replicas(old: Documents, new: Documents, world: FleetInventory) -> list[str]:
    told = []
    placed = {copy for shard in new.placement.items.values() for copy in shard.copies}
    for name, pin in new.replicas.items.items():
        at = f"replicas: pin {name}: "
        if pin == old.replicas.items.get(name):
            continue
        if not _NAME.fullmatch(name):
            told.append(f"{at}not a name")
        if not pin.request_class and not pin.tenant:
            told.append(f"{at}neither a tariff nor a tenant")
        if pin.request_class and world.request_classes and pin.request_class not in world.request_classes:
            told.append(f"{at}there is no tariff {pin.request_class!r}")
        if pin.tenant and world.tenants and pin.tenant not in world.tenants:
            told.append(f"{at}there is no tenant {pin.tenant!r}")
        if bool(pin.copies) == bool(pin.zone):
            told.append(f"{at}either copies or a zone, not both and not neither")
        if pin.zone and world.engines and pin.zone not in world.engines.values():
            told.append(f"{at}there is no zone {pin.zone!r}")
        told += [f"{at}no shard has a copy on {copy}" for copy in pin.copies if copy not in placed]
        if not pin.until_s:
            told.append(f"{at}it has no end")
    return told
