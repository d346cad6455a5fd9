"""Tests for the decisions of a gateway entry, without sockets or clocks."""

from __future__ import annotations

import attrs
import pytest

from gentianwall.config.routes import (
    RouteKind,
)
from gentianwall.control.messages import (
    FEATURE_ORGANISATIONS,
    FeedPoll,
    FeedRedirect,
)
from gentianwall.core.events import (
    CallerDisconnected,
    DrainStarted,
    FailureKind,
    Tick,
)
from gentianwall.core.refusals import Executed, RefusalReason
from gentianwall.gateway import effects as fx
from gentianwall.gateway.events import (
    DeadlineExpired,
    FeedArrived,
    LoadQueryEnded,
    ReachChecked,
    RecheckDue,
    RequestArrived,
    ServerCrashed,
)
from gentianwall.routing.reports import SpeedReport
from harness.gateway_entry import (
    CONFIGURATION,
    FULL,
    IDLE,
    Entry,
    effects_of_type,
    server,
    single_refusal,
)


def _allow_retry_slack(entry):
    """Advances time past the first 3 s, in which an entry uses no retry slack.

    Only later is the number of entries that share the slack reliable.
    """
    entry.now_ms += 4000.0
    entry.deliver_update(configuration=None)
    for name in "ab":
        entry.deliver_load_report(name, IDLE)


@pytest.fixture
def entry():
    """An entry with two idle servers and fresh load reports of both."""
    entry = Entry()
    entry.deliver_update(server("a", 1), server("b", 2))
    for name in "ab":
        entry.deliver_load_report(name, IDLE)
    return entry


def test_requests_wait_for_the_first_configuration_in_order():
    entry = Entry()
    for _ in range(2):
        assert not effects_of_type(entry.deliver_request(), fx.RefuseRequest)
    effects = entry.deliver_update(server("a", 1))
    assert [e.call_id for e in effects_of_type(effects, fx.QueryLoad)] == [1, 2]


def test_an_unrouted_request_is_refused_at_its_deadline_with_a_retry_after():
    entry = Entry()
    entry.deliver_request()
    refusal = single_refusal(entry.reduce(DeadlineExpired(2000.0, 1)))
    assert refusal.reason is RefusalReason.NOT_READY
    assert refusal.executed is Executed.NO
    assert refusal.retry_after_ms > 0


def test_an_unconfigured_entry_refuses_on_arrival_after_startup():
    entry = Entry()
    entry.now_ms += 60_000.0
    assert (
        single_refusal(entry.deliver_request()).reason
        is RefusalReason.NOT_READY
    )


def test_a_request_without_a_route_gets_404_and_never_503(entry):
    event = RequestArrived(1000.0, 5, "i", "b.example", "/safe/", 9.0, "")
    assert single_refusal(entry.reduce(event)).status == 404


def test_an_idle_server_of_average_speed_gets_the_request_at_once(entry):
    (sent,) = effects_of_type(entry.deliver_request(), fx.SendRequest)
    assert sent.left_ms == 1000.0
    assert sent.is_idempotent


def test_a_request_goes_to_the_server_with_the_best_fresh_report(entry):
    entry.deliver_load_report("a", FULL)
    for _ in range(2):
        (sent,) = effects_of_type(entry.deliver_request(), fx.SendRequest)
        assert sent.notice.key.server == "b"


def test_outdated_load_reports_are_queried_before_dispatch(entry):
    entry.now_ms += 200.0
    (query,) = effects_of_type(entry.deliver_request(), fx.QueryLoad)
    assert {n.key.server for n in query.notices} == {"a", "b"}
    assert not effects_of_type(
        entry.deliver_load_report("a", FULL), fx.SendRequest
    )
    (sent,) = effects_of_type(
        entry.deliver_load_report("b", IDLE), fx.SendRequest
    )
    assert sent.notice.key.server == "b"


def test_a_request_is_sent_even_if_no_load_report_arrives(entry):
    entry.now_ms += 200.0
    entry.deliver_request()
    effects = entry.reduce(RecheckDue(entry.now_ms + 12.0, entry.last_call_id))
    assert effects_of_type(effects, fx.SendRequest)


