"""Measures the latency that an entry adds, compared with a minimal relay.

Uses real processes on loopback: a server, the relay, an entry with its control
instance, and this process as load client. Run with
`python -m benchmarks.latency`.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import subprocess
import sys
import threading
import time
import urllib.request

from benchmarks.http_load import LoadResult, run_load
from harness.cluster import call, free_port, open_cluster, wait_until

HERE = pathlib.Path(__file__).parent
CONNECTIONS = (1, 16, 64)
HEARTBEAT_S = 0.8


def main() -> None:
    """Runs the measurement and prints a Markdown table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    server_port, relay_port = free_port(), free_port()
    processes = [
        _start("fast_server.py", server_port),
        _start("bare_relay.py", relay_port, server_port),
    ]
    try:
        with open_cluster(1, 1) as cluster:
            entry = cluster.address("entry-0")
            time.sleep(0.5)
            threading.Thread(
                target=_announce_repeatedly,
                args=(entry, server_port),
                daemon=True,
            ).start()
            wait_until(
                lambda: call(entry, "GET", "/die-ledger/x").status == 200,
                "the entry answers",
            )
            targets = {
                "direct": (f"127.0.0.1:{server_port}", "/x"),
                "relay": (f"127.0.0.1:{relay_port}", "/x"),
                "entry": (entry, "/die-ledger/x"),
            }
            _measure(targets, options)
    finally:
        for process in processes:
            process.kill()
            process.wait()


def _start(script: str, *ports: int) -> subprocess.Popen:
    command = [sys.executable, str(HERE / script), *map(str, ports)]
    return subprocess.Popen(
        command, start_new_session=True, stderr=subprocess.DEVNULL
    )


def _announce(entry: str, port: int) -> None:
    content = {
        "address": "127.0.0.1",
        "port": port,
        "slots": 512,
        "failure_domain": "a",
        "incarnation": 1,
    }
    url = f"http://{entry}/gentianwall/v1/services/die-ledger/servers/fast"
    request = urllib.request.Request(
        url, json.dumps(content).encode(), method="PUT"
    )
    urllib.request.urlopen(request).close()


def _announce_repeatedly(entry: str, port: int) -> None:
    while True:
        try:
            _announce(entry, port)
        except OSError:
            return
        time.sleep(HEARTBEAT_S)


def _measure(targets, options) -> None:
    print("| round | load | target | p50 ms | p99 ms | calls/s | errors |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for number in range(1, options.rounds + 1):
        rates = {}
        for connections in CONNECTIONS:
            for name, (address, path) in targets.items():
                result = run_load(address, path, connections, options.seconds)
                rates[name] = result.calls_per_s
                _print_row(number, f"{connections} closed", name, result)
        half_rate = rates["entry"] / 2
        for name, (address, path) in targets.items():
            result = run_load(
                address, path, 16, options.seconds, rate=half_rate
            )
            _print_row(number, f"{half_rate:.0f}/s, 16 conn.", name, result)


def _print_row(number: int, load: str, name: str, result: LoadResult) -> None:
    print(
        f"| {number} | {load} | {name} | {result.quantile(0.5):.3f} "
        f"| {result.quantile(0.99):.3f} | {result.calls_per_s:.0f} "
        f"| {result.errors} |",
        flush=True,
    )


if __name__ == "__main__":
    main()
