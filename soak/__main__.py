"""Command line of the soak test: `python -m soak --help`."""

from __future__ import annotations

import sys
from typing import Annotated

import cyclopts

app = cyclopts.App(
    name="soak",
    help="Inject faults into a fleet of real processes and check guarantees.",
)


@app.default
def soak(
    *,
    seed: Annotated[int, cyclopts.Parameter(help="First seed.")] = 1,
    seeds: Annotated[int, cyclopts.Parameter(help="Number of seeds.")] = 1,
    seconds_limit: Annotated[
        float,
        cyclopts.Parameter(help="Seconds of fault injection for each seed."),
    ] = 20.0,
    calm: Annotated[
        bool,
        cyclopts.Parameter(
            help="Only planned work: stops of entries, SIGHUP and changes."
        ),
    ] = False,
    verbose: Annotated[
        bool, cyclopts.Parameter(help="Print the faults of each seed.")
    ] = False,
) -> int:
    """Runs the seeds; returns 1 if one of them violated a guarantee."""
    from soak.run import run_seed

    failed = 0
    for number in range(seed, seed + seeds):
        run = run_seed(number, seconds_limit, calm)
        violations = run.observations.violations
        failed += bool(violations)
        verdict = "BROKEN" if violations else "kept"
        statuses = dict(sorted(run.observations.statuses.items()))
        print(f"seed {number}: {verdict}, {len(run.log)} faults, {statuses}")
        if violations or verbose:
            print("\n".join(run.log))
        for violation in violations:
            print(f"  {violation}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app(sys.argv[1:], result_action="return_value"))
