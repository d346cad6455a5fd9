"""The daemon's command line."""

from __future__ import annotations

import sys
from typing import Annotated

import cyclopts

from gentianwall import __version__

app = cyclopts.App(
    name="gentianwalld",
    help="A load balancer for servers whose load shifts in milliseconds.",
    version=__version__,
)


@app.default
def run(
    *,
    settings: Annotated[
        str, cyclopts.Parameter(help="Settings file of this instance.")
    ] = "",
    standalone: Annotated[
        bool, cyclopts.Parameter(help="Run both roles in one process.")
    ] = False,
    data: Annotated[
        str, cyclopts.Parameter(help="Data folder of --standalone.")
    ] = "data",
    verbose: Annotated[bool, cyclopts.Parameter(help="Log details.")] = False,
) -> int:
    """Runs the daemon."""
    from gentianwall.commands import daemon

    if standalone:
        return daemon.run_standalone(data, verbose)
    if not settings:
        print("name a file with --settings, or use --standalone")
        return daemon.EXIT_BAD_INPUT
    return daemon.run_from_file(settings, verbose)


@app.command(name="found")
def found(
    *,
    settings: Annotated[
        str, cyclopts.Parameter(help="Settings of one control instance.")
    ],
) -> int:
    """Founds a cluster, once, on one control instance; the others join."""
    from gentianwall.commands import daemon

    return daemon.found_cluster(settings)


@app.command(name="fleet")
def fleet(
    *,
    settings: Annotated[
        str, cyclopts.Parameter(help="Settings of one process of the fleet.")
    ],
) -> int:
    """Runs a process of a fleet whose members are found at run time."""
    from gentianwall.commands import fleet as fleets
    from gentianwall.http.dialect import Dialect

    return fleets.run_from_file(settings, Dialect(), _load_control_pages)


def _load_control_pages():
    """Loads the pages of control instances, which entries do without."""
    from gentianwall.http.control_pages import make_control_pages

    return make_control_pages


def main() -> None:
    """Parses the command line and exits with the command's code."""
    sys.exit(app(sys.argv[1:], result_action="return_value"))


if __name__ == "__main__":
    main()
