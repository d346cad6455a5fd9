"""Connections to servers: one request at a time on each, whole answers.

Works on twisted's `HTTP11ClientProtocol`. A connection whose request was
cancelled, timed out or answered short is closed and never used again.
"""

from __future__ import annotations

import re
from collections.abc import Callable

import attrs
from twisted.internet import protocol
from twisted.internet.defer import succeed
from twisted.internet.error import ConnectionDone
from twisted.web import http_headers
from twisted.web.client import HTTP11ClientProtocol, Request, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from gentianwall.core.events import FailureKind
from gentianwall.timers import monotonic_ms

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_MS = 4000.0
DISTRUST_MS = 60_000.0
# A kept connection is given up well before the server says it would close it.
KEEP_ALIVE_SHARE = 0.6
# Answers to older requests that are dropped before the connection is.
MAX_STRAYS = 3


@attrs.define
class ServerRequest:
    """What is sent to a server.

    Attributes:
        method: HTTP method.
        uri: Path and query.
        headers: All headers.
        body: The whole body.
        is_idempotent: Whether an old connection may be risked.
        is_echo_required: Whether an answer that names no request ends its
            connection.
        is_close_an_end: Whether an answer without a length is whole once the
            server has closed the connection in order.
        echo_header: The header in which servers echo the request id.
    """

    method: bytes
    uri: bytes
    headers: http_headers.Headers
    body: bytes
    is_idempotent: bool
    is_echo_required: bool = False
    is_close_an_end: bool = False
    echo_header: bytes = b"Gentianwall-Request-Id"


@attrs.define
class ServerAnswer:
    """A whole answer of a server."""

    status: int
    headers: http_headers.Headers
    body: bytes


@implementer(IBodyProducer)
class _Body:
    """Writes a body that is already in memory."""

    def __init__(self, body: bytes):
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer):
        consumer.write(self._body)
        return succeed(None)

    def stopProducing(self) -> None:
        pass

    def pauseProducing(self) -> None:
        pass

    def resumeProducing(self) -> None:
        pass


class _NothingMore:
    """Waits for another answer to a request that was sent before."""

    persistent = True

    def __init__(self, method: bytes):
        self.method = method

    def writeTo(self, transport):
        return succeed(None)

    def stopWriting(self) -> None:
        pass


class Connection(HTTP11ClientProtocol):
    """One connection to a server.

    Attributes:
        opened_ms: When it was opened.
        idle_since_ms: When its last request ended.
        heard_ms: When the last byte came.
        is_tainted: Whether bytes came that belong to no request.
        is_lost: Whether it is closed.
        is_orderly: Whether the server closed it in order.
        idle_limit_ms: How long it may be idle and still be used.
        is_stray: Whether the answer under way belongs to an older request.
        stray_rest: Bytes behind that answer.
    """

    def __init__(self, pool: ConnectionPool):
        super().__init__(self._went_idle)
        self.pool = pool
        self.opened_ms = monotonic_ms()
        self.idle_since_ms = self.opened_ms
        self.heard_ms = self.opened_ms
        self.is_tainted = False
        self.is_lost = False
        self.is_orderly = False
        self.idle_limit_ms = MAX_IDLE_MS
        self.is_stray = False
        self.stray_rest = b""

    def _went_idle(self, _) -> None:
        if not self.is_stray:
            self.pool.put_idle(self)

    def note_keep_alive(self, headers: http_headers.Headers) -> None:
        """Takes note of how long the server keeps the connection."""
        for value in headers.getRawHeaders(b"Keep-Alive") or ():
            match = re.search(rb"timeout\s*=\s*(\d+)", value)
            if match:
                limit_ms = KEEP_ALIVE_SHARE * 1000.0 * int(match.group(1))
                self.idle_limit_ms = min(MAX_IDLE_MS, limit_ms)

    def await_next(self, method: bytes):
        """Drops the answer under way and waits for the one behind it.

        Returns:
            A deferred that fires with the next answer.
        """
        self.is_stray = False
        answered = self.request(_NothingMore(method))
        rest, self.stray_rest = self.stray_rest, b""
        if rest:
            self.dataReceived(rest)
        return answered

    def dataReceived(self, data) -> None:
        """Takes bytes; those that belong to no request end the connection."""
        self.heard_ms = monotonic_ms()
        if self._parser is None and self.is_stray:
            self.stray_rest += data
            return
        if self._parser is None:
            self._distrust()
            self.transport.abortConnection()
            return
        super().dataReceived(data)

    def _finishResponse(self, rest) -> None:
        if self.is_stray:
            self.stray_rest = rest
        elif rest:
            self._distrust()
        super()._finishResponse(rest)

    def _distrust(self) -> None:
        self.is_tainted = True
        if not self.pool.is_echoing:
            self.pool.distrust()

    def connectionLost(self, reason) -> None:
        """Leaves the pool."""
        self.is_lost = True
        self.is_orderly = bool(reason.check(ConnectionDone))
        self.pool.drop(self)
        super().connectionLost(reason)


