"""Probes and retries stay within what was declared."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianwall.admission.budget import (
    ProbeBudget,
    RetryBudget,
    probe_interval_ms,
)
from gentianwall.membership.messages import ServerKey

KEY = ServerKey("s", "a")


def _probe_time_ms(entries, restarts, steps, cost_ms, interval_ms):
    """Returns when probes of one server were sent, by all entries."""
    budgets = [ProbeBudget(interval_ms) for _ in range(entries)]
    sent = []
    now_ms = 0.0
    for number, step_ms in enumerate(steps):
        now_ms += step_ms
        if number in restarts:
            budgets[number % entries] = ProbeBudget(interval_ms)
        sent += [now_ms for b in budgets if b.spend(KEY, now_ms)]
    return sent


def _most_in_a_window(sent, window_ms):
    return max(
        (sum(1 for t in sent if s <= t < s + window_ms) for s in sent),
        default=0,
    )


PLANS = given(
    entries=st.integers(1, 7),
    restarts=st.sets(st.integers(0, 200), max_size=10),
    steps=st.lists(st.floats(1, 3000), min_size=1, max_size=200),
    cost_ms=st.sampled_from([0.5, 6.0]),
    ratio=st.sampled_from([0.001, 0.01, 0.2]),
)


@PLANS
def test_probes_keep_the_budget_over_any_window(
    entries, restarts, steps, cost_ms, ratio
):
    interval_ms = probe_interval_ms(cost_ms, ratio, entries)
    sent = _probe_time_ms(entries, restarts, steps, cost_ms, interval_ms)
    for windows in (1, 3):
        spent_ms = _most_in_a_window(sent, windows * interval_ms) * cost_ms
        # Each entry sends at most one probe more than whole intervals fit.
        allowed_ms = ratio * windows * interval_ms + 1e-6
        assert spent_ms <= allowed_ms


def test_a_share_by_reachable_entries_would_break_the_budget():
    """Seven cut-off entries that each take the whole budget."""
    interval_ms = probe_interval_ms(6.0, 0.01, 1)
    steps = [100.0] * 200
    sent = _probe_time_ms(7, set(), steps, 6.0, interval_ms)
    spent_ms = _most_in_a_window(sent, 10 * interval_ms) * 6.0
    assert spent_ms > 0.01 * 10 * interval_ms


def test_no_budget_means_no_probe():
    interval_ms = probe_interval_ms(6.0, 0.0, 7)
    assert not _probe_time_ms(7, set(), [1e6] * 50, 6.0, interval_ms)


@pytest.mark.parametrize("ratio", [0.0, 0.1, 0.5])
def test_retries_stay_a_share_of_calls(ratio):
    budget = RetryBudget(ratio)
    spent = 0
    for _ in range(1000):
        budget.record_call()
        spent += budget.spend()
    assert spent <= 1000 * ratio + budget.capacity
