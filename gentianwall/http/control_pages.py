"""HTTP interface of a fleet's control instances.

Operators use `PUT` and `GET` of `/gentianwall/v1/routes`, `GET` of
`/gentianwall/v1/organisations`, which shows no keys, `GET` of
`/gentianwall/v1/evacuations`, and `PUT` and `DELETE` of
`/gentianwall/v1/evacuations/FAILURE-DOMAIN`. Servers use `PUT` and `DELETE` of
`/gentianwall/v1/services/SERVICE/servers/ID`, as at an entry.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from urllib.parse import unquote_to_bytes

from gentianwall.claims.commands import (
    ConfigurationHeld,
    Done,
    EvacuationsHeld,
)
from gentianwall.config.fleet import FleetSettings
from gentianwall.config.route_file import parse_route_file
from gentianwall.config.routes import Organisation
from gentianwall.config.schema import ConfigErrors
from gentianwall.control.messages import ConfigurationReply
from gentianwall.http.announcements import (
    InvalidAnnouncement,
    parse_announcement,
    parse_server_path,
    read_sequence,
)
from gentianwall.http.channel import CallerRequest
from gentianwall.http.problems import plain_problem
from gentianwall.http.tokens import (
    has_bearer_token,
    is_server_authorized,
    load_token,
)
from gentianwall.logs import get_logger
from gentianwall.membership.messages import ServerKey, is_name
from gentianwall.runtime.leader_client import (
    EvacuationUnsupported,
    LeaderClient,
    LeaderResult,
    LeaderTimeout,
    UnknownService,
)

log = get_logger("control-pages")

ROUTES_PATH = b"/gentianwall/v1/routes"
ORGANISATIONS_PATH = b"/gentianwall/v1/organisations"
EVACUATIONS_PATH = b"/gentianwall/v1/evacuations"
JSON_TYPE = (b"Content-Type", b"application/json")


class ControlPages:
    """Answers requests of servers and operators.

    Args:
        leader_client: Passes requests to the leader.
        operator_token: Bearer token of operators; empty allows any client.
        token_folder: Folder with one token file per service; empty allows
            any server.
        heartbeat_ms: Interval at which servers repeat their announcement.
    """

    def __init__(
        self,
        leader_client: LeaderClient,
        operator_token: bytes,
        token_folder: str,
        heartbeat_ms: float,
    ):
        self._leader_client = leader_client
        self._operator_token = operator_token
        self._token_folder = token_folder
        self._heartbeat_ms = heartbeat_ms

    def handle(self, request: CallerRequest) -> None:
        """Answers a request, at once or when the leader has replied."""
        key = parse_server_path(request.path)
        if key is not None:
            self._handle_server(request, key)
        elif request.path == ROUTES_PATH:
            self._handle_operator(request, self._handle_routes)
        elif request.path == ORGANISATIONS_PATH:
            self._handle_operator(request, self._handle_organisations)
        elif request.path == EVACUATIONS_PATH:
            self._handle_operator(request, self._list_evacuations)
        elif request.path.startswith(EVACUATIONS_PATH + b"/"):
            self._handle_operator(request, self._set_evacuation)
        else:
            _refuse(request, 404, "no such page")

    def _handle_server(self, request: CallerRequest, key: ServerKey) -> None:
        if request.method not in (b"PUT", b"DELETE"):
            _refuse(request, 405, "use PUT or DELETE")
            return
        authorization = request.header(b"Authorization")
        if not is_server_authorized(
            self._token_folder, key.service, authorization
        ):
            _refuse(request, 401, "wrong token")
            return
        notice = parse_announcement(key, request)
        if isinstance(notice, InvalidAnnouncement):
            log.warning(
                "Refused invalid announcement of server %s.", key.server
            )
            problems = list(notice.problems)
            _refuse(request, 400, "bad announcement", problems=problems)
            return

        def on_result(result: LeaderResult) -> None:
            if isinstance(result, Done):
                _answer(request, {"heartbeat_ms": self._heartbeat_ms})
            else:
                _refuse_result(request, result)

        if notice.state == "left":
            # The incarnation is -1 if there is no body; to the leader, 0 means
            # the registered incarnation.
            incarnation = max(0, notice.incarnation)
            self._leader_client.deregister(key.server, incarnation, on_result)
            return
        sequence = read_sequence(request)
        if isinstance(sequence, InvalidAnnouncement):
            problems = list(sequence.problems)
            _refuse(request, 400, "bad announcement", problems=problems)
            return
        self._leader_client.announce(notice, sequence, 0.0, on_result)

    def _handle_operator(
        self, request: CallerRequest, page: Callable[[CallerRequest], None]
    ) -> None:
        authorization = request.header(b"Authorization")
        if has_bearer_token(self._operator_token, authorization):
            page(request)
        else:
            _refuse(request, 401, "wrong token")

    def _list_evacuations(self, request: CallerRequest) -> None:
        if request.method != b"GET":
            _refuse(request, 405, "use GET")
            return

        def on_result(result: LeaderResult) -> None:
            if not isinstance(result, ConfigurationReply):
                _refuse_result(request, result)
                return
            content = {
                "version": result.evacuations.version,
                "failure_domains": [
                    {"name": name, "started_ms": started_ms}
                    for name, started_ms in result.evacuations.started_ms
                ],
            }
            _answer(request, content)

        self._leader_client.read_evacuations(on_result)

    def _set_evacuation(self, request: CallerRequest) -> None:
        if request.method not in (b"PUT", b"DELETE"):
            _refuse(request, 405, "use PUT or DELETE")
            return
        quoted_name = request.path[len(EVACUATIONS_PATH) + 1 :]
        name = unquote_to_bytes(quoted_name).decode("utf-8", "replace")
        if not is_name(name):
            _refuse(request, 400, "the path must name a failure domain")
            return
        is_evacuated = request.method == b"PUT"
        log.info(
            "%s of the evacuation of failure domain %r received.",
            "Start" if is_evacuated else "Finish",
            name,
        )

        def on_result(result: LeaderResult) -> None:
            if isinstance(result, EvacuationsHeld) and not result.is_full:
                content = {
                    "version": result.version,
                    "failure_domains": list(result.failure_domains),
                }
                _answer(request, content)
            else:
                _refuse_result(request, result)

        self._leader_client.set_evacuation(
            name, is_evacuated, lambda: request.is_caller_connected, on_result
        )

    def _handle_organisations(self, request: CallerRequest) -> None:
        if request.method == b"GET":
            self._get_organisations(request)
        else:
            _refuse(request, 405, "use GET")

    def _handle_routes(self, request: CallerRequest) -> None:
        if request.method == b"PUT":
            self._put_configuration(request)
        elif request.method == b"GET":
            self._get_configuration(request)
        else:
            _refuse(request, 405, "use PUT or GET")

    def _put_configuration(self, request: CallerRequest) -> None:
        configuration = parse_route_file(request.body)
        if isinstance(configuration, ConfigErrors):
            log.warning("Refused invalid configuration: %s.", configuration)
            problems = [str(problem) for problem in configuration.problems]
            _refuse(request, 400, "bad configuration", problems=problems)
            return
        log.info("Received configuration %d.", configuration.number)

        def on_result(result: LeaderResult) -> None:
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

        self._leader_client.put_configuration(
            configuration, request.body, on_result
        )

    def _get_configuration(self, request: CallerRequest) -> None:
        def on_document(number: int, document: bytes) -> None:
            text = document.decode("utf-8", "replace")
            _answer(request, {"number": number, "document": text})

        self._read_document(request, on_document)

    def _get_organisations(self, request: CallerRequest) -> None:
        def on_document(number: int, document: bytes) -> None:
            configuration = parse_route_file(document)
            if isinstance(configuration, ConfigErrors):
                # An operator put it in another format than a route file.
                _refuse(request, 500, "the configuration is no route file")
                return
            organisations = [
                describe_organisation(organisation)
                for organisation in configuration.organisations
            ]
            _answer(request, {"number": number, "organisations": organisations})

        self._read_document(request, on_document)

    def _read_document(
        self,
        request: CallerRequest,
        on_document: Callable[[int, bytes], None],
    ) -> None:
        """Reads the configuration in force, or refuses the request."""

        def on_result(result: LeaderResult) -> None:
            if not isinstance(result, ConfigurationReply):
                _refuse_result(request, result)
            elif not result.document:
                _refuse(request, 404, "no configuration was put yet")
            else:
                on_document(result.number, result.document)

        self._leader_client.read_configuration(on_result)


def describe_organisation(organisation: Organisation) -> dict:
    """Returns what operators see of an organisation: no key and no digest."""
    return {
        "name": organisation.name,
        "priority": organisation.priority,
        "rate_per_s": organisation.rate_per_s,
        "burst": organisation.burst,
        "keys": len(organisation.key_digests),
    }


def make_control_pages(
    leader_client: LeaderClient, settings: FleetSettings
) -> Callable[[CallerRequest], None]:
    """Returns the request handler of a control instance.

    Raises:
        TokenFileError: The file of the operators' token cannot be used.
    """
    pages = ControlPages(
        leader_client,
        load_token(settings.operator_token_file),
        settings.server_token_folder,
        settings.server_heartbeat_ms,
    )
    return pages.handle


def _refuse_result(request: CallerRequest, result: LeaderResult) -> None:
    if isinstance(result, LeaderTimeout):
        _refuse(request, 503, "no majority answered in time; ask again")
        return
    if isinstance(result, EvacuationUnsupported):
        title = "a control instance does not support evacuations"
        _refuse(request, 503, title)
        return
    if isinstance(result, EvacuationsHeld):
        _refuse(request, 503, "too many failure domains are evacuated")
        return
    if isinstance(result, UnknownService):
        _refuse(request, 400, f"unknown service {result.service!r}")
        return
    log.error("Unexpected result of a command: %r.", result)
    _refuse(request, 500, "unexpected result")


def _refuse(request: CallerRequest, status: int, title: str, **details) -> None:
    request.answer_problem(plain_problem(status, title, **details))


def _answer(request: CallerRequest, content: dict) -> None:
    request.answer(200, [JSON_TYPE], json.dumps(content).encode())
