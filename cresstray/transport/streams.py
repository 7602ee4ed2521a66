"""Connections: reading, writing without waiting, and the bounds of a fault."""

from __future__ import annotations

import os
import socket
import struct
import traceback
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import anyio
from anyio.abc import TaskGroup

from cresstray.observability.counters import Counters
from cresstray.observability.log import Log

# What the kernel says of a connection whose other side has closed its own: the first byte of TCP_INFO.
_CLOSE_WAIT = b"\x08"
# What ends a connection: closed, cut, or reset.
CONNECTION_ENDED = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


# Danger: 64 kB taken for each reading and cut down to what came leave a hole behind it on every connection
# (256 links: 20 MB). All read into this one, and keep what came.
_ROOM = memoryview(bytearray(65536))


@contextmanager
def faults_contained(what: str, counters: Counters, log: Log) -> Iterator[None]:
    """Danger: a fault of ours on one connection must end that one only. Counted, and told whole."""
    try:
        yield
    except Exception as trouble:
        log_fault(what, trouble, counters, log)


def log_fault(what: str, trouble: Exception, counters: Counters, log: Log) -> None:
    """A fault of ours: counted, and told whole."""
    counters.add("faults")
    log.log("fault", f"{what}: {''.join(traceback.format_exception(trouble))}")


async def connect(host: str, port: int) -> socket.socket:
    """A connection, or OSError; how long to wait for it is the caller's matter."""
    made = socket.socket()
    try:
        made.setblocking(False)
        try:
            made.connect((host, port))
        except BlockingIOError:
            await anyio.wait_writable(made)
        trouble = made.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if trouble:
            raise OSError(trouble, os.strerror(trouble))
    except BaseException:
        made.close()
        raise
    return made


class SocketStream:
    """One connection. What is put goes to the kernel at once; what that does not take waits, in order.

    Only then does a task of `tasks` write it. `ended` is called when the connection breaks, or is done for.
    """

    def __init__(self, made: socket.socket, tasks: TaskGroup, ended: Callable[[], None]) -> None:
        made.setblocking(False)
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket, self._tasks, self._ended = made, tasks, ended
        self.unsent = bytearray()
        self.is_broken = False  # found so while it was written to
        self._pumps = self._finishing = False

    def write(self, message: bytes) -> bool:
        """False where the connection is broken and nothing of the message has left."""
        # Danger: written by a task of its own, a QUIT could follow the ASK that it must go before.
        sent = 0
        if not self.unsent:
            try:
                sent = self._socket.send(message)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._break()
                return False
        if sent < len(message):
            self.unsent += message[sent:]
            if not self._pumps:
                self._pumps = True
                self._tasks.start_soon(self._pump)
        return True

    def write_eof_when_drained(self) -> None:
        """`ended` is called once what waits has been written."""
        self._finishing = True
        if not self.unsent:
            self._finished()

    async def _pump(self) -> None:
        try:
            while self.unsent:
                await anyio.wait_writable(self._socket)
                with suppress(BlockingIOError):
                    del self.unsent[: self._socket.send(self.unsent)]
        except (*CONNECTION_ENDED, ValueError):  # the latter: closed before the wait
            self._break()
        self._pumps = False
        if self._finishing:
            self._finished()

    def _break(self) -> None:
        self.is_broken = True
        self._ended()

    def _finished(self) -> None:
        self._finishing = False
        self._ended()

    def shutdown_write(self) -> None:
        """Nothing more is written, and the other side hears of it; what it sends can still be received."""
        self._socket.shutdown(socket.SHUT_WR)

    def is_open(self) -> bool:
        """Whether it has not been closed here."""
        return self._socket.fileno() >= 0

    def close(self) -> None:
        """Gives the descriptor back at once; whoever waits for it hears that it is closed."""
        if self._socket.fileno() >= 0:
            anyio.notify_closing(self._socket)
            self._socket.close()

    def end_by_reset(self) -> None:
        """Once it is closed, the other side sees what the end of a process looks like."""
        if self._socket.fileno() >= 0:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    async def receive(self, within: float | None = None) -> bytes:
        """What has come, or TimeoutError if nothing does within so many seconds."""
        if self._socket.fileno() < 0:
            raise anyio.ClosedResourceError
        if within is None:
            await anyio.wait_readable(self._socket)
        else:
            with anyio.move_on_after(within):
                await anyio.wait_readable(self._socket)
        try:
            # Danger: on a late loop the time may be over while it is there.
            size = self._socket.recv_into(_ROOM)
        except BlockingIOError:
            raise TimeoutError from None
        if not size:
            raise anyio.EndOfStream
        return bytes(_ROOM[:size])

    def receive_available(self) -> bytes | None:
        """What has come, without waiting: None if nothing has, b"" once the other side has ended."""
        try:
            return bytes(_ROOM[: self._socket.recv_into(_ROOM)])
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def has_unread(self) -> bool:
        """Whether something has come that was not received yet; an end is nothing."""
        return bool(self._peek())

    def has_ended(self) -> bool:
        """Whether the other side has closed its own, or the connection broke."""
        there = self._peek()
        # Danger: behind megabytes that were not read yet an end would be heard of seconds late.
        return there == b"" or bool(there) and self._has_been_closed()

    def _has_been_closed(self) -> bool:
        try:
            return self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1) == _CLOSE_WAIT
        except OSError:
            return False  # a system that does not tell

    def _peek(self) -> bytes | None:
        try:
            return self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def __enter__(self) -> SocketStream:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
