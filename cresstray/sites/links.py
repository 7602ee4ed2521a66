"""The links' sockets: dialled again and again, accepted, read, written. Decides nothing about submissions."""

from __future__ import annotations

import random
import socket
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Protocol

import anyio
import msgspec
from anyio.abc import ByteStream, TaskGroup

from cresstray.background.schedule import Job, Priority
from cresstray.background.worker import Worker
from cresstray.clock import Clock, TimerHandle, Timers
from cresstray.config import operator
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.sites import codec
from cresstray.sites.codec import FramingError
from cresstray.sites.ends import Place
from cresstray.sites.flow_control import Credit, Share
from cresstray.sites.health import IDLE, Health, State
from cresstray.sites.inbound import Front, Inward
from cresstray.sites.outbound import Keeper, Outward
from cresstray.sites.routing import Way
from cresstray.transport.streams import CONNECTION_ENDED, SocketStream, connect, faults_contained

if TYPE_CHECKING:
    from cresstray.sites.tls import Contexts

# Room for both handshakes at the longest round trip that a link is of any use with.
_HANDSHAKE = 3.0
# A connection that lived so long worked; one that did not is made again later and later.
_WORKED = 5_000_000
# Danger: a peer that reads nothing would have all that is written to it kept.
_MOST_UNWRITTEN = 8 * 1024 * 1024
# A near gateway that has not come back for so long: nothing it had is kept, and its place is free. Looked at
# now and then only, as each look wakes up a gateway that has little to do.
_ABSENT, _LOOK = 60_000_000, 10_000_000
# Microseconds of the loop for one dialled: made and dropped with its hello 650; keys add a millisecond.
_DIAL, _DIAL_SEALED = 650, 1_650
# Room is shared among the near gateways that have offered anything for so long.
_ASKS = 1_000_000
# Gateways of other halls that may be connected at once, with some that are just leaving.
_MOST_LINKS = 256


class Channel(Protocol):
    """What a link is written to and read from: a line, or TLS on one."""

    def write(self, message: bytes) -> object: ...
    async def receive(self) -> bytes: ...


class Wire:
    """One connection. What is written waits as long as its end allows, and goes out in one piece."""

    def __init__(
        self, line: SocketStream, channel: Channel, scope: anyio.CancelScope, timers: Timers
    ) -> None:
        self._line, self._channel, self.scope, self._timers = line, channel, scope, timers
        self.dawdle: Callable[[], int] = lambda: 0
        self._out = bytearray()
        self._handles = self._waits = False

    def write(self, data: bytes, at_once: bool) -> None:
        self._out += data
        if at_once:
            self._flush()
        elif not self._handles:
            self._mind()

    def _mind(self) -> None:
        wait = self.dawdle()
        if not wait:
            self._flush()
        elif not self._waits:
            self._waits = True
            self._timers.call_after(wait, self._flush)

    def _flush(self, _now: int = 0) -> None:
        self._waits = False
        if not self._out or not self._line.is_open():
            return
        self._channel.write(bytes(self._out))
        self._out.clear()
        if len(self._line.unsent) > _MOST_UNWRITTEN:
            self.scope.cancel()

    async def serve(self, receive: Callable[[bytes], object]) -> str:
        """Until the connection ends, or its scope is cancelled; why it ended."""
        try:
            while True:
                data = await self._channel.receive()
                self._handles = True
                try:
                    receive(data)
                finally:
                    self._handles = False
                    if self._out:
                        self._mind()
        except FramingError as trouble:
            return f"dropped: {trouble}"
        except CONNECTION_ENDED as trouble:
            return repr(trouble)


class _Dialled:
    """A link that we make, and when it is made again."""

    def __init__(self, peer: operator.Peer, outward: Outward, pause: int) -> None:
        self.peer, self.outward, self.pause = peer, outward, pause
        self.job: Job


