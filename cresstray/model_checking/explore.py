"""The search: every schedule of a world in layers of one choice more, random walks beyond that, and traces.

A layer holds all states that are first reached by so many choices, so the first breach is found with a
shortest trace, and no state is expanded twice as in a search that deepens from the start (docs/checking.md).
"""

from __future__ import annotations

import gc
import multiprocessing
import random
import resource
import sys
import time
import zlib
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from cresstray.model_checking.world import Bounds, World, digest, thaw

Make = Callable[[Bounds], World]
# States that a worker takes at once: some 30 ms of work, so that layers of some hundred use all of them.
_CHUNK = 16
# Of states that a worker has sent once a second copy is not sent: so many of them it knows, 8 bytes each.
_KNOWN = 400_000
_EVERY = 5.0  # seconds between two lines of progress


class Trace(NamedTuple):
    """A schedule and what it broke; `moments` in milliseconds, where the world tells them."""

    configuration: str
    choices: tuple[str, ...]
    broken: tuple[str, ...]
    moments: tuple[float | None, ...] = ()
    mutant: str = ""

    def lines(self) -> list[str]:
        moments = self.moments or (None,) * len(self.choices)
        told = [
            f"{'' if at is None else f'{at:g}':>8} ms  {choice}" for at, choice in zip(moments, self.choices)
        ]
        head = [f"configuration: {self.configuration}"] + [f"mutant: {self.mutant}"] * bool(self.mutant)
        return head + told + [f"broken: {one}" for one in self.broken]

    @staticmethod
    def read(lines: Iterable[str]) -> Trace:
        """ValueError where it is no trace."""
        head, choices, broken = {}, [], []
        for line in filter(str.strip, lines):
            if " ms  " in line:
                choices.append(line.split(" ms  ", 1)[1].rstrip())
                continue
            name, sign, value = line.partition(": ")
            if not sign:
                raise ValueError(f"no line of a trace: {line!r}")
            broken.append(value.strip()) if name == "broken" else head.setdefault(name, value.strip())
        if "configuration" not in head:
            raise ValueError("no trace: it names no configuration")
        return Trace(head["configuration"], tuple(choices), tuple(broken), (), head.get("mutant", ""))


class Result(NamedTuple):
    """`complete`: every schedule within the configuration, none was cut by a bound."""

    states: int
    transitions: int
    depth: int
    complete: bool
    seconds: float
    violation: Trace | None
    memory: int = 0  # MB at the most, of this process
    asleep: int = 0  # transitions that the reduction left out

    def told(self) -> dict[str, Any]:
        return {
            "states": self.states,
            "transitions": self.transitions,
            "depth": self.depth,
            "complete": self.complete,
            "seconds": round(self.seconds, 1),
        }


class Entry(NamedTuple):
    """A state to be expanded. `only`: the choices still to be tried, None: all that are not asleep."""

    path: tuple | None  # (path before, choice)
    asleep: frozenset[str]
    only: frozenset[str] | None
    state: bytes | None  # None: replayed


class Step(NamedTuple):
    choice: str
    found: bytes  # the fingerprint
    asleep: frozenset[str]
    state: bytes | None
    last: bool  # nothing can happen any more
    broken: tuple[str, ...]


_AWAKE: frozenset[str] = frozenset()


def explore(
    make: Make,
    bounds: Bounds,
    name: str = "",
    progress: Callable[[str], None] | None = None,
    wanted: str = "",
) -> Result:
    """All schedules within the bounds, or those up to the first breach, of the wanted property if one is."""
    began, spoken = time.monotonic(), time.monotonic()
    # Copies are circles, and each brings hundreds of objects: collected by dozens, not one by one.
    thresholds = gc.get_threshold()
    gc.set_threshold(20_000, 50, 1000)
    try:
        return _search(make, bounds, name, progress, wanted, began, spoken)
    finally:
        gc.set_threshold(*thresholds)


