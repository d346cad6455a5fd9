"""Tests that answers that break the grammar of HTTP/1.1 reach no caller.

A real server sends each shape to a real entry (RFC 9112, 2 to 7; RFC 9110, 5
and 15).
"""

from __future__ import annotations

import itertools

import pytest

from harness.fleet import (
    CALLERS_PORT,
    HOST,
    Answer,
    Fleet,
    call,
    document,
    send_document_until_acknowledged,
    send_heartbeat_until_acknowledged,
    wait_until,
)
from harness.raw_server import REQUEST_ID, Ending, RawServer

BLOCK = 75
_server_numbers = itertools.count(1)
BODY = b"the whole body"
DEADLINE_MS = 8000
UPLOAD = bytes(6_000_000)
UPLOADS = 12
SIZE = b"Content-Length: %d" % len(BODY)
CHUNKED = b"Transfer-Encoding: chunked"
CHUNKS = b"3\r\nthe\r\nb;a=b\r\n whole body\r\n0\r\nA: b\r\n\r\n"
OK = b"HTTP/1.1 200 OK"
LOAD = b"X-Gentianwall-Server-Load: "
KEEP_ALIVE = b"Keep-Alive: timeout="
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


def _answer(*lines, status_line=OK, body=BODY, newline=b"\r\n"):
    """Returns an answer with the stamp and the id of the request."""
    own = [
        b"X-Gentianwall-Request-Id: " + REQUEST_ID,
        b"X-Gentianwall-Server-Stamp: stamp",
    ]
    return newline.join([status_line, *own, *lines, b"", b""]) + body


def _with_status_line(line):
    return _answer(SIZE, status_line=line)


