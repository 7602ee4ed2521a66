"""Random schedules to the end of a gateway's process: clients that go on, signals in series, crowds.

`python -m tests.soak [--seeds FIRST LAST]` plays a range of seeds; tests/test_soak.py plays a few.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import signal
import sys

from cresstray.emulators.floods import FLOODS, run_flood
from tests.attack_stand_ins import (
    AT_MOST_ONCE,
    DEDUPLICATED,
    HOST,
    IDEMPOTENT,
    READY,
    Client,
    now_s,
)
from tests.test_attacks import RandomSchedule, announce_state

# The kill comes as early as the page allows: the longest deadline and this time after SIGTERM.
_KILL_AFTER_DEADLINE_S = 0.7
_DEADLINES_MS = (600, 1500, 3000)
# Clients connect for so long after SIGTERM.
_CONNECTING_S = 0.3
# A request that crosses the end of its connection so closely is sent again on another one.
_CROSSING_S = 0.05
_CROWD_CONNECTIONS = 60
_CROWD_KINDS = ("endless-line", "half-request", "silent", "unread-status")  # engines get nothing of these
_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)


class SoakClient(Client):
    """Notes when its connection ended."""

    ended_s = 0.0

    def connection_lost(self, error: Exception | None) -> None:
        self.ended_s = now_s()
        super().connection_lost(error)


class SoakSchedule(RandomSchedule):
    """One random sequence of events, to the end of the process or the kill."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.deadline_ms = self.rng.choice(_DEADLINES_MS)
        for service in self.scenario.settings["Services"]:
            service["GiveUp"] = self.deadline_ms
            service["GoalTime"] = self.deadline_ms * 0.8
        self.scenario.client_type = SoakClient
        self.crowd_kind = self.rng.choice(_CROWD_KINDS) if self.rng.random() < 0.4 else None

    async def run(self) -> list[str]:
        async with self.scenario as scenario:
            for number in range(1, 4):
                await scenario.add_engine(number, self.script)
            await announce_state(scenario, READY)
            crowd = asyncio.ensure_future(self.run_crowd())
            end_s = now_s() + self.rng.uniform(1.0, 1.6)
            while now_s() < end_s:
                await self.run_step()
                if self.rng.random() < 0.05:
                    scenario.gateway.send_signal(self.rng.choice(_SIGNALS))
            code = await self.end_process()
            crowd.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await crowd
            await asyncio.sleep(0.05)
            self.excuse_crossings()
            return ([] if code == 0 else [f"exit code {code}"]) + scenario.violations()

    async def run_crowd(self) -> None:
        if self.crowd_kind is not None:
            port = self.scenario.address[1]
            await run_flood((HOST, port), FLOODS[self.crowd_kind], _CROWD_CONNECTIONS, 10.0, 1)

    async def end_process(self) -> int | None:
        """Sends SIGTERM; clients go on until the process has ended, or is killed."""
        gateway = self.scenario.gateway
        gateway.send_signal(signal.SIGTERM)
        kill_s = now_s() + self.deadline_ms / 1000 + _KILL_AFTER_DEADLINE_S
        connecting_end_s = now_s() + _CONNECTING_S
        while gateway.process.poll() is None and now_s() < kill_s:
            if now_s() < connecting_end_s:
                with contextlib.suppress(OSError):
                    await self.run_client_event()
            else:
                self.submit_on_open_connection()
            if self.rng.random() < 0.02:
                gateway.send_signal(self.rng.choice([signal.SIGTERM, *_SIGNALS]))
            await asyncio.sleep(self.rng.uniform(0.002, 0.02))
        code = gateway.process.poll()
        gateway.kill()
        return code

    def submit_on_open_connection(self) -> None:
        is_open = [client for client in self.clients if not client.transport.is_closing()]
        is_free = [client for client in is_open if not client.end_reason and len(client.requests) < 200]
        if is_free:
            client = self.rng.choice(is_free)
            waiting = sum(not request.answers for request in client.requests.values())
            if waiting < 6:
                request_class = self.rng.choice([IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE])
                client.submit(request_class, self.deadline_ms / 1000 * self.rng.uniform(0.2, 1.0))

    def excuse_crossings(self) -> None:
        """Requests that crossed the orderly end of an idle connection are sent again by their clients."""
        # The end is noticed as late as this process's loop is.
        crossing_s = _CROSSING_S + self.scenario.audit.max_loop_lateness_s
        for client in self.scenario.clients:
            if client.end_reason != "closed":
                continue
            for request in client.requests.values():
                if not request.attempts and request.sent_s > client.ended_s - crossing_s:
                    request.is_answer_owed = False


async def play(seeds: range, concurrent: int = 3) -> dict[int, list[str]]:
    """Plays these seeds, a few at a time; returns the violations of those that have any."""
    slots = asyncio.Semaphore(concurrent)

    async def play_one(seed: int) -> list[str]:
        async with slots:
            return await SoakSchedule(seed).run()

    found = await asyncio.gather(*(play_one(seed) for seed in seeds))
    return {seed: violations for seed, violations in zip(seeds, found) if violations}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs=2, default=(1, 50), metavar=("FIRST", "LAST"))
    first, last = parser.parse_args().seeds
    random.seed(first)
    found = asyncio.run(play(range(first, last + 1)))
    for seed, violations in found.items():
        print(seed, *violations, sep="\n    ")
    print(f"{last + 1 - first} seeds, {len(found)} with violations")
    return int(bool(found))


if __name__ == "__main__":
    sys.exit(main())
