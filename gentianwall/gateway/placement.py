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
# The own failure domain is preferred while it costs at most this factor, and
# the request is still answered well inside its target.
NEAR_FACTOR = 1.3
NEAR_TARGET_SHARE = 0.7


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


def rank(
    servers: Iterable[RoutedServer],
    avoid: frozenset[str] | set[str],
    work_ms: float,
    now_ms: float,
    rng: random.Random,
) -> list[Candidate]:
    """Returns the servers that may get a request, the best first.

    Servers that lost their connection stay out while others are left.

    Args:
        servers: Servers of the service.
        avoid: Names of servers that the request has tried.
        work_ms: Time of such a request at an idle, usual server.
        now_ms: The local clock.
        rng: Orders equals.
    """
    usable = [
        server
        for server in servers
        if server.record.notice.state in ("up", "silent")
        and server.name not in avoid
    ]
    rested = [s for s in usable if s.paused_until_ms <= now_ms]
    ranked = []
    for server in rested or usable:
        expected_ms = server.expected_ms(now_ms, work_ms)
        cost = expected_ms * server.penalty(now_ms)
        cost *= 1.0 + EQUAL_SHARE * rng.random()
        ranked.append(Candidate(server, expected_ms, cost))
    ranked.sort(key=lambda candidate: candidate.cost)
    return ranked


def prefer_near(
    ranked: list[Candidate], failure_domain: str, target_ms: float
) -> list[Candidate]:
    """Puts the best server of the own failure domain first, if it will do."""
    for place, candidate in enumerate(ranked):
        if candidate.server.record.notice.failure_domain != failure_domain:
            continue
        is_close = candidate.cost <= NEAR_FACTOR * ranked[0].cost
        is_quick = candidate.cost <= NEAR_TARGET_SHARE * target_ms
        if place and (is_close and is_quick):
            return [candidate, *ranked[:place], *ranked[place + 1 :]]
        break
    return ranked
