"""Driver of requests: connects callers, the gateway's reducer and servers."""

from __future__ import annotations

import hashlib
import json
import math
from collections.abc import Callable

import attrs

from gentianwall.claims.quarantines import quarantine_key
from gentianwall.core.events import CallerDisconnected, FailureKind
from gentianwall.core.refusals import Executed, Refusal, RefusalReason
from gentianwall.gateway.effects import (
    CancelRequest,
    CheckServer,
    ForwardAnswer,
    QueryLoad,
    RefuseRequest,
    RelayRequest,
    SendRequest,
)
from gentianwall.gateway.events import (
    GatewayEvent,
    PeerAnswered,
    PeerFailed,
    RecheckDue,
    Relay,
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
from gentianwall.http.headers import end_to_end_headers
from gentianwall.logs import get_logger
from gentianwall.runtime.answers import AnswerReader
from gentianwall.runtime.relay_authentication import RelayAuthenticator
from gentianwall.runtime.relay_headers import (
    RELAY_HEADER,
    RelayOutcome,
    decode_outcome,
    decode_relay,
    encode,
    split_signature,
)
from gentianwall.runtime.server_checks import ServerChecks
from gentianwall.runtime.server_pools import CONNECT_TIMEOUT_S, ServerPools
from gentianwall.timers import TimerService, monotonic_ms

log = get_logger("requests")

ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
# Time that a request waits for load reports: one round trip within a region
# and the time that a busy process needs to answer.
LOAD_QUERY_WAIT_MS = 12.0
MISDIRECTED_STATUS = 421
UNAUTHORIZED_STATUS = 401
AUTHORIZATION = b"Authorization"


@attrs.define
class OpenRequest:
    """A request whose caller waits for an answer or a refusal.

    Attributes:
        call_id: Identifies the request in this process.
        request_id: Identifies it to callers and servers.
        request: The request as received.
        arrived_ms: When it arrived.
        is_relayed: Whether a peer sent it for its caller.
        attempts: Attempts that were started, by their numbers.
        server: Name of the server that sent it.
        answer: Last answer that may be forwarded; None for none.
        fingerprint: Digest of the request; empty if it was not needed so far.
    """

    call_id: int
    request_id: str
    request: CallerRequest
    arrived_ms: float
    is_relayed: bool = False
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    server: str = ""
    answer: ServerAnswer | None = None
    fingerprint: str = ""

    def compute_fingerprint(self) -> str:
        """Returns the digest of the request."""
        if not self.fingerprint:
            self.fingerprint = _fingerprint(self.request)
        return self.fingerprint


class GatewayRequestHandler:
    """Turns callers' requests into events and performs effects on requests.

    Args:
        reactor: The reactor.
        timers: The timer service.
        authenticator: Signs and checks relayed requests; it also holds the
            header names and formats that servers and callers use.
        pools: Connection pools of the servers.
        checks: Sends load queries to servers.
        handle: Handles an event in the reducer and performs its effects.
        is_fingerprint_needed: Returns whether any request is quarantined or
            suspected of a crash, so that fingerprints have to be computed.
        peer_port: Port on which peers accept relayed requests.
    """

    def __init__(
        self,
        reactor,
        timers: TimerService,
        authenticator: RelayAuthenticator,
        pools: ServerPools,
        checks: ServerChecks,
        handle: Callable[[GatewayEvent], None],
        is_fingerprint_needed: Callable[[], bool],
        peer_port: int,
    ):
        self.open_requests: dict[int, OpenRequest] = {}
        self.is_closing = False
        self._peer_pools: dict[str, ConnectionPool] = {}
        self._peer_port = peer_port
        self._authenticator = authenticator
        self._call_id_by_request: dict[int, int] = {}
        self._reactor = reactor
        self._timers = timers
        self._dialect = authenticator.dialect
        self._reader = AnswerReader(authenticator.dialect)
        self._pools = pools
        self._checks = checks
        self._handle = handle
        self._is_fingerprint_needed = is_fingerprint_needed
        self._last_id = 0

    def on_request_arrived(self, request: CallerRequest) -> None:
        """Passes a complete request of a caller to the reducer."""
        self._open_request(request, None)

    def on_relayed_request_arrived(self, request: CallerRequest) -> None:
        """Passes a complete request that a peer relays to the reducer."""
        text, _ = split_signature(request.header(RELAY_HEADER))
        relay = decode_relay(text)
        if relay is None:
            log.warning("Refused a relayed request without a valid header.")
            request.answer(400, [], b"")
            return
        if not self._authenticator.is_from_entry(request):
            log.warning("Refused a relayed request without a valid signature.")
            # Another peer may hold the key of the sender already.
            refusal = Refusal(RefusalReason.NO_SERVER, Executed.NO)
            outcome = RelayOutcome("", refusal)
            headers = [(RELAY_HEADER, encode(outcome))]
            request.answer(self._status(refusal), headers, b"")
            return
        self._open_request(request, relay)

    def refuse_arriving(
        self, request: CallerRequest, reason: RefusalReason
    ) -> None:
        """Refuses a request that is not routed; its body may be unread."""
        self._open_request(request, None, reason)

    def refuse_arriving_relayed(
        self, request: CallerRequest, reason: RefusalReason
    ) -> None:
        """Refuses a request of a peer, which tells its caller."""
        relay = decode_relay(request.header(RELAY_HEADER))
        self._open_request(request, relay, reason)

    def _open_request(
        self,
        request: CallerRequest,
        relay: Relay | None,
        refusal: RefusalReason | None = None,
    ) -> None:
        self._last_id += 1
        call_id = self._last_id
        request_id = request.header(self._dialect.request_id)
        now_ms = monotonic_ms()
        call = OpenRequest(
            call_id,
            request_id or f"own-{call_id}",
            request,
            now_ms,
            relay is not None,
        )
        self.open_requests[call_id] = call
        self._call_id_by_request[id(request)] = call_id
        is_needed = refusal is None and self._is_fingerprint_needed()
        self._handle(
            RequestArrived(
                at_ms=now_ms,
                call_id=call_id,
                request_id=call.request_id,
                host=request.header(b"Host"),
                path=request.path.decode("latin-1"),
                wait_ms=self._wait_ms(request, now_ms),
                fingerprint=call.compute_fingerprint() if is_needed else "",
                relay=relay,
                authorization=tuple(
                    request.requestHeaders.getRawHeaders(AUTHORIZATION) or ()
                ),
                refusal=refusal,
            )
        )

    def _wait_ms(self, request: CallerRequest, now_ms: float) -> float | None:
        """Returns how much longer the caller waits; None if not stated.

        A request may have been held behind others of its connection.
        """
        text = request.header(self._dialect.deadline_ms)
        try:
            wait_ms = float(text) if text else None
        except ValueError:
            return None
        if wait_ms is None or math.isnan(wait_ms):
            return None
        return max(0.0, wait_ms - (now_ms - request.received_ms))

    def on_caller_disconnected(self, request: CallerRequest) -> None:
        """Closes the request of a caller that closed its connection."""
        call_id = self._call_id_by_request.pop(id(request), None)
        call = self.open_requests.get(call_id) if call_id else None
        if call is not None:
            self._handle(CallerDisconnected(monotonic_ms(), call.call_id))
            self.open_requests.pop(call.call_id, None)

    def send(self, effect: SendRequest) -> None:
        """Starts an attempt: sends a request to a server."""
        call = self.open_requests.get(effect.call_id)
        if call is None:
            return
        server = effect.notice.key.server
        request = self._server_request(
            call,
            effect.left_ms,
            effect.is_idempotent,
            effect.organisation,
            effect.is_key_hidden,
        )
        request.service = effect.notice.key.service
        request.is_close_delimited = True
        request.is_echo_required = True
        request.headers.setRawHeaders(
            self._dialect.expected_server, [server.encode()]
        )

        def on_answer(answer: ServerAnswer) -> None:
            event = self._answered_event(call, effect.attempt, answer)
            if event.is_authentic and not event.is_refusal:
                call.answer, call.server = answer, server
            self._handle(event)

        def on_failure(kind: FailureKind) -> None:
            now_ms = monotonic_ms()
            self._handle(
                ServerFailed(now_ms, call.call_id, effect.attempt, kind)
            )

        pool = self._pools.pool_of(effect.notice)
        self._start_attempt(
            call, effect.attempt, pool, request, on_answer, on_failure
        )

    def relay(self, effect: RelayRequest) -> None:
        """Starts an attempt: sends a request to a peer."""
        call = self.open_requests.get(effect.call_id)
        if call is None:
            return
        # A peer of a build that does not know organisations forwards the
        # header as it is; others set it from the header about the relay.
        request = self._server_request(
            call,
            effect.left_ms,
            effect.relay.kind.is_idempotent,
            effect.relay.organisation,
            effect.is_key_hidden,
        )
        request.service = effect.relay.service
        self._authenticator.sign(request, effect.peer, encode(effect.relay))
        attempt = effect.attempt

        def on_answer(answer: ServerAnswer) -> None:
            values = answer.headers.getRawHeaders(RELAY_HEADER) or [b""]
            outcome = decode_outcome(values[0].decode("latin-1"))
            if outcome is None:
                on_failure(FailureKind.MISMATCHED)
                return
            if outcome.refusal is None:
                call.answer = answer
            self._handle(
                PeerAnswered(
                    at_ms=monotonic_ms(),
                    call_id=call.call_id,
                    attempt=attempt,
                    status=answer.status,
                    server=outcome.server,
                    refusal=outcome.refusal,
                    rate_limit_per_s=self._reader.rate_limit_per_s(answer),
                    is_leaving=self._reader.is_leaving(answer),
                )
            )

        def on_failure(kind: FailureKind) -> None:
            now_ms = monotonic_ms()
            self._handle(PeerFailed(now_ms, call.call_id, attempt, kind))

        pool = self._peer_pools.get(effect.peer)
        if pool is None:
            pool = self._peer_pools[effect.peer] = ConnectionPool(
                self._reactor, effect.peer, self._peer_port, CONNECT_TIMEOUT_S
            )
        self._start_attempt(call, attempt, pool, request, on_answer, on_failure)

    def _server_request(
        self,
        call: OpenRequest,
        left_ms: float,
        is_idempotent: bool,
        organisation: str,
        is_key_hidden: bool,
    ) -> ServerRequest:
        names = self._dialect
        received = call.request
        excluded = (names.deadline_ms, names.expected_server, RELAY_HEADER)
        if is_key_hidden:
            excluded += (AUTHORIZATION, names.organisation)
        headers = end_to_end_headers(received.requestHeaders, excluded)
        if organisation:
            headers.setRawHeaders(names.organisation, [organisation.encode()])
        headers.setRawHeaders(b"Host", [received.header(b"Host").encode()])
        left = b"%d" % max(1, left_ms)
        headers.setRawHeaders(names.deadline_ms, [left])
        headers.setRawHeaders(names.request_id, [call.request_id.encode()])
        return ServerRequest(
            received.method,
            received.uri,
            headers,
            received.body,
            is_idempotent,
            echo_header=names.request_id,
        )

    def _start_attempt(
        self,
        call: OpenRequest,
        number: int,
        pool: ConnectionPool,
        request: ServerRequest,
        on_answer: Callable[[ServerAnswer], None],
        on_failure: Callable[[FailureKind], None],
    ) -> None:
        attempt = call.attempts[number] = Attempt(
            pool,
            request,
            call.request_id,
            ANSWER_LIMIT_BYTES,
            float("inf"),
            on_answer,
            on_failure,
        )
        attempt.start()

    def _answered_event(
        self, call: OpenRequest, attempt: int, answer: ServerAnswer
    ) -> ServerAnswered:
        reader = self._reader
        is_misdirected = answer.status == MISDIRECTED_STATUS
        is_refusal = is_misdirected or reader.is_not_executed(answer)
        is_needed = not answer.is_body_until_close and (
            self._is_fingerprint_needed()
        )
        return ServerAnswered(
            at_ms=monotonic_ms(),
            call_id=call.call_id,
            attempt=attempt,
            status=answer.status,
            is_refusal=is_refusal,
            is_authentic=reader.is_authentic(answer),
            report=reader.report(answer),
            # A misdirected request was answered by another server.
            rate_limit_per_s=(
                None if is_misdirected else reader.rate_limit_per_s(answer)
            ),
            rest_ms=reader.rest_ms(answer),
            is_leaving=not is_misdirected and reader.is_leaving(answer),
            fingerprint=call.compute_fingerprint() if is_needed else "",
        )

    def query_load(self, effect: QueryLoad) -> None:
        """Queries servers for their load and schedules the request's recheck.

        A server with an outstanding load query is not queried again.
        """
        self.schedule_recheck(
            effect.call_id, monotonic_ms() + LOAD_QUERY_WAIT_MS
        )
        for notice in effect.notices:
            self._checks.query_server(notice, effect.health_path)

    def schedule_recheck(self, call_id: int, at_ms: float) -> None:
        """Schedules the recheck of a waiting request."""
        self._timers.start(
            f"recheck.{call_id}",
            at_ms,
            lambda: self._handle(RecheckDue(monotonic_ms(), call_id)),
        )

    def check_server(self, effect: CheckServer) -> None:
        """Checks whether a server that lost a request accepts connections.

        If it does not, it is reported as crashed with the name under which the
        request is quarantined.
        """
        call = self.open_requests.get(effect.call_id)
        if call is None:
            return
        key = quarantine_key(call.compute_fingerprint(), effect.organisation)
        pool = self._pools.pool_of(effect.notice)
        notice = effect.notice
        service, server = notice.key.service, notice.key.server
        pool.check_accepting(
            lambda: None,
            lambda: self._handle(
                ServerCrashed(
                    monotonic_ms(), server, service, key, notice.incarnation
                )
            ),
        )

    def cancel(self, effect: CancelRequest) -> None:
        """Closes the connection of an attempt."""
        call = self.open_requests.get(effect.call_id)
        attempt = call and call.attempts.pop(effect.attempt, None)
        if attempt is not None:
            attempt.cancel()

    def forward_answer(self, effect: ForwardAnswer) -> None:
        """Sends the server's complete answer to the caller."""
        call = self._remove_call(effect.call_id)
        if call is None or call.answer is None:
            return
        answer = call.answer
        headers = [
            (name, value)
            for name, values in end_to_end_headers(
                answer.headers, (RELAY_HEADER,)
            ).getAllRawHeaders()
            for value in values
            if name.lower() != b"content-length"
        ]
        if call.is_relayed:
            headers.append((RELAY_HEADER, encode(RelayOutcome(call.server))))
        self._answer(call, answer.status, headers, answer.body)

    def refuse(self, effect: RefuseRequest) -> None:
        """Sends a refusal to the caller."""
        call = self._remove_call(effect.call_id)
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
        if status == UNAUTHORIZED_STATUS:
            headers.append((b"WWW-Authenticate", b"Bearer"))
        if call.is_relayed:
            outcome = RelayOutcome("", refusal)
            headers.append((RELAY_HEADER, encode(outcome)))
        self._answer(call, status, headers, json.dumps(content).encode())

    def _status(self, refusal: Refusal) -> int:
        return self._dialect.statuses.get(refusal.reason, refusal.status)

    def _answer(self, call, status, headers, body) -> None:
        call.request.answer(status, headers, body, self.is_closing)

    def _remove_call(self, call_id: int) -> OpenRequest | None:
        self._timers.cancel(f"recheck.{call_id}")
        self._timers.cancel(f"call.{call_id}")
        call = self.open_requests.pop(call_id, None)
        if call is not None:
            self._call_id_by_request.pop(id(call.request), None)
            call.attempts.clear()  # Breaks reference cycles with the request.
        return call


def _fingerprint(request: CallerRequest) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method, request.header(b"Host").encode(), request.uri):
        digest.update(part)
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
