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
class HotCold:
    """Probed requests in flight and latency, after Prequal (NSDI 2024).

    Attributes:
        hot_share: Quantile of the loads above which a server is hot.
        pool: Probe results: server name to load and latency in ms.
        pool_size: Results kept at most.
    """

    hot_share: float = 0.75
    pool: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    pool_size: int = 16


@attrs.define
class ExpectedLatency:
    """The server with the least expected time of the next call.

    Attributes:
        sample: How many servers are drawn at random and compared; 0 for all.
    """

    sample: int = 0


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
    usual_ms: float,
    now_ms: float,
    rng: random.Random,
) -> Server:
    """Picks one of some servers.

    Args:
        policy: How to pick.
        servers: The candidates, at least one.
        usual_ms: Time of a call at the service's usual server.
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
            return _least(drawn, lambda s: s.expected_ms(now_ms, usual_ms), rng)


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
    known = [s for s in servers if s.notice.key.server in policy.pool]
    if len(known) < 2:
        return rng.choice(servers)
    results = {s.notice.key.server: s for s in known}
    loads = sorted(policy.pool[name][0] for name in results)
    hot = loads[min(len(loads) - 1, int(len(loads) * policy.hot_share))]
    cold = [n for n in results if policy.pool[n][0] < hot]
    if cold:
        name = min(cold, key=lambda n: policy.pool[n][1])
    else:
        name = min(results, key=lambda n: policy.pool[n][0])
    load, latency_ms = policy.pool[name]
    policy.pool[name] = (load + 1, latency_ms)
    return results[name]
