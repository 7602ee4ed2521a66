"""Clients' sockets: accepted, read, shut, closed. What is read and when to end is talk.py's."""

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
from cresstray.transport.streams import contained

_SWEEP = 0.2
# Some ten milliseconds of accepting: what a busy loop takes for a turn anyway.
_MOST_A_TURN = 64
# Danger: a listener that is closed resets who waits in its queue: all are accepted first, and these are more.
_LONGEST_QUEUE = 4096


class Listener(ConnectionRegistry):
    """Where clients connect."""

    def __init__(
        self,
        request_classes: frozenset[str],
        front: RequestHandler,
        most: Callable[[], int],
        many: int,
        now: Callable[[], int],
        counters: Counters,
        log: Log,
    ) -> None:
        super().__init__(request_classes, front, most, many, now, counters, log.log)
        self._log = log
        self._listener: socket.socket | None = None
        self._tasks: TaskGroup

    async def run(self, listener: socket.socket) -> None:
        """Accepts until it is told to stop; what it accepted lives on until it is cancelled."""
        self._listener = listener
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self._sweep)
            while not self.is_closing:
                try:
                    await anyio.wait_readable(listener)
                    if not self._accept(listener):
                        # Who waits is turned to again once others have been answered.
                        self.log("listener", "no room for a client, all others have requests open")
                        await anyio.sleep(0.02)
                except BlockingIOError:
                    continue
                except anyio.ClosedResourceError:
                    return
                except OSError as trouble:
                    # Danger: out of descriptors for a moment must not end the service.
                    self.log("listener", f"can't accept: {trouble!r}")
                    await anyio.sleep(0.02)

    def stop_listening(self) -> None:
        """Takes in who waits and no more. What is asked from here on, by whomever, is denied at once."""
        self.is_closing = True
        listener = self._listener
        if listener is None:
            return
        try:
            for _ in range(_LONGEST_QUEUE // _MOST_A_TURN):
                self._accept(listener)
        except OSError:
            pass  # none waits any more, or there is no descriptor
        anyio.notify_closing(listener)
        listener.close()

    def close(self) -> None:
        """Ends all connections in order."""
        for connection in list(self.connections):
            connection.close()

    def _accept(self, listener: socket.socket) -> bool:
        """Takes in who waits; False where there is no room."""
        first_to_go = self.eviction_order()
        # Danger: a client's time runs, accepted or not. One connection a turn of a busy loop leaves the last
        # of a crowd waiting for 0.3 s; all the crowd at once keeps the others waiting.
        for _ in range(_MOST_A_TURN):
            accepted = listener.accept()[0]
            if not self._has_room(first_to_go):
                accepted.close()
                return False
            connection = ClientConnection(self, accepted, self._tasks)
            self.connections[connection.session] = None
            self._tasks.start_soon(self._serve, connection)
        return True

    def _has_room(self, first_to_go: Iterator[ClientSession]) -> bool:
        """For one more, whoever has to make way for it."""
        while self.excess_connections() >= 0:
            one = next(first_to_go, None)
            if one is None:
                return False
            one.try_evict()
        return True

    async def _serve(self, connection: ClientConnection) -> None:
        with contained("a client's connection", self.counters, self._log):
            await connection.run()

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(_SWEEP)
            with contained("the sweep of the connections", self.counters, self._log):
                self.close_idle()
