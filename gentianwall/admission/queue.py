"""Queues calls that wait for a slot, the most urgent first.

Calls are ordered by their arrival plus a share of their tier's wait. Calls of
tiers with a short wait start first. A call of a tier with a long wait can be
overtaken only for that share of its wait, so it cannot starve.
"""

from __future__ import annotations

import bisect

import attrs

START_SHARE = 0.5


@attrs.define
class WaitingCalls:
    """The queue of one service; items are (start target in ms, call id)."""

    order: list[tuple[float, int]] = attrs.field(factory=list)

    def __len__(self) -> int:
        return len(self.order)

    def put(self, target_ms: float, call_id: int) -> None:
        """Adds a call."""
        bisect.insort(self.order, (target_ms, call_id))

    def first(self) -> int:
        """Returns the most urgent call; the queue must not be empty."""
        return self.order[0][1]

    def pop(self) -> int:
        """Removes the most urgent call and returns it."""
        return self.order.pop(0)[1]

    def remove(self, target_ms: float, call_id: int) -> None:
        """Removes a call if it is in the queue."""
        position = bisect.bisect_left(self.order, (target_ms, call_id))
        if self.order[position : position + 1] == [(target_ms, call_id)]:
            del self.order[position]

    def count_ahead(self, target_ms: float) -> int:
        """Returns how many calls would start before a new one.

        Calls with the same target arrived earlier and are included.
        """
        return bisect.bisect_right(self.order, target_ms, key=_target_of)


def _target_of(item: tuple[float, int]) -> float:
    return item[0]


def start_target_ms(arrived_ms: float, tier_wait_ms: float) -> float:
    """Returns the time by which a call of a tier should have started."""
    return arrived_ms + tier_wait_ms * START_SHARE
