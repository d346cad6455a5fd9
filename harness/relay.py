"""A TCP relay that can make its open connections silent."""

from __future__ import annotations

import contextlib
import socket
import threading

CHUNK_BYTES = 65536


class _ConnectionPair:
    """A caller's connection and the one to the target."""

    def __init__(
        self, caller_socket: socket.socket, target_socket: socket.socket
    ):
        self.sockets = (caller_socket, target_socket)
        self.is_silent = False

    def forward(self, source: socket.socket, target: socket.socket) -> None:
        """Copies bytes until one end closes; drops them while silent.

        While silent, the close of one end is not passed to the other.
        """
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if not self.is_silent:
                    target.sendall(data)
        if not self.is_silent:
            self.close()

    def close(self) -> None:
        """Closes both connections."""
        for end in self.sockets:
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


class Relay:
    """Relays connections from one port to another, both on loopback."""

    def __init__(self, port: int, target_port: int):
        self.port = port
        self.target_port = target_port
        self.connections: list[_ConnectionPair] = []
        self._listener = socket.create_server(("127.0.0.1", port))
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> int:
        """Makes all open connections drop bytes; returns their number.

        Later connections are relayed as usual.
        """
        for connection in self.connections:
            connection.is_silent = True
        return len(self.connections)

    def close(self) -> None:
        """Closes the listener and all connections."""
        self._listener.close()
        for connection in self.connections:
            connection.close()

    def _accept(self) -> None:
        while True:
            try:
                caller_socket, _ = self._listener.accept()
            except OSError:
                return
            try:
                target_socket = socket.create_connection(
                    ("127.0.0.1", self.target_port), 2
                )
            except OSError:
                caller_socket.close()
                continue
            target_socket.settimeout(None)
            connection = _ConnectionPair(caller_socket, target_socket)
            self.connections.append(connection)
            for source, target in (
                (caller_socket, target_socket),
                (target_socket, caller_socket),
            ):
                threading.Thread(
                    target=connection.forward,
                    args=(source, target),
                    daemon=True,
                ).start()
