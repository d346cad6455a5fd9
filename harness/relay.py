"""A TCP relay whose present connections can be made to swallow all bytes."""

from __future__ import annotations

import contextlib
import socket
import threading

PART_BYTES = 65536


class _Pair:
    """Two joined connections."""

    def __init__(self, near: socket.socket, far: socket.socket):
        self.ends = (near, far)
        self.is_silent = False

    def pump(self, source: socket.socket, target: socket.socket) -> None:
        """Copies bytes until one end closes; swallows them when silent."""
        with contextlib.suppress(OSError):
            while data := source.recv(PART_BYTES):
                if not self.is_silent:
                    target.sendall(data)
        if not self.is_silent:
            self.close()

    def close(self) -> None:
        """Closes both ends."""
        for end in self.ends:
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


class Relay:
    """Relays a port of its own to a target port, both on loopback."""

    def __init__(self, port: int, target_port: int):
        self.port = port
        self.target_port = target_port
        self.pairs: list[_Pair] = []
        self._listener = socket.create_server(("127.0.0.1", port))
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> int:
        """Makes all present connections swallow bytes; returns how many."""
        for pair in self.pairs:
            pair.is_silent = True
        return len(self.pairs)

    def close(self) -> None:
        """Closes everything."""
        self._listener.close()
        for pair in self.pairs:
            pair.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(
                    ("127.0.0.1", self.target_port), 2
                )
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            pair = _Pair(near, far)
            self.pairs.append(pair)
            for source, target in ((near, far), (far, near)):
                threading.Thread(
                    target=pair.pump, args=(source, target), daemon=True
                ).start()
