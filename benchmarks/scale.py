"""What many engines cost one gateway: memory, a whole new list, a sweep, a choice; nothing on the network.

python -m benchmarks.scale [--seed N] [--json]. One run measures all sizes, so that they can be compared.
"""

from __future__ import annotations

import argparse
import json
import struct
import sys
import time
import tracemalloc
from collections.abc import Callable

from cresstray.clock import Clock, Timers
from cresstray.discovery.codec import EventDecoder
from cresstray.discovery.endpoint_list import EndpointEvent
from cresstray.engines.connection import DescriptorQuota, SocketConnectionPool
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.pipeline.routing import Router
from cresstray.policy.controller import PolicyController
from cresstray.policy.settings import parse_settings
from cresstray.policy.types import Attempt, Outcome, Request

SIZES, ZONES, GATEWAYS = (10, 100, 1024), 8, 1024


class Silent:
    """A port that takes relays and answers nothing by itself."""

    def __init__(self) -> None:
        self.out: list[Attempt] = []

    def send_attempt(self, attempt: Attempt, _patience: int) -> None:
        self.out.append(attempt)

    def _nothing(self, *_: object) -> None:
        pass

    cancel_attempt = reject_request = fail_request = assign_resources = call_later = probe_engine = (
        subscribe_to_endpoints
    ) = log_event = _nothing


def settings(gateways: int) -> dict:
    return {
        "Balancers": gateways,
        "Zone": 1,
        "Localities": [f"hall-{number}" for number in range(ZONES)],
        "FamilyInfo": {"CpuOfKind": [12, 8], "Dop": [1, 2]},
        "Limits": {"Cancel": True, "MaxAttempts": 4, "RetryAfter": True, "MaxRetryAfter": 1000.0},
        "Safety": {"ColdShare": 0.33, "WarmUp": 13000.0, "OverloadFactor": 2.0, "Fall": 1000.0},
        "Services": [
            {"Effect": "idempotent", "GoalTime": 800.0, "GiveUp": 4000.0, "Worth": 1.0},
            {"Effect": "idempotent", "GoalTime": 2000.0, "GiveUp": 9000.0, "Worth": 5.0},
        ],
    }


def frame(number: int, first: int, count: int) -> bytes:
    """A whole list of so many engines, its ids from `first` on."""
    records = b"".join(
        struct.pack(">IIHBBBHIQ", first + one, 0x7F000001, 9000 + one, 0, one % ZONES, one % 2, 0, 1000, 0)
        for one in range(count)
    )
    body = struct.pack(">QB", number, 1) + records
    return struct.pack(">I", len(body)) + body


def best(call: Callable[[], object], times: int) -> float:
    """The least microseconds that it takes."""
    least = float("inf")
    for _ in range(times):
        before = time.perf_counter_ns()
        call()
        least = min(least, time.perf_counter_ns() - before)
    return least / 1000


def measure(engines: int, seed: int) -> dict[str, float]:
    clock, counters, port = Clock(), Counters(), Silent()
    timers, log = Timers(clock), Log("n0", clock)
    quota = DescriptorQuota(64, 200)
    gateway = PolicyController(port, parse_settings(settings(GATEWAYS)), seed, clock.now())
    route = Router(
        lambda label, address: SocketConnectionPool(
            label, address, {}, quota, None, timers, clock.now, counters, log
        ),
        None,
    )
    frames = EventDecoder()

    def told(raw: bytes) -> EndpointEvent:
        (event,) = frames.feed(raw)
        gateway.on_endpoints_updated(route.apply_event(event), event.is_complete, clock.now())
        return event

    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    told(frame(1, 1, engines))
    kept = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    result = {"engines": engines, "kB an engine": kept / engines / 1000}
    new, same = frame(3, 100_000, engines), frame(4, 100_000, engines)
    result["all new, us"] = best(lambda: told(new), 1)
    result["same again, us"] = best(lambda: told(same), 5)
    one = Request(gateway.request_classes[0], clock.now(), clock.now() + 3_000_000)
    gateway.accept(one, clock.now())
    gateway.on_attempt_finished(port.out.pop(), Outcome.SUCCEEDED, 100_000, True, {}, clock.now())

    def choose() -> None:
        gateway._choose_engine(one, clock.now())

    result["choice, us"] = best(choose, 200)
    for engine in gateway.ready_engines:
        engine.policy_state.signals.overloaded_until_us, engine.policy_state.limit.value = (
            clock.now() + 60_000_000,
            0.0,
        )
    result["choice in vain, us"] = best(choose, 50)
    for number in range(200):
        now = clock.now()
        gateway.accept(Request(gateway.request_classes[number % 2], now, now + 60_000_000), now)
    result["sweep, 200 held, us"] = best(lambda: gateway._sweep(clock.now()), 30)
    result["held"] = len(gateway.admission_queue.first_attempts)
    return result


def main(words: list[str] | None = None) -> int:
    reader = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    reader.add_argument("--seed", type=int, default=1)
    reader.add_argument("--json", action="store_true")
    given = reader.parse_args(words)
    table = [measure(engines, given.seed) for engines in SIZES]
    for name in table[0]:
        print(f"{name:>24} " + " ".join(f"{row[name]:10.1f}" for row in table), file=sys.stderr)
    if given.json:
        print(json.dumps({"scale": table}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
