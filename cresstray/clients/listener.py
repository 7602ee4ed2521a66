"""The socket on which clients connect: accepts them, makes room for them, ends all in order."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator

import anyio
from anyio.abc import TaskGroup

from cresstray.clients.client_connection import ClientConnection
from cresstray.clients.connection_registry import ConnectionRegistry
from cresstray.clients.session import ClientSession, RequestHandler
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.transport.streams import faults_contained

_SWEEP_INTERVAL_S = 0.2
# How long to leave connections waiting after one could not be accepted.
_ACCEPT_RETRY_S = 0.02
# Connections accepted in one turn: some ten milliseconds, what a busy event loop takes for a turn anyway. A
# client's time runs whether it is accepted or not: one in each turn would leave the last of a hundred waiting
# for 0.3 s, all in one turn would keep the other clients waiting.
_MAX_ACCEPTS_PER_TURN = 64
# More than the backlog of the socket ever holds.
_MAX_BACKLOG = 4096


class Listener(ConnectionRegistry):
    """Accepts clients on one socket. The arguments are those of ConnectionRegistry."""

    def __init__(
        self,
        class_names: frozenset[str],
        handler: RequestHandler,
        max_connections: Callable[[], int],
        idle_close_threshold: int,
        now: Callable[[], int],
        counters: Counters,
        log: Log,
    ) -> None:
        super().__init__(class_names, handler, max_connections, idle_close_threshold, now, counters, log.log)
        self._log = log
        self._listener: socket.socket | None = None
        self._tasks: TaskGroup

    async def run(self, listener: socket.socket) -> None:
        """Accepts until `stop_listening`; serves what it accepted until it is cancelled."""
        self._listener = listener
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self._sweep)
            while not self.is_closing:
                try:
                    await anyio.wait_readable(listener)
                    if not self._accept(listener):
                        # Those that wait are tried again once other clients have been answered.
                        self.log("listener", "no room for a client, all others have requests open")
                        await anyio.sleep(_ACCEPT_RETRY_S)
                except BlockingIOError:
                    continue
                except anyio.ClosedResourceError:
                    return
                except OSError as error:
                    # Being out of descriptors for a moment must not end the gateway.
                    self.log("listener", f"can't accept: {error!r}")
                    await anyio.sleep(_ACCEPT_RETRY_S)

    def stop_listening(self) -> None:
        """Accepts those that wait and no more. All requests from here on are rejected.

        A socket that is closed resets the connections of its backlog, so all of them are accepted first.
        """
        self.is_closing = True
        listener = self._listener
        if listener is None:
            return
        try:
            for _ in range(_MAX_BACKLOG // _MAX_ACCEPTS_PER_TURN):
                self._accept(listener)
        except OSError:
            pass  # none waits any more, or there is no descriptor
        anyio.notify_closing(listener)
        listener.close()

    def close(self) -> None:
        """Ends all connections once their open requests are answered."""
        for session in list(self.connections):
            session.close()

    def _accept(self, listener: socket.socket) -> bool:
        """Accepts those that wait, up to the limit of a turn; False where there is no room for one."""
        eviction_order = self.eviction_order()
        for _ in range(_MAX_ACCEPTS_PER_TURN):
            accepted = listener.accept()[0]
            if not self._has_room(eviction_order):
                accepted.close()
                return False
            connection = ClientConnection(self, accepted, self._tasks)
            self.connections[connection.session] = None
            self._tasks.start_soon(self._serve, connection)
        return True

    def _has_room(self, eviction_order: Iterator[ClientSession]) -> bool:
        """Whether there is room for one more, after evicting in this order as far as needed."""
        while self.excess_connections() >= 0:
            session = next(eviction_order, None)
            if session is None:
                return False
            session.try_evict()
        return True

    async def _serve(self, connection: ClientConnection) -> None:
        with faults_contained("a client's connection", self.counters, self._log):
            await connection.run()

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(_SWEEP_INTERVAL_S)
            with faults_contained("the sweep of the connections", self.counters, self._log):
                self.close_idle()
