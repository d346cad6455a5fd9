"""Writes the configuration reference from the schema itself."""

from __future__ import annotations

import types
import typing
from typing import Any

import attrs

from gentianwall.config.declaration import Declaration
from gentianwall.config.fleet import FleetSettings
from gentianwall.config.questionnaire import Answers
from gentianwall.config.route_file import RouteFile
from gentianwall.config.settings import Settings

PAGES = (
    ("Declaration", "What operators apply, the same for all.", Declaration),
    ("Settings of a process", "Read once, when it starts.", Settings),
    (
        "Settings of a fleet's process",
        "Read when it starts and when the file changes; only seeds change "
        "without a restart.",
        FleetSettings,
    ),
    (
        "Routes of a fleet",
        "A numbered configuration, for `gentianwallctl routes`.",
        RouteFile,
    ),
    ("Answers to the questionnaire", "What a team says.", Answers),
)


def render_reference() -> str:
    """Returns the reference page in Markdown."""
    lines = [
        "# Configuration reference",
        "",
        "Made from the schema by `gentianwallctl reference`.",
    ]
    for title, words, cls in PAGES:
        lines += ["", f"## {title}", "", words]
        lines += _render_table(cls, "")
    return "\n".join(lines) + "\n"


def _render_table(cls: type, path: str) -> list[str]:
    hints = typing.get_type_hints(cls)
    lines = [
        "",
        "| option | type | default | what it is |",
        "| --- | --- | --- | --- |",
    ]
    inner: list[tuple[type, str]] = []
    for field in attrs.fields(cls):
        name = f"{path}{field.name}"
        hint, nested, suffix = _describe(hints[field.name])
        if nested is not None:
            inner.append((nested, f"{name}{suffix}."))
        lines.append(
            f"| `{name}{suffix}` | {hint} | {_default(field)} "
            f"| {field.metadata['doc']}{_bounds(field)} |"
        )
    for nested, prefix in inner:
        lines += _render_table(nested, prefix)
    return lines


def _describe(hint: Any) -> tuple[str, type | None, str]:
    """Returns the type in words, a nested class and its path suffix."""
    origin = typing.get_origin(hint)
    if origin is types.UnionType:
        return _describe(typing.get_args(hint)[0])
    if origin is tuple:
        item = typing.get_args(hint)[0]
        if attrs.has(item):
            return "list of tables", item, "[]"
        return f"list of {item.__name__}", None, ""
    if origin is dict:
        item = typing.get_args(hint)[1]
        if attrs.has(item):
            return "tables by name", item, ".NAME"
        return f"{item.__name__} by name", None, ".NAME"
    if attrs.has(hint):
        return "table", hint, ""
    return hint.__name__, None, ""


def _default(field: attrs.Attribute) -> str:
    if field.default is attrs.NOTHING:
        return "required"
    if isinstance(field.default, attrs.Factory):
        return "see below"
    return f"`{field.default!r}`"


def _bounds(field: attrs.Attribute) -> str:
    metadata = field.metadata
    words = []
    if metadata["minimum"] is not None:
        words.append(f"at least {metadata['minimum']}")
    if metadata["maximum"] is not None:
        words.append(f"at most {metadata['maximum']}")
    if metadata["choices"]:
        words.append("one of " + ", ".join(metadata["choices"]))
    return f" ({'; '.join(words)})" if words else ""
