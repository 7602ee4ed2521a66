"""The connections of the links: connects and reconnects, accepts, reads and writes. Decides nothing else."""

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
from cresstray.sites.ends import GatewayIdentity
from cresstray.sites.flow_control import ForwardingQuota, LinkCredit
from cresstray.sites.health import IDLE_INTERVAL_FACTOR, LinkHealth, LinkState
from cresstray.sites.inbound import InboundLink, RequestIngress
from cresstray.sites.ledger import STATUS_WORDS
from cresstray.sites.outbound import ForwardingListener, OutboundLink
from cresstray.sites.routing import SiteRoute
from cresstray.transport.streams import CONNECTION_ENDED, SocketStream, connect, faults_contained

if TYPE_CHECKING:
    from cresstray.sites.tls import TlsContexts

# Time for the TLS handshake, and for the link's own, at the longest round trip at which a link is useful.
_HANDSHAKE_TIMEOUT_S = 3.0
# A connection that lasted this long is followed by a quick reconnect, a shorter one by an increasing delay.
_STABLE_CONNECTION_US = 5_000_000
# All that is written to a peer that reads nothing would otherwise be kept in memory.
_MAX_UNSENT_BYTES = 8 * 1024 * 1024
# A forwarding gateway that has not reconnected for this long is forgotten, once none of its requests is open.
# The check is rare, as each one wakes up a gateway that may be idle.
_ABSENCE_LIMIT_US, _ABSENCE_CHECK_US = 60_000_000, 10_000_000
# The time on the event loop for one connection: 650 us to connect, and a millisecond more for TLS.
_CONNECT_COST_US, _TLS_CONNECT_COST_US = 650, 1_650
# Spare capacity is divided among the gateways that have forwarded a request within this time.
_ACTIVE_GATEWAY_US = 1_000_000
# Gateways of other sites that may be connected at once, including some that are shutting down.
_MAX_CONNECTIONS = 256


class Channel(Protocol):
    """A bidirectional byte stream: a socket, or TLS over one."""

    def write(self, message: bytes) -> object:
        """Writes without waiting."""

    async def receive(self) -> bytes:
        """Returns the next received bytes."""


class LinkConnection:
    """One connection of a link. Frames wait as long as their link allows, and share a write."""

    def __init__(
        self, stream: SocketStream, channel: Channel, scope: anyio.CancelScope, timers: Timers
    ) -> None:
        self._stream, self._channel, self.scope, self._timers = stream, channel, scope, timers
        self.write_delay_us: Callable[[], int] = lambda: 0
        self._unwritten = bytearray()
        self._is_receiving = self._is_flush_scheduled = False

    def write(self, data: bytes, immediately: bool) -> None:
        """Writes an encoded frame, possibly together with later ones."""
        self._unwritten += data
        if immediately:
            self._flush()
        elif not self._is_receiving:
            self._schedule_flush()

    def _schedule_flush(self) -> None:
        delay_us = self.write_delay_us()
        if not delay_us:
            self._flush()
        elif not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._timers.call_after(delay_us, self._flush)

    def _flush(self, _now_us: int = 0) -> None:
        self._is_flush_scheduled = False
        if not self._unwritten or not self._stream.is_open():
            return
        self._channel.write(bytes(self._unwritten))
        self._unwritten.clear()
        if len(self._stream.unsent) > _MAX_UNSENT_BYTES:
            self.scope.cancel()

    async def serve(self, receive: Callable[[bytes], object]) -> str:
        """Receives until the connection ends or its scope is cancelled; returns why it ended."""
        try:
            while True:
                data = await self._channel.receive()
                self._is_receiving = True
                try:
                    receive(data)
                finally:
                    self._is_receiving = False
                    if self._unwritten:
                        self._schedule_flush()
        except FramingError as error:
            return f"dropped: {error}"
        except CONNECTION_ENDED as error:
            return repr(error)


class _Reconnect:
    """An outbound link, with the job that connects it and the delay before the next time."""

    def __init__(self, peer: operator.Peer, outbound: OutboundLink, delay_us: int) -> None:
        self.peer, self.outbound, self.delay_us = peer, outbound, delay_us
        self.job: Job


