"""Load client with persistent connections: closed loop or fixed rate."""

from __future__ import annotations

import select
import socket
import time

import attrs


@attrs.define
class _Connection:
    sock: socket.socket
    sent_s: float = 0.0
    due_s: float = 0.0
    received: bytes = b""
    is_busy: bool = False


@attrs.frozen
class LoadResult:
    """Sorted latencies in ms, the rate reached and the number of errors.

    At a fixed rate, a latency is measured from the time at which the call was
    due, so that a stall counts for every call that it delayed. The errors
    include those during the warm-up.
    """

    latencies_ms: list[float]
    calls_per_s: float
    errors: int

    def quantile(self, share: float) -> float:
        """Returns a quantile of the latencies in ms."""
        if not self.latencies_ms:
            return float("nan")
        position = min(
            len(self.latencies_ms) - 1, int(len(self.latencies_ms) * share)
        )
        return self.latencies_ms[position]


def run_load(
    address: str,
    path: str,
    connections: int,
    seconds: float,
    rate: float = 0.0,
    warm_up_s: float = 1.0,
) -> LoadResult:
    """Sends GET requests to an address over persistent connections.

    Args:
        address: IP:PORT.
        path: Path to request.
        connections: Number of connections.
        seconds: Duration of the measurement.
        rate: Calls per second over all connections, or 0 for a closed loop.
        warm_up_s: Duration of the load before the measurement.
    """
    host, _, port = address.partition(":")
    request = f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()
    poll = select.epoll()
    open_connections = {}
    for _ in range(connections):
        sock = socket.create_connection((host, int(port)))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        open_connections[sock.fileno()] = _Connection(sock)
        poll.register(sock.fileno(), select.EPOLLIN)
    start_s = time.perf_counter()
    measure_start_s = start_s + warm_up_s
    end_s = measure_start_s + seconds
    latencies = []
    errors = 0
    idle = list(open_connections.values())
    next_due_s = start_s
    while (now_s := time.perf_counter()) < end_s:
        while idle and (rate == 0 or next_due_s <= now_s):
            connection = idle.pop()
            connection.sent_s = time.perf_counter()
            connection.due_s = next_due_s if rate else connection.sent_s
            connection.sock.send(request)
            next_due_s += 1.0 / rate if rate else 0.0
        wait_s = 0.05 if rate == 0 else max(0.0, next_due_s - now_s)
        if not idle:
            wait_s = 0.05
        for descriptor, _ in poll.poll(min(wait_s, 0.0005 if rate else 0.05)):
            connection = open_connections[descriptor]
            connection.received += connection.sock.recv(65536)
            if not _is_complete(connection.received):
                continue
            done_s = time.perf_counter()
            if not connection.received.startswith(b"HTTP/1.1 200"):
                errors += 1
            connection.received = b""
            if done_s >= measure_start_s:
                latencies.append((done_s - connection.due_s) * 1000.0)
            idle.append(connection)
    for connection in open_connections.values():
        connection.sock.close()
    latencies.sort()
    return LoadResult(latencies, len(latencies) / seconds, errors)


def _is_complete(data: bytes) -> bool:
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    lower_head = head.lower()
    position = lower_head.find(b"content-length:")
    if position < 0:
        return True
    line_end = lower_head.find(b"\r\n", position)
    if line_end < 0:
        line_end = len(lower_head)
    return len(body) >= int(lower_head[position + 15 : line_end])
