"""Decides when requests on one connection run and in which order they end.

Load pattern: a caller sends further requests before the first one is answered
(RFC 9112, 9.3.2). Requests that may be repeated run beside each other, so that
the last one does not wait for all others in turn; their answers are returned in
the order of the requests. Any other request runs alone: if the connection ends
early, the caller may then send again whatever was not read.
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
