"""Driver of an entry: sockets, links and timers."""

from __future__ import annotations

import collections
import contextlib
import random
from collections.abc import Iterator

from gentianwall.config.settings import Settings
from gentianwall.control.client import ControlClient
from gentianwall.core.effects import (
    AcceptAnnouncement,
    AnswerCaller,
    CancelAttempt,
    CloseConnections,
    CloseIdleConnections,
    Dispatch,
    EntryEffect,
    FinishCommand,
    FinishStatus,
    ProbeServer,
    RecordEvent,
    RefuseAnnouncement,
    RefuseCaller,
    ReplayAnswer,
    SendMessage,
)
from gentianwall.core.entry import reduce_entry
from gentianwall.core.events import (
    DrainStarted,
    EntryEvent,
    Tick,
)
from gentianwall.core.state import EntryState
from gentianwall.http.announcements import AnnouncementHandler
from gentianwall.http.channel import (
    CallerBounds,
    CallerRequest,
    CallerSite,
    SiteLimits,
)
from gentianwall.http.connections import SENT_BODY_COPIES, share_memory
from gentianwall.links.messages import Envelope
from gentianwall.links.sockets import Links, make_link_setup, open_links
from gentianwall.logs import get_logger
from gentianwall.metrics import Metrics
from gentianwall.runtime.calls import CallHandler
from gentianwall.runtime.client_reports import ClientReports
from gentianwall.runtime.common import listen, message_events, stop_listening
from gentianwall.runtime.operators import EntryOperatorHandler
from gentianwall.runtime.probes import ProbeSender
from gentianwall.runtime.process_limits import make_budget, watch_memory
from gentianwall.timeline import EventKind, Timeline
from gentianwall.timers import TimerService, monotonic_ms, wall_ms

log = get_logger("entry")

TICK_MS = 5.0
IDLE_TICK_MS = 25.0
SILENCE_CHECK_MS = 100.0
LOGGED_KINDS = frozenset(
    (
        EventKind.SERVER_JOINED,
        EventKind.SERVER_DRAINING,
        EventKind.SERVER_LEFT,
        EventKind.SERVER_LAPSED,
        EventKind.SERVER_EJECTED,
        EventKind.CONFIG_IN_FORCE,
        EventKind.CONNECTIONS_CLOSED,
        EventKind.DRAINING,
    )
)


