"""Sends requests through other entries while the entry reaches no server.

The partitioned entry decides route, service, deadline and number of attempts.
The peer accepts no more than its own configuration allows: a service that is
not a target of the route there, or a path without a route, is left to another
peer. It places the request among the servers of that service as its own,
retries it within the attempts left, and never relays it further. So a request
runs at most once for each attempt that the route allows, whichever way it
takes.
"""

from __future__ import annotations

import attrs

from gentianwall.config.routes import Route
from gentianwall.gateway import identity
from gentianwall.gateway.effects import GatewayEffect, Log, RelayRequest
from gentianwall.gateway.events import Relay, RequestArrived
from gentianwall.gateway.state import GatewayState, RoutedCall, RunningAttempt

# Peers tried for one request before it is refused.
MAX_PEERS_TRIED = 4


def can_relay(state: GatewayState, call: RoutedCall, now_ms: float) -> bool:
    """Returns whether a request would be sent to a peer now."""
    if not state.reachability.is_partitioned or call.relay is not None:
        return False
    if len(call.tried_peers) >= MAX_PEERS_TRIED:
        return False
    return state.peers.choose(call.tried_peers, state.rng, now_ms) is not None


def send_to_peer(
    state: GatewayState,
    call: RoutedCall,
    now_ms: float,
    effects: list[GatewayEffect],
) -> bool:
    """Sends a request to a peer if the entry is partitioned.

    Returns:
        Whether the request was sent.
    """
    if not can_relay(state, call, now_ms):
        return False
    peer = state.peers.choose(call.tried_peers, state.rng, now_ms)
    state.querying.pop(call.call_id, None)
    attempts_left = max(1, call.most_attempts - call.attempt)
    service_ms = state.service(call.service).service_ms_for(call.route)
    number = call.add_attempt(
        RunningAttempt(peer=peer, sent_ms=now_ms, expected_ms=service_ms)
    )
    call.tried_peers.add(peer)
    state.peers.record_sent(peer, call.call_id)
    relay = Relay(
        service=call.service,
        kind=call.route.kind,
        target_ms=call.route.target_ms,
        target_left_ms=call.target_at_ms - now_ms,
        attempts_left=attempts_left,
        organisation=call.organisation,
    )
    left_ms = call.deadline_ms - now_ms
    effects.append(
        RelayRequest(
            call.call_id,
            number,
            peer,
            left_ms,
            relay,
            identity.is_key_hidden(state, call),
        )
    )
    fields = {
        "id": call.request_id,
        "peer": peer,
        "service": call.service,
        "attempts_left": attempts_left,
        "left_ms": round(left_ms),
    }
    effects.append(Log("relayed", fields))
    return True


def make_route(
    event: RequestArrived, relay: Relay, own_route: Route | None
) -> Route | None:
    """Returns the route of a relayed request, bounded by this entry's own.

    Args:
        event: The request.
        relay: Decisions of the first entry.
        own_route: Route of the request at this entry, if any.

    Returns:
        The route, or None if the request is not allowed here.
    """
    if own_route is None or event.wait_ms is None:
        return None
    if relay.service not in {target.service for target in own_route.targets}:
        return None
    is_repeatable = relay.kind.is_idempotent and own_route.kind.is_idempotent
    strictest_kind = (
        own_route.kind if not own_route.kind.is_idempotent else relay.kind
    )
    return attrs.evolve(
        own_route,
        kind=relay.kind if is_repeatable else strictest_kind,
        timeout_ms=min(event.wait_ms, own_route.timeout_ms),
        target_ms=relay.target_ms,
        most_attempts=min(relay.attempts_left, own_route.most_attempts),
    )
