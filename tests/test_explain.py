"""A request's story is told from the lines of all processes."""

from __future__ import annotations

import os

import pytest

from gentianwall.commands.explain import (
    explain_range,
    explain_request,
    parse_line,
    render,
)
from gentianwall.logs import BoundedWriter, EventLog

LINES = [
    "t=12.500 node=e1 event=refused id=q reason=server_lost server=i-1",
    "t=12.400 node=e1 event=sent id=q server=i-1 load=1.0",
    "t=12.600 node=e2 event=server_paused server=i-1 pause_ms=200",
    "t=12.600 node=e2 event=server_paused server=i-2 pause_ms=200",
    "t=99.000 node=e2 event=server_paused server=i-1 pause_ms=200",
    "t=12.450 node=e1 event=sent id=other server=i-1",
    't=12.300 node=c1 event=control level=info text="Leader-changed b term 3."',
    "something else",
    "t=x node=e event=sent id=q",
    't=1 node=e event=sent text="no end',
]


def test_a_story_has_the_request_and_what_was_believed_of_its_servers():
    found = explain_request(LINES, "q")
    assert [line.event for line in found] == [
        "sent",
        "refused",
        "server_paused",
    ]
    assert "server_lost" in render(found)
    assert explain_request(LINES, "nobody") == ()


def test_a_range_has_beliefs_only():
    found = explain_range(LINES, 12.0, 13.0)
    assert [line.event for line in found] == [
        "control",
        "server_paused",
        "server_paused",
    ]
    assert found[0].fields["text"] == "Leader-changed b term 3."


@pytest.fixture
def pipe():
    """A pipe that nobody reads unless the test does."""
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _read(reader):
    os.set_blocking(reader, False)
    try:
        return os.read(reader, 1 << 20).decode().splitlines()
    except BlockingIOError:
        return []


def test_what_is_written_is_read_back(pipe):
    log = EventLog("e 1", BoundedWriter(pipe[1]))
    log.write("refused", {"id": 'a"b c', "reason": "x=y", "empty": ""})
    (text,) = _read(pipe[0])
    line = parse_line(text)
    assert (line.node, line.event) == ("e 1", "refused")
    assert line.fields == {"id": 'a"b c', "reason": "x=y", "empty": ""}


def test_a_pipe_that_nobody_reads_holds_nothing_up(pipe):
    writer = BoundedWriter(pipe[1], max_lines=50)
    for number in range(20_000):
        writer.write(f"event=x number={number}")
    assert writer.dropped > 0
    while lines := _read(pipe[0]):
        writer.flush()
        last = lines
    assert any("event=log_dropped" in line for line in last)


def test_one_event_cannot_crowd_out_the_others(pipe, monkeypatch):
    now = [100.0]
    monkeypatch.setattr("gentianwall.logs.time.time", lambda: now[0])
    log = EventLog("e", BoundedWriter(pipe[1]))
    for number in range(500):
        log.write("sent", {"id": number})
    log.write("refused", {"id": "rare"})
    now[0] = 101.0
    log.write("sent", {"id": "next"})
    events = [parse_line(text).event for text in _read(pipe[0])]
    assert events.count("sent") == 151
    assert events.count("refused") == 1
    assert events.count("log_suppressed") == 1
