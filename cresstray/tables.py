"""The group of tables that a statement reads or writes, from the number in its schema's name."""

from __future__ import annotations

import re

# Strings with doubled quotes, both kinds of comment, quoted names, plain names, and any other sign.
_TOKEN = re.compile(
    r"'(?:[^']|'')*'?|--[^\n]*|/\*.*?(?:\*/|\Z)|\"(?P<quoted>(?:[^\"]|\"\")*)\"?|(?P<name>[^\W\d][\w$]*)|(?P<sign>\S)",
    re.DOTALL)
_GROUP = re.compile(r".*_(\d+)", re.DOTALL)
# Words behind which a statement names what it reads or writes.
_BEFORE_TABLE = {"from", "join", "into", "update", "table", "using", "truncate", "copy"}
# Words that may stand between those and the name.
_BETWEEN = {"only", "lateral", "if", "not", "exists", "table"}
# Words that end the list of tables behind `from`.
_ENDS_LIST = {"where", "group", "order", "having", "limit", "set", "on", "select", "values", "union",
              "window", "returning", "offset", "fetch", "for", "when", "except", "intersect"}


def group_of(statement: str) -> int:
    """The number of the group; 0 where the statement names none."""
    awaited, in_list, depth_of_list, depth = False, False, 0, 0
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
            found = _GROUP.fullmatch(path[-1])
            if found and path[-1].lower() != "staging":
                return int(found[1])
            path.append(name)
            continue
        path, dotted = [], False
        if sign is not None:
            if sign == "(":
                depth += 1
            elif sign == ")":
                depth -= 1
                in_list = in_list and depth >= depth_of_list
            elif sign == "," and in_list and depth == depth_of_list:
                awaited = True
            continue
        lower = word.lower() if word is not None else ""
        if lower in _BEFORE_TABLE:
            awaited, in_list, depth_of_list = True, lower in ("from", "using"), depth
        elif awaited and lower in _BETWEEN:
            continue
        elif awaited:
            awaited, path = False, [name]
        elif lower in _ENDS_LIST:
            in_list = False
    return 0
