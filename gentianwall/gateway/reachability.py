"""Decides whether an entry has lost its paths to all servers.

Load pattern: the links between some entries and all servers are cut for
seconds, while callers, control instances and other entries still reach these
entries. Connections hang, are reset, or live on while new ones are refused.
Servers that crash look the same to one request, so a few random servers of all
services are checked on new connections: only if none of them is reached, the
entry counts as partitioned, until one is reached again.
"""

from __future__ import annotations

import random
from collections.abc import Collection

import attrs

# Failures at this many servers within FAILURE_WINDOW_MS start a round of
# checks. A single server may have crashed.
SUSPECT_FAILURES = 2
FAILURE_WINDOW_MS = 1000.0
# With half of the servers down, a round of this many reaches none of them once
# in 16 times; the next round then corrects it.
CHECKS_PER_ROUND = 4
# Time between the starts of two rounds.
ROUND_INTERVAL_MS = 200.0


@attrs.define
class Reachability:
    """What an entry knows of its paths to servers.

    Attributes:
        is_partitioned: Whether no server was reached in the last round.
        failed_ms: When a connection to a server last failed, by its name.
        unanswered: Servers whose check in this round has not ended.
        round_started_ms: When the last round of checks started.
    """

    is_partitioned: bool = False
    failed_ms: dict[str, float] = attrs.field(factory=dict)
    unanswered: set[str] = attrs.field(factory=set)
    round_started_ms: float = float("-inf")

    def record_failure(self, server: str, now_ms: float) -> None:
        """Records that a connection to a server failed, ended or is silent."""
        self.failed_ms[server] = now_ms

    def start_round(
        self,
        servers: Collection[str],
        rng: random.Random,
        now_ms: float,
        is_urgent: bool = False,
    ) -> tuple[str, ...]:
        """Returns the servers to check now; none unless a round is due.

        Servers without a recent failure come first, since they tell the most.

        Args:
            servers: Names of all servers of all services.
            rng: Draws the servers.
            now_ms: The local clock.
            is_urgent: Whether a round is due in any case.
        """
        if self.unanswered or not servers:
            return ()
        is_suspect = self._is_suspect(servers, now_ms)
        if not is_urgent:
            if now_ms < self.round_started_ms + ROUND_INTERVAL_MS:
                return ()
            if not self.is_partitioned and not is_suspect:
                return ()
        self.round_started_ms = now_ms
        drawn = rng.sample(sorted(servers), len(servers))
        drawn.sort(key=lambda server: server in self.failed_ms)
        checked = tuple(drawn[:CHECKS_PER_ROUND])
        self.unanswered = set(checked)
        return checked

    def _is_suspect(self, servers: Collection[str], now_ms: float) -> bool:
        for server, at_ms in list(self.failed_ms.items()):
            if now_ms - at_ms > FAILURE_WINDOW_MS:
                del self.failed_ms[server]
        return len(self.failed_ms) >= min(SUSPECT_FAILURES, len(servers))

    def record_check(self, server: str, is_reached: bool) -> bool:
        """Records the end of a check.

        Returns:
            Whether `is_partitioned` has changed.
        """
        was_partitioned = self.is_partitioned
        if is_reached:
            self.is_partitioned = False
            self.unanswered.clear()
            self.failed_ms.clear()
        elif server in self.unanswered:
            self.unanswered.discard(server)
            self.is_partitioned = self.is_partitioned or not self.unanswered
        return self.is_partitioned != was_partitioned
