"""Snapshot files stay readable, and are written byte for byte as the first build of each format wrote them.

The files under tests/fixtures/membership were written once and are never written again.
"""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

import msgspec

from cresstray.cli import cli
from cresstray.membership import inspection, snapshot
from cresstray.membership.confidence import ClockReading
from cresstray.membership.snapshot_files import SnapshotFolder

FIXTURES = Path(__file__).parent / "fixtures" / "membership"
OWNER = "gateway-1"
SERIAL_A = 12
SERIAL_B = 11
# The names in the body of format 2, in the order in which they are written.
BODY_KEYS = [
    "owner",
    "wall",
    "boot",
    "ticked",
    "number",
    "handed",
    "zones",
    "machines",
    "engines",
    "tombs",
    "tariffs",
    "limits",
    "marks",
]
HEADER_BYTES = 26


class SnapshotFileTest(unittest.TestCase):
    """Each kind of file is read and written again."""

    def test_format_2_is_written_again_byte_for_byte(self) -> None:
        for file_name, serial in (("engines.a", SERIAL_A), ("engines.b", SERIAL_B), ("empty.snapshot", 1)):
            with self.subTest(file=file_name):
                data = (FIXTURES / file_name).read_bytes()
                found_serial, found = snapshot.decode(data, OWNER)
                self.assertEqual(serial, found_serial)
                self.assertEqual(data, snapshot.encode(found, serial))

    def test_names_and_order_of_fields_in_format_2_are_fixed(self) -> None:
        body = msgspec.msgpack.decode((FIXTURES / "engines.a").read_bytes()[HEADER_BYTES:])
        self.assertEqual(BODY_KEYS, list(body))
        self.assertEqual(
            [1, "10.0.0.1", 7001, False, 1, 0, 3, 1_700_000_000_000_001, 2_000_000], body["engines"][0]
        )
        self.assertEqual([9, 1_700_000_000_000_009, 4321, 3_600_000_000], body["tombs"][0])
        self.assertEqual(["lookup", 150, 90_000.5, 88_000.25, 1.25], body["tariffs"][0])
        self.assertEqual([1, 1_700_000_000_000_001, 0.5, 1.4], body["limits"][0])

    def test_format_1_is_read_and_written_again_as_format_2(self) -> None:
        serial, found = snapshot.decode((FIXTURES / "format1.snapshot").read_bytes(), OWNER)
        self.assertEqual(7, serial)
        self.assertEqual((FIXTURES / "format1-migrated.snapshot").read_bytes(), snapshot.encode(found, 8))

    def test_folder_reads_the_newer_generation(self) -> None:
        found = SnapshotFolder(str(FIXTURES), OWNER).read()
        self.assertEqual(("engines.a", SERIAL_A, []), (found.file_name, found.serial, found.skipped_lines))

    def test_report_of_a_snapshot_is_unchanged(self) -> None:
        found = SnapshotFolder(str(FIXTURES), OWNER).read().snapshot
        now = ClockReading(1_800_000_060_000_000, "boot-2", 5_000_000)
        self.assertEqual(json.loads((FIXTURES / "report.json").read_text()), inspection.report(found, now))

    def test_folder_is_written_byte_for_byte(self) -> None:
        """The next write replaces the older generation, engines.b."""
        with tempfile.TemporaryDirectory() as path:
            for file_name in ("engines.a", "engines.b"):
                (Path(path) / file_name).write_bytes((FIXTURES / file_name).read_bytes())
            folder = SnapshotFolder(path, OWNER)
            self.assertTrue(folder.lock())
            size_bytes = folder.write(folder.read().snapshot)
            folder.unlock()
            expected = snapshot.encode(
                snapshot.decode((FIXTURES / "engines.a").read_bytes(), OWNER)[1], SERIAL_A + 1
            )
            self.assertEqual(expected, (Path(path) / "engines.b").read_bytes())
            self.assertEqual(len(expected), size_bytes)
            self.assertEqual(
                ["engines.a", "engines.b", "lock"], sorted(file.name for file in Path(path).iterdir())
            )


class CommandTest(unittest.TestCase):
    """The output of the commands for the fixtures, by the present name and the earlier one."""

    NAMES = ("membership", "kept")

    def output(self, *arguments: str) -> tuple[int, str]:
        """Returns the exit code and the output of a command."""
        with contextlib.redirect_stdout(io.StringIO()) as out:
            try:
                code = cli(list(arguments))
            except SystemExit as exit_request:
                code = exit_request.code
        return code, out.getvalue()

    def test_verify_prints_a_line_for_each_file(self) -> None:
        for command in self.NAMES:
            with self.subTest(command=command):
                code, out = self.output(command, "verify", str(FIXTURES), "--name", OWNER)
                self.assertEqual(0, code)
                self.assertEqual(
                    "engines.a: whole, serial 12, 2 engines, index 5000\n"
                    "engines.b: whole, serial 11, 1 engines, index 4999\n",
                    out,
                )

    def test_export_prints_the_keys_that_operators_read(self) -> None:
        stored = json.loads((FIXTURES / "report.json").read_text())
        for command in self.NAMES:
            with self.subTest(command=command):
                code, out = self.output(command, "export", str(FIXTURES), "--name", OWNER)
                self.assertEqual(0, code)
                printed = json.loads(out)
                self.assertEqual(list(stored), list(printed))
                for part in ("engines", "gone", "tariffs"):
                    self.assertEqual(list(stored[part][0]), list(printed[part][0]))

    def test_show_prints_a_line_for_each_entry(self) -> None:
        for command in self.NAMES:
            with self.subTest(command=command):
                code, out = self.output(command, "show", str(FIXTURES), "--name", OWNER)
                self.assertEqual(0, code)
                lines = out.splitlines()
                self.assertEqual(5, len(lines))
                self.assertRegex(lines[0], r"^gateway-1: .*, index 5000, 1 limits, handed over$")
                self.assertRegex(lines[1], r"^engine s-00000001 10\.0\.0\.1:7001 .*, trust [0-9.]+$")
                self.assertRegex(lines[2], r"^engine s-0000002a engine-42\.example:7002 .*, drained$")
                self.assertEqual("gone s-00000009 by index 4321, for 0.04 days of running", lines[3])
                self.assertEqual("tariff lookup 150 answers, 90 ms", lines[4])

    def test_help_names_the_command_once(self) -> None:
        code, out = self.output("--help")
        self.assertEqual(0, code)
        self.assertRegex(out, r"(?m)^  membership ")
        self.assertNotRegex(out, r"(?m)^  kept ")


if __name__ == "__main__":
    unittest.main()
