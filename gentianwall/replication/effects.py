"""What a replica wants done; storing goes before sending."""

from __future__ import annotations

import attrs

from gentianwall.claims.commands import Command, CommandResult
from gentianwall.claims.register import RegisterState
from gentianwall.replication.messages import (
    LogEntry,
    Member,
    ReplicationMessage,
    Snapshot,
)


@attrs.frozen
class StoreTerm:
    """Keeps the term and the vote in it."""

    term: int
    voted_for: str


@attrs.frozen
class StoreEntries:
    """Keeps entries; those from the first one's index on are replaced."""

    entries: tuple[LogEntry, ...]


@attrs.frozen
class StoreSnapshot:
    """Keeps a snapshot; entries up to its index may go."""

    snapshot: Snapshot


@attrs.frozen
class TakeSnapshot:
    """Packs a copy of the register beside other work.

    `SnapshotTaken` tells when it is packed.

    Attributes:
        index: Last entry in it.
        term: Term of that entry.
        members: The committed members.
        register: A copy that does not change.
    """

    index: int
    term: int
    members: tuple[Member, ...]
    register: RegisterState


@attrs.frozen
class SendToReplica:
    """Sends a message to another replica; it may be lost."""

    replica: str
    message: ReplicationMessage


@attrs.frozen
class CommandApplied:
    """A committed command took effect here, at the leader or a follower."""

    index: int
    command: Command
    result: CommandResult


@attrs.frozen
class ProposalDropped:
    """A proposal of this replica may or may not be committed elsewhere."""

    index: int


@attrs.frozen
class LeadershipChanged:
    """This replica knows another leader, or none."""

    term: int
    leader: str
    is_self: bool


@attrs.frozen
class MembersChanged:
    """A membership was committed."""

    members: tuple[str, ...]


ReplicationEffect = (
    StoreTerm
    | StoreEntries
    | StoreSnapshot
    | TakeSnapshot
    | SendToReplica
    | CommandApplied
    | ProposalDropped
    | LeadershipChanged
    | MembersChanged
)

StorageEffect = StoreTerm | StoreEntries | StoreSnapshot
