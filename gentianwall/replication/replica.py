"""The reducer of one replica: it turns events into effects.

It uses neither a clock nor a disk; times come with the events.
"""

from __future__ import annotations

import attrs

from gentianwall.claims.commands import Command, Noop
from gentianwall.replication import appending, election, joining
from gentianwall.replication.effects import (
    ReplicationEffect,
    StoreEntries,
)
from gentianwall.replication.messages import (
    AppendReply,
    AppendRequest,
    JoinRequest,
    LogEntry,
    ReplicationMessage,
    Snapshot,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from gentianwall.replication.state import ReplicaState, Role


@attrs.frozen
class ReplicaMessageArrived:
    """Reports a message from another replica."""

    at_ms: float
    sender: str
    message: ReplicationMessage


@attrs.frozen
class ReplicaTick:
    """Reports the current time, so that timeouts are checked."""

    at_ms: float


@attrs.frozen
class Proposed:
    """Reports a command that the driver wants appended to the log."""

    at_ms: float
    command: Command


@attrs.frozen
class BatchEnded:
    """Reports that no event is queued, so that appended entries are sent."""

    at_ms: float


@attrs.frozen
class SnapshotTaken:
    """Reports that the snapshot of a `TakeSnapshot` effect is encoded."""

    at_ms: float
    snapshot: Snapshot


@attrs.frozen
class SnapshotRefused:
    """Reports that the disk refused the snapshot of a `TakeSnapshot` effect.

    The driver reports it when it is time to try again.
    """

    at_ms: float


ReplicaEvent = (
    ReplicaMessageArrived
    | ReplicaTick
    | Proposed
    | BatchEnded
    | SnapshotTaken
    | SnapshotRefused
)


def reduce_replica(
    state: ReplicaState, event: ReplicaEvent
) -> list[ReplicationEffect]:
    """Applies one event to the state of a replica.

    Args:
        state: The replica, changed in place.
        event: The event.

    Returns:
        Effects in order. All storage effects must be synced before any
        message of the same list is sent.
    """
    effects: list[ReplicationEffect] = []
    match event:
        case ReplicaMessageArrived():
            _on_message(state, event, effects)
        case ReplicaTick():
            _on_tick(state, event.at_ms, effects)
        case Proposed():
            _append_command(state, event.command, effects)
        case BatchEnded():
            _send_appended(state, event.at_ms, effects)
        case SnapshotTaken():
            appending.on_snapshot_taken(state, event.snapshot, effects)
        case SnapshotRefused():
            appending.on_snapshot_refused(state, effects)
    return effects


def propose(
    state: ReplicaState,
    command: Command,
    now_ms: float,
    effects: list[ReplicationEffect],
) -> None:
    """Appends a command if this replica leads, and sends it at once."""
    _append_command(state, command, effects)
    _send_appended(state, now_ms, effects)


def _append_command(
    state: ReplicaState, command: Command, effects: list[ReplicationEffect]
) -> None:
    """Appends a command if this replica leads, without sending it.

    The commands of a batch are sent together at its end.
    """
    if state.role is not Role.LEADER:
        return
    entry = LogEntry(state.log.last_index + 1, state.term, command)
    state.log.entries.append(entry)
    effects.append(StoreEntries((entry,)))
    if not isinstance(command, Noop):
        state.proposals.add(entry.index)
    appending.adopt_members(state, [entry])
    state.has_unsent_entries = True


def _send_appended(
    state: ReplicaState, now_ms: float, effects: list[ReplicationEffect]
) -> None:
    is_due = state.has_unsent_entries and state.role is Role.LEADER
    state.has_unsent_entries = False
    if is_due:
        appending.send_to_all(state, now_ms, effects)
        appending.advance_commit(state, effects)


def _on_message(
    state: ReplicaState,
    event: ReplicaMessageArrived,
    effects: list[ReplicationEffect],
) -> None:
    message = event.message
    sender = event.sender
    match message:
        case VoteRequest():
            election.on_vote_request(
                state, sender, message, event.at_ms, effects
            )
        case VoteReply():
            if election.on_vote_reply(
                state, sender, message, event.at_ms, effects
            ):
                propose(state, Noop(), event.at_ms, effects)
        case AppendRequest():
            appending.on_append_request(
                state, sender, message, event.at_ms, effects
            )
        case AppendReply():
            appending.on_append_reply(
                state, sender, message, event.at_ms, effects
            )
            _propose_member_change(state, event.at_ms, effects)
            _propose_features(state, event.at_ms, effects)
        case SnapshotRequest():
            appending.on_snapshot_request(
                state, sender, message, event.at_ms, effects
            )
        case JoinRequest():
            joining.on_join_request(
                state, sender, message, event.at_ms, effects
            )


def _on_tick(
    state: ReplicaState, now_ms: float, effects: list[ReplicationEffect]
) -> None:
    if state.role is Role.LEADER:
        if election.check_quorum(state, now_ms, effects):
            appending.send_due(state, now_ms, effects)
            _propose_member_change(state, now_ms, effects)
            # A leader without peers gets no replies.
            _propose_features(state, now_ms, effects)
        return
    if not state.is_member or joining.is_isolated(state, now_ms):
        joining.request_join(state, now_ms, effects)
    if not state.is_member:
        return
    if now_ms >= state.election_due_ms and election.start_pre_vote(
        state, now_ms, effects
    ):
        propose(state, Noop(), now_ms, effects)


def _propose_member_change(
    state: ReplicaState, now_ms: float, effects: list[ReplicationEffect]
) -> None:
    joining.drop_silent_learners(state, now_ms)
    change = joining.next_member_change(state, now_ms)
    if change is not None:
        propose(state, change, now_ms, effects)


def _propose_features(
    state: ReplicaState, now_ms: float, effects: list[ReplicationEffect]
) -> None:
    change = joining.next_feature_change(state)
    if change is not None:
        propose(state, change, now_ms, effects)
