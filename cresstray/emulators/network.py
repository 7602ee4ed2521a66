"""The network between two halls: carries links' bytes, and delays, throttles, cuts or silences."""

from __future__ import annotations

import socket
from collections import deque

import anyio
from anyio.abc import TaskGroup

from cresstray.emulators.sockets import Peer, listen, serve
from cresstray.transport.streams import connect


class Network:
    """One way into a hall, for all links to one gateway there."""

    def __init__(self, target: int) -> None:
        self._target = target
        self._listener = listen()
        self.port: int = self._listener.getsockname()[1]
        self.delay = 0.0  # seconds, each way
        self.rate: float | None = None  # bytes a second, each way
        self.down = False
        self.silent: set[str] = set()  # of "there" and "back": what does not come through
        self._pairs: set[tuple[Peer, Peer]] = set()
        self.connections = 0

    def cut(self) -> None:
        """Connections are reset, new ones refused."""
        self.down = True
        for pair in list(self._pairs):
            for peer in pair:
                peer.reset()

    def heal(self) -> None:
        self.down, self.delay, self.rate = False, 0.0, None
        self.silent.clear()

    async def run(self) -> None:
        await serve(self._listener, self._serve)

    async def _serve(self, made: socket.socket, tasks: TaskGroup) -> None:
        self.connections += 1
        if self.down:
            made.close()
            return
        try:
            onward = await connect("127.0.0.1", self._target)
        except OSError:
            made.close()
            return
        near, far = Peer(made, tasks), Peer(onward, tasks)
        pair = (near, far)
        self._pairs.add(pair)
        try:
            async with anyio.create_task_group() as both:
                both.start_soon(self._carry, near, far, "there", both)
                both.start_soon(self._carry, far, near, "back", both)
        finally:
            self._pairs.discard(pair)

    async def _carry(self, source: Peer, sink: Peer, way: str, both: TaskGroup) -> None:
        due: deque[tuple[float, bytes]] = deque()
        more = anyio.Event()

        def take(data: bytes) -> None:
            due.append((anyio.current_time() + self.delay, data))
            more.set()

        async def pass_on() -> None:
            nonlocal more
            while True:
                await more.wait()
                more = anyio.Event()
                while due:
                    at, data = due.popleft()
                    # Bytes keep their order, so a shorter delay takes effect behind a longer one.
                    await anyio.sleep(max(0.0, at - anyio.current_time()))
                    while way in self.silent:
                        # Open and silent: what does not come through comes later, if the connection lives on.
                        await anyio.sleep(0.02)
                    sink.line.write(data)
                    if self.rate:
                        await anyio.sleep(len(data) / self.rate)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pass_on)
            await source.run(take)
            tasks.cancel_scope.cancel()
        both.cancel_scope.cancel()
