"""Replica positions and shard moves, as far as a control-plane node takes part in them."""

from __future__ import annotations

import traceback
from collections.abc import Callable

import msgspec

from cresstray.consensus.raft import Role
from cresstray.control_plane.node_controller import NodeController, PeerLink
from cresstray.fleet_config.codec import ReplicaPositions
from cresstray.observability.counters import Counters
from cresstray.placement.data_transfer import TransferClient
from cresstray.placement.move_executor import DiskReport, MoveExecutor, Proposal
from cresstray.placement.moves import MoveSection
from cresstray.replicas.positions import PositionTable
from cresstray.replicas.spread import (
    MAX_WANTED_SHARDS,
    LinkPositionExchange,
    PositionPeer,
    PositionRelay,
    encode_message,
)

# Shards in one message to another node. 5,000 shards take about twenty seconds; those that change go first.
_MAX_SHARDS = 64
# A peer that has this much unread gets no urgent messages, as all of it is kept in memory.
_MAX_UNREAD_BYTES = 256 * 1024
# All new positions are sent to another node at most this often: slightly less than the interval of messages.
_MIN_FULL_INTERVAL_US = 200_000
# How often the next steps of moves are looked for: short compared with a copy or a turn.
_MOVE_CHECK_INTERVAL_US = 100_000


class _NodePositionExchange(LinkPositionExchange):
    """An exchange of positions that passes on what the peer wants."""

    def __init__(self, positions: PositionDistributor, table: PositionTable) -> None:
        super().__init__(table, _MAX_SHARDS)
        self._positions, self._full_sent_at_us = positions, -_MIN_FULL_INTERVAL_US

    def next_message(self, now_us: int) -> bytes:
        """Returns the body of the next message to the peer."""
        max_shards = _MAX_SHARDS
        if self.peer.wants_all:
            # Otherwise each message of a node that only asks would be answered with all new positions.
            max_shards = 0 if now_us - self._full_sent_at_us < _MIN_FULL_INTERVAL_US else _MAX_SHARDS
            self._full_sent_at_us = now_us if max_shards else self._full_sent_at_us
        return encode_message(self.peer.make_message(max_shards, None, now_us))

    def on_message(self, body: bytes, now_us: int) -> None:
        """Handles the body of a message of the peer."""
        super().on_message(body, now_us)
        self._positions.handle_requests(self.peer, now_us)


class PositionDistributor:
    """Merges the replica positions that gateways send and engines report, and sends them on to peers.

    Only the leader polls engines, so that one node bounds the polling; without a leader there is no lease to
    read replicas by anyway. Other nodes forward requests to it, and its replies to those that wait.
    """

    def __init__(self, drift: float, log_event: Callable[..., None], counters: Counters) -> None:
        self._table = PositionTable(
            lambda text: log_event("replicas", text), drift, forwards_peer_positions=True
        )
        self._exchange, self._counters = PositionRelay(self._table), counters
        self._controller: NodeController
        self._poll_engines: Callable[[list[str]], None]

    def new_exchange(self) -> LinkPositionExchange:
        """Returns the exchange for a new link."""
        return _NodePositionExchange(self, self._table)

    def handle_requests(self, peer: PositionPeer, now_us: int) -> None:
        """Handles the requests for positions in a peer's last message."""
        self._exchange.handle_requests(peer, self._controller.is_ready_leader(now_us), now_us)

    def on_disk_report(self, disk: DiskReport, now_us: int) -> bool:
        """Records an engine's report of all its replicas; returns whether any peer waits for positions."""
        for shard, replica in disk.copies.items():
            head = replica.head if replica.primary else None
            self._table.record_report(
                shard, disk.engine, replica.epoch, replica.applied, head, disk.asked_at_us, now_us
            )
        return self._exchange.record_reply(disk.engine, disk.asked_at_us)

    def attach(self, controller: NodeController, poll_engines: Callable[[list[str]], None]) -> None:
        """Connects to the controller; `poll_engines` polls the named engines at once."""
        self._controller, self._poll_engines = controller, poll_engines
        controller.turn_hooks.append(
            lambda now_us: self._table.set_placement(controller.state.effective.placement.items, now_us)
        )
        controller.round_hooks.append(self._on_round)

    def _on_round(self, now_us: int) -> int | None:
        controller, exchange = self._controller, self._exchange
        if controller.is_ready_leader(now_us):
            engines = exchange.due_engines(controller.state.effective.placement.items, now_us)
            if engines:
                self._counters.add("positions asked for", len(engines))
                self._poll_engines(engines)
        elif needs := exchange.poll_schedule.requests_to_forward(MAX_WANTED_SHARDS, now_us):
            # Requests aren't kept while there is no leader, as the next one would be asked for outdated ones.
            for peer, link in self._peer_links(controller.node.leader):
                self._counters.add("positions asked of the leader", len(needs))
                link.put(ReplicaPositions(encode_message(peer.make_request(needs, now_us))))
        urgent = exchange.urgent_messages(now_us)
        if urgent:
            links = dict(self._peer_links())
            for peer, message in urgent:
                if peer in links:
                    links[peer].put(ReplicaPositions(encode_message(message)))
        return exchange.next_due_us()

    def _peer_links(self, keeper: str | None = "") -> list[tuple[PositionPeer, PeerLink]]:
        """Returns peers and their links: all, or those to one node."""
        controller = self._controller
        outgoing = [
            (exchange.peer, link)
            for name, (link, exchange) in controller.node_exchanges.items()
            if keeper in ("", name)
        ]
        return outgoing + [
            (incoming.exchange.peer, incoming.link)
            for key, incoming in controller.incoming_links.items()
            if incoming.exchange is not None
            and incoming.link.unsent_bytes < _MAX_UNREAD_BYTES
            and keeper in ("", key.removeprefix("keeper:"))
        ]


