"""Decides which requests are refused when no server has a free slot.

Load pattern: a burst, or the loss of servers, brings more requests than there
are slots. If all of them queued at the servers, nearly all answers would come
after their target time. Therefore a request queues at a server only if its
answer is still expected within the target. Otherwise it is rechecked for a
short while and then refused with a retry-after time. A server with a free slot
is used even for a request that will miss its target.

Once nearly all servers are full, each slot that becomes free is wanted by
several requests. Then no request queues at a server, where it would only delay
others, and free slots are left to requests that can still be in time.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from gentianwall.config.routes import Route
from gentianwall.gateway.placement import Candidate

if TYPE_CHECKING:
    from gentianwall.gateway.state import RoutedCall

# At the request rates of the deployments, some server finishes a request every
# 10 ms, so a slot has probably become free by the recheck.
RECHECK_MS = 20.0
# Requests wait for at most this share of their target time, because a refusal
# is useful to the caller only if it comes early.
WAIT_SHARE = 0.15
# Two requests on a server with two slots each take about this many times as
# long as one alone.
SHARED_SERVER_FACTOR = 1.7
# The estimated load is not a whole number, since reports lose weight with age.
# Without this margin, a server that has just reported that it is full would
# count as free a moment later.
FREE_SLOT_MARGIN = 0.5
# Above this share of full servers, several requests wait for each free slot.
SATURATED_SHARE = 0.8
# Each request moves the typical wait up or down by this share, which keeps it
# at the median of the callers' waits.
WAIT_STEP = 0.01
# Smaller differences from the typical wait do not indicate that a caller
# retries.
MIN_WAITED_SHARE = 0.05


class Verdict(enum.Enum):
    """Decision on a request for which no idle server was found."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


def admit(
    call: RoutedCall,
    best: Candidate,
    service_ms: float,
    full_share: float,
    now_ms: float,
) -> Verdict:
    """Decides whether a request is sent, rechecked later or refused.

    Args:
        call: The request.
        best: The best candidate.
        service_ms: Service time of the request at an idle, average server.
        full_share: Share of the servers that were full when last queried.
        now_ms: The local clock.
    """
    server = best.server
    has_free_slot = (
        server.load(now_ms) <= server.record.notice.slots - FREE_SLOT_MARGIN
    )
    is_in_time = now_ms + best.expected_ms <= call.target_at_ms
    if full_share >= SATURATED_SHARE:
        can_send = has_free_slot and is_in_time
    else:
        can_send = has_free_slot or is_in_time
    if can_send:
        return Verdict.SEND
    recheck_age_ms = now_ms + RECHECK_MS - call.arrived_ms
    can_wait = recheck_age_ms <= WAIT_SHARE * call.route.target_ms
    earliest_answer_ms = now_ms + RECHECK_MS + SHARED_SERVER_FACTOR * service_ms
    if can_wait and earliest_answer_ms <= call.target_at_ms:
        return Verdict.WAIT
    return Verdict.REFUSE


@attrs.define
class TypicalWaits:
    """Typical waits of callers, from which retries by callers are recognized.

    A caller that retries has less time left and so states a shorter wait.

    Attributes:
        typical_ms: Median wait by host and path prefix of the route.
    """

    typical_ms: dict[str, float] = attrs.field(factory=dict)

    def waited_ms(self, route: Route, wait_ms: float | None) -> float:
        """Returns how long a caller has probably waited before this request.

        Also updates the typical wait of the route.

        Args:
            route: Route of the request.
            wait_ms: Wait that the caller states; None if not stated.
        """
        if wait_ms is None:
            return 0.0
        key = f"{route.host}{route.path_prefix}"
        typical_ms = self.typical_ms.get(key, wait_ms)
        sign = (wait_ms > typical_ms) - (wait_ms < typical_ms)
        self.typical_ms[key] = typical_ms * (1.0 + WAIT_STEP * sign)
        waited_ms = typical_ms - wait_ms
        return waited_ms if waited_ms > MIN_WAITED_SHARE * typical_ms else 0.0
