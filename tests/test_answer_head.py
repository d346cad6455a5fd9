"""Tests of the grammar that the heads of servers' answers must keep."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone

from gentianwall.core.events import FailureKind
from gentianwall.http.answer_head import AnswerFault, AnswerHead
from gentianwall.http.connections import ServerAnswer
from harness.server_exchange import Exchange

BODY = b"body"
TOKEN_BYTES = (
    b"!#$%&'*+-.^_`|~0123456789"
    b"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)
TEXT_BYTES = bytes([*b"\t ", *range(0x21, 0x7F), *range(0x80, 0x100)])
END = b"\r\nContent-Length: 4\r\n\r\n"


def _bytes_of(alphabet: bytes, **limits):
    return st.lists(st.sampled_from(list(alphabet)), **limits).map(bytes)


NAMES = _bytes_of(TOKEN_BYTES, min_size=1, max_size=8).map(
    lambda token: b"X-" + token
)
VALUES = _bytes_of(TEXT_BYTES, max_size=8)
FIELDS = st.lists(st.tuples(NAMES, VALUES), max_size=4).map(
    lambda fields: b"".join(b"\r\n%b:%b" % field for field in fields)
)
STATUS_LINES = st.builds(
    b"HTTP/1.%d %d%b".__mod__,
    st.tuples(
        st.integers(0, 9),
        st.integers(200, 599).filter(lambda status: status not in (204, 304)),
        st.just(b"") | VALUES.map(lambda text: b" " + text),
    ),
)
INTERIM = st.builds(
    b"HTTP/1.1 1%02d %b%b\r\n\r\n".__mod__,
    st.tuples(
        st.integers(0, 99).filter(lambda number: number != 1), VALUES, FIELDS
    ),
)
HEADS = st.tuples(
    st.lists(INTERIM, max_size=2).map(b"".join),
    STATUS_LINES,
    FIELDS,
    st.just(END),
).map(b"".join)


def _receive(data: bytes) -> ServerAnswer | FailureKind:
    """Returns how a request ends whose server sends these bytes and closes."""
    exchange = Exchange()
    exchange.request("")
    exchange.receive(data)
    if not exchange.is_closed:
        exchange.end(ConnectionDone())
    for _ in range(3):
        exchange.reactor.advance(0)
    (result,) = exchange.results
    return result


@given(HEADS, st.lists(st.integers(1, 200), max_size=3))
def test_heads_that_keep_the_grammar_are_accepted_in_any_parts(head, cuts):
    checked = AnswerHead(b"GET")
    positions = [0, *sorted(cuts), len(head) + len(BODY)]
    data = head + BODY
    for start, end in zip(positions, positions[1:], strict=False):
        assert checked.receive(data[start:end]) is None
    assert checked.is_complete
    answer = _receive(data)
    assert isinstance(answer, ServerAnswer)
    assert answer.body == BODY
    status_line = head.rpartition(b"\r\n\r\n")[0]
    status_line = status_line[status_line.rfind(b"HTTP/1.") :]
    assert b" %d" % answer.status in status_line


@given(
    HEADS,
    st.lists(
        st.tuples(
            st.integers(0, 300),
            st.integers(0, 2),
            st.binary(max_size=2) | st.sampled_from([b"0", b"\n", b" ", b":"]),
        ),
        min_size=1,
        max_size=3,
    ),
)
def test_whatever_passes_keeps_the_grammar(head, changes):
    for position, removed_bytes, inserted in changes:
        start = position % len(head)
        head = head[:start] + inserted + head[start + removed_bytes :]
    answer = _receive(head + BODY)
    if isinstance(answer, FailureKind):
        return
    assert 200 <= answer.status <= 599
    for name, values in answer.headers.getAllRawHeaders():
        assert name
        assert not name.translate(None, TOKEN_BYTES)
        assert not b"".join(values).translate(None, TEXT_BYTES)


@pytest.mark.parametrize(
    ("head", "fault"),
    [
        (b"HTTP/1.1 000 OK\r\n", AnswerFault.STATUS),
        (b"HTTP/1.1 600 OK\r\n", AnswerFault.STATUS),
        (b"HTTP/1.1 20 OK\r\n", AnswerFault.STATUS_LINE),
        (b"HTTP/1.1 101 OK\r\n\r\n", AnswerFault.PROTOCOL_SWITCH),
        (b"HTTP/1.1 200 OK\r\nA b: c\r\n", AnswerFault.NAME),
        (b"HTTP/1.1 200 OK\r\nA: b\0\r\n", AnswerFault.VALUE),
    ],
)
def test_a_fault_is_found_before_the_head_ends(head, fault):
    assert AnswerHead(b"GET").receive(head) is fault
    assert _receive(head) is FailureKind.MALFORMED


# A caller would get these lines, since such answers keep their length.
@pytest.mark.parametrize(
    "length", [b"x", b"-1", b"1, 2", b"1\r\n 0", b"9" * 20]
)
def test_the_length_of_an_answer_without_a_body_is_checked(length):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: " + length + b"\r\n\r\n"
    assert AnswerHead(b"HEAD").receive(head) is AnswerFault.LENGTH


@pytest.mark.parametrize("status", [204, 304])
def test_an_answer_without_a_body_may_name_any_coding(status):
    coding = b"Transfer-Encoding: gzip, chunked"
    head = b"HTTP/1.1 %d\r\n%b\r\n\r\n" % (status, coding)
    assert AnswerHead(b"GET").receive(head) is None
    assert isinstance(_receive(head), ServerAnswer)


def test_a_malformed_answer_is_not_skipped_for_the_next_one():
    exchange = Exchange()
    exchange.request("first")
    exchange.receive(b"HTTP/1.1 000 OK" + END + BODY + b"HTTP/1.1 200 OK" + END)
    assert exchange.is_closed
    exchange.reactor.advance(0)
    assert exchange.results == [FailureKind.MALFORMED]


@pytest.mark.parametrize(
    ("framing", "body", "is_until_close"),
    [
        (b"Content-Length: 4\r\n", b"body", False),
        (b"Transfer-Encoding: chunked\r\n", b"4\r\nbody\r\n0\r\n\r\n", False),
        (b"", b"body", True),
    ],
)
def test_a_body_that_ends_with_its_connection_is_told_apart(
    framing, body, is_until_close
):
    """The end of its server would look the same."""
    answer = _receive(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n" + body)
    assert answer.body == b"body"
    assert answer.is_body_until_close == is_until_close
