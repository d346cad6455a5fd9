"""Logging through absl with a fixed prefix for each part.

A fleet's processes write structured lines to standard output: one line an
event, `key=value`, never waiting for whoever reads them.
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

# About 1 MB of lines, several seconds of a busy entry.
MAX_HELD_LINES = 4000
# Lines of one event in a second; refusals and rare events are far below it.
MAX_LINES_PER_EVENT_S = 150


class PartLogger(logging.LoggerAdapter):
    """Puts the name of a part before each message."""

    def process(self, msg, kwargs):  # noqa: D102
        return f"{self.extra['part']}: {msg}", kwargs


def get_logger(part: str) -> PartLogger:
    """Returns the logger of a part, such as `entry` or `replication`."""
    return PartLogger(absl_logging.get_absl_logger(), {"part": part})


def set_up(instance: str, verbose: bool) -> None:
    """Sends log lines to standard error, marked with the instance."""
    absl_logging.use_absl_handler()
    handler = absl_logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.setFormatter(
        logging.Formatter(f"%(asctime)s %(levelname).1s {instance} %(message)s")
    )
    level = absl_logging.DEBUG if verbose else absl_logging.INFO
    absl_logging.set_verbosity(level)


class BoundedWriter:
    """Writes lines to a descriptor without ever waiting for its reader.

    What cannot be written is held up to a bound; then new lines are dropped
    and counted, and the count is written once there is room.

    Attributes:
        dropped: Lines dropped since the start.
    """

    def __init__(self, descriptor: int, max_lines: int = MAX_HELD_LINES):
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._held: collections.deque[bytes] = collections.deque()
        self._unreported = 0

    def write(self, line: str) -> None:
        """Writes a line, or holds or drops it."""
        if len(self._held) >= self._max_lines:
            self.dropped += 1
            self._unreported += 1
        else:
            self._held.append(line.encode("utf-8", "replace") + b"\n")
        self.flush()

    def flush(self) -> None:
        """Writes what is held, as far as the reader lets it."""
        while self._held:
            line = self._held.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._held.appendleft(line)
                return
            except OSError:
                self._held.clear()  # Nobody reads any more.
                return
            if written < len(line):
                self._held.appendleft(line[written:])
                return
        if self._unreported:
            count, self._unreported = self._unreported, 0
            self.write(f"event=log_dropped lines={count}")


class _StructuredHandler(logging.Handler):
    """Turns a message of the logging library into a structured line."""

    def __init__(self, log: EventLog):
        super().__init__()
        self._log = log

    def emit(self, record) -> None:
        part, _, message = record.getMessage().partition(": ")
        fields = {"level": record.levelname.lower(), "text": message or part}
        self._log.write(part if message else "log", fields)


class EventLog:
    """Structured lines, so many of each event in a second.

    Attributes:
        writer: Takes the lines.
        suppressed: Lines left out because their event came too often.
    """

    def __init__(self, instance: str, writer: BoundedWriter):
        self.writer = writer
        self.suppressed = 0
        self._instance = _value(instance)
        self._second = 0
        self._counts: dict[str, int] = {}

    def write(self, event: str, fields: dict[str, object]) -> None:
        """Writes one event."""
        now_s = time.time()
        if int(now_s) != self._second:
            self._end_second(int(now_s))
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count > MAX_LINES_PER_EVENT_S:
            self.suppressed += 1
            return
        self.writer.write(
            f"t={now_s:.3f} node={self._instance} event={event}"
            + "".join(f" {key}={_value(item)}" for key, item in fields.items())
        )

    def _end_second(self, second: int) -> None:
        over = {
            event: count - MAX_LINES_PER_EVENT_S
            for event, count in self._counts.items()
            if count > MAX_LINES_PER_EVENT_S
        }
        self._second = second
        self._counts.clear()
        for event, count in over.items():
            self.write("log_suppressed", {"of": event, "lines": count})

    def take_over(self) -> None:
        """Sends the messages of the logging library here as well."""
        absl_logging.use_absl_handler()
        root = logging.getLogger()
        for handler in list(root.handlers):
            root.removeHandler(handler)
        root.addHandler(_StructuredHandler(self))
        absl_logging.set_verbosity(absl_logging.INFO)
        globalLogBeginner.beginLoggingTo(
            [self._take_failure], redirectStandardIO=False, discardBuffer=True
        )

    def _take_failure(self, event: dict) -> None:
        """Writes what the reactor caught; its other messages say nothing."""
        if event["log_level"] < LogLevel.error:
            return
        failure = event.get("log_failure")
        text = failure.getTraceback() if failure else formatEvent(event)
        self.write("reactor", {"level": "critical", "text": text})


def _value(item: object) -> str:
    text = str(item)
    if text and not any(c in text for c in ' "=\n\r\t\\'):
        return text
    return json.dumps(text)