class Hub:
    """All links of one gateway: those it makes to its peers, and those that others make to it."""

    def __init__(
        self,
        given: operator.Halls,
        incarnation: str,
        seed: int,
        front: Front,
        keeper: Keeper,
        room: Callable[[], tuple[float, float, float]],
        clock: Clock,
        timers: Timers,
        counters: Counters,
        log: Log,
        worker: Worker,
    ) -> None:
        """`worker`: the gateway's, already started or not."""
        self._given, self._front, self._keeper, self._spare = given, front, keeper, room
        self._clock, self._timers, self._counters, self._log = clock, timers, counters, log
        self._me = Place(given.hall, given.gateway, incarnation)
        self._random = random.Random(seed).random
        self._worker = worker
        self.share = Share(given.share)
        self._contexts: Contexts | None = None
        self._near: dict[tuple[str, str], Inward] = {}  # by hall and name
        self._wires: dict[object, Wire] = {}
        self.leaving = False
        self._tasks: TaskGroup
        self._busy, self._due = False, TimerHandle(0, lambda _: None)  # the next tick
        self._links = [(peer, self._outward(peer)) for peer in given.peers]
        self.load_keys(given)

    def load_keys(self, given: operator.Halls) -> None:
        """The keys of new connections; OSError (which ssl's errors are) where they can't be used."""
        if given.tls is not None:
            from cresstray.sites.tls import Contexts

            self._contexts = Contexts(given.tls)

    def reload(self, given: operator.Halls) -> None:
        """What may change while links live: keys, and the share that crosses. The rest takes a restart."""
        self.load_keys(given)
        self.share.share = given.share
        rest = [
            (one.hall, one.gateway, one.listen, one.control, one.link, one.peers)
            for one in (given, self._given)
        ]
        if rest[0] != rest[1]:
            self._say("of the new operator's file only keys and the share are used until a restart")

    def _health(self) -> Health:
        link = self._given.link
        return Health(link.heartbeat, link.slow, link.lease, link.heal)

    def _outward(self, peer: operator.Peer) -> Outward:
        link = self._given.link
        way = Way(
            f"{peer.hall} {peer.address[0]}:{peer.address[1]}",
            self._health(),
            Credit(link.submissions, link.bytes),
            self.share,
        )
        outward = Outward(
            self._me, peer.hall, way, self._keeper, self._counters, self._say, self._clock.now, self._wake
        )
        self._keeper.add(outward)
        return outward

    def _say(self, text: str) -> None:
        self._log.log("hall", text)

    async def run(self, tasks: TaskGroup) -> None:
        """Starts all links in these tasks; returns once it accepts."""
        given, self._tasks = self._given, tasks
        if given.listen is not None:
            listener = socket.create_server(given.listen, backlog=64)
            listener.setblocking(False)
            self.address = listener.getsockname()
            tasks.start_soon(self._accept, listener)
            self._say(f"{given.gateway} of {given.hall} takes links on {self.address[0]}:{self.address[1]}")
        for peer, outward in self._links:
            link = _Dialled(peer, outward, given.link.retry)
            link.job = self._worker.add_job(
                "links", Priority.SERVICE, 0, lambda now, link=link: self._dial(link), given.link.retry_most
            )
            self._worker.wake(link.job)
        self._worker.add_job("absent", Priority.TIDY, _LOOK, self._look_for_absent)
        self._tick(self._clock.now())

    def _tick(self, now: int) -> None:
        ends: list[Outward | Inward] = [outward for _, outward in self._links]
        ends += self._near.values()
        for end in ends:
            wire = self._wires.get(end)
            if not end.tick(now) and wire is not None:
                self._counters.add("links between halls silent")
                wire.scope.cancel()
        # Half a beat: fine enough for beats, leases and what is hopeless. An idle beat where all is idle.
        beat = self._given.link.heartbeat
        self._busy = any(end.busy(now) for end in ends)
        self._due = self._timers.call_after(beat // 2 if self._busy else IDLE * beat, self._tick)

    def _look_for_absent(self, now: int) -> None:
        for place, inward in list(self._near.items()):
            if inward not in self._wires and now - inward.silent_since > _ABSENT:
                inward.end()
                del self._near[place]

    def _wake(self) -> None:
        """Something is under way, or wants to be: not to wait for the next idle tick."""
        if not self._busy:
            self._busy = True
            self._due.cancel()
            self._due = self._timers.call_after(0, self._tick)

    # Links that we make.

    def _dial(self, link: _Dialled) -> None:
        self._tasks.start_soon(self._keep_up, link)
        # Danger: where all gateways of a hall come back at once, so many handshakes would hold up live work.
        self._worker.charge(_DIAL if self._contexts is None else _DIAL_SEALED)

    async def _keep_up(self, link: _Dialled) -> None:
        given, outward = self._given.link, link.outward
        began = self._clock.now()
        why = ""
        with faults_contained("a link to another hall", self._counters, self._log):
            why = await self._made(link.peer, outward)
        now = self._clock.now()
        outward.disconnected(now)
        self._say(f"link to {outward.way.name} ended: {why}")
        # Danger: on a link that flaps, or a hall that is gone, handshakes would cost both halls their time.
        link.pause = given.retry if now - began > _WORKED else min(2 * link.pause, given.retry_most)
        # Danger: all gateways of a hall find a cut at once, and would come back at once.
        self._worker.wake_after(link.job, int(link.pause * (0.75 + 0.5 * self._random())))

    async def _made(self, peer: operator.Peer, outward: Outward) -> str:
        try:
            with anyio.fail_after(_HANDSHAKE):
                made = await connect(*peer.address)
        except (OSError, TimeoutError) as trouble:
            return f"not made: {trouble!r}"
        with anyio.CancelScope() as scope, SocketStream(made, self._tasks, scope.cancel) as line:
            try:
                with anyio.fail_after(_HANDSHAKE):
                    channel, _ = await self._secured(line, {peer.hall}, False)
            except (*CONNECTION_ENDED, TimeoutError, FramingError) as trouble:
                return f"refused: {trouble!r}"
            wire = self._wires[outward] = Wire(line, channel, scope, self._timers)
            wire.dawdle = outward.dawdle
            outward.connected(wire.write)
            greeted = self._timers.call_after(
                int(_HANDSHAKE * 1e6), lambda _: outward.greeted or wire.scope.cancel()
            )
            try:
                return await wire.serve(lambda data: outward.receive(data, self._clock.now()))
            finally:
                greeted.cancel()
                del self._wires[outward]
        return "given up"

    async def _secured(self, line: SocketStream, halls: set[str], server: bool) -> tuple[Channel, set[str]]:
        """What to speak on, and the halls that the other side may be; BrokenError where that is none."""
        if self._contexts is None:
            return line, halls
        from cresstray.sites.tls import Sealed

        sealed = Sealed(line, self._contexts, server)
        named = await sealed.shake_hands()
        if not named & halls:
            self._counters.add("links between halls refused")
            raise FramingError(f"a certificate for {', '.join(sorted(named)) or 'no hall'}")
        return sealed, named & halls

    # Links that others make.

    async def _accept(self, listener: socket.socket) -> None:
        with listener:
            while True:
                await anyio.wait_readable(listener)
                try:
                    self._tasks.start_soon(self._accepted, listener.accept()[0])
                except BlockingIOError:
                    continue
                except OSError as trouble:
                    # Danger: out of descriptors for a moment must not end the service.
                    self._say(f"can't accept: {trouble!r}")
                    await anyio.sleep(0.02)

    async def _accepted(self, made: socket.socket) -> None:
        why = "given up"
        with faults_contained("a link from another hall", self._counters, self._log):
            with anyio.CancelScope() as scope, SocketStream(made, self._tasks, scope.cancel) as line:
                why = await self._taken_in(line, scope)
        self._say(f"link from another hall ended: {why}")

    async def _taken_in(self, line: SocketStream, scope: anyio.CancelScope) -> str:
        halls = {peer.hall for peer in self._given.peers}
        if len(self._wires) >= _MOST_LINKS:
            return "refused, there are too many"
        frames, found = codec.Frames(), []
        try:
            with anyio.fail_after(_HANDSHAKE):
                channel, named = await self._secured(line, halls, True)
                while not found:
                    found = frames.feed(await channel.receive())
            hello = found[0]
            if not isinstance(hello, codec.Hello) or hello.magic != codec.MAGIC:
                raise FramingError("no hello")
            if hello.version != codec.VERSION or hello.hall not in named:
                raise FramingError(f"version {hello.version} of hall {hello.hall!r}")
        except (*CONNECTION_ENDED, TimeoutError, FramingError) as trouble:
            self._counters.add("links between halls refused")
            return f"refused: {trouble!r}"
        wire = Wire(line, channel, scope, self._timers)
        inward = self._of(hello, wire)
        wire.dawdle = inward.dawdle
        inward.welcome(hello, wire.write)
        if self.leaving:
            inward.goodbye("this gateway ends")

        def take(came: list[codec.Frame]) -> None:
            for frame in came:
                # Danger: what was received just before a newer connection took over is of the old one.
                if self._wires.get(inward) is not wire:
                    raise FramingError("a newer connection has taken its place")
                inward.receive(frame)

        try:
            # Danger: what came in one piece with the hello may be as wrong as what comes later.
            try:
                take(found[1:])
            except FramingError as trouble:
                return f"dropped: {trouble}"
            return await wire.serve(lambda data: take(frames.feed(data)))
        finally:
            if self._wires.get(inward) is wire:
                del self._wires[inward]
                inward.disconnected()

    def _of(self, hello: codec.Hello, wire: Wire) -> Inward:
        place = Place(hello.hall, hello.name, hello.incarnation)
        inward = self._near.get((hello.hall, hello.name))
        if inward is not None and inward in self._wires:
            # Danger: what an earlier connection still holds unread must never be taken once this one is
            # compared.
            self._wires.pop(inward).scope.cancel()
        if inward is None or inward.near != place:
            if inward is not None:
                inward.end()
            link = self._given.link
            inward = self._near[hello.hall, hello.name] = Inward(
                self._me,
                place,
                self._health(),
                link.submissions,
                link.bytes,
                self._front,
                self._room,
                self._closed,
                self._clock.now,
                self._wake,
                self._timers.call_after,
                self._counters,
                self._say,
            )
        self._wires[inward] = wire
        return inward

    def _closed(self) -> int:
        return 1_000_000 if self.leaving else 0

    def _room(self) -> tuple[float, float, float]:
        threads, cores, pace = self._spare()
        # Danger: each near gateway would take all that is told to all of them.
        now = self._clock.now()
        near = max(1, sum(now - inward.asked_at < _ASKS for inward in self._near.values()))
        return threads / near, cores / near, pace

    def goodbye(self) -> None:
        """Nothing new is taken; what is open goes on until this gateway ends."""
        self.leaving = True
        for inward in self._near.values():
            inward.goodbye("this gateway ends")

    # For operators.

    def status(self) -> dict:
        now = self._clock.now()
        return {
            "hall": self._me.hall,
            "gateway": self._me.name,
            "incarnation": self._me.incarnation,
            "to": [self._told_of(outward, now) for _, outward in self._links],
            "from": [
                {
                    "hall": inward.near.hall,
                    "gateway": inward.near.name,
                    "incarnation": inward.near.incarnation,
                    "connected": inward in self._wires,
                    "ledger": _counted(entry.state.name.lower() for entry in inward.ledger.open.values()),
                }
                for inward in self._near.values()
            ],
        }

    def _told_of(self, outward: Outward, now: int) -> dict:
        way, health = outward.way, outward.way.health
        connected = health.state is not State.CUT
        return {
            "peer": way.name,
            "gateway": outward.far,
            "state": health.state.value,
            "round trip ms": round(health.round_trip(now) / 1000, 1) if connected else None,
            "room threads": round(way.room(), 1),
            "leaving": way.leaving,
            "closed ms": max(0, way.closed_until - now) // 1000,
            "credit": f"{way.credit.held}/{way.credit.submissions}",
            "ledger": _counted(
                "unknown" if one.cut else one.state.name.lower() for one in outward.ledger.open.values()
            ),
        }


def _counted(words: Iterable[str]) -> dict[str, int]:
    counted: dict[str, int] = {}
    for word in words:
        counted[word] = counted.get(word, 0) + 1
    return counted


async def serve_status(path: str, status: Callable[[], dict]) -> None:
    """Tells the state as one JSON line to whoever connects to this local socket; only the owner may."""

    async def tell(stream: ByteStream) -> None:
        async with stream:
            with anyio.move_on_after(1):
                await stream.send(msgspec.json.encode(status()) + b"\n")

    async with await anyio.create_unix_listener(path, mode=0o600) as listener:
        await listener.serve(tell)
