"""Tests of callers' connections with a fake clock: limits and pipelining."""

from __future__ import annotations

import re

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from gentianwall.http.channel import CallerBounds, CallerSite
from gentianwall.http.pipelining import (
    MAX_OPEN_REQUESTS,
    MAX_WAITING_BYTES,
    Pipeline,
)

BOUNDS = CallerBounds()


@pytest.fixture
def connection():
    """A caller's connection: channel, transport, clock, received requests."""
    received = []
    site = CallerSite(received.append, lambda request: None)
    channel = site.buildProtocol(None)
    clock = Clock()
    channel.callLater = clock.callLater
    transport = StringTransport()
    channel.makeConnection(transport)
    return channel, transport, clock, received


def _send_slowly(connection, data, interval_s):
    channel, transport, clock, _ = connection
    for position in range(len(data)):
        channel.dataReceived(data[position : position + 1])
        clock.advance(interval_s)
        if transport.disconnecting:
            return


def test_headers_that_arrive_too_slowly_get_408(connection):
    _send_slowly(connection, b"GET /x HTTP/1.1\r\nX: " + b"y" * 60, 0.5)
    assert connection[1].value().startswith(b"HTTP/1.1 408 ")
    assert connection[1].disconnecting
    assert connection[2].seconds() <= BOUNDS.header_timeout_s + 1


def test_a_body_that_arrives_too_slowly_gets_408(connection):
    head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n"
    connection[0].dataReceived(head)
    _send_slowly(connection, b"z" * 800, 0.5)
    assert connection[1].value().startswith(b"HTTP/1.1 408 ")
    assert connection[2].seconds() <= BOUNDS.body_timeout_s + 1


UPLOAD = b"POST /%b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
TOO_LARGE = b"HTTP/1.1 413 "


def _upload(connection, path, size):
    connection[0].dataReceived(UPLOAD % (path, size) + bytes(size))


# Connections kept their limits for good: 413 for what a change had allowed.
def test_changed_limits_are_in_force_on_open_connections(connection):
    channel, transport, _, received = connection
    channel.site.bounds = attrs.evolve(BOUNDS, body_bytes=10)
    _upload(connection, b"a", 10)
    received[0].answer(200, [], b"")
    channel.site.bounds = attrs.evolve(
        BOUNDS, body_bytes=100, header_bytes=200, header_count=4
    )
    _upload(connection, b"b", 100)
    assert _paths(connection) == [b"a", b"b"]
    assert TOO_LARGE not in transport.value()
    received[1].answer(200, [], b"")
    channel.dataReceived(b"GET /c HTTP/1.1\r\nX: " + b"y" * 300 + b"\r\n")
    assert b"HTTP/1.1 431 " in transport.value()


@pytest.mark.parametrize("received_bytes", [20, len(UPLOAD % (b"a", 50)) + 5])
def test_a_request_keeps_the_limits_that_it_began_under(
    connection, received_bytes
):
    channel, transport, _, received = connection
    data = UPLOAD % (b"a", 50) + bytes(50)
    channel.dataReceived(data[:received_bytes])
    channel.site.bounds = attrs.evolve(BOUNDS, body_bytes=10)
    channel.dataReceived(data[received_bytes:])
    assert _paths(connection) == [b"a"]
    received[0].answer(200, [], b"")
    _upload(connection, b"b", 50)
    assert TOO_LARGE in transport.value()


@pytest.mark.parametrize("is_changed_while_open", [False, True])
def test_a_changed_idle_timeout_is_in_force_on_open_connections(
    connection, is_changed_while_open
):
    channel, transport, clock, received = connection
    changed = attrs.evolve(BOUNDS, idle_timeout_s=2 * BOUNDS.idle_timeout_s)
    _upload(connection, b"a", 1)
    if is_changed_while_open:
        channel.site.bounds = changed
    received[0].answer(200, [], b"")
    channel.site.bounds = changed
    clock.advance(1.9 * BOUNDS.idle_timeout_s)
    assert not transport.disconnecting
    clock.advance(0.2 * BOUNDS.idle_timeout_s)
    assert transport.disconnecting


