"""Tests for membership changes, votes and the isolation of voters.

Learners replace silent or wiped voters.
"""

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
from gentianwall.replication.replica import (
    ReplicaMessageArrived,
    reduce_replica,
)
from gentianwall.replication.restore import PersistentState, restore_replica
from gentianwall.replication.state import (
    Progress,
    ReplicaState,
    Role,
    Timing,
)

NAMES = ("a", "b", "c")
MEMBERS = tuple(Member(name, f"d-{name}") for name in NAMES)


def _make_replica(name, **changes):
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
    """A leader in term 1 with a committed entry and no silent voter."""
    state = _make_replica("a", role=Role.LEADER, leader="a", term=1)
    state.log.entries.append(LogEntry(1, 1, Noop()))
    state.commit_index = 1
    state.progress = {
        name: Progress(f"d-{name}", 2, match_index=1, acked_ms=10_000.0)
        for name in ("b", "c")
    }
    return state


def _add_learner(leader, name, disk, match_index=1):
    joining.on_join_request(leader, name, JoinRequest(disk), 10_000.0, [])
    progress = leader.progress[name]
    progress.match_index = match_index
    progress.acked_ms = 10_000.0


def test_a_learner_stays_a_learner_while_no_voter_is_silent(leader):
    _add_learner(leader, "d", "d-d")
    assert joining.next_member_change(leader, 10_000.0) is None


def _apply_next_change(leader, now_ms):
    """Applies the next membership change and returns the voters' names."""
    change = joining.next_member_change(leader, now_ms)
    leader.members = tuple(Member(*member) for member in change.members)
    return [member.replica for member in leader.members]


def test_a_silent_voter_is_removed_once_a_learner_has_become_a_voter(leader):
    _add_learner(leader, "d", "d-d")
    now_ms = 10_000.0 + joining.VOTER_SILENCE_MS + 1
    leader.progress["b"].acked_ms = now_ms
    leader.progress["d"].acked_ms = now_ms
    # The number of voters never falls below the target: the silent voter may
    # only be disconnected, with its disk intact.
    assert _apply_next_change(leader, now_ms) == ["a", "b", "c", "d"]
    assert _apply_next_change(leader, now_ms) == ["a", "b", "d"]
    assert joining.next_member_change(leader, now_ms) is None


def test_a_surplus_voter_is_removed_even_if_no_voter_is_silent(leader):
    _add_learner(leader, "d", "d-d")
    leader.members = (*MEMBERS, Member("d", "d-d"))
    leader.progress["b"].acked_ms = 9_990.0
    assert _apply_next_change(leader, 10_000.0) == ["a", "c", "d"]


def test_another_learner_is_preferred_to_the_new_disk_of_a_wiped_voter(
    leader,
):
    _add_learner(leader, "c", "d-new")
    _add_learner(leader, "d", "d-d")
    assert _apply_next_change(leader, 10_000.0) == ["a", "b", "c", "d"]
    assert _apply_next_change(leader, 10_000.0) == ["a", "b", "d"]
    assert joining.next_member_change(leader, 10_000.0) is None


def test_a_silent_voter_stays_while_no_learner_has_the_whole_log(leader):
    _add_learner(leader, "d", "d-d", match_index=0)
    now_ms = 10_000.0 + joining.VOTER_SILENCE_MS + 1
    leader.progress["b"].acked_ms = leader.progress["d"].acked_ms = now_ms
    assert joining.next_member_change(leader, now_ms) is None


def test_a_wiped_voter_is_removed_before_its_new_disk_is_added(leader):
    _add_learner(leader, "c", "d-new")
    change = joining.next_member_change(leader, 10_000.0)
    assert [name for name, _ in change.members] == ["a", "b"]
    leader.members = MEMBERS[:2]
    change = joining.next_member_change(leader, 10_000.0)
    assert change.members[-1] == ("c", "d-new")


def test_a_learner_without_replies_is_dropped(leader):
    _add_learner(leader, "d", "d-d")
    after_timeout_ms = 10_001.0 + joining.LEARNER_SILENCE_MS
    joining.drop_silent_learners(leader, after_timeout_ms)
    assert set(leader.progress) == {"b", "c"}


def test_a_follower_forwards_a_join_request_to_the_leader_once():
    follower = _make_replica("b", leader="a")
    effects = []
    joining.on_join_request(follower, "d", JoinRequest("d-d"), 0.0, effects)
    assert effects == [SendToReplica("a", JoinRequest("d-d", "d"))]
    effects.clear()
    forwarded = JoinRequest("d-d", "d")
    joining.on_join_request(follower, "c", forwarded, 0.0, effects)
    assert effects == []


def _is_vote_granted(state, sender, now_ms, term=2):
    request = VoteRequest(term, 0, 0, True)
    effects = reduce_replica(
        state, ReplicaMessageArrived(now_ms, sender, request)
    )
    return effects[-1].message.is_granted


def test_a_follower_persists_its_leader_as_its_vote_before_it_replies():
    follower = _make_replica("b", term=1, voted_for="c")
    heartbeat = AppendRequest(1, 0, 0, (), 0, 0.0)
    effects = reduce_replica(
        follower, ReplicaMessageArrived(5.0, "a", heartbeat)
    )
    assert StoreTerm(1, "a") in effects
    assert isinstance(effects[-1], SendToReplica)
    assert effects.index(StoreTerm(1, "a")) < len(effects) - 1


def test_only_the_leader_gets_votes_while_its_lease_may_be_valid():
    follower = _make_replica("b", term=1, voted_for="a", last_contact_ms=1000.0)
    assert not _is_vote_granted(follower, "c", 1100.0)
    assert _is_vote_granted(follower, "a", 1100.0)
    assert _is_vote_granted(
        follower, "c", 1000.0 + Timing().election_timeout_ms
    )


@pytest.mark.parametrize(("voted_for", "is_fast"), [("a", True), ("b", False)])
def test_a_restarted_former_leader_starts_fast_elections(voted_for, is_fast):
    persistent_state = PersistentState("d-a", term=1, voted_for=voted_for)
    state = restore_replica(persistent_state, "a", ("b", "c"), Timing(), 1, 0.0)
    state.members = MEMBERS
    assert (state.election_due_ms < 300.0) is is_fast
    effects = []
    due_ms = state.election_due_ms
    election.start_pre_vote(state, due_ms, effects)
    assert (state.election_due_ms - due_ms < 300.0) is is_fast


def test_a_voter_is_isolated_after_the_timeout_without_leader_contact():
    state = _make_replica("c", last_contact_ms=0.0, election_due_ms=1e9)
    wait_ms = joining.ISOLATION_TIMEOUTS * Timing().election_timeout_ms
    assert not joining.is_isolated(state, wait_ms)
    assert joining.is_isolated(state, wait_ms + 1)
