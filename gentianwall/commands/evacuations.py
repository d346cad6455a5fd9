"""Starts, finishes and lists evacuations of failure domains of a fleet."""

from __future__ import annotations

from urllib.parse import quote

import attrs

from gentianwall.commands.apply import ExitCode
from gentianwall.ctl.client import OperatorClient, Reply, Unreachable
from gentianwall.ctl.tables import render_table

EVACUATIONS_PATH = "/gentianwall/v1/evacuations"


@attrs.frozen
class EvacuationsResult:
    """Exit code of a command, the text to print and the reply's content."""

    code: ExitCode
    message: str
    content: dict = attrs.field(factory=dict)


def set_evacuation(
    client: OperatorClient, failure_domain: str, is_evacuated: bool
) -> EvacuationsResult:
    """Starts or finishes an evacuation; repeating it is safe."""
    path = f"{EVACUATIONS_PATH}/{quote(failure_domain, safe='')}"
    reply = client.put(path, b"") if is_evacuated else client.delete(path)
    state = "is evacuated" if is_evacuated else "is in use"
    return _make_result(reply, lambda _: f"{failure_domain} {state}")


def list_evacuations(client: OperatorClient) -> EvacuationsResult:
    """Lists the evacuated failure domains."""

    def render(content: dict) -> str:
        rows = [
            (domain["name"], domain["started_ms"])
            for domain in content["failure_domains"]
        ]
        return render_table(("FAILURE DOMAIN", "SINCE MS"), rows)

    return _make_result(client.get(EVACUATIONS_PATH), render)


def _make_result(reply: Reply | Unreachable, render) -> EvacuationsResult:
    if isinstance(reply, Unreachable):
        return EvacuationsResult(ExitCode.UNKNOWN, reply.reason)
    if reply.status == 200:
        message = render(reply.content)
        return EvacuationsResult(ExitCode.OK, message, reply.content)
    codes = {400: ExitCode.BAD_INPUT, 503: ExitCode.UNKNOWN}
    title = str(reply.content.get("title", reply.status))
    return EvacuationsResult(codes.get(reply.status, ExitCode.FAILED), title)
