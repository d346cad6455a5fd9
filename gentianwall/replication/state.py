"""State of one replica: its log, its role, and the progress of others."""

from __future__ import annotations

import enum
import itertools
import random
from collections.abc import Iterable

import attrs

from gentianwall.claims.commands import STATED_FEATURES, approximate_bytes
from gentianwall.claims.register import RegisterState
from gentianwall.replication.messages import LogEntry, Member, Snapshot

# Twice the shortest reconnection delay of a link, so that a link can be
# connected again before the next pre-vote.
FAST_ELECTION_INTERVAL_MS = 100.0
# The other replicas restart within about 1 s.
FAST_ELECTION_PERIOD_MS = 2000.0


def bytes_of(entries: Iterable[LogEntry]) -> int:
    """Returns about how much memory log entries take."""
    return sum(approximate_bytes(entry.command) for entry in entries)


class Role(enum.Enum):
    """Role of a replica in the current term."""

    FOLLOWER = "follower"
    PRE_VOTE = "trial"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen(kw_only=True)
class Timing:
    """Timing of replication, by the monotonic clock of each replica.

    Attributes:
        heartbeat_ms: Time between heartbeats of the leader.
        election_timeout_ms: Time without contact to the leader before an
            election; the actual time is drawn between this and its double.
        snapshot_entries: Applied entries after which a snapshot is written.
        snapshot_bytes: Memory of applied entries after which it is written in
            any case.
    """

    heartbeat_ms: float = 50.0
    election_timeout_ms: float = 300.0
    snapshot_entries: int = 5000
    # A fortieth of the memory of the smallest machines that replicas run on.
    snapshot_bytes: int = 8 * 1024 * 1024

    @property
    def lease_ms(self) -> float:
        """Time after the start of its lease in which a leader may serve reads.

        It is shorter than the election timeout to allow for clock drift.
        """
        return self.election_timeout_ms * 0.9


