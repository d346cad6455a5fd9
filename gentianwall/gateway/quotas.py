"""Quotas of organisations: which requests may run, wait for a token or not.

Load pattern: an entry sees many organisations rarely, so that some requests
find no token although their organisation is below its quota. These wait for the
answer of the leader, which takes a few milliseconds. Requests of an exhausted
quota are refused at once.
"""

from __future__ import annotations

from gentianwall.control.limits import quota_sizes
from gentianwall.gateway.effects import GatewayEffect, Log
from gentianwall.gateway.limit_leases import MAX_WAIT_MS
from gentianwall.gateway.state import GatewayState, RoutedCall

# A request waits for a token for at most this share of the time that is left,
# so that it can still be served.
WAIT_SHARE = 0.25
# Shortest time between two log lines about refusals of one organisation.
LOG_INTERVAL_MS = 1000.0


def apply_configuration(state: GatewayState, now_ms: float) -> None:
    """Applies the quotas of the configuration in force."""
    sizes = quota_sizes(state.table.configuration)
    if sizes or state.limits.sizes:
        state.limits.apply_sizes(sizes, now_ms)


def reserve(
    state: GatewayState, call: RoutedCall, now_ms: float
) -> float | None:
    """Reserves a token of the quota of a request's organisation.

    Returns:
        0 if the request may run; None if it waits for a token; otherwise it is
        to be refused, and this is the time until there is room.
    """
    organisation = call.organisation
    if not organisation:
        return 0.0
    room_ms = _try_reserve(state, call, now_ms, False)
    if room_ms <= 0.0:
        return 0.0
    if not state.limits.may_wait(organisation, now_ms):
        return room_ms
    left_ms = call.deadline_ms - now_ms
    until_ms = now_ms + min(MAX_WAIT_MS, WAIT_SHARE * left_ms)
    waiting = state.waiting_for_quota.setdefault(organisation, {})
    waiting[call.call_id] = until_ms
    state.limits.set_waiting(organisation, len(waiting))
    state.quota_waits += 1
    return None


def decide_waiting(
    state: GatewayState, now_ms: float
) -> list[tuple[RoutedCall, float]]:
    """Returns the requests whose wait for a token has ended.

    Returns:
        Pairs of a request and 0, if it may run, or else the time until there is
        room.
    """
    decided = []
    for organisation, waiting in list(state.waiting_for_quota.items()):
        for call_id, until_ms in list(waiting.items()):
            call = state.calls.get(call_id)
            if call is None:
                del waiting[call_id]
                continue
            room_ms = _try_reserve(state, call, now_ms, True)
            may_wait = now_ms < until_ms and state.limits.may_wait(
                organisation, now_ms
            )
            if room_ms > 0.0 and may_wait:
                continue
            del waiting[call_id]
            decided.append((call, room_ms))
        state.limits.set_waiting(organisation, len(waiting))
        if not waiting:
            del state.waiting_for_quota[organisation]
    return decided


def _try_reserve(
    state: GatewayState, call: RoutedCall, now_ms: float, is_repeated: bool
) -> float:
    limits = state.limits
    before = limits.reserved(call.organisation)
    room_ms = limits.reserve(call.organisation, now_ms, is_repeated)
    if limits.reserved(call.organisation) > before:
        call.quota_generation = limits.generation
    else:
        call.is_quota_spent = room_ms <= 0.0
    return room_ms


def commit(state: GatewayState, call: RoutedCall, now_ms: float) -> float:
    """Spends the token of a request that is about to be sent.

    If the lease of the token has ended meanwhile, another one is needed.

    Returns:
        0 if the request may be sent, otherwise the time until there is room.
    """
    if not call.organisation or call.is_quota_spent:
        return 0.0
    limits = state.limits
    if now_ms >= limits.lease_until_ms or not _has_token(state, call):
        release(state, call)
        room_ms = _try_reserve(state, call, now_ms, True)
        if room_ms > 0.0:
            return room_ms
    if _has_token(state, call):
        limits.commit(call.organisation, now_ms)
    call.quota_generation = -1
    call.is_quota_spent = True
    return 0.0


def release(state: GatewayState, call: RoutedCall) -> None:
    """Takes back the token of a request that was not sent, if it has one."""
    if _has_token(state, call):
        state.limits.release(call.organisation)
    call.quota_generation = -1


def _has_token(state: GatewayState, call: RoutedCall) -> bool:
    return call.quota_generation == state.limits.generation


def record_refusal(
    state: GatewayState,
    call: RoutedCall,
    room_ms: float,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Counts a refusal because of a quota, and logs why at intervals."""
    state.quota_refusals += 1
    held = state.limits.held[call.organisation]
    held.refused += 1
    if now_ms - held.logged_ms < LOG_INTERVAL_MS:
        return
    limits = state.limits
    size = limits.sizes.get(call.organisation)
    fields = {
        "organisation": call.organisation,
        "refused": held.refused,
        "spent_in_window": sum(held.ages(now_ms)),
        "limit_per_window": 0 if size is None else size.per_window,
        "is_exhausted": int(now_ms < held.exhausted_until_ms),
        "has_lease": int(now_ms < limits.lease_until_ms),
        "fallback": held.fallback,
        "leader_silent_ms": round(min(now_ms - limits.heard_ms, 1e9)),
        "room_ms": round(room_ms),
    }
    effects.append(Log("quota_refuses", fields))
    held.refused = 0
    held.logged_ms = now_ms
