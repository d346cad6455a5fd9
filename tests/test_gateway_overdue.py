"""Tests that requests which a full server dropped are answered by another."""

from __future__ import annotations

import attrs
import pytest

from gentianwall.config.routes import RouteKind
from gentianwall.core.events import CallerDisconnected, FailureKind, Tick
from gentianwall.gateway import effects as fx
from gentianwall.gateway.events import DeadlineExpired
from gentianwall.gateway.overdue import CONFIRM_MS, OVERDUE_FACTOR
from gentianwall.gateway.reducer import reduce_gateway
from gentianwall.routing.reports import SpeedReport
from harness.gateway_entry import IDLE, Entry, effects_of_type, server

EXPECTED_MS = 160.0
BUSY = SpeedReport(2, 1, 2)


@pytest.fixture
def entry():
    """An entry past its start, with two servers that report no load."""
    entry = Entry()
    entry.deliver_update(server("a", 1), server("b", 2))
    entry.now_ms += 4000.0
    entry.deliver_update(configuration=None)
    for name in "ab":
        entry.deliver_load_report(name, IDLE)
    return entry


def _send(entry, kind=RouteKind.SAFE):
    (sent,) = effects_of_type(entry.deliver_request(kind), fx.SendRequest)
    return sent.notice.key.server


def _other(name):
    return {"a": "b", "b": "a"}[name]


def _tick(entry, later_ms):
    entry.now_ms += later_ms
    return entry.reduce(Tick(entry.now_ms))


def test_a_server_is_asked_about_an_overdue_request(entry):
    name = _send(entry)
    assert not effects_of_type(_tick(entry, EXPECTED_MS), fx.CheckOverdue)
    (check,) = effects_of_type(_tick(entry, 1.5 * EXPECTED_MS), fx.CheckOverdue)
    assert check.notice.key.server == name
    assert not effects_of_type(_tick(entry, 10.0), fx.CheckOverdue)


def test_a_request_that_its_server_dropped_is_sent_to_another(entry):
    name = _send(entry)
    _tick(entry, 2.2 * EXPECTED_MS)
    entry.deliver_load_report(name, IDLE)
    _tick(entry, CONFIRM_MS)
    entry.deliver_load_report(_other(name), IDLE)
    call = entry.state.calls[1]
    assert (call.attempt, call.server != name) == (2, True)
    assert entry.state.server(name).failure_rate == 0.0
    effects = entry.deliver_answer(attempt=2)
    assert effects == [fx.CancelRequest(1, 1), fx.ForwardAnswer(1)]


def test_an_answer_on_its_way_is_waited_for(entry):
    name = _send(entry)
    _tick(entry, 2.2 * EXPECTED_MS)
    entry.deliver_load_report(name, IDLE)
    effects = _tick(entry, CONFIRM_MS / 2)
    assert not effects_of_type(effects, fx.CancelRequest)
    assert effects_of_type(entry.deliver_answer(), fx.ForwardAnswer)


def test_a_server_that_works_on_the_request_keeps_it(entry):
    name = _send(entry)
    for _ in range(3):
        _tick(entry, 1.2 * EXPECTED_MS)
        entry.deliver_load_report(name, BUSY)
    assert entry.state.calls[1].server == name


def test_a_request_far_beyond_its_expected_time_is_reassigned(entry):
    name = _send(entry)
    _tick(entry, OVERDUE_FACTOR * EXPECTED_MS + 1)
    entry.deliver_load_report(_other(name), IDLE)
    assert entry.state.calls[1].server != name
    effects = entry.deliver_answer(attempt=2)
    assert effects == [fx.CancelRequest(1, 1), fx.ForwardAnswer(1)]


# It was not looked at any more, and waited for its deadline.
@pytest.mark.parametrize("is_replaced", [False, True])
def test_an_overdue_request_at_a_server_that_left_is_reassigned(
    entry, is_replaced
):
    name = _send(entry)
    left = server(name, 3, incarnation=2, state="up" if is_replaced else "left")
    entry.deliver_update(left)
    assert not effects_of_type(_tick(entry, 50.0), fx.QueryLoad)
    _tick(entry, OVERDUE_FACTOR * EXPECTED_MS)
    entry.deliver_load_report(_other(name), IDLE)
    assert entry.state.calls[1].server == _other(name)
    effects = entry.deliver_answer(attempt=1)
    assert effects == [fx.CancelRequest(1, 2), fx.ForwardAnswer(1)]