MALFORMED_NAMES = {
    "blank in a name": _answer(SIZE, b"A b: c"),
    "blank after a name": _answer(SIZE, b"A : c"),
    "blank after the name of the length": _answer(b"Content-Length : 5"),
    "tab after a name": _answer(SIZE, b"A\t: c"),
    "blank before the first name": _answer(SIZE, status_line=OK + b"\r\n A: b"),
    "NUL in a name": _answer(SIZE, b"A\0: c"),
    "control byte in a name": _answer(SIZE, b"A\x01: c"),
    "CR in a name": _answer(SIZE, b"A\rB: c"),
    "DEL in a name": _answer(SIZE, b"A\x7f: c"),
    "byte above 127 in a name": _answer(SIZE, b"\xc3\xa4: c"),
    "separator in a name": _answer(SIZE, b"A(b): c"),
    "empty name": _answer(SIZE, b": c"),
}
MALFORMED_HEADS = {
    "status 000": _with_status_line(b"HTTP/1.1 000 OK"),
    "status 000 without a body": _answer(
        b"Content-Length: 0", status_line=b"HTTP/1.1 000", body=b""
    ),
    "status 000 until the close": _answer(status_line=b"HTTP/1.1 000 OK"),
    "status 099": _with_status_line(b"HTTP/1.1 099 OK"),
    "status 600": _with_status_line(b"HTTP/1.1 600 OK"),
    "status 999": _with_status_line(b"HTTP/1.1 999 OK"),
    "status of one digit": _with_status_line(b"HTTP/1.1 2 OK"),
    "status of four digits": _with_status_line(b"HTTP/1.1 0200 OK"),
    "status with a sign": _with_status_line(b"HTTP/1.1 +200 OK"),
    "negative status": _with_status_line(b"HTTP/1.1 -200 OK"),
    "status with an underscore": _with_status_line(b"HTTP/1.1 2_00 OK"),
    "status after a tab": _with_status_line(b"HTTP/1.1 \t200 OK"),
    "no status": _with_status_line(b"HTTP/1.1"),
    "another protocol": _with_status_line(b"ICY/1.1 200 OK"),
    "another version": _with_status_line(b"HTTP/2.0 200 OK"),
    "version with a sign": _with_status_line(b"HTTP/+1.1 200 OK"),
    "version of two digits": _with_status_line(b"HTTP/1.01 200 OK"),
    "NUL in the reason": _with_status_line(b"HTTP/1.1 200 O\0K"),
    "CR in the reason": _with_status_line(b"HTTP/1.1 200 O\rK"),
    "bad interim answer": b"HTTP/1.1 103 \0\r\n\r\n" + _answer(SIZE),
    "switched protocols": b"HTTP/1.1 101 \r\nUpgrade: a\r\n\r\n"
    + _answer(SIZE),
    "no colon": _answer(SIZE, b"A"),
    "NUL in a value": _answer(SIZE, b"A: b\0c"),
    "CR in a value": _answer(SIZE, b"A: b\rContent-Length: 3"),
    "CR at the end of a value": _answer(SIZE, b"A: b\r"),
    "control byte in a value": _answer(SIZE, b"A: b\x01c"),
    "control byte around a value": _answer(SIZE, b"A: \x0bb\x0c"),
    "DEL in a value": _answer(SIZE, b"A: b\x7fc"),
    "control byte in a folded value": _answer(SIZE, b"A: b", b" \0c"),
    "length with a sign": _answer(b"Content-Length: +14"),
    "length with an underscore": _answer(b"Content-Length: 1_4"),
    "hexadecimal length": _answer(b"Content-Length: 0xe"),
    "empty length": _answer(b"Content-Length:"),
    "two lengths": _answer(SIZE, b"Content-Length: 3"),
    "two lengths in a list": _answer(b"Content-Length: 14, 3"),
    "length and coding": _answer(SIZE, CHUNKED, body=CHUNKS),
    "other coding": _answer(b"Transfer-Encoding: gzip"),
    "coding after chunked": _answer(
        CHUNKED, b"Transfer-Encoding: gzip", body=CHUNKS
    ),
    "chunked twice": _answer(CHUNKED, CHUNKED, body=CHUNKS),
    "chunked in HTTP/1.0": _answer(
        CHUNKED, status_line=b"HTTP/1.0 200 OK", body=CHUNKS
    ),
    "chunk size with a sign": _answer(CHUNKED, body=b"+" + CHUNKS),
    "no answer": b"\0\1\2\r\n\r\n",
}
MALFORMED = MALFORMED_NAMES | MALFORMED_HEADS
# Answers that are complete by the grammar, with the status that callers get.
WHOLE = {
    "usual": (_answer(SIZE), 200),
    "no reason": (_with_status_line(b"HTTP/1.1 200 "), 200),
    "no blank after the status": (_with_status_line(b"HTTP/1.1 200"), 200),
    "HTTP/1.0": (_with_status_line(b"HTTP/1.0 200 OK"), 200),
    "bytes above 127 in the reason": (
        _with_status_line(b"HTTP/1.1 200 \xc3\xa4"),
        200,
    ),
    "unknown success": (_with_status_line(b"HTTP/1.1 299 Odd"), 299),
    "unknown redirection": (_with_status_line(b"HTTP/1.1 399 Odd"), 399),
    "unknown client error": (_with_status_line(b"HTTP/1.1 499 Odd"), 499),
    "unknown server error": (_with_status_line(b"HTTP/1.1 599 Odd"), 599),
    "all token bytes in a name": (
        _answer(SIZE, b"!#$%&'*+-.^_`|~09azAZ: b"),
        200,
    ),
    "blanks around a value": (_answer(SIZE, b"A: \t b \t "), 200),
    "no blank before a value": (_answer(SIZE, b"A:b"), 200),
    "empty value": (_answer(SIZE, b"A:"), 200),
    "bytes above 127 in a value": (_answer(SIZE, b"A: \xe4\xff"), 200),
    "folded value": (_answer(SIZE, b"A: b", b"\t c"), 200),
    "same length twice": (_answer(SIZE, SIZE), 200),
    "bare newlines": (_answer(SIZE, newline=b"\n"), 200),
    "interim answers": (HINTS + HINTS + _answer(SIZE), 200),
    "chunked": (_answer(CHUNKED, body=CHUNKS), 200),
    "chunked in capitals": (
        _answer(b"Transfer-Encoding:CHUNKED ", body=CHUNKS),
        200,
    ),
    "until the close": (_answer(), 200),
    "infinite load": (_answer(SIZE, LOAD + b"inf,0,8"), 200),
    "load that is no number": (_answer(SIZE, LOAD + b"0,nan,8"), 200),
    "load beyond all numbers": (_answer(SIZE, LOAD + b"0,0,1e999"), 200),
    "slowness that is no number": (_answer(SIZE, LOAD + b"0,0,8,nan"), 200),
    "endless keep-alive": (_answer(SIZE, KEEP_ALIVE + b"9" * 400), 200),
}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """A running fleet with an entry."""
    fleet = Fleet(tmp_path_factory.mktemp("fleet"), 1, 1, BLOCK)
    try:
        for node in [*fleet.entries, *fleet.controls]:
            fleet.start(node, is_first_start=True)
        content = document(1)
        content["resources"][0]["spec"]["timeoutMs"] = DEADLINE_MS
        send_document_until_acknowledged(fleet, content)
        yield fleet
    finally:
        fleet.kill_all()


