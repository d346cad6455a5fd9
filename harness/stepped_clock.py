"""Runs a module whose wall clock can be set while it runs.

Usage: `python -m harness.stepped_clock MODULE ARGUMENT...`. The clocks of a
machine cannot be set without its administrator, so the module sees a wall clock
that is off by the seconds in a file beside its settings. `set_clock` changes
them. The monotonic clocks are not affected, as on a machine.
"""

from __future__ import annotations

import os
import pathlib
import runpy
import signal
import sys
import time

from harness.fleet import Node, platform_command

VARIABLE = "GENTIANWALL_NODE_FILE"
OFFSET_FILE = "clock_offset_s"
_wall_s = time.time


class _Clock:
    """A wall clock with an offset."""

    def __init__(self, folder: pathlib.Path):
        self._file = folder / OFFSET_FILE
        self._offset_s = 0.0

    def read_offset(self, *_) -> None:
        """Sets the clock as the file says; a handler of signals."""
        self._offset_s = float(self._file.read_text())

    def time(self) -> float:
        """Returns seconds since the Unix epoch."""
        return _wall_s() + self._offset_s


def stepped_command(settings: pathlib.Path) -> list[str]:
    """Returns the command line of a process whose clock can be set."""
    return ["harness.stepped_clock", *platform_command(settings)]


def set_clock(node: Node, offset_s: float) -> None:
    """Sets the wall clock of a process to an offset from the real one."""
    (node.folder / OFFSET_FILE).write_text(str(offset_s))
    node.process.send_signal(signal.SIGUSR1)
    # The handler runs as soon as the interpreter does.
    time.sleep(0.1)


if __name__ == "__main__":
    clock = _Clock(pathlib.Path(os.environ[VARIABLE]).parent)
    signal.signal(signal.SIGUSR1, clock.read_offset)
    # The reactor looks up the clock when it is imported.
    time.time = clock.time
    sys.argv = sys.argv[1:]
    try:
        runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
    finally:
        # The interpreter resets handlers while it ends.
        signal.signal(signal.SIGUSR1, signal.SIG_IGN)
