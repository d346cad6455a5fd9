"""Tests which requests an entry that stops passes on, without a network."""

from __future__ import annotations

import attrs
import pytest

from gentianwall.commands.fleet_entry import REFUSE_BEFORE_KILL_MS
from gentianwall.commands.signals import EXIT_BEFORE_KILL_MS, grace_left_ms
from gentianwall.config.routes import RouteKind
from gentianwall.control.messages import PeerList
from gentianwall.core.events import DrainStarted, FailureKind
from gentianwall.core.refusals import Executed, RefusalReason
from gentianwall.gateway import effects as fx
from gentianwall.gateway.events import (
    DrainEnded,
    FeedArrived,
    ReachChecked,
    RecheckDue,
)
from gentianwall.gateway.stopping import LIKELY_FACTOR, RETRY_AFTER_MS
from harness.gateway_entry import (
    CONFIGURATION,
    FULL,
    IDLE,
    Entry,
    effects_of_type,
    server,
    single_refusal,
)

GRACE_MS = 6000.0
EXPECTED_MS = 1100.0
# The target time of the routes is shorter.
LIKELY_MS = LIKELY_FACTOR * EXPECTED_MS
LONG_WAIT_MS = 16_000.0
# Callers of these routes may wait for longer than the grace period.
PATIENT = attrs.evolve(
    CONFIGURATION,
    number=8,
    routes=tuple(
        attrs.evolve(route, timeout_ms=LONG_WAIT_MS)
        for route in CONFIGURATION.routes
    ),
)


@pytest.fixture
def entry():
    """An entry with two idle servers that stops in `GRACE_MS`."""
    entry = Entry()
    entry.deliver_update(
        server("a", 1), server("b", 2), number=8, configuration=PATIENT
    )
    entry.state.service("s").service_ms = EXPECTED_MS
    entry.reduce(DrainStarted(entry.now_ms, entry.now_ms + GRACE_MS))
    return entry


def _send(entry, at_ms, kind=RouteKind.SAFE, wait_ms=LONG_WAIT_MS):
    """Sends a request at a time after the stop began; returns the effects."""
    entry.now_ms = 1000.0 + at_ms
    for name in "ab":
        entry.deliver_load_report(name, IDLE)
    return entry.deliver_request(kind, wait_ms)


def _assert_refused(effects):
    refusal = single_refusal(effects)
    assert not effects_of_type(effects, fx.SendRequest)
    assert (refusal.status, refusal.executed) == (503, Executed.NO)
    assert refusal.retry_after_ms == RETRY_AFTER_MS


@pytest.mark.parametrize("kind", list(RouteKind))
@pytest.mark.parametrize("wait_ms", [500.0, 2000.0, 5999.0])
def test_a_request_whose_wait_ends_before_the_process_is_sent(
    entry, kind, wait_ms
):
    last_ms = GRACE_MS - wait_ms
    for at_ms in (0.0, last_ms / 2, last_ms):
        # Short waits are too short for longer services at any moment.
        entry.state.service("s").service_ms = 300.0
        effects = _send(entry, at_ms, kind, wait_ms)
        assert effects_of_type(effects, fx.SendRequest), at_ms
        entry.deliver_answer()


@pytest.mark.parametrize("at_ms", [0.0, 2000.0, 2600.0])
def test_a_repeatable_request_that_is_likely_in_time_is_sent(entry, at_ms):
    assert effects_of_type(_send(entry, at_ms), fx.SendRequest)


@pytest.mark.parametrize("at_ms", [2800.0, 5000.0, 6000.0, 6100.0])
@pytest.mark.parametrize("wait_ms", [LONG_WAIT_MS, 3300.0])
def test_a_request_that_might_be_cut_is_refused_as_not_run(
    entry, at_ms, wait_ms
):
    for kind in RouteKind:
        _assert_refused(_send(entry, at_ms, kind, wait_ms))


# Servers that became slower had not answered at the end: callers got 504.
@pytest.mark.parametrize("at_ms", [3000.0, 3200.0, 4000.0])
def test_a_late_repeatable_request_needs_its_whole_wait(entry, at_ms):
    entry.state.service("s").service_ms = 300.0
    for kind in RouteKind:
        _assert_refused(_send(entry, at_ms, kind, GRACE_MS - at_ms + 1.0))
        effects = _send(entry, at_ms, kind, GRACE_MS - at_ms)
        assert effects_of_type(effects, fx.SendRequest)
        entry.deliver_answer()


@pytest.mark.parametrize("at_ms", [0.0, 3000.0, 5999.0])
def test_a_request_that_may_run_once_needs_its_whole_wait(entry, at_ms):
    kind = RouteKind.NON_IDEMPOTENT
    _assert_refused(_send(entry, at_ms, kind, GRACE_MS - at_ms + 1.0))


def test_the_time_at_a_busy_server_decides(entry):
    entry.now_ms += GRACE_MS - LIKELY_MS - 1.0
    for name in "ab":
        entry.deliver_load_report(name, attrs.evolve(IDLE, running=1))
    _assert_refused(entry.deliver_request(wait_ms=LONG_WAIT_MS))


