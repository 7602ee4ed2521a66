"""Stored configuration: what an earlier version wrote is read, and written again byte for byte."""

import json
import unittest
from pathlib import Path

import msgspec

from cresstray.fleet_config.documents import FleetInventory, parse_documents, to_plain
from cresstray.fleet_config.state import ConfigState

STORED = Path(__file__).parent / "fixtures" / "fleet_config"


class Stored(unittest.TestCase):
    def setUp(self) -> None:
        self.state = ConfigState(FleetInventory())
        self.snapshot = (STORED / "state.msgpack").read_bytes()

    def test_a_snapshot_is_read_and_written_again(self) -> None:
        self.state.restore(self.snapshot)
        self.assertEqual(self.snapshot, self.state.snapshot())
        self.assertEqual((3, 2, True), (self.state.turn, self.state.version, self.state.is_joint))
        self.assertEqual({"g3"}, set(self.state.departed_gateways))
        rules = self.state.latest.request_classes.items
        self.assertTrue(rules["fast"].is_stopped)
        self.assertEqual(0.25, rules["slow"].retry_budget_scale)
        self.assertEqual(5, self.state.latest.gateways.count_without_lease)

    def test_a_log_leads_to_the_same_snapshot(self) -> None:
        log = msgspec.msgpack.decode((STORED / "log.msgpack").read_bytes(), type=list[bytes])
        for index, entry in enumerate(log, 1):
            self.state.apply(index, entry)
        self.assertEqual(self.snapshot, self.state.snapshot())

    def test_an_operators_documents_are_read_and_printed_again(self) -> None:
        given = json.loads((STORED / "documents.json").read_text())
        self.assertEqual(given, json.loads(json.dumps(to_plain(parse_documents(given)))))
