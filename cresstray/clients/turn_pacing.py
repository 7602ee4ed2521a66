"""Shares the time of the event loop among connections of clients, so that none waits for all the others."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from itertools import count

# What turns of connections that send little may take together in one iteration before the rest must wait.
_MAX_SMALL_TURNS_US = 5_000
# Small turns that are further apart are of different iterations.
_SMALL_TURN_GAP_US = 1_000


class TurnShare:
    """What one connection has had of the turns.

    Attributes:
        start_us: where its latest turn began in the virtual time of `FairTurns`.
        charged_us: what that turn was charged. The next one begins so much later at the earliest.
        is_new: whether it has had no turn yet.
        is_granted: whether it has waited for the turn that is under way.
        waiting: done once the turn for which it waits is granted.
    """

    __slots__ = ("start_us", "charged_us", "is_new", "is_granted", "waiting")

    def __init__(self, start_us: int = 0) -> None:
        self.start_us = start_us
        self.charged_us = 0
        self.is_new = True
        self.is_granted = False
        self.waiting: asyncio.Future[None] | None = None

    def begin(self, start_us: int) -> None:
        """Begins a turn at this virtual time."""
        self.start_us = start_us
        self.charged_us = 0
        self.is_new = False


class FairTurns:
    """Decides whose turn it is to be read from, by start-time fair queueing.

    However many connections send much, each iteration of the event loop has one of their turns at most, and
    some milliseconds of turns of connections that send little; all others wait. The next turn is that of the
    connection that has been charged least; among equals, of that whose latest turn was charged least, then of
    that which has waited longest. So one that is charged nothing waits for the turn that is under way, and
    not for a turn of each of the others. Virtual time is in microseconds of charged turns; a connection that
    rests gathers no claim.

    Connections that have had no turn yet wait apart, those that send little before those that send much, and
    get every second turn: nobody can keep the others waiting by connecting again and again.

    Args:
        now_us: returns the time in microseconds.

    Attributes:
        longest_wait_us: for how long a connection has waited for its turn at most.
        longest_turn_us: how long a turn has taken at most.
    """

    def __init__(self, now_us: Callable[[], int]) -> None:
        self._now_us = now_us
        # The keys are virtual start, latest charge and arrival.
        self._waiting: list[tuple[int, int, int, asyncio.Future[None]]] = []
        # Of connections that have had no turn yet; the keys are whether it sends much, and arrival.
        self._waiting_new: list[tuple[bool, int, asyncio.Future[None]]] = []
        self._is_turn_of_new = True  # whether the next turn is that of a new connection, if one waits
        self._arrivals = count()
        self._virtual_us = 0
        self._latest_finish_us = 0
        self._is_grant_scheduled = False
        self._has_had_large_turn = False  # whether this iteration has had one
        self._small_turns_us = 0  # taken by small turns that followed each other closely
        self._small_turn_end_us = 0
        self._is_next_iteration_scheduled = False
        self.longest_wait_us = 0
        self.longest_turn_us = 0

    @property
    def must_large_wait(self) -> bool:
        """Whether a connection that sends much must wait for its turn."""
        return self._has_had_large_turn or self._has_waiting()

    @property
    def must_all_wait(self) -> bool:
        """Whether a connection must wait for its turn, however little it sends."""
        return self._small_turns_us > _MAX_SMALL_TURNS_US

    def new_share(self) -> TurnShare:
        """Returns the share of a connection that is new."""
        return TurnShare(self._virtual_us)

    async def wait(self, share: TurnShare, is_large: bool) -> None:
        """Waits for the caller's turn, which lasts until it waits for anything else.

        Also returns after `stop_waiting`.

        Args:
            share: that of the connection.
            is_large: whether the connection sends much.
        """
        began_us = self._now_us()
        start_us = self._next_start_us(share)
        loop = asyncio.get_running_loop()
        granted = share.waiting = loop.create_future()
        if share.is_new:
            heapq.heappush(self._waiting_new, (is_large, next(self._arrivals), granted))
        else:
            heapq.heappush(self._waiting, (start_us, share.charged_us, next(self._arrivals), granted))
        self._schedule_grant(loop)
        try:
            await granted
        finally:
            share.waiting = None
        share.begin(start_us)
        share.is_granted = True
        self.longest_wait_us = max(self.longest_wait_us, self._now_us() - began_us)

    def stop_waiting(self, share: TurnShare) -> None:
        """Lets a connection that was closed wait no longer, as it would hold its memory until its turn."""
        if share.waiting is not None and not share.waiting.done():
            share.waiting.set_result(None)

    def on_turn(self, share: TurnShare, began_us: int, charged_part: float, is_large: bool) -> None:
        """Records a turn, which ends now.

        Args:
            share: that of the connection.
            began_us: when the turn began.
            charged_part: the part of its time that counts against the connection, from 0 to 1.
            is_large: whether the connection sends much.
        """
        now_us = self._now_us()
        turn_us = now_us - began_us
        if turn_us > self.longest_turn_us:
            self.longest_turn_us = turn_us
        was_granted = share.is_granted
        if not (is_large or was_granted or charged_part):
            self._add_small_turn(began_us, now_us)
            share.is_new = False
            return
        if not was_granted:
            share.begin(self._next_start_us(share))
        share.is_granted = False
        share.charged_us += int(turn_us * charged_part)
        finish_us = share.start_us + share.charged_us
        if finish_us > self._latest_finish_us:
            self._latest_finish_us = finish_us
        if is_large:
            self._has_had_large_turn = True
            self._schedule_next_iteration()
        elif not was_granted:
            self._add_small_turn(began_us, now_us)

    def _add_small_turn(self, began_us: int, ended_us: int) -> None:
        if began_us - self._small_turn_end_us > _SMALL_TURN_GAP_US:
            self._small_turns_us = 0
        self._small_turns_us += ended_us - began_us
        self._small_turn_end_us = ended_us
        if self._small_turns_us > _MAX_SMALL_TURNS_US:
            self._schedule_next_iteration()

    def _next_start_us(self, share: TurnShare) -> int:
        if not self._has_waiting():
            self._virtual_us = max(self._virtual_us, self._latest_finish_us)
        return max(self._virtual_us, share.start_us + share.charged_us)

    def _schedule_next_iteration(self) -> None:
        if not self._is_next_iteration_scheduled:
            self._is_next_iteration_scheduled = True
            asyncio.get_running_loop().call_soon(self._on_next_iteration)

    def _on_next_iteration(self) -> None:
        self._is_next_iteration_scheduled = False
        self._has_had_large_turn = False
        self._small_turns_us = 0

    def _schedule_grant(self, loop: asyncio.AbstractEventLoop) -> None:
        if not self._is_grant_scheduled:
            self._is_grant_scheduled = True
            loop.call_soon(self._grant)

    def _grant(self) -> None:
        """Wakes the connection whose turn is next; its turn is in the next iteration."""
        self._is_grant_scheduled = False
        granted = self._pop_next()
        if granted is not None:
            granted.set_result(None)
        if self._has_waiting():
            self._schedule_grant(asyncio.get_running_loop())

    def _has_waiting(self) -> bool:
        return bool(self._waiting or self._waiting_new)

    def _pop_next(self) -> asyncio.Future[None] | None:
        """Removes and returns the wait whose turn is next; None if all have stopped waiting."""
        while self._has_waiting():
            is_new = bool(self._waiting_new) and (self._is_turn_of_new or not self._waiting)
            if is_new:
                granted = heapq.heappop(self._waiting_new)[-1]
                start_us = self._virtual_us
            else:
                start_us, _, _, granted = heapq.heappop(self._waiting)
            if not granted.done():  # otherwise its connection has stopped waiting
                self._virtual_us = max(self._virtual_us, start_us)
                self._is_turn_of_new = not is_new
                return granted
        return None
