"""Polls the control instances and applies their notices to the entry."""

from __future__ import annotations

from gentianwall.control.messages import (
    FEATURE_ORGANISATIONS,
    FeedNotice,
    FeedPoll,
    FeedRedirect,
    PeerList,
)
from gentianwall.gateway import dispatching, quotas
from gentianwall.gateway.effects import (
    CloseIdleConnections,
    GatewayEffect,
    Log,
    SendToControl,
)
from gentianwall.gateway.events import FeedArrived
from gentianwall.gateway.servers import RoutedServer
from gentianwall.gateway.state import (
    ENTRIES_DECREASE_MS,
    ENTRY_COUNT_DELAY_MS,
    GatewayState,
)
from gentianwall.membership.registry import RegisteredServer
from gentianwall.routing.routes import RouteTable

# Changes are pushed; polls recover lost notices. Several polls fit into the 2 s
# within which a change must be in force.
POLL_MS = 400.0
# An entry without a configuration cannot dispatch requests, so it polls more
# often.
FIRST_POLL_MS = 50.0
# While the feed is silent, all control instances are polled, less often than
# before the first configuration.
SILENT_POLL_MS = 200.0
# Well over one poll interval: without a notice for this long, the leader is
# presumed lost and all control instances are polled.
FEED_SILENCE_MS = 700.0


def send_due_poll(
    state: GatewayState, now_ms: float, effects: list[GatewayEffect]
) -> None:
    """Polls the control instances if the next poll is due."""
    if now_ms >= state.poll_due_ms:
        _send_poll(state, now_ms, effects)


def send_early_poll(
    state: GatewayState, now_ms: float, effects: list[GatewayEffect]
) -> None:
    """Polls the leader before the next poll is due if tokens are lacking.

    Without a leader the polls are not sent more often, since then all control
    instances are polled.
    """
    is_feed_current = now_ms - state.feed_received_ms <= FEED_SILENCE_MS
    if is_feed_current and state.limits.is_early_poll_due(now_ms):
        _send_poll(state, now_ms, effects)


def _send_poll(
    state: GatewayState, now_ms: float, effects: list[GatewayEffect]
) -> None:
    is_feed_current = now_ms - state.feed_received_ms <= FEED_SILENCE_MS
    if state.table is None:
        wait_ms = FIRST_POLL_MS
    else:
        wait_ms = POLL_MS if is_feed_current else SILENT_POLL_MS
    state.poll_due_ms = now_ms + wait_ms
    if is_feed_current and state.leader:
        receivers = {state.leader}
    else:
        receivers = {*state.controls, *state.seeds}
    poll = FeedPoll(
        state.number,
        state.revision,
        state.quarantine_version,
        state.is_ready,
        state.rate_limits.version,
        state.rate_limits.make_reports(now_ms),
        state.reachability.is_partitioned,
        state.has_peers
        and state.peers.is_list_due(state.reachability.is_partitioned, now_ms),
        features=FEATURE_ORGANISATIONS,
        evacuation_version=state.evacuations.version,
        limits=state.limits.make_poll(now_ms),
        refused=state.trials.take_refused(),
    )
    for receiver in sorted(receivers):
        effects.append(SendToControl(receiver, poll))


def on_feed(
    state: GatewayState, event: FeedArrived, effects: list[GatewayEffect]
) -> None:
    """Applies a message of the feed.

    Configurations and server lists that are not newer are ignored.
    """
    match event.message:
        case FeedRedirect(leader):
            if leader != state.leader or leader not in state.controls:
                state.leader = leader
                state.controls = (*state.controls, leader)
        case PeerList(hosts):
            state.peers.apply_list(hosts, event.at_ms)
        case FeedNotice():
            _on_notice(state, event, event.message, effects)


