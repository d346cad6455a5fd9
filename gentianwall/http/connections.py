"""HTTP/1.1 connections to servers, without pipelining.

Built on twisted's `HTTP11ClientProtocol`. Answers are read completely before
they are returned. A connection whose request was cancelled, timed out or got
a truncated answer is closed and not reused, as is one whose bytes exceed the
limits of `answer_limits` or break the grammar of HTTP/1.1.
"""

from __future__ import annotations

import re
from collections.abc import Callable

import attrs
from twisted.internet import protocol
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure
from twisted.web import http_headers
from twisted.web.client import HTTP11ClientProtocol, Request, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from gentianwall.core.events import FailureKind
from gentianwall.http.answer_head import AnswerFault, AnswerHead
from gentianwall.http.answer_limits import (
    HEAD_PART_BYTES,
    MAX_PENDING_BYTES,
    UNPACED_BODY_BYTES,
    UNPACED_HEAD_BYTES,
    AnswerMemory,
    AnswerMeter,
)
from gentianwall.http.body_buffer import BodyBuffer
from gentianwall.http.client_budget import ClientBudget
from gentianwall.http.parse_pacing import ParsePacing
from gentianwall.http.transports import count_unacknowledged_bytes, is_reset
from gentianwall.logs import get_logger
from gentianwall.timers import monotonic_ms
from gentianwall.utils.addresses import is_ip_address

log = get_logger("answers")

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_MS = 4000.0
REUSE_PAUSE_MS = 60_000.0
# A process that ends has closed all its sockets within this time.
PROCESS_END_MS = 50.0
# How often an answer that ended before its request was sent is checked again.
SENT_CHECK_MS = 10.0
# Idle connections are not reused after this fraction of the server's keep-alive
# timeout, so that no request is sent on a connection that is being closed.
KEEP_ALIVE_FRACTION = 0.6
# Answers to older requests that are skipped before the connection is closed.
MAX_MISMATCHED_ANSWERS = 3
# Answers that are being received may take up to this much memory together.
# Where less is free, the budget of the process limits them further.
ANSWER_MEMORY_BYTES = 96 * 1024 * 1024
# Copies of a body that the transport makes while it sends it.
SENT_BODY_COPIES = 1
# States of twisted's parser in which the head of an answer has been received.
AFTER_HEAD = ("BODY", "DONE")

_answer_memory = AnswerMemory(ANSWER_MEMORY_BYTES)
_parse_pacing = ParsePacing()


def share_memory(budget: ClientBudget) -> None:
    """Makes answers of servers share the memory that clients may use."""
    _answer_memory.budget = budget


@attrs.define
class ServerRequest:
    """A request to a server.

    Attributes:
        method: HTTP method.
        uri: Path and query.
        headers: All headers.
        body: The complete body.
        is_idempotent: Whether the request may be retried, so that it may use a
            connection that has been idle for longer.
        is_echo_required: Whether a connection is not reused after an answer
            without a request id, and an answer without one is skipped where it
            may be a copy of an earlier answer.
        is_close_delimited: Whether an answer without a length is complete when
            the server closes the connection cleanly.
        echo_header: The header in which servers echo the request id.
        service: Service of the server, whose answers share memory and time.
    """

    method: bytes
    uri: bytes
    headers: http_headers.Headers
    body: bytes
    is_idempotent: bool
    is_echo_required: bool = False
    is_close_delimited: bool = False
    echo_header: bytes = b"Gentianwall-Request-Id"
    service: str = ""


@attrs.define
class ServerAnswer:
    """A complete answer of a server.

    Attributes:
        status: HTTP status.
        headers: All headers.
        body: The complete body.
        is_body_until_close: Whether the body ended with the connection, so that
            the end of the server's process may have cut it short.
    """

    status: int
    headers: http_headers.Headers
    body: bytes
    is_body_until_close: bool = False


