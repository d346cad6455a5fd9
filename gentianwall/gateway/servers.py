"""What an entry knows of each server, and how long a request would take.

Load pattern: neighbours on a server's machine slow it several times for
fractions of a second, and several entries send to it without telling each
other. So a server's own report rules while it is fresh, what this entry sent
since counts on top, and both fade within the time that the load changes.
"""

from __future__ import annotations

import math

import attrs

from gentianwall.membership.registry import RegisteredServer
from gentianwall.routing.reports import SpeedReport

# Load and speed change "many times per second": a report loses most of its
# meaning in a third of a second.
REPORT_DECAY_MS = 300.0
# Above this share of busy slots servers slow down, by about this factor.
HIGH_UTILIZATION_SHARE = 0.8
HIGH_UTILIZATION_FACTOR = 1.7
# Servers that have just started take about twice as long.
WARMUP_FACTOR = 2.0
# Requests that a server lets wait before it turns others away.
SERVER_QUEUE_LENGTH = 4
# An error rate fades within the time in which a fault usually ends.
FAILURE_DECAY_MS = 4000.0
FAILURE_WEIGHT = 0.3
FAILURE_FACTOR = 6.0
# First pause after a lost connection; doubles up to the longest.
PAUSE_MS = 200.0
MAX_PAUSE_MS = 3200.0
# A server that says it is ill may lie, so it is only put behind others.
UNHEALTHY_FACTOR = 2.0
SILENT_FACTOR = 1.5
# Four answers find a server that is slow without telling so.
LAG_WEIGHT = 0.3
# A server counts as slow beyond this; the times of requests spread by 0.3.
LAG_DEADBAND = 1.7
MAX_LAG = 8.0
# A slow server is tried again after a few seconds.
LAG_DECAY_MS = 3000.0


@attrs.frozen
class SentRequest:
    """A request that a server has: when it was sent, and its expected time."""

    at_ms: float
    expected_ms: float


@attrs.define
class RoutedServer:
    """One server as this entry sees it.

    Attributes:
        record: What the control instances hold of it.
        warmup_end_ms: When it is no longer slow from its start.
        report: Its last report, if it tells its load.
        reported_ms: When that report came.
        own_requests_at_report: Requests of this entry that it held then.
        own_requests: This entry's requests there, by call id.
        lag_ratio: Moving ratio of the time of answers to what was expected.
        lag_updated_ms: When the last answer came.
        failure_rate: Moving share of failures.
        last_failure_ms: When it failed last.
        consecutive_pauses: Pauses since its last good answer.
        paused_until_ms: When it is tried again.
        is_unhealthy: Whether its last health check said so.
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

    @property
    def name(self) -> str:
        """The name it chose."""
        return self.record.name

    def load(self, now_ms: float) -> float:
        """Returns how many requests it probably holds."""
        if self.report is None:
            return float(len(self.own_requests))
        in_progress = self.report.running + self.report.waiting
        others = max(0, in_progress - self.own_requests_at_report)
        decay = math.exp(-(now_ms - self.reported_ms) / REPORT_DECAY_MS)
        return others * decay + len(self.own_requests)

    def slowness(self, now_ms: float) -> float:
        """Returns how much longer than usual work takes there."""
        slowness = self._unreported_slowness(now_ms)
        if self.report is not None:
            decay = math.exp(-(now_ms - self.reported_ms) / REPORT_DECAY_MS)
            slowness *= 1.0 + (self.report.slowness - 1.0) * decay
        if now_ms < self.warmup_end_ms:
            slowness *= WARMUP_FACTOR
        return slowness

    def _unreported_slowness(self, now_ms: float) -> float:
        """Returns how much slower it is than it tells, by its answers.

        A request that is overdue counts before it is answered.
        """
        decay = math.exp(-(now_ms - self.lag_updated_ms) / LAG_DECAY_MS)
        lag = 1.0 + (self.lag_ratio - 1.0) * decay
        for sent in self.own_requests.values():
            lag = max(lag, (now_ms - sent.at_ms) / sent.expected_ms)
        return min(lag, MAX_LAG) if lag > LAG_DEADBAND else 1.0

    def expected_ms(self, now_ms: float, service_ms: float) -> float:
        """Returns how long a request sent now probably takes.

        Args:
            now_ms: The local clock.
            service_ms: Time of such a request at an idle, usual server.
        """
        slots = self.record.notice.slots
        load = self.load(now_ms)
        each_ms = service_ms * self.slowness(now_ms)
        if (min(load, slots) + 1.0) / slots > HIGH_UTILIZATION_SHARE:
            each_ms *= HIGH_UTILIZATION_FACTOR
        waiting = max(0.0, load + 1.0 - slots)
        return each_ms * (1.0 + waiting / slots)

    def penalty(self, now_ms: float) -> float:
        """Returns a factor for what speaks against it, besides its load."""
        decay = math.exp(-(now_ms - self.last_failure_ms) / FAILURE_DECAY_MS)
        factor = 1.0 + FAILURE_FACTOR * self.failure_rate * decay
        if self.is_unhealthy:
            factor *= UNHEALTHY_FACTOR
        if self.record.notice.state == "silent":
            factor *= SILENT_FACTOR
        return factor

    def is_full(self, now_ms: float) -> bool:
        """Whether it would probably turn a request away."""
        return (
            self.load(now_ms) >= self.record.notice.slots + SERVER_QUEUE_LENGTH
        )

    def record_report(self, report: SpeedReport, now_ms: float) -> None:
        """Takes a report that has just come."""
        self.report = report
        self.reported_ms = now_ms
        self.own_requests_at_report = len(self.own_requests)

    def record_success(self, sent: SentRequest | None, now_ms: float) -> None:
        """Takes note of a good answer."""
        if sent is not None:
            ratio = min(MAX_LAG, (now_ms - sent.at_ms) / sent.expected_ms)
            self.lag_ratio += LAG_WEIGHT * (ratio - self.lag_ratio)
            self.lag_updated_ms = now_ms
        self.failure_rate *= 1.0 - FAILURE_WEIGHT
        self.consecutive_pauses = 0
        self.paused_until_ms = float("-inf")

    def record_failure(self, now_ms: float) -> None:
        """Takes note of a failure that speaks against it."""
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)
        self.last_failure_ms = now_ms

    def pause(self, now_ms: float) -> None:
        """Keeps requests away for a while after its connection failed."""
        pause_ms = min(MAX_PAUSE_MS, PAUSE_MS * 2**self.consecutive_pauses)
        self.paused_until_ms = now_ms + pause_ms
        self.consecutive_pauses += 1
