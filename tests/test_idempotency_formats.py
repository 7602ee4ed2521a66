"""Tests that stored idempotency data keeps its format: journal file, record values, keys, scripts.

The fixtures were written by an earlier build, before the package was renamed. WRITE_FIXTURES=1 rewrites them;
this is correct only if a format changes on purpose and both builds can read it.
"""

from __future__ import annotations

import json
import os
import tempfile
import unittest
from pathlib import Path

from cresstray.idempotency import codec, records
from cresstray.idempotency.journal import Journal
from cresstray.idempotency.journal_codec import EntryKind, JournalEntry
from cresstray.idempotency.records import IdempotencyRecord, RecordState

FIXTURE_FOLDER = Path(__file__).parent / "fixtures" / "idempotency"
DIGESTS = [
    records.digest_key("cresstray", "tenant", "load/all", name) for name in ("first", "second", "third")
]
RECORDS = {
    "absent, fence kept": IdempotencyRecord(
        RecordState.ABSENT, "g1", "0000000100000000000001", 1_800_000_000_000
    ),
    "claimed": IdempotencyRecord(
        RecordState.CLAIMED,
        "g1",
        "0000000100000000000001",
        1_800_000_000_001,
        1_800_000_003_000,
        1_800_000_000_000,
    ),
    "dispatched": IdempotencyRecord(
        RecordState.DISPATCHED, "g2", "2", 7, 1_800_000_003_000, 1_800_000_000_500, True
    ),
    "completed": IdempotencyRecord(RecordState.COMPLETED, "g1", "1", 3, 0, 1_800_000_000_500),
    "completed, with its result": IdempotencyRecord(
        RecordState.COMPLETED, "g1", "1", 3, 0, 5, False, records.make_outcome(b"\x00r", 64)
    ),
    "unknown": IdempotencyRecord(RecordState.UNKNOWN, "", "", 0, 0, 0, True),
}
CLAIMS = [
    JournalEntry(EntryKind.CLAIMED, 1, DIGESTS[0], 1_800_000_000_001, 0),
    JournalEntry(EntryKind.CLAIMED, 2, DIGESTS[1], 0, 3),
    JournalEntry(EntryKind.CLAIMED, 3, DIGESTS[2], 9, 4_294_967_295),
]
SETTLED = JournalEntry(EntryKind.SETTLED, 2, b"", 0, 0)


def encode_stored_data() -> dict[str, object]:
    """Returns every kind of data in the store, bytes as hexadecimal digits."""
    key = codec.record_key("cresstray", DIGESTS[0])
    command = codec.compare_and_set(key, b"", b"new", 60_000)
    return {
        "records": {name: records.encode_record(record).hex() for name, record in RECORDS.items()},
        "keys": {
            "digest": DIGESTS[0].hex(),
            "digest, other namespace": records.digest_key("other", "tenant", "load/all", "first").hex(),
            "record": key.decode(),
            "record, other namespace": codec.record_key("other", DIGESTS[1]).decode(),
        },
        "commands": {
            "script": codec.COMPARE_AND_SET_SCRIPT.decode(),
            "compare and set": [word.hex() for word in command.arguments],
            "compare and set, with its script": [word.hex() for word in command.arguments_with_script],
            "packed": codec.pack_arguments(command.arguments).hex(),
        },
    }


def write_journal(path: str) -> bytes:
    journal = Journal(path)
    journal.open()
    journal.append(CLAIMS)
    journal.append([SETTLED])
    journal.close()
    return Path(path).read_bytes()


class StoredFormatTest(unittest.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = f"{folder.name}/journal"

    def test_journal_is_written_byte_for_byte_as_before(self) -> None:
        self.assertEqual((FIXTURE_FOLDER / "journal.bin").read_bytes(), write_journal(self.path))

    def test_earlier_journal_is_read_and_not_rewritten(self) -> None:
        earlier_journal = (FIXTURE_FOLDER / "journal.bin").read_bytes()
        Path(self.path).write_bytes(earlier_journal)
        journal = Journal(self.path)
        self.assertEqual([CLAIMS[0], CLAIMS[2]], journal.open())
        self.assertEqual([], journal.warnings)
        journal.close()
        self.assertEqual(earlier_journal, Path(self.path).read_bytes())

    def test_values_keys_and_commands_are_byte_for_byte_as_before(self) -> None:
        self.assertEqual(json.loads((FIXTURE_FOLDER / "stored.json").read_text()), encode_stored_data())

    def test_earlier_values_are_read_and_encoded_as_before(self) -> None:
        earlier_values = json.loads((FIXTURE_FOLDER / "stored.json").read_text())["records"]
        for name, value in earlier_values.items():
            with self.subTest(name):
                record = records.decode_record(bytes.fromhex(value))
                self.assertEqual(RECORDS[name], record)
                self.assertEqual(value, records.encode_record(record).hex())


if os.environ.get("WRITE_FIXTURES"):
    FIXTURE_FOLDER.mkdir(parents=True, exist_ok=True)
    (FIXTURE_FOLDER / "stored.json").write_text(json.dumps(encode_stored_data(), indent=1) + "\n")
    with tempfile.TemporaryDirectory() as folder:
        (FIXTURE_FOLDER / "journal.bin").write_bytes(write_journal(f"{folder}/journal"))


if __name__ == "__main__":
    unittest.main()
