"""State of each server as one entry knows it from its calls and reports."""

from __future__ import annotations

import math

import attrs

from gentianwall.membership.messages import ServerNotice

SERVICE_TIME_WEIGHT = 0.3
REPORT_DECAY_MS = 100.0
SLOWNESS_DECAY_MS = 800.0
SLOWNESS_DEADBAND = 2.0
OUTSTANDING_AGE_DIVISOR = 1.5
SLOW_START_MS = 2000.0
SLOW_START_SHARE = 0.25
MAX_CALLS_PER_SLOT = 2.0
LIMIT_CUT_SLOWNESS = 3.0
MIN_SERVICE_MS = 0.05


@attrs.frozen
class LoadReport:
    """Load report of a server in an answer.

    Attributes:
        requests_in_flight: Requests at the server without the one answered;
            negative if the server does not report them.
        utilization: Used share of the server's capacity; may exceed 1.
    """

    requests_in_flight: float
    utilization: float


@attrs.define
class Server:
    """State of a server as this entry knows it.

    Attributes:
        notice: Latest notice of the server.
        first_seen_ms: When this entry first learned of the server.
        service_ms: Moving average of the service time, without the time spent
            queued behind other calls of this entry.
        limit: Maximum number of outstanding calls of this entry.
        calls: Time at which each outstanding call of this entry was sent, in
            ms, by call id, the oldest first.
        last_answer_ms: When the server last answered.
        foreign_load: Requests of other entries, from the last load report.
        reported_ms: When the last load report was received.
        failures: Failures since the last successful answer.
        ejections: Ejections since the last successful answer.
        ejected_until_ms: When the current or last ejection ends.
    """

    notice: ServerNotice
    first_seen_ms: float
    service_ms: float
    limit: float
    calls: dict[int, float] = attrs.field(factory=dict)
    last_answer_ms: float = float("-inf")
    foreign_load: float = 0.0
    reported_ms: float = float("-inf")
    failures: int = 0
    ejections: int = 0
    ejected_until_ms: float = float("-inf")

    @property
    def name(self) -> str:
        """Name that the server chose."""
        return self.notice.key.server

    @property
    def outstanding(self) -> int:
        """Number of outstanding calls of this entry."""
        return len(self.calls)

    @property
    def queue_factor(self) -> float:
        """Factor by which this entry's calls lengthen the next call."""
        return max(1.0, (len(self.calls) + 1.0) / self.notice.slots)

    def oldest_call_age_ms(self, now_ms: float) -> float:
        """Returns the age of the oldest outstanding call, or 0 without one."""
        for sent_ms in self.calls.values():
            return now_ms - sent_ms
        return 0.0

    def slowness(self, now_ms: float, average_service_ms: float) -> float:
        """Estimates the service time as a multiple of the average; at least 1.

        The weight of answers decays with age, so that a server that was slow
        is tried again. An overdue call counts before it is answered.
        Differences below `SLOWNESS_DEADBAND` are noise and are ignored.
        """
        estimate_ms = self.service_ms
        threshold_ms = SLOWNESS_DEADBAND * average_service_ms
        if estimate_ms >= threshold_ms:
            age_ms = now_ms - self.last_answer_ms
            weight = math.exp(-age_ms / SLOWNESS_DECAY_MS)
            estimate_ms = (
                average_service_ms + (estimate_ms - average_service_ms) * weight
            )
        if self.calls:
            overdue_ms = (
                self.oldest_call_age_ms(now_ms) / OUTSTANDING_AGE_DIVISOR
            )
            estimate_ms = max(estimate_ms, overdue_ms)
        return (
            estimate_ms / average_service_ms
            if estimate_ms >= threshold_ms
            else 1.0
        )

    def has_normal_speed_and_load(self, average_service_ms: float) -> bool:
        """Returns whether the server is neither slow nor overloaded."""
        return (
            self.service_ms < SLOWNESS_DEADBAND * average_service_ms
            and self.foreign_load <= self.notice.slots
        )

    def expected_ms(
        self,
        now_ms: float,
        average_service_ms: float,
        average_foreign_load: float,
    ) -> float:
        """Returns the expected time of the next call.

        A load report can only make a server less attractive. The load by
        other entries counts as far as it exceeds both the slots and the
        average. A report of low load, which may be outdated or false, does
        not attract calls.

        Args:
            now_ms: Local clock.
            average_service_ms: Average service time over the service's servers.
            average_foreign_load: Average load of a server by other entries.
        """
        load = float(len(self.calls))
        excess = self.foreign_load - max(
            average_foreign_load, self.notice.slots
        )
        if excess > 0:
            age_ms = now_ms - self.reported_ms
            load += excess * math.exp(-age_ms / REPORT_DECAY_MS)
        load_factor = 1.0 + load / self.notice.slots
        return (
            average_service_ms
            * self.slowness(now_ms, average_service_ms)
            * load_factor
        )

    def has_room(self, now_ms: float) -> bool:
        """Returns whether the server has room for a call of this entry."""
        if not self.calls:
            return True
        limit = self.limit
        age_ms = now_ms - self.first_seen_ms
        if age_ms < SLOW_START_MS:
            share = max(SLOW_START_SHARE, age_ms / SLOW_START_MS)
            limit = max(1.0, limit * share)
        return len(self.calls) < int(limit)

    def is_ejected(self, now_ms: float) -> bool:
        """Returns whether the server is ejected because of failures."""
        return now_ms < self.ejected_until_ms


def record_server_answer(
    server: Server,
    measured_ms: float,
    average_service_ms: float,
    report: LoadReport | None,
    now_ms: float,
) -> None:
    """Updates the state of a server after a successful answer.

    Args:
        server: Server that answered.
        measured_ms: Time of the call, without the time spent queued behind
            other calls of this entry.
        average_service_ms: Average service time over the service's servers.
        report: Load report in the answer, if any.
        now_ms: Local clock.
    """
    sample_ms = max(MIN_SERVICE_MS, measured_ms)
    server.service_ms += SERVICE_TIME_WEIGHT * (sample_ms - server.service_ms)
    server.last_answer_ms = now_ms
    server.failures = 0
    _adapt_limit(server, sample_ms, average_service_ms)
    if report is not None:
        record_report(server, report, now_ms)


def _adapt_limit(
    server: Server, sample_ms: float, average_service_ms: float
) -> None:
    """Raises the limit by one per round, or cuts it by 10% on a slow answer.

    A round is as many answers as the limit allows calls.
    """
    max_limit = server.notice.slots * MAX_CALLS_PER_SLOT
    if sample_ms > LIMIT_CUT_SLOWNESS * average_service_ms:
        server.limit = max(1.0, server.limit * 0.9)
    else:
        server.limit = min(max_limit, server.limit + 1.0 / server.limit)


def record_report(server: Server, report: LoadReport, now_ms: float) -> None:
    """Updates the load by other entries from a load report."""
    load = report.requests_in_flight
    if load < 0:
        load = report.utilization * server.notice.slots
    server.foreign_load = max(0.0, load - len(server.calls))
    server.reported_ms = now_ms


def record_overload(server: Server) -> None:
    """Halves the limit of a server that refused a call because of overload."""
    server.limit = max(1.0, server.limit * 0.5)
