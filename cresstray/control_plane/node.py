"""The process of a control-plane node: its file, sockets, clock and signals."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import socket
import sqlite3
import sys
import time
import traceback
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import anyio
import msgspec

from cresstray.config import operator
from cresstray.config.fleet import Fleet
from cresstray.config.lines import UnusableError
from cresstray.consensus.entries import EntryKind, Members, PendingWrite
from cresstray.consensus.raft import Node, Role, Timing
from cresstray.consensus.storage import Storage, UnusableFileError
from cresstray.control_plane import codec
from cresstray.control_plane.codec import KeepAlive
from cresstray.control_plane.node_controller import IncomingLink, NodeController
from cresstray.control_plane.replica_positions import MoveCoordinator, PositionDistributor
from cresstray.fleet_config import documents
from cresstray.fleet_config.codec import ReplicaPositions
from cresstray.fleet_config.documents import FleetInventory
from cresstray.fleet_config.leases import LeaseTable
from cresstray.fleet_config.state import ConfigState
from cresstray.observability.counters import Counters
from cresstray.observability.event_log import EventLog
from cresstray.placement.move_executor import DiskReport
from cresstray.placement.moves import MoveSection
from cresstray.transport import peers
from cresstray.transport.framing import Frame, FramingError
from cresstray.transport.peers import Link, PeerLinkManager

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from cresstray.sites.tls import TlsContexts

# Interval of keep-alives on links to other nodes, and the silence after which a link ends: several election
# timeouts, but much shorter than a lease.
_KEEP_ALIVE_INTERVAL_S, _SILENCE_TIMEOUT_S = 0.4, 1.5
# How long a leader that shuts down waits for another node to take over.
_TRANSFER_TIMEOUT_S = 1.0


def now_us() -> int:
    """Returns the time of a clock that runs on while the process is stopped or the machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def storage_path(settings: Fleet, name: str) -> str:
    """Returns the path of a node's file."""
    return str(Path(settings.folder) / f"{name}.db")


def create_storage(settings: Fleet, name: str) -> str:
    """Creates the file of a node of a new fleet and returns its path.

    Raises:
        UnusableFileError: there is a file already.
    """
    path = storage_path(settings, name)
    Path(settings.folder).mkdir(parents=True, exist_ok=True)
    Storage.create(
        path, f"{name}/1", Members(tuple(sorted(f"{keeper.name}/1" for keeper in settings.keepers)))
    )
    return path


