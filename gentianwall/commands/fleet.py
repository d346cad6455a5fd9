"""Runs one process of a fleet whose members are found at run time."""

from __future__ import annotations

import contextlib
import gc
import os
import signal
from collections.abc import Callable, Iterator

from twisted.internet import reactor
from twisted.internet.error import CannotListenError

from gentianwall import __version__
from gentianwall.config.fleet import FleetSettings, load_fleet_settings
from gentianwall.config.schema import ConfigErrors
from gentianwall.http.channel import CallerRequest, CallerSite
from gentianwall.http.dialect import Dialect
from gentianwall.logs import BoundedWriter, EventLog, get_logger
from gentianwall.replication.state import Timing
from gentianwall.runtime.control import (
    ControlFailedError,
    ControlRuntime,
    ControlSetup,
    run_control,
)
from gentianwall.runtime.gate import GATE_TICK_MS, Gate
from gentianwall.runtime.gateway import (
    GatewayRuntime,
    fleet_links,
    run_gateway,
)
from gentianwall.runtime.plumbing import listen
from gentianwall.storage.journal import Journal, JournalNotEmpty
from gentianwall.timers import TimerService, monotonic_ms

log = get_logger("fleet")

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
# Readiness is asked for every second and two misses take an entry out; new
# connections are taken until then.
UNREADY_MS = 2600.0
# The kill comes after the grace; connections are closed before it.
END_BEFORE_KILL_MS = 500.0
DRAIN_CHECK_MS = 20.0
# A control instance answers what it was asked, then ends.
CONTROL_END_MS = 300.0
SETTINGS_CHECK_MS = 1000.0
GC_ALLOCATIONS = 5000
STDOUT = 1
# Above the sync of a disk that turned slow (25 x 5 ms), and twice the longest
# pause measured of a process, docs/measurements/platform.md.
ELECTION_TIMEOUT_MS = 400.0
HEARTBEAT_MS = 80.0
SNAPSHOT_ENTRIES = 1000

ControlHandler = Callable[[Gate], Callable[[CallerRequest], None]]


def run_from_file(
    path: str, dialect: Dialect, control_handler: ControlHandler
) -> int:
    """Runs the process that a settings file describes.

    Args:
        path: The settings file.
        dialect: How headers are named.
        control_handler: Makes what answers servers and operators.
    """
    settings = load_fleet_settings(path)
    if isinstance(settings, ConfigErrors):
        print(settings)
        return EXIT_BAD_INPUT
    event_log = EventLog(settings.name, BoundedWriter(STDOUT))
    event_log.take_over()
    fields = {
        "version": __version__,
        "role": settings.role,
        "address": settings.link_address,
        "seeds": ",".join(settings.seed_links),
        "first_start": settings.is_first_start,
        "voters": settings.voters,
    }
    event_log.write("started", fields)
    timers = TimerService(reactor)
    try:
        with contextlib.ExitStack() as stack:
            if settings.role == "entry":
                context = _run_entry(settings, dialect, event_log, timers)
            else:
                context = _run_control(settings, control_handler, timers)
            reload = stack.enter_context(context)
            watcher = SettingsWatcher(path, settings, reload)
            stack.enter_context(
                timers.every("settings", SETTINGS_CHECK_MS, watcher.check)
            )
            signal.signal(
                signal.SIGHUP,
                lambda number, frame: reactor.callFromThread(watcher.read),
            )
            # A large collection would stall requests for tens of ms.
            gc.collect()
            gc.freeze()
            gc.set_threshold(GC_ALLOCATIONS)
            reactor.run(installSignalHandlers=False)
    except ControlFailedError as error:
        log.error("%s.", error)
        return EXIT_FAILED
    except CannotListenError as error:
        log.error("Address %s:%s is taken.", error.interface, error.port)
        return EXIT_FAILED
    event_log.write("stopped", {})
    event_log.writer.flush()
    return EXIT_OK


