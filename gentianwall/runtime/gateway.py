"""Drives the reducer of an entry that follows routes."""

from __future__ import annotations

import collections
import contextlib
import random
from collections.abc import Iterator

from gentianwall.config.fleet import FleetSettings
from gentianwall.config.routes import CallerLimits
from gentianwall.control.messages import FeedNotice, FeedRedirect
from gentianwall.core.events import DrainStarted, Tick
from gentianwall.gateway.budget import RetryLimits
from gentianwall.gateway.effects import (
    CancelRequest,
    CheckServer,
    CloseIdleConnections,
    ForwardAnswer,
    GatewayEffect,
    Log,
    QueryLoad,
    RefuseRequest,
    ScheduleRecheck,
    SendRequest,
    SendToControl,
    StartTimer,
)
from gentianwall.gateway.events import (
    DeadlineExpired,
    FeedArrived,
    GatewayEvent,
)
from gentianwall.gateway.reducer import reduce_gateway
from gentianwall.gateway.state import GatewayState
from gentianwall.http.channel import CallerBounds, CallerRequest, CallerSite
from gentianwall.http.dialect import Dialect
from gentianwall.links.messages import Envelope
from gentianwall.links.sockets import Links, open_links
from gentianwall.logs import EventLog
from gentianwall.metrics import Metrics, RequestKey
from gentianwall.runtime.exchange import Exchange
from gentianwall.runtime.plumbing import (
    fleet_links,
    listen,
    listen_metrics,
    message_events,
    stop_listening,
)
from gentianwall.timeline import Timeline
from gentianwall.timers import TimerService, monotonic_ms

TICK_MS = 50.0
UNUSED_LINKS_MS = 10_000.0
# Callers keep connections for four fifths of the limit; an entry keeps them
# for all of it.
BODY_TIMEOUT_S = 60.0


