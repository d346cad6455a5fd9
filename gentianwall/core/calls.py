"""Lifecycle of a call: admission, answer, failure, cancellation, expiry."""

from __future__ import annotations

import heapq

from gentianwall.admission.prices import choose_tier
from gentianwall.admission.queue import start_target_ms
from gentianwall.claims.quarantines import quarantine_key, start_name
from gentianwall.core import attempts, claiming, dispatching, retrying
from gentianwall.core.effects import (
    CloseConnections,
    EntryEffect,
    RecordEvent,
)
from gentianwall.core.events import (
    AttemptAnswered,
    AttemptFailed,
    CallArrived,
    CallerDisconnected,
    FailureKind,
)
from gentianwall.core.refusals import Executed, Refusal, RefusalReason
from gentianwall.core.state import (
    Call,
    CallPhase,
    EntryState,
    ErrorAnswer,
    RunningAttempt,
    Service,
)
from gentianwall.membership.messages import ServerKey
from gentianwall.timeline import EventKind
from gentianwall.utils.uuid7 import uuid7_time_ms

NOT_READY_RETRY_MS = 500.0
NO_SERVER_RETRY_MS = 1000.0
RETRIED_STATUSES = (502, 503, 504)


def on_call_arrived(
    state: EntryState, event: CallArrived, effects: list[EntryEffect]
) -> None:
    """Admits a call or refuses it immediately."""
    refusal = _check_service(state, event)
    if refusal is not None:
        dispatching.send_refusal(
            event.call_id, event.request_id, refusal, effects
        )
        return
    service = state.services[event.service]
    call = _make_call(state, service, event)
    refusal = _check_capacity(service, call, event)
    if refusal is not None:
        dispatching.send_refusal(
            event.call_id, event.request_id, refusal, effects
        )
        return
    state.calls[call.call_id] = call
    heapq.heappush(state.deadlines, (call.deadline_ms, call.call_id))
    service.retry_budget.record_call()
    if call.claim is not None:
        claiming.request_claim(state, call, event, effects)
    else:
        dispatching.enqueue(state, call, event.at_ms, effects)


def _check_service(state: EntryState, event: CallArrived) -> Refusal | None:
    """Returns a refusal if the entry cannot accept the call at all.

    This is the case without a configuration, for an undeclared service and
    for a quarantined request.
    """
    if not state.is_config_known:
        return Refusal(RefusalReason.NOT_READY, Executed.NO, NOT_READY_RETRY_MS)
    if event.service not in state.services:
        return Refusal(
            RefusalReason.UNKNOWN_SERVICE, Executed.NO, detail=event.service
        )
    if quarantine_key(event.fingerprint, event.caller) in state.quarantines:
        assert state.declaration is not None
        return Refusal(
            RefusalReason.QUARANTINED,
            Executed.NO,
            state.declaration.quarantine_ms,
        )
    return None


def _make_call(state: EntryState, service: Service, event: CallArrived) -> Call:
    settings = service.settings
    wait_ms = event.max_wait_ms or settings.default_max_wait_ms
    assert state.declaration is not None
    tier = choose_tier(state.declaration.tiers, wait_ms)
    is_idempotent = event.method in settings.idempotent_methods
    call = Call(
        call_id=event.call_id,
        request_id=event.request_id,
        service=event.service,
        caller=event.caller,
        fingerprint=event.fingerprint,
        arrived_ms=event.at_ms,
        deadline_ms=event.at_ms + wait_ms,
        start_target_ms=start_target_ms(
            event.at_ms, min(wait_ms, tier.max_wait_ms)
        ),
        tier=tier.name,
        price=tier.price,
        is_idempotent=is_idempotent,
        is_nested=event.is_nested,
        wall_offset_ms=event.wall_ms - event.at_ms,
    )
    if event.idempotency_key and not is_idempotent:
        claiming.assign_claim(state, call, event)
    return call


def _check_capacity(
    service: Service, call: Call, event: CallArrived
) -> Refusal | None:
    """Returns a refusal if the service cannot answer within the deadline.

    Also checks the idempotency key, live servers and the queue length.
    """
    settings = service.settings
    is_timed_key_required = settings.timed_keys_only and call.claim is not None
    if is_timed_key_required and uuid7_time_ms(event.idempotency_key) is None:
        return Refusal(RefusalReason.KEY_NOT_TIMED, Executed.NO)
    if not service.pool.has_live_servers():
        return Refusal(RefusalReason.NO_SERVER, Executed.NO, NO_SERVER_RETRY_MS)
    wait_ms = dispatching.expected_wait_ms(service, call, event.at_ms)
    if len(service.waiting) >= settings.max_queued_calls and wait_ms > 0:
        return Refusal(RefusalReason.QUEUE_FULL, Executed.NO, wait_ms)
    expected_finish_ms = event.at_ms + wait_ms + service.pool.average_service_ms
    if wait_ms > 0 and expected_finish_ms > call.deadline_ms:
        return Refusal(RefusalReason.OVERLOADED, Executed.NO, wait_ms)
    return None


