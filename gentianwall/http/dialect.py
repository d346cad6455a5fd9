"""Names of the headers exchanged with callers and servers."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from gentianwall.core.refusals import RefusalReason
from gentianwall.routing.reports import SpeedReport, parse_speed_report


@attrs.frozen(kw_only=True)
class Dialect:
    """Header names of one protocol; the defaults are the product's own.

    Attributes:
        request_id: Id of a request; servers echo it.
        deadline_ms: Time that the caller still waits for the answer, in ms.
        expected_server: Server that a request is sent to.
        server_stamp: Stamp of the server on its own answers; an answer
            without it is not forwarded. Empty where servers send no stamp.
        server_name: Server that answered a health check.
        load: Load report of a server.
        rate_limit: Requests a second that a server takes from all entries
            together.
        leaving: Set to 1 by a server that leaves, in all its answers.
        warmup_ms: For how many ms a server is still cold, in its answers to
            health checks.
        not_executed: Set by a server that did not execute a request.
        organisation: Organisation that sent a request; servers receive it.
        parse_load: Parses the value of `load`.
        statuses: Statuses of refusals that differ from the product's own.
    """

    request_id: bytes = b"Gentianwall-Request-Id"
    deadline_ms: bytes = b"Gentianwall-Deadline-Ms"
    expected_server: bytes = b"Gentianwall-Expected-Server"
    server_stamp: bytes = b""
    server_name: bytes = b"Gentianwall-Server"
    load: bytes = b"Gentianwall-Load"
    rate_limit: bytes = b"Gentianwall-Rate-Limit"
    leaving: bytes = b"Gentianwall-Leaving"
    warmup_ms: bytes = b"Gentianwall-Warmup-Ms"
    not_executed: bytes = b"Gentianwall-Not-Executed"
    organisation: bytes = b"Gentianwall-Organisation"
    parse_load: Callable[[str], SpeedReport | None] = parse_speed_report
    statuses: dict[RefusalReason, int] = attrs.field(factory=dict)
