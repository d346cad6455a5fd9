"""Runs the daemon until it is told to end."""

from __future__ import annotations

import contextlib
import gc
import pathlib
import signal

import attrs
from twisted.internet import reactor
from twisted.internet.error import CannotListenError

from gentianwall.config.schema import ConfigErrors
from gentianwall.config.settings import (
    InstanceSettings,
    Settings,
    load_settings,
)
from gentianwall.http.tokens import TokenFileError
from gentianwall.links.keys import KeyFileError
from gentianwall.logs import get_logger, set_up
from gentianwall.runtime.control import run_listed_control
from gentianwall.runtime.entry import EntryRuntime, run_entry
from gentianwall.runtime.plumbing import ControlFailedError
from gentianwall.storage.journal import Journal, JournalNotEmpty
from gentianwall.timers import TimerService, monotonic_ms

log = get_logger("daemon")

EXIT_OK = 0
EXIT_BAD_INPUT = 2
EXIT_FAILED = 1
UNREADY_MS = 1500.0
DRAIN_LIMIT_MS = 60_000.0
DRAIN_CHECK_MS = 20.0
GC_ALLOCATIONS = 500


@attrs.frozen
class StandaloneAddresses:
    """Where a standalone daemon listens."""

    callers_address: str = "127.0.0.1:8080"
    operators_address: str = "127.0.0.1:8081"
    entry_link: str = "127.0.0.1:8082"
    control_link: str = "127.0.0.1:8083"
    control_operators_address: str = "127.0.0.1:8084"


def run_from_file(path: str, verbose: bool) -> int:
    """Runs the process that a settings file describes."""
    settings = load_settings(path)
    if isinstance(settings, ConfigErrors):
        print(settings)
        return EXIT_BAD_INPUT
    set_up(settings.instance, verbose)
    return _run([settings])


def run_standalone(data_folder: str, verbose: bool) -> int:
    """Runs an entry and a control instance in one process."""
    addresses = StandaloneAddresses()
    instances = (
        InstanceSettings(
            name="entry",
            role="entry",
            failure_domain="local",
            link_address=addresses.entry_link,
            operators_address=addresses.operators_address,
            callers_address=addresses.callers_address,
        ),
        InstanceSettings(
            name="control",
            role="control",
            failure_domain="local",
            link_address=addresses.control_link,
            operators_address=addresses.control_operators_address,
        ),
    )
    set_up("standalone", verbose)
    Journal(data_folder).bootstrap(
        "control"
    )  # A second start finds it founded.
    return _run(
        [
            Settings(
                instance=i.name, data_folder=data_folder, instances=instances
            )
            for i in instances
        ]
    )


def found_cluster(path: str) -> int:
    """Founds a cluster in the data folder of one control instance."""
    settings = load_settings(path)
    if isinstance(settings, ConfigErrors):
        print(settings)
        return EXIT_BAD_INPUT
    if settings.own.role != "control":
        print(f"{settings.instance} is not a control instance")
        return EXIT_BAD_INPUT
    founded = Journal(settings.data_folder).bootstrap(settings.instance)
    if isinstance(founded, JournalNotEmpty):
        print(founded)
        return EXIT_BAD_INPUT
    folder = pathlib.Path(settings.data_folder).resolve()
    print(f"Founded a cluster of {settings.instance} in {folder}.")
    return EXIT_OK


def _run(all_settings: list[Settings]) -> int:
    timers = TimerService(reactor)
    try:
        with contextlib.ExitStack() as stack:
            entries = []
            for settings in all_settings:
                if settings.own.role == "control":
                    stack.enter_context(
                        run_listed_control(settings, reactor, timers)
                    )
                else:
                    entries.append(
                        stack.enter_context(
                            run_entry(settings, reactor, timers)
                        )
                    )
            _end_on_signals(entries, timers)
            # What is loaded by now stays. The rest is collected often and in
            # small parts, since a large part stalls calls for tens of ms.
            gc.collect()
            gc.freeze()
            gc.set_threshold(GC_ALLOCATIONS)
            reactor.run(installSignalHandlers=False)
    except (ControlFailedError, KeyFileError, TokenFileError) as error:
        log.error("%s.", error)
        return EXIT_FAILED
    except CannotListenError as error:
        log.error("Address %s:%s is taken.", error.interface, error.port)
        return EXIT_FAILED
    log.info("Ended.")
    return EXIT_OK


def _end_on_signals(entries: list[EntryRuntime], timers: TimerService) -> None:
    def on_signal(number, frame) -> None:
        reactor.callFromThread(_drain, entries, timers)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)


def _drain(entries: list[EntryRuntime], timers: TimerService) -> None:
    """Turns unready, then deaf, waits for calls in flight, then ends."""
    if not entries:
        reactor.stop()
        return
    if all(entry.state.is_draining for entry in entries):
        return
    for entry in entries:
        entry.begin_drain()
    limit_ms = monotonic_ms() + DRAIN_LIMIT_MS

    def close() -> None:
        for entry in entries:
            entry.stop_listening()
        check()

    def check() -> None:
        is_idle = all(entry.is_idle for entry in entries)
        if is_idle or monotonic_ms() > limit_ms:
            reactor.callLater(0.05, reactor.stop)
            return
        timers.start("drain", monotonic_ms() + DRAIN_CHECK_MS, check)

    timers.start("drain", monotonic_ms() + UNREADY_MS, close)