def on_attempt_answered(
    state: EntryState, event: AttemptAnswered, effects: list[EntryEffect]
) -> None:
    """Forwards a complete answer, or retries where that is safe."""
    call = state.calls.get(event.call_id)
    attempt = call and call.running.pop(event.attempt, None)
    if attempt is None:
        return
    service = state.services.get(call.service)
    assessment = attempts.record_answer(service, call, attempt, event)
    if assessment.is_ejected:
        effects.append(RecordEvent(EventKind.SERVER_EJECTED, attempt.server))
    is_retriable = event.status in RETRIED_STATUSES and call.is_idempotent
    if assessment.is_shed:
        retry_after_ms = event.retry_after_ms or 0.0
        retrying.retry_or_refuse(
            state,
            call,
            RefusalReason.SERVER_REFUSED,
            event.at_ms,
            effects,
            retry_after_ms,
        )
    elif is_retriable and call.running:
        _keep_error_answer(call, attempt, event)
    elif is_retriable and retrying.reserve_retry(state, call, event.at_ms):
        _keep_error_answer(call, attempt, event)
        retrying.retry(
            state, call, f"status {event.status}", event.at_ms, effects
        )
    else:
        _forward_answer(state, call, attempt, event, effects)
    if service is not None:
        dispatching.dispatch_waiting(state, service, event.at_ms, effects)


def _keep_error_answer(
    call: Call, attempt: RunningAttempt, event: AttemptAnswered
) -> None:
    call.is_maybe_executed = True
    call.error_answer = ErrorAnswer(event.attempt, attempt.server, event.status)


def _forward_answer(
    state: EntryState,
    call: Call,
    attempt: RunningAttempt,
    event: AttemptAnswered,
    effects: list[EntryEffect],
) -> None:
    service = state.services.get(call.service)
    attempts.cancel_attempts(service, call, event.at_ms, effects)
    dispatching.send_answer(
        call, event.attempt, attempt.server, event.status, effects
    )
    if call.claim is not None and event.outcome is not None:
        claiming.record_outcome(state, call, event, effects)
    is_completed = event.status < attempts.FIRST_ERROR_STATUS
    if is_completed and call.quarantine_key in state.quarantines:
        claiming.withdraw_quarantine(state, call, event.at_ms, effects)
    del state.calls[call.call_id]


def on_attempt_failed(
    state: EntryState, event: AttemptFailed, effects: list[EntryEffect]
) -> None:
    """Retries a failed attempt where that is safe, or refuses the call."""
    call = state.calls.get(event.call_id)
    attempt = call and call.running.pop(event.attempt, None)
    if attempt is None:
        return
    service = state.services.get(call.service)
    if attempts.record_failure(service, call, attempt, event.kind, event.at_ms):
        effects.append(RecordEvent(EventKind.SERVER_EJECTED, attempt.server))
    if event.kind is not FailureKind.NOT_CONNECTED:
        call.is_maybe_executed = True
    match event.kind:
        case FailureKind.NOT_CONNECTED:
            reason = RefusalReason.SERVER_REFUSED
            retrying.retry_or_refuse(state, call, reason, event.at_ms, effects)
        case FailureKind.LOST | FailureKind.TRUNCATED | FailureKind.MALFORMED:
            if event.kind is FailureKind.LOST:
                start = start_name(attempt.server, attempt.incarnation)
                call.crashed_servers += (start,)
            reason = RefusalReason.SERVER_LOST
            retrying.retry_or_refuse(state, call, reason, event.at_ms, effects)
        case FailureKind.SILENT | FailureKind.MISMATCHED:
            key = ServerKey(call.service, attempt.server)
            effects.append(CloseConnections(key, event.at_ms))
            effects.append(
                RecordEvent(
                    EventKind.CONNECTIONS_CLOSED,
                    attempt.server,
                    event.kind.value,
                    call.request_id,
                )
            )
            # The connection failed, not the server: a retry may use the same
            # server over a new connection.
            call.tried_servers = tuple(
                name for name in call.tried_servers if name != attempt.server
            )
            reason = RefusalReason.SERVER_SILENT
            retrying.retry_or_refuse(state, call, reason, event.at_ms, effects)
        case FailureKind.TOO_LARGE if not call.running:
            reason = RefusalReason.ANSWER_TOO_LARGE
            dispatching.refuse(
                state, call, reason, event.at_ms, effects, Executed.YES
            )
    if service is not None:
        dispatching.dispatch_waiting(state, service, event.at_ms, effects)


def on_caller_disconnected(
    state: EntryState, event: CallerDisconnected, effects: list[EntryEffect]
) -> None:
    """Cancels a call after its caller disconnected."""
    call = state.calls.get(event.call_id)
    if call is None:
        return
    _cancel(state, call, event.at_ms, effects)
    if not call.is_maybe_executed and call.claim is not None:
        claiming.release(state, call, event.at_ms, effects)
    del state.calls[call.call_id]


def _cancel(
    state: EntryState, call: Call, now_ms: float, effects: list[EntryEffect]
) -> None:
    """Removes a call from the queue, or cancels its attempts."""
    service = state.services.get(call.service)
    if call.phase is CallPhase.QUEUED and service is not None:
        service.waiting.remove(call.start_target_ms, call.call_id)
    if call.running:
        attempts.cancel_attempts(service, call, now_ms, effects)
        if service is not None:
            dispatching.dispatch_waiting(state, service, now_ms, effects)


def expire_deadlines(
    state: EntryState, now_ms: float, effects: list[EntryEffect]
) -> None:
    """Refuses the calls whose deadline expired."""
    while state.deadlines and state.deadlines[0][0] <= now_ms:
        _, call_id = heapq.heappop(state.deadlines)
        call = state.calls.get(call_id)
        if call is None:
            continue
        reason = RefusalReason.DEADLINE
        if call.phase is CallPhase.CLAIMING:
            reason = RefusalReason.CLAIM_UNAVAILABLE
        _cancel(state, call, now_ms, effects)
        dispatching.refuse(state, call, reason, now_ms, effects)
