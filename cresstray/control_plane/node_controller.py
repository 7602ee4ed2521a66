"""A keeper without its sockets, clock and file: the log, the rules, the leases, and who is connected.

Its caller gives `received` each frame, then calls `round` once for all that came, and again when it says.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec

from cresstray.config.fleet import Fleet
from cresstray.consensus.entries import Keep, Kind, Snapshot
from cresstray.consensus.raft import Node, Role
from cresstray.control_plane import codec
from cresstray.control_plane.codec import Alive, Gather
from cresstray.control_plane.request_handlers import Answers
from cresstray.fleet_config import codec as rules
from cresstray.fleet_config import commands as commands
from cresstray.fleet_config.codec import ReplicaPositions
from cresstray.fleet_config.leases import LeaseTable
from cresstray.fleet_config.state import ConfigState, ConfigUpdates
from cresstray.observability.counters import Counters
from cresstray.transport.framing import Frame, FramingError, encode_frame

# The log is cut once so much of it has been applied since: a restart reads it in well under a second.
_MOST_ENTRIES, _MOST_BYTES = 4096, 4 * 1024 * 1024
# Whole documents, in bytes a second over all gateways, and the most at once. 230 gateways that return with
# nothing get 20 kB each in some three seconds; what differs from a version that they know is never held up.
_PACE, _BURST = 1_500_000, 256 * 1024
# What was seen of copies: a word so often to other keepers; who asks is answered at once, not more often than
# this.
_SPREAD, _AT_ONCE = 250_000, 20_000
# Danger: what a gateway doesn't read would be kept; one that has so much unread gets nothing more.
_LAGGING = 1024 * 1024


class Far(Protocol):
    """The other side of one link."""

    def put(self, frame: Frame) -> None: ...
    def write(self, message: bytes) -> None: ...
    def end(self, why: str) -> None: ...
    @property
    def unsent_bytes(self) -> int: ...


@dataclass(eq=False)
class Guest:
    """Who made a link to this keeper, and what it has been given."""

    far: Far
    role: str
    name: str
    life: str
    key: str  # by which the leader's answers find it
    agrees: bool = True  # its file has the same times and bounds
    renewed: int = -1  # the last renewal's number
    turn: int | None = None  # the turn whose content it has; None before it has told
    talk: Talk | None = None  # once it has told of positions
    spoke: int = 0  # when it was last answered
    gathers: dict[str, Gather] = field(default_factory=dict)


class Talk(Protocol):
    """What is said of positions on one link: made with it, gone with it. `on_message`: BrokenError."""

    def next_message(self, now: int) -> bytes: ...
    def on_message(self, body: bytes, now: int) -> None: ...


class Core:
    def __init__(
        self,
        given: Fleet,
        node: Node,
        state: ConfigState,
        leases: LeaseTable,
        write: Callable[[Keep], None],
        say: Callable[..., None],
        counters: Counters,
        now: int,
        talks: Callable[[], Talk] | None = None,
    ) -> None:
        self.given, self.node, self.state, self.leases = given, node, state, leases
        self._write, self.say, self.counters, self._talks = write, say, counters, talks
        self.keepers: dict[str, Far] = {}  # links that we made, by the far keeper's name in the log
        self.guests: dict[str, Guest] = {}  # links that others made
        self.talking: dict[str, tuple[Far, Talk]] = {}  # about positions, on links that we made
        self.heard: dict[str, str] = {}  # the last generation that greeted, by keeper
        self.applied = 0
        self._entries = self._bytes = 0  # applied since the last snapshot
        self.waiting: dict[int, tuple[int, Callable[[bytes | None], None]]] = {}  # by index: term, who waits
        self._reads: list[tuple[int, Callable[[bool], None]]] = []  # to be answered once this is applied
        self._renewals: list[tuple[Callable[[Frame], None], str, rules.RenewLease]] = []
        self.now = now  # of this call
        self._term_ready = 0  # the term that we lead, once all before it is applied
        self._out: dict[str, int] = {}  # ghosts that are out, and the term in which that was proposed
        self._advancing = (0, 0)  # term and turn that have been proposed
        # By the turn that a gateway has: the turn that it is led on from, and the encoded frames.
        self._deltas: dict[int, tuple[int, list[bytes]]] = {}
        self._pushed = -1
        self._wanting: deque[Guest] = deque()  # that wait for their turn to get all of it
        self._bucket, self._bucket_at = float(_BURST), now
        self._spread_at = now + _SPREAD
        self._was: tuple[object, ...] = ()
        self.answers = Answers(self)
        self.turned: list[Callable[[int], None]] = []  # of other packages: the turn has changed
        self.each_round: list[Callable[[int], int | None]] = []  # of other packages: each tells its due

    # Who is there.

    def connected(self, name: str, far: Far) -> None:
        """A link that we made to the keeper of this name in the log."""
        self.keepers[name] = far
        # One of both talks for the two, or each would be told all twice.
        if self._talks is not None and self.node.name < name:
            self.talking[name] = far, self._talks()

    def disconnected(self, name: str, far: Far) -> None:
        if self.keepers.get(name) is far:
            del self.keepers[name]
            self.talking.pop(name, None)

    def heard_back(self, name: str, frame: ReplicaPositions, now: int) -> None:
        """On a link that we made."""
        if name in self.talking:
            self.talking[name][1].on_message(frame.body, now)

    def come(self, guest: Guest) -> None:
        before = self.guests.get(guest.key)
        if before is not None:
            # Danger: what an earlier connection still holds unread must not be taken behind this one's.
            before.far.end("a newer link has taken its place")
        self.guests[guest.key] = guest
        if guest.role == "keeper":
            if self.heard.get(guest.name) != guest.life and f"{guest.name}/{guest.life}" not in self._known():
                self.say(
                    "keeper",
                    f"a stranger has come; to admit it: cresstray rules members FILE --replace {guest.name}",
                    name=f"{guest.name}/{guest.life}",
                )
            self.heard[guest.name] = guest.life

    def gone(self, guest: Guest) -> None:
        if self.guests.get(guest.key) is guest:
            del self.guests[guest.key]

    def _known(self) -> tuple[str, ...]:
        return self.node.members.voters + self.node.members.learners

    # What comes.

    def received(self, guest: Guest, frame: Frame, now: int) -> None:
        """BrokenError for what that side may not send, or not now."""
        self.now = now
        if self.guests.get(guest.key) is not guest:
            raise FramingError("a newer link has taken its place")
        if not isinstance(frame, codec.TAKEN[guest.role]):
            raise FramingError(f"a {type(frame).__name__} from the role {guest.role}")
        if isinstance(frame, rules.RenewLease):
            self._renew(guest, frame)
        elif isinstance(frame, rules.GetConfig):
            guest.turn = frame.turn
            self._push_to(guest)
        elif isinstance(frame, ReplicaPositions):
            if guest.talk is None and self._talks is not None:
                guest.talk = self._talks()
            if guest.talk is not None:
                guest.talk.on_message(frame.body, now)
                # At once: an age counts from the word that is answered. Danger: one that talks without end.
                if now - guest.spoke >= _AT_ONCE and guest.far.unsent_bytes < _LAGGING:
                    guest.spoke = now
                    guest.far.put(ReplicaPositions(guest.talk.next_message(now)))
        elif isinstance(frame, Alive):
            guest.far.put(frame)
        elif isinstance(frame, rules.ForwardedFrame):
            self._carried(guest, frame, now)
        elif isinstance(frame, rules.OperatorRequest):
            self._request(guest, frame, now)
        else:
            self.node.receive(f"{guest.name}/{guest.life}", frame, now)

    def _renew(self, guest: Guest, frame: rules.RenewLease) -> None:
        # Danger: with a longer lease of its own it would act when the leader takes it for stopped.
        if not guest.agrees:
            raise FramingError("a renewal, with another lease, floor-lease, drift, most or barred than here")
        # Danger: a renewal that is played again would have a lease counted from long ago.
        if frame.number <= guest.renewed:
            raise FramingError(f"renewal {frame.number} after {guest.renewed}")
        guest.renewed, frame.incarnation = frame.number, guest.life
        self.counters.add("renewals")
        if guest.turn is None:
            guest.turn = frame.turn
            self._push_to(guest)
        if self.node.role is Role.LEADER:
            self._renewals.append((guest.far.put, guest.name, frame))
        elif not self._carry(guest, frame):
            guest.far.put(rules.LeaseRefused(frame.number, self.state.turn, "no leader"))

    def _carry(self, guest: Guest, frame: Frame) -> bool:
        leader = self.keepers.get(self.node.leader or "")
        if leader is None:
            return False
        leader.put(rules.ForwardedFrame(guest.key, False, encode_frame(frame)))
        return True

    def _carried(self, guest: Guest, frame: rules.ForwardedFrame, now: int) -> None:
        if frame.is_reply:
            origin = self.guests.get(frame.origin)
            codec.carried(frame.body, codec.FROM_LEADER)
            if origin is not None and origin.role != "keeper":
                origin.far.write(frame.body)
            return
        inner = codec.carried(frame.body, codec.TO_LEADER)

        def back(answer: Frame) -> None:
            far = self.keepers.get(f"{guest.name}/{guest.life}")
            if far is not None:
                far.put(rules.ForwardedFrame(frame.origin, True, encode_frame(answer)))

        role, _, name = frame.origin.partition(":")
        if isinstance(inner, rules.RenewLease):
            if role != "gateway":
                raise FramingError(f"a renewal carried for {frame.origin!r}")
            if self.node.role is Role.LEADER:
                self._renewals.append((back, name, inner))
            else:
                back(rules.LeaseRefused(inner.number, self.state.turn, "no leader"))
            return
        # Danger: whoever carries parts of questions without an end would have them all kept.
        if len(guest.gathers) > 64:
            guest.gathers.clear()
        body = guest.gathers.setdefault(frame.origin, Gather()).add(inner)
        if body is not None:
            del guest.gathers[frame.origin]
            self._ask(codec.asked(body), inner.number, back, now)

    def _request(self, guest: Guest, frame: rules.OperatorRequest, now: int) -> None:
        body = guest.gathers.setdefault("", Gather()).add(frame)
        if body is None:
            return
        ask = codec.asked(body)
        if self.node.role is Role.LEADER:
            self._ask(ask, frame.number, guest.far.put, now)
            return
        for part in codec.requests(frame.number, ask):
            if not self._carry(guest, part):
                self._reply(guest.far.put, frame.number, {"error": "there is no leader", "again": True})
                return

    def _ask(self, ask: codec.Ask, number: int, back: Callable[[Frame], None], now: int) -> None:
        self.counters.add("questions")
        self.answers.take(ask, lambda answer: self._reply(back, number, answer), now)

    @staticmethod
    def _reply(back: Callable[[Frame], None], number: int, answer: dict[str, Any]) -> None:
        for part in codec.replies(number, answer):
            back(part)

    # What operators and other packages have put into the log.

    def ready(self, now: int) -> bool:
        """Whether it leads, with all before its own term applied: what is decided rests on all there is."""
        return self._term_ready == self.node.term and self.node.leads(now)

    def propose(self, data: bytes, then: Callable[[bytes | None], None], now: int) -> bool:
        """`then` hears the outcome once it is applied, None where it can't be told; False: not the leader."""
        at = self.node.propose(data, now)
        if at is None:
            return False
        index, term = at
        self.waiting[index] = (term, then)
        return True

    def read(self, then: Callable[[bool], None], now: int) -> None:
        """`then` hears True once all that was committed before this is applied; False: not the leader."""
        if not self.node.read(then, now):
            then(False)

    # One round.

    def round(self, now: int) -> int:
        """All that is to be done now, synced before it is told; the moment to call again, at the latest."""
        self.now = now
        if now >= self.node.due:
            self.node.tick(now)
        self._drain(now)
        self._lead(now)
        self._renewed(now)
        # What has just been confirmed may be the last that a turn waited for.
        self._lead(now)
        self._drain(now)
        self._push(now)
        self._spread(now)
        due = [self.node.due, self._spread_at]
        due += [at for each in self.each_round if (at := each(now)) is not None]
        self._drain(now)
        self._tell()
        if self._wanting:
            due.append(now + 20_000)
        if self._term_ready and self.state.pending_turn() is not None:
            due.append(self.leases.next_expiry_us(self.state, now) or now + self.given.beat)
        return max(now, min(due))

    def _drain(self, now: int) -> None:
        while ready := self.node.take():
            if ready.keep is not None:
                self._write(ready.keep)
            for to, frame in ready.frames:
                far = self.keepers.get(to)
                if far is not None:
                    far.put(frame)
            if ready.restored is not None:
                self._restore(ready.restored)
            for index, entry in ready.committed:
                self._apply(index, entry)
            for then, index in ready.reads:
                if index is None:
                    then(False)
                else:
                    self._reads.append((index, then))
            if self._reads:
                done = [then for index, then in self._reads if index <= self.applied]
                self._reads = [one for one in self._reads if one[0] > self.applied]
                for then in done:
                    then(True)

    def _restore(self, snapshot: Snapshot) -> None:
        if snapshot.data:  # the founders' has none
            self.state.restore(snapshot.data)
        self.applied, self._entries, self._bytes = snapshot.index, 0, 0
        for index in [index for index in self.waiting if index <= snapshot.index]:
            self.waiting.pop(index)[1](None)

    def _apply(self, index: int, entry: Any) -> None:
        outcome = self.state.apply(index, entry.data) if entry.kind == Kind.DATA else b""
        self.applied = index
        self._entries, self._bytes = self._entries + 1, self._bytes + len(entry.data)
        self.counters.add("entries applied")
        term, then = self.waiting.pop(index, (0, None))
        if then is not None:
            then(outcome if term == entry.term else None)
        if self._entries >= _MOST_ENTRIES or self._bytes >= _MOST_BYTES:
            self.node.compact(index, self.state.snapshot())
            self._entries = self._bytes = 0

    def _lead(self, now: int) -> None:
        """Makes the next turn as soon as no lease is in its way."""
        node = self.node
        if node.role is not Role.LEADER:
            self._term_ready = 0
            for index in list(self.waiting):
                # Danger: it may be committed yet, by the next leader; whoever waits asks again by its name.
                self.waiting.pop(index)[1](None)
            return
        if self._term_ready != node.term:
            # Danger: before something of our own term is applied, turns that an earlier leader made may be
            # missing here, and a lease for what we have would be for what is no longer in force.
            if not node.leads(now) or self.applied < node.commit:
                return
            self._term_ready = node.term
            self._out.clear()
            self.leases.on_elected(self.state.counting_gateways(), node.led_since)
        turn = self.state.pending_turn()
        if turn is None or self._advancing == (node.term, turn):
            return
        if self.leases.can_advance(self.state, now):
            if self.propose(commands.encode_advance(turn), lambda _: None, now):
                self._advancing = (node.term, turn)

    def _renewed(self, now: int) -> None:
        renewals, self._renewals = self._renewals, []
        leads = self.ready(now)
        for back, name, frame in renewals:
            if self._term_ready != self.node.term:
                back(rules.LeaseRefused(frame.number, self.state.turn, "no leader"))
                continue
            back(
                self.leases.renew(
                    name,
                    frame.number,
                    frame.turn,
                    self.state,
                    leads,
                    now,
                    frame.incarnation,
                    frame.has_stopped,
                )
            )
            if self.leases.has_departed(name, self.state) and self._out.get(name) != self.node.term:
                self._out[name] = self.node.term
                self.propose(commands.encode_departed(name), lambda _: None, now)

    # What gateways are given.

    def _push(self, now: int) -> None:
        if self.state.turn != self._pushed:
            self._pushed = self.state.turn
            self._deltas.clear()
            for turned in self.turned:
                turned(now)
            for guest in self.guests.values():
                self._push_to(guest)
        self._bucket = min(_BURST, self._bucket + (now - self._bucket_at) * _PACE / 1e6)
        self._bucket_at = now
        while self._wanting and self._bucket > 0:
            guest = self._wanting.popleft()
            if self.guests.get(guest.key) is guest and (guest.turn or 0) < self.state.turn:
                self._bucket -= self._give(guest)
                self.counters.add("whole copies given")

    def _push_to(self, guest: Guest) -> None:
        """What differs at once; all of it when its turn comes."""
        if guest.role != "gateway" or guest.turn is None or guest.turn >= self.state.turn:
            return
        if guest.far.unsent_bytes > _LAGGING:
            return
        if not self._leads_on(guest.turn)[0]:
            if guest not in self._wanting:
                self._wanting.append(guest)
        else:
            self._give(guest)
            self.counters.add("changes given")

    def _leads_on(self, turn: int) -> tuple[int, list[bytes]]:
        if turn not in self._deltas:
            body = self.state.updates_since(turn)
            base = msgspec.msgpack.decode(body, type=ConfigUpdates).base
            self._deltas[turn] = (
                base,
                [encode_frame(one) for one in rules.config_parts(base, self.state.turn, body)],
            )
        return self._deltas[turn]

    def _give(self, guest: Guest) -> int:
        _, frames = self._leads_on(guest.turn)
        guest.turn = self.state.turn
        for part in frames:
            guest.far.write(part)
        return sum(map(len, frames))

    def _spread(self, now: int) -> None:
        if now < self._spread_at:
            return
        self._spread_at = now + _SPREAD
        for far, talk in self.talking.values():
            far.put(ReplicaPositions(talk.next_message(now)))

    def _tell(self) -> None:
        node = self.node
        led = node.term if node.role is Role.LEADER else 0
        now = (node.role.name.lower(), led, node.leader, node.members)
        if now != self._was:
            if not self._was or now[:3] != self._was[:3]:
                self.say("log", "is " + now[0], term=node.term, leader=node.leader)
            if not self._was or now[3] != self._was[3]:
                self.say(
                    "log",
                    "members",
                    voters=",".join(node.members.voters),
                    learners=",".join(node.members.learners),
                )
            self._was = now

    def status(self) -> Mapping[str, Any]:
        node = self.node
        return {
            "name": node.name,
            "role": node.role.name.lower(),
            "term": node.term,
            "leader": node.leader,
            "commit": node.commit,
            "applied": self.applied,
            "turn": self.state.turn,
        }
