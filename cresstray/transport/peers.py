"""Makes and accepts the links between processes of one fleet: connects, shakes hands, greets, serves.

Both sides greet first. The link of a peer that cannot prove its name, or that sends a frame it may not send,
is closed with one line in the log.
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

# Enough for TLS handshake and greeting at the longest round trip that a lease of two seconds tolerates.
_HANDSHAKE_TIMEOUT_S = 2.0
# Data that is not acknowledged for so long ends the link; the kernel would retransmit it for minutes.
_UNDELIVERED_TIMEOUT_MS = 2000
# Bounds the descriptors of unknown peers, each of which can hold one for the time of a handshake.
_MAX_PENDING_GREETINGS = 256
_ACCEPT_RETRY_S = 0.02
# A link that was open for so long counts as working, and resets the backoff.
_STABLE_AFTER_S = 2.0
_MIN_PAUSE_S = 0.05
_MAX_PAUSE_S = 1.0

# Checks a peer's greeting, with the names of its certificate (None without TLS); raises FramingError.
GreetingCheck = Callable[[Frame, "set[str] | None"], object]


class _Handlers(NamedTuple):
    """The callbacks that serve a link."""

    on_connected: Callable[[Link], object]
    on_frame: Callable[[Link, Frame], None]
    on_closed: Callable[[Link], None]

    async def serve(self, link: Link) -> None:
        """Reads frames of the link until it has ended."""
        self.on_connected(link)
        try:
            await link.serve(lambda frame: self.on_frame(link, frame))
        finally:
            self.on_closed(link)


class _Handshake(NamedTuple):
    """How one side greets.

    Attributes:
        is_server: this side has accepted the connection.
        make_reply: on the server, makes its greeting from the client's.
        first_greeting: on the client, its own greeting; None on the server.
        check: checks the greeting of the peer.
    """

    is_server: bool
    make_reply: Callable[[Frame], Frame]
    first_greeting: Frame | None
    check: GreetingCheck


class PeerLinkManager:
    """Makes and accepts the links of one process.

    Args:
        kinds: the frames that the peer may send, Greeting among them.
        contexts: for TLS; None without it.
        random: returns a number from 0 to 1, to spread reconnects.
        event_log: is given one event for each link that has ended or could not be made.
        counters: counts the links that are made, accepted, refused and ended.
        handshake_timeout_s: timeout of connecting, and again of the handshake.
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
        self._pending_greeting_count = 0  # accepted links whose peers have not greeted yet
        self._connect_errors: dict[str, str] = {}  # by peer: why no link was made, as logged last

    def new_backoff(self) -> ReconnectBackoff:
        """Returns a backoff for one peer."""
        return ReconnectBackoff(self._random)

    async def run_outgoing(
        self,
        address: tuple[str, int],
        name: str,
        greeting: Frame,
        check: GreetingCheck,
        on_connected: Callable[[Link], object],
        on_frame: Callable[[Link, Frame], None],
        on_closed: Callable[[Link], None],
        tasks: TaskGroup,
    ) -> str:
        """Makes one link and serves it; returns why it ended, which has been logged in one event.

        Args:
            address: the host and port of the peer.
            name: the name of the peer, for the log.
            greeting: the greeting of this side.
            check: is called with the peer's greeting.
            on_connected: is called once the link is made.
            on_frame: is called with each frame; a FramingError that it raises ends the link.
            on_closed: is called when the link has ended.
            tasks: runs the task that writes data which the kernel does not accept at once.
        """
        try:
            with anyio.fail_after(self._handshake_timeout_s):
                connected_socket = await connect(*address)
        except (OSError, TimeoutError) as error:
            return self._on_connect_failed(name, repr(error))
        link: Link | None = None
        reason = "given up"
        handshake = _Handshake(False, lambda _: greeting, greeting, check)
        handlers = _Handlers(on_connected, on_frame, on_closed)
        with anyio.CancelScope() as scope, SocketStream(connected_socket, tasks, scope.cancel) as stream:
            _limit_undelivered(connected_socket)
            greeted = await self._greet(stream, scope, handshake)
            if isinstance(greeted, str):
                reason = greeted
            else:
                link = greeted
                self._counters.add("links made")
                self._connect_errors.pop(name, None)
                await handlers.serve(link)
        if link is not None:
            link.close_reason = link.close_reason or "broken"
            reason = link.close_reason
        self._counters.add("links ended")
        self._event_log.log("link", "ended", to=name, why=reason)
        return reason

    def _on_connect_failed(self, name: str, reason: str) -> str:
        self._counters.add("links not made")
        if self._connect_errors.get(name) != reason:
            self._connect_errors[name] = reason
            self._event_log.log("link", "not made, tried again", to=name, why=reason)
        return reason

    async def run_incoming(
        self,
        listener: socket.socket,
        make_reply: Callable[[Frame], Frame],
        check: GreetingCheck,
        on_connected: Callable[[Link], object],
        on_frame: Callable[[Link, Frame], None],
        on_closed: Callable[[Link], None],
        tasks: TaskGroup,
    ) -> None:
        """Accepts links and serves them until it is cancelled.

        Args:
            listener: the listening socket, which is closed at the end.
            make_reply: returns the greeting of this side, given the greeting that `check` has accepted.
            check: is called with the peer's greeting.
            on_connected: is called once a link is made.
            on_frame: is called with each frame; a FramingError that it raises ends the link.
            on_closed: is called when a link has ended.
            tasks: runs a task for each link.
        """
        handshake = _Handshake(True, make_reply, None, check)
        handlers = _Handlers(on_connected, on_frame, on_closed)
        with listener:
            while True:
                try:
                    await anyio.wait_readable(listener)
                    accepted_socket = listener.accept()[0]
                    tasks.start_soon(self._serve_incoming, accepted_socket, handshake, handlers, tasks)
                except BlockingIOError:
                    continue
                except OSError as error:
                    # A momentary shortage of descriptors must not end the process.
                    self._event_log.log("link", "can't accept", why=repr(error))
                    await anyio.sleep(_ACCEPT_RETRY_S)

    async def _serve_incoming(
        self, accepted_socket: socket.socket, handshake: _Handshake, handlers: _Handlers, tasks: TaskGroup
    ) -> None:
        link: Link | None = None
        reason = "given up"
        host = ""
        try:
            host = "{}:{}".format(*accepted_socket.getpeername()[:2])
            with anyio.CancelScope() as scope, SocketStream(accepted_socket, tasks, scope.cancel) as stream:
                _limit_undelivered(accepted_socket)
                greeted = await self._greet_limited(stream, scope, handshake)
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
        # The log limits the events of each kind. An operator connects for each command, and under the kind of
        # the other links these events would crowd out theirs.
        kind = "operator" if link.greeting.role == "operator" else "link"
        self._event_log.log(
            kind, "ended", of=host, name=link.greeting.name, why=link.close_reason or "broken"
        )

    async def _greet_limited(
        self, stream: SocketStream, scope: anyio.CancelScope, handshake: _Handshake
    ) -> Link | str:
        """Greets, unless too many greetings of other links are pending."""
        self._pending_greeting_count += 1
        try:
            if self._pending_greeting_count > _MAX_PENDING_GREETINGS:
                return "refused: too many greet at once"
            return await self._greet(stream, scope, handshake)
        finally:
            self._pending_greeting_count -= 1

    async def _greet(
        self, stream: SocketStream, scope: anyio.CancelScope, handshake: _Handshake
    ) -> Link | str:
        """Does the TLS handshake and exchanges greetings; returns the link, or why there is none."""
        decoder = FrameDecoder(self._kinds)
        frames: list[Frame] = []
        channel: Channel = stream
        certificate_names: set[str] | None = None
        try:
            with anyio.fail_after(self._handshake_timeout_s):
                if self.contexts is not None:
                    from cresstray.sites.tls import TlsStream

                    channel = sealed = TlsStream(stream, self.contexts, handshake.is_server)
                    certificate_names = await sealed.handshake()
                if handshake.first_greeting is not None:
                    channel.write(encode_frame(handshake.first_greeting))
                while not frames:
                    frames = decoder.feed(await channel.receive())
                handshake.check(frames[0], certificate_names)
                if handshake.is_server:
                    channel.write(encode_frame(handshake.make_reply(frames[0])))
        except (*CONNECTION_ENDED, TimeoutError, FramingError) as error:
            self._counters.add("links refused")
            return f"refused: {error!r}"
        peer_greeting = frames[0]
        assert isinstance(peer_greeting, Greeting), "the check accepts nothing else"
        return Link(stream, channel, scope, decoder, peer_greeting, frames[1:])


def _limit_undelivered(connected_socket: socket.socket) -> None:
    connected_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNDELIVERED_TIMEOUT_MS)


class ReconnectBackoff:
    """The pause before a reconnect: doubled each time, with random jitter.

    All processes that follow one control-plane node lose their links together, and without jitter they would
    reconnect together.
    """

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random
        self._next_pause_s = _MIN_PAUSE_S

    def next_pause_s(self, lifetime_s: float) -> float:
        """Returns the pause after a link that was open for `lifetime_s` seconds."""
        if lifetime_s > _STABLE_AFTER_S:
            self._next_pause_s = _MIN_PAUSE_S
        pause_s = self._next_pause_s
        self._next_pause_s = min(2 * pause_s, _MAX_PAUSE_S)
        return pause_s * (0.5 + self._random())
