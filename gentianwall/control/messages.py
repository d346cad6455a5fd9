"""Messages between entries and control instances."""

from __future__ import annotations

import attrs

from gentianwall.claims.commands import Command, CommandResult
from gentianwall.config.routes import RouteConfiguration
from gentianwall.membership.registry import RegisteredServer

# Entries and leader forget a rate limit that no answer has repeated for this
# long. Only its holders receive answers of the server, and they may have no
# requests for it for a while.
RATE_LIMIT_MAX_AGE_MS = 60_000.0


# Processes that understand organisations. Other entries would serve without
# keys and other control instances would store a configuration without its
# organisations, so that they receive no configuration that has some.
FEATURE_ORGANISATIONS = 1


@attrs.frozen
class CommandRequest:
    """Asks the leader to commit a command; may be sent more than once."""

    request_id: str
    command: Command


@attrs.frozen
class CommandReply:
    """Reports the result of a committed command."""

    request_id: str
    result: CommandResult


@attrs.frozen
class CommandRefused:
    """Reports that a command or a read was refused.

    Attributes:
        request_id: Id of the refused request.
        leader: Name of the leader to send it to instead; empty if there is
            none or the sender leads.
        is_disk_full: Whether the leader refused because its disk is full.
    """

    request_id: str
    leader: str
    is_disk_full: bool


@attrs.frozen
class ConfigPoll:
    """Reports an entry's versions; also the heartbeat of the entry.

    Attributes:
        version: Version of the declaration that the entry applies.
        quarantine_version: Version of the quarantines that it applies.
        is_ready: Whether the entry is ready for calls.
    """

    version: int
    quarantine_version: int
    is_ready: bool


@attrs.frozen
class ConfigNotice:
    """Reports the configuration in force; sent by a leader with a valid lease.

    Attributes:
        term: Term of the leader.
        version: Version of the declaration in force.
        text: Declaration in force; None if the entry has it already.
        quarantine_version: Version of `quarantines`.
        quarantines: Fingerprints of quarantined requests; None if unchanged.
    """

    term: int
    version: int
    text: str | None
    quarantine_version: int
    quarantines: tuple[str, ...] | None


@attrs.frozen
class StatusRequest:
    """Asks the leader for the state of the system."""

    request_id: str


@attrs.frozen
class EntryStatus:
    """State of an entry according to its last heartbeat to the leader.

    Attributes:
        name: Name of the entry.
        version: Version of the declaration that the entry applies.
        quarantine_version: Version of the quarantines that it applies.
        is_ready: Whether the entry is ready for calls.
        heard_ms_ago: Time since the leader received the last heartbeat.
    """

    name: str
    version: int
    quarantine_version: int
    is_ready: bool
    heard_ms_ago: float


@attrs.frozen
class VersionStatus:
    """An accepted change of the declaration, as listed in the history."""

    version: int
    change_id: str
    operator: str
    at_ms: int


