"""Queue of command batches for the store, and the connections that take them.

This module opens no sockets. Nothing is retried automatically, except a script that the store does not know.
Each batch has a deadline; its callback is called exactly once, by the deadline.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING

from cresstray.clock import Clock, Timers
from cresstray.idempotency import codec
from cresstray.idempotency.codec import Command, ErrorKind, ErrorReply, Reply
from cresstray.idempotency.connection import StoreConnection
from cresstray.idempotency.in_flight import CommandBatch, OnDone, PrimaryTracker, Replies
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.transport.streams import faults_contained

if TYPE_CHECKING:
    RunSoon = Callable[..., object]

# While the store is unavailable, every batch is queued until its deadline.
_MAX_WAITING_BATCHES = 1024
_MAX_PENDING_BYTES = 2 * 1024 * 1024  # of all batches whose callers still wait
# No batch has a later deadline, so nobody waits any more for the commands in flight on a connection that was
# silent for this long; it is closed.
_MAX_SILENCE_US = 3_000_000


class ConnectionPool:
    """The client's connections, all to one primary, and the batches queued for them."""

    def __init__(
        self,
        tracker: PrimaryTracker,
        clock: Clock,
        timers: Timers,
        counters: Counters,
        log: Log,
        run_soon: RunSoon,
    ) -> None:
        """Creates a pool without connections.

        `run_soon` calls a function with its arguments in the next iteration of the event loop.
        """
        self._tracker = tracker
        self._clock = clock
        self._timers = timers
        self._counters = counters
        self._log = log
        self._run_soon = run_soon
        self.connections: list[StoreConnection] = []
        self._waiting: deque[CommandBatch] = deque()
        self.pending_bytes = 0
        self._is_flush_scheduled = False
        self._is_closed = False

    def is_connected(self) -> bool:
        """Returns whether there is an open connection to the primary."""
        return any(connection.is_open for connection in self.connections)

    def submit(self, commands: Sequence[Command], deadline_us: int, on_done: OnDone) -> CommandBatch:
        """Submits commands; see StoreClient.submit."""
        batch = CommandBatch(commands, deadline_us, on_done)
        self._counters.add("store: batches")
        is_full = (
            len(self._waiting) >= _MAX_WAITING_BATCHES
            or self.pending_bytes + batch.size_bytes > _MAX_PENDING_BYTES
        )
        self.pending_bytes += batch.size_bytes
        if is_full or self._is_closed:
            self._counters.add("store: rejected, queue full" if is_full else "store: rejected at shutdown")
            self._run_soon(self._finish, batch, None)
            return batch
        batch.timeout = self._timers.call_after(
            deadline_us - self._clock.now(), partial(self._on_deadline, batch)
        )
        self._waiting.append(batch)
        self._flush_soon()
        return batch

    def check_connections(self, now_us: int) -> None:
        """Closes silent connections, and asks the other ones for the role of their server.

        A primary may have become a replica.
        """
        for connection in list(self.connections):
            silence_us = now_us - connection.pipeline.last_progress_us
            if len(connection.pipeline) and silence_us > _MAX_SILENCE_US:
                self._counters.add("store: connections silent")
                connection.close("no replies to commands in flight")
            elif connection.has_capacity():
                self._check_role(connection, now_us)

    def _check_role(self, connection: StoreConnection, now_us: int) -> None:
        batch = CommandBatch([codec.get_role()], now_us + _MAX_SILENCE_US, partial(self._on_role, connection))
        self.pending_bytes += batch.size_bytes
        connection.write(connection.pipeline.start(batch, now_us), [batch])

    def _on_role(self, connection: StoreConnection, replies: Replies | None) -> None:
        if replies and type(replies[0]) is not ErrorReply and not codec.is_primary(replies[0]):
            self._on_demoted(connection, "the server has become a replica")

    def close(self) -> None:
        """Accepts no more batches; the callers of all queued ones get None."""
        self._is_closed = True
        while self._waiting:
            self._finish(self._waiting.popleft(), None)

    def _flush_soon(self) -> None:
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._run_soon(self._flush)

    def _flush(self) -> None:
        """Sends the batches of one iteration of the event loop, in one message for each connection."""
        self._is_flush_scheduled = False
        now_us = self._clock.now()
        started: dict[StoreConnection, list[CommandBatch]] = {}
        messages: dict[StoreConnection, bytearray] = {}
        while self._waiting:
            connection = self._least_loaded_connection()
            if connection is None:
                break
            batch = self._waiting.popleft()
            if batch.deadline_us > now_us:  # otherwise its timer is due
                message = connection.pipeline.start(batch, now_us)
                messages.setdefault(connection, bytearray()).extend(message)
                started.setdefault(connection, []).append(batch)
        for connection, batches in started.items():
            connection.write(bytes(messages[connection]), batches)

    def _least_loaded_connection(self) -> StoreConnection | None:
        available = filter(StoreConnection.has_capacity, self.connections)
        return min(available, key=lambda connection: len(connection.pipeline), default=None)

    def _on_deadline(self, batch: CommandBatch, _now_us: int) -> None:
        was_sent = batch.may_have_been_sent
        self._counters.add("store: no reply in time" if was_sent else "store: not sent in time")
        if not was_sent and batch in self._waiting:
            self._waiting.remove(batch)
        self._finish(batch, None)

    def _finish(self, batch: CommandBatch, replies: Replies | None) -> None:
        on_done = batch.on_done
        if on_done is None:
            return
        if batch.timeout is not None:
            batch.timeout.cancel()
        self.pending_bytes -= batch.size_bytes
        batch.release()
        with faults_contained("a reply of the store", self._counters, self._log):
            on_done(replies)

    def add(self, connection: StoreConnection) -> None:
        """Adds a connection after its handshake."""
        self._counters.add("store: connections made")
        self.connections.append(connection)
        self._flush_soon()

    def on_replies(self, connection: StoreConnection, replies: Replies) -> None:
        """Passes replies to the callers of their batches.

        Raises:
            ProtocolError: The replies do not fit the commands; the connection must be closed.
        """
        now_us = self._clock.now()
        for reply in replies:
            self._on_reply(connection, reply, now_us)
        if self._waiting:
            self._flush_soon()

    def _on_reply(self, connection: StoreConnection, reply: Reply, now_us: int) -> None:
        batch, message = connection.pipeline.on_reply(reply, now_us)
        if message:
            self._counters.add("store: scripts sent whole")
            connection.write(message)
        if type(reply) is ErrorReply:
            self._counters.add(f"store: {reply.kind.value}")
            if reply.kind in (ErrorKind.READONLY, ErrorKind.LOADING):
                self._on_demoted(connection, reply.text)
        if batch is None:
            return
        # A process that was suspended reads the received replies before its overdue timers run.
        if now_us > batch.deadline_us:
            self._on_deadline(batch, now_us)
        else:
            self._finish(batch, batch.replies)

    def _on_demoted(self, connection: StoreConnection, reason: str) -> None:
        """Closes all connections: the server reports that it is no longer a primary."""
        if connection.is_counted and self._tracker.on_demoted(connection.address_index):
            self._counters.add("store: primaries lost")
            for open_connection in self.connections:
                open_connection.is_counted = False
                open_connection.close(reason)

    def remove(self, connection: StoreConnection) -> None:
        """Removes a connection that has ended.

        `return_unsent` then ends the batches that may have been sent, and queues the others again.
        """
        connection.is_open = False
        self.connections.remove(connection)
        if connection.is_counted:
            self._tracker.on_connection_closed(connection.address_index)
        self._counters.add("store: connections ended")

    def return_unsent(self, connection: StoreConnection) -> None:
        """Ends batches that may have been sent, and puts the others first in the queue.

        Called after `remove`.
        """
        batches = connection.pipeline.close()
        for batch in batches:
            is_role_check = batch.timeout is None  # a role check belongs to its connection
            if batch.may_have_been_sent or is_role_check:
                self._finish(batch, None)
        self._waiting.extendleft(batch for batch in reversed(batches) if batch.on_done is not None)
        if self._waiting:
            self._flush_soon()
