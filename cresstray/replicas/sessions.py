"""Session tokens and sticky replicas, by which a session continues through any gateway without its state."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterable
from typing import NamedTuple

_DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz_"  # the last one as a check digit only
_TOKEN = re.compile(r"([0-9a-z]{1,7})\.([0-9a-z]{1,7})\.([0-9a-z]{1,11})\.([0-9a-z_])")
_MAX_NUMBER, _MAX_POSITION = 2**32 - 1, 2**53 - 1


class SessionToken(NamedTuple):
    """The latest position of a shard that a client has seen."""

    shard: int
    epoch: int
    position: int


def format_token(token: SessionToken) -> str:
    """Returns three numbers in base 36 and a check digit, 28 characters at most."""
    body = ".".join(_base36(number) for number in token)
    return f"{body}.{_check_digit(body)}"


def parse_token(text: str) -> SessionToken:
    """Parses a token as `format_token` wrote it.

    Raises:
        ValueError: it is malformed; the text says how.
    """
    match = _TOKEN.fullmatch(text)
    if not match:
        raise ValueError("is no token that an answer carried")
    body, _, check_digit = text.rpartition(".")
    if _check_digit(body) != check_digit:
        raise ValueError("has a wrong check digit")
    token = SessionToken(*(int(match[group], 36) for group in (1, 2, 3)))
    if token.shard > _MAX_NUMBER or token.epoch > _MAX_NUMBER or token.position > _MAX_POSITION:
        raise ValueError("is out of range")
    return token


def _base36(number: int) -> str:
    text = ""
    while number >= 36:
        number, digit = divmod(number, 36)
        text = _DIGITS[digit] + text
    return _DIGITS[number] + text


def _check_digit(body: str) -> str:
    """Returns a digit that detects one changed or two swapped characters.

    The weights are powers of 2, which all differ modulo 37 up to the 36th.
    """
    total, weight = 0, 1
    for character in body:
        weight = weight * 2 % 37
        total += weight * (36 if character == "." else _DIGITS.index(character))
    return _DIGITS[total % 37]


def rendezvous_order(session: str, replicas: Iterable[str]) -> list[str]:
    """Returns the replicas in the order in which this session prefers them, the same in all processes."""

    def weight(replica: str) -> tuple[bytes, str]:
        return hashlib.blake2b(f"{session}\0{replica}".encode(), digest_size=8).digest(), replica

    return sorted(replicas, key=weight)
