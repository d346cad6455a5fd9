"""Tests of what a caller gets whose key has been used before."""

from __future__ import annotations

import pytest

from gentianwall.claims.commands import ClaimHeld, Outcome
from gentianwall.control.messages import CommandReply
from gentianwall.core.claim_results import on_claim_result
from gentianwall.core.claiming import INTERNAL_PREFIX
from gentianwall.core.effects import RefuseCaller, ReplayAnswer
from gentianwall.core.refusals import Executed
from gentianwall.core.state import Call, CallPhase


@pytest.fixture
def entry(entry_state):
    """An entry with a call whose claim is asked for."""
    state = entry_state
    state.calls[1] = Call(
        call_id=1,
        request_id="b-1",
        service="s",
        caller="",
        fingerprint="f",
        arrived_ms=0.0,
        deadline_ms=500.0,
        start_target_ms=400.0,
        tier="only",
        price=1.0,
        is_idempotent=False,
        is_nested=False,
        phase=CallPhase.CLAIMING,
    )
    return state


def _receive_outcome(entry, status):
    outcome = Outcome(status, "", b"ok", "", True)
    reply = CommandReply(f"{INTERNAL_PREFIX}claim-1", ClaimHeld(outcome))
    effects = []
    on_claim_result(entry, reply, 100.0, effects)
    return effects


@pytest.mark.parametrize("status", [200, 299, 404, 599])
def test_a_recorded_answer_is_replayed(entry, status):
    (effect,) = _receive_outcome(entry, status)
    assert isinstance(effect, ReplayAnswer)
    assert effect.outcome.status == status


# Builds before the check of heads recorded such answers.
@pytest.mark.parametrize("status", [-1, 0, 99, 101, 600, 999])
def test_a_recorded_answer_without_a_valid_status_is_not_replayed(
    entry, status
):
    effects = _receive_outcome(entry, status)
    (refusal,) = [e.refusal for e in effects if isinstance(e, RefuseCaller)]
    assert refusal.executed is Executed.UNKNOWN
    assert refusal.status == 409
    assert not entry.calls
