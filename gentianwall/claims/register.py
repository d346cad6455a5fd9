"""The state machine behind the log: every replica computes the same."""

from __future__ import annotations

import hashlib

import attrs

from gentianwall.claims.commands import (
    AnnounceServer,
    ApplyDeclaration,
    ChangeMembers,
    ClaimGranted,
    ClaimHeld,
    ClaimKey,
    ClaimMismatch,
    ClaimOutOfWindow,
    ClaimsFull,
    Command,
    CommandResult,
    ConfigurationHeld,
    DeclarationAccepted,
    DeclarationConflict,
    DeclarationInvalid,
    Done,
    MarkSilent,
    Noop,
    Outcome,
    PutConfiguration,
    RecordClaim,
    RecordOutcome,
    ReleaseClaim,
    ReleaseQuarantine,
    RemoveServer,
    ReportCrash,
)
from gentianwall.config.declaration import parse_declaration
from gentianwall.config.schema import ConfigErrors
from gentianwall.membership.registry import (
    ServerRegistry,
    announce_server,
    mark_silent,
    remove_server,
)
from gentianwall.utils.uuid7 import uuid7_time_ms

MAX_CLAIMS = 400_000
MAX_REMEMBERED_CHANGES = 20_000
MAX_KEPT_DECLARATIONS = 50
CRASHES_TO_QUARANTINE = 2
CRASH_WINDOW_MS = 600_000
FULL_RETRY_AFTER_MS = 1000
DEFAULT_CLAIM_RETENTION_MS = 24 * 3600 * 1000
DEFAULT_QUARANTINE_MS = 600_000
MAX_CLOCK_SKEW_MS = 300_000


@attrs.frozen
class ClaimRecord:
    """A claim as held by the replicas.

    Attributes:
        request_hash: Digest of the request that claimed the key.
        token: Names the one dispatch that the claim allows.
        at_ms: Time of the log when it was claimed.
        outcome: How the request ended, once known.
        is_released: Whether the holder gave it back unused.
    """

    request_hash: str
    token: str
    at_ms: int
    outcome: Outcome | None = None
    is_released: bool = False


@attrs.frozen
class DeclarationVersion:
    """One accepted declaration."""

    version: int
    change_id: str
    operator: str
    at_ms: int
    text: str


@attrs.frozen
class ChangeRecord:
    """The first result of a change id."""

    text_hash: str
    result: CommandResult


@attrs.frozen
class Suspect:
    """Servers that a request crashed, and when it was seen first."""

    service: str
    servers: tuple[str, ...]
    at_ms: int


@attrs.define
class RegisterState:
    """Everything that the log decides.

    Attributes:
        now_ms: Time of the log: the latest `at_ms` of any command.
        declarations: The last accepted declarations, the newest last.
        changes: First results by change id.
        claims: Claims in the order of their time.
        suspects: Requests that crashed one server, by fingerprint.
        quarantines: Release time in ms by fingerprint.
        quarantine_version: Counts the changes of `quarantines`.
        forgotten_before_ms: Claims of keys up to this time may be gone; it
            never falls, also when the retention is raised.
        numbered: The numbered configuration in force, if any.
        registry: Servers that announced themselves to control instances.
    """

    now_ms: int = 0
    declarations: list[DeclarationVersion] = attrs.field(factory=list)
    changes: dict[str, ChangeRecord] = attrs.field(factory=dict)
    claims: dict[ClaimKey, ClaimRecord] = attrs.field(factory=dict)
    suspects: dict[str, Suspect] = attrs.field(factory=dict)
    quarantines: dict[str, int] = attrs.field(factory=dict)
    quarantine_version: int = 0
    claim_retention_ms: int = DEFAULT_CLAIM_RETENTION_MS
    quarantine_ms: int = DEFAULT_QUARANTINE_MS
    forgotten_before_ms: int = 0
    numbered: PutConfiguration | None = None
    registry: ServerRegistry = attrs.field(factory=ServerRegistry)

    def copy(self) -> RegisterState:
        """Returns a copy that later commands do not change."""
        return attrs.evolve(
            self,
            declarations=list(self.declarations),
            changes=dict(self.changes),
            claims=dict(self.claims),
            suspects=dict(self.suspects),
            quarantines=dict(self.quarantines),
            registry=self.registry.copy(),
        )

    @property
    def version(self) -> int:
        """The version in force; 0 before the first declaration."""
        return self.declarations[-1].version if self.declarations else 0

    @property
    def text(self) -> str:
        """The declaration in force."""
        return self.declarations[-1].text if self.declarations else ""


def apply_command(state: RegisterState, command: Command) -> CommandResult:
    """Applies one committed command; the same on every replica."""
    if not isinstance(command, Noop | ChangeMembers):
        state.now_ms = max(state.now_ms, command.at_ms)
        _expire(state)
    match command:
        case ApplyDeclaration():
            return _apply_declaration(state, command)
        case RecordClaim():
            return _record_claim(state, command)
        case RecordOutcome():
            return _record_outcome(state, command)
        case ReleaseClaim():
            return _release_claim(state, command)
        case ReportCrash():
            return _report_crash(state, command)
        case ReleaseQuarantine():
            return _release_quarantine(state, command)
        case PutConfiguration():
            return _put_configuration(state, command)
        case AnnounceServer():
            announce_server(
                state.registry,
                command.notice,
                command.sequence,
                command.warmup_ms,
            )
            return Done()
        case RemoveServer():
            remove_server(state.registry, command.server, command.incarnation)
            return Done()
        case MarkSilent():
            mark_silent(state.registry, command.server, command.incarnation)
            return Done()
        case _:
            return Done()


