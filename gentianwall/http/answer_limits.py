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
# Share of what clients may use that answers may take, beside the largest one.
ANSWER_SHARE = 0.5
# Larger heads are rare, and parsing them is paced.
UNPACED_HEAD_BYTES = 8 * 1024
# Small bodies may be little but framing.
UNPACED_BODY_BYTES = 2 * 1024
# Bytes that follow the answer to an older request.
MAX_PENDING_BYTES = 64 * 1024


@attrs.define
class AnswerMeter:
    """Counts the bytes of one answer.

    Attributes:
        head_bytes: Bytes of the head and of interim answers before it.
        wire_body_bytes: Bytes of the body with its framing.
        body_bytes: Bytes of the body without its framing.
        is_mostly_framing: Whether the last part of the body was.
    """

    head_bytes: int = 0
    wire_body_bytes: int = 0
    body_bytes: int = 0
    is_mostly_framing: bool = True

    @property
    def is_exceeded(self) -> bool:
        """Whether the head or the framing of the body is over its limit."""
        framing_bytes = self.wire_body_bytes - self.body_bytes
        return (
            self.head_bytes > MAX_HEAD_BYTES
            or framing_bytes > MAX_FRAMING_BYTES + self.body_bytes
        )


@attrs.define
class _HeldAnswer:
    """An answer that is being received.

    Attributes:
        service: Service of its server.
        give_up: Gives it up.
        size_bytes: Bytes of its body that are held.
    """

    service: str
    give_up: Callable[[], None]
    size_bytes: int = 0


@attrs.define
class AnswerMemory:
    """Limits the memory of all answers that are being received.

    One answer may have any size up to its own limit. All others together may
    take a share of what clients may use, so that endless answers do not take
    it from clients of other services. If there are more, the largest one is
    given up of the service that holds most besides its own largest one. So is
    it if all together are over the common limit; clients that make no progress
    are given up first then, as answers share the memory of the process with
    what clients hold.

    Attributes:
        limit_bytes: Most bytes of all bodies together.
        budget: What the clients of the process hold, if it is limited.
        held_bytes: Bytes of all bodies together.
    """

    limit_bytes: int
    budget: ClientBudget | None = None
    held_bytes: int = 0
    _answers: dict[int, _HeldAnswer] = attrs.field(factory=dict)

    def add(
        self,
        key: int,
        size_bytes: int,
        give_up: Callable[[], None],
        service: str = "",
    ) -> None:
        """Counts received bytes, and gives up an answer if needed.

        Args:
            key: Identifies the answer.
            size_bytes: Size of the bytes.
            give_up: Gives up this answer; called at most once.
            service: Service of its server.
        """
        answer = self._answers.get(key)
        if answer is None:
            answer = self._answers[key] = _HeldAnswer(service, give_up)
        answer.size_bytes += size_bytes
        self.held_bytes += size_bytes
        budget = self.budget
        if budget is not None:
            budget.answer_bytes += size_bytes
        if self._is_over_share:
            self._give_up_one()
        if budget is not None and budget.is_exceeded:
            budget.reclaim_from_blocked(monotonic_ms())
        is_over_limit = self.held_bytes > self.limit_bytes
        if is_over_limit or (budget is not None and budget.is_exceeded):
            self._give_up_one()

    @property
    def _is_over_share(self) -> bool:
        if self.budget is None:
            return False
        share_bytes = ANSWER_SHARE * self.budget.limits.memory_bytes
        if self.held_bytes <= share_bytes:
            return False
        largest_bytes = max(a.size_bytes for a in self._answers.values())
        return self.held_bytes - largest_bytes > share_bytes

    def _give_up_one(self) -> None:
        sizes_by_service: dict[str, list[int]] = {}
        for answer in self._answers.values():
            sizes = sizes_by_service.setdefault(answer.service, [])
            sizes.append(answer.size_bytes)

        def order(service: str) -> tuple[int, int]:
            sizes = sizes_by_service[service]
            return sum(sizes) - max(sizes), sum(sizes)

        service = max(sizes_by_service, key=order)
        key = max(
            (k for k, a in self._answers.items() if a.service == service),
            key=lambda key: self._answers[key].size_bytes,
        )
        give_up = self._answers[key].give_up
        self.remove(key)
        give_up()

    def remove(self, key: int) -> None:
        """Forgets an answer that is complete or given up."""
        answer = self._answers.pop(key, None)
        if answer is None:
            return
        self.held_bytes -= answer.size_bytes
        if self.budget is not None:
            self.budget.answer_bytes -= answer.size_bytes
