"""Commands of the replicated log and the results of applying them."""

from __future__ import annotations

import attrs

from gentianwall.config.routes import RouteConfiguration
from gentianwall.membership.messages import ServerNotice

# Memory of the objects of a command without its texts and documents.
COMMAND_BASE_BYTES = 512
# Crashes that are further apart do not add up to a quarantine.
CRASH_WINDOW_MS = 600_000
# Parsed routes take about twice the memory of the document that they are
# parsed from.
CONFIGURATION_MEMORY_FACTOR = 3
# Commands that replicas declare to understand, as a bit set. A replica that
# does not know a command cannot read a log that contains it.
FEATURE_EVACUATION = 1
# The registry records that a registered server is cold again. An earlier build
# ignores that, so that its registry would differ.
FEATURE_REPEATED_WARMUP = 2
# The registry decides by the services of the configuration who may take the
# address of another server. An earlier build decides by the start times only.
FEATURE_ADDRESS_OWNERS = 8
SUPPORTED_FEATURES = (
    FEATURE_EVACUATION | FEATURE_REPEATED_WARMUP | FEATURE_ADDRESS_OWNERS
)
# A replica without this one would store configurations without organisations.
FEATURE_STORED_ORGANISATIONS = 4
STATED_FEATURES = SUPPORTED_FEATURES | FEATURE_STORED_ORGANISATIONS


@attrs.frozen
class ClaimKey:
    """Identifies a claim; requests with equal claim keys count as the same."""

    service: str
    caller: str
    key: str


@attrs.frozen
class Outcome:
    """The recorded answer to a claimed request.

    Attributes:
        status: HTTP status of the answer.
        content_type: Content type of the answer, or an empty string.
        body: Body of the answer; empty if `is_body_kept` is false.
        body_sha256: SHA-256 digest of the complete body, in hexadecimal.
        is_body_kept: Whether `body` contains the complete body.
    """

    status: int
    content_type: str
    body: bytes
    body_sha256: str
    is_body_kept: bool


@attrs.frozen
class Noop:
    """Lets a new leader commit an entry of its own term.

    Attributes:
        features: Sum of the `FEATURE_` constants that every member and learner
            has declared; from this entry on the log may contain their commands.
    """

    features: int = 0


@attrs.frozen
class ChangeMembers:
    """Replaces the voting members.

    Attributes:
        members: Pairs of replica name and disk id.
    """

    members: tuple[tuple[str, str], ...]


@attrs.frozen
class ApplyDeclaration:
    """Puts a declaration in force if `base_version` is the current version."""

    change_id: str
    base_version: int
    text: str
    operator: str
    at_ms: int


@attrs.frozen
class RecordClaim:
    """Claims the right to dispatch a request; one entry at most gets it."""

    claim: ClaimKey
    request_hash: str
    token: str
    at_ms: int


@attrs.frozen
class RecordOutcome:
    """Stores the outcome of a claimed request."""

    claim: ClaimKey
    token: str
    outcome: Outcome
    at_ms: int


@attrs.frozen
class ReleaseClaim:
    """Releases a claim; allowed only if the request reached no server."""

    claim: ClaimKey
    token: str
    at_ms: int


@attrs.frozen
class ReportCrash:
    """Reports that the connection to a server was lost during a request.

    Attributes:
        service: Service of the request.
        fingerprint: Name under which the request is quarantined.
        server: Name of the start of the server; see `start_name`.
        at_ms: Wall-clock time of the report.
    """

    service: str
    fingerprint: str
    server: str
    at_ms: int


@attrs.frozen
class ReleaseQuarantine:
    """Ends the quarantine of a request, so that it may be dispatched."""

    fingerprint: str
    at_ms: int


@attrs.frozen
class PutConfiguration:
    """Puts a configuration in force if its number is above the current one.

    Attributes:
        configuration: The validated configuration that entries use.
        document: The configuration as the operator wrote it, for reading back.
        at_ms: Wall-clock time of the leader.
    """

    configuration: RouteConfiguration
    document: bytes = attrs.field(repr=False)
    at_ms: int


@attrs.frozen
class AnnounceServer:
    """Records the announcement of a server.

    Attributes:
        notice: The announced data; its state is `up` or `draining`.
        sequence: Increases with each announcement of an incarnation.
        warmup_ms: Remaining warm-up time, during which the server is slow.
        at_ms: Wall-clock time of the leader.
    """

    notice: ServerNotice
    sequence: int
    warmup_ms: float
    at_ms: int


