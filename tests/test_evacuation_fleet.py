"""Tests that evacuations hold in a fleet of real processes while some fail."""

from __future__ import annotations

import time

import pytest

from harness.fleet import (
    CONTROL_PORT,
    METRICS_PORT,
    FakeServer,
    call,
    document,
    load_entries,
    replace_configuration_until_acknowledged,
    running_fleet,
    running_server,
    send_heartbeat_until_acknowledged,
    set_evacuation_until_acknowledged,
    wait_until,
    wait_until_serving,
)

# An evacuation must be in force 5 s after its acknowledgement at the latest;
# notices are pushed, so that a poll interval is enough.
IN_FORCE_S = 1.0


@pytest.fixture
def fleet(tmp_path):
    """Three control instances and two entries, with a configuration."""
    with running_fleet(tmp_path, controls=3, entries=2) as fleet:
        yield fleet


@pytest.fixture
def servers(fleet):
    """A server in the failure domain of the entries and one in another."""
    near = FakeServer("near", "orders", "127.0.3.1")
    far = FakeServer("far", "orders", "127.0.3.2", zone="y")
    with running_server(near), running_server(far):
        send_heartbeat_until_acknowledged(fleet, near)
        send_heartbeat_until_acknowledged(fleet, far)
        wait_until_serving(fleet)
        yield near, far


def _send_everywhere(fleet, count=5):
    """Sends requests to all entries, which must all be answered."""
    for entry in fleet.entries:
        for number in range(count):
            request_id = f"{entry.host}-{time.monotonic_ns()}-{number}"
            assert fleet.send_request(entry, request_id).status == 200


def _is_evacuated_everywhere(fleet, count):
    """Returns whether all entries know this number of evacuated domains."""
    line = f"\ngentianwall_evacuated_domains {count}\n"
    return all(
        line in call(e.host, METRICS_PORT, "GET", "/metrics").body.decode()
        for e in fleet.entries
    )


def _wait_in_force(fleet, count):
    wait_until(
        f"{count} domains are evacuated at all entries",
        lambda: _is_evacuated_everywhere(fleet, count),
        IN_FORCE_S,
    )


def _leader(fleet):
    """Returns the control instance that leads."""
    for node in fleet.controls:
        text = call(node.host, METRICS_PORT, "GET", "/metrics").body.decode()
        if "\ngentianwall_is_leader 1" in text:
            return node
    raise AssertionError("no control instance leads")


def test_requests_leave_an_evacuated_domain_and_return_to_it(fleet, servers):
    near, far = servers
    set_evacuation_until_acknowledged(fleet, "z", True)
    _wait_in_force(fleet, 1)
    before, checked = len(near.executed_ids), len(near.checked_at_s)
    _send_everywhere(fleet)
    assert len(near.executed_ids) == before
    assert len(near.checked_at_s) == checked
    assert far.executed_ids
    set_evacuation_until_acknowledged(fleet, "z", False)
    _wait_in_force(fleet, 0)
    _send_everywhere(fleet)
    assert len(near.executed_ids) > before


def test_calls_in_quick_succession_end_as_the_last_one_says(fleet, servers):
    """Guards against a call that takes effect after one that follows it."""
    near, _ = servers
    for _ in range(5):
        for is_evacuated in (True, True, False, False, True):
            set_evacuation_until_acknowledged(fleet, "z", is_evacuated)
        replace_configuration_until_acknowledged(fleet, 5)
    set_evacuation_until_acknowledged(fleet, "unknown+zone", True)
    _wait_in_force(fleet, 2)
    before = len(near.executed_ids)
    _send_everywhere(fleet)
    assert len(near.executed_ids) == before


def test_an_evacuation_outlasts_the_leader_that_received_it(fleet, servers):
    near, _ = servers
    leader = _leader(fleet)
    # Its acknowledgement is lost: the operator repeats the call elsewhere.
    fleet.set_evacuation(leader, "z", True, timeout_s=0.001)
    fleet.kill(leader)
    set_evacuation_until_acknowledged(fleet, "z", True)
    _wait_in_force(fleet, 1)
    before = len(near.executed_ids)
    _send_everywhere(fleet)
    assert len(near.executed_ids) == before
    set_evacuation_until_acknowledged(fleet, "z", False)
    _wait_in_force(fleet, 0)


def test_an_evacuation_survives_when_all_processes_are_killed(fleet, servers):
    near, _ = servers
    set_evacuation_until_acknowledged(fleet, "z", True)
    nodes = [*fleet.controls, *fleet.entries]
    for node in nodes:
        fleet.kill(node)
    before = len(near.executed_ids)
    for node in nodes:
        fleet.start(node)
    wait_until_serving(fleet)
    _send_everywhere(fleet)
    assert len(near.executed_ids) == before


def test_a_call_without_a_zone_is_refused(fleet):
    host = fleet.controls[0].host

    def send(name: str) -> int:
        path = f"/rpc?call=evacuations.{name}&of="
        return call(host, CONTROL_PORT, "POST", path).status

    # The fleet counts as started once a majority of the control instances has
    # its configuration, when this one may not listen yet.
    wait_until("the control instance answers", lambda: send("start") != 0)
    assert send("start") == send("finish") == 400


def _most_in_a_second(times_s):
    return max(
        sum(start_s <= s < start_s + 1.0 for s in times_s)
        for start_s in times_s
    )


@pytest.mark.parametrize("states_warmup", [True, False])
def test_a_known_server_that_is_cold_again_gets_few_requests(
    fleet, states_warmup
):
    """Guards against servers that crash when they are cold again.

    Entries learn of it from a health answer, or from a heartbeat alone.
    """
    document_with_limit = document(2, warmup_per_s=3.2)
    wait_until(
        "the limit is acknowledged",
        lambda: (
            fleet.replace_configuration(fleet.controls[0], document_with_limit)
            == 200
        ),
    )
    server = FakeServer(
        "i-1", "orders", "127.0.3.1", states_warmup=states_warmup
    )
    with running_server(server):
        send_heartbeat_until_acknowledged(fleet, server)
        wait_until_serving(fleet)
        time.sleep(3.5)  # The number of entries is used after 3 s.
        server.cold_until_s = time.monotonic() + 5.0
        send_heartbeat_until_acknowledged(fleet, server)
        time.sleep(0.1)
        began_s = time.monotonic()
        statuses = load_entries(fleet, began_s + 4.5, 40.0)
        cold = [s for s in server.executed_at_s if s > began_s]
        assert len(cold) >= 5
        assert _most_in_a_second(cold) <= 12
        assert set(statuses) == {200, 503}
        wait_until(
            "the server is warm",
            lambda: time.monotonic() > server.cold_until_s + 0.5,
        )
        began_s = time.monotonic()
        load_entries(fleet, began_s + 1.0, 40.0)
        warm = [s for s in server.executed_at_s if s > began_s]
        assert len(warm) > 15
