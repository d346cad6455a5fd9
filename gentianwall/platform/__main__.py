"""Starts a process on the platform: `python3 -m gentianwall.platform`.

It has no options, so it loads no library for a command line: a restart then
takes a fifth less time.
"""

from __future__ import annotations

import sys

from gentianwall.platform import process

if __name__ == "__main__":
    sys.exit(process.run())
