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
def observations():
    return Observations()


def _record_answer(
    observations,
    status=200,
    body=b"i-1 /x",
    stamp="stamp-q",
    is_idempotent=False,
):
    observations.record_answer("q", "/x", status, body, stamp, is_idempotent)


def test_a_correct_run_has_no_violations(observations):
    observations.record_execution("q", False)
    _record_answer(observations)
    observations.record_submission(3)
    observations.record_acknowledgement(3)
    observations.check_read(3, time.monotonic())
    observations.check_final_read(3)
    observations.check_recovery(10, 10)
    assert observations.violations == []


@pytest.mark.parametrize(
    "change", [{"body": b"i-1 /"}, {"stamp": "stamp-p"}, {"stamp": ""}]
)
def test_a_truncated_or_mismatched_answer_is_reported(observations, change):
    _record_answer(observations, **change)
    assert observations.violations[0].startswith("mixed")


def test_a_second_execution_is_reported_unless_idempotent(observations):
    for _ in range(2):
        observations.record_execution("s", True)
    assert observations.violations == []
    for _ in range(2):
        observations.record_execution("q", False)
    assert observations.violations[0].startswith("twice")


@pytest.mark.parametrize("is_executed_first", [True, False])
def test_a_refusal_of_an_executed_request_is_reported(
    observations, is_executed_first
):
    if is_executed_first:
        observations.record_execution("q", False)
    _record_answer(observations, 503)
    if not is_executed_first:
        observations.record_execution("q", False)
    assert observations.violations[0].startswith("refused")


def test_a_stale_or_unknown_configuration_read_is_reported(observations):
    observations.record_submission(5)
    observations.record_acknowledgement(5)
    observations.check_read(4, time.monotonic())
    assert observations.violations == []
    observations.check_read(4, time.monotonic() + checks.CONFIG_APPLY_S + 0.1)
    observations.check_read(6, time.monotonic())
    assert [v.split(":")[0] for v in observations.violations] == [
        "config",
        "config",
    ]


@pytest.mark.parametrize("last_read", [None, 4])
def test_a_lost_acknowledged_configuration_is_reported(observations, last_read):
    observations.record_acknowledgement(5)
    observations.check_final_read(last_read)
    assert observations.violations[0].startswith("lost")


def test_too_few_served_requests_after_recovery_are_reported(observations):
    observations.check_recovery(2, 10)
    assert observations.violations[0].startswith("recover")


@pytest.mark.parametrize("seed", [7, *REGRESSION_SEEDS])
def test_a_short_soak_run_has_no_violations(seed):
    run = run_seed(seed, 6.0)
    assert run.observations.violations == [], run.log
    assert run.observations.statuses[200] > 100
