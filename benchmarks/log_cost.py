"""Measures the processor time and memory of an entry's structured logs."""

from __future__ import annotations

import os
import resource
import time

from gentianwall.logs import MAX_BUFFERED_LINES, BoundedWriter, EventLog

LINES = 20_000
LINES_PER_REQUEST = 2
SENT_FIELDS = {
    "id": "7d66a2c5a1d14d1b",
    "server": "i-5bef3f5ad0",
    "attempt": 1,
    "load": 1.0,
    "slowness": 1.0,
    "report_age_ms": 14,
    "expected_ms": 200,
    "left_ms": 1319,
}


class _Clock:
    """Clock that gives each line its own second, so that none is suppressed."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self) -> float:
        self.now_s += 1.0
        return self.now_s


def measure(descriptor: int) -> float:
    """Returns the processor time per log line in microseconds."""
    log = EventLog("edge-1", BoundedWriter(descriptor))
    real_time = time.time
    time.time = _Clock()
    try:
        started_s = time.process_time()
        for _ in range(LINES):
            log.write("sent", SENT_FIELDS)
        return (time.process_time() - started_s) / LINES * 1e6
    finally:
        time.time = real_time


def main() -> None:
    """Prints the cost with a log that is read and with one that is not."""
    with open(os.devnull, "wb") as sink:
        read_us = measure(sink.fileno())
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    reader, writer = os.pipe()
    unread_us = measure(writer)
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    os.close(reader)
    os.close(writer)
    print(f"per line, log is read: {read_us:.1f} us")
    print(f"per request, {LINES_PER_REQUEST} lines: "
          f"{LINES_PER_REQUEST * read_us / 1000:.3f} ms")  # fmt: skip
    print(f"per line, log is not read: {unread_us:.1f} us")
    print(
        f"{MAX_BUFFERED_LINES} lines buffered: "
        f"{(after_kb - before_kb) / 1024:.1f} MB"
    )


if __name__ == "__main__":
    main()
