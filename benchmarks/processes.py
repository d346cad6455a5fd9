"""Reads processor time, memory and link traffic of instances.

Processor time and memory come from /proc, link traffic from /metrics.
"""

from __future__ import annotations

import os
import pathlib
import re

import attrs

from harness.cluster import Cluster, call

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_MB = 1024 * 1024


@attrs.frozen
class Usage:
    """Resource usage of a process.

    Attributes:
        cpu_s: Processor time since the start, user and system.
        memory_mb: Current resident memory.
        sent_bytes: Bytes sent over links since the start.
        received_bytes: Bytes received over links since the start.
    """

    cpu_s: float
    memory_mb: float
    sent_bytes: float
    received_bytes: float


def read_usage(cluster: Cluster, name: str) -> Usage:
    """Reads the usage of an instance."""
    folder = pathlib.Path("/proc") / str(cluster.processes[name].pid)
    fields = (folder / "stat").read_text().rsplit(")", 1)[1].split()
    pages = int((folder / "statm").read_text().split()[1])
    address = cluster.address(name, "operators_address")
    text = call(address, "GET", "/metrics").body.decode()
    return Usage(
        (int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        pages * PAGE_BYTES / BYTES_PER_MB,
        _read_counter(text, "link_sent_bytes_total"),
        _read_counter(text, "link_received_bytes_total"),
    )


def _read_counter(text: str, name: str) -> float:
    match = re.search(rf"^gentianwall_{name} (\S+)", text, re.MULTILINE)
    return float(match.group(1)) if match else 0.0
