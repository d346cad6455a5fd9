"""Derives the budget for clients from the limits of the process."""

from __future__ import annotations

import contextlib
import os
import pathlib
import resource
from collections.abc import Iterator

from gentianwall.http.client_budget import BudgetLimits, ClientBudget
from gentianwall.timers import TimerService, monotonic_ms

CGROUP_LIMIT = pathlib.Path("/sys/fs/cgroup/memory.max")
# Least memory that is reckoned for a process without clients: 43 MB after its
# start. The rest is for the configuration, connections to servers, log lines
# and metrics. With a large configuration it is more, which is measured.
BASE_MEMORY_MB = 55.0
# Share of the other memory that clients may use. The rest covers buffers that
# are being copied and freed memory that the allocator keeps.
CLIENT_SHARE = 0.9
MIN_CLIENT_MB = 8.0
MEMORY_CHECK_MS = 500.0
RESIDENT_PAGES = pathlib.Path("/proc/self/statm")
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
    # Each request that runs at a server needs a connection to that server, and
    # each connection of a client runs one request at least.
    connections = max(MIN_CONNECTIONS, (descriptors - BASE_DESCRIPTORS) // 2)
    return ClientBudget(
        BudgetLimits(
            memory_bytes=_client_bytes(memory_mb, BASE_MEMORY_MB),
            connections=connections,
            running_requests=connections,
        )
    )


def adapt_budget(
    budget: ClientBudget, memory_mb: float, resident_mb: float, now_ms: float
) -> None:
    """Reduces a budget by what the process takes beyond its base.

    Args:
        budget: The budget.
        memory_mb: Memory that the process may use.
        resident_mb: Memory that it uses, with what clients hold.
        now_ms: The local clock.
    """
    uncharged_mb = resident_mb - budget.used_bytes / 1_000_000
    base_mb = max(BASE_MEMORY_MB, uncharged_mb)
    budget.set_memory(_client_bytes(memory_mb, base_mb), now_ms)


@contextlib.contextmanager
def watch_memory(
    key: str, budget: ClientBudget, memory_mb: float, timers: TimerService
) -> Iterator[None]:
    """Adapts a budget to the memory of the process while the context lasts."""
    memory_mb = memory_mb or _system_memory_mb()

    def check() -> None:
        adapt_budget(budget, memory_mb, _resident_mb(), monotonic_ms())

    with timers.every(key, MEMORY_CHECK_MS, check):
        yield


def _client_bytes(memory_mb: float, base_mb: float) -> int:
    client_mb = max(MIN_CLIENT_MB, CLIENT_SHARE * (memory_mb - base_mb))
    return int(client_mb * 1_000_000)


def _resident_mb() -> float:
    pages = int(RESIDENT_PAGES.read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1_000_000


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
