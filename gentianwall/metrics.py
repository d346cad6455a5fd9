"""Metrics of one process, rendered by aioprometheus.

A call only adds to plain numbers; they become collectors when someone asks,
since a labelled collector costs several microseconds each time.
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
MAX_CHARGED = 10_000
MAX_SERVICES = 1000
OTHER_CALLERS = "(others)"
OTHER_SERVICES = "(others)"
ANSWERS = "gentianwall_answers_total"
REFUSALS = "gentianwall_refusals_total"
ATTEMPTS = "gentianwall_attempts_total"
PROBES = "gentianwall_probes_total"
CHARGES = "gentianwall_charges_total"
SECONDS = "gentianwall_call_seconds"
REQUESTS = "gentianwall_requests_total"
REQUEST_SECONDS = "gentianwall_request_seconds"
# What is counted, with what it tells; the page of metrics lists the same.
COUNTED = {
    REQUESTS: "Routed requests by how they ended.",
    f"{REQUEST_SECONDS}_bucket": "Routed requests by time, cumulative.",
    f"{REQUEST_SECONDS}_sum": "Time of all routed requests, in seconds.",
    f"{REQUEST_SECONDS}_count": "Routed requests whose time is summed.",
    ANSWERS: "Answered calls by service and tier.",
    REFUSALS: "Refused calls by service and reason.",
    ATTEMPTS: "Attempts of calls at servers.",
    PROBES: "Probes sent to servers that were silent.",
    CHARGES: "Price of the answered calls by caller and tier.",
    f"{SECONDS}_bucket": "Answered calls by time, cumulative.",
    f"{SECONDS}_sum": "Time of all answered calls, in seconds.",
    f"{SECONDS}_count": "Answered calls whose time is summed.",
}
# What a process holds now, or has counted elsewhere (`_total`).
HELD = {
    "is_ready": "Whether callers may be sent to this entry.",
    "feed_age_seconds": "Time since the entry was told of changes last.",
    "configuration_number": "Number of the configuration; -1 for none.",
    "servers_revision": "Count of changes of servers that are known here.",
    "servers": "Servers that may answer.",
    "entries_known": "Entries that share the budget of retries.",
    "requests_in_flight": "Requests that have no end yet.",
    "callers_connections": "Open connections of callers.",
    "log_lines_dropped_total": "Log lines lost since nobody read them.",
    "log_lines_suppressed_total": "Log lines over the rate of their event.",
    "is_leader": "Whether this control instance leads.",
    "is_voter": "Whether it has a vote.",
    "voters": "Control instances that vote, as known here.",
    "term": "Number of the last election.",
    "commit_index": "Entries of the log that are accepted.",
    "journal_bytes": "Size of the journal on disk.",
    "is_disk_refusing": "Whether a write waits for its disk.",
    "entries_heard": "Entries that a leader hears.",
    "link_sent_bytes_total": "Bytes sent to other processes.",
    "link_received_bytes_total": "Bytes received from other processes.",
    "malformed_messages_total": "Messages that could not be read.",
}
CounterMaker = Callable[[str], Any]


@attrs.define
class Times:
    """How long something took.

    Attributes:
        buckets: Counts by the first bucket that holds the time.
        sum_s: Sum of the times.
    """

    buckets: list[int] = attrs.field(
        factory=lambda: [0] * (len(LATENCY_BUCKETS_S) + 1)
    )
    sum_s: float = 0.0

    def note(self, taken_s: float) -> None:
        """Counts one time."""
        self.buckets[bisect.bisect_left(LATENCY_BUCKETS_S, taken_s)] += 1
        self.sum_s += taken_s


@attrs.define
class ServiceNumbers:
    """What is counted for one service.

    Attributes:
        answers: Answered calls by tier.
        refusals: Refused calls by reason.
        attempts: Attempts at servers.
        probes: Probes sent to servers.
        times: Times of answered calls.
    """

    answers: dict[str, int] = attrs.field(factory=dict)
    refusals: dict[str, int] = attrs.field(factory=dict)
    attempts: int = 0
    probes: int = 0
    times: Times = attrs.field(factory=Times)


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
        self.request_times: dict[tuple[str, str, str], Times] = {}
        self.services: dict[str, ServiceNumbers] = {}
        self.charges: dict[ChargeKey, float] = {}
        self.held: dict[str, float] = {}

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
        numbers.times.note(taken_s)
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
        place = (key.service, key.kind, key.outcome)
        times = self.request_times.get(place)
        if times is None:
            times = self.request_times[place] = Times()
        times.note(taken_s)

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

        def counter(name: str):
            return Counter(name, COUNTED[name], registry=registry)

        self._render_services(counter)
        self._render_requests(counter)
        charges = counter(CHARGES)
        for key, price in self.charges.items():
            charges.set({"caller": key.caller, "tier": key.tier}, price)
        for name, value in self.held.items():
            kind = Counter if name.endswith("_total") else Gauge
            held = kind(f"gentianwall_{name}", HELD[name], registry=registry)
            held.set({}, value)
        return registry

    def _render_services(self, counter: CounterMaker) -> None:
        answers, refusals = counter(ANSWERS), counter(REFUSALS)
        attempts, probes = counter(ATTEMPTS), counter(PROBES)
        seconds = _Seconds(counter, SECONDS)
        for name, numbers in self.services.items():
            labels = {"service": name}
            for tier, count in numbers.answers.items():
                answers.set({**labels, "tier": tier}, count)
            for reason, count in numbers.refusals.items():
                refusals.set({**labels, "reason": reason}, count)
            attempts.set(labels, numbers.attempts)
            probes.set(labels, numbers.probes)
            seconds.set(labels, numbers.times)

    def _render_requests(self, counter: CounterMaker) -> None:
        requests = counter(REQUESTS)
        for key, count in self.requests.items():
            requests.set(attrs.asdict(key), count)
        seconds = _Seconds(counter, REQUEST_SECONDS)
        for (service, kind, outcome), times in self.request_times.items():
            labels = {"service": service, "kind": kind, "outcome": outcome}
            seconds.set(labels, times)


class _Seconds:
    """Renders times as a histogram: buckets, their sum and their count."""

    def __init__(self, counter: CounterMaker, name: str):
        self._bucket = counter(f"{name}_bucket")
        self._sum = counter(f"{name}_sum")
        self._count = counter(f"{name}_count")

    def set(self, labels: dict[str, str], times: Times) -> None:
        """Sets the values of one set of labels."""
        total = 0
        bounds = [*map(str, LATENCY_BUCKETS_S), "+Inf"]
        for bound, count in zip(bounds, times.buckets, strict=True):
            total += count
            self._bucket.set({**labels, "le": bound}, total)
        self._sum.set(labels, times.sum_s)
        self._count.set(labels, total)
