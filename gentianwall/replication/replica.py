"""The reducer of one replica: events in, effects out, no clock, no disk."""

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
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from gentianwall.replication.state import ReplicaState, Role


@attrs.frozen
class ReplicaMessage:
    """A message of another replica arrived."""

    at_ms: float
    sender: str
    message: ReplicationMessage


@attrs.frozen
class ReplicaTick:
    """Time went on."""

    at_ms: float


@attrs.frozen
class Proposed:
    """Someone wants a command in the log."""

    at_ms: float
    command: Command


ReplicaEvent = ReplicaMessage | ReplicaTick | Proposed


def reduce_replica(
    state: ReplicaState, event: ReplicaEvent
) -> list[ReplicationEffect]:
    """Changes the state by one event.

    Args:
        state: The replica, changed in place.
        event: What happened.

    Returns:
        Effects in order. All storage effects must be synced before any
        message of the same list is sent.
    """
    effects: list[ReplicationEffect] = []
    match event:
        case ReplicaMessage():
            _receive(state, event, effects)
        case ReplicaTick():
            _tick(state, event.at_ms, effects)
        case Proposed():
            propose(state, event.command, event.at_ms, effects)
    return effects


def propose(
    state: ReplicaState,
    command: Command,
    now_ms: float,
    effects: list[ReplicationEffect],
) -> int | None:
    """Appends a command to the log of the leader.

    Returns:
        The index of the entry, or None when this replica does not lead.
    """
    if state.role is not Role.LEADER:
        return None
    entry = LogEntry(state.log.last_index + 1, state.term, command)
    state.log.entries.append(entry)
    effects.append(StoreEntries((entry,)))
    if not isinstance(command, Noop):
        state.proposals.add(entry.index)
    appending.note_members(state, [entry])
    appending.send_to_all(state, now_ms, effects)
    appending.advance_commit(state, effects)
    return entry.index


def _receive(
    state: ReplicaState,
    event: ReplicaMessage,
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
            _admit(state, event.at_ms, effects)
        case SnapshotRequest():
            appending.on_snapshot_request(
                state, sender, message, event.at_ms, effects
            )
        case JoinRequest():
            joining.on_join_request(state, sender, message)


def _tick(
    state: ReplicaState, now_ms: float, effects: list[ReplicationEffect]
) -> None:
    if state.role is Role.LEADER:
        if election.check_quorum(state, now_ms, effects):
            appending.send_due(state, now_ms, effects)
            _admit(state, now_ms, effects)
        return
    if not state.is_member:
        joining.ask_to_join(state, now_ms, effects)
    elif now_ms >= state.election_due_ms and election.start_trial(
        state, now_ms, effects
    ):
        propose(state, Noop(), now_ms, effects)


def _admit(
    state: ReplicaState, now_ms: float, effects: list[ReplicationEffect]
) -> None:
    change = joining.next_member_change(state)
    if change is not None:
        propose(state, change, now_ms, effects)
