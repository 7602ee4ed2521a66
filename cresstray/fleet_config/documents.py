"""The configuration documents that a fleet shares, and deltas between two versions of them.

Names that are stored in the replicated log and written in operators' JSON stay; this module maps them:

| stored | here |
| --- | --- |
| `tariffs` (document; operator's file) | `request_classes` |
| `further` | `retry_budget_scale` |
| `floor` | `count_without_lease` |
| `work`, `barred`, `stopped`, `strict` | `work_fraction`, `is_barred`, `is_stopped`, `is_strict` |
| `tariff`, `until` (of a pin) | `request_class`, `until_s` |
| `most`, `most_barred` | `max_gateways`, `max_barred_fraction` |
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Za-z_.:@-]{1,64}$")]
# Names of request classes and tenants are free text of the deploy file.
Label = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Part = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _Typed(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A value of a document; unknown fields are refused, defaults are not written."""


class Gateway(_Typed, frozen=True):
    """One gateway by its name; it has no rules of its own."""


class EngineRule(_Typed, frozen=True, rename={"is_barred": "barred", "work_fraction": "work"}):
    """What the fleet lets gateways do on one engine."""

    is_barred: bool = False
    work_fraction: Part = 1.0  # of what it would be given


class TenantRule(_Typed, frozen=True, rename={"is_barred": "barred"}):
    """What the fleet lets one tenant do."""

    is_barred: bool = False
    share: Part = 1.0  # of the work that a gateway takes in


class RequestClassRule(
    _Typed, frozen=True, rename={"is_stopped": "stopped", "retry_budget_scale": "further"}
):
    """What the fleet lets requests of one class do."""

    is_stopped: bool = False
    retry_budget_scale: Part = 1.0  # of the retry budget


class Shard(_Typed, frozen=True):
    """Where the replicas of one shard are, and which of them may be written or read."""

    copies: tuple[Name, ...] = ()
    primary: str = ""  # none may be written
    epoch: Number = 0
    reads: tuple[Name, ...] = ()  # of the copies, those that may be read


class Pin(_Typed, frozen=True, rename={"request_class": "tariff", "is_strict": "strict", "until_s": "until"}):
    """Reads of a request class, a tenant or both go to these replicas, or to a zone's.

    `until_s` is a Unix time in seconds.
    """

    request_class: str = ""
    tenant: str = ""
    copies: tuple[Name, ...] = ()
    zone: str = ""
    is_strict: bool = False
    until_s: Number = 0


class GatewayList(_Typed, frozen=True, rename={"count_without_lease": "floor"}):
    """The gateways of the fleet.

    `count`: gateways that share the engines; 0: as many as are named. `count_without_lease`: by how many a
    gateway without a lease divides; 0: by the most that may ever run.
    """

    items: dict[Name, Gateway] = {}
    count: Count = 0
    count_without_lease: Count = 0


class EngineRules(_Typed, frozen=True):
    """Rules by engine id."""

    items: dict[Name, EngineRule] = {}


class TenantRules(_Typed, frozen=True):
    """Rules by tenant name."""

    items: dict[Label, TenantRule] = {}


class RequestClassRules(_Typed, frozen=True):
    """Rules by request class name."""

    items: dict[Label, RequestClassRule] = {}


class Placement(_Typed, frozen=True):
    """Shards by name."""

    items: dict[Name, Shard] = {}


class Replicas(_Typed, frozen=True):
    """Pins by name."""

    items: dict[Label, Pin] = {}  # while joint, a changed strict pin is there twice, the second as "NAME'"


TYPES: dict[str, type] = {
    "gateways": GatewayList,
    "engines": EngineRules,
    "tenants": TenantRules,
    "tariffs": RequestClassRules,
    "placement": Placement,
    "replicas": Replicas,
}
NAMES: tuple[str, ...] = tuple(TYPES)
# Where a document's stored name is not the name of its field.
_FIELDS = {"tariffs": "request_classes"}


class Documents(_Typed, frozen=True, rename={"request_classes": "tariffs"}):
    """All documents; a document's version is the number of the change that last touched it."""

    gateways: GatewayList = GatewayList()
    engines: EngineRules = EngineRules()
    tenants: TenantRules = TenantRules()
    request_classes: RequestClassRules = RequestClassRules()
    placement: Placement = Placement()
    replicas: Replicas = Replicas()
    versions: dict[str, Number] = {}

    def version(self, name: str) -> int:
        """The version of the document of this stored name; 0 where none was ever agreed on."""
        return self.versions.get(name, 0)

    def document(self, name: str) -> Any:
        """The document of this stored name, one of NAMES."""
        return getattr(self, _FIELDS.get(name, name))

    def with_documents(self, changed: Mapping[str, Any]) -> Documents:
        """The same with other documents, by their stored names."""
        return msgspec.structs.replace(
            self, **{_FIELDS.get(name, name): document for name, document in changed.items()}
        )

    def with_versions(self, versions: Mapping[str, int]) -> Documents:
        """The same with other versions, in the order of their names."""
        return msgspec.structs.replace(self, versions=dict(sorted(versions.items())))


