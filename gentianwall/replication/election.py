"""Elections: pre-vote, votes, leases and the quorum check of a leader."""

from __future__ import annotations

from gentianwall.replication.effects import (
    LeadershipChanged,
    ProposalAbandoned,
    ReplicationEffect,
    SendToReplica,
    StoreTerm,
)
from gentianwall.replication.messages import (
    Member,
    VoteReply,
    VoteRequest,
)
from gentianwall.replication.state import (
    FAST_ELECTION_INTERVAL_MS,
    Progress,
    ReplicaState,
    Role,
)

# Election timeouts after which a leader steps down if voters answer its
# heartbeats but store no open entry. They have received the entries before, so
# they refuse them.
COMMIT_STALL_TIMEOUTS = 5.0


def reset_election_timer(state: ReplicaState, now_ms: float) -> None:
    """Schedules the next pre-vote a random one to two timeouts from now."""
    timeout_ms = state.timing.election_timeout_ms
    state.election_due_ms = now_ms + timeout_ms * (1.0 + state.rng.random())


def become_follower(
    state: ReplicaState,
    term: int,
    leader: str,
    now_ms: float,
    effects: list[ReplicationEffect],
) -> None:
    """Becomes a follower in a term.

    Args:
        state: The replica.
        term: The term; if it is higher than the current one, it is adopted.
        leader: Name of the leader, or empty when it is unknown.
        now_ms: The monotonic clock.
        effects: The list that effects are added to.
    """
    if term > state.term:
        state.term = term
        state.voted_for = ""
        effects.append(StoreTerm(term, ""))
    if leader:
        state.fast_elections_until_ms = float("-inf")
    was_leader = state.role is Role.LEADER
    is_leader_changed = was_leader or leader != state.leader
    if was_leader:
        abandon_proposals(state, effects)
        state.progress.clear()
    state.role = Role.FOLLOWER
    state.votes.clear()
    state.leader = leader
    if was_leader:
        reset_election_timer(state, now_ms)
    if is_leader_changed:
        state.leader_features = 0  # Until its first request.
        effects.append(LeadershipChanged(state.term, leader, False))


def abandon_proposals(
    state: ReplicaState, effects: list[ReplicationEffect]
) -> None:
    """Abandons the open proposals of a former leader.

    This replica cannot know whether a later leader will commit them.
    """
    for index in sorted(state.proposals):
        effects.append(ProposalAbandoned(index))
    state.proposals.clear()


def start_pre_vote(
    state: ReplicaState, now_ms: float, effects: list[ReplicationEffect]
) -> bool:
    """Starts a pre-vote: asks for votes without raising the term.

    Returns:
        Whether this replica became the leader at once, because it is the
        only member.
    """
    reset_election_timer(state, now_ms)
    if now_ms < state.fast_elections_until_ms:
        state.election_due_ms = now_ms + FAST_ELECTION_INTERVAL_MS
    state.role = Role.PRE_VOTE
    state.leader = ""
    return _count_vote(state, state.name, now_ms, effects)


def _start_election(
    state: ReplicaState, now_ms: float, effects: list[ReplicationEffect]
) -> bool:
    reset_election_timer(state, now_ms)
    state.role = Role.CANDIDATE
    state.term += 1
    state.voted_for = state.name
    effects.append(StoreTerm(state.term, state.name))
    return _count_vote(state, state.name, now_ms, effects)


def _count_vote(
    state: ReplicaState,
    voter: str,
    now_ms: float,
    effects: list[ReplicationEffect],
) -> bool:
    """Counts a vote; the replica's own vote first starts a round of requests.

    Returns:
        Whether this replica became the leader.
    """
    if voter == state.name:
        state.votes = {voter}
        _request_votes(state, effects)
    else:
        state.votes.add(voter)
    if len(state.votes) < state.quorum:
        return False
    if state.role is Role.PRE_VOTE:
        return _start_election(state, now_ms, effects)
    _become_leader(state, now_ms, effects)
    return True


def _request_votes(
    state: ReplicaState, effects: list[ReplicationEffect]
) -> None:
    is_pre_vote = state.role is Role.PRE_VOTE
    request = VoteRequest(
        term=state.term + 1 if is_pre_vote else state.term,
        last_index=state.log.last_index,
        last_term=state.log.last_term,
        is_pre_vote=is_pre_vote,
    )
    for member in state.members:
        if member.replica != state.name:
            effects.append(SendToReplica(member.replica, request))


