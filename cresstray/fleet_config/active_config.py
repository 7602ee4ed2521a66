"""A gateway's side: the lease it has asked for, the content it has heard, and what it may use now."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import NamedTuple
from zlib import crc32

import msgspec

from cresstray.fleet_config.codec import Behind, Content, Frame, FramingError, Get, Granted, Refused, Renew
from cresstray.fleet_config.documents import EMPTY, Documents, patched
from cresstray.fleet_config.leases import NOT_NAMED
from cresstray.fleet_config.state import Since
from cresstray.fleet_config.strictest import divisor

# A lease is renewed three times while it lasts: two answers may be lost.
_TIMES = 3
# When something was learnt, asked at once, though not more often than so many times in a lease.
# A change takes two turns, and each waits for what all gateways say at once: 20 ms of a lease of two seconds.
_AT_ONCE = 100
# Refused for now, as when no leader is known: asked again so many times as often, so that one that is elected
# hears of all within a fraction of a second, and turns go on.
_REFUSED = 3
# Asked and not answered: what comes back later than this is of no use, whatever the lease.
_ASKED = 64
_NEVER = 1 << 62
# Lines for the log that nobody has taken yet.
_TOLD = 64

_since = msgspec.msgpack.Decoder(Since).decode


class Mode(Enum):
    """LEASE: all that was agreed on. FLOOR: as last known, by the floor. STOP: relay nothing."""

    LEASE = "lease"
    FLOOR = "floor"
    STOP = "stop"


class InUse(NamedTuple):
    """Of one moment. `gateways`: by how many to divide, 0: relay nothing."""

    mode: Mode
    turn: int
    gateways: int
    documents: Documents


class Use:
    """`lease`, `floor_lease` in microseconds, `drift` a part; `most`: gateways that may ever run.

    `waits`: until it has heard of a list it relays nothing; else it acts by `most`. `life`: its incarnation.
    """

    def __init__(
        self,
        name: str,
        lease: int,
        floor_lease: int,
        drift: float,
        most: int,
        waits: bool = False,
        life: str = "",
    ) -> None:
        self.name, self.most, self.life = name, most, life
        self._every, self._at_once = lease // _TIMES, lease // _AT_ONCE
        self._lease = int(lease * (1 - drift))
        self._floor_lease = int(max(lease, floor_lease) * (1 - drift))
        self.turn, self.documents = 0, EMPTY
        self.heard = 0  # the highest turn that was heard of; above `turn`: its content is to come
        self._waits = waits
        self._out = 0  # the highest turn of which it was told that it is not named
        self.changes = 0  # grows whenever the answer of `at` may be another, beside by time
        self._until = self._floor_until = 0
        self.due = self._spread_to = 0
        self._number = 0
        self._asked: dict[int, tuple[int, int]] = {}  # number: when, and at which turn
        self._asked_at = -self._every  # when it last asked
        self._parts: list[Content] = []
        self._mode: Mode | None = None
        # The last answer of `at`: of which changes, and until when it holds.
        self._kept = (-1, 0, InUse(Mode.STOP, 0, 0, EMPTY))
        self._told: deque[str] = deque(maxlen=_TOLD)

    # Asking.

    def connected(self, now: int) -> None:
        """On a new connection: parts begin anew; a lease is asked for at a moment of its own."""
        self._parts.clear()
        # Danger: keepers are back, and all gateways ask in the same moment. Names spread them over a third.
        if now >= self._until:
            self._spread_to = now + crc32(self.name.encode()) % max(1, self._every)
            self.due = max(self.due, self._spread_to)
        else:
            self._soon(now)

    def asks(self, now: int) -> Renew | None:
        """A renewal, if due. Its lease counts from this `now`, so it must go out after, not before."""
        if now < self.due:
            return None
        self._number += 1
        self._asked[self._number] = (now, self.turn)
        # Danger: answers that never come would be waited for, and kept, without end.
        while len(self._asked) > _ASKED:
            del self._asked[next(iter(self._asked))]
        self._asked_at, self.due = now, now + self._every
        return Renew(self._number, self.turn, self.life, self._mode_at(now) is Mode.STOP)

    def gets(self) -> Get:
        """What to ask a keeper for: all since our turn."""
        return Get(self.turn)

    @property
    def behind(self) -> bool:
        """A higher turn was heard of than its content."""
        return self.heard > self.turn

    def _soon(self, now: int) -> None:
        # At once; a little later if it has only just asked.
        self.due = min(self.due, max(now, self._asked_at + self._at_once, self._spread_to))

    # Hearing.

    def take(self, frame: Frame, now: int) -> None:
        """BrokenError for what can't come here, or not now."""
        if isinstance(frame, Content):
            self._take_content(frame, now)
            return
        if not isinstance(frame, (Granted, Behind, Refused)):
            raise FramingError(f"a {type(frame).__name__} for a gateway")
        asked = self._asked.pop(frame.number, None)
        # Danger: an answer to what this process didn't ask, or asked too long ago to know when.
        if asked is None:
            return
        self.heard = max(self.heard, frame.turn)
        if isinstance(frame, Granted):
            self._granted(frame, *asked)
        elif isinstance(frame, Refused) and frame.reason == NOT_NAMED and frame.turn >= self.turn:
            # That it has stopped is said at once, and then with each renewal.
            if self._out <= self.turn:
                self._told.append(f"stopped: not named by the list of turn {frame.turn}")
                self._soon(now)
            self._out, self._until, self._floor_until = max(self._out, frame.turn), 0, 0
            self.changes += 1
        elif isinstance(frame, Refused):
            self.due = min(self.due, self._asked_at + self._every // _REFUSED)
        elif isinstance(frame, Behind) and frame.turn < self.turn:
            # The leader is still on its way to our turn.
            self._soon(now)

    def _granted(self, frame: Granted, asked_at: int, turn: int) -> None:
        # Danger: a lease at a turn that was not ours then says nothing about what we act at.
        if frame.turn != turn or not turn or self._out > self.turn:
            return
        self.changes += 1
        # Danger: counted from the answer's arrival, it would last longer than the leader waits.
        self._until = max(self._until, asked_at + self._lease)
        self._floor_until = max(self._floor_until, asked_at + self._floor_lease)

    def _take_content(self, frame: Content, now: int) -> None:
        self.heard = max(self.heard, frame.turn)
        if frame.turn <= self.turn:
            self._parts.clear()
            return
        if frame.part == 0:
            self._parts.clear()
        first = self._parts[0] if self._parts else frame
        if (
            frame.part != len(self._parts)
            or frame.part >= frame.parts
            or (first.base, first.turn, first.parts) != (frame.base, frame.turn, frame.parts)
        ):
            self._parts.clear()
            raise FramingError(f"part {frame.part} of {frame.parts} of turn {frame.turn} is out of order")
        self._parts.append(frame)
        if len(self._parts) < frame.parts:
            return
        body = b"".join(part.body for part in self._parts)
        self._parts.clear()
        self._move(frame, body, now)

    def _move(self, frame: Content, body: bytes, now: int) -> None:
        # What leads on from another turn than ours is of no use; `behind` has the rest asked for.
        if frame.base and frame.base != self.turn:
            return
        try:
            since = _since(body)
            if (since.base, since.turn) != (frame.base, frame.turn):
                raise ValueError("its head says another turn")
            documents = self.documents if since.base else EMPTY
            for delta in since.deltas:
                documents = patched(documents, delta)
        except (ValueError, UnicodeDecodeError, RecursionError) as trouble:
            raise FramingError(f"content of turn {frame.turn}: {trouble}") from None
        self.turn, self.documents = frame.turn, documents
        self.changes += 1
        if not self._named():
            self._until = self._floor_until = 0
        self._soon(now)

    def _named(self) -> bool:
        return self.name in self.documents.gateways.items

    def goes_on(self) -> None:
        """No keeper could be reached for so long that service counts for more: it waits for no list."""
        self._waits = False
        self.changes += 1

    # Acting.

    def _mode_at(self, now: int) -> Mode:
        if self._out > self.turn or (not self._named() if self.turn else self._waits):
            return Mode.STOP
        return Mode.LEASE if now < self._until else Mode.FLOOR

    def at(self, now: int) -> InUse:
        """What holds at this moment. Ask it when acting, each time: a lease ends without a word."""
        # The same answer until something was heard, or its time is over: asked several times a submission.
        changes, ends, kept = self._kept
        if changes == self.changes and now < ends:
            return kept
        mode = self._mode_at(now)
        if mode is not self._mode:
            if self._mode is not None or mode is not Mode.FLOOR:
                before = self._mode.value if self._mode else "nothing"
                self._told.append(f"{before} > {mode.value} at turn {self.turn}")
            self._mode = mode
        made = InUse(mode, self.turn, self._gateways(mode, now), self.documents)
        if mode is Mode.LEASE:
            ends = self._until
        else:
            ends = self._floor_until if mode is Mode.FLOOR and now < self._floor_until else _NEVER
        self._kept = self.changes, ends, made
        return made

    def _gateways(self, mode: Mode, now: int) -> int:
        if mode is Mode.STOP:
            return 0
        given = self.documents.gateways
        if mode is Mode.LEASE:
            return max(1, divisor(given))
        # Danger: after the floor's lease, others may have agreed on a higher one. The file's most holds.
        floor = given.floor if now < self._floor_until else 0
        return max(floor or self.most, divisor(given)) if self.turn else self.most

    def lease_left(self, now: int) -> int:
        """Microseconds; 0: none."""
        return max(0, self._until - now)

    def told(self) -> list[str]:
        """Lines for the log since it was last asked."""
        lines = list(self._told)
        self._told.clear()
        return lines
