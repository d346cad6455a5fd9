"""Which server gets a request."""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs

from gentianwall.gateway.servers import RoutedServer

# Candidates whose fresh load is asked for; a choice among few fresh reports
# beats one among many stale ones (Mitzenmacher 2001; Wydrowski et al. 2024).
ASKED = 3
# Expected times this close are equal; entries that see the same reports then
# do not all pick the same server.
EQUAL_SHARE = 0.1
# A server of another failure domain counts as so much slower: the way there
# takes a few ms of some hundred, and links between domains are dear. It is
# below the factor of a shared server, so that an idle one far away is taken.
FAR_FACTOR = 1.3
# Large bodies go far only for a server that is several times quicker.
FAR_UPLOAD_FACTOR = 2.0


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
class Nearness:
    """How servers of other failure domains count.

    Attributes:
        failure_domain: Where the entry stands.
        far_factor: How much slower servers elsewhere count.
    """

    failure_domain: str
    far_factor: float


def rank(
    servers: Iterable[RoutedServer],
    avoid: frozenset[str] | set[str],
    work_ms: float,
    now_ms: float,
    rng: random.Random,
    near: Nearness,
    most_own: int,
) -> list[Candidate]:
    """Returns the servers that may get a request, the best first.

    Servers that lost their connection, or have as many requests of this entry
    as it may open connections, stay out while others are left.

    Args:
        servers: Servers of the service.
        avoid: Names of servers that the request has tried.
        work_ms: Time of such a request at an idle, usual server.
        now_ms: The local clock.
        rng: Orders equals.
        near: How servers of other failure domains count.
        most_own: Requests that this entry may have at a server.
    """
    usable = [
        server
        for server in servers
        if server.record.notice.state in ("up", "silent")
        and server.name not in avoid
    ]
    better = [
        server
        for server in usable
        if server.paused_until_ms <= now_ms and len(server.own) < most_own
    ]
    ranked = []
    for server in better or usable:
        expected_ms = server.expected_ms(now_ms, work_ms)
        cost = expected_ms * server.penalty(now_ms)
        cost *= 1.0 + EQUAL_SHARE * rng.random()
        if server.record.notice.failure_domain != near.failure_domain:
            cost *= near.far_factor
        ranked.append(Candidate(server, expected_ms, cost))
    ranked.sort(key=lambda candidate: candidate.cost)
    return ranked
