"""Which headers pass between callers and servers."""

from __future__ import annotations

from twisted.web.http_headers import Headers

from gentianwall.http.reports import REPORT_HEADER

HOP_BY_HOP = frozenset(
    name.encode()
    for name in (
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
    )
)
OWN_PREFIX = b"gentianwall-"
PASSED_OWN = frozenset((b"gentianwall-caller",))
MAX_HOPS = 8


def count_hops(headers: Headers) -> int:
    """Returns how often a request has passed through this system."""
    values = headers.getRawHeaders(b"Via") or []
    return sum(value.count(b"gentianwall") for value in values)


def to_server(
    received: Headers,
    host: bytes,
    instance: bytes,
    request_id: bytes,
    attempt: int,
    left_ms: float,
) -> Headers:
    """Makes the headers towards a server.

    Hop-by-hop headers go (RFC 9110, 7.6.1), also those that `Connection`
    names, and so do this system's own, which no caller may set.
    """
    dropped = _named_by_connection(received)
    headers = Headers()
    for name, values in received.getAllRawHeaders():
        lower = name.lower()
        if lower in HOP_BY_HOP or lower in dropped:
            continue
        if lower.startswith(OWN_PREFIX) and lower not in PASSED_OWN:
            continue
        headers.setRawHeaders(name, values)
    headers.addRawHeader(b"Host", host)
    headers.addRawHeader(b"Via", b"1.1 gentianwall-" + instance)
    headers.addRawHeader(b"Gentianwall-Request-Id", request_id)
    headers.addRawHeader(b"Gentianwall-Attempt", b"%d" % attempt)
    headers.addRawHeader(b"Gentianwall-Deadline-Ms", b"%d" % max(1, left_ms))
    return headers


def passed_on(received: Headers, own: tuple[bytes, ...] = ()) -> Headers:
    """Returns the headers that concern more than one connection.

    Args:
        received: All headers.
        own: Names that are left out as well, since they are set anew.
    """
    dropped = _named_by_connection(received) | {name.lower() for name in own}
    headers = Headers()
    for name, values in received.getAllRawHeaders():
        lower = name.lower()
        if lower not in HOP_BY_HOP and lower not in dropped:
            headers.setRawHeaders(name, values)
    return headers


def to_caller(received: Headers, instance: bytes) -> list[tuple[bytes, bytes]]:
    """Makes the headers of an answer towards the caller."""
    dropped = _named_by_connection(received)
    passed = []
    for name, values in received.getAllRawHeaders():
        lower = name.lower()
        if lower.startswith(OWN_PREFIX) or lower in dropped:
            continue
        if lower in HOP_BY_HOP and lower != b"content-length":
            continue
        if lower == REPORT_HEADER:
            continue
        passed += [(name, value) for value in values]
    passed.append((b"Via", b"1.1 gentianwall-" + instance))
    return passed


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    values = headers.getRawHeaders(b"Connection")
    if not values:
        return frozenset()
    tokens = b",".join(values).split(b",")
    return frozenset(token.strip().lower() for token in tokens)
