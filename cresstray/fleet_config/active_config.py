"""The gateway's side: its lease renewals, the documents it has received, and the configuration in effect."""

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

# Renewals per lease duration: with three, two replies in a row may be lost.
_RENEWALS_PER_LEASE = 3
# Bounds the renewals that are sent early because the gateway has new information. A change takes two turns,
# and each turn waits for the renewals of all gateways; with a lease of 2 s they may be 20 ms apart.
_MAX_RENEWALS_PER_LEASE = 100
# Factor of the renewal rate after a temporary refusal, such as while no leader is known: a new leader then
# hears from all gateways within a fraction of a second, and turns go on.
_REFUSED_RATE_FACTOR = 3
# Pending renewals that are kept; a reply to an older renewal is of no use, whatever the length of the lease.
_MAX_PENDING_RENEWALS = 64
_NEVER_US = 1 << 62
# Log lines that are kept until `take_log_lines` is called.
_MAX_LOG_LINES = 64

_decode_updates = msgspec.msgpack.Decoder(ConfigUpdates).decode


class Mode(Enum):
    """What a gateway acts on.

    LEASE: the committed configuration. FALLBACK: without a lease, the configuration that was last known, with
    `count_without_lease` as the divisor. STOPPED: nothing is sent.
    """

    LEASE = "lease"
    FALLBACK = "floor"
    STOPPED = "stop"


