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
# The platform kills the process after the grace period; connections are closed
# this long before.
STOP_BEFORE_KILL_MS = 500.0
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
    limit_ms = now_ms + grace_ms - STOP_BEFORE_KILL_MS
    close_ms = now_ms + min(UNREADY_BEFORE_CLOSE_MS, grace_ms / 2)
    runtime.begin_drain()

    def close_listener() -> None:
        runtime.stop_listening()
        check_idle()

    def check_idle() -> None:
        if runtime.is_idle or monotonic_ms() > limit_ms:
            reactor.callLater(DRAIN_CHECK_INTERVAL_MS / 1000.0, reactor.stop)
            return
        timers.start(
            "drain", monotonic_ms() + DRAIN_CHECK_INTERVAL_MS, check_idle
        )

    timers.start("drain", close_ms, close_listener)
