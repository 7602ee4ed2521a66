"""Decides whether a request is forwarded to a gateway of another site.

The policy represents each remote gateway as an engine that load balancing never chooses, whose `forwarding`
is a `SiteRoute`. A route accepts a request or not, from the state and credit of its link, the remote site's
reported capacity, and the expected latency at both sites. The remote gateway's policy chooses the engine.
"""

from __future__ import annotations

from collections.abc import Callable

from cresstray.policy.types import NOT_EXECUTED, Request
from cresstray.sites.flow_control import ForwardingQuota, LinkCredit, LinkSlowStart
from cresstray.sites.health import LinkHealth, LinkState

# A remote answer takes this much longer than its work and the round trip: two event loops may be late.
_LATENCY_MARGIN_US = 50_000
# The load of the chosen local engine, in threads per core scaled by its slowdown. From the first value on, a
# remote site is used if it is clearly faster; below the second no longer. Requests slow down from 1.0 on.
_BUSY_LOAD, _CALM_LOAD = 1.1, 0.9
# Clearly faster: by a quarter of the expected latency, and by more than the noise of the links.
_MIN_GAIN_DIVISOR, _NOISE_US = 4, 20_000
# The remote gateway must send a forwarded retry within this time, or not at all: the retry budget of the
# gateway that accepted the request allows for this much delay.
RETRY_SEND_WINDOW_US = 300_000
# A first attempt may be queued remotely for a twentieth of its remaining time, and at most this long.
_MAX_REMOTE_QUEUE_US = 300_000


