"""Handlers of requests from operators, health checks and monitoring."""

from __future__ import annotations

import json

import attrs
from twisted.web import server

from gentianwall.claims.commands import (
    ApplyDeclaration,
    Command,
    CommandResult,
    DeclarationAccepted,
    DeclarationConflict,
    DeclarationInvalid,
    ReleaseQuarantine,
)
from gentianwall.config.declaration import parse_declaration
from gentianwall.config.schema import ConfigErrors
from gentianwall.config.settings import Settings
from gentianwall.control.messages import StatusReply
from gentianwall.core.events import (
    CommandRequested,
    ServerAnnounced,
    StatusRequested,
)
from gentianwall.http.channel import CallerRequest
from gentianwall.http.operators import (
    MAX_DECLARATION_BYTES,
    OperatorPages,
    OperatorSite,
    Page,
    send_json,
    send_text,
)
from gentianwall.http.tokens import load_token
from gentianwall.membership.messages import ServerKey
from gentianwall.runtime.client_reports import ClientReports
from gentianwall.runtime.process_limits import make_budget
from gentianwall.timers import monotonic_ms, wall_ms

COMMAND_WAIT_MS = 4000.0
STATUS_WAIT_MS = 2000.0


def _is_connected(request: server.Request) -> bool:
    return not request._disconnected  # noqa: SLF001


class EntryOperatorHandler:
    """Answers operators, health checks and monitoring at an entry."""

    def __init__(self, runtime):
        self._runtime = runtime
        self._pending_requests: dict[str, server.Request] = {}
        self._last_number = 0

    def site(self) -> OperatorSite:
        """Returns the site that serves the operators' port."""
        pages = [
            *common_pages(self._runtime, self._runtime.client_reports),
            Page("/v1/status", "GET", self._handle_status),
            Page("/v1/servers", "GET", self._handle_servers),
            Page("/v1/declaration", "POST", self._handle_declaration),
            Page("/v1/quarantine/release", "POST", self._handle_release),
            Page("/v1/drain", "POST", self._handle_drain),
        ]
        token = load_token(self._runtime.settings.operator_token_file)
        return OperatorSite(
            OperatorPages(pages, token),
            self._runtime.budget,
            self._runtime.client_reports.reporter("operators"),
            self._runtime.reactor.callLater,
        )

    def answer_public_page(self, request: CallerRequest) -> None:
        """Answers `/livez`, `/readyz` and `/prices` at the callers' port."""
        state = self._runtime.state
        plain = [(b"Content-Type", b"text/plain")]
        match request.path:
            case b"/livez":
                request.answer(200, plain, b"live\n")
            case b"/readyz" if state.is_ready:
                request.answer(200, plain, b"ready\n")
            case b"/readyz":
                request.answer(503, plain, b"not ready\n")
            case b"/prices":
                tiers = state.declaration.tiers if state.declaration else ()
                content = {
                    "version": state.version,
                    "tiers": [attrs.asdict(tier) for tier in tiers],
                }
                headers = [(b"Content-Type", b"application/json")]
                request.answer(200, headers, json.dumps(content).encode())

    def complete(
        self,
        request_id: str,
        result: CommandResult | StatusReply | None,
    ) -> None:
        """Sends an operator the result of a request.

        Args:
            request_id: Id of the request.
            result: Its result; None if no leader replied in time.
        """
        request = self._pending_requests.pop(request_id, None)
        if request is None or not _is_connected(request):
            return
        match result:
            case None:
                title = "no answer of a quorum; ask again"
                send_json(request, 503, {"title": title, "status": 503})
            case StatusReply():
                send_json(request, 200, self._status_content(result))
            case DeclarationConflict():
                content = {"title": "conflict", "status": 409}
                content |= attrs.asdict(result)
                send_json(request, 409, content)
            case DeclarationInvalid():
                content = {"title": result.reason, "status": 400}
                send_json(request, 400, content)
            case DeclarationAccepted():
                send_json(request, 200, attrs.asdict(result))
            case _:
                send_json(request, 200, {"result": type(result).__name__})

    def _status_content(self, status: StatusReply) -> dict:
        content = attrs.asdict(status)
        state = self._runtime.state
        content["answered_by"] = state.name
        content["servers"] = self._server_list()
        content["instances"] = [
            attrs.asdict(i) for i in self._runtime.settings.instances
        ]
        return content

    def _handle_servers(self, request: server.Request) -> None:
        send_json(request, 200, {"servers": self._server_list()})

    def _server_list(self) -> list[dict]:
        state = self._runtime.state
        now_ms = monotonic_ms()
        return [
            {
                "service": service.name,
                "server": name,
                "state": member.notice.state,
                "failure_domain": member.notice.failure_domain,
                "slots": member.notice.slots,
                "outstanding": member.outstanding,
                "service_ms": round(member.service_ms, 3),
                "is_ejected": member.is_ejected(now_ms),
            }
            for service in state.services.values()
            for name, member in service.pool.servers.items()
        ]

    def _handle_status(self, request: server.Request) -> None:
        request_id = self._register(request, "status")
        now_ms = monotonic_ms()
        self._runtime.handle(
            StatusRequested(now_ms, request_id, now_ms + STATUS_WAIT_MS)
        )

    def _handle_declaration(self, request: server.Request) -> None:
        text = request.content.read(MAX_DECLARATION_BYTES + 1)
        problems = _validate_apply(request, text)
        if problems:
            content = {"title": "bad declaration", "status": 400}
            send_json(request, 400, content | {"problems": problems})
            return
        command = ApplyDeclaration(
            change_id=(request.getHeader("Gentianwall-Change-Id") or ""),
            base_version=int(request.getHeader("Gentianwall-Base-Version")),
            text=text.decode(),
            operator=request.getHeader("Gentianwall-Operator") or "",
            at_ms=wall_ms(),
        )
        self._submit(request, command)

    def _handle_release(self, request: server.Request) -> None:
        fingerprint = request.content.read(200).decode("latin-1").strip()
        self._submit(request, ReleaseQuarantine(fingerprint, wall_ms()))

    def _handle_drain(self, request: server.Request) -> None:
        name = request.content.read(400).decode("latin-1").strip()
        service, _, server_name = name.partition("/")
        directory = self._runtime.state.directory
        record = directory.records.get(ServerKey(service, server_name))
        if record is None:
            content = {"title": f"no server {name}", "status": 404}
            send_json(request, 404, content)
            return
        notice = attrs.evolve(record.notice, state="draining")
        self._runtime.handle(ServerAnnounced(monotonic_ms(), notice))
        send_json(request, 200, {"state": "draining"})

    def _submit(self, request: server.Request, command: Command) -> None:
        request_id = self._register(request, "operator")
        now_ms = monotonic_ms()
        self._runtime.handle(
            CommandRequested(
                now_ms, request_id, command, now_ms + COMMAND_WAIT_MS
            )
        )

    def _register(self, request: server.Request, kind: str) -> str:
        self._last_number += 1
        request_id = f"{kind}-{self._last_number}"
        self._pending_requests[request_id] = request
        return request_id