def _apply_declaration(
    state: RegisterState, command: ApplyDeclaration
) -> CommandResult:
    known = state.changes.get(command.change_id)
    if known is not None:
        if known.text_hash != _hash(command.text):
            return DeclarationInvalid(
                f"change id {command.change_id} was used with another text"
            )
        return known.result
    result = _decide_declaration(state, command)
    state.changes[command.change_id] = ChangeRecord(_hash(command.text), result)
    if len(state.changes) > MAX_REMEMBERED_CHANGES:
        del state.changes[next(iter(state.changes))]
    return result


def _decide_declaration(
    state: RegisterState, command: ApplyDeclaration
) -> CommandResult:
    declaration = parse_declaration(command.text)
    if isinstance(declaration, ConfigErrors):
        return DeclarationInvalid(str(declaration))
    if command.base_version != state.version:
        winner = state.declarations[-1] if state.declarations else None
        return DeclarationConflict(
            version=state.version,
            winner_change_id=winner.change_id if winner else "",
            winner_operator=winner.operator if winner else "",
        )
    accepted = DeclarationVersion(
        version=state.version + 1,
        change_id=command.change_id,
        operator=command.operator,
        at_ms=state.now_ms,
        text=command.text,
    )
    state.declarations.append(accepted)
    del state.declarations[:-MAX_KEPT_DECLARATIONS]
    state.claim_retention_ms = declaration.claim_retention_ms
    state.quarantine_ms = declaration.quarantine_ms
    return DeclarationAccepted(accepted.version, accepted.change_id)


def _put_configuration(
    state: RegisterState, command: PutConfiguration
) -> CommandResult:
    """Takes the highest number; what is held under a number never changes."""
    held = state.numbered
    number = command.configuration.number
    if held is None or number > held.configuration.number:
        state.numbered = command
        return ConfigurationHeld(number, True)
    held_number = held.configuration.number
    is_same = number < held_number or held.document == command.document
    return ConfigurationHeld(held_number, is_same)


def _record_claim(state: RegisterState, command: RecordClaim) -> CommandResult:
    record = state.claims.get(command.claim)
    if record is None:
        return _new_claim(state, command)
    if record.token == command.token:
        if record.is_released:
            return ClaimHeld(outcome=None)
        if record.request_hash != command.request_hash:
            return ClaimMismatch()
        return ClaimGranted()
    if record.is_released:
        del state.claims[command.claim]
        return _new_claim(state, command)
    if record.request_hash != command.request_hash:
        return ClaimMismatch()
    return ClaimHeld(record.outcome)


def _new_claim(state: RegisterState, command: RecordClaim) -> CommandResult:
    key_time_ms = uuid7_time_ms(command.claim.key)
    if key_time_ms is not None and not (
        state.forgotten_before_ms
        < key_time_ms
        <= state.now_ms + MAX_CLOCK_SKEW_MS
    ):
        return ClaimOutOfWindow()
    if len(state.claims) >= MAX_CLAIMS:
        return ClaimsFull(FULL_RETRY_AFTER_MS)
    state.claims[command.claim] = ClaimRecord(
        command.request_hash, command.token, state.now_ms
    )
    return ClaimGranted()


def _record_outcome(
    state: RegisterState, command: RecordOutcome
) -> CommandResult:
    record = state.claims.get(command.claim)
    if record is None or record.token != command.token:
        return Done()
    if record.outcome is None and not record.is_released:
        state.claims[command.claim] = attrs.evolve(
            record, outcome=command.outcome
        )
    return Done()


def _release_claim(
    state: RegisterState, command: ReleaseClaim
) -> CommandResult:
    record = state.claims.get(command.claim)
    if record is None:
        # The claim itself may still be on its way: it must find this.
        state.claims[command.claim] = ClaimRecord(
            "", command.token, state.now_ms, is_released=True
        )
    elif record.token == command.token and record.outcome is None:
        state.claims[command.claim] = attrs.evolve(record, is_released=True)
    return Done()


def _report_crash(state: RegisterState, command: ReportCrash) -> CommandResult:
    suspect = state.suspects.setdefault(
        command.fingerprint, Suspect(command.service, (), state.now_ms)
    )
    if command.server not in suspect.servers:
        servers = (*suspect.servers, command.server)
        suspect = attrs.evolve(suspect, servers=servers)
        state.suspects[command.fingerprint] = suspect
    if len(suspect.servers) >= CRASHES_TO_QUARANTINE:
        del state.suspects[command.fingerprint]
        until_ms = state.now_ms + state.quarantine_ms
        state.quarantines[command.fingerprint] = until_ms
        state.quarantine_version += 1
    return Done()


def _release_quarantine(
    state: RegisterState, command: ReleaseQuarantine
) -> CommandResult:
    state.suspects.pop(command.fingerprint, None)
    if state.quarantines.pop(command.fingerprint, None) is not None:
        state.quarantine_version += 1
    return Done()


def _expire(state: RegisterState) -> None:
    """Drops what is older than its retention, oldest first."""
    state.forgotten_before_ms = max(
        state.forgotten_before_ms, state.now_ms - state.claim_retention_ms
    )
    claims_before_ms = state.forgotten_before_ms - MAX_CLOCK_SKEW_MS
    while state.claims:
        oldest = next(iter(state.claims))
        if state.claims[oldest].at_ms > claims_before_ms:
            break
        del state.claims[oldest]
    suspects_before_ms = state.now_ms - CRASH_WINDOW_MS
    while state.suspects:
        oldest = next(iter(state.suspects))
        if state.suspects[oldest].at_ms > suspects_before_ms:
            break
        del state.suspects[oldest]
    over = [
        f for f, until in state.quarantines.items() if until <= state.now_ms
    ]
    for fingerprint in over:
        del state.quarantines[fingerprint]
        state.quarantine_version += 1


def _hash(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
