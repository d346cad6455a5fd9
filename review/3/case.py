"""One report with bytes that cannot be read; then a request that crashes."""

from __future__ import annotations

import json
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

SERVICE = "die-ledger"
HOST = "dies.example"
CRASHING_PATH = "/dies/crash"
# The caller sends the crashing request this often, each time after a pause.
SENDINGS = 9
SENDING_PAUSE_S = 4.0
DOWN_S = 3.0
# BUDGET: retries that may reach backends after the third crash.
MOST_RETRIES = 3
# Half of a surrogate pair, encoded like a character: no valid UTF-8.
UNREADABLE = b"\xed\xa0\xbd"


def case() -> bool:
    """Returns whether the crashing request was kept from the backends."""
    with standins.running_system(FOLDER) as system:
        record = system.record
        backends = [
            standins.Backend(system, f"i-{n}", SERVICE, n) for n in range(1, 7)
        ]
        routes = [standins.route(HOST, "/dies/", "safe", SERVICE)]
        operator = standins.Operator(system)
        body = standins.desired_state(1, routes, [SERVICE])
        if operator.replace(1, body) is None:
            raise standins.NotRunError("the first desired state has no ack")
        crashes: list[float] = []
        for backend in backends:
            backend.on_run = lambda b, i, p: _crash(b, p, crashes)
            backend.start()
        for entry in system.entries:
            standins.wait_until(
                "an entry is ready", lambda e=entry: system.is_ready(e)
            )
        clients = standins.Clients(
            system, "read", "GET", HOST, lambda n: f"/dies/{n}", 20.0
        )
        clients.start()
        standins.wait_until(
            "all backends run requests", lambda: all(b.ran for b in backends)
        )
        time.sleep(3.0)
        if standins.is_trouble():
            _send_unreadable_report(system)
        time.sleep(1.0)
        reached = _send_crashing_requests(system, backends, crashes)
        clients.stop()
        # Not part of the rule that is checked: is a change acknowledged?
        body = standins.desired_state(2, routes, [SERVICE])
        duration_s = operator.replace(2, body, 10.0)
        record.add("check", "seconds to the ack of r2", seconds=duration_s)
        record.add(
            "check",
            "retries that reached backends after the third crash",
            count=reached,
        )
        return reached <= MOST_RETRIES


def _crash(backend, path: str, crashes: list[float]) -> None:
    """Crashes a backend that begins to run the crashing request."""
    if path != CRASHING_PATH:
        return
    crashes.append(backend.record.now_s())
    backend.crash()
    threading.Thread(target=_restart, args=(backend,), daemon=True).start()
    raise OSError("crashed")


def _restart(backend) -> None:
    """Starts a crashed backend again, under the id that it had."""
    time.sleep(DOWN_S)
    backend.start()


def _send_crashing_requests(system, backends, crashes: list[float]) -> int:
    """Sends the crashing request again and again.

    Returns:
        How many of those that were sent later than `stableWindowMs` after the
        third crash reached a backend.
    """
    window_s = standins.BOUNDS["stableWindowMs"] / 1000.0
    reached = 0
    for number in range(SENDINGS):
        entry = system.entries[number % len(system.entries)]
        request_id = f"crash-{number}"
        at_s = system.record.add(
            "client", "sends", id=request_id, node=entry.name
        )
        headers = {
            "Host": HOST,
            "X-Gentianwall-Request-Id": request_id,
            "X-Gentianwall-Deadline-Ms": "1200",
        }
        status, _ = standins.exchange(
            entry.host,
            system.front_port,
            "GET",
            CRASHING_PATH,
            b"",
            headers,
            1.5,
        )
        system.record.add("client", "answer", id=request_id, status=status)
        is_counted = len(crashes) >= 3 and at_s > crashes[2] + window_s
        ran = [i for b in backends for _, i in b.ran if i == request_id]
        reached += is_counted and bool(ran)
        time.sleep(SENDING_PAUSE_S)
    return reached


def _send_unreadable_report(system) -> None:
    """Sends one report; after a failure, the same to the next node."""
    report = {
        "service": "other-#",
        "address": f"127.{system.block}.3.9:{system.foreign_port}",
        "zone": "z1",
        "version": "v1",
        "maxConcurrency": 4,
        "state": "ready",
        "warmupLeftMs": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    body = json.dumps(report).encode().replace(b"#", UNREADABLE)
    for machine in system.controls:
        status, _ = system.rpc(machine, "instances.heartbeat&of=x-1", body)
        system.record.add(
            "other writer",
            "report whose service cannot be read",
            node=machine.name,
            status=status,
        )
        if 200 <= status < 300:
            return


standins.run_case(case)
