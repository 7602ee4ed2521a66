"""Limits on forwarding: credit per link, a fraction of the traffic, and a slow start after an outage."""

from __future__ import annotations

from cresstray.policy.sliding_window import SlidingWindow


class LinkCredit:
    """How much one link may have open at once, in requests and in bytes of their statements."""

    def __init__(self, max_requests: int, max_bytes: int) -> None:
        self.max_requests, self.max_bytes = max_requests, max_bytes
        self.used_requests, self.used_bytes = 0, 0

    def allows(self, size_bytes: int) -> bool:
        """Returns whether a further request of this size may be forwarded."""
        return self.used_requests < self.max_requests and self.used_bytes + size_bytes <= self.max_bytes

    def acquire(self, size_bytes: int) -> None:
        """Takes the credit for a request."""
        self.used_requests += 1
        self.used_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Returns the credit of a request that has an outcome."""
        self.used_requests -= 1
        self.used_bytes -= size_bytes
        assert self.used_requests >= 0 and self.used_bytes >= 0, "credit is given back once"


# The quota is a fraction of the requests of the last five seconds. A few requests are always allowed, as a
# gateway with little traffic could otherwise forward none.
_QUOTA_WINDOW_US, _QUOTA_BUCKETS, _ALWAYS_ALLOWED = 5_000_000, 20, 20
# After an outage: this many requests in the first second, doubled each second, unlimited after five seconds.
_SLOW_START_REQUESTS, _SLOW_START_SECONDS = 20, 5


class ForwardingQuota:
    """Limits the fraction of a gateway's requests that it forwards, over all its links."""

    def __init__(self, max_fraction: float) -> None:
        self.max_fraction = max_fraction
        self._received, self._forwarded = (
            SlidingWindow(_QUOTA_WINDOW_US, _QUOTA_BUCKETS),
            SlidingWindow(_QUOTA_WINDOW_US, _QUOTA_BUCKETS),
        )

    def record_received(self, now_us: int) -> None:
        """Counts a request of this site's own clients."""
        self._received.add(now_us)

    def record_forwarded(self, now_us: int) -> None:
        """Counts a request that was forwarded."""
        self._forwarded.add(now_us)

    def allows(self, now_us: int) -> bool:
        """Returns whether a further request may be forwarded."""
        return self._forwarded.upper_bound(
            now_us
        ) + 1 <= _ALWAYS_ALLOWED + self.max_fraction * self._received.lower_bound(now_us)


class LinkSlowStart:
    """Limits the requests per second on a link that has just recovered.

    Without it, all requests that waited during the outage would be forwarded at once and overload the site.
    """

    def __init__(self) -> None:
        self._last_second, self._count = SlidingWindow(1_000_000, 10), 0

    def record_forwarded(self, now_us: int) -> None:
        """Counts a request that was forwarded."""
        self._last_second.add(now_us)

    def allows(self, recovered_us: int, now_us: int) -> bool:
        """Returns whether a further request may be forwarded on a link that recovered at `recovered_us`."""
        seconds = (now_us - recovered_us) // 1_000_000
        return seconds >= _SLOW_START_SECONDS or self._last_second.upper_bound(
            now_us
        ) + 1 <= _SLOW_START_REQUESTS << max(0, seconds)
