"""Replication of log entries and snapshots; commit and application."""

from __future__ import annotations

from gentianwall.claims.commands import (
    ChangeMembers,
    approximate_bytes,
)
from gentianwall.claims.register import apply_command
from gentianwall.claims.snapshot_codec import decode_register
from gentianwall.replication import election
from gentianwall.replication.effects import (
    CommandApplied,
    MembersChanged,
    ReplicationEffect,
    SendToReplica,
    StoreEntries,
    StoreSnapshot,
    StoreTerm,
    TakeSnapshot,
)
from gentianwall.replication.messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    Member,
    Snapshot,
    SnapshotRequest,
)
from gentianwall.replication.state import (
    Progress,
    ReplicaState,
    Role,
    bytes_of,
)

MAX_ENTRIES_PER_APPEND = 256
MAX_APPEND_BYTES = 1024 * 1024
# Entries and snapshots that one replica has not acknowledged yet. They fill a
# link of 1 Gbit/s for 30 ms.
MAX_UNACKED_BYTES = 4 * MAX_APPEND_BYTES


def adopt_members(state: ReplicaState, entries: list[LogEntry]) -> None:
    """Adopts the membership of the last `ChangeMembers` among new entries.

    A membership is in force as soon as it is in the log, before it commits.
    """
    for entry in entries:
        if isinstance(entry.command, ChangeMembers):
            state.members = _members_of(entry.command)
            state.members_index = entry.index


def _members_of(command: ChangeMembers) -> tuple[Member, ...]:
    return tuple(Member(name, disk) for name, disk in command.members)


def _truncate_log(state: ReplicaState, index: int) -> None:
    state.log.truncate_from(index)
    if state.members_index >= index:
        state.members = state.applied_members
        state.members_index = state.log.base_index
        adopt_members(state, state.log.entries)


def send_to_all(
    state: ReplicaState, now_ms: float, effects: list[ReplicationEffect]
) -> None:
    """Sends each follower and learner the entries it lacks, or a heartbeat."""
    for name, progress in state.progress.items():
        _send_to_follower(state, name, progress, now_ms, effects)


def send_due(
    state: ReplicaState, now_ms: float, effects: list[ReplicationEffect]
) -> None:
    """Sends entries or a heartbeat to each replica whose heartbeat is due."""
    for name, progress in state.progress.items():
        if now_ms >= progress.sent_ms + state.timing.heartbeat_ms:
            _send_to_follower(state, name, progress, now_ms, effects)


def _send_to_follower(
    state: ReplicaState,
    name: str,
    progress: Progress,
    now_ms: float,
    effects: list[ReplicationEffect],
) -> None:
    """Sends a replica what it lacks, as far as it keeps up, or a heartbeat.

    Load pattern: a replica whose disk is empty or slow needs a long log of
    large configurations, which must fit into the memory of both sides.
    """
    progress.sent_ms = now_ms
    is_window_full = progress.unacked_bytes >= MAX_UNACKED_BYTES
    prev_index = progress.next_index - 1
    if is_window_full:
        # A heartbeat, which shows whether the follower received the rest.
        prev_index = max(prev_index, state.log.base_index)
    prev_term = state.log.term_at(prev_index)
    if prev_term is None:
        assert state.snapshot is not None
        request = SnapshotRequest(state.term, state.snapshot, now_ms)
        progress.next_index = state.snapshot.index + 1
        progress.unacked_bytes += len(state.snapshot.state)
        effects.append(SendToReplica(name, request))
        return
    entries = ()
    if not is_window_full:
        entries = state.log.after(
            prev_index, MAX_ENTRIES_PER_APPEND, MAX_APPEND_BYTES
        )
        progress.next_index += len(entries)
        progress.unacked_bytes += bytes_of(entries)
    request = AppendRequest(
        term=state.term,
        prev_index=prev_index,
        prev_term=prev_term,
        entries=entries,
        commit_index=state.commit_index,
        sent_ms=now_ms,
        features=state.features,
    )
    effects.append(SendToReplica(name, request))


