"""Which requests give way when no server has room.

Load pattern: a burst, or lost servers, bring more requests than there are
slots. If all of them queued at the servers, nearly all answers would come
after their target. So a request queues there only if its answer still comes
in time; else it looks again for a short while and is then told to come back.
A server with a free slot is always used, also by what is late already.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from gentianwall.config.routes import Route
from gentianwall.gateway.ranking import Candidate

if TYPE_CHECKING:
    from gentianwall.gateway.state import RoutedCall

# Some server is done every 10 ms at the rates of the deployments.
RECHECK_MS = 20.0
# A refusal serves its caller only if it comes early in its target.
WAIT_SHARE = 0.15
# Two requests on a server of two slots take about so much longer than one.
SHARED_SERVER_FACTOR = 1.7
# The usual wait moves by this share of itself with each request, so it stays
# at the median of the callers.
WAIT_STEP = 0.01
# Smaller differences from the usual wait are no sign of a return.
MIN_WAITED_SHARE = 0.05


class Verdict(enum.Enum):
    """What becomes of a request for which no idle server was found."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


def admit(
    call: RoutedCall, best: Candidate, service_ms: float, now_ms: float
) -> Verdict:
    """Decides by the best server found.

    Args:
        call: The request.
        best: The best server of those that were asked.
        service_ms: Time of such a request at an idle, usual server.
        now_ms: The local clock.
    """
    server = best.server
    if server.load(now_ms) < server.record.notice.slots:
        return Verdict.SEND
    if now_ms + best.expected_ms <= call.target_at_ms:
        return Verdict.SEND
    recheck_age_ms = now_ms + RECHECK_MS - call.arrived_ms
    is_early = recheck_age_ms <= WAIT_SHARE * call.route.target_ms
    soonest_ms = now_ms + RECHECK_MS + SHARED_SERVER_FACTOR * service_ms
    if is_early and soonest_ms <= call.target_at_ms:
        return Verdict.WAIT
    return Verdict.REFUSE


@attrs.define
class TypicalWaits:
    """How long callers wait; one that returns has less time left.

    Attributes:
        typical_ms: Median wait by route.
    """

    typical_ms: dict[str, float] = attrs.field(factory=dict)

    def waited_ms(self, route: Route, wait_ms: float | None) -> float:
        """Returns how long a caller has probably waited before it came."""
        if wait_ms is None:
            return 0.0
        key = f"{route.host}{route.path_prefix}"
        typical_ms = self.typical_ms.get(key, wait_ms)
        sign = (wait_ms > typical_ms) - (wait_ms < typical_ms)
        self.typical_ms[key] = typical_ms * (1.0 + WAIT_STEP * sign)
        waited_ms = typical_ms - wait_ms
        return waited_ms if waited_ms > MIN_WAITED_SHARE * typical_ms else 0.0
