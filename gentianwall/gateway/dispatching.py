"""Routes requests, chooses servers for them, and sends or refuses them."""

from __future__ import annotations

import math

from gentianwall.claims.quarantines import quarantine_key
from gentianwall.config.routes import RouteKind
from gentianwall.core.refusals import STATUS, Executed, Refusal, RefusalReason
from gentianwall.gateway import homes, identity, placement, quotas, relaying
from gentianwall.gateway.admission import RECHECK_MS, Verdict, admit
from gentianwall.gateway.effects import (
    CancelRequest,
    ForwardAnswer,
    GatewayEffect,
    Log,
    QueryLoad,
    RefuseRequest,
    ScheduleRecheck,
    SendRequest,
    StartDeadlineTimer,
)
from gentianwall.gateway.events import Relay, RequestArrived
from gentianwall.gateway.overload import Shed
from gentianwall.gateway.placement import Candidate
from gentianwall.gateway.servers import RoutedServer, SentRequest
from gentianwall.gateway.state import (
    GatewayState,
    Phase,
    RoutedCall,
    RunningAttempt,
    ServiceState,
)
from gentianwall.gateway.stopping import RETRY_AFTER_MS

# Servers whose load report is younger than this are not queried. The speed of
# servers changes every few hundred milliseconds.
FRESH_REPORT_MS = 40.0
# A request goes to a server whose expected time is below this multiple of the
# average service time (an idle server of average speed) without waiting for
# further reports.
GOOD_ENOUGH_FACTOR = 1.2
# Most servers queried for one request before the best of them is chosen. Each
# recheck queries one further round.
MAX_QUERIED_SERVERS = 9
# Only requests that arrive within this time after the start of the process wait
# for the first configuration. It arrives much earlier if any control instance
# has one.
STARTUP_MS = 5000.0
# A request waits for the first configuration for START_WAIT_MS or for this
# share of its caller's wait, whichever is shorter.
START_WAIT_MS = 1000.0
START_WAIT_SHARE = 0.5
# A request that would probably miss its deadline is refused at once. The
# expected time is an average, so it may slightly exceed the time left: only
# this share of it must fit.
EXPECTED_TIME_SHARE = 0.9
# The retry-after time of a refusal is the service time multiplied by a random
# factor from this range, so that refused callers do not return all at once.
RETRY_AFTER_SPREAD = (0.5, 1.5)
UNAVAILABLE_RETRY_AFTER_MS = 300.0
# Time between two searches for another server for one overdue request. Each
# queries the load of several servers.
REASSIGN_PAUSE_MS = 250.0


def is_repeatable(state: GatewayState, host: str, path: str) -> bool:
    """Returns whether a request may be executed more than once.

    Without a route, which includes the time before the first configuration, a
    request is not repeatable.
    """
    route = None if state.table is None else state.table.find(host, path)
    return route is not None and route.kind.is_idempotent


def on_request_arrived(
    state: GatewayState,
    event: RequestArrived,
    effects: list[GatewayEffect],
    now_ms: float | None = None,
) -> None:
    """Finds the route of a request and dispatches it.

    Args:
        state: State of the entry.
        event: The request.
        effects: List to which effects are appended.
        now_ms: The local clock; the time of arrival if omitted.
    """
    now_ms = event.at_ms if now_ms is None else now_ms
    if event.refusal is not None:
        _refuse_unrouted(event, event.refusal, effects)
        return
    if event.relay is not None:
        _on_relayed_request(state, event, event.relay, effects)
        return
    if state.table is None:
        _queue_unrouted(state, event, effects)
        return
    route = state.table.find(event.host, event.path)
    if route is None:
        _refuse_unrouted(event, RefusalReason.NO_ROUTE, effects)
        return
    organisation = identity.identify(state.table, route, event.authorization)
    if organisation is None:
        _refuse_unrouted(event, RefusalReason.UNAUTHENTICATED, effects)
        return
    key = quarantine_key(event.fingerprint, organisation.name)
    trial = None
    if state.is_quarantined(key):
        trial = state.trials.take(key, now_ms)
        if trial is None:
            _refuse_quarantined(state, event, key, effects)
            return
        fields = {"id": event.request_id, "fingerprint": key}
        effects.append(Log("quarantine_trial", fields))
    name = state.table.choose_service(route)
    if name is None:
        _refuse_unrouted(event, RefusalReason.NO_SERVER, effects)
        return
    wait_ms = route.timeout_ms
    if event.wait_ms is not None:
        wait_ms = min(wait_ms, event.wait_ms)
    waited_ms = state.typical_waits.waited_ms(route, event.wait_ms)
    call = RoutedCall(
        call_id=event.call_id,
        request_id=event.request_id,
        route=route,
        service=name,
        arrived_ms=event.at_ms,
        deadline_ms=event.at_ms + wait_ms,
        target_at_ms=event.at_ms + route.target_ms - waited_ms,
        organisation=organisation.name,
        priority=identity.priority_of(organisation, route),
        trial=trial,
    )
    state.calls[call.call_id] = call
    effects.append(StartDeadlineTimer(call.call_id, call.deadline_ms))
    if _is_too_late(state, call, now_ms):
        _refuse_before_stop(state, call, now_ms, effects)
        return
    room_ms = quotas.reserve(state, call, now_ms)
    if room_ms is not None:
        _start(state, call, room_ms, now_ms, effects)


