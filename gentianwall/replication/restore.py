"""Rebuilds a replica from what its disk held."""

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
class Recovered:
    """What a replica finds on its disk, or wants to find there."""

    disk_id: str
    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = attrs.field(factory=list)


def restore_replica(
    recovered: Recovered,
    name: str,
    peers: tuple[str, ...],
    timing: Timing,
    seed: int,
    now_ms: float,
    target_voters: int = 0,
) -> ReplicaState:
    """Returns a follower that remembers everything it synced.

    It grants no vote for one election timeout, since it cannot know what it
    promised to a leader before it stopped; but for the leader itself, which
    tries an election soon.

    Args:
        recovered: What the disk held.
        name: Name of the replica.
        peers: Names of the other replicas.
        timing: Time limits.
        seed: Seeds the choice of election timeouts.
        now_ms: The monotonic clock.
        target_voters: How many replicas vote; 0 for all that join.
    """
    state = ReplicaState(
        name=name,
        disk_id=recovered.disk_id,
        peers=peers,
        timing=timing,
        rng=random.Random(seed),
        target_voters=target_voters,
        term=recovered.term,
        voted_for=recovered.voted_for,
    )
    if recovered.snapshot is not None:
        appending.install_snapshot(state, recovered.snapshot)
    state.log.entries = list(recovered.entries)
    appending.adopt_members(state, state.log.entries)
    state.last_contact_ms = now_ms
    timeout_ms = timing.election_timeout_ms
    state.election_due_ms = now_ms + timeout_ms * (1 + state.rng.random())
    if recovered.voted_for == name:
        # It led last, so no other leader can hold a lease on its promise.
        state.fast_elections_until_ms = now_ms + FAST_ELECTION_PERIOD_MS
        state.election_due_ms = now_ms + FAST_ELECTION_INTERVAL_MS
    if not peers:
        # No one else can lead, so there is no promise to wait for.
        state.last_contact_ms = float("-inf")
        state.election_due_ms = now_ms
    return state


def kept_of(state: ReplicaState) -> Recovered:
    """Returns what the disk of a replica should hold."""
    return Recovered(
        disk_id=state.disk_id,
        term=state.term,
        voted_for=state.voted_for,
        snapshot=state.snapshot,
        entries=state.log.entries,
    )
