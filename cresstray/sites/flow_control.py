"""How much may cross: credit for each link, a share of the traffic, and a ramp after a cut. Pure state."""

from __future__ import annotations

from cresstray.policy.sliding_window import SlidingWindow


class Credit:
    """What one link may hold at once, in submissions and in bytes of their statements."""

    def __init__(self, requests: int, size: int) -> None:
        self.submissions, self.size = requests, size
        self.held, self.held_size = 0, 0

    def has(self, size: int) -> bool:
        return self.held < self.submissions and self.held_size + size <= self.size

    def take(self, size: int) -> None:
        self.held += 1
        self.held_size += size

    def give(self, size: int) -> None:
        self.held -= 1
        self.held_size -= size
        assert self.held >= 0 and self.held_size >= 0, "credit is given back once"


# The share is of what came in over the last five seconds; a few may always cross, or a quiet gateway none.
_SPAN, _PARTS, _ALWAYS = 5_000_000, 20, 20
# After a cut: so many a second at first, doubled each second, free after this many.
_RAMP_START, _RAMP_SECONDS = 20, 5


class Share:
    """Bounds the part of a gateway's submissions that cross, over all its links."""

    def __init__(self, share: float) -> None:
        self.share = share
        self._taken, self._crossed = SlidingWindow(_SPAN, _PARTS), SlidingWindow(_SPAN, _PARTS)

    def taken(self, now: int) -> None:
        self._taken.add(now)

    def crossed(self, now: int) -> None:
        self._crossed.add(now)

    def room(self, now: int) -> bool:
        return self._crossed.upper_bound(now) + 1 <= _ALWAYS + self.share * self._taken.lower_bound(now)


class Ramp:
    """What may cross on one link in each second since it healed."""

    def __init__(self) -> None:
        self._second, self._count = SlidingWindow(1_000_000, 10), 0

    def crossed(self, now: int) -> None:
        self._second.add(now)

    def room(self, healed: int, now: int) -> bool:
        # Danger: all that waited through a cut would cross at once, and push over a hall that is just back.
        seconds = (now - healed) // 1_000_000
        return seconds >= _RAMP_SECONDS or self._second.upper_bound(now) + 1 <= _RAMP_START << max(0, seconds)