# It was given up before another server had taken it, and its caller got 502
# although the answer was on its way.
def test_an_overdue_request_is_not_refused_while_its_server_works(entry):
    name = _send(entry)
    _tick(entry, OVERDUE_FACTOR * EXPECTED_MS + 1)
    effects = entry.deliver_load_report(_other(name), SpeedReport(2, 9, 2))
    assert not effects
    assert entry.deliver_answer(attempt=1) == [fx.ForwardAnswer(1)]


def test_a_search_without_a_server_counts_as_no_retry(entry):
    name = _send(entry)
    window = entry.state.service("s").retry_window
    window.limits = attrs.evolve(window.limits, slack=2.0, ratio=0.0)
    for _ in range(3):
        _tick(entry, OVERDUE_FACTOR * EXPECTED_MS / 3 + 1)
        entry.deliver_load_report(_other(name), SpeedReport(2, 9, 2))
    assert window.spend(entry.now_ms)


@pytest.mark.parametrize("kind", [FailureKind.NOT_CONNECTED, FailureKind.LOST])
def test_the_failure_of_the_other_server_leaves_the_first_at_work(entry, kind):
    name = _send(entry)
    _tick(entry, OVERDUE_FACTOR * EXPECTED_MS + 1)
    entry.deliver_load_report(_other(name), IDLE)
    effects = entry.fail_attempt(kind, attempt=2)
    assert not effects_of_type(effects, fx.RefuseRequest | fx.CancelRequest)
    assert entry.deliver_answer(attempt=1) == [fx.ForwardAnswer(1)]


@pytest.mark.parametrize("attempt", [1, 2])
def test_a_refusal_of_one_server_leaves_the_other_at_work(entry, attempt):
    name = _send(entry)
    _tick(entry, OVERDUE_FACTOR * EXPECTED_MS + 1)
    entry.deliver_load_report(_other(name), IDLE)
    refused = entry.deliver_answer(503, is_refusal=True, attempt=attempt)
    assert not refused
    assert entry.deliver_answer(attempt=3 - attempt) == [fx.ForwardAnswer(1)]


@pytest.mark.parametrize("event_class", [DeadlineExpired, CallerDisconnected])
def test_both_attempts_end_with_the_wait_of_the_caller(entry, event_class):
    name = _send(entry)
    _tick(entry, OVERDUE_FACTOR * EXPECTED_MS + 1)
    entry.deliver_load_report(_other(name), IDLE)
    effects = entry.reduce(event_class(entry.now_ms, 1))
    cancelled = effects_of_type(effects, fx.CancelRequest)
    assert [effect.attempt for effect in cancelled] == [1, 2]
    assert not any(entry.state.server(name).own_requests for name in "ab")


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.UPLOAD])
def test_a_request_that_may_run_once_is_never_reassigned(entry, kind):
    name = _send(entry, kind)
    _tick(entry, 2.2 * EXPECTED_MS)
    entry.deliver_load_report(name, IDLE)
    for _ in range(8):
        effects = _tick(entry, EXPECTED_MS / 2)
        assert not effects_of_type(effects, fx.CancelRequest)
        assert not effects_of_type(effects, fx.SendRequest)
    assert entry.state.calls[1].server == name


def test_only_as_many_requests_are_reassigned_as_the_server_dropped(entry):
    entry.deliver_update(server("a", 1), server("b", 3, state="left"))
    # Three requests on one server must be in time, or one would wait.
    entry.state.service("s").service_ms = 100.0
    for _ in range(3):
        _send(entry)
    entry.deliver_update(server("b", 4, incarnation=2))
    _tick(entry, 2 * EXPECTED_MS)
    entry.deliver_load_report("a", SpeedReport(2, 0, 2))
    missing = [
        sent.missing_since_ms is not None
        for sent in entry.state.server("a").own_requests.values()
    ]
    assert sum(missing) == 1


