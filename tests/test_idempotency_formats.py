"""Stored data of idempotency records keeps its form: journal file, record values, keys, scripts.

The fixtures were written before the package took the names of the field. WRITE_FIXTURES=1 writes them anew, which
is right only where a form changes on purpose and both builds can read it.
"""

from __future__ import annotations

import json
import os
import tempfile
import unittest
from pathlib import Path

from cresstray.idempotency import codec, records
from cresstray.idempotency.journal import Entry, Journal, What
from cresstray.idempotency.records import Mark, State

FIXTURES = Path(__file__).parent / "fixtures" / "idempotency"
DIGESTS = [records.digest("cresstray", "tenant", "load/all", name) for name in ("first", "second", "third")]
RECORDS = {
    "absent, fence kept": Mark(State.UNSEEN, "g1", "0000000100000000000001", 1_800_000_000_000),
    "claimed": Mark(
        State.INTENDED,
        "g1",
        "0000000100000000000001",
        1_800_000_000_001,
        1_800_000_003_000,
        1_800_000_000_000,
    ),
    "dispatched": Mark(State.SENT, "g2", "2", 7, 1_800_000_003_000, 1_800_000_000_500, True),
    "completed": Mark(State.ENDED, "g1", "1", 3, 0, 1_800_000_000_500),
    "completed, with its result": Mark(
        State.ENDED, "g1", "1", 3, 0, 5, False, records.outcome_of(b"\x00r", 64)
    ),
    "unknown": Mark(State.UNKNOWN, "", "", 0, 0, 0, True),
}
CLAIMS = [
    Entry(What.INTENDED, 1, DIGESTS[0], 1_800_000_000_001, 0),
    Entry(What.INTENDED, 2, DIGESTS[1], 0, 3),
    Entry(What.INTENDED, 3, DIGESTS[2], 9, 4_294_967_295),
]
SETTLED = Entry(What.SETTLED, 2, b"", 0, 0)


def stored() -> dict[str, object]:
    """Every kind of data in the store, as hexadecimal digits."""
    key = codec.key("cresstray", DIGESTS[0])
    command = codec.cas(key, b"", b"new", 60_000)
    return {
        "records": {name: records.encoded(record).hex() for name, record in RECORDS.items()},
        "keys": {
            "digest": DIGESTS[0].hex(),
            "digest, other namespace": records.digest("other", "tenant", "load/all", "first").hex(),
            "record": key.decode(),
            "record, other namespace": codec.key("other", DIGESTS[1]).decode(),
        },
        "commands": {
            "script": codec.CAS.decode(),
            "compare and set": [word.hex() for word in command.words],
            "compare and set, with its script": [word.hex() for word in command.whole],
            "packed": codec.pack(command.words).hex(),
        },
    }


def written_journal(path: str) -> bytes:
    journal = Journal(path)
    journal.open()
    journal.append(CLAIMS)
    journal.append([SETTLED])
    journal.close()
    return Path(path).read_bytes()


class StoredForms(unittest.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = f"{folder.name}/journal"

    def test_journal_is_written_as_before_byte_for_byte(self) -> None:
        self.assertEqual((FIXTURES / "journal.bin").read_bytes(), written_journal(self.path))

    def test_journal_of_before_is_read_and_kept_as_it_is(self) -> None:
        fixture = (FIXTURES / "journal.bin").read_bytes()
        Path(self.path).write_bytes(fixture)
        journal = Journal(self.path)
        self.assertEqual([CLAIMS[0], CLAIMS[2]], journal.open())
        self.assertEqual([], journal.told)
        journal.close()
        self.assertEqual(fixture, Path(self.path).read_bytes())

    def test_values_keys_and_commands_are_as_before_byte_for_byte(self) -> None:
        self.assertEqual(json.loads((FIXTURES / "stored.json").read_text()), stored())

    def test_values_of_before_are_read_and_written_as_they_were(self) -> None:
        kept = json.loads((FIXTURES / "stored.json").read_text())["records"]
        for name, value in kept.items():
            with self.subTest(name):
                record = records.decoded(bytes.fromhex(value))
                self.assertEqual(RECORDS[name], record)
                self.assertEqual(value, records.encoded(record).hex())


if os.environ.get("WRITE_FIXTURES"):
    FIXTURES.mkdir(parents=True, exist_ok=True)
    (FIXTURES / "stored.json").write_text(json.dumps(stored(), indent=1) + "\n")
    with tempfile.TemporaryDirectory() as written_in:
        (FIXTURES / "journal.bin").write_bytes(written_journal(f"{written_in}/journal"))


if __name__ == "__main__":
    unittest.main()
