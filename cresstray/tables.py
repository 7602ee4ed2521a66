"""Finds the table group of a statement: the number at the end of the schema name of its first table."""

from __future__ import annotations

import re

# Greater numbers do not fit into the frames of links between sites.
MAX_TABLE_GROUP = 2**53
# String literals with doubled quotes, and both kinds of comments.
_LITERAL_OR_COMMENT = r"'(?:[^']|'')*'?|--[^\n]*|/\*.*?(?:\*/|\Z)"
_QUOTED_NAME = r"\"(?P<quoted>(?:[^\"]|\"\")*)\"?"
_PLAIN_NAME = r"(?P<name>[^\W\d][\w$]*)"
_TOKEN = re.compile(rf"{_LITERAL_OR_COMMENT}|{_QUOTED_NAME}|{_PLAIN_NAME}|(?P<sign>\S)", re.DOTALL)
# At most 18 digits: int() raises an error for some thousand digits, which would end the client's connection.
# No fleet has so many groups; a longer number is treated as an ordinary part of the name.
_GROUP_SUFFIX = re.compile(r".*_(\d{1,18})", re.DOTALL)
# The event loop is blocked while a statement is parsed: for a quarter of a second with the longest statement,
# if all of it were parsed. A table is named within the first kilobytes, or its group counts as unknown.
# Reading token by token is several times as slow as the search, so it has a lower limit.
_MAX_SEARCHED_CHARS = 16_384
_MAX_TOKENIZED_CHARS = 4_096
# Most statements name their tables right behind one of these keywords, so that the first match is enough.
# If `from` may have another meaning, or the statement has quoted names, all tokens are read instead.
_COMMON_FORMS = re.compile(
    rf"{_LITERAL_OR_COMMENT}|(?P<special>\"|\b(?:extract|trim|substring|overlay|distinct)\b)"
    r"|\b(?:from|join|into|update|table)\s+(?P<schema>[^\W\d][\w$]*)\s*\.",
    re.DOTALL | re.IGNORECASE,
)
# Keywords that are followed by the name of a table that the statement reads or writes.
_TABLE_KEYWORDS = {"from", "join", "into", "update", "table", "using", "truncate", "copy"}
# Keywords that may stand between one of those and the table's name.
_KEYWORDS_BEFORE_NAME = {"only", "lateral", "if", "not", "exists", "table"}
# Keywords that end the list of tables behind `from`.
_TABLE_LIST_END_KEYWORDS = {
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
_FUNCTIONS_WITH_FROM = {"extract", "trim", "substring", "overlay"}


def find_table_group(statement: str) -> int:
    """Returns the number of the statement's table group; 0 if the statement names none."""
    for match in _COMMON_FORMS.finditer(statement[:_MAX_SEARCHED_CHARS]):
        if match["special"]:
            break
        if match["schema"]:
            group = _GROUP_SUFFIX.fullmatch(match["schema"])
            if group:
                return int(group[1])
    return _find_group_by_tokens(statement[:_MAX_TOKENIZED_CHARS])


def _find_group_by_tokens(statement: str) -> int:
    parser = _SchemaParser()
    for token in _TOKEN.finditer(statement):
        group = parser.read_token(token["name"], token["quoted"], token["sign"])
        if group is not None:
            return group
    return 0


class _SchemaParser:
    """Reads a statement token by token, up to the first table whose schema has a group number."""

    def __init__(self) -> None:
        self._expects_table = False
        self._previous_word = ""  # in lower case; empty if the previous token was no plain name
        # For each open bracket: whether a list of tables is being read in it, and whether it holds the
        # arguments of a function in which `from` begins no clause.
        self._in_table_list = [False]
        self._in_function_with_from = [False]
        self._name_parts: list[str] = []  # of the dotted name that is being read
        self._is_after_dot = False

    def read_token(self, word: str | None, quoted: str | None, sign: str | None) -> int | None:
        """Reads a token, given as one of the three; returns the group number once it is found.

        All three are None for a string literal or a comment.
        """
        name = word if word is not None else quoted
        if name is None and sign is None:
            return None
        if sign == ".":
            self._is_after_dot = bool(self._name_parts)
            return None
        if name is not None and self._is_after_dot:
            return self._read_qualified_name(name)
        self._name_parts = []
        self._is_after_dot = False
        lower_word = word.lower() if word is not None else ""
        if name is None:
            self._read_sign(sign)
        else:
            self._read_name(name, lower_word)
        self._previous_word = lower_word
        return None

    def _read_qualified_name(self, name: str) -> int | None:
        self._is_after_dot = False
        group = _GROUP_SUFFIX.fullmatch(self._name_parts[-1])
        if group:
            return int(group[1])
        self._name_parts.append(name)
        return None

    def _read_sign(self, sign: str | None) -> None:
        if sign == "(":
            self._in_table_list.append(False)
            self._in_function_with_from.append(self._previous_word in _FUNCTIONS_WITH_FROM)
            self._expects_table = False
        elif sign == ")" and len(self._in_table_list) > 1:
            self._in_table_list.pop()
            self._in_function_with_from.pop()
        elif sign == ",":
            self._expects_table = self._in_table_list[-1]

    def _read_name(self, name: str, lower_word: str) -> None:
        is_from_without_table = lower_word == "from" and (
            self._in_function_with_from[-1] or self._previous_word == "distinct"
        )
        if lower_word in _TABLE_KEYWORDS and not is_from_without_table:
            self._expects_table = True
            self._in_table_list[-1] = lower_word in ("from", "using")
        elif self._expects_table and lower_word not in _KEYWORDS_BEFORE_NAME:
            self._expects_table = False
            self._name_parts = [name]
        elif lower_word in _TABLE_LIST_END_KEYWORDS:
            self._in_table_list[-1] = False


def first_comment(statement: str) -> str | None:
    """Returns the first comment of the statement, of either kind, with its delimiters; None without one."""
    for token in _TOKEN.finditer(statement):
        if token.lastgroup is None and token[0][0] != "'":
            return token[0]
    return None
