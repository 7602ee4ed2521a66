"""The data received on one connection and not handled yet, cut into lines. Free of I/O."""

from __future__ import annotations

import re
from collections import deque
from typing import NamedTuple

# Longer strings are dropped from a line that is shortened. In a request only the statement may be longer.
_MAX_KEPT_STRING_BYTES = 256
# A request has some twenty strings. Each pass over a line with very many takes long.
MAX_QUOTES = 256
# A string and its closing quote, which is missing from the last string of a line that is not complete.
_JSON_STRING = re.compile(rb'"((?:[^"\\]++|\\.)*+)("?)')


class ReceivedLine(NamedTuple):
    """A whole line without its line feed, and when its last byte was received, in microseconds."""

    content: bytes
    received_us: int


class LineBuffer:
    """Whole lines, and after them the beginning of a line that is not complete yet: the partial line.

    Attributes:
        data: the bytes that are held.
        has_lines: whether at least one whole line is held.
        dropped_bytes: how many bytes of the first line were dropped by `shorten_partial_line`.
    """

    def __init__(self) -> None:
        self.data = bytearray()
        self.has_lines = False
        self.dropped_bytes = 0
        self._received: deque[tuple[int, int]] = deque()  # how many of the lines were received when
        self._is_skipping_line = False  # whether received data is discarded up to the end of a dropped line

    def __len__(self) -> int:
        """Returns the number of bytes that are held."""
        return len(self.data)

    def append(self, data: bytes, received_us: int) -> None:
        """Adds data that was received at that time, which may be split anywhere."""
        if self._is_skipping_line:
            data = self._skip_line(data)
        self.data += data
        line_count = data.count(b"\n")
        if line_count:
            self._received.append((line_count, received_us))
            self.has_lines = True

    def _skip_line(self, data: bytes) -> bytes:
        """Returns the data after the end of the line that is being skipped."""
        line_end = data.find(b"\n") + 1
        self._is_skipping_line = not line_end
        return data[line_end:] if line_end else b""

    def take_lines(self, max_lines: int) -> list[ReceivedLine]:
        """Removes whole lines, up to that many, and returns them."""
        lines: list[ReceivedLine] = []
        start = 0
        while self._received and len(lines) < max_lines:
            line_count, received_us = self._received.popleft()
            taken_count = min(line_count, max_lines - len(lines))
            if taken_count < line_count:
                self._received.appendleft((line_count - taken_count, received_us))
            for _ in range(taken_count):
                end = self.data.index(b"\n", start)
                lines.append(ReceivedLine(bytes(self.data[start:end]), received_us))
                start = end + 1
        self._remove(start)
        self.has_lines = bool(self._received)
        self.dropped_bytes = 0
        return lines

    def put_back(self, lines: list[ReceivedLine]) -> None:
        """Puts lines back that were taken last and are not handled, at least one, before all that is held."""
        self.data[:0] = b"".join(line.content + b"\n" for line in lines)
        self._received.extendleft((1, line.received_us) for line in reversed(lines))
        self.has_lines = True

    def oldest_us(self) -> int | None:
        """Returns when the first of the whole lines was received; None without one."""
        return self._received[0][1] if self._received else None

    def shorten_partial_line(self) -> None:
        """Empties the long strings of the partial line, which must be the only line that is held.

        What is left of a JSON message is still one, and its id can be decoded once the line is complete. The
        message must not be handled as if it was whole; `dropped_bytes` tells so. A line with very many
        strings, which is no request, stays as it is.
        """
        held_bytes = len(self.data)
        if self.data.count(b'"') > MAX_QUOTES:
            return
        self.data = bytearray(_JSON_STRING.sub(_without_long_content, self.data))
        self.dropped_bytes += held_bytes - len(self.data)

    def drop_partial_line(self) -> None:
        """Drops the partial line, which must be the only one, and the part of it that is still to come."""
        self.clear()
        self._is_skipping_line = True

    def _remove(self, size_bytes: int) -> None:
        """Removes the first bytes."""
        if size_bytes < len(self.data):
            del self.data[:size_bytes]
        else:
            # One that is emptied in place leaves a remainder where it was, and the memory around it unusable.
            self.data = bytearray()

    def clear(self) -> None:
        """Drops all data."""
        self._remove(len(self.data))
        self._received.clear()
        self.has_lines = False
        self.dropped_bytes = 0


def _without_long_content(string: re.Match[bytes]) -> bytes:
    content, closing_quote = string.groups()
    if len(content) > _MAX_KEPT_STRING_BYTES:
        content = b""
    return b'"' + content + closing_quote
