"""Second stage: the submission is the gateway's from here on, and the module's to decide."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.logic import Gateway
from cresstray.passage.book import Book
from cresstray.passage.errand import Errand

if TYPE_CHECKING:
    from cresstray.halls.credit import Share


class Admit:
    def __init__(self, book: Book) -> None:
        self._book = book
        self.gateway: Gateway | None = None  # made with the port, which stands further down the chain
        self.share: Share | None = None  # of what may cross to other halls, where there are any

    def admit(self, errand: Errand, now: int) -> None:
        self._book.opened(errand)
        if self.share is not None and not errand.submission.foreign:
            self.share.taken(now)
        self.gateway.accept(errand.submission, now)

    def leave(self, errand: Errand, now: int) -> None:
        """The client has left; the module gives up what is out."""
        self._book.left(errand)
        self.gateway.client_left(errand.submission, now)
        self._book.settle(errand.submission)
