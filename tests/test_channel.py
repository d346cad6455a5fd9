"""Requests that come too slowly are refused; time is a fake clock's."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from gentianwall.http.channel import CallerBounds, CallerSite

BOUNDS = CallerBounds()


@pytest.fixture
def line():
    """A caller's connection: channel, transport, clock, requests seen."""
    seen = []
    site = CallerSite(seen.append, lambda request: None)
    channel = site.buildProtocol(None)
    clock = Clock()
    channel.callLater = clock.callLater
    transport = StringTransport()
    channel.makeConnection(transport)
    return channel, transport, clock, seen


def _trickle(line, data, every_s):
    channel, transport, clock, _ = line
    for place in range(len(data)):
        channel.dataReceived(data[place : place + 1])
        clock.advance(every_s)
        if transport.disconnecting:
            return


def test_headers_that_trickle_get_408(line):
    _trickle(line, b"GET /x HTTP/1.1\r\nX: " + b"y" * 60, 0.5)
    assert line[1].value().startswith(b"HTTP/1.1 408 ")
    assert line[1].disconnecting
    assert line[2].seconds() <= BOUNDS.header_timeout_s + 1


def test_a_body_that_trickles_gets_408(line):
    head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n"
    line[0].dataReceived(head)
    _trickle(line, b"z" * 800, 0.5)
    assert line[1].value().startswith(b"HTTP/1.1 408 ")
    assert line[2].seconds() <= BOUNDS.body_timeout_s + 1


def test_a_whole_request_stops_the_watch(line):
    channel, transport, clock, seen = line
    channel.dataReceived(b"GET /x HTTP/1.1\r\nHost: a\r\n")
    clock.advance(BOUNDS.header_timeout_s / 2)
    channel.dataReceived(b"\r\n")
    clock.advance(BOUNDS.header_timeout_s)
    assert len(seen) == 1
    assert not transport.disconnecting


@pytest.mark.parametrize("hosts", [b"", b"Host: a\r\nHost: b\r\n"])
def test_a_request_without_exactly_one_host_gets_400(line, hosts):
    line[0].dataReceived(b"GET /x HTTP/1.1\r\n" + hosts + b"\r\n")
    assert line[1].value().startswith(b"HTTP/1.1 400 ")
    assert line[1].disconnecting
    assert not line[3]