class _Collector(protocol.Protocol):
    """Gathers an answer's body up to a limit."""

    def __init__(
        self,
        limit_bytes: int,
        done: Callable[[bytes], None],
        failed: Callable[[FailureKind], None],
        is_end: Callable[[], bool],
    ):
        self._limit_bytes = limit_bytes
        self._is_end = is_end
        self._done = done
        self._failed = failed
        self._chunks: list[bytes] = []
        self._size_bytes = 0

    def dataReceived(self, data) -> None:
        self._size_bytes += len(data)
        if self._size_bytes > self._limit_bytes:
            self._chunks.clear()
            self._failed(FailureKind.TOO_LARGE)
            return
        self._chunks.append(data)

    def connectionLost(self, reason) -> None:
        is_closed = reason.check(PotentialDataLoss) and self._is_end()
        if reason.check(ResponseDone) or is_closed:
            self._done(b"".join(self._chunks))
        else:
            # An end by close alone cannot be told from a cut, unless the
            # servers are known to close in order only behind a whole answer.
            self._failed(FailureKind.TRUNCATED)


class Attempt:
    """One request on its way to a server and back.

    Calls `on_answer` or `on_failure` exactly once, unless it is cancelled.

    Attributes:
        request: What is sent.
        is_reused: Whether it was sent on a connection that had been idle.
        started_ms: When it began.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        request: ServerRequest,
        request_id: str,
        limit_bytes: int,
        silence_ms: float,
        on_answer: Callable[[ServerAnswer], None],
        on_failure: Callable[[FailureKind], None],
    ):
        self.request = request
        self.is_reused = False
        self.started_ms = monotonic_ms()
        self._pool = pool
        self._request_id = request_id
        self._limit_bytes = limit_bytes
        self._silence_ms = silence_ms
        self._is_testing = False
        self._strays = 0
        self._on_answer = on_answer
        self._on_failure = on_failure
        self._connection: Connection | None = None
        self._is_over = False

    def start(self) -> None:
        """Takes an idle connection or opens one."""
        connection = self._pool.take_idle(self.request.is_idempotent)
        self.is_reused = connection is not None
        if connection is not None:
            self._send(connection)
        else:
            self._pool.connect(self._send, self._not_connected)

    def cancel(self) -> None:
        """Closes the connection; nothing is reported any more."""
        self._is_over = True
        self._abort()

    def check_silence(self, now_ms: float) -> None:
        """Tests the server with a new connection after a long silence.

        If the new connection works, only the old one is dead; if it does
        not, the server is.
        """
        if self._is_over or self._is_testing or self._connection is None:
            return
        heard_ms = max(self.started_ms, self._connection.heard_ms)
        if now_ms < heard_ms + self._silence_ms:
            return
        self._is_testing = True

        def works(connection: Connection) -> None:
            self._pool.put_idle(connection)
            self.fail(FailureKind.SILENT)

        self._pool.connect(works, lambda: self.fail(FailureKind.LOST))

    def fail(self, kind: FailureKind) -> None:
        """Ends the attempt without an answer and closes the connection."""
        if self._is_over:
            return
        self._is_over = True
        self._abort()
        self._on_failure(kind)

    def _abort(self) -> None:
        if self._connection is not None and not self._connection.is_lost:
            self._connection.is_tainted = True
            self._connection.transport.abortConnection()

    def _not_connected(self) -> None:
        if not self._is_over:
            self._is_over = True
            self._on_failure(FailureKind.NOT_CONNECTED)

    def _send(self, connection: Connection) -> None:
        if self._is_over:
            self._pool.put_idle(connection)
            return
        self._connection = connection
        body = self.request.body
        request = Request(
            self.request.method,
            self.request.uri,
            self.request.headers,
            _Body(body) if body else None,
            persistent=True,
        )
        self._await(connection.request(request))

    def _await(self, answered) -> None:
        answered.addCallbacks(self._head, self._lost)
        answered.addErrback(self._lost)

    def _skip(self, response) -> None:
        """Drops the answer to an older request and waits for the next."""
        connection = self._connection
        connection.is_stray = True
        self._strays += 1
        if self._strays > MAX_STRAYS:
            self.fail(FailureKind.MISMATCHED)
            return

        def dropped(_) -> None:
            self._pool.call_soon(again)

        def again() -> None:
            if self._is_over:
                return
            if connection.is_lost:
                self.fail(FailureKind.LOST)
                return
            self._await(connection.await_next(self.request.method))

        response.deliverBody(
            _Collector(self._limit_bytes, dropped, dropped, lambda: True)
        )

    def _head(self, response) -> None:
        if self._is_over:
            return
        echoed = response.headers.getRawHeaders(self.request.echo_header)
        if echoed:
            self._pool.is_echoing = True
        if echoed and echoed[0] != self._request_id.encode():
            self._skip(response)
            return
        self._connection.note_keep_alive(response.headers)
        if not echoed and self.request.is_echo_required:
            self._connection.is_tainted = True  # It is not used again.
        is_known = response.length is not UNKNOWN_LENGTH
        if is_known and response.length > self._limit_bytes:
            self.fail(FailureKind.TOO_LARGE)
            return

        def done(body: bytes) -> None:
            if self._is_over:
                return
            self._is_over = True
            self._on_answer(ServerAnswer(response.code, response.headers, body))

        def is_end() -> bool:
            return self.request.is_close_an_end and self._connection.is_orderly

        response.deliverBody(
            _Collector(self._limit_bytes, done, self.fail, is_end)
        )

    def _lost(self, _) -> None:
        self.fail(FailureKind.LOST)


class _Connector(protocol.ClientFactory):
    """Opens one connection."""

    noisy = False

    def __init__(
        self,
        pool: ConnectionPool,
        done: Callable[[Connection], None],
        failed: Callable[[], None],
    ):
        self._pool = pool
        self._done = done
        self._failed = failed

    def buildProtocol(self, addr) -> Connection:
        connection = Connection(self._pool)
        made = connection.connectionMade

        def connection_made() -> None:
            made()
            self._pool.add(connection)
            self._done(connection)

        connection.connectionMade = connection_made
        return connection

    def clientConnectionFailed(self, connector, reason) -> None:
        self._failed()


class ConnectionPool:
    """All connections to one server.

    Attributes:
        host: IP number of the server.
        port: Its port.
        connect_timeout_s: Time for a new connection.
        is_echoing: Whether the server echoes request ids, so that an answer
            to another request is found out.
    """

    def __init__(
        self,
        reactor,
        host: str,
        port: int,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ):
        self._reactor = reactor
        self.host = host
        self.port = port
        self.is_echoing = False
        self.connect_timeout_s = connect_timeout_s
        self._distrusted_until_ms = float("-inf")
        self._idle: list[Connection] = []
        self._all: set[Connection] = set()

    def take_idle(self, is_idempotent: bool) -> Connection | None:
        """Returns the idle connection used last, if any is fresh.

        A server may close a connection while a request is on its way. What
        may not be repeated therefore takes only one that was used just now.
        """
        now_ms = monotonic_ms()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_lost:
                continue
            most_ms = connection.idle_limit_ms
            if not is_idempotent:
                most_ms /= 4
            if now_ms - connection.idle_since_ms <= most_ms:
                return connection
            connection.transport.loseConnection()
        return None

    def put_idle(self, connection: Connection) -> None:
        """Takes a connection back, or closes it if it cannot be trusted."""
        if connection.is_lost:
            return
        now_ms = monotonic_ms()
        is_trusted = now_ms >= self._distrusted_until_ms
        if connection.is_tainted or not is_trusted:
            connection.transport.abortConnection()
            return
        connection.idle_since_ms = now_ms
        self._idle.append(connection)

    def connect(
        self,
        done: Callable[[Connection], None],
        failed: Callable[[], None],
    ) -> None:
        """Opens a connection."""
        self._reactor.connectTCP(
            self.host,
            self.port,
            _Connector(self, done, failed),
            timeout=self.connect_timeout_s,
        )

    def call_soon(self, call: Callable[[], None]) -> None:
        """Calls once the present input is dealt with."""
        self._reactor.callLater(0, call)

    def add(self, connection: Connection) -> None:
        """Counts an open connection."""
        self._all.add(connection)

    def drop(self, connection: Connection) -> None:
        """Forgets a closed connection."""
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def distrust(self) -> None:
        """Stops reuse for a while: the server sent more than was asked.

        HTTP/1.1 has no name for a request, so on a reused connection such an
        answer could be taken for the next one's.
        """
        self._distrusted_until_ms = monotonic_ms() + DISTRUST_MS
        self.close_idle()

    def close_idle(self) -> None:
        """Closes what is idle; requests in flight end on their own."""
        for connection in list(self._idle):
            connection.transport.loseConnection()
        self._idle.clear()

    def close_older(self, opened_before_ms: float) -> None:
        """Closes idle connections opened before a time.

        Those with a request outstanding are judged by their own silence.
        """
        for connection in list(self._idle):
            if connection.opened_ms < opened_before_ms:
                self._idle.remove(connection)
                connection.transport.abortConnection()
