"""One keeper as a process: its file, its sockets, its clock, its signals."""

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
from cresstray.consensus.entries import Keep, Kind, Members
from cresstray.consensus.raft import Node, Role, Times
from cresstray.consensus.storage import Storage
from cresstray.consensus.storage import UnusableError as UnusableFileError
from cresstray.control_plane import codec
from cresstray.control_plane.codec import Alive
from cresstray.control_plane.node_controller import Core, Guest
from cresstray.control_plane.replica_positions import Moving, Positions
from cresstray.fleet_config import documents
from cresstray.fleet_config.codec import ReplicaPositions
from cresstray.fleet_config.documents import FleetInventory
from cresstray.fleet_config.leases import LeaseTable
from cresstray.fleet_config.state import ConfigState
from cresstray.observability.counters import Counters
from cresstray.observability.event_log import EventLog
from cresstray.placement.move_executor import Disk
from cresstray.placement.moves import Moves
from cresstray.transport import peers
from cresstray.transport.framing import Frame, FramingError
from cresstray.transport.peers import Link, PeerLinkManager

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from cresstray.sites.tls import Contexts

# Between words on a link that we made, and how long none may come back: some elections, well under a lease.
_ALIVE, _SILENT = 0.4, 1.5
# How long a leader that ends waits for another to take over.
_HAND_OVER = 1.0


