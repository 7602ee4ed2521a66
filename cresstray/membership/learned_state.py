"""Collects learned latencies and limits from the policy controller for a snapshot, and restores them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from cresstray.membership.confidence import (
    LATENCY_HALF_LIFE_US,
    LIMIT_HALF_LIFE_US,
    SLOWDOWN_HALF_LIFE_US,
    confidence,
    decayed,
    decayed_ratio,
)
from cresstray.membership.estimate_states import EndpointEstimate
from cresstray.membership.snapshot import LatencyEntry, LimitEntry
from cresstray.policy.controller import PolicyController
from cresstray.policy.engine_state import EngineState
from cresstray.policy.types import Engine

# A request class with fewer samples counts with its whole latency objective on an engine that is warming up.
# With many gateways one request may then exceed this gateway's share, and nothing would be sent until engines
# are warm. Latencies of an old snapshot count as no more samples than this, so that the first answers correct
# them.
_MIN_SAMPLE_COUNT = 5
_MAX_SAMPLE_COUNT = 200
# A limit with fewer samples is not worth storing.
_MIN_LIMIT_SAMPLES = 10
# The bounds of the concurrency limit, as factors of its initial value.
_MIN_LIMIT_RATIO = 0.1
_MAX_LIMIT_RATIO = 1.99
# The first request to an unproven endpoint is spread over two slow-start turns of a cold engine, not one.
_UNPROVEN_SHARE = 0.5


class LearnedLimit(NamedTuple):
    """The fields of a LimitEntry, collected without the checks of its type."""

    id: int
    started_us: int
    ratio: float
    slowdown: float


def collect_latencies(controller: PolicyController, names: Iterable[str]) -> list[LatencyEntry]:
    """Returns the latencies of all request classes with samples; `names` has their names in order."""
    return [
        LatencyEntry(
            name,
            request_class.latency.sample_count,
            request_class.latency.mean_us,
            request_class.latency.mean_work_us,
            request_class.latency.work_factor,
        )
        for name, request_class in zip(names, controller.request_classes)
        if request_class.latency.sample_count
    ]


def collect_limits(
    engines: Mapping[int, tuple[Engine, EngineState]], estimates: Mapping[int, EndpointEstimate]
) -> list[LearnedLimit]:
    """Returns the limits with enough samples; `engines` and `estimates` are by endpoint id."""
    return [
        LearnedLimit(
            endpoint_id,
            estimates[endpoint_id].endpoint.started_us,
            state.limit.value / state.limit.initial,
            state.limit.slowdown,
        )
        for endpoint_id, (_, state) in engines.items()
        if state.limit.sample_count >= _MIN_LIMIT_SAMPLES and endpoint_id in estimates
    ]


def restore_latencies(
    controller: PolicyController, names: Iterable[str], entries: Iterable[LatencyEntry], age_us: int
) -> int:
    """Restores the latencies of request classes without samples; returns how many were restored.

    Nothing is restored if the age is unknown.
    """
    entry_by_name = {entry.name: entry for entry in entries}
    remaining = confidence(age_us, LATENCY_HALF_LIFE_US)
    restored = 0
    for name, request_class in zip(names, controller.request_classes):
        latency = request_class.latency
        entry = entry_by_name.get(name)
        if entry is None or latency.sample_count or entry.sample_count < _MIN_SAMPLE_COUNT or not remaining:
            continue
        latency.mean_us = entry.mean_us
        latency.mean_work_us = entry.mean_work_us
        latency.work_factor = decayed_ratio(entry.work_factor, age_us, LATENCY_HALF_LIFE_US)
        # An older entry counts as fewer samples, so that new answers change it sooner.
        sample_count = int(min(entry.sample_count, _MAX_SAMPLE_COUNT) * remaining)
        latency.sample_count = max(_MIN_SAMPLE_COUNT, sample_count)
        restored += 1
    return restored


def restore_limit(state: EngineState, entry: LimitEntry, started_us: int | None, age_us: int) -> bool:
    """Restores a limit into a state without samples; returns whether it was restored.

    Args:
        state: The policy's state of the engine.
        entry: The limit that an earlier process has learned.
        started_us: The start of the endpoint as discovery names it; None if discovery has not named it.
        age_us: The age of the entry in microseconds.
    """
    # A limit that was learned before the engine restarted does not apply any more.
    has_restarted = started_us is not None and started_us != entry.started_us
    if state.limit.sample_count or has_restarted:
        return False
    ratio = decayed_ratio(entry.ratio, age_us, LIMIT_HALF_LIFE_US)
    if started_us is None:
        # The engine may have restarted, so only a lower limit is safe to restore.
        ratio = min(1.0, ratio)
    state.limit.value = min(max(ratio, _MIN_LIMIT_RATIO), _MAX_LIMIT_RATIO) * state.limit.initial
    state.limit.slowdown = decayed(entry.slowdown, 1.0, age_us, SLOWDOWN_HALF_LIFE_US)
    return True


def delay_first_turn(state: EngineState, chance: Callable[[], float], now_us: int) -> None:
    """Delays the first slow-start turn of an unproven endpoint, at random by up to its remaining time."""
    if state.slow_start.next_send_us > now_us:
        delay_us = int((state.slow_start.next_send_us - now_us) / _UNPROVEN_SHARE * (0.5 + 0.5 * chance()))
        state.slow_start.next_send_us = now_us + delay_us
