"""Tests of how the bytes of a server's connection become answers."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from gentianwall.core.events import FailureKind
from gentianwall.http import connections
from gentianwall.http.answer_limits import HEAD_PART_BYTES
from gentianwall.http.connections import (
    PROCESS_END_MS,
    ConnectionPool,
    ServerAnswer,
)
from gentianwall.http.parse_pacing import ParsePacing
from harness.server_exchange import ID_HEADER, Exchange, ServerTransport

BODY = bytes(range(256)) * 36
LATE_BODY = b"late"


def _answer(request_id: str, body: bytes, *headers: bytes) -> bytes:
    lines = [b"HTTP/1.1 200 OK", ID_HEADER + b": " + request_id.encode()]
    return b"\r\n".join([*lines, *headers, b"", body])


def _sized(request_id: str, body: bytes, *headers: bytes) -> bytes:
    return _answer(
        request_id, body, b"Content-Length: %d" % len(body), *headers
    )


def _after_a_first_answer() -> Exchange:
    """Returns a kept connection whose second request is outstanding."""
    exchange = Exchange()
    exchange.request("first")
    exchange.receive(_sized("first", LATE_BODY))
    exchange.request("second")
    assert len(exchange.results) == 1
    return exchange


def _parts(data: bytes, cuts: list[int]) -> list[bytes]:
    bounds = [0, *sorted(cuts), len(data)]
    return [
        data[start:end]
        for start, end in zip(bounds, bounds[1:], strict=False)
        if start < end
    ]


UNSIZED = _answer("second", BODY)


# The first 2 KiB of the next answer's read passed for its whole body.
@given(
    copies=st.integers(1, 3),
    cuts=st.lists(st.integers(1, len(UNSIZED)), max_size=4),
)
def test_late_second_answer_does_not_shorten_an_unsized_body(copies, cuts):
    exchange = _after_a_first_answer()
    late = _sized("first", LATE_BODY) * copies
    exchange.receive(*_parts(late + UNSIZED, cuts))
    exchange.end(ConnectionDone())
    answer = exchange.results[1]
    assert isinstance(answer, ServerAnswer), answer
    assert answer.body == BODY


# A connection that this side closed was taken for the end of the body.
@pytest.mark.parametrize("read_bytes", [1000, HEAD_PART_BYTES, 4000, 8000])
def test_a_body_is_not_complete_because_this_side_closes(read_bytes):
    late = _sized("first", LATE_BODY, b"Connection: close")
    exchange = _after_a_first_answer()
    exchange.receive((late + _answer("second", BODY))[:read_bytes])
    exchange.end(ConnectionDone())
    assert exchange.results[1:] == [FailureKind.TRUNCATED]


EMPTY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
EMPTY_TO_FIRST = EMPTY + ID_HEADER + b": first\r\n\r\n"


# A skipped answer without a body gave the connection to the next request.
def test_a_connection_is_not_reused_while_its_answer_is_outstanding():
    exchange = _after_a_first_answer()
    exchange.receive(EMPTY_TO_FIRST)
    exchange.request("third")
    assert exchange.connections == 2
    exchange.receive_on_first(_sized("second", BODY))
    assert [a.status for a in exchange.results] == [200, 200]
    assert exchange.results[1].body == BODY


# The rest of the read was taken for bytes that nobody had asked for.
@pytest.mark.parametrize("copies", [1, 2, 3])
def test_late_answers_without_a_body_may_share_a_read_with_the_next(copies):
    exchange = _after_a_first_answer()
    exchange.receive(EMPTY_TO_FIRST * copies + _sized("second", BODY))
    answer = exchange.results[1]
    assert isinstance(answer, ServerAnswer), answer
    assert answer.body == BODY


UNNAMED_REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nGentianwall-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


# Requests that ran were refused as not executed, or ran at a second server.
@pytest.mark.parametrize("copies", [1, 2, 3])
def test_a_refused_health_check_sent_again_refuses_no_request(copies):
    exchange = Exchange()
    exchange.request("first")
    exchange.receive(_sized("first", b""))
    exchange.request("")
    exchange.receive(UNNAMED_REFUSAL)
    assert [answer.status for answer in exchange.results] == [200, 503]
    exchange.request("second")
    exchange.receive(UNNAMED_REFUSAL * copies, _sized("second", BODY))
    assert exchange.connections == 1
    answer = exchange.results[2]
    assert (answer.status, answer.body) == (200, BODY)


def test_a_server_that_may_not_echo_ids_gets_requests_on_other_connections():
    exchange = Exchange()
    exchange.request("")
    exchange.receive(UNNAMED_REFUSAL)
    exchange.request("first")
    assert exchange.connections == 2
    exchange.receive(UNNAMED_REFUSAL)
    assert [answer.status for answer in exchange.results] == [503, 503]
    assert exchange.is_closed


def test_bytes_after_an_answer_end_the_reuse_of_its_connection():
    exchange = Exchange()
    exchange.request("first")
    exchange.receive(_sized("first", b"") + bytes(2 * HEAD_PART_BYTES))
    assert exchange.results[0].body == b""
    assert exchange.is_closed


# The registry may hold such hosts, which earlier versions accepted.
@pytest.mark.parametrize(
    "host", ["", "[::1", "127.9.9.9:80", "a\0b", "x" * 300, "\u0661.2.3.4"]
)
def test_a_host_that_is_no_ip_address_is_not_connected(host):
    reactor = MemoryReactorClock()
    failed = []
    pool = ConnectionPool(reactor, host, 80)
    pool.connect(failed.append, lambda: failed.append(host))
    reactor.advance(0)
    assert failed == [host]
    assert not reactor.tcpClients


CHUNKS = b"5\r\nhello\r\n3;a=b\r\nyou\r\n0\r\n"
# Answers of servers, each with the bytes that make it complete.
WHOLE_ANSWERS = {
    "sized": _sized("second", b"hello"),
    "chunked": _answer(
        "second", CHUNKS + b"\r\n", b"Transfer-Encoding: chunked"
    ),
    "trailers": _answer(
        "second",
        CHUNKS + b"A: b\r\nC: d\r\n\r\n",
        b"Transfer-Encoding: chunked",
    ),
    "interim": b"HTTP/1.1 100 Continue\r\nA: b\r\n\r\n"
    + b"HTTP/1.1 103 Early Hints\r\n\r\n"
    + _sized("second", b"hello"),
    "late answer first": _sized("first", LATE_BODY)
    + _sized("second", b"hello"),
}


# A head or a body that broke off passed for a whole answer elsewhere.
@pytest.mark.parametrize("error", [ConnectionDone(), ConnectionLost()])
@pytest.mark.parametrize("shape", WHOLE_ANSWERS)
def test_an_answer_that_breaks_off_at_any_byte_is_no_success(shape, error):
    data = WHOLE_ANSWERS[shape]
    for size in range(len(data)):
        exchange = _after_a_first_answer()
        exchange.receive(data[:size])
        exchange.end(error)
        (result,) = exchange.results[1:]
        assert isinstance(result, FailureKind), (size, result)
    exchange = _after_a_first_answer()
    exchange.receive(data)
    assert isinstance(exchange.results[1], ServerAnswer)


@pytest.fixture
def slow_exchange(monkeypatch):
    """An exchange in which the parsing of framing has to wait."""
    pacing = ParsePacing(bytes_per_s=20_000, burst_bytes=100)
    monkeypatch.setattr(connections, "_parse_pacing", pacing)
    return Exchange()


def _tiny_chunks(request_id, body):
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
    encoding = b"Transfer-Encoding: chunked"
    return _answer(request_id, chunks + b"0\r\nA: b\r\n\r\n", encoding)


@given(st.lists(st.integers(1, 20_000), max_size=4))
@settings(
    max_examples=30,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
def test_an_answer_whose_parsing_has_to_wait_is_whole(slow_exchange, cuts):
    exchange = Exchange()
    exchange.request("a")
    data = _tiny_chunks("a", BODY[:3000])
    positions = [0, *sorted(cuts), len(data)]
    for start, end in itertools.pairwise(positions):
        exchange.receive(data[start:end])
    assert exchange.results == []
    for _ in range(20):
        exchange.reactor.advance(60.0)
    assert exchange.results[0].body == BODY[:3000]
    exchange.request("b")
    exchange.receive(_sized("b", LATE_BODY))
    assert exchange.results[1].body == LATE_BODY
    assert exchange.connections == 1


def test_a_connection_that_is_lost_while_parsing_waits_fails(slow_exchange):
    slow_exchange.request("a")
    slow_exchange.receive(_tiny_chunks("a", BODY[:3000]))
    slow_exchange.end(ConnectionLost())
    for _ in range(20):
        slow_exchange.reactor.advance(1.0)
    assert slow_exchange.results == [FailureKind.TRUNCATED]


class Check:
    """A check whether a server accepts connections."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.results = []
        pool = ConnectionPool(self.reactor, "127.0.0.1", 1)
        pool.check_accepting(
            lambda: self.results.append("accepts"),
            lambda: self.results.append("refuses"),
        )

    def accept(self):
        """Accepts the latest connection; returns its protocol."""
        protocol = self.reactor.tcpClients[-1][2].buildProtocol(None)
        protocol.makeConnection(ServerTransport())
        return protocol

    def refuse(self):
        """Refuses the latest connection."""
        error = Failure(ConnectionRefusedError())
        self.reactor.tcpClients[-1][2].clientConnectionFailed(None, error)

    def wait(self):
        """Waits until a process that was ending has ended."""
        self.reactor.advance(PROCESS_END_MS / 1000.0)


def test_a_server_that_keeps_a_connection_accepts():
    check = Check()
    check.accept()
    assert check.results == []
    check.wait()
    assert check.results == ["accepts"]
    assert len(check.reactor.tcpClients) == 1


# A server that crashed in its answer counted as one that had cut it short.
@pytest.mark.parametrize("is_back", [False, True])
def test_a_connection_that_a_server_closed_in_its_end_is_no_proof(is_back):
    check = Check()
    check.accept().connectionLost(Failure(ConnectionLost()))
    check.wait()
    assert check.results == []
    if is_back:
        check.accept()
    else:
        check.refuse()
    assert check.results == ["accepts" if is_back else "refuses"]


def test_a_server_that_refuses_a_connection_has_ended():
    check = Check()
    check.refuse()
    assert check.results == ["refuses"]
