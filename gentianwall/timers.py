"""Clocks, and a service for one-shot and periodic timers."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable, Iterator

import attrs
from twisted.internet.interfaces import IReactorTime


def monotonic_ms() -> float:
    """Returns a monotonic clock in milliseconds.

    Unlike `time.monotonic`, it includes the time during which the machine was
    suspended: after a suspension a leader must see that its lease expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def use_monotonic_clock(reactor) -> None:
    """Lets the reactor measure delays with a clock that cannot be set.

    By default it uses the wall clock, and all timers would fire too early or
    too late once somebody sets that. Called before anything is scheduled.
    """
    reactor.seconds = lambda: monotonic_ms() / 1000.0


def wall_ms() -> int:
    """Returns the wall clock in milliseconds since the Unix epoch."""
    return int(time.time() * 1000.0)


@attrs.define
class TimerService:
    """Runs one-shot and periodic timers, each identified by a key."""

    reactor: IReactorTime
    _pending: dict[str, object] = attrs.field(factory=dict)

    def start(
        self, key: str, at_ms: float, callback: Callable[[], None]
    ) -> None:
        """Schedules `callback` at a monotonic time; replaces timer `key`."""
        self.cancel(key)
        delay = max(0.0, (at_ms - monotonic_ms()) / 1000.0)
        self._pending[key] = self.reactor.callLater(
            delay, self._fire, key, callback
        )

    def cancel(self, key: str) -> None:
        """Cancels the timer `key` if it is pending."""
        pending = self._pending.pop(key, None)
        if pending is not None:
            pending.cancel()

    def _fire(self, key: str, callback: Callable[[], None]) -> None:
        self._pending.pop(key, None)
        callback()

    @contextlib.contextmanager
    def every(
        self, key: str, interval_ms: float, callback: Callable[[], None]
    ) -> Iterator[None]:
        """Calls `callback` at each interval until the context exits."""

        def tick() -> None:
            self.start(key, monotonic_ms() + interval_ms, tick)
            callback()

        self.start(key, monotonic_ms() + interval_ms, tick)
        try:
            yield
        finally:
            self.cancel(key)
