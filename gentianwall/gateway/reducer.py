"""Reducer of an entry that routes requests: applies events to its state."""

from __future__ import annotations

from gentianwall.core.events import CallerDisconnected, DrainStarted, Tick
from gentianwall.gateway import (
    crash_reports,
    dispatching,
    feed,
    outcomes,
    partitions,
    peer_outcomes,
)
from gentianwall.gateway.effects import GatewayEffect, Log
from gentianwall.gateway.events import (
    DeadlineExpired,
    DrainEnded,
    FeedArrived,
    GatewayEvent,
    LoadQueryEnded,
    PeerAnswered,
    PeerFailed,
    ReachChecked,
    RecheckDue,
    RequestArrived,
    ServerAnswered,
    ServerCrashed,
    ServerFailed,
)
from gentianwall.gateway.state import GatewayState


def reduce_gateway(
    state: GatewayState, event: GatewayEvent
) -> list[GatewayEffect]:
    """Changes the state by one event and returns the effects in order."""
    effects: list[GatewayEffect] = []
    match event:
        case RequestArrived():
            dispatching.on_request_arrived(state, event, effects)
            feed.send_early_poll(state, event.at_ms, effects)
        case LoadQueryEnded():
            outcomes.on_load_query_ended(state, event, effects)
        case ServerAnswered():
            outcomes.on_answered(state, event, effects)
        case ServerFailed():
            outcomes.on_failed(state, event, effects)
        case PeerAnswered():
            peer_outcomes.on_peer_answered(state, event, effects)
        case PeerFailed():
            peer_outcomes.on_peer_failed(state, event, effects)
        case ReachChecked():
            partitions.on_reach_checked(state, event, effects)
        case RecheckDue():
            outcomes.on_recheck_due(state, event.call_id, event.at_ms, effects)
        case DeadlineExpired():
            outcomes.on_deadline_expired(
                state, event.call_id, event.at_ms, effects
            )
        case CallerDisconnected():
            outcomes.on_caller_disconnected(
                state, event.call_id, event.at_ms, effects
            )
        case ServerCrashed():
            outcomes.on_server_crashed(state, event, effects)
        case FeedArrived():
            feed.on_feed(state, event, effects)
            feed.send_early_poll(state, event.at_ms, effects)
        case Tick():
            feed.send_due_poll(state, event.at_ms, effects)
            feed.send_early_poll(state, event.at_ms, effects)
            dispatching.start_waiting(state, event.at_ms, effects)
            outcomes.on_tick(state, event.at_ms, effects)
            crash_reports.expire_suspects(state, event.at_ms)
            partitions.start_checks(state, event.at_ms, effects)
        case DrainStarted():
            state.is_draining = True
            state.stop.begin(event.at_ms, event.end_ms)
            effects.append(Log("draining", {"calls": len(state.calls)}))
        case DrainEnded():
            outcomes.on_drain_ended(state, event.at_ms, effects)
    return effects
