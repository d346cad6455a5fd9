"""The replicated state machine: the register and how commands change it.

Every replica applies the same committed commands in the same order, and must
compute the same register from them.
"""

from __future__ import annotations

import hashlib

import attrs

from gentianwall.claims.commands import (
    CRASH_WINDOW_MS,
    FEATURE_ADDRESS_OWNERS,
    FEATURE_REPEATED_WARMUP,
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
    DeregisterServer,
    Done,
    EvacuationsHeld,
    MarkSilent,
    Noop,
    Outcome,
    PutConfiguration,
    RecordClaim,
    RecordOutcome,
    ReleaseClaim,
    ReleaseQuarantine,
    ReportCrash,
    SetEvacuation,
)
from gentianwall.config.declaration import parse_declaration
from gentianwall.config.schema import ConfigErrors
from gentianwall.membership.messages import ServerNotice
from gentianwall.membership.registry import (
    ServerRegistry,
    deregister_server,
    mark_silent,
    record_announcement,
)
from gentianwall.utils.uuid7 import uuid7_time_ms

MAX_CLAIMS = 400_000
MAX_STORED_CHANGES = 20_000
MAX_STORED_DECLARATIONS = 50
# Far above the number of failure domains of any deployment; bounds what
# mistyped names can add to each notice of the feed.
MAX_EVACUATED_DOMAINS = 256
CRASHES_TO_QUARANTINE = 2
CLAIMS_FULL_RETRY_AFTER_MS = 1000
DEFAULT_CLAIM_RETENTION_MS = 24 * 3600 * 1000
DEFAULT_QUARANTINE_MS = 600_000
MAX_CLOCK_SKEW_MS = 300_000


@attrs.frozen
class ClaimRecord:
    """A claim as the replicas store it.

    Attributes:
        request_hash: Digest of the request that claimed the key.
        token: Identifies the only dispatch that the claim allows.
        at_ms: Log time at which the claim was granted or released.
        outcome: Outcome of the request, or None if it is not known.
        is_released: Whether the claim was released without a dispatch.
    """

    request_hash: str
    token: str
    at_ms: int
    outcome: Outcome | None = None
    is_released: bool = False


@attrs.frozen
class DeclarationVersion:
    """An accepted declaration."""

    version: int
    change_id: str
    operator: str
    at_ms: int
    text: str


@attrs.frozen
class ChangeRecord:
    """The result of the first declaration submitted under a change id."""

    text_hash: str
    result: CommandResult


@attrs.frozen
class SuspectRequest:
    """A request that crashed servers and is not quarantined yet.

    Attributes:
        service: Service of the request.
        servers: Names of the starts of servers that crashed; versions before
            this one name the servers.
        at_ms: Log time of the first crash.
    """

    service: str
    servers: tuple[str, ...]
    at_ms: int


@attrs.define
class RegisterState:
    """The register: the state that the replicated log determines.

    Attributes:
        now_ms: Log time: the highest `at_ms` of all applied commands.
        declarations: The latest accepted declarations, the newest last.
        changes: First results by change id.
        claims: Claims in the order of their log time.
        suspects: Requests that crashed one server, by fingerprint.
        quarantines: Log time at which a quarantine ends, by fingerprint.
        quarantine_version: Number of changes of `quarantines`.
        claim_retention_ms: Retention of claims, from the declaration.
        quarantine_ms: Duration of a quarantine, from the declaration.
        forgotten_before_ms: Claims whose key carries this time or an earlier
            one may be deleted. It never decreases, not even if the retention
            is raised: a deleted claim must not be granted a second time.
        numbered: The numbered configuration in force, if any.
        registry: Servers that registered with the control instances.
        evacuations: Wall-clock time of the leader at which the evacuation of a
            failure domain began, by its name.
        finished_evacuations: The same of the end of former evacuations; the
            oldest first.
        evacuation_version: Number of `SetEvacuation` commands so far.
        features: Sum of the `FEATURE_` constants whose commands the log may
            contain.
    """

    now_ms: int = 0
    declarations: list[DeclarationVersion] = attrs.field(factory=list)
    changes: dict[str, ChangeRecord] = attrs.field(factory=dict)
    claims: dict[ClaimKey, ClaimRecord] = attrs.field(factory=dict)
    suspects: dict[str, SuspectRequest] = attrs.field(factory=dict)
    quarantines: dict[str, int] = attrs.field(factory=dict)
    quarantine_version: int = 0
    claim_retention_ms: int = DEFAULT_CLAIM_RETENTION_MS
    quarantine_ms: int = DEFAULT_QUARANTINE_MS
    forgotten_before_ms: int = 0
    numbered: PutConfiguration | None = None
    registry: ServerRegistry = attrs.field(factory=ServerRegistry)
    evacuations: dict[str, int] = attrs.field(factory=dict)
    finished_evacuations: dict[str, int] = attrs.field(factory=dict)
    evacuation_version: int = 0
    features: int = 0

    def copy(self) -> RegisterState:
        """Returns a copy that is not affected by later commands."""
        return attrs.evolve(
            self,
            declarations=list(self.declarations),
            changes=dict(self.changes),
            claims=dict(self.claims),
            suspects=dict(self.suspects),
            quarantines=dict(self.quarantines),
            registry=self.registry.copy(),
            evacuations=dict(self.evacuations),
            finished_evacuations=dict(self.finished_evacuations),
        )

    @property
    def version(self) -> int:
        """Version of the declaration in force; 0 if there is none."""
        return self.declarations[-1].version if self.declarations else 0

    @property
    def text(self) -> str:
        """Text of the declaration in force, or an empty string."""
        return self.declarations[-1].text if self.declarations else ""


