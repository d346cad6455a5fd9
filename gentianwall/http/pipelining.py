"""Decides when requests on one connection run and in which order they end.

Load pattern: a caller sends further requests before the first one is answered
(RFC 9112, 9.3.2). Requests that may be repeated run beside each other, so that
the last one does not wait for all others in turn; their answers are returned in
the order of the requests. Any other request runs alone: if the connection ends
early, the caller may then send again whatever was not read.

Load pattern: a few connections send thousands of requests ahead to servers that
are full. Each refusal lets the next request in at once, so that some request of
each of these connections competes for every place that becomes free, and those
of ordinary callers hardly get one. Therefore requests sent ahead are read at a
low rate once many of their connection were refused.
"""

from __future__ import annotations

import enum
from collections import deque
from typing import Generic, TypeVar

import attrs

# Callers that read answers slower than they send requests are held back by the
# connection itself beyond this many requests.
MAX_OPEN_REQUESTS = 16
# Answers that wait for an earlier one are held in memory. No further request is
# read while they are larger than this.
MAX_WAITING_BYTES = 1024 * 1024
# Requests sent ahead on one connection that are refused without a delay, and
# the interval at which further ones are read, the usual retry-after time.
MAX_REFUSED_AHEAD = 16
REFUSED_AHEAD_INTERVAL_MS = 1000.0

T = TypeVar("T")


class Stage(enum.Enum):
    """Stage of a request between its receipt and the sending of its answer."""

    HELD = "held"
    RUNNING = "running"
    ANSWERED = "answered"


@attrs.define
class _Exchange(Generic[T]):
    request: T
    is_repeatable: bool
    stage: Stage = Stage.HELD
    answer_bytes: int = 0


@attrs.define
class Pipeline(Generic[T]):
    """Requests of one connection that were received and not yet answered.

    Attributes:
        is_closing: Whether this side closes the connection. Requests behind a
            running one are then not started and count as unread.
        is_read_finished: Whether the caller asked for a close with its last
            request, so that it sends no further one.
    """

    is_closing: bool = False
    is_read_finished: bool = False
    _exchanges: deque[_Exchange[T]] = attrs.field(factory=deque)

    @property
    def is_empty(self) -> bool:
        """Whether every received request has been answered."""
        return not self._exchanges

    @property
    def is_answer_due(self) -> bool:
        """Whether the answer to the oldest request is ready."""
        exchanges = self._exchanges
        return bool(exchanges) and exchanges[0].stage is Stage.ANSWERED

    @property
    def can_read(self) -> bool:
        """Whether the next request may be read."""
        if self.is_empty:
            return not self.is_read_finished
        return not (
            self.is_closing
            or self.is_read_finished
            or len(self._exchanges) >= MAX_OPEN_REQUESTS
            or self._waiting_bytes >= MAX_WAITING_BYTES
            or any(
                exchange.stage is Stage.HELD or not exchange.is_repeatable
                for exchange in self._exchanges
            )
        )

    @property
    def _waiting_bytes(self) -> int:
        return sum(exchange.answer_bytes for exchange in self._exchanges)

    def add(self, request: T, is_repeatable: bool) -> None:
        """Adds a request that was received completely."""
        self._exchanges.append(_Exchange(request, is_repeatable))

    def start_next(self) -> T | None:
        """Returns the next request to run, if one may run now."""
        for position, exchange in enumerate(self._exchanges):
            if exchange.stage is Stage.HELD:
                is_alone = position == 0
                if not is_alone and (
                    self.is_closing or not exchange.is_repeatable
                ):
                    return None
                exchange.stage = Stage.RUNNING
                return exchange.request
            if not exchange.is_repeatable:
                return None
        return None

    def record_answer(self, request: T, answer_bytes: int) -> None:
        """Records that the answer to a running request is ready."""
        for exchange in self._exchanges:
            if exchange.request is request:
                exchange.stage = Stage.ANSWERED
                exchange.answer_bytes = answer_bytes

    def take_answered(self) -> tuple[T, bool] | None:
        """Removes the oldest request if its answer is ready.

        Returns:
            The request and whether the connection ends with its answer, or
            None if the answer is not ready.
        """
        if not self.is_answer_due:
            return None
        request = self._exchanges.popleft().request
        if self.is_closing:
            is_last = all(
                exchange.stage is Stage.HELD for exchange in self._exchanges
            )
        else:
            is_last = self.is_read_finished and self.is_empty
        return request, is_last


@attrs.define
class RefusalPacing:
    """Delays the reading of requests behind many that were refused.

    Each refusal uses a part of an allowance that grows back over time (generic
    cell rate algorithm).
    """

    _restored_ms: float = float("-inf")

    def record_refusal(self, now_ms: float) -> None:
        """Records that a request was refused that others were sent behind."""
        # Requests that ran beside each other may be refused together. The next
        # one is still read after one interval.
        self._restored_ms = min(
            max(self._restored_ms, now_ms) + REFUSED_AHEAD_INTERVAL_MS,
            now_ms + MAX_REFUSED_AHEAD * REFUSED_AHEAD_INTERVAL_MS,
        )

    def is_used_up(self, now_ms: float) -> bool:
        """Returns whether only one request may be open at a time."""
        left_ms = self._restored_ms - now_ms
        return left_ms > (MAX_REFUSED_AHEAD - 2) * REFUSED_AHEAD_INTERVAL_MS

    def delay_ms(self, now_ms: float) -> float:
        """Returns for how long no further request is read."""
        allowed_ms = (MAX_REFUSED_AHEAD - 1) * REFUSED_AHEAD_INTERVAL_MS
        return max(0.0, self._restored_ms - now_ms - allowed_ms)
