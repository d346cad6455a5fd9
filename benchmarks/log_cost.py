"""What structured logs cost an entry: processor time a line, and memory."""

from __future__ import annotations

import os
import resource
import time

from gentianwall.logs import MAX_BUFFERED_LINES, BoundedWriter, EventLog

LINES = 20_000
LINES_PER_REQUEST = 2
SENT = {
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
    """Lets each line fall into a second of its own, so none is left out."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self) -> float:
        self.now_s += 1.0
        return self.now_s


def measure(descriptor: int) -> float:
    """Returns the processor time of a line in microseconds."""
    log = EventLog("edge-1", BoundedWriter(descriptor))
    real = time.time
    time.time = _Clock()
    try:
        started_s = time.process_time()
        for _ in range(LINES):
            log.write("sent", SENT)
        return (time.process_time() - started_s) / LINES * 1e6
    finally:
        time.time = real


def main() -> None:
    """Prints the cost where the lines are read, and where nobody reads."""
    with open(os.devnull, "wb") as sink:
        read_us = measure(sink.fileno())
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    reader, writer = os.pipe()
    stuck_us = measure(writer)
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    os.close(reader)
    os.close(writer)
    print(f"a line that is read: {read_us:.1f} us")
    print(f"a request, {LINES_PER_REQUEST} lines: "
          f"{LINES_PER_REQUEST * read_us / 1000:.3f} ms")  # fmt: skip
    print(f"a line that nobody reads: {stuck_us:.1f} us")
    print(
        f"{MAX_BUFFERED_LINES} lines held: "
        f"{(after_kb - before_kb) / 1024:.1f} MB"
    )


if __name__ == "__main__":
    main()
