"""What the callers of a modelled fleet got."""

from __future__ import annotations

import collections
import json

import attrs

from benchmarks.fleet_load.scenario import RequestModel

LATE_SHARE = 0.1
WINDOW_MS = 1000.0
PERCENTILES = (50, 90, 99)
OUTCOMES = ("in time", "late", "refused", "failed", "given up")


@attrs.define
class Result:
    """Counts and latencies of a run.

    Attributes:
        owed: Worth of all requests, by second of arrival.
        earned: Worth of their answers, by second of arrival of the request.
        outcomes: Number of requests by kind and outcome.
        organisations: Number of requests by organisation and outcome.
        latencies_ms: Latencies of answers by kind.
        queries: Load queries.
        connections: New connections to servers.
        arrivals: Requests that arrived at servers.
        arrivals_when_full: Those that found all slots busy.
    """

    owed: collections.Counter = attrs.field(factory=collections.Counter)
    earned: collections.Counter = attrs.field(factory=collections.Counter)
    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    organisations: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    latencies_ms: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    queries: int = 0
    connections: int = 0
    arrivals: int = 0
    arrivals_when_full: int = 0

    def record_request(
        self, started_ms: float, model: RequestModel, organisation: str
    ) -> None:
        """Counts a new request."""
        self.owed[int(started_ms / WINDOW_MS)] += model.worth
        self._count_outcome(model, organisation, "sent")

    def _count_outcome(
        self, model: RequestModel, organisation: str, outcome: str
    ) -> None:
        self.outcomes[model.name, outcome] += 1
        if organisation:
            self.organisations[organisation, outcome] += 1

    def record_answer(
        self,
        started_ms: float,
        model: RequestModel,
        organisation: str,
        latency_ms: float,
    ) -> None:
        """Counts a successful answer."""
        is_late = latency_ms > model.target_ms
        worth = model.worth * (LATE_SHARE if is_late else 1.0)
        self.earned[int(started_ms / WINDOW_MS)] += worth
        outcome = "late" if is_late else "in time"
        self._count_outcome(model, organisation, outcome)
        self.latencies_ms[model.name].append(latency_ms)

    def record_loss(
        self, model: RequestModel, organisation: str, outcome: str
    ) -> None:
        """Counts a request that was refused, failed or given up."""
        self._count_outcome(model, organisation, outcome)

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

    def share_of(self, name: str, outcome: str) -> float:
        """Returns the share of a kind's requests with an outcome."""
        sent = self.outcomes[name, "sent"]
        return self.outcomes[name, outcome] / max(1, sent)

    def worth_of(self, name: str) -> float:
        """Returns the share of a kind's worth that was earned."""
        late = LATE_SHARE * self.share_of(name, "late")
        return self.share_of(name, "in time") + late

    def served_of(self, name: str) -> float:
        """Returns the share of a kind's requests that were answered."""
        return self.share_of(name, "in time") + self.share_of(name, "late")

    def organisation_share(self, name: str, outcome: str) -> float:
        """Returns the share of an organisation's requests with an outcome."""
        sent = self.organisations[name, "sent"]
        return self.organisations[name, outcome] / max(1, sent)

    def kinds_text(self) -> str:
        """Returns a table of the outcomes by kind."""
        rows = []
        for name in sorted({name for name, _ in self.outcomes}):
            columns = "  ".join(
                f"{outcome} {self.share_of(name, outcome):.3f}"
                for outcome in OUTCOMES
            )
            sent = self.outcomes[name, "sent"]
            rows.append(f"  {name:<10} {sent:>6}  {columns}")
        return "\n".join(rows)

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
