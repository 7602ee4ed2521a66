"""Operators outside of the faults: they ask keepers, change rules, note when, and watch each turn."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from cresstray.config.operator import Tls
from cresstray.control_plane.codec import OperatorCommand, PartAssembler, encode_command
from cresstray.emulators.fleet.accounts import Ban
from cresstray.emulators.fleet.history import History, Operation
from cresstray.fleet_config.codec import ConfigPart, GetConfig, Greeting, OperatorReply
from cresstray.fleet_config.documents import (
    Documents,
    Gateway,
    GatewayList,
    Shard,
    encode_delta,
    parse_documents,
)
from cresstray.sites.tls import TlsContexts, TlsStream
from cresstray.transport.framing import Frame, FrameDecoder, FramingError, encode_frame
from cresstray.transport.peers import make_greeting
from cresstray.transport.streams import CONNECTION_ENDED, SocketStream, connect

_numbers = itertools.count(1)
_BACK = (Greeting, OperatorReply, ConfigPart)  # positions are told to those only that tell some
# One try at one keeper: an election is over by then, and the next keeper may be on the better side.
_TRY = 0.8


class Keys:
    """Keys of a fleet whose links are sealed, one for each name, all of one authority."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def _files(self, name: str) -> dict[str, str]:
        return {
            "authority": f"{self.folder}/authority.pem",
            "certificate": f"{self.folder}/{name}.pem",
            "key": f"{self.folder}/{name}.key",
        }

    def section(self, name: str) -> str:
        """Of an operator's file."""
        return "tls\n" + "".join(f"    {word} {path}\n" for word, path in self._files(name).items())

    def contexts(self, name: str) -> TlsContexts:
        return TlsContexts(Tls(**self._files(name)))


class Caller:
    """A connection to one keeper, by name and role; made anew after it has ended."""

    def __init__(
        self, role: str, name: str, fleet: str, port: int, tasks: TaskGroup, keys: Keys | None = None
    ) -> None:
        # A sealed operator proves that one name; keepers know connections apart by themselves.
        name = "operator" if role == "operator" and keys else name
        self._greeting, self._port, self._tasks = (
            make_greeting(role, fleet, name, f"{next(_numbers):x}"),
            port,
            tasks,
        )
        self._contexts = keys.contexts(name) if keys else None
        self._line: SocketStream | None = None
        self._channel: SocketStream | TlsStream | None = None
        self._frames = FrameDecoder(_BACK)

    async def put(self, frames: Iterable[Frame]) -> None:
        if self._line is None:
            made = await connect("127.0.0.1", self._port)
            self._channel = self._line = SocketStream(made, self._tasks, lambda: None)
            self._frames = FrameDecoder(_BACK)
            if self._contexts is not None:
                self._channel = TlsStream(self._line, self._contexts, False)
                await self._channel.handshake()
            self._channel.write(encode_frame(self._greeting))
        self._channel.write(b"".join(map(encode_frame, frames)))

    async def frames(self) -> list[Frame]:
        return self._frames.feed(await self._channel.receive())

    def close(self) -> None:
        if self._line is not None:
            self._line.close()
            self._line = None

    async def ask(self, ask: OperatorCommand, within: float) -> dict[str, Any] | None:
        """The answer; None: none came within so many seconds, and whether it was done is unknown."""
        number = next(_numbers)
        try:
            with anyio.move_on_after(within):
                await self.put(encode_command(number, ask))
                gathered = PartAssembler(128)
                while True:
                    for frame in await self.frames():
                        if isinstance(frame, OperatorReply) and frame.number == number:
                            whole = gathered.add(frame)
                            if whole is not None:
                                return msgspec.msgpack.decode(whole)
        except (*CONNECTION_ENDED, FramingError):
            await anyio.sleep(0.02)  # a port where nobody listens refuses at once
        self.close()
        return None


@dataclass
class Changed:
    """A proposal as its operator saw it; `version` None: refused, for `why`."""

    asked: float
    answered: float
    version: int | None
    why: tuple[str, ...] = ()


class Operator:
    """Asks one keeper after the other, the same request again, until there is an answer."""

    def __init__(
        self, name: str, fleet: str, ports: dict[str, int], tasks: TaskGroup, keys: Keys | None = None
    ) -> None:
        self.name = name
        self.callers = {
            keeper: Caller("operator", f"{name}-{keeper}", fleet, port, tasks, keys)
            for keeper, port in ports.items()
        }
        self._order = list(ports)

    def close(self) -> None:
        for caller in self.callers.values():
            caller.close()

    async def ask(self, ask: OperatorCommand, within: float, at: str | None = None) -> dict[str, Any] | None:
        """None: nothing is known after so many seconds. `at`: of this keeper only."""
        with anyio.move_on_after(within):
            while True:
                answer = await self.callers[at or self._order[0]].ask(ask, _TRY)
                if answer is not None and not answer.get("again"):
                    return answer
                self._order.append(self._order.pop(0))
                await anyio.sleep(0.03)
        return None

    async def leader(self, within: float = 5) -> str | None:
        """The keeper that leads, by its name in the file."""
        answer = await self.ask(OperatorCommand("members"), within)
        return answer["leader"].partition("/")[0] if answer and answer.get("leader") else None

    async def documents(self, within: float, at: str | None = None) -> Documents | None:
        """The latest, by a read that is no older than this call."""
        answer = await self.ask(OperatorCommand("show"), within, at)
        return parse_documents(answer["documents"]) if answer and "documents" in answer else None

    async def propose(
        self, old: Documents, new: Documents, request: str, within: float, at: str | None = None
    ) -> Changed | None:
        """None: it may have been accepted, and may be yet."""
        asked = anyio.current_time()
        ask = OperatorCommand(
            "propose", request, base_versions=old.versions, delta=encode_delta(old, new), reason="trial"
        )
        answer = await self.ask(ask, within, at)
        if answer is None:
            return None
        refused = tuple(answer.get("refused", ())) or tuple(filter(None, [answer.get("error")]))
        return Changed(asked, anyio.current_time(), None if refused else answer["version"], refused)

    async def change(self, edit: Callable[[Documents], Documents], within: float) -> Changed | None:
        """Until it is accepted, whatever others change meanwhile; None if it is not known to be."""
        asked, request = anyio.current_time(), f"{self.name}-{next(_numbers)}"
        with anyio.move_on_after(within):
            while True:
                old = await self.documents(within)
                made = old and await self.propose(old, edit(old), request, within)
                if made and made.version is not None:
                    made.asked = asked
                    return made
                # Refused by its base: a request that was refused stays so, and the next try is another.
                request = f"{self.name}-{next(_numbers)}"
        return None


