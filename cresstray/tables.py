"""The group of tables that a statement reads or writes, from the number in its schema's name."""

from __future__ import annotations

import re

_NOISE = r"'(?:[^']|'')*'?|--[^\n]*|/\*.*?(?:\*/|\Z)"  # strings with doubled quotes, both kinds of comment
_QUOTED, _PLAIN = r"\"(?P<quoted>(?:[^\"]|\"\")*)\"?", r"(?P<name>[^\W\d][\w$]*)"
_TOKEN = re.compile(rf"{_NOISE}|{_QUOTED}|{_PLAIN}|(?P<sign>\S)", re.DOTALL)
# Danger: of some thousand digits, int() makes an error that would end the client's connection. No fleet has
# so many groups; what is longer is a name like any other.
_GROUP = re.compile(r".*_(\d{1,18})", re.DOTALL)
# Danger: the loop stands still while a statement is read, a quarter of a second for the longest line. A table
# is named within the first kilobytes, or not known; the walk by tokens is some times as slow.
_MOST_READ, _MOST_WALKED = 16_384, 4_096
# Most statements name their tables right behind one of these words, and are done with the first found.
# Where any other use of `from` may be meant, or other quoted names stand, all tokens are looked at instead.
_USUAL = re.compile(
    rf"{_NOISE}|(?P<odd>\"|\b(?:extract|trim|substring|overlay|distinct)\b)"
    r"|\b(?:from|join|into|update|table)\s+(?P<schema>[^\W\d][\w$]*)\s*\.",
    re.DOTALL | re.IGNORECASE,
)
# Words behind which a statement names what it reads or writes.
_BEFORE_TABLE = {"from", "join", "into", "update", "table", "using", "truncate", "copy"}
# Words that may stand between those and the name.
_BETWEEN = {"only", "lateral", "if", "not", "exists", "table"}
# Words that end the list of tables behind `from`.
_ENDS_LIST = {
    "where",
    "group",
    "order",
    "having",
    "limit",
    "set",
    "on",
    "select",
    "values",
    "union",
    "window",
    "returning",
    "offset",
    "fetch",
    "for",
    "when",
    "except",
    "intersect",
}
# Functions whose arguments may hold a `from` that names no table.
_ODD_CALLS = {"extract", "trim", "substring", "overlay"}


def group_of(statement: str) -> int:
    """The number of the group; 0 where the statement names none."""
    for found in _USUAL.finditer(statement[:_MOST_READ]):
        if found["odd"]:
            break
        if found["schema"]:
            group = _GROUP.fullmatch(found["schema"])
            if group:
                return int(group[1])
    return _by_tokens(statement[:_MOST_WALKED])


def _by_tokens(statement: str) -> int:
    awaited, before = False, ""
    lists: list[bool] = [False]  # for each open bracket: whether a list of tables is being read in it
    calls: list[bool] = [False]  # and whether it holds the arguments of an odd call
    path: list[str] = []  # the dotted name that is being read
    dotted = False
    for token in _TOKEN.finditer(statement):
        word, quoted, sign = token["name"], token["quoted"], token["sign"]
        if word is None and quoted is None and sign is None:
            continue
        if sign == ".":
            dotted = bool(path)
            continue
        name = word if word is not None else quoted
        if name is not None and dotted:
            dotted = False
            group = _GROUP.fullmatch(path[-1])
            if group:
                return int(group[1])
            path.append(name)
            continue
        path, dotted = [], False
        lower = word.lower() if word is not None else ""
        if sign == "(":
            lists.append(False)
            calls.append(before in _ODD_CALLS)
            awaited = False
        elif sign == ")" and len(lists) > 1:
            lists.pop()
            calls.pop()
        elif sign == ",":
            awaited = lists[-1]
        elif lower in _BEFORE_TABLE and not (lower == "from" and (calls[-1] or before == "distinct")):
            awaited = True
            lists[-1] = lower in ("from", "using")
        elif awaited and name is not None and lower not in _BETWEEN:
            awaited, path = False, [name]
        elif lower in _ENDS_LIST:
            lists[-1] = False
        before = lower
    return 0


def first_comment(statement: str) -> str | None:
    """The first comment of the statement with its signs, of either kind; None where it has none."""
    for token in _TOKEN.finditer(statement):
        if token.lastgroup is None and token[0][0] != "'":
            return token[0]
    return None
