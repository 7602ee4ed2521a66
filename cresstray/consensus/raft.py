"""A node of the log, by the Raft algorithm as published: terms, votes, log, members, lease.

After each call the caller does what take() returns, in the order of its fields, until that is nothing. `keep`
is synced before anything else is done or called: that the caller comes back tells the node that it is. Where
that fails, the node is given up, and a new one made of what the file holds. States: docs/consensus.md.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple
from zlib import crc32

from cresstray.consensus.codec import (
    Append,
    Appended,
    Install,
    Installed,
    Now,
    PreVote,
    PreVoted,
    Vote,
    Voted,
)
from cresstray.consensus.entries import (
    MOST_DATA,
    Durable,
    Entry,
    Kind,
    Members,
    Ready,
    Snapshot,
    members_of,
)
from cresstray.consensus.log import Log
from cresstray.consensus.peers import Peer, Way
from cresstray.transport.framing import Frame, FramingError, encode_frame

# Rounds of one leader begin no closer than this: an older one only makes the lease shorter.
_ROUND = 1_000
# Danger: without a majority a leader would keep all that is proposed or asked until it steps down.
_MOST_OPEN, _MOST_ENTRIES, _MOST_READS = 16 * 1024 * 1024, 10_000, 10_000
# A follower that was silent for so many election times gets the newest snapshot, not an older one's rest.
_SILENT = 10
# A learner that is further behind than this would hold up commits as soon as it votes.
_CLOSE = 100


class Role(Enum):
    FOLLOWER = "follower"  # voter or learner
    ASKING = "asking"  # whether it would be voted for
    CANDIDATE = "candidate"
    LEADER = "leader"


class Times(NamedTuple):
    """In microseconds; elections wait for one to two `election`. `drift`: how wrong a clock's rate is."""

    beat: int = 50_000
    election: int = 300_000
    drift: float = 0.01


