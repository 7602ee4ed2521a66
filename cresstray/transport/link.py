"""One link between processes of a fleet, after both sides have greeted: writes and reads frames."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import anyio

from cresstray.fleet_config.codec import Greeting
from cresstray.transport.framing import Frame, FrameDecoder, FramingError, encode_frame
from cresstray.transport.streams import CONNECTION_ENDED, SocketStream

# Bound of the data that is buffered for a peer that does not read.
_MAX_UNSENT_BYTES = 8 * 1024 * 1024


class PositionExchange(Protocol):
    """The exchange of replica positions on one link; created with the link, and dropped with it."""

    def next_message(self, now_us: int) -> bytes:
        """Returns the body of the next message to the peer."""

    def on_message(self, body: bytes, now_us: int) -> None:
        """Handles the body of a message of the peer.

        Raises:
            FramingError: the message does not follow the protocol.
        """


class Channel(Protocol):
    """The byte stream below a link: a SocketStream, or TLS over one."""

    def write(self, message: bytes) -> object:
        """Sends all of the message now or later."""

    async def receive(self) -> bytes:
        """Waits for data and returns it; raises one of CONNECTION_ENDED."""


class Link:
    """One link. All frames that are written in one turn of the event loop are sent together.

    Attributes:
        greeting: the greeting of the peer.
        peer: set and used by the owner of the link to identify the peer.
        close_reason: why the link has ended; empty while it is open.
        sent_bytes: size of the frames that were handed to the channel.
        received_bytes: size of the data that was received after the greeting.
    """

    def __init__(
        self,
        stream: SocketStream,
        channel: Channel,
        scope: anyio.CancelScope,
        decoder: FrameDecoder,
        greeting: Greeting,
        early_frames: list[Frame],
        max_unsent_bytes: int = _MAX_UNSENT_BYTES,
    ) -> None:
        self._stream = stream
        self._channel = channel
        self._scope = scope
        self._decoder = decoder
        self.greeting = greeting
        self._early_frames = early_frames  # received together with the greeting
        self._max_unsent_bytes = max_unsent_bytes
        self._outgoing = bytearray()
        self.peer: Any = None
        self.close_reason = ""
        self.sent_bytes = 0
        self.received_bytes = 0

    def put(self, frame: Frame) -> None:
        """Sends one frame; does nothing if the link has ended."""
        self.write(encode_frame(frame))

    def write(self, message: bytes) -> None:
        """Sends encoded frames; does nothing if the link has ended."""
        if self.close_reason:
            return
        if not self._outgoing:
            asyncio.get_running_loop().call_soon(self._flush)
        self._outgoing += message
        if self.unsent_bytes > self._max_unsent_bytes:
            self.end(f"{self.unsent_bytes} bytes not read")

    @property
    def unsent_bytes(self) -> int:
        """Size of the data that the kernel has not accepted yet."""
        return len(self._outgoing) + len(self._stream.unsent)

    def _flush(self) -> None:
        if self._outgoing and self._stream.is_open() and not self.close_reason:
            self.sent_bytes += len(self._outgoing)
            try:
                self._channel.write(bytes(self._outgoing))
            except OSError as error:
                self.end(repr(error))
        self._outgoing.clear()

    def end(self, reason: str) -> None:
        """Ends the link; of several reasons the first one is kept."""
        self.close_reason = self.close_reason or reason
        self._scope.cancel()

    async def serve(self, on_frame: Callable[[Frame], None]) -> str:
        """Reads until the connection ends or `on_frame` raises FramingError; returns why it ended."""
        try:
            early_frames = self._early_frames
            self._early_frames = []
            for frame in early_frames:
                on_frame(frame)
            while not self.close_reason:
                data = await self._channel.receive()
                self.received_bytes += len(data)
                for frame in self._decoder.feed(data):
                    if self.close_reason:
                        break
                    on_frame(frame)
        except FramingError as error:
            self.close_reason = self.close_reason or f"dropped: {error}"
        except CONNECTION_ENDED as error:
            self.close_reason = self.close_reason or repr(error)
        return self.close_reason
