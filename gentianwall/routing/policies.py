"""Policies that choose the server of a call.

`ExpectedLatency` is in use. The other policies are baselines with which
`benchmarks/decisions.py` compares it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

import attrs

from gentianwall.routing.servers import Server


@attrs.frozen
class NoServer:
    """Reports that no server can take the call now.

    Attributes:
        has_live_server: Whether a live server is left that the call has not
            tried, so that waiting may help.
    """

    has_live_server: bool


@attrs.define
class RandomChoice:
    """Chooses a random server, regardless of load."""


@attrs.define
class RoundRobin:
    """Chooses the servers in turn."""

    turn: int = 0


@attrs.define
class LeastOutstanding:
    """Chooses the server with the fewest outstanding calls of this entry."""


@attrs.define
class TwoChoices:
    """Chooses the less loaded of two random servers (Mitzenmacher, 2001)."""


@attrs.define
class ProbeResult:
    """Result of a probe.

    Attributes:
        load: Requests in flight at the server.
        latency_ms: Estimated latency of a call at the server.
        uses: How many more calls may use the result.
    """

    load: float
    latency_ms: float
    uses: int


@attrs.define
class HotCold:
    """Chooses by probed requests in flight and latency, after Prequal.

    Wydrowski et al., "Load is not what you should balance: Introducing
    Prequal" (NSDI 2024). Servers above a quantile of the loads are hot. Of
    the other servers, the one with the lowest latency is chosen.

    Attributes:
        probes_per_call: Number of probes sent per call.
        uses: How many calls may use a probe result.
        hot_share: Quantile of the loads above which a server is hot.
        pool_size: Maximum number of probe results kept.
        pool: Probe results by server name, the oldest first.
    """

    probes_per_call: float = 1.0
    uses: int = 2
    hot_share: float = 0.75
    pool_size: int = 16
    pool: dict[str, ProbeResult] = attrs.field(factory=dict)


@attrs.define
class ExpectedLatency:
    """Chooses the server with the lowest expected time of the next call.

    Attributes:
        sample: Number of random servers that are compared; 0 for all.
    """

    sample: int = 0


@attrs.frozen
class ServiceAverages:
    """Averages over the servers of a service, to compare a server with.

    Attributes:
        service_ms: Average service time of a call.
        foreign_load: Average load of a server by calls of other entries.
    """

    service_ms: float
    foreign_load: float


Policy = (
    RandomChoice
    | RoundRobin
    | LeastOutstanding
    | TwoChoices
    | HotCold
    | ExpectedLatency
)


def choose(
    policy: Policy,
    servers: Sequence[Server],
    averages: ServiceAverages,
    now_ms: float,
    rng: random.Random,
) -> Server:
    """Chooses the server of the next call.

    Args:
        policy: Policy to apply.
        servers: Candidates, at least one.
        averages: Averages of the service.
        now_ms: Local clock.
        rng: Random source for ties and samples.
    """
    match policy:
        case RandomChoice():
            return rng.choice(servers)
        case RoundRobin():
            policy.turn += 1
            return servers[policy.turn % len(servers)]
        case LeastOutstanding():
            return _pick_lowest(servers, lambda s: s.outstanding, rng)
        case TwoChoices():
            pair = rng.sample(servers, min(2, len(servers)))
            return _pick_lowest(pair, lambda s: s.outstanding, rng)
        case HotCold():
            return _pick_hot_cold(policy, servers, rng)
        case ExpectedLatency():
            candidates = servers
            if 0 < policy.sample < len(servers):
                candidates = rng.sample(servers, policy.sample)
            return _pick_lowest_expected_time(candidates, averages, now_ms, rng)


def _pick_lowest_expected_time(
    servers: Sequence[Server],
    averages: ServiceAverages,
    now_ms: float,
    rng: random.Random,
) -> Server:
    """Returns the server with the lowest expected time.

    A server without calls of this entry that is neither slow nor overloaded
    has the lowest possible expected time. If there are such servers, a random
    one of them is chosen without computing expected times.
    """
    idle = [
        server
        for server in servers
        if not server.calls
        and server.has_normal_speed_and_load(averages.service_ms)
    ]
    if idle:
        return rng.choice(idle)
    return _pick_lowest(
        servers,
        lambda s: s.expected_ms(
            now_ms, averages.service_ms, averages.foreign_load
        ),
        rng,
    )


def _pick_lowest(servers, key, rng: random.Random) -> Server:
    best: list[Server] = []
    best_value = float("inf")
    for server in servers:
        value = key(server)
        if value < best_value:
            best = [server]
            best_value = value
        elif value == best_value:
            best.append(server)
    return best[0] if len(best) == 1 else rng.choice(best)


def _pick_hot_cold(
    policy: HotCold, servers: Sequence[Server], rng: random.Random
) -> Server:
    known = {
        server.notice.key.server: server
        for server in servers
        if server.notice.key.server in policy.pool
    }
    if len(known) < 2:
        return rng.choice(servers)
    results = {name: policy.pool[name] for name in known}
    loads = sorted(result.load for result in results.values())
    hot_load = loads[min(len(loads) - 1, int(len(loads) * policy.hot_share))]
    cold = [name for name in results if results[name].load < hot_load]
    if cold:
        name = min(cold, key=lambda n: results[n].latency_ms)
    else:
        name = min(results, key=lambda n: results[n].load)
    result = results[name]
    result.load += 1
    result.uses -= 1
    if result.uses <= 0:
        del policy.pool[name]
    return known[name]
