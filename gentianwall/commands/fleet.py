"""Runs one process of a fleet whose members are discovered at run time."""

from __future__ import annotations

import contextlib
import gc
import os
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet import reactor
from twisted.internet.error import CannotListenError

from gentianwall import __version__
from gentianwall.commands.signals import ignore_signals
from gentianwall.config.fleet import FleetSettings, load_fleet_settings
from gentianwall.config.schema import ConfigErrors
from gentianwall.http.channel import CallerRequest
from gentianwall.http.dialect import Dialect
from gentianwall.http.tokens import TokenFileError
from gentianwall.logs import BoundedWriter, EventLog, get_logger
from gentianwall.runtime.clock_watch import watch_clock
from gentianwall.runtime.common import ControlFailedError
from gentianwall.timers import TimerService, use_monotonic_clock

if TYPE_CHECKING:
    # Imported for type checks only: entries do not load what control needs.
    from gentianwall.runtime.leader_client import LeaderClient

log = get_logger("fleet")

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
SETTINGS_CHECK_INTERVAL_MS = 1000.0
GC_THRESHOLD = 5000
STDOUT = 1
RequestHandler = Callable[[CallerRequest], None]
ControlHandlerFactory = Callable[
    ["LeaderClient", FleetSettings], RequestHandler
]


def run_from_file(
    path: str,
    dialect: Dialect,
    load_handler_factory: Callable[[], ControlHandlerFactory],
) -> int:
    """Runs the process that a settings file describes.

    Args:
        path: The settings file.
        dialect: Header names and refusal statuses.
        load_handler_factory: Imports and returns the factory of a control
            instance's handler for requests of servers and operators.
    """
    settings = load_fleet_settings(path)
    if isinstance(settings, ConfigErrors):
        print(settings)
        return EXIT_BAD_INPUT
    event_log = EventLog(settings.name, BoundedWriter(STDOUT))
    event_log.capture_library_logs()
    fields = {
        "version": __version__,
        "role": settings.role,
        "address": settings.link_address,
        "seeds": ",".join(settings.seed_link_addresses),
        "first_start": settings.is_first_start,
        "voters": settings.target_voters,
    }
    event_log.write("started", fields)
    use_monotonic_clock(reactor)
    timers = TimerService(reactor)
    try:
        with contextlib.ExitStack() as stack:
            # Each role imports only what it needs, which halves the time
            # to start.
            if settings.role == "entry":
                from gentianwall.commands import fleet_entry

                context = fleet_entry.run(settings, dialect, event_log, timers)
            else:
                from gentianwall.commands import fleet_control

                context = fleet_control.run(
                    settings, load_handler_factory(), timers
                )
            reload = stack.enter_context(context)
            stack.enter_context(watch_clock(event_log, timers))
            watcher = SettingsWatcher(path, settings, reload)
            stack.enter_context(
                timers.every(
                    "settings", SETTINGS_CHECK_INTERVAL_MS, watcher.check
                )
            )
            signal.signal(
                signal.SIGHUP,
                lambda number, frame: reactor.callFromThread(watcher.read),
            )
            # The file may have changed since it was loaded.
            watcher.read()
            # Objects loaded by now are exempt from garbage collection: a large
            # collection would stall requests for tens of ms.
            gc.collect()
            gc.freeze()
            gc.set_threshold(GC_THRESHOLD)
            reactor.run(installSignalHandlers=False)
            ignore_signals()
    except ControlFailedError as error:
        log.error("%s.", error)
        return EXIT_FAILED
    except TokenFileError as error:
        log.error("Token file not usable, exiting: %s.", error)
        return EXIT_BAD_INPUT
    except CannotListenError as error:
        log.error(
            "Cannot listen on %s:%s, exiting; the address may be in use.",
            error.interface,
            error.port,
        )
        return EXIT_FAILED
    event_log.write("stopped", {})
    event_log.writer.flush()
    return EXIT_OK


class SettingsWatcher:
    """Reloads a settings file that changes; only new seeds take effect."""

    def __init__(
        self,
        path: str,
        settings: FleetSettings,
        reload: Callable[[FleetSettings], None],
    ):
        self._path = path
        self._settings = settings
        self._reload = reload
        self._mtime_and_size = self._read_mtime_and_size()

    def _read_mtime_and_size(self) -> tuple[int, int]:
        try:
            stat = os.stat(self._path)
        except OSError:
            return (0, 0)
        return (stat.st_mtime_ns, stat.st_size)

    def check(self) -> None:
        """Reloads the file if its modification time or size changed."""
        mtime_and_size = self._read_mtime_and_size()
        if mtime_and_size != self._mtime_and_size:
            self._mtime_and_size = mtime_and_size
            self.read()

    def read(self) -> None:
        """Reloads the file; invalid settings change nothing."""
        settings = load_fleet_settings(self._path)
        if isinstance(settings, ConfigErrors):
            log.error(
                "Settings file invalid, keeping the settings in use: %s.",
                settings,
            )
            return
        if settings != self._settings:
            self._settings = settings
            self._reload(settings)
            log.info("Settings reloaded. Seeds: %s.", " ".join(settings.seeds))
