"""Drives the reducer of a control instance with links and a journal."""

from __future__ import annotations

import contextlib
import random
import traceback
from collections.abc import Callable, Iterator

import attrs

from gentianwall.claims.snapshot_codec import encode_register
from gentianwall.config.settings import Settings
from gentianwall.control.messages import (
    CommandRefused,
    CommandReply,
    ConfigurationReply,
)
from gentianwall.core.control import (
    ControlEffect,
    ControlEvent,
    ControlState,
    reduce_control,
)
from gentianwall.core.effects import RecordEvent, SendMessage
from gentianwall.core.events import MessageArrived, Tick
from gentianwall.core.feed import DEFAULT_SERVER_SILENCE_MS
from gentianwall.links.messages import Envelope, Message
from gentianwall.links.sockets import (
    Links,
    LinkSetup,
    link_setup_of,
    open_links,
)
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
from gentianwall.replication.restore import persistent_state_of, restore_replica
from gentianwall.replication.state import Role, Timing
from gentianwall.runtime.plumbing import (
    ControlFailedError,
    listen,
    message_events,
)
from gentianwall.storage.journal import (
    FREE_SPACE_RESERVE_BYTES,
    Journal,
    JournalDamaged,
)
from gentianwall.timeline import EventKind, Timeline
from gentianwall.timers import TimerService, monotonic_ms, wall_ms

log = get_logger("control")

TICK_MS = 50.0
SPACE_CHECK_MS = 1000.0
# A disk that has room again is used within a fifth of an operator's patience.
STORE_AGAIN_MS = 200.0
SNAPSHOT_AGAIN_MS = 1000.0


# What answers requests of this instance's own callers.
GATE_ANSWERS = (CommandReply, CommandRefused, ConfigurationReply)


@attrs.frozen(kw_only=True)
class ControlSetup:
    """What a control instance is told at its start.

    Attributes:
        name: Its name, as the other replicas know it.
        data_folder: Folder of its journal.
        peers: Names of the other control instances that are known.
        entries: Names of the entries that are listed.
        timing: Time limits of the log.
        target_voters: How many replicas vote; 0 for all that join.
        server_silence_ms: Time after which a server counts as silent.
        is_replaceable: Whether it joins with an empty disk if its journal is
            damaged; else it does not start.
        free_space_bytes: Free space below which no command is taken; 0 to
            take commands until a write is refused.
    """

    name: str
    data_folder: str
    peers: tuple[str, ...]
    entries: tuple[str, ...] = ()
    timing: Timing = attrs.field(factory=Timing)
    target_voters: int = 0
    server_silence_ms: float = DEFAULT_SERVER_SILENCE_MS
    is_replaceable: bool = False
    free_space_bytes: int = FREE_SPACE_RESERVE_BYTES


