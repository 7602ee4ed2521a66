"""Test helpers: a harness that records the decisions of the policy, and fake engines and clients."""

from __future__ import annotations

import base64
import contextlib
import copy
import difflib
import json
import os
import re
import socket
import unittest
from pathlib import Path

import anyio
import anyio.abc
import hiredis

from cresstray.policy.controller import PolicyController
from cresstray.policy.settings import parse_settings
from cresstray.policy.types import Attempt, EndpointState, Engine, Outcome, Request

TRACES = Path(__file__).parent / "traces"
SETTINGS = {
    "Balancers": 1,
    "FamilyInfo": {"CpuOfKind": [4, 2], "Dop": [1, 2]},
    "Limits": {"Cancel": True, "MaxAttempts": 4, "RetryAfter": True, "MaxRetryAfter": 1000.0},
    "Safety": {"ColdShare": 0.5, "WarmUp": 10000.0, "OverloadFactor": 2.0, "Fall": 1000.0},
    "Services": [
        {"Effect": "idempotent", "GoalTime": 400.0, "AimStretch": 2.0, "GiveUp": 60000.0, "Worth": 1.0},
        {
            "Effect": "idempotent",
            "GoalTime": 2000.0,
            "AimStretch": 2.0,
            "GiveUp": 60000.0,
            "Worth": 5.0,
            "LateValue": 0.4,
        },
    ],
}
START_US = 100_000_000


def settings(*services: dict, **sections: dict) -> dict:
    """Returns `SETTINGS` with other services, if any are given, and with the given sections merged in."""
    document = copy.deepcopy(SETTINGS)
    if services:
        document["Services"] = [document["Services"][0] | service for service in services]
    for name, section in sections.items():
        document[name] = document.get(name, {}) | section if isinstance(section, dict) else section
    return document


class PolicyHarness:
    """The policy of one gateway on a virtual clock: acts as its port and records each action in `lines`.

    Engines and requests have names, by which the trace refers to them.
    """

    def __init__(self, settings_document: dict, engines: int = 2, seed: int = 7) -> None:
        self.lines: list[str] = []
        self.now = START_US
        self.timers: list[tuple[int, int, object]] = []
        self.names: dict[object, str] = {}
        self.gateway = PolicyController(self, parse_settings(settings_document), seed, self.now)
        self.engines = [Engine() for _ in range(engines)]
        for number, engine in enumerate(self.engines):
            self.names[engine] = f"engine {number}"
        self.update_endpoints({engine: {} for engine in self.engines}, is_complete=True)

    def record(self, text: str) -> None:
        """Adds a line with the current time to the trace."""
        self.lines.append(f"{(self.now - START_US) / 1000:8.0f} ms  {text}")

    def send_attempt(self, attempt: Attempt, timeout_us: int) -> None:
        self.record(f"send {self.names[attempt.request]} #{attempt.number} to {self.names[attempt.engine]}")

    def cancel_attempt(self, attempt: Attempt) -> None:
        self.record(f"cancel {self.names[attempt.request]} #{attempt.number}")

    def reject_request(self, request: Request, retry_after_us: int) -> None:
        self.record(f"reject {self.names[request]}, retry {'later' if retry_after_us else 'at will'}")

    def fail_request(self, request: Request) -> None:
        self.record(f"fail {self.names[request]}")

    def assign_resources(self, request: Request, memory_mb: float, priority: int) -> None:
        self.record(f"grant {self.names[request]} {memory_mb:.0f} MB, priority {priority}")

    def probe_engine(self, engine: Engine) -> None:
        self.record(f"probe {self.names[engine]}")

    def subscribe_to_endpoints(self) -> None:
        self.record("subscribe")

    def log_event(self, text: str) -> None:
        self.record(f"log {text}")

    def call_later(self, delay_us: int, callback: object) -> None:
        self.timers.append((self.now + delay_us, len(self.names), callback))

    def update_endpoints(self, changes: dict, is_complete: bool = False) -> None:
        """Reports the endpoints in `changes`, each with its fields that differ from the defaults."""
        descriptions = [
            (
                engine,
                (
                    change.get("instance_type", 0),
                    change.get("zone", 0),
                    change.get("cell", 0),
                    change.get("started_us", 0),
                    change.get("state", EndpointState.READY),
                ),
            )
            for engine, change in changes.items()
        ]
        self.gateway.on_endpoints_updated(descriptions, is_complete, self.now)

    def submit(self, name: str, request_class: int = 0, left_ms: int = 2000, **fields: int) -> Request:
        """Submits a request that has `left_ms` until its deadline."""
        request = Request(
            self.gateway.request_classes[request_class], self.now, self.now + left_ms * 1000, **fields
        )
        self.names[request] = name
        self.gateway.accept(request, self.now)
        return request

    def finish_attempt(self, request: Request, outcome: Outcome, report: dict | None = None) -> None:
        """Ends the last attempt of a request, with a load report if one is given."""
        attempt = request.attempts[-1]
        is_final = outcome is Outcome.SUCCEEDED or request.is_finished
        self.record(f"        {self.names[request]} #{attempt.number} ends {outcome.value}")
        self.gateway.on_attempt_finished(
            attempt, outcome, self.now - attempt.sent_us, is_final, report or {}, self.now
        )

    def run(self, duration_ms: int) -> None:
        """Advances the clock, and runs the timers that expire until then."""
        end_us = self.now + duration_ms * 1000
        while self.timers and min(timer[0] for timer in self.timers) <= end_us:
            next_timer = min(self.timers, key=lambda timer: timer[0])
            self.timers.remove(next_timer)
            self.now = next_timer[0]
            next_timer[2](self.now)
        self.now = end_us


