"""A loopback proxy that harms the connections to one server."""

from __future__ import annotations

import contextlib
import enum
import socket
import struct
import threading
import time

PART_BYTES = 65536
CONNECT_S = 2.0
RESET = struct.pack("ii", 1, 0)


class Harm(enum.Enum):
    """What is done to the bytes that pass."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one way"


class Proxy:
    """Passes connections of one address on to another.

    Attributes:
        harm: What is done to bytes from now on.
        delay_s: Delay of each part under `Harm.DELAY`.
    """

    def __init__(self, host: str, target: str, port: int):
        self.harm = Harm.NONE
        self.delay_s = 0.1
        self._target = (target, port)
        self._ends: set[socket.socket] = set()
        self._listener = socket.create_server((host, port))
        threading.Thread(target=self._accept, daemon=True).start()

    def reset_all(self) -> None:
        """Resets all present connections."""
        for end in list(self._ends):
            with contextlib.suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                end.close()
        self._ends.clear()

    def close(self) -> None:
        """Stops listening and resets what is open."""
        self._listener.close()
        self.reset_all()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._join, args=(near,), daemon=True
            ).start()

    def _join(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self._target, CONNECT_S)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        self._ends |= {near, far}
        for source, target, is_answer in (
            (near, far, False),
            (far, near, True),
        ):
            threading.Thread(
                target=self._pump,
                args=(source, target, is_answer),
                daemon=True,
            ).start()

    def _pump(self, source, target, is_answer: bool) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(PART_BYTES):
                harm = self.harm
                if harm is Harm.SILENCE:
                    continue
                if harm is Harm.ONE_WAY and is_answer:
                    continue
                if harm is Harm.DELAY:
                    time.sleep(self.delay_s)
                target.sendall(data)
        for end in (source, target):
            self._ends.discard(end)
            with contextlib.suppress(OSError):
                end.close()
