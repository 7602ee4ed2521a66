"""Connections to the store of marks: a few, to its primary, made again and again; each pipelined.

The only file of this package with sockets. Nothing is sent twice by itself, but a script that the store does
not know. Every submission has its time limit, and its caller hears once, by then.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections import deque
from collections.abc import Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING, Protocol

import anyio
from anyio.abc import TaskGroup

from cresstray.clock import Clock, Timers
from cresstray.idempotency import codec
from cresstray.idempotency.codec import BrokenError, Command, Greeted, GreetError, Kind, Refused, Reply
from cresstray.idempotency.in_flight import Asked, Flight, Pause, Places, Replies
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.transport.streams import CONNECTION_ENDED, SocketStream, connect, faults_contained

if TYPE_CHECKING:
    from cresstray.config.idempotency import Store, StoreTls

# One that is cut or waits for a lost packet leaves the other; a gateway's marks fit on one.
_CONNECTIONS = 2
# Submissions out on one: a store that takes 1 ms a round trip serves 256,000 a second so.
_MOST_OUT = 256
# Submissions that wait for a connection, and bytes of all that somebody waits for.
# Danger: while the store is away each would be kept until its time is over.
_MOST_WAITING, _MOST_BYTES = 1024, 2 * 1024 * 1024
# Bytes that the kernel did not take yet; a connection with more gets nothing until they have left.
_MOST_UNWRITTEN = 256 * 1024
# Microseconds. No submission is open longer, so whoever waited for what is out has gone: nothing is to be had
# of a connection that has said nothing for so long.
_SILENT = 3_000_000
# Seconds: a connection, TLS and the greeting, each at the longest round trip that is of any use to a
# submission.
_GREETING = 1.0
# What the network has taken and not delivered for so long is lost; without this the kernel tries for minutes.
_UNDELIVERED_MS = 2000


class _Channel(Protocol):
    def write(self, message: bytes) -> object: ...
    async def receive(self) -> bytes: ...


class _Names:
    """The store's certificate is verified against its authority and its host's name. For halls.tls.Sealed."""

    def __init__(self, files: StoreTls, host: str) -> None:
        """OSError where a file can't be used."""
        self._host = host
        try:
            self._context = ssl.create_default_context(cafile=files.authority)
            self._context.minimum_version = ssl.TLSVersion.TLSv1_2  # what managed stores still offer
            if files.certificate:
                self._context.load_cert_chain(files.certificate, files.key)
        except OSError as trouble:
            raise OSError(f"keys of the store, one of {files}: {trouble}") from None

    @property
    def near(self) -> _Names:
        return self

    def wrap_bio(self, coming: ssl.MemoryBIO, going: ssl.MemoryBIO, server_side: bool) -> ssl.SSLObject:
        return self._context.wrap_bio(coming, going, server_side, self._host)


class _Link:
    """One greeted connection to the primary."""

    def __init__(
        self, at: int, line: SocketStream, channel: _Channel, scope: anyio.CancelScope, now: int
    ) -> None:
        self.at, self.line, self.channel, self._scope, self.since = at, line, channel, scope, now
        self.flight = Flight(_MOST_OUT)
        self.open = self.counted = True
        self.why = ""

    def room(self) -> bool:
        return self.open and self.flight.room() and len(self.line.unsent) < _MOST_UNWRITTEN

    def write(self, message: bytes, fresh: Sequence[Asked] = ()) -> None:
        """What was begun, in one piece. Where none of it has left, the link ends."""
        # Danger: what is written to a link that the other side has closed is lost, and may have run.
        if len(self.flight) == len(fresh) and self.line.has_ended():
            self.end("closed by the store")
            return
        try:
            left = self.channel.write(message) is not False
        except OSError:  # of TLS: some of it may have left
            left = True
            self.end("broken")
        for asked in fresh:
            asked.written = left

    def has_ended(self) -> bool:
        """False where all of the client ends."""
        return self._scope.cancel_called

    def end(self, why: str) -> None:
        """Only the first reason is told."""
        self.open, self.why = False, self.why or why
        self._scope.cancel()


def check(given: Store) -> None:
    """OSError where a file that it names can't be used."""
    if given.tls:
        _Names(given.tls, given.addresses[0][0])
    if given.password:
        with open(given.password, "rb") as file:
            if not file.readline(4096).strip():
                raise OSError(f"no password in {given.password}")


