"""A keeper without its sockets, clock and file: the log, the rules, the leases, and who is connected.

Its caller gives `received` each frame, then calls `round` once for all that came, and again when it says.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec

from cresstray.config.fleet import Fleet
from cresstray.consensus.entries import EntryKind, PendingWrite, Snapshot
from cresstray.consensus.raft import Node, Role
from cresstray.control_plane import codec
from cresstray.control_plane.codec import KeepAlive, PartAssembler
from cresstray.control_plane.request_handlers import RequestHandlers
from cresstray.fleet_config import codec as config_codec
from cresstray.fleet_config import commands
from cresstray.fleet_config.codec import ReplicaPositions
from cresstray.fleet_config.leases import LeaseTable
from cresstray.fleet_config.state import ConfigState, ConfigUpdates
from cresstray.observability.counters import Counters
from cresstray.transport.framing import Frame, FramingError, encode_frame

# The log is cut once so much of it has been applied since: a restart reads it in well under a second.
_SNAPSHOT_AFTER_ENTRIES, _SNAPSHOT_AFTER_BYTES = 4096, 4 * 1024 * 1024
# Whole documents, in bytes a second over all gateways, and the most at once. 230 gateways that return with
# nothing get 20 kB each in some three seconds; what differs from a version that they know is never held up.
_FULL_COPY_BYTES_PER_S, _FULL_COPY_BURST_BYTES = 1_500_000, 256 * 1024
# What was seen of copies: a word so often to other keepers; who asks is answered at once, not more often than
# this.
_POSITIONS_INTERVAL_US, _MIN_POSITIONS_REPLY_INTERVAL_US = 250_000, 20_000
# Danger: what a gateway doesn't read would be kept; one that has so much unread gets nothing more.
_MAX_UNREAD_BYTES = 1024 * 1024


class PeerLink(Protocol):
    """The other side of one link."""

    def put(self, frame: Frame) -> None: ...
    def write(self, message: bytes) -> None: ...
    def end(self, why: str) -> None: ...
    @property
    def unwritten(self) -> int: ...


@dataclass(eq=False)
class IncomingLink:
    """Who made a link to this keeper, and what it has been given."""

    link: PeerLink
    role: str
    name: str
    incarnation: str
    key: str  # by which the leader's answers find it
    has_same_settings: bool = True  # its file has the same times and bounds
    last_renewal: int = -1  # the last renewal's number
    turn: int | None = None  # the turn whose content it has; None before it has told
    exchange: PositionExchange | None = None  # once it has told of positions
    positions_sent_at_us: int = 0  # when it was last answered
    assemblers: dict[str, PartAssembler] = field(default_factory=dict)


class PositionExchange(Protocol):
    """What is said of positions on one link: made with it, gone with it. `hears`: BrokenError."""

    def says(self, now_us: int) -> bytes: ...
    def hears(self, body: bytes, now_us: int) -> None: ...


class NodeController:
    def __init__(
        self,
        settings: Fleet,
        node: Node,
        state: ConfigState,
        leases: LeaseTable,
        persist: Callable[[PendingWrite], None],
        log_event: Callable[..., None],
        counters: Counters,
        now_us: int,
        new_exchange: Callable[[], PositionExchange] | None = None,
    ) -> None:
        self.settings, self.node, self.state, self.leases = settings, node, state, leases
        self._persist, self.log_event, self.counters, self._new_exchange = (
            persist,
            log_event,
            counters,
            new_exchange,
        )
        self.node_links: dict[str, PeerLink] = {}  # links that we made, by the far keeper's name in the log
        self.incoming_links: dict[str, IncomingLink] = {}  # links that others made
        self.node_exchanges: dict[
            str, tuple[PeerLink, PositionExchange]
        ] = {}  # about positions, on links that we made
        self.seen_incarnations: dict[str, str] = {}  # the last generation that greeted, by keeper
        self.applied_index = 0
        self._entries_since_snapshot = self._bytes_since_snapshot = 0  # applied since the last snapshot
        self.pending_proposals: dict[
            int, tuple[int, Callable[[bytes | None], None]]
        ] = {}  # by index: term, who waits
        self._pending_reads: list[
            tuple[int, Callable[[bool], None]]
        ] = []  # to be answered once this is applied
        self._pending_renewals: list[tuple[Callable[[Frame], None], str, config_codec.RenewLease]] = []
        self.now_us = now_us  # of this call
        self._ready_term = 0  # the term that we lead, once all before it is applied
        self._departure_terms: dict[
            str, int
        ] = {}  # ghosts that are out, and the term in which that was proposed
        self._proposed_turn = (0, 0)  # term and turn that have been proposed
        # By the turn that a gateway has: the turn that it is led on from, and the encoded frames.
        self._updates_by_turn: dict[int, tuple[int, list[bytes]]] = {}
        self._pushed_turn = -1
        self._full_copy_queue: deque[IncomingLink] = deque()  # that wait for their turn to get all of it
        self._full_copy_budget_bytes, self._budget_updated_us = float(_FULL_COPY_BURST_BYTES), now_us
        self._next_positions_us = now_us + _POSITIONS_INTERVAL_US
        self._logged_state: tuple[object, ...] = ()
        self.request_handlers = RequestHandlers(self)
        self.turn_hooks: list[Callable[[int], None]] = []  # of other packages: the turn has changed
        self.round_hooks: list[Callable[[int], int | None]] = []  # of other packages: each tells its due

    # Who is there.

    def on_outgoing_connected(self, name: str, link: PeerLink) -> None:
        """A link that we made to the keeper of this name in the log."""
        self.node_links[name] = link
        # One of both talks for the two, or each would be told all twice.
        if self._new_exchange is not None and self.node.name < name:
            self.node_exchanges[name] = link, self._new_exchange()

    def on_outgoing_closed(self, name: str, link: PeerLink) -> None:
        if self.node_links.get(name) is link:
            del self.node_links[name]
            self.node_exchanges.pop(name, None)

    def on_positions(self, name: str, frame: ReplicaPositions, now_us: int) -> None:
        """On a link that we made."""
        if name in self.node_exchanges:
            self.node_exchanges[name][1].hears(frame.body, now_us)

    def on_incoming_connected(self, guest: IncomingLink) -> None:
        previous = self.incoming_links.get(guest.key)
        if previous is not None:
            # Danger: what an earlier connection still holds unread must not be taken behind this one's.
            previous.link.end("a newer link has taken its place")
        self.incoming_links[guest.key] = guest
        if guest.role == "keeper":
            if (
                self.seen_incarnations.get(guest.name) != guest.incarnation
                and f"{guest.name}/{guest.incarnation}" not in self._member_names()
            ):
                self.log_event(
                    "keeper",
                    f"a stranger has come; to admit it: cresstray rules members FILE --replace {guest.name}",
                    name=f"{guest.name}/{guest.incarnation}",
                )
            self.seen_incarnations[guest.name] = guest.incarnation

    def on_incoming_closed(self, guest: IncomingLink) -> None:
        if self.incoming_links.get(guest.key) is guest:
            del self.incoming_links[guest.key]

    def _member_names(self) -> tuple[str, ...]:
        return self.node.members.voters + self.node.members.learners

    # What comes.

    def on_incoming_frame(self, guest: IncomingLink, frame: Frame, now_us: int) -> None:
        """BrokenError for what that side may not send, or not now."""
        self.now_us = now_us
        if self.incoming_links.get(guest.key) is not guest:
            raise FramingError("a newer link has taken its place")
        if not isinstance(frame, codec.ACCEPTED_BY_ROLE[guest.role]):
            raise FramingError(f"a {type(frame).__name__} from the role {guest.role}")
        if isinstance(frame, config_codec.RenewLease):
            self._on_renewal(guest, frame)
        elif isinstance(frame, config_codec.GetConfig):
            guest.turn = frame.turn
            self._push_config_to(guest)
        elif isinstance(frame, ReplicaPositions):
            if guest.exchange is None and self._new_exchange is not None:
                guest.exchange = self._new_exchange()
            if guest.exchange is not None:
                guest.exchange.hears(frame.body, now_us)
                # At once: an age counts from the word that is answered. Danger: one that talks without end.
                if (
                    now_us - guest.positions_sent_at_us >= _MIN_POSITIONS_REPLY_INTERVAL_US
                    and guest.link.unwritten < _MAX_UNREAD_BYTES
                ):
                    guest.positions_sent_at_us = now_us
                    guest.link.put(ReplicaPositions(guest.exchange.says(now_us)))
        elif isinstance(frame, KeepAlive):
            guest.link.put(frame)
        elif isinstance(frame, config_codec.ForwardedFrame):
            self._on_forwarded(guest, frame, now_us)
        elif isinstance(frame, config_codec.OperatorRequest):
            self._on_operator_request(guest, frame, now_us)
        else:
            self.node.step(f"{guest.name}/{guest.incarnation}", frame, now_us)

    def _on_renewal(self, guest: IncomingLink, frame: config_codec.RenewLease) -> None:
        # Danger: with a longer lease of its own it would act when the leader takes it for stopped.
        if not guest.has_same_settings:
            raise FramingError("a renewal, with another lease, floor-lease, drift, most or barred than here")
        # Danger: a renewal that is played again would have a lease counted from long ago.
        if frame.number <= guest.last_renewal:
            raise FramingError(f"renewal {frame.number} after {guest.last_renewal}")
        guest.last_renewal, frame.incarnation = frame.number, guest.incarnation
        self.counters.add("renewals")
        if guest.turn is None:
            guest.turn = frame.turn
            self._push_config_to(guest)
        if self.node.role is Role.LEADER:
            self._pending_renewals.append((guest.link.put, guest.name, frame))
        elif not self._forward(guest, frame):
            guest.link.put(config_codec.LeaseRefused(frame.number, self.state.turn, "no leader"))

    def _forward(self, guest: IncomingLink, frame: Frame) -> bool:
        leader = self.node_links.get(self.node.leader or "")
        if leader is None:
            return False
        leader.put(config_codec.ForwardedFrame(guest.key, False, encode_frame(frame)))
        return True

    def _on_forwarded(self, guest: IncomingLink, frame: config_codec.ForwardedFrame, now_us: int) -> None:
        if frame.is_reply:
            origin = self.incoming_links.get(frame.origin)
            codec.decode_forwarded(frame.body, codec.FORWARDED_REPLIES)
            if origin is not None and origin.role != "keeper":
                origin.link.write(frame.body)
            return
        inner = codec.decode_forwarded(frame.body, codec.FORWARDED_REQUESTS)

        def reply(answer: Frame) -> None:
            link = self.node_links.get(f"{guest.name}/{guest.incarnation}")
            if link is not None:
                link.put(config_codec.ForwardedFrame(frame.origin, True, encode_frame(answer)))

        role, _, name = frame.origin.partition(":")
        if isinstance(inner, config_codec.RenewLease):
            if role != "gateway":
                raise FramingError(f"a renewal carried for {frame.origin!r}")
            if self.node.role is Role.LEADER:
                self._pending_renewals.append((reply, name, inner))
            else:
                reply(config_codec.LeaseRefused(inner.number, self.state.turn, "no leader"))
            return
        # Danger: whoever carries parts of questions without an end would have them all kept.
        if len(guest.assemblers) > 64:
            guest.assemblers.clear()
        body = guest.assemblers.setdefault(frame.origin, PartAssembler()).add(inner)
        if body is not None:
            del guest.assemblers[frame.origin]
            self._handle_command(codec.decode_command(body), inner.number, reply, now_us)

    def _on_operator_request(
        self, guest: IncomingLink, frame: config_codec.OperatorRequest, now_us: int
    ) -> None:
        body = guest.assemblers.setdefault("", PartAssembler()).add(frame)
        if body is None:
            return
        command = codec.decode_command(body)
        if self.node.role is Role.LEADER:
            self._handle_command(command, frame.number, guest.link.put, now_us)
            return
        for part in codec.encode_command(frame.number, command):
            if not self._forward(guest, part):
                self._send_reply(guest.link.put, frame.number, {"error": "there is no leader", "again": True})
                return

    def _handle_command(
        self, command: codec.OperatorCommand, number: int, reply: Callable[[Frame], None], now_us: int
    ) -> None:
        self.counters.add("questions")
        self.request_handlers.handle(command, lambda answer: self._send_reply(reply, number, answer), now_us)

    @staticmethod
    def _send_reply(send: Callable[[Frame], None], number: int, answer: dict[str, Any]) -> None:
        for part in codec.encode_reply(number, answer):
            send(part)

    # What operators and other packages have put into the log.

    def is_ready_leader(self, now_us: int) -> bool:
        """Whether it leads, with all before its own term applied: what is decided rests on all there is."""
        return self._ready_term == self.node.term and self.node.has_leader_lease(now_us)

    def propose(self, data: bytes, callback: Callable[[bytes | None], None], now_us: int) -> bool:
        """`then` hears the outcome once it is applied, None where it can't be told; False: not the leader."""
        proposed = self.node.propose(data, now_us)
        if proposed is None:
            return False
        index, term = proposed
        self.pending_proposals[index] = (term, callback)
        return True

    def read(self, callback: Callable[[bool], None], now_us: int) -> None:
        """`then` hears True once all that was committed before this is applied; False: not the leader."""
        if not self.node.request_read(callback, now_us):
            callback(False)

    # One round.

    def run_round(self, now_us: int) -> int:
        """All that is to be done now, synced before it is told; the moment to call again, at the latest."""
        self.now_us = now_us
        if now_us >= self.node.next_tick_us:
            self.node.tick(now_us)
        self._process_ready(now_us)
        self._advance_turn(now_us)
        self._answer_renewals(now_us)
        # What has just been confirmed may be the last that a turn waited for.
        self._advance_turn(now_us)
        self._process_ready(now_us)
        self._push_config(now_us)
        self._send_positions(now_us)
        due_times_us = [self.node.next_tick_us, self._next_positions_us]
        due_times_us += [due_us for hook in self.round_hooks if (due_us := hook(now_us)) is not None]
        self._process_ready(now_us)
        self._log_role_changes()
        if self._full_copy_queue:
            due_times_us.append(now_us + 20_000)
        if self._ready_term and self.state.pending_turn() is not None:
            due_times_us.append(self.leases.next_expiry_us(self.state, now_us) or now_us + self.settings.beat)
        return max(now_us, min(due_times_us))

    def _process_ready(self, now_us: int) -> None:
        while ready := self.node.ready():
            if ready.pending_write is not None:
                self._persist(ready.pending_write)
            for to, frame in ready.messages:
                link = self.node_links.get(to)
                if link is not None:
                    link.put(frame)
            if ready.restored_snapshot is not None:
                self._restore(ready.restored_snapshot)
            for index, entry in ready.committed_entries:
                self._apply(index, entry)
            for callback, index in ready.read_results:
                if index is None:
                    callback(False)
                else:
                    self._pending_reads.append((index, callback))
            if self._pending_reads:
                ready_callbacks = [
                    callback for index, callback in self._pending_reads if index <= self.applied_index
                ]
                self._pending_reads = [read for read in self._pending_reads if read[0] > self.applied_index]
                for callback in ready_callbacks:
                    callback(True)

    def _restore(self, snapshot: Snapshot) -> None:
        if snapshot.data:  # the founders' has none
            self.state.restore(snapshot.data)
        self.applied_index, self._entries_since_snapshot, self._bytes_since_snapshot = snapshot.index, 0, 0
        for index in [index for index in self.pending_proposals if index <= snapshot.index]:
            self.pending_proposals.pop(index)[1](None)

    def _apply(self, index: int, entry: Any) -> None:
        outcome = self.state.apply(index, entry.data) if entry.kind == EntryKind.DATA else b""
        self.applied_index = index
        self._entries_since_snapshot, self._bytes_since_snapshot = (
            self._entries_since_snapshot + 1,
            self._bytes_since_snapshot + len(entry.data),
        )
        self.counters.add("entries applied")
        term, callback = self.pending_proposals.pop(index, (0, None))
        if callback is not None:
            callback(outcome if term == entry.term else None)
        if (
            self._entries_since_snapshot >= _SNAPSHOT_AFTER_ENTRIES
            or self._bytes_since_snapshot >= _SNAPSHOT_AFTER_BYTES
        ):
            self.node.compact(index, self.state.snapshot())
            self._entries_since_snapshot = self._bytes_since_snapshot = 0

    def _advance_turn(self, now_us: int) -> None:
        """Makes the next turn as soon as no lease is in its way."""
        node = self.node
        if node.role is not Role.LEADER:
            self._ready_term = 0
            for index in list(self.pending_proposals):
                # Danger: it may be committed yet, by the next leader; whoever waits asks again by its name.
                self.pending_proposals.pop(index)[1](None)
            return
        if self._ready_term != node.term:
            # Danger: before something of our own term is applied, turns that an earlier leader made may be
            # missing here, and a lease for what we have would be for what is no longer in force.
            if not node.has_leader_lease(now_us) or self.applied_index < node.commit_index:
                return
            self._ready_term = node.term
            self._departure_terms.clear()
            self.leases.on_elected(self.state.counting_gateways(), node.elected_at_us)
        turn = self.state.pending_turn()
        if turn is None or self._proposed_turn == (node.term, turn):
            return
        if self.leases.can_advance(self.state, now_us):
            if self.propose(commands.encode_advance(turn), lambda _: None, now_us):
                self._proposed_turn = (node.term, turn)

    def _answer_renewals(self, now_us: int) -> None:
        renewals, self._pending_renewals = self._pending_renewals, []
        is_ready_leader = self.is_ready_leader(now_us)
        for reply, name, frame in renewals:
            if self._ready_term != self.node.term:
                reply(config_codec.LeaseRefused(frame.number, self.state.turn, "no leader"))
                continue
            reply(
                self.leases.renew(
                    name,
                    frame.number,
                    frame.turn,
                    self.state,
                    is_ready_leader,
                    now_us,
                    frame.incarnation,
                    frame.has_stopped,
                )
            )
            if (
                self.leases.has_departed(name, self.state)
                and self._departure_terms.get(name) != self.node.term
            ):
                self._departure_terms[name] = self.node.term
                self.propose(commands.encode_departed(name), lambda _: None, now_us)

    # What gateways are given.

    def _push_config(self, now_us: int) -> None:
        if self.state.turn != self._pushed_turn:
            self._pushed_turn = self.state.turn
            self._updates_by_turn.clear()
            for turn_hooks in self.turn_hooks:
                turn_hooks(now_us)
            for guest in self.incoming_links.values():
                self._push_config_to(guest)
        self._full_copy_budget_bytes = min(
            _FULL_COPY_BURST_BYTES,
            self._full_copy_budget_bytes + (now_us - self._budget_updated_us) * _FULL_COPY_BYTES_PER_S / 1e6,
        )
        self._budget_updated_us = now_us
        while self._full_copy_queue and self._full_copy_budget_bytes > 0:
            guest = self._full_copy_queue.popleft()
            if self.incoming_links.get(guest.key) is guest and (guest.turn or 0) < self.state.turn:
                self._full_copy_budget_bytes -= self._send_updates(guest)
                self.counters.add("whole copies given")

    def _push_config_to(self, guest: IncomingLink) -> None:
        """What differs at once; all of it when its turn comes."""
        if guest.role != "gateway" or guest.turn is None or guest.turn >= self.state.turn:
            return
        if guest.link.unwritten > _MAX_UNREAD_BYTES:
            return
        if not self._updates_from(guest.turn)[0]:
            if guest not in self._full_copy_queue:
                self._full_copy_queue.append(guest)
        else:
            self._send_updates(guest)
            self.counters.add("changes given")

    def _updates_from(self, turn: int) -> tuple[int, list[bytes]]:
        if turn not in self._updates_by_turn:
            body = self.state.updates_since(turn)
            base = msgspec.msgpack.decode(body, type=ConfigUpdates).base
            self._updates_by_turn[turn] = (
                base,
                [encode_frame(part) for part in config_codec.config_parts(base, self.state.turn, body)],
            )
        return self._updates_by_turn[turn]

    def _send_updates(self, guest: IncomingLink) -> int:
        _, frames = self._updates_from(guest.turn)
        guest.turn = self.state.turn
        for part in frames:
            guest.link.write(part)
        return sum(map(len, frames))

    def _send_positions(self, now_us: int) -> None:
        if now_us < self._next_positions_us:
            return
        self._next_positions_us = now_us + _POSITIONS_INTERVAL_US
        for link, exchange in self.node_exchanges.values():
            link.put(ReplicaPositions(exchange.says(now_us)))

    def _log_role_changes(self) -> None:
        node = self.node
        led_term = node.term if node.role is Role.LEADER else 0
        current = (node.role.value, led_term, node.leader, node.members)
        if current != self._logged_state:
            if not self._logged_state or current[:3] != self._logged_state[:3]:
                self.log_event("log", "is " + current[0], term=node.term, leader=node.leader)
            if not self._logged_state or current[3] != self._logged_state[3]:
                self.log_event(
                    "log",
                    "members",
                    voters=",".join(node.members.voters),
                    learners=",".join(node.members.learners),
                )
            self._logged_state = current

    def status(self) -> Mapping[str, Any]:
        node = self.node
        return {
            "name": node.name,
            "role": node.role.value,
            "term": node.term,
            "leader": node.leader,
            "commit": node.commit_index,
            "applied": self.applied_index,
            "turn": self.state.turn,
        }
