"""A stand-in engine with a disk: `python -m cresstray.emulators.shards`. It keeps an account of its own.

`Shelf` is its disk, without sockets and clock; `ShardEngine` puts it behind the engine's port. What is copied
are runs of bytes told by their length: counted and paced, not sent. A statement that names tables of a schema
such as `sales_17` reads shard 17; with `write` in place of `run` it writes it, on the primary only.
"""

from __future__ import annotations

import json
import os
import signal
import time
from collections import deque
from collections.abc import Callable, Mapping

import anyio
import click
import hiredis
import msgspec
from anyio.abc import TaskGroup

from cresstray import tables
from cresstray.emulators.account import Account
from cresstray.emulators.engine import Engine, Marks, _Job
from cresstray.emulators.sockets import Peer, listen
from cresstray.transport import streams

# Fetched at once: a twentieth of a second of its rate, fine enough for short tests.
_BEAT = 50_000
# What may be reported in `load`, by the codec's bound.
_MOST = 999_999


class RefusedError(Exception):
    """The word that is answered."""


class Held(msgspec.Struct):
    """A shard, or a part of one, on a disk."""

    bytes: int
    whole: bool = True
    follows: bool = False
    primary: bool = False
    epoch: int = 1
    applied: int = 0
    head: int = 0
    fence: int = 0
    trouble: str = ""
    feed: str = ""  # host:port it is copied from, or followed
    rate: int = 0
    keep: int = 0  # it is copied while so many bytes are left free
    growth: int = 0  # bytes a second while it is the primary
    since: int = -1  # position of the feed when its copying began


class Counted(msgspec.Struct):
    """The disk's own account, in bytes and times."""

    copied_in: int = 0
    copied_out: int = 0
    again: int = 0  # of those that came in, what had been here before
    dropped: int = 0
    headroom_broken: int = 0
    least_free: int = 2**62
    refused_old: int = 0  # commands under an older number
    writes: int = 0
    refused_writes: int = 0


class _Kept(msgspec.Struct):
    shards: dict[str, Held]
    fences: dict[str, int]
    had: dict[str, int]
    counted: Counted