# The answer was dropped for another attempt, whose end the caller got as 502.
@pytest.mark.parametrize("first", [1, 2])
def test_an_error_of_a_server_is_forwarded_if_the_other_fails(entry, first):
    name = _send(entry)
    _tick(entry, OVERDUE_FACTOR * EXPECTED_MS + 1)
    entry.deliver_load_report(_other(name), IDLE)
    assert not entry.deliver_answer(500, attempt=first)
    effects = entry.fail_attempt(FailureKind.LOST, attempt=3 - first)
    assert effects_of_type(effects, fx.ForwardAnswer) == [fx.ForwardAnswer(1)]
    assert not effects_of_type(effects, fx.RefuseRequest)


def test_an_error_of_a_server_is_forwarded_if_no_other_has_room(entry):
    name = _send(entry)
    _tick(entry, 50.0)
    assert not effects_of_type(entry.deliver_answer(500), fx.ForwardAnswer)
    effects = entry.deliver_load_report(_other(name), SpeedReport(2, 9, 2))
    assert effects == [fx.ForwardAnswer(1)]


@pytest.mark.parametrize("is_refusal", [True, False])
def test_an_error_of_a_server_is_forwarded_after_the_retry_fails(
    entry, is_refusal
):
    name = _send(entry)
    _tick(entry, 50.0)
    entry.deliver_answer(500)
    entry.deliver_load_report(_other(name), IDLE)
    if is_refusal:
        effects = entry.deliver_answer(503, is_refusal=True, attempt=2)
        assert effects == [fx.ForwardAnswer(1)]
    else:
        effects = entry.reduce(DeadlineExpired(entry.now_ms, 1))
        assert effects == [fx.CancelRequest(1, 2), fx.ForwardAnswer(1)]


# The newest count was taken back, so that the one of the search, which expires
# earlier, allowed one retry too many.
def test_a_search_takes_back_its_own_count_of_a_retry(entry):
    name = _send(entry)
    window = entry.state.service("s").retry_window
    window.limits = attrs.evolve(window.limits, slack=4.0, ratio=0.0)
    _tick(entry, OVERDUE_FACTOR * EXPECTED_MS + 1)
    started_ms = entry.now_ms
    entry.now_ms += 600.0
    assert window.spend(entry.now_ms)
    assert not window.spend(entry.now_ms)
    entry.deliver_load_report(_other(name), SpeedReport(2, 9, 2))
    assert window.spend(entry.now_ms)
    assert not window.spend(started_ms + window.limits.window_ms + 500.0)


@pytest.mark.parametrize("is_answered", [True, False])
def test_a_search_that_ends_with_its_request_counts_as_no_retry(
    entry, is_answered
):
    _send(entry)
    window = entry.state.service("s").retry_window
    window.limits = attrs.evolve(window.limits, slack=2.0, ratio=0.0)
    _tick(entry, OVERDUE_FACTOR * EXPECTED_MS + 1)
    assert not window.spend(entry.now_ms)
    if is_answered:
        assert entry.deliver_answer() == [fx.ForwardAnswer(1)]
    else:
        entry.reduce(CallerDisconnected(entry.now_ms, 1))
    assert window.spend(entry.now_ms)


def test_the_log_names_the_server_that_has_the_overdue_request(entry):
    name = _send(entry)
    _tick(entry, OVERDUE_FACTOR * EXPECTED_MS + 1)
    entry.deliver_load_report(_other(name), IDLE)
    entry.fail_attempt(FailureKind.NOT_CONNECTED, attempt=2)
    entry.deliver_update(server("c", 3))
    entry.now_ms += 50.0
    effects = reduce_gateway(entry.state, Tick(entry.now_ms))
    lines = effects_of_type(effects, fx.Log)
    (line,) = (line for line in lines if line.event == "again")
    assert (line.fields["server"], line.fields["reason"]) == (name, "overdue")
