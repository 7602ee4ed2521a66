"""The pages of one result, put together in order."""

from __future__ import annotations

from cresstray.engines.codec import EngineProtocolError

# A result holds 48,000 bytes at most; in pages of some hundred it is still to be had.
_MOST_PAGES, _LONGEST = 512, 48_000
# The signs of a row of three columns, and all that is none of them.
_ROW = b"\t\t\n"
_TEXT = bytes(set(range(256)) - set(_ROW))


class ResultPages:
    """Takes the pages in any order; whole once the last one is there. What is no page ends the link."""

    __slots__ = ("_pages", "_missing", "_size")

    def __init__(self, count: int, first: bytes) -> None:
        if count > _MOST_PAGES:
            raise EngineProtocolError(f"a result of {count} pages")
        self._pages: list[bytes | None] = [None] * count
        self._missing, self._size = count, 0
        self.add(0, first)

    def add(self, number: int, body: bytes) -> bool:
        """Whether it is new; a second copy is left alone."""
        if not 0 <= number < len(self._pages):
            raise EngineProtocolError(f"page {number} of {len(self._pages)}")
        if self._pages[number] is not None:
            return False
        self._size += len(body)
        if self._size > _LONGEST or not _are_rows(body):
            raise EngineProtocolError(f"no rows, or too many: {body[:40]!r}")
        self._pages[number] = body
        self._missing -= 1
        return True

    def assemble(self) -> bytes | None:
        return None if self._missing else b"".join(self._pages)


def _are_rows(body: bytes) -> bool:
    # Danger: a client would take noise for its rows.
    try:
        body.decode()
    except UnicodeDecodeError:
        return False
    return body[-1:] in (b"", b"\n") and body.translate(None, _TEXT) == _ROW * body.count(b"\n")
