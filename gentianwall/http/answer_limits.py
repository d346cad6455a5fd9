"""Limits on the bytes of a server's answer.

Load pattern: a server in trouble sends bytes that are no answer, without end:
one line, header lines, interim answers, chunk framing or a body. Without limits
they fill the memory and the time of the process, so that requests to other
servers suffer.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from gentianwall.http.client_budget import ClientBudget
from gentianwall.timers import monotonic_ms

# Common servers and callers do not accept larger heads. Interim answers count
# too.
MAX_HEAD_BYTES = 32 * 1024
# The head is parsed in parts of this size, so that parsing stops soon after the
# limit.
HEAD_PART_BYTES = 2 * 1024
# Chunk sizes, extensions and trailers may be as long as the body itself and
# this many bytes more. Chunks of a few bytes are only sent for small answers.
MAX_FRAMING_BYTES = 64 * 1024
# Bytes that follow the answer to an older request.
MAX_PENDING_BYTES = 64 * 1024


@attrs.define
class AnswerMeter:
    """Counts the bytes of one answer.

    Attributes:
        head_bytes: Bytes of the head and of interim answers before it.
        wire_body_bytes: Bytes of the body with its framing.
        body_bytes: Bytes of the body without its framing.
    """

    head_bytes: int = 0
    wire_body_bytes: int = 0
    body_bytes: int = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether the head or the framing of the body is over its limit."""
        framing_bytes = self.wire_body_bytes - self.body_bytes
        return (
            self.head_bytes > MAX_HEAD_BYTES
            or framing_bytes > MAX_FRAMING_BYTES + self.body_bytes
        )


@attrs.define
class AnswerMemory:
    """Limits the memory of all answers that are being received.

    One answer may have any size up to its own limit. If all of them together
    are over the common limit, the largest one is given up. They share the
    memory of the process with what its clients hold; clients that make no
    progress are given up first.

    Attributes:
        limit_bytes: Most bytes of all bodies together.
        held_bytes: Bytes held, by a key for each answer.
        budget: What the clients of the process hold, if it is limited.
    """

    limit_bytes: int
    budget: ClientBudget | None = None
    held_bytes: dict[int, int] = attrs.field(factory=dict)
    _give_up: dict[int, Callable[[], None]] = attrs.field(factory=dict)

    def add(
        self, key: int, size_bytes: int, give_up: Callable[[], None]
    ) -> None:
        """Counts received bytes, and gives up the largest answer if needed.

        Args:
            key: Identifies the answer.
            size_bytes: Size of the bytes.
            give_up: Gives up this answer; called at most once.
        """
        self.held_bytes[key] = self.held_bytes.get(key, 0) + size_bytes
        self._give_up[key] = give_up
        budget = self.budget
        if budget is not None:
            budget.answer_bytes += size_bytes
            if budget.is_exceeded:
                budget.reclaim_from_blocked(monotonic_ms())
        is_over_limit = sum(self.held_bytes.values()) > self.limit_bytes
        if is_over_limit or (budget is not None and budget.is_exceeded):
            largest = max(self.held_bytes, key=self.held_bytes.__getitem__)
            give_up = self._give_up[largest]
            self.remove(largest)
            give_up()

    def remove(self, key: int) -> None:
        """Forgets an answer that is complete or given up."""
        held_bytes = self.held_bytes.pop(key, 0)
        if self.budget is not None:
            self.budget.answer_bytes -= held_bytes
        self._give_up.pop(key, None)
