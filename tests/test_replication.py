"""Randomized tests of the replicated log under faults.

The invariants hold while replicas crash or are suspended, disks are wiped,
links are cut and messages are lost or duplicated. The same schedules catch
mutants of the code.
"""

from __future__ import annotations

import attrs
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from gentianwall.claims.commands import Noop, ReportCrash
from gentianwall.claims.register import RegisterState
from gentianwall.claims.snapshot_codec import encode_register
from gentianwall.replication import election, joining
from gentianwall.replication.effects import SendToReplica
from gentianwall.replication.messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    Member,
    Snapshot,
    SnapshotRequest,
)
from gentianwall.replication.replica import (
    Proposed,
    ReplicaMessageArrived,
    SnapshotTaken,
    reduce_replica,
)
from gentianwall.replication.restore import (
    PersistentState,
    persistent_state_of,
    restore_replica,
)
from gentianwall.replication.state import Progress, ReplicaState, Role, Timing
from harness import replicas
from harness.replicas import InvariantError, ReplicaSimulation, run_schedule

MUTANT_SEEDS = 400


class ReplicaMachine(RuleBasedStateMachine):
    """Applies faults and proposals that Hypothesis chooses step by step."""

    @initialize(size=st.sampled_from([3, 5]), seed=st.integers(0, 2**32))
    def bootstrap(self, size, seed):
        self.simulation = ReplicaSimulation(size, seed)
        self.simulation.advance(2000)

    def _name(self, number):
        return self.simulation.names[number % len(self.simulation.names)]

    @rule(time=st.sampled_from([10, 50, 200, 700]))
    def advance(self, time):
        self.simulation.advance(time)

    @rule(number=st.integers(0, 4))
    def propose(self, number):
        self.simulation.propose(self._name(number))

    @rule(one=st.integers(0, 4), other=st.integers(0, 4))
    def toggle_link(self, one, other):
        link = frozenset((self._name(one), self._name(other)))
        self.simulation.blocked_links ^= {link}

    @rule(numbers=st.sets(st.integers(0, 4), max_size=2))
    def isolate_replicas(self, numbers):
        self.simulation.isolated_replicas = {self._name(n) for n in numbers}

    @rule(number=st.integers(0, 4), is_resumed=st.booleans())
    def suspend_or_resume(self, number, is_resumed):
        if is_resumed:
            self.simulation.resume(self._name(number))
        else:
            self.simulation.suspend(self._name(number))

    @rule(number=st.integers(0, 4))
    def crash(self, number):
        self.simulation.crash(self._name(number))

    @rule(number=st.integers(0, 4))
    def start(self, number):
        self.simulation.start(self._name(number))

    @rule(
        number=st.integers(0, 4),
        point=st.sampled_from(["before store", "after store"]),
    )
    def crash_at_next_store(self, number, point):
        self.simulation.crash_at_next_store(self._name(number), point)

    @rule(number=st.integers(0, 4))
    def wipe(self, number):
        self.simulation.wipe(self._name(number))

    @rule(
        loss_ratio=st.sampled_from([0.0, 0.2]),
        duplication_ratio=st.sampled_from([0.0, 0.2]),
    )
    def impair_network(self, loss_ratio, duplication_ratio):
        self.simulation.loss_ratio = loss_ratio
        self.simulation.duplication_ratio = duplication_ratio

    def teardown(self):
        if hasattr(self, "simulation"):
            self.simulation.check_progress()


TestReplicaMachine = ReplicaMachine.TestCase
TestReplicaMachine.settings = settings(max_examples=25, stateful_step_count=40)


@given(seed=st.integers(0, 2**32), size=st.sampled_from([3, 5]))
@settings(max_examples=30)
def test_random_schedules_keep_every_invariant(seed, size):
    run_schedule(ReplicaSimulation(size, seed), 40)


@given(
    seed=st.integers(0, 2**32),
    counts=st.sampled_from([(3, 3), (4, 3), (6, 3), (6, 5), (7, 5)]),
)
@settings(max_examples=30)
# With this seed, a silent voter was removed before its successor had been
# added. When another voter then lost its disk, the majority was lost for good.
@example(seed=32, counts=(6, 3))
def test_random_schedules_with_learners_keep_every_invariant(seed, counts):
    size, voters = counts
    run_schedule(ReplicaSimulation(size, seed, voters), 40)


def _lease_ignored(monkeypatch, simulation):
    monkeypatch.setattr(
        ReplicaState, "has_lease", lambda self, now: self.role is Role.LEADER
    )


def _votes_not_synced(monkeypatch, simulation):
    simulation.unsynced_effects = {"StoreTerm"}


