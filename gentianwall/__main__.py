"""Command line of the daemon."""

from __future__ import annotations

import signal
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
        str, cyclopts.Parameter(help="Data folder for --standalone.")
    ] = "data",
    verbose: Annotated[bool, cyclopts.Parameter(help="Log details.")] = False,
) -> int:
    """Runs an instance of the load balancer."""
    from gentianwall.commands import daemon

    if standalone:
        return daemon.run_standalone(data, verbose)
    if not settings:
        print("no settings file: use --settings FILE or --standalone")
        return daemon.EXIT_BAD_INPUT
    return daemon.run_from_file(settings, verbose)


@app.command(name="found")
def found(
    *,
    settings: Annotated[
        str, cyclopts.Parameter(help="Settings file of one control instance.")
    ],
) -> int:
    """Bootstraps a cluster once, on one control instance; the others join."""
    from gentianwall.commands import daemon

    return daemon.bootstrap_cluster(settings)


@app.command(name="fleet")
def fleet(
    *,
    settings: Annotated[
        str, cyclopts.Parameter(help="Settings file of one fleet process.")
    ],
) -> int:
    """Runs a process of a fleet whose members are discovered at run time."""
    # A reload signal would end the process before its handler is set. Whatever
    # changes until then is found when the settings are read again. The other
    # commands do not reload, so the signal ends them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from gentianwall.commands import fleet as fleet_command
    from gentianwall.http.dialect import Dialect

    return fleet_command.run_from_file(settings, Dialect(), _load_control_pages)


def _load_control_pages():
    """Returns the factory of the request handler of control instances.

    The import is local because entries do not need the handler.
    """
    from gentianwall.http.control_pages import make_control_pages

    return make_control_pages


def main() -> None:
    """Parses the command line and exits with the command's code."""
    sys.exit(app(sys.argv[1:], result_action="return_value"))


if __name__ == "__main__":
    main()