def _on_notice(
    state: GatewayState,
    event: FeedArrived,
    notice: FeedNotice,
    effects: list[GatewayEffect],
) -> None:
    silent_ms = event.at_ms - state.feed_received_ms
    if silent_ms > FEED_SILENCE_MS or event.sender != state.leader:
        fields = {
            "leader": event.sender,
            "term": notice.term,
            "silent_ms": round(min(silent_ms, 1e9)),
        }
        effects.append(Log("control_heard", fields))
    state.feed_received_ms = event.at_ms
    state.leader = event.sender
    state.controls = notice.controls
    state.relay_keys.add(notice.relay_key)
    _update_entries(state, notice.entries, event.at_ms)
    _update_evacuations(state, notice, event.at_ms, effects)
    if notice.configuration is not None and notice.number > state.number:
        _apply_configuration(state, notice, effects)
        quotas.apply_configuration(state, event.at_ms)
    if notice.base_revision > state.revision:
        # An earlier notice was lost; the next poll asks for its content.
        state.poll_due_ms = event.at_ms
        fields = {
            "revision": state.revision,
            "base_revision": notice.base_revision,
        }
        effects.append(Log("notice_missed", fields))
    elif notice.revision > state.revision:
        state.revision = notice.revision
        for record in notice.servers:
            _apply_server(state, record, notice, event.at_ms, effects)
        for name in {record.notice.key.service for record in notice.servers}:
            if name in state.services:
                state.choose_homes(state.services[name])
    if notice.finished_domains:
        _presume_cold(state, notice, event.at_ms, effects)
    if state.unrouted and state.table is not None:
        dispatching.dispatch_unrouted(state, event.at_ms, effects)
    if notice.rate_limits is not None:
        state.rate_limits.apply_shares(
            notice.rate_limits_version,
            notice.rate_limits,
            state.link_name,
            event.at_ms,
        )
        for shared in notice.rate_limits:
            limit = state.rate_limits.by_server[shared.server]
            fields = {
                "server": shared.server,
                "per_second": limit.per_second,
                "share_per_second": round(limit.share_per_second, 3),
                "holders": len(shared.holders),
            }
            effects.append(Log("rate_limit_shared", fields))
    if notice.limits is not None:
        state.limits.apply_notice(notice.limits, notice.term, event.at_ms)
    else:
        state.limits.record_notice_without_lease(state.entries, event.at_ms)
    dispatching.start_waiting(state, event.at_ms, effects)
    if notice.quarantines is not None:
        state.quarantine_version = notice.quarantine_version
        state.quarantines = frozenset(notice.quarantines)
        state.withdrawn.clear()
    state.trials.permit(notice.trials, event.at_ms)


