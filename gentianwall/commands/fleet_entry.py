"""Runs an entry of a fleet; drains its requests before it stops."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

from twisted.internet import reactor

from gentianwall.commands.signals import on_stop_signal
from gentianwall.config.fleet import FleetSettings
from gentianwall.http.dialect import Dialect
from gentianwall.logs import EventLog
from gentianwall.runtime.gateway import GatewayRuntime, run_gateway
from gentianwall.timers import TimerService, monotonic_ms

# Readiness is checked every second, and two failed checks take an entry out of
# use; it accepts new connections until then.
UNREADY_BEFORE_CLOSE_MS = 2600.0
# The platform kills the process after the grace period. Requests without an
# answer are refused this long before.
REFUSE_BEFORE_KILL_MS = 150.0
# The process ends this long before, with or without open connections.
EXIT_BEFORE_KILL_MS = 60.0
# Most of the grace period that these take.
MAX_MARGIN_SHARE = 0.25
DRAIN_CHECK_INTERVAL_MS = 20.0


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
    grace_ms = runtime.settings.grace_s * 1000.0
    scale = min(1.0, MAX_MARGIN_SHARE * grace_ms / REFUSE_BEFORE_KILL_MS)
    end_ms = now_ms + grace_ms - scale * REFUSE_BEFORE_KILL_MS
    exit_ms = now_ms + grace_ms - scale * EXIT_BEFORE_KILL_MS
    close_ms = now_ms + min(UNREADY_BEFORE_CLOSE_MS, grace_ms / 2)
    runtime.begin_drain(end_ms)

    def close_listener() -> None:
        runtime.stop_listening()
        await_requests()

    def await_requests() -> None:
        if runtime.is_idle or monotonic_ms() >= end_ms:
            runtime.end_drain()
            await_closes()
            return
        check_ms = min(end_ms, monotonic_ms() + DRAIN_CHECK_INTERVAL_MS)
        timers.start("drain", check_ms, await_requests)

    def await_closes() -> None:
        if runtime.is_idle or monotonic_ms() >= exit_ms:
            reactor.stop()
            return
        check_ms = min(exit_ms, monotonic_ms() + DRAIN_CHECK_INTERVAL_MS)
        timers.start("drain", check_ms, await_closes)

    timers.start("drain", close_ms, close_listener)
