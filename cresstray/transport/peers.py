"""Makes and accepts the links between processes of one fleet: connected, greeted, sealed by TLS, served.

Both sides greet first; a peer that cannot prove its name, or sends what it may not, loses its link with one
line.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, NamedTuple

import anyio
from anyio.abc import TaskGroup

from cresstray.fleet_config.codec import MAGIC, ROLES, VERSION, Greeting
from cresstray.observability.counters import Counters
from cresstray.transport.framing import Frame, FrameDecoder, FramingError, encode_frame
from cresstray.transport.streams import CONNECTION_ENDED, SocketStream, connect

if TYPE_CHECKING:
    from cresstray.config.fleet import Fleet
    from cresstray.observability.event_log import EventLog
    from cresstray.sites.tls import Contexts

__all__ = [
    "SETTINGS_DIFFER",
    "Channel",
    "Link",
    "PeerLinkManager",
    "PositionExchange",
    "ReconnectBackoff",
    "check_greeting",
    "make_greeting",
    "settings_digest",
]

# Room for both handshakes at the longest round trip that a lease of two seconds can stand.
_HANDSHAKE_TIMEOUT_S = 2.0
# What the network has taken and not delivered for so long is lost; the kernel would try for minutes.
_UNDELIVERED_TIMEOUT_MS = 2000
# Strangers that connect and say nothing hold a descriptor each for the time of a handshake.
_MAX_GREETING = 256
_ACCEPT_RETRY_S = 0.02
# A connection that lived so long worked; after one that did not, reconnecting pauses longer and longer.
_WORKED_AFTER_S = 2.0
_FIRST_PAUSE_S = 0.05
_MAX_PAUSE_S = 1.0

# Checks a peer's greeting, with the names of its certificate (None without TLS); raises FramingError.
GreetingCheck = Callable[[Frame, "set[str] | None"], object]


class _Handlers(NamedTuple):
    """What a link is served by."""

    on_connected: Callable[[Link], object]
    on_frame: Callable[[Link, Frame], None]
    on_closed: Callable[[Link], None]

class PositionExchange(Protocol):
    """What is said of positions on one link: made with it, gone with it. `hears`: BrokenError."""

    def says(self, now: int) -> bytes: ...
    def hears(self, body: bytes, now: int) -> None: ...


SETTINGS_DIFFER = "another lease, floor-lease, drift, most or barred than in this file"


def settings_digest(given: Fleet) -> bytes:
    """What all processes of one fleet must have the same, in 16 bytes.

    Danger: a gateway with a longer lease would act when its leader takes it for stopped, and keepers that
    check by another `most` would apply one log to different states.
    """
    told = msgspec.msgpack.encode([given.lease, given.floor_lease, given.drift, given.most, given.barred])
    return blake2b(told, digest_size=16).digest()


def make_greeting(role: str, fleet: str, name: str, life: str, agreed: bytes = b"") -> Greeting:
    """`agreed`: needed from keepers, and from gateways that ask for leases."""
    return Greeting(MAGIC, VERSION, role, fleet, name, life, agreed)


def check_greeting(greeting: Frame, given: Fleet, names: set[str] | None) -> Greeting:
    """A greeting of this fleet by who may bear its name; BrokenError with what is wrong."""
    if not isinstance(greeting, Greeting) or greeting.magic != MAGIC:
        raise FramingError("no greeting")
    if greeting.version != VERSION:
        raise FramingError(f"version {greeting.version}, this is {VERSION}")
    if greeting.fleet != given.name:
        raise FramingError(f"of fleet {greeting.fleet!r}")
    if greeting.role not in ROLES:
        raise FramingError(f"role {greeting.role!r}")
    if not _NAME.fullmatch(greeting.name) or not _LIFE.fullmatch(greeting.incarnation):
        raise FramingError(f"name {greeting.name!r}, life {greeting.incarnation!r}")
    if names is not None and greeting.name not in names:
        raise FramingError(f"{greeting.name!r} with a certificate for {', '.join(sorted(names)) or 'nobody'}")
    keeper = given.keeper(greeting.name) is not None
    # Danger: whoever holds a gateway's key could change the rules of all.
    if greeting.role == "operator":
        if names is not None and greeting.name != "operator" and not keeper:
            raise FramingError(f"{greeting.name!r} as an operator")
    elif (greeting.role == "keeper") != keeper or greeting.name == "operator":
        raise FramingError(f"{greeting.name!r} as a {greeting.role}")
    elif keeper and greeting.nonce != settings_digest(given):
        raise FramingError(SETTINGS_DIFFER)
    return greeting


class Channel(Protocol):
    def write(self, message: bytes) -> object: ...
    async def receive(self) -> bytes: ...


class Link:
    """One greeted connection. What is put in one turn of the loop leaves in one piece."""

    def __init__(
        self,
        line: SocketStream,
        channel: Channel,
        scope: anyio.CancelScope,
        frames: FrameDecoder,
        greeting: Greeting,
        early: list[Frame],
        bound: int = _MOST_UNWRITTEN,
    ) -> None:
        self._line, self._channel, self._scope, self._frames = line, channel, scope, frames
        self.greeting, self._early, self._bound = greeting, early, bound
        self._out = bytearray()
        self.guest: Any = None  # what its owner knows it by
        self.why = ""
        self.sent_bytes = self.received_bytes = 0  # bytes

    def put(self, frame: Frame) -> None:
        self.write(encode_frame(frame))

    def write(self, message: bytes) -> None:
        """Encoded frames; nothing where the link has ended."""
        if self.why:
            return
        if not self._out:
            asyncio.get_running_loop().call_soon(self._flush)
        self._out += message
        if self.unwritten > self._bound:
            self.end(f"{self.unwritten} bytes not read")

    @property
    def unwritten(self) -> int:
        return len(self._out) + len(self._line.unsent)

    def _flush(self) -> None:
        if self._out and self._line.is_open() and not self.why:
            self.sent_bytes += len(self._out)
            try:
                self._channel.write(bytes(self._out))
            except OSError as trouble:
                self.end(repr(trouble))
        self._out.clear()

    def end(self, why: str) -> None:
        """It ends; only the first reason is told."""
        self.why = self.why or why
        self._scope.cancel()

    async def serve(self, take: Callable[[Frame], None]) -> str:
        """Until the connection ends or `take` raises BrokenError; why it ended."""
        try:
            early, self._early = self._early, []
            for frame in early:
                take(frame)
            while not self.why:
                data = await self._channel.receive()
                self.received_bytes += len(data)
                for frame in self._frames.feed(data):
                    if self.why:
                        break
                    take(frame)
        except FramingError as trouble:
            self.why = self.why or f"dropped: {trouble}"
        except CONNECTION_ENDED as trouble:
            self.why = self.why or repr(trouble)
        return self.why


class PeerLinkManager:
    """Makes and accepts the links of one process. `kinds`: what the other side may send, Greet among it."""

    def __init__(
        self,
        kinds: Iterable[type[Frame]],
        contexts: Contexts | None,
        chance: Callable[[], float],
        said: EventLog,
        counters: Counters,
        handshake_timeout_s: float = _HANDSHAKE_TIMEOUT_S,
    ) -> None:
        self._kinds = tuple(kinds)
        self.contexts = contexts
        self._random = random
        self._handshake_timeout_s = handshake_timeout_s
        self._event_log = event_log
        self._counters = counters
        self._greeting_count = 0  # accepted links that have not greeted yet
        self._not_made: dict[str, str] = {}  # why no link to a peer was made, as last logged

    def new_backoff(self) -> ReconnectBackoff:
        return ReconnectBackoff(self._chance)

    async def run_outgoing(
        self,
        address: tuple[str, int],
        name: str,
        hello: Frame,
        check: GreetingCheck,
        on_connected: Callable[[Link], object],
        on_frame: Callable[[Link, Frame], None],
        on_closed: Callable[[Link], None],
        tasks: TaskGroup,
    ) -> str:
        """Makes one link and serves it; returns why it ended, which has been logged in one event.

        Args:
            address: of the peer.
            name: of the peer, for the log.
            hello: this side's greeting.
            check: is called with the peer's greeting.
            on_connected: is called once the link is made.
            on_frame: is called with each frame; a FramingError of it ends the link.
            on_closed: is called when the link has ended.
            tasks: runs the task that writes what the kernel does not take at once.
        """
        try:
            with anyio.fail_after(self._handshake):
                made = await connect(*address)
        except (OSError, TimeoutError) as trouble:
            why = repr(trouble)
            self._counters.add("links not made")
            if self._not_made.get(name) != why:
                self._not_made[name] = why
                self._said.log("link", "not made, tried again", to=name, why=why)
            return why
        with anyio.CancelScope() as scope, SocketStream(made, tasks, scope.cancel) as line:
            made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNDELIVERED_MS)
            link = await self._greeted(line, scope, False, lambda _: hello, check)
            if isinstance(link, str):
                why = link
            else:
                link = greeted
                self._counters.add("links made")
                self._not_made.pop(name, None)
                await handlers.serve(link)
        if link is not None:
            link.why = link.why or "broken"
            reason = link.why
        self._counters.add("links ended")
        self._said.log("link", "ended", to=name, why=why)
        return why

    async def run_incoming(
        self,
        listener: socket.socket,
        hello: Callable[[Frame], Frame],
        check: GreetingCheck,
        on_connected: Callable[[Link], object],
        on_frame: Callable[[Link, Frame], None],
        on_closed: Callable[[Link], None],
        tasks: TaskGroup,
    ) -> None:
        """Links that others make; `hello` answers a greeting that `check` has found good."""

        async def one(made: socket.socket) -> None:
            link: Link | str = "given up"
            host = ""
            try:
                host = "{}:{}".format(*made.getpeername()[:2])
                with anyio.CancelScope() as scope, SocketStream(made, tasks, scope.cancel) as line:
                    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNDELIVERED_MS)
                    self._greeting += 1
                    try:
                        if self._greeting > _MOST_GREETING:
                            link = "refused: too many greet at once"
                        else:
                            link = await self._greeted(line, scope, True, hello, check)
                    finally:
                        self._greeting -= 1
                    if not isinstance(link, str):
                        self._counters.add("links taken")
                        talk(link)
                        try:
                            await link.serve(lambda frame: taken(link, frame))
                        finally:
                            gone(link)
            except OSError as trouble:
                link = link if isinstance(link, Link) else repr(trouble)
            why = link if isinstance(link, str) else link.why or "broken"
            named = {} if isinstance(link, str) else {"name": getattr(link.greeting, "name", "")}
            self._counters.add("links ended")
            # Danger: operators come and go with each question; their lines would leave out those of others.
            role = "link" if isinstance(link, str) else link.greeting.role
            self._said.log("operator" if role == "operator" else "link", "ended", of=host, **named, why=why)

        Args:
            listener: closed when this ends.
            hello: returns this side's greeting, given the peer's that `check` has accepted.
            check: is called with the peer's greeting.
            on_connected: is called once a link is made.
            on_frame: is called with each frame; a FramingError of it ends the link.
            on_closed: is called when a link has ended.
            tasks: serves the links.
        """
        greeting = _Greeting(True, hello, None, check)
        handlers = _Handlers(on_connected, on_frame, on_closed)
        with listener:
            while True:
                try:
                    await anyio.wait_readable(listener)
                    accepted = listener.accept()[0]
                    tasks.start_soon(self._serve_incoming, accepted, greeting, handlers, tasks)
                except BlockingIOError:
                    continue
                except OSError as trouble:
                    # Danger: out of descriptors for a moment must not end the keeper.
                    self._said.log("link", "can't accept", why=repr(trouble))
                    await anyio.sleep(0.02)

    async def _greeted(
        self,
        line: SocketStream,
        scope: anyio.CancelScope,
        server: bool,
        hello: Callable[[Frame | None], Frame],
        check: Callable[[Frame, set[str] | None], None],
    ) -> Link | str:
        frames, found = FrameDecoder(self._kinds), []
        channel: Channel = line
        names: set[str] | None = None
        try:
            host = "{}:{}".format(*accepted.getpeername()[:2])
            with anyio.CancelScope() as scope, SocketStream(accepted, tasks, scope.cancel) as stream:
                _limit_undelivered(accepted)
                greeted = await self._greet_limited(stream, scope, greeting)
                if isinstance(greeted, str):
                    reason = greeted
                else:
                    link = greeted
                    self._counters.add("links taken")
                    await handlers.serve(link)
        except OSError as error:
            reason = repr(error)
        self._counters.add("links ended")
        if link is None:
            self._event_log.log("link", "ended", of=host, why=reason)
            return
        # Operators come and go with each question; as links, their events would leave out those of others.
        kind = "operator" if link.greeting.role == "operator" else "link"
        self._event_log.log(kind, "ended", of=host, name=link.greeting.name, why=link.why or "broken")

    async def _greet_limited(
        self, stream: SocketStream, scope: anyio.CancelScope, greeting: _Greeting
    ) -> Link | str:
        """Greets, unless too many links greet at once."""
        self._greeting_count += 1
        try:
            if self._greeting_count > _MAX_GREETING:
                return "refused: too many greet at once"
            return await self._greet(stream, scope, greeting)
        finally:
            self._greeting_count -= 1

    async def _greet(self, stream: SocketStream, scope: anyio.CancelScope, greeting: _Greeting) -> Link | str:
        """Shakes hands and greets; returns the link, or why there is none."""
        decoder = FrameDecoder(self._kinds)
        frames: list[Frame] = []
        channel: Channel = stream
        certificate_names: set[str] | None = None
        try:
            with anyio.fail_after(self._handshake_timeout_s):
                if self.contexts is not None:
                    from cresstray.sites.tls import Sealed

                    channel = Sealed(line, self.contexts, server)
                    names = await channel.shake_hands()
                if not server:
                    channel.write(encode_frame(hello(None)))
                while not found:
                    found = frames.feed(await channel.receive())
                check(found[0], names)
                if server:
                    channel.write(encode_frame(hello(found[0])))
        except (*CONNECTION_ENDED, TimeoutError, FramingError) as trouble:
            self._counters.add("links refused")
            return f"refused: {error!r}"
        peer_greeting = frames[0]
        assert isinstance(peer_greeting, Greet), "the check accepts nothing else"
        return Link(stream, channel, scope, decoder, peer_greeting, frames[1:])


class ReconnectBackoff:
    """How long to wait before a link is made again, in seconds."""


    def next_pause_s(self, lived: float) -> float:
        # Danger: all that followed one keeper find it gone at once, and would come back at once.
        if lived > _WORKED:
            self._next = _PAUSE
        pause, self._next = self._next, min(2 * self._next, _PAUSE_MOST)
        return pause * (0.5 + self._chance())