def apply_command(state: RegisterState, command: Command) -> CommandResult:
    """Applies a committed command to the register and returns its result.

    The result depends on the register and the command only, so that it is the
    same on every replica.
    """
    if not isinstance(command, Noop | ChangeMembers):
        state.now_ms = max(state.now_ms, command.at_ms)
        _delete_expired(state)
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
            record_announcement(
                state.registry,
                command.notice,
                command.sequence,
                command.warmup_ms,
                (
                    command.at_ms
                    if has_repeated_warmup(state, command.notice)
                    else None
                ),
                owning_services(state),
            )
            return Done()
        case DeregisterServer():
            deregister_server(
                state.registry, command.server, command.incarnation
            )
            return Done()
        case MarkSilent():
            mark_silent(state.registry, command.server, command.incarnation)
            return Done()
        case SetEvacuation():
            return _set_evacuation(state, command)
        case Noop():
            state.features |= command.features
            return Done()
        case _:
            return Done()


def _apply_declaration(
    state: RegisterState, command: ApplyDeclaration
) -> CommandResult:
    previous = state.changes.get(command.change_id)
    if previous is not None:
        if previous.text_hash != _sha256_hex(command.text):
            return DeclarationInvalid(
                f"change id {command.change_id} was used with a different text"
            )
        return previous.result
    result = _evaluate_declaration(state, command)
    state.changes[command.change_id] = ChangeRecord(
        _sha256_hex(command.text), result
    )
    if len(state.changes) > MAX_STORED_CHANGES:
        del state.changes[next(iter(state.changes))]
    return result


