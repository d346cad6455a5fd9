"""Replays organisations with quotas over many entries, without a network.

States for each phase the share of requests that are refused although their
organisation is below its quota, how long requests wait for tokens, the polls a
second, and the largest window of any organisation relative to the bound. With
--costs it states instead what limits add to a poll, by entries and limits, in
bytes and in processor time. Usage:
python -m benchmarks.limits [--entries N] [--seed N] [--costs]
"""

from __future__ import annotations

import argparse
import collections
import random
import time

import attrs

from gentianwall import codec
from gentianwall.control.limits import quota_size
from gentianwall.control.messages import FeedNotice, FeedPoll
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
PLAIN_POLLS = 1000
COST_PHASE_S = 20.0
COST_SIZES = ((52, 20), (52, 86), (194, 86), (52, 500))


@attrs.frozen
class Load:
    """Usual load and quota of one organisation."""

    name: str
    per_s: float
    rate_per_s: float
    burst: float


class MeasuredFleet(LimitFleet):
    """Encodes and decodes the messages, and measures what they cost.

    Attributes:
        poll_bytes: Bytes that limits add to polls.
        notice_bytes: Bytes that limits add to notices.
        leader_s: Processor time of the leader to decode and apply polls and to
            encode their notices, without that of decoding a poll that has no
            limits. Notices without limits are encoded once for all entries.
    """

    def __init__(self, sizes, seed):
        super().__init__(sizes, seed)
        self.poll_bytes = self.notice_bytes = 0
        self.leader_s = 0.0
        self._plain_poll = FeedPoll(1, 100, 0, True)
        self._plain_notice = FeedNotice(
            1, 1, None, 100, (), 0, None, ("control-1:7000",) * 5, 52
        )
        data = codec.pack(self._plain_poll, FeedPoll)
        self._plain_poll_bytes = len(data)
        self._plain_notice_bytes = len(
            codec.pack(self._plain_notice, FeedNotice)
        )
        started_s = time.process_time()
        for _ in range(PLAIN_POLLS):
            codec.unpack(data, FeedPoll)
        self._plain_s = (time.process_time() - started_s) / PLAIN_POLLS

    def _deliver_poll(self, entry, poll) -> None:
        message = attrs.evolve(self._plain_poll, limits=poll)
        data = codec.pack(message, FeedPoll)
        self.poll_bytes += len(data) - self._plain_poll_bytes
        started_s = time.process_time()
        poll = codec.unpack(data, FeedPoll).limits
        super()._deliver_poll(entry, poll)
        self.leader_s += time.process_time() - started_s - self._plain_s

    def _send(self, kind, entry, content) -> None:
        if kind == "notice":
            message = attrs.evolve(self._plain_notice, limits=content[0])
            data = codec.pack(message, FeedNotice)
            self.notice_bytes += len(data) - self._plain_notice_bytes
        super()._send(kind, entry, content)


def make_loads(
    rng: random.Random, organisations: int = ORGANISATIONS
) -> list[Load]:
    """Returns a few large organisations and many small ones."""
    small = [rng.uniform(0.5, 5.0) for _ in range(organisations - LARGE)]
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


def print_costs(seed: int) -> None:
    """Prints what limits add to polls, by entries and limits."""
    for entries, organisations in COST_SIZES:
        rng = random.Random(seed)
        loads = make_loads(rng, organisations)
        fleet = make_fleet(loads, entries, seed, MeasuredFleet)
        run_phase(fleet, loads, 10.0, rng)
        fleet.poll_bytes = fleet.notice_bytes = fleet.polls = 0
        fleet.leader_s = 0.0
        run_phase(fleet, loads, COST_PHASE_S, rng)
        print(
            f"{entries} entries, {organisations} limits:"
            f" polls_per_entry_s={fleet.polls / COST_PHASE_S / entries:.2f}"
            f" poll_bytes={fleet.poll_bytes / fleet.polls:.0f}"
            f" notice_bytes={fleet.notice_bytes / fleet.polls:.0f}"
            f" leader_us_per_poll={fleet.leader_s / fleet.polls * 1e6:.0f}"
            f" leader_core={fleet.leader_s / COST_PHASE_S:.4f}",
            flush=True,
        )


def make_fleet(
    loads: list[Load], entries: int, seed: int, fleet_class=LimitFleet
) -> LimitFleet:
    """Returns a leader and entries that have just started."""
    sizes = {
        load.name: quota_size(load.rate_per_s, load.burst) for load in loads
    }
    fleet = fleet_class(sizes, seed)
    fleet.allowed = {
        load.name: load.rate_per_s * 5.0 + load.burst for load in loads
    }
    fleet.elect(has_past=False)
    for number in range(entries):
        fleet.start_entry(f"e{number}")
    return fleet


def main() -> None:
    """Prints the results of all phases."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--entries", type=int, default=52)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--costs", action="store_true")
    arguments = parser.parse_args()
    if arguments.costs:
        print_costs(arguments.seed)
        return
    rng = random.Random(arguments.seed)
    loads = make_loads(rng)
    fleet = make_fleet(loads, arguments.entries, arguments.seed)
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
