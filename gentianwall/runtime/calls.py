"""Driver of calls: connects callers, the entry's reducer and servers."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

import attrs

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
from gentianwall.http.channel import CallerRequest, has_repeatable_method
from gentianwall.http.connections import (
    Attempt,
    ConnectionPool,
    ServerAnswer,
    ServerRequest,
)
from gentianwall.http.headers import (
    MAX_HOPS,
    count_hops,
    make_caller_headers,
    make_server_headers,
)
from gentianwall.http.problems import render_refusal
from gentianwall.http.reports import read_load_report, read_retry_after_ms
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.metrics import Metrics
from gentianwall.timers import monotonic_ms, wall_ms

MAX_RECORDED_BODY_BYTES = 2048


@attrs.define
class OpenCall:
    """A call whose caller waits for an answer or a refusal."""

    call_id: int
    request_id: str
    service: str
    uri: bytes
    request: CallerRequest
    arrived_ms: float
    is_idempotent: bool
    has_idempotency_key: bool
    caller: str
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    answers: dict[int, ServerAnswer] = attrs.field(factory=dict)


class CallHandler:
    """Turns callers' requests into events and performs effects on calls.

    Args:
        reactor: The reactor.
        instance: Name of this process.
        boot_id: Random id of this process, new at each start; prefix of request
            ids.
        metrics: Counters of calls, attempts and refusals.
        handle: Handles an event in the reducer and performs its effects.
    """

    def __init__(
        self,
        reactor,
        instance: str,
        boot_id: str,
        metrics: Metrics,
        handle: Callable[[EntryEvent], None],
    ):
        self.open_calls: dict[int, OpenCall] = {}
        self.pools: dict[ServerKey, ConnectionPool] = {}
        self._call_id_by_request: dict[int, int] = {}
        self._reactor = reactor
        self._instance = instance
        self._boot_id = boot_id
        self._metrics = metrics
        self._handle = handle
        self._last_id = 0

    def on_request_arrived(self, request: CallerRequest) -> None:
        """Opens a call for a complete request, or refuses an invalid one."""
        self._last_id += 1
        call_id = self._last_id
        request_id = f"{self._boot_id}-{call_id}"
        refusal = _validate(request)
        if refusal is not None:
            request.answer_problem(render_refusal(refusal, request_id))
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
            is_idempotent=has_repeatable_method(request),
            has_idempotency_key=bool(request.header(b"Idempotency-Key")),
            caller=request.header(b"Gentianwall-Caller"),
        )
        self.open_calls[call_id] = call
        self._call_id_by_request[id(request)] = call_id
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

    def on_caller_disconnected(self, request: CallerRequest) -> None:
        """Closes the call of a caller that closed its connection."""
        call_id = self._call_id_by_request.pop(id(request), None)
        call = self.open_calls.get(call_id) if call_id else None
        if call is not None:
            self._handle(CallerDisconnected(monotonic_ms(), call.call_id))
            self.open_calls.pop(call.call_id, None)

    def dispatch(self, effect: Dispatch) -> None:
        """Starts an attempt: sends the request of a call to a server."""
        call = self.open_calls.get(effect.call_id)
        if call is None:
            return
        notice = effect.notice
        pool = self.pool_of(notice)
        self._metrics.service(call.service).attempts += 1
        headers = make_server_headers(
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
            service=call.service,
        )

        def on_answer(answer: ServerAnswer) -> None:
            call.answers[effect.attempt] = answer
            self._handle(_answered_event(call, effect.attempt, answer))

        def report(kind: FailureKind) -> None:
            self._handle(
                AttemptFailed(
                    monotonic_ms(), call.call_id, effect.attempt, kind
                )
            )

        def on_failure(kind: FailureKind) -> None:
            if kind is FailureKind.TRUNCATED:
                # A server that has crashed in its answer refuses connections.
                pool.check_accepting(
                    lambda: report(FailureKind.TRUNCATED),
                    lambda: report(FailureKind.LOST),
                )
            else:
                report(kind)

        attempt = call.attempts[effect.attempt] = Attempt(
            pool,
            request,
            call.request_id,
            effect.answer_limit_bytes,
            effect.silence_ms,
            on_answer,
            on_failure,
        )
        attempt.start()

    def cancel(self, effect: CancelAttempt) -> None:
        """Closes the connection of an attempt."""
        call = self.open_calls.get(effect.call_id)
        attempt = call and call.attempts.pop(effect.attempt, None)
        if attempt is not None:
            attempt.cancel()

    def answer(self, effect: AnswerCaller) -> None:
        """Sends the server's complete answer to the caller."""
        call = self._remove_call(effect.call_id)
        if call is None:
            return
        answer = call.answers[effect.attempt]
        headers = make_caller_headers(answer.headers, self._instance.encode())
        headers += [
            (b"Gentianwall-Executed", Executed.YES.value.encode()),
            (b"Gentianwall-Price", f"{effect.price:g}".encode()),
            (b"Gentianwall-Request-Id", call.request_id.encode()),
        ]
        call.request.answer(answer.status, headers, answer.body)
        self._metrics.record_answer(
            call.service,
            effect.tier,
            call.caller,
            effect.price,
            (monotonic_ms() - call.arrived_ms) / 1000.0,
        )

    def replay_answer(self, effect: ReplayAnswer) -> None:
        """Replays the recorded outcome of an earlier request to the caller."""
        call = self._remove_call(effect.call_id)
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
        """Sends a refusal to the caller."""
        call = self._remove_call(effect.call_id)
        if call is None:
            return
        problem = render_refusal(effect.refusal, call.request_id)
        call.request.answer_problem(problem)
        reason = effect.refusal.reason.name.lower()
        self._metrics.record_refusal(call.service, reason)

    def pool_of(self, notice: ServerNotice) -> ConnectionPool:
        """Returns the connection pool for a server's current address."""
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

    def close_idle_connections(self, key: ServerKey) -> None:
        """Removes a server's pool and closes its idle connections."""
        pool = self.pools.pop(key, None)
        if pool is not None:
            pool.close_idle()

    def check_silent_attempts(self) -> None:
        """Checks the servers of attempts whose connections are silent."""
        now_ms = monotonic_ms()
        for call in list(self.open_calls.values()):
            for attempt in list(call.attempts.values()):
                attempt.check_silence(now_ms)

    def _remove_call(self, call_id: int) -> OpenCall | None:
        call = self.open_calls.pop(call_id, None)
        if call is not None:
            self._call_id_by_request.pop(id(call.request), None)
            call.attempts.clear()  # Breaks reference cycles with the call.
        return call


def _validate(request: CallerRequest) -> Refusal | None:
    if count_hops(request.requestHeaders) >= MAX_HOPS:
        return Refusal(RefusalReason.LOOP, Executed.NO)
    if not request.uri.startswith(b"/"):
        detail = "the request target must be a path that starts with /"
        return Refusal(RefusalReason.BAD_REQUEST, Executed.NO, detail=detail)
    wait = request.header(b"Gentianwall-Max-Wait-Ms")
    if wait and not (wait.isascii() and wait.isdigit() and int(wait) > 0):
        detail = "Gentianwall-Max-Wait-Ms must be an integer above 0"
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
        retry_after_ms=read_retry_after_ms(headers),
        report=read_load_report(headers),
        outcome=_outcome(answer) if call.has_idempotency_key else None,
    )


def _outcome(answer: ServerAnswer) -> Outcome:
    types = answer.headers.getRawHeaders(b"Content-Type")
    is_kept = len(answer.body) <= MAX_RECORDED_BODY_BYTES
    return Outcome(
        status=answer.status,
        content_type=types[0].decode("latin-1") if types else "",
        body=answer.body if is_kept else b"",
        body_sha256=hashlib.sha256(answer.body).hexdigest(),
        is_body_kept=is_kept,
    )
