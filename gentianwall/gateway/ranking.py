"""Which server gets a request."""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs

from gentianwall.gateway.servers import RoutedServer

# Candidates whose fresh load is asked for; a choice among few fresh reports
# beats one among many stale ones (Mitzenmacher 2001; Wydrowski et al. 2024).
QUERIES_PER_ROUND = 3
# Expected times this close are equal; entries that see the same reports then
# do not all pick the same server.
TIE_SHARE = 0.1
# A server of another failure domain counts as so much slower: the way there
# takes a few ms of some hundred, and links between domains are dear. It is
# below the factor of a shared server, so that an idle one far away is taken.
REMOTE_FACTOR = 1.3
# Large bodies go far only for a server that is several times quicker.
REMOTE_UPLOAD_FACTOR = 2.0


@attrs.frozen
class Candidate:
    """A server with what is expected of it.

    Attributes:
        server: The server.
        expected_ms: Time of the request there.
        cost: The same with what else speaks against it.
    """

    server: RoutedServer
    expected_ms: float
    cost: float


@attrs.frozen
class Locality:
    """How servers of other failure domains count.

    Attributes:
        failure_domain: Where the entry stands.
        remote_factor: How much slower servers elsewhere count.
    """

    failure_domain: str
    remote_factor: float


def rank(
    servers: Iterable[RoutedServer],
    excluded: frozenset[str] | set[str],
    service_ms: float,
    now_ms: float,
    rng: random.Random,
    locality: Locality,
    max_requests: int,
) -> list[Candidate]:
    """Returns the servers that may get a request, the best first.

    Servers that lost their connection, or have as many requests of this entry
    as it may open connections, stay out while others are left.

    Args:
        servers: Servers of the service.
        excluded: Names of servers that the request has tried.
        service_ms: Time of such a request at an idle, usual server.
        now_ms: The local clock.
        rng: Orders equals.
        locality: How servers of other failure domains count.
        max_requests: Requests that this entry may have at a server.
    """
    usable = [
        server
        for server in servers
        if server.record.notice.state in ("up", "silent")
        and server.name not in excluded
    ]
    preferred = [
        server
        for server in usable
        if server.paused_until_ms <= now_ms
        and len(server.own_requests) < max_requests
    ]
    ranked = []
    for server in preferred or usable:
        expected_ms = server.expected_ms(now_ms, service_ms)
        cost = expected_ms * server.penalty(now_ms)
        cost *= 1.0 + TIE_SHARE * rng.random()
        if server.record.notice.failure_domain != locality.failure_domain:
            cost *= locality.remote_factor
        ranked.append(Candidate(server, expected_ms, cost))
    ranked.sort(key=lambda candidate: candidate.cost)
    return ranked