@implementer(IBodyProducer)
class _MemoryBody:
    """Writes a request body that is held in memory."""

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


class _NullRequest:
    """A request that writes nothing, to read one more answer.

    Used after a mismatched answer: the request was sent already, and its
    answer is still to come on the same connection.
    """

    persistent = True

    def __init__(self, method: bytes):
        self.method = method

    def writeTo(self, transport):
        return succeed(None)

    def stopWriting(self) -> None:
        pass


@implementer(IHalfCloseableProtocol)
class Connection(HTTP11ClientProtocol):
    """One connection to a server.

    Attributes:
        opened_ms: When it was opened.
        idle_since_ms: When its last request ended.
        last_received_ms: When the last bytes were received.
        is_reuse_forbidden: Whether it must be closed after its request: an
            attempt was aborted, unsolicited bytes were received, or a
            required request id was missing in the answer.
        is_lost: Whether it is closed.
        is_closed_cleanly: Whether the server closed it without an error.
        idle_limit_ms: Maximum idle time for which it may still be reused.
        has_unnamed_answer: Whether an answer without a request id was received,
            which health checks get. A server may send it once more.
        is_answer_mismatched: Whether the answer being received belongs to an
            older request.
        pending_bytes: Bytes received after the latest answer.
        meter: Counts the bytes of the answer being received.
        is_limit_exceeded: Whether an answer was larger than its limits allow.
        head: Checks the head of the answer being received.
        fault: Why the answer is malformed; None if it is not.
        is_end_awaited: Whether the server's end of the connection completes
            the answer being received.
        service: Service of the request that is being answered.
    """

    def __init__(self, pool: ConnectionPool):
        super().__init__(lambda _: None)
        self.pool = pool
        self.opened_ms = monotonic_ms()
        self.idle_since_ms = self.opened_ms
        self.last_received_ms = self.opened_ms
        self.is_reuse_forbidden = False
        self.is_lost = False
        self.is_closed_cleanly = False
        self.idle_limit_ms = MAX_IDLE_MS
        self.has_unnamed_answer = False
        self.is_answer_mismatched = False
        self.pending_bytes = b""
        self.meter = AnswerMeter()
        self.is_limit_exceeded = False
        self.head = AnswerHead(b"")
        self.fault: AnswerFault | None = None
        self.is_end_awaited = False
        self.service = ""
        self._unparsed_bytes = b""
        self._pacing_call = None
        self._sent_check = None

    @property
    def is_closing(self) -> bool:
        """Whether it is closed, or this side is closing it."""
        return self.is_lost or self.transport.disconnecting

    def accept_answer(self) -> None:
        """Ends the request whose answer is complete, and releases itself.

        Only the attempt knows that the answer belongs to it. An answer without
        a body is complete before the attempt has seen its head.
        """
        rest, self.pending_bytes = self.pending_bytes, b""
        if rest:
            self._on_unsolicited_bytes()
        self.pool.release_connection(self)

    def apply_keep_alive(self, headers: http_headers.Headers) -> None:
        """Limits the idle time by the timeout in the `Keep-Alive` header."""
        for value in headers.getRawHeaders(b"Keep-Alive") or ():
            match = re.search(rb"timeout\s*=\s*(\d+)", value)
            if match:
                limit_ms = KEEP_ALIVE_FRACTION * 1000.0 * int(match.group(1))
                self.idle_limit_ms = min(MAX_IDLE_MS, limit_ms)

    def await_next_answer(
        self, method: bytes, on_deferred: Callable[[Deferred], None]
    ) -> None:
        """Reads the answer that follows a skipped mismatched answer.

        Args:
            method: Method of the request.
            on_deferred: Called with a deferred that fires with the next answer,
                before any of its bytes are parsed.
        """
        self.is_answer_mismatched = False
        on_deferred(self.request(_NullRequest(method)))
        rest, self.pending_bytes = self.pending_bytes, b""
        if rest:
            self.dataReceived(rest)

    def request(self, request) -> Deferred:
        """Sends a request; returns a deferred that fires with its answer."""
        self.meter = AnswerMeter()
        self.head = AnswerHead(request.method)
        self.is_end_awaited = False
        return super().request(request)

    def dataReceived(self, data) -> None:
        """Parses received bytes; aborts the connection on unsolicited ones."""
        self.last_received_ms = monotonic_ms()
        if self._pacing_call is not None:
            # The base class resumes reading before the body of an answer.
            self._unparsed_bytes += data
            self.transport.pauseProducing()
            return
        if self._parser is None:
            self._receive_between_answers(data)
            return
        self._unparsed_bytes = data
        self._parse()

    def _parse(self) -> None:
        """Parses what was received, until that has to wait."""
        while self._unparsed_bytes and self._parser is not None:
            paced_bytes = self._parse_part()
            if self.is_limit_exceeded or self.fault or self.is_lost:
                self._unparsed_bytes = b""
            elif paced_bytes and self._parser is not None:
                wait_ms = _parse_pacing.charge(
                    self.service or (self.pool.host, self.pool.port),
                    paced_bytes,
                    monotonic_ms(),
                )
                if wait_ms > 0.0:
                    self.transport.pauseProducing()
                    self._pacing_call = self.pool.call_later(
                        wait_ms, self._parse_on
                    )
                    return

    def _parse_on(self) -> None:
        self._pacing_call = None
        self.last_received_ms = monotonic_ms()
        self._parse()
        if self._pacing_call is None and not self.is_lost:
            self.transport.resumeProducing()

    def _receive_between_answers(self, data: bytes) -> None:
        if not self.is_answer_mismatched:
            self._on_unsolicited_bytes()
            self.transport.abortConnection()
            return
        self.pending_bytes += data
        if len(self.pending_bytes) > MAX_PENDING_BYTES:
            self._abort_over_limit()

    def _parse_part(self) -> int:
        """Parses the next part of the head or the body.

        A part that holds the end of the head counts to the head as a whole. A
        body is parsed at once unless most of its last part was framing.

        Returns:
            Bytes whose parsing is paced.
        """
        meter = self.meter
        is_body = self._is_head_received
        part_bytes = HEAD_PART_BYTES
        if is_body and not meter.is_mostly_framing:
            part_bytes = len(self._unparsed_bytes)
        part = self._unparsed_bytes[:part_bytes]
        self._unparsed_bytes = self._unparsed_bytes[part_bytes:]
        if not is_body:
            fault = self.head.receive(part)
            if fault is not None:
                self._abort_malformed(fault)
                return 0
        body_bytes = meter.body_bytes
        if is_body:
            meter.wire_body_bytes += len(part)
        super().dataReceived(part)
        self._discard_trailers()
        is_paced = False
        if is_body:
            framing_bytes = len(part) - (meter.body_bytes - body_bytes)
            meter.is_mostly_framing = 2 * framing_bytes > len(part)
            is_paced = (
                meter.is_mostly_framing
                and meter.wire_body_bytes > UNPACED_BODY_BYTES
            )
        elif not self._is_head_received:
            meter.head_bytes += len(part)
            is_paced = meter.head_bytes > UNPACED_HEAD_BYTES
        self._check_limits()
        return len(part) if is_paced else 0

    def _discard_trailers(self) -> None:
        """Drops the trailers of a chunked body, which nobody reads."""
        decoder = self._parser and self._parser.bodyDecoder
        trailers = getattr(decoder, "_trailerHeaders", None)
        if trailers:
            trailers.clear()

    @property
    def _is_head_received(self) -> bool:
        return self._parser is None or self._parser.state in AFTER_HEAD

    def _check_limits(self) -> None:
        if self.meter.is_exceeded:
            self._abort_over_limit()

    def _abort_over_limit(self) -> None:
        self.is_limit_exceeded = True
        self.is_reuse_forbidden = True
        self.transport.abortConnection()

    def _abort_malformed(self, fault: AnswerFault) -> None:
        self.fault = fault
        self.is_reuse_forbidden = True
        self.transport.abortConnection()

    def _giveUp(self, reason) -> None:
        """Aborts the connection if the answer could not be parsed."""
        if not reason.check(ConnectionDone):
            self._abort_malformed(AnswerFault.UNPARSABLE)
        super()._giveUp(reason)

    def _finishResponse(self, rest) -> None:
        self.pending_bytes = rest + self._unparsed_bytes
        self._unparsed_bytes = b""
        super()._finishResponse(rest)

    def _on_unsolicited_bytes(self) -> None:
        self.is_reuse_forbidden = True
        if not self.pool.is_echoing:
            self.pool.pause_reuse()

    def readConnectionLost(self) -> None:
        """Closes the connection whose server has ended its side.

        A server that stops reading a request ends its side first and resets
        the connection when more of the request arrives. An answer that ends
        with its connection is therefore complete only once the request is sent.
        """
        self._sent_check = None
        if not self.is_end_awaited:
            self.transport.connectionLost(Failure(ConnectionDone()))
            return
        unsent_bytes = count_unacknowledged_bytes(self.transport)
        if is_reset(self.transport):
            self.transport.connectionLost(Failure(ConnectionLost()))
        elif unsent_bytes:
            self._sent_check = self.pool.call_later(
                SENT_CHECK_MS, self.readConnectionLost
            )
        else:
            self.transport.connectionLost(Failure(ConnectionDone()))

    def writeConnectionLost(self) -> None:
        """Does nothing, as this side never ends alone."""

    def connectionLost(self, reason) -> None:
        """Removes the connection from the pool."""
        self.is_lost = True
        if self._sent_check is not None:
            self._sent_check.cancel()
            self._sent_check = None
        if self._pacing_call is not None:
            self._pacing_call.cancel()
            self._pacing_call = None
        self._unparsed_bytes = b""
        self.is_closed_cleanly = (
            bool(reason.check(ConnectionDone))
            and not self.transport.disconnecting
        )
        self.pool.remove(self)
        super().connectionLost(reason)


