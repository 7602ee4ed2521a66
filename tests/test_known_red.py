"""The list of known red tests: exactly these are passed over, and an entry has all its parts."""

import importlib.util
import tempfile
import unittest
from pathlib import Path

_PATH = Path(__file__).parent.parent / ".ci" / "run_tests.py"
_SPEC = importlib.util.spec_from_file_location("run_tests", _PATH)
run_tests = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(run_tests)


class KnownRed(unittest.TestCase):
    def listed(self, text: str) -> dict[str, str]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "KNOWN-RED.txt"
            path.write_text(text)
            return run_tests.known_red(path)

    def test_an_entry_has_four_parts(self) -> None:
        line = "tests.a.B.test_c | make test | fails beside load | 35"
        self.assertEqual({"tests.a.B.test_c": line}, self.listed(f"# a comment\n\n{line}\n"))
        for text in ("tests.a.B.test_c", "tests.a.B.test_c | make test | | 35"):
            with self.assertRaises(ValueError):
                self.listed(text)

    def test_exactly_the_listed_tests_are_left_out(self) -> None:
        cases = [KnownRed("test_an_entry_has_four_parts"), KnownRed("test_no_list_leaves_nothing_out")]
        suite = unittest.TestSuite([unittest.TestSuite(cases)])
        kept, listed = run_tests.without(suite, {cases[0].id(): "", "tests.no.Such.test": ""})
        self.assertEqual([cases[1]], list(run_tests.tests_of(kept)))
        self.assertEqual({cases[0].id()}, listed)

    def test_no_list_leaves_nothing_out(self) -> None:
        self.assertEqual({}, run_tests.known_red(Path("no such file")))
