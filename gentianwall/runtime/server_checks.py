"""Load queries to servers, and checks whether servers are reached."""

from __future__ import annotations

from collections.abc import Callable

from twisted.web.http_headers import Headers

from gentianwall.core.events import FailureKind
from gentianwall.gateway.effects import CheckReach
from gentianwall.gateway.events import (
    GatewayEvent,
    LoadQueryEnded,
    ReachChecked,
)
from gentianwall.http.connections import (
    Attempt,
    ServerAnswer,
    ServerRequest,
)
from gentianwall.http.dialect import Dialect
from gentianwall.membership.messages import ServerNotice
from gentianwall.metrics import Metrics
from gentianwall.runtime.answers import AnswerReader
from gentianwall.runtime.server_pools import ServerPools
from gentianwall.timers import TimerService, monotonic_ms

# A server whose health check is unanswered for this long gets no requests.
HEALTH_CHECK_TIMEOUT_MS = 300.0
HEALTH_CHECK_LIMIT_BYTES = 64 * 1024


class ServerChecks:
    """Sends health checks to servers and passes their ends to the reducer.

    Args:
        pools: Connection pools of the servers.
        timers: The timer service.
        dialect: Header names and formats that servers use.
        metrics: Counters of health checks.
        handle: Handles an event in the reducer and performs its effects.
    """

    def __init__(
        self,
        pools: ServerPools,
        timers: TimerService,
        dialect: Dialect,
        metrics: Metrics,
        handle: Callable[[GatewayEvent], None],
    ):
        self._pools = pools
        self._timers = timers
        self._dialect = dialect
        self._reader = AnswerReader(dialect)
        self._metrics = metrics
        self._handle = handle
        self._load_queries: dict[str, Attempt] = {}
        self._last_check_id = 0

    def query_server(self, notice: ServerNotice, health_path: str) -> None:
        """Queries a server for its load unless a query is outstanding."""
        if notice.key.server not in self._load_queries:
            self._start_query(notice, health_path)

    def _start_query(self, notice: ServerNotice, health_path: str) -> None:
        name = notice.key.server
        self._metrics.service(notice.key.service).probes += 1
        request = self._health_check(notice, health_path)

        def on_query_ended(answer: ServerAnswer | None) -> None:
            self._timers.cancel(f"load-query.{name}")
            self._load_queries.pop(name, None)
            self._handle(self._load_query_ended(notice, answer))

        pool = self._pools.pool_of(notice)

        def on_failure(kind: FailureKind) -> None:
            may_be_older = kind in (FailureKind.LOST, FailureKind.MALFORMED)
            if may_be_older and attempt.is_reused:
                # The server had closed an idle connection, or the bytes belong
                # to an earlier answer, which says nothing about its health; the
                # query is retried on a new one.
                pool.close_idle()
                self._timers.cancel(f"load-query.{name}")
                self._load_queries.pop(name, None)
                self._start_query(notice, health_path)
            else:
                on_query_ended(None)

        attempt = Attempt(
            pool,
            request,
            "",
            HEALTH_CHECK_LIMIT_BYTES,
            float("inf"),
            on_query_ended,
            on_failure,
        )
        self._load_queries[name] = attempt
        self._timers.start(
            f"load-query.{name}",
            monotonic_ms() + HEALTH_CHECK_TIMEOUT_MS,
            lambda: attempt.fail(FailureKind.SILENT),
        )
        attempt.start()

    def _load_query_ended(
        self, notice: ServerNotice, answer: ServerAnswer | None
    ) -> LoadQueryEnded:
        name = notice.key.server
        is_mismatched = False
        report = rate_limit_per_s = warmup_ms = None
        rest_ms = 0.0
        is_leaving = False
        if answer is not None:
            is_mismatched = self._reader.server_name(answer) not in ("", name)
            if not is_mismatched:
                report = self._reader.report(answer)
                rate_limit_per_s = self._reader.rate_limit_per_s(answer)
                rest_ms = self._reader.rest_ms(answer)
                warmup_ms = self._reader.warmup_ms(answer)
                is_leaving = self._reader.is_leaving(answer)
        return LoadQueryEnded(
            at_ms=monotonic_ms(),
            server=name,
            is_answered=answer is not None,
            is_healthy=answer is not None and answer.status < 400,
            is_mismatched=is_mismatched,
            report=report,
            rate_limit_per_s=rate_limit_per_s,
            rest_ms=rest_ms,
            is_leaving=is_leaving,
            warmup_ms=warmup_ms,
        )

    def check_reach(self, effect: CheckReach) -> None:
        """Checks on a new connection whether a server is reached.

        It is reached if it answers its health check, with any status; without
        a health check, if it accepts the connection.
        """
        notice = effect.notice
        pool = self._pools.pool_of(notice)

        def end(is_reached: bool) -> None:
            server = notice.key.server
            self._handle(ReachChecked(monotonic_ms(), server, is_reached))

        if not effect.health_path:

            def on_connected(connection) -> None:
                pool.release_connection(connection)
                end(True)

            pool.connect(on_connected, lambda: end(False))
            return
        self._metrics.service(notice.key.service).probes += 1
        self._last_check_id += 1
        timer = f"reach.{self._last_check_id}"

        def on_answer(answer: ServerAnswer) -> None:
            self._timers.cancel(timer)
            end(True)
            self._handle(self._load_query_ended(notice, answer))

        def on_failure(kind: FailureKind) -> None:
            self._timers.cancel(timer)
            end(False)

        attempt = Attempt(
            pool,
            self._health_check(notice, effect.health_path),
            "",
            HEALTH_CHECK_LIMIT_BYTES,
            float("inf"),
            on_answer,
            on_failure,
        )
        self._timers.start(
            timer,
            monotonic_ms() + HEALTH_CHECK_TIMEOUT_MS,
            lambda: attempt.fail(FailureKind.SILENT),
        )
        attempt.start(is_new_connection=True)

    def _health_check(
        self, notice: ServerNotice, health_path: str
    ) -> ServerRequest:
        headers = Headers()
        headers.addRawHeader(b"Host", f"{notice.host}:{notice.port}".encode())
        return ServerRequest(
            b"GET",
            health_path.encode(),
            headers,
            b"",
            True,
            echo_header=self._dialect.request_id,
        )
