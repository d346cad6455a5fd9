"""Probes: requests for the load of servers that have not answered lately."""

from __future__ import annotations

from collections.abc import Callable

from twisted.web.http_headers import Headers

from gentianwall.core.events import EntryEvent, FailureKind, ProbeEnded
from gentianwall.http.connections import (
    Attempt,
    ServerAnswer,
    ServerRequest,
)
from gentianwall.http.reports import read_load_report
from gentianwall.membership.messages import ServerNotice
from gentianwall.metrics import Metrics
from gentianwall.runtime.calls import CallHandler
from gentianwall.timers import monotonic_ms

PROBE_PATH = b"/healthz"
PROBE_LIMIT_BYTES = 64 * 1024
PROBE_SILENCE_MS = 1000.0


class ProbeSender:
    """Sends probes; the reducer has charged them to the probe budget."""

    def __init__(
        self,
        calls: CallHandler,
        metrics: Metrics,
        handle: Callable[[EntryEvent], None],
    ):
        self._calls = calls
        self._metrics = metrics
        self._handle = handle

    def probe(self, notice: ServerNotice) -> None:
        """Sends a probe to a server."""
        self._metrics.service(notice.key.service).probes += 1
        pool = self._calls.pool_of(notice)
        headers = Headers()
        headers.addRawHeader(b"Host", f"{notice.host}:{notice.port}".encode())
        headers.addRawHeader(b"Gentianwall-Probe", b"1")
        request = ServerRequest(b"GET", PROBE_PATH, headers, b"", True)
        started_ms = monotonic_ms()

        def on_answer(answer: ServerAnswer) -> None:
            report = read_load_report(answer.headers)
            self._on_probe_ended(
                notice, started_ms, answer.status < 500, report
            )

        def on_failure(kind: FailureKind) -> None:
            self._on_probe_ended(notice, started_ms, False, None)

        Attempt(
            pool,
            request,
            "",
            PROBE_LIMIT_BYTES,
            PROBE_SILENCE_MS,
            on_answer,
            on_failure,
        ).start()

    def _on_probe_ended(self, notice, started_ms, is_answered, report) -> None:
        now_ms = monotonic_ms()
        self._handle(
            ProbeEnded(
                now_ms, notice.key, is_answered, now_ms - started_ms, report
            )
        )
