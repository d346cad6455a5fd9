"""Tests that a fleet of real processes keeps its guarantees while some fail."""

from __future__ import annotations

import json
import signal
import threading
import time

import pytest

from harness.fleet import (
    METRICS_PORT,
    FakeServer,
    call,
    document,
    registered_server,
    replace_configuration_until_acknowledged,
    running_fleet,
    running_server,
    send_heartbeat_until_acknowledged,
    wait_until,
    wait_until_serving,
)

# Time within which a control instance that was started answers reads.
FIRST_READ_S = 5.0


@pytest.fixture
def fleet(tmp_path):
    """Three control instances and two entries, with a configuration."""
    with running_fleet(tmp_path, controls=3, entries=2) as fleet:
        yield fleet


@pytest.fixture
def server(fleet):
    """A server of the only service, known to all entries."""
    with registered_server(fleet) as server:
        yield server


def _read_version(fleet, node):
    answer = fleet.read(node, 1.5)
    return json.loads(answer.body)["version"] if answer.status == 200 else None


def _read_first_version(fleet, node):
    """Reads from a control instance that may still be starting."""
    versions = []

    def is_answered():
        versions.append(_read_version(fleet, node))
        return versions[-1] is not None

    wait_until(f"{node.host} answers reads", is_answered, FIRST_READ_S)
    return versions[-1]


def _leader(fleet):
    """Returns the leader of the highest term in the logs."""
    terms = {}
    for node in fleet.controls:
        for line in (node.folder / "log").read_text().splitlines():
            if "Leader-changed" in line:
                words = line.split("Leader-changed ")[1].split()
                terms[int(words[2].strip('."'))] = words[0]
    address = terms[max(terms)]
    return next(n for n in fleet.controls if address.startswith(n.host + ":"))


def test_a_request_gets_the_stamped_answer_of_its_server(fleet, server):
    answer = fleet.send_request(fleet.entries[0], "q-1", "/orders/7?x=1")
    assert answer.body == b"i-1 /orders/7?x=1"
    assert answer.headers["X-Gentianwall-Server-Stamp"] == "stamp-q-1"
    assert fleet.send_request(fleet.entries[0], "q-2", "/other/").status == 404
    assert server.executed_ids.count("q-1") == 1
    # A request names its server, so that another server at the same address
    # can refuse it.
    assert set(server.expected_instances) == {"i-1"}


def test_metrics_report_request_results_servers_and_leadership(fleet, server):
    entry = fleet.entries[0]
    fleet.send_request(entry, "m-1")
    fleet.send_request(entry, "m-2", "/nowhere/")
    text = call(entry.host, METRICS_PORT, "GET", "/metrics").body.decode()
    assert 'reason="200"' in text
    assert 'reason="no_route"' in text
    assert "\ngentianwall_servers 1" in text
    assert "\ngentianwall_request_seconds_count{" in text
    assert 'kind="non_idempotent"' in text
    leader = _leader(fleet)
    text = call(leader.host, METRICS_PORT, "GET", "/metrics").body.decode()
    assert "\ngentianwall_is_leader 1" in text


def test_every_control_instance_returns_the_newest_valid_configuration(
    fleet,
):
    replace_configuration_until_acknowledged(fleet, 4, fleet.controls[:1])
    for node in fleet.controls:
        assert _read_version(fleet, node) == "r4"
        assert fleet.replace_configuration(node, document(3)) == 200
        assert fleet.replace_configuration(node, document(4, "other")) == 200
        invalid = document(9)
        invalid["resources"][0]["spec"]["service"] = "unknown"
        assert fleet.replace_configuration(node, invalid) == 400
        assert _read_version(fleet, node) == "r4"


def test_acknowledged_changes_survive_when_all_processes_are_killed(
    fleet, server
):
    replace_configuration_until_acknowledged(fleet, 8)
    for node in [*fleet.controls, *fleet.entries]:
        fleet.kill(node)
    for node in [*fleet.controls, *fleet.entries]:
        fleet.start(node)
    wait_until_serving(fleet)
    for node in fleet.controls:
        assert _read_first_version(fleet, node) == "r8"


