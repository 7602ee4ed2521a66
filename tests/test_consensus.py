"""The keepers' log: nodes in a virtual network with faults by seed, single edges, and the file."""

from __future__ import annotations

import contextlib
import copy
import heapq
import os
import random
import signal
import sqlite3
import subprocess
import sys
import tempfile
import unittest
from unittest import mock
from zlib import crc32

from cresstray.consensus import codec, log, log_sending, membership_changes
from cresstray.consensus.entries import Entry, EntryKind, Members, PendingWrite, PersistentState, Snapshot
from cresstray.consensus.raft import Node, Role, Timing
from cresstray.consensus.storage import Storage, UnusableFileError
from cresstray.transport import framing as frames

TIMES = Timing()


def written(durable: PersistentState, keep: PendingWrite) -> None:
    """What Storage.write does, in memory."""
    durable.term, durable.voted_for = keep.term, keep.voted_for
    rows = dict(enumerate(durable.entries, durable.snapshot.index + 1))
    if keep.truncate_from is not None:
        rows = {at: one for at, one in rows.items() if at < keep.truncate_from}
    for at, one in enumerate(keep.entries, keep.first_index):
        assert at not in rows
        rows[at] = one
    durable.snapshot = keep.snapshot or durable.snapshot
    rows = {at: one for at, one in rows.items() if at > durable.snapshot.index}
    assert list(rows) == list(range(durable.snapshot.index + 1, durable.snapshot.index + 1 + len(rows)))
    durable.entries = list(rows.values())


