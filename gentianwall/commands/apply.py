"""Checks, plans and applies declarations."""

from __future__ import annotations

import difflib
import enum
import pathlib
import time
import uuid

import attrs

from gentianwall.config.declaration import parse_declaration
from gentianwall.config.schema import ConfigErrors
from gentianwall.ctl.client import OperatorClient, Reply, Unreachable

POLL_INTERVAL_S = 0.1
RETRY_INTERVAL_S = 0.3


class ExitCode(enum.IntEnum):
    """Exit codes of the commands."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    NOT_CONFIRMED = 4
    UNKNOWN = 5


@attrs.frozen
class ApplyResult:
    """Result of applying a declaration.

    Attributes:
        code: Exit code.
        change_id: Id of the change, to apply it again if its outcome is
            unknown.
        version: The accepted version; on a conflict, the version in force.
        missing: Entries that have not confirmed the version.
        message: Description of the result for the operator.
    """

    code: ExitCode
    change_id: str
    version: int
    missing: tuple[str, ...]
    message: str


def read_declaration(path: str) -> str | ConfigErrors:
    """Reads and checks a declaration file; returns its text."""
    from gentianwall.config.schema import ConfigProblem

    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return ConfigErrors((ConfigProblem(path, str(error)),))
    declaration = parse_declaration(text)
    return declaration if isinstance(declaration, ConfigErrors) else text


def plan(client: OperatorClient, text: str) -> str | Unreachable:
    """Returns the diff from the declaration in force to the given one."""
    reply = client.get("/v1/status")
    if isinstance(reply, Unreachable):
        return reply
    if reply.status != 200:
        return Unreachable(str(reply.content.get("title", reply.status)))
    lines = difflib.unified_diff(
        reply.content["text"].splitlines(),
        text.splitlines(),
        f"version {reply.content['version']}",
        "declaration",
        lineterm="",
    )
    return "\n".join(lines)


def apply(
    client: OperatorClient,
    text: str,
    operator: str,
    base_version: int | None,
    change_id: str,
    wait_s: float,
) -> ApplyResult:
    """Applies a declaration and waits until all entries confirm it.

    Args:
        client: Client of the operators' API.
        text: The declaration.
        operator: Name of the operator, for the history.
        base_version: The version that the change is based on; None for the
            version in force.
        change_id: Id of the change; a change is applied once for each id. If
            empty, an id is generated.
        wait_s: How long to wait for the confirmations.
    """
    change_id = change_id or str(uuid.uuid4())
    deadline_s = time.monotonic() + wait_s
    if base_version is None:
        status = _await_status(client, deadline_s)
        if status is None:
            message = "no leader answered in time; the declaration was not sent"
            return ApplyResult(ExitCode.FAILED, change_id, 0, (), message)
        base_version = status["version"]
    headers = {
        "Gentianwall-Change-Id": change_id,
        "Gentianwall-Base-Version": str(base_version),
        "Gentianwall-Operator": operator,
        "Content-Type": "application/toml",
    }
    reply = _send_until_decided(client, text, headers, deadline_s)
    if reply is None:
        message = (
            "outcome of the change unknown; apply it again with its change id"
        )
        return ApplyResult(ExitCode.UNKNOWN, change_id, 0, (), message)
    if reply.status != 200:
        return _refusal_result(reply, change_id)
    version = reply.content["version"]
    missing = _await_confirmations(client, version, deadline_s)
    if missing:
        message = (
            f"version {version} is accepted but not confirmed by all entries"
        )
        code = ExitCode.NOT_CONFIRMED
        return ApplyResult(code, change_id, version, missing, message)
    message = f"version {version} is in force on all entries"
    return ApplyResult(ExitCode.OK, change_id, version, (), message)


def _await_status(client: OperatorClient, deadline_s: float) -> dict | None:
    while True:
        reply = client.get("/v1/status")
        if isinstance(reply, Reply) and reply.status == 200:
            return reply.content
        if time.monotonic() > deadline_s:
            return None
        time.sleep(RETRY_INTERVAL_S)


def _send_until_decided(
    client: OperatorClient,
    text: str,
    headers: dict[str, str],
    deadline_s: float,
) -> Reply | None:
    """Sends a change until it is accepted or refused.

    Resending is safe, since a change id is applied only once.
    """
    while True:
        reply = client.post("/v1/declaration", text.encode(), headers)
        if isinstance(reply, Reply) and reply.status != 503:
            return reply
        if time.monotonic() > deadline_s:
            return None
        time.sleep(RETRY_INTERVAL_S)


def _refusal_result(reply: Reply, change_id: str) -> ApplyResult:
    content = reply.content
    if reply.status == 409:
        message = (
            f"conflict: version {content['version']} is in force, made by "
            f"change {content['winner_change_id']} of "
            f"{content['winner_operator'] or 'an unnamed operator'}"
        )
        return ApplyResult(
            ExitCode.CONFLICT, change_id, content["version"], (), message
        )
    problems = content.get("problems") or [content.get("title", "")]
    message = "refused: " + "; ".join(problems)
    return ApplyResult(ExitCode.BAD_INPUT, change_id, 0, (), message)


def _await_confirmations(
    client: OperatorClient, version: int, deadline_s: float
) -> tuple[str, ...]:
    missing: tuple[str, ...] = ("unknown",)
    while missing:
        status = _await_status(client, deadline_s)
        if status is None:
            return missing
        missing = tuple(
            entry["name"]
            for entry in status["entries"]
            if entry["version"] < version
        )
        if missing and time.monotonic() > deadline_s:
            return missing
        if missing:
            time.sleep(POLL_INTERVAL_S)
    return ()
