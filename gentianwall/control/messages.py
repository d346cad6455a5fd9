"""Messages between entries and control instances."""

from __future__ import annotations

import attrs

from gentianwall.claims.commands import Command, CommandResult


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


ControlMessage = (
    CommandRequest
    | CommandReply
    | CommandRefused
    | ConfigPoll
    | ConfigNotice
    | StatusRequest
    | StatusReply
)