def _start(
    state: GatewayState,
    call: RoutedCall,
    room_ms: float,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Dispatches a request, or refuses it if its quota has no room yet."""
    if room_ms > 0.0:
        _refuse_over_quota(state, call, room_ms, now_ms, effects)
        return
    state.service(call.service).retry_window.record_call(now_ms)
    if state.overload is not None:
        service_ms = state.service(call.service).service_ms_for(call.route)
        shed = state.overload.judge(call, service_ms, now_ms)
        if shed is not None:
            refuse_shed(state, call, shed, now_ms, effects)
            return
    dispatch(state, call, now_ms, effects)


def _refuse_over_quota(
    state: GatewayState,
    call: RoutedCall,
    room_ms: float,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    quotas.record_refusal(state, call, room_ms, now_ms, effects)
    refuse(state, call, RefusalReason.OVER_QUOTA, now_ms, effects, room_ms)


def start_waiting(
    state: GatewayState, now_ms: float, effects: list[GatewayEffect]
) -> None:
    """Starts or refuses requests whose wait for a quota's token has ended."""
    if state.waiting_for_quota:
        for call, room_ms in quotas.decide_waiting(state, now_ms):
            _start(state, call, room_ms, now_ms, effects)


def _on_relayed_request(
    state: GatewayState,
    event: RequestArrived,
    relay: Relay,
    effects: list[GatewayEffect],
) -> None:
    """Dispatches a request of a peer.

    The peer has counted it for its limit on retries, so only retries count
    here.
    """
    if state.table is None or state.reachability.is_partitioned:
        _refuse_unrouted(event, RefusalReason.NO_SERVER, effects)
        return
    own_route = state.table.find(event.host, event.path)
    route = relaying.make_route(event, relay, own_route)
    organisation = route and identity.identify_relayed(
        state.table, route, relay.organisation
    )
    if route is None or organisation is None:
        _refuse_unrouted(event, RefusalReason.NO_SERVER, effects)
        return
    key = quarantine_key(event.fingerprint, organisation.name)
    if state.is_quarantined(key):
        _refuse_quarantined(state, event, key, effects)
        return
    call = RoutedCall(
        call_id=event.call_id,
        request_id=event.request_id,
        route=route,
        service=relay.service,
        arrived_ms=event.at_ms,
        deadline_ms=event.at_ms + route.timeout_ms,
        target_at_ms=event.at_ms + relay.target_left_ms,
        relay=relay,
        # The first entry has spent the token.
        is_quota_spent=True,
        organisation=organisation.name,
        priority=identity.priority_of(organisation, route),
    )
    state.calls[call.call_id] = call
    effects.append(StartDeadlineTimer(call.call_id, call.deadline_ms))
    dispatch(state, call, event.at_ms, effects)


def _queue_unrouted(
    state: GatewayState, event: RequestArrived, effects: list[GatewayEffect]
) -> None:
    """Queues a request until the first configuration arrives.

    Refuses the request if the process started too long ago, or stops before
    that.
    """
    wait_ms = START_WAIT_MS
    if event.wait_ms is not None:
        wait_ms = min(wait_ms, START_WAIT_SHARE * event.wait_ms)
    is_too_late = event.at_ms + wait_ms > state.stop.end_ms
    if event.at_ms > state.started_ms + STARTUP_MS or is_too_late:
        _refuse_unrouted(event, RefusalReason.NOT_READY, effects)
        return
    state.unrouted[event.call_id] = event
    effects.append(StartDeadlineTimer(event.call_id, event.at_ms + wait_ms))


def dispatch_unrouted(
    state: GatewayState, now_ms: float, effects: list[GatewayEffect]
) -> None:
    """Dispatches requests queued for a configuration, in order of arrival."""
    waiting, state.unrouted = list(state.unrouted.values()), {}
    for event in waiting:
        on_request_arrived(state, event, effects, now_ms)


def expire_unrouted(
    state: GatewayState, call_id: int, effects: list[GatewayEffect]
) -> None:
    """Refuses a queued request if no configuration arrived in time."""
    event = state.unrouted.pop(call_id, None)
    if event is not None:
        _refuse_unrouted(event, RefusalReason.NOT_READY, effects)


def _refuse_quarantined(
    state: GatewayState,
    event: RequestArrived,
    key: str,
    effects: list[GatewayEffect],
) -> None:
    """Refuses a quarantined request and asks to try it with the next poll."""
    state.trials.record_refusal(key)
    _refuse_unrouted(event, RefusalReason.QUARANTINED, effects)


def _refuse_unrouted(
    event: RequestArrived,
    reason: RefusalReason,
    effects: list[GatewayEffect],
) -> None:
    """Refuses a request that was not assigned to a service."""
    after_ms = 0.0
    if STATUS[reason] == 503:
        after_ms = UNAVAILABLE_RETRY_AFTER_MS
    fields = {"id": event.request_id, "reason": reason.name.lower()}
    effects.append(Log("refused", {**fields, "path": event.path}))
    refusal = Refusal(reason, Executed.NO, after_ms)
    effects.append(RefuseRequest(event.call_id, refusal))


def dispatch(
    state: GatewayState,
    call: RoutedCall,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Sends a request to the best server, after load queries if needed.

    A partitioned entry sends it to a peer instead, and one that stops refuses
    it if it might not be over in time.
    """
    if _is_too_late(state, call, now_ms):
        _refuse_before_stop(state, call, now_ms, effects)
        return
    if relaying.send_to_peer(state, call, now_ms, effects):
        quotas.commit(state, call, now_ms)
        return
    service = state.service(call.service)
    if call.tried_servers:
        _draw_others(state, service, call)
    ranked = _rank_servers(state, service, call, now_ms)
    call.queried.clear()
    call.queries_left = MAX_QUERIED_SERVERS
    if not ranked:
        _refuse_without_server(state, service, call, now_ms, effects)
    elif _query_more(state, service, call, ranked, now_ms, effects):
        return
    elif service.has_load_reports and service.health_path:
        # All reports are fresh because other requests have just asked.
        dispatch_by_reports(state, call, True, now_ms, effects)
    else:
        _send_best(state, service, call, ranked, now_ms, effects)


def _query_more(
    state: GatewayState,
    service: ServiceState,
    call: RoutedCall,
    ranked: list[Candidate],
    now_ms: float,
    effects: list[GatewayEffect],
) -> bool:
    """Queries the best servers without a fresh report, if any.

    While it is unknown whether the servers report their load, one at a time is
    queried to find out.

    Returns:
        Whether a server was queried.
    """
    if service.has_load_reports is False or not service.health_path:
        return False
    if call.queries_left <= 0:
        return False
    queried = [
        candidate.server
        for candidate in ranked
        if now_ms - candidate.server.reported_ms > FRESH_REPORT_MS
        and candidate.server.name not in call.queried
    ][: placement.QUERIES_PER_ROUND if service.has_load_reports else 1]
    if not queried:
        return False
    call.phase = Phase.QUERYING
    call.unreported = {server.name for server in queried}
    call.queried |= call.unreported
    call.queries_left -= len(queried)
    state.querying[call.call_id] = call
    notices = tuple(server.record.notice for server in queried)
    effects.append(QueryLoad(call.call_id, notices, service.health_path))
    return True


def dispatch_by_reports(
    state: GatewayState,
    call: RoutedCall,
    is_wait_over: bool,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Dispatches a request by the load reports received so far.

    A few servers are queried at a time, first home servers, then also others,
    until one is idle and of average speed. If all queried servers are full, the
    request waits at the entry, so that it can go to whichever server has a free
    slot first.

    Args:
        state: State of the entry.
        call: The request, which waits for load reports or a recheck.
        is_wait_over: Whether to decide without the outstanding reports.
        now_ms: The local clock.
        effects: List to which effects are appended.
    """
    service = state.service(call.service)
    ranked = _rank_servers(state, service, call, now_ms)
    service_ms = service.service_ms_for(call.route)
    fresh = [
        c for c in ranked if now_ms - c.server.reported_ms <= FRESH_REPORT_MS
    ]
    if fresh and fresh[0].expected_ms <= GOOD_ENOUGH_FACTOR * service_ms:
        _send_best(state, service, call, fresh, now_ms, effects)
        return
    if call.unreported and not is_wait_over:
        return
    if not call.others:
        _draw_others(state, service, call)
        if call.others:
            ranked = _rank_servers(state, service, call, now_ms)
    if not ranked:
        _refuse_without_server(state, service, call, now_ms, effects)
        return
    if _query_more(state, service, call, ranked, now_ms, effects):
        return
    reported = [c for c in ranked if c.server.name not in call.unreported]
    best = fresh or reported or ranked
    if state.overload is not None:
        verdict = state.overload.admit(call, best[0], service_ms, now_ms)
    else:
        verdict = admit(call, best[0], service_ms, service.full_share, now_ms)
    match verdict:
        case Verdict.SEND:
            _send_best(state, service, call, best, now_ms, effects)
        case Verdict.WAIT:
            call.phase = Phase.QUERYING
            state.querying[call.call_id] = call
            call.queried.clear()
            call.queries_left = placement.QUERIES_PER_ROUND
            call.unreported.clear()
            _draw_others(state, service, call)
            effects.append(ScheduleRecheck(call.call_id, now_ms + RECHECK_MS))
        case Verdict.REFUSE:
            refuse(state, call, RefusalReason.OVERLOADED, now_ms, effects)


def _draw_others(
    state: GatewayState, service: ServiceState, call: RoutedCall
) -> None:
    """Widens the search for a server beyond the home servers."""
    call.others = homes.draw_others(
        state.servers_in_use(service),
        service.homes,
        call.tried_servers,
        state.rng,
    )


def best_server(
    state: GatewayState, call: RoutedCall, now_ms: float
) -> Candidate | None:
    """Returns the best server that a request has not tried, if any."""
    service = state.service(call.service)
    ranked = _rank_servers(state, service, call, now_ms)
    return ranked[0] if ranked else None


def _rank_servers(
    state: GatewayState,
    service: ServiceState,
    call: RoutedCall,
    now_ms: float,
) -> list[Candidate]:
    is_upload = call.route.kind is RouteKind.UPLOAD
    remote_factor = (
        placement.REMOTE_UPLOAD_FACTOR if is_upload else placement.REMOTE_FACTOR
    )
    candidates = homes.choose_candidates(
        service.servers,
        (*service.homes, *call.others),
        call.tried_servers,
        lambda name: state.may_send(name, now_ms),
        now_ms,
    )
    return placement.rank_servers(
        candidates,
        call.tried_servers,
        service.service_ms_for(call.route),
        now_ms,
        state.rng,
        placement.Locality(state.failure_domain, remote_factor),
        service.connections_per_entry(state.entries),
    )


def _refuse_without_server(
    state: GatewayState,
    service: ServiceState,
    call: RoutedCall,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Refuses a request because there is no server that it may be sent to.

    If that is due to rate limits or rests, the caller is told to return when
    the first of them allows a request.
    """
    waits_ms = [
        state.wait_ms(name, now_ms)
        for name in service.servers
        if name not in call.tried_servers and not state.is_evacuated(name)
    ]
    wait_ms = min((ms for ms in waits_ms if ms > 0.0), default=0.0)
    is_limited = wait_ms > 0.0
    refuse(
        state,
        call,
        RefusalReason.OVERLOADED if is_limited else RefusalReason.NO_SERVER,
        now_ms,
        effects,
        wait_ms if math.isfinite(wait_ms) else 0.0,
    )


def _send_best(
    state: GatewayState,
    service: ServiceState,
    call: RoutedCall,
    ranked: list[Candidate],
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    state.querying.pop(call.call_id, None)
    best = ranked[0]
    left_ms = call.deadline_ms - now_ms
    is_too_slow = EXPECTED_TIME_SHARE * best.expected_ms > left_ms
    is_full = best.server.is_full(now_ms) or (
        len(best.server.own_requests)
        >= state.service(call.service).connections_per_entry(state.entries)
    )
    if is_too_slow or is_full:
        refuse(state, call, RefusalReason.OVERLOADED, now_ms, effects)
        return
    if not state.stop.has_time_for(call, best.expected_ms, now_ms):
        _refuse_before_stop(state, call, now_ms, effects)
        return
    room_ms = quotas.commit(state, call, now_ms)
    if room_ms > 0.0:
        _refuse_over_quota(state, call, room_ms, now_ms, effects)
        return
    state.record_sent(best.server, now_ms)
    _send(state, call, best.server, best.expected_ms, now_ms, effects)


def _send(
    state: GatewayState,
    call: RoutedCall,
    server: RoutedServer,
    expected_ms: float,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    number = call.add_attempt(
        RunningAttempt(
            server=server.name,
            sent_ms=now_ms,
            expected_ms=expected_ms,
            load_factor=server.expected_ms(now_ms, 1.0),
        )
    )
    call.tried_servers.add(server.name)
    slowness = server.slowness(now_ms)
    server.own_requests[call.call_id] = SentRequest(
        now_ms, max(1.0, expected_ms)
    )
    left_ms = call.deadline_ms - now_ms
    effects.append(
        SendRequest(
            call.call_id,
            number,
            server.record.notice,
            left_ms,
            call.route.kind.is_idempotent,
            call.organisation,
            identity.is_key_hidden(state, call),
        )
    )
    age_ms = now_ms - server.reported_ms
    fields = {
        "id": call.request_id,
        "server": server.name,
        "attempt": call.attempt,
        "load": round(server.load(now_ms), 1),
        "slowness": round(slowness, 2),
        "report_age_ms": round(min(age_ms, 1e9)),
        "expected_ms": round(expected_ms),
        "left_ms": round(left_ms),
    }
    effects.append(Log("sent", fields))


def refuse(
    state: GatewayState,
    call: RoutedCall,
    reason: RefusalReason,
    now_ms: float,
    effects: list[GatewayEffect],
    min_retry_after_ms: float = 0.0,
    shed: Shed | None = None,
) -> None:
    """Refuses a request and states whether a server may have executed it.

    A request that still runs at a server is not refused before its deadline: it
    waits for that answer. One that a server failed gets the server's answer.

    Args:
        state: State of the entry.
        call: The request.
        reason: Reason of the refusal.
        now_ms: The local clock.
        effects: List to which effects are appended.
        min_retry_after_ms: Least retry-after time.
        shed: Why it is refused before other requests; None if it is not.
    """
    state.querying.pop(call.call_id, None)
    if call.running:
        _await_running(state, call, reason, now_ms, effects)
        return
    if call.error_answer is not None:
        error = call.error_answer
        forward_answer(
            state,
            call,
            error.attempt,
            error.server,
            error.status,
            now_ms,
            effects,
        )
        return
    restore_trial(state, call)
    state.calls.pop(call.call_id, None)
    quotas.release(state, call)
    executed = Executed.UNKNOWN if call.is_maybe_executed else Executed.NO
    after_ms = 0.0
    if executed is Executed.NO:
        service_ms = state.service(call.service).service_ms_for(call.route)
        if state.is_draining and reason is RefusalReason.NOT_READY:
            after_ms = RETRY_AFTER_MS
        elif state.overload is not None and reason is RefusalReason.OVERLOADED:
            after_ms = max(
                min_retry_after_ms,
                state.overload.retry_after_ms(call, service_ms, now_ms),
            )
        else:
            after_ms = min_retry_after_ms + (
                service_ms * state.rng.uniform(*RETRY_AFTER_SPREAD)
            )
    fields = {
        "id": call.request_id,
        "reason": reason.name.lower(),
        "executed": executed.value,
        "service": call.service,
        "kind": call.route.kind.value,
        "servers": len(state.service(call.service).servers),
        "attempt": call.attempt,
        "server": call.server,
        "peer": call.peer,
        "after_ms": round(now_ms - call.arrived_ms),
        "left_ms": round(call.deadline_ms - now_ms),
        "retry_after_ms": round(after_ms),
        **_organisation_fields(call),
    }
    if state.overload is not None:
        level = state.overload.pressure(call.service).level(now_ms)
        fields["shed"] = shed.value if shed is not None else ""
        fields["level"] = round(level, 2)
        fields["priority"] = call.priority
    if state.evacuations.domains:
        fields["evacuated"] = ",".join(sorted(state.evacuations.domains))
    effects.append(Log("refused", fields))
    refusal = Refusal(reason, executed, after_ms)
    effects.append(RefuseRequest(call.call_id, refusal))


def restore_trial(state: GatewayState, call: RoutedCall) -> None:
    """Restores the permission of a trial that has reached no server."""
    is_sent = call.is_maybe_executed or bool(call.running)
    if call.trial is not None and not is_sent:
        state.trials.give_back(call.trial)


def _await_running(
    state: GatewayState,
    call: RoutedCall,
    reason: RefusalReason,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Waits for the attempt that runs, as there is no place for another one."""
    if call.phase is Phase.QUERYING:
        refund_retry(state, call)
    call.phase = Phase.SENT
    call.reassign_due_ms = now_ms + REASSIGN_PAUSE_MS
    fields = {
        "id": call.request_id,
        "reason": reason.name.lower(),
        "server": next(iter(call.running.values())).server,
        "left_ms": round(call.deadline_ms - now_ms),
    }
    effects.append(Log("kept", fields))


def _is_too_late(state: GatewayState, call: RoutedCall, now_ms: float) -> bool:
    """Returns whether a request might not be over when the process ends."""
    service_ms = state.service(call.service).service_ms_for(call.route)
    return not state.stop.has_time_for(call, service_ms, now_ms)


def _refuse_before_stop(
    state: GatewayState,
    call: RoutedCall,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Refuses a request that might not be over when the process ends."""
    if not call.running:
        state.stop.refused += 1
    refuse(state, call, RefusalReason.NOT_READY, now_ms, effects)


def refuse_shed(
    state: GatewayState,
    call: RoutedCall,
    shed: Shed,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Refuses a request so that there is room for others."""
    state.overload.refused[shed] += 1
    refuse(state, call, RefusalReason.OVERLOADED, now_ms, effects, shed=shed)


def _organisation_fields(call: RoutedCall) -> dict[str, str]:
    return {"organisation": call.organisation} if call.organisation else {}


def forward_answer(
    state: GatewayState,
    call: RoutedCall,
    attempt: RunningAttempt,
    server: str,
    status: int,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Forwards the answer of a server, and cancels what else runs.

    Args:
        state: State of the entry.
        call: The request.
        attempt: The attempt that was answered.
        server: Name of the server, to which a peer may have relayed it.
        status: HTTP status of the answer.
        now_ms: The local clock.
        effects: List to which effects are appended.
    """
    cancel_attempts(state, call, effects)
    del state.calls[call.call_id]
    effects.append(ForwardAnswer(call.call_id))
    fields = {
        "id": call.request_id,
        "service": call.service,
        "kind": call.route.kind.value,
        "server": server,
        "peer": attempt.peer,
        "status": status,
        "attempt": call.attempt,
        "server_ms": round(now_ms - attempt.sent_ms),
        "total_ms": round(now_ms - call.arrived_ms),
        "target_ms": round(call.route.target_ms),
        **_organisation_fields(call),
    }
    effects.append(Log("answered", fields))


def refund_retry(state: GatewayState, call: RoutedCall) -> None:
    """Takes back the last retry of a request, which was not made."""
    if call.retry_counted_ms is not None:
        window = state.service(call.service).retry_window
        window.refund(call.retry_counted_ms)
        call.retry_counted_ms = None


def is_taken_elsewhere(state: GatewayState, call: RoutedCall) -> bool:
    """Returns whether another attempt of a request runs or is prepared.

    The end of one attempt then decides nothing about the request.
    """
    return bool(call.running) or call.call_id in state.querying


def cancel_attempts(
    state: GatewayState, call: RoutedCall, effects: list[GatewayEffect]
) -> None:
    """Cancels the load queries and all attempts of a request."""
    if state.querying.pop(call.call_id, None) is not None:
        refund_retry(state, call)
    for number in list(call.running):
        effects.append(CancelRequest(call.call_id, number))
        end_attempt(state, call, number)


def end_attempt(
    state: GatewayState, call: RoutedCall, number: int
) -> tuple[RunningAttempt, SentRequest | None] | None:
    """Removes an attempt from its request and its server or peer.

    Returns:
        The attempt, and how its server was expected to take it if that is
        known; None if the attempt does not run any more.
    """
    attempt = call.running.pop(number, None)
    if attempt is None:
        return None
    if attempt.peer:
        state.peers.record_end(attempt.peer, call.call_id)
        return attempt, None
    server = state.server(attempt.server)
    sent = server and server.own_requests.pop(call.call_id, None)
    return attempt, sent
