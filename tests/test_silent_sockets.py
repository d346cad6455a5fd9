"""Tests that no library decides by itself when a silent connection ends.

`TCP_USER_TIMEOUT`, where it is set, also decides when keep-alive probes give
up. Entries and control instances detect silence by their own heartbeats and
time-outs, so neither option may be set on their sockets.
"""

from __future__ import annotations

import contextlib
import os
import socket
import time

import pytest
from twisted.internet import reactor

from gentianwall.control.messages import FeedPoll
from gentianwall.http.connections import ConnectionPool
from gentianwall.links.sockets import LinkSetup, open_links
from gentianwall.timeline import Timeline

HOST = "127.0.5.1"
PORTS = (9601, 9602, 9603)
LIMIT_S = 3.0


def _established_sockets():
    """Yields duplicates of this process's connected TCP sockets."""
    for name in os.listdir("/proc/self/fd"):
        with contextlib.suppress(OSError):
            sock = socket.socket(fileno=os.dup(int(name)))
            with sock:
                is_tcp = sock.family == socket.AF_INET
                if is_tcp and sock.type == socket.SOCK_STREAM:
                    sock.getpeername()
                    yield sock


@pytest.fixture
def connections():
    """A link between two processes and a connection to a server."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(
            socket.create_server((HOST, PORTS[0]), backlog=5)
        )
        links = [
            stack.enter_context(
                open_links(
                    LinkSetup(
                        name=f"{HOST}:{port}",
                        address=f"{HOST}:{port}",
                        can_connect_on_demand=True,
                        heartbeat_ms=300,
                        silence_ms=900,
                    ),
                    reactor,
                    Timeline(f"e-{port}"),
                    lambda envelopes: None,
                )
            )
            for port in PORTS[1:]
        ]
        opened = []
        pool = ConnectionPool(reactor, HOST, PORTS[0])
        pool.connect(opened.append, lambda: None)
        until_s = time.monotonic() + LIMIT_S
        while time.monotonic() < until_s and not (
            opened and links[1].received_bytes
        ):
            links[0].send(links[1].setup.name, FeedPoll(1, 2, 3, True))
            reactor.iterate(0.05)
        assert opened
        assert links[1].received_bytes
        yield listener
        opened[0].transport.abortConnection()
        reactor.iterate(0.05)


def test_silence_is_not_decided_by_options_of_the_sockets(connections):
    options = [
        (
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
            sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
        )
        for sock in _established_sockets()
    ]
    # Both ends of the link and one of the connection.
    assert len(options) >= 3
    assert set(options) == {(0, 0)}
