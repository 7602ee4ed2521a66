"""Clients that load one gateway far beyond their share, each kind of them in one way.

`run_flood` opens many connections at once and keeps each busy with one script until the time is over. It is
meant to run in a process of its own, so that the flood is not slowed by whoever measures the gateway.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import random
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

_CHUNK_BYTES = 65536
# A line of this length is within the gateway's limit, so that it is kept while it is not complete.
_LARGE_REQUEST_BYTES = 240_000
_STATEMENT_BYTES = 48_000
_LEAVER_STATEMENT_BYTES = 12_000
_LEAVER_REQUESTS = 400
_BODY_BYTES = 60_000_000
_MAX_OPEN_REQUESTS = 32
_RECONNECT_PAUSE_S = 0.01
_SLOW_PIECE_BYTES = 512
_SLOW_PAUSE_S = 0.02
_LINES_PER_WRITE = 500

Address = tuple[str, int]


@dataclass
class FloodRecord:
    """What the flood has done, for the check of the engines' records against it.

    Attributes:
        left: when the client of each request has closed its connection, by the request's name.
        connections: how many connections were made.
    """

    left: dict[str, float] = field(default_factory=dict)
    connections: int = 0


class FloodConnection:
    """One connection of a flood; its script writes, and what arrives is discarded unless it is paused."""

    def __init__(self, connected: socket.socket, random_source: random.Random) -> None:
        self._socket = connected
        self._random = random_source
        self.received_lines = 0
        self.names: list[str] = []  # of all requests

    async def write(self, data: bytes) -> None:
        """Waits until the kernel has taken all of the data."""
        await asyncio.get_running_loop().sock_sendall(self._socket, data)

    async def discard_received(self) -> None:
        """Reads until the gateway has closed the connection."""
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(self._socket, _CHUNK_BYTES):
            self.received_lines += data.count(b"\n")

    def new_name(self) -> str:
        """Returns a request name that was not used before."""
        return f"{self._random.getrandbits(64):016x}"

    def request_line(self, number: int, size_bytes: int) -> bytes:
        """Returns a request whose statement has this size; engines answer it after 50 ms."""
        name = self.new_name()
        self.names.append(name)
        statement = b"run 50 1 1 " + b"x" * max(0, size_bytes - 11)
        params = {
            "req": name,
            "timeout": 3000,
            "owner": "acme",
            "data": base64.b64encode(statement).decode(),
        }
        message = {"jsonrpc": "2.0", "id": number, "method": "lookup", "params": params}
        return json.dumps(message).encode() + b"\n"


Script = Callable[[FloodConnection], Awaitable[None]]


async def _endless_line(connection: FloodConnection) -> None:
    chunk = b"x" * _CHUNK_BYTES
    while True:
        await connection.write(chunk)


async def _endless_statement(connection: FloodConnection) -> None:
    await connection.write(connection.request_line(1, 100)[:-40])
    await _endless_line(connection)


async def _endless_short_strings(connection: FloodConnection) -> None:
    chunk = b'"a":1,' * (_CHUNK_BYTES // 6)
    await connection.write(b'{"jsonrpc":"2.0","id":1,"method":"lookup","params":{')
    while True:
        await connection.write(chunk)


async def _half_request(connection: FloodConnection) -> None:
    await connection.write(connection.request_line(1, _LARGE_REQUEST_BYTES * 3 // 4)[:-100_000])
    await asyncio.Event().wait()


async def _slow_request(connection: FloodConnection) -> None:
    line = connection.request_line(1, _LARGE_REQUEST_BYTES * 3 // 4)
    await connection.write(line[:-50_000])
    for start in range(len(line) - 50_000, len(line), _SLOW_PIECE_BYTES):
        await connection.write(line[start : start + _SLOW_PIECE_BYTES])
        await asyncio.sleep(_SLOW_PAUSE_S)


async def _short_fields(connection: FloodConnection) -> None:
    head = b'{"jsonrpc":"2.0","id":1,"method":"lookup","params":{'
    fields = b'"a":1,' * (_LARGE_REQUEST_BYTES // 6)
    await connection.write(head + fields)
    await asyncio.sleep(0.05)
    await connection.write(b'"b":2}}\n')
    await asyncio.sleep(0.05)


async def _open_requests(connection: FloodConnection) -> None:
    for number in range(1, _MAX_OPEN_REQUESTS + 1):
        await connection.write(connection.request_line(number, _STATEMENT_BYTES))
    while connection.received_lines < _MAX_OPEN_REQUESTS:
        await asyncio.sleep(0.02)


async def _status_lines(connection: FloodConnection) -> None:
    line = b'{"jsonrpc":"2.0","id":1,"method":"status"}\n' * _LINES_PER_WRITE
    while True:
        await connection.write(line)


async def _unread_results(connection: FloodConnection) -> None:
    number = 0
    while True:
        number += 1
        await connection.write(connection.request_line(number, 100))


async def _leavers(connection: FloodConnection) -> None:
    for number in range(1, _LEAVER_REQUESTS + 1):
        await connection.write(connection.request_line(number, _LEAVER_STATEMENT_BYTES))


async def _malformed(connection: FloodConnection) -> None:
    lines = b'{"jsonrpc":"2.0","id":0}\n' * _LINES_PER_WRITE
    while True:
        await connection.write(lines)


async def _new_names(connection: FloodConnection) -> None:
    number = 0
    while True:
        lines = [connection.request_line(number + place + 1, 20) for place in range(50)]
        number += len(lines)
        await connection.write(b"".join(lines))


async def _cancellations(connection: FloodConnection) -> None:
    while True:
        names = [connection.new_name() for _ in range(_LINES_PER_WRITE)]
        await connection.write(
            b"".join(
                b'{"jsonrpc":"2.0","method":"withdraw","params":{"req":"%s"}}\n' % name.encode()
                for name in names
            )
        )


async def _deep_nesting(connection: FloodConnection) -> None:
    line = b'{"jsonrpc":"2.0","id":1,"method":"lookup","params":' + b"[" * 200_000 + b"\n"
    while True:
        await connection.write(line)


async def _large_bodies(connection: FloodConnection) -> None:
    await connection.write(connection.request_line(1, 100)[:-40])
    for _sent in range(0, _BODY_BYTES, _CHUNK_BYTES):
        await connection.write(b"x" * _CHUNK_BYTES)
    await connection.write(b'"}}\n')
    await asyncio.sleep(1)


async def _silent(_connection: FloodConnection) -> None:
    await asyncio.Event().wait()


@dataclass(frozen=True)
class FloodKind:
    """One kind of flood.

    `reads`: whether its clients read what they are sent. `is_single`: one client does it alone.
    """

    script: Script
    reads: bool = True
    is_single: bool = False


FLOODS: dict[str, FloodKind] = {
    "endless-line": FloodKind(_endless_line),
    "endless-statement": FloodKind(_endless_statement),
    "endless-short-strings": FloodKind(_endless_short_strings),
    "half-request": FloodKind(_half_request),
    "slow-request": FloodKind(_slow_request),
    "short-fields": FloodKind(_short_fields),
    "open-requests": FloodKind(_open_requests),
    "unread-status": FloodKind(_status_lines, reads=False),
    "unread-results": FloodKind(_unread_results, reads=False),
    "leavers": FloodKind(_leavers),
    "large-bodies": FloodKind(_large_bodies),
    "deep-nesting": FloodKind(_deep_nesting),
    "silent": FloodKind(_silent),
    "one-malformed": FloodKind(_malformed, is_single=True),
    "one-status": FloodKind(_status_lines, is_single=True),
    "one-new-names": FloodKind(_new_names, is_single=True),
    "one-cancellations": FloodKind(_cancellations, is_single=True),
}


async def _keep_busy(
    address: Address, kind: FloodKind, ends_s: float, random_source: random.Random, record: FloodRecord
) -> None:
    loop = asyncio.get_running_loop()
    while time.monotonic() < ends_s:
        with contextlib.suppress(OSError, TimeoutError), socket.socket() as connected:
            connected.setblocking(False)
            await loop.sock_connect(connected, address)
            record.connections += 1
            connection = FloodConnection(connected, random_source)
            await _play(connection, kind, ends_s)
            record.left.update(dict.fromkeys(connection.names, time.monotonic()))
        await asyncio.sleep(_RECONNECT_PAUSE_S)


async def _play(connection: FloodConnection, kind: FloodKind, ends_s: float) -> None:
    """Runs the script until it ends, the gateway closes the connection, or the time is over."""
    tasks = [asyncio.ensure_future(kind.script(connection))]
    if kind.reads:
        tasks.append(asyncio.ensure_future(connection.discard_received()))
    try:
        await asyncio.wait(
            tasks, timeout=max(0.0, ends_s - time.monotonic()), return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def run_flood(
    address: Address, kind: FloodKind, connections: int, seconds: float, seed: int
) -> FloodRecord:
    """Floods the gateway at the address for some seconds, and returns what was done."""
    record = FloodRecord()
    ends_s = time.monotonic() + seconds
    count = 1 if kind.is_single else connections
    sources = [random.Random(seed * 100_003 + number) for number in range(count)]
    await asyncio.gather(*(_keep_busy(address, kind, ends_s, source, record) for source in sources))
    return record
