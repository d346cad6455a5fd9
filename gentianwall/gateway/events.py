"""What can happen to an entry that follows routes."""

from __future__ import annotations

import attrs

from gentianwall.control.messages import FeedNotice, FeedRedirect
from gentianwall.core.events import CallerGone, DrainStarted, FailureKind, Tick
from gentianwall.routing.reports import SpeedReport


@attrs.define
class RequestArrived:
    """A caller sent a whole request.

    Attributes:
        at_ms: When.
        call_id: Names the request in this process.
        request_id: Names it to callers and servers.
        host: Its host.
        path: Its path without the query.
        wait_ms: How long the caller waits, or None.
        fingerprint: Digest of the request; empty while none is refused.
    """

    at_ms: float
    call_id: int
    request_id: str
    host: str
    path: str
    wait_ms: float | None
    fingerprint: str


@attrs.define
class ServerAnswered:
    """A server gave a whole answer.

    Attributes:
        at_ms: When.
        call_id: The request.
        attempt: Which of its attempts, from 1.
        status: HTTP status.
        is_refusal: Whether the server says that it did not run the request.
        is_sound: Whether the answer may be passed on as the server's.
        report: Its load report, if any.
    """

    at_ms: float
    call_id: int
    attempt: int
    status: int
    is_refusal: bool
    is_sound: bool
    report: SpeedReport | None


@attrs.define
class ServerFailed:
    """A server gave no whole answer."""

    at_ms: float
    call_id: int
    attempt: int
    kind: FailureKind


@attrs.define
class LoadTold:
    """A server answered a question for its load, or did not.

    Attributes:
        at_ms: When.
        server: The server.
        is_answered: Whether it answered.
        is_well: Whether it says that it is well.
        is_other: Whether another server answered at its address.
        report: Its load report, if any.
    """

    at_ms: float
    server: str
    is_answered: bool
    is_well: bool
    is_other: bool
    report: SpeedReport | None


@attrs.define
class AskingEnded:
    """The time to wait for load reports is over."""

    at_ms: float
    call_id: int


@attrs.define
class TimeUp:
    """A request has no more time."""

    at_ms: float
    call_id: int


@attrs.define
class ServerDead:
    """A server's address refuses connections after it lost a request."""

    at_ms: float
    server: str
    service: str
    fingerprint: str


@attrs.define
class FeedArrived:
    """A control instance told what is in force."""

    at_ms: float
    sender: str
    message: FeedNotice | FeedRedirect


GatewayEvent = (
    RequestArrived
    | CallerGone
    | ServerAnswered
    | ServerFailed
    | LoadTold
    | AskingEnded
    | TimeUp
    | ServerDead
    | FeedArrived
    | DrainStarted
    | Tick
)
