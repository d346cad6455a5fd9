"""Messages between entries and control instances."""

from __future__ import annotations

import attrs

from gentianwall.claims.commands import Command, CommandResult
from gentianwall.config.routes import RouteConfiguration
from gentianwall.membership.registry import RegisteredServer


@attrs.frozen
class CommandRequest:
    """Asks the leader to commit a command; may be repeated."""

    request_id: str
    command: Command


@attrs.frozen
class CommandReply:
    """The result of a committed command."""

    request_id: str
    result: CommandResult


@attrs.frozen
class CommandRefused:
    """The command was not taken.

    Attributes:
        request_id: The request.
        leader: Who may take it, or an empty text.
        is_disk_full: Whether the leader has no room for it.
    """

    request_id: str
    leader: str
    is_disk_full: bool


@attrs.frozen
class ConfigPoll:
    """What an entry holds; also its heartbeat to the control instances."""

    version: int
    quarantine_version: int
    is_ready: bool


@attrs.frozen
class ConfigNotice:
    """What is in force, told by a leader under a valid lease.

    Attributes:
        term: Term of the leader.
        version: Version in force.
        text: The declaration, or None when the entry holds it already.
        quarantine_version: Version of `quarantines`.
        quarantines: Refused fingerprints, or None when unchanged.
    """

    term: int
    version: int
    text: str | None
    quarantine_version: int
    quarantines: tuple[str, ...] | None


@attrs.frozen
class StatusRequest:
    """Asks for the state of the system as the leader knows it."""

    request_id: str


@attrs.frozen
class EntryStatus:
    """An entry as the leader last heard it."""

    name: str
    version: int
    quarantine_version: int
    is_ready: bool
    heard_ms_ago: float


@attrs.frozen
class VersionStatus:
    """One accepted change, for the history."""

    version: int
    change_id: str
    operator: str
    at_ms: int


@attrs.frozen
class StatusReply:
    """The state of the system under the leader's lease.

    Attributes:
        request_id: The request.
        leader: Who answers.
        term: Its term.
        version: The version in force.
        text: The declaration in force.
        commit_index: The last committed entry.
        members: Names of the voting replicas.
        disks: The same as NAME/DISK-ID; a replaced disk is repaired once it
            stands here.
        entries: All entries of the settings.
        history: The last accepted changes.
        quarantines: Refused fingerprints.
        quarantine_version: Version of them, to compare with the entries'.
        claims: How many claims are held.
    """

    request_id: str
    leader: str
    term: int
    version: int
    text: str
    commit_index: int
    members: tuple[str, ...]
    disks: tuple[str, ...]
    entries: tuple[EntryStatus, ...]
    history: tuple[VersionStatus, ...]
    quarantines: tuple[str, ...]
    quarantine_version: int
    claims: int


@attrs.frozen
class FeedPoll:
    """What an entry holds of the numbered configuration and the servers.

    Attributes:
        number: Number of the configuration; -1 for none.
        revision: Revision of the registry of servers.
        quarantine_version: Version of the quarantines.
        is_ready: Whether callers may be sent there.
    """

    number: int
    revision: int
    quarantine_version: int
    is_ready: bool


@attrs.frozen
class FeedNotice:
    """What changed since a poll, told by a leader under a valid lease.

    Attributes:
        term: Term of the leader.
        number: Number in force; -1 before the first configuration.
        configuration: The configuration, or None when the entry holds it.
        revision: Revision of the registry.
        servers: Servers that changed since the entry's revision.
        quarantine_version: Version of `quarantines`.
        quarantines: Refused fingerprints, or None when unchanged.
        controls: Names of the control instances that are known.
        entries: How many entries are heard; budgets are shared by them.
    """

    term: int
    number: int
    configuration: RouteConfiguration | None
    revision: int
    servers: tuple[RegisteredServer, ...]
    quarantine_version: int
    quarantines: tuple[str, ...] | None
    controls: tuple[str, ...]
    entries: int


@attrs.frozen
class FeedRedirect:
    """Another instance leads, or none that is known."""

    leader: str


@attrs.frozen
class ServersHeard:
    """Servers that were heard since the last such message."""

    servers: tuple[str, ...]


@attrs.frozen
class ReadRequest:
    """Asks for the numbered configuration in force."""

    request_id: str


@attrs.frozen
class ReadReply:
    """The numbered configuration under the leader's lease.

    Attributes:
        request_id: The request.
        number: Its number; -1 before the first.
        document: As the operator wrote it.
    """

    request_id: str
    number: int
    document: bytes


ControlMessage = (
    CommandRequest
    | CommandReply
    | CommandRefused
    | ConfigPoll
    | ConfigNotice
    | StatusRequest
    | StatusReply
    | FeedPoll
    | FeedNotice
    | FeedRedirect
    | ServersHeard
    | ReadRequest
    | ReadReply
)
