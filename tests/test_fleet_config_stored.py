"""Stored configuration: files of an earlier version are read, and written again byte for byte."""

import json
import unittest
from pathlib import Path

import msgspec

from cresstray.fleet_config.documents import FleetInventory, parse_documents, to_plain
from cresstray.fleet_config.state import ConfigState

FIXTURES = Path(__file__).parent / "fixtures" / "fleet_config"


class StoredConfigTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = ConfigState(FleetInventory())
        self.snapshot = (FIXTURES / "state.msgpack").read_bytes()

    def test_a_stored_snapshot_is_read_and_written_unchanged(self) -> None:
        self.state.restore(self.snapshot)
        self.assertEqual(self.snapshot, self.state.snapshot())
        self.assertEqual((3, 2, True), (self.state.turn, self.state.version, self.state.is_joint))
        self.assertEqual({"g3"}, set(self.state.departed_gateways))
        rules = self.state.latest.request_classes.items
        self.assertTrue(rules["fast"].is_stopped)
        self.assertEqual(0.25, rules["slow"].retry_budget_scale)
        self.assertEqual(5, self.state.latest.gateways.count_without_lease)

    def test_a_replayed_log_gives_the_stored_snapshot(self) -> None:
        log = msgspec.msgpack.decode((FIXTURES / "log.msgpack").read_bytes(), type=list[bytes])
        for index, entry in enumerate(log, 1):
            self.state.apply(index, entry)
        self.assertEqual(self.snapshot, self.state.snapshot())

    def test_an_operators_documents_are_read_and_printed_unchanged(self) -> None:
        plain = json.loads((FIXTURES / "documents.json").read_text())
        self.assertEqual(plain, json.loads(json.dumps(to_plain(parse_documents(plain)))))
