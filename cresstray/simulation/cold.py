"""A power loss in virtual time: all gateways and engines start at once, and discovery is down.

The policy, the router, the membership estimate and the admission guard are the real ones. Simulated are
engines that fall when they get too much while cold, addresses that were given to others, and discovery that
returns behind, breaks, and returns.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from functools import partial
from random import Random
from typing import NamedTuple

import msgspec

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.membership.reconciliation import Tombstone
from cresstray.membership.snapshot import LatencyEntry
from cresstray.policy.types import EndpointState, Request
from cresstray.simulation.cold_engine import SimulatedEngine
from cresstray.simulation.cold_gateway import SNAPSHOT_INDEX, SimulatedGateway
from cresstray.simulation.cold_workload import (
    CORES,
    MEAN_WORK_S,
    MILLISECOND_US,
    PLANNED_COLD_REQUESTS,
    REQUEST_CLASSES,
    SECOND_US,
)

# A process's clock shows a running time, of which the start is long ago.
START_US = 1_000 * SECOND_US
# One way takes a time drawn between these.
_DELAY_RANGE_US = (100, 400)
# Value is counted by the time of arrival, in pieces of half a second.
PIECE_US = 500 * MILLISECOND_US
# The share of endpoints that are removed and still answer, and of those that discovery removes, or names
# though they refuse.
_ODD_SHARE = 0.01
_BREAK_AFTER_US = SECOND_US
_RETURN_AFTER_BREAK_S = 2
_MAX_CONNECT_US = 300 * MILLISECOND_US
_MIN_CONNECT_US = MILLISECOND_US
_MIN_WORK_S = 0.002
_STRANGER = "stranger"
_LATENCY_SAMPLES = 200
_WORK_FACTOR = 1.1
# What is asked for may be answered in time after the last pieces.
_UNFINISHED_PIECES = 2
_TARGET_SHARE = 0.9


class ColdStartResult(NamedTuple):
    """Shares of value by pieces of arrival, from the power's return on; all else of the whole run.

    Attributes:
        value: By piece, the share that was earned.
        bound: By piece, the share that full knowledge of all that is alive would earn.
        share: Of the whole run.
        share_bound: Of the whole run.
        known_removed: Attempts at endpoints that discovery had removed.
        strangers: Attempts at addresses that have been given to others.
        fallen: Engines that fell.
        peak: The most work that a cold engine got, as a factor of PLANNED_COLD_REQUESTS.
        seconds_to_target: Until nine tenths of the bound, and ever after; None: never.
    """

    value: list[float]
    bound: list[float]
    share: float
    share_bound: float
    known_removed: int
    strangers: int
    fallen: int
    peak: float
    seconds_to_target: float | None


class _Fleet(NamedTuple):
    """The endpoints of the snapshot, its tombstones, and what discovery says first and then."""

    listed: list[Endpoint]
    tombstones: list[Tombstone]
    first: EndpointEvent
    true: EndpointEvent


class ColdStart:
    """One cold start.

    A quarter each of what has changed since the snapshot: removed, moved to another address, its
    address given to others, started anew. The fleet is as large as the list; what is new is on no list
    until discovery returns: first with a list that is older than the snapshot, then, after a break of a
    second, with the true one, which removes some that answer well and names some that refuse.

    Args:
        seed: Of all draws.
        gateways: How many.
        engines: How many.
        age_us: The age of the snapshot in microseconds; None: there is none.
        changed: The share of the list that is not as it was.
        down_s: Seconds until discovery returns.
        load: Work asked for, as a share of all cores.
        heavier: Factor of the work, of what it was when latencies were learned.
    """

    def __init__(
        self,
        seed: int,
        gateways: int,
        engines: int,
        age_us: int | None,
        changed: float,
        down_s: float = 60.0,
        load: float = 0.35,
        heavier: float = 1.0,
    ) -> None:
        self.seed = seed
        self.gateway_count = gateways
        self.now = START_US
        self.known_removed = 0
        self.strangers = 0
        self.fallen = 0
        self.peak = 0.0
        self.is_discovery_up = False
        self._random = Random(f"{seed} world")
        self._calls: list[tuple[int, int, Callable[[], None]]] = []
        self._call_count = 0
        self._listeners: dict[tuple[str, int], SimulatedEngine | str] = {}
        self._refusing: list[SimulatedEngine] = []
        # By piece: value and work of each request, and the value earned.
        self._requested: list[list[tuple[float, float]]] = []
        self._earned: list[float] = []
        self._requests_per_s = load * CORES * engines / MEAN_WORK_S
        fleet = self._make_fleet(engines, changed)
        self._gateways = [SimulatedGateway(self, number, age_us is not None) for number in range(gateways)]
        if age_us is not None:
            self._recover(fleet, age_us, heavier)
        self.after(int(down_s * SECOND_US), partial(self._on_discovery_returns, fleet.first))
        self.after(
            int((down_s + _RETURN_AFTER_BREAK_S) * SECOND_US),
            partial(self._on_discovery_returns, fleet.true),
        )
        self.after(0, self._arrive)

    def _recover(self, fleet: _Fleet, age_us: int, heavier: float) -> None:
        # An idle engine that is warm takes the work divided by the threads.
        times_us = [(one.name, one.work_s / one.threads * SECOND_US / heavier) for one in REQUEST_CLASSES]
        latencies = [
            LatencyEntry(name, _LATENCY_SAMPLES, time_us, time_us, _WORK_FACTOR) for name, time_us in times_us
        ]
        for gateway in self._gateways:
            remembered = [(endpoint, age_us) for endpoint in fleet.listed]
            gateway.recover(remembered, fleet.tombstones, latencies, age_us)

    def _make_fleet(self, engines: int, changed: float) -> _Fleet:
        part = round(changed * engines / 4)
        odd = max(1, round(_ODD_SHARE * engines))
        listed = [_endpoint(number) for number in range(1, engines + 1)]
        drawn = self._random.sample(range(engines), 4 * part)
        removed, moved, given_away, _ = (set(drawn[at * part : (at + 1) * part]) for at in range(4))
        true: list[Endpoint] = []
        true_engines: list[SimulatedEngine] = []
        number = engines
        for at, endpoint in enumerate(listed):
            if at in given_away:
                self._listeners[endpoint.host, endpoint.port] = _STRANGER
            if at in removed or at in given_away:
                number += 1
                endpoint = _endpoint(number)
            port = engines * 10 + at if at in moved else endpoint.port
            # Its machine's clock says when it started, after the power's return.
            true.append(msgspec.structs.replace(endpoint, port=port, started_us=START_US))
            true_engines.append(self._add_engine(true[-1]))
        removed_alive = [_endpoint(engines * 20 + at) for at in range(odd)]
        for endpoint in removed_alive:
            self._add_engine(endpoint)
        tombstones = [Tombstone(one.id, one.started_us, SNAPSHOT_INDEX - 10, 0) for one in removed_alive]
        self._refusing = true_engines[odd : 2 * odd]
        first = EndpointEvent(SNAPSHOT_INDEX - 20, True, [*listed, *removed_alive])
        return _Fleet(listed, tombstones, first, EndpointEvent(SNAPSHOT_INDEX + 100, True, true[odd:]))

    def _add_engine(self, endpoint: Endpoint) -> SimulatedEngine:
        engine = SimulatedEngine(self)
        self._listeners[endpoint.host, endpoint.port] = engine
        return engine

    def _on_discovery_returns(self, event: EndpointEvent) -> None:
        """Each gateway connects within the longest pause between its attempts."""
        self.is_discovery_up = True
        if event.index > SNAPSHOT_INDEX:
            for engine in self._refusing:
                engine.die()
        for gateway in self._gateways:
            delay_us = self._random.randint(_MIN_CONNECT_US, _MAX_CONNECT_US)
            self.after(delay_us, partial(gateway.on_endpoint_event, event))
        if event.index < SNAPSHOT_INDEX:
            self.after(_BREAK_AFTER_US, self._on_discovery_breaks)

    def _on_discovery_breaks(self) -> None:
        self.is_discovery_up = False

    # Time, and what listens where.

    def after(self, delay_us: int, call: Callable[[], None]) -> None:
        """Calls `call` after a delay; calls of one time in the order in which they were made."""
        self._call_count += 1
        heapq.heappush(self._calls, (self.now + delay_us, self._call_count, call))

    def delay(self) -> int:
        """Draws the delay of one way in microseconds."""
        return self._random.randint(*_DELAY_RANGE_US)

    def listener_at(self, address: tuple[str, int]) -> SimulatedEngine | str | None:
        """Returns what listens at an address: an engine, a stranger's name, or nothing."""
        listener = self._listeners.get(address)
        if isinstance(listener, SimulatedEngine) and not listener.is_alive:
            return None
        return listener

    # What is requested, and what of it is answered in time.

    def _arrive(self) -> None:
        piece = (self.now - START_US) // PIECE_US
        shares = [one.share for one in REQUEST_CLASSES]
        number = self._random.choices(range(len(REQUEST_CLASSES)), shares)[0]
        request_class = REQUEST_CLASSES[number]
        work_s = max(_MIN_WORK_S, request_class.work_s * self._random.gammavariate(2, 0.5))
        while len(self._requested) <= piece:
            self._requested.append([])
            self._earned.append(0.0)
        self._requested[piece].append((request_class.value, work_s))
        gateway = self._random.choice(self._gateways)
        gateway.submit(number, work_s, work_s * self._random.lognormvariate(0, 0.3))
        pause_us = max(1, int(self._random.expovariate(self._requests_per_s) * SECOND_US))
        self.after(pause_us, self._arrive)

    def on_succeeded(self, request: Request) -> None:
        """Counts the value of a request that was answered within its objective."""
        request_class = REQUEST_CLASSES[request.request_class.index]
        if self.now <= request.arrived_us + request_class.objective_s * SECOND_US:
            self._earned[(request.arrived_us - START_US) // PIECE_US] += request_class.value

    def run(self, seconds: float) -> ColdStartResult:
        """Plays so many seconds from the power's return on."""
        until_us = START_US + int(seconds * SECOND_US)
        capacities_s: list[float] = []
        while self._calls and self._calls[0][0] < until_us:
            self.now, _, call = heapq.heappop(self._calls)
            while len(capacities_s) * PIECE_US <= self.now - START_US:
                capacities_s.append(self._capacity_s())
            call()
        self.now = until_us
        return self._result(capacities_s)

    def _result(self, capacities_s: list[float]) -> ColdStartResult:
        requested = [sum(value for value, _ in piece) for piece in self._requested]
        possible = [_possible_value(piece, most) for piece, most in zip(self._requested, capacities_s)]
        requested = requested[: len(requested) - _UNFINISHED_PIECES]
        possible = possible[: len(possible) - _UNFINISHED_PIECES]
        earned = self._earned[: len(self._earned) - _UNFINISHED_PIECES]
        return ColdStartResult(
            value=[part / whole for part, whole in zip(earned, requested)],
            bound=[part / whole for part, whole in zip(possible, requested)],
            share=sum(earned) / sum(requested),
            share_bound=sum(possible) / sum(requested),
            known_removed=self.known_removed,
            strangers=self.strangers,
            fallen=self.fallen,
            peak=self.peak,
            seconds_to_target=seconds_to_target(earned, possible, PIECE_US / SECOND_US),
        )

    def _capacity_s(self) -> float:
        """Returns the work that the engines can take in a piece from now, cold ones as much as is planned."""
        each = [
            PLANNED_COLD_REQUESTS * MEAN_WORK_S if one.is_cold() else CORES
            for one in self._listeners.values()
            if isinstance(one, SimulatedEngine) and one.is_alive
        ]
        return sum(each) * PIECE_US / SECOND_US


def _endpoint(number: int) -> Endpoint:
    return Endpoint(number, "10.0.0.1", number, EndpointState.READY, 0, 0, 0, SECOND_US)


def _possible_value(piece: list[tuple[float, float]], capacity_s: float) -> float:
    """Returns the value that full knowledge would earn with so much work: the densest first."""
    earned = 0.0
    for value, work_s in sorted(piece, key=lambda one: (-one[0] / one[1], one[1])):
        capacity_s -= work_s
        if capacity_s < 0:
            break
        earned += value
    return earned


def seconds_to_target(earned: list[float], possible: list[float], piece_s: float) -> float | None:
    """Returns seconds until nine tenths of what is possible over two seconds, and over any five after that.

    Both lists are by pieces of so many seconds. None: not even at the end.
    """
    short = _misses(earned, possible, min(len(earned), round(2 / piece_s)))
    long = _misses(earned, possible, min(len(earned), round(5 / piece_s)))
    if False not in short or long[-1]:
        return None
    lasting = len(long) - long[::-1].index(True) if True in long else 0
    return max(short.index(False), lasting) * piece_s


def _misses(earned: list[float], possible: list[float], count: int) -> list[bool]:
    """Returns from each piece on whether so many together miss the target."""
    return [
        sum(earned[at : at + count]) < _TARGET_SHARE * sum(possible[at : at + count])
        for at in range(len(earned) - count + 1)
    ]