def test_a_complete_request_cancels_the_receive_timeout(connection):
    channel, transport, clock, received = connection
    channel.dataReceived(b"GET /x HTTP/1.1\r\nHost: a\r\n")
    clock.advance(BOUNDS.header_timeout_s / 2)
    channel.dataReceived(b"\r\n")
    clock.advance(BOUNDS.header_timeout_s)
    assert len(received) == 1
    assert not transport.disconnecting


@pytest.mark.parametrize("hosts", [b"", b"Host: a\r\nHost: b\r\n"])
def test_a_request_without_exactly_one_host_gets_400(connection, hosts):
    connection[0].dataReceived(b"GET /x HTTP/1.1\r\n" + hosts + b"\r\n")
    assert connection[1].value().startswith(b"HTTP/1.1 400 ")
    assert connection[1].disconnecting
    assert not connection[3]


def _pipeline(connection, *paths, method=b"GET", extra=b""):
    channel = connection[0]
    for path in paths:
        head = method + b" /" + path + b" HTTP/1.1\r\nHost: a\r\n" + extra
        channel.dataReceived(head + b"\r\n")


def _answer(connection, path, **options):
    (request,) = [r for r in connection[3] if r.path == b"/" + path]
    request.answer(200, [], b"answer-" + path, **options)


def _bodies(connection):
    return re.findall(rb"answer-(\w)", connection[1].value())


def _paths(connection):
    return [request.path[1:] for request in connection[3]]


def test_pipelined_repeatable_requests_run_beside_each_other(connection):
    _pipeline(connection, b"a", b"b", b"c")
    assert _paths(connection) == [b"a", b"b", b"c"]


def test_pipelined_answers_keep_the_order_of_the_requests(connection):
    _pipeline(connection, b"a", b"b", b"c")
    for path in (b"c", b"b"):
        _answer(connection, path)
    assert _bodies(connection) == []
    _answer(connection, b"a")
    assert _bodies(connection) == [b"a", b"b", b"c"]
    assert not connection[1].disconnecting


@pytest.mark.parametrize(
    ("first", "second"),
    [(b"GET", b"POST"), (b"POST", b"GET"), (b"GET", b"OPTIONS")],
)
def test_a_request_that_may_run_once_runs_alone(connection, first, second):
    _pipeline(connection, b"a", method=first, extra=b"Content-Length: 0\r\n")
    _pipeline(connection, b"b", method=second, extra=b"Content-Length: 0\r\n")
    assert _paths(connection) == [b"a"]
    _answer(connection, b"a")
    assert _paths(connection) == [b"a", b"b"]


def test_requests_read_ahead_are_bounded(connection):
    paths = [b"%d" % number for number in range(3 * MAX_OPEN_REQUESTS)]
    _pipeline(connection, *paths)
    assert len(connection[3]) == MAX_OPEN_REQUESTS
    connection[3][0].answer(200, [], b"")
    assert len(connection[3]) == MAX_OPEN_REQUESTS + 1


def test_large_waiting_answers_stop_reading_ahead(connection):
    _pipeline(connection, b"a", b"b")
    connection[3][1].answer(200, [], bytes(MAX_WAITING_BYTES))
    _pipeline(connection, b"c")
    _pipeline(connection, b"d")
    assert b"d" not in _paths(connection)
    _answer(connection, b"a")
    assert _paths(connection) == [b"a", b"b", b"c", b"d"]


def test_disconnecting_cancels_all_pipelined_requests():
    cancelled = []
    site = CallerSite(lambda request: None, cancelled.append)
    channel = site.buildProtocol(None)
    channel.makeConnection(StringTransport())
    _pipeline((channel,), b"a", b"b")
    channel.connectionLost(Failure(ConnectionLost()))
    assert len(cancelled) == 2


def test_an_answer_that_closes_leaves_unstarted_requests_unread(connection):
    _pipeline(connection, b"a")
    _pipeline(connection, b"b", method=b"POST", extra=b"Content-Length: 0\r\n")
    _answer(connection, b"a", is_closing=True)
    assert _paths(connection) == [b"a"]
    assert connection[1].value().count(b"Connection: close") == 1
    assert connection[1].disconnecting


