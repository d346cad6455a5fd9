"""Runs the daemon until it receives a termination signal."""

from __future__ import annotations

import contextlib
import gc
import pathlib
import signal

import attrs
from twisted.internet import reactor
from twisted.internet.error import CannotListenError

from gentianwall.commands.signals import ignore_signals
from gentianwall.config.schema import ConfigErrors
from gentianwall.config.settings import (
    InstanceSettings,
    Settings,
    load_settings,
)
from gentianwall.http.tokens import TokenFileError
from gentianwall.links.keys import KeyFileError
from gentianwall.logs import configure_logging, get_logger
from gentianwall.runtime.common import ControlFailedError
from gentianwall.runtime.control import run_listed_control
from gentianwall.runtime.entry import EntryRuntime, run_entry
from gentianwall.storage.journal import Journal, JournalNotEmpty
from gentianwall.timers import (
    TimerService,
    monotonic_ms,
    use_monotonic_clock,
)

log = get_logger("daemon")

EXIT_OK = 0
EXIT_BAD_INPUT = 2
EXIT_FAILED = 1
UNREADY_BEFORE_CLOSE_MS = 1500.0
DRAIN_LIMIT_MS = 60_000.0
DRAIN_CHECK_INTERVAL_MS = 20.0
GC_THRESHOLD = 500


@attrs.frozen
class StandaloneAddresses:
    """Addresses on which a standalone daemon listens."""

    callers_address: str = "127.0.0.1:8080"
    operators_address: str = "127.0.0.1:8081"
    entry_link_address: str = "127.0.0.1:8082"
    control_link_address: str = "127.0.0.1:8083"
    control_operators_address: str = "127.0.0.1:8084"


def run_from_file(path: str, verbose: bool) -> int:
    """Runs the process that a settings file describes."""
    settings = load_settings(path)
    if isinstance(settings, ConfigErrors):
        print(settings)
        return EXIT_BAD_INPUT
    configure_logging(settings.instance, verbose)
    return _run([settings])


def run_standalone(data_folder: str, verbose: bool) -> int:
    """Runs an entry and a control instance in one process."""
    addresses = StandaloneAddresses()
    instances = (
        InstanceSettings(
            name="entry",
            role="entry",
            failure_domain="local",
            link_address=addresses.entry_link_address,
            operators_address=addresses.operators_address,
            callers_address=addresses.callers_address,
        ),
        InstanceSettings(
            name="control",
            role="control",
            failure_domain="local",
            link_address=addresses.control_link_address,
            operators_address=addresses.control_operators_address,
        ),
    )
    configure_logging("standalone", verbose)
    # After a restart the journal is not empty; this call then changes nothing.
    Journal(data_folder).bootstrap("control")
    return _run(
        [
            Settings(
                instance=i.name, data_folder=data_folder, instances=instances
            )
            for i in instances
        ]
    )


def bootstrap_cluster(path: str) -> int:
    """Bootstraps a cluster in the data folder of one control instance."""
    settings = load_settings(path)
    if isinstance(settings, ConfigErrors):
        print(settings)
        return EXIT_BAD_INPUT
    if settings.own_instance.role != "control":
        print(
            f"{settings.instance} does not have the role of a control instance"
        )
        return EXIT_BAD_INPUT
    bootstrapped = Journal(settings.data_folder).bootstrap(settings.instance)
    if isinstance(bootstrapped, JournalNotEmpty):
        print(bootstrapped)
        return EXIT_BAD_INPUT
    folder = pathlib.Path(settings.data_folder).resolve()
    print(
        f"Bootstrapped a cluster with member {settings.instance} in {folder}."
    )
    return EXIT_OK


def _run(all_settings: list[Settings]) -> int:
    use_monotonic_clock(reactor)
    timers = TimerService(reactor)
    try:
        with contextlib.ExitStack() as stack:
            entries = []
            for settings in all_settings:
                if settings.own_instance.role == "control":
                    stack.enter_context(
                        run_listed_control(settings, reactor, timers)
                    )
                else:
                    entries.append(
                        stack.enter_context(
                            run_entry(settings, reactor, timers)
                        )
                    )
            _stop_on_signals(entries, timers)
            # Objects loaded by now are exempt from garbage collection. The
            # rest is collected often and in small steps, since a large
            # collection stalls calls for tens of ms.
            gc.collect()
            gc.freeze()
            gc.set_threshold(GC_THRESHOLD)
            reactor.run(installSignalHandlers=False)
            ignore_signals()
    except (ControlFailedError, KeyFileError, TokenFileError) as error:
        log.error("%s.", error)
        return EXIT_FAILED
    except CannotListenError as error:
        log.error(
            "Cannot listen on %s:%s, exiting; the address may be in use.",
            error.interface,
            error.port,
        )
        return EXIT_FAILED
    log.info("Process stopped.")
    return EXIT_OK


def _stop_on_signals(entries: list[EntryRuntime], timers: TimerService) -> None:
    def on_signal(number, frame) -> None:
        reactor.callFromThread(_drain, entries, timers)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)


def _drain(entries: list[EntryRuntime], timers: TimerService) -> None:
    """Reports unready, closes the listeners, drains calls, then stops."""
    if not entries:
        reactor.stop()
        return
    if all(entry.state.is_draining for entry in entries):
        return
    for entry in entries:
        entry.begin_drain()
    limit_ms = monotonic_ms() + DRAIN_LIMIT_MS

    def close_listeners() -> None:
        for entry in entries:
            entry.stop_listening()
        check_idle()

    def check_idle() -> None:
        is_idle = all(entry.is_idle for entry in entries)
        if is_idle or monotonic_ms() > limit_ms:
            reactor.callLater(0.05, reactor.stop)
            return
        timers.start(
            "drain", monotonic_ms() + DRAIN_CHECK_INTERVAL_MS, check_idle
        )

    timers.start(
        "drain", monotonic_ms() + UNREADY_BEFORE_CLOSE_MS, close_listeners
    )