def test_a_suspended_leader_never_returns_an_older_configuration(fleet):
    leader = _leader(fleet)
    others = [n for n in fleet.controls if n is not leader]
    fleet.signal(leader, signal.SIGSTOP)
    try:
        replace_configuration_until_acknowledged(fleet, 12, others)
        # The read is sent to the suspended leader, which can answer it only
        # after it has resumed.
        versions = []
        reader = threading.Thread(
            target=lambda: versions.append(_read_version(fleet, leader))
        )
        reader.start()
        time.sleep(0.3)
    finally:
        fleet.signal(leader, signal.SIGCONT)
    reader.join()
    assert versions[0] in (None, "r12")
    wait_until(
        "the resumed instance reads r12",
        lambda: _read_version(fleet, leader) == "r12",
    )


def test_a_replica_with_a_wiped_disk_votes_only_after_catching_up(fleet):
    replace_configuration_until_acknowledged(fleet, 20)
    wiped, kept, killed = fleet.controls
    fleet.kill(wiped)
    fleet.wipe(wiped)
    fleet.start(wiped)
    log = kept.folder / "log"

    def is_member() -> bool:
        changes = [
            line
            for node in (kept, killed)
            for line in (node.folder / "log").read_text().splitlines()
            if "Members-changed" in line
        ]
        return bool(changes) and changes[-1].count(":9540") == 3

    wait_until(
        "the replica with the new disk is a voter again", is_member, 10.0
    )
    assert log.exists()
    fleet.kill(killed)
    replace_configuration_until_acknowledged(fleet, 21, [wiped, kept])
    assert _read_version(fleet, wiped) == "r21"


def test_every_entry_stops_using_a_draining_server_within_two_seconds(
    fleet, server
):
    other = FakeServer("i-2", "orders", "127.0.3.2")
    with running_server(other):
        send_heartbeat_until_acknowledged(fleet, other)
        send_heartbeat_until_acknowledged(fleet, server, "draining")
        acknowledged_s = time.monotonic()
        while time.monotonic() < acknowledged_s + 2.0:
            time.sleep(0.05)
        executions_before = len(server.executed_ids)
        for number in range(20):
            for entry in fleet.entries:
                assert fleet.send_request(entry, f"d-{number}").status == 200
        assert len(server.executed_ids) == executions_before


def test_an_entry_answers_all_requests_in_flight_after_sigterm(fleet, server):
    server.service_s = 0.3
    entry = fleet.entries[0]
    answers = []

    def send_requests(worker: int) -> None:
        for number in range(6):
            answers.append(fleet.send_request(entry, f"t-{worker}-{number}"))

    threads = [
        threading.Thread(target=send_requests, args=(w,)) for w in range(4)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.2)
    fleet.signal(entry, signal.SIGTERM)
    wait_until(
        "the entry reports that it is not ready",
        lambda: not fleet.is_ready(entry),
        1.0,
    )
    for thread in threads:
        thread.join()
    assert entry.process.wait(timeout=6.0) == 0
    assert {answer.status for answer in answers} == {200}
    request_ids = [
        answer.headers["X-Gentianwall-Request-Id"] for answer in answers
    ]
    assert all(
        server.executed_ids.count(request_id) == 1 for request_id in request_ids
    )


def _handles_or_ignores(process, number):
    with open(f"/proc/{process.pid}/status") as file:
        fields = dict(line.split(":\t", 1) for line in file)
    mask = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
    return bool(mask & 1 << (number - 1))


def test_reload_signals_during_the_start_do_not_end_an_entry(fleet, server):
    entry = fleet.entries[0]
    fleet.kill(entry)
    log = entry.folder / "log"
    log.write_text("")
    fleet.start(entry)
    wait_until(
        "SIGHUP no longer ends the process",
        lambda: _handles_or_ignores(entry.process, signal.SIGHUP),
    )
    assert "started" not in log.read_text()
    for _ in range(100):
        fleet.signal(entry, signal.SIGHUP)
        time.sleep(0.01)
    assert entry.process.poll() is None
    wait_until_serving(fleet)