def edited(document: str, item: str, rule: Any) -> Callable[[Documents], Documents]:
    """An edit that puts one item into a document; None: takes it out."""

    def edit(old: Documents) -> Documents:
        before = old.document(document)
        items = {name: one for name, one in before.items.items() if name != item}
        if rule is not None:
            items[item] = rule
        changed = msgspec.structs.replace(before, items=dict(sorted(items.items())))
        return old.with_documents({document: changed})

    return edit


class Watch:
    """Follows every keeper and notes when any of them first told a turn: from then on it is acknowledged."""

    def __init__(self, fleet: str, ports: dict[str, int], tasks: TaskGroup, keys: Keys | None = None) -> None:
        self._callers = {
            keeper: Caller("gateway", f"watch-{keeper}", fleet, port, tasks, keys)
            for keeper, port in ports.items()
        }
        self._first: list[tuple[int, float]] = [(0, 0.0)]
        self._news = anyio.Event()

    async def run(self) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                for caller in self._callers.values():
                    tasks.start_soon(self._follow, caller)
        finally:
            for caller in self._callers.values():
                caller.close()

    async def _follow(self, caller: Caller) -> None:
        while True:
            try:
                await caller.put([GetConfig(self._first[-1][0])])
                while True:
                    for frame in await caller.frames():
                        if isinstance(frame, ConfigPart) and frame.turn > self._first[-1][0]:
                            self._first.append((frame.turn, anyio.current_time()))
                            self._news.set()
                            self._news = anyio.Event()
            except (*CONNECTION_ENDED, FramingError):
                caller.close()
                await anyio.sleep(0.05)

    def told(self, turn: int) -> float | None:
        """When a keeper first told this turn or a later one."""
        return next((at for one, at in self._first if one >= turn), None)

    def ban(self, what: str, name: str, version: int, lifted: float) -> Ban:
        joint, in_force = (self.told(2 * version - before) or math.inf for before in (1, 0))
        return Ban(what, name, joint, in_force, lifted)

    async def until(self, turn: int, within: float) -> float | None:
        with anyio.move_on_after(within):
            while self.told(turn) is None:
                await self._news.wait()
        return self.told(turn)


async def listed(operator: Operator, watch: Watch, gateways: Iterable[str]) -> None:
    """The first list: whoever runs counts, and as many without a lease."""
    names = sorted(gateways)
    document = GatewayList({name: Gateway() for name in names}, count_without_lease=len(names))
    made = await operator.change(lambda old: msgspec.structs.replace(old, gateways=document), 10)
    if made is None or await watch.until(2 * made.version, 10) is None:
        raise TimeoutError(f"no list of gateways: {made}")


async def admitted(operator: Operator, keeper: str, within: float = 15) -> None:
    """Takes in a keeper that lost its disk, step by step."""
    with anyio.move_on_after(within):
        while not ((await operator.ask(OperatorCommand("replace", name=keeper), within)) or {}).get("done"):
            await anyio.sleep(0.1)


SHARD = "999999"  # of no group of tables: its epoch is the register that clients set


async def client(
    operator: Operator,
    keeper: str,
    history: History,
    pause: Callable[[], float],
    commits: list[float],
    changes: list[Changed],
) -> None:
    """Reads and sets the register through one keeper, without end; asks again for a second at most."""
    while True:
        asked = anyio.current_time()
        old = await operator.documents(1.0, keeper)
        if old is None:
            await anyio.sleep(0.05)
            continue
        value = str(old.placement.items[SHARD].epoch if SHARD in old.placement.items else 0)
        history.note(Operation(operator.name, asked, anyio.current_time(), value))
        await anyio.sleep(pause() / 2)
        number = next(_numbers)
        fresh = number  # no other has it, and what it was read from was drawn before
        new = edited("placement", SHARD, Shard(("s-00000001",), epoch=fresh))(old)
        asked = anyio.current_time()
        made = await operator.propose(old, new, f"{operator.name}-{number}", 1.0, keeper)
        now = anyio.current_time()
        if made is None:
            history.note(Operation(operator.name, asked, now, str(fresh), value, None))
        elif made.version is not None:
            commits.append(now)
            changes.append(made)
            history.note(Operation(operator.name, asked, now, str(fresh), value, True))
        elif any(why.startswith("placement: the change is of version") for why in made.why):
            commits.append(now)  # refused by the log, which is a commit as well
            history.note(Operation(operator.name, asked, now, str(fresh), value, False))
        await anyio.sleep(pause() / 2)
