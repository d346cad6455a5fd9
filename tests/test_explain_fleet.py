"""Tests that the logs alone explain why a request failed or was slow."""

from __future__ import annotations

import concurrent.futures
import threading
import time

import pytest

from gentianwall.commands.explain import explain_request
from harness.fleet import registered_server, running_fleet, wait_until

RESTART_LIMIT_S = 20.0


@pytest.fixture
def fleet(tmp_path):
    """Three control instances and an entry."""
    with running_fleet(tmp_path, controls=3, entries=1) as fleet:
        yield fleet


@pytest.fixture
def server(fleet):
    """The only server, with four slots."""
    with registered_server(fleet) as server:
        yield server


def _trace(fleet, request_id):
    """Returns the lines about a request from the logs of all processes."""
    nodes = [*fleet.entries, *fleet.controls]
    lines = []
    for node in nodes:
        lines += (node.folder / "log").read_text().splitlines()
    return explain_request(lines, request_id)


def _wait_for_line(fleet, request_id, event):
    """Waits until an event of a request is logged; returns its last line."""
    found = []

    def is_logged():
        found[:] = [
            line
            for line in _trace(fleet, request_id)
            if line.event == event and line.fields.get("id") == request_id
        ]
        return bool(found)

    wait_until(f"{event} of {request_id} is logged", is_logged)
    return found[-1]


def test_the_refusal_of_a_request_in_a_burst_is_explained(fleet, server):
    server.service_s = 0.4
    entry = fleet.entries[0]
    with concurrent.futures.ThreadPoolExecutor(40) as pool:
        answers = dict(
            pool.map(
                lambda n: (f"b-{n}", fleet.send_request(entry, f"b-{n}")),
                range(40),
            )
        )
    refused_ids = [
        request_id
        for request_id, answer in answers.items()
        if answer.status == 503
    ]
    assert refused_ids
    line = _wait_for_line(fleet, refused_ids[0], "refused")
    assert line.fields["reason"] == "overloaded"
    assert line.fields["executed"] == "no"
    assert line.fields["attempt"] == "0"
    assert float(line.fields["retry_after_ms"]) > 0
    assert refused_ids[0] not in server.executed_ids


def test_a_delay_caused_by_a_slow_server_is_explained(fleet, server):
    server.service_s = 0.8
    entry = fleet.entries[0]
    assert fleet.send_request(entry, "late").status == 200
    sent = _wait_for_line(fleet, "late", "sent")
    answered = _wait_for_line(fleet, "late", "answered")
    assert sent.fields["server"] == answered.fields["server"] == "i-1"
    total_ms = float(answered.fields["total_ms"])
    assert total_ms > float(answered.fields["target_ms"])
    # The server, not the entry, caused the delay.
    assert float(answered.fields["server_ms"]) > 0.9 * total_ms
    assert float(sent.fields["expected_ms"]) < 500


def test_the_loss_of_a_request_with_its_entry_is_explained(fleet, server):
    server.service_s = 1.5
    entry = fleet.entries[0]
    caller = threading.Thread(target=fleet.send_request, args=(entry, "lost"))
    caller.start()
    wait_until(
        "the server received the request", lambda: "lost" in server.executed_ids
    )
    _wait_for_line(fleet, "lost", "sent")
    fleet.kill(entry)
    caller.join()
    time.sleep(0.2)
    fleet.start(entry)
    wait_until(
        "the entry is ready again",
        lambda: fleet.is_ready(entry),
        RESTART_LIMIT_S,
    )
    trace = _trace(fleet, "lost")
    # The logs contain no end of the request, only the restart of the entry.
    events = [line.event for line in trace if line.event != "server_changed"]
    assert events == ["sent", "started"]
