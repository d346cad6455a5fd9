"""Traces a request through the structured logs of all processes."""

from __future__ import annotations

import shlex
from collections.abc import Iterable

import attrs

# Events about the state of a process, its servers and its configuration; all
# other events concern single requests.
STATE_EVENTS = frozenset(
    (
        "started",
        "stopped",
        "draining",
        "drained",
        "control_heard",
        "configuration_in_force",
        "server_changed",
        "server_paused",
        "server_crashed",
        "server_cold",
        "evacuations_in_force",
        "partition_began",
        "partition_ended",
        "control",
        "fleet",
    )
)
# Events that end a request at an entry.
REQUEST_END_EVENTS = frozenset(("answered", "refused", "caller_gone"))
# Events at the start and the stop of a process.
LIFECYCLE_EVENTS = frozenset(("started", "draining", "stopped"))
# Time before the first and after the last line of a request in which state
# events are shown.
CONTEXT_S = 1.0


@attrs.frozen
class LogLine:
    """A structured log line.

    Attributes:
        at_s: Unix time in seconds.
        node: Name of the process.
        event: Name of the event.
        fields: Other fields of the line, in order.
    """

    at_s: float
    node: str
    event: str
    fields: dict[str, str]


def parse_line(text: str) -> LogLine | None:
    """Parses a line; returns None if it is not a structured line."""
    try:
        parts = shlex.split(text)
    except ValueError:
        return None
    fields = {}
    for part in parts:
        key, separator, value = part.partition("=")
        if separator:
            fields[key] = value
    try:
        at_s = float(fields.pop("t"))
        return LogLine(at_s, fields.pop("node"), fields.pop("event"), fields)
    except (KeyError, ValueError):
        return None


def explain_request(
    lines: Iterable[str], request_id: str
) -> tuple[LogLine, ...]:
    """Returns the lines of a request and the state events of its servers.

    If a process logged no end of the request, its next starts and stops are
    included: the request was probably lost when the process stopped.

    Args:
        lines: Log lines of any processes, in any order.
        request_id: Id of the request.
    """
    parsed = [line for line in map(parse_line, lines) if line is not None]
    request_lines = [
        line for line in parsed if line.fields.get("id") == request_id
    ]
    if not request_lines:
        return ()
    servers = {line.fields.get("server", "") for line in request_lines} - {""}
    first_s = min(line.at_s for line in request_lines) - CONTEXT_S
    last_s = max(line.at_s for line in request_lines) + CONTEXT_S
    context_lines = [
        line
        for line in parsed
        if line.event in STATE_EVENTS
        and first_s <= line.at_s <= last_s
        and line.fields.get("server") in servers
    ]
    return _sorted_by_time(
        [
            *request_lines,
            *context_lines,
            *_lifecycle_after_request(request_lines, parsed),
        ]
    )


def _lifecycle_after_request(
    request_lines: list[LogLine], parsed: list[LogLine]
) -> list[LogLine]:
    """Returns the starts and stops that follow an unfinished request.

    These are the next ones of each process that logged no end of the request.
    """
    lifecycle_lines = []
    for node in {line.node for line in request_lines}:
        last = max(
            (o for o in request_lines if o.node == node), key=lambda o: o.at_s
        )
        if last.event in REQUEST_END_EVENTS:
            continue
        later = [
            line
            for line in parsed
            if line.node == node
            and line.event in LIFECYCLE_EVENTS
            and line.at_s >= last.at_s
        ]
        lifecycle_lines += _sorted_by_time(later)[: len(LIFECYCLE_EVENTS)]
    return lifecycle_lines


def explain_range(
    lines: Iterable[str], from_s: float, to_s: float
) -> tuple[LogLine, ...]:
    """Returns the state events between two Unix times in seconds."""
    parsed = (line for line in map(parse_line, lines) if line is not None)
    return _sorted_by_time(
        line
        for line in parsed
        if line.event in STATE_EVENTS and from_s <= line.at_s <= to_s
    )


def _sorted_by_time(lines: Iterable[LogLine]) -> tuple[LogLine, ...]:
    return tuple(sorted(lines, key=lambda line: line.at_s))


def render(lines: tuple[LogLine, ...]) -> str:
    """Renders lines as text, with the time since the first line in ms."""
    if not lines:
        return "no matching log lines"
    start_s = lines[0].at_s
    rows = [f"times in ms since Unix time {start_s:.3f}"]
    for line in lines:
        fields_text = "  ".join(
            f"{key}={value}" for key, value in line.fields.items()
        )
        after_ms = (line.at_s - start_s) * 1000.0
        rows.append(
            f"{after_ms:9.0f}  {line.node}  {line.event}  {fields_text}"
        )
    return "\n".join(rows)
