"""Membership changes: admission of learners and replacement of voters.

Each change adds or removes one voter. A replica with a new disk does not vote
under its old identity, because its new disk id is not in the member list. The
leader replicates to it as a learner until it has caught up.

If a learner of another name is available, it becomes a voter before the voter
that it replaces is removed. Removing first would leave one voter fewer: if
another voter then lost its disk while the silent one was only partitioned, the
majority would be lost for good. Without such a learner, the old disk of a
replica is removed in one change and its new disk is added in the next, because
swapping them in one step would allow two disjoint majorities.
"""

from __future__ import annotations

from gentianwall.claims.commands import (
    SUPPORTED_FEATURES,
    ChangeMembers,
    Noop,
)
from gentianwall.replication.effects import ReplicationEffect, SendToReplica
from gentianwall.replication.messages import JoinRequest, Member
from gentianwall.replication.state import Progress, ReplicaState, Role

# At least five requests must fit into 4 s, the shortest time limit for a
# replacement to catch up.
JOIN_INTERVAL_MS = 200.0
# A learner in contact with the leader repeats its request only because the
# leader may have dropped it, which it does after `LEARNER_SILENCE_MS`.
LEARNER_JOIN_INTERVAL_MS = 1000.0
# Election timeouts without contact to a leader after which a voter asks to
# join again, since it may have been removed.
ISOLATION_TIMEOUTS = 4.0
# Longer than a restart of a process takes (0.2 to 1 s), and short enough for a
# successor to become a voter within the 4 s that a replacement may take.
VOTER_SILENCE_MS = 1500.0
# A learner without a reply for this long is dropped and must ask to join again.
LEARNER_SILENCE_MS = 10_000.0


def is_isolated(state: ReplicaState, now_ms: float) -> bool:
    """Returns whether this voter has had no leader contact for too long.

    It may have been replaced while it was disconnected. It finds that out
    only by asking to join again.
    """
    wait_ms = ISOLATION_TIMEOUTS * state.timing.election_timeout_ms
    return now_ms > state.last_contact_ms + wait_ms


def request_join(
    state: ReplicaState, now_ms: float, effects: list[ReplicationEffect]
) -> None:
    """Sends a join request to the active leader, or else to all peers."""
    if now_ms < state.join_due_ms:
        return
    timeout_ms = 2 * state.timing.election_timeout_ms
    has_active_leader = bool(state.leader) and (
        now_ms < state.last_contact_ms + timeout_ms
    )
    wait_ms = (
        LEARNER_JOIN_INTERVAL_MS if has_active_leader else JOIN_INTERVAL_MS
    )
    state.join_due_ms = now_ms + wait_ms
    request = JoinRequest(state.disk_id, features=SUPPORTED_FEATURES)
    for peer in (state.leader,) if has_active_leader else state.peers:
        effects.append(SendToReplica(peer, request))


def on_join_request(
    state: ReplicaState,
    sender: str,
    request: JoinRequest,
    now_ms: float,
    effects: list[ReplicationEffect],
) -> None:
    """Starts replication to a learner; a follower forwards the request."""
    if state.role is not Role.LEADER:
        if not request.replica and state.leader not in ("", sender):
            forwarded = JoinRequest(request.disk_id, sender, request.features)
            effects.append(SendToReplica(state.leader, forwarded))
        return
    name = request.replica or sender
    is_admissible = name in state.peers or state.target_voters > 0
    if not is_admissible or Member(name, request.disk_id) in state.members:
        return
    if (state.register.features | state.proposed_features) & ~request.features:
        # It could not read the log.
        return
    current = state.progress.get(name)
    if current is None or current.disk_id != request.disk_id:
        state.progress[name] = Progress(
            request.disk_id,
            state.log.last_index + 1,
            acked_ms=now_ms,
            features=request.features,
        )


