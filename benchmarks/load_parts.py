"""Users, faults, servers and outcomes of the runs in virtual time."""

from __future__ import annotations

import collections
import math

import attrs

from gentianwall.config.declaration import MeasuringSettings, ServiceSettings


@attrs.frozen(kw_only=True)
class User:
    """One user's service and network."""

    name: str
    servers: int
    slots: int
    domains: int
    service_ms: float
    domain_ms: float
    near_ms: float
    probe_ms: float
    entries: int
    measuring: MeasuringSettings
    settings: ServiceSettings

    @property
    def capacity_per_s(self) -> float:
        """Calls per second that all servers can run."""
        return self.servers * self.slots * 1000.0 / self.service_ms


@attrs.frozen
class Faults:
    """What befalls the servers.

    Attributes:
        is_noisy: Neighbours take three quarters of some servers' capacity.
        is_stepping: Load doubles for 50 ms in each 200 ms.
        is_draining: Servers refuse connections for a while, unannounced.
        is_failing_fast: One server answers 500 at once.
        is_lying: A quarter of the servers report that they are idle.
        is_cold: Servers restart and are slow at first.
    """

    is_noisy: bool = False
    is_stepping: bool = False
    is_draining: bool = False
    is_failing_fast: bool = False
    is_lying: bool = False
    is_cold: bool = False


@attrs.define
class Job:
    """A request at a server."""

    entry: int
    call_id: int
    attempt: int
    is_cancelled: bool = False


@attrs.define
class FakeServer:
    """Slots and a queue."""

    name: str
    domain: int
    slots: int
    queue: collections.deque = attrs.field(factory=collections.deque)
    running: int = 0
    slow_until_ms: float = 0.0
    slow_factor: float = 1.0
    refusing_until_ms: float = 0.0
    is_failing_fast: bool = False
    is_lying: bool = False
    probe_busy_ms: float = 0.0
    recent_ms: float = 0.0

    @property
    def load(self) -> int:
        """Requests that it holds."""
        return self.running + len(self.queue)


@attrs.frozen
class Outcome:
    """What a run gave.

    Attributes:
        latencies_ms: Of answered calls, sorted.
        refused: Calls without a good answer.
        calls: All calls.
        probe_ms_per_s: Probe time per server and second.
        answered_at_ms: When each good answer came, in order.
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
        """Share of the calls without a good answer."""
        return self.refused / max(1, self.calls)
