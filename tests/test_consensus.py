"""The Raft implementation: simulated clusters with random faults, single nodes, and the node's file."""

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
from cresstray.transport import framing

TIMING = Timing()


def apply_write(state: PersistentState, write: PendingWrite) -> None:
    """Applies a write to a state in memory, as Storage.write does to the file."""
    state.term, state.voted_for = write.term, write.voted_for
    entries = dict(enumerate(state.entries, state.snapshot.index + 1))
    if write.truncate_from is not None:
        entries = {index: entry for index, entry in entries.items() if index < write.truncate_from}
    for index, entry in enumerate(write.entries, write.first_index):
        assert index not in entries
        entries[index] = entry
    state.snapshot = write.snapshot or state.snapshot
    entries = {index: entry for index, entry in entries.items() if index > state.snapshot.index}
    assert list(entries) == list(range(state.snapshot.index + 1, state.snapshot.index + 1 + len(entries)))
    state.entries = list(entries.values())


class SimulatedCluster:
    """Nodes with persistent states, drifting clocks and faulty links, in virtual time.

    Checks Raft's safety properties after each event.
    """

    def __init__(self, seed: int, names: str, non_members: str = "") -> None:
        self.random, self.now_us, self.sent_count = random.Random(seed), 0, 0
        members = Members(tuple(names))
        self.states = {name: PersistentState(name, 0, None, Snapshot(0, 0, members, b"")) for name in names}
        for name in non_members:
            self.states[name] = PersistentState(name, 0, None, Snapshot(0, 0, Members((), (name,)), b""))
        rates = [1 - TIMING.clock_drift / 1.01, 1 + TIMING.clock_drift / 1.01, 1.0]
        self.clock_rates = {name: rates[(seed + position) % 3] for position, name in enumerate(self.states)}
        self.cut_links: set[tuple[str, str]] = set()
        self.drop_rate = self.duplicate_rate = self.crash_rate = self.compact_rate = 0.0
        self.delay_range_us = (200, 2_000)
        self.frozen_until_us: dict[str, int] = {}
        self.sync_us = 0  # how long each write to a node's file takes; the node does nothing else meanwhile
        self.nodes: dict[str, Node] = {}
        self.in_flight: list[tuple] = []
        self.leader_by_term: dict[int, str] = {}
        self.committed: dict[int, Entry] = {}
        self.committed_in_term: dict[int, int] = {}  # a term in which it was committed
        self.state_by_index = {0: b""}
        self.applied_index = dict.fromkeys(self.states, 0)
        self.proposed: dict[tuple[int, int], bytes] = {}
        self.acknowledged: dict[int, bytes] = {}
        self.min_read_index: dict[int, int] = {}
        self.read_results: dict[int, int | None] = {}
        for name in self.states:
            self.start(name)

    def clock(self, name: str) -> int:
        return int(self.now_us * self.clock_rates[name]) + 1_000_000

    def start(self, name: str) -> None:
        self.nodes[name] = Node(
            copy.deepcopy(self.states[name]), TIMING, self.random.random, self.clock(name)
        )
        self.applied_index[name] = 0
        self.process_ready(name)

    def stop(self, name: str) -> None:
        self.nodes.pop(name, None)

    def leader(self) -> Node | None:
        leaders = [node for node in self.nodes.values() if node.role is Role.LEADER]
        return max(leaders, key=lambda node: node.term, default=None)

    def process_ready(self, name: str) -> None:
        node, state = self.nodes[name], self.states[name]
        synced_after_us = 0
        while ready := node.ready():
            # Crashes before the sync, or after it with only some of the messages sent.
            crash_draw = self.random.random() if self.crash_rate else 1.0
            if crash_draw < self.crash_rate:
                return self.stop(name)
            if ready.pending_write:
                apply_write(state, ready.pending_write)
                if self.sync_us:
                    synced_after_us += self.sync_us
                    self.frozen_until_us[name] = self.now_us + synced_after_us
                    node.on_synced(self.sync_us)
            for to, frame in ready.messages[:1] if crash_draw < 2 * self.crash_rate else ready.messages:
                self.send(name, to, frame, synced_after_us)
            if crash_draw < 2 * self.crash_rate:
                return self.stop(name)
            if ready.restored_snapshot:
                snapshot_index = ready.restored_snapshot.index
                assert (
                    self.state_by_index[snapshot_index] == ready.restored_snapshot.data
                    and snapshot_index > self.applied_index[name]
                ), "a restored snapshot differs from the state or is older"
                self.applied_index[name] = snapshot_index
            for index, entry in ready.committed_entries:
                self.apply(name, index, entry)
            for token, index in ready.read_results:
                assert token not in self.read_results, "a read has two results"
                assert index is None or index >= self.min_read_index[token], (
                    "a read misses an acknowledged write"
                )
                self.read_results[token] = index
            if ready.committed_entries and self.compact_rate and self.random.random() < self.compact_rate:
                node.compact(self.applied_index[name], self.state_by_index[self.applied_index[name]])
        if node.role is Role.LEADER and self.leader_by_term.setdefault(node.term, name) != name:
            raise AssertionError("two leaders of one term")

    def apply(self, name: str, index: int, entry: Entry) -> None:
        assert index == self.applied_index[name] + 1, "entries are not applied in order"
        assert self.committed.setdefault(index, entry) == entry, "two different entries were committed"
        self.committed_in_term.setdefault(index, self.nodes[name].term)
        self.applied_index[name] = index
        self.state_by_index.setdefault(
            index, self.state_by_index[index - 1][-90:] + entry.data + b"%d." % index
        )
        if (index, entry.term) in self.proposed and self.leader_by_term.get(entry.term) == name:
            assert self.proposed[index, entry.term] == entry.data
            self.acknowledged[index] = entry.data

    def send(self, name: str, to: str, frame: framing.Frame, after_us: int = 0) -> None:
        assert len(framing.encode_frame(frame)) < 200_000
        for _ in range(1 + (self.random.random() < self.duplicate_rate)):
            if (
                (name, to) not in self.cut_links
                and self.random.random() >= self.drop_rate
                and to in self.states
            ):
                self.sent_count += 1
                arrival_us = self.now_us + after_us + self.random.randint(*self.delay_range_us)
                heapq.heappush(self.in_flight, (arrival_us, self.sent_count, name, to, frame))

    def run_next_event(self, end_us: int) -> bool:
        """Delivers the next message or tick; returns False if there is none before `end_us`."""
        ticks = [
            (
                max(
                    self.frozen_until_us.get(name, 0),
                    int((node.next_tick_us - 1_000_000) / self.clock_rates[name]) + 1,
                ),
                name,
            )
            for name, node in self.nodes.items()
        ]
        tick_us, name = min(ticks, default=(end_us, ""))
        arrival_us = self.in_flight[0][0] if self.in_flight else end_us
        if min(tick_us, arrival_us) >= end_us:
            self.now_us = max(self.now_us, end_us)
            return False
        self.now_us = max(self.now_us, min(tick_us, arrival_us))
        if tick_us < arrival_us:
            self.nodes[name].tick(self.clock(name))
        else:
            _, _, sender, name, frame = heapq.heappop(self.in_flight)
            if self.frozen_until_us.get(name, 0) > self.now_us:
                heapq.heappush(
                    self.in_flight, (self.frozen_until_us[name], self.sent_count, sender, name, frame)
                )
                self.sent_count += 1
                return True
            if name not in self.nodes or (sender, name) in self.cut_links:
                return True
            self.nodes[name].step(sender, frame, self.clock(name))
        self.process_ready(name)
        self.check_leaders(name)
        return True

    def check_leaders(self, name: str) -> None:
        lease_holders = [
            holder
            for holder, node in self.nodes.items()
            if node.role is Role.LEADER and node.has_leader_lease(self.clock(holder))
        ]
        assert len(lease_holders) < 2, f"two leaders have a lease: {lease_holders}"
        node = self.nodes.get(name)
        if node is not None and node.role is Role.LEADER and node.elected_at_us == self.clock(name):
            for index, entry in self.committed.items():
                if index > node._log.base_index and self.committed_in_term[index] < node.term:
                    assert node._log.entry(index) == entry, "a leader lacks a committed entry"

    def run(self, duration_us: int) -> None:
        end_us = self.now_us + duration_us
        while self.run_next_event(end_us):
            pass

    def check_logs_match(self) -> None:
        """Checks that logs with the same term at an index are equal up to that index."""
        assert len({node.fingerprint() for node in self.nodes.values()}) == len(self.nodes)
        logs = [node._log for node in self.nodes.values()]
        for log_a in logs:
            for log_b in logs:
                is_same_term = False
                for index in range(
                    min(log_a.last_index, log_b.last_index), max(log_a.base_index, log_b.base_index), -1
                ):
                    is_same_term = is_same_term or log_a.term_at(index) == log_b.term_at(index)
                    assert not is_same_term or log_a.entry(index) == log_b.entry(index), "logs don't match"

    def propose(self, node: Node, data: bytes) -> tuple[int, int] | None:
        proposed = node.propose(data, self.clock(node.name))
        if proposed:
            self.proposed[proposed] = data
        self.process_ready(node.name)
        return proposed

    def read(self, node: Node) -> int:
        token = len(self.min_read_index)
        self.min_read_index[token] = max(self.acknowledged, default=0)
        if not node.request_read(token, self.clock(node.name)):
            self.read_results[token] = None
        self.process_ready(node.name)
        return token

    def propose_members(self, node: Node, members: Members) -> tuple[int, int] | None:
        proposed = node.propose_members(members, self.clock(node.name))
        self.process_ready(node.name)
        return proposed

    def heal(self) -> None:
        self.cut_links.clear()
        self.frozen_until_us.clear()
        self.drop_rate = self.duplicate_rate = self.crash_rate = 0.0
        self.delay_range_us = (200, 2_000)
        for name in self.states:
            if name not in self.nodes:
                self.start(name)

    def wait_for_leader(self) -> Node:
        """Runs until there is a leader with a lease, for three seconds at most."""
        for _ in range(60):
            self.run(50_000)
            node = self.leader()
            if node is not None and node.has_leader_lease(self.clock(node.name)):
                return node
        raise AssertionError("no leader")

    def inject_faults(self) -> None:
        """Replaces the present faults by random ones."""
        draw, names = self.random.random, sorted(self.states)
        self.drop_rate, self.duplicate_rate = draw() ** 3 * 0.4, draw() * 0.2
        self.crash_rate = 0.002 if draw() < 0.3 else 0.0
        self.delay_range_us = (200, self.random.choice((2_000, 20_000, 150_000)))
        self.cut_links = {(a, b) for a in names for b in names if draw() < 0.15}
        if draw() < 0.4:
            side = {name for name in names if draw() < 0.5}
            self.cut_links |= {(a, b) for a in names for b in names if (a in side) != (b in side)}
        if draw() < 0.4:
            self.stop(self.random.choice(names))
        if draw() < 0.3:
            self.frozen_until_us[self.random.choice(names)] = self.now_us + int(draw() * 900_000)
        for name in names:
            if name not in self.nodes and draw() < 0.6:
                self.start(name)

    def run_workload(self, number: int) -> None:
        draw = self.random.random
        leaders = [
            node
            for name, node in self.nodes.items()
            if node.role is Role.LEADER and self.frozen_until_us.get(name, 0) <= self.now_us
        ]
        for node in leaders:
            if draw() < 0.7:
                self.propose(node, b"%d" % number)
            if node.name in self.nodes and draw() < 0.5:
                self.read(node)
            if node.name in self.nodes and draw() < 0.04:
                node.transfer_leadership(self.random.choice(sorted(self.states)), self.clock(node.name))
                self.process_ready(node.name)
            if node.name in self.nodes and draw() < 0.15:
                try:
                    self.propose_members(node, self.random_members(node.members))
                except ValueError:
                    pass

    def random_members(self, members: Members) -> Members:
        name = self.random.choice(sorted(self.states))
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


