"""Handles answers, failures, deadlines and load reports of requests."""

from __future__ import annotations

from gentianwall.claims.quarantines import quarantine_key
from gentianwall.core.events import FailureKind
from gentianwall.core.refusals import RefusalReason
from gentianwall.gateway import (
    crash_reports,
    dispatching,
    overdue,
    partitions,
    quotas,
    relaying,
)
from gentianwall.gateway.cold_servers import ASK_INTERVAL_MS
from gentianwall.gateway.effects import (
    CheckOverdue,
    CheckServer,
    CloseIdleConnections,
    GatewayEffect,
    Log,
)
from gentianwall.gateway.events import (
    LoadQueryEnded,
    ServerAnswered,
    ServerCrashed,
    ServerFailed,
)
from gentianwall.gateway.servers import RoutedServer, SentRequest
from gentianwall.gateway.state import (
    ErrorAnswer,
    GatewayState,
    Phase,
    RoutedCall,
)

FIRST_ERROR_STATUS = 500
# A failure is recorded against the server if a request has taken longer than
# this multiple of its expected time when its deadline expires.
OVERDUE_FACTOR = 2.0
REFUSAL_REASONS = {
    FailureKind.NOT_CONNECTED: RefusalReason.NO_SERVER,
    FailureKind.LOST: RefusalReason.SERVER_LOST,
    FailureKind.TRUNCATED: RefusalReason.SERVER_LOST,
    FailureKind.MALFORMED: RefusalReason.SERVER_LOST,
    FailureKind.MISMATCHED: RefusalReason.SERVER_LOST,
    FailureKind.SILENT: RefusalReason.SERVER_SILENT,
    FailureKind.TOO_LARGE: RefusalReason.ANSWER_TOO_LARGE,
}


def on_answered(
    state: GatewayState, event: ServerAnswered, effects: list[GatewayEffect]
) -> None:
    """Forwards an answer to the caller, or retries or refuses the request."""
    call = state.calls.get(event.call_id)
    ended = call and dispatching.end_attempt(state, call, event.attempt)
    if ended is None:
        return
    attempt, sent = ended
    server = state.server(attempt.server)
    service = state.service(call.service)
    if server is not None and event.report is not None:
        service.has_load_reports = True
        server.record_report(event.report, event.at_ms)
    if event.is_leaving:
        record_leaving(state, attempt.server, effects)
    is_success = event.is_authentic and not event.is_refusal
    is_success = is_success and event.status < FIRST_ERROR_STATUS
    if event.rate_limit_per_s is not None or is_success:
        record_rate_limit(
            state, attempt.server, event.rate_limit_per_s, event.at_ms, effects
        )
    # A server that named a time is fit again after it; counted as a failure,
    # its refusal would keep work away for seconds beyond that time.
    is_kept_by_rest = event.rest_ms > 0.0 and not state.rests.has_relapsed(
        attempt.server, event.at_ms
    )
    if event.rest_ms > 0.0:
        _record_rest(state, attempt.server, event.rest_ms, event.at_ms, effects)
    if event.is_refusal:
        if server is not None and not is_kept_by_rest:
            server.record_refusal(event.at_ms)
        _retry_or_refuse(
            state,
            call,
            attempt.server,
            RefusalReason.SERVER_REFUSED,
            event.at_ms,
            effects,
        )
        return
    if not event.is_authentic:
        call.is_maybe_executed = True
        _record_failure(server, event.at_ms)
        _retry_or_refuse(
            state,
            call,
            attempt.server,
            RefusalReason.SERVER_LOST,
            event.at_ms,
            effects,
        )
        return
    if event.status >= FIRST_ERROR_STATUS:
        call.is_maybe_executed = True
        _record_failure(server, event.at_ms)
        call.error_answer = ErrorAnswer(attempt, attempt.server, event.status)
        if dispatching.is_taken_elsewhere(state, call):
            return
        if _reserve_retry(state, call, event.at_ms):
            reason = f"status_{event.status}"
            _log_retry(call, attempt.server, reason, effects)
            dispatching.dispatch(state, call, event.at_ms, effects)
            return
    else:
        key = quarantine_key(event.fingerprint, call.organisation)
        crash_reports.on_completed(state, key, event.at_ms, effects)
        if server is not None:
            server.record_success(sent, event.at_ms)
            duration_ms = event.at_ms - attempt.sent_ms
            service.record_service_time(
                duration_ms / max(1.0, attempt.load_factor), call.route
            )
    dispatching.forward_answer(
        state,
        call,
        attempt,
        attempt.server,
        event.status,
        event.at_ms,
        effects,
    )


