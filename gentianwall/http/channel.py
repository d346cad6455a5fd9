"""HTTP/1.1 server for callers with strict framing and bounded sizes.

Built on `twisted.web.http`. Requests with ambiguous framing are refused here,
and so are requests that are oversized or arrive too slowly. Only complete
requests are passed on. Which of several requests on a connection may run is
decided by `pipelining`, and how much all connections hold together by
`client_budget`.
"""

from __future__ import annotations

import contextlib
import enum
import socket
from collections.abc import Callable

import attrs
from twisted.internet import protocol
from twisted.web import http
from twisted.web.iweb import INonQueuedRequestFactory
from zope.interface import provider

from gentianwall.core.refusals import Executed, Refusal, RefusalReason
from gentianwall.http.body_buffer import BodyBuffer
from gentianwall.http.client_budget import (
    SMALL_BYTES,
    BudgetLimits,
    ClientBudget,
)
from gentianwall.http.pipelining import Pipeline, RefusalPacing
from gentianwall.http.problems import CONTENT_TYPE, Problem, render_refusal
from gentianwall.http.transports import count_unsent_bytes
from gentianwall.timers import monotonic_ms

MAX_HEADERS = 100
# Methods of requests that may be repeated, unless routes say otherwise.
REPEATABLE_METHODS = (b"GET", b"HEAD")
# Objects of a header, beside its text.
HEADER_BYTES = 170
# Smaller heads and answers are covered by what each connection is charged.
SMALL_HEAD_BYTES = 4096
SMALL_ANSWER_BYTES = 2048
# Part of a larger answer that is written at a time. The transport asks for the
# next one when the client has read it.
ANSWER_PART_BYTES = 128 * 1024
# The kernel delivers what it has taken after a process has ended. Linux grants
# twice what is asked for, up to net.core.wmem_max, which is 212,992 by default.
FINAL_SEND_BUFFER_BYTES = 4 * 1024 * 1024
DEFAULT_MAX_SEND_BUFFER_BYTES = 2 * 212_992
# Time for which a connection waits for memory before one is given up.
MEMORY_WAIT_S = 2.0
MEMORY_RECHECK_S = 0.1
RETRY_AFTER_MS = 1000.0
# Body bytes that must arrive in each window, on average 256 a second: less than
# any link carries, and more than clients send that only keep a request open.
RATE_WINDOW_S = 10.0
MIN_WINDOW_BYTES = 2560
# A refused client may still be sending. Closing at once would reset the
# connection, and the client might not see the status.
LINGER_S = 1.0
ANY_BYTES = 2**62
# Body bytes that are charged together. A charge for each chunk would take
# longer than its parsing where chunks are of a few bytes.
CHARGED_PART_BYTES = 16 * 1024
# Chunk sizes and extensions may be as long as the body itself and this many
# bytes more; 50,000 chunks of one byte stay below it.
MAX_FRAMING_BYTES = 256 * 1024
# Pieces of requests that are read ahead, after which they are joined: an object
# for each piece takes more memory than a short piece itself.
MAX_READ_AHEAD_PIECES = 64
# Requests of one connection that are received before other connections are
# served. A single read has 1,400 of the shortest requests.
MAX_REQUESTS_PER_TURN = 16
# Statuses of answers that tell the client to come back later.
COME_BACK_STATUSES = (429, 503)


class Misuse(enum.Enum):
    """Why a client was refused or its connection closed; a metric's label."""

    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    HEAD_SLOW = "head_slow"
    BODY_SLOW = "body_slow"
    ANSWER_UNREAD = "answer_unread"
    MALFORMED = "malformed"
    REFUSED_AT_HEAD = "refused_at_head"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    RUNNING_REQUESTS = "running_requests"


def unlimited_budget() -> ClientBudget:
    """Returns a budget that is never used up."""
    return ClientBudget(
        BudgetLimits(
            memory_bytes=ANY_BYTES,
            connections=ANY_BYTES,
            running_requests=ANY_BYTES,
        )
    )


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


