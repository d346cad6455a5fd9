"""Registration, expiry and probes of servers, and updates between entries."""

from __future__ import annotations

import attrs

from gentianwall.core.effects import (
    AcceptAnnouncement,
    CloseIdleConnections,
    EntryEffect,
    ProbeServer,
    RecordEvent,
    RefuseAnnouncement,
    SendMessage,
)
from gentianwall.core.events import (
    MessageArrived,
    ProbeEnded,
    ServerAnnounced,
)
from gentianwall.core.state import EntryState
from gentianwall.membership.directory import ConflictingNotice, StaleNotice
from gentianwall.membership.messages import (
    DirectoryReply,
    DirectoryRequest,
    NoticeBroadcast,
    Renewal,
    RenewalBroadcast,
    ServerNotice,
)
from gentianwall.routing.servers import record_report
from gentianwall.timeline import EventKind

DEFAULT_LEASE_MS = 2500.0
RENEWAL_INTERVAL_MS = 250.0
DIRECTORY_REQUEST_INTERVAL_MS = 200.0
DIRECTORY_TIMEOUT_MS = 1000.0
PROBE_CHECK_INTERVAL_MS = 100.0


def lease_ms(state: EntryState, service: str) -> float:
    """Returns the lease for servers of a service."""
    declared = state.services.get(service)
    return (
        float(declared.settings.server_lease_ms)
        if declared
        else DEFAULT_LEASE_MS
    )


def on_announced(
    state: EntryState, event: ServerAnnounced, effects: list[EntryEffect]
) -> None:
    """Applies the announcement of a server and forwards it to the peers."""
    notice = _resolve_incarnation(state, event.notice)
    granted_lease_ms = lease_ms(state, notice.key.service)
    result = state.directory.apply_notice(notice, granted_lease_ms, event.at_ms)
    match result:
        case StaleNotice(incarnation=known, state=server_state):
            reason = f"incarnation {known} is {server_state}"
            effects.append(RefuseAnnouncement(known, reason))
            return
        case ConflictingNotice(incarnation=known):
            reason = "a new address needs a higher incarnation"
            effects.append(RefuseAnnouncement(known, reason))
            return
    is_declared = notice.key.service in state.services
    effects.append(AcceptAnnouncement(granted_lease_ms, is_declared))
    if result is True:
        _apply_notice(state, notice, event.at_ms, effects)
    if result is True or notice.state != "up":
        # A repeated drain or deregistration is forwarded in full, because the
        # first message may have been lost.
        broadcast = NoticeBroadcast((notice,), (granted_lease_ms,))
        for peer in state.peers:
            effects.append(SendMessage(peer, broadcast))
    else:
        state.renewals[notice.key] = Renewal(
            notice.key, notice.incarnation, event.at_ms + granted_lease_ms
        )


def _resolve_incarnation(
    state: EntryState, notice: ServerNotice
) -> ServerNotice:
    """Fills in the known incarnation if the notice has none.

    This lets a server deregister without its incarnation.
    """
    record = state.directory.records.get(notice.key)
    if notice.incarnation >= 0 or record is None:
        return notice
    return attrs.evolve(record.notice, state=notice.state)


def _apply_notice(
    state: EntryState,
    notice: ServerNotice,
    now_ms: float,
    effects: list[EntryEffect],
) -> None:
    """Updates the server pool and the timeline from a new notice."""
    service = state.services.get(notice.key.service)
    name = f"{notice.key.service}/{notice.key.server}"
    detail = f"incarnation {notice.incarnation}"
    match notice.state:
        case "up":
            effects.append(RecordEvent(EventKind.SERVER_JOINED, name, detail))
        case "draining":
            effects.append(RecordEvent(EventKind.SERVER_DRAINING, name, detail))
        case "left":
            effects.append(RecordEvent(EventKind.SERVER_LEFT, name, detail))
    if notice.state == "left":
        effects.append(CloseIdleConnections(notice.key))
        if service is not None:
            service.pool.remove(notice.key.server)
    elif service is not None:
        service.pool.put(notice, now_ms)


def on_directory_update(
    state: EntryState, event: MessageArrived, effects: list[EntryEffect]
) -> None:
    """Applies notices and renewals from a peer.

    Their leases are shortened by the delay of the message.
    """
    delay_ms = state.delays.delay_ms(
        event.sender, event.boot_id, event.sent_ms, event.at_ms
    )
    match event.message:
        case NoticeBroadcast(notices, leases) | DirectoryReply(notices, leases):
            for notice, lease in zip(notices, leases, strict=True):
                remaining_ms = lease - delay_ms
                result = state.directory.apply_notice(
                    notice, remaining_ms, event.at_ms
                )
                if result is True:
                    _apply_notice(state, notice, event.at_ms, effects)
        case RenewalBroadcast(renewals):
            _renew(state, event, renewals, delay_ms, effects)
    if isinstance(event.message, DirectoryReply):
        state.is_directory_known = True


