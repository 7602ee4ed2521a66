"""The replicated state machine of the configuration: accepts changes and puts them in force one at a time.

| state of a change | meaning |
| --- | --- |
| proposed | accepted; waits for the changes before it |
| joint (odd turn) | the strictest of the old and the new documents applies |
| in force (even turn) | the new documents apply |

The state is deterministic: nodes that have applied the same log entries hold the same state.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple, Protocol

import msgspec

from cresstray.fleet_config.commands import (
    MALFORMED,
    AdvanceTurn,
    CommandResult,
    ProposeChange,
    RecordLeaseHolder,
    RemoveDeparted,
    SectionCommand,
    decode_command,
    encode,
)
from cresstray.fleet_config.documents import (
    EMPTY,
    NAMES,
    Documents,
    FleetInventory,
    apply_delta,
    encode_delta,
    touched_documents,
)
from cresstray.fleet_config.history import ChangeHistory, HistoryEntry, ResultCache, TurnDeltas
from cresstray.fleet_config.strictest import gateway_divisor, has_no_gateway_list, strictest
from cresstray.fleet_config.validation import MAX_DOCUMENTS_BYTES, validation_errors

# Each change needs two turns, so an operator waits about a second for each pending change.
_MAX_PENDING_CHANGES = 64


class Section(Protocol):
    """State of another package that is kept in the same log; it must be deterministic, too."""

    def apply(self, state: ConfigState, data: bytes) -> bytes:
        """Applies a command of this section and returns its encoded result."""

    def snapshot(self) -> bytes:
        """Returns the encoded state of the section, for `restore`."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot; raises ValueError if it is malformed."""


class ConfigUpdates(msgspec.Struct, array_like=True, frozen=True):
    """The deltas that lead a follower from turn `base` (0: from empty documents) to `turn`."""

    base: int
    turn: int
    deltas: list[bytes]


class ContentVersion(NamedTuple):
    """The documents of one version, and the departed gateways: no longer named but maybe still running."""

    version: int
    documents: Documents
    departed_gateways: frozenset[str]
    min_divisor: int = 0  # lower bound of the divisor while this version is joint

    def effective(self) -> Documents:
        """Returns the documents that apply while this version is in force; `count` is the divisor."""
        return _with_count(
            self.documents, gateway_divisor(self.documents.gateways, len(self.departed_gateways))
        )


def _with_count(documents: Documents, count: int) -> Documents:
    gateways = msgspec.structs.replace(documents.gateways, count=count)
    return msgspec.structs.replace(documents, gateways=gateways)


class _Snapshot(msgspec.Struct, array_like=True):
    """The versions in force and pending, each as the delta from the one before, with results and history."""

    is_joint: bool
    contents: list[tuple[int, bytes, list[str], int]]
    results: list[tuple[str, bytes]]
    history: list[HistoryEntry]
    sections: dict[str, bytes]


class _SnapshotWithHolders(_Snapshot):
    """Earlier builds ignore the further field, and it is left out while it is empty."""

    lease_holders: dict[str, str] = {}


_decode_snapshot = msgspec.msgpack.Decoder(_SnapshotWithHolders).decode


