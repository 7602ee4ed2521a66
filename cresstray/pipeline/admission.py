"""Second stage: the submission is the gateway's from here on, and the module's to decide."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.pipeline.accounting import Book
from cresstray.pipeline.request_context import Errand
from cresstray.policy.controller import Gateway

if TYPE_CHECKING:
    from cresstray.membership.recovery import Keep
    from cresstray.pipeline.idempotency_checks import Marked
    from cresstray.sites.flow_control import Share


class Admit:
    def __init__(self, book: Book) -> None:
        self._book = book
        self.gateway: Gateway | None = None  # made with the port, which stands further down the chain
        self.share: Share | None = None  # of what may cross to other halls, where there are any
        self.keep: Keep | None = None  # where a list is kept on disk
        self.marked: Marked | None = None  # where marks are kept in a store

    def admit(self, errand: Errand, now: int) -> None:
        self._book.opened(errand)
        if self.keep is not None and self._refused(errand, now):
            return
        if self.marked is not None and self.marked.holds(errand, now, lambda now: self._accept(errand, now)):
            return
        self._accept(errand, now)

    def _accept(self, errand: Errand, now: int) -> None:
        if self.share is not None and not errand.submission.foreign:
            self.share.taken(now)
        self.gateway.accept(errand.submission, now)

    def _refused(self, errand: Errand, now: int) -> bool:
        """Nothing is known well enough yet to send it anywhere; who asks from another hall counts on us."""
        submission = errand.submission
        wait = None if submission.foreign else self.keep.refuses(submission, now)
        if wait is None:
            return False
        submission.ended = True
        self._book.deny(submission, wait)
        return True

    def leave(self, errand: Errand, now: int) -> None:
        """The client has left; the module gives up what is out."""
        self._book.left(errand)
        if self.marked is None or not self.marked.leaves(errand.submission):
            self.gateway.client_left(errand.submission, now)
        self._book.settle(errand.submission)
