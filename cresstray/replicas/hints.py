"""Parses read hints, which clients put in the first comment of a statement.

Example: `/*+ cresstray read=replica within=2s session=ab12 after=16.3.1yea.j else=primary */`.
"""

from __future__ import annotations

import re
from enum import Enum

import msgspec

from cresstray.replicas.sessions import SessionToken, parse_token
from cresstray.tables import first_comment

_WORD = re.compile(r"[^\s=]+=\S*|\S+")
_DURATION = re.compile(r"(\d{1,9})(ms|s|m)")
_UNITS_US = {"ms": 1000, "s": 1_000_000, "m": 60_000_000}
# A staleness below 10 ms is less than a round trip and can't be shown; head positions are remembered for ten
# minutes at most.
_MIN_STALENESS_US, _MAX_STALENESS_US = 10_000, 600_000_000
_SESSION = re.compile(r"[0-9A-Za-z_.:-]{1,64}")
_KEYS = ("read", "within", "session", "after", "else")


class HintError(ValueError):
    """A hint that can't be followed; its text says why."""


class Fallback(Enum):
    """What happens to a read that no replica may serve."""

    PRIMARY = "primary"
    WAIT = "wait"
    DENY = "deny"


class ReadHint(msgspec.Struct, frozen=True):
    """A parsed read hint.

    Attributes:
        is_primary: Whether the read must go to the primary (`read=primary`).
        max_staleness_us: How old the data that the read shows may be.
        session: The session that keeps to one replica; None: no session.
        after: The position that the read must include; None: any.
        fallback: What happens if no replica may serve the read.
    """

    is_primary: bool = msgspec.field(name="primary")
    max_staleness_us: int = msgspec.field(name="within", default=0)
    session: str | None = None
    after: SessionToken | None = None
    fallback: Fallback = msgspec.field(name="otherwise", default=Fallback.PRIMARY)


def parse_hint(statement: str) -> ReadHint | None:
    """Returns the hint of a statement; None if its first comment is not a hint for cresstray.

    Raises:
        HintError: the hint can't be followed.
    """
    if "cresstray" not in statement:
        return None
    comment = first_comment(statement)
    if comment is None or not comment.startswith("/*+"):
        return None
    words = _WORD.findall(comment[3:].removesuffix("*/"))
    if not words or words[0] != "cresstray":
        return None
    if len(comment) < 5 or not comment.endswith("*/"):
        raise HintError("the hint has no end")
    options: dict[str, str] = {}
    for word in words[1:]:
        key, equals, value = word.partition("=")
        if key not in _KEYS:
            raise HintError(f"{key[:40]!r} is none of {', '.join(_KEYS)}")
        if not equals or not value:
            raise HintError(f"{key} without a value")
        if key in options:
            raise HintError(f"{key} stands twice")
        options[key] = value
    return _validated_hint(options)


def _validated_hint(options: dict[str, str]) -> ReadHint:
    read = options.get("read")
    if read is None:
        raise HintError("read=replica or read=primary is missing")
    if read not in ("replica", "primary"):
        raise HintError(f"read={read[:40]} is neither replica nor primary")
    after = _parse_after(options["after"]) if "after" in options else None
    if read == "primary":
        for key in ("within", "session", "else"):
            if key in options:
                raise HintError(f"{key} contradicts read=primary")
        return ReadHint(True, after=after)
    if "within" not in options:
        raise HintError("read=replica without within")
    session = options.get("session")
    if session is not None and not _SESSION.fullmatch(session):
        raise HintError("session takes 1 to 64 letters, digits, and _ . : -")
    try:
        fallback = Fallback(options.get("else", "primary"))
    except ValueError:
        raise HintError(f"else={options['else'][:40]} is none of primary, wait, deny") from None
    return ReadHint(False, _parse_staleness(options["within"]), session, after, fallback)


def _parse_staleness(text: str) -> int:
    match = _DURATION.fullmatch(text)
    if not match:
        raise HintError(f"within={text[:40]} is no time such as 500ms or 2s")
    staleness_us = int(match[1]) * _UNITS_US[match[2]]
    if not _MIN_STALENESS_US <= staleness_us <= _MAX_STALENESS_US:
        raise HintError(f"within={text} is out of range, 10ms to 10m")
    return staleness_us


def _parse_after(text: str) -> SessionToken:
    try:
        return parse_token(text)
    except ValueError as error:
        raise HintError(f"after={text[:40]} {error}") from None
