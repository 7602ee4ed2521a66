"""What both ends of a link have in common: who they are, how they write, who takes which frame. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

from cresstray.sites import codec
from cresstray.sites.codec import FramingError
from cresstray.sites.health import Health

# The far side writes so many pages of a result ahead; half of them read, it is told so.
WINDOW = 4


@dataclass(frozen=True)
class Place:
    """Who a gateway is: its hall, its name there, and this life of it."""

    hall: str
    name: str
    incarnation: str


class End:
    """One end, on whatever connection there is; `write` takes bytes, and whether they must go at once."""

    _TAKES: ClassVar[dict[type, Callable]]
    _OTHER: ClassVar[str]  # whom it hears

    def __init__(self, me: Place, health: Health, now: Callable[[], int]) -> None:
        self._me, self._health, self._now = me, health, now
        self._write: Callable[[bytes, bool], None] | None = None

    def _put(self, frame: codec.Frame, at_once: bool = False) -> None:
        if self._write is not None:
            self._write(codec.encode_frame(frame), at_once)

    def _take(self, frame: codec.Frame, now: int) -> None:
        """BrokenError for a frame that is not the other side's to send."""
        self._health.word(now)
        take = self._TAKES.get(type(frame))
        if take is None:
            raise FramingError(f"a {type(frame).__name__} from the {self._OTHER} side")
        take(self, frame, now)

    def dawdle(self) -> int:
        """Microseconds that a word may wait for others."""
        return self._health.dawdle(self._now())
