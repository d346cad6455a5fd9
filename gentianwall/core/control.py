"""Reducer of a control instance: its replica and the requests of entries."""

from __future__ import annotations

import attrs

from gentianwall.claims.commands import (
    FEATURE_EVACUATION,
    FEATURE_STORED_ORGANISATIONS,
    Command,
    EvacuationsHeld,
    PutConfiguration,
    SetEvacuation,
)
from gentianwall.control.messages import (
    CommandRefused,
    CommandReply,
    CommandRequest,
    ConfigNotice,
    ConfigPoll,
    ConfigurationRequest,
    EntryStatus,
    FeedPoll,
    ServerHeartbeats,
    StatusReply,
    StatusRequest,
    VersionStatus,
)
from gentianwall.core import feed
from gentianwall.core.effects import RecordEvent, SendMessage
from gentianwall.core.events import MessageArrived, Tick
from gentianwall.replication.effects import (
    CommandApplied,
    LeadershipChanged,
    MembersChanged,
    ProposalAbandoned,
    ReplicationEffect,
    SendToReplica,
    StorageEffect,
    StoreEntries,
    StoreSnapshot,
    StoreTerm,
    TakeSnapshot,
)
from gentianwall.replication.replica import (
    BatchEnded,
    Proposed,
    ReplicaMessageArrived,
    ReplicaTick,
    SnapshotRefused,
    SnapshotTaken,
    reduce_replica,
)
from gentianwall.replication.state import ReplicaState, Role
from gentianwall.timeline import EventKind

HISTORY_ITEMS = 50
# Commands are refused while the log has this much that no majority has stored
# yet, so that clients that send again cannot fill the memory.
MAX_UNCOMMITTED_BYTES = 16 * 1024 * 1024

ControlEvent = (
    MessageArrived | Tick | BatchEnded | SnapshotTaken | SnapshotRefused
)
ControlEffect = StorageEffect | TakeSnapshot | SendMessage | RecordEvent


@attrs.frozen
class PendingReply:
    """Receiver of the reply to an uncommitted command.

    Attributes:
        sender: Name of the client.
        boot_id: Id of its process, which numbers its requests from 1.
        request_id: Id of the request.
    """

    sender: str
    boot_id: str
    request_id: str


@attrs.define
class EntryHeartbeat:
    """Versions in force at an entry, from its last poll."""

    version: int
    quarantine_version: int
    is_ready: bool
    at_ms: float


@attrs.define
class ControlState:
    """State of a control instance.

    Attributes:
        replica: Its replica of the log.
        entries: Names of all entries in the settings.
        pending_replies: Receivers of replies to uncommitted commands, by log
            index.
        heartbeats: Last poll of each entry, by name.
        pushed_versions: Versions of declaration and quarantines last sent to
            all entries.
        is_disk_full: Whether new commands are refused because the disk is full.
        feed: Updates to polling entries and last contacts of servers.
    """

    replica: ReplicaState
    entries: tuple[str, ...]
    pending_replies: dict[int, PendingReply] = attrs.field(factory=dict)
    heartbeats: dict[str, EntryHeartbeat] = attrs.field(factory=dict)
    pushed_versions: tuple[int, int] = (0, 0)
    is_disk_full: bool = False
    feed: feed.FeedState = attrs.field(factory=feed.FeedState)


def reduce_control(
    state: ControlState, event: ControlEvent
) -> list[ControlEffect]:
    """Changes the state by one event.

    Returns:
        Effects in order. All storage effects of a list must be synced before
        any of its messages is sent.
    """
    effects: list[ControlEffect] = []
    if isinstance(event, MessageArrived):
        state.feed.wall_offset_ms = event.wall_ms - event.at_ms
    match event:
        case Tick():
            tick = ReplicaTick(event.at_ms)
            _apply_replica_effects(
                state, reduce_replica(state.replica, tick), event, effects
            )
            commands = feed.find_silent_servers(
                state.feed, state.replica, event.at_ms
            )
            for command in commands:
                _propose(state, command, event, effects)
        case BatchEnded() | SnapshotTaken() | SnapshotRefused():
            replica_effects = reduce_replica(state.replica, event)
            _apply_replica_effects(state, replica_effects, event, effects)
            feed.push_changes(state.feed, state.replica, event.at_ms, effects)
        case MessageArrived(message=CommandRequest()):
            _on_command(state, event, event.message, effects)
        case MessageArrived(message=ConfigPoll()):
            _on_poll(state, event, event.message, effects)
        case MessageArrived(message=StatusRequest()):
            _on_status(state, event, event.message, effects)
        case MessageArrived(message=FeedPoll()):
            feed.on_poll(
                state.feed,
                state.replica,
                event.sender,
                event.message,
                event.at_ms,
                effects,
            )
        case MessageArrived(message=ServerHeartbeats()):
            feed.record_server_contacts(state.feed, event.message, event.at_ms)
        case MessageArrived(message=ConfigurationRequest()):
            _on_configuration_request(state, event, event.message, effects)
        case MessageArrived():
            message = ReplicaMessageArrived(
                event.at_ms, event.sender, event.message
            )
            replica_effects = reduce_replica(state.replica, message)
            _apply_replica_effects(state, replica_effects, event, effects)
    return effects


