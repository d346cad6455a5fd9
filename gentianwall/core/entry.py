"""Reducer of an entry that serves the services of a declaration."""

from __future__ import annotations

from gentianwall.control.messages import (
    CommandRefused,
    CommandReply,
    ConfigNotice,
    StatusReply,
    StatusRequest,
)
from gentianwall.core import (
    calls,
    claim_results,
    claiming,
    configuration,
    dispatching,
    membership,
    retrying,
)
from gentianwall.core.effects import (
    EntryEffect,
    FinishCommand,
    FinishStatus,
    RecordEvent,
    SendMessage,
)
from gentianwall.core.events import (
    AttemptAnswered,
    AttemptFailed,
    CallArrived,
    CallerDisconnected,
    CommandRequested,
    DrainStarted,
    EntryEvent,
    MessageArrived,
    ProbeEnded,
    ServerAnnounced,
    StatusRequested,
    Tick,
)
from gentianwall.core.state import EntryState
from gentianwall.membership.messages import (
    DirectoryReply,
    DirectoryRequest,
    NoticeBroadcast,
    RenewalBroadcast,
)
from gentianwall.timeline import EventKind


def reduce_entry(state: EntryState, event: EntryEvent) -> list[EntryEffect]:
    """Changes the state by one event and returns the effects in order."""
    effects: list[EntryEffect] = []
    match event:
        case CallArrived():
            calls.on_call_arrived(state, event, effects)
        case AttemptAnswered():
            calls.on_attempt_answered(state, event, effects)
        case AttemptFailed():
            calls.on_attempt_failed(state, event, effects)
        case CallerDisconnected():
            calls.on_caller_disconnected(state, event, effects)
        case Tick():
            _on_tick(state, event.at_ms, effects)
        case MessageArrived():
            _on_message(state, event, effects)
        case ServerAnnounced():
            membership.on_announced(state, event, effects)
        case ProbeEnded():
            membership.on_probe_ended(state, event)
        case CommandRequested():
            send = state.control.command(
                event.request_id,
                event.command,
                event.deadline_ms,
                event.at_ms,
            )
            effects.append(SendMessage(send.receiver, send.message))
        case StatusRequested():
            request = StatusRequest(event.request_id)
            send = state.control.start_request(
                request, event.deadline_ms, event.at_ms
            )
            effects.append(SendMessage(send.receiver, send.message))
        case DrainStarted():
            state.is_draining = True
            effects.append(RecordEvent(EventKind.DRAINING))
    return effects


def _on_tick(
    state: EntryState, now_ms: float, effects: list[EntryEffect]
) -> None:
    calls.expire_deadlines(state, now_ms, effects)
    for send in state.control.resend_due(now_ms):
        effects.append(SendMessage(send.receiver, send.message))
    for request_id in state.control.expire_requests(now_ms):
        _on_control_timeout(request_id, effects)
    membership.on_tick(state, now_ms, effects)
    configuration.send_due_polls(state, now_ms, effects)
    retrying.reassign_overdue(state, now_ms, effects)
    dispatching.dispatch_all_waiting(state, now_ms, effects)


def _on_control_timeout(request_id: str, effects: list[EntryEffect]) -> None:
    if claiming.is_internal_request(request_id):
        return
    if request_id.startswith("status-"):
        effects.append(FinishStatus(request_id, None))
    else:
        effects.append(FinishCommand(request_id, None))


def _on_message(
    state: EntryState, event: MessageArrived, effects: list[EntryEffect]
) -> None:
    match event.message:
        case NoticeBroadcast() | RenewalBroadcast() | DirectoryReply():
            membership.on_directory_update(state, event, effects)
        case DirectoryRequest():
            membership.on_directory_request(state, event, effects)
        case ConfigNotice():
            configuration.on_notice(state, event, event.message, effects)
        case CommandReply():
            _on_command_reply(state, event, event.message, effects)
        case CommandRefused():
            send = state.control.redirect(
                event.message, event.sender, event.at_ms
            )
            if send is not None:
                effects.append(SendMessage(send.receiver, send.message))
        case StatusReply():
            state.control.set_leader(event.sender)
            if state.control.close_request(event.message.request_id):
                effects.append(
                    FinishStatus(event.message.request_id, event.message)
                )


def _on_command_reply(
    state: EntryState,
    event: MessageArrived,
    reply: CommandReply,
    effects: list[EntryEffect],
) -> None:
    state.control.set_leader(event.sender)
    if not state.control.close_request(reply.request_id):
        return
    if claiming.is_internal_request(reply.request_id):
        claim_results.on_claim_result(state, reply, event.at_ms, effects)
    else:
        effects.append(FinishCommand(reply.request_id, reply.result))
