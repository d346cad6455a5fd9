"""The servers known to one entry, each under a lease.

Leases run by the local monotonic clock. Only a server's own announcement
starts or extends one; what peers pass on carries the rest of the lease, and
the time a message was under way is taken off (`membership.delay`).
"""

from __future__ import annotations

import attrs

from gentianwall.membership.messages import Renewal, ServerKey, ServerNotice

LEFT_RETENTION_MS = 600_000.0
STATE_RANKS = {"up": 0, "draining": 1, "left": 2}


@attrs.frozen
class StaleNotice:
    """The notice is older than what is known.

    Attributes:
        incarnation: The incarnation that is known.
        state: The state that is known.
    """

    incarnation: int
    state: str


@attrs.frozen
class ConflictingNotice:
    """The notice changes an address without a new incarnation."""

    incarnation: int


@attrs.define
class ServerRecord:
    """A notice and the end of its lease by the local clock."""

    notice: ServerNotice
    lease_end_ms: float


@attrs.define
class Directory:
    """All servers by service and name."""

    records: dict[ServerKey, ServerRecord] = attrs.field(factory=dict)

    def take(
        self, notice: ServerNotice, lease_ms: float, now_ms: float
    ) -> bool | StaleNotice | ConflictingNotice:
        """Takes a notice over if it is not older than what is known.

        Args:
            notice: What the server announced.
            lease_ms: How long it holds from now on.
            now_ms: The local monotonic clock.

        Returns:
            Whether the notice is news, or why it was not taken.
        """
        record = self.records.get(notice.key)
        if record is None:
            if lease_ms <= 0 and notice.state != "left":
                return StaleNotice(notice.incarnation, notice.state)
            self._put(notice, lease_ms, now_ms)
            return True
        known = record.notice
        if _rank(notice) < _rank(known):
            return StaleNotice(known.incarnation, known.state)
        if _rank(notice) > _rank(known):
            if lease_ms <= 0 and notice.state != "left":
                return StaleNotice(known.incarnation, known.state)
            self._put(notice, lease_ms, now_ms)
            return True
        if (notice.host, notice.port) != (known.host, known.port):
            return ConflictingNotice(known.incarnation)
        if known.state != "left":
            record.lease_end_ms = max(record.lease_end_ms, now_ms + lease_ms)
        return False

    def renew(self, renewal: Renewal, lease_ms: float, now_ms: float) -> bool:
        """Extends a lease.

        Returns:
            Whether the server is known in that incarnation, or a later one.
        """
        record = self.records.get(renewal.key)
        if record is None or record.notice.incarnation < renewal.incarnation:
            return False
        is_same = record.notice.incarnation == renewal.incarnation
        if is_same and record.notice.state != "left":
            record.lease_end_ms = max(record.lease_end_ms, now_ms + lease_ms)
        return True

    def expire(self, now_ms: float) -> list[ServerNotice]:
        """Removes servers whose lease ended; returns those still in use.

        A server that left stays known for a while, so that a delayed
        announcement cannot revive it.
        """
        over = [
            key
            for key, record in self.records.items()
            if record.lease_end_ms <= now_ms
        ]
        ended = [self.records.pop(key).notice for key in over]
        return [notice for notice in ended if notice.state != "left"]

    def of_service(self, service: str) -> list[ServerNotice]:
        """Returns the servers of a service that have not left."""
        return [
            record.notice
            for key, record in self.records.items()
            if key.service == service and record.notice.state != "left"
        ]

    def _put(
        self, notice: ServerNotice, lease_ms: float, now_ms: float
    ) -> None:
        if notice.state == "left":
            lease_ms = LEFT_RETENTION_MS
        self.records[notice.key] = ServerRecord(notice, now_ms + lease_ms)


def _rank(notice: ServerNotice) -> tuple[int, int]:
    return notice.incarnation, STATE_RANKS[notice.state]
