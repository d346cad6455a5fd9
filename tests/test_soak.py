"""The soak's checks catch what they are for; a short run keeps promises."""

from __future__ import annotations

import time

import pytest

from soak import checks
from soak.checks import Seen
from soak.run import run_seed

# Seeds that broke a promise once, with a line on the cause: none so far.
REGRESSION_SEEDS: tuple[int, ...] = ()


@pytest.fixture
def seen():
    return Seen()


def _answer(seen, status=200, body=b"i-1 /x", stamp="stamp-q", safe=False):
    seen.answered("q", "/x", status, body, stamp, safe)


def test_a_good_run_breaks_nothing(seen):
    seen.ran("q", False)
    _answer(seen)
    seen.offered(3)
    seen.acknowledged(3)
    seen.read(3, time.monotonic())
    seen.read_at_end(3)
    seen.recovered(10, 10)
    assert seen.violations == []


@pytest.mark.parametrize(
    "change", [{"body": b"i-1 /"}, {"stamp": "stamp-p"}, {"stamp": ""}]
)
def test_an_answer_that_is_not_whole_or_not_its_own_is_caught(seen, change):
    _answer(seen, **change)
    assert seen.violations[0].startswith("mixed")


def test_a_second_run_is_caught_unless_it_is_safe(seen):
    for _ in range(2):
        seen.ran("s", True)
    assert seen.violations == []
    for _ in range(2):
        seen.ran("q", False)
    assert seen.violations[0].startswith("twice")


@pytest.mark.parametrize("is_run_first", [True, False])
def test_a_refusal_that_is_not_true_is_caught(seen, is_run_first):
    if is_run_first:
        seen.ran("q", False)
    _answer(seen, 503)
    if not is_run_first:
        seen.ran("q", False)
    assert seen.violations[0].startswith("refused")


def test_a_read_that_is_too_old_is_caught_after_its_time(seen):
    seen.offered(5)
    seen.acknowledged(5)
    seen.read(4, time.monotonic())
    assert seen.violations == []
    seen.read(4, time.monotonic() + checks.CONFIG_APPLY_S + 0.1)
    seen.read(6, time.monotonic())
    assert [v.split(":")[0] for v in seen.violations] == ["config", "config"]


@pytest.mark.parametrize("held", [None, 4])
def test_what_was_acknowledged_and_lost_is_caught(seen, held):
    seen.acknowledged(5)
    seen.read_at_end(held)
    assert seen.violations[0].startswith("lost")


def test_service_that_is_not_back_is_caught(seen):
    seen.recovered(2, 10)
    assert seen.violations[0].startswith("recover")


@pytest.mark.parametrize("seed", [7, *REGRESSION_SEEDS])
def test_a_short_run_keeps_the_promises(seed):
    run = run_seed(seed, 6.0)
    assert run.seen.violations == [], run.log
    assert run.seen.statuses[200] > 100
