"""Last stage, and the first on the way back: counts, and the one answer that each submission gets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.observability.counters import Counters
from cresstray.pipeline.request_context import Errand
from cresstray.policy import controller as logic
from cresstray.policy.types import Ending, Submission

if TYPE_CHECKING:
    from cresstray.pipeline.idempotency_checks import Marked


class Book:
    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self.marked: Marked | None = None  # where marks are kept in a store
        self.open: dict[Submission, Errand] = {}  # until answered and nothing of it is out

    def opened(self, errand: Errand) -> None:
        self.open[errand.submission] = errand
        errand.asker.open[errand.number] = errand
        self._counters.add("submissions accepted")

    def owed(self) -> int:
        """How many still wait for their answer."""
        return sum(not errand.answered for errand in self.open.values())

    def close(self, last_stop: int) -> None:
        """The gateway ends then: that is a hard stop for all that is open."""
        for submission in self.open:
            logic.end_by(submission, last_stop)

    def fulfil(self, submission: Submission, result: bytes) -> None:
        errand = self._answer(submission, "fulfilled")
        if errand is not None:
            read = submission.read
            errand.asker.fulfil(errand.number, result, read.at() if read is not None else None)
            self._tell(submission, "fulfilled", result)

    def deny(self, submission: Submission, come_back: int) -> None:
        errand = self._answer(submission, "denied")
        if errand is not None:
            errand.asker.deny(errand.number, come_back)
            self._tell(submission, "denied")

    def abandon(self, submission: Submission) -> None:
        errand = self._answer(submission, "abandoned")
        if errand is not None:
            errand.asker.abandon(errand.number)
            self._tell(submission, "abandoned")

    def left(self, errand: Errand) -> None:
        """Nothing is owed any more."""
        errand.answered = True
        del errand.asker.open[errand.number]
        self._counters.add("submissions left")
        self._tell(errand.submission, "left")

    def _tell(self, submission: Submission, how: str, result: bytes | None = None) -> None:
        """Behind the answer, which waits for no mark."""
        if self.marked is not None:
            self.marked.ended(submission, how, result)

    def _answer(self, submission: Submission, how: str) -> Errand | None:
        errand = self.open.get(submission)
        self._counters.must(errand is not None, "an answer belongs to an open submission")
        if errand is None:
            return None
        self._counters.must(not errand.answered, "a submission is answered once")
        if errand.answered:
            return None
        errand.answered = True
        self._counters.add(f"submissions {how}")
        self.settle(submission)
        return errand

    def relay_ended(self, ending: Ending) -> None:
        self._counters.add(f"relays {ending.value}")

    def tell_far(self, submission: Submission, ending: Ending) -> None:
        """Who asked from another hall must know whether its relay ran, whatever the answer is."""
        errand = self.open.get(submission)
        if errand is not None:
            errand.asker.relay_ended(errand.number, ending)

    def settle(self, submission: Submission) -> None:
        """Forgets what is answered and has nothing out."""
        errand = self.open.get(submission)
        if errand is not None and errand.answered and submission.relay is None:
            del self.open[submission]
            # Danger: relays and submissions point to each other; what only the collector frees costs pauses.
            submission.relays.clear()
