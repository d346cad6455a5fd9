"""A server whose answers arrive crossed: doubled, late or another's."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time

LATE_S = 0.05


class CrossingServer:
    """Answers each path with its name, in the manner that is set.

    Attributes:
        mode: `good`; `glued`, with a second answer in the same bytes; `late`,
            with a second answer a little later; `late, named`, the same, each
            under its request's id; `foreign`, under another request's id.
    """

    def __init__(self, port: int):
        self.port = port
        self.mode = "good"
        self._listener = socket.create_server(("127.0.0.1", port))
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops listening."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                link, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(link,), daemon=True
            ).start()

    def _serve(self, link: socket.socket) -> None:
        data = b""
        with contextlib.suppress(OSError), link:
            while part := link.recv(65536):
                data += part
                while b"\r\n\r\n" in data:
                    head, _, data = data.partition(b"\r\n\r\n")
                    self._answer(link, head)

    def _answer(self, link: socket.socket, head: bytes) -> None:
        path = head.split(b" ", 2)[1].decode()
        extra = "X-Nothing: 1"
        if self.mode == "late, named":
            lines = head.decode("latin-1").split("\r\n")
            extra = next(line for line in lines if "Request-Id" in line)
        if self.mode == "foreign":
            extra = "Gentianwall-Request-Id: another"
        answer = _render(path, extra)
        if self.mode == "glued":
            answer += _render("/stale", extra)
        link.sendall(answer)
        if self.mode.startswith("late"):
            time.sleep(LATE_S)
            link.sendall(_render("/stale", extra))


def _render(path: str, extra: str) -> bytes:
    body = json.dumps({"path": path}).encode()
    head = f"HTTP/1.1 200 OK\r\n{extra}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body
