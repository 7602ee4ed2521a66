"""An engine that speaks RESP: cores shared by all that runs, load reports, a memory of marks, and death.

A statement says what it costs: `run WORK_MS THREADS PAGES`. Threads beyond the cores slow all down alike, and
total work falls off by a tenth for each thread a core beyond one and three quarters, half at the most: the
middle of what the users' engines are said to do.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable

import anyio
import hiredis
from anyio.abc import TaskGroup

from cresstray.emulators.account import Account, Run
from cresstray.emulators.sockets import Peer, hold_port, listen, listen_again, serve


class Marks:
    """What engines know of keys, for some seconds from the first run's start; one for all of them."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._first: dict[str, float] = {}

    def is_repeat(self, mark: str, now: float) -> bool:
        return now - self._first.get(mark, -1e9) < self._seconds

    def begun(self, mark: str, now: float) -> None:
        self._first[mark] = now

    def undone(self, mark: str) -> None:
        """Given up before its end: it left nothing, and may be run again."""
        self._first.pop(mark, None)


class _Job:
    __slots__ = ("name", "peer", "left", "threads", "pages", "run", "mark")

    def __init__(
        self, name: bytes, peer: Peer, left: float, threads: int, pages: int, run: Run, mark: str
    ) -> None:
        self.name, self.peer, self.left, self.threads, self.pages = name, peer, left, threads, pages
        self.run, self.mark = run, mark


class Engine:
    def __init__(
        self,
        label: str,
        cores: int,
        marks: Marks,
        account: Account,
        most: int = 10_000,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.label, self.cores, self._marks, self._account = label, cores, marks, account
        self._most, self._now = most, now
        self._listener: socket.socket = listen()
        self.port: int = self._listener.getsockname()[1]
        self.refused_after: float | None = None  # told to be draining or gone; set by the coordinator
        self._jobs: list[_Job] = []
        self._waiting: dict[tuple[Peer, bytes], list[bytes]] = {}  # pages kept for NEXT
        self._peers: set[Peer] = set()
        self._at, self._busy = now(), 0.0
        self._changed = anyio.Event()
        self.alive, self.slowness, self.silent = True, 1.0, False
        self.got = 0

    async def run(self) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._work)
                while True:
                    await serve(self._listener, self._serve)
                    while not self.alive:
                        await anyio.sleep(0.02)
        finally:
            self._listener.close()

    def die(self) -> None:
        """The process ends: connections are reset, new ones refused, what ran is lost."""
        self.alive = False
        anyio.notify_closing(self._listener)
        self._listener.close()
        self._listener = hold_port(self.port)
        for job in list(self._jobs):
            self._drop(job)
        self._waiting.clear()
        for peer in list(self._peers):
            peer.reset()

    def start_again(self) -> None:
        """At the same port, and knowing nothing of what was."""
        listen_again(self._listener)
        self._at = self._now()
        self.refused_after = None
        self.alive = True

    async def _serve(self, made: socket.socket, tasks: TaskGroup) -> None:
        peer, reader = Peer(made, tasks), hiredis.Reader()
        self._peers.add(peer)

        def take(data: bytes) -> None:
            reader.feed(data)
            while (message := reader.gets()) is not False:
                self._take(peer, *message)

        try:
            await peer.run(take)
        finally:
            self._peers.discard(peer)
            self._advance()
            for job in [job for job in self._jobs if job.peer is peer]:
                self._drop(job)

    def _take(self, peer: Peer, command: bytes, name: bytes, *more: bytes) -> None:
        if command == b"ASK":
            self._ask(peer, name, *more)
        elif command == b"NEXT":
            pages, number = self._waiting.get((peer, name)), int(more[0])
            if pages is None or number >= len(pages):
                self._say(peer, name, "crashed", "-", "")
                return
            self._say(peer, name, "rows", f"sheet={number}", pages[number])
            if number == len(pages) - 1:
                del self._waiting[peer, name]
        elif command in (b"QUIT", b"FREE"):
            self._waiting.pop((peer, name), None)
            self._advance()
            for job in [job for job in self._jobs if job.name == name and job.peer is peer]:
                self._drop(job)

    def _ask(self, peer: Peer, name: bytes, fields: bytes, statement: bytes) -> None:
        now = self._now()
        self.got += 1
        run = self._account.run(name.decode(), self.label, now)
        if self.refused_after is not None and now > self.refused_after:
            self._account.late_sends += 1
        if len(self._jobs) >= self._most:
            run.never, run.ended = True, now
            self._say(peer, name, "overload", self._load(), "")
            return
        given = dict(field.split("=", 1) for field in fields.decode().split(","))
        _, work, threads, pages = statement.decode().split()[:4]
        mark = given.get("i", "")
        if mark and self._marks.is_repeat(mark, now):
            # It is dropped; whoever asked is answered, and nothing runs.
            run.ended = now
            self._say(peer, name, "served", f"sheets=1,{self._load()}", "repeat\t0\t0\n")
            return
        if mark:
            self._marks.begun(mark, now)
        run.effect = True
        self._advance()
        self._jobs.append(
            _Job(name, peer, float(work) / 1000 * self.slowness, int(threads), int(pages), run, mark)
        )
        self._changed.set()

    def _drop(self, job: _Job) -> None:
        job.run.ended = self._now()
        if job.mark:
            self._marks.undone(job.mark)
            job.run.effect = False
        self._jobs.remove(job)
        self._changed.set()

    def _rate(self) -> float:
        """Work a second of each thread that runs."""
        threads = sum(job.threads for job in self._jobs)
        crowd = min(0.5, max(0.0, 0.1 * (threads / self.cores - 1.75)))
        return min(1.0, self.cores / threads * (1 - crowd)) if threads else 1.0

    def _advance(self) -> None:
        now = self._now()
        passed, rate = now - self._at, self._rate()
        threads = sum(job.threads for job in self._jobs)
        # How busy the cores were of late, over half a second.
        kept = 0.5 ** (passed / 0.25)
        self._busy = kept * self._busy + (1 - kept) * min(1.0, threads / self.cores)
        for job in self._jobs:
            job.left -= passed * rate * job.threads
        self._at = now

    async def _work(self) -> None:
        while True:
            self._changed = anyio.Event()
            rate = self._rate()
            until = min((job.left / (rate * job.threads) for job in self._jobs), default=None)
            with anyio.move_on_after(None if until is None else max(0.0, until)):
                await self._changed.wait()
            self._advance()
            for job in [job for job in self._jobs if job.left <= 1e-4]:
                self._jobs.remove(job)
                job.run.ended = self._now()
                self._serve_result(job)

    def _serve_result(self, job: _Job) -> None:
        name = job.name.decode()
        pages = [
            f"{name}\t{self.label}\t{number}\n".encode() * (1 if job.pages == 1 else 60)
            for number in range(job.pages)
        ]
        if job.pages > 1:
            self._waiting[job.peer, job.name] = pages
        self._say(job.peer, job.name, "served", f"sheets={job.pages},{self._load()}", pages[0])

    def _load(self) -> str:
        return f"load=inflight:{len(self._jobs)};util:{self._busy:.2f}"

    def _say(self, peer: Peer, *parts: bytes | str) -> None:
        if not self.silent:
            peer.line.write(hiredis.pack_command(parts))
