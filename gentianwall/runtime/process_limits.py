"""Derives the budget for clients from the limits of the process."""

from __future__ import annotations

import os
import pathlib
import resource

from gentianwall.http.client_budget import BudgetLimits, ClientBudget

CGROUP_LIMIT = pathlib.Path("/sys/fs/cgroup/memory.max")
# Memory of a process without clients: 43 MB after its start. The rest is for
# the configuration, connections to servers, log lines and metrics.
BASE_MEMORY_MB = 55.0
# Share of the other memory that clients may use. The rest covers buffers that
# are being copied and freed memory that the allocator keeps.
CLIENT_SHARE = 0.9
MIN_CLIENT_MB = 8.0
# Listeners, links, journal, log and health checks.
BASE_DESCRIPTORS = 96
MIN_CONNECTIONS = 16


def make_budget(memory_mb: float, descriptors: int) -> ClientBudget:
    """Returns the budget of a process.

    Args:
        memory_mb: Memory that the process may use; 0 takes what the machine
            or the control group has.
        descriptors: Descriptors that it may open; 0 takes its limit.
    """
    memory_mb = memory_mb or _system_memory_mb()
    descriptors = descriptors or _system_descriptors()
    client_mb = max(MIN_CLIENT_MB, CLIENT_SHARE * (memory_mb - BASE_MEMORY_MB))
    # Each request that runs at a server needs a connection to that server, and
    # each connection of a client runs one request at least.
    connections = max(MIN_CONNECTIONS, (descriptors - BASE_DESCRIPTORS) // 2)
    return ClientBudget(
        BudgetLimits(
            memory_bytes=int(client_mb * 1_000_000),
            connections=connections,
            running_requests=connections,
        )
    )


def _system_memory_mb() -> float:
    total = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    try:
        text = CGROUP_LIMIT.read_text().strip()
    except OSError:
        text = ""
    if text.isdecimal():
        total = min(total, int(text))
    return total / 1_000_000


def _system_descriptors() -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft if soft != resource.RLIM_INFINITY else 1_000_000
