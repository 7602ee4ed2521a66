"""What the stand-ins share: a listener on loopback whose connections write without waiting."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from cresstray.transport.streams import CONNECTION_ENDED, SocketStream


def listen(port: int = 0) -> socket.socket:
    listener = socket.create_server(("127.0.0.1", port), backlog=1024)
    listener.setblocking(False)
    return listener


class Peer:
    """One connection: `line` to write to, `scope` to end it."""

    def __init__(self, made: socket.socket, tasks: TaskGroup) -> None:
        self.scope = anyio.CancelScope()
        self.line = SocketStream(made, tasks, self.scope.cancel)

    def reset(self) -> None:
        """Ends it as a process that dies does."""
        self.line.end_by_reset()
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
