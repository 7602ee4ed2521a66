"""Client of the shared store: a few pipelined connections to its primary, made again whenever they end.

The sockets of this package are here; `connection_pool` has what waits and is in flight.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, cast

import anyio
import anyio.to_thread
from anyio.abc import TaskGroup

from cresstray.clock import Clock, Timers
from cresstray.idempotency import codec
from cresstray.idempotency.codec import Command, ErrorReply, Handshake, HandshakeError, ProtocolError
from cresstray.idempotency.connection import Channel, StoreConnection
from cresstray.idempotency.connection_pool import ConnectionPool
from cresstray.idempotency.in_flight import (
    CommandBatch,
    OnDone,
    PrimaryTracker,
    ReconnectBackoff,
    Replies,
)
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.transport.streams import CONNECTION_ENDED, SocketStream, connect, faults_contained

if TYPE_CHECKING:
    from cresstray.config.idempotency import StoreSettings, StoreTlsFiles

# One that is cut, or waits for a lost packet, leaves the other; a gateway's load fits on one.
_CONNECTIONS = 2
# Each for a connection, and for TLS with the handshake: the longest round trips that are of use to a request.
_HANDSHAKE_TIMEOUT_S = 1.0
# What the network has taken and not delivered for so long is lost; otherwise the kernel retries for minutes.
_TCP_USER_TIMEOUT_MS = 2000
_MAX_PASSWORD_BYTES = 4096


class StoreTlsContext:
    """Verifies the store's certificate against its authority and the host's name. For sites.tls."""

    def __init__(self, files: StoreTlsFiles, host: str) -> None:
        """Raises OSError where a file cannot be used."""
        self._host = host
        try:
            self._context = ssl.create_default_context(cafile=files.authority_path)
            self._context.minimum_version = ssl.TLSVersion.TLSv1_2  # what managed stores still offer
            if files.certificate_path:
                self._context.load_cert_chain(files.certificate_path, files.key_path)
        except OSError as error:
            raise OSError(f"keys of the store, one of {files}: {error}") from None

    @property
    def client(self) -> StoreTlsContext:
        """This side's context, as sites.tls looks for it."""
        return self

    def wrap_bio(self, incoming: ssl.MemoryBIO, outgoing: ssl.MemoryBIO, server_side: bool) -> ssl.SSLObject:
        """Returns a TLS connection over these buffers."""
        return self._context.wrap_bio(incoming, outgoing, server_side, self._host)


def check_files(settings: StoreSettings) -> None:
    """Raises OSError where a file that the settings name cannot be used."""
    if settings.tls:
        StoreTlsContext(settings.tls, settings.addresses[0][0])
    if settings.password_path and not _read_password(settings.password_path):
        raise OSError(f"no password in {settings.password_path}")


