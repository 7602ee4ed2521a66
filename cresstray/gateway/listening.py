"""The socket to which clients connect: bound at startup, opened once the gateway is ready."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

from cresstray.gateway.errors import AddressError

Address = tuple[str, int]

# Connections that may wait in the kernel's accept queue.
_BACKLOG = 1024


def bind_listener(address: Address) -> socket.socket:
    """Returns a socket bound to the address; connections to it are refused until it is opened.

    Raises:
        AddressError: the address cannot be bound.
    """
    listener = socket.socket()
    try:
        with _address_errors(address):
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
    except AddressError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


def open_listener(listener: socket.socket, address: Address) -> None:
    """Starts to listen; raises AddressError if another process already listens on the address."""
    with _address_errors(address):
        listener.listen(_BACKLOG)


@contextlib.contextmanager
def _address_errors(address: Address) -> Iterator[None]:
    """Raises errors of the socket as AddressError."""
    try:
        yield
    except (OSError, OverflowError) as error:
        host, port = address
        raise AddressError(f"{host}:{port} can't be listened on: {error}") from error