class _BodyCollector(protocol.Protocol):
    """Collects the body of an answer up to a size limit.

    Calls `on_success` or `on_error` exactly once.
    """

    def __init__(
        self,
        meter: AnswerMeter,
        limit_bytes: int,
        on_success: Callable[[bytes], None],
        on_error: Callable[[FailureKind], None],
        is_close_accepted: Callable[[], bool],
        service: str = "",
    ):
        self._meter = meter
        self._service = service
        self._limit_bytes = limit_bytes
        self._is_close_accepted = is_close_accepted
        self._on_success = on_success
        self._on_error = on_error
        self._content = BodyBuffer()
        self._is_finished = False

    def dataReceived(self, data) -> None:
        self._meter.body_bytes += len(data)
        if self._is_finished:
            return
        self._content.write(data)
        if self._meter.body_bytes > self._limit_bytes:
            self._give_up()
            return
        _answer_memory.add(id(self), len(data), self._give_up, self._service)

    def _give_up(self) -> None:
        self._finish()
        self._on_error(FailureKind.TOO_LARGE)

    def _finish(self) -> None:
        self._is_finished = True
        self._content.close()
        _answer_memory.remove(id(self))

    def connectionLost(self, reason) -> None:
        if self._is_finished:
            return
        is_complete_at_close = (
            reason.check(PotentialDataLoss) and self._is_close_accepted()
        )
        if reason.check(ResponseDone) or is_complete_at_close:
            body = self._content.take()
            self._finish()
            self._on_success(body)
        else:
            self._finish()
            # Without a length, an end by close cannot be distinguished from a
            # truncated answer, unless the servers are known to close cleanly
            # only after a complete answer.
            self._on_error(FailureKind.TRUNCATED)