@attrs.frozen
class StatusReply:
    """Reports the state of the system; sent by a leader with a valid lease.

    Attributes:
        request_id: Id of the request.
        leader: Name of the leader, which sends this reply.
        term: Term of the leader.
        version: Version of the declaration in force.
        text: Declaration in force.
        commit_index: Index of the last committed log entry.
        members: Names of the voting replicas.
        disks: Voting replicas as NAME/DISK-ID. The repair of a replaced disk
            is complete once its id is listed here.
        entries: State of every entry named in the settings.
        history: Most recent accepted changes.
        quarantines: Fingerprints of quarantined requests.
        quarantine_version: Version of `quarantines`, to be compared with the
            versions that the entries report.
        claims: Number of stored claims.
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
class RateLimitReport:
    """Reports what a server stated about its rate limit.

    Attributes:
        server: Name of the server.
        per_second: Requests a second that it takes from all entries together;
            None if it has stated that it has no limit any more.
        age_ms: Time since it stated that.
    """

    server: str
    per_second: float | None
    age_ms: float


@attrs.frozen
class SharedRateLimit:
    """Reports which entries may send requests to a server with a rate limit.

    Attributes:
        server: Name of the server.
        per_second: Requests a second that it takes from all entries together.
        holders: Names of the entries that share this limit equally.
    """

    server: str
    per_second: float
    holders: tuple[str, ...]


@attrs.frozen
class LimitReport:
    """Reports how an entry uses its tokens of one limit.

    Attributes:
        name: Name of the limit.
        spent: Tokens spent in this lease session.
        returned: Tokens that it gave up unused in this lease session.
        wanted: Tokens that it would like to hold.
        waiting: Requests that wait for a token.
    """

    name: str
    spent: int
    returned: int
    wanted: int
    waiting: int


@attrs.frozen
class LimitHandover:
    """Reports to a new leader what an entry has of one limit.

    Attributes:
        name: Name of the limit.
        tokens: Unused tokens, which it gives up.
        spent: Tokens that it spent within the window, by age in steps.
        fallback: Tokens a window that it might spend without a lease, and
            gives up. They are part of `tokens` and `spent`.
    """

    name: str
    tokens: int
    spent: tuple[int, ...]
    fallback: int


@attrs.frozen
class LimitPoll:
    """Reports an entry's lease session and its use of limits.

    Attributes:
        boot: Random id of the process start.
        generation: Number of the lease session within that.
        term: Term of the leader that it addresses; 0 if it knows none.
        number: Number of this poll within the session, from 1.
        serial: Highest serial of a notice that it applied in the session.
        reports: Limits whose use has changed since the last confirmed report.
        handovers: What the entry had at the start of the session.
    """

    boot: int
    generation: int
    term: int
    number: int
    serial: int
    reports: tuple[LimitReport, ...] = ()
    handovers: tuple[LimitHandover, ...] = ()


@attrs.frozen
class LimitGrant:
    """Reports the tokens of one limit that are leased to an entry.

    Attributes:
        name: Name of the limit.
        granted: Tokens granted in this lease session so far.
        fallback: Tokens a window that it may spend without a lease.
        recalled: Unused tokens that it should return at once.
        exhausted_ms: Time until the limit has room again; 0 if it has room.
    """

    name: str
    granted: int
    fallback: int
    recalled: int = 0
    exhausted_ms: float = 0.0


@attrs.frozen
class LimitNotice:
    """Reports the lease of an entry.

    Attributes:
        boot: Id of the process start from the poll.
        generation: Lease session that it belongs to.
        number: Number of the last poll that arrived, from whose sending the
            lease is valid.
        serial: Number of this notice within the session.
        grants: Limits with a change that the entry has not confirmed.
        is_unknown: Whether the leader does not know the session, so that the
            entry must start another one.
    """

    boot: int
    generation: int
    number: int
    serial: int
    grants: tuple[LimitGrant, ...] = ()
    is_unknown: bool = False


@attrs.frozen
class FeedPoll:
    """Reports an entry's versions and asks the leader for later changes.

    Attributes:
        number: Number of the entry's route configuration; -1 if it has none.
        revision: Revision of the server registry up to which it is current.
        quarantine_version: Version of the entry's quarantines.
        is_ready: Whether the entry is ready to serve callers.
        rate_limits_version: Version of the entry's shares of rate limits.
        rate_limits: What servers recently stated to the entry.
        is_partitioned: Whether the entry reaches no server.
        wants_peers: Whether the entry asks for a list of peers.
        features: Sum of the `FEATURE_` constants of what the entry
            understands; 0 for builds from before there were any.
        evacuation_version: Version of the entry's evacuations.
        limits: Its use of limits over all entries; None if none is configured.
        refused: Names of quarantined requests that it refused since its last
            poll.
    """

    number: int
    revision: int
    quarantine_version: int
    is_ready: bool
    rate_limits_version: int = 0
    rate_limits: tuple[RateLimitReport, ...] = ()
    is_partitioned: bool = False
    wants_peers: bool = False
    features: int = 0
    evacuation_version: int = 0
    limits: LimitPoll | None = None
    refused: tuple[str, ...] = ()


@attrs.frozen
class PeerList:
    """Names some entries that relay requests of an entry without servers.

    Attributes:
        hosts: Hosts of ready entries that are not partitioned themselves.
    """

    hosts: tuple[str, ...]


@attrs.frozen
class FeedNotice:
    """Reports changes since a poll; sent by a leader with a valid lease.

    Attributes:
        term: Term of the leader.
        number: Number of the route configuration in force; -1 if there is
            none yet.
        configuration: Configuration in force; None if the entry has it.
        revision: Revision of the server registry.
        servers: Servers that changed after the revision in the poll.
        quarantine_version: Version of `quarantines`.
        quarantines: Fingerprints of quarantined requests; None if unchanged.
        controls: Names of the known control instances.
        entries: Number of entries that polled recently, by which budgets are
            divided.
        rate_limits_version: Version of `rate_limits`.
        rate_limits: All rate limits in force; None if unchanged.
        base_revision: Revision after which `servers` lists all changes. An
            entry with an older one lacks others and must not apply them.
        relay_key: Key with which entries sign relayed requests; empty from
            builds from before there were signatures.
        evacuation_version: Version of `evacuated_domains`.
        evacuated_domains: Names of the evacuated failure domains; None if
            unchanged.
        limits: Lease of the receiver; None if its poll named no session.
        finished_domains: Pairs of a failure domain and the time at which its
            evacuation ended; None if unchanged.
        wall_ms: Wall-clock time of the leader at most 250 ms before it sent
            the notice. Times in `servers` and `finished_domains` compare to it.
            0 for builds from before this field.
        trials: Names of quarantined requests of which the receiver may send
            one each.
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
    rate_limits_version: int = 0
    rate_limits: tuple[SharedRateLimit, ...] | None = None
    base_revision: int = 0
    relay_key: bytes = b""
    evacuation_version: int = 0
    evacuated_domains: tuple[str, ...] | None = None
    limits: LimitNotice | None = None
    finished_domains: tuple[tuple[str, int], ...] | None = None
    wall_ms: int = 0
    trials: tuple[str, ...] = ()


