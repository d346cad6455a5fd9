"""Queueing, dispatch and refusal of calls."""

from __future__ import annotations

from gentianwall.core import attempts, claiming
from gentianwall.core.effects import (
    AnswerCaller,
    Dispatch,
    EntryEffect,
    RecordEvent,
    RefuseCaller,
)
from gentianwall.core.refusals import Executed, Refusal, RefusalReason
from gentianwall.core.state import Call, CallPhase, EntryState, Service
from gentianwall.routing.policies import NoServer
from gentianwall.routing.servers import Server
from gentianwall.timeline import EventKind


def expected_wait_ms(service: Service, call: Call, now_ms: float) -> float:
    """Returns the expected time that a call waits for a slot."""
    pool = service.pool
    if not service.waiting and pool.has_room(now_ms):
        return 0.0
    ahead = service.waiting.count_ahead(call.start_target_ms) + 1
    return ahead * pool.average_service_ms / pool.total_limit(now_ms)


def enqueue(
    state: EntryState, call: Call, now_ms: float, effects: list[EntryEffect]
) -> None:
    """Queues a call and dispatches the calls that servers have room for."""
    service = state.services.get(call.service)
    if service is None:
        refuse(state, call, RefusalReason.UNKNOWN_SERVICE, now_ms, effects)
        return
    call.phase = CallPhase.QUEUED
    service.waiting.put(call.start_target_ms, call.call_id)
    dispatch_waiting(state, service, now_ms, effects)


def dispatch_all_waiting(
    state: EntryState, now_ms: float, effects: list[EntryEffect]
) -> None:
    """Dispatches waiting calls of all services while servers have room."""
    for service in state.services.values():
        if service.waiting:
            dispatch_waiting(state, service, now_ms, effects)


def dispatch_waiting(
    state: EntryState,
    service: Service,
    now_ms: float,
    effects: list[EntryEffect],
) -> None:
    """Dispatches waiting calls of a service while servers have room.

    A call that has tried every live server is refused.
    """
    while service.waiting:
        call = state.calls[service.waiting.first()]
        server = service.pool.pick(call.tried_servers, now_ms, state.rng)
        if isinstance(server, NoServer):
            if server.has_live_server:
                return
            service.waiting.pop()
            reason = RefusalReason.NO_SERVER
            if call.is_maybe_executed:
                reason = RefusalReason.SERVER_LOST
            elif call.tried_servers:
                reason = RefusalReason.SERVER_REFUSED
            refuse(state, call, reason, now_ms, effects)
            continue
        service.waiting.pop()
        dispatch(service, call, server, now_ms, effects)


def dispatch(
    service: Service,
    call: Call,
    server: Server,
    now_ms: float,
    effects: list[EntryEffect],
) -> None:
    """Sends a call to a server that has room for it."""
    attempts.start_attempt(call, server, now_ms)
    effects.append(
        Dispatch(
            call_id=call.call_id,
            attempt=call.attempt,
            notice=server.notice,
            deadline_ms=call.deadline_ms,
            silence_ms=service.settings.connection_silence_ms,
            answer_limit_bytes=service.settings.answer_limit_bytes,
            is_echo_required=not service.settings.reuse_unnamed_connections,
        )
    )


def refuse(
    state: EntryState,
    call: Call,
    reason: RefusalReason,
    now_ms: float,
    effects: list[EntryEffect],
    executed: Executed | None = None,
    retry_after_ms: float = 0.0,
) -> None:
    """Ends a call with a refusal; releases its claim if it was not executed.

    The caller of a call that a server failed gets the server's answer instead.
    """
    if call.error_answer is not None:
        error = call.error_answer
        send_answer(call, error.attempt, error.server, error.status, effects)
        state.calls.pop(call.call_id, None)
        return
    if executed is None:
        executed = Executed.UNKNOWN if call.is_maybe_executed else Executed.NO
    if executed is Executed.NO and call.claim is not None:
        claiming.release(state, call, now_ms, effects)
    service = state.services.get(call.service)
    if retry_after_ms <= 0 and executed is not Executed.YES:
        average_ms = service.pool.average_service_ms if service else 0.0
        retry_after_ms = max(average_ms, 1.0)
    state.calls.pop(call.call_id, None)
    refusal = Refusal(reason, executed, retry_after_ms)
    send_refusal(call.call_id, call.request_id, refusal, effects)


def send_answer(
    call: Call,
    attempt: int,
    server: str,
    status: int,
    effects: list[EntryEffect],
) -> None:
    """Forwards the answer of an attempt and records it in the timeline."""
    price = call.price if status < 500 else 0.0
    effects.append(AnswerCaller(call.call_id, attempt, call.tier, price))
    effects.append(
        RecordEvent(
            EventKind.CALL_ANSWERED,
            server,
            f"status {status}",
            call.request_id,
        )
    )


def send_refusal(
    call_id: int,
    request_id: str,
    refusal: Refusal,
    effects: list[EntryEffect],
) -> None:
    """Sends a refusal to the caller and records it in the timeline."""
    effects.append(RefuseCaller(call_id, refusal))
    effects.append(
        RecordEvent(
            EventKind.CALL_REFUSED,
            refusal.reason.value,
            f"executed {refusal.executed.value}",
            request_id,
        )
    )


def refuse_waiting(
    state: EntryState,
    service: Service,
    now_ms: float,
    effects: list[EntryEffect],
) -> None:
    """Refuses the waiting calls of a service that is no longer declared."""
    while service.waiting:
        call = state.calls[service.waiting.pop()]
        reason = RefusalReason.UNKNOWN_SERVICE
        refuse(state, call, reason, now_ms, effects)
