"""Builds attrs classes from TOML tables and reports all problems at once."""

from __future__ import annotations

import difflib
import re
import types
import typing
from typing import Any

import attrs


@attrs.frozen
class ConfigProblem:
    """A problem with one option.

    Attributes:
        option: Dotted path of the option, such as `services.stampa.slots`.
        reason: Description of the problem.
        line: Line number in the file, from 1; 0 if unknown.
    """

    option: str
    reason: str
    line: int = 0

    def __str__(self) -> str:
        location = f"line {self.line}: " if self.line else ""
        return f"{location}{self.option}: {self.reason}"


@attrs.frozen
class ConfigErrors:
    """All problems found in one file."""

    problems: tuple[ConfigProblem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


def option(
    doc: str,
    default: Any = attrs.NOTHING,
    *,
    factory: Any = None,
    minimum: float | None = None,
    maximum: float | None = None,
    choices: tuple[str, ...] = (),
    is_secret: bool = False,
) -> Any:
    """Defines one documented option of a settings class.

    Args:
        doc: Description for the configuration reference.
        default: The default value; an option without one is required.
        factory: Creates the default value, for tables.
        minimum: Smallest value allowed.
        maximum: Largest value allowed.
        choices: All values allowed, if not empty.
        is_secret: Whether problems must not show the value.
    """
    metadata = {
        "doc": doc,
        "minimum": minimum,
        "maximum": maximum,
        "choices": choices,
        "is_secret": is_secret,
    }
    if factory is not None:
        return attrs.field(factory=factory, metadata=metadata)
    return attrs.field(default=default, metadata=metadata)


def structure(
    table: dict[str, Any], cls: type, text: str = ""
) -> Any | ConfigErrors:
    """Builds an object of class `cls` from a parsed TOML table.

    Args:
        table: The parsed table.
        cls: An attrs class whose fields are defined with `option`.
        text: Text of the file, used to find line numbers.

    Returns:
        The object, or all problems.
    """
    builder = _TableBuilder(text)
    value = builder.build_table(table, cls, "")
    if builder.problems:
        return ConfigErrors(tuple(builder.problems))
    return value


def find_line(text: str, path: str) -> int:
    """Returns the number of the line that sets an option, or 0.

    Args:
        text: Text of the TOML file.
        path: Dotted path of the option.
    """
    parts = re.sub(r"\[\d+\]", "", path).split(".")
    section = ""
    header_line = 0
    for number, line in enumerate(text.splitlines(), start=1):
        header = re.match(r"\s*\[+\s*([^\]]+?)\s*\]+", line)
        if header:
            section = header.group(1).replace('"', "")
            if section == ".".join(parts):
                header_line = header_line or number
            continue
        key = re.match(r'\s*"?([\w-]+)"?\s*=', line)
        if (
            key
            and [p for p in section.split(".") if p] + [key.group(1)] == parts
        ):
            return number
    return header_line


class _TableBuilder:
    """Builds values and collects the problems found."""

    def __init__(self, text: str):
        self.text = text
        self.problems: list[ConfigProblem] = []

    def add_problem(self, path: str, reason: str) -> None:
        """Records a problem with the option at `path`."""
        line = find_line(self.text, path)
        self.problems.append(ConfigProblem(path or "(file)", reason, line))

    def build_table(self, table: Any, cls: type, path: str) -> Any:
        """Builds an attrs class from a table."""
        if not isinstance(table, dict):
            self.add_problem(path, "must be a table")
            return None
        fields = attrs.fields_dict(cls)
        hints = typing.get_type_hints(cls)
        for name in table:
            if name not in fields:
                self.add_problem(
                    _join_path(path, name),
                    _unknown_option_reason(name, list(fields)),
                )
        values = {}
        for name, field in fields.items():
            option_path = _join_path(path, name)
            if name in table:
                values[name] = self.build_value(
                    table[name], hints[name], field, option_path
                )
            elif field.default is attrs.NOTHING:
                self.add_problem(option_path, "is required but missing")
        if self.problems:
            return None
        return cls(**values)

    def build_value(self, value: Any, hint: Any, field: Any, path: str) -> Any:
        """Builds one value of type `hint`."""
        origin = typing.get_origin(hint)
        if origin in (types.UnionType, typing.Union):
            member_types = [
                a for a in typing.get_args(hint) if a is not type(None)
            ]
            return self.build_value(value, member_types[0], field, path)
        if origin is dict:
            return self._build_mapping(
                value, typing.get_args(hint)[1], field, path
            )
        if origin is tuple:
            return self._build_sequence(
                value, typing.get_args(hint)[0], field, path
            )
        if attrs.has(hint):
            return self.build_table(value, hint, path)
        return self._build_scalar(value, hint, field, path)

    def _build_mapping(
        self, value: Any, hint: Any, field: Any, path: str
    ) -> Any:
        if not isinstance(value, dict):
            self.add_problem(path, "must be a table")
            return None
        return {
            key: self.build_value(item, hint, field, _join_path(path, key))
            for key, item in value.items()
        }

    def _build_sequence(
        self, value: Any, hint: Any, field: Any, path: str
    ) -> Any:
        if not isinstance(value, list):
            self.add_problem(path, "must be a list")
            return None
        return tuple(
            self.build_value(item, hint, field, f"{path}[{index}]")
            for index, item in enumerate(value)
        )

    def _build_scalar(
        self, value: Any, hint: type, field: Any, path: str
    ) -> Any:
        if hint is float and type(value) is int:
            value = float(value)
        if type(value) is not hint:
            is_secret = field.metadata.get("is_secret", False)
            shown = "" if is_secret else f", got {value!r}"
            self.add_problem(path, f"must be of type {hint.__name__}{shown}")
            return None
        self._check_bounds(value, field.metadata, path)
        return value

    def _check_bounds(self, value: Any, metadata: Any, path: str) -> None:
        minimum = metadata.get("minimum")
        maximum = metadata.get("maximum")
        choices = metadata.get("choices")
        if minimum is not None and not value >= minimum:
            self.add_problem(path, f"must be at least {minimum}, got {value}")
        if maximum is not None and not value <= maximum:
            self.add_problem(path, f"must be at most {maximum}, got {value}")
        if choices and value not in choices:
            self.add_problem(
                path, f"must be one of {', '.join(choices)}, got {value!r}"
            )


def _join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _unknown_option_reason(name: str, known: list[str]) -> str:
    matches = difflib.get_close_matches(name, known, n=1)
    hint = f"; did you mean {matches[0]!r}?" if matches else ""
    return f"is not a known option{hint}"
