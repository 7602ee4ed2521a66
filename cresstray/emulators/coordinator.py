"""A coordinator: numbered events of the list of engines, told to every gateway that follows."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from ipaddress import IPv4Address

import anyio
from anyio.abc import TaskGroup

from cresstray.emulators.sockets import Peer, listen, serve

ZONES = ("here", "there")
_STATES = {"in_service": 0, "terminating": 1, "terminated": 2}
_RECORD = struct.Struct(">IIHBBBHIQ")


@dataclass
class Listed:
    """One engine on the list; `started` in milliseconds of Unix time, 0: long ago."""

    id: int
    port: int
    state: str = "in_service"
    started: int = 0
    zone: int = 0
    host: str = "127.0.0.1"

    def record(self) -> bytes:
        return _RECORD.pack(
            self.id,
            int(IPv4Address(self.host)),
            self.port,
            _STATES[self.state],
            self.zone,
            0,
            0,
            1000,
            self.started,
        )


class Coordinator:
    def __init__(self, engines: list[Listed]) -> None:
        self._listener = listen()
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._events: list[bytes] = []
        self._following: dict[Peer, int] = {}
        members = [
            {
                "id": f"s-{one.id:08x}",
                "host_port": f"{one.host}:{one.port}",
                "locality": ZONES[one.zone],
                "flavor": "std",
                "cell": 0,
                "phase": one.state,
                "up_since_ms": one.started,
            }
            for one in engines
        ]
        self.known = {
            "index": 1,
            "updates": [{"index": 1, "endpoints": {"complete": True, "members": members}}],
        }
        self._events.append(self._frame(1, 1, engines))

    def _frame(self, number: int, kind: int, engines: list[Listed]) -> bytes:
        payload = b"".join(one.record() for one in engines)
        return struct.pack(">IQB", 9 + len(payload), number, kind) + payload

    def tell(self, *changed: Listed) -> None:
        self._events.append(self._frame(len(self._events) + 1, 2, list(changed)))
        for peer in self._following:
            self._catch_up(peer)

    def _catch_up(self, peer: Peer) -> None:
        for event in self._events[self._following[peer] :]:
            peer.line.write(event)
        self._following[peer] = len(self._events)

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve, self._listener, self._serve)
            while True:
                await anyio.sleep(1)
                for peer in self._following:
                    peer.line.write(struct.pack(">IQB", 9, len(self._events), 0))

    async def _serve(self, made: socket.socket, tasks: TaskGroup) -> None:
        peer, said = Peer(made, tasks), bytearray()

        def take(data: bytes) -> None:
            said.extend(data)
            if len(said) >= 8 and peer not in self._following:
                self._following[peer] = struct.unpack_from(">Q", said)[0]
                self._catch_up(peer)

        try:
            await peer.run(take)
        finally:
            self._following.pop(peer, None)
