"""What can happen to an entry. `at_ms` is its monotonic clock."""

from __future__ import annotations

import enum

import attrs

from gentianwall.claims.commands import Command, Outcome
from gentianwall.links.messages import Message
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.routing.servers import LoadReport


class FailureKind(enum.Enum):
    """How an attempt failed."""

    NOT_CONNECTED = "not connected"
    LOST = "connection lost"
    SILENT = "connection silent"
    SHORT = "answer cut short"
    CROSSED = "answer to another request"
    TOO_LARGE = "answer too large"


@attrs.define
class CallArrived:
    """A caller sent a whole request.

    Attributes:
        at_ms: When.
        wall_ms: The same by the wall clock, for claims.
        call_id: Names the call in this process.
        request_id: Names the call to callers and servers.
        service: The service asked for.
        method: HTTP method.
        caller: Who pays.
        max_wait_ms: How long the caller can wait, or None.
        idempotency_key: The caller's key, or an empty text.
        fingerprint: Digest of method, path and body.
        is_nested: Whether an outer call already carries an attempt number.
    """

    at_ms: float
    wall_ms: int
    call_id: int
    request_id: str
    service: str
    method: str
    caller: str
    max_wait_ms: float | None
    idempotency_key: str
    fingerprint: str
    is_nested: bool


@attrs.define
class CallerGone:
    """The caller closed its connection before the answer."""

    at_ms: float
    call_id: int


@attrs.define
class AttemptAnswered:
    """A server gave a whole answer.

    Attributes:
        at_ms: When.
        call_id: The call.
        attempt: Which of its attempts, from 1.
        status: HTTP status.
        retry_after_ms: The server's wish, or None.
        report: The load report, if any.
        outcome: What a claim records of the answer.
    """

    at_ms: float
    call_id: int
    attempt: int
    status: int
    retry_after_ms: float | None
    report: LoadReport | None
    outcome: Outcome | None


@attrs.define
class AttemptFailed:
    """A server gave no whole answer."""

    at_ms: float
    call_id: int
    attempt: int
    kind: FailureKind


@attrs.define
class ServerAnnounced:
    """A server announced itself to this entry, or left."""

    at_ms: float
    notice: ServerNotice


@attrs.define
class ProbeEnded:
    """A probe was answered or not."""

    at_ms: float
    key: ServerKey
    is_answered: bool
    latency_ms: float
    report: LoadReport | None


@attrs.define
class MessageArrived:
    """Another instance sent a message."""

    at_ms: float
    wall_ms: int
    sender: str
    boot_id: str
    sent_ms: float
    message: Message


@attrs.define
class CommandWanted:
    """An operator's request needs a committed command."""

    at_ms: float
    request_id: str
    command: Command
    deadline_ms: float


@attrs.define
class StatusWanted:
    """An operator asks for the state of the system."""

    at_ms: float
    request_id: str
    deadline_ms: float


@attrs.define
class DrainStarted:
    """The process shall end once no call is in flight."""

    at_ms: float


@attrs.define
class Tick:
    """Time went on."""

    at_ms: float


EntryEvent = (
    CallArrived
    | CallerGone
    | AttemptAnswered
    | AttemptFailed
    | ServerAnnounced
    | ProbeEnded
    | MessageArrived
    | CommandWanted
    | StatusWanted
    | DrainStarted
    | Tick
)
