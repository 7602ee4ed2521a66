"""What lets a session go on through any gateway, with nothing kept here: tokens, and the copy it keeps to."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterable
from typing import NamedTuple

_DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz_"  # the last one as a check digit only
_TOKEN = re.compile(r"([0-9a-z]{1,7})\.([0-9a-z]{1,7})\.([0-9a-z]{1,11})\.([0-9a-z_])")
_MOST_NUMBER, _MOST_POSITION = 2**32 - 1, 2**53 - 1


class Token(NamedTuple):
    """As far as a client has seen one shard."""

    shard: int
    epoch: int
    position: int


def token(at: Token) -> str:
    """Three numbers in base 36 and a check digit, 28 letters at the most."""
    body = ".".join(_base36(number) for number in at)
    return f"{body}.{_check(body)}"


def parsed(after: str) -> Token:
    """ValueError says what is wrong with it."""
    found = _TOKEN.fullmatch(after)
    if not found:
        raise ValueError("is no token that an answer carried")
    body, _, check = after.rpartition(".")
    if _check(body) != check:
        raise ValueError("has a wrong check digit")
    made = Token(*(int(found[n], 36) for n in (1, 2, 3)))
    if made.shard > _MOST_NUMBER or made.epoch > _MOST_NUMBER or made.position > _MOST_POSITION:
        raise ValueError("is out of range")
    return made


def _base36(number: int) -> str:
    text = ""
    while number >= 36:
        number, digit = divmod(number, 36)
        text = _DIGITS[digit] + text
    return _DIGITS[number] + text


def _check(body: str) -> str:
    """Powers of 2 are all different modulo 37 up to the 36th: one letter changed, or two swapped, shows."""
    total, weight = 0, 1
    for letter in body:
        weight = weight * 2 % 37
        total += weight * (36 if letter == "." else _DIGITS.index(letter))
    return _DIGITS[total % 37]


def rendezvous(session: str, copies: Iterable[str]) -> list[str]:
    """The copies in the order in which this session turns to them: the same in all processes."""

    def weight(copy: str) -> tuple[bytes, str]:
        return hashlib.blake2b(f"{session}\0{copy}".encode(), digest_size=8).digest(), copy

    return sorted(copies, key=weight)
