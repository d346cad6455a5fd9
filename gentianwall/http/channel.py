"""HTTP/1.1 server for callers with strict framing and bounded sizes.

Built on `twisted.web.http`. Requests with ambiguous framing are refused here,
and so are requests that are oversized or arrive too slowly. Only complete
requests are passed on. Which of several requests on a connection may run is
decided by `pipelining`.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
from twisted.internet import protocol
from twisted.web import http

from gentianwall.core.refusals import Executed, Refusal, RefusalReason
from gentianwall.http.pipelining import Pipeline
from gentianwall.http.problems import CONTENT_TYPE, Problem, render_refusal
from gentianwall.timers import monotonic_ms

MAX_HEADERS = 100
# Methods of requests that may be repeated, unless routes say otherwise.
REPEATABLE_METHODS = (b"GET", b"HEAD")


@attrs.frozen(kw_only=True)
class CallerBounds:
    """Limits on the size and duration of a caller's request.

    Attributes:
        header_bytes: Maximum size of all headers.
        header_count: Maximum number of headers.
        body_bytes: Maximum size of the body.
        header_timeout_s: Timeout for receiving the headers.
        body_timeout_s: Timeout for receiving the complete request.
        idle_timeout_s: Timeout after which an idle connection is closed.
    """

    header_bytes: int = 32 * 1024
    header_count: int = MAX_HEADERS
    body_bytes: int = 16 * 1024 * 1024
    header_timeout_s: float = 10.0
    body_timeout_s: float = 60.0
    idle_timeout_s: float = 75.0


class CallerRequest(http.Request):
    """One request of a caller, with its body in memory.

    Attributes:
        body: The complete body, set before `process` is called.
        is_received: Whether the request was received completely.
        received_ms: When that was.
    """

    body = b""
    is_received = False
    received_ms = 0.0
    _ready_answer: tuple[int, list[tuple[bytes, bytes]], bytes] | None = None

    def __init__(self, channel, queued=False):
        super().__init__(channel, queued)
        self._chunks: list[bytes] = []
        self._body_bytes = 0

    def gotLength(self, length) -> None:
        """Refuses a body whose `Content-Length` is over the limit."""
        if length is not None and length > self.channel.bounds.body_bytes:
            self.channel.refuse(RefusalReason.REQUEST_TOO_LARGE)

    def parseCookies(self) -> None:
        """Does not parse cookies; they are forwarded to the servers."""

    def handleContentChunk(self, data) -> None:
        """Adds a chunk to the body, or refuses a body over the limit."""
        self._body_bytes += len(data)
        if self._body_bytes > self.channel.bounds.body_bytes:
            self._chunks.clear()
            self.channel.refuse(RefusalReason.REQUEST_TOO_LARGE)
            return
        self._chunks.append(data)

    def requestReceived(self, command, path, version) -> None:
        """Processes the complete request if it has exactly one `Host`."""
        if self.channel.is_refused:
            return
        self.is_received = True
        self.received_ms = monotonic_ms()
        hosts = self.requestHeaders.getRawHeaders(b"Host") or []
        if len(hosts) > 1 or (not hosts and version == b"HTTP/1.1"):
            # RFC 9112, 3.2: a request must have exactly one Host header.
            self.channel.refuse_with_status(
                400, "exactly one Host header is required"
            )
            return
        self.body = b"".join(self._chunks)
        self._chunks.clear()
        self.method = command
        self.uri = path
        self.path = path.split(b"?", 1)[0]
        self.clientproto = version
        self.process()

    def process(self) -> None:
        """Queues the request behind the earlier ones of the connection."""
        self.channel.on_received(self)

    @property
    def is_caller_connected(self) -> bool:
        """Whether the caller has not closed the connection."""
        return not self._disconnected

    def header(self, name: bytes) -> str:
        """Returns the first value of a header, or an empty string."""
        values = self.requestHeaders.getRawHeaders(name)
        return values[0].decode("latin-1") if values else ""

    def connectionLost(self, reason) -> None:
        """Notifies the site that the caller has disconnected."""
        site = self.channel.site
        super().connectionLost(reason)
        site.handle_disconnect(self)

    def answer(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        is_closing: bool = False,
    ) -> None:
        """Sends a complete answer, unless the caller has disconnected.

        The answer is sent after those to the earlier requests of the
        connection.

        Args:
            status: HTTP status.
            headers: All headers but those that frame the body.
            body: The complete body.
            is_closing: Whether to close the connection once all requests that
                run are answered.
        """
        if self._disconnected or self.finished or self._ready_answer:
            return
        self._ready_answer = (status, headers, body)
        self.channel.on_answer_ready(self, len(body), is_closing)

    def write_answer(self, is_last: bool) -> None:
        """Writes the answer that is ready.

        Args:
            is_last: Whether the connection ends with this answer.
        """
        status, headers, body = self._ready_answer
        if is_last:
            self.responseHeaders.setRawHeaders(b"Connection", [b"close"])
        self.setResponseCode(status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        has_body = status not in http.NO_BODY_CODES
        if has_body and not self.responseHeaders.hasHeader(b"Content-Length"):
            length = b"%d" % len(body)
            self.responseHeaders.setRawHeaders(b"Content-Length", [length])
        self.write(body)
        self.finish()

    def answer_problem(self, problem: Problem) -> None:
        """Sends a problem+json answer."""
        headers = [(b"Content-Type", CONTENT_TYPE), *problem.headers]
        self.answer(problem.status, headers, problem.body)


def has_repeatable_method(request: CallerRequest) -> bool:
    """Returns whether a request may be repeated by its method."""
    return request.method in REPEATABLE_METHODS


class CallerChannel(http.HTTPChannel):
    """One connection of a caller.

    Attributes:
        bounds: Limits on the request that is received, or on the next one.
        pipeline: Requests that were received and not yet answered.
        is_refused: Whether a request was malformed, too large or too slow;
            whatever the caller sends after it is discarded.
    """

    requestFactory = CallerRequest
    maxHeaders = MAX_HEADERS
    abortTimeout = 1

    def __init__(self, bounds: CallerBounds):
        super().__init__()
        self._set_bounds(bounds)
        self.timeOut = bounds.idle_timeout_s
        self._next_bounds: CallerBounds | None = None
        self.pipeline: Pipeline[CallerRequest] = Pipeline()
        self.is_refused = False
        self._final_problem: Problem | None = None
        self._is_continue_due = False
        self._is_advancing = False
        self._receive_timeout_call = None
        self._is_receiving = False

    def apply_bounds(self, bounds: CallerBounds) -> None:
        """Changes the limits, from the next request on.

        A request that is being received keeps the limits that it began under.
        """
        if self._has_partial_request():
            self._next_bounds = bounds
            return
        is_idle = self.timeOut is not None
        if is_idle and bounds.idle_timeout_s != self.bounds.idle_timeout_s:
            self.setTimeout(bounds.idle_timeout_s)
        self._set_bounds(bounds)

    def _set_bounds(self, bounds: CallerBounds) -> None:
        self.bounds = bounds
        self.maxHeaders = bounds.header_count
        self.totalHeadersSize = bounds.header_bytes
        self.MAX_LENGTH = bounds.header_bytes

    def dataReceived(self, data) -> None:
        """Parses received bytes and limits the time to receive a request."""
        if self.is_refused:
            return
        super().dataReceived(data)
        self._update_receive_timeout()

    def on_received(self, request: CallerRequest) -> None:
        """Queues a complete request and runs it once it may run."""
        self.pipeline.add(request, self.site.is_repeatable(request))
        if not self.persistent:
            self.pipeline.is_read_finished = True
        self._advance()

    def on_answer_ready(
        self, request: CallerRequest, answer_bytes: int, is_closing: bool
    ) -> None:
        """Writes the answer to a request after those to earlier ones."""
        if is_closing:
            self.pipeline.is_closing = True
        self.pipeline.record_answer(request, answer_bytes)
        self._advance()

    def _advance(self) -> None:
        """Writes answers that are due, runs requests and reads further ones."""
        if self._is_advancing:
            return
        self._is_advancing = True
        try:
            is_last = self._write_and_run()
        finally:
            self._is_advancing = False
        if is_last:
            self.loseConnection()
        elif self.pipeline.is_empty and self._final_problem is not None:
            self._write_final_problem()
        else:
            self._resume_reading()

    def _write_and_run(self) -> bool:
        """Returns whether the connection ends with the last answer written."""
        while True:
            answered = self.pipeline.take_answered()
            if answered is not None:
                request, is_last = answered
                request.write_answer(is_last)
                if is_last:
                    return True
                continue
            request = self.pipeline.start_next()
            if request is None:
                return False
            self.site.handle(request)

    def requestDone(self, request) -> None:
        """Removes the oldest request, whose answer has been written."""
        self.requests.remove(request)
        if not self._waitingForTransport:
            self._networkProducer.resumeProducing()

    def _resume_reading(self) -> None:
        if self.pipeline.is_empty:
            if self._savedTimeOut:
                self.setTimeout(self.bounds.idle_timeout_s)
            if self._is_continue_due:
                self._is_continue_due = False
                self._send100Continue()
        if self._handlingRequest and self.pipeline.can_read:
            self._handlingRequest = False
            data = b"".join(self._dataBuffer)
            self._dataBuffer.clear()
            self.setLineMode(data)

    def _update_receive_timeout(self) -> None:
        is_receiving = not self._handlingRequest and self._has_partial_request()
        if is_receiving == self._is_receiving:
            return
        self._is_receiving = is_receiving
        if self._receive_timeout_call is not None:
            self._receive_timeout_call.cancel()
            self._receive_timeout_call = None
        if is_receiving:
            self._receive_timeout_call = self.callLater(
                self.bounds.header_timeout_s, self._on_receive_timeout
            )

    def _has_partial_request(self) -> bool:
        is_reading = bool(self.requests) and not self.requests[-1].is_received
        return is_reading or bool(self._buffer)

    def _on_receive_timeout(self) -> None:
        self._receive_timeout_call = None
        has_headers = not self.line_mode
        if has_headers and not self._is_body_timeout_running:
            self._is_body_timeout_running = True
            self._receive_timeout_call = self.callLater(
                self.bounds.body_timeout_s - self.bounds.header_timeout_s,
                self._on_receive_timeout,
            )
            return
        self.refuse_with_status(408, "the request came too slowly")

    _is_body_timeout_running = False

    def allContentReceived(self) -> None:
        """Resets the body timeout once the request is complete."""
        self._is_body_timeout_running = False
        if self._next_bounds is not None:
            self._set_bounds(self._next_bounds)
            self._next_bounds = None
        super().allContentReceived()

    def lineReceived(self, line) -> None:
        """Refuses folded headers, and too many or too large ones."""
        if self.is_refused:
            return
        if line[:1] in (b" ", b"\t") and self.requests:
            self.refuse_with_status(400, "folded headers are not supported")
            return
        size = self._receivedHeaderSize + len(line)
        count = self._receivedHeaderCount
        if size > self.totalHeadersSize or count >= self.maxHeaders:
            self.refuse_with_status(431, "the headers are too large")
            return
        super().lineReceived(line)

    def lineLengthExceeded(self, line) -> None:
        """Refuses a request line or header line over the limit."""
        self.refuse_with_status(431, "the headers are too large")

    def refuse(self, reason: RefusalReason) -> None:
        """Refuses the request being received and closes the connection."""
        self._send_and_close(render_refusal(Refusal(reason, Executed.NO), ""))

    def refuse_with_status(self, status: int, detail: str) -> None:
        """Refuses a malformed or slow request and closes the connection."""
        refusal = Refusal(RefusalReason.BAD_REQUEST, Executed.NO, detail=detail)
        problem = render_refusal(refusal, "")
        body = problem.body.replace(b'"status": 400', b'"status": %d' % status)
        self._send_and_close(Problem(status, body, problem.headers))

    def _respondToBadRequestAndDisconnect(self) -> None:
        self.refuse_with_status(400, "the request is malformed")

    def _send100Continue(self) -> None:
        if self.is_refused:
            return
        if self.pipeline.is_empty:
            super()._send100Continue()
        else:
            # An interim answer before the earlier answers would be taken for
            # one of them.
            self._is_continue_due = True

    def _send_and_close(self, problem: Problem) -> None:
        """Sends a refusal after the answers to the earlier requests."""
        if self.is_refused:
            return
        self.is_refused = True
        self._final_problem = problem
        self._advance()

    def _write_final_problem(self) -> None:
        problem, self._final_problem = self._final_problem, None
        phrase = http.RESPONSES.get(problem.status, b"Refused")
        lines = [
            b"HTTP/1.1 %d %s" % (problem.status, phrase),
            b"Content-Type: " + CONTENT_TYPE,
            b"Content-Length: %d" % len(problem.body),
            b"Connection: close",
        ]
        lines += [name + b": " + value for name, value in problem.headers]
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        self.transport.write(head + problem.body)
        self.loseConnection()

    def timeoutConnection(self) -> None:
        """Closes an idle connection; answers a partial request with 408."""
        if self._has_partial_request():
            self.refuse_with_status(408, "the request came too slowly")
            return
        super().timeoutConnection()

    def connectionLost(self, reason) -> None:
        """Cancels the receive timeout and removes the connection."""
        if self._receive_timeout_call is not None:
            self._receive_timeout_call.cancel()
            self._receive_timeout_call = None
        self.site.channels.discard(self)
        super().connectionLost(reason)

    def close_when_idle(self) -> None:
        """Closes the connection at once if idle, else after the answers.

        Answers are still sent to requests that run and to the one that is
        being received, unless it is behind others.
        """
        self.pipeline.is_closing = True
        if self.pipeline.is_empty and not self._has_partial_request():
            self.loseConnection()


class CallerSite(protocol.ServerFactory):
    """Accepts connections of callers.

    Args:
        handle: Handles a request that may run now.
        handle_disconnect: Called for a request whose caller disconnected.
        is_repeatable: Returns whether a request may run more than once, so
            that it may run beside others of its connection.

    Attributes:
        channels: Open connections, closed at a graceful shutdown.
    """

    noisy = False

    def __init__(
        self,
        handle: Callable[[CallerRequest], None],
        handle_disconnect: Callable[[CallerRequest], None],
        is_repeatable: Callable[[CallerRequest], bool] | None = None,
    ):
        self.handle = handle
        self.handle_disconnect = handle_disconnect
        self.is_repeatable = is_repeatable or has_repeatable_method
        self._bounds = CallerBounds()
        self.channels: set[CallerChannel] = set()

    @property
    def bounds(self) -> CallerBounds:
        """Limits on requests, on all open connections and on new ones."""
        return self._bounds

    @bounds.setter
    def bounds(self, bounds: CallerBounds) -> None:
        self._bounds = bounds
        for channel in self.channels:
            channel.apply_bounds(bounds)

    def buildProtocol(self, addr) -> CallerChannel:
        """Creates the protocol of one connection."""
        channel = CallerChannel(self.bounds)
        channel.site = self
        channel.factory = self
        self.channels.add(channel)
        return channel

    def log(self, request) -> None:
        """Writes no access log; timeline and metrics cover requests."""
