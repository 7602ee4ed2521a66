"""The configuration documents that a fleet shares, and deltas between two versions of them.

Some fields are stored in the replicated log and written in operators' JSON under other names:

| stored name | field |
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
# Names of request classes and tenants, which are free text in the deploy file.
Label = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _DocumentValue(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Base of all values in documents; unknown fields are rejected and defaults are not encoded."""


class Gateway(_DocumentValue, frozen=True):
    """An entry of the gateway list; gateways have no settings of their own."""


class EngineRule(_DocumentValue, frozen=True, rename={"is_barred": "barred", "work_fraction": "work"}):
    """Limits the use of one engine by the gateways."""

    is_barred: bool = False
    work_fraction: Fraction = 1.0  # of the work that the engine would otherwise get


class TenantRule(_DocumentValue, frozen=True, rename={"is_barred": "barred"}):
    """Limits the requests of one tenant."""

    is_barred: bool = False
    share: Fraction = 1.0  # of the work that a gateway admits


class RequestClassRule(
    _DocumentValue, frozen=True, rename={"is_stopped": "stopped", "retry_budget_scale": "further"}
):
    """Limits the requests of one class."""

    is_stopped: bool = False
    retry_budget_scale: Fraction = 1.0  # factor of the retry budget


class Shard(_DocumentValue, frozen=True):
    """The engines that hold the replicas of one shard, and which of them may be written or read."""

    copies: tuple[Name, ...] = ()
    primary: str = ""  # empty: no replica may be written
    epoch: Number = 0
    reads: tuple[Name, ...] = ()  # those of `copies` that may be read


class Pin(
    _DocumentValue, frozen=True, rename={"request_class": "tariff", "is_strict": "strict", "until_s": "until"}
):
    """Directs the reads of a request class, a tenant or both to certain replicas, or to those of a zone.

    `until_s` is the Unix time in seconds at which the pin ends.
    """

    request_class: str = ""
    tenant: str = ""
    copies: tuple[Name, ...] = ()
    zone: str = ""
    is_strict: bool = False
    until_s: Number = 0


class GatewayList(_DocumentValue, frozen=True, rename={"count_without_lease": "floor"}):
    """The gateways of the fleet.

    `count` is the number of gateways that share the engines; 0 means as many as are named.
    `count_without_lease` is the number by which a gateway without a lease divides the engines' capacity; 0
    means the largest number that may ever run.
    """

    items: dict[Name, Gateway] = {}
    count: Count = 0
    count_without_lease: Count = 0


class EngineRules(_DocumentValue, frozen=True):
    """Rules by engine id."""

    items: dict[Name, EngineRule] = {}


class TenantRules(_DocumentValue, frozen=True):
    """Rules by tenant name."""

    items: dict[Label, TenantRule] = {}


class RequestClassRules(_DocumentValue, frozen=True):
    """Rules by request class name."""

    items: dict[Label, RequestClassRule] = {}


class Placement(_DocumentValue, frozen=True):
    """Shards by name."""

    items: dict[Name, Shard] = {}


class Replicas(_DocumentValue, frozen=True):
    """Pins by name."""

    items: dict[Label, Pin] = {}  # while joint, a changed strict pin is listed twice, the second as "NAME'"


DOCUMENT_TYPES: dict[str, type] = {
    "gateways": GatewayList,
    "engines": EngineRules,
    "tenants": TenantRules,
    "tariffs": RequestClassRules,
    "placement": Placement,
    "replicas": Replicas,
}
NAMES: tuple[str, ...] = tuple(DOCUMENT_TYPES)
# The fields of Documents whose names differ from the stored names.
_FIELD_BY_STORED_NAME = {"tariffs": "request_classes"}


class Documents(_DocumentValue, frozen=True, rename={"request_classes": "tariffs"}):
    """All documents; a document's version is the number of the change that last modified it."""

    gateways: GatewayList = GatewayList()
    engines: EngineRules = EngineRules()
    tenants: TenantRules = TenantRules()
    request_classes: RequestClassRules = RequestClassRules()
    placement: Placement = Placement()
    replicas: Replicas = Replicas()
    versions: dict[str, Number] = {}

    def version(self, name: str) -> int:
        """Returns the version of the document with this stored name; 0 if none was ever committed."""
        return self.versions.get(name, 0)

    def document(self, name: str) -> Any:
        """Returns the document with this stored name, one of NAMES."""
        return getattr(self, _FIELD_BY_STORED_NAME.get(name, name))

    def with_documents(self, changed: Mapping[str, Any]) -> Documents:
        """Returns a copy with these documents replaced, given by their stored names."""
        return msgspec.structs.replace(
            self, **{_FIELD_BY_STORED_NAME.get(name, name): document for name, document in changed.items()}
        )

    def with_versions(self, versions: Mapping[str, int]) -> Documents:
        """Returns a copy with these versions, sorted by document name."""
        return msgspec.structs.replace(self, versions=dict(sorted(versions.items())))


EMPTY = Documents()