class NodeProcess:
    """The process of one control-plane node.

    Args:
        settings: Of the fleet.
        name: Of this node.
        settings_path: The file that is read again after SIGHUP.

    Raises:
        UnusableFileError: the node's file can't be used.
        UnusableError: the file is another node's.
        OSError: the TLS keys can't be read.
    """

    def __init__(self, settings: Fleet, name: str, settings_path: str = "") -> None:
        self._settings, self.name, self._settings_path = settings, name, settings_path
        self._event_log = EventLog(now_us, keeper=name)
        self.counters = Counters()
        path = storage_path(settings, name)
        is_new = not os.path.exists(path)
        if is_new:
            Path(settings.folder).mkdir(parents=True, exist_ok=True)
            Storage.create(path, f"{name}/{os.urandom(4).hex()}", Members(()))
        self._storage = Storage(path)
        persistent_state = self._storage.load()
        owner_name, _, self.incarnation = persistent_state.name.partition("/")
        if owner_name != name:
            raise UnusableError([f"{path}: expected the file of {name}; it is of {persistent_state.name}"])
        if is_new or not persistent_state.snapshot.members.names() and not persistent_state.entries:
            self._log_event(
                "keeper",
                "a stranger: it has no part in the log until an operator types: "
                f"cresstray rules members FILE --replace {name}",
                name=persistent_state.name,
            )
        random = Random(os.urandom(16)).random
        started_at_us = now_us()
        moves = MoveSection()
        state = ConfigState(initial_fleet_inventory(settings), {"moves": moves})
        node = Node(
            persistent_state, Timing(settings.beat, settings.election, settings.drift), random, started_at_us
        )
        self._positions = PositionDistributor(settings.drift, self._log_event, self.counters)
        self._move_coordinator = MoveCoordinator(moves, now_us, self.counters, self._log_event)
        leases = LeaseTable(settings.lease, settings.floor_lease, settings.drift)
        self._controller = NodeController(
            settings,
            node,
            state,
            leases,
            self._persist,
            self._log_event,
            self.counters,
            started_at_us,
            self._positions.new_exchange,
        )
        self._positions.attach(self._controller, self._move_coordinator.hands.poll)
        self._move_coordinator.hands.on_report = self._on_disk_report
        self._move_coordinator.attach(self._controller)
        self._update_engines(settings)
        self._address = settings.keeper(name).address
        contexts = _contexts(settings)
        self._incoming = PeerLinkManager(
            codec.ACCEPTED_FRAMES, contexts, random, self._event_log, self.counters
        )
        self._outgoing = PeerLinkManager(
            codec.RETURNED_FRAMES, contexts, random, self._event_log, self.counters
        )
        self._timer: asyncio.TimerHandle | None = None
        self._due_us = started_at_us  # when the next round is due at the latest
        self._is_round_scheduled, self._operator_serial = False, 0
        self.failure = ""
        self._tasks: TaskGroup

    def _log_event(self, kind: str, event: str, **fields: object) -> None:
        self._event_log.log(kind, event, **fields)

    def _update_engines(self, settings: Fleet) -> None:
        self._move_coordinator.addresses = {engine.id: engine.address for engine in settings.engines}
        self._controller.request_handlers.zones = {engine.id: engine.zone for engine in settings.engines}

    def _on_disk_report(self, disk: DiskReport, received_at_us: int) -> None:
        if self._positions.on_disk_report(disk, received_at_us):
            self._schedule_round()  # peers that wait get the positions now, not with the next due round

    def _persist(self, pending_write: PendingWrite) -> None:
        started_s = time.monotonic()
        self._storage.write(pending_write)
        duration_s = time.monotonic() - started_s
        self.counters.add("syncs")
        self._controller.node.on_synced(int(duration_s * 1e6))
        if duration_s > 0.1:
            self._log_event("file", "slow to sync", ms=round(duration_s * 1000))

    # Rounds.

    def _schedule_round(self) -> None:
        """Schedules one round for all that comes in this iteration of the event loop."""
        if not self._is_round_scheduled:
            self._is_round_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_round)

    def _run_round(self) -> None:
        self._is_round_scheduled = False
        if self.failure:
            return
        if self._timer is not None:
            self._timer.cancel()
        started_us = now_us()
        lateness_us = started_us - self._due_us
        if lateness_us > self._settings.beat:
            # What has arrived meanwhile is handled after this round.
            self._controller.node.on_stalled(lateness_us)
            self.counters.add("rounds late by a heartbeat")
        try:
            next_round_us = self._controller.run_round(started_us)
        except (OSError, sqlite3.Error, UnusableFileError) as error:
            # The node acts as if its state were synced, so it must not go on.
            self._fail(f"its file can't be written, it steps out: {error!r}")
            return
        except Exception:
            # After a bug the state in memory may be inconsistent; the file is not.
            self._fail(f"a fault, it steps out: {traceback.format_exc()}")
            return
        loop = asyncio.get_running_loop()
        ended_us = now_us()
        self._due_us = max(next_round_us, ended_us)
        self._timer = loop.call_later((self._due_us - ended_us) / 1e6, self._run_round)

    def _fail(self, reason: str) -> None:
        self.failure = reason
        self._tasks.cancel_scope.cancel()

    # Incoming links.

    def _check_greeting(self, greeting: Frame, certificate_names: set[str] | None) -> None:
        peer = peers.check_greeting(greeting, self._settings, certificate_names)
        if peer.role == "keeper" and peer.name == self.name:
            raise FramingError("this keeper's own name")

    def _make_greeting(self, _greeting: Frame | None = None) -> Frame:
        return peers.make_greeting(
            "keeper", self._settings.name, self.name, self.incarnation, peers.settings_digest(self._settings)
        )

    def _on_incoming_connected(self, link: Link) -> None:
        peer = link.greeting
        self._operator_serial += 1
        key = {
            "keeper": f"keeper:{peer.name}/{peer.incarnation}",
            "gateway": f"gateway:{peer.name}",
            "operator": f"operator:{self._operator_serial}",
        }[peer.role]
        has_same_settings = peer.nonce == peers.settings_digest(self._settings)
        link.peer = IncomingLink(link, peer.role, peer.name, peer.incarnation, key, has_same_settings)
        self._controller.on_incoming_connected(link.peer)

    def _on_incoming_frame(self, link: Link, frame: Frame) -> None:
        try:
            self._controller.on_incoming_frame(link.peer, frame, now_us())
        except FramingError:
            raise
        except Exception:
            if link.peer.role == "keeper":
                self._fail(f"a fault, it steps out: {traceback.format_exc()}")
                return
            self.counters.add("faults")
            self._log_event("fault", traceback.format_exc(), of=link.peer.name)
            raise FramingError("an internal error") from None
        finally:
            self._schedule_round()

    def _on_incoming_closed(self, link: Link) -> None:
        self._controller.on_incoming_closed(link.peer)

    # Outgoing links.

    async def _maintain_outgoing(self, name: str, address: tuple[str, int], tasks: TaskGroup) -> None:
        backoff = self._outgoing.new_backoff()
        member_name, last_heard_s = "", 0.0

        def check(greeting: Frame, certificate_names: set[str] | None) -> None:
            peer = peers.check_greeting(greeting, self._settings, certificate_names)
            if peer.role != "keeper" or peer.name != name:
                raise FramingError(f"the {peer.role} {peer.name!r} where {name!r} should be")

        def on_connected(link: Link) -> None:
            nonlocal member_name, last_heard_s
            member_name, last_heard_s = f"{name}/{link.greeting.incarnation}", time.monotonic()
            self._controller.on_outgoing_connected(member_name, link)
            asyncio.get_running_loop().call_soon(send_keep_alive, link, 1)
            self._log_event("link", "made", to=member_name)

        def send_keep_alive(link: Link, number: int) -> None:
            if link.close_reason:
                return
            if time.monotonic() - last_heard_s > _SILENCE_TIMEOUT_S:
                link.end(f"silent for {_SILENCE_TIMEOUT_S} s")
                return
            link.put(KeepAlive(number))
            asyncio.get_running_loop().call_later(_KEEP_ALIVE_INTERVAL_S, send_keep_alive, link, number + 1)

        def on_frame(link: Link, frame: Frame) -> None:
            nonlocal last_heard_s
            if isinstance(frame, ReplicaPositions):
                self._controller.on_positions(member_name, frame, now_us())
                self._schedule_round()
            elif not isinstance(frame, KeepAlive):
                raise FramingError(f"a {type(frame).__name__} on a link that this keeper made")
            last_heard_s = time.monotonic()

        def on_closed(link: Link) -> None:
            self._controller.on_outgoing_closed(member_name, link)

        while True:
            started_s = time.monotonic()
            await self._outgoing.run_outgoing(
                address, name, self._make_greeting(), check, on_connected, on_frame, on_closed, tasks
            )
            await anyio.sleep(backoff.next_pause_s(time.monotonic() - started_s))

    # Running.

    async def run(self) -> int:
        """Serves until SIGTERM, SIGINT or a failure; returns the exit code."""
        listener = socket.create_server(self._address, backlog=1024)
        listener.setblocking(False)
        self._log_event(
            "keeper",
            "serves",
            name=f"{self.name}/{self.incarnation}",
            address="{}:{}".format(*listener.getsockname()[:2]),
            stated_ms=self._settings.stated // 1000,
        )
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(
                self._incoming.run_incoming,
                listener,
                self._make_greeting,
                self._check_greeting,
                self._on_incoming_connected,
                self._on_incoming_frame,
                self._on_incoming_closed,
                tasks,
            )
            for keeper in self._settings.keepers:
                if keeper.name != self.name:
                    tasks.start_soon(self._maintain_outgoing, keeper.name, keeper.address, tasks)
            tasks.start_soon(self._move_coordinator.hands.run)
            self._schedule_round()
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP
            ) as signals:
                async for received in signals:
                    if received == signal.SIGUSR1:
                        self._log_status()
                    elif received == signal.SIGHUP:
                        self._reload()
                    else:
                        await self._transfer_leadership()
                        break
            tasks.cancel_scope.cancel()
        if not self.failure:
            self._storage.close()
        self._log_event("keeper", self.failure or "ends", name=f"{self.name}/{self.incarnation}")
        return 1 if self.failure else 0

    def _reload(self) -> None:
        """Reloads the TLS keys for new links and the engines; other settings need a restart."""
        try:
            settings = operator.read(self._settings_path).fleet if self._settings_path else None
            if settings is None:
                raise ValueError("it has no section 'fleet' any more")
            contexts = _contexts(settings)
        except (ValueError, OSError) as error:
            self._log_event("keeper", "the new file can't be used, the old one stays", why=str(error))
            return
        self._incoming.contexts = self._outgoing.contexts = contexts
        self._update_engines(settings)
        if msgspec.structs.replace(settings, engines=(), tls=None) != msgspec.structs.replace(
            self._settings, engines=(), tls=None
        ):
            self._log_event("keeper", "of the new file only keys and engines are used until a restart")

    async def _transfer_leadership(self) -> None:
        node = self._controller.node
        if node.role is not Role.LEADER:
            return
        successors = [name for name in node.members.voters if name in self._controller.node_links]
        if not any(node.transfer_leadership(name, now_us()) for name in successors):
            return
        self._schedule_round()
        with anyio.move_on_after(_TRANSFER_TIMEOUT_S):
            while node.role is Role.LEADER:
                await anyio.sleep(0.01)
        # The leader's last messages are sent before the links close.
        await anyio.sleep(0.02)

    def _log_status(self) -> None:
        self._log_event(
            "status",
            "is",
            **self._controller.status(),
            gateways=sum(incoming.role == "gateway" for incoming in self._controller.incoming_links.values()),
        )
        for line in self.counters.lines():
            print(f"{self.name} counter: {line}", file=sys.stderr, flush=True)


