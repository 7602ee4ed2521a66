"""Decides which engines a control-plane node polls for positions, given what its gateways request.

A shard is requested with the maximum age of its positions. Its primary is polled repeatedly by that age, as a
past head can't be queried later. Its replicas are polled when a read waits for them, and the primary before
them if its head is outdated as well: a head bounds the staleness of all replicas, an applied position only
that of its own replica.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping

from cresstray.replicas.positions import ShardPlacement

# Minimum interval between polls of one engine: at most 40 a second, in addition to the polls each half second
# for data transfers. A read waits 30 ms, which is long enough to receive the reply to the preceding poll.
_MIN_INTERVAL_US = 25_000
# Polls of all engines per second, and at once. A reply with 8 replicas takes a control-plane node 40 us, with
# 50 replicas 220 us: 2% or 11% of a core, whatever is requested. Each of 80 engines gets six a second
# (docs/replicas.md).
_MAX_POLLS_PER_S, _MAX_BURST = 500, 50
# A shard that no message has requested for this long is not polled; gateways repeat requests four times in
# this time.
_REQUEST_LIFETIME_US = 1_000_000
# Maximum age of positions if none was requested, and the smallest one for repeated polls: sufficient for a
# staleness of 0.3 s and above with replicas that apply writes each 50 ms.
_DEFAULT_MAX_AGE_US, _MIN_MAX_AGE_US = 500_000, 60_000
# An engine that has not replied within this time is polled half as often after each poll, finally each 8 s.
# Its connection is closed after three seconds.
_REPLY_TIMEOUT_US, _MAX_INTERVAL_US = 250_000, 8_000_000
# Interval of checks of engines while the limit over all engines is reached.
_CHECK_INTERVAL_US = 5_000
# Limits the shards requested since engines were last checked: 1,024 gateways may request any number.
_MAX_REQUESTED_SHARDS = 4096
# Minimum intervals of forwarding the same request to the leader, for a waiting read and otherwise.
_URGENT_FORWARD_INTERVAL_US, _FORWARD_INTERVAL_US = 20_000, 250_000


class _EngineState:
    """The polls of one engine.

    Attributes:
        polled_us: When the last poll was sent.
        is_unanswered: Whether that poll is unanswered.
        unanswered_count: Unanswered polls in a row.
        interval_us: The interval of polls.
        requested_until_us: When these polls end.
        has_waiting_read: Whether a read waits for its positions.
        has_head_request: Whether a read waits for its head.
        queued_us: When it is checked next; None: not queued.
    """

    __slots__ = (
        "polled_us",
        "is_unanswered",
        "unanswered_count",
        "interval_us",
        "requested_until_us",
        "has_waiting_read",
        "has_head_request",
        "queued_us",
    )

    def __init__(self) -> None:
        self.polled_us, self.is_unanswered = -_MAX_INTERVAL_US, False
        self.unanswered_count = 0
        self.interval_us, self.requested_until_us = _MAX_INTERVAL_US, 0
        self.has_waiting_read = self.has_head_request = False
        self.queued_us: int | None = None

    def due_us(self, now_us: int) -> int | None:
        """Returns when the engine is to be polled; None if no polls are requested."""
        if not self.has_waiting_read and now_us >= self.requested_until_us:
            return None
        due_us = self.polled_us + (
            _MIN_INTERVAL_US if self.has_waiting_read else max(_MIN_INTERVAL_US, self.interval_us)
        )
        if self.is_unanswered:
            # An engine that hangs must not use up the polls that other engines wait for.
            due_us = max(
                due_us, self.polled_us + min(_MAX_INTERVAL_US, _REPLY_TIMEOUT_US << self.unanswered_count)
            )
        return due_us


class PollSchedule:
    """Schedules polls of engines within the limits per engine and over all engines.

    Attributes:
        next_due_us: When to call `due_engines` again; None: once more is requested.
        poll_count: The number of polls so far.
    """

    def __init__(self) -> None:
        # Requests since the last check: by shard the maximum age, and whether a read waits.
        self._new_requests: dict[str, tuple[int, bool]] = {}
        self._engines: dict[str, _EngineState] = {}
        # When to check each engine; entries that differ from the engine's `queued_us` are outdated.
        self._queue: list[tuple[int, str]] = []
        # Requests forwarded to the leader: by shard and whether a read waits, the maximum age, and when.
        self._forwarded: dict[tuple[str, bool], tuple[int, int]] = {}
        self._tokens, self._refilled_us = float(_MAX_BURST), 0
        self.next_due_us: int | None = None
        self.poll_count = 0

    def request(self, shards: Iterable[str], now_us: int, max_age_us: int = _DEFAULT_MAX_AGE_US) -> None:
        """Requests positions no older than `max_age_us`; 0: a read waits for them now."""
        for shard in shards:
            earlier = self._new_requests.get(shard)
            if earlier is None and len(self._new_requests) >= _MAX_REQUESTED_SHARDS:
                continue
            interval_us, has_waiting_read = earlier or (_MAX_INTERVAL_US, False)
            self._new_requests[shard] = (
                min(interval_us, max_age_us or _MAX_INTERVAL_US),
                has_waiting_read or not max_age_us,
            )
            self.next_due_us = now_us

    def record_reply(self, engine: str, sent_us: int) -> None:
        """Records a reply to a poll sent at `sent_us` by any component; only one poll is open at a time."""
        state = self._engines.get(engine)
        if state is not None:
            state.polled_us, state.is_unanswered, state.unanswered_count = sent_us, False, 0
            self._schedule_check(engine, state, sent_us)
            self.next_due_us = (
                self._queue[0][0] if self.next_due_us is None else min(self._queue[0][0], self.next_due_us)
            )

    def due_engines(self, placement: Mapping[str, ShardPlacement], now_us: int) -> list[str]:
        """Returns the engines to poll now, the most urgent first; requests for other shards are dropped."""
        for shard, (max_age_us, has_waiting_read) in self._new_requests.items():
            if shard in placement:
                self._request_engines(
                    placement[shard], max(max_age_us, _MIN_MAX_AGE_US), has_waiting_read, now_us
                )
        self._new_requests.clear()
        self._tokens = min(
            _MAX_BURST, self._tokens + max(0, now_us - self._refilled_us) * _MAX_POLLS_PER_S / 1e6
        )
        self._refilled_us = now_us
        candidates = []
        # Engines are checked only once several polls are allowed. Otherwise, with many requests, each single
        # poll would cost a check of all engines.
        has_tokens = self._tokens >= _MAX_POLLS_PER_S * _CHECK_INTERVAL_US / 1e6
        while has_tokens and self._queue and self._queue[0][0] <= now_us:
            queued_us, name = heapq.heappop(self._queue)
            state = self._engines.get(name)
            if state is None or state.queued_us != queued_us:
                continue
            state.queued_us, due_us = None, state.due_us(now_us)
            if due_us is not None and due_us <= now_us:
                candidates.append((not state.has_waiting_read, not state.has_head_request, due_us, name))
            elif due_us is None and now_us >= state.polled_us + _MAX_INTERVAL_US:
                del self._engines[name]  # no longer requested, or no longer in the placement
            else:
                self._schedule_check(name, state, now_us)
        candidates.sort()
        polled = [name for *_, name in candidates[: int(self._tokens)]]
        for name in polled:
            state = self._engines[name]
            if state.is_unanswered:
                state.unanswered_count = min(state.unanswered_count + 1, 5)
            state.polled_us, state.is_unanswered, state.has_waiting_read, state.has_head_request = (
                now_us,
                True,
                False,
                False,
            )
            self._schedule_check(name, state, now_us)
        for *_, name in candidates[len(polled) :]:
            self._schedule_check(name, self._engines[name], now_us, now_us + _CHECK_INTERVAL_US)
        self._tokens -= len(polled)
        self.poll_count += len(polled)
        self.next_due_us = (
            max(self._queue[0][0], now_us + (0 if has_tokens and self._tokens >= 1 else _CHECK_INTERVAL_US))
            if self._queue
            else None
        )
        return polled

    def _schedule_check(self, name: str, state: _EngineState, now_us: int, earliest_us: int = 0) -> None:
        """Queues an engine for when it is due; one that is not requested is queued for its removal."""
        due_us = state.due_us(now_us)
        check_us = max(earliest_us, state.polled_us + _MAX_INTERVAL_US if due_us is None else due_us)
        if state.queued_us is None or check_us < state.queued_us:
            state.queued_us = check_us
            heapq.heappush(self._queue, (check_us, name))

    def _request_engines(
        self, shard: ShardPlacement, max_age_us: int, has_waiting_read: bool, now_us: int
    ) -> None:
        if shard.primary:
            state = self._engine(shard.primary)
            if max_age_us < _MAX_INTERVAL_US and (
                max_age_us <= state.interval_us or now_us >= state.requested_until_us
            ):
                state.interval_us, state.requested_until_us = max_age_us, now_us + _REQUEST_LIFETIME_US
            if has_waiting_read and now_us - state.polled_us > 2 * _MIN_MAX_AGE_US:
                state.has_waiting_read = state.has_head_request = True
            self._schedule_check(shard.primary, state, now_us)
        for engine in shard.reads if has_waiting_read else ():
            if engine != shard.primary:
                state = self._engine(engine)
                state.has_waiting_read = True
                self._schedule_check(engine, state, now_us)

    def _engine(self, name: str) -> _EngineState:
        state = self._engines.get(name)
        if state is None:
            state = self._engines[name] = _EngineState()
        return state

    def requests_to_forward(self, max_requests: int, now_us: int) -> list[tuple[str, int]]:
        """Returns the requests that a node which is not the leader forwards to the leader.

        Each is a shard and the maximum age of its positions in microseconds; 0: a read waits.
        """
        requests: list[tuple[str, int]] = []
        for shard, (max_age_us, has_waiting_read) in list(self._new_requests.items()):
            if len(requests) >= max_requests - 1:  # one shard may take two
                break
            del self._new_requests[shard]
            for requested_us, min_interval_us in (
                (0, _URGENT_FORWARD_INTERVAL_US),
                (max_age_us, _FORWARD_INTERVAL_US),
            ):
                if requested_us == _MAX_INTERVAL_US or requested_us == 0 and not has_waiting_read:
                    continue
                key = shard, requested_us == 0
                earlier = self._forwarded.get(key)
                if earlier is None or requested_us < earlier[0] or now_us - earlier[1] >= min_interval_us:
                    self._forwarded.pop(key, None)
                    self._forwarded[key] = (requested_us, now_us)
                    requests.append((shard, requested_us))
        while len(self._forwarded) > _MAX_REQUESTED_SHARDS:
            del self._forwarded[next(iter(self._forwarded))]
        self.next_due_us = now_us if self._new_requests else None
        return requests
