"""Connects the leader to engines: polls disk reports, sends commands, and proposes log entries.

RESP over TCP: a command is an array of strings, an answer is one string of JSON.
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable, Iterable, Mapping

import anyio
import hiredis
import msgspec
from anyio.abc import TaskGroup

from cresstray.observability.counters import Counters
from cresstray.placement.move_executor import Command, CopyReport, DiskReport, Proposal
from cresstray.transport import streams
from cresstray.transport.framing import FramingError

# A switch waits for a report. A report of an idle engine takes a few hundred bytes.
_POLL_INTERVAL_US = 500_000
# With a shorter interval, a single large write would look like growth.
_GROWTH_INTERVAL_US = 30_000_000
# The connection is closed if the engine doesn't answer for so long.
_ANSWER_TIMEOUT_S = 3.0
# The pause doubles with each attempt.
_RECONNECT_PAUSE_S, _MAX_RECONNECT_PAUSE_S = 0.2, 5.0
# 5,000 shards take about 200 bytes each.
_MAX_ANSWER_BYTES = 4 * 1024 * 1024
_LENGTH_LINE = re.compile(rb"\$(\d{1,7})\r\n")
# With more unanswered commands, the engine is not answering.
_MAX_UNANSWERED = 256


class _DiskAnswer(msgspec.Struct):
    """The answer to SHARDS."""

    zone: str
    disk: int
    free: int
    headroom: int
    pace: int
    copies: dict[str, CopyReport]
    numbers: dict[str, int] = {}
    cores: float = 0.0
    util: float = 0.0
    inflight: float = 0.0
    depth: float = 0.0


class _CommandAnswer(msgspec.Struct):
    """The answer to any other command."""

    refused: str = ""


_told, _answer = msgspec.json.Decoder(_DiskAnswer), msgspec.json.Decoder(_CommandAnswer)


class AnswerParser:
    """Parses RESP strings from received data; a wrong length must not be waited for."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the strings completed by `data`; raises FramingError for malformed input."""
        self._buffer += data
        found, at = [], 0
        while at < len(self._buffer):
            length = _LENGTH_LINE.match(self._buffer, at)
            if length is None:
                if len(self._buffer) - at < 10 and b"\n" not in self._buffer[at:]:
                    break
                raise FramingError(f"not the length of a string: {bytes(self._buffer[at : at + 20])!r}")
            start, size = length.end(), int(length[1])
            if size > _MAX_ANSWER_BYTES:
                raise FramingError(f"a string of {size} bytes")
            if len(self._buffer) < start + size + 2:
                break
            if self._buffer[start + size : start + size + 2] != b"\r\n":
                raise FramingError("a string longer than its length")
            found.append(bytes(self._buffer[start : start + size]))
            at = start + size + 2
        del self._buffer[:at]
        return found


def command_words(command: Command, address: str) -> tuple[str, ...]:
    """Returns the words of a command; `address` is host:port of the peer."""
    given = [command.verb, command.shard, "MOVE", str(command.fence)]
    if command.verb == "COPY":
        given += [
            "FROM",
            address,
            "AT",
            str(command.offset),
            "RATE",
            str(command.rate),
            "KEEP",
            str(command.keep),
        ]
    elif command.verb == "FOLLOW":
        given += ["FROM", address, "EPOCH", str(command.epoch)]
    elif command.verb == "SWITCH":
        given += ["EPOCH", str(command.epoch), "PRIMARY", command.peer, "FROM", address]
    return tuple(given)


