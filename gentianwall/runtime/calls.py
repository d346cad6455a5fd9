"""Callers' requests between their connections, the core and the servers."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

import attrs
from twisted.web.http_headers import Headers

from gentianwall.claims.commands import Outcome
from gentianwall.core.effects import (
    AnswerCaller,
    CancelAttempt,
    Dispatch,
    RefuseCaller,
    ReplayAnswer,
)
from gentianwall.core.events import (
    AttemptAnswered,
    AttemptFailed,
    CallArrived,
    CallerDisconnected,
    EntryEvent,
    FailureKind,
)
from gentianwall.core.refusals import Executed, Refusal, RefusalReason
from gentianwall.http.channel import CallerRequest
from gentianwall.http.connections import (
    Attempt,
    ConnectionPool,
    ServerAnswer,
    ServerRequest,
)
from gentianwall.http.headers import (
    MAX_HOPS,
    count_hops,
    to_caller,
    to_server,
)
from gentianwall.http.problems import problem_of
from gentianwall.http.reports import report_of
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.metrics import Metrics
from gentianwall.timers import monotonic_ms, wall_ms

MAX_KEPT_BODY_BYTES = 2048


@attrs.define
class OpenCall:
    """A request whose caller waits."""

    call_id: int
    request_id: str
    service: str
    uri: bytes
    request: CallerRequest
    arrived_ms: float
    is_idempotent: bool
    has_key: bool
    caller: str
    attempt: Attempt | None = None
    answer: ServerAnswer | None = None


class CallDesk:
    """Turns requests into events and carries out effects on calls.

    Args:
        reactor: The reactor.
        instance: Name of this process.
        boot_id: Drawn at each start; part of the request ids.
        metrics: Where calls are counted.
        handle: Takes an event to the core.
    """

    def __init__(
        self,
        reactor,
        instance: str,
        boot_id: str,
        metrics: Metrics,
        handle: Callable[[EntryEvent], None],
    ):
        self.calls: dict[int, OpenCall] = {}
        self.pools: dict[ServerKey, ConnectionPool] = {}
        self._by_request: dict[int, int] = {}
        self._reactor = reactor
        self._instance = instance
        self._boot_id = boot_id
        self._metrics = metrics
        self._handle = handle
        self._last_id = 0

    def open(self, request: CallerRequest) -> None:
        """Takes a whole request of a caller."""
        self._last_id += 1
        call_id = self._last_id
        request_id = f"{self._boot_id}-{call_id}"
        refusal = _check(request)
        if refusal is not None:
            request.answer_problem(problem_of(refusal, request_id))
            return
        service, _, rest = request.uri[1:].partition(b"/")
        service_name = service.partition(b"?")[0].decode("latin-1")
        method = request.method.decode("latin-1")
        call = OpenCall(
            call_id=call_id,
            request_id=request_id,
            service=service_name,
            uri=b"/" + rest,
            request=request,
            arrived_ms=monotonic_ms(),
            is_idempotent=method in ("GET", "HEAD"),
            has_key=bool(request.header(b"Idempotency-Key")),
            caller=request.header(b"Gentianwall-Caller"),
        )
        self.calls[call_id] = call
        self._by_request[id(request)] = call_id
        self._handle(
            CallArrived(
                at_ms=call.arrived_ms,
                wall_ms=wall_ms(),
                call_id=call_id,
                request_id=request_id,
                service=service_name,
                method=method,
                caller=call.caller,
                max_wait_ms=_max_wait_ms(request),
                idempotency_key=request.header(b"Idempotency-Key"),
                fingerprint=_fingerprint(request),
                is_nested=bool(request.header(b"Gentianwall-Attempt")),
            )
        )

    def gone(self, request: CallerRequest) -> None:
        """Notes that a caller closed its connection."""
        call_id = self._by_request.pop(id(request), None)
        call = self.calls.pop(call_id, None) if call_id else None
        if call is not None:
            self._handle(CallerDisconnected(monotonic_ms(), call.call_id))

    def dispatch(self, effect: Dispatch) -> None:
        """Sends a call's request to a server."""
        call = self.calls.get(effect.call_id)
        if call is None:
            return
        notice = effect.notice
        pool = self.pool_of(notice)
        self._metrics.service(call.service).attempts += 1
        headers = to_server(
            call.request.requestHeaders,
            f"{notice.host}:{notice.port}".encode(),
            self._instance.encode(),
            call.request_id.encode(),
            effect.attempt,
            effect.deadline_ms - monotonic_ms(),
        )
        request = ServerRequest(
            call.request.method,
            call.uri,
            headers,
            call.request.body,
            call.is_idempotent,
            effect.is_echo_required,
        )

        def on_answer(answer: ServerAnswer) -> None:
            call.answer = answer
            self._handle(_answered_event(call, effect.attempt, answer))

        def on_failure(kind: FailureKind) -> None:
            self._handle(
                AttemptFailed(
                    monotonic_ms(), call.call_id, effect.attempt, kind
                )
            )

        call.attempt = Attempt(
            pool,
            request,
            call.request_id,
            effect.answer_limit_bytes,
            effect.silence_ms,
            on_answer,
            on_failure,
        )
        call.attempt.start()

    def cancel(self, effect: CancelAttempt) -> None:
        """Closes the connection of an attempt."""
        call = self.calls.get(effect.call_id)
        if call is not None and call.attempt is not None:
            call.attempt.cancel()

    def answer(self, effect: AnswerCaller) -> None:
        """Sends a server's whole answer to the caller."""
        call = self._close(effect.call_id)
        if call is None or call.answer is None:
            return
        answer = call.answer
        headers = to_caller(answer.headers, self._instance.encode())
        headers += [
            (b"Gentianwall-Executed", Executed.YES.value.encode()),
            (b"Gentianwall-Price", f"{effect.price:g}".encode()),
            (b"Gentianwall-Request-Id", call.request_id.encode()),
        ]
        call.request.answer(answer.status, headers, answer.body)
        self._metrics.note_answer(
            call.service,
            effect.tier,
            call.caller,
            effect.price,
            (monotonic_ms() - call.arrived_ms) / 1000.0,
        )

    def answer_recorded(self, effect: ReplayAnswer) -> None:
        """Repeats the recorded end of a request that ran before."""
        call = self._close(effect.call_id)
        if call is None:
            return
        outcome = effect.outcome
        headers = [
            (b"Gentianwall-Executed", Executed.YES.value.encode()),
            (b"Gentianwall-Price", b"0"),
            (b"Gentianwall-Request-Id", call.request_id.encode()),
            (b"Gentianwall-Answer-Sha256", outcome.body_sha256.encode()),
        ]
        if not outcome.is_body_kept:
            headers.append((b"Gentianwall-Answer-Omitted", b"true"))
        elif outcome.content_type:
            headers.append((b"Content-Type", outcome.content_type.encode()))
        call.request.answer(outcome.status, headers, outcome.body)

    def refuse(self, effect: RefuseCaller) -> None:
        """Sends a refusal."""
        call = self._close(effect.call_id)
        if call is None:
            return
        problem = problem_of(effect.refusal, call.request_id)
        call.request.answer_problem(problem)
        reason = effect.refusal.reason.name.lower()
        self._metrics.note_refusal(call.service, reason)

    def pool_of(self, notice: ServerNotice) -> ConnectionPool:
        """Returns the connections to a server at its present address."""
        pool = self.pools.get(notice.key)
        if pool is None or (pool.host, pool.port) != (
            notice.host,
            notice.port,
        ):
            if pool is not None:
                pool.close_idle()
            pool = ConnectionPool(self._reactor, notice.host, notice.port)
            self.pools[notice.key] = pool
        return pool

    def forget(self, key: ServerKey) -> None:
        """Closes what is idle towards a server that left."""
        pool = self.pools.pop(key, None)
        if pool is not None:
            pool.close_idle()

    def sweep_silent(self) -> None:
        """Tests the servers whose connections have been silent for long."""
        now_ms = monotonic_ms()
        for call in list(self.calls.values()):
            if call.attempt is not None:
                call.attempt.check_silence(now_ms)

    def _close(self, call_id: int) -> OpenCall | None:
        call = self.calls.pop(call_id, None)
        if call is not None:
            self._by_request.pop(id(call.request), None)
            call.attempt = None  # It refers back to the call.
        return call