def test_a_burst_on_full_servers_is_refused_early_with_a_retry_after(entry):
    for name in "ab":
        entry.deliver_load_report(name, SpeedReport(2, 4, 2))
    entry.state.service("s").service_ms = 160.0
    effects = entry.deliver_request()
    while effects_of_type(effects, fx.ScheduleRecheck):
        entry.now_ms = effects[-1].at_ms
        for name in "ab":
            entry.deliver_load_report(name, SpeedReport(2, 4, 2))
        effects = entry.reduce(RecheckDue(entry.now_ms, entry.last_call_id))
    refusal = single_refusal(effects)
    assert refusal.reason is RefusalReason.OVERLOADED
    assert refusal.retry_after_ms > 0
    assert entry.now_ms - 1000.0 <= 0.15 * 400.0


def test_a_server_is_not_free_because_its_report_is_a_little_older(entry):
    busy = SpeedReport(2, 0, 2)
    entry.now_ms += 50.0
    effects = entry.deliver_request(wait_ms=None)
    for name in "ab":
        entry.deliver_load_report(name, busy)
    for _ in range(5):
        entry.now_ms += 20.0
        effects = entry.reduce(RecheckDue(entry.now_ms, 1))
        assert not effects_of_type(effects, fx.SendRequest)
        if effects_of_type(effects, fx.RefuseRequest):
            return
        for name in "ab":
            effects += entry.deliver_load_report(name, busy)
        assert not effects_of_type(effects, fx.SendRequest)
    raise AssertionError("neither sent nor refused")


def test_a_request_past_its_target_time_still_gets_a_free_slot(entry):
    entry.state.service("s").service_ms = 160.0
    entry.deliver_request(wait_ms=1000.0)
    (sent,) = effects_of_type(
        entry.deliver_request(wait_ms=300.0), fx.SendRequest
    )
    assert sent.left_ms == 300.0


def test_a_request_that_cannot_meet_its_deadline_is_refused(entry):
    entry.state.service("s").service_ms = 160.0
    refusal = single_refusal(entry.deliver_request(wait_ms=50.0))
    assert refusal.reason is RefusalReason.OVERLOADED


def test_a_request_refused_by_a_server_is_retried_once_at_another(entry):
    _allow_retry_slack(entry)
    (first,) = effects_of_type(
        entry.deliver_request(RouteKind.NON_IDEMPOTENT), fx.SendRequest
    )
    (second,) = effects_of_type(
        entry.deliver_answer(503, is_refusal=True), fx.SendRequest
    )
    assert second.attempt == 2
    assert second.notice.key.server != first.notice.key.server
    refusal = single_refusal(
        entry.deliver_answer(503, is_refusal=True, attempt=2)
    )
    assert refusal.reason is RefusalReason.SERVER_REFUSED
    assert refusal.executed is Executed.NO


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.UPLOAD])
@pytest.mark.parametrize(
    "failure",
    [
        FailureKind.LOST,
        FailureKind.TRUNCATED,
        FailureKind.MALFORMED,
        FailureKind.MISMATCHED,
    ],
)
def test_a_request_that_may_have_been_executed_is_never_retried(
    entry, kind, failure
):
    _allow_retry_slack(entry)
    entry.deliver_request(kind)
    effects = entry.fail_attempt(failure)
    assert not effects_of_type(effects, fx.SendRequest)
    refusal = single_refusal(effects)
    assert refusal.executed is Executed.UNKNOWN
    assert refusal.status in (502, 504)


def test_safe_requests_are_retried_within_the_budget(entry):
    _allow_retry_slack(entry)
    assert 0 < _count_retries(entry, 40) <= 0.2 * 40 + 20


