"""Second stage: the submission is the gateway's from here on, and the module's to decide."""

from __future__ import annotations

from cresstray.logic import Gateway
from cresstray.passage.book import Book
from cresstray.passage.errand import Errand


class Admit:
    def __init__(self, book: Book) -> None:
        self._book = book
        self.gateway: Gateway | None = None  # made with the port, which stands further down the chain

    def admit(self, errand: Errand, now: int) -> None:
        self._book.opened(errand)
        self.gateway.accept(errand.submission, now)

    def leave(self, errand: Errand, now: int) -> None:
        """The client has left; the module gives up what is out."""
        self._book.left(errand)
        self.gateway.client_left(errand.submission, now)
        self._book.settle(errand.submission)
