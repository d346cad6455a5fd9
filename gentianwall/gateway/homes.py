"""Chooses the servers that an entry considers for a request.

Load pattern: hundreds of servers and entries with a few requests a second each.
If every entry considers all servers, it knows none of them well: its reports
are old, each load query needs a new connection, and ranking takes longer than
the network. Therefore an entry has a small set of home servers for each
service, which it uses so often that connections stay open and reports recent.
A few other servers are drawn at random for each request, so that a burst in
one failure domain finds room elsewhere.

Home servers are chosen by rendezvous hashing (Thaler and Ravishankar 1998):
when a server joins or leaves, only that server's place in the set changes.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Collection, Iterable

from gentianwall.gateway.servers import RoutedServer

# With this many home servers the chance that all of them are busy is small up
# to high loads, while each one is still used every few seconds.
HOME_SERVERS = 12
# Other servers considered for each request, beside the home servers.
SAMPLED_SERVERS = 4
USABLE_STATES = ("up", "silent")


def home_weight(entry: str, server: str) -> int:
    """Returns the weight of a server for an entry; the highest are homes."""
    digest = hashlib.blake2b(f"{entry}\0{server}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def choose_homes(
    entry: str, failure_domain: str, servers: Iterable[RoutedServer]
) -> tuple[str, ...]:
    """Returns the names of an entry's home servers.

    Servers in the entry's failure domain come first, others fill the set.

    Args:
        entry: Name of the entry.
        failure_domain: Its failure domain.
        servers: All servers of the service.
    """
    usable = [
        (
            server.record.notice.failure_domain != failure_domain,
            -home_weight(entry, server.name),
            server.name,
        )
        for server in servers
        if server.record.notice.state in USABLE_STATES
    ]
    return tuple(name for _, _, name in sorted(usable)[:HOME_SERVERS])


def draw_others(
    servers: dict[str, RoutedServer],
    homes: Collection[str],
    excluded: Collection[str],
    rng: random.Random,
) -> tuple[str, ...]:
    """Draws names of servers to consider beside the home servers.

    Args:
        servers: All servers of the service by name.
        homes: Names of the home servers.
        excluded: Names of servers that the request has tried.
        rng: Draws the servers.
    """
    others = [
        name
        for name, server in servers.items()
        if name not in homes
        and name not in excluded
        and server.record.notice.state in USABLE_STATES
    ]
    if len(others) > SAMPLED_SERVERS:
        others = rng.sample(others, SAMPLED_SERVERS)
    return tuple(others)


def choose_candidates(
    servers: dict[str, RoutedServer],
    names: Iterable[str],
    excluded: Collection[str],
    may_send: Callable[[str], bool],
    now_ms: float,
) -> list[RoutedServer]:
    """Returns the servers of the given names that may get a request.

    All servers are considered if every one of these is paused or gone, so that
    an entry whose home servers are lost uses the remaining ones. Servers that
    must not be sent a request now are never returned.

    Args:
        servers: All servers of the service by name.
        names: Names of the home servers and of those drawn.
        excluded: Names of servers that the request has tried.
        may_send: Returns whether a server may be sent a request now.
        now_ms: The local clock.
    """
    candidates = [
        servers[name]
        for name in names
        if name in servers
        and name not in excluded
        and servers[name].paused_until_ms <= now_ms
        and may_send(name)
    ]
    return candidates or [
        server for name, server in servers.items() if may_send(name)
    ]
