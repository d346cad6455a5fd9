"""Tests with a fake clock that slow or malformed requests are refused."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from gentianwall.http.channel import CallerBounds, CallerSite

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
