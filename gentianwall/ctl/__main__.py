"""The operators' command line: it parses, calls one function, prints."""

from __future__ import annotations

import getpass
import os
import pathlib
import sys
from typing import Annotated, Literal

import attrs
import cyclopts

from gentianwall import __version__
from gentianwall.commands import apply as applying
from gentianwall.commands import explain as explaining
from gentianwall.commands import routes as routing
from gentianwall.commands import timeline as timelines
from gentianwall.commands.apply import ExitCode
from gentianwall.config.schema import ConfigErrors
from gentianwall.ctl.client import OperatorClient, Reply, Unreachable
from gentianwall.ctl.tables import render_table, show

DEFAULT_OPERATORS = "127.0.0.1:8081"

app = cyclopts.App(
    name="gentianwallctl",
    help="Operates gentianwall: declarations, status, time line.",
    version=__version__,
)
routes_app = cyclopts.App(
    name="routes", help="Numbered configurations of a fleet's routes."
)
app.command(routes_app)


@cyclopts.Parameter(name="*")
@attrs.frozen
class Common:
    """Options of every command."""

    operators: Annotated[
        str,
        cyclopts.Parameter(
            help="Operators' addresses, IP:PORT, separated by commas.",
            env_var="GENTIANWALL_OPERATORS",
        ),
    ] = DEFAULT_OPERATORS
    token_file: Annotated[
        str,
        cyclopts.Parameter(
            help="File with the bearer token.",
            env_var="GENTIANWALL_TOKEN_FILE",
        ),
    ] = ""
    format: Annotated[
        Literal["text", "json"], cyclopts.Parameter(help="How to print.")
    ] = "text"

    def client(self) -> OperatorClient:
        """Makes the client."""
        token = ""
        if self.token_file:
            token = pathlib.Path(self.token_file).read_text().strip()
        return OperatorClient(tuple(self.operators.split(",")), token)


COMMON = Common()


def _fail(message: str, code: ExitCode) -> int:
    print(message, file=sys.stderr)
    return code


def _status(common: Common) -> dict | int:
    reply = common.client().get("/v1/status")
    if isinstance(reply, Unreachable):
        return _fail(reply.reason, ExitCode.FAILED)
    if reply.status != 200:
        title = str(reply.content.get("title", reply.status))
        return _fail(title, ExitCode.FAILED)
    return reply.content


@app.command
def check(path: str) -> int:
    """Checks a declaration and reports every problem."""
    text = applying.read_declaration(path)
    if isinstance(text, ConfigErrors):
        return _fail(str(text), ExitCode.BAD_INPUT)
    print(f"{path} is good")
    return ExitCode.IN_FORCE


@app.command
def plan(path: str, *, common: Common = COMMON) -> int:
    """Shows what a declaration would change."""
    text = applying.read_declaration(path)
    if isinstance(text, ConfigErrors):
        return _fail(str(text), ExitCode.BAD_INPUT)
    difference = applying.plan(common.client(), text)
    if isinstance(difference, Unreachable):
        return _fail(difference.reason, ExitCode.FAILED)
    print(difference or "nothing changes")
    return ExitCode.IN_FORCE


@app.command
def apply(
    path: str,
    *,
    base_version: Annotated[
        int | None,
        cyclopts.Parameter(help="Version the change was made for."),
    ] = None,
    change_id: Annotated[
        str, cyclopts.Parameter(help="Id of the change, to send it again.")
    ] = "",
    wait_s: Annotated[
        float, cyclopts.Parameter(help="How long to wait for all entries.")
    ] = 8.0,
    common: Common = COMMON,
) -> int:
    """Puts a declaration in force.

    Exit codes: 0 in force on all entries, 2 bad input, 3 conflict with a
    newer version, 4 accepted but not confirmed by all, 5 unknown.
    """
    text = applying.read_declaration(path)
    if isinstance(text, ConfigErrors):
        return _fail(str(text), ExitCode.BAD_INPUT)
    operator = os.environ.get("GENTIANWALL_OPERATOR") or getpass.getuser()
    result = applying.apply(
        common.client(), text, operator, base_version, change_id, wait_s
    )
    lines = [result.message, f"change id {result.change_id}"]
    lines += [f"not confirmed by {name}" for name in result.missing]
    show(attrs.asdict(result), "\n".join(lines), common.format)
    return result.code


