"""Commands of the replicated state and their results."""

from __future__ import annotations

import attrs

from gentianwall.config.routes import RouteConfiguration
from gentianwall.membership.messages import ServerNotice


@attrs.frozen
class ClaimKey:
    """What makes two requests the same one."""

    service: str
    caller: str
    key: str


@attrs.frozen
class Outcome:
    """How a claimed request ended.

    Attributes:
        status: HTTP status of the answer.
        content_type: Its content type, or an empty text.
        body: The answer's body, or empty when `is_body_kept` is false.
        body_sha256: Digest of the whole body, in hexadecimal.
        is_body_kept: Whether `body` is the whole body.
    """

    status: int
    content_type: str
    body: bytes
    body_sha256: str
    is_body_kept: bool


@attrs.frozen
class Noop:
    """Lets a new leader commit an entry of its own term."""


@attrs.frozen
class ChangeMembers:
    """Replaces the voting members; pairs of replica and disk id."""

    members: tuple[tuple[str, str], ...]


@attrs.frozen
class ApplyDeclaration:
    """Puts a declaration in force if `base_version` is the current one."""

    change_id: str
    base_version: int
    text: str
    operator: str
    at_ms: int


@attrs.frozen
class RecordClaim:
    """Claims the right to dispatch a request, once over all entries."""

    claim: ClaimKey
    request_hash: str
    token: str
    at_ms: int


@attrs.frozen
class RecordOutcome:
    """Stores how a claimed request ended."""

    claim: ClaimKey
    token: str
    outcome: Outcome
    at_ms: int


@attrs.frozen
class ReleaseClaim:
    """Gives a claim back; allowed only if no server was reached."""

    claim: ClaimKey
    token: str
    at_ms: int


@attrs.frozen
class ReportCrash:
    """Says that a server's connection died while it ran a request."""

    service: str
    fingerprint: str
    server: str
    at_ms: int


@attrs.frozen
class ReleaseQuarantine:
    """Lets a quarantined request run again."""

    fingerprint: str
    at_ms: int


@attrs.frozen
class PutConfiguration:
    """Puts a numbered configuration in force, unless a higher one is.

    Attributes:
        configuration: What entries act on; valid.
        document: The same as the operator wrote it, to be read back.
        at_ms: Wall clock of the leader.
    """

    configuration: RouteConfiguration
    document: bytes
    at_ms: int


@attrs.frozen
class AnnounceServer:
    """Records what a server says of itself.

    Attributes:
        notice: What it says; its state is `up` or `draining`.
        sequence: Grows with each announcement of an incarnation.
        warmup_ms: How long it stays slow after its start.
        at_ms: Wall clock of the leader.
    """

    notice: ServerNotice
    sequence: int
    warmup_ms: float
    at_ms: int


@attrs.frozen
class RemoveServer:
    """Records that a server leaves; incarnation 0 means the one known."""

    server: str
    incarnation: int
    at_ms: int


@attrs.frozen
class MarkSilent:
    """Records that a server was not heard for long; it may be gone."""

    server: str
    incarnation: int
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
    | RemoveServer
    | MarkSilent
)


@attrs.frozen
class DeclarationAccepted:
    """The change has the version `version`."""

    version: int
    change_id: str


@attrs.frozen
class DeclarationConflict:
    """Another change came first.

    Attributes:
        version: The version in force.
        winner_change_id: The change that made it.
        winner_operator: Who submitted that change.
    """

    version: int
    winner_change_id: str
    winner_operator: str


@attrs.frozen
class DeclarationInvalid:
    """The change is refused for what it says."""

    reason: str


@attrs.frozen
class ClaimGranted:
    """The holder of the token, and no one else, may dispatch."""


@attrs.frozen
class ClaimHeld:
    """Another token holds the claim; `outcome` is set once it is known."""

    outcome: Outcome | None


@attrs.frozen
class ClaimMismatch:
    """The key was used with another request."""


@attrs.frozen
class ClaimOutOfWindow:
    """The key's own time is too old to be remembered, or in the future."""


@attrs.frozen
class ClaimsFull:
    """No more claims can be held."""

    retry_after_ms: int


@attrs.frozen
class Done:
    """The command took effect, or had already."""


@attrs.frozen
class ConfigurationHeld:
    """A configuration was taken, or one at least as new is in force.

    Attributes:
        number: The number in force.
        is_same: Whether the content is the one held under its number, as
            far as that is known.
    """

    number: int
    is_same: bool


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
)
