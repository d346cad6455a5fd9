"""How headers are named towards callers and servers."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from gentianwall.core.refusals import RefusalReason
from gentianwall.routing.reports import SpeedReport, parse_speed_report


@attrs.frozen(kw_only=True)
class Dialect:
    """Names of headers; the default is the product's own.

    Attributes:
        request_id: Names a request; servers echo it.
        deadline_ms: How long the caller waits, in ms.
        expected_server: The server that a request is meant for.
        server_stamp: A server's signature of its answer; without it no
            success is passed on. Empty where servers do not sign.
        server_name: Which server answers a health check.
        load: What a server tells of its load.
        not_executed: Says that a server did not run a request.
        parse_load: Reads the value of `load`.
        statuses: Statuses of refusals that differ from the product's own.
    """

    request_id: bytes = b"Gentianwall-Request-Id"
    deadline_ms: bytes = b"Gentianwall-Deadline-Ms"
    expected_server: bytes = b"Gentianwall-Expected-Server"
    server_stamp: bytes = b""
    server_name: bytes = b"Gentianwall-Server"
    load: bytes = b"Gentianwall-Load"
    not_executed: bytes = b"Gentianwall-Not-Executed"
    parse_load: Callable[[str], SpeedReport | None] = parse_speed_report
    statuses: dict[RefusalReason, int] = attrs.field(factory=dict)