class Shelf:
    """All times in whole microseconds, handed in."""

    def __init__(self, engine: str, zone: str, disk: int, headroom: int, pace: int, now: int) -> None:
        self.engine, self.zone, self.disk, self.headroom, self.pace = engine, zone, disk, headroom, pace
        self.shards: dict[str, Held] = {}
        self.fences: dict[str, int] = {}  # the highest number seen of each shard, kept when it is dropped
        self.had: dict[str, int] = {}  # the most of each shard's bytes that came in by one copying
        self.counted = Counted()
        self.other, self.lag, self.lie, self.slow, self.closed = 0, 0, 0, 1.0, False  # faults
        self.reads: dict[str, int] = {}
        self._heads: dict[str, deque[tuple[int, int]]] = {}
        self._at, self._part, self._broken = now, 0.0, False
        self._tokens: dict[str, float] = {}

    @property
    def free(self) -> int:
        return self.disk - self.other - sum(held.bytes for held in self.shards.values())

    def advance(self, now: int) -> None:
        passed, self._at = now - self._at, now
        for held in self.shards.values():
            if held.primary and held.growth:
                self._part += held.growth * passed / 1e6
                grown, self._part = int(self._part), self._part % 1
                held.bytes += grown
        for name, held in self.shards.items():
            if not held.whole and held.feed and not held.trouble:
                most = held.rate * 0.2
                came = held.rate * self.slow * passed / 1e6
                self._tokens[name] = min(most, self._tokens.get(name, 0.0) + came)
        self._look()

    def _look(self) -> None:
        free = self.free
        self.counted.least_free = min(self.counted.least_free, free)
        broken = free < self.headroom
        self.counted.headroom_broken += broken and not self._broken
        self._broken = broken

    def told(self, load: dict[str, float]) -> dict:
        """The answer to SHARDS."""
        copies = {
            name: {
                "bytes": held.bytes,
                "whole": held.whole,
                "follows": held.follows,
                "primary": held.primary,
                "epoch": held.epoch,
                "applied": held.applied + self.lie,
                "head": held.head,
                "fence": self.fences.get(name, 0),
                "reads": self.reads.get(name, 0),
                "trouble": held.trouble,
            }
            for name, held in sorted(self.shards.items())
        }
        return {
            "zone": self.zone,
            "disk": self.disk,
            "free": self.free,
            "headroom": self.headroom,
            "pace": self.pace,
            **load,
            "copies": copies,
            "numbers": self.fences,
        }

    # Commands: each may come twice, and late.

    def _numbered(self, shard: str, fence: int) -> None:
        if fence < self.fences.get(shard, 0):
            self.counted.refused_old += 1
            raise RefusedError("older")
        self.fences[shard] = fence

    def copy(self, shard: str, fence: int, feed: str, offset: int, rate: int, keep: int) -> int:
        """Goes on with what is here of it, whatever `offset` the log knows; where it goes on."""
        self._numbered(shard, fence)
        held = self.shards.get(shard)
        if held is None:
            held = self.shards[shard] = Held(0, whole=False)
        if held.primary:
            raise RefusedError("primary")
        held.feed, held.rate, held.keep, held.fence = feed, rate, keep, fence
        held.trouble = ""
        return held.bytes

    def follow(self, shard: str, fence: int, feed: str, epoch: int) -> int:
        held = self._whole(shard, fence)
        if held.primary:
            raise RefusedError("primary")
        held.follows, held.feed, held.epoch = True, feed, max(held.epoch, epoch)
        return held.applied

    def _whole(self, shard: str, fence: int) -> Held:
        held = self.shards.get(shard)
        if held is None or not held.whole:
            raise RefusedError("nothing")
        self._numbered(shard, fence)
        return held

    def switch(self, shard: str, fence: int, epoch: int, primary: str, feed: str) -> int:
        held = self._whole(shard, fence)
        if epoch < held.epoch:
            raise RefusedError("older")
        held.epoch = epoch
        if primary == self.engine:
            if not held.primary:
                held.primary, held.follows, held.feed = True, False, ""
                held.head = held.applied
        else:
            held.primary = False
            if feed:
                held.follows, held.feed = True, feed
        return held.head

    def drop(self, shard: str, fence: int) -> int:
        """Also for a part of one; dropped twice, once."""
        held = self.shards.get(shard)
        self._numbered(shard, fence)
        if held is None:
            return 0
        if held.primary:
            raise RefusedError("primary")
        if self.reads.get(shard):
            raise RefusedError("busy")
        del self.shards[shard]
        for kept in (self._tokens, self._heads, self.had):
            kept.pop(shard, None)
        self.counted.dropped += held.bytes
        self._look()
        return held.bytes

    # Copying: the target asks, the feed gives.

    def wanted(self) -> list[tuple[str, str, int, int]]:
        """Shard, feed, offset and bytes of what is to be fetched now."""
        return [
            (name, held.feed, held.bytes, int(self._tokens.get(name, 0)))
            for name, held in sorted(self.shards.items())
            if not held.whole and held.feed and not held.trouble and self._tokens.get(name, 0) >= 1
        ]

    def give(self, shard: str, offset: int, most: int) -> tuple[int, int, int, int, int]:
        """Bytes given, all there are, position, epoch, growth; RefusedError where it has no whole one."""
        held = self.shards.get(shard)
        if held is None or not held.whole or self.closed:
            raise RefusedError("nothing")
        given = max(0, min(most, held.bytes - offset))
        self.counted.copied_out += given
        return given, held.bytes, held.applied, held.epoch, held.growth

    def fetched(
        self, shard: str, offset: int, given: int, size: int, position: int, epoch: int, growth: int
    ) -> None:
        held = self.shards.get(shard)
        if held is None or held.whole or held.bytes != offset:
            return  # dropped, or begun anew meanwhile
        if given > self.free - held.keep:
            held.trouble = "full"
            return
        if held.since < 0:
            held.since = position
        held.bytes += given
        self._tokens[shard] -= given
        self.counted.copied_in += given
        self.counted.again += max(0, min(held.bytes, self.had.get(shard, 0)) - offset)
        self.had[shard] = max(self.had.get(shard, 0), held.bytes)
        if held.bytes >= size:
            held.whole, held.applied, held.epoch, held.growth = True, held.since, epoch, growth
            held.head = max(held.head, position)
        self._look()

    def stopped(self, shard: str, why: str) -> None:
        held = self.shards.get(shard)
        if held is not None and not held.whole:
            held.trouble = why

    def followers(self) -> list[tuple[str, str]]:
        return [
            (name, held.feed)
            for name, held in sorted(self.shards.items())
            if held.whole and held.follows and held.feed
        ]

    def head(self, shard: str) -> tuple[int, int, int, bool]:
        """Position, epoch, bytes, and whether it is the primary."""
        held = self.shards.get(shard)
        if held is None or not held.whole or self.closed:
            raise RefusedError("nothing")
        return held.head if held.primary else held.applied, held.epoch, held.bytes, held.primary

    def followed(self, shard: str, head: int, epoch: int, size: int, now: int) -> None:
        held = self.shards.get(shard)
        if held is None or not held.follows or held.primary:
            return
        if size - held.bytes > self.free:
            held.trouble = "full"
            return
        heads = self._heads.setdefault(shard, deque())
        heads.append((now, head))
        held.head, held.epoch = max(held.head, head), max(held.epoch, epoch)
        while heads and heads[0][0] <= now - self.lag:
            held.applied = max(held.applied, heads.popleft()[1])
        held.bytes = max(held.bytes, size)
        self._look()

    def written(self, shard: str, size: int = 0) -> bool:
        """One write; False where this is not its primary."""
        held = self.shards.get(shard)
        if held is None or not held.primary:
            self.counted.refused_writes += 1
            return False
        held.head = min(_MOST, held.head + 1)
        held.applied = held.head
        held.bytes += size
        self.counted.writes += 1
        self._look()
        return True

    def dump(self) -> bytes:
        return msgspec.json.encode(_Kept(self.shards, self.fences, self.had, self.counted))

    def restore(self, data: bytes) -> None:
        kept = msgspec.json.decode(data, type=_Kept)
        self.shards, self.fences, self.had, self.counted = kept.shards, kept.fences, kept.had, kept.counted


