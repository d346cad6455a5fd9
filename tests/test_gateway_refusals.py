"""What a refusal says of the execution is true, however the request ended."""

from __future__ import annotations

import pytest

from gentianwall.config.routes import RouteKind
from gentianwall.core.events import FailureKind
from gentianwall.core.refusals import Executed
from gentianwall.gateway import effects as fx
from gentianwall.gateway.events import DeadlineExpired
from harness.gateway_entry import IDLE, Entry, of, refusal_of, server

ORDER = RouteKind.NON_IDEMPOTENT


@pytest.fixture
def entry():
    """An entry that may retry, with two servers whose loads were told."""
    entry = Entry()
    entry.learn(server("a", 1), server("b", 2))
    for name in "ab":
        entry.tell(name, IDLE)
    entry.state.service("s").retry_window.entries = 1
    return entry


def _time_up(entry):
    return refusal_of(
        entry.see(DeadlineExpired(entry.now_ms + 1000.0, entry.last_call))
    )


def test_a_spoiled_answer_may_have_run(entry):
    entry.arrive(ORDER)
    refusal = refusal_of(entry.answer(is_authentic=False))
    assert refusal.executed is Executed.UNKNOWN
    assert refusal.retry_after_ms == 0


def test_a_failed_server_stays_known_when_the_next_one_refuses(entry):
    entry.arrive(RouteKind.SAFE)
    (sent,) = of(entry.answer(status=500), fx.SendRequest)
    assert sent.attempt == 2
    refusal = refusal_of(entry.answer(503, is_refusal=True, attempt=2))
    assert refusal.executed is Executed.UNKNOWN


def test_a_request_whose_time_is_up_at_a_server_may_have_run(entry):
    entry.arrive(ORDER)
    assert _time_up(entry).executed is Executed.UNKNOWN


def test_a_request_whose_time_is_up_before_it_was_sent_has_not_run(entry):
    entry.now_ms += 500.0  # The reports are old, so servers are asked first.
    assert of(entry.arrive(ORDER), fx.QueryLoad)
    refusal = _time_up(entry)
    assert refusal.executed is Executed.NO
    assert refusal.retry_after_ms > 0


@pytest.mark.parametrize("kind", [FailureKind.LOST, FailureKind.TRUNCATED])
def test_a_broken_connection_may_have_run(entry, kind):
    entry.arrive(ORDER)
    assert refusal_of(entry.fail(kind)).executed is Executed.UNKNOWN


def test_a_server_that_said_so_has_not_run_it(entry):
    entry.arrive(ORDER)
    (sent,) = of(entry.answer(503, is_refusal=True), fx.SendRequest)
    refusal = refusal_of(entry.answer(503, is_refusal=True, attempt=2))
    assert sent.attempt == 2
    assert refusal.executed is Executed.NO