def test_requests_that_run_are_answered_before_a_close(connection):
    _pipeline(connection, b"a", b"b")
    _answer(connection, b"a", is_closing=True)
    assert not connection[1].disconnecting
    assert b"Connection: close" not in connection[1].value()
    _answer(connection, b"b", is_closing=True)
    assert _bodies(connection) == [b"a", b"b"]
    assert connection[1].value().count(b"Connection: close") == 1
    assert connection[1].disconnecting


def test_a_shutdown_answers_all_requests_that_run(connection):
    _pipeline(connection, b"a", b"b")
    connection[0].close_when_idle()
    _pipeline(connection, b"c")
    assert _paths(connection) == [b"a", b"b"]
    _answer(connection, b"b")
    _answer(connection, b"a")
    assert _bodies(connection) == [b"a", b"b"]
    assert connection[1].disconnecting


def test_a_malformed_request_is_refused_after_the_earlier_answers(connection):
    _pipeline(connection, b"a", b"b")
    connection[0].dataReceived(b"nonsense\r\n\r\n")
    _pipeline(connection, b"c")
    assert connection[1].value() == b""
    _answer(connection, b"a")
    assert not connection[1].disconnecting
    _answer(connection, b"b")
    _, _, last = connection[1].value().rpartition(b"answer-b")
    assert last.startswith(b"HTTP/1.1 400 ")
    assert connection[1].disconnecting
    assert _paths(connection) == [b"a", b"b"]


def test_a_request_that_asks_for_a_close_ends_the_connection(connection):
    _pipeline(connection, b"a")
    _pipeline(connection, b"b", extra=b"Connection: close\r\n")
    _pipeline(connection, b"c")
    _answer(connection, b"a")
    assert not connection[1].disconnecting
    _answer(connection, b"b")
    assert connection[1].disconnecting
    assert _paths(connection) == [b"a", b"b"]


def test_a_partial_request_behind_others_is_timed_out(connection):
    _pipeline(connection, b"a")
    connection[0].dataReceived(b"GET /b HTTP/1.1\r\n")
    connection[2].advance(BOUNDS.header_timeout_s + 1)
    _answer(connection, b"a")
    _, _, last = connection[1].value().rpartition(b"answer-a")
    assert last.startswith(b"HTTP/1.1 408 ")


def test_an_interim_answer_waits_for_the_earlier_answers(connection):
    _pipeline(connection, b"a")
    connection[0].dataReceived(
        b"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
        b"Expect: 100-continue\r\n\r\n"
    )
    assert connection[1].value() == b""
    _answer(connection, b"a")
    assert connection[1].value().endswith(b"HTTP/1.1 100 Continue\r\n\r\n")
    connection[0].dataReceived(b"xy")
    assert _paths(connection) == [b"a", b"b"]


@given(
    kinds=st.lists(st.booleans(), max_size=40),
    order=st.randoms(use_true_random=False),
    close_at=st.integers(0, 60),
)
def test_pipeline_never_runs_others_beside_a_request_that_may_run_once(
    kinds, order, close_at
):
    pipeline = Pipeline()
    arrived, running, started, ended = 0, [], [], []
    for step in range(200):
        if step == close_at:
            pipeline.is_closing = True
        while (request := pipeline.start_next()) is not None:
            if not kinds[request]:
                assert not running
            assert all(kinds[other] for other in running)
            running.append(request)
            started.append(request)
        if arrived < len(kinds) and pipeline.can_read:
            pipeline.add(arrived, kinds[arrived])
            arrived += 1
        elif running:
            request = running.pop(order.randrange(len(running)))
            pipeline.record_answer(request, 1)
        while (answered := pipeline.take_answered()) is not None:
            ended.append(answered[0])
            if answered[1]:
                assert ended == started
                return
    assert ended == sorted(ended)
    if close_at > 200 or not pipeline.is_closing:
        assert ended == list(range(len(kinds)))
