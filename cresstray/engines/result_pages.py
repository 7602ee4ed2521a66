"""The pages of one result, put together in order."""

from __future__ import annotations

from cresstray.engines.codec import EngineProtocolError

# A result has 48,000 bytes at most, and fits even if its pages have some hundred.
_MAX_PAGES = 512
_MAX_RESULT_BYTES = 48_000
# The separators in a row of three columns, and all bytes that are none.
_ROW_SEPARATORS = b"\t\t\n"
_NO_SEPARATORS = bytes(set(range(256)) - set(_ROW_SEPARATORS))


class ResultPages:
    """Takes the pages of a result in any order, and is whole once the last one has come.

    Raises:
        EngineProtocolError: from every method that takes a page, if it is none.
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
        """Adds a page, the first being 0; False if it had come before, and nothing is changed."""
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
    """Whether it is text in rows of three columns; a client would take anything else for rows too."""
    try:
        body.decode()
    except UnicodeDecodeError:
        return False
    if body[-1:] not in (b"", b"\n"):
        return False
    return body.translate(None, _NO_SEPARATORS) == _ROW_SEPARATORS * body.count(b"\n")