def _entries_not_synced(monkeypatch, simulation):
    simulation.unsynced_effects = {"StoreEntries"}


def _empty_disk_trusted(monkeypatch, simulation):
    monkeypatch.setattr(
        simulation,
        "new_disk_id",
        lambda name: simulation.nodes[name].disk.disk_id,
    )
    monkeypatch.setattr(simulation, "_are_disks_repaired", lambda: True)


def _votes_despite_leader_contact(monkeypatch, simulation):
    def grants_vote(state, sender, request, now_ms):
        if request.term < state.term or state.role is Role.LEADER:
            return False
        can_vote = request.term > state.term or state.voted_for in (
            "",
            sender,
        )
        last_entry = (state.log.last_term, state.log.last_index)
        return (
            can_vote and (request.last_term, request.last_index) >= last_entry
        )

    monkeypatch.setattr(election, "_grants_vote", grants_vote)


def _outdated_candidates_elected(monkeypatch, simulation):
    def grants_vote(state, sender, request, now_ms):
        if request.term < state.term or state.role is Role.LEADER:
            return False
        return request.term > state.term or state.voted_for in ("", sender)

    monkeypatch.setattr(election, "_grants_vote", grants_vote)


def _vote_of_new_disk_counted(monkeypatch, simulation):
    original_on_vote_reply = election.on_vote_reply

    def on_vote_reply(state, sender, reply, now_ms, effects):
        disks = {m.replica: m.disk_id for m in state.members}
        forged_reply = attrs.evolve(reply, disk_id=disks.get(sender, ""))
        return original_on_vote_reply(
            state, sender, forged_reply, now_ms, effects
        )

    monkeypatch.setattr(election, "on_vote_reply", on_vote_reply)


def _leader_contact_lost_at_restart(monkeypatch, simulation):
    start = simulation.start

    def start_without_contact(name):
        start(name)
        simulation.nodes[name].state.last_contact_ms = float("-inf")

    monkeypatch.setattr(simulation, "start", start_without_contact)


MUTANTS = [
    _lease_ignored,
    _votes_not_synced,
    _entries_not_synced,
    _empty_disk_trusted,
    _votes_despite_leader_contact,
    _outdated_candidates_elected,
    _vote_of_new_disk_counted,
    _leader_contact_lost_at_restart,
]


@pytest.mark.parametrize("mutate", MUTANTS, ids=lambda m: m.__name__)
def test_each_mutant_of_the_replicated_log_is_caught(mutate, monkeypatch):
    for seed in range(MUTANT_SEEDS):
        simulation = ReplicaSimulation(3, seed)
        with monkeypatch.context() as patch:
            mutate(patch, simulation)
            try:
                run_schedule(simulation, 40)
            except InvariantError:
                return
    pytest.fail(f"no seed below {MUTANT_SEEDS} catches the mutant")


def _voters_removed_before_their_successors(monkeypatch):
    original_change = joining.next_member_change

    def remove_first(state, now_ms):
        change = original_change(state, now_ms)
        if change is None or len(change.members) <= state.target_voters:
            return change
        silent = [
            member
            for member in state.members
            if joining._is_silent(state, member, now_ms)
        ]
        return joining._change_to([m for m in state.members if m != silent[0]])

    monkeypatch.setattr(joining, "next_member_change", remove_first)


def test_removing_a_voter_before_its_successor_votes_is_caught(
    monkeypatch,
):
    _voters_removed_before_their_successors(monkeypatch)
    for seed in range(MUTANT_SEEDS):
        try:
            run_schedule(ReplicaSimulation(6, seed, 3), 40)
        except InvariantError:
            return
    pytest.fail(f"no seed below {MUTANT_SEEDS} catches the mutant")


def test_the_schedules_that_catch_mutants_pass_without_a_mutant():
    for seed in range(20):
        run_schedule(ReplicaSimulation(3, seed), 40)
    assert replicas.TIMING.lease_ms < replicas.TIMING.election_timeout_ms


def test_an_entry_of_an_older_term_is_not_committed_by_counting_replicas():
    """Checks the case of figure 8 in the Raft paper.

    The entry is committed only together with an entry of the current term.
    """
    simulation = ReplicaSimulation(3, 1)
    simulation.advance(3000)
    leader = next(
        m.state
        for m in simulation.nodes.values()
        if m.state.role is Role.LEADER
    )
    follower = next(iter(leader.progress))
    old_entry = LogEntry(leader.log.last_index + 1, leader.term, Noop())
    leader.log.entries.append(old_entry)
    leader.term += 1
    commit_index_before = leader.commit_index
    disk_id = leader.progress[follower].disk_id
    reply = AppendReply(
        leader.term, True, old_entry.index, disk_id, simulation.now_ms
    )
    reduce_replica(
        leader, ReplicaMessageArrived(simulation.now_ms, follower, reply)
    )
    assert leader.commit_index == commit_index_before
    reduce_replica(leader, Proposed(simulation.now_ms, Noop()))
    reply = attrs.evolve(reply, match_index=old_entry.index + 1)
    reduce_replica(
        leader, ReplicaMessageArrived(simulation.now_ms, follower, reply)
    )
    assert leader.commit_index == old_entry.index + 1


