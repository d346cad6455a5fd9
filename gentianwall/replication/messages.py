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
    """A voting replica, bound to the disk that holds its promises."""

    replica: str
    disk_id: str


@attrs.frozen
class LogEntry:
    """One command at its place in the log."""

    index: int
    term: int
    command: Command


@attrs.frozen
class Snapshot:
    """The state machine after the entry `index`, and the members then."""

    index: int
    term: int
    members: tuple[Member, ...]
    state: bytes


@attrs.frozen
class VoteRequest:
    """Asks for a vote, or with `is_pre_vote` whether one would be given."""

    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool


@attrs.frozen
class VoteReply:
    """Answers a vote request; counts only under a member's disk."""

    term: int
    is_granted: bool
    is_pre_vote: bool
    disk_id: str


@attrs.frozen
class AppendRequest:
    """Entries after `prev_index`, or none as a heartbeat."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    sent_ms: float


@attrs.frozen
class AppendReply:
    """What the follower holds; `sent_ms` echoes the request."""

    term: int
    is_success: bool
    match_index: int
    disk_id: str
    sent_ms: float


@attrs.frozen
class SnapshotRequest:
    """Replaces the whole state of a follower that lags too far."""

    term: int
    snapshot: Snapshot
    sent_ms: float


@attrs.frozen
class JoinRequest:
    """Asks the leader to admit a replica whose disk is not a member.

    Attributes:
        disk_id: Identity of its disk.
        replica: Its name, where another replica passes the request on.
    """

    disk_id: str
    replica: str = ""


ReplicationMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | JoinRequest
)