@attrs.define
class Log:
    """The log entries after the snapshot, in memory."""

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
        """Returns the term of an entry, or None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> LogEntry:
        """Returns the entry at an index, which must be in the log."""
        return self.entries[index - self.base_index - 1]

    def after(
        self, index: int, max_entries: int, max_bytes: int
    ) -> tuple[LogEntry, ...]:
        """Returns entries after an index, up to either limit.

        The first entry is returned even if it alone is over `max_bytes`.
        """
        start = index - self.base_index
        taken = []
        taken_bytes = 0
        for entry in itertools.islice(self.entries, start, start + max_entries):
            taken_bytes += approximate_bytes(entry.command)
            if taken and taken_bytes > max_bytes:
                break
            taken.append(entry)
        return tuple(taken)

    def bytes_between(self, after: int, up_to: int) -> int:
        """Returns the memory of the entries after an index up to another."""
        first = max(0, after - self.base_index)
        end = max(0, up_to - self.base_index)
        return bytes_of(self.entries[first:end])

    def truncate_from(self, index: int) -> None:
        """Removes the entry at an index and all after it."""
        del self.entries[index - self.base_index - 1 :]

    def compact_to(self, index: int, term: int) -> None:
        """Removes the entries up to an index, which a snapshot covers."""
        del self.entries[: max(0, index - self.base_index)]
        self.base_index = index
        self.base_term = term


@attrs.define
class Progress:
    """The leader's view of how far a follower or learner has replicated.

    Attributes:
        disk_id: Identity of the replica's disk.
        next_index: Index of the next entry to send.
        match_index: Last index known to be synced on that disk.
        acked_ms: When the latest acknowledged request was sent, by the
            leader's clock.
        sent_ms: When the latest request was sent.
        unacked_bytes: Memory of what was sent since the replica last
            acknowledged or refused all that it had been sent.
        features: What its build understands; None until its first reply.
    """

    disk_id: str
    next_index: int
    match_index: int = 0
    acked_ms: float = float("-inf")
    sent_ms: float = float("-inf")
    unacked_bytes: int = 0
    features: int | None = None


@attrs.define
class ReplicaState:
    """State of one replica; its reducer changes it in place.

    Attributes:
        name: Name of the replica's process.
        disk_id: Identity of its disk, chosen when the disk was empty.
        peers: Names of the other replicas, from the settings or added since.
        target_voters: Number of voters to reach; 0 makes every replica that
            joins a voter.
        members: The members in force: the last list in the log, committed or
            not.
        members_index: Log index of that list.
        applied_members: The members of the last committed change.
        snapshot: The latest snapshot, sent to replicas that lag behind it.
        proposals: Log indexes of this leader's proposals that are not applied
            yet.
        last_contact_ms: When a request of the leader was last accepted.
        election_due_ms: When the next pre-vote starts.
        is_snapshot_pending: Whether a snapshot is being encoded.
        applied_bytes: Memory of the applied entries in the log.
        has_unsent_entries: Whether entries were appended since the last
            batch was sent.
        leader_since_ms: When this replica became leader.
        stored_entries: Sum of the voters' last match indexes, to detect a
            leader whose entries no voter stores.
        stored_ms: When it last changed, or when all entries were committed.
        fast_elections_until_ms: Until when a restarted former leader starts
            a pre-vote every `FAST_ELECTION_INTERVAL_MS`.
        proposed_features: Features that this leader has proposed to use.
        lease_start_ms: Start of the lease: the latest time such that a quorum
            has acknowledged requests sent then or later.
        features: What this build understands, stated to other replicas.
        leader_features: What the build of the followed leader understands.
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
    applied_bytes: int = 0
    has_unsent_entries: bool = False
    leader_since_ms: float = float("-inf")
    lease_start_ms: float = float("-inf")
    stored_entries: int = 0
    stored_ms: float = 0.0
    join_due_ms: float = 0.0
    fast_elections_until_ms: float = float("-inf")
    proposed_features: int = 0
    features: int = STATED_FEATURES
    leader_features: int = 0

    @property
    def is_member(self) -> bool:
        """Whether this replica is a voter with its current disk."""
        return Member(self.name, self.disk_id) in self.members

    @property
    def quorum(self) -> int:
        """Number of members that form a majority."""
        return len(self.members) // 2 + 1

    @property
    def uncommitted_bytes(self) -> int:
        """Memory of the entries that are not committed yet."""
        return self.log.bytes_between(self.commit_index, self.log.last_index)

    def replicas_without(self, feature: int) -> list[str]:
        """Returns the replicas that have stated that they lack a feature.

        A replica that has not replied to this leader yet is not among them,
        since one that is down must not stop changes.
        """
        return [
            name
            for name, progress in self.progress.items()
            if progress.features is not None and not progress.features & feature
        ]

    def progress_of(self, member: Member) -> Progress | None:
        """Returns the progress of a member, or None for another disk."""
        progress = self.progress.get(member.replica)
        if progress is None or progress.disk_id != member.disk_id:
            return None
        return progress

    def can_propose(self, features: int) -> bool:
        """Returns whether the log may contain the commands of some features.

        That takes a committed entry that says so. A replica that has since
        been replaced by a build without them forbids it as well.
        """
        if self.register.features & features != features:
            return False
        return all(
            progress.features is None
            or progress.features & features == features
            for progress in self.progress.values()
        )

    def has_lease(self, now_ms: float) -> bool:
        """Returns whether the lease rules out that another replica leads."""
        return (
            self.role is Role.LEADER
            and now_ms < self.lease_start_ms + self.timing.lease_ms
        )

    def can_read(self, now_ms: float) -> bool:
        """Returns whether reads of the register are current.

        That takes a valid lease and a committed entry of the current term.
        """
        is_own_term_committed = self.log.term_at(self.commit_index) == self.term
        return self.has_lease(now_ms) and is_own_term_committed
