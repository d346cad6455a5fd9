"""Reads from transports what has become of written bytes."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios


def count_unsent_bytes(transport) -> int:
    """Returns the bytes that a transport of the reactor buffers."""
    buffered = getattr(transport, "dataBuffer", b"")
    offset = getattr(transport, "offset", 0)
    return len(buffered) - offset + getattr(transport, "_tempDataLen", 0)


def count_unacknowledged_bytes(transport) -> int:
    """Returns how many written bytes the other side's kernel has not taken."""
    return count_unsent_bytes(transport) + _count_queued_bytes(transport)


def _count_queued_bytes(transport) -> int:
    buffer = bytes(struct.calcsize("i"))
    try:
        queued = fcntl.ioctl(transport.getHandle(), termios.TIOCOUTQ, buffer)
    except OSError:
        return 0  # Not every kind of socket tells it.
    return struct.unpack("i", queued)[0]


def is_reset(transport) -> bool:
    """Returns whether the other side has reset the connection."""
    option = socket.SO_ERROR
    return transport.getHandle().getsockopt(socket.SOL_SOCKET, option) != 0
