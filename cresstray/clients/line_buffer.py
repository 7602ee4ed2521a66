"""The data received on one connection and not handled yet, cut into lines. Free of I/O."""

from __future__ import annotations


class LineBuffer:
    """Whole lines, and after them the beginning of a line that is not complete yet: the partial line.

    Attributes:
        data: the bytes that are held.
        has_lines: whether at least one whole line is held.
    """

    def __init__(self) -> None:
        self.data = bytearray()
        self.has_lines = False
        self._is_skipping_line = False  # whether received data is discarded up to the end of a dropped line

    def __len__(self) -> int:
        """Returns the number of bytes that are held."""
        return len(self.data)

    def append(self, data: bytes) -> None:
        """Adds received data, which may be split anywhere."""
        if self._is_skipping_line:
            data = self._skip_line(data)
        self.data += data
        self.has_lines = self.has_lines or b"\n" in data

    def _skip_line(self, data: bytes) -> bytes:
        """Returns the data after the end of the line that is being skipped."""
        line_end = data.find(b"\n") + 1
        self._is_skipping_line = not line_end
        return data[line_end:] if line_end else b""

    def take_lines(self, max_lines: int) -> list[bytes]:
        """Removes whole lines and returns them without their line feeds; all of them if `max_lines` is -1."""
        *lines, rest = bytes(self.data).split(b"\n", max_lines)
        self.data[:] = rest
        self.has_lines = b"\n" in rest
        return lines

    def partial_line_bytes(self) -> int:
        """Returns the size of the partial line."""
        return len(self.data) - (self.data.rfind(b"\n") + 1)

    def drop_partial_line(self) -> None:
        """Drops the partial line, also what is still to be received of it."""
        del self.data[len(self.data) - self.partial_line_bytes() :]
        self._is_skipping_line = True
