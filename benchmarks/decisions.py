"""Compares the placement policy in use with baseline policies.

Run with `python -m benchmarks.decisions`; the output is deterministic: the
same code prints the same figures. `--quick` runs only the loads that the
comparison is judged by, 70% and 85%.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import zlib

import attrs

from benchmarks.load_parts import Faults, Outcome, User
from benchmarks.shifting_load import Simulation
from gentianwall.config.declaration import (
    MeasuringSettings,
    ServiceSettings,
)
from gentianwall.routing.policies import (
    ExpectedLatency,
    HotCold,
    LeastOutstanding,
    RandomChoice,
    RoundRobin,
    TwoChoices,
)

RUN_MS = 6000.0
SETTINGS = ServiceSettings(expected_service_ms=8.0, default_max_wait_ms=1000.0)
MINT = User(
    name="mint",
    servers=20,
    slots=2,
    domains=3,
    service_ms=8.0,
    remote_ms=1.0,
    local_ms=0.2,
    probe_ms=0.5,
    entries=6,
    measuring=MeasuringSettings(
        budget_ratio=0.01, probe_cost_ms=0.5, silence_ms=300.0
    ),
    settings=SETTINGS,
)
COOPERATIVE = User(
    name="cooperative",
    servers=20,
    slots=4,
    domains=3,
    service_ms=16.0,
    remote_ms=1.5,
    local_ms=0.2,
    probe_ms=6.0,
    entries=7,
    measuring=MeasuringSettings(
        budget_ratio=0.001, probe_cost_ms=6.0, silence_ms=5000.0
    ),
    settings=attrs.evolve(SETTINGS, expected_service_ms=16.0),
)
POLICIES = {
    "random": (RandomChoice, False),
    "round robin": (RoundRobin, False),
    "least outstanding": (LeastOutstanding, False),
    "two choices": (TwoChoices, False),
    "probing": (None, False),
    "own": (ExpectedLatency, True),
}
FAULTS = {
    "steady": Faults(),
    "steps": Faults(is_stepping=True),
    "noisy": Faults(is_noisy=True),
    "draining": Faults(is_draining=True),
    "failing fast": Faults(is_failing_fast=True),
    "lying": Faults(is_misreporting=True),
    "cold": Faults(is_warming_up=True),
    "noisy, lying": Faults(is_noisy=True, is_misreporting=True),
    "noisy, steps": Faults(is_noisy=True, is_stepping=True),
    "noisy, failing fast": Faults(is_noisy=True, is_failing_fast=True),
    "draining, cold": Faults(is_draining=True, is_warming_up=True),
}
LOADS = (0.5, 0.7, 0.85, 0.95, 1.2)
QUICK_LOADS = (0.7, 0.85)


# The probes of the baseline add about a twentieth to the service time of a
# call: 0.8 probes of 0.5 ms for a call of 8 ms, and 0.13 probes of 6 ms for a
# call of 16 ms.
PROBING_BASELINES = {
    "mint": lambda: HotCold(probes_per_call=0.8, uses=2),
    "cooperative": lambda: HotCold(probes_per_call=0.13, uses=10),
}


@attrs.frozen
class Cell:
    """Parameters of one simulation, which gives one row of the table."""

    user: User
    faults: str
    load: float
    policy: str


def run_cell(cell: Cell) -> Outcome:
    """Runs the simulation of one cell; the same cell gives the same outcome."""
    seed = zlib.crc32(f"{cell.faults} {cell.load}".encode())
    make_policy, is_managed = POLICIES[cell.policy]
    if make_policy is None:
        make_policy = PROBING_BASELINES[cell.user.name]
    simulation = Simulation(
        cell.user,
        make_policy,
        cell.load,
        FAULTS[cell.faults],
        seed,
        is_managed,
    )
    return simulation.run(RUN_MS)


def main() -> None:
    """Prints the results as a Markdown table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--workers", type=int, default=5)
    parser.add_argument("--policies", default=",".join(POLICIES))
    options = parser.parse_args()
    loads = QUICK_LOADS if options.quick else LOADS
    cells = [
        Cell(user, faults, load, policy)
        for user in (MINT, COOPERATIVE)
        for faults in FAULTS
        for load in loads
        for policy in options.policies.split(",")
    ]
    print(
        "| user | faults | load | policy | p50 ms | p99 ms | p99.9 ms "
        "| refused | probe ms/s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    with concurrent.futures.ProcessPoolExecutor(options.workers) as pool:
        for cell, outcome in zip(cells, pool.map(run_cell, cells), strict=True):
            print(
                f"| {cell.user.name} | {cell.faults} | {cell.load:.0%} "
                f"| {cell.policy} | {outcome.quantile(0.5):.1f} "
                f"| {outcome.quantile(0.99):.1f} "
                f"| {outcome.quantile(0.999):.1f} "
                f"| {outcome.refused_share:.2%} "
                f"| {outcome.probe_ms_per_s:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
