"""Tests that timers keep their time when the wall clock is set."""

from __future__ import annotations

import contextlib
import re
import signal
import threading

import pytest

from harness.fleet import (
    CALLERS_PORT,
    HOST,
    READINESS_PORT,
    FakeServer,
    Fleet,
    call,
    document,
    running_server,
    send_document_until_acknowledged,
    send_heartbeat_until_acknowledged,
    wait_until,
    wait_until_serving,
)
from harness.stepped_clock import set_clock, stepped_command

BLOCK = 78
GRACE_S = 4.0
STEP_S = 600.0
TIMEOUT_MS = 2000


def _document(number):
    content = document(number)
    content["resources"][0]["spec"]["timeoutMs"] = TIMEOUT_MS
    # A request that takes longer than usual is not overdue.
    content["resources"][0]["spec"]["targetLatencyMs"] = TIMEOUT_MS
    return content


@pytest.fixture
def server():
    server = FakeServer("i-1", "orders", f"127.{BLOCK}.3.1")
    with running_server(server):
        yield server


@pytest.fixture
def fleet(tmp_path, server):
    """An entry and control instances whose clocks can be set."""
    fleet = Fleet(tmp_path, 3, 1, BLOCK, stepped_command)
    fleet.entry_settings = [f"grace_s = {GRACE_S}"]
    try:
        for node in (*fleet.controls, *fleet.entries):
            fleet.start(node, is_first_start=True)
        send_document_until_acknowledged(fleet, _document(1))
        send_heartbeat_until_acknowledged(fleet, server)
        wait_until_serving(fleet)
        yield fleet
    finally:
        fleet.kill_all()


def _is_ready(node):
    return call(node.host, READINESS_PORT, "GET", "/readyz").status == 200


@contextlib.contextmanager
def _running_request(fleet, server):
    """Sends a request; yields a list for its status once it runs."""
    statuses = []

    def send():
        headers = {"Host": HOST, "X-Gentianwall-Request-Id": "running"}
        host = fleet.entries[0].host
        answer = call(
            host, CALLERS_PORT, "POST", "/orders/x", b"order", headers, 30.0
        )
        statuses.append(answer.status)

    caller = threading.Thread(target=send)
    caller.start()
    try:
        wait_until("it runs", lambda: "running" in server.executed_ids)
        yield statuses
    finally:
        caller.join()


def test_a_request_is_not_given_up_when_the_clock_is_set_forward(fleet, server):
    server.service_s = TIMEOUT_MS / 2000.0
    with _running_request(fleet, server) as statuses:
        set_clock(fleet.entries[0], STEP_S)
    assert statuses == [200]


def test_a_request_ends_at_its_timeout_when_the_clock_is_set_back(
    fleet, server
):
    server.service_s = 3.0 * TIMEOUT_MS / 1000.0
    with _running_request(fleet, server) as statuses:
        set_clock(fleet.entries[0], -STEP_S)
    assert statuses == [504]


def test_a_stop_answers_what_runs_when_the_clock_is_set_back(fleet, server):
    server.service_s = TIMEOUT_MS / 2000.0
    (entry,) = fleet.entries
    with _running_request(fleet, server) as statuses:
        fleet.signal(entry, signal.SIGTERM)
        wait_until("it stops", lambda: not _is_ready(entry))
        set_clock(entry, -STEP_S)
    assert statuses == [200]
    assert entry.process.wait(timeout=GRACE_S) == 0


def _leader(fleet):
    """Returns the leader that a control instance has logged last."""
    log = (fleet.controls[0].folder / "log").read_text()
    host = re.findall(r"Leader-changed ([\d.]+):", log)[-1]
    return next(node for node in fleet.controls if node.host == host)


@pytest.mark.parametrize("step_s", [STEP_S, -STEP_S])
def test_a_lost_leader_is_replaced_after_the_clocks_were_set(fleet, step_s):
    for node in fleet.controls:
        set_clock(node, step_s)
    leader = _leader(fleet)
    fleet.kill(leader)
    others = [node for node in fleet.controls if node is not leader]
    wait_until(
        "a change is acknowledged",
        lambda: (
            200
            in [
                fleet.replace_configuration(node, _document(2))
                for node in others
            ]
        ),
    )
