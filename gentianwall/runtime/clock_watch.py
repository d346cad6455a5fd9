"""Logs when somebody sets the wall clock of the machine.

Times in log lines then jump, and so does whatever depends on that clock.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from gentianwall.logs import EventLog
from gentianwall.timers import TimerService, monotonic_ms, wall_ms

CHECK_INTERVAL_MS = 1000.0
# Clocks that are adjusted without a step change by at most 0.5 ms a second.
MIN_STEP_MS = 50.0


class _ClockWatch:
    """Compares the wall clock with the monotonic one."""

    def __init__(self, event_log: EventLog):
        self._log = event_log
        self._difference_ms = wall_ms() - monotonic_ms()

    def check(self) -> None:
        """Logs a step since the last check."""
        difference_ms = wall_ms() - monotonic_ms()
        step_ms = difference_ms - self._difference_ms
        self._difference_ms = difference_ms
        if abs(step_ms) >= MIN_STEP_MS:
            self._log.write("clock_set", {"step_ms": round(step_ms)})


@contextlib.contextmanager
def watch_clock(event_log: EventLog, timers: TimerService) -> Iterator[None]:
    """Logs steps of the wall clock for as long as the context lasts."""
    watch = _ClockWatch(event_log)
    with timers.every("clock", CHECK_INTERVAL_MS, watch.check):
        yield
