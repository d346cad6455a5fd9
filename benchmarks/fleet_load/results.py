"""What the callers of a modelled fleet got."""

from __future__ import annotations

import collections
import json

import attrs

from benchmarks.fleet_load.scenario import RequestModel

LATE_SHARE = 0.1
WINDOW_MS = 1000.0
PERCENTILES = (50, 90, 99)


@attrs.define
class Result:
    """Counts and latencies of a run.

    Attributes:
        owed: Worth of all requests, by second of arrival.
        earned: Worth of their answers, by second of arrival of the request.
        outcomes: Number of requests by kind and outcome.
        latencies_ms: Latencies of answers by kind.
        queries: Load queries.
        connections: New connections to servers.
        arrivals: Requests that arrived at servers.
        arrivals_when_full: Those that found all slots busy.
    """

    owed: collections.Counter = attrs.field(factory=collections.Counter)
    earned: collections.Counter = attrs.field(factory=collections.Counter)
    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    latencies_ms: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    queries: int = 0
    connections: int = 0
    arrivals: int = 0
    arrivals_when_full: int = 0

    def record_request(self, started_ms: float, model: RequestModel) -> None:
        """Counts a new request."""
        self.owed[int(started_ms / WINDOW_MS)] += model.worth
        self.outcomes[model.name, "sent"] += 1

    def record_answer(
        self, started_ms: float, model: RequestModel, latency_ms: float
    ) -> None:
        """Counts a successful answer."""
        is_late = latency_ms > model.target_ms
        worth = model.worth * (LATE_SHARE if is_late else 1.0)
        self.earned[int(started_ms / WINDOW_MS)] += worth
        self.outcomes[model.name, "late" if is_late else "in time"] += 1
        self.latencies_ms[model.name].append(latency_ms)

    def record_loss(
        self, started_ms: float, model: RequestModel, is_executed: bool
    ) -> None:
        """Counts a request that was refused or failed in the end."""
        outcome = "failed" if is_executed else "refused"
        self.outcomes[model.name, outcome] += 1

    @property
    def requests(self) -> int:
        """Number of requests."""
        return self._count("sent")

    @property
    def worth(self) -> float:
        """Share of the owed worth that was earned."""
        return sum(self.earned.values()) / max(1e-9, sum(self.owed.values()))

    @property
    def worst_windows(self) -> float:
        """Mean share earned in the two worst seconds."""
        shares = sorted(self.earned[s] / self.owed[s] for s in self.owed)
        return sum(shares[:2]) / max(1, len(shares[:2]))

    def share(self, outcome: str) -> float:
        """Returns the share of requests with an outcome."""
        return self._count(outcome) / max(1, self.requests)

    def _count(self, outcome: str) -> int:
        return sum(n for (_, key), n in self.outcomes.items() if key == outcome)

    def summary(self) -> dict[str, float]:
        """Returns the main figures."""
        latencies = sorted(
            latency
            for values in self.latencies_ms.values()
            for latency in values
        )
        requests = max(1, self.requests)
        figures = {
            "worth": self.worth,
            "worst windows": self.worst_windows,
            "late": self.share("late"),
            "refused": self.share("refused"),
            "failed": self.share("failed"),
            "queries a request": self.queries / requests,
            "new connections a request": self.connections / requests,
            "sent to full slots": self.arrivals_when_full
            / max(1, self.arrivals),
        }
        for percent in PERCENTILES:
            position = len(latencies) * percent // 100
            value = latencies[position] if latencies else float("nan")
            figures[f"p{percent} ms"] = value
        return figures

    def to_json(self) -> str:
        """Returns the figures and the share earned in each second."""
        seconds = {
            second: round(self.earned[second] / owed, 3)
            for second, owed in sorted(self.owed.items())
        }
        return json.dumps({**self.summary(), "by second": seconds})