class Net:
    """Keepers by name, with files, clocks wrong by the drift, and links that have faults."""

    def __init__(self, seed: int, names: str, strangers: str = "") -> None:
        self.random, self.at, self.count = random.Random(seed), 0, 0
        members = Members(tuple(names))
        self.files = {name: PersistentState(name, 0, None, Snapshot(0, 0, members, b"")) for name in names}
        for name in strangers:
            self.files[name] = PersistentState(name, 0, None, Snapshot(0, 0, Members((), (name,)), b""))
        rates = [1 - TIMES.clock_drift / 1.01, 1 + TIMES.clock_drift / 1.01, 1.0]
        self.rates = {name: rates[(seed + at) % 3] for at, name in enumerate(self.files)}
        self.cut: set[tuple[str, str]] = set()
        self.drop = self.double = self.crash = self.compacts = 0.0
        self.delay = (200, 2_000)
        self.frozen: dict[str, int] = {}
        self.nodes: dict[str, Node] = {}
        self.queue: list[tuple] = []
        self.leaders: dict[int, str] = {}
        self.chosen: dict[int, Entry] = {}
        self.chosen_in: dict[int, int] = {}  # a term by which it was
        self.states = {0: b""}
        self.applied = dict.fromkeys(self.files, 0)
        self.asked: dict[tuple[int, int], bytes] = {}
        self.acknowledged: dict[int, bytes] = {}
        self.reads: dict[int, int] = {}
        self.told: dict[int, int | None] = {}
        for name in self.files:
            self.start(name)

    def clock(self, name: str) -> int:
        return int(self.at * self.rates[name]) + 1_000_000

    def start(self, name: str) -> None:
        self.nodes[name] = Node(copy.deepcopy(self.files[name]), TIMES, self.random.random, self.clock(name))
        self.applied[name] = 0
        self.pump(name)

    def stop(self, name: str) -> None:
        self.nodes.pop(name, None)

    def leader(self) -> Node | None:
        led = [node for node in self.nodes.values() if node.role is Role.LEADER]
        return max(led, key=lambda node: node.term, default=None)

    def pump(self, name: str) -> None:
        node, file = self.nodes[name], self.files[name]
        while ready := node.ready():
            # A crash before the sync, and one after it with some of the frames out.
            dies = self.random.random() if self.crash else 1.0
            if dies < self.crash:
                return self.stop(name)
            if ready.pending_write:
                written(file, ready.pending_write)
            for to, frame in ready.messages[:1] if dies < 2 * self.crash else ready.messages:
                self.send(name, to, frame)
            if dies < 2 * self.crash:
                return self.stop(name)
            if ready.restored_snapshot:
                at = ready.restored_snapshot.index
                assert self.states[at] == ready.restored_snapshot.data and at > self.applied[name], (
                    "the same state"
                )
                self.applied[name] = at
            for index, entry in ready.committed_entries:
                self.apply(name, index, entry)
            for ticket, index in ready.read_results:
                assert ticket not in self.told, "told once"
                assert index is None or index >= self.reads[ticket], "a read that went back"
                self.told[ticket] = index
            if ready.committed_entries and self.compacts and self.random.random() < self.compacts:
                node.compact(self.applied[name], self.states[self.applied[name]])
        if node.role is Role.LEADER and self.leaders.setdefault(node.term, name) != name:
            raise AssertionError("two leaders of one term")

    def apply(self, name: str, index: int, entry: Entry) -> None:
        assert index == self.applied[name] + 1, "one after the other"
        assert self.chosen.setdefault(index, entry) == entry, "two different entries were committed"
        self.chosen_in.setdefault(index, self.nodes[name].term)
        self.applied[name] = index
        self.states.setdefault(index, self.states[index - 1][-90:] + entry.data + b"%d." % index)
        if (index, entry.term) in self.asked and self.leaders.get(entry.term) == name:
            assert self.asked[index, entry.term] == entry.data
            self.acknowledged[index] = entry.data

    def send(self, name: str, to: str, frame: frames.Frame) -> None:
        assert len(frames.encode_frame(frame)) < 200_000
        for _ in range(1 + (self.random.random() < self.double)):
            if (name, to) not in self.cut and self.random.random() >= self.drop and to in self.files:
                self.count += 1
                at = self.at + self.random.randint(*self.delay)
                heapq.heappush(self.queue, (at, self.count, name, to, frame))

    def step(self, until: int) -> bool:
        """The next frame or tick; False where there is none before `until`."""
        wakes = [
            (max(self.frozen.get(name, 0), int((node.next_tick_us - 1_000_000) / self.rates[name]) + 1), name)
            for name, node in self.nodes.items()
        ]
        at, name = min(wakes, default=(until, ""))
        first = self.queue[0][0] if self.queue else until
        if min(at, first) >= until:
            self.at = max(self.at, until)
            return False
        self.at = max(self.at, min(at, first))
        if at < first:
            self.nodes[name].tick(self.clock(name))
        else:
            _, _, sender, name, frame = heapq.heappop(self.queue)
            if self.frozen.get(name, 0) > self.at:
                heapq.heappush(self.queue, (self.frozen[name], self.count, sender, name, frame))
                self.count += 1
                return True
            if name not in self.nodes or (sender, name) in self.cut:
                return True
            self.nodes[name].step(sender, frame, self.clock(name))
        self.pump(name)
        self.check(name)
        return True

    def check(self, name: str) -> None:
        leading = [
            one
            for one, node in self.nodes.items()
            if node.role is Role.LEADER and node.has_leader_lease(self.clock(one))
        ]
        assert len(leading) < 2, f"both lead: {leading}"
        node = self.nodes.get(name)
        if node is not None and node.role is Role.LEADER and node.elected_at_us == self.clock(name):
            for index, entry in self.chosen.items():
                if index > node._log.base_index and self.chosen_in[index] < node.term:
                    assert node._log.entry(index) == entry, "a leader without what is committed"

    def run(self, span: int) -> None:
        until = self.at + span
        while self.step(until):
            pass

    def match(self) -> None:
        """Logs with an equal term at an index are equal up to there."""
        assert len({node.fingerprint() for node in self.nodes.values()}) == len(self.nodes)
        logs = [node._log for node in self.nodes.values()]
        for one in logs:
            for other in logs:
                same = False
                for index in range(
                    min(one.last_index, other.last_index), max(one.base_index, other.base_index), -1
                ):
                    same = same or one.term_at(index) == other.term_at(index)
                    assert not same or one.entry(index) == other.entry(index), "logs don't match"

    def propose(self, node: Node, data: bytes) -> tuple[int, int] | None:
        made = node.propose(data, self.clock(node.name))
        if made:
            self.asked[made] = data
        self.pump(node.name)
        return made

    def read(self, node: Node) -> int:
        ticket = len(self.reads)
        self.reads[ticket] = max(self.acknowledged, default=0)
        if not node.request_read(ticket, self.clock(node.name)):
            self.told[ticket] = None
        self.pump(node.name)
        return ticket

    def change(self, node: Node, members: Members) -> tuple[int, int] | None:
        made = node.propose_members(members, self.clock(node.name))
        self.pump(node.name)
        return made

    def heal(self) -> None:
        self.cut.clear()
        self.frozen.clear()
        self.drop = self.double = self.crash = 0.0
        self.delay = (200, 2_000)
        for name in self.files:
            if name not in self.nodes:
                self.start(name)

    def elected(self) -> Node:
        """A leader that leads, within three seconds."""
        for _ in range(60):
            self.run(50_000)
            node = self.leader()
            if node is not None and node.has_leader_lease(self.clock(node.name)):
                return node
        raise AssertionError("no leader")

    def hurt(self) -> None:
        """Some faults at once, others than before."""
        chance, names = self.random.random, sorted(self.files)
        self.drop, self.double = chance() ** 3 * 0.4, chance() * 0.2
        self.crash = 0.002 if chance() < 0.3 else 0.0
        self.delay = (200, self.random.choice((2_000, 20_000, 150_000)))
        self.cut = {(a, b) for a in names for b in names if chance() < 0.15}
        if chance() < 0.4:
            side = {name for name in names if chance() < 0.5}
            self.cut |= {(a, b) for a in names for b in names if (a in side) != (b in side)}
        if chance() < 0.4:
            self.stop(self.random.choice(names))
        if chance() < 0.3:
            self.frozen[self.random.choice(names)] = self.at + int(chance() * 900_000)
        for name in names:
            if name not in self.nodes and chance() < 0.6:
                self.start(name)

    def work(self, number: int) -> None:
        chance = self.random.random
        led = [
            node
            for name, node in self.nodes.items()
            if node.role is Role.LEADER and self.frozen.get(name, 0) <= self.at
        ]
        for node in led:
            if chance() < 0.7:
                self.propose(node, b"%d" % number)
            if node.name in self.nodes and chance() < 0.5:
                self.read(node)
            if node.name in self.nodes and chance() < 0.04:
                node.transfer_leadership(self.random.choice(sorted(self.files)), self.clock(node.name))
                self.pump(node.name)
            if node.name in self.nodes and chance() < 0.15:
                try:
                    self.change(node, self.other(node.members))
                except ValueError:
                    pass

    def other(self, members: Members) -> Members:
        name = self.random.choice(sorted(self.files))
        voters, learners = set(members.voters), set(members.learners)
        if name in voters and len(voters) > 2:
            voters.remove(name)
        elif name in learners:
            learners.remove(name)
            voters.add(name)
        else:
            learners.add(name)
        return Members(tuple(sorted(voters)), tuple(sorted(learners - voters)))