EMPTY = Documents()


class FleetInventory(
    _Typed,
    frozen=True,
    rename={
        "max_gateways": "most",
        "max_barred_fraction": "most_barred",
        "request_classes": "tariffs",
    },
):
    """What does not change while the fleet runs, from the operator's file; what is empty is not known."""

    max_gateways: Annotated[int, msgspec.Meta(ge=1)] = 1  # gateways that may ever run at once
    max_barred_fraction: Part = 1 / 3  # of the engines of a zone
    engines: dict[str, str] = {}  # the zone of each
    request_classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()


def parse_documents(given: Mapping[str, Any]) -> Documents:
    """Documents out of plain maps, as an operator's JSON has them; ValueError names what is wrong."""
    try:
        found = msgspec.convert(given, Documents)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from None
    unknown = sorted(set(found.versions) - set(NAMES))
    if unknown:
        raise ValueError(f"there is no document {unknown[0]!r} that could have a version")
    return sorted_documents(found)


def to_plain(documents: Documents) -> dict[str, Any]:
    """Plain maps with every field, for JSON; `parse_documents` reads them again."""
    return {
        **{name: _document_to_plain(documents.document(name)) for name in NAMES},
        "versions": {name: documents.version(name) for name in NAMES},
    }


def _document_to_plain(document: Any) -> dict[str, Any]:
    plain = _plain_fields(document)
    plain["items"] = {name: _item_to_plain(item) for name, item in document.items.items()}
    return plain


def _plain_fields(document: Any) -> dict[str, Any]:
    """The fields beside the items, by their stored names."""
    names = zip(document.__struct_fields__, document.__struct_encode_fields__, strict=True)
    return {stored: getattr(document, field) for field, stored in names if field != "items"}


def _item_to_plain(item: Any) -> dict[str, Any]:
    names = zip(item.__struct_fields__, item.__struct_encode_fields__, strict=True)
    values = ((stored, getattr(item, field)) for field, stored in names)
    return {stored: list(value) if isinstance(value, tuple) else value for stored, value in values}


def _sorted_items(document: Any) -> Any:
    return msgspec.structs.replace(document, items=dict(sorted(document.items.items())))


def sorted_documents(documents: Documents) -> Documents:
    """The same with all items in the order of their names, so that equal documents are equal bytes."""
    ordered = {name: _sorted_items(documents.document(name)) for name in NAMES}
    return documents.with_documents(ordered).with_versions(documents.versions)


class _Change(msgspec.Struct, array_like=True, frozen=True):
    """What differs in one document; `fields`: those beside the items, by their stored names."""

    name: str
    version: Number
    fields: dict[str, int]
    put: dict[str, Any]
    dropped: list[str]


_encode = msgspec.msgpack.Encoder(order="sorted").encode
_changes = msgspec.msgpack.Decoder(list[_Change]).decode


def encode_delta(old: Documents, new: Documents) -> bytes:
    """Only what differs, item by item, with the new versions."""
    changes = []
    for name in NAMES:
        before, after = old.document(name), new.document(name)
        if before == after and old.version(name) == new.version(name):
            continue
        changes.append(_change(name, new.version(name), before, after))
    return _encode(changes)


def _change(name: str, version: int, before: Any, after: Any) -> _Change:
    fields_before = _plain_fields(before)
    fields = {field: value for field, value in _plain_fields(after).items() if value != fields_before[field]}
    put = {key: item for key, item in after.items.items() if before.items.get(key) != item}
    dropped = sorted(key for key in before.items if key not in after.items)
    return _Change(name, version, fields, put, dropped)


def apply_delta(old: Documents, delta: bytes) -> Documents:
    """The old documents with what differs; ValueError where that can't be a delta of these documents."""
    try:
        changed: dict[str, Any] = {}
        versions = dict(old.versions)
        for change in _changes(delta):
            if change.name not in TYPES or change.name in changed:
                raise ValueError(f"no document {change.name!r}, or twice")
            changed[change.name] = _apply_change(old.document(change.name), change)
            if change.version:
                versions[change.name] = change.version
            else:
                versions.pop(change.name, None)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, TypeError) as error:
        raise ValueError(f"not a change of documents: {error}") from None
    return old.with_documents(changed).with_versions(versions)


def _apply_change(document: Any, change: _Change) -> Any:
    dropped = set(change.dropped)
    items = {key: item for key, item in document.items.items() if key not in dropped}
    fields = _plain_fields(document) | change.fields
    fresh = msgspec.convert({**fields, "items": change.put}, type(document))
    return msgspec.structs.replace(fresh, items=dict(sorted((items | fresh.items).items())))


def touched_documents(change: bytes) -> tuple[str, ...]:
    """The stored names of the documents that a delta touches; ValueError where it is none."""
    try:
        return tuple(one.name for one in _changes(change))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"not a change of documents: {error}") from None
