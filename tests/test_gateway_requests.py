"""Tests that the driver of requests forwards the answer that was decided on."""

from __future__ import annotations

import types

import pytest
from twisted.web.http_headers import Headers

from gentianwall.gateway.effects import (
    CancelRequest,
    ForwardAnswer,
    SendRequest,
)
from gentianwall.http.connections import ServerAnswer
from gentianwall.http.dialect import Dialect
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.runtime import gateway_requests


class _Attempt:
    """An attempt that is answered by the test."""

    def __init__(self, *args):
        *_, self.on_answer, _ = args
        self.is_cancelled = False

    def start(self):
        pass

    def cancel(self):
        self.is_cancelled = True


class _Request:
    """A request of a caller, which keeps its answer."""

    method, path, uri, body = b"GET", b"/x", b"/x", b""
    received_ms = 0.0

    def __init__(self):
        self.requestHeaders = Headers()
        self.answered = None

    def header(self, name):
        return ""

    def answer(self, status, headers, body, is_closing):
        self.answered = (status, body)


@pytest.fixture
def handler(monkeypatch):
    """A driver with one open request, which runs at two servers."""
    monkeypatch.setattr(gateway_requests, "Attempt", _Attempt)
    ignore = types.SimpleNamespace(
        pool_of=lambda notice: None, cancel=lambda name: None
    )
    handler = gateway_requests.GatewayRequestHandler(
        reactor=None,
        timers=ignore,
        authenticator=types.SimpleNamespace(dialect=Dialect()),
        pools=ignore,
        checks=None,
        handle=lambda event: None,
        is_fingerprint_needed=lambda: False,
        peer_port=0,
    )
    handler.on_request_arrived(_Request())
    for attempt, name in enumerate("ab", 1):
        notice = ServerNotice(ServerKey("s", name), "h", 1, 2, "", 1, "up")
        handler.send(SendRequest(1, attempt, notice, 100.0, True))
    return handler


def _answer(handler, attempt, status, headers=None):
    body = f"{status}".encode()
    answer = ServerAnswer(status, Headers(headers or {}), body)
    handler.open_requests[1].attempts[attempt].on_answer(answer)


@pytest.mark.parametrize("first", [1, 2])
def test_a_refusal_does_not_replace_the_error_answer_at_hand(handler, first):
    request = handler.open_requests[1].request
    _answer(handler, first, 500)
    _answer(handler, 3 - first, 503, {b"Gentianwall-Not-Executed": [b"1"]})
    handler.forward_answer(ForwardAnswer(1))
    assert request.answered == (500, b"500")


def test_only_the_named_attempt_is_cancelled(handler):
    attempts = dict(handler.open_requests[1].attempts)
    request = handler.open_requests[1].request
    _answer(handler, 2, 200)
    handler.cancel(CancelRequest(1, 1))
    handler.forward_answer(ForwardAnswer(1))
    assert request.answered == (200, b"200")
    assert [attempts[n].is_cancelled for n in (1, 2)] == [True, False]