def on_vote_request(
    state: ReplicaState,
    sender: str,
    request: VoteRequest,
    now_ms: float,
    effects: list[ReplicationEffect],
) -> None:
    """Replies to a vote or pre-vote request; persists a vote it grants."""
    is_granted = _grants_vote(state, sender, request, now_ms)
    if is_granted and not request.is_pre_vote:
        if request.term > state.term:
            become_follower(state, request.term, "", now_ms, effects)
        state.voted_for = sender
        effects.append(StoreTerm(state.term, sender))
        reset_election_timer(state, now_ms)
    term = state.term
    if request.is_pre_vote and is_granted:
        term = request.term
    reply = VoteReply(term, is_granted, request.is_pre_vote, state.disk_id)
    effects.append(SendToReplica(sender, reply))


def _grants_vote(
    state: ReplicaState, sender: str, request: VoteRequest, now_ms: float
) -> bool:
    if request.term < state.term:
        return False
    # For one election timeout after its last request, the leader may hold a
    # lease that relies on this replica granting no vote to another one. Only
    # that leader, whose name is in `voted_for`, may be elected meanwhile.
    timeout_ms = state.timing.election_timeout_ms
    has_recent_leader = now_ms < state.last_contact_ms + timeout_ms
    if has_recent_leader and state.voted_for != sender:
        return False
    if state.role is Role.LEADER:
        return False
    can_vote = request.term > state.term or state.voted_for in ("", sender)
    last_entry = (state.log.last_term, state.log.last_index)
    is_log_current = (request.last_term, request.last_index) >= last_entry
    return can_vote and is_log_current


def on_vote_reply(
    state: ReplicaState,
    sender: str,
    reply: VoteReply,
    now_ms: float,
    effects: list[ReplicationEffect],
) -> bool:
    """Counts a vote if it comes from the current disk of a member.

    Returns:
        Whether this vote made the replica the leader.
    """
    if not reply.is_granted:
        if reply.term > state.term:
            become_follower(state, reply.term, "", now_ms, effects)
        return False
    expected_role = Role.PRE_VOTE if reply.is_pre_vote else Role.CANDIDATE
    term = state.term + 1 if reply.is_pre_vote else state.term
    if state.role is not expected_role or reply.term != term:
        return False
    if Member(sender, reply.disk_id) not in state.members:
        return False
    return _count_vote(state, sender, now_ms, effects)


def _become_leader(
    state: ReplicaState, now_ms: float, effects: list[ReplicationEffect]
) -> None:
    state.role = Role.LEADER
    state.leader = state.name
    state.votes.clear()
    state.leader_since_ms = now_ms
    state.stored_entries = 0
    state.stored_ms = now_ms
    state.lease_start_ms = float("-inf")
    state.proposed_features = 0
    state.progress = {
        member.replica: Progress(member.disk_id, state.log.last_index + 1)
        for member in state.members
        if member.replica != state.name
    }
    effects.append(LeadershipChanged(state.term, state.name, True))


def renew_lease(state: ReplicaState, now_ms: float) -> None:
    """Starts the lease at the latest time that a quorum has acknowledged.

    A quorum acknowledges a time by replies to append or snapshot requests that
    were sent then or later. Votes do not count: granting a vote does not oblige
    the voter to wait for the end of this leader's lease.
    """
    acked_times_ms = []
    for member in state.members:
        if member.replica == state.name:
            acked_times_ms.append(now_ms)
            continue
        progress = state.progress_of(member)
        if progress is not None:
            acked_times_ms.append(progress.acked_ms)
    acked_times_ms.sort(reverse=True)
    if len(acked_times_ms) >= state.quorum:
        last_quorum_ms = acked_times_ms[state.quorum - 1]
        state.lease_start_ms = max(state.lease_start_ms, last_quorum_ms)


def check_quorum(
    state: ReplicaState, now_ms: float, effects: list[ReplicationEffect]
) -> bool:
    """Steps down without replies of a quorum, or if nothing can be committed.

    Returns:
        Whether this replica is still the leader.
    """
    renew_lease(state, now_ms)
    last_quorum_ms = max(state.lease_start_ms, state.leader_since_ms)
    is_quorum_lost = now_ms > last_quorum_ms + state.timing.election_timeout_ms
    stall_ms = COMMIT_STALL_TIMEOUTS * state.timing.election_timeout_ms
    is_stalled = _commit_stalled_ms(state, now_ms) > stall_ms
    if not is_quorum_lost and not is_stalled:
        return True
    become_follower(state, state.term, "", now_ms, effects)
    if is_stalled:
        # This log is the longest, so without a delay it would be elected again.
        state.election_due_ms = now_ms + stall_ms
    return False


def _commit_stalled_ms(state: ReplicaState, now_ms: float) -> float:
    """Returns for how long no voter has stored any of the open entries."""
    progresses = [state.progress_of(member) for member in state.members]
    stored = sum(p.match_index for p in progresses if p is not None)
    is_all_committed = state.commit_index == state.log.last_index
    if is_all_committed or stored != state.stored_entries:
        state.stored_entries = stored
        state.stored_ms = now_ms
    return now_ms - state.stored_ms
