"""Metrics of one process, rendered by aioprometheus.

Each call or request only increments plain numbers. These are copied into
collectors when the metrics are read, since setting a labelled collector takes
several microseconds.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable
from typing import Any

import attrs

LATENCY_BUCKETS_S = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0,
    5.0, 10.0,
]  # fmt: skip
MAX_CHARGE_KEYS = 10_000
MAX_SERVICES = 1000
OTHER_CALLERS = "(others)"
OTHER_SERVICES = "(others)"
ANSWERS = "gentianwall_answers_total"
REFUSALS = "gentianwall_refusals_total"
ATTEMPTS = "gentianwall_attempts_total"
PROBES = "gentianwall_probes_total"
CHARGES = "gentianwall_charges_total"
CLIENTS_REFUSED = "gentianwall_clients_refused_total"
CALL_SECONDS = "gentianwall_call_seconds"
REQUESTS = "gentianwall_requests_total"
REQUEST_SECONDS = "gentianwall_request_seconds"
# Labelled metrics of requests and calls, with their help texts. The same names
# are listed in docs/operators/metrics.md.
REQUEST_METRICS = {
    REQUESTS: "Routed requests by outcome.",
    f"{REQUEST_SECONDS}_bucket": "Routed requests by duration, cumulative.",
    f"{REQUEST_SECONDS}_sum": "Summed duration of routed requests in s.",
    f"{REQUEST_SECONDS}_count": "Routed requests whose duration is summed.",
    CLIENTS_REFUSED: "Clients refused or closed for their behaviour.",
    ANSWERS: "Answered calls by service and tier.",
    REFUSALS: "Refused calls by service and reason.",
    ATTEMPTS: "Attempts to send calls to servers.",
    PROBES: "Probes sent to silent servers.",
    CHARGES: "Total price of answered calls by caller and tier.",
    f"{CALL_SECONDS}_bucket": "Answered calls by duration, cumulative.",
    f"{CALL_SECONDS}_sum": "Summed duration of answered calls in s.",
    f"{CALL_SECONDS}_count": "Answered calls whose duration is summed.",
}
# Metrics of the process without labels, with their help texts: gauges, and
# counters (`_total`) that other modules keep.
PROCESS_METRICS = {
    "is_ready": "Whether this entry is ready for callers.",
    "feed_age_seconds": "Time since the last update from control.",
    "configuration_number": "Number of the configuration; -1 for none.",
    "organisations": "Organisations of the configuration.",
    "servers_revision": "Number of server changes known to this process.",
    "servers": "Servers that may receive requests.",
    "entries_known": "Entries that share the budget of retries.",
    "requests_in_flight": "Requests that have not ended yet.",
    "callers_connections": "Open connections of callers.",
    "client_held_bytes": "Bytes that clients make this process hold.",
    "client_limit_bytes": "Most bytes that clients make this process hold.",
    "client_connections": "Open connections of clients at all ports.",
    "client_limit_connections": "Most open connections of clients.",
    "client_running_requests": "Requests of clients that run at servers.",
    "clients_waiting": "Connections that wait for memory before reading.",
    "log_lines_dropped_total": "Log lines dropped as the reader was slow.",
    "log_lines_suppressed_total": "Log lines over the rate of their event.",
    "rate_limited_servers": "Servers that name a rate limit.",
    "cold_servers": "Servers that warm up and get limited requests.",
    "evacuated_domains": "Evacuated failure domains.",
    "evacuations_total": "Changes of evacuations known to this process.",
    "quota_waits_total": "Requests that waited for a token of their quota.",
    "quota_refusals_total": "Requests refused because of a quota (429).",
    "quota_tokens": "Unspent tokens of all quotas at this entry.",
    "has_limit_lease": "Whether the leader has confirmed this entry's tokens.",
    "is_partitioned": "Whether this entry reaches no server.",
    "peers_known": "Entries that relay requests if this one is partitioned.",
    "overload_level": "Highest share of the work of a service that is shed.",
    "shed_late_total": "Requests shed as they would have been late.",
    "shed_excess_total": "Requests shed as their organisation sent too many.",
    "shed_retry_total": "Requests shed as their callers had tried before.",
    "shed_order_total": "Requests shed by priority and work.",
    "is_leader": "Whether this control instance is the leader.",
    "is_voter": "Whether this control instance is a voter.",
    "voters": "Voting control instances known to this process.",
    "term": "Current term; each election increases it.",
    "commit_index": "Index of the last committed log entry.",
    "journal_bytes": "Size of the journal on disk, in bytes.",
    "is_disk_refusing": "Whether journal records wait for the disk.",
    "entries_heard": "Entries that polled this leader recently.",
    "entries_withheld": "Entries whose build cannot take the configuration.",
    "link_sent_bytes_total": "Bytes sent to other processes.",
    "link_received_bytes_total": "Bytes received from other processes.",
    "malformed_messages_total": "Messages that could not be decoded.",
}
CounterFactory = Callable[[str], Any]


@attrs.define
class LatencyHistogram:
    """Counts durations by bucket.

    Attributes:
        buckets: Counts by bucket; a duration counts in the lowest bucket whose
            bound it does not exceed.
        sum_s: Sum of the durations.
    """

    buckets: list[int] = attrs.field(
        factory=lambda: [0] * (len(LATENCY_BUCKETS_S) + 1)
    )
    sum_s: float = 0.0

    def record(self, duration_s: float) -> None:
        """Counts one duration."""
        self.buckets[bisect.bisect_left(LATENCY_BUCKETS_S, duration_s)] += 1
        self.sum_s += duration_s


@attrs.define
class ServiceMetrics:
    """Counters of one service.

    Attributes:
        answers: Answered calls by tier.
        refusals: Refused calls by reason.
        attempts: Attempts to send calls to servers.
        probes: Probes sent to servers.
        histogram: Durations of answered calls.
    """

    answers: dict[str, int] = attrs.field(factory=dict)
    refusals: dict[str, int] = attrs.field(factory=dict)
    attempts: int = 0
    probes: int = 0
    histogram: LatencyHistogram = attrs.field(factory=LatencyHistogram)


@attrs.frozen
class ChargeKey:
    """Labels of a charge."""

    caller: str
    tier: str


@attrs.frozen
class RequestKey:
    """Labels of a routed request that ended.

    Attributes:
        service: The service of the request; empty if no route was found.
        kind: Kind of its route, which decides whether it may be retried.
        outcome: `answered` or `refused`.
        reason: The status that was forwarded, or the reason of the refusal.
        attempts: Number of attempts.
    """

    service: str
    kind: str
    outcome: str
    reason: str
    attempts: int


class Metrics:
    """Metrics of one process."""

    def __init__(self):
        self.requests: dict[RequestKey, int] = {}
        self.request_histograms: dict[
            tuple[str, str, str], LatencyHistogram
        ] = {}
        self.services: dict[str, ServiceMetrics] = {}
        self.charges: dict[ChargeKey, float] = {}
        self.misuses: dict[tuple[str, str], int] = {}
        self.process_values: dict[str, float] = {}

    def service(self, name: str) -> ServiceMetrics:
        """Returns the metrics of a service; creates them on first use."""
        metrics = self.services.get(name)
        if metrics is None:
            metrics = self.services[name] = ServiceMetrics()
        return metrics

    def record_answer(
        self,
        service: str,
        tier: str,
        caller: str,
        price: float,
        duration_s: float,
    ) -> None:
        """Counts an answered call and charges its price to the caller."""
        metrics = self.service(service)
        metrics.answers[tier] = metrics.answers.get(tier, 0) + 1
        metrics.histogram.record(duration_s)
        if price > 0:
            key = ChargeKey(caller, tier)
            if key not in self.charges and len(self.charges) >= MAX_CHARGE_KEYS:
                key = ChargeKey(OTHER_CALLERS, tier)
            self.charges[key] = self.charges.get(key, 0.0) + price

    def record_request(self, key: RequestKey, duration_s: float) -> None:
        """Counts a routed request and its duration.

        The number of label sets is bounded, since services, kinds and reasons
        come from the configuration and from this program.
        """
        self.requests[key] = self.requests.get(key, 0) + 1
        histogram_key = (key.service, key.kind, key.outcome)
        histogram = self.request_histograms.get(histogram_key)
        if histogram is None:
            histogram = self.request_histograms[histogram_key] = (
                LatencyHistogram()
            )
        histogram.record(duration_s)

    def record_refusal(self, service: str, reason: str) -> None:
        """Counts a refused call.

        Above `MAX_SERVICES` services, further ones share one label value.
        """
        if service not in self.services and len(self.services) >= MAX_SERVICES:
            service = OTHER_SERVICES
        refusals = self.service(service).refusals
        refusals[reason] = refusals.get(reason, 0) + 1

    def record_misuse(self, port: str, reason: str) -> None:
        """Counts a client that was refused or closed for its behaviour."""
        key = (port, reason)
        self.misuses[key] = self.misuses.get(key, 0) + 1

    def text(self) -> bytes:
        """Renders all metrics in the Prometheus text format."""
        # Imported on first use, since the import takes 10 MB and 0.1 s.
        from aioprometheus import render

        content, _ = render(self._registry(), ["text/plain"])
        return content

    def _registry(self):
        from aioprometheus import Counter, Gauge, Registry

        registry = Registry()

        def counter(name: str):
            return Counter(name, REQUEST_METRICS[name], registry=registry)

        self._collect_services(counter)
        self._collect_requests(counter)
        charges = counter(CHARGES)
        for key, price in self.charges.items():
            charges.set({"caller": key.caller, "tier": key.tier}, price)
        refused = counter(CLIENTS_REFUSED)
        for (port, reason), count in self.misuses.items():
            refused.set({"port": port, "reason": reason}, count)
        for name, value in self.process_values.items():
            collector_class = Counter if name.endswith("_total") else Gauge
            collector = collector_class(
                f"gentianwall_{name}", PROCESS_METRICS[name], registry=registry
            )
            collector.set({}, value)
        return registry

    def _collect_services(self, counter: CounterFactory) -> None:
        answers, refusals = counter(ANSWERS), counter(REFUSALS)
        attempts, probes = counter(ATTEMPTS), counter(PROBES)
        seconds = _HistogramCounters(counter, CALL_SECONDS)
        for name, metrics in self.services.items():
            labels = {"service": name}
            for tier, count in metrics.answers.items():
                answers.set({**labels, "tier": tier}, count)
            for reason, count in metrics.refusals.items():
                refusals.set({**labels, "reason": reason}, count)
            attempts.set(labels, metrics.attempts)
            probes.set(labels, metrics.probes)
            seconds.set(labels, metrics.histogram)

    def _collect_requests(self, counter: CounterFactory) -> None:
        requests = counter(REQUESTS)
        for key, count in self.requests.items():
            requests.set(attrs.asdict(key), count)
        seconds = _HistogramCounters(counter, REQUEST_SECONDS)
        for (
            service,
            kind,
            outcome,
        ), histogram in self.request_histograms.items():
            labels = {"service": service, "kind": kind, "outcome": outcome}
            seconds.set(labels, histogram)


class _HistogramCounters:
    """Sets the counters of a histogram: buckets, sum and count."""

    def __init__(self, counter: CounterFactory, name: str):
        self._bucket = counter(f"{name}_bucket")
        self._sum = counter(f"{name}_sum")
        self._count = counter(f"{name}_count")

    def set(self, labels: dict[str, str], histogram: LatencyHistogram) -> None:
        """Sets the counters for one set of labels."""
        cumulative = 0
        bounds = [*map(str, LATENCY_BUCKETS_S), "+Inf"]
        for bound, count in zip(bounds, histogram.buckets, strict=True):
            cumulative += count
            self._bucket.set({**labels, "le": bound}, cumulative)
        self._sum.set(labels, histogram.sum_s)
        self._count.set(labels, cumulative)
