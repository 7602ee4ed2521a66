"""What a gateway of a fleet has beside: its follower of the keepers, the module's hook, pinned reads.

Loaded only where the operator's file names keepers and this gateway as a member.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
from anyio.abc import TaskGroup

from cresstray.clock import Clock, Timers
from cresstray.conf.fleet import Fleet as Given
from cresstray.counters import Counters
from cresstray.frames import BrokenError
from cresstray.interface import Engine, Submission
from cresstray.log import Log
from cresstray.logic import Gateway
from cresstray.passage.pinned import Directory, Pinned
from cresstray.passage.relay import Back
from cresstray.passage.route import Route
from cresstray.passage.take_in import TakeIn
from cresstray.replicas.positions import Board
from cresstray.replicas.read import Reads
from cresstray.replicas.spread import Peer, Word
from cresstray.rules.admission import Admission
from cresstray.rules.follower import Follower
from cresstray.rules.use import Use

# Shards in a word to a keeper, once a second: some kilobyte, as docs/replicas.md has measured.
_MOST_SHARDS = 16

_word = msgspec.msgpack.Decoder(Word).decode
_encode = msgspec.msgpack.Encoder().encode


class Agreed:
    """interface.Rules at the moment of acting, by this process's clock and not by when an event was read."""

    def __init__(self, admission: Admission, now: Callable[[], int]) -> None:
        self._admission, self._now = admission, now
        self._moment = 0  # of the send or the offer that is being decided

    def gateways(self, now: int) -> int:
        # Danger: a process that was frozen in the middle of a turn still holds the time from before.
        self._moment = self._now()
        return self._admission.gateways(self._moment)

    def admits(self, submission: Submission, now: int) -> bool:
        self._moment = self._now()
        return self._admission.admits(submission, self._moment)

    def takes(self, submission: Submission, engine: Engine, now: int) -> bool:
        return self._admission.takes(submission, engine, self._moment)

    def further(self, submission: Submission, now: int) -> float:
        return self._admission.further(submission, self._now())


class Talk:
    """What is said of positions on one link to a keeper, as bodies of its frames."""

    def __init__(self, board: Board, wants: Callable[[int], tuple[str, ...] | None], most: int) -> None:
        self._peer, self._wants, self._most = Peer(board), wants, most

    def says(self, now: int) -> bytes:
        return _encode(self._peer.says(self._most, self._wants(now), now))

    def hears(self, body: bytes, now: int) -> None:
        """BrokenError where that is no word."""
        try:
            word = _word(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
            raise BrokenError(f"no word on positions: {trouble}") from None
        self._peer.hears(word, now)


class Member:
    """One gateway's part in its fleet."""

    def __init__(self, given: Given, settings: Mapping[str, Any], seed: int, clock: Clock, gateway: Gateway,
                 route: Route, back: Back, take_in: TakeIn, timers: Timers, counters: Counters,
                 log: Log) -> None:
        self._timers, self._lease = timers, given.lease
        # Seeds are new with each start; the clock parts two starts that an operator gave the same one.
        life = f"{seed & 0xffffffff:08x}{clock.now():014x}"
        chance = random.Random(seed).random
        self.use = use = Use(given.member, given.lease, given.floor_lease, given.drift, given.most,
                             waits=True, life=life)
        self.directory = directory = Directory(settings.get("Localities", []))
        board = Board(lambda text: log.say("replicas", text), given.drift)
        reads = Reads(board, use, counters, chance, directory.cores, directory.zone_of, directory.full,
                      time.time)
        admission = Admission(use, [tenant["Name"] for tenant in settings.get("Tenants", [])],
                              [service.get("Name", "") for service in settings.get("Services", [])],
                              lambda engine: directory.ids.get(engine, ""), counters)
        gateway.agreed = Agreed(admission, clock.now)
        route.pinned = back.pinned = take_in.pinned = Pinned(reads, directory)
        self.follower = Follower(given, given.member, use, chance, clock.now, counters,
                                 lambda: Talk(board, reads.wanted, _MOST_SHARDS))

    def start(self, tasks: TaskGroup) -> None:
        # Danger: one that no list names would relay beside all that are named. Keepers within reach say so in
        # a lease; where there are none, service goes on, by the smallest share there is.
        self._timers.after(self._lease, lambda _: self.use.goes_on())
        tasks.start_soon(self.follower.run, tasks)