def _count_retries(entry, requests):
    """Returns how many requests are retried when each loses its connection."""
    retries = 0
    for _ in range(requests):
        entry.deliver_request()
        for name in "ab":
            entry.state.server(name).paused_until_ms = float("-inf")
            entry.deliver_load_report(name, IDLE)
        retries += len(
            effects_of_type(
                entry.fail_attempt(FailureKind.LOST), fx.SendRequest
            )
        )
        entry.reduce(CallerDisconnected(entry.now_ms, entry.last_call_id))
    return retries


def test_a_new_entry_uses_no_retry_slack_before_the_entry_count_is_known(entry):
    assert _count_retries(entry, 40) <= 0.2 * 40


def test_a_lower_entry_count_raises_the_retry_slack_only_after_a_delay(entry):
    entry.now_ms += 4000.0
    entry.deliver_update(configuration=None, entries=40)
    entry.now_ms += 1000.0
    entry.deliver_update(configuration=None, entries=1)
    assert _count_retries(entry, 40) <= 0.2 * 40 + 20.0 / 40
    entry.now_ms += 60_000.0
    entry.deliver_update(configuration=None, entries=1)
    assert _count_retries(entry, 40) > 0.2 * 40 + 20.0 / 40


def test_a_failed_connection_counts_neither_as_attempt_nor_as_execution(entry):
    entry.deliver_request(RouteKind.NON_IDEMPOTENT)
    effects = entry.fail_attempt(FailureKind.NOT_CONNECTED)
    (sent,) = effects_of_type(effects, fx.SendRequest)
    assert sent.attempt == 1
    effects = entry.fail_attempt(FailureKind.NOT_CONNECTED)
    assert single_refusal(effects).executed is Executed.NO


def test_a_successful_but_unauthentic_answer_is_not_forwarded(entry):
    entry.deliver_request(RouteKind.NON_IDEMPOTENT)
    effects = entry.deliver_answer(200, is_authentic=False)
    assert not effects_of_type(effects, fx.ForwardAnswer)
    assert single_refusal(effects).status == 502


def test_an_authentic_error_answer_is_forwarded(entry):
    entry.deliver_request(RouteKind.NON_IDEMPOTENT)
    assert effects_of_type(entry.deliver_answer(500), fx.ForwardAnswer)


def test_a_late_answer_to_an_earlier_attempt_is_ignored(entry):
    _allow_retry_slack(entry)
    entry.deliver_request()
    entry.fail_attempt(FailureKind.LOST)
    assert entry.deliver_answer(200, attempt=1) == []
    assert effects_of_type(
        entry.deliver_answer(200, attempt=2), fx.ForwardAnswer
    )


def test_a_request_is_cancelled_when_its_caller_disconnects(entry):
    entry.deliver_request()
    effects = entry.reduce(CallerDisconnected(entry.now_ms, entry.last_call_id))
    assert effects_of_type(effects, fx.CancelRequest)
    assert not entry.state.server("a").own_requests
    assert not entry.state.server("b").own_requests


def test_a_sent_request_gets_504_when_its_deadline_expires(entry):
    entry.deliver_request()
    effects = entry.reduce(
        DeadlineExpired(entry.now_ms + 1000.0, entry.last_call_id)
    )
    assert effects_of_type(effects, fx.CancelRequest)
    assert single_refusal(effects).status == 504


def test_an_old_notice_never_replaces_a_newer_configuration(entry):
    older = attrs.evolve(CONFIGURATION, number=5, routes=())
    entry.deliver_update(number=5, configuration=older)
    assert entry.state.number == 7
    assert entry.state.table.configuration is CONFIGURATION


@pytest.mark.parametrize("state", ["draining", "left"])
def test_a_draining_or_deregistered_server_gets_no_request(entry, state):
    entry.deliver_update(server("a", 3, state), configuration=None)
    # Four requests on one server must still be in time, or one would wait.
    entry.state.service("s").service_ms = 80.0
    for _ in range(4):
        (sent,) = effects_of_type(entry.deliver_request(), fx.SendRequest)
        assert sent.notice.key.server == "b"


