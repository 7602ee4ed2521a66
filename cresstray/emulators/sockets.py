"""What the stand-ins share: a listener on loopback whose connections write without waiting."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from cresstray.transport.streams import CONNECTION_ENDED, SocketStream

_BACKLOG = 1024


def listen(port: int = 0) -> socket.socket:
    """Returns a listener on loopback; port 0 takes any that is free."""
    listener = socket.create_server(("127.0.0.1", port), backlog=_BACKLOG)
    listener.setblocking(False)
    return listener


def hold_port(port: int) -> socket.socket:
    """Returns a socket that refuses connections to a port, and keeps other processes from taking it."""
    holder = socket.socket()
    holder.setblocking(False)
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(("127.0.0.1", port))
    return holder


def listen_again(holder: socket.socket) -> None:
    """Listens on the port of `hold_port`."""
    holder.listen(_BACKLOG)


class Peer:
    """One connection: `line` to write to, `scope` to end it."""

    def __init__(self, made: socket.socket, tasks: TaskGroup) -> None:
        self.scope = anyio.CancelScope()
        self.line = SocketStream(made, tasks, self.scope.cancel)

    def reset(self) -> None:
        """Ends it as a process that dies does."""
        self.line.reset_on_close()
        self.scope.cancel()

    async def run(self, take: Callable[[bytes], None]) -> None:
        try:
            with self.scope, self.line:
                while True:
                    take(await self.line.receive())
        except CONNECTION_ENDED:
            return


async def serve(
    listener: socket.socket, handle: Callable[[socket.socket, TaskGroup], Awaitable[None]]
) -> None:
    """Accepts until it is cancelled, or the listener is closed."""
    with listener:
        async with anyio.create_task_group() as tasks:
            while listener.fileno() >= 0:
                try:
                    await anyio.wait_readable(listener)
                    while True:
                        tasks.start_soon(handle, listener.accept()[0], tasks)
                except BlockingIOError:
                    continue
                except (OSError, ValueError, anyio.ClosedResourceError):
                    break
