"""Decides which requests an entry that stops still passes on.

Load pattern: a planned stop. Callers send on open connections until the process
ends, bodies that began before the stop are complete late, and new connections
come until the entry counts as unready. A request that is passed on and is not
over when the process ends is cut while a server works on it. If it is refused
instead, another entry can serve it at once.

A request is passed on only if the wait of its caller ends before the process
does. One that may be repeated and arrives in the first half of that time is
also passed on if it is very likely over by then, since callers often wait for
longer than the grace period. A later one would find hardly any room for a
server that becomes slower, and another entry can serve it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianwall.gateway.state import RoutedCall

# Service times vary by a third, and a server that becomes shared takes 1.7
# times as long; the rest is for the network.
LIKELY_FACTOR = 3.0
# Another entry can serve a refused request at once; the caller only needs a new
# connection.
RETRY_AFTER_MS = 50.0


@attrs.define
class Stop:
    """State of a planned stop.

    Attributes:
        late_ms: From when requests are passed on only if their whole wait ends
            in time; infinite while the process does not stop.
        end_ms: When requests without an answer are refused because the process
            ends; infinite while it does not stop.
        refused: Requests refused because they might not be over by then.
    """

    late_ms: float = math.inf
    end_ms: float = math.inf
    refused: int = 0

    def begin(self, at_ms: float, end_ms: float) -> None:
        """Records when the stop began and when it ends."""
        self.late_ms = (at_ms + end_ms) / 2.0
        self.end_ms = end_ms

    def has_time_for(
        self, call: RoutedCall, expected_ms: float, now_ms: float
    ) -> bool:
        """Returns whether a request that is sent now is over by the end.

        Args:
            call: The request.
            expected_ms: Its expected time.
            now_ms: The local clock.
        """
        if call.deadline_ms <= self.end_ms:
            return True
        is_late = call.arrived_ms >= self.late_ms
        if is_late or not call.route.kind.is_idempotent:
            return False
        likely_ms = max(LIKELY_FACTOR * expected_ms, call.route.target_ms)
        return now_ms + likely_ms <= self.end_ms
