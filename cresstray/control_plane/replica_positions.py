"""What rests on the rules and lives in a keeper: positions of copies that gateways tell, moves of shards."""

from __future__ import annotations

import traceback
from collections.abc import Callable

import msgspec

from cresstray.consensus.raft import Role
from cresstray.control_plane.node_controller import Core, Far
from cresstray.fleet_config.codec import ReplicaPositions
from cresstray.observability.counters import Counters
from cresstray.placement.data_transfer import Hands
from cresstray.placement.move_executor import Carrier, Disk, Entry
from cresstray.placement.moves import Moves
from cresstray.replicas.positions import Board
from cresstray.replicas.spread import MOST_WANTED, Exchange, Peer, Talk, encoded

# Shards in one word to another keeper: 5,000 take some twenty seconds, those that change go first.
_MOST_SHARDS = 64
# Danger: what a peer doesn't read would be kept; one that has so much unread is told nothing at once.
_LAGGING = 256 * 1024
# All that is new is told to another keeper not more often than this: a little less than words are apart.
_ALL_AGAIN = 200_000
# A move's next step is looked for so often: a tenth of a second is little beside a copy, or a turn.
_LOOK = 100_000


class _Talk(Talk):
    """What a peer says is looked at for what it wants."""

    def __init__(self, positions: Positions, board: Board) -> None:
        super().__init__(board, _MOST_SHARDS)
        self._positions, self._all_at = positions, -_ALL_AGAIN

    def next_message(self, now: int) -> bytes:
        most = _MOST_SHARDS
        if self.peer.wants_all:
            # Danger: each word of a keeper that only asks would be answered with all that is new.
            most = 0 if now - self._all_at < _ALL_AGAIN else _MOST_SHARDS
            self._all_at = now if most else self._all_at
        return encoded(self.peer.says(most, None, now))

    def on_message(self, body: bytes, now: int) -> None:
        super().on_message(body, now)
        self._positions.wanted(self.peer, now)


class Positions:
    """Merged out of what all gateways tell and engines are asked for, and told to those that want them.

    Only the leader asks engines: it is the one bound on questions, and without one there is no lease to read
    copies by. Others pass on to it what is wanted, and its answers to who waits.
    """

    def __init__(self, drift: float, say: Callable[..., None], counters: Counters) -> None:
        self._board = Board(lambda text: say("replicas", text), drift, passes_on=True)
        self._exchange, self._counters = Exchange(self._board), counters
        self._core: Core
        self._ask: Callable[[list[str]], None]

    def talk(self) -> Talk:
        return _Talk(self, self._board)

    def wanted(self, peer: Peer, now: int) -> None:
        """After each word that a peer says."""
        self._exchange.wanted(peer, self._core.ready(now), now)

    def seen(self, disk: Disk, now: int) -> bool:
        """What an engine has told this keeper, as it leads, of all its copies; whether any peer waits."""
        for name, copy in disk.copies.items():
            head = copy.head if copy.primary else None
            self._board.heard(name, disk.engine, copy.epoch, copy.applied, head, disk.at, now)
        return self._exchange.heard(disk.engine, disk.at)

    def join(self, core: Core, ask: Callable[[list[str]], None]) -> None:
        """`ask`: engines' positions, at once."""
        self._core, self._ask = core, ask
        core.turned.append(lambda now: self._board.place(core.state.effective.placement.items, now))
        core.each_round.append(self._each)

    def _each(self, now: int) -> int | None:
        core, exchange = self._core, self._exchange
        if core.ready(now):
            engines = exchange.due(core.state.effective.placement.items, now)
            if engines:
                self._counters.add("positions asked for", len(engines))
                self._ask(engines)
        elif needs := exchange.asking.carried(MOST_WANTED, now):
            # Danger: kept while there is no leader, the next one would be asked for what is long over.
            for peer, far in self._links(core.node.leader):
                self._counters.add("positions asked of the leader", len(needs))
                far.put(ReplicaPositions(encoded(peer.asks(needs, now))))
        told = exchange.tells(now)
        if told:
            links = dict(self._links())
            for peer, word in told:
                if peer in links:
                    links[peer].put(ReplicaPositions(encoded(word)))
        return exchange.again()

    def _links(self, keeper: str | None = "") -> list[tuple[Peer, Far]]:
        """Peers and their links; of one keeper only."""
        core = self._core
        found = [(talk.peer, far) for name, (far, talk) in core.talking.items() if keeper in ("", name)]
        return found + [
            (guest.talk.peer, guest.far)
            for key, guest in core.guests.items()
            if guest.talk is not None
            and guest.far.unsent_bytes < _LAGGING
            and keeper in ("", key.removeprefix("keeper:"))
        ]


class Moving:
    """A carrier for each term that this keeper leads, and the hands that it has."""

    def __init__(
        self, moves: Moves, clock: Callable[[], int], counters: Counters, say: Callable[..., None]
    ) -> None:
        self._moves, self._clock = moves, clock
        self.addresses: dict[str, tuple[str, int]] = {}
        self.hands = Hands(lambda: self.addresses, self._propose, self._leads, clock, counters, say)
        self._carrier: Carrier | None = None
        self._term = self._at = 0
        self._core: Core

    def join(self, core: Core) -> None:
        self._core = core
        core.each_round.append(self._each)
        core.answers.also(
            "moves",
            lambda: self._moves.told()
            | {
                "waits": {str(move): why for move, why in self._carrier.waits.items()}
                if self._carrier
                else {}
            },
        )
        core.answers.also(
            "disks",
            lambda: {
                "disks": {name: msgspec.to_builtins(disk) for name, disk in sorted(self.hands.told.items())}
            },
        )

    def _leads(self) -> bool:
        return self._core.ready(self._clock())

    def _propose(self, entry: Entry) -> None:
        try:
            self._core.propose(entry.data, lambda _: None, self._clock())
        except ValueError as trouble:
            self._core.say("moves", "an entry can't be proposed", why=str(trouble))

    def _each(self, now: int) -> int | None:
        core = self._core
        if not self.addresses or not core.ready(now):
            if self._term != core.node.term:
                self._carrier = None
            return now + _LOOK if self.addresses and core.node.role is Role.LEADER else None
        # Danger: what one carrier has seen in an earlier term is of moves as they were then.
        if self._carrier is None or self._term != core.node.term:
            self._carrier, self._term = Carrier(), core.node.term
        if now >= self._at:
            self._at = now + _LOOK
            # Danger: a fault in moves must not end the rules that all rest on. It begins anew in a while.
            try:
                self.hands.do(self._carrier.next(core.state, self._moves, self.hands.told, now))
            except Exception:
                core.counters.add("faults")
                core.say("fault", traceback.format_exc(), of="moves")
                self._carrier, self._at = None, now + 50 * _LOOK
        return self._at
