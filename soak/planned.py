"""Planned work on entries, and callers that keep their connections.

Beside it the wall clocks of processes are set, which must change nothing.
"""

from __future__ import annotations

import http.client
import random
import select
import signal
import socket
import subprocess
import threading
import time
from typing import TYPE_CHECKING

import attrs

from harness.fleet import (
    CALLERS_PORT,
    HOST,
    READINESS_PORT,
    Node,
    call,
    wait_until,
)
from harness.stepped_clock import set_clock
from soak.lost import GRACE_S, Outcome, Reload, Stop

if TYPE_CHECKING:
    from soak.run import SoakRun

QUICK_CALLERS = 6
# Callers that send bodies in parts. Some bodies are complete late in the grace
# period of a stop that begins in between.
SLOW_CALLERS = 36
SLOW_BODY_S = (0.5, 7.0)
REQUEST_GAP_S = 0.1
WAITS_MS = (700, 1500, 20_000)
# Timeouts of the routes; each change chooses one of them.
TIMEOUTS_MS = (1100, 2000, 20_000)
# Bounds of the service time of a run, and of its variation.
SERVICE_S = (0.05, 0.9)
SERVICE_VARIATION = (0.7, 1.3)
# Servers that share their machine are as much slower for a moment.
SLOW_FACTOR = 4.0
SLOW_SHARE = 0.25
CLOCK_GAP_S = (0.2, 2.0)
MAX_CLOCK_OFFSET_S = 20.0
STOP_GAP_S = (0.2, 2.5)
RELOAD_GAP_S = (0.1, 1.0)
CHANGE_GAP_S = (0.05, 0.6)
SERVICE_GAP_S = 0.2


@attrs.define
class _Request:
    request_id: str
    path: str
    is_idempotent: bool
    wait_ms: int
    parts: list[bytes]
    gap_s: float

    @classmethod
    def choose(
        cls, rng: random.Random, number: str, is_quick: bool, safe_prefix: str
    ) -> _Request:
        """Chooses a request; its body has several parts if it is slow."""
        is_idempotent = rng.random() < 0.5
        request_id = (safe_prefix if is_idempotent else "order-") + number
        path = "/reads/x" if is_idempotent else "/orders/x"
        wait_ms = rng.choice(WAITS_MS)
        body = b"order"
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Gentianwall-Request-Id: {request_id}\r\n"
            f"X-Gentianwall-Deadline-Ms: {wait_ms}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        if is_quick:
            return cls(
                request_id, path, is_idempotent, wait_ms, [head + body], 0
            )
        count = rng.randrange(1, len(body))
        parts = [head + body[:-count], *(bytes([b]) for b in body[-count:])]
        gap_s = rng.uniform(*SLOW_BODY_S) / count
        return cls(request_id, path, is_idempotent, wait_ms, parts, gap_s)

    def send(self, sock: socket.socket) -> float | None:
        """Sends all parts.

        Returns the monotonic time before the last one, or None if the entry
        answered or closed the connection before.
        """
        # Unlike select(), it takes descriptors above 1023.
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        for part in self.parts[:-1]:
            sock.sendall(part)
            if poll.poll(1000.0 * self.gap_s):
                return None
        sent_s = time.monotonic()
        sock.sendall(self.parts[-1])
        return sent_s


def send_requests(soak: SoakRun, worker: int, safe_prefix: str) -> None:
    """Sends requests on connections that it keeps until the entry closes them.

    Args:
        soak: The run.
        worker: Number of the caller; the first ones send bodies at once.
        safe_prefix: Prefix of the ids of requests that may be repeated.
    """
    rng = random.Random(f"{soak.seed} {worker}")
    is_quick = worker < QUICK_CALLERS
    number = 0
    while not soak.stop_requested.is_set():
        entry = rng.choice(soak.fleet.entries)
        try:
            sock = socket.create_connection((entry.host, CALLERS_PORT), 3.0)
        except OSError:
            time.sleep(REQUEST_GAP_S)
            continue
        with sock:
            is_open = True
            while is_open and not soak.stop_requested.is_set():
                number += 1
                request = _Request.choose(
                    rng, f"{worker}-{number}", is_quick, safe_prefix
                )
                is_open = _send(soak, sock, entry, request, is_quick)
                time.sleep(REQUEST_GAP_S)


