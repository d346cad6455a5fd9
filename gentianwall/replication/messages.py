"""Messages between the replicas of the log.

Terms, votes and appends follow Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm" (USENIX ATC 2014); pre-vote and
check-quorum follow Ongaro's thesis (2014).
"""

from __future__ import annotations

import attrs

from gentianwall.claims.commands import Command


@attrs.frozen
class Member:
    """A voting replica, bound to the disk that holds its term and vote."""

    replica: str
    disk_id: str


@attrs.frozen
class LogEntry:
    """A command with its index and term in the log."""

    index: int
    term: int
    command: Command


@attrs.frozen
class Snapshot:
    """The serialized register and the members after the entry at `index`."""

    index: int
    term: int
    members: tuple[Member, ...]
    state: bytes


@attrs.frozen
class VoteRequest:
    """Asks for a vote; with `is_pre_vote`, asks if it would be granted."""

    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool


@attrs.frozen
class VoteReply:
    """Replies to a vote request; counts only if `disk_id` is a member's."""

    term: int
    is_granted: bool
    is_pre_vote: bool
    disk_id: str


@attrs.frozen
class AppendRequest:
    """Carries the entries after `prev_index`; a heartbeat has none.

    Attributes:
        term: Term of the leader.
        prev_index: Index of the entry before `entries`.
        prev_term: Term of that entry.
        entries: Entries to append.
        commit_index: Index of the last entry that the leader has committed.
        sent_ms: When it was sent, by the leader's clock.
        features: Sum of the `FEATURE_` constants of what the leader's build
            understands; 0 for builds from before there were any.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    sent_ms: float
    features: int = 0


@attrs.frozen
class AppendReply:
    """Acknowledges or refuses an append or a snapshot.

    Attributes:
        term: The current term of the follower.
        is_success: Whether the follower's log matches up to `match_index`.
        match_index: On success, the last index known to match; otherwise the
            index after which the leader continues to send.
        disk_id: Identity of the follower's disk.
        sent_ms: The request's `sent_ms`.
        features: What the follower's build understands, as in a request.
    """

    term: int
    is_success: bool
    match_index: int
    disk_id: str
    sent_ms: float
    features: int = 0


@attrs.frozen
class SnapshotRequest:
    """Replaces the state of a follower that needs entries already compacted."""

    term: int
    snapshot: Snapshot
    sent_ms: float


@attrs.frozen
class JoinRequest:
    """Asks the leader to admit a replica that is not a member with its disk.

    Attributes:
        disk_id: Identity of its disk.
        replica: Name of the joining replica if the request is forwarded;
            empty if the sender itself joins.
        features: Sum of the `FEATURE_` constants that the joining replica
            understands.
    """

    disk_id: str
    replica: str = ""
    features: int = 0


ReplicationMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | JoinRequest
)
