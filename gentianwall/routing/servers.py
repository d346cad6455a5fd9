"""What one entry knows of each server, from its own calls and reports."""

from __future__ import annotations

import math

import attrs

from gentianwall.membership.messages import ServerNotice

LATENCY_WEIGHT = 0.3
REPORT_LIFE_MS = 100.0
EVIDENCE_LIFE_MS = 800.0
SLOWNESS_DEADBAND = 2.0
PATIENCE_FACTOR = 1.5
SLOW_START_MS = 2000.0
SLOW_START_SHARE = 0.25
MAX_CALLS_PER_SLOT = 2.0
LIMIT_CUT_SLOWNESS = 3.0
MIN_SERVICE_MS = 0.05


@attrs.frozen
class LoadReport:
    """What a server says of itself in an answer.

    Attributes:
        requests_in_flight: Requests that it holds, this one not counted, or
            a negative number when it says nothing of them.
        utilization: Share of its capacity in use; may exceed 1.
    """

    requests_in_flight: float
    utilization: float


@attrs.define
class Server:
    """One server as this entry sees it.

    Attributes:
        notice: What it announced.
        since_ms: When this entry first heard of it.
        service_ms: Moving average of the time of a call, with the entry's
            own queue there taken out.
        limit: How many calls of this entry it may hold.
        calls: Calls of this entry that it holds: when each was sent, in ms,
            by call id, the oldest first.
        answered_ms: When it last answered.
        foreign_load: Requests of other entries, by its last report.
        reported_ms: When that report came.
        failures: Failures since the last good answer.
        ejections: Ejections since it was last good.
        ejected_until_ms: When it is tried again.
    """

    notice: ServerNotice
    since_ms: float
    service_ms: float
    limit: float
    calls: dict[int, float] = attrs.field(factory=dict)
    answered_ms: float = float("-inf")
    foreign_load: float = 0.0
    reported_ms: float = float("-inf")
    failures: int = 0
    ejections: int = 0
    ejected_until_ms: float = float("-inf")

    @property
    def name(self) -> str:
        """The name it chose."""
        return self.notice.key.server

    @property
    def outstanding(self) -> int:
        """How many calls of this entry it holds."""
        return len(self.calls)

    @property
    def queue_factor(self) -> float:
        """How much longer the next call takes for the entry's own calls."""
        return max(1.0, (len(self.calls) + 1.0) / self.notice.slots)

    def oldest_age_ms(self, now_ms: float) -> float:
        """Returns the age of the oldest call that it holds, or 0."""
        for sent_ms in self.calls.values():
            return now_ms - sent_ms
        return 0.0

    def slowness(self, now_ms: float, usual_ms: float) -> float:
        """Returns how many times slower than usual it seems; at least 1.

        Answers count less as they age, so that a server that was slow is
        tried again. A call that is overdue counts before it is answered.
        Small differences are noise and do not count.
        """
        seen_ms = self.service_ms
        bound_ms = SLOWNESS_DEADBAND * usual_ms
        if seen_ms >= bound_ms:
            age_ms = now_ms - self.answered_ms
            weight = math.exp(-age_ms / EVIDENCE_LIFE_MS)
            seen_ms = usual_ms + (seen_ms - usual_ms) * weight
        if self.calls:
            overdue_ms = self.oldest_age_ms(now_ms) / PATIENCE_FACTOR
            seen_ms = max(seen_ms, overdue_ms)
        return seen_ms / usual_ms if seen_ms >= bound_ms else 1.0

    def is_unremarkable(self, usual_ms: float) -> bool:
        """Whether nothing speaks of slowness or of a crowd there."""
        return (
            self.service_ms < SLOWNESS_DEADBAND * usual_ms
            and self.foreign_load <= self.notice.slots
        )

    def expected_ms(
        self, now_ms: float, usual_ms: float, usual_foreign: float
    ) -> float:
        """Returns the expected time of the next call.

        A report can only make a server less attractive: what it holds for
        others beyond its slots and beyond the usual counts, while an idle
        report, which may be stale or a lie, draws no calls.

        Args:
            now_ms: The local clock.
            usual_ms: Time of a call at the service's usual server.
            usual_foreign: Usual load by other entries.
        """
        load = float(len(self.calls))
        excess = self.foreign_load - max(usual_foreign, self.notice.slots)
        if excess > 0:
            age_ms = now_ms - self.reported_ms
            load += excess * math.exp(-age_ms / REPORT_LIFE_MS)
        crowding = 1.0 + load / self.notice.slots
        return usual_ms * self.slowness(now_ms, usual_ms) * crowding

    def has_room(self, now_ms: float) -> bool:
        """Whether it may get another call of this entry now."""
        if not self.calls:
            return True
        limit = self.limit
        age_ms = now_ms - self.since_ms
        if age_ms < SLOW_START_MS:
            share = max(SLOW_START_SHARE, age_ms / SLOW_START_MS)
            limit = max(1.0, limit * share)
        return len(self.calls) < int(limit)

    def is_ejected(self, now_ms: float) -> bool:
        """Whether its failures keep it from new calls."""
        return now_ms < self.ejected_until_ms


def note_answer(
    server: Server,
    alone_ms: float,
    usual_ms: float,
    report: LoadReport | None,
    now_ms: float,
) -> None:
    """Learns from a good answer.

    Args:
        server: Who answered.
        alone_ms: Time of the call, with the entry's own queue taken out.
        usual_ms: Time of a call at the service's usual server.
        report: The load report in the answer, if any.
        now_ms: The local clock.
    """
    seen_ms = max(MIN_SERVICE_MS, alone_ms)
    server.service_ms += LATENCY_WEIGHT * (seen_ms - server.service_ms)
    server.answered_ms = now_ms
    server.failures = 0
    _adapt_limit(server, seen_ms, usual_ms)
    if report is not None:
        note_report(server, report, now_ms)


def _adapt_limit(server: Server, seen_ms: float, usual_ms: float) -> None:
    """Raises the limit by one a round, or cuts it when calls got slow."""
    most = server.notice.slots * MAX_CALLS_PER_SLOT
    if seen_ms > LIMIT_CUT_SLOWNESS * usual_ms:
        server.limit = max(1.0, server.limit * 0.9)
    else:
        server.limit = min(most, server.limit + 1.0 / server.limit)


def note_report(server: Server, report: LoadReport, now_ms: float) -> None:
    """Takes over what a server says of its load."""
    load = report.requests_in_flight
    if load < 0:
        load = report.utilization * server.notice.slots
    server.foreign_load = max(0.0, load - len(server.calls))
    server.reported_ms = now_ms


def note_shed(server: Server) -> None:
    """Learns that it refused a call for load."""
    server.limit = max(1.0, server.limit * 0.5)
