"""Merges two versions of the documents, field by field, into one that forbids whatever either forbids.

The merged documents apply while a change is joint.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from cresstray.fleet_config.documents import (
    NAMES,
    Documents,
    EngineRule,
    EngineRules,
    GatewayList,
    Pin,
    Placement,
    Replicas,
    RequestClassRule,
    RequestClassRules,
    Shard,
    TenantRule,
    TenantRules,
)


def gateway_divisor(gateways: GatewayList, departed_count: int = 0) -> int:
    """Returns the number by which the gateways divide the engines' capacity.

    `departed_count` is the number of gateways that are no longer named and may still run.
    """
    return max(gateways.count, len(gateways.items) + departed_count)


def has_no_gateway_list(documents: Documents) -> bool:
    """Returns whether no gateway list has ever been committed.

    Until then any gateway may run, and each divides by the inventory's `max_gateways`.
    """
    return not documents.version("gateways")


def strictest(old: Documents, new: Documents) -> Documents:
    """Returns the merged documents; the order of the arguments doesn't matter.

    Documents merged with themselves stay the same, except that `gateways.count` becomes the divisor.
    """
    return Documents(
        _gateways(old, new),
        EngineRules(_engines(old.engines.items, new.engines.items)),
        TenantRules(_tenants(old.tenants.items, new.tenants.items)),
        RequestClassRules(_request_classes(old.request_classes.items, new.request_classes.items)),
        Placement(_placement(old.placement.items, new.placement.items)),
        Replicas(_replicas(old.replicas.items, new.replicas.items)),
        # Version 0 says that a document was never committed; then the other version applies.
        {
            name: min(old.version(name), new.version(name)) or max(old.version(name), new.version(name))
            for name in sorted(NAMES)
            if old.version(name) or new.version(name)
        },
    )


def _gateways(old: Documents, new: Documents) -> GatewayList:
    old_list, new_list = old.gateways, new.gateways
    if has_no_gateway_list(old) != has_no_gateway_list(new):
        # Without a list any gateway may run, so the first list applies as it is; its intersection with an
        # empty list would allow no gateway at all.
        names = new_list.items if has_no_gateway_list(old) else old_list.items
    else:
        names = {name: item for name, item in old_list.items.items() if name in new_list.items}
    # 0 stands for the inventory's `max_gateways`, which is the strictest.
    count_without_lease = (
        0
        if not old_list.count_without_lease or not new_list.count_without_lease
        else max(old_list.count_without_lease, new_list.count_without_lease)
    )
    return GatewayList(
        dict(sorted(names.items())),
        max(gateway_divisor(old_list), gateway_divisor(new_list)),
        count_without_lease,
    )


def _sorted_union(old: Mapping[str, object], new: Mapping[str, object]) -> list[str]:
    return sorted({**old, **new})


def _engines(old: dict[str, EngineRule], new: dict[str, EngineRule]) -> dict[str, EngineRule]:
    rule_pairs = (
        (name, old.get(name, EngineRule()), new.get(name, EngineRule())) for name in _sorted_union(old, new)
    )
    return {
        name: EngineRule(
            old_rule.is_barred or new_rule.is_barred, min(old_rule.work_fraction, new_rule.work_fraction)
        )
        for name, old_rule, new_rule in rule_pairs
    }


def _tenants(old: dict[str, TenantRule], new: dict[str, TenantRule]) -> dict[str, TenantRule]:
    rule_pairs = (
        (name, old.get(name, TenantRule()), new.get(name, TenantRule())) for name in _sorted_union(old, new)
    )
    return {
        name: TenantRule(old_rule.is_barred or new_rule.is_barred, min(old_rule.share, new_rule.share))
        for name, old_rule, new_rule in rule_pairs
    }


def _request_classes(
    old: dict[str, RequestClassRule], new: dict[str, RequestClassRule]
) -> dict[str, RequestClassRule]:
    rule_pairs = (
        (name, old.get(name, RequestClassRule()), new.get(name, RequestClassRule()))
        for name in _sorted_union(old, new)
    )
    return {
        name: RequestClassRule(
            old_rule.is_stopped or new_rule.is_stopped,
            min(old_rule.retry_budget_scale, new_rule.retry_budget_scale),
        )
        for name, old_rule, new_rule in rule_pairs
    }


def _placement(old: dict[str, Shard], new: dict[str, Shard]) -> dict[str, Shard]:
    # Documents without a rule for a shard allow its requests on any engine. If only one version has a rule,
    # that rule is the stricter one and applies as it is.
    return {name: _shard(old.get(name), new.get(name)) for name in _sorted_union(old, new)}


def _shard(old: Shard | None, new: Shard | None) -> Shard:
    if old is None:
        return new or Shard()
    if new is None or old == new:
        return old
    # With two primaries, or one primary in two epochs, both could accept writes at once: no engine may.
    has_same_primary = old.primary == new.primary and old.epoch == new.epoch
    copies = tuple(copy for copy in sorted(old.copies) if copy in new.copies)
    reads = tuple(copy for copy in sorted(old.reads) if copy in new.reads and copy in copies)
    return Shard(copies, old.primary if has_same_primary else "", max(old.epoch, new.epoch), reads)


def _replicas(old: dict[str, Pin], new: dict[str, Pin]) -> dict[str, Pin]:
    merged = {}
    for name in _sorted_union(old, new):
        pins = [pin for pin in (old.get(name), new.get(name)) if pin is not None]
        if len(pins) == 2 and pins[0] == pins[1]:
            merged[name] = pins[0]
            continue
        # A strict pin forbids all other copies; a pin that isn't strict is a preference and forbids nothing.
        # If a strict pin changes, both versions apply. The second gets a name that no proposal can contain.
        strict = sorted((pin for pin in pins if pin.is_strict), key=msgspec.msgpack.encode)
        merged |= zip((name, name + "'"), strict)
    return dict(sorted(merged.items()))
