"""A small store that speaks RESP2 and RESP3 on loopback, with faults that are controlled from outside.

A process: `python -m cresstray.emulators.store` prints its two ports as one JSON object, and ends with its
standard input. On the second port each line is a fault or a question, answered with a line of JSON; FAULTS
has them all.
"""

from __future__ import annotations

import asyncio
import json
import math
import random
import socket
import sys
import time
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

import anyio
import hiredis
from anyio.abc import TaskGroup

from cresstray.emulators.sockets import Peer, listen, serve
from cresstray.emulators.store_commands import ClientState, StoreCommands, StoreError, encode
from cresstray.emulators.store_data import Entry, dump_entry, parse_entry
from cresstray.transport.streams import CONNECTION_ENDED, SocketStream, connect

FAULTS = """\
slow fixed MS | uniform MS MS | log MEDIAN_MS SIGMA     each command runs and is answered so much later
late ...                    the same, but it runs at once and only its answer is late
freeze, thaw                nothing is read or answered
mute, speak                 all runs, nothing is answered
refuse, accept              connections are reset and refused
close                       all connections in order, as those that idle
restart empty | stale MS    reset, and back with nothing, or with what was so long ago
lose MS                     forgets the writes of the last so many ms, which it had acknowledged
cut N                       half of each of the next N answers, then an end
twice N, junk N             each of the next N answers a second time; bytes that are none in front of them
answer KIND | -             every command but those of a greeting is refused so (LOADING, READONLY, OOM, BUSY)
forget                      the scripts
spoil KEY                   a list is kept there
clock MS                    its time jumps
follow HOST:PORT, lag MS    a copy of the store with this control port, so much behind
promote                     primary from now on, without what it had not got by then
copy [MS], load JSON        what it holds, or held so long ago; holds that
account [all], clear        counts by command, or each command with its time; begins it anew
stop                        ends the process
"""
_MAX_ACCOUNT_LINES = 500_000
_MAX_ACCOUNT_KEY_BYTES = 100
# How often a closed listener looks whether it is to open again.
_REOPEN_POLL_S = 0.002
# Equal times would be served in any order.
_MIN_DELAY_STEP_S = 1e-6


class AccountLine(NamedTuple):
    """One command, as tests get it: time in us, the client's number, name, key, and what became of it."""

    at_us: int
    client: int
    name: str
    key: str
    result: str


class Connection:
    """One connection of a client."""

    def __init__(self, peer: Peer, state: ClientState) -> None:
        self.peer = peer
        self.state = state
        self.next_reply_s = 0.0  # no reply leaves before
        self.write: Callable[[bytes], object] = peer.line.write