def _check(request: CallerRequest) -> Refusal | None:
    if count_hops(request.requestHeaders) >= MAX_HOPS:
        return Refusal(RefusalReason.LOOP, Executed.NO)
    if not request.uri.startswith(b"/"):
        detail = "the target must be a path"
        return Refusal(RefusalReason.BAD_REQUEST, Executed.NO, detail=detail)
    wait = request.header(b"Gentianwall-Max-Wait-Ms")
    if wait and not (wait.isascii() and wait.isdigit() and int(wait) > 0):
        detail = "Gentianwall-Max-Wait-Ms must be a whole number above 0"
        return Refusal(RefusalReason.BAD_REQUEST, Executed.NO, detail=detail)
    return None


def _max_wait_ms(request: CallerRequest) -> float | None:
    wait = request.header(b"Gentianwall-Max-Wait-Ms")
    return float(wait) if wait else None


def _fingerprint(request: CallerRequest) -> str:
    digest = hashlib.blake2b(digest_size=16)
    digest.update(request.method)
    digest.update(b"\0")
    digest.update(request.uri)
    digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def _answered_event(
    call: OpenCall, attempt: int, answer: ServerAnswer
) -> AttemptAnswered:
    headers = answer.headers
    return AttemptAnswered(
        at_ms=monotonic_ms(),
        call_id=call.call_id,
        attempt=attempt,
        status=answer.status,
        retry_after_ms=_retry_after_ms(headers),
        report=report_of(headers),
        outcome=_outcome(answer) if call.has_key else None,
    )


def _retry_after_ms(headers: Headers) -> float | None:
    values = headers.getRawHeaders(b"Retry-After")
    if not values:
        return None
    text = values[0].decode("latin-1").strip()
    return float(text) * 1000.0 if text.isdigit() else 1000.0


def _outcome(answer: ServerAnswer) -> Outcome:
    types = answer.headers.getRawHeaders(b"Content-Type")
    is_kept = len(answer.body) <= MAX_KEPT_BODY_BYTES
    return Outcome(
        status=answer.status,
        content_type=types[0].decode("latin-1") if types else "",
        body=answer.body if is_kept else b"",
        body_sha256=hashlib.sha256(answer.body).hexdigest(),
        is_body_kept=is_kept,
    )