def now() -> int:
    """Microseconds of a clock that neither a stopped process nor a sleeping machine stops."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def path_of(given: Fleet, name: str) -> str:
    return str(Path(given.folder) / f"{name}.db")


def found(given: Fleet, name: str) -> str:
    """Writes the file of a keeper of a new fleet; its path. UnusableError where there is one."""
    path = path_of(given, name)
    Path(given.folder).mkdir(parents=True, exist_ok=True)
    Storage.found(path, f"{name}/1", Members(tuple(sorted(f"{one.name}/1" for one in given.keepers))))
    return path


class Process:
    """UnusableError where the file can't be used, OSError where keys or the address can't."""

    def __init__(self, given: Fleet, name: str, file: str = "") -> None:
        """`file`: the operator's, read again after SIGHUP."""
        self._given, self.name, self._path = given, name, file
        self._said = EventLog(now, keeper=name)
        self.counters = Counters()
        path = path_of(given, name)
        stranger = not os.path.exists(path)
        if stranger:
            Path(given.folder).mkdir(parents=True, exist_ok=True)
            Storage.found(path, f"{name}/{os.urandom(4).hex()}", Members(()))
        self._storage = Storage(path)
        durable = self._storage.load()
        own, _, self.life = durable.name.partition("/")
        if own != name:
            raise UnusableError([f"{path}: expected the file of {name}; it is of {durable.name}"])
        if stranger or not durable.snapshot.members.names() and not durable.entries:
            self._say(
                "keeper",
                "a stranger: it has no part in the log until an operator types: "
                f"cresstray rules members FILE --replace {name}",
                name=durable.name,
            )
        chance = Random(os.urandom(16)).random
        started = now()
        moves = Moves()
        state = ConfigState(world(given), {"moves": moves})
        node = Node(durable, Times(given.beat, given.election, given.drift), chance, started)
        self._positions = Positions(given.drift, self._say, self.counters)
        self._moving = Moving(moves, now, self.counters, self._say)
        leases = LeaseTable(given.lease, given.floor_lease, given.drift)
        self._core = Core(
            given, node, state, leases, self._write, self._say, self.counters, started, self._positions.talk
        )
        self._positions.join(self._core, self._moving.hands.ask)
        self._moving.hands.seen = self._seen
        self._moving.join(self._core)
        self._know_engines(given)
        self._address = given.keeper(name).address
        contexts = _contexts(given)
        self._in = PeerLinkManager(codec.ALL, contexts, chance, self._said, self.counters)
        self._out = PeerLinkManager(codec.BACK, contexts, chance, self._said, self.counters)
        self._timer: asyncio.TimerHandle | None = None
        self._woken, self._serial = False, 0
        self.failed = ""
        self._tasks: TaskGroup

    def _say(self, kind: str, event: str, **more: object) -> None:
        self._said.log(kind, event, **more)

    def _know_engines(self, given: Fleet) -> None:
        self._moving.addresses = {one.id: one.address for one in given.engines}
        self._core.answers.zones = {one.id: one.zone for one in given.engines}

    def _seen(self, disk: Disk, at: int) -> None:
        if self._positions.seen(disk, at):
            self._wake()  # who waits is told now, and not with the next round only

    def _write(self, keep: Keep) -> None:
        began = time.monotonic()
        self._storage.write(keep)
        took = time.monotonic() - began
        self.counters.add("syncs")
        if took > 0.1:
            self._say("file", "slow to sync", ms=round(took * 1000))

    # Rounds.

    def _wake(self) -> None:
        """A round for all that has come in this turn of the loop."""
        if not self._woken:
            self._woken = True
            asyncio.get_running_loop().call_soon(self._round)

    def _round(self) -> None:
        self._woken = False
        if self.failed:
            return
        if self._timer is not None:
            self._timer.cancel()
        try:
            due = self._core.round(now())
        except (OSError, sqlite3.Error, UnusableFileError) as trouble:
            # Danger: what could not be synced may be asked for again as if it had been. It steps out.
            self._step_out(f"its file can't be written, it steps out: {trouble!r}")
            return
        except Exception:
            # Danger: after a fault of ours its state may be half changed; what is in the file is whole.
            self._step_out(f"a fault, it steps out: {traceback.format_exc()}")
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0, due - now()) / 1e6, self._round)

    def _step_out(self, why: str) -> None:
        self.failed = why
        self._tasks.cancel_scope.cancel()

    # Links that others make.

    def _check(self, greeting: Frame, names: set[str] | None) -> None:
        greet = peers.check_greeting(greeting, self._given, names)
        if greet.role == "keeper" and greet.name == self.name:
            raise FramingError("this keeper's own name")

    def _hello(self, _greeting: Frame | None = None) -> Frame:
        return peers.make_greeting(
            "keeper", self._given.name, self.name, self.life, peers.settings_digest(self._given)
        )

    def _come(self, link: Link) -> None:
        greet = link.greeting
        self._serial += 1
        key = {
            "keeper": f"keeper:{greet.name}/{greet.incarnation}",
            "gateway": f"gateway:{greet.name}",
            "operator": f"operator:{self._serial}",
        }[greet.role]
        agrees = greet.nonce == peers.settings_digest(self._given)
        link.peer = Guest(link, greet.role, greet.name, greet.incarnation, key, agrees)
        self._core.come(link.peer)

    def _taken(self, link: Link, frame: Frame) -> None:
        try:
            self._core.received(link.peer, frame, now())
        except FramingError:
            raise
        except Exception:
            if link.peer.role == "keeper":
                self._step_out(f"a fault, it steps out: {traceback.format_exc()}")
                return
            self.counters.add("faults")
            self._say("fault", traceback.format_exc(), of=link.peer.name)
            raise FramingError("a fault of ours") from None
        finally:
            self._wake()

    def _gone(self, link: Link) -> None:
        self._core.gone(link.peer)

    # Links that we make.

    async def _keep_up(self, name: str, address: tuple[str, int], tasks: TaskGroup) -> None:
        pause = self._out.new_backoff()
        full, heard = "", 0.0

        def check(greeting: Frame, names: set[str] | None) -> None:
            greet = peers.check_greeting(greeting, self._given, names)
            if greet.role != "keeper" or greet.name != name:
                raise FramingError(f"the {greet.role} {greet.name!r} where {name!r} should be")

        def talk(link: Link) -> None:
            nonlocal full, heard
            full, heard = f"{name}/{link.greeting.incarnation}", time.monotonic()
            self._core.connected(full, link)
            asyncio.get_running_loop().call_soon(beat, link, 1)
            self._say("link", "made", to=full)

        def beat(link: Link, number: int) -> None:
            if link.close_reason:
                return
            if time.monotonic() - heard > _SILENT:
                link.end(f"silent for {_SILENT} s")
                return
            link.put(Alive(number))
            asyncio.get_running_loop().call_later(_ALIVE, beat, link, number + 1)

        def taken(link: Link, frame: Frame) -> None:
            nonlocal heard
            if isinstance(frame, ReplicaPositions):
                self._core.heard_back(full, frame, now())
                self._wake()
            elif not isinstance(frame, Alive):
                raise FramingError(f"a {type(frame).__name__} on a link that this keeper made")
            heard = time.monotonic()

        def lost(link: Link) -> None:
            self._core.disconnected(full, link)

        while True:
            began = time.monotonic()
            await self._out.run_outgoing(address, name, self._hello(), check, talk, taken, lost, tasks)
            await anyio.sleep(pause.next_pause_s(time.monotonic() - began))

    # Its life.

    async def run(self) -> int:
        """Serves until SIGTERM or SIGINT; its exit code."""
        listener = socket.create_server(self._address, backlog=1024)
        listener.setblocking(False)
        self._say(
            "keeper",
            "serves",
            name=f"{self.name}/{self.life}",
            address="{}:{}".format(*listener.getsockname()[:2]),
            stated_ms=self._given.stated // 1000,
        )
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(
                self._in.run_incoming,
                listener,
                self._hello,
                self._check,
                self._come,
                self._taken,
                self._gone,
                tasks,
            )
            for one in self._given.keepers:
                if one.name != self.name:
                    tasks.start_soon(self._keep_up, one.name, one.address, tasks)
            tasks.start_soon(self._moving.hands.run)
            self._wake()
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP
            ) as signals:
                async for received in signals:
                    if received == signal.SIGUSR1:
                        self._report()
                    elif received == signal.SIGHUP:
                        self._reload()
                    else:
                        await self._hand_over()
                        break
            tasks.cancel_scope.cancel()
        if not self.failed:
            self._storage.close()
        self._say("keeper", self.failed or "ends", name=f"{self.name}/{self.life}")
        return 1 if self.failed else 0

    def _reload(self) -> None:
        """Keys of new links, and engines; the rest takes a restart."""
        try:
            given = operator.read(self._path).fleet if self._path else None
            if given is None:
                raise ValueError("it has no section 'fleet' any more")
            contexts = _contexts(given)
        except (ValueError, OSError) as trouble:
            self._say("keeper", "the new file can't be used, the old one stays", why=str(trouble))
            return
        self._in.contexts = self._out.contexts = contexts
        self._know_engines(given)
        if msgspec.structs.replace(given, engines=(), tls=None) != msgspec.structs.replace(
            self._given, engines=(), tls=None
        ):
            self._say("keeper", "of the new file only keys and engines are used until a restart")

    async def _hand_over(self) -> None:
        node = self._core.node
        if node.role is not Role.LEADER:
            return
        heirs = [name for name in node.members.voters if name in self._core.keepers]
        if not any(node.transfer(name, now()) for name in heirs):
            return
        self._wake()
        with anyio.move_on_after(_HAND_OVER):
            while node.role is Role.LEADER:
                await anyio.sleep(0.01)
        # What a leader says last is written before the links close.
        await anyio.sleep(0.02)

    def _report(self) -> None:
        self._say(
            "status",
            "is",
            **self._core.status(),
            gateways=sum(guest.role == "gateway" for guest in self._core.guests.values()),
        )
        for line in self.counters.lines():
            print(f"{self.name} counter: {line}", file=sys.stderr, flush=True)