class ReplyFaults:
    """What is wrong with the replies."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self.draw_delay_s: Callable[[], float] | None = None
        self.is_delay_after_execution = False
        self.is_muted = False
        self.to_cut = 0  # how many of the next replies
        self.to_repeat = 0
        self.to_prefix_with_junk = 0

    def set_delay(self, words: str) -> None:
        """Sets a distribution: `fixed MS`, `uniform MS MS` or `log MEDIAN_MS SIGMA`; `fixed 0` for none."""
        kind, *numbers = words.split()
        first, *rest = (float(number) for number in numbers)
        draws: dict[str, Callable[[], float]] = {
            "fixed": lambda: first,
            "uniform": lambda: self._chance.uniform(first, rest[0]),
            "log": lambda: self._chance.lognormvariate(math.log(first), rest[0]),
        }
        draw_ms = draws[kind]
        self.is_delay_after_execution = False
        self.draw_delay_s = (lambda: draw_ms() / 1000) if first else None

    def delay_s(self) -> float:
        """Draws the delay of one command."""
        return self.draw_delay_s() if self.draw_delay_s is not None else 0.0

    def spoil(self, message: bytes) -> bytes:
        """Adds junk, and repeats, as many replies as were asked for."""
        if self.to_prefix_with_junk:
            self.to_prefix_with_junk -= 1
            message = b"junk\x00\r\n" + message
        if self.to_repeat:
            self.to_repeat -= 1
            message *= 2
        return message


class Store:
    """The server: connections, replication and faults."""

    def __init__(
        self,
        port: int = 0,
        password: str = "",
        is_old: bool = False,
        is_closed: bool = False,
        seed: int = 1,
        tls: Any = None,
    ) -> None:
        """`is_old`: knows no HELLO. `is_closed`: refuses until `accept`. `tls`: sites.tls.TlsContexts."""
        self._tls = tls
        self._listener = listen(port)
        self.port: int = self._listener.getsockname()[1]
        self._control = listen()
        self.control: int = self._control.getsockname()[1]
        self._is_accepting = not is_closed
        self.faults = ReplyFaults(random.Random(seed))
        self.commands = StoreCommands(password.encode(), is_old, lambda: len(self._replicas))
        self.data = self.commands.data
        self.data.on_write = self._replicate
        self._connections: set[Connection] = set()
        self._connections_made = 0
        self._thawed: anyio.Event | None = None  # None while it is not frozen
        self._lag_ms = 0
        self._arriving: deque[tuple[int, dict[str, Any]]] = deque()  # from the primary, by when they count
        self._replicas: set[SocketStream] = set()
        self._following = anyio.CancelScope()
        self._account: deque[AccountLine] = deque(maxlen=_MAX_ACCOUNT_LINES)
        self._counts: Counter[str] = Counter()
        self._tasks: TaskGroup

    async def run(self) -> None:
        """Serves until it is stopped."""
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(serve, self._control, self._serve_control)
            while True:
                if self._is_accepting:
                    await serve(self._listener, self._serve)
                await anyio.sleep(_REOPEN_POLL_S)

    def stop(self) -> None:
        """Ends `run`."""
        self._tasks.cancel_scope.cancel()

    # Connections.

    async def _serve(self, accepted: socket.socket, tasks: TaskGroup) -> None:
        self._connections_made += 1
        peer = Peer(accepted, tasks)
        connection = Connection(peer, self.commands.make_client(self._connections_made))
        self._connections.add(connection)
        try:
            with peer.scope, peer.line:
                await self._read(connection, await self._secure(connection))
        except (*CONNECTION_ENDED, hiredis.HiredisError):
            return
        finally:
            self._connections.discard(connection)

    async def _secure(self, connection: Connection) -> Any:
        line = connection.peer.line
        if self._tls is None:
            return line
        from cresstray.sites.tls import TlsStream

        channel = TlsStream(line, self._tls, True)
        await channel.handshake()
        connection.write = channel.write
        return channel

    async def _read(self, connection: Connection, channel: Any) -> None:
        reader = hiredis.Reader()
        while True:
            await self._wait_while_frozen()
            data = await channel.receive()
            await self._wait_while_frozen()
            reader.feed(data)
            while (arguments := reader.gets()) is not False:
                self._on_command(connection, arguments)

    async def _wait_while_frozen(self) -> None:
        if self._thawed is not None:
            await self._thawed.wait()

    def _on_command(self, connection: Connection, arguments: Any) -> None:
        """Executes it and replies, now or later, in order."""
        if not isinstance(arguments, list) or not arguments:
            connection.peer.scope.cancel()
            return
        loop = asyncio.get_running_loop()
        delay_s = self.faults.delay_s()
        if not delay_s and connection.next_reply_s <= loop.time():
            self._reply(connection, self._execute(connection, arguments))
            return
        due_s = max(loop.time() + delay_s, connection.next_reply_s + _MIN_DELAY_STEP_S)
        connection.next_reply_s = due_s
        if self.faults.is_delay_after_execution:
            loop.call_at(due_s, self._reply, connection, self._execute(connection, arguments))
        else:
            loop.call_at(due_s, self._execute_late, connection, arguments)

    def _execute_late(self, connection: Connection, arguments: list[bytes]) -> None:
        if connection in self._connections:
            self._reply(connection, self._execute(connection, arguments))

    def _execute(self, connection: Connection, arguments: list[bytes]) -> bytes:
        reply = self.commands.execute(connection.state, arguments)
        self._record(connection.state.number, arguments, reply)
        return encode(reply, connection.state.protocol)

    def _record(self, client: int, arguments: list[bytes], reply: Any) -> None:
        name = arguments[0].upper()
        is_script = name in (b"EVAL", b"EVALSHA")
        key = b"".join(arguments[3:4] if is_script else arguments[1:2])
        if name in (b"AUTH", b"HELLO"):
            key = b""  # a password
        result = "done"
        if isinstance(reply, StoreError):
            result = str(reply).partition(" ")[0]
        elif is_script and reply[0] == 0:
            result = "kept"
        self._counts[name.decode()] += 1
        shown_key = key[:_MAX_ACCOUNT_KEY_BYTES].decode("latin-1")
        self._account.append(AccountLine(time.time_ns() // 1000, client, name.decode(), shown_key, result))

    def _reply(self, connection: Connection, message: bytes) -> None:
        if connection not in self._connections or self.faults.is_muted:
            return
        if self.faults.to_cut:
            self.faults.to_cut -= 1
            connection.write(message[: max(1, len(message) // 2)])
            connection.peer.line.write_eof_when_drained()
            self._connections.discard(connection)
            return
        connection.write(self.faults.spoil(message))

    def _reset_connections(self) -> None:
        for connection in list(self._connections):
            connection.peer.reset()
        self._connections.clear()

    # Replication.

    def _replicate(self, at_ms: int, key: bytes, entry: Entry | None) -> None:
        for replica in self._replicas:
            replica.write(_to_line(dump_entry(at_ms, key, entry)))

    def _add_replica(self, stream: SocketStream) -> None:
        self._replicas.add(stream)
        now_ms = self.commands.now_ms()
        dumps = [dump_entry(now_ms, key, entry) for key, entry in self.data.entries.items()]
        stream.write(_to_line({"all": True}) + b"".join(map(_to_line, dumps)))

    async def _follow(self, host: str, port: int) -> None:
        """Replicates the primary, for as long as it lives."""
        self._following.cancel()
        buffer = b""
        with anyio.CancelScope() as self._following:
            try:
                with SocketStream(await connect(host, port), self._tasks, self._following.cancel) as stream:
                    stream.write(b"followed\n")
                    while True:
                        buffer += await stream.receive()
                        *lines, buffer = buffer.split(b"\n")
                        due_ms = self.commands.now_ms() + self._lag_ms
                        self._arriving.extend((due_ms, json.loads(line)) for line in lines)
                        self._apply_arrived()
            except CONNECTION_ENDED:
                return

    def _apply_arrived(self) -> None:
        """Takes over what has been on its way for as long as the lag."""
        while self._arriving and self._arriving[0][0] <= self.commands.now_ms():
            at_ms, dump = self._arriving.popleft()
            if dump.get("all"):
                self.data.entries.clear()
            else:
                self.data.put(bytes.fromhex(dump["key"]), parse_entry(dump), at_ms)
        if self._arriving:
            wait_s = (self._arriving[0][0] - self.commands.now_ms()) / 1000
            asyncio.get_running_loop().call_later(wait_s, self._apply_arrived)

    # Control port: a method `_be_WORD` for each word of FAULTS.

    async def _serve_control(self, accepted: socket.socket, tasks: TaskGroup) -> None:
        peer = Peer(accepted, tasks)
        buffer = b""

        def on_data(data: bytes) -> None:
            nonlocal buffer
            *lines, buffer = (buffer + data).split(b"\n")
            for line in lines:
                self._on_control_line(peer, line.decode())

        try:
            await peer.run(on_data)
        finally:
            self._replicas.discard(peer.line)

    def _on_control_line(self, peer: Peer, line: str) -> None:
        word, *rest = line.split(" ", 1)
        if word == "followed":
            self._add_replica(peer.line)
            return
        try:
            reply = getattr(self, f"_be_{word}")(*rest)
        except (AttributeError, TypeError, ValueError, IndexError, KeyError) as error:
            reply = {"error": repr(error)}
        peer.line.write(_to_line(reply if reply is not None else {"done": word}))

    def _be_slow(self, words: str) -> None:
        self.faults.set_delay(words)

    def _be_late(self, words: str) -> None:
        self.faults.set_delay(words)
        self.faults.is_delay_after_execution = True

    def _be_freeze(self) -> None:
        self._thawed = self._thawed or anyio.Event()

    def _be_thaw(self) -> None:
        if self._thawed is not None:
            self._thawed.set()
            self._thawed = None

    def _be_mute(self) -> None:
        self.faults.is_muted = True

    def _be_speak(self) -> None:
        self.faults.is_muted = False

    def _be_refuse(self) -> None:
        self._is_accepting = False
        anyio.notify_closing(self._listener)
        self._listener.close()
        self._reset_connections()

    def _be_accept(self) -> None:
        if not self._is_accepting:
            if self._listener.fileno() < 0:
                self._listener = listen(self.port)
            self._is_accepting = True

    def _be_close(self) -> None:
        for connection in self._connections:
            connection.peer.scope.cancel()

    def _be_restart(self, words: str) -> None:
        self.commands.scripts.clear()
        kind, *age_ms = words.split()
        if kind == "empty":
            self.data.clear(self.commands.now_ms())
        else:
            self.data.revert_to(self.commands.now_ms() - int(age_ms[0]))
        self._reset_connections()

    def _be_lose(self, age_ms: str) -> None:
        self.data.revert_to(self.commands.now_ms() - int(age_ms))

    def _be_cut(self, count: str) -> None:
        self.faults.to_cut = int(count)

    def _be_twice(self, count: str) -> None:
        self.faults.to_repeat = int(count)

    def _be_junk(self, count: str) -> None:
        self.faults.to_prefix_with_junk = int(count)

    def _be_answer(self, kind: str) -> None:
        self.commands.error = "" if kind == "-" else kind

    def _be_forget(self) -> None:
        self.commands.scripts.clear()

    def _be_spoil(self, key: str) -> None:
        self.data.put(key.encode(), Entry(["a list"], None), self.commands.now_ms())

    def _be_clock(self, shift_ms: str) -> None:
        self.commands.clock_shift_ms += int(shift_ms)

    def _be_follow(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        self.commands.primary = (host, int(port))
        self._tasks.start_soon(self._follow, host, int(port))

    def _be_lag(self, lag_ms: str) -> None:
        self._lag_ms = int(lag_ms)

    def _be_promote(self) -> dict[str, int]:
        self._apply_arrived()
        lost = len(self._arriving)
        self._arriving.clear()
        self._following.cancel()
        self.commands.primary = None
        return {"lost": lost}

    def _be_copy(self, age_ms: str = "0") -> list[dict[str, Any]]:
        former = self.data.former(self.commands.now_ms() - int(age_ms))
        return [dump_entry(0, key, entry) for key, entry in former.entries.items()]

    def _be_load(self, dumps: str) -> None:
        self.data.load(json.loads(dumps), self.commands.now_ms())

    def _be_account(self, words: str = "") -> dict[str, Any]:
        summary: dict[str, Any] = {
            "counts": dict(sorted(self._counts.items())),
            "connections": len(self._connections),
            "made": self._connections_made,
            "keys": len(self.data.entries),
        }
        if words == "all":
            summary["all"] = list(self._account)
        return summary

    def _be_clear(self) -> None:
        self._account.clear()
        self._counts.clear()

    def _be_stop(self) -> None:
        self.stop()


def _to_line(message: Any) -> bytes:
    return json.dumps(message).encode() + b"\n"


async def _stop_with_standard_input(store: Store) -> None:
    """Otherwise a store whose maker was killed would stay for ever."""
    await anyio.wait_readable(sys.stdin)
    store.stop()


async def _main(options: Any) -> None:
    contexts = None
    if options.tls:
        from cresstray.config.operator import Tls
        from cresstray.sites.tls import TlsContexts

        contexts = TlsContexts(Tls(*options.tls))
    store = Store(options.port, options.password, options.old, options.closed, options.seed, contexts)
    print(json.dumps({"port": store.port, "control": store.control}), flush=True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_with_standard_input, store)
        await store.run()
        tasks.cancel_scope.cancel()


def main() -> None:
    """Runs one store."""
    import argparse

    parser = argparse.ArgumentParser(
        prog="python -m cresstray.emulators.store",
        description=FAULTS,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--password", default="")
    parser.add_argument("--old", action="store_true", help="knows no HELLO, as before RESP3")
    parser.add_argument("--closed", action="store_true", help="refuses connections until `accept`")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--tls", nargs=3, metavar="PEM", help="authority, certificate, key")
    anyio.run(partial(_main, parser.parse_args()))


if __name__ == "__main__":
    main()
