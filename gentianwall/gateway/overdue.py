"""Decides whether a request that takes long is lost at its server.

Load pattern: more requests reach a server than it can queue, and it never
answers those that it drops, nor any later request on the same connection. A
slow server and a silent one look alike at first. They are told apart by a load
report that is asked for on another connection: a server that works on fewer
requests than it was sent has dropped some. Without such a report, only a
multiple of the expected time tells.

Only requests that may be repeated are reassigned. For any other one no report
can show that it was not executed, so its caller gets the answer if there is
one.
"""

from __future__ import annotations

from collections.abc import Iterable

from gentianwall.gateway.servers import RoutedServer, SentRequest

# Service times vary by a third, and a shared server takes 1.7 times as long;
# beyond both, the server is asked.
SUSPECT_FACTOR = 2.0
# Without a report that explains the delay, a request is reassigned after
# this multiple of its expected time.
OVERDUE_FACTOR = 4.0
# An answer that was sent before the load report may still be on its way, also
# if one packet of it was lost.
CONFIRM_MS = 60.0
# Requests that were sent this shortly before a report may not have reached the
# server when it reported.
TRANSIT_MS = 30.0
# A server is asked at most this often about overdue requests.
CHECK_INTERVAL_MS = 100.0
# An overdue request is reassigned only if the expected time at the new server
# is at most this share of the time already spent.
MAX_REASSIGN_SHARE = 0.6


def is_check_due(server: RoutedServer, now_ms: float) -> bool:
    """Returns whether a server should be asked about overdue requests."""
    if now_ms - max(server.reported_ms, server.checked_ms) < CHECK_INTERVAL_MS:
        return False
    return any(
        sent.lag_ratio(now_ms) >= SUSPECT_FACTOR
        for sent in server.own_requests.values()
    )


def mark_dropped(server: RoutedServer, now_ms: float) -> None:
    """Marks requests of which a load report shows that the server has none.

    Called with a fresh report. If the server works on fewer requests than this
    entry sent, the most delayed ones beyond that number were dropped.
    """
    in_progress = server.report.running + server.report.waiting
    arrived = [
        sent
        for sent in server.own_requests.values()
        if now_ms - sent.at_ms > TRANSIT_MS
    ]
    arrived.sort(key=lambda sent: sent.lag_ratio(now_ms), reverse=True)
    missing = max(0, len(arrived) - in_progress)
    for position, sent in enumerate(arrived):
        if position >= missing or sent.lag_ratio(now_ms) < SUSPECT_FACTOR:
            sent.missing_since_ms = None
        elif sent.missing_since_ms is None:
            sent.missing_since_ms = now_ms


def find_lost(server: RoutedServer, now_ms: float) -> Iterable[int]:
    """Returns the call ids of requests that should be reassigned."""
    for call_id, sent in server.own_requests.items():
        is_dropped = (
            sent.missing_since_ms is not None
            and now_ms - sent.missing_since_ms >= CONFIRM_MS
        )
        if is_dropped or is_overdue(sent, now_ms):
            yield call_id


def is_overdue(sent: SentRequest, now_ms: float) -> bool:
    """Returns whether a request is reassigned without a load report."""
    return sent.lag_ratio(now_ms) >= OVERDUE_FACTOR


def is_reassign_worthwhile(
    sent: SentRequest, expected_ms: float, now_ms: float
) -> bool:
    """Returns whether another server would answer a request sooner.

    Args:
        sent: The request at its server.
        expected_ms: Expected time at the best other server.
        now_ms: The local clock.
    """
    if sent.missing_since_ms is not None:
        return True
    return expected_ms <= MAX_REASSIGN_SHARE * (now_ms - sent.at_ms)
