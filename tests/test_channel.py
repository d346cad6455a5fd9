"""Tests of callers' connections with a fake clock: limits and pipelining."""

from __future__ import annotations

import re
import sys

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from gentianwall.core.refusals import RefusalReason
from gentianwall.http.channel import (
    LINGER_S,
    MAX_REQUESTS_PER_TURN,
    CallerBounds,
    CallerSite,
    CutAnswers,
    Misuse,
    SiteLimits,
)
from gentianwall.http.client_budget import BudgetLimits, ClientBudget
from gentianwall.http.pipelining import (
    MAX_OPEN_REQUESTS,
    MAX_REFUSED_AHEAD,
    MAX_WAITING_BYTES,
    REFUSED_AHEAD_INTERVAL_MS,
    Pipeline,
)

BOUNDS = CallerBounds()
MIB = 1024 * 1024


class Transport(StringTransport):
    """A transport that can end its own side, as that of a socket does."""

    is_write_closed = False

    def loseWriteConnection(self):
        """Ends the own side once everything is written."""
        self.is_write_closed = True

    def unregisterProducer(self):
        """Removes the producer; a second call is accepted."""
        self.producer = None


@pytest.fixture
def connection():
    """A caller's connection: channel, transport, clock, received requests."""
    received = []
    site = CallerSite(received.append, lambda request: None)
    channel = site.buildProtocol(None)
    clock = Clock()
    channel.callLater = clock.callLater
    transport = Transport()
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


def _check_closed_after_answers(connection):
    """Checks that the own side ends at once, and the connection soon."""
    _, transport, clock, _ = connection
    assert transport.is_write_closed
    assert transport.producerState == "producing"
    clock.advance(LINGER_S)
    assert transport.disconnecting


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
    _check_closed_after_answers(connection)


def test_requests_that_run_are_answered_before_a_close(connection):
    _pipeline(connection, b"a", b"b")
    _answer(connection, b"a", is_closing=True)
    assert not connection[1].disconnecting
    assert not connection[1].is_write_closed
    assert b"Connection: close" not in connection[1].value()
    _answer(connection, b"b", is_closing=True)
    assert _bodies(connection) == [b"a", b"b"]
    assert connection[1].value().count(b"Connection: close") == 1
    _check_closed_after_answers(connection)


def test_a_shutdown_answers_all_requests_that_run(connection):
    _pipeline(connection, b"a", b"b")
    connection[0].close_when_idle()
    _pipeline(connection, b"c")
    assert _paths(connection) == [b"a", b"b"]
    _answer(connection, b"b")
    _answer(connection, b"a")
    assert _bodies(connection) == [b"a", b"b"]
    _check_closed_after_answers(connection)


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


BUDGET_LIMITS = BudgetLimits(
    memory_bytes=MIB, connections=8, running_requests=4
)
HEAD = b"POST /%b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"


class Process:
    """Connections of one site with a small budget and a fake clock."""

    def __init__(self, has_servers=False, **options):
        self.received = []
        self.reports = []
        self.budget = ClientBudget(BUDGET_LIMITS)
        self.clock = Clock()
        self.site = CallerSite(
            self.received.append,
            lambda request: None,
            limits=SiteLimits(
                budget=self.budget,
                report_misuse=lambda misuse, *_: self.reports.append(misuse),
                has_servers=has_servers,
                body_copies=int(has_servers),
            ),
            **options,
        )
        self.channels = []

    def connect(self):
        """Opens a connection; returns its channel and transport."""
        channel = self.site.buildProtocol(None)
        channel.callLater = self.clock.callLater
        transport = Transport()
        channel.makeConnection(transport)
        self.channels.append(channel)
        return channel, transport

    def close(self):
        """Closes all connections."""
        for channel in self.channels:
            channel.connectionLost(Failure(ConnectionLost()))