def on_append_request(
    state: ReplicaState,
    sender: str,
    request: AppendRequest,
    now_ms: float,
    effects: list[ReplicationEffect],
) -> None:
    """Appends the leader's entries, advances the commit index and replies.

    The driver sends the reply only after the entries are synced.
    """
    if not _accept_leader(state, sender, request, now_ms, effects):
        return
    state.leader_features = request.features
    if request.prev_index < state.log.base_index:
        # Entries that the snapshot covers are committed and cannot conflict.
        match_index = state.log.base_index
        is_covered = request.prev_index + len(request.entries) <= match_index
        entries = [] if is_covered else list(request.entries)
        entries = [entry for entry in entries if entry.index > match_index]
        last_index = max(match_index, request.prev_index + len(request.entries))
    elif state.log.term_at(request.prev_index) != request.prev_term:
        match_index = min(request.prev_index - 1, state.log.last_index)
        _reply(state, sender, False, match_index, request.sent_ms, effects)
        return
    else:
        entries = list(request.entries)
        last_index = request.prev_index + len(request.entries)
    _append_new_entries(state, entries, effects)
    _commit_to(state, min(request.commit_index, last_index), effects)
    _reply(state, sender, True, last_index, request.sent_ms, effects)


def _accept_leader(
    state: ReplicaState,
    leader: str,
    request: AppendRequest | SnapshotRequest,
    now_ms: float,
    effects: list[ReplicationEffect],
) -> bool:
    """Follows the sender of a request unless its term is outdated.

    Returns:
        Whether the request is accepted. If not, a failure reply with the
        current term was added to `effects`.
    """
    term = request.term
    if term < state.term:
        _reply(state, leader, False, 0, request.sent_ms, effects)
        return False
    if (
        term > state.term
        or state.leader != leader
        or (state.role is not Role.FOLLOWER)
    ):
        election.become_follower(state, term, leader, now_ms, effects)
    if state.voted_for != leader:
        # Persisted: after a restart it names the leader whose lease may
        # still be valid.
        state.voted_for = leader
        effects.append(StoreTerm(state.term, leader))
    state.last_contact_ms = now_ms
    election.reset_election_timer(state, now_ms)
    return True


def _append_new_entries(
    state: ReplicaState,
    entries: list[LogEntry],
    effects: list[ReplicationEffect],
) -> None:
    new_entries = [e for e in entries if state.log.term_at(e.index) != e.term]
    if not new_entries:
        return
    if new_entries[0].index <= state.log.last_index:
        _truncate_log(state, new_entries[0].index)
    state.log.entries.extend(new_entries)
    adopt_members(state, new_entries)
    effects.append(StoreEntries(tuple(new_entries)))


def _reply(
    state: ReplicaState,
    leader: str,
    is_success: bool,
    match_index: int,
    sent_ms: float,
    effects: list[ReplicationEffect],
) -> None:
    reply = AppendReply(
        state.term,
        is_success,
        match_index,
        state.disk_id,
        sent_ms,
        state.features,
    )
    effects.append(SendToReplica(leader, reply))


def on_append_reply(
    state: ReplicaState,
    sender: str,
    reply: AppendReply,
    now_ms: float,
    effects: list[ReplicationEffect],
) -> None:
    """Updates a follower's progress and commits what a quorum has synced.

    A reply with a higher term makes this replica a follower. Any other reply
    counts only if it comes from the disk that the leader tracks.
    """
    if reply.term > state.term:
        election.become_follower(state, reply.term, "", now_ms, effects)
        return
    progress = state.progress.get(sender)
    if (
        state.role is not Role.LEADER
        or reply.term != state.term
        or progress is None
        or progress.disk_id != reply.disk_id
    ):
        return
    progress.acked_ms = max(progress.acked_ms, reply.sent_ms)
    progress.features = reply.features
    if reply.is_success:
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        if progress.match_index == progress.next_index - 1:
            progress.unacked_bytes = 0
    else:
        progress.next_index = max(1, reply.match_index + 1)
        progress.unacked_bytes = 0
    election.renew_lease(state, now_ms)
    advance_commit(state, effects)
    if progress.next_index <= state.log.last_index:
        _send_to_follower(state, sender, progress, now_ms, effects)


def advance_commit(
    state: ReplicaState, effects: list[ReplicationEffect]
) -> None:
    """Commits the entries that a majority of the members' disks hold.

    An entry of an earlier term commits only together with a later entry of
    the current term (Raft paper, section 5.4.2).
    """
    match_indexes = []
    for member in state.members:
        if member.replica == state.name:
            match_indexes.append(state.log.last_index)
            continue
        progress = state.progress_of(member)
        match_indexes.append(progress.match_index if progress else 0)
    match_indexes.sort(reverse=True)
    index = match_indexes[state.quorum - 1]
    if state.log.term_at(index) == state.term:
        _commit_to(state, index, effects)


