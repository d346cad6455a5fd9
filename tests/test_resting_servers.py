"""Tests that entries leave a server alone for as long as it asks them to.

A server that turns a request away with 503 may name in `Retry-After` for how
long it wants nothing from that entry. From half a second after that answer to
the end of that time, two requests of the entry may still reach it.
"""

from __future__ import annotations

import time

import pytest

from harness.fleet import load_entries, registered_servers, running_fleet

REST_S = 3.0
TRANSIT_S = 0.5
MOST_DURING_REST = 2
BEFORE_S = 3.5
LOAD_S = 5.0
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


def test_a_server_that_asks_for_rest_gets_no_more_requests(fleet, servers):
    resting = servers[0]
    # Only entries that know how many they are may use the slack of the limit on
    # retries, and have a request that was turned away answered by another one.
    load_entries(fleet, time.monotonic() + BEFORE_S, REQUESTS_PER_ENTRY_PER_S)
    started_s = time.monotonic()
    resting.rest_until_s = started_s + REST_S
    statuses = load_entries(fleet, started_s + LOAD_S, REQUESTS_PER_ENTRY_PER_S)
    told_s = []
    for entry in fleet.entries:
        at_s = [
            at
            for at, request_id in resting.turned_away
            if request_id.startswith(f"{entry.host}-")
        ]
        assert at_s, entry.host
        told_s.append(at_s[0])
        late = [at for at in at_s if at > at_s[0] + TRANSIT_S]
        assert len(late) <= MOST_DURING_REST
    # It wants nothing, so it is not asked for its load either.
    checks = [
        at
        for at in resting.checked_at_s
        if max(told_s) + TRANSIT_S < at < resting.rest_until_s
    ]
    assert not checks
    # The other servers have room for all requests.
    assert set(statuses) == {200}
    # After its rest it gets requests again.
    rested = [at for at in resting.executed_at_s if at > resting.rest_until_s]
    assert rested


def test_requests_are_refused_at_once_while_all_servers_rest(fleet, servers):
    rest_until_s = time.monotonic() + REST_S
    for server in servers:
        server.rest_until_s = rest_until_s
    for number in range(8):
        fleet.send_request(fleet.entries[0], f"told-{number}")
    sent_s = time.monotonic()
    answer = fleet.send_request(fleet.entries[0], "late")
    assert answer.status == 503
    assert time.monotonic() - sent_s < TRANSIT_S
    assert not any(
        request_id == "late"
        for server in servers
        for _, request_id in server.turned_away
    )
    # The caller is told to return when the first server may be used again.
    left_s = rest_until_s - sent_s
    assert left_s - 0.1 <= float(answer.headers["Retry-After"]) <= left_s + 1.0
