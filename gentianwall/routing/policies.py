"""Which server gets the next call: the policy in use and its baselines.

The baselines stay here to be measured beside the policy in use; see
`benchmarks/decisions.py`.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

import attrs

from gentianwall.routing.servers import Server


@attrs.frozen
class NoServer:
    """No server can take the call now.

    Attributes:
        is_any_live: Whether some server lives, so that waiting may help.
    """

    is_any_live: bool


@attrs.define
class RandomChoice:
    """Any server, without regard to load."""


@attrs.define
class RoundRobin:
    """Each server in turn."""

    turn: int = 0


@attrs.define
class LeastOutstanding:
    """The server with the fewest calls of this entry."""


@attrs.define
class TwoChoices:
    """The less loaded of two drawn at random (Mitzenmacher, 2001)."""


@attrs.define
class ProbeResult:
    """What a probe told of a server, and how often it may still be used."""

    load: float
    latency_ms: float
    uses: int


@attrs.define
class HotCold:
    """Probed requests in flight and latency, after Prequal.

    Wydrowski et al., "Load is not what you should balance: Introducing
    Prequal" (NSDI 2024). Servers above a quantile of the loads are hot; of
    the others the one with the least latency is picked.

    Attributes:
        probes_per_call: Probes that each call brings.
        uses: How often one result is used.
        hot_share: Quantile of the loads above which a server is hot.
        pool_size: Results kept at most.
        pool: Results by server name, the oldest first.
    """

    probes_per_call: float = 1.0
    uses: int = 2
    hot_share: float = 0.75
    pool_size: int = 16
    pool: dict[str, ProbeResult] = attrs.field(factory=dict)


@attrs.define
class ExpectedLatency:
    """The server with the least expected time of the next call.

    Attributes:
        sample: How many servers are drawn at random and compared; 0 for all.
    """

    sample: int = 0


@attrs.frozen
class Usual:
    """What is usual at a service, to compare its servers with.

    Attributes:
        time_ms: Time of a call.
        foreign_load: Calls of other entries at a server.
    """

    time_ms: float
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
    usual: Usual,
    now_ms: float,
    rng: random.Random,
) -> Server:
    """Picks one of some servers.

    Args:
        policy: How to pick.
        servers: The candidates, at least one.
        usual: What is usual at the service.
        now_ms: The local clock.
        rng: Breaks ties and draws samples.
    """
    match policy:
        case RandomChoice():
            return rng.choice(servers)
        case RoundRobin():
            policy.turn += 1
            return servers[policy.turn % len(servers)]
        case LeastOutstanding():
            return _least(servers, lambda s: s.outstanding, rng)
        case TwoChoices():
            pair = rng.sample(servers, min(2, len(servers)))
            return _least(pair, lambda s: s.outstanding, rng)
        case HotCold():
            return _hot_cold(policy, servers, rng)
        case ExpectedLatency():
            drawn = servers
            if 0 < policy.sample < len(servers):
                drawn = rng.sample(servers, policy.sample)
            return _least_expected(drawn, usual, now_ms, rng)


def _least_expected(
    servers: Sequence[Server],
    usual: Usual,
    now_ms: float,
    rng: random.Random,
) -> Server:
    """Returns the server with the least expected time.

    The best case is a server without calls that is neither slow nor crowded;
    while there is one, the others need no closer look.
    """
    idle = [
        server
        for server in servers
        if not server.calls and server.is_unremarkable(usual.time_ms)
    ]
    if idle:
        return rng.choice(idle)
    return _least(
        servers,
        lambda s: s.expected_ms(now_ms, usual.time_ms, usual.foreign_load),
        rng,
    )


def _least(servers, key, rng: random.Random) -> Server:
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


def _hot_cold(
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
    hot = loads[min(len(loads) - 1, int(len(loads) * policy.hot_share))]
    cold = [name for name in results if results[name].load < hot]
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