class SettingsWatcher:
    """Takes over the seeds of a settings file that changes."""

    def __init__(
        self,
        path: str,
        settings: FleetSettings,
        reload: Callable[[FleetSettings], None],
    ):
        self._path = path
        self._settings = settings
        self._reload = reload
        self._stamp = self._read_stamp()

    def _read_stamp(self) -> tuple[int, int]:
        try:
            stat = os.stat(self._path)
        except OSError:
            return (0, 0)
        return (stat.st_mtime_ns, stat.st_size)

    def check(self) -> None:
        """Reads the file if it was changed without a signal."""
        stamp = self._read_stamp()
        if stamp != self._stamp:
            self._stamp = stamp
            self.read()

    def read(self) -> None:
        """Reads the file; one that is wrong changes nothing."""
        settings = load_fleet_settings(self._path)
        if isinstance(settings, ConfigErrors):
            log.error("Settings not taken: %s.", settings)
            return
        if settings != self._settings:
            self._settings = settings
            self._reload(settings)
            log.info("Settings read. Seeds: %s.", " ".join(settings.seeds))


@contextlib.contextmanager
def _run_entry(
    settings: FleetSettings,
    dialect: Dialect,
    event_log: EventLog,
    timers: TimerService,
) -> Iterator[Callable[[FleetSettings], None]]:
    with run_gateway(settings, dialect, event_log, reactor, timers) as runtime:
        _on_end_signals(lambda: _drain(runtime, timers))

        def reload(changed: FleetSettings) -> None:
            runtime.state.seeds = changed.seed_links

        yield reload


def _drain(runtime: GatewayRuntime, timers: TimerService) -> None:
    """Turns unready, then deaf, waits for requests in flight, then ends."""
    if runtime.state.is_draining:
        return
    now_ms = monotonic_ms()
    limit_ms = now_ms + runtime.settings.grace_ms - END_BEFORE_KILL_MS
    deaf_ms = now_ms + min(UNREADY_MS, runtime.settings.grace_ms / 2)
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


@contextlib.contextmanager
def _run_control(
    settings: FleetSettings,
    control_handler: ControlHandler,
    timers: TimerService,
) -> Iterator[Callable[[FleetSettings], None]]:
    name = settings.link_address
    _found_if_first(settings)
    setup = ControlSetup(
        name=name,
        data_folder=settings.data_folder,
        peers=tuple(seed for seed in settings.seed_links if seed != name),
        timing=Timing(
            heartbeat_ms=HEARTBEAT_MS,
            election_timeout_ms=ELECTION_TIMEOUT_MS,
            snapshot_entries=SNAPSHOT_ENTRIES,
        ),
        target_voters=settings.voters,
        free_space_bytes=0,
    )
    links = fleet_links(settings)
    with run_control(setup, links, reactor, timers) as runtime:
        gate = Gate(runtime)
        site = CallerSite(control_handler(gate), lambda request: None)
        port = listen(reactor, settings.control_address, site)
        _on_end_signals(lambda: _end_control(port))

        def reload(changed: FleetSettings) -> None:
            _note_peers(runtime, changed)

        def note_members() -> None:
            _note_peers(runtime, settings)

        with (
            timers.every("gate.tick", GATE_TICK_MS, gate.tick),
            timers.every("gate.members", SETTINGS_CHECK_MS, note_members),
        ):
            yield reload


def _found_if_first(settings: FleetSettings) -> None:
    """Founds the cluster, if this is one of its seeds at their first start."""
    name = settings.link_address
    if not settings.is_first_start or name not in settings.seed_links:
        return
    founders = tuple(sorted(settings.seed_links))
    founded = Journal(settings.data_folder).found(name, founders)
    if isinstance(founded, JournalNotEmpty):
        log.info("Started again before the first start was over.")
    else:
        log.info("Founded together with %s.", " ".join(founders))


def _note_peers(runtime: ControlRuntime, settings: FleetSettings) -> None:
    """Keeps the list of control instances that may be asked."""
    replica = runtime.state.replica
    names = {*replica.peers, *settings.seed_links}
    names |= {member.replica for member in replica.members}
    names.discard(replica.name)
    replica.peers = tuple(sorted(names))
    runtime.links.close_unused()


def _end_control(port) -> None:
    port.stopListening()
    reactor.callLater(CONTROL_END_MS / 1000.0, reactor.stop)


def _on_end_signals(end: Callable[[], None]) -> None:
    def on_signal(number, frame) -> None:
        log.info("Signal %d. The process ends.", number)
        reactor.callFromThread(end)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
