"""Tests for the checks of the soak test, and a short soak run."""

from __future__ import annotations

import time

import pytest

from soak import checks
from soak.checks import Observations
from soak.run import run_seed

# Seeds of soak runs that had violations, with one line on the cause of each.
# None so far.
REGRESSION_SEEDS: tuple[int, ...] = ()


@pytest.fixture
def seen():
    return Observations()


def _record_answer(
    seen, status=200, body=b"i-1 /x", stamp="stamp-q", is_idempotent=False
):
    seen.answered("q", "/x", status, body, stamp, is_idempotent)


def test_a_correct_run_has_no_violations(seen):
    seen.ran("q", False)
    _record_answer(seen)
    seen.offered(3)
    seen.acknowledged(3)
    seen.read(3, time.monotonic())
    seen.read_at_end(3)
    seen.recovered(10, 10)
    assert seen.violations == []


@pytest.mark.parametrize(
    "change", [{"body": b"i-1 /"}, {"stamp": "stamp-p"}, {"stamp": ""}]
)
def test_a_truncated_or_mismatched_answer_is_reported(seen, change):
    _record_answer(seen, **change)
    assert seen.violations[0].startswith("mixed")


def test_a_second_execution_is_reported_unless_idempotent(seen):
    for _ in range(2):
        seen.ran("s", True)
    assert seen.violations == []
    for _ in range(2):
        seen.ran("q", False)
    assert seen.violations[0].startswith("twice")


@pytest.mark.parametrize("is_executed_first", [True, False])
def test_a_refusal_of_an_executed_request_is_reported(seen, is_executed_first):
    if is_executed_first:
        seen.ran("q", False)
    _record_answer(seen, 503)
    if not is_executed_first:
        seen.ran("q", False)
    assert seen.violations[0].startswith("refused")


def test_a_stale_or_unknown_configuration_read_is_reported(seen):
    seen.offered(5)
    seen.acknowledged(5)
    seen.read(4, time.monotonic())
    assert seen.violations == []
    seen.read(4, time.monotonic() + checks.CONFIG_APPLY_S + 0.1)
    seen.read(6, time.monotonic())
    assert [v.split(":")[0] for v in seen.violations] == ["config", "config"]


@pytest.mark.parametrize("last_read", [None, 4])
def test_a_lost_acknowledged_configuration_is_reported(seen, last_read):
    seen.acknowledged(5)
    seen.read_at_end(last_read)
    assert seen.violations[0].startswith("lost")


def test_too_few_served_requests_after_recovery_are_reported(seen):
    seen.recovered(2, 10)
    assert seen.violations[0].startswith("recover")


@pytest.mark.parametrize("seed", [7, *REGRESSION_SEEDS])
def test_a_short_soak_run_has_no_violations(seed):
    run = run_seed(seed, 6.0)
    assert run.seen.violations == [], run.log
    assert run.seen.statuses[200] > 100
