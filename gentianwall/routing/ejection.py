"""Keeps calls from servers that fail, but never from all of a service."""

from __future__ import annotations

from gentianwall.routing.servers import Server

FAILURES_TO_EJECT = 3
EJECTION_MS = 500.0
MAX_EJECTION_MS = 20_000.0
MAX_EJECTED_SHARE = 0.5


def note_failure(server: Server, fellows: list[Server], now_ms: float) -> bool:
    """Counts a failure and ejects the server when it has failed in a row.

    Args:
        server: Who failed.
        fellows: All live servers of the service.
        now_ms: The local clock.

    Returns:
        Whether the server was ejected just now.
    """
    server.failures += 1
    if server.failures < FAILURES_TO_EJECT or server.is_ejected(now_ms):
        return False
    ejected = sum(1 for fellow in fellows if fellow.is_ejected(now_ms))
    if ejected + 1 > len(fellows) * MAX_EJECTED_SHARE:
        return False
    time_ms = EJECTION_MS * 2**server.ejections
    server.ejected_until_ms = now_ms + min(MAX_EJECTION_MS, time_ms)
    server.ejections += 1
    return True


def note_success(server: Server) -> None:
    """Lets a server that works again start from the shortest ejection."""
    server.ejections = 0
