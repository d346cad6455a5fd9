"""Metrics of one process, rendered by aioprometheus."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram, Registry, render

LATENCY_BUCKETS_S = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0,
    5.0, 10.0,
]  # fmt: skip


class Metrics:
    """Everything that a process counts."""

    def __init__(self):
        self.registry = Registry()
        registry = self.registry
        self.answers = Counter(
            "gentianwall_answers_total", "Answered calls.", registry=registry
        )
        self.refusals = Counter(
            "gentianwall_refusals_total", "Refused calls.", registry=registry
        )
        self.charges = Counter(
            "gentianwall_charges_total",
            "Charged, by caller and tier.",
            registry=registry,
        )
        self.attempts = Counter(
            "gentianwall_attempts_total",
            "Attempts at servers.",
            registry=registry,
        )
        self.probes = Counter(
            "gentianwall_probes_total",
            "Probes sent to servers.",
            registry=registry,
        )
        self.seconds = Histogram(
            "gentianwall_call_seconds",
            "Time from a call's arrival to its answer.",
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.gauges = Gauge(
            "gentianwall_state", "What the process holds.", registry=registry
        )

    def text(self) -> bytes:
        """Renders all metrics in the Prometheus text format."""
        content, _ = render(self.registry, ["text/plain"])
        return content
