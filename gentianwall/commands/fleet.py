"""Runs one process of a fleet whose members are found at run time."""

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
from gentianwall.config.fleet import FleetSettings, load_fleet_settings
from gentianwall.config.schema import ConfigErrors
from gentianwall.http.channel import CallerRequest
from gentianwall.http.dialect import Dialect
from gentianwall.http.tokens import TokenFileError
from gentianwall.logs import BoundedWriter, EventLog, get_logger
from gentianwall.runtime.plumbing import ControlFailedError
from gentianwall.timers import TimerService

if TYPE_CHECKING:
    # Entries do without what a control instance loads.
    from gentianwall.runtime.gate import Gate

log = get_logger("fleet")

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
SETTINGS_CHECK_MS = 1000.0
GC_ALLOCATIONS = 5000
STDOUT = 1
RequestHandler = Callable[[CallerRequest], None]
ControlHandler = Callable[["Gate", FleetSettings], RequestHandler]


def run_from_file(
    path: str,
    dialect: Dialect,
    control_handler: Callable[[], ControlHandler],
) -> int:
    """Runs the process that a settings file describes.

    Args:
        path: The settings file.
        dialect: How headers are named.
        control_handler: Loads what makes, from the gate and the settings of
            a control instance, the handler of servers' and operators'
            requests.
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
            # Each role loads only what it needs; that halves its start.
            if settings.role == "entry":
                from gentianwall.commands import fleet_entry

                context = fleet_entry.run(settings, dialect, event_log, timers)
            else:
                from gentianwall.commands import fleet_control

                context = fleet_control.run(settings, control_handler(), timers)
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
    except TokenFileError as error:
        log.error("Token file: %s.", error)
        return EXIT_BAD_INPUT
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