# Otherwise a request that is received beside others counts as queued, and its
# connection keeps it after its answer.
@provider(INonQueuedRequestFactory)
class CallerRequest(http.Request):
    """One request of a caller, with its body in memory.

    Attributes:
        body: The complete body, set before `process` is called.
        is_received: Whether the request was received completely.
        received_ms: When that was.
        body_bytes: Bytes of the body received so far.
        uncharged_bytes: Those of them that are not charged yet.
        wire_bytes: Bytes of the body with its framing, in complete reads.
        charged_bytes: Bytes charged for the request and its answer.
        refusal_reason: Why it is refused by its head.
        is_running: Whether it counts as one that runs at a server.
    """

    body = b""
    is_received = False
    received_ms = 0.0
    charged_bytes = 0
    refusal_reason: RefusalReason | None = None
    is_running = False
    # Set by requests with a body only: each attribute that is set takes time.
    body_bytes = 0
    uncharged_bytes = 0
    wire_bytes = 0
    _content: BodyBuffer | None = None
    _ready_answer: tuple[int, list[tuple[bytes, bytes]], bytes] | None = None

    def gotLength(self, length) -> None:
        """Checks the complete head; refuses a body that is not to be read."""
        self.channel.on_head_received(self, length)

    def parseCookies(self) -> None:
        """Does not parse cookies; they are forwarded to the servers."""

    def handleContentChunk(self, data) -> None:
        """Adds a chunk to the body, or refuses a body over the limit."""
        if self.channel.is_refused:
            return
        self.body_bytes += len(data)
        if self.body_bytes > self.channel.bounds.body_bytes:
            self.channel.refuse(
                RefusalReason.REQUEST_TOO_LARGE, Misuse.BODY_TOO_LARGE
            )
            return
        self.uncharged_bytes += len(data)
        if self.uncharged_bytes >= CHARGED_PART_BYTES:
            self.channel.charge_body(self)
            if self.channel.is_refused:
                return
        if self._content is None:
            self._content = BodyBuffer()
        self._content.write(data)

    def discard(self) -> None:
        """Drops the body of a request that is not going to run."""
        if self._content is not None:
            self._content.close()
            self._content = None
        self.body = b""

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
        if self.uncharged_bytes:
            self.channel.charge_body(self)
            if self.channel.is_refused:
                return
        self.is_received = True
        self.received_ms = monotonic_ms()
        if self._content is not None:
            self.body = self._content.take()
            self._content = None
        self.set_target(command, path, version)
        self.process()

    def set_target(self, method: bytes, uri: bytes, version: bytes) -> None:
        """Sets what the request line states."""
        self.method = method
        self.uri = uri
        self.path = uri.split(b"?", 1)[0]
        self.clientproto = version

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
        if status in COME_BACK_STATUSES:
            self.channel.on_refused()
        self.channel.on_answer_ready(self, len(body), is_closing)

    def replace_answer(self) -> int:
        """Replaces the answer that is ready where there is no memory for it.

        Returns:
            Size of the body of the answer that is sent in its place.
        """
        refusal = Refusal(RefusalReason.OVERLOADED, Executed.UNKNOWN)
        problem = render_refusal(refusal, "")
        headers = [(b"Content-Type", CONTENT_TYPE), *problem.headers]
        self._ready_answer = (problem.status, headers, problem.body)
        return len(problem.body)

    def start_answer(self, is_last: bool) -> bytes:
        """Sets the head of the answer that is ready; returns its body.

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
        if self.body:
            # The request itself is no longer needed.
            self.body = b""
        return body

    def answer_problem(self, problem: Problem) -> None:
        """Sends a problem+json answer."""
        headers = [(b"Content-Type", CONTENT_TYPE), *problem.headers]
        self.answer(problem.status, headers, problem.body)


@attrs.define
class _Outgoing:
    """An answer that is being written.

    Attributes:
        request: The request.
        body: Body of the answer.
        is_last: Whether the connection ends with it.
        position: Bytes of the body that were written.
    """

    request: CallerRequest
    body: bytes
    is_last: bool
    position: int = 0

    @property
    def left_bytes(self) -> int:
        """Bytes of the body that were not written."""
        return max(0, len(self.body) - self.position)

    def write_part(self) -> bool:
        """Writes the next part; returns whether it was the last one."""
        end = self.position + ANSWER_PART_BYTES
        self.request.write(self.body[self.position : end])
        self.position = end
        return end >= len(self.body)


def has_repeatable_method(request: CallerRequest) -> bool:
    """Returns whether a request may be repeated by its method."""
    return request.method in REPEATABLE_METHODS


class CallerChannel(http.HTTPChannel):
    """One connection of a caller.

    Attributes:
        bounds: Limits on the request that is received, or on the next one.
        pipeline: Requests that were received and not yet answered.
        is_refused: Whether a request was malformed, too large or too slow, or
            no further one is read; whatever the caller sends is discarded.
    """

    requestFactory = CallerRequest
    maxHeaders = MAX_HEADERS
    # The base class would abort an idle connection 1 s after its timeout, while
    # an answer may still be sent. `loseConnection` limits the time for that.
    abortTimeout = None

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
        self._outgoing: _Outgoing | None = None
        self._unparsed_bytes = 0
        self._window_start_bytes = 0
        self._body_time_s = 0.0
        self._unread_call = None
        self._memory_call = None
        self._closing_call = None
        self._turn_call = None
        self._turn_requests = 0
        self._pacing = RefusalPacing()
        self._is_linger_due = False
        self._is_lost = False
        self._last_answered_id = ""
        self._resources = contextlib.ExitStack()
        self.account = None

    def open_account(self, budget: ClientBudget, address: str) -> None:
        """Opens the account of the connection, which ends with it."""
        self.budget = budget
        self.account = self._resources.enter_context(
            budget.account(
                address,
                monotonic_ms(),
                self._give_up,
                self._on_memory_free,
                self._refusable_bytes,
                self._refuse_for_memory,
            )
        )

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
        if not self._busyReceiving:
            self._turn_requests = 0
        was_body = not self.line_mode and not self._handlingRequest
        super().dataReceived(data)
        if not self.line_mode and not self._handlingRequest:
            self._check_body(len(data) if was_body else 0)
        self._update_receive_timeout()
        if (
            self._buffer
            or self._unparsed_bytes
            or self._dataBuffer
            or self._receivedHeaderSize
        ):
            self._charge_unparsed()

    def rawDataReceived(self, data) -> None:
        """Discards what follows a refused head."""
        if self.is_refused:
            return
        super().rawDataReceived(data)
        if len(self._dataBuffer) > MAX_READ_AHEAD_PIECES:
            self._dataBuffer[:] = [b"".join(self._dataBuffer)]

    def _check_body(self, received_bytes: int) -> None:
        """Charges what was received of a body, and limits its framing."""
        request = self.requests[-1] if self.requests else None
        if request is None or request.is_received or self.is_refused:
            return
        request.wire_bytes += received_bytes
        if request.uncharged_bytes:
            self.charge_body(request)
        framing_bytes = request.wire_bytes - request.body_bytes
        if framing_bytes > MAX_FRAMING_BYTES + request.body_bytes:
            self.refuse_with_status(400, "the chunks are too small")

    def _charge_unparsed(self) -> None:
        """Charges bytes that are kept until they are parsed."""
        unparsed_bytes = len(self._buffer)
        if self.line_mode:
            unparsed_bytes += self._receivedHeaderSize
        elif self._dataBuffer:
            unparsed_bytes += sum(map(len, self._dataBuffer))
        if unparsed_bytes != self._unparsed_bytes:
            change_bytes = unparsed_bytes - self._unparsed_bytes
            self._unparsed_bytes = unparsed_bytes
            self.budget.charge(self.account, change_bytes)

    def on_head_received(
        self, request: CallerRequest, length: int | None
    ) -> None:
        """Decides by the head of a request whether its body is read.

        Args:
            request: The request.
            length: Length of its body; None if it is not stated.
        """
        if length is not None and length > self.bounds.body_bytes:
            self.refuse(RefusalReason.REQUEST_TOO_LARGE, Misuse.BODY_TOO_LARGE)
            return
        head_bytes = (
            self._receivedHeaderSize + HEADER_BYTES * self._receivedHeaderCount
        )
        if head_bytes > SMALL_HEAD_BYTES:
            self._charge_request(request, head_bytes)
        if length == 0 or self.is_refused:
            # A request without a body is refused when it would start.
            return
        request.set_target(self._command, self._path, self._version)
        reason = self.site.check_head(request)
        if reason is not None:
            self._refuse_at_head(request, reason)

    def _refuse_at_head(
        self, request: CallerRequest, reason: RefusalReason
    ) -> None:
        """Refuses a request after earlier ones; its body is not kept."""
        self.report(Misuse.REFUSED_AT_HEAD)
        self.is_refused = True
        request.is_received = True
        request.received_ms = monotonic_ms()
        request.refusal_reason = reason
        self._is_linger_due = True
        self.pipeline.add(request, False)
        self.pipeline.is_read_finished = True
        self._advance()

    def report(self, misuse: Misuse) -> None:
        """Counts and logs that the client was refused or is closed."""
        address = self.account.address if self.account else ""
        held_bytes = self.account.held_bytes if self.account else 0
        self.site.limits.report_misuse(misuse, address, held_bytes)

    def _charge_request(self, request: CallerRequest, size_bytes: int) -> None:
        request.charged_bytes += size_bytes
        self.budget.charge(self.account, size_bytes)

    def charge_body(self, request: CallerRequest) -> None:
        """Charges received parts of a body; waits if too much is held."""
        size_bytes, request.uncharged_bytes = request.uncharged_bytes, 0
        self.account.progress_ms = monotonic_ms()
        self._charge_request(request, size_bytes)
        if self.budget.must_wait(self.account) and not self.is_refused:
            self._wait_for_memory()

    def _wait_for_memory(self) -> None:
        if self.account.is_waiting:
            return
        self.budget.start_waiting(self.account)
        self._networkProducer.pauseProducing()
        if self._memory_call is None:
            self._memory_call = self.callLater(
                MEMORY_WAIT_S, self._on_memory_wait_over
            )

    def _on_memory_wait_over(self) -> None:
        self._memory_call = None
        if not self.account.is_waiting:
            return
        self.budget.end_wait(monotonic_ms())
        if self.account.is_waiting:
            self._memory_call = self.callLater(
                MEMORY_RECHECK_S, self._on_memory_wait_over
            )

    def _on_memory_free(self) -> None:
        """Reads on; called by the budget."""
        if self._memory_call is not None:
            self._memory_call.cancel()
            self._memory_call = None
        if not self._waitingForTransport:
            self._networkProducer.resumeProducing()

    def _give_up(self, is_memory_short: bool) -> None:
        """Refuses the request being received, or closes the connection.

        Called by the budget, from whatever charged bytes.
        """
        self.report(Misuse.MEMORY if is_memory_short else Misuse.CONNECTIONS)
        can_answer = (
            is_memory_short
            and self.is_idle
            and self._has_partial_request()
            and not self.is_refused
        )
        if can_answer:
            self.refuse(RefusalReason.OVERLOADED, None)
            return
        is_unused = self.is_idle and not self._has_partial_request()
        self._discard_partial_request()
        self.is_refused = True
        if is_unused and not is_memory_short and self._closing_call is None:
            # The last answer may not be sent yet; an abort would discard it.
            self._closing_call = self.callLater(
                LINGER_S, self._on_closing_timeout
            )
            self.loseConnection()
            return
        self.transport.abortConnection()

    def _refusable_bytes(self) -> int:
        """Returns what is charged for requests that are not complete."""
        if self.is_refused:
            return 0
        request = self.requests[-1] if self.requests else None
        is_partial = request is not None and not request.is_received
        return self._unparsed_bytes + (request.charged_bytes * is_partial)

    def _refuse_for_memory(self) -> None:
        """Refuses what is not complete, after the answers to what is.

        Called by the budget, from whatever charged bytes.
        """
        self.report(Misuse.MEMORY)
        self.budget.stop_waiting(self.account)
        self.refuse(RefusalReason.OVERLOADED, None)

    def _release_partial_request(self) -> None:
        """Discards what was received of a refused request, with its charge."""
        self._discard_partial_request()
        for request in self.requests:
            if not request.is_received:
                self._charge_request(request, -request.charged_bytes)
                request.uncharged_bytes = 0
        self._charge_unparsed()
        self._update_receive_timeout()

    def _discard_partial_request(self) -> None:
        for request in self.requests:
            if not request.is_received:
                request.discard()
        self._dataBuffer.clear()

    def on_received(self, request: CallerRequest) -> None:
        """Queues a complete request and runs it once it may run."""
        self._turn_requests += 1
        if self.account.is_waiting:
            self.budget.stop_waiting(self.account)
            self._on_memory_free()
        self.pipeline.add(request, self.site.is_repeatable(request))
        if not self.persistent:
            self.pipeline.is_read_finished = True
        account = self.account
        account.progress_ms = request.received_ms
        account.is_serving = True
        account.is_blocked_by_client = self._unread_call is not None
        if not account.is_proven:
            self.budget.prove(account)
        self._advance()

    def on_refused(self) -> None:
        """Records a refusal if the client has sent further requests ahead."""
        is_ahead = self._dataBuffer or self._buffer or len(self.requests) > 1
        if is_ahead and self.site.limits.has_servers:
            self._pacing.record_refusal(monotonic_ms())

    def on_answer_ready(
        self, request: CallerRequest, answer_bytes: int, is_closing: bool
    ) -> None:
        """Writes the answer to a request after those to earlier ones."""
        if is_closing:
            self.pipeline.is_closing = True
        if request.is_running:
            request.is_running = False
            self.account.running_requests -= 1
            self.budget.running_requests -= 1
        if answer_bytes > SMALL_ANSWER_BYTES:
            answer_bytes = self._charge_answer(request, answer_bytes)
        if self.account.is_given_up:
            return
        self.pipeline.record_answer(request, answer_bytes)
        self._advance()

    def _charge_answer(self, request: CallerRequest, answer_bytes: int) -> int:
        """Charges an answer, or replaces it; returns the size that is sent."""
        account, now_ms = self.account, monotonic_ms()
        if self.budget.charge_answer(account, answer_bytes, now_ms):
            request.charged_bytes += answer_bytes
            return answer_bytes
        self.report(Misuse.MEMORY)
        return request.replace_answer()

    @property
    def is_idle(self) -> bool:
        """Whether every received request was answered completely."""
        return self.pipeline.is_empty and self._outgoing is None

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
            is_more_expected = not self.pipeline.is_read_finished
            self._close_after_answers(is_more_expected)
        elif self._final_problem is not None and self.is_idle:
            self._write_final_problem()
        else:
            self._resume_reading()

    def _write_and_run(self) -> bool:
        """Returns whether the connection ends with the last answer written."""
        while True:
            is_due = self._outgoing is not None or self.pipeline.is_answer_due
            if is_due and self._write_answers():
                return True
            if self.account.running_requests and self.budget.is_nearly_full:
                # One request at a time for each connection.
                return False
            request = self.pipeline.start_next()
            if request is None:
                return False
            self._run(request)

    def _write_answers(self) -> bool:
        """Writes answers that are due, for as long as the client reads.

        Returns:
            Whether the connection ends with the last one.
        """
        while not self._waitingForTransport:
            if self._outgoing is None:
                answered = self.pipeline.take_answered()
                if answered is None:
                    return False
                request, is_last = answered
                body = request.start_answer(is_last)
                if len(body) > ANSWER_PART_BYTES:
                    self._outgoing = _Outgoing(request, body, is_last)
                    continue
                request.write(body)
            elif self._outgoing.write_part():
                request, is_last = (
                    self._outgoing.request,
                    self._outgoing.is_last,
                )
                self._outgoing = None
            else:
                continue
            self._last_answered_id = request.header(
                self.site.cut_answers.id_header
            )
            request.finish()
            if is_last or (self.pipeline.is_closing and self.is_idle):
                return True
        return False

    def _run(self, request: CallerRequest) -> None:
        site, limits, budget = self.site, self.site.limits, self.budget
        reason = request.refusal_reason or site.check_head(request)
        if reason is not None:
            site.refuse_request(request, reason)
            return
        if limits.has_servers and budget.is_full:
            self.report(Misuse.RUNNING_REQUESTS)
            site.refuse_request(request, RefusalReason.QUEUE_FULL)
            return
        size_bytes = limits.body_copies * len(request.body)
        if size_bytes and len(request.body) > SMALL_BYTES:
            if not budget.reserve(self.account, size_bytes, monotonic_ms()):
                self.report(Misuse.MEMORY)
                site.refuse_request(request, RefusalReason.OVERLOADED)
                return
            request.charged_bytes += size_bytes
        if limits.has_servers:
            request.is_running = True
            self.account.running_requests += 1
            budget.running_requests += 1
        site.handle(request)

    def requestDone(self, request) -> None:
        """Removes the oldest request, whose answer has been written."""
        self.requests.remove(request)
        if request.charged_bytes:
            self.budget.charge(self.account, -request.charged_bytes)
            request.charged_bytes = 0
        self._resume_network()

    def _resume_network(self) -> None:
        """Receives further bytes, unless there is a reason to wait."""
        is_full = self._handlingRequest and self._is_read_ahead_full
        is_paused = self._waitingForTransport or self.account.is_waiting
        if not is_full and not is_paused and not self._is_lost:
            self._networkProducer.resumeProducing()

    def pauseProducing(self) -> None:
        """Stops to write and to read until the client has read answers."""
        super().pauseProducing()
        # The base class reads on while a request is handled.
        self._networkProducer.pauseProducing()
        if self._unread_call is None and not self._is_lost:
            self.account.is_blocked_by_client = True
            self.account.progress_ms = monotonic_ms()
            self.budget.charge(self.account, ANSWER_PART_BYTES)
            self._unread_call = self.callLater(
                self.bounds.body_timeout_s, self._on_unread_timeout
            )

    def resumeProducing(self) -> None:
        """Writes and reads on after the client has read answers."""
        super().resumeProducing()
        if self.account.is_waiting:
            self._networkProducer.pauseProducing()
        elif self._handlingRequest and not self._is_read_ahead_full:
            self._networkProducer.resumeProducing()
        self._end_unread()
        self._advance()

    @property
    def _is_read_ahead_full(self) -> bool:
        """Whether enough is held of requests that may not be parsed yet."""
        held_bytes = sum(map(len, self._dataBuffer))
        return held_bytes > self._optimisticEagerReadSize

    def _end_unread(self) -> None:
        if self._unread_call is None:
            return
        self._unread_call.cancel()
        self._unread_call = None
        self.account.is_blocked_by_client = self._is_receiving
        self.account.progress_ms = monotonic_ms()
        self.budget.charge(self.account, -ANSWER_PART_BYTES)

    def _on_unread_timeout(self) -> None:
        """Closes the connection of a client that does not read."""
        self._unread_call = None
        self.report(Misuse.ANSWER_UNREAD)
        self.is_refused = True
        self.transport.abortConnection()

    def _resume_reading(self) -> None:
        if self._outgoing is None and self.pipeline.is_empty:
            self.account.is_serving = False
            # While the last answer is being sent, the connection is not idle.
            if self._savedTimeOut and not self._waitingForTransport:
                self.setTimeout(self.bounds.idle_timeout_s)
            if self._is_continue_due:
                self._is_continue_due = False
                self._send100Continue()
        if (
            self._handlingRequest
            and self._outgoing is None
            and self.pipeline.can_read
        ):
            now_ms = monotonic_ms()
            if self._pacing.is_used_up(now_ms) and not self.is_idle:
                return
            delay_s = self._pacing.delay_ms(now_ms) / 1000.0
            if delay_s > 0.0 or self._turn_requests >= MAX_REQUESTS_PER_TURN:
                if self._turn_call is None:
                    self._turn_call = self.callLater(delay_s, self._start_turn)
                return
            self._handlingRequest = False
            data = b"".join(self._dataBuffer)
            self._dataBuffer.clear()
            self.setLineMode(data)
            if data and not self.is_refused:
                # Reading paused if much was received meanwhile.
                self._resume_network()

    def _start_turn(self) -> None:
        """Reads on after other connections were served."""
        self._turn_call = None
        self._turn_requests = 0
        self._advance()

    def _update_receive_timeout(self) -> None:
        is_receiving = (
            not self.is_refused
            and not self._handlingRequest
            and self._has_partial_request()
        )
        self.account.is_blocked_by_client = (
            is_receiving or self._unread_call is not None
        )
        if is_receiving == self._is_receiving:
            return
        self._is_receiving = is_receiving
        self._body_time_s = 0.0
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
        """Checks the head when its time is over, and the body repeatedly."""
        self._receive_timeout_call = None
        if self.line_mode or not self.requests:
            self.refuse_with_status(
                408, "the request came too slowly", Misuse.HEAD_SLOW
            )
            return
        received_bytes = self.requests[-1].body_bytes
        is_first = self._body_time_s == 0.0
        window_bytes = received_bytes - self._window_start_bytes
        # A connection that waits for memory cannot be read.
        is_slow = (
            not is_first
            and window_bytes < MIN_WINDOW_BYTES
            and not self.account.is_waiting
        )
        if is_first:
            self._body_time_s = self.bounds.header_timeout_s
        left_s = self.bounds.body_timeout_s - self._body_time_s
        if is_slow or left_s <= 0.0:
            self.refuse_with_status(
                408, "the request came too slowly", Misuse.BODY_SLOW
            )
            return
        self._window_start_bytes = received_bytes
        window_s = min(RATE_WINDOW_S, left_s)
        self._body_time_s += window_s
        self._receive_timeout_call = self.callLater(
            window_s, self._on_receive_timeout
        )

    def allContentReceived(self) -> None:
        """Applies changed limits once the request is complete."""
        if self.is_refused:
            return
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
            self.refuse_with_status(
                431, "the headers are too large", Misuse.HEAD_TOO_LARGE
            )
            return
        super().lineReceived(line)

    def lineLengthExceeded(self, line) -> None:
        """Refuses a request line or header line over the limit."""
        self.refuse_with_status(
            431, "the headers are too large", Misuse.HEAD_TOO_LARGE
        )

    def refuse(self, reason: RefusalReason, misuse: Misuse | None) -> None:
        """Refuses the request being received and closes the connection.

        Args:
            reason: Reason of the refusal.
            misuse: What is counted and logged; None if it was already.
        """
        if misuse is not None and not self.is_refused:
            self.report(misuse)
        self._is_linger_due = self._is_linger_due or not self.is_refused
        refusal = Refusal(reason, Executed.NO)
        if refusal.status == 503:
            refusal = attrs.evolve(refusal, retry_after_ms=RETRY_AFTER_MS)
        problem = render_refusal(refusal, "")
        headers = (*problem.headers, *self.site.refusal_headers(refusal))
        self._send_and_close(attrs.evolve(problem, headers=headers))

    def refuse_unfinished(self) -> None:
        """Refuses the request being received, as the process ends."""
        if self._has_partial_request():
            self.refuse(RefusalReason.NOT_READY, None)

    def enlarge_send_buffer(self) -> None:
        """Lets the kernel take the rest of an answer, as the process ends."""
        sock = self.transport.getHandle()
        option = (socket.SOL_SOCKET, socket.SO_SNDBUF)
        # A buffer that has grown by itself may exceed the limit of those that
        # are set.
        if sock.getsockopt(*option) < DEFAULT_MAX_SEND_BUFFER_BYTES:
            sock.setsockopt(*option, FINAL_SEND_BUFFER_BYTES)

    def refuse_with_status(
        self, status: int, detail: str, misuse: Misuse = Misuse.MALFORMED
    ) -> None:
        """Refuses a malformed or slow request and closes the connection."""
        if not self.is_refused:
            self.report(misuse)
        is_body_due = not self.line_mode and not self._handlingRequest
        if is_body_due and not self.is_refused:
            self._is_linger_due = True
        refusal = Refusal(RefusalReason.BAD_REQUEST, Executed.NO, detail=detail)
        problem = render_refusal(refusal, "")
        body = problem.body.replace(b'"status": 400', b'"status": %d' % status)
        self._send_and_close(Problem(status, body, problem.headers))

    def _respondToBadRequestAndDisconnect(self) -> None:
        self.refuse_with_status(400, "the request is malformed")

    def _send100Continue(self) -> None:
        if self.is_refused:
            return
        if self.is_idle:
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
        self._release_partial_request()
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
            self.refuse_with_status(
                408, "the request came too slowly", Misuse.HEAD_SLOW
            )
            return
        super().timeoutConnection()

    def loseConnection(self) -> None:
        """Closes the connection once the client has read what was written.

        It is aborted if that takes too long. A client that may still send a
        body gets some time to read the answer first.
        """
        if self._is_linger_due and not self._is_lost:
            self._is_linger_due = False
            self._closing_call = self.callLater(LINGER_S, self._end_linger)
            self._networkProducer.resumeProducing()
            return
        if self._closing_call is None and not self._is_lost:
            self._closing_call = self.callLater(
                self.bounds.body_timeout_s, self._on_closing_timeout
            )
        super().loseConnection()

    @property
    def _is_input_unread(self) -> bool:
        """Whether a client that did not ask for the close may have sent more.

        That is so if reading is paused, if requests wait for their turn to be
        read, or if one is being received.
        """
        if not self.pipeline.is_closing or self.pipeline.is_read_finished:
            return False
        return (
            self._waitingForTransport
            or self._is_read_ahead_full
            or self._turn_call is not None
            or self._has_partial_request()
        )

    def _close_after_answers(self, is_more_expected: bool) -> None:
        """Closes the connection, after discarding what the client sent.

        A close with unread input, or with input that comes while the kernel
        still sends, resets the connection, and the client may not receive the
        rest of the last answer.

        Args:
            is_more_expected: Whether the client may have sent more, or may do
                so before it has received the last answer.
        """
        if not is_more_expected:
            self.loseConnection()
            return
        self.is_refused = True
        self._release_partial_request()
        self._networkProducer.unregisterProducer()
        self.transport.loseWriteConnection()
        self._is_linger_due = True
        self.loseConnection()

    def _end_linger(self) -> None:
        self._closing_call = None
        self.loseConnection()

    def _on_closing_timeout(self) -> None:
        self._closing_call = None
        self.report(Misuse.ANSWER_UNREAD)
        self.transport.abortConnection()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the kernel has not taken yet."""
        unsent_bytes = count_unsent_bytes(self.transport)
        if self._outgoing is not None:
            unsent_bytes += self._outgoing.left_bytes
        return unsent_bytes

    def _report_cut_answer(self) -> None:
        unsent_bytes = self.unsent_bytes
        if not unsent_bytes:
            return
        request_id = self._last_answered_id
        if self._outgoing is not None:
            request_id = self._outgoing.request.header(
                self.site.cut_answers.id_header
            )
        self.site.cut_answers.report(request_id, unsent_bytes)

    def connectionLost(self, reason) -> None:
        """Cancels the receive timeout and removes the connection."""
        self._is_lost = True
        self._report_cut_answer()
        self._discard_partial_request()
        self._end_unread()
        for name in (
            "_receive_timeout_call",
            "_memory_call",
            "_closing_call",
            "_turn_call",
        ):
            call = getattr(self, name)
            setattr(self, name, None)
            if call is not None:
                call.cancel()
        self.site.channels.discard(self)
        super().connectionLost(reason)
        self._outgoing = None
        self.budget.running_requests -= self.account.running_requests
        self.account.running_requests = 0
        self._resources.close()

    def close_when_idle(self) -> None:
        """Closes the connection at once if idle, else after the answers.

        Answers are still sent to requests that run and to the one that is
        being received, unless it is behind others.
        """
        self.pipeline.is_closing = True
        if self.is_idle and not self._has_partial_request():
            self._close_after_answers(self._is_input_unread)


