"""Ejection of failing servers, limited to half of the servers of a service."""

from __future__ import annotations

from gentianwall.routing.servers import Server

FAILURES_TO_EJECT = 3
EJECTION_MS = 500.0
MAX_EJECTION_MS = 20_000.0
MAX_EJECTED_SHARE = 0.5


def record_server_failure(
    server: Server, live_servers: list[Server], now_ms: float
) -> bool:
    """Records a failure and ejects the server after too many in a row.

    Args:
        server: Server that failed.
        live_servers: All live servers of the service.
        now_ms: Local clock.

    Returns:
        Whether this failure ejected the server.
    """
    server.failures += 1
    if server.failures < FAILURES_TO_EJECT or server.is_ejected(now_ms):
        return False
    ejected = sum(1 for other in live_servers if other.is_ejected(now_ms))
    if ejected + 1 > len(live_servers) * MAX_EJECTED_SHARE:
        return False
    duration_ms = EJECTION_MS * 2**server.ejections
    server.ejected_until_ms = now_ms + min(MAX_EJECTION_MS, duration_ms)
    server.ejections += 1
    return True


def record_server_success(server: Server) -> None:
    """Resets the next ejection of a server to the shortest duration."""
    server.ejections = 0
