"""Limits retries to a share of requests, without coordination between entries.

Each entry applies the ratio to its own requests and uses only its part of the
slack, so the sum over all entries stays within the limits.
"""

from __future__ import annotations

from collections import deque

import attrs

BUCKETS = 20
# Entries use only these shares of the limits. The rest allows for restarted
# entries, which do not know how many retries they made before.
SLACK_SHARE = 0.5
RATIO_SHARE = 0.85


@attrs.frozen
class RetryLimits:
    """Limits on retries over all entries together.

    Attributes:
        ratio: Retries allowed per request.
        slack: Further retries allowed in each window.
        window_ms: Length of the window.
    """

    ratio: float
    slack: float
    window_ms: float


@attrs.define
class RetryWindow:
    """Counts requests and retries of one service at one entry in a window.

    Each bucket is a list of its number, its requests and its retries.

    Attributes:
        limits: Limits over all entries together.
        entries: Number of entries that share the slack; 0 while unknown,
            which allows no slack.
    """

    limits: RetryLimits
    entries: int = 0
    _buckets: deque[list] = attrs.field(factory=deque)

    def record_call(self, now_ms: float) -> None:
        """Counts a request."""
        self._bucket(now_ms)[1] += 1

    def spend(self, now_ms: float) -> bool:
        """Counts a retry if it is allowed; returns whether it is."""
        bucket = self._bucket(now_ms)
        calls = sum(b[1] for b in self._buckets)
        retries = sum(b[2] for b in self._buckets)
        allowed = RATIO_SHARE * self.limits.ratio * calls
        if self.entries:
            allowed += SLACK_SHARE * self.limits.slack / self.entries
        if retries + 1 > allowed:
            return False
        bucket[2] += 1
        return True

    def refund(self, counted_ms: float) -> None:
        """Takes back a retry that was counted at a time and not made."""
        number = self._number(counted_ms)
        for bucket in self._buckets:
            if bucket[0] == number:
                bucket[2] -= 1

    def _number(self, at_ms: float) -> int:
        return int(at_ms / (self.limits.window_ms / BUCKETS))

    def _bucket(self, now_ms: float) -> list:
        number = self._number(now_ms)
        while self._buckets and self._buckets[0][0] < number - BUCKETS:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
        return self._buckets[-1]
