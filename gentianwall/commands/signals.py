"""What a process does when it is told to end."""

from __future__ import annotations

import signal
from collections.abc import Callable

from twisted.internet import reactor

from gentianwall.logs import get_logger

log = get_logger("fleet")


def on_end_signals(end: Callable[[], None]) -> None:
    """Calls `end` in the reactor on SIGTERM or SIGINT."""

    def on_signal(number, frame) -> None:
        log.info("Signal %d. The process ends.", number)
        reactor.callFromThread(end)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
