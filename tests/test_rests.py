"""Tests that servers which ask for rest are left alone, without sockets."""

from __future__ import annotations

import pytest

from gentianwall.config.routes import RouteKind
from gentianwall.core.refusals import Executed, RefusalReason
from gentianwall.gateway import effects as fx
from gentianwall.gateway.events import LoadQueryEnded, ServerAnswered
from gentianwall.gateway.rests import RELAPSE_MS
from gentianwall.routing.reports import parse_rest_ms
from harness.gateway_entry import (
    IDLE,
    Entry,
    effects_of_type,
    server,
    single_refusal,
)

REST_MS = 3000.0


@pytest.fixture
def entry():
    """An entry with two idle servers that may use the slack for retries."""
    entry = Entry()
    entry.deliver_update(server("a", 1), server("b", 2))
    entry.now_ms += 4000.0
    entry.deliver_update(configuration=None)
    _report_all(entry)
    return entry


def _report_all(entry):
    for name in "ab":
        entry.deliver_load_report(name, IDLE)


def _turn_away(entry, attempt=1, rest_ms=REST_MS):
    return entry.reduce(
        ServerAnswered(
            at_ms=entry.now_ms,
            call_id=entry.last_call_id,
            attempt=attempt,
            status=503,
            is_refusal=True,
            is_authentic=True,
            report=IDLE,
            rest_ms=rest_ms,
        )
    )


def _sent(effects):
    (sent,) = effects_of_type(effects, fx.SendRequest)
    return sent.notice.key.server


def _named(effects):
    """Returns all servers that requests, queries or checks go to."""
    names = {
        notice.key.server
        for query in effects_of_type(effects, fx.QueryLoad)
        for notice in query.notices
    }
    for kind in (fx.SendRequest, fx.CheckOverdue, fx.CheckReach):
        names |= {e.notice.key.server for e in effects_of_type(effects, kind)}
    return names


def _deliver_all(entry, until_ms, names):
    """Sends a request each 100 ms; returns the servers it involved."""
    involved = set()
    while entry.now_ms < until_ms:
        effects = entry.deliver_request()
        involved |= _named(effects)
        for name in names:
            effects = entry.deliver_load_report(name, IDLE)
            involved |= _named(effects)
            if effects_of_type(effects, fx.SendRequest):
                entry.deliver_answer()
        entry.now_ms += 100.0
    return involved


@pytest.mark.parametrize("kind", list(RouteKind))
def test_a_resting_server_gets_nothing_until_its_rest_ends(entry, kind):
    resting = _sent(entry.deliver_request(kind))
    (other,) = {"a", "b"} - {resting}
    assert _sent(_turn_away(entry)) == other
    entry.deliver_answer(attempt=2)
    until_ms = entry.now_ms + REST_MS
    assert _deliver_all(entry, until_ms, other) == {other}
    assert resting in _deliver_all(entry, until_ms + 3000.0, "ab")


def _penalty_of_refusing(entry):
    server_state = entry.state.server(_sent(entry.deliver_request()))
    _turn_away(entry)
    return server_state.penalty(entry.now_ms)


def test_only_a_refusal_soon_after_a_rest_counts_as_a_failure(entry):
    """A server that had rested got no requests for seconds beyond its rest."""
    entry.deliver_update(server("b", 3, state="left"))
    assert _penalty_of_refusing(entry) == 1.0
    entry.now_ms += REST_MS + 1.0
    _report_all(entry)
    assert _penalty_of_refusing(entry) > 1.0


def test_a_shorter_rest_does_not_end_a_longer_one(entry):
    rests = entry.state.rests
    rests.record("a", 3000.0, 0.0)
    rests.record("a", 100.0, 50.0)
    assert rests.wait_ms("a", 1000.0) == 2000.0
    rests.record("b", 10.0, 3000.0 + RELAPSE_MS)
    assert set(rests.until_ms) == {"b"}


def test_a_health_check_may_ask_for_rest_too(entry):
    entry.reduce(
        LoadQueryEnded(
            entry.now_ms, "a", True, False, False, IDLE, rest_ms=REST_MS
        )
    )
    assert not entry.state.may_send("a", entry.now_ms + REST_MS - 1.0)
    assert entry.state.may_send("a", entry.now_ms + REST_MS)


def test_requests_are_refused_at_once_while_every_server_rests(entry):
    entry.deliver_request()
    _turn_away(entry)
    effects = _turn_away(entry, attempt=2, rest_ms=2000.0)
    assert single_refusal(effects).executed is Executed.NO
    effects = entry.deliver_request()
    assert not _named(effects)
    refusal = single_refusal(effects)
    assert refusal.reason is RefusalReason.OVERLOADED
    assert refusal.executed is Executed.NO
    assert 2000.0 <= refusal.retry_after_ms <= REST_MS


def test_a_rest_outlives_the_removal_of_the_server_but_not_its_restart(entry):
    entry.state.rests.record("a", REST_MS, entry.now_ms)
    entry.deliver_update(server("a", 3, state="left"), configuration=None)
    assert entry.state.server("a") is None
    entry.deliver_update(server("a", 4), configuration=None)
    assert not entry.state.may_send("a", entry.now_ms)
    entry.deliver_update(server("a", 5, incarnation=2), configuration=None)
    assert entry.state.may_send("a", entry.now_ms)


@pytest.mark.parametrize(
    ("text", "rest_ms"),
    [
        ("3", 3000.0),
        ("0.25", 250.0),
        ("0", 0.0),
        ("-1", 0.0),
        ("nan", 0.0),
        ("inf", 0.0),
        ("Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
        ("", 0.0),
    ],
)
def test_a_retry_after_is_read_in_seconds(text, rest_ms):
    assert parse_rest_ms(text) == rest_ms