def initial_fleet_inventory(settings: Fleet) -> FleetInventory:
    """Returns what all nodes validate changes by, so that the same log gives them the same state."""
    return FleetInventory(max_gateways=settings.most, max_barred_fraction=settings.barred)


def _contexts(settings: Fleet) -> TlsContexts | None:
    if settings.tls is None:
        return None
    from cresstray.sites.tls import TlsContexts

    return TlsContexts(settings.tls)


def dump(settings: Fleet, name: str) -> dict:
    """Returns the latest documents in a node's file, for when a majority is lost for good.

    Entries after the last commit may never have been committed, and entries that other nodes committed may be
    missing.

    Raises:
        UnusableFileError: the file can't be used.
    """
    storage = Storage(storage_path(settings, name))
    try:
        persistent_state = storage.load()
    finally:
        storage.close()
    state = ConfigState(initial_fleet_inventory(settings), {"moves": MoveSection()})
    if persistent_state.snapshot.data:
        state.restore(persistent_state.snapshot.data)
    for index, entry in enumerate(persistent_state.entries, persistent_state.snapshot.index + 1):
        if entry.kind == EntryKind.DATA:
            state.apply(index, entry.data)
    return {
        "keeper": persistent_state.name,
        "term": persistent_state.term,
        "index": persistent_state.snapshot.index + len(persistent_state.entries),
        "turn": state.turn,
        "latest": state.version,
        "documents": documents.to_plain(state.latest),
    }


def run(settings: Fleet, name: str, settings_path: str = "") -> int:
    """Runs a node in the foreground and returns the exit code.

    Raises:
        UnusableFileError: the node's file can't be used.
        UnusableError: the file is another node's.
        OSError: the TLS keys can't be read, or the address can't be listened on.
    """
    process = NodeProcess(settings, name, settings_path)
    # Each gateway takes a descriptor; the usual limit of 1,024 is less than the possible number of gateways.
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    return anyio.run(process.run, backend_options={"use_uvloop": True})