class ConfigState:
    """The configuration state of one node.

    `turn` is twice the version in force, plus one while a change is joint. `effective` are the documents that
    apply at this turn. `lease_holders` has, by gateway, the incarnation of the process that leases were last
    granted to.
    """

    def __init__(
        self, fleet_inventory: FleetInventory, sections: Mapping[str, Section] | None = None
    ) -> None:
        self.fleet_inventory = fleet_inventory
        self.sections = dict(sections or {})
        self.turn = 0
        self.effective = EMPTY
        self._in_force = ContentVersion(0, EMPTY, frozenset())
        self._pending: deque[ContentVersion] = deque()
        self._named: frozenset[str] = frozenset()
        self._counting: frozenset[str] = frozenset()
        self._results = ResultCache()
        self._history = ChangeHistory()
        self._turn_deltas = TurnDeltas()
        self.lease_holders: dict[str, str] = {}

    @property
    def latest(self) -> Documents:
        """The documents of the latest accepted change, which the next change is based on."""
        return self._latest().documents

    @property
    def version(self) -> int:
        """The version of the latest accepted change; the version in force is `turn // 2`."""
        return self._latest().version

    @property
    def departed_gateways(self) -> frozenset[str]:
        """Gateways that the documents in force or joint no longer name and that may still run."""
        return self._in_force.departed_gateways | (
            self._pending[0].departed_gateways if self.is_joint else frozenset()
        )

    @property
    def is_joint(self) -> bool:
        """Whether a change is joint: the strictest of the old and the new documents applies."""
        return self.turn % 2 == 1

    def pending_versions(self) -> list[int]:
        """Returns the versions that are accepted and not yet in force."""
        return [content.version for content in self._pending]

    def _latest(self) -> ContentVersion:
        return self._pending[-1] if self._pending else self._in_force

    # Commands, applied in the order of the log.

    def apply(self, index: int, data: bytes) -> bytes:
        """Applies a log entry and returns the encoded result; a malformed entry changes nothing."""
        try:
            command = decode_command(data)
        except ValueError as error:
            return encode(CommandResult(False, self.version, [f"entry {index} can't be read: {error}"]))
        if isinstance(command, ProposeChange):
            return self._apply_proposal(command)
        if isinstance(command, AdvanceTurn):
            return encode(self._advance(command.turn))
        if isinstance(command, RemoveDeparted):
            return encode(self._remove_departed(command))
        if isinstance(command, RecordLeaseHolder):
            return encode(self._record_lease_holder(command))
        return self._apply_section_command(command)

    def _apply_proposal(self, command: ProposeChange) -> bytes:
        # If the reply was lost, the client retries the request; it must not become a second change.
        request = f"= {command.request}" if command.request else ""
        return self._results.get_or_run(request, lambda: encode(self._propose(command)))

    def _apply_section_command(self, command: SectionCommand) -> bytes:
        section = self.sections.get(command.name)
        if section is None:
            return encode(CommandResult(False, self.version, [f"there is no section {command.name!r}"]))
        request = f"{command.name} {command.request}" if command.request else ""
        return self._results.get_or_run(request, lambda: section.apply(self, command.data))

    def _propose(self, command: ProposeChange) -> CommandResult:
        latest = self._latest()
        reasons = self._request_errors(command)
        try:
            proposed = apply_delta(latest.documents, command.change)
            touched = touched_documents(command.change)
        except ValueError as error:
            return CommandResult(False, latest.version, [*reasons, str(error)])
        reasons += self._outdated_bases(command, touched, latest.documents)
        changed = tuple(name for name in NAMES if proposed.document(name) != latest.documents.document(name))
        if not changed:
            return CommandResult(not reasons, latest.version, reasons)
        fleet_inventory = command.fleet_inventory or self.fleet_inventory
        content = self._next_content(latest, proposed, changed, fleet_inventory)
        new = content.documents
        reasons += validation_errors(latest.documents, new, fleet_inventory, len(content.departed_gateways))
        if not reasons and len(encode_delta(EMPTY, new)) > MAX_DOCUMENTS_BYTES:
            reasons.append(f"all documents together are more than {MAX_DOCUMENTS_BYTES} bytes")
        if reasons:
            return CommandResult(False, latest.version, reasons)
        self._accept(content, command.request, command.author, command.reason, changed)
        return CommandResult(True, content.version)

    def _request_errors(self, command: ProposeChange) -> list[str]:
        reasons = []
        if not command.request:
            reasons.append("a proposal needs the name of its request")
        return reasons + self._pending_limit_errors()

    def _pending_limit_errors(self) -> list[str]:
        if len(self._pending) < _MAX_PENDING_CHANGES:
            return []
        return [f"{len(self._pending)} changes wait already"]

    def _outdated_bases(
        self, command: ProposeChange, touched: tuple[str, ...], latest: Documents
    ) -> list[str]:
        reasons = []
        for name in touched:
            base = command.bases.get(name, 0)
            version = latest.version(name)
            if base != version:
                reasons.append(f"{name}: the change is of version {base}, and the latest is {version}")
        return reasons

    def _next_content(
        self,
        latest: ContentVersion,
        proposed: Documents,
        changed: tuple[str, ...],
        fleet_inventory: FleetInventory,
    ) -> ContentVersion:
        version = latest.version + 1
        new = proposed.with_versions(latest.documents.versions | dict.fromkeys(changed, version))
        named = new.gateways.items.keys()
        dropped = latest.documents.gateways.items.keys() - named
        departed = frozenset((latest.departed_gateways | dropped) - named)
        # Before the first list any gateway may run, and each divides by the inventory's `max_gateways`.
        min_divisor = fleet_inventory.max_gateways if has_no_gateway_list(latest.documents) else 0
        return ContentVersion(version, new, departed, min_divisor)

    def _remove_departed(self, command: RemoveDeparted) -> CommandResult:
        latest = self._latest()
        # A gateway that is named by a list in use may still send, and a pending list may name it again.
        if command.gateway not in self.departed_gateways & latest.departed_gateways - self._named:
            return CommandResult(False, latest.version, [f"{command.gateway} is not waited for"])
        reasons = self._pending_limit_errors()
        if reasons:
            return CommandResult(False, latest.version, reasons)
        departed = latest.departed_gateways - {command.gateway}
        content = ContentVersion(latest.version + 1, latest.documents, departed)
        self._accept(content, "", "", command.reason or f"{command.gateway} is out", ())
        return CommandResult(True, content.version)

    def _record_lease_holder(self, command: RecordLeaseHolder) -> CommandResult:
        if command.gateway not in self._counting:
            return CommandResult(False, self.version, [f"{command.gateway} is not counted"])
        self.lease_holders[command.gateway] = command.incarnation
        return CommandResult(True, self.version)

    def _accept(
        self, content: ContentVersion, request: str, author: str, reason: str, names: tuple[str, ...]
    ) -> None:
        before = self._latest().documents
        change = encode_delta(before, content.documents)
        reverse_change = encode_delta(content.documents, before)
        self._pending.append(content)
        self._history.append(
            HistoryEntry(content.version, request, author, reason, names, change, reverse_change)
        )

    # Turns put pending changes in force, one change at a time.

    def pending_turn(self) -> int | None:
        """Returns the next turn if a change is pending; the leader commits it when LeaseTable.can_advance."""
        return self.turn + 1 if self._pending else None

    def _advance(self, turn: int) -> CommandResult:
        # A turn that is committed twice, or by an earlier leader, would skip a turn that some gateways have
        # not confirmed yet.
        if turn != self.turn + 1 or not self._pending:
            return CommandResult(False, self.version, [f"turn {turn} is not wanted after {self.turn}"])
        if self.is_joint:
            self._in_force = self._pending.popleft()
            effective = self._in_force.effective()
        else:
            effective = self._joint_documents()
        self._turn_deltas.append(encode_delta(self.effective, effective))
        self.turn = turn
        self.effective = effective
        self._update_names()
        return CommandResult(True, self.version)

    def _update_names(self) -> None:
        # Computed once per turn: computed for each renewal, the leader's work would grow with the square of
        # the number of gateways.
        named = set(self._in_force.documents.gateways.items)
        if self.is_joint:
            named |= set(self._pending[0].documents.gateways.items)
        self._named = frozenset(named)
        self._counting = self._named | self.departed_gateways
        for name in self.lease_holders.keys() - self._counting:
            del self.lease_holders[name]

    def _joint_documents(self) -> Documents:
        old = self._in_force
        new = self._pending[0]
        merged = strictest(old.documents, new.documents)
        counts = (old.effective().gateways.count, new.effective().gateways.count, new.min_divisor)
        return _with_count(merged, max(counts))

    def named_gateways(self) -> frozenset[str]:
        """Returns the gateways that the old or the new list names; they may hold a lease."""
        return self._named

    def counting_gateways(self) -> frozenset[str]:
        """Returns the gateways whose leases a turn waits for: the named ones and the departed ones."""
        return self._counting

    def has_gateway_list(self) -> bool:
        """Returns whether the documents that apply have a gateway list."""
        return not has_no_gateway_list(self.effective)

    def changes_count_without_lease(self) -> bool:
        """Returns whether the pending turn changes `count_without_lease`."""
        if not self.is_joint or has_no_gateway_list(self._in_force.documents):
            return False
        old = self._in_force.documents.gateways
        new = self._pending[0].documents.gateways
        return old.count_without_lease != new.count_without_lease

    # Updates of followers.

    def updates_since(self, turn: int) -> bytes:
        """Returns the encoded ConfigUpdates for a follower at `turn`; empty if there is nothing newer.

        For turn 0, or one that is too old, they hold all documents.
        """
        if turn >= self.turn:
            return b""
        deltas = self._turn_deltas.last(self.turn - turn) if turn else None
        if deltas is not None:
            return encode(ConfigUpdates(turn, self.turn, deltas))
        return encode(ConfigUpdates(0, self.turn, [encode_delta(EMPTY, self.effective)]))

    # History.

    def history(self) -> list[HistoryEntry]:
        """Returns the latest accepted changes, oldest first."""
        return self._history.entries()

    def content(self, version: int) -> Documents | None:
        """Returns the documents of a past or pending version, or None if that is no longer known."""
        return self._history.content(self.latest, self.version, version)

    def revert_to(self, version: int) -> tuple[dict[str, int], bytes]:
        """Returns the bases and the delta of a proposal that restores an earlier version's documents.

        Raises LookupError if that version is no longer known.
        """
        earlier = self.content(version)
        if earlier is None:
            raise LookupError(f"version {version} is no longer known")
        names = [name for name in NAMES if earlier.document(name) != self.latest.document(name)]
        restored = self.latest.with_documents({name: earlier.document(name) for name in names})
        return {name: self.latest.version(name) for name in names}, encode_delta(self.latest, restored)

    # Snapshots.

    def snapshot(self) -> bytes:
        """Returns the encoded state, for `restore`."""
        before = EMPTY
        contents = []
        for content in (self._in_force, *self._pending):
            delta = encode_delta(before, content.documents)
            contents.append((content.version, delta, sorted(content.departed_gateways), content.min_divisor))
            before = content.documents
        sections = {name: self.sections[name].snapshot() for name in sorted(self.sections)}
        fields = (self.is_joint, contents, self._results.items(), self._history.entries(), sections)
        if not self.lease_holders:
            return encode(_Snapshot(*fields))
        return encode(_SnapshotWithHolders(*fields, dict(sorted(self.lease_holders.items()))))

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot.

        Raises ValueError if the snapshot is malformed or has a section that this build doesn't know.
        """
        try:
            snapshot = _decode_snapshot(data)
        except MALFORMED as error:
            raise ValueError(f"malformed snapshot of the configuration state: {error}") from None
        unknown = sorted(set(snapshot.sections) - set(self.sections))
        if unknown:
            raise ValueError(f"the state has a section {unknown[0]!r} that this build doesn't know")
        contents = _restored_contents(snapshot)
        self._in_force = contents[0]
        self._pending = deque(contents[1:])
        self.turn = 2 * self._in_force.version + snapshot.is_joint
        self.effective = self._joint_documents() if snapshot.is_joint else self._in_force.effective()
        self.lease_holders = dict(snapshot.lease_holders)
        self._update_names()
        self._results = ResultCache(snapshot.results)
        self._history = ChangeHistory(snapshot.history)
        self._turn_deltas = TurnDeltas()
        for name, section in snapshot.sections.items():
            self.sections[name].restore(section)


def _restored_contents(snapshot: _Snapshot) -> list[ContentVersion]:
    documents = EMPTY
    contents = []
    for version, delta, departed, min_divisor in snapshot.contents:
        documents = apply_delta(documents, delta)
        contents.append(ContentVersion(version, documents, frozenset(departed), min_divisor))
    if not contents or snapshot.is_joint and len(contents) < 2:
        raise ValueError("malformed snapshot of the configuration state: a version is missing")
    return contents
