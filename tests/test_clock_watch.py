from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from gentianwall.runtime import clock_watch
from gentianwall.timers import TimerService


@pytest.fixture
def lines(monkeypatch):
    """Lines about the clock, which is set by a step after two seconds."""
    lines = []

    class Log:
        def write(self, event, fields):
            lines.append((event, fields))

    clock = Clock()
    step_ms = 0.0
    monkeypatch.setattr(
        "gentianwall.timers.monotonic_ms", lambda: 1000.0 * clock.seconds()
    )
    monkeypatch.setattr(
        clock_watch, "monotonic_ms", lambda: 1000.0 * clock.seconds()
    )
    monkeypatch.setattr(
        clock_watch, "wall_ms", lambda: 1000.0 * clock.seconds() + step_ms
    )
    with clock_watch.watch_clock(Log(), TimerService(clock)):
        clock.advance(1.0)
        clock.advance(1.0)
        step_ms = -2500.0
        clock.advance(1.0)
        clock.advance(1.0)
    return lines


def test_a_step_of_the_wall_clock_is_logged_once(lines):
    assert lines == [("clock_set", {"step_ms": -2500})]
