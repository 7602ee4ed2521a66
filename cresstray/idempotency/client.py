"""Client of the shared store: a few pipelined connections to its primary, reopened whenever they end.

This module owns the sockets; `connection_pool` holds the commands that are queued or in flight.
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

# If one connection is cut, or waits for a lost packet, the other still serves; a gateway's load fits on one.
_CONNECTION_COUNT = 2
# Applies to connecting, and again to TLS with the handshake. A request cannot use a store with longer round
# trips.
_HANDSHAKE_TIMEOUT_S = 1.0
# Sent data that is not acknowledged for this long counts as lost; by default the kernel retries for minutes.
_TCP_USER_TIMEOUT_MS = 2000
_MAX_PASSWORD_BYTES = 4096


class StoreTlsContext:
    """Client-side TLS context of the store, in the form that sites.tls expects.

    Verifies the store's certificate against the configured authority and the host name.
    """

    def __init__(self, files: StoreTlsFiles, host: str) -> None:
        """Loads the certificates and keys.

        Raises:
            OSError: A file cannot be used.
        """
        self._host = host
        try:
            self._context = ssl.create_default_context(cafile=files.authority_path)
            # Some managed stores offer no later version than TLS 1.2.
            self._context.minimum_version = ssl.TLSVersion.TLSv1_2
            if files.certificate_path:
                self._context.load_cert_chain(files.certificate_path, files.key_path)
        except OSError as error:
            raise OSError(f"cannot use the TLS files of the store, one of {files}: {error}") from None

    @property
    def client(self) -> StoreTlsContext:
        """The context for outgoing connections, under the name that sites.tls reads."""
        return self

    def wrap_bio(self, incoming: ssl.MemoryBIO, outgoing: ssl.MemoryBIO, server_side: bool) -> ssl.SSLObject:
        """Returns a client-side TLS connection over these buffers; `server_side` must be False."""
        return self._context.wrap_bio(incoming, outgoing, server_side, self._host)


def check_files(settings: StoreSettings) -> None:
    """Checks the TLS and password files that the settings name.

    Raises:
        OSError: A file cannot be used, or holds no password.
    """
    if settings.tls:
        StoreTlsContext(settings.tls, settings.addresses[0][0])
    if settings.password_path and not _read_password(settings.password_path):
        raise OSError(f"no password in {settings.password_path}")


def _read_password(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.readline(_MAX_PASSWORD_BYTES).strip()


class StoreClient:
    """Submits commands to the store's primary.

    While `run` runs, `check_connections` must be called every CHECK_INTERVAL_US.
    """

    CHECK_INTERVAL_US = 1_000_000

    def __init__(
        self,
        settings: StoreSettings,
        next_random: Callable[[], float],
        clock: Clock,
        timers: Timers,
        counters: Counters,
        log: Log,
    ) -> None:
        """Creates a client that is not connected yet; `next_random` returns numbers in [0, 1).

        Raises:
            OSError: A TLS file cannot be used.
        """
        self._settings = settings
        self._next_random = next_random
        self._clock = clock
        self._counters = counters
        self._log = log
        self._tracker = PrimaryTracker(settings.addresses)
        self._tls_contexts = [
            StoreTlsContext(settings.tls, host) if settings.tls else None for host, _ in settings.addresses
        ]
        self._pool = ConnectionPool(self._tracker, clock, timers, counters, log, _run_soon)
        self._last_errors: dict[int, str] = {}  # last logged error, by address index
        self._tasks: TaskGroup

    def is_connected(self) -> bool:
        """Returns whether there is an open connection to the primary."""
        return self._pool.is_connected()

    def pending_bytes(self) -> int:
        """Returns the approximate size of all commands whose callers still wait."""
        return self._pool.pending_bytes

    def submit(self, commands: Sequence[Command], deadline_us: int, on_done: OnDone) -> CommandBatch:
        """Submits commands; calls `on_done` once, by the deadline, with a reply to each command.

        `on_done` is never called before this method returns. It gets None if no reply came: if
        `may_have_been_sent` of the returned batch is False by then, none of the commands has run or will run;
        otherwise that is unknown. The commands run in order, except that a script that the store did not know
        is sent again and runs after the commands that follow it.
        """
        return self._pool.submit(commands, deadline_us, on_done)

    def check_connections(self, now_us: int) -> None:
        """Closes connections that are silent, or whose server has become a replica."""
        self._pool.check_connections(now_us)

    async def run(self) -> None:
        """Maintains the connections until cancelled; all callers that still wait then get None."""
        try:
            async with anyio.create_task_group() as self._tasks:
                for _ in range(_CONNECTION_COUNT):
                    self._tasks.start_soon(self._keep_connected)
        finally:
            self._pool.close()

    async def _keep_connected(self) -> None:
        backoff = ReconnectBackoff(self._next_random)
        while True:
            lifetime_us = 0
            for index in self._tracker.connection_order():
                with faults_contained("a connection to the store", self._counters, self._log):
                    lifetime_us = await self._run_connection(index)
                if lifetime_us:
                    break
            await anyio.sleep(backoff.next_delay_us(lifetime_us) / 1e6)

    async def _run_connection(self, index: int) -> int:
        """Connects to an address and uses the connection until it ends.

        Returns for how many microseconds the connection was used; 0 if it was not.
        """
        connection: StoreConnection | None = None
        with anyio.CancelScope() as scope:
            connected_socket = await self._open_socket(index)
            if connected_socket is None:
                return 0
            with SocketStream(connected_socket, self._tasks, scope.cancel) as stream:
                opened_channel = await self._open_channel(index, connected_socket, stream)
                if opened_channel is None:
                    return 0
                channel, reader, handshake = opened_channel
                if not self._tracker.on_handshake_finished(index, handshake.is_primary):
                    self._log_error(index, "a second primary" if handshake.is_primary else "a replica")
                    return 0
                connection = StoreConnection(index, stream, channel, scope, self._clock.now())
                await self._read_replies(connection, reader, handshake)
        if connection is None:
            self._log_error(index, "connection lost in the handshake")
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
        # Resolving a name may take seconds, and must not block the event loop.
        resolved = await anyio.getaddrinfo(host, port, family=socket.AF_INET, type=socket.SOCK_STREAM)
        host_address, port_number = resolved[0][4][:2]
        return await connect(str(host_address), int(port_number))

    async def _open_channel(
        self, index: int, connected_socket: socket.socket, stream: SocketStream
    ) -> tuple[Channel, codec.ReplyReader, Handshake] | None:
        try:
            connected_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)
            with anyio.fail_after(_HANDSHAKE_TIMEOUT_S):
                channel = await self._open_tls(index, stream)
                reader = codec.ReplyReader()
                handshake = await self._perform_handshake(channel, reader)
                return channel, reader, handshake
        except (*CONNECTION_ENDED, TimeoutError, ProtocolError, HandshakeError) as error:
            self._counters.add("store: handshakes failed")
            self._log_error(index, f"handshake failed: {error!r}")
            return None

    async def _open_tls(self, index: int, stream: SocketStream) -> Channel:
        context = self._tls_contexts[index]
        if context is None:
            return stream
        from cresstray.sites.tls import TlsStream

        # TlsStream needs only `client` and `wrap_bio` of its contexts, which StoreTlsContext has.
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
        """Reads the password file.

        It is read for each connection, so that the password can be changed, and in a thread, because a disk
        may hang.
        """
        path = self._settings.password_path
        if not path:
            return b""
        password = await anyio.to_thread.run_sync(_read_password, path, abandon_on_cancel=True)
        if not password:
            raise HandshakeError(f"no password in {path}")
        return password

    async def _read_replies(
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
            connection.close(f"connection closed after a protocol error: {error}")
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
        """Logs an error of an address unless it is the last one logged; a new connection resets this."""
        if self._last_errors.get(index) != error:
            self._last_errors[index] = error
            self._log.log("store", f"{self._address(index)}: {error}")


def _check_handshake_replies(commands: Sequence[Command], replies: Replies) -> None:
    are_accepted = [
        type(reply) is ErrorReply or command.accepts_reply(reply) for command, reply in zip(commands, replies)
    ]
    if len(replies) > len(commands) or not all(are_accepted):
        raise ProtocolError(f"unexpected reply in the handshake: {str(replies)[:60]}")


def _run_soon(callback: Callable[..., object], *arguments: object) -> None:
    asyncio.get_running_loop().call_soon(callback, *arguments)