class SiteLinkManager:
    """All links of one gateway: outbound ones to its peers, and inbound ones from other gateways."""

    def __init__(
        self,
        settings: operator.Halls,
        incarnation: str,
        can_cancel: bool,
        seed: int,
        ingress: RequestIngress,
        listener: ForwardingListener,
        spare_capacity: Callable[[], tuple[float, float, float]],
        clock: Clock,
        timers: Timers,
        counters: Counters,
        log: Log,
        worker: Worker,
    ) -> None:
        """Creates the outbound links without connecting them.

        Args:
            settings: The operator's settings for this gateway, its links and its peers.
            incarnation: Differs between any two runs of this gateway.
            can_cancel: Whether attempts at engines may be cancelled.
            seed: Of the random part of reconnect delays.
            ingress: Gets the requests that other sites forward.
            listener: Gets the events of forwarded requests.
            spare_capacity: Returns the spare threads, the cores and the slowdown of this site.
            clock: The clock of this gateway.
            timers: Timers on that clock.
            counters: Counts links and requests.
            log: The gateway's log.
            worker: The gateway's background worker, which may be started later.

        Raises:
            OSError: a certificate file cannot be used.
        """
        self._settings, self._ingress, self._listener = settings, ingress, listener
        self._local_capacity = spare_capacity
        self._clock, self._timers, self._counters, self._log = clock, timers, counters, log
        self._identity = GatewayIdentity(settings.hall, settings.gateway, incarnation, can_cancel)
        self._random = random.Random(seed).random
        self._worker = worker
        self.quota = ForwardingQuota(settings.share)
        self._contexts: TlsContexts | None = None
        self._inbound: dict[tuple[str, str], InboundLink] = {}  # by site and gateway name
        self._connections: dict[object, LinkConnection] = {}  # by link
        self.is_draining = False
        self._tasks: TaskGroup
        self._is_busy, self._next_tick = False, TimerHandle(0, lambda _: None)
        self._outbound = [(peer, self._make_outbound(peer)) for peer in settings.peers]
        self.load_certificates(settings)

    def load_certificates(self, settings: operator.Halls) -> None:
        """Loads the certificates for new connections.

        Raises:
            OSError: a file cannot be used (the ssl module's errors are OSErrors).
        """
        if settings.tls is not None:
            from cresstray.sites.tls import TlsContexts

            self._contexts = TlsContexts(settings.tls)

    def reload(self, settings: operator.Halls) -> None:
        """Applies new certificates and a new forwarding quota; all other settings need a restart.

        Raises:
            OSError: a certificate file cannot be used; the quota is unchanged then.
        """
        self.load_certificates(settings)
        self.quota.max_fraction = settings.share
        unchangeable = [
            (version.hall, version.gateway, version.listen, version.control, version.link, version.peers)
            for version in (settings, self._settings)
        ]
        if unchangeable[0] != unchangeable[1]:
            self._write_log(
                "only the certificates and the share of the new operator's file are used until a restart"
            )

    def _make_health(self) -> LinkHealth:
        link = self._settings.link
        return LinkHealth(link.heartbeat, link.slow, link.lease, link.heal)

    def _make_outbound(self, peer: operator.Peer) -> OutboundLink:
        link = self._settings.link
        route = SiteRoute(
            f"{peer.hall} {peer.address[0]}:{peer.address[1]}",
            self._make_health(),
            LinkCredit(link.submissions, link.bytes),
            self.quota,
        )
        outbound = OutboundLink(
            self._identity,
            peer.hall,
            route,
            self._listener,
            self._counters,
            self._write_log,
            self._clock.now,
            self._wake,
        )
        self._listener.add(outbound)
        return outbound

    def _write_log(self, text: str) -> None:
        self._log.log("hall", text)

    async def run(self, tasks: TaskGroup) -> None:
        """Starts all links in these tasks; returns once connections are accepted."""
        settings, self._tasks = self._settings, tasks
        if settings.listen is not None:
            listener = socket.create_server(settings.listen, backlog=64)
            listener.setblocking(False)
            self.address = listener.getsockname()
            tasks.start_soon(self._accept, listener)
            self._write_log(
                f"{settings.gateway} of {settings.hall} takes links on {self.address[0]}:{self.address[1]}"
            )
        for peer, outbound in self._outbound:
            reconnect = _Reconnect(peer, outbound, settings.link.retry)
            reconnect.job = self._worker.add_job(
                "links",
                Priority.SERVICE,
                0,
                lambda now_us, reconnect=reconnect: self._start_connecting(reconnect),
                settings.link.retry_most,
            )
            self._worker.wake(reconnect.job)
        self._worker.add_job("absent", Priority.TIDY, _ABSENCE_CHECK_US, self._remove_absent)
        self._tick(self._clock.now())

    def _tick(self, now_us: int) -> None:
        links: list[OutboundLink | InboundLink] = [outbound for _, outbound in self._outbound]
        links += self._inbound.values()
        for link in links:
            connection = self._connections.get(link)
            if not link.tick(now_us) and connection is not None:
                self._counters.add("links between halls silent")
                connection.scope.cancel()
        # Half a heartbeat interval is precise enough for heartbeats, leases and deadlines; an idle heartbeat
        # interval is while all links are idle.
        heartbeat_us = self._settings.link.heartbeat
        self._is_busy = any(link.is_busy(now_us) for link in links)
        self._next_tick = self._timers.call_after(
            heartbeat_us // 2 if self._is_busy else IDLE_INTERVAL_FACTOR * heartbeat_us, self._tick
        )

    def _remove_absent(self, now_us: int) -> None:
        for key, inbound in list(self._inbound.items()):
            if inbound in self._connections or inbound.is_busy(now_us):
                continue
            if now_us - inbound.disconnected_us > _ABSENCE_LIMIT_US:
                inbound.cancel_all()
                del self._inbound[key]

    def _wake(self) -> None:
        """Ticks now instead of after an idle interval, because a request is open or wanted."""
        if not self._is_busy:
            self._is_busy = True
            self._next_tick.cancel()
            self._next_tick = self._timers.call_after(0, self._tick)

    # Outbound links.

    def _start_connecting(self, reconnect: _Reconnect) -> None:
        self._tasks.start_soon(self._connect_once, reconnect)
        # The worker spreads the connections: when all gateways of a site return at once, their handshakes
        # would otherwise delay live requests.
        self._worker.charge(_CONNECT_COST_US if self._contexts is None else _TLS_CONNECT_COST_US)

    async def _connect_once(self, reconnect: _Reconnect) -> None:
        settings, outbound = self._settings.link, reconnect.outbound
        started_us = self._clock.now()
        reason = ""
        with faults_contained("a link to another hall", self._counters, self._log):
            reason = await self._run_outbound(reconnect.peer, outbound)
        now_us = self._clock.now()
        outbound.on_disconnected(now_us)
        self._write_log(f"link to {outbound.route.name} ended: {reason}")
        # With a constant delay, the handshakes of a link that flaps, or to a site that is gone, would cost
        # both sites too much time.
        reconnect.delay_us = (
            settings.retry
            if now_us - started_us > _STABLE_CONNECTION_US
            else min(2 * reconnect.delay_us, settings.retry_most)
        )
        # The random part keeps the gateways of a site, which notice an outage at the same time, from
        # reconnecting at the same time.
        self._worker.wake_after(reconnect.job, int(reconnect.delay_us * (0.75 + 0.5 * self._random())))

    async def _run_outbound(self, peer: operator.Peer, outbound: OutboundLink) -> str:
        """Connects and serves an outbound link; returns why its connection ended."""
        try:
            with anyio.fail_after(_HANDSHAKE_TIMEOUT_S):
                connected = await connect(*peer.address)
        except (OSError, TimeoutError) as error:
            return f"not made: {error!r}"
        with anyio.CancelScope() as scope, SocketStream(connected, self._tasks, scope.cancel) as stream:
            try:
                with anyio.fail_after(_HANDSHAKE_TIMEOUT_S):
                    channel, _ = await self._secure(stream, {peer.hall}, False)
            except (*CONNECTION_ENDED, TimeoutError, FramingError) as error:
                return f"refused: {error!r}"
            connection = self._connections[outbound] = LinkConnection(stream, channel, scope, self._timers)
            connection.write_delay_us = outbound.write_delay_us
            outbound.on_connected(connection.write)
            handshake_timeout = self._timers.call_after(
                int(_HANDSHAKE_TIMEOUT_S * 1e6),
                lambda _: outbound.is_established or connection.scope.cancel(),
            )
            try:
                return await connection.serve(lambda data: outbound.receive(data, self._clock.now()))
            finally:
                handshake_timeout.cancel()
                del self._connections[outbound]
        return "given up"

    async def _secure(
        self, stream: SocketStream, sites: set[str], is_server: bool
    ) -> tuple[Channel, set[str]]:
        """Returns the channel to use, and which of these sites the peer is proven to belong to.

        Raises:
            FramingError: the peer's certificate names none of the sites.
        """
        if self._contexts is None:
            return stream, sites
        from cresstray.sites.tls import TlsStream

        tls_stream = TlsStream(stream, self._contexts, is_server)
        certified = await tls_stream.handshake()
        if not certified & sites:
            self._counters.add("links between halls refused")
            raise FramingError(f"a certificate for {', '.join(sorted(certified)) or 'no hall'}")
        return tls_stream, certified & sites

    # Inbound links.

    async def _accept(self, listener: socket.socket) -> None:
        with listener:
            while True:
                await anyio.wait_readable(listener)
                try:
                    self._tasks.start_soon(self._serve_accepted, listener.accept()[0])
                except BlockingIOError:
                    continue
                except OSError as error:
                    # A temporary lack of file descriptors must not end the service.
                    self._write_log(f"can't accept: {error!r}")
                    await anyio.sleep(0.02)

    async def _serve_accepted(self, accepted: socket.socket) -> None:
        reason = "given up"
        with faults_contained("a link from another hall", self._counters, self._log):
            with anyio.CancelScope() as scope, SocketStream(accepted, self._tasks, scope.cancel) as stream:
                reason = await self._run_inbound(stream, scope)
        self._write_log(f"link from another hall ended: {reason}")

    async def _run_inbound(self, stream: SocketStream, scope: anyio.CancelScope) -> str:
        """Performs the handshake and serves an inbound link; returns why its connection ended."""
        sites = {peer.hall for peer in self._settings.peers}
        if len(self._connections) >= _MAX_CONNECTIONS:
            return "refused, there are too many"
        decoder, received = codec.FrameDecoder(), []
        try:
            with anyio.fail_after(_HANDSHAKE_TIMEOUT_S):
                channel, certified = await self._secure(stream, sites, True)
                while not received:
                    received = decoder.feed(await channel.receive())
            hello = received[0]
            if not isinstance(hello, codec.Hello) or hello.magic != codec.MAGIC:
                raise FramingError("no hello")
            if hello.version != codec.PROTOCOL_VERSION or hello.site not in certified:
                raise FramingError(f"version {hello.version} of hall {hello.site!r}")
        except (*CONNECTION_ENDED, TimeoutError, FramingError) as error:
            self._counters.add("links between halls refused")
            return f"refused: {error!r}"
        connection = LinkConnection(stream, channel, scope, self._timers)
        inbound = self._register_inbound(hello, connection)
        connection.write_delay_us = inbound.write_delay_us
        inbound.on_connected(hello, connection.write)
        if self.is_draining:
            inbound.send_go_away("this gateway ends")

        def receive(frames: list[codec.Frame]) -> None:
            for frame in frames:
                # Frames of the old connection that are still unhandled when a newer one replaces it are
                # invalid, as the new connection has reconciled the requests.
                if self._connections.get(inbound) is not connection:
                    raise FramingError("a newer connection has replaced this one")
                inbound.receive(frame)

        try:
            # Frames that arrived together with the hello may be as malformed as later ones.
            try:
                receive(received[1:])
            except FramingError as error:
                return f"dropped: {error}"
            return await connection.serve(lambda data: receive(decoder.feed(data)))
        finally:
            if self._connections.get(inbound) is connection:
                del self._connections[inbound]
                inbound.on_disconnected()

    def _register_inbound(self, hello: codec.Hello, connection: LinkConnection) -> InboundLink:
        """Returns the inbound link of the gateway that sent the hello, which now uses this connection."""
        origin = GatewayIdentity(hello.site, hello.gateway, hello.incarnation)
        inbound = self._inbound.get((hello.site, hello.gateway))
        if inbound is not None and inbound in self._connections:
            # Unread frames of the earlier connection must not be handled after the new one has reconciled the
            # requests.
            self._connections.pop(inbound).scope.cancel()
        if inbound is None or inbound.origin != origin:
            if inbound is not None:
                inbound.cancel_all()
            link = self._settings.link
            inbound = self._inbound[hello.site, hello.gateway] = InboundLink(
                self._identity,
                origin,
                self._make_health(),
                link.submissions,
                link.bytes,
                self._ingress,
                self._spare_capacity,
                self._paused_us,
                self._clock.now,
                self._wake,
                self._timers.call_after,
                self._counters,
                self._write_log,
            )
        self._connections[inbound] = connection
        return inbound

    def _paused_us(self) -> int:
        return 1_000_000 if self.is_draining else 0

    def _spare_capacity(self) -> tuple[float, float, float]:
        threads, cores, slowdown = self._local_capacity()
        # Divided, as each forwarding gateway would otherwise use all that is reported to all of them.
        now_us = self._clock.now()
        active = max(
            1,
            sum(now_us - inbound.last_request_us < _ACTIVE_GATEWAY_US for inbound in self._inbound.values()),
        )
        return threads / active, cores / active, slowdown

    def drain(self) -> None:
        """Accepts no new requests; open ones continue until this gateway ends."""
        self.is_draining = True
        for inbound in self._inbound.values():
            inbound.send_go_away("this gateway ends")

    # For operators.

    def status(self) -> dict:
        """Returns the state of all links, as the control socket reports it."""
        now_us = self._clock.now()
        return {
            "hall": self._identity.site,
            "gateway": self._identity.name,
            "incarnation": self._identity.incarnation,
            "to": [self._outbound_status(outbound, now_us) for _, outbound in self._outbound],
            "from": [
                {
                    "hall": inbound.origin.site,
                    "gateway": inbound.origin.name,
                    "incarnation": inbound.origin.incarnation,
                    "connected": inbound in self._connections,
                    "ledger": _count_words(
                        STATUS_WORDS[request.state] for request in inbound.ledger.open.values()
                    ),
                }
                for inbound in self._inbound.values()
            ],
        }

    def _outbound_status(self, outbound: OutboundLink, now_us: int) -> dict:
        route, health = outbound.route, outbound.route.health
        is_connected = health.state is not LinkState.DISCONNECTED
        return {
            "peer": route.name,
            "gateway": outbound.remote_gateway,
            "state": health.state.value,
            "round trip ms": round(health.round_trip_us(now_us) / 1000, 1) if is_connected else None,
            "room threads": round(route.spare_threads(), 1),
            "leaving": route.is_draining,
            "closed ms": max(0, route.paused_until_us - now_us) // 1000,
            "credit": f"{route.credit.used_requests}/{route.credit.max_requests}",
            "ledger": _count_words(
                "unknown" if forwarded.is_disconnected else STATUS_WORDS[forwarded.state]
                for forwarded in outbound.ledger.open.values()
            ),
        }


def _count_words(words: Iterable[str]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for word in words:
        counts[word] = counts.get(word, 0) + 1
    return counts


async def serve_status(path: str, status: Callable[[], dict]) -> None:
    """Serves the status as one line of JSON on a local socket that only its owner can connect to."""

    async def send_status(stream: ByteStream) -> None:
        async with stream:
            with anyio.move_on_after(1):
                await stream.send(msgspec.json.encode(status()) + b"\n")

    async with await anyio.create_unix_listener(path, mode=0o600) as listener:
        await listener.serve(send_status)