def _search(
    make: Make,
    bounds: Bounds,
    name: str,
    progress: Callable[[str], None] | None,
    wanted: str,
    began: float,
    spoken: float,
) -> Result:
    world = make(bounds)
    # By fingerprint: what was left asleep as it was expanded.
    seen: dict[bytes, frozenset[str]] = {world.fingerprint(): _AWAKE}
    layer = {world.fingerprint(): Entry(None, _AWAKE, None, None)}
    transitions = asleep = depth = 0
    complete = True
    with _Hands(make, bounds) as hands:
        while layer:
            if depth >= bounds.depth:
                complete = False
                break
            entries, layer = list(layer.values()), {}
            fresh = 0
            for entry, (steps, slept) in zip(entries, hands.expand(entries)):
                if len(seen) >= bounds.states or _memory() > bounds.memory:
                    complete, layer = False, {}
                    break
                transitions, asleep = transitions + len(steps), asleep + slept
                for step in steps:
                    if step.broken:
                        if not any(one.startswith(wanted) for one in step.broken):
                            continue
                        trace = replay(make, bounds, name, _choices((entry.path, step.choice)))
                        return Result(
                            len(seen),
                            transitions,
                            depth + 1,
                            False,
                            time.monotonic() - began,
                            trace,
                            _memory(),
                            asleep,
                        )
                    before = seen.get(step.found)
                    path = (entry.path, step.choice)
                    if before is None:
                        seen[step.found] = step.asleep
                        fresh += 1
                        if not step.last:
                            layer[step.found] = Entry(path, step.asleep, None, step.state)
                    elif not before <= step.asleep and not step.last:
                        # What was asleep then and is not now has to be tried after all.
                        seen[step.found], waits = before & step.asleep, layer.get(step.found)
                        if waits is None:
                            layer[step.found] = Entry(path, step.asleep, before - step.asleep, step.state)
                        elif waits.only is None:
                            layer[step.found] = waits._replace(asleep=before & step.asleep)
                        else:
                            layer[step.found] = waits._replace(
                                asleep=before & step.asleep, only=waits.only | (before - step.asleep)
                            )
                if progress is not None and time.monotonic() - spoken >= _EVERY:
                    spoken = time.monotonic()
                    progress(
                        f"{name}: layer {depth + 1}, {len(seen)} states, {transitions} transitions, "
                        f"{len(layer)} to come, {_memory()} MB, {spoken - began:.0f} s"
                    )
            depth += fresh > 0
    return Result(len(seen), transitions, depth, complete, time.monotonic() - began, None, _memory(), asleep)


def _memory() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024


class _Hands:
    """Who expands: this process, or workers; what comes is in the order of what was given in any case."""

    def __init__(self, make: Make, bounds: Bounds) -> None:
        self._expander, self._workers = _Expander(make, bounds), bounds.workers
        self._pool: Any = None

    def __enter__(self) -> _Hands:
        if self._workers > 1:
            # Forked, so that what is patched here is patched there.
            self._pool = multiprocessing.get_context("fork").Pool(self._workers, _take, (self._expander,))
        return self

    def __exit__(self, *_: object) -> None:
        if self._pool is not None:
            self._pool.terminate()
            self._pool.join()

    def expand(self, entries: list[Entry]) -> Iterator[tuple[list[Step], int]]:
        if self._pool is None or len(entries) < 2 * _CHUNK:
            return map(self._expander.expand, entries)
        return self._pool.imap(_expand, entries, _CHUNK)


_mine: _Expander


def _take(expander: _Expander) -> None:
    global _mine
    _mine = expander


def _expand(entry: Entry) -> tuple[list[Step], int]:
    return _mine.expand(entry)


