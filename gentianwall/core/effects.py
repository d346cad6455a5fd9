"""What an entry wants done."""

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
    """Send the request of a call to a server.

    Attributes:
        call_id: The call.
        attempt: Number of the attempt, from 1.
        notice: The server.
        deadline_ms: When the answer is no longer wanted.
        silence_ms: Silence after which the connection is given up.
        answer_limit_bytes: Largest answer body.
        is_name_needed: Whether the connection is kept only if the answer
            echoes the request id.
    """

    call_id: int
    attempt: int
    notice: ServerNotice
    deadline_ms: float
    silence_ms: float
    answer_limit_bytes: int
    is_name_needed: bool


@attrs.define
class CancelAttempt:
    """Close the connection of an attempt."""

    call_id: int
    attempt: int


@attrs.define
class AnswerCaller:
    """Pass on the whole answer of an attempt."""

    call_id: int
    attempt: int
    tier: str
    price: float


@attrs.define
class AnswerRecorded:
    """Repeat the recorded answer of an earlier request with the same key."""

    call_id: int
    outcome: Outcome


@attrs.define
class RefuseCaller:
    """Refuse a call."""

    call_id: int
    refusal: Refusal


@attrs.define
class SendMessage:
    """Send a message to an instance; it may be lost."""

    receiver: str
    message: Message


@attrs.define
class ProbeServer:
    """Ask a server for its load; spends of the measuring budget."""

    notice: ServerNotice


@attrs.define
class CloseConnections:
    """Close the connections to a server opened before a time."""

    key: ServerKey
    opened_before_ms: float


@attrs.define
class ForgetServer:
    """Close the idle connections to a server that left."""

    key: ServerKey


@attrs.define
class AcceptAnnouncement:
    """Tell the server that its announcement holds for a lease."""

    lease_ms: float
    is_declared: bool


@attrs.define
class RejectAnnouncement:
    """Tell the server why its announcement does not count."""

    incarnation: int
    reason: str


@attrs.define
class FinishCommand:
    """Give an operator the result of a command; None when it is unknown."""

    request_id: str
    result: CommandResult | None


@attrs.define
class FinishStatus:
    """Give an operator the state of the system; None when unreachable."""

    request_id: str
    status: StatusReply | None


@attrs.define
class Record:
    """Put an event on the time line."""

    kind: EventKind
    subject: str = ""
    detail: str = ""
    request_id: str = ""


EntryEffect = (
    Dispatch
    | CancelAttempt
    | AnswerCaller
    | AnswerRecorded
    | RefuseCaller
    | SendMessage
    | ProbeServer
    | CloseConnections
    | ForgetServer
    | AcceptAnnouncement
    | RejectAnnouncement
    | FinishCommand
    | FinishStatus
    | Record
)