class GatewayRuntime:
    """One entry that follows routes."""

    def __init__(
        self,
        settings: FleetSettings,
        dialect: Dialect,
        event_log: EventLog,
        reactor,
        timers: TimerService,
    ):
        self.settings = settings
        self.reactor = reactor
        self.timers = timers
        self.metrics = Metrics()
        self.timeline = Timeline(settings.name)
        self.links: Links | None = None
        self.log = event_log
        self.state = GatewayState(
            name=settings.name,
            failure_domain=settings.failure_domain,
            rng=random.Random(),
            retry_limits=RetryLimits(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_s * 1000.0,
            ),
            seeds=settings.seed_links,
            started_ms=monotonic_ms(),
        )
        self.exchange = Exchange(
            reactor,
            timers,
            dialect,
            self.metrics,
            self.handle,
            lambda: bool(self.state.quarantines),
        )
        self.site = CallerSite(self.exchange.open, self.exchange.gone)
        self._events: collections.deque[GatewayEvent] = collections.deque()
        self._is_busy = False
        self._limits: CallerLimits | None = None
        self._ports: list = []
        self._readiness_port = None

    def start(self, links: Links) -> None:
        """Listens."""
        self.links = links
        settings = self.settings
        self._ports = [
            listen(self.reactor, settings.callers_address, self.site)
        ]
        readiness = CallerSite(self._tell_readiness, lambda request: None)
        self._readiness_port = listen(
            self.reactor, settings.readiness_address, readiness
        )
        if settings.metrics_port:
            listen_metrics(self.reactor, settings, self.metrics_text)
        self.tick()

    def _tell_readiness(self, request: CallerRequest) -> None:
        is_ready = self.state.is_ready
        body = b"ready\n" if is_ready else b"not ready\n"
        request.answer(200 if is_ready else 503, [], body)

    def tick(self) -> None:
        """Tells the core that time went on."""
        self.handle(Tick(monotonic_ms()))

    def receive(self, envelopes: list[Envelope]) -> None:
        """Takes messages of control instances."""
        for event in message_events(envelopes, self.timeline):
            if isinstance(event.message, FeedNotice | FeedRedirect):
                self.handle(
                    FeedArrived(event.at_ms, event.sender, event.message)
                )

    def handle(self, event: GatewayEvent) -> None:
        """Takes an event to the core and carries out what it wants."""
        self._events.append(event)
        if self._is_busy:
            return
        self._is_busy = True
        try:
            while self._events:
                effects = reduce_gateway(self.state, self._events.popleft())
                for effect in effects:
                    self._carry_out(effect)
        finally:
            self._is_busy = False

    def _carry_out(self, effect: GatewayEffect) -> None:
        match effect:
            case Log():
                self._note(effect)
            case StartTimer():
                self._start_timer(effect)
            case QueryLoad():
                self.exchange.ask(effect)
            case ScheduleRecheck():
                self.exchange.look_again(effect.call_id, effect.at_ms)
            case SendRequest():
                self.exchange.send(effect)
            case ForwardAnswer():
                self.exchange.pass_answer(effect)
            case RefuseRequest():
                self.exchange.refuse(effect)
            case CancelRequest():
                self.exchange.cancel(effect)
            case CheckServer():
                self.exchange.check(effect)
            case CloseIdleConnections():
                self.exchange.drop(effect.server)
            case SendToControl():
                self.links.send(effect.receiver, effect.message)

    def _note(self, effect: Log) -> None:
        self.log.write(effect.event, effect.fields)
        self._count(effect)
        if effect.event == "configuration_in_force":
            limits = self.state.table.configuration.limits
            self.site.bounds = CallerBounds(
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                header_timeout_s=limits.header_timeout_ms / 1000.0,
                body_timeout_s=BODY_TIMEOUT_S,
                idle_timeout_s=limits.idle_timeout_ms / 1000.0,
            )

    def _count(self, effect: Log) -> None:
        fields = effect.fields
        match effect.event:
            case "answered":
                reason, taken_ms = str(fields["status"]), fields["total_ms"]
            case "refused":
                reason = fields["reason"]
                taken_ms = fields.get("after_ms", 0)
            case _:
                return
        key = RequestKey(
            service=fields.get("service", ""),
            kind=fields.get("kind", ""),
            outcome=effect.event,
            reason=reason,
            attempts=fields.get("attempt", 0),
        )
        self.metrics.note_request(key, taken_ms / 1000.0)

    def metrics_text(self) -> bytes:
        """Renders what is counted, and what is held now."""
        state = self.state
        feed_age_ms = monotonic_ms() - state.feed_received_ms
        self.metrics.held.update(
            {
                "configuration_number": state.number,
                "servers_revision": state.revision,
                "servers": len(state.service_by_server),
                "requests_in_flight": len(self.exchange.calls),
                "callers_connections": len(self.site.channels),
                "entries_known": state.entries,
                "is_ready": int(state.is_ready),
                "feed_age_seconds": min(feed_age_ms, 1e9) / 1000.0,
                "log_lines_dropped_total": self.log.writer.dropped,
                "log_lines_suppressed_total": self.log.suppressed,
            }
        )
        return self.metrics.text()

    def _start_timer(self, effect: StartTimer) -> None:
        call_id = effect.call_id
        self.timers.start(
            f"call.{call_id}",
            effect.at_ms,
            lambda: self.handle(DeadlineExpired(monotonic_ms(), call_id)),
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight and no caller is connected."""
        return not self.exchange.calls and not self.site.channels

    def begin_drain(self) -> None:
        """Turns unready; each answer from now on closes its connection."""
        self.exchange.is_closing = True
        self.handle(DrainStarted(monotonic_ms()))

    def stop_listening(self) -> None:
        """Takes no further connections and closes those without a request."""
        stop_listening(self._ports, self.site)


@contextlib.contextmanager
def run_gateway(
    settings: FleetSettings,
    dialect: Dialect,
    event_log: EventLog,
    reactor,
    timers: TimerService,
) -> Iterator[GatewayRuntime]:
    """Runs an entry that follows routes for as long as the context lasts."""
    runtime = GatewayRuntime(settings, dialect, event_log, reactor, timers)
    link_setup = fleet_links(settings)
    with contextlib.ExitStack() as stack:
        links = stack.enter_context(
            open_links(link_setup, reactor, runtime.timeline, runtime.receive)
        )
        runtime.start(links)
        stack.enter_context(timers.every("gateway.tick", TICK_MS, runtime.tick))
        stack.enter_context(
            timers.every("gateway.links", UNUSED_LINKS_MS, links.close_unused)
        )
        yield runtime
        runtime.stop_listening()