class ControlOperatorHandler:
    """Answers operators and health checks at a control instance."""

    def __init__(self, runtime, settings: Settings):
        self._runtime = runtime
        self._settings = settings
        self._budget = make_budget(settings.memory_mb, settings.descriptors)
        self._reports = ClientReports(runtime.metrics, self._budget)

    def site(self) -> OperatorSite:
        """Returns the site that serves the operators' port."""
        pages = [
            *common_pages(self._runtime, self._reports),
            Page("/livez", "GET", self._handle_livez, is_public=True),
            Page("/readyz", "GET", self._handle_readyz, is_public=True),
            Page("/v1/replica", "GET", self._handle_replica),
        ]
        token = load_token(self._settings.operator_token_file)
        return OperatorSite(
            OperatorPages(pages, token),
            self._budget,
            self._reports.reporter("operators"),
            self._runtime.reactor.callLater,
        )

    def _handle_livez(self, request: server.Request) -> None:
        send_text(request, 200, b"live\n")

    def _handle_readyz(self, request: server.Request) -> None:
        if self._runtime.is_ready:
            send_text(request, 200, b"ready\n")
        else:
            send_text(request, 503, b"not ready\n")

    def _handle_replica(self, request: server.Request) -> None:
        replica = self._runtime.state.replica
        content = {
            "name": replica.name,
            "disk_id": replica.disk_id,
            "role": replica.role.value,
            "term": replica.term,
            "leader": replica.leader,
            "is_member": replica.is_member,
            "last_index": replica.log.last_index,
            "commit_index": replica.commit_index,
            "version": replica.register.version,
            "members": [m.replica for m in replica.applied_members],
            "journal_bytes": self._runtime.journal.size_bytes,
        }
        send_json(request, 200, content)


def common_pages(runtime, reports: ClientReports) -> list[Page]:
    """Returns the pages that entries and control instances share."""

    def metrics(request: server.Request) -> None:
        reports.update_metrics()
        links = runtime.links
        values = runtime.metrics.process_values
        values["link_sent_bytes_total"] = links.sent_bytes
        values["link_received_bytes_total"] = links.received_bytes
        values["malformed_messages_total"] = links.malformed_count
        send_text(request, 200, runtime.metrics.text())

    def timeline(request: server.Request) -> None:
        events = [attrs.asdict(e) for e in runtime.timeline.events]
        send_json(request, 200, {"events": events})

    return [
        Page("/metrics", "GET", metrics, is_public=True),
        Page("/v1/timeline", "GET", timeline),
    ]


def _validate_apply(request: server.Request, text: bytes) -> list[str]:
    problems = []
    if not request.getHeader("Gentianwall-Change-Id"):
        problems.append("Gentianwall-Change-Id: is missing")
    base = request.getHeader("Gentianwall-Base-Version") or ""
    if not base.isdigit():
        problems.append(
            "Gentianwall-Base-Version: must be an integer, 0 or more"
        )
    if len(text) > MAX_DECLARATION_BYTES:
        problems.append("the declaration is too large")
        return problems
    try:
        declaration = parse_declaration(text.decode())
    except UnicodeDecodeError:
        return [*problems, "the declaration is not UTF-8"]
    if isinstance(declaration, ConfigErrors):
        problems += [str(problem) for problem in declaration.problems]
    return problems
