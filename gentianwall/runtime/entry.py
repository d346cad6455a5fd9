"""Drives the reducer of an entry with sockets and clocks."""

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
from gentianwall.http.announcements import AnnouncementDesk
from gentianwall.http.channel import CallerBounds, CallerRequest, CallerSite
from gentianwall.links.messages import Envelope
from gentianwall.links.sockets import Links, link_setup_of, open_links
from gentianwall.logs import get_logger
from gentianwall.metrics import Metrics
from gentianwall.runtime.calls import CallDesk
from gentianwall.runtime.operators import OperatorDesk
from gentianwall.runtime.plumbing import listen, message_events, stop_listening
from gentianwall.runtime.probes import ProbeDesk
from gentianwall.timeline import EventKind, Timeline
from gentianwall.timers import TimerService, monotonic_ms, wall_ms

log = get_logger("entry")

TICK_MS = 5.0
IDLE_TICK_MS = 25.0
SWEEP_MS = 100.0
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
    """One entry."""

    def __init__(self, settings: Settings, reactor, timers: TimerService):
        self.settings = settings
        self.reactor = reactor
        self.timers = timers
        self.metrics = Metrics()
        self.timeline = Timeline(settings.instance)
        self.links: Links | None = None
        self._events: collections.deque[EntryEvent] = collections.deque()
        self._is_busy = False
        self._is_tick_soon = False
        self._ports: list = []

    def start(self, links: Links) -> None:
        """Builds the core and listens."""
        self.links = links
        own = self.settings.own
        peers = [
            i.name
            for i in self.settings.with_role("entry")
            if i.name != own.name
        ]
        replicas = [i.name for i in self.settings.with_role("control")]
        self.state = EntryState(
            name=own.name,
            failure_domain=own.failure_domain,
            peers=tuple(peers),
            boot_id=links.boot_id,
            rng=random.Random(links.boot_id),
            control=ControlClient(tuple(replicas)),
            started_ms=monotonic_ms(),
        )
        self.calls = CallDesk(
            self.reactor,
            own.name,
            links.boot_id,
            self.metrics,
            self.handle,
        )
        self.announcements = AnnouncementDesk(
            self.settings.server_token_folder, self.handle
        )
        self.operators = OperatorDesk(self)
        self.probes = ProbeDesk(self.calls, self.metrics, self.handle)
        self.site = CallerSite(self._on_request, self.calls.gone)
        self._ports = [
            listen(self.reactor, own.callers_address, self.site),
            listen(self.reactor, own.operators_address, self.operators.site()),
        ]
        self.timeline.record(wall_ms(), EventKind.STARTED)
        log.info("Callers are served at %s.", own.callers_address)

    def tick(self) -> None:
        """Tells the core that time went on; less often without calls.

        A wake-up costs more than what is done in it, so an idle entry
        sleeps longer.
        """
        self._is_tick_soon = False
        self.handle(Tick(monotonic_ms()))
        if not self._is_tick_soon:
            self._arm_tick(IDLE_TICK_MS)

    def _arm_tick(self, delay_ms: float) -> None:
        key = f"{self.settings.instance}.tick"
        self.timers.start(key, monotonic_ms() + delay_ms, self.tick)

    def receive(self, envelopes: list[Envelope]) -> None:
        """Takes messages of other instances."""
        for event in message_events(envelopes, self.timeline):
            self.handle(event)

    def handle(self, event: EntryEvent) -> None:
        """Takes an event to the core; effects may bring further events."""
        self._events.append(event)
        if self._is_busy:
            return
        self._is_busy = True
        try:
            while self._events:
                for effect in reduce_entry(self.state, self._events.popleft()):
                    self._perform(effect)
        finally:
            self._is_busy = False
        if self.state.calls and not self._is_tick_soon:
            self._is_tick_soon = True
            self._arm_tick(TICK_MS)

    def _perform(self, effect: EntryEffect) -> None:
        match effect:
            case Dispatch():
                self.calls.dispatch(effect)
            case AnswerCaller():
                self.calls.answer(effect)
            case RecordEvent():
                self._record(effect)
            case SendMessage():
                self.links.send(effect.receiver, effect.message)
            case RefuseCaller():
                self.calls.refuse(effect)
            case ReplayAnswer():
                self.calls.answer_recorded(effect)
            case CancelAttempt():
                self.calls.cancel(effect)
            case ProbeServer():
                self.probes.probe(effect.notice)
            case CloseConnections():
                pool = self.calls.pools.get(effect.key)
                if pool is not None:
                    pool.close_older(effect.opened_before_ms)
            case CloseIdleConnections():
                self.calls.forget(effect.key)
            case AcceptAnnouncement() | RefuseAnnouncement():
                self.announcements.finish(effect)
            case FinishCommand():
                self.operators.finish(effect.request_id, effect.result)
            case FinishStatus():
                self.operators.finish(effect.request_id, effect.status)

    def _record(self, effect: RecordEvent) -> None:
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
            self.operators.answer_platform(request)
        else:
            self.calls.open(request)

    @property
    def is_idle(self) -> bool:
        """Whether no call is in flight."""
        return not self.calls.calls and not self.state.control.pending

    def begin_drain(self) -> None:
        """Turns unready; callers already connected are still answered."""
        self.handle(DrainStarted(monotonic_ms()))

    def stop_listening(self) -> None:
        """Takes no further connections."""
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
                link_setup_of(settings),
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
            timers.every(f"{name}.sweep", SWEEP_MS, runtime.calls.sweep_silent)
        )
        yield runtime
        runtime.stop_listening()
