"""Tests that probes and retries stay within their declared budgets."""

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


def _probe_times_ms(entries, restarts, steps, cost_ms, interval_ms):
    """Returns the times at which any entry sent a probe to one server.

    An entry restarts at each step whose number is in `restarts`.
    """
    budgets = [ProbeBudget(interval_ms) for _ in range(entries)]
    sent = []
    now_ms = 0.0
    for number, step_ms in enumerate(steps):
        now_ms += step_ms
        if number in restarts:
            budgets[number % entries] = ProbeBudget(interval_ms)
        sent += [now_ms for b in budgets if b.spend(KEY, now_ms)]
    return sent


def _max_probes_in_window(sent, window_ms):
    return max(
        (sum(1 for t in sent if s <= t < s + window_ms) for s in sent),
        default=0,
    )


PROBE_SCENARIOS = given(
    entries=st.integers(1, 7),
    restarts=st.sets(st.integers(0, 200), max_size=10),
    steps=st.lists(st.floats(1, 3000), min_size=1, max_size=200),
    cost_ms=st.sampled_from([0.5, 6.0]),
    ratio=st.sampled_from([0.001, 0.01, 0.2]),
)


@PROBE_SCENARIOS
def test_probes_stay_within_the_budget_in_any_window(
    entries, restarts, steps, cost_ms, ratio
):
    interval_ms = probe_interval_ms(cost_ms, ratio, entries)
    sent = _probe_times_ms(entries, restarts, steps, cost_ms, interval_ms)
    for windows in (1, 3):
        spent_ms = _max_probes_in_window(sent, windows * interval_ms) * cost_ms
        # Each entry sends at most one probe per interval.
        allowed_ms = ratio * windows * interval_ms + 1e-6
        assert spent_ms <= allowed_ms


def test_dividing_the_budget_by_reachable_entries_would_exceed_it():
    """Uses seven partitioned entries that each spend the whole budget."""
    interval_ms = probe_interval_ms(6.0, 0.01, 1)
    steps = [100.0] * 200
    sent = _probe_times_ms(7, set(), steps, 6.0, interval_ms)
    spent_ms = _max_probes_in_window(sent, 10 * interval_ms) * 6.0
    assert spent_ms > 0.01 * 10 * interval_ms


def test_no_probe_is_sent_without_a_budget():
    interval_ms = probe_interval_ms(6.0, 0.0, 7)
    assert not _probe_times_ms(7, set(), [1e6] * 50, 6.0, interval_ms)


@pytest.mark.parametrize("ratio", [0.0, 0.1, 0.5])
def test_retries_stay_within_their_share_of_calls(ratio):
    budget = RetryBudget(ratio)
    spent = 0
    for _ in range(1000):
        budget.record_call()
        spent += budget.spend()
    assert spent <= 1000 * ratio + budget.capacity
