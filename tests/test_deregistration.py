"""Tests that a server which has deregistered gets no more requests."""

from __future__ import annotations

import time

import pytest

from gentianwall.claims.commands import Done
from gentianwall.claims.register import apply_command
from gentianwall.control.messages import CommandReply
from gentianwall.runtime.leader_client import LeaderClient, LeaderTimeout
from gentianwall.timers import monotonic_ms
from harness.fleet import (
    FakeServer,
    load_entries,
    registered_servers,
    running_fleet,
    running_server,
    wait_until,
)
from harness.leader import following_runtime

LOAD_S = 2.0
REQUESTS_PER_ENTRY_PER_S = 40.0


@pytest.fixture
def fleet(tmp_path):
    """Three control instances and an entry, with a configuration."""
    with running_fleet(tmp_path, controls=3, entries=1) as fleet:
        yield fleet


# It got requests until it ended, and those at work then were broken off.
def test_a_server_gets_no_requests_if_its_first_heartbeat_comes_last(fleet):
    server = FakeServer("i-9", "orders", "127.0.3.9")
    with registered_servers(fleet, 2), running_server(server):
        delayed = server.heartbeat()
        wait_until(
            "the deregistration is acknowledged",
            lambda: fleet.deregister(fleet.controls[1], server) == 200,
        )
        for node in fleet.controls:
            assert fleet.deliver_heartbeat(node, server, delayed) == 200
        statuses = load_entries(
            fleet, time.monotonic() + LOAD_S, REQUESTS_PER_ENTRY_PER_S
        )
    assert set(statuses) == {200}
    assert not server.executed_ids


@pytest.fixture
def runtime():
    """The runtime of a control instance that knows no servers."""
    return following_runtime(monotonic_ms())


def _deregister(runtime, incarnation):
    """Deregisters a server; returns client, requests and results."""
    client = LeaderClient(runtime)
    results = []
    client.deregister("i-1", incarnation, results.append)
    requests = [message for _, message in runtime.links.sent]
    runtime.links.sent.clear()
    return client, requests, results


@pytest.mark.parametrize("is_reversed", [False, True])
def test_an_unknown_start_is_acknowledged_once_its_end_is_recorded(
    runtime, is_reversed
):
    client, requests, results = _deregister(runtime, 7)
    if is_reversed:
        requests.reverse()
    register = runtime.state.replica.register
    for request in requests:
        assert not results
        result = apply_command(register, request.command)
        client.receive(CommandReply(request.request_id, result))
    assert results == [Done()]
    record = register.registry.servers["i-1"]
    assert (record.notice.state, record.notice.incarnation) == ("left", 7)
    assert len(_deregister(runtime, 7)[1]) == 1


def test_a_deregistration_without_a_leader_is_reported_once(
    runtime, monkeypatch
):
    client, requests, results = _deregister(runtime, 7)
    client.receive(CommandReply(requests[0].request_id, Done()))
    late_ms = monotonic_ms() + 10_000.0
    monkeypatch.setattr(
        "gentianwall.runtime.leader_client.monotonic_ms", lambda: late_ms
    )
    client.tick()
    client.receive(CommandReply(requests[1].request_id, Done()))
    assert results == [LeaderTimeout()]