class Node:
    """One keeper's part. `due`: when tick() is wanted next; `led_since`: when it was elected, as a leader."""

    def __init__(self, durable: Durable, times: Times, chance: Callable[[], float], now: int) -> None:
        self.name, self.term, self._voted_for = durable.name, durable.term, durable.voted_for
        self._times, self._chance, self._now = times, chance, now
        self._log = Log(durable)
        self.role, self.leader = Role.FOLLOWER, None
        self.commit = self._applied = durable.snapshot.index
        self._restored = durable.snapshot if durable.snapshot.index else None
        self.led_since = 0
        # Danger: what it promised a leader before it was started again still binds it.
        self._heard = now
        self._put_off(now)
        self._dirty, self._term_out, self._term_stored = False, self.term, self.term  # term and vote
        self._votes: set[str] = set()
        self._part: tuple[Install, bytearray] | None = None  # a snapshot that is coming in
        self._frames: list[tuple[str, Frame]] = []
        self._answers: list[tuple[object, int | None]] = []
        # As a leader.
        self._peers: dict[str, Peer] = {}
        self._beat_at = 0
        self._round = 0
        self._rounds: deque[tuple[int, int]] = deque(maxlen=2_048)  # number, and when it began
        self._open = 0  # bytes proposed and not yet committed
        self._reads: deque[tuple[object, int]] = deque()  # ticket, and the round to be confirmed
        self._heir: str | None = None  # of a transfer
        self._heir_until, self._sent_now = 0, False

    # What a caller asks.

    @property
    def members(self) -> Members:
        """The latest list in the log, committed or not: what counts as a majority goes by it."""
        return self._log.members

    @property
    def due(self) -> int:
        if self.role is Role.LEADER:
            return self._beat_at
        # Alone, its own vote is the majority as soon as it is synced.
        return self._now if self.role is Role.CANDIDATE and self._won() else self._deadline

    def leads(self, now: int) -> bool:
        """Whether it is the leader, and no other can have been elected by `now`."""
        if self.role is not Role.LEADER or self._sent_now or self._log.term_at(self.commit) != self.term:
            return False
        since = self._acked(now)
        # Danger: this clock may be slow by the drift, and a follower's, whose promise it counts on, fast.
        return since is not None and now < since + int(self._times.election * (1 - 2 * self._times.drift))

    def hears(self, name: str, now: int) -> bool:
        """Whether another member has answered this leader within an election time."""
        peer = self._peers.get(name)
        return peer is not None and peer.acked is not None and now - peer.acked <= self._times.election

    def propose(self, data: bytes, now: int) -> tuple[int, int] | None:
        """None where it is not the leader, hands over, or has too much that is not yet committed."""
        self._begin(now)
        if len(data) > MOST_DATA:
            raise ValueError(f"an entry of {len(data)} bytes; {MOST_DATA} at most")
        if self.role is not Role.LEADER or self._heir is not None:
            return None
        if self._open + len(data) > _MOST_OPEN or self._log.last - self.commit >= _MOST_ENTRIES:
            return None
        return self._propose(Kind.DATA, data, now)

    def change(self, members: Members, now: int) -> tuple[int, int] | None:
        """ValueError where the list can't follow the present one now; None where it is not the leader."""
        self._begin(now)
        if self.role is not Role.LEADER or self._heir is not None:
            return None
        self._check(members, now)
        made = self._propose(Kind.MEMBERS, members.encoded(), now)
        self._know_peers()
        self._broadcast(now)
        self._count(now)
        return made

    def transfer(self, to: str, now: int) -> bool:
        """Hands over to another voter, or gives up after an election time; False where it can't begin."""
        self._begin(now)
        if (
            self.role is not Role.LEADER
            or self._heir is not None
            or to == self.name
            or to not in self.members.voters
        ):
            return False
        self._heir, self._heir_until = to, now + self._times.election
        self._hand_over(now)
        self._feed(to, now)
        return True

    def read(self, ticket: object, now: int) -> bool:
        """Told in Ready.reads: the index to have applied, None if leadership was lost. False: no leader."""
        self._begin(now)
        if self.role is not Role.LEADER or len(self._reads) >= _MOST_READS:
            return False
        if self.leads(now):
            self._answers.append((ticket, self.commit))
            return True
        # Danger: a round that began before the question proves nothing of what was committed in between.
        alone = not self._reads or self._reads[-1][1] <= self._confirmed()
        self._reads.append((ticket, self._round + 1))
        if alone:
            self._broadcast(now, fresh=True)
        self._serve_reads()
        return True

    def compact(self, index: int, data: bytes) -> None:
        """What was applied up to `index`, as a snapshot; some entries behind it stay for slow followers."""
        self._settle()
        if index > self._log.snapshot.index:
            assert index <= self._applied, "only what was applied"
            self._log.compact(index, data)

    def take(self) -> Ready:
        """All that is to be done now. See above for the order, and for when to call again."""
        self._settle()
        ready = Ready(frames=self._frames, restored=self._restored, reads=self._answers)
        ready.keep = self._log.hand_out(self.term, self._voted_for, self._dirty)
        self._dirty, self._term_out = False, self.term
        self._frames, self._restored, self._answers = [], None, []
        ready.committed = [(at, self._log.entry(at)) for at in range(self._applied + 1, self.commit + 1)]
        self._applied = self.commit
        return ready

    # Time.

    def tick(self, now: int) -> None:
        self._begin(now)
        if self.role is Role.LEADER:
            if now >= self._beat_at:
                self._beat(now)
        elif self.role is Role.CANDIDATE and self._won():
            self._lead(now)
        elif now >= self._deadline:
            self._put_off(now)
            # A learner, a stranger, or one that was removed waits to be told.
            if self.name in self.members.voters:
                self._ask(now)

    def _begin(self, now: int) -> None:
        assert now >= self._now, "time goes forward"
        self._now = now
        self._settle()

    def _settle(self) -> None:
        """What the last take() handed out has been synced, or nobody would call."""
        self._term_stored = self._term_out
        if self._log.settle() and self.role is Role.LEADER:
            self._count(self._now)

    def _put_off(self, now: int) -> None:
        """The next election, by chance, so that voters seldom stand at once."""
        self._deadline = now + self._times.election + int(self._chance() * self._times.election)

    def _beat(self, now: int) -> None:
        acked = self._acked(now)
        silent = now - max(self.led_since, self.led_since if acked is None else acked)
        # Danger: one that hears and is not heard would keep its followers from electing another.
        if silent > self._times.election:
            self._step_down(now)
            return
        if self._heir is not None and now >= self._heir_until:
            self._heir = None
            # Danger: Now may still be on its way. Its term must not hold a lease again.
            if self._sent_now:
                self._step_down(now)
                return
        self._beat_at = now + self._times.beat
        if self._heir is not None:
            self._hand_over(now)
        self._broadcast(now, fresh=True)

    # Elections.

    def _ask(self, now: int) -> None:
        """First whether it would be elected, so that one that is cut off does not drive up the term."""
        self.role, self.leader, self._votes = Role.ASKING, None, {self.name}
        self._to_voters(PreVote(self.term + 1, self._log.last, self._log.last_term))
        if self._majority():
            self._stand(now, False)

    def _stand(self, now: int, transfer: bool) -> None:
        assert transfer or not self._keeps_to_leader(now), "it promised not to vote so soon"
        self._new_term(self.term + 1)
        self.role, self._voted_for, self._votes = Role.CANDIDATE, self.name, {self.name}
        self._put_off(now)
        self._to_voters(Vote(self.term, self._log.last, self._log.last_term, transfer))

    def _to_voters(self, frame: Frame) -> None:
        self._frames += [(to, frame) for to in self.members.voters if to != self.name]

    def _majority(self) -> bool:
        voters = self.members.voters
        return sum(name in self._votes for name in voters) > len(voters) // 2

    def _won(self) -> bool:
        return self._term_stored == self.term and self._majority()

    def _new_term(self, term: int) -> None:
        assert term > self.term
        self.term, self._voted_for, self.leader, self._dirty = term, None, None, True

    def _follow(self, term: int, leader: str | None, now: int) -> None:
        """Steps down to a follower of that term, which is not an earlier one."""
        if self.role is Role.LEADER:
            self._step_down(now)
        if term > self.term:
            self._new_term(term)
        self.role, self.leader = Role.FOLLOWER, leader

    def _step_down(self, now: int) -> None:
        self.role, self.leader = Role.FOLLOWER, None
        self._answers += [(ticket, None) for ticket, _ in self._reads]
        self._reads.clear()
        self._peers.clear()
        self._rounds.clear()
        self._heir, self._sent_now, self._open = None, False, 0
        self._put_off(now)

    def _keeps_to_leader(self, now: int) -> bool:
        """It heard a leader within the election time, or is one: the lease rests on this."""
        return self.role is Role.LEADER or now - self._heard < self._times.election

    def _up_to_date(self, index: int, term: int) -> bool:
        return (term, index) >= (self._log.last_term, self._log.last)

    def _lead(self, now: int) -> None:
        self.role, self.leader, self.led_since = Role.LEADER, self.name, now
        self._peers, self._open = {}, 0
        self._know_peers()
        self._log.append(Entry(self.term, Kind.NOTHING, b""))
        self._beat_at = now + self._times.beat
        self._broadcast(now, fresh=True)

    # What came in.

    def receive(self, sender: str, frame: Frame, now: int) -> None:
        """BrokenError where an honest keeper can't have sent it."""
        self._begin(now)
        if sender == self.name:
            return
        match frame:
            case PreVote():
                self._on_pre_vote(sender, frame, now)
            case Vote():
                self._on_vote(sender, frame, now)
            case Append():
                self._on_append(sender, frame, now)
            case Install():
                self._on_install(sender, frame, now)
            case Now():
                self._on_now(sender, frame, now)
            case PreVoted() | Voted() | Appended() | Installed():
                # Danger: the answer of one that is not a member counts for nothing.
                if sender in self.members.names():
                    self._on_answer(sender, frame, now)
            case _:
                raise FramingError(f"a frame of kind {frame.kind} in the log's place")

    def _on_answer(self, sender: str, frame: PreVoted | Voted | Appended | Installed, now: int) -> None:
        asked = isinstance(frame, PreVoted) and frame.granted
        if frame.term > self.term and not asked:
            self._follow(frame.term, None, now)
        elif asked:
            if self.role is Role.ASKING and frame.term == self.term + 1:
                self._votes.add(sender)
                if self._majority() and not self._keeps_to_leader(now):
                    self._stand(now, False)
        elif frame.term < self.term:
            return
        elif isinstance(frame, Voted):
            if self.role is Role.CANDIDATE and frame.granted:
                self._votes.add(sender)
                if self._won():
                    self._lead(now)
        elif isinstance(frame, Appended | Installed) and self.role is Role.LEADER:
            self._acknowledged(self._peers[sender], frame.round)
            if isinstance(frame, Appended):
                self._on_appended(sender, frame, now)
            else:
                self._on_installed(sender, frame, now)

    def _on_pre_vote(self, sender: str, frame: PreVote, now: int) -> None:
        granted = (
            frame.term > self.term
            and not self._keeps_to_leader(now)
            and self._up_to_date(frame.index, frame.log_term)
        )
        self._frames.append((sender, PreVoted(frame.term if granted else self.term, granted)))

    def _on_vote(self, sender: str, frame: Vote, now: int) -> None:
        # Danger: a vote within the election time would break the lease of the leader it heard, also where it
        # has learnt of the later term in other ways meanwhile.
        transfer = frame.transfer and sender in self.members.names()
        if frame.term >= self.term and self._keeps_to_leader(now) and not transfer:
            return
        if frame.term > self.term:
            self._follow(frame.term, None, now)
        granted = (
            frame.term == self.term
            and self.role in (Role.FOLLOWER, Role.ASKING)
            and self.leader is None
            and self._voted_for in (None, sender)
            and self._up_to_date(frame.index, frame.log_term)
        )
        if granted:
            self.role = Role.FOLLOWER
            if self._voted_for is None:
                self._voted_for, self._dirty = sender, True
            self._put_off(now)
        self._frames.append((sender, Voted(self.term, granted)))

    def _on_now(self, sender: str, frame: Now, now: int) -> None:
        if (
            frame.term == self.term
            and self.role is Role.FOLLOWER
            and sender == self.leader
            and self.name in self.members.voters
        ):
            self._stand(now, True)

    def _hear(self, sender: str, term: int, now: int) -> bool:
        """A leader's word; False where its term is over."""
        if term < self.term:
            return False
        if term == self.term and (self.role is Role.LEADER or self.leader not in (None, sender)):
            raise FramingError(f"a second leader of term {term}")
        self._follow(term, sender, now)
        self._heard = now
        self._put_off(now)
        return True

    def _on_append(self, sender: str, frame: Append, now: int) -> None:
        self._check_entries(frame)
        log, prev = self._log, frame.index
        if not self._hear(sender, frame.term, now):
            self._frames.append((sender, Appended(self.term, frame.round, False, prev, 0, 0)))
            return
        for index, term in enumerate([frame.log_term, *(entry.term for entry in frame.entries)], prev):
            if log.base <= index <= self.commit and log.term_at(index) != term:
                raise FramingError(f"another entry {index} than was committed here")
        if prev >= self.commit and log.term_at(prev) != frame.log_term:
            told = log.term_at(prev)
            hint = log.last + 1 if told is None else log.first_of(told, self.commit + 1, prev)
            self._frames.append((sender, Appended(self.term, frame.round, False, prev, told or 0, hint)))
            return
        end = prev + len(frame.entries)
        for index, entry in enumerate(frame.entries, prev + 1):
            # What is committed here is the leader's as well.
            if index <= self.commit:
                continue
            if index <= log.last and log.term_at(index) != entry.term:
                log.cut(index)
            if index > log.last:
                log.append(entry)
        self.commit = max(self.commit, min(frame.commit, end))
        self._frames.append((sender, Appended(self.term, frame.round, True, max(end, self.commit), 0, 0)))

    @staticmethod
    def _check_entries(frame: Append) -> None:
        before = frame.log_term
        for entry in frame.entries:
            if not before <= entry.term <= frame.term:
                raise FramingError("entries whose terms don't grow")
            before = entry.term
            if entry.kind == Kind.MEMBERS:
                try:
                    members_of(entry.data)
                except ValueError as trouble:
                    raise FramingError(f"an entry that is no list of members: {trouble}") from None

    def _on_install(self, sender: str, frame: Install, now: int) -> None:
        if not self._hear(sender, frame.term, now):
            self._frames.append((sender, Installed(self.term, frame.round, frame.index, frame.check, 0)))
            return
        if frame.index <= self.commit:
            self._part, here = None, frame.size
        else:
            here = self._collect(frame)
        self._frames.append((sender, Installed(self.term, frame.round, frame.index, frame.check, here)))

    def _collect(self, frame: Install) -> int:
        """How many bytes of that snapshot are here by now; all of them: it is in use."""
        if self._part is not None:
            of = self._part[0]
            if (of.index, of.log_term, of.size, of.check) != (
                frame.index,
                frame.log_term,
                frame.size,
                frame.check,
            ):
                self._part = None
        if self._part is None:
            self._part = frame, bytearray()
        data = self._part[1]
        if frame.offset == len(data):
            if len(data) + len(frame.data) > frame.size:
                raise FramingError("a snapshot that is longer than it says")
            data += frame.data
        here = len(data)
        if here == frame.size:
            self._part = None
            if crc32(data) != frame.check:
                return 0
            self._restored = Snapshot(frame.index, frame.log_term, frame.members, bytes(data))
            self._log.restore(self._restored)
            self.commit = self._applied = frame.index
        return here

    # As a leader: sending.

    def _know_peers(self) -> None:
        names = [name for name in self.members.names() if name != self.name]
        self._peers = {name: self._peers.get(name) or Peer(self._log.last + 1) for name in names}

    def _broadcast(self, now: int, fresh: bool = False) -> None:
        """To all members what they may be sent; `fresh`: at least a beat, of a round that begins now."""
        self._begin_round(now, fresh)
        for to in self._peers:
            self._feed(to, now, fresh)

    def _begin_round(self, now: int, fresh: bool) -> None:
        if fresh or not self._rounds or now - self._rounds[-1][1] >= _ROUND:
            self._round += 1
            self._rounds.append((self._round, now))
            while self._rounds[0][1] < now - 2 * self._times.election:
                self._rounds.popleft()

    def _feed(self, to: str, now: int, beat: bool = False) -> None:
        peer, log = self._peers[to], self._log
        stale = (
            peer.way is Way.SNAPSHOT
            and peer.snapshot is not log.snapshot
            and (peer.acked is None or now - peer.acked > _SILENT * self._times.election)
        )
        if stale or (peer.way is not Way.SNAPSHOT and log.term_at(peer.next - 1) is None):
            peer.install(log.snapshot, crc32(log.snapshot.data))
        if peer.way is Way.SNAPSHOT:
            self._send_part(to, peer, beat)
        elif peer.way is Way.PROBE:
            if beat or not peer.asked:
                peer.asked = True
                self._append(to, peer, [])
        else:
            while peer.next <= log.last and peer.room():
                entries, size = log.batch(peer.next)
                self._append(to, peer, entries)
                peer.flies(peer.next + len(entries) - 1, size)
                beat = False
            if beat:
                self._append(to, peer, [])

    def _append(self, to: str, peer: Peer, entries: list[Entry]) -> None:
        index = peer.next - 1
        term = self._log.term_at(index)
        assert term is not None, "what is sent is here"
        self._frames.append((to, Append(self.term, self._round, index, term, self.commit, entries)))

    def _send_part(self, to: str, peer: Peer, beat: bool) -> None:
        """The next part, if the last one has come; a beat only asks."""
        snapshot = peer.snapshot
        assert snapshot is not None
        data = b""
        if peer.sent == peer.offset and not peer.part_round:
            data = snapshot.data[peer.offset : peer.offset + MOST_DATA]
            peer.sent, peer.part_round = peer.offset + len(data), self._round
        elif not beat:
            return
        self._frames.append(
            (
                to,
                Install(
                    self.term,
                    self._round,
                    snapshot.index,
                    snapshot.term,
                    snapshot.members,
                    len(snapshot.data),
                    peer.check,
                    peer.offset,
                    data,
                ),
            )
        )

    # As a leader: answers.

    def _acknowledged(self, peer: Peer, number: int) -> None:
        """It has heard that round, so it votes for no other within the election time from when it began."""
        if number > peer.round and self._rounds and self._rounds[0][0] <= number <= self._round:
            peer.round, peer.acked = number, self._rounds[number - self._rounds[0][0]][1]
            self._serve_reads()

    def _on_appended(self, sender: str, frame: Appended, now: int) -> None:
        peer, log = self._peers[sender], self._log
        if frame.ok:
            if frame.index > log.last:
                raise FramingError("more of the log than there is")
            if peer.matched(frame.index):
                self._count(now)
            if self.role is Role.LEADER and sender in self._peers:
                if self._heir == sender:
                    self._hand_over(now)
                self._feed(sender, now)
            return
        following = frame.hint_index
        if frame.hint_term:
            known = log.last_of(frame.hint_term, min(frame.index, log.last))
            following = frame.hint_index if known is None else known + 1
        if peer.differs(frame.index, max(1, following)):
            self._feed(sender, now)

    def _on_installed(self, sender: str, frame: Installed, now: int) -> None:
        peer = self._peers[sender]
        snapshot = peer.snapshot
        if snapshot is None or (frame.index, frame.check) != (snapshot.index, peer.check):
            return
        if frame.offset >= len(snapshot.data):
            peer.matched(snapshot.index)
            self._count(now)
        elif frame.offset > peer.offset or frame.round > peer.part_round:
            # Further on; or a later question says that the part did not come, or that all begins anew.
            peer.offset = peer.sent = frame.offset
            peer.part_round = 0
        if self.role is Role.LEADER and sender in self._peers:
            self._feed(sender, now)

    def _quorum(self, values: list[int]) -> int:
        """What a majority of the voters has reached, of what each has."""
        return sorted(values, reverse=True)[len(values) // 2]

    def _acked(self, now: int) -> int | None:
        """When the latest round began that a majority of voters has heard; itself, it hears now."""
        since = []
        for name in self.members.voters:
            at = now if name == self.name else self._peers[name].acked
            since.append(-1 if at is None else at)
        latest = self._quorum(since)
        return None if latest < 0 else latest

    def _confirmed(self) -> int:
        return self._quorum(
            [self._round if name == self.name else self._peers[name].round for name in self.members.voters]
        )

    def _serve_reads(self) -> None:
        if not self._reads or self._log.term_at(self.commit) != self.term:
            return
        confirmed = self._confirmed()
        while self._reads and self._reads[0][1] <= confirmed:
            self._answers.append((self._reads.popleft()[0], self.commit))
        if self._reads and self._reads[0][1] > self._round:
            self._broadcast(self._now, fresh=True)

    def _count(self, now: int) -> None:
        """Commits what a majority of voters has synced, as long as it is of this term."""
        log = self._log
        reached = self._quorum(
            [log.stored if name == self.name else self._peers[name].match for name in self.members.voters]
        )
        # Danger: an entry of an earlier term can still be replaced, however many have it.
        if reached <= self.commit or log.term_at(reached) != self.term:
            return
        self._open -= sum(
            len(log.entry(at).data)
            for at in range(self.commit + 1, reached + 1)
            if log.entry(at).term == self.term
        )
        self.commit = reached
        self._serve_reads()
        # At once, not with the next beat: followers apply it that much sooner.
        self._begin_round(now, False)
        for to, peer in self._peers.items():
            if peer.way is Way.REPLICATE:
                self._feed(to, now, True)
        if self.name not in self.members.voters and log.changed <= self.commit:
            self._resign(now)

    def _resign(self, now: int) -> None:
        """It is no voter any more, for good: whoever has most of the log goes on."""
        heir = max(self.members.voters, key=lambda name: self._peers[name].match)
        self._frames.append((heir, Now(self.term)))
        self._step_down(now)

    # As a leader: changes.

    def _propose(self, kind: Kind, data: bytes, now: int) -> tuple[int, int]:
        index = self._log.append(Entry(self.term, kind, data))
        self._open += len(data)
        if kind is Kind.DATA:
            self._broadcast(now)
        return index, self.term

    def _hand_over(self, now: int) -> None:
        """Once the heir has all of the log, it is told; from then on there is no lease."""
        assert self._heir is not None
        if self._peers[self._heir].match == self._log.last:
            self._sent_now = True
            self._frames.append((self._heir, Now(self.term)))

    def _check(self, members: Members, now: int) -> None:
        old, names = self.members, members.names()
        if not members.voters:
            raise ValueError("no voters would be left")
        for some in (members.voters, members.learners):
            if list(some) != sorted(set(some)):
                raise ValueError("names are sorted, each there once")
        if len(set(names)) != len(names):
            raise ValueError("a name is a voter or a learner, not both")
        if self._log.term_at(self.commit) != self.term:
            raise ValueError("this leader has committed nothing yet; try again")
        if self._log.changed > self.commit:
            raise ValueError("another change of members is not yet committed")
        differ = [
            name
            for name in dict.fromkeys(old.names() + names)
            if (name in old.voters, name in old.learners)
            != (name in members.voters, name in members.learners)
        ]
        if len(differ) != 1:
            raise ValueError(f"one name at a time; {len(differ)} would change")
        name = differ[0]
        if name not in members.voters:
            return
        if name not in old.learners:
            raise ValueError(f"{name} is to be a learner first")
        if not self.hears(name, now):
            raise ValueError(f"{name} is not heard of")
        peer = self._peers[name]
        if peer.match + _CLOSE < self._log.last:
            raise ValueError(f"{name} is {self._log.last - peer.match} entries behind")

    def fingerprint(self) -> tuple:
        """Equal for two nodes that will do the same; times as spans from the last call."""
        now = self._now
        return (
            self.name,
            self.role.value,
            self.term,
            self._voted_for,
            self.leader,
            self.commit,
            self._applied,
            self._log.fingerprint(),
            tuple(sorted(self._votes)),
            max(0, self._heard + self._times.election - now),
            self._deadline - now,
            self._part and (self._part[0].index, self._part[0].check, len(self._part[1])),
            tuple(
                (name, *peer.fingerprint(), None if peer.acked is None else now - peer.acked)
                for name, peer in self._peers.items()
            ),
            self._heir,
            self._sent_now,
            tuple((to, encode_frame(frame)) for to, frame in self._frames),
            tuple(number for _, number in self._reads),
            self._open,
            self._term_stored == self.term,
            tuple((number, now - at) for number, at in self._rounds),
        )
