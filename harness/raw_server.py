"""A server that answers requests with bytes that a test chooses."""

from __future__ import annotations

import contextlib
import re
import socket
import struct
import threading
from collections.abc import Iterator

from harness.fleet import SERVER_PORT, FakeServer

READ_BYTES = 65536
# Stands for the id of the request in the bytes of an answer.
REQUEST_ID = b"REQUEST-ID"
HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
# Closing a socket with this linger time resets its connection.
RESET_LINGER = struct.pack("ii", 1, 0)
_ID_LINE = re.compile(rb"X-Gentianwall-Request-Id: *([^\r\n]*)", re.IGNORECASE)


class RawServer(FakeServer):
    """A server that answers requests with given bytes.

    It answers each request as soon as its head has been received.

    Attributes:
        answer: Bytes of each answer; `REQUEST_ID` is replaced.
        is_closing: Whether it closes the connection after an answer.
        is_resetting: Whether it resets the connection after an answer.
        closed_by_caller: Number of connections that the other side closed.
    """

    def __init__(self, name: str, service: str, host: str):
        super().__init__(name, service, host)
        self.answer = b""
        self.is_closing = False
        self.is_resetting = False
        self.closed_by_caller = 0

    @contextlib.contextmanager
    def running(self) -> Iterator[RawServer]:
        """Serves while the context lasts."""
        with socket.create_server((self.host, SERVER_PORT)) as listener:
            threading.Thread(
                target=self._accept, args=(listener,), daemon=True
            ).start()
            yield self
            # Otherwise it accepts until the thread has got a connection.
            listener.shutdown(socket.SHUT_RDWR)

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            while data := connection.recv(READ_BYTES):
                if b"/healthz" in data:
                    connection.sendall(HEALTHY)
                elif match := _ID_LINE.search(data):
                    self.send_answer(connection, match.group(1))
                    if self.is_closing or self.is_resetting:
                        return
        # Also where the other side reset the connection.
        self.closed_by_caller += 1

    def send_answer(self, connection: socket.socket, request_id: bytes) -> None:
        """Sends the answer to a request."""
        connection.sendall(self.answer.replace(REQUEST_ID, request_id))
        if self.is_resetting:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER
            )
