"""Tests for request traces and for the bounded writer of structured logs."""

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


def test_a_request_trace_includes_the_state_events_of_its_servers():
    trace = explain_request(LINES, "q")
    assert [line.event for line in trace] == [
        "sent",
        "refused",
        "server_paused",
    ]
    assert "server_lost" in render(trace)
    assert explain_request(LINES, "nobody") == ()


def test_a_time_range_contains_only_state_events():
    events = explain_range(LINES, 12.0, 13.0)
    assert [line.event for line in events] == [
        "control",
        "server_paused",
        "server_paused",
    ]
    assert events[0].fields["text"] == "Leader-changed b term 3."


@pytest.fixture
def pipe():
    """A pipe that only the test reads."""
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _read_lines(reader):
    os.set_blocking(reader, False)
    try:
        return os.read(reader, 1 << 20).decode().splitlines()
    except BlockingIOError:
        return []


def test_a_written_line_is_parsed_to_the_same_fields(pipe):
    log = EventLog("e 1", BoundedWriter(pipe[1]))
    log.write("refused", {"id": 'a"b c', "reason": "x=y", "empty": ""})
    (text,) = _read_lines(pipe[0])
    line = parse_line(text)
    assert (line.node, line.event) == ("e 1", "refused")
    assert line.fields == {"id": 'a"b c', "reason": "x=y", "empty": ""}


def test_a_pipe_that_is_not_read_does_not_block_the_writer(pipe):
    writer = BoundedWriter(pipe[1], max_lines=50)
    for number in range(20_000):
        writer.write(f"event=x number={number}")
    assert writer.dropped > 0
    while lines := _read_lines(pipe[0]):
        writer.flush()
        last_lines = lines
    assert any("event=log_dropped" in line for line in last_lines)


def test_a_frequent_event_does_not_suppress_other_events(pipe, monkeypatch):
    now_s = [100.0]
    monkeypatch.setattr("gentianwall.logs.time.time", lambda: now_s[0])
    log = EventLog("e", BoundedWriter(pipe[1]))
    for number in range(500):
        log.write("sent", {"id": number})
    log.write("refused", {"id": "rare"})
    now_s[0] = 101.0
    log.write("sent", {"id": "next"})
    events = [parse_line(text).event for text in _read_lines(pipe[0])]
    assert events.count("sent") == 151
    assert events.count("refused") == 1
    assert events.count("log_suppressed") == 1