def _on_command(
    state: ControlState,
    event: MessageArrived,
    request: CommandRequest,
    effects: list[ControlEffect],
) -> None:
    replica = state.replica
    if replica.role is not Role.LEADER or state.is_disk_full:
        leader = "" if replica.role is Role.LEADER else replica.leader
        is_full = replica.role is Role.LEADER and state.is_disk_full
        refused = CommandRefused(request.request_id, leader, is_full)
        effects.append(SendMessage(event.sender, refused))
        return
    is_readable = not isinstance(
        request.command, SetEvacuation
    ) or replica.can_propose(FEATURE_EVACUATION)
    if not is_readable or replica.uncommitted_bytes > MAX_UNCOMMITTED_BYTES:
        refused = CommandRefused(request.request_id, "", False)
        effects.append(SendMessage(event.sender, refused))
        return
    pending_reply = PendingReply(
        event.sender, event.boot_id, request.request_id
    )
    if pending_reply in state.pending_replies.values():
        return  # Sent again by its client before it was committed.
    if _is_withheld(state, request.command, effects):
        refused = CommandRefused(request.request_id, "", False)
        effects.append(SendMessage(event.sender, refused))
        return
    # The leader sets the time of commands, so that the clock of an entry
    # cannot advance the log time.
    command = attrs.evolve(request.command, at_ms=event.wall_ms)
    index = replica.log.last_index + 1
    state.pending_replies[index] = pending_reply
    _propose(state, command, event, effects)


def _is_withheld(
    state: ControlState, command: Command, effects: list[ControlEffect]
) -> bool:
    """Returns whether a replica would store a command incompletely.

    A replica of a build that does not know organisations would store the
    configuration without them and, as a leader, send it to entries so.
    """
    if not isinstance(command, PutConfiguration):
        return False
    if not command.configuration.organisations:
        return False
    outdated = state.replica.replicas_without(FEATURE_STORED_ORGANISATIONS)
    number = command.configuration.number
    detail = f"number {number}: a build without organisations"
    for name in outdated:
        effects.append(RecordEvent(EventKind.CONFIG_WITHHELD, name, detail))
    return bool(outdated)


def _propose(
    state: ControlState,
    command: Command,
    event: ControlEvent,
    effects: list[ControlEffect],
) -> None:
    proposed = Proposed(event.at_ms, command)
    _apply_replica_effects(
        state, reduce_replica(state.replica, proposed), event, effects
    )


def _refuse_stale_read(
    state: ControlState,
    event: MessageArrived,
    request_id: str,
    effects: list[ControlEffect],
) -> bool:
    """Refuses a read that might not be current; returns whether it did.

    The refusal names the leader if another replica is known to lead.
    """
    replica = state.replica
    if replica.can_read(event.at_ms):
        return False
    leader = "" if replica.role is Role.LEADER else replica.leader
    refused = CommandRefused(request_id, leader, False)
    effects.append(SendMessage(event.sender, refused))
    return True


def _on_configuration_request(
    state: ControlState,
    event: MessageArrived,
    request: ConfigurationRequest,
    effects: list[ControlEffect],
) -> None:
    """Sends the numbered configuration if it is certain to be current."""
    replica = state.replica
    if _refuse_stale_read(state, event, request.request_id, effects):
        return
    reply = feed.make_configuration_reply(replica, request)
    effects.append(SendMessage(event.sender, reply))


def _apply_replica_effects(
    state: ControlState,
    replica_effects: list[ReplicationEffect],
    event: ControlEvent,
    effects: list[ControlEffect],
) -> None:
    """Converts effects of the replica to effects of the control instance."""
    for effect in replica_effects:
        match effect:
            case (
                StoreTerm() | StoreEntries() | StoreSnapshot() | TakeSnapshot()
            ):
                effects.append(effect)
            case SendToReplica():
                effects.append(SendMessage(effect.replica, effect.message))
            case CommandApplied():
                _on_applied(state, effect, event, effects)
            case ProposalAbandoned():
                state.pending_replies.pop(effect.index, None)
            case LeadershipChanged():
                _on_leadership_changed(state, effect, effects)
            case MembersChanged():
                names = " ".join(effect.members)
                effects.append(RecordEvent(EventKind.MEMBERS_CHANGED, names))


