"""Clients that send too much, too slowly or without reading the answers."""

from __future__ import annotations

import contextlib
import os
import selectors
import socket
import time
from collections.abc import Callable, Iterator, Sequence

import attrs

PART_BYTES = 64 * 1024
SAMPLE_INTERVAL_S = 0.05


@attrs.frozen(kw_only=True)
class Shape:
    """What each client of a flood sends.

    Attributes:
        head: Sent first; contains `%b` for the path.
        data: Sent after it.
        part_bytes: Most bytes in one piece.
    """

    head: bytes
    data: bytes = b""
    part_bytes: int = PART_BYTES


def upload(body_bytes: int, part_bytes: int = PART_BYTES) -> Shape:
    """Returns a body of a legal size that stops one byte before its end."""
    head = (
        b"POST %b HTTP/1.1\r\nHost: shop.example\r\nContent-Length: "
        + str(body_bytes).encode()
        + b"\r\n\r\n"
    )
    return Shape(head=head, data=bytes(body_bytes - 1), part_bytes=part_bytes)


def chunked(
    chunks: int, chunk_bytes: int, part_bytes: int = PART_BYTES
) -> Shape:
    """Returns a body in chunks without the last one."""
    head = (
        b"POST %b HTTP/1.1\r\nHost: shop.example\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    chunk = b"%x\r\n" % chunk_bytes + bytes(chunk_bytes) + b"\r\n"
    return Shape(head=head, data=chunk * chunks, part_bytes=part_bytes)


def pipelined(requests: int) -> Shape:
    """Returns many requests whose answers are not read."""
    return Shape(
        head=b"GET %b HTTP/1.1\r\nHost: shop.example\r\n\r\n" * requests
    )


SLOW_HEAD = Shape(head=b"GET %b HTTP/1.1\r\nHost: shop.example\r\nX: ")
ANNOUNCED_TERABYTE = Shape(
    head=b"POST %b HTTP/1.1\r\nHost: shop.example\r\n"
    b"Content-Length: 1000000000000\r\n\r\n",
    data=bytes(1024 * 1024),
)
SHORT_FIELDS = Shape(
    head=b"GET %b HTTP/1.1\r\nHost: shop.example\r\n" + b"a:b\r\n" * 3500
)


@attrs.define
class Usage:
    """Use of a process.

    Attributes:
        peak_mb: Peak memory in MB since the process started.
        descriptors: Most open descriptors that were seen.
        is_alive: Whether the process has not ended.
    """

    peak_mb: float = 0.0
    descriptors: int = 0
    is_alive: bool = True

    def sample(self, pid: int) -> None:
        """Reads the use of a process."""
        try:
            count = len(os.listdir(f"/proc/{pid}/fd"))
            with open(f"/proc/{pid}/status") as file:
                lines = dict(line.split(":", 1) for line in file)
            self.peak_mb = int(lines["VmHWM"].split()[0]) / 1000.0
        except (OSError, KeyError):
            self.is_alive = False
            return
        self.descriptors = max(self.descriptors, count)


@attrs.define
class _Client:
    sock: socket.socket
    data: memoryview
    part_bytes: int
    position: int = 0


class Flood:
    """Connections that send a shape and stay open without reading.

    Args:
        host: IP address of the process.
        port: Port of the process.
        path: Path of the requests.
        shapes: What the clients send; each shape is sent by every nth client.
        clients: Number of clients.
    """

    def __init__(
        self,
        host: str,
        port: int,
        path: bytes,
        shapes: Sequence[Shape],
        clients: int,
    ):
        sent = [
            memoryview(shape.head.replace(b"%b", path) + shape.data)
            for shape in shapes
        ]
        self._selector = selectors.DefaultSelector()
        self._clients: list[_Client] = []
        for number in range(clients):
            shape_number = number % len(shapes)
            sock = socket.socket()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # What is not read stays with the process, not in the kernel.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                sock.connect((host, port))
            client = _Client(
                sock, sent[shape_number], shapes[shape_number].part_bytes
            )
            self._clients.append(client)
            self._selector.register(sock, selectors.EVENT_WRITE, client)

    def run(self, duration_s: float, on_sample: Callable[[], None]) -> None:
        """Sends for a time; clients that are closed are not replaced."""
        end_s = time.monotonic() + duration_s
        next_sample_s = 0.0
        while time.monotonic() < end_s:
            if time.monotonic() >= next_sample_s:
                on_sample()
                next_sample_s = time.monotonic() + SAMPLE_INTERVAL_S
            if not self._selector.get_map():
                time.sleep(SAMPLE_INTERVAL_S)
                continue
            for key, _ in self._selector.select(SAMPLE_INTERVAL_S):
                self._send(key.data)

    def _send(self, client: _Client) -> None:
        end = client.position + client.part_bytes
        try:
            client.position += client.sock.send(
                client.data[client.position : end]
            )
        except BlockingIOError:
            return
        except OSError:
            client.position = len(client.data)
        if client.position >= len(client.data):
            self._selector.unregister(client.sock)

    def close(self) -> None:
        """Closes all connections."""
        for client in self._clients:
            client.sock.close()
        self._selector.close()


@contextlib.contextmanager
def flooding(
    host: str, port: int, path: bytes, shapes: Sequence[Shape], clients: int
) -> Iterator[Flood]:
    """Opens the connections of a flood while the context lasts."""
    flood = Flood(host, port, path, shapes, clients)
    try:
        yield flood
    finally:
        flood.close()
