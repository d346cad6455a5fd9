"""What an entry that follows routes wants done."""

from __future__ import annotations

import attrs

from gentianwall.control.messages import CommandRequest, FeedPoll
from gentianwall.core.refusals import Refusal
from gentianwall.membership.messages import ServerNotice


@attrs.define
class SendRequest:
    """Send a request to a server.

    Attributes:
        call_id: The request.
        attempt: Number of the attempt, from 1.
        notice: The server.
        left_ms: How long the answer is wanted.
        is_idempotent: Whether an old connection may be risked.
    """

    call_id: int
    attempt: int
    notice: ServerNotice
    left_ms: float
    is_idempotent: bool


@attrs.define
class AskLoad:
    """Ask servers for their load before a request is placed."""

    call_id: int
    notices: tuple[ServerNotice, ...]
    health_path: str


@attrs.define
class CancelRequest:
    """Close the connection that a request was sent on."""

    call_id: int


@attrs.define
class PassAnswer:
    """Send the caller the server's answer."""

    call_id: int


@attrs.define
class RefuseRequest:
    """Send the caller the final word on a request without an answer."""

    call_id: int
    refusal: Refusal


@attrs.define
class StartTimer:
    """Tell when a request has no more time."""

    call_id: int
    at_ms: float


@attrs.define
class LookAgain:
    """Tell when a request that found no room shall look again."""

    call_id: int
    at_ms: float


@attrs.define
class CheckServer:
    """See whether a server that lost a request still takes connections."""

    call_id: int
    notice: ServerNotice


@attrs.define
class DropServer:
    """Close what is idle towards a server."""

    server: str


@attrs.define
class TellControl:
    """Send a message to a control instance; it may be lost."""

    receiver: str
    message: FeedPoll | CommandRequest


@attrs.define
class Log:
    """A decision or a change of belief.

    Attributes:
        event: Name of the event.
        fields: What decided it.
    """

    event: str
    fields: dict[str, object]


GatewayEffect = (
    SendRequest
    | AskLoad
    | CancelRequest
    | PassAnswer
    | RefuseRequest
    | StartTimer
    | LookAgain
    | CheckServer
    | DropServer
    | TellControl
    | Log
)
