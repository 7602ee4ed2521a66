"""What is known to be gone, so that no old list raises it; and a register whose numbers are behind ours."""

from __future__ import annotations

import msgspec

from cresstray.membership.confidence import SECOND_US

# An id that is gone comes back under a new start, so a tombstone only has to outlive lists that still name
# it: those on disks that come back from repair, and a register's backup. A week, counted while gateways run.
TOMBSTONE_LIFETIME_US = 7 * 86_400 * SECOND_US
# Danger: engines come under new ids for years. With a tenth of 500 replaced a day, a week leaves 350.
MAX_TOMBSTONES = 4096
# A register that returns with smaller numbers is behind, or was founded anew. One that is behind catches up
# within a restart; one that stands by its numbers for five minutes is the register.
INDEX_SETTLE_TIME_US = 300 * SECOND_US


class Tombstone(msgspec.Struct, array_like=True):
    """`number`: of the word that it is gone. `lived`: microseconds of running time that it is known for."""

    id: int
    started_us: int
    index: int
    known_for_us: int


class Tombstones:
    def __init__(self) -> None:
        self._tombs: dict[int, tuple[Tombstone, int]] = {}  # and since when its running time counts

    def __contains__(self, engine: int) -> bool:
        return engine in self._tombs

    def __len__(self) -> int:
        return len(self._tombs)

    def add(self, engine: int, started: int, number: int, now: int, lived: int = 0) -> None:
        old = self._tombs.pop(engine, None)
        if old is not None:
            # What is known by both: of the later start and by the later word.
            started, number = max(started, old[0].started_us), max(number, old[0].index)
        self._tombs[engine] = (Tombstone(engine, started, number, lived), now)
        while len(self._tombs) > MAX_TOMBSTONES:
            del self._tombs[next(iter(self._tombs))]

    def forbids(self, engine: int, started: int, number: int) -> bool:
        """Whether a word of this number, on the engine as started then, is older than that it is gone."""
        held = self._tombs.get(engine)
        return held is not None and started <= held[0].started_us and number <= held[0].index

    def discard(self, engine: int) -> None:
        self._tombs.pop(engine, None)

    def rebase(self, number: int) -> None:
        """The register counts anew: what it says after this number is news."""
        for tomb, _ in self._tombs.values():
            tomb.index = min(tomb.index, number)

    def unexpired(self, now: int) -> list[Tombstone]:
        """All whose time is not over; the others are dropped."""
        kept = [
            Tombstone(tomb.id, tomb.started_us, tomb.index, tomb.known_for_us + max(0, now - since))
            for tomb, since in self._tombs.values()
        ]
        for tomb in kept:
            if tomb.known_for_us >= TOMBSTONE_LIFETIME_US:
                del self._tombs[tomb.id]
        return [tomb for tomb in kept if tomb.known_for_us < TOMBSTONE_LIFETIME_US]


class IndexTracker:
    """The register's numbers, against the highest one that was ever heard or kept."""

    def __init__(self) -> None:
        self.highest = 0
        self.behind_since_us: int | None = None  # it has told a whole list that is older than ours
        self.last = 0

    def observe(self, number: int, complete: bool, now: int) -> bool:
        """Whether a whole list of this number speaks for engines that it does not name."""
        self.last = number
        if number >= self.highest:
            self.highest, self.behind_since_us = number, None
            return complete
        if complete and self.behind_since_us is None:
            self.behind_since_us = now
        return False

    def on_watch_silent(self, now: int) -> None:
        if self.behind_since_us is not None:
            self.behind_since_us = now

    def is_settled(self, now: int) -> bool:
        return self.behind_since_us is not None and now - self.behind_since_us >= INDEX_SETTLE_TIME_US

    def accept_last(self) -> None:
        self.highest, self.behind_since_us = self.last, None
