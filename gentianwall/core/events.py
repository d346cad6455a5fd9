"""Events of instances; `at_ms` is the time by the local monotonic clock."""

from __future__ import annotations

import enum
import math

import attrs

from gentianwall.claims.commands import Command, Outcome
from gentianwall.links.messages import Message
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.routing.servers import LoadReport


class FailureKind(enum.Enum):
    """Cause of a failed attempt."""

    NOT_CONNECTED = "not connected"
    LOST = "connection lost"
    SILENT = "connection silent"
    TRUNCATED = "answer cut short"
    MISMATCHED = "answer to another request"
    TOO_LARGE = "answer too large"
    MALFORMED = "answer malformed"

    @property
    def may_be_crash(self) -> bool:
        """Whether the server may have crashed while it executed the request.

        It may have if it ended the connection before its answer or in the
        middle of it. A server that has only cut its answer short still accepts
        connections.
        """
        return self in (FailureKind.LOST, FailureKind.TRUNCATED)


@attrs.define
class CallArrived:
    """A caller sent a complete request.

    Attributes:
        at_ms: Time of arrival.
        wall_ms: Time of arrival by the wall clock, for claims.
        call_id: Id of the call within this process.
        request_id: Id of the call for callers and servers.
        service: The requested service.
        method: HTTP method.
        caller: The caller that is charged.
        max_wait_ms: Maximum wait of the caller, or None.
        idempotency_key: The caller's key, or an empty string.
        fingerprint: Digest of method, path and body.
        is_nested: Whether the request carries the attempt number of an outer
            call.
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
class CallerDisconnected:
    """The caller closed its connection before the answer."""

    at_ms: float
    call_id: int


@attrs.define
class AttemptAnswered:
    """A server sent a complete answer.

    Attributes:
        at_ms: Time of arrival.
        call_id: The call.
        attempt: Number of the attempt, from 1.
        status: HTTP status.
        retry_after_ms: Retry-after time sent by the server, or None.
        report: The load report, if any.
        outcome: The answer in the form that a claim records, or None.
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
    """An attempt ended without a complete answer."""

    at_ms: float
    call_id: int
    attempt: int
    kind: FailureKind


@attrs.define
class ServerAnnounced:
    """A server registered, renewed or deregistered at this entry."""

    at_ms: float
    notice: ServerNotice


@attrs.define
class ProbeEnded:
    """A probe was answered or failed."""

    at_ms: float
    key: ServerKey
    is_answered: bool
    latency_ms: float
    report: LoadReport | None


@attrs.define
class MessageArrived:
    """A message from another instance arrived.

    Attributes:
        at_ms: Time of arrival.
        wall_ms: Time of arrival by the wall clock.
        sender: Name of the sender.
        boot_id: Random id of the sender's process start.
        sent_ms: Time of sending by the sender's monotonic clock.
        message: The message.
    """

    at_ms: float
    wall_ms: int
    sender: str
    boot_id: str
    sent_ms: float
    message: Message


@attrs.define
class CommandRequested:
    """An operator requested a command, which control has to commit."""

    at_ms: float
    request_id: str
    command: Command
    deadline_ms: float


@attrs.define
class StatusRequested:
    """An operator requested the state of the system."""

    at_ms: float
    request_id: str
    deadline_ms: float


@attrs.define
class DrainStarted:
    """The process started to drain before it stops.

    Attributes:
        at_ms: When the event occurred.
        end_ms: When requests that are still open are refused.
    """

    at_ms: float
    end_ms: float = math.inf


@attrs.define
class Tick:
    """The periodic timer fired."""

    at_ms: float


EntryEvent = (
    CallArrived
    | CallerDisconnected
    | AttemptAnswered
    | AttemptFailed
    | ServerAnnounced
    | ProbeEnded
    | MessageArrived
    | CommandRequested
    | StatusRequested
    | DrainStarted
    | Tick
)
