"""Loopback proxy that injects network faults in front of one server."""

from __future__ import annotations

import contextlib
import enum
import socket
import struct
import threading
import time

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
BACKLOG = 128
# SO_LINGER with a time of 0: closing the socket sends a TCP reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ProxyFault(enum.Enum):
    """Fault applied to the forwarded bytes.

    `SILENCE` drops the bytes of both directions and `ONE_WAY` those from the
    server; the connections stay open.
    """

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one way"


class Partition(enum.Enum):
    """How a partition shows to the process whose links it cuts.

    With `HANG`, connections fall silent and new ones are not established. With
    `RESET`, connections are reset and new ones refused. With `REFUSE_NEW`, only
    new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse new"


class Proxy:
    """Forwards TCP connections from one address to another.

    Attributes:
        fault: Fault applied to all bytes received from now on.
        delay_s: Delay of each chunk under `ProxyFault.DELAY`.
    """

    def __init__(self, host: str, target: str, port: int):
        self.fault = ProxyFault.NONE
        self.delay_s = 0.1
        self._address = (host, port)
        self._target = (target, port)
        self._sockets: set[socket.socket] = set()
        self._fillers: list[socket.socket] = []
        self._listen()

    def reset_all(self) -> None:
        """Resets all open connections."""
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                sock.close()
        self._sockets.clear()

    def begin_partition(self, partition: Partition) -> None:
        """Cuts the link until `end_partition` is called."""
        self._stop_listening()
        if partition is Partition.HANG:
            self.fault = ProxyFault.SILENCE
            self._listener = socket.create_server(self._address, backlog=0)
            self._fill_backlog()
        elif partition is Partition.RESET:
            self.reset_all()

    def end_partition(self) -> None:
        """Accepts connections again; those that had fallen silent are reset."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        if self.fault is ProxyFault.SILENCE:
            self.fault = ProxyFault.NONE
            self.reset_all()
        self._stop_listening()
        self._listen()

    def close(self) -> None:
        """Stops listening and resets all open connections."""
        self._stop_listening()
        for filler in self._fillers:
            filler.close()
        self.reset_all()

    def _listen(self) -> None:
        self._listener = socket.create_server(self._address, backlog=BACKLOG)
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def _stop_listening(self) -> None:
        # Closing alone does not end an `accept` in another thread.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _fill_backlog(self) -> None:
        """Fills the queue of new connections, so that others are dropped."""
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._address)
            self._fillers.append(filler)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                client_sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._relay, args=(client_sock,), daemon=True
            ).start()

    def _relay(self, client_sock: socket.socket) -> None:
        try:
            server_sock = socket.create_connection(
                self._target, CONNECT_TIMEOUT_S
            )
        except OSError:
            client_sock.close()
            return
        server_sock.settimeout(None)
        self._sockets |= {client_sock, server_sock}
        for source, target, is_from_server in (
            (client_sock, server_sock, False),
            (server_sock, client_sock, True),
        ):
            threading.Thread(
                target=self._pump,
                args=(source, target, is_from_server),
                daemon=True,
            ).start()

    def _pump(self, source, target, is_from_server: bool) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                fault = self.fault
                if fault is ProxyFault.SILENCE:
                    continue
                if fault is ProxyFault.ONE_WAY and is_from_server:
                    continue
                if fault is ProxyFault.DELAY:
                    time.sleep(self.delay_s)
                target.sendall(data)
        for sock in (source, target):
            self._sockets.discard(sock)
            with contextlib.suppress(OSError):
                sock.close()
