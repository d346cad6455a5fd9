"""Handles answers and failures of peers that relay requests."""

from __future__ import annotations

from gentianwall.core.events import FailureKind
from gentianwall.core.refusals import Executed, RefusalReason
from gentianwall.gateway import (
    dispatching,
    outcomes,
    relaying,
)
from gentianwall.gateway.effects import GatewayEffect, Log
from gentianwall.gateway.events import PeerAnswered, PeerFailed
from gentianwall.gateway.state import ErrorAnswer, GatewayState, RoutedCall

# Refusals after which another peer may still serve the request.
UNUSABLE_PEER_REASONS = (RefusalReason.NO_SERVER, RefusalReason.NOT_READY)


def on_peer_answered(
    state: GatewayState, event: PeerAnswered, effects: list[GatewayEffect]
) -> None:
    """Forwards a relayed answer, tries another peer, or refuses the request."""
    call = state.calls.get(event.call_id)
    ended = call and dispatching.end_attempt(state, call, event.attempt)
    if ended is None:
        return
    attempt, _ = ended
    refusal = event.refusal
    if refusal is None:
        state.peers.record_success(attempt.peer)
        if event.is_leaving:
            outcomes.record_leaving(state, event.server, effects)
        if event.rate_limit_per_s is not None:
            outcomes.record_rate_limit(
                state,
                event.server,
                event.rate_limit_per_s,
                event.at_ms,
                effects,
            )
        if event.status >= outcomes.FIRST_ERROR_STATUS:
            _use_up_attempts(call)
            call.error_answer = ErrorAnswer(attempt, event.server, event.status)
            if dispatching.is_taken_elsewhere(state, call):
                return
        dispatching.forward_answer(
            state,
            call,
            attempt,
            event.server,
            event.status,
            event.at_ms,
            effects,
        )
        return
    if refusal.executed is not Executed.NO:
        _use_up_attempts(call)
    elif refusal.reason in UNUSABLE_PEER_REASONS:
        _leave_peer(state, call, attempt.peer, event.at_ms)
        _try_other_peer(state, call, refusal.reason, event.at_ms, effects)
        return
    if dispatching.is_taken_elsewhere(state, call):
        return
    dispatching.refuse(
        state,
        call,
        refusal.reason,
        event.at_ms,
        effects,
        refusal.retry_after_ms,
    )


def on_peer_failed(
    state: GatewayState, event: PeerFailed, effects: list[GatewayEffect]
) -> None:
    """Tries another peer if nothing was sent to this one, else refuses.

    A peer that is lost may have used up all attempts of the request.
    """
    call = state.calls.get(event.call_id)
    ended = call and dispatching.end_attempt(state, call, event.attempt)
    if ended is None:
        return
    attempt, _ = ended
    fields = {
        "id": call.request_id,
        "peer": attempt.peer,
        "kind": event.kind.name.lower(),
    }
    effects.append(Log("peer_failed", fields))
    if event.kind is FailureKind.NOT_CONNECTED:
        _leave_peer(state, call, attempt.peer, event.at_ms)
        reason = RefusalReason.NO_SERVER
        _try_other_peer(state, call, reason, event.at_ms, effects)
        return
    state.peers.pause(attempt.peer, event.at_ms)
    _use_up_attempts(call)
    if dispatching.is_taken_elsewhere(state, call):
        return
    dispatching.refuse(
        state, call, RefusalReason.SERVER_LOST, event.at_ms, effects
    )


def _leave_peer(
    state: GatewayState, call: RoutedCall, peer: str, now_ms: float
) -> None:
    """Takes back an attempt that reached no server, and pauses the peer."""
    state.peers.pause(peer, now_ms)
    call.peer = ""
    call.attempt -= 1


def _use_up_attempts(call: RoutedCall) -> None:
    """Counts all attempts that a peer was left, as it may have made them."""
    call.is_maybe_executed = True
    call.attempt = call.route.most_attempts


def _try_other_peer(
    state: GatewayState,
    call: RoutedCall,
    reason: RefusalReason,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    if dispatching.is_taken_elsewhere(state, call):
        dispatching.refund_retry(state, call)
        return
    if state.reachability.is_partitioned and not relaying.can_relay(
        state, call, now_ms
    ):
        dispatching.refuse(state, call, reason, now_ms, effects)
    else:
        dispatching.dispatch(state, call, now_ms, effects)