class MoveCoordinator:
    """Runs a move executor while this node leads.

    Attributes:
        addresses: Of engines, by ID.
        hands: Connections to the engines.
    """

    def __init__(
        self, moves: MoveSection, clock: Callable[[], int], counters: Counters, log_event: Callable[..., None]
    ) -> None:
        self._moves, self._clock = moves, clock
        self.addresses: dict[str, tuple[str, int]] = {}
        self.hands = TransferClient(
            lambda: self.addresses, self._propose, self._is_ready_leader, clock, counters, log_event
        )
        self._carrier: MoveExecutor | None = None
        self._term = self._next_run_us = 0
        self._controller: NodeController

    def attach(self, controller: NodeController) -> None:
        """Connects to the controller, and registers the queries for moves and disks."""
        self._controller = controller
        controller.round_hooks.append(self._on_round)
        controller.request_handlers.register_status(
            "moves",
            lambda: self._moves.status()
            | {
                "waits": {str(move): why for move, why in self._carrier.waits.items()}
                if self._carrier
                else {}
            },
        )
        controller.request_handlers.register_status(
            "disks",
            lambda: {
                "disks": {
                    name: msgspec.to_builtins(disk) for name, disk in sorted(self.hands.reports.items())
                }
            },
        )

    def _is_ready_leader(self) -> bool:
        return self._controller.is_ready_leader(self._clock())

    def _propose(self, entry: Proposal) -> None:
        try:
            self._controller.propose(entry.data, lambda _: None, self._clock())
        except ValueError as error:
            self._controller.log_event("moves", "an entry can't be proposed", why=str(error))

    def _on_round(self, now_us: int) -> int | None:
        controller = self._controller
        if not self.addresses or not controller.is_ready_leader(now_us):
            if self._term != controller.node.term:
                self._carrier = None
            return (
                now_us + _MOVE_CHECK_INTERVAL_US
                if self.addresses and controller.node.role is Role.LEADER
                else None
            )
        # An executor of an earlier term has an outdated view of the moves.
        if self._carrier is None or self._term != controller.node.term:
            self._carrier, self._term = MoveExecutor(), controller.node.term
        if now_us >= self._next_run_us:
            self._next_run_us = now_us + _MOVE_CHECK_INTERVAL_US
            # A bug in moves must not end the node. A new executor starts after a while.
            try:
                self.hands.execute(
                    self._carrier.next_actions(controller.state, self._moves, self.hands.reports, now_us)
                )
            except Exception:
                controller.counters.add("faults")
                controller.log_event("fault", traceback.format_exc(), of="moves")
                self._carrier, self._next_run_us = None, now_us + 50 * _MOVE_CHECK_INTERVAL_US
        return self._next_run_us
