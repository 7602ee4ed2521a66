"""The strictest of two contents, field by field: what either forbids, it forbids.

It holds while a change is joint.
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
    """By how many the shares of the engines are divided.

    `departed_count`: gateways that are not named any more and may still run.
    """
    return max(gateways.count, len(gateways.items) + departed_count)


def has_no_gateway_list(documents: Documents) -> bool:
    """Whether no list of gateways has ever been agreed on: then any may run, each by the file's most."""
    return not documents.version("gateways")


def strictest(old: Documents, new: Documents) -> Documents:
    """In either order the same; of one with itself, itself but for `count`, which then says the divisor."""
    return Documents(
        _gateways(old, new),
        EngineRules(_engines(old.engines.items, new.engines.items)),
        TenantRules(_tenants(old.tenants.items, new.tenants.items)),
        RequestClassRules(_tariffs(old.request_classes.items, new.request_classes.items)),
        Placement(_placement(old.placement.items, new.placement.items)),
        Replicas(_replicas(old.replicas.items, new.replicas.items)),
        # Of an unagreed list nothing is known; the other's version says which one is meant.
        {
            name: min(old.version(name), new.version(name)) or max(old.version(name), new.version(name))
            for name in sorted(NAMES)
            if old.version(name) or new.version(name)
        },
    )


def _gateways(old: Documents, new: Documents) -> GatewayList:
    one, other = old.gateways, new.gateways
    if has_no_gateway_list(old) != has_no_gateway_list(new):
        # The first list against none would leave nobody who may send. Without a list, whoever runs may.
        names = other.items if has_no_gateway_list(old) else one.items
    else:
        names = {name: item for name, item in one.items.items() if name in other.items}
    floor = (
        0
        if not one.count_without_lease or not other.count_without_lease
        else max(one.count_without_lease, other.count_without_lease)
    )  # 0: the most of all
    return GatewayList(dict(sorted(names.items())), max(gateway_divisor(one), gateway_divisor(other)), floor)


def _union(old: Mapping[str, object], new: Mapping[str, object]) -> list[str]:
    return sorted({**old, **new})


def _engines(old: dict[str, EngineRule], new: dict[str, EngineRule]) -> dict[str, EngineRule]:
    both = ((name, old.get(name, EngineRule()), new.get(name, EngineRule())) for name in _union(old, new))
    return {
        name: EngineRule(one.is_barred or other.is_barred, min(one.work_fraction, other.work_fraction))
        for name, one, other in both
    }


def _tenants(old: dict[str, TenantRule], new: dict[str, TenantRule]) -> dict[str, TenantRule]:
    both = ((name, old.get(name, TenantRule()), new.get(name, TenantRule())) for name in _union(old, new))
    return {
        name: TenantRule(one.is_barred or other.is_barred, min(one.share, other.share))
        for name, one, other in both
    }


def _tariffs(
    old: dict[str, RequestClassRule], new: dict[str, RequestClassRule]
) -> dict[str, RequestClassRule]:
    both = (
        (name, old.get(name, RequestClassRule()), new.get(name, RequestClassRule()))
        for name in _union(old, new)
    )
    return {
        name: RequestClassRule(
            one.is_stopped or other.is_stopped, min(one.retry_budget_scale, other.retry_budget_scale)
        )
        for name, one, other in both
    }


def _placement(old: dict[str, Shard], new: dict[str, Shard]) -> dict[str, Shard]:
    # A shard in only one of both: the other lets its work go anywhere, this one to its copies only. Only the
    # copies may be read or written by both, so its rule holds as it is.
    return {name: _shard(old.get(name), new.get(name)) for name in _union(old, new)}


def _shard(one: Shard | None, other: Shard | None) -> Shard:
    if one is None:
        return other or Shard()
    if other is None or one == other:
        return one
    # Of two primaries, or one of two epochs, both could take writes at once: then none may.
    same = one.primary == other.primary and one.epoch == other.epoch
    copies = tuple(copy for copy in sorted(one.copies) if copy in other.copies)
    reads = tuple(copy for copy in sorted(one.reads) if copy in other.reads and copy in copies)
    return Shard(copies, one.primary if same else "", max(one.epoch, other.epoch), reads)


def _replicas(old: dict[str, Pin], new: dict[str, Pin]) -> dict[str, Pin]:
    made = {}
    for name in _union(old, new):
        pins = [pin for pin in (old.get(name), new.get(name)) if pin is not None]
        if len(pins) == 2 and pins[0] == pins[1]:
            made[name] = pins[0]
            continue
        # A strict pin forbids all other copies, a preference forbids nothing. Of a strict one that changes,
        # both hold; no name that may be proposed ends like the second's.
        strict = sorted((pin for pin in pins if pin.is_strict), key=msgspec.msgpack.encode)
        made |= zip((name, name + "'"), strict)
    return dict(sorted(made.items()))
