"""Effects that the reducer of a replica returns for the driver.

The driver syncs all storage effects of a list before it sends its messages.
"""

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
    """Persists the current term and the vote in it."""

    term: int
    voted_for: str


@attrs.frozen
class StoreEntries:
    """Persists entries; they replace stored ones from the first index on."""

    entries: tuple[LogEntry, ...]


@attrs.frozen
class StoreSnapshot:
    """Persists a snapshot; entries up to its index may be deleted."""

    snapshot: Snapshot


@attrs.frozen
class TakeSnapshot:
    """Encodes a copy of the register outside of the event loop.

    The driver reports a `SnapshotTaken` or `SnapshotRefused` event.

    Attributes:
        index: Index of the last entry that the copy includes.
        term: Term of that entry.
        members: The committed members.
        register: A copy that later commands do not change.
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
    """Reports that this replica, leader or follower, applied a command."""

    index: int
    command: Command
    result: CommandResult


@attrs.frozen
class ProposalAbandoned:
    """Reports that this replica cannot tell if a proposal will be committed."""

    index: int


@attrs.frozen
class LeadershipChanged:
    """Reports a new leader; an empty name means that none is known."""

    term: int
    leader: str
    is_self: bool


@attrs.frozen
class MembersChanged:
    """Reports that a change of the members was committed."""

    members: tuple[str, ...]


ReplicationEffect = (
    StoreTerm
    | StoreEntries
    | StoreSnapshot
    | TakeSnapshot
    | SendToReplica
    | CommandApplied
    | ProposalAbandoned
    | LeadershipChanged
    | MembersChanged
)

StorageEffect = StoreTerm | StoreEntries | StoreSnapshot
