"""Replays organisations with quotas over many entries, without a network.

States for each phase the share of requests that are refused although their
organisation is below its quota, how long requests wait for tokens, the polls a
second, and the largest window of any organisation relative to the bound. Usage:
python -m benchmarks.limits [--entries N] [--seed N]
"""

from __future__ import annotations

import argparse
import collections
import random

import attrs

from gentianwall.control.limits import quota_size
from harness.limit_fleet import LimitFleet, bound

STEP_MS = 10.0
LARGE = 6
ORGANISATIONS = 86
TOTAL_PER_S = 420.0
LARGE_SHARE = 0.5
# Usual load of an organisation as a share of its quota.
USUAL_SHARE = 0.75
BURST_S = 1.0
FACTOR = 7.0
FEW_ENTRIES = 3


@attrs.frozen
class Load:
    """Usual load and quota of one organisation."""

    name: str
    per_s: float
    rate_per_s: float
    burst: float


def make_loads(rng: random.Random) -> list[Load]:
    """Returns a few large organisations and many small ones."""
    small = [rng.uniform(0.5, 5.0) for _ in range(ORGANISATIONS - LARGE)]
    scale = TOTAL_PER_S * (1.0 - LARGE_SHARE) / sum(small)
    rates = [TOTAL_PER_S * LARGE_SHARE / LARGE] * LARGE
    rates += [scale * rate for rate in small]
    return [
        Load(
            f"o{number}",
            per_s,
            per_s / USUAL_SHARE,
            BURST_S * per_s / USUAL_SHARE,
        )
        for number, per_s in enumerate(rates)
    ]


def run_phase(
    fleet: LimitFleet,
    loads: list[Load],
    duration_s: float,
    rng: random.Random,
    busy: str = "",
) -> dict[str, float]:
    """Plays a phase; the organisation `busy` sends much more at few entries."""
    names = list(fleet.entries)
    sent, refused = fleet.sent.copy(), fleet.refused.copy()
    below = fleet.refused_below.total()
    polls, waited = fleet.polls, len(fleet.waited_ms)
    fleet.most.clear()
    arrived = collections.Counter()
    for _ in range(int(duration_s * 1000.0 / STEP_MS)):
        for load in loads:
            factor = FACTOR if load.name == busy else 1.0
            expected = load.per_s * factor * STEP_MS / 1000.0
            while expected > 0.0:
                if rng.random() < expected:
                    among = names[:FEW_ENTRIES] if load.name == busy else names
                    fleet.request(rng.choice(among), load.name)
                    arrived[load.name] += 1
                expected -= 1.0
        fleet.advance(STEP_MS)
    others = [load.name for load in loads if load.name != busy]
    refused_others = sum(fleet.refused[name] - refused[name] for name in others)
    arrived_others = sum(arrived[name] for name in others)
    waits_ms = sorted(fleet.waited_ms[waited:])
    result = {
        "requests_per_s": sum(arrived.values()) / duration_s,
        "refused_share_of_others": refused_others / arrived_others,
        "refused_below_quota_share": (fleet.refused_below.total() - below)
        / arrived.total(),
        "waited_share": len(waits_ms) / sum(arrived.values()),
        "wait_p50_ms": waits_ms[len(waits_ms) // 2] if waits_ms else 0.0,
        "wait_p99_ms": waits_ms[len(waits_ms) * 99 // 100] if waits_ms else 0.0,
        "polls_per_entry_s": (fleet.polls - polls) / duration_s / len(names),
        "largest_window_of_bound": max(
            fleet.most[load.name] / bound(load.rate_per_s, load.burst)
            for load in loads
        ),
    }
    if busy:
        load = next(load for load in loads if load.name == busy)
        served = fleet.sent[busy] - sent[busy]
        result["busy_served_of_quota"] = served / duration_s / load.rate_per_s
    return result


def main() -> None:
    """Prints the results of all phases."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--entries", type=int, default=52)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    rng = random.Random(arguments.seed)
    loads = make_loads(rng)
    sizes = {
        load.name: quota_size(load.rate_per_s, load.burst) for load in loads
    }
    fleet = LimitFleet(sizes, arguments.seed)
    fleet.allowed = {
        load.name: load.rate_per_s * 5.0 + load.burst for load in loads
    }
    fleet.elect(has_past=False)
    for number in range(arguments.entries):
        fleet.start_entry(f"e{number}")
    small = loads[-1].name

    def report(phase: str, result: dict[str, float]) -> None:
        text = " ".join(f"{key}={item:.4f}" for key, item in result.items())
        print(f"{phase}: {text}", flush=True)

    report("start", run_phase(fleet, loads, 10.0, rng))
    report("steady", run_phase(fleet, loads, 60.0, rng))
    report("small organisation", run_phase(fleet, loads, 20.0, rng, small))
    report("large organisation", run_phase(fleet, loads, 20.0, rng, "o0"))
    fleet.lose_leader()
    report("no leader, 1 s", run_phase(fleet, loads, 1.0, rng))
    fleet.elect()
    report("new leader", run_phase(fleet, loads, 10.0, rng))
    report("settled", run_phase(fleet, loads, 20.0, rng))
    fleet.lose_leader()
    report("no leader", run_phase(fleet, loads, 20.0, rng))


if __name__ == "__main__":
    main()
