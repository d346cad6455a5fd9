"""A timer service that parts subscribe to."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable, Iterator

import attrs
from twisted.internet.interfaces import IReactorTime


def monotonic_ms() -> float:
    """Returns a clock in milliseconds that never jumps.

    It counts the time that the machine was suspended, which the steady clock
    does not: a leader that slept must know that its lease is over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def wall_ms() -> int:
    """Returns the wall clock in milliseconds since 1970."""
    return int(time.time() * 1000.0)


@attrs.define
class TimerService:
    """One-shot timers by key and periodic subscriptions."""

    reactor: IReactorTime
    _pending: dict[str, object] = attrs.field(factory=dict)

    def start(self, key: str, at_ms: float, call: Callable[[], None]) -> None:
        """Calls `call` at a time of the monotonic clock; replaces `key`."""
        self.cancel(key)
        delay = max(0.0, (at_ms - monotonic_ms()) / 1000.0)
        self._pending[key] = self.reactor.callLater(
            delay, self._fire, key, call
        )

    def cancel(self, key: str) -> None:
        """Stops the timer `key`, if it runs."""
        pending = self._pending.pop(key, None)
        if pending is not None:
            pending.cancel()

    def _fire(self, key: str, call: Callable[[], None]) -> None:
        self._pending.pop(key, None)
        call()

    @contextlib.contextmanager
    def every(
        self, key: str, interval_ms: float, call: Callable[[], None]
    ) -> Iterator[None]:
        """Calls `call` at each interval for as long as the context lasts."""

        def tick() -> None:
            self.start(key, monotonic_ms() + interval_ms, tick)
            call()

        self.start(key, monotonic_ms() + interval_ms, tick)
        try:
            yield
        finally:
            self.cancel(key)
