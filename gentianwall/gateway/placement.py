"""Placement: ranks the servers of a service for one request."""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs

from gentianwall.gateway.servers import RoutedServer

# Candidates that are queried for their load at a time. A choice among few
# fresh reports is better than one among many stale ones (Mitzenmacher 2001;
# Wydrowski et al. 2024).
QUERIES_PER_ROUND = 3
# Costs vary at random by up to this share, so that entries with the same
# reports do not all choose the same server among almost equal ones.
TIE_SHARE = 0.1
# Cost factor of a server in another failure domain: the network path adds a
# few ms to service times of some hundred ms, and links between domains are
# expensive. The factor is below the slowdown of a shared server, so that an
# idle remote server is preferred to a shared local one.
REMOTE_FACTOR = 1.3
# Large bodies go to another failure domain only if the server there is faster
# by this factor.
REMOTE_UPLOAD_FACTOR = 2.0


@attrs.frozen
class Candidate:
    """A server with its expected time and cost for one request.

    Attributes:
        server: The server.
        expected_ms: Expected time of the request there.
        cost: Expected time, weighted by failures, health and locality.
    """

    server: RoutedServer
    expected_ms: float
    cost: float


@attrs.frozen
class Locality:
    """The failure domain of the entry and the cost of leaving it.

    Attributes:
        failure_domain: Failure domain of the entry.
        remote_factor: Cost factor of servers in other failure domains.
    """

    failure_domain: str
    remote_factor: float


def rank_servers(
    servers: Iterable[RoutedServer],
    excluded: frozenset[str] | set[str],
    service_ms: float,
    now_ms: float,
    rng: random.Random,
    locality: Locality,
    max_requests: int,
) -> list[Candidate]:
    """Returns the servers that a request may be sent to, the best first.

    Servers that are paused, or have as many requests of this entry as it may
    open connections, are left out while there are others.

    Args:
        servers: Servers of the service.
        excluded: Names of servers that the request has tried.
        service_ms: Service time of the request at an idle, average server.
        now_ms: The local clock.
        rng: Breaks ties between servers.
        locality: Failure domain of the entry and cost of leaving it.
        max_requests: Most requests of this entry at one server.
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
