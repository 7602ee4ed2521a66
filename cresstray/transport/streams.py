"""Stream connections: reading, writing without waiting, and containment of faults."""

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

# The state of a connection whose peer has closed its side: the first byte of TCP_INFO.
_CLOSE_WAIT = b"\x08"
# What reading and writing raise once a connection is closed, cut or reset.
CONNECTION_ENDED = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


# All connections read into this buffer and keep a copy of what came: one of 64 kB for each read, cut down to
# what came, would leave a hole in the memory on every connection (256 of them: 20 MB).
_READ_BUFFER = memoryview(bytearray(65536))


@contextmanager
def faults_contained(what: str, counters: Counters, log: Log) -> Iterator[None]:
    """Contains failures of the program itself to one connection: they are counted and logged, not raised."""
    try:
        yield
    except Exception as error:
        log_fault(what, error, counters, log)


def log_fault(what: str, error: Exception, counters: Counters, log: Log) -> None:
    """Counts a failure of the program itself and logs it with its traceback; `what` says where it was."""
    counters.add("faults")
    log.log("fault", f"{what}: {''.join(traceback.format_exception(error))}")


async def connect(host: str, port: int) -> socket.socket:
    """Connects, without a timeout of its own.

    Raises:
        OSError: no connection could be made.
    """
    connected = socket.socket()
    try:
        connected.setblocking(False)
        try:
            connected.connect((host, port))
        except BlockingIOError:
            await anyio.wait_writable(connected)
        error_number = connected.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            raise OSError(error_number, os.strerror(error_number))
    except BaseException:
        connected.close()
        raise
    return connected


class SocketStream:
    """One connection. What is written goes to the kernel at once; what that does not take waits, in order.

    Only what waits is written by a task, so that messages leave in the order in which they are written.

    Args:
        connected: its socket.
        tasks: runs the task that writes what waits.
        on_ended: is called when the connection is found broken, or is drained after `write_eof_when_drained`.
    """

    def __init__(self, connected: socket.socket, tasks: TaskGroup, on_ended: Callable[[], None]) -> None:
        connected.setblocking(False)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = connected
        self._tasks = tasks
        self._on_ended = on_ended
        self.unsent = bytearray()  # written, and not yet taken by the kernel
        self.is_broken = False  # whether it was found broken by writing
        self._is_sending = False  # whether the task that writes what waits runs
        self._is_finishing = False  # whether `on_ended` is called once it is drained

    def write(self, message: bytes) -> bool:
        """Sends a message now or later; False if the connection is broken and nothing of it has left."""
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
            if not self._is_sending:
                self._is_sending = True
                self._tasks.start_soon(self._send_unsent)
        return True

    def write_eof_when_drained(self) -> None:
        """Has `on_ended` called once what waits has been sent."""
        self._is_finishing = True
        if not self.unsent:
            self._finished()

    async def _send_unsent(self) -> None:
        try:
            while self.unsent:
                await anyio.wait_writable(self._socket)
                with suppress(BlockingIOError):
                    del self.unsent[: self._socket.send(self.unsent)]
        except (*CONNECTION_ENDED, ValueError):  # the latter if it was closed before the wait
            self._break()
        self._is_sending = False
        if self._is_finishing:
            self._finished()

    def _break(self) -> None:
        self.is_broken = True
        self._on_ended()

    def _finished(self) -> None:
        self._is_finishing = False
        self._on_ended()

    def shutdown_write(self) -> None:
        """Shuts the sending side; what the peer sends can still be received."""
        self._socket.shutdown(socket.SHUT_WR)

    def is_open(self) -> bool:
        """Whether it has not been closed on this side."""
        return self._socket.fileno() >= 0

    def close(self) -> None:
        """Closes the descriptor at once; tasks that wait for it are told so."""
        if self._socket.fileno() >= 0:
            anyio.notify_closing(self._socket)
            self._socket.close()

    def reset_on_close(self) -> None:
        """Has the close reset the connection, as the end of a process does."""
        if self._socket.fileno() >= 0:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    async def receive(self, timeout_s: float | None = None) -> bytes:
        """Waits for data and returns it.

        Raises:
            TimeoutError: nothing came in time.
            anyio.EndOfStream: the peer has closed its side.
            anyio.ClosedResourceError: it was closed on this side.
            OSError: the connection is broken.
        """
        if self._socket.fileno() < 0:
            raise anyio.ClosedResourceError
        if timeout_s is None:
            await anyio.wait_readable(self._socket)
        else:
            with anyio.move_on_after(timeout_s):
                await anyio.wait_readable(self._socket)
        try:
            # Also after the timeout: on a late event loop it may be over while data is there.
            size = self._socket.recv_into(_READ_BUFFER)
        except BlockingIOError:
            raise TimeoutError from None
        if not size:
            raise anyio.EndOfStream
        return bytes(_READ_BUFFER[:size])

    def receive_available(self) -> bytes | None:
        """Returns what has come, without waiting: None if nothing has, b"" once the connection has ended."""
        try:
            return bytes(_READ_BUFFER[: self._socket.recv_into(_READ_BUFFER)])
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def has_unread(self) -> bool:
        """Whether data has come that was not received yet; the end of the stream is none."""
        return bool(self._peek())

    def has_ended(self) -> bool:
        """Whether the peer has closed its side, or the connection has broken.

        This is asked of the kernel, as the end would be read seconds late behind megabytes of data.
        """
        peeked = self._peek()
        if peeked is None:
            return False
        return peeked == b"" or self._is_in_close_wait()

    def _is_in_close_wait(self) -> bool:
        try:
            return self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1) == _CLOSE_WAIT
        except OSError:
            return False  # this system does not have it

    def _peek(self) -> bytes | None:
        try:
            return self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def __enter__(self) -> SocketStream:
        """Returns itself; leaving the block closes it."""
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
