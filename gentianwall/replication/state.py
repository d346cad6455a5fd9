"""The state of one replica of the log."""

from __future__ import annotations

import enum
import random

import attrs

from gentianwall.claims.register import RegisterState
from gentianwall.replication.messages import LogEntry, Member, Snapshot

# Links are up again within two of their shortest reconnection times.
FAST_ELECTION_INTERVAL_MS = 100.0
# The others start again within about a second.
FAST_ELECTION_PERIOD_MS = 2000.0


class Role(enum.Enum):
    """What a replica is doing in the present term."""

    FOLLOWER = "follower"
    PRE_VOTE = "trial"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen(kw_only=True)
class Timing:
    """Time limits of the log, by the monotonic clock of each replica.

    Attributes:
        heartbeat_ms: Time between heartbeats of the leader.
        election_timeout_ms: Silence before an election; the actual time is
            drawn between this and its double.
        snapshot_entries: Entries after which a snapshot is written.
    """

    heartbeat_ms: float = 50.0
    election_timeout_ms: float = 300.0
    snapshot_entries: int = 5000

    @property
    def lease_ms(self) -> float:
        """How long a quorum's echo lets the leader answer reads.

        It stays below the election timeout to allow for clock drift.
        """
        return self.election_timeout_ms * 0.9


@attrs.define
class Log:
    """Entries after the snapshot."""

    base_index: int = 0
    base_term: int = 0
    entries: list[LogEntry] = attrs.field(factory=list)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None when it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> LogEntry:
        """Returns an entry that is held."""
        return self.entries[index - self.base_index - 1]

    def after(self, index: int, limit: int) -> tuple[LogEntry, ...]:
        """Returns up to `limit` entries after an index."""
        start = index - self.base_index
        return tuple(self.entries[start : start + limit])

    def truncate_from(self, index: int) -> None:
        """Removes the entries from an index on."""
        del self.entries[index - self.base_index - 1 :]

    def compact_to(self, index: int, term: int) -> None:
        """Forgets the entries up to an index, which a snapshot covers."""
        del self.entries[: max(0, index - self.base_index)]
        self.base_index = index
        self.base_term = term


@attrs.define
class Progress:
    """What the leader knows of a follower.

    Attributes:
        disk_id: The disk that the follower answers under.
        next_index: The next entry to send.
        match_index: The last entry known to be on that disk.
        acked_ms: When the last answered request was sent, by the leader's
            clock.
        sent_ms: When the last request was sent.
    """

    disk_id: str
    next_index: int
    match_index: int = 0
    acked_ms: float = float("-inf")
    sent_ms: float = float("-inf")


@attrs.define
class ReplicaState:
    """One replica; owned and changed in place by its reducer.

    Attributes:
        name: Name of the replica's process.
        disk_id: Identity of its disk, drawn when the disk was empty.
        peers: Names of the other replicas in the settings, or of those
            learned since.
        target_voters: How many replicas vote once enough have joined; 0
            makes every replica that joins a voter.
        members: The membership in force: the last one in the log.
        members_index: Log index of that membership.
        applied_members: The last membership that was committed.
        snapshot: The last snapshot, sent to replicas that lag.
        last_contact_ms: When the leader was last heard.
        election_due_ms: When an election is tried.
        is_snapshot_pending: Whether a snapshot is being packed.
        has_unsent_entries: Whether entries were appended since the last
            sending.
        lead_since_ms: When this replica became leader.
        fast_elections_until_ms: Until when a leader that has just started again
            tries elections in quick succession.
        lease_anchor_ms: Latest time at which a quorum is known to have
            followed this leader.
    """

    name: str
    disk_id: str
    peers: tuple[str, ...]
    timing: Timing
    rng: random.Random
    target_voters: int = 0
    register: RegisterState = attrs.field(factory=RegisterState)
    term: int = 0
    voted_for: str = ""
    log: Log = attrs.field(factory=Log)
    snapshot: Snapshot | None = None
    commit_index: int = 0
    applied_index: int = 0
    members: tuple[Member, ...] = ()
    members_index: int = 0
    applied_members: tuple[Member, ...] = ()
    role: Role = Role.FOLLOWER
    leader: str = ""
    votes: set[str] = attrs.field(factory=set)
    progress: dict[str, Progress] = attrs.field(factory=dict)
    proposals: set[int] = attrs.field(factory=set)
    last_contact_ms: float = 0.0
    election_due_ms: float = 0.0
    is_snapshot_pending: bool = False
    has_unsent_entries: bool = False
    lead_since_ms: float = float("-inf")
    lease_anchor_ms: float = float("-inf")
    join_due_ms: float = 0.0
    fast_elections_until_ms: float = float("-inf")

    @property
    def is_member(self) -> bool:
        """Whether this replica, with this disk, votes."""
        return Member(self.name, self.disk_id) in self.members

    @property
    def quorum(self) -> int:
        """How many members make a majority."""
        return len(self.members) // 2 + 1

    def progress_of(self, member: Member) -> Progress | None:
        """Returns what is known of a member's present disk."""
        progress = self.progress.get(member.replica)
        if progress is None or progress.disk_id != member.disk_id:
            return None
        return progress

    def has_lease(self, now_ms: float) -> bool:
        """Whether no other replica can have become leader."""
        return (
            self.role is Role.LEADER
            and now_ms < self.lease_anchor_ms + self.timing.lease_ms
        )

    def can_read(self, now_ms: float) -> bool:
        """Whether the register is current: lease and an own commit."""
        own_term = self.log.term_at(self.commit_index) == self.term
        return self.has_lease(now_ms) and own_term
