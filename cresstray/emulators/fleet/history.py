"""Histories of clients on one document, and whether some order of what they did explains them all.

Each client notes when it asked and when it was answered, by one clock. The document is a register: read, or
set to a value that no other has, if the value that its client has read is still in place. The search is Wing
and Gong's, with a memory of what has been tried (Lowe): an operation may come next if it was asked before any
other that is left was answered.
"""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass, field

# States that are looked at before the search gives up; usual histories need some for each operation.
_MOST = 200_000


class UndecidedError(RuntimeError):
    """The search was given up; nothing is known of this history."""


@dataclass(frozen=True, slots=True)
class Operation:
    """`base` None: a read, that found `value`. Else a set to `value` where `base` was in place.

    `done`: True, False (another value was in place), or None where the answer was lost: it may have taken
    effect at any time since it was asked, or may do so yet.
    """

    client: str
    asked: float
    answered: float
    value: str
    base: str | None = None
    done: bool | None = True

    def after(self, state: str) -> str | None:
        """The state once it has been carried out in this one; None: it can't have been answered so."""
        if self.base is None:
            return state if state == self.value else None
        if self.done is False:
            return state if state != self.base else None
        return self.value if state == self.base else None


@dataclass(frozen=True, slots=True)
class Verdict:
    linearizable: bool
    operations: int
    stuck: tuple[Operation, ...] = ()  # if not: what could not come next where the search came furthest


@dataclass(slots=True)
class History:
    """What all clients noted of one document, from its first value on."""

    start: str = ""
    operations: list[Operation] = field(default_factory=list)

    def note(self, operation: Operation) -> None:
        self.operations.append(operation)

    def checked(self, most: int = _MOST) -> Verdict:
        """UndecidedError beyond so many states."""
        known = sorted((one for one in self.operations if one.done is not None), key=lambda one: one.asked)
        lost = sorted((one for one in self.operations if one.done is None), key=lambda one: one.asked)
        best: tuple[int, tuple[Operation, ...]] = (-1, ())
        # Of each state: the known ones placed, the lost ones that took effect, the register.
        waiting = [(0, 0, self.start)]
        tried: set[tuple[int, int, str]] = set()
        whole = (1 << len(known)) - 1
        while waiting:
            placed, taken, state = waiting.pop()
            placed, left, until = _settled(known, placed, state)
            if placed == whole:
                return Verdict(True, len(self.operations))
            if (placed, taken, state) in tried:
                continue
            tried.add((placed, taken, state))
            if len(tried) > most:
                raise UndecidedError(f"more than {most} states of {len(self.operations)} operations")
            best = max(best, (placed.bit_count(), tuple(known[at] for at in left)), key=lambda one: one[0])
            for at, one in enumerate(lost):
                if one.asked > until:
                    break
                made = one.after(state)
                if made is not None and not taken >> at & 1:
                    waiting.append((placed, taken | 1 << at, made))
            for at in left:
                made = known[at].after(state)
                if made is not None:
                    waiting.append((placed | 1 << at, taken, made))
        return Verdict(False, len(self.operations), best[1])


def _settled(known: list[Operation], placed: int, state: str) -> tuple[int, list[int], float]:
    """Places all that may come next and changes nothing: to put it off can't help.

    Returns what is placed, what else may come next, and until when others may have been asked for that too.
    """
    while True:
        first = (~placed & placed + 1).bit_length() - 1  # the first that is not placed
        until, left = math.inf, []
        for at in itertools.islice(range(len(known)), first, None):
            if known[at].asked > until:
                break
            if not placed >> at & 1:
                until = min(until, known[at].answered)
                left.append(at)
        left = [at for at in left if known[at].asked <= until]
        at = next((at for at in left if known[at].after(state) == state), None)
        if at is None:
            return placed, left, until
        placed |= 1 << at