class ControlRuntime:
    """One control instance.

    Attributes:
        receive_reply: Takes what this instance sends to itself.
        fault: Why it ends by itself; empty while it works.
        unstored: Effects whose writing the disk refused; until they are
            written nothing else happens here.
    """

    def __init__(self, setup: ControlSetup, reactor, timers: TimerService):
        self.setup = setup
        self.reactor = reactor
        self.timers = timers
        self.metrics = Metrics()
        self.timeline = Timeline(setup.name)
        self.links: Links | None = None
        self.journal = Journal(setup.data_folder)
        self.receive_reply: Callable[[Message], None] = _ignore
        self.fault = ""
        self.unstored: list[ControlEffect] = []

    def recover(self) -> None:
        """Reads the journal and rebuilds the replica.

        Raises:
            ControlFailedError: The journal is damaged.
        """
        recovered = self.journal.recover()
        is_damaged = isinstance(recovered, JournalDamaged)
        if is_damaged and self.setup.is_replaceable:
            log.error("%s. It joins with an empty disk.", recovered)
            self.journal.rename_damaged_files()
            recovered = self.journal.recover()
        if isinstance(recovered, JournalDamaged):
            raise ControlFailedError(str(recovered))
        setup = self.setup
        replica = restore_replica(
            recovered,
            name=setup.name,
            peers=setup.peers,
            timing=setup.timing,
            seed=random.SystemRandom().getrandbits(64),
            now_ms=monotonic_ms(),
            target_voters=setup.target_voters,
        )
        self.state = ControlState(replica, setup.entries)
        self.state.feed.server_silence_ms = setup.server_silence_ms
        log.info(
            "Journal read. Term %d, last entry %d, disk %s, member %s.",
            replica.term,
            replica.log.last_index,
            replica.disk_id,
            replica.is_member,
        )

    def start(self, links: Links) -> None:
        """Takes messages."""
        self.links = links
        self.timeline.record(wall_ms(), EventKind.STARTED)

    def tick(self) -> None:
        """Tells the core that time went on."""
        self._handle([Tick(monotonic_ms())])

    def check_space(self) -> None:
        """Refuses new commands while the disk is nearly full."""
        is_full = not self.journal.has_space(self.setup.free_space_bytes)
        if is_full and not self.state.is_disk_full:
            log.error("Disk nearly full. New changes are refused.")
        self.state.is_disk_full = is_full

    def receive(self, envelopes: list[Envelope]) -> None:
        """Takes messages of other instances, in one batch."""
        events = []
        for event in message_events(envelopes, self.timeline):
            if isinstance(event.message, GATE_ANSWERS):
                self.receive_reply(event.message)
            else:
                events.append(event)
        if events:
            self._handle(events)

    def handle_own(self, event: MessageArrived) -> None:
        """Takes a message that this instance sends to itself."""
        self._handle([event])

    def _handle(self, events: list[ControlEvent]) -> None:
        """Reduces a batch of events; one sync serves them all."""
        if self.unstored:
            return  # As if they were lost on the way; senders repeat.
        if self.fault:
            return
        effects: list[ControlEffect] = []
        try:
            for event in [*events, BatchEnded(monotonic_ms())]:
                effects += reduce_control(self.state, event)
        except Exception as error:  # noqa: BLE001 - any fault ends it
            self._fail(error)
            return
        self._carry_out(effects)

    def _fail(self, error: Exception) -> None:
        """Ends the process: a state half changed must not be told to anyone.

        What it has promised is in the journal, from which it starts anew.
        """
        self.fault = f"{type(error).__name__}: {error}"
        log.critical("Event not handled. %s", traceback.format_exc())
        self.reactor.callLater(0, self.reactor.stop)

    def _carry_out(self, effects: list[ControlEffect]) -> None:
        if not self._store(effects):
            self.unstored = effects
            self.timers.start(
                f"{self.setup.name}.store",
                monotonic_ms() + STORE_AGAIN_MS,
                self._store_again,
            )
            return
        own = []
        for effect in effects:
            match effect:
                case TakeSnapshot():
                    self.reactor.callInThread(self._take_snapshot, effect)
                case SendMessage(receiver=self.setup.name):
                    own.append(effect.message)
                case SendMessage():
                    self.links.send(effect.receiver, effect.message)
                case RecordEvent():
                    self._record(effect)
        for message in own:
            self.receive_reply(message)

    def _store_again(self) -> None:
        """Writes what the disk refused; it held nothing up meanwhile."""
        effects, self.unstored = self.unstored, []
        self._carry_out(effects)
        if not self.unstored:
            log.info("Journal written again. Work goes on.")

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
            log.error("Snapshot not written: %s. It is tried again.", error)
            self.reactor.callFromThread(
                self.timers.start,
                f"{self.setup.name}.snapshot",
                monotonic_ms() + SNAPSHOT_AGAIN_MS,
                lambda: self.reactor.callInThread(self._take_snapshot, effect),
            )
            return
        event = SnapshotTaken(monotonic_ms(), snapshot)
        self.reactor.callFromThread(self._handle, [event])

    def _store(self, effects: list[ControlEffect]) -> bool:
        """Writes and syncs what must be kept; returns whether it is kept.

        What is in memory is ahead of a disk that refuses, so nothing of it
        may be told to anyone until it is written.
        """
        storage = [
            effect
            for effect in effects
            if isinstance(effect, StoreTerm | StoreEntries | StoreSnapshot)
        ]
        if not storage:
            return True
        kept = persistent_state_of(self.state.replica)
        try:
            self.journal.store(storage, kept)
        except OSError as error:
            log.error("Journal not written: %s. Work waits for it.", error)
            return False
        return True

    def _record(self, effect: RecordEvent) -> None:
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


@contextlib.contextmanager
def run_control(
    setup: ControlSetup,
    link_setup: LinkSetup,
    reactor,
    timers: TimerService,
) -> Iterator[ControlRuntime]:
    """Runs a control instance for as long as the context lasts.

    Raises:
        ControlFailedError: The journal is damaged, or an event was not
            handled.
    """
    runtime = ControlRuntime(setup, reactor, timers)
    runtime.recover()
    with contextlib.ExitStack() as stack:
        stack.callback(runtime.journal.close)
        links = stack.enter_context(
            open_links(link_setup, reactor, runtime.timeline, runtime.receive)
        )
        runtime.start(links)
        name = setup.name
        stack.enter_context(timers.every(f"{name}.tick", TICK_MS, runtime.tick))
        stack.enter_context(
            timers.every(f"{name}.space", SPACE_CHECK_MS, runtime.check_space)
        )
        yield runtime
    if runtime.fault:
        raise ControlFailedError(runtime.fault)


@contextlib.contextmanager
def run_listed_control(
    settings: Settings, reactor, timers: TimerService
) -> Iterator[ControlRuntime]:
    """Runs a control instance whose settings list all others."""
    # A fleet's control instances have no operators' pages.
    from gentianwall.runtime.operators import ControlDesk

    own = settings.own
    timing = settings.replication
    setup = ControlSetup(
        name=own.name,
        data_folder=settings.data_folder,
        peers=tuple(
            i.name for i in settings.with_role("control") if i.name != own.name
        ),
        entries=tuple(i.name for i in settings.with_role("entry")),
        timing=Timing(
            heartbeat_ms=timing.heartbeat_ms,
            election_timeout_ms=timing.election_timeout_ms,
            snapshot_entries=timing.snapshot_entries,
        ),
    )
    link_setup = link_setup_of(settings)
    with run_control(setup, link_setup, reactor, timers) as runtime:
        desk = ControlDesk(runtime, settings)
        port = listen(reactor, own.operators_address, desk.site())
        yield runtime
        port.stopListening()


def _ignore(message: Message) -> None:
    log.warning("%s to itself dropped.", type(message).__name__)
