"""Limits retries and probes to a small share of the load."""

from __future__ import annotations

import attrs

from gentianwall.membership.messages import ServerKey


@attrs.define
class RetryBudget:
    """Token bucket that limits retries to a share of calls.

    Attributes:
        ratio: Tokens that each call adds.
        capacity: Largest number of tokens.
        tokens: Tokens available; a retry takes one.
    """

    ratio: float
    capacity: float = 10.0
    tokens: float = 10.0

    def record_call(self) -> None:
        """Adds the tokens of one call."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Takes the token for a retry; returns whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@attrs.define
class ProbeBudget:
    """Limits the probes that one entry sends to each server.

    The entry's share depends on the number of entries in the settings, not on
    the number reachable now, so that entries cut off from each other cannot
    exceed the budget together.

    Attributes:
        interval_ms: Shortest time between two probes of one server.
        last_ms: Time of the last probe of each server.
    """

    interval_ms: float
    last_ms: dict[ServerKey, float] = attrs.field(factory=dict)

    def spend(self, server: ServerKey, now_ms: float) -> bool:
        """Records a probe if one is due; returns whether it may be sent."""
        last_ms = self.last_ms.get(server)
        if last_ms is None:
            # A restarted entry does not know of probes sent before its start,
            # so it waits a full interval first.
            self.last_ms[server] = now_ms
            return False
        if now_ms < last_ms + self.interval_ms:
            return False
        self.last_ms[server] = now_ms
        return True


def probe_interval_ms(
    probe_cost_ms: float, budget_ratio: float, entries: int
) -> float:
    """Returns the shortest time between probes of a server by one entry."""
    if budget_ratio <= 0:
        return float("inf")
    return probe_cost_ms * entries / budget_ratio