class EntryRuntime:
    """Runs the reducer of an entry and performs its effects."""

    def __init__(self, settings: Settings, reactor, timers: TimerService):
        self.settings = settings
        self.reactor = reactor
        self.timers = timers
        self.metrics = Metrics()
        self.budget = make_budget(settings.memory_mb, settings.descriptors)
        self.client_reports = ClientReports(self.metrics, self.budget)
        self.timeline = Timeline(settings.instance)
        self.links: Links | None = None
        self._events: collections.deque[EntryEvent] = collections.deque()
        self._is_handling = False
        self._is_fast_tick_scheduled = False
        self._ports: list = []

    def start(self, links: Links) -> None:
        """Creates the reducer's state and handlers and starts to listen."""
        self.links = links
        own = self.settings.own_instance
        peers = [
            i.name
            for i in self.settings.instances_with_role("entry")
            if i.name != own.name
        ]
        replicas = [
            i.name for i in self.settings.instances_with_role("control")
        ]
        self.state = EntryState(
            name=own.name,
            failure_domain=own.failure_domain,
            peers=tuple(peers),
            boot_id=links.boot_id,
            rng=random.Random(links.boot_id),
            control=ControlClient(tuple(replicas)),
            started_ms=monotonic_ms(),
        )
        self.calls = CallHandler(
            self.reactor,
            own.name,
            links.boot_id,
            self.metrics,
            self.handle,
        )
        self.announcements = AnnouncementHandler(
            self.settings.server_token_folder, self.handle
        )
        self.operators = EntryOperatorHandler(self)
        share_memory(self.budget)
        self.probes = ProbeSender(self.calls, self.metrics, self.handle)
        self.site = CallerSite(
            self._on_request,
            self.calls.on_caller_disconnected,
            limits=SiteLimits(
                budget=self.budget,
                report_misuse=self.client_reports.reporter("callers"),
                has_servers=True,
                body_copies=SENT_BODY_COPIES,
            ),
        )
        self._ports = [
            listen(self.reactor, own.callers_address, self.site),
            listen(self.reactor, own.operators_address, self.operators.site()),
        ]
        self.timeline.record(wall_ms(), EventKind.STARTED)
        log.info("Listening for callers at %s.", own.callers_address)

    def tick(self) -> None:
        """Passes the current time to the reducer and schedules the next tick.

        Without open calls the interval is longer, because waking the
        process costs more than the work of an idle tick.
        """
        self._is_fast_tick_scheduled = False
        self.handle(Tick(monotonic_ms()))
        if not self._is_fast_tick_scheduled:
            self._schedule_tick(IDLE_TICK_MS)

    def _schedule_tick(self, delay_ms: float) -> None:
        key = f"{self.settings.instance}.tick"
        self.timers.start(key, monotonic_ms() + delay_ms, self.tick)

    def receive(self, envelopes: list[Envelope]) -> None:
        """Handles messages from other instances."""
        for event in message_events(envelopes, self.timeline):
            self.handle(event)

    def handle(self, event: EntryEvent) -> None:
        """Handles an event and performs its effects.

        Events that arise from effects are queued and handled in order.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                for effect in reduce_entry(self.state, self._events.popleft()):
                    self._perform(effect)
        finally:
            self._is_handling = False
        if self.state.calls and not self._is_fast_tick_scheduled:
            self._is_fast_tick_scheduled = True
            self._schedule_tick(TICK_MS)

    def _perform(self, effect: EntryEffect) -> None:
        match effect:
            case Dispatch():
                self.calls.dispatch(effect)
            case AnswerCaller():
                self.calls.answer(effect)
            case RecordEvent():
                self._record_event(effect)
            case SendMessage():
                self.links.send(effect.receiver, effect.message)
            case RefuseCaller():
                self.calls.refuse(effect)
            case ReplayAnswer():
                self.calls.replay_answer(effect)
            case CancelAttempt():
                self.calls.cancel(effect)
            case ProbeServer():
                self.probes.probe(effect.notice)
            case CloseConnections():
                pool = self.calls.pools.get(effect.key)
                if pool is not None:
                    pool.close_idle_opened_before(effect.opened_before_ms)
            case CloseIdleConnections():
                self.calls.close_idle_connections(effect.key)
            case AcceptAnnouncement() | RefuseAnnouncement():
                self.announcements.finish(effect)
            case FinishCommand():
                self.operators.complete(effect.request_id, effect.result)
            case FinishStatus():
                self.operators.complete(effect.request_id, effect.status)

    def _record_event(self, effect: RecordEvent) -> None:
        self.timeline.record(
            wall_ms(),
            effect.kind,
            effect.subject,
            effect.detail,
            effect.request_id,
        )
        if effect.kind in LOGGED_KINDS:
            log.info(
                "%s %s %s.",
                effect.kind.value.capitalize(),
                effect.subject,
                effect.detail,
            )
        if effect.kind is EventKind.CONFIG_IN_FORCE:
            limits = [
                service.settings.request_limit_bytes
                for service in self.state.services.values()
            ]
            if limits:
                self.site.bounds = CallerBounds(body_bytes=max(limits))

    def _on_request(self, request: CallerRequest) -> None:
        if request.path.startswith(b"/gentianwall/"):
            self.announcements.handle_request(request)
        elif request.path in (b"/livez", b"/readyz", b"/prices"):
            self.operators.answer_public_page(request)
        else:
            self.calls.on_request_arrived(request)

    @property
    def is_idle(self) -> bool:
        """Whether no call, control request or caller's connection is open."""
        return not (
            self.calls.open_calls
            or self.state.control.pending
            or self.site.channels
        )

    def begin_drain(self) -> None:
        """Starts draining: reports not ready but serves connected callers."""
        self.handle(DrainStarted(monotonic_ms()))

    def stop_listening(self) -> None:
        """Stops accepting connections and closes those without a request."""
        stop_listening(self._ports, self.site)


@contextlib.contextmanager
def run_entry(
    settings: Settings, reactor, timers: TimerService
) -> Iterator[EntryRuntime]:
    """Runs an entry for as long as the context lasts."""
    runtime = EntryRuntime(settings, reactor, timers)
    with contextlib.ExitStack() as stack:
        links = stack.enter_context(
            open_links(
                make_link_setup(settings),
                reactor,
                runtime.timeline,
                runtime.receive,
            )
        )
        runtime.start(links)
        name = settings.instance
        runtime.tick()
        stack.callback(timers.cancel, f"{name}.tick")
        stack.enter_context(
            watch_memory(
                f"{name}.memory", runtime.budget, settings.memory_mb, timers
            )
        )
        stack.enter_context(
            timers.every(
                f"{name}.sweep",
                SILENCE_CHECK_MS,
                runtime.calls.check_silent_attempts,
            )
        )
        yield runtime
        runtime.stop_listening()
