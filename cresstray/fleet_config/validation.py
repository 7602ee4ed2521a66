"""Validates a change of the documents and reports every reason against it at once."""

from __future__ import annotations

import re
from collections import Counter

from cresstray.fleet_config.documents import Documents, FleetInventory
from cresstray.fleet_config.strictest import gateway_divisor

_NAME = re.compile(r"[0-9A-Za-z_.:@-]{1,64}")
# Bounds the encoded documents, which a node sends to a new gateway: half of what fits into MAX_PARTS parts.
MAX_DOCUMENTS_BYTES = 8 * 1024 * 1024


def validation_errors(
    old: Documents, new: Documents, inventory: FleetInventory, departed_count: int = 0
) -> list[str]:
    """Returns every reason against the change, in order of the documents; empty if the change is valid.

    Unchanged items are not validated again: the operator's file may have changed since, and a move of a shard
    may leave a pin to its former replica.

    Args:
        old: The documents that the change follows.
        new: The documents after the change.
        inventory: What the operator's file says of the fleet.
        departed_count: Number of gateways that are no longer named and may still run.
    """
    return [
        *_gateways(new, inventory, departed_count),
        *_engines(old, new, inventory),
        *_known_names("tenant", old, new, inventory.tenants),
        *_known_names("tariff", old, new, inventory.request_classes),
        *_placement(old, new, inventory),
        *_replicas(old, new, inventory),
    ]


def _gateways(new: Documents, inventory: FleetInventory, departed_count: int) -> list[str]:
    gateway_list, errors = new.gateways, []
    named_count, divisor = len(gateway_list.items), gateway_divisor(gateway_list, departed_count)
    if not named_count:
        errors.append("gateways: none is named, and all would stop")
    if gateway_list.count and gateway_list.count < named_count:
        errors.append(f"gateways: count {gateway_list.count} is less than the {named_count} that are named")
    if gateway_list.count > inventory.max_gateways:
        errors.append(
            f"gateways: count {gateway_list.count} is more than the file's most, {inventory.max_gateways}"
        )
    elif divisor > inventory.max_gateways:
        departed = f" and {departed_count} not yet known to be out" if departed_count else ""
        errors.append(
            f"gateways: {named_count} named{departed} are more than the file's most, {inventory.max_gateways}"
        )
    if gateway_list.count_without_lease and gateway_list.count_without_lease < divisor:
        errors.append(
            f"gateways: floor {gateway_list.count_without_lease} is less than the {divisor} that count"
        )
    if gateway_list.count_without_lease > inventory.max_gateways:
        errors.append(
            f"gateways: floor {gateway_list.count_without_lease} is more than the file's most,"
            f" {inventory.max_gateways}"
        )
    return errors


def _engines(old: Documents, new: Documents, inventory: FleetInventory) -> list[str]:
    if not inventory.engines or old.engines == new.engines:
        return []
    errors = [
        f"engines: there is no engine {name!r}"
        for name, rule in new.engines.items.items()
        if name not in inventory.engines and old.engines.items.get(name) != rule
    ]
    # An engine whose work fraction is 0 counts as barred.
    barred = Counter(
        inventory.engines[name]
        for name, rule in new.engines.items.items()
        if name in inventory.engines and (rule.is_barred or not rule.work_fraction)
    )
    zones = Counter(inventory.engines.values())
    for zone, count in sorted(barred.items()):
        # The other engines of a zone take over the load of the barred ones; too many barred engines would
        # overload them. One engine may always be barred.
        max_barred = max(1, int(inventory.max_barred_fraction * zones[zone] + 1e-9))
        if count > max_barred:
            errors.append(f"engines: {count} of {zones[zone]} barred in zone {zone!r}, {max_barred} may be")
    return errors


def _known_names(kind: str, old: Documents, new: Documents, known: tuple[str, ...]) -> list[str]:
    before = old.document(f"{kind}s").items
    after = new.document(f"{kind}s").items
    return [
        f"{kind}s: there is no {kind} {name!r}"
        for name, rule in after.items()
        if known and name not in known and before.get(name) != rule
    ]


def _placement(old: Documents, new: Documents, inventory: FleetInventory) -> list[str]:
    errors = []
    for name, shard in new.placement.items.items():
        prefix, before = f"placement: shard {name}: ", old.placement.items.get(name)
        if shard == before:
            continue
        if not 1 <= len(shard.copies) <= 3 or len(set(shard.copies)) < len(shard.copies):
            errors.append(f"{prefix}{len(shard.copies)} copies, not one to three that differ")
        errors += [
            f"{prefix}there is no engine {copy!r}"
            for copy in shard.copies
            if inventory.engines and copy not in inventory.engines
        ]
        if shard.primary and shard.primary not in shard.copies:
            errors.append(f"{prefix}its primary {shard.primary} is none of its copies")
        errors += [
            f"{prefix}{copy} is to be read and is none of its copies"
            for copy in shard.reads
            if copy not in shard.copies
        ]
        if len(set(shard.reads)) < len(shard.reads):
            errors.append(f"{prefix}a copy to be read twice")
        if before is not None and shard.epoch < before.epoch:
            errors.append(f"{prefix}epoch {shard.epoch} after {before.epoch}")
        elif before is not None and shard.primary != before.primary and shard.epoch == before.epoch:
            errors.append(f"{prefix}another primary needs a higher epoch than {before.epoch}")
    return errors


def _replicas(old: Documents, new: Documents, inventory: FleetInventory) -> list[str]:
    errors = []
    placed_copies = {copy for shard in new.placement.items.values() for copy in shard.copies}
    for name, pin in new.replicas.items.items():
        prefix = f"replicas: pin {name}: "
        if pin == old.replicas.items.get(name):
            continue
        if not _NAME.fullmatch(name):
            errors.append(f"{prefix}not a name")
        if not pin.request_class and not pin.tenant:
            errors.append(f"{prefix}neither a tariff nor a tenant")
        if (
            pin.request_class
            and inventory.request_classes
            and pin.request_class not in inventory.request_classes
        ):
            errors.append(f"{prefix}there is no tariff {pin.request_class!r}")
        if pin.tenant and inventory.tenants and pin.tenant not in inventory.tenants:
            errors.append(f"{prefix}there is no tenant {pin.tenant!r}")
        if bool(pin.copies) == bool(pin.zone):
            errors.append(f"{prefix}either copies or a zone, not both and not neither")
        if pin.zone and inventory.engines and pin.zone not in inventory.engines.values():
            errors.append(f"{prefix}there is no zone {pin.zone!r}")
        errors += [
            f"{prefix}no shard has a copy on {copy}" for copy in pin.copies if copy not in placed_copies
        ]
        if not pin.until_s:
            errors.append(f"{prefix}it has no end")
    return errors
