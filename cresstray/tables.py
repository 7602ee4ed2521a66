"""Finds the table group of a statement: the number at the end of the schema's name of its first table."""

from __future__ import annotations

import re

# Strings with doubled quotes, and both kinds of comments.
_NOISE = r"'(?:[^']|'')*'?|--[^\n]*|/\*.*?(?:\*/|\Z)"
_QUOTED = r"\"(?P<quoted>(?:[^\"]|\"\")*)\"?"
_PLAIN = r"(?P<name>[^\W\d][\w$]*)"
_TOKEN = re.compile(rf"{_NOISE}|{_QUOTED}|{_PLAIN}|(?P<sign>\S)", re.DOTALL)
# int() raises an error for some thousand digits, which would end the client's connection. No fleet has so
# many groups; a longer number is part of a name like any other.
_GROUP = re.compile(r".*_(\d{1,18})", re.DOTALL)
# The event loop stops while a statement is read, for a quarter of a second with the longest one. A table is
# named within the first kilobytes, or counts as unknown; reading by tokens is some times as slow as
# searching.
_MAX_SEARCHED_CHARS = 16_384
_MAX_TOKENIZED_CHARS = 4_096
# Most statements name their tables right behind one of these words, and are done with the first match.
# Where any other use of `from` may be meant, or other quoted names stand, all tokens are looked at instead.
_COMMON_FORMS = re.compile(
    rf"{_NOISE}|(?P<special>\"|\b(?:extract|trim|substring|overlay|distinct)\b)"
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
_SPECIAL_CALLS = {"extract", "trim", "substring", "overlay"}


def find_table_group(statement: str) -> int:
    """Returns the number of the table group; 0 where the statement names none."""
    for match in _COMMON_FORMS.finditer(statement[:_MAX_SEARCHED_CHARS]):
        if match["special"]:
            break
        if match["schema"]:
            group = _GROUP.fullmatch(match["schema"])
            if group:
                return int(group[1])
    return _group_by_tokens(statement[:_MAX_TOKENIZED_CHARS])


def _group_by_tokens(statement: str) -> int:
    finder = _SchemaFinder()
    for token in _TOKEN.finditer(statement):
        group = finder.take(token["name"], token["quoted"], token["sign"])
        if group is not None:
            return group
    return 0


class _SchemaFinder:
    """Follows a statement token by token, up to the first table whose schema has a group's number."""

    def __init__(self) -> None:
        self._awaits_table = False
        self._previous = ""  # the word before, in lower case
        # For each open bracket: whether a list of tables is being read in it, and whether it holds the
        # arguments of a call in which `from` begins no clause.
        self._in_table_list = [False]
        self._in_special_call = [False]
        self._path: list[str] = []  # the dotted name that is being read
        self._is_dotted = False

    def take(self, word: str | None, quoted: str | None, sign: str | None) -> int | None:
        """Takes a token, of which one part is set, or none for noise; returns the group once it is found."""
        name = word if word is not None else quoted
        if name is None and sign is None:
            return None
        if sign == ".":
            self._is_dotted = bool(self._path)
            return None
        if name is not None and self._is_dotted:
            return self._take_qualified(name)
        self._path = []
        self._is_dotted = False
        lower = word.lower() if word is not None else ""
        if name is None:
            self._take_sign(sign)
        else:
            self._take_name(name, lower)
        self._previous = lower
        return None

    def _take_qualified(self, name: str) -> int | None:
        self._is_dotted = False
        group = _GROUP.fullmatch(self._path[-1])
        if group:
            return int(group[1])
        self._path.append(name)
        return None

    def _take_sign(self, sign: str | None) -> None:
        if sign == "(":
            self._in_table_list.append(False)
            self._in_special_call.append(self._previous in _SPECIAL_CALLS)
            self._awaits_table = False
        elif sign == ")" and len(self._in_table_list) > 1:
            self._in_table_list.pop()
            self._in_special_call.pop()
        elif sign == ",":
            self._awaits_table = self._in_table_list[-1]

    def _take_name(self, name: str, lower: str) -> None:
        is_other_from = lower == "from" and (self._in_special_call[-1] or self._previous == "distinct")
        if lower in _BEFORE_TABLE and not is_other_from:
            self._awaits_table = True
            self._in_table_list[-1] = lower in ("from", "using")
        elif self._awaits_table and lower not in _BETWEEN:
            self._awaits_table = False
            self._path = [name]
        elif lower in _ENDS_LIST:
            self._in_table_list[-1] = False


def first_comment(statement: str) -> str | None:
    """Returns the first comment of the statement, of either kind, with its delimiters; None without one."""
    for token in _TOKEN.finditer(statement):
        if token.lastgroup is None and token[0][0] != "'":
            return token[0]
    return None
