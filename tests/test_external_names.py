"""Names that leave the process stay as they are: wires, stored data, settings, flags, counters and logs.

`tests/fixtures/external_names.txt` lists them: `## KIND`, then `# MODULE OR FOLDER`, then one name a line.
A rename inside the program that also changes such a name breaks clients, engines, peers or operators' tools.
"""

from __future__ import annotations

import ast
import enum
import importlib
import re
import unittest
from collections.abc import Iterator
from functools import cache
from pathlib import Path

import msgspec

ROOT = Path(__file__).resolve().parent.parent
LISTING = ROOT / "tests" / "fixtures" / "external_names.txt"
STRUCT_FIELDS = "message, stored and setting fields"
ENUM_VALUES = "values of enums that are written out"


def listed_names() -> Iterator[tuple[str, str, str]]:
    """Yields the kind, the module or folder, and the name, of each line."""
    kind = module = ""
    for line in LISTING.read_text().splitlines():
        if line.startswith("## "):
            kind = line[3:]
        elif line.startswith("# "):
            module = line[2:]
        elif line:
            yield kind, module, line


@cache
def encoded_names(module: str) -> frozenset[str]:
    """Returns the encoded field names, tags and enum values of the classes that a module defines."""
    imported = importlib.import_module(module.removesuffix(".py").replace("/", "."))
    names: set[str] = set()
    for member in vars(imported).values():
        if not isinstance(member, type) or member.__module__ != imported.__name__:
            continue
        if issubclass(member, msgspec.Struct):
            names.update(member.__struct_encode_fields__)
            names.add(str(member.__struct_config__.tag))
        elif issubclass(member, enum.Enum):
            names.update(str(value.value) for value in member)
    return frozenset(names)


def docstrings(tree: ast.Module) -> set[int]:
    """Returns the identities of the constants that are statements of their own."""
    return {
        id(node.value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }


@cache
def written_texts(module: str) -> str:
    """Returns the strings, keyword arguments and command names of a module, or of the modules of a folder."""
    path = ROOT / module
    if path.suffix == ".toml":
        return path.read_text()
    texts: list[str] = []
    for source in sorted(path.rglob("*.py")) if path.is_dir() else [path]:
        tree = ast.parse(source.read_text())
        skipped = docstrings(tree)
        for node in ast.walk(tree):
            if isinstance(node, ast.Constant) and id(node) not in skipped:
                value = node.value
                if isinstance(value, bytes):
                    texts.append(value.decode("latin-1"))
                elif isinstance(value, str):
                    texts.append(value)
            elif isinstance(node, ast.keyword) and node.arg:
                texts.append(node.arg)
            elif isinstance(node, ast.FunctionDef) and any(
                "command" in ast.unparse(d) for d in node.decorator_list
            ):
                # click names a command and its parameters after the function and its arguments.
                texts.append(node.name)
                texts += [argument.arg for argument in node.args.args]
    return "\n".join(texts)


def is_written(kind: str, module: str, name: str) -> bool:
    if kind in (STRUCT_FIELDS, ENUM_VALUES):
        return name in encoded_names(module)
    return (
        re.search(rf"(?<![A-Za-z0-9_]){re.escape(name)}(?![A-Za-z0-9_])", written_texts(module)) is not None
    )


class ExternalNames(unittest.TestCase):
    def test_each_listed_name_is_still_written_by_its_module(self) -> None:
        names = list(listed_names())
        self.assertGreater(len(names), 1500, "the list was read")
        for kind, module, name in names:
            with self.subTest(kind=kind, module=module, name=name):
                self.assertTrue(is_written(kind, module, name), f"{name!r} stands in {module} no more")


if __name__ == "__main__":
    unittest.main()