# Bodies that were charged and not released used up the budget for good.
@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, 6), st.booleans()),
        max_size=30,
    )
)
def test_nothing_stays_charged_when_all_connections_are_lost(steps):
    process = Process(has_servers=True)
    process.connect()
    for connection, step, is_small in steps:
        size = 2000 if is_small else 400_000
        if connection >= len(process.channels):
            process.connect()
        channel = process.channels[connection % len(process.channels)]
        if channel.transport.disconnecting:
            continue
        if step == 0:
            channel.dataReceived(HEAD % (b"x", size))
        elif step == 1:
            channel.dataReceived(bytes(size // 2))
        elif step == 2:
            channel.dataReceived(HEAD % (b"x", size) + bytes(size))
        elif step == 3 and process.received:
            process.received.pop(0).answer(200, [], bytes(size))
        elif step == 4:
            channel.pauseProducing()
        elif step == 5:
            channel.resumeProducing()
        else:
            process.clock.advance(5.0)
        assert process.budget.used_bytes <= BUDGET_LIMITS.memory_bytes
    process.close()
    assert process.budget.used_bytes == process.budget.connections == 0
    assert process.budget.running_requests == 0
    assert all(not call.active() for call in process.clock.getDelayedCalls())


# Bodies for paths without a route took 235 MB before they were refused.
def test_a_request_refused_by_its_head_is_answered_before_its_body():
    process = Process(check_head=lambda request: RefusalReason.NO_ROUTE)
    channel, transport = process.connect()
    channel.dataReceived(HEAD % (b"x", 900_000) + bytes(1000))
    assert transport.value().startswith(b"HTTP/1.1 404 ")
    assert b'"executed": "no"' in transport.value()
    held_bytes = channel.account.held_bytes
    channel.dataReceived(bytes(300_000))
    assert channel.account.held_bytes == held_bytes
    # The client may still be sending: it has time to read the answer.
    assert not transport.disconnecting
    process.clock.advance(1.1)
    assert transport.disconnecting
    assert process.received == []
    assert process.reports == [Misuse.REFUSED_AT_HEAD]


def test_a_refusal_by_the_head_keeps_the_order_of_answers():
    is_known = {b"/a": None, b"/b": RefusalReason.NO_ROUTE}
    process = Process(check_head=lambda request: is_known[request.path])
    channel, transport = process.connect()
    channel.dataReceived(HEAD % (b"a", 1) + b"z" + HEAD % (b"b", 9) + b"zz")
    assert transport.value() == b""
    process.received[0].answer(200, [], b"first")
    answers = transport.value()
    assert answers.index(b"first") < answers.index(b"HTTP/1.1 404 ")


def test_a_request_without_a_body_refused_by_its_head_keeps_its_connection():
    process = Process(check_head=lambda request: RefusalReason.NO_ROUTE)
    channel, transport = process.connect()
    for count in (1, 2):
        channel.dataReceived(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        assert transport.value().count(b"HTTP/1.1 404 ") == count
    process.clock.advance(2.0)
    assert not transport.disconnecting


# Bodies that stop before their end were kept for 60 s, however many.
def test_a_body_waits_for_memory_and_the_one_without_progress_is_refused():
    process = Process()
    stalled, stalled_transport = process.connect()
    stalled.dataReceived(HEAD % (b"a", 600_001) + bytes(600_000))
    active, active_transport = process.connect()
    active.dataReceived(HEAD % (b"b", 900_000) + bytes(250_000))
    assert active_transport.producerState == "paused"
    stalled.account.progress_ms -= 5000.0
    process.clock.advance(2.1)
    assert stalled_transport.value().startswith(b"HTTP/1.1 503 ")
    assert b'"executed": "no"' in stalled_transport.value()
    assert b"Retry-After: " in stalled_transport.value()
    assert active_transport.producerState == "producing"
    active.dataReceived(bytes(650_000))
    assert len(process.received[0].body) == 900_000
    assert process.reports == [Misuse.MEMORY]


# A connection that waited on went with its next request unread.
def test_a_body_that_is_complete_does_not_wait():
    process = Process()
    channel, transport = process.connect()
    channel.dataReceived(HEAD % (b"a", 900_000) + bytes(900_000))
    assert len(process.received) == 1
    assert transport.producerState == "producing"
    process.clock.advance(5.0)
    process.received[0].answer(200, [], b"done")
    channel.dataReceived(HEAD % (b"b", 1) + b"z")
    assert len(process.received) == 2
    assert process.reports == []


GET = b"GET /%b HTTP/1.1\r\nHost: a\r\n\r\n"


# A request that ran was cut with the one that was received behind it.
@pytest.mark.parametrize(
    ("is_stalled", "size"), [(False, 350_000), (True, 250_000)]
)
def test_a_body_is_refused_after_the_answer_to_a_request_that_runs(
    is_stalled, size
):
    process = Process(has_servers=True)
    channel, transport = process.connect()
    channel.dataReceived(GET % b"a" + HEAD % (b"b", 900_000) + bytes(700_000))
    channel.account.progress_ms -= 5000.0 * is_stalled
    other, _ = process.connect()
    other.dataReceived(HEAD % (b"c", size) + bytes(size))
    assert not transport.disconnected and transport.value() == b""
    assert _paths((None, None, None, process.received)) == [b"a", b"c"]
    channel.dataReceived(bytes(200_000))
    process.received[0].answer(200, [], b"answer-a")
    first, _, last = transport.value().partition(b"answer-a")
    assert first.startswith(b"HTTP/1.1 200 ")
    assert last.startswith(b"HTTP/1.1 503 ") and b'"executed": "no"' in last
    process.clock.advance(1.1)
    assert transport.disconnecting
    assert process.reports == [Misuse.MEMORY]


# The request that held most was cut for the answer to another one.
def test_an_answer_without_room_is_replaced_and_cuts_no_request_that_runs():
    process = Process(has_servers=True)
    holder, holder_transport = process.connect()
    holder.dataReceived(HEAD % (b"a", 300_000) + bytes(300_000))
    channel, transport = process.connect()
    channel.dataReceived(GET % b"b")
    process.received[1].answer(200, [], bytes(500_000))
    assert not holder_transport.disconnected and not transport.disconnected
    assert transport.value().startswith(b"HTTP/1.1 502 ")
    assert b'"executed": "unknown"' in transport.value()
    process.received[0].answer(200, [], b"answer-a")
    assert b"answer-a" in holder_transport.value()
    assert process.reports == [Misuse.MEMORY]


# A request that was complete and had not run was cut without an answer.
def test_a_complete_request_without_room_is_refused():
    process = Process(has_servers=True)
    channel, transport = process.connect()
    channel.dataReceived(HEAD % (b"a", 10_000) + bytes(5000))
    process.budget.answer_bytes = MIB - process.budget.held_bytes
    channel.dataReceived(bytes(5000))
    assert process.received == []
    assert transport.value().startswith(b"HTTP/1.1 503 ")
    assert b'"executed": "no"' in transport.value()
    assert not transport.disconnected
    process.budget.answer_bytes = 0


# Requests that run must not be cut, whatever else is received and answered.
@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, 5), st.booleans()),
        max_size=40,
    )
)
def test_no_request_that_runs_is_cut_for_memory(steps):
    process = Process(has_servers=True)
    process.connect()
    for connection, step, is_small in steps:
        size = 2000 if is_small else 300_000
        is_new = connection >= len(process.channels)
        if is_new and process.budget.make_room(0.0):
            process.connect()
        channel = process.channels[connection % len(process.channels)]
        if not channel.transport.disconnecting:
            if step == 0:
                channel.dataReceived(HEAD % (b"x", size) + bytes(size // 2))
            elif step == 1:
                channel.dataReceived(bytes(size // 2))
            elif step == 2:
                channel.dataReceived(GET % b"y")
            elif step == 3:
                channel.dataReceived(HEAD % (b"x", size) + bytes(size))
        if step == 4 and process.received:
            process.received.pop(0).answer(200, [], bytes(size))
        elif step == 5:
            process.clock.advance(2.5)
        assert process.budget.used_bytes <= BUDGET_LIMITS.memory_bytes
        for other in process.channels:
            if other.transport.disconnected:
                assert not any(r.is_running for r in other.requests)
    process.close()
    assert process.budget.used_bytes == process.budget.running_requests == 0


# An upload on a slow link must not be taken for one that only stays open.
def test_a_slow_upload_succeeds_and_a_slower_one_is_refused():
    process = Process()
    channel, transport = process.connect()
    channel.dataReceived(HEAD % (b"a", 50 * 300))
    for _ in range(50):
        process.clock.advance(1.0)
        channel.dataReceived(bytes(300))
    assert len(process.received) == 1
    process.received[0].answer(200, [], b"")
    channel.dataReceived(HEAD % (b"b", 15_000))
    for _ in range(40):
        process.clock.advance(1.0)
        channel.dataReceived(bytes(10))
    assert b"HTTP/1.1 408 " in transport.value()
    assert process.reports == [Misuse.BODY_SLOW]


# Answers of 64 MiB were kept for clients that did not read them.
def test_a_client_that_does_not_read_its_answer_is_closed():
    process = Process()
    channel, transport = process.connect()
    channel.dataReceived(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n" * 2)
    transport.write = lambda data: (
        StringTransport.write(transport, data),
        len(transport.value()) > 65536 and channel.pauseProducing(),
    )
    process.received[0].answer(200, [], bytes(500_000))
    sent_bytes = len(transport.value())
    assert sent_bytes < 200_000
    assert process.budget.used_bytes > 500_000
    channel.resumeProducing()
    assert sent_bytes < len(transport.value()) < 400_000
    process.clock.advance(BOUNDS.body_timeout_s + 1)
    assert transport.disconnected or transport.aborting
    assert process.reports == [Misuse.ANSWER_UNREAD]


# A short idle timeout cut an answer that was being sent over a slow link. The
# transport reports that it has to buffer only for the larger one.
@pytest.mark.parametrize("answer_bytes", [50_000, 100_000])
def test_an_idle_timeout_does_not_cut_an_answer_that_is_being_sent(
    answer_bytes,
):
    process = Process()
    process.site.bounds = attrs.evolve(BOUNDS, idle_timeout_s=1.0)
    channel, transport = process.connect()
    channel.dataReceived(GET % b"a")
    transport.write = lambda data: (
        StringTransport.write(transport, data),
        len(transport.value()) > 65536 and channel.pauseProducing(),
    )
    process.received[0].answer(200, [], bytes(answer_bytes))
    assert len(transport.value()) > answer_bytes
    process.clock.advance(1.1)
    process.clock.advance(BOUNDS.body_timeout_s / 2)
    is_paused = transport.producerState == "paused"
    assert transport.disconnecting is not is_paused
    assert not transport.disconnected
    process.clock.advance(BOUNDS.body_timeout_s)
    assert transport.disconnected


# A refused body that was still being sent reset the connection. Answers to
# earlier requests, and the refusal, were lost on the way.
@pytest.mark.parametrize(
    ("framing", "sent"),
    [
        (b"Content-Length: 90000", b""),
        (b"Transfer-Encoding: chunked", b"ea60\r\n" + bytes(60_000)),
        (b"Transfer-Encoding: chunked", b"zz\r\n"),
    ],
)
def test_a_client_that_still_sends_a_refused_body_can_read_its_answers(
    framing, sent
):
    process = Process()
    process.site.bounds = attrs.evolve(BOUNDS, body_bytes=50_000)
    channel, transport = process.connect()
    head = b"POST /b HTTP/1.1\r\nHost: a\r\n" + framing + b"\r\n\r\n"
    channel.dataReceived(GET % b"a" + head)
    channel.dataReceived(sent)
    process.received[0].answer(200, [], b"answer-a")
    _, _, last = transport.value().partition(b"answer-a")
    assert last.startswith(b"HTTP/1.1 4")
    assert not transport.disconnecting
    assert transport.producerState == "producing"
    channel.dataReceived(bytes(60_000))
    process.clock.advance(1.1)
    assert transport.disconnecting


# A planned stop reset a client that was sending the next request, which then
# lost the rest of its last answer.
def test_a_last_answer_is_sent_while_the_next_request_is_received():
    process = Process()
    channel, transport = process.connect()
    is_write_closed = []
    transport.loseWriteConnection = lambda: is_write_closed.append(True)
    # Unlike the double, a transport has its producer removed more than once.
    transport.unregisterProducer = lambda: None
    channel.dataReceived(GET % b"a" + HEAD % (b"b", 90_000) + bytes(50_000))
    process.received[0].answer(200, [], b"answer-a", is_closing=True)
    assert transport.value().endswith(b"answer-a")
    assert is_write_closed and not transport.disconnecting
    assert process.budget.used_bytes < 50_000
    channel.dataReceived(bytes(40_000))
    assert len(process.received) == 1
    process.clock.advance(1.1)
    assert transport.disconnecting


# Pipelined requests opened a connection to a server each: 1,028 descriptors.
def test_connections_run_one_request_at_a_time_when_many_run():
    process = Process(has_servers=True)
    get = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
    transports = []
    for _ in range(5):
        channel, transport = process.connect()
        transports.append(transport)
        channel.dataReceived(get * 6)
    assert len(process.received) == process.budget.running_requests == 4
    assert transports[4].value().startswith(b"HTTP/1.1 503 ")
    assert process.reports[0] is Misuse.RUNNING_REQUESTS
    for request in list(process.received):
        request.answer(200, [], b"")
    assert len(process.received) > 4


# A request that had run lost its answer to one that could be refused.
def test_a_body_is_refused_before_an_answer_that_is_read_slowly():
    process = Process(has_servers=True)
    reader, reader_transport = process.connect()
    reader.dataReceived(GET % b"a")
    process.received[0].answer(200, [], bytes(100_000))
    reader.dataReceived(GET % b"b")
    reader.pauseProducing()
    process.received[1].answer(200, [], bytes(500_000))
    channel, transport = process.connect()
    channel.dataReceived(HEAD % (b"c", 400_000) + bytes(300_000))
    other, _ = process.connect()
    other.dataReceived(HEAD % (b"d", 200_000) + bytes(200_000))
    assert transport.value().startswith(b"HTTP/1.1 503 ")
    assert not reader_transport.disconnected
    reader.resumeProducing()
    assert len(reader_transport.value()) > 600_000


# An answer that was not sent yet was discarded with its idle connection.
def test_a_connection_closed_for_a_new_one_sends_its_last_answer():
    process = Process(has_servers=True)
    transports = []
    for _ in range(BUDGET_LIMITS.connections):
        channel, transport = process.connect()
        transports.append(transport)
        channel.dataReceived(GET % b"a")
        process.received.pop().answer(200, [], b"answer-a")
    process.connect()
    (closed,) = [t for t in transports if t.disconnecting]
    assert not closed.disconnected
    process.channels[transports.index(closed)].dataReceived(GET % b"b")
    assert process.received == []
    process.clock.advance(1.1)
    assert closed.disconnected


def test_chunks_of_one_byte_are_refused_beyond_a_limit():
    process = Process()
    channel, transport = process.connect()
    channel.dataReceived(
        b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    for _ in range(100):
        channel.dataReceived(b"1\r\nz\r\n" * 1000)
    assert transport.value().startswith(b"HTTP/1.1 400 ")
    assert process.received == []


# Requests that ran beside an earlier one were kept until the connection ended.
def test_answered_requests_of_a_connection_are_not_kept():
    process = Process()
    channel, _ = process.connect()
    held_bytes = process.budget.used_bytes
    for _ in range(3):
        channel.dataReceived(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n" * 4)
        for request in reversed(process.received):
            request.answer(200, [], bytes(5000))
        process.received.clear()
    assert channel.requests == []
    assert process.budget.used_bytes == held_bytes


def _answer_over_a_slow_link(process):
    """Returns channel and transport while an answer is being sent."""
    channel, transport = process.connect()
    channel.dataReceived(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
    transport.write = lambda data: (
        StringTransport.write(transport, data),
        len(data) > 65536 and channel.pauseProducing(),
    )
    process.received[-1].answer(200, [], bytes(100_000))
    assert len(transport.value()) > 100_000
    assert transport.producerState == "paused"
    return channel, transport


# Connections with an answer on a slow link counted as idle: the rest was cut.
@pytest.mark.parametrize("is_timeout_lowered", [False, True])
def test_an_answer_that_is_being_sent_is_not_cut_as_idle(is_timeout_lowered):
    process = Process()
    short = attrs.evolve(BOUNDS, idle_timeout_s=5.0)
    if not is_timeout_lowered:
        process.site.bounds = short
    channel, transport = _answer_over_a_slow_link(process)
    process.site.bounds = short
    process.clock.advance(5.0)
    process.clock.advance(2.0)
    assert not transport.disconnecting
    assert not transport.disconnected
    channel.resumeProducing()
    process.clock.advance(4.0)
    assert not transport.disconnecting
    process.clock.advance(5.0)
    assert transport.disconnecting


# The close with unread input reset the connection in the middle of the answer.
def test_an_answer_that_is_being_sent_is_not_cut_by_a_shutdown():
    process = Process()
    channel, transport = _answer_over_a_slow_link(process)
    channel.close_when_idle()
    # What the client sends is read until it closes its side.
    assert transport.is_write_closed
    assert transport.producerState == "producing"
    assert not transport.disconnecting
    channel.dataReceived(b"GET /y HTTP/1.1\r\nHost: a\r\n\r\n")
    assert len(process.received) == 1
    process.clock.advance(LINGER_S)
    assert transport.disconnecting


# Requests were read without limit while their answers were not.
def test_a_client_that_does_not_read_is_not_read_either():
    process = Process()
    channel, transport = process.connect()
    get = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
    channel.dataReceived(get * (MAX_OPEN_REQUESTS + 1))
    channel.pauseProducing()
    assert transport.producerState == "paused"
    for request in process.received:
        request.answer(200, [], b"")
    channel.resumeProducing()
    assert transport.producerState == "producing"


# One read with 1,400 short requests kept all other connections waiting.
def test_requests_of_one_read_leave_other_connections_a_turn():
    process = Process()
    channel, transport = process.connect()
    process.site.handle = lambda request: request.answer(200, [], b"")
    channel.dataReceived(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n" * 50)
    assert transport.value().count(b"HTTP/1.1 200 ") == MAX_REQUESTS_PER_TURN
    process.clock.advance(0.0)
    assert transport.value().count(b"HTTP/1.1 200 ") == 50


# Reading had paused for the turn and did not go on.
def test_a_body_behind_many_requests_is_received():
    process = Process()
    channel, transport = process.connect()
    process.site.handle = lambda request: request.answer(200, [], b"")
    get = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
    channel.dataReceived(get * MAX_REQUESTS_PER_TURN + HEAD % (b"y", 60_000))
    channel.dataReceived(bytes(20_000))
    assert transport.producerState == "paused"
    process.clock.advance(0.0)
    assert transport.producerState == "producing"
    channel.dataReceived(bytes(40_000))
    answers = transport.value().count(b"HTTP/1.1 200 ")
    assert answers == MAX_REQUESTS_PER_TURN + 1


# Each answer let another 64 KiB be read ahead of a client's requests.
def test_reading_stays_paused_while_enough_is_read_ahead():
    process = Process()
    channel, transport = process.connect()
    post = HEAD % (b"x", 1) + b"z"
    channel.dataReceived(post * 999)
    channel.dataReceived(post)
    assert transport.producerState == "paused"
    process.received[0].answer(200, [], b"")
    assert transport.producerState == "paused"
    position = 1
    while position < len(process.received):
        process.received[position].answer(200, [], b"")
        process.clock.advance(0.0)
        position += 1
    assert position == 1000
    assert transport.producerState == "producing"


@pytest.fixture
def busy(monkeypatch):
    """A site whose servers are full, with a common clock."""
    process = Process(has_servers=True)
    monkeypatch.setattr(
        "gentianwall.http.channel.monotonic_ms",
        lambda: process.clock.seconds() * 1000.0,
    )
    return process


# Refused requests sent ahead took the places of those of ordinary callers.
@pytest.mark.parametrize("status", [429, 503])
def test_requests_behind_many_refused_ones_are_read_later(busy, status):
    busy.site.handle = lambda request: request.answer(status, [], b"")
    channel, transport = busy.connect()
    channel.dataReceived(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n" * 100)
    line = b"HTTP/1.1 %d " % status
    for seconds in range(5):
        busy.clock.pump([0.0, 0.0])
        answers = transport.value().count(line)
        assert answers == MAX_REFUSED_AHEAD + seconds
        busy.clock.advance(REFUSED_AHEAD_INTERVAL_MS / 1000.0)


def test_requests_refused_together_are_read_one_at_a_time_afterwards(busy):
    channel, _ = busy.connect()
    busy.site.is_repeatable = lambda request: True
    channel.dataReceived(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n" * 200)
    for _ in range(20):
        for request in busy.received:
            request.answer(503, [], b"")
        busy.clock.advance(0.0)
    received = len(busy.received)
    assert received <= 2 * MAX_REFUSED_AHEAD
    busy.clock.advance(REFUSED_AHEAD_INTERVAL_MS / 1000.0)
    assert len(busy.received) == received + 1


# Only requests sent ahead are delayed, and none that are served.
@pytest.mark.parametrize("is_ahead", [False, True])
def test_other_requests_are_read_at_once(busy, is_ahead):
    status = 200 if is_ahead else 503
    busy.site.handle = lambda request: request.answer(status, [], b"")
    channel, transport = busy.connect()
    get = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
    for data in [get * 100] if is_ahead else [get] * 100:
        channel.dataReceived(data)
        busy.clock.pump([0.0] * 8)
    assert transport.value().count(b"HTTP/1.1 %d " % status) == 100


# A close with unread input would reset the connection.
def test_a_connection_with_requests_read_later_is_closed_after_reading(busy):
    busy.site.handle = lambda request: request.answer(503, [], b"")
    channel, transport = busy.connect()
    channel.dataReceived(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n" * 100)
    busy.clock.pump([0.0, 0.0])
    # Unlike this transport, a socket can be told twice.
    transport.unregisterProducer = transport.loseWriteConnection = lambda: None
    channel.close_when_idle()
    assert not transport.disconnecting
    busy.clock.advance(LINGER_S)
    assert transport.disconnecting
    assert transport.value().count(b"HTTP/1.1 503 ") == MAX_REFUSED_AHEAD


# Each piece was an object, which took 17 times what was charged for it.
def test_requests_read_ahead_in_small_pieces_take_what_is_charged():
    process = Process()
    channel, _ = process.connect()
    post = HEAD % (b"x", 1) + b"z"
    channel.dataReceived(post)
    for _ in range(100):
        for position in range(0, len(post), 2):
            channel.dataReceived(post[position : position + 2])
    kept_bytes = sum(map(sys.getsizeof, channel._dataBuffer))
    charged_bytes = process.budget.used_bytes
    assert len(process.received) == 1
    assert kept_bytes < charged_bytes
    process.received[0].answer(200, [], b"")
    assert process.received[1].body == b"z"


def test_an_answer_that_was_not_sent_completely_is_reported():
    reports = []
    process = Process()
    process.site.cut_answers = CutAnswers(
        lambda *report: reports.append(report), b"X-Id"
    )
    channel, transport = process.connect()
    channel.dataReceived(b"GET /a HTTP/1.1\r\nHost: a\r\nX-Id: q\r\n\r\n")
    process.received[0].answer(200, [], b"answer")
    transport.dataBuffer, transport.offset = b"answer", 2
    channel.connectionLost(Failure(ConnectionLost()))
    assert reports == [("q", 4)]