def drop_silent_learners(state: ReplicaState, now_ms: float) -> None:
    """Stops replication to learners that have not replied for too long."""
    voters = {member.replica for member in state.members}
    silent = [
        name
        for name, progress in state.progress.items()
        if name not in voters
        and now_ms - progress.acked_ms > LEARNER_SILENCE_MS
    ]
    for name in silent:
        del state.progress[name]


def next_member_change(
    state: ReplicaState, now_ms: float
) -> ChangeMembers | None:
    """Returns the next change of the members, or None.

    The first of these that applies is returned: a surplus voter is removed; a
    caught-up learner becomes a voter, if there are too few voters or one is
    silent; the old disk of a voter whose new disk has caught up is removed.
    There is no change until the previous one and an entry of this term are
    committed.
    """
    if state.role is not Role.LEADER:
        return None
    if state.members_index > state.commit_index:
        return None
    if state.log.term_at(state.commit_index) != state.term:
        return None
    members = state.members
    if state.target_voters and len(members) > state.target_voters:
        removed = _least_recently_acked(state)
        return _change_to([m for m in members if m != removed])
    names = {member.replica for member in members}
    learners = _caught_up_learners(state, now_ms)
    new_replicas = [
        learner for learner in learners if learner.replica not in names
    ]
    is_below_target = (
        state.target_voters == 0 or len(members) < state.target_voters
    )
    if new_replicas and (is_below_target or _has_silent_voter(state, now_ms)):
        return _change_to([*members, new_replicas[0]])
    for learner in learners:
        if learner not in new_replicas:
            # The old disk of this replica is removed first.
            return _change_to(
                [m for m in members if m.replica != learner.replica]
            )
    return None


def next_feature_change(state: ReplicaState) -> Noop | None:
    """Returns the entry that allows commands of further features, or None.

    Every other member and every learner must have declared them to this
    leader. Once committed, they remain allowed while members are down.
    """
    if state.role is not Role.LEADER:
        return None
    known = state.register.features | state.proposed_features
    if not SUPPORTED_FEATURES & ~known:
        return None
    if state.log.term_at(state.commit_index) != state.term:
        return None
    common = SUPPORTED_FEATURES
    for member in state.members:
        if member.replica != state.name and state.progress_of(member) is None:
            return None
    for progress in state.progress.values():
        common &= progress.features or 0
    if not common & ~known:
        return None
    state.proposed_features |= common
    return Noop(common)


def _caught_up_learners(state: ReplicaState, now_ms: float) -> list[Member]:
    """Returns the responsive learners that hold all committed entries."""
    return [
        Member(name, progress.disk_id)
        for name, progress in state.progress.items()
        if Member(name, progress.disk_id) not in state.members
        and progress.match_index >= max(1, state.commit_index)
        and now_ms - progress.acked_ms <= VOTER_SILENCE_MS
    ]


def _least_recently_acked(state: ReplicaState) -> Member:
    """Returns the other voter whose latest acknowledgement is the oldest."""

    def last_acked_ms(member: Member) -> float:
        progress = state.progress_of(member)
        return progress.acked_ms if progress else float("-inf")

    others = [m for m in state.members if m.replica != state.name]
    return min(others, key=last_acked_ms)


def _has_silent_voter(state: ReplicaState, now_ms: float) -> bool:
    return any(_is_silent(state, member, now_ms) for member in state.members)


def _is_silent(state: ReplicaState, member: Member, now_ms: float) -> bool:
    """Returns whether a voter did not reply for too long or has a new disk."""
    if member.replica == state.name:
        return False
    current = state.progress.get(member.replica)
    if current is not None and current.disk_id != member.disk_id:
        return True  # The replica joins with a new disk.
    progress = state.progress_of(member)
    last_acked_ms = progress.acked_ms if progress else float("-inf")
    return now_ms - max(last_acked_ms, state.leader_since_ms) > VOTER_SILENCE_MS


def _change_to(members: list[Member]) -> ChangeMembers:
    return ChangeMembers(tuple((m.replica, m.disk_id) for m in members))
