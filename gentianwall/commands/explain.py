"""Tells from structured logs what became of a request, over all processes."""

from __future__ import annotations

import shlex
from collections.abc import Iterable

import attrs

# What processes came to believe; the rest concerns single requests.
BELIEFS = frozenset(
    (
        "started",
        "stopped",
        "draining",
        "control_heard",
        "configuration_in_force",
        "server_changed",
        "server_paused",
        "server_crashed",
        "control",
        "fleet",
    )
)
# How a request ends at an entry, and a process.
ENDS = frozenset(("answered", "refused", "caller_gone"))
LIFE = frozenset(("started", "draining", "stopped"))
# Beliefs shown around a request, before its first and after its last line.
AROUND_S = 1.0


@attrs.frozen
class LogLine:
    """One structured line.

    Attributes:
        at_s: Time of day in seconds.
        node: The process.
        event: What happened.
        fields: What decided it, in order.
    """

    at_s: float
    node: str
    event: str
    fields: dict[str, str]


def parse_line(text: str) -> LogLine | None:
    """Reads a line; None when it is not a structured one."""
    try:
        parts = shlex.split(text)
    except ValueError:
        return None
    fields = {}
    for part in parts:
        key, found, value = part.partition("=")
        if found:
            fields[key] = value
    try:
        at_s = float(fields.pop("t"))
        return LogLine(at_s, fields.pop("node"), fields.pop("event"), fields)
    except (KeyError, ValueError):
        return None


def explain_request(
    lines: Iterable[str], request_id: str
) -> tuple[LogLine, ...]:
    """Returns a request's lines, with what was believed of its servers.

    Where a process tells no end of the request, its own next ends and starts
    follow: the request was probably lost with it.

    Args:
        lines: Lines of any processes, in any order.
        request_id: The request.
    """
    parsed = [line for line in map(parse_line, lines) if line is not None]
    own = [line for line in parsed if line.fields.get("id") == request_id]
    if not own:
        return ()
    servers = {line.fields.get("server", "") for line in own} - {""}
    first_s = min(line.at_s for line in own) - AROUND_S
    last_s = max(line.at_s for line in own) + AROUND_S
    around = [
        line
        for line in parsed
        if line.event in BELIEFS
        and first_s <= line.at_s <= last_s
        and line.fields.get("server") in servers
    ]
    return _in_order([*own, *around, *_lost_with(own, parsed)])


def _lost_with(own: list[LogLine], parsed: list[LogLine]) -> list[LogLine]:
    """Returns the next starts and ends of processes that told no end."""
    found = []
    for node in {line.node for line in own}:
        last = max((o for o in own if o.node == node), key=lambda o: o.at_s)
        if last.event in ENDS:
            continue
        later = [
            line
            for line in parsed
            if line.node == node
            and line.event in LIFE
            and line.at_s >= last.at_s
        ]
        found += _in_order(later)[: len(LIFE)]
    return found


def explain_range(
    lines: Iterable[str], from_s: float, to_s: float
) -> tuple[LogLine, ...]:
    """Returns what processes came to believe between two times of day."""
    parsed = (line for line in map(parse_line, lines) if line is not None)
    return _in_order(
        line
        for line in parsed
        if line.event in BELIEFS and from_s <= line.at_s <= to_s
    )


def _in_order(lines: Iterable[LogLine]) -> tuple[LogLine, ...]:
    return tuple(sorted(lines, key=lambda line: line.at_s))


def render(lines: tuple[LogLine, ...]) -> str:
    """Renders lines for people, with the time since the first in ms."""
    if not lines:
        return "nothing found"
    start_s = lines[0].at_s
    rows = [f"times in ms since {start_s:.3f}"]
    for line in lines:
        words = "  ".join(
            f"{key}={value}" for key, value in line.fields.items()
        )
        after_ms = (line.at_s - start_s) * 1000.0
        rows.append(f"{after_ms:9.0f}  {line.node}  {line.event}  {words}")
    return "\n".join(rows)
