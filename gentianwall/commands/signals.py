"""Stops a process on termination signals."""

from __future__ import annotations

import signal
from collections.abc import Callable

from twisted.internet import reactor

from gentianwall.logs import get_logger
from gentianwall.timers import TimerService, monotonic_ms

log = get_logger("fleet")

# The platform kills a process after the grace period. It ends this long before,
# with or without open connections.
EXIT_BEFORE_KILL_MS = 60.0
# Times before the kill shrink with grace periods below this, so that most of
# them is used.
SHORT_GRACE_MS = 600.0
CHECK_INTERVAL_MS = 20.0


def on_stop_signal(stop: Callable[[], None]) -> None:
    """Calls `stop` in the reactor on SIGTERM or SIGINT."""

    def on_signal(number, frame) -> None:
        log.info("Received signal %d; stopping.", number)
        reactor.callFromThread(stop)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)


def ignore_signals() -> None:
    """Ignores further signals, after the reactor has stopped.

    The interpreter resets handlers while it ends. A signal would then change
    the exit status of a process that has answered everything.
    """
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)


def grace_left_ms(grace_s: float, before_kill_ms: float) -> float:
    """Returns how long a process may run on after the signal.

    Args:
        grace_s: Time between the signal and the kill.
        before_kill_ms: How long before the kill that is to end.
    """
    grace_ms = 1000.0 * grace_s
    return grace_ms - before_kill_ms * min(1.0, grace_ms / SHORT_GRACE_MS)


def call_when(
    timers: TimerService,
    condition: Callable[[], bool],
    limit_ms: float,
    callback: Callable[[], None],
) -> None:
    """Calls `callback` once a condition holds, or at the limit."""

    def check() -> None:
        now_ms = monotonic_ms()
        if condition() or now_ms >= limit_ms:
            callback()
            return
        check_ms = min(limit_ms, now_ms + CHECK_INTERVAL_MS)
        timers.start("stop", check_ms, check)

    check()
