"""The state of a link, from its heartbeats and their acknowledgements. Reads no clock.

disconnected --connected--> recovering --stable for some time--> up <--round trip--> slow
 ^                              |                                |                    |
 |                              +-- heartbeats late, or ours not acknowledged --------+--> suspected
 +-------------------- connection ended, or silence for a lease ------------------------------+
"""

from __future__ import annotations

from collections import deque
from enum import Enum

from cresstray.policy.sliding_window import SlidingWindow


class LinkState(Enum):
    """The state of a link; the value is what the status and the log show."""

    UP = "up"
    SLOW = "slow"
    SUSPECTED = "suspect"
    DISCONNECTED = "cut"
    RECOVERING = "healing"


# While no request is open or wanted, heartbeats are this many times rarer: for a gateway with little traffic,
# a wake-up costs as much as a request does.
IDLE_INTERVAL_FACTOR = 10
# Unacknowledged heartbeats whose send time is remembered: at five a second, more than any lease.
_MAX_UNACKNOWLEDGED = 128
# The round trip is the mean of the last second. A link that becomes slower is detected earlier, from the
# heartbeats that are not acknowledged yet.
_ROUND_TRIP_WINDOW_US, _ROUND_TRIP_BUCKETS = 1_000_000, 5


class LinkHealth:
    """Tracks the heartbeats of one side of a link, its round trip time, its state and its leases."""

    def __init__(self, heartbeat_us: int, slow_us: int, lease_us: int, recovery_us: int) -> None:
        """Creates the health of a link that is not connected.

        Args:
            heartbeat_us: The interval between heartbeats while requests are open.
            slow_us: A longer round trip makes the link slow.
            lease_us: A connection that is silent for longer is closed.
            recovery_us: A link that was reconnected is up after it was stable for this long.
        """
        self._busy_interval_us = self.heartbeat_us = heartbeat_us
        self.idle_heartbeat_us, self._interval_changed_us = IDLE_INTERVAL_FACTOR * heartbeat_us, 0
        self._slow_us, self.lease_us, self._recovery_us = slow_us, lease_us, recovery_us
        self.state = LinkState.DISCONNECTED
        self._round_trip_sum, self._round_trip_count = (
            SlidingWindow(_ROUND_TRIP_WINDOW_US, _ROUND_TRIP_BUCKETS),
            SlidingWindow(_ROUND_TRIP_WINDOW_US, _ROUND_TRIP_BUCKETS),
        )
        self._last_round_trip_us = 0
        self._cached_round_trip_us, self._cached_ms = 0, -1  # and the millisecond that it was computed in
        self._sent_number = 0  # of our last heartbeat
        # The numbers and send times of our heartbeats that the other side has not acknowledged.
        self._unacknowledged: deque[tuple[int, int]] = deque(maxlen=_MAX_UNACKNOWLEDGED)
        # The last of our heartbeats that was acknowledged; number 0 is the connection itself.
        self._acknowledged, self._connected_us = 0, 0
        # When that heartbeat was sent. The other side's knowledge of this side is at least as recent.
        self.acknowledged_sent_us = 0
        self.received_number, self.received_us = 0, 0  # the other side's last heartbeat
        self._last_frame_us = 0
        self.stable_since_us = 0
        self.recovering_since_us = 0

    def on_connected(self, now_us: int) -> None:
        """Starts a new connection, whose heartbeats are counted from 0."""
        self.state = LinkState.RECOVERING
        self._unacknowledged.clear()
        # The lease of earlier requests is not renewed by sending a welcome, which may never arrive. The first
        # frame that acknowledges heartbeat 0 or a later one renews it.
        self.received_number, self.received_us, self._sent_number = 0, now_us, 0
        self._acknowledged, self._connected_us = 0, now_us
        self._last_frame_us = self.stable_since_us = self.recovering_since_us = now_us
        self._round_trip_sum, self._round_trip_count, self._last_round_trip_us = (
            SlidingWindow(_ROUND_TRIP_WINDOW_US, _ROUND_TRIP_BUCKETS),
            SlidingWindow(_ROUND_TRIP_WINDOW_US, _ROUND_TRIP_BUCKETS),
            0,
        )
        self._cached_ms = -1

    def set_busy(self, is_busy: bool, now_us: int) -> None:
        """Sets the heartbeat interval: a link with open requests is checked more often."""
        heartbeat_us = self._busy_interval_us if is_busy else self.idle_heartbeat_us
        if heartbeat_us != self.heartbeat_us:
            self.heartbeat_us, self._interval_changed_us = heartbeat_us, now_us

    def write_delay_us(self, now_us: int) -> int:
        """Returns how long a frame may wait for others: a tenth of the round trip, at most 5 ms.

        At 1,000 forwarded requests a second and a delay of 5 ms (a round trip of 50 ms), five frames share
        one write, and both sides wake up that much less often.
        """
        delay_us = min(5_000, self.round_trip_us(now_us) // 10)
        return delay_us if delay_us >= 1_000 else 0

    def is_stale(self, now_us: int) -> bool:
        """Returns whether the capacity in the last heartbeat is too old to rely on."""
        return now_us - self.received_us > 4 * self._busy_interval_us + self._last_round_trip_us

    def on_disconnected(self) -> None:
        """Notes that the connection has ended."""
        self.state = LinkState.DISCONNECTED

    def next_heartbeat(self, now_us: int) -> tuple[int, int, int]:
        """Returns our next number, the last number received, and how long ago that was received."""
        self._sent_number += 1
        self._unacknowledged.append((self._sent_number, now_us))
        return self._sent_number, self.received_number, self.held_us(now_us)

    def held_us(self, now_us: int) -> int:
        """Returns how long ago the other side's last heartbeat was received."""
        return max(0, now_us - self.received_us)

    def on_frame(self, now_us: int) -> None:
        """Notes that a frame of any kind was received."""
        self._last_frame_us = now_us

    def on_heartbeat(self, number: int, acknowledged: int, held_us: int, now_us: int) -> None:
        """Handles the other side's heartbeat, which acknowledges one of ours."""
        self.received_number, self.received_us, self._last_frame_us = number, now_us, now_us
        sent_us = self.heartbeat_sent_us(acknowledged)
        if sent_us is None:
            return
        if acknowledged > self._acknowledged:
            # A wrong `held_us` must not make the link appear faster than possible.
            self._last_round_trip_us = now_us - sent_us - min(held_us, now_us - sent_us)
            self._round_trip_sum.add(now_us, self._last_round_trip_us)
            self._round_trip_count.add(now_us)
            self._cached_ms = -1
        self.acknowledge(acknowledged)

    def acknowledge(self, number: int) -> None:
        """Notes that a frame named this heartbeat of ours as the last one received before it was sent."""
        sent_us = self.heartbeat_sent_us(number)
        if sent_us is not None and number >= self._acknowledged:
            self._acknowledged, self.acknowledged_sent_us = number, sent_us
            while self._unacknowledged and self._unacknowledged[0][0] <= number:
                self._unacknowledged.popleft()

    def round_trip_us(self, now_us: int) -> int:
        """Returns the maximum of the recent mean, the last one, and an unacknowledged heartbeat's delay."""
        # Called several times per request, so it is computed once per millisecond.
        if now_us // 1000 != self._cached_ms:
            self._cached_ms, self._cached_round_trip_us = now_us // 1000, self._compute_round_trip_us(now_us)
        return self._cached_round_trip_us

    def last_round_trip_us(self) -> int:
        """Returns the last one that was measured, in whatever state the link is now."""
        return self._last_round_trip_us

    def _compute_round_trip_us(self, now_us: int) -> int:
        count = self._round_trip_count.lower_bound(now_us)
        mean_us = int(self._round_trip_sum.lower_bound(now_us) / count) if count else self._last_round_trip_us
        return max(mean_us, self._last_round_trip_us, self._unacknowledged_us(now_us) - self.heartbeat_us)

    def _unacknowledged_us(self, now_us: int) -> int:
        """Returns the age of our oldest heartbeat that is not acknowledged."""
        return now_us - self._unacknowledged[0][1] if self._unacknowledged else 0

    def heartbeat_sent_us(self, number: int) -> int | None:
        """Returns when our heartbeat of this number was sent; None if it never was, or is too old."""
        if number == 0:
            return self._connected_us
        if number == self._acknowledged:
            return self.acknowledged_sent_us
        return next((sent_us for sent, sent_us in self._unacknowledged if sent == number), None)

    def max_age_us(self, acknowledged: int, held_us: int, now_us: int) -> int | None:
        """Returns how long ago a frame that arrives now can have been made at most.

        Independently of the clocks, the frame was made `held_us` after the other side had received our
        heartbeat `acknowledged`, hence at least `held_us` after we sent that.

        Returns None if that heartbeat was never sent, or is too old.
        """
        sent_us = self.heartbeat_sent_us(acknowledged)
        return None if sent_us is None else max(0, now_us - sent_us - held_us)

    def update_state(self, now_us: int) -> LinkState:
        """Updates and returns the state; a late heartbeat or acknowledgement makes the link suspected."""
        if self.state is LinkState.DISCONNECTED:
            return self.state
        round_trip_us = self.round_trip_us(now_us)
        # After the interval was shortened, heartbeats are not late until the new one has passed.
        silence_us = min(
            max(now_us - self.received_us, self._unacknowledged_us(now_us) - round_trip_us),
            now_us - self._interval_changed_us,
        )
        # Three intervals and the usual round trip: a single lost or late heartbeat means nothing.
        if silence_us > 3 * self.heartbeat_us + min(round_trip_us, self._slow_us):
            self.state, self.stable_since_us = LinkState.SUSPECTED, now_us
        elif self.state is LinkState.SUSPECTED and round_trip_us <= self._slow_us:
            self.state, self.stable_since_us, self.recovering_since_us = LinkState.RECOVERING, now_us, now_us
        elif round_trip_us > self._slow_us:
            self.state, self.stable_since_us = LinkState.SLOW, now_us
        elif self.state is not LinkState.UP:
            # Without this delay the state would flap with every heartbeat: a slow link must be stable for a
            # second, a reconnected one for the whole recovery time.
            stable_us = self._recovery_us if self.state is LinkState.RECOVERING else 1_000_000
            if now_us - self.stable_since_us >= stable_us:
                self.state = LinkState.UP
        return self.state

    def is_dead(self, now_us: int) -> bool:
        """Returns whether the connection should be closed: one direction was silent for a lease."""
        max_silence_us = self.lease_us + (
            2 * self.heartbeat_us if self.heartbeat_us == self.idle_heartbeat_us else 0
        )
        return (
            self.state is not LinkState.DISCONNECTED
            and now_us - self._interval_changed_us > max_silence_us
            and (
                now_us - self._last_frame_us > max_silence_us
                or self._unacknowledged_us(now_us) > 2 * max_silence_us
            )
        )

    def has_lease_expired(self, now_us: int) -> bool:
        """Returns whether the other side's requests must be cancelled, as it may regard them as cancelled."""
        return now_us > self.acknowledged_sent_us + self.lease_us

    def remote_lease_end_us(self) -> int:
        """Returns when the remote gateway has cancelled our requests, if no further frame reached it.

        Its lease runs from when it sent the last of its heartbeats that it knows we received, which is
        earlier than when we received it. A twentieth of the lease is added for clocks that run at different
        speeds, and a tenth of a second for a remote event loop that checks its leases late.
        """
        return self.received_us + self.lease_us + self.lease_us // 20 + 100_000