def test_a_restarted_server_is_treated_as_a_new_server(entry):
    entry.state.server("a").record_failure(entry.now_ms)
    effects = entry.deliver_update(
        server("a", 3, incarnation=2), configuration=None
    )
    assert effects_of_type(effects, fx.CloseIdleConnections)
    assert entry.state.server("a").failure_rate == 0.0


def test_a_mismatched_server_gets_no_request(entry):
    entry.deliver_load_report("a", None, is_mismatched=True)
    # Three requests on one server must still be in time, or one would wait.
    entry.state.service("s").service_ms = 100.0
    for _ in range(3):
        (sent,) = effects_of_type(entry.deliver_request(), fx.SendRequest)
        assert sent.notice.key.server == "b"


def test_a_silent_server_is_removed_when_its_load_query_fails(entry):
    entry.deliver_update(server("a", 3, "silent"), configuration=None)
    entry.reduce(LoadQueryEnded(entry.now_ms, "a", False, False, False, None))
    assert entry.state.server("a") is None


def test_a_crash_is_reported_and_a_quarantined_request_refused(entry):
    crash = ServerCrashed(entry.now_ms, "a", "s", "f" * 32)
    entry.reduce(crash)
    reached = ReachChecked(entry.now_ms, "b", True)
    (report,) = effects_of_type(entry.reduce(reached), fx.SendToControl)
    assert report.receiver == "c1"
    assert report.message.command.fingerprint == "f" * 32
    entry.state.quarantines = frozenset(["f" * 32])
    refusal = single_refusal(entry.deliver_request(fingerprint="f" * 32))
    assert refusal.reason is RefusalReason.QUARANTINED
    assert refusal.executed is Executed.NO


def test_all_control_instances_are_polled_once_the_leader_is_silent(entry):
    effects = entry.reduce(Tick(entry.now_ms + 500.0))
    assert [e.receiver for e in effects_of_type(effects, fx.SendToControl)] == [
        "c1"
    ]
    effects = entry.reduce(Tick(entry.now_ms + 2000.0))
    polls = effects_of_type(effects, fx.SendToControl)
    assert [e.receiver for e in polls] == ["c1", "c2"]
    poll = FeedPoll(7, 2, 0, True, features=FEATURE_ORGANISATIONS)
    assert polls[0].message == poll
    entry.reduce(FeedArrived(3100.0, "c2", FeedRedirect("c9")))
    assert "c9" in entry.state.controls


def test_a_retry_that_waits_is_not_cancelled_at_its_former_server(entry):
    _allow_retry_slack(entry)
    entry.state.service("s").service_ms = 160.0
    entry.deliver_request(RouteKind.NON_IDEMPOTENT)
    for name in "ab":
        entry.deliver_load_report(name, SpeedReport(2, 0, 2))
    effects = entry.deliver_answer(status=503, is_refusal=True)
    assert effects_of_type(effects, fx.ScheduleRecheck)
    effects = entry.reduce(CallerDisconnected(entry.now_ms, entry.last_call_id))
    assert not effects_of_type(effects, fx.CancelRequest)


def test_a_draining_entry_is_unready_and_still_serves(entry):
    entry.reduce(DrainStarted(entry.now_ms))
    assert not entry.state.is_ready
    assert effects_of_type(entry.deliver_request(), fx.SendRequest)


def test_servers_in_the_entrys_failure_domain_are_preferred_unless_busy(entry):
    remote = server("f", 3)
    remote = attrs.evolve(
        remote, notice=attrs.evolve(remote.notice, failure_domain="y", port=81)
    )
    entry.deliver_update(remote, configuration=None)
    entry.deliver_load_report("f", IDLE)
    for name in "ab":
        entry.deliver_load_report(name, SpeedReport(0, 0, 2, 1.2))
    (sent,) = effects_of_type(entry.deliver_request(), fx.SendRequest)
    assert sent.notice.key.server in "ab"
    for name in "ab":
        entry.deliver_load_report(name, SpeedReport(1, 0, 2))
    entry.deliver_load_report("f", IDLE)
    (sent,) = effects_of_type(entry.deliver_request(), fx.SendRequest)
    assert sent.notice.key.server == "f"