class RandomFaultTest(unittest.TestCase):
    def test_safety_under_random_faults(self) -> None:
        steps = acknowledged = restored = changed = 0
        for seed in range(SEEDS):
            with (
                self.subTest(seed=seed),
                mock.patch.object(log_sending, "MAX_DATA_BYTES", 60),
                mock.patch.object(membership_changes, "MAX_DATA_BYTES", 60),
                mock.patch.object(log, "_MAX_RETAINED_ENTRIES", 6),
            ):
                cluster = SimulatedCluster(seed, "abc" if seed % 2 else "abcde", "xy"[: seed % 3])
                cluster.compact_rate = 0.1 if seed % 4 else 0.0
                cluster.run(700_000)
                for phase in range(8):
                    cluster.inject_faults()
                    for number in range(10):
                        cluster.run(int(cluster.random.random() * 80_000))
                        cluster.run_workload(phase * 100 + number)
                    cluster.check_logs_match()
                cluster.heal()
                proposed = None
                while proposed is None:  # the leader may be transferring leadership
                    proposed = cluster.propose(cluster.wait_for_leader(), b"last")
                cluster.run(1_500_000)
                self.assertIn(proposed[0], cluster.acknowledged)
                for index, data in cluster.acknowledged.items():
                    self.assertEqual(cluster.committed[index].data, data)
                for name in cluster.leader().members.names():
                    self.assertEqual(cluster.applied_index[name], max(cluster.committed), name)
                steps += cluster.sent_count
                acknowledged += len(cluster.acknowledged)
                restored += sum(node._log.snapshot.index > 0 for node in cluster.nodes.values())
                changed += cluster.leader()._log.members != Members(tuple("abc" if seed % 2 else "abcde"))
        # The faults must leave room for messages, commits, snapshots and membership changes.
        self.assertGreater(min(steps // 100, acknowledged // 10, restored, changed), 100)


NO_OP, DATA = Entry(1, EntryKind.NO_OP, b""), Entry(1, EntryKind.DATA, b"x")
ELECTION_TIMEOUT_US, LEASE_US = (
    TIMING.election_timeout_us,
    int(TIMING.election_timeout_us * (1 - 2 * TIMING.clock_drift)),
)


class SingleNodeTest(unittest.TestCase):
    """One node and hand-written messages."""

    def make_node(
        self,
        voters: str = "abc",
        learners: str = "",
        term: int = 0,
        entries: tuple[Entry, ...] = (),
        name: str = "a",
    ) -> Node:
        members = Members(tuple(voters), tuple(learners))
        self.state = PersistentState(name, term, None, Snapshot(0, 0, members, b""), list(entries))
        return self.restart(0)

    def restart(self, now_us: int) -> Node:
        return Node(copy.deepcopy(self.state), TIMING, lambda: 0.0, now_us)

    def collect_messages(self, node: Node) -> list[tuple[str, framing.Frame]]:
        """Does the node's work and returns its messages; stores read results and committed entries."""
        messages, self.read_results, self.committed_entries = [], [], []
        while ready := node.ready():
            if ready.pending_write:
                apply_write(self.state, ready.pending_write)
            messages += ready.messages
            self.read_results += ready.read_results
            self.committed_entries += ready.committed_entries
        return messages

    def make_leader(self, **given: object) -> Node:
        """Returns a leader elected at the election timeout, whose first entry is not replicated yet."""
        node = self.make_node(**given)
        node.tick(ELECTION_TIMEOUT_US)
        self.collect_messages(node)
        node.step("b", codec.PreVoteResponse(node.term + 1, True), ELECTION_TIMEOUT_US)
        self.collect_messages(node)
        node.step("b", codec.VoteResponse(node.term, True), ELECTION_TIMEOUT_US)
        self.assertIs(node.role, Role.LEADER)
        self.collect_messages(node)
        return node

    def acknowledge(
        self, node: Node, now_us: int, sender: str = "b", round_number: int | None = None
    ) -> list:
        """Delivers a response to the last round, or the given one, from a follower with the whole log."""
        round_number = node._round if round_number is None else round_number
        node.step(
            sender,
            codec.AppendEntriesResponse(node.term, round_number, True, node._log.last_index, 0, 0),
            now_us,
        )
        return self.collect_messages(node)

    def test_grants_no_vote_within_election_timeout_of_leader_contact(self) -> None:
        vote = codec.VoteRequest(2, 9, 9, False)
        transfer_vote = codec.VoteRequest(2, 9, 9, True)
        for sender, frame, now_us, granted in (
            ("c", vote, 1_000 + ELECTION_TIMEOUT_US - 1, None),
            ("c", vote, 1_000 + ELECTION_TIMEOUT_US, True),
            ("c", transfer_vote, 2_000, True),
            ("z", transfer_vote, 2_000, None),
        ):
            for learns_later_term in (False, True):  # from another message, before the vote request
                node = self.make_node()
                node.step("b", codec.AppendEntries(1, 1, 0, 0, 0, []), 1_000)
                if learns_later_term:
                    node.step("c", codec.PreVoteResponse(2, False), 1_500)
                self.collect_messages(node)
                self.assert_vote_result(node, sender, frame, now_us, granted)

    def assert_vote_result(
        self, node: Node, sender: str, frame: codec.VoteRequest, now_us: int, granted: bool | None
    ) -> None:
        """Delivers a vote request and checks the response; None: there is no response."""
        node.step(sender, frame, now_us)
        self.assertEqual(
            [response.granted for _, response in self.collect_messages(node)],
            [] if granted is None else [granted],
        )

    def test_restarted_node_keeps_its_vote_and_waits_an_election_timeout(self) -> None:
        self.assert_vote_result(
            self.make_node(), "c", codec.VoteRequest(2, 0, 0, False), ELECTION_TIMEOUT_US, True
        )
        for sender, now_us, granted in (
            ("c", ELECTION_TIMEOUT_US - 1, None),
            ("c", ELECTION_TIMEOUT_US, True),
            ("b", ELECTION_TIMEOUT_US, False),
        ):
            self.assert_vote_result(
                self.restart(0), sender, codec.VoteRequest(2, 9, 9, False), now_us, granted
            )

    def test_lease_counts_from_start_of_acknowledged_round(self) -> None:
        node = self.make_leader()
        self.assertFalse(node.has_leader_lease(ELECTION_TIMEOUT_US))
        self.acknowledge(node, ELECTION_TIMEOUT_US + 250_000)
        self.assertTrue(node.has_leader_lease(ELECTION_TIMEOUT_US + LEASE_US - 1))
        self.assertFalse(node.has_leader_lease(ELECTION_TIMEOUT_US + LEASE_US))

    def test_single_voter_commits_only_after_sync(self) -> None:
        node = self.make_node("a")
        node.tick(ELECTION_TIMEOUT_US)
        self.assertIs(node.role, Role.CANDIDATE)
        self.collect_messages(node)
        node.tick(node.next_tick_us)
        ready = node.ready()
        self.assertEqual((len(ready.pending_write.entries), ready.committed_entries), (1, []))
        self.assertEqual(node.ready().committed_entries, [(1, NO_OP)])
        node.propose_members(Members(("a",), ("b",)), node._now_us)
        self.assertEqual((node.ready().committed_entries, len(node.ready().committed_entries)), ([], 1))

    def test_leader_without_responses_steps_down(self) -> None:
        node = self.make_leader()
        self.acknowledge(node, ELECTION_TIMEOUT_US)
        while node._now_us <= 2 * ELECTION_TIMEOUT_US and node.role is Role.LEADER:
            node.step("b", codec.PreVoteRequest(2, 9, 9), node._now_us)
            node.step("c", codec.AppendEntriesResponse(1, 0, True, 0, 0, 0), node._now_us)
            node.tick(node.next_tick_us)
        self.assertIs(node.role, Role.FOLLOWER)
        self.assertLessEqual(node._now_us, 2 * ELECTION_TIMEOUT_US + TIMING.heartbeat_interval_us)

    def test_next_index_skips_whole_terms_on_mismatch(self) -> None:
        for hint_term, hint_index, expected_index in ((0, 7, 6), (2, 20, 19), (1, 1, 50)):
            node = self.make_leader(term=3, entries=(DATA,) * 50 + (Entry(3, EntryKind.DATA, b""),) * 50)
            node.step(
                "b", codec.AppendEntriesResponse(4, 1, False, 100, hint_term, hint_index), ELECTION_TIMEOUT_US
            )
            self.assertEqual(
                [frame.prev_log_index for _, frame in self.collect_messages(node)], [expected_index]
            )

    def test_entry_of_earlier_term_is_committed_with_one_of_own_term_only(self) -> None:
        node = self.make_leader(term=1, entries=(DATA,))
        node.step("b", codec.AppendEntriesResponse(2, node._round, True, 1, 0, 0), ELECTION_TIMEOUT_US)
        self.assertEqual((node.commit_index, node.has_leader_lease(ELECTION_TIMEOUT_US)), (0, False))
        self.assertRaisesRegex(
            ValueError, "nothing yet", node.propose_members, Members(("a", "b")), ELECTION_TIMEOUT_US
        )
        self.acknowledge(node, ELECTION_TIMEOUT_US)
        self.assertEqual((node.commit_index, node.has_leader_lease(ELECTION_TIMEOUT_US)), (2, True))

    def test_read_without_lease_waits_for_a_later_round(self) -> None:
        node = self.make_leader()
        self.acknowledge(node, ELECTION_TIMEOUT_US)
        late_us = ELECTION_TIMEOUT_US + LEASE_US
        previous_round = node._round
        self.assertTrue(node.request_read("t", late_us))
        self.acknowledge(node, late_us, round_number=previous_round)
        self.assertEqual(self.read_results, [])
        self.acknowledge(node, late_us)
        self.assertEqual(self.read_results, [("t", 1)])
        node.request_read("lease", late_us)
        self.collect_messages(node)
        self.assertEqual(self.read_results, [("lease", 1)])
        node.request_read("lost", late_us + LEASE_US)
        node.step("c", codec.AppendEntries(9, 1, 0, 0, 0, []), late_us + LEASE_US)
        self.collect_messages(node)
        self.assertEqual(self.read_results, [("lost", None)])

    def test_non_voters_start_no_election_and_their_votes_do_not_count(self) -> None:
        for voters, learners in (("", "a"), ("bc", "a"), ("bc", "")):
            node = self.make_node(voters, learners)
            for _ in range(9):
                node.tick(node.next_tick_us)
            self.assertEqual((self.collect_messages(node), node.term), ([], 0))
        node = self.make_node("ab", "cd")
        node.tick(ELECTION_TIMEOUT_US)
        for sender in "cdz":
            node.step(sender, codec.PreVoteResponse(1, True), ELECTION_TIMEOUT_US)
        self.assertIs(node.role, Role.PRE_CANDIDATE)

    def test_invalid_membership_changes_are_refused(self) -> None:
        node = self.make_leader(learners="d")
        self.acknowledge(node, ELECTION_TIMEOUT_US)
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
                self.assertRaisesRegex(ValueError, why, node.propose_members, members, ELECTION_TIMEOUT_US)
        self.acknowledge(node, ELECTION_TIMEOUT_US, "d")
        self.assertEqual(node.propose_members(Members(tuple("abcd")), ELECTION_TIMEOUT_US), (2, 1))
        self.assertRaisesRegex(
            ValueError, "not yet committed", node.propose_members, Members(tuple("abc")), ELECTION_TIMEOUT_US
        )

    def test_removed_leader_steps_down_once_removal_is_committed(self) -> None:
        node = self.make_leader()
        self.acknowledge(node, ELECTION_TIMEOUT_US)
        node.propose_members(Members(("b", "c")), ELECTION_TIMEOUT_US)
        self.acknowledge(node, ELECTION_TIMEOUT_US)
        self.assertIs(node.role, Role.LEADER)
        self.assertIn(("b", codec.TimeoutNow(1)), self.acknowledge(node, ELECTION_TIMEOUT_US, "c"))
        self.assertIs(node.role, Role.FOLLOWER)

    def test_leadership_transfer_ends_lease_for_rest_of_term(self) -> None:
        node = self.make_leader()
        self.assertTrue(node.transfer_leadership("b", ELECTION_TIMEOUT_US))
        self.assertIn(("b", codec.TimeoutNow(1)), self.acknowledge(node, ELECTION_TIMEOUT_US))
        self.assertIsNone(node.propose(b"", ELECTION_TIMEOUT_US))
        while node.role is Role.LEADER:
            self.assertFalse(node.has_leader_lease(node.next_tick_us))
            node.tick(node.next_tick_us)
            self.acknowledge(node, node._now_us)
        self.assertLessEqual(node._now_us, 2 * ELECTION_TIMEOUT_US + TIMING.heartbeat_interval_us)
        # The target never catches up: the transfer is abandoned, and the leader goes on.
        node = self.make_leader()
        self.assertTrue(node.transfer_leadership("c", ELECTION_TIMEOUT_US))
        while node._now_us < 2 * ELECTION_TIMEOUT_US:
            node.tick(node.next_tick_us)
            self.acknowledge(node, node._now_us)
        self.assertTrue(node.has_leader_lease(node._now_us) and node.propose(b"", node._now_us))

    def test_snapshot_with_wrong_checksum_is_discarded(self) -> None:
        node = self.make_node()
        members = Members(("a", "b"))
        for checksum, received_bytes in ((7, 0), (crc32(b"ab"), 2)):
            for offset, data in ((0, b"a"), (1, b"b")):
                node.step("b", codec.InstallSnapshot(1, 1, 5, 1, members, 2, checksum, offset, data), 0)
            self.assertEqual(self.collect_messages(node)[-1][1].offset, received_bytes)
        self.assertEqual((node.commit_index, node.members, self.state.snapshot.data), (5, members, b"ab"))

    def test_truncated_membership_change_is_reverted(self) -> None:
        node = self.make_node()
        membership_change = Entry(1, EntryKind.MEMBERS, Members(("a", "b")).encode())
        node.step("b", codec.AppendEntries(1, 1, 0, 0, 0, [membership_change]), 0)
        self.assertEqual(node.members, Members(("a", "b")))
        node.step("c", codec.AppendEntries(2, 1, 0, 0, 0, [Entry(2, 0, b"")]), 0)
        self.assertEqual(node.members, Members(tuple("abc")))

    def test_invalid_messages_raise_framing_error(self) -> None:
        for frame in (
            codec.AppendEntries(1, 1, 0, 0, 0, [Entry(2, 0, b"")]),
            codec.AppendEntries(1, 1, 0, 0, 0, [Entry(1, EntryKind.MEMBERS, b"?")]),
            codec.AppendEntries(1, 1, 0, 5, 0, []),
            codec.InstallSnapshot(1, 1, 5, 1, Members(()), 1, 0, 0, b"ab"),
        ):
            self.assertRaises(framing.FramingError, self.make_node().step, "b", frame, 0)
        node = self.make_node()
        node.step("b", codec.AppendEntries(1, 1, 0, 0, 0, []), 0)
        self.assertRaises(framing.FramingError, node.step, "c", codec.AppendEntries(1, 1, 0, 0, 0, []), 0)


class ClusterTest(unittest.TestCase):
    def test_partitioned_leader_steps_down(self) -> None:
        cluster = SimulatedCluster(1, "abc")
        old_leader = cluster.wait_for_leader()
        cluster.cut_links = {(old_leader.name, other) for other in "abc"}
        cluster.run(ELECTION_TIMEOUT_US + 2 * TIMING.heartbeat_interval_us)
        self.assertIs(old_leader.role, Role.FOLLOWER)
        self.assertNotEqual(cluster.wait_for_leader().name, old_leader.name)

    def test_slow_disks_elect_a_leader_that_stays(self) -> None:
        """Guards against elections without end where a sync takes longer than the election timeout."""
        for sync_us in (0, 50_000, 150_000, 300_000, 500_000, 800_000):
            for seed in range(8):
                with self.subTest(sync_us=sync_us, seed=seed):
                    cluster = SimulatedCluster(seed, ("abc", "abcde")[seed % 2])
                    cluster.sync_us = sync_us
                    cluster.run(10_000_000)
                    leader = cluster.leader()
                    self.assertIsNotNone(leader)
                    for number in range(20):
                        cluster.propose(leader, b"%d" % number)
                        cluster.run(2_000_000)
                        self.assertIs(leader, cluster.leader())
                    self.assertEqual(20, len(cluster.acknowledged))

    def test_uncommitted_membership_change_is_lost_after_partition(self) -> None:
        cluster = SimulatedCluster(2, "abcde")
        old_leader = cluster.wait_for_leader()
        follower, *majority = [name for name in "abcde" if name != old_leader.name]
        minority = {old_leader.name, follower}
        cluster.cut_links = {(a, b) for a in "abcde" for b in "abcde" if (a in minority) != (b in minority)}
        lost_change = cluster.propose_members(
            old_leader, Members(tuple(sorted({*majority, old_leader.name})))
        )
        cluster.run(3 * ELECTION_TIMEOUT_US)
        new_leader = cluster.wait_for_leader()
        self.assertIn(new_leader.name, majority)
        cluster.propose_members(new_leader, Members(tuple(sorted({*majority, follower}))))
        cluster.run(100_000)
        cluster.heal()
        cluster.run(1_000_000)
        self.assertNotEqual(
            cluster.committed[lost_change[0]].data,
            Members(tuple(sorted({*majority, old_leader.name}))).encode(),
        )
        self.assertEqual(cluster.leader().members, Members(tuple(sorted({*majority, follower}))))

    def test_snapshot_transfer_continues_through_membership_change(self) -> None:
        with (
            mock.patch.object(log_sending, "MAX_DATA_BYTES", 60),
            mock.patch.object(membership_changes, "MAX_DATA_BYTES", 60),
            mock.patch.object(log, "_MAX_RETAINED_ENTRIES", 2),
        ):
            cluster = SimulatedCluster(3, "abc", "x")
            leader = cluster.wait_for_leader()
            for number in range(40):
                cluster.propose(leader, b"%050d" % number)
                cluster.run(5_000)
            leader.compact(
                cluster.applied_index[leader.name], cluster.state_by_index[cluster.applied_index[leader.name]]
            )
            cluster.propose_members(leader, Members(tuple("abc"), ("x",)))
            cluster.run(6_000)
            self.assertTrue(0 < leader._peers["x"].received_bytes < len(leader._log.snapshot.data))
            cluster.cut_links = {(leader.name, "x")}
            cluster.propose_members(
                leader, Members(tuple(sorted({*"abc"} - {"abc".replace(leader.name, "")[0]})), ("x",))
            )
            cluster.run(100_000)
            cluster.cut_links.clear()
            cluster.run(300_000)
            self.assertEqual(cluster.applied_index["x"], cluster.applied_index[leader.name])
            self.assertEqual(cluster.nodes["x"].members, leader.members)


class StorageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        self.path = os.path.join(self.directory.name, "k1")
        Storage.create(self.path, "k1/1", Members(("k1/1",)))

    def write_sample_state(self) -> None:
        storage = Storage(self.path)
        storage.write(
            PendingWrite(
                3,
                "k2/1",
                None,
                None,
                1,
                [Entry(1, EntryKind.DATA, b"%d" % number * 99) for number in range(60)],
            )
        )
        storage.write(
            PendingWrite(3, "k2/1", Snapshot(20, 1, Members(("k1/1", "k2/1")), b"s" * 9000), 50, 50, [DATA])
        )
        storage.close()

    def assert_refused(self, why: str) -> None:
        with self.assertRaisesRegex(UnusableFileError, why) as raised:
            with contextlib.closing(Storage(self.path)) as storage:
                storage.load()
        self.assertNotIn("\n", str(raised.exception))

    def test_written_state_is_loaded_and_failed_write_changes_nothing(self) -> None:
        self.write_sample_state()
        storage = Storage(self.path)
        self.assert_refused("another process")
        self.assertRaisesRegex(UnusableFileError, "already", Storage.create, self.path, "k", Members(()))
        loaded = storage.load()
        self.assertEqual(
            (loaded.name, loaded.term, loaded.voted_for, len(loaded.entries), loaded.snapshot.index),
            ("k1/1", 3, "k2/1", 30, 20),
        )
        storage._connection.execute("PRAGMA max_page_count = 1")
        large_entries = [Entry(3, EntryKind.DATA, b"x" * 100_000)] * 9
        self.assertRaisesRegex(
            OSError, "full", storage.write, PendingWrite(4, None, None, 30, 30, large_entries)
        )
        self.assertEqual(storage.load(), loaded)
        storage.close()
        reopened = Storage(self.path)
        self.assertEqual(reopened.load(), loaded)
        reopened.close()

    def test_damaged_rows_are_refused(self) -> None:
        self.write_sample_state()
        with open(self.path, "rb") as file:
            intact = file.read()
        for statement, why in (
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
            with self.subTest(statement):
                with open(self.path, "wb") as file:
                    file.write(intact)
                connection = sqlite3.connect(self.path)
                connection.execute("PRAGMA synchronous = OFF")
                connection.execute(statement)
                connection.commit()
                connection.close()
                self.assert_refused(why)

    def test_torn_or_corrupted_file_is_refused(self) -> None:
        self.write_sample_state()
        with open(self.path, "rb") as file:
            intact = file.read()
        for damaged in (
            b"",
            intact[:100],
            intact[:4096],
            intact[:-4096],
            intact[:-1000],
            b"\0" * len(intact),
            *(
                intact[:offset] + bytes(512) + intact[offset + 512 :]
                for offset in range(0, len(intact), 512)
                if any(intact[offset : offset + 512]) and offset < 4096
            ),
        ):
            with open(self.path, "wb") as file:
                file.write(damaged)
            self.assert_refused("")
        # With one byte changed, the file is refused or loads as before.
        for offset in range(0, len(intact), 611):
            with open(self.path, "wb") as file:
                file.write(intact[:offset] + bytes([intact[offset] ^ 0x55]) + intact[offset + 1 :])
            try:
                storage = Storage(self.path)
                loaded = storage.load()
                storage.close()
                self.assertEqual(
                    (loaded.term, len(loaded.entries), loaded.entries[0].data), (3, 30, b"20" * 99)
                )
            except UnusableFileError:
                pass
        os.unlink(self.path)
        self.assert_refused("no such file")

    def test_joining_node_receives_the_initial_members(self) -> None:
        """A node that got only the entries made a first snapshot without members."""
        with contextlib.ExitStack() as directories:
            cluster = SimulatedCluster(5, "ab", "c")
            for name, members in [
                *((founder, Members(("a", "b"))) for founder in "ab"),
                ("c", Members((), ("c",))),
            ]:
                path = f"{directories.enter_context(tempfile.TemporaryDirectory())}/k"
                Storage.create(path, name, members)
                storage = Storage(path)
                cluster.states[name] = storage.load()
                storage.close()
            cluster.state_by_index[1] = b""
            for name in "abc":
                cluster.start(name)
            cluster.run(2_000_000)
            leader = cluster.leader()
            leader.propose_members(Members(("a", "b"), ("c",)), cluster.clock(leader.name))
            cluster.process_ready(leader.name)
            cluster.run(1_000_000)
            joined = cluster.nodes["c"]
            self.assertEqual((joined.members, joined.commit_index), (leader.members, leader.commit_index))
            # A snapshot at any index must have the voters, also one before the first membership change.
            self.assertTrue(all("a" in members.voters for _, members in joined._log._member_lists))

    def test_killed_writer_leaves_whole_transactions(self) -> None:
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
            printed = [child.stdout.readline() for _ in range(lines)]
            child.send_signal(signal.SIGKILL)
            printed += child.stdout.read().splitlines()
            child.wait()
            child.stdout.close()
            file = Storage(self.path)
            entry_count = len(file.load().entries)
            self.assertTrue(
                int(printed[-1]) <= entry_count <= int(printed[-1]) + 3 and entry_count % 3 == 0,
                (printed[-1], entry_count),
            )
            file.close()


if __name__ == "__main__":
    unittest.main()
