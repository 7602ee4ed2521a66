"""Lines of keyword and words, in the manner of classic daemons, as typed values.

A line that is not indented begins a section; the indented ones below it belong to it. Words are split as a
shell would, and # begins a comment. All that is wrong with a file is told at once, each with its line.
"""

from __future__ import annotations

import ipaddress
import re
import shlex
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any


class UnusableError(ValueError):
    """All that is wrong with a file, a line each."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


@dataclass
class Line:
    number: int
    words: list[str]


@dataclass
class Section:
    """One section: its own line, and the lines below it by keyword."""

    number: int
    words: list[str]
    lines: dict[str, Line] = field(default_factory=dict)


class Sheet:
    """One file, with what is wrong with it so far."""

    def __init__(self, path: str, text: str) -> None:
        self.path, self.faults = path, []
        self.sections: list[Section] = []
        for number, raw in enumerate(text.splitlines(), 1):
            try:
                words = shlex.split(raw, comments=True)
            except ValueError as trouble:
                self.fault(number, f"words that can't be told apart: {trouble}")
                continue
            if not words:
                continue
            if raw[0] not in " \t":
                self.sections.append(Section(number, words))
            elif not self.sections:
                self.fault(number, "a section first, at the beginning of a line")
            elif words[0] in self.sections[-1].lines:
                before = self.sections[-1].lines[words[0]].number
                self.fault(number, f"{words[0]!r} once a section; it stands in line {before}")
            else:
                self.sections[-1].lines[words[0]] = Line(number, words[1:])

    def fault(self, number: int, expected: str) -> None:
        self.faults.append(f"{self.path}:{number}: expected {expected}")

    def finish(self) -> None:
        """UnusableError with all faults, in the order of their lines."""
        if self.faults:
            raise UnusableError(sorted(self.faults, key=lambda one: int(one.split(":")[1])))

    def values(self, section: Section, known: dict[str, Callable[[list[str]], Any]]) -> dict[str, Any]:
        """What a section's lines set, by keyword; a converter raises ValueError with what it expected."""
        made = {}
        for keyword, line in section.lines.items():
            if keyword not in known:
                self.fault(line.number, f"one of {', '.join(sorted(known))}; this is {keyword!r}")
                continue
            try:
                made[keyword] = known[keyword](line.words)
            except ValueError as trouble:
                self.fault(line.number, f"{keyword} with {trouble}; this is {' '.join(line.words)!r}")
        return made


def one_of(convert: Callable[[str], Any]) -> Callable[[list[str]], Any]:
    """A converter of exactly one word."""

    def converted(words: list[str]) -> Any:
        if len(words) != 1:
            raise ValueError("one word")
        return convert(words[0])

    return converted


_SPANS = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000}
_SIZES = {"": 1, "k": 1024, "m": 1024**2}


def span(word: str) -> int:
    """Microseconds of a time such as 250ms or 2s."""
    found = re.fullmatch(r"(\d+(?:\.\d+)?)(us|ms|s|m)", word)
    if not found:
        raise ValueError("a time such as 250ms or 2s")
    return int(float(found[1]) * _SPANS[found[2]])


def size(word: str) -> int:
    """Bytes of a size such as 4m."""
    found = re.fullmatch(r"(\d+)([km]?)", word.lower())
    if not found or not int(found[1]):
        raise ValueError("a size such as 64k or 4m")
    return int(found[1]) * _SIZES[found[2]]


def share(word: str) -> float:
    """A part of one, of a share such as 80%."""
    found = re.fullmatch(r"(\d+(?:\.\d+)?)%", word)
    if not found or float(found[1]) > 100:
        raise ValueError("a share from 0% to 100%")
    return float(found[1]) / 100


def count(word: str) -> int:
    if not re.fullmatch(r"[1-9]\d{0,8}", word):
        raise ValueError("a number from 1 up")
    return int(word)


def name(word: str) -> str:
    if not re.fullmatch(r"[A-Za-z0-9](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9])?", word):
        raise ValueError("a name of letters, digits, - and _")
    return word


def address(word: str) -> tuple[str, int]:
    """Host and port of HOST:PORT or [HOST]:PORT."""
    found = re.fullmatch(r"(?:\[([^\]]+)\]|([^:\[\]]+)):(\d{1,5})", word)
    if not found or int(found[3]) > 65535:
        raise ValueError("an address as HOST:PORT")
    return found[1] or found[2], int(found[3])


def is_loopback(host: str) -> bool:
    if host == "localhost":
        return True
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False
