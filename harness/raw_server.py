"""A server that answers requests with bytes that a test chooses."""

from __future__ import annotations

import contextlib
import enum
import re
import socket
import struct
import threading
import time
from collections.abc import Iterator

from harness.fleet import SERVER_PORT, FakeServer

READ_BYTES = 65536
# Stands for the id of the request in the bytes of an answer.
REQUEST_ID = b"REQUEST-ID"
HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
# Closing a socket with this linger time resets its connection.
RESET_LINGER = struct.pack("ii", 1, 0)
RESET_DELAY_S = 0.03
_ID_LINE = re.compile(rb"X-Gentianwall-Request-Id: *([^\r\n]*)", re.IGNORECASE)


class Ending(enum.Enum):
    """What a server does with a connection after an answer."""

    KEEP = "keep it and read on"
    CLOSE = "close it"
    RESET = "reset it"
    END = "end its own side and read on"
    END_AND_RESET = "end its own side, and reset it soon after"


class RawServer(FakeServer):
    """A server that answers requests with given bytes.

    It answers each request as soon as its head has been received.

    Attributes:
        answer: Bytes of each answer; `REQUEST_ID` is replaced.
        ending: What it does with the connection after an answer.
        closed_by_caller: Number of connections that the other side closed.
    """

    def __init__(self, name: str, service: str, host: str):
        super().__init__(name, service, host)
        self.answer = b""
        self.ending = Ending.KEEP
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
                    if self._end(connection):
                        return
        # Also where the other side reset the connection.
        self.closed_by_caller += 1

    def send_answer(self, connection: socket.socket, request_id: bytes) -> None:
        """Sends the answer to a request."""
        connection.sendall(self.answer.replace(REQUEST_ID, request_id))

    def _end(self, connection: socket.socket) -> bool:
        """Ends a connection after an answer; returns whether it is closed."""
        match self.ending:
            case Ending.KEEP:
                return False
            case Ending.CLOSE:
                return True
            case Ending.END:
                connection.shutdown(socket.SHUT_WR)
                return False
            case Ending.END_AND_RESET:
                connection.shutdown(socket.SHUT_WR)
                time.sleep(RESET_DELAY_S)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        return True
