"""Entries keep their promises to callers, whatever fails."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianwall.claims import register
from gentianwall.claims.commands import ClaimGranted
from gentianwall.core import attempts, claiming, dispatching, retrying
from gentianwall.core.refusals import Executed
from harness.entries import EntryWorld, PromiseError, run_schedule

MUTATION_SEEDS = 60


@given(seed=st.integers(0, 2**32))
@settings(max_examples=25)
def test_random_schedules_keep_every_promise(seed):
    run_schedule(EntryWorld(3, 3, seed), 30)


def _claim_skipped(monkeypatch):
    def request_claim(state, call, event, effects):
        dispatching.enqueue(state, call, event.at_ms, effects)

    monkeypatch.setattr(claiming, "request_claim", request_claim)


def _claim_always_granted(monkeypatch):
    monkeypatch.setattr(
        register, "_record_claim", lambda state, command: ClaimGranted()
    )


def _retried_after_a_loss(monkeypatch):
    may_retry = retrying.may_retry

    def forgiving(state, call, now_ms):
        call.is_maybe_executed = False
        return may_retry(state, call, now_ms)

    monkeypatch.setattr(retrying, "may_retry", forgiving)


def _no_after_a_dispatch(monkeypatch):
    refuse = dispatching.refuse

    def lying(
        state, call, reason, now, effects, executed=None, retry_after_ms=0.0
    ):
        refuse(state, call, reason, now, effects, Executed.NO, retry_after_ms)

    monkeypatch.setattr(dispatching, "refuse", lying)


def _release_after_a_dispatch(monkeypatch):
    refuse = dispatching.refuse

    def releasing(
        state, call, reason, now, effects, executed=None, retry_after_ms=0.0
    ):
        if call.claim is not None:
            claiming.release(state, call, now, effects)
        refuse(state, call, reason, now, effects, executed, retry_after_ms)

    monkeypatch.setattr(dispatching, "refuse", releasing)


def _slot_kept_after_a_failure(monkeypatch):
    monkeypatch.setattr(attempts, "record_failure", lambda *args: False)


MUTATIONS = [
    _claim_skipped,
    _claim_always_granted,
    _retried_after_a_loss,
    _no_after_a_dispatch,
    _release_after_a_dispatch,
    _slot_kept_after_a_failure,
]


@pytest.mark.parametrize("mutate", MUTATIONS, ids=lambda m: m.__name__)
def test_a_broken_entry_is_caught(mutate, monkeypatch):
    for seed in range(MUTATION_SEEDS):
        with monkeypatch.context() as patch:
            mutate(patch)
            try:
                run_schedule(EntryWorld(3, 3, seed), 30)
            except (PromiseError, KeyError):
                return
    pytest.fail(f"no seed below {MUTATION_SEEDS} catches it")
