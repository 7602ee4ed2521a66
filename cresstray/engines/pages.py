"""The pages of one result, put together in order."""

from __future__ import annotations

from cresstray.engines.codec import BrokenError

# A result holds 48,000 bytes at most, and a page a row at least; this many pages are more than any needs.
_MOST_PAGES = 4096


class Pages:
    """Takes the pages in any order; whole once the last one is there."""

    __slots__ = ("_pages", "_missing")

    def __init__(self, count: int, first: bytes) -> None:
        if count > _MOST_PAGES:
            raise BrokenError(f"a result of {count} pages")
        self._pages: list[bytes | None] = [None] * count
        self._pages[0] = first
        self._missing = count - 1

    def add(self, number: int, body: bytes) -> None:
        if not 0 < number < len(self._pages):
            raise BrokenError(f"page {number} of {len(self._pages)}")
        if self._pages[number] is not None:
            raise BrokenError(f"page {number} came twice")
        self._pages[number] = body
        self._missing -= 1

    def whole(self) -> bytes | None:
        return None if self._missing else b"".join(self._pages)
