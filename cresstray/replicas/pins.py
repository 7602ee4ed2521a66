"""An operator's pins: whose reads go to which copies, until when, and how they follow shards that move."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

# Beyond this part of their cores' time, copies that also apply what is written fall behind.
_MOST_BUSY = 0.75


class Pin(Protocol):
    """As `replicas` in force has it; `until_s` in Unix seconds."""

    request_class: str
    tenant: str
    copies: tuple[str, ...]
    zone: str
    is_strict: bool
    until_s: int


def matching(pins: Mapping[str, Pin], request_class: str, tenant: str, unix: float) -> list[Pin]:
    """Those that hold for these reads now, in the order of their names. `until` 0 never holds."""
    return [
        pin
        for _, pin in sorted(pins.items(), key=lambda one: one[0])
        if unix < pin.until_s
        and pin.request_class in ("", request_class)
        and pin.tenant in ("", tenant)
        and (pin.request_class or pin.tenant)
    ]


def pinned(
    pin: Pin,
    copies: Iterable[str],
    reads: tuple[str, ...],
    zone_of: Callable[[str], str | None],
    joint: bool = False,
) -> list[str]:
    """Those of `copies` that the pin means; one that the shard no longer has is followed into its zone."""
    # Danger: while joint a copy that moves is in neither's reads; by the version in force it has not gone.
    gone = [] if joint and pin.is_strict else [copy for copy in pin.copies if copy not in reads]
    zones = {zone_of(copy) for copy in gone} | ({pin.zone} if gone or not pin.copies else set())
    zones -= {None, ""}
    return [copy for copy in copies if copy in pin.copies or zone_of(copy) in zones]


def narrowed(
    pins: list[Pin],
    fresh: list[str],
    reads: tuple[str, ...],
    zone_of: Callable[[str], str | None],
    full: Callable[[str], bool],
    joint: bool = False,
) -> list[str]:
    """What pins leave of the copies that are fresh enough: of several strict ones all hold, and the first
    preference with a copy that has room counts."""
    for pin in pins:
        if pin.is_strict:
            fresh = pinned(pin, fresh, reads, zone_of, joint)
    for pin in pins:
        if not pin.is_strict:
            preferred = [copy for copy in pinned(pin, fresh, reads, zone_of) if not full(copy)]
            if preferred:
                return preferred
    return fresh


def overload(pin: Pin, heat: Mapping[str, float], cores: Mapping[str, float], work: float) -> str | None:
    """Why this pin would be too much for its copies, for the dry run; None: it would not.

    `heat`: threads that other work keeps busy on each engine, `cores` of each that may be meant, `work`:
    threads that the pinned reads keep busy.
    """
    named = sorted(engine for engine in cores if not pin.copies or engine in pin.copies)
    have = sum(cores[engine] for engine in named)
    busy = sum(heat.get(engine, 0.0) for engine in named) + work
    if busy <= _MOST_BUSY * have:
        return None
    return (
        f"its reads need {work:.1f} threads; {', '.join(named) or 'no engine'} would have "
        f"{busy:.1f} busy of {have:g} cores, and {_MOST_BUSY:.0%} is the most"
    )