@attrs.frozen
class FeedRedirect:
    """Redirects an entry whose poll reached an instance that does not lead.

    Attributes:
        leader: Name of the current leader; empty if unknown.
    """

    leader: str


@attrs.frozen
class ServerHeartbeats:
    """Reports heartbeats of servers to the leader.

    Attributes:
        servers: Names of the servers from which the sender received a
            heartbeat since its previous message of this class.
    """

    servers: tuple[str, ...]


@attrs.frozen
class ConfigurationRequest:
    """Asks the leader for the route configuration in force.

    Attributes:
        request_id: Id of the request.
        wants_document: Whether the reply contains the document. Builds from
            before this field always send it.
    """

    request_id: str
    wants_document: bool = True


@attrs.frozen
class EvacuationStatus:
    """Reports the evacuations in force.

    Attributes:
        version: Their version.
        started_ms: Pairs of an evacuated failure domain and the wall-clock
            time at which its evacuation began.
    """

    version: int
    started_ms: tuple[tuple[str, int], ...]


@attrs.frozen
class ConfigurationReply:
    """Returns the route configuration; sent by a leader with a valid lease.

    Attributes:
        request_id: Id of the request.
        number: Number of the configuration; -1 if there is none yet.
        document: The configuration document as the operator submitted it;
            empty if the request does not want it.
        evacuations: The evacuations in force; None if not all control
            instances understand them.
    """

    request_id: str
    number: int
    document: bytes = attrs.field(repr=False)
    evacuations: EvacuationStatus | None = None


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
    | ServerHeartbeats
    | ConfigurationRequest
    | ConfigurationReply
    | PeerList
)