class Attempt:
    """One sending of a request to a server.

    Calls `on_answer` or `on_failure` exactly once, unless it is cancelled.

    Attributes:
        request: The request.
        is_reused: Whether it was sent on a reused connection.
        started_ms: When the attempt started.
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
        self._is_checking_server = False
        self._mismatched_answers = 0
        self._on_answer = on_answer
        self._on_failure = on_failure
        self._connection: Connection | None = None
        self._is_finished = False

    def start(self, is_new_connection: bool = False) -> None:
        """Sends the request on an idle connection or on a new one.

        Args:
            is_new_connection: Whether to open a new one in any case.
        """
        connection = None
        if not is_new_connection:
            connection = self._pool.take_idle(
                self.request.is_idempotent, self.request.is_echo_required
            )
        self.is_reused = connection is not None
        if connection is not None:
            self._send_request(connection)
        else:
            self._pool.connect(self._send_request, self._on_connect_failed)

    def cancel(self) -> None:
        """Aborts the connection; no callback is called any more."""
        self._is_finished = True
        self._abort()

    def check_silence(self, now_ms: float) -> None:
        """Checks the server if the connection of the attempt is silent.

        The check opens a new connection. If that succeeds, only the old one
        is half-open and the attempt fails as `SILENT`; otherwise the server
        is unreachable and the attempt fails as `LOST`.
        """
        if (
            self._is_finished
            or self._is_checking_server
            or self._connection is None
        ):
            return
        last_received_ms = max(
            self.started_ms, self._connection.last_received_ms
        )
        if now_ms < last_received_ms + self._silence_ms:
            return
        self._is_checking_server = True

        def on_connected(connection: Connection) -> None:
            self._pool.release_connection(connection)
            self.fail(FailureKind.SILENT)

        self._pool.connect(on_connected, lambda: self.fail(FailureKind.LOST))

    def fail(self, kind: FailureKind) -> None:
        """Reports a failure and aborts the connection."""
        if self._is_finished:
            return
        self._is_finished = True
        connection = self._connection
        if connection is not None and connection.is_limit_exceeded:
            kind = FailureKind.TOO_LARGE
        elif connection is not None and connection.fault is not None:
            kind = FailureKind.MALFORMED
            self._log_fault(connection.fault)
        self._abort()
        self._on_failure(kind)

    def _log_fault(self, fault: AnswerFault) -> None:
        log.warning(
            "Malformed answer from %s:%d to %s: %s.",
            self._pool.host,
            self._pool.port,
            self._request_id or "a health check",
            fault.value,
        )

    def _abort(self) -> None:
        if self._connection is not None and not self._connection.is_lost:
            self._connection.is_reuse_forbidden = True
            self._connection.transport.abortConnection()

    def _on_connect_failed(self) -> None:
        if not self._is_finished:
            self._is_finished = True
            self._on_failure(FailureKind.NOT_CONNECTED)

    def _send_request(self, connection: Connection) -> None:
        if self._is_finished:
            self._pool.release_connection(connection)
            return
        self._connection = connection
        connection.service = self.request.service
        body = self.request.body
        request = Request(
            self.request.method,
            self.request.uri,
            self.request.headers,
            _MemoryBody(body) if body else None,
            persistent=True,
        )
        self._await_answer(connection.request(request))

    def _await_answer(self, deferred) -> None:
        deferred.addCallbacks(self._on_headers, self._on_lost)
        deferred.addErrback(self._on_lost)

    def _skip_answer(self, response) -> None:
        """Discards a mismatched answer and waits for the next one."""
        connection = self._connection
        connection.is_answer_mismatched = True
        self._mismatched_answers += 1
        if self._mismatched_answers > MAX_MISMATCHED_ANSWERS:
            self.fail(FailureKind.MISMATCHED)
            return

        def on_skipped(_) -> None:
            self._pool.call_soon(await_next)

        def on_error(kind: FailureKind) -> None:
            if kind is FailureKind.TOO_LARGE:
                self.fail(kind)
            else:
                on_skipped(kind)

        def await_next() -> None:
            if self._is_finished:
                return
            if connection.is_lost:
                self.fail(FailureKind.LOST)
                return
            connection.await_next_answer(
                self.request.method, self._await_answer
            )

        response.deliverBody(
            _BodyCollector(
                connection.meter,
                self._limit_bytes,
                on_skipped,
                on_error,
                lambda: True,
                self.request.service,
            )
        )

    def _is_mismatched(self, echoed: list[bytes] | None) -> bool:
        """Returns whether an answer belongs, or may belong, to another request.

        An answer without an id speaks for a request only if no earlier answer
        on its connection can have been sent again.
        """
        if echoed:
            return echoed[0] != self._request_id.encode()
        return (
            self.request.is_echo_required
            and self._connection.has_unnamed_answer
        )

    def _on_headers(self, response) -> None:
        if self._is_finished:
            return
        echoed = response.headers.getRawHeaders(self.request.echo_header)
        if echoed:
            self._pool.is_echoing = True
        if self._is_mismatched(echoed):
            self._skip_answer(response)
            return
        self._connection.apply_keep_alive(response.headers)
        if not echoed:
            self._connection.has_unnamed_answer = True
            if self.request.is_echo_required:
                self._connection.is_reuse_forbidden = True
        self._connection.is_end_awaited = (
            self.request.is_close_delimited
            and self._connection.head.is_body_until_close
        )
        is_length_known = response.length is not UNKNOWN_LENGTH
        if is_length_known and response.length > self._limit_bytes:
            self.fail(FailureKind.TOO_LARGE)
            return

        def on_success(body: bytes) -> None:
            if self._is_finished:
                return
            self._is_finished = True
            self._connection.accept_answer()
            self._on_answer(
                ServerAnswer(
                    response.code,
                    response.headers,
                    body,
                    self._connection.is_end_awaited,
                )
            )

        def is_close_accepted() -> bool:
            return (
                self.request.is_close_delimited
                and self._connection.is_closed_cleanly
            )

        response.deliverBody(
            _BodyCollector(
                self._connection.meter,
                self._limit_bytes,
                on_success,
                self.fail,
                is_close_accepted,
                self.request.service,
            )
        )

    def _on_lost(self, _) -> None:
        self.fail(FailureKind.LOST)


class _Connector(protocol.ClientFactory):
    """Client factory of one connection."""

    noisy = False

    def __init__(
        self,
        pool: ConnectionPool,
        on_success: Callable[[Connection], None],
        on_error: Callable[[], None],
    ):
        self._pool = pool
        self._on_success = on_success
        self._on_error = on_error

    def buildProtocol(self, addr) -> Connection:
        connection = Connection(self._pool)
        original_connection_made = connection.connectionMade

        def connection_made() -> None:
            original_connection_made()
            self._pool.add(connection)
            self._on_success(connection)

        connection.connectionMade = connection_made
        return connection

    def clientConnectionFailed(self, connector, reason) -> None:
        self._on_error()


class ConnectionPool:
    """All connections to one server.

    Attributes:
        host: IP address of the server.
        port: Port of the server.
        connect_timeout_s: Timeout for opening a connection.
        is_echoing: Whether the server echoes request ids, so that a
            mismatched answer is detected.
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
        self._reuse_paused_until_ms = float("-inf")
        self._idle: list[Connection] = []
        self._all: set[Connection] = set()

    def take_idle(
        self, is_idempotent: bool, is_echo_required: bool = False
    ) -> Connection | None:
        """Returns the most recently used idle connection within its idle limit.

        A server may close an idle connection while a request is being sent.
        A request that is not idempotent therefore uses a connection only
        within a quarter of its idle limit. Connections over the limit are
        closed. A request whose answer must bear an id uses no connection with
        unnamed answers until the server is known to echo ids.
        """
        now_ms = monotonic_ms()
        is_named_required = is_echo_required and not self.is_echoing
        for connection in reversed(self._idle.copy()):
            if is_named_required and connection.has_unnamed_answer:
                continue
            self._idle.remove(connection)
            if connection.is_lost:
                continue
            max_idle_ms = connection.idle_limit_ms
            if not is_idempotent:
                max_idle_ms /= 4
            if now_ms - connection.idle_since_ms <= max_idle_ms:
                return connection
            connection.transport.loseConnection()
        return None

    def release_connection(self, connection: Connection) -> None:
        """Makes a connection available for reuse, or closes it.

        It is closed when it may not be reused or while reuse is paused.
        """
        if connection.is_closing:
            return
        now_ms = monotonic_ms()
        is_reuse_allowed = now_ms >= self._reuse_paused_until_ms
        if connection.is_reuse_forbidden or not is_reuse_allowed:
            connection.transport.abortConnection()
            return
        connection.idle_since_ms = now_ms
        self._idle.append(connection)

    def connect(
        self,
        on_success: Callable[[Connection], None],
        on_error: Callable[[], None],
    ) -> None:
        """Opens a connection and passes it to `on_success`."""
        if not is_ip_address(self.host):
            # The registry may still have such a host from an earlier version.
            # Resolving it could block, or fail without a call of `on_error`.
            self.call_soon(on_error)
            return
        self._reactor.connectTCP(
            self.host,
            self.port,
            _Connector(self, on_success, on_error),
            timeout=self.connect_timeout_s,
        )

    def check_accepting(
        self,
        on_accepting: Callable[[], None],
        on_refusing: Callable[[], None],
    ) -> None:
        """Checks whether the server accepts connections, or has ended.

        A process that ends may close its connections before its listening
        socket. So a connection that does not last shows nothing, and a second
        one decides.
        """

        def on_connected(connection: Connection) -> None:
            self.release_connection(connection)
            self.call_later(PROCESS_END_MS, lambda: decide(connection))

        def decide(connection: Connection) -> None:
            if connection.is_lost:
                self.connect(on_reconnected, on_refusing)
            else:
                on_accepting()

        def on_reconnected(connection: Connection) -> None:
            self.release_connection(connection)
            on_accepting()

        self.connect(on_connected, on_refusing)

    def call_soon(self, call: Callable[[], None]) -> None:
        """Calls a function after the current input has been processed."""
        self._reactor.callLater(0, call)

    def call_later(self, wait_ms: float, call: Callable[[], None]):
        """Calls a function after a time; returns the call to cancel it."""
        return self._reactor.callLater(wait_ms / 1000.0, call)

    def add(self, connection: Connection) -> None:
        """Adds an open connection."""
        self._all.add(connection)

    def remove(self, connection: Connection) -> None:
        """Removes a closed connection."""
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def pause_reuse(self) -> None:
        """Pauses reuse after the server sent unsolicited bytes.

        HTTP/1.1 does not identify requests, so on a reused connection an
        unsolicited answer could be taken for the answer to the next request.
        """
        self._reuse_paused_until_ms = monotonic_ms() + REUSE_PAUSE_MS
        self.close_idle()

    def close_idle(self) -> None:
        """Closes idle connections; outstanding requests are not affected."""
        for connection in list(self._idle):
            connection.transport.loseConnection()
        self._idle.clear()

    def close_idle_opened_before(self, opened_before_ms: float) -> None:
        """Closes idle connections that were opened before a given time.

        Those with an outstanding request are checked by
        `Attempt.check_silence`.
        """
        for connection in list(self._idle):
            if connection.opened_ms < opened_before_ms:
                self._idle.remove(connection)
                connection.transport.abortConnection()