def _on_leadership_changed(
    state: ControlState,
    change: LeadershipChanged,
    effects: list[ControlEffect],
) -> None:
    if not change.is_self:
        state.pending_replies.clear()
    name = change.leader or "none"
    detail = f"term {change.term}"
    effects.append(RecordEvent(EventKind.LEADER_CHANGED, name, detail))


def _on_applied(
    state: ControlState,
    applied: CommandApplied,
    event: ControlEvent,
    effects: list[ControlEffect],
) -> None:
    if isinstance(applied.result, EvacuationsHeld):
        result = applied.result
        names = " ".join(result.failure_domains) or "none"
        detail = f"version {result.version}"
        effects.append(RecordEvent(EventKind.EVACUATED, names, detail))
    pending_reply = state.pending_replies.pop(applied.index, None)
    if pending_reply is not None:
        reply = CommandReply(pending_reply.request_id, applied.result)
        effects.append(SendMessage(pending_reply.sender, reply))
    _push_changes(state, event.at_ms, effects)


def _push_changes(
    state: ControlState, now_ms: float, effects: list[ControlEffect]
) -> None:
    """Sends changed versions to all entries without waiting for their polls."""
    register = state.replica.register
    versions = (register.version, register.quarantine_version)
    if versions == state.pushed_versions or not state.replica.can_read(now_ms):
        return
    state.pushed_versions = versions
    if register.version == 0:
        return
    for name in state.entries:
        notice = _make_notice(state, state.heartbeats.get(name))
        effects.append(SendMessage(name, notice))


def _make_notice(
    state: ControlState, heartbeat: EntryHeartbeat | None
) -> ConfigNotice:
    """Returns a notice with what the entry does not have yet."""
    register = state.replica.register
    has_text = heartbeat is not None and heartbeat.version >= register.version
    has_quarantines = (
        heartbeat is not None
        and heartbeat.quarantine_version >= register.quarantine_version
    )
    return ConfigNotice(
        term=state.replica.term,
        version=register.version,
        text=None if has_text else register.text,
        quarantine_version=register.quarantine_version,
        quarantines=None if has_quarantines else tuple(register.quarantines),
    )


def _on_poll(
    state: ControlState,
    event: MessageArrived,
    poll: ConfigPoll,
    effects: list[ControlEffect],
) -> None:
    heartbeat = EntryHeartbeat(
        poll.version, poll.quarantine_version, poll.is_ready, event.at_ms
    )
    state.heartbeats[event.sender] = heartbeat
    if not state.replica.can_read(event.at_ms):
        return
    if state.replica.register.version == 0:
        return
    effects.append(SendMessage(event.sender, _make_notice(state, heartbeat)))


def _on_status(
    state: ControlState,
    event: MessageArrived,
    request: StatusRequest,
    effects: list[ControlEffect],
) -> None:
    replica = state.replica
    if _refuse_stale_read(state, event, request.request_id, effects):
        return
    register = replica.register
    reply = StatusReply(
        request_id=request.request_id,
        leader=replica.name,
        term=replica.term,
        version=register.version,
        text=register.text,
        commit_index=replica.commit_index,
        members=tuple(m.replica for m in replica.applied_members),
        disks=tuple(
            f"{m.replica}/{m.disk_id}" for m in replica.applied_members
        ),
        entries=tuple(
            _entry_status(state, name, event.at_ms) for name in state.entries
        ),
        history=tuple(
            VersionStatus(d.version, d.change_id, d.operator, d.at_ms)
            for d in register.declarations[-HISTORY_ITEMS:]
        ),
        quarantines=tuple(register.quarantines),
        quarantine_version=register.quarantine_version,
        claims=len(register.claims),
    )
    effects.append(SendMessage(event.sender, reply))


def _entry_status(state: ControlState, name: str, now_ms: float) -> EntryStatus:
    heartbeat = state.heartbeats.get(name)
    if heartbeat is None:
        return EntryStatus(name, 0, 0, False, -1.0)
    return EntryStatus(
        name,
        heartbeat.version,
        heartbeat.quarantine_version,
        heartbeat.is_ready,
        now_ms - heartbeat.at_ms,
    )