class EffectiveConfig(NamedTuple):
    """The configuration in effect at one moment.

    `gateway_count` is the number by which the engines' capacity is divided; 0 means that nothing may be sent.
    """

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
        self._renewal_interval_us = lease_us // _RENEWALS_PER_LEASE
        self._min_renewal_interval_us = lease_us // _MAX_RENEWALS_PER_LEASE
        self._lease_us = int(lease_us * (1 - drift))
        self._fallback_lease_us = int(max(lease_us, fallback_lease_us) * (1 - drift))
        self.turn = 0
        self.documents = EMPTY
        self.highest_turn_heard = 0  # above `turn` until the documents of that turn arrive
        self._requires_list = requires_list
        self._excluded_at_turn = 0  # highest turn reported to exclude this gateway
        self.revision = 0  # grows when `effective_at` may change, other than by time
        self._lease_until_us = 0
        self._fallback_until_us = 0
        self.due_us = 0  # when the next renewal is due
        self._not_before_us = 0  # no renewal before this time, to spread the gateways
        self._renewal_number = 0
        self._pending_renewals: dict[int, tuple[int, int]] = {}  # send time and turn by number
        self._last_renewal_us = -self._renewal_interval_us
        self._parts: list[ConfigPart] = []
        self._mode: Mode | None = None
        # The last result of `effective_at`: its revision, until when it holds, and the result.
        self._cached = (-1, 0, EffectiveConfig(Mode.STOPPED, 0, 0, EMPTY))
        self._log_lines: deque[str] = deque(maxlen=_MAX_LOG_LINES)

    # Renewals and requests to a node.

    def on_connected(self, now_us: int) -> None:
        """Starts over on a new connection: drops incomplete parts and schedules a renewal."""
        self._parts.clear()
        # When the nodes come back after an outage, all gateways would renew at the same moment: a hash of the
        # name spreads their renewals over one interval, a third of a lease.
        if now_us >= self._lease_until_us:
            self._not_before_us = now_us + crc32(self.name.encode()) % max(1, self._renewal_interval_us)
            self.due_us = max(self.due_us, self._not_before_us)
        else:
            self._renew_soon(now_us)

    def renewal_due(self, now_us: int) -> RenewLease | None:
        """Returns a renewal if one is due.

        Its lease runs from `now_us`, so the renewal must not be sent before that time.
        """
        if now_us < self.due_us:
            return None
        self._renewal_number += 1
        self._pending_renewals[self._renewal_number] = (now_us, self.turn)
        # Bounds the renewals whose replies never arrive.
        while len(self._pending_renewals) > _MAX_PENDING_RENEWALS:
            del self._pending_renewals[next(iter(self._pending_renewals))]
        self._last_renewal_us, self.due_us = now_us, now_us + self._renewal_interval_us
        return RenewLease(
            self._renewal_number, self.turn, self.incarnation, self._mode_at(now_us) is Mode.STOPPED
        )

    def config_request(self) -> GetConfig:
        """Returns the request for all changes since the turn of this gateway."""
        return GetConfig(self.turn)

    @property
    def is_behind(self) -> bool:
        """Whether a turn is known whose documents have not arrived yet."""
        return self.highest_turn_heard > self.turn

    def _renew_soon(self, now_us: int) -> None:
        # At once, or a minimum interval after the last renewal.
        self.due_us = min(
            self.due_us,
            max(now_us, self._last_renewal_us + self._min_renewal_interval_us, self._not_before_us),
        )

    # Frames from a node.

    def receive(self, frame: Frame, now_us: int) -> None:
        """Handles a frame from a node; raises FramingError for a malformed or unexpected one."""
        if isinstance(frame, ConfigPart):
            self._on_config_part(frame, now_us)
            return
        if not isinstance(frame, (LeaseGranted, LeaseBehind, LeaseRefused)):
            raise FramingError(f"a {type(frame).__name__} for a gateway")
        renewal = self._pending_renewals.pop(frame.number, None)
        # The renewal was not sent by this process, or too long ago for its send time to be known.
        if renewal is None:
            return
        self.highest_turn_heard = max(self.highest_turn_heard, frame.turn)
        if isinstance(frame, LeaseGranted):
            self._on_lease_granted(frame, *renewal)
        elif isinstance(frame, LeaseRefused) and frame.reason == NOT_NAMED and frame.turn >= self.turn:
            # Reports at once that the gateway has stopped, and then with each renewal.
            if self._excluded_at_turn <= self.turn:
                self._log_lines.append(f"stopped: not named by the list of turn {frame.turn}")
                self._renew_soon(now_us)
            self._excluded_at_turn, self._lease_until_us, self._fallback_until_us = (
                max(self._excluded_at_turn, frame.turn),
                0,
                0,
            )
            self.revision += 1
        elif isinstance(frame, LeaseRefused):
            self.due_us = min(
                self.due_us, self._last_renewal_us + self._renewal_interval_us // _REFUSED_RATE_FACTOR
            )
        elif isinstance(frame, LeaseBehind) and frame.turn < self.turn:
            # The leader has not reached this gateway's turn yet.
            self._renew_soon(now_us)

    def _on_lease_granted(self, frame: LeaseGranted, renewed_us: int, turn: int) -> None:
        # A grant for another turn than that of the renewal doesn't cover this gateway's documents.
        if frame.turn != turn or not turn or self._excluded_at_turn > self.turn:
            return
        self.revision += 1
        # Counted from the arrival of the reply, the lease would outlast the time that the leader waits.
        self._lease_until_us = max(self._lease_until_us, renewed_us + self._lease_us)
        self._fallback_until_us = max(self._fallback_until_us, renewed_us + self._fallback_lease_us)

    def _on_config_part(self, frame: ConfigPart, now_us: int) -> None:
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
        self._apply_updates(frame, body, now_us)

    def _apply_updates(self, frame: ConfigPart, body: bytes, now_us: int) -> None:
        # Deltas from another turn can't be applied; `is_behind` stays true, so the rest is requested.
        if frame.base and frame.base != self.turn:
            return
        try:
            updates = _decode_updates(body)
            if (updates.base, updates.turn) != (frame.base, frame.turn):
                raise ValueError("its turns differ from those of the frame")
            documents = self.documents if updates.base else EMPTY
            for delta in updates.deltas:
                documents = apply_delta(documents, delta)
        except (ValueError, UnicodeDecodeError, RecursionError) as error:
            raise FramingError(f"content of turn {frame.turn}: {error}") from None
        self.turn, self.documents = frame.turn, documents
        self.revision += 1
        if not self._is_named():
            self._lease_until_us = self._fallback_until_us = 0
        self._renew_soon(now_us)

    def _is_named(self) -> bool:
        return self.name in self.documents.gateways.items

    def stop_waiting_for_list(self) -> None:
        """Lets the gateway send without a gateway list, after no node could be reached for too long."""
        self._requires_list = False
        self.revision += 1

    # The configuration in effect.

    def _mode_at(self, now_us: int) -> Mode:
        if self._excluded_at_turn > self.turn or (not self._is_named() if self.turn else self._requires_list):
            return Mode.STOPPED
        return Mode.LEASE if now_us < self._lease_until_us else Mode.FALLBACK

    def effective_at(self, now_us: int) -> EffectiveConfig:
        """Returns the configuration in effect at this time.

        Callers must ask for each decision: a lease expires without any event.
        """
        # Cached until something is received or the result expires: this is called several times per request.
        revision, expires_us, cached = self._cached
        if revision == self.revision and now_us < expires_us:
            return cached
        mode = self._mode_at(now_us)
        if mode is not self._mode:
            self._log_mode(mode)
        effective = EffectiveConfig(mode, self.turn, self._divisor(mode, now_us), self.documents)
        if mode is Mode.LEASE:
            expires_us = self._lease_until_us
        else:
            expires_us = (
                self._fallback_until_us
                if mode is Mode.FALLBACK and now_us < self._fallback_until_us
                else _NEVER_US
            )
        self._cached = self.revision, expires_us, effective
        return effective

    def _log_mode(self, mode: Mode) -> None:
        if self._mode is not None or mode is not Mode.FALLBACK:
            previous = self._mode.value if self._mode else "nothing"
            self._log_lines.append(f"{previous} > {mode.value} at turn {self.turn}")
        self._mode = mode

    def _divisor(self, mode: Mode, now_us: int) -> int:
        if mode is Mode.STOPPED:
            return 0
        gateways = self.documents.gateways
        if mode is Mode.LEASE:
            return max(1, gateway_divisor(gateways))
        # Later than that, the others may have committed a higher count, so `max_gateways` applies.
        fallback_count = gateways.count_without_lease if now_us < self._fallback_until_us else 0
        return (
            max(fallback_count or self.max_gateways, gateway_divisor(gateways))
            if self.turn
            else self.max_gateways
        )

    def lease_left_us(self, now_us: int) -> int:
        """Returns the remaining time of the lease; 0 if there is none."""
        return max(0, self._lease_until_us - now_us)

    def take_log_lines(self) -> list[str]:
        """Returns and clears the log lines collected since the last call."""
        lines = list(self._log_lines)
        self._log_lines.clear()
        return lines
