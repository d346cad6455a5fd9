"""Starts a process on the platform: `python3 -m gentianwall.platform`.

Starting a process takes no options, so this module imports no command-line
library. That shortens a restart by a fifth. `check FILE` as arguments checks a
configuration instead.
"""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Starts the process, or checks a configuration; returns an exit code."""
    if sys.argv[1:2] == ["check"]:
        from gentianwall.platform import check

        return check.run(sys.argv[1:])
    # A reload signal would end the process before its handler is set. Whatever
    # changes until then is found when the settings are read again.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from gentianwall.platform import process

    return process.run()


if __name__ == "__main__":
    sys.exit(main())
