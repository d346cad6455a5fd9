"""Measures how cost grows with servers, claims and changes.

The results stand in docs/CAPACITY.md.

`python -m benchmarks.capacity PART ...` runs the named parts, or all parts if
none is named.
"""

from __future__ import annotations

import json
import random
import signal
import statistics
import sys
import threading
import time
import tracemalloc
import urllib.request

from benchmarks.processes import read_usage
from gentianwall.claims.commands import ClaimKey, RecordClaim
from gentianwall.claims.register import RegisterState, apply_command
from gentianwall.claims.snapshot_codec import decode_register, encode_register
from gentianwall.commands import apply as applying
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.routing.pool import ServerPool
from harness.cluster import (
    DECLARATION,
    Cluster,
    call,
    open_cluster,
    wait_until,
)

MEASURE_S = 8.0
HEARTBEAT_S = 0.8
BYTES_PER_MB = 1024 * 1024


def choices() -> None:
    """Measures the time to choose a server by the number of servers."""
    print("\n## Time of one choice\n")
    print("| servers of the service | microseconds a choice |")
    print("| --- | --- |")
    for count in (6, 20, 31, 200, 2600):
        pool = ServerPool(average_service_ms=10.0)
        for number in range(count):
            key = ServerKey("s", f"s{number}")
            notice = ServerNotice(key, "127.0.0.1", 1, 2, "", 1, "up")
            pool.put(notice, -1e6)
        rng = random.Random(1)
        rounds = max(50, 40_000 // count)
        start_s = time.perf_counter()
        for number in range(rounds):
            pool.pick((), float(number), rng)
        choice_us = (time.perf_counter() - start_s) / rounds * 1e6
        print(f"| {count} | {choice_us:.1f} |")


def claims() -> None:
    """Measures memory per claim and the cost of encoding a snapshot."""
    print("\n## Claims held by one replica\n")
    print("| claims | bytes a claim | snapshot MB | encode s | decode s |")
    print("| --- | --- | --- | --- | --- |")
    for count in (10_000, 50_000, 200_000):
        tracemalloc.start()
        state = RegisterState()
        for number in range(count):
            key = ClaimKey("order-desk", "planner", f"{number:036d}")
            command = RecordClaim(
                key, "0" * 32, f"abcdef123456-{number}", 1000 + number
            )
            apply_command(state, command)
        held_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        start_s = time.perf_counter()
        snapshot = encode_register(state)
        encode_end_s = time.perf_counter()
        decode_register(snapshot)
        decode_end_s = time.perf_counter()
        print(
            f"| {count} | {held_bytes / count:.0f} "
            f"| {len(snapshot) / BYTES_PER_MB:.1f} "
            f"| {encode_end_s - start_s:.2f} "
            f"| {decode_end_s - encode_end_s:.2f} |"
        )


def servers() -> None:
    """Measures the cost of instances without calls, by announced servers."""
    print("\n## Cost of knowing servers, at rest\n")
    print(
        "| entries | servers | role | % of a core | MB | sent B/s "
        "| received B/s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for entries, count in ((3, 0), (3, 36), (3, 144), (3, 576), (7, 36)):
        with open_cluster(entries, 3) as cluster:
            announcer = _Announcer(cluster, count)
            time.sleep(3.0)
            before = _read_usages(cluster)
            time.sleep(MEASURE_S)
            after = _read_usages(cluster)
            announcer.is_stopping = True
            announcer.thread.join()
            for role in ("entry", "control"):
                _print_usage(cluster, entries, count, role, before, after)


def _read_usages(cluster: Cluster) -> dict:
    return {
        i["name"]: read_usage(cluster, i["name"]) for i in cluster.instances
    }


def _print_usage(cluster, entries, count, role, before, after) -> None:
    names = cluster.names(role)

    def mean(field: str) -> float:
        return statistics.mean(
            getattr(after[n], field) - getattr(before[n], field) for n in names
        )

    memory_mb = max(after[n].memory_mb for n in names)
    print(
        f"| {entries} | {count} | {role} "
        f"| {100 * mean('cpu_s') / MEASURE_S:.2f} | {memory_mb:.0f} "
        f"| {mean('sent_bytes') / MEASURE_S:.0f} "
        f"| {mean('received_bytes') / MEASURE_S:.0f} |",
        flush=True,
    )


class _Announcer:
    """Announces many servers at each heartbeat, spread over the entries."""

    def __init__(self, cluster: Cluster, count: int):
        self.cluster = cluster
        self.count = count
        self.is_stopping = False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        entries = [
            self.cluster.address(name) for name in self.cluster.names("entry")
        ]
        while not self.is_stopping:
            start_s = time.monotonic()
            for number in range(self.count):
                _put_announcement(entries[number % len(entries)], number)
            left_s = HEARTBEAT_S - (time.monotonic() - start_s)
            time.sleep(max(0.01, left_s))


def _put_announcement(entry: str, number: int) -> None:
    content = {
        "address": "127.0.0.1",
        "port": 1 + number,
        "slots": 2,
        "failure_domain": "a",
        "incarnation": 1,
    }
    url = f"http://{entry}/gentianwall/v1/services/die-ledger/servers/s{number}"
    request = urllib.request.Request(
        url, json.dumps(content).encode(), method="PUT"
    )
    urllib.request.urlopen(request, timeout=5).close()


def changes() -> None:
    """Measures the time until all of seven entries have applied a change."""
    print("\n## Changes, seven entries and three control instances\n")
    with open_cluster(7, 3) as cluster:
        before = _read_usages(cluster)
        start_s = time.monotonic()
        times_s = []
        for number in range(200):
            begin_s = time.monotonic()
            text = DECLARATION + f"# change {number}\n"
            result = applying.apply(
                cluster.client(), text, "bench", number + 1, "", 10.0
            )
            assert result.code == 0, result
            times_s.append(time.monotonic() - begin_s)
        elapsed_s = time.monotonic() - start_s
        after = _read_usages(cluster)
        times_s.sort()
        print("| changes | p50 s | p99 s | max s | changes/s |")
        print("| --- | --- | --- | --- | --- |")
        print(
            f"| {len(times_s)} | {times_s[100]:.3f} | {times_s[197]:.3f} "
            f"| {times_s[-1]:.3f} | {len(times_s) / elapsed_s:.1f} |"
        )
        print("\n| role | CPU ms a change | sent B a change |")
        print("| --- | --- | --- |")
        for role in ("entry", "control"):
            names = cluster.names(role)
            cpu_ms = statistics.mean(
                after[n].cpu_s - before[n].cpu_s for n in names
            )
            sent = statistics.mean(
                after[n].sent_bytes - before[n].sent_bytes for n in names
            )
            print(f"| {role} | {cpu_ms * 5:.2f} | {sent / 200:.0f} |")


def elections() -> None:
    """Measures the time without a leader after the leader was killed."""
    print("\n## Elections after a kill, three control instances\n")
    times_s = []
    with open_cluster(1, 3) as cluster:
        for _ in range(20):
            leader = cluster.leader()
            cluster.kill(leader)
            start_s = time.monotonic()
            wait_until(
                lambda: cluster.status() is not None, "a new leader is elected"
            )
            times_s.append(time.monotonic() - start_s)
            cluster.start_instance(leader)
            time.sleep(1.0)
    times_s.sort()
    print("| kills | p50 s | max s |")
    print("| --- | --- | --- |")
    print(f"| 20 | {times_s[10]:.2f} | {times_s[-1]:.2f} |")


def restarts() -> None:
    """Measures the restart time of a control instance after many commands."""
    print("\n## Restart after many commands\n")
    print("| commands | journal MB | seconds until it answers | MB |")
    print("| --- | --- | --- | --- |")
    for count in (1000, 10_000):
        with open_cluster(1, 1) as cluster:
            _commit_commands(cluster, count)
            name = cluster.names("control")[0]
            journal_mb = (
                cluster.replica_status(name)["journal_bytes"] / BYTES_PER_MB
            )
            cluster.signal(name, signal.SIGKILL)
            cluster.processes[name].wait()
            start_s = time.monotonic()
            cluster.start_instance(name)
            wait_until(
                lambda: cluster.status() is not None,
                "the control instance answers",
            )
            elapsed_s = time.monotonic() - start_s
            status = cluster.status()
            assert status["commit_index"] >= count, status["commit_index"]
            memory_mb = read_usage(cluster, name).memory_mb
            print(
                f"| {count} | {journal_mb:.1f} | {elapsed_s:.2f} "
                f"| {memory_mb:.0f} |",
                flush=True,
            )


def _commit_commands(cluster: Cluster, count: int) -> None:
    address = cluster.address("entry-0", "operators_address")
    for number in range(count):
        fingerprint = f"{number:032x}".encode()
        call(address, "POST", "/v1/quarantine/release", fingerprint)


PARTS = {
    part.__name__: part
    for part in (choices, claims, servers, changes, elections, restarts)
}


def main() -> None:
    """Runs the parts named on the command line, or all."""
    for name in sys.argv[1:] or list(PARTS):
        PARTS[name]()


if __name__ == "__main__":
    main()
