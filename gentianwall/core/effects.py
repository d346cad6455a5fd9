"""Effects that the reducers return and the driver performs."""

from __future__ import annotations

import attrs

from gentianwall.claims.commands import CommandResult, Outcome
from gentianwall.control.messages import StatusReply
from gentianwall.core.refusals import Refusal
from gentianwall.links.messages import Message
from gentianwall.membership.messages import (
    ServerKey,
    ServerNotice,
)
from gentianwall.timeline import EventKind


@attrs.define
class Dispatch:
    """Sends the request of a call to a server.

    Attributes:
        call_id: The call.
        attempt: Number of the attempt, from 1.
        notice: Announcement of the server.
        deadline_ms: Deadline of the call.
        silence_ms: Time without data after which the connection is closed.
        answer_limit_bytes: Maximum size of the answer body.
        is_echo_required: Whether the connection is reused only if the answer
            echoes the request id.
    """

    call_id: int
    attempt: int
    notice: ServerNotice
    deadline_ms: float
    silence_ms: float
    answer_limit_bytes: int
    is_echo_required: bool


@attrs.define
class CancelAttempt:
    """Closes the connection of an attempt."""

    call_id: int
    attempt: int


@attrs.define
class AnswerCaller:
    """Forwards the complete answer of an attempt to the caller."""

    call_id: int
    attempt: int
    tier: str
    price: float


@attrs.define
class ReplayAnswer:
    """Replays the recorded answer of an earlier request with the same key."""

    call_id: int
    outcome: Outcome


@attrs.define
class RefuseCaller:
    """Sends a refusal to the caller."""

    call_id: int
    refusal: Refusal


@attrs.define
class SendMessage:
    """Sends a message to an instance, without a guarantee of delivery."""

    receiver: str
    message: Message


@attrs.define
class ProbeServer:
    """Probes the load of a server; the probe budget is already charged."""

    notice: ServerNotice


@attrs.define
class CloseConnections:
    """Closes the connections to a server that were opened before a time."""

    key: ServerKey
    opened_before_ms: float


@attrs.define
class CloseIdleConnections:
    """Closes the idle connections to a deregistered or expired server."""

    key: ServerKey


@attrs.define
class AcceptAnnouncement:
    """Confirms the announcement of a server and grants it a lease."""

    lease_ms: float
    is_declared: bool


@attrs.define
class RefuseAnnouncement:
    """Refuses the announcement of a server and states the reason."""

    incarnation: int
    reason: str


@attrs.define
class FinishCommand:
    """Sends an operator the result of a command; None if it timed out."""

    request_id: str
    result: CommandResult | None


@attrs.define
class FinishStatus:
    """Sends an operator the state of the system; None if that timed out."""

    request_id: str
    status: StatusReply | None


@attrs.define
class RecordEvent:
    """Records an event in the timeline."""

    kind: EventKind
    subject: str = ""
    detail: str = ""
    request_id: str = ""


EntryEffect = (
    Dispatch
    | CancelAttempt
    | AnswerCaller
    | ReplayAnswer
    | RefuseCaller
    | SendMessage
    | ProbeServer
    | CloseConnections
    | CloseIdleConnections
    | AcceptAnnouncement
    | RefuseAnnouncement
    | FinishCommand
    | FinishStatus
    | RecordEvent
)
