"""Runs an entry of a fleet, and ends it without cutting requests off."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

from twisted.internet import reactor

from gentianwall.commands.signals import on_end_signals
from gentianwall.config.fleet import FleetSettings
from gentianwall.http.dialect import Dialect
from gentianwall.logs import EventLog
from gentianwall.runtime.gateway import GatewayRuntime, run_gateway
from gentianwall.timers import TimerService, monotonic_ms

# Readiness is asked for every second and two misses take an entry out; new
# connections are taken until then.
UNREADY_MS = 2600.0
# The kill comes after the grace; connections are closed before it.
END_BEFORE_KILL_MS = 500.0
DRAIN_CHECK_MS = 20.0


@contextlib.contextmanager
def run(
    settings: FleetSettings,
    dialect: Dialect,
    event_log: EventLog,
    timers: TimerService,
) -> Iterator[Callable[[FleetSettings], None]]:
    """Runs an entry; yields what takes changed settings."""
    with run_gateway(settings, dialect, event_log, reactor, timers) as runtime:
        on_end_signals(lambda: _drain(runtime, timers))

        def reload(changed: FleetSettings) -> None:
            runtime.state.seeds = changed.seed_links

        yield reload


def _drain(runtime: GatewayRuntime, timers: TimerService) -> None:
    """Turns unready, then deaf, waits for requests in flight, then ends."""
    if runtime.state.is_draining:
        return
    now_ms = monotonic_ms()
    grace_ms = runtime.settings.grace_s * 1000.0
    limit_ms = now_ms + grace_ms - END_BEFORE_KILL_MS
    deaf_ms = now_ms + min(UNREADY_MS, grace_ms / 2)
    runtime.begin_drain()

    def close() -> None:
        runtime.stop_listening()
        check()

    def check() -> None:
        if runtime.is_idle or monotonic_ms() > limit_ms:
            reactor.callLater(DRAIN_CHECK_MS / 1000.0, reactor.stop)
            return
        timers.start("drain", monotonic_ms() + DRAIN_CHECK_MS, check)

    timers.start("drain", deaf_ms, close)
