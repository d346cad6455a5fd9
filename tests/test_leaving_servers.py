"""Tests that servers which state in answers that they leave get no requests.

A server that leaves may be cut off from the control instances, so that only
its answers tell. Later than 2 s after an entry has passed on such an answer, no
request reaches that server from there.
"""

from __future__ import annotations

import time

import pytest

from gentianwall.control.messages import PeerList
from gentianwall.core.refusals import Executed, RefusalReason
from gentianwall.gateway import effects as fx
from gentianwall.gateway.events import (
    FeedArrived,
    LoadQueryEnded,
    PeerAnswered,
    ServerAnswered,
)
from harness.fleet import load_entries, registered_servers, running_fleet
from harness.gateway_entry import (
    IDLE,
    Entry,
    effects_of_type,
    server,
    single_refusal,
)

DRAIN_S = 2.0
LOAD_S = 4.0
REQUESTS_PER_ENTRY_PER_S = 20.0


@pytest.fixture
def fleet(tmp_path):
    """Three control instances and two entries, with a configuration."""
    with running_fleet(tmp_path, controls=3, entries=2) as fleet:
        yield fleet


@pytest.fixture
def servers(fleet):
    """Three servers, known to all entries."""
    with registered_servers(fleet, 3) as servers:
        yield servers


def test_a_server_that_says_it_leaves_gets_no_requests_after_the_drain_time(
    fleet, servers
):
    leaving = servers[0]
    leaving.is_leaving = True
    statuses = load_entries(
        fleet, time.monotonic() + LOAD_S, REQUESTS_PER_ENTRY_PER_S
    )
    for entry in fleet.entries:
        at_s = [
            at
            for at, request_id in zip(
                leaving.executed_at_s, leaving.executed_ids, strict=True
            )
            if request_id.startswith(f"{entry.host}-")
        ]
        if at_s:
            passed_on_s = at_s[0] + leaving.service_s
            assert at_s[-1] <= passed_on_s + DRAIN_S
    assert set(statuses) == {200}


@pytest.fixture
def entry():
    """An entry with two idle servers and fresh load reports of both."""
    entry = Entry()
    entry.deliver_update(server("a", 1), server("b", 2))
    for name in "ab":
        entry.deliver_load_report(name, IDLE)
    return entry


def _answer_leaving(entry):
    """Lets the server of the last request state that it leaves."""
    entry.reduce(
        ServerAnswered(
            at_ms=entry.now_ms,
            call_id=entry.last_call_id,
            attempt=1,
            status=200,
            is_refusal=False,
            is_authentic=True,
            report=IDLE,
            is_leaving=True,
        )
    )


def _state_in_answer(entry):
    effects = entry.deliver_request()
    (sent,) = effects_of_type(effects, fx.SendRequest)
    _answer_leaving(entry)
    return sent.notice.key.server


def _state_in_health_check(entry):
    entry.reduce(
        LoadQueryEnded(
            entry.now_ms, "a", True, False, False, IDLE, is_leaving=True
        )
    )
    return "a"


def _state_through_a_peer(entry):
    entry.reduce(FeedArrived(entry.now_ms, "c1", PeerList(("10.0.0.7",))))
    entry.state.reachability.is_partitioned = True
    entry.deliver_request()
    event = PeerAnswered(entry.now_ms, 1, 1, 200, "a", None, is_leaving=True)
    entry.reduce(event)
    entry.state.reachability.is_partitioned = False
    return "a"


@pytest.mark.parametrize(
    "state", [_state_in_answer, _state_in_health_check, _state_through_a_peer]
)
def test_a_leaving_server_is_excluded_until_it_starts_anew(entry, state):
    name = state(entry)
    (other,) = {"a", "b"} - {name}
    for _ in range(20):
        effects = entry.deliver_request()
        for effect in effects_of_type(effects, fx.SendRequest):
            assert effect.notice.key.server == other
            entry.deliver_answer()
        for query in effects_of_type(effects, fx.QueryLoad):
            assert {n.key.server for n in query.notices} == {other}
        entry.now_ms += 100.0
    # A late heartbeat that lists it again changes nothing.
    entry.deliver_update(server(name, 3, state="left"), configuration=None)
    entry.deliver_update(server(name, 4), configuration=None)
    assert not entry.state.may_send(name, entry.now_ms)
    entry.deliver_update(server(name, 5, incarnation=2), configuration=None)
    assert entry.state.may_send(name, entry.now_ms)


def test_requests_are_refused_at_once_while_every_server_leaves(entry):
    for name in "ab":
        entry.reduce(
            LoadQueryEnded(
                entry.now_ms, name, True, False, False, IDLE, is_leaving=True
            )
        )
    refusal = single_refusal(entry.deliver_request())
    assert refusal.reason is RefusalReason.NO_SERVER
    assert refusal.executed is Executed.NO
