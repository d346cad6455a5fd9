"""Metrics of one process, rendered by aioprometheus.

A call only adds to plain numbers; they become collectors when someone asks,
since a labelled collector costs several microseconds each time.
"""

from __future__ import annotations

import bisect

import attrs

LATENCY_BUCKETS_S = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0,
    5.0, 10.0,
]  # fmt: skip
MAX_CHARGED = 10_000
MAX_SERVICES = 1000
OTHER_CALLERS = "(others)"
OTHER_SERVICES = "(others)"
ANSWERS = "gentianwall_answers_total"
REFUSALS = "gentianwall_refusals_total"
ATTEMPTS = "gentianwall_attempts_total"
PROBES = "gentianwall_probes_total"
CHARGES = "gentianwall_charges_total"
SECONDS = "gentianwall_call_seconds_bucket"
STATE = "gentianwall_state"
REQUESTS = "gentianwall_requests_total"
REQUEST_SECONDS = "gentianwall_request_seconds_bucket"


@attrs.define
class ServiceNumbers:
    """What is counted for one service.

    Attributes:
        answers: Answered calls by tier.
        refusals: Refused calls by reason.
        attempts: Attempts at servers.
        probes: Probes sent to servers.
        seconds: Calls by the first bucket that holds their time.
        seconds_sum: Sum of the times.
    """

    answers: dict[str, int] = attrs.field(factory=dict)
    refusals: dict[str, int] = attrs.field(factory=dict)
    attempts: int = 0
    probes: int = 0
    seconds: list[int] = attrs.field(
        factory=lambda: [0] * (len(LATENCY_BUCKETS_S) + 1)
    )
    seconds_sum: float = 0.0


@attrs.frozen
class ChargeKey:
    """Who paid, and for which tier."""

    caller: str
    tier: str


@attrs.frozen
class RequestKey:
    """How a routed request ended.

    Attributes:
        service: The service that it was for; empty where no route was found.
        kind: What may be repeated of it.
        outcome: `answered` or `refused`.
        reason: The status passed on, or why it was refused.
        attempts: How often it was sent.
    """

    service: str
    kind: str
    outcome: str
    reason: str
    attempts: int


class Metrics:
    """Everything that a process counts."""

    def __init__(self):
        self.requests: dict[RequestKey, int] = {}
        self.request_seconds: dict[tuple[str, str], list[float]] = {}
        self.services: dict[str, ServiceNumbers] = {}
        self.charges: dict[ChargeKey, float] = {}
        self.gauges: dict[str, float] = {}

    def service(self, name: str) -> ServiceNumbers:
        """Returns the numbers of a service."""
        numbers = self.services.get(name)
        if numbers is None:
            numbers = self.services[name] = ServiceNumbers()
        return numbers

    def note_answer(
        self, service: str, tier: str, caller: str, price: float, taken_s: float
    ) -> None:
        """Counts an answered call and what it costs its caller."""
        numbers = self.service(service)
        numbers.answers[tier] = numbers.answers.get(tier, 0) + 1
        numbers.seconds[bisect.bisect_left(LATENCY_BUCKETS_S, taken_s)] += 1
        numbers.seconds_sum += taken_s
        if price > 0:
            key = ChargeKey(caller, tier)
            if key not in self.charges and len(self.charges) >= MAX_CHARGED:
                key = ChargeKey(OTHER_CALLERS, tier)
            self.charges[key] = self.charges.get(key, 0.0) + price

    def note_request(self, key: RequestKey, taken_s: float) -> None:
        """Counts a routed request and its time.

        Services, kinds and reasons come from the configuration and from this
        program, so their number is bounded.
        """
        self.requests[key] = self.requests.get(key, 0) + 1
        buckets = self.request_seconds.setdefault(
            (key.service, key.outcome), [0] * (len(LATENCY_BUCKETS_S) + 1)
        )
        buckets[bisect.bisect_left(LATENCY_BUCKETS_S, taken_s)] += 1

    def note_refusal(self, service: str, reason: str) -> None:
        """Counts a refused call; unknown services share one line."""
        if service not in self.services and len(self.services) >= MAX_SERVICES:
            service = OTHER_SERVICES
        refusals = self.service(service).refusals
        refusals[reason] = refusals.get(reason, 0) + 1

    def text(self) -> bytes:
        """Renders all metrics in the Prometheus text format."""
        # Imported once metrics are asked for: it takes 10 MB and 0.1 s.
        from aioprometheus import render

        content, _ = render(self._registry(), ["text/plain"])
        return content

    def _registry(self):
        from aioprometheus import Counter, Gauge, Registry

        registry = Registry()
        answers = Counter(ANSWERS, "Answered calls.", registry=registry)
        refusals = Counter(REFUSALS, "Refused calls.", registry=registry)
        attempts = Counter(ATTEMPTS, "Attempts.", registry=registry)
        probes = Counter(PROBES, "Probes.", registry=registry)
        seconds = Counter(
            SECONDS, "Answered calls by time, cumulative.", registry=registry
        )
        for name, numbers in self.services.items():
            for tier, count in numbers.answers.items():
                answers.set({"service": name, "tier": tier}, count)
            for reason, count in numbers.refusals.items():
                refusals.set({"service": name, "reason": reason}, count)
            attempts.set({"service": name}, numbers.attempts)
            probes.set({"service": name}, numbers.probes)
            _set_cumulative(seconds, {"service": name}, numbers.seconds)
        requests = Counter(
            REQUESTS, "Routed requests by how they ended.", registry=registry
        )
        for key, count in self.requests.items():
            requests.set(attrs.asdict(key), count)
        request_seconds = Counter(
            REQUEST_SECONDS,
            "Routed requests by time to their end, cumulative.",
            registry=registry,
        )
        for (service, outcome), buckets in self.request_seconds.items():
            labels = {"service": service, "outcome": outcome}
            _set_cumulative(request_seconds, labels, buckets)
        charges = Counter(CHARGES, "Charged.", registry=registry)
        for key, price in self.charges.items():
            labels = {"caller": key.caller, "tier": key.tier}
            charges.set(labels, price)
        gauges = Gauge(STATE, "What the process holds.", registry=registry)
        for name, value in self.gauges.items():
            gauges.set({"of": name}, value)
        return registry


def _set_cumulative(counter, labels: dict[str, str], buckets) -> None:
    total = 0
    bounds = [*map(str, LATENCY_BUCKETS_S), "+Inf"]
    for bound, count in zip(bounds, buckets, strict=True):
        total += count
        counter.set({**labels, "le": bound}, total)
