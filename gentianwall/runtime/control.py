"""Drives the reducer of a control instance with links and a journal."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator

from gentianwall.claims.image import encode_register
from gentianwall.config.settings import Settings
from gentianwall.core.control import (
    ControlEffect,
    ControlEvent,
    ControlState,
    reduce_control,
)
from gentianwall.core.effects import Record, SendMessage
from gentianwall.core.events import Tick
from gentianwall.links.messages import Envelope
from gentianwall.links.sockets import Links, open_links
from gentianwall.logs import get_logger
from gentianwall.metrics import Metrics
from gentianwall.replication.effects import (
    StoreEntries,
    StoreSnapshot,
    StoreTerm,
    TakeSnapshot,
)
from gentianwall.replication.messages import Snapshot
from gentianwall.replication.replica import BatchEnded, SnapshotTaken
from gentianwall.replication.restore import kept_of, restore_replica
from gentianwall.replication.state import Role, Timing
from gentianwall.runtime.operators import ControlDesk
from gentianwall.runtime.plumbing import events_of, listen
from gentianwall.storage.journal import Journal, JournalDamaged
from gentianwall.timeline import EventKind, Timeline
from gentianwall.timers import TimerService, monotonic_ms, wall_ms

log = get_logger("control")

TICK_MS = 50.0
SPACE_CHECK_MS = 1000.0


class ControlFailedError(Exception):
    """The control instance cannot go on; nothing unsynced was promised."""


class ControlRuntime:
    """One control instance."""

    def __init__(self, settings: Settings, reactor, timers: TimerService):
        self.settings = settings
        self.reactor = reactor
        self.timers = timers
        self.metrics = Metrics()
        self.timeline = Timeline(settings.instance)
        self.links: Links | None = None
        self.journal = Journal(settings.data_folder)
        self._ports: list = []

    def recover(self) -> None:
        """Reads the journal and rebuilds the replica.

        Raises:
            ControlFailedError: The journal is damaged.
        """
        recovered = self.journal.recover()
        if isinstance(recovered, JournalDamaged):
            raise ControlFailedError(str(recovered))
        own = self.settings.own
        controls = self.settings.with_role("control")
        timing = self.settings.replication
        replica = restore_replica(
            recovered,
            name=own.name,
            peers=tuple(i.name for i in controls if i.name != own.name),
            timing=Timing(
                heartbeat_ms=timing.heartbeat_ms,
                election_timeout_ms=timing.election_timeout_ms,
                snapshot_entries=timing.snapshot_entries,
            ),
            seed=random.SystemRandom().getrandbits(64),
            now_ms=monotonic_ms(),
        )
        entries = tuple(i.name for i in self.settings.with_role("entry"))
        self.state = ControlState(replica, entries)
        log.info(
            "Journal read. Term %d, last entry %d.",
            replica.term,
            replica.log.last_index,
        )

    def start(self, links: Links) -> None:
        """Listens."""
        self.links = links
        self.desk = ControlDesk(self)
        address = self.settings.own.operators_address
        self._ports = [listen(self.reactor, address, self.desk.site())]
        self.timeline.record(wall_ms(), EventKind.STARTED)

    def tick(self) -> None:
        """Tells the core that time went on."""
        self._handle([Tick(monotonic_ms())])

    def check_space(self) -> None:
        """Refuses new commands while the disk is nearly full."""
        is_full = not self.journal.has_space()
        if is_full and not self.state.is_disk_full:
            log.error("Disk nearly full. New changes are refused.")
        self.state.is_disk_full = is_full

    def receive(self, envelopes: list[Envelope]) -> None:
        """Takes messages of other instances, in one batch."""
        self._handle(list(events_of(envelopes, self.timeline)))

    def _handle(self, events: list[ControlEvent]) -> None:
        """Reduces a batch of events; one sync serves them all."""
        effects: list[ControlEffect] = []
        for event in [*events, BatchEnded(monotonic_ms())]:
            effects += reduce_control(self.state, event)
        self._store(effects)
        for effect in effects:
            match effect:
                case TakeSnapshot():
                    self.reactor.callInThread(self._take_snapshot, effect)
                case SendMessage():
                    self.links.send(effect.receiver, effect.message)
                case Record():
                    self._record(effect)

    def _take_snapshot(self, effect: TakeSnapshot) -> None:
        """Packs a snapshot and writes its file; runs in a thread."""
        snapshot = Snapshot(
            effect.index,
            effect.term,
            effect.members,
            encode_register(effect.register),
        )
        try:
            self.journal.write_snapshot(snapshot)
        except OSError as error:
            self.reactor.callFromThread(self._fail, error)
            return
        event = SnapshotTaken(monotonic_ms(), snapshot)
        self.reactor.callFromThread(self._handle, [event])

    def _fail(self, error: OSError) -> None:
        """Ends the process.

        What is in memory may now be ahead of the disk, so nothing of it may
        be told to anyone.
        """
        log.error("Journal not written: %s. The process ends.", error)
        if self.reactor.running:
            self.reactor.stop()
        raise ControlFailedError(str(error)) from error

    def _store(self, effects: list[ControlEffect]) -> None:
        storage = [
            effect
            for effect in effects
            if isinstance(effect, StoreTerm | StoreEntries | StoreSnapshot)
        ]
        if not storage:
            return
        kept = kept_of(self.state.replica)
        try:
            self.journal.store(storage, kept)
        except OSError as error:
            self._fail(error)

    def _record(self, effect: Record) -> None:
        self.timeline.record(
            wall_ms(), effect.kind, effect.subject, effect.detail
        )
        log.info(
            "%s %s %s.",
            effect.kind.value.capitalize(),
            effect.subject,
            effect.detail,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the replica follows or leads."""
        replica = self.state.replica
        return replica.role is Role.LEADER or bool(replica.leader)

    def stop_listening(self) -> None:
        """Takes no further connections."""
        for port in self._ports:
            port.stopListening()
        self._ports.clear()


@contextlib.contextmanager
def run_control(
    settings: Settings, reactor, timers: TimerService
) -> Iterator[ControlRuntime]:
    """Runs a control instance for as long as the context lasts."""
    runtime = ControlRuntime(settings, reactor, timers)
    runtime.recover()
    with contextlib.ExitStack() as stack:
        stack.callback(runtime.journal.close)
        links = stack.enter_context(
            open_links(settings, reactor, runtime.timeline, runtime.receive)
        )
        runtime.start(links)
        name = settings.instance
        stack.enter_context(timers.every(f"{name}.tick", TICK_MS, runtime.tick))
        stack.enter_context(
            timers.every(f"{name}.space", SPACE_CHECK_MS, runtime.check_space)
        )
        yield runtime
        runtime.stop_listening()