class Client:
    """Asks the store; `look` is to be called once each `EVERY` microseconds while `run` runs."""

    EVERY = 1_000_000

    def __init__(
        self,
        given: Store,
        chance: Callable[[], float],
        clock: Clock,
        timers: Timers,
        counters: Counters,
        log: Log,
    ) -> None:
        """OSError where a file for TLS can't be used."""
        self._given, self._chance, self._clock, self._timers = given, chance, clock, timers
        self._counters, self._log = counters, log
        self._places = Places(given.addresses)
        self._names = [_Names(given.tls, host) if given.tls else None for host, _ in given.addresses]
        self._links: list[_Link] = []
        self._waiting: deque[Asked] = deque()
        self._bytes = 0  # of all that somebody waits for
        self._flushes = self._over = False
        self._trouble: dict[int, str] = {}  # by address, as last told
        self._tasks: TaskGroup

    def ready(self) -> bool:
        """Whether the primary is known and connected to."""
        return any(link.open for link in self._links)

    def submit(self, commands: Sequence[Command], by: int, call: Callable[[Replies | None], None]) -> Asked:
        """`call` is made once, by `by` (the clock's time), never within this, with a reply for each command.

        Or with None: no reply came. Where `written` of what is returned is False by then, nothing of it has
        run, or will; else it is not known. The commands run in order, but for a script that the store had
        forgotten: it runs after those behind it.
        """
        asked = Asked(commands, by, call)
        self._counters.add("store: submissions")
        full = len(self._waiting) >= _MOST_WAITING or self._bytes + asked.size > _MOST_BYTES
        self._bytes += asked.size
        if full or self._over:
            self._counters.add("store: refused, too much waits" if full else "store: refused at the end")
            asyncio.get_running_loop().call_soon(self._finish, asked, None)
            return asked
        asked.due = self._timers.call_after(by - self._clock.now(), partial(self._late, asked))
        self._waiting.append(asked)
        self._flush_soon()
        return asked

    def look(self, now: int) -> None:
        """Ends links that say nothing, and asks each for its role: a primary may have become a copy."""
        for link in list(self._links):
            if len(link.flight) and now - link.flight.since > _SILENT:
                self._counters.add("store: links silent")
                link.end("silent")
            elif link.room():
                asked = Asked([codec.role()], now + _SILENT, partial(self._role_told, link))
                self._bytes += asked.size
                link.write(link.flight.begin(asked, now), [asked])

    def _role_told(self, link: _Link, replies: Replies | None) -> None:
        if replies and type(replies[0]) is not Refused and not codec.is_primary(replies[0]):
            self._demoted(link, "a copy now")

    async def run(self) -> None:
        """Until it is cancelled; all that wait then hear None."""
        try:
            async with anyio.create_task_group() as self._tasks:
                for _ in range(_CONNECTIONS):
                    self._tasks.start_soon(self._hold)
        finally:
            self._over = True
            while self._waiting:
                self._finish(self._waiting.popleft(), None)

    def _flush_soon(self) -> None:
        if not self._flushes:
            self._flushes = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        """What was submitted in one turn of the loop leaves in one piece for each link."""
        self._flushes = False
        now = self._clock.now()
        begun: dict[_Link, list[Asked]] = {}
        messages: dict[_Link, bytearray] = {}
        while self._waiting:
            link = min(filter(_Link.room, self._links), key=lambda one: len(one.flight), default=None)
            if link is None:
                break
            asked = self._waiting.popleft()
            if asked.by > now:  # else its call is due
                messages.setdefault(link, bytearray()).extend(link.flight.begin(asked, now))
                begun.setdefault(link, []).append(asked)
        for link, fresh in begun.items():
            link.write(bytes(messages[link]), fresh)

    def _late(self, asked: Asked, _now: int) -> None:
        self._counters.add("store: no reply in time" if asked.written else "store: not sent in time")
        if not asked.written and asked in self._waiting:
            self._waiting.remove(asked)
        self._finish(asked, None)

    def _finish(self, asked: Asked, replies: Replies | None) -> None:
        call = asked.call
        if call is None:
            return
        if asked.due is not None:
            asked.due.cancel()
        self._bytes -= asked.size
        asked.drop()
        with faults_contained("a reply of the store", self._counters, self._log):
            call(replies)

    async def _hold(self) -> None:
        """One connection, made again for ever."""
        pause = Pause(self._chance)
        while True:
            lived = 0
            for at in self._places.order():
                with faults_contained("a link to the store", self._counters, self._log):
                    lived = await self._one(at)
                if lived:
                    break
            await anyio.sleep(pause.after(lived) / 1e6)

    async def _one(self, at: int) -> int:
        """A connection to this address; for how many microseconds it was used, 0 where it was not."""
        link: _Link | None = None
        with anyio.CancelScope() as scope:
            try:
                with anyio.fail_after(_GREETING):
                    made = await self._connect(*self._given.addresses[at])
            except (OSError, TimeoutError) as trouble:
                self._tell(at, f"can't be reached: {trouble!r}")
                return 0
            with SocketStream(made, self._tasks, scope.cancel) as line:
                try:
                    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNDELIVERED_MS)
                    with anyio.fail_after(_GREETING):
                        channel, reader, greeted = await self._greet(at, line)
                except (*CONNECTION_ENDED, TimeoutError, BrokenError, GreetError) as trouble:
                    self._counters.add("store: links refused")
                    self._tell(at, f"not greeted: {trouble!r}")
                    return 0
                if not self._places.found(at, greeted.primary):
                    self._tell(at, "a second primary" if greeted.primary else "a copy")
                    return 0
                link = _Link(at, line, channel, scope, self._clock.now())
                await self._use(link, reader, greeted)
        if link is None:
            self._tell(at, "broken while it was greeted")
            return 0
        return max(1, self._clock.now() - link.since)

    async def _connect(self, host: str, port: int) -> socket.socket:
        # Danger: a name is looked up by the kernel's resolver, for seconds at times, and would stop the loop.
        found = await anyio.getaddrinfo(host, port, family=socket.AF_INET, type=socket.SOCK_STREAM)
        return await connect(*found[0][4])

    async def _greet(self, at: int, line: SocketStream) -> tuple[_Channel, codec.Reader, Greeted]:
        channel: _Channel = line
        if self._names[at] is not None:
            from cresstray.sites.tls import Sealed

            channel = Sealed(line, self._names[at], False)
            await channel.shake_hands()
        talk = codec.greeting(self._given.user, await self._password())
        reader, commands = codec.Reader(), next(talk)
        while True:
            channel.write(b"".join(codec.pack(command.words) for command in commands))
            replies: Replies = []
            while len(replies) < len(commands):
                replies += reader.feed(await channel.receive())
            fit = [type(reply) is Refused or command.fits(reply) for command, reply in zip(commands, replies)]
            if len(replies) > len(commands) or not all(fit):
                raise BrokenError(f"an answer to a greeting: {str(replies)[:60]}")
            try:
                commands = talk.send(replies)
            except StopIteration as over:
                return channel, reader, over.value

    async def _password(self) -> bytes:
        """Read for each connection, so that it can be changed."""
        path = self._given.password
        if not path:
            return b""

        def first_line() -> bytes:
            with open(path, "rb") as file:
                return file.readline(4096).strip()

        # Danger: a disk that hangs would stop the loop, and the gateway's end.
        password = await anyio.to_thread.run_sync(first_line, abandon_on_cancel=True)
        if not password:
            raise GreetError(f"no password in {path}")
        return password

    async def _use(self, link: _Link, reader: codec.Reader, greeted: Greeted) -> None:
        if not self._links:
            self._log.log("store", f"{self._name(link.at)} is the primary, RESP{greeted.protocol}")
        self._trouble.clear()
        self._counters.add("store: links made")
        self._links.append(link)
        self._flush_soon()
        try:
            while True:
                replies = reader.feed(await link.channel.receive())
                now = self._clock.now()
                for reply in replies:
                    self._took(link, reply, now)
                if self._waiting:
                    self._flush_soon()
        except BrokenError as trouble:
            self._counters.add("store: links spoilt")
            link.end(f"dropped: {trouble}")
        except CONNECTION_ENDED as trouble:
            link.end(repr(trouble))
        finally:
            self._gone(link)

    def _took(self, link: _Link, reply: Reply, now: int) -> None:
        asked, more = link.flight.took(reply, now)
        if more:
            self._counters.add("store: scripts sent whole")
            link.write(more)
        if type(reply) is Refused:
            self._counters.add(f"store: {reply.kind.value}")
            if reply.kind in (Kind.READONLY, Kind.LOADING):
                self._demoted(link, reply.text)
        if asked is not None:
            # Danger: a process that was stopped for long reads what has come before its timers run.
            if now > asked.by:
                self._late(asked, now)
            else:
                self._finish(asked, asked.replies)

    def _demoted(self, link: _Link, why: str) -> None:
        """No primary any more, by its own word: all links to it end."""
        if link.counted and self._places.demoted(link.at):
            self._counters.add("store: primaries lost")
            for one in self._links:
                one.counted = False
                one.end(why)

    def _gone(self, link: _Link) -> None:
        link.open = False
        self._links.remove(link)
        if link.counted:
            self._places.ended(link.at)
        self._counters.add("store: links ended")
        if link.has_ended():
            self._tell(link.at, link.why or "broken")
        left = link.flight.end()
        for asked in left:
            if asked.written or asked.due is None:  # the latter: asks for the role of this link only
                self._finish(asked, None)
        self._waiting.extendleft(asked for asked in reversed(left) if asked.call is not None)
        if self._waiting:
            self._flush_soon()

    def _name(self, at: int) -> str:
        return "{}:{}".format(*self._given.addresses[at])

    def _tell(self, at: int, why: str) -> None:
        if self._trouble.get(at) != why:
            self._trouble[at] = why
            self._log.log("store", f"{self._name(at)}: {why}")
