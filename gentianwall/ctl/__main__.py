"""Command line for operators.

Each command parses its arguments, calls a function of `gentianwall.commands`
and prints the result.
"""

from __future__ import annotations

import getpass
import os
import pathlib
import sys
from typing import Annotated, Literal

import attrs
import cyclopts

from gentianwall import __version__
from gentianwall.commands import apply as apply_command
from gentianwall.commands import evacuations as evacuations_command
from gentianwall.commands import explain as explain_command
from gentianwall.commands import review as review_command
from gentianwall.commands import routes as routes_command
from gentianwall.commands import timeline as timeline_command
from gentianwall.commands.apply import ExitCode
from gentianwall.config.schema import ConfigErrors
from gentianwall.ctl.client import OperatorClient, Reply, Unreachable
from gentianwall.ctl.tables import print_output, render_table

DEFAULT_OPERATORS_ADDRESS = "127.0.0.1:8081"

app = cyclopts.App(
    name="gentianwallctl",
    help="Operates gentianwall: applies declarations, shows status and events.",
    version=__version__,
)
routes_app = cyclopts.App(
    name="routes",
    help="Manages the numbered route configuration of a fleet.",
)
app.command(routes_app)
evacuations_app = cyclopts.App(
    name="evacuations",
    help="Takes failure domains of a fleet out of use.",
)
app.command(evacuations_app)


@cyclopts.Parameter(name="*")
@attrs.frozen
class Common:
    """Options common to the commands that contact instances."""

    operators: Annotated[
        str,
        cyclopts.Parameter(
            help="Operators' addresses as IP:PORT, separated by commas.",
            env_var="GENTIANWALL_OPERATORS",
        ),
    ] = DEFAULT_OPERATORS_ADDRESS
    token_file: Annotated[
        str,
        cyclopts.Parameter(
            help="File with the bearer token.",
            env_var="GENTIANWALL_TOKEN_FILE",
        ),
    ] = ""
    format: Annotated[
        Literal["text", "json"], cyclopts.Parameter(help="Output format.")
    ] = "text"

    def client(self) -> OperatorClient:
        """Makes a client for the configured addresses and token."""
        token = ""
        if self.token_file:
            token = pathlib.Path(self.token_file).read_text().strip()
        return OperatorClient(tuple(self.operators.split(",")), token)


COMMON = Common()


def _fail(message: str, code: ExitCode) -> int:
    print(message, file=sys.stderr)
    return code


def _get_status(common: Common) -> dict | int:
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
    text = apply_command.read_declaration(path)
    if isinstance(text, ConfigErrors):
        return _fail(str(text), ExitCode.BAD_INPUT)
    print(f"{path} is good")
    return ExitCode.OK


@app.command
def plan(path: str, *, common: Common = COMMON) -> int:
    """Shows the diff from the declaration in force to the given one."""
    text = apply_command.read_declaration(path)
    if isinstance(text, ConfigErrors):
        return _fail(str(text), ExitCode.BAD_INPUT)
    difference = apply_command.plan(common.client(), text)
    if isinstance(difference, Unreachable):
        return _fail(difference.reason, ExitCode.FAILED)
    print(difference or "nothing changes")
    return ExitCode.OK


@app.command
def apply(
    path: str,
    *,
    base_version: Annotated[
        int | None,
        cyclopts.Parameter(help="Version that the change is based on."),
    ] = None,
    change_id: Annotated[
        str,
        cyclopts.Parameter(help="Id of the change, to apply it again safely."),
    ] = "",
    wait_s: Annotated[
        float,
        cyclopts.Parameter(help="Seconds to wait for all entries to confirm."),
    ] = 8.0,
    common: Common = COMMON,
) -> int:
    """Applies a declaration and waits until all entries confirm it.

    Exit codes: 0 in force on all entries, 1 no leader answered, 2 invalid
    input, 3 conflict with a newer version, 4 accepted but not confirmed by
    all entries, 5 outcome unknown.
    """
    text = apply_command.read_declaration(path)
    if isinstance(text, ConfigErrors):
        return _fail(str(text), ExitCode.BAD_INPUT)
    operator = os.environ.get("GENTIANWALL_OPERATOR") or getpass.getuser()
    result = apply_command.apply(
        common.client(), text, operator, base_version, change_id, wait_s
    )
    lines = [result.message, f"change id {result.change_id}"]
    lines += [f"not confirmed by {name}" for name in result.missing]
    print_output(attrs.asdict(result), "\n".join(lines), common.format)
    return result.code