def _evaluate_declaration(
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
    del state.declarations[:-MAX_STORED_DECLARATIONS]
    state.claim_retention_ms = declaration.claim_retention_ms
    state.quarantine_ms = declaration.quarantine_ms
    return DeclarationAccepted(accepted.version, accepted.change_id)


def _put_configuration(
    state: RegisterState, command: PutConfiguration
) -> CommandResult:
    """Stores the configuration if its number is the highest so far.

    The configuration stored under a number is never replaced.
    """
    number = command.configuration.number
    held = held_configuration(state, number, command.document)
    if held is None:
        state.numbered = command
        return ConfigurationHeld(number, True)
    return held


def held_configuration(
    state: RegisterState, number: int, document: bytes
) -> ConfigurationHeld | None:
    """Returns the result for a configuration that changes nothing.

    Returns None if its number is above that of the stored configuration.
    """
    current = state.numbered
    if current is None or number > current.configuration.number:
        return None
    current_number = current.configuration.number
    is_same = number < current_number or current.document == document
    return ConfigurationHeld(current_number, is_same)


def named_services(state: RegisterState) -> frozenset[str]:
    """Returns the services that the numbered configuration names."""
    if state.numbered is None:
        return frozenset()
    services = state.numbered.configuration.services
    return frozenset(service.name for service in services)


def owning_services(state: RegisterState) -> frozenset[str] | None:
    """Returns the services whose servers may take the address of another one.

    None if some replica does not decide by services yet.
    """
    if not state.features & FEATURE_ADDRESS_OWNERS:
        return None
    return named_services(state)


def has_repeated_warmup(state: RegisterState, notice: ServerNotice) -> bool:
    """Returns whether every statement of a server's warm-up is recorded.

    That is so if its service limits what cold servers get, and all replicas
    understand it.
    """
    if not state.features & FEATURE_REPEATED_WARMUP or state.numbered is None:
        return False
    return any(
        service.name == notice.key.service and service.warmup_per_s > 0
        for service in state.numbered.configuration.services
    )


def _set_evacuation(
    state: RegisterState, command: SetEvacuation
) -> CommandResult:
    """Starts or finishes an evacuation unless another change came before it.

    The version increases in any case, so that no command that was made before
    this one can change anything after it.
    """
    is_current = command.base_version == state.evacuation_version
    state.evacuation_version += 1
    is_full = False
    if is_current and command.is_evacuated:
        is_full = (
            command.failure_domain not in state.evacuations
            and len(state.evacuations) >= MAX_EVACUATED_DOMAINS
        )
        if not is_full:
            state.evacuations.setdefault(command.failure_domain, command.at_ms)
    elif is_current:
        is_ended = state.evacuations.pop(command.failure_domain, None)
        if is_ended is not None:
            finished = state.finished_evacuations
            finished.pop(command.failure_domain, None)
            finished[command.failure_domain] = command.at_ms
            if len(finished) > MAX_EVACUATED_DOMAINS:
                del finished[next(iter(finished))]
    return EvacuationsHeld(
        state.evacuation_version, tuple(state.evacuations), is_full
    )


def _record_claim(state: RegisterState, command: RecordClaim) -> CommandResult:
    record = state.claims.get(command.claim)
    if record is None:
        return _create_claim(state, command)
    if record.token == command.token:
        if record.is_released:
            return ClaimHeld(outcome=None)
        if record.request_hash != command.request_hash:
            return ClaimMismatch()
        return ClaimGranted()
    if record.is_released:
        del state.claims[command.claim]
        return _create_claim(state, command)
    if record.request_hash != command.request_hash:
        return ClaimMismatch()
    return ClaimHeld(record.outcome)


def _create_claim(state: RegisterState, command: RecordClaim) -> CommandResult:
    key_time_ms = uuid7_time_ms(command.claim.key)
    if key_time_ms is not None and not (
        state.forgotten_before_ms
        < key_time_ms
        <= state.now_ms + MAX_CLOCK_SKEW_MS
    ):
        return ClaimOutOfWindow()
    if len(state.claims) >= MAX_CLAIMS:
        return ClaimsFull(CLAIMS_FULL_RETRY_AFTER_MS)
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
        # The claim may be committed after its release; this record makes the
        # late claim fail.
        state.claims[command.claim] = ClaimRecord(
            "", command.token, state.now_ms, is_released=True
        )
    elif record.token == command.token and record.outcome is None:
        state.claims[command.claim] = attrs.evolve(record, is_released=True)
    return Done()


def _report_crash(state: RegisterState, command: ReportCrash) -> CommandResult:
    suspect = state.suspects.setdefault(
        command.fingerprint, SuspectRequest(command.service, (), state.now_ms)
    )
    if command.server not in suspect.servers:
        servers = (*suspect.servers, command.server)
        suspect = attrs.evolve(suspect, servers=servers)
        state.suspects[command.fingerprint] = suspect
    if len(suspect.servers) >= CRASHES_TO_QUARANTINE:
        del state.suspects[command.fingerprint]
        quarantine_end_ms = state.now_ms + state.quarantine_ms
        state.quarantines[command.fingerprint] = quarantine_end_ms
        state.quarantine_version += 1
    return Done()


def _release_quarantine(
    state: RegisterState, command: ReleaseQuarantine
) -> CommandResult:
    state.suspects.pop(command.fingerprint, None)
    if state.quarantines.pop(command.fingerprint, None) is not None:
        state.quarantine_version += 1
    return Done()


def _delete_expired(state: RegisterState) -> None:
    """Deletes expired claims and suspects, the oldest first, and quarantines.

    A claim outlives the retention by the allowed clock skew, because the time
    in its key may be that much later than its log time.
    """
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
    expired = [
        f for f, end_ms in state.quarantines.items() if end_ms <= state.now_ms
    ]
    for fingerprint in expired:
        del state.quarantines[fingerprint]
        state.quarantine_version += 1


def _sha256_hex(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
