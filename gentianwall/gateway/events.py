"""Events that the reducer of an entry that routes requests handles."""

from __future__ import annotations

import attrs

from gentianwall.config.routes import RouteKind
from gentianwall.control.messages import FeedNotice, FeedRedirect, PeerList
from gentianwall.core.events import (
    CallerDisconnected,
    DrainStarted,
    FailureKind,
    Tick,
)
from gentianwall.core.refusals import Refusal, RefusalReason
from gentianwall.routing.reports import SpeedReport


@attrs.frozen
class Relay:
    """What the first entry of a relayed request has decided about it.

    Attributes:
        service: Name of the target service.
        kind: Kind of the request.
        target_ms: Target time of its route.
        target_left_ms: Time left until its target; negative if that is over.
        attempts_left: Number of servers that it may be sent to.
        organisation: Name of the organisation that sent it; empty for none.
    """

    service: str
    kind: RouteKind
    target_ms: float
    target_left_ms: float
    attempts_left: int
    organisation: str = ""


@attrs.define
class RequestArrived:
    """A caller, or a peer, sent a complete request.

    Attributes:
        at_ms: When the event occurred.
        call_id: Identifies the request in this process.
        request_id: Identifies it to callers and servers.
        host: Requested host.
        path: Requested path without the query.
        wait_ms: How long the caller waits; None if not stated.
        fingerprint: Digest of the request; empty while no request is
            quarantined or suspected.
        relay: Decisions of the peer that relays the request; None if a caller
            sent it.
        authorization: Values of all its `Authorization` headers.
        refusal: Why the request is refused before it is routed, by its head or
            as too many run; None if it is not.
    """

    at_ms: float
    call_id: int
    request_id: str
    host: str
    path: str
    wait_ms: float | None
    fingerprint: str
    relay: Relay | None = None
    authorization: tuple[bytes, ...] = attrs.field(default=(), repr=False)
    refusal: RefusalReason | None = None


@attrs.define
class ServerAnswered:
    """A server sent a complete answer.

    Attributes:
        at_ms: When the event occurred.
        call_id: Identifies the request.
        attempt: Number of the attempt, from 1.
        status: HTTP status.
        is_refusal: Whether the answer states that the request was not executed.
        is_authentic: Whether the server itself sent the answer, so that it may
            be forwarded.
        report: Its load report, if any.
        rate_limit_per_s: Rate limit that the server names, if any.
        rest_ms: Time for which the server wants nothing from this entry.
        is_leaving: Whether the server states that it leaves.
        fingerprint: Digest of the request; empty while no request is
            quarantined or suspected, and where the end of the server might
            have cut the answer short.
    """

    at_ms: float
    call_id: int
    attempt: int
    status: int
    is_refusal: bool
    is_authentic: bool
    report: SpeedReport | None
    rate_limit_per_s: float | None = None
    rest_ms: float = 0.0
    is_leaving: bool = False
    fingerprint: str = ""


@attrs.define
class ServerFailed:
    """An attempt failed: the server sent no complete answer."""

    at_ms: float
    call_id: int
    attempt: int
    kind: FailureKind


@attrs.define
class PeerAnswered:
    """A peer sent a complete answer to a relayed request.

    Attributes:
        at_ms: When the event occurred.
        call_id: Identifies the request.
        attempt: Number of the attempt, from 1.
        status: HTTP status.
        server: Name of the server that answered; empty if none did.
        refusal: The peer's refusal; None if a server answered.
        rate_limit_per_s: Rate limit that the server names, if any.
        is_leaving: Whether the server states that it leaves.
    """

    at_ms: float
    call_id: int
    attempt: int
    status: int
    server: str
    refusal: Refusal | None
    rate_limit_per_s: float | None = None
    is_leaving: bool = False


@attrs.define
class PeerFailed:
    """A peer sent no complete answer to a relayed request."""

    at_ms: float
    call_id: int
    attempt: int
    kind: FailureKind


@attrs.define
class ReachChecked:
    """A check of the path to a server ended."""

    at_ms: float
    server: str
    is_reached: bool


@attrs.define
class LoadQueryEnded:
    """A load query to a server ended, with or without an answer.

    Attributes:
        at_ms: When the event occurred.
        server: Name of the server.
        is_answered: Whether the server answered.
        is_healthy: Whether the answer reports the server as healthy.
        is_mismatched: Whether another server answered at that address.
        report: Its load report, if any.
        rate_limit_per_s: Rate limit that the server names, if any.
        rest_ms: Time for which the server wants nothing from this entry.
        is_leaving: Whether the server states that it leaves.
        warmup_ms: For how long it states to be cold; None if not stated.
    """

    at_ms: float
    server: str
    is_answered: bool
    is_healthy: bool
    is_mismatched: bool
    report: SpeedReport | None
    rate_limit_per_s: float | None = None
    rest_ms: float = 0.0
    is_leaving: bool = False
    warmup_ms: float | None = None


@attrs.define
class RecheckDue:
    """The wait for load reports, or for a scheduled recheck, is over."""

    at_ms: float
    call_id: int


@attrs.define
class DeadlineExpired:
    """The deadline of a request expired."""

    at_ms: float
    call_id: int


@attrs.define
class DrainEnded:
    """The process ends now, or soon after its last answers are written."""

    at_ms: float


@attrs.define
class ServerCrashed:
    """A server refuses connections after it lost a request.

    Attributes:
        at_ms: When the event occurred.
        server: Name of the server.
        service: Its service.
        fingerprint: Name under which the request is quarantined.
        incarnation: Incarnation of the server that lost the request.
    """

    at_ms: float
    server: str
    service: str
    fingerprint: str
    incarnation: int = 0


@attrs.define
class FeedArrived:
    """A control instance sent a message of the feed."""

    at_ms: float
    sender: str
    message: FeedNotice | FeedRedirect | PeerList


GatewayEvent = (
    RequestArrived
    | CallerDisconnected
    | ServerAnswered
    | ServerFailed
    | PeerAnswered
    | PeerFailed
    | ReachChecked
    | LoadQueryEnded
    | RecheckDue
    | DeadlineExpired
    | ServerCrashed
    | FeedArrived
    | DrainStarted
    | DrainEnded
    | Tick
)
