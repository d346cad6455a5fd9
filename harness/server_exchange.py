"""Plays a server that a request is sent to, without a socket."""

from __future__ import annotations

import attrs
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure
from twisted.web.http_headers import Headers

from gentianwall.core.events import FailureKind
from gentianwall.http.connections import (
    Attempt,
    ConnectionPool,
    ServerAnswer,
    ServerRequest,
)

ID_HEADER = b"Gentianwall-Request-Id"


class ServerTransport(StringTransport):
    """A transport that acts as that of a socket after a close."""

    def pauseProducing(self):  # noqa: N802
        """Does nothing, since the test decides what is received."""

    def resumeProducing(self):  # noqa: N802
        """Does nothing; after a close, `StringTransport` raises an error."""

    def loseConnection(self):  # noqa: N802
        """Closes the connection after the current call, as a reactor does."""
        super().loseConnection()
        self.on_close(ConnectionDone())

    def abortConnection(self):  # noqa: N802
        """Closes the connection at once."""
        super().abortConnection()
        self.on_close(ConnectionLost())


@attrs.define
class Exchange:
    """Requests on one connection to a server that the test plays.

    Attributes:
        results: An answer or a failure for each request that has ended.
        connections: Number of connections; the latest one is in use.
        is_closed: Whether this side has closed the connection.
    """

    reactor: MemoryReactorClock = attrs.field(factory=MemoryReactorClock)
    results: list[ServerAnswer | FailureKind] = attrs.field(factory=list)
    connections: int = 0
    is_closed: bool = False
    _pool: ConnectionPool | None = None
    _protocol: object = None
    _first_protocol: object = None
    _is_ended: bool = False

    def request(self, request_id: str) -> None:
        """Starts a request on the connection, which the first one opens.

        A health check has no id.
        """
        if self._pool is None:
            self._pool = ConnectionPool(self.reactor, "127.0.0.1", 1)
        headers = Headers({b"Host": [b"server"]})
        if request_id:
            headers.setRawHeaders(ID_HEADER, [request_id])
        request = ServerRequest(
            b"GET",
            b"/",
            headers,
            b"",
            True,
            is_echo_required=bool(request_id),
            is_close_delimited=True,
        )
        attempt = Attempt(
            self._pool,
            request,
            request_id,
            1_000_000,
            float("inf"),
            self.results.append,
            self.results.append,
        )
        attempt.start()
        if len(self.reactor.tcpClients) > self.connections:
            self.connections += 1
            factory = self.reactor.tcpClients[-1][2]
            self._protocol = factory.buildProtocol(None)
            transport = ServerTransport()
            transport.on_close = self._on_close
            self._protocol.makeConnection(transport)
            self._first_protocol = self._first_protocol or self._protocol

    def receive_on_first(self, data: bytes) -> None:
        """Receives bytes of the server on the first connection."""
        self._first_protocol.dataReceived(data)
        self.reactor.advance(0)

    def receive(self, *parts: bytes) -> None:
        """Receives bytes of the server, each part in a read of its own."""
        for part in parts:
            if not self.is_closed:
                self._protocol.dataReceived(part)
            self.reactor.advance(0)

    def end(self, error: Exception) -> None:
        """Ends the connection from the server's side."""
        if not self._is_ended:
            self._is_ended = True
            self._protocol.connectionLost(Failure(error))
        self.reactor.advance(0)

    def _on_close(self, error: Exception) -> None:
        self.is_closed = True
        # A reactor handles a close after the calls that are already due.
        self.reactor.callLater(
            0, lambda: self.reactor.callLater(0, self.end, error)
        )
