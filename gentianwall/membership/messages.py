"""Server records and the messages by which entries exchange them."""

from __future__ import annotations

import attrs

MAX_SLOTS = 10_000
MAX_NAME_CHARS = 255


@attrs.frozen
class ServerKey:
    """Identifies a server by its service and the name it chose."""

    service: str
    server: str


@attrs.frozen
class ServerNotice:
    """State that a server announced.

    Attributes:
        key: Service and name of the server.
        host: IP address on which the server accepts requests.
        port: Port on which the server accepts requests.
        slots: Number of requests that the server runs concurrently.
        failure_domain: Failure domain of the server.
        incarnation: Number that increases with each start of the server.
        state: `up`, `draining` or `left`. Within an incarnation it only
            moves forward in this order. The registry of the control instances
            also has `silent`.
    """

    key: ServerKey
    host: str
    port: int
    slots: int
    failure_domain: str
    incarnation: int
    state: str


def is_name(text: str) -> bool:
    """Returns whether a text can name a server, a service or a domain."""
    return 0 < len(text) <= MAX_NAME_CHARS and text.isprintable()


@attrs.frozen
class NoticeBroadcast:
    """Forwards new notices to the other entries.

    Attributes:
        notices: Notices received from servers.
        lease_ms: Remaining lease time of each notice, in the same order.
    """

    notices: tuple[ServerNotice, ...]
    lease_ms: tuple[float, ...]


@attrs.frozen
class Renewal:
    """Heartbeat of a server whose notice has not changed.

    Attributes:
        key: Service and name of the server.
        incarnation: Incarnation of the server.
        lease_ms: Remaining lease time.
    """

    key: ServerKey
    incarnation: int
    lease_ms: float


@attrs.frozen
class RenewalBroadcast:
    """Forwards the heartbeats received in one interval to the other entries."""

    renewals: tuple[Renewal, ...]


@attrs.frozen
class DirectoryRequest:
    """Asks a peer for all its notices.

    Sent after a start, and when a heartbeat names an unknown server.
    """


@attrs.frozen
class DirectoryReply:
    """Returns all notices of the sender.

    Attributes:
        notices: Notices of the servers in the sender's directory.
        lease_ms: Remaining lease time of each notice, in the same order.
    """

    notices: tuple[ServerNotice, ...]
    lease_ms: tuple[float, ...]


MembershipMessage = (
    NoticeBroadcast | RenewalBroadcast | DirectoryRequest | DirectoryReply
)
