"""What a client asks of a read, in the first comment of its statement:
`/*+ cresstray read=replica within=2s session=ab12 after=16.3.1yea.j else=primary */`."""

from __future__ import annotations

import re
from enum import Enum

import msgspec

from cresstray.replicas.sessions import Token, parsed
from cresstray.tables import first_comment

_WORD = re.compile(r"[^\s=]+=\S*|\S+")
_SPAN = re.compile(r"(\d{1,9})(ms|s|m)")
_UNITS = {"ms": 1000, "s": 1_000_000, "m": 60_000_000}
# Below 10 ms no round trip could show it; beyond ten minutes nothing is remembered of a head.
_LEAST, _MOST = 10_000, 600_000_000
_SESSION = re.compile(r"[0-9A-Za-z_.:-]{1,64}")
_KEYS = ("read", "within", "session", "after", "else")


class HintError(ValueError):
    """A hint that can't be followed; its text says why."""


class Else(Enum):
    """What becomes of a read that no copy may serve."""

    PRIMARY = "primary"
    WAIT = "wait"
    DENY = "deny"


class Hint(msgspec.Struct, frozen=True):
    primary: bool  # read=primary: nothing else may serve it
    within: int = 0  # microseconds
    session: str | None = None
    after: Token | None = None
    otherwise: Else = Else.PRIMARY


def read_hint(statement: str) -> Hint | None:
    """None where its first comment is no hint of ours; HintError where it is one that can't be followed."""
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
    given: dict[str, str] = {}
    for word in words[1:]:
        key, equals, value = word.partition("=")
        if key not in _KEYS:
            raise HintError(f"{key[:40]!r} is none of {', '.join(_KEYS)}")
        if not equals or not value:
            raise HintError(f"{key} without a value")
        if key in given:
            raise HintError(f"{key} stands twice")
        given[key] = value
    return _checked(given)


def _checked(given: dict[str, str]) -> Hint:
    read = given.get("read")
    if read is None:
        raise HintError("read=replica or read=primary is missing")
    if read not in ("replica", "primary"):
        raise HintError(f"read={read[:40]} is neither replica nor primary")
    after = _after(given["after"]) if "after" in given else None
    if read == "primary":
        for key in ("within", "session", "else"):
            if key in given:
                raise HintError(f"{key} contradicts read=primary")
        return Hint(True, after=after)
    if "within" not in given:
        raise HintError("read=replica without within")
    session = given.get("session")
    if session is not None and not _SESSION.fullmatch(session):
        raise HintError("session takes 1 to 64 letters, digits, and _ . : -")
    try:
        otherwise = Else(given.get("else", "primary"))
    except ValueError:
        raise HintError(f"else={given['else'][:40]} is none of primary, wait, deny") from None
    return Hint(False, _within(given["within"]), session, after, otherwise)


def _within(text: str) -> int:
    found = _SPAN.fullmatch(text)
    if not found:
        raise HintError(f"within={text[:40]} is no time such as 500ms or 2s")
    span = int(found[1]) * _UNITS[found[2]]
    if not _LEAST <= span <= _MOST:
        raise HintError(f"within={text} is out of range, 10ms to 10m")
    return span


def _after(text: str) -> Token:
    try:
        return parsed(text)
    except ValueError as trouble:
        raise HintError(f"after={text[:40]} {trouble}") from None
