"""Randomized tests of the guarantees of entries to callers under faults.

Each mutant breaks one guarantee on purpose; a random schedule must detect it.
"""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianwall.claims import register
from gentianwall.claims.commands import ClaimGranted
from gentianwall.core import attempts, claiming, dispatching, retrying
from gentianwall.core.refusals import Executed
from harness.entries import EntrySimulation, InvariantError, run_schedule

MUTANT_SEEDS = 60


@given(seed=st.integers(0, 2**32))
@settings(max_examples=25)
def test_every_guarantee_holds_in_random_schedules(seed):
    run_schedule(EntrySimulation(3, 3, seed), 30)


def _claim_skipped(monkeypatch):
    def request_claim(state, call, event, effects):
        dispatching.enqueue(state, call, event.at_ms, effects)

    monkeypatch.setattr(claiming, "request_claim", request_claim)


def _claim_always_granted(monkeypatch):
    monkeypatch.setattr(
        register, "_record_claim", lambda state, command: ClaimGranted()
    )


def _retried_after_a_loss(monkeypatch):
    reserve_retry = retrying.reserve_retry

    def forget_execution(state, call, now_ms):
        call.is_maybe_executed = False
        return reserve_retry(state, call, now_ms)

    monkeypatch.setattr(retrying, "reserve_retry", forget_execution)


def _refused_as_not_executed_after_a_dispatch(monkeypatch):
    refuse = dispatching.refuse

    def refuse_as_not_executed(
        state, call, reason, now_ms, effects, executed=None, retry_after_ms=0.0
    ):
        refuse(
            state, call, reason, now_ms, effects, Executed.NO, retry_after_ms
        )

    monkeypatch.setattr(dispatching, "refuse", refuse_as_not_executed)


def _claim_released_after_a_dispatch(monkeypatch):
    refuse = dispatching.refuse

    def release_and_refuse(
        state, call, reason, now_ms, effects, executed=None, retry_after_ms=0.0
    ):
        if call.claim is not None:
            claiming.release(state, call, now_ms, effects)
        refuse(state, call, reason, now_ms, effects, executed, retry_after_ms)

    monkeypatch.setattr(dispatching, "refuse", release_and_refuse)


def _slot_kept_after_a_failure(monkeypatch):
    monkeypatch.setattr(attempts, "record_failure", lambda *args: False)


MUTANTS = [
    _claim_skipped,
    _claim_always_granted,
    _retried_after_a_loss,
    _refused_as_not_executed_after_a_dispatch,
    _claim_released_after_a_dispatch,
    _slot_kept_after_a_failure,
]


@pytest.mark.parametrize("apply_mutant", MUTANTS, ids=lambda m: m.__name__)
def test_random_schedules_detect_each_mutant(apply_mutant, monkeypatch):
    for seed in range(MUTANT_SEEDS):
        with monkeypatch.context() as patch:
            apply_mutant(patch)
            try:
                run_schedule(EntrySimulation(3, 3, seed), 30)
            except (InvariantError, KeyError):
                return
    pytest.fail(f"no seed below {MUTANT_SEEDS} detects the mutant")
