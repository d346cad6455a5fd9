"""HTTP API of the control instances for servers and operators."""

from __future__ import annotations

import json
from urllib.parse import parse_qs

from gentianwall.claims.commands import (
    ConfigurationHeld,
    Done,
    EvacuationsHeld,
)
from gentianwall.config.schema import ConfigErrors
from gentianwall.control.messages import ConfigurationReply
from gentianwall.http.channel import CallerRequest
from gentianwall.logs import get_logger
from gentianwall.membership.messages import is_name
from gentianwall.platform.announcements import (
    InvalidAnnouncement,
    decode_deregistration,
    decode_heartbeat,
)
from gentianwall.platform.configurations import decode_configuration
from gentianwall.runtime.leader_client import (
    EvacuationUnsupported,
    LeaderClient,
    LeaderResult,
    LeaderTimeout,
    UnknownService,
)

log = get_logger("control-api")

JSON_TYPE = (b"Content-Type", b"application/json")


class ControlApi:
    """Handles `POST /rpc?call=NAME&of=SUBJECT`.

    In the call names, an instance is a server, not a gentianwall process. The
    subject of an evacuation is a failure domain, that of other calls a server.
    """

    def __init__(self, leader_client: LeaderClient):
        self._leader_client = leader_client

    def handle(self, request: CallerRequest) -> None:
        """Handles a complete request."""
        query = parse_qs(request.uri.partition(b"?")[2].decode("latin-1"))
        call_name = query.get("call", [""])[0]
        subject = query.get("of", [""])[0]
        if request.method != b"POST" or request.path != b"/rpc":
            _answer_error(request, 404, "only POST /rpc is supported")
            return
        match call_name:
            case "instances.heartbeat":
                self._handle_heartbeat(request, subject)
            case "instances.deregister":
                self._handle_deregistration(request, subject)
            case "config.replace":
                self._put_configuration(request)
            case "config.get":
                self._read_configuration(request)
            case "evacuations.start":
                self._set_evacuation(request, subject, True)
            case "evacuations.finish":
                self._set_evacuation(request, subject, False)
            case _:
                _answer_error(request, 404, f"unknown call: {call_name!r}")

    def _handle_heartbeat(self, request: CallerRequest, server: str) -> None:
        decoded = decode_heartbeat(server, request.body)
        if isinstance(decoded, InvalidAnnouncement):
            log.warning(
                "Heartbeat of server %s refused: %s.", server, decoded.reason
            )
            _answer_error(request, 400, decoded.reason)
            return
        self._leader_client.announce(
            decoded.notice,
            decoded.sequence,
            decoded.warmup_ms,
            lambda result: _answer_result(request, result),
        )

    def _handle_deregistration(
        self, request: CallerRequest, server: str
    ) -> None:
        decoded = decode_deregistration(server, request.body)
        if isinstance(decoded, InvalidAnnouncement):
            log.warning(
                "Deregistration of server %s refused: %s.",
                server,
                decoded.reason,
            )
            _answer_error(request, 400, decoded.reason)
            return
        self._leader_client.deregister(
            decoded.server,
            decoded.incarnation,
            lambda result: _answer_result(request, result),
        )

    def _set_evacuation(
        self, request: CallerRequest, failure_domain: str, is_evacuated: bool
    ) -> None:
        if not is_name(failure_domain):
            reason = "query parameter `of` must name a failure domain"
            _answer_error(request, 400, reason)
            return
        log.info(
            "%s of the evacuation of failure domain %r received.",
            "Start" if is_evacuated else "Finish",
            failure_domain,
        )
        self._leader_client.set_evacuation(
            failure_domain,
            is_evacuated,
            lambda: request.is_caller_connected,
            lambda result: _answer_result(request, result),
        )

    def _put_configuration(self, request: CallerRequest) -> None:
        configuration = decode_configuration(request.body)
        if isinstance(configuration, ConfigErrors):
            log.warning("Configuration refused: %s.", configuration)
            _answer_error(request, 400, str(configuration))
            return
        log.info(
            "Configuration %d received, sending it to the leader.",
            configuration.number,
        )
        self._leader_client.put_configuration(
            configuration,
            request.body,
            lambda result: _answer_result(request, result),
        )

    def _read_configuration(self, request: CallerRequest) -> None:
        def on_result(result: LeaderResult) -> None:
            if isinstance(result, ConfigurationReply) and result.document:
                request.answer(200, [JSON_TYPE], result.document)
            else:
                _answer_error(
                    request,
                    503,
                    "no leader answered in time, or no configuration exists",
                )

        self._leader_client.read_configuration(on_result)


def _answer_result(request: CallerRequest, result: LeaderResult) -> None:
    """Answers with status 200 if the command was applied or changes nothing."""
    match result:
        case Done() | ConfigurationHeld():
            request.answer(200, [JSON_TYPE], b"{}")
        case EvacuationsHeld(is_full=True):
            reason = "too many failure domains are evacuated, finish others"
            _answer_error(request, 503, reason)
        case EvacuationsHeld():
            request.answer(200, [JSON_TYPE], b"{}")
        case EvacuationUnsupported():
            _answer_error(
                request, 503, "a control instance does not support evacuations"
            )
        case UnknownService():
            _answer_error(request, 400, f"unknown service {result.service!r}")
        case LeaderTimeout():
            _answer_error(
                request,
                503,
                "no majority answered in time, the change may still apply",
            )
        case _:
            log.error(
                "Unexpected result %r, answering with status 500.", result
            )
            _answer_error(request, 500, "unexpected result")


def _answer_error(request: CallerRequest, status: int, reason: str) -> None:
    body = json.dumps({"error": reason}).encode()
    request.answer(status, [JSON_TYPE], body)
