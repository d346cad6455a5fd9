"""Tests that refusals state whether a request may have been executed."""

from __future__ import annotations

import pytest

from gentianwall.config.routes import RouteKind
from gentianwall.core.events import FailureKind
from gentianwall.core.refusals import Executed, Refusal, RefusalReason
from gentianwall.gateway import effects as fx
from gentianwall.gateway.events import DeadlineExpired
from harness.gateway_entry import (
    IDLE,
    Entry,
    effects_of_type,
    server,
    single_refusal,
)

ORDER = RouteKind.NON_IDEMPOTENT
# These promise callers that the request was not executed and never will be.
PROMISING_STATUSES = (408, 421, 429, 503)


@pytest.fixture
def entry():
    """An entry that may retry, with two servers and fresh load reports."""
    entry = Entry()
    entry.deliver_update(server("a", 1), server("b", 2))
    for name in "ab":
        entry.deliver_load_report(name, IDLE)
    entry.state.service("s").retry_window.entries = 1
    return entry


def _expire_deadline(entry):
    return single_refusal(
        entry.reduce(DeadlineExpired(entry.now_ms + 1000.0, entry.last_call_id))
    )


def test_a_request_with_an_unauthentic_answer_may_have_been_executed(entry):
    entry.deliver_request(ORDER)
    refusal = single_refusal(entry.deliver_answer(is_authentic=False))
    assert refusal.executed is Executed.UNKNOWN
    assert refusal.retry_after_ms == 0


def test_a_refused_retry_after_a_server_error_may_have_been_executed(entry):
    entry.deliver_request(RouteKind.SAFE)
    effects = entry.deliver_answer(status=500, is_authentic=False)
    (sent,) = effects_of_type(effects, fx.SendRequest)
    assert sent.attempt == 2
    refusal = single_refusal(
        entry.deliver_answer(503, is_refusal=True, attempt=2)
    )
    assert refusal.executed is Executed.UNKNOWN


def test_a_refused_retry_after_a_server_error_is_not_called_unexecuted(entry):
    entry.deliver_request(RouteKind.SAFE)
    (sent,) = effects_of_type(entry.deliver_answer(status=500), fx.SendRequest)
    assert sent.attempt == 2
    effects = entry.deliver_answer(503, is_refusal=True, attempt=2)
    assert effects == [fx.ForwardAnswer(1)]


def test_a_request_that_expires_at_a_server_may_have_been_executed(entry):
    entry.deliver_request(ORDER)
    assert _expire_deadline(entry).executed is Executed.UNKNOWN


def test_a_request_that_expires_before_dispatch_was_not_executed(entry):
    entry.now_ms += 500.0  # Outdated load reports are queried first.
    assert effects_of_type(entry.deliver_request(ORDER), fx.QueryLoad)
    refusal = _expire_deadline(entry)
    assert refusal.executed is Executed.NO
    assert refusal.retry_after_ms > 0


@pytest.mark.parametrize(
    "kind", [FailureKind.LOST, FailureKind.TRUNCATED, FailureKind.MALFORMED]
)
def test_a_request_on_a_lost_connection_may_have_been_executed(entry, kind):
    entry.deliver_request(ORDER)
    assert single_refusal(entry.fail_attempt(kind)).executed is Executed.UNKNOWN


@pytest.mark.parametrize("reason", RefusalReason)
@pytest.mark.parametrize("executed", [Executed.YES, Executed.UNKNOWN])
def test_no_status_promises_that_an_executed_request_was_not(reason, executed):
    assert Refusal(reason, executed).status not in PROMISING_STATUSES


def test_a_lost_request_without_another_server_is_not_answered_503(entry):
    entry.deliver_request()
    (sent,) = effects_of_type(
        entry.fail_attempt(FailureKind.LOST), fx.SendRequest
    )
    refusal = single_refusal(
        entry.fail_attempt(FailureKind.NOT_CONNECTED, attempt=sent.attempt)
    )
    assert refusal.reason is RefusalReason.NO_SERVER
    assert refusal.executed is Executed.UNKNOWN
    assert refusal.status not in PROMISING_STATUSES


def test_a_request_refused_by_the_servers_was_not_executed(entry):
    entry.deliver_request(ORDER)
    (sent,) = effects_of_type(
        entry.deliver_answer(503, is_refusal=True), fx.SendRequest
    )
    refusal = single_refusal(
        entry.deliver_answer(503, is_refusal=True, attempt=2)
    )
    assert sent.attempt == 2
    assert refusal.executed is Executed.NO
