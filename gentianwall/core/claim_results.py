"""Continuation of calls after the result of their claim."""

from __future__ import annotations

from gentianwall.claims.commands import (
    ClaimGranted,
    ClaimHeld,
    ClaimMismatch,
    ClaimOutOfWindow,
    ClaimsFull,
    CommandResult,
)
from gentianwall.control.messages import CommandReply
from gentianwall.core import claiming, dispatching
from gentianwall.core.effects import EntryEffect, ReplayAnswer
from gentianwall.core.refusals import (
    FINAL_STATUSES,
    Executed,
    RefusalReason,
)
from gentianwall.core.state import Call, CallPhase, EntryState

CLAIM_HELD_RETRY_MS = 1000.0


def on_claim_result(
    state: EntryState,
    reply: CommandReply,
    now_ms: float,
    effects: list[EntryEffect],
) -> None:
    """Dispatches, answers or refuses a call by the result of its claim.

    Results of other internal commands are ignored.
    """
    kind, _, number = reply.request_id[
        len(claiming.INTERNAL_PREFIX) :
    ].partition("-")
    if kind != "claim":
        return
    call = state.calls.get(int(number))
    if call is None or call.phase is not CallPhase.CLAIMING:
        return
    _apply_result(state, call, reply.result, now_ms, effects)


def _apply_result(
    state: EntryState,
    call: Call,
    result: CommandResult,
    now_ms: float,
    effects: list[EntryEffect],
) -> None:
    def refuse(
        reason: RefusalReason, executed: Executed, retry_after_ms: float = 0
    ) -> None:
        # Keeps `dispatching.refuse` from releasing the claim, which this call
        # does not hold.
        call.claim = None
        dispatching.refuse(
            state, call, reason, now_ms, effects, executed, retry_after_ms
        )

    match result:
        case ClaimGranted():
            dispatching.enqueue(state, call, now_ms, effects)
        case ClaimHeld(outcome=None):
            refuse(
                RefusalReason.CLAIM_HELD, Executed.UNKNOWN, CLAIM_HELD_RETRY_MS
            )
        case ClaimHeld(outcome=outcome) if outcome.status in FINAL_STATUSES:
            effects.append(ReplayAnswer(call.call_id, outcome))
            del state.calls[call.call_id]
        case ClaimHeld():
            # Earlier versions recorded malformed answers too. The end of such
            # a request stays unknown, so there is no time to wait for it.
            refuse(RefusalReason.CLAIM_HELD, Executed.UNKNOWN)
        case ClaimMismatch():
            refuse(RefusalReason.CLAIM_MISMATCH, Executed.NO)
        case ClaimOutOfWindow():
            refuse(RefusalReason.CLAIM_OUT_OF_WINDOW, Executed.UNKNOWN)
        case ClaimsFull(retry_after_ms=retry_after_ms):
            refuse(RefusalReason.CLAIM_UNAVAILABLE, Executed.NO, retry_after_ms)
