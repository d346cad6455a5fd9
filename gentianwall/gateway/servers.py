"""Estimates the load of each server and the time that a request takes there.

Load pattern: other processes on a server's machine slow it down by a factor of
several for fractions of a second, and several entries send requests to it
without coordination. The estimate therefore starts from the server's own report
and adds the requests that this entry sent since. The weight of the report
decays within the time in which the load changes.
"""

from __future__ import annotations

import math

import attrs

from gentianwall.gateway.cold_servers import (
    FIRST_WAIT_MS,
    ColdDraw,
    ColdPlan,
)
from gentianwall.membership.registry import RegisteredServer
from gentianwall.routing.reports import SpeedReport

# Load and speed change many times per second, so a report loses most of its
# weight within a third of a second.
REPORT_DECAY_MS = 300.0
# Above this share of busy slots, a server slows down by about this factor.
HIGH_UTILIZATION_SHARE = 0.8
HIGH_UTILIZATION_FACTOR = 1.7
# Servers that have just started take about twice as long.
WARMUP_FACTOR = 2.0
# Number of requests that a server queues before it refuses others.
SERVER_QUEUE_LENGTH = 4
# The failure rate decays within the time after which a fault usually ends.
FAILURE_DECAY_MS = 4000.0
FAILURE_WEIGHT = 0.3
FAILURE_FACTOR = 6.0
# First pause after a failed connection or load query; each further one is twice
# as long, up to MAX_PAUSE_MS.
PAUSE_MS = 200.0
MAX_PAUSE_MS = 3200.0
# The health check of a server may be wrong, so an unhealthy server is ranked
# behind others and not excluded.
UNHEALTHY_FACTOR = 2.0
SILENT_FACTOR = 1.5
# With this weight, four answers reveal a server that is slower than it reports.
LAG_WEIGHT = 0.3
# A server counts as slow above this ratio; service times spread by 0.3.
LAG_THRESHOLD = 1.7
MAX_LAG = 8.0
# A slow server is used again after a few seconds.
LAG_DECAY_MS = 3000.0


@attrs.define
class SentRequest:
    """An outstanding request at a server.

    Attributes:
        at_ms: When it was sent.
        expected_ms: Its expected time.
        missing_since_ms: Since when the server's load reports show that the
            server does not have it; None while they do not.
    """

    at_ms: float
    expected_ms: float
    missing_since_ms: float | None = None

    def lag_ratio(self, now_ms: float) -> float:
        """Returns the ratio of the time since sending to the expected time."""
        return (now_ms - self.at_ms) / self.expected_ms