@pytest.fixture
def server(fleet):
    """The only server of the entry, new for each test."""
    name = f"i-{next(_server_numbers)}"
    server = RawServer(name, "orders", f"127.{BLOCK}.3.1")
    server.answer = _answer(SIZE)
    with server.running():
        send_heartbeat_until_acknowledged(fleet, server)
        wait_until(
            "the server serves", lambda: _request(fleet, "warm").status == 200
        )
        yield server
        assert fleet.deregister(fleet.controls[0], server) == 200


def _request(fleet, request_id, body=b"order") -> Answer:
    headers = {
        "Host": HOST,
        "X-Gentianwall-Request-Id": request_id,
        "X-Gentianwall-Deadline-Ms": str(DEADLINE_MS),
    }
    return call(
        fleet.entries[0].host,
        CALLERS_PORT,
        "POST",
        "/orders/x",
        body,
        headers,
        timeout_s=DEADLINE_MS / 1000.0 + 1.0,
    )


def _log(fleet):
    return (fleet.entries[0].folder / "log").read_text()


@pytest.mark.parametrize("shape", MALFORMED)
def test_a_malformed_answer_reaches_no_caller(fleet, server, shape):
    server.answer = MALFORMED[shape]
    if "until the close" in shape:
        server.ending = Ending.CLOSE
    answer = _request(fleet, shape.replace(" ", "-"))
    assert answer.status == 502
    assert b"whole" not in answer.body
    assert "X-Gentianwall-Server-Stamp" not in answer.headers


@pytest.mark.parametrize("shape", WHOLE)
def test_an_odd_but_whole_answer_is_passed_on(fleet, server, shape):
    server.answer, status = WHOLE[shape]
    if "until the close" in shape:
        server.ending = Ending.CLOSE
    answer = _request(fleet, shape.replace(" ", "-"))
    assert (answer.status, answer.body) == (status, BODY)


@pytest.mark.parametrize("line", [b"HTTP/1.1 000 OK", b"HTTP/1.1 x OK"])
def test_a_malformed_answer_ends_its_connection_and_is_logged(
    fleet, server, line
):
    server.answer = _with_status_line(line)
    before = server.closed_by_caller
    assert _request(fleet, "logged").status == 502
    wait_until(
        "the connection is closed", lambda: server.closed_by_caller > before
    )
    lines = [line for line in _log(fleet).splitlines() if "logged" in line]
    assert any(f"{server.host}:" in line and "status" in line for line in lines)


# The end of the server's side is received before the reset that follows it.
@pytest.mark.parametrize(
    "ending", [Ending.CLOSE, Ending.RESET, Ending.END_AND_RESET]
)
def test_a_reset_answer_without_a_length_to_an_upload_is_not_complete(
    fleet, server, ending
):
    server.answer = _answer()
    server.ending = ending
    answers = [
        _request(fleet, f"upload-{number}", UPLOAD) for number in range(UPLOADS)
    ]
    assert {answer.status for answer in answers} == {502}


@pytest.mark.parametrize(
    ("lines", "ending"), [([SIZE], Ending.KEEP), ([], Ending.END)]
)
def test_an_early_whole_answer_to_an_upload_is_passed_on(
    fleet, server, lines, ending
):
    server.answer = _answer(*lines)
    server.ending = ending
    answer = _request(fleet, "upload", UPLOAD)
    assert (answer.status, answer.body) == (200, BODY)