@attrs.frozen
class DeregisterServer:
    """Records that a server deregisters.

    Attributes:
        server: Name of the server.
        incarnation: The incarnation that ends; 0 for the registered one.
        at_ms: Wall-clock time of the leader.
    """

    server: str
    incarnation: int
    at_ms: int


@attrs.frozen
class MarkSilent:
    """Records that a server has sent no heartbeat for too long.

    The server may have stopped; it stays registered in the state `silent`.
    """

    server: str
    incarnation: int
    at_ms: int


@attrs.frozen
class SetEvacuation:
    """Starts or finishes the evacuation of a failure domain.

    Attributes:
        failure_domain: Name of the failure domain, which may be unknown.
        is_evacuated: Whether its servers get no further requests.
        base_version: Version of the evacuations when the request for this
            command was received. The command changes nothing if another one
            came in between, so that a delayed start cannot take effect after
            the finish that followed it.
        at_ms: Wall-clock time of the leader.
    """

    failure_domain: str
    is_evacuated: bool
    base_version: int
    at_ms: int


Command = (
    Noop
    | ChangeMembers
    | ApplyDeclaration
    | RecordClaim
    | RecordOutcome
    | ReleaseClaim
    | ReportCrash
    | ReleaseQuarantine
    | PutConfiguration
    | AnnounceServer
    | DeregisterServer
    | MarkSilent
    | SetEvacuation
)


def approximate_bytes(command: Command) -> int:
    """Returns about how much memory a command takes.

    Load pattern: an operator changes a configuration of hundreds of routes many
    times, so that some hundred commands fill the memory of a machine.
    """
    match command:
        case PutConfiguration():
            held_bytes = CONFIGURATION_MEMORY_FACTOR * len(command.document)
        case ApplyDeclaration():
            held_bytes = len(command.text)
        case RecordOutcome():
            held_bytes = len(command.outcome.body)
        case _:
            held_bytes = 0
    return COMMAND_BASE_BYTES + held_bytes


@attrs.frozen
class DeclarationAccepted:
    """The declaration was accepted and has the version `version`."""

    version: int
    change_id: str


@attrs.frozen
class DeclarationConflict:
    """The declaration is refused: its base version is not the one in force.

    Attributes:
        version: The version in force.
        winner_change_id: Id of the change that created this version.
        winner_operator: Operator that submitted that change.
    """

    version: int
    winner_change_id: str
    winner_operator: str


@attrs.frozen
class DeclarationInvalid:
    """The declaration is refused because it is invalid.

    Either its text is, or its change id was used with a different text.
    """

    reason: str


@attrs.frozen
class ClaimGranted:
    """The request may be dispatched, with the token of this claim only."""


@attrs.frozen
class ClaimHeld:
    """The claim is not granted; another dispatch has it, or it was released.

    Attributes:
        outcome: Outcome of the request, or None if it is not known.
    """

    outcome: Outcome | None


@attrs.frozen
class ClaimMismatch:
    """The key was used with a different request."""


@attrs.frozen
class ClaimOutOfWindow:
    """The time in the key is before the retention window or in the future."""


@attrs.frozen
class ClaimsFull:
    """The limit of stored claims is reached."""

    retry_after_ms: int


@attrs.frozen
class Done:
    """The command was applied; it may have changed nothing."""


@attrs.frozen
class ConfigurationHeld:
    """A configuration was put in force, or one at least as new is in force.

    Attributes:
        number: Number of the configuration in force.
        is_same: Whether the submitted document does not contradict the stored
            one of the same number. True for a lower number than the one in
            force, because the document of that number is no longer stored.
    """

    number: int
    is_same: bool


@attrs.frozen
class EvacuationsHeld:
    """The evacuations in force after a `SetEvacuation`, applied or not.

    Attributes:
        version: Their version, which every `SetEvacuation` increases.
        failure_domains: Names of the evacuated failure domains.
        is_full: Whether a start was refused because too many are evacuated.
    """

    version: int
    failure_domains: tuple[str, ...]
    is_full: bool = False


CommandResult = (
    DeclarationAccepted
    | DeclarationConflict
    | DeclarationInvalid
    | ClaimGranted
    | ClaimHeld
    | ClaimMismatch
    | ClaimOutOfWindow
    | ClaimsFull
    | Done
    | ConfigurationHeld
    | EvacuationsHeld
)
