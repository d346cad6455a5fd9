"""Voters are replaced by learners, and only so many replicas vote."""

from __future__ import annotations

import random

import pytest

from gentianwall.claims.commands import Noop
from gentianwall.replication import election, joining
from gentianwall.replication.effects import SendToReplica, StoreTerm
from gentianwall.replication.messages import (
    AppendRequest,
    JoinRequest,
    LogEntry,
    Member,
    VoteRequest,
)
from gentianwall.replication.replica import ReplicaMessage, reduce_replica
from gentianwall.replication.restore import PersistentState, restore_replica
from gentianwall.replication.state import (
    Progress,
    ReplicaState,
    Role,
    Timing,
)

NAMES = ("a", "b", "c")
MEMBERS = tuple(Member(name, f"d-{name}") for name in NAMES)


def _replica(name, **changes):
    state = ReplicaState(
        name=name,
        disk_id=f"d-{name}",
        peers=tuple(n for n in NAMES if n != name),
        timing=Timing(),
        rng=random.Random(1),
        target_voters=3,
    )
    state.members = state.applied_members = MEMBERS
    for key, value in changes.items():
        setattr(state, key, value)
    return state


@pytest.fixture
def leader():
    """A leader in term 1 that has committed an entry and is heard by all."""
    state = _replica("a", role=Role.LEADER, leader="a", term=1)
    state.log.entries.append(LogEntry(1, 1, Noop()))
    state.commit_index = 1
    state.progress = {
        name: Progress(f"d-{name}", 2, match_index=1, acked_ms=10_000.0)
        for name in ("b", "c")
    }
    return state


def _join(leader, name, disk, match_index=1):
    joining.on_join_request(leader, name, JoinRequest(disk), 10_000.0, [])
    progress = leader.progress[name]
    progress.match_index = match_index
    progress.acked_ms = 10_000.0


def test_a_learner_does_not_vote_while_the_voters_are_whole(leader):
    _join(leader, "d", "d-d")
    assert joining.next_member_change(leader, 10_000.0) is None


def _take(leader, now_ms):
    """Makes the next change and returns the names of the voters."""
    change = joining.next_member_change(leader, now_ms)
    leader.members = tuple(Member(*member) for member in change.members)
    return [member.replica for member in leader.members]


def test_a_silent_voter_leaves_once_a_learner_votes(leader):
    _join(leader, "d", "d-d")
    now_ms = 10_000.0 + joining.VOTER_SILENCE_MS + 1
    leader.progress["b"].acked_ms = now_ms
    leader.progress["d"].acked_ms = now_ms
    # Never fewer voters: the silent one may be cut off with its disk whole.
    assert _take(leader, now_ms) == ["a", "b", "c", "d"]
    assert _take(leader, now_ms) == ["a", "b", "d"]
    assert joining.next_member_change(leader, now_ms) is None


def test_a_voter_too_many_leaves_though_none_is_silent_any_more(leader):
    _join(leader, "d", "d-d")
    leader.members = (*MEMBERS, Member("d", "d-d"))
    leader.progress["b"].acked_ms = 9_990.0
    assert _take(leader, 10_000.0) == ["a", "c", "d"]


def test_a_spare_replica_replaces_a_wiped_voter_first(leader):
    _join(leader, "c", "d-new")
    _join(leader, "d", "d-d")
    assert _take(leader, 10_000.0) == ["a", "b", "c", "d"]
    assert _take(leader, 10_000.0) == ["a", "b", "d"]
    assert joining.next_member_change(leader, 10_000.0) is None


def test_a_silent_voter_stays_without_a_learner_that_holds_everything(leader):
    _join(leader, "d", "d-d", match_index=0)
    now_ms = 10_000.0 + joining.VOTER_SILENCE_MS + 1
    leader.progress["b"].acked_ms = leader.progress["d"].acked_ms = now_ms
    assert joining.next_member_change(leader, now_ms) is None


def test_a_wiped_voter_leaves_before_its_new_disk_enters(leader):
    _join(leader, "c", "d-new")
    change = joining.next_member_change(leader, 10_000.0)
    assert [name for name, _ in change.members] == ["a", "b"]
    leader.members = MEMBERS[:2]
    change = joining.next_member_change(leader, 10_000.0)
    assert change.members[-1] == ("c", "d-new")


def test_a_learner_that_went_away_is_forgotten(leader):
    _join(leader, "d", "d-d")
    late_ms = 10_001.0 + joining.LEARNER_SILENCE_MS
    joining.drop_silent_learners(leader, late_ms)
    assert set(leader.progress) == {"b", "c"}


def test_a_follower_passes_a_join_request_to_the_leader():
    follower = _replica("b", leader="a")
    effects = []
    joining.on_join_request(follower, "d", JoinRequest("d-d"), 0.0, effects)
    assert effects == [SendToReplica("a", JoinRequest("d-d", "d"))]
    effects.clear()
    passed = JoinRequest("d-d", "d")
    joining.on_join_request(follower, "c", passed, 0.0, effects)
    assert effects == []


def _vote(state, sender, now_ms, term=2):
    request = VoteRequest(term, 0, 0, True)
    effects = reduce_replica(state, ReplicaMessage(now_ms, sender, request))
    return effects[-1].message.is_granted


def test_a_follower_remembers_whom_it_follows():
    follower = _replica("b", term=1, voted_for="c")
    heartbeat = AppendRequest(1, 0, 0, (), 0, 0.0)
    effects = reduce_replica(follower, ReplicaMessage(5.0, "a", heartbeat))
    assert StoreTerm(1, "a") in effects
    assert isinstance(effects[-1], SendToReplica)
    assert effects.index(StoreTerm(1, "a")) < len(effects) - 1


def test_only_the_leader_itself_may_stand_while_its_lease_may_hold():
    follower = _replica("b", term=1, voted_for="a", last_contact_ms=1000.0)
    assert not _vote(follower, "c", 1100.0)
    assert _vote(follower, "a", 1100.0)
    assert _vote(follower, "c", 1000.0 + Timing().election_timeout_ms)


@pytest.mark.parametrize(("voted_for", "is_early"), [("a", True), ("b", False)])
def test_the_last_leader_stands_again_soon(voted_for, is_early):
    recovered = PersistentState("d-a", term=1, voted_for=voted_for)
    state = restore_replica(recovered, "a", ("b", "c"), Timing(), 1, 0.0)
    state.members = MEMBERS
    assert (state.election_due_ms < 300.0) is is_early
    effects = []
    due_ms = state.election_due_ms
    election.start_pre_vote(state, due_ms, effects)
    assert (state.election_due_ms - due_ms < 300.0) is is_early


def test_a_voter_that_hears_nobody_asks_whether_it_was_replaced():
    state = _replica("c", last_contact_ms=0.0, election_due_ms=1e9)
    wait_ms = joining.ISOLATION_TIMEOUTS * Timing().election_timeout_ms
    assert not joining.is_isolated(state, wait_ms)
    assert joining.is_isolated(state, wait_ms + 1)
