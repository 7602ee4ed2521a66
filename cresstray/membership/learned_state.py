"""What the module has learnt, taken out for the disk and put back into objects that are as new."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from cresstray.membership.confidence import (
    LATENCY_HALF_LIFE_US,
    LIMIT_HALF_LIFE_US,
    SLOWDOWN_HALF_LIFE_US,
    confidence,
    decayed,
    decayed_ratio,
)
from cresstray.membership.estimate import EndpointEstimate
from cresstray.membership.snapshot import LatencyEntry, LimitEntry
from cresstray.policy.controller import Limiter, PolicyController
from cresstray.policy.types import Engine

# Danger: a tariff with fewer than five known answers weighs its soft limit on a cold engine. With many
# gateways that alone may be over our part: nothing at all would be sent until engines must be warm. Of an old
# list as few as that count, so that if it has become heavy since, the first answers tell. Until they come a
# listed engine gets half of our part, and bears work half as heavy again as it was: docs/kept.md.
_KNOWN = 5
# A remembered engine that nobody has spoken for gets its first work within two turns of a cold one, not one.
_TRIAL_SHARE = 0.5


def collect_latencies(gateway: PolicyController, names: Iterable[str]) -> list[LatencyEntry]:
    return [
        LatencyEntry(
            name,
            request_class.latency.sample_count,
            request_class.latency.mean_us,
            request_class.latency.mean_work_us,
            request_class.latency.work_factor,
        )
        for name, request_class in zip(names, gateway.request_classes)
        if request_class.latency.sample_count
    ]


def collect_limits(
    engines: Mapping[int, tuple[Engine, Limiter]], beliefs: Mapping[int, EndpointEstimate]
) -> list[tuple[int, int, float, float]]:
    """Of those that have learnt anything, as record.Limit has it."""
    return [
        (number, beliefs[number].endpoint.started_us, limiter.limit / limiter.start, limiter.pace)
        for number, (_, limiter) in engines.items()
        if limiter.seen >= 10 and number in beliefs
    ]


def restore_latencies(
    gateway: PolicyController, names: Iterable[str], kept: Iterable[LatencyEntry], age: int
) -> int:
    """Into tariffs that have seen nothing yet, unless nobody knows how old they are; how many."""
    of, put, left = {one.name: one for one in kept}, 0, confidence(age, LATENCY_HALF_LIFE_US)
    for name, request_class in zip(names, gateway.request_classes):
        usual, one = request_class.latency, of.get(name)
        if one is None or usual.sample_count or one.sample_count < _KNOWN or not left:
            continue
        usual.mean_us, usual.mean_work_us = one.mean_us, one.mean_work_us
        usual.work_factor = decayed_ratio(one.work_factor, age, LATENCY_HALF_LIFE_US)
        # Fewer count for as much: what is answered from now on moves it sooner.
        usual.sample_count = max(_KNOWN, int(min(one.sample_count, 200) * left))
        put += 1
    return put


def restore_limit(limiter: Limiter, kept: LimitEntry, started: int | None, age: int) -> bool:
    """Into a limiter that has seen nothing yet. `started`: as the register told it; None: nobody has.

    What was learnt of one life of an engine says nothing of the next. Where its life is not known, only what
    lowers a limit is kept: that is the safe side.
    """
    if limiter.seen or started is not None and started != kept.started_us:
        return False
    ratio = decayed_ratio(kept.ratio, age, LIMIT_HALF_LIFE_US)
    if started is None:
        ratio = min(1.0, ratio)
    limiter.limit = min(max(ratio, 0.1), 1.99) * limiter.start
    limiter.pace = decayed(kept.slowdown, 1.0, age, SLOWDOWN_HALF_LIFE_US)
    return True


def copy_learned_state(old: Limiter, new: Limiter) -> None:
    """From a limiter of this process to the one that took its place, where the engine's life is the same."""
    new.limit = old.limit / old.start * new.start
    for name in (
        "pace",
        "seen",
        "average",
        "best",
        "heard",
        "lost",
        "fails",
        "answers",
        "doubted",
        "mute",
        "trial_at",
        "streak",
        "signs",
        "idle",
        "full_until",
        "blocked",
    ):
        setattr(new, name, getattr(old, name))


def delay_first_turn(limiter: Limiter, chance: Callable[[], float], now: int) -> None:
    """Its first turn is drawn over twice as long: half of our part of what a cold engine may get."""
    if limiter.cold > now:
        limiter.cold = now + int((limiter.cold - now) / _TRIAL_SHARE * (0.5 + 0.5 * chance()))
