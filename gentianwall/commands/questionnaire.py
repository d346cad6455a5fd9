"""Fills in the questionnaire of a team by prompts or from an answers file."""

from __future__ import annotations

import pathlib
import typing

import attrs
import tomli_w

from gentianwall.config.questionnaire import (
    Answers,
    generate_files,
    parse_answers,
)
from gentianwall.config.schema import ConfigErrors, ConfigProblem


def run(answers_path: str, out: str) -> list[pathlib.Path] | ConfigErrors:
    """Writes the files generated from the answers; returns their paths.

    Args:
        answers_path: The answers file; if empty, prompts for the answers.
        out: Folder for the files. The answers are written there as well.
    """
    folder = pathlib.Path(out)
    if answers_path:
        try:
            text = pathlib.Path(answers_path).read_text(encoding="utf-8")
        except OSError as error:
            return ConfigErrors((ConfigProblem(answers_path, str(error)),))
    else:
        text = tomli_w.dumps(_prompt_table(Answers))
    answers = parse_answers(text)
    if isinstance(answers, ConfigErrors):
        return answers
    files = {"answers.toml": text, **generate_files(answers).files}
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for name, content in files.items():
        path = folder / name
        path.write_text(content, encoding="utf-8")
        paths.append(path)
    return paths


def _prompt_table(cls: type) -> dict:
    """Prompts for each option of a class; empty input takes the default."""
    hints = typing.get_type_hints(cls)
    table = {}
    for field in attrs.fields(cls):
        hint = hints[field.name]
        item_types = typing.get_args(hint)
        if item_types and attrs.has(item_types[0]):
            table[field.name] = _prompt_list(field, item_types[0])
            continue
        value = _prompt_value(field, hint)
        if value is not None:
            table[field.name] = value
    return table


def _prompt_list(field: attrs.Attribute, cls: type) -> list[dict]:
    items = []
    while True:
        print(f"\n{field.metadata['doc']} Number {len(items) + 1}:")
        items.append(_prompt_table(cls))
        if input(f"Add another item to {field.name}? [y/N] ").lower() != "y":
            return items


def _prompt_value(field: attrs.Attribute, hint: type) -> object | None:
    is_required = field.default is attrs.NOTHING
    default_text = "" if is_required else f" [{field.default}]"
    choices = field.metadata["choices"]
    choices_text = f" ({' or '.join(choices)})" if choices else ""
    while True:
        text = input(
            f"{field.metadata['doc']}{choices_text}{default_text} "
        ).strip()
        if not text and not is_required:
            return None
        try:
            value = _convert(text, hint)
        except ValueError:
            print(f"  {text!r} is not a valid value; enter another")
            continue
        if not choices or value in choices:
            return value
        print(f"  {text!r} is not one of {', '.join(choices)}; enter another")


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