def passed_on(shelf: Shelf, shelves: Mapping[str, Shelf], up: Callable[[str], bool], now: int) -> None:
    """What a disk copies and follows, without sockets: straight from the others, as far as they are `up`."""
    for shard, feed, offset, most in shelf.wanted():
        try:
            if not up(feed):
                raise RefusedError
            shelf.fetched(shard, offset, *shelves[feed].give(shard, offset, most))
        except RefusedError:
            shelf.stopped(shard, "source")
    for shard, feed in shelf.followers():
        try:
            if up(feed):
                head, epoch, size, _ = shelves[feed].head(shard)
                shelf.followed(shard, head, epoch, size, now)
        except RefusedError:
            pass


class ShardEngine(Engine):
    """An engine with a shelf; its state is in `path`, written before a command is answered, and each beat."""

    def __init__(
        self, shelf: Shelf, cores: int, path: str, port: int = 0, now: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__(shelf.engine, cores, Marks(10.0), Account({}, 3, (1, 0.1, 10.0)), now=now)
        if port:
            self._listener.close()
            self._listener = listen(port)
            self.port = port
        self.shelf, self._path, self._written = shelf, path, b""
        # What it took and what it answered outlives it: one line is one write, a second of CPU for 100,000.
        self._journal = open(f"{path}.answers", "ab", buffering=0) if path else None  # noqa: SIM115
        self._shard_of: dict[_Job, tuple[str, bool]] = {}
        self._about = ""
        self._lines: dict[str, _Fetcher] = {}

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(super().run)
            while True:
                await anyio.sleep(_BEAT / 1e6)
                self.shelf.advance(self._micros())
                for shard, feed, offset, most in self.shelf.wanted():
                    self._fetcher(feed, tasks).fetch(shard, offset, most)
                for shard, feed in self.shelf.followers():
                    self._fetcher(feed, tasks).head(shard)
                self._save()

    def _micros(self) -> int:
        return int(self._now() * 1e6)

    def _fetcher(self, feed: str, tasks: TaskGroup) -> _Fetcher:
        fetcher = self._lines.get(feed)
        if fetcher is None:
            fetcher = self._lines[feed] = _Fetcher(self, feed)
            tasks.start_soon(fetcher.run)
        return fetcher

    def fetcher_ended(self, fetcher: _Fetcher) -> None:
        self._lines.pop(fetcher.feed, None)
        for name, held in self.shelf.shards.items():
            if held.feed == fetcher.feed and not held.whole:
                self.shelf.stopped(name, "source")

    def _save(self) -> None:
        data = self.shelf.dump()
        if self._path and data != self._written:
            with open(self._path + ".new", "wb") as file:
                file.write(data)
            os.replace(self._path + ".new", self._path)
            self._written = data

    # What comes.

    def _take(self, peer: Peer, command: bytes, *words: bytes) -> None:
        name = command.decode("ascii", "replace")
        act = self._COMMANDS.get(name)
        if act is None:
            super()._take(peer, command, *words)
            return
        self.shelf.advance(self._micros())
        try:
            told = act(self, *(word.decode() for word in words))
        except RefusedError as refused:
            told = {"refused": str(refused)}
        except (TypeError, ValueError, KeyError) as trouble:
            told = {"refused": f"not understood: {trouble}"}
        if name not in ("SHARDS", "GIVE", "HEAD", "ACCOUNT"):
            self._save()  # before it is told
        if not self.silent:
            body = msgspec.json.encode(told)
            peer.line.write(b"$%d\r\n%s\r\n" % (len(body), body))

    def _tell(self) -> dict:
        self._advance()
        return self.shelf.told(
            {"cores": self.cores, "util": round(self._busy, 3), "inflight": len(self._jobs)}
        )

    def _copy(self, shard: str, *words: str) -> dict:
        given = _pairs(words)
        at = self.shelf.copy(
            shard, int(given["MOVE"]), given["FROM"], int(given["AT"]), int(given["RATE"]), int(given["KEEP"])
        )
        return {"at": at}

    def _follow(self, shard: str, *words: str) -> dict:
        given = _pairs(words)
        return {"applied": self.shelf.follow(shard, int(given["MOVE"]), given["FROM"], int(given["EPOCH"]))}

    def _switch(self, shard: str, *words: str) -> dict:
        given = _pairs(words)
        return {
            "head": self.shelf.switch(
                shard, int(given["MOVE"]), int(given["EPOCH"]), given["PRIMARY"], given["FROM"]
            )
        }

    def _drop_shard(self, shard: str, *words: str) -> dict:
        return {"dropped": self.shelf.drop(shard, int(_pairs(words)["MOVE"]))}

    def _copied(self, shard: str) -> dict:
        held = self.shelf.shards.get(shard)
        return {"bytes": held.bytes if held is not None else 0, "whole": held is not None and held.whole}

    def _give(self, shard: str, offset: str, most: str) -> dict:
        return {"given": self.shelf.give(shard, int(offset), int(most))}

    def _head(self, shard: str) -> dict:
        return {"head": self.shelf.head(shard)}

    def _tell_account(self) -> dict:
        return account(self)

    def _fault(self, what: str, value: str) -> dict:
        """other=BYTES, lag=MICROSECONDS, lie=POSITIONS, slow=FACTOR, closed=0|1, silent=0|1."""
        if what in ("other", "lag", "lie"):
            setattr(self.shelf, what, int(value))
        elif what == "slow":
            self.shelf.slow = float(value)
        elif what == "closed":
            self.shelf.closed = value == "1"
        elif what == "silent":
            self.silent = value == "1"
        else:
            raise RefusedError(f"no fault {what}")
        self.shelf.advance(self._micros())
        return {"fault": what}

    _COMMANDS = {
        "SHARDS": _tell,
        "COPY": _copy,
        "COPIED": _copied,
        "FOLLOW": _follow,
        "SWITCH": _switch,
        "DROP": _drop_shard,
        "CANCEL": _drop_shard,
        "GIVE": _give,
        "HEAD": _head,
        "ACCOUNT": _tell_account,
        "FAULT": _fault,
    }

    # Statements.

    def _ask(self, peer: Peer, name: bytes, fields: bytes, statement: bytes) -> None:
        text = statement.decode()
        plain = _bare(text)
        group = tables.find_table_group(text)
        shard, writes = str(group) if group else "", plain.startswith("write")
        held = self.shelf.shards.get(shard)
        self._about = shard
        if shard and (held is None or not held.whole or writes and not held.primary):
            self.got += 1
            self.shelf.counted.refused_writes += writes
            self._say(peer, name, "crashed", self._load(), "")
            return
        before = len(self._jobs)
        super()._ask(peer, name, fields, plain.encode())
        if shard and len(self._jobs) > before:
            self._note("took", name, shard, writes)
            self._shard_of[self._jobs[-1]] = shard, writes
            self.shelf.reads[shard] = self.shelf.reads.get(shard, 0) + 1

    def _ended(self, job: _Job) -> tuple[str, bool]:
        shard, writes = self._shard_of.pop(job, ("", False))
        if shard:
            self.shelf.reads[shard] -= 1
            if not self.shelf.reads[shard]:
                del self.shelf.reads[shard]
        return shard, writes

    def _drop(self, job: _Job) -> None:
        self._ended(job)
        super()._drop(job)

    def _serve_result(self, job: _Job) -> None:
        self._about, writes = self._ended(job)
        if writes and self._about and not self.shelf.written(self._about):
            # It lost its primary's place while this ran; nothing of it stays.
            job.run.effect = False
            self._note("refused", job.name, self._about, writes)
            self._say(job.peer, job.name, "crashed", self._load(), "")
            return
        if self._about:
            # Danger: what it has told must be there after a kill, or its own fault would look like another's.
            self._save()
            self._note("answered", job.name, self._about, writes)
        super()._serve_result(job)

    def _note(self, what: str, name: bytes, shard: str, writes: bool) -> None:
        """One line of its account: when (seconds), and how far this copy was then."""
        held = self.shelf.shards.get(shard)
        if self._journal is not None and held is not None:
            self._journal.write(
                msgspec.json.encode(
                    (
                        what,
                        name.decode(),
                        self._now(),
                        shard,
                        writes,
                        held.epoch,
                        held.head if held.primary else held.applied,
                        held.primary,
                    )
                )
                + b"\n"
            )

    def _load(self) -> str:
        load, held = super()._load(), self.shelf.shards.get(self._about)
        if held is None:
            return load
        return (
            f"{load};shard:{min(_MOST, int(self._about))};epoch:{min(_MOST, held.epoch)};"
            f"applied:{min(_MOST, held.applied + self.shelf.lie)};head:{min(_MOST, held.head)}"
        )


class _Fetcher:
    """One connection to another engine, for all shards that come from there."""

    def __init__(self, engine: ShardEngine, feed: str) -> None:
        self.feed, self._engine = feed, engine
        self._asked: deque[tuple[str, str, int]] = deque()
        self._line: streams.SocketStream | None = None

    def fetch(self, shard: str, offset: int, most: int) -> None:
        self._put("GIVE", shard, offset, most)

    def head(self, shard: str) -> None:
        self._put("HEAD", shard, 0)

    def _put(self, what: str, shard: str, offset: int, *more: int) -> None:
        if self._line is not None and not any(one[:2] == (what, shard) for one in self._asked):
            self._asked.append((what, shard, offset))
            words = [what, shard, *([str(offset)] if more else []), *map(str, more)]
            self._line.write(hiredis.pack_command(tuple(words)))

    async def run(self) -> None:
        host, _, port = self.feed.rpartition(":")
        try:
            with anyio.fail_after(1.0):
                made = await streams.connect(host, int(port))
            async with anyio.create_task_group() as tasks:
                with streams.SocketStream(made, tasks, tasks.cancel_scope.cancel) as self._line:
                    reader = hiredis.Reader()
                    while True:
                        reader.feed(await self._line.receive(5.0))
                        while (body := reader.gets()) is not False:
                            self._heard(json.loads(body))
        except (*streams.CONNECTION_ENDED, TimeoutError, ValueError):
            pass
        except BaseExceptionGroup as group:
            rest = group.split((*streams.CONNECTION_ENDED, TimeoutError, ValueError))[1]
            if rest is not None:
                raise rest from None
        finally:
            self._line = None
            self._engine.fetcher_ended(self)

    def _heard(self, told: dict) -> None:
        what, shard, offset = self._asked.popleft()
        shelf = self._engine.shelf
        if "refused" in told:
            if what == "GIVE":
                shelf.stopped(shard, "source")
        elif what == "GIVE":
            shelf.fetched(shard, offset, *told["given"])
        else:
            head, epoch, size, _ = told["head"]
            shelf.followed(shard, head, epoch, size, self._engine._micros())


def _pairs(words: tuple[str, ...]) -> dict[str, str]:
    return dict(zip(words[::2], words[1::2], strict=True))


def _bare(text: str) -> str:
    """A statement without a comment before it."""
    text = text.lstrip()
    while text.startswith("/*"):
        text = text.partition("*/")[2].lstrip()
    return text


def account(engine: ShardEngine) -> dict:
    """What the disk has to tell of itself, for whoever judges."""
    return {
        "engine": engine.label,
        "got": engine.got,
        "free": engine.shelf.free,
        **msgspec.to_builtins(engine.shelf.counted),
        "shards": msgspec.to_builtins(engine.shelf.shards),
    }


async def _main(engine: ShardEngine) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(engine.run)
        print(json.dumps({"engine": engine.label, "port": engine.port}), flush=True)
        with anyio.open_signal_receiver(signal.SIGUSR1, signal.SIGTERM) as signals:
            async for one in signals:
                print(json.dumps(account(engine)), flush=True)
                if one == signal.SIGTERM:
                    tasks.cancel_scope.cancel()
                    return


@click.command()
@click.option("--engine", required=True, help="Its name, such as s-0000002a.")
@click.option("--zone", default="")
@click.option("--folder", default="", help="Where its state is kept; without one it forgets.")
@click.option("--disk", default=10**12, show_default=True, help="Bytes.")
@click.option("--headroom", default=0, show_default=True, help="Bytes to be kept free.")
@click.option("--pace", default=10**8, show_default=True, help="Bytes a second.")
@click.option("--cores", default=8, show_default=True)
@click.option("--port", default=0)
@click.option(
    "--shard",
    "shards",
    multiple=True,
    help="NAME:BYTES[:GROWTH[:primary[:FEED]]], when its folder holds no state.",
)
def main(
    engine: str,
    zone: str,
    folder: str,
    disk: int,
    headroom: int,
    pace: int,
    cores: int,
    port: int,
    shards: tuple[str, ...],
) -> None:
    """Run one engine with a disk on loopback; it prints its port, and at its end its account."""
    shelf = Shelf(engine, zone, disk, headroom, pace, int(time.monotonic() * 1e6))
    path = os.path.join(folder, f"{engine}.json") if folder else ""
    if path and os.path.exists(path):
        with open(path, "rb") as file:
            shelf.restore(file.read())
    else:
        for given in shards:
            name, size, growth, primary, feed = (given.split(":", 4) + [""] * 4)[:5]
            shelf.shards[name] = Held(
                int(size),
                growth=int(growth or 0),
                primary=primary == "primary",
                follows=bool(feed),
                feed=feed,
            )
    anyio.run(_main, ShardEngine(shelf, cores, path, port))


if __name__ == "__main__":
    main()
