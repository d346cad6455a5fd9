"""Claims, which record non-idempotent requests with a key before dispatch."""

from __future__ import annotations

from gentianwall.claims.commands import (
    ClaimKey,
    Command,
    RecordClaim,
    RecordOutcome,
    ReleaseClaim,
    ReleaseQuarantine,
    ReportCrash,
)
from gentianwall.claims.register import CRASHES_TO_QUARANTINE
from gentianwall.core.effects import (
    EntryEffect,
    SendMessage,
)
from gentianwall.core.events import AttemptAnswered, CallArrived
from gentianwall.core.state import Call, CallPhase, EntryState

BACKGROUND_DEADLINE_MS = 30_000.0
INTERNAL_PREFIX = "own-"


def is_internal_request(request_id: str) -> bool:
    """Returns whether a request to control was sent on behalf of a call.

    All other requests to control come from operators.
    """
    return request_id.startswith(INTERNAL_PREFIX)


def assign_claim(state: EntryState, call: Call, event: CallArrived) -> None:
    """Sets the claim of a call and the token that identifies the call in it."""
    call.claim = ClaimKey(event.service, event.caller, event.idempotency_key)
    call.token = f"{state.boot_id}-{event.call_id}"


def request_claim(
    state: EntryState,
    call: Call,
    event: CallArrived,
    effects: list[EntryEffect],
) -> None:
    """Requests the claim from control; the call waits for the result."""
    assert call.claim is not None
    call.phase = CallPhase.CLAIMING
    command = RecordClaim(
        call.claim, call.fingerprint, call.token, event.wall_ms
    )
    request_id = f"{INTERNAL_PREFIX}claim-{call.call_id}"
    _send(state, request_id, command, call.deadline_ms, event.at_ms, effects)


def record_outcome(
    state: EntryState,
    call: Call,
    event: AttemptAnswered,
    effects: list[EntryEffect],
) -> None:
    """Sends the outcome of a claimed call to control.

    The command is resent until control has committed it or its background
    deadline expires.
    """
    assert call.claim is not None
    assert event.outcome is not None
    at_ms = int(event.at_ms + call.wall_offset_ms)
    command = RecordOutcome(call.claim, call.token, event.outcome, at_ms)
    _send_in_background(state, call, "outcome", command, event.at_ms, effects)


def release(
    state: EntryState, call: Call, now_ms: float, effects: list[EntryEffect]
) -> None:
    """Releases the claim of a call that was not executed."""
    assert call.claim is not None
    at_ms = int(now_ms + call.wall_offset_ms)
    state.control.close_request(f"{INTERNAL_PREFIX}claim-{call.call_id}")
    command = ReleaseClaim(call.claim, call.token, at_ms)
    _send_in_background(state, call, "release", command, now_ms, effects)


def report_crashes(
    state: EntryState, call: Call, now_ms: float, effects: list[EntryEffect]
) -> None:
    """Reports to control which servers a request may have crashed."""
    at_ms = int(now_ms + call.wall_offset_ms)
    if len(set(call.crashed_servers)) >= CRASHES_TO_QUARANTINE:
        # Takes effect here at once; other entries receive the quarantine after
        # it is committed.
        state.quarantines |= {call.quarantine_key}
    for number, server in enumerate(call.crashed_servers):
        command = ReportCrash(call.service, call.quarantine_key, server, at_ms)
        name = f"crash{number}"
        _send_in_background(state, call, name, command, now_ms, effects)


def withdraw_quarantine(
    state: EntryState, call: Call, now_ms: float, effects: list[EntryEffect]
) -> None:
    """Ends the quarantine of a request that a server has completed.

    Its servers ended for another reason: a request that crashes servers does
    not complete anywhere.
    """
    state.quarantines -= {call.quarantine_key}
    at_ms = int(now_ms + call.wall_offset_ms)
    command = ReleaseQuarantine(call.quarantine_key, at_ms)
    _send_in_background(state, call, "withdraw", command, now_ms, effects)


def _send_in_background(
    state: EntryState,
    call: Call,
    name: str,
    command: Command,
    now_ms: float,
    effects: list[EntryEffect],
) -> None:
    request_id = f"{INTERNAL_PREFIX}{name}-{call.call_id}"
    deadline_ms = now_ms + BACKGROUND_DEADLINE_MS
    _send(state, request_id, command, deadline_ms, now_ms, effects)


def _send(
    state: EntryState,
    request_id: str,
    command: Command,
    deadline_ms: float,
    now_ms: float,
    effects: list[EntryEffect],
) -> None:
    send = state.control.command(request_id, command, deadline_ms, now_ms)
    effects.append(SendMessage(send.receiver, send.message))