@app.command
def status(*, common: Common = COMMON) -> int:
    """Shows the leader, the version in force and the version of each entry."""
    content = _get_status(common)
    if isinstance(content, int):
        return content
    lines = [
        f"version {content['version']}, leader {content['leader']}, "
        f"term {content['term']}, members {' '.join(content['members'])}",
        render_table(
            ("ENTRY", "VERSION", "READY", "LAST CONTACT MS AGO"),
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
    print_output(content, "\n".join(lines), common.format)
    return ExitCode.OK


@app.command
def history(*, common: Common = COMMON) -> int:
    """Lists the accepted changes of the declaration."""
    content = _get_status(common)
    if isinstance(content, int):
        return content
    rows = [
        (h["version"], h["change_id"], h["operator"], h["at_ms"])
        for h in content["history"]
    ]
    table = render_table(("VERSION", "CHANGE", "OPERATOR", "AT MS"), rows)
    print_output(content["history"], table, common.format)
    return ExitCode.OK


@app.command
def members(*, common: Common = COMMON) -> int:
    """Lists the servers that the answering entry knows."""
    content = _get_status(common)
    if isinstance(content, int):
        return content
    header = ("SERVICE", "SERVER", "STATE", "DOMAIN", "SLOTS", "SERVICE MS")
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
    print_output(content["servers"], render_table(header, rows), common.format)
    return ExitCode.OK


@app.command
def drain(service: str, server: str, *, common: Common = COMMON) -> int:
    """Drains a server: only a new incarnation of it gets new requests."""
    body = f"{service}/{server}".encode()
    return _post(common, "/v1/drain", body, f"{server} is draining")


@app.command
def release(fingerprint: str, *, common: Common = COMMON) -> int:
    """Releases a request from quarantine, so that it may be executed again."""
    return _post(
        common, "/v1/quarantine/release", fingerprint.encode(), "released"
    )


def _post(common: Common, path: str, body: bytes, message: str) -> int:
    reply = common.client().post(path, body, {})
    if isinstance(reply, Reply) and reply.status == 200:
        print(message)
        return ExitCode.OK
    if isinstance(reply, Unreachable):
        return _fail(reply.reason, ExitCode.FAILED)
    return _fail(str(reply.content.get("title")), ExitCode.BAD_INPUT)


@routes_app.command(name="check")
def check_routes(
    path: str,
    *,
    against: Annotated[
        str, cyclopts.Parameter(help="Route file to compare it with.")
    ] = "",
    against_in_force: Annotated[
        bool,
        cyclopts.Parameter(
            help="Compare it with the route file in force.", negative=""
        ),
    ] = False,
    common: Common = COMMON,
) -> int:
    """Checks a route file without sending it.

    Exit codes: 0 valid without warnings, 1 valid with warnings, 2 errors, also
    if the file to compare with cannot be read.
    """
    if against and against_in_force:
        message = "use either --against or --against-in-force"
        return _fail(message, ExitCode.BAD_INPUT)
    review = routes_command.review_routes(
        path, against, common.client() if against_in_force else None
    )
    print_output(
        review_command.describe_review(review),
        review_command.render_review(review),
        common.format,
    )
    return review_command.exit_code(review)


@routes_app.command(name="put")
def put_routes(path: str, *, common: Common = COMMON) -> int:
    """Applies a route file if its number is the highest.

    Exit codes: 0 in force, 2 invalid input, 3 a higher number, or the same
    number with another content, is in force, 5 outcome unknown: put the same
    file again.
    """
    result = routes_command.put_routes(common.client(), path)
    print_output(attrs.asdict(result), result.message, common.format)
    return result.code


@routes_app.command(name="show")
def show_routes(*, common: Common = COMMON) -> int:
    """Prints the route file in force, as it was sent."""
    result = routes_command.get_routes(common.client())
    print_output(attrs.asdict(result), result.message, common.format)
    return result.code


def _print_evacuations(
    result: evacuations_command.EvacuationsResult, common: Common
) -> int:
    if result.code is not ExitCode.OK:
        return _fail(result.message, result.code)
    print_output(result.content, result.message, common.format)
    return result.code


@evacuations_app.command(name="start")
def start_evacuation(failure_domain: str, *, common: Common = COMMON) -> int:
    """Sends nothing more to the servers of a failure domain.

    Exit codes: 0 in force, 2 invalid name, 5 outcome unknown: repeat it.
    """
    result = evacuations_command.set_evacuation(
        common.client(), failure_domain, True
    )
    return _print_evacuations(result, common)


@evacuations_app.command(name="finish")
def finish_evacuation(failure_domain: str, *, common: Common = COMMON) -> int:
    """Uses the servers of a failure domain again.

    Exit codes: 0 in force, 2 invalid name, 5 outcome unknown: repeat it.
    """
    result = evacuations_command.set_evacuation(
        common.client(), failure_domain, False
    )
    return _print_evacuations(result, common)


@evacuations_app.command(name="list")
def list_evacuations(*, common: Common = COMMON) -> int:
    """Lists the evacuated failure domains."""
    result = evacuations_command.list_evacuations(common.client())
    return _print_evacuations(result, common)


@app.command
def organisations(*, common: Common = COMMON) -> int:
    """Lists the organisations of a fleet: priority, quota, number of keys."""
    result = routes_command.get_organisations(common.client())
    print_output(attrs.asdict(result), result.message, common.format)
    return result.code


@app.command
def explain(
    request_id: Annotated[
        str, cyclopts.Parameter(help="Id of the request; empty with --from-s.")
    ] = "",
    /,
    *files: Annotated[
        pathlib.Path,
        cyclopts.Parameter(
            help="Log files of all processes; default: standard input."
        ),
    ],
    from_s: Annotated[
        float,
        cyclopts.Parameter(help="Show state events from this Unix time on."),
    ] = 0.0,
    to_s: Annotated[
        float,
        cyclopts.Parameter(help="Show state events up to this Unix time."),
    ] = float("inf"),
) -> int:
    """Shows all events of a request from the structured logs of all processes.

    With an empty id, shows the state events of a period instead.
    """
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
        matches = explain_command.explain_request(lines, request_id)
    else:
        matches = explain_command.explain_range(lines, from_s, to_s)
    print(explain_command.render(matches))
    return ExitCode.OK if matches else ExitCode.BAD_INPUT


@app.command
def timeline(
    *,
    request_id: Annotated[
        str, cyclopts.Parameter(help="Only events of this request.")
    ] = "",
    subject: Annotated[
        str, cyclopts.Parameter(help="Only events whose subject contains this.")
    ] = "",
    kind: Annotated[
        str, cyclopts.Parameter(help="Only events of this kind.")
    ] = "",
    trace: Annotated[
        str, cyclopts.Parameter(help="Also write a Chrome trace to this file.")
    ] = "",
    common: Common = COMMON,
) -> int:
    """Shows the events of all instances, merged by time."""
    content = _get_status(common)
    client = common.client()
    if isinstance(content, dict):
        addresses = [i["operators_address"] for i in content["instances"]]
        client = attrs.evolve(client, addresses=tuple(addresses))
    merged = timeline_command.collect(client, request_id, subject, kind)
    if trace:
        pathlib.Path(trace).write_text(
            timeline_command.render_trace(merged), encoding="utf-8"
        )
    print_output(
        attrs.asdict(merged), timeline_command.render(merged), common.format
    )
    return ExitCode.NOT_CONFIRMED if merged.silent else ExitCode.OK


@app.command
def reference() -> int:
    """Prints the reference of all options, generated from the schema."""
    from gentianwall.config.reference import render_reference

    print(render_reference(), end="")
    return ExitCode.OK


@app.command
def keys(folder: str, names: tuple[str, ...]) -> int:
    """Generates a key pair for the links of each named process."""
    from gentianwall.links.keys import make_keys

    for name in names:
        print(make_keys(folder, name))
    return ExitCode.OK


@app.command
def questionnaire(
    *,
    answers: Annotated[
        str, cyclopts.Parameter(help="Answers file; without it, prompts.")
    ] = "",
    out: Annotated[
        str, cyclopts.Parameter(help="Folder for the generated files.")
    ] = ".",
) -> int:
    """Generates the declaration and all settings from a team's answers."""
    from gentianwall.commands import questionnaire as questionnaire_command

    result = questionnaire_command.run(answers, out)
    if isinstance(result, ConfigErrors):
        return _fail(str(result), ExitCode.BAD_INPUT)
    for path in result:
        print(path)
    return ExitCode.OK


def main() -> None:
    """Parses the command line and exits with the command's code."""
    try:
        sys.exit(
            app(
                sys.argv[1:],
                result_action="return_value",
                exit_on_error=False,
            )
        )
    except cyclopts.CycloptsError:
        # Cyclopts has printed the error. Its exit code 1 would stand for a
        # valid route file with warnings.
        sys.exit(ExitCode.BAD_INPUT)
    except OSError as error:
        sys.exit(_fail(str(error), ExitCode.BAD_INPUT))


if __name__ == "__main__":
    main()
