"""Keeps an entry to its share of the rate limits that servers name.

Load pattern: a server in need states in its answers how many requests a second
it takes from all entries together, which may be less than there are entries.
No entry knows how many others send to that server. Therefore entries report
such a limit to the leader of the control instances, which divides it among a
few of them, the holders. An entry without a share sends nothing to the server.
Until the leader has answered, a limit counts as divided among all entries.

A share is spent as a token bucket that starts empty, so a change of the holders
lets no burst through.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from gentianwall.control.messages import (
    RATE_LIMIT_MAX_AGE_MS,
    RateLimitReport,
    SharedRateLimit,
)

# What an answer has just stated is kept for this long although the leader's
# last notice contradicts it: the notice may have been sent before the report
# arrived. Several polls fit into this time.
UNCONFIRMED_MS = 2000.0
# An unused share accumulates for at most this long, but at least until it
# suffices for one request.
ACCUMULATION_S = 0.25


@attrs.define
class RateLimit:
    """The rate limit of one server, and this entry's share of it.

    Attributes:
        per_second: Requests a second from all entries together; None if the
            server has stated that it has no limit any more.
        stated_ms: When an answer to this entry last stated that; negative
            infinity if only the leader did.
        share_per_second: Requests a second of this entry; 0 without a share.
        tokens: Number of requests that may be sent now.
        refilled_ms: When `tokens` was last updated.
    """

    per_second: float | None
    stated_ms: float = float("-inf")
    share_per_second: float = 0.0
    tokens: float = 0.0
    refilled_ms: float = 0.0

    def refill(self, now_ms: float) -> None:
        """Adds the tokens for the time since the last refill."""
        elapsed_s = (now_ms - self.refilled_ms) / 1000.0
        most = max(1.0, self.share_per_second * ACCUMULATION_S)
        tokens = self.tokens + self.share_per_second * elapsed_s
        self.tokens = min(most, tokens)
        self.refilled_ms = now_ms

    def wait_ms(self, now_ms: float) -> float:
        """Returns the time until a request may be sent."""
        if self.per_second is None:
            return 0.0
        self.refill(now_ms)
        if self.tokens >= 1.0:
            return 0.0
        if not self.share_per_second:
            return float("inf")
        return (1.0 - self.tokens) / self.share_per_second * 1000.0


@attrs.define
class RateLimits:
    """The rate limits of all servers that an entry knows of.

    Attributes:
        version: Version of the shares, from the leader's last notice.
        by_server: Rate limits by the name of the server.
    """

    version: int = 0
    by_server: dict[str, RateLimit] = attrs.field(factory=dict)

    def may_send(self, server: str, now_ms: float) -> bool:
        """Returns whether the server may be sent a request now."""
        limit = self.by_server.get(server)
        return limit is None or limit.wait_ms(now_ms) <= 0.0

    def wait_ms(self, servers: Iterable[str], now_ms: float) -> float:
        """Returns the time until one of the servers may be sent a request.

        It is infinite if none of them may, and 0 if none has a limit.
        """
        waits_ms = [
            self.by_server[server].wait_ms(now_ms)
            for server in servers
            if server in self.by_server
        ]
        return min(waits_ms, default=0.0)

    def spend(self, server: str) -> None:
        """Counts a request that is sent to a server."""
        limit = self.by_server.get(server)
        if limit is not None:
            limit.tokens -= 1.0

    def record_statement(
        self,
        server: str,
        per_second: float | None,
        entries: int,
        now_ms: float,
    ) -> bool:
        """Records what an answer of a server states about its limit.

        Args:
            server: Name of the server.
            per_second: The limit that it names; None if it names none.
            entries: Number of entries.
            now_ms: The local clock.

        Returns:
            Whether a limit began, changed or ended.
        """
        known = self.by_server.get(server)
        before = None if known is None else known.per_second
        if known is None and per_second is None:
            return False
        if known is None or not before or not per_second:
            share_per_second = (per_second or 0.0) / max(1, entries)
            known = self.by_server[server] = RateLimit(
                per_second, now_ms, share_per_second, refilled_ms=now_ms
            )
        else:
            known.refill(now_ms)
            known.share_per_second *= per_second / before
            known.per_second = per_second
            known.stated_ms = now_ms
        return before != per_second

    def apply_shares(
        self,
        version: int,
        shares: tuple[SharedRateLimit, ...],
        entry: str,
        now_ms: float,
    ) -> None:
        """Applies the shares of a notice.

        Args:
            version: Version of the shares.
            shares: All limits in force and their holders.
            entry: Name under which this entry polls the leader.
            now_ms: The local clock.
        """
        self.version = version
        shared_servers = {shared.server for shared in shares}
        for server, limit in list(self.by_server.items()):
            is_unconfirmed = now_ms - limit.stated_ms <= UNCONFIRMED_MS
            if server not in shared_servers and not is_unconfirmed:
                del self.by_server[server]
        for shared in shares:
            limit = self.by_server.get(shared.server)
            if limit is None:
                limit = self.by_server[shared.server] = RateLimit(
                    shared.per_second, refilled_ms=now_ms
                )
            elif (
                limit.per_second is None
                and now_ms - limit.stated_ms <= UNCONFIRMED_MS
            ):
                continue
            limit.refill(now_ms)
            limit.per_second = shared.per_second
            limit.share_per_second = (
                shared.per_second / len(shared.holders)
                if entry in shared.holders
                else 0.0
            )

    def make_reports(self, now_ms: float) -> tuple[RateLimitReport, ...]:
        """Returns what recent answers to this entry stated, for the leader.

        Deletes outdated statements that a server has no limit any more.
        """
        for server, limit in list(self.by_server.items()):
            is_outdated = now_ms - limit.stated_ms > RATE_LIMIT_MAX_AGE_MS
            if limit.per_second is None and is_outdated:
                del self.by_server[server]
        return tuple(
            RateLimitReport(server, limit.per_second, now_ms - limit.stated_ms)
            for server, limit in self.by_server.items()
            if now_ms - limit.stated_ms <= RATE_LIMIT_MAX_AGE_MS
        )
