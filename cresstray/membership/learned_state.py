"""Takes learned latencies and limits out of the policy controller for a snapshot, and restores them."""

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

# A request class with fewer known answers weighs its whole latency objective on an engine that warms up. With
# many gateways that alone may be over this gateway's part, and nothing would be sent until engines are warm.
# Latencies of an old snapshot count as no more than this, so the first answers correct them.
_MIN_SAMPLE_COUNT = 5
_MAX_SAMPLE_COUNT = 200
# A limit with fewer samples has learned nothing worth storing.
_MIN_LIMIT_SAMPLES = 10
# The bounds that the concurrency limit itself keeps to, as factors of what it starts with.
_MIN_LIMIT_RATIO = 0.1
_MAX_LIMIT_RATIO = 1.99
# An endpoint that nobody has vouched for gets its first request within two turns of a cold one, not one.
_UNPROVEN_SHARE = 0.5


class LearnedLimit(NamedTuple):
    """The fields of a LimitEntry, gathered without the checks of its type."""

    id: int
    started_us: int
    ratio: float
    slowdown: float


def collect_latencies(controller: PolicyController, names: Iterable[str]) -> list[LatencyEntry]:
    """Returns the latencies of all request classes that have seen an answer; `names` are theirs, in order."""
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
    """Returns the limits of all engines that have learned any, by endpoint id."""
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
    """Restores latencies into request classes that have seen no answer; returns into how many.

    Nothing is restored where the age is not known.
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
        # The older the entry, the fewer samples it counts as, and the sooner new answers move it.
        sample_count = int(min(entry.sample_count, _MAX_SAMPLE_COUNT) * remaining)
        latency.sample_count = max(_MIN_SAMPLE_COUNT, sample_count)
        restored += 1
    return restored


def restore_limit(state: EngineState, entry: LimitEntry, started_us: int | None, age_us: int) -> bool:
    """Restores a limit into a state without samples; returns whether it did.

    Args:
        state: What the policy knows of the engine.
        entry: What an earlier process learned.
        started_us: The start of the endpoint as discovery names it; None where it has not been named.
        age_us: The age of the entry in microseconds.
    """
    # What was learned before an engine restarted says nothing of it now.
    has_restarted = started_us is not None and started_us != entry.started_us
    if state.limit.sample_count or has_restarted:
        return False
    ratio = decayed_ratio(entry.ratio, age_us, LIMIT_HALF_LIFE_US)
    if started_us is None:
        # It may have restarted: then only a lower limit is safe to restore.
        ratio = min(1.0, ratio)
    state.limit.value = min(max(ratio, _MIN_LIMIT_RATIO), _MAX_LIMIT_RATIO) * state.limit.initial
    state.limit.slowdown = decayed(entry.slowdown, 1.0, age_us, SLOWDOWN_HALF_LIFE_US)
    return True


def delay_first_turn(state: EngineState, chance: Callable[[], float], now_us: int) -> None:
    """Draws the first turn of an unproven endpoint over twice the time of one that only warms up."""
    if state.slow_start.next_send_us > now_us:
        delay_us = int((state.slow_start.next_send_us - now_us) / _UNPROVEN_SHARE * (0.5 + 0.5 * chance()))
        state.slow_start.next_send_us = now_us + delay_us
