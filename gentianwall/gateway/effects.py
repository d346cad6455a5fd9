"""Effects that the reducer of an entry that routes requests returns."""

from __future__ import annotations

import attrs

from gentianwall.control.messages import CommandRequest, FeedPoll
from gentianwall.core.refusals import Refusal
from gentianwall.gateway.events import Relay
from gentianwall.membership.messages import ServerNotice


@attrs.define
class SendRequest:
    """Sends a request to a server.

    Attributes:
        call_id: Identifies the request.
        attempt: Number of the attempt, from 1.
        notice: Announcement of the server.
        left_ms: Time left before the deadline of the request.
        is_idempotent: Whether the request may be sent on an idle connection
            that the server may have closed.
        organisation: Name of the organisation that the server receives; empty
            for none.
        is_key_hidden: Whether the server must receive neither `Authorization`
            nor an organisation that the caller named.
    """

    call_id: int
    attempt: int
    notice: ServerNotice
    left_ms: float
    is_idempotent: bool
    organisation: str = ""
    is_key_hidden: bool = False


@attrs.define
class RelayRequest:
    """Sends a request to a peer, which sends it to a server.

    Attributes:
        call_id: Identifies the request.
        attempt: Number of the attempt, from 1.
        peer: Host of the peer.
        left_ms: Time left before the deadline of the request.
        relay: Decisions that the peer follows.
        is_key_hidden: Whether the peer must receive neither `Authorization`
            nor an organisation that the caller named.
    """

    call_id: int
    attempt: int
    peer: str
    left_ms: float
    relay: Relay
    is_key_hidden: bool = False


@attrs.define
class CheckReach:
    """Checks on a new connection whether a server is reached."""

    notice: ServerNotice
    health_path: str


@attrs.define
class QueryLoad:
    """Queries servers for their load before a request is dispatched."""

    call_id: int
    notices: tuple[ServerNotice, ...]
    health_path: str


@attrs.define
class CheckOverdue:
    """Queries a server for its load because a request there is overdue."""

    notice: ServerNotice
    health_path: str


@attrs.define
class CancelRequest:
    """Closes the connection of an attempt."""

    call_id: int
    attempt: int


@attrs.define
class ForwardAnswer:
    """Sends the server's answer to the caller."""

    call_id: int


@attrs.define
class RefuseRequest:
    """Sends the caller the refusal of a request."""

    call_id: int
    refusal: Refusal


@attrs.define
class StartDeadlineTimer:
    """Starts the deadline timer of a request."""

    call_id: int
    at_ms: float


@attrs.define
class ScheduleRecheck:
    """Schedules the recheck of a request that found no free server."""

    call_id: int
    at_ms: float


@attrs.define
class CheckServer:
    """Checks whether a server that lost a request still accepts connections.

    Attributes:
        call_id: Identifies the request.
        notice: The server.
        organisation: Organisation of the request; empty for none.
    """

    call_id: int
    notice: ServerNotice
    organisation: str = ""


@attrs.define
class CloseIdleConnections:
    """Closes the idle connections to a server."""

    server: str


@attrs.define
class SendToControl:
    """Sends a message to a control instance; the message may be lost."""

    receiver: str
    message: FeedPoll | CommandRequest


@attrs.define
class Log:
    """Logs a decision or a change of state.

    Attributes:
        event: Name of the event.
        fields: Fields of the log line, such as the figures behind a decision.
    """

    event: str
    fields: dict[str, object]


GatewayEffect = (
    SendRequest
    | RelayRequest
    | CheckReach
    | QueryLoad
    | CheckOverdue
    | CancelRequest
    | ForwardAnswer
    | RefuseRequest
    | StartDeadlineTimer
    | ScheduleRecheck
    | CheckServer
    | CloseIdleConnections
    | SendToControl
    | Log
)
