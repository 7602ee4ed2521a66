"""A desk for trace tests: a port that prints what the module decides, and a clock that it is moved by."""

from __future__ import annotations

import copy
import difflib
import os
import unittest
from pathlib import Path

from cresstray.interface import Ending, Engine, Relay, Standing, Submission
from cresstray.logic import Gateway

TRACES = Path(__file__).parent / "traces"
SETTINGS = {
    "Balancers": 1, "FamilyInfo": {"CpuOfKind": [4, 2], "Dop": [1, 2]},
    "Limits": {"Cancel": True, "MaxAttempts": 4, "RetryAfter": True, "MaxRetryAfter": 1000.0},
    "Safety": {"ColdShare": 0.5, "WarmUp": 10000.0, "OverloadFactor": 2.0, "Fall": 1000.0},
    "Services": [
        {"Effect": "idempotent", "GoalTime": 400.0, "AimStretch": 2.0, "GiveUp": 2000.0, "Worth": 1.0},
        {"Effect": "idempotent", "GoalTime": 2000.0, "AimStretch": 2.0, "GiveUp": 9000.0, "Worth": 5.0,
         "LateValue": 0.4}],
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
        self.gateway = Gateway(self, given, seed, self.now)
        self.engines = [Engine() for _ in range(engines)]
        for number, engine in enumerate(self.engines):
            self.names[engine] = f"engine {number}"
        self.list({engine: {} for engine in self.engines}, complete=True)

    def say(self, text: str) -> None:
        self.lines.append(f"{(self.now - START) / 1000:8.0f} ms  {text}")

    def relay(self, relay: Relay, patience: int) -> None:
        self.say(f"relay {self.names[relay.submission]} #{relay.number} to {self.names[relay.engine]}")

    def withdraw(self, relay: Relay) -> None:
        self.say(f"withdraw {self.names[relay.submission]} #{relay.number}")

    def deny(self, submission: Submission, come_back: int) -> None:
        self.say(f"deny {self.names[submission]}, come back {'later' if come_back else 'at will'}")

    def abandon(self, submission: Submission) -> None:
        self.say(f"abandon {self.names[submission]}")

    def grant(self, submission: Submission, megabytes: float, priority: int) -> None:
        self.say(f"grant {self.names[submission]} {megabytes:.0f} MB, priority {priority}")

    def probe(self, engine: Engine) -> None:
        self.say(f"probe {self.names[engine]}")

    def subscribe(self) -> None:
        self.say("subscribe")

    def remark(self, text: str) -> None:
        self.say(f"remark {text}")

    def wake(self, delay: int, call: object) -> None:
        self.wakes.append((self.now + delay, len(self.names), call))

    def list(self, changes: dict, complete: bool = False) -> None:
        known = [(engine, (c.get("machine", 0), c.get("zone", 0), c.get("cell", 0), c.get("started", 0),
                           c.get("standing", Standing.READY))) for engine, c in changes.items()]
        self.gateway.listed(known, complete, self.now)

    def submit(self, name: str, tariff: int = 0, left: int = 2000, **more: int) -> Submission:
        submission = Submission(self.gateway.tariffs[tariff], self.now, self.now + left * 1000, **more)
        self.names[submission] = name
        self.gateway.accept(submission, self.now)
        return submission

    def back(self, submission: Submission, ending: Ending, report: dict | None = None) -> None:
        relay = submission.relays[-1]
        done = ending is Ending.FULFILLED or submission.ended
        self.say(f"        {self.names[submission]} #{relay.number} comes back {ending.value}")
        self.gateway.came_back(relay, ending, self.now - relay.sent, done, report or {}, self.now)

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
