"""Checks TOML tables against attrs classes and reports every problem."""

from __future__ import annotations

import difflib
import re
import types
import typing
from typing import Any

import attrs


@attrs.frozen
class ConfigProblem:
    """One thing wrong with one option.

    Attributes:
        option: Dotted path of the option, such as `services.stampa.slots`.
        reason: What is wrong with it.
        line: Line in the file, from 1, or 0 if it is not known.
    """

    option: str
    reason: str
    line: int = 0

    def __str__(self) -> str:
        where = f"line {self.line}: " if self.line else ""
        return f"{where}{self.option}: {self.reason}"


@attrs.frozen
class ConfigErrors:
    """Every problem found in one file."""

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
) -> Any:
    """Defines one documented option of a settings class.

    Args:
        doc: A sentence for the configuration reference.
        default: The value when the option is absent; none makes it required.
        factory: Makes the default, for values that can change.
        minimum: Smallest number allowed.
        maximum: Largest number allowed.
        choices: The words allowed.
    """
    metadata = {
        "doc": doc,
        "minimum": minimum,
        "maximum": maximum,
        "choices": choices,
    }
    if factory is not None:
        return attrs.field(factory=factory, metadata=metadata)
    return attrs.field(default=default, metadata=metadata)


def structure(
    table: dict[str, Any], cls: type, text: str = ""
) -> Any | ConfigErrors:
    """Builds `cls` from a parsed TOML table.

    Args:
        table: The parsed file.
        cls: An attrs class whose fields were made with `option`.
        text: The file as written, to report line numbers.

    Returns:
        An instance of `cls`, or all problems at once.
    """
    walker = _Walker(text)
    value = walker.table(table, cls, "")
    if walker.problems:
        return ConfigErrors(tuple(walker.problems))
    return value


def find_line(text: str, path: str) -> int:
    """Returns the line that sets a dotted option, or 0."""
    parts = re.sub(r"\[\d+\]", "", path).split(".")
    section = ""
    best = 0
    for number, line in enumerate(text.splitlines(), start=1):
        header = re.match(r"\s*\[+\s*([^\]]+?)\s*\]+", line)
        if header:
            section = header.group(1).replace('"', "")
            if section == ".".join(parts):
                best = best or number
            continue
        key = re.match(r'\s*"?([\w-]+)"?\s*=', line)
        if (
            key
            and [p for p in section.split(".") if p] + [key.group(1)] == parts
        ):
            return number
    return best


class _Walker:
    """Builds values and gathers the problems met on the way."""

    def __init__(self, text: str):
        self.text = text
        self.problems: list[ConfigProblem] = []

    def report(self, path: str, reason: str) -> None:
        """Records a problem with the option at `path`."""
        line = find_line(self.text, path)
        self.problems.append(ConfigProblem(path or "(file)", reason, line))

    def table(self, table: Any, cls: type, path: str) -> Any:
        """Builds an attrs class from a table."""
        if not isinstance(table, dict):
            self.report(path, "must be a table")
            return None
        fields = attrs.fields_dict(cls)
        hints = typing.get_type_hints(cls)
        for name in table:
            if name not in fields:
                self.report(_join(path, name), _unknown(name, list(fields)))
        values = {}
        for name, field in fields.items():
            where = _join(path, name)
            if name in table:
                values[name] = self.value(
                    table[name], hints[name], field, where
                )
            elif field.default is attrs.NOTHING:
                self.report(where, "is required and missing")
        if self.problems:
            return None
        return cls(**values)

    def value(self, value: Any, hint: Any, field: Any, path: str) -> Any:
        """Builds one value of type `hint`."""
        origin = typing.get_origin(hint)
        if origin in (types.UnionType, typing.Union):
            inner = [a for a in typing.get_args(hint) if a is not type(None)]
            return self.value(value, inner[0], field, path)
        if origin is dict:
            return self._mapping(value, typing.get_args(hint)[1], field, path)
        if origin is tuple:
            return self._sequence(value, typing.get_args(hint)[0], field, path)
        if attrs.has(hint):
            return self.table(value, hint, path)
        return self._scalar(value, hint, field, path)

    def _mapping(self, value: Any, hint: Any, field: Any, path: str) -> Any:
        if not isinstance(value, dict):
            self.report(path, "must be a table")
            return None
        return {
            key: self.value(item, hint, field, _join(path, key))
            for key, item in value.items()
        }

    def _sequence(self, value: Any, hint: Any, field: Any, path: str) -> Any:
        if not isinstance(value, list):
            self.report(path, "must be a list")
            return None
        return tuple(
            self.value(item, hint, field, f"{path}[{index}]")
            for index, item in enumerate(value)
        )

    def _scalar(self, value: Any, hint: type, field: Any, path: str) -> Any:
        if hint is float and type(value) is int:
            value = float(value)
        if type(value) is not hint:
            self.report(
                path,
                f"must be of type {hint.__name__}, got {value!r}",
            )
            return None
        self._check_bounds(value, field.metadata, path)
        return value

    def _check_bounds(self, value: Any, metadata: Any, path: str) -> None:
        minimum = metadata.get("minimum")
        maximum = metadata.get("maximum")
        choices = metadata.get("choices")
        if minimum is not None and not value >= minimum:
            self.report(path, f"must be at least {minimum}, got {value}")
        if maximum is not None and not value <= maximum:
            self.report(path, f"must be at most {maximum}, got {value}")
        if choices and value not in choices:
            self.report(
                path, f"must be one of {', '.join(choices)}, got {value!r}"
            )


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _unknown(name: str, known: list[str]) -> str:
    near = difflib.get_close_matches(name, known, n=1)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    return f"is not a known option{hint}"
