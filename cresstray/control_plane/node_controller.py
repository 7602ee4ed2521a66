"""A control-plane node without I/O: the log, the fleet configuration, the leases and the connected peers.

The caller passes each frame to `on_incoming_frame` or `on_positions`, then calls `run_round` once for all
that came, and again at the time that it returns.
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
from cresstray.fleet_config.renewals import PendingRenewal, RenewalHandler
from cresstray.fleet_config.state import ConfigState, ConfigUpdates
from cresstray.observability.counters import Counters
from cresstray.transport.framing import Frame, FramingError, encode_frame

# A snapshot is made after this much was applied: a restart reads the rest in well under a second.
_SNAPSHOT_AFTER_ENTRIES, _SNAPSHOT_AFTER_BYTES = 4096, 4 * 1024 * 1024
# Rate and burst of full configuration copies, over all gateways. 230 gateways that reconnect without any
# version get 20 kB each in about three seconds. Updates of a version that a gateway has are never delayed.
_FULL_COPY_BYTES_PER_S, _FULL_COPY_BURST_BYTES = 1_500_000, 256 * 1024
# Replica positions are sent to other nodes at the first interval. A peer's message is answered at once, but
# at most once in the second interval.
_POSITIONS_INTERVAL_US, _MIN_POSITIONS_REPLY_INTERVAL_US = 250_000, 20_000
# A peer that has this much unread gets nothing more, as all of it is kept in memory.
_MAX_UNREAD_BYTES = 1024 * 1024


class PeerLink(Protocol):
    """A link to a peer, as far as the controller uses it."""

    def put(self, frame: Frame) -> None:
        """Sends a frame."""

    def write(self, message: bytes) -> None:
        """Sends an encoded frame."""

    def end(self, why: str) -> None:
        """Ends the link; `why` is logged."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait to be sent, as the peer does not read."""


@dataclass(eq=False)
class IncomingLink:
    """A link that a peer made to this node, and what the peer has been sent."""

    link: PeerLink
    role: str
    name: str
    incarnation: str
    key: str  # finds the link for a reply of the leader
    has_same_settings: bool = True  # the peer's settings have the same times and bounds
    last_renewal: int = -1  # number of the last lease renewal
    turn: int | None = None  # turn of the configuration that the peer has; None before it has said so
    exchange: PositionExchange | None = None  # once the peer has sent replica positions
    positions_sent_at_us: int = 0
    assemblers: dict[str, PartAssembler] = field(default_factory=dict)


class PositionExchange(Protocol):
    """The exchange of replica positions on one link; made and dropped with the link."""

    def next_message(self, now_us: int) -> bytes:
        """Returns the body of the next message to the peer."""

    def on_message(self, body: bytes, now_us: int) -> None:
        """Handles the body of a message of the peer.

        Raises:
            FramingError: it does not follow the protocol.
        """