def _read_password(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.readline(_MAX_PASSWORD_BYTES).strip()


class StoreClient:
    """Submits commands to the store's primary.

    `check_connections` is to be called once every CHECK_INTERVAL_US while `run` runs.
    """

    CHECK_INTERVAL_US = 1_000_000

    def __init__(
        self,
        settings: StoreSettings,
        chance: Callable[[], float],
        clock: Clock,
        timers: Timers,
        counters: Counters,
        log: Log,
    ) -> None:
        """Raises OSError where a file for TLS cannot be used."""
        self._settings = settings
        self._chance = chance
        self._clock = clock
        self._counters = counters
        self._log = log
        self._tracker = PrimaryTracker(settings.addresses)
        self._tls_contexts = [
            StoreTlsContext(settings.tls, host) if settings.tls else None for host, _ in settings.addresses
        ]
        self._pool = ConnectionPool(self._tracker, clock, timers, counters, log, _run_soon)
        self._last_errors: dict[int, str] = {}  # by address, as last logged
        self._tasks: TaskGroup

    def is_connected(self) -> bool:
        """Returns whether the primary is known and connected to."""
        return self._pool.is_connected()

    def pending_bytes(self) -> int:
        """Returns the size of all commands that somebody waits for."""
        return self._pool.pending_bytes

    def submit(self, commands: Sequence[Command], deadline_us: int, on_done: OnDone) -> CommandBatch:
        """Calls `on_done` once, by the deadline, never within this, with a reply to each command.

        Or with None: no reply came. Where `may_have_been_sent` of the returned batch is False by then,
        nothing of it has run or will; else that is unknown. The commands run in order, except that a script
        the store did not know runs after those behind it.
        """
        return self._pool.submit(commands, deadline_us, on_done)

    def check_connections(self, now_us: int) -> None:
        """Closes silent connections, and those to a primary that has become a replica."""
        self._pool.check_connections(now_us)

    async def run(self) -> None:
        """Keeps the connections until it is cancelled; all callers that still wait then get None."""
        try:
            async with anyio.create_task_group() as self._tasks:
                for _ in range(_CONNECTIONS):
                    self._tasks.start_soon(self._keep_connected)
        finally:
            self._pool.close()

    async def _keep_connected(self) -> None:
        backoff = ReconnectBackoff(self._chance)
        while True:
            lifetime_us = 0
            for index in self._tracker.connection_order():
                with faults_contained("a connection to the store", self._counters, self._log):
                    lifetime_us = await self._connect_and_use(index)
                if lifetime_us:
                    break
            await anyio.sleep(backoff.next_delay(lifetime_us) / 1e6)

    async def _connect_and_use(self, index: int) -> int:
        """Returns for how many microseconds a connection to this address was used; 0 if it was not."""
        connection: StoreConnection | None = None
        with anyio.CancelScope() as scope:
            connected = await self._open_socket(index)
            if connected is None:
                return 0
            with SocketStream(connected, self._tasks, scope.cancel) as stream:
                opened = await self._open_channel(index, connected, stream)
                if opened is None:
                    return 0
                channel, reader, handshake = opened
                if not self._tracker.on_greeted(index, handshake.is_primary):
                    self._log_error(index, "a second primary" if handshake.is_primary else "a replica")
                    return 0
                connection = StoreConnection(index, stream, channel, scope, self._clock.now())
                await self._use(connection, reader, handshake)
        if connection is None:
            self._log_error(index, "broken in the handshake")
            return 0
        return max(1, self._clock.now() - connection.opened_us)

    async def _open_socket(self, index: int) -> socket.socket | None:
        try:
            with anyio.fail_after(_HANDSHAKE_TIMEOUT_S):
                return await self._connect(*self._settings.addresses[index])
        except (OSError, TimeoutError) as error:
            self._log_error(index, f"can't be reached: {error!r}")
            return None

    async def _connect(self, host: str, port: int) -> socket.socket:
        # The kernel's resolver may take seconds for a name; it must not stop the loop.
        found = await anyio.getaddrinfo(host, port, family=socket.AF_INET, type=socket.SOCK_STREAM)
        host_address, port_number = found[0][4][:2]
        return await connect(str(host_address), int(port_number))

    async def _open_channel(
        self, index: int, connected: socket.socket, stream: SocketStream
    ) -> tuple[Channel, codec.ReplyReader, Handshake] | None:
        try:
            connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)
            with anyio.fail_after(_HANDSHAKE_TIMEOUT_S):
                channel = await self._secure(index, stream)
                reader = codec.ReplyReader()
                handshake = await self._perform_handshake(channel, reader)
                return channel, reader, handshake
        except (*CONNECTION_ENDED, TimeoutError, ProtocolError, HandshakeError) as error:
            self._counters.add("store: handshakes failed")
            self._log_error(index, f"handshake failed: {error!r}")
            return None

    async def _secure(self, index: int, stream: SocketStream) -> Channel:
        context = self._tls_contexts[index]
        if context is None:
            return stream
        from cresstray.sites.tls import TlsStream

        # TlsStream takes any object with these two members in place of its own contexts.
        sealed = TlsStream(stream, cast(Any, context), False)
        await sealed.handshake()
        return sealed

    async def _perform_handshake(self, channel: Channel, reader: codec.ReplyReader) -> Handshake:
        steps = codec.perform_handshake(self._settings.user, await self._password())
        commands = next(steps)
        while True:
            channel.write(b"".join(codec.pack_arguments(command.arguments) for command in commands))
            replies: Replies = []
            while len(replies) < len(commands):
                replies += reader.feed(await channel.receive())
            _check_handshake_replies(commands, replies)
            try:
                commands = steps.send(replies)
            except StopIteration as finished:
                handshake: Handshake = finished.value
                return handshake

    async def _password(self) -> bytes:
        """Reads it for each connection, so that it can be changed, and in a thread: a disk may hang."""
        path = self._settings.password_path
        if not path:
            return b""
        password = await anyio.to_thread.run_sync(_read_password, path, abandon_on_cancel=True)
        if not password:
            raise HandshakeError(f"no password in {path}")
        return password

    async def _use(
        self, connection: StoreConnection, reader: codec.ReplyReader, handshake: Handshake
    ) -> None:
        index = connection.address_index
        if not self._pool.connections:
            self._log.log("store", f"{self._address(index)} is the primary, RESP{handshake.protocol}")
        self._last_errors.clear()
        self._pool.add(connection)
        try:
            while True:
                self._pool.on_replies(connection, reader.feed(await connection.channel.receive()))
        except ProtocolError as error:
            self._counters.add("store: protocol errors")
            connection.close(f"dropped: {error}")
        except CONNECTION_ENDED as error:
            connection.close(repr(error))
        finally:
            self._on_ended(connection)

    def _on_ended(self, connection: StoreConnection) -> None:
        self._pool.remove(connection)
        if connection.was_closed():
            self._log_error(connection.address_index, connection.close_reason or "broken")
        self._pool.return_unsent(connection)

    def _address(self, index: int) -> str:
        host, port = self._settings.addresses[index]
        return f"{host}:{port}"

    def _log_error(self, index: int, error: str) -> None:
        """Logs an error of an address once, until it changes or a connection is made."""
        if self._last_errors.get(index) != error:
            self._last_errors[index] = error
            self._log.log("store", f"{self._address(index)}: {error}")


def _check_handshake_replies(commands: Sequence[Command], replies: Replies) -> None:
    fits = [
        type(reply) is ErrorReply or command.accepts_reply(reply) for command, reply in zip(commands, replies)
    ]
    if len(replies) > len(commands) or not all(fits):
        raise ProtocolError(f"an answer to a greeting: {str(replies)[:60]}")


def _run_soon(call: Callable[..., object], *arguments: object) -> None:
    asyncio.get_running_loop().call_soon(call, *arguments)