class _Expander:
    def __init__(self, make: Make, bounds: Bounds) -> None:
        # What goes from process to process, and waits by the hundred thousand, is packed.
        self._make, self._bounds, self._packs = make, bounds, bounds.workers > 1
        self._sent: set[bytes] = set()

    def expand(self, entry: Entry) -> tuple[list[Step], int]:
        """What follows a state by one choice, and how many choices were left asleep."""
        state = entry.state if entry.state is None or not self._packs else zlib.decompress(entry.state)
        world = self._again(entry, state)
        independent = getattr(world, "independent", None) if self._bounds.reduced else None
        found, slept, tried = [], 0, []
        now = world.choices()
        # Which pairs do not mind each other is asked in the state before.
        apart = (
            {
                choice: {
                    other for other in (*entry.asleep, *now) if other != choice and independent(choice, other)
                }
                for choice in now
            }
            if independent
            else {}
        )
        for choice in now:
            if (
                choice in entry.asleep
                and (entry.only is None or choice not in entry.only)
                or (entry.only is not None and choice not in entry.only)
            ):
                slept += entry.only is None
                continue
            if world is None:
                world = self._again(entry, state)
            world.do(choice)
            asleep = frozenset((entry.asleep | set(tried)) & apart[choice]) if independent else _AWAKE
            found.append(self._step(world, choice, asleep))
            tried.append(choice)
            world = None
        return found, slept

    def _step(self, world: World, choice: str, asleep: frozenset[str]) -> Step:
        if world.broken:
            return Step(choice, b"", asleep, None, True, tuple(world.broken))
        last = not world.choices()
        if not hasattr(world, "freeze"):
            return Step(choice, world.fingerprint(), asleep, None, last, ())
        state = world.freeze()
        found = digest(state)
        if last or found in self._sent:
            return Step(choice, found, asleep, None, last, ())
        if self._packs:
            if len(self._sent) >= _KNOWN:
                self._sent.clear()
            self._sent.add(found)
        return Step(choice, found, asleep, zlib.compress(state, 1) if self._packs else state, False, ())

    def _again(self, entry: Entry, state: bytes | None) -> World:
        if state is not None:
            return thaw(state)
        world = self._make(self._bounds)
        for choice in _choices(entry.path):
            world.do(choice)
        return world


def _choices(path: tuple | None) -> list[str]:
    found = []
    while path is not None:
        path, choice = path
        found.append(choice)
    return found[::-1]


def replay(make: Make, bounds: Bounds, name: str, choices: Iterable[str]) -> Trace:
    """Up to the first breach; ValueError where a choice is not to be had."""
    world, done, moments = make(bounds), [], []
    for choice in choices:
        if choice not in world.choices():
            raise ValueError(f"after {len(done)} choices there is no {choice!r}")
        world.do(choice)
        done.append(choice)
        moments.append(world.moment() if hasattr(world, "moment") else None)
        if world.broken:
            break
    return Trace(name, tuple(done), tuple(world.broken), tuple(moments))


def walk(
    make: Make, bounds: Bounds, name: str, walks: int, progress: Callable[[str], None] | None = None
) -> Result:
    """Random schedules, the module's chance drawn as well; what breaks is shortened as far as it goes."""
    began, spoken, transitions, depth = time.monotonic(), time.monotonic(), 0, 0
    for number in range(walks):
        chance = random.Random(f"{bounds.seed or 0} {number}")
        own = bounds._replace(seed=chance.randrange(1 << 30))
        world, path = make(own), []
        while not world.broken and len(path) < bounds.depth and (choices := world.choices()):
            path.append(chance.choice(choices))
            world.do(path[-1])
        transitions, depth = transitions + len(path), max(depth, len(path))
        if world.broken:
            trace = _shorten(make, own, replay(make, own, name, path))
            return Result(number + 1, transitions, depth, False, time.monotonic() - began, trace, _memory())
        if progress is not None and time.monotonic() - spoken >= _EVERY:
            spoken = time.monotonic()
            progress(f"{name}: walk {number + 1} of {walks}, {transitions} transitions")
    return Result(walks, transitions, depth, False, time.monotonic() - began, None, _memory())


def _shorten(make: Make, bounds: Bounds, trace: Trace) -> Trace:
    """Without the choices that it needs not, to break the same property."""
    name = trace.broken[0].split(":")[0]
    at = len(trace.choices) - 1
    while at >= 0:
        try:
            found = replay(make, bounds, trace.configuration, trace.choices[:at] + trace.choices[at + 1 :])
        except ValueError:
            found = None
        if found is not None and found.broken and found.broken[0].split(":")[0] == name:
            trace, at = found, min(at, len(found.choices))
        at -= 1
    return trace


def to_stderr(text: str) -> None:
    print(text, file=sys.stderr, flush=True)
