"""Faults drawn by seed, so that they overlap; the same seed gives the same schedule."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

# One of two of these is drawn for processes and for links. `disk` loses the disk with the process.
PROCESS = ("kill", "freeze", "disk", "full")
NETWORK = ("cut", "silent", "one-way", "slow", "thin", "hold", "split")


@dataclass(frozen=True, order=True)
class Fault:
    """Seconds from the start. `who`: processes; of a split, one side of it; of one way, from and to."""

    at: float
    until: float
    kind: str
    who: tuple[str, ...]

    def line(self) -> str:
        return f"{self.at:6.2f} to {self.until:6.2f}  {self.kind} {' '.join(self.who)}"


def drawn(
    seed: int,
    keepers: Sequence[str],
    gateways: Sequence[str],
    seconds: float,
    pause: float = 1.2,
    disks: int = 1,
    quiet: float = 0.0,
) -> list[Fault]:
    """A fault about every `pause` seconds, each for half a second to four; none lasts into the last `quiet`.

    At most `disks` lose theirs: a log whose majority of disks is gone is gone, and nothing else is claimed.
    Faults of one process don't overlap each other; all others may.
    """
    rng, at, made = random.Random(seed), 0.3, []
    busy: dict[str, float] = {}
    end = seconds - quiet
    while at < end - 0.5:
        until = min(end, at + rng.uniform(0.5, 4.0))
        kind = rng.choice(PROCESS if rng.random() < 0.45 else NETWORK)
        who = _who(rng, kind, list(keepers), list(gateways))
        if kind == "disk":
            kind, disks = ("disk", disks - 1) if disks else ("kill", disks)
        if kind not in PROCESS or busy.get(who[0], 0.0) < at:
            if kind in PROCESS:
                # A little longer, since a process needs time to start and to be heard of.
                busy[who[0]] = until + 0.5
            made.append(Fault(round(at, 3), round(until, 3), kind, who))
        at += rng.expovariate(1 / pause)
    return made


def _who(rng: random.Random, kind: str, keepers: list[str], gateways: list[str]) -> tuple[str, ...]:
    if kind in ("disk", "full"):
        return (rng.choice(keepers),)
    if kind in PROCESS:
        return (rng.choice(keepers + gateways),)
    if kind == "split":
        side = rng.sample(keepers, rng.randint(1, len(keepers) // 2))
        return tuple(sorted(side + rng.sample(gateways, len(gateways) // 2)))
    if kind == "one-way":
        source = rng.choice(keepers + gateways)
        return source, rng.choice([one for one in keepers if one != source])
    return tuple(sorted(rng.sample(keepers + gateways, 2 if kind == "hold" else 1)))
