"""Logging through absl with a fixed prefix for each component.

Processes of a fleet write structured lines to standard output: one line for
each event, as `key=value`, without blocking on the reader.
"""

from __future__ import annotations

import collections
import json
import logging
import os
import sys
import time

from absl import logging as absl_logging
from twisted.logger import LogLevel, formatEvent, globalLogBeginner

# About 1 MB, or the lines that a busy entry writes in several seconds.
MAX_BUFFERED_LINES = 4000
# Limit for each event name and second; refusals and rare events stay far
# below it.
MAX_LINES_PER_EVENT_S = 150


class ComponentLogger(logging.LoggerAdapter):
    """Prefixes each message with the name of a component."""

    def process(self, msg, kwargs):  # noqa: D102
        return f"{self.extra['part']}: {msg}", kwargs


def get_logger(component: str) -> ComponentLogger:
    """Returns the logger of a component, such as `entry` or `replication`."""
    return ComponentLogger(absl_logging.get_absl_logger(), {"part": component})


def configure_logging(instance: str, verbose: bool) -> None:
    """Sends log lines with the instance's name to standard error."""
    absl_logging.use_absl_handler()
    handler = absl_logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.setFormatter(
        logging.Formatter(f"%(asctime)s %(levelname).1s {instance} %(message)s")
    )
    level = absl_logging.DEBUG if verbose else absl_logging.INFO
    absl_logging.set_verbosity(level)


class BoundedWriter:
    """Writes lines to a descriptor without blocking on its reader.

    Lines that cannot be written yet are buffered. Once the buffer is full, new
    lines are dropped, and their count is written when the buffer is empty.

    Attributes:
        dropped: Lines dropped because the buffer was full.
    """

    def __init__(self, descriptor: int, max_lines: int = MAX_BUFFERED_LINES):
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._pending: collections.deque[bytes] = collections.deque()
        self._unreported_drops = 0

    def write(self, line: str) -> None:
        """Writes a line, or buffers it, or drops it when the buffer is full."""
        if len(self._pending) >= self._max_lines:
            self.dropped += 1
            self._unreported_drops += 1
        else:
            self._pending.append(line.encode("utf-8", "replace") + b"\n")
        self.flush()

    def flush(self) -> None:
        """Writes buffered lines until the descriptor would block."""
        while self._pending:
            line = self._pending.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._pending.appendleft(line)
                return
            except OSError:
                self._pending.clear()  # The reader closed its end.
                return
            if written < len(line):
                self._pending.appendleft(line[written:])
                return
        if self._unreported_drops:
            count, self._unreported_drops = self._unreported_drops, 0
            self.write(f"event=log_dropped lines={count}")


class _StructuredHandler(logging.Handler):
    """Writes messages of the logging library as structured lines."""

    def __init__(self, log: EventLog):
        super().__init__()
        self._log = log

    def emit(self, record) -> None:
        component, _, message = record.getMessage().partition(": ")
        fields = {
            "level": record.levelname.lower(),
            "text": message or component,
        }
        self._log.write(component if message else "log", fields)


class EventLog:
    """Writes structured log lines, rate-limited for each event.

    Attributes:
        writer: Writes the lines.
        suppressed: Lines left out because their event exceeded its rate limit.
    """

    def __init__(self, instance: str, writer: BoundedWriter):
        self.writer = writer
        self.suppressed = 0
        self._instance = _format_value(instance)
        self._current_second = 0
        self._counts_by_event: dict[str, int] = {}

    def write(self, event: str, fields: dict[str, object]) -> None:
        """Writes an event, unless its rate limit is reached."""
        now_s = time.time()
        if int(now_s) != self._current_second:
            self._report_suppressed(int(now_s))
        count = self._counts_by_event.get(event, 0) + 1
        self._counts_by_event[event] = count
        if count > MAX_LINES_PER_EVENT_S:
            self.suppressed += 1
            return
        self.writer.write(
            f"t={now_s:.3f} node={self._instance} event={event}"
            + "".join(
                f" {key}={_format_value(item)}" for key, item in fields.items()
            )
        )

    def _report_suppressed(self, second: int) -> None:
        suppressed_by_event = {
            event: count - MAX_LINES_PER_EVENT_S
            for event, count in self._counts_by_event.items()
            if count > MAX_LINES_PER_EVENT_S
        }
        self._current_second = second
        self._counts_by_event.clear()
        for event, count in suppressed_by_event.items():
            self.write("log_suppressed", {"of": event, "lines": count})

    def capture_library_logs(self) -> None:
        """Redirects messages of the logging library and reactor to this log."""
        absl_logging.use_absl_handler()
        root = logging.getLogger()
        for handler in list(root.handlers):
            root.removeHandler(handler)
        root.addHandler(_StructuredHandler(self))
        absl_logging.set_verbosity(absl_logging.INFO)
        globalLogBeginner.beginLoggingTo(
            [self._write_reactor_error],
            redirectStandardIO=False,
            discardBuffer=True,
        )

    def _write_reactor_error(self, event: dict) -> None:
        """Writes errors caught by the reactor; ignores its other messages."""
        if event["log_level"] < LogLevel.error:
            return
        failure = event.get("log_failure")
        text = failure.getTraceback() if failure else formatEvent(event)
        self.write("reactor", {"level": "critical", "text": text})


def _format_value(item: object) -> str:
    text = str(item)
    if text and not any(c in text for c in ' "=\n\r\t\\'):
        return text
    return json.dumps(text)
