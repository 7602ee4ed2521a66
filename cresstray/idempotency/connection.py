"""One connection to the store's primary after the handshake: commands in flight, and remaining capacity.

This module opens no sockets; the client passes in the stream and its channel.
"""

from __future__ import annotations

from collections.abc import Sequence, Sized
from typing import TYPE_CHECKING, Protocol

from cresstray.idempotency.in_flight import CommandBatch, CommandPipeline

if TYPE_CHECKING:
    import anyio

# Batches in flight on one connection; with round trips of 1 ms this allows 256,000 batches a second.
_MAX_BATCHES = 256
# Bytes not yet accepted by the kernel; a connection with more takes no new batches until they are written.
_MAX_UNSENT_BYTES = 256 * 1024


class Stream(Protocol):
    """The stream of the socket, below the channel."""

    @property
    def unsent(self) -> Sized:
        """Bytes not yet accepted by the kernel."""

    def has_ended(self) -> bool:
        """Returns whether the other side has closed it."""


class Channel(Protocol):
    """Writes messages and receives bytes, with or without TLS."""

    def write(self, message: bytes) -> object:
        """Writes a message; returns False if none of it was sent."""

    async def receive(self) -> bytes:
        """Returns the next received bytes."""


class StoreConnection:
    """One connection to the store.

    Attributes:
        address_index: Index of the store's address that it is connected to.
        stream: The stream of the socket.
        channel: The channel for messages, with or without TLS.
        opened_us: When the handshake was finished.
        pipeline: The commands in flight.
        is_open: Whether it takes batches.
        is_counted: Whether PrimaryTracker counts it as a connection to the primary.
        close_reason: The first reason for which it was closed; empty if none was given.
    """

    def __init__(
        self, address_index: int, stream: Stream, channel: Channel, scope: anyio.CancelScope, now_us: int
    ) -> None:
        self.address_index = address_index
        self.stream = stream
        self.channel = channel
        self._scope = scope
        self.opened_us = now_us
        self.pipeline = CommandPipeline(_MAX_BATCHES)
        self.is_open = True
        self.is_counted = True
        self.close_reason = ""

    def has_capacity(self) -> bool:
        """Returns whether it can take another batch now."""
        return self.is_open and self.pipeline.has_capacity() and len(self.stream.unsent) < _MAX_UNSENT_BYTES

    def write(self, message: bytes, new_batches: Sequence[CommandBatch] = ()) -> None:
        """Writes commands in one message, and marks new batches that may have been sent.

        The channel sends nothing of a message only if the connection is ending.

        `new_batches` are the batches whose first bytes are in this message.
        """
        # Commands written to a connection that the store has closed are lost, and cannot be distinguished
        # from commands that ran.
        has_only_new = len(self.pipeline) == len(new_batches)
        if has_only_new and self.stream.has_ended():
            self.close("closed by the store")
            return
        try:
            may_have_been_sent = self.channel.write(message) is not False
        except OSError:  # from TLS: a part of the message may have been sent
            may_have_been_sent = True
            self.close("broken")
        for batch in new_batches:
            batch.may_have_been_sent = may_have_been_sent

    def was_closed(self) -> bool:
        """Returns whether `close` was called; False if the connection ends because the client stops."""
        return self._scope.cancel_called

    def close(self, reason: str) -> None:
        """Closes the connection; only the first reason is kept."""
        self.is_open = False
        self.close_reason = self.close_reason or reason
        self._scope.cancel()
