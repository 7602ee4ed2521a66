"""Assembles the pages of one result."""

from __future__ import annotations

from cresstray.engines.codec import EngineProtocolError

# A result of the maximum size fits into so many pages even if each has only about a hundred bytes.
_MAX_PAGES = 512
_MAX_RESULT_BYTES = 48_000
# The separators in a row of three columns, and all other bytes.
_ROW_SEPARATORS = b"\t\t\n"
_NO_SEPARATORS = bytes(set(range(256)) - set(_ROW_SEPARATORS))


class ResultPages:
    """Collects the pages of a result, which may arrive in any order.

    Raises:
        EngineProtocolError: by each method that takes a page, if the page is not valid.
    """

    __slots__ = ("_missing_count", "_pages", "_size_bytes")

    def __init__(self, count: int, first: bytes) -> None:
        if count > _MAX_PAGES:
            raise EngineProtocolError(f"a result of {count} pages")
        self._pages: list[bytes | None] = [None] * count
        self._missing_count = count
        self._size_bytes = 0
        self.add(0, first)

    def add(self, number: int, body: bytes) -> bool:
        """Adds a page, counted from 0; returns False, and changes nothing, if the page is known already."""
        if not 0 <= number < len(self._pages):
            raise EngineProtocolError(f"page {number} of {len(self._pages)}")
        if self._pages[number] is not None:
            return False
        self._size_bytes += len(body)
        if self._size_bytes > _MAX_RESULT_BYTES or not _are_rows(body):
            raise EngineProtocolError(f"no rows, or too many: {body[:40]!r}")
        self._pages[number] = body
        self._missing_count -= 1
        return True

    def assemble(self) -> bytes | None:
        """Returns the result, or None while pages are missing."""
        if self._missing_count:
            return None
        return b"".join(page for page in self._pages if page is not None)


def _are_rows(body: bytes) -> bool:
    """Whether the body is text in rows of three columns, as clients parse it without a check of their own."""
    try:
        body.decode()
    except UnicodeDecodeError:
        return False
    if body[-1:] not in (b"", b"\n"):
        return False
    return body.translate(None, _NO_SEPARATORS) == _ROW_SEPARATORS * body.count(b"\n")