def world(given: Fleet) -> FleetInventory:
    """What all keepers check changes by, so that one log makes one state of all of them."""
    return FleetInventory(max_gateways=given.most, max_barred_fraction=given.barred)


def _contexts(given: Fleet) -> Contexts | None:
    if given.tls is None:
        return None
    from cresstray.sites.tls import Contexts

    return Contexts(given.tls)


def dump(given: Fleet, name: str) -> dict:
    """The latest documents in a keeper's file, for when a majority is lost for good. UnusableError.

    Danger: what stands behind the last commit may never have been committed, and what other keepers had
    committed may be missing.
    """
    storage = Storage(path_of(given, name))
    try:
        durable = storage.load()
    finally:
        storage.close()
    state = ConfigState(world(given), {"moves": Moves()})
    if durable.snapshot.data:
        state.restore(durable.snapshot.data)
    for index, entry in enumerate(durable.entries, durable.snapshot.index + 1):
        if entry.kind == Kind.DATA:
            state.apply(index, entry.data)
    return {
        "keeper": durable.name,
        "term": durable.term,
        "index": durable.snapshot.index + len(durable.entries),
        "turn": state.turn,
        "latest": state.version,
        "documents": documents.to_plain(state.latest),
    }


def run(given: Fleet, name: str, file: str = "") -> int:
    """One keeper in the foreground; its exit code. UnusableError, OSError."""
    made = Process(given, name, file)
    # Danger: each gateway takes a descriptor, and the usual 1,024 are fewer than the gateways there may be.
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    return anyio.run(made.run, backend_options={"use_uvloop": True})
