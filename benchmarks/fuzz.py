"""Runs random schedules of replicas and entries until one fails."""

from __future__ import annotations

import argparse
import random
import sys
import time

from harness import entries, replicas


def main() -> int:
    """Runs schedules for `--seconds` or until one fails; prints its seed.

    With `--seed`, runs only that seed.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=None)
    options = parser.parse_args()
    rng = random.Random(time.time_ns())
    end_s = time.monotonic() + options.seconds
    count = 0
    while time.monotonic() < end_s:
        seed = rng.getrandbits(32) if options.seed is None else options.seed
        try:
            _run(seed)
        except AssertionError as error:
            print(f"seed {seed}: {type(error).__name__}: {error}")
            return 1
        count += 1
        if options.seed is not None:
            break
    print(f"{count} seeds, no failure")
    return 0


def _run(seed: int) -> None:
    replicas.run_schedule(replicas.ReplicaSimulation(3, seed), 60)
    replicas.run_schedule(replicas.ReplicaSimulation(5, seed), 60)
    entries.run_schedule(entries.EntrySimulation(3, 3, seed), 40)


if __name__ == "__main__":
    sys.exit(main())
