"""Token buckets for what must stay a small share: retries and probes."""

from __future__ import annotations

import attrs

from gentianwall.membership.messages import ServerKey


@attrs.define
class RetryBudget:
    """Retries as a share of calls.

    Attributes:
        ratio: Retries earned by each call.
        capacity: Retries that can be saved up.
        tokens: Retries in hand.
    """

    ratio: float
    capacity: float = 10.0
    tokens: float = 10.0

    def earn(self) -> None:
        """Counts a call."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Takes a retry if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@attrs.define
class ProbeBudget:
    """One entry's share of the probes that a server may be charged.

    The share is fixed by the number of entries in the settings, not by those
    reachable now, so that cut-off entries cannot together exceed the budget.

    Attributes:
        interval_ms: Least time between two probes of one server.
        last_ms: When each server was last probed.
    """

    interval_ms: float
    last_ms: dict[ServerKey, float] = attrs.field(factory=dict)

    def spend(self, server: ServerKey, now_ms: float) -> bool:
        """Takes a probe of a server if its time has come."""
        last_ms = self.last_ms.get(server)
        if last_ms is None:
            # A fresh entry knows nothing of probes before it started.
            self.last_ms[server] = now_ms
            return False
        if now_ms < last_ms + self.interval_ms:
            return False
        self.last_ms[server] = now_ms
        return True


def probe_interval_ms(
    probe_cost_ms: float, budget_ratio: float, entries: int
) -> float:
    """Returns the least time between probes of a server by one entry."""
    if budget_ratio <= 0:
        return float("inf")
    return probe_cost_ms * entries / budget_ratio
