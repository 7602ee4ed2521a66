"""What the module has learnt, taken out for the disk and put back into objects that are as new."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from cresstray.membership.confidence import LIMIT, PACE, TIMES, faded, faded_ratio, weight
from cresstray.membership.estimate import Belief
from cresstray.membership.snapshot import Limit, Tariff
from cresstray.policy.controller import PolicyController
from cresstray.policy.engine_state import EngineState
from cresstray.policy.types import Engine

# Danger: a tariff with fewer than five known answers weighs its soft limit on a cold engine. With many
# gateways that alone may be over our part: nothing at all would be sent until engines must be warm. Of an old
# list as few as that count, so that if it has become heavy since, the first answers tell. Until they come a
# listed engine gets half of our part, and bears work half as heavy again as it was: docs/kept.md.
_KNOWN = 5
# A remembered engine that nobody has spoken for gets its first work within two turns of a cold one, not one.
_TRIAL_SHARE = 0.5


def tariffs(gateway: PolicyController, names: Iterable[str]) -> list[Tariff]:
    return [
        Tariff(
            name,
            request_class.latency.sample_count,
            request_class.latency.mean_us,
            request_class.latency.mean_work_us,
            request_class.latency.work_factor,
        )
        for name, request_class in zip(names, gateway.request_classes)
        if request_class.latency.sample_count
    ]


def limits(
    engines: Mapping[int, tuple[Engine, EngineState]], beliefs: Mapping[int, Belief]
) -> list[tuple[int, int, float, float]]:
    """Of those that have learnt anything, as record.Limit has it."""
    return [
        (
            number,
            beliefs[number].member.started_us,
            limiter.limit.value / limiter.limit.initial,
            limiter.limit.slowdown,
        )
        for number, (_, limiter) in engines.items()
        if limiter.limit.sample_count >= 10 and number in beliefs
    ]


def put_tariffs(gateway: PolicyController, names: Iterable[str], kept: Iterable[Tariff], age: int) -> int:
    """Into tariffs that have seen nothing yet, unless nobody knows how old they are; how many."""
    of, put, left = {one.name: one for one in kept}, 0, weight(age, TIMES)
    for name, request_class in zip(names, gateway.request_classes):
        usual, one = request_class.latency, of.get(name)
        if one is None or usual.sample_count or one.seen < _KNOWN or not left:
            continue
        usual.mean_us, usual.mean_work_us = one.mean, one.estimate
        usual.work_factor = faded_ratio(one.factor, age, TIMES)
        # Fewer count for as much: what is answered from now on moves it sooner.
        usual.sample_count = max(_KNOWN, int(min(one.seen, 200) * left))
        put += 1
    return put


def put_limit(limiter: EngineState, kept: Limit, started: int | None, age: int) -> bool:
    """Into a limiter that has seen nothing yet. `started`: as the register told it; None: nobody has.

    What was learnt of one life of an engine says nothing of the next. Where its life is not known, only what
    lowers a limit is kept: that is the safe side.
    """
    if limiter.limit.sample_count or started is not None and started != kept.started:
        return False
    ratio = faded_ratio(kept.ratio, age, LIMIT)
    if started is None:
        ratio = min(1.0, ratio)
    limiter.limit.value = min(max(ratio, 0.1), 1.99) * limiter.limit.initial
    limiter.limit.slowdown = faded(kept.pace, 1.0, age, PACE)
    return True


def carry(old: EngineState, new: EngineState) -> None:
    """From a limiter of this process to the one that took its place, where the engine's life is the same."""
    new.take_over(old)


def on_trial(limiter: EngineState, chance: Callable[[], float], now: int) -> None:
    """Its first turn is drawn over twice as long: half of our part of what a cold engine may get."""
    if limiter.slow_start.next_send_us > now:
        limiter.slow_start.next_send_us = now + int(
            (limiter.slow_start.next_send_us - now) / _TRIAL_SHARE * (0.5 + 0.5 * chance())
        )
