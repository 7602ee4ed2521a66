"""One greeted connection to the store's primary: what is in flight on it, and whether it takes more.

No sockets here; the client hands over the stream and its channel.
"""

from __future__ import annotations

from collections.abc import Sequence, Sized
from typing import TYPE_CHECKING, Protocol

from cresstray.idempotency.in_flight import CommandBatch, CommandPipeline

if TYPE_CHECKING:
    import anyio

# Batches in flight: a store that takes 1 ms for a round trip serves 256,000 a second with so many.
_MAX_BATCHES = 256
# Bytes that the kernel did not accept yet; a connection with more gets nothing until they have left.
_MAX_UNSENT_BYTES = 256 * 1024


class Stream(Protocol):
    """The socket's stream below the channel."""

    @property
    def unsent(self) -> Sized:
        """Bytes that the kernel did not accept yet."""

    def has_ended(self) -> bool:
        """Returns whether the other side has closed it."""


class Channel(Protocol):
    """Where messages are written and bytes received, with TLS or without."""

    def write(self, message: bytes) -> object:
        """Returns False where none of the message has left."""

    async def receive(self) -> bytes:
        """Returns the next bytes."""


class StoreConnection:
    """One connection.

    Attributes:
        address_index: Which of the store's addresses it leads to.
        stream: The socket's stream.
        channel: What is read and written.
        opened_us: When it was greeted.
        pipeline: What is in flight.
        is_open: Whether it takes batches.
        is_counted: Whether the primary's tracker counts it.
        close_reason: Why it was closed; the first reason.
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
        """Returns whether a batch may be started on it now."""
        return self.is_open and self.pipeline.has_capacity() and len(self.stream.unsent) < _MAX_UNSENT_BYTES

    def write(self, message: bytes, new_batches: Sequence[CommandBatch] = ()) -> None:
        """Writes what was started, in one piece. Where none of it has left, the connection ends.

        `new_batches` are those of which this message has the first bytes.
        """
        # What is written to a connection that the store has closed is lost, and may not be told from what
        # has run.
        has_only_new = len(self.pipeline) == len(new_batches)
        if has_only_new and self.stream.has_ended():
            self.close("closed by the store")
            return
        try:
            may_have_been_sent = self.channel.write(message) is not False
        except OSError:  # of TLS: some of it may have left
            may_have_been_sent = True
            self.close("broken")
        for batch in new_batches:
            batch.may_have_been_sent = may_have_been_sent

    def was_closed(self) -> bool:
        """Returns whether this connection was closed; False where the whole client ends."""
        return self._scope.cancel_called

    def close(self, reason: str) -> None:
        """Ends it; only the first reason is logged."""
        self.is_open = False
        self.close_reason = self.close_reason or reason
        self._scope.cancel()
