"""What servers and operators ask of a fleet's control instances.

`PUT` and `GET` of `/gentianwall/v1/routes` for operators; for servers `PUT`
and `DELETE` of `/gentianwall/v1/services/SERVICE/servers/ID`, as at an entry.
"""

from __future__ import annotations

import json
from collections.abc import Callable

from gentianwall.claims.commands import ConfigurationHeld, Done
from gentianwall.config.fleet import FleetSettings
from gentianwall.config.route_file import parse_route_file
from gentianwall.config.schema import ConfigErrors
from gentianwall.control.messages import ConfigurationReply
from gentianwall.http.announcements import (
    BadAnnouncement,
    key_of,
    parse_announcement,
    read_sequence,
)
from gentianwall.http.channel import CallerRequest
from gentianwall.http.problems import plain_problem
from gentianwall.http.tokens import is_bearer, is_server_allowed, load_token
from gentianwall.logs import get_logger
from gentianwall.membership.messages import ServerKey
from gentianwall.runtime.gate import Gate, GateResult, NoAnswer

log = get_logger("control-pages")

ROUTES_PATH = b"/gentianwall/v1/routes"
JSON_TYPE = (b"Content-Type", b"application/json")


class ControlPages:
    """Answers servers and operators.

    Args:
        gate: Passes requests to the leader.
        operator_token: Bearer token of operators; empty allows anyone.
        token_folder: Folder with a token file per service, or empty.
        heartbeat_ms: Time between announcements of a server.
    """

    def __init__(
        self,
        gate: Gate,
        operator_token: bytes,
        token_folder: str,
        heartbeat_ms: float,
    ):
        self._gate = gate
        self._operator_token = operator_token
        self._token_folder = token_folder
        self._heartbeat_ms = heartbeat_ms

    def handle(self, request: CallerRequest) -> None:
        """Takes a whole request."""
        key = key_of(request.path)
        if key is not None:
            self._server(request, key)
        elif request.path == ROUTES_PATH:
            self._operator(request)
        else:
            _refuse(request, 404, "no such page")

    def _server(self, request: CallerRequest, key: ServerKey) -> None:
        if request.method not in (b"PUT", b"DELETE"):
            _refuse(request, 405, "use PUT or DELETE")
            return
        given = request.header(b"Authorization")
        if not is_server_allowed(self._token_folder, key.service, given):
            _refuse(request, 401, "wrong token")
            return
        notice = parse_announcement(key, request)
        if isinstance(notice, BadAnnouncement):
            log.warning("Announcement of %s refused.", key.server)
            problems = list(notice.problems)
            _refuse(request, 400, "bad announcement", problems=problems)
            return

        def done(result: GateResult) -> None:
            if isinstance(result, Done):
                _answer(request, {"heartbeat_ms": self._heartbeat_ms})
            else:
                _refuse_result(request, result)

        if notice.state == "left":
            # Without a body the incarnation that is known leaves.
            incarnation = max(0, notice.incarnation)
            self._gate.remove(key.server, incarnation, done)
            return
        sequence = read_sequence(request)
        if isinstance(sequence, BadAnnouncement):
            problems = list(sequence.problems)
            _refuse(request, 400, "bad announcement", problems=problems)
            return
        self._gate.announce(notice, sequence, 0.0, done)

    def _operator(self, request: CallerRequest) -> None:
        given = request.header(b"Authorization")
        if not is_bearer(self._operator_token, given):
            _refuse(request, 401, "wrong token")
        elif request.method == b"PUT":
            self._put(request)
        elif request.method == b"GET":
            self._get(request)
        else:
            _refuse(request, 405, "use PUT or GET")

    def _put(self, request: CallerRequest) -> None:
        configuration = parse_route_file(request.body)
        if isinstance(configuration, ConfigErrors):
            log.warning("Configuration refused: %s.", configuration)
            problems = [str(problem) for problem in configuration.problems]
            _refuse(request, 400, "bad configuration", problems=problems)
            return
        log.info("Configuration %d offered.", configuration.number)

        def done(result: GateResult) -> None:
            if not isinstance(result, ConfigurationHeld):
                _refuse_result(request, result)
            elif result.number > configuration.number:
                _refuse(
                    request,
                    409,
                    f"number {result.number} is in force",
                    number=result.number,
                )
            elif not result.is_same:
                _refuse(
                    request,
                    409,
                    f"number {result.number} is taken by another content",
                    number=result.number,
                )
            else:
                _answer(request, {"number": result.number})

        self._gate.put_configuration(configuration, request.body, done)

    def _get(self, request: CallerRequest) -> None:
        def done(result: GateResult) -> None:
            if not isinstance(result, ConfigurationReply):
                _refuse_result(request, result)
            elif not result.document:
                _refuse(request, 404, "no configuration was put yet")
            else:
                document = result.document.decode("utf-8", "replace")
                content = {"number": result.number, "document": document}
                _answer(request, content)

        self._gate.read_configuration(done)


def make_control_pages(
    gate: Gate, settings: FleetSettings
) -> Callable[[CallerRequest], None]:
    """Makes the handler of a control instance's requests.

    Raises:
        TokenFileError: The operators' token cannot be used.
    """
    pages = ControlPages(
        gate,
        load_token(settings.operator_token_file),
        settings.server_token_folder,
        settings.server_heartbeat_ms,
    )
    return pages.handle


def _refuse_result(request: CallerRequest, result: GateResult) -> None:
    if isinstance(result, NoAnswer):
        _refuse(request, 503, "no majority answered in time; ask again")
        return
    log.error("Unexpected result %r.", result)
    _refuse(request, 500, "unexpected result")


def _refuse(request: CallerRequest, status: int, title: str, **details) -> None:
    request.answer_problem(plain_problem(status, title, **details))


def _answer(request: CallerRequest, content: dict) -> None:
    request.answer(200, [JSON_TYPE], json.dumps(content).encode())