@app.command
def status(*, common: Common = COMMON) -> int:
    """Shows the leader, the version in force and who holds it."""
    content = _status(common)
    if isinstance(content, int):
        return content
    lines = [
        f"version {content['version']}, leader {content['leader']}, "
        f"term {content['term']}, members {' '.join(content['members'])}",
        render_table(
            ("ENTRY", "VERSION", "READY", "HEARD MS AGO"),
            [
                (
                    e["name"],
                    e["version"],
                    e["is_ready"],
                    round(e["heard_ms_ago"]),
                )
                for e in content["entries"]
            ],
        ),
    ]
    lines += [f"quarantined {name}" for name in content["quarantines"]]
    show(content, "\n".join(lines), common.format)
    return ExitCode.IN_FORCE


@app.command
def history(*, common: Common = COMMON) -> int:
    """Lists the accepted changes."""
    content = _status(common)
    if isinstance(content, int):
        return content
    rows = [
        (h["version"], h["change_id"], h["operator"], h["at_ms"])
        for h in content["history"]
    ]
    table = render_table(("VERSION", "CHANGE", "OPERATOR", "AT MS"), rows)
    show(content["history"], table, common.format)
    return ExitCode.IN_FORCE


@app.command
def members(*, common: Common = COMMON) -> int:
    """Lists the servers that one entry knows."""
    content = _status(common)
    if isinstance(content, int):
        return content
    head = ("SERVICE", "SERVER", "STATE", "DOMAIN", "SLOTS", "SERVICE MS")
    rows = [
        (
            s["service"],
            s["server"],
            "ejected" if s["is_ejected"] else s["state"],
            s["failure_domain"],
            s["slots"],
            s["service_ms"],
        )
        for s in content["servers"]
    ]
    show(content["servers"], render_table(head, rows), common.format)
    return ExitCode.IN_FORCE


@app.command
def drain(service: str, server: str, *, common: Common = COMMON) -> int:
    """Gives a server no new work; a new incarnation of it may return."""
    body = f"{service}/{server}".encode()
    return _post(common, "/v1/drain", body, f"{server} is draining")


@app.command
def release(fingerprint: str, *, common: Common = COMMON) -> int:
    """Lets a quarantined request run again."""
    return _post(
        common, "/v1/quarantine/release", fingerprint.encode(), "released"
    )


def _post(common: Common, path: str, body: bytes, message: str) -> int:
    reply = common.client().post(path, body, {})
    if isinstance(reply, Reply) and reply.status == 200:
        print(message)
        return ExitCode.IN_FORCE
    if isinstance(reply, Unreachable):
        return _fail(reply.reason, ExitCode.FAILED)
    return _fail(str(reply.content.get("title")), ExitCode.BAD_INPUT)


@routes_app.command(name="check")
def check_routes(path: str) -> int:
    """Checks a configuration of routes and sends nothing."""
    result = routing.read_routes(path)
    if isinstance(result, ConfigErrors):
        return _fail(str(result), ExitCode.BAD_INPUT)
    print("valid")
    return ExitCode.IN_FORCE


@routes_app.command(name="put")
def put_routes(path: str, *, common: Common = COMMON) -> int:
    """Puts a configuration of routes in force, if its number is the highest.

    Exit codes: 0 in force, 2 bad input, 3 a higher number or another content
    under the same number is held, 5 unknown: put the same file again.
    """
    result = routing.put_routes(common.client(), path)
    show(attrs.asdict(result), result.message, common.format)
    return result.code