def _update_evacuations(
    state: GatewayState,
    notice: FeedNotice,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Applies the evacuated failure domains of a notice.

    Requests that run at their servers complete; idle connections are closed.
    """
    before = state.evacuations.domains
    if not state.evacuations.apply(
        notice.evacuation_version, notice.evacuated_domains, now_ms
    ):
        return
    domains = state.evacuations.domains
    servers = 0
    for service in state.services.values():
        state.choose_homes(service)
        for server in service.servers.values():
            domain = server.record.notice.failure_domain
            if domain in domains:
                servers += 1
            if domain in domains - before:
                effects.append(CloseIdleConnections(server.name))
    fields = {
        "version": notice.evacuation_version,
        "domains": ",".join(sorted(domains)) or "none",
        "servers": servers,
    }
    effects.append(Log("evacuations_in_force", fields))


def _update_entries(state: GatewayState, entries: int, now_ms: float) -> None:
    """Updates the number of entries; a lower one is accepted after a delay.

    The delay is needed because a new leader may not have received polls from
    all entries yet.
    """
    if state.first_notice_ms is None:
        state.first_notice_ms = now_ms
    is_count_stale = now_ms - state.entries_confirmed_ms > ENTRIES_DECREASE_MS
    if entries >= state.entries or is_count_stale:
        state.entries = max(1, entries)
        state.entries_confirmed_ms = now_ms
    is_count_known = now_ms - state.first_notice_ms > ENTRY_COUNT_DELAY_MS
    for service in state.services.values():
        service.retry_window.entries = state.entries if is_count_known else 0


def _apply_configuration(
    state: GatewayState, notice: FeedNotice, effects: list[GatewayEffect]
) -> None:
    configuration = notice.configuration
    was_ready = state.is_ready
    state.number = notice.number
    state.table = RouteTable(configuration)
    for declared in configuration.services:
        service = state.service(declared.name)
        service.health_path = declared.health_path
        service.most_connections = declared.most_connections
        service.warmup_ms = declared.warmup_ms
        service.warmup_per_s = declared.warmup_per_s
    state.apply_overload_policy()
    fields = {
        "number": notice.number,
        "routes": len(configuration.routes),
        "organisations": len(configuration.organisations),
    }
    if state.overload is not None:
        fields["overload_policy"] = state.overload_policy.value
    effects.append(Log("configuration_in_force", fields))
    if not was_ready:
        # The leader names ready entries as peers to those that may need them.
        state.poll_due_ms = float("-inf")


def _apply_server(
    state: GatewayState,
    record: RegisteredServer,
    feed_notice: FeedNotice,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    name = record.name
    notice = record.notice
    if record.cold_until_ms and feed_notice.wall_ms:
        left_ms = max(0, record.cold_until_ms - feed_notice.wall_ms)
    else:
        left_ms = record.warmup_ms
    current = state.server(name)
    is_same_process = (
        current is not None
        and current.record.notice.incarnation == notice.incarnation
        and current.record.notice.key == notice.key
        and (current.record.notice.host, current.record.notice.port)
        == (notice.host, notice.port)
    )
    fields = {
        "server": name,
        "service": notice.key.service,
        "state": notice.state,
        "revision": record.revision,
    }
    effects.append(Log("server_changed", fields))
    if is_same_process and record.is_present:
        is_news = record.cold_until_ms != current.record.cold_until_ms
        current.record = record
        if is_news:
            _set_cold(state, current, left_ms, now_ms, effects)
        return
    if current is not None:
        if current.record.notice.incarnation != notice.incarnation:
            state.rests.end(name)
        state.remove_server(name)
        effects.append(CloseIdleConnections(name))
    if record.is_present:
        service = state.service(notice.key.service)
        added = service.servers[name] = RoutedServer(record, now_ms)
        state.service_by_server[name] = service.name
        _set_cold(state, added, left_ms, now_ms, effects)


def _set_cold(
    state: GatewayState,
    server: RoutedServer,
    left_ms: float,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Applies what a server stated to the control instances about its warm-up.

    What it stated to this entry is usually later, so a warm-up only becomes
    longer.
    """
    until_ms = max(server.warmup_end_ms, now_ms + left_ms)
    if state.set_cold(server, until_ms, now_ms):
        fields = {"server": server.name, "left_ms": round(until_ms - now_ms)}
        effects.append(Log("server_cold", fields))


def _presume_cold(
    state: GatewayState,
    notice: FeedNotice,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Takes servers of domains whose evacuation ended for cold.

    They may all have been switched off meanwhile. It lasts for the warm-up time
    of their service, or until they state something else.
    """
    finished_ms = dict(notice.finished_domains)
    for service in state.services.values():
        if state.cold_plan(service) is None:
            continue
        for server in service.servers.values():
            domain = server.record.notice.failure_domain
            if domain not in finished_ms or domain in state.evacuations.domains:
                continue
            since_ms = max(0, notice.wall_ms - finished_ms[domain])
            left_ms = service.warmup_ms - since_ms
            if server.warmup_stated_ms >= now_ms - since_ms:
                continue
            if now_ms + left_ms > server.warmup_end_ms:
                server.is_presumed_cold = True
                _set_cold(state, server, left_ms, now_ms, effects)
