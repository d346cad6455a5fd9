"""Runs an entry of a fleet; drains its requests before it stops."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

from twisted.internet import reactor

from gentianwall.commands.signals import (
    CHECK_INTERVAL_MS,
    EXIT_BEFORE_KILL_MS,
    call_when,
    grace_left_ms,
    on_stop_signal,
)
from gentianwall.config.fleet import FleetSettings
from gentianwall.http.dialect import Dialect
from gentianwall.logs import EventLog
from gentianwall.runtime.gateway import GatewayRuntime, run_gateway
from gentianwall.timers import TimerService, monotonic_ms

# Readiness is checked every second, and two failed checks take an entry out of
# use; it accepts new connections until then.
UNREADY_BEFORE_CLOSE_MS = 2600.0
# Requests without an answer are refused this long before the kill.
REFUSE_BEFORE_KILL_MS = 150.0


@contextlib.contextmanager
def run(
    settings: FleetSettings,
    dialect: Dialect,
    event_log: EventLog,
    timers: TimerService,
) -> Iterator[Callable[[FleetSettings], None]]:
    """Runs an entry; yields the callback for changed settings."""
    with run_gateway(settings, dialect, event_log, reactor, timers) as runtime:
        on_stop_signal(lambda: _drain(runtime, timers))

        def reload(changed: FleetSettings) -> None:
            runtime.state.seeds = changed.seed_link_addresses

        yield reload


def _drain(runtime: GatewayRuntime, timers: TimerService) -> None:
    """Reports unready, closes the listener, drains requests, then stops."""
    if runtime.state.is_draining:
        return
    now_ms = monotonic_ms()
    grace_s = runtime.settings.grace_s
    end_ms = now_ms + grace_left_ms(grace_s, REFUSE_BEFORE_KILL_MS)
    exit_ms = now_ms + grace_left_ms(grace_s, EXIT_BEFORE_KILL_MS)
    close_ms = now_ms + min(UNREADY_BEFORE_CLOSE_MS, 1000.0 * grace_s / 2)
    runtime.begin_drain(end_ms)

    def close_listener() -> None:
        runtime.stop_listening()
        call_when(timers, lambda: runtime.is_idle, end_ms, end_drain)

    def end_drain() -> None:
        runtime.end_drain()
        # The process may have been suspended until after the end.
        limit_ms = max(exit_ms, monotonic_ms() + CHECK_INTERVAL_MS)
        call_when(timers, lambda: runtime.is_idle, limit_ms, stop)

    def stop() -> None:
        runtime.log_left_open()
        reactor.stop()

    timers.start("stop", close_ms, close_listener)
