"""A fake server that sends unsolicited and mismatched answers."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time

LATE_ANSWER_DELAY_S = 0.05


class MismatchedAnswerServer:
    """A fake server that answers each request with its path.

    Attributes:
        mode: The fault of the answers. `good`: none; `glued`: a second answer
            directly after the first; `late`: a second answer after
            `LATE_ANSWER_DELAY_S`; `late, named`: as `late`, both answers with
            the id of the request; `foreign`: one answer with the id of another
            request.
    """

    def __init__(self, port: int):
        self.port = port
        self.mode = "good"
        self._listener = socket.create_server(("127.0.0.1", port))
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Closes the listener."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        data = b""
        with contextlib.suppress(OSError), connection:
            while part := connection.recv(65536):
                data += part
                while b"\r\n\r\n" in data:
                    head, _, data = data.partition(b"\r\n\r\n")
                    self._answer(connection, head)

    def _answer(self, connection: socket.socket, head: bytes) -> None:
        path = head.split(b" ", 2)[1].decode()
        header = "X-Nothing: 1"
        if self.mode == "late, named":
            lines = head.decode("latin-1").split("\r\n")
            header = next(line for line in lines if "Request-Id" in line)
        if self.mode == "foreign":
            header = "Gentianwall-Request-Id: another"
        answer = _render(path, header)
        if self.mode == "glued":
            answer += _render("/stale", header)
        connection.sendall(answer)
        if self.mode.startswith("late"):
            time.sleep(LATE_ANSWER_DELAY_S)
            connection.sendall(_render("/stale", header))


def _render(path: str, header: str) -> bytes:
    body = json.dumps({"path": path}).encode()
    head = f"HTTP/1.1 200 OK\r\n{header}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body
