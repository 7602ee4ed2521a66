"""What an operator's file sets of the store of marks that several gateways share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from cresstray.config import lines
from cresstray.config.lines import Section, Sheet, one_of

if TYPE_CHECKING:
    from collections.abc import Callable

# Bytes of an outcome that is kept: two of them and a mark's head stay within what the client reads as one
# string.
_MOST_ANSWER = 64 * 1024
# Danger: one store is asked in two round trips for each first relay; with a list of all tariffs it would be
# in the way of each look-up. Eight are more than any deployment has of those that may do harm twice.
_MOST_TARIFFS = 8
# Microseconds. A store that is away for an hour will not come back by itself. A millisecond is a good round
# trip; a submission is open for three seconds at most, and needs them for its relay. A mark that is kept for
# less than a minute guards against little more than the engines do; after a week nobody asks again.
_BOUNDS = {
    "unguarded-for": (1_000_000, 3_600_000_000),
    "ask-most": (1_000, 1_000_000),
    "slow": (1_000, 1_000_000),
    "kept": (60_000_000, 604_800_000_000),
}


class StoreTls(msgspec.Struct, frozen=True):
    """Paths of PEM files: whose certificates the store may show, and ours, where it wants one."""

    authority: str
    certificate: str = ""
    key: str = ""


class Store(msgspec.Struct, frozen=True):
    """Times in microseconds, sizes in bytes. docs/operators/store.md tells of each line."""

    addresses: tuple[tuple[str, int], ...]
    tariffs: tuple[str, ...]
    namespace: str = "cresstray"
    user: str = "default"
    password: str = ""  # a path
    tls: StoreTls | None = None
    journal: str = ""  # a path
    answers: int = 0
    unguarded: tuple[tuple[str, int], ...] = ()  # tariffs, each with submissions a second without the store
    unguarded_for: int = 60_000_000
    ask_most: int = 250_000
    slow: int = 50_000
    kept: int = 3_600_000_000

    def lines(self) -> dict[str, Any]:
        """As a plain map, for what decides about marks."""
        return {
            "namespace": self.namespace,
            "tariffs": list(self.tariffs),
            "answers": self.answers,
            "unguarded": dict(self.unguarded),
            "unguarded_s": self.unguarded_for / 1e6,
            "ask_most_ms": self.ask_most / 1000,
            "slow_ms": self.slow / 1000,
            "kept_s": self.kept / 1e6,
        }


def _addresses(words: list[str]) -> tuple[tuple[str, int], ...]:
    if len(words) not in (1, 2):
        raise ValueError("one address or two, each HOST:PORT")
    found = tuple(lines.address(word) for word in words)
    if len(set(found)) < len(found):
        raise ValueError("two different addresses")
    if any(":" in host or not port for host, port in found):
        raise ValueError("IPv4 addresses or names, and ports over 0")
    return found


def _tariffs(words: list[str]) -> tuple[str, ...]:
    if not 1 <= len(words) <= _MOST_TARIFFS or len(set(words)) < len(words):
        raise ValueError(f"one to {_MOST_TARIFFS} different names")
    return tuple(map(lines.name, words))


def _path(word: str) -> str:
    # Danger: by another working directory another file would be meant.
    if not word.startswith("/"):
        raise ValueError("a path from / on")
    return word


def _tls(words: list[str]) -> StoreTls:
    if len(words) not in (1, 3):
        raise ValueError("AUTHORITY, or AUTHORITY CERTIFICATE KEY")
    return StoreTls(*map(_path, words))


def _answers(word: str) -> int:
    if word == "none":
        return 0
    size = lines.size(word)
    if size > _MOST_ANSWER:
        raise ValueError("64k at the most")
    return size


def _unguarded(words: list[str]) -> tuple[tuple[str, int], ...]:
    if words == ["none"]:
        return ()
    if not words or len(words) % 2 or len(set(words[::2])) < len(words) // 2:
        raise ValueError("none, or each tariff once, with its submissions a second")
    return tuple((lines.name(name), lines.count(most)) for name, most in zip(words[::2], words[1::2]))


def _shown(span: int) -> str:
    return f"{span // 60_000_000}m" if span >= 60_000_000 else f"{span // 1000}ms"


_LINES: dict[str, Callable[[list[str]], Any]] = {
    "addresses": _addresses,
    "tariffs": _tariffs,
    "namespace": one_of(lines.name),
    "user": one_of(lines.name),
    "password": one_of(_path),
    "tls": _tls,
    "journal": one_of(_path),
    "answers": one_of(_answers),
    "unguarded": _unguarded,
    "unguarded-for": one_of(lines.span),
    "ask-most": one_of(lines.span),
    "slow": one_of(lines.span),
    "kept": one_of(lines.span),
}
KNOWN: dict[str, dict[str, Any]] = {"store": _LINES}


def store(sheet: Sheet, section: Section, made: dict[str, Any]) -> Store | None:
    """None where there is a fault; `made` has what the lines below it set."""
    for keyword, what in (("addresses", "HOST:PORT [HOST:PORT]"), ("tariffs", "NAME...")):
        if keyword not in section.lines:
            sheet.fault(section.number, f"a line '{keyword} {what}' below it")
    # Danger: marks and outcomes would cross a network in the clear, and anybody could settle one.
    for host, _ in made.get("addresses", ()):
        if "tls" not in section.lines and not lines.is_loopback(host):
            sheet.fault(section.lines["addresses"].number, f"a line 'tls', as {host} is not this machine")
    if "user" in made and "password" not in section.lines:
        sheet.fault(section.lines["user"].number, "a line 'password' as well")
    for name, _ in made.get("unguarded", ()):
        if name not in made.get("tariffs", (name,)):
            number = section.lines["unguarded"].number
            sheet.fault(number, f"tariffs of the line 'tariffs'; {name!r} is not there")
    for keyword, (least, most) in _BOUNDS.items():
        if not least <= made.get(keyword, least) <= most:
            sheet.fault(section.lines[keyword].number, f"{keyword} from {_shown(least)} to {_shown(most)}")
    if sheet.faults:
        return None
    return Store(**{keyword.replace("-", "_"): value for keyword, value in made.items()})
