"""The configuration that the replicated log makes: contents in order, one change at a time.

| state of a change | meaning |
| --- | --- |
| proposed | accepted; waits for the changes before it |
| joint (odd turn) | all act on the strictest of the old and the new content |
| in force (even turn) | all act on the new content |

Deterministic: every node that has applied the same entries holds the same state, whatever else it has seen.
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

# Each needs two turns, a second or so of an operator's patience.
_MAX_PENDING_CHANGES = 64


class Section(Protocol):
    """State of another package in the same log; as deterministic as this."""

    def apply(self, state: ConfigState, data: bytes) -> bytes:
        """Carries out a command of this section; its encoded result."""

    def snapshot(self) -> bytes:
        """All of the section, for `restore`."""

    def restore(self, data: bytes) -> None:
        """Takes what `snapshot` gave; ValueError where it is none."""


class ConfigUpdates(msgspec.Struct, array_like=True, frozen=True):
    """What leads a follower from `base` (0: from nothing) to `turn`, delta by delta."""

    base: int
    turn: int
    deltas: list[bytes]


class ContentVersion(NamedTuple):
    """One version's documents, and the gateways that they don't name and that may still run."""

    version: int
    documents: Documents
    departed_gateways: frozenset[str]
    min_divisor: int = 0  # by what to divide at least while it is joint

    def effective(self) -> Documents:
        """What is acted on while this content is in force: `count` says the divisor."""
        return _with_count(
            self.documents, gateway_divisor(self.documents.gateways, len(self.departed_gateways))
        )


def _with_count(documents: Documents, count: int) -> Documents:
    gateways = msgspec.structs.replace(documents.gateways, count=count)
    return msgspec.structs.replace(documents, gateways=gateways)


class _Snapshot(msgspec.Struct, array_like=True):
    """The content in force and those that wait, as deltas one behind the other, with what is remembered."""

    is_joint: bool
    contents: list[tuple[int, bytes, list[str], int]]
    results: list[tuple[str, bytes]]
    history: list[HistoryEntry]
    sections: dict[str, bytes]


_decode_snapshot = msgspec.msgpack.Decoder(_Snapshot).decode


class ConfigState:
    """The state of one node. `turn` is twice the version in force, plus one while a change is joint."""

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

    @property
    def latest(self) -> Documents:
        """The documents that the next change will follow."""
        return self._latest().documents

    @property
    def version(self) -> int:
        """The one that the next change will follow; in force is `turn // 2`."""
        return self._latest().version

    @property
    def departed_gateways(self) -> frozenset[str]:
        """Not named any more in what is in force or joint, and not known to be out."""
        return self._in_force.departed_gateways | (
            self._pending[0].departed_gateways if self.is_joint else frozenset()
        )

    @property
    def is_joint(self) -> bool:
        """Whether a change is on its way into force: what holds is the strictest of old and new."""
        return self.turn % 2 == 1

    def pending_versions(self) -> list[int]:
        """Versions that are accepted and not in force."""
        return [content.version for content in self._pending]

    def _latest(self) -> ContentVersion:
        return self._pending[-1] if self._pending else self._in_force

    # Commands, in the order of the log.

    def apply(self, index: int, data: bytes) -> bytes:
        """The command's encoded result. What can't be read changes nothing, and says so."""
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
        return self._apply_section_command(command)

    def _apply_proposal(self, command: ProposeChange) -> bytes:
        # Its answer may have been lost: asked again, it must not become a second change.
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
        reasons = self._reasons_against_any(command)
        try:
            given = apply_delta(latest.documents, command.change)
            touched = touched_documents(command.change)
        except ValueError as error:
            return CommandResult(False, latest.version, [*reasons, str(error)])
        reasons += self._outdated_bases(command, touched, latest.documents)
        changed = tuple(name for name in NAMES if given.document(name) != latest.documents.document(name))
        if not changed:
            return CommandResult(not reasons, latest.version, reasons)
        fleet_inventory = command.fleet_inventory or self.fleet_inventory
        content = self._next_content(latest, given, changed, fleet_inventory)
        new = content.documents
        reasons += validation_errors(latest.documents, new, fleet_inventory, len(content.departed_gateways))
        if not reasons and len(encode_delta(EMPTY, new)) > MAX_DOCUMENTS_BYTES:
            reasons.append(f"all documents together are more than {MAX_DOCUMENTS_BYTES} bytes")
        if reasons:
            return CommandResult(False, latest.version, reasons)
        self._accept(content, command.request, command.author, command.reason, changed)
        return CommandResult(True, content.version)

    def _reasons_against_any(self, command: ProposeChange) -> list[str]:
        reasons = []
        if not command.request:
            reasons.append("a proposal needs the name of its request")
        return reasons + self._reasons_of_too_many()

    def _reasons_of_too_many(self) -> list[str]:
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
        given: Documents,
        changed: tuple[str, ...],
        fleet_inventory: FleetInventory,
    ) -> ContentVersion:
        version = latest.version + 1
        new = given.with_versions(latest.documents.versions | dict.fromkeys(changed, version))
        named = new.gateways.items.keys()
        dropped = latest.documents.gateways.items.keys() - named
        departed = frozenset((latest.departed_gateways | dropped) - named)
        # Before the first list any gateway may run, each by the file's most.
        min_divisor = fleet_inventory.max_gateways if has_no_gateway_list(latest.documents) else 0
        return ContentVersion(version, new, departed, min_divisor)

    def _remove_departed(self, command: RemoveDeparted) -> CommandResult:
        latest = self._latest()
        # While a list that is acted on names it, it may act; and a later one may name it again.
        if command.gateway not in self.departed_gateways & latest.departed_gateways - self._named:
            return CommandResult(False, latest.version, [f"{command.gateway} is not waited for"])
        too_many = self._reasons_of_too_many()
        if too_many:
            return CommandResult(False, latest.version, too_many)
        departed = latest.departed_gateways - {command.gateway}
        content = ContentVersion(latest.version + 1, latest.documents, departed)
        self._accept(content, "", "", command.reason or f"{command.gateway} is out", ())
        return CommandResult(True, content.version)

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

    # Turns: one change at a time.

    def pending_turn(self) -> int | None:
        """The turn that waits to be committed, if any; the leader commits it when LeaseTable.can_advance."""
        return self.turn + 1 if self._pending else None

    def _advance(self, turn: int) -> CommandResult:
        # A turn committed twice, or by an earlier leader, would skip one that not all have taken.
        if turn != self.turn + 1 or not self._pending:
            return CommandResult(False, self.version, [f"turn {turn} is not wanted after {self.turn}"])
        if self.is_joint:
            self._in_force = self._pending.popleft()
            effective = self._in_force.effective()
        else:
            effective = self._joined()
        self._turn_deltas.append(encode_delta(self.effective, effective))
        self.turn = turn
        self.effective = effective
        self._update_names()
        return CommandResult(True, self.version)

    def _update_names(self) -> None:
        # Once a turn: computed for each renewal, the leader's work would grow by the square.
        named = set(self._in_force.documents.gateways.items)
        if self.is_joint:
            named |= set(self._pending[0].documents.gateways.items)
        self._named = frozenset(named)
        self._counting = self._named | self.departed_gateways

    def _joined(self) -> Documents:
        old = self._in_force
        new = self._pending[0]
        both = strictest(old.documents, new.documents)
        counts = (old.effective().gateways.count, new.effective().gateways.count, new.min_divisor)
        return _with_count(both, max(counts))

    def named_gateways(self) -> frozenset[str]:
        """By the old or the new list: who may have a lease."""
        return self._named

    def counting_gateways(self) -> frozenset[str]:
        """Whose lease counts: named by the old or the new list, and those not known to be out."""
        return self._counting

    def has_gateway_list(self) -> bool:
        """Whether there is a list of gateways in what is acted on."""
        return not has_no_gateway_list(self.effective)

    def changes_count_without_lease(self) -> bool:
        """Whether the turn that is waited for changes what holds without a lease."""
        if not self.is_joint or has_no_gateway_list(self._in_force.documents):
            return False
        old = self._in_force.documents.gateways
        new = self._pending[0].documents.gateways
        return old.count_without_lease != new.count_without_lease

    # Followers.

    def updates_since(self, turn: int) -> bytes:
        """For one that acts at `turn`; empty if there is nothing newer. 0, or too old: the whole."""
        if turn >= self.turn:
            return b""
        deltas = self._turn_deltas.last(self.turn - turn) if turn else None
        if deltas is not None:
            return encode(ConfigUpdates(turn, self.turn, deltas))
        return encode(ConfigUpdates(0, self.turn, [encode_delta(EMPTY, self.effective)]))

    # History.

    def history(self) -> list[HistoryEntry]:
        """The changes that were accepted of late, the oldest first."""
        return self._history.entries()

    def content(self, version: int) -> Documents | None:
        """The documents as they were, or will be, at a version; None where that is no longer known."""
        return self._history.content(self.latest, self.version, version)

    def revert_to(self, version: int) -> tuple[dict[str, int], bytes]:
        """Bases and change of a proposal that brings an earlier content back; LookupError if not known."""
        earlier = self.content(version)
        if earlier is None:
            raise LookupError(f"version {version} is no longer known")
        names = [name for name in NAMES if earlier.document(name) != self.latest.document(name)]
        made = self.latest.with_documents({name: earlier.document(name) for name in names})
        return {name: self.latest.version(name) for name in names}, encode_delta(self.latest, made)

    # Snapshots.

    def snapshot(self) -> bytes:
        """All of the state, for `restore`."""
        before = EMPTY
        contents = []
        for content in (self._in_force, *self._pending):
            delta = encode_delta(before, content.documents)
            contents.append((content.version, delta, sorted(content.departed_gateways), content.min_divisor))
            before = content.documents
        sections = {name: self.sections[name].snapshot() for name in sorted(self.sections)}
        return encode(
            _Snapshot(self.is_joint, contents, self._results.items(), self._history.entries(), sections)
        )

    def restore(self, data: bytes) -> None:
        """Takes a snapshot; ValueError where it is none, or of sections that this program doesn't have."""
        try:
            given = _decode_snapshot(data)
        except MALFORMED as error:
            raise ValueError(f"not a state of the rules: {error}") from None
        unknown = sorted(set(given.sections) - set(self.sections))
        if unknown:
            raise ValueError(f"the state has a section {unknown[0]!r} that this build doesn't know")
        contents = _restored_contents(given)
        self._in_force = contents[0]
        self._pending = deque(contents[1:])
        self.turn = 2 * self._in_force.version + given.is_joint
        self.effective = self._joined() if given.is_joint else self._in_force.effective()
        self._update_names()
        self._results = ResultCache(given.results)
        self._history = ChangeHistory(given.history)
        self._turn_deltas = TurnDeltas()
        for name, section in given.sections.items():
            self.sections[name].restore(section)


def _restored_contents(given: _Snapshot) -> list[ContentVersion]:
    documents = EMPTY
    contents = []
    for version, delta, departed, min_divisor in given.contents:
        documents = apply_delta(documents, delta)
        contents.append(ContentVersion(version, documents, frozenset(departed), min_divisor))
    if not contents or given.is_joint and len(contents) < 2:
        raise ValueError("not a state of the rules: no content")
    return contents