def _commit_to(
    state: ReplicaState, index: int, effects: list[ReplicationEffect]
) -> None:
    state.commit_index = max(state.commit_index, index)
    while state.applied_index < state.commit_index:
        _apply_next(state, effects)
    _take_due_snapshot(state, effects)


def _apply_next(state: ReplicaState, effects: list[ReplicationEffect]) -> None:
    entry = state.log.entry(state.applied_index + 1)
    state.applied_index = entry.index
    state.applied_bytes += approximate_bytes(entry.command)
    if isinstance(entry.command, ChangeMembers):
        state.applied_members = _members_of(entry.command)
        names = tuple(name for name, _ in entry.command.members)
        effects.append(MembersChanged(names))
    result = apply_command(state.register, entry.command)
    state.proposals.discard(entry.index)
    effects.append(CommandApplied(entry.index, entry.command, result))


def _is_snapshot_due(state: ReplicaState) -> bool:
    """Returns whether enough entries were applied since the last snapshot.

    The intervals in entries and in bytes grow with the register, so that the
    cost of encoding snapshots stays a constant share of the cost of applying
    entries.
    """
    timing = state.timing
    entries = state.applied_index - state.log.base_index
    snapshot_bytes = len(state.snapshot.state) if state.snapshot else 0
    return entries >= max(
        timing.snapshot_entries, len(state.register.claims)
    ) or state.applied_bytes >= max(timing.snapshot_bytes, snapshot_bytes)


def _take_due_snapshot(
    state: ReplicaState, effects: list[ReplicationEffect]
) -> None:
    if state.is_snapshot_pending or not _is_snapshot_due(state):
        return
    index = state.applied_index
    term = state.log.term_at(index)
    assert term is not None
    state.is_snapshot_pending = True
    effects.append(
        TakeSnapshot(index, term, state.applied_members, state.register.copy())
    )


def on_snapshot_taken(
    state: ReplicaState, snapshot: Snapshot, effects: list[ReplicationEffect]
) -> None:
    """Stores an encoded snapshot and compacts the log up to its index."""
    state.is_snapshot_pending = False
    if snapshot.index <= state.log.base_index:
        return  # A snapshot of the leader was installed in the meantime.
    state.snapshot = snapshot
    state.log.compact_to(snapshot.index, snapshot.term)
    state.applied_bytes = state.log.bytes_between(
        snapshot.index, state.applied_index
    )
    effects.append(StoreSnapshot(snapshot))


def on_snapshot_refused(
    state: ReplicaState, effects: list[ReplicationEffect]
) -> None:
    """Takes a snapshot of the present state in place of a refused one.

    Entries committed since then need not be copied behind it, so the disk needs
    no room for a second copy of them.
    """
    state.is_snapshot_pending = False
    _take_due_snapshot(state, effects)


def on_snapshot_request(
    state: ReplicaState,
    sender: str,
    request: SnapshotRequest,
    now_ms: float,
    effects: list[ReplicationEffect],
) -> None:
    """Installs the leader's snapshot if it is ahead of this replica's log.

    A log with the last entry of the snapshot holds all that it covers. It is
    kept, since later entries may have been acknowledged to the leader.
    """
    if not _accept_leader(state, sender, request, now_ms, effects):
        return
    snapshot = request.snapshot
    if state.log.term_at(snapshot.index) == snapshot.term:
        _commit_to(state, snapshot.index, effects)
    elif snapshot.index > state.commit_index:
        install_snapshot(state, snapshot)
        effects.append(StoreSnapshot(snapshot))
    match_index = max(snapshot.index, state.commit_index)
    _reply(state, sender, True, match_index, request.sent_ms, effects)


def install_snapshot(state: ReplicaState, snapshot: Snapshot) -> None:
    """Replaces register and members by those of a snapshot; clears the log."""
    state.snapshot = snapshot
    state.register = decode_register(snapshot.state)
    state.log.entries.clear()
    state.log.base_index = snapshot.index
    state.log.base_term = snapshot.term
    state.commit_index = snapshot.index
    state.applied_index = snapshot.index
    state.applied_bytes = 0
    state.members = snapshot.members
    state.applied_members = snapshot.members
    state.members_index = snapshot.index
