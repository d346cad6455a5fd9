"""Requests of a gateway between callers' connections and servers."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable

import attrs
from twisted.web.http_headers import Headers

from gentianwall.core.events import CallerDisconnected, FailureKind
from gentianwall.core.refusals import Refusal
from gentianwall.gateway.effects import (
    CancelRequest,
    CheckServer,
    ForwardAnswer,
    QueryLoad,
    RefuseRequest,
    SendRequest,
)
from gentianwall.gateway.events import (
    GatewayEvent,
    LoadQueryEnded,
    RecheckDue,
    RequestArrived,
    ServerAnswered,
    ServerCrashed,
    ServerFailed,
)
from gentianwall.http.channel import CallerRequest
from gentianwall.http.connections import (
    Attempt,
    ConnectionPool,
    ServerAnswer,
    ServerRequest,
)
from gentianwall.http.dialect import Dialect
from gentianwall.http.headers import passed_on
from gentianwall.membership.messages import ServerNotice
from gentianwall.metrics import Metrics
from gentianwall.timers import TimerService, monotonic_ms

ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
# A connection is set up within two round trips of at most 40 ms between
# regions; a lost opening packet is only sent again after a second.
CONNECT_TIMEOUT_S = 0.25
# A request waits so long for load reports; one round trip within a region
# and the time of a busy process.
ASKING_MS = 12.0
# A server that does not answer a health check for so long gets no requests.
ASK_TIMEOUT_MS = 300.0
ASK_LIMIT_BYTES = 64 * 1024
MISDIRECTED_STATUS = 421


@attrs.define
class OpenRequest:
    """A request whose caller waits."""

    call_id: int
    request_id: str
    request: CallerRequest
    arrived_ms: float
    attempt: Attempt | None = None
    answer: ServerAnswer | None = None


class Exchange:
    """Turns requests into events and carries out effects on requests.

    Args:
        reactor: The reactor.
        timers: The timer service.
        dialect: Names of headers.
        metrics: Where requests are counted.
        handle: Takes an event to the core.
        is_fingerprint_needed: Whether any request is refused for what it is.
    """

    def __init__(
        self,
        reactor,
        timers: TimerService,
        dialect: Dialect,
        metrics: Metrics,
        handle: Callable[[GatewayEvent], None],
        is_fingerprint_needed: Callable[[], bool],
    ):
        self.calls: dict[int, OpenRequest] = {}
        self.is_closing = False
        self._pools: dict[str, ConnectionPool] = {}
        self._asked: dict[str, Attempt] = {}
        self._by_request: dict[int, int] = {}
        self._reactor = reactor
        self._timers = timers
        self._dialect = dialect
        self._metrics = metrics
        self._handle = handle
        self._is_fingerprint_needed = is_fingerprint_needed
        self._last_id = 0

    def open(self, request: CallerRequest) -> None:
        """Takes a whole request of a caller."""
        self._last_id += 1
        call_id = self._last_id
        request_id = request.header(self._dialect.request_id)
        now_ms = monotonic_ms()
        call = OpenRequest(
            call_id, request_id or f"own-{call_id}", request, now_ms
        )
        self.calls[call_id] = call
        self._by_request[id(request)] = call_id
        is_needed = self._is_fingerprint_needed()
        self._handle(
            RequestArrived(
                at_ms=now_ms,
                call_id=call_id,
                request_id=call.request_id,
                host=request.header(b"Host"),
                path=request.path.decode("latin-1"),
                wait_ms=_wait_ms(request.header(self._dialect.deadline_ms)),
                fingerprint=_fingerprint(request) if is_needed else "",
            )
        )

    def gone(self, request: CallerRequest) -> None:
        """Notes that a caller closed its connection."""
        call_id = self._by_request.pop(id(request), None)
        call = self.calls.get(call_id) if call_id else None
        if call is not None:
            self._handle(CallerDisconnected(monotonic_ms(), call.call_id))
            self.calls.pop(call.call_id, None)

    def send(self, effect: SendRequest) -> None:
        """Sends a request to a server."""
        call = self.calls.get(effect.call_id)
        if call is None:
            return
        names = self._dialect
        headers = passed_on(
            call.request.requestHeaders,
            (names.deadline_ms, names.expected_server),
        )
        headers.setRawHeaders(b"Host", [call.request.header(b"Host").encode()])
        left = b"%d" % max(1, effect.left_ms)
        headers.setRawHeaders(names.deadline_ms, [left])
        name = effect.notice.key.server
        headers.setRawHeaders(names.expected_server, [name.encode()])
        headers.setRawHeaders(names.request_id, [call.request_id.encode()])
        request = ServerRequest(
            call.request.method,
            call.request.uri,
            headers,
            call.request.body,
            effect.is_idempotent,
            is_close_an_end=True,
            echo_header=names.request_id,
        )

        def on_answer(answer: ServerAnswer) -> None:
            call.answer = answer
            self._handle(self._answered(call, effect.attempt, answer))

        def on_failure(kind: FailureKind) -> None:
            now_ms = monotonic_ms()
            self._handle(
                ServerFailed(now_ms, call.call_id, effect.attempt, kind)
            )

        call.attempt = Attempt(
            self.pool_of(effect.notice),
            request,
            call.request_id,
            ANSWER_LIMIT_BYTES,
            float("inf"),
            on_answer,
            on_failure,
        )
        call.attempt.start()

    def _answered(
        self, call: OpenRequest, attempt: int, answer: ServerAnswer
    ) -> ServerAnswered:
        names = self._dialect
        headers = answer.headers
        is_refusal = (
            headers.hasHeader(names.not_executed)
            or answer.status == MISDIRECTED_STATUS
        )
        return ServerAnswered(
            at_ms=monotonic_ms(),
            call_id=call.call_id,
            attempt=attempt,
            status=answer.status,
            is_refusal=is_refusal,
            is_authentic=self._is_sound(answer),
            report=self._report(headers),
        )

    def _is_sound(self, answer: ServerAnswer) -> bool:
        """Whether an answer is the server's own and may be passed on."""
        names = self._dialect
        if answer.headers.hasHeader(b"Content-Encoding"):
            return False  # None was asked for.
        if not names.server_stamp:
            return True
        return answer.headers.hasHeader(
            names.server_stamp
        ) and answer.headers.hasHeader(names.request_id)

    def _report(self, headers: Headers):
        values = headers.getRawHeaders(self._dialect.load)
        if not values:
            return None
        return self._dialect.parse_load(values[0].decode("latin-1"))

    def ask(self, effect: QueryLoad) -> None:
        """Asks servers for their load, for one request."""
        self.look_again(effect.call_id, monotonic_ms() + ASKING_MS)
        for notice in effect.notices:
            if notice.key.server not in self._asked:
                self._ask_one(notice, effect.health_path)

    def look_again(self, call_id: int, at_ms: float) -> None:
        """Tells the core when a request shall be placed by what is known."""
        self._timers.start(
            f"asking.{call_id}",
            at_ms,
            lambda: self._handle(RecheckDue(monotonic_ms(), call_id)),
        )

    def _ask_one(self, notice: ServerNotice, health_path: str) -> None:
        name = notice.key.server
        self._metrics.service(notice.key.service).probes += 1
        headers = Headers()
        headers.addRawHeader(b"Host", f"{notice.host}:{notice.port}".encode())
        request = ServerRequest(
            b"GET",
            health_path.encode(),
            headers,
            b"",
            True,
            echo_header=self._dialect.request_id,
        )

        def told(answer: ServerAnswer | None) -> None:
            self._timers.cancel(f"asked.{name}")
            self._asked.pop(name, None)
            self._handle(self._told(notice, answer))

        pool = self.pool_of(notice)

        def failed(kind: FailureKind) -> None:
            if kind is FailureKind.LOST and attempt.is_reused:
                # The server forgot an idle connection; that tells nothing.
                pool.close_idle()
                self._timers.cancel(f"asked.{name}")
                self._asked.pop(name, None)
                self._ask_one(notice, health_path)
            else:
                told(None)

        attempt = Attempt(
            pool,
            request,
            "",
            ASK_LIMIT_BYTES,
            float("inf"),
            told,
            failed,
        )
        self._asked[name] = attempt
        self._timers.start(
            f"asked.{name}",
            monotonic_ms() + ASK_TIMEOUT_MS,
            lambda: attempt.fail(FailureKind.SILENT),
        )
        attempt.start()

    def _told(
        self, notice: ServerNotice, answer: ServerAnswer | None
    ) -> LoadQueryEnded:
        name = notice.key.server
        is_mismatched = False
        report = None
        if answer is not None:
            values = answer.headers.getRawHeaders(self._dialect.server_name)
            is_mismatched = bool(values) and values[0] != name.encode()
            report = None if is_mismatched else self._report(answer.headers)
        return LoadQueryEnded(
            at_ms=monotonic_ms(),
            server=name,
            is_answered=answer is not None,
            is_healthy=answer is not None and answer.status < 400,
            is_mismatched=is_mismatched,
            report=report,
        )

    def check(self, effect: CheckServer) -> None:
        """Sees whether a server that lost a request takes connections."""
        call = self.calls.get(effect.call_id)
        if call is None:
            return
        fingerprint = _fingerprint(call.request)
        pool = self.pool_of(effect.notice)
        service, server = effect.notice.key.service, effect.notice.key.server
        pool.connect(
            pool.put_idle,
            lambda: self._handle(
                ServerCrashed(monotonic_ms(), server, service, fingerprint)
            ),
        )

    def cancel(self, effect: CancelRequest) -> None:
        """Closes the connection of a request."""
        call = self.calls.get(effect.call_id)
        if call is not None and call.attempt is not None:
            call.attempt.cancel()

    def pass_answer(self, effect: ForwardAnswer) -> None:
        """Sends a server's whole answer to the caller."""
        call = self._close(effect.call_id)
        if call is None or call.answer is None:
            return
        answer = call.answer
        headers = [
            (name, value)
            for name, values in passed_on(answer.headers).getAllRawHeaders()
            for value in values
            if name.lower() != b"content-length"
        ]
        self._answer(call, answer.status, headers, answer.body)

    def refuse(self, effect: RefuseRequest) -> None:
        """Sends a refusal."""
        call = self._close(effect.call_id)
        if call is None:
            return
        refusal = effect.refusal
        status = self._status(refusal)
        content = {
            "title": refusal.reason.value,
            "status": status,
            "executed": refusal.executed.value,
            "request_id": call.request_id,
        }
        headers = [(b"Content-Type", b"application/problem+json")]
        if refusal.retry_after_ms > 0:
            content["retry_after_ms"] = round(refusal.retry_after_ms)
            seconds = b"%.3f" % (refusal.retry_after_ms / 1000.0)
            headers.append((b"Retry-After", seconds))
        self._answer(call, status, headers, json.dumps(content).encode())

    def _status(self, refusal: Refusal) -> int:
        return self._dialect.statuses.get(refusal.reason, refusal.status)

    def _answer(self, call, status, headers, body) -> None:
        if self.is_closing:
            headers.append((b"Connection", b"close"))
            call.request.channel.persistent = False
        call.request.answer(status, headers, body)

    def pool_of(self, notice: ServerNotice) -> ConnectionPool:
        """Returns the connections to a server at its present address."""
        name = notice.key.server
        pool = self._pools.get(name)
        if pool is None or (pool.host, pool.port) != (notice.host, notice.port):
            self.drop(name)
            pool = ConnectionPool(
                self._reactor, notice.host, notice.port, CONNECT_TIMEOUT_S
            )
            self._pools[name] = pool
        return pool

    def drop(self, server: str) -> None:
        """Closes what is idle towards a server."""
        pool = self._pools.pop(server, None)
        if pool is not None:
            pool.close_idle()

    def _close(self, call_id: int) -> OpenRequest | None:
        self._timers.cancel(f"asking.{call_id}")
        self._timers.cancel(f"call.{call_id}")
        call = self.calls.pop(call_id, None)
        if call is not None:
            self._by_request.pop(id(call.request), None)
            call.attempt = None  # It refers back to the call.
        return call


def _wait_ms(text: str) -> float | None:
    try:
        wait_ms = float(text) if text else None
    except ValueError:
        return None
    return wait_ms if wait_ms is None or wait_ms > 0 else 0.0


def _fingerprint(request: CallerRequest) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method, request.header(b"Host").encode(), request.uri):
        digest.update(part)
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