def record_leaving(
    state: GatewayState, server: str, effects: list[GatewayEffect]
) -> None:
    """Records that a server leaves, so that it gets no further requests."""
    if state.record_leaving(server):
        effects.append(Log("server_leaving", {"server": server}))


def record_rate_limit(
    state: GatewayState,
    server: str,
    per_second: float | None,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Records the rate limit that an answer names, and reports a change."""
    if not state.rate_limits.record_statement(
        server, per_second, state.entries, now_ms
    ):
        return
    fields = {
        "server": server,
        "per_second": "none" if per_second is None else per_second,
    }
    effects.append(Log("rate_limit_changed", fields))
    state.poll_due_ms = now_ms


def _record_rest(
    state: GatewayState,
    server: str,
    rest_ms: float,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Records that a server asked for rest."""
    state.rests.record(server, rest_ms, now_ms)
    fields = {"server": server, "rest_ms": round(rest_ms)}
    effects.append(Log("server_rests", fields))


def _record_warmup(
    state: GatewayState,
    server: RoutedServer,
    warmup_ms: float,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Records for how long a server has just stated to be cold."""
    service = state.services[state.service_by_server[server.name]]
    if state.cold_plan(service) is None:
        return
    server.is_presumed_cold = False
    server.warmup_stated_ms = now_ms
    if state.set_cold(server, now_ms + warmup_ms, now_ms):
        fields = {"server": server.name, "left_ms": round(warmup_ms)}
        effects.append(Log("server_cold", fields))


def on_failed(
    state: GatewayState, event: ServerFailed, effects: list[GatewayEffect]
) -> None:
    """Retries a request after a failed attempt if safe, or refuses it.

    A request that was not sent, because no connection could be opened, is
    dispatched to another server without a charge to the retry budget.
    """
    call = state.calls.get(event.call_id)
    ended = call and dispatching.end_attempt(state, call, event.attempt)
    if ended is None:
        return
    attempt, _ = ended
    server = state.server(attempt.server)
    partitions.record_lost_path(state, attempt.server, event.at_ms, effects)
    if event.kind is FailureKind.NOT_CONNECTED:
        call.attempt -= 1  # Nothing was sent.
        if server is not None:
            _pause_server(state, server, event.at_ms, effects)
        if dispatching.is_taken_elsewhere(state, call):
            dispatching.refund_retry(state, call)
            return
        _log_retry(call, attempt.server, "not_connected", effects)
        dispatching.dispatch(state, call, event.at_ms, effects)
        return
    call.is_maybe_executed = True
    _record_failure(server, event.at_ms)
    # Servers of an evacuated failure domain end because of its loss and not
    # because of a request.
    is_crash_suspected = event.kind.may_be_crash and not (
        state.is_evacuated(attempt.server)
    )
    if server is not None and is_crash_suspected:
        notice = server.record.notice
        effects.append(CheckServer(call.call_id, notice, call.organisation))
    _retry_or_refuse(
        state,
        call,
        attempt.server,
        REFUSAL_REASONS[event.kind],
        event.at_ms,
        effects,
    )


def _retry_or_refuse(
    state: GatewayState,
    call: RoutedCall,
    server: str,
    reason: RefusalReason,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Retries a request if that is allowed, or refuses it with the reason."""
    if dispatching.is_taken_elsewhere(state, call):
        return
    if _reserve_retry(state, call, now_ms):
        _log_retry(call, server, reason.name.lower(), effects)
        dispatching.dispatch(state, call, now_ms, effects)
    else:
        dispatching.refuse(state, call, reason, now_ms, effects)


def _reserve_retry(
    state: GatewayState, call: RoutedCall, now_ms: float
) -> bool:
    """Returns whether a request may be retried; if so, uses up one retry."""
    if call.is_maybe_executed and not call.route.kind.is_idempotent:
        return False
    if call.attempt >= call.most_attempts:
        return False
    service = state.service(call.service)
    service_ms = service.service_ms_for(call.route)
    if now_ms + service_ms > call.deadline_ms:
        return False
    if not state.stop.has_time_for(call, service_ms, now_ms):
        return False
    if state.overload is not None and not state.overload.may_retry(
        call, service_ms, now_ms
    ):
        return False
    has_untried_server = relaying.can_relay(state, call, now_ms) or any(
        server.record.notice.state == "up"
        and server.name not in call.tried_servers
        and state.may_send(server.name, now_ms)
        for server in service.servers.values()
    )
    if not has_untried_server or not service.retry_window.spend(now_ms):
        return False
    call.retry_counted_ms = now_ms
    return True


def _log_retry(
    call: RoutedCall, server: str, reason: str, effects: list[GatewayEffect]
) -> None:
    fields = {
        "id": call.request_id,
        "server": server,
        "reason": reason,
        "attempt": call.attempt,
    }
    effects.append(Log("again", fields))


def _record_failure(server: RoutedServer | None, now_ms: float) -> None:
    if server is not None:
        server.record_failure(now_ms)


def _pause_server(
    state: GatewayState,
    server: RoutedServer,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Pauses a server, and removes it if its heartbeats are missing too."""
    server.pause(now_ms)
    if server.record.notice.state == "silent":
        state.remove_server(server.name)
        effects.append(CloseIdleConnections(server.name))
    fields = {
        "server": server.name,
        "pause_ms": round(server.paused_until_ms - now_ms),
    }
    effects.append(Log("server_paused", fields))


def on_deadline_expired(
    state: GatewayState,
    call_id: int,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Cancels and refuses a request whose deadline has expired."""
    call = state.calls.get(call_id)
    if call is None:
        dispatching.expire_unrouted(state, call_id, effects)
        return
    for attempt in call.running.values():
        call.is_maybe_executed = True
        if now_ms - attempt.sent_ms > OVERDUE_FACTOR * attempt.expected_ms:
            _record_failure(state.server(attempt.server), now_ms)
    dispatching.cancel_attempts(state, call, effects)
    dispatching.refuse(state, call, RefusalReason.DEADLINE, now_ms, effects)


def on_drain_ended(
    state: GatewayState, now_ms: float, effects: list[GatewayEffect]
) -> None:
    """Answers all requests that are still open when the process ends."""
    unsent, sent = len(state.unrouted), 0
    for call_id in list(state.unrouted):
        dispatching.expire_unrouted(state, call_id, effects)
    for call in list(state.calls.values()):
        if call.running:
            sent += 1
            on_deadline_expired(state, call.call_id, now_ms, effects)
        else:
            unsent += 1
            dispatching.refuse(
                state, call, RefusalReason.NOT_READY, now_ms, effects
            )
    fields = {
        "refused": state.stop.refused,
        "left_unsent": unsent,
        "left_sent": sent,
    }
    effects.append(Log("drained", fields))


def on_caller_disconnected(
    state: GatewayState,
    call_id: int,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Cancels a request whose caller has closed the connection."""
    state.unrouted.pop(call_id, None)
    call = state.calls.pop(call_id, None)
    if call is None:
        return
    quotas.release(state, call)
    dispatching.restore_trial(state, call)
    dispatching.cancel_attempts(state, call, effects)
    fields = {
        "id": call.request_id,
        "server": call.server,
        "after_ms": round(now_ms - call.arrived_ms),
    }
    effects.append(Log("caller_gone", fields))


def on_load_query_ended(
    state: GatewayState, event: LoadQueryEnded, effects: list[GatewayEffect]
) -> None:
    """Records a server's load and dispatches the requests that wait for it."""
    server = state.server(event.server)
    if server is not None:
        if not event.is_answered or event.is_mismatched:
            _pause_server(state, server, event.at_ms, effects)
            if not event.is_answered:
                partitions.record_lost_path(
                    state, event.server, event.at_ms, effects
                )
        else:
            server.is_unhealthy = not event.is_healthy
            service = state.services[state.service_by_server[server.name]]
            if event.rate_limit_per_s is not None:
                record_rate_limit(
                    state,
                    server.name,
                    event.rate_limit_per_s,
                    event.at_ms,
                    effects,
                )
            if event.is_leaving:
                record_leaving(state, server.name, effects)
            if event.warmup_ms is not None:
                _record_warmup(
                    state, server, event.warmup_ms, event.at_ms, effects
                )
            if event.rest_ms > 0.0:
                _record_rest(
                    state, server.name, event.rest_ms, event.at_ms, effects
                )
            if event.report is not None:
                service.has_load_reports = True
                server.record_report(event.report, event.at_ms)
                service.record_query(event.report)
                if state.overload is not None:
                    state.overload.pressure(service.name).record_report(
                        event.report, event.at_ms
                    )
                overdue.mark_dropped(server, event.at_ms)
            elif service.has_load_reports is None:
                service.has_load_reports = False
    for call in list(state.querying.values()):
        if event.server in call.unreported:
            call.unreported.discard(event.server)
            dispatching.dispatch_by_reports(
                state, call, False, event.at_ms, effects
            )


def on_tick(
    state: GatewayState, now_ms: float, effects: list[GatewayEffect]
) -> None:
    """Checks on overdue requests and reassigns those that their server lost."""
    _ask_presumed_cold(state, now_ms, effects)
    occupied = {
        attempt.server
        for call in state.calls.values()
        for attempt in call.running.values()
    }
    _reassign_from_removed(state, now_ms, effects)
    for name in sorted(occupied):
        server = state.server(name)
        if server is None:
            continue
        for call_id in list(overdue.find_lost(server, now_ms)):
            sent = server.own_requests[call_id]
            _reassign(state, state.calls[call_id], name, sent, now_ms, effects)
        service = state.services[state.service_by_server[name]]
        if (
            service.has_load_reports
            and service.health_path
            and overdue.is_check_due(server, now_ms)
            and state.rests.wait_ms(name, now_ms) <= 0.0
            and not state.is_evacuated(name)
        ):
            server.checked_ms = now_ms
            effects.append(
                CheckOverdue(server.record.notice, service.health_path)
            )


def _ask_presumed_cold(
    state: GatewayState, now_ms: float, effects: list[GatewayEffect]
) -> None:
    """Asks home servers that only count as cold whether they are."""
    for service in state.services.values():
        if state.cold_plan(service) is None or not service.health_path:
            continue
        for name in service.homes:
            server = service.servers[name]
            if (
                server.is_presumed_cold
                and now_ms < server.warmup_end_ms
                and now_ms - server.asked_ms >= ASK_INTERVAL_MS
                and state.rests.wait_ms(name, now_ms) <= 0.0
            ):
                server.asked_ms = now_ms
                notice = server.record.notice
                effects.append(CheckOverdue(notice, service.health_path))


def _reassign_from_removed(
    state: GatewayState, now_ms: float, effects: list[GatewayEffect]
) -> None:
    """Reassigns overdue requests at servers that were removed meanwhile.

    Such a server may still answer, but it is not asked for its load any more.
    """
    for call in list(state.calls.values()):
        for attempt in list(call.running.values()):
            server = state.server(attempt.server)
            is_known = server and call.call_id in server.own_requests
            if attempt.peer or is_known:
                continue
            sent = SentRequest(attempt.sent_ms, max(1.0, attempt.expected_ms))
            if overdue.is_overdue(sent, now_ms):
                _reassign(state, call, attempt.server, sent, now_ms, effects)


def _reassign(
    state: GatewayState,
    call: RoutedCall,
    server: str,
    sent: SentRequest,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Looks for another server for a request that may be repeated, if sensible.

    The first server may still be at work, so its attempt runs on until either
    one answers. It gets no failure recorded: it may only have been full.
    """
    if not call.route.kind.is_idempotent or now_ms < call.reassign_due_ms:
        return
    if call.phase is Phase.QUERYING or len(call.running) > 1:
        return
    if relaying.can_relay(state, call, now_ms):
        expected_ms = state.service(call.service).service_ms_for(call.route)
    else:
        target = dispatching.best_server(state, call, now_ms)
        if target is None:
            return
        expected_ms = target.expected_ms
    if not overdue.is_reassign_worthwhile(sent, expected_ms, now_ms):
        return
    if not _reserve_retry(state, call, now_ms):
        return
    reason = "overdue" if sent.missing_since_ms is None else "dropped"
    _log_retry(call, server, reason, effects)
    call.phase = Phase.QUERYING
    dispatching.dispatch(state, call, now_ms, effects)


def on_recheck_due(
    state: GatewayState,
    call_id: int,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Dispatches a request without waiting for outstanding load reports."""
    call = state.querying.get(call_id)
    if call is not None:
        dispatching.dispatch_by_reports(state, call, True, now_ms, effects)


def on_server_crashed(
    state: GatewayState, event: ServerCrashed, effects: list[GatewayEffect]
) -> None:
    """Pauses a server that refuses connections after it lost a request."""
    server = state.server(event.server)
    if server is not None:
        _pause_server(state, server, event.at_ms, effects)
    crash_reports.on_server_crashed(state, event, effects)
    if state.unconfirmed_crashes:
        partitions.record_lost_path(
            state, event.server, event.at_ms, effects, is_urgent=True
        )
