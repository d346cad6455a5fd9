"""Users, faults, fake servers and outcomes of the simulations."""

from __future__ import annotations

import collections
import math

import attrs

from gentianwall.config.declaration import MeasuringSettings, ServiceSettings


@attrs.frozen(kw_only=True)
class User:
    """Service, network and settings of one user.

    Attributes:
        name: Name in the table of results.
        servers: Number of servers.
        slots: Requests that a server executes at the same time.
        domains: Number of failure domains.
        service_ms: Mean service time.
        remote_ms: One-way network delay to another failure domain.
        local_ms: One-way network delay within a failure domain.
        probe_ms: Time that a probe takes from the server.
        entries: Number of entries.
        measuring: Settings for probes.
        settings: Settings of the service.
    """

    name: str
    servers: int
    slots: int
    domains: int
    service_ms: float
    remote_ms: float
    local_ms: float
    probe_ms: float
    entries: int
    measuring: MeasuringSettings
    settings: ServiceSettings

    @property
    def capacity_per_s(self) -> float:
        """Calls per second that all servers together can execute."""
        return self.servers * self.slots * 1000.0 / self.service_ms


@attrs.frozen
class Faults:
    """Faults that occur in a simulation.

    Attributes:
        is_noisy: Some servers lose three quarters of their capacity to other
            processes on the machine.
        is_stepping: Load doubles for 50 ms of every 200 ms and falls to two
            thirds for the rest.
        is_draining: Servers refuse connections for a while without
            announcing it.
        is_failing_fast: One server answers each request at once with 500.
        is_misreporting: A quarter of the servers report that they are idle.
        is_warming_up: Servers are slow for a while, as during the warm-up after
            a restart.
    """

    is_noisy: bool = False
    is_stepping: bool = False
    is_draining: bool = False
    is_failing_fast: bool = False
    is_misreporting: bool = False
    is_warming_up: bool = False


@attrs.define
class Job:
    """One attempt of a call, as its server sees it."""

    entry: int
    call_id: int
    attempt: int
    is_cancelled: bool = False


@attrs.define
class FakeServer:
    """Server with slots, a queue and faults.

    Attributes:
        probe_busy_ms: Time spent on probes since the start of the last job; it
            delays the next job.
        average_service_ms: Moving average of the service time.
    """

    name: str
    domain: int
    slots: int
    queue: collections.deque = attrs.field(factory=collections.deque)
    running: int = 0
    slow_until_ms: float = 0.0
    slow_factor: float = 1.0
    refusing_until_ms: float = 0.0
    is_failing_fast: bool = False
    is_misreporting: bool = False
    probe_busy_ms: float = 0.0
    average_service_ms: float = 0.0

    @property
    def load(self) -> int:
        """Number of requests that are executing or queued."""
        return self.running + len(self.queue)


@attrs.frozen
class Outcome:
    """Results of a simulation.

    Attributes:
        latencies_ms: Latencies of successfully answered calls, sorted.
        refused: Number of calls that were refused or answered with an error.
        calls: Number of all calls.
        probe_ms_per_s: Time spent on probes, per server and second.
        answered_at_ms: Arrival times of the successful answers, in order.
    """

    latencies_ms: list[float]
    refused: int
    calls: int
    probe_ms_per_s: float
    answered_at_ms: list[float]

    def quantile(self, share: float) -> float:
        """Returns a quantile of the latencies in ms."""
        if not self.latencies_ms:
            return math.nan
        last = len(self.latencies_ms) - 1
        return self.latencies_ms[min(last, int(len(self.latencies_ms) * share))]

    @property
    def refused_share(self) -> float:
        """Share of the calls that were refused or answered with an error."""
        return self.refused / max(1, self.calls)
