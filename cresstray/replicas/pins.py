"""Operators' pins: whose reads go to which replicas, until when, and how pins follow shards that move."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

# With a larger part of their cores busy, replicas that also apply writes fall behind.
_MAX_BUSY_SHARE = 0.75


class Pin(Protocol):
    """A pin as the `replicas` document in force has it; `until_s` in Unix seconds."""

    request_class: str
    tenant: str
    copies: tuple[str, ...]
    zone: str
    is_strict: bool
    until_s: int


def matching_pins(pins: Mapping[str, Pin], request_class: str, tenant: str, unix_s: float) -> list[Pin]:
    """Returns the pins that apply to these reads now, ordered by name. `until_s` 0 has always expired."""
    return [
        pin
        for _, pin in sorted(pins.items(), key=lambda item: item[0])
        if unix_s < pin.until_s
        and pin.request_class in ("", request_class)
        and pin.tenant in ("", tenant)
        and (pin.request_class or pin.tenant)
    ]


def pinned_replicas(
    pin: Pin,
    replicas: Iterable[str],
    reads: tuple[str, ...],
    zone_of: Callable[[str], str | None],
    is_joint: bool = False,
) -> list[str]:
    """Returns those of `replicas` that the pin allows.

    A pinned replica that the shard no longer has is replaced by the replicas in its zone.

    Args:
        pin: The pin.
        replicas: The replicas to choose from.
        reads: All replicas of the shard that serve reads.
        zone_of: Returns an engine's zone; None: unknown.
        is_joint: Whether two versions of the configuration are in force.
    """
    # While two versions are in force, a replica that moves is in the reads of neither of them, although it
    # has not gone by the committed version.
    removed = [] if is_joint and pin.is_strict else [name for name in pin.copies if name not in reads]
    zones = {zone_of(name) for name in removed} | ({pin.zone} if removed or not pin.copies else set())
    zones -= {None, ""}
    return [name for name in replicas if name in pin.copies or zone_of(name) in zones]


def apply_pins(
    pins: list[Pin],
    fresh: list[str],
    reads: tuple[str, ...],
    zone_of: Callable[[str], str | None],
    is_full: Callable[[str], bool],
    is_joint: bool = False,
) -> list[str]:
    """Returns the fresh replicas that pins allow.

    All strict pins apply. Of the others, the first applies that allows a replica which is not full.
    """
    for pin in pins:
        if pin.is_strict:
            fresh = pinned_replicas(pin, fresh, reads, zone_of, is_joint)
    for pin in pins:
        if not pin.is_strict:
            preferred = [name for name in pinned_replicas(pin, fresh, reads, zone_of) if not is_full(name)]
            if preferred:
                return preferred
    return fresh


def explain_overload(
    pin: Pin, busy_threads: Mapping[str, float], cores: Mapping[str, float], pinned_threads: float
) -> str | None:
    """Returns why the pin would overload its replicas, for a dry run; None if it would not.

    Args:
        pin: The pin.
        busy_threads: Threads that other work keeps busy on each engine.
        cores: The cores of each engine that the pin may select.
        pinned_threads: Threads that the pinned reads keep busy.
    """
    selected = sorted(engine for engine in cores if not pin.copies or engine in pin.copies)
    available = sum(cores[engine] for engine in selected)
    busy = sum(busy_threads.get(engine, 0.0) for engine in selected) + pinned_threads
    if busy <= _MAX_BUSY_SHARE * available:
        return None
    return (
        f"its reads need {pinned_threads:.1f} threads; {', '.join(selected) or 'no engine'} would have "
        f"{busy:.1f} busy of {available:g} cores, and {_MAX_BUSY_SHARE:.0%} is the most"
    )
