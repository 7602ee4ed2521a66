"""The interfaces of a client's session: what it calls, and what it tells its connection."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

from cresstray.clients import codec

if TYPE_CHECKING:
    from cresstray.clients.session import ClientSession


class RequestHandler(Protocol):
    """Handles the requests of all connections. A request is identified by its session and its id there."""

    def accept(
        self, session: ClientSession, request_id: int, query: codec.Query, *, received_us: int
    ) -> None:
        """Accepts a request, which was received at that time, or responds to it at once."""

    def cancel(self, session: ClientSession, request_id: int | None, name: str | None) -> None:
        """Cancels the request of this id, or else of this name."""

    def on_disconnected(self, session: ClientSession) -> None:
        """Ends all open requests of the session: their responses can no longer be sent."""


class Transport(Protocol):
    """The socket that a session writes to, as implemented by `transport.streams.SocketStream`."""

    unsent: bytearray  # written, and not yet accepted by the kernel

    def write(self, message: bytes) -> object:
        """Sends the message at once or later, in order."""

    def write_eof_when_drained(self) -> None:
        """Starts an orderly end.

        Once all is sent, the connection reads the available data and calls `can_shut_down`.
        """

    def close(self) -> None:
        """Closes at once."""

    def has_unread(self) -> bool:
        """Returns whether received data was not read yet."""

    def has_ended(self) -> bool:
        """Returns whether the client has closed its side, or the connection has broken."""


class NextAction(Enum):
    """What the connection does after it has passed in what it read."""

    READ = "read on"
    CLOSE = "close at once"