HeadCheck = Callable[[CallerRequest], RefusalReason | None]
RefusalHeaders = Callable[[Refusal], tuple[tuple[bytes, bytes], ...]]
MisuseReport = Callable[[Misuse, str, int], None]


def _accept_head(request: CallerRequest) -> None:
    """Refuses no request."""


def _refuse_request(request: CallerRequest, reason: RefusalReason) -> None:
    refusal = Refusal(reason, Executed.NO)
    if refusal.status == 503:
        refusal = attrs.evolve(refusal, retry_after_ms=RETRY_AFTER_MS)
    request.answer_problem(render_refusal(refusal, ""))


def _report_no_cut(request_id: str, unsent_bytes: int) -> None:
    """Reports nothing."""


def _add_no_headers(refusal: Refusal) -> tuple[tuple[bytes, bytes], ...]:
    """Returns no headers."""
    return ()


def _report_nothing(misuse: Misuse, address: str, held_bytes: int) -> None:
    """Reports nothing."""


@attrs.frozen
class CutAnswers:
    """Who hears of answers that were not sent completely.

    Attributes:
        report: Called with the id of a request and the bytes of its answer that
            the kernel had not taken when the connection was lost.
        id_header: Name of the header with the id of a request.
    """

    report: Callable[[str, int], None] = _report_no_cut
    id_header: bytes = b"Gentianwall-Request-Id"


