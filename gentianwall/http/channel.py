"""HTTP/1.1 from callers: strict framing, bounded sizes, whole requests.

Works on `twisted.web.http`. A request that is ambiguous, too large or too
slow is refused here, before any part of the system sees it.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
from twisted.internet import protocol
from twisted.web import http

from gentianwall.core.refusals import Executed, Refusal, RefusalReason
from gentianwall.http.problems import CONTENT_TYPE, Problem, problem_of

MAX_HEADERS = 100


@attrs.frozen(kw_only=True)
class CallerBounds:
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: Largest headers.
        body_bytes: Largest body.
        header_timeout_s: Time for the headers.
        body_timeout_s: Time for the whole request.
        idle_timeout_s: How long a connection may be idle.
    """

    header_bytes: int = 32 * 1024
    body_bytes: int = 16 * 1024 * 1024
    header_timeout_s: float = 10.0
    body_timeout_s: float = 60.0
    idle_timeout_s: float = 75.0


class CallerRequest(http.Request):
    """One request; its body is kept in memory up to the limit.

    Attributes:
        body: The whole body, once `process` is called.
    """

    body = b""

    def __init__(self, channel, queued=False):
        super().__init__(channel, queued)
        self._chunks: list[bytes] = []
        self._body_bytes = 0

    def gotLength(self, length) -> None:
        """Refuses a body whose announced length is over the limit."""
        if length is not None and length > self.channel.bounds.body_bytes:
            self.channel.reject(RefusalReason.REQUEST_TOO_LARGE)

    def parseCookies(self) -> None:
        """Leaves cookies to the servers."""

    def handleContentChunk(self, data) -> None:
        """Takes a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self.channel.bounds.body_bytes:
            self._chunks.clear()
            self.channel.reject(RefusalReason.REQUEST_TOO_LARGE)
            return
        self._chunks.append(data)

    def requestReceived(self, command, path, version) -> None:
        """Takes the end of the request."""
        if self.channel.is_rejected:
            return
        hosts = self.requestHeaders.getRawHeaders(b"Host") or []
        if len(hosts) > 1 or (not hosts and version == b"HTTP/1.1"):
            # RFC 9112, 3.2: exactly one Host.
            self.channel.reject_status(400, "exactly one Host is needed")
            return
        self.body = b"".join(self._chunks)
        self._chunks.clear()
        self.method = command
        self.uri = path
        self.path = path.split(b"?", 1)[0]
        self.clientproto = version
        self.process()

    def process(self) -> None:
        """Hands the request to the site."""
        self.channel.site.handle(self)

    def header(self, name: bytes) -> str:
        """Returns a header's only value as text, or an empty text."""
        values = self.requestHeaders.getRawHeaders(name)
        return values[0].decode("latin-1") if values else ""

    def connectionLost(self, reason) -> None:
        """Tells the site that the caller is gone."""
        site = self.channel.site
        super().connectionLost(reason)
        site.handle_gone(self)

    def answer(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Sends a whole answer, unless the caller is gone."""
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
        """Sends a problem."""
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
        self.is_rejected = False
        self._slow_call = None
        self._is_partial = False

    def dataReceived(self, data) -> None:
        """Takes bytes; a request may not trickle in for ever."""
        if self.is_rejected:
            return
        super().dataReceived(data)
        self._watch_pace()

    def _watch_pace(self) -> None:
        is_partial = bool(not self._handlingRequest and self._has_part())
        if is_partial == self._is_partial:
            return
        self._is_partial = is_partial
        if self._slow_call is not None:
            self._slow_call.cancel()
            self._slow_call = None
        if is_partial:
            self._slow_call = self.callLater(
                self.bounds.header_timeout_s, self._slow
            )

    def _has_part(self) -> bool:
        return bool(self.requests) or bool(self._buffer)

    def _slow(self) -> None:
        self._slow_call = None
        has_headers = not self.line_mode
        if has_headers and not self._is_body_late:
            self._is_body_late = True
            self._slow_call = self.callLater(
                self.bounds.body_timeout_s - self.bounds.header_timeout_s,
                self._slow,
            )
            return
        self.reject_status(408, "the request came too slowly")

    _is_body_late = False

    def allContentReceived(self) -> None:
        """Ends the watch over a request that is whole."""
        self._is_body_late = False
        super().allContentReceived()

    def lineReceived(self, line) -> None:
        """Refuses folded headers and too many of them."""
        if self.is_rejected:
            return
        if line[:1] in (b" ", b"\t") and self.requests:
            self.reject_status(400, "folded headers are not accepted")
            return
        size = self._receivedHeaderSize + len(line)
        count = self._receivedHeaderCount
        if size > self.totalHeadersSize or count >= self.maxHeaders:
            self.reject_status(431, "the headers are too large")
            return
        super().lineReceived(line)

    def lineLengthExceeded(self, line) -> None:
        """Refuses an endless line."""
        self.reject_status(431, "the headers are too large")

    def reject(self, reason: RefusalReason) -> None:
        """Refuses what is being received and closes the connection."""
        self._send_and_close(problem_of(Refusal(reason, Executed.NO), ""))

    def reject_status(self, status: int, detail: str) -> None:
        """Refuses a malformed or slow request and closes the connection."""
        refusal = Refusal(RefusalReason.BAD_REQUEST, Executed.NO, detail=detail)
        problem = problem_of(refusal, "")
        body = problem.body.replace(b'"status": 400', b'"status": %d' % status)
        self._send_and_close(Problem(status, body, problem.headers))

    def _respondToBadRequestAndDisconnect(self) -> None:
        self.reject_status(400, "the request is malformed")

    def _send100Continue(self) -> None:
        if not self.is_rejected:
            super()._send100Continue()

    def _send_and_close(self, problem: Problem) -> None:
        if self.is_rejected:
            return
        self.is_rejected = True
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
        """Closes an idle connection; a started request gets a 408."""
        if self._has_part():
            self.reject_status(408, "the request came too slowly")
            return
        super().timeoutConnection()

    def connectionLost(self, reason) -> None:
        """Stops watching."""
        if self._slow_call is not None:
            self._slow_call.cancel()
            self._slow_call = None
        self.site.channels.discard(self)
        super().connectionLost(reason)

    def close_when_idle(self) -> None:
        """Closes the connection, after the answer to a request in flight."""
        if self._handlingRequest or self._has_part():
            self.persistent = False
            for request in self.requests:
                request.responseHeaders.setRawHeaders(b"Connection", [b"close"])
        else:
            self.loseConnection()


class CallerSite(protocol.ServerFactory):
    """Accepts callers' connections.

    Attributes:
        bounds: Bounds for connections from now on.
        channels: Open connections, for a graceful end.
    """

    noisy = False

    def __init__(
        self,
        handle: Callable[[CallerRequest], None],
        handle_gone: Callable[[CallerRequest], None],
    ):
        self.handle = handle
        self.handle_gone = handle_gone
        self.bounds = CallerBounds()
        self.channels: set[CallerChannel] = set()

    def buildProtocol(self, addr) -> CallerChannel:
        """Makes the protocol of one connection."""
        channel = CallerChannel(self.bounds)
        channel.site = self
        channel.factory = self
        self.channels.add(channel)
        return channel

    def log(self, request) -> None:
        """Leaves access logging to the time line and the metrics."""
