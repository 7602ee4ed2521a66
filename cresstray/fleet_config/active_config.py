"""A gateway's side: the lease it has asked for, the content it has heard, and what it may use now."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import NamedTuple
from zlib import crc32

import msgspec

from cresstray.fleet_config.codec import (
    ConfigPart,
    Frame,
    FramingError,
    GetConfig,
    LeaseBehind,
    LeaseGranted,
    LeaseRefused,
    RenewLease,
)
from cresstray.fleet_config.documents import EMPTY, Documents, apply_delta
from cresstray.fleet_config.leases import NOT_NAMED
from cresstray.fleet_config.state import ConfigUpdates
from cresstray.fleet_config.strictest import gateway_divisor

# A lease is renewed three times while it lasts: two answers may be lost.
_RENEWALS_PER_LEASE = 3
# When something was learnt, a renewal goes out at once, though not more often than so many times in a lease.
# A change takes two turns, and each waits for what all gateways say at once: 20 ms of a lease of two seconds.
_MAX_RENEWALS_PER_LEASE = 100
# Refused for now, as when no leader is known: asked again so many times as often, so that one that is elected
# hears of all within a fraction of a second, and turns go on.
_REFUSED_SPEEDUP = 3
# Renewals without an answer: what comes back later than this is of no use, whatever the lease.
_MAX_UNANSWERED = 64
_NEVER_US = 1 << 62
# Lines for the log that nobody has taken yet.
_MAX_LOG_LINES = 64

_decode_updates = msgspec.msgpack.Decoder(ConfigUpdates).decode


class Mode(Enum):
    """What a gateway acts by.

    LEASE: all that was agreed on. FLOOR: what was last known, with the count without a lease. STOPPED:
    nothing is sent.
    """

    LEASE = "lease"
    FALLBACK = "floor"
    STOPPED = "stop"


class EffectiveConfig(NamedTuple):
    """What holds at one moment. `gateway_count`: by how many to divide; 0: nothing may be sent."""

    mode: Mode
    turn: int
    gateway_count: int
    documents: Documents


class ActiveConfig:
    """The configuration in use at one gateway, and the state of its lease.

    Args:
        name: This gateway's name in the gateway list.
        lease_us: Length of a lease.
        fallback_lease_us: How long after a renewal `count_without_lease` may be used, at least a lease.
        drift: Largest rate error of a clock, as a fraction.
        max_gateways: The number of gateways that may ever run at once; the divisor while no list is known.
        requires_list: Whether the gateway sends nothing until it has received a gateway list. Otherwise it
            divides the shares by `max_gateways` until then.
        incarnation: Identifies this process; two processes with the same gateway name differ in it.
    """

    def __init__(
        self,
        name: str,
        lease_us: int,
        fallback_lease_us: int,
        drift: float,
        max_gateways: int,
        requires_list: bool = False,
        incarnation: str = "",
    ) -> None:
        self.name = name
        self.max_gateways = max_gateways
        self.incarnation = incarnation
        self._every = lease_us // _RENEWALS_PER_LEASE
        self._at_once = lease_us // _MAX_RENEWALS_PER_LEASE
        self._lease_us = int(lease_us * (1 - drift))
        self._fallback_lease_us = int(max(lease_us, fallback_lease_us) * (1 - drift))
        self.turn = 0
        self.documents = EMPTY
        self.highest_turn_heard = 0  # above `turn`: its content is to come
        self._requires_list = requires_list
        self._out = 0  # the highest turn of which it was told that it is not named
        self.revision = 0  # grows whenever the answer of `effective_at` may be another, beside by time
        self._lease_until_us = 0
        self._fallback_until_us = 0
        self.due_us = 0
        self._spread_to = 0
        self._number = 0
        self._pending_renewals: dict[int, tuple[int, int]] = {}  # number: when, and at which turn
        self._asked_at = -self._every  # when it last asked
        self._parts: list[ConfigPart] = []
        self._mode: Mode | None = None
        # The last answer of `effective_at`: of which revision, and until when it holds.
        self._cached = (-1, 0, EffectiveConfig(Mode.STOPPED, 0, 0, EMPTY))
        self._log_lines: deque[str] = deque(maxlen=_MAX_LOG_LINES)

    # Asking.

    def on_connected(self, now: int) -> None:
        """On a new connection: parts begin anew; a lease is asked for at a moment of its own."""
        self._parts.clear()
        # Where nodes are back, all gateways would ask in the same moment: names spread them over a third.
        if now >= self._lease_until_us:
            self._spread_to = now + crc32(self.name.encode()) % max(1, self._every)
            self.due_us = max(self.due_us, self._spread_to)
        else:
            self._soon(now)

    def renewal_due(self, now: int) -> RenewLease | None:
        """A renewal, if due. Its lease counts from this `now`, so it must go out after, not before."""
        if now < self.due_us:
            return None
        self._number += 1
        self._pending_renewals[self._number] = (now, self.turn)
        # Answers that never come must not be waited for without end.
        while len(self._pending_renewals) > _MAX_UNANSWERED:
            del self._pending_renewals[next(iter(self._pending_renewals))]
        self._asked_at, self.due_us = now, now + self._every
        return RenewLease(self._number, self.turn, self.incarnation, self._mode_at(now) is Mode.STOPPED)

    def config_request(self) -> GetConfig:
        """What to ask a node for: all since this turn."""
        return GetConfig(self.turn)

    @property
    def is_behind(self) -> bool:
        """Whether a turn was heard of whose content has not come yet."""
        return self.highest_turn_heard > self.turn

    def _soon(self, now: int) -> None:
        # At once; a little later if it has only just asked.
        self.due_us = min(self.due_us, max(now, self._asked_at + self._at_once, self._spread_to))

    # Hearing.

    def receive(self, frame: Frame, now: int) -> None:
        """BrokenError for what can't come here, or not now."""
        if isinstance(frame, ConfigPart):
            self._take_content(frame, now)
            return
        if not isinstance(frame, (LeaseGranted, LeaseBehind, LeaseRefused)):
            raise FramingError(f"a {type(frame).__name__} for a gateway")
        asked = self._pending_renewals.pop(frame.number, None)
        # An answer to what this process didn't ask, or asked too long ago to know when.
        if asked is None:
            return
        self.highest_turn_heard = max(self.highest_turn_heard, frame.turn)
        if isinstance(frame, LeaseGranted):
            self._granted(frame, *asked)
        elif isinstance(frame, LeaseRefused) and frame.reason == NOT_NAMED and frame.turn >= self.turn:
            # That it has stopped is said at once, and then with each renewal.
            if self._out <= self.turn:
                self._log_lines.append(f"stopped: not named by the list of turn {frame.turn}")
                self._soon(now)
            self._out, self._lease_until_us, self._fallback_until_us = max(self._out, frame.turn), 0, 0
            self.revision += 1
        elif isinstance(frame, LeaseRefused):
            self.due_us = min(self.due_us, self._asked_at + self._every // _REFUSED_SPEEDUP)
        elif isinstance(frame, LeaseBehind) and frame.turn < self.turn:
            # The leader is still on its way to our turn.
            self._soon(now)

    def _granted(self, frame: LeaseGranted, asked_at: int, turn: int) -> None:
        # A lease at a turn that was not this one then says nothing about what is acted at.
        if frame.turn != turn or not turn or self._out > self.turn:
            return
        self.revision += 1
        # Counted from the answer's arrival, it would last longer than the leader waits.
        self._lease_until_us = max(self._lease_until_us, asked_at + self._lease_us)
        self._fallback_until_us = max(self._fallback_until_us, asked_at + self._fallback_lease_us)

    def _take_content(self, frame: ConfigPart, now: int) -> None:
        self.highest_turn_heard = max(self.highest_turn_heard, frame.turn)
        if frame.turn <= self.turn:
            self._parts.clear()
            return
        if frame.part == 0:
            self._parts.clear()
        first = self._parts[0] if self._parts else frame
        if (
            frame.part != len(self._parts)
            or frame.part >= frame.part_count
            or (first.base, first.turn, first.part_count) != (frame.base, frame.turn, frame.part_count)
        ):
            self._parts.clear()
            raise FramingError(
                f"part {frame.part} of {frame.part_count} of turn {frame.turn} is out of order"
            )
        self._parts.append(frame)
        if len(self._parts) < frame.part_count:
            return
        body = b"".join(part.body for part in self._parts)
        self._parts.clear()
        self._move(frame, body, now)

    def _move(self, frame: ConfigPart, body: bytes, now: int) -> None:
        # What leads on from another turn than ours is of no use; `behind` has the rest asked for.
        if frame.base and frame.base != self.turn:
            return
        try:
            updates = _decode_updates(body)
            if (updates.base, updates.turn) != (frame.base, frame.turn):
                raise ValueError("its head says another turn")
            documents = self.documents if updates.base else EMPTY
            for delta in updates.deltas:
                documents = apply_delta(documents, delta)
        except (ValueError, UnicodeDecodeError, RecursionError) as trouble:
            raise FramingError(f"content of turn {frame.turn}: {trouble}") from None
        self.turn, self.documents = frame.turn, documents
        self.revision += 1
        if not self._named():
            self._lease_until_us = self._fallback_until_us = 0
        self._soon(now)

    def _named(self) -> bool:
        return self.name in self.documents.gateways.items

    def stop_waiting_for_list(self) -> None:
        """No node could be reached for so long that service counts for more: it goes on without a list."""
        self._requires_list = False
        self.revision += 1

    # Acting.

    def _mode_at(self, now: int) -> Mode:
        if self._out > self.turn or (not self._named() if self.turn else self._requires_list):
            return Mode.STOPPED
        return Mode.LEASE if now < self._lease_until_us else Mode.FALLBACK

    def effective_at(self, now: int) -> EffectiveConfig:
        """What holds at this moment. Ask it when acting, each time: a lease ends without a word."""
        # The same answer until something was heard, or its time is over: asked several times a request.
        revision, ends, cached = self._cached
        if revision == self.revision and now < ends:
            return cached
        mode = self._mode_at(now)
        if mode is not self._mode:
            self._log_mode(mode)
        made = EffectiveConfig(mode, self.turn, self._divisor(mode, now), self.documents)
        if mode is Mode.LEASE:
            ends = self._lease_until_us
        else:
            ends = (
                self._fallback_until_us
                if mode is Mode.FALLBACK and now < self._fallback_until_us
                else _NEVER_US
            )
        self._cached = self.revision, ends, made
        return made

    def _log_mode(self, mode: Mode) -> None:
        if self._mode is not None or mode is not Mode.FALLBACK:
            before = self._mode.value if self._mode else "nothing"
            self._log_lines.append(f"{before} > {mode.value} at turn {self.turn}")
        self._mode = mode

    def _divisor(self, mode: Mode, now: int) -> int:
        if mode is Mode.STOPPED:
            return 0
        given = self.documents.gateways
        if mode is Mode.LEASE:
            return max(1, gateway_divisor(given))
        # After that time others may have agreed on a higher count: the file's most holds.
        floor = given.count_without_lease if now < self._fallback_until_us else 0
        return max(floor or self.max_gateways, gateway_divisor(given)) if self.turn else self.max_gateways

    def lease_left_us(self, now: int) -> int:
        """Microseconds; 0: none."""
        return max(0, self._lease_until_us - now)

    def take_log_lines(self) -> list[str]:
        """Lines for the log since it was last asked."""
        lines = list(self._log_lines)
        self._log_lines.clear()
        return lines
