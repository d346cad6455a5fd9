"""Driver of an entry that routes requests: sockets, links and timers."""

from __future__ import annotations

import collections
import contextlib
import random
from collections.abc import Iterator

import attrs

from gentianwall.config.fleet import FleetSettings, OverloadPolicy
from gentianwall.config.routes import CallerLimits
from gentianwall.control.messages import FeedNotice, FeedRedirect, PeerList
from gentianwall.core.events import DrainStarted, Tick
from gentianwall.core.refusals import RefusalReason
from gentianwall.gateway.budget import RetryLimits
from gentianwall.gateway.cold_servers import ColdLimits
from gentianwall.gateway.dispatching import is_repeatable
from gentianwall.gateway.effects import (
    CancelRequest,
    CheckOverdue,
    CheckReach,
    CheckServer,
    CloseIdleConnections,
    ForwardAnswer,
    GatewayEffect,
    Log,
    QueryLoad,
    RefuseRequest,
    RelayRequest,
    ScheduleRecheck,
    SendRequest,
    SendToControl,
    StartDeadlineTimer,
)
from gentianwall.gateway.events import (
    DeadlineExpired,
    DrainEnded,
    FeedArrived,
    GatewayEvent,
)
from gentianwall.gateway.identity import check_head
from gentianwall.gateway.overload import Shed
from gentianwall.gateway.reducer import reduce_gateway
from gentianwall.gateway.state import GatewayState
from gentianwall.http.channel import (
    CallerBounds,
    CallerRequest,
    CallerSite,
    CutAnswers,
    SiteLimits,
    refuse_bodies,
)
from gentianwall.http.connections import SENT_BODY_COPIES, share_memory
from gentianwall.http.dialect import Dialect
from gentianwall.links.messages import Envelope
from gentianwall.links.sockets import Links, open_links
from gentianwall.logs import EventLog
from gentianwall.metrics import Metrics, RequestKey
from gentianwall.runtime.client_reports import ClientReports
from gentianwall.runtime.common import (
    fleet_link_setup,
    listen,
    listen_metrics,
    message_events,
    stop_listening,
)
from gentianwall.runtime.gateway_requests import (
    AUTHORIZATION,
    GatewayRequestHandler,
)
from gentianwall.runtime.process_limits import make_budget, watch_memory
from gentianwall.runtime.relay_authentication import RelayAuthenticator
from gentianwall.runtime.relay_headers import refusal_headers
from gentianwall.runtime.server_checks import ServerChecks
from gentianwall.runtime.server_pools import ServerPools
from gentianwall.timeline import Timeline
from gentianwall.timers import TimerService, monotonic_ms

TICK_MS = 50.0
CLOSE_UNUSED_LINKS_MS = 10_000.0
# Timeout for receiving a complete request. The configured idle timeout applies
# in full, because callers close idle connections after four fifths of it.
BODY_TIMEOUT_S = 60.0
# A relayed request has these many more headers than the caller sent, of at most
# this size together: its id, its deadline and the one about the relay.
RELAY_HEADERS = 3
RELAY_HEADER_BYTES = 1024
# Well above the time for which peers keep idle connections.
PEER_IDLE_TIMEOUT_S = 60.0


