"""Helpers of the tests: a desk that prints what the module decides, and stand-ins on loopback."""

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
START = 100_000_000


def settings(*services: dict, **parts: dict) -> dict:
    """The plain settings with some services in place of the usual, and parts overlaid."""
    made = copy.deepcopy(SETTINGS)
    if services:
        made["Services"] = [made["Services"][0] | service for service in services]
    for name, part in parts.items():
        made[name] = made.get(name, {}) | part if isinstance(part, dict) else part
    return made


class Desk:
    """One gateway under test, its engines and submissions by name, and the trace of what it did."""

    def __init__(self, given: dict, engines: int = 2, seed: int = 7) -> None:
        self.lines: list[str] = []
        self.now = START
        self.wakes: list[tuple[int, int, object]] = []
        self.names: dict[object, str] = {}
        self.gateway = PolicyController(self, parse_settings(given), seed, self.now)
        self.engines = [Engine() for _ in range(engines)]
        for number, engine in enumerate(self.engines):
            self.names[engine] = f"engine {number}"
        self.list({engine: {} for engine in self.engines}, complete=True)

    def say(self, text: str) -> None:
        self.lines.append(f"{(self.now - START) / 1000:8.0f} ms  {text}")

    def send_attempt(self, attempt: Attempt, timeout_us: int) -> None:
        self.say(f"send {self.names[attempt.request]} #{attempt.number} to {self.names[attempt.engine]}")

    def cancel_attempt(self, attempt: Attempt) -> None:
        self.say(f"cancel {self.names[attempt.request]} #{attempt.number}")

    def reject_request(self, request: Request, retry_after_us: int) -> None:
        self.say(f"reject {self.names[request]}, retry {'later' if retry_after_us else 'at will'}")

    def fail_request(self, request: Request) -> None:
        self.say(f"fail {self.names[request]}")

    def assign_resources(self, request: Request, megabytes: float, priority: int) -> None:
        self.say(f"grant {self.names[request]} {megabytes:.0f} MB, priority {priority}")

    def probe_engine(self, engine: Engine) -> None:
        self.say(f"probe {self.names[engine]}")

    def subscribe_to_endpoints(self) -> None:
        self.say("subscribe")

    def log_event(self, text: str) -> None:
        self.say(f"log {text}")

    def call_later(self, delay: int, call: object) -> None:
        self.wakes.append((self.now + delay, len(self.names), call))

    def list(self, changes: dict, complete: bool = False) -> None:
        known = [
            (
                engine,
                (
                    c.get("machine", 0),
                    c.get("zone", 0),
                    c.get("cell", 0),
                    c.get("started", 0),
                    c.get("standing", EndpointState.READY),
                ),
            )
            for engine, c in changes.items()
        ]
        self.gateway.on_endpoints_updated(known, complete, self.now)

    def submit(self, name: str, request_class: int = 0, left: int = 2000, **more: int) -> Request:
        request = Request(
            self.gateway.request_classes[request_class], self.now, self.now + left * 1000, **more
        )
        self.names[request] = name
        self.gateway.accept(request, self.now)
        return request

    def back(self, request: Request, outcome: Outcome, report: dict | None = None) -> None:
        attempt = request.attempts[-1]
        done = outcome is Outcome.SUCCEEDED or request.is_finished
        self.say(f"        {self.names[request]} #{attempt.number} ends {outcome.value}")
        self.gateway.on_attempt_finished(
            attempt, outcome, self.now - attempt.sent_us, done, report or {}, self.now
        )

    def run(self, milliseconds: int) -> None:
        until = self.now + milliseconds * 1000
        while self.wakes and min(wake[0] for wake in self.wakes) <= until:
            due = min(self.wakes, key=lambda wake: wake[0])
            self.wakes.remove(due)
            self.now = due[0]
            due[2](self.now)
        self.now = until


