"""Driver of a control instance: links, journal and timers."""

from __future__ import annotations

import contextlib
import random
import secrets
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
    make_link_setup,
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
from gentianwall.replication.replica import (
    BatchEnded,
    SnapshotRefused,
    SnapshotTaken,
)
from gentianwall.replication.restore import persistent_state_of, restore_replica
from gentianwall.replication.state import Role, Timing
from gentianwall.runtime.common import (
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
# As long as the digests of the signatures made with it.
RELAY_KEY_BYTES = 32
SPACE_CHECK_MS = 1000.0
# Writes resume at most this long after space is freed on a full disk, a fifth
# of the time for which an operator is expected to wait.
STORE_RETRY_MS = 200.0
SNAPSHOT_RETRY_MS = 1000.0


# Replies to requests that this instance sent for servers and operators.
REPLY_TYPES = (CommandReply, CommandRefused, ConfigurationReply)


@attrs.frozen(kw_only=True)
class ControlSetup:
    """Configuration of a control instance at its start.

    Attributes:
        name: Name of this replica.
        data_folder: Folder of the journal.
        peers: Names of the other known control instances.
        entries: Names of the entries that the settings list.
        timing: Intervals and limits of replication.
        target_voters: Number of voting replicas; 0 lets every replica that
            joins vote.
        server_silence_ms: Time without contact after which a server is marked
            silent.
        can_rejoin_empty: Whether the instance sets a damaged journal aside and
            joins with an empty disk; otherwise it does not start.
        free_space_bytes: Free disk space below which commands are refused; 0
            accepts commands until a write fails.
    """

    name: str
    data_folder: str
    peers: tuple[str, ...]
    entries: tuple[str, ...] = ()
    timing: Timing = attrs.field(factory=Timing)
    target_voters: int = 0
    server_silence_ms: float = DEFAULT_SERVER_SILENCE_MS
    can_rejoin_empty: bool = False
    free_space_bytes: int = FREE_SPACE_RESERVE_BYTES


class ControlRuntime:
    """Runs the reducer of a control instance and performs its effects.

    Attributes:
        receive_reply: Handles messages that the reducer sends to this
            instance itself, and replies from other instances.
        fault: Unhandled exception that stops the process; empty if none.
        unstored_effects: Effects whose write to disk failed. Until they are
            written, messages and ticks are dropped and no effect is performed
            but that a snapshot is taken, which may make room.
        is_snapshot_refused: Whether a timer runs until the next snapshot, since
            the disk refused one.
    """

    def __init__(self, setup: ControlSetup, reactor, timers: TimerService):
        self.setup = setup
        self.reactor = reactor
        self.timers = timers
        self.metrics = Metrics()
        self.timeline = Timeline(setup.name)
        self.links: Links | None = None
        self.journal = Journal(setup.data_folder)
        self.receive_reply: Callable[[Message], None] = _drop_message
        self.fault = ""
        self.unstored_effects: list[ControlEffect] = []
        self.is_snapshot_refused = False

    def recover(self) -> None:
        """Reads the journal and rebuilds the replica.

        Raises:
            ControlFailedError: The journal is damaged.
        """
        recovered = self.journal.recover()
        is_damaged = isinstance(recovered, JournalDamaged)
        if is_damaged and self.setup.can_rejoin_empty:
            log.error(
                "%s. The damaged files are renamed and the instance joins with "
                "an empty disk.",
                recovered,
            )
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
        self.state.feed.started_ms = monotonic_ms()
        self.state.feed.relay_key = secrets.token_bytes(RELAY_KEY_BYTES)
        log.info(
            "Journal read. Term %d, last entry %d, disk %s, member %s.",
            replica.term,
            replica.log.last_index,
            replica.disk_id,
            replica.is_member,
        )

    def start(self, links: Links) -> None:
        """Sets the links and records the start in the timeline."""
        self.links = links
        self.timeline.record(wall_ms(), EventKind.STARTED)

    def tick(self) -> None:
        """Passes the current time to the reducer."""
        self._handle([Tick(monotonic_ms())])

    def check_free_space(self) -> None:
        """Refuses new commands while free disk space is below the limit."""
        is_full = not self.journal.has_space(self.setup.free_space_bytes)
        if is_full and not self.state.is_disk_full:
            log.error("Disk nearly full. New changes are refused.")
        self.state.is_disk_full = is_full

    def receive(self, envelopes: list[Envelope]) -> None:
        """Handles a batch of messages from other instances."""
        events = []
        for event in message_events(envelopes, self.timeline):
            if isinstance(event.message, REPLY_TYPES):
                self.receive_reply(event.message)
            else:
                events.append(event)
        if events:
            self._handle(events)

    def handle_self_message(self, event: MessageArrived) -> None:
        """Passes a message from this instance to its own reducer."""
        self._handle([event])

    def _handle(self, events: list[ControlEvent]) -> None:
        """Handles a batch of events with a single sync of the journal.

        Drops the events while effects are unstored or after a fault.
        """
        if self.unstored_effects:
            return  # As if lost in the network; the senders resend.
        self._reduce(events)

    def _reduce(self, events: list[ControlEvent]) -> None:
        if self.fault:
            return
        effects: list[ControlEffect] = []
        try:
            for event in [*events, BatchEnded(monotonic_ms())]:
                effects += reduce_control(self.state, event)
        except Exception as error:  # noqa: BLE001 - any exception stops the process
            self._stop_on_fault(error)
            return
        self._perform(effects)

    def _stop_on_fault(self, error: Exception) -> None:
        """Stops the process, since its state may be partly changed.

        No message may be sent from such a state. Everything acknowledged to
        other instances is in the journal, which is read at the restart.
        """
        self.fault = f"{type(error).__name__}: {error}"
        log.critical(
            "Event not handled; the process stops. %s", traceback.format_exc()
        )
        self.reactor.callLater(0, self.reactor.stop)

    def _perform(self, effects: list[ControlEffect]) -> None:
        """Stores and performs effects, or keeps them until they are stored."""
        for effect in effects:
            if isinstance(effect, TakeSnapshot):
                self.reactor.callInThread(self._write_snapshot, effect)
        effects = [e for e in effects if not isinstance(e, TakeSnapshot)]
        if self.unstored_effects:
            self.unstored_effects += effects
            return
        try:
            is_stored = self._store(effects)
        except Exception as error:  # noqa: BLE001 - any exception stops the process
            # The disk can never hold what memory has, so no retry helps.
            self._stop_on_fault(error)
            return
        if not is_stored:
            self.unstored_effects = effects
            self.timers.start(
                f"{self.setup.name}.store",
                monotonic_ms() + STORE_RETRY_MS,
                self._retry_store,
            )
            return
        if any(isinstance(effect, StoreSnapshot) for effect in effects):
            self._hasten_snapshot()
        self_messages = []
        for effect in effects:
            match effect:
                case SendMessage(receiver=self.setup.name):
                    self_messages.append(effect.message)
                case SendMessage():
                    self.links.send(effect.receiver, effect.message)
                case RecordEvent():
                    self._record_event(effect)
        for message in self_messages:
            self.receive_reply(message)

    def _retry_store(self) -> None:
        """Retries the failed write.

        A timer calls it, so that the reactor runs between the retries.
        """
        effects, self.unstored_effects = self.unstored_effects, []
        self._perform(effects)
        if self.unstored_effects:
            return
        log.info("Journal written after a retry. Messages are handled again.")
        self._hasten_snapshot()

    def _write_snapshot(self, effect: TakeSnapshot) -> None:
        """Encodes the register and writes a snapshot file; runs in a thread."""
        snapshot = Snapshot(
            effect.index,
            effect.term,
            effect.members,
            encode_register(effect.register),
        )
        try:
            self.journal.write_snapshot(snapshot)
        except OSError as error:
            log.error("Snapshot not written: %s. Another is written.", error)
            self.reactor.callFromThread(self._on_snapshot_refused)
            return
        self.reactor.callFromThread(
            self._report_snapshot, SnapshotTaken(monotonic_ms(), snapshot)
        )

    def _on_snapshot_refused(self) -> None:
        self.is_snapshot_refused = True
        self._schedule_snapshot(SNAPSHOT_RETRY_MS)

    def _hasten_snapshot(self) -> None:
        """Takes the next snapshot at once if the disk has refused one.

        Called when the disk has room again: an instance that then catches up
        could fill it before the timer fires.
        """
        if self.is_snapshot_refused:
            self._schedule_snapshot(0.0)

    def _schedule_snapshot(self, delay_ms: float) -> None:
        self.timers.start(
            f"{self.setup.name}.snapshot",
            monotonic_ms() + delay_ms,
            self._retry_snapshot,
        )

    def _retry_snapshot(self) -> None:
        self.is_snapshot_refused = False
        self._report_snapshot(SnapshotRefused(monotonic_ms()))

    def _report_snapshot(self, report: SnapshotTaken | SnapshotRefused) -> None:
        """Reports the end of a snapshot, also while effects are unstored.

        The report must not be lost: it is not sent again, and the replica takes
        no other snapshot before it. The new journal also holds what is unstored
        and may fit where the old one has no room to grow.
        """
        self._reduce([report])

    def _store(self, effects: list[ControlEffect]) -> bool:
        """Writes and syncs storage effects; returns whether that succeeded.

        After a failed write the state in memory is ahead of the disk, so no
        message may be sent from it until the write succeeds.
        """
        storage = [
            effect
            for effect in effects
            if isinstance(effect, StoreTerm | StoreEntries | StoreSnapshot)
        ]
        if not storage:
            return True
        persistent_state = persistent_state_of(self.state.replica)
        try:
            self.journal.store(storage, persistent_state)
        except OSError as error:
            log.error(
                "Journal not written: %s. Messages are dropped until a retry "
                "succeeds.",
                error,
            )
            return False
        return True

    def _record_event(self, effect: RecordEvent) -> None:
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
        """Whether the replica leads or knows the leader."""
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
        ControlFailedError: The journal is damaged, or the process stopped
            at an unhandled exception.
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
            timers.every(
                f"{name}.space", SPACE_CHECK_MS, runtime.check_free_space
            )
        )
        yield runtime
    if runtime.fault:
        raise ControlFailedError(runtime.fault)


@contextlib.contextmanager
def run_listed_control(
    settings: Settings, reactor, timers: TimerService
) -> Iterator[ControlRuntime]:
    """Runs a control instance whose settings list all other instances."""
    # Imported here: control instances of a fleet have no operators' pages.
    from gentianwall.runtime.operators import ControlOperatorHandler

    own = settings.own_instance
    timing = settings.replication
    setup = ControlSetup(
        name=own.name,
        data_folder=settings.data_folder,
        peers=tuple(
            i.name
            for i in settings.instances_with_role("control")
            if i.name != own.name
        ),
        entries=tuple(i.name for i in settings.instances_with_role("entry")),
        timing=Timing(
            heartbeat_ms=timing.heartbeat_ms,
            election_timeout_ms=timing.election_timeout_ms,
            snapshot_entries=timing.snapshot_entries,
        ),
    )
    link_setup = make_link_setup(settings)
    with run_control(setup, link_setup, reactor, timers) as runtime:
        handler = ControlOperatorHandler(runtime, settings)
        port = listen(reactor, own.operators_address, handler.site())
        yield runtime
        port.stopListening()


def _drop_message(message: Message) -> None:
    log.warning(
        "Message %s to this instance dropped: no receiver is set.",
        type(message).__name__,
    )