def _make_replica(name, entries):
    """Returns one of three replicas in term 1 that has stored some entries."""
    members = tuple(Member(n, f"d-{n}") for n in "abc")
    first = Snapshot(1, 1, members, encode_register(RegisterState()))
    stored = [LogEntry(1 + index, 1, Noop()) for index in range(1, entries + 1)]
    state = PersistentState(f"d-{name}", 1, "a", first, stored)
    peers = tuple(n for n in "abc" if n != name)
    return restore_replica(state, name, peers, Timing(), 1, 0.0)


def _send(receiver, sender, message):
    """Delivers a message; returns the messages that answer the sender."""
    event = ReplicaMessageArrived(10.0, sender, message)
    return [
        effect.message
        for effect in reduce_replica(receiver, event)
        if isinstance(effect, SendToReplica) and effect.replica == sender
    ]


# A snapshot that was sent for a late refusal removed entries that a follower
# had acknowledged since, and that were committed with its acknowledgement.
def test_a_snapshot_removes_no_entries_that_were_acknowledged():
    leader, follower = _make_replica("a", 4), _make_replica("b", 0)
    leader.role, leader.leader = Role.LEADER, "a"
    leader.progress = {n: Progress(f"d-{n}", 6) for n in "bc"}
    # The request with the entries was lost; two later ones are refused.
    refusals = [
        _send(follower, "a", AppendRequest(1, 5, 1, (), 1, sent_ms))
        for sent_ms in (1.0, 2.0)
    ]
    (resent,) = _send(leader, "b", refusals[0][0])
    (acknowledged,) = _send(follower, "a", resent)
    # The other follower has stored all but the last entry.
    _send(leader, "c", AppendReply(1, True, 4, "d-c", 3.0))
    snapshot = Snapshot(4, 1, leader.members, encode_register(RegisterState()))
    reduce_replica(leader, SnapshotTaken(4.0, snapshot))
    (late,) = _send(leader, "b", refusals[1][0])
    assert isinstance(late, SnapshotRequest)
    _send(leader, "b", acknowledged)
    assert leader.commit_index == 5
    (reply,) = _send(follower, "a", late)
    assert reply.is_success
    stored = [entry.index for entry in persistent_state_of(follower).entries]
    assert stored[-1:] == [5]
    assert follower.commit_index == 4


class RefusingSimulation(ReplicaSimulation):
    """Followers cannot read messages with a certain entry."""

    UNREADABLE = ReportCrash("s", "unreadable", "x", 0)

    def _is_blocked(self, packet):
        entries = getattr(packet.message, "entries", ())
        is_unreadable = any(e.command == self.UNREADABLE for e in entries)
        return is_unreadable or super()._is_blocked(packet)


# Replies to heartbeats kept a leader in office that could commit nothing.
@pytest.mark.parametrize("seed", range(5))
def test_a_leader_whose_entries_no_follower_stores_steps_down(seed):
    simulation = RefusingSimulation(3, seed, voters=3)
    simulation.advance(2000)
    leader = max(simulation.leader_by_term.items())[1]
    simulation.propose(leader, simulation.UNREADABLE)
    for _ in range(20):
        simulation.advance(250)
        for name in simulation.names:
            simulation.propose(name)
    simulation.check_progress()
    assert simulation.UNREADABLE not in simulation.applied_commands.values()


def test_a_leader_whose_followers_catch_up_slowly_stays(monkeypatch):
    """Each reply acknowledges one more entry, so the leader is not stalled."""
    monkeypatch.setattr(
        "gentianwall.replication.appending.MAX_ENTRIES_PER_APPEND", 1
    )
    monkeypatch.setattr(
        "gentianwall.replication.appending.MAX_UNACKED_BYTES", 1
    )
    simulation = ReplicaSimulation(3, 1, voters=3)
    simulation.advance(2000)
    leader = max(simulation.leader_by_term.items())[1]
    for _ in range(400):
        simulation.propose(leader)
    simulation.advance(3000)
    assert max(simulation.leader_by_term.items())[1] == leader
