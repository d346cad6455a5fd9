"""A load client: kept connections, closed loop or at a fixed rate."""

from __future__ import annotations

import select
import socket
import time

import attrs


@attrs.define
class _Link:
    sock: socket.socket
    sent_s: float = 0.0
    due_s: float = 0.0
    data: bytes = b""
    is_busy: bool = False


@attrs.frozen
class LoadResult:
    """Latencies in ms, sorted, and the rate reached.

    At a fixed rate a latency counts from when the call was due, so that a
    stall is charged with all the calls it held back.
    """

    latencies_ms: list[float]
    calls_per_s: float
    errors: int

    def quantile(self, share: float) -> float:
        """Returns a quantile of the latencies in ms."""
        if not self.latencies_ms:
            return float("nan")
        place = min(
            len(self.latencies_ms) - 1, int(len(self.latencies_ms) * share)
        )
        return self.latencies_ms[place]


def run_load(
    address: str,
    path: str,
    connections: int,
    seconds: float,
    rate: float = 0.0,
    warm_s: float = 1.0,
) -> LoadResult:
    """Calls an address over kept connections.

    Args:
        address: IP:PORT.
        path: What to get.
        connections: How many connections.
        seconds: How long to measure.
        rate: Calls per second over all, or 0 for a closed loop.
        warm_s: How long to run before measuring.
    """
    host, _, port = address.partition(":")
    request = f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()
    poll = select.epoll()
    links = {}
    for _ in range(connections):
        sock = socket.create_connection((host, int(port)))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        links[sock.fileno()] = _Link(sock)
        poll.register(sock.fileno(), select.EPOLLIN)
    start_s = time.perf_counter()
    measure_s = start_s + warm_s
    end_s = measure_s + seconds
    latencies = []
    errors = 0
    free = list(links.values())
    next_due_s = start_s
    while (now_s := time.perf_counter()) < end_s:
        while free and (rate == 0 or next_due_s <= now_s):
            link = free.pop()
            link.sent_s = time.perf_counter()
            link.due_s = next_due_s if rate else link.sent_s
            link.sock.send(request)
            next_due_s += 1.0 / rate if rate else 0.0
        wait_s = 0.05 if rate == 0 else max(0.0, next_due_s - now_s)
        if not free:
            wait_s = 0.05
        for number, _ in poll.poll(min(wait_s, 0.0005 if rate else 0.05)):
            link = links[number]
            link.data += link.sock.recv(65536)
            if not _is_whole(link.data):
                continue
            done_s = time.perf_counter()
            if not link.data.startswith(b"HTTP/1.1 200"):
                errors += 1
            link.data = b""
            if done_s >= measure_s:
                latencies.append((done_s - link.due_s) * 1000.0)
            free.append(link)
    for link in links.values():
        link.sock.close()
    latencies.sort()
    return LoadResult(latencies, len(latencies) / seconds, errors)


def _is_whole(data: bytes) -> bool:
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return False
    lower = head.lower()
    place = lower.find(b"content-length:")
    if place < 0:
        return True
    line_end = lower.find(b"\r\n", place)
    if line_end < 0:
        line_end = len(lower)
    return len(body) >= int(lower[place + 15 : line_end])
