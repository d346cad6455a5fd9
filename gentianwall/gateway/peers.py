"""Chooses the entry that relays a request of a partitioned entry.

Load pattern: up to half of all callers, or more, arrive at entries that reach
no server. The entries that still do carry their requests too, so the requests
are spread evenly over them.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

import attrs

# First pause of a peer that could not relay; each further one is twice as long.
PAUSE_MS = 200.0
MAX_PAUSE_MS = 1600.0
# Interval at which the list of peers is renewed.
LIST_INTERVAL_MS = 10_000.0
# The same while the entry needs the list, or lacks one: every poll asks for it,
# since most of the first polls reach control instances that do not lead.
URGENT_LIST_INTERVAL_MS = 50.0
# A new leader names only the entries that have polled it so far, so peers that
# a list lacks are kept for this long. Several lists arrive in that time.
UNLISTED_MS = 20_000.0


@attrs.define
class Peer:
    """Another entry that may relay requests.

    Attributes:
        outstanding: Call ids of the requests that it relays.
        consecutive_pauses: Pauses since it last relayed a request.
        paused_until_ms: When its pause ends.
        listed_ms: When a list last named it.
    """

    outstanding: set[int] = attrs.field(factory=set)
    consecutive_pauses: int = 0
    paused_until_ms: float = float("-inf")
    listed_ms: float = float("-inf")


@attrs.define
class Peers:
    """The peers that the leader has named to an entry.

    Attributes:
        by_host: Peers by the host on which they accept requests.
        requested_ms: When the list was last requested.
        received_ms: When the last list was received.
    """

    by_host: dict[str, Peer] = attrs.field(factory=dict)
    requested_ms: float = float("-inf")
    received_ms: float = float("-inf")

    def is_list_due(self, is_partitioned: bool, now_ms: float) -> bool:
        """Returns whether to request the list; if so, notes the request."""
        is_urgent = is_partitioned or not self.by_host
        interval_ms = URGENT_LIST_INTERVAL_MS if is_urgent else LIST_INTERVAL_MS
        if now_ms - self.requested_ms < interval_ms:
            return False
        self.requested_ms = now_ms
        return True

    def apply_list(self, hosts: Iterable[str], now_ms: float) -> None:
        """Applies a list; peers that it lacks are kept for a while."""
        self.received_ms = now_ms
        for host in hosts:
            self.by_host.setdefault(host, Peer()).listed_ms = now_ms
        self.by_host = {
            host: peer
            for host, peer in self.by_host.items()
            if now_ms - peer.listed_ms < UNLISTED_MS
        }

    def choose(
        self, excluded: Collection[str], rng: random.Random, now_ms: float
    ) -> str | None:
        """Returns the host of the peer with the fewest requests, if any.

        Peers that the last list lacks are chosen only if there is no other.

        Args:
            excluded: Hosts of the peers that the request has tried.
            rng: Breaks ties.
            now_ms: The local clock.
        """
        usable = [
            (
                peer.listed_ms < self.received_ms,
                len(peer.outstanding),
                rng.random(),
                host,
            )
            for host, peer in self.by_host.items()
            if peer.paused_until_ms <= now_ms and host not in excluded
        ]
        return min(usable)[-1] if usable else None

    def record_sent(self, host: str, call_id: int) -> None:
        """Records a request that was sent to a peer."""
        self.by_host[host].outstanding.add(call_id)

    def record_end(self, host: str, call_id: int) -> None:
        """Records that a request is no longer outstanding at a peer."""
        if host in self.by_host:
            self.by_host[host].outstanding.discard(call_id)

    def record_success(self, host: str) -> None:
        """Records that a peer has relayed a request."""
        if host in self.by_host:
            self.by_host[host].consecutive_pauses = 0

    def pause(self, host: str, now_ms: float) -> None:
        """Pauses a peer that could not relay a request."""
        peer = self.by_host.get(host)
        if peer is None:
            return
        pause_ms = min(MAX_PAUSE_MS, PAUSE_MS * 2**peer.consecutive_pauses)
        peer.paused_until_ms = now_ms + pause_ms
        peer.consecutive_pauses += 1
