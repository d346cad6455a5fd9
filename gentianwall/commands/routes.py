"""Applies and reads the numbered route configuration of a fleet."""

from __future__ import annotations

import functools

import attrs

from gentianwall.commands.apply import ExitCode
from gentianwall.commands.review import InForce, read_document, review_document
from gentianwall.config.review import Review
from gentianwall.config.route_file import parse_route_file
from gentianwall.config.schema import ConfigErrors, ConfigProblem, find_line
from gentianwall.ctl.client import OperatorClient, Reply, Unreachable
from gentianwall.ctl.tables import render_table

ROUTES_PATH = "/gentianwall/v1/routes"
ORGANISATIONS_PATH = "/gentianwall/v1/organisations"


@attrs.frozen
class RoutesResult:
    """Exit code of a command and the text to print."""

    code: ExitCode
    message: str


@attrs.frozen
class OrganisationsResult:
    """Exit code of a command, its text, and the organisations as received."""

    code: ExitCode
    message: str
    organisations: list[dict] = attrs.field(factory=list)


def review_routes(
    path: str, against: str = "", client: OperatorClient | None = None
) -> Review:
    """Reviews a route file.

    Args:
        path: The route file.
        against: Route file to compare it with; empty for none.
        client: Gets the route file in force, to compare it with; None for no
            comparison with it.
    """
    document = read_document(path)
    in_force = None
    if against:
        in_force = InForce("(against)", read_document(against))
    elif client is not None:
        in_force = InForce("(in force)", _get_document(client))
    text = (
        ""
        if isinstance(document, ConfigErrors)
        else document.decode("utf-8", "replace")
    )
    return review_document(
        document, parse_route_file, in_force, functools.partial(find_line, text)
    )


def _get_document(client: OperatorClient) -> bytes | ConfigErrors:
    result = get_routes(client)
    if result.code is ExitCode.OK:
        return result.message.encode()
    return ConfigErrors((ConfigProblem(ROUTES_PATH, result.message),))


def put_routes(client: OperatorClient, path: str) -> RoutesResult:
    """Sends a route file; sending the same file again is safe."""
    document = read_document(path)
    if isinstance(document, ConfigErrors):
        return RoutesResult(ExitCode.BAD_INPUT, str(document))
    configuration = parse_route_file(document)
    if isinstance(configuration, ConfigErrors):
        return RoutesResult(ExitCode.BAD_INPUT, str(configuration))
    reply = client.put(ROUTES_PATH, document)
    if isinstance(reply, Unreachable):
        return RoutesResult(ExitCode.UNKNOWN, reply.reason)
    if reply.status == 200:
        message = f"configuration number {configuration.number} is in force"
        return RoutesResult(ExitCode.OK, message)
    return _failure_result(reply)


def get_routes(client: OperatorClient) -> RoutesResult:
    """Gets the route file in force, as it was sent."""
    reply = client.get(ROUTES_PATH)
    if isinstance(reply, Unreachable):
        return RoutesResult(ExitCode.FAILED, reply.reason)
    if reply.status == 200:
        return RoutesResult(ExitCode.OK, reply.content["document"])
    return _failure_result(reply)


def get_organisations(client: OperatorClient) -> OrganisationsResult:
    """Gets the organisations in force, without their keys."""
    reply = client.get(ORGANISATIONS_PATH)
    if isinstance(reply, Unreachable):
        return OrganisationsResult(ExitCode.FAILED, reply.reason)
    if reply.status != 200:
        failure = _failure_result(reply)
        return OrganisationsResult(failure.code, failure.message)
    organisations = reply.content["organisations"]
    rows = [
        (
            organisation["name"],
            _cell(organisation["priority"], "of the route"),
            _cell(organisation["rate_per_s"] or None, "no limit"),
            organisation["burst"],
            organisation["keys"],
        )
        for organisation in organisations
    ]
    header = ("ORGANISATION", "PRIORITY", "PER SECOND", "BURST", "KEYS")
    table = render_table(header, rows) if rows else "no organisations"
    return OrganisationsResult(ExitCode.OK, table, organisations)


def _cell(value: float | None, none_text: str) -> float | str:
    return none_text if value is None else value


def _failure_result(reply: Reply) -> RoutesResult:
    """Converts a reply with a status other than 200 to a result."""
    codes = {
        400: ExitCode.BAD_INPUT,
        409: ExitCode.CONFLICT,
        503: ExitCode.UNKNOWN,
    }
    lines = [str(reply.content.get("title", reply.status))]
    lines += reply.content.get("problems", [])
    return RoutesResult(
        codes.get(reply.status, ExitCode.FAILED), "\n".join(lines)
    )
