"""What the explorer asks of a world, and what worlds share: bounds, virtual time, copies of a whole state.

Nothing is decided here. Times are whole microseconds of the world's own clock.
"""

from __future__ import annotations

import importlib
import io
import pickle
from bisect import insort
from collections.abc import Callable, Iterator
from hashlib import blake2b
from sys import intern
from types import CellType, CodeType, FunctionType
from typing import Any, NamedTuple, Protocol

from cresstray.observability.counters import Counters


class Bounds(NamedTuple):
    """How far a search goes. A world takes from it what it has a use for; None: as its configuration says."""

    depth: int = 200  # choices in a row
    states: int = 3_000_000
    memory: int = 2_000  # MB, of this process
    workers: int = 1
    reduced: bool = True  # sleep sets, and what is dead forgotten
    faults: int | None = None  # choices by which something fails, in one schedule
    leaves: int | None = None
    words: int | None = None  # of the coordinator
    engines: int | None = None
    submissions: int | None = None
    seed: int | None = None  # of the module's chance, in walks; None: chance is fixed


class World(Protocol):
    """One configuration. Worlds that can be copied have `freeze`, those with a reduction `independent`."""

    broken: list[str]  # "PROPERTY: what was seen"

    def choices(self) -> list[str]: ...
    def do(self, choice: str) -> None: ...
    def fingerprint(self) -> bytes: ...
    def quiet(self) -> bool: ...


def digest(state: bytes) -> bytes:
    # Eight bytes: among ten million states two are taken for one with a chance of 3 in a million.
    return blake2b(state, digest_size=8).digest()


class Uncounted(Counters):
    """What must hold is asserted; counts would part states that are otherwise the same."""

    def add(self, name: str, amount: int = 1) -> None:
        """Nothing."""


class NoLog:
    def log(self, kind: str, text: str) -> None:
        """Nothing."""


def fixed() -> float:
    """The modules' chance in a search that is exhaustive."""
    return 0.5


def untold(_text: str) -> None:
    """What is said for operators."""


class Copied:
    """A world that is copied whole, and told apart by what it would be copied as."""

    def freeze(self) -> bytes:
        return freeze(self)

    def __setstate__(self, state: dict[str, Any]) -> None:
        # Danger: strings are written once and referred to after that; a copy's are others than the code's.
        self.__dict__.update((intern(name), value) for name, value in state.items())

    def fingerprint(self) -> bytes:
        return digest(freeze(self))


class VirtualClock:
    def __init__(self, now: int) -> None:
        self.at = now

    def now(self) -> int:
        return self.at


class VirtualDue:
    __slots__ = ("due_us", "callback", "_timers")

    def __init__(self, timers: VirtualTimers, at: int, call: Callable[[int], None]) -> None:
        self._timers, self.due_us, self.callback = timers, at, call

    def cancel(self) -> None:
        # Not only marked as in service: what is cancelled is no part of a state.
        self._timers.line = [due for due in self._timers.line if due is not self]


class VirtualTimers:
    """As clock.py's: calls of the same moment in the order given, but without a count that grows for ever."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self.line: list[VirtualDue] = []

    def call_after(self, delay: int, call: Callable[[int], None]) -> VirtualDue:
        due = VirtualDue(self, self._clock.now() + max(0, delay), call)
        insort(self.line, due, key=lambda one: one.due_us)
        return due

    def run_due(self) -> None:
        while self.line and self.line[0].due_us <= self._clock.now():
            self.line.pop(0).callback(self._clock.now())


# Copies. Pickle copies a graph of objects at the speed of C; all it lacks are functions with a closure, which
# timers hold. These are written as the name of their code and what they have closed over.

_codes: dict[str, tuple[CodeType, dict]] = {}


def _name(code: CodeType, module: str) -> str:
    return f"{module}:{code.co_qualname}:{code.co_firstlineno}"


class _Freezer(pickle.Pickler):
    def reducer_override(self, thing: object) -> object:
        if type(thing) is FunctionType and (thing.__closure__ or "<" in thing.__qualname__):
            name = _name(thing.__code__, thing.__module__)
            _codes[name] = thing.__code__, thing.__globals__
            return _closed, (name, tuple(cell.cell_contents for cell in thing.__closure__ or ()))
        return NotImplemented


def _closed(name: str, contents: tuple) -> FunctionType:
    if name not in _codes:  # another process has met it first
        module = importlib.import_module(name.split(":")[0])
        for code in _within(vars(module).values()):
            _codes[_name(code, module.__name__)] = code, vars(module)
    code, known = _codes[name]
    return FunctionType(code, known, code.co_name, None, tuple(map(CellType, contents)))


def _within(things: object) -> Iterator[CodeType]:
    for thing in things:
        if isinstance(thing, type):
            yield from _within(vars(thing).values())
        elif isinstance(thing, FunctionType):
            yield from _within([thing.__code__])
        elif isinstance(thing, CodeType):
            yield thing
            yield from _within(thing.co_consts)


def freeze(thing: object) -> bytes:
    """The same bytes for states that came about in different ways, but for the order of dicts and lists."""
    written = io.BytesIO()
    _Freezer(written, 5).dump(thing)
    return written.getvalue()


def thaw(state: bytes) -> object:
    return pickle.loads(state)