class FleetInventory(
    _DocumentValue,
    frozen=True,
    rename={
        "max_gateways": "most",
        "max_barred_fraction": "most_barred",
        "request_classes": "tariffs",
    },
):
    """What the operator's file says of the fleet; it doesn't change while the fleet runs.

    An empty field means that the node doesn't know it, and changes are not checked against it.
    """

    max_gateways: Annotated[int, msgspec.Meta(ge=1)] = 1  # gateways that may ever run at once
    max_barred_fraction: Fraction = 1 / 3  # of the engines of one zone
    engines: dict[str, str] = {}  # zone by engine id
    request_classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()


def parse_documents(plain: Mapping[str, Any]) -> Documents:
    """Converts plain maps, as in an operator's JSON, to documents; the ValueError names what is invalid."""
    try:
        documents = msgspec.convert(plain, Documents)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from None
    unknown = sorted(set(documents.versions) - set(NAMES))
    if unknown:
        raise ValueError(f"there is no document {unknown[0]!r} that could have a version")
    return sorted_documents(documents)


def to_plain(documents: Documents) -> dict[str, Any]:
    """Converts documents to plain maps with every field, for JSON; the inverse of `parse_documents`."""
    return {
        **{name: _document_to_plain(documents.document(name)) for name in NAMES},
        "versions": {name: documents.version(name) for name in NAMES},
    }


def _document_to_plain(document: Any) -> dict[str, Any]:
    plain = _plain_fields(document)
    plain["items"] = {name: _item_to_plain(item) for name, item in document.items.items()}
    return plain


def _plain_fields(document: Any) -> dict[str, Any]:
    """Returns the fields other than `items`, by their stored names."""
    names = zip(document.__struct_fields__, document.__struct_encode_fields__, strict=True)
    return {stored: getattr(document, field) for field, stored in names if field != "items"}


def _item_to_plain(item: Any) -> dict[str, Any]:
    names = zip(item.__struct_fields__, item.__struct_encode_fields__, strict=True)
    values = ((stored, getattr(item, field)) for field, stored in names)
    return {stored: list(value) if isinstance(value, tuple) else value for stored, value in values}


def _sorted_items(document: Any) -> Any:
    return msgspec.structs.replace(document, items=dict(sorted(document.items.items())))


def sorted_documents(documents: Documents) -> Documents:
    """Returns a copy with all items sorted by name, so that equal documents have equal encodings."""
    ordered = {name: _sorted_items(documents.document(name)) for name in NAMES}
    return documents.with_documents(ordered).with_versions(documents.versions)


class _DocumentDelta(msgspec.Struct, array_like=True, frozen=True):
    """The differences in one document; `fields` holds those other than `items`, by their stored names."""

    name: str
    version: Number
    fields: dict[str, int]
    changed_items: dict[str, Any]
    removed_items: list[str]


_encode = msgspec.msgpack.Encoder(order="sorted").encode
_decode_delta = msgspec.msgpack.Decoder(list[_DocumentDelta]).decode


def encode_delta(old: Documents, new: Documents) -> bytes:
    """Encodes the differences between two sets of documents, item by item, with the new versions."""
    document_deltas = []
    for name in NAMES:
        before, after = old.document(name), new.document(name)
        if before == after and old.version(name) == new.version(name):
            continue
        document_deltas.append(_document_delta(name, new.version(name), before, after))
    return _encode(document_deltas)


def _document_delta(name: str, version: int, before: Any, after: Any) -> _DocumentDelta:
    fields_before = _plain_fields(before)
    fields = {field: value for field, value in _plain_fields(after).items() if value != fields_before[field]}
    changed = {key: item for key, item in after.items.items() if before.items.get(key) != item}
    removed = sorted(key for key in before.items if key not in after.items)
    return _DocumentDelta(name, version, fields, changed, removed)


def apply_delta(old: Documents, delta: bytes) -> Documents:
    """Applies a delta to the old documents; raises ValueError if it is no delta of these documents."""
    try:
        changed: dict[str, Any] = {}
        versions = dict(old.versions)
        for change in _decode_delta(delta):
            if change.name not in DOCUMENT_TYPES or change.name in changed:
                raise ValueError(f"no document {change.name!r}, or twice")
            changed[change.name] = _apply_change(old.document(change.name), change)
            if change.version:
                versions[change.name] = change.version
            else:
                versions.pop(change.name, None)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, TypeError) as error:
        raise ValueError(f"not a change of documents: {error}") from None
    return old.with_documents(changed).with_versions(versions)


def _apply_change(document: Any, change: _DocumentDelta) -> Any:
    removed = set(change.removed_items)
    items = {key: item for key, item in document.items.items() if key not in removed}
    fields = _plain_fields(document) | change.fields
    changed = msgspec.convert({**fields, "items": change.changed_items}, type(document))
    return msgspec.structs.replace(changed, items=dict(sorted((items | changed.items).items())))


def touched_documents(delta: bytes) -> tuple[str, ...]:
    """Returns the stored names of the documents that a delta modifies; raises ValueError if malformed."""
    try:
        return tuple(change.name for change in _decode_delta(delta))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"not a change of documents: {error}") from None
