"""Starts the program, by its WORDS, with a wall clock that can be stepped: `...fleet.stepped FILE [WORDS]`.

FILE has two numbers of eight bytes: nanoseconds by which the wall clock is off, read anew with each look at
it, and how often it was looked at. The monotonic clocks stay as they are, but for `--by-wall` before FILE:
then the clock that all agreed times are read from is stepped as well, to show that this would be found. The C
library's own clock, by which TLS judges certificates, is not reached from here.
"""

from __future__ import annotations

import datetime
import mmap
import struct
import sys
import time
from collections.abc import Callable
from pathlib import Path

_BOTH = struct.Struct("<qq")


def begin(file: Path) -> None:
    """A clock that is right, and that nobody has looked at."""
    file.write_bytes(_BOTH.pack(0, 0))


def step(file: Path, seconds: float) -> None:
    """By so much the wall clock is off from now on; the looks are counted anew."""
    with open(file, "r+b") as shared:
        shared.write(_BOTH.pack(int(seconds * 1e9), 0))


def looks(file: Path) -> int:
    """How often it was looked at since it was last stepped."""
    return _BOTH.unpack(file.read_bytes())[1]


def patched(file: str, by_wall: bool) -> None:
    """Danger: whatever has taken a clock of these modules before keeps the real one; so this comes first."""
    with open(file, "r+b") as opened:
        shared = mmap.mmap(opened.fileno(), _BOTH.size)

    def off() -> int:
        by, count = _BOTH.unpack_from(shared)
        struct.pack_into("<q", shared, 8, count + 1)
        return by

    def moved(real: Callable[..., int], clocks: tuple[int, ...]) -> Callable[[int], int]:
        return lambda clock: real(clock) + (off() if clock in clocks else 0)

    time_ns, now = time.time_ns, datetime.datetime.now
    clocks = (time.CLOCK_REALTIME, *(time.CLOCK_BOOTTIME,) * by_wall)
    time.time = lambda: (time_ns() + off()) / 1e9
    time.time_ns = lambda: time_ns() + off()
    time.clock_gettime_ns = moved(time.clock_gettime_ns, clocks)
    real = time.clock_gettime
    time.clock_gettime = lambda clock: real(clock) + (off() / 1e9 if clock in clocks else 0.0)

    class Stepped(datetime.datetime):
        @classmethod
        def now(cls, tz: datetime.tzinfo | None = None) -> datetime.datetime:
            return now(tz) + datetime.timedelta(microseconds=off() // 1000)

        @classmethod
        def utcnow(cls) -> datetime.datetime:
            return cls.now(datetime.UTC).replace(tzinfo=None)

        @classmethod
        def today(cls) -> datetime.datetime:
            return cls.now()

    datetime.datetime = Stepped


def main(words: list[str]) -> int:
    by_wall = words[:1] == ["--by-wall"]
    file, *words = words[by_wall:]
    patched(file, by_wall)
    from cresstray.__main__ import main as started

    return started(words)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
