"""A small store that speaks RESP2 and RESP3 on loopback: strings with expiry, the script of marks, roles.

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
import subprocess
import sys
import time
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import Any

import anyio
import hiredis
from anyio.abc import TaskGroup

from cresstray.emulators.sockets import Peer, listen, serve
from cresstray.idempotency import codec
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
# What an account keeps, and how long a former state can be had again, in ms: the longest of what is measured.
_MOST_ACCOUNT, _KEPT_MS = 500_000, 150_000
_GREETINGS = frozenset((b"HELLO", b"AUTH", b"CLIENT", b"ROLE", b"INFO", b"SCRIPT"))
_ERRORS = {
    "LOADING": "LOADING Redis is loading the dataset in memory",
    "READONLY": "READONLY You can't write against a read only replica.",
    "OOM": "OOM command not allowed when used memory > 'maxmemory'.",
    "BUSY": "BUSY Redis is busy running a script. You can only call SCRIPT KILL or SHUTDOWN NOSAVE.",
}
_NO_SYNTAX = "ERR syntax error"


class _Error(Exception):
    """An error reply."""


class _Simple(str):
    """A simple string, as OK."""


def encode(reply: Any, protocol: int) -> bytes:
    if isinstance(reply, _Error):
        return f"-{reply}\r\n".encode()
    if isinstance(reply, _Simple):
        return f"+{reply}\r\n".encode()
    if reply is None:
        return b"_\r\n" if protocol == 3 else b"$-1\r\n"
    if isinstance(reply, int):
        return b":%d\r\n" % reply
    if isinstance(reply, str):
        reply = reply.encode()
    if isinstance(reply, bytes):
        return b"$%d\r\n%b\r\n" % (len(reply), reply)
    if isinstance(reply, dict):
        flat = [one for pair in reply.items() for one in pair]
        head = b"%%%d\r\n" % len(reply) if protocol == 3 else b"*%d\r\n" % len(flat)
        return head + b"".join(encode(one, protocol) for one in flat)
    return b"*%d\r\n" % len(reply) + b"".join(encode(one, protocol) for one in reply)


class Data:
    """Keys, each a string with its expiry (a list stands for any other type), and what they were before."""

    def __init__(self) -> None:
        self.held: dict[bytes, tuple[bytes | list, int | None]] = {}
        self._before: deque[tuple[int, bytes, tuple[bytes | list, int | None] | None]] = deque()
        self.told: Callable[[int, bytes, tuple[bytes | list, int | None] | None], None] = lambda *_: None

    def get(self, key: bytes, now: int) -> tuple[bytes | list, int | None] | None:
        entry = self.held.get(key)
        if entry is not None and entry[1] is not None and entry[1] <= now:
            self.put(key, None, now)
            return None
        return entry

    def put(self, key: bytes, entry: tuple[bytes | list, int | None] | None, now: int) -> None:
        while self._before and self._before[0][0] < now - _KEPT_MS:
            self._before.popleft()
        self._before.append((now, key, self.held.pop(key, None)))
        if entry is not None:
            self.held[key] = entry
        self.told(now, key, entry)

    def back_to(self, at: int) -> None:
        """As it was then."""
        while self._before and self._before[-1][0] > at:
            _, key, entry = self._before.pop()
            self.held.pop(key, None)
            if entry is not None:
                self.held[key] = entry


class _Guest:
    """One connection of a client."""

    def __init__(self, peer: Peer, number: int, known: bool) -> None:
        self.peer, self.number, self.known = peer, number, known
        self.protocol, self.due, self.name = 2, 0.0, b""
        self.put: Callable[[bytes], object] = peer.line.write


class Store:
    def __init__(
        self,
        port: int = 0,
        password: str = "",
        old: bool = False,
        closed: bool = False,
        seed: int = 1,
        tls: Any = None,
    ) -> None:
        """`old`: knows no HELLO. `closed`: refuses until `accept`. `tls`: halls.tls.Contexts."""
        self._password, self._old, self._tls = password.encode(), old, tls
        self._listener = listen(port)
        self.port: int = self._listener.getsockname()[1]
        self._control = listen()
        self.control: int = self._control.getsockname()[1]
        self._open = not closed
        self._chance = random.Random(seed)
        self.data = Data()
        self.data.told = self._write_told
        self._guests: set[_Guest] = set()
        self._numbers = 0
        self._scripts: set[bytes] = set()
        self._shift = 0  # of its clock, ms
        self._delay: Callable[[], float] | None = None  # seconds
        self._after = False  # the delay is between running and answering
        self._frozen: anyio.Event | None = None
        self._mute, self._error = False, ""
        self._cut = self._twice = self._junk = 0
        self._primary: tuple[str, int] | None = None  # of which this is a copy
        self._lag = 0
        self._coming: deque[tuple[int, dict]] = deque()  # from the primary, not here yet
        self._followers: set[SocketStream] = set()
        self._following = anyio.CancelScope()
        self._account: deque[tuple[int, int, str, str, str]] = deque(maxlen=_MOST_ACCOUNT)
        self._counts: Counter[str] = Counter()
        self._tasks: TaskGroup

    def now(self) -> int:
        return time.time_ns() // 1_000_000 + self._shift

    async def run(self) -> None:
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(serve, self._control, self._commanded)
            while True:
                if self._open:
                    await serve(self._listener, self._serve)
                await anyio.sleep(0.002)

    # Connections.

    async def _serve(self, made: socket.socket, tasks: TaskGroup) -> None:
        self._numbers += 1
        peer, reader = Peer(made, tasks), hiredis.Reader()
        guest = _Guest(peer, self._numbers, not self._password)
        self._guests.add(guest)
        try:
            with peer.scope, peer.line:
                channel: Any = peer.line
                if self._tls is not None:
                    from cresstray.sites.tls import Sealed

                    channel = Sealed(peer.line, self._tls, True)
                    await channel.shake_hands()
                guest.put = channel.write
                while True:
                    if self._frozen is not None:
                        await self._frozen.wait()
                    data = await channel.receive()
                    if self._frozen is not None:
                        await self._frozen.wait()
                    reader.feed(data)
                    while (words := reader.gets()) is not False:
                        self._take(guest, words)
        except (*CONNECTION_ENDED, hiredis.HiredisError):
            return
        finally:
            self._guests.discard(guest)

    def _take(self, guest: _Guest, words: list[bytes]) -> None:
        """Runs it and answers, now or later, in order."""
        if not isinstance(words, list) or not words:
            guest.peer.scope.cancel()
            return
        loop = asyncio.get_running_loop()
        wait = self._delay() if self._delay is not None else 0.0
        if not wait and guest.due <= loop.time():
            self._answer(guest, self._run(guest, words))
            return
        guest.due = max(loop.time() + wait, guest.due + 1e-6)  # equal ones would come in any order
        if self._after:
            loop.call_at(guest.due, self._answer, guest, self._run(guest, words))
        else:
            loop.call_at(guest.due, self._run_late, guest, words)

    def _run_late(self, guest: _Guest, words: list[bytes]) -> None:
        if guest in self._guests:
            self._answer(guest, self._run(guest, words))

    def _run(self, guest: _Guest, words: list[bytes]) -> bytes:
        name = words[0].upper()
        try:
            if not guest.known and name not in (b"AUTH", b"HELLO"):
                raise _Error("NOAUTH Authentication required.")
            if (
                self._error
                and name not in _GREETINGS
                and (self._error in ("LOADING", "BUSY") or name in (b"SET", b"DEL", b"EVAL", b"EVALSHA"))
            ):
                raise _Error(_ERRORS.get(self._error, f"{self._error} by order"))
            does = getattr(self, f"_do_{name.decode().lower()}", None)
            if does is None or self._old and name == b"HELLO":
                raise _Error(f"ERR unknown command '{name.decode()[:40]}', with args beginning with: ")
            reply = does(guest, *words[1:])
        except _Error as trouble:
            reply = trouble
        except (TypeError, ValueError):
            reply = _Error(f"ERR wrong number of arguments for '{name.decode().lower()}' command")
        script = name in (b"EVAL", b"EVALSHA")
        key = b"".join(words[3:4] if script else words[1:2])
        how = "kept" if script and not isinstance(reply, _Error) and reply[0] == 0 else "done"
        if isinstance(reply, _Error):
            how = str(reply).partition(" ")[0]
        self._counts[name.decode()] += 1
        self._account.append(
            (
                time.time_ns() // 1000,
                guest.number,
                name.decode(),
                "" if name in (b"AUTH", b"HELLO") else key[:100].decode("latin-1"),
                how,
            )
        )
        return encode(reply, guest.protocol)

    def _answer(self, guest: _Guest, message: bytes) -> None:
        if guest not in self._guests or self._mute:
            return
        if self._cut:
            self._cut -= 1
            guest.put(message[: max(1, len(message) // 2)])
            guest.peer.line.write_eof_when_drained()
            self._guests.discard(guest)
            return
        if self._junk:
            self._junk -= 1
            message = b"junk\x00\r\n" + message
        if self._twice:
            self._twice -= 1
            message *= 2
        guest.put(message)

    def _reset(self) -> None:
        for guest in list(self._guests):
            guest.peer.reset()
        self._guests.clear()

    # Commands.

    def _value(self, key: bytes) -> bytes | None:
        entry = self.data.get(key, self.now())
        if entry is not None and not isinstance(entry[0], bytes):
            raise _Error("WRONGTYPE Operation against a key holding the wrong kind of value")
        return entry and entry[0]

    def _writes(self) -> None:
        if self._primary is not None:
            raise _Error(_ERRORS["READONLY"])

    def _do_get(self, _: _Guest, key: bytes) -> bytes | None:
        return self._value(key)

    def _do_set(self, _: _Guest, key: bytes, value: bytes, *options: bytes) -> Any:
        self._writes()
        now, expires, flags, left = self.now(), None, set(), list(options)
        while left:
            option = left.pop(0).upper()
            if option in (b"PX", b"EX"):
                if not left or int(left[0]) < 1:
                    raise _Error("ERR invalid expire time in 'set' command" if left else _NO_SYNTAX)
                expires = now + int(left.pop(0)) * (1000 if option == b"EX" else 1)
            elif option in (b"NX", b"XX"):
                flags.add(option)
            else:
                raise _Error(_NO_SYNTAX)
        there = self.data.get(key, now) is not None
        if b"NX" in flags and there or b"XX" in flags and not there:
            return None
        self.data.put(key, (value, expires), now)
        return _Simple("OK")

    def _do_del(self, _: _Guest, *keys: bytes) -> int:
        self._writes()
        there = [key for key in dict.fromkeys(keys) if self.data.get(key, self.now()) is not None]
        for key in there:
            self.data.put(key, None, self.now())
        return len(there)

    def _do_pttl(self, _: _Guest, key: bytes) -> int:
        entry = self.data.get(key, self.now())
        return -2 if entry is None else -1 if entry[1] is None else entry[1] - self.now()

    def _do_scan(self, _: _Guest, cursor: bytes, *options: bytes) -> list:
        given = dict(zip((one.upper() for one in options[::2]), options[1::2]))
        pattern, most = given.get(b"MATCH", b"*"), int(given.get(b"COUNT", b"10"))
        if not pattern.endswith(b"*") or b"*" in pattern[:-1]:
            raise _Error("ERR this stand-in knows patterns that end in * only")
        keys = sorted(self.data.held)
        page = keys[int(cursor) : int(cursor) + most]
        found = [key for key in page if key.startswith(pattern[:-1]) and self.data.get(key, self.now())]
        return [b"%d" % (int(cursor) + most if len(keys) > int(cursor) + most else 0), found]

    def _do_time(self, _: _Guest) -> list[bytes]:
        now = time.time_ns() // 1000 + self._shift * 1000
        return [b"%d" % (now // 1_000_000), b"%d" % (now % 1_000_000)]

    def _do_ping(self, _: _Guest, *said: bytes) -> Any:
        return said[0] if said else _Simple("PONG")

    def _do_hello(self, guest: _Guest, version: bytes = b"", *options: bytes) -> dict:
        if version not in (b"", b"2", b"3"):
            raise _Error("NOPROTO unsupported protocol version")
        left = list(options)
        while left:
            option = left.pop(0).upper()
            if option == b"AUTH":
                self._do_auth(guest, left.pop(0), left.pop(0))
            elif option == b"SETNAME":
                guest.name = left.pop(0)
            else:
                raise _Error(_NO_SYNTAX)
        if not guest.known:
            raise _Error(
                "NOAUTH HELLO must be called with the client already authenticated, otherwise the "
                "HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and "
                "select the RESP protocol version at the same time"
            )
        guest.protocol = int(version or guest.protocol)
        return {
            "server": "redis",
            "version": "7.2.0",
            "proto": guest.protocol,
            "id": guest.number,
            "mode": "standalone",
            "role": "replica" if self._primary else "master",
            "modules": [],
        }

    def _do_auth(self, guest: _Guest, *words: bytes) -> str:
        if not self._password:
            raise _Error(
                "ERR AUTH <password> called without any password configured for the default user. "
                "Are you sure your configuration is correct?"
            )
        if words[-1] != self._password or words[0] not in (b"default", words[-1]):
            raise _Error("WRONGPASS invalid username-password pair or user is disabled.")
        guest.known = True
        return _Simple("OK")

    def _do_client(self, guest: _Guest, what: bytes, *more: bytes) -> Any:
        what = what.upper()
        if what == b"SETNAME":
            guest.name = more[0]
        elif what == b"GETNAME":
            return guest.name or None
        elif what == b"ID":
            return guest.number
        elif what != b"SETINFO":
            raise _Error(f"ERR unknown subcommand '{what.decode()[:40]}'. Try CLIENT HELP.")
        return _Simple("OK")

    def _do_select(self, _: _Guest, number: bytes) -> str:
        if int(number):
            raise _Error("ERR DB index is out of range")
        return _Simple("OK")

    def _do_role(self, _: _Guest) -> list:
        if self._primary is None:
            return ["master", 0, []]
        return ["slave", self._primary[0], self._primary[1], "connected", 0]

    def _do_info(self, _: _Guest, *sections: bytes) -> str:
        return (
            f"# Server\r\nredis_version:7.2.0\r\n"
            f"# Replication\r\nrole:{'slave' if self._primary else 'master'}\r\n"
            f"connected_slaves:{len(self._followers)}\r\nloading:{int(self._error == 'LOADING')}\r\n"
        )

    def _do_script(self, _: _Guest, what: bytes, *more: bytes) -> Any:
        what = what.upper()
        if what == b"LOAD":
            if more[0] != codec.CAS:
                raise _Error("ERR this stand-in does not know the script")
            self._scripts.add(codec.CAS_SHA)
            return codec.CAS_SHA
        if what == b"EXISTS":
            return [int(one in self._scripts) for one in more]
        if what == b"FLUSH":
            self._scripts.clear()
            return _Simple("OK")
        raise _Error(f"ERR unknown subcommand '{what.decode()[:40]}'. Try SCRIPT HELP.")

    def _do_evalsha(self, guest: _Guest, sha: bytes, *more: bytes) -> list:
        if sha.lower() not in self._scripts:
            raise _Error("NOSCRIPT No matching script. Please use EVAL.")
        return self._do_eval(guest, codec.CAS, *more)

    def _do_eval(
        self, _: _Guest, script: bytes, number: bytes, key: bytes, expected: bytes, new: bytes, px: bytes
    ) -> list:
        """What the text of codec.CAS means."""
        if script != codec.CAS or number != b"1":
            raise _Error("ERR this stand-in does not know the script")
        self._writes()
        self._scripts.add(codec.CAS_SHA)
        now, found = self.now(), self._value(key)
        if (found or b"") != expected:
            return [0, found, now]
        if int(px) < 1:
            raise _Error("ERR invalid expire time in 'set' command")
        self.data.put(key, (new, now + int(px)), now)
        return [1, now]

    # Copies.

    def _write_told(self, at: int, key: bytes, entry: tuple[bytes | list, int | None] | None) -> None:
        for line in self._followers:
            line.write(_line(_shown(at, key, entry)))

    async def _follow(self, host: str, port: int) -> None:
        """Copies the primary, for as long as it lives."""
        self._following.cancel()
        buffer = b""
        with anyio.CancelScope() as self._following:
            try:
                with SocketStream(await connect(host, port), self._tasks, self._following.cancel) as line:
                    line.write(b"followed\n")
                    while True:
                        buffer += await line.receive()
                        *whole, buffer = buffer.split(b"\n")
                        for one in whole:
                            self._coming.append((self.now() + self._lag, json.loads(one)))
                        self._copied()
            except CONNECTION_ENDED:
                return

    def _copied(self) -> None:
        """Takes over what has been on its way for long enough."""
        while self._coming and self._coming[0][0] <= self.now():
            at, told = self._coming.popleft()
            if told.get("all"):
                self.data.held.clear()
            else:
                self.data.put(bytes.fromhex(told["key"]), _entry(told), at)
        if self._coming:
            asyncio.get_running_loop().call_later((self._coming[0][0] - self.now()) / 1000, self._copied)

    # What happens to it.

    async def _commanded(self, made: socket.socket, tasks: TaskGroup) -> None:
        peer, buffer = Peer(made, tasks), b""

        def take(data: bytes) -> None:
            nonlocal buffer
            *whole, buffer = (buffer + data).split(b"\n")
            for one in whole:
                word, *more = one.decode().split(" ", 1)
                if word == "followed":
                    self._followers.add(peer.line)
                    peer.line.write(
                        _line({"all": True})
                        + b"".join(
                            _line(_shown(self.now(), key, entry)) for key, entry in self.data.held.items()
                        )
                    )
                    continue
                try:
                    told = getattr(self, f"_be_{word}")(*more)
                except (AttributeError, TypeError, ValueError, IndexError, KeyError) as trouble:
                    told = {"error": repr(trouble)}
                peer.line.write(_line(told if told is not None else {"done": word}))

        try:
            await peer.run(take)
        finally:
            self._followers.discard(peer.line)

    def _be_slow(self, words: str) -> None:
        kind, *given = words.split()
        first, *second = (float(one) for one in given)
        draws = {
            "fixed": lambda: first,
            "uniform": lambda: self._chance.uniform(first, second[0]),
            "log": lambda: self._chance.lognormvariate(math.log(first), second[0]),
        }
        draw = draws[kind]
        self._after, self._delay = False, (lambda: draw() / 1000) if first else None

    def _be_late(self, words: str) -> None:
        self._be_slow(words)
        self._after = True

    def _be_freeze(self) -> None:
        self._frozen = self._frozen or anyio.Event()

    def _be_thaw(self) -> None:
        if self._frozen is not None:
            self._frozen.set()
            self._frozen = None

    def _be_mute(self) -> None:
        self._mute = True

    def _be_speak(self) -> None:
        self._mute = False

    def _be_refuse(self) -> None:
        self._open = False
        anyio.notify_closing(self._listener)
        self._listener.close()
        self._reset()

    def _be_accept(self) -> None:
        if not self._open:
            if self._listener.fileno() < 0:
                self._listener = listen(self.port)
            self._open = True

    def _be_close(self) -> None:
        for guest in self._guests:
            guest.peer.scope.cancel()

    def _be_restart(self, words: str) -> None:
        self._scripts.clear()
        kind, *ms = words.split()
        if kind == "empty":
            for key in list(self.data.held):
                self.data.put(key, None, self.now())
        else:
            self.data.back_to(self.now() - int(ms[0]))
        self._reset()

    def _be_lose(self, ms: str) -> None:
        self.data.back_to(self.now() - int(ms))

    def _be_cut(self, number: str) -> None:
        self._cut = int(number)

    def _be_twice(self, number: str) -> None:
        self._twice = int(number)

    def _be_junk(self, number: str) -> None:
        self._junk = int(number)

    def _be_answer(self, kind: str) -> None:
        self._error = "" if kind == "-" else kind

    def _be_forget(self) -> None:
        self._scripts.clear()

    def _be_spoil(self, key: str) -> None:
        self.data.put(key.encode(), (["a list"], None), self.now())

    def _be_clock(self, ms: str) -> None:
        self._shift += int(ms)

    def _be_follow(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        self._primary = (host, int(port))
        self._tasks.start_soon(self._follow, host, int(port))

    def _be_lag(self, ms: str) -> None:
        self._lag = int(ms)

    def _be_promote(self) -> dict:
        self._copied()
        lost = len(self._coming)
        self._coming.clear()
        self._following.cancel()
        self._primary = None
        return {"lost": lost}

    def _be_copy(self, ms: str = "0") -> list[dict]:
        former = Data()
        former.held, former._before = dict(self.data.held), self.data._before.copy()
        former.back_to(self.now() - int(ms))
        return [_shown(0, key, entry) for key, entry in former.held.items()]

    def _be_load(self, told: str) -> None:
        for one in json.loads(told):
            self.data.put(bytes.fromhex(one["key"]), _entry(one), self.now())

    def _be_account(self, words: str = "") -> dict:
        told = {
            "counts": dict(sorted(self._counts.items())),
            "connections": len(self._guests),
            "made": self._numbers,
            "keys": len(self.data.held),
        }
        return told | {"all": list(self._account)} if words == "all" else told

    def _be_clear(self) -> None:
        self._account.clear()
        self._counts.clear()

    def _be_stop(self) -> None:
        self._tasks.cancel_scope.cancel()


def _line(told: Any) -> bytes:
    return json.dumps(told).encode() + b"\n"


def _shown(at: int, key: bytes, entry: tuple[bytes | list, int | None] | None) -> dict:
    told: dict[str, Any] = {"at": at, "key": key.hex()}
    if entry is not None:
        told |= {"value": entry[0].hex() if isinstance(entry[0], bytes) else entry[0], "expires": entry[1]}
    return told


def _entry(told: dict) -> tuple[bytes | list, int | None] | None:
    if "value" not in told:
        return None
    value = told["value"]
    return (bytes.fromhex(value) if isinstance(value, str) else value), told["expires"]


class StoreProcess:
    """One as a process: started, told what happens to it, stopped, killed, started again at the same port."""

    def __init__(self, *words: str) -> None:
        """`words`: of the command line."""
        self._words = words
        self.port = self.control = 0
        self.start()

    def start(self, copy: list[dict] | None = None) -> None:
        """`copy`: what it holds from the first moment on, as `tell("copy 10000")` has told it."""
        at = ["--port", str(self.port)] if self.port else []
        closed = ["--closed"] if copy is not None else []
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cresstray.emulators.store", *at, *closed, *self._words],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        told = json.loads(self.process.stdout.readline())
        self.port, self.control = told["port"], told["control"]
        if copy is not None:
            self.tell(f"load {json.dumps(copy)}")
            self.tell("accept")

    def tell(self, line: str) -> Any:
        with socket.create_connection(("127.0.0.1", self.control), 10) as made, made.makefile("rwb") as file:
            file.write(line.encode() + b"\n")
            file.flush()
            told = json.loads(file.readline())
        if isinstance(told, dict) and "error" in told:
            raise ValueError(f"{line}: {told['error']}")
        return told

    def kill(self) -> None:
        self.process.kill()
        self.stop()

    def stop(self) -> None:
        self.process.stdin.close()
        self.process.wait(10)
        self.process.stdout.close()

    def __enter__(self) -> StoreProcess:
        return self

    def __exit__(self, *_: object) -> None:
        if self.process.poll() is None:
            self.kill()


async def _until_left(store: Store) -> None:
    """Danger: one whose maker was killed would stay for ever."""
    await anyio.wait_readable(sys.stdin)
    store._tasks.cancel_scope.cancel()


async def _main(given: Any) -> None:
    contexts = None
    if given.tls:
        from cresstray.config.operator import Tls
        from cresstray.sites.tls import Contexts

        contexts = Contexts(Tls(*given.tls))
    store = Store(given.port, given.password, given.old, given.closed, given.seed, contexts)
    print(json.dumps({"port": store.port, "control": store.control}), flush=True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_until_left, store)
        await store.run()
        tasks.cancel_scope.cancel()


def main() -> None:
    import argparse

    words = argparse.ArgumentParser(
        prog="python -m cresstray.emulators.store",
        description=FAULTS,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    words.add_argument("--port", type=int, default=0)
    words.add_argument("--password", default="")
    words.add_argument("--old", action="store_true", help="knows no HELLO, as before RESP3")
    words.add_argument("--closed", action="store_true", help="refuses connections until `accept`")
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--tls", nargs=3, metavar="PEM", help="authority, certificate, key")
    anyio.run(partial(_main, words.parse_args()))


if __name__ == "__main__":
    main()