def _renew(
    state: EntryState,
    event: MessageArrived,
    renewals: tuple[Renewal, ...],
    delay_ms: float,
    effects: list[EntryEffect],
) -> None:
    is_known = True
    for renewal in renewals:
        remaining_ms = renewal.lease_ms - delay_ms
        if not state.directory.renew(renewal, remaining_ms, event.at_ms):
            is_known = False
    if not is_known and event.at_ms >= state.directory_due_ms:
        state.directory_due_ms = event.at_ms + DIRECTORY_REQUEST_INTERVAL_MS
        effects.append(SendMessage(event.sender, DirectoryRequest()))


def on_directory_request(
    state: EntryState, event: MessageArrived, effects: list[EntryEffect]
) -> None:
    """Sends all notices, including those of deregistered servers."""
    records = list(state.directory.records.values())
    reply = DirectoryReply(
        tuple(record.notice for record in records),
        tuple(record.lease_end_ms - event.at_ms for record in records),
    )
    effects.append(SendMessage(event.sender, reply))


def on_tick(
    state: EntryState, now_ms: float, effects: list[EntryEffect]
) -> None:
    """Expires leases, forwards heartbeats and probes silent servers."""
    for notice in state.directory.expire(now_ms):
        _on_lease_expired(state, notice, effects)
    _broadcast_renewals(state, now_ms, effects)
    if not state.is_directory_known:
        _request_directory(state, now_ms, effects)
    _probe_silent_servers(state, now_ms, effects)


def _on_lease_expired(
    state: EntryState, notice: ServerNotice, effects: list[EntryEffect]
) -> None:
    name = f"{notice.key.service}/{notice.key.server}"
    effects.append(RecordEvent(EventKind.SERVER_LAPSED, name))
    effects.append(CloseIdleConnections(notice.key))
    service = state.services.get(notice.key.service)
    if service is not None:
        service.pool.remove(notice.key.server)


def _broadcast_renewals(
    state: EntryState, now_ms: float, effects: list[EntryEffect]
) -> None:
    if not state.renewals or now_ms < state.renewals_due_ms:
        return
    state.renewals_due_ms = now_ms + RENEWAL_INTERVAL_MS
    renewals = tuple(
        attrs.evolve(renewal, lease_ms=renewal.lease_ms - now_ms)
        for renewal in state.renewals.values()
    )
    state.renewals.clear()
    broadcast = RenewalBroadcast(renewals)
    for peer in state.peers:
        effects.append(SendMessage(peer, broadcast))


def _request_directory(
    state: EntryState, now_ms: float, effects: list[EntryEffect]
) -> None:
    """Requests the directory from the peers until the timeout.

    After that, or without peers, the local directory counts as complete.
    """
    is_alone = not state.peers
    if is_alone or now_ms >= state.started_ms + DIRECTORY_TIMEOUT_MS:
        state.is_directory_known = True
        return
    if now_ms >= state.directory_due_ms:
        state.directory_due_ms = now_ms + DIRECTORY_REQUEST_INTERVAL_MS
        for peer in state.peers:
            effects.append(SendMessage(peer, DirectoryRequest()))


def _probe_silent_servers(
    state: EntryState, now_ms: float, effects: list[EntryEffect]
) -> None:
    if state.declaration is None or now_ms < state.probes_due_ms:
        return
    state.probes_due_ms = now_ms + PROBE_CHECK_INTERVAL_MS
    silence_ms = state.declaration.measuring.silence_ms
    for service in state.services.values():
        for server in service.pool.live_servers():
            if now_ms < server.last_answer_ms + silence_ms:
                continue
            if server.outstanding == 0 and state.probe_budget.spend(
                server.notice.key, now_ms
            ):
                effects.append(ProbeServer(server.notice))


def on_probe_ended(state: EntryState, event: ProbeEnded) -> None:
    """Updates a server with the load report or the failure of a probe."""
    service = state.services.get(event.key.service)
    if service is None:
        return
    server = service.pool.servers.get(event.key.server)
    if server is None:
        return
    if event.is_answered:
        # The latency is not used: it says nothing about the service time of
        # calls.
        server.last_answer_ms = event.at_ms
        if event.report is not None:
            record_report(server, event.report, event.at_ms)
    else:
        server.failures += 1
