"""Stops a process on termination signals."""

from __future__ import annotations

import signal
from collections.abc import Callable

from twisted.internet import reactor

from gentianwall.logs import get_logger

log = get_logger("fleet")


def on_stop_signal(stop: Callable[[], None]) -> None:
    """Calls `stop` in the reactor on SIGTERM or SIGINT."""

    def on_signal(number, frame) -> None:
        log.info("Received signal %d; stopping.", number)
        reactor.callFromThread(stop)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
