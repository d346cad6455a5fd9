"""Starts a standalone daemon and servers of three services.

One service answers look-ups, one accepts orders that must be executed at most
once, one accepts uploads. Ctrl-C stops all processes.
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
SERVERS = {"die-ledger": 3, "order-desk": 2, "scan-vault": 1}


def main() -> int:
    """Runs the demonstration until it is interrupted."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    commands = [
        ["-m", "gentianwall", "--standalone", "--data", str(DATA)],
        *([str(HERE / "standin_server.py"), "--name", f"{service}-{n}",
           "--service", service]
          for service, count in SERVERS.items() for n in range(1, count + 1)),
    ]  # fmt: skip
    processes = [
        subprocess.Popen([sys.executable, *command], start_new_session=True)
        for command in commands
    ]
    try:
        if not _apply_declaration():
            print("The declaration could not be applied; the error is above.")
            return 1
        for service in SERVERS:
            _wait_until_served(f"http://127.0.0.1:8080/{service}/")
        print(
            "\nThe load balancer is running.\n"
            "  callers:    http://127.0.0.1:8080\n"
            "  operators:  http://127.0.0.1:8081\n"
            "  data:       " + str(DATA) + "\n\n"
            "Try:\n"
            "  curl -i http://127.0.0.1:8080/die-ledger/dies/42\n"
            "  curl -i -H 'Idempotency-Key: k-1' -d 'die 42' "
            "http://127.0.0.1:8080/order-desk/orders\n"
            "    (send it twice: it is executed once)\n"
            "  head -c 500000 /dev/zero | curl -i --data-binary @- "
            "http://127.0.0.1:8080/scan-vault/scans\n"
            "  .venv/bin/gentianwallctl status\n"
            "  .venv/bin/gentianwallctl timeline\n\n"
            "Press Ctrl-C to stop.",
            flush=True,
        )
        processes[0].wait()
    except KeyboardInterrupt:
        print("\nStopping.")
    finally:
        for process in reversed(processes):
            process.terminate()
        for process in processes:
            process.wait()
    return 0


def _apply_declaration() -> bool:
    declaration = HERE / "first-try" / "declaration.toml"
    command = [sys.executable, "-m", "gentianwall.ctl", "apply"]
    command += [str(declaration), "--wait-s", str(STARTUP_S)]
    return subprocess.run(command, check=False).returncode == 0


def _wait_until_served(url: str) -> None:
    deadline_s = time.monotonic() + STARTUP_S
    while time.monotonic() < deadline_s:
        try:
            with urllib.request.urlopen(url, timeout=2):
                return
        except OSError:
            time.sleep(0.1)


if __name__ == "__main__":
    sys.exit(main())