class NodeController:
    """Joins the Raft node, the configuration state, the leases and the links of one control-plane node.

    Attributes:
        node_links: Links that this node made, by the other node's name in the log.
        incoming_links: Links that peers made, by their key.
        node_exchanges: Exchanges of positions on links that this node made.
        seen_incarnations: The latest incarnation that has connected, by node.
        applied_index: Index of the last applied entry.
        pending_proposals: By index, the proposed term and the callback for the outcome.
        now_us: Time of the current call.
        turn_hooks: Callbacks of other packages for when the turn has changed.
        round_hooks: Callbacks of other packages for each round; they return when they are due next, or None.
    """

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
        self.node_links: dict[str, PeerLink] = {}
        self.incoming_links: dict[str, IncomingLink] = {}
        self.node_exchanges: dict[str, tuple[PeerLink, PositionExchange]] = {}
        self.seen_incarnations: dict[str, str] = {}
        self.applied_index = 0
        self._entries_since_snapshot = self._bytes_since_snapshot = 0
        self.pending_proposals: dict[int, tuple[int, Callable[[bytes | None], None]]] = {}
        # Index to have applied, and callback.
        self._pending_reads: list[tuple[int, Callable[[bool], None]]] = []
        self._renewals = RenewalHandler(
            leases, state, lambda data, callback: self.propose(data, callback, self.now_us)
        )
        self.now_us = now_us
        self._ready_term = 0  # the term that this node leads, once it has applied all earlier ones
        self._proposed_turn = (0, 0)  # term and turn
        # By the turn that a gateway has: the turn that the updates start from, and the encoded frames.
        self._updates_by_turn: dict[int, tuple[int, list[bytes]]] = {}
        self._pushed_turn = -1
        self._full_copy_queue: deque[IncomingLink] = deque()  # gateways that wait for a full copy
        self._full_copy_budget_bytes, self._budget_updated_us = float(_FULL_COPY_BURST_BYTES), now_us
        self._next_positions_us = now_us + _POSITIONS_INTERVAL_US
        self._logged_state: tuple[object, ...] = ()
        self.request_handlers = RequestHandlers(self)
        self.turn_hooks: list[Callable[[int], None]] = []
        self.round_hooks: list[Callable[[int], int | None]] = []

    # Links.

    def on_outgoing_connected(self, name: str, link: PeerLink) -> None:
        """Adds a link that this node made to the node of this name in the log."""
        self.node_links[name] = link
        # Two nodes have two links. Only one carries positions, or both nodes would get each twice.
        if self._new_exchange is not None and self.node.name < name:
            self.node_exchanges[name] = link, self._new_exchange()

    def on_outgoing_closed(self, name: str, link: PeerLink) -> None:
        """Removes a link that this node made."""
        if self.node_links.get(name) is link:
            del self.node_links[name]
            self.node_exchanges.pop(name, None)

    def on_positions(self, name: str, frame: ReplicaPositions, now_us: int) -> None:
        """Handles positions that came on a link that this node made."""
        if name in self.node_exchanges:
            self.node_exchanges[name][1].on_message(frame.body, now_us)

    def on_incoming_connected(self, peer: IncomingLink) -> None:
        """Adds a link that a peer made, in place of an earlier link of that peer."""
        previous = self.incoming_links.get(peer.key)
        if previous is not None:
            # Unread frames of the earlier connection must not be handled after those of the new one.
            previous.link.end("a newer link has taken its place")
        self.incoming_links[peer.key] = peer
        if peer.role == "keeper":
            if (
                self.seen_incarnations.get(peer.name) != peer.incarnation
                and f"{peer.name}/{peer.incarnation}" not in self._member_names()
            ):
                self.log_event(
                    "keeper",
                    f"a stranger has come; to admit it: cresstray rules members FILE --replace {peer.name}",
                    name=f"{peer.name}/{peer.incarnation}",
                )
            self.seen_incarnations[peer.name] = peer.incarnation

    def on_incoming_closed(self, peer: IncomingLink) -> None:
        """Removes a link that a peer made."""
        if self.incoming_links.get(peer.key) is peer:
            del self.incoming_links[peer.key]

    def _member_names(self) -> tuple[str, ...]:
        return self.node.members.voters + self.node.members.learners

    # Frames.

    def on_incoming_frame(self, peer: IncomingLink, frame: Frame, now_us: int) -> None:
        """Handles a frame on a link that a peer made.

        Raises:
            FramingError: the peer may not send it, or not now.
        """
        self.now_us = now_us
        if self.incoming_links.get(peer.key) is not peer:
            raise FramingError("a newer link has taken its place")
        if not isinstance(frame, codec.ACCEPTED_BY_ROLE[peer.role]):
            raise FramingError(f"a {type(frame).__name__} from the role {peer.role}")
        if isinstance(frame, config_codec.RenewLease):
            self._on_renewal(peer, frame)
        elif isinstance(frame, config_codec.GetConfig):
            peer.turn = frame.turn
            self._push_config_to(peer)
        elif isinstance(frame, ReplicaPositions):
            if peer.exchange is None and self._new_exchange is not None:
                peer.exchange = self._new_exchange()
            if peer.exchange is not None:
                peer.exchange.on_message(frame.body, now_us)
                # The reply is sent at once, as the peer counts the age of positions from the message that the
                # reply names. The rate is limited against a peer that sends without end.
                if (
                    now_us - peer.positions_sent_at_us >= _MIN_POSITIONS_REPLY_INTERVAL_US
                    and peer.link.unsent_bytes < _MAX_UNREAD_BYTES
                ):
                    peer.positions_sent_at_us = now_us
                    peer.link.put(ReplicaPositions(peer.exchange.next_message(now_us)))
        elif isinstance(frame, KeepAlive):
            peer.link.put(frame)
        elif isinstance(frame, config_codec.ForwardedFrame):
            self._on_forwarded(peer, frame, now_us)
        elif isinstance(frame, config_codec.OperatorRequest):
            self._on_operator_request(peer, frame, now_us)
        else:
            self.node.step(f"{peer.name}/{peer.incarnation}", frame, now_us)

    def _on_renewal(self, peer: IncomingLink, frame: config_codec.RenewLease) -> None:
        # A gateway with a longer lease would still act when the leader takes its lease for expired.
        if not peer.has_same_settings:
            raise FramingError("a renewal, with another lease, floor-lease, drift, most or barred than here")
        # A replayed renewal would have the lease count from the time of the first one.
        if frame.number <= peer.last_renewal:
            raise FramingError(f"renewal {frame.number} after {peer.last_renewal}")
        peer.last_renewal, frame.incarnation = frame.number, peer.incarnation
        self.counters.add("renewals")
        if peer.turn is None:
            peer.turn = frame.turn
            self._push_config_to(peer)
        if self.node.role is Role.LEADER:
            self._renewals.add(PendingRenewal(peer.link.put, peer.name, frame))
        elif not self._forward(peer, frame):
            peer.link.put(config_codec.LeaseRefused(frame.number, self.state.turn, "no leader"))

    def _forward(self, peer: IncomingLink, frame: Frame) -> bool:
        leader = self.node_links.get(self.node.leader or "")
        if leader is None:
            return False
        leader.put(config_codec.ForwardedFrame(peer.key, False, encode_frame(frame)))
        return True

    def _on_forwarded(self, peer: IncomingLink, frame: config_codec.ForwardedFrame, now_us: int) -> None:
        if frame.is_reply:
            origin = self.incoming_links.get(frame.origin)
            codec.decode_forwarded(frame.body, codec.FORWARDED_REPLIES)
            if origin is not None and origin.role != "keeper":
                origin.link.write(frame.body)
            return
        inner = codec.decode_forwarded(frame.body, codec.FORWARDED_REQUESTS)

        def reply(answer: Frame) -> None:
            link = self.node_links.get(f"{peer.name}/{peer.incarnation}")
            if link is not None:
                link.put(config_codec.ForwardedFrame(frame.origin, True, encode_frame(answer)))

        role, _, name = frame.origin.partition(":")
        if isinstance(inner, config_codec.RenewLease):
            if role != "gateway":
                raise FramingError(f"a renewal forwarded for {frame.origin!r}")
            if self.node.role is Role.LEADER:
                self._renewals.add(PendingRenewal(reply, name, inner))
            else:
                reply(config_codec.LeaseRefused(inner.number, self.state.turn, "no leader"))
            return
        # Bounds the unfinished commands that a node forwards.
        if len(peer.assemblers) > 64:
            peer.assemblers.clear()
        body = peer.assemblers.setdefault(frame.origin, PartAssembler()).add(inner)
        if body is not None:
            del peer.assemblers[frame.origin]
            self._handle_command(codec.decode_command(body), inner.number, reply, now_us)

    def _on_operator_request(
        self, peer: IncomingLink, frame: config_codec.OperatorRequest, now_us: int
    ) -> None:
        body = peer.assemblers.setdefault("", PartAssembler()).add(frame)
        if body is None:
            return
        command = codec.decode_command(body)
        if self.node.role is Role.LEADER:
            self._handle_command(command, frame.number, peer.link.put, now_us)
            return
        for part in codec.encode_command(frame.number, command):
            if not self._forward(peer, part):
                self._send_reply(peer.link.put, frame.number, {"error": "there is no leader", "again": True})
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

    # Proposals and reads.

    def is_ready_leader(self, now_us: int) -> bool:
        """Returns whether this node has the leader's lease and has applied all entries of earlier terms."""
        return self._ready_term == self.node.term and self.node.has_leader_lease(now_us)

    def propose(self, data: bytes, callback: Callable[[bytes | None], None], now_us: int) -> bool:
        """Proposes an entry; returns False if this node is not the leader.

        Args:
            data: The encoded command.
            callback: Called with the outcome once the entry is applied, or with None if it is unknown.
            now_us: The current time.
        """
        proposed = self.node.propose(data, now_us)
        if proposed is None:
            return False
        index, term = proposed
        self.pending_proposals[index] = (term, callback)
        return True

    def read(self, callback: Callable[[bool], None], now_us: int) -> None:
        """Requests a linearizable read.

        Args:
            callback: Called with True once all that was committed before the request is applied, or with
                False if this node is not the leader.
            now_us: The current time.
        """
        if not self.node.request_read(callback, now_us):
            callback(False)

    # Rounds.

    def run_round(self, now_us: int) -> int:
        """Does all work that is due, syncing before sending; returns when to call again at the latest."""
        self.now_us = now_us
        if now_us >= self.node.next_tick_us:
            self.node.tick(now_us)
        self._process_ready(now_us)
        self._advance_turn(now_us)
        self._answer_renewals(now_us)
        # A renewal just answered may be the last one that the next turn waited for.
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
        if self._renewals.has_pending:  # their holder was recorded only now
            due_times_us.append(now_us)
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
        if snapshot.data:  # the first snapshot of a node has none
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
        """Proposes the next turn as soon as no gateway's lease prevents it."""
        node = self.node
        if node.role is not Role.LEADER:
            self._ready_term = 0
            for index in list(self.pending_proposals):
                # The next leader may still commit it, so the outcome is unknown; callers retry with the same
                # request ID.
                self.pending_proposals.pop(index)[1](None)
            return
        if self._ready_term != node.term:
            # Until an entry of this term is applied, turns that an earlier leader made may be missing here,
            # and a lease would be granted for a configuration that is no longer in force.
            if not node.has_leader_lease(now_us) or self.applied_index < node.commit_index:
                return
            self._ready_term = node.term
            self._renewals.on_elected()
            self.leases.on_elected(self.state.counting_gateways(), node.elected_at_us)
        turn = self.state.pending_turn()
        if turn is None or self._proposed_turn == (node.term, turn):
            return
        if self.leases.can_advance(self.state, now_us):
            if self.propose(commands.encode_advance(turn), lambda _: None, now_us):
                self._proposed_turn = (node.term, turn)

    def _answer_renewals(self, now_us: int) -> None:
        self._renewals.answer(self._ready_term == self.node.term, self.is_ready_leader(now_us), now_us)

    # Configuration and positions for peers.

    def _push_config(self, now_us: int) -> None:
        if self.state.turn != self._pushed_turn:
            self._pushed_turn = self.state.turn
            self._updates_by_turn.clear()
            for hook in self.turn_hooks:
                hook(now_us)
            for peer in self.incoming_links.values():
                self._push_config_to(peer)
        self._full_copy_budget_bytes = min(
            _FULL_COPY_BURST_BYTES,
            self._full_copy_budget_bytes + (now_us - self._budget_updated_us) * _FULL_COPY_BYTES_PER_S / 1e6,
        )
        self._budget_updated_us = now_us
        while self._full_copy_queue and self._full_copy_budget_bytes > 0:
            peer = self._full_copy_queue.popleft()
            if self.incoming_links.get(peer.key) is peer and (peer.turn or 0) < self.state.turn:
                self._full_copy_budget_bytes -= self._send_updates(peer)
                self.counters.add("whole copies given")

    def _push_config_to(self, peer: IncomingLink) -> None:
        """Sends the updates that a gateway lacks, or queues it for a full copy."""
        if peer.role != "gateway" or peer.turn is None or peer.turn >= self.state.turn:
            return
        if peer.link.unsent_bytes > _MAX_UNREAD_BYTES:
            return
        if not self._updates_from(peer.turn)[0]:
            if peer not in self._full_copy_queue:
                self._full_copy_queue.append(peer)
        else:
            self._send_updates(peer)
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

    def _send_updates(self, peer: IncomingLink) -> int:
        _, frames = self._updates_from(peer.turn)
        peer.turn = self.state.turn
        for part in frames:
            peer.link.write(part)
        return sum(map(len, frames))

    def _send_positions(self, now_us: int) -> None:
        if now_us < self._next_positions_us:
            return
        self._next_positions_us = now_us + _POSITIONS_INTERVAL_US
        for link, exchange in self.node_exchanges.values():
            link.put(ReplicaPositions(exchange.next_message(now_us)))

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
        """Returns the fields of the status log line."""
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