class GatewayRuntime:
    """Runs the reducer of an entry that routes requests."""

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
            seeds=settings.seed_link_addresses,
            started_ms=monotonic_ms(),
            link_name=settings.link_address,
            has_peers=settings.peer_port > 0,
            overload_policy=OverloadPolicy(settings.overload_policy),
            cold_limits=ColdLimits(
                settings.warmup_overage, settings.warmup_slack
            ),
        )
        self.budget = make_budget(settings.memory_mb, settings.descriptors)
        self.client_reports = ClientReports(
            self.metrics, self.budget, self._write_client_line
        )
        share_memory(self.budget)
        self.pools = ServerPools(reactor)
        self.checks = ServerChecks(
            self.pools, timers, dialect, self.metrics, self.handle
        )
        self.requests = GatewayRequestHandler(
            reactor,
            timers,
            RelayAuthenticator(settings.host, dialect, self.state.relay_keys),
            self.pools,
            self.checks,
            self.handle,
            lambda: self.state.is_fingerprint_needed,
            settings.peer_port,
        )
        cut_answers = CutAnswers(self._write_cut_line, dialect.request_id)
        self.peer_site = CallerSite(
            self.requests.on_relayed_request_arrived,
            self.requests.on_caller_disconnected,
            limits=self._server_site_limits("peers"),
            refuse_request=self.requests.refuse_arriving_relayed,
            refusal_headers=refusal_headers,
            cut_answers=cut_answers,
        )
        self.site = CallerSite(
            self.requests.on_request_arrived,
            self.requests.on_caller_disconnected,
            self._is_repeatable,
            limits=self._server_site_limits("callers"),
            check_head=self._check_head,
            refuse_request=self.requests.refuse_arriving,
            cut_answers=cut_answers,
        )
        self._events: collections.deque[GatewayEvent] = collections.deque()
        self._is_handling = False
        self._limits: CallerLimits | None = None
        self._ports: list = []
        self._readiness_port = None

    def start(self, links: Links) -> None:
        """Starts to listen for callers, readiness checks and metrics."""
        self.links = links
        settings = self.settings
        self._ports = [
            listen(self.reactor, settings.callers_address, self.site)
        ]
        if settings.peer_port:
            peer_address = f"{settings.host}:{settings.peer_port}"
            self._ports.append(
                listen(self.reactor, peer_address, self.peer_site)
            )
        readiness = CallerSite(
            self._answer_readiness,
            lambda request: None,
            limits=SiteLimits(
                budget=self.budget,
                report_misuse=self.client_reports.reporter("readiness"),
            ),
            check_head=refuse_bodies,
        )
        self._readiness_port = listen(
            self.reactor, settings.readiness_address, readiness
        )
        if settings.metrics_port:
            listen_metrics(
                self.reactor,
                settings,
                self.metrics_text,
                self.budget,
                self.client_reports,
            )
        self.tick()

    def _is_repeatable(self, request: CallerRequest) -> bool:
        host = request.header(b"Host")
        path = request.path.decode("latin-1")
        return is_repeatable(self.state, host, path)

    def _server_site_limits(self, port: str) -> SiteLimits:
        return SiteLimits(
            budget=self.budget,
            report_misuse=self.client_reports.reporter(port),
            has_servers=True,
            body_copies=SENT_BODY_COPIES,
        )

    def _check_head(self, request: CallerRequest) -> RefusalReason | None:
        """Returns why a request is refused before its body is read."""
        host = request.header(b"Host")
        path = request.path.decode("latin-1")
        keys = request.requestHeaders.getRawHeaders(AUTHORIZATION) or ()
        return check_head(self.state, host, path, keys)

    def _write_client_line(self, fields: dict[str, object]) -> None:
        self.log.write("client_refused", fields)

    def _write_cut_line(self, request_id: str, unsent_bytes: int) -> None:
        fields = {"id": request_id, "unsent_bytes": unsent_bytes}
        self.log.write("answer_cut", fields)

    def _answer_readiness(self, request: CallerRequest) -> None:
        is_ready = self.state.is_ready
        body = b"ready\n" if is_ready else b"not ready\n"
        request.answer(200 if is_ready else 503, [], body)

    def tick(self) -> None:
        """Passes the current time to the reducer."""
        self.handle(Tick(monotonic_ms()))

    def receive(self, envelopes: list[Envelope]) -> None:
        """Handles messages from control instances."""
        for event in message_events(envelopes, self.timeline):
            if isinstance(event.message, FeedNotice | FeedRedirect | PeerList):
                self.handle(
                    FeedArrived(event.at_ms, event.sender, event.message)
                )

    def handle(self, event: GatewayEvent) -> None:
        """Handles an event and performs its effects.

        Events that arise from effects are queued and handled in order.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                effects = reduce_gateway(self.state, self._events.popleft())
                for effect in effects:
                    self._perform(effect)
        finally:
            self._is_handling = False

    def _perform(self, effect: GatewayEffect) -> None:
        match effect:
            case Log():
                self._write_log(effect)
            case StartDeadlineTimer():
                self._start_deadline_timer(effect)
            case QueryLoad():
                self.requests.query_load(effect)
            case CheckOverdue():
                self.checks.query_server(effect.notice, effect.health_path)
            case ScheduleRecheck():
                self.requests.schedule_recheck(effect.call_id, effect.at_ms)
            case SendRequest():
                self.requests.send(effect)
            case RelayRequest():
                self.requests.relay(effect)
            case CheckReach():
                self.checks.check_reach(effect)
            case ForwardAnswer():
                self.requests.forward_answer(effect)
            case RefuseRequest():
                self.requests.refuse(effect)
            case CancelRequest():
                self.requests.cancel(effect)
            case CheckServer():
                self.requests.check_server(effect)
            case CloseIdleConnections():
                self.pools.close_idle(effect.server)
            case SendToControl():
                self.links.send(effect.receiver, effect.message)

    def _write_log(self, effect: Log) -> None:
        self.log.write(effect.event, effect.fields)
        self._count_request(effect)
        if effect.event == "configuration_in_force":
            limits = self.state.table.configuration.limits
            self.site.bounds = CallerBounds(
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                header_timeout_s=limits.header_timeout_ms / 1000.0,
                body_timeout_s=BODY_TIMEOUT_S,
                idle_timeout_s=limits.idle_timeout_ms / 1000.0,
            )
            self.peer_site.bounds = attrs.evolve(
                self.site.bounds,
                header_bytes=limits.header_bytes + RELAY_HEADER_BYTES,
                header_count=self.site.bounds.header_count + RELAY_HEADERS,
                idle_timeout_s=PEER_IDLE_TIMEOUT_S,
            )

    def _count_request(self, effect: Log) -> None:
        fields = effect.fields
        match effect.event:
            case "answered":
                reason, duration_ms = str(fields["status"]), fields["total_ms"]
            case "refused":
                reason = fields["reason"]
                duration_ms = fields.get("after_ms", 0)
            case _:
                return
        key = RequestKey(
            service=fields.get("service", ""),
            kind=fields.get("kind", ""),
            outcome=effect.event,
            reason=reason,
            attempts=fields.get("attempt", 0),
        )
        self.metrics.record_request(key, duration_ms / 1000.0)

    def metrics_text(self) -> bytes:
        """Renders the counters and the current gauges as text."""
        state = self.state
        feed_age_ms = monotonic_ms() - state.feed_received_ms
        self.metrics.process_values.update(
            {
                "configuration_number": state.number,
                "organisations": (
                    len(state.table.organisation_by_name) if state.table else 0
                ),
                "servers_revision": state.revision,
                "servers": len(state.service_by_server),
                "requests_in_flight": len(self.requests.open_requests),
                "callers_connections": len(self.site.channels),
                "entries_known": state.entries,
                "rate_limited_servers": len(state.rate_limits.by_server),
                "cold_servers": state.count_cold_servers(monotonic_ms()),
                "evacuated_domains": len(state.evacuations.domains),
                "evacuations_total": state.evacuations.version,
                "quota_waits_total": state.quota_waits,
                "quota_refusals_total": state.quota_refusals,
                "quota_tokens": state.limits.unspent,
                "has_limit_lease": int(
                    monotonic_ms() < state.limits.lease_until_ms
                ),
                "is_ready": int(state.is_ready),
                "is_partitioned": int(state.reachability.is_partitioned),
                "peers_known": len(state.peers.by_host),
                "feed_age_seconds": min(feed_age_ms, 1e9) / 1000.0,
                **self._overload_values(),
                "log_lines_dropped_total": self.log.writer.dropped,
                "log_lines_suppressed_total": self.log.suppressed,
            }
        )
        return self.metrics.text()

    def _overload_values(self) -> dict[str, float]:
        overload = self.state.overload
        if overload is None:
            return {}
        refused = overload.refused
        return {
            "overload_level": overload.highest_level(monotonic_ms()),
            **{f"shed_{shed.value}_total": refused[shed] for shed in Shed},
        }

    def _start_deadline_timer(self, effect: StartDeadlineTimer) -> None:
        call_id = effect.call_id
        self.timers.start(
            f"call.{call_id}",
            effect.at_ms,
            lambda: self.handle(DeadlineExpired(monotonic_ms(), call_id)),
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request is open, and no caller or peer connected."""
        return not (
            self.requests.open_requests
            or self.site.channels
            or self.peer_site.channels
        )

    def begin_drain(self, end_ms: float) -> None:
        """Starts draining.

        Reports not ready and closes each connection after its next answer.
        Requests that might not be over by the end are refused.
        """
        self.requests.is_closing = True
        self.handle(DrainStarted(monotonic_ms(), end_ms))

    def end_drain(self) -> None:
        """Answers the requests that are open or that are being received."""
        self.handle(DrainEnded(monotonic_ms()))
        for site in (self.site, self.peer_site):
            for channel in list(site.channels):
                channel.refuse_unfinished()
                channel.enlarge_send_buffer()

    def log_left_open(self) -> None:
        """Logs what is still open when the process ends."""
        channels = self.site.channels | self.peer_site.channels
        fields = {
            "requests": len(self.requests.open_requests),
            "connections": len(channels),
            "unsent_bytes": sum(channel.unsent_bytes for channel in channels),
        }
        self.log.write("left_open", fields)

    def stop_listening(self) -> None:
        """Stops accepting connections and closes those without a request."""
        stop_listening(self._ports, self.site, self.peer_site)


@contextlib.contextmanager
def run_gateway(
    settings: FleetSettings,
    dialect: Dialect,
    event_log: EventLog,
    reactor,
    timers: TimerService,
) -> Iterator[GatewayRuntime]:
    """Runs an entry that routes requests for as long as the context lasts."""
    runtime = GatewayRuntime(settings, dialect, event_log, reactor, timers)
    link_setup = fleet_link_setup(settings)
    with contextlib.ExitStack() as stack:
        links = stack.enter_context(
            open_links(link_setup, reactor, runtime.timeline, runtime.receive)
        )
        runtime.start(links)
        stack.enter_context(timers.every("gateway.tick", TICK_MS, runtime.tick))
        stack.enter_context(
            watch_memory(
                "gateway.memory", runtime.budget, settings.memory_mb, timers
            )
        )
        stack.enter_context(
            timers.every(
                "gateway.links", CLOSE_UNUSED_LINKS_MS, links.close_unused
            )
        )
        yield runtime
        runtime.stop_listening()