@routes_app.command(name="show")
def show_routes(*, common: Common = COMMON) -> int:
    """Prints the configuration of routes in force, as it was put."""
    result = routing.get_routes(common.client())
    show(attrs.asdict(result), result.message, common.format)
    return result.code


@app.command
def explain(
    request_id: Annotated[
        str, cyclopts.Parameter(help="The request; empty with --from-s.")
    ] = "",
    /,
    *files: Annotated[
        pathlib.Path,
        cyclopts.Parameter(help="Logs of all processes; else standard input."),
    ],
    from_s: Annotated[
        float, cyclopts.Parameter(help="Beliefs from this time of day on.")
    ] = 0.0,
    to_s: Annotated[
        float, cyclopts.Parameter(help="Beliefs up to this time of day.")
    ] = float("inf"),
) -> int:
    """Tells a request's story from structured logs, over all processes."""
    lines: list[str] = []
    try:
        for file in files:
            lines += file.read_text(errors="replace").splitlines()
    except OSError as error:
        print(error)
        return ExitCode.BAD_INPUT
    if not files:
        lines = sys.stdin.read().splitlines()
    if request_id:
        found = explaining.explain_request(lines, request_id)
    else:
        found = explaining.explain_range(lines, from_s, to_s)
    print(explaining.render(found))
    return ExitCode.IN_FORCE if found else ExitCode.BAD_INPUT


@app.command
def timeline(
    *,
    request_id: Annotated[
        str, cyclopts.Parameter(help="Only events of this request.")
    ] = "",
    subject: Annotated[
        str, cyclopts.Parameter(help="Only subjects that hold this text.")
    ] = "",
    kind: Annotated[
        str, cyclopts.Parameter(help="Only events of this kind.")
    ] = "",
    trace: Annotated[
        str, cyclopts.Parameter(help="Write a Chrome trace to this file.")
    ] = "",
    common: Common = COMMON,
) -> int:
    """Merges the events of all instances in order."""
    content = _status(common)
    client = common.client()
    if isinstance(content, dict):
        addresses = [i["operators_address"] for i in content["instances"]]
        client = attrs.evolve(client, addresses=tuple(addresses))
    merged = timelines.collect(client, request_id, subject, kind)
    if trace:
        pathlib.Path(trace).write_text(
            timelines.trace_of(merged), encoding="utf-8"
        )
    show(attrs.asdict(merged), timelines.render(merged), common.format)
    return ExitCode.NOT_CONFIRMED if merged.silent else ExitCode.IN_FORCE


@app.command
def reference() -> int:
    """Prints the reference of all options, made from the schema."""
    from gentianwall.config.reference import render_reference

    print(render_reference(), end="")
    return ExitCode.IN_FORCE


@app.command
def keys(folder: str, names: tuple[str, ...]) -> int:
    """Makes the keys of the links, a pair for each named process."""
    from gentianwall.links.keys import make_keys

    for name in names:
        print(make_keys(folder, name))
    return ExitCode.IN_FORCE


@app.command
def questionnaire(
    *,
    answers: Annotated[
        str, cyclopts.Parameter(help="Answers file; without it, asks.")
    ] = "",
    out: Annotated[
        str, cyclopts.Parameter(help="Folder for the files made.")
    ] = ".",
) -> int:
    """Makes the declaration and all settings from a team's answers."""
    from gentianwall.commands import questionnaire as asking

    result = asking.run(answers, out)
    if isinstance(result, ConfigErrors):
        return _fail(str(result), ExitCode.BAD_INPUT)
    for path in result:
        print(path)
    return ExitCode.IN_FORCE


def main() -> None:
    """Parses the command line and exits with the command's code."""
    try:
        sys.exit(app(sys.argv[1:], result_action="return_value"))
    except OSError as error:
        sys.exit(_fail(str(error), ExitCode.BAD_INPUT))


if __name__ == "__main__":
    main()
