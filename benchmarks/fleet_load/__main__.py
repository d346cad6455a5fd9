"""Command line of the load model: `python -m benchmarks.fleet_load --help`."""

from __future__ import annotations

import sys
from typing import Annotated

import attrs
import cyclopts

from benchmarks.fleet_load.model import FleetModel
from benchmarks.fleet_load.scenario import load_scenario
from gentianwall.config.fleet import OverloadPolicy

app = cyclopts.App(
    name="fleet_load",
    help="Run real entries against model servers in virtual time.",
)


@app.default
def run(
    scenarios: Annotated[
        list[str], cyclopts.Parameter(help="Scenario files (TOML).")
    ],
    *,
    seed: Annotated[int, cyclopts.Parameter(help="First seed.")] = 1,
    seeds: Annotated[int, cyclopts.Parameter(help="Number of seeds.")] = 1,
    as_json: Annotated[
        bool, cyclopts.Parameter(help="Print JSON, one line a run.")
    ] = False,
    policy: Annotated[
        OverloadPolicy | None,
        cyclopts.Parameter(help="Overload policy instead of the scenario's."),
    ] = None,
) -> int:
    """Runs each scenario with each seed and prints its figures."""
    for path in scenarios:
        try:
            scenario = load_scenario(path)
        except (OSError, ValueError) as error:
            print(error, file=sys.stderr)
            return 2
        if policy is not None:
            scenario = attrs.evolve(scenario, overload_policy=policy)
        for number in range(seed, seed + seeds):
            result = FleetModel(scenario, number).run()
            if as_json:
                print(result.to_json())
                continue
            figures = "  ".join(
                f"{name} {value:.3g}"
                for name, value in result.summary().items()
            )
            print(f"{path} seed {number}: {figures}")
            print(result.kinds_text(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(app(sys.argv[1:], result_action="return_value"))
