"""Tests that the committed examples and reference match the code."""

from __future__ import annotations

import pathlib

import pytest

from gentianwall.commands import questionnaire as questionnaire_command
from gentianwall.config.declaration import Declaration, parse_declaration
from gentianwall.config.questionnaire import (
    generate_files,
    parse_answers,
)
from gentianwall.config.reference import render_reference
from gentianwall.config.schema import ConfigErrors
from gentianwall.config.settings import Settings, parse_settings

ROOT = pathlib.Path(__file__).parent.parent
TEAMS = ["mint", "cooperative"]


@pytest.fixture(params=TEAMS)
def folder(request):
    return ROOT / "examples" / request.param


def test_the_committed_files_are_generated_from_the_answers(folder):
    answers = parse_answers((folder / "answers.toml").read_text())
    for name, text in generate_files(answers).files.items():
        assert (folder / name).read_text() == text


def test_the_committed_files_pass_the_configuration_checks(folder):
    for path in folder.glob("*.toml"):
        text = path.read_text()
        if path.name == "declaration.toml":
            assert isinstance(parse_declaration(text), Declaration)
        elif path.name != "answers.toml":
            settings = parse_settings(text)
            assert isinstance(settings, Settings), settings
            controls = settings.instances_with_role("control")
            assert len({c.failure_domain for c in controls}) == 3


def _load_declaration(team):
    text = (ROOT / "examples" / team / "declaration.toml").read_text()
    return parse_declaration(text)


def test_the_declarations_reflect_what_each_team_weighs_most():
    mint, cooperative = map(_load_declaration, TEAMS)
    assert mint.measuring.silence_ms < cooperative.measuring.silence_ms
    assert mint.measuring.budget_ratio > cooperative.measuring.budget_ratio


def test_a_tier_with_a_longer_wait_has_a_lower_price(folder):
    tiers = parse_declaration((folder / "declaration.toml").read_text()).tiers
    prices = [t.price for t in sorted(tiers, key=lambda t: t.max_wait_ms)]
    assert prices == sorted(prices, reverse=True)
    assert len(set(prices)) == len(prices)


def test_all_invalid_answers_are_reported_at_once():
    errors = parse_answers('team = "x"\nweigh = "luck"\nservices = []\n')
    assert isinstance(errors, ConfigErrors)
    text = str(errors)
    assert "weigh" in text and "callers" in text and "instances" in text


def test_answers_can_be_entered_at_prompts(monkeypatch, tmp_path):
    replies = iter(
        ["Team", "luck", "tail-latency", "", "0.002"]
        + ["s1", "5", "", "", "", "n"]
        + ["people", "500", "", "n"]
        + ["i1", "127.0.0.1", "a", "y", "n"]
    )
    monkeypatch.setattr("builtins.input", lambda prompt: next(replies))
    paths = questionnaire_command.run("", str(tmp_path))
    assert not isinstance(paths, ConfigErrors), str(paths)
    assert (tmp_path / "i1-control.toml").exists()


def test_the_committed_reference_is_generated_from_the_settings_classes():
    page = ROOT / "docs" / "user-guide" / "configuration.md"
    assert page.read_text() == render_reference()
