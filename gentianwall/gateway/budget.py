"""Retries as a share of calls, without agreement between entries.

Each entry keeps to the ratio of its own calls and to its part of the slack,
so the sum over all entries keeps to the whole.
"""

from __future__ import annotations

from collections import deque

import attrs

BUCKETS = 20
# Entries that start anew forget what they spent; the rest is for them.
SLACK_SHARE = 0.5
RATIO_SHARE = 0.85


@attrs.frozen
class RetryLimits:
    """Limits over all entries.

    Attributes:
        ratio: Retries per call.
        slack: Retries on top of it, in a window.
        window_ms: The window.
    """

    ratio: float
    slack: float
    window_ms: float


@attrs.define
class RetryWindow:
    """Calls and retries of one service at one entry.

    Attributes:
        limits: Limits over all entries.
        entries: How many entries share the slack; 0 while that is not known,
            which leaves none of it.
    """

    limits: RetryLimits
    entries: int = 0
    _buckets: deque[list] = attrs.field(factory=deque)

    def record_call(self, now_ms: float) -> None:
        """Counts a call."""
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

    def _bucket(self, now_ms: float) -> list:
        width_ms = self.limits.window_ms / BUCKETS
        number = int(now_ms / width_ms)
        while self._buckets and self._buckets[0][0] < number - BUCKETS:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
        return self._buckets[-1]
