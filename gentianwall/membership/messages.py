"""Messages about servers between entry instances."""

from __future__ import annotations

import attrs


@attrs.frozen
class ServerKey:
    """A server by service and the name it chose."""

    service: str
    server: str


@attrs.frozen
class ServerNotice:
    """What a server announced of itself.

    Attributes:
        key: Who it is.
        host: IP number that it answers on.
        port: Port that it answers on.
        slots: Requests that it runs at once.
        failure_domain: The failure domain it stands in.
        incarnation: Grows with each start of the server.
        state: `up`, `draining` or `left`; never goes back in an incarnation.
    """

    key: ServerKey
    host: str
    port: int
    slots: int
    failure_domain: str
    incarnation: int
    state: str


@attrs.frozen
class NoticeSpread:
    """Passes on notices that are new, with the lease that is left.

    Attributes:
        notices: What servers announced.
        lease_ms: What is left of each lease, in the same order.
    """

    notices: tuple[ServerNotice, ...]
    lease_ms: tuple[float, ...]


@attrs.frozen
class Renewal:
    """A heartbeat of a server, without what has not changed."""

    key: ServerKey
    incarnation: int
    lease_ms: float


@attrs.frozen
class RenewalSpread:
    """Passes on heartbeats of a short while."""

    renewals: tuple[Renewal, ...]


@attrs.frozen
class DirectoryRequest:
    """Asks for all notices; sent after a start or when some are missing."""


@attrs.frozen
class DirectoryReply:
    """All notices that the sender holds."""

    notices: tuple[ServerNotice, ...]
    lease_ms: tuple[float, ...]


MembershipMessage = (
    NoticeSpread | RenewalSpread | DirectoryRequest | DirectoryReply
)
