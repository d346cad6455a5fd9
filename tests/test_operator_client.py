"""Tests that the operators' tool takes only whole answers of an instance."""

from __future__ import annotations

import contextlib
import socket
import threading

import pytest

from gentianwall.ctl.client import OperatorClient, Reply, Unreachable

JSON = b'{"version": 3}'
SIZE = b"Content-Length: %d" % len(JSON)
ANSWERS = {
    "usual": (b"HTTP/1.1 200 OK\r\n" + SIZE, JSON),
    "created": (b"HTTP/1.1 201 \r\n" + SIZE, JSON),
    "until the close": (b"HTTP/1.0 200 OK", JSON),
    "chunked": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked",
        b"e\r\n" + JSON + b"\r\n0\r\n\r\n",
    ),
    "conflict": (b"HTTP/1.1 409 Conflict\r\n" + SIZE, JSON),
    "after an interim answer": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + SIZE,
        JSON,
    ),
}
MALFORMED = {
    "status 000": (b"HTTP/1.1 000 OK\r\n" + SIZE, JSON),
    "status 999": (b"HTTP/1.1 999 OK\r\n" + SIZE, JSON),
    "status with a sign": (b"HTTP/1.1 +200 OK\r\n" + SIZE, JSON),
    "no answer": (b"\0\1\2", b""),
    "blank in a name": (b"HTTP/1.1 200 OK\r\nA b: c\r\n" + SIZE, JSON),
    "NUL in a value": (b"HTTP/1.1 200 OK\r\nA: \0\r\n" + SIZE, JSON),
    "two lengths": (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + SIZE, JSON),
    "cut body": (b"HTTP/1.1 200 OK\r\n" + SIZE, JSON[:-1]),
    "cut body of a refusal": (b"HTTP/1.1 409 Conflict\r\n" + SIZE, JSON[:-1]),
    "malformed chunk": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked",
        b"x\r\n" + JSON,
    ),
    "no object": (b"HTTP/1.1 200 OK\r\nContent-Length: 2", b"[]"),
    "nested too deep": (b"HTTP/1.0 200 OK", b"[" * 100_000),
}


@contextlib.contextmanager
def _instance(head, body):
    """Runs an instance that answers once; yields its address."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def answer():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(head + b"\r\n\r\n" + body)

        thread = threading.Thread(target=answer, daemon=True)
        thread.start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        thread.join()


@pytest.mark.parametrize("shape", MALFORMED)
def test_a_malformed_answer_of_an_instance_is_reported(shape):
    with _instance(*MALFORMED[shape]) as address:
        reply = OperatorClient((address,)).get("/v1/declaration")
    assert isinstance(reply, Unreachable)
    assert address in reply.reason


@pytest.mark.parametrize("shape", ANSWERS)
def test_an_answer_of_an_instance_is_read(shape):
    head, body = ANSWERS[shape]
    with _instance(head, body) as address:
        reply = OperatorClient((address,)).get("/v1/declaration")
    assert isinstance(reply, Reply)
    assert reply.content == {"version": 3}


def test_the_next_instance_is_asked_after_a_malformed_answer():
    with (
        _instance(*MALFORMED["status 000"]) as first,
        _instance(*ANSWERS["usual"]) as second,
    ):
        reply = OperatorClient((first, second)).post("/v1/plan", b"", {})
    assert reply == Reply(200, {"version": 3})