class TraceCase(unittest.TestCase):
    """Compares recorded lines with a trace that is stored under tests/traces."""

    def check(self, name: str, lines: list[str]) -> None:
        trace_path = TRACES / f"{name}.txt"
        if os.environ.get("KEEP_TRACES"):
            trace_path.write_text("\n".join(lines) + "\n")
        self.assertTrue(lines, "nothing was decided")
        expected = trace_path.read_text().splitlines()
        changes = list(difflib.unified_diff(expected, lines, "kept", "now", lineterm=""))
        self.assertFalse(changes, "\n" + "\n".join(changes))


class EngineStandIn:
    """A fake engine on loopback: a statement's first word selects its answer; `lines` is what it received.

    `everywhere`: it listens on its port at all addresses of the loopback device.
    """

    def __init__(self, label: str, everywhere: bool = False) -> None:
        self._label, self._everywhere = label, everywhere
        self.lines: list[str] = []
        self.port, self._failed = 0, False
        self.received = anyio.Event()  # set with each message, and then replaced

    async def run(self, *, task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED) -> None:
        host = "0.0.0.0" if self._everywhere else "127.0.0.1"
        # A cancelled `serve` leaves its listener open, so it is closed here.
        async with await anyio.create_tcp_listener(local_host=host) as listener:
            if self._everywhere:
                raw = listener.listeners[0].extra(anyio.abc.SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
            self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started()
            await listener.serve(self._serve)

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        reader = hiredis.Reader()
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            async with stream:
                while True:
                    reader.feed(await stream.receive())
                    while (message := reader.gets()) is not False:
                        await self._on_message(stream, *message)

    async def _on_message(
        self, stream: anyio.abc.SocketStream, command: bytes, name: bytes, *more: bytes
    ) -> None:
        arguments = " ".join(part.decode() for part in more)
        self.lines.append(
            f"{self._label} gets {command.decode()} {name.decode()[:4]} {mask(arguments)}".rstrip()
        )
        body = more[-1].decode() if more else ""
        if command == b"NEXT":
            await self._reply(stream, name, "rows", f"sheet={body}", f"row {body}\t1\t2\n")
        elif command == b"ASK":
            if body.startswith("pages"):
                await self._reply(
                    stream, name, "served", "sheets=3,load=inflight:1;util:0.2", "row 0\t1\t2\n"
                )
            elif body.startswith("once") and not self._failed:
                self._failed = True
                await self._reply(stream, name, "crashed", "-", "")
            elif body.startswith("full"):
                await self._reply(stream, name, "overload", "-", "")
            elif body.startswith("garbage"):
                await stream.send(b"HTTP/1.1 500 no\r\n\r\n")
            elif body.startswith("noise"):
                await self._reply(stream, name, "served", "sheets=1", "\x00no rows\n")
            elif body.startswith("half"):
                await stream.send(hiredis.pack_command((name, "served", "sheets=1", "a\tb\tc\n"))[:-9])
            elif body.startswith("more"):
                for other in ("0" * 16, name, name):
                    await self._reply(stream, other, "served", "sheets=1", f"{body}\t1\t2\n")
            elif body.startswith("reset"):
                await stream.aclose()
            elif not body.startswith("silent"):
                await self._reply(stream, name, "served", "sheets=1", f"{body}\t1\t2\n")
        self.received.set()
        self.received = anyio.Event()

    async def _reply(self, stream: anyio.abc.SocketStream, *parts: bytes | str) -> None:
        await stream.send(hiredis.pack_command(parts))


def mask(text: str) -> str:
    """Replaces the remaining times in a message, which differ from run to run."""
    return re.sub(r"(\bw=|\"holdoff\":)\d+", r"\g<1>N", text)


class ClientStandIn:
    """A client connection to the gateway; records requests and responses in `lines`."""

    def __init__(self, stream: anyio.abc.SocketStream, lines: list[str], names: int = 0) -> None:
        self._stream, self._lines, self._buffer = stream, lines, b""
        self.names = names  # how many request names are used so far

    async def send_request(
        self, number: int, statement: str, request_class: str = "lookup", timeout: int = 5000
    ) -> None:
        self.names += 1
        params = {
            "req": f"{self.names:04x}{'0' * 12}",
            "timeout": timeout,
            "owner": "acme",
            "data": base64.b64encode(statement.encode()).decode(),
        }
        self._lines.append(f"client asks {number}: {statement}")
        await self.send_line({"jsonrpc": "2.0", "id": number, "method": request_class, "params": params})

    async def send_line(self, message: dict | bytes) -> None:
        line = message if isinstance(message, bytes) else json.dumps(message).encode() + b"\n"
        await self._stream.send(line)

    async def receive_response(self) -> dict:
        while b"\n" not in self._buffer:
            self._buffer += await self._stream.receive()
        line, self._buffer = self._buffer.split(b"\n", 1)
        response = json.loads(line)
        shown = response.get("error") or {
            name: base64.b64decode(value).decode() if name == "data" else value
            for name, value in response["result"].items()
        }
        if "error" in response and shown["code"] != -32000:
            shown = {"code": shown["code"]}
        self._lines.append(f"client hears {response['id']}: {mask(json.dumps(shown, separators=(',', ':')))}")
        return response
