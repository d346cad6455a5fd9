"""Divides the rate limits that servers name among the entries.

The leader learns from the polls of the entries which servers name a limit, and
tells all entries who holds a share of it. Few entries hold one: each may have
saved up one request, so with many holders a server whose limit is lower than
their number would get all of these at once.

Shares are not replicated. A new leader first collects the reports of all
entries, which keep the shares of the former leader meanwhile: shares given out
one after the other to a growing number of holders would exceed the limit.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection

import attrs

from gentianwall.control.messages import (
    RATE_LIMIT_MAX_AGE_MS,
    RateLimitReport,
    SharedRateLimit,
)

# Holders of a limit beyond one for each request a second that it allows. In a
# window of a few seconds a server is granted 5 requests more than one and a
# half times its limit; the saved-up requests of the holders stay below that.
SPARE_HOLDERS = 4
# Interval at which limits expire and holders that stopped polling are replaced.
REFRESH_MS = 1000.0
# Time after the start of its leadership in which a leader collects reports. An
# entry notices the loss of the former leader within 700 ms and then polls all
# control instances.
COLLECTION_MS = 1000.0
INCOMPLETE_VERSION = -1
VERSION_BITS = 32


@attrs.define
class ReportedLimit:
    """A rate limit that entries have reported.

    Attributes:
        per_second: Requests a second from all entries together; None if the
            server has stated that it has no limit any more. It is kept then,
            so that an older report does not restore the limit.
        stated_ms: When the server stated that.
        reporters: Names of the entries to which the server named a limit.
    """

    per_second: float | None
    stated_ms: float
    reporters: set[str] = attrs.field(factory=set)


@attrs.define
class RateShares:
    """Rate limits known to a leader, and their holders.

    Attributes:
        reported: Reported limits by the name of the server.
        shares: Limits in force with their holders.
        is_complete: Whether the leader has led long enough to have received
            the reports of all entries.
        changes: Number of changes of `shares`.
        refresh_due_ms: When `shares` is next updated without a new report.
    """

    reported: dict[str, ReportedLimit] = attrs.field(factory=dict)
    shares: tuple[SharedRateLimit, ...] = ()
    is_complete: bool = False
    changes: int = 0
    refresh_due_ms: float = 0.0

    def version(self, term: int) -> int:
        """Returns the version of the shares; leaders never share a version.

        Without limits it is 0, as at an entry that has received no shares.
        """
        if not self.is_complete:
            return INCOMPLETE_VERSION
        return term << VERSION_BITS | self.changes if self.changes else 0

    def record_reports(
        self,
        entry: str,
        reports: tuple[RateLimitReport, ...],
        entries: Collection[str],
        leader_since_ms: float,
        now_ms: float,
    ) -> None:
        """Records the reports of an entry and updates the shares.

        Args:
            entry: Name of the entry.
            reports: Its reports.
            entries: Names of all entries that poll.
            leader_since_ms: When the leadership began.
            now_ms: The local clock.
        """
        is_changed = False
        for report in reports:
            is_changed |= self._record(entry, report, now_ms)
        self.is_complete = now_ms - leader_since_ms >= COLLECTION_MS
        if not self.is_complete:
            self.refresh_due_ms = now_ms
        elif is_changed or (self.reported and now_ms >= self.refresh_due_ms):
            self._refresh(entries, now_ms)

    def _record(
        self, entry: str, report: RateLimitReport, now_ms: float
    ) -> bool:
        stated_ms = now_ms - report.age_ms
        known = self.reported.get(report.server)
        if known is None:
            if report.per_second is None:
                return False
            known = self.reported[report.server] = ReportedLimit(
                report.per_second, stated_ms, {entry}
            )
            return True
        is_changed = False
        if stated_ms >= known.stated_ms:
            is_changed = known.per_second != report.per_second
            known.per_second = report.per_second
            known.stated_ms = stated_ms
        if report.per_second is not None and entry not in known.reporters:
            known.reporters.add(entry)
            is_changed = True
        return is_changed

    def _refresh(self, entries: Collection[str], now_ms: float) -> None:
        self.refresh_due_ms = now_ms + REFRESH_MS
        for server, limit in list(self.reported.items()):
            if now_ms - limit.stated_ms > RATE_LIMIT_MAX_AGE_MS:
                del self.reported[server]
            limit.reporters &= set(entries)
        shares = tuple(
            SharedRateLimit(
                server,
                limit.per_second,
                choose_holders(server, limit.per_second, limit.reporters),
            )
            for server, limit in sorted(self.reported.items())
            if limit.per_second is not None and limit.reporters
        )
        if shares != self.shares:
            self.shares = shares
            self.changes += 1


def choose_holders(
    server: str, per_second: float, entries: Collection[str]
) -> tuple[str, ...]:
    """Returns the entries that hold a share of a server's rate limit.

    They are chosen by rendezvous hashing, so the servers of a service have
    different holders, and a holder that stops replaces only itself.
    """

    def weight(entry: str) -> bytes:
        text = f"{server}\0{entry}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    count = SPARE_HOLDERS + int(per_second)
    return tuple(sorted(sorted(entries, key=weight)[:count]))
