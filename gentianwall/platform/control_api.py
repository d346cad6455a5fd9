"""The calls that servers and operators make to control instances."""

from __future__ import annotations

import json
from urllib.parse import parse_qs

from gentianwall.claims.commands import ConfigurationHeld, Done
from gentianwall.config.schema import ConfigErrors
from gentianwall.control.messages import ConfigurationReply
from gentianwall.http.channel import CallerRequest
from gentianwall.logs import get_logger
from gentianwall.platform.announcements import (
    BadAnnouncement,
    decode_departure,
    decode_heartbeat,
)
from gentianwall.platform.operators import decode_configuration
from gentianwall.runtime.gate import Gate, GateResult, NoAnswer

log = get_logger("control-api")

JSON_TYPE = (b"Content-Type", b"application/json")


class ControlApi:
    """Answers `POST /rpc?call=...`."""

    def __init__(self, gate: Gate):
        self._gate = gate

    def handle(self, request: CallerRequest) -> None:
        """Takes a whole request."""
        query = parse_qs(request.uri.partition(b"?")[2].decode("latin-1"))
        call = query.get("call", [""])[0]
        server = query.get("of", [""])[0]
        if request.method != b"POST" or request.path != b"/rpc":
            _answer(request, 404, "no such call")
            return
        match call:
            case "instances.heartbeat":
                self._heartbeat(request, server)
            case "instances.deregister":
                self._departure(request, server)
            case "config.replace":
                self._put(request)
            case "config.get":
                self._get(request)
            case _:
                _answer(request, 404, f"no such call: {call!r}")

    def _heartbeat(self, request: CallerRequest, server: str) -> None:
        decoded = decode_heartbeat(server, request.body)
        if isinstance(decoded, BadAnnouncement):
            log.warning("Heartbeat of %s refused: %s.", server, decoded.reason)
            _answer(request, 400, decoded.reason)
            return
        self._gate.announce(
            decoded.notice,
            decoded.sequence,
            decoded.warmup_ms,
            lambda result: _acknowledge(request, result),
        )

    def _departure(self, request: CallerRequest, server: str) -> None:
        decoded = decode_departure(server, request.body)
        if isinstance(decoded, BadAnnouncement):
            log.warning("Farewell of %s refused: %s.", server, decoded.reason)
            _answer(request, 400, decoded.reason)
            return
        self._gate.remove(
            decoded.server,
            decoded.incarnation,
            lambda result: _acknowledge(request, result),
        )

    def _put(self, request: CallerRequest) -> None:
        configuration = decode_configuration(request.body)
        if isinstance(configuration, ConfigErrors):
            log.warning("Configuration refused: %s.", configuration)
            _answer(request, 400, str(configuration))
            return
        log.info("Configuration %d offered.", configuration.number)
        self._gate.put_configuration(
            configuration,
            request.body,
            lambda result: _acknowledge(request, result),
        )

    def _get(self, request: CallerRequest) -> None:
        def done(result: GateResult) -> None:
            if isinstance(result, ConfigurationReply) and result.document:
                request.answer(200, [JSON_TYPE], result.document)
            else:
                _answer(request, 503, "the newest one is not known")

        self._gate.read_configuration(done)


def _acknowledge(request: CallerRequest, result: GateResult) -> None:
    match result:
        case Done() | ConfigurationHeld():
            request.answer(200, [JSON_TYPE], b"{}")
        case NoAnswer():
            _answer(request, 503, "no majority answered in time")
        case _:
            log.error("Unexpected result %r.", result)
            _answer(request, 500, "unexpected result")


def _answer(request: CallerRequest, status: int, reason: str) -> None:
    body = json.dumps({"error": reason}).encode()
    request.answer(status, [JSON_TYPE], body)
