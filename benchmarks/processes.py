"""Processor time, memory and bytes of our own processes, from /proc."""

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
    """What a process has used so far.

    Attributes:
        cpu_s: Processor time.
        memory_mb: Resident memory.
        sent_bytes: Bytes sent over links.
        received_bytes: Bytes received over links.
    """

    cpu_s: float
    memory_mb: float
    sent_bytes: float
    received_bytes: float


def usage_of(cluster: Cluster, name: str) -> Usage:
    """Reads the usage of an instance."""
    folder = pathlib.Path("/proc") / str(cluster.processes[name].pid)
    fields = (folder / "stat").read_text().rsplit(")", 1)[1].split()
    pages = int((folder / "statm").read_text().split()[1])
    address = cluster.address(name, "operators_address")
    text = call(address, "GET", "/metrics").body.decode()
    return Usage(
        (int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        pages * PAGE_BYTES / BYTES_PER_MB,
        _held(text, "link_sent_bytes_total"),
        _held(text, "link_received_bytes_total"),
    )


def _held(text: str, name: str) -> float:
    match = re.search(rf"^gentianwall_{name} (\S+)", text, re.MULTILINE)
    return float(match.group(1)) if match else 0.0
