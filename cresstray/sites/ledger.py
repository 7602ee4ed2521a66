"""What each side knows of every crossing. States are named once and drawn in docs/halls.md.

    near:  offered > taken > sent > ended             far:  taken > sent > ended > forgotten
              \\        \\       \\                                \\       \\       \\
               +--------+-------+--> unknown > ended            +-------+-------+--> fenced > forgotten

A crossing is numbered by its near side and belongs to one incarnation of it. Nothing here knows a link.
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    OFFERED = "o"
    TAKEN = "t"
    SENT = "s"
    ENDED = "e"
    FENCED = "f"  # given up by the far side, its lease was over
    NEVER = "n"  # the far side never took it


class ForwardingResult(Enum):
    """What is known of a crossing's relay at its end."""

    SERVED = "served"
    UNRUN = "unrun"  # nothing ran
    RAN = "ran"  # it may have run, and gave no result
    UNKNOWN = "unknown"  # nothing is known; it may have run


class Crossing:
    """One, on the near side; `relay` is the near module's, `link` the near end of the link it went by."""

    __slots__ = (
        "number",
        "attempt",
        "connection",
        "name",
        "timeout",
        "state",
        "cut",
        "withdrawn",
        "pages",
        "weight",
        "told",
        "fenced",
    )
    # It may have left: that it never ran is the far side's word, or the link's, and nobody else's.
    is_written = True

    def __init__(
        self, number: int, attempt: object, link: object, name: str, weight: float, fenced: bool
    ) -> None:
        self.number, self.attempt, self.connection, self.name = number, attempt, link, name
        self.weight = weight  # threads that it counts for
        self.fenced = fenced  # given up there when the lease is over, and may run again here
        self.timeout = None  # the call at its time limit
        self.state, self.cut = State.OFFERED, False  # cut: the link has gone since
        self.withdrawn = False
        self.pages: list[bytes | None] | None = None
        self.told = 0  # pages that the far side was told of


class Outgoing:
    """The near side's: every crossing that has no end yet. Bounded by the credit of its link."""

    def __init__(self) -> None:
        self.open: dict[int, Crossing] = {}
        self._last = 0

    def add(self, attempt: object, link: object, name: str, weight: float, fenced: bool) -> Crossing:
        self._last += 1
        crossing = self.open[self._last] = Crossing(self._last, attempt, link, name, weight, fenced)
        return crossing

    def given(self, number: int) -> bool:
        """Whether there ever was a crossing of that number."""
        return 1 <= number <= self._last

    def end(self, crossing: Crossing) -> None:
        del self.open[crossing.number]

    def cut(self) -> None:
        for crossing in self.open.values():
            crossing.cut = True

    def settle(self, resumed: bool, states: list[tuple[int, str]]) -> list[tuple[Crossing, ForwardingResult]]:
        """What the far side's word on each settles, after a cut; what goes on is no longer cut."""
        told, settled = dict(states), []
        for crossing in self.open.values():
            if not crossing.cut:
                continue
            word = told.get(crossing.number) if resumed else None
            if word == State.NEVER.value or word == State.TAKEN.value:
                # What was taken and not sent is withdrawn there by the resumption itself.
                settled.append((crossing, ForwardingResult.UNRUN))
            elif word in (State.SENT.value, State.ENDED.value):
                # Pages that came before the cut come again from the first; so does any other end.
                crossing.cut, crossing.pages, crossing.told = False, None, 0
                crossing.state = State.SENT if word == State.SENT.value else crossing.state
            else:
                # Given up there, or forgotten, or a new incarnation that knows nothing: it may have run.
                settled.append((crossing, ForwardingResult.UNKNOWN))
        return settled


class Entry:
    """One, on the far side. Its result or its end is kept until the near side has it."""

    __slots__ = (
        "number",
        "state",
        "ran",
        "how",
        "pages",
        "next_page",
        "let",
        "size",
        "ended_at",
        "come_back",
        "fenced",
        "withdrawn",
    )

    def __init__(self, number: int, size: int) -> None:
        self.number, self.size = number, size
        self.state = State.TAKEN
        self.ran, self.how, self.come_back = False, "", 0
        self.fenced = True  # given up when the lease is over
        self.withdrawn = False  # and its relay is not back yet
        self.pages: list[bytes] = []
        self.next_page, self.let = 0, 0  # to be written next; up to which that is allowed
        self.ended_at = 0


class Incoming:
    """The far side's, for one incarnation of one near gateway."""

    def __init__(self) -> None:
        self.open: dict[int, Entry] = {}
        self.size = 0
        self._highest = 0

    def take(self, number: int, size: int) -> Entry | None:
        """None for a number that was used before: numbers only grow."""
        if number <= self._highest:
            return None
        self._highest = number
        entry = self.open[number] = Entry(number, size)
        self.size += size
        return entry

    def forget(self, entry: Entry) -> None:
        del self.open[entry.number]
        self.size -= entry.size

    def compare(self, asked: list[int]) -> tuple[list[tuple[int, str]], list[Entry]]:
        """The word on each that the near side waits for; and what is to be given up and forgotten.

        That is what it does not wait for, and what was taken and not sent.
        """
        states, wanted = [], set(asked)
        for number in asked:
            entry = self.open.get(number)
            states.append(
                (
                    number,
                    (
                        State.NEVER
                        if entry is None and number > self._highest
                        else State.FENCED
                        if entry is None
                        else entry.state
                    ).value,
                )
            )
        gone = [
            entry for number, entry in self.open.items() if number not in wanted or entry.state is State.TAKEN
        ]
        return states, gone