def test_a_request_that_queries_servers_is_refused_once_it_is_too_late(entry):
    for name in "ab":
        entry.deliver_load_report(name, IDLE)
    entry.now_ms += GRACE_MS - LIKELY_MS - 1.0
    assert effects_of_type(
        entry.deliver_request(wait_ms=LONG_WAIT_MS), fx.QueryLoad
    )
    entry.now_ms += 12.0
    _assert_refused(entry.reduce(RecheckDue(entry.now_ms, 1)))


@pytest.mark.parametrize(
    ("kind", "status"),
    [(FailureKind.LOST, 502), (FailureKind.NOT_CONNECTED, 503)],
)
def test_a_request_is_not_retried_when_that_might_be_cut(entry, kind, status):
    window = entry.state.service("s").retry_window
    window.limits = attrs.evolve(window.limits, ratio=2.0)
    _send(entry, 1000.0)
    entry.now_ms = 1000.0 + GRACE_MS - LIKELY_MS + 1.0
    for name in "ab":
        entry.deliver_load_report(name, IDLE)
    effects = entry.fail_attempt(kind)
    assert not effects_of_type(effects, fx.SendRequest)
    assert single_refusal(effects).status == status


def test_every_open_request_is_answered_at_the_end(entry):
    _send(entry, 1000.0)
    entry.now_ms += 1500.0
    entry.deliver_request()
    entry.now_ms = 1000.0 + GRACE_MS
    effects = entry.reduce(DrainEnded(entry.now_ms))
    refusals = {
        effect.call_id: (effect.refusal.status, effect.refusal.executed)
        for effect in effects_of_type(effects, fx.RefuseRequest)
    }
    assert refusals == {1: (504, Executed.UNKNOWN), 2: (503, Executed.NO)}
    assert not entry.state.calls


# It got 504, as if it might have run.
def test_a_request_that_was_turned_away_is_not_run_at_the_end(entry):
    entry.now_ms += 1500.0
    for name in "ab":
        entry.deliver_load_report(name, IDLE)
    window = entry.state.service("s").retry_window
    window.limits = attrs.evolve(window.limits, ratio=2.0)
    entry.state.service("s").service_ms = 900.0
    entry.deliver_request()
    entry.now_ms += 100.0
    effects = entry.deliver_answer(503, is_refusal=True)
    assert effects_of_type(effects, fx.QueryLoad)
    _assert_refused(entry.reduce(DrainEnded(entry.now_ms)))


# A request that waited for load reports was relayed although it might be cut.
@pytest.mark.parametrize(
    ("at_ms", "is_relayed"), [(0.0, True), (GRACE_MS - LIKELY_MS + 1.0, False)]
)
def test_a_waiting_request_is_relayed_only_if_it_is_over_in_time(
    entry, at_ms, is_relayed
):
    entry.reduce(FeedArrived(entry.now_ms, "c1", PeerList(("10.0.0.7",))))
    entry.state.service("s").has_load_reports = True
    effects = entry.deliver_request(wait_ms=LONG_WAIT_MS)
    assert effects_of_type(effects, fx.QueryLoad)
    entry.now_ms = 1000.0 + at_ms
    entry.state.reachability.unanswered = {"a"}
    effects = entry.reduce(ReachChecked(entry.now_ms, "a", False))
    relayed = effects_of_type(effects, fx.RelayRequest)
    assert bool(relayed) is is_relayed
    if not is_relayed:
        assert single_refusal(effects).reason is RefusalReason.NOT_READY
        assert single_refusal(effects).executed is Executed.NO
    assert not entry.state.querying


def test_requests_without_a_configuration_are_answered_at_the_end():
    entry = Entry()
    assert not effects_of_type(entry.deliver_request(), fx.RefuseRequest)
    entry.reduce(DrainStarted(entry.now_ms, entry.now_ms + 100.0))
    late = single_refusal(entry.deliver_request())
    waiting = single_refusal(entry.reduce(DrainEnded(entry.now_ms + 100.0)))
    for refusal in (late, waiting):
        assert refusal.reason is RefusalReason.NOT_READY
        assert refusal.executed is Executed.NO


def test_a_request_without_a_free_server_is_refused_as_usual(entry):
    for name in "ab":
        entry.deliver_load_report(name, FULL)
    refusal = single_refusal(entry.deliver_request(wait_ms=500.0))
    assert refusal.reason is RefusalReason.OVERLOADED


@pytest.mark.parametrize("grace_s", [0.1, 1.0, 6.0])
def test_there_is_time_to_write_the_last_answers(grace_s):
    end_ms = grace_left_ms(grace_s, REFUSE_BEFORE_KILL_MS)
    exit_ms = grace_left_ms(grace_s, EXIT_BEFORE_KILL_MS)
    assert 0.0 < end_ms < exit_ms < 1000.0 * grace_s
