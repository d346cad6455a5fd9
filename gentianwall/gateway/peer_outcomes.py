"""Handles the begin and end of partitions, and the answers of peers."""

from __future__ import annotations

from gentianwall.core.events import FailureKind
from gentianwall.core.refusals import Executed, RefusalReason
from gentianwall.gateway import (
    crash_reports,
    dispatching,
    outcomes,
    relaying,
)
from gentianwall.gateway.effects import ForwardAnswer, GatewayEffect, Log
from gentianwall.gateway.events import PeerAnswered, PeerFailed, ReachChecked
from gentianwall.gateway.state import GatewayState, RoutedCall

# Refusals after which another peer may still serve the request.
UNUSABLE_PEER_REASONS = (RefusalReason.NO_SERVER, RefusalReason.NOT_READY)


def on_reach_checked(
    state: GatewayState, event: ReachChecked, effects: list[GatewayEffect]
) -> None:
    """Records a check; the partition may begin or end with it."""
    is_changed = state.reachability.record_check(event.server, event.is_reached)
    is_partitioned = state.reachability.is_partitioned
    if event.is_reached:
        crash_reports.on_server_reached(state, event.server, effects)
    elif is_partitioned:
        crash_reports.on_partition_began(state, effects)
    if not is_changed:
        return
    name = "partition_began" if is_partitioned else "partition_ended"
    fields = {"server": event.server, "peers": len(state.peers.by_host)}
    effects.append(Log(name, fields))
    # The leader names only peers that are not partitioned, so it is told.
    state.poll_due_ms = event.at_ms
    state.peers.requested_ms = float("-inf")
    if is_partitioned:
        for call in list(state.querying.values()):
            relaying.send_to_peer(state, call, event.at_ms, effects)
    else:
        for service in state.services.values():
            for server in service.servers.values():
                server.end_pause()


def on_peer_answered(
    state: GatewayState, event: PeerAnswered, effects: list[GatewayEffect]
) -> None:
    """Forwards a relayed answer, tries another peer, or refuses the request."""
    call = state.calls.get(event.call_id)
    if call is None or call.attempt != event.attempt or not call.peer:
        return
    state.peers.record_end(call.peer, call.call_id)
    refusal = event.refusal
    if refusal is None:
        state.peers.record_success(call.peer)
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
        _forward_answer(state, call, event, effects)
        return
    if refusal.executed is not Executed.NO:
        call.is_maybe_executed = True
    elif refusal.reason in UNUSABLE_PEER_REASONS:
        _leave_peer(state, call, event.at_ms)
        _try_other_peer(state, call, refusal.reason, event.at_ms, effects)
        return
    dispatching.refuse(
        state,
        call,
        refusal.reason,
        event.at_ms,
        effects,
        refusal.retry_after_ms,
    )


def _forward_answer(
    state: GatewayState,
    call: RoutedCall,
    event: PeerAnswered,
    effects: list[GatewayEffect],
) -> None:
    del state.calls[call.call_id]
    effects.append(ForwardAnswer(call.call_id))
    fields = {
        "id": call.request_id,
        "service": call.service,
        "kind": call.route.kind.value,
        "server": event.server,
        "peer": call.peer,
        "status": event.status,
        "attempt": call.attempt,
        "server_ms": round(event.at_ms - call.sent_ms),
        "total_ms": round(event.at_ms - call.arrived_ms),
        "target_ms": round(call.route.target_ms),
    }
    effects.append(Log("answered", fields))


def on_peer_failed(
    state: GatewayState, event: PeerFailed, effects: list[GatewayEffect]
) -> None:
    """Tries another peer if nothing was sent to this one, else refuses.

    A peer that is lost may have used up all attempts of the request.
    """
    call = state.calls.get(event.call_id)
    if call is None or call.attempt != event.attempt or not call.peer:
        return
    state.peers.record_end(call.peer, call.call_id)
    peer = call.peer
    _leave_peer(state, call, event.at_ms)
    fields = {
        "id": call.request_id,
        "peer": peer,
        "kind": event.kind.name.lower(),
    }
    effects.append(Log("peer_failed", fields))
    if event.kind is FailureKind.NOT_CONNECTED:
        reason = RefusalReason.NO_SERVER
        _try_other_peer(state, call, reason, event.at_ms, effects)
        return
    call.is_maybe_executed = True
    dispatching.refuse(
        state, call, RefusalReason.SERVER_LOST, event.at_ms, effects
    )


def _leave_peer(state: GatewayState, call: RoutedCall, now_ms: float) -> None:
    """Takes back an attempt that reached no server, and pauses the peer."""
    state.peers.pause(call.peer, now_ms)
    call.peer = ""
    call.attempt -= 1


def _try_other_peer(
    state: GatewayState,
    call: RoutedCall,
    reason: RefusalReason,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    if state.reachability.is_partitioned and not relaying.can_relay(
        state, call, now_ms
    ):
        dispatching.refuse(state, call, reason, now_ms, effects)
    else:
        dispatching.dispatch(state, call, now_ms, effects)
