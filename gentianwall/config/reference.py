"""Renders the configuration reference from the option definitions."""

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

SECTIONS = (
    (
        "Declaration",
        "Applied by operators; the same for all instances.",
        Declaration,
    ),
    ("Settings of a process", "Read once, when the process starts.", Settings),
    (
        "Settings of a fleet's process",
        "Read when the process starts and when the file changes; only `seeds` "
        "takes effect without a restart.",
        FleetSettings,
    ),
    (
        "Routes of a fleet",
        "A numbered configuration, applied with `gentianwallctl routes`.",
        RouteFile,
    ),
    (
        "Answers to the questionnaire",
        "Read from a file or entered at the prompts of `gentianwallctl "
        "questionnaire`.",
        Answers,
    ),
)


def render_reference() -> str:
    """Renders the reference page in Markdown."""
    lines = [
        "# Configuration reference",
        "",
        "Generated from the option definitions by `gentianwallctl reference`.",
    ]
    for title, description, cls in SECTIONS:
        lines += ["", f"## {title}", "", description]
        lines += _render_table(cls, "")
    return "\n".join(lines) + "\n"


def _render_table(cls: type, path: str) -> list[str]:
    hints = typing.get_type_hints(cls)
    lines = [
        "",
        "| option | type | default | description |",
        "| --- | --- | --- | --- |",
    ]
    nested_tables: list[tuple[type, str]] = []
    for field in attrs.fields(cls):
        name = f"{path}{field.name}"
        type_name, nested, suffix = _describe_type(hints[field.name])
        if nested is not None:
            nested_tables.append((nested, f"{name}{suffix}."))
        lines.append(
            f"| `{name}{suffix}` | {type_name} | {_format_default(field)} "
            f"| {field.metadata['doc']}{_format_constraints(field)} |"
        )
    for nested, prefix in nested_tables:
        lines += _render_table(nested, prefix)
    return lines


def _describe_type(hint: Any) -> tuple[str, type | None, str]:
    """Returns the name of the type, a nested class and its path suffix."""
    origin = typing.get_origin(hint)
    if origin is types.UnionType:
        return _describe_type(typing.get_args(hint)[0])
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


def _format_default(field: attrs.Attribute) -> str:
    if field.default is attrs.NOTHING:
        return "required"
    if isinstance(field.default, attrs.Factory):
        return "see below"
    return f"`{field.default!r}`"


def _format_constraints(field: attrs.Attribute) -> str:
    metadata = field.metadata
    constraints = []
    if metadata["minimum"] is not None:
        constraints.append(f"at least {metadata['minimum']}")
    if metadata["maximum"] is not None:
        constraints.append(f"at most {metadata['maximum']}")
    if metadata["choices"]:
        constraints.append("one of " + ", ".join(metadata["choices"]))
    return f" ({'; '.join(constraints)})" if constraints else ""
