"""The names of open and of recent requests, kept in little memory. Free of I/O."""

from __future__ import annotations

from array import array
from collections.abc import Callable, Iterable, Iterator

# A name that is used again within this time is a mistake or an attack.
_GENERATION_US = 10_000_000
_GENERATIONS = 2
_HEX = 16
_NAME_BITS = 64
# Names are looked up in a bucket one after the other: a hundred in the largest ones.
_BUCKET_SHIFT = _NAME_BITS - 11
# A name in its bucket, which grows ahead by an eighth.
_NAME_BYTES = 9


class _Generation:
    """The names of one span of time, as numbers of 64 bits in buckets by their first bits."""

    def __init__(self) -> None:
        self.buckets: dict[int, array[int]] = {}
        self.count = 0

    def add(self, number: int) -> None:
        place = number >> _BUCKET_SHIFT
        bucket = self.buckets.get(place)
        if bucket is None:
            bucket = self.buckets[place] = array("Q")
        bucket.append(number)
        self.count += 1

    def __iter__(self) -> Iterator[int]:
        for bucket in self.buckets.values():
            yield from bucket


def _to_number(name: str) -> int:
    try:
        return int(name, _HEX)
    except ValueError:
        return int.from_bytes(name.encode()[-_NAME_BITS // 8 :], "big")


class RecentNames:
    """Remembers the names of requests: as long as a request is open, and for ten to twenty seconds beside.

    That time counts from the first use of the name, and again from the end of its request. Names are strings
    of 16 hexadecimal digits; any other string is known by its last eight bytes once its request has ended.
    `max_bytes()` returns the memory that the names of requests may take that are not open; if they would
    take more, the oldest are forgotten early.
    """

    def __init__(self, max_bytes: Callable[[], int]) -> None:
        self._max_bytes = max_bytes
        self._max_count = 0  # in one generation
        self._current = _Generation()
        self._previous = _Generation()
        self._next_generation_us = 0
        self._open: dict[str, _Generation] = {}  # the current generation at the time the request was opened

    def add(self, name: str, now_us: int) -> bool:
        """Remembers a name; returns whether it is new."""
        if name in self._open:
            return False
        if now_us >= self._next_generation_us or self._current.count >= self._max_count:
            self._begin_generation(now_us)
        number = _to_number(name)
        place = number >> _BUCKET_SHIFT
        if number in self._current.buckets.get(place, ()) or number in self._previous.buckets.get(place, ()):
            return False
        self._current.add(number)
        return True

    def open(self, name: str) -> None:
        """Keeps a name, which was added, until its request is closed, whatever time and memory that takes."""
        self._open[name] = self._current

    def close(self, name: str) -> None:
        """Remembers the name of a request that has ended as if it was used now."""
        if self._open.pop(name, None) is not self._current:
            self._current.add(_to_number(name))

    def _begin_generation(self, now_us: int) -> None:
        self._previous = self._current
        self._current = _Generation()
        self._next_generation_us = now_us + _GENERATION_US
        self._max_count = self._max_bytes() // (_GENERATIONS * _NAME_BYTES)

    def names(self) -> list[str]:
        """Returns all names, those of the current generation last."""
        return [f"{number:016x}" for part in (self._previous, self._current) for number in sorted(part)]

    def add_earlier(self, names: Iterable[str], now_us: int) -> None:
        """Treats the names that the preceding process handed over as used."""
        for name in names:
            self._previous.add(_to_number(name))
        if not self._next_generation_us:
            self._next_generation_us = now_us + _GENERATION_US
            self._max_count = self._max_bytes() // (_GENERATIONS * _NAME_BYTES)

    def clear(self) -> None:
        """Forgets all names, also those of open requests."""
        self._current = _Generation()
        self._previous = _Generation()
        self._next_generation_us = 0
        self._max_count = 0
        self._open.clear()
