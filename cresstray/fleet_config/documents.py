"""The documents that a fleet shares: their types, what differs between two of them, and how that is told."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Za-z_.:@-]{1,64}$")]
# Names of tariffs and tenants are free text of the deploy file.
Label = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Part = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _Typed(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    pass


class Gateway(_Typed):
    """One gateway by its name; it has no rules of its own."""


class EngineRule(_Typed):
    barred: bool = False
    work: Part = 1.0  # of what it would be given


class TenantRule(_Typed):
    barred: bool = False
    share: Part = 1.0  # of the work that a gateway takes in


class TariffRule(_Typed):
    stopped: bool = False
    further: Part = 1.0  # of the budget of further relays


class Shard(_Typed):
    copies: tuple[Name, ...] = ()
    primary: str = ""  # none may be written
    epoch: Number = 0
    reads: tuple[Name, ...] = ()  # of the copies, those that may be read


class Pin(_Typed):
    """Reads of a tariff, a tenant or both go to these copies, or to a zone's; `until`: Unix seconds."""

    tariff: str = ""
    tenant: str = ""
    copies: tuple[Name, ...] = ()
    zone: str = ""
    strict: bool = False
    until: Number = 0


class Gateways(_Typed):
    """`count`: gateways that share the engines, 0: as many as named; `floor`: without a lease, 0: most."""

    items: dict[Name, Gateway] = {}
    count: Count = 0
    floor: Count = 0


class Engines(_Typed):
    items: dict[Name, EngineRule] = {}


class Tenants(_Typed):
    items: dict[Label, TenantRule] = {}


class Tariffs(_Typed):
    items: dict[Label, TariffRule] = {}


class Placement(_Typed):
    items: dict[Name, Shard] = {}


class Replicas(_Typed):
    items: dict[Label, Pin] = {}  # while joint, a changed strict pin is there twice, the second as "NAME'"


TYPES: dict[str, type] = {
    "gateways": Gateways,
    "engines": Engines,
    "tenants": Tenants,
    "tariffs": Tariffs,
    "placement": Placement,
    "replicas": Replicas,
}
NAMES: tuple[str, ...] = tuple(TYPES)


class Documents(_Typed):
    """All of them; a document's version is the number of the change that last touched it."""

    gateways: Gateways = Gateways()
    engines: Engines = Engines()
    tenants: Tenants = Tenants()
    tariffs: Tariffs = Tariffs()
    placement: Placement = Placement()
    replicas: Replicas = Replicas()
    versions: dict[str, Number] = {}

    def version(self, name: str) -> int:
        return self.versions.get(name, 0)


EMPTY = Documents()


class World(_Typed):
    """What does not change while the fleet runs, from the operator's file; what is empty is not known."""

    most: Annotated[int, msgspec.Meta(ge=1)] = 1  # gateways that may ever run at once
    most_barred: Part = 1 / 3  # of the engines of a zone
    engines: dict[str, str] = {}  # the zone of each
    tariffs: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()


def parsed(given: Mapping[str, Any]) -> Documents:
    """Documents out of plain maps, as an operator's JSON has them; ValueError names what is wrong."""
    try:
        found = msgspec.convert(given, Documents)
    except msgspec.ValidationError as trouble:
        raise ValueError(str(trouble)) from None
    unknown = sorted(set(found.versions) - set(NAMES))
    if unknown:
        raise ValueError(f"there is no document {unknown[0]!r} that could have a version")
    return tidy(found)


def plain(documents: Documents) -> dict[str, Any]:
    """Plain maps, for JSON; `parsed` reads them again."""
    return {
        **{name: _filled(getattr(documents, name)) for name in NAMES},
        "versions": {name: documents.version(name) for name in NAMES},
    }


def _filled(document: Any) -> dict[str, Any]:
    made = {field: getattr(document, field) for field in document.__struct_fields__ if field != "items"}
    made["items"] = {
        name: {
            field: list(value) if isinstance(value, tuple) else value
            for field, value in msgspec.structs.asdict(item).items()
        }
        for name, item in document.items.items()
    }
    return made


def tidy(documents: Documents) -> Documents:
    """The same with all items in the order of their names, so that equal documents are equal bytes."""
    made = {
        name: msgspec.structs.replace(document, items=dict(sorted(document.items.items())))
        for name in NAMES
        for document in [getattr(documents, name)]
    }
    return Documents(**made, versions=dict(sorted(documents.versions.items())))


class _Change(msgspec.Struct, array_like=True, frozen=True):
    """What differs in one document; `plain`: its fields beside the items."""

    name: str
    version: Number
    plain: dict[str, int]
    put: dict[str, Any]
    dropped: list[str]


_encode = msgspec.msgpack.Encoder(order="sorted").encode
_changes = msgspec.msgpack.Decoder(list[_Change]).decode


def delta(old: Documents, new: Documents) -> bytes:
    """Only what differs, item by item, with the new versions."""
    changes = []
    for name in NAMES:
        before, after = getattr(old, name), getattr(new, name)
        if before == after and old.version(name) == new.version(name):
            continue
        plain = {
            field: getattr(after, field)
            for field in after.__struct_fields__
            if field != "items" and getattr(after, field) != getattr(before, field)
        }
        put = {key: item for key, item in after.items.items() if before.items.get(key) != item}
        dropped = sorted(key for key in before.items if key not in after.items)
        changes.append(_Change(name, new.version(name), plain, put, dropped))
    return _encode(changes)


def patched(old: Documents, delta: bytes) -> Documents:
    """`old` with what differs; ValueError where that can't be a delta of these documents."""
    try:
        changes = _changes(delta)
        made, versions = {}, dict(old.versions)
        for change in changes:
            document = getattr(old, change.name) if change.name in TYPES else None
            if document is None or change.name in made:
                raise ValueError(f"no document {change.name!r}, or twice")
            dropped = set(change.dropped)
            items = {key: item for key, item in document.items.items() if key not in dropped}
            given = {field: getattr(document, field) for field in document.__struct_fields__} | change.plain
            fresh = msgspec.convert({**change.plain, "items": change.put}, type(document))
            given["items"] = dict(sorted((items | fresh.items).items()))
            made[change.name] = type(document)(**given)
            if change.version:
                versions[change.name] = change.version
            else:
                versions.pop(change.name, None)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, TypeError) as trouble:
        raise ValueError(f"not a change of documents: {trouble}") from None
    return msgspec.structs.replace(old, **made, versions=dict(sorted(versions.items())))


def touched(change: bytes) -> tuple[str, ...]:
    """The names of the documents that a delta touches; ValueError."""
    try:
        return tuple(one.name for one in _changes(change))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
        raise ValueError(f"not a change of documents: {trouble}") from None