@attrs.define
class RoutedServer:
    """State and load estimate of one server at this entry.

    Attributes:
        record: Its registration, as sent by the control instances.
        warmup_end_ms: When its warm-up ends, as far as is known.
        cold_draw: What decides whether this entry sends to it while it is
            cold; None before it first was.
        cold_due_ms: When this entry may send it the next request while cold.
        cold_share: Share of senders by which that was determined.
        is_presumed_cold: Whether it counts as cold without having said so.
        asked_ms: When it was last asked whether it is.
        warmup_stated_ms: When it last stated to this entry whether it is.
        report: Its last load report; None if it has sent none.
        reported_ms: When that report was received.
        own_requests_at_report: Size of `own_requests` at that time.
        own_requests: Outstanding requests of this entry there, by call id.
        lag_ratio: Moving average of the actual time of answers divided by
            the expected time.
        lag_updated_ms: When `lag_ratio` was last updated.
        failure_rate: Moving average of the share of failures.
        last_failure_ms: When the last failure was recorded.
        consecutive_pauses: Pauses since its last successful answer.
        paused_until_ms: When its pause ends.
        is_unhealthy: Whether its last health check reported it unhealthy.
        checked_ms: When it was last asked about overdue requests.
    """

    record: RegisteredServer
    warmup_end_ms: float
    report: SpeedReport | None = None
    reported_ms: float = float("-inf")
    own_requests_at_report: int = 0
    own_requests: dict[int, SentRequest] = attrs.field(factory=dict)
    lag_ratio: float = 1.0
    lag_updated_ms: float = float("-inf")
    failure_rate: float = 0.0
    last_failure_ms: float = float("-inf")
    consecutive_pauses: int = 0
    paused_until_ms: float = float("-inf")
    is_unhealthy: bool = False
    checked_ms: float = float("-inf")
    cold_draw: ColdDraw | None = None
    cold_due_ms: float = float("-inf")
    cold_share: float = 0.0
    is_presumed_cold: bool = False
    asked_ms: float = float("-inf")
    warmup_stated_ms: float = float("-inf")

    @property
    def name(self) -> str:
        """The name under which the server registered."""
        return self.record.name

    def set_cold(
        self, until_ms: float, draw: ColdDraw, plan: ColdPlan, now_ms: float
    ) -> None:
        """Sets the end of the warm-up.

        Args:
            until_ms: When it ends; the server is warm if that is over.
            draw: What decides whether this entry sends to it.
            plan: How entries share the server.
            now_ms: The local clock.
        """
        if now_ms >= self.warmup_end_ms or self.cold_draw is None:
            self.cold_draw = draw
            self._wait_before_first(plan, now_ms)
        self.warmup_end_ms = until_ms

    def _wait_before_first(self, plan: ColdPlan, now_ms: float) -> None:
        """Spreads the first requests of the entries over time."""
        self.cold_share = plan.sender_share
        self.cold_due_ms = max(
            self.cold_due_ms,
            now_ms + FIRST_WAIT_MS + self.cold_draw.phase * plan.spacing_ms,
        )

    def cold_wait_ms(self, plan: ColdPlan, now_ms: float) -> float:
        """Returns for how long this entry must not send to the cold server.

        When fewer entries share it than before, others become senders all at
        once, and so begin like at first.
        """
        left_ms = self.warmup_end_ms - now_ms
        if self.cold_draw.rank >= plan.sender_share:
            return left_ms
        if self.cold_draw.rank >= self.cold_share:
            self._wait_before_first(plan, now_ms)
        self.cold_share = plan.sender_share
        return min(left_ms, max(0.0, self.cold_due_ms - now_ms))

    def load(self, now_ms: float) -> float:
        """Returns the estimated number of requests at the server."""
        if self.report is None:
            return float(len(self.own_requests))
        in_progress = self.report.running + self.report.waiting
        other_requests = max(0, in_progress - self.own_requests_at_report)
        decay = math.exp(-(now_ms - self.reported_ms) / REPORT_DECAY_MS)
        return other_requests * decay + len(self.own_requests)

    def slowness(self, now_ms: float) -> float:
        """Returns the ratio of its service time to the average."""
        slowness = self._unreported_slowness(now_ms)
        if self.report is not None:
            decay = math.exp(-(now_ms - self.reported_ms) / REPORT_DECAY_MS)
            slowness *= 1.0 + (self.report.slowness - 1.0) * decay
        if now_ms < self.warmup_end_ms:
            slowness *= WARMUP_FACTOR
        return slowness

    def _unreported_slowness(self, now_ms: float) -> float:
        """Returns by how much its answers are slower than its reports explain.

        An overdue request counts before it is answered.
        """
        decay = math.exp(-(now_ms - self.lag_updated_ms) / LAG_DECAY_MS)
        lag = 1.0 + (self.lag_ratio - 1.0) * decay
        for sent in self.own_requests.values():
            lag = max(lag, sent.lag_ratio(now_ms))
        return min(lag, MAX_LAG) if lag > LAG_THRESHOLD else 1.0

    def expected_ms(self, now_ms: float, service_ms: float) -> float:
        """Returns the expected time of a request that is sent now.

        Args:
            now_ms: The local clock.
            service_ms: Service time of the request at an idle, average server.
        """
        slots = self.record.notice.slots
        load = self.load(now_ms)
        loaded_ms = service_ms * self.slowness(now_ms)
        if (min(load, slots) + 1.0) / slots > HIGH_UTILIZATION_SHARE:
            loaded_ms *= HIGH_UTILIZATION_FACTOR
        waiting = max(0.0, load + 1.0 - slots)
        return loaded_ms * (1.0 + waiting / slots)

    def penalty(self, now_ms: float) -> float:
        """Returns a cost factor for its failures and its health."""
        decay = math.exp(-(now_ms - self.last_failure_ms) / FAILURE_DECAY_MS)
        factor = 1.0 + FAILURE_FACTOR * self.failure_rate * decay
        if self.is_unhealthy:
            factor *= UNHEALTHY_FACTOR
        if self.record.notice.state == "silent":
            factor *= SILENT_FACTOR
        return factor

    def is_full(self, now_ms: float) -> bool:
        """Returns whether it would probably refuse a request."""
        return (
            self.load(now_ms) >= self.record.notice.slots + SERVER_QUEUE_LENGTH
        )

    def record_report(self, report: SpeedReport, now_ms: float) -> None:
        """Records a load report that was just received."""
        self.report = report
        self.reported_ms = now_ms
        self.own_requests_at_report = len(self.own_requests)

    def record_success(self, sent: SentRequest | None, now_ms: float) -> None:
        """Records a successful answer, which also ends a pause."""
        if sent is not None:
            ratio = min(MAX_LAG, sent.lag_ratio(now_ms))
            self.lag_ratio += LAG_WEIGHT * (ratio - self.lag_ratio)
            self.lag_updated_ms = now_ms
        self.failure_rate *= 1.0 - FAILURE_WEIGHT
        self.end_pause()

    def end_pause(self) -> None:
        """Ends a pause, since the reason for it may be over."""
        self.consecutive_pauses = 0
        self.paused_until_ms = float("-inf")

    def record_failure(self, now_ms: float) -> None:
        """Records a failure against the server."""
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)
        self.last_failure_ms = now_ms

    def record_refusal(self, now_ms: float) -> None:
        """Records that the server turned a request away.

        A full server does so, and its report accounts for that. One with free
        slots would look better than those that work.
        """
        is_full = (
            self.report is not None and self.report.running >= self.report.slots
        )
        if not is_full:
            self.record_failure(now_ms)

    def pause(self, now_ms: float) -> None:
        """Pauses the server after a failed connection or load query."""
        pause_ms = min(MAX_PAUSE_MS, PAUSE_MS * 2**self.consecutive_pauses)
        self.paused_until_ms = now_ms + pause_ms
        self.consecutive_pauses += 1
