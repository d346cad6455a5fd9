"""Randomized tests of the replicated log under faults.

The invariants hold while replicas, disks, clocks and links fail, and the same
schedules catch mutants of the code.
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

from gentianwall.claims.commands import Noop
from gentianwall.replication import election, joining
from gentianwall.replication.messages import AppendReply, LogEntry
from gentianwall.replication.replica import (
    Proposed,
    ReplicaMessage,
    reduce_replica,
)
from gentianwall.replication.state import ReplicaState, Role
from harness import replicas
from harness.replicas import InvariantError, ReplicaSimulation, run_schedule

MUTANT_SEEDS = 400


class ReplicaMachine(RuleBasedStateMachine):
    """Applies faults and proposals that Hypothesis chooses step by step."""

    @initialize(size=st.sampled_from([3, 5]), seed=st.integers(0, 2**32))
    def bootstrap(self, size, seed):
        self.world = ReplicaSimulation(size, seed)
        self.world.advance(2000)

    def _name(self, number):
        return self.world.names[number % len(self.world.names)]

    @rule(time=st.sampled_from([10, 50, 200, 700]))
    def advance(self, time):
        self.world.advance(time)

    @rule(number=st.integers(0, 4))
    def propose(self, number):
        self.world.propose(self._name(number))

    @rule(one=st.integers(0, 4), other=st.integers(0, 4))
    def cut_link(self, one, other):
        link = frozenset((self._name(one), self._name(other)))
        self.world.cut_links ^= {link}

    @rule(numbers=st.sets(st.integers(0, 4), max_size=2))
    def cut_all_links(self, numbers):
        self.world.isolated_replicas = {self._name(n) for n in numbers}

    @rule(number=st.integers(0, 4), thaw=st.booleans())
    def freeze(self, number, thaw):
        if thaw:
            self.world.thaw(self._name(number))
        else:
            self.world.freeze(self._name(number))

    @rule(number=st.integers(0, 4))
    def crash(self, number):
        self.world.crash(self._name(number))

    @rule(number=st.integers(0, 4))
    def start(self, number):
        self.world.start(self._name(number))

    @rule(
        number=st.integers(0, 4),
        point=st.sampled_from(["before store", "after store"]),
    )
    def crash_at_next_store(self, number, point):
        self.world.crash_at_next_store(self._name(number), point)

    @rule(number=st.integers(0, 4))
    def wipe(self, number):
        self.world.wipe(self._name(number))

    @rule(
        loss=st.sampled_from([0.0, 0.2]),
        duplication=st.sampled_from([0.0, 0.2]),
    )
    def impair_network(self, loss, duplication):
        self.world.loss = loss
        self.world.duplication = duplication

    def teardown(self):
        if hasattr(self, "world"):
            self.world.check_progress()


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


def _lease_ignored(monkeypatch, world):
    monkeypatch.setattr(
        ReplicaState, "has_lease", lambda self, now: self.role is Role.LEADER
    )


def _votes_not_synced(monkeypatch, world):
    world.unsynced_effects = {"StoreTerm"}


def _entries_not_synced(monkeypatch, world):
    world.unsynced_effects = {"StoreEntries"}


def _empty_disk_trusted(monkeypatch, world):
    monkeypatch.setattr(
        world,
        "new_disk_id",
        lambda name: world.nodes[name].disk.disk_id,
    )
    monkeypatch.setattr(world, "_are_disks_repaired", lambda: True)


def _votes_despite_leader_contact(monkeypatch, world):
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


def _outdated_candidates_elected(monkeypatch, world):
    def grants_vote(state, sender, request, now_ms):
        if request.term < state.term or state.role is Role.LEADER:
            return False
        return request.term > state.term or state.voted_for in ("", sender)

    monkeypatch.setattr(election, "_grants_vote", grants_vote)


def _vote_of_new_disk_counted(monkeypatch, world):
    original_on_vote_reply = election.on_vote_reply

    def on_vote_reply(state, sender, reply, now_ms, effects):
        disks = {m.replica: m.disk_id for m in state.members}
        forged_reply = attrs.evolve(reply, disk_id=disks.get(sender, ""))
        return original_on_vote_reply(
            state, sender, forged_reply, now_ms, effects
        )

    monkeypatch.setattr(election, "on_vote_reply", on_vote_reply)


def _leader_contact_lost_at_restart(monkeypatch, world):
    start = world.start

    def start_without_contact(name):
        start(name)
        world.nodes[name].state.last_contact_ms = float("-inf")

    monkeypatch.setattr(world, "start", start_without_contact)


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
        world = ReplicaSimulation(3, seed)
        with monkeypatch.context() as patch:
            mutate(patch, world)
            try:
                run_schedule(world, 40)
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
    """Checks figure 8 of the Raft paper.

    The entry is committed together with the first entry of the current term.
    """
    world = ReplicaSimulation(3, 1)
    world.advance(3000)
    leader = next(
        m.state for m in world.nodes.values() if m.state.role is Role.LEADER
    )
    follower = next(iter(leader.progress))
    old_entry = LogEntry(leader.log.last_index + 1, leader.term, Noop())
    leader.log.entries.append(old_entry)
    leader.term += 1
    commit_index_before = leader.commit_index
    disk_id = leader.progress[follower].disk_id
    reply = AppendReply(
        leader.term, True, old_entry.index, disk_id, world.now_ms
    )
    reduce_replica(leader, ReplicaMessage(world.now_ms, follower, reply))
    assert leader.commit_index == commit_index_before
    reduce_replica(leader, Proposed(world.now_ms, Noop()))
    reply = attrs.evolve(reply, match_index=old_entry.index + 1)
    reduce_replica(leader, ReplicaMessage(world.now_ms, follower, reply))
    assert leader.commit_index == old_entry.index + 1
