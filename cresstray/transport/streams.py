"""Stream connections: reads, writes that do not wait, and containment of exceptions to one connection."""

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

# The states of a connection whose peer has closed or reset it, as in the first byte of TCP_INFO: CLOSE,
# CLOSE_WAIT, LAST_ACK and CLOSING.
_ENDED_STATES = (b"\x07", b"\x08", b"\x09", b"\x0b")
# The exceptions of reads and writes on a connection that is closed, broken or reset.
CONNECTION_ENDED = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


# All connections read into this buffer and copy the received bytes. A new buffer of 64 kB for each read,
# shrunk to the received size, would fragment the memory: by 20 MB with 256 connections.
_READ_BUFFER = memoryview(bytearray(65536))


@contextmanager
def faults_contained(where: str, counters: Counters, log: Log) -> Iterator[None]:
    """Contains exceptions of the program itself to one connection: counts and logs them, raises none."""
    try:
        yield
    except Exception as error:
        log_fault(where, error, counters, log)


def log_fault(where: str, error: Exception, counters: Counters, log: Log) -> None:
    """Counts an exception of the program itself and logs `where` it occurred, with its traceback."""
    counters.add("faults")
    log.log("fault", f"{where}: {''.join(traceback.format_exception(error))}")


async def connect(host: str, port: int) -> socket.socket:
    """Returns a connected socket; callers set the timeout.

    Raises:
        OSError: the connection could not be made.
    """
    connected_socket = socket.socket()
    try:
        connected_socket.setblocking(False)
        try:
            connected_socket.connect((host, port))
        except BlockingIOError:
            await anyio.wait_writable(connected_socket)
        error_number = connected_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            raise OSError(error_number, os.strerror(error_number))
    except BaseException:
        connected_socket.close()
        raise
    return connected_socket


def _nothing() -> None:
    """Does nothing."""


class SocketStream:
    """One connection. Messages are sent at once as far as the kernel accepts them; the rest waits in order.

    While data waits, one task sends it and messages are appended to it, so the order of messages is kept.

    Args:
        connected_socket: the socket of the connection.
        tasks: runs the task that sends waiting data.
        on_ended: is called when the connection is found broken, or is drained after `write_eof_when_drained`.

    Attributes:
        unsent: data that was written and is not yet accepted by the kernel.
        is_broken: a write has found the connection broken.
    """

    def __init__(
        self, connected_socket: socket.socket, tasks: TaskGroup, on_ended: Callable[[], None]
    ) -> None:
        connected_socket.setblocking(False)
        connected_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = connected_socket
        self._tasks = tasks
        self._on_ended = on_ended
        self.unsent = bytearray()
        self.is_broken = False
        self._is_sending = False  # the task that sends waiting data is running
        self._is_finishing = False  # `on_ended` is to be called once the connection is drained

    def write(self, message: bytes) -> bool:
        """Sends a message now or later; False if the connection is broken and nothing of it was sent."""
        sent = 0
        if not self.unsent:
            try:
                sent = self._socket.send(message)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._on_broken()
                return False
        if sent < len(message):
            self.unsent += message[sent:]
            if not self._is_sending:
                self._is_sending = True
                self._tasks.start_soon(self._send_unsent)
        return True

    def write_eof_when_drained(self) -> None:
        """Lets `on_ended` be called once all waiting data has been sent."""
        self._is_finishing = True
        if not self.unsent:
            self._on_drained()

    async def _send_unsent(self) -> None:
        try:
            while self.unsent:
                await anyio.wait_writable(self._socket)
                with suppress(BlockingIOError):
                    del self.unsent[: self._socket.send(self.unsent)]
        except (*CONNECTION_ENDED, ValueError):  # ValueError if the socket was closed before the wait
            self._on_broken()
        self._is_sending = False
        if self._is_finishing:
            self._on_drained()

    def _on_broken(self) -> None:
        self.is_broken = True
        self._on_ended()

    def _on_drained(self) -> None:
        self._is_finishing = False
        self._on_ended()

    def shutdown_write(self) -> None:
        """Shuts down the sending side; data of the peer can still be received."""
        self._socket.shutdown(socket.SHUT_WR)

    def is_open(self) -> bool:
        """Whether the connection is not closed on this side."""
        return self._socket.fileno() >= 0

    def close(self) -> None:
        """Closes the descriptor at once, and wakes the tasks that wait for it."""
        if self._socket.fileno() >= 0:
            anyio.notify_closing(self._socket)
            self._socket.close()
            self._on_ended = _nothing  # it refers to the owner, which refers to this stream

    def reset_on_close(self) -> None:
        """Lets `close` reset the connection, as the end of a process does."""
        if self._socket.fileno() >= 0:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    async def receive(self, timeout_s: float | None = None) -> bytes:
        """Waits for data and returns it.

        Raises:
            TimeoutError: nothing was received in time.
            anyio.EndOfStream: the peer has closed its side.
            anyio.ClosedResourceError: the connection was closed on this side.
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
            # Read even after the timeout: if the event loop was late, data may have arrived all the same.
            size = self._socket.recv_into(_READ_BUFFER)
        except BlockingIOError:
            raise TimeoutError from None
        if not size:
            raise anyio.EndOfStream
        return bytes(_READ_BUFFER[:size])

    async def wait_for_data(self) -> None:
        """Waits until there is data or the end of the stream; there may be neither if both were received.

        Raises:
            anyio.ClosedResourceError: the connection was closed on this side.
        """
        if self._socket.fileno() < 0:
            raise anyio.ClosedResourceError
        await anyio.wait_readable(self._socket)

    def available_bytes(self, max_bytes: int) -> int:
        """Returns how much can be received at once, counted up to `max_bytes`."""
        try:
            return self._socket.recv_into(_READ_BUFFER, max_bytes, socket.MSG_PEEK)
        except OSError:
            return 0

    def receive_available(self, max_bytes: int) -> bytes | None:
        """Returns available data, up to `max_bytes` and 64 kB; None if there is none, b"" after the end."""
        try:
            size = self._socket.recv_into(_READ_BUFFER, min(max_bytes, len(_READ_BUFFER)))
            return bytes(_READ_BUFFER[:size])
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def has_unread(self) -> bool:
        """Whether there is data that was not received yet; the end of the stream does not count as data."""
        return bool(self._peek())

    def has_ended(self) -> bool:
        """Whether the peer has closed its side, or the connection has broken.

        The kernel is asked, as a reader would find the end only after megabytes of data, seconds later.
        """
        peeked = self._peek()
        if peeked is None:
            return False
        return peeked == b"" or self._is_in_ended_state()

    def _is_in_ended_state(self) -> bool:
        try:
            return self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1) in _ENDED_STATES
        except OSError:
            return False  # the system does not support TCP_INFO

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
