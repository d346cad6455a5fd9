"""Start and end of attempts, with the statistics of their servers."""

from __future__ import annotations

import attrs

from gentianwall.core.effects import CancelAttempt, EntryEffect
from gentianwall.core.events import AttemptAnswered, FailureKind
from gentianwall.core.state import Call, CallPhase, RunningAttempt, Service
from gentianwall.routing.ejection import (
    record_server_failure,
    record_server_success,
)
from gentianwall.routing.servers import (
    Server,
    record_overload,
    record_server_answer,
)

FIRST_ERROR_STATUS = 500
# Failures of a connection or of one answer, not counted against the server.
UNCOUNTED_FAILURES = (
    FailureKind.SILENT,
    FailureKind.MISMATCHED,
    FailureKind.TOO_LARGE,
)


@attrs.frozen
class AnswerAssessment:
    """How an answer was counted for its server.

    Attributes:
        is_shed: Whether the server refused the call under load without
            executing it.
        is_ejected: Whether this answer caused the ejection of the server.
    """

    is_shed: bool
    is_ejected: bool


def start_attempt(call: Call, server: Server, now_ms: float) -> None:
    """Assigns a call to a server and adds it to the outstanding calls there."""
    call.phase = CallPhase.DISPATCHED
    call.attempt += 1
    call.server = server.notice.key.server
    call.tried_servers += (call.server,)
    call.running[call.attempt] = RunningAttempt(
        server=call.server,
        incarnation=server.notice.incarnation,
        started_ms=now_ms,
        queue_factor=server.queue_factor,
    )
    server.calls[call.call_id] = now_ms


def _remove_from_server(
    service: Service | None, call: Call, attempt: RunningAttempt
) -> Server | None:
    """Removes a call from its server and returns the server.

    Returns None if the server was removed or has a new incarnation.
    """
    if service is None:
        return None
    server = service.pool.servers.get(attempt.server)
    if server is None or server.notice.incarnation != attempt.incarnation:
        return None
    server.calls.pop(call.call_id, None)
    return server


def record_answer(
    service: Service | None,
    call: Call,
    attempt: RunningAttempt,
    event: AttemptAnswered,
) -> AnswerAssessment:
    """Updates the statistics of a server after a complete answer.

    Answers with a status of 500 or above count as failures, including those
    by which the server sheds load (503 with Retry-After).
    """
    is_shed = event.status == 503 and event.retry_after_ms is not None
    server = _remove_from_server(service, call, attempt)
    if server is None or service is None:
        return AnswerAssessment(is_shed, False)
    if is_shed:
        record_overload(server)
        is_ejected = record_server_failure(
            server, service.pool.live_servers(), event.at_ms
        )
        return AnswerAssessment(True, is_ejected)
    if event.status >= FIRST_ERROR_STATUS:
        is_ejected = record_server_failure(
            server, service.pool.live_servers(), event.at_ms
        )
        return AnswerAssessment(False, is_ejected)
    service_time_ms = (event.at_ms - attempt.started_ms) / attempt.queue_factor
    pool = service.pool
    record_server_answer(
        server,
        service_time_ms,
        pool.average_service_ms,
        event.report,
        event.at_ms,
    )
    record_server_success(server)
    pool.record_server_answer(service_time_ms, server.foreign_load)
    return AnswerAssessment(False, False)


def record_failure(
    service: Service | None,
    call: Call,
    attempt: RunningAttempt,
    kind: FailureKind,
    now_ms: float,
) -> bool:
    """Records a failed attempt; returns whether this ejected the server.

    A silent connection, a mismatched answer or an answer over the size limit
    is not counted against the server.
    """
    server = _remove_from_server(service, call, attempt)
    if server is None or service is None:
        return False
    if kind in UNCOUNTED_FAILURES:
        return False
    return record_server_failure(server, service.pool.live_servers(), now_ms)


def cancel_attempts(
    service: Service | None,
    call: Call,
    now_ms: float,
    effects: list[EntryEffect],
) -> None:
    """Cancels all attempts of a call that run.

    Raises the service time of each server to that of its attempt, if longer.
    """
    for number, attempt in call.running.items():
        effects.append(CancelAttempt(call.call_id, number))
        call.is_maybe_executed = True
        server = _remove_from_server(service, call, attempt)
        if server is not None:
            min_service_ms = (
                now_ms - attempt.started_ms
            ) / attempt.queue_factor
            server.service_ms = max(server.service_ms, min_service_ms)
    call.running.clear()
