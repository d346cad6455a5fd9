"""Directory of the servers known to one entry, each with a lease.

Leases are timed by the local monotonic clock. Only a server's own announcement
starts or extends a lease. Notices forwarded by peers carry the remaining lease
time, from which the delay of the message is subtracted (`membership.delay`).
"""

from __future__ import annotations

import attrs

from gentianwall.membership.messages import Renewal, ServerKey, ServerNotice

DEREGISTERED_RETENTION_MS = 600_000.0
STATE_RANKS = {"up": 0, "draining": 1, "left": 2}


@attrs.frozen
class StaleNotice:
    """Reports that a notice is outdated.

    It is older than the record of its server, or its lease has expired.

    Attributes:
        incarnation: Recorded incarnation; that of the notice if there is no
            record.
        state: Recorded state; that of the notice if there is no record.
    """

    incarnation: int
    state: str


@attrs.frozen
class ConflictingNotice:
    """Reports a notice with a new address but the recorded incarnation.

    Attributes:
        incarnation: Recorded incarnation.
    """

    incarnation: int


@attrs.define
class ServerRecord:
    """The latest notice of a server and the end of its lease (local clock)."""

    notice: ServerNotice
    lease_end_ms: float


@attrs.define
class Directory:
    """Holds the records of all servers by service and name."""

    records: dict[ServerKey, ServerRecord] = attrs.field(factory=dict)

    def apply_notice(
        self, notice: ServerNotice, lease_ms: float, now_ms: float
    ) -> bool | StaleNotice | ConflictingNotice:
        """Applies a notice unless it is older than the record of its server.

        Args:
            notice: State announced by the server.
            lease_ms: Remaining lease time of the notice.
            now_ms: Local monotonic clock.

        Returns:
            Whether the notice changed the record, or why it was ignored.
        """
        record = self.records.get(notice.key)
        if record is None:
            if lease_ms <= 0 and notice.state != "left":
                return StaleNotice(notice.incarnation, notice.state)
            self._store(notice, lease_ms, now_ms)
            return True
        known = record.notice
        if _rank(notice) < _rank(known):
            return StaleNotice(known.incarnation, known.state)
        if _rank(notice) > _rank(known):
            if lease_ms <= 0 and notice.state != "left":
                return StaleNotice(known.incarnation, known.state)
            self._store(notice, lease_ms, now_ms)
            return True
        if (notice.host, notice.port) != (known.host, known.port):
            return ConflictingNotice(known.incarnation)
        if known.state != "left":
            record.lease_end_ms = max(record.lease_end_ms, now_ms + lease_ms)
        return False

    def renew(self, renewal: Renewal, lease_ms: float, now_ms: float) -> bool:
        """Extends the lease of a server.

        Returns:
            Whether the server is recorded with the incarnation of the
            renewal or a later one.
        """
        record = self.records.get(renewal.key)
        if record is None or record.notice.incarnation < renewal.incarnation:
            return False
        is_same = record.notice.incarnation == renewal.incarnation
        if is_same and record.notice.state != "left":
            record.lease_end_ms = max(record.lease_end_ms, now_ms + lease_ms)
        return True

    def expire(self, now_ms: float) -> list[ServerNotice]:
        """Removes servers whose lease expired.

        A deregistered server stays recorded for `DEREGISTERED_RETENTION_MS`,
        so that a delayed announcement cannot register it again.

        Returns:
            The last notices of the removed servers, without those that were
            deregistered before.
        """
        expired_keys = [
            key
            for key, record in self.records.items()
            if record.lease_end_ms <= now_ms
        ]
        expired = [self.records.pop(key).notice for key in expired_keys]
        return [notice for notice in expired if notice.state != "left"]

    def notices_of_service(self, service: str) -> list[ServerNotice]:
        """Returns the notices of a service, except of deregistered servers."""
        return [
            record.notice
            for key, record in self.records.items()
            if key.service == service and record.notice.state != "left"
        ]

    def _store(
        self, notice: ServerNotice, lease_ms: float, now_ms: float
    ) -> None:
        if notice.state == "left":
            lease_ms = DEREGISTERED_RETENTION_MS
        self.records[notice.key] = ServerRecord(notice, now_ms + lease_ms)


def _rank(notice: ServerNotice) -> tuple[int, int]:
    """Returns the sort key of notices: incarnation first, then state."""
    return notice.incarnation, STATE_RANKS[notice.state]
