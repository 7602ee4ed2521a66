"""The names of recent requests, kept in little memory. Free of I/O."""

from __future__ import annotations

from array import array
from collections.abc import Callable, Iterable, Iterator

# A name that is used again within this time is a mistake or an attack.
_GENERATION_US = 10_000_000
_GENERATIONS = 2
_HEX = 16
_NAME_BITS = 64
# Names are looked up in a bucket one after the other: a hundred in the largest ones.
_BUCKET_BITS = 11
# A name in its bucket, which grows ahead by an eighth.
_NAME_BYTES = 9


class _Generation:
    """The names of one span of time, as numbers of 64 bits in buckets by their first bits."""

    def __init__(self) -> None:
        self._buckets: dict[int, array[int]] = {}
        self.count = 0

    def __contains__(self, number: int) -> bool:
        return number in self._buckets.get(number >> (_NAME_BITS - _BUCKET_BITS), ())

    def add(self, number: int) -> None:
        bucket = self._buckets.setdefault(number >> (_NAME_BITS - _BUCKET_BITS), array("Q"))
        bucket.append(number)
        self.count += 1

    def __iter__(self) -> Iterator[int]:
        for bucket in self._buckets.values():
            yield from bucket


def _to_number(name: str) -> int:
    try:
        return int(name, _HEX)
    except ValueError:
        return int.from_bytes(name.encode()[-_NAME_BITS // 8 :], "big")


class RecentNames:
    """Remembers names for ten to twenty seconds.

    Names are strings of 16 hexadecimal digits. `max_bytes()` returns the memory that they may take; if they
    would take more, the oldest are forgotten early. Any other string is known by its last eight bytes.
    """

    def __init__(self, max_bytes: Callable[[], int]) -> None:
        self._max_bytes = max_bytes
        self._current = _Generation()
        self._previous = _Generation()
        self._next_generation_us = 0

    def add(self, name: str, now_us: int) -> bool:
        """Remembers a name; returns whether it is new."""
        max_count = self._max_bytes() // (_GENERATIONS * _NAME_BYTES)
        if now_us >= self._next_generation_us or self._current.count >= max_count:
            self._previous = self._current
            self._current = _Generation()
            self._next_generation_us = now_us + _GENERATION_US
        number = _to_number(name)
        if number in self._current or number in self._previous:
            return False
        self._current.add(number)
        return True

    def names(self) -> list[str]:
        """Returns all names, those of the current generation last."""
        return [f"{number:016x}" for part in (self._previous, self._current) for number in sorted(part)]

    def add_earlier(self, names: Iterable[str], now_us: int) -> None:
        """Treats the names that the preceding process handed over as used."""
        for name in names:
            self._previous.add(_to_number(name))
        self._next_generation_us = self._next_generation_us or now_us + _GENERATION_US

    def clear(self) -> None:
        """Forgets all names."""
        self._current = _Generation()
        self._previous = _Generation()
        self._next_generation_us = 0
