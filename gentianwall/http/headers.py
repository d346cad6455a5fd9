"""Selection of the headers forwarded between callers and servers."""

from __future__ import annotations

from twisted.web.http_headers import Headers

from gentianwall.http.reports import REPORT_HEADER

# Hop-by-hop headers, and `Expect`, `Content-Length` and `Host`, which each hop
# handles itself or sets anew.
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
OWN_HEADER_PREFIX = b"gentianwall-"
FORWARDED_OWN_HEADERS = frozenset((b"gentianwall-caller",))
MAX_HOPS = 8


def count_hops(headers: Headers) -> int:
    """Counts the instances in `Via` that a request has passed through."""
    values = headers.getRawHeaders(b"Via") or []
    return sum(value.count(b"gentianwall") for value in values)


def make_server_headers(
    received: Headers,
    host: bytes,
    instance: bytes,
    request_id: bytes,
    attempt: int,
    remaining_ms: float,
) -> Headers:
    """Returns the headers of a request to a server.

    Removes hop-by-hop headers (RFC 9110, 7.6.1), those that `Connection`
    lists, and this system's own headers, which callers may not set, except
    `Gentianwall-Caller`.
    """
    dropped = _connection_options(received)
    headers = Headers()
    for name, values in received.getAllRawHeaders():
        lower = name.lower()
        if lower in HOP_BY_HOP or lower in dropped:
            continue
        if (
            lower.startswith(OWN_HEADER_PREFIX)
            and lower not in FORWARDED_OWN_HEADERS
        ):
            continue
        headers.setRawHeaders(name, values)
    headers.addRawHeader(b"Host", host)
    headers.addRawHeader(b"Via", b"1.1 gentianwall-" + instance)
    headers.addRawHeader(b"Gentianwall-Request-Id", request_id)
    headers.addRawHeader(b"Gentianwall-Attempt", b"%d" % attempt)
    headers.addRawHeader(
        b"Gentianwall-Deadline-Ms", b"%d" % max(1, remaining_ms)
    )
    return headers


def end_to_end_headers(
    received: Headers, excluded: tuple[bytes, ...] = ()
) -> Headers:
    """Returns the end-to-end headers (RFC 9110, 7.6.1).

    Args:
        received: All headers.
        excluded: Names that are removed as well, because they are set anew.
    """
    dropped = _connection_options(received) | {
        name.lower() for name in excluded
    }
    headers = Headers()
    for name, values in received.getAllRawHeaders():
        lower = name.lower()
        if lower not in HOP_BY_HOP and lower not in dropped:
            headers.setRawHeaders(name, values)
    return headers


def make_caller_headers(
    received: Headers, instance: bytes
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an answer to the caller."""
    dropped = _connection_options(received)
    forwarded = []
    for name, values in received.getAllRawHeaders():
        lower = name.lower()
        if lower.startswith(OWN_HEADER_PREFIX) or lower in dropped:
            continue
        if lower in HOP_BY_HOP and lower != b"content-length":
            continue
        if lower == REPORT_HEADER:
            continue
        forwarded += [(name, value) for value in values]
    forwarded.append((b"Via", b"1.1 gentianwall-" + instance))
    return forwarded


def _connection_options(headers: Headers) -> frozenset[bytes]:
    values = headers.getRawHeaders(b"Connection")
    if not values:
        return frozenset()
    tokens = b",".join(values).split(b",")
    return frozenset(token.strip().lower() for token in tokens)
