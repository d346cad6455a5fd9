"""Conversion between a replica and its persistent state."""

from __future__ import annotations

import random

import attrs

from gentianwall.replication import appending
from gentianwall.replication.messages import LogEntry, Snapshot
from gentianwall.replication.state import (
    FAST_ELECTION_INTERVAL_MS,
    FAST_ELECTION_PERIOD_MS,
    ReplicaState,
    Timing,
)


@attrs.define
class PersistentState:
    """The persistent state of a replica, as read from or written to disk."""

    disk_id: str
    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = attrs.field(factory=list)


def restore_replica(
    persistent_state: PersistentState,
    name: str,
    peers: tuple[str, ...],
    timing: Timing,
    seed: int,
    now_ms: float,
    target_voters: int = 0,
    features: int = 0,
) -> ReplicaState:
    """Returns a follower with the term, vote and log read from its disk.

    For one election timeout it grants a vote only to the leader that it voted
    for or followed last: before the restart it may have replied to heartbeats
    on which that leader's lease still rests. If this replica itself was that
    leader, it starts a pre-vote early and repeats it in quick succession.

    Args:
        persistent_state: The persistent state.
        name: Name of the replica.
        peers: Names of the other replicas.
        timing: Timing of replication.
        seed: Seed of the random election timeouts.
        now_ms: The monotonic clock.
        target_voters: Number of voters to reach; 0 makes each replica that
            joins a voter.
        features: What this build understands.
    """
    state = ReplicaState(
        name=name,
        disk_id=persistent_state.disk_id,
        peers=peers,
        timing=timing,
        rng=random.Random(seed),
        target_voters=target_voters,
        term=persistent_state.term,
        voted_for=persistent_state.voted_for,
        features=features,
    )
    if persistent_state.snapshot is not None:
        appending.install_snapshot(state, persistent_state.snapshot)
    state.log.entries = list(persistent_state.entries)
    appending.adopt_members(state, state.log.entries)
    state.last_contact_ms = now_ms
    timeout_ms = timing.election_timeout_ms
    state.election_due_ms = now_ms + timeout_ms * (1 + state.rng.random())
    if persistent_state.voted_for == name:
        # Following another leader would have replaced this vote, so no other
        # leader can hold a lease that relies on this replica.
        state.fast_elections_until_ms = now_ms + FAST_ELECTION_PERIOD_MS
        state.election_due_ms = now_ms + FAST_ELECTION_INTERVAL_MS
    if not peers:
        # No other replica can be the leader, so there is no lease to wait for.
        state.last_contact_ms = float("-inf")
        state.election_due_ms = now_ms
    return state


def persistent_state_of(state: ReplicaState) -> PersistentState:
    """Returns the persistent state of a replica."""
    return PersistentState(
        disk_id=state.disk_id,
        term=state.term,
        voted_for=state.voted_for,
        snapshot=state.snapshot,
        entries=state.log.entries,
    )