@attrs.frozen(kw_only=True)
class SiteLimits:
    """What clients of one port may take.

    Attributes:
        budget: Limits what all clients of the process hold.
        report_misuse: Called with reason, address and held bytes when a client
            is refused or closed.
        has_servers: Whether requests are sent to servers, so that the number of
            those that run is limited.
        body_copies: Memory that handling a large body takes, as a multiple of
            its size.
    """

    budget: ClientBudget = attrs.field(factory=unlimited_budget)
    report_misuse: MisuseReport = _report_nothing
    has_servers: bool = False
    body_copies: int = 0


def refuse_bodies(request: CallerRequest) -> RefusalReason | None:
    """Refuses a request with a body; a head check."""
    headers = request.requestHeaders
    length = headers.getRawHeaders(b"Content-Length") or [b"0"]
    if length != [b"0"] or headers.hasHeader(b"Transfer-Encoding"):
        return RefusalReason.REQUEST_TOO_LARGE
    return None


class CallerSite(protocol.ServerFactory):
    """Accepts connections of callers.

    Args:
        handle: Handles a request that may run now.
        handle_disconnect: Called for a request whose caller disconnected.
        is_repeatable: Returns whether a request may run more than once, so
            that it may run beside others of its connection.
        limits: What clients may take, and who hears of those that are refused.
        check_head: Returns why a request is refused by its head, or None. It
            is called when the head of a request with a body is complete, and
            for every request when it would start.
        refuse_request: Answers a request that is refused by its head, or for
            which too many requests run.
        refusal_headers: Returns further headers of the refusal of a request
            that was not received completely.
        cut_answers: Who hears of answers that were not sent completely.

    Attributes:
        channels: Open connections, closed at a graceful shutdown.
    """

    noisy = False

    def __init__(
        self,
        handle: Callable[[CallerRequest], None],
        handle_disconnect: Callable[[CallerRequest], None],
        is_repeatable: Callable[[CallerRequest], bool] | None = None,
        *,
        limits: SiteLimits | None = None,
        check_head: HeadCheck | None = None,
        refuse_request: Callable[[CallerRequest, RefusalReason], None]
        | None = None,
        refusal_headers: RefusalHeaders = _add_no_headers,
        cut_answers: CutAnswers | None = None,
    ):
        self.handle = handle
        self.handle_disconnect = handle_disconnect
        self.is_repeatable = is_repeatable or has_repeatable_method
        self.limits = limits or SiteLimits()
        self.check_head = check_head or _accept_head
        self.refuse_request = refuse_request or _refuse_request
        self.refusal_headers = refusal_headers
        self.cut_answers = cut_answers or CutAnswers()
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

    def buildProtocol(self, addr) -> CallerChannel | None:
        """Creates the protocol of one connection; None closes it."""
        address = getattr(addr, "host", "")
        if not self.limits.budget.make_room(monotonic_ms()):
            self.limits.report_misuse(Misuse.CONNECTIONS, address, 0)
            return None
        channel = CallerChannel(self.bounds)
        channel.site = self
        channel.factory = self
        channel.open_account(self.limits.budget, address)
        self.channels.add(channel)
        return channel

    def log(self, request) -> None:
        """Writes no access log; timeline and metrics cover requests."""
