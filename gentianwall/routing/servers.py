"""What one entry knows of each server, from its own calls and reports."""

from __future__ import annotations

import math

import attrs

from gentianwall.membership.messages import ServerNotice

LATENCY_WEIGHT = 0.2
REPORT_LIFE_MS = 100.0
BASE_LIFE_MS = 2000.0
TRUST_WEIGHT = 0.1
SLOW_START_MS = 2000.0
SLOW_START_SHARE = 0.25
MAX_QUEUE_PER_SLOT = 2.0
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
        outstanding: Calls of this entry that it holds.
        limit: How many of them it may hold.
        service_ms: Moving average of the time of a call, with the queue it
            met taken out.
        answered_ms: When it last answered.
        foreign_load: Requests of other entries, by its last report.
        reported_ms: When that report came.
        trust: How well its reports explained its answers, from 0 to 1.
        failures: Failures since the last good answer.
        ejections: Ejections since it was last good for long.
        ejected_until_ms: When it is tried again.
    """

    notice: ServerNotice
    since_ms: float
    service_ms: float
    limit: float
    outstanding: int = 0
    answered_ms: float = float("-inf")
    foreign_load: float = 0.0
    reported_ms: float = float("-inf")
    trust: float = 1.0
    failures: int = 0
    ejections: int = 0
    ejected_until_ms: float = float("-inf")

    def expected_load(self, now_ms: float) -> float:
        """Returns requests it is thought to hold, of all entries."""
        age_ms = now_ms - self.reported_ms
        weight = self.trust * math.exp(-age_ms / REPORT_LIFE_MS)
        return self.outstanding + self.foreign_load * weight

    def queue_factor(self, now_ms: float) -> float:
        """Returns how much longer the next call takes than one alone."""
        load = self.expected_load(now_ms) + 1.0
        return max(1.0, load / self.notice.slots)

    def expected_ms(self, now_ms: float, usual_ms: float) -> float:
        """Returns the expected time of the next call.

        Args:
            now_ms: The local clock.
            usual_ms: Time of a call at the service's usual server; a server
                that was not heard for long is taken for a usual one.
        """
        age_ms = now_ms - self.answered_ms
        weight = math.exp(-age_ms / BASE_LIFE_MS)
        base_ms = usual_ms + (self.service_ms - usual_ms) * weight
        return base_ms * self.queue_factor(now_ms)

    def has_room(self, now_ms: float) -> bool:
        """Whether it may get another call of this entry now."""
        limit = self.limit
        age_ms = now_ms - self.since_ms
        if age_ms < SLOW_START_MS:
            share = max(SLOW_START_SHARE, age_ms / SLOW_START_MS)
            limit = max(1.0, limit * share)
        return self.outstanding < int(limit)

    def is_ejected(self, now_ms: float) -> bool:
        """Whether its failures keep it from new calls."""
        return now_ms < self.ejected_until_ms


def note_answer(
    server: Server,
    latency_ms: float,
    factor: float,
    report: LoadReport | None,
    now_ms: float,
) -> None:
    """Learns from a good answer.

    Args:
        server: Who answered.
        latency_ms: From dispatch to the whole answer.
        factor: The queue factor that was expected at dispatch.
        report: The load report in the answer, if any.
        now_ms: The local clock.
    """
    alone_ms = max(MIN_SERVICE_MS, latency_ms / factor)
    was_usual_ms = server.service_ms
    server.service_ms += LATENCY_WEIGHT * (alone_ms - server.service_ms)
    server.answered_ms = now_ms
    server.failures = 0
    _adapt_limit(server, alone_ms, was_usual_ms)
    if report is not None:
        _note_report(server, report, alone_ms, was_usual_ms, now_ms)


def _adapt_limit(server: Server, alone_ms: float, usual_ms: float) -> None:
    """Raises the limit by one a round, or cuts it when calls got slow."""
    most = server.notice.slots * MAX_QUEUE_PER_SLOT
    if alone_ms > 3.0 * usual_ms:
        server.limit = max(1.0, server.limit * 0.9)
    else:
        server.limit = min(most, server.limit + 1.0 / server.limit)


def _note_report(
    server: Server,
    report: LoadReport,
    alone_ms: float,
    usual_ms: float,
    now_ms: float,
) -> None:
    load = report.requests_in_flight
    if load < 0:
        load = report.utilization * server.notice.slots
    foreign = max(0.0, load - server.outstanding)
    # An idle report next to a slow answer contradicts itself.
    seems_idle = load < server.notice.slots
    is_contradicted = seems_idle and alone_ms > 3.0 * usual_ms
    target = 0.0 if is_contradicted else 1.0
    server.trust += TRUST_WEIGHT * (target - server.trust)
    server.foreign_load = foreign
    server.reported_ms = now_ms


def note_shed(server: Server) -> None:
    """Learns that it refused a call for load."""
    server.limit = max(1.0, server.limit * 0.5)
