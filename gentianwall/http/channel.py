"""HTTP/1.1 server for callers with strict framing and bounded sizes.

Built on `twisted.web.http`. Requests with ambiguous framing are refused here,
and so are requests that are oversized or arrive too slowly. Only complete
requests are passed on.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
from twisted.internet import protocol
from twisted.web import http

from gentianwall.core.refusals import Executed, Refusal, RefusalReason
from gentianwall.http.problems import CONTENT_TYPE, Problem, render_refusal

MAX_HEADERS = 100


@attrs.frozen(kw_only=True)
class CallerBounds:
    """Limits on the size and duration of a caller's request.

    Attributes:
        header_bytes: Maximum size of all headers.
        body_bytes: Maximum size of the body.
        header_timeout_s: Timeout for receiving the headers.
        body_timeout_s: Timeout for receiving the complete request.
        idle_timeout_s: Timeout after which an idle connection is closed.
    """

    header_bytes: int = 32 * 1024
    body_bytes: int = 16 * 1024 * 1024
    header_timeout_s: float = 10.0
    body_timeout_s: float = 60.0
    idle_timeout_s: float = 75.0


class CallerRequest(http.Request):
    """One request of a caller, with its body in memory.

    Attributes:
        body: The complete body, set before `process` is called.
    """

    body = b""

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
        """Passes the request to the site's handler."""
        self.channel.site.handle(self)

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
    ) -> None:
        """Sends a complete answer, unless the caller has disconnected."""
        if self._disconnected or self.finished:
            return
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


class CallerChannel(http.HTTPChannel):
    """One connection of a caller."""

    requestFactory = CallerRequest
    maxHeaders = MAX_HEADERS
    abortTimeout = 1

    def __init__(self, bounds: CallerBounds):
        super().__init__()
        self.bounds = bounds
        self.totalHeadersSize = bounds.header_bytes
        self.MAX_LENGTH = bounds.header_bytes
        self.timeOut = bounds.idle_timeout_s
        self.is_refused = False
        self._receive_timeout_call = None
        self._is_receiving = False

    def dataReceived(self, data) -> None:
        """Parses received bytes and limits the time to receive a request."""
        if self.is_refused:
            return
        super().dataReceived(data)
        self._update_receive_timeout()

    def _update_receive_timeout(self) -> None:
        is_receiving = bool(
            not self._handlingRequest and self._has_partial_request()
        )
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
        return bool(self.requests) or bool(self._buffer)

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
        if not self.is_refused:
            super()._send100Continue()

    def _send_and_close(self, problem: Problem) -> None:
        if self.is_refused:
            return
        self.is_refused = True
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
        """Closes the connection at once if idle, else after the next answer."""
        if self._handlingRequest or self._has_partial_request():
            self.persistent = False
            for request in self.requests:
                request.responseHeaders.setRawHeaders(b"Connection", [b"close"])
        else:
            self.loseConnection()


class CallerSite(protocol.ServerFactory):
    """Accepts connections of callers.

    Attributes:
        bounds: Limits for new connections.
        channels: Open connections, closed at a graceful shutdown.
    """

    noisy = False

    def __init__(
        self,
        handle: Callable[[CallerRequest], None],
        handle_disconnect: Callable[[CallerRequest], None],
    ):
        self.handle = handle
        self.handle_disconnect = handle_disconnect
        self.bounds = CallerBounds()
        self.channels: set[CallerChannel] = set()

    def buildProtocol(self, addr) -> CallerChannel:
        """Creates the protocol of one connection."""
        channel = CallerChannel(self.bounds)
        channel.site = self
        channel.factory = self
        self.channels.add(channel)
        return channel

    def log(self, request) -> None:
        """Writes no access log; timeline and metrics cover requests."""