class TransferClient:
    """Polls engines and sends commands; `reports` has the last report of each disk."""

    def __init__(
        self,
        addresses: Callable[[], Mapping[str, tuple[str, int]]],
        propose: Callable[[Proposal], None],
        leads: Callable[[], bool],
        clock: Callable[[], int],
        counters: Counters,
        say: Callable[..., None] = lambda *_, **__: None,
    ) -> None:
        self._addresses, self._propose, self._is_leader, self._clock = addresses, propose, leads, clock
        self._counters, self._log_event = counters, say
        self.reports: dict[str, DiskReport] = {}
        self.on_report: Callable[[DiskReport, int], None] = lambda disk, now: None
        self._connections: dict[str, _EngineConnection] = {}
        self._tasks: TaskGroup | None = None
        self._shard_sizes: dict[str, tuple[int, int, int]] = {}  # by shard: bytes, time, bytes per second

    async def run(self) -> None:
        """Keeps a connection to each engine while this node is the leader."""
        try:
            async with anyio.create_task_group() as self._tasks:
                while True:
                    self._update_connections()
                    await anyio.sleep(_POLL_INTERVAL_US / 1e6)
        finally:
            self._tasks = None
            self._connections.clear()

    def _update_connections(self) -> None:
        known = dict(self._addresses()) if self._is_leader() else {}
        for engine, line in list(self._connections.items()):
            if known.get(engine) != line.address:
                # Commands of an earlier leader must not continue, as the next one uses the same fences.
                del self._connections[engine]
                self.reports.pop(engine, None)
                line.close()
        for engine, address in sorted(known.items()):
            if engine not in self._connections:
                line = self._connections[engine] = _EngineConnection(
                    engine, address, self._on_answer, self._clock, self._counters, self._log_event
                )
                self._tasks.start_soon(line.run)
            else:
                self._connections[engine].poll()

    def poll(self, engines: Iterable[str]) -> None:
        """Polls the engines at once unless a poll is unanswered; does nothing unless leader."""
        if self._is_leader():
            for engine in engines:
                line = self._connections.get(engine)
                if line is not None:
                    line.poll()

    def _on_answer(self, engine: str, told: _DiskAnswer, at: int) -> None:
        for name, copy in told.copies.items():
            if copy.primary:
                before = self._shard_sizes.get(name)
                if before is None:
                    self._shard_sizes[name] = copy.bytes, at, 0
                elif at - before[1] >= _GROWTH_INTERVAL_US:
                    rate = max(0, (copy.bytes - before[0]) * 1_000_000 // (at - before[1]))
                    # Averaged with the previous rate to smooth short peaks.
                    self._shard_sizes[name] = copy.bytes, at, (before[2] + rate) // 2 if before[2] else rate
                copy.growth = self._shard_sizes[name][2]
        disk = self.reports[engine] = DiskReport(
            engine,
            told.zone,
            told.disk,
            told.free,
            told.headroom,
            told.pace,
            at,
            told.copies,
            told.numbers,
            told.cores,
            told.util,
            told.inflight,
            told.depth,
        )
        self.on_report(disk, self._clock())

    def execute(self, steps: Iterable[Command | Proposal]) -> None:
        """Carries out the executor's decisions while this node is the leader."""
        addresses = self._addresses()
        for step in steps:
            if not self._is_leader():
                return
            if isinstance(step, Proposal):
                self._propose(step)
                continue
            line = self._connections.get(step.engine)
            if line is None:
                continue
            host, port = addresses.get(step.peer, ("", 0))
            if step.verb in ("COPY", "FOLLOW") and not host:
                continue  # repeated once the address is known
            line.send(step, f"{host}:{port}" if host else "")


class _EngineConnection:
    """The connection to one engine, with reconnects."""

    def __init__(
        self,
        engine: str,
        address: tuple[str, int],
        heard: Callable[[str, _DiskAnswer, int], None],
        clock: Callable[[], int],
        counters: Counters,
        say: Callable[..., None],
    ) -> None:
        self._engine, self.address, self._on_report, self._clock = engine, address, heard, clock
        self._counters, self._log_event = counters, say
        self._scope = anyio.CancelScope()
        self._stream: streams.SocketStream | None = None
        self._unanswered: deque[tuple[Command | None, int]] = deque()  # command (None for SHARDS) and time

    def close(self) -> None:
        self._scope.cancel()

    def poll(self) -> None:
        if self._stream is not None and not any(command is None for command, _ in self._unanswered):
            self._send(None, hiredis.pack_command(("SHARDS",)))

    def send(self, command: Command, address: str) -> None:
        if self._stream is not None and len(self._unanswered) < _MAX_UNANSWERED:
            self._counters.add(f"commands {command.verb.lower()}")
            self._send(command, hiredis.pack_command(command_words(command, address)))

    def _send(self, command: Command | None, message: bytes) -> None:
        self._unanswered.append((command, self._clock()))
        self._stream.write(message)

    async def run(self) -> None:
        """Reconnects until closed."""
        pause = _RECONNECT_PAUSE_S
        with self._scope:
            while True:
                began = self._clock()
                try:
                    await self._connected()
                except (*streams.CONNECTION_ENDED, TimeoutError):
                    self._counters.add("links to disks lost")
                except FramingError as trouble:
                    self._log_event(
                        "disk", "what it answers can't be used", engine=self._engine, why=str(trouble)
                    )
                except Exception as trouble:
                    # A bug must end only the connection that it occurs on.
                    self._counters.add("faults")
                    self._log_event("fault", "on the link to a disk", engine=self._engine, why=repr(trouble))
                self._unanswered.clear()
                # The pause is reset after a connection that lasted for a while.
                pause = (
                    _RECONNECT_PAUSE_S
                    if self._clock() - began > 5_000_000
                    else min(_MAX_RECONNECT_PAUSE_S, 2 * pause)
                )
                await anyio.sleep(pause)

    async def _connected(self) -> None:
        with anyio.fail_after(_ANSWER_TIMEOUT_S):
            made = await streams.connect(*self.address)
        try:
            async with anyio.create_task_group() as tasks:
                with streams.SocketStream(made, tasks, tasks.cancel_scope.cancel) as self._stream:
                    answers = AnswerParser()
                    self.poll()
                    while True:
                        for body in answers.feed(await self._stream.receive(_ANSWER_TIMEOUT_S)):
                            self._handle_answer(body)
        except BaseExceptionGroup as group:
            # The first cause is the reason for the end.
            raise group.exceptions[0] from None
        finally:
            self._stream = None

    def _handle_answer(self, body: bytes) -> None:
        if not self._unanswered:
            raise FramingError("an answer to nothing")
        command, asked = self._unanswered.popleft()
        try:
            if command is None:
                # The report dates from the request, as later changes may be missing.
                self._on_report(self._engine, _told.decode(body), asked)
                return
            refused = _answer.decode(body).refused
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
            raise FramingError(f"an answer: {trouble}") from None
        if refused:
            self._counters.add("commands refused")
            self._log_event(
                "disk", "refused", engine=self._engine, command=command.verb, shard=command.shard, why=refused
            )
