"""Retries of calls, where safe and within the retry budget."""

from __future__ import annotations

from gentianwall.core import claiming, dispatching
from gentianwall.core.effects import EntryEffect, RecordEvent
from gentianwall.core.refusals import RefusalReason
from gentianwall.core.state import Call, EntryState, Service
from gentianwall.routing.policies import NoServer
from gentianwall.timeline import EventKind

MAX_ATTEMPTS = 3
MAX_CRASHES = 2
# A call is overdue after this multiple of the average service time.
OVERDUE_FACTOR = 4.0
# An overdue call is reassigned only if the expected time at the new server is
# at most this share of the time already spent.
MAX_REASSIGN_SHARE = 0.6


def reassign_overdue(
    state: EntryState, now_ms: float, effects: list[EntryEffect]
) -> None:
    """Sends overdue idempotent calls also to servers expected to be faster."""
    for service in state.services.values():
        if not service.pool.is_managed:
            continue
        overdue_ms = OVERDUE_FACTOR * service.pool.average_service_ms
        for server in service.pool.servers.values():
            if server.oldest_call_age_ms(now_ms) < overdue_ms:
                continue
            for call_id, sent_ms in list(server.calls.items()):
                if now_ms - sent_ms >= overdue_ms:
                    call = state.calls[call_id]
                    waited_ms = now_ms - sent_ms
                    _reassign(state, service, call, waited_ms, now_ms, effects)


def _reassign(
    state: EntryState,
    service: Service,
    call: Call,
    waited_ms: float,
    now_ms: float,
    effects: list[EntryEffect],
) -> None:
    """Sends a call also to a server that has room and is expected to be faster.

    The first server may still be at work, so its attempt runs on until either
    one answers. A call that may have crashed a server goes to one other server
    at most.
    """
    if not call.is_idempotent or len(call.running) > 1 or call.crashed_servers:
        return
    pool = service.pool
    target = pool.pick(call.tried_servers, now_ms, state.rng)
    if isinstance(target, NoServer):
        return
    expected_ms = target.expected_ms(
        now_ms, pool.average_service_ms, pool.average_foreign_load
    )
    if expected_ms > MAX_REASSIGN_SHARE * waited_ms:
        return
    if not reserve_retry(state, call, now_ms):
        return
    _record_retry(call, "overdue", effects)
    dispatching.dispatch(service, call, target, now_ms, effects)


def reserve_retry(state: EntryState, call: Call, now_ms: float) -> bool:
    """Returns whether a call may be retried; if so, uses up one retry."""
    service = state.services.get(call.service)
    if service is None or call.is_nested:
        return False
    if call.is_maybe_executed and not call.is_idempotent:
        return False
    if call.attempt >= MAX_ATTEMPTS or len(call.crashed_servers) >= MAX_CRASHES:
        return False
    if now_ms + service.pool.average_service_ms > call.deadline_ms:
        return False
    return service.retry_budget.spend()


def retry_or_refuse(
    state: EntryState,
    call: Call,
    reason: RefusalReason,
    now_ms: float,
    effects: list[EntryEffect],
    retry_after_ms: float = 0.0,
) -> None:
    """Retries a call where that is safe, or refuses it.

    The end of one attempt decides nothing while another one runs.
    """
    if call.running:
        return
    if reserve_retry(state, call, now_ms):
        retry(state, call, reason.value, now_ms, effects)
        return
    if call.crashed_servers:
        claiming.report_crashes(state, call, now_ms, effects)
    dispatching.refuse(
        state, call, reason, now_ms, effects, retry_after_ms=retry_after_ms
    )


def retry(
    state: EntryState,
    call: Call,
    detail: str,
    now_ms: float,
    effects: list[EntryEffect],
) -> None:
    """Records a retry and queues the call again."""
    _record_retry(call, detail, effects)
    dispatching.enqueue(state, call, now_ms, effects)


def _record_retry(call: Call, detail: str, effects: list[EntryEffect]) -> None:
    effects.append(
        RecordEvent(
            EventKind.CALL_RETRIED, call.server, detail, call.request_id
        )
    )
