"""Graceful shutdown of a gateway process while requests wait for the shared store."""

import json
import os
import signal
import tempfile
import time
import unittest
from unittest import mock

from cresstray.emulators.store_process import StoreProcess
from cresstray.idempotency import records
from cresstray.idempotency.records import IdempotencyRecord, RecordState
from tests.scripted import (
    REQUEST_CLASS,
    GatewayProcess,
    ScriptedClient,
    ScriptedEngine,
    line,
    make_endpoint_list,
    make_settings,
    request,
)

IDEMPOTENCY_KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


class ShutdownWithStoreTest(unittest.TestCase):
    """Requests wait for the shared store as the process is told to end."""

    def setUp(self) -> None:
        self.store = StoreProcess()
        self.addCleanup(self.store.kill)
        self.engine = self.enterContext(ScriptedEngine())

    def start_gateway(self, store_lines: str = "", **service: float) -> GatewayProcess:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        operator_file = os.path.join(folder, "operator.conf")
        with open(operator_file, "w") as file:
            file.write(f"store\n    addresses 127.0.0.1:{self.store.port}\n    tariffs {REQUEST_CLASS}\n")
            file.write(store_lines)
        self.enterContext(mock.patch.dict(os.environ, GW_OPERATOR=operator_file))
        settings = make_settings()
        del settings["Services"][0]["GiveUp"]
        deduplicated = {"Effect": "deduplicated", "Group": "all", "KeyTtl": 20_000.0, "GoalTime": 20_000.0}
        settings["Services"][0] |= deduplicated | service
        gateway = self.enterContext(GatewayProcess(known=make_endpoint_list(self.engine), settings=settings))
        gateway.start_and_wait().wait_for_log_line("the store is available")
        return gateway

    def store_claim_of_another_gateway(self) -> None:
        digest = records.digest_key("cresstray", "acme", f"{REQUEST_CLASS}/all", IDEMPOTENCY_KEY)
        now_ms = time.time_ns() // 1_000_000
        claim = IdempotencyRecord(RecordState.CLAIMED, "n9", "1", now_ms, now_ms + 18_000, now_ms)
        entry = {
            "at": now_ms,
            "key": f"cresstray:m1:{digest.hex()}".encode().hex(),
            "value": records.encode_record(claim).hex(),
            "expires": now_ms + 60_000,
        }
        self.store.tell(f"load {json.dumps([entry])}")

    def shut_down_while_a_request_waits(self, gateway: GatewayProcess) -> ScriptedClient:
        message = json.loads(request(1, timeout=20_000))
        message["params"]["opkey"] = IDEMPOTENCY_KEY
        client = gateway.client().send(line(message))
        self.addCleanup(client.close)
        time.sleep(0.1)  # it has been read, and waits
        gateway.send_signals(signal.SIGTERM)
        gateway.wait_for_log_line("shutting down; 1 requests")
        return client

    def test_request_that_waits_for_a_claim_is_sent_and_answered(self) -> None:
        """Guards against a request that waits for another gateway's claim beyond the end of the process."""
        gateway = self.start_gateway(GiveUp=20_000.0)
        self.store_claim_of_another_gateway()
        client = self.shut_down_while_a_request_waits(gateway)
        verb, name, connection = self.engine.next_command()
        self.assertEqual(("ASK", f"{1:016x}"), (verb, name))
        self.engine.send_result(connection, name)
        self.assertEqual(["1 6 bytes", "closed"], [client.receive_response(), client.receive_response()])
        self.assertEqual(0, gateway.wait_for_exit())

    def test_request_that_waits_for_a_claim_is_answered_by_a_process_that_was_stopped(self) -> None:
        """Guards against a wait that is over only after the deadline has passed."""
        gateway = self.start_gateway(GiveUp=20_000.0)
        self.store_claim_of_another_gateway()
        client = self.shut_down_while_a_request_waits(gateway)
        gateway.send_signals(signal.SIGSTOP)
        time.sleep(3.4)  # the shutdown deadline passes meanwhile
        gateway.send_signals(signal.SIGCONT)
        self.assertIn(client.receive_response(), ("1 -32000", "1 -32001"))
        self.assertEqual(0, gateway.wait_for_exit())

    def test_request_whose_lookup_is_in_flight_at_the_deadline_is_rejected(self) -> None:
        """Guards against a request that nothing ends at the deadline, as it has no attempt in flight."""
        gateway = self.start_gateway("    slow 1s\n    ask-most 1s\n")
        self.store.tell("late fixed 900")
        client = self.shut_down_while_a_request_waits(gateway)
        self.assertEqual(["1 -32000", "closed"], [client.receive_response(), client.receive_response()])
        self.assertEqual(0, gateway.wait_for_exit())
