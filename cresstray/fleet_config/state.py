"""The state that the log makes: contents in order, one change at a time on its way to be in force.

proposed (accepted, waits) > joint (strictest of old and new) > in force. Deterministic: every keeper that has
applied the same entries holds the same, whatever else it has seen.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Annotated, NamedTuple, Protocol

import msgspec

from cresstray.fleet_config import validation as checks
from cresstray.fleet_config.documents import (
    EMPTY,
    NAMES,
    Documents,
    FleetState,
    apply_delta,
    encode_delta,
    touched_documents,
)
from cresstray.fleet_config.strictest import gateway_divisor, has_no_gateway_list, strictest

# Requests that are known again: 1,024 clients ask again within seconds, each with a few under way.
_REQUESTS, _REQUEST_BYTES = 4_096, 4 * 1024 * 1024
# Changes that are told and can be gone back to; what comes first goes when they are longer than this.
_PAST, _PAST_BYTES = 256, 4 * 1024 * 1024
# Each needs two turns, a second or so of an operator's patience.
_WAITING = 64
# Turns that a follower may be behind before it gets the whole: some minutes of a busy day.
_TURNS, _TURN_BYTES = 256, 1024 * 1024


class Section(Protocol):
    """State of another package in the same log; as deterministic as this."""

    def apply(self, state: ConfigState, data: bytes) -> bytes: ...
    def snapshot(self) -> bytes: ...
    def restore(self, data: bytes) -> None: ...


class CommandResult(msgspec.Struct, array_like=True, frozen=True):
    """What became of a proposal: the version that it will be in force as, or every reason against it."""

    is_accepted: bool
    version: int = 0
    reasons: list[str] = []


_Word = Annotated[str, msgspec.Meta(max_length=128)]


class HistoryEntry(msgspec.Struct, array_like=True, frozen=True):
    """A change that was accepted; `back` leads from its content to the one before."""

    version: int
    request: str
    author: str
    reason: str
    documents: tuple[str, ...]
    change: bytes
    reverse_change: bytes


class ProposeChange(msgspec.Struct, array_like=True, frozen=True, tag=1):
    request: _Word
    bases: dict[str, int]
    change: bytes
    reason: Annotated[str, msgspec.Meta(max_length=1024)]
    author: _Word = ""
    fleet_state: FleetState | None = None


class AdvanceTurn(msgspec.Struct, array_like=True, frozen=True, tag=2):
    turn: int


class RemoveDeparted(msgspec.Struct, array_like=True, frozen=True, tag=3):
    gateway: _Word
    reason: str = ""


class SectionCommand(msgspec.Struct, array_like=True, frozen=True, tag=4):
    name: _Word
    request: _Word
    data: bytes


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
        return _counted(self.documents, gateway_divisor(self.documents.gateways, len(self.departed_gateways)))


_encode = msgspec.msgpack.Encoder(order="sorted").encode
_commands = msgspec.msgpack.Decoder(ProposeChange | AdvanceTurn | RemoveDeparted | SectionCommand).decode
_BROKEN = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)

decode_result = msgspec.msgpack.Decoder(CommandResult).decode


def encode_proposal(
    request: str,
    bases: dict[str, int],
    change: bytes,
    why: str,
    who: str = "",
    world: FleetState | None = None,
) -> bytes:
    """`bases`: the version of each document that the change was made for; `change`: a delta.

    `world`: what it is checked by, the proposing keeper's. Danger: each by its own file, keepers whose files
    differ, or that read their log again with a newer one, would come to different states.
    """
    return _encode(ProposeChange(request, bases, change, why, who, world))


def encode_advance(turn: int) -> bytes:
    return _encode(AdvanceTurn(turn))


def encode_departed(gateway: str, why: str = "") -> bytes:
    return _encode(RemoveDeparted(gateway, why))


def encode_section_command(name: str, request: str, data: bytes) -> bytes:
    return _encode(SectionCommand(name, request, data))


def _counted(documents: Documents, count: int) -> Documents:
    gateways = msgspec.structs.replace(documents.gateways, count=count)
    return msgspec.structs.replace(documents, gateways=gateways)


class _Snapshot(msgspec.Struct, array_like=True):
    """`force` and what waits, as deltas one behind the other, each with its version and ghosts."""

    is_joint: bool
    contents: list[tuple[int, bytes, list[str], int]]
    requests: list[tuple[str, bytes]]
    history: list[HistoryEntry]
    sections: dict[str, bytes]


_dumped = msgspec.msgpack.Decoder(_Snapshot).decode


class ConfigState:
    def __init__(self, world: FleetState, sections: Mapping[str, Section] | None = None) -> None:
        self.fleet_state, self.sections = world, dict(sections or {})
        self.turn, self.effective = 0, EMPTY
        self._force = ContentVersion(0, EMPTY, frozenset())
        self._named = self._counting = frozenset[str]()
        self._waiting: deque[ContentVersion] = deque()
        self._requests: dict[str, bytes] = {}
        self._request_bytes = self._past_bytes = self._turn_bytes = 0
        self._past: deque[HistoryEntry] = deque()
        self._deltas: deque[bytes] = deque()  # of the last turns, the last one to `turn`

    @property
    def latest(self) -> Documents:
        return self._latest().documents

    @property
    def version(self) -> int:
        """The one that the next change will follow; in force is `turn // 2`."""
        return self._latest().version

    @property
    def departed_gateways(self) -> frozenset[str]:
        """Not named any more in what is in force or joint, and not known to be out."""
        return self._force.departed_gateways | (
            self._waiting[0].departed_gateways if self.is_joint else frozenset()
        )

    @property
    def is_joint(self) -> bool:
        return self.turn % 2 == 1

    def pending_versions(self) -> list[int]:
        """Versions that are accepted and not in force."""
        return [content.version for content in self._waiting]

    def _latest(self) -> ContentVersion:
        return self._waiting[-1] if self._waiting else self._force

    # Commands, in the order of the log.

    def apply(self, index: int, data: bytes) -> bytes:
        """The command's outcome. What can't be read changes nothing, and says so."""
        try:
            command = _commands(data)
        except _BROKEN as trouble:
            return _encode(CommandResult(False, self.version, [f"entry {index} can't be read: {trouble}"]))
        if isinstance(command, ProposeChange):
            return self._once(
                command.request and f"= {command.request}", lambda: _encode(self._propose(command))
            )
        if isinstance(command, AdvanceTurn):
            return _encode(self._advance(command.turn))
        if isinstance(command, RemoveDeparted):
            return _encode(self._gone(command))
        return self._for_section(command)

    def _once(self, request: str, act: Callable[[], bytes]) -> bytes:
        # Danger: an answer was lost, and the same is asked again. A second time would be a second change.
        if request in self._requests:
            return self._requests[request]
        told = act()
        if request:
            self._requests[request] = told
            self._request_bytes += len(request) + len(told)
            while len(self._requests) > _REQUESTS or self._request_bytes > _REQUEST_BYTES:
                oldest = next(iter(self._requests))
                self._request_bytes -= len(oldest) + len(self._requests.pop(oldest))
        return told

    def _propose(self, asked: ProposeChange) -> CommandResult:
        latest, refused = self._latest(), []
        if not asked.request:
            refused.append("a proposal needs the name of its request")
        if len(self._waiting) >= _WAITING:
            refused.append(f"{len(self._waiting)} changes wait already")
        try:
            given = apply_delta(latest.documents, asked.change)
            names = touched_documents(asked.change)
        except ValueError as trouble:
            return CommandResult(False, latest.version, [*refused, str(trouble)])
        for name in names:
            base, version = asked.bases.get(name, 0), latest.documents.version(name)
            if base != version:
                refused.append(f"{name}: the change is of version {base}, and the latest is {version}")
        changed = tuple(name for name in NAMES if given.document(name) != latest.documents.document(name))
        if not changed:
            return CommandResult(not refused, latest.version, refused)
        version = latest.version + 1
        versions = dict(latest.documents.versions) | dict.fromkeys(changed, version)
        new = msgspec.structs.replace(given, versions=dict(sorted(versions.items())))
        dropped = latest.documents.gateways.items.keys() - new.gateways.items.keys()
        ghosts = frozenset((latest.departed_gateways | dropped) - new.gateways.items.keys())
        world = asked.fleet_state or self.fleet_state
        refused += checks.refusals(latest.documents, new, world, len(ghosts))
        if not refused and len(encode_delta(EMPTY, new)) > checks.MAX_DOCUMENTS_BYTES:
            refused.append(f"all documents together are more than {checks.MAX_DOCUMENTS_BYTES} bytes")
        if refused:
            return CommandResult(False, latest.version, refused)
        # Before the first list any gateway may run, each by the file's most.
        least = world.max_gateways if has_no_gateway_list(latest.documents) else 0
        self._accept(
            ContentVersion(version, new, ghosts, least), asked.request, asked.author, asked.reason, changed
        )
        return CommandResult(True, version)

    def _gone(self, given: RemoveDeparted) -> CommandResult:
        latest = self._latest()
        # Danger: while a list that is acted on names it, it may act; and a later one may name it again.
        if given.gateway not in self.departed_gateways & latest.departed_gateways - self._named:
            return CommandResult(False, latest.version, [f"{given.gateway} is not waited for"])
        if len(self._waiting) >= _WAITING:
            return CommandResult(False, latest.version, [f"{len(self._waiting)} changes wait already"])
        content = ContentVersion(
            latest.version + 1, latest.documents, latest.departed_gateways - {given.gateway}
        )
        self._accept(content, "", "", given.reason or f"{given.gateway} is out", ())
        return CommandResult(True, content.version)

    def _accept(
        self, content: ContentVersion, request: str, who: str, why: str, names: tuple[str, ...]
    ) -> None:
        before = self._latest().documents
        change, back = encode_delta(before, content.documents), encode_delta(content.documents, before)
        past = HistoryEntry(content.version, request, who, why, names, change, back)
        self._waiting.append(content)
        self._past.append(past)
        self._past_bytes += len(change) + len(back)
        while len(self._past) > _PAST or self._past_bytes > _PAST_BYTES and len(self._past) > 1:
            oldest = self._past.popleft()
            self._past_bytes -= len(oldest.change) + len(oldest.reverse_change)

    def _for_section(self, command: SectionCommand) -> bytes:
        known = self.sections.get(command.name)
        if known is None:
            return _encode(CommandResult(False, self.version, [f"there is no section {command.name!r}"]))
        return self._once(
            command.request and f"{command.name} {command.request}", lambda: known.apply(self, command.data)
        )

    # Turns: one change at a time.

    def pending_turn(self) -> int | None:
        """The turn that waits to be committed, if any; the leader commits it when Leases.may_turn."""
        return self.turn + 1 if self._waiting else None

    def _advance(self, turn: int) -> CommandResult:
        # Danger: a turn committed twice, or by one who led before, would skip one that not all have taken.
        if turn != self.turn + 1 or not self._waiting:
            return CommandResult(False, self.version, [f"turn {turn} is not wanted after {self.turn}"])
        if self.is_joint:
            self._force = self._waiting.popleft()
            acting = self._force.effective()
        else:
            acting = self._joined()
        told = encode_delta(self.effective, acting)
        self._deltas.append(told)
        self._turn_bytes += len(told)
        while len(self._deltas) > _TURNS or self._turn_bytes > _TURN_BYTES and self._deltas:
            self._turn_bytes -= len(self._deltas.popleft())
        self.turn, self.effective = turn, acting
        self._count()
        return CommandResult(True, self.version)

    def _count(self) -> None:
        # Once a turn: asked for each renewal, it would make the leader's work grow by the square.
        named = self._force.documents.gateways.items.keys()
        if self.is_joint:
            named = named | self._waiting[0].documents.gateways.items.keys()
        self._named = frozenset(named)
        self._counting = self._named | self.departed_gateways

    def _joined(self) -> Documents:
        old, new = self._force, self._waiting[0]
        both = strictest(old.documents, new.documents)
        return _counted(
            both, max(old.effective().gateways.count, new.effective().gateways.count, new.min_divisor)
        )

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
        return (
            self.is_joint
            and not has_no_gateway_list(self._force.documents)
            and self._force.documents.gateways.count_without_lease
            != self._waiting[0].documents.gateways.count_without_lease
        )

    # Followers.

    def updates_since(self, turn: int) -> bytes:
        """For one that acts at `turn`; empty if there is nothing newer. 0, or too old: the whole."""
        if turn >= self.turn:
            return b""
        behind = self.turn - turn
        if turn and behind <= len(self._deltas):
            return _encode(ConfigUpdates(turn, self.turn, list(self._deltas)[-behind:]))
        return _encode(ConfigUpdates(0, self.turn, [encode_delta(EMPTY, self.effective)]))

    # History.

    def history(self) -> list[HistoryEntry]:
        """The changes that were accepted of late, the oldest first."""
        return list(self._past)

    def content(self, version: int) -> Documents | None:
        """The documents as they were, or will be, at a version; None where that is no longer known."""
        documents, at = self.latest, self.version
        for past in reversed(self._past):
            if at == version:
                break
            documents, at = apply_delta(documents, past.reverse_change), at - 1
        return documents if at == version else None

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
        before, contents = EMPTY, []
        for content in (self._force, *self._waiting):
            told = encode_delta(before, content.documents)
            contents.append((content.version, told, sorted(content.departed_gateways), content.min_divisor))
            before = content.documents
        sections = {name: self.sections[name].snapshot() for name in sorted(self.sections)}
        requests = list(self._requests.items())
        return _encode(_Snapshot(self.is_joint, contents, requests, list(self._past), sections))

    def restore(self, data: bytes) -> None:
        """ValueError where it is no dump, or of sections that this program doesn't have."""
        try:
            given = _dumped(data)
        except _BROKEN as trouble:
            raise ValueError(f"not a state of the rules: {trouble}") from None
        unknown = sorted(set(given.sections) - set(self.sections))
        if unknown:
            raise ValueError(f"the state has a section {unknown[0]!r} that this build doesn't know")
        documents, contents = EMPTY, []
        for version, told, ghosts, least in given.contents:
            documents = apply_delta(documents, told)
            contents.append(ContentVersion(version, documents, frozenset(ghosts), least))
        if not contents or given.is_joint and len(contents) < 2:
            raise ValueError("not a state of the rules: no content")
        self._force, self._waiting = contents[0], deque(contents[1:])
        self.turn = 2 * self._force.version + given.is_joint
        self.effective = self._joined() if given.is_joint else self._force.effective()
        self._count()
        self._requests, self._past = dict(given.requests), deque(given.history)
        self._request_bytes = sum(len(name) + len(told) for name, told in given.requests)
        self._past_bytes = sum(len(past.change) + len(past.reverse_change) for past in given.history)
        self._deltas, self._turn_bytes = deque(), 0
        for name, dumped in given.sections.items():
            self.sections[name].restore(dumped)