def _send(
    soak: SoakRun,
    sock: socket.socket,
    entry: Node,
    request: _Request,
    is_quick: bool,
) -> bool:
    """Sends a request and records its end; returns whether to send more."""
    limit_s = request.wait_ms / 1000.0
    sock.settimeout(limit_s + 2.0)
    answer = http.client.HTTPResponse(sock, method="POST")
    sent_s = None
    status = 0
    is_from_server = is_kept = False
    try:
        sent_s = request.send(sock)
        answer.begin()
        content = answer.read()
        status = answer.status
        stamp = answer.getheader("X-Gentianwall-Server-Stamp", "")
        is_from_server = bool(stamp)
        is_kept = not answer.will_close
    except (OSError, http.client.HTTPException):
        pass
    finally:
        answer.close()
    ended_s = time.monotonic()
    if status:
        soak.observations.record_answer(
            request.request_id,
            request.path,
            status,
            content,
            stamp,
            request.is_idempotent,
        )
    if is_quick:
        soak.request_statuses.append(status)
    if sent_s is not None:
        soak.lost.outcomes.append(
            Outcome(
                request.request_id,
                entry.host,
                sent_s,
                ended_s,
                limit_s,
                status,
                is_from_server,
            )
        )
    return is_kept and sent_s is not None


def inject_planned_work(soak: SoakRun, until_s: float) -> None:
    """Stops entries and sends SIGHUP until `until_s`; stops may overlap."""
    threads = [
        threading.Thread(target=_send_reloads, args=(soak, until_s)),
        threading.Thread(target=_vary_service_time, args=(soak, until_s)),
        threading.Thread(target=_set_clocks, args=(soak, until_s)),
    ]
    for thread in threads:
        thread.start()
    while time.monotonic() < until_s:
        time.sleep(soak.rng.uniform(*STOP_GAP_S))
        entry = soak.rng.choice(soak.fleet.entries)
        if entry.folder.name in soak.faulted_nodes:
            continue
        soak.faulted_nodes.add(entry.folder.name)
        thread = threading.Thread(target=_stop_and_restart, args=(soak, entry))
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()


def _stop_and_restart(soak: SoakRun, entry: Node) -> None:
    soak.log_fault(f"SIGTERM to {entry.folder.name}")
    soak.lost.work.append(Stop(entry.host, time.monotonic()))
    soak.fleet.signal(entry, signal.SIGTERM)
    try:
        status = entry.process.wait(timeout=GRACE_S)
        soak.log_fault(f"{entry.folder.name} has ended")
        if status != 0:
            soak.observations.violations.append(
                f"end: {entry.folder.name} ended with status {status}"
            )
    except subprocess.TimeoutExpired:
        soak.log_fault(f"kill {entry.folder.name} after the grace period")
        soak.fleet.kill(entry)
    soak.starting_nodes.add(entry.folder.name)
    soak.fleet.start(entry)
    wait_until(
        f"{entry.folder.name} listens, and so handles signals",
        lambda: call(entry.host, READINESS_PORT, "GET", "/readyz").status != 0,
    )
    soak.faulted_nodes.discard(entry.folder.name)
    soak.starting_nodes.discard(entry.folder.name)


def _send_reloads(soak: SoakRun, until_s: float) -> None:
    rng = random.Random(f"{soak.seed} reloads")
    while time.monotonic() < until_s:
        time.sleep(rng.uniform(*RELOAD_GAP_S))
        entry = rng.choice(soak.fleet.entries)
        # An entry that starts has no handler yet; one that stops has.
        if entry.folder.name in soak.starting_nodes:
            continue
        soak.log_fault(f"SIGHUP to {entry.folder.name}")
        soak.lost.work.append(Reload(entry.host, time.monotonic()))
        soak.fleet.signal(entry, signal.SIGHUP)


def _vary_service_time(soak: SoakRun, until_s: float) -> None:
    rng = random.Random(f"{soak.seed} service")
    usual_s = rng.uniform(*SERVICE_S)
    soak.log_fault(f"servers work {usual_s:.2f} s")
    while time.monotonic() < until_s:
        for server in soak.servers:
            factor = SLOW_FACTOR if rng.random() < SLOW_SHARE else 1.0
            factor *= rng.uniform(*SERVICE_VARIATION)
            server.service_s = usual_s * factor
        time.sleep(SERVICE_GAP_S)
    # Otherwise it depends on the time limits whether requests are served.
    for server in soak.servers:
        server.service_s = SERVICE_S[0]


def _set_clocks(soak: SoakRun, until_s: float) -> None:
    rng = random.Random(f"{soak.seed} clocks")
    nodes = [*soak.fleet.controls, *soak.fleet.entries]
    while time.monotonic() < until_s:
        time.sleep(rng.uniform(*CLOCK_GAP_S))
        node = rng.choice(nodes)
        # A process that starts has no handler of the signal yet.
        if node.folder.name in soak.starting_nodes:
            continue
        offset_s = rng.uniform(-MAX_CLOCK_OFFSET_S, MAX_CLOCK_OFFSET_S)
        soak.log_fault(f"clock of {node.folder.name} off by {offset_s:.1f} s")
        set_clock(node, offset_s)
