"""Checks the paths to servers; begins and ends partitions of the entry."""

from __future__ import annotations

from gentianwall.gateway import crash_reports, dispatching, relaying
from gentianwall.gateway.effects import CheckReach, GatewayEffect, Log
from gentianwall.gateway.events import ReachChecked
from gentianwall.gateway.state import GatewayState


def record_lost_path(
    state: GatewayState,
    server: str,
    now_ms: float,
    effects: list[GatewayEffect],
    is_urgent: bool = False,
) -> None:
    """Records a failed connection and checks other servers if it is due."""
    state.reachability.record_failure(server, now_ms)
    start_checks(state, now_ms, effects, is_urgent)


def start_checks(
    state: GatewayState,
    now_ms: float,
    effects: list[GatewayEffect],
    is_urgent: bool = False,
) -> None:
    """Checks a few servers on new connections if a round is due or urgent.

    Servers that asked for rest, and evacuated ones, are left alone.
    """
    rests = state.rests
    servers = state.service_by_server
    if rests.until_ms or state.evacuations.domains:
        servers = [
            n
            for n in servers
            if rests.wait_ms(n, now_ms) <= 0.0 and not state.is_evacuated(n)
        ]
    checked = state.reachability.start_round(
        servers, state.rng, now_ms, is_urgent
    )
    for name in checked:
        notice = state.server(name).record.notice
        service = state.services[state.service_by_server[name]]
        effects.append(CheckReach(notice, service.health_path))


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
            if relaying.can_relay(state, call, event.at_ms):
                dispatching.dispatch(state, call, event.at_ms, effects)
    else:
        for service in state.services.values():
            for server in service.servers.values():
                server.end_pause()
