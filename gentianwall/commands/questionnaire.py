"""Asks a team about its services and callers, or reads its answers."""

from __future__ import annotations

import pathlib
import typing

import attrs
import tomli_w

from gentianwall.config.questionnaire import (
    Answers,
    generate,
    parse_answers,
)
from gentianwall.config.schema import ConfigErrors, ConfigProblem


def run(answers_path: str, out: str) -> list[pathlib.Path] | ConfigErrors:
    """Writes the files made from the answers; returns their paths.

    Args:
        answers_path: The answers file, or an empty text to ask.
        out: Folder for the files. The answers are kept beside them.
    """
    folder = pathlib.Path(out)
    if answers_path:
        try:
            text = pathlib.Path(answers_path).read_text(encoding="utf-8")
        except OSError as error:
            return ConfigErrors((ConfigProblem(answers_path, str(error)),))
    else:
        text = tomli_w.dumps(_ask_table(Answers))
    answers = parse_answers(text)
    if isinstance(answers, ConfigErrors):
        return answers
    files = {"answers.toml": text, **generate(answers).files}
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for name, content in files.items():
        path = folder / name
        path.write_text(content, encoding="utf-8")
        paths.append(path)
    return paths


def _ask_table(cls: type) -> dict:
    """Asks for every option of a class; an empty answer takes the default."""
    hints = typing.get_type_hints(cls)
    table = {}
    for field in attrs.fields(cls):
        hint = hints[field.name]
        inner = typing.get_args(hint)
        if inner and attrs.has(inner[0]):
            table[field.name] = _ask_list(field, inner[0])
            continue
        value = _ask_value(field, hint)
        if value is not None:
            table[field.name] = value
    return table


def _ask_list(field: attrs.Attribute, cls: type) -> list[dict]:
    items = []
    while True:
        print(f"\n{field.metadata['doc']} Number {len(items) + 1}:")
        items.append(_ask_table(cls))
        if input(f"One more of {field.name}? [y/N] ").lower() != "y":
            return items


def _ask_value(field: attrs.Attribute, hint: type) -> object | None:
    is_required = field.default is attrs.NOTHING
    shown = "" if is_required else f" [{field.default}]"
    choices = field.metadata["choices"]
    words = f" ({' or '.join(choices)})" if choices else ""
    while True:
        text = input(f"{field.metadata['doc']}{words}{shown} ").strip()
        if not text and not is_required:
            return None
        try:
            value = _convert(text, hint)
        except ValueError:
            print(f"  {text!r} does not fit; try again")
            continue
        if not choices or value in choices:
            return value
        print(f"  {text!r} is not one of {', '.join(choices)}; try again")


def _convert(text: str, hint: type) -> object:
    if typing.get_origin(hint) is tuple:
        return [word.strip() for word in text.split(",")]
    if hint is bool:
        return text.lower() in ("y", "yes", "true")
    if hint in (int, float):
        return hint(text)
    if not text:
        raise ValueError("empty")
    return text