class TraceCase(unittest.TestCase):
    """Compares what was printed with the trace kept under tests/traces."""

    def check(self, name: str, lines: list[str]) -> None:
        kept = TRACES / f"{name}.txt"
        if os.environ.get("KEEP_TRACES"):
            kept.write_text("\n".join(lines) + "\n")
        self.assertTrue(lines, "nothing was decided")
        wanted = kept.read_text().splitlines()
        changes = list(difflib.unified_diff(wanted, lines, "kept", "now", lineterm=""))
        self.assertFalse(changes, "\n" + "\n".join(changes))


class EngineStandIn:
    """A small engine on loopback: a statement's first word says how it answers; `lines` is what it gets.

    `everywhere`: at its port of all addresses of the loopback device.
    """

    def __init__(self, label: str, everywhere: bool = False) -> None:
        self._label, self._everywhere = label, everywhere
        self.lines: list[str] = []
        self.port, self._failed = 0, False
        self.got = anyio.Event()  # set anew with each message

    async def run(self, *, task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED) -> None:
        host = "0.0.0.0" if self._everywhere else "127.0.0.1"
        # `serve` leaves its listener open when it is cancelled.
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
                        await self._take(stream, *message)

    async def _take(self, stream: anyio.abc.SocketStream, command: bytes, name: bytes, *more: bytes) -> None:
        said = " ".join(part.decode() for part in more)
        self.lines.append(f"{self._label} gets {command.decode()} {name.decode()[:4]} {mask(said)}".rstrip())
        body = more[-1].decode() if more else ""
        if command == b"NEXT":
            await self._say(stream, name, "rows", f"sheet={body}", f"row {body}\t1\t2\n")
        elif command == b"ASK":
            if body.startswith("pages"):
                await self._say(stream, name, "served", "sheets=3,load=inflight:1;util:0.2", "row 0\t1\t2\n")
            elif body.startswith("once") and not self._failed:
                self._failed = True
                await self._say(stream, name, "crashed", "-", "")
            elif body.startswith("full"):
                await self._say(stream, name, "overload", "-", "")
            elif body.startswith("garbage"):
                await stream.send(b"HTTP/1.1 500 no\r\n\r\n")
            elif body.startswith("noise"):
                await self._say(stream, name, "served", "sheets=1", "\x00no rows\n")
            elif body.startswith("half"):
                await stream.send(hiredis.pack_command((name, "served", "sheets=1", "a\tb\tc\n"))[:-9])
            elif body.startswith("more"):
                for other in ("0" * 16, name, name):
                    await self._say(stream, other, "served", "sheets=1", f"{body}\t1\t2\n")
            elif body.startswith("reset"):
                await stream.aclose()
            elif not body.startswith("silent"):
                await self._say(stream, name, "served", "sheets=1", f"{body}\t1\t2\n")
        self.got.set()
        self.got = anyio.Event()

    async def _say(self, stream: anyio.abc.SocketStream, *parts: bytes | str) -> None:
        await stream.send(hiredis.pack_command(parts))


def mask(text: str) -> str:
    """Without what differs from run to run: times left."""
    return re.sub(r"(\bw=|\"holdoff\":)\d+", r"\g<1>N", text)


class ClientStandIn:
    """One connection of a client; what it says and hears is in `lines`."""

    def __init__(self, stream: anyio.abc.SocketStream, lines: list[str], names: int = 0) -> None:
        self._stream, self._lines, self._buffer = stream, lines, b""
        self.names = names  # that were used

    async def ask(
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
        await self.say({"jsonrpc": "2.0", "id": number, "method": request_class, "params": params})

    async def say(self, message: dict | bytes) -> None:
        line = message if isinstance(message, bytes) else json.dumps(message).encode() + b"\n"
        await self._stream.send(line)

    async def hear(self) -> dict:
        while b"\n" not in self._buffer:
            self._buffer += await self._stream.receive()
        line, self._buffer = self._buffer.split(b"\n", 1)
        answer = json.loads(line)
        told = answer.get("error") or {
            name: base64.b64decode(value).decode() if name == "data" else value
            for name, value in answer["result"].items()
        }
        if "error" in answer and told["code"] != -32000:
            told = {"code": told["code"]}
        self._lines.append(f"client hears {answer['id']}: {mask(json.dumps(told, separators=(',', ':')))}")
        return answer
