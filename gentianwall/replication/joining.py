"""Admitting a replica whose disk is new, one change at a time.

A wiped replica never votes under its old identity: its new disk id is no
member. The leader brings it up to date as a learner. Then the old disk
leaves in one change and the new one enters in the next, since swapping them
in one step would allow two disjoint majorities.
"""

from __future__ import annotations

from gentianwall.claims.commands import ChangeMembers
from gentianwall.replication.effects import ReplicationEffect, SendToReplica
from gentianwall.replication.messages import JoinRequest, Member
from gentianwall.replication.state import Progress, ReplicaState, Role

JOIN_INTERVAL_MS = 200.0


def ask_to_join(
    state: ReplicaState, now_ms: float, effects: list[ReplicationEffect]
) -> None:
    """Asks every other replica to be admitted, now and then."""
    if now_ms < state.join_due_ms:
        return
    state.join_due_ms = now_ms + JOIN_INTERVAL_MS
    request = JoinRequest(state.disk_id)
    for peer in state.peers:
        effects.append(SendToReplica(peer, request))


def on_join_request(
    state: ReplicaState, sender: str, request: JoinRequest
) -> None:
    """Starts to replicate to a learner; only the leader does."""
    if state.role is not Role.LEADER or sender not in state.peers:
        return
    if Member(sender, request.disk_id) in state.members:
        return
    known = state.progress.get(sender)
    if known is None or known.disk_id != request.disk_id:
        state.progress[sender] = Progress(
            request.disk_id, state.log.last_index + 1
        )


def next_member_change(state: ReplicaState) -> ChangeMembers | None:
    """Returns the change that brings a caught-up learner nearer, if any."""
    if state.role is not Role.LEADER:
        return None
    if state.members_index > state.commit_index:
        return None
    if state.log.term_at(state.commit_index) != state.term:
        return None
    for name, progress in state.progress.items():
        learner = Member(name, progress.disk_id)
        if learner in state.members:
            continue
        if progress.match_index < max(1, state.commit_index):
            continue
        return _step_towards(state.members, learner)
    return None


def _step_towards(
    members: tuple[Member, ...], learner: Member
) -> ChangeMembers:
    others = [m for m in members if m.replica != learner.replica]
    if len(others) == len(members):
        others.append(learner)
    return ChangeMembers(tuple((m.replica, m.disk_id) for m in others))
