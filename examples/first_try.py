"""Starts a standalone daemon and three servers, and tells how to call them.

Ctrl-C ends all of it.
"""

from __future__ import annotations

import pathlib
import signal
import subprocess
import sys
import time
import urllib.request

HERE = pathlib.Path(__file__).parent
DATA = HERE.parent / "data"
STARTUP_S = 20.0


def main() -> int:
    """Runs the first try until it is interrupted."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    commands = [
        ["-m", "gentianwall", "--standalone", "--data", str(DATA)],
        *([str(HERE / "standin_server.py"), "--name", f"server-{n}"]
          for n in (1, 2, 3)),
    ]  # fmt: skip
    processes = [
        subprocess.Popen([sys.executable, *command], start_new_session=True)
        for command in commands
    ]
    try:
        if not _put_in_force():
            print("The declaration could not be applied; see above.")
            return 1
        _wait_for("http://127.0.0.1:8080/die-ledger/dies/42")
        print(
            "\nThe system runs.\n"
            "  callers:    http://127.0.0.1:8080\n"
            "  operators:  http://127.0.0.1:8081\n"
            "  data:       " + str(DATA) + "\n\n"
            "Try:\n"
            "  curl -i http://127.0.0.1:8080/die-ledger/dies/42\n"
            "  .venv/bin/gentianwallctl status\n"
            "  .venv/bin/gentianwallctl timeline\n\n"
            "Ctrl-C ends it.",
            flush=True,
        )
        processes[0].wait()
    except KeyboardInterrupt:
        print("\nEnding.")
    finally:
        for process in reversed(processes):
            process.terminate()
        for process in processes:
            process.wait()
    return 0


def _put_in_force() -> bool:
    declaration = HERE / "first-try" / "declaration.toml"
    command = [sys.executable, "-m", "gentianwall.ctl", "apply"]
    command += [str(declaration), "--wait-s", str(STARTUP_S)]
    return subprocess.run(command, check=False).returncode == 0


def _wait_for(url: str) -> None:
    limit_s = time.monotonic() + STARTUP_S
    while time.monotonic() < limit_s:
        try:
            with urllib.request.urlopen(url, timeout=2):
                return
        except OSError:
            time.sleep(0.1)


if __name__ == "__main__":
    sys.exit(main())