SEEDS = 200


class Faults(unittest.TestCase):
    def test_seeds(self) -> None:
        steps = acknowledged = restored = changed = 0
        for seed in range(SEEDS):
            with (
                self.subTest(seed=seed),
                mock.patch.object(log_sending, "MAX_DATA_BYTES", 60),
                mock.patch.object(membership_changes, "MAX_DATA_BYTES", 60),
                mock.patch.object(log, "_MAX_RETAINED_ENTRIES", 6),
            ):
                net = Net(seed, "abc" if seed % 2 else "abcde", "xy"[: seed % 3])
                net.compacts = 0.1 if seed % 4 else 0.0
                net.run(700_000)
                for phase in range(8):
                    net.hurt()
                    for number in range(10):
                        net.run(int(net.random.random() * 80_000))
                        net.work(phase * 100 + number)
                    net.match()
                net.heal()
                made = None
                while made is None:  # unless it hands over just now
                    made = net.propose(net.elected(), b"last")
                net.run(1_500_000)
                self.assertIn(made[0], net.acknowledged)
                for index, data in net.acknowledged.items():
                    self.assertEqual(net.chosen[index].data, data)
                for name in net.leader().members.names():
                    self.assertEqual(net.applied[name], max(net.chosen), name)
                steps += net.count
                acknowledged += len(net.acknowledged)
                restored += sum(node._log.snapshot.index > 0 for node in net.nodes.values())
                changed += net.leader()._log.members != Members(tuple("abc" if seed % 2 else "abcde"))
        # That the faults left room for all that is to be seen.
        self.assertGreater(min(steps // 100, acknowledged // 10, restored, changed), 100)


NOTHING, DATA = Entry(1, EntryKind.NO_OP, b""), Entry(1, EntryKind.DATA, b"x")
ELECTION, LEASE = TIMES.election_timeout_us, int(TIMES.election_timeout_us * (1 - 2 * TIMES.clock_drift))


class Edges(unittest.TestCase):
    """One node, with frames by hand."""

    def node(
        self,
        voters: str = "abc",
        learners: str = "",
        term: int = 0,
        entries: tuple[Entry, ...] = (),
        name: str = "a",
    ) -> Node:
        members = Members(tuple(voters), tuple(learners))
        self.file = PersistentState(name, term, None, Snapshot(0, 0, members, b""), list(entries))
        return self.again(0)

    def again(self, now: int) -> Node:
        return Node(copy.deepcopy(self.file), TIMES, lambda: 0.0, now)

    def out(self, node: Node) -> list[tuple[str, frames.Frame]]:
        """What goes out; reads and what is committed are kept aside."""
        found, self.reads, self.committed = [], [], []
        while ready := node.ready():
            if ready.pending_write:
                written(self.file, ready.pending_write)
            found += ready.messages
            self.reads += ready.read_results
            self.committed += ready.committed_entries
        return found

    def led(self, **given: object) -> Node:
        """A leader at the election time, whose first entry only it has."""
        node = self.node(**given)
        node.tick(ELECTION)
        self.out(node)
        node.step("b", codec.PreVoteResponse(node.term + 1, True), ELECTION)
        self.out(node)
        node.step("b", codec.VoteResponse(node.term, True), ELECTION)
        self.assertIs(node.role, Role.LEADER)
        self.out(node)
        return node

    def hears(self, node: Node, now: int, sender: str = "b", number: int | None = None) -> list:
        """The follower has all, and has heard the last round, or that one."""
        number = node._round if number is None else number
        node.step(
            sender, codec.AppendEntriesResponse(node.term, number, True, node._log.last_index, 0, 0), now
        )
        return self.out(node)

    def test_promise_to_a_leader(self) -> None:
        vote = codec.VoteRequest(2, 9, 9, False)
        handed = codec.VoteRequest(2, 9, 9, True)
        for sender, frame, at, granted in (
            ("c", vote, 1_000 + ELECTION - 1, None),
            ("c", vote, 1_000 + ELECTION, True),
            ("c", handed, 2_000, True),
            ("z", handed, 2_000, None),
        ):
            for learns in (False, True):  # of the later term, from elsewhere, before it is asked
                node = self.node()
                node.step("b", codec.AppendEntries(1, 1, 0, 0, 0, []), 1_000)
                if learns:
                    node.step("c", codec.PreVoteResponse(2, False), 1_500)
                self.out(node)
                self.asks(node, sender, frame, at, granted)

    def asks(self, node: Node, sender: str, frame: codec.VoteRequest, at: int, granted: bool | None) -> None:
        """For a vote; None: it is not even answered."""
        node.step(sender, frame, at)
        self.assertEqual([one.granted for _, one in self.out(node)], [] if granted is None else [granted])

    def test_promises_outlive_a_restart(self) -> None:
        self.asks(self.node(), "c", codec.VoteRequest(2, 0, 0, False), ELECTION, True)
        for sender, at, granted in (("c", ELECTION - 1, None), ("c", ELECTION, True), ("b", ELECTION, False)):
            self.asks(self.again(0), sender, codec.VoteRequest(2, 9, 9, False), at, granted)

    def test_lease_counts_from_when_the_round_began(self) -> None:
        node = self.led()
        self.assertFalse(node.has_leader_lease(ELECTION))
        self.hears(node, ELECTION + 250_000)
        self.assertTrue(node.has_leader_lease(ELECTION + LEASE - 1))
        self.assertFalse(node.has_leader_lease(ELECTION + LEASE))

    def test_alone_nothing_is_committed_before_it_is_synced(self) -> None:
        node = self.node("a")
        node.tick(ELECTION)
        self.assertIs(node.role, Role.CANDIDATE)
        self.out(node)
        node.tick(node.next_tick_us)
        ready = node.ready()
        self.assertEqual((len(ready.pending_write.entries), ready.committed_entries), (1, []))
        self.assertEqual(node.ready().committed_entries, [(1, NOTHING)])
        node.propose_members(Members(("a",), ("b",)), node._now_us)
        self.assertEqual((node.ready().committed_entries, len(node.ready().committed_entries)), ([], 1))

    def test_heard_by_none_though_it_hears(self) -> None:
        node = self.led()
        self.hears(node, ELECTION)
        while node._now_us <= 2 * ELECTION and node.role is Role.LEADER:
            node.step("b", codec.PreVoteRequest(2, 9, 9), node._now_us)
            node.step("c", codec.AppendEntriesResponse(1, 0, True, 0, 0, 0), node._now_us)
            node.tick(node.next_tick_us)
        self.assertIs(node.role, Role.FOLLOWER)
        self.assertLessEqual(node._now_us, 2 * ELECTION + TIMES.heartbeat_interval_us)

    def test_back_by_whole_terms(self) -> None:
        for term, index, found in ((0, 7, 6), (2, 20, 19), (1, 1, 50)):
            node = self.led(term=3, entries=(DATA,) * 50 + (Entry(3, EntryKind.DATA, b""),) * 50)
            node.step("b", codec.AppendEntriesResponse(4, 1, False, 100, term, index), ELECTION)
            self.assertEqual([frame.prev_log_index for _, frame in self.out(node)], [found])

    def test_an_old_term_is_committed_with_the_own_only(self) -> None:
        node = self.led(term=1, entries=(DATA,))
        node.step("b", codec.AppendEntriesResponse(2, node._round, True, 1, 0, 0), ELECTION)
        self.assertEqual((node.commit_index, node.has_leader_lease(ELECTION)), (0, False))
        self.assertRaisesRegex(ValueError, "nothing yet", node.propose_members, Members(("a", "b")), ELECTION)
        self.hears(node, ELECTION)
        self.assertEqual((node.commit_index, node.has_leader_lease(ELECTION)), (2, True))

    def test_a_read_waits_for_a_round_after_it(self) -> None:
        node = self.led()
        self.hears(node, ELECTION)
        late = ELECTION + LEASE
        before = node._round
        self.assertTrue(node.request_read("t", late))
        self.hears(node, late, number=before)
        self.assertEqual(self.reads, [])
        self.hears(node, late)
        self.assertEqual(self.reads, [("t", 1)])
        node.request_read("lease", late)
        self.out(node)
        self.assertEqual(self.reads, [("lease", 1)])
        node.request_read("lost", late + LEASE)
        node.step("c", codec.AppendEntries(9, 1, 0, 0, 0, []), late + LEASE)
        self.out(node)
        self.assertEqual(self.reads, [("lost", None)])

    def test_who_does_not_vote_never_stands_nor_counts(self) -> None:
        for voters, learners in (("", "a"), ("bc", "a"), ("bc", "")):
            node = self.node(voters, learners)
            for _ in range(9):
                node.tick(node.next_tick_us)
            self.assertEqual((self.out(node), node.term), ([], 0))
        node = self.node("ab", "cd")
        node.tick(ELECTION)
        for sender in "cdz":
            node.step(sender, codec.PreVoteResponse(1, True), ELECTION)
        self.assertIs(node.role, Role.PRE_CANDIDATE)

    def test_changes_refused(self) -> None:
        node = self.led(learners="d")
        self.hears(node, ELECTION)
        for voters, learners, why in (
            ("abcd", "", "not heard"),
            ("abce", "d", "learner first"),
            ("ab", "", "2 would"),
            ("abc", "d", "0 would"),
            ("", "d", "no voters"),
            ("cba", "d", "sorted"),
            ("abc", "cd", "not both"),
        ):
            with self.subTest(why):
                members = Members(tuple(voters), tuple(learners))
                self.assertRaisesRegex(ValueError, why, node.propose_members, members, ELECTION)
        self.hears(node, ELECTION, "d")
        self.assertEqual(node.propose_members(Members(tuple("abcd")), ELECTION), (2, 1))
        self.assertRaisesRegex(
            ValueError, "not yet committed", node.propose_members, Members(tuple("abc")), ELECTION
        )

    def test_a_removed_leader_hands_over_once_that_is_committed(self) -> None:
        node = self.led()
        self.hears(node, ELECTION)
        node.propose_members(Members(("b", "c")), ELECTION)
        self.hears(node, ELECTION)
        self.assertIs(node.role, Role.LEADER)
        self.assertIn(("b", codec.TimeoutNow(1)), self.hears(node, ELECTION, "c"))
        self.assertIs(node.role, Role.FOLLOWER)

    def test_transfer_ends_the_lease_for_the_rest_of_the_term(self) -> None:
        node = self.led()
        self.assertTrue(node.transfer_leadership("b", ELECTION))
        self.assertIn(("b", codec.TimeoutNow(1)), self.hears(node, ELECTION))
        self.assertIsNone(node.propose(b"", ELECTION))
        while node.role is Role.LEADER:
            self.assertFalse(node.has_leader_lease(node.next_tick_us))
            node.tick(node.next_tick_us)
            self.hears(node, node._now_us)
        self.assertLessEqual(node._now_us, 2 * ELECTION + TIMES.heartbeat_interval_us)
        # To one that is never up to date: given up, and the leader goes on.
        node = self.led()
        self.assertTrue(node.transfer_leadership("c", ELECTION))
        while node._now_us < 2 * ELECTION:
            node.tick(node.next_tick_us)
            self.hears(node, node._now_us)
        self.assertTrue(node.has_leader_lease(node._now_us) and node.propose(b"", node._now_us))

    def test_a_snapshot_that_is_damaged_on_its_way(self) -> None:
        node = self.node()
        members = Members(("a", "b"))
        for check, here in ((7, 0), (crc32(b"ab"), 2)):
            for offset, part in ((0, b"a"), (1, b"b")):
                node.step("b", codec.InstallSnapshot(1, 1, 5, 1, members, 2, check, offset, part), 0)
            self.assertEqual(self.out(node)[-1][1].offset, here)
        self.assertEqual((node.commit_index, node.members, self.file.snapshot.data), (5, members, b"ab"))

    def test_a_list_that_is_cut_counts_no_more(self) -> None:
        node = self.node()
        listed = Entry(1, EntryKind.MEMBERS, Members(("a", "b")).encode())
        node.step("b", codec.AppendEntries(1, 1, 0, 0, 0, [listed]), 0)
        self.assertEqual(node.members, Members(("a", "b")))
        node.step("c", codec.AppendEntries(2, 1, 0, 0, 0, [Entry(2, 0, b"")]), 0)
        self.assertEqual(node.members, Members(tuple("abc")))

    def test_wrong_frames(self) -> None:
        for frame in (
            codec.AppendEntries(1, 1, 0, 0, 0, [Entry(2, 0, b"")]),
            codec.AppendEntries(1, 1, 0, 0, 0, [Entry(1, EntryKind.MEMBERS, b"?")]),
            codec.AppendEntries(1, 1, 0, 5, 0, []),
            codec.InstallSnapshot(1, 1, 5, 1, Members(()), 1, 0, 0, b"ab"),
        ):
            self.assertRaises(frames.FramingError, self.node().step, "b", frame, 0)
        node = self.node()
        node.step("b", codec.AppendEntries(1, 1, 0, 0, 0, []), 0)
        self.assertRaises(frames.FramingError, node.step, "c", codec.AppendEntries(1, 1, 0, 0, 0, []), 0)


class Together(unittest.TestCase):
    def test_heard_by_nobody_steps_down(self) -> None:
        net = Net(1, "abc")
        first = net.elected()
        net.cut = {(first.name, other) for other in "abc"}
        net.run(ELECTION + 2 * TIMES.heartbeat_interval_us)
        self.assertIs(first.role, Role.FOLLOWER)
        self.assertNotEqual(net.elected().name, first.name)

    def test_change_during_a_split(self) -> None:
        net = Net(2, "abcde")
        old = net.elected()
        other, *rest = [name for name in "abcde" if name != old.name]
        side = {old.name, other}
        net.cut = {(a, b) for a in "abcde" for b in "abcde" if (a in side) != (b in side)}
        made = net.change(old, Members(tuple(sorted({*rest, old.name}))))
        net.run(3 * ELECTION)
        new = net.elected()
        self.assertIn(new.name, rest)
        net.change(new, Members(tuple(sorted({*rest, other}))))
        net.run(100_000)
        net.heal()
        net.run(1_000_000)
        self.assertNotEqual(net.chosen[made[0]].data, Members(tuple(sorted({*rest, old.name}))).encode())
        self.assertEqual(net.leader().members, Members(tuple(sorted({*rest, other}))))

    def test_install_while_members_change(self) -> None:
        with (
            mock.patch.object(log_sending, "MAX_DATA_BYTES", 60),
            mock.patch.object(membership_changes, "MAX_DATA_BYTES", 60),
            mock.patch.object(log, "_MAX_RETAINED_ENTRIES", 2),
        ):
            net = Net(3, "abc", "x")
            node = net.elected()
            for number in range(40):
                net.propose(node, b"%050d" % number)
                net.run(5_000)
            node.compact(net.applied[node.name], net.states[net.applied[node.name]])
            net.change(node, Members(tuple("abc"), ("x",)))
            net.run(6_000)
            self.assertTrue(0 < node._peers["x"].received_bytes < len(node._log.snapshot.data))
            net.cut = {(node.name, "x")}
            net.change(node, Members(tuple(sorted({*"abc"} - {"abc".replace(node.name, "")[0]})), ("x",)))
            net.run(100_000)
            net.cut.clear()
            net.run(300_000)
            self.assertEqual(net.applied["x"], net.applied[node.name])
            self.assertEqual(net.nodes["x"].members, node.members)


class File(unittest.TestCase):
    def setUp(self) -> None:
        self.place = tempfile.TemporaryDirectory()
        self.addCleanup(self.place.cleanup)
        self.path = os.path.join(self.place.name, "k1")
        Storage.create(self.path, "k1/1", Members(("k1/1",)))

    def fill(self) -> None:
        file = Storage(self.path)
        file.write(
            PendingWrite(
                3, "k2/1", None, None, 1, [Entry(1, EntryKind.DATA, b"%d" % at * 99) for at in range(60)]
            )
        )
        file.write(
            PendingWrite(3, "k2/1", Snapshot(20, 1, Members(("k1/1", "k2/1")), b"s" * 9000), 50, 50, [DATA])
        )
        file.close()

    def refused(self, why: str) -> None:
        with self.assertRaisesRegex(UnusableFileError, why) as told:
            with contextlib.closing(Storage(self.path)) as file:
                file.load()
        self.assertNotIn("\n", str(told.exception))

    def test_kept(self) -> None:
        self.fill()
        file = Storage(self.path)
        self.refused("another process")
        self.assertRaisesRegex(UnusableFileError, "already", Storage.create, self.path, "k", Members(()))
        found = file.load()
        self.assertEqual(
            (found.name, found.term, found.voted_for, len(found.entries), found.snapshot.index),
            ("k1/1", 3, "k2/1", 30, 20),
        )
        file._connection.execute("PRAGMA max_page_count = 1")
        big = [Entry(3, EntryKind.DATA, b"x" * 100_000)] * 9
        self.assertRaisesRegex(OSError, "full", file.write, PendingWrite(4, None, None, 30, 30, big))
        self.assertEqual(file.load(), found)
        file.close()
        again = Storage(self.path)
        self.assertEqual(again.load(), found)
        again.close()

    def test_damage(self) -> None:
        self.fill()
        with open(self.path, "rb") as file:
            whole = file.read()
        for change, why in (
            ("UPDATE entries SET data = x'00' WHERE at = 30", "entry 30"),
            ("UPDATE entries SET term = 2 WHERE at = 30", "entry 30"),
            ("DELETE FROM entries WHERE at = 30", "where 30"),
            ("DELETE FROM entries WHERE at = 21", "where 21"),
            ("UPDATE snapshot SET data = x'00'", "snapshot"),
            ("DELETE FROM snapshot", "snapshot"),
            ("UPDATE meta SET term = 2", "term and vote"),
            ("UPDATE meta SET voted_for = NULL", "vote"),
            ("DELETE FROM meta", "vote"),
            ("DROP TABLE entries", "no such table"),
            ("PRAGMA user_version = 2", "format 2"),
            ("PRAGMA user_version = 0", "format 0"),
            ("PRAGMA application_id = 5", "not a keeper's"),
        ):
            with self.subTest(change):
                with open(self.path, "wb") as file:
                    file.write(whole)
                base = sqlite3.connect(self.path)
                base.execute("PRAGMA synchronous = OFF")
                base.execute(change)
                base.commit()
                base.close()
                self.refused(why)

    def test_torn(self) -> None:
        self.fill()
        with open(self.path, "rb") as file:
            whole = file.read()
        for torn in (
            b"",
            whole[:100],
            whole[:4096],
            whole[:-4096],
            whole[:-1000],
            b"\0" * len(whole),
            *(
                whole[:at] + bytes(512) + whole[at + 512 :]
                for at in range(0, len(whole), 512)
                if any(whole[at : at + 512]) and at < 4096
            ),
        ):
            with open(self.path, "wb") as file:
                file.write(torn)
            self.refused("")
        # Any single byte of what a row holds: told, or the same as before.
        for at in range(0, len(whole), 611):
            with open(self.path, "wb") as file:
                file.write(whole[:at] + bytes([whole[at] ^ 0x55]) + whole[at + 1 :])
            try:
                file = Storage(self.path)
                found = file.load()
                file.close()
                self.assertEqual((found.term, len(found.entries), found.entries[0].data), (3, 30, b"20" * 99))
            except UnusableFileError:
                pass
        os.unlink(self.path)
        self.refused("no such file")

    def test_who_comes_empty_gets_the_founders_list(self) -> None:
        """Before, it was fed the entries alone, and its first snapshot named nobody."""
        with contextlib.ExitStack() as folders:
            net = Net(5, "ab", "c")
            for name, members in [*((one, Members(("a", "b"))) for one in "ab"), ("c", Members((), ("c",)))]:
                path = f"{folders.enter_context(tempfile.TemporaryDirectory())}/k"
                Storage.create(path, name, members)
                file = Storage(path)
                net.files[name] = file.load()
                file.close()
            net.states[1] = b""
            for name in "abc":
                net.start(name)
            net.run(2_000_000)
            leader = net.leader()
            leader.propose_members(Members(("a", "b"), ("c",)), net.clock(leader.name))
            net.pump(leader.name)
            net.run(1_000_000)
            c = net.nodes["c"]
            self.assertEqual((c.members, c.commit_index), (leader.members, leader.commit_index))
            # All that a snapshot of what it has by now would name, also before the first change.
            self.assertTrue(all("a" in members.voters for _, members in c._log._member_lists))

    def test_killed_while_it_writes(self) -> None:
        code = (
            "import sys; from cresstray.consensus.storage import *\n"
            "file = Storage(sys.argv[1]); at = len(file.load().entries)\n"
            "while True:\n"
            "    file.write(PendingWrite(at + 1, None, None, None, at + 2, [Entry(1, 1, b'x' * 3000)] * 3))\n"
            "    at += 3\n"
            "    print(at, flush=True)\n"
        )
        for lines in (1, 7, 20):
            child = subprocess.Popen([sys.executable, "-c", code, self.path], stdout=subprocess.PIPE)
            told = [child.stdout.readline() for _ in range(lines)]
            child.send_signal(signal.SIGKILL)
            told += child.stdout.read().splitlines()
            child.wait()
            child.stdout.close()
            file = Storage(self.path)
            kept = len(file.load().entries)
            self.assertTrue(int(told[-1]) <= kept <= int(told[-1]) + 3 and kept % 3 == 0, (told[-1], kept))
            file.close()


if __name__ == "__main__":
    unittest.main()
