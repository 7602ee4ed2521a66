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

from cresstray.fleet_config.codec import Greeting
from cresstray.observability.counters import Counters
from cresstray.transport.framing import Frame, FrameDecoder, FramingError, encode_frame
from cresstray.transport.greeting import SETTINGS_DIFFER, check_greeting, make_greeting, settings_digest
from cresstray.transport.link import Channel, Link, PositionExchange
from cresstray.transport.streams import CONNECTION_ENDED, SocketStream, connect

if TYPE_CHECKING:
    from cresstray.observability.event_log import EventLog
    from cresstray.sites.tls import TlsContexts

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

    async def serve(self, link: Link) -> None:
        """Serves the link until it has ended."""
        self.on_connected(link)
        try:
            await link.serve(lambda frame: self.on_frame(link, frame))
        finally:
            self.on_closed(link)


class _Greeting(NamedTuple):
    """How one side greets."""

    is_server: bool
    make: Callable[[Frame], Frame]  # from the client's greeting, on the server
    first: Frame | None  # the client's greeting, on the client
    check: GreetingCheck


class PeerLinkManager:
    """Makes and accepts the links of one process.

    Args:
        kinds: the frames that the peer may send, Greeting among them.
        contexts: for TLS; None without it.
        random: returns a number from 0 to 1, which spreads pauses.
        event_log: gets one event for each link that ends or could not be made.
        counters: counts links made, accepted, refused and ended.
        handshake_timeout_s: for connecting, and for greeting.
    """

    def __init__(
        self,
        kinds: Iterable[type[Frame]],
        contexts: TlsContexts | None,
        random: Callable[[], float],
        event_log: EventLog,
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
        """Returns a backoff for one peer."""
        return ReconnectBackoff(self._random)

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
            with anyio.fail_after(self._handshake_timeout_s):
                connected = await connect(*address)
        except (OSError, TimeoutError) as error:
            return self._on_not_made(name, repr(error))
        link: Link | None = None
        reason = "given up"
        greeting = _Greeting(False, lambda _: hello, hello, check)
        handlers = _Handlers(on_connected, on_frame, on_closed)
        with anyio.CancelScope() as scope, SocketStream(connected, tasks, scope.cancel) as stream:
            _limit_undelivered(connected)
            greeted = await self._greet(stream, scope, greeting)
            if isinstance(greeted, str):
                reason = greeted
            else:
                link = greeted
                self._counters.add("links made")
                self._not_made.pop(name, None)
                await handlers.serve(link)
        if link is not None:
            link.close_reason = link.close_reason or "broken"
            reason = link.close_reason
        self._counters.add("links ended")
        self._event_log.log("link", "ended", to=name, why=reason)
        return reason

    def _on_not_made(self, name: str, reason: str) -> str:
        self._counters.add("links not made")
        if self._not_made.get(name) != reason:
            self._not_made[name] = reason
            self._event_log.log("link", "not made, tried again", to=name, why=reason)
        return reason

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
        """Accepts links and serves them until it is cancelled.

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
                except OSError as error:
                    # Being out of descriptors for a moment must not end the process.
                    self._event_log.log("link", "can't accept", why=repr(error))
                    await anyio.sleep(_ACCEPT_RETRY_S)

    async def _serve_incoming(
        self, accepted: socket.socket, greeting: _Greeting, handlers: _Handlers, tasks: TaskGroup
    ) -> None:
        link: Link | None = None
        reason = "given up"
        host = ""
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
        self._event_log.log(
            kind, "ended", of=host, name=link.greeting.name, why=link.close_reason or "broken"
        )

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
                    from cresstray.sites.tls import TlsStream

                    channel = sealed = TlsStream(stream, self.contexts, greeting.is_server)
                    certificate_names = await sealed.handshake()
                if greeting.first is not None:
                    channel.write(encode_frame(greeting.first))
                while not frames:
                    frames = decoder.feed(await channel.receive())
                greeting.check(frames[0], certificate_names)
                if greeting.is_server:
                    channel.write(encode_frame(greeting.make(frames[0])))
        except (*CONNECTION_ENDED, TimeoutError, FramingError) as error:
            self._counters.add("links refused")
            return f"refused: {error!r}"
        peer_greeting = frames[0]
        assert isinstance(peer_greeting, Greeting), "the check accepts nothing else"
        return Link(stream, channel, scope, decoder, peer_greeting, frames[1:])


def _limit_undelivered(connected: socket.socket) -> None:
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNDELIVERED_TIMEOUT_MS)


class ReconnectBackoff:
    """How long to wait before a link is made again: longer each time, spread by chance.

    All that followed one control-plane node lose it at once, and would come back at once.
    """

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random
        self._next_pause_s = _FIRST_PAUSE_S

    def next_pause_s(self, lived_s: float) -> float:
        """Returns the pause after a link that lived so long."""
        if lived_s > _WORKED_AFTER_S:
            self._next_pause_s = _FIRST_PAUSE_S
        pause_s = self._next_pause_s
        self._next_pause_s = min(2 * pause_s, _MAX_PAUSE_S)
        return pause_s * (0.5 + self._random())
