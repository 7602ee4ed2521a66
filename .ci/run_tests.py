"""Runs the whole suite, passing over exactly the tests that KNOWN-RED.txt lists, and prints those.

An entry of KNOWN-RED.txt is one line: `test id | command and seed | what was seen | issue`. Lines that begin
with `#` are comments. An entry that names no test of the suite fails the run.
"""

from __future__ import annotations

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red(path: Path = KNOWN_RED) -> dict[str, str]:
    """Entries by test id; ValueError where a line has not the four parts."""
    entries: dict[str, str] = {}
    lines = path.read_text().splitlines() if path.exists() else []
    for line in lines:
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 4 or not all(parts):
            raise ValueError(f"{path.name}: expected 'test | command and seed | seen | issue', got {line!r}")
        entries[parts[0]] = line
    return entries


def tests_of(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """All tests in the suite, in its order."""
    for member in suite:
        if isinstance(member, unittest.TestSuite):
            yield from tests_of(member)
        else:
            yield member


def without(suite: unittest.TestSuite, entries: dict[str, str]) -> tuple[unittest.TestSuite, set[str]]:
    """The suite without the listed tests, and the listed ids that it has."""
    listed: set[str] = set()
    kept = unittest.TestSuite()
    for test in tests_of(suite):
        if test.id() in entries:
            listed.add(test.id())
        else:
            kept.addTest(test)
    return kept, listed


def main() -> int:
    """Exit code 0 where every test that is not listed passes and every entry names a test."""
    sys.path.insert(0, str(ROOT))
    entries = known_red()
    suite, listed = without(
        unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT)), entries
    )
    for test_id in sorted(listed):
        print(f"known red, passed over: {entries[test_id]}", file=sys.stderr)
    unknown = sorted(set(entries) - listed)
    for test_id in unknown:
        print(f"KNOWN-RED.txt names no test of the suite: {test_id}", file=sys.stderr)
    # As `python -m unittest` does: warnings are shown unless the command line says otherwise.
    result = unittest.TextTestRunner(warnings=None if sys.warnoptions else "default").run(suite)
    return 0 if result.wasSuccessful() and not unknown else 1


if __name__ == "__main__":
    sys.exit(main())
