"""A simulated engine that falls when it gets more work than it bears while cold."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from cresstray.policy.types import Attempt, Outcome
from cresstray.simulation.cold_workload import (
    CORES,
    FALL_REQUESTS,
    FALL_WINDOW_US,
    MEAN_WORK_S,
    PLANNED_COLD_REQUESTS,
    SECOND_US,
    WARM_UP_US,
)

# An engine that fell is up again after so long, cold.
_DOWN_US = 2 * SECOND_US


class EngineWorld(Protocol):
    """What an engine needs of the simulation."""

    now: int
    peak: float
    fallen: int

    def after(self, delay_us: int, call: Callable[[], None]) -> None:
        """Calls `call` after a delay."""

    def delay(self) -> int:
        """Draws the delay of one way in microseconds."""


class AttemptOwner(Protocol):
    """The gateway that hears of the end of an attempt."""

    def end(self, attempt: Attempt, outcome: Outcome) -> None:
        """Takes the outcome of an attempt."""


class Job:
    """One attempt on an engine; `left` is its remaining work over all threads, in microseconds."""

    __slots__ = ("owner", "attempt", "left", "threads")

    def __init__(self, owner: AttemptOwner, attempt: Attempt, left: float, threads: int) -> None:
        self.owner = owner
        self.attempt = attempt
        self.left = left
        self.threads = threads


class SimulatedEngine:
    """Cores shared by all that runs; cold from its start on."""

    def __init__(self, world: EngineWorld) -> None:
        self._world = world
        self._started_us = world.now
        self._advanced_us = world.now
        self._plan_number = 0
        self._jobs: dict[Attempt, Job] = {}
        # When work came within the fall window, and how many seconds of it.
        self._arrivals: deque[tuple[int, float]] = deque()
        self._arrived_work_s = 0.0
        self.is_alive = True

    def is_cold(self) -> bool:
        """Returns whether it is still warming up."""
        return self._world.now < self._started_us + WARM_UP_US

    def accept(self, job: Job) -> None:
        """Runs a job, or falls by it."""
        world = self._world
        work_s = job.left / SECOND_US
        self._arrivals.append((world.now, work_s))
        self._arrived_work_s += work_s
        while self._arrivals[0][0] <= world.now - FALL_WINDOW_US:
            self._arrived_work_s -= self._arrivals.popleft()[1]
        self._advance()
        self._jobs[job.attempt] = job
        if self.is_cold():
            requests = self._arrived_work_s / MEAN_WORK_S
            world.peak = max(world.peak, requests / PLANNED_COLD_REQUESTS)
            if requests > FALL_REQUESTS:
                world.fallen += 1
                self.die()
                world.after(_DOWN_US, self.start)
                return
        self._plan()

    def drop(self, attempt: Attempt) -> None:
        """Ends a job without a result, if it runs here."""
        self._advance()
        if self._jobs.pop(attempt, None) is not None:
            self._plan()

    def die(self) -> None:
        """Loses all jobs, and listens no more."""
        self.is_alive = False
        lost = list(self._jobs.values())
        self._jobs = {}
        self._plan_number += 1
        for job in lost:
            self._end(job, Outcome.CONNECTION_LOST)

    def start(self) -> None:
        """Listens again, cold."""
        self.is_alive = True
        self._started_us = self._world.now
        self._advanced_us = self._world.now
        self._arrivals.clear()
        self._arrived_work_s = 0.0

    def _end(self, job: Job, outcome: Outcome) -> None:
        self._world.after(self._world.delay(), partial(job.owner.end, job.attempt, outcome))

    def _speed(self) -> float:
        threads = sum(job.threads for job in self._jobs.values())
        return min(1.0, CORES / threads) if threads else 1.0

    def _advance(self) -> None:
        done = (self._world.now - self._advanced_us) * self._speed()
        for job in self._jobs.values():
            job.left -= done * job.threads
        self._advanced_us = self._world.now

    def _plan(self) -> None:
        self._plan_number += 1
        if self._jobs:
            left = min(job.left / job.threads for job in self._jobs.values()) / self._speed()
            self._world.after(max(1, int(left) + 1), partial(self._finish_due, self._plan_number))

    def _finish_due(self, plan_number: int) -> None:
        if plan_number != self._plan_number:
            return
        self._advance()
        for job in [job for job in self._jobs.values() if job.left <= 1]:
            del self._jobs[job.attempt]
            self._end(job, Outcome.SUCCEEDED)
        self._plan()


class AddressOnly:
    """Stands in for the router's connection pool of one engine: its address, and no connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address

    def change_address(self, address: tuple[str, int]) -> None:
        """Takes another address."""
        self.address = address

    def retire(self) -> None:
        """Does nothing: there is no connection."""

    def cancel_unwritten(self) -> None:
        """Does nothing: all that is sent here leaves at once."""
