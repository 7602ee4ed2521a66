"""The listener for clients: accepts connections, evicts others to make room, and ends all in order."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from itertools import chain

import anyio
from anyio.abc import TaskGroup

from cresstray.clients.client_connection import ClientConnection
from cresstray.clients.connection_registry import ConnectionRegistry
from cresstray.clients.ports import RequestHandler
from cresstray.clients.session import ClientSession
from cresstray.memory_budget import MemoryBudget
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.transport.streams import faults_contained

_SWEEP_INTERVAL_S = 0.2
# Pause before accepting again after a connection could not be accepted.
_ACCEPT_RETRY_S = 0.02
# Connections accepted in one turn of the event loop. 64 take some ten milliseconds, as a turn of a busy loop
# does anyway. A client's timeout runs whether it is accepted or not: with one in each turn the last of a
# hundred would wait for 0.3 s, and with all in one turn the other clients would wait.
_MAX_ACCEPTS_PER_TURN = 64
# More than the socket's backlog can hold.
_MAX_BACKLOG = 4096


class Listener(ConnectionRegistry):
    """Accepts clients on one socket. The arguments are those of ConnectionRegistry."""

    def __init__(
        self,
        request_class_names: frozenset[str],
        handler: RequestHandler,
        max_connections: Callable[[], int],
        idle_close_threshold: int,
        now_us: Callable[[], int],
        counters: Counters,
        log: Log,
        memory: MemoryBudget | None = None,
    ) -> None:
        super().__init__(
            request_class_names,
            handler,
            max_connections,
            idle_close_threshold,
            now_us,
            counters,
            log.log,
            memory,
        )
        self._log = log
        self._listener: socket.socket | None = None
        self._without_room: socket.socket | None = None  # accepted, and served once there is room
        self._tasks: TaskGroup

    async def run(self, listener: socket.socket) -> None:
        """Accepts connections until `stop_listening`, and serves them until it is cancelled."""
        self._listener = listener
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self._sweep)
            while not self.is_closing:
                try:
                    if self._without_room is None:
                        await anyio.wait_readable(listener)
                    if not self._accept(listener):
                        # Waiting connections are tried again once other clients have been answered.
                        self.log("listener", "no room for a client, all others have requests open")
                        await anyio.sleep(_ACCEPT_RETRY_S)
                except BlockingIOError:
                    continue
                except anyio.ClosedResourceError:
                    return
                except OSError as error:
                    # A temporary lack of descriptors must not end the gateway.
                    self.log("listener", f"can't accept: {error!r}")
                    await anyio.sleep(_ACCEPT_RETRY_S)

    def stop_listening(self) -> None:
        """Accepts the waiting connections and closes the listening socket; requests are rejected from now on.

        Closing the socket resets the connections in its backlog, so all of them are accepted first.
        """
        self.is_closing = True
        listener = self._listener
        if listener is None:
            return
        try:
            for _ in range(_MAX_BACKLOG // _MAX_ACCEPTS_PER_TURN):
                self._accept(listener)
        except OSError:
            pass  # the backlog is empty, or no descriptor is left
        if self._without_room is not None:
            self._without_room.close()
        anyio.notify_closing(listener)
        listener.close()

    def close(self) -> None:
        """Ends all connections once their open requests are answered."""
        for session in list(self.connections):
            session.close()

    def has_unhandled(self, before_us: int) -> bool:
        """Returns whether anything may be unhandled that clients had sent by that time."""
        open_sessions = chain(self.connections, self.closing_connections)
        return any(session.has_unhandled(before_us) for session in open_sessions)

    def discard_unread(self) -> None:
        """After `close`, stops reading ahead, so that clients that never stop sending are ended too."""
        for session in list(self.connections):
            session.discard_unread()

    def discard_buffered_lines(self) -> None:
        """After `discard_unread`, drops what was read and could not be handled in time."""
        for session in list(self.connections):
            session.discard_buffered_lines()

    def _accept(self, listener: socket.socket) -> bool:
        """Accepts waiting connections, up to a turn's limit; returns False if there is no room for one."""
        eviction_order = self.eviction_order()
        for _ in range(_MAX_ACCEPTS_PER_TURN):
            accepted = self._without_room or listener.accept()[0]
            self._without_room = None
            if not self._has_room(eviction_order):
                self._without_room = accepted
                return False
            connection = ClientConnection(self, accepted, self._tasks)
            self.connections[connection.session] = None
            self._tasks.start_soon(self._serve, connection)
        return True

    def _has_room(self, eviction_order: Iterator[ClientSession]) -> bool:
        """Evicts in this order as far as needed; returns whether there is room for one more connection."""
        while self.excess_connections() >= 0:
            session = next(eviction_order, None)
            if session is not None:
                session.try_evict()
            elif not self.evict_dispensable():
                return False
        return True

    async def _serve(self, connection: ClientConnection) -> None:
        with faults_contained("a client's connection", self.counters, self._log):
            await connection.run()

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(_SWEEP_INTERVAL_S)
            with faults_contained("the sweep of the connections", self.counters, self._log):
                self.close_idle()