class SiteRoute:
    """The route to one remote gateway."""

    def __init__(self, name: str, health: LinkHealth, credit: LinkCredit, quota: ForwardingQuota) -> None:
        self.name, self.health, self.credit, self.quota = name, health, credit, quota
        self.slow_start = LinkSlowStart()
        # As last reported: the spare threads that this gateway may use there, and its share of all cores.
        self.available_threads = self.available_cores = 0.0
        self.slowdown = 1.0
        self.paused_until_us = 0  # after a rejection that named a time
        self.is_draining = False  # the remote gateway has sent GoAway
        self.last_wanted_us = 0  # when a request would last have been forwarded if the route allowed it
        # Sends a heartbeat now, unless one was sent recently.
        self.request_heartbeat: Callable[[], None] = lambda: None
        self._is_local_busy = False
        self.used_threads, self.open_count = 0.0, 0  # of the requests that were forwarded and have no outcome

    def update_capacity(
        self, threads: float, cores: float, slowdown: float, paused_us: int, now_us: int
    ) -> None:
        """Stores what a heartbeat reported about the remote site."""
        self.available_threads, self.available_cores, self.slowdown = threads, cores, max(0.25, slowdown)
        if paused_us:
            self.pause(paused_us, now_us)

    def pause(self, duration_us: int, now_us: int) -> None:
        """Forwards nothing for this long."""
        self.paused_until_us = max(self.paused_until_us, now_us + duration_us)

    def spare_threads(self) -> float:
        """Returns the threads still available; those of a request are free again as soon as it ends."""
        return self.available_threads - self.used_threads

    def is_usable(self, now_us: int) -> bool:
        """Returns whether the link and the remote gateway accept requests now."""
        state = self.health.update_state(now_us)
        return (
            state in (LinkState.UP, LinkState.SLOW, LinkState.RECOVERING)
            and not self.is_draining
            and now_us >= self.paused_until_us
            and (state is LinkState.UP or self.slow_start.allows(self.health.recovering_since_us, now_us))
        )

    def accepts(self, request: Request, local_load: float | None, now_us: int) -> bool:
        """Returns whether the request is to be forwarded.

        `local_load` is the load of the local engine that would get the request otherwise, in threads per core
        scaled by its slowdown; None if no local engine can take it.
        """
        # Called for every request; most of them return here.
        if local_load is not None and not self._is_busy(local_load):
            return False
        expected_us, round_trip_us = request.expected_latency_us, self.health.round_trip_us(now_us)
        remote_us = int(round_trip_us + expected_us * self.slowdown) + _LATENCY_MARGIN_US
        if local_load is not None and not self._is_better(
            request, local_load, remote_us - _LATENCY_MARGIN_US, now_us
        ):
            return False
        self.last_wanted_us = now_us
        if self.health.is_stale(now_us):
            # The link was idle. The reply to this heartbeat reports the present capacity, and queued requests
            # are tried again then.
            self.request_heartbeat()
            return False
        if (
            not self.is_usable(now_us)
            or not self._fits(request.request_class.threads)
            or not self.credit.allows(request.size_bytes)
            or not self.quota.allows(now_us)
        ):
            return False
        # A request that the remote site finishes after its latency objective wastes capacity there, and would
        # be worth more here.
        return (
            now_us + remote_us <= request.objective_deadline_us
            and self.send_window_us(request, now_us) > round_trip_us // 2
        )

    def _is_better(self, request: Request, local_load: float, remote_us: int, now_us: int) -> bool:
        """Returns whether the remote site would be clearly faster, or the local one miss the objective."""
        local_us = int(request.expected_latency_us * max(1.0, local_load))
        return (
            now_us + local_us > request.objective_deadline_us
            or local_us - remote_us > request.expected_latency_us // _MIN_GAIN_DIVISOR + _NOISE_US
        )

    def _fits(self, threads: int) -> bool:
        # A spare thread that is divided among many gateways would otherwise be usable by none of them. So
        # half of the threads that a request needs are enough while no other request is forwarded.
        return threads <= self.spare_threads() or (
            self.used_threads == 0 and threads <= 2 * self.spare_threads()
        )

    def _is_busy(self, load: float) -> bool:
        # Two thresholds, as the route would otherwise open and close with each request.
        self._is_local_busy = load >= (_CALM_LOAD if self._is_local_busy else _BUSY_LOAD)
        return self._is_local_busy

    def reserve(self, request: Request, now_us: int) -> float:
        """Reserves credit, quota and threads for a request that is forwarded now.

        Returns the remote threads that it counts for: fewer than its own, as it runs for only a part of the
        time that it is open.
        """
        self.credit.acquire(request.size_bytes)
        self.quota.record_forwarded(now_us)
        self.slow_start.record_forwarded(now_us)
        run_us = request.expected_latency_us * self.slowdown
        weight_threads = request.request_class.threads * run_us / (run_us + self.health.round_trip_us(now_us))
        self.used_threads += weight_threads
        self.open_count += 1
        return weight_threads

    def release(self, request: Request, weight_threads: float) -> None:
        """Releases what was reserved for a request that has an outcome."""
        self.credit.release(request.size_bytes)
        self.open_count -= 1
        self.used_threads = max(0.0, self.used_threads - weight_threads) if self.open_count else 0.0

    def max_queue_us(self, request: Request, now_us: int) -> int:
        """Returns how long the remote gateway may queue the request: not at all if it is a retry."""
        if len(request.attempts) > 1:
            return 0
        return max(0, min(_MAX_REMOTE_QUEUE_US, (request.deadline_us - now_us) // 20))

    def send_window_us(self, request: Request, now_us: int) -> int:
        """Returns how long from now the remote gateway may send the request; at most its remaining time."""
        window_us = request.deadline_us - now_us
        previous = [attempt for attempt in request.attempts if attempt.outcome is not None]
        if previous:
            window_us = min(window_us, RETRY_SEND_WINDOW_US)
        if request.request_class.is_deduplicated:
            # Engines execute a duplicate that arrives after their deduplication window, which runs from when
            # the previous attempt was sent.
            for attempt in previous:
                if attempt.outcome not in NOT_EXECUTED:
                    window_us = min(
                        window_us,
                        attempt.sent_us + request.request_class.dedup_window_us - 100_000 - now_us,
                    )
        return window_us

    def is_deadline_unreachable(self, request: Request, was_sent: bool, now_us: int) -> bool:
        """Returns whether the answer can no longer arrive before the request's deadline."""
        remaining_us = request.deadline_us - now_us
        if self.health.state is LinkState.DISCONNECTED:
            # No answer arrives before the link is established again, which takes at least a round trip.
            return remaining_us <= self.health.last_round_trip_us() + _LATENCY_MARGIN_US
        round_trip_us = self.health.round_trip_us(now_us)
        # A request that was not sent to an engine also needs at least half of its expected latency.
        return remaining_us <= round_trip_us // 2 + (0 if was_sent else request.expected_latency_us // 2)
